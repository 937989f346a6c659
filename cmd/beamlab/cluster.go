package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"shalebeam/lab/cluster"
	"shalebeam/lab/fleetsim"
)

// clusterCmd groups the commands that play agents and schedulers together.
type clusterCmd struct {
	Days clusterDays `cmd:"" help:"Play seeded runs of agent and scheduler processes with injected faults."`
	Runs clusterRuns `cmd:"" help:"Play seeded runs of the replicated record in simulated time, with up to hundreds of agents and faulty disks."`
	Pace clusterPace `cmd:"" help:"Measure failover times, change rates and operations on real processes."`
	Demo clusterDemo `cmd:"" help:"Start three agents, four schedulers, workers and load on loopback and print beamctl commands to try."`
}

type clusterDays struct {
	Seed       uint64        `default:"1" help:"The seed of the first run."`
	Days       int           `default:"1" help:"Number of runs."`
	Jobs       int           `default:"2" help:"Number of concurrent runs; each is a dozen processes."`
	Plant      string        `placeholder:"BUG" help:"Plant a bug: ${bugs}."`
	Keep       string        `placeholder:"FOLDER" help:"Keep logs and data directories in this directory."`
	Programs   string        `placeholder:"FOLDER" help:"Directory of shalebeam and beamagent, built with the tag faults; by default they are built first."`
	Agents     int           `default:"3" help:"Number of agents."`
	Voters     int           `default:"3" help:"Number of agents that keep a replica of the record: 3 or 5."`
	Schedulers int           `default:"4" help:"Number of schedulers."`
	Workers    int           `default:"9" help:"Number of workers."`
	For        time.Duration `default:"10s" help:"For how long faults are injected in each run."`
	Operations bool          `help:"Agents run the schedulers, and operations, releases, halts and rollbacks take place."`
}

// Run plays the seeds and prints each violation with the command that plays its seed again.
func (c *clusterDays) Run(ctx context.Context) error {
	if c.Plant != "" && !slices.Contains(cluster.PlantableBugs, c.Plant) {
		return fmt.Errorf("--plant: %q is none of %s", c.Plant, strings.Join(cluster.PlantableBugs, ", "))
	}
	if c.Voters != 3 && c.Voters != 5 {
		return fmt.Errorf("--voters: expected 3 or 5, got %d", c.Voters)
	}
	dir, err := os.MkdirTemp("", "beamlab-cluster-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	programs := c.Programs
	if programs == "" {
		programs = filepath.Join(dir, "bin")
		cmd := exec.CommandContext(ctx, "go", "build", "-tags", "faults", "-o", programs+"/", "./cmd/shalebeam", "./cmd/beamagent")
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("building shalebeam and beamagent failed (see --programs): %w\n%s", err, out)
		}
	}
	if c.Keep != "" {
		dir = c.Keep
	}
	var mu sync.Mutex
	var players sync.WaitGroup
	broken, ops, confirmed, open := 0, 0, 0, 0
	healSeconds := []float64{}
	seeds := make(chan uint64)
	for range max(c.Jobs, 1) {
		players.Go(func() {
			for seed := range seeds {
				runDir := filepath.Join(dir, fmt.Sprint("day", seed))
				_ = os.RemoveAll(runDir) // an earlier run with --keep may have left the data of another fleet
				r, err := cluster.Run(ctx, cluster.Options{Seed: seed, Agents: c.Agents, Voters: c.Voters, Schedulers: c.Schedulers,
					Workers: c.Workers, FaultDuration: c.For, AgentsRunSchedulers: c.Operations, PlantedBug: c.Plant, Dir: runDir, SchedulerProgram: filepath.Join(programs, "shalebeam"),
					AgentProgram: filepath.Join(programs, "beamagent")})
				mu.Lock()
				switch {
				case ctx.Err() != nil:
				case err != nil:
					broken++
					fmt.Printf("day %d: could not be played: %v\n", seed, err)
				default:
					ops, confirmed, open = ops+r.Answered, confirmed+r.AcknowledgedByAll, open+r.Unanswered
					healSeconds = append(healSeconds, r.RecoverySeconds)
					fmt.Printf("day %d: %d operations, %d by all, %d open, healed in %.1f s, %d postings: %d broken\n", seed, r.Answered, r.AcknowledgedByAll,
						r.Unanswered, r.RecoverySeconds, r.Postings, len(r.Violations))
					if len(r.Violations) > 0 {
						broken++
						for _, b := range r.Violations[:min(len(r.Violations), 5)] {
							fmt.Println("  " + b)
						}
						fmt.Printf("  again: beamlab cluster days --seed %d --agents %d --voters %d --schedulers %d --workers %d --for %v --operations=%t",
							seed, c.Agents, c.Voters, c.Schedulers, c.Workers, c.For, c.Operations)
						if c.Plant != "" {
							fmt.Printf(" --plant %s", c.Plant)
						}
						fmt.Println(" --keep logs")
					}
				}
				mu.Unlock()
				if c.Keep == "" {
					os.RemoveAll(runDir)
				} else if r != nil {
					_ = os.WriteFile(filepath.Join(runDir, "faults.txt"), []byte(strings.Join(r.Events, "\n")+"\n"), 0o600)
				}
			}
		})
	}
	for i := range c.Days {
		select {
		case seeds <- c.Seed + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	players.Wait()
	slices.Sort(healSeconds)
	if n := len(healSeconds); n > 0 {
		fmt.Printf("%d days: %d broken; %d operations, %d by all, %d open; healed in %.1f s (median), %.1f s at worst\n", n, broken, ops, confirmed, open,
			healSeconds[n/2], healSeconds[n-1])
	}
	if broken > 0 {
		return errRuleBroken
	}
	return ctx.Err()
}

// operationStartMS is the time of a fleetsim run, in ms, at which its operation starts.
const operationStartMS = 3000

type clusterRuns struct {
	Seed       uint64  `default:"1" help:"The seed of the first run."`
	Runs       int     `default:"100" help:"Number of runs, played one after another; a run depends on its seed alone."`
	Plant      string  `placeholder:"BUG" help:"Plant a bug: ${bugs}."`
	Agents     int     `default:"9" help:"Number of agents."`
	Voters     int     `default:"5" help:"Number of agents that keep a replica of the record."`
	Schedulers int     `default:"4" help:"Number of schedulers."`
	For        float64 `default:"15000" help:"For how many ms faults are injected."`
	Calm       bool    `help:"Inject no faults and no halts, and let every released program be healthy."`
	Ops        bool    `help:"Agents run the schedulers, and an operation is carried out, halted and rolled back."`
	Workers    int     `default:"0" help:"Number of workers that the operation includes."`
}

// Run plays the seeds and prints each violation with the command that plays its seed again.
func (c *clusterRuns) Run(ctx context.Context) error {
	broken, halted, changes, owners, refused, replaced, messages := 0, 0, 0, 0, 0, 0, 0
	played := 0
	calls, mostCalls, seconds := 0, 0, []float64{}
	for seed := c.Seed; seed < c.Seed+uint64(c.Runs) && ctx.Err() == nil; seed++ {
		r := fleetsim.Run(fleetsim.Options{Seed: seed, Voters: c.Voters, Agents: c.Agents, Schedulers: c.Schedulers, FaultsMs: c.For, PlantedBug: c.Plant, Operations: c.Ops,
			Workers: c.Workers, NoFaults: c.Calm})
		played++
		changes, owners, refused, replaced, messages = changes+r.AcknowledgedChanges, owners+r.Claims, refused+r.RefusedCalls, replaced+r.ReplacedVoters, messages+r.Messages
		calls, mostCalls, halted = calls+r.AgentCalls, max(mostCalls, r.MaxOut), halted+r.LeftToOperator
		if r.OperationEndedMs > 0 {
			seconds = append(seconds, (r.OperationEndedMs-operationStartMS)/1000)
		}
		if c.Calm && r.OperationEndedMs > 0 {
			fmt.Printf("run %d: over after %.1f s, at the least %.1f s: %.2f times\n", seed, (r.OperationEndedMs-operationStartMS)/1000, r.LowerBoundMs/1000, (r.OperationEndedMs-operationStartMS)/r.LowerBoundMs)
		}
		if len(r.Violations) > 0 {
			broken++
			fmt.Printf("run %d: %s\n  again: beamlab cluster runs --runs 1 --seed %d --agents %d --voters %d --schedulers %d --for %g --ops=%t --workers %d%s\n", seed,
				r.Violations[0], seed, c.Agents, c.Voters, c.Schedulers, c.For, c.Ops, c.Workers, map[bool]string{true: " --plant " + c.Plant}[c.Plant != ""])
		}
	}
	fmt.Printf("%d runs: %d broken; %d changes, %d owners, %d late calls refused, %d voters replaced, %d letters\n", played, broken, changes, owners,
		refused, replaced, messages)
	if slices.Sort(seconds); len(seconds) > 0 {
		fmt.Printf("operations: over after %.1f s (median), %.1f s at worst; %d halted for a person; %d calls at agents, at most %d out together\n",
			seconds[len(seconds)/2], seconds[len(seconds)-1], halted, calls, mostCalls)
	}
	if broken > 0 {
		return errRuleBroken
	}
	return ctx.Err()
}

type clusterPace struct {
	What       string `arg:"" enum:"kill,stop,cut,changes,idle,halt,halt-alone,back,restart" help:"kill, stop, cut: time without an owner after that fault of the owner; changes: changes per second; idle: messages and bytes per second; halt, halt-alone: time from a halt to the last new step, with and without a majority; back: time of a rollback after a failed gate; restart: time to restart all schedulers, by limit."`
	Times      int    `default:"20" help:"Number of measurements."`
	Agents     int    `default:"3" help:"Number of agents."`
	Schedulers int    `default:"4" help:"Number of schedulers."`
	Programs   string `required:"" help:"Directory of shalebeam and beamagent."`
}

// Run plays a fleet of processes without random faults and measures what What names.
func (c *clusterPace) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "beamlab-pace-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	operations := slices.Contains([]string{"halt", "halt-alone", "back", "restart"}, c.What)
	load, length := 0.1, time.Second
	if operations {
		load, length = 0.5, time.Duration(c.Times)*12*time.Second
	}
	r, err := cluster.Run(ctx, cluster.Options{Seed: 1, Agents: c.Agents, Dir: dir, FaultDuration: length, Load: load, AgentsRunSchedulers: operations, Schedulers: c.Schedulers,
		SchedulerProgram: filepath.Join(c.Programs, "shalebeam"), AgentProgram: filepath.Join(c.Programs, "beamagent"), RunInstead: func(d *cluster.Day) {
			if c.What == "changes" {
				for _, callers := range []int{1, 64} {
					changes, syncs := d.MeasureChangeRate(callers, 5*time.Second)
					fmt.Printf("%d callers: %.0f changes a second, %.0f syncs a second and voter, %.2f changes a sync\n", callers, changes, syncs, changes/syncs)
				}
				return
			}
			medianAndWorst := func(all []float64) string { // all: sorted times in ms
				if len(all) == 0 {
					return "none"
				}
				return fmt.Sprintf("%.0f ms (median), %.0f ms at worst", all[len(all)/2], all[len(all)-1])
			}
			switch c.What {
			case "idle":
				messages, bytes := d.MeasureIdleTraffic(10 * time.Second)
				fmt.Printf("%d agents, %d schedulers, idle: %.0f letters, %.0f kB a second between all processes\n", c.Agents, c.Schedulers, messages, bytes/1000)
				return
			case "halt", "halt-alone":
				lastStep, confirmed := d.MeasureHalts(c.Times, c.What == "halt-alone")
				fmt.Printf("%s: %d times, to the last new step %s; to the yes %s\n", c.What, len(lastStep), medianAndWorst(lastStep), medianAndWorst(confirmed))
				return
			case "back":
				toHalt, toRollback := d.MeasureRollbacks(c.Times)
				fmt.Printf("back: %d times, from the start to the halt %s; from the halt until all are back %s\n", len(toHalt), medianAndWorst(toHalt), medianAndWorst(toRollback))
				return
			case "restart":
				for _, share := range []float64{0.05, 0.1, 0.25, 1} {
					took, least, n := d.MeasureRestart(share)
					fmt.Printf("restart of %d, share %g: %.1f s, at the least %.1f s: %.2f times\n", n, share, took/1000, least/1000, took/least)
				}
				return
			}
			gaps := d.MeasureOwnerGaps(c.What, c.Times)
			fmt.Printf("%s: %d times, without an owner %.0f ms (median), %.0f ms at worst; the term is 1000 ms\n", c.What, len(gaps), gaps[len(gaps)/2], gaps[len(gaps)-1])
		}})
	if err != nil {
		return err
	}
	for _, b := range r.Violations {
		fmt.Println("broken:", b)
	}
	return nil
}

type clusterDemo struct {
	Operations bool          `help:"Agents run the schedulers, so that these can be restarted, drained and released."`
	For        time.Duration `default:"10m" help:"How long to run, unless ended earlier by Ctrl-C."`
	Fault      []string      `sep:"none" placeholder:"FAULT" help:"Inject a fault, such as 'kill a0 at=5s for=3s', 'stop a1 ...', 'cut a2 ...', 'stall a2 ...', 'kill s1 ...'. May be given more than once."`
}

// Run starts a fleet on loopback with the programs in beamlab's directory and prints beamctl commands to try.
func (c *clusterDemo) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	inOwnDir := func(name string) string { return filepath.Join(filepath.Dir(self), name) }
	for _, name := range []string{"shalebeam", "beamagent", "beamctl"} {
		if _, err := os.Stat(inOwnDir(name)); err != nil {
			return fmt.Errorf("%s is not in beamlab's directory; build it with: make build", name)
		}
	}
	var faults []cluster.Fault
	for _, text := range c.Fault {
		f, err := cluster.ParseFault(text)
		if err != nil {
			return fmt.Errorf("--fault: %w", err)
		}
		faults = append(faults, f)
	}
	dir, err := os.MkdirTemp("", "beamlab-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithTimeout(ctx, c.For)
	defer stop()
	_, err = cluster.Run(ctx, cluster.Options{Seed: 1, Dir: dir, RunUntilCancelled: true, AgentsRunSchedulers: c.Operations, SchedulerProgram: inOwnDir("shalebeam"), AgentProgram: inOwnDir("beamagent"),
		OnEvent: func(text string) { fmt.Println(text) }, RunInstead: func(d *cluster.Day) {
			addrs, worker, zone := d.DemoTargets()
			fmt.Printf("\nthree agents and four schedulers run. In another window:\n\n")
			fmt.Printf("  export BEAM_AGENT=%s\n  %s status\n", strings.Join(addrs, ","), inOwnDir("beamctl"))
			fmt.Printf("  %s worker down %s --zone %s --why maintenance\n  %s worker up %s\n  %s events\n\n", inOwnDir("beamctl"), worker, zone,
				inOwnDir("beamctl"), worker, inOwnDir("beamctl"))
			if c.Operations {
				fmt.Printf("  %s restart s0 s1 s2 s3\n  %s drain s1\n  %s why s2\n  %s undrain s1\n  %s halt all --why look\n  %s lift all\n\n", inOwnDir("beamctl"),
					inOwnDir("beamctl"), inOwnDir("beamctl"), inOwnDir("beamctl"), inOwnDir("beamctl"), inOwnDir("beamctl"))
			}
			d.ScheduleFaults(faults)
		}})
	if ctx.Err() != nil {
		return nil
	}
	return err
}
