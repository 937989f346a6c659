// Package machine models one worker: its slots and queue, slow start after a restart, overload while cold,
// slowdowns, drains, and the loss of its jobs when its process dies. The model has no clock and no I/O, so that the
// same code serves simulated time and real sockets: each input carries the current time, the caller pulls
// notifications with NextNote until none is left, and Next returns when to call Advance again. All times are in
// milliseconds.
package machine

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
)

// Spec holds the parameters of a worker, which stay the same across its restarts.
type Spec struct {
	Cores, Speed         float64 // Speed is the work in milliseconds that a core does in one millisecond
	Slots, Queue         int     // Slots are for running jobs, which may take several each; Queue is how many jobs may wait
	Order                string  // of the queue: fifo, backfill or priority
	IgnoresCancel        bool    // a cancelled job still runs to its end
	ReturnsQueuedOnDrain bool    // a drain returns the queued jobs to their senders
	ColdFrom             float64 // capacity right after a start, as a share of the full capacity
	ColdFor              float64 // slow start: time from a start to full capacity, in milliseconds
	OverloadWindowMs     float64 // window over which load on a cold worker is summed, in milliseconds
	OverloadMultiple     float64 // a cold worker goes down at more than this multiple of its capacity over that window, see coldBudget
	MeanWork             float64 // mean work of a request, in milliseconds of one core at speed 1
	Checkpoint           float64 // work between two checkpoints of a job, in milliseconds at speed 1; 0: no checkpoints
}

// Job is one posting as its worker sees it.
type Job struct {
	Ref, Token      string  // Ref is the reference of the txn; Token distinguishes postings of one txn
	Work            float64 // running time on a core of its own at speed 1, in milliseconds
	Slots           int     // slots that it occupies while it runs
	Rank            float64 // with Order priority, the job with the greatest rank runs first
	IdempotencyKey  string  // idempotency key, by which the group of workers drops repeats; "": none
	DedupWindowMs   float64 // how long after a run repeats of IdempotencyKey are dropped, in milliseconds
	SenderKnewStart bool    // its sender knew of the worker's last start
	workDone        float64 // of Work
	began           bool    // it has started to run
	arrivedAt       float64 // when it reached the worker
}

// Values of Note.Event.
const (
	Began    = "began"    // the job started to run
	Settled  = "settled"  // the job ran to its end
	Returned = "returned" // the worker gave the job back and never ran it
	Lost     = "lost"     // the worker's process died before the job ended
)

// Note notifies the caller of a change of one job.
type Note struct {
	Event        string
	Job          *Job
	Deduplicated bool // settled without a run: an earlier job with the same idempotency key had already run
}

// SharedStore is a key-value store that several workers share: the idempotency keys that a group has carried out, with the
// time of the run, or the checkpoints of a cell, with the work done. Workers share nothing else. It is locked because
// on real sockets each worker runs in goroutines of its own.
type SharedStore struct {
	mu     sync.Mutex
	values map[string]float64
}

// NewSharedStore returns an empty store.
func NewSharedStore() *SharedStore { return &SharedStore{values: map[string]float64{}} }

// get returns the value stored under a name, and whether there is one.
func (s *SharedStore) get(name string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.values[name]
	return x, ok
}

func (s *SharedStore) put(name string, x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = x
}

// Machine is the state of one worker.
type Machine struct {
	Spec
	Start           float64 // time of its last start; 0: so long ago that it is warm
	SpeedFactor     float64 // factor on Speed; 1: not slowed
	NeighbourShare  float64 // share of its cores that other tenants of the host use
	Paused          bool    // its process stands still
	Draining        bool
	IdempotencyKeys *SharedStore // time of the last run by idempotency key, shared by the group; nil: repeats are not dropped
	Checkpoints     *SharedStore // work done up to the last checkpoint by txn reference, shared by the cell
	Overloaded      bool         // it was overloaded while cold, and is down
	KnowingShare    float64      // share of that overload that came from senders who knew of its start
	OverloadText    string       // description of that overload
	running         []*Job
	queue           []*Job
	recentArrivals  []arrival // during the last OverloadWindowMs milliseconds, while cold
	advancedTo      float64   // time up to which the state is worked out
	notes           []Note    // not pulled yet
	workDone        float64   // in slot-milliseconds at speed 1
}

// smallBudget is the number of requests allowed in a window below which the tolerance for random bunching is larger
// (see coldBudget).
const smallBudget = 30

// arrival is one job that reached a cold worker, whether or not the worker accepted it.
type arrival struct {
	at, work        float64 // work is in slot-milliseconds at speed 1
	senderKnewStart bool
}

// New returns a warm worker without jobs.
func New(s Spec) *Machine { return &Machine{Spec: s, SpeedFactor: 1} }

// Capacity returns how many cores the worker can use now: none while paused or down, a growing share during slow start.
func (m *Machine) Capacity(now float64) float64 {
	if m.Paused || m.Overloaded {
		return 0
	}
	c := m.Cores * (1 - m.NeighbourShare)
	if m.Start > 0 && now < m.Start+m.ColdFor {
		c *= m.ColdFrom + (1-m.ColdFrom)*max(now-m.Start, 0)/m.ColdFor
	}
	return c
}

// SlotsInUse counts the slots that running jobs occupy.
func (m *Machine) SlotsInUse() (n int) {
	for _, j := range m.running {
		n += j.Slots
	}
	return n
}

// Free counts the free slots.
func (m *Machine) Free() int { return m.Slots - m.SlotsInUse() }

// JobCount counts its jobs, running and queued.
func (m *Machine) JobCount() int { return len(m.running) + len(m.queue) }

// RemainingWork returns the work left of its running and queued jobs, in slot-milliseconds at speed 1.
func (m *Machine) RemainingWork() (work float64) {
	for _, j := range m.running {
		work += (j.Work - j.workDone) * float64(j.Slots)
	}
	for _, j := range m.queue {
		work += j.Work * float64(j.Slots)
	}
	return work
}

// WorkDone returns the work done since the worker was made, in slot-milliseconds at speed 1. Divided by Speed it is the
// time for which slots were in use at full speed.
func (m *Machine) WorkDone() float64 { return m.workDone }

// workRate returns the work that each running job gets done in a millisecond per slot: that of one core, or less where
// the jobs have more slots than there are cores.
func (m *Machine) workRate(now float64) float64 {
	n := float64(m.SlotsInUse())
	if n == 0 {
		return 0
	}
	return min(1, m.Capacity(now)/n) * m.Speed * m.SpeedFactor
}

// rampStepMs is the interval at which the work rate of a cold worker is recomputed, as its capacity grows.
const rampStepMs = 250.0

// Advance works out the state of the worker up to a time, and ends the jobs that complete on the way.
func (m *Machine) Advance(now float64) {
	for m.advancedTo < now {
		to := now
		if m.Start > 0 && m.advancedTo < m.Start+m.ColdFor {
			to = min(to, m.advancedTo+rampStepMs)
		}
		rate := m.workRate(m.advancedTo)
		if rate > 0 {
			for _, j := range m.running {
				to = min(to, m.advancedTo+max((j.Work-j.workDone)/rate, 0))
			}
		}
		for _, j := range m.running {
			j.workDone += rate * (to - m.advancedTo)
			m.workDone += rate * (to - m.advancedTo) * float64(j.Slots)
		}
		// A remainder of work too small to move the floating-point clock counts as done.
		clockStuck := to == m.advancedTo
		m.advancedTo = to
		m.finishCompleted(clockStuck, rate)
	}
}

// finishCompleted ends each running job that has no work left, and starts queued ones in their place. clockStuck means
// that the last step did not move the clock; rate is the work done in a millisecond per slot.
func (m *Machine) finishCompleted(clockStuck bool, rate float64) {
	anyEnded := false
	for _, j := range slices.Clone(m.running) {
		if left := j.Work - j.workDone; left > 1e-6 && !(clockStuck && m.advancedTo+left/max(rate, 1e-9) == m.advancedTo) {
			continue
		}
		anyEnded = true
		m.removeRunning(j)
		if j.IdempotencyKey != "" && m.IdempotencyKeys != nil {
			m.IdempotencyKeys.put(j.IdempotencyKey, m.advancedTo)
		}
		m.notes = append(m.notes, Note{Event: Settled, Job: j})
	}
	if anyEnded {
		m.startQueued()
	}
}

// Next returns when Advance must be called next without any input: at the end of a job, or for the next step of the
// slow start. It is +Inf while no job progresses.
func (m *Machine) Next() float64 {
	rate := m.workRate(m.advancedTo)
	if len(m.running) == 0 || rate == 0 {
		return math.Inf(1)
	}
	next := math.Inf(1)
	for _, j := range m.running {
		next = min(next, m.advancedTo+max((j.Work-j.workDone)/rate, 0))
	}
	if m.Start > 0 && m.advancedTo < m.Start+m.ColdFor {
		next = min(next, m.advancedTo+rampStepMs)
	}
	return next
}

// Submit submits a job. A worker that is full or draining returns it. A cold worker that has been sent more than its
// budget goes down and loses all its jobs.
func (m *Machine) Submit(now float64, j *Job) {
	m.Advance(now)
	j.arrivedAt = now
	if m.coldOverload(now, j) {
		return
	}
	if m.Draining {
		m.notes = append(m.notes, Note{Event: Returned, Job: j})
		return
	}
	if j.IdempotencyKey != "" && m.IdempotencyKeys != nil {
		if at, ok := m.IdempotencyKeys.get(j.IdempotencyKey); ok && now-at < j.DedupWindowMs {
			m.notes = append(m.notes, Note{Event: Settled, Job: j, Deduplicated: true})
			return
		}
	}
	if len(m.queue) >= m.Queue && !(len(m.queue) == 0 && j.Slots <= m.Free()) || j.Slots > m.Slots {
		m.notes = append(m.notes, Note{Event: Returned, Job: j})
		return
	}
	m.queue = append(m.queue, j)
	m.startQueued()
}

// coldOverload counts the jobs that reach a cold worker within the window, including those that it then returns. The
// job that exceeds its budget, in requests or in work, takes the worker down; coldOverload then returns true.
func (m *Machine) coldOverload(now float64, j *Job) bool {
	if m.Start == 0 || now >= m.Start+m.ColdFor {
		m.recentArrivals = nil
		return false
	}
	m.recentArrivals = slices.DeleteFunc(m.recentArrivals, func(a arrival) bool { return a.at < now-m.OverloadWindowMs })
	m.recentArrivals = append(m.recentArrivals, arrival{now, j.Work * float64(j.Slots), j.SenderKnewStart})
	requests, work := 0.0, 0.0
	knowingRequests, knowingWork := 0.0, 0.0
	for _, a := range m.recentArrivals {
		requests++
		work += a.work
		if a.senderKnewStart {
			knowingRequests++
			knowingWork += a.work
		}
	}
	budget := m.coldBudget(now)
	switch {
	case work > budget*m.MeanWork:
		m.KnowingShare = knowingWork / work
	case requests > budget:
		m.KnowingShare = knowingRequests / requests
	default:
		return false
	}
	m.OverloadText = fmt.Sprintf("%.0f requests and %.0f ms of work against %.1f and %.0f: %s", requests, work, budget,
		budget*m.MeanWork, m.describeArrivals())
	m.notes = append(m.notes, Note{Event: Lost, Job: j})
	m.Kill(now)
	m.Overloaded = true
	return true
}

// coldBudget returns how many requests of mean work a cold worker withstands in a window that ends now: the number N
// that its age allows, and a tolerance for random bunching of 2·√N + 2, or 3·√N + 3 where N is small.
func (m *Machine) coldBudget(now float64) float64 {
	share := m.ColdFrom + (1-m.ColdFrom)*(now-m.Start)/m.ColdFor
	expected := m.OverloadMultiple * m.Cores * m.Speed * share * m.OverloadWindowMs / m.MeanWork
	if expected < smallBudget {
		return expected + 3*math.Sqrt(expected) + 3
	}
	return expected + 2*math.Sqrt(expected) + 2
}

// describeArrivals lists the jobs that arrived in the window as " +T:W": T is the time since the worker's start, W the
// work, both in milliseconds.
func (m *Machine) describeArrivals() string {
	var b strings.Builder
	for _, a := range m.recentArrivals {
		fmt.Fprintf(&b, " +%.0f:%.0f", a.at-m.Start, a.work)
	}
	return strings.TrimSpace(b.String())
}

// startQueued starts the queued jobs for which there are free slots. Unless Order is backfill, a job that does not fit
// holds up all behind it.
func (m *Machine) startQueued() {
	if m.Order == "priority" {
		slices.SortStableFunc(m.queue, func(a, b *Job) int {
			switch {
			case a.Rank > b.Rank:
				return -1
			case a.Rank < b.Rank:
				return 1
			}
			return 0
		})
	}
	for i := 0; i < len(m.queue); {
		j := m.queue[i]
		if j.Slots > m.Free() {
			if m.Order != "backfill" {
				return
			}
			i++
			continue
		}
		m.queue = slices.Delete(m.queue, i, i+1)
		j.began = true
		if m.Checkpoints != nil && m.Checkpoint > 0 {
			saved, _ := m.Checkpoints.get(j.Ref)
			j.workDone = min(saved, j.Work)
		}
		m.running = append(m.running, j)
		m.notes = append(m.notes, Note{Event: Began, Job: j})
	}
}

// removeRunning takes a job off the running ones and saves its last checkpoint.
func (m *Machine) removeRunning(j *Job) {
	m.running = slices.DeleteFunc(m.running, func(o *Job) bool { return o == j })
	if m.Checkpoints != nil && m.Checkpoint > 0 {
		m.Checkpoints.put(j.Ref, math.Floor(min(j.workDone, j.Work)/m.Checkpoint)*m.Checkpoint)
	}
}

// Cancel cancels a job. A queued or running one is removed without a note. With IgnoresCancel it stays, runs to its end,
// and its notes still come.
func (m *Machine) Cancel(now float64, j *Job) {
	m.Advance(now)
	if place := slices.Index(m.queue, j); place >= 0 && !m.IgnoresCancel {
		m.queue = slices.Delete(m.queue, place, place+1)
		m.startQueued()
	}
	if j.began && !m.IgnoresCancel && slices.Contains(m.running, j) {
		m.removeRunning(j)
		m.startQueued()
	}
}

// Drain begins a drain: jobs that arrive from now on are returned. Queued jobs are returned too with ReturnsQueuedOnDrain,
// and stay queued without it.
func (m *Machine) Drain(now float64) {
	m.Advance(now)
	m.Draining = true
	if m.ReturnsQueuedOnDrain {
		for _, j := range m.queue {
			m.notes = append(m.notes, Note{Event: Returned, Job: j})
		}
		m.queue = nil
	}
}

// Kill ends the worker's process. All its jobs are lost, queued ones too: they never ran, but the dead process cannot
// report that.
func (m *Machine) Kill(now float64) {
	m.Advance(now)
	for _, j := range slices.Clone(m.running) {
		m.removeRunning(j)
		m.notes = append(m.notes, Note{Event: Lost, Job: j})
	}
	for _, j := range m.queue {
		m.notes = append(m.notes, Note{Event: Lost, Job: j})
	}
	m.queue, m.recentArrivals = nil, nil
}

// Restart kills the worker's process and starts a new one, which is cold.
func (m *Machine) Restart(now float64) {
	m.Kill(now)
	m.Start, m.advancedTo = now, now
	m.Overloaded, m.Draining, m.Paused = false, false, false
}

// ApplyChange applies f, which may set SpeedFactor, NeighbourShare or Paused, after working out the state up to now at the
// old rate.
func (m *Machine) ApplyChange(now float64, f func()) {
	m.Advance(now)
	f()
}

// NextNote returns the oldest note that has not been pulled yet, and false where there is none.
func (m *Machine) NextNote() (Note, bool) {
	if len(m.notes) == 0 {
		return Note{}, false
	}
	n := m.notes[0]
	m.notes = m.notes[1:]
	if len(m.notes) == 0 {
		m.notes = nil
	}
	return n, true
}

// Began reports whether the job has started to run.
func (j *Job) Began() bool { return j.began }
