package machine

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// defaultSpec is the worker that tests start from.
var defaultSpec = Spec{Cores: 2, Speed: 1, Slots: 2, Queue: 2, Order: "fifo", ColdFrom: 0.25, ColdFor: 1000, OverloadWindowMs: 500,
	OverloadMultiple: 2, MeanWork: 100}

// job returns a job without rank or idempotency key.
func job(ref string, work float64, slots int) *Job { return &Job{Ref: ref, Work: work, Slots: slots} }

// runUntil advances the machine to a time and returns its notes in one line. The time behind each note is that of the
// step after which it was pulled.
func runUntil(m *Machine, end float64) string {
	var notes []string
	for {
		for n, ok := m.NextNote(); ok; n, ok = m.NextNote() {
			drop := ""
			if n.Deduplicated {
				drop = " dropped"
			}
			notes = append(notes, fmt.Sprintf("%s %s%s@%.0f", n.Job.Ref, n.Event, drop, m.advancedTo))
		}
		next := min(m.Next(), end)
		if m.advancedTo >= end {
			return strings.Join(notes, ", ")
		}
		m.Advance(next)
	}
}

func TestMachine(t *testing.T) {
	for name, c := range map[string]struct {
		spec func(s *Spec)
		play func(m *Machine)
		want string
	}{
		"slots, queue and a job returned for lack of room": {nil, func(m *Machine) {
			for _, ref := range []string{"a", "b", "c", "d", "e"} {
				m.Submit(0, job(ref, 100, 1))
			}
		}, "a began@0, b began@0, e returned@0, a settled@100, b settled@100, c began@100, d began@100, c settled@200, " +
			"d settled@200"},
		"more slots in use than cores slow all jobs": {func(s *Spec) { s.Cores = 1 }, func(m *Machine) {
			m.Submit(0, job("a", 100, 1))
			m.Submit(0, job("b", 50, 1))
		}, "a began@0, b began@0, b settled@100, a settled@150"},
		"fifo: a job that does not fit blocks those behind it": {nil, func(m *Machine) {
			m.Submit(0, job("a", 100, 1))
			m.Submit(0, job("wide", 100, 2))
			m.Submit(0, job("c", 50, 1))
		}, "a began@0, a settled@100, wide began@100, wide settled@200, c began@200, c settled@250"},
		"backfill: a job that fits overtakes one that does not": {func(s *Spec) { s.Order = "backfill" }, func(m *Machine) {
			m.Submit(0, job("a", 100, 1))
			m.Submit(0, job("wide", 100, 2))
			m.Submit(0, job("c", 50, 1))
		}, "a began@0, c began@0, c settled@50, a settled@100, wide began@100, wide settled@200"},
		"priority: the greatest rank runs first": {func(s *Spec) { s.Order, s.Slots = "priority", 1 }, func(m *Machine) {
			m.Submit(0, job("a", 100, 1))
			m.Submit(0, &Job{Ref: "low", Work: 10, Slots: 1, Rank: 1})
			m.Submit(0, &Job{Ref: "high", Work: 10, Slots: 1, Rank: 5})
		}, "a began@0, a settled@100, high began@100, high settled@110, low began@110, low settled@120"},
		"a drain returns queued jobs and completes running ones": {func(s *Spec) { s.ReturnsQueuedOnDrain, s.Slots = true, 1 }, func(m *Machine) {
			m.Submit(0, job("a", 100, 1))
			m.Submit(0, job("b", 100, 1))
			m.Drain(10)
			m.Submit(20, job("c", 100, 1))
		}, "a began@20, b returned@20, c returned@20, a settled@100"},
		"a cancelled job frees its slot": {nil, func(m *Machine) {
			a := job("a", 100, 1)
			m.Submit(0, a)
			m.Submit(0, job("b", 100, 2))
			m.Cancel(30, a)
		}, "a began@30, b began@30, b settled@130"},
		"with IgnoresCancel a cancelled job runs to its end": {func(s *Spec) { s.IgnoresCancel = true }, func(m *Machine) {
			a := job("a", 100, 1)
			m.Submit(0, a)
			m.Cancel(30, a)
		}, "a began@30, a settled@100"},
		"a killed worker loses its job": {nil, func(m *Machine) {
			m.Submit(0, job("a", 100, 1))
			m.Kill(50)
		}, "a began@50, a lost@50"},
		"a neighbour uses half of the cores, then a pause": {nil, func(m *Machine) {
			m.Submit(0, job("a", 100, 2))
			m.ApplyChange(50, func() { m.NeighbourShare = 0.5 })
			m.ApplyChange(100, func() { m.Paused = true })
			m.ApplyChange(200, func() { m.Paused, m.NeighbourShare = false, 0 })
		}, "a began@200, a settled@225"},
		"a repeat within the window is dropped, a later one runs": {nil, func(m *Machine) {
			m.IdempotencyKeys = NewSharedStore()
			m.Submit(0, &Job{Ref: "a", Work: 100, Slots: 1, IdempotencyKey: "m", DedupWindowMs: 300})
			m.Advance(100)
			m.Submit(200, &Job{Ref: "b", Work: 100, Slots: 1, IdempotencyKey: "m", DedupWindowMs: 300})
			m.Submit(450, &Job{Ref: "c", Work: 100, Slots: 1, IdempotencyKey: "m", DedupWindowMs: 300})
		}, "a began@450, a settled@450, b settled dropped@450, c began@450, c settled@550"},
		"a repeat continues from the last checkpoint": {func(s *Spec) { s.Checkpoint = 30 }, func(m *Machine) {
			m.Checkpoints = NewSharedStore()
			m.Submit(0, job("a", 100, 1))
			m.Kill(70)
			m.Submit(70, job("a", 100, 1))
		}, "a began@70, a lost@70, a began@70, a settled@110"},
	} {
		t.Run(name, func(t *testing.T) {
			s := defaultSpec
			if c.spec != nil {
				c.spec(&s)
			}
			m := New(s)
			c.play(m)
			if got := runUntil(m, 1000); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// The capacity of a cold worker grows with its age. It goes down when more requests or more work reach it within a window
// than the operators' limit: N requests of mean work, plus 2·√N + 2 for random bunching (3·√N + 3 for N below 30).
func TestColdWorkerGoesDownWhenOverloaded(t *testing.T) {
	goesDown := func(spec Spec, works ...float64) bool {
		m := New(spec)
		m.Restart(1000)
		for i, w := range works {
			m.Submit(1000+float64(i)*0.001, job(fmt.Sprint(i), w, 1))
		}
		return m.Overloaded
	}
	sameWork := func(n int, work float64) (works []float64) {
		for range n {
			works = append(works, work)
		}
		return works
	}
	// N is 2 times a quarter of 2 cores over 500 ms, which is 5 requests of 100 ms: the limit is 14.7 requests.
	if goesDown(defaultSpec, sameWork(14, 10)...) || !goesDown(defaultSpec, sameWork(15, 10)...) {
		t.Error("the limit on requests is not 14.7")
	}
	if goesDown(defaultSpec, 1460) || !goesDown(defaultSpec, 1480) || goesDown(defaultSpec, 1000, 400, 60) ||
		!goesDown(defaultSpec, 60, 1000, 420) {
		t.Error("the limit on work is not 1,470 ms")
	}
	large := defaultSpec
	large.Cores = 20 // N is 50
	if goesDown(large, sameWork(66, 100)...) || !goesDown(large, sameWork(67, 100)...) {
		t.Error("the limit on requests is not between 66 and 67 where N is 50")
	}
	m := New(defaultSpec)
	m.Restart(1000)
	m.Submit(1000, job("a", 100, 2))
	if next := m.Next(); math.IsInf(next, 1) || next > 1000+rampStepMs {
		t.Errorf("Next() is %v ms, want a step of the slow start by %v ms", next, 1000+rampStepMs)
	}
	if got := runUntil(m, 2000); !strings.HasPrefix(got, "a began@1000, a settled@13") {
		t.Errorf("got %q, want a settled within 1300 ms to 1399 ms", got) // a quarter of two cores, and rising
	}
}
