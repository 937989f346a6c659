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
func (d *Doer) Known(do Do) (Did, bool) {
	n := d.Notes[do.Member]
	switch {
	case d.Bug == "step-twice" && n.State == "done" && do.No == n.No:
	case do.No == n.No && n.No > 0:
		return Did{Reached: true, State: n.State, Why: n.Why, Start: d.Start}, true
	case do.No < n.No:
		return Did{Reached: true, State: "refused", Why: "a later step was begun", Start: d.Start}, true
	}
	return Did{}, false
}

// Begin decides whether a step that was not begun yet begins now. r is the record as read for sure since the call came, nil
// where it could not be.
func (d *Doer) Begin(do Do, r *Record) (Did, bool) {
	no := func(why string) (Did, bool) {
		return Did{Reached: true, State: "refused", Why: why, Start: d.Start}, false
	}
	if did, known := d.Known(do); known {
		return did, false
	}
	if r == nil {
		return no("the record can't be read for sure")
	}
	op := r.Ops[do.Op]
	if op == nil {
		return no("no such operation")
	}
	s, m := op.Steps[do.Member], r.Members[do.Member]
	if w := op.stepOf(m, s); d.Bug != "stale-step" && (s.No != do.No || w == nil || w.call != do.Call) {
		return no("the record has it elsewhere by now")
	} else if d.Bug != "stale-step" && r.Matters[OpOf(do.Op)].Fence != do.Fence {
		return no("another owner has it")
	}
	if Takes(s) {
		if why := r.Halted(op, m.Zone); why != "" && d.Bug != "halt-at-owner" {
			return no(why)
		}
		if h := d.HaltOf(op, m.Zone); h != nil && d.Bug != "halt-at-owner" {
			return no("halted here by " + h.By + ": " + h.Why)
		}
	}
	n := Note{No: do.No, Op: do.Op, Call: do.Call, State: "going"}
	if do.Call == "command" && do.Start != d.Start {
		// It may have been run by a former life that lost its note of it.
		n.State, n.Why = "unknown", "it was meant for a former life of this agent, which has no note of it"
	}
	d.Notes[do.Member] = n
	return Did{Reached: true, State: n.State, Why: n.Why, Start: d.Start}, n.State == "going"
}

// Takes tells whether the next call at a step takes a member out that serves; any other brings one back.
func Takes(s Step) bool { return s.At == Granted && !s.Undo }

// HaltOf is a halt that was told here and covers an operation at a zone, nil for none.
func (d *Doer) HaltOf(op *Op, zone string) *Halt {
	for _, of := range []string{"all", MatterOf(zone), op.ID} {
		if h, ok := d.Halts[of]; ok && !(op.Back && of == op.ID) {
			return &h
		}
	}
	return nil
}

// Holds tells whether a worker that an operation has out may not be told of now, where nobody has been yet.
func (d *Doer) Holds(r *Record, w Intent) bool {
	op := r.Ops[strings.TrimPrefix(w.By, "op/")]
	return w.Out && op != nil && d.Bug != "halt-at-owner" && d.HaltOf(op, w.Zone) != nil
}

// Lifted drops halts that stood in the record and do not any more.
func (d *Doer) Lifted(r *Record) (changed bool) {
	for of, h := range d.Halts {
		if _, stands := r.Halts[of]; h.No > 0 && r.No >= h.No && !stands {
			delete(d.Halts, of)
			changed = true
		}
	}
	return changed
}

// ShouldRun tells whether a scheduler is meant to run by the record, for an agent that starts: its own notes may be of an
// older disk. Nobody has it out who holds no permit; one that was drained stays so.
func (r *Record) ShouldRun(id string, noted bool) bool {
	p, out := r.Permits[id]
	if !out {
		return true
	}
	if op := r.Ops[p.Op]; op != nil {
		switch s := op.Steps[id]; s.At {
		case Gone:
			return op.Kind != "drain" && op.Kind != "maintain" || op.Back
		case Acted, In:
			return true
		}
	}
	return noted
}
