package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Operations are steps in the record. Whoever owns one carries it; a successor goes on at what stands here.

// Where a member stands in an operation.
const (
	Waits         = "waits"
	Granted       = "granted" // it has its permit, and may have been told to go
	Gone          = "out"     // nothing new goes there, and nothing runs there
	StepCommand   = "acting"  // the site's own command is about to be, is being, or was run
	StepReturning = "acted"   // it is to come back
	StepInService = "in"      // it was seen in service since
)

// What is seen of a member, by who owns its zone.
const (
	InService        = "in"
	HealthNotReached = "not reached"
)

const downByAgent = "down" // by its own agent: no process of it serves

const (
	maxLimits           = 100
	maxClosedOperations = 50 // operations that are over
	maxVersionBytes     = 2000
	maxOperationMembers = 5000 // of one operation
)

// Seen is how a member was last seen to stand.
type Seen struct {
	State    string `json:"state"` // in, or what else: starting, draining, cold, unlisted, out, not reached
	RecordNo uint64 `json:"of"`    // what the record was at, for who looked, when the look began
}

// Permit is one member's leave to be out. Only its being seen in service ends it.
type Permit struct {
	Op string `json:"op"`
	No uint64 `json:"no"`
}

// Version is what a release brings: a program and, where it changes, a configuration, named by what they hold.
type Version struct {
	Program string `json:"program,omitempty" toml:"program,omitempty"` // its path on each machine
	Digest  string `json:"digest,omitempty" toml:"digest,omitempty"`   // sha256 of it
	Config  string `json:"config,omitempty" toml:"config,omitempty"`   // path on each machine; {id} stands for the member
	Name    string `json:"name,omitempty" toml:"name,omitempty"`       // of what the site's own command brings to workers
}

// Gates say when the released part is worse than the part that is not.
type Gates struct {
	Settled  float64 `json:"settled,omitempty" toml:"settled"`   // the settled share may be so much lower
	Declined float64 `json:"declined,omitempty" toml:"declined"` // the declined share so much higher
	Reversed float64 `json:"reversed,omitempty" toml:"reversed"` // the reversed share so much higher
	Txns     int     `json:"txns,omitempty" toml:"txns"`         // with fewer on either side nothing is said
	Lost     int     `json:"lost,omitempty" toml:"lost"`         // so many released members that left service again halt it
}

// Op is an operation.
type Op struct {
	ID       string          `json:"id"`
	Kind     string          `json:"kind"` // drain, undrain, restart, maintain, release
	By       string          `json:"by"`
	Why      string          `json:"why,omitempty"`
	Waves    [][]string      `json:"waves"`
	Wave     int             `json:"wave"`
	Together int             `json:"together,omitempty"` // so many of it out at once at the most, beside the limits
	Back     bool            `json:"back,omitempty"`     // it goes back
	Done     bool            `json:"done,omitempty"`
	Closed   bool            `json:"closed,omitempty"`
	Steps    map[string]Step `json:"steps"`
	Version  Version         `json:"version"`
	Gates    Gates           `json:"gates"`
	Watch    float64         `json:"watch,omitempty"`     // ms after each wave
	Pause    float64         `json:"pause,omitempty"`     // ms that what is maintained stays out
	WaveMost float64         `json:"wave_ms,omitempty"`   // a wave that takes longer halts it
	AutoBack bool            `json:"auto_back,omitempty"` // a halt that comes by itself also turns it back
}

// Step is where one member stands.
type Step struct {
	At         string `json:"at"`
	No         uint64 `json:"no"`              // the command that moved it there
	Undo       bool   `json:"undo,omitempty"`  // it comes back without having been acted on
	AgentStart string `json:"start,omitempty"` // the life of the agent that was to act
	Why        string `json:"why,omitempty"`   // why it can't go on
}

// Halt stops new steps of one operation, a zone or all.
type Halt struct {
	Of   string `json:"of"` // an operation's id, zone/ZONE, or all
	By   string `json:"by"`
	Why  string `json:"why,omitempty"`
	No   uint64 `json:"no"`
	Then string `json:"then,omitempty"` // finish or back
}

// row is one line of the table of steps: a member of a kind, in an operation of these kinds, standing at from.
type transition struct {
	memberKind     string
	operationKinds string // kinds of operations, and "back" for any that goes back; "" for all
	from           string
	agentCall      string // at the member's agent, till it says that it is done: stop, run, command
	condition      string // what has to hold in the record besides: room, out, in, pause
	to             string
	description    string // in words, for the drawing
}

// steps is the table that runs; docs/design/releases.md has its drawing.
var transitions = []transition{
	{"scheduler", "drain restart maintain release back", Waits, "", "room", Granted, "a permit"},
	{"scheduler", "drain maintain", Granted, "stop", "", Gone, "its process has ended"},
	{"scheduler", "restart release back", Granted, "run", "", StepReturning, "the new process took over"},
	{"scheduler", "undrain back restart", Gone, "run", "", StepReturning, "its process is ready"},
	{"scheduler", "maintain", Gone, "run", "pause", StepReturning, "the pause is over, its process is ready"},
	{"scheduler", "", StepReturning, "", "in", StepInService, "seen in service"},
	{"worker", "drain restart maintain release back", Waits, "", "room", Granted, "a permit, and all are told"},
	{"worker", "", Granted, "", "out", Gone, "all said yes, nothing runs there"},
	{"worker", "restart maintain release", Gone, "", "pause", StepCommand, "noted before it is told"},
	{"worker", "", StepCommand, "command", "", StepReturning, "the site's command has ended well"},
	{"worker", "undrain", Gone, "", "", StepReturning, "all are told that it is back"},
	{"worker", "", StepReturning, "", "in", StepInService, "seen in service, warm"},
}

// stepOf is the row that a member is at, nil where it has arrived.
func (o *Op) nextTransition(m Member, s Step) *transition {
	if o.Kind == "drain" && !o.Back && s.At == Gone && !s.Undo {
		return nil
	}
	for i := range transitions {
		candidate := &transitions[i]
		kind := o.Kind
		if (o.Back || s.Undo) && !(m.Kind == "worker" && o.Kind == "release") { // a worker's way back is a release of the former
			kind = "back"
		}
		if candidate.memberKind == m.Kind && candidate.from == s.At && (candidate.operationKinds == "" || slices.Contains(strings.Fields(candidate.operationKinds), kind)) {
			return candidate
		}
	}
	return nil
}

// Arrived tells whether a member has nothing more to do in an operation.
func (o *Op) Arrived(s Step) bool {
	return s.At == StepInService || o.Kind == "drain" && !o.Back && s.At == Gone
}

// Raises tells whether an operation starts schedulers that are down, where their agents say so.
func (o *Op) StartsDownSchedulers(m Member) bool {
	return m.Kind == "scheduler" && (o.Back || o.Kind == "restart")
}

// Open tells whether an operation still has something to do, or may yet go back.
func (o *Op) Open() bool { return !o.Done && !o.Closed }

// now lists the members of the waves that have begun, in their order.
func (o *Op) begunMembers() (ids []string) {
	for _, wave := range o.Waves[:min(o.Wave+1, len(o.Waves))] {
		ids = append(ids, wave...)
	}
	return ids
}

// OpOf names the matter of an operation.
func OpOf(id string) string { return "op/" + id }

// Halted is why nothing new may be taken out for an operation at a member, "" where nothing keeps it.
func (r *Record) HaltReason(op *Op, zone string) string {
	for _, scope := range []string{"all", MatterOf(zone), op.ID} {
		if h, ok := r.Halts[scope]; ok && !(op.Back && scope == op.ID) {
			return fmt.Sprintf("halted (%s) by %s: %s", scope, h.By, h.Why)
		}
	}
	return ""
}

// Grant is why a member may not be taken out now for an operation, "" where it may.
func (r *Record) Grant(op *Op, id string) string { return r.grantRefusal(op, id, nil) }

// grant takes further members as granted already: an owner asks for many at once.
func (r *Record) grantRefusal(op *Op, id string, alsoOut map[string]bool) string {
	member, known := r.Members[id]
	switch permit, has := r.Permits[id]; {
	case !known:
		return "no such member any more"
	case has && permit.Op != op.ID && r.Bug != "two-permits":
		return "it has a permit of " + permit.Op
	case member.Kind == "worker" && r.Workers[id].Out && r.Workers[id].By != OpOf(op.ID):
		return "it was taken out by " + r.Workers[id].By
	}
	if why := r.HaltReason(op, member.Zone); why != "" {
		return why
	}
	if op.Together > 0 {
		out := len(alsoOut)
		for _, permit := range r.Permits {
			if permit.Op == op.ID {
				out++
			}
		}
		if out >= op.Together {
			return fmt.Sprintf("%d of this operation are out, %d may be", out, op.Together)
		}
	}
	if r.Bug == "back-unlimited" && op.Back {
		return ""
	}
	return r.limitRefusal(id, alsoOut)
}

func (r *Record) beginOperation(no uint64, c *Command) (string, uint64) {
	requested := c.Op
	if requested == nil || c.By == "" || !slices.Contains([]string{"drain", "undrain", "restart", "maintain", "release"}, requested.Kind) {
		return "an operation is a drain, undrain, restart, maintain or release, by somebody", 0
	}
	if halt, ok := r.Halts["all"]; ok && requested.Kind != "undrain" {
		return "everything is halted by " + halt.By + ": " + halt.Why, 0
	}
	op := *requested
	op.ID, op.By, op.Why = fmt.Sprintf("%s-%d", requested.Kind, no), c.By, c.Why
	op.Steps, op.Wave, op.Back, op.Done, op.Closed = map[string]Step{}, 0, false, false, false
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
				if _, inOther := other.Steps[id]; inOther && other.Open() { // also where it has arrived: that one may yet go back
					return fmt.Sprintf("%s is in %s, which is not over", id, other.ID), 0
				}
			}
			op.Steps[id] = Step{At: Waits, No: no}
			// It would wait for what only its undrain ends, and keep that from beginning.
			if permit, hasPermit := r.Permits[id]; hasPermit && requested.Kind != "undrain" && r.Bug != "two-permits" {
				return fmt.Sprintf("%s is out for %s: bring it back first, with undrain", id, permit.Op), 0
			}
			if requested.Kind == "undrain" {
				// Of a drain, or of what ended without it: a person says that it is well.
				if permit, ok := r.Permits[id]; !ok || r.Ops[permit.Op] != nil && r.Ops[permit.Op].Open() {
					return id + " is not out, or its operation is not over", 0
				}
				op.Steps[id] = Step{At: Gone, No: no}
				continue
			}
			// What can never begin is refused before anything moves.
			if maxOut, limit := r.maxOut(id); maxOut < 1 {
				return fmt.Sprintf("%s can never go out: %s", id, limit), 0
			} else if op.Together > maxOut {
				return fmt.Sprintf("together = %d, and %s lets %d be out", op.Together, limit, maxOut), 0
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

// tidy forgets the oldest operations that are over, beyond those that are kept, where nobody is out for them.
func (r *Record) pruneClosedOperations() {
	inUse := map[string]bool{}
	for _, p := range r.Permits {
		inUse[p.Op] = true
	}
	var closed []*Op
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		if op := r.Ops[id]; op.Closed && !inUse[id] {
			closed = append(closed, op)
		}
	}
	beginNo := func(op *Op) (no uint64) {
		_, text, _ := strings.Cut(op.ID, "-")
		fmt.Sscan(text, &no)
		return no
	}
	slices.SortFunc(closed, func(a, b *Op) int { return int(int64(beginNo(a)) - int64(beginNo(b))) })
	for _, op := range closed[:max(len(closed)-maxClosedOperations, 0)] {
		delete(r.Ops, op.ID)
		delete(r.Matters, OpOf(op.ID))
		delete(r.Halts, op.ID)
	}
}

// owned is the operation of a command of its owner, with why it does not count, "" where it does.
func (r *Record) ownedOperation(c *Command) (*Op, string) {
	op := r.Ops[strings.TrimPrefix(c.Matter, "op/")]
	lease := r.Matters[c.Matter]
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

// step moves one member on, by its operation's owner: along the table, one row, from where the owner saw it stand.
func (r *Record) advanceMember(no uint64, c *Command) (string, uint64) {
	op, why := r.ownedOperation(c)
	if why != "" {
		return why, 0
	}
	step, known := op.Steps[c.ID]
	if !known || step.No != c.Renewed {
		return "it has moved since", step.No
	}
	member := r.Members[c.ID]
	if c.To == "" { // it can't go on
		step.Why = c.Why
		op.Steps[c.ID] = step
		r.appendAudit(no, "stuck", op.ID+" "+c.ID, c)
		return "", step.No
	}
	if c.To == "undo" {
		if step.At != Granted {
			return "only what was granted, and not acted on, is undone", step.No
		}
		step.Undo = true
		if member.Kind == "worker" {
			r.setIntent(no, member, false, c)
			step.At = StepReturning
		}
		step.No = no
		op.Steps[c.ID] = step
		r.appendAudit(no, "undo", op.ID+" "+c.ID, c)
		return "", no
	}
	// One that its own agent knows to be down takes no room to be started: else two that fell would keep each other out.
	if _, out := r.IsOut(c.ID); c.Then == downByAgent && c.To == Gone && step.At == Waits && op.StartsDownSchedulers(member) && out && r.Permits[c.ID].Op == "" {
		r.Permits[c.ID] = Permit{op.ID, no}
		step.At, step.No, step.Why = Gone, no, ""
		op.Steps[c.ID] = step
		r.appendAudit(no, downByAgent, op.ID+" "+c.ID, c)
		return "", no
	}
	transition := op.nextTransition(member, step)
	if transition == nil || transition.to != c.To {
		return "no such step from " + step.At, step.No
	}
	health := r.Health[c.ID]
	switch transition.condition {
	case "room":
		if why := r.Grant(op, c.ID); why != "" {
			return why, step.No
		}
		r.Permits[c.ID] = Permit{op.ID, no}
	case "out":
		if health.State != "out" || health.RecordNo < step.No {
			return "not all have said yes", step.No
		}
	case "in":
		if health.State != InService || health.RecordNo < step.No {
			return "it was not seen in service since", step.No
		}
		delete(r.Permits, c.ID)
		if step.Undo && !op.Back {
			c.To = Waits
		}
		step.Undo = false
	}
	if member.Kind == "worker" && (c.To == Granted || c.To == StepReturning) {
		r.setIntent(no, member, c.To == Granted, c)
	}
	step.At, step.No, step.AgentStart, step.Why = c.To, no, c.AgentStart, ""
	op.Steps[c.ID] = step
	if c.To == Granted || c.To == StepInService || c.To == Gone {
		r.appendAudit(no, c.To, op.ID+" "+c.ID, c)
	}
	return "", no
}

// intend has schedulers told about a worker, by the owner of its zone.
func (r *Record) setIntent(no uint64, member Member, out bool, c *Command) {
	if intent := r.Workers[member.ID]; intent.Out != out {
		r.Workers[member.ID] = Intent{Zone: member.Zone, Out: out, Since: no, By: c.Matter, Why: c.Why}
	}
}

// wave begins the next wave, or ends the operation.
func (r *Record) advanceWave(no uint64, c *Command) (string, uint64) {
	op, why := r.ownedOperation(c)
	if why != "" {
		return why, 0
	}
	if uint64(op.Wave) != c.Renewed || op.Done {
		return "it has moved since", 0
	}
	for _, id := range op.begunMembers() {
		if step := op.Steps[id]; !op.Arrived(step) && !(op.Back && step.Why != "") {
			return id + " has not arrived", 0
		}
	}
	if op.Wave+1 < len(op.Waves) {
		if halt, halted := r.Halts[op.ID]; halted {
			return "halted: " + halt.Why, 0
		}
		op.Wave++
		r.appendAudit(no, "wave", fmt.Sprint(op.ID, " ", op.Wave+1), c)
		return "", no
	}
	op.Done = true
	if op.Kind != "release" {
		op.Closed = true // nothing is kept for a way back
	}
	r.appendAudit(no, "done", op.ID, c)
	return "", no
}

// turn has an operation go back, from any point: by a person, or by its owner where the file says so.
func (r *Record) turnBack(no uint64, c *Command) (string, uint64) {
	op := r.Ops[strings.TrimPrefix(c.Matter, "op/")]
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
	case op.Back:
		return "", 0
	}
	var alreadyOut, inService []string
	for _, id := range op.begunMembers() {
		step, member := op.Steps[id], r.Members[id]
		switch {
		case step.At == Waits:
			step.At = StepInService // nothing was done
		case step.At == StepInService && op.Kind == "release":
			step.At, inService = Waits, append(inService, id)
		case step.At == StepInService:
		case member.Kind == "worker" && op.Kind != "release" && step.At != StepReturning && step.At != StepCommand:
			r.setIntent(no, member, false, &Command{Matter: OpOf(op.ID)})
			step.At = StepReturning
			alreadyOut = append(alreadyOut, id)
		case member.Kind == "worker" && op.Kind != "release":
			alreadyOut = append(alreadyOut, id) // what runs there ends first
		case member.Kind == "worker":
			step.At = Granted // nothing may run there when the former version comes
			r.setIntent(no, member, true, &Command{Matter: OpOf(op.ID)})
			alreadyOut = append(alreadyOut, id)
		default:
			step.At = Gone
			alreadyOut = append(alreadyOut, id)
		}
		step.No, step.Undo, step.Why, step.AgentStart = no, false, "", ""
		op.Steps[id] = step
	}
	for _, wave := range op.Waves[min(op.Wave+1, len(op.Waves)):] {
		for _, id := range wave {
			op.Steps[id] = Step{At: StepInService, No: no} // never begun
		}
	}
	// Those that are out come first, then those that still serve and have to go out once more.
	slices.Sort(alreadyOut)
	op.Waves, op.Wave, op.Back, op.Done = [][]string{append(alreadyOut, inService...)}, 0, true, false
	r.appendAudit(no, "back", op.ID, c)
	return "", no
}

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
	r.Halts[c.ID] = Halt{Of: c.ID, By: c.By, Why: c.Why, No: no, Then: c.Then}
	r.appendAudit(no, "halt", c.ID, c)
	if c.Then == "back" && op != nil {
		r.turnBack(no, &Command{Matter: OpOf(op.ID), By: c.By, Why: c.Why})
	}
	return "", no
}

// lift ends a halt. Only a person does.
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

// close ends an operation for good: what was kept for its way back may go.
func (r *Record) closeOperation(no uint64, c *Command) (string, uint64) {
	op := r.Ops[strings.TrimPrefix(c.Matter, "op/")]
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

func (r *Record) setLimits(no uint64, c *Command) (string, uint64) {
	if why := CheckLimits(c.Limits); why != "" || c.By == "" {
		return why, 0
	}
	r.Limits = c.Limits
	r.appendAudit(no, "limits", fmt.Sprint(len(c.Limits)), c)
	return "", no
}

// saw takes what the owner of a zone saw of its members.
func (r *Record) recordHealth(zone string, seen map[string]Seen) {
	for id, health := range seen {
		if member, ok := r.Members[id]; ok && member.Zone == zone && len(health.State) <= maxNameBytes {
			if r.Bug == "cold-in" && health.State == "cold" || r.Bug == "unreached-in" && health.State == HealthNotReached {
				health.State = InService
			}
			if former := r.Health[id]; health.RecordNo >= former.RecordNo {
				r.Health[id] = health
			}
		}
	}
}

// Drawing is the table of steps as text, for docs/design/releases.md.
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
