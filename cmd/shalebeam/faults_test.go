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

// Each case makes system calls of a running process fail for a moment. Requests that are open then and those that come
// meanwhile get their answers, and the process serves on.
func TestServesWhileSystemCallsFail(t *testing.T) {
	t.Parallel()
	for name, rule := range map[string]sysfault.Rule{
		"accept EMFILE":         {Call: sysfault.Accept, Errno: unix.EMFILE, Most: 20},
		"accept ENFILE":         {Call: sysfault.Accept, Errno: unix.ENFILE, Most: 20},
		"accept ENOBUFS":        {Call: sysfault.Accept, Errno: unix.ENOBUFS, Most: 20},
		"accept ENOMEM":         {Call: sysfault.Accept, Errno: unix.ENOMEM, Most: 20},
		"accept EPROTO":         {Call: sysfault.Accept, Errno: unix.EPROTO, Most: 20},
		"accept EPERM":          {Call: sysfault.Accept, Errno: unix.EPERM, Most: 20},
		"accept ENETDOWN":       {Call: sysfault.Accept, Errno: unix.ENETDOWN, Most: 20},
		"accept ECONNABORTED":   {Call: sysfault.Accept, Errno: unix.ECONNABORTED, Most: 20},
		"accept EINTR":          {Call: sysfault.Accept, Errno: unix.EINTR, Most: 20},
		"read EINTR":            {Call: sysfault.Read, Kind: sysfault.Sockets, Errno: unix.EINTR, Every: 2, Most: 50},
		"read ENOMEM":           {Call: sysfault.Read, Kind: sysfault.Sockets, Errno: unix.ENOMEM, Every: 2, Most: 50},
		"read short":            {Call: sysfault.Read, Kind: sysfault.Sockets, Short: 7},
		"write EINTR":           {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.EINTR, Every: 2, Most: 50},
		"write ENOBUFS":         {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.ENOBUFS, Every: 2, Most: 50},
		"write ENOMEM":          {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.ENOMEM, Every: 2, Most: 50},
		"write EAGAIN":          {Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.EAGAIN, Every: 2, Most: 50},
		"write short":           {Call: sysfault.Write, Kind: sysfault.Sockets, Short: 7},
		"wake-up EINTR":         {Call: sysfault.Write, Kind: sysfault.EventFDs, Errno: unix.EINTR, Most: 3},
		"epoll_ctl ENOMEM":      {Call: sysfault.EpollCtl, Errno: unix.ENOMEM, Every: 2, Most: 20},
		"epoll_ctl ENOSPC":      {Call: sysfault.EpollCtl, Errno: unix.ENOSPC, Every: 2, Most: 20},
		"poll EINTR":            {Call: sysfault.Poll, Errno: unix.EINTR, Every: 2, Most: 20},
		"socket ENFILE":         {Call: sysfault.Socket, Errno: unix.ENFILE, Most: 8},
		"socket ENOBUFS":        {Call: sysfault.Socket, Errno: unix.ENOBUFS, Most: 8},
		"connect EINTR":         {Call: sysfault.Connect, Errno: unix.EINTR, Every: 2, Most: 20},
		"connect EADDRNOTAVAIL": {Call: sysfault.Connect, Errno: unix.EADDRNOTAVAIL, Most: 8},
		"connect ENETUNREACH":   {Call: sysfault.Connect, Errno: unix.ENETUNREACH, Most: 8},
		"connect ENOBUFS":       {Call: sysfault.Connect, Errno: unix.ENOBUFS, Most: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			underFault(t, rule)
		})
	}
}

// underFault has requests open before, during and after a fault, on connections that stay and on new ones.
func underFault(t *testing.T, rule sysfault.Rule) {
	s := newStage(t)
	s.traced = []sysfault.Call{rule.Call}
	s.start(members(1, true, s.worker("w1"), s.worker("w2")), nil)
	s.healthy()
	resting := s.keep()
	resting.send("/look", "rest0")
	s.call().settle("rest0")
	resting.gets(200, "rest0")

	open := s.keep()
	open.send("/buy", "open")
	held := s.call()
	s.faults.Set(rule)
	answering := make(chan struct{})
	go func() {
		defer close(answering)
		for {
			select {
			case c := <-s.calls:
				c.settle(c.id())
			case <-t.Context().Done():
				return
			}
		}
	}()
	var news []chan answer
	s.cmd.Process.Signal(unix.SIGHUP) // wakes the loop from another thread
	for i := range 8 {
		resting.send("/look", fmt.Sprint("rest", i+1))
		resting.gets(200, fmt.Sprint("rest", i+1))
		scheme := []string{"/look", "/buy"}[i%2]
		news = append(news, s.ask(scheme, fmt.Sprint("new", i)))
		time.Sleep(10 * time.Millisecond)
	}
	for i, c := range news {
		s.gets(c, 200, fmt.Sprint("new", i))
	}
	held.settle("open")
	open.gets(200, "open")
	if s.faults.Failed() == 0 {
		t.Error("no call failed, so the case shows nothing")
	}
	s.faults.Set()
	s.gets(s.ask("/look", "after"), 200, "after")
	for _, c := range []*kept{resting, open} {
		c.conn.Close()
	}
	s.stop()
	s.ended()
}

// A process comes up while the calls that its start needs fail for a moment.
func TestStartsWhileSystemCallsFail(t *testing.T) {
	t.Parallel()
	for name, rule := range map[string]sysfault.Rule{
		"socket ENFILE":  {Call: sysfault.Socket, Errno: unix.ENFILE, Most: 20},
		"socket ENOBUFS": {Call: sysfault.Socket, Errno: unix.ENOBUFS, Most: 20},
		"dup EMFILE":     {Call: sysfault.Dup, Errno: unix.EMFILE, Most: 5},
		// Of the runtime's own descriptors it would end any Go program, before main.
		"epoll_ctl ENOMEM":       {Call: sysfault.EpollCtl, Kind: sysfault.Sockets, Errno: unix.ENOMEM, Most: 5},
		"configuration ENFILE":   {Call: sysfault.Open, Path: "config.json", Errno: unix.ENFILE, Most: 20},
		"configuration EIO":      {Call: sysfault.Open, Path: "config.json", Errno: unix.EIO, Most: 20},
		"configuration read EIO": {Call: sysfault.Read, Kind: sysfault.Files, Path: "config.json", Errno: unix.EIO, Most: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t)
			s.traced, s.early = []sysfault.Call{rule.Call}, []sysfault.Rule{rule}
			s.start(members(1, true, s.worker("w1")), nil)
			s.healthy()
			s.serves()
			if s.faults.Failed() == 0 {
				t.Error("no call failed, so the case shows nothing")
			}
			s.stop()
			s.ended()
		})
	}
}

// A configuration that can't be read for a moment at SIGHUP is read once it can be: the change is not dropped.
func TestReloadsWhileTheFileCannotBeRead(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.traced = []sysfault.Call{sysfault.Open}
	s.start(members(1, true, s.worker("w1")), nil)
	s.healthy()
	raw, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	s.faults.Set(sysfault.Rule{Call: sysfault.Open, Path: "config.json", Errno: unix.EIO, Most: 30})
	s.reload([]byte(strings.ReplaceAll(string(raw), `"look"`, `"see"`)))
	s.logged("msg=reload state=taken")
	s.gets(s.ask("/look", "old"), 404, "")
	c := s.ask("/see", "new")
	s.call().settle("new")
	s.gets(c, 200, "new")
}

// Who is out is kept in a file. What can't be written there is answered with a no and changes nothing; what can't be read is
// not written over.
func TestWhoIsOutIsKeptWhileTheDiskFails(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.traced = []sysfault.Call{sysfault.Open, sysfault.Write, sysfault.Rename}
	addr := s.withMgmt(members(1, true, s.worker("w1"), s.worker("w2"), s.worker("w3")), map[string]any{"listen": free(t)})
	if got := opsCall(t, addr, put("/ops/workers/down", "w1")); got != 200 {
		t.Fatalf("w1 down: %d", got)
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
		if got := opsCall(t, addr, put("/ops/workers/down", "w2")); got != 503 {
			t.Errorf("%s: w2 down: %d", name, got)
		}
		if s.faults.Failed() == 0 {
			t.Errorf("%s: no call failed, so the case shows nothing", name)
		}
	}
	s.faults.Set()
	if got := opsCall(t, addr, put("/ops/workers/down", "w3")); got != 200 {
		t.Errorf("w3 down: %d", got)
	}
	for i := range 4 {
		c := s.ask("/look", fmt.Sprint("r", i))
		if to := s.settles(c, "ok"); !slices.Equal(to, []string{"w2"}) {
			t.Errorf("sent to %v, and w2 alone is in", to)
		}
	}
	files, err := filepath.Glob(filepath.Join(s.tmp, "*.out"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v %v", files, err)
	}
	raw, err := os.ReadFile(files[0])
	if text := string(raw); err != nil || !strings.Contains(text, `"w1"`) || !strings.Contains(text, `"w3"`) ||
		strings.Contains(text, `"w2"`) {
		t.Errorf("kept is %s %v", raw, err)
	}
}

// A call of staff's gets all of its answer, also where the system takes it piece by piece; and the counts say so.
func TestAnswersToStaffComeWhole(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.traced = []sysfault.Call{sysfault.Write}
	addr := s.withMgmt(members(1, true, s.worker("w1")), nil)
	s.healthy()
	s.serves()
	s.faults.Set(sysfault.Rule{Call: sysfault.Write, Kind: sysfault.Sockets, Errno: unix.EINTR, Every: 2},
		sysfault.Rule{Call: sysfault.Write, Kind: sysfault.Sockets, Short: 100})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, "GET /ops/metrics HTTP/1.1\r\nHost: h\r\n\r\n")
	w, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(w.Body)
	if err != nil || !strings.HasSuffix(string(text), "# EOF\n") ||
		!strings.Contains(string(text), "shalebeam_requests_total{result=\"done\"} 1\n") {
		t.Errorf("%v\n%s", err, text)
	}
}

// A limit on descriptors that is lowered under a running process fails accept, socket and dup for real.
func TestServesWhileDescriptorsAreShort(t *testing.T) {
	t.Parallel()
	s := newStage(t)
	s.start(members(1, true, s.worker("w1"), s.worker("w2")), nil)
	s.healthy()
	open := s.keep()
	open.send("/buy", "open")
	held := s.call()
	var before unix.Rlimit
	if err := unix.Prlimit(s.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(s.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 4, Max: before.Max}, nil); err != nil {
		t.Fatal(err)
	}
	var news []chan answer
	for i := range 8 {
		news = append(news, s.ask("/look", fmt.Sprint("new", i)))
	}
	time.Sleep(300 * time.Millisecond)
	if err := unix.Prlimit(s.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	for got := 0; got < len(news); {
		select {
		case c := <-s.calls:
			c.settle("ok")
		case a := <-news[got]:
			if a.err != nil || a.status != 200 {
				t.Errorf("new%d got %d %v", got, a.status, a.err)
			}
			got++
		case <-time.After(patience):
			t.Fatal("an answer did not come")
		}
	}
	held.settle("open")
	open.gets(200, "open")
	open.conn.Close()
	s.stop()
	s.ended()
}

// A limit on descriptors that is lower for a moment, just as the bounds are reckoned anew, bounds nothing for good.
func TestABoundOutlivesALimitOfTheMoment(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	first := h.start()
	second := h.start()
	h.logs("company others=1", 2)
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
	h.logs("company others=0", 1)
	time.Sleep(200 * time.Millisecond)
	if err := unix.Prlimit(first.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	h.load(40)
	time.Sleep(500 * time.Millisecond)
	close(h.done)
	h.busy.Wait()
	if h.answered.Load() < 100 || h.lost.Load()+h.refused.Load() > 0 {
		t.Errorf("answered %d, lost %d, refused, reset or unread %d: %v", h.answered.Load(), h.lost.Load(), h.refused.Load(),
			h.last.Load())
	}
}

// Connections pass to a process that may not have another descriptor just then: they wait for it. (They were gone.)
func TestConnectionsPassWhileDescriptorsAreShort(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	old := h.start()
	h.load(12)
	long := h.once("long", 1500)
	fresh := h.start()
	var before unix.Rlimit
	if err := unix.Prlimit(fresh.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	// One is for the way from the old process, a few are for connections.
	low := unix.Rlimit{Cur: fresh.limitFor(4), Max: before.Max}
	if err := unix.Prlimit(fresh.cmd.Process.Pid, unix.RLIMIT_NOFILE, &low, nil); err != nil {
		t.Fatal(err)
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if err := unix.Prlimit(fresh.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	if err := within(t, long, "the answer of a long request"); err != nil {
		t.Error(err)
	}
	if err := within(t, old.exit, "the old process's end"); err != nil {
		t.Error(err)
	}
	close(h.done)
	h.busy.Wait()
	if h.answered.Load() < 50 || h.lost.Load()+h.refused.Load() > 0 {
		t.Errorf("answered %d, lost %d, refused, reset or unread %d: %v", h.answered.Load(), h.lost.Load(), h.refused.Load(),
			h.last.Load())
	}
}

// limitFor is the limit on descriptors that leaves the process so many more.
func (p *process) limitFor(more int) (limit uint64) {
	for ; more >= 0; limit++ {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", p.cmd.Process.Pid, limit)); err != nil {
			more--
		}
	}
	return limit - 1
}

// logs waits until the processes' log has a text so many times.
func (h *house) logs(text string, n int) {
	h.t.Helper()
	for end := time.Now().Add(patience); strings.Count(h.log.String(), text) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("the log never has %q %d times", text, n)
		}
	}
}

// kept is a client's connection that stays.
type kept struct {
	s    *stage
	conn net.Conn
	in   *bufio.Reader
}

func (s *stage) keep() *kept {
	s.t.Helper()
	c := s.dial("")
	return &kept{s, c, bufio.NewReader(c)}
}

func (k *kept) send(target, id string) {
	k.s.t.Helper()
	_, err := fmt.Fprintf(k.conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: 20000m\r\n"+
		"Work-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody", target, id)
	if err != nil {
		k.s.t.Errorf("%s could not be sent: %v", id, err)
	}
}

func (k *kept) gets(status int, body string) {
	k.s.t.Helper()
	w, err := http.ReadResponse(k.in, nil)
	if err != nil {
		k.s.t.Fatalf("no answer for %s: %v", body, err)
	}
	got, err := io.ReadAll(w.Body)
	if err != nil || w.StatusCode != status || !strings.Contains(string(got), body) {
		k.s.t.Errorf("got %d %q %v, want %d %q", w.StatusCode, got, err, status, body)
	}
}
