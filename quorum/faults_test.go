//go:build faults

package quorum

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// The tests of whole clusters write the faults file under these keys; a key that is no longer read would inject nothing,
// and such a test would pass without its fault.
func TestFaultsFileKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "faults")
	t.Setenv("SHALEBEAM_FAULTS", path)
	if err := os.WriteFile(path, []byte(
		`{"LieSync":true,"FailSync":"EIO","FailAdd":"ENOSPC","SlowSync":5000,"Rate":1.05,"Jump":-60000}`), 0o600); err != nil {
		t.Fatal(err)
	}
	want := Faults{LoseSync: true, SyncError: "EIO", WriteError: "ENOSPC", SyncDelayMs: 5000, ClockRate: 1.05,
		WallClockJumpMs: -60000}
	if got := readFaults(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for name, want := range map[string]error{"": nil, "EIO": syscall.EIO, "ENOSPC": syscall.ENOSPC} {
		if got := errorByName(name); got != want {
			t.Errorf("%q is %v, want %v", name, got, want)
		}
	}
}
