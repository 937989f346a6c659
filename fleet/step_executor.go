package fleet

import "strings"

// Note is the last step that an agent has begun at a member.
type Note struct {
	No    uint64 `json:"no"`    // Step.No
	Op    string `json:"op"`    // the operation's id
	Call  string `json:"call"`  // Do.Call
	State string `json:"state"` // going, done, failed, unknown
	Why   string `json:"why,omitempty"`
}

// Doer decides, at the agent of a member, which calls of an operation's owner the agent carries out. The host stores it on
// disk before it begins anything, so that a step isn't begun twice after a restart.
type Doer struct {
	Start string          `json:"-"`     // this start of the agent
	Bug   string          `json:"-"`     // a fault that a test injects, see Record.Bug
	Notes map[string]Note `json:"notes"` // by member id
	Halts map[string]Halt `json:"halts"` // by Halt.Of: halts set directly at this agent, in force here until they are on record and lifted there
}

// NewDoer returns a Doer without notes and halts.
func NewDoer(start string) *Doer {
	return &Doer{Start: start, Notes: map[string]Note{}, Halts: map[string]Halt{}}
}

// Known returns the result of a call about a step that has begun here before, if it has. A call about an earlier step of the
// member than the last one begun is refused for good.
func (d *Doer) Known(call Do) (Did, bool) {
	note := d.Notes[call.Member]
	switch {
	case d.Bug == "step-twice" && note.State == "done" && call.No == note.No:
	case call.No == note.No && note.No > 0:
		return Did{Reached: true, State: note.State, Why: note.Why, Start: d.Start}, true
	case call.No < note.No:
		return Did{Reached: true, State: "refused", Why: "a later step of this member has begun here", Start: d.Start}, true
	}
	return Did{}, false
}

// Begin decides whether a step that has not begun yet begins now. r is the record as of a linearizable read that started
// after the call arrived, nil if that read failed.
func (d *Doer) Begin(call Do, r *Record) (Did, bool) {
	refuse := func(why string) (Did, bool) {
		return Did{Reached: true, State: "refused", Why: why, Start: d.Start}, false
	}
	if did, known := d.Known(call); known {
		return did, false
	}
	if r == nil {
		return refuse("the current record could not be read")
	}
	op := r.Ops[call.Op]
	if op == nil {
		return refuse("no such operation")
	}
	step, member := op.Steps[call.Member], r.Members[call.Member]
	if transition := op.nextTransition(member, step); d.Bug != "stale-step" &&
		(step.No != call.No || transition == nil || transition.agentCall != call.Call) {
		return refuse("the member is not in this step on record")
	} else if d.Bug != "stale-step" && r.Matters[OpOf(call.Op)].Fence != call.Fence {
		return refuse("another owner holds the operation's lease")
	}
	if Takes(step) {
		if why := r.HaltReason(op, member.Zone); why != "" && d.Bug != "halt-at-owner" {
			return refuse(why)
		}
		if halt := d.LocalHalt(op, member.Zone); halt != nil && d.Bug != "halt-at-owner" {
			return refuse("halted here by " + halt.By + ": " + halt.Why)
		}
	}
	note := Note{No: call.No, Op: call.Op, Call: call.Call, State: "going"}
	if call.Call == "command" && call.AgentStart != d.Start {
		// An earlier start of the agent may have run the command and lost its note of that.
		note.State, note.Why = "unknown", "the call was meant for an earlier start of this agent, and there is no note of it"
	}
	d.Notes[call.Member] = note
	return Did{Reached: true, State: note.State, Why: note.Why, Start: d.Start}, note.State == "going"
}

// Takes reports whether the next call about a member in this step takes it out of service. Any other call brings it back or
// is made while it is out.
func Takes(s Step) bool { return s.At == Granted && !s.Undo }

// LocalHalt returns a halt set at this agent that applies to an operation in a zone, nil if there is none.
func (d *Doer) LocalHalt(op *Op, zone string) *Halt {
	for _, scope := range []string{"all", MatterOf(zone), op.ID} {
		if halt, ok := d.Halts[scope]; ok && !(op.Back && scope == op.ID) {
			return &halt
		}
	}
	return nil
}

// Holds reports whether a halt set at this agent applies to an operation that takes a worker out. Schedulers that were not
// told of the worker yet must then not be told; see Teller.Holds.
func (d *Doer) Holds(r *Record, intent Intent) bool {
	op := r.Ops[strings.TrimPrefix(intent.By, "op/")]
	return intent.Out && op != nil && d.Bug != "halt-at-owner" && d.LocalHalt(op, intent.Zone) != nil
}

// Lifted removes the halts that were on record and have been lifted there, and reports whether there were any.
func (d *Doer) Lifted(r *Record) (changed bool) {
	for scope, halt := range d.Halts {
		if _, onRecord := r.Halts[scope]; halt.No > 0 && r.No >= halt.No && !onRecord {
			delete(d.Halts, scope)
			changed = true
		}
	}
	return changed
}

// ShouldRun reports whether a scheduler should run according to the record, for an agent that starts and whose own note of
// that (noted) may be out of date, as after its disk was restored. A scheduler without a permit should run; one that was
// drained should not. The note decides only where the record doesn't.
func (r *Record) ShouldRun(id string, noted bool) bool {
	permit, out := r.Permits[id]
	if !out {
		return true
	}
	if op := r.Ops[permit.Op]; op != nil {
		switch step := op.Steps[id]; step.At {
		case Gone:
			return op.Kind != "drain" && op.Kind != "maintain" || op.Back
		case StepReturning, StepInService:
			return true
		}
	}
	return noted
}
