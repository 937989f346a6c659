package fleet

import "strings"

// StepNote is the last step that an agent has begun at a member.
type StepNote struct {
	No     uint64 `json:"no"`    // Step.No
	Op     string `json:"op"`    // the operation's id
	Call   string `json:"call"`  // AgentCall.Call
	State  string `json:"state"` // going, done, failed, unknown
	Reason string `json:"why,omitempty"`
}

// StepExecutor decides, at the agent of a member, which calls of an operation's owner the agent carries out. The host
// stores it on disk before it begins anything, so that a step isn't begun twice after a restart.
type StepExecutor struct {
	Start         string              `json:"-"`     // this start of the agent
	InjectedFault string              `json:"-"`     // a fault that a test injects, see Record.InjectedFault
	Notes         map[string]StepNote `json:"notes"` // by member id
	Halts         map[string]Halt     `json:"halts"` // by Halt.Scope: halts set directly at this agent, in force here until they are on record and lifted there
}

// NewStepExecutor returns a StepExecutor without notes and halts.
func NewStepExecutor(start string) *StepExecutor {
	return &StepExecutor{Start: start, Notes: map[string]StepNote{}, Halts: map[string]Halt{}}
}

// KnownResult returns the result of a call about a step that has begun here before, if it has. A call about an earlier step
// of the member than the last one begun is refused for good.
func (d *StepExecutor) KnownResult(call AgentCall) (AgentResult, bool) {
	note := d.Notes[call.Member]
	switch {
	case d.InjectedFault == "step-twice" && note.State == "done" && call.No == note.No:
	case call.No == note.No && note.No > 0:
		return AgentResult{Reached: true, State: note.State, Reason: note.Reason, Start: d.Start}, true
	case call.No < note.No:
		return AgentResult{Reached: true, State: "refused", Reason: "a later step of this member has begun here", Start: d.Start}, true
	}
	return AgentResult{}, false
}

// Begin decides whether a step that has not begun yet begins now. r is the record as of a linearizable read that started
// after the call arrived, nil if that read failed.
func (d *StepExecutor) Begin(call AgentCall, r *Record) (AgentResult, bool) {
	refuse := func(why string) (AgentResult, bool) {
		return AgentResult{Reached: true, State: "refused", Reason: why, Start: d.Start}, false
	}
	if did, known := d.KnownResult(call); known {
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
	if transition := op.nextTransition(member, step); d.InjectedFault != "stale-step" &&
		(step.No != call.No || transition == nil || transition.agentCall != call.Call) {
		return refuse("the member is not in this step on record")
	} else if d.InjectedFault != "stale-step" && r.Leases[OperationLease(call.Op)].Fence != call.Fence {
		return refuse("another owner holds the operation's lease")
	}
	if TakesOut(step) {
		if why := r.HaltReason(op, member.Zone); why != "" && d.InjectedFault != "halt-at-owner" {
			return refuse(why)
		}
		if halt := d.LocalHalt(op, member.Zone); halt != nil && d.InjectedFault != "halt-at-owner" {
			return refuse("halted here by " + halt.By + ": " + halt.Reason)
		}
	}
	note := StepNote{No: call.No, Op: call.Op, Call: call.Call, State: "going"}
	if call.Call == "command" && call.AgentStart != d.Start {
		// An earlier start of the agent may have run the command and lost its note of that.
		note.State, note.Reason = "unknown", "the call was meant for an earlier start of this agent, and there is no note of it"
	}
	d.Notes[call.Member] = note
	return AgentResult{Reached: true, State: note.State, Reason: note.Reason, Start: d.Start}, note.State == "going"
}

// TakesOut reports whether the next call about a member in this step takes it out of service. Any other call brings it back or
// is made while it is out.
func TakesOut(s Step) bool { return s.State == StepGranted && !s.Undo }

// LocalHalt returns a halt set at this agent that applies to an operation in a zone, nil if there is none.
func (d *StepExecutor) LocalHalt(op *Operation, zone string) *Halt {
	for _, scope := range []string{"all", ZoneLease(zone), op.ID} {
		if halt, ok := d.Halts[scope]; ok && !(op.RollingBack && scope == op.ID) {
			return &halt
		}
	}
	return nil
}

// Halted reports whether a halt set at this agent applies to an operation that takes a worker out. Schedulers that were not
// told of the worker yet must then not be told; see ZoneController.Halted.
func (d *StepExecutor) Halted(r *Record, intent Intent) bool {
	op := r.Ops[strings.TrimPrefix(intent.By, "op/")]
	return intent.Out && op != nil && d.InjectedFault != "halt-at-owner" && d.LocalHalt(op, intent.Zone) != nil
}

// DropLiftedHalts removes the halts that were on record and have been lifted there, and reports whether there were any.
func (d *StepExecutor) DropLiftedHalts(r *Record) (changed bool) {
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
		switch step := op.Steps[id]; step.State {
		case StepOut:
			return op.Kind != "drain" && op.Kind != "maintain" || op.RollingBack
		case StepReturning, StepInService:
			return true
		}
	}
	return noted
}
