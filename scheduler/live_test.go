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

// live is a scheduler that serves on loopback sockets, with one worker and a discovery that is down. Its loop can be
// held, so that what comes meanwhile is there all at once, in the order in which it came.
type live struct {
	*Scheduler
	t       *testing.T
	addr    string
	stop    context.CancelFunc
	ended   chan error
	workers net.Listener
	calls   chan *workerCall
}

// workerCall is a request that came to the worker.
type workerCall struct {
	conn net.Conn
	ref  string
	told string // its Request-Timeout
}

const livePatience = 20 * time.Second

// newLive starts one.
func newLive(t *testing.T) *live {
	t.Helper()
	v := newStill(t)
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go func() { v.ended <- v.Run(ctx) }()
	<-v.ready
	v.addr = addrOf(v.clientsAt)
	t.Cleanup(stop)
	return v
}

// newStill makes one that has not begun.
func newStill(t *testing.T) *live {
	t.Helper()
	v := &live{t: t, calls: make(chan *workerCall, 1000), ended: make(chan error, 1)}
	var err error
	if v.workers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.workers.Close() })
	go v.work()
	down, err := net.Listen("tcp", "127.0.0.1:0") // has an address, where nobody listens once it is closed
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
		down.Addr(), v.workers.Addr()))
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

// A client that is there before the service has begun comes after that: seen to first, it had the watch of discovery begun
// before there was one, and no call was ever made again.
func TestAClientThatComesBeforeTheServiceBegins(t *testing.T) {
	t.Parallel()
	v := newStill(t)
	if err := v.listen(); err != nil {
		t.Fatal(err)
	}
	v.addr = addrOf(v.clientsAt)
	c := v.client(request("early"))
	acked(t, c, false)
	go func() { v.ended <- v.serve() }()
	v.call().settle()
	v.answers(c, 200, "ok early")
	c.Close()
	v.onLoop(v.drain)
	if err := <-v.ended; err != nil {
		t.Error(err)
	}
}

// work takes what comes to the worker; the test answers it.
func (v *live) work() {
	for {
		conn, err := v.workers.Accept()
		if err != nil {
			return
		}
		v.t.Cleanup(func() { conn.Close() })
		go func() {
			for in := bufio.NewReader(conn); ; {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				v.calls <- &workerCall{conn, r.Header.Get("Request-Id"), r.Header.Get("Request-Timeout")}
			}
		}()
	}
}

// settle answers as a worker does that has done the job, with bytes that need be read only once.
func (c *workerCall) settle() {
	line := fmt.Sprintf("{\"id\":%q,\"state\":\"done\",\"result\":\"ok %s\"}\n", c.ref, c.ref)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
}

// call waits for a request at the worker.
func (v *live) call() *workerCall {
	v.t.Helper()
	select {
	case c := <-v.calls:
		return c
	case <-time.After(livePatience):
		v.t.Fatal("nothing came to the worker")
		return nil
	}
}

// hold keeps the loop from all else until the test lets it go on.
func (v *live) hold() (release func()) { return v.holdAfter(func() {}) }

// holdAfter does something on the loop, and then holds it.
func (v *live) holdAfter(f func()) (release func()) {
	// A turn of its own first: of a socket that was ready in the last one epoll would tell before all that comes while the loop
	// is held, whatever the order in which it came.
	look(v, func() bool { return true })
	held, on := make(chan struct{}), make(chan struct{})
	v.onLoop(func() {
		f()
		close(held)
		<-on
	})
	<-held
	release = sync.OnceFunc(func() { close(on) })
	v.t.Cleanup(release)
	return release
}

// look looks at the scheduler's state on its loop.
func look[T any](v *live, f func() T) T {
	out := make(chan T, 1)
	v.onLoop(func() { out <- f() })
	return <-out
}

// until waits for a state of the scheduler.
func (v *live) until(what string, f func() bool) {
	v.t.Helper()
	for end := time.Now().Add(livePatience); !look(v, f); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			v.t.Fatal("it never came to this: " + what)
		}
	}
}

func request(ref string) string {
	return "POST /look HTTP/1.1\r\nHost: h\r\nRequest-Id: " + ref + "\r\nWork-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody"
}

// client connects as a client does, and sends this.
func (v *live) client(text string) *net.TCPConn {
	v.t.Helper()
	c, err := net.Dial("tcp", v.addr)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(livePatience))
	io.WriteString(c, text)
	return c.(*net.TCPConn)
}

// acked waits until the scheduler's machine has all that was sent on a connection, its end too where there is one.
func acked(t *testing.T, c *net.TCPConn, ended bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const finWait2 = 5
	for end := time.Now().Add(livePatience); ; time.Sleep(100 * time.Microsecond) {
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
			t.Fatal("the other side does not acknowledge")
		}
	}
}

// leave closes a client's connection, and waits until the scheduler's machine knows.
func (v *live) leave(c *net.TCPConn) {
	v.t.Helper()
	c.CloseWrite()
	acked(v.t, c, true)
}

// answers reads one answer, which must be this.
func (v *live) answers(c *net.TCPConn, status int, body string) {
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

// A client that has left gets no attempt, also where the loop has yet to read that it left: its end came together with
// its bytes, or right behind what made its attempt possible. (Each was sent on, as only what the loop had read counted.)
func TestNoAttemptForAClientThatHasLeft(t *testing.T) {
	for name, cross := range map[string]func(v *live, release func()){
		"its request and its end come together": func(v *live, release func()) {
			v.leave(v.client(request("gone")))
		},
		"it leaves as a worker gets free": func(v *live, release func()) {
			release()
			first := v.client(request("first"))
			c := v.call()
			second := v.client(request("gone"))
			v.until("the second waits", func() bool { return len(v.drive.txns) == 2 })
			release = v.hold()
			c.settle()
			acked(v.t, c.conn.(*net.TCPConn), false)
			v.leave(second)
			release()
			v.answers(first, 200, "ok first")
		},
		"it sent another request ahead of the first one's answer": func(v *live, release func()) {
			release()
			one := v.client(request("first") + request("gone"))
			c := v.call()
			release = v.hold()
			c.settle()
			acked(v.t, c.conn.(*net.TCPConn), false)
			v.leave(one)
			release()
			v.answers(one, 200, "ok first")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newLive(t)
			warm := v.client(request("warm")) // leaves a connection to the worker, on which an attempt goes out at once
			v.call().settle()
			v.answers(warm, 200, "ok warm")
			release := v.hold()
			cross(v, release)
			release()
			v.until("its txn is over", func() bool { return len(v.drive.txns) == 0 })
			last := v.client(request("last"))
			if c := v.call(); c.ref != "last" {
				t.Errorf("%s was sent on", c.ref)
			} else {
				c.settle()
				v.answers(last, 200, "ok last")
			}
		})
	}
}

// What a request has waited before it was read is gone from its time: on a connection that is there, and on one that could not
// be accepted sooner. (It got all of its time from the moment at which it was read.)
func TestARequestThatWaitedHasLessTime(t *testing.T) {
	t.Parallel()
	const waits = 300 * time.Millisecond
	v := newLive(t)
	warm := v.client(request("warm"))
	v.call().settle()
	v.answers(warm, 200, "ok warm")
	timed := func(ref string) string {
		return strings.Replace(request(ref), "Host: h\r\n", "Host: h\r\nRequest-Timeout: 1500m\r\n", 1)
	}
	release := v.hold()
	fresh := v.client(timed("fresh"))
	io.WriteString(warm, timed("kept"))
	acked(t, warm, false)
	acked(t, fresh, false)
	time.Sleep(waits)
	release()
	for range 2 {
		c := v.call()
		ms, err := strconv.Atoi(strings.TrimSuffix(c.told, "m"))
		if told, most := time.Duration(ms)*time.Millisecond, 1500*time.Millisecond-waits; err != nil || told > most {
			t.Errorf("%s: its worker is told %s, and it has %v", c.ref, c.told, most)
		}
		c.settle()
	}
	v.answers(warm, 200, "ok kept")
	v.answers(fresh, 200, "ok fresh")
}

// drains has a scheduler told to stop, and its loop held at a moment at which nothing more is left to do, so that the stop
// ends as soon as the loop goes on, unless something came meanwhile.
func (v *live) drains() (release func()) {
	v.stop()
	v.until("it drains", func() bool { return v.phase == draining })
	return v.holdAfter(func() { v.drained -= drainLeast })
}

// What this machine has taken by the end of a stop is answered, also what the loop has yet to read or to accept. (Both were
// reset, as only what the loop had read kept the process from its end.)
func TestAStopLosesNothingThatCameBeforeItsEnd(t *testing.T) {
	for name, comes := range map[string]func(v *live, resting *net.TCPConn) *net.TCPConn{
		"on a connection that rests": func(v *live, resting *net.TCPConn) *net.TCPConn {
			io.WriteString(resting, request("late"))
			return resting
		},
		"on a connection that is not accepted": func(v *live, _ *net.TCPConn) *net.TCPConn {
			return v.client(request("late"))
		},
		"but for its last byte": func(v *live, resting *net.TCPConn) *net.TCPConn {
			text := request("late")
			io.WriteString(resting, text[:len(text)-1])
			time.AfterFunc(100*time.Millisecond, func() { io.WriteString(resting, text[len(text)-1:]) })
			return resting
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newLive(t)
			resting := v.client("")
			v.until("it is accepted", func() bool { return len(v.clients.all) == 1 })
			release := v.drains()
			c := comes(v, resting)
			acked(t, c, false)
			release()
			v.call().settle()
			v.answers(c, 200, "ok late")
			c.Close()
			select {
			case err := <-v.ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(livePatience):
				t.Error("it does not end")
			}
		})
	}
}

// A connection that is ended from this side is ended for writing first, and what crosses that is read and dropped: neither
// sent on nor answered with a reset, which would take the last answer with it. (It was closed.)
func TestWhatCrossesTheEndOfAConnection(t *testing.T) {
	t.Parallel()
	v := newLive(t)
	c := v.client(request("first"))
	v.call().settle()
	v.answers(c, 200, "ok first")
	v.until("its connection rests for long", func() bool {
		v.clients.all[0].since -= idleFor + 1
		v.clients.sweep(v.now())
		return v.clients.all[0].shut
	})
	io.WriteString(c, request("late"))
	acked(t, c, false)
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d, %v", n, err)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const closeWait = 8 // it was reset otherwise
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil || info.State != closeWait {
			t.Errorf("state %d, %v", info.State, err)
		}
	})
	v.until("what came is dropped", func() bool { return !v.clients.all[0].unread() })
	if len(v.calls) > 0 {
		t.Errorf("%s was sent on", v.call().ref)
	}
	c.Close()
	v.until("the connection is gone", func() bool { return len(v.clients.all) == 0 })
}
