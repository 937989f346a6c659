package agent

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// A halt that the disk does not take is answered with a no, also when it is told again; once the disk takes it, with a yes.
// (Told again it was answered with a yes, and forgotten by a restart.)
func TestAHaltIsAcknowledgedOnceItIsKept(t *testing.T) {
	disk := quorum.NewMemory()
	a := &Agent{log: slog.New(slog.DiscardHandler), file: &File{}}
	a.runs = &runs{a: a, disk: disk, kept: kept{Doer: fleet.NewDoer("x")}}
	tell := func() int {
		w := httptest.NewRecorder()
		a.haltHere(w, httptest.NewRequest("POST", "/v1/halt", strings.NewReader(`{"of":"fleet","by":"staff","why":"test"}`)))
		return w.Code
	}
	for _, disk.Fails = range []error{unix.ENOSPC, unix.EIO, unix.EIO} {
		if got := tell(); got != 503 {
			t.Errorf("%v: %d", disk.Fails, got)
		}
	}
	disk.Fails = nil
	if got := tell(); got != 200 {
		t.Errorf("the disk takes it: %d", got)
	}
	if raw, err := disk.Copy().Read(runsName); err != nil || !strings.Contains(string(raw), `"fleet"`) {
		t.Errorf("kept is %s %v", raw, err)
	}
}

// A call for a step that was begun is answered as soon as that is over. (It was answered at once, and asked again 0.1 s later.)
func TestACallWaitsForItsStep(t *testing.T) {
	r := &runs{all: map[string]*runner{"s0": {}}, kept: kept{Doer: fleet.NewDoer("x")}, moved: make(chan struct{})}
	do := fleet.Do{Op: "restart-1", Member: "s0", Call: "run", No: 7}
	r.kept.Doer.Notes["s0"] = fleet.Note{No: 7, Op: do.Op, Call: "run", State: "going"}
	m := &r.all["s0"].minder
	m.ReadyMost = 1000
	m.Wants(0, true, 7)
	if d, ok := m.Next(0); !ok || d.Do != "start" {
		t.Fatal(d, ok)
	}
	got := make(chan fleet.Did, 1)
	go func() {
		did, _ := r.known(context.Background(), do)
		got <- did
	}()
	select {
	case did := <-got:
		t.Fatalf("answered at once: %+v", did)
	case <-time.After(50 * time.Millisecond):
	}
	r.mu.Lock()
	m.Ready(0)
	close(r.moved)
	r.moved = make(chan struct{})
	r.mu.Unlock()
	select {
	case did := <-got:
		if did.State != "done" {
			t.Errorf("%+v", did)
		}
	case <-time.After(callMost / 4):
		t.Error("not answered when it was over")
	}
}

// A scheduler that this agent's file names for the first time is not said to run here before the record gives the name to
// this agent: another agent may run it. (It was said so until the record could be read, seconds after an election.)
func TestANewNameDoesNotRunBeforeItIsOnRecord(t *testing.T) {
	a := &Agent{file: &File{Name: "a1", Scheduler: []Local{{ID: "s0"}}}}
	state := &ran{Run: true, New: true}
	a.runs = &runs{a: a, all: map[string]*runner{"s0": {}}, kept: kept{fleet.NewDoer("x"), map[string]*ran{"s0": state}}}
	for _, given := range []bool{false, true} {
		state.New = !given
		if all, _ := a.runs.list(); len(all) != 1 || all[0].Run != given {
			t.Errorf("given to this agent: %v; said: %+v", given, all)
		}
	}
}
