// Command beamlab plays experiments. A file describes the fleet, the faults and the clients; it is played in simulated
// time or on loopback sockets, and an auditor reports every violated rule. docs/lab.md describes the command.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"shalebeam/lab/cluster"
)

func main() {
	// The first Ctrl-C stops the runs and writes the results until then; a second one ends the program.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	var cli struct {
		Demo    demoCmd    `cmd:"" help:"Start schedulers, workers and discovery on loopback and show the outcomes as they occur."`
		Run     runCmd     `cmd:"" help:"Play an experiment."`
		Compare compareCmd `cmd:"" help:"Play variants on the same seeds and compare them."`
		Sweep   sweepCmd   `cmd:"" help:"Vary one or two keys and plot G against the first."`
		Search  searchCmd  `cmd:"" help:"Find the worst of many random plans and shrink it to what causes its outcome."`
		Soak    soakCmd    `cmd:"" help:"Play many random plans and report each violated rule."`
		Pace    paceCmd    `cmd:"" help:"Compare the throughput of two builds on sockets."`
		Trace   traceCmd   `cmd:"" help:"Print the history of one txn."`
		Report  reportCmd  `cmd:"" help:"Make a page, or plot files, from results written with --json."`
		Check   checkCmd   `cmd:"" help:"Check an experiment file."`
		Cluster clusterCmd `cmd:"" help:"Play agents and schedulers together, with injected faults."`
	}
	k := kong.Parse(&cli, kong.Name("beamlab"), kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Description("An emulator of fleets with an experiment tool."), kong.Vars{"jobs": jobs(), "bugs": strings.Join(cluster.PlantableBugs, ", ")})
	err := k.Run()
	if errors.Is(err, errRuleBroken) {
		fmt.Fprintln(os.Stderr, "beamlab:", err)
		os.Exit(3)
	}
	k.FatalIfErrorf(err)
}
