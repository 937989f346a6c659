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

// A build with the tag faults is for fault injection in tests only. Disk and clock fail as described in the JSON file
// that the environment variable SHALEBEAM_FAULTS names. The file is read at each use, so faults can be changed while the
// process runs. Bytes that were written and not synced are held in memory and are lost when the process ends, as they
// would be when the machine loses power.

// Faults is the content of that file. Its keys are the names in the tags.
type Faults struct {
	LoseSync        bool    `json:"LieSync"`  // Sync returns nil and makes nothing durable
	SyncError       string  `json:"FailSync"` // error of each Sync: EIO or ENOSPC; "" for none
	WriteError      string  `json:"FailAdd"`  // error of each Write: EIO or ENOSPC; "" for none
	SyncDelayMs     float64 `json:"SlowSync"` // added to each Sync
	ClockRate       float64 `json:"Rate"`     // ms that the monotonic clock advances per true ms; 0 stands for 1
	WallClockJumpMs float64 `json:"Jump"`     // added to the wall clock; no decision may depend on it
}

// readFaults returns the faults that apply now, none if the file is missing or is not valid JSON.
func readFaults() (f Faults) {
	if raw, err := os.ReadFile(os.Getenv("SHALEBEAM_FAULTS")); err == nil {
		_ = json.Unmarshal(raw, &f)
	}
	return f
}

// errorByName returns the error for a value of Faults.SyncError or Faults.WriteError, nil for "".
func errorByName(name string) error {
	switch name {
	case "":
		return nil
	case "ENOSPC":
		return syscall.ENOSPC
	case "EIO":
		return syscall.EIO
	}
	return errors.New(name)
}

// faultyDisk is a disk whose files fail as Faults says.
type faultyDisk struct{ Disk }

func wrapDisk(d Disk) Disk { return faultyDisk{d} }

type faultyFile struct {
	File
	unsynced []byte // written since the last successful Sync
}

func (d faultyDisk) Create(name string) (File, error) { return wrapFile(d.Disk.Create(name)) }
func (d faultyDisk) Append(name string) (File, error) { return wrapFile(d.Disk.Append(name)) }

func wrapFile(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: f}, nil
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := errorByName(readFaults().WriteError); err != nil {
		n, _ := f.File.Write(b[:len(b)/2]) // a failed write leaves its first half in the file
		return n, err
	}
	f.unsynced = append(f.unsynced, b...)
	return len(b), nil
}

func (f *faultyFile) Sync() error {
	faults := readFaults()
	time.Sleep(time.Duration(faults.SyncDelayMs * float64(time.Millisecond)))
	if err := errorByName(faults.SyncError); err != nil {
		return err
	}
	if faults.LoseSync {
		return nil
	}
	if _, err := f.File.Write(f.unsynced); err != nil {
		return err
	}
	f.unsynced = nil
	return f.File.Sync()
}

func (f *faultyFile) Close() error { return f.File.Close() }

// skewedClock advances at Faults.ClockRate. A change of the rate applies from the next reading on and never alters the
// time that has already passed.
type skewedClock struct {
	mu         sync.Mutex
	clock      Clock
	lastTrueMs float64 // reading of clock at the last call of Now
	nowMs      float64 // what that call returned
}

func wrapClock(c Clock) Clock { return &skewedClock{clock: c, lastTrueMs: c.Now()} }

func (c *skewedClock) Now() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults, trueMs := readFaults(), c.clock.Now()
	if faults.ClockRate == 0 {
		faults.ClockRate = 1
	}
	c.nowMs += (trueMs - c.lastTrueMs) * faults.ClockRate
	c.lastTrueMs = trueMs
	return c.nowMs
}

// WallClock returns a clock that follows the wall clock, jumps included. A planted bug measures leases by it.
func WallClock() Clock { return wallClock{} }

type wallClock struct{}

func (wallClock) Now() float64 {
	return float64(time.Now().UnixNano())/1e6 + readFaults().WallClockJumpMs
}
