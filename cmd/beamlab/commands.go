package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalebeam/lab/live"
	"shalebeam/lab/plan"
	"shalebeam/lab/policy"
	"shalebeam/lab/report"
	"shalebeam/lab/runner"
	"shalebeam/lab/tally"
)

// errRuleBroken ends a command in which a rule was violated, with exit code 3.
var errRuleBroken = errors.New("a rule was broken")

// playFlags are the arguments and flags of the commands that play an experiment file.
type playFlags struct {
	File  string   `arg:"" help:"Experiment file."`
	Seeds int      `default:"1" help:"Number of seeds, counted up from the first one."`
	Seed  *uint64  `help:"The first seed; by default the one in the file."`
	Set   []string `placeholder:"KEY=VALUE" help:"Override a key of the file, such as clients.load=0.9."`
	Jobs  int      `default:"${jobs}" help:"Number of concurrent runs. It does not change the results."`
	outputFlags
}

// modeFlags say how a plan is played.
type modeFlags struct {
	Way     string `enum:"simulated,sockets" default:"simulated" help:"Play in simulated time, or in real time on loopback sockets."`
	Program string `default:"" placeholder:"FILE" help:"The shalebeam program that plays on sockets; by default the one in beamlab's directory."`
	Logs    string `placeholder:"FOLDER" help:"Keep the schedulers' configurations and logs in this directory."`
}

// play returns the function that plays a task, see player. Runs on sockets compete for the cores, so it limits them to
// one at a time.
func (m *modeFlags) play(c *playFlags) (func(context.Context, runner.Task) (*tally.Result, error), error) {
	if m.Way != "simulated" {
		c.Jobs = 1
	}
	return m.player(c.Quiet)
}

// player returns the function that plays a task on sockets, nil for simulated time.
func (m *modeFlags) player(quiet bool) (func(context.Context, runner.Task) (*tally.Result, error), error) {
	if m.Way == "simulated" {
		return nil, nil
	}
	program, err := m.program()
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context, t runner.Task) (*tally.Result, error) {
		if t.Policy != "adus" {
			return nil, fmt.Errorf("policy %q: on sockets only adus can be played, as the shalebeam program decides", t.Policy)
		}
		opt := live.Options{Program: program, Dir: m.Logs, KeepHistoryOf: t.Keep}
		if !quiet {
			opt.Progress = func(done float64) { fmt.Fprintf(os.Stderr, "\r%s, seed %d: %3.0f%%", t.Plan.Name, t.Seed, 100*done) }
		}
		return live.Run(ctx, t.Plan, t.Seed, opt)
	}, nil
}

// program returns the path of the shalebeam program.
func (m *modeFlags) program() (string, error) {
	if m.Program != "" {
		return m.Program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "shalebeam")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("--program is not given, and there is no shalebeam in beamlab's directory: %w", err)
	}
	return path, nil
}

// outputFlags say where results are written.
type outputFlags struct {
	JSON  bool   `name:"json" help:"Write results as JSON to standard output."`
	Page  string `placeholder:"FILE" help:"Write an HTML page with plots."`
	Quiet bool   `short:"q" help:"Show no progress."`
}

// Help returns the help text, which lists the policies.
func (playFlags) Help() string { return "Policies: " + strings.Join(policy.Names(), ", ") + "." }

// load reads the experiment file with the changes of --set, sets and --seed.
func (c *playFlags) load(sets ...string) (*plan.Plan, error) {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	if sets = append(append([]string{}, c.Set...), sets...); len(sets) > 0 {
		if raw, err = plan.WithKeys(raw, sets...); err != nil {
			return nil, fmt.Errorf("%s: %w", c.File, err)
		}
	}
	p, err := plan.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Seed != nil {
		p.Seed = *c.Seed
	}
	return p, nil
}

// progress returns a function that shows on standard error how many of total runs have ended, at most every 200 ms.
func (o *outputFlags) progress(total int) func(i int, r *tally.Result) {
	if o.Quiet {
		return nil
	}
	done, shownAt := 0, time.Time{}
	return func(i int, r *tally.Result) {
		if done++; time.Since(shownAt) > 200*time.Millisecond || done == total {
			shownAt = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total)
			if done == total {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
}

// write writes a document as the flags ask: as a page, and as JSON or else as the text that writeText writes. It returns
// errRuleBroken if the auditor found violations of adus; of other policies and planted bugs they are expected.
func (o *outputFlags) write(d *report.Doc, writeText func(w io.Writer)) error {
	if o.Page != "" {
		f, err := os.Create(o.Page)
		if err != nil {
			return err
		}
		if err = d.HTML(f); err == nil {
			err = f.Close()
		}
		if err != nil {
			return fmt.Errorf("%s: %w", o.Page, err)
		}
	}
	if o.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", " ")
		if err := e.Encode(d); err != nil {
			return err
		}
	} else {
		if d.Partial {
			fmt.Println("stopped early; these are the results until then:")
		}
		writeText(os.Stdout)
	}
	for _, r := range d.Runs {
		if r != nil && r.ViolationCount() > 0 && !strings.Contains(r.Policy, ":") && strings.HasPrefix(r.Policy, "adus") {
			return errRuleBroken
		}
	}
	return nil
}

// writeRun writes the results of one run as text.
func writeRun(w io.Writer, r *tally.Result) {
	fmt.Fprintf(w, "%s, %s, seed %d (%s): G %.3f, %d jobs, %d postings, busy %.2f, p50 %.0f ms, p99 %.0f ms\n",
		r.Plan, r.Policy, r.Seed, r.Way, r.G, r.Offered, r.Postings, r.Busy, r.Latency.P50, r.Latency.P99)
	fmt.Fprintf(w, "  %-16s %8s %8s %8s %9s %9s %9s %7s\n", "scheme", "jobs", "in time", "late", "declined", "reversed",
		"no answer", "G")
	for _, c := range r.Schemes {
		fmt.Fprintf(w, "  %-16s %8d %8d %8d %9d %9d %9d %7.3f\n", c.Name, c.Offered, c.InTime, c.Late, c.Declined,
			c.Reversed, c.NoAnswer, c.G)
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, " ", b)
	}
	if n := r.ViolationCount(); n > 0 {
		fmt.Fprintf(w, "  rules broken: %v\n", r.ViolationCounts)
	}
}

type runCmd struct {
	playFlags
	modeFlags
	Policy []string `default:"adus" help:"The policy that decides, or POLICY:BUG for one with a planted bug."`
}

// Run plays each policy on each seed.
func (c *runCmd) Run(ctx context.Context) error {
	p, err := c.load()
	if err != nil {
		return err
	}
	play, err := c.play(&c.playFlags)
	if err != nil {
		return err
	}
	var tasks []runner.Task
	for _, name := range c.Policy {
		for i := range c.Seeds {
			tasks = append(tasks, runner.Task{Plan: p, Seed: p.Seed + uint64(i), Policy: name, Play: play})
		}
	}
	got, err := runner.PlayAll(ctx, tasks, c.Jobs, c.progress(len(tasks)))
	if err != nil {
		return err
	}
	d := &report.Doc{Title: p.Name, About: p.About, Runs: got, Partial: ctx.Err() != nil}
	return c.write(d, func(w io.Writer) {
		for _, r := range got {
			if r != nil {
				writeRun(w, r)
			}
		}
	})
}

type compareCmd struct {
	playFlags
	With []string `sep:"none" placeholder:"VARIANT" help:"A variant: policy=NAME, build=BEAMLAB-PROGRAM or KEY=VALUE of the file, or several joined by commas. The others are compared with the first."`
}

// variant is one variant of a comparison.
type variant struct {
	name   string
	policy string
	build  string   // path of another beamlab program that plays it; "": this one does
	sets   []string // KEY=VALUE changes of the experiment file
}

// parseVariant parses the value of --with.
func parseVariant(text string) variant {
	v := variant{name: text, policy: "adus"}
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "policy":
			v.policy = value
		case "build":
			v.build = value
		default:
			v.sets = append(v.sets, part)
		}
	}
	return v
}

// tasks returns the tasks of a variant, one for each seed. Another build of beamlab plays them in processes of its own.
func (c *playFlags) tasks(v variant) ([]runner.Task, error) {
	p, err := c.load(v.sets...)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", v.name, err)
	}
	var tasks []runner.Task
	for i := range max(c.Seeds, 1) {
		t := runner.Task{Plan: p, Seed: p.Seed + uint64(i), Policy: v.policy}
		if v.build != "" {
			t.Play = v.playWithBuild
		}
		tasks = append(tasks, t)
	}
	return tasks, nil
}

// playWithBuild plays a task with the variant's build of beamlab.
func (v variant) playWithBuild(ctx context.Context, t runner.Task) (*tally.Result, error) {
	text, err := t.Plan.Text()
	if err != nil {
		return nil, err
	}
	f, err := os.CreateTemp("", "beamlab-*.toml")
	if err != nil {
		return nil, err
	}
	defer os.Remove(f.Name())
	if _, err := f.Write(text); err != nil {
		return nil, err
	}
	if err := f.Close(); err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, v.build, "run", f.Name(), "--json", "-q", "--policy", t.Policy, "--seed",
		strconv.FormatUint(t.Seed, 10))
	raw, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 3) { // 3: it was played, and a rule was violated
		return nil, fmt.Errorf("%s: %w", v.build, err)
	}
	var d report.Doc
	if err := json.Unmarshal(raw, &d); err != nil || len(d.Runs) != 1 {
		return nil, fmt.Errorf("%s: its output is not the JSON of one run: %w", v.build, err)
	}
	return d.Runs[0], nil
}

// summarise returns a variant's group from its complete runs, with the difference to the first variant if first is not
// nil.
func summarise(name string, runs, first []*tally.Result) report.Group {
	g := report.Group{Name: name}
	var own, a, b []float64 // a and b: the first variant's G and this one's, for seeds that have both
	for i, r := range runs {
		if r == nil || r.Partial {
			continue
		}
		own = append(own, r.G)
		g.Breaks += r.ViolationCount()
		if first != nil && first[i] != nil && !first[i].Partial {
			a, b = append(a, first[i].G), append(b, r.G)
		}
	}
	g.G = runner.EstimateMean(own)
	if first != nil {
		difference := runner.PairedDifference(a, b)
		g.Gain = &difference
	}
	return g
}

// Run plays all variants on the same seeds.
func (c *compareCmd) Run(ctx context.Context) error {
	if len(c.With) < 2 {
		return fmt.Errorf("--with: a comparison needs at least two variants, got %d", len(c.With))
	}
	var tasks []runner.Task
	for _, text := range c.With {
		ts, err := c.tasks(parseVariant(text))
		if err != nil {
			return err
		}
		tasks = append(tasks, ts...)
	}
	got, err := runner.PlayAll(ctx, tasks, c.Jobs, c.progress(len(tasks)))
	if err != nil {
		return err
	}
	n := max(c.Seeds, 1)
	d := &report.Doc{Title: tasks[0].Plan.Name + ": comparison", About: tasks[0].Plan.About, Runs: got,
		Partial: ctx.Err() != nil}
	for i, text := range c.With {
		var first []*tally.Result
		if i > 0 {
			first = got[:n]
		}
		d.Groups = append(d.Groups, summarise(text, got[i*n:(i+1)*n], first))
	}
	return c.write(d, func(w io.Writer) {
		fmt.Fprintf(w, "%-40s %8s %18s   %s\n", "variant", "G", "95% interval", "against the first, seed by seed")
		for _, g := range d.Groups {
			fmt.Fprintf(w, "%-40s %8.4f %18s", g.Name, g.G.Mean, interval(g.G))
			if g.Gain != nil {
				word := "no clear difference"
				if g.Gain.Significant() {
					word = "clear"
				}
				fmt.Fprintf(w, "   %+.4f %s, %s", g.Gain.Mean, interval(*g.Gain), word)
			}
			if g.Breaks > 0 {
				fmt.Fprintf(w, "   %d RULES BROKEN", g.Breaks)
			}
			fmt.Fprintln(w)
		}
	})
}

// interval formats the confidence interval of an estimate.
func interval(e runner.Estimate) string {
	if e.N < 2 {
		return "(one seed)"
	}
	return fmt.Sprintf("%.4f to %.4f", e.Low, e.High)
}

type sweepCmd struct {
	playFlags
	Knob   []string `sep:"none" required:"" placeholder:"KEY=A,B,C" help:"A key to vary, with its values. May be given once or twice."`
	Policy []string `default:"adus" help:"The policies, each a line of the plot."`
}

// Run plays each point of the grid.
func (c *sweepCmd) Run(ctx context.Context) error {
	if len(c.Knob) > 2 {
		return fmt.Errorf("--knob: expected at most two, got %d", len(c.Knob))
	}
	key, list, _ := strings.Cut(c.Knob[0], "=")
	secondSets := []string{""} // KEY=VALUE for each value of the second knob
	if len(c.Knob) == 2 {
		k, l, _ := strings.Cut(c.Knob[1], "=")
		secondSets = nil
		for v := range strings.SplitSeq(l, ",") {
			secondSets = append(secondSets, k+"="+v)
		}
	}
	d := &report.Doc{Title: "sweep of " + key, Knob: key}
	var tasks []runner.Task
	for _, name := range c.Policy {
		for _, secondSet := range secondSets {
			for v := range strings.SplitSeq(list, ",") {
				x := variant{name: strings.TrimSpace(name + " " + secondSet), policy: name, sets: []string{key + "=" + v}}
				if secondSet != "" {
					x.sets = append(x.sets, secondSet)
				}
				ts, err := c.tasks(x)
				if err != nil {
					return err
				}
				tasks = append(tasks, ts...)
				at, err := axisValue(v)
				if err != nil {
					return fmt.Errorf("%s: %w", key, err)
				}
				d.Groups = append(d.Groups, report.Group{Name: x.name + " " + key + "=" + v, Line: x.name, X: at})
			}
		}
	}
	got, err := runner.PlayAll(ctx, tasks, c.Jobs, c.progress(len(tasks)))
	if err != nil {
		return err
	}
	d.Runs, d.Partial, d.About = got, ctx.Err() != nil, tasks[0].Plan.About
	n := max(c.Seeds, 1)
	for i := range d.Groups {
		g := summarise(d.Groups[i].Name, got[i*n:(i+1)*n], nil)
		d.Groups[i].G, d.Groups[i].Breaks = g.G, g.Breaks
	}
	return c.write(d, func(w io.Writer) {
		for _, g := range d.Groups {
			fmt.Fprintf(w, "%-50s G %.4f  %s", g.Name, g.G.Mean, interval(g.G))
			if g.Breaks > 0 {
				fmt.Fprintf(w, "   %d RULES BROKEN", g.Breaks)
			}
			fmt.Fprintln(w)
		}
	})
}

// axisValue returns the position of a knob's value on the x axis: a number, or a time in milliseconds.
func axisValue(v string) (float64, error) {
	if x, err := strconv.ParseFloat(v, 64); err == nil {
		return x, nil
	}
	var s plan.Span
	err := s.UnmarshalText([]byte(strings.Trim(v, `"`)))
	return float64(s), err
}

type searchCmd struct {
	Days      int    `default:"100" help:"Number of random plans to play."`
	From      uint64 `default:"1" help:"The seed of the first one."`
	Policy    string `default:"adus" help:"The policy whose worst plans are searched for."`
	Yardstick string `default:"sees-all" help:"The policy that shows which gain was possible; none: only violations count."`
	Out       string `default:"worst.toml" help:"File for the worst plan, after it was shrunk."`
	Jobs      int    `default:"${jobs}" help:"Number of concurrent runs."`
}

// Run searches for the worst plan and shrinks it.
func (c *searchCmd) Run(ctx context.Context) error {
	var plans []*plan.Plan
	for i := range c.Days {
		plans = append(plans, plan.Random(c.From+uint64(i)))
	}
	s := &runner.Search{Policy: c.Policy, Baseline: c.Yardstick, MaxParallel: c.Jobs,
		Progress: func(text string) { fmt.Fprintln(os.Stderr, "shrunk to", text) }}
	if c.Yardstick == "none" {
		s.Baseline = ""
	}
	all, err := s.Rank(ctx, plans)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return fmt.Errorf("stopped before any plan was played to its end")
	}
	for i, f := range all[:min(len(all), 10)] {
		fmt.Printf("%2d. %-12s G %.3f, %.3f below the yardstick, rules broken: %v\n", i+1, f.Plan.Name, f.G, f.Shortfall, f.Rules)
	}
	worst, err := s.Shrink(ctx, all[0])
	if err != nil && ctx.Err() == nil {
		return err
	}
	text, err := worst.Plan.Text()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, text, 0o644); err != nil {
		return err
	}
	fmt.Printf("%s: %s cut down in %d runs to %d faults, %.0f ms, %d schedulers, %d workers: G %.3f, %.3f below the "+
		"yardstick, rules broken: %v\n", c.Out, all[0].Plan.Name, worst.Played, len(worst.Plan.Faults),
		float64(worst.Plan.Length), worst.Plan.Schedulers.Count, worst.Plan.WorkerCount(), worst.G, worst.Shortfall, worst.Rules)
	if len(worst.Rules) > 0 {
		return errRuleBroken
	}
	return nil
}

type soakCmd struct {
	Days   int    `default:"1000" help:"Number of random plans to play."`
	From   uint64 `default:"1" help:"The seed of the first one."`
	Policy string `default:"adus" help:"The policy that decides."`
	Jobs   int    `default:"${jobs}" help:"Number of concurrent runs."`
	Staff  bool   `help:"Plans in which operators take workers out and the settings change."`
	Told   bool   `help:"Plans in which workers leave while watches fall silent, are reset or moved, or discovery is down."`
	modeFlags
	outputFlags
}

// Run plays random plans and goes on after those that violate a rule.
func (c *soakCmd) Run(ctx context.Context) error {
	play, err := c.player(true)
	if err != nil {
		return err
	}
	var tasks []runner.Task
	for i := range c.Days {
		p := plan.Random(c.From + uint64(i))
		if c.Staff {
			p = plan.RandomWithOperators(c.From + uint64(i))
		}
		if c.Told {
			p = plan.RandomWatchFaults(c.From + uint64(i))
		}
		tasks = append(tasks, runner.Task{Plan: p, Seed: p.Seed, Policy: c.Policy, Play: play})
	}
	got, err := runner.PlayAll(ctx, tasks, c.Jobs, c.progress(len(tasks)))
	if err != nil {
		return err
	}
	d := &report.Doc{Title: fmt.Sprintf("%d rough days, %s", c.Days, c.Policy), Partial: ctx.Err() != nil}
	days, jobs, postings, broken := 0, 0, 0, 0
	decisions := xxhash.New()
	rules := map[string]int{}
	for _, r := range got {
		if r == nil {
			continue
		}
		days, jobs, postings = days+1, jobs+r.Offered, postings+r.Postings
		decisions.WriteString(r.Decisions)
		for rule, n := range r.ViolationCounts {
			rules[rule] += n
		}
		if r.ViolationCount() > 0 {
			broken++
			d.Runs = append(d.Runs, r)
		}
	}
	return c.write(d, func(w io.Writer) {
		for _, r := range d.Runs {
			writeRun(w, r)
		}
		fmt.Fprintf(w, "%d days, %d jobs, %d postings, decisions %016x: %d days with broken rules %v\n", days, jobs, postings,
			decisions.Sum64(), broken, rules)
	})
}

type paceCmd struct {
	Program string        `required:"" placeholder:"FILE" help:"A shalebeam program."`
	Against string        `required:"" placeholder:"FILE" help:"Another one to compare it with, such as an earlier build."`
	Rounds  int           `default:"5" help:"Rounds of each; the two programs alternate."`
	For     time.Duration `default:"3s" help:"Measured duration of a round."`
	Workers int           `default:"100"`
	Conns   int           `default:"64" help:"Connections that send one request after another."`
	Open    int           `default:"400" help:"Txns that stay open during the measurement."`
}

// Run alternates between the two programs, so that other load on the machine affects both alike.
func (c *paceCmd) Run(ctx context.Context) error {
	var rates, againstRates, ratio []float64
	for i := range c.Rounds {
		for _, program := range []string{c.Against, c.Program} {
			rate, err := (&live.ThroughputTest{Program: program, Workers: c.Workers, Connections: c.Conns, OpenTxns: c.Open, Duration: c.For}).Run(ctx)
			if err != nil {
				return fmt.Errorf("%s: %w", program, err)
			}
			if program == c.Program {
				rates = append(rates, rate)
			} else {
				againstRates = append(againstRates, rate)
			}
		}
		ratio = append(ratio, rates[i]/againstRates[i])
		fmt.Printf("round %d: ratio %.2f\n", i+1, ratio[i])
	}
	estimate := runner.EstimateMean(ratio)
	fmt.Printf("%s carries %.2f times (%s) what %s does, with %d workers, %d txns that stay open\n", c.Program, estimate.Mean,
		interval(estimate), c.Against, c.Workers, c.Open)
	return nil
}

type traceCmd struct {
	playFlags
	modeFlags
	Txn    string `arg:"" help:"Reference of the txn, such as t12-0 for the first attempt of job 12."`
	Policy string `default:"adus" help:"The policy that decides."`
}

// Run plays one seed and prints the history of one txn.
func (c *traceCmd) Run(ctx context.Context) error {
	p, err := c.load()
	if err != nil {
		return err
	}
	play, err := c.play(&c.playFlags)
	if err != nil {
		return err
	}
	got, err := runner.PlayAll(ctx, []runner.Task{{Plan: p, Seed: p.Seed, Policy: c.Policy, Keep: c.Txn, Play: play}}, 1, nil)
	if err != nil {
		return err
	}
	if len(got[0].History) == 0 {
		return fmt.Errorf("no scheduler accepted a txn %s", c.Txn)
	}
	for _, l := range got[0].History {
		fmt.Println(l)
	}
	return nil
}

type reportCmd struct {
	File    string `arg:"" help:"Results, as written with --json."`
	Out     string `default:"report.html" help:"File for the HTML page."`
	Plots   string `placeholder:"FOLDER" help:"Write the plots as files into this directory too."`
	Picture string `enum:"svg,png" default:"svg" help:"Format of these files: svg or png."`
}

// Run makes a page, and optionally plot files, from results.
func (c *reportCmd) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var d report.Doc
	if err := json.Unmarshal(raw, &d); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Plots != "" {
		if err := d.Save(c.Plots, c.Picture); err != nil {
			return err
		}
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := d.HTML(f); err != nil {
		return err
	}
	return f.Close()
}

type checkCmd struct {
	File string `arg:"" help:"Experiment file."`
}

// Run checks a file.
func (c *checkCmd) Run() error {
	p, err := plan.Load(c.File)
	if err == nil {
		fmt.Printf("%s: ok, %d schedulers, %d workers, %.1f txns a second\n", c.File, p.Schedulers.Count, p.WorkerCount(),
			p.ArrivalsPerSecond())
	}
	return err
}

// jobs is the default of --jobs.
func jobs() string { return strconv.Itoa(runtime.NumCPU()) }
