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
	headMost          = 16 << 10
	maxBodyBytes      = 64 << 10
	defaultMemoryMB   = 64
	bodyMemoryDivisor = 8 // of the memory goes to bodies: each is held about twice, and the collector needs as much
	refMost           = 128
	// Connections taken beyond the bound only to be told so: what they bring may have been written already.
	extraClients = 16

	// How long nothing need come on a connection that has not brought a request whole, and how long that may
	// take. Usual clients send a request in one go, yet some come over bad links; at the bound on connections
	// those that say nothing go first in any case.
	requestIdleMs  = 2000.0
	requestTotalMs = 10000.0
	idleFor        = 60000.0
	writeTimeoutMs = 10000.0 // for a client to take its answer
	lingerMs       = 1000.0  // for a client to read an answer before the connection is gone
	// A question to the kernel that was interrupted, or found no memory, is asked again so often.
	pollAttempts  = 20
	minWaitMs     = 5.0    // ms: less is the loop's ordinary work
	minTimeLeftMs = 1.0    // ms, of a request whose time is over by the time that it is read
	logIntervalMs = 1000.0 // a fault that comes with each connection is logged so often at the most
)

// clients holds the connections that clients have made.
type clients struct {
	s              *Scheduler
	all            []*client
	maxClients     int
	bodyBytes      int // bytes of bodies, and how many there may be
	bodyBytesLimit int
	loggedAt       float64 // when the bound was last logged
}

// client is one such connection. It carries one request at a time.
type client struct {
	s                *Scheduler
	conn             eventloop.Conn // nil once it is closed
	index            int            // its place in all
	req              http1.Request
	t                *txn    // the one that its answer is owed for
	since            float64 // when its present state began, or when part of a request last came
	requestStart     float64 // when the request began to come
	answeredTxn      bool    // a txn of it was answered, so it is a usual client's and not a silent one
	overLimit        bool    // taken beyond the bound: its request is declined at once
	requestBegun     bool    // part of a request has come
	readsBlocked     bool    // traffic is at work on it
	bodyBytes        int     // bytes of its request's body
	closeAfterAnswer bool    // the connection ends after this answer
	closing          bool    // the last answer is being written
	shut             bool    // the answer was written, and no more goes out
	departed         bool    // its other side has closed it, which the loop has yet to read

	transferred bool // another process of this scheduler passed it on
}

var requestLimits = http1.Limits{Head: headMost, Body: maxBodyBytes}

func (cs *clients) init(s *Scheduler) {
	cs.s = s
	cs.applyLimits()
}

// bound works out how many there may be. Beyond it those go that owe and are owed nothing.
func (cs *clients) applyLimits() {
	s, mb := cs.s, cs.s.node.Limits.MemoryMB
	if mb <= 0 {
		mb = defaultMemoryMB
	}
	cs.bodyBytesLimit = s.handover.limitShare(mb<<20) / bodyMemoryDivisor
	cs.maxClients = s.sockets() - ownSockets - s.workerConnsMost() - s.dialsMost() - extraClients
	for len(cs.all) > cs.maxClients {
		evicted := cs.evictionCandidate(nil)
		if evicted == nil {
			return
		}
		evicted.close()
	}
}

// sockets is how many descriptors the process may hold: by the configuration, and no more than the system lets it have.
func (s *Scheduler) sockets() int {
	n := s.node.Limits.Sockets
	if n <= 0 {
		n = defaultSockets
	}
	return int(min(uint64(max(s.handover.limitShare(n), minSockets)), s.systemDescriptors))
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
	c.conn, c.index, c.since = conn, len(cs.all), cs.s.now()
	c.req.Reset(requestLimits)
	cs.all = append(cs.all, c)
	if len(cs.all) <= cs.maxClients {
		return
	}
	// Out of descriptors nobody could be accepted, so one goes that owes and is owed nothing.
	evicted := cs.evictionCandidate(c)
	switch {
	case evicted != nil:
		evicted.close()
	case c.transferred: // what it brought is another process's word
	case len(cs.all) <= cs.maxClients+extraClients:
		c.overLimit = true
	default:
		c.close()
	}
	if now := cs.s.now(); evicted == nil && now > cs.loggedAt+logIntervalMs {
		cs.loggedAt = now
		cs.s.log.Printf("msg=bound of=clients count=%d", len(cs.all))
	}
}

// spare finds the one that can best be done without, but for one.
func (cs *clients) evictionCandidate(except *client) (best *client) {
	for _, candidate := range cs.all {
		if candidate != except && candidate.evictionRank() > 0 && (best == nil || candidate.evictionRank() > best.evictionRank() ||
			candidate.evictionRank() == best.evictionRank() && candidate.since < best.since) && !candidate.unread() {
			best = candidate
		}
	}
	return best
}

// busy tells whether any answer is owed, or has yet to reach its client's machine, or bytes have come that the loop has
// not read, over which the process's end would reset their connection; or a usual client is still there.
func (cs *clients) hasPending() bool {
	for _, c := range cs.all {
		if c.t != nil || c.requestBegun || c.conn.OutboundBuffered() > 0 || c.answeredTxn || c.unread() || c.hasUnacked() {
			return true
		}
	}
	return false
}

// spare tells how well it can be done without, 0 where not at all: first goes what has its answer, then what
// never said anything, then what has yet to say all of its first request, last a usual client's between two.
func (c *client) evictionRank() int {
	switch {
	case c.t != nil || c.conn.OutboundBuffered() > 0 || c.answeredTxn && c.requestBegun:
		return 0
	case c.closing:
		return 4
	case c.answeredTxn:
		return 1
	case c.requestBegun:
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
func (c *client) hasUnacked() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCOUTQ)
	return err == nil && n > 0
}

// left tells whether the client has closed its connection or ended its sending. The loop may not have read that yet: it
// stands behind bytes that are not read, or came while the loop did something else.
func (c *client) left() bool {
	fds := []unix.PollFd{{Fd: int32(c.conn.Fd()), Events: unix.POLLRDHUP}}
	for range pollAttempts {
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
	last := len(cs.all) - 1
	cs.all[c.index] = cs.all[last]
	cs.all[c.index].index = c.index
	cs.all = cs.all[:last]
	c.conn = nil
	c.setBodyBytes(0)
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
	if c.readsBlocked {
		return // an answer given there goes on with what is buffered
	}
	c.readsBlocked = true
	defer func() { c.readsBlocked = false }()
	for c.conn != nil && c.t == nil && !c.closing {
		buf := c.conn.Peek()
		if len(buf) == 0 {
			return
		}
		c.since = c.s.now()
		if !c.requestBegun {
			c.requestBegun, c.requestStart = true, c.since
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
		if c.setBodyBytes(len(c.req.Body())); c.s.clients.bodyBytes > c.s.clients.bodyBytesLimit {
			c.answer(503, "no room for the body\n", -1)
			return
		}
		if !c.req.Done() {
			if c.req.HeadDone() && !before && c.req.Fields().Has("expect", "100-continue") {
				_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		c.handleRequest()
	}
	if c.conn == nil {
		return
	}
	if c.closing {
		c.conn.Discard(c.conn.InboundBuffered())
	} else if c.conn.InboundBuffered() > headMost+maxBodyBytes {
		c.close() // it sends on and on and reads no answer
	}
}

// hold counts the bytes that the request's body takes.
func (c *client) setBodyBytes(size int) {
	c.s.clients.bodyBytes += size - c.bodyBytes
	c.bodyBytes = size
}

// serve takes a request that has come whole.
func (c *client) handleRequest() {
	c.closeAfterAnswer = c.req.Close() || c.overLimit
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
	schemeName, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	scheme := place(c.s.node.told.Schemes, schemeName)
	if scheme < 0 {
		c.answer(404, "no such scheme\n", -1)
		return
	}
	if c.overLimit {
		c.answer(503, "all connections are busy\n", -1)
		return
	}
	if c.req.Method != "POST" {
		c.answer(405, "POST only\n", -1)
		return
	}
	request, problem := c.read(scheme)
	if problem != "" {
		c.answer(400, problem+"\n", -1)
		return
	}
	if c.s.drive.txns[request.txn.Ref] != nil {
		c.answer(409, "Request-Id is in use\n", -1)
		return
	}
	if planted("declines-all") {
		c.s.drive.finals.Declined++
		c.answer(503, "declined\n", -1)
		return
	}
	request.txn.Left = max(request.txn.Left-c.unreadWaitMs(), minTimeLeftMs)
	c.t = c.s.drive.arrive(c, request)
}

// waited is for how long the request may have been there, unread: as clients could not be accepted, or their bytes not be read,
// or this process stood still. Its time counts from its last byte.
func (c *client) unreadWaitMs() float64 {
	ms := float64(time.Since(c.conn.Since())) / float64(time.Millisecond)
	if ms < minWaitMs {
		return 0
	}
	return ms
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// answer writes the one answer to the request at hand and goes on to the next. stay is how long the client
// should keep away, in milliseconds, where it is above 0. What was no txn ends its connection: a client that
// sends what is of no use, or only asks after the scheduler's health, has no claim to keep a descriptor.
func (c *client) answer(status int, body string, retryAfterMs float64) {
	if c == nil || c.conn == nil {
		return
	}
	// One that asks on and reads no answers is cut off. What a stopping scheduler turns away may go to
	// another.
	c.closeAfterAnswer = c.closeAfterAnswer || c.t == nil || c.conn.OutboundBuffered() > 0
	c.closeAfterAnswer = c.closeAfterAnswer || c.s.closesAfterAnswer(c.s.now()) || c.s.phase == draining && status != 200 && c.s.handover.successorFD == 0
	extraLines := ""
	if retryAfterMs > 0 {
		extraLines = "Retry-After: " + strconv.FormatFloat(retryAfterMs/1000, 'f', -1, 64) + "\r\n"
	}
	if c.closeAfterAnswer {
		extraLines += "Connection: close\r\n"
	}
	text := body
	if c.req.Method == "HEAD" {
		text = ""
	}
	response := append(responseHead(status, len(body), extraLines), text...)
	c.since, c.requestBegun, c.answeredTxn, c.closing = c.s.now(), false, c.answeredTxn || c.t != nil, c.closeAfterAnswer
	c.t = nil
	c.setBodyBytes(0)
	c.req.Reset(requestLimits)
	if err := c.conn.Write(response); err != nil || c.conn == nil {
		return
	}
	if c.closing {
		c.shutdownWrite()
	} else if c.conn.InboundBuffered() > 0 {
		c.traffic(c.conn)
	}
}

// headOf makes the head of a response. more holds further lines, each with its end.
func responseHead(status, size int, extraLines string) []byte {
	head := make([]byte, 0, 160+len(extraLines)+size)
	head = append(head, "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(status), 10)
	head = append(append(head, ' '), reasonPhrases[status]...)
	head = append(head, "\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(size), 10)
	switch status {
	case 200:
	case 405:
		head = append(head, "\r\nAllow: GET, POST\r\nContent-Type: text/plain"...)
	default:
		head = append(head, "\r\nContent-Type: text/plain"...)
	}
	head = append(head, "\r\n"...)
	return append(append(head, extraLines...), "\r\n"...)
}

// finish ends a connection after its last answer. Closed at once with bytes unread, or on their way, it would
// be reset and the client could lose the answer.
func (c *client) shutdownWrite() {
	if c.conn.OutboundBuffered() > 0 || c.shut {
		return
	}
	c.closing, c.shut, c.since = true, true, c.s.now()
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
			if age > lingerMs && !c.unread() && !c.hasUnacked() || age > writeTimeoutMs {
				c.close()
			}
		case c.conn.OutboundBuffered() > 0:
			if age > writeTimeoutMs && c.t == nil {
				c.close()
			}
		case c.closing:
			c.shutdownWrite()
		case c.t != nil:
		case c.requestBegun:
			if age > requestIdleMs || now-c.requestStart > requestTotalMs {
				c.answer(408, "request too slow\n", -1)
			}
		case age > requestIdleMs && !c.answeredTxn, age > idleFor, cs.s.closesIdle(now) && c.answeredTxn:
			// Its client may send just now. Closed over what comes the connection would be reset; ended first from
			// this side, it is read and dropped, and the client sends it elsewhere.
			if !c.unread() {
				c.shutdownWrite()
			}
		}
	}
}
