package fleet

import "strings"

// Note is the last step that an agent has begun at a member.
type Note struct {
	No    uint64 `json:"no"`
	Op    string `json:"op"`
	Call  string `json:"call"`
	State string `json:"state"` // going, done, failed, unknown
	Why   string `json:"why,omitempty"`
}

// Doer decides what an agent begins of what it is told to do on its machine. Its host keeps it on disk before anything
// begins.
type Doer struct {
	Start string          `json:"-"` // of this life of the agent
	Bug   string          `json:"-"`
	Notes map[string]Note `json:"notes"`
	Halts map[string]Halt `json:"halts"` // told directly; they hold here until the record has them lifted
}

// NewDoer knows of nothing begun.
func NewDoer(start string) *Doer {
	return &Doer{Start: start, Notes: map[string]Note{}, Halts: map[string]Halt{}}
}

// Known is how a step stands that was begun before, if it was; a lower number than one begun is refused for good.
func (d *Doer) Known(call Do) (Did, bool) {
	note := d.Notes[call.Member]
	switch {
	case d.Bug == "step-twice" && note.State == "done" && call.No == note.No:
	case call.No == note.No && note.No > 0:
		return Did{Reached: true, State: note.State, Why: note.Why, Start: d.Start}, true
	case call.No < note.No:
		return Did{Reached: true, State: "refused", Why: "a later step was begun", Start: d.Start}, true
	}
	return Did{}, false
}

// Begin decides whether a step that was not begun yet begins now. r is the record as read for sure since the call came, nil
// where it could not be.
func (d *Doer) Begin(call Do, r *Record) (Did, bool) {
	refuse := func(why string) (Did, bool) {
		return Did{Reached: true, State: "refused", Why: why, Start: d.Start}, false
	}
	if did, known := d.Known(call); known {
		return did, false
	}
	if r == nil {
		return refuse("the record can't be read for sure")
	}
	op := r.Ops[call.Op]
	if op == nil {
		return refuse("no such operation")
	}
	step, member := op.Steps[call.Member], r.Members[call.Member]
	if transition := op.nextTransition(member, step); d.Bug != "stale-step" && (step.No != call.No || transition == nil || transition.agentCall != call.Call) {
		return refuse("the record has it elsewhere by now")
	} else if d.Bug != "stale-step" && r.Matters[OpOf(call.Op)].Fence != call.Fence {
		return refuse("another owner has it")
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
		// It may have been run by a former life that lost its note of it.
		note.State, note.Why = "unknown", "it was meant for a former life of this agent, which has no note of it"
	}
	d.Notes[call.Member] = note
	return Did{Reached: true, State: note.State, Why: note.Why, Start: d.Start}, note.State == "going"
}

// Takes tells whether the next call at a step takes a member out that serves; any other brings one back.
func Takes(s Step) bool { return s.At == Granted && !s.Undo }

// HaltOf is a halt that was told here and covers an operation at a zone, nil for none.
func (d *Doer) LocalHalt(op *Op, zone string) *Halt {
	for _, scope := range []string{"all", MatterOf(zone), op.ID} {
		if halt, ok := d.Halts[scope]; ok && !(op.Back && scope == op.ID) {
			return &halt
		}
	}
	return nil
}

// Holds tells whether a worker that an operation has out may not be told of now, where nobody has been yet.
func (d *Doer) Holds(r *Record, intent Intent) bool {
	op := r.Ops[strings.TrimPrefix(intent.By, "op/")]
	return intent.Out && op != nil && d.Bug != "halt-at-owner" && d.LocalHalt(op, intent.Zone) != nil
}

// Lifted drops halts that stood in the record and do not any more.
func (d *Doer) Lifted(r *Record) (changed bool) {
	for scope, halt := range d.Halts {
		if _, onRecord := r.Halts[scope]; halt.No > 0 && r.No >= halt.No && !onRecord {
			delete(d.Halts, scope)
			changed = true
		}
	}
	return changed
}

// ShouldRun tells whether a scheduler is meant to run by the record, for an agent that starts: its own notes may be of an
// older disk. Nobody has it out who holds no permit; one that was drained stays so.
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
