package fleet

import (
	"fmt"
	"maps"
	"slices"
)

const (
	agentPollMs      = 100.0 // how soon an agent is asked again how far it is
	sampleIntervalMs = 500.0
	commandRetryMs   = 3000.0 // after which a command that nothing came of is asked for again
	grantRetryMs     = 500.0  // after a grant that was refused
	defaultMaxLost   = 2      // where the file names none
	returnTimeoutMs  = 20000  // for a scheduler whose new process was ready to be seen in service
)

// Do is a call to make at a member's agent. It is the same call until its step has moved on.
type Do struct {
	Op         string `json:"op"`
	Member     string `json:"member"`
	Call       string `json:"call"` // stop, run, command
	No         uint64 `json:"no"`   // of the step
	Fence      uint64 `json:"fence"`
	AgentStart string `json:"start,omitempty"` // of the agent that it is meant for, where it is not safe twice
	Agent      Member `json:"-"`
}

// Did is what came of it.
type Did struct {
	Reached bool   `json:"-"`
	State   string `json:"state"` // done, going, failed, refused, unknown
	Why     string `json:"why,omitempty"`
	Start   string `json:"start"`          // of the agent that answered
	Down    bool   `json:"down,omitempty"` // no process of the member serves, as its agent sees it
}

// Txns counts a scheduler's answers since its process began.
type Txns struct {
	Settled  int `json:"settled"`
	Declined int `json:"declined"`
	Reversed int `json:"reversed"`
}

type memberAttempt struct {
	stepNo              uint64
	callPending         bool
	nextCallAt          float64
	stepSince           float64
	callDone            bool
	failure             string
	agentStart          string  // the life of its agent
	downUntil           float64 // until when its agent's word that it is down is taken
	nextGrantAt         float64
	commandPendingUntil float64 // until when a command for it counts as under way
}

// Carrier is what the owner of an operation knows beside the record. It begins with nothing: what a predecessor did stands
// in the record, and at the agents.
type Carrier struct {
	ID, Owner           string
	Fence               uint64
	Bug                 string // one planted by a test of what finds it
	record              *Record
	operation           *Op
	attempts            map[string]*memberAttempt
	wave                int
	waveStartedAt       float64
	lastProgressAt      float64 // when a member last moved on
	watchStartedAt      float64 // 0: not watching
	comparison          txnComparison
	leftService         map[string]bool
	sampledAt           map[string]float64 // when each scheduler was asked last
	refusedAlike        map[Member]bool    // of this record: members like these have no room
	refusedRecordNo     uint64
	commandPendingUntil float64 // the same of a command for the whole
	grantsPending       map[string]bool
}

// NewCarrier begins an ownership.
func NewCarrier(id, owner string, fence uint64) *Carrier {
	return &Carrier{ID: id, Owner: owner, Fence: fence, attempts: map[string]*memberAttempt{}, wave: -1, leftService: map[string]bool{},
		sampledAt: map[string]float64{}, grantsPending: map[string]bool{}}
}

// Follow takes the record as it now is.
func (c *Carrier) Follow(now float64, r *Record) {
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
	if wave := c.operation.Wave; wave != c.wave || c.haltReason() != "" || c.operation.Back {
		c.wave, c.waveStartedAt = wave, now
	}
	if !c.allArrived() || c.operation.Back || c.haltReason() != "" {
		c.watchStartedAt = 0
	} else if c.watchStartedAt == 0 {
		c.watchStartedAt, c.comparison = now, txnComparison{}
		clear(c.sampledAt)
	}
	for _, id := range c.operation.begunMembers() {
		if step := c.operation.Steps[id]; step.At == StepInService && !c.operation.Back && c.operation.Kind == "release" {
			if _, out := r.IsOut(id); out {
				c.leftService[id] = true
			}
		}
	}
}

func (c *Carrier) haltReason() string {
	if h, ok := c.record.Halts[c.ID]; ok {
		return h.Why + " "
	}
	return ""
}

func (c *Carrier) allArrived() bool {
	for _, id := range c.operation.begunMembers() {
		if step := c.operation.Steps[id]; !c.operation.Arrived(step) && !(c.operation.Back && step.Why != "") {
			return false
		}
	}
	return true
}

// Over tells whether there is nothing left to carry.
func (c *Carrier) Over() bool { return c.operation != nil && !c.operation.Open() }

// NextDo decides the next call at an agent.
func (c *Carrier) NextDo(now float64) (Do, bool) {
	if c.operation == nil || !c.operation.Open() {
		return Do{}, false
	}
	for _, id := range c.operation.begunMembers() {
		member, step, attempt := c.record.Members[id], c.operation.Steps[id], c.attempts[id]
		transition := c.operation.nextTransition(member, step)
		if transition == nil || transition.agentCall == "" || attempt.callPending || attempt.callDone || attempt.failure != "" || now < attempt.nextCallAt ||
			transition.condition == "pause" && now < attempt.stepSince+c.operation.Pause {
			continue
		}
		agent, known := c.record.Members[member.Agent]
		if !known {
			attempt.failure = "its agent " + member.Agent + " is not on record"
			continue
		}
		attempt.callPending, attempt.nextCallAt = true, now+agentPollMs
		return Do{Op: c.ID, Member: id, Call: transition.agentCall, No: step.No, Fence: c.Fence, AgentStart: step.AgentStart, Agent: agent}, true
	}
	return Do{}, false
}

// Did takes what came of a call.
func (c *Carrier) Did(now float64, call Do, result Did) {
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
		attempt.failure = call.Member + ": " + result.State + ": " + result.Why
	}
	if result.Reached {
		attempt.agentStart = result.Start
	}
	if attempt.downUntil = 0; result.Reached && result.Down {
		attempt.downUntil = now + agentPollMs*2
	}
}

// NextSample decides which scheduler to ask for its figures, while a wave is watched.
func (c *Carrier) NextSample(now float64) (Member, bool) {
	if c.operation == nil || c.watchStartedAt == 0 || c.operation.Kind != "release" || c.operation.Watch == 0 {
		return Member{}, false
	}
	for _, scheduler := range c.record.Of("scheduler") {
		if at, asked := c.sampledAt[scheduler.ID]; !asked || now >= at+sampleIntervalMs {
			c.sampledAt[scheduler.ID] = now
			return scheduler, true
		}
	}
	return Member{}, false
}

// Sampled takes a scheduler's figures.
func (c *Carrier) Sampled(id string, counts Txns) {
	if c.watchStartedAt > 0 {
		c.comparison.addSample(id, counts)
	}
}

// NextCommand decides what to put on record next: one at a time for a member, and one for the whole. Commanded takes what
// came of it.
func (c *Carrier) NextCommand(now float64) (Command, bool) {
	if c.operation == nil || !c.operation.Open() {
		return Command{}, false
	}
	cmd, ok := c.nextCommand(now)
	if !ok {
		return cmd, false
	}
	if cmd.Do != "step" {
		c.commandPendingUntil = now + commandRetryMs
		return cmd, true
	}
	c.attempts[cmd.ID].commandPendingUntil = now + commandRetryMs
	if cmd.To == Granted {
		c.grantsPending[cmd.ID] = true
	}
	return cmd, true
}

// Commanded takes that something came of a command, or that nobody knows.
func (c *Carrier) Commanded(cmd Command) {
	if cmd.Do != "step" {
		c.commandPendingUntil = 0
	} else if attempt := c.attempts[cmd.ID]; attempt != nil && attempt.stepNo == cmd.Renewed {
		attempt.commandPendingUntil = 0
	}
	delete(c.grantsPending, cmd.ID)
}

func (c *Carrier) nextCommand(now float64) (Command, bool) {
	base := Command{Matter: OpOf(c.ID), Owner: c.Owner, Fence: c.Fence, By: OpOf(c.ID)}
	if why := c.haltCause(now); why != "" && c.haltReason() == "" && !c.operation.Back && now >= c.commandPendingUntil {
		cmd := base
		if cmd.Do, cmd.ID, cmd.Why = "halt", c.ID, truncateReason(why); c.operation.AutoBack {
			cmd.Then = "back"
		}
		return cmd, true
	}
	for _, id := range c.operation.begunMembers() {
		if now < c.attempts[id].commandPendingUntil {
			continue
		}
		if cmd, ok := c.nextStep(now, id); ok {
			cmd.Matter, cmd.Owner, cmd.Fence, cmd.By, cmd.Do, cmd.ID = base.Matter, base.Owner, base.Fence, base.By, "step", id
			return cmd, true
		}
	}
	for _, id := range c.operation.begunMembers() {
		step, attempt := c.operation.Steps[id], c.attempts[id]
		// What can't go back may keep others from it for ever, as by the room that it takes: they are named too, and it ends.
		if c.operation.Back && !c.operation.Arrived(step) && step.Why == "" && now >= attempt.commandPendingUntil && now > max(attempt.stepSince, c.lastProgressAt)+2*returnTimeoutMs && c.record.HaltReason(c.operation, c.record.Members[id].Zone) == "" {
			cmd := base
			cmd.Do, cmd.ID, cmd.Renewed = "step", id, step.No
			cmd.Why = truncateReason(fmt.Sprintf("can't go back: %s for long, seen %s; %s", step.At, c.record.Health[id].State, c.record.Grant(c.operation, id)))
			return cmd, true
		}
	}
	if now < c.commandPendingUntil || !c.allArrived() || c.watchStartedAt > 0 && now < c.watchStartedAt+c.operation.Watch || c.haltReason() != "" && !c.operation.Back {
		return Command{}, false
	}
	cmd := base
	cmd.Do, cmd.Renewed = "wave", uint64(c.operation.Wave)
	return cmd, true
}

func truncateReason(why string) string { return why[:min(len(why), maxReasonBytes)] }

// move is a member's next step, once it has what that waits for.
func (c *Carrier) nextStep(now float64, id string) (Command, bool) {
	member, step, attempt := c.record.Members[id], c.operation.Steps[id], c.attempts[id]
	transition := c.operation.nextTransition(member, step)
	if transition == nil {
		return Command{}, false
	}
	cmd := Command{To: transition.to, Renewed: step.No}
	health := c.record.Health[id]
	switch {
	case c.operation.Back && step.At == Waits && c.record.Permits[id].Op != "" && c.record.Permits[id].Op != c.ID:
		if step.Why != "" {
			return cmd, false
		}
		return Command{Renewed: step.No, Why: "can't go back: it is out for " + c.record.Permits[id].Op}, true
	case c.operation.Back && attempt.failure != "" && step.Why == "":
		return Command{Renewed: step.No, Why: truncateReason("can't go back: " + attempt.failure)}, true
	case step.At == Granted && !step.Undo && !c.operation.Back && c.record.HaltReason(c.operation, member.Zone) != "" && !attempt.callDone:
		return Command{To: "undo", Renewed: step.No}, true
	case transition.agentCall != "" && !attempt.callDone:
		return cmd, false
	case transition.condition == "room":
		// Thousands may wait, and a count goes over all: those that count alike are refused alike.
		if c.refusedRecordNo != c.record.No || c.refusedAlike == nil {
			c.refusedAlike, c.refusedRecordNo = map[Member]bool{}, c.record.No
		}
		_, out := c.record.IsOut(id)
		if c.operation.StartsDownSchedulers(member) && out && now < attempt.downUntil {
			return Command{To: Gone, Then: downByAgent, Renewed: step.No}, true
		}
		sameCount := Member{Kind: member.Kind, Zone: member.Zone, Labels: member.Labels, Capacity: member.Capacity}
		if now < attempt.nextGrantAt || !out && c.refusedAlike[sameCount] {
			return cmd, false
		}
		if c.record.grantRefusal(c.operation, id, c.grantsPending) != "" {
			c.refusedAlike[sameCount] = c.refusedAlike[sameCount] || !out && c.record.limitRefusal(id, c.grantsPending) != ""
			return cmd, false
		}
		attempt.nextGrantAt = now + grantRetryMs // refused all the same, it is asked for again, not at once
	case transition.condition == "out" && (health.State != "out" || health.RecordNo < step.No),
		transition.condition == "in" && (health.State != InService || health.RecordNo < step.No),
		transition.condition == "pause" && now < attempt.stepSince+c.operation.Pause:
		return cmd, false
	}
	if transition.to == StepCommand {
		// Which life of its agent is meant: one that was started again may have begun it, and have lost its note of that.
		if attempt.agentStart == "" {
			return cmd, false
		}
		cmd.AgentStart = attempt.agentStart
	}
	return cmd, true
}

// NextLook decides which agent to ask for the name of its life, before it is to do what is not safe twice.
func (c *Carrier) NextLook(now float64) (Do, bool) {
	if c.operation == nil || !c.operation.Open() {
		return Do{}, false
	}
	for _, id := range c.operation.begunMembers() {
		member, step, attempt := c.record.Members[id], c.operation.Steps[id], c.attempts[id]
		_, out := c.record.IsOut(id)
		transition := c.operation.nextTransition(member, step)
		if transition == nil || attempt.callPending || now < attempt.nextCallAt || !(transition.to == StepCommand && attempt.agentStart == "" || step.At == Waits && out && c.operation.StartsDownSchedulers(member)) {
			continue
		}
		attempt.callPending, attempt.nextCallAt = true, now+agentPollMs
		return Do{Op: c.ID, Member: id, Call: "look", No: step.No, Fence: c.Fence, Agent: c.record.Members[member.Agent]}, true
	}
	return Do{}, false
}

// trouble is why the operation is to be halted, "" for nothing.
func (c *Carrier) haltCause(now float64) string {
	for _, id := range c.operation.begunMembers() {
		if attempt := c.attempts[id]; attempt.failure != "" && !c.operation.Arrived(c.operation.Steps[id]) {
			return attempt.failure
		}
		if step := c.operation.Steps[id]; step.At == StepReturning && !step.Undo && c.record.Members[id].Kind == "scheduler" && now > c.attempts[id].stepSince+returnTimeoutMs {
			return fmt.Sprintf("%s was not seen in service for %g s after its new process was ready: %s", id, returnTimeoutMs/1000.0, c.record.Health[id].State)
		}
	}
	maxLost := c.operation.Gates.Lost
	if maxLost == 0 {
		maxLost = defaultMaxLost
	}
	if len(c.leftService) >= maxLost && len(c.leftService) > 0 {
		return fmt.Sprintf("%d members left service after they were released: %v", len(c.leftService), slices.Sorted(maps.Keys(c.leftService)))
	}
	if c.operation.WaveMost > 0 && now > c.waveStartedAt+c.operation.WaveMost {
		return fmt.Sprintf("wave %d took over %g s", c.operation.Wave+1, c.operation.WaveMost/1000)
	}
	if c.watchStartedAt > 0 && c.operation.Kind == "release" {
		return c.comparison.regression(c.operation, c.Bug == "gate-yesterday")
	}
	return ""
}
