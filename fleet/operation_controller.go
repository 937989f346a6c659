package fleet

import (
	"fmt"
	"maps"
	"slices"
)

const (
	agentPollMs      = 100.0  // between two calls to an agent about one member
	sampleIntervalMs = 500.0  // between two samples of a scheduler's txn counts
	commandRetryMs   = 3000.0 // after which a command without an answer is sent again
	grantRetryMs     = 500.0  // between two requests for the same permit
	defaultMaxLost   = 2      // members, if Gates.MaxLost is 0
	returnTimeoutMs  = 20000  // from the readiness of a scheduler's new process until it must have been seen in service
)

// AgentCall is a call to a member's agent about one step. Until the member has left the step, each retry is the same call, so an
// agent recognizes it by Member and No.
type AgentCall struct {
	Op         string `json:"op"` // the operation's id
	Member     string `json:"member"`
	Call       string `json:"call"`            // stop or run (a scheduler's process), command (the site's, for a worker) or look (only report)
	No         uint64 `json:"no"`              // Step.No
	Fence      uint64 `json:"fence"`           // fencing token of the operation's lease
	AgentStart string `json:"start,omitempty"` // of a call that is not idempotent: see Step.AgentStart
	Agent      Member `json:"-"`               // whom to call
}

// AgentResult is the result of an AgentCall.
type AgentResult struct {
	Reached bool   `json:"-"`     // the agent answered
	State   string `json:"state"` // done, going (under way), failed, refused (not begun), unknown (an earlier start of the agent may have run it)
	Reason  string `json:"why,omitempty"`
	Start   string `json:"start"`          // the start of the agent that answered
	Down    bool   `json:"down,omitempty"` // the agent has no process of the member that serves
}

// Txns counts the txns that a scheduler's process has answered since it started, by outcome.
type Txns struct {
	Settled  int `json:"settled"`
	Declined int `json:"declined"`
	Reversed int `json:"reversed"`
}

// memberAttempt is the progress of one member's current step. It is replaced when the member enters its next step.
type memberAttempt struct {
	stepNo              uint64 // Step.No
	callPending         bool   // a call to the member's agent is under way
	nextCallAt          float64
	stepSince           float64 // when the step was first seen here
	callDone            bool    // the agent reported the call of the step as done
	failure             string  // why the call of the step can't succeed, "" if it may
	agentStart          string  // the start of the member's agent that answered last
	downUntil           float64 // until when the agent's last report that the member is down may be relied on
	nextGrantAt         float64
	commandPendingUntil float64 // until when a command about the member counts as under way
}

// OperationController advances one operation on behalf of the agent that holds its lease: it decides which agents to call
// and which commands to put on record. A new one starts without knowledge of its own, as the progress made under a former
// owner is in the record and at the agents.
type OperationController struct {
	ID, Owner           string // the operation's id, and the owner of its lease
	Fence               uint64 // fencing token of the lease
	InjectedFault       string // a fault that a test injects, see Record.InjectedFault
	record              *Record
	operation           *Operation
	attempts            map[string]*memberAttempt // by member id
	wave                int                       // the wave that waveStartedAt is about
	waveStartedAt       float64                   // also reset while the operation is halted or rolled back
	lastProgressAt      float64                   // when any member last entered a step
	watchStartedAt      float64                   // when all members of the begun waves had arrived; 0: some have not, or it is halted or rolled back
	comparison          txnComparison
	leftService         map[string]bool    // released members that were seen out of service again
	sampledAt           map[string]float64 // when each scheduler's counts were last asked for
	refusedAlike        map[Member]bool    // members, reduced to the fields that limits look at, that the limits refused at refusedRecordNo
	refusedRecordNo     uint64             // the Record.No that refusedAlike is valid for
	commandPendingUntil float64            // until when a command about the operation as a whole counts as under way
	grantsPending       map[string]bool    // members for which a grant was asked for and is not on record yet
}

// NewOperationController returns the OperationController of a new owner of an operation's lease.
func NewOperationController(id, owner string, fence uint64) *OperationController {
	return &OperationController{ID: id, Owner: owner, Fence: fence, attempts: map[string]*memberAttempt{}, wave: -1, leftService: map[string]bool{},
		sampledAt: map[string]float64{}, grantsPending: map[string]bool{}}
}

// Follow takes over the current record. Before its first call the OperationController decides nothing.
func (c *OperationController) Follow(now float64, r *Record) {
	c.record, c.operation = r, r.Ops[c.ID]
	if c.operation == nil {
		return
	}
	for id, step := range c.operation.Steps {
		if attempt := c.attempts[id]; attempt == nil || attempt.stepNo != step.No {
			c.attempts[id] = &memberAttempt{stepNo: step.No, stepSince: now}
			c.lastProgressAt = now
			delete(c.grantsPending, id)
		}
	}
	if wave := c.operation.Wave; wave != c.wave || c.haltReason() != "" || c.operation.RollingBack {
		c.wave, c.waveStartedAt = wave, now
	}
	if !c.allArrived() || c.operation.RollingBack || c.haltReason() != "" {
		c.watchStartedAt = 0
	} else if c.watchStartedAt == 0 {
		c.watchStartedAt, c.comparison = now, txnComparison{}
		clear(c.sampledAt)
	}
	for _, id := range c.operation.begunMembers() {
		if step := c.operation.Steps[id]; step.State == StepInService && !c.operation.RollingBack && c.operation.Kind == "release" {
			if _, out := r.IsOut(id); out {
				c.leftService[id] = true
			}
		}
	}
}

// haltReason returns a non-empty text if the operation itself is halted.
func (c *OperationController) haltReason() string {
	if h, ok := c.record.Halts[c.ID]; ok {
		return h.Reason + " "
	}
	return ""
}

// allArrived reports whether no member of the begun waves has anything left to do. In a rollback a member that can't go on
// counts as arrived.
func (c *OperationController) allArrived() bool {
	for _, id := range c.operation.begunMembers() {
		if step := c.operation.Steps[id]; !c.operation.Arrived(step) && !(c.operation.RollingBack && step.Reason != "") {
			return false
		}
	}
	return true
}

// Finished reports whether the operation has nothing left to do.
func (c *OperationController) Finished() bool { return c.operation != nil && !c.operation.Open() }

// NextAgentCall returns the next call to make at an agent, if any. Its result goes to AgentCalled.
func (c *OperationController) NextAgentCall(now float64) (AgentCall, bool) {
	if c.operation == nil || !c.operation.Open() {
		return AgentCall{}, false
	}
	for _, id := range c.operation.begunMembers() {
		member, step, attempt := c.record.Members[id], c.operation.Steps[id], c.attempts[id]
		transition := c.operation.nextTransition(member, step)
		if transition == nil || transition.agentCall == "" || attempt.callPending || attempt.callDone || attempt.failure != "" ||
			now < attempt.nextCallAt ||
			transition.condition == "pause" && now < attempt.stepSince+c.operation.PauseMs {
			continue
		}
		agent, known := c.record.Members[member.Agent]
		if !known {
			attempt.failure = "agent " + member.Agent + " is not on record"
			continue
		}
		attempt.callPending, attempt.nextCallAt = true, now+agentPollMs
		return AgentCall{Op: c.ID, Member: id, Call: transition.agentCall, No: step.No, Fence: c.Fence, AgentStart: step.AgentStart, Agent: agent}, true
	}
	return AgentCall{}, false
}

// AgentCalled takes the result of a call that NextAgentCall or NextAgentStatusCall returned.
func (c *OperationController) AgentCalled(now float64, call AgentCall, result AgentResult) {
	attempt := c.attempts[call.Member]
	if attempt == nil || attempt.stepNo != call.No {
		return
	}
	attempt.callPending, attempt.nextCallAt = false, now+agentPollMs
	switch {
	case !result.Reached:
	case result.State == "done":
		attempt.callDone = true
	case result.State == "failed" || result.State == "unknown":
		attempt.failure = call.Member + ": " + result.State + ": " + result.Reason
	}
	if result.Reached {
		attempt.agentStart = result.Start
	}
	if attempt.downUntil = 0; result.Reached && result.Down {
		attempt.downUntil = now + agentPollMs*2
	}
}

// NextSample returns the next scheduler to ask for its txn counts, if any. Counts are taken while a wave of a release is
// observed.
func (c *OperationController) NextSample(now float64) (Member, bool) {
	if c.operation == nil || c.watchStartedAt == 0 || c.operation.Kind != "release" || c.operation.WatchMs == 0 {
		return Member{}, false
	}
	for _, scheduler := range c.record.MembersOfKind("scheduler") {
		if at, asked := c.sampledAt[scheduler.ID]; !asked || now >= at+sampleIntervalMs {
			c.sampledAt[scheduler.ID] = now
			return scheduler, true
		}
	}
	return Member{}, false
}

// Sampled takes the txn counts of a scheduler that NextSample returned.
func (c *OperationController) Sampled(id string, counts Txns) {
	if c.watchStartedAt > 0 {
		c.comparison.addSample(id, counts)
	}
}

// NextCommand returns the next command to put on record, if any. At a time there is at most one command per member and one
// about the operation as a whole; CommandAnswered reports that it is no longer under way.
func (c *OperationController) NextCommand(now float64) (Command, bool) {
	if c.operation == nil || !c.operation.Open() {
		return Command{}, false
	}
	cmd, ok := c.nextCommand(now)
	if !ok {
		return cmd, false
	}
	if cmd.Verb != "step" {
		c.commandPendingUntil = now + commandRetryMs
		return cmd, true
	}
	c.attempts[cmd.ID].commandPendingUntil = now + commandRetryMs
	if cmd.To == StepGranted {
		c.grantsPending[cmd.ID] = true
	}
	return cmd, true
}

// CommandAnswered takes note that a command was answered, or that the attempt to send it was given up.
func (c *OperationController) CommandAnswered(cmd Command) {
	if cmd.Verb != "step" {
		c.commandPendingUntil = 0
	} else if attempt := c.attempts[cmd.ID]; attempt != nil && attempt.stepNo == cmd.Expected {
		attempt.commandPendingUntil = 0
	}
	delete(c.grantsPending, cmd.ID)
}

// nextCommand returns, in this order of precedence: a halt of the operation, a step of a member, a report that a member
// can't go back, the next wave.
func (c *OperationController) nextCommand(now float64) (Command, bool) {
	base := Command{Lease: OperationLease(c.ID), Owner: c.Owner, Fence: c.Fence, By: OperationLease(c.ID)}
	if why := c.haltCause(now); why != "" && c.haltReason() == "" && !c.operation.RollingBack && now >= c.commandPendingUntil {
		cmd := base
		if cmd.Verb, cmd.ID, cmd.Reason = "halt", c.ID, truncateReason(why); c.operation.AutoRollBack {
			cmd.Then = "back"
		}
		return cmd, true
	}
	for _, id := range c.operation.begunMembers() {
		if now < c.attempts[id].commandPendingUntil {
			continue
		}
		if cmd, ok := c.nextStep(now, id); ok {
			cmd.Lease, cmd.Owner, cmd.Fence, cmd.By, cmd.Verb, cmd.ID = base.Lease, base.Owner, base.Fence, base.By, "step", id
			return cmd, true
		}
	}
	for _, id := range c.operation.begunMembers() {
		step, attempt := c.operation.Steps[id], c.attempts[id]
		// A member that can't go back may keep others from going back for ever, as it counts as out under the limits. After a
		// time without progress those others are reported too, so that the rollback ends.
		if c.operation.RollingBack && !c.operation.Arrived(step) && step.Reason == "" && now >= attempt.commandPendingUntil &&
			now > max(attempt.stepSince, c.lastProgressAt)+2*returnTimeoutMs && c.record.HaltReason(c.operation, c.record.Members[id].Zone) == "" {
			cmd := base
			cmd.Verb, cmd.ID, cmd.Expected = "step", id, step.No
			cmd.Reason = truncateReason(fmt.Sprintf("can't go back: long in state %s, last seen %s; %s", step.State,
				c.record.Health[id].State, c.record.GrantRefusal(c.operation, id)))
			return cmd, true
		}
	}
	if now < c.commandPendingUntil || !c.allArrived() || c.watchStartedAt > 0 && now < c.watchStartedAt+c.operation.WatchMs ||
		c.haltReason() != "" && !c.operation.RollingBack {
		return Command{}, false
	}
	cmd := base
	cmd.Verb, cmd.Expected = "wave", uint64(c.operation.Wave)
	return cmd, true
}

// truncateReason cuts a text to the length that a command's Reason may have.
func truncateReason(why string) string { return why[:min(len(why), maxReasonBytes)] }

// nextStep returns the command that moves a member to its next state, if the condition for that is met as far as the owner
// can tell; the record checks it again. The caller fills in the fields that all commands of the operation share.
func (c *OperationController) nextStep(now float64, id string) (Command, bool) {
	member, step, attempt := c.record.Members[id], c.operation.Steps[id], c.attempts[id]
	transition := c.operation.nextTransition(member, step)
	if transition == nil {
		return Command{}, false
	}
	cmd := Command{To: transition.to, Expected: step.No}
	health := c.record.Health[id]
	switch {
	case c.operation.RollingBack && step.State == StepWaiting && c.record.Permits[id].Op != "" && c.record.Permits[id].Op != c.ID:
		if step.Reason != "" {
			return cmd, false
		}
		return Command{Expected: step.No, Reason: "can't go back: it is out for " + c.record.Permits[id].Op}, true
	case c.operation.RollingBack && attempt.failure != "" && step.Reason == "":
		return Command{Expected: step.No, Reason: truncateReason("can't go back: " + attempt.failure)}, true
	case step.State == StepGranted && !step.Undo && !c.operation.RollingBack && c.record.HaltReason(c.operation, member.Zone) != "" && !attempt.callDone:
		return Command{To: "undo", Expected: step.No}, true
	case transition.agentCall != "" && !attempt.callDone:
		return cmd, false
	case transition.condition == "room":
		// Each check counts over all members, and thousands may wait. Members that are equal in all that limits look at are
		// refused alike, so one check stands for all of them as long as the record doesn't change.
		if c.refusedRecordNo != c.record.No || c.refusedAlike == nil {
			c.refusedAlike, c.refusedRecordNo = map[Member]bool{}, c.record.No
		}
		_, out := c.record.IsOut(id)
		if c.operation.StartsDownSchedulers(member) && out && now < attempt.downUntil {
			return Command{To: StepOut, Then: downByAgent, Expected: step.No}, true
		}
		sameCount := Member{Kind: member.Kind, Zone: member.Zone, Labels: member.Labels, Capacity: member.Capacity}
		if now < attempt.nextGrantAt || !out && c.refusedAlike[sameCount] {
			return cmd, false
		}
		if c.record.grantRefusal(c.operation, id, c.grantsPending) != "" {
			c.refusedAlike[sameCount] = c.refusedAlike[sameCount] || !out && c.record.limitRefusal(id, c.grantsPending) != ""
			return cmd, false
		}
		attempt.nextGrantAt = now + grantRetryMs // if the record refuses the grant nevertheless, it is not asked for again at once
	case transition.condition == "out" && (health.State != "out" || health.RecordNo < step.No),
		transition.condition == "in" && (health.State != HealthInService || health.RecordNo < step.No),
		transition.condition == "pause" && now < attempt.stepSince+c.operation.PauseMs:
		return cmd, false
	}
	if transition.to == StepCommand {
		// The site's command is not idempotent, so it is bound to one start of the agent: an agent that was restarted may have
		// begun the command and lost its note of that.
		if attempt.agentStart == "" {
			return cmd, false
		}
		cmd.AgentStart = attempt.agentStart
	}
	return cmd, true
}

// NextAgentStatusCall returns the next agent to ask, if any, which start of it is running, before it has to run a site's
// command, or whether a scheduler that has yet to be granted is down.
func (c *OperationController) NextAgentStatusCall(now float64) (AgentCall, bool) {
	if c.operation == nil || !c.operation.Open() {
		return AgentCall{}, false
	}
	for _, id := range c.operation.begunMembers() {
		member, step, attempt := c.record.Members[id], c.operation.Steps[id], c.attempts[id]
		_, out := c.record.IsOut(id)
		transition := c.operation.nextTransition(member, step)
		if transition == nil || attempt.callPending || now < attempt.nextCallAt ||
			!(transition.to == StepCommand && attempt.agentStart == "" || step.State == StepWaiting && out && c.operation.StartsDownSchedulers(member)) {
			continue
		}
		attempt.callPending, attempt.nextCallAt = true, now+agentPollMs
		return AgentCall{Op: c.ID, Member: id, Call: "look", No: step.No, Fence: c.Fence, Agent: c.record.Members[member.Agent]}, true
	}
	return AgentCall{}, false
}

// haltCause returns why the owner has to halt the operation, "" if it hasn't.
func (c *OperationController) haltCause(now float64) string {
	for _, id := range c.operation.begunMembers() {
		if attempt := c.attempts[id]; attempt.failure != "" && !c.operation.Arrived(c.operation.Steps[id]) {
			return attempt.failure
		}
		if step := c.operation.Steps[id]; step.State == StepReturning && !step.Undo && c.record.Members[id].Kind == "scheduler" &&
			now > c.attempts[id].stepSince+returnTimeoutMs {
			return fmt.Sprintf("%s was not seen in service for %g s after its new process was ready: %s", id,
				returnTimeoutMs/1000.0, c.record.Health[id].State)
		}
	}
	maxLost := c.operation.Gates.MaxLost
	if maxLost == 0 {
		maxLost = defaultMaxLost
	}
	if len(c.leftService) >= maxLost && len(c.leftService) > 0 {
		return fmt.Sprintf("%d members left service after they were released: %v", len(c.leftService), slices.Sorted(maps.Keys(c.leftService)))
	}
	if c.operation.MaxWaveMs > 0 && now > c.waveStartedAt+c.operation.MaxWaveMs {
		return fmt.Sprintf("wave %d took over %g s", c.operation.Wave+1, c.operation.MaxWaveMs/1000)
	}
	if c.watchStartedAt > 0 && c.operation.Kind == "release" {
		return c.comparison.regression(c.operation, c.InjectedFault == "gate-yesterday")
	}
	return ""
}
