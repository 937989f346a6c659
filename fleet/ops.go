package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// An operation is a state machine per member. Its state is in the record; the agent that holds the operation's lease
// advances it, and after a change of owner the next one continues from the recorded state.

// States of a member in an operation, the values of Step.State.
const (
	StepWaiting   = "waits"   // nothing was done yet
	StepGranted   = "granted" // the member has a permit to be out, and its agent or the schedulers may have been told
	StepOut       = "out"     // the member gets no new work and runs none
	StepCommand   = "acting"  // the site's command for the worker is about to be run, is running or has run
	StepReturning = "acted"   // the work on the member is done; it has yet to be seen in service
	StepInService = "in"      // the member was seen in service after that
)

// Health states that the code compares with, values of Health.State.
const (
	HealthInService  = "in"
	HealthNotReached = "not reached"
)

// downByAgent in Command.Then says that by its own agent's answer no process of a scheduler serves.
const downByAgent = "down"

const (
	maxLimits           = 100
	maxClosedOperations = 50   // closed operations that stay on record
	maxVersionBytes     = 2000 // of all fields of a Version together
	maxOperationMembers = 5000 // of one operation
)

// Health is the health of a member, as the owner of its zone's lease last reported it.
type Health struct {
	State    string `json:"state"` // in, starting, draining, cold, unlisted, out, not reached, or another phase that a scheduler names
	RecordNo uint64 `json:"of"`    // Record.No as the observer knew it when the observation began
}

// Permit allows one member to be out of service for an operation. It ends when the member is seen in service again, or
// when a person removes the member by force.
type Permit struct {
	Op string `json:"op"` // the operation's id
	No uint64 `json:"no"` // number of the command that granted it
}

// Version is what a release installs: on schedulers a program, a configuration or both, on workers whatever the site's
// command makes of Name.
type Version struct {
	Program string `json:"program,omitempty" toml:"program,omitempty"` // path on each machine
	Digest  string `json:"digest,omitempty" toml:"digest,omitempty"`   // SHA-256 of the program, in hexadecimal
	Config  string `json:"config,omitempty" toml:"config,omitempty"`   // path on each machine; {id} stands for the member's id
	Name    string `json:"name,omitempty" toml:"name,omitempty"`       // passed to the site's command for a worker
}

// Gates are the thresholds that halt a release. Shares are parts of the txns that schedulers answered, from 0 to 1, and
// released schedulers are compared with those that aren't released yet; 0 turns a comparison off.
type Gates struct {
	Settled  float64 `json:"settled,omitempty" toml:"settled"`   // by how much the settled share may be lower
	Declined float64 `json:"declined,omitempty" toml:"declined"` // by how much the declined share may be higher
	Reversed float64 `json:"reversed,omitempty" toml:"reversed"` // by how much the reversed share may be higher
	MinTxns  int     `json:"txns,omitempty" toml:"txns"`         // txns needed on either side for a comparison; 0: defaultMinTxns
	MaxLost  int     `json:"lost,omitempty" toml:"lost"`         // released members out of service again that halt it; 0: defaultMaxLost
}

// Operation is an operation on schedulers and workers, carried out wave by wave.
type Operation struct {
	ID           string          `json:"id"`   // the kind and the number of the command that began it
	Kind         string          `json:"kind"` // drain, undrain, restart, maintain, release
	By           string          `json:"by"`
	Reason       string          `json:"why,omitempty"`
	Waves        [][]string      `json:"waves"`              // member ids
	Wave         int             `json:"wave"`               // index of the last wave that has begun
	MaxOut       int             `json:"together,omitempty"` // most members out at once, in addition to the limits; 0: no bound
	RollingBack  bool            `json:"back,omitempty"`     // the operation is being rolled back
	Done         bool            `json:"done,omitempty"`     // every wave is through; a release can still be rolled back
	Closed       bool            `json:"closed,omitempty"`   // the operation is over for good
	Steps        map[string]Step `json:"steps"`              // by member id
	Version      Version         `json:"version"`
	Gates        Gates           `json:"gates"`
	WatchMs      float64         `json:"watch,omitempty"`     // ms to observe after each wave before the next one begins
	PauseMs      float64         `json:"pause,omitempty"`     // ms that a member stays out before its maintenance ends or the site's command runs
	MaxWaveMs    float64         `json:"wave_ms,omitempty"`   // ms; a wave that takes longer halts the operation; 0: no bound
	AutoRollBack bool            `json:"auto_back,omitempty"` // a halt by the operation's owner also rolls it back
}

// Step is the state of one member in an operation.
type Step struct {
	State      string `json:"at"`
	No         uint64 `json:"no"`              // number of the command that moved the member there; agents know the step by it
	Undo       bool   `json:"undo,omitempty"`  // a halt came while the member was in StepGranted, so it is brought back instead of going on
	AgentStart string `json:"start,omitempty"` // the start of the agent that is to run the site's command; no other start of it may
	Reason     string `json:"why,omitempty"`   // why the member can't go on, "" if it can
}

// Halt keeps members from being taken out, in one operation, in a zone or everywhere, until a person lifts it. Members
// that are out still come back. A halt of one operation also keeps its next wave from beginning.
type Halt struct {
	Scope  string `json:"of"` // the scope: an operation's id, "zone/ZONE" or "all"
	By     string `json:"by"`
	Reason string `json:"why,omitempty"`
	No     uint64 `json:"no"`             // number of the command that set it
	Then   string `json:"then,omitempty"` // "back" also rolls the operation back; "finish" or "" doesn't
}

// transition is one row of the state table: it applies to members of one kind that are in the state from.
type transition struct {
	memberKind     string
	operationKinds string // separated by spaces, with "back" for any operation that is being rolled back; "" for all
	from           string
	agentCall      string // call to the member's agent that has to be done first: stop, run, command; "" for none
	condition      string // also required: room (under the limits), out or in (as last seen), pause (Operation.PauseMs is over); "" for none
	to             string
	description    string // of the condition, for TransitionTable
}

// transitions is the state table. docs/design/releases.md shows it, as TransitionTable renders it.
var transitions = []transition{
	{"scheduler", "drain restart maintain release back", StepWaiting, "", "room", StepGranted, "a permit"},
	{"scheduler", "drain maintain", StepGranted, "stop", "", StepOut, "its process has ended"},
	{"scheduler", "restart release back", StepGranted, "run", "", StepReturning, "the new process took over"},
	{"scheduler", "undrain back restart", StepOut, "run", "", StepReturning, "its process is ready"},
	{"scheduler", "maintain", StepOut, "run", "pause", StepReturning, "the pause is over, its process is ready"},
	{"scheduler", "", StepReturning, "", "in", StepInService, "seen in service"},
	{"worker", "drain restart maintain release back", StepWaiting, "", "room", StepGranted, "a permit, and all are told"},
	{"worker", "", StepGranted, "", "out", StepOut, "all said yes, nothing runs there"},
	{"worker", "restart maintain release", StepOut, "", "pause", StepCommand, "noted before it is told"},
	{"worker", "", StepCommand, "command", "", StepReturning, "the site's command has ended well"},
	{"worker", "undrain", StepOut, "", "", StepReturning, "all are told that it is back"},
	{"worker", "", StepReturning, "", "in", StepInService, "seen in service, warm"},
}

// nextTransition returns the transition that a member in the state s has to make next, nil if it has arrived.
func (o *Operation) nextTransition(m Member, s Step) *transition {
	if o.Kind == "drain" && !o.RollingBack && s.State == StepOut && !s.Undo {
		return nil
	}
	for i := range transitions {
		candidate := &transitions[i]
		kind := o.Kind
		// A worker is rolled back from a release like it was released: by the site's command, which installs the former version.
		if (o.RollingBack || s.Undo) && !(m.Kind == "worker" && o.Kind == "release") {
			kind = "back"
		}
		if candidate.memberKind == m.Kind && candidate.from == s.State &&
			(candidate.operationKinds == "" || slices.Contains(strings.Fields(candidate.operationKinds), kind)) {
			return candidate
		}
	}
	return nil
}

// Arrived reports whether a member in the state s has nothing more to do in the operation.
func (o *Operation) Arrived(s Step) bool {
	return s.State == StepInService || o.Kind == "drain" && !o.RollingBack && s.State == StepOut
}

// StartsDownSchedulers reports whether the operation may start the scheduler m without first taking it out, if its agent
// reports it as down.
func (o *Operation) StartsDownSchedulers(m Member) bool {
	return m.Kind == "scheduler" && (o.RollingBack || o.Kind == "restart")
}

// Open reports whether the operation still has something to do. A release that is done but not closed isn't open, though it
// can be rolled back.
func (o *Operation) Open() bool { return !o.Done && !o.Closed }

// begunMembers lists the members of the waves that have begun, in their order.
func (o *Operation) begunMembers() (ids []string) {
	for _, wave := range o.Waves[:min(o.Wave+1, len(o.Waves))] {
		ids = append(ids, wave...)
	}
	return ids
}

// OperationLease returns the name of an operation's lease.
func OperationLease(id string) string { return "op/" + id }

// HaltReason returns why no further member in the zone may be taken out for the operation, "" if no halt forbids it. A halt
// of the operation itself doesn't apply while it is being rolled back.
func (r *Record) HaltReason(op *Operation, zone string) string {
	for _, scope := range []string{"all", ZoneLease(zone), op.ID} {
		if h, ok := r.Halts[scope]; ok && !(op.RollingBack && scope == op.ID) {
			return fmt.Sprintf("halted (%s) by %s: %s", scope, h.By, h.Reason)
		}
	}
	return ""
}

// GrantRefusal returns why a member may not be taken out now for an operation, "" if it may.
func (r *Record) GrantRefusal(op *Operation, id string) string { return r.grantRefusal(op, id, nil) }

// grantRefusal is GrantRefusal with the members in alsoOut taken as out: an owner asks for many permits at once, and has to count
// those that are not on record yet.
func (r *Record) grantRefusal(op *Operation, id string, alsoOut map[string]bool) string {
	member, known := r.Members[id]
	switch permit, has := r.Permits[id]; {
	case !known:
		return "no such member any more"
	case has && permit.Op != op.ID && r.InjectedFault != "two-permits":
		return "it has a permit of " + permit.Op
	case member.Kind == "worker" && r.Intents[id].Out && r.Intents[id].By != OperationLease(op.ID):
		return "it was taken out by " + r.Intents[id].By
	}
	if why := r.HaltReason(op, member.Zone); why != "" {
		return why
	}
	if op.MaxOut > 0 {
		out := len(alsoOut)
		for _, permit := range r.Permits {
			if permit.Op == op.ID {
				out++
			}
		}
		if out >= op.MaxOut {
			return fmt.Sprintf("%d of this operation are out, %d may be", out, op.MaxOut)
		}
	}
	if r.InjectedFault == "back-unlimited" && op.RollingBack {
		return ""
	}
	return r.limitRefusal(id, alsoOut)
}

// beginOperation puts a new operation on record.
func (r *Record) beginOperation(no uint64, c *Command) (string, uint64) {
	requested := c.Op
	if requested == nil || c.By == "" || !slices.Contains([]string{"drain", "undrain", "restart", "maintain", "release"}, requested.Kind) {
		return "an operation is a drain, undrain, restart, maintain or release, by somebody", 0
	}
	if halt, ok := r.Halts["all"]; ok && requested.Kind != "undrain" {
		return "everything is halted by " + halt.By + ": " + halt.Reason, 0
	}
	op := *requested
	op.ID, op.By, op.Reason = fmt.Sprintf("%s-%d", requested.Kind, no), c.By, c.Reason
	op.Steps, op.Wave, op.RollingBack, op.Done, op.Closed = map[string]Step{}, 0, false, false, false
	count := 0
	for _, wave := range op.Waves {
		for _, id := range wave {
			member, known := r.Members[id]
			_, repeated := op.Steps[id]
			switch count++; {
			case !known || member.Kind != "scheduler" && member.Kind != "worker":
				return id + ": no such scheduler or worker", 0
			case repeated:
				return id + " is named twice", 0
			case count > maxOperationMembers:
				return fmt.Sprintf("more than %d members", maxOperationMembers), 0
			case member.Agent == "" && (member.Kind == "scheduler" || requested.Kind != "drain" && requested.Kind != "undrain"):
				return id + ": no agent runs it, or a command for it", 0
			}
			for _, other := range r.Ops {
				if _, inOther := other.Steps[id]; inOther && other.Open() { // also if the member has arrived there: the other operation may still be rolled back
					return fmt.Sprintf("%s is in %s, which is not over", id, other.ID), 0
				}
			}
			op.Steps[id] = Step{State: StepWaiting, No: no}
			// The new operation would wait for the end of a permit that only an undrain ends, and as an open operation keep the
			// undrain from beginning.
			if permit, hasPermit := r.Permits[id]; hasPermit && requested.Kind != "undrain" && r.InjectedFault != "two-permits" {
				return fmt.Sprintf("%s is out for %s: bring it back first, with undrain", id, permit.Op), 0
			}
			if requested.Kind == "undrain" {
				// The permit is of a drain, or of an operation that ended while the member was still out. By an undrain a person
				// states that the member may serve again.
				if permit, ok := r.Permits[id]; !ok || r.Ops[permit.Op] != nil && r.Ops[permit.Op].Open() {
					return id + " is not out, or its operation is not over", 0
				}
				op.Steps[id] = Step{State: StepOut, No: no}
				continue
			}
			// If the limits never let this member go out, the operation is refused before it changes anything.
			if maxOut, limit := r.maxOut(id); maxOut < 1 {
				return fmt.Sprintf("%s can never go out: %s", id, limit), 0
			} else if op.MaxOut > maxOut {
				return fmt.Sprintf("together = %d, and %s lets %d be out", op.MaxOut, limit, maxOut), 0
			}
		}
	}
	if count == 0 {
		return "it names no member", 0
	}
	if op.Kind == "undrain" {
		for id := range op.Steps {
			r.Permits[id] = Permit{op.ID, r.Permits[id].No}
		}
	}
	r.Ops[op.ID] = &op
	r.pruneClosedOperations()
	r.appendAudit(no, "begin", op.ID, c)
	return "", no
}

// pruneClosedOperations removes the oldest closed operations beyond maxClosedOperations, with their leases and halts. One
// for which a member still has a permit is kept, and not counted.
func (r *Record) pruneClosedOperations() {
	inUse := map[string]bool{}
	for _, p := range r.Permits {
		inUse[p.Op] = true
	}
	var closed []*Operation
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		if op := r.Ops[id]; op.Closed && !inUse[id] {
			closed = append(closed, op)
		}
	}
	beginNo := func(op *Operation) (no uint64) {
		_, text, _ := strings.Cut(op.ID, "-")
		fmt.Sscan(text, &no)
		return no
	}
	slices.SortFunc(closed, func(a, b *Operation) int { return int(int64(beginNo(a)) - int64(beginNo(b))) })
	for _, op := range closed[:max(len(closed)-maxClosedOperations, 0)] {
		delete(r.Ops, op.ID)
		delete(r.Leases, OperationLease(op.ID))
		delete(r.Halts, op.ID)
	}
}

// ownedOperation returns the operation that a command of its owner is about, and why the command is refused, "" if it isn't:
// the sender has to hold the operation's lease with the current fencing token.
func (r *Record) ownedOperation(c *Command) (*Operation, string) {
	op := r.Ops[strings.TrimPrefix(c.Lease, "op/")]
	lease := r.Leases[c.Lease]
	switch {
	case op == nil:
		return nil, "no such operation"
	case c.Owner == "" || lease.Owner != c.Owner || lease.Fence != c.Fence:
		return op, "another owner has it"
	case op.Closed:
		return op, "it is closed"
	}
	return op, ""
}

// advanceMember moves one member to its next state, at the request of the operation's owner: by one transition of the
// table, provided that the member is still in the step that the owner saw (compare-and-set on Step.No).
func (r *Record) advanceMember(no uint64, c *Command) (string, uint64) {
	op, why := r.ownedOperation(c)
	if why != "" {
		return why, 0
	}
	step, known := op.Steps[c.ID]
	if !known || step.No != c.Expected {
		return "it has moved since", step.No
	}
	member := r.Members[c.ID]
	if c.To == "" { // the owner reports that the member can't go on
		step.Reason = c.Reason
		op.Steps[c.ID] = step
		r.appendAudit(no, "stuck", op.ID+" "+c.ID, c)
		return "", step.No
	}
	if c.To == "undo" {
		if step.State != StepGranted {
			return "only what was granted, and not acted on, is undone", step.No
		}
		step.Undo = true
		if member.Kind == "worker" {
			r.setIntent(no, member, false, c)
			step.State = StepReturning
		}
		step.No = no
		op.Steps[c.ID] = step
		r.appendAudit(no, "undo", op.ID+" "+c.ID, c)
		return "", no
	}
	// A scheduler that its own agent reports as down is started without regard to the limits, as it counts as out already.
	// Otherwise two schedulers that crashed would each keep the other from being started.
	if _, out := r.IsOut(c.ID); c.Then == downByAgent && c.To == StepOut && step.State == StepWaiting &&
		op.StartsDownSchedulers(member) && out && r.Permits[c.ID].Op == "" {
		r.Permits[c.ID] = Permit{op.ID, no}
		step.State, step.No, step.Reason = StepOut, no, ""
		op.Steps[c.ID] = step
		r.appendAudit(no, downByAgent, op.ID+" "+c.ID, c)
		return "", no
	}
	transition := op.nextTransition(member, step)
	if transition == nil || transition.to != c.To {
		return "no such step from " + step.State, step.No
	}
	health := r.Health[c.ID]
	switch transition.condition {
	case "room":
		if why := r.GrantRefusal(op, c.ID); why != "" {
			return why, step.No
		}
		r.Permits[c.ID] = Permit{op.ID, no}
	case "out":
		if health.State != "out" || health.RecordNo < step.No {
			return "not all have said yes", step.No
		}
	case "in":
		if health.State != HealthInService || health.RecordNo < step.No {
			return "it was not seen in service since", step.No
		}
		delete(r.Permits, c.ID)
		if step.Undo && !op.RollingBack {
			c.To = StepWaiting
		}
		step.Undo = false
	}
	if member.Kind == "worker" && (c.To == StepGranted || c.To == StepReturning) {
		r.setIntent(no, member, c.To == StepGranted, c)
	}
	step.State, step.No, step.AgentStart, step.Reason = c.To, no, c.AgentStart, ""
	op.Steps[c.ID] = step
	if c.To == StepGranted || c.To == StepInService || c.To == StepOut {
		r.appendAudit(no, c.To, op.ID+" "+c.ID, c)
	}
	return "", no
}

// setIntent records whether a worker is to be out, under the lease in c.Lease. The owner of the worker's zone then tells
// the schedulers.
func (r *Record) setIntent(no uint64, member Member, out bool, c *Command) {
	if intent := r.Intents[member.ID]; intent.Out != out {
		r.Intents[member.ID] = Intent{Zone: member.Zone, Out: out, Since: no, By: c.Lease, Reason: c.Reason}
	}
}

// advanceWave begins the next wave, or after the last one marks the operation as done. All members of the waves that have
// begun must have arrived; in a rollback a member that can't go on does not hold up the rest.
func (r *Record) advanceWave(no uint64, c *Command) (string, uint64) {
	op, why := r.ownedOperation(c)
	if why != "" {
		return why, 0
	}
	if uint64(op.Wave) != c.Expected || op.Done {
		return "it has moved since", 0
	}
	for _, id := range op.begunMembers() {
		if step := op.Steps[id]; !op.Arrived(step) && !(op.RollingBack && step.Reason != "") {
			return id + " has not arrived", 0
		}
	}
	if op.Wave+1 < len(op.Waves) {
		if halt, halted := r.Halts[op.ID]; halted {
			return "halted: " + halt.Reason, 0
		}
		op.Wave++
		r.appendAudit(no, "wave", fmt.Sprint(op.ID, " ", op.Wave+1), c)
		return "", no
	}
	op.Done = true
	if op.Kind != "release" {
		op.Closed = true // only a release can be rolled back after it is done
	}
	r.appendAudit(no, "done", op.ID, c)
	return "", no
}

// turnBack begins to roll an operation back, whatever state it is in: at a person's request, or at that of its owner if
// Operation.AutoRollBack is set.
func (r *Record) turnBack(no uint64, c *Command) (string, uint64) {
	op := r.Ops[strings.TrimPrefix(c.Lease, "op/")]
	if c.Owner != "" {
		if _, why := r.ownedOperation(c); why != "" {
			return why, 0
		}
	}
	switch {
	case op == nil:
		return "no such operation", 0
	case op.Closed || op.Kind == "undrain":
		return "it is closed, or nothing to go back from", 0
	case op.RollingBack:
		return "", 0
	}
	var alreadyOut, inService []string
	for _, id := range op.begunMembers() {
		step, member := op.Steps[id], r.Members[id]
		switch {
		case step.State == StepWaiting:
			step.State = StepInService // nothing was done to the member
		case step.State == StepInService && op.Kind == "release":
			step.State, inService = StepWaiting, append(inService, id)
		case step.State == StepInService:
		case member.Kind == "worker" && op.Kind != "release" && step.State != StepReturning && step.State != StepCommand:
			r.setIntent(no, member, false, &Command{Lease: OperationLease(op.ID)})
			step.State = StepReturning
			alreadyOut = append(alreadyOut, id)
		case member.Kind == "worker" && op.Kind != "release":
			alreadyOut = append(alreadyOut, id) // the site's command, if it runs, has to end first
		case member.Kind == "worker":
			step.State = StepGranted // the worker must run nothing when the former version is installed, so it has to be seen out again
			r.setIntent(no, member, true, &Command{Lease: OperationLease(op.ID)})
			alreadyOut = append(alreadyOut, id)
		default:
			step.State = StepOut
			alreadyOut = append(alreadyOut, id)
		}
		step.No, step.Undo, step.Reason, step.AgentStart = no, false, "", ""
		op.Steps[id] = step
	}
	for _, wave := range op.Waves[min(op.Wave+1, len(op.Waves)):] {
		for _, id := range wave {
			op.Steps[id] = Step{State: StepInService, No: no} // its wave never began
		}
	}
	// Members that are out are brought back first, then those that serve, which have to go out once more.
	slices.Sort(alreadyOut)
	op.Waves, op.Wave, op.RollingBack, op.Done = [][]string{append(alreadyOut, inService...)}, 0, true, false
	r.appendAudit(no, "back", op.ID, c)
	return "", no
}

// addHalt sets a halt, at a person's request or at that of an operation's owner.
func (r *Record) addHalt(no uint64, c *Command) (string, uint64) {
	op := r.Ops[c.ID]
	zone, isZone := strings.CutPrefix(c.ID, "zone/")
	switch {
	case c.By == "" || c.ID != "all" && !(isZone && zone != "") && op == nil:
		return "a halt is of an operation, a zone (zone/Z) or all, by somebody", 0
	case c.Then != "" && c.Then != "finish" && c.Then != "back":
		return "then: finish or back", 0
	}
	if c.Owner != "" {
		if _, why := r.ownedOperation(c); why != "" {
			return why, 0
		}
	}
	if _, ok := r.Halts[c.ID]; ok {
		return "", r.Halts[c.ID].No
	}
	if len(r.Halts) >= maxLeases {
		return "the record holds no more halts", 0
	}
	r.Halts[c.ID] = Halt{Scope: c.ID, By: c.By, Reason: c.Reason, No: no, Then: c.Then}
	r.appendAudit(no, "halt", c.ID, c)
	if c.Then == "back" && op != nil {
		r.turnBack(no, &Command{Lease: OperationLease(op.ID), By: c.By, Reason: c.Reason})
	}
	return "", no
}

// liftHalt removes a halt. Only a person may.
func (r *Record) liftHalt(no uint64, c *Command) (string, uint64) {
	switch halt, ok := r.Halts[c.ID]; {
	case c.By == "" || c.Owner != "":
		return "only a person lifts a halt", 0
	case !ok:
		return "nothing of that name is halted", 0
	default:
		delete(r.Halts, c.ID)
		r.appendAudit(no, "lift", c.ID, c)
		return "", halt.No
	}
}

// closeOperation ends an operation for good. Agents may then delete the former version that they kept for a rollback.
func (r *Record) closeOperation(no uint64, c *Command) (string, uint64) {
	op := r.Ops[strings.TrimPrefix(c.Lease, "op/")]
	switch {
	case op == nil:
		return "no such operation", 0
	case op.Closed:
		return "", 0
	case !op.Done && !c.Force:
		return "it is not over", 0
	}
	for _, id := range slices.Sorted(maps.Keys(op.Steps)) {
		if permit, ok := r.Permits[id]; ok && permit.Op == op.ID {
			return id + " is still out for it", 0
		}
	}
	op.Done, op.Closed = true, true
	delete(r.Halts, op.ID)
	r.appendAudit(no, "close", op.ID, c)
	return "", no
}

// setLimits replaces all limits.
func (r *Record) setLimits(no uint64, c *Command) (string, uint64) {
	if why := CheckLimits(c.Limits); why != "" || c.By == "" {
		return why, 0
	}
	r.Limits = c.Limits
	r.appendAudit(no, "limits", fmt.Sprint(len(c.Limits)), c)
	return "", no
}

// recordHealth takes over what the owner of a zone's lease saw of the zone's members. An observation that is older than the
// one on record is ignored.
func (r *Record) recordHealth(zone string, seen map[string]Health) {
	for id, health := range seen {
		if member, ok := r.Members[id]; ok && member.Zone == zone && len(health.State) <= maxNameBytes {
			if r.InjectedFault == "cold-in" && health.State == "cold" || r.InjectedFault == "unreached-in" && health.State == HealthNotReached {
				health.State = HealthInService
			}
			if former := r.Health[id]; health.RecordNo >= former.RecordNo {
				r.Health[id] = health
			}
		}
	}
}

// TransitionTable renders the state table as rows of a Markdown table, for docs/design/releases.md.
func TransitionTable() string {
	var text strings.Builder
	for _, transition := range transitions {
		kinds := transition.operationKinds
		if kinds == "" {
			kinds = "all"
		}
		call := transition.agentCall
		if call == "" {
			call = "-"
		}
		fmt.Fprintf(&text, "| %s | %s | %s -> %s | %s | %s |\n", transition.memberKind, kinds, transition.from, transition.to, call, transition.description)
	}
	return text.String()
}
