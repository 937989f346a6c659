package fleet

import (
	"maps"
	"slices"
)

const (
	statusIntervalMs = 1000.0 // between two status calls to a scheduler; bounds how late a restart of it is noticed
	initialBackoffMs = 100.0  // after the first call that got no answer; doubled with each further one
	maxBackoffMs     = 2000.0

	maxReportedMembers = 400 // in one renewal
)

// CallKind is the kind of a call to a scheduler.
type CallKind int

const (
	CallStatus     CallKind = iota // status: which start of the process answers, its fencing token, its phase and its workers
	CallRaiseFence                 // raise the fencing token, so that the scheduler refuses calls of former owners
	CallSetWorker                  // set one worker's state: out, or back in service
)

// SchedulerCall is a call to make to a scheduler's management address. All but a CallStatus are meant for one start of the
// scheduler's process and carry the owner's fencing token; a scheduler refuses a call that names another start or a lower
// token.
type SchedulerCall struct {
	To     Member
	Kind   CallKind
	Lease  string // name of the zone's lease
	Fence  uint64 // fencing token of the lease
	Start  string // the start of the scheduler's process, "" in a CallStatus
	Worker string // the worker's id, in a CallSetWorker; so are Out and Since
	Out    bool
	Since  uint64 // Intent.Since
}

// SchedulerReply is the result of a SchedulerCall.
type SchedulerReply struct {
	Reached bool              // the scheduler answered; if it did not, the call may have taken effect nevertheless
	Applied bool              // the scheduler carried out the call
	Start   string            // the start of the process that answered
	Fence   uint64            // the fencing token that the scheduler has for the lease
	Out     []string          // ids of the workers that the scheduler has as out under the lease, of a CallStatus
	Reason  string            // why there was no answer, or a refusal
	Phase   string            // the scheduler's own phase, of a CallStatus: serving, starting, draining, ...
	Workers map[string]string // the zone's workers by id, of a CallStatus: warm, cold or busy
	Txns    Txns
}

// schedulerState is what the owner of a zone's lease knows of one scheduler.
type schedulerState struct {
	Member
	processStart          string            // the start of its process that answered last, "" before any answer
	fenceAccepted         bool              // it has the owner's fencing token
	acknowledged          map[string]uint64 // by worker id: the Intent.Since that it confirmed last
	reportedOut           map[string]bool   // worker ids: out at the scheduler by its last status, and by calls of CallSetWorker since
	callPending           bool
	nextCallAt            float64 // the earliest time of the next call of any kind
	nextStatusAt          float64
	failures              int    // calls without an answer since the last one that got one
	reason                string // why it refused the last call or did not answer it, "" if it carried it out
	answered              bool   // it has answered this owner at least once
	phase                 string
	workerStates          map[string]string // SchedulerReply.Workers of the last status
	statusRecordNo        uint64            // Record.No when the last status call that was answered began
	pendingStatusRecordNo uint64            // Record.No when the status call under way began
}

// ZoneController keeps all schedulers informed of which workers of a zone are out, on behalf of the agent that holds the zone's
// lease, and collects the health of the zone's members from them.
type ZoneController struct {
	Lease         string                     // name of the zone's lease
	Fence         uint64                     // fencing token of the lease
	SupersededBy  uint64                     // a higher fencing token that a scheduler reported: the lease has another owner by now; 0 for none
	InjectedFault string                     // a fault that a test injects, see Record.InjectedFault
	schedulers    map[string]*schedulerState // by id
	intents       map[string]Intent          // of the zone's workers, by id
	// Halted reports whether a halt that was set at this agent keeps a worker from being taken out. Schedulers that don't
	// have the worker as out yet are then not told.
	Halted    func(Intent) bool
	record    *Record
	zone      string
	startedAt float64 // when the first record was taken over; negative before
}

// NewZoneController returns the ZoneController of a new owner of a zone's lease. It knows nothing: what a former owner told
// each scheduler is found out by a status call.
func NewZoneController(leaseName string, fence uint64) *ZoneController {
	return &ZoneController{Lease: leaseName, Fence: fence, schedulers: map[string]*schedulerState{}, intents: map[string]Intent{}, startedAt: -1}
}

// Follow takes over the current record: the schedulers and the intents of the zone's workers.
func (t *ZoneController) Follow(now float64, r *Record, zone string) {
	if t.record, t.zone = r, zone; t.startedAt < 0 {
		t.startedAt = now
	}
	isMember := map[string]bool{}
	for _, member := range r.MembersOfKind("scheduler") {
		isMember[member.ID] = true
		if scheduler := t.schedulers[member.ID]; scheduler == nil || scheduler.Member != member {
			t.schedulers[member.ID] = &schedulerState{Member: member, acknowledged: map[string]uint64{}}
		}
	}
	maps.DeleteFunc(t.schedulers, func(id string, _ *schedulerState) bool { return !isMember[id] })
	clear(t.intents)
	for id, intent := range r.Intents {
		if intent.Zone == zone {
			t.intents[id] = intent
		}
	}
	// A member whose operation waits for an observation that began after the last step is observed at once, not at the next
	// interval. Of a scheduler that takes its own status, of a worker the status of all schedulers.
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

// nextUnacknowledged returns the first worker, by id, whose intent a scheduler has yet to confirm.
func (t *ZoneController) nextUnacknowledged(scheduler *schedulerState) (string, bool) {
	for _, id := range slices.Sorted(maps.Keys(t.intents)) {
		intent := t.intents[id]
		// A scheduler that was never told that a worker is out need not be told that it is in service.
		if scheduler.acknowledged[id] != intent.Since && (intent.Out || scheduler.acknowledged[id] > 0 || scheduler.reportedOut[id]) {
			if t.Halted != nil && !scheduler.reportedOut[id] && t.Halted(intent) {
				continue
			}
			return id, true
		}
	}
	return "", false
}

// Next returns the next call to make, if any; its result goes to Answered. A scheduler gets one call at a time, so that none
// can arrive after a later one.
func (t *ZoneController) Next(now float64) (SchedulerCall, bool) {
	if t.SupersededBy > 0 {
		return SchedulerCall{}, false
	}
	for _, id := range slices.Sorted(maps.Keys(t.schedulers)) {
		scheduler := t.schedulers[id]
		if scheduler.callPending || now < scheduler.nextCallAt {
			continue
		}
		call := SchedulerCall{To: scheduler.Member, Lease: t.Lease, Fence: t.Fence, Start: scheduler.processStart}
		switch worker, owes := t.nextUnacknowledged(scheduler); {
		case scheduler.processStart == "" || now >= scheduler.nextStatusAt:
			call.Kind, call.Start, scheduler.pendingStatusRecordNo = CallStatus, "", t.record.No
		case !scheduler.fenceAccepted && t.InjectedFault != "not-closed":
			call.Kind = CallRaiseFence
		case owes:
			intent := t.intents[worker]
			call.Kind, call.Worker, call.Out, call.Since = CallSetWorker, worker, intent.Out, intent.Since
		default:
			continue
		}
		scheduler.callPending = true
		return call, true
	}
	return SchedulerCall{}, false
}

// Answered takes the result of a call that Next returned.
func (t *ZoneController) Answered(now float64, call SchedulerCall, reply SchedulerReply) {
	scheduler := t.schedulers[call.To.ID]
	if scheduler == nil || scheduler.Member != call.To {
		return
	}
	scheduler.callPending = false
	if !reply.Reached {
		// The call may have taken effect. It is idempotent and is sent again unchanged.
		scheduler.failures++
		scheduler.nextCallAt = now + min(initialBackoffMs*float64(int(1)<<min(scheduler.failures-1, 10)), maxBackoffMs)
		scheduler.reason = reply.Reason
		return
	}
	scheduler.failures, scheduler.nextCallAt, scheduler.reason, scheduler.answered = 0, now, "", true
	if reply.Fence > t.Fence {
		t.SupersededBy = reply.Fence
		return
	}
	if reply.Start != scheduler.processStart && (scheduler.processStart == "" || t.InjectedFault != "restart-untold") {
		// The scheduler was restarted and has lost what it had confirmed.
		scheduler.processStart, scheduler.fenceAccepted = reply.Start, false
		clear(scheduler.acknowledged)
	}
	switch {
	case !reply.Applied:
		scheduler.reason, scheduler.nextStatusAt, scheduler.nextCallAt = reply.Reason, now, now+initialBackoffMs
	case call.Kind == CallStatus:
		scheduler.nextStatusAt, scheduler.reportedOut = now+statusIntervalMs, map[string]bool{}
		scheduler.phase, scheduler.workerStates, scheduler.statusRecordNo = reply.Phase, reply.Workers, scheduler.pendingStatusRecordNo
		for _, id := range reply.Out {
			scheduler.reportedOut[id] = true
		}
		if reply.Fence < t.Fence {
			scheduler.fenceAccepted = false
		}
	case call.Start != scheduler.processStart:
	case call.Kind == CallRaiseFence:
		scheduler.fenceAccepted = true
	case call.Kind == CallSetWorker:
		scheduler.acknowledged[call.Worker] = call.Since
		scheduler.reportedOut[call.Worker] = call.Out
	}
}

// NextWakeAt returns when to call Next again if nothing happens before.
func (t *ZoneController) NextWakeAt(now float64) float64 {
	at := now + statusIntervalMs
	for _, scheduler := range t.schedulers {
		if !scheduler.callPending {
			at = min(at, max(scheduler.nextCallAt, min(scheduler.nextStatusAt, at)))
		}
	}
	return at
}

// AckState says whether a scheduler has applied a worker's current intent.
type AckState string

const (
	AckDone       AckState = "obeyed"
	AckRefused    AckState = "refused"
	AckNotReached AckState = "not reached"
	AckPending    AckState = "unknown" // it answers, and has not confirmed the intent yet
)

// Acknowledgement is the AckState of one scheduler.
type Acknowledgement struct {
	ID     string   `json:"id"`
	State  AckState `json:"state"`
	Reason string   `json:"why,omitempty"`
}

// health returns a scheduler's health as a value of Health.State, by its last status.
func (s *schedulerState) health() string {
	switch {
	case s.failures > 0 || !s.answered:
		return HealthNotReached
	case s.phase == "serving":
		return HealthInService
	case s.phase == "":
		return "unknown"
	}
	return s.phase
}

// workerHealth combines what the schedulers report about one worker. If its intent is out, the worker is out once every
// scheduler has confirmed that and doesn't report it as busy; until then it is draining. Otherwise it is in service once
// every serving scheduler lists it and none has it as cold or out; else it is cold or unlisted.
func (t *ZoneController) workerHealth(id string) Health {
	health := Health{State: HealthNotReached, RecordNo: t.record.No}
	if intent := t.intents[id]; intent.Out {
		health.State = "out"
		for _, standing := range t.Acknowledgements(id) {
			scheduler := t.schedulers[standing.ID]
			if standing.State != AckDone || scheduler.workerStates[id] == "busy" || scheduler.statusRecordNo < intent.Since {
				health.State = "draining"
			}
		}
		return health
	}
	for _, scheduler := range t.schedulers { // the iteration order decides at most between cold and unlisted
		if scheduler.health() != HealthInService {
			continue
		}
		switch health.RecordNo = min(health.RecordNo, scheduler.statusRecordNo); {
		case scheduler.workerStates[id] == "cold" && health.State != "unlisted" || scheduler.reportedOut[id]:
			health.State = "cold"
		case scheduler.workerStates[id] == "":
			health.State = "unlisted"
		case health.State == HealthNotReached:
			health.State = HealthInService
		}
	}
	return health
}

// Report returns the health of those members of the zone for which it has changed, to be sent with the next lease renewal,
// and whether every scheduler has been called since this ownership began (whole). An unchanged state is reported again if
// an operation waits for an observation that began after its last step.
func (t *ZoneController) Report(now float64) (changed map[string]Health, whole bool) {
	if t.record == nil || t.record.FormatVersion < 2 {
		return nil, false // format version 1 of the record has no health
	}
	whole = true
	for _, member := range t.record.MembersOfKind("scheduler") {
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
			health.RecordNo = max(health.RecordNo, recorded.RecordNo) // the failure to reach it is at least as recent as the last report
		}
		if isRecorded && recorded.State == health.State &&
			!(hasPermit && health.RecordNo > recorded.RecordNo && health.RecordNo >= t.requiredRecordNo(id) && recorded.RecordNo < t.requiredRecordNo(id)) ||
			health.RecordNo < recorded.RecordNo {
			continue
		}
		if changed == nil {
			changed = map[string]Health{}
		}
		if changed[id] = health; len(changed) >= maxReportedMembers {
			break // the rest is sent with the next renewal
		}
	}
	return changed, whole
}

// memberHealth returns the current health of a member of the zone.
func (t *ZoneController) memberHealth(member Member) (health Health) {
	if member.Kind == "worker" {
		return t.workerHealth(member.ID)
	}
	if scheduler := t.schedulers[member.ID]; scheduler != nil {
		return Health{scheduler.health(), scheduler.statusRecordNo}
	}
	return health
}

// Urgent reports whether an operation waits for an observation that has been made and isn't on record yet. The next renewal
// should then be sent early.
func (t *ZoneController) Urgent() bool {
	if t.record == nil {
		return false
	}
	for id := range t.record.Permits { // whether any matches does not depend on the iteration order
		member := t.record.Members[id]
		if member.Zone != t.zone || t.record.Health[id].RecordNo >= t.requiredRecordNo(id) {
			continue
		}
		if health := t.memberHealth(member); health.RecordNo >= t.requiredRecordNo(id) && (health.State == HealthInService || health.State == "out") {
			return true
		}
	}
	return false
}

// requiredRecordNo returns the lowest Health.RecordNo that tells about a member with a permit after its last step.
func (t *ZoneController) requiredRecordNo(id string) uint64 {
	permit := t.record.Permits[id]
	if op := t.record.Ops[permit.Op]; op != nil {
		return max(permit.No, op.Steps[id].No)
	}
	return permit.No
}

// Acknowledgements returns, by scheduler id, whether each scheduler has applied a worker's current intent. A scheduler on
// record that doesn't answer may still be running and act on an earlier intent, so it is listed as not reached.
func (t *ZoneController) Acknowledgements(worker string) (standings []Acknowledgement) {
	intent := t.intents[worker]
	for _, id := range slices.Sorted(maps.Keys(t.schedulers)) {
		scheduler := t.schedulers[id]
		standing := Acknowledgement{ID: id, State: AckPending, Reason: scheduler.reason}
		switch {
		case (scheduler.fenceAccepted || t.InjectedFault == "not-closed") && scheduler.failures == 0 &&
			(scheduler.acknowledged[worker] == intent.Since || !intent.Out && scheduler.acknowledged[worker] == 0 && !scheduler.reportedOut[worker]):
			standing.State = AckDone
		case scheduler.failures > 0 || !scheduler.answered:
			standing.State = AckNotReached
		case scheduler.reason != "":
			standing.State = AckRefused
		}
		standings = append(standings, standing)
	}
	return standings
}
