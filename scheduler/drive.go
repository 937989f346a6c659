package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"shalebeam/balance"
	"shalebeam/scheduler/eventloop"
)

// txn is a request that was taken, until it is answered and all its postings have ended.
type txn struct {
	ref   string
	ask   ask
	from  *client // nil once it is answered or the client has left
	until float64
	posts []*posting
	out   int
	over  bool
}

// posting is one that the module asked for.
type posting struct {
	t     *txn
	no    int
	conn  *workerConn // nil once it has ended
	until float64
	by    float64 // later than this it is not sent
}

// drive holds the module, tells it what happens, and carries out what it decides.
type drive struct {
	s       *Scheduler
	mod     *balance.Scheduler
	txns    map[string]*txn
	ends    ends // when postings are given up
	pulling bool
	timer   *eventloop.Timer
	ended   int // postings that have ended and may still stand there
	stopAt  float64
	sweepAt float64
	finals  finals
}

// sweepEvery is how often idle and slow connections are looked over: their limits are seconds.
const sweepEvery = 100.0

func (d *drive) init(s *Scheduler, mod *balance.Scheduler) {
	*d = drive{s: s, mod: mod, txns: map[string]*txn{}, stopAt: math.Inf(1)}
}

// arrive takes a request that came whole.
func (d *drive) arrive(from *client, a ask) *txn {
	now := d.s.now()
	t := &txn{ref: a.txn.Ref, ask: a, from: from, until: min(now+a.txn.Left, d.stopAt)}
	d.txns[t.ref] = t
	d.mod.Arrived(now, a.txn)
	return t
}

// gone tells that a client closed its connection before its answer.
func (d *drive) gone(t *txn) {
	t.from = nil
	if !t.over {
		t.over = true
		d.mod.Gone(d.s.now(), t.ref)
		d.recall(t)
		d.forget(t)
	}
}

// recall gives up what was not written whole of a txn that is over: finished later it would be an attempt for nobody. That it
// never ran needs no leave to call it off.
func (d *drive) recall(t *txn) {
	for _, p := range t.posts {
		if p.conn != nil && p.conn.unsent() {
			d.drop(p, balance.NeverSent)
		}
	}
}

func (d *drive) forget(t *txn) {
	if t.over && t.out == 0 && d.txns[t.ref] == t {
		delete(d.txns, t.ref)
	}
}

// started tells that a worker has begun a posting.
func (d *drive) started(p *posting) { d.mod.Started(d.s.now(), p.t.ref, p.no) }

// over tells how a posting ended, and settles its txn with the first result.
func (d *drive) over(p *posting, how balance.Outcome, load balance.Load, result string) {
	p.conn = nil
	d.ended++
	d.s.metrics.attempts[how]++
	t := p.t
	t.out--
	if how == balance.Done && !t.over {
		t.over = true
		d.finals.Settled++
		t.from.answer(200, result, -1)
	}
	d.mod.Ended(d.s.now(), t.ref, p.no, how, t.over, load)
	if how == balance.Done {
		d.recall(t)
	}
	d.forget(t)
}

// shorten ends all txns by a time at which this scheduler stops.
func (d *drive) shorten(by float64) {
	d.stopAt = by
	for _, t := range d.txns {
		t.until = min(t.until, by)
	}
	for i := range d.ends {
		p := d.ends[i].p
		p.until = min(p.until, by)
		d.ends[i].at = p.until
	}
	heap.Init(&d.ends)
	d.mod.Stops(by)
}

// pull carries out what the module decides until there is nothing left. What happens meanwhile, as when a
// write fails, is told to the module in between.
func (d *drive) pull() {
	if d.pulling {
		return
	}
	d.pulling = true
	now := d.s.now()
	d.expire(now)
	if now >= d.sweepAt {
		d.sweepAt = now + sweepEvery
		d.s.clients.sweep(now)
		d.s.pool.sweep(now)
		d.s.ops.sweep(now)
		d.s.handover.sweep(now)
		d.s.metrics.sweep(now)
	}
	d.s.roster.sweep(now)
	for d.step(now) {
		now = d.s.now()
	}
	d.s.settle(now)
	d.pulling = false
	d.arm(now)
}

func (d *drive) step(now float64) bool {
	if f, ok := d.mod.NextFinal(now); ok {
		if t := d.txns[f.Ref]; t != nil && !t.over {
			t.over = true
			if f.Declined {
				d.finals.Declined++
				t.from.answer(503, "declined\n", f.Stay)
			} else {
				d.finals.Reversed++
				t.from.answer(502, "reversed\n", -1)
			}
			d.recall(t)
			d.forget(t)
		}
		return true
	}
	if c, ok := d.mod.NextCancel(now); ok {
		if t := d.txns[c.Ref]; t != nil && c.Posting < len(t.posts) {
			d.drop(t.posts[c.Posting], balance.Cancelled)
		}
		return true
	}
	if p, ok := d.mod.NextPosting(now); ok {
		if t := d.txns[p.Ref]; t != nil {
			d.post(now, t, p)
		}
		return true
	}
	if id, ok := d.mod.NextProbe(now); ok {
		d.s.pool.probe(id)
		return true
	}
	if body, ok := d.mod.NextMessage(now); ok {
		d.s.peers.tell(body)
		return true
	}
	if d.mod.NextWatch(now) {
		d.s.roster.ask()
		return true
	}
	return false
}

func (d *drive) post(now float64, t *txn, p balance.Post) {
	x := &posting{t: t, no: len(t.posts), until: t.until, by: p.By}
	if p.Timeout > 0 {
		x.until = min(x.until, now+p.Timeout)
	}
	t.posts = append(t.posts, x)
	t.out++
	heap.Push(&d.ends, ending{x.until, x})
	d.s.pool.post(x, p.Worker)
}

// drop gives up a posting. One whose request was not written whole cannot have run.
func (d *drive) drop(p *posting, how balance.Outcome) {
	if p.conn == nil {
		return
	}
	if !p.conn.abandon() {
		how = balance.NeverSent
	}
	d.over(p, how, balance.NoLoad, "")
}

// ending is when a posting is given up, unless it has ended by then.
type ending struct {
	at float64
	p  *posting
}

// ends has the next one first.
type ends []ending

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(ending)) }

func (e *ends) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = ending{}
	*e = (*e)[:last]
	return x
}

// tidy takes out postings that have ended: at the top, and all of them where they are the most, as expiries may
// be minutes away and a posting holds its txn's body.
func (d *drive) tidy() {
	for len(d.ends) > 0 && d.ends[0].p.conn == nil {
		heap.Pop(&d.ends)
	}
	if d.ended > len(d.ends)/2 && d.ended > 64 {
		d.ends = slices.DeleteFunc(d.ends, func(e ending) bool { return e.p.conn == nil })
		heap.Init(&d.ends)
		d.ended = 0
	}
}

// expire ends the postings whose time is over.
func (d *drive) expire(now float64) {
	for d.tidy(); len(d.ends) > 0 && now >= d.ends[0].at; d.tidy() {
		d.drop(d.ends[0].p, balance.TimedOut)
	}
}

// arm sets the one timer for the module's next wake-up, or for what has to end sooner.
func (d *drive) arm(now float64) {
	at := min(d.mod.Wake(now), d.sweepAt, d.s.roster.wake(), d.s.handover.wake())
	if d.tidy(); len(d.ends) > 0 {
		at = min(at, d.ends[0].at)
	}
	d.timer.Stop()
	d.timer = d.s.loop.After(time.Duration(math.Ceil(max(at-now, 0)*float64(time.Millisecond))), d.s.pull)
}
