package scheduler

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"shalebeam/balance"
	"shalebeam/http1"
)

const (
	answerFor  = 2000.0 // for discovery to answer, beyond the wait it was asked for
	waitMost   = 20000.0
	soonGap    = 50.0 // with the time to the next sweep well below the 200 ms in which a watch must go on
	listMost   = 4 << 20
	rosterPath = "/catalog/members"
)

// roster follows discovery's list. The module says when to begin a watch; going on with one, which must be
// asked for again at each answer, is its own.
type roster struct {
	s       *Scheduler
	conn    gnet.Conn
	resp    http1.Response
	seq     int64
	asking  bool // from the module's wish to the watch's end
	watched bool // the watch was answered before
	failed  bool // the last one failed
	callAt  float64
	wait    float64 // what that call asked for
	until   float64
	nextAt  float64 // when to go on after an answer that came too soon; 0: there was none
}

// list is what discovery answers.
type list struct {
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

func (r *roster) init(s *Scheduler) { r.s = s }

// begin takes the list that the configuration brought.
func (r *roster) begin() {
	if len(r.s.node.Known) == 0 {
		return
	}
	if err := r.read(r.s.node.Known); err != nil {
		r.s.log.Printf("msg=malformed from=configuration part=known err=%q", err)
	}
}

// ask begins a watch.
func (r *roster) ask() {
	if r.asking {
		return
	}
	r.asking, r.watched = true, false
	r.call()
}

// call sends the next call of a watch. The first is answered at once, and so tells that the watch is on.
func (r *roster) call() {
	r.wait, r.nextAt, r.callAt = 0, 0, r.s.now()
	if r.watched {
		r.wait = min(r.s.node.told.Terms.AskIn/2, waitMost)
	}
	r.until = r.callAt + r.wait + answerFor
	if r.conn == nil {
		r.s.dial(r.s.node.Discovery, r, func(err error) { r.fail(err) })
		return
	}
	r.resp.Reset(http1.Limits{Head: headMost, Body: listMost})
	_, _ = r.conn.Write([]byte("GET " + rosterPath + "?after=" + strconv.FormatInt(r.seq, 10) + "&wait_ms=" +
		strconv.Itoa(int(r.wait)) + " HTTP/1.1\r\nHost: " + r.s.node.Discovery + "\r\n\r\n"))
}

func (r *roster) fail(err error) {
	if !r.asking {
		return
	}
	r.asking, r.failed, r.nextAt = false, true, 0
	if c := r.conn; c != nil {
		_ = r.s.loop.Close(c)
	}
	r.s.log.Printf("msg=discovery state=failed err=%q", err)
	r.s.drive.mod.Watched(r.s.now(), false)
}

func (r *roster) opened(c gnet.Conn) {
	if !r.asking || r.conn != nil {
		_ = r.s.loop.Close(c) // it came up after the call that wanted it had failed
		return
	}
	r.conn = c
	r.call()
}

func (r *roster) closed(c gnet.Conn, err error) {
	if r.conn != c {
		return
	}
	r.conn = nil
	if err == nil {
		err = fmt.Errorf("connection ended")
	}
	r.fail(err)
}

func (r *roster) traffic(c gnet.Conn) {
	if c != r.conn {
		return
	}
	buf, _ := c.Peek(-1)
	n, err := r.resp.Feed(buf)
	if n > 0 {
		_, _ = c.Discard(n)
	}
	if err != nil {
		r.fail(err)
		return
	}
	if !r.resp.Done() {
		return
	}
	if r.resp.Status != 200 {
		r.fail(fmt.Errorf("status %d", r.resp.Status))
		return
	}
	seq := r.seq
	if err := r.read(r.resp.Body()); err != nil {
		r.fail(err)
		return
	}
	if !r.watched {
		if r.failed {
			r.s.log.Printf("msg=discovery state=answers seq=%d", r.seq)
		}
		r.watched, r.failed = true, false
		r.s.drive.mod.Watched(r.s.now(), true)
	}
	if !r.resp.Reusable() {
		r.conn = nil // its end is no failure
		_ = r.s.loop.Close(c)
	}
	if now := r.s.now(); seq == r.seq && now < r.callAt+r.wait/2 {
		r.nextAt = now + soonGap // it does not wait as it was asked to, and calls would follow on each other
		return
	}
	r.call()
}

// read tells the module and the pool what a list says. An entry that is no use is left out.
func (r *roster) read(raw []byte) error {
	var in list
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	if in.Seq == nil {
		return fmt.Errorf("seq is missing")
	}
	rows := make([]balance.Listed, 0, len(in.Hosts))
	for _, raw := range in.Hosts {
		var e entry
		err := json.Unmarshal(raw, &e)
		if err == nil && e.Host == "" {
			err = fmt.Errorf("host is missing")
		}
		if _, bad := netip.ParseAddrPort(e.Dial); err == nil && bad != nil && e.Health != "terminated" {
			err = fmt.Errorf("dial: %w", bad)
		}
		if err != nil {
			r.s.log.Printf("msg=malformed from=discovery err=%q", err)
			continue
		}
		state, ok := healths[e.Health]
		if !ok {
			state = balance.Draining // nothing is sent to a worker in a state that is not known
		}
		if state != balance.Removed {
			r.s.pool.know(e.Host, e.Dial, state == balance.Running)
		}
		rows = append(rows, balance.Listed{ID: e.Host, Cell: e.Block, Zone: place(r.s.node.told.Zones, e.Site),
			Kind: place(r.s.node.told.Kinds, e.Class), State: state, Start: e.Born, Weight: e.Share})
	}
	r.seq = *in.Seq
	r.s.drive.mod.ListChanged(r.s.now(), in.Whole, rows)
	r.s.pool.forget(func(t *target) bool {
		i := slices.IndexFunc(rows, func(x balance.Listed) bool { return x.ID == t.id })
		return i < 0 && in.Whole || i >= 0 && rows[i].State == balance.Removed
	})
	return nil
}

// place is a name's place in the settings' list of such names, or -1.
func place(names []string, name string) int { return slices.Index(names, name) }

// sweep ends a call that discovery does not answer, and goes on after an answer that came too soon.
func (r *roster) sweep(now float64) {
	switch {
	case !r.asking:
	case r.nextAt > 0 && now >= r.nextAt:
		r.call()
	case now >= r.until:
		r.fail(fmt.Errorf("no answer"))
	}
}
