package scheduler

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
)

const (
	callersMost = 8       // with their descriptors out of ownSockets
	callerFor   = 10000.0 // for a call to come and its answer to be read: callers themselves wait far less
)

// Ids are short; one that is longer than this is none.
var opsLimits = http1.Limits{Head: 4 << 10, Body: 256}

// ops is the second address, where staff ask and tell: one call to a connection.
type ops struct {
	s       *Scheduler
	at      *eventloop.Listener // nil where there is none
	all     []*caller           // the one that came first in front
	staffed map[string]record   // workers that staff or the fleet took out, now or lately
	fleet   fleet
}

// caller is a connection to it.
type caller struct {
	s     *Scheduler
	conn  eventloop.Conn // nil once it is closed
	req   http1.Request
	since float64
	ends  bool // the call has come

	answered, shut bool // its answer was given, and is written
}

func (o *ops) init(s *Scheduler) {
	*o = ops{s: s, staffed: map[string]record{}}
	o.fleet.init()
}

// accept takes a caller. Of more than can be held the one that has stood for longest goes: who means to call
// does so at once.
func (o *ops) accept(conn eventloop.Conn) {
	if len(o.all) >= callersMost {
		o.all[0].close()
	}
	c := &caller{s: o.s, conn: conn, since: o.s.now()}
	c.req.Reset(opsLimits)
	conn.SetContext(c)
	o.all = append(o.all, c)
}

func (o *ops) sweep(now float64) {
	for len(o.all) > 0 && now > o.all[0].since+callerFor {
		o.all[0].close()
	}
	for _, c := range o.all {
		c.finish()
	}
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

func (c *caller) opened(eventloop.Conn) {}

func (c *caller) closed(eventloop.Conn, error) {
	o := &c.s.ops
	c.conn = nil
	for i, x := range o.all {
		if x == c {
			o.all = append(o.all[:i], o.all[i+1:]...)
			return
		}
	}
}

func (c *caller) traffic(eventloop.Conn) {
	buf := c.conn.Peek()
	if c.ends {
		c.conn.Discard(len(buf)) // closed with bytes unread, its answer might be lost
		return
	}
	n, err := c.req.Feed(buf)
	if n > 0 {
		c.conn.Discard(n)
	}
	if e, ok := err.(*http1.Error); ok {
		c.answer(e.Status, e.Reason+"\n")
	} else if c.req.Done() && c.req.Target == metricsPath && c.req.Method == "GET" {
		c.reply(200, metricsType, c.s.metrics.text())
	} else if c.req.Done() {
		status, body := c.s.ops.call(&c.req)
		wait := c.s.handover.settles()
		if c.ends = true; wait == 0 || status != 200 {
			c.answer(status, body)
			return
		}
		time.AfterFunc(wait, func() { c.s.onLoop(func() { c.answer(status, body) }) })
	}
}

// answer ends the call with a word of text.
func (c *caller) answer(status int, body string) { c.reply(status, "", body) }

// reply ends the call. The caller closes the connection, or is closed in time. fields are further lines of the head.
func (c *caller) reply(status int, fields, body string) {
	if c.ends = true; c.conn == nil {
		return
	}
	if c.req.Method == "HEAD" {
		body = ""
	}
	b := append(headOf(status, len(body), fields+"Connection: close\r\n"), body...)
	if err := c.conn.Write(b); err == nil {
		c.answered = true
		c.finish()
	}
}

// finish ends this side of the connection once all of the answer is written: sooner, what is left of it would be lost.
func (c *caller) finish() {
	if c.answered && !c.shut && c.conn.OutboundBuffered() == 0 {
		c.shut = true
		_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
}

// call carries out one call.
func (o *ops) call(q *http1.Request) (status int, body string) {
	path, more, _ := strings.Cut(q.Target, "?")
	by, err := fencedBy(q)
	if err != nil {
		return 400, err.Error() + "\n"
	}
	switch path {
	case "/ops/fence":
		switch {
		case q.Method == "GET":
			return 200, o.known(strings.TrimPrefix(more, "zone="))
		case q.Method != "POST":
			return 405, "GET or POST\n"
		case by == nil:
			return 400, "fleet-fence is missing\n"
		}
		return o.fence(by)
	case "/ops/readiness":
		switch {
		case q.Method != "GET" && q.Method != "HEAD":
			return 405, "GET only\n"
		case o.s.phase != serving:
			return 503, o.s.phase.String() + "\n"
		}
		return 200, "serving\n"
	case "/ops/workers/down", "/ops/workers/up":
	default:
		return 404, "no such call\n"
	}
	id := strings.TrimSpace(string(q.Body()))
	switch {
	case q.Method != "POST":
		return 405, "POST only\n"
	case id == "":
		return 400, "the body is to be a worker's id\n"
	case by == nil && o.s.pool.target(id) == nil && !o.staffed[id].out():
		return 404, "no such worker\n"
	}
	var r record
	status, body = o.change(by, func(in *records) (int, string) {
		r = in.Workers[id]
		matter, change, now := "", r.Change, o.s.now()
		if by != nil {
			matter = by.matter
			if by.change < r.Change && !planted("no-change") {
				return 409, fmt.Sprintf("change %d\n", r.Change)
			}
			change = by.change
		}
		switch out := path == "/ops/workers/down"; {
		case out == r.out():
			if r.Fleet == matter {
				r.Change = change
				in.Workers[id] = r
			}
			return 200, "so already\n"
		case out && r.Since == 0 && len(in.Workers) >= mostStaffed:
			return 503, "no room for one more worker\n"
		case out:
			r = record{Since: now, Fleet: matter, Change: change}
		case r.Fleet != matter && r.Fleet != "":
			return 409, "the fleet took it out: " + r.Fleet + "\n"
		case r.Fleet != matter:
			return 409, "staff took it out here\n"
		default:
			r.Back, r.Change = now, change
		}
		in.Workers[id] = r
		return 200, "done\n"
	})
	if status == 200 {
		o.set(id, r)
		if by != nil {
			o.s.log.Printf("msg=told id=%q out=%t matter=%q number=%d", id, r.out(), by.matter, by.number)
		}
	}
	return status, body
}

// set takes what staff did with a worker, here or at another process, where it is newer than what is known.
func (o *ops) set(id string, r record) {
	was := o.staffed[id]
	if r.at() <= was.at() {
		if r.at() == was.at() && r.Change > was.Change {
			o.staffed[id] = r
		}
		return
	}
	o.staffed[id] = r
	if was.Since < r.Since {
		o.s.drive.mod.Withdrawn(r.Since, id)
	}
	if !r.out() {
		o.s.drive.mod.Returned(r.Back, id)
	}
	if to := o.s.pool.target(id); to != nil && r.out() {
		to.leave() // it restarts meanwhile, so its idle connections are of no use
	}
	o.s.log.Printf("msg=worker id=%q out=%t", id, r.out())
}
