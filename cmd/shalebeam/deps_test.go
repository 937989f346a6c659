package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The scheduler's program doesn't depend on the packages of the simulator and other tools, which would cost memory and start-up
// time.
func TestProgramDoesNotDependOnTestTools(t *testing.T) {
	for _, command := range []string{".", "../benchlink"} {
		out, err := exec.Command("go", "list", "-deps", command).CombinedOutput()
		if err != nil || !strings.Contains(string(out), "shalebeam/balance") {
			t.Fatalf("go list -deps %s: error %v, want shalebeam/balance in %s", command, err, out)
		}
		for _, pkg := range strings.Fields(string(out)) {
			for _, unwanted := range []string{"shalebeam/lab", "gonum.org", "go-toml", "hdrhistogram", "xxhash",
				"shalebeam/fleet", "shalebeam/quorum", "shalebeam/agent", "go.etcd.io", "protobuf", "porcupine"} {
				if strings.Contains(strings.ToLower(pkg), unwanted) {
					t.Errorf("%s depends on %s", command, pkg)
				}
			}
		}
	}
}
