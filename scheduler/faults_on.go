//go:build faults

package scheduler

import (
	"bytes"
	"io"
	"os"
	"strconv"
	"syscall"
	"time"
)

// injectedFaults are the names of the faults of this process: the one in the environment variable SHALEBEAM_BUG, and the
// one that the last 64 bytes of the executable name as "\nBUG=name". The latter lets a test of a release bring a faulty
// program while another without a fault still runs.
var injectedFaults = func() []string {
	names := []string{os.Getenv("SHALEBEAM_BUG")}
	if f, err := os.Open("/proc/self/exe"); err == nil {
		defer f.Close()
		if _, err := f.Seek(-64, io.SeekEnd); err == nil {
			if tail, err := io.ReadAll(f); err == nil {
				if at := bytes.LastIndex(tail, []byte("\nBUG=")); at >= 0 {
					names = append(names, string(bytes.TrimSpace(tail[at+5:])))
				}
			}
		}
	}
	return names
}()

// faultInjected tells whether a fault is injected, in builds with the tag faults alone. The lab injects faults to show that its
// checks find them.
func faultInjected(fault string) bool {
	for _, name := range injectedFaults {
		if name == fault {
			return true
		}
	}
	return false
}

// A process that an agent started outlives the agent, and would outlive a test that was killed. It ends, within 100 ms,
// after the process whose id is in SHALEBEAM_LEASH.
func init() {
	if labPid, err := strconv.Atoi(os.Getenv("SHALEBEAM_LEASH")); err == nil {
		go func() {
			for syscall.Kill(labPid, 0) == nil {
				time.Sleep(100 * time.Millisecond)
			}
			os.Exit(9)
		}()
	}
}
