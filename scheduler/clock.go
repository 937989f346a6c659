package scheduler

import (
	"math"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// clock gives times in milliseconds on the scale that the module and all limits use: the wall clock's at the start, moved on by
// the monotonic clock. No span changes when the wall clock is set.
type clock struct {
	origin time.Time
	wall   float64 // at origin, Unix time in milliseconds
	boot   float64 // what has to be added to the system's monotonic clock to get to this scale
}

func newClock() clock {
	c := clock{origin: time.Now()}
	c.wall = float64(c.origin.UnixNano()) / 1e6
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err == nil {
		c.boot = c.now() - float64(monotonic.Nano())/1e6
	}
	return c
}

func (c *clock) now() float64 {
	return c.wall + float64(time.Since(c.origin))/float64(time.Millisecond)
}

// drift is by how much the wall clock was set since the start.
func (c *clock) drift() float64 {
	return float64(time.Now().UnixNano())/1e6 - c.now()
}

// shiftFrom is what has to be added to times of another process of this machine, by its boot: 0 where that is not known.
func (c *clock) shiftFrom(boot float64) float64 {
	if boot == 0 || c.boot == 0 {
		return 0
	}
	return math.Round(c.boot - boot) // so that what is written back and read again is the same
}

const (
	leastStep = 100.0 // ms: a smaller difference of the clocks is no step
	mostSteps = 8     // that are remembered
)

// starts turns the start times that discovery tells, which are wall times, into this process's scale. The wall clock may be set
// while it runs, and a start may have been stamped before that or after.
type starts struct {
	steps []float64            // of the wall clock against this scale, as seen so far, the newest last
	known map[string]toldStart // by worker
}

type toldStart struct {
	told float64 // as it stands in the list
	at   float64
}

func (s *starts) init() { *s = starts{steps: []float64{0}, known: map[string]toldStart{}} }

// looked takes how far the wall clock is off now.
func (s *starts) looked(drift float64) {
	same := func(step float64) bool { return math.Abs(step-drift) < leastStep }
	if i := slices.IndexFunc(s.steps, same); i >= 0 {
		return
	}
	if s.steps = append(s.steps, drift); len(s.steps) > mostSteps {
		s.steps = slices.Delete(s.steps, 1, 2)
	}
}

// at is when a worker started, by what the list tells. Of the times that it may mean the latest counts that is not to come, as a
// worker taken for warm too soon would be overloaded; where all are to come, it is now.
func (s *starts) at(now float64, worker string, told float64) float64 {
	if told <= 0 {
		delete(s.known, worker)
		return told
	}
	if k, ok := s.known[worker]; ok && k.told == told {
		return k.at
	}
	at := math.Inf(-1)
	for _, step := range s.steps {
		if start := told - step; start <= now+leastStep {
			at = max(at, start)
		}
	}
	if math.IsInf(at, -1) {
		at = now
	}
	s.known[worker] = toldStart{told, at}
	return at
}

func (s *starts) forget(worker string) { delete(s.known, worker) }

// keep forgets all workers but these.
func (s *starts) keep(listed map[string]bool) {
	for worker := range s.known {
		if !listed[worker] {
			delete(s.known, worker)
		}
	}
}
