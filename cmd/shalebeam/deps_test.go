package main

import (
	"os/exec"
	"strings"
	"testing"
)

// What the lab and other tools need is no part of the scheduler's program: it would cost the platform memory
// and start-up.
func TestProgramHasNothingOfTheLab(t *testing.T) {
	for _, of := range []string{".", "../benchlink"} {
		out, err := exec.Command("go", "list", "-deps", of).CombinedOutput()
		if err != nil || !strings.Contains(string(out), "shalebeam/balance") {
			t.Fatalf("%v: %s", err, out)
		}
		for _, pkg := range strings.Fields(string(out)) {
			for _, no := range []string{"shalebeam/lab", "gonum.org", "go-toml", "hdrhistogram", "xxhash",
				"shalebeam/fleet", "shalebeam/quorum", "shalebeam/agent", "go.etcd.io", "protobuf", "porcupine"} {
				if strings.Contains(strings.ToLower(pkg), no) {
					t.Errorf("%s has %s", of, pkg)
				}
			}
		}
	}
}
