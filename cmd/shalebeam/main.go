// Command shalebeam runs one scheduler, checks its configuration or prints the version.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"shalebeam/scheduler"
	"shalebeam/scheduler/transient"
)

// configFlag is the flag that names the configuration file.
type configFlag struct {
	Path string `name:"config" env:"BALANCER_CONFIG" placeholder:"FILE" help:"The scheduler's configuration file."`
}

// serveCommand is the command serve. Kong makes flags of its fields.
type serveCommand struct {
	configFlag
	Mgmt string `env:"BALANCER_MGMT" placeholder:"ADDR" help:"Management address, used if the file names none."`
}

// Run runs the scheduler until SIGTERM or SIGINT has stopped it. Each signal on hup has it read its configuration again.
func (c *serveCommand) Run(hup chan os.Signal) error {
	n, err := c.loadAtStart()
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a log whose reader has closed the pipe must not end the process
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds)
	s := scheduler.New(n, l)
	go func() {
		for range hup {
			if n, err := c.loadForReload(l); err != nil {
				l.Printf("msg=reload state=refused err=%q", err)
			} else {
				s.Reload(n)
			}
		}
	}()
	return s.Run(ctx)
}

const (
	reloadRetryDelay = 20 * time.Millisecond // between two tries of a reload whose file has a transient read error
	startRetryLimit  = 4 * time.Second       // how long a start retries transient read errors of the file
)

// loadAtStart reads the configuration, and retries transient read errors for up to startRetryLimit.
func (c *serveCommand) loadAtStart() (n *scheduler.Node, err error) {
	err = transient.Retry(startRetryLimit, transient.IsTransientFile, func() (err error) {
		n, err = scheduler.Load(c.Path, c.Mgmt)
		return err
	})
	return n, err
}

// loadForReload reads the configuration at a reload. It retries transient read errors without limit, so that a change that was
// signalled is not dropped.
func (c *serveCommand) loadForReload(l *log.Logger) (*scheduler.Node, error) {
	for tries := 1; ; tries++ {
		n, err := c.loadConsistent()
		if !transient.IsTransientFile(err) {
			return n, err
		}
		if tries == 1 {
			l.Printf("msg=reload state=waits err=%q", err)
		}
		time.Sleep(reloadRetryDelay)
	}
}

// loadConsistent reads the configuration, and repeats that, up to four times, if it is invalid and the file was replaced or
// written to while it was read.
func (c *serveCommand) loadConsistent() (n *scheduler.Node, err error) {
	for range 5 {
		before, _ := os.Stat(c.Path)
		n, err = scheduler.Load(c.Path, c.Mgmt)
		after, _ := os.Stat(c.Path)
		if err == nil || before != nil && after != nil && os.SameFile(before, after) &&
			before.Size() == after.Size() && before.ModTime().Equal(after.ModTime()) {
			break
		}
	}
	return n, err
}

// checkCommand is the command check.
type checkCommand struct{ configFlag }

// Run reports whether the configuration is valid.
func (c *checkCommand) Run() error {
	n, err := scheduler.Load(c.Path, "")
	if err == nil {
		fmt.Printf("%s: ok, name=%s listen=%s\n", c.Path, n.Name, n.Listen)
	}
	return err
}

// versionCommand is the command version.
type versionCommand struct{}

// Run prints the module version that the program was built from.
func (versionCommand) Run() error {
	v := "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		v = b.Main.Version
	}
	_, err := fmt.Println("shalebeam", v)
	return err
}

func main() {
	// First of all, since SIGHUP would end the process. The channel holds one signal that comes while the configuration is
	// read; further ones meanwhile can be dropped, since the file is read once more anyway.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var cli struct {
		Serve   serveCommand   `cmd:"" help:"Serve until SIGTERM, then answer all and exit."`
		Check   checkCommand   `cmd:"" help:"Check a configuration and exit."`
		Version versionCommand `cmd:"" help:"Print the version."`
	}
	k := kong.Parse(&cli, kong.Bind(hup), kong.Name("shalebeam"),
		kong.Description("A scheduler that pushes txns to workers."))
	k.FatalIfErrorf(k.Run())
}
