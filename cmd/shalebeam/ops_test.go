package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
)

var mgmtAddrPattern = regexp.MustCompile(`msg=listening .*mgmt_addr=(\S+)`)

// startWithMgmt starts the program with a management address, and returns that.
func (s *testbed) startWithMgmt(known []byte, more map[string]any) string {
	s.t.Helper()
	if more == nil {
		more = map[string]any{}
	}
	more["mgmt"] = "127.0.0.2:0"
	s.start(known, more)
	s.mu.Lock()
	defer s.mu.Unlock()
	return mgmtAddrPattern.FindStringSubmatch(s.log.String())[1]
}

// callOps makes one management call, sent in pieces, and returns the status of the answer.
func callOps(t *testing.T, addr string, pieces ...string) (status int) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	for _, p := range pieces {
		io.WriteString(conn, p)
	}
	all, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("read error after %q was received: %v", all, err)
	}
	fmt.Sscanf(string(all), "HTTP/1.1 %d ", &status)
	return status
}

// postText is the text of a POST request.
func postText(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func TestManagementAddress(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	addr := s.startWithMgmt(workerList(1, true, s.startWorker("w1")), nil)
	const ready = "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n"
	for i, c := range []struct {
		call string
		want int
	}{
		{ready, 200},
		{strings.Replace(ready, "GET", "POST", 1), 405},
		{strings.Replace(ready, "readiness", "other", 1), 404},
		{postText("/look", "x"), 404}, // clients' requests are not served at this address
		{postText("/ops/workers/down", "w1"), 200},
		{postText("/ops/workers/down", "w1"), 200},
		{postText("/ops/workers/up", "w1"), 200},
		{postText("/ops/workers/up", "w1"), 200}, // listed, and not out
		{postText("/ops/workers/down", "w9"), 404},
		{postText("/ops/workers/up", "w9"), 404},
		{postText("/ops/workers/down", ""), 400},
		{postText("/ops/workers/down", strings.Repeat("w", 300)), 413},
		{strings.Replace(postText("/ops/workers/down", "w1"), "POST", "GET", 1), 405},
		{"nonsense\r\n\r\n", 400},
		{"GET /ops/readiness HTTP/1.1\n\n", 400},
	} {
		if got := callOps(t, addr, c.call); got != c.want {
			t.Errorf("case %d, %.50q: got status %d, want %d", i, c.call, got, c.want)
		}
	}
	// A call that arrives one byte at a time is the same call.
	if got := callOps(t, addr, strings.Split(postText("/ops/workers/down", "w1"), "")...); got != 200 {
		t.Errorf("sent byte by byte: got status %d, want 200", got)
	}
	// Callers that don't complete their requests keep no others out, however many they are.
	for range 40 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "GET /ops/rea")
		if got := callOps(t, addr, ready); got != 200 {
			t.Fatalf("beside incomplete requests: got status %d, want 200", got)
		}
	}
	// Management calls are not served at the clients' address.
	if got := callOps(t, s.addr, ready); got != 404 {
		t.Errorf("at the clients' address: got status %d, want 404", got)
	}
	s.terminate()
	s.expectCleanExit()
}

// Once the call that takes a worker out is answered 200, no new posting goes to it: neither of a queued txn nor on a connection
// that was being made, whatever discovery's list says. A posting that it already has ends as usual.
func TestWorkerTakenOut(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	w1 := s.startWorker("w1")
	s.publishList(1, workerList(1, true, w1))
	addr := s.startWithMgmt(workerList(1, true, w1), nil)
	s.awaitListTaken(1)
	running := s.sendRequest("/look", "r1")
	p := s.nextPosting()
	p.sendNote("started", "")
	if got := callOps(t, addr, postText("/ops/workers/down", "w1")); got != 200 {
		t.Fatalf("taking w1 out: got status %d, want 200", got)
	}
	waiting := s.sendRequest("/look", "r2", "Work-Hint", "100000") // small enough for a cold worker
	s.publishList(2, workerList(2, true))                          // w1 is not listed any more
	s.awaitListTaken(2)
	if got := callOps(t, addr, postText("/ops/workers/down", "w1")); got != 200 {
		t.Errorf("taking w1 out again, which is out and not listed: got status %d, want 200", got)
	}
	s.publishList(3, workerList(3, true, w1))
	s.awaitListTaken(3)
	p.sendNote("done", `,"result":"fine"`)
	p.finish()
	s.expectAnswer(running, 200, "fine")
	s.waitForLogCount("out=true", 1)
	select {
	case q := <-s.postings:
		t.Fatalf("%s was posted to a worker that is out", q.id())
	default:
	}
	if got := callOps(t, addr, postText("/ops/workers/up", "w1")); got != 200 {
		t.Fatalf("putting w1 back: got status %d, want 200", got)
	}
	s.settleUntilAnswered(waiting, "after")
	if got := callOps(t, addr, postText("/ops/workers/down", "w2")); got != 404 {
		t.Errorf("taking an unknown worker out: got status %d, want 404", got)
	}
	s.terminate()
	s.expectCleanExit()
}

// Without the configuration key mgmt and the environment variable BALANCER_MGMT there is no management listener.
func TestNoManagementAddress(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true), nil)
	s.waitForLogCount("mgmt_addr=\n", 1)
	s.terminate()
	s.expectCleanExit()
}
