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

// bugs are those of this process: by its environment, or by the program's own last bytes, so that a release can bring a
// program with one beside another without.
var bugs = func() []string {
	all := []string{os.Getenv("SHALEBEAM_BUG")}
	if f, err := os.Open("/proc/self/exe"); err == nil {
		defer f.Close()
		if _, err := f.Seek(-64, io.SeekEnd); err == nil {
			if tail, err := io.ReadAll(f); err == nil {
				if at := bytes.LastIndex(tail, []byte("\nBUG=")); at >= 0 {
					all = append(all, string(bytes.TrimSpace(tail[at+5:])))
				}
			}
		}
	}
	return all
}()

func planted(bug string) bool {
	for _, b := range bugs {
		if b == bug {
			return true
		}
	}
	return false
}

// A process that an agent started outlives it, and would outlive a test that was killed: it ends with the process that
// SHALEBEAM_LEASH names.
func init() {
	if lab, err := strconv.Atoi(os.Getenv("SHALEBEAM_LEASH")); err == nil {
		go func() {
			for syscall.Kill(lab, 0) == nil {
				time.Sleep(100 * time.Millisecond)
			}
			os.Exit(9)
		}()
	}
}
