package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []int{1, 2, 3, 6, 20, 80, 300, 900}

// The parts of all schedulers add up to what is shared, and each only grows with it. So where schedulers estimate the
// budget differently the sum is at most what the highest estimate plans.
func TestPartsAddUpToWhatIsPlanned(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	for _, size := range sizes {
		for range 50 {
			most, sum, unequal := draw.Float64()*2000, 0.0, 0.0
			for rank := range size {
				all, less := part(most, rank, size), part(most*draw.Float64(), rank, size)
				if less > all {
					t.Fatalf("%d schedulers: rank %d has %g of fewer than %g units, and %g of these", size, rank, less, most, all)
				}
				sum += all
				unequal += less
			}
			if math.Abs(sum-most) > 1e-6 || unequal > most {
				t.Errorf("%d schedulers: %g units are shared as %g, with unequal estimates as %g", size, most, sum, unequal)
			}
		}
	}
}

// Each scheduler has a place of its own in each worker's order, which begins elsewhere for each worker.
func TestRanksAreAnOrder(t *testing.T) {
	for _, size := range sizes {
		for _, worker := range []uint32{0, 7, 1 << 31, math.MaxUint32} {
			seen := make([]bool, size)
			for number := range size {
				rank := Fleet{number, size}.rank(worker)
				if seen[rank] {
					t.Errorf("%d schedulers: two have rank %d", size, rank)
				}
				seen[rank] = true
			}
		}
	}
	if (Fleet{0, 300}).rank(1) == (Fleet{0, 300}).rank(2) {
		t.Error("a scheduler is as far in the order of each worker")
	}
	_ = Fleet{}.rank(5) // a configuration that names no size is of one scheduler
}

// Whatever schedulers have to send, at any moments, also all at once, and whichever of them restart (and then wait for a
// window before they send to workers in slow start), what they send together in any window is within the budget, in
// requests and in work, as long as none estimates more than a worker carries.
func TestTheSumIsWithinTheBudgetInAnyWindow(t *testing.T) {
	type send struct{ at, work float64 }
	const meanWork = 100.0
	for seed, size := range sizes {
		draw := rand.New(rand.NewPCG(uint64(seed), 2))
		for _, capacity := range []float64{0.5, 3, 40} {
			limits := Limits{InitialShare: 0.1 + 0.3*draw.Float64(), WarmUp: 6000, Window: 500 + 1500*draw.Float64(),
				Multiple: 1.5 + 3*draw.Float64()}
			logs, from := make([]Log, size), make([]float64, size)
			var sent []send
			for age := 1.0; age < limits.WarmUp; age += 20 + 200*draw.Float64() {
				for _, number := range draw.Perm(size) {
					if draw.IntN(200) == 0 {
						logs[number], from[number] = Log{}, age+limits.Window
					}
					if age <= from[number] {
						continue
					}
					requests := Requests{MeanWork: meanWork, Heaviest: 10 * meanWork, Unhinted: true}
					quota := limits.Quota(Fleet{number, size}, 12345, age, capacity*(0.5+0.5*draw.Float64()), requests)
					for work := meanWork * draw.ExpFloat64(); quota.Admits(logs[number].Within(age, limits.Window), work); {
						logs[number].Add(age, limits.Window, work)
						sent = append(sent, send{age, work})
					}
				}
				requests, work := 0.0, 0.0
				for _, x := range sent {
					if age-x.at <= limits.Window {
						requests++
						work += x.work
					}
				}
				n := limits.Multiple * limits.Share(age) * limits.Window * capacity / meanWork
				most := n + 2*math.Sqrt(n) + 2
				if n < 30 {
					most = n + 3*math.Sqrt(n) + 3
				}
				if requests > most || work > most*meanWork {
					t.Fatalf("%d schedulers, capacity %g: %g requests and %g ms of work by age %g, the budget is %g requests", size, capacity,
						requests, work, age, most)
				}
			}
		}
	}
}

// A request without a hint goes alone, and only where next to none bring hints: at the first scheduler in order always, at
// others as far as the plan bears the heaviest of late.
func TestUnhintedGoAlone(t *testing.T) {
	limits := Limits{InitialShare: 0.2, WarmUp: 20000, Window: 2000, Multiple: 3}
	admitted := func(r Requests) (n int) {
		for number := range 100 {
			if limits.Quota(Fleet{number, 100}, 0, 0, 1, r).AdmitsUnhinted(Sent{}, r.Heaviest) {
				n++
			}
		}
		return n
	}
	plan := planned(limits.Allowed(0, 1, 100)) * 100
	for _, x := range []struct {
		r    Requests
		want int
	}{
		{Requests{MeanWork: 100, Heaviest: 100}, 0},
		{Requests{MeanWork: 100, Heaviest: plan / 4.5, Unhinted: true}, 4},
		{Requests{MeanWork: 100, Heaviest: 10 * plan, Unhinted: true}, 1},
	} {
		if got := admitted(x.r); got != x.want {
			t.Errorf("%+v: %d schedulers may send one, want %d", x.r, got, x.want)
		}
	}
	beside := Quota{Requests: 5, Work: 500, Heaviest: 500, Unhinted: true}
	if beside.AdmitsUnhinted(Sent{1, 100}, 450) || !beside.AdmitsUnhinted(Sent{1, 100}, 350) {
		t.Error("beside others one without a hint goes by the heaviest of late")
	}
}

// Only what went in the window counts, and older entries are not kept.
func TestLogForgets(t *testing.T) {
	var l Log
	for i := range 1000 {
		l.Add(float64(i), 10, 2)
	}
	if got := l.Within(999, 10); got != (Sent{11, 22}) || len(l.entries) > 11 {
		t.Errorf("%+v counts, %d entries are kept", got, len(l.entries))
	}
}

// Schedulers that settle a like part of the work each estimate about what a worker settles, none much more than it; little
// that settled says nothing, and what settled long ago, at workers that are gone, fades.
func TestCapacity(t *testing.T) {
	const schedulers, workers, kind = 30, 12, 3
	draw := rand.New(rand.NewPCG(3, 3))
	sum := 0.0
	for range schedulers {
		var c Capacity
		c.Warm(0, kind, workers)
		// All settle as much as 2 cores of each worker do: jobs of 100 ms, so many a second.
		for at := 0.0; at < 60000; at += draw.ExpFloat64() * 100 * schedulers / (2 * workers) {
			c.Settled(at, kind, 100*draw.ExpFloat64())
		}
		got := c.Of(60000, kind, 1, schedulers)
		if sum += got; got > 2.5 {
			t.Errorf("a worker that carries 2 is taken for %.2f", got)
		}
		if half := c.Of(60000, kind, 0.5, schedulers); math.Abs(half-got/2) > 1e-9 {
			t.Errorf("one of half the size is taken for %.2f", half)
		}
		if c.Of(60000, kind+1, 1, schedulers) != 0 {
			t.Error("something is known of a kind that settled nothing")
		}
	}
	if mean := sum / schedulers; mean < 1.5 || mean > 2 {
		t.Errorf("workers that carry 2 are taken for %.2f in the mean", mean)
	}
	var few Capacity
	few.Warm(0, kind, 1)
	for range 4 {
		few.Settled(10, kind, 1e6)
	}
	if got := few.Of(20, kind, 1, schedulers); got != 0 {
		t.Errorf("four requests tell of a capacity of %.2f", got)
	}
}

// Requests without hints count in the mean as they come, not as they settle: where these are five in seven and the heavier
// ones, workers that had few of them got half as many more requests than they are allowed.
func TestMeanWorkIsOfWhatComes(t *testing.T) {
	var w Work
	if w.Mean(0) != 0 || w.Mean(95) != 95 {
		t.Error("something is known though nothing came")
	}
	for i := range 70 {
		if w.Arrived(i%7 < 2); w.Unhinted() {
			t.Error("two in seven bring hints")
		}
	}
	w.Settled(160)
	w.Settled(200)
	if got := w.Mean(95); math.Abs(got-(2*95+5*180)/7.0) > 1e-9 {
		t.Errorf("the mean is %g", got)
	}
	var none Work
	for range 9 {
		none.Arrived(false)
	}
	if none.Unhinted() {
		t.Error("nine requests show that none bring hints")
	}
	if none.Arrived(false); !none.Unhinted() {
		t.Error("ten requests without a hint show nothing")
	}
}
