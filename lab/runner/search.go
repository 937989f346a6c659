package runner

import (
	"context"
	"fmt"
	"slices"

	"shalebeam/lab/plan"
	"shalebeam/lab/tally"
)

// Finding is the outcome of a plan for the policy under search.
type Finding struct {
	Plan      *plan.Plan
	Rules     []string // violated rules
	Shortfall float64  // G of the baseline policy minus G
	G         float64
	Played    int // number of runs that it took
}

// Search looks for the plans with the worst outcomes: those with the most violated rules and, among equals, with the
// greatest shortfall against a baseline policy.
type Search struct {
	Policy      string
	Baseline    string // the policy that shows which gain was possible; "": only violations count
	MaxParallel int    // number of concurrent runs
	Progress    func(text string)
}

// playOne plays one plan with both policies.
func (s *Search) playOne(ctx context.Context, p *plan.Plan) (Finding, error) {
	tasks := []Task{{Plan: p, Seed: p.Seed, Policy: s.Policy}}
	if s.Baseline != "" {
		tasks = append(tasks, Task{Plan: p, Seed: p.Seed, Policy: s.Baseline})
	}
	results, err := PlayAll(ctx, tasks, 2, nil)
	if err != nil || slices.Contains(results, nil) {
		return Finding{}, fmt.Errorf("%s: not played: %w", p.Name, firstError(err, ctx.Err()))
	}
	return s.finding(p, results), nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// finding returns the finding of a plan from the results of the policy and, if there is one, the baseline.
func (s *Search) finding(p *plan.Plan, results []*tally.Result) Finding {
	f := Finding{Plan: p, Rules: results[0].Rules(), G: results[0].G, Played: len(results)}
	if len(results) > 1 {
		f.Shortfall = results[1].G - results[0].G
	}
	return f
}

// Rank plays the plans and returns their findings, the worst first. It leaves out plans that were not played.
func (s *Search) Rank(ctx context.Context, plans []*plan.Plan) ([]Finding, error) {
	var tasks []Task
	for _, p := range plans {
		tasks = append(tasks, Task{Plan: p, Seed: p.Seed, Policy: s.Policy})
		if s.Baseline != "" {
			tasks = append(tasks, Task{Plan: p, Seed: p.Seed, Policy: s.Baseline})
		}
	}
	results, err := PlayAll(ctx, tasks, s.MaxParallel, nil)
	if err != nil {
		return nil, err
	}
	perPlan := len(tasks) / max(len(plans), 1)
	var all []Finding
	for i, p := range plans {
		if own := results[i*perPlan : (i+1)*perPlan]; !slices.Contains(own, nil) {
			all = append(all, s.finding(p, own))
		}
	}
	slices.SortStableFunc(all, func(a, b Finding) int {
		switch {
		case a.worse(b):
			return -1
		case b.worse(a):
			return 1
		}
		return 0
	})
	return all, nil
}

// worse reports whether f is worse than another finding.
func (f Finding) worse(than Finding) bool {
	if len(f.Rules) != len(than.Rules) {
		return len(f.Rules) > len(than.Rules)
	}
	return f.Shortfall > than.Shortfall
}

// reproduces reports whether the finding of a shrunk plan still shows that of the whole one: it violates the same first
// rule or, where none was violated, has at least four fifths of the shortfall.
func (f Finding) reproduces(whole Finding) bool {
	if len(whole.Rules) > 0 {
		return slices.Contains(f.Rules, whole.Rules[0])
	}
	return f.Shortfall >= 0.8*whole.Shortfall
}

// Shrink removes from a finding's plan what is not needed to reproduce it: faults, then time, then schedulers and
// workers, and repeats that until no smaller plan reproduces it.
func (s *Search) Shrink(ctx context.Context, found Finding) (Finding, error) {
	for shrunk := true; shrunk; {
		shrunk = false
		for _, smaller := range smallerPlans(found.Plan) {
			if smaller.Check() != nil {
				continue
			}
			got, err := s.playOne(ctx, smaller)
			if err != nil {
				return found, err
			}
			found.Played += got.Played
			if !got.reproduces(found) {
				continue
			}
			got.Played = found.Played
			if s.Progress != nil {
				s.Progress(fmt.Sprintf("%d faults, %v ms, %d schedulers, %d workers", len(smaller.Faults), smaller.Length,
					smaller.Schedulers.Count, smaller.WorkerCount()))
			}
			found, shrunk = got, true
			break
		}
	}
	return found, nil
}

// smallerPlans returns all plans that are one step smaller than p: first those without one fault, then the one of 0.7
// times the length, then the one with a scheduler less, then those with half the workers of one group.
func smallerPlans(p *plan.Plan) (all []*plan.Plan) {
	addChanged := func(change func(q *plan.Plan)) {
		q := *p
		q.Workers, q.Faults = slices.Clone(p.Workers), slices.Clone(p.Faults)
		// Clients is left as it is, so that a smaller fleet does not get less work by itself. That holds for Clients.Rate;
		// with Clients.Load the rate of arrivals follows the capacity of the workers.
		change(&q)
		all = append(all, &q)
	}
	for i := range p.Faults {
		addChanged(func(q *plan.Plan) { q.Faults = slices.Delete(q.Faults, i, i+1) })
	}
	if p.Length > 2000 {
		addChanged(func(q *plan.Plan) {
			q.Length = plan.Span(int(0.7 * float64(q.Length)))
			q.Faults = slices.DeleteFunc(q.Faults, func(f plan.Fault) bool { return f.At >= q.Length })
		})
	}
	if p.Schedulers.Count > 1 {
		addChanged(func(q *plan.Plan) { q.Schedulers.Count-- })
	}
	for i, w := range p.Workers {
		if w.Count > 1 {
			addChanged(func(q *plan.Plan) { q.Workers[i].Count = w.Count / 2 })
		}
	}
	return all
}
