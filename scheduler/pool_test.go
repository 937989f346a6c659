package scheduler

import (
	"fmt"
	"io"
	"log"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"shalebeam/balance"
)

// What loopback sockets do only by chance is told to a lane by hand.

type fakeConn struct {
	gnet.Conn
	unsent int
	wrote  string
}

func (c *fakeConn) OutboundBuffered() int { return c.unsent }
func (c *fakeConn) Fd() int               { return -1 }
func (c *fakeConn) Write(b []byte) (int, error) {
	c.wrote += string(b)
	return len(b), nil
}

type fakeLoop struct{ gnet.EventLoop }

func (fakeLoop) Close(gnet.Conn) error { return nil }

// onceOnly is a scheduler with a once-only txn whose posting waits for a lane's connection.
func onceOnly(t *testing.T) (*Scheduler, *lane) {
	t.Helper()
	n, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{
"schemes":[{"name":"buy","effect":"fragile","expiry":20000000,"gain":1,"sla_time":9000000}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	s := New(n, log.New(io.Discard, "", 0))
	s.loop = fakeLoop{}
	s.pool.know("w1", "127.0.0.1:3", true)
	s.drive.mod.ListChanged(s.now(), true, []balance.Listed{{ID: "w1", Weight: 1}})
	x := s.drive.arrive(nil, ask{txn: balance.Txn{Ref: "r1", Hint: 100, Left: 20000}})
	if _, ok := s.drive.mod.NextPosting(s.now()); !ok {
		t.Fatal("no posting")
	}
	l := &lane{s: s, to: s.pool.target("w1"), addr: "127.0.0.1:3"}
	l.p = &posting{t: x, lane: l, until: x.until}
	x.posts, x.out = append(x.posts, l.p), 1
	s.pool.lanes, s.pool.dials = append(s.pool.lanes, l), 1
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
			c := &fakeConn{}
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
		if got := l.load([]byte(text)); got.Free != want {
			t.Errorf("%q: %v, want %v", text, got.Free, want)
		}
	}
}

// A worker that begins to drain while a connection to it is made is sent nothing on that.
func TestNothingGoesToADrainingWorkerOnANewConnection(t *testing.T) {
	s, l := onceOnly(t)
	s.pool.know("w1", "127.0.0.1:3", false)
	c := &fakeConn{}
	l.opened(c)
	if c.wrote != "" || l.p != nil || s.reversed() {
		t.Errorf("sent %q", c.wrote)
	}
}
