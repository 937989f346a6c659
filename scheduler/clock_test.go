package scheduler

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const hourMs = 3600e3

// Workers' start times are listed as wall clock times. Whether the wall clock was set before or after the start was
// stamped, a worker that has just started is not taken for one that started long ago.
func TestStartTimesAcrossWallClockSteps(t *testing.T) {
	const now = 1e12
	for name, c := range map[string]struct {
		steps  []float64
		listed float64
		want   float64
	}{
		"no step":                            {nil, now - 5000, now - 5000},
		"long ago":                           {nil, 0, 0},
		"forward, stamped after":             {[]float64{hourMs}, now - 5000 + hourMs, now - 5000},
		"forward, stamped before":            {[]float64{hourMs}, now - 5000, now - 5000},
		"back, stamped after":                {[]float64{-hourMs}, now - 5000 - hourMs, now - 5000},
		"back, stamped before":               {[]float64{-hourMs}, now - 5000, now - 5000},
		"there and back, stamped in between": {[]float64{hourMs, 0}, now - 5000 + hourMs, now - 5000},
		"a step before the process":          {nil, now + hourMs, now},
		"by three seconds":                   {[]float64{-3000}, now - 1000 - 3000, now - 1000},
	} {
		var s workerStarts
		s.init()
		for _, step := range c.steps {
			s.noteOffset(step)
		}
		if got := s.startTime(now, "w1", c.listed); got != c.want {
			t.Errorf("%s: %v ms from now, want %v", name, got-now, c.want-now)
		}
		if got := s.startTime(now+7000, "w1", c.listed); got != c.want {
			t.Errorf("%s: listed again: %v ms from now, want %v", name, got-now, c.want-now)
		}
	}
}

// Setting the wall clock changes no duration: only its reading at the start counts.
func TestClockIsMonotonic(t *testing.T) {
	c := newClock()
	c.startWallMs -= hourMs // as if the wall clock had been set forward since
	a := c.now()
	time.Sleep(20 * time.Millisecond)
	if span := c.now() - a; span < 19 || span > 1000 {
		t.Errorf("a sleep of 20 ms took %v ms by the clock, want 19 to 1000", span)
	}
	if got := c.wallClockOffsetMs(); got < hourMs-1000 || got > hourMs+1000 {
		t.Errorf("wall clock offset %v ms, want about %v", got, hourMs)
	}
}

// The wall clock is set between the starts of two processes of one scheduler. The newer change of a worker's record
// holds in both.
func TestRecordsAcrossWallClockSteps(t *testing.T) {
	for _, step := range []float64{hourMs, -hourMs, 3000, -3000} {
		first, _ := newOnceOnlyPosting(t)
		second, _ := newOnceOnlyPosting(t)
		second.clock.startWallMs += step
		second.clock.bootOffsetMs += step
		path := filepath.Join(t.TempDir(), "x")
		for _, s := range []*Scheduler{first, second} {
			lock, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { lock.Close() })
			s.handover.lockFile, s.handover.recordsPath = lock, path+".out"
		}
		change := func(s *Scheduler, out bool) {
			err := s.handover.updateRecords(func(stored *records) bool {
				r := stored.Workers["w1"]
				if now := s.now(); out {
					r = record{Since: now}
				} else {
					r.PutBack = now
				}
				stored.Workers["w1"] = r
				s.ops.applyRecord("w1", r)
				return true
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		change(first, true)
		second.handover.readRecords()
		for i, s := range []*Scheduler{second, first, second, first} {
			change(s, i%2 == 1)
			for _, other := range []*Scheduler{first, second} {
				other.handover.recordsInfo = nil
				if other.handover.readRecords(); other.ops.workerRecords["w1"].isOut() != (i%2 == 1) {
					t.Fatalf("wall clock step %v ms, change %d: out of service want %t, got record %+v", step, i, i%2 == 1,
						other.ops.workerRecords["w1"])
				}
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}
