package scheduler

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
)

const (
	headMost     = 16 << 10
	bodyMost     = 64 << 10
	memoryUntold = 64
	bodyPart     = 8 // of the memory goes to bodies: each is held about twice, and the collector needs as much
	refMost      = 128
	// Connections taken beyond the bound only to be told so: what they bring may have been written already.
	spareClients = 16

	// How long nothing need come on a connection that has not brought a request whole, and how long that may
	// take. Usual clients send a request in one go, yet some come over bad links; at the bound on connections
	// those that say nothing go first in any case.
	requestFor = 2000.0
	piecesFor  = 10000.0
	idleFor    = 60000.0
	writeFor   = 10000.0 // for a client to take its answer
	lingerFor  = 1000.0  // for a client to read an answer before the connection is gone
	// A question to the kernel that was interrupted, or found no memory, is asked again so often.
	pollRepeats = 20
	waitedFrom  = 5.0    // ms: less is the loop's ordinary work
	leastLeft   = 1.0    // ms, of a request whose time is over by the time that it is read
	sayEvery    = 1000.0 // a fault that comes with each connection is logged so often at the most
)

// clients holds the connections that clients have made.
type clients struct {
	s      *Scheduler
	all    []*client
	most   int
	held   int // bytes of bodies, and how many there may be
	room   int
	saidAt float64 // when the bound was last logged
}

// client is one such connection. It carries one request at a time.
type client struct {
	s        *Scheduler
	conn     eventloop.Conn // nil once it is closed
	at       int            // its place in all
	req      http1.Request
	t        *txn    // the one that its answer is owed for
	since    float64 // when its present state began, or when part of a request last came
	from     float64 // when the request began to come
	used     bool    // a txn of it was answered, so it is a usual client's and not a silent one
	full     bool    // taken beyond the bound: its request is declined at once
	begun    bool    // part of a request has come
	reads    bool    // traffic is at work on it
	held     int     // bytes of its request's body
	last     bool    // the connection ends after this answer
	ends     bool    // the last answer is being written
	shut     bool    // the answer was written, and no more goes out
	departed bool    // its other side has closed it, which the loop has yet to read

	passed bool // another process of this scheduler passed it on
}

var requestLimits = http1.Limits{Head: headMost, Body: bodyMost}

func (cs *clients) init(s *Scheduler) {
	cs.s = s
	cs.bound()
}

// bound works out how many there may be. Beyond it those go that owe and are owed nothing.
func (cs *clients) bound() {
	s, mb := cs.s, cs.s.node.Limits.MemoryMB
	if mb <= 0 {
		mb = memoryUntold
	}
	cs.room = s.handover.part(mb<<20) / bodyPart
	cs.most = s.sockets() - ownSockets - s.workerConnsMost() - s.dialsMost() - spareClients
	for len(cs.all) > cs.most {
		out := cs.spare(nil)
		if out == nil {
			return
		}
		out.close()
	}
}

// sockets is how many descriptors the process may hold: by the configuration, and no more than the system lets it have.
func (s *Scheduler) sockets() int {
	n := s.node.Limits.Sockets
	if n <= 0 {
		n = socketsUntold
	}
	return int(min(uint64(max(s.handover.part(n), fewestSockets)), s.descriptors))
}

// descriptorLimit is the system's limit on this process. It is asked for once: what is bounded by it must not follow one that
// is lower for a moment.
func descriptorLimit() uint64 {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil {
		return math.MaxInt
	}
	return own.Cur
}

func (cs *clients) accept(conn eventloop.Conn) {
	c := &client{s: cs.s}
	conn.SetContext(c)
	cs.s.handover.came()
	cs.add(c, conn)
}

func (cs *clients) add(c *client, conn eventloop.Conn) {
	c.conn, c.at, c.since = conn, len(cs.all), cs.s.now()
	c.req.Reset(requestLimits)
	cs.all = append(cs.all, c)
	if len(cs.all) <= cs.most {
		return
	}
	// Out of descriptors nobody could be accepted, so one goes that owes and is owed nothing.
	out := cs.spare(c)
	switch {
	case out != nil:
		out.close()
	case c.passed: // what it brought is another process's word
	case len(cs.all) <= cs.most+spareClients:
		c.full = true
	default:
		c.close()
	}
	if now := cs.s.now(); out == nil && now > cs.saidAt+sayEvery {
		cs.saidAt = now
		cs.s.log.Printf("msg=bound of=clients count=%d", len(cs.all))
	}
}

// spare finds the one that can best be done without, but for one.
func (cs *clients) spare(but *client) (out *client) {
	for _, o := range cs.all {
		if o != but && o.spare() > 0 && (out == nil || o.spare() > out.spare() ||
			o.spare() == out.spare() && o.since < out.since) && !o.unread() {
			out = o
		}
	}
	return out
}

// busy tells whether any answer is owed, or has yet to reach its client's machine, or bytes have come that the loop has
// not read, over which the process's end would reset their connection; or a usual client is still there.
func (cs *clients) busy() bool {
	for _, c := range cs.all {
		if c.t != nil || c.begun || c.conn.OutboundBuffered() > 0 || c.used || c.unread() || c.unacked() {
			return true
		}
	}
	return false
}

// spare tells how well it can be done without, 0 where not at all: first goes what has its answer, then what
// never said anything, then what has yet to say all of its first request, last a usual client's between two.
func (c *client) spare() int {
	switch {
	case c.t != nil || c.conn.OutboundBuffered() > 0 || c.used && c.begun:
		return 0
	case c.ends:
		return 4
	case c.used:
		return 1
	case c.begun:
		return 2
	}
	return 3
}

// unread tells whether bytes have come that the loop has not read yet. They may be a whole request, which is
// taken once it is here.
func (c *client) unread() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCINQ)
	return err == nil && n > 0
}

// unacked tells whether the client's machine has yet to get some of what was written.
func (c *client) unacked() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCOUTQ)
	return err == nil && n > 0
}

// left tells whether the client has closed its connection or ended its sending. The loop may not have read that yet: it
// stands behind bytes that are not read, or came while the loop did something else.
func (c *client) left() bool {
	fds := []unix.PollFd{{Fd: int32(c.conn.Fd()), Events: unix.POLLRDHUP}}
	for range pollRepeats {
		if n, err := unix.Poll(fds, 0); err == nil {
			return n > 0
		}
	}
	return false
}

// leave takes that the client has left, though the loop has yet to read that.
func (c *client) leave() {
	c.departed = true
	c.close()
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// opened takes one that another process passed on.
func (c *client) opened(conn eventloop.Conn) { c.s.clients.add(c, conn) }

func (c *client) closed(_ eventloop.Conn, err error) {
	cs := &c.s.clients
	if c.t != nil && (c.departed || endedByPeer(err)) {
		cs.s.metrics.left++
	} else if c.t != nil {
		cs.s.metrics.unanswered++
		cs.s.log.Printf("msg=request state=unanswered id=%s phase=%s attempts=%d open=%d err=%q", c.t.ref, cs.s.phase,
			len(c.t.posts), c.t.out, fmt.Sprint(err))
	}
	end := len(cs.all) - 1
	cs.all[c.at] = cs.all[end]
	cs.all[c.at].at = c.at
	cs.all = cs.all[:end]
	c.conn = nil
	c.hold(0)
	if t := c.t; t != nil {
		c.t = nil
		c.s.drive.gone(t)
	}
}

// endedByPeer tells whether a connection ended because the other side closed it or cannot be reached.
func endedByPeer(err error) bool {
	for _, end := range []error{io.EOF, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

func (c *client) traffic(eventloop.Conn) {
	if c.reads {
		return // an answer given there goes on with what is buffered
	}
	c.reads = true
	defer func() { c.reads = false }()
	for c.conn != nil && c.t == nil && !c.ends {
		buf := c.conn.Peek()
		if len(buf) == 0 {
			return
		}
		c.since = c.s.now()
		if !c.begun {
			c.begun, c.from = true, c.since
		}
		before := c.req.HeadDone()
		n, err := c.req.Feed(buf)
		if n > 0 {
			c.conn.Discard(n)
		}
		if e, ok := err.(*http1.Error); ok {
			c.answer(e.Status, e.Reason+"\n", -1)
			return
		}
		if c.hold(len(c.req.Body())); c.s.clients.held > c.s.clients.room {
			c.answer(503, "no room for the body\n", -1)
			return
		}
		if !c.req.Done() {
			if c.req.HeadDone() && !before && c.req.Fields().Has("expect", "100-continue") {
				_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		c.serve()
	}
	if c.conn == nil {
		return
	}
	if c.ends {
		c.conn.Discard(c.conn.InboundBuffered())
	} else if c.conn.InboundBuffered() > headMost+bodyMost {
		c.close() // it sends on and on and reads no answer
	}
}

// hold counts the bytes that the request's body takes.
func (c *client) hold(n int) {
	c.s.clients.held += n - c.held
	c.held = n
}

// serve takes a request that has come whole.
func (c *client) serve() {
	c.last = c.req.Close() || c.full
	path, _, _ := strings.Cut(c.req.Target, "?")
	if path == "/_health" {
		switch {
		case c.req.Method != "GET" && c.req.Method != "HEAD":
			c.answer(405, "GET only\n", -1)
		case c.s.phase != serving:
			c.answer(503, c.s.phase.String()+"\n", -1)
		case !c.s.roster.ready(c.s.now()):
			c.answer(503, "waits for discovery\n", -1)
		default:
			c.answer(200, "serving\n", -1)
		}
		return
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	scheme := place(c.s.node.told.Schemes, first)
	if scheme < 0 {
		c.answer(404, "no such scheme\n", -1)
		return
	}
	if c.full {
		c.answer(503, "all connections are busy\n", -1)
		return
	}
	if c.req.Method != "POST" {
		c.answer(405, "POST only\n", -1)
		return
	}
	a, wrong := c.read(scheme)
	if wrong != "" {
		c.answer(400, wrong+"\n", -1)
		return
	}
	if c.s.drive.txns[a.txn.Ref] != nil {
		c.answer(409, "Request-Id is in use\n", -1)
		return
	}
	if planted("declines-all") {
		c.s.drive.finals.Declined++
		c.answer(503, "declined\n", -1)
		return
	}
	a.txn.Left = max(a.txn.Left-c.waited(), leastLeft)
	c.t = c.s.drive.arrive(c, a)
}

// waited is for how long the request may have been there, unread: as clients could not be accepted, or their bytes not be read,
// or this process stood still. Its time counts from its last byte.
func (c *client) waited() float64 {
	ms := float64(time.Since(c.conn.Since())) / float64(time.Millisecond)
	if ms < waitedFrom {
		return 0
	}
	return ms
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// answer writes the one answer to the request at hand and goes on to the next. stay is how long the client
// should keep away, in milliseconds, where it is above 0. What was no txn ends its connection: a client that
// sends what is of no use, or only asks after the scheduler's health, has no claim to keep a descriptor.
func (c *client) answer(status int, body string, stay float64) {
	if c == nil || c.conn == nil {
		return
	}
	// One that asks on and reads no answers is cut off. What a stopping scheduler turns away may go to
	// another.
	c.last = c.last || c.t == nil || c.conn.OutboundBuffered() > 0
	c.last = c.last || c.s.parting(c.s.now()) || c.s.phase == draining && status != 200 && c.s.handover.to == 0
	more := ""
	if stay > 0 {
		more = "Retry-After: " + strconv.FormatFloat(stay/1000, 'f', -1, 64) + "\r\n"
	}
	if c.last {
		more += "Connection: close\r\n"
	}
	text := body
	if c.req.Method == "HEAD" {
		text = ""
	}
	b := append(headOf(status, len(body), more), text...)
	c.since, c.begun, c.used, c.ends = c.s.now(), false, c.used || c.t != nil, c.last
	c.t = nil
	c.hold(0)
	c.req.Reset(requestLimits)
	if err := c.conn.Write(b); err != nil || c.conn == nil {
		return
	}
	if c.ends {
		c.finish()
	} else if c.conn.InboundBuffered() > 0 {
		c.traffic(c.conn)
	}
}

// headOf makes the head of a response. more holds further lines, each with its end.
func headOf(status, size int, more string) []byte {
	b := make([]byte, 0, 160+len(more)+size)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(size), 10)
	switch status {
	case 200:
	case 405:
		b = append(b, "\r\nAllow: GET, POST\r\nContent-Type: text/plain"...)
	default:
		b = append(b, "\r\nContent-Type: text/plain"...)
	}
	b = append(b, "\r\n"...)
	return append(append(b, more...), "\r\n"...)
}

// finish ends a connection after its last answer. Closed at once with bytes unread, or on their way, it would
// be reset and the client could lose the answer.
func (c *client) finish() {
	if c.conn.OutboundBuffered() > 0 || c.shut {
		return
	}
	c.ends, c.shut, c.since = true, true, c.s.now()
	_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
}

// sweep ends connections that are idle or slow.
func (cs *clients) sweep(now float64) {
	for i := len(cs.all) - 1; i >= 0; i-- {
		if i >= len(cs.all) {
			continue
		}
		c := cs.all[i]
		age := now - c.since
		switch {
		case c.shut:
			if age > lingerFor && !c.unread() && !c.unacked() || age > writeFor {
				c.close()
			}
		case c.conn.OutboundBuffered() > 0:
			if age > writeFor && c.t == nil {
				c.close()
			}
		case c.ends:
			c.finish()
		case c.t != nil:
		case c.begun:
			if age > requestFor || now-c.from > piecesFor {
				c.answer(408, "request too slow\n", -1)
			}
		case age > requestFor && !c.used, age > idleFor, cs.s.leaving(now) && c.used:
			// Its client may send just now. Closed over what comes the connection would be reset; ended first from
			// this side, it is read and dropped, and the client sends it elsewhere.
			if !c.unread() {
				c.finish()
			}
		}
	}
}
