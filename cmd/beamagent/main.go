// Command beamagent runs one machine's agent of the fleet: see package agent.
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

// configFlag is the flag that both commands share.
type configFlag struct {
	Path string `name:"config" env:"BEAMAGENT_CONFIG" required:"" placeholder:"FILE" help:"The agent's configuration file."`
}

type serveCommand struct {
	configFlag
	TrustDisk bool `help:"Have this voter count on its disk without being told by the other voters what it had acknowledged. Only where a person knows that nothing on the disk is lost, and the other voters can't be asked any more."`
}

// Run serves until SIGTERM or SIGINT.
func (c *serveCommand) Run() error {
	config, err := agent.Load(c.Path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return agent.Run(ctx, config, c.TrustDisk, injectedFault(), slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
}

type checkCommand struct{ configFlag }

// Run checks the configuration file and prints a summary of it.
func (c *checkCommand) Run() error {
	config, err := agent.Load(c.Path)
	if err == nil {
		fmt.Printf("%s: ok, name=%s listen=%s voters=%d schedulers=%d\n", c.Path, config.Name, config.Listen, len(config.Voters), len(config.Schedulers))
	}
	return err
}

func main() {
	var cli struct {
		Serve serveCommand `cmd:"" default:"withargs" help:"Serve until SIGTERM."`
		Check checkCommand `cmd:"" help:"Check a configuration and exit."`
	}
	parsed := kong.Parse(&cli, kong.Name("beamagent"), kong.Description("One machine's agent of a fleet of schedulers."))
	parsed.FatalIfErrorf(parsed.Run())
}
