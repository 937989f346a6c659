package main

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"shalebeam/lab/live"
	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// demoPlan is the experiment that the demo plays.
//
//go:embed demo.toml
var demoPlan []byte

type demoCmd struct {
	For     time.Duration `default:"10m" help:"How long to run, unless ended earlier by Ctrl-C."`
	Fault   []string      `sep:"none" placeholder:"FAULT" help:"Inject a fault, such as 'do=kill on=workers share=0.5 at=5s for=10s'. May be given more than once."`
	Program string        `placeholder:"FILE" help:"The shalebeam program; by default the one in beamlab's directory."`
}

// Run starts discovery, workers and two schedulers on free loopback ports, with some load.
func (c *demoCmd) Run(ctx context.Context) error {
	text := append([]byte{}, demoPlan...)
	for _, f := range c.Fault {
		text = append(text, "\n[[fault]]\n"...)
		for pair := range strings.FieldsSeq(f) {
			key, value, ok := strings.Cut(pair, "=")
			if !ok {
				return fmt.Errorf("--fault: %q is not KEY=VALUE", pair)
			}
			if key != "share" && key != "factor" {
				value = fmt.Sprintf("%q", value)
			}
			text = fmt.Appendf(text, "%s = %s\n", key, value)
		}
	}
	text, err := plan.WithKeys(text, fmt.Sprintf("length=%q", c.For.String()))
	if err != nil {
		return fmt.Errorf("--fault: %w", err)
	}
	p, err := plan.Parse(text)
	if err != nil {
		return fmt.Errorf("--fault: %w", err)
	}
	program, err := (&modeFlags{Program: c.Program}).program()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.For+time.Minute)
	defer cancel()
	v := outcomeView{startedAt: time.Now()}
	go v.show(ctx)
	r, err := live.Run(ctx, p, p.Seed, live.Options{Program: program, ServeUnplanned: true, Outcome: v.count,
		OnEvent: func(text string) { fmt.Fprintf(os.Stderr, "\r%-78s\n", "* "+text) },
		Serving: func(addr, scheme string) {
			fmt.Printf("%d workers, %d schedulers and discovery run on loopback until Ctrl-C. An example of a txn that settles:\n\n"+
				"    curl -d body -H \"Request-Id: $RANDOM\" -H 'Request-Timeout: 5000m' http://%s/%s\n\n", p.WorkerCount(),
				p.Schedulers.Count, addr, scheme)
		}})
	if err != nil {
		return err
	}
	fmt.Println()
	writeRun(os.Stdout, r)
	if r.ViolationCount() > 0 {
		return errRuleBroken
	}
	return nil
}

// outcomeView counts the outcomes of jobs and shows them on standard error.
type outcomeView struct {
	startedAt time.Time
	mu        sync.Mutex     // guards counts
	counts    map[string]int // by load.Job.Outcome
}

// count counts the outcome of a job that ended.
func (v *outcomeView) count(j *load.Job) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.counts == nil {
		v.counts = map[string]int{}
	}
	v.counts[j.Outcome]++
}

// show updates the line of outcomes every second until ctx is done.
func (v *outcomeView) show(ctx context.Context) {
	for t := time.NewTicker(time.Second); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		v.mu.Lock()
		all := 0
		for _, n := range v.counts {
			all += n
		}
		fmt.Fprintf(os.Stderr, "\r%4.0f s: %d jobs over: settled %d, declined %d, reversed %d, left %d, none %d   ",
			time.Since(v.startedAt).Seconds(), all, v.counts[load.Settled], v.counts[load.Declined], v.counts[load.Reversed],
			v.counts[load.Left], v.counts[load.Refused]+v.counts[load.Broken]+v.counts[load.Expired])
		v.mu.Unlock()
	}
}
