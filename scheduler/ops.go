package scheduler

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"golang.org/x/sys/unix"

	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
)

const (
	maxCallers      = 8       // their descriptors are counted in reservedDescriptors
	callerTimeoutMs = 10000.0 // from connection to the reading of the answer; callers' own timeouts are far shorter
)

// opsLimits bounds calls, in bytes. The longest body is a worker's id, and no id is longer than this.
var opsLimits = http1.Limits{Head: 4 << 10, Body: 256}

// ops serves the management address: staff and the fleet (see fleet) read the scheduler's state there, and take workers out of
// service or put them back. Each connection carries one call.
type ops struct {
	s             *Scheduler
	listener      *eventloop.Listener // nil if the configuration names no management address
	callers       []*caller           // open connections, in order of arrival
	workerRecords map[string]record   // by worker id: those that staff or the fleet took out of service, or put back lately
	fleet         fleet
}

// caller is a connection to the management address.
type caller struct {
	s          *Scheduler
	conn       eventloop.Conn // nil once it is closed
	req        http1.Request
	acceptedAt float64 // when it was accepted, in ms
	received   bool    // the call has arrived whole or is malformed; bytes that follow are dropped

	answered    bool // the answer was passed to the connection
	writeClosed bool // the answer is written whole, and the connection half-closed
}

func (o *ops) init(s *Scheduler) {
	*o = ops{s: s, workerRecords: map[string]record{}}
	o.fleet.init()
}

// accept takes a connection of a caller. Beyond maxCallers the oldest connection is closed: a caller sends its call at once, so
// the oldest is the least likely to be in use.
func (o *ops) accept(conn eventloop.Conn) {
	if len(o.callers) >= maxCallers {
		o.callers[0].close()
	}
	c := &caller{s: o.s, conn: conn, acceptedAt: o.s.now()}
	c.req.Reset(opsLimits)
	conn.SetContext(c)
	o.callers = append(o.callers, c)
}

// sweep closes connections that are too old, and half-closes those whose answer has been written meanwhile.
func (o *ops) sweep(now float64) {
	for len(o.callers) > 0 && now > o.callers[0].acceptedAt+callerTimeoutMs {
		o.callers[0].close()
	}
	for _, c := range o.callers {
		c.shutdownWrite()
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
	for i, x := range o.callers {
		if x == c {
			o.callers = append(o.callers[:i], o.callers[i+1:]...)
			return
		}
	}
}

// traffic reads the call and answers it. A call that succeeded is answered only after successDelay.
func (c *caller) traffic(eventloop.Conn) {
	buf := c.conn.Peek()
	if c.received {
		c.conn.Discard(len(buf)) // a connection closed with unread bytes is reset, and its answer might be lost
		return
	}
	n, err := c.req.Feed(buf)
	if n > 0 {
		c.conn.Discard(n)
	}
	if e, ok := err.(*http1.Error); ok {
		c.answerText(e.Status, e.Reason+"\n")
	} else if c.req.Complete() && c.req.Target == metricsPath && c.req.Method == "GET" {
		c.writeAnswer(200, metricsContentType, c.s.metrics.text())
	} else if c.req.Complete() {
		status, body := c.s.ops.handle(&c.req)
		delay := c.s.handover.successDelay()
		if c.received = true; delay == 0 || status != 200 {
			c.answerText(status, body)
			return
		}
		time.AfterFunc(delay, func() { c.s.onLoop(func() { c.answerText(status, body) }) })
	}
}

// answerText answers the call with a plain text body.
func (c *caller) answerText(status int, body string) { c.writeAnswer(status, "", body) }

// writeAnswer answers the call. The caller then closes the connection, or sweep does. extraLines are further header lines, each
// with its CRLF.
func (c *caller) writeAnswer(status int, extraLines, body string) {
	if c.received = true; c.conn == nil {
		return
	}
	if c.req.Method == "HEAD" {
		body = ""
	}
	response := append(responseHead(status, len(body), extraLines+"Connection: close\r\n"), body...)
	if err := c.conn.Write(response); err == nil {
		c.answered = true
		c.shutdownWrite()
	}
}

// shutdownWrite half-closes the connection once the answer is written whole: if done before, the rest of the answer would be
// lost.
func (c *caller) shutdownWrite() {
	if c.answered && !c.writeClosed && c.conn.OutboundBuffered() == 0 {
		c.writeClosed = true
		_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
}

// handle carries out one call and returns its answer.
func (o *ops) handle(req *http1.Request) (status int, body string) {
	path, query, _ := strings.Cut(req.Target, "?")
	fence, err := parseFencedCall(req)
	if err != nil {
		return 400, err.Error() + "\n"
	}
	switch path {
	case "/ops/fence":
		switch {
		case req.Method == "GET":
			return 200, o.fleetStatusJSON(strings.TrimPrefix(query, "zone="))
		case req.Method != "POST":
			return 405, "GET or POST\n"
		case fence == nil:
			return 400, "fleet-fence is missing\n"
		}
		return o.recordToken(fence)
	case "/ops/readiness":
		switch {
		case req.Method != "GET" && req.Method != "HEAD":
			return 405, "GET only\n"
		case o.s.phase != serving:
			return 503, o.s.phase.String() + "\n"
		}
		return 200, "serving\n"
	case "/ops/workers/down", "/ops/workers/up":
	default:
		return 404, "no such call\n"
	}
	id := strings.TrimSpace(string(req.Body()))
	switch {
	case req.Method != "POST":
		return 405, "POST only\n"
	case id == "" || !utf8.ValidString(id): // the records file would have another id
		return 400, "the body is to be a worker's id\n"
	case fence == nil && o.s.pool.worker(id) == nil && !o.workerRecords[id].isOut():
		return 404, "no such worker\n"
	}
	var rec record
	status, body = o.changeRecords(fence, func(stored *records) (int, string) {
		rec = stored.Workers[id]
		matter, change, now := "", rec.Change, o.s.now()
		if fence != nil {
			matter = fence.matter
			if fence.change < rec.Change && !faultInjected("no-change") {
				return 409, fmt.Sprintf("change %d\n", rec.Change)
			}
			change = fence.change
		}
		switch out := path == "/ops/workers/down"; {
		case out == rec.isOut():
			if rec.Fleet == matter {
				rec.Change = change
				stored.Workers[id] = rec
			}
			return 200, "so already\n"
		case out && rec.Since == 0 && len(stored.Workers) >= maxRecords:
			return 503, "no room for one more worker\n"
		case out:
			rec = record{Since: now, Fleet: matter, Change: change}
		case rec.Fleet != matter && rec.Fleet != "":
			return 409, "the fleet took it out: " + rec.Fleet + "\n"
		case rec.Fleet != matter:
			return 409, "staff took it out here\n"
		default:
			rec.PutBack, rec.Change = now, change
		}
		stored.Workers[id] = rec
		return 200, "done\n"
	})
	if status == 200 {
		o.applyRecord(id, rec)
		if fence != nil {
			o.s.log.Printf("msg=told id=%q out=%t matter=%q number=%d", id, rec.isOut(), fence.matter, fence.token)
		}
	}
	return status, body
}

// applyRecord takes over a record of a worker, made here or by another process, if it is newer than the known one, and tells the
// module whether the worker is out of service. Of two records with the same time, the one with the higher change number is kept.
func (o *ops) applyRecord(id string, rec record) {
	former := o.workerRecords[id]
	if rec.changedAt() <= former.changedAt() {
		if rec.changedAt() == former.changedAt() && rec.Change > former.Change {
			o.workerRecords[id] = rec
		}
		return
	}
	o.workerRecords[id] = rec
	if former.Since < rec.Since {
		o.s.driver.module.Withdrawn(rec.Since, id)
	}
	if !rec.isOut() {
		o.s.driver.module.Returned(rec.PutBack, id)
	}
	if worker := o.s.pool.worker(id); worker != nil && rec.isOut() {
		worker.closeIdle() // the worker is restarted while it is out of service, which ends its idle connections
	}
	o.s.log.Printf("msg=worker id=%q out=%t", id, rec.isOut())
}
