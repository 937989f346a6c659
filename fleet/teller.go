package fleet

import (
	"maps"
	"slices"
)

const (
	statusIntervalMs = 1000.0 // how soon a scheduler that was started again is seen
	initialBackoffMs = 100.0  // after a call that did not come through, then twice as long each time
	maxBackoffMs     = 2000.0

	maxReportedMembers = 400 // members in one renewal
)

// Act is what a call does at a scheduler.
type CallKind int

const (
	Look  CallKind = iota // which start it is, which number is in force there
	Close                 // the number of the owner before is taken no more
	Tell                  // one worker is out, or in again
)

// Call is one to make at a scheduler. It is meant for one start of it, and carries the owner's number.
type Call struct {
	To     Member
	Act    CallKind
	Matter string
	Fence  uint64
	Start  string
	Worker string
	Out    bool
	Since  uint64
}

// Reply is what came of a call.
type Reply struct {
	Reached bool   // else it may have come or not
	Done    bool   // the scheduler said yes
	Start   string // of the scheduler that answered
	Fence   uint64 // in force there
	Out     []string
	Why     string
	Phase   string            // of the scheduler
	Workers map[string]string // of the zone: warm, cold or busy, as it has them running
	Txns    Txns
}

type schedulerState struct {
	Member
	processStart          string
	fenceAccepted         bool
	acknowledged          map[string]uint64 // by worker: the change that it said yes to
	reportedOut           map[string]bool   // those that were out there when it was last looked at
	callPending           bool
	nextCallAt            float64 // when to call next
	nextStatusAt          float64
	failures              int
	reason                string // why it refused, or why it was not reached
	answered              bool
	phase                 string
	workerStates          map[string]string // workers, as it has them
	statusRecordNo        uint64            // what the record was at when that look began
	pendingStatusRecordNo uint64            // the same of the look under way
}

// Teller is what the owner of a zone's matter knows of the schedulers that it keeps told who is out.
type Teller struct {
	Matter     string
	Fence      uint64
	Passed     uint64 // a higher number that a scheduler named: this owner is none any more
	Bug        string // one planted by a test of what finds it, "" in any other use
	schedulers map[string]*schedulerState
	intents    map[string]Intent
	// Holds tells of a worker that is to go out whether nobody may be told of it now who was not yet: it is halted here.
	Holds     func(Intent) bool
	record    *Record
	zone      string
	startedAt float64 // when this ownership began
}

// NewTeller begins with nothing known: whatever a predecessor did is looked up at each scheduler.
func NewTeller(matter string, fence uint64) *Teller {
	return &Teller{Matter: matter, Fence: fence, schedulers: map[string]*schedulerState{}, intents: map[string]Intent{}, startedAt: -1}
}

// Follow takes the record as it now is: the schedulers, and what is intended for the zone's workers.
func (t *Teller) Follow(now float64, r *Record, zone string) {
	if t.record, t.zone = r, zone; t.startedAt < 0 {
		t.startedAt = now
	}
	isMember := map[string]bool{}
	for _, member := range r.Of("scheduler") {
		isMember[member.ID] = true
		if scheduler := t.schedulers[member.ID]; scheduler == nil || scheduler.Member != member {
			t.schedulers[member.ID] = &schedulerState{Member: member, acknowledged: map[string]uint64{}}
		}
	}
	maps.DeleteFunc(t.schedulers, func(id string, _ *schedulerState) bool { return !isMember[id] })
	clear(t.intents)
	for id, intent := range r.Workers {
		if intent.Zone == zone {
			t.intents[id] = intent
		}
	}
	// What waits to be seen since its last step is looked at now, and not at the next round: a worker through all of them.
	workerStepNo := uint64(0)
	for id, permit := range r.Permits {
		member := r.Members[id]
		if member.Zone != zone {
			continue
		}
		stepNo := permit.No
		if op := r.Ops[permit.Op]; op != nil {
			stepNo = max(stepNo, op.Steps[id].No)
		}
		if member.Kind == "worker" {
			workerStepNo = max(workerStepNo, stepNo)
		} else if scheduler := t.schedulers[id]; scheduler != nil && scheduler.statusRecordNo < stepNo {
			scheduler.nextStatusAt = min(scheduler.nextStatusAt, now)
		}
	}
	for _, scheduler := range t.schedulers {
		if scheduler.statusRecordNo < workerStepNo {
			scheduler.nextStatusAt = min(scheduler.nextStatusAt, now)
		}
	}
}

// owed is the first worker that a scheduler is still to be told of.
func (t *Teller) nextUnacknowledged(scheduler *schedulerState) (string, bool) {
	for _, id := range slices.Sorted(maps.Keys(t.intents)) {
		intent := t.intents[id]
		// What is in use need not be told to one that has it in use.
		if scheduler.acknowledged[id] != intent.Since && (intent.Out || scheduler.acknowledged[id] > 0 || scheduler.reportedOut[id]) {
			if t.Holds != nil && !scheduler.reportedOut[id] && t.Holds(intent) {
				continue
			}
			return id, true
		}
	}
	return "", false
}

// Next decides the next call. One scheduler has one call at a time, so that no older one overtakes.
func (t *Teller) Next(now float64) (Call, bool) {
	if t.Passed > 0 {
		return Call{}, false
	}
	for _, id := range slices.Sorted(maps.Keys(t.schedulers)) {
		scheduler := t.schedulers[id]
		if scheduler.callPending || now < scheduler.nextCallAt {
			continue
		}
		call := Call{To: scheduler.Member, Matter: t.Matter, Fence: t.Fence, Start: scheduler.processStart}
		switch worker, owes := t.nextUnacknowledged(scheduler); {
		case scheduler.processStart == "" || now >= scheduler.nextStatusAt:
			call.Act, call.Start, scheduler.pendingStatusRecordNo = Look, "", t.record.No
		case !scheduler.fenceAccepted && t.Bug != "not-closed":
			call.Act = Close
		case owes:
			intent := t.intents[worker]
			call.Act, call.Worker, call.Out, call.Since = Tell, worker, intent.Out, intent.Since
		default:
			continue
		}
		scheduler.callPending = true
		return call, true
	}
	return Call{}, false
}

// Answered takes what came of a call.
func (t *Teller) Answered(now float64, call Call, reply Reply) {
	scheduler := t.schedulers[call.To.ID]
	if scheduler == nil || scheduler.Member != call.To {
		return
	}
	scheduler.callPending = false
	if !reply.Reached {
		// It may have come through, and is sent again as it was: a yes twice is one.
		scheduler.failures++
		scheduler.nextCallAt = now + min(initialBackoffMs*float64(int(1)<<min(scheduler.failures-1, 10)), maxBackoffMs)
		scheduler.reason = reply.Why
		return
	}
	scheduler.failures, scheduler.nextCallAt, scheduler.reason, scheduler.answered = 0, now, "", true
	if reply.Fence > t.Fence {
		t.Passed = reply.Fence
		return
	}
	if reply.Start != scheduler.processStart && (scheduler.processStart == "" || t.Bug != "restart-untold") {
		// Started again from nothing: what its former life said yes to counts no more.
		scheduler.processStart, scheduler.fenceAccepted = reply.Start, false
		clear(scheduler.acknowledged)
	}
	switch {
	case !reply.Done:
		scheduler.reason, scheduler.nextStatusAt, scheduler.nextCallAt = reply.Why, now, now+initialBackoffMs
	case call.Act == Look:
		scheduler.nextStatusAt, scheduler.reportedOut = now+statusIntervalMs, map[string]bool{}
		scheduler.phase, scheduler.workerStates, scheduler.statusRecordNo = reply.Phase, reply.Workers, scheduler.pendingStatusRecordNo
		for _, id := range reply.Out {
			scheduler.reportedOut[id] = true
		}
		if reply.Fence < t.Fence {
			scheduler.fenceAccepted = false
		}
	case call.Start != scheduler.processStart:
	case call.Act == Close:
		scheduler.fenceAccepted = true
	case call.Act == Tell:
		scheduler.acknowledged[call.Worker] = call.Since
		scheduler.reportedOut[call.Worker] = call.Out
	}
}

// Wake is when to pull again if nothing happens before.
func (t *Teller) NextWakeAt(now float64) float64 {
	at := now + statusIntervalMs
	for _, scheduler := range t.schedulers {
		if !scheduler.callPending {
			at = min(at, max(scheduler.nextCallAt, min(scheduler.nextStatusAt, at)))
		}
	}
	return at
}

// State is how one scheduler stands to a change.
type State string

const (
	Obeyed     State = "obeyed"
	Refused    State = "refused"
	NotReached State = "not reached"
	Unknown    State = "unknown" // it answers, and has not said yes yet
)

// Standing is one row of who obeyed.
type Standing struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Why   string `json:"why,omitempty"`
}

// state is how a scheduler stands, by the last look.
func (scheduler *schedulerState) health() string {
	switch {
	case scheduler.failures > 0 || !scheduler.answered:
		return HealthNotReached
	case scheduler.phase == "serving":
		return InService
	case scheduler.phase == "":
		return "unknown"
	}
	return scheduler.phase
}

// worker is how one stands, by all schedulers that serve: warm at each that has it, or out and quiet at all.
func (t *Teller) workerHealth(id string) Seen {
	health := Seen{State: HealthNotReached, RecordNo: t.record.No}
	if intent := t.intents[id]; intent.Out {
		health.State = "out"
		for _, standing := range t.Told(id) {
			scheduler := t.schedulers[standing.ID]
			if standing.State != Obeyed || scheduler.workerStates[id] == "busy" || scheduler.statusRecordNo < intent.Since {
				health.State = "draining"
			}
		}
		return health
	}
	for _, scheduler := range t.schedulers { // in any order: the least and the worst of all
		if scheduler.health() != InService {
			continue
		}
		switch health.RecordNo = min(health.RecordNo, scheduler.statusRecordNo); {
		case scheduler.workerStates[id] == "cold" && health.State != "unlisted" || scheduler.reportedOut[id]:
			health.State = "cold"
		case scheduler.workerStates[id] == "":
			health.State = "unlisted"
		case health.State == HealthNotReached:
			health.State = InService
		}
	}
	return health
}

// Report is what has changed of how the zone's members stand, to go with the next renewal, and whether all of them were
// looked at since this ownership began.
func (t *Teller) Report(now float64) (changed map[string]Seen, whole bool) {
	if t.record == nil || t.record.V < 2 {
		return nil, false // a record of the older form has no room for it
	}
	whole = true
	for _, member := range t.record.Of("scheduler") {
		scheduler := t.schedulers[member.ID]
		whole = whole && (scheduler.answered || scheduler.failures > 0)
	}
	for id, member := range t.record.Members {
		if member.Zone != t.zone || member.Kind == "agent" {
			continue
		}
		health := t.memberHealth(member)
		if health.State == HealthNotReached && !whole {
			continue
		}
		recorded, isRecorded := t.record.Health[id]
		_, hasPermit := t.record.Permits[id]
		if health.State == HealthNotReached {
			health.RecordNo = max(health.RecordNo, recorded.RecordNo) // that nobody reaches it is news of now
		}
		if isRecorded && recorded.State == health.State && !(hasPermit && health.RecordNo > recorded.RecordNo && health.RecordNo >= t.requiredRecordNo(id) && recorded.RecordNo < t.requiredRecordNo(id)) || health.RecordNo < recorded.RecordNo {
			continue
		}
		if changed == nil {
			changed = map[string]Seen{}
		}
		if changed[id] = health; len(changed) >= maxReportedMembers {
			break // the rest goes with the next renewal
		}
	}
	return changed, whole
}

func (t *Teller) memberHealth(member Member) (health Seen) {
	if member.Kind == "worker" {
		return t.workerHealth(member.ID)
	}
	if scheduler := t.schedulers[member.ID]; scheduler != nil {
		return Seen{scheduler.health(), scheduler.statusRecordNo}
	}
	return health
}

// Urgent tells whether an operation waits for something that was seen and is not reported yet.
func (t *Teller) Urgent() bool {
	if t.record == nil {
		return false
	}
	for id := range t.record.Permits { // whether there is one is the same in any order
		member := t.record.Members[id]
		if member.Zone != t.zone || t.record.Health[id].RecordNo >= t.requiredRecordNo(id) {
			continue
		}
		if health := t.memberHealth(member); health.RecordNo >= t.requiredRecordNo(id) && (health.State == InService || health.State == "out") {
			return true
		}
	}
	return false
}

// needs is the step since which a member that is out has to be seen.
func (t *Teller) requiredRecordNo(id string) uint64 {
	permit := t.record.Permits[id]
	if op := t.record.Ops[permit.Op]; op != nil {
		return max(permit.No, op.Steps[id].No)
	}
	return permit.No
}

// Told lists how each scheduler stands to what is now intended for a worker. A scheduler that is a member and does not
// answer is not known to be gone: what it was told last may be the opposite.
func (t *Teller) Told(worker string) (standings []Standing) {
	intent := t.intents[worker]
	for _, id := range slices.Sorted(maps.Keys(t.schedulers)) {
		scheduler := t.schedulers[id]
		standing := Standing{ID: id, State: Unknown, Why: scheduler.reason}
		switch {
		case (scheduler.fenceAccepted || t.Bug == "not-closed") && scheduler.failures == 0 && (scheduler.acknowledged[worker] == intent.Since || !intent.Out && scheduler.acknowledged[worker] == 0 && !scheduler.reportedOut[worker]):
			standing.State = Obeyed
		case scheduler.failures > 0 || !scheduler.answered:
			standing.State = NotReached
		case scheduler.reason != "":
			standing.State = Refused
		}
		standings = append(standings, standing)
	}
	return standings
}
