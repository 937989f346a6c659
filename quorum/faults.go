//go:build faults

package quorum

import (
	"encoding/json"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"
)

// A build with the tag faults, for the lab alone: disk and clock fail as the file says that SHALEBEAM_FAULTS names. It is
// read anew at each use, so faults come and go while the process runs. What is written and not synced stands in memory
// and dies with the process, as it would with the machine.

// Faults is what that file holds.
type Faults struct {
	LieSync  bool    // a sync says yes and keeps nothing
	FailSync string  // EIO or ENOSPC, of each sync
	FailAdd  string  // the same of each write
	SlowSync float64 // ms that a sync takes
	Rate     float64 // of the clock, 0 for 1
	Jump     float64 // ms that the wall clock is ahead: nothing may go by it
}

func faults() (f Faults) {
	if raw, err := os.ReadFile(os.Getenv("SHALEBEAM_FAULTS")); err == nil {
		_ = json.Unmarshal(raw, &f)
	}
	return f
}

func named(e string) error {
	switch e {
	case "":
		return nil
	case "ENOSPC":
		return syscall.ENOSPC
	case "EIO":
		return syscall.EIO
	}
	return errors.New(e)
}

type badDisk struct{ Disk }

func wrap(d Disk) Disk { return badDisk{d} }

type badFile struct {
	File
	wait []byte // written and not yet synced
}

func (d badDisk) Create(name string) (File, error) { return bad(d.Disk.Create(name)) }
func (d badDisk) Append(name string) (File, error) { return bad(d.Disk.Append(name)) }

func bad(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &badFile{File: f}, nil
}

func (f *badFile) Write(b []byte) (int, error) {
	if err := named(faults().FailAdd); err != nil {
		n, _ := f.File.Write(b[:len(b)/2]) // and some of it is there
		return n, err
	}
	f.wait = append(f.wait, b...)
	return len(b), nil
}

func (f *badFile) Sync() error {
	now := faults()
	time.Sleep(time.Duration(now.SlowSync * float64(time.Millisecond)))
	if err := named(now.FailSync); err != nil {
		return err
	}
	if now.LieSync {
		return nil
	}
	if _, err := f.File.Write(f.wait); err != nil {
		return err
	}
	f.wait = nil
	return f.File.Sync()
}

func (f *badFile) Close() error { return f.File.Close() }

// badClock runs at another rate. That changes what is still to come, never what was.
type badClock struct {
	mu    sync.Mutex
	clock Clock
	at    float64 // of the true clock
	now   float64
}

func wrapClock(c Clock) Clock { return &badClock{clock: c, at: c.Now()} }

func (c *badClock) Now() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, at := faults(), c.clock.Now()
	if f.Rate == 0 {
		f.Rate = 1
	}
	c.now += (at - c.at) * f.Rate
	c.at = at
	return c.now
}

// WallClock is what a planted bug counts terms by.
func WallClock() Clock { return jumping{} }

type jumping struct{}

func (jumping) Now() float64 { return float64(time.Now().UnixNano())/1e6 + faults().Jump }
