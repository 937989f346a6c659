package main

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"shalebeam/agent"
	"shalebeam/fleet"
)

// The keys of an operation file are derived from struct tags: a renamed field must still be read from its key.
func TestOperationFileKeepsItsKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "release.toml")
	text := `
kind = "release"
why = "fix"
select = "schedulers"
zone = "a"
label = "rack=1"
program = "/opt/shalebeam"
digest = "ab12"
config = "/etc/{id}.toml"
version = "v2"
watch = "1s"
wave_most = "3s"
together = 2
auto_back = true

[gates]
settled = 0.1
declined = 0.2
reversed = 0.3
txns = 40
lost = 5
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got := operationFile{}
	if err := got.load(path); err != nil {
		t.Fatal(err)
	}
	want := operationFile{Kind: "release", Reason: "fix", SelectKind: "schedulers", Zone: "a", Label: "rack=1", Program: "/opt/shalebeam", Digest: "ab12",
		Config: "/etc/{id}.toml", Version: "v2", WatchPeriod: agent.Duration(time.Second), WaveTimeout: agent.Duration(3 * time.Second), MaxTogether: 2,
		AutoRollback: true, Gates: fleet.Gates{Settled: 0.1, Declined: 0.2, Reversed: 0.3, MinTxns: 40, MaxLost: 5}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	text = "kind = \"maintain\"\nmembers = [\"s0\", \"s1\"]\npause = \"2s\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got = operationFile{}
	if err := got.load(path); err != nil {
		t.Fatal(err)
	}
	want = operationFile{Kind: "maintain", Members: []string{"s0", "s1"}, Pause: agent.Duration(2 * time.Second)}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
