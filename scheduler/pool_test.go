package scheduler

import (
	"fmt"
	"io"
	"log"
	"math"
	"math/rand"
	"net/netip"
	"testing"
	"testing/quick"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/scheduler/eventloop"
	"shalebeam/watch"
)

// What loopback sockets do only by chance is told to a worker's connection by hand.

type fakeConn struct {
	eventloop.Conn
	of     connection
	in     []byte
	unsent int
	wrote  string
	ended  bool
	sock   int // a socket of the system, where there is one
}

func (c *fakeConn) OutboundBuffered() int { return c.unsent }
func (c *fakeConn) Peek() []byte          { return c.in }
func (c *fakeConn) Since() time.Time      { return time.Now() }

func (c *fakeConn) SetWriteDeadline(time.Time) {}

func (c *fakeConn) Discard(n int) { c.in = c.in[n:] }
func (c *fakeConn) Fd() int {
	if c.sock == 0 {
		return -1
	}
	return c.sock
}
func (c *fakeConn) InboundBuffered() int { return len(c.in) }
func (c *fakeConn) Write(b []byte) error {
	c.wrote += string(b)
	return nil
}
func (c *fakeConn) Close() {
	if !c.ended {
		c.ended = true
		c.of.closed(c, nil)
	}
}

// onceOnly is a scheduler with a once-only txn whose posting waits for a worker's connection.
func onceOnly(t *testing.T) (*Scheduler, *workerConn) {
	t.Helper()
	n, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{
"schemes":[{"name":"buy","effect":"fragile","expiry":20000000,"gain":1,"sla_time":9000000}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	s := New(n, log.New(io.Discard, "", 0))
	s.pool.updateWorker("w1", "127.0.0.1:3", true)
	s.drive.mod.ListChanged(s.now(), true, []balance.Listed{{ID: "w1", Weight: 1}})
	x := s.drive.arrive(nil, ask{row: &n.told.Terms.Schemes[0], txn: balance.Txn{Ref: "r1", Hint: 100, Left: 20000}})
	if _, ok := s.drive.mod.NextPosting(s.now()); !ok {
		t.Fatal("no posting")
	}
	l := &workerConn{s: s, to: s.pool.target("w1"), addr: "127.0.0.1:3"}
	l.p = &posting{t: x, conn: l, until: x.until, by: math.Inf(1)}
	x.posts, x.out = append(x.posts, l.p), 1
	s.pool.conns, s.pool.dials = append(s.pool.conns, l), 1
	return s, l
}

// reversed tells whether the module took the posting for one that may have run.
func (s *Scheduler) reversed() bool {
	f, ok := s.drive.mod.NextFinal(s.now())
	return ok && !f.Declined
}

func TestOnlyAWholeRequestMayHaveRun(t *testing.T) {
	for _, unsent := range []int{0, 1} {
		t.Run(fmt.Sprint(unsent, " bytes left"), func(t *testing.T) {
			s, l := onceOnly(t)
			c := &fakeConn{of: l}
			l.opened(c)
			if c.wrote == "" {
				t.Fatal("nothing was sent")
			}
			c.unsent = unsent
			l.closed(c, io.EOF)
			if s.reversed() != (unsent == 0) {
				t.Errorf("broken with %d bytes unsent: reversed %t", unsent, unsent != 0)
			}
		})
	}
}

func TestLoadReports(t *testing.T) {
	_, l := onceOnly(t)
	l.s.node.told.Reports, l.s.node.told.FreeSlots = true, true
	for text, want := range map[string]float64{"": -1, "TEXT tps=1.5, depth=0, x0=4.25": 4.25, `{"x0":2}`: 2,
		`JSON {"x0":3}`: 3, "TEXT x0=y, tps=1": -1, "TEXT": -1, "TEXT ": -1, `{"x0":"2"}`: -1, "null": -1} {
		if got := l.parseLoad([]byte(text)); got.Free != want {
			t.Errorf("%q: %v, want %v", text, got.Free, want)
		}
	}
}

// What stands against a posting by the time that its connection is up keeps it from being sent, and it never ran.
func TestTheLastCheckBeforeSending(t *testing.T) {
	for name, happens := range map[string]func(s *Scheduler, l *workerConn){
		"the worker began to drain":      func(s *Scheduler, l *workerConn) { s.pool.updateWorker("w1", "127.0.0.1:3", false) },
		"the worker left":                func(s *Scheduler, l *workerConn) { s.pool.removeWorkers([]string{"w1"}, false, nil) },
		"the worker is at another place": func(s *Scheduler, l *workerConn) { s.pool.updateWorker("w1", "127.0.0.1:4", true) },
		"staff took it out":              func(s *Scheduler, l *workerConn) { s.ops.staffed["w1"] = record{Since: 1} },
		"the txn's window is over":       func(s *Scheduler, l *workerConn) { l.p.by = s.now() - 1 },
		"its client's time is over":      func(s *Scheduler, l *workerConn) { l.p.until = s.now() - 1 },
		"the list counts no more":        func(s *Scheduler, l *workerConn) { s.roster.watch = watch.New(s.now()-2, 1, 0) },
		"its client has left, unread": func(s *Scheduler, l *workerConn) {
			pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { unix.Close(pair[0]) })
			c := &client{s: s, t: l.p.t}
			conn := &fakeConn{of: c, sock: pair[0]}
			s.clients.add(c, conn)
			l.p.t.from = c
			unix.Close(pair[1])
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, l := onceOnly(t)
			happens(s, l)
			c := &fakeConn{of: l}
			l.opened(c)
			if c.wrote != "" || l.p != nil || s.reversed() {
				t.Errorf("sent %q", c.wrote)
			}
		})
	}
}

// Nothing is sent for a txn that is over: where postings may not be called off the module leaves it out.
func TestNothingGoesOutForATxnThatIsOver(t *testing.T) {
	s, l := onceOnly(t)
	x := l.p.t
	s.drive.gone(x)
	c := &fakeConn{of: l}
	l.opened(c)
	if c.wrote != "" || l.p != nil || len(s.drive.txns) != 0 {
		t.Errorf("sent %q", c.wrote)
	}
}

// What was not written whole of a txn that is over is given up at once, also where postings may not be called off: finished
// later it would run for nobody.
func TestWhatIsUnsentEndsWithItsTxn(t *testing.T) {
	s, l := onceOnly(t)
	c := &fakeConn{of: l}
	l.opened(c)
	c.unsent = 1
	x := l.p.t
	s.drive.gone(x)
	if !c.ended || x.out != 0 || len(s.drive.txns) != 0 {
		t.Errorf("connection ended %t, %d out", c.ended, x.out)
	}
}

// A request that this machine can't write is given up before the time that it tells its worker is wrong; it never ran.
func TestWhatIsUnsentForLongNeverRan(t *testing.T) {
	s, l := onceOnly(t)
	c := &fakeConn{of: l}
	l.opened(c)
	p := l.p
	l.failIfUnsent(p)
	if c.ended {
		t.Fatal("one that was written whole was given up")
	}
	c.unsent = 1
	l.failIfUnsent(p)
	if !c.ended || p.conn != nil || s.reversed() {
		t.Errorf("connection ended %t, posting %+v", c.ended, p)
	}
}

// A worker that closes idle connections sooner than the settings say is believed for a while; postings were
// written to connections that it had closed.
func TestKeptConnectionsAreDistrusted(t *testing.T) {
	s, l := onceOnly(t)
	o := &s.pool
	before, now := o.maxIdleMs(s.now()), s.now()
	c := &fakeConn{of: l}
	l.opened(c)
	l.p = nil
	l.addToIdle()
	l.stateSince = now - 2000
	l.closed(c, io.EOF)
	if got := o.maxIdleMs(now); got < 900 || got > 1100 || before <= got {
		t.Errorf("after the end of one that was idle for 2 s, %v ms, and %v before", got, before)
	}
	for _, rested := range []float64{-1, 100} { // reset in its first use, and when it was used again
		l := &workerConn{s: s, to: l.to, state: busy, rested: rested}
		l.closed(&fakeConn{of: l}, io.EOF)
		if got := o.maxIdleMs(now); (got < 100) != (rested >= 0) {
			t.Errorf("after a reset of one that had been idle for %v ms, %v ms", rested, got)
		}
	}
	if got := o.maxIdleMs(now + 60000); got != before {
		t.Errorf("%v ms in the end, and %v at first", got, before)
	}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// garble changes up to three bytes.
func garble(r *rand.Rand, text string) string {
	b := []byte(text)
	for range r.Intn(4) {
		b[r.Intn(len(b))] = "\x00\r\n{}\":,05aZ\xff"[r.Intn(13)]
	}
	return string(b)
}

// Whatever a worker answers, in whatever pieces, its posting ends once; a good answer settles the txn.
func TestAnyAnswerEndsItsPostingOnce(t *testing.T) {
	good := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		chunk(`{"id":"r1","state":"started"}`+"\n") +
		chunk(`{"id":"r1","state":"running","share":0.5}`+"\n"+`{"id":"r1","sta`) +
		chunk(`te":"done","load":{"x0":1},"result":"x"}`+"\n") + "0\r\n\r\n"
	run := func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		s, l := onceOnly(t)
		p, c := l.p, &fakeConn{of: l}
		l.opened(c)
		text := garble(r, good)
		for rest := text; rest != "" && !c.ended; {
			n := 1 + r.Intn(len(rest))
			c.in, rest = append(c.in, rest[:n]...), rest[n:]
			l.traffic(c)
		}
		reused := !c.ended && l.state == idle
		c.Close()
		if p.t.out != 0 || p.conn != nil || len(s.pool.conns) != 0 || len(l.to.idleConns) != 0 {
			t.Errorf("%q: posting %+v, connection %+v", text, p, l)
		}
		if text == good && !(p.t.over && reused) {
			t.Errorf("cut somehow it does not settle: over %t, reused %t", p.t.over, reused)
		}
		return !t.Failed()
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 2000}); err != nil {
		t.Error(err)
	}
}

// Whatever discovery tells, only workers with an address are known.
func TestAnyListIsSafe(t *testing.T) {
	const good = `{"seq":4,"whole":true,"hosts":[{"host":"w1","dial":"127.0.0.1:3","site":"a","class":"k",` +
		`"block":3,"health":"in_service","share":1.0,"born_ms":0},` +
		`{"host":"w2","dial":"127.0.0.1:4","health":"terminating"}]}`
	run := func(seed int64) bool {
		s, _ := onceOnly(t)
		text := garble(rand.New(rand.NewSource(seed)), good)
		_, err := s.roster.readList([]byte(text))
		for _, w := range s.pool.targets {
			if _, bad := netip.ParseAddrPort(w.addr); bad != nil || w.id == "" {
				t.Errorf("%s: %+v", text, w)
			}
		}
		if text == good && (err != nil || len(s.pool.targets) != 2 || s.pool.inService(s.pool.target("w2"))) {
			t.Errorf("%v %v", err, s.pool.targets)
		}
		s.drive.mod.NextPosting(s.now())
		return !t.Failed()
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 2000}); err != nil {
		t.Error(err)
	}
}
