package fleet

import (
	"maps"
	"slices"
)

const (
	lookEach = 1000.0 // how soon a scheduler that was started again is seen
	tryFirst = 100.0  // after a call that did not come through, then twice as long each time
	tryMost  = 2000.0

	reportMost = 400 // members in one renewal
)

// Act is what a call does at a scheduler.
type Act int

const (
	Look  Act = iota // which start it is, which number is in force there
	Close            // the number of the owner before is taken no more
	Tell             // one worker is out, or in again
)

// Call is one to make at a scheduler. It is meant for one start of it, and carries the owner's number.
type Call struct {
	To     Member
	Act    Act
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

type target struct {
	Member
	start  string
	closed bool
	told   map[string]uint64 // by worker: the change that it said yes to
	out    map[string]bool   // those that were out there when it was last looked at
	busy   bool
	at     float64 // when to call next
	lookAt float64
	fails  int
	why    string // why it refused, or why it was not reached
	seen   bool
	phase  string
	has    map[string]string // workers, as it has them
	lookNo uint64            // what the record was at when that look began
	asksNo uint64            // the same of the look under way
}

// Teller is what the owner of a zone's matter knows of the schedulers that it keeps told who is out.
type Teller struct {
	Matter  string
	Fence   uint64
	Passed  uint64 // a higher number that a scheduler named: this owner is none any more
	Bug     string // one planted by a test of what finds it, "" in any other use
	targets map[string]*target
	intents map[string]Intent
	// Holds tells of a worker that is to go out whether nobody may be told of it now who was not yet: it is halted here.
	Holds func(Intent) bool
	rec   *Record
	zone  string
	since float64 // when this ownership began
}

// NewTeller begins with nothing known: whatever a predecessor did is looked up at each scheduler.
func NewTeller(matter string, fence uint64) *Teller {
	return &Teller{Matter: matter, Fence: fence, targets: map[string]*target{}, intents: map[string]Intent{}, since: -1}
}

// Follow takes the record as it now is: the schedulers, and what is intended for the zone's workers.
func (t *Teller) Follow(now float64, r *Record, zone string) {
	if t.rec, t.zone = r, zone; t.since < 0 {
		t.since = now
	}
	here := map[string]bool{}
	for _, m := range r.Of("scheduler") {
		here[m.ID] = true
		if o := t.targets[m.ID]; o == nil || o.Member != m {
			t.targets[m.ID] = &target{Member: m, told: map[string]uint64{}}
		}
	}
	maps.DeleteFunc(t.targets, func(id string, _ *target) bool { return !here[id] })
	clear(t.intents)
	for id, w := range r.Workers {
		if w.Zone == zone {
			t.intents[id] = w
		}
	}
	// What waits to be seen since its last step is looked at now, and not at the next round: a worker through all of them.
	need := uint64(0)
	for id, p := range r.Permits {
		m := r.Members[id]
		if m.Zone != zone {
			continue
		}
		no := p.No
		if op := r.Ops[p.Op]; op != nil {
			no = max(no, op.Steps[id].No)
		}
		if m.Kind == "worker" {
			need = max(need, no)
		} else if o := t.targets[id]; o != nil && o.lookNo < no {
			o.lookAt = min(o.lookAt, now)
		}
	}
	for _, o := range t.targets {
		if o.lookNo < need {
			o.lookAt = min(o.lookAt, now)
		}
	}
}

// owed is the first worker that a scheduler is still to be told of.
func (t *Teller) owed(o *target) (string, bool) {
	for _, id := range slices.Sorted(maps.Keys(t.intents)) {
		w := t.intents[id]
		// What is in use need not be told to one that has it in use.
		if o.told[id] != w.Since && (w.Out || o.told[id] > 0 || o.out[id]) {
			if t.Holds != nil && !o.out[id] && t.Holds(w) {
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
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		o := t.targets[id]
		if o.busy || now < o.at {
			continue
		}
		c := Call{To: o.Member, Matter: t.Matter, Fence: t.Fence, Start: o.start}
		switch worker, owes := t.owed(o); {
		case o.start == "" || now >= o.lookAt:
			c.Act, c.Start, o.asksNo = Look, "", t.rec.No
		case !o.closed && t.Bug != "not-closed":
			c.Act = Close
		case owes:
			w := t.intents[worker]
			c.Act, c.Worker, c.Out, c.Since = Tell, worker, w.Out, w.Since
		default:
			continue
		}
		o.busy = true
		return c, true
	}
	return Call{}, false
}

// Answered takes what came of a call.
func (t *Teller) Answered(now float64, c Call, r Reply) {
	o := t.targets[c.To.ID]
	if o == nil || o.Member != c.To {
		return
	}
	o.busy = false
	if !r.Reached {
		// It may have come through, and is sent again as it was: a yes twice is one.
		o.fails++
		o.at = now + min(tryFirst*float64(int(1)<<min(o.fails-1, 10)), tryMost)
		o.why = r.Why
		return
	}
	o.fails, o.at, o.why, o.seen = 0, now, "", true
	if r.Fence > t.Fence {
		t.Passed = r.Fence
		return
	}
	if r.Start != o.start && (o.start == "" || t.Bug != "restart-untold") {
		// Started again from nothing: what its former life said yes to counts no more.
		o.start, o.closed = r.Start, false
		clear(o.told)
	}
	switch {
	case !r.Done:
		o.why, o.lookAt, o.at = r.Why, now, now+tryFirst
	case c.Act == Look:
		o.lookAt, o.out = now+lookEach, map[string]bool{}
		o.phase, o.has, o.lookNo = r.Phase, r.Workers, o.asksNo
		for _, id := range r.Out {
			o.out[id] = true
		}
		if r.Fence < t.Fence {
			o.closed = false
		}
	case c.Start != o.start:
	case c.Act == Close:
		o.closed = true
	case c.Act == Tell:
		o.told[c.Worker] = c.Since
		o.out[c.Worker] = c.Out
	}
}

// Wake is when to pull again if nothing happens before.
func (t *Teller) Wake(now float64) float64 {
	at := now + lookEach
	for _, o := range t.targets {
		if !o.busy {
			at = min(at, max(o.at, min(o.lookAt, at)))
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
func (o *target) state() string {
	switch {
	case o.fails > 0 || !o.seen:
		return NotLooked
	case o.phase == "serving":
		return InService
	case o.phase == "":
		return "unknown"
	}
	return o.phase
}

// worker is how one stands, by all schedulers that serve: warm at each that has it, or out and quiet at all.
func (t *Teller) worker(id string) Seen {
	s := Seen{State: NotLooked, Of: t.rec.No}
	if w := t.intents[id]; w.Out {
		s.State = "out"
		for _, row := range t.Told(id) {
			o := t.targets[row.ID]
			if row.State != Obeyed || o.has[id] == "busy" || o.lookNo < w.Since {
				s.State = "draining"
			}
		}
		return s
	}
	for _, o := range t.targets { // in any order: the least and the worst of all
		if o.state() != InService {
			continue
		}
		switch s.Of = min(s.Of, o.lookNo); {
		case o.has[id] == "cold" && s.State != "unlisted" || o.out[id]:
			s.State = "cold"
		case o.has[id] == "":
			s.State = "unlisted"
		case s.State == NotLooked:
			s.State = InService
		}
	}
	return s
}

// Report is what has changed of how the zone's members stand, to go with the next renewal, and whether all of them were
// looked at since this ownership began.
func (t *Teller) Report(now float64) (changed map[string]Seen, whole bool) {
	if t.rec == nil || t.rec.V < 2 {
		return nil, false // a record of the older form has no room for it
	}
	whole = true
	for _, m := range t.rec.Of("scheduler") {
		o := t.targets[m.ID]
		whole = whole && (o.seen || o.fails > 0)
	}
	for id, m := range t.rec.Members {
		if m.Zone != t.zone || m.Kind == "agent" {
			continue
		}
		s := t.sees(m)
		if s.State == NotLooked && !whole {
			continue
		}
		was, known := t.rec.Health[id]
		_, out := t.rec.Permits[id]
		if s.State == NotLooked {
			s.Of = max(s.Of, was.Of) // that nobody reaches it is news of now
		}
		if known && was.State == s.State && !(out && s.Of > was.Of && s.Of >= t.needs(id) && was.Of < t.needs(id)) || s.Of < was.Of {
			continue
		}
		if changed == nil {
			changed = map[string]Seen{}
		}
		if changed[id] = s; len(changed) >= reportMost {
			break // the rest goes with the next renewal
		}
	}
	return changed, whole
}

func (t *Teller) sees(m Member) (s Seen) {
	if m.Kind == "worker" {
		return t.worker(m.ID)
	}
	if o := t.targets[m.ID]; o != nil {
		return Seen{o.state(), o.lookNo}
	}
	return s
}

// Urgent tells whether an operation waits for something that was seen and is not reported yet.
func (t *Teller) Urgent() bool {
	if t.rec == nil {
		return false
	}
	for id := range t.rec.Permits { // whether there is one is the same in any order
		m := t.rec.Members[id]
		if m.Zone != t.zone || t.rec.Health[id].Of >= t.needs(id) {
			continue
		}
		if s := t.sees(m); s.Of >= t.needs(id) && (s.State == InService || s.State == "out") {
			return true
		}
	}
	return false
}

// needs is the step since which a member that is out has to be seen.
func (t *Teller) needs(id string) uint64 {
	p := t.rec.Permits[id]
	if op := t.rec.Ops[p.Op]; op != nil {
		return max(p.No, op.Steps[id].No)
	}
	return p.No
}

// Told lists how each scheduler stands to what is now intended for a worker. A scheduler that is a member and does not
// answer is not known to be gone: what it was told last may be the opposite.
func (t *Teller) Told(worker string) (rows []Standing) {
	w := t.intents[worker]
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		o := t.targets[id]
		s := Standing{ID: id, State: Unknown, Why: o.why}
		switch {
		case (o.closed || t.Bug == "not-closed") && o.fails == 0 && (o.told[worker] == w.Since || !w.Out && o.told[worker] == 0 && !o.out[worker]):
			s.State = Obeyed
		case o.fails > 0 || !o.seen:
			s.State = NotReached
		case o.why != "":
			s.State = Refused
		}
		rows = append(rows, s)
	}
	return rows
}
