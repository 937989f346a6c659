package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestTxnGoesThroughUnchanged(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	s.waitUntilHealthy()
	c := s.sendRequest("/look/a%20b?c=d", "r1", "Idempotency-Key", "k1", "Content-Type", "x/y")
	p := s.nextPosting()
	h := p.r.Header
	if p.r.Method != "POST" || p.r.RequestURI != "/look/a%20b?c=d" || p.body != "body of r1" || p.id() != "r1" ||
		h.Get("Idempotency-Key") != "k1" || h.Get("Content-Type") != "x/y" ||
		!strings.HasSuffix(h.Get("Request-Timeout"), "m") {
		t.Errorf("the worker got %s %s, body %q, header %v; want the client's request and a Request-Timeout in ms", p.r.Method,
			p.r.RequestURI, p.body, h)
	}
	p.sendNote("started", "")
	p.sendNote("running", `,"share":0.4`)
	p.sendNote("done", `,"result":"a\nb"`)
	p.finish()
	s.expectAnswer(c, 200, "a\nb")
}

// An idle keep-alive connection may be closing at the worker's end, so a once-only txn is sent on a new connection, where a reset
// is less likely. A repeatable one uses the idle connection.
func TestOnceOnlyGetsANewConnection(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	on := func(target, id string) string {
		c := s.sendRequest(target, id)
		p := s.nextPosting()
		p.settle("ok")
		s.expectAnswer(c, 200, "ok")
		return p.r.RemoteAddr
	}
	first := on("/look", "r1")
	if second := on("/look", "r2"); second != first {
		t.Errorf("a repeatable txn was sent on connection %s, want the idle one, %s", second, first)
	}
	if third := on("/buy", "r3"); third == first {
		t.Errorf("a once-only txn was sent on the kept connection %s, want a new one", third)
	}
}

// Each case is what a worker does with the first posting of a txn, and whether that proves that the txn never ran there. If it
// does, a once-only txn is posted again; a repeatable one is posted again in any case.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	const stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		do       func(*posting)
		neverRan bool
	}{
		"503 not started": {func(c *posting) { c.respond(503, "1") }, true},
		"504 not started": {func(c *posting) { c.respond(504, "1") }, true},
		"400 wrong":       {func(c *posting) { c.respond(400, "") }, false},
		"503 cut off": {func(c *posting) {
			c.sendRawAndClose("HTTP/1.1 503 -\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\n")
		}, true},
		"no result":       {func(c *posting) { c.sendNote("done", ""); c.finish() }, false},
		"result not text": {func(c *posting) { c.sendNote("done", ",\"result\":\"\xff\""); c.finish() }, false},
		"returned":        {func(c *posting) { c.sendNote("returned", ""); c.finish() }, true},
		"503":             {func(c *posting) { c.respond(503, "") }, false},
		"503 started":     {func(c *posting) { c.respond(503, "0") }, false},
		"500":             {func(c *posting) { c.respond(500, "1") }, false},
		"302":             {func(c *posting) { c.respond(302, "") }, false},
		"failed":          {func(c *posting) { c.sendNote("failed", ""); c.finish() }, false},
		"lost":            {func(c *posting) { c.sendNote("started", ""); c.sendNote("lost", ""); c.finish() }, false},
		"no last line":    {func(c *posting) { c.sendNote("started", ""); c.finish() }, false},
		"broken":          {func(c *posting) { c.sendRawAndClose("") }, false},
		"cut in a note":   {func(c *posting) { c.sendRawAndClose(stream + "20\r\n{\"id\":") }, false},
		"no HTTP":         {func(c *posting) { c.sendRawAndClose("SSH-2.0\r\n") }, false},
		"no JSON":         {func(c *posting) { c.sendRawAndClose(stream + "5\r\nrest\n\r\n0\r\n\r\n") }, false},
		"another's note": {func(c *posting) {
			fmt.Fprintln(c.w, `{"id":"r0","state":"done","result":"x"}`)
			c.finish()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t)
			s.start(workerList(1, true, s.startWorker("w1"), s.startWorker("w2")), nil)
			buy := s.sendRequest("/buy", "r1")
			c.do(s.nextPosting())
			if !c.neverRan {
				s.expectAnswer(buy, 502, "")
			} else {
				p := s.nextPosting()
				p.settle("second")
				if a := s.expectAnswer(buy, 200, "second"); a.err != nil || p.id() != "r1" {
					t.Errorf("posted again as %s, want r1", p.id())
				}
			}
			look := s.sendRequest("/look", "r2")
			c.do(s.nextPosting())
			p := s.nextPosting()
			p.settle("again")
			s.expectAnswer(look, 200, "again")
		})
	}
}

// One worker refuses connections, another never completes them. The first proves at once that no posting ran there, the second
// after the connect timeout; neither delays txns that are posted to other workers.
func TestNoConnection(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	_, refused := boundSocket(t) // the port stays bound: else another test's worker could get it
	fd, full := boundSocket(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	fillAcceptQueue(t, full)
	s.start(workerList(1, true, s.startWorker("w1"), listEntry("w2", refused, "in_service"),
		listEntry("w3", full, "in_service")), nil)
	var asked []chan answer
	for i := range 6 {
		asked = append(asked, s.sendRequest("/buy", fmt.Sprint("r", i)))
	}
	for range asked {
		s.nextPosting().settle("ok")
	}
	for _, c := range asked {
		s.expectAnswer(c, 200, "ok")
	}
}

// A worker that becomes unreachable sends nothing on its open connections, and new ones never complete: a repeatable txn is
// settled by another worker.
func TestVanishedWorker(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	fd, addr := boundSocket(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	_ = syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 20})
	lost := listEntry("w1", addr, "in_service")
	s.start(workerList(1, true, lost), nil)
	c := s.sendRequest("/look", "r1")
	conn, _, err := syscall.Accept(fd)
	for err == syscall.EINTR {
		conn, _, err = syscall.Accept(fd)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(conn)
	fillAcceptQueue(t, addr)
	s.publishList(2, workerList(2, true, lost, s.startWorker("w2")))
	p := s.nextPosting()
	p.settle("by the other")
	s.expectAnswer(c, 200, "by the other")
}

func TestBadInput(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	const ids = "Host: a\r\nRequest-Id: r1\r\n"
	for text, status := range map[string]int{
		"\x16\x03\x01\x02\x00\n": 400,
		"POST /look HTTP/1.1\r\n" + ids + "Content-Length: x\r\n\r\n":        400,
		"POST /look HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n":        400,
		"POST /look HTTP/1.1\r\n" + ids + "Request-Timeout: 5\r\n\r\n":       400,
		"POST /look HTTP/1.1\r\n" + ids + "Work-Hint: NaN\r\n\r\n":           400,
		"POST /look HTTP/1.1\r\n" + ids + "Content-Length: 65537\r\n\r\n":    413,
		"POST /look HTTP/1.1\r\n" + ids + strings.Repeat("A: b\r\n", 9000):   431,
		"POST /other HTTP/1.1\r\n" + ids + "Connection: close\r\n\r\n":       404,
		"PUT /look HTTP/1.1\r\n" + ids + "Connection: close\r\n\r\n":         405,
		"POST /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n":     405,
		"POST /look HTTP/3.0\r\n" + ids + "\r\n":                             505,
		"POST /look HTTP/1.1\r\n" + ids + "Transfer-Encoding: br\r\n\r\nabc": 501,
	} {
		if !strings.Contains(text, "Connection") && strings.HasSuffix(text, "\r\n\r\n") {
			text = strings.TrimSuffix(text, "\r\n") + "Connection: close\r\n\r\n"
		}
		if got := s.exchangeRaw(text); !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)) {
			t.Errorf("%.60q: answer %.80q, want status %d", text, got, status)
		}
	}
	first := s.sendRequest("/look", "twin")
	p := s.nextPosting()
	s.expectAnswer(s.sendRequest("/look", "twin"), 409, "")
	p.settle("once")
	s.expectAnswer(first, 200, "once")
	s.expectService()
}

// Two pipelined requests, one of them chunked, sent one byte at a time: framing doesn't depend on how bytes arrive.
func TestFramingOnTheSocket(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1"), s.startWorker("w2")), nil)
	const head = "POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: "
	one := head + "r1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"
	two := head + "r2\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
	got := make(chan string, 1)
	go func() { got <- s.exchangeRaw(strings.Split(one+two, "")...) }()
	for _, want := range []string{"abc", "def"} {
		p := s.nextPosting()
		if p.body != want {
			t.Errorf("the worker got %q, want %q", p.body, want)
		}
		p.settle("=" + want)
	}
	r := bufio.NewReader(strings.NewReader(await(t, got, "both answers")))
	for _, want := range []string{"=abc", "=def"} {
		w, err := http.ReadResponse(r, nil)
		if err == nil && w.StatusCode == 100 {
			w, err = http.ReadResponse(r, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(w.Body); string(body) != want {
			t.Errorf("got %q, want %q", body, want)
		}
	}
}

func TestSlowRequestIsTimedOut(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	if got := s.exchangeRaw("POST /look HTTP/1.1\r\nHost:"); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("answer %q, want status 408", got)
	}
	s.expectService()
}

// A request that arrives in pieces is served although it takes longer in all than a client may be silent.
func TestRequestInPieces(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	conn := s.openConnection("")
	const text = "POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nbody"
	for i := 0; i < len(text); i += 20 {
		io.WriteString(conn, text[i:min(i+20, len(text))])
		time.Sleep(700 * time.Millisecond) // well below the 2 s that a client may be silent, and above them in all
	}
	s.nextPosting().settle("whole")
	if w, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || w.StatusCode != 200 {
		t.Errorf("answer %v, error %v, want status 200", w, err)
	}
}

// Thousands of connections that are silent or send half a head delay no txn, and the process stays within its limit on
// descriptors and half of its limit on memory.
func TestIdleConnectionsStayWithinLimits(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.descriptorLimit = 192
	s.start(workerList(1, true, s.startWorker("w1"), s.startWorker("w2")), map[string]any{
		"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 192}})
	process := &schedulerProcess{cmd: s.cmd}
	maxDescriptors, maxMemoryMB := 0, 0
	for i := range 2500 {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "POST /look HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 2000))
		}
		if i%50 == 0 {
			id := fmt.Sprint("r", i)
			c := s.sendRequest("/look", id, "Work-Hint", "1000")
			s.settleUntilAnswered(c, id)
			maxDescriptors, maxMemoryMB = max(maxDescriptors, process.descriptorCount()), max(maxMemoryMB, process.privateMemoryMB())
		}
	}
	t.Logf("at most %d of 192 descriptors and %d of 32 MB of memory", maxDescriptors, maxMemoryMB)
	if maxDescriptors > 192 || maxMemoryMB > 16 {
		t.Errorf("%d descriptors, want at most 192; %d MB of memory, want at most 16", maxDescriptors, maxMemoryMB)
	}
	s.waitUntilHealthy()
}

func TestClientDisconnectCancelsItsPosting(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n\r\n")
	p := s.nextPosting()
	p.sendNote("started", "")
	conn.Close()
	await(t, p.r.Context().Done(), "the close of the posting's connection")
	p.finish()
	s.expectService()
}

func TestExpiryIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	c := s.sendRequest("/buy", "r1", "Request-Timeout", "3000000u")
	p := s.nextPosting()
	p.sendNote("started", "")
	s.expectAnswer(c, 502, "")
	await(t, p.r.Context().Done(), "the close of the posting's connection")
	p.finish()
}

func TestListIsFollowed(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	oldWorker, newWorker := s.startWorker("w1"), s.startWorker("w2")
	s.publishList(2, workerList(2, true, oldWorker))
	s.start(workerList(1, true), nil) // it starts without any worker
	s.awaitListTaken(2)
	s.expectService()
	running := s.sendRequest("/look", "r1")
	p := s.nextPosting()
	p.sendNote("started", "") // so that this worker could take more, and has less to do than the other
	s.publishList(3, workerList(3, false, strings.Replace(oldWorker, "in_service", "terminating", 1), newWorker, `{"host":7}`,
		listEntry("w3", "nowhere", "in_service")))
	s.awaitListTaken(3)
	for i := range 8 {
		c := s.sendRequest("/look", fmt.Sprint("s", i))
		q := s.nextPosting()
		if q.worker != "w2" {
			t.Fatalf("posted to %s, want w2, since the other is draining", q.worker)
		}
		q.sendNote("started", "")
		defer func() {
			q.sendNote("done", `,"result":"ok"`)
			q.finish()
			s.expectAnswer(c, 200, "ok")
		}()
	}
	p.sendNote("done", `,"result":"finished"`) // the posting that the draining worker still had
	p.finish()
	s.expectAnswer(running, 200, "finished")
}

func TestDiscoveryDownOrMalformed(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.discoveryDown = true // discovery answers 503
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	s.awaitListTaken(1)
	s.expectService()
	s.publishList(2, []byte(`{"seq":"x"`))
	s.awaitListTaken(1)
	s.awaitListTaken(1)
	s.expectService()
	newWorker := s.startWorker("w2")
	s.publishList(3, workerList(3, true, newWorker))
	s.awaitListTaken(3)
	c := s.sendRequest("/look", "r1")
	p := s.nextPosting()
	if p.worker != "w2" {
		t.Errorf("posted to %s, want w2, since the list doesn't have the other any more", p.worker)
	}
	p.settle("ok")
	s.expectAnswer(c, 200, "ok")
}

// If discovery answers each long poll at once with no changes, the scheduler pauses between polls.
func TestEmptyWatchAnswersAreNotPolledWithoutPause(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	var last time.Time
	gaps := make(chan time.Duration, 1000)
	discovery := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if !last.IsZero() && r.URL.Query().Get("wait_ms") != "0" {
			gaps <- time.Since(last)
		}
		last = time.Now()
		w.Write(workerList(1, false))
	})
	s.start(workerList(1, true, s.startWorker("w1")), map[string]any{"discovery": discovery})
	await(t, gaps, "the watch's second call") // not checked: the first call only finds out whether the watch is on
	for range 3 {
		if gap := await(t, gaps, "the watch's next call"); gap < 30*time.Millisecond {
			t.Errorf("polled again after %v, want at least 30 ms", gap)
		}
	}
}

// A reload switches to another discovery at once, whatever version its list has; txns in flight are not affected, and an invalid
// file changes nothing. Formerly SIGHUP ended the program.
func TestReload(t *testing.T) {
	t.Parallel()
	s, other := newTestbed(t), newTestbed(t)
	oldWorker, newWorker := s.startWorker("w1"), s.startWorker("w2")
	s.publishList(40, workerList(40, true, oldWorker))
	other.publishList(7, workerList(7, true, newWorker))
	known := workerList(1, true, oldWorker)
	s.start(known, nil)
	s.awaitListTaken(40)
	c := s.sendRequest("/buy", "r1")
	p := s.nextPosting()
	p.sendNote("started", "")
	good, err := os.ReadFile(s.writeConfig(known, nil))
	if err != nil {
		t.Fatal(err)
	}
	for i, raw := range [][]byte{nil, good[:len(good)/2], []byte("{}")} {
		if i == 0 {
			s.reload(nil)
		} else {
			os.WriteFile(s.configPath, raw, 0o600)
			s.cmd.Process.Signal(syscall.SIGHUP)
		}
		s.waitForLogCount("msg=reload state=refused", i+1)
	}
	good, err = os.ReadFile(s.writeConfig(known, map[string]any{"discovery": serveHTTP(t, other.serveDiscovery),
		"seed": "2e", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 300}}))
	if err != nil {
		t.Fatal(err)
	}
	s.reload(good)
	s.waitForLogCount("state=taken", 1)
	s.waitForLogCount("kept=limits\n", 1)
	if after := await(t, other.listRequests, "a list request at the new discovery"); after != 0 {
		t.Errorf("the first request to the new discovery has after=%d, a version of the old one; want 0", after)
	}
	other.awaitListTaken(7)
	s.publishList(41, workerList(41, true, oldWorker)) // the scheduler doesn't ask the old discovery any more
	buy := s.sendRequest("/buy", "r2")
	q := s.nextPosting()
	if q.worker != "w2" {
		t.Errorf("posted to %s, want w2, the only worker in the new discovery's list", q.worker)
	}
	q.settle("by the new")
	s.expectAnswer(buy, 200, "by the new")
	p.sendNote("done", `,"result":"in flight"`)
	p.finish()
	s.expectAnswer(c, 200, "in flight")
	s.reload(good) // the same file again
	s.waitForLogCount("state=taken", 2)
	s.terminate()
	s.expectCleanExit()
}

// alteredSettings returns the settings after change was applied to a copy.
func alteredSettings(t *testing.T, change func(all map[string]any, schemes []map[string]any) []map[string]any) json.RawMessage {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(settingsJSON), &all); err != nil {
		t.Fatal(err)
	}
	var schemes []map[string]any
	for _, x := range all["schemes"].([]any) {
		schemes = append(schemes, x.(map[string]any))
	}
	all["schemes"] = change(all, schemes)
	raw, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Reloads add and remove schemes, change a scheme's effect and lower the limit on postings; open txns keep the settings under
// which they were accepted. An invalid file has no effect at all, its discovery address included, and the next valid one works.
func TestReloadOfChangedSettings(t *testing.T) {
	t.Parallel()
	s, other := newTestbed(t), newTestbed(t)
	known := workerList(1, true, s.startWorker("w1"), s.startWorker("w2"))
	s.publishList(1, known)
	s.start(known, nil)
	s.awaitListTaken(1)
	otherAddr := serveHTTP(t, other.serveDiscovery)
	config := func(more map[string]any) []byte {
		raw, err := os.ReadFile(s.writeConfig(known, more))
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	type rows = []map[string]any
	configWithNewScheme := func(change func(all map[string]any, schemes rows) rows) []byte {
		return config(map[string]any{"discovery": otherAddr, "settings": alteredSettings(t, func(all map[string]any, schemes rows) rows {
			return change(all, append(schemes, map[string]any{"name": "new", "effect": "retryable", "expiry": 1e7, "gain": 1,
				"sla_time": 1e6, "tardy_gain": 0}))
		})})
	}
	withNewScheme := configWithNewScheme(func(_ map[string]any, r rows) rows { return r })
	for i, raw := range [][]byte{nil, {}, withNewScheme[:len(withNewScheme)-20],
		configWithNewScheme(func(_ map[string]any, r rows) rows { delete(r[2], "sla_time"); return r }),
		configWithNewScheme(func(all map[string]any, r rows) rows { delete(all, "guarantees"); return r }),
		configWithNewScheme(func(all map[string]any, r rows) rows { delete(all["guarantees"].(map[string]any), "fall"); return r }),
		configWithNewScheme(func(_ map[string]any, r rows) rows { r[2]["name"] = "look"; return r }),
		configWithNewScheme(func(_ map[string]any, r rows) rows { r[1]["expiry"] = 0; return r }),
		configWithNewScheme(func(_ map[string]any, r rows) rows { r[1]["expiry"] = -5; return r }),
		configWithNewScheme(func(_ map[string]any, r rows) rows { r[1]["expiry"] = "soon"; return r }),
		configWithNewScheme(func(all map[string]any, r rows) rows {
			all["policy_limits"].(map[string]any)["max_postings"] = 0
			return r
		}),
		configWithNewScheme(func(all map[string]any, r rows) rows {
			all["policy_limits"].(map[string]any)["max_postings"] = -1
			return r
		}),
		configWithNewScheme(func(map[string]any, rows) rows { return nil }),
	} {
		s.reload(raw)
		s.waitForLogCount("msg=reload state=refused", i+1)
		s.expectAnswer(s.sendRequest("/new", fmt.Sprint("n", i)), 404, "")
	}
	if len(other.listRequests) > 0 {
		t.Error("the discovery address of an invalid file was called")
	}
	// look becomes once-only, buy is removed, new is added, and a txn may have one posting only.
	open, buys := s.sendRequest("/look", "r1"), s.sendRequest("/buy", "r2")
	first, second := s.nextPosting(), s.nextPosting()
	first.sendNote("started", "") // so that their workers take further postings
	second.sendNote("started", "")
	good := config(map[string]any{"settings": alteredSettings(t, func(all map[string]any, r rows) rows {
		all["policy_limits"].(map[string]any)["max_postings"] = 1
		r[0]["effect"], r[1] = "fragile", map[string]any{"name": "new", "effect": "retryable", "expiry": 1e7, "gain": 1,
			"sla_time": 9e6, "tardy_gain": 0.2}
		return r
	})})
	s.reload(good)
	s.cmd.Process.Signal(syscall.SIGHUP)       // two reload signals in a row
	s.waitForLog("schemes=look,new kept=none") // logged once or twice: pending signals may be merged
	s.expectAnswer(s.sendRequest("/buy", "r3"), 404, "")
	ofNewScheme := s.sendRequest("/new", "r4")
	s.settleUntilAnswered(ofNewScheme, "of the new")
	if first.id() != "r1" {
		first, second = second, first
	}
	first.sendNote("failed", "")
	first.finish() // it may have run; accepted as repeatable, r1 is posted again, beyond the new limit of one posting
	s.settleUntilAnswered(open, "again")
	second.sendNote("done", `,"result":"bought"`)
	second.finish()
	s.expectAnswer(buys, 200, "bought")
	once := s.sendRequest("/look", "r5")
	p := s.nextPosting()
	p.respond(500, "")
	s.expectAnswer(once, 502, "")
	// A reload during a drain is like any other.
	s.terminate()
	s.waitForLogCount("to=draining", 1)
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.expectCleanExit()
}

// SIGHUP may come before the program has read its configuration.
func TestReloadSignalDuringStart(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	known := workerList(1, true, s.startWorker("w1"))
	raw, err := os.ReadFile(s.writeConfig(known, nil))
	if err != nil {
		t.Fatal(err)
	}
	s.configPath = filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(s.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	write := func(then func()) {
		f, err := os.OpenFile(s.configPath, os.O_WRONLY, 0) // blocks until the program opens the FIFO for reading
		if err != nil {
			t.Error(err)
			return
		}
		defer f.Close()
		then()
		f.Write(raw)
	}
	go write(func() { syscall.Kill(<-s.startedPID, syscall.SIGHUP) })
	s.start(nil, nil)
	write(func() {})
	s.waitForLogCount("state=taken", 1)
	s.expectService()
}

func TestFailedWorkerIsProbed(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	c := s.sendRequest("/look", "r1")
	s.nextPosting().sendRawAndClose("")
	await(t, s.probes, "a probe")
	s.settleUntilAnswered(c, "after the probe")
}

func TestPeers(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	c := s.sendRequest("/look", "r1")
	p := s.nextPosting()
	s.peer.SetReadDeadline(time.Now().Add(testTimeout))
	buf := make([]byte, 1000)
	n, to, err := s.peer.ReadFromUDP(buf)
	for ; err == nil && n == 0; n, to, err = s.peer.ReadFromUDP(buf) { // the first may be empty, sent while nothing was in flight
	}
	if err != nil || n > 256 {
		t.Fatalf("datagram of %d bytes, error %v, want at most 256 bytes", n, err)
	}
	stranger, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	for _, body := range [][]byte{nil, {1}, make([]byte, 300), buf[:n]} {
		s.peer.WriteToUDP(body, to)
		stranger.Write(body)
	}
	p.settle("ok")
	s.expectAnswer(c, 200, "ok")
	s.expectService()
}

// Connections that are silent, send useless requests and stay open, or send half a head don't keep ordinary clients out: the
// ones that were open longest are closed. Formerly they held all descriptors, and ordinary clients were refused.
func TestIdleClientsDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.descriptorLimit = 64
	s.start(workerList(1, true, s.startWorker("w1")), map[string]any{"limits": map[string]any{"sockets": 64}})
	kept := s.openConnection("POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n\r\n")
	p := s.nextPosting()
	p.sendNote("started", "")
	for _, text := range []string{"", "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /other HTTP/1.1\r\nHost: a\r\n\r\n", "POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: r2\r\n"} {
		for range 100 {
			s.openConnection(text)
		}
		s.expectService()
	}
	p.sendNote("done", `,"result":"undisturbed"`)
	p.finish()
	if w, err := http.ReadResponse(bufio.NewReader(kept), nil); err != nil || w.StatusCode != 200 {
		t.Errorf("the txn in flight: answer %v, error %v, want status 200", w, err)
	}
}

// Idle connections are closed: one that was silent from the start, and one that stays open after an answer.
func TestSilentConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	for _, text := range []string{"", "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"} {
		if got := s.exchangeRaw(text); (got == "") != (text == "") {
			t.Errorf("sent %q: received %q before the close, want an answer only if a request was sent", text, got)
		}
	}
	s.expectService()
}

// At the limit on clients a further one gets 503 at once, and is served once one of the others has its answer. However many
// connect, the process never runs out of descriptors, which would end its event loop.
func TestBoundOnClients(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.descriptorLimit = 64
	s.start(workerList(1, true, s.startWorker("w1")), map[string]any{"limits": map[string]any{"sockets": 64}})
	var conns []net.Conn
	for i := range 5 {
		conns = append(conns, s.openConnection(fmt.Sprintf("POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: r%d\r\n\r\n", i)))
	}
	if w, err := http.ReadResponse(bufio.NewReader(conns[4]), nil); err != nil || w.StatusCode != 503 {
		t.Fatalf("the client beyond the limit: answer %v, error %v, want status 503", w, err)
	}
	for i := range 4 {
		p := s.nextPosting()
		p.settle("ok")
		w, err := http.ReadResponse(bufio.NewReader(conns[p.id()[1]-'0']), nil)
		if err != nil || w.StatusCode != 200 {
			t.Fatalf("posting %d: answer %v, error %v, want status 200", i, w, err)
		}
	}
	s.expectService()
	for i := range 100 {
		conns = append(conns, s.openConnection(fmt.Sprintf("POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: s%d\r\n\r\n", i)))
	}
	if _, err := conns[len(conns)-1].Read(make([]byte, 1)); err != nil && os.IsTimeout(err) {
		t.Errorf("the last client was neither answered nor closed within %v: %v", testTimeout, err)
	}
	for _, conn := range conns {
		conn.Close()
	}
	s.waitUntilHealthy()
}

// Idle keep-alive clients fill the descriptors while nothing listens at discovery's address, and RLIMIT_NOFILE is lower than the
// configured number: the scheduler still connects to discovery and serves new clients. Formerly the event loop ended at
// RLIMIT_NOFILE.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.descriptorLimit = 96
	fd, addr := boundSocket(t)
	s.start(workerList(1, true, s.startWorker("w1")), map[string]any{"discovery": addr})
	s.waitUntilHealthy()
	for i := range 150 {
		c := s.openConnection(fmt.Sprintf("POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: i%d\r\nWork-Hint: 1000\r\n\r\n", i))
		answered := make(chan error, 1)
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			answered <- err
		}()
		for done := false; !done; {
			select {
			case p := <-s.postings:
				p.settle("ok")
			case err := <-answered:
				if done = true; err != nil {
					t.Fatalf("client %d got no answer: %v", i, err)
				}
			}
		}
	}
	wait := syscall.NsecToTimeval(testTimeout.Nanoseconds())
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &wait); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 16); err != nil {
		t.Fatal(err)
	}
	nfd, _, err := syscall.Accept(fd)
	for err == syscall.EINTR { // Linux does not restart accept on a socket with SO_RCVTIMEO
		nfd, _, err = syscall.Accept(fd)
	}
	if err != nil {
		t.Errorf("the scheduler did not connect to discovery within %v: %v", testTimeout, err)
	} else {
		syscall.Close(nfd)
	}
	s.expectService()
}

func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1"), s.startWorker("w2"), s.startWorker("w3")), nil)
	answers, postings := map[string]chan answer{}, map[string]*posting{}
	for id, target := range map[string]string{"out": "/look", "stuck": "/look", "bought": "/buy"} {
		answers[id] = s.sendRequest(target, id)
		postings[id] = s.nextPosting()
		postings[id].sendNote("started", "")
	}
	kept := s.openConnection("POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: k1\r\nWork-Hint: 1000\r\n\r\n")
	s.nextPosting().settle("before")
	s.terminate()
	for { // connections made after the signal are accepted, and all their requests answered
		w, err := http.Get("http://" + s.addr + "/_health")
		if err != nil {
			t.Fatal(err)
		}
		if w.Body.Close(); w.StatusCode == 503 {
			break
		}
	}
	s.expectAnswer(s.sendRequest("/look", "huge", "Work-Hint", "60000000"), 503, "") // can't be done before the process ends
	late := s.sendRequest("/look", "late", "Work-Hint", "1000")
	s.settleUntilAnswered(late, "in time")
	// A client may go on using its connection during the drain: the next scheduler may be down too.
	io.WriteString(kept, "POST /look HTTP/1.1\r\nHost: a\r\nRequest-Id: k2\r\nWork-Hint: 1000\r\n\r\n")
	s.nextPosting().settle("after")
	for r := bufio.NewReader(kept); ; {
		w, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(w.Body); string(body) == "after" {
			break
		}
	}
	postings["out"].sendNote("done", `,"result":"finished"`)
	postings["out"].finish()
	s.expectAnswer(answers["out"], 200, "finished")
	s.expectAnswer(answers["stuck"], 503, "")
	s.expectAnswer(answers["bought"], 502, "") // once-only, and may have run
	s.expectCleanExit()
	postings["stuck"].finish()
	postings["bought"].finish()
	if len(s.postings) > 0 {
		t.Errorf("%s was posted again during the shutdown", s.nextPosting().id())
	}
}

// After SIGKILL a new process starts at the same address, on which connections were open, without any state of the old one.
func TestStartAfterKill(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	pid := os.Getpid()
	// An address of this process alone, so that no other test takes it between the two starts.
	listen := map[string]any{"listen": fmt.Sprintf("127.77.%d.%d:15000", pid>>8&255, pid&255)}
	known := workerList(1, true, s.startWorker("w1"))
	s.start(known, listen)
	c := s.sendRequest("/look", "r1")
	p := s.nextPosting()
	s.cmd.Process.Kill()
	if err := await(t, s.exit, "the exit of the program"); err == nil {
		t.Error("the program exited with status 0, want it killed")
	}
	if a := await(t, c, "the close of the client's connection"); a.err == nil {
		t.Errorf("the client got status %d from a killed process, want an error", a.status)
	}
	p.finish()
	s.start(known, listen)
	s.expectService()
}

func TestIdleStopIsClean(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	s.expectService()
	s.terminate()
	s.expectCleanExit()
}

func TestBadConfiguration(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for want, more := range map[string]map[string]any{
		"name is missing":                   {"name": ""},
		"listen":                            {"listen": "here"},
		"address already in use":            {"listen": taken.Addr().String()},
		"discovery":                         {"discovery": ""},
		"peers_all":                         {"peers_all": "x"},
		"peers[1]":                          {"peers": []string{"127.0.0.1:1", "y"}},
		"peers: there are 1":                {"peers": []string{"127.0.0.1:1"}},
		"seed":                              {"seed": "xyz"},
		"sockets is 10":                     {"limits": map[string]int{"sockets": 10}},
		"settings: schemes is missing":      {"settings": map[string]any{}},
		"cannot unmarshal":                  {"limits": 7},
		"schemes[0]: name is missing or re": {"settings": map[string]any{"schemes": []any{map[string]int{"expiry": 1}}}},
		"mgmt":                              {"mgmt": "here"},
		"schemes[0].expiry: 0":              {"settings": map[string]any{"schemes": []any{map[string]string{"name": "s"}}}},
		"policy_limits.max_postings: 0": {"settings": map[string]any{"policy_limits": map[string]int{"max_postings": 0},
			"schemes": []any{map[string]any{"name": "s", "expiry": 1}}}},
	} {
		out, err := program("serve", "--config", s.writeConfig(workerList(1, true), more)).CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("got error %v, output %q, want an error and one line with %q", err, out, want)
		}
	}
	good := s.writeConfig(workerList(1, true), nil)
	few := program("serve", "--config", good)
	few.Path, few.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf("ulimit -n 40; exec %s serve --config %s", os.Args[0], good)}
	if out, err := few.CombinedOutput(); err == nil || !strings.Contains(string(out), "limits: the system lets") ||
		strings.Count(string(out), "\n") != 1 {
		t.Errorf("with 40 descriptors: error %v, output %q, want an error and one line on limits", err, out)
	}
	if out, err := program("check", "--config", good).CombinedOutput(); err != nil {
		t.Errorf("check of a valid file: %v: %s", err, out)
	}
	if out, err := program("serve", "--config", good+"x").CombinedOutput(); err == nil {
		t.Errorf("serve without a file exited with status 0, output %q", out)
	}
}
