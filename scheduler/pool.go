package scheduler

import (
	"bytes"
	"cmp"
	"container/list"
	"errors"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
)

const (
	reservedDescriptors  = 32                     // descriptors: standard streams, pollers, listeners, discovery, and a reserve
	idleTimeoutShare     = 0.5                    // of the workers' idle timeout: a request written as the worker closes is lost
	idleTrustDoublingMs  = 5000.0                 // see maxIdleMs
	responseEndTimeoutMs = 1000.0                 // for the end of a response, once the outcome is known
	requestWriteTimeout  = 100 * time.Millisecond // whole request; deadlines sent to workers have 150 ms of slack
	maxResponseBodyBytes = 256 << 10              // progress lines and result of one posting
	jsonSpace            = " \t\r"                // what may stand around the JSON of a line
	workerMemoryDivisor  = 8                      // 1/8 of the memory is for connections to workers and what these have sent
)

// responseLimits bound the responses of workers.
var responseLimits = http1.Limits{Head: maxHeadBytes, Body: maxResponseBodyBytes, Fields: maxHeaderFields}

// maxWorkerConns is the maximum number of connections to workers: a third of the descriptors, so that two thirds are
// left to clients. A connection kept open to most of the workers would only sit idle.
func (s *Scheduler) maxWorkerConns() int { return (s.maxDescriptors() - reservedDescriptors) / 3 }

// maxDials is the maximum number of connections being made at once. Each holds two descriptors until it is on the
// event loop.
func (s *Scheduler) maxDials() int { return s.maxWorkerConns() / 4 }

// pool holds the connections to workers. All times are milliseconds on the scheduler's clock.
type pool struct {
	s               *Scheduler
	workers         map[string]*poolWorker // by worker id
	conns           []*workerConn          // all connections, in any state
	idleConns       list.List              // of *workerConn: the idle connections of all workers, the one idle longest first
	dialsInProgress int                    // connections being made
	maxConns        int                    // upper bound on len(conns)
	heldBytes       int                    // memory that all connections' buffers and responses take
	heldBytesLimit  int
	// The last connection that a worker closed earlier than expected: how long it had been idle, and when it was
	// closed. -Inf: there was none.
	earlyCloseIdleMs float64
	earlyCloseAt     float64
}

// poolWorker is one worker as the connection pool knows it.
type poolWorker struct {
	id, addr        string
	listedInService bool          // discovery's list has it in service
	idleConns       []*workerConn // most recently used last
}

// workerConnState says what a connection to a worker is being used for.
type workerConnState int

const (
	connDialling    workerConnState = iota // being made
	connIdle                               // up, without a posting or probe
	connBusy                               // a request was sent, and its outcome is not known
	connAwaitingEnd                        // the outcome is known, the end of the response has not come yet
)

// workerConn is one connection to a worker. It carries one posting or one probe at a time.
type workerConn struct {
	s               *Scheduler
	worker          *poolWorker
	addr            string         // address that it was dialled at; discovery's list may since name another
	conn            eventloop.Conn // nil while it is being made, and after it has closed
	index           int            // its index in pool.conns
	idleElem        *list.Element  // its element of pool.idleConns; nil unless it is idle
	idleBeforeUseMs float64        // time it was idle before its present use; below 0 in its first use
	closedLocally   bool           // this process closed it
	state           workerConnState
	posting         *posting       // nil where it carries none
	probing         bool           // it carries a probe
	resp            http1.Response // to the present request
	heldBytes       int            // what pool.heldBytes counts for it
	stateSince      float64        // when the state connIdle or connAwaitingEnd began
	writing         bool           // the request is being written, so that closed may be called from within send
	probeDeadline   float64        // when an unanswered probe counts as timed out
	transferred     bool           // taken over, in use, from another process of this scheduler
}

func (pl *pool) init(s *Scheduler) {
	*pl = pool{s: s, earlyCloseAt: math.Inf(-1), workers: map[string]*poolWorker{}}
	pl.applyLimits()
}

// applyLimits sets the maximum number of connections anew from the process's descriptor limit, and closes idle connections
// beyond it.
func (pl *pool) applyLimits() {
	pl.maxConns = pl.s.maxWorkerConns()
	pl.heldBytesLimit = pl.s.handover.limitShare(pl.s.memoryLimitBytes()) / workerMemoryDivisor
	for len(pl.conns) > pl.maxConns && pl.idleConns.Len() > 0 {
		pl.idleConns.Front().Value.(*workerConn).close()
	}
}

// maxIdleMs is how long a connection may have been idle to be reused. Workers, and proxies in front of them, may
// close idle connections sooner than the settings say, and a request that is written as they do is lost. After such
// an early close the limit is half of the time for which that connection had been idle; it then doubles every
// idleTrustDoublingMs without another early close, up to what the settings allow.
func (pl *pool) maxIdleMs(now float64) float64 {
	configuredMaxMs := idleTimeoutShare * pl.s.node.decoded.WorkerIdleTimeoutMs
	if math.IsInf(pl.earlyCloseAt, -1) {
		return configuredMaxMs
	}
	return min(configuredMaxMs, max(pl.earlyCloseIdleMs/2, 1)*math.Exp2((now-pl.earlyCloseAt)/idleTrustDoublingMs))
}

// noteEarlyClose lowers maxIdleMs after a worker's side closed a connection that had been idle for idleMs.
func (pl *pool) noteEarlyClose(now, idleMs float64) {
	if idleMs < pl.maxIdleMs(now) {
		pl.earlyCloseIdleMs, pl.earlyCloseAt = idleMs, now
	}
}

// worker returns the worker with this id, nil where discovery's list has none.
func (pl *pool) worker(id string) *poolWorker { return pl.workers[id] }

// updateWorker adds a worker from discovery's list, or updates it. If its address changed, its idle connections lead
// to the old one and are closed.
func (pl *pool) updateWorker(id, addr string, listed bool) {
	w := pl.worker(id)
	if w == nil {
		w = &poolWorker{id: id, addr: addr}
		pl.workers[id] = w
	}
	if w.addr != addr {
		w.closeIdle()
	}
	w.addr, w.listedInService = addr, listed
}

// inService tells whether postings may be sent to a worker: discovery's list has it in service, and neither staff nor
// the fleet took it out.
func (pl *pool) inService(w *poolWorker) bool {
	return w.listedInService && !pl.s.ops.workerRecords[w.id].isOut()
}

// maySend is the last check before a request is written, and all requests pass it. The module (package balance) has
// decided on the posting or probe earlier, and while the connection was made things may have changed: the worker
// began to drain, left the list or moved to another address, or the list became too old to rely on. The posting's
// deadline, or the window in which its txn may be attempted again, may have passed while the event loop ran late. And
// the txn may have been answered or lost its client, which the module does not report where postings may not be
// cancelled.
func (wc *workerConn) maySend(now float64) bool {
	p := wc.posting
	return wc.s.pool.inService(wc.worker) && wc.addr == wc.worker.addr &&
		(p == nil || !p.txn.closed && now <= p.sendBy && now < p.deadline && now < wc.s.roster.watch.ReliableUntil())
}

// removeWorkers removes workers from the pool: those in removed and, where discovery sent the whole list, all that
// are not in kept.
func (pl *pool) removeWorkers(removed []string, wholeList bool, kept map[string]bool) {
	for _, id := range removed {
		pl.removeWorker(pl.workers[id])
	}
	if wholeList && len(kept) < len(pl.workers) {
		for id, w := range pl.workers {
			if !kept[id] {
				pl.removeWorker(w) // in any order: this only closes idle connections
			}
		}
	}
}

// removeWorker removes one worker and closes its idle connections; those in use go on. w may be nil.
func (pl *pool) removeWorker(w *poolWorker) {
	if w != nil {
		w.listedInService = false
		w.closeIdle()
		delete(pl.workers, w.id)
	}
}

// closeIdle closes the idle connections to a worker.
func (w *poolWorker) closeIdle() {
	for len(w.idleConns) > 0 {
		w.idleConns[0].close()
	}
}

// acquire returns an idle connection to a worker, or begins to dial a new one. It returns nil for an unknown worker,
// and where the limit on connections or on dials in progress is reached. With needsNewConn no idle connection is
// reused.
func (pl *pool) acquire(id string, needsNewConn bool) *workerConn {
	w := pl.worker(id)
	if w == nil {
		return nil
	}
	now := pl.s.now()
	for remaining := len(w.idleConns); remaining > 0 && !needsNewConn; remaining = len(w.idleConns) {
		wc := w.idleConns[remaining-1]
		if wc.idleBeforeUseMs = now - wc.stateSince; wc.idleBeforeUseMs <= pl.maxIdleMs(now) && wc.hasNoUnreadInput() {
			w.idleConns = w.idleConns[:remaining-1]
			wc.removeFromIdle()
			return wc
		}
		wc.close()
	}
	if len(pl.conns) >= pl.maxConns {
		oldest := pl.idleConns.Front()
		if oldest == nil {
			return nil
		}
		oldest.Value.(*workerConn).close()
	}
	if pl.dialsInProgress >= pl.s.maxDials() {
		return nil
	}
	wc := &workerConn{s: pl.s, worker: w, addr: w.addr, idleBeforeUseMs: -1, index: len(pl.conns)}
	pl.conns = append(pl.conns, wc)
	pl.dialsInProgress++
	pl.s.dial(w.addr, wc, func(err error) {
		pl.dialsInProgress--
		pl.removeConn(wc)
		if errors.Is(err, eventloop.ErrLocal) {
			wc.reportEnd(balance.NeverSent) // nothing was learned of the worker
		} else {
			wc.reportEnd(balance.NoConnect)
		}
	})
	return wc
}

// removeConn removes a connection from the pool's records without closing it.
func (pl *pool) removeConn(wc *workerConn) {
	if end := len(pl.conns) - 1; wc.index <= end && pl.conns[wc.index] == wc {
		pl.conns[wc.index] = pl.conns[end]
		pl.conns[wc.index].index = wc.index
		pl.conns[end] = nil
		pl.conns = pl.conns[:end]
	}
	wc.removeFromIdle()
	wc.worker.idleConns = slices.DeleteFunc(wc.worker.idleConns, func(x *workerConn) bool { return x == wc })
}

// dial begins to make a connection, and calls handler.opened once it is up, or else failed: at the latest after the
// connect timeout of the settings. Dials do not wait for each other.
func (s *Scheduler) dial(addr string, handler connection, failed func(error)) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.loop.After(0, func() { failed(err) }) // cannot happen: addresses are checked where they are read
		return
	}
	s.loop.Dial(addrPort, time.Duration(s.node.decoded.DialTimeoutMs*float64(time.Millisecond)), handler, func(err error) {
		failed(err)
		s.afterEvent()
	})
}

// post sends a posting to a worker, on an idle connection or once a new one is up.
func (pl *pool) post(p *posting, id string) {
	// A reused connection may be closing at the worker's end. A reset then leaves open whether the posting ran, and a
	// once-only txn could not be attempted again.
	wc := pl.acquire(id, p.txn.request.scheme.Effect == balance.OnceOnly)
	if wc == nil {
		// No connection was made as a limit is reached. The module takes this outcome as a reason to leave the worker
		// alone for a while.
		pl.s.driver.postingEnded(p, balance.NoConnect, balance.NoLoad, "")
		return
	}
	p.conn, wc.posting = wc, p
	if wc.state == connIdle {
		wc.send()
	}
}

// probe sends a health check to a worker.
func (pl *pool) probe(id string) {
	wc := pl.acquire(id, true) // that a reused connection ends says little about its worker
	if wc == nil {
		pl.s.driver.module.Probed(pl.s.now(), id, balance.NoConnect, balance.NoLoad)
		return
	}
	// A probe finds out whether a worker answers at all. One that has not within twice the connect timeout counts as
	// silent.
	wc.probing, wc.probeDeadline = true, pl.s.now()+2*pl.s.node.decoded.DialTimeoutMs
	if wc.state == connIdle {
		wc.send()
	}
}

// opened is called once the connection is up. It sends the posting or probe that waits for it.
func (wc *workerConn) opened(c eventloop.Conn) {
	if wc.transferred {
		if wc.conn = c; wc.posting == nil {
			wc.close() // its posting was cancelled meanwhile
		}
		return
	}
	wc.s.pool.dialsInProgress--
	wc.conn = c
	if wc.posting != nil || wc.probing {
		wc.send()
	} else {
		wc.addToIdle()
	}
}

// addToIdle makes the connection idle, or closes it if its worker is out of service or has another address now.
func (wc *workerConn) addToIdle() {
	wc.state, wc.stateSince = connIdle, wc.s.now()
	wc.resp.Reset(responseLimits) // an idle connection keeps nothing of its last response
	if !wc.s.pool.inService(wc.worker) || wc.addr != wc.worker.addr {
		wc.close()
		return
	}
	wc.worker.idleConns = append(wc.worker.idleConns, wc)
	wc.idleElem = wc.s.pool.idleConns.PushBack(wc)
}

// removeFromIdle takes the connection out of pool.idleConns. It may be in use or not there at all.
func (wc *workerConn) removeFromIdle() {
	if wc.idleElem != nil {
		wc.s.pool.idleConns.Remove(wc.idleElem)
		wc.idleElem = nil
	}
}

// send writes the request. It never repeats one: each attempt is a decision of the module.
func (wc *workerConn) send() {
	if p := wc.posting; p != nil {
		if client := p.txn.client; client != nil && client.hasLeft() {
			client.closeDeparted() // the client's end ends its txn, and the module may cancel this posting
		}
	}
	if wc.posting == nil && !wc.probing || !wc.maySend(wc.s.now()) {
		wc.reportEnd(balance.NeverSent)
		wc.addToIdle()
		return
	}
	wc.state = connBusy
	wc.resp.Reset(responseLimits)
	var b []byte
	if wc.posting == nil {
		path := "/ping"
		if wc.s.node.decoded.WorkersReportLoad {
			path = "/_load"
		}
		b = append(b, "GET "+path+" HTTP/1.1\r\nHost: "+wc.worker.addr+"\r\n\r\n"...)
	} else {
		req := &wc.posting.txn.request
		b = make([]byte, 0, 512+len(req.body))
		b = append(b, req.method+" "+req.path+" HTTP/1.1\r\nHost: "+cmp.Or(req.host, wc.worker.addr)...)
		b = append(b, "\r\nRequest-Id: "+req.txn.Ref...)
		if req.idempotencyKey != "" {
			b = append(b, "\r\nIdempotency-Key: "+req.idempotencyKey...)
		}
		if req.contentType != "" {
			b = append(b, "\r\nContent-Type: "+req.contentType...)
		}
		b = append(b, "\r\nRequest-Timeout: "...)
		b = strconv.AppendInt(b, max(int64(wc.posting.deadline-wc.s.now()), 1), 10)
		b = append(b, "m\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.body)), 10)
		b = append(append(b, "\r\n\r\n"...), req.body...)
	}
	wc.conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout))
	wc.writing = true
	_ = wc.conn.Write(b) // a failed write closes the connection, and closed reports the outcome
	wc.writing = false
	if p := wc.posting; wc.hasUnsentBytes() {
		wc.s.loop.After(requestWriteTimeout, func() { wc.failIfUnsent(p) })
	}
}

// hasUnsentBytes tells whether part of the request has yet to be written to the socket.
func (wc *workerConn) hasUnsentBytes() bool {
	return wc.state == connBusy && wc.conn != nil && wc.conn.OutboundBuffered() > 0
}

// failIfUnsent ends posting p as never sent if part of its request is still in this process's buffer: the
// Request-Timeout that the request tells the worker is no longer right.
func (wc *workerConn) failIfUnsent(p *posting) {
	if p != nil && wc.posting == p && wc.hasUnsentBytes() {
		wc.reportEnd(balance.NeverSent)
		wc.close()
	}
}

// abandonPosting detaches the connection from its posting, which is being given up, and tells whether the request may
// have been written whole. If so, the posting may run.
func (wc *workerConn) abandonPosting() bool {
	wc.posting = nil
	if wc.state == connDialling {
		return false // the connection, once it is up, can serve another posting
	}
	if wc.conn == nil {
		return true // taken over from another process, which had sent the request, and not on the event loop yet
	}
	writtenWhole := wc.conn.OutboundBuffered() == 0
	wc.close()
	return writtenWhole
}

// hasNoUnreadInput tells whether an idle connection has no input, and has not been closed by the worker, that the
// event loop has not read yet.
func (wc *workerConn) hasNoUnreadInput() bool {
	_, _, err := unix.Recvfrom(wc.conn.Fd(), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN // after any other error a new connection is made
}

// close closes the connection from this side. closed is called from within.
func (wc *workerConn) close() {
	wc.closedLocally = true
	if wc.conn != nil {
		wc.conn.Close()
	}
}

// closed is called when the connection has ended, by either side, and reports the outcome of what it carried.
func (wc *workerConn) closed(c eventloop.Conn, err error) {
	truncated := wc.writing || c.OutboundBuffered() > 0
	if truncated {
		// The event loop tries once more to write the remaining bytes after this callback. A request that is reported
		// as not written whole must not be completed by that.
		_ = unix.Shutdown(c.Fd(), unix.SHUT_RDWR)
	}
	wc.conn = nil
	wc.chargeMemory()
	wc.s.pool.removeConn(wc)
	if now := wc.s.now(); wc.closedLocally {
		// not an early close by the worker
	} else if wc.state == connIdle {
		wc.s.pool.noteEarlyClose(now, now-wc.stateSince)
	} else if wc.state == connBusy && wc.idleBeforeUseMs >= 0 && !wc.resp.Started() {
		wc.s.pool.noteEarlyClose(now, wc.idleBeforeUseMs)
	}
	switch {
	case truncated && errors.Is(err, os.ErrDeadlineExceeded):
		wc.reportEnd(balance.NeverSent) // this machine could not write it, which says nothing of the worker
	case truncated:
		wc.reportEnd(balance.NoConnect)
	case wc.resp.ConnectionEnded() && wc.resp.Status != 0:
		wc.reportEnd(wc.responseOutcome())
	default:
		wc.reportEnd(balance.Reset)
	}
}

// reportEnd reports the outcome of the posting or probe on the connection, if there is one, without a load report.
func (wc *workerConn) reportEnd(outcome balance.Outcome) {
	wc.reportOutcome(outcome, balance.NoLoad, "")
}

// reportOutcome tells the module how the posting or probe on the connection ended, if there is one.
func (wc *workerConn) reportOutcome(outcome balance.Outcome, load balance.Load, result string) {
	if p := wc.posting; p != nil {
		wc.posting = nil
		wc.s.driver.postingEnded(p, outcome, load, result)
	}
	if wc.probing {
		wc.probing = false
		wc.s.driver.module.Probed(wc.s.now(), wc.worker.id, outcome, load)
	}
}

// responseOutcome is the outcome by the response's status, where no final progress line gave one. A 503 or 504 with
// "not-started: 1" says that the worker did not begin the posting.
func (wc *workerConn) responseOutcome() balance.Outcome {
	notStarted, _ := wc.resp.Fields().Get("not-started")
	switch s := wc.resp.Status; {
	case s == 200 && wc.probing:
		return balance.Done
	case s == 200:
		return balance.Reset // the response ended before its final progress line
	case wc.probing && s == 503, (s == 503 || s == 504) && notStarted == "1":
		return balance.Full
	case s == 400:
		return balance.InvalidRequest // not the worker's fault: one client's bad requests must not make the module avoid it
	}
	return balance.Failed
}

// chargeMemory counts the memory that the connection takes now.
func (wc *workerConn) chargeMemory() {
	held := 0
	if wc.conn != nil {
		held = wc.conn.HeldBytes() + wc.resp.HeldBytes()
	}
	wc.s.pool.heldBytes += held - wc.heldBytes
	wc.heldBytes = held
}

// relieveMemory ends responses, the largest first, until what workers have sent takes no more than its part of the memory.
func (pl *pool) relieveMemory() {
	for pl.heldBytes > pl.heldBytesLimit {
		largest := slices.MaxFunc(pl.conns, func(a, b *workerConn) int { return a.heldBytes - b.heldBytes })
		pl.s.log.Printf("msg=bound of=responses id=%s held=%d limit=%d", largest.worker.id, pl.heldBytes, pl.heldBytesLimit)
		largest.close()
	}
}

// traffic is called when bytes have come from the worker.
func (wc *workerConn) traffic(eventloop.Conn) {
	wc.readResponse()
	wc.chargeMemory()
	wc.s.pool.relieveMemory()
}

// readResponse handles what has come, until more is needed or the connection ends.
func (wc *workerConn) readResponse() {
	for wc.conn != nil {
		buf := wc.conn.Peek()
		if len(buf) == 0 {
			return
		}
		if wc.state == connIdle {
			wc.close() // input without a request
			return
		}
		n, err := wc.resp.Feed(buf)
		if n > 0 {
			wc.conn.Discard(n)
		}
		if err == nil && wc.posting != nil && wc.resp.HeadComplete() && wc.resp.Status == 200 {
			err = wc.readProgressLines()
		}
		if err != nil {
			wc.s.log.Printf("msg=malformed from=worker id=%s err=%q", wc.worker.id, err)
			wc.close()
			return
		}
		if wc.posting != nil && wc.resp.HeadComplete() && wc.resp.Status != 200 {
			wc.state, wc.stateSince = connAwaitingEnd, wc.s.now() // the status decides the outcome, and the body may never come
			wc.reportEnd(wc.responseOutcome())
		}
		if wc.conn != nil && wc.resp.Complete() {
			load := balance.NoLoad
			if wc.probing {
				load = wc.parseLoad(wc.resp.Body())
			}
			wc.reportOutcome(wc.responseOutcome(), load, "")
			if wc.conn == nil {
				return
			}
			if !wc.resp.Reusable() || wc.s.phase >= draining {
				wc.close()
				return
			}
			wc.addToIdle()
		} else if n == 0 {
			return
		}
	}
}

// parseLoad reads a worker's load report: a JSON object, or a report in a format of ORCA (Open Request Cost
// Aggregation), "JSON " before an object or "TEXT " before name=value pairs. A malformed report, or pair of one, is
// logged and ignored: the response that it came with is still valid.
func (wc *workerConn) parseLoad(report []byte) balance.Load {
	if !wc.s.node.decoded.WorkersReportLoad || len(report) == 0 {
		return balance.NoLoad
	}
	values := map[string]float64{}
	text, pairs := strings.CutPrefix(string(report), "TEXT ")
	if !pairs {
		text = strings.TrimPrefix(text, "JSON ")
		if err := json.Unmarshal([]byte(text), &values); err != nil {
			wc.s.log.Printf("msg=malformed from=worker id=%s part=load err=%q", wc.worker.id, err)
			return balance.NoLoad
		}
		return wc.s.node.decoded.Load(values)
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
			err = strconv.ErrRange // no JSON could say so either
		}
		if err != nil {
			wc.s.log.Printf("msg=malformed from=worker id=%s part=load err=%q", wc.worker.id, err)
			continue
		}
		values[name] = x
	}
	return wc.s.node.decoded.Load(values)
}

// progressLine is one line of a worker's response body. Result comes with state done, Load with any final state.
type progressLine struct {
	ID     string         `json:"id"`
	State  string         `json:"state"`
	Result *string        `json:"result"`
	Load   jsontext.Value `json:"load"`
}

// decodeProgressLine decodes a line as it stands: one with a name twice, half a surrogate pair or bytes that are not UTF-8 is an error,
// where a decoder that makes do would choose a value or put another character there. In a line that brings no result, text that is
// not valid is let pass: none of it goes to a client.
func decodeProgressLine(text []byte) (line progressLine, err error) {
	if err = json.Unmarshal(text, &line); err == nil {
		return line, nil
	}
	line = progressLine{}
	if json.Unmarshal(text, &line, jsontext.AllowInvalidUTF8(true)) != nil || line.State == "done" {
		return progressLine{}, err
	}
	return line, nil
}

// readProgressLines handles the whole lines that have come. They are removed from the body all at once: removing them
// one by one costs time quadratic in their number, and a worker that sends nothing but newlines would block the event
// loop.
func (wc *workerConn) readProgressLines() error {
	body, consumed := wc.resp.Body(), 0
	defer func() { wc.resp.DiscardBody(consumed) }()
	for wc.posting != nil {
		lineLen := bytes.IndexByte(body[consumed:], '\n')
		if lineLen < 0 && wc.resp.Complete() {
			lineLen = len(body) - consumed
		}
		if lineLen < 0 || consumed == len(body) {
			return nil
		}
		text := bytes.Trim(body[consumed:consumed+lineLen], jsonSpace)
		if consumed = min(consumed+lineLen+1, len(body)); len(text) == 0 {
			continue
		}
		line, err := decodeProgressLine(text)
		if err != nil {
			return err
		}
		if line.ID != wc.posting.txn.ref {
			return &http1.Error{Status: 502, Reason: "progress line has the id of another request"}
		}
		if line.State == "done" && line.Result == nil {
			return &http1.Error{Status: 502, Reason: "progress line with state done has no result"}
		}
		switch line.State {
		case "started":
			wc.s.driver.started(wc.posting)
		case "done":
			wc.handleFinalLine(balance.Done, line)
		case "failed":
			wc.handleFinalLine(balance.Failed, line)
		case "returned":
			wc.handleFinalLine(balance.Full, line)
		case "lost":
			wc.handleFinalLine(balance.Reset, line)
		}
	}
	return nil
}

// handleFinalLine ends the posting with the outcome, result and load of its final progress line.
func (wc *workerConn) handleFinalLine(outcome balance.Outcome, line progressLine) {
	wc.state, wc.stateSince = connAwaitingEnd, wc.s.now()
	result := ""
	if line.Result != nil {
		result = *line.Result
	}
	wc.reportOutcome(outcome, wc.parseLoad(line.Load), result)
}

// sweep closes connections that have been idle, or without the end of their response, for too long, and ends probes
// that were not answered in time.
func (pl *pool) sweep(now float64) {
	for _, wc := range slices.Clone(pl.conns) {
		switch {
		case wc.probing && now >= wc.probeDeadline:
			wc.reportEnd(balance.TimedOut)
			wc.close()
			wc.worker.closeIdle() // on a broken link its other idle connections are dead too, and only a new one shows whether it works
		case wc.state == connIdle && now-wc.stateSince > pl.maxIdleMs(now),
			wc.state == connAwaitingEnd && now-wc.stateSince > responseEndTimeoutMs:
			wc.close()
		}
	}
}
