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
	ownSockets = 32     // standard streams, pollers, listeners, discovery, and some to spare
	idlePart   = 0.5    // of the time after which workers close idle connections, and what comes then is lost
	trustAgain = 5000.0 // see keptFor
	tailFor    = 1000.0
	sendFor    = 100 * time.Millisecond // for a request to be written: deadlines told to workers have 0.15 s of slack
	streamMost = 256 << 10              // of notes and result of one posting
)

var responseLimits = http1.Limits{Head: headMost, Body: streamMost}

// workerConnsMost leaves two thirds of the descriptors to clients: at most workers a connection waits for
// nothing.
func (s *Scheduler) workerConnsMost() int { return (s.sockets() - ownSockets) / 3 }

// dialsMost bounds the connections being made, as each holds two descriptors until it is on the loop.
func (s *Scheduler) dialsMost() int { return s.workerConnsMost() / 4 }

// pool holds the connections to workers.
type pool struct {
	s         *Scheduler
	targets   map[string]*target
	conns     []*workerConn
	idleConns list.List // the idle ones, the one that has been so for longest first
	dials     int
	most      int
	bad       float64 // how long a connection that was closed early had been idle, and when that was seen
	badAt     float64
}

// target is a worker as its connections know it.
type target struct {
	id, addr string
	listed   bool          // the list has it in service
	idle     []*workerConn // the one used last at the end
}

type workerConnState int

const (
	dialling workerConnState = iota
	idle
	busy
	tail // the result has come, the end of the response has not
)

// workerConn is one connection to a worker. It carries one posting or probe at a time.
type workerConn struct {
	s        *Scheduler
	to       *target
	addr     string         // where it leads; the list may name another later
	conn     eventloop.Conn // nil while it is made, and once it is closed
	at       int            // its place among all
	idleElem *list.Element  // its place among the idle ones, nil elsewhere
	rested   float64        // how long it was idle before it was used again; below 0: it is in its first use
	ours     bool           // closed from this side
	state    workerConnState
	p        *posting
	probing  bool
	resp     http1.Response
	since    float64
	writing  bool
	until    float64 // of a probe
	passed   bool    // another process of this scheduler passed it on, in use
}

func (o *pool) init(s *Scheduler) {
	*o = pool{s: s, most: s.workerConnsMost(), badAt: math.Inf(-1), targets: map[string]*target{}}
}

// bound takes a new bound on connections: idle ones beyond it are closed.
func (o *pool) bound() {
	o.most = o.s.workerConnsMost()
	for len(o.conns) > o.most && o.idleConns.Len() > 0 {
		o.idleConns.Front().Value.(*workerConn).close()
	}
}

// keptFor is how long an idle connection is taken to be good. Workers, and what stands before them, may close
// one sooner than the settings say, and what is written meanwhile is lost: then half of what that one had is
// believed, and twice as much again as time passes without.
func (o *pool) keptFor(now float64) float64 {
	most := idlePart * o.s.node.told.Idle
	if math.IsInf(o.badAt, -1) {
		return most
	}
	return min(most, max(o.bad/2, 1)*math.Exp2((now-o.badAt)/trustAgain))
}

// distrust takes that a worker's side closed a connection that had been idle for so long.
func (o *pool) distrust(now, rested float64) {
	if rested < o.keptFor(now) {
		o.bad, o.badAt = rested, now
	}
}

func (o *pool) target(id string) *target { return o.targets[id] }

// know takes a worker from the list. Where its address changed, idle connections lead to the old one.
func (o *pool) know(id, addr string, listed bool) {
	t := o.target(id)
	if t == nil {
		t = &target{id: id, addr: addr}
		o.targets[id] = t
	}
	if t.addr != addr {
		t.leave()
	}
	t.addr, t.listed = addr, listed
}

// open tells whether a worker is in service, by the list as it was told and by what staff did.
func (o *pool) open(t *target) bool { return t.listed && !o.s.ops.staffed[t.id].out() }

// may tells whether what a connection is for may still be sent. The module decided it, and while the connection
// was made the worker began to drain, left or moved, or the list ceased to count; or its time, or the window in
// which the txn may go again, is over, which a loop that ran late has yet to see to; or it was answered or its
// client left, which the module does not say where nothing may be called off. All that is sent passes here.
func (l *workerConn) may(now float64) bool {
	p := l.p
	return l.s.pool.open(l.to) && l.addr == l.to.addr &&
		(p == nil || !p.t.over && now <= p.by && now < p.until && now < l.s.roster.watch.Till())
}

// forget takes workers off the list: those named, or all that are not kept.
func (o *pool) forget(gone []string, whole bool, kept map[string]bool) {
	for _, id := range gone {
		o.off(o.targets[id])
	}
	if whole && len(kept) < len(o.targets) {
		for id, t := range o.targets {
			if !kept[id] {
				o.off(t) // in any order: this only closes connections that are idle
			}
		}
	}
}

func (o *pool) off(t *target) {
	if t != nil {
		t.listed = false
		t.leave()
		delete(o.targets, t.id)
	}
}

// leave closes the idle connections to a worker.
func (t *target) leave() {
	for len(t.idle) > 0 {
		t.idle[0].close()
	}
}

// take finds an idle connection to a worker, or begins a new one. At a bound there is none. What must be sure
// of its connection gets a new one.
func (o *pool) take(id string, sure bool) *workerConn {
	t := o.target(id)
	if t == nil {
		return nil
	}
	now := o.s.now()
	for n := len(t.idle); n > 0 && !sure; n = len(t.idle) {
		l := t.idle[n-1]
		if l.rested = now - l.since; l.rested <= o.keptFor(now) && l.quiet() {
			t.idle = t.idle[:n-1]
			l.leaveIdle()
			return l
		}
		l.close()
	}
	if len(o.conns) >= o.most {
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

func (o *pool) drop(l *workerConn) {
	if end := len(o.conns) - 1; l.at <= end && o.conns[l.at] == l {
		o.conns[l.at] = o.conns[end]
		o.conns[l.at].at = l.at
		o.conns[end] = nil
		o.conns = o.conns[:end]
	}
	l.leaveIdle()
	l.to.idle = slices.DeleteFunc(l.to.idle, func(x *workerConn) bool { return x == l })
}

// dial makes a connection, and calls x.opened or failed. One that never comes up ends with the settings' time for that, and
// holds up no other.
func (s *Scheduler) dial(addr string, x connection, failed func(error)) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		s.loop.After(0, func() { failed(err) }) // addresses are checked where they come from
		return
	}
	s.loop.Dial(to, time.Duration(s.node.told.Dial*float64(time.Millisecond)), x, func(err error) {
		failed(err)
		s.pull()
	})
}

func (o *pool) post(p *posting, id string) {
	// A kept connection may be closing at the other end. A reset then says nothing of whether the posting
	// ran, and for one that must not run twice that is the end.
	l := o.take(id, p.t.ask.row.Effect == balance.OnceOnly)
	if l == nil {
		// No connection can be had, so none was made: the module takes it for a worker to leave alone for a
		// while.
		o.s.drive.over(p, balance.NoConnect, balance.NoLoad, "")
		return
	}
	p.conn, l.p = l, p
	if l.state == idle {
		l.send()
	}
}

func (o *pool) probe(id string) {
	l := o.take(id, true) // the end of a kept connection says little of its worker
	if l == nil {
		o.s.drive.mod.Probed(o.s.now(), id, balance.NoConnect, balance.NoLoad)
		return
	}
	// A probe finds out whether a worker answers at all: twice the time for a connection tells that it does
	// not.
	l.probing, l.until = true, o.s.now()+2*o.s.node.told.Dial
	if l.state == idle {
		l.send()
	}
}

func (l *workerConn) opened(c eventloop.Conn) {
	if l.passed {
		if l.conn = c; l.p == nil {
			l.close() // called off meanwhile
		}
		return
	}
	l.s.pool.dials--
	l.conn = c
	if l.p != nil || l.probing {
		l.send()
	} else {
		l.putIdle()
	}
}

// putIdle makes the connection an idle one.
func (l *workerConn) putIdle() {
	l.state, l.since = idle, l.s.now()
	if !l.s.pool.open(l.to) || l.addr != l.to.addr {
		l.close()
		return
	}
	l.to.idle = append(l.to.idle, l)
	l.idleElem = l.s.pool.idleConns.PushBack(l)
}

// leaveIdle takes it from among the idle ones.
func (l *workerConn) leaveIdle() {
	if l.idleElem != nil {
		l.s.pool.idleConns.Remove(l.idleElem)
		l.idleElem = nil
	}
}

// send writes the request. Nothing is ever sent again without the module asking for it.
func (l *workerConn) send() {
	if p := l.p; p != nil && p.t.from != nil && p.t.from.left() {
		p.t.from.leave() // with it its txn is over, and the module may call this posting off
	}
	if l.p == nil && !l.probing || !l.may(l.s.now()) {
		l.end(balance.NeverSent)
		l.putIdle()
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
	l.conn.SetWriteDeadline(time.Now().Add(sendFor))
	l.writing = true
	_ = l.conn.Write(b) // where it fails the connection is closed, and closed has told
	l.writing = false
	if p := l.p; l.unsent() {
		l.s.loop.After(sendFor, func() { l.giveUpUnsent(p) })
	}
}

// unsent tells whether some of the request has yet to be written.
func (l *workerConn) unsent() bool {
	return l.state == busy && l.conn != nil && l.conn.OutboundBuffered() > 0
}

// giveUpUnsent ends an attempt of which this machine still holds some: the time that it tells its worker is right no more.
func (l *workerConn) giveUpUnsent(p *posting) {
	if p != nil && l.p == p && l.unsent() {
		l.end(balance.NeverSent)
		l.close()
	}
}

// abandon gives up the posting, and tells whether its request may have been written whole.
func (l *workerConn) abandon() bool {
	l.p = nil
	if l.state == dialling {
		return false // the connection is of use to another posting
	}
	if l.conn == nil {
		return true // passed on, and not yet on the loop
	}
	whole := l.conn.OutboundBuffered() == 0
	l.close()
	return whole
}

// quiet tells whether nothing has come on an idle connection that the loop has not seen yet, such as its end.
func (l *workerConn) quiet() bool {
	_, _, err := unix.Recvfrom(l.conn.Fd(), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN // after any other error a new connection is made
}

func (l *workerConn) close() {
	l.ours = true
	if l.conn != nil {
		l.conn.Close()
	}
}

func (l *workerConn) closed(c eventloop.Conn, err error) {
	short := l.writing || c.OutboundBuffered() > 0
	if short {
		// What is left is tried once more after this call, and a posting that never went out whole must not be made
		// whole by that.
		_ = unix.Shutdown(c.Fd(), unix.SHUT_RDWR)
	}
	l.conn = nil
	l.s.pool.drop(l)
	if now := l.s.now(); l.ours {
	} else if l.state == idle {
		l.s.pool.distrust(now, now-l.since)
	} else if l.state == busy && l.rested >= 0 && !l.resp.Begun() {
		l.s.pool.distrust(now, l.rested)
	}
	switch {
	case short && errors.Is(err, os.ErrDeadlineExceeded):
		l.end(balance.NeverSent) // this machine could not write it, which says nothing of the worker
	case short:
		l.end(balance.NoConnect)
	case l.resp.End() && l.resp.Status != 0:
		l.end(l.status())
	default:
		l.end(balance.Reset)
	}
}

// end tells how the posting or probe ended, if one is on the connection.
func (l *workerConn) end(how balance.Outcome) { l.finish(how, balance.NoLoad, "") }

func (l *workerConn) finish(how balance.Outcome, load balance.Load, result string) {
	if p := l.p; p != nil {
		l.p = nil
		l.s.drive.over(p, how, load, result)
	}
	if l.probing {
		l.probing = false
		l.s.drive.mod.Probed(l.s.now(), l.to.id, how, load)
	}
}

// status is the outcome that a whole response without a last line tells.
func (l *workerConn) status() balance.Outcome {
	mark, _ := l.resp.Fields().Get("not-started")
	switch s := l.resp.Status; {
	case s == 200 && l.probing:
		return balance.Done
	case s == 200:
		return balance.Reset // it ended before its last line
	case l.probing && s == 503, (s == 503 || s == 504) && mark == "1":
		return balance.Full
	case s == 400:
		return balance.Unfit // it says nothing of the worker, which else stood aside for one client's bad requests
	}
	return balance.Erred
}

func (l *workerConn) traffic(eventloop.Conn) {
	for l.conn != nil {
		buf := l.conn.Peek()
		if len(buf) == 0 {
			return
		}
		if l.state == idle {
			l.close() // nothing was asked for
			return
		}
		n, err := l.resp.Feed(buf)
		if n > 0 {
			l.conn.Discard(n)
		}
		if err == nil && l.p != nil && l.resp.HeadDone() && l.resp.Status == 200 {
			err = l.notes()
		}
		if err != nil {
			l.s.log.Printf("msg=malformed from=worker id=%s err=%q", l.to.id, err)
			l.close()
			return
		}
		if l.p != nil && l.resp.HeadDone() && l.resp.Status != 200 {
			l.state, l.since = tail, l.s.now() // the head says it all, and the rest may never come
			l.end(l.status())
		}
		if l.conn != nil && l.resp.Done() {
			load := balance.NoLoad
			if l.probing {
				load = l.load(l.resp.Body())
			}
			l.finish(l.status(), load, "")
			if l.conn == nil {
				return
			}
			if !l.resp.Reusable() || l.s.phase >= draining {
				l.close()
				return
			}
			l.putIdle()
		} else if n == 0 {
			return
		}
	}
}

// load reads a worker's report: an object, or after the mark of its format, as ORCA has it, that or pairs.
// One that cannot be read is dropped, as what it came with is good all the same.
func (l *workerConn) load(report []byte) balance.Load {
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

// note is one line of a worker's answer.
type note struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Result *string         `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// notes reads the lines that have come. They are dropped all at once: one by one a worker that sends nothing
// but line ends would hold up the loop.
func (l *workerConn) notes() error {
	body, at := l.resp.Body(), 0
	defer func() { l.resp.Take(at) }()
	for l.p != nil {
		i := bytes.IndexByte(body[at:], '\n')
		if i < 0 && l.resp.Done() {
			i = len(body) - at
		}
		if i < 0 || at == len(body) {
			return nil
		}
		var n note
		text := bytes.TrimSpace(body[at : at+i])
		if at = min(at+i+1, len(body)); len(text) == 0 {
			continue
		}
		if err := json.Unmarshal(text, &n); err != nil {
			return err
		}
		if n.ID != l.p.t.ref {
			return &http1.Error{Status: 502, Reason: "a note of another request"}
		}
		// What no worker made is no result: none at all, or bytes that a reader of JSON would replace.
		if n.State == "done" && (n.Result == nil || !utf8.Valid(text)) {
			return &http1.Error{Status: 502, Reason: "done without a result that can be read"}
		}
		switch n.State {
		case "started":
			l.s.drive.started(l.p)
		case "done":
			l.last(balance.Done, n)
		case "failed":
			l.last(balance.Erred, n)
		case "returned":
			l.last(balance.Full, n)
		case "lost":
			l.last(balance.Reset, n)
		}
	}
	return nil
}

func (l *workerConn) last(how balance.Outcome, n note) {
	l.state, l.since = tail, l.s.now()
	result := ""
	if n.Result != nil {
		result = *n.Result
	}
	l.finish(how, l.load(n.Load), result)
}

// sweep closes connections that have been idle for long, and ends probes that get no answer.
func (o *pool) sweep(now float64) {
	for _, l := range slices.Clone(o.conns) {
		switch {
		case l.probing && now >= l.until:
			l.end(balance.TimedOut)
			l.close()
			l.to.leave() // on a cut link the others are as dead, and only a new connection tells
		case l.state == idle && now-l.since > o.keptFor(now),
			l.state == tail && now-l.since > tailFor:
			l.close()
		}
	}
}
