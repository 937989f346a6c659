package scheduler

import (
	"math"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// clock gives times in milliseconds on the scale that the module and all limits use: Unix time at the start of the
// process, advanced by the monotonic clock. Setting the wall clock afterwards changes no duration.
type clock struct {
	origin       time.Time // when the process started, with its monotonic reading
	startWallMs  float64   // the wall clock at origin, as Unix time in ms
	bootOffsetMs float64   // ms to add to the system's monotonic clock to get to this scale; 0: not known
}

// newClock starts a clock whose scale is that of the wall clock now.
func newClock() clock {
	c := clock{origin: time.Now()}
	c.startWallMs = float64(c.origin.UnixNano()) / 1e6
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err == nil {
		c.bootOffsetMs = c.now() - float64(monotonic.Nano())/1e6
	}
	return c
}

// now is the present time in milliseconds.
func (c *clock) now() float64 {
	return c.startWallMs + float64(time.Since(c.origin))/float64(time.Millisecond)
}

// wallClockOffsetMs is by how many milliseconds the wall clock is ahead of this scale, since it was set after the
// start.
func (c *clock) wallClockOffsetMs() float64 {
	return float64(time.Now().UnixNano())/1e6 - c.now()
}

// offsetFromMs is how many milliseconds to add to times of another process on this machine, given that process's
// bootOffsetMs: 0 where either offset is not known.
func (c *clock) offsetFromMs(otherBootOffsetMs float64) float64 {
	if otherBootOffsetMs == 0 || c.bootOffsetMs == 0 {
		return 0
	}
	return math.Round(c.bootOffsetMs - otherBootOffsetMs) // so that times written back and read again stay the same
}

const (
	minClockStepMs = 100.0 // a smaller difference between the clocks is not taken for a step of the wall clock
	maxClockSteps  = 8     // wall clock offsets that are remembered
)

// workerStarts converts the start times in discovery's list, which are wall clock times, to this process's scale. The
// wall clock may be set while the process runs, and a worker's start may have been stamped before or after that.
type workerStarts struct {
	// The milliseconds by which the wall clock was ahead of this scale: 0 first, then the values seen since, newest last.
	offsets  []float64
	byWorker map[string]listedStart // start times converted before
}

// listedStart is a worker's start time as listed, and as converted.
type listedStart struct {
	listed float64 // wall clock time in discovery's list, Unix time in ms
	local  float64 // on this process's scale
}

func (s *workerStarts) init() {
	*s = workerStarts{offsets: []float64{0}, byWorker: map[string]listedStart{}}
}

// noteOffset records the wall clock's present offset, if none like it is known.
func (s *workerStarts) noteOffset(offsetMs float64) {
	same := func(known float64) bool { return math.Abs(known-offsetMs) < minClockStepMs }
	if i := slices.IndexFunc(s.offsets, same); i >= 0 {
		return
	}
	if s.offsets = append(s.offsets, offsetMs); len(s.offsets) > maxClockSteps {
		s.offsets = slices.Delete(s.offsets, 1, 2)
	}
}

// startTime is when a worker started, by its listed start time; 0 or less means long ago and is returned as it is.
// Otherwise the start is the listed time minus one of the known wall clock offsets, and which of them applies is not
// known. The latest result that is not in the future is taken, as a worker believed to be warm too soon would be
// overloaded; where all are in the future, the start is now.
func (s *workerStarts) startTime(now float64, worker string, listed float64) float64 {
	if listed <= 0 {
		delete(s.byWorker, worker)
		return listed
	}
	if previous, ok := s.byWorker[worker]; ok && previous.listed == listed {
		return previous.local
	}
	local := math.Inf(-1)
	for _, offsetMs := range s.offsets {
		if start := listed - offsetMs; start <= now+minClockStepMs {
			local = max(local, start)
		}
	}
	if math.IsInf(local, -1) {
		local = now
	}
	s.byWorker[worker] = listedStart{listed, local}
	return local
}

// forget deletes the start time of a worker that was removed.
func (s *workerStarts) forget(worker string) { delete(s.byWorker, worker) }

// retain deletes the start times of all workers that are not in listed.
func (s *workerStarts) retain(listed map[string]bool) {
	for worker := range s.byWorker {
		if !listed[worker] {
			delete(s.byWorker, worker)
		}
	}
}
