package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/http1"
	"shalebeam/scheduler/eventloop"
	"shalebeam/watch"
)

const (
	listMost   = 4 << 20
	rosterPath = "/catalog/members"
)

// roster follows discovery's list: the module says when to begin a watch, package watch how it goes on.
type roster struct {
	s       *Scheduler
	addr    string
	watch   *watch.Watch
	link    *link // nil while there is none
	aside   *link // the one before, which may be only late
	failed  bool  // the last watch failed, and that is logged
	unheard bool  // the list may not be relied on, and where it could be that is logged
	counted bool  // it could be once
	starts  starts
}

// readyFor is how long a new process waits for a list that counts, until it says that it serves in any case: a front
// takes in nobody else in its place, and what it can't post it declines.
const readyFor = 5000.0

// ready tells whether there is, or was, a list by which to post, or none came for long.
func (r *roster) ready(now float64) bool { return r.counted || now > r.s.began+readyFor }

// link is a connection to discovery, made or still to be. Of one that is not the roster's any more, as after
// a failed call or a new address, nothing is heard.
type link struct {
	r    *roster
	addr string
	conn eventloop.Conn // nil while it is made
	call watch.Call     // to be made once it is
	resp http1.Response
}

// members is what discovery answers.
type members struct {
	Seq   *int64            `json:"seq"`
	Whole bool              `json:"whole"`
	Hosts []json.RawMessage `json:"hosts"`
}

type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

var healths = map[string]balance.State{"in_service": balance.Running, "terminating": balance.Draining,
	"terminated": balance.Removed}

func (r *roster) init(s *Scheduler) {
	*r = roster{s: s, addr: s.node.Discovery, watch: watch.New(math.Inf(1), 0, 0)}
	r.starts.init()
}

// begin takes the list that the configuration brought.
func (r *roster) begin() {
	r.watch = watch.New(r.s.now(), r.s.node.told.Terms.AskIn, watch.EachCall*float64(r.s.node.told.Terms.Peers))
	r.pull()
	if len(r.s.node.Known) == 0 {
		return
	}
	if seq, err := r.read(r.s.node.Known); err != nil {
		r.s.log.Printf("msg=malformed from=configuration part=known err=%q", err)
	} else {
		r.watch.Began(seq)
	}
}

// ask begins a watch.
func (r *roster) ask() {
	r.watch.Wanted(r.s.now())
	r.pull()
}

// move goes over to discovery at another address.
func (r *roster) move(addr string) {
	r.watch.Retune(r.s.node.told.Terms.AskIn)
	if addr != r.addr {
		r.addr = addr
		r.watch.Went(r.s.now())
		r.pull()
	}
}

// pull does what the watch says, and tells the module what it has to hear.
func (r *roster) pull() {
	if r.watch.NextHangUp() {
		r.hangUp()
	}
	if r.watch.NextAside() {
		r.aside.hangUp()
		r.aside, r.link = r.link, nil
	}
	if !r.watch.Besides() {
		old := r.aside
		r.aside = nil
		old.hangUp()
	}
	if c, ok := r.watch.NextCall(); ok {
		r.call(c)
	}
	r.s.drive.mod.Relies(r.watch.Till())
	for on, ok := r.watch.NextTold(); ok; on, ok = r.watch.NextTold() {
		r.s.drive.mod.Watched(r.s.now(), on)
	}
}

func (r *roster) hangUp() {
	l := r.link
	r.link = nil
	l.hangUp()
}

func (l *link) hangUp() {
	if l != nil && l.conn != nil {
		l.conn.Close()
	}
}

// overheard reads what still comes on the connection that was set aside.
func (l *link) overheard() {
	r := l.r
	in, err := decode(l.resp.Body())
	if err == nil && l.resp.Status == 200 && r.watch.Overhears(r.s.now(), *in.Seq) {
		r.take(in)
	}
	r.aside = nil
	l.hangUp()
}

func (r *roster) call(c watch.Call) {
	if r.link == nil {
		l := &link{r: r, addr: r.addr, call: c}
		r.link = l
		r.s.dial(r.addr, l, func(err error) { l.fail(err) })
		return
	}
	r.link.write(c)
}

func (l *link) write(c watch.Call) {
	query := ""
	if c.After >= 0 {
		query = "?after=" + strconv.FormatInt(c.After, 10) + "&wait_ms=" + strconv.Itoa(int(c.Wait))
	}
	l.resp.Reset(http1.Limits{Head: headMost, Body: listMost})
	l.r.watch.Sent(l.r.s.now())
	_ = l.conn.Write([]byte("GET " + rosterPath + query + " HTTP/1.1\r\nHost: " + l.addr + "\r\n\r\n"))
}

// no is a status by which discovery turns a call away.
type no int

func (n no) Error() string { return fmt.Sprintf("status %d", int(n)) }

// ended is the end of a connection that nobody here closed.
type ended struct{ error }

// failure tells what the end of a call says of discovery.
func (l *link) failure(err error) watch.Failure {
	var said no
	var end ended
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return watch.Refused
	case errors.As(err, &said), errors.As(err, &end) && l.r.watch.State() == watch.First:
		return watch.TurnedAway
	}
	return watch.Broken // a watch that is reset may have been silent before, and who writes what can't be read is there
}

// fail takes that a call came to nothing, and its connection with it.
func (l *link) fail(err error) {
	r := l.r
	if r.aside == l {
		r.aside = nil
	}
	if r.link != l {
		return
	}
	how := l.failure(err)
	r.hangUp()
	r.failed = true
	r.watch.Failed(r.s.now(), how)
	r.s.log.Printf("msg=discovery state=failed err=%q counts_ms=%.0f", err, max(r.watch.Till()-r.s.now(), 0))
	r.pull()
}

func (l *link) opened(c eventloop.Conn) {
	if l.r.link != l {
		c.Close()
		return
	}
	l.conn = c
	l.write(l.call)
	l.r.pull()
}

func (l *link) closed(_ eventloop.Conn, err error) {
	l.conn = nil
	if err == nil {
		err = fmt.Errorf("connection ended")
	}
	l.fail(ended{err})
}

func (l *link) traffic(c eventloop.Conn) {
	r := l.r
	if r.link != l && r.aside != l {
		return
	}
	buf := c.Peek()
	n, err := l.resp.Feed(buf)
	if n > 0 {
		c.Discard(n)
	}
	if err != nil {
		l.fail(err)
		return
	}
	if !l.resp.Done() {
		return
	}
	if r.aside == l {
		l.overheard()
		return
	}
	if l.resp.Status != 200 {
		l.fail(no(l.resp.Status))
		return
	}
	seq, err := r.read(l.resp.Body())
	if err != nil {
		l.fail(err)
		return
	}
	if r.failed && r.watch.State() != watch.Moved {
		r.failed = false
		r.s.log.Printf("msg=discovery state=answers addr=%s seq=%d", r.addr, seq)
	}
	kept := l.resp.Reusable()
	if !kept {
		r.hangUp() // its end is no failure
	}
	r.watch.Answered(r.s.now(), seq, kept)
	r.pull()
}

// read tells the module and the pool what a list says, and which version it is of. Of an entry that is no use
// the worker is left alone, whatever was known of it, and so is one that stands there twice: the rest holds.
func (r *roster) read(raw []byte) (seq int64, err error) {
	in, err := decode(raw)
	if err == nil {
		err = r.watch.Fits(*in.Seq, in.Whole)
	}
	if err != nil {
		return 0, err
	}
	r.take(in)
	return *in.Seq, nil
}

func decode(raw []byte) (in members, err error) {
	if err = json.Unmarshal(raw, &in); err == nil && in.Seq == nil {
		err = fmt.Errorf("seq is missing")
	}
	return in, err
}

func (r *roster) take(in members) {
	now := r.s.now()
	r.starts.looked(r.s.clock.drift())
	rows := make([]balance.Listed, 0, len(in.Hosts))
	var gone []string
	var first error
	bad := 0
	kept := make(map[string]bool, len(in.Hosts))
	named := make(map[string]int, len(in.Hosts))
	for _, raw := range in.Hosts {
		e, err := r.entry(raw)
		at, twice := named[e.Host]
		if twice && err == nil {
			err = fmt.Errorf("host %s stands there twice", e.Host)
		}
		if err != nil {
			if bad++; first == nil {
				first = err
			}
			if e.Host == "" {
				continue
			}
		}
		state, ok := healths[e.Health]
		if !ok || err != nil {
			state = balance.Draining // nothing is sent to a worker in a state that is not known
		}
		row := balance.Listed{ID: e.Host, Cell: e.Block, Zone: place(r.s.node.told.Zones, e.Site),
			Kind: place(r.s.node.told.Kinds, e.Class), State: state, Start: r.starts.at(now, e.Host, e.Born), Weight: e.Share}
		if twice {
			rows[at].State = state
		} else {
			named[e.Host] = len(rows)
			rows = append(rows, row)
		}
		if state == balance.Removed {
			gone = append(gone, e.Host)
			r.starts.forget(e.Host)
			continue
		}
		if t := r.s.pool.target(e.Host); err != nil && t != nil {
			e.Dial = t.addr
		}
		if _, bad := netip.ParseAddrPort(e.Dial); bad == nil {
			r.s.pool.updateWorker(e.Host, e.Dial, state == balance.Running)
		}
		kept[e.Host] = true
	}
	if bad > 0 {
		r.s.log.Printf("msg=malformed from=discovery entries=%d first=%q", bad, first)
	}
	if in.Whole {
		r.starts.keep(kept)
	}
	r.s.drive.mod.ListChanged(now, in.Whole, rows)
	r.s.pool.removeWorkers(gone, in.Whole, kept)
}

// entry reads one entry. Of one that can't be read at least the host is, where there is one.
func (r *roster) entry(raw json.RawMessage) (e entry, err error) {
	if err = json.Unmarshal(raw, &e); err != nil {
		e = entry{}
		var only struct{ Host string }
		_ = json.Unmarshal(raw, &only) // where this fails too it names none
		e.Host = only.Host
		return e, err
	}
	if e.Host == "" {
		return e, fmt.Errorf("host is missing")
	}
	if _, bad := netip.ParseAddrPort(e.Dial); bad != nil && e.Health != "terminated" {
		return e, fmt.Errorf("dial: %w", bad)
	}
	return e, nil
}

// place is a name's place in the settings' list of such names, or -1.
func place(names []string, name string) int { return slices.Index(names, name) }

// wake is when sweep has something to see to.
func (r *roster) wake() float64 {
	if r.unheard {
		return r.watch.Wake()
	}
	return min(r.watch.Wake(), r.watch.Till())
}

// sweep sees to what is due by now.
func (r *roster) sweep(now float64) {
	if was := r.unheard; now < r.watch.Till() {
		r.unheard, r.counted = false, true
	} else if r.unheard = true; !was && r.counted {
		r.s.log.Printf("msg=discovery state=unheard note=\"nothing is posted until it answers\"")
	}
	if now < r.watch.Wake() {
		return
	}
	was := r.watch.State()
	r.watch.Passed(now)
	if is := r.watch.State(); is != was {
		r.failed = true
		r.s.log.Printf("msg=discovery state=silent was=%s is=%s", was, is)
	}
	r.pull()
}
