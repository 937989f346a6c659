package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
)

// fleetSizes are the numbers of schedulers that the tests run with.
var fleetSizes = []int{1, 2, 3, 6, 20, 80, 300, 900}

// The parts of all schedulers add up to the planned units, and each part only grows with them. So if schedulers
// estimate the budget differently, the sum is at most the units planned from the highest estimate.
func TestPartsAddUpToPlannedUnits(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	for _, size := range fleetSizes {
		for range 50 {
			units, sum, unequalSum := draw.Float64()*2000, 0.0, 0.0
			for rank := range size {
				all, fewer := unitsForRank(units, rank, size), unitsForRank(units*draw.Float64(), rank, size)
				if fewer > all {
					t.Fatalf("%d schedulers: rank %d gets %g when fewer than %g units are planned, %g when all are", size, rank,
						fewer, units, all)
				}
				sum += all
				unequalSum += fewer
			}
			if math.Abs(sum-units) > 1e-6 || unequalSum > units {
				t.Errorf("%d schedulers: of %g units the parts add up to %g, with unequal estimates to %g", size, units, sum, unequalSum)
			}
		}
	}
}

// Each scheduler has a rank of its own in each worker's allocation order, and the orders of different workers begin at
// different schedulers.
func TestAllocationRanksAreDistinct(t *testing.T) {
	for _, size := range fleetSizes {
		for _, workerHash := range []uint32{0, 7, 1 << 31, math.MaxUint32} {
			seen := make([]bool, size)
			for number := range size {
				rank := Fleet{number, size}.allocationRank(workerHash)
				if seen[rank] {
					t.Errorf("%d schedulers: two have rank %d", size, rank)
				}
				seen[rank] = true
			}
		}
	}
	if (Fleet{0, 300}).allocationRank(1) == (Fleet{0, 300}).allocationRank(2) {
		t.Error("a scheduler has the same rank for two workers")
	}
	_ = Fleet{}.allocationRank(5) // must not panic: a size of 0 (not configured) counts as one scheduler
}

// In any window, all schedulers together stay within the budget, in requests and in work, as long as none overestimates
// a worker's capacity. This holds whatever they have to send and when, also all at once, and whichever of them restart
// (and then wait for a window before they send to workers in slow start).
func TestSumStaysWithinBudgetInAnyWindow(t *testing.T) {
	type send struct{ at, work float64 } // in milliseconds
	const meanWork = 100.0
	for seed, size := range fleetSizes {
		draw := rand.New(rand.NewPCG(uint64(seed), 2))
		for _, capacity := range []float64{0.5, 3, 40} {
			limits := Limits{InitialShare: 0.1 + 0.3*draw.Float64(), WarmUpMs: 6000, WindowMs: 500 + 1500*draw.Float64(),
				CapacityMultiple: 1.5 + 3*draw.Float64()}
			logs, waitUntil := make([]SendLog, size), make([]float64, size)
			var sent []send
			for age := 1.0; age < limits.WarmUpMs; age += 20 + 200*draw.Float64() {
				for _, number := range draw.Perm(size) {
					if draw.IntN(200) == 0 {
						logs[number], waitUntil[number] = SendLog{}, age+limits.WindowMs // restart
					}
					if age <= waitUntil[number] {
						continue
					}
					arriving := RequestStats{MeanWorkMs: meanWork, HeaviestMs: 10 * meanWork, MostlyUnhinted: true}
					quota := limits.Quota(Fleet{number, size}, 12345, age, capacity*(0.5+0.5*draw.Float64()), arriving)
					for work := meanWork * draw.ExpFloat64(); quota.Admits(logs[number].Within(age, limits.WindowMs), work); {
						logs[number].Add(age, limits.WindowMs, work)
						sent = append(sent, send{age, work})
					}
				}
				requests, work := 0.0, 0.0
				for _, x := range sent {
					if age-x.at <= limits.WindowMs {
						requests++
						work += x.work
					}
				}
				allowed := limits.CapacityMultiple * limits.CapacityShare(age) * limits.WindowMs * capacity / meanWork
				budget := allowed + 2*math.Sqrt(allowed) + 2
				if allowed < 30 {
					budget = allowed + 3*math.Sqrt(allowed) + 3
				}
				if requests > budget || work > budget*meanWork {
					t.Fatalf("%d schedulers, capacity %g: %g requests and %g ms of work by age %g ms, the budget is %g requests", size,
						capacity, requests, work, age, budget)
				}
			}
		}
	}
}

// A request without a hint is sent alone, and only where hardly any requests carry hints: by the first scheduler in the
// allocation order always, by others as far as the planned units cover the heaviest request that settled lately.
func TestUnhintedRequestIsSentAlone(t *testing.T) {
	limits := Limits{InitialShare: 0.2, WarmUpMs: 20000, WindowMs: 2000, CapacityMultiple: 3}
	admitting := func(r RequestStats) (n int) {
		for number := range 100 {
			if limits.Quota(Fleet{number, 100}, 0, 0, 1, r).AdmitsUnhinted(Sent{}, r.HeaviestMs) {
				n++
			}
		}
		return n
	}
	plannedMs := plannedUnits(limits.AllowedRequests(0, 1, 100)) * 100
	for _, test := range []struct {
		requests RequestStats
		want     int
	}{
		{RequestStats{MeanWorkMs: 100, HeaviestMs: 100}, 0},
		{RequestStats{MeanWorkMs: 100, HeaviestMs: plannedMs / 4.5, MostlyUnhinted: true}, 4},
		{RequestStats{MeanWorkMs: 100, HeaviestMs: 10 * plannedMs, MostlyUnhinted: true}, 1},
	} {
		if got := admitting(test.requests); got != test.want {
			t.Errorf("%+v: %d schedulers may send one, want %d", test.requests, got, test.want)
		}
	}
	quota := Quota{MaxRequests: 5, MaxWorkMs: 500, MaxRequestWorkMs: 500, AllowsUnhinted: true}
	if quota.AdmitsUnhinted(Sent{1, 100}, 450) || !quota.AdmitsUnhinted(Sent{1, 100}, 350) {
		t.Error("after another request, one without a hint is not admitted by the work of the heaviest")
	}
}

// Only requests sent in the window count, and older entries are dropped.
func TestLogDropsOldEntries(t *testing.T) {
	var l SendLog
	for i := range 1000 {
		l.Add(float64(i), 10, 2)
	}
	if got := l.Within(999, 10); got != (Sent{11, 22}) || len(l.entries) > 11 {
		t.Errorf("counted %+v, kept %d entries", got, len(l.entries))
	}
}

// Schedulers that settle about the same amount of work each estimate about what a worker settles, and none
// overestimates it much. The estimate grows with a worker's size, and is 0 for another kind or after few settled
// requests.
func TestCapacityEstimate(t *testing.T) {
	const schedulers, workers, kind = 30, 12, 3
	draw := rand.New(rand.NewPCG(3, 3))
	sum := 0.0
	for range schedulers {
		var c CapacityEstimator
		c.SetWarmSize(0, kind, workers)
		// Together they settle what 2 cores of each worker do, in requests of 100 ms on average.
		for at := 0.0; at < 60000; at += draw.ExpFloat64() * 100 * schedulers / (2 * workers) {
			c.AddSettled(at, kind, 100*draw.ExpFloat64())
		}
		got := c.Estimate(60000, kind, 1, schedulers)
		if sum += got; got > 2.5 {
			t.Errorf("capacity of a worker that runs 2 at once is estimated as %.2f", got)
		}
		if half := c.Estimate(60000, kind, 0.5, schedulers); math.Abs(half-got/2) > 1e-9 {
			t.Errorf("capacity of a worker of half the size is estimated as %.2f", half)
		}
		if c.Estimate(60000, kind+1, 1, schedulers) != 0 {
			t.Error("the capacity of a kind that settled nothing is not 0")
		}
	}
	if mean := sum / schedulers; mean < 1.5 || mean > 2 {
		t.Errorf("mean estimate for workers that run 2 at once is %.2f", mean)
	}
	var few CapacityEstimator
	few.SetWarmSize(0, kind, 1)
	for range 4 {
		few.AddSettled(10, kind, 1e6)
	}
	if got := few.Estimate(20, kind, 1, schedulers); got != 0 {
		t.Errorf("capacity after four requests is %.2f, want 0", got)
	}
}

// In the mean work, requests without hints are weighted by their arrivals, not by how many settled. Weighted by settled
// requests, where five in seven arrive without a hint and these are the heavier ones, workers that ran few of those
// were sent one and a half times as many requests as allowed.
func TestMeanWorkIsWeightedByArrivals(t *testing.T) {
	var w WorkEstimator
	if w.Mean(0) != 0 || w.Mean(95) != 95 {
		t.Error("the mean is not that of hinted requests though nothing arrived")
	}
	for i := range 70 {
		if w.AddArrival(i%7 < 2); w.MostlyUnhinted() {
			t.Error("counted as unhinted, though two in seven carry hints")
		}
	}
	w.AddSettledUnhinted(160)
	w.AddSettledUnhinted(200)
	if got := w.Mean(95); math.Abs(got-(2*95+5*180)/7.0) > 1e-9 {
		t.Errorf("the mean is %g ms", got)
	}
	var unhinted WorkEstimator
	for range 9 {
		unhinted.AddArrival(false)
	}
	if unhinted.MostlyUnhinted() {
		t.Error("counted as unhinted after nine requests")
	}
	if unhinted.AddArrival(false); !unhinted.MostlyUnhinted() {
		t.Error("not counted as unhinted after ten requests without a hint")
	}
}
