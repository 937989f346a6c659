// Command beamlab plays experiments: fleets, faults and clients out of one file, in simulated time or on
// loopback sockets, with an auditor that names every broken rule. docs/lab.md describes it.
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
	// The first Ctrl-C ends what is played, and what there is till then is written; a second one ends the program.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	var cli struct {
		Demo    demoCmd    `cmd:"" help:"Start schedulers, workers and discovery on loopback, and a live line of outcomes."`
		Run     runCmd     `cmd:"" help:"Play an experiment."`
		Compare compareCmd `cmd:"" help:"Play variants on the same seeds and say what differs."`
		Sweep   sweepCmd   `cmd:"" help:"Turn one or two knobs and plot G along the first."`
		Search  searchCmd  `cmd:"" help:"Look for the worst of many rough days, and cut it down to what matters."`
		Soak    soakCmd    `cmd:"" help:"Play many rough days and name each broken rule."`
		Pace    paceCmd    `cmd:"" help:"Hold two builds' throughput on sockets against each other."`
		Trace   traceCmd   `cmd:"" help:"Tell all that happened to one txn."`
		Report  reportCmd  `cmd:"" help:"Make a page, or pictures, of results written with --json."`
		Check   checkCmd   `cmd:"" help:"Check an experiment file."`
		Cluster clusterCmd `cmd:"" help:"Real agents and schedulers together, with faults between them."`
	}
	k := kong.Parse(&cli, kong.Name("beamlab"), kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Description("An emulator of fleets with an experiment tool."), kong.Vars{"jobs": jobs(), "bugs": strings.Join(cluster.Bugs, ", ")})
	err := k.Run()
	if errors.Is(err, errBroken) {
		fmt.Fprintln(os.Stderr, "beamlab:", err)
		os.Exit(3)
	}
	k.FatalIfErrorf(err)
}
