package scheduler

import (
	"bytes"
	"cmp"
	"container/list"
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
)

const (
	ownSockets           = 32                     // descriptors: standard streams, pollers, listeners, discovery, and a reserve
	idleTimeoutShare     = 0.5                    // of the workers' idle timeout: a request written as the worker closes is lost
	idleTrustDoublingMs  = 5000.0                 // see maxIdleMs
	responseEndTimeoutMs = 1000.0                 // for the end of a response, once the outcome is known
	requestWriteTimeout  = 100 * time.Millisecond // whole request; deadlines sent to workers have 150 ms of slack
	maxResponseBodyBytes = 256 << 10              // progress lines and result of one posting
)

// responseLimits bound the responses of workers.
var responseLimits = http1.Limits{Head: headMost, Body: maxResponseBodyBytes}

// workerConnsMost is the maximum number of connections to workers: a third of the descriptors, so that two thirds are
// left to clients. A connection kept open to most of the workers would only sit idle.
func (s *Scheduler) workerConnsMost() int { return (s.sockets() - ownSockets) / 3 }

// dialsMost is the maximum number of connections being made at once. Each holds two descriptors until it is on the
// event loop.
func (s *Scheduler) dialsMost() int { return s.workerConnsMost() / 4 }

// pool holds the connections to workers. All times are milliseconds on the scheduler's clock.
type pool struct {
	s         *Scheduler
	targets   map[string]*target // by worker id
	conns     []*workerConn      // all connections, in any state
	idleConns list.List          // of *workerConn: the idle connections of all workers, the one idle longest first
	dials     int                // connections being made
	maxConns  int                // upper bound on len(conns)
	// The last connection that a worker closed earlier than expected: how long it had been idle, and when it was
	// closed. -Inf: there was none.
	earlyCloseIdleMs float64
	earlyCloseAt     float64
}

// target is one worker as the connection pool knows it.
type target struct {
	id, addr        string
	listedInService bool          // discovery's list has it in service
	idleConns       []*workerConn // most recently used last
}

// workerConnState says what a connection to a worker is being used for.
type workerConnState int

const (
	dialling    workerConnState = iota // being made
	idle                               // up, without a posting or probe
	busy                               // a request was sent, and its outcome is not known
	awaitingEnd                        // the outcome is known, the end of the response has not come yet
)

// workerConn is one connection to a worker. It carries one posting or one probe at a time.
type workerConn struct {
	s             *Scheduler
	to            *target
	addr          string         // address that it was dialled at; discovery's list may since name another
	conn          eventloop.Conn // nil while it is being made, and after it has closed
	at            int            // its index in pool.conns
	idleElem      *list.Element  // its element of pool.idleConns; nil unless it is idle
	rested        float64        // ms for which it was idle before its present use; below 0 in its first use
	closedLocally bool           // this process closed it
	state         workerConnState
	p             *posting       // nil where it carries none
	probing       bool           // it carries a probe
	resp          http1.Response // to the present request
	stateSince    float64        // when the states idle and awaitingEnd began
	writing       bool           // the request is being written, so that closed may be called from within send
	probeDeadline float64        // when an unanswered probe counts as timed out
	passed        bool           // taken over, in use, from another process of this scheduler
}

func (o *pool) init(s *Scheduler) {
	*o = pool{s: s, maxConns: s.workerConnsMost(), earlyCloseAt: math.Inf(-1), targets: map[string]*target{}}
}

// bound sets the maximum number of connections anew from the process's descriptor limit, and closes idle connections
// beyond it.
func (o *pool) bound() {
	o.maxConns = o.s.workerConnsMost()
	for len(o.conns) > o.maxConns && o.idleConns.Len() > 0 {
		o.idleConns.Front().Value.(*workerConn).close()
	}
}

// maxIdleMs is how long a connection may have been idle to be reused. Workers, and proxies in front of them, may
// close idle connections sooner than the settings say, and a request that is written as they do is lost. After such
// an early close the limit is half of the time for which that connection had been idle; it then doubles every
// idleTrustDoublingMs without another early close, up to what the settings allow.
func (o *pool) maxIdleMs(now float64) float64 {
	configuredMaxMs := idleTimeoutShare * o.s.node.told.Idle
	if math.IsInf(o.earlyCloseAt, -1) {
		return configuredMaxMs
	}
	return min(configuredMaxMs, max(o.earlyCloseIdleMs/2, 1)*math.Exp2((now-o.earlyCloseAt)/idleTrustDoublingMs))
}

// noteEarlyClose lowers maxIdleMs after a worker's side closed a connection that had been idle for idleMs.
func (o *pool) noteEarlyClose(now, idleMs float64) {
	if idleMs < o.maxIdleMs(now) {
		o.earlyCloseIdleMs, o.earlyCloseAt = idleMs, now
	}
}

// target returns the worker with this id, nil where discovery's list has none.
func (o *pool) target(id string) *target { return o.targets[id] }

// updateWorker adds a worker from discovery's list, or updates it. If its address changed, its idle connections lead
// to the old one and are closed.
func (o *pool) updateWorker(id, addr string, listed bool) {
	t := o.target(id)
	if t == nil {
		t = &target{id: id, addr: addr}
		o.targets[id] = t
	}
	if t.addr != addr {
		t.leave()
	}
	t.addr, t.listedInService = addr, listed
}

// inService tells whether postings may be sent to a worker: discovery's list has it in service, and neither staff nor
// the fleet took it out.
func (o *pool) inService(t *target) bool { return t.listedInService && !o.s.ops.staffed[t.id].out() }

// maySend is the last check before a request is written, and all requests pass it. The module (package balance) has
// decided on the posting or probe earlier, and while the connection was made things may have changed: the worker
// began to drain, left the list or moved to another address, or the list became too old to rely on. The posting's
// deadline, or the window in which its txn may be attempted again, may have passed while the event loop ran late. And
// the txn may have been answered or lost its client, which the module does not report where postings may not be
// cancelled.
func (l *workerConn) maySend(now float64) bool {
	p := l.p
	return l.s.pool.inService(l.to) && l.addr == l.to.addr &&
		(p == nil || !p.t.over && now <= p.by && now < p.until && now < l.s.roster.watch.Till())
}

// removeWorkers removes workers from the pool: those in removed and, where discovery sent the whole list, all that
// are not in kept.
func (o *pool) removeWorkers(removed []string, wholeList bool, kept map[string]bool) {
	for _, id := range removed {
		o.removeWorker(o.targets[id])
	}
	if wholeList && len(kept) < len(o.targets) {
		for id, t := range o.targets {
			if !kept[id] {
				o.removeWorker(t) // in any order: this only closes idle connections
			}
		}
	}
}

// removeWorker removes one worker and closes its idle connections; those in use go on. t may be nil.
func (o *pool) removeWorker(t *target) {
	if t != nil {
		t.listedInService = false
		t.leave()
		delete(o.targets, t.id)
	}
}

// leave closes the idle connections to a worker.
func (t *target) leave() {
	for len(t.idleConns) > 0 {
		t.idleConns[0].close()
	}
}

// acquire returns an idle connection to a worker, or begins to dial a new one. It returns nil for an unknown worker,
// and where the limit on connections or on dials in progress is reached. With needsNewConn no idle connection is
// reused.
func (o *pool) acquire(id string, needsNewConn bool) *workerConn {
	t := o.target(id)
	if t == nil {
		return nil
	}
	now := o.s.now()
	for remaining := len(t.idleConns); remaining > 0 && !needsNewConn; remaining = len(t.idleConns) {
		l := t.idleConns[remaining-1]
		if l.rested = now - l.stateSince; l.rested <= o.maxIdleMs(now) && l.hasNoUnreadInput() {
			t.idleConns = t.idleConns[:remaining-1]
			l.removeFromIdle()
			return l
		}
		l.close()
	}
	if len(o.conns) >= o.maxConns {
		oldest := o.idleConns.Front()
		if oldest == nil {
			return nil
		}
		oldest.Value.(*workerConn).close()
	}
	if o.dials >= o.s.dialsMost() {
		return nil
	}
	l := &workerConn{s: o.s, to: t, addr: t.addr, rested: -1, at: len(o.conns)}
	o.conns = append(o.conns, l)
	o.dials++
	o.s.dial(t.addr, l, func(err error) {
		o.dials--
		o.drop(l)
		if errors.Is(err, eventloop.ErrLocal) {
			l.end(balance.NeverSent) // nothing was learned of the worker
		} else {
			l.end(balance.NoConnect)
		}
	})
	return l
}

// drop removes a connection from the pool's records without closing it.
func (o *pool) drop(l *workerConn) {
	if end := len(o.conns) - 1; l.at <= end && o.conns[l.at] == l {
		o.conns[l.at] = o.conns[end]
		o.conns[l.at].at = l.at
		o.conns[end] = nil
		o.conns = o.conns[:end]
	}
	l.removeFromIdle()
	l.to.idleConns = slices.DeleteFunc(l.to.idleConns, func(x *workerConn) bool { return x == l })
}

// dial begins to make a connection, and calls x.opened once it is up, or else failed: at the latest after the connect
// timeout of the settings. Dials do not wait for each other.
func (s *Scheduler) dial(addr string, x connection, failed func(error)) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.loop.After(0, func() { failed(err) }) // cannot happen: addresses are checked where they are read
		return
	}
	s.loop.Dial(to, time.Duration(s.node.told.Dial*float64(time.Millisecond)), x, func(err error) {
		failed(err)
		s.pull()
	})
}

// post sends a posting to a worker, on an idle connection or once a new one is up.
func (o *pool) post(p *posting, id string) {
	// A reused connection may be closing at the worker's end. A reset then leaves open whether the posting ran, and a
	// once-only txn could not be attempted again.
	l := o.acquire(id, p.t.ask.row.Effect == balance.OnceOnly)
	if l == nil {
		// No connection was made as a limit is reached. The module takes this outcome as a reason to leave the worker
		// alone for a while.
		o.s.drive.postingEnded(p, balance.NoConnect, balance.NoLoad, "")
		return
	}
	p.conn, l.p = l, p
	if l.state == idle {
		l.send()
	}
}

// probe sends a health check to a worker.
func (o *pool) probe(id string) {
	l := o.acquire(id, true) // that a reused connection ends says little about its worker
	if l == nil {
		o.s.drive.mod.Probed(o.s.now(), id, balance.NoConnect, balance.NoLoad)
		return
	}
	// A probe finds out whether a worker answers at all. One that has not within twice the connect timeout counts as
	// silent.
	l.probing, l.probeDeadline = true, o.s.now()+2*o.s.node.told.Dial
	if l.state == idle {
		l.send()
	}
}

// opened is called once the connection is up. It sends the posting or probe that waits for it.
func (l *workerConn) opened(c eventloop.Conn) {
	if l.passed {
		if l.conn = c; l.p == nil {
			l.close() // its posting was cancelled meanwhile
		}
		return
	}
	l.s.pool.dials--
	l.conn = c
	if l.p != nil || l.probing {
		l.send()
	} else {
		l.addToIdle()
	}
}

// addToIdle makes the connection idle, or closes it if its worker is out of service or has another address now.
func (l *workerConn) addToIdle() {
	l.state, l.stateSince = idle, l.s.now()
	if !l.s.pool.inService(l.to) || l.addr != l.to.addr {
		l.close()
		return
	}
	l.to.idleConns = append(l.to.idleConns, l)
	l.idleElem = l.s.pool.idleConns.PushBack(l)
}

// removeFromIdle takes the connection out of pool.idleConns. It may be in use or not there at all.
func (l *workerConn) removeFromIdle() {
	if l.idleElem != nil {
		l.s.pool.idleConns.Remove(l.idleElem)
		l.idleElem = nil
	}
}

// send writes the request. It never repeats one: each attempt is a decision of the module.
func (l *workerConn) send() {
	if p := l.p; p != nil && p.t.from != nil && p.t.from.left() {
		p.t.from.leave() // the client's end ends its txn, and the module may cancel this posting
	}
	if l.p == nil && !l.probing || !l.maySend(l.s.now()) {
		l.end(balance.NeverSent)
		l.addToIdle()
		return
	}
	l.state = busy
	l.resp.Reset(responseLimits)
	var b []byte
	if l.p == nil {
		path := "/ping"
		if l.s.node.told.Reports {
			path = "/_load"
		}
		b = append(b, "GET "+path+" HTTP/1.1\r\nHost: "+l.to.addr+"\r\n\r\n"...)
	} else {
		a := &l.p.t.ask
		b = make([]byte, 0, 512+len(a.body))
		b = append(b, a.method+" "+a.path+" HTTP/1.1\r\nHost: "+cmp.Or(a.host, l.to.addr)...)
		b = append(b, "\r\nRequest-Id: "+a.txn.Ref...)
		if a.mark != "" {
			b = append(b, "\r\nIdempotency-Key: "+a.mark...)
		}
		if a.kind != "" {
			b = append(b, "\r\nContent-Type: "+a.kind...)
		}
		b = append(b, "\r\nRequest-Timeout: "...)
		b = strconv.AppendInt(b, max(int64(l.p.until-l.s.now()), 1), 10)
		b = append(b, "m\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.body)), 10)
		b = append(append(b, "\r\n\r\n"...), a.body...)
	}
	l.conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout))
	l.writing = true
	_ = l.conn.Write(b) // a failed write closes the connection, and closed reports the outcome
	l.writing = false
	if p := l.p; l.hasUnsentBytes() {
		l.s.loop.After(requestWriteTimeout, func() { l.failIfUnsent(p) })
	}
}

// hasUnsentBytes tells whether part of the request has yet to be written to the socket.
func (l *workerConn) hasUnsentBytes() bool {
	return l.state == busy && l.conn != nil && l.conn.OutboundBuffered() > 0
}

// failIfUnsent ends posting p as never sent if part of its request is still in this process's buffer: the
// Request-Timeout that the request tells the worker is no longer right.
func (l *workerConn) failIfUnsent(p *posting) {
	if p != nil && l.p == p && l.hasUnsentBytes() {
		l.end(balance.NeverSent)
		l.close()
	}
}

// abandonPosting detaches the connection from its posting, which is being given up, and tells whether the request may
// have been written whole. If so, the posting may run.
func (l *workerConn) abandonPosting() bool {
	l.p = nil
	if l.state == dialling {
		return false // the connection, once it is up, can serve another posting
	}
	if l.conn == nil {
		return true // taken over from another process, which had sent the request, and not on the event loop yet
	}
	writtenWhole := l.conn.OutboundBuffered() == 0
	l.close()
	return writtenWhole
}

// hasNoUnreadInput tells whether an idle connection has no input, and has not been closed by the worker, that the
// event loop has not read yet.
func (l *workerConn) hasNoUnreadInput() bool {
	_, _, err := unix.Recvfrom(l.conn.Fd(), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN // after any other error a new connection is made
}

// close closes the connection from this side. closed is called from within.
func (l *workerConn) close() {
	l.closedLocally = true
	if l.conn != nil {
		l.conn.Close()
	}
}

// closed is called when the connection has ended, by either side, and reports the outcome of what it carried.
func (l *workerConn) closed(c eventloop.Conn, err error) {
	truncated := l.writing || c.OutboundBuffered() > 0
	if truncated {
		// The event loop tries once more to write the remaining bytes after this callback. A request that is reported
		// as not written whole must not be completed by that.
		_ = unix.Shutdown(c.Fd(), unix.SHUT_RDWR)
	}
	l.conn = nil
	l.s.pool.drop(l)
	if now := l.s.now(); l.closedLocally {
		// not an early close by the worker
	} else if l.state == idle {
		l.s.pool.noteEarlyClose(now, now-l.stateSince)
	} else if l.state == busy && l.rested >= 0 && !l.resp.Begun() {
		l.s.pool.noteEarlyClose(now, l.rested)
	}
	switch {
	case truncated && errors.Is(err, os.ErrDeadlineExceeded):
		l.end(balance.NeverSent) // this machine could not write it, which says nothing of the worker
	case truncated:
		l.end(balance.NoConnect)
	case l.resp.End() && l.resp.Status != 0:
		l.end(l.responseOutcome())
	default:
		l.end(balance.Reset)
	}
}

// end reports the outcome of the posting or probe on the connection, if there is one, without a load report.
func (l *workerConn) end(outcome balance.Outcome) { l.reportOutcome(outcome, balance.NoLoad, "") }

// reportOutcome tells the module how the posting or probe on the connection ended, if there is one.
func (l *workerConn) reportOutcome(outcome balance.Outcome, load balance.Load, result string) {
	if p := l.p; p != nil {
		l.p = nil
		l.s.drive.postingEnded(p, outcome, load, result)
	}
	if l.probing {
		l.probing = false
		l.s.drive.mod.Probed(l.s.now(), l.to.id, outcome, load)
	}
}

// responseOutcome is the outcome by the response's status, where no final progress line gave one. A 503 or 504 with
// "not-started: 1" says that the worker did not begin the posting.
func (l *workerConn) responseOutcome() balance.Outcome {
	notStarted, _ := l.resp.Fields().Get("not-started")
	switch s := l.resp.Status; {
	case s == 200 && l.probing:
		return balance.Done
	case s == 200:
		return balance.Reset // the response ended before its final progress line
	case l.probing && s == 503, (s == 503 || s == 504) && notStarted == "1":
		return balance.Full
	case s == 400:
		return balance.Unfit // not the worker's fault: one client's bad requests must not make the module avoid it
	}
	return balance.Erred
}

// traffic is called when bytes have come from the worker.
func (l *workerConn) traffic(eventloop.Conn) {
	for l.conn != nil {
		buf := l.conn.Peek()
		if len(buf) == 0 {
			return
		}
		if l.state == idle {
			l.close() // input without a request
			return
		}
		n, err := l.resp.Feed(buf)
		if n > 0 {
			l.conn.Discard(n)
		}
		if err == nil && l.p != nil && l.resp.HeadDone() && l.resp.Status == 200 {
			err = l.readProgressLines()
		}
		if err != nil {
			l.s.log.Printf("msg=malformed from=worker id=%s err=%q", l.to.id, err)
			l.close()
			return
		}
		if l.p != nil && l.resp.HeadDone() && l.resp.Status != 200 {
			l.state, l.stateSince = awaitingEnd, l.s.now() // the status decides the outcome, and the body may never come
			l.end(l.responseOutcome())
		}
		if l.conn != nil && l.resp.Done() {
			load := balance.NoLoad
			if l.probing {
				load = l.parseLoad(l.resp.Body())
			}
			l.reportOutcome(l.responseOutcome(), load, "")
			if l.conn == nil {
				return
			}
			if !l.resp.Reusable() || l.s.phase >= draining {
				l.close()
				return
			}
			l.addToIdle()
		} else if n == 0 {
			return
		}
	}
}

// parseLoad reads a worker's load report: a JSON object, or a report in a format of ORCA (Open Request Cost
// Aggregation), "JSON " before an object or "TEXT " before name=value pairs. A malformed report, or pair of one, is
// logged and ignored: the response that it came with is still valid.
func (l *workerConn) parseLoad(report []byte) balance.Load {
	if !l.s.node.told.Reports || len(report) == 0 {
		return balance.NoLoad
	}
	values := map[string]float64{}
	text, pairs := strings.CutPrefix(string(report), "TEXT ")
	if !pairs {
		text = strings.TrimPrefix(text, "JSON ")
		if err := json.Unmarshal([]byte(text), &values); err != nil {
			l.s.log.Printf("msg=malformed from=worker id=%s part=load err=%q", l.to.id, err)
			return balance.NoLoad
		}
		return l.s.node.told.Load(values)
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			l.s.log.Printf("msg=malformed from=worker id=%s part=load err=%q", l.to.id, err)
			continue
		}
		values[name] = x
	}
	return l.s.node.told.Load(values)
}

// progressLine is one line of a worker's response body. Result comes with state done, Load with any final state.
type progressLine struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Result *string         `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// readProgressLines handles the whole lines that have come. They are removed from the body all at once: removing them
// one by one costs time quadratic in their number, and a worker that sends nothing but newlines would block the event
// loop.
func (l *workerConn) readProgressLines() error {
	body, consumed := l.resp.Body(), 0
	defer func() { l.resp.Take(consumed) }()
	for l.p != nil {
		lineLen := bytes.IndexByte(body[consumed:], '\n')
		if lineLen < 0 && l.resp.Done() {
			lineLen = len(body) - consumed
		}
		if lineLen < 0 || consumed == len(body) {
			return nil
		}
		var line progressLine
		text := bytes.TrimSpace(body[consumed : consumed+lineLen])
		if consumed = min(consumed+lineLen+1, len(body)); len(text) == 0 {
			continue
		}
		if err := json.Unmarshal(text, &line); err != nil {
			return err
		}
		if line.ID != l.p.t.ref {
			return &http1.Error{Status: 502, Reason: "progress line has the id of another request"}
		}
		// A txn must not settle with a result that no worker produced: a missing one, or one with bytes that are not
		// valid UTF-8, which json.Unmarshal replaces.
		if line.State == "done" && (line.Result == nil || !utf8.Valid(text)) {
			return &http1.Error{Status: 502, Reason: "progress line with state done has no result, or is not valid UTF-8"}
		}
		switch line.State {
		case "started":
			l.s.drive.started(l.p)
		case "done":
			l.handleFinalLine(balance.Done, line)
		case "failed":
			l.handleFinalLine(balance.Erred, line)
		case "returned":
			l.handleFinalLine(balance.Full, line)
		case "lost":
			l.handleFinalLine(balance.Reset, line)
		}
	}
	return nil
}

// handleFinalLine ends the posting with the outcome, result and load of its final progress line.
func (l *workerConn) handleFinalLine(outcome balance.Outcome, line progressLine) {
	l.state, l.stateSince = awaitingEnd, l.s.now()
	result := ""
	if line.Result != nil {
		result = *line.Result
	}
	l.reportOutcome(outcome, l.parseLoad(line.Load), result)
}

// sweep closes connections that have been idle, or without the end of their response, for too long, and ends probes
// that were not answered in time.
func (o *pool) sweep(now float64) {
	for _, l := range slices.Clone(o.conns) {
		switch {
		case l.probing && now >= l.probeDeadline:
			l.end(balance.TimedOut)
			l.close()
			l.to.leave() // on a broken link its other idle connections are dead too, and only a new one shows whether it works
		case l.state == idle && now-l.stateSince > o.maxIdleMs(now),
			l.state == awaitingEnd && now-l.stateSince > responseEndTimeoutMs:
			l.close()
		}
	}
}
