package scheduler

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
)

const (
	maxHeadBytes    = 16 << 10 // bytes of a request's or response's head
	maxBodyBytes    = 64 << 10 // of a request
	maxHeaderFields = 100      // of a request or a response
	defaultMemoryMB = 64       // where the configuration gives no limit
	maxRefBytes     = 128      // bytes of a Request-Id
	maxDiscardBytes = 64 << 10 // read at once after the last answer
	// The longest gap between two reads of an incomplete request, and the longest time from its first byte to its last, in ms.
	// Most clients send a request at once, but some have bad links. At the limit on connections, those that sent nothing are
	// closed first in any case.
	requestIdleMs  = 2000.0
	requestTotalMs = 10000.0
	// How long a client's connection may be idle between two requests, in ms. If no txn was answered on it yet, it
	// is closed after requestIdleMs already.
	keepAliveIdleMs = 60000.0
	writeTimeoutMs  = 10000.0 // for a client to receive its answer
	lingerMs        = 1000.0  // for a client to read its last answer before the connection is closed
	pollAttempts    = 20      // of a poll system call that was interrupted or found no memory
	probeAfterMs    = 50.0    // after the begin of a request, before which its client has just been heard or written to
	minWaitMs       = 5.0     // shorter waits are the event loop's normal latency
	minTimeLeftMs   = 1.0     // what a txn gets if its client's timeout has passed by the time that the request is read
	logIntervalMs   = 1000.0  // between log lines on the limit, which may be hit with each new connection
)

// clients holds the connections that clients have made. All its fields and methods are for the event loop.
type clients struct {
	s          *Scheduler
	all        []*client
	maxClients int
	memory     clientMemory
	loggedAt   float64 // when reaching maxClients was last logged, in ms
}

// client is one connection of a client. It carries one request at a time. Its times are in milliseconds, as now gives them.
type client struct {
	s                *Scheduler
	conn             eventloop.Conn // nil once it is closed
	index            int            // in clients.all
	req              http1.Request
	txn              *txn    // the txn that waits for its answer; nil: none
	stateSince       float64 // when its present state began, or when part of a request last arrived
	requestStart     float64 // when the first byte of the request arrived
	answeredTxn      bool    // a txn was answered on it, so it is not the connection of a client that never sends a request
	overLimit        bool    // accepted beyond maxClients: its request is answered 503 at once
	requestBegun     bool    // part of a request has arrived
	readsBlocked     bool    // traffic returns at once: it is running already, or the connection's txn is not restored yet
	heldBytes        int     // what clients.memory counts for it
	closeAfterAnswer bool    // the answer to the present request is the last one
	closing          bool    // the last answer is being written, or was
	writeClosed      bool    // all was written, and the connection is half-closed
	departed         bool    // the client has closed it, which the loop has yet to read

	transferred bool // taken over from another process of this scheduler
	probesSent  int  // bytes of responseStart that probeClosed has sent ahead of the answer to the open request
}

// responseStart is what each response begins with.
const responseStart = "HTTP/1.1 "

var requestLimits = http1.Limits{Head: maxHeadBytes, Body: maxBodyBytes, Fields: maxHeaderFields}

func (cs *clients) init(s *Scheduler) {
	cs.s = s
	cs.applyLimits()
}

// accept takes a connection that arrived at the clients' listener.
func (cs *clients) accept(conn eventloop.Conn) {
	c := &client{s: cs.s}
	conn.SetContext(c)
	cs.s.handover.noteArrival()
	cs.add(c, conn)
}

// hasPending tells whether the process must not end yet for the sake of a client: a request is open, part of an answer is not
// acknowledged by the client's machine, bytes have arrived that the loop has not read (the kernel would reset their connection
// at the process's end), or a client that had a txn answered is still connected.
func (cs *clients) hasPending() bool {
	for _, c := range cs.all {
		if c.txn != nil || c.requestBegun || c.conn.OutboundBuffered() > 0 || c.answeredTxn || c.hasUnread() || c.hasUnacked() {
			return true
		}
	}
	return false
}

// hasUnread tells whether bytes have arrived that the loop has not read yet. They may be a whole request, and a request that has
// arrived is to be answered.
func (c *client) hasUnread() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCINQ)
	return err == nil && n > 0
}

// hasUnacked tells whether the client's machine has yet to acknowledge some of what was written.
func (c *client) hasUnacked() bool {
	n, err := unix.IoctlGetInt(c.conn.Fd(), unix.SIOCOUTQ)
	return err == nil && n > 0
}

// probeClosed makes the end of a paused connection visible. While the kernel's buffer is full, the end waits at the client's machine
// behind bytes that have no room here, for as long as reads are paused. A byte of the answer is the same whatever the answer will be: a
// client that is there waits for the rest, and the machine of one that has closed its connection resets it.
func (c *client) probeClosed() {
	if c.conn.ReadsPaused() && c.s.now() > c.requestStart+probeAfterMs && c.conn.OutboundBuffered() == 0 && c.probesSent < len(responseStart) {
		c.probesSent++
		_ = c.conn.Write([]byte(responseStart[c.probesSent-1 : c.probesSent]))
	}
}

// hasLeft tells whether the client has closed its connection or its sending side. The event loop may not have read that yet:
// the end of the stream comes after bytes that are not read, or arrived while the loop was busy.
func (c *client) hasLeft() bool {
	if c.probeClosed(); c.conn == nil {
		return true
	}
	fds := []unix.PollFd{{Fd: int32(c.conn.Fd()), Events: unix.POLLRDHUP}}
	for range pollAttempts {
		if n, err := unix.Poll(fds, 0); err == nil {
			return n > 0
		}
	}
	return false
}

// closeDeparted closes the connection of a client for which hasLeft is true, before the event loop has read its end.
func (c *client) closeDeparted() {
	c.departed = true
	c.close()
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// opened registers a connection that was taken over from another process.
func (c *client) opened(conn eventloop.Conn) { c.s.clients.add(c, conn) }

// closed removes the connection, and ends the txn that waits for its answer.
func (c *client) closed(_ eventloop.Conn, err error) {
	cs := &c.s.clients
	if c.txn != nil && (c.departed || endedByPeer(err)) {
		cs.s.metrics.clientsLeft++
	} else if c.txn != nil {
		cs.s.metrics.unanswered++
		cs.s.log.Printf("msg=request state=unanswered id=%s phase=%s attempts=%d open=%d err=%q", c.txn.ref, cs.s.phase,
			len(c.txn.postings), c.txn.openPostings, fmt.Sprint(err))
	}
	last := len(cs.all) - 1
	cs.all[c.index] = cs.all[last]
	cs.all[c.index].index = c.index
	cs.all = cs.all[:last]
	c.conn = nil
	c.chargeMemory()
	if t := c.txn; t != nil {
		c.txn = nil
		c.s.driver.clientGone(t)
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

// traffic reads requests from the connection, one at a time: the next one is read once the answer to this one is written.
func (c *client) traffic(eventloop.Conn) {
	if c.readsBlocked {
		return // in a call by answer the running loop goes on with what is buffered
	}
	c.readsBlocked = true
	c.readRequests()
	c.readsBlocked = false
	if c.conn == nil {
		return
	}
	if c.closing {
		c.conn.Discard(c.conn.InboundBuffered())
	}
	c.limitWaitingBytes()
	c.chargeMemory()
	c.s.clients.relieveMemory()
}

// readRequests handles what is buffered, until a request is open, or the connection ends or needs more bytes.
func (c *client) readRequests() {
	for c.conn != nil && c.txn == nil && !c.closing {
		buf := c.conn.Peek()
		if len(buf) == 0 {
			return
		}
		c.stateSince = c.s.now()
		if !c.requestBegun {
			c.requestBegun, c.requestStart = true, c.stateSince
		}
		before := c.req.HeadComplete()
		n, err := c.req.Feed(buf)
		if n > 0 {
			c.conn.Discard(n)
		}
		if e, ok := err.(*http1.Error); ok {
			c.answer(e.Status, e.Reason+"\n", -1)
			return
		}
		if !c.req.Complete() {
			if c.req.HeadComplete() && !before && c.req.Fields().Has("expect", "100-continue") {
				_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		c.handleRequest()
	}
}

// limitWaitingBytes stops reading the connection while enough waits behind its open request, and goes on once that is answered.
// What the client sends meanwhile stays in the kernel.
func (c *client) limitWaitingBytes() {
	if c.txn != nil && c.conn.InboundBuffered() >= c.s.clients.memory.readLimit() {
		c.conn.PauseReads()
	} else {
		c.conn.ResumeReads()
	}
}

// handleRequest answers a request that has arrived whole, or begins its txn.
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
	scheme := indexOf(c.s.node.decoded.Schemes, schemeName)
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
	hasMemory := c.s.clients.hasMemoryFor(c)
	if c.conn == nil {
		return // it was closed for its unread answers
	}
	if !hasMemory {
		c.answer(503, "no memory for the request\n", -1)
		return
	}
	request, problem := c.parseRequest(scheme)
	if problem != "" {
		c.answer(400, problem+"\n", -1)
		return
	}
	if faultInjected("declines-all") {
		c.s.driver.txnCounts.Declined++
		c.answer(503, "declined\n", -1)
		return
	}
	request.txn.TimeLeftMs = max(request.txn.TimeLeftMs-c.unreadWaitMs(), minTimeLeftMs)
	switch c.s.requestIDs.claim(request.txn.Ref, c.s.now()+request.txn.TimeLeftMs) {
	case idInUse:
		c.answer(409, "Request-Id is in use, or was used before\n", -1)
		return
	case idUnknown:
		if request.scheme.Effect != balance.Repeatable {
			c.answer(503, "whether Request-Id is in use can't be told now\n", -1)
			return
		}
	}
	c.txn = c.s.driver.addTxn(c, request)
}

// unreadWaitMs returns how long the request may have waited unread, in ms, because the connection was not accepted, its bytes
// were not read, the process was stalled, or an earlier request on the connection was open. The client's timeout counts from the
// arrival of the request's last byte, whatever arrived after it. Less than minWaitMs counts as 0.
func (c *client) unreadWaitMs() float64 {
	ms := float64(time.Since(c.conn.EarliestArrival())) / float64(time.Millisecond)
	if ms < minWaitMs {
		return 0
	}
	return ms
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// answer writes the answer to the present request and goes on to the next one. A retryAfterMs above 0 is told to the client as
// Retry-After. If the request did not become a txn, the connection is closed after the answer: a client that sends invalid
// requests, or only checks the scheduler's health, is not entitled to keep a descriptor.
func (c *client) answer(status int, body string, retryAfterMs float64) {
	if c == nil || c.conn == nil {
		return
	}
	// The connection of a client that sends requests without reading the answers is closed.
	c.closeAfterAnswer = c.closeAfterAnswer || c.txn == nil || c.conn.OutboundBuffered() > 0 || c.closesForDrain(status)
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
	response := append(responseHead(status, len(body), extraLines), text...)[c.probesSent:]
	c.probesSent = 0
	c.stateSince, c.requestBegun, c.answeredTxn, c.closing = c.s.now(), false, c.answeredTxn || c.txn != nil, c.closeAfterAnswer
	if c.closing {
		c.conn.SetReadLimit(maxDiscardBytes) // what still comes is dropped as fast as it can be
	}
	c.txn = nil
	c.req.Reset(requestLimits)
	if err := c.conn.Write(response); err != nil || c.conn == nil {
		return
	}
	if c.closing {
		c.shutdownWrite()
	}
	c.traffic(c.conn) // what waits behind the request
}

// closesForDrain tells whether the connection is closed after an answer with this status because the process drains, so that the client
// sends the next request to another scheduler. What has arrived on it meanwhile is answered first.
func (c *client) closesForDrain(status int) bool {
	s := c.s
	ends := s.closesAfterAnswer(s.now()) || s.phase == draining && status != 200 && s.handover.successorFD == 0
	return ends && c.conn.InboundBuffered() == 0 && !c.hasUnread()
}

// responseHead returns the head of a response with a body of size bytes. extraLines holds further header lines, each with its
// CRLF.
func responseHead(status, size int, extraLines string) []byte {
	head := make([]byte, 0, 160+len(extraLines)+size)
	head = append(head, responseStart...)
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

// shutdownWrite half-closes a connection once all is written. If it were closed at once while bytes from the client are unread
// or under way, it would be reset, and the client could lose the answer.
func (c *client) shutdownWrite() {
	if c.conn.OutboundBuffered() > 0 || c.writeClosed {
		return
	}
	c.closing, c.writeClosed, c.stateSince = true, true, c.s.now()
	_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
}

// sweep ends connections that are idle or slow. It runs every sweepIntervalMs.
func (cs *clients) sweep(now float64) {
	for i := len(cs.all) - 1; i >= 0; i-- {
		if i >= len(cs.all) {
			continue
		}
		c := cs.all[i]
		if c.conn.ReadsPaused() {
			c.conn.NoteUnread()
		}
		c.chargeMemory() // answers may have been read
		age := now - c.stateSince
		switch {
		case c.writeClosed:
			if age > lingerMs && !c.hasUnread() && !c.hasUnacked() || age > writeTimeoutMs {
				c.close()
			}
		case c.conn.OutboundBuffered() > 0:
			if age > writeTimeoutMs && c.txn == nil {
				c.close()
			}
		case c.closing:
			c.shutdownWrite()
		case c.txn != nil:
		case c.requestBegun:
			if age > requestIdleMs || now-c.requestStart > requestTotalMs {
				c.answer(408, "request too slow\n", -1)
			}
		case age > requestIdleMs && !c.answeredTxn, age > keepAliveIdleMs, cs.s.closesIdle(now) && c.answeredTxn:
			// The client may be sending a request at this moment. If the connection were closed, the request would cause a
			// reset; after a half-close the request is read and dropped, and the client sends it to another scheduler.
			if !c.hasUnread() {
				c.shutdownWrite()
			}
		}
	}
}
