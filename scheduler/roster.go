package scheduler

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
	"shalebeam/watch"
)

const (
	maxListBytes = 4 << 20
	membersPath  = "/catalog/members"
)

// roster follows discovery's list of workers with a long poll, called a watch. The module says when to begin a watch,
// package watch how it goes on; roster makes the calls and applies the lists. Times are milliseconds on the
// scheduler's clock.
type roster struct {
	s             *Scheduler
	addr          string
	watch         *watch.Watch   // a placeholder until begin
	current       *discoveryConn // nil while there is none
	setAside      *discoveryConn // the connection before, kept as its answer may only be late; nil where there is none
	failureLogged bool           // a failure was logged, and no answer since
	listExpired   bool           // the list is too old to rely on; if it was reliable before, that is logged
	hadValidList  bool           // this process has had a list to rely on
	startTimes    workerStarts
}

// readyWithoutListMs is how long a new process without a valid list of workers reports that it is not ready. After
// that it reports ready in any case: the load balancer in front puts no other scheduler in its place, and requests
// that it cannot post are declined.
const readyWithoutListMs = 5000.0

// ready tells whether this process may report that it is ready: it has had a list to rely on, or has waited for one
// for readyWithoutListMs.
func (r *roster) ready(now float64) bool {
	return r.hadValidList || now > r.s.servingSince+readyWithoutListMs
}

// discoveryConn is a connection to discovery, up or still being made. Once it is neither the roster's current
// connection nor the one set aside, as after a failed call or a change of discovery's address, its events are
// ignored.
type discoveryConn struct {
	roster      *roster
	addr        string
	conn        eventloop.Conn // nil while it is being made, and after it has closed
	pendingCall watch.Call     // to be made once it is up
	calledAt    float64        // when the last call was written
	resp        http1.Response
}

// memberList is discovery's answer: the whole list of workers, or what has changed since the version asked for.
type memberList struct {
	Seq   *int64           `json:"seq"` // version of the list
	Whole bool             `json:"whole"`
	Hosts []jsontext.Value `json:"hosts"`
}

// member is one worker in discovery's answer.
type member struct {
	Host   string  `json:"host"`    // the worker's id
	Dial   string  `json:"dial"`    // address and port
	Site   string  `json:"site"`    // zone
	Class  string  `json:"class"`   // kind
	Block  int     `json:"block"`   // cell
	Health string  `json:"health"`  // see workerStates
	Share  float64 `json:"share"`   // weight
	Born   float64 `json:"born_ms"` // last start by the wall clock, Unix time in ms; 0: long ago
}

// workerStates maps discovery's health values to the module's states.
var workerStates = map[string]balance.State{"in_service": balance.Running, "terminating": balance.Draining,
	"terminated": balance.Removed}

func (r *roster) init(s *Scheduler) {
	*r = roster{s: s, addr: s.node.Discovery, watch: watch.New(math.Inf(1), 0, 0)}
	r.startTimes.init()
}

// begin starts the watch with the list from the configuration, where there is one.
func (r *roster) begin() {
	r.watch = watch.New(r.s.now(), r.s.node.decoded.Terms.ListPollIntervalMs, watch.CallServiceMs*float64(r.s.node.decoded.Terms.Schedulers))
	r.applyWatch()
	if len(r.s.node.Known) == 0 {
		return
	}
	if list, err := r.readList(r.s.node.Known); err != nil {
		r.s.log.Printf("msg=malformed from=configuration part=known err=%q", err)
	} else {
		r.watch.SetVersion(*list.Seq)
	}
}

// startWatch begins a watch, as the module decided.
func (r *roster) startWatch() {
	r.watch.Begin(r.s.now())
	r.applyWatch()
}

// retune takes new settings, and goes over to discovery's new address if that has changed.
func (r *roster) retune(addr string) {
	r.watch.SetMustAskIn(r.s.node.decoded.Terms.ListPollIntervalMs)
	if addr != r.addr {
		r.addr = addr
		r.watch.DiscoveryMoved(r.s.now())
		r.applyWatch()
	}
}

// applyWatch carries out what package watch decides, and reports to the module how long the list may be relied on and
// whether the watch works.
func (r *roster) applyWatch() {
	if r.watch.NextClose() {
		r.closeCurrent()
	}
	if r.watch.NextSetAside() {
		r.setAside.close()
		r.setAside, r.current = r.current, nil
	}
	if !r.watch.KeepsAside() {
		old := r.setAside
		r.setAside = nil
		old.close()
	}
	if c, ok := r.watch.NextCall(); ok {
		r.sendCall(c)
	}
	r.s.driver.module.SetListValidUntil(r.watch.ReliableUntil())
	for working, ok := r.watch.NextStatusChange(); ok; working, ok = r.watch.NextStatusChange() {
		r.s.driver.module.WatchAnswered(r.s.now(), working)
	}
}

// closeCurrent closes the current connection. Its end is not reported as a failure.
func (r *roster) closeCurrent() {
	dc := r.current
	r.current = nil
	dc.close()
}

// close closes the connection if it is up. dc may be nil.
func (dc *discoveryConn) close() {
	if dc != nil && dc.conn != nil {
		dc.conn.Close()
	}
}

// takeLateAnswer reads the answer that has come on the connection set aside, applies its list if that is not
// outdated, and closes the connection.
func (dc *discoveryConn) takeLateAnswer() {
	r := dc.roster
	list, err := decodeList(dc.resp.Body())
	if err == nil && dc.resp.Status == 200 && r.watch.AcceptsLateAnswer(r.s.now(), *list.Seq) {
		r.applyList(list)
		r.s.news.listApplied(list, dc.addr, dc.calledAt)
		r.s.news.answered(dc.addr, true)
	}
	r.setAside = nil
	dc.close()
}

// sendCall makes a call on the current connection, or on a new one.
func (r *roster) sendCall(c watch.Call) {
	if r.current == nil {
		dc := &discoveryConn{roster: r, addr: r.addr, pendingCall: c}
		r.current = dc
		r.s.dial(r.addr, dc, func(err error) { dc.fail(err) })
		return
	}
	r.current.writeCall(c)
}

// writeCall writes a call: for the whole list, or a long poll of c.Wait ms for what is newer than version c.After.
func (dc *discoveryConn) writeCall(c watch.Call) {
	query := ""
	if c.AfterVersion >= 0 {
		query = "?after=" + strconv.FormatInt(c.AfterVersion, 10) + "&wait_ms=" + strconv.Itoa(int(c.WaitMs))
	}
	dc.resp.Reset(http1.Limits{Head: maxHeadBytes, Body: maxListBytes})
	dc.calledAt = dc.roster.s.now()
	dc.roster.watch.CallSent(dc.calledAt)
	_ = dc.conn.Write([]byte("GET " + membersPath + query + " HTTP/1.1\r\nHost: " + dc.addr + "\r\n\r\n"))
}

// statusError is the status other than 200 with which discovery answered a call.
type statusError int

func (n statusError) Error() string {
	return fmt.Sprintf("discovery answered with status %d, want 200", int(n))
}

// unexpectedClose is the end of a connection that this process did not close.
type unexpectedClose struct{ error }

// classifyFailure tells what a failed call says of discovery.
func (dc *discoveryConn) classifyFailure(err error) watch.Failure {
	var status statusError
	var closed unexpectedClose
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return watch.ConnectionRefused
	case errors.As(err, &status), errors.As(err, &closed) && dc.roster.watch.State() == watch.Initial:
		return watch.Rejected
	}
	// The path to discovery may have been down for some time before a watch was reset, and a discovery that sends
	// malformed data is up: neither shows that it is down.
	return watch.ConnectionFailed
}

// fail handles a failed call, which ends its connection.
func (dc *discoveryConn) fail(err error) {
	r := dc.roster
	if r.setAside == dc {
		r.setAside = nil
	}
	if r.current != dc {
		return
	}
	failure := dc.classifyFailure(err)
	r.closeCurrent()
	r.failureLogged = true
	r.watch.Failed(r.s.now(), failure)
	r.s.log.Printf("msg=discovery state=failed err=%q counts_ms=%.0f", err, max(r.watch.ReliableUntil()-r.s.now(), 0))
	r.applyWatch()
}

func (dc *discoveryConn) opened(c eventloop.Conn) {
	if dc.roster.current != dc {
		c.Close()
		return
	}
	dc.conn = c
	dc.writeCall(dc.pendingCall)
	dc.roster.applyWatch()
}

func (dc *discoveryConn) closed(_ eventloop.Conn, err error) {
	dc.conn = nil
	if err == nil {
		err = fmt.Errorf("connection closed")
	}
	dc.fail(unexpectedClose{err})
}

func (dc *discoveryConn) traffic(c eventloop.Conn) {
	r := dc.roster
	if r.current != dc && r.setAside != dc {
		return
	}
	buf := c.Peek()
	n, err := dc.resp.Feed(buf)
	if n > 0 {
		c.Discard(n)
	}
	if err != nil {
		dc.fail(err)
		return
	}
	if !dc.resp.Complete() {
		return
	}
	if r.setAside == dc {
		dc.takeLateAnswer()
		return
	}
	if dc.resp.Status != 200 {
		dc.fail(statusError(dc.resp.Status))
		return
	}
	reusable := dc.resp.Reusable()
	seq, err := r.takeAnswer(dc.resp.Body(), dc.addr, dc.calledAt, reusable)
	if err != nil {
		dc.fail(err)
		return
	}
	if r.failureLogged && r.watch.State() != watch.AddressChanged {
		r.failureLogged = false
		r.s.log.Printf("msg=discovery state=answers addr=%s seq=%d", r.addr, seq)
	}
	if !reusable {
		r.closeCurrent() // its end is no failure
	}
	r.applyWatch()
}

// takeAnswer applies the answer of discovery at this address to a call that was made at calledAt, and returns the list's version.
// reusable tells whether the connection can be used again.
func (r *roster) takeAnswer(raw []byte, discovery string, calledAt float64, reusable bool) (seq int64, err error) {
	former := r.watch.Version()
	list, err := r.readList(raw)
	if err != nil {
		return 0, err
	}
	r.s.news.listApplied(list, discovery, calledAt)
	r.watch.Answered(r.s.now(), *list.Seq, reusable)
	r.s.news.answered(discovery, list.Whole || *list.Seq != former)
	return *list.Seq, nil
}

// readList decodes and applies an answer, and returns it. Nothing is sent to a worker whose entry is
// malformed, whatever was known of it, nor to one that is listed twice; the rest of the list is valid.
func (r *roster) readList(raw []byte) (memberList, error) {
	list, err := decodeList(raw)
	if err == nil {
		err = r.watch.CheckVersion(*list.Seq, list.Whole)
	}
	if err != nil {
		return memberList{}, err
	}
	r.applyList(list)
	return list, nil
}

// applyList reports the workers of an answer to the module and to the connection pool. A repeated or malformed member
// is taken as draining; one without a host is skipped.
func (r *roster) applyList(list memberList) {
	now := r.s.now()
	r.startTimes.noteOffset(r.s.clock.wallClockOffsetMs())
	rows := make([]balance.Listed, 0, len(list.Hosts))
	var removed []string
	var firstErr error
	badMembers := 0
	keptHosts := make(map[string]bool, len(list.Hosts))
	rowByHost := make(map[string]int, len(list.Hosts))
	for _, entry := range decodeMembers(list.Hosts) {
		m, err := entry.member, entry.err
		rowIndex, repeated := rowByHost[m.Host]
		if repeated && err == nil {
			err = fmt.Errorf("host %s is listed twice", m.Host)
		}
		if err != nil {
			if badMembers++; firstErr == nil {
				firstErr = err
			}
			if m.Host == "" {
				continue
			}
		}
		state, ok := workerStates[m.Health]
		if !ok || err != nil {
			state = balance.Draining // no postings go to a worker in an unknown state
		}
		row := balance.Listed{ID: m.Host, Cell: m.Block, Zone: indexOf(r.s.node.decoded.Zones, m.Site),
			Kind: indexOf(r.s.node.decoded.Kinds, m.Class), State: state,
			Start: r.startTimes.startTime(now, m.Host, m.Born), Weight: m.Share}
		if repeated {
			rows[rowIndex].State = state
		} else {
			rowByHost[m.Host] = len(rows)
			rows = append(rows, row)
		}
		if state == balance.Removed {
			removed = append(removed, m.Host)
			r.startTimes.forget(m.Host)
			continue
		}
		if knownWorker := r.s.pool.worker(m.Host); err != nil && knownWorker != nil {
			m.Dial = knownWorker.addr
		}
		if _, badAddr := netip.ParseAddrPort(m.Dial); badAddr == nil {
			r.s.pool.updateWorker(m.Host, m.Dial, state == balance.Running)
		}
		keptHosts[m.Host] = true
	}
	if badMembers > 0 {
		r.s.log.Printf("msg=malformed from=discovery entries=%d first=%q", badMembers, firstErr)
	}
	if list.Whole {
		r.startTimes.retain(keptHosts)
	}
	r.s.driver.module.ListChanged(now, list.Whole, rows)
	r.s.pool.removeWorkers(removed, list.Whole, keptHosts)
}

// indexOf returns the index of a name in the settings' list of such names, or -1.
func indexOf(names []string, name string) int { return slices.Index(names, name) }

// nextWake is when sweep next has something to do, in milliseconds.
func (r *roster) nextWake() float64 {
	if r.listExpired {
		return r.watch.NextWake()
	}
	return min(r.watch.NextWake(), r.watch.ReliableUntil())
}

// sweep logs when the list expires, and has package watch handle what is due by now.
func (r *roster) sweep(now float64) {
	if wasExpired := r.listExpired; now < r.watch.ReliableUntil() {
		r.listExpired, r.hadValidList = false, true
	} else if r.listExpired = true; !wasExpired && r.hadValidList {
		r.s.log.Printf("msg=discovery state=unheard note=\"list of workers has expired; no postings until discovery answers\"")
	}
	if now < r.watch.NextWake() {
		return
	}
	was := r.watch.State()
	r.watch.Advance(now)
	if state := r.watch.State(); state != was {
		r.failureLogged = true
		r.s.log.Printf("msg=discovery state=silent was=%s is=%s", was, state)
	}
	r.applyWatch()
}
