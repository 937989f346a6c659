package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Programs are built once for all tests here, with the tag faults: what is played against are real processes.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cluster-test-")
	if err != nil {
		panic(err)
	}
	bin = dir
	if out, err := exec.Command("go", "build", "-tags", "faults", "-o", dir+"/", "../../cmd/shalebeam", "../../cmd/beamagent").
		CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func played(t *testing.T, o Options) *Report {
	t.Helper()
	o.Program, o.Agent, o.Dir = filepath.Join(bin, "shalebeam"), filepath.Join(bin, "beamagent"), t.TempDir()
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	r, err := Play(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Faults {
		t.Log(f)
	}
	return r
}

// Seeded days of real processes, with faults of links, processes, disks and clocks that overlap, break nothing.
func TestDays(t *testing.T) {
	for seed := range uint64(3) {
		r := played(t, Options{Seed: seed + 1})
		for _, b := range r.Breaks {
			t.Errorf("seed %d: %s", seed+1, b)
		}
		t.Logf("seed %d: %d operations, %d by all, %d open, healed in %.1f s", seed+1, r.Ops, r.Yes, r.Open, r.Healed)
	}
}
