package runner

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"testing"

	"shalebeam/lab/plan"
	"shalebeam/lab/tally"
)

// With one run at a time or eight the results are the same, in the same order.
func TestResultsDoNotDependOnParallelism(t *testing.T) {
	var tasks []Task
	for seed := range uint64(10) {
		p := plan.Random(100 + seed)
		p.Length = 4000
		p.Faults = slices.DeleteFunc(p.Faults, func(f plan.Fault) bool { return f.At >= p.Length })
		tasks = append(tasks, Task{Plan: p, Seed: seed, Policy: "adus"}, Task{Plan: p, Seed: seed, Policy: "two"})
	}
	var texts []string
	for _, maxParallel := range []int{1, 8} {
		got, err := PlayAll(context.Background(), tasks, maxParallel, nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(raw))
	}
	if texts[0] != texts[1] {
		t.Error("the results differ")
	}
}

// When the context ends, the result of a run that has begun is partial, and that of one that has not is nil.
func TestStoppedRunsArePartial(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	p := plan.Random(1)
	tasks := []Task{{Plan: p, Seed: 1, Policy: "adus"}, {Plan: p, Seed: 2, Policy: "adus"}, {Plan: p, Seed: 3, Policy: "adus"}}
	tasks[1].Play = func(ctx context.Context, x Task) (*tally.Result, error) {
		stop()
		x.Play = nil
		return play(ctx, x)
	}
	got, err := PlayAll(ctx, tasks, 1, nil)
	if err != nil || got[0] == nil || got[0].Partial || got[1] == nil || !got[1].Partial || got[2] != nil {
		t.Errorf("%v %v", got, err)
	}
}

func TestPairedDifferenceCancelsSharedVariation(t *testing.T) {
	a := []float64{0.1, 0.5, 0.9, 0.3}
	b := []float64{0.12, 0.51, 0.92, 0.31}
	if s := PairedDifference(a, b); !s.Significant() || math.Abs(s.Mean-0.015) > 1e-9 {
		t.Errorf("%+v", s)
	}
	// Student's t with 3 degrees of freedom: 3.182 standard errors.
	if s := EstimateMean(a); math.Abs(s.High-s.Mean-3.182*0.3416/2) > 1e-3 || s.Significant() == (s.Low < 0) {
		t.Errorf("%+v", s)
	}
	if s := EstimateMean(a[:1]); s.Significant() || s.High != s.Low {
		t.Errorf("%+v", s)
	}
}

// Shrink removes from a plan what does not cause its violation: of six faults only the one that triggers the planted bug
// stays.
func TestShrinkKeepsOnlyTheCause(t *testing.T) {
	if testing.Short() {
		t.Skip("the short run is for the race detector, and no part of this test runs concurrently")
	}
	p := plan.Random(2)
	p.Length, p.Schedulers.Count = 6000, 3
	p.Faults = nil
	for i := range 5 {
		p.Faults = append(p.Faults, plan.Fault{Do: "slow", On: "workers", Share: 0.2, At: plan.Span(500 + 500*i), For: 500,
			Factor: 0.5})
	}
	p.Faults = append(p.Faults, plan.Fault{Do: "drain", On: "workers", Share: 0.5, At: 2000, For: 3000})
	s := &Search{Policy: "adus:ignores-drains", MaxParallel: 4}
	all, err := s.Rank(context.Background(), []*plan.Plan{p})
	if err != nil || !slices.Contains(all[0].Rules, "drain") {
		t.Fatal(all, err)
	}
	shrunk, err := s.Shrink(context.Background(), all[0])
	if err != nil || len(shrunk.Plan.Faults) != 1 || shrunk.Plan.Faults[0].Do != "drain" || shrunk.Plan.Schedulers.Count != 1 {
		t.Errorf("%v: %d faults, %d schedulers", err, len(shrunk.Plan.Faults), shrunk.Plan.Schedulers.Count)
	}
}
