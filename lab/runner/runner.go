// Package runner plays many runs concurrently and returns their results in the order of the tasks, so that the number
// of concurrent runs changes only the time it takes.
package runner

import (
	"context"
	"sync"

	"shalebeam/lab/plan"
	"shalebeam/lab/sim"
	"shalebeam/lab/tally"
)

// Task describes one run.
type Task struct {
	Plan   *plan.Plan
	Seed   uint64
	Policy string
	Keep   string // ref of a txn whose history is kept; "": none
	// Play replaces the simulated run, unless it is nil.
	Play func(ctx context.Context, t Task) (*tally.Result, error)
}

// PlayAll plays tasks, at most maxParallel at once. It calls onResult, unless it is nil, as each run ends, one call at
// a time. When ctx is done it stops: runs that had not begun have a nil result, and those that had a partial one. The
// first error stops all runs.
func PlayAll(ctx context.Context, tasks []Task, maxParallel int, onResult func(i int, r *tally.Result)) ([]*tally.Result, error) {
	results := make([]*tally.Result, len(tasks))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	for range max(min(maxParallel, len(tasks)), 1) {
		wg.Go(func() {
			for i := range next {
				r, err := play(ctx, tasks[i])
				mu.Lock()
				if err != nil && firstErr == nil && ctx.Err() == nil {
					firstErr = err
					cancel(err)
				}
				if results[i] = r; r != nil && onResult != nil {
					onResult(i, r)
				}
				mu.Unlock()
			}
		})
	}
	for i := range tasks {
		if ctx.Err() != nil {
			break
		}
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	return results, firstErr
}

// play plays one task.
func play(ctx context.Context, t Task) (*tally.Result, error) {
	if t.Play != nil {
		return t.Play(ctx, t)
	}
	return sim.Run(ctx, t.Plan, t.Seed, t.Policy, sim.Options{KeepHistoryOf: t.Keep, Seconds: true})
}
