package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// A halt that the disk does not take is refused, also when it is sent again, and confirmed once the disk takes it. An agent
// that confirms the second request unsaved forgets the halt with its next restart.
func TestHaltIsConfirmedOnceSaved(t *testing.T) {
	disk := quorum.NewMemoryDisk()
	a := &Agent{log: slog.New(slog.DiscardHandler), config: &Config{}}
	a.supervisor = &supervisor{agent: a, disk: disk, state: persistedState{Executor: fleet.NewStepExecutor("x")}}
	sendHalt := func() int {
		w := httptest.NewRecorder()
		a.handleHalt(w, httptest.NewRequest("POST", "/v1/halt", strings.NewReader(`{"of":"fleet","by":"staff","why":"test"}`)))
		return w.Code
	}
	for _, disk.SyncError = range []error{unix.ENOSPC, unix.EIO, unix.EIO} {
		if got := sendHalt(); got != 503 {
			t.Errorf("disk fails with %v: status %d, want 503", disk.SyncError, got)
		}
	}
	disk.SyncError = nil
	if got := sendHalt(); got != 200 {
		t.Errorf("disk works again: status %d, want 200", got)
	}
	if raw, err := disk.Copy().Read(stateFile); err != nil || !strings.Contains(string(raw), `"fleet"`) {
		t.Errorf("state file after a restart: %s %v, want the halt of \"fleet\" in it", raw, err)
	}
}

// A call for a step that is under way is answered as soon as the step ends. Answered at once, the owner of the operation
// would learn of the end only with its next call, 0.1 s later.
func TestActWaitsForEndOfStep(t *testing.T) {
	s := &supervisor{schedulers: map[string]*managedScheduler{"s0": {}}, state: persistedState{Executor: fleet.NewStepExecutor("x")}, stateChanged: make(chan struct{})}
	do := fleet.AgentCall{Op: "restart-1", Member: "s0", Call: "run", No: 7}
	s.state.Executor.Notes["s0"] = fleet.StepNote{No: 7, Op: do.Op, Call: "run", State: "going"}
	lifecycle := &s.schedulers["s0"].lifecycle
	lifecycle.ReadyTimeoutMs = 1000
	lifecycle.SetWanted(0, true, 7)
	if action, ok := lifecycle.Next(0); !ok || action.Action != "start" {
		t.Fatalf("got action %+v, %v, want a start", action, ok)
	}
	got := make(chan fleet.AgentResult, 1)
	go func() {
		outcome, _ := s.awaitStep(context.Background(), do)
		got <- outcome
	}()
	select {
	case outcome := <-got:
		t.Fatalf("answered while the step was under way: %+v", outcome)
	case <-time.After(50 * time.Millisecond):
	}
	s.mu.Lock()
	lifecycle.Ready(0)
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
	s.mu.Unlock()
	select {
	case outcome := <-got:
		if outcome.State != "done" {
			t.Errorf("got %+v, want state done", outcome)
		}
	case <-time.After(callTimeout / 4):
		t.Error("not answered when the step had ended")
	}
}

// A scheduler that this agent's configuration names for the first time is reported as running only once the record gives
// the name to this agent: another agent may run it, and the record can't be read until seconds after an election.
func TestNewSchedulerIsNotReportedRunningBeforeItIsRecorded(t *testing.T) {
	a := &Agent{config: &Config{Name: "a1", Schedulers: []SchedulerConfig{{ID: "s0"}}}}
	state := &schedulerState{ShouldRun: true, NeverStarted: true}
	a.supervisor = &supervisor{agent: a, schedulers: map[string]*managedScheduler{"s0": {}}, state: persistedState{fleet.NewStepExecutor("x"), map[string]*schedulerState{"s0": state}}}
	for _, recorded := range []bool{false, true} {
		state.NeverStarted = !recorded
		if all, _ := a.supervisor.status(); len(all) != 1 || all[0].ShouldRun != recorded {
			t.Errorf("recorded for this agent: %v; status: %+v", recorded, all)
		}
	}
}

// The state file and the answers on the wire keep their form: a state file that an earlier build wrote is read in full and
// written back byte for byte, and agents of both builds understand each other.
func TestStoredAndSentNamesStay(t *testing.T) {
	const stored = `{"doer":{"notes":{"s0":{"no":7,"op":"release-5","call":"run","state":"done"}},` +
		`"halts":{"all":{"of":"all","by":"staff","no":0}}},` +
		`"runs":{"s0":{"run":true,"new":true,"gen":7,"good":5,` +
		`"pairs":{"5":{"program":"p5","config":"c5"},"7":{"program":"p7","config":"c7"}},` +
		`"former":{"release-5":{"program":"p0","config":"c0"}}}}}`
	var state persistedState
	if err := json.Unmarshal([]byte(stored), &state); err != nil {
		t.Fatal(err)
	}
	s := state.Schedulers["s0"]
	if s == nil || !s.ShouldRun || !s.NeverStarted || s.WantedStep != 7 || s.ReadyStep != 5 ||
		s.Versions[7] != (storedVersion{"p7", "c7"}) || s.FormerVersions["release-5"] != (storedVersion{"p0", "c0"}) {
		t.Errorf("read %+v from %s", s, stored)
	}
	if got, err := json.Marshal(&state); err != nil || string(got) != stored {
		t.Errorf("written back as %s, %v, want %s", got, err, stored)
	}

	const sent = `{"no":9,"record":{"v":1},"change":{"patch":{"v":2},"sum":3},"absent":["a1"],"leader":"127.0.0.1:1","leads":true,"counts":true}`
	var update recordUpdate
	if err := json.Unmarshal([]byte(sent), &update); err != nil {
		t.Fatal(err)
	}
	if update.Number != 9 || len(update.Record) == 0 || update.Patch == nil || update.Patch.Sum != 3 || len(update.AbsentAgents) != 1 ||
		update.LeaderAddr != "127.0.0.1:1" || !update.IsLeader || !update.Participating {
		t.Errorf("read %+v from %s", update, sent)
	}
	if got, err := json.Marshal(update); err != nil || !bytes.Equal(got, []byte(sent)) {
		t.Errorf("sent as %s, %v, want %s", got, err, sent)
	}
}
