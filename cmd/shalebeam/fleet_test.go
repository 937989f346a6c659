package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// callAsOwner makes one management call as an owner in the fleet and returns status and body of the answer. fence has the owner's
// name and its fencing token. The path may end with ? and a change number, which goes into the header Fleet-Change.
func callAsOwner(t *testing.T, addr, path, body, fence, start string) (int, string) {
	t.Helper()
	q, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Close = true
	q.Header.Set("Fleet-Fence", fence)
	if start != "" {
		q.Header.Set("Fleet-Start", start)
	}
	if path, change, ok := strings.Cut(path, "?"); ok {
		q.URL.Path, q.URL.RawQuery = path, ""
		q.Header.Set("Fleet-Change", change)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

// fenceState asks a scheduler for its start id, the highest fencing token that it saw of each owner, and the workers that the
// fleet has taken out, each with the owner that did.
func fenceState(t *testing.T, addr string) (state struct {
	Start  string
	Fences map[string]uint64
	Out    map[string]string
}) {
	t.Helper()
	r, err := http.Get("http://" + addr + "/ops/fence")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
		t.Fatal(err)
	}
	return state
}

// Calls of an owner that was replaced, calls delayed on a stalled connection and calls meant for an earlier process change
// nothing. An operator's calls work as without a fleet, and neither side undoes what the other did.
func TestFencedCalls(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	addr := s.startWithMgmt(workerList(1, true, s.startWorker("w1"), s.startWorker("w2")), nil)
	state := fenceState(t, addr)
	for i, c := range []struct {
		path, body, fence, start string
		want                     int
		wantText                 string
	}{
		{"/ops/workers/down", "w1", "zone/a 3", state.Start, 200, "done"},
		{"/ops/workers/down", "w1", "zone/a 3", state.Start, 200, "so already"},
		{"/ops/workers/down", "w9", "zone/a 3", state.Start, 200, "done"}, // not listed yet
		{"/ops/fence", "", "zone/a 5", state.Start, 200, "done"},          // the next owner raises the fencing token
		{"/ops/workers/up", "w1", "zone/a 3", state.Start, 409, "fence zone/a 5"},
		{"/ops/workers/up", "w1", "zone/a 4", state.Start, 409, "fence zone/a 5"},
		{"/ops/workers/up", "w1", "zone/b 1", state.Start, 409, "the fleet took it out: zone/a"},
		{"/ops/workers/up", "w1", "zone/a 6", "former", 409, "start " + state.Start},
		{"/ops/workers/up", "w1", "zone/a 6", "", 400, "fleet-start"},
		{"/ops/workers/up", "w1", "zone/a", state.Start, 400, "fleet-fence"},
		{"/ops/workers/up", "w1", "zone/a 0", state.Start, 400, "fleet-fence"},
		{"/ops/fence", "", "zone/a 4", state.Start, 409, "fence zone/a 5"},
		// Two calls of the same owner, of which the older one arrives late: its fencing token is valid, but its change number is not.
		{"/ops/workers/down?20", "w8", "zone/a 5", state.Start, 200, "done"},
		{"/ops/workers/down?22", "w8", "zone/a 5", state.Start, 200, "so already"},
		{"/ops/workers/up?21", "w8", "zone/a 5", state.Start, 409, "change 22"},
		{"/ops/workers/up?23", "w8", "zone/a 5", state.Start, 200, "done"},
		{"/ops/workers/down?22", "w8", "zone/a 5", state.Start, 409, "change 23"},
	} {
		if got, text := callAsOwner(t, addr, c.path, c.body, c.fence, c.start); got != c.want || !strings.Contains(text, c.wantText) {
			t.Errorf("case %d, %s %s: got status %d, body %q, want %d, %q", i, c.path, c.fence, got, text, c.want, c.wantText)
		}
	}
	if got := callOps(t, addr, postText("/ops/workers/up", "w1")); got != 409 {
		t.Errorf("an operator puts back a worker that the fleet took out: got status %d, want 409", got)
	}
	if got := callOps(t, addr, postText("/ops/workers/down", "w2")); got != 200 {
		t.Errorf("an operator takes w2 out: got status %d, want 200", got)
	}
	if got, _ := callAsOwner(t, addr, "/ops/workers/up", "w2", "zone/a 5", state.Start); got != 409 {
		t.Errorf("the fleet puts back a worker that an operator took out: got status %d, want 409", got)
	}
	c := s.sendRequest("/look", "r1", "Work-Hint", "100000") // small enough for a cold worker
	select {
	case p := <-s.postings:
		t.Errorf("%s was posted to a worker that is out", p.id())
	case a := <-c:
		t.Errorf("answered %v although both workers are out", a)
	default:
	}
	if got, _ := callAsOwner(t, addr, "/ops/workers/up", "w1", "zone/a 5", state.Start); got != 200 {
		t.Errorf("the owner puts w1 back: got status %d, want 200", got)
	}
	s.settleUntilAnswered(c, "ok")
	if state = fenceState(t, addr); state.Fences["zone/a"] != 5 || len(state.Out) != 1 || state.Out["w9"] != "zone/a" {
		t.Errorf("state is %+v, want fencing token 5 of zone/a and w9 alone out by zone/a", state)
	}
	s.terminate()
	s.expectCleanExit()
}

// Before it accepts clients, a new process asks its machine's agent which workers are out; it starts without if none answers.
func TestAsksAgentBeforeServing(t *testing.T) {
	t.Parallel()
	asked := make(chan string, 4)
	agent := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("scheduler")
		fmt.Fprint(w, `{"fences":{"zone/a":7},"out":{"w1":"zone/a"}}`)
	})
	s := newTestbed(t)
	addr := s.startWithMgmt(workerList(1, true, s.startWorker("w1")), map[string]any{"agent": agent})
	if got := await(t, asked, "a call to the agent"); got != "n0" {
		t.Errorf("the agent was asked by %s, want n0", got)
	}
	state := fenceState(t, addr)
	if state.Out["w1"] != "zone/a" || state.Fences["zone/a"] != 7 {
		t.Errorf("state is %+v, want w1 out by zone/a and fencing token 7 of zone/a", state)
	}
	if got, _ := callAsOwner(t, addr, "/ops/workers/up", "w1", "zone/a 6", state.Start); got != 409 {
		t.Errorf("a call with an older fencing token than the agent's: got status %d, want 409", got)
	}
	s.terminate()
	s.expectCleanExit()
	alone := newTestbed(t)
	alone.startWithMgmt(workerList(1, true, alone.startWorker("w1")), map[string]any{"agent": "127.0.0.2:1"})
	alone.waitForLogCount("msg=agent state=unasked", 1)
	alone.expectService()
}
