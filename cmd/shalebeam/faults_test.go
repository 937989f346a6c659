package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/lab/sysfault"
)

// Each case makes system calls of a running process fail transiently. Requests that are open then and those that come meanwhile
// get their answers, and the process goes on serving.
func TestServesWhileSystemCallsFail(t *testing.T) {
	t.Parallel()
	for name, rule := range map[string]sysfault.Rule{
		"accept EMFILE":         {Call: sysfault.Accept, Errno: unix.EMFILE, Limit: 20},
		"accept ENFILE":         {Call: sysfault.Accept, Errno: unix.ENFILE, Limit: 20},
		"accept ENOBUFS":        {Call: sysfault.Accept, Errno: unix.ENOBUFS, Limit: 20},
		"accept ENOMEM":         {Call: sysfault.Accept, Errno: unix.ENOMEM, Limit: 20},
		"accept EPROTO":         {Call: sysfault.Accept, Errno: unix.EPROTO, Limit: 20},
		"accept EPERM":          {Call: sysfault.Accept, Errno: unix.EPERM, Limit: 20},
		"accept ENETDOWN":       {Call: sysfault.Accept, Errno: unix.ENETDOWN, Limit: 20},
		"accept ECONNABORTED":   {Call: sysfault.Accept, Errno: unix.ECONNABORTED, Limit: 20},
		"accept EINTR":          {Call: sysfault.Accept, Errno: unix.EINTR, Limit: 20},
		"read EINTR":            {Call: sysfault.Read, Kind: sysfault.Sockets, Errno: unix.EINTR, Every: 2, Limit: 50},
		"read ENOMEM":           {Call: sysfault.Read, Kind: sysfault.Sockets, Errno: unix.ENOMEM, Every: 2, Limit: 50},
		"read short":            {Call: sysfault.Read, Kind: sysfault.Sockets, Short: 7},
		"write EINTR":           {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.EINTR, Every: 2, Limit: 50},
		"write ENOBUFS":         {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.ENOBUFS, Every: 2, Limit: 50},
		"write ENOMEM":          {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.ENOMEM, Every: 2, Limit: 50},
		"write EAGAIN":          {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.EAGAIN, Every: 2, Limit: 50},
		"write short":           {Call: sysfault.Write, Kind: sysfault.Sockets, Short: 7},
		"wake-up EINTR":         {Call: sysfault.Write, Kind: sysfault.EventFDs, Errno: unix.EINTR, Limit: 3},
		"epoll_ctl ENOMEM":      {Call: sysfault.EpollCtl, Errno: unix.ENOMEM, Every: 2, Limit: 20},
		"epoll_ctl ENOSPC":      {Call: sysfault.EpollCtl, Errno: unix.ENOSPC, Every: 2, Limit: 20},
		"poll EINTR":            {Call: sysfault.Poll, Errno: unix.EINTR, Every: 2, Limit: 20},
		"socket ENFILE":         {Call: sysfault.Socket, Errno: unix.ENFILE, Limit: 8},
		"socket ENOBUFS":        {Call: sysfault.Socket, Errno: unix.ENOBUFS, Limit: 8},
		"connect EINTR":         {Call: sysfault.Connect, Errno: unix.EINTR, Every: 2, Limit: 20},
		"connect EADDRNOTAVAIL": {Call: sysfault.Connect, Errno: unix.EADDRNOTAVAIL, Limit: 8},
		"connect ENETUNREACH":   {Call: sysfault.Connect, Errno: unix.ENETUNREACH, Limit: 8},
		"connect ENOBUFS":       {Call: sysfault.Connect, Errno: unix.ENOBUFS, Limit: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runUnderFault(t, rule)
		})
	}
}

// runUnderFault has requests open before, during and after a fault, on keep-alive connections and on new ones.
func runUnderFault(t *testing.T, rule sysfault.Rule) {
	s := newTestbed(t)
	s.tracedCalls = []sysfault.Call{rule.Call}
	s.start(workerList(1, true, s.startWorker("w1"), s.startWorker("w2")), nil)
	s.waitUntilHealthy()
	idle := s.openKeptConnection()
	idle.sendRequest("/look", "rest0")
	s.nextPosting().settle("rest0")
	idle.expectAnswer(200, "rest0")

	busy := s.openKeptConnection()
	busy.sendRequest("/buy", "open")
	openPosting := s.nextPosting()
	s.faults.Set(rule)
	answering := make(chan struct{})
	go func() {
		defer close(answering)
		for {
			select {
			case c := <-s.postings:
				c.settle(c.id())
			case <-t.Context().Done():
				return
			}
		}
	}()
	var newRequests []chan answer
	s.cmd.Process.Signal(unix.SIGHUP) // wakes the event loop from another thread
	for i := range 8 {
		idle.sendRequest("/look", fmt.Sprint("rest", i+1))
		idle.expectAnswer(200, fmt.Sprint("rest", i+1))
		scheme := []string{"/look", "/buy"}[i%2]
		newRequests = append(newRequests, s.sendRequest(scheme, fmt.Sprint("new", i)))
		time.Sleep(10 * time.Millisecond)
	}
	for i, c := range newRequests {
		s.expectAnswer(c, 200, fmt.Sprint("new", i))
	}
	openPosting.settle("open")
	busy.expectAnswer(200, "open")
	if s.faults.Applied() == 0 {
		t.Error("no system call failed, so the fault was not tested")
	}
	s.faults.Set()
	s.expectAnswer(s.sendRequest("/look", "after"), 200, "after")
	for _, c := range []*keptConnection{idle, busy} {
		c.conn.Close()
	}
	s.terminate()
	s.expectCleanExit()
}

// A process starts although system calls that its start needs fail transiently.
func TestStartsWhileSystemCallsFail(t *testing.T) {
	t.Parallel()
	for name, rule := range map[string]sysfault.Rule{
		"socket ENFILE":  {Call: sysfault.Socket, Errno: unix.ENFILE, Limit: 20},
		"socket ENOBUFS": {Call: sysfault.Socket, Errno: unix.ENOBUFS, Limit: 20},
		"dup EMFILE":     {Call: sysfault.DupFD, Errno: unix.EMFILE, Limit: 5},
		// Sockets only: failing for the Go runtime's own descriptors, it would end any Go program before main.
		"epoll_ctl ENOMEM":       {Call: sysfault.EpollCtl, Kind: sysfault.Sockets, Errno: unix.ENOMEM, Limit: 5},
		"configuration ENFILE":   {Call: sysfault.Open, Path: "config.json", Errno: unix.ENFILE, Limit: 20},
		"configuration EIO":      {Call: sysfault.Open, Path: "config.json", Errno: unix.EIO, Limit: 20},
		"configuration read EIO": {Call: sysfault.Read, Kind: sysfault.Files, Path: "config.json", Errno: unix.EIO, Limit: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t)
			s.tracedCalls, s.startFaults = []sysfault.Call{rule.Call}, []sysfault.Rule{rule}
			s.start(workerList(1, true, s.startWorker("w1")), nil)
			s.waitUntilHealthy()
			s.expectService()
			if s.faults.Applied() == 0 {
				t.Error("no system call failed, so the fault was not tested")
			}
			s.terminate()
			s.expectCleanExit()
		})
	}
}

// If reading the configuration fails transiently after SIGHUP, it is read once that is possible: the reload is not dropped.
func TestReloadsWhileTheFileCannotBeRead(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.tracedCalls = []sysfault.Call{sysfault.Open}
	s.start(workerList(1, true, s.startWorker("w1")), nil)
	s.waitUntilHealthy()
	raw, err := os.ReadFile(s.configPath)
	if err != nil {
		t.Fatal(err)
	}
	s.faults.Set(sysfault.Rule{Call: sysfault.Open, Path: "config.json", Errno: unix.EIO, Limit: 30})
	s.reload([]byte(strings.ReplaceAll(string(raw), `"look"`, `"see"`)))
	s.waitForLog("msg=reload state=taken")
	s.expectAnswer(s.sendRequest("/look", "old"), 404, "")
	c := s.sendRequest("/see", "new")
	s.nextPosting().settle("new")
	s.expectAnswer(c, 200, "new")
}

// Which workers are out is stored in a file. A call whose change can't be written there is answered 503 and changes nothing; a
// file that can't be read is not overwritten.
func TestOutWorkersArePersistedDespiteDiskFailures(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.tracedCalls = []sysfault.Call{sysfault.Open, sysfault.Write, sysfault.Rename}
	addr := s.startWithMgmt(workerList(1, true, s.startWorker("w1"), s.startWorker("w2"), s.startWorker("w3")),
		map[string]any{"listen": freeAddress(t)})
	if got := callOps(t, addr, postText("/ops/workers/down", "w1")); got != 200 {
		t.Fatalf("taking w1 out: got status %d, want 200", got)
	}
	for name, rule := range map[string]sysfault.Rule{
		"no space for a file":   {Call: sysfault.Open, Path: ".out.new", Errno: unix.ENOSPC},
		"no space for bytes":    {Call: sysfault.Write, Kind: sysfault.Files, Path: ".out.new", Errno: unix.ENOSPC},
		"bytes are not written": {Call: sysfault.Write, Kind: sysfault.Files, Path: ".out.new", Errno: unix.EIO},
		"it is not renamed":     {Call: sysfault.Rename, Path: ".out.new", Errno: unix.EIO},
		"it is not read":        {Call: sysfault.Open, Path: ".out", Errno: unix.EIO},
		"no descriptor":         {Call: sysfault.Open, Path: ".out", Errno: unix.EMFILE},
	} {
		s.faults.Set(rule)
		if got := callOps(t, addr, postText("/ops/workers/down", "w2")); got != 503 {
			t.Errorf("%s: taking w2 out: got status %d, want 503", name, got)
		}
		if s.faults.Applied() == 0 {
			t.Errorf("%s: no system call failed, so the fault was not tested", name)
		}
	}
	s.faults.Set()
	if got := callOps(t, addr, postText("/ops/workers/down", "w3")); got != 200 {
		t.Errorf("taking w3 out: got status %d, want 200", got)
	}
	for i := range 4 {
		c := s.sendRequest("/look", fmt.Sprint("r", i))
		if to := s.settleUntilAnswered(c, "ok"); !slices.Equal(to, []string{"w2"}) {
			t.Errorf("posted to %v, want w2 alone", to)
		}
	}
	files, err := filepath.Glob(filepath.Join(s.tmpDir, "*.out"))
	if err != nil || len(files) != 1 {
		t.Fatalf("files of workers that are out: %v, error %v, want one file", files, err)
	}
	raw, err := os.ReadFile(files[0])
	if text := string(raw); err != nil || !strings.Contains(text, `"w1"`) || !strings.Contains(text, `"w3"`) ||
		strings.Contains(text, `"w2"`) {
		t.Errorf("stored are %s, error %v, want w1 and w3", raw, err)
	}
}

// A management call gets its complete answer, also if the kernel takes it piece by piece; here it is the metrics, which count the
// one request that was done.
func TestManagementAnswersAreComplete(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.tracedCalls = []sysfault.Call{sysfault.Write}
	addr := s.startWithMgmt(workerList(1, true, s.startWorker("w1")), nil)
	s.waitUntilHealthy()
	s.expectService()
	s.faults.Set(sysfault.Rule{Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.EINTR, Every: 2},
		sysfault.Rule{Call: sysfault.Write, Kind: sysfault.Sockets, Short: 100})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, "GET /ops/metrics HTTP/1.1\r\nHost: h\r\n\r\n")
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(w.Body)
	if err != nil || !strings.HasSuffix(string(text), "# EOF\n") ||
		!strings.Contains(string(text), "shalebeam_requests_total{result=\"done\"} 1\n") {
		t.Errorf("error %v, want one request done and a last line # EOF in:\n%s", err, text)
	}
}

// Lowering RLIMIT_NOFILE of a running process has the kernel itself fail accept, socket and dup.
func TestServesWhileDescriptorsAreShort(t *testing.T) {
	t.Parallel()
	s := newTestbed(t)
	s.start(workerList(1, true, s.startWorker("w1"), s.startWorker("w2")), nil)
	s.waitUntilHealthy()
	busy := s.openKeptConnection()
	busy.sendRequest("/buy", "open")
	openPosting := s.nextPosting()
	var before unix.Rlimit
	if err := unix.Prlimit(s.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(s.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 4, Max: before.Max}, nil); err != nil {
		t.Fatal(err)
	}
	var newRequests []chan answer
	for i := range 8 {
		newRequests = append(newRequests, s.sendRequest("/look", fmt.Sprint("new", i)))
	}
	time.Sleep(300 * time.Millisecond)
	if err := unix.Prlimit(s.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	for got := 0; got < len(newRequests); {
		select {
		case c := <-s.postings:
			c.settle("ok")
		case a := <-newRequests[got]:
			if a.err != nil || a.status != 200 {
				t.Errorf("new%d got status %d, error %v, want 200", got, a.status, a.err)
			}
			got++
		case <-time.After(testTimeout):
			t.Fatalf("no answer for new%d within %v", got, testTimeout)
		}
	}
	openPosting.settle("open")
	busy.expectAnswer(200, "open")
	busy.conn.Close()
	s.terminate()
	s.expectCleanExit()
}

// If RLIMIT_NOFILE is low for a moment, just when a process computes its bound on clients, the bound is not low for good.
func TestClientBoundRecoversAfterDescriptorLimit(t *testing.T) {
	t.Parallel()
	h := newUpgradeTestbed(t)
	first := h.startProcess()
	second := h.startProcess()
	h.waitForLogCount("company others=1", 2)
	var before unix.Rlimit
	if err := unix.Prlimit(first.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	low := unix.Rlimit{Cur: 5, Max: before.Max}
	if err := unix.Prlimit(first.cmd.Process.Pid, unix.RLIMIT_NOFILE, &low, nil); err != nil {
		t.Fatal(err)
	}
	second.cmd.Process.Kill()
	<-second.exit
	h.waitForLogCount("company others=0", 1)
	time.Sleep(200 * time.Millisecond)
	if err := unix.Prlimit(first.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	h.startClients(40)
	time.Sleep(500 * time.Millisecond)
	close(h.stopClients)
	h.clientsRunning.Wait()
	if h.answered.Load() < 100 || h.lostAnswers.Load()+h.refusedConnections.Load() > 0 {
		t.Errorf("answered %d, want at least 100; lost %d, refused, reset or unread %d, want 0; last failure: %v",
			h.answered.Load(), h.lostAnswers.Load(), h.refusedConnections.Load(),
			h.lastFailure.Load())
	}
}

// Connections that are handed over to a process that may not open another descriptor just then wait until it may. Formerly they
// were lost.
func TestConnectionHandoverWhileDescriptorsAreShort(t *testing.T) {
	t.Parallel()
	h := newUpgradeTestbed(t)
	oldProcess := h.startProcess()
	h.startClients(12)
	longTxn := h.sendOnceOnly("long", 1500)
	newProcess := h.startProcess()
	var before unix.Rlimit
	if err := unix.Prlimit(newProcess.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	// One descriptor is for the handover socket, a few are for connections.
	low := unix.Rlimit{Cur: newProcess.descriptorLimitFor(4), Max: before.Max}
	if err := unix.Prlimit(newProcess.cmd.Process.Pid, unix.RLIMIT_NOFILE, &low, nil); err != nil {
		t.Fatal(err)
	}
	oldProcess.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if err := unix.Prlimit(newProcess.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	if err := await(t, longTxn, "the answer of a long request"); err != nil {
		t.Error(err)
	}
	if err := await(t, oldProcess.exit, "the exit of the old process"); err != nil {
		t.Error(err)
	}
	close(h.stopClients)
	h.clientsRunning.Wait()
	if h.answered.Load() < 50 || h.lostAnswers.Load()+h.refusedConnections.Load() > 0 {
		t.Errorf("answered %d, want at least 50; lost %d, refused, reset or unread %d, want 0; last failure: %v",
			h.answered.Load(), h.lostAnswers.Load(), h.refusedConnections.Load(),
			h.lastFailure.Load())
	}
}

// descriptorLimitFor is the RLIMIT_NOFILE with which the process may open more further descriptors.
func (p *schedulerProcess) descriptorLimitFor(more int) (limit uint64) {
	for ; more >= 0; limit++ {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", p.cmd.Process.Pid, limit)); err != nil {
			more--
		}
	}
	return limit - 1
}

// waitForLogCount waits until the processes' log has text at least n times.
func (h *upgradeTestbed) waitForLogCount(text string, n int) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); strings.Count(h.log.String(), text) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("the log has %q %d times after %v, want %d", text, strings.Count(h.log.String(), text), testTimeout, n)
		}
	}
}

// keptConnection is a client's keep-alive connection.
type keptConnection struct {
	testbed *testbed
	conn    net.Conn
	reader  *bufio.Reader
}

// openKeptConnection opens a keep-alive connection to the scheduler.
func (s *testbed) openKeptConnection() *keptConnection {
	s.t.Helper()
	c := s.openConnection("")
	return &keptConnection{s, c, bufio.NewReader(c)}
}

// sendRequest sends a txn with this request id.
func (k *keptConnection) sendRequest(target, id string) {
	k.testbed.t.Helper()
	_, err := fmt.Fprintf(k.conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: 20000m\r\n"+
		"Work-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody", target, id)
	if err != nil {
		k.testbed.t.Errorf("%s could not be sent: %v", id, err)
	}
}

// expectAnswer reads an answer and checks its status and that its body contains body.
func (k *keptConnection) expectAnswer(status int, body string) {
	k.testbed.t.Helper()
	w, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.testbed.t.Fatalf("no answer for %s: %v", body, err)
	}
	got, err := io.ReadAll(w.Body)
	if err != nil || w.StatusCode != status || !strings.Contains(string(got), body) {
		k.testbed.t.Errorf("got status %d, body %q, error %v, want %d, %q", w.StatusCode, got, err, status, body)
	}
}
