package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// silenceableDiscovery is a testbed's discovery that can fall silent: open requests are then never answered, and new ones get 503
// while it is down.
type silenceableDiscovery struct {
	testbed  *testbed
	mu       sync.Mutex
	silenced chan struct{} // closed when it falls silent, and nil from then on
	down     bool
	lastCall time.Time // time of the last request before it fell silent
}

func newSilenceableDiscovery(s *testbed) *silenceableDiscovery {
	return &silenceableDiscovery{testbed: s, silenced: make(chan struct{})}
}

func (m *silenceableDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	silenced, down := m.silenced, m.down
	if silenced != nil {
		m.lastCall = time.Now()
	}
	m.mu.Unlock()
	if down {
		w.WriteHeader(503)
		return
	}
	answer := make(chan *bufferedResponse, 1)
	go func() {
		d := &bufferedResponse{code: 200}
		m.testbed.serveDiscovery(d, r)
		answer <- d
	}()
	select {
	case <-silenced:
		<-r.Context().Done()
	case d := <-answer:
		w.WriteHeader(d.code)
		w.Write(d.body)
	}
}

// fallSilent has it fall silent, and returns the time of the request that it leaves unanswered.
func (m *silenceableDiscovery) fallSilent(down bool) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.silenced)
	m.silenced, m.down = nil, down
	return m.lastCall
}

// comeBack ends the time during which it is down.
func (m *silenceableDiscovery) comeBack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
}

// bufferedResponse is a ResponseWriter that keeps the response, which may never be sent.
type bufferedResponse struct {
	code int
	body []byte
}

func (d *bufferedResponse) Header() http.Header  { return http.Header{} }
func (d *bufferedResponse) WriteHeader(code int) { d.code = code }
func (d *bufferedResponse) Write(b []byte) (n int, err error) {
	d.body = append(d.body, b...)
	return len(b), nil
}

// expectPostedOnlyTo checks that txns are posted to these workers only.
func (s *testbed) expectPostedOnlyTo(workers ...string) {
	s.t.Helper()
	for i := range 8 {
		for _, to := range s.settleUntilAnswered(s.sendRequest("/look", fmt.Sprint("r", i)), "ok") {
			if !slices.Contains(workers, to) {
				s.t.Errorf("posted to %s, want one of %v", to, workers)
			}
		}
	}
}

// stalenessBound is the time after which a change counts as known to a scheduler, even if its watch was silent meanwhile.
const stalenessBound = 6 * time.Second

// If a watch falls silent, the scheduler notices, and fetches a change that it missed within the staleness bound. Formerly the
// next request came 2 s after the long poll's wait had ended, just at the bound, and the one that was answered up to seconds
// later.
func TestMissedChangeIsFetchedWithinStalenessBound(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	m := newSilenceableDiscovery(s)
	w1, w2 := s.startWorker("w1"), s.startWorker("w2")
	s.publishList(2, workerList(2, true, w1, w2))
	s.start(workerList(1, true, w1, w2), map[string]any{"discovery": serveHTTP(t, m.serve),
		"settings": alteredSettings(t, func(all map[string]any, schemes []map[string]any) []map[string]any {
			all["guarantees"].(map[string]any)["must_ask_in"] = 10000000
			return schemes
		})})
	s.awaitListTaken(2)
	from := m.fallSilent(false)
	var indented bytes.Buffer
	if err := json.Indent(&indented, workerList(3, false, strings.Replace(w1, "in_service", "terminating", 1)), "", "  "); err != nil {
		t.Fatal(err)
	}
	s.publishList(3, indented.Bytes())
	s.awaitListTaken(3)
	if took := time.Since(from); took > stalenessBound {
		t.Errorf("a missed change was fetched after %v, want at most %v", took, stalenessBound)
	}
	s.expectPostedOnlyTo("w2")
}

// If discovery doesn't answer after its watch fell silent, nothing is posted beyond the staleness bound: txns are declined when
// their time is over, and served again as soon as discovery answers.
func TestNoPostingsBeyondStalenessBound(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	m := newSilenceableDiscovery(s)
	w1 := s.startWorker("w1")
	s.publishList(2, workerList(2, true, w1))
	s.start(workerList(1, true, w1), map[string]any{"discovery": serveHTTP(t, m.serve)})
	s.awaitListTaken(2)
	from := m.fallSilent(true)
	s.expectService()
	time.Sleep(time.Until(from.Add(stalenessBound)))
	s.expectAnswer(s.sendRequest("/look", "r1", "Request-Timeout", "500m"), 503, "")
	if len(s.postings) > 0 {
		t.Error("a txn was posted although the worker may be draining")
	}
	m.comeBack()
	s.expectService()
}

// For a new process the staleness bound may be over already for changes that the previous process missed: it posts nothing by
// the list in its configuration, and doesn't report itself healthy, until discovery has answered. Formerly a zone's schedulers
// that came back after 18 s posted to workers that had gone 16 s before.
func TestNewProcessWaitsForDiscovery(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	w1, w2 := s.startWorker("w1"), s.startWorker("w2")
	s.publishList(2, workerList(2, true, w2))
	called, answer := make(chan bool, 10), make(chan bool)
	s.start(workerList(1, true, w1, w2), map[string]any{"discovery": serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		called <- true
		<-answer
		s.serveDiscovery(w, r)
	})})
	await(t, called, "a list request")
	c := s.sendRequest("/look", "r1")
	health, err := http.Get("http://" + s.addr + "/_health")
	if err != nil || health.StatusCode != 503 {
		t.Errorf("/_health before discovery's answer: %v, error %v, want status 503", health, err)
	}
	if len(s.postings) > 0 {
		t.Error("a txn was posted by the list in the configuration")
	}
	close(answer)
	if to := s.settleUntilAnswered(c, "ok"); !slices.Equal(to, []string{"w2"}) {
		t.Errorf("posted to %v, want w2 alone", to)
	}
	s.waitUntilHealthy()
}

// If connections to discovery are refused, discovery is down and nothing changes: a scheduler goes on with the list that it has,
// also one that starts meanwhile.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	_, addr := boundSocket(t)
	from := time.Now()
	s.start(workerList(1, true, s.startWorker("w1")), map[string]any{"discovery": addr})
	s.waitUntilHealthy()
	s.expectService()
	time.Sleep(time.Until(from.Add(stalenessBound + time.Second)))
	s.expectService()
	if took := time.Since(from); took > 10*time.Second {
		t.Errorf("ready and serving after %v, want at most 10 s", took)
	}
}

// Invalid entries of a list affect only their workers: these get no new postings, the rest of the list is applied, and one line
// is logged.
func TestInvalidListEntriesAffectOnlyTheirWorkers(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	var all []string
	for i := range 6 {
		all = append(all, s.startWorker(fmt.Sprint("w", i)))
	}
	s.publishList(2, workerList(2, true, all...))
	s.start(workerList(1, true, all...), nil)
	s.awaitListTaken(2)
	s.publishList(3, workerList(3, false, strings.Replace(all[0], "in_service", "resting", 1),
		all[1], strings.Replace(all[1], "in_service", "terminating", 1),
		listEntry("w2", "nowhere", "in_service"), `{"host":"w3","dial":7}`, `{"host":8}`, `[]`))
	s.awaitListTaken(3)
	s.waitForLogCount("msg=malformed from=discovery entries=5", 1)
	s.expectPostedOnlyTo("w4", "w5")
	s.publishList(4, workerList(4, false, all[0])) // a valid entry
	s.awaitListTaken(4)
	s.expectService()
}

// A list with an older version, a truncated one and one that is too long are ignored: the last valid list stays in force, and
// after an older version the whole list is requested.
func TestInvalidListIsIgnored(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	w1, w2 := s.startWorker("w1"), s.startWorker("w2")
	draining := strings.Replace(w1, "in_service", "terminating", 1)
	invalid := make(chan []byte, 4)
	invalid <- workerList(2, false, w1)
	invalid <- workerList(9, false, w1)[:40]
	invalid <- append(workerList(9, false, w1), strings.Repeat(" ", 5<<20)...)
	s.publishList(5, workerList(5, true, draining, w2))
	asked := make(chan string, 100)
	s.start(workerList(1, true, w1, w2), map[string]any{"discovery": serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "5" && len(invalid) > 0 {
			body := <-invalid
			w.Header().Set("Content-Length", fmt.Sprint(max(len(body), 50)))
			w.Write(body)
			return
		}
		asked <- r.URL.RawQuery
		s.serveDiscovery(w, r)
	})})
	s.waitForLogCount("state=failed", 3)
	for text, n := range map[string]int{"it was at a later one": 1, "read: EOF": 1, "body too large": 1} {
		s.waitForLogCount(text, n)
	}
	fullRequests := 0
	for len(asked) > 0 {
		if <-asked == "" {
			fullRequests++
		}
	}
	if fullRequests != 1 {
		t.Errorf("the whole list was requested %d times, want once", fullRequests)
	}
	s.expectPostedOnlyTo("w2")
}

// In a fleet of 1,024 schedulers and as many workers a scheduler stays within its limits: 256 descriptors, 64 MB.
func TestThousandSchedulersAndWorkers(t *testing.T) {
	t.Parallel()
	const n = 1024
	s := newTestbed(t)
	s.descriptorLimit = 256
	at := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		c := &posting{"w", w, r, "", make(chan struct{})}
		io.Copy(io.Discard, r.Body)
		c.settle("ok")
	})
	all, peers := make([]string, n), make([]string, n)
	for i := range all {
		all[i], peers[i] = listEntry(fmt.Sprint("worker-", i), at, "in_service"), fmt.Sprintf("127.0.%d.%d:7946", 1+i/250, 1+i%250)
	}
	s.publishList(2, workerList(2, true, all...))
	s.start(workerList(1, true, all...), map[string]any{"peers": peers,
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": alteredSettings(t, func(all map[string]any, schemes []map[string]any) []map[string]any {
			all["peers_total"] = n
			return schemes
		})})
	s.awaitListTaken(2)
	settled := 0
	for round := range 40 {
		var answers []chan answer
		for i := range 10 {
			answers = append(answers, s.sendRequest("/look", fmt.Sprint("r", round, "-", i)))
		}
		for _, c := range answers {
			switch a := await(t, c, "an answer"); a.status {
			case 200:
				settled++
			case 503: // on a busy machine all six postings may have been cancelled before one started
			default:
				t.Errorf("got status %d, error %v, want 200 or 503", a.status, a.err)
			}
		}
	}
	if settled < 360 {
		t.Errorf("%d of 400 txns settled, want at least 360", settled)
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if kb := 0; strings.HasPrefix(line, "VmHWM:") {
			if fmt.Sscanf(line, "VmHWM: %d kB", &kb); kb > 64<<10 {
				t.Errorf("peak memory is %d kB, want at most %d", kb, 64<<10)
			}
			t.Log(strings.TrimSpace(line))
		}
	}
}
