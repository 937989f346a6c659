// Command beamagent is one machine's agent: it keeps part of the fleet's record where its file says so, acts for the
// fleet where it owns a matter, and answers this machine's schedulers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"shalebeam/agent"
)

type file struct {
	Path string `name:"config" env:"BEAMAGENT_CONFIG" required:"" placeholder:"FILE" help:"What the agent is told."`
}

type serve struct {
	file
	TrustDisk bool `help:"Count on this voter's disk without being told what it acknowledged. Only where a person knows that the disk is whole, and others can't be asked any more."`
}

func (c *serve) Run() error {
	f, err := agent.Load(c.Path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return agent.Run(ctx, f, c.TrustDisk, bug(), slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level()})))
}

type check struct{ file }

func (c *check) Run() error {
	f, err := agent.Load(c.Path)
	if err == nil {
		fmt.Printf("%s: ok, name=%s listen=%s voters=%d schedulers=%d\n", c.Path, f.Name, f.Listen, len(f.Voter), len(f.Scheduler))
	}
	return err
}

func main() {
	var cli struct {
		Serve serve `cmd:"" default:"withargs" help:"Serve until SIGTERM."`
		Check check `cmd:"" help:"Check a configuration and exit."`
	}
	k := kong.Parse(&cli, kong.Name("beamagent"), kong.Description("One machine's agent of a fleet of schedulers."))
	k.FatalIfErrorf(k.Run())
}
