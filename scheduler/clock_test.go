package scheduler

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const hour = 3600e3

// A worker's start is told in wall time. However the wall clock was set before or after the start was stamped, a worker that
// has just started is not taken for one that started long ago.
func TestStartsAcrossStepsOfTheWallClock(t *testing.T) {
	const now = 1e12
	for name, c := range map[string]struct {
		steps []float64
		told  float64
		want  float64
	}{
		"no step":                    {nil, now - 5000, now - 5000},
		"long ago":                   {nil, 0, 0},
		"forward, stamped after":     {[]float64{hour}, now - 5000 + hour, now - 5000},
		"forward, stamped before":    {[]float64{hour}, now - 5000, now - 5000},
		"back, stamped after":        {[]float64{-hour}, now - 5000 - hour, now - 5000},
		"back, stamped before":       {[]float64{-hour}, now - 5000, now - 5000},
		"there and back, in between": {[]float64{hour, 0}, now - 5000 + hour, now - 5000},
		"a step before the process":  {nil, now + hour, now},
		"by three seconds":           {[]float64{-3000}, now - 1000 - 3000, now - 1000},
	} {
		var s workerStarts
		s.init()
		for _, step := range c.steps {
			s.noteOffset(step)
		}
		if got := s.startTime(now, "w1", c.told); got != c.want {
			t.Errorf("%s: %v, want %v", name, got-now, c.want-now)
		}
		if got := s.startTime(now+7000, "w1", c.told); got != c.want {
			t.Errorf("%s: told again it is %v, want %v", name, got-now, c.want-now)
		}
	}
}

// Spans do not change when the wall clock is set: only its reading at the start counts.
func TestTheClockGoesByMonotonicTime(t *testing.T) {
	c := newClock()
	c.startWallMs -= hour // as if the wall clock had been set forward since
	a := c.now()
	time.Sleep(20 * time.Millisecond)
	if span := c.now() - a; span < 19 || span > 1000 {
		t.Errorf("20 ms took %v", span)
	}
	if got := c.wallClockOffsetMs(); got < hour-1000 || got > hour+1000 {
		t.Errorf("drift %v", got)
	}
}

// Two processes of one scheduler, between whose starts the wall clock was set: the newer change holds for both.
func TestWhoIsOutAcrossAStepOfTheWallClock(t *testing.T) {
	for _, step := range []float64{hour, -hour, 3000, -3000} {
		first, _ := onceOnly(t)
		second, _ := onceOnly(t)
		second.clock.startWallMs += step
		second.clock.boot += step
		path := filepath.Join(t.TempDir(), "x")
		for _, s := range []*Scheduler{first, second} {
			lock, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { lock.Close() })
			s.handover.lock, s.handover.path = lock, path+".out"
		}
		change := func(s *Scheduler, out bool) {
			err := s.handover.keep(func(in *records) bool {
				r := in.Workers["w1"]
				if now := s.now(); out {
					r = record{Since: now}
				} else {
					r.Back = now
				}
				in.Workers["w1"] = r
				s.ops.set("w1", r)
				return true
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		change(first, true)
		second.handover.read()
		for i, s := range []*Scheduler{second, first, second, first} {
			change(s, i%2 == 1)
			for _, other := range []*Scheduler{first, second} {
				other.handover.seen = nil
				if other.handover.read(); other.ops.staffed["w1"].out() != (i%2 == 1) {
					t.Fatalf("step %v, change %d: %+v", step, i, other.ops.staffed["w1"])
				}
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}
