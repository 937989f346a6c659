package scheduler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// liveScheduler is a scheduler that serves on loopback sockets, with one worker and with a discovery that is down. A
// test can hold its event loop, so that what comes meanwhile is all there, in order, when the loop goes on.
type liveScheduler struct {
	*Scheduler
	t              *testing.T
	addr           string             // of its listener for clients
	cancelRun      context.CancelFunc // begins its drain
	runErr         chan error         // what Run or serve returned
	workerListener net.Listener
	calls          chan *workerCall // requests that have come to the worker
}

// workerCall is a request that has come to the worker.
type workerCall struct {
	conn           net.Conn
	ref            string
	requestTimeout string // its Request-Timeout field
}

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// newLive starts a scheduler, which drains at the end of the test.
func newLive(t *testing.T) *liveScheduler {
	t.Helper()
	v := newUnstarted(t)
	ctx, stop := context.WithCancel(context.Background())
	v.cancelRun = stop
	go func() { v.runErr <- v.Run(ctx) }()
	<-v.ready
	v.addr = listenerAddr(v.clientListener)
	t.Cleanup(stop)
	return v
}

// newUnstarted makes a scheduler that does not run yet.
func newUnstarted(t *testing.T) *liveScheduler {
	t.Helper()
	v := &liveScheduler{t: t, calls: make(chan *workerCall, 1000), runErr: make(chan error, 1)}
	var err error
	if v.workerListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.workerListener.Close() })
	go v.serveWorker()
	down, err := net.Listen("tcp", "127.0.0.1:0") // to get an address where nobody listens once this is closed
	if err != nil {
		t.Fatal(err)
	}
	down.Close()
	n, err := Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
"known":{"seq":1,"whole":true,"hosts":[{"host":"w1","dial":%q,"site":"z","class":"k","block":0,"health":"in_service",
"share":1,"born_ms":0}]},"settings":{"my_number":0,"peers_total":1,"tick":1000,"zones":["z"],"kinds":["k"],
"domain":{"tells_start":true},"guarantees":{"must_ask_in":60000000},
"policy_limits":{"cancel":true,"max_postings":6,"conn_idle":10000000,"connect_timeout":5000000},"schemes":[
{"name":"look","effect":"retryable","expiry":2000000,"gain":1,"sla_time":1500000,"tardy_gain":0.2}]}}`,
		down.Addr(), v.workerListener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	out := io.Discard
	if testing.Verbose() {
		out = os.Stderr
	}
	v.Scheduler = New(n, log.New(out, "", log.Lmicroseconds))
	return v
}

// A client that connects before the scheduler serves is handled after it has begun. Handled sooner, it has the watch
// of discovery started before roster.begin has made one, and no call to discovery is ever made again.
func TestClientConnectsBeforeServing(t *testing.T) {
	t.Parallel()
	v := newUnstarted(t)
	if err := v.listen(); err != nil {
		t.Fatal(err)
	}
	v.addr = listenerAddr(v.clientListener)
	c := v.connectClient(requestText("early"))
	waitAcked(t, c, false)
	go func() { v.runErr <- v.serve() }()
	v.nextWorkerCall().answerDone()
	v.expectAnswer(c, 200, "ok early")
	c.Close()
	v.onLoop(v.drain)
	if err := <-v.runErr; err != nil {
		t.Error(err)
	}
}

// serveWorker reads the requests that come to the worker. The test answers them.
func (v *liveScheduler) serveWorker() {
	for {
		conn, err := v.workerListener.Accept()
		if err != nil {
			return
		}
		v.t.Cleanup(func() { conn.Close() })
		go func() {
			for reader := bufio.NewReader(conn); ; {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				v.calls <- &workerCall{conn, r.Header.Get("Request-Id"), r.Header.Get("Request-Timeout")}
			}
		}()
	}
}

// answerDone answers as a worker that has done the job does, in one write, so that the scheduler's loop has to read
// only once.
func (c *workerCall) answerDone() {
	line := fmt.Sprintf("{\"id\":%q,\"state\":\"done\",\"result\":\"ok %s\"}\n", c.ref, c.ref)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
}

// nextWorkerCall waits for a request at the worker.
func (v *liveScheduler) nextWorkerCall() *workerCall {
	v.t.Helper()
	select {
	case c := <-v.calls:
		return c
	case <-time.After(testTimeout):
		v.t.Fatal("no request came to the worker in time")
		return nil
	}
}

// holdLoop keeps the event loop from running anything else until release is called.
func (v *liveScheduler) holdLoop() (release func()) { return v.runThenHoldLoop(func() {}) }

// runThenHoldLoop runs f on the event loop, and holds the loop right after it.
func (v *liveScheduler) runThenHoldLoop(f func()) (release func()) {
	// First one turn of the loop on its own: of a socket that was ready in the turn before, epoll would report all
	// that comes while the loop is held ahead of other sockets' events, whatever the order in which it came.
	onLoopResult(v, func() bool { return true })
	held, resume := make(chan struct{}), make(chan struct{})
	v.onLoop(func() {
		f()
		close(held)
		<-resume
	})
	<-held
	release = sync.OnceFunc(func() { close(resume) })
	v.t.Cleanup(release)
	return release
}

// onLoopResult returns f's result, run on the event loop.
func onLoopResult[T any](v *liveScheduler, f func() T) T {
	out := make(chan T, 1)
	v.onLoop(func() { out <- f() })
	return <-out
}

// waitUntil waits until f, run on the event loop, is true.
func (v *liveScheduler) waitUntil(what string, f func() bool) {
	v.t.Helper()
	for end := time.Now().Add(testTimeout); !onLoopResult(v, f); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			v.t.Fatalf("not reached within %v: %s", testTimeout, what)
		}
	}
}

// requestText is a request of the scheme look with this Request-Id.
func requestText(ref string) string {
	return "POST /look HTTP/1.1\r\nHost: h\r\nRequest-Id: " + ref + "\r\nWork-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody"
}

// connectClient connects to the scheduler as a client, and sends text.
func (v *liveScheduler) connectClient(text string) *net.TCPConn {
	v.t.Helper()
	c, err := net.Dial("tcp", v.addr)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, text)
	return c.(*net.TCPConn)
}

// waitAcked waits until the scheduler's machine has acknowledged all that was sent on a connection, and its end if
// ended is true.
func waitAcked(t *testing.T, c *net.TCPConn, ended bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const finWait2 = 5
	for end := time.Now().Add(testTimeout); ; time.Sleep(100 * time.Microsecond) {
		left, state := 0, uint8(0)
		raw.Control(func(fd uintptr) {
			left, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
		if left == 0 && (!ended || state == finWait2) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d bytes not acknowledged, TCP state %d, after %v", left, state, testTimeout)
		}
	}
}

// disconnect ends a client's sending, and waits until the scheduler's machine has got that.
func (v *liveScheduler) disconnect(c *net.TCPConn) {
	v.t.Helper()
	c.CloseWrite()
	waitAcked(v.t, c, true)
}

// expectAnswer reads one answer, and checks its status and that its body contains body.
func (v *liveScheduler) expectAnswer(c *net.TCPConn, status int, body string) {
	v.t.Helper()
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		v.t.Errorf("no answer: %v", err)
		return
	}
	got, err := io.ReadAll(w.Body)
	if err != nil || w.StatusCode != status || !strings.Contains(string(got), body) {
		v.t.Errorf("got %d %q %v, want %d %q", w.StatusCode, got, err, status, body)
	}
}

// No attempt is made for a client that has disconnected, also where the event loop has yet to read that: the end of
// the connection came together with the request, or right after the event that made an attempt possible. A scheduler
// that goes only by what its loop has read sends such requests to a worker.
func TestNoAttemptAfterClientDisconnects(t *testing.T) {
	for name, scenario := range map[string]func(v *liveScheduler, release func()){
		"request and disconnect come together": func(v *liveScheduler, release func()) {
			v.disconnect(v.connectClient(requestText("gone")))
		},
		"disconnect as a worker gets free": func(v *liveScheduler, release func()) {
			release()
			first := v.connectClient(requestText("first"))
			c := v.nextWorkerCall()
			second := v.connectClient(requestText("gone"))
			v.waitUntil("the second txn waits", func() bool { return len(v.driver.txns) == 2 })
			release = v.holdLoop()
			c.answerDone()
			waitAcked(v.t, c.conn.(*net.TCPConn), false)
			v.disconnect(second)
			release()
			v.expectAnswer(first, 200, "ok first")
		},
		"pipelined request, then disconnect": func(v *liveScheduler, release func()) {
			release()
			pipelined := v.connectClient(requestText("first") + requestText("gone"))
			c := v.nextWorkerCall()
			release = v.holdLoop()
			c.answerDone()
			waitAcked(v.t, c.conn.(*net.TCPConn), false)
			v.disconnect(pipelined)
			release()
			v.expectAnswer(pipelined, 200, "ok first")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newLive(t)
			warm := v.connectClient(requestText("warm")) // leaves an idle connection to the worker, on which an attempt goes out at once
			v.nextWorkerCall().answerDone()
			v.expectAnswer(warm, 200, "ok warm")
			release := v.holdLoop()
			scenario(v, release)
			release()
			v.waitUntil("no txn is open", func() bool { return len(v.driver.txns) == 0 })
			last := v.connectClient(requestText("last"))
			if c := v.nextWorkerCall(); c.ref != "last" {
				t.Errorf("%s was sent to the worker, want last", c.ref)
			} else {
				c.answerDone()
				v.expectAnswer(last, 200, "ok last")
			}
		})
	}
}

// The time for which a request waited unread counts against its Request-Timeout, both on a connection that is in use
// and on one that could not be accepted sooner. Otherwise it would get its full time from the moment at which it
// is read.
func TestUnreadTimeCountsAgainstRequestTimeout(t *testing.T) {
	t.Parallel()
	const waits = 300 * time.Millisecond
	v := newLive(t)
	warm := v.connectClient(requestText("warm"))
	v.nextWorkerCall().answerDone()
	v.expectAnswer(warm, 200, "ok warm")
	timed := func(ref string) string {
		return strings.Replace(requestText(ref), "Host: h\r\n", "Host: h\r\nRequest-Timeout: 1500m\r\n", 1)
	}
	release := v.holdLoop()
	fresh := v.connectClient(timed("fresh"))
	io.WriteString(warm, timed("kept"))
	waitAcked(t, warm, false)
	waitAcked(t, fresh, false)
	time.Sleep(waits)
	release()
	for range 2 {
		c := v.nextWorkerCall()
		ms, err := strconv.Atoi(strings.TrimSuffix(c.requestTimeout, "m"))
		if sent, maxTimeout := time.Duration(ms)*time.Millisecond, 1500*time.Millisecond-waits; err != nil || sent > maxTimeout {
			t.Errorf("%s: Request-Timeout at the worker is %s, want at most %v", c.ref, c.requestTimeout, maxTimeout)
		}
		c.answerDone()
	}
	v.expectAnswer(warm, 200, "ok kept")
	v.expectAnswer(fresh, 200, "ok fresh")
}

// A request that waited behind an open one got its whole time anew when bytes of a later request were read meanwhile, and was
// answered late.
func TestWaitingRequestKeepsItsTimeWhateverIsReadLater(t *testing.T) {
	t.Parallel()
	const waits, timeout = 600 * time.Millisecond, 1500 * time.Millisecond
	v := newLive(t)
	timed := func(ref string) string {
		return strings.Replace(requestText(ref), "Host: h\r\n", "Host: h\r\nRequest-Timeout: 1500m\r\n", 1)
	}
	third := timed("third")
	sent := time.Now()
	c := v.connectClient(timed("first") + timed("second"))
	first := v.nextWorkerCall()
	time.Sleep(waits / 2)
	io.WriteString(c, third[:20])
	time.Sleep(waits / 2)
	io.WriteString(c, third[20:])
	thirdSent := time.Now()
	waitAcked(t, c, false)
	time.Sleep(20 * time.Millisecond) // the loop reads it
	first.answerDone()
	answers := bufio.NewReader(c)
	for _, expected := range []struct {
		ref  string
		sent time.Time
	}{{"second", sent}, {"third", thirdSent}} {
		call := v.nextWorkerCall()
		waited := time.Since(expected.sent)
		ms, err := strconv.Atoi(strings.TrimSuffix(call.requestTimeout, "m"))
		told := time.Duration(ms) * time.Millisecond
		const slack = 150 * time.Millisecond // of what workers are told
		if err != nil || call.ref != expected.ref || told > timeout-waited+slack || told < timeout-waited-slack {
			t.Errorf("%s: its worker was told %s, and its client has %v left", call.ref, call.requestTimeout, timeout-waited)
		}
		call.answerDone()
	}
	expectAnswers(t, answers, "first", "second", "third")
}

// bigRequest is a request of this size in bytes.
func bigRequest(ref string, size int) string {
	head := func(bodyLen int) string {
		return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nWork-Hint: 1000\r\nContent-Length: %05d\r\n\r\n", ref, bodyLen)
	}
	bodyLen := size - len(head(0))
	return head(bodyLen) + strings.Repeat("x", bodyLen)
}

// expectAnswers reads the answers to requests in their order.
func expectAnswers(t *testing.T, answers *bufio.Reader, refs ...string) {
	t.Helper()
	for _, ref := range refs {
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("no answer to %s: %v", ref, err)
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil || answer.StatusCode != 200 || !strings.Contains(string(body), "ok "+ref) {
			t.Errorf("%s: got %d %q %v", ref, answer.StatusCode, body, err)
		}
	}
}

// A client that sent more than 80 KiB behind its open request was cut off, and lost the answer to the open one with those that
// waited.
func TestWhatWaitsBehindAnOpenRequestCostsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, sizes := range [][]int{{40 << 10, 40 << 10, 40 << 10}, {maxWaitingBytes - 1, 200}, {maxWaitingBytes, 200}, {maxWaitingBytes + 1, 200},
		{200, maxWaitingBytes - 200, 60 << 10}, {60 << 10, 64 << 10, 60 << 10, 200, 64 << 10}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			t.Parallel()
			v := newLive(t)
			text, refs := requestText("open"), []string{"open"}
			for i, size := range sizes {
				refs = append(refs, fmt.Sprint("waits", i))
				text += bigRequest(refs[i+1], size)
			}
			c := v.connectClient("")
			go func() { _, _ = io.WriteString(c, text) }() // blocks while the scheduler does not read
			call := v.nextWorkerCall()
			time.Sleep(100 * time.Millisecond)
			if n := onLoopResult(v, func() int { return v.clients.all[0].conn.InboundBuffered() }); n > maxWaitingBytes+64<<10 {
				t.Errorf("%d bytes are held while a request is open", n)
			}
			call.answerDone()
			for range sizes {
				v.nextWorkerCall().answerDone()
			}
			expectAnswers(t, bufio.NewReader(c), refs...)
		})
	}
}

// The end of a client is seen while its connection is not read, in time to give up what runs for it.
func TestClientThatLeavesWhileReadsArePausedIsSeen(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
		"half-closed": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newLive(t)
			c := v.connectClient(requestText("open") + bigRequest("waits1", 60<<10) + bigRequest("waits2", 60<<10))
			v.nextWorkerCall()
			v.waitUntil("its reads are paused", func() bool { return v.clients.all[0].conn.ReadsPaused() })
			waitAcked(t, c, false)
			left := time.Now()
			leave(c)
			v.waitUntil("it is seen", func() bool { return len(v.clients.all) == 0 && len(v.driver.txns) == 0 })
			if took := time.Since(left); took > 100*time.Millisecond {
				t.Errorf("its end was seen after %v, want at most 0.1 s", took)
			}
		})
	}
}

// What arrives while a connection is not read counts from its arrival, not from the beginning of the pause nor from its end.
func TestRequestThatArrivesWhileReadsArePausedKeepsItsTime(t *testing.T) {
	t.Parallel()
	const waits, timeout, slack = 400 * time.Millisecond, 1500 * time.Millisecond, 250 * time.Millisecond
	v := newLive(t)
	c := v.connectClient(requestText("open") + bigRequest("waits", 30<<10))
	open := v.nextWorkerCall()
	v.waitUntil("its reads are paused", func() bool { return v.clients.all[0].conn.ReadsPaused() })
	time.Sleep(waits)
	sent := time.Now()
	io.WriteString(c, strings.Replace(requestText("late"), "Host: h\r\n", "Host: h\r\nRequest-Timeout: 1500m\r\n", 1))
	time.Sleep(waits)
	open.answerDone()
	v.nextWorkerCall().answerDone()
	late := v.nextWorkerCall()
	left := timeout - time.Since(sent)
	ms, err := strconv.Atoi(strings.TrimSuffix(late.requestTimeout, "m"))
	if told := time.Duration(ms) * time.Millisecond; err != nil || told > left+slack/2 || told < left-slack {
		t.Errorf("its worker was told %s, and its client has %v left", late.requestTimeout, left)
	}
	late.answerDone()
	expectAnswers(t, bufio.NewReader(c), "open", "waits", "late")
}

// holdAtDrainEnd begins a drain, and holds the event loop at a moment when nothing is left to do: the drain ends as
// soon as the loop goes on, unless something came meanwhile.
func (v *liveScheduler) holdAtDrainEnd() (release func()) {
	v.cancelRun()
	v.waitUntil("phase draining", func() bool { return v.phase == draining })
	return v.runThenHoldLoop(func() { v.drainStart -= minDrainMs })
}

// Requests that this machine has received by the end of a drain are answered, also those that the event loop has yet
// to read or to accept. A process that goes only by what its loop has read ends too soon, which resets both.
func TestDrainAnswersRequestsReceivedBeforeItsEnd(t *testing.T) {
	for name, sendLate := range map[string]func(v *liveScheduler, idleConn *net.TCPConn) *net.TCPConn{
		"on an idle connection": func(v *liveScheduler, idleConn *net.TCPConn) *net.TCPConn {
			io.WriteString(idleConn, requestText("late"))
			return idleConn
		},
		"on a connection not yet accepted": func(v *liveScheduler, _ *net.TCPConn) *net.TCPConn {
			return v.connectClient(requestText("late"))
		},
		"all but the last byte": func(v *liveScheduler, idleConn *net.TCPConn) *net.TCPConn {
			text := requestText("late")
			io.WriteString(idleConn, text[:len(text)-1])
			time.AfterFunc(100*time.Millisecond, func() { io.WriteString(idleConn, text[len(text)-1:]) })
			return idleConn
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newLive(t)
			idleConn := v.connectClient("")
			v.waitUntil("connection accepted", func() bool { return len(v.clients.all) == 1 })
			release := v.holdAtDrainEnd()
			c := sendLate(v, idleConn)
			waitAcked(t, c, false)
			release()
			v.nextWorkerCall().answerDone()
			v.expectAnswer(c, 200, "ok late")
			c.Close()
			select {
			case err := <-v.runErr:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(testTimeout):
				t.Errorf("the drain has not ended within %v", testTimeout)
			}
		})
	}
}

// A connection that the scheduler ends is first closed for writing (half-closed), and what the client sends meanwhile
// is read and dropped: it is not sent to a worker. If the connection is closed at once, it is answered with a reset,
// which can destroy the last answer too.
func TestInputAfterHalfCloseIsDropped(t *testing.T) {
	t.Parallel()
	v := newLive(t)
	c := v.connectClient(requestText("first"))
	v.nextWorkerCall().answerDone()
	v.expectAnswer(c, 200, "ok first")
	v.waitUntil("connection idle for long enough to be half-closed", func() bool {
		v.clients.all[0].stateSince -= keepAliveIdleMs + 1
		v.clients.sweep(v.now())
		return v.clients.all[0].writeClosed
	})
	io.WriteString(c, requestText("late"))
	waitAcked(t, c, false)
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v, want 0 and EOF", n, err)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const closeWait = 8 // after a reset the state is another
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil || info.State != closeWait {
			t.Errorf("TCP state %d, %v, want %d (CLOSE_WAIT)", info.State, err, closeWait)
		}
	})
	v.waitUntil("late request dropped", func() bool { return !v.clients.all[0].hasUnread() })
	if len(v.calls) > 0 {
		t.Errorf("%s was sent to the worker", v.nextWorkerCall().ref)
	}
	c.Close()
	v.waitUntil("connection closed", func() bool { return len(v.clients.all) == 0 })
}
