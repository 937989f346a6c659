// Command shalebeam is one scheduler on sockets.
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

type file struct {
	Path string `name:"config" env:"BALANCER_CONFIG" placeholder:"FILE" help:"What the scheduler is told."`
}

type serve struct {
	file
	Mgmt string `env:"BALANCER_MGMT" placeholder:"ADDR" help:"The second address, where the file names none."`
}

func (c *serve) Run(hup chan os.Signal) error {
	n, err := c.loadAtStart()
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // nobody reads the log any more: that is no reason to end
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds)
	s := scheduler.New(n, l)
	go func() {
		for range hup {
			if n, err := c.loadAgain(l); err != nil {
				l.Printf("msg=reload state=refused err=%q", err)
			} else {
				s.Reload(n)
			}
		}
	}()
	return s.Run(ctx)
}

const (
	loadDelay = 20 * time.Millisecond // between two tries of a file that can't be read for the moment
	loadFor   = 4 * time.Second       // at a start
)

// loadAtStart reads the file, for some seconds where it can't be read for the moment.
func (c *serve) loadAtStart() (n *scheduler.Node, err error) {
	err = transient.Retry(loadFor, transient.FileError, func() (err error) {
		n, err = scheduler.Load(c.Path, c.Mgmt)
		return err
	})
	return n, err
}

// loadAgain reads the file at a reload, until it can be read: the change is owed.
func (c *serve) loadAgain(l *log.Logger) (*scheduler.Node, error) {
	for tries := 1; ; tries++ {
		n, err := c.load()
		if !transient.FileError(err) {
			return n, err
		}
		if tries == 1 {
			l.Printf("msg=reload state=waits err=%q", err)
		}
		time.Sleep(loadDelay)
	}
}

// load reads the file again, and once more if it was replaced or written to while it was read.
func (c *serve) load() (n *scheduler.Node, err error) {
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

type check struct{ file }

func (c *check) Run() error {
	n, err := scheduler.Load(c.Path, "")
	if err == nil {
		fmt.Printf("%s: ok, name=%s listen=%s\n", c.Path, n.Name, n.Listen)
	}
	return err
}

type version struct{}

func (version) Run() error {
	v := "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		v = b.Main.Version
	}
	_, err := fmt.Println("shalebeam", v)
	return err
}

func main() {
	// Before all else, since SIGHUP would end the program. One that comes while a file is read waits for its
	// turn, and any more of them tell nothing new.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var cli struct {
		Serve   serve   `cmd:"" help:"Serve until SIGTERM, then answer all and exit."`
		Check   check   `cmd:"" help:"Check a configuration and exit."`
		Version version `cmd:"" help:"Print the version."`
	}
	k := kong.Parse(&cli, kong.Bind(hup), kong.Name("shalebeam"),
		kong.Description("A scheduler that pushes txns to workers."))
	k.FatalIfErrorf(k.Run())
}
