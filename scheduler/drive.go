package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"shalebeam/balance"
	"shalebeam/scheduler/eventloop"
)

// txn is a request of a client, from its arrival until it is answered and all its postings have ended. Times are
// milliseconds on the scheduler's clock.
type txn struct {
	ref   string // its Request-Id
	ask   ask
	from  *client    // nil once the client has left, or another process has the txn
	until float64    // when its time is over: the client's deadline, or this process's stop if sooner
	posts []*posting // all its postings, by number
	out   int        // postings that have not ended
	over  bool       // answered, or its client has left
}

// posting is one attempt of a txn at a worker, as the module decided it.
type posting struct {
	t     *txn
	no    int         // its index in the txn's posts
	conn  *workerConn // nil once it has ended
	until float64     // its deadline: it is given up then
	by    float64     // not sent after this time
}

// drive holds the module (package balance), reports events to it and carries out its decisions.
type drive struct {
	s           *Scheduler
	mod         *balance.Scheduler
	txns        map[string]*txn  // by Request-Id
	ends        deadlineHeap     // the postings' deadlines; some of the postings may have ended
	pulling     bool             // pull is running
	timer       *eventloop.Timer // calls pull; see armTimer
	ended       int              // postings that have ended since ends was last rid of them all
	stopAt      float64          // when this process stops; +Inf while that is not known
	nextSweepAt float64          // when connections are next checked for their time limits
	finals      finals           // counts of final answers
}

// sweepIntervalMs is how often idle and slow connections are looked for. Their time limits are seconds.
const sweepIntervalMs = 100.0

func (d *drive) init(s *Scheduler, mod *balance.Scheduler) {
	*d = drive{s: s, mod: mod, txns: map[string]*txn{}, stopAt: math.Inf(1)}
}

// arrive takes a request that has come whole, and returns its txn.
func (d *drive) arrive(from *client, a ask) *txn {
	now := d.s.now()
	t := &txn{ref: a.txn.Ref, ask: a, from: from, until: min(now+a.txn.Left, d.stopAt)}
	d.txns[t.ref] = t
	d.mod.Arrived(now, a.txn)
	return t
}

// gone tells the module that a client closed its connection before its txn was answered.
func (d *drive) gone(t *txn) {
	t.from = nil
	if !t.over {
		t.over = true
		d.mod.Gone(d.s.now(), t.ref)
		d.dropUnsent(t)
		d.forget(t)
	}
}

// dropUnsent gives up the postings of a finished txn whose requests are not written whole: if they were still
// written, workers would run them for no client. They cannot have run, so this needs no permission to cancel
// postings.
func (d *drive) dropUnsent(t *txn) {
	for _, p := range t.posts {
		if p.conn != nil && p.conn.hasUnsentBytes() {
			d.endPosting(p, balance.NeverSent)
		}
	}
}

// forget deletes a txn that is over and has no postings out.
func (d *drive) forget(t *txn) {
	if t.over && t.out == 0 && d.txns[t.ref] == t {
		delete(d.txns, t.ref)
	}
}

// started tells the module that a worker has begun a posting.
func (d *drive) started(p *posting) { d.mod.Started(d.s.now(), p.t.ref, p.no) }

// postingEnded tells the module how a posting ended. The first result settles the txn.
func (d *drive) postingEnded(p *posting, outcome balance.Outcome, load balance.Load, result string) {
	p.conn = nil
	d.ended++
	d.s.metrics.attempts[outcome]++
	t := p.t
	t.out--
	if outcome == balance.Done && !t.over {
		t.over = true
		d.finals.Settled++
		t.from.answer(200, result, -1)
	}
	d.mod.Ended(d.s.now(), t.ref, p.no, outcome, t.over, load)
	if outcome == balance.Done {
		d.dropUnsent(t)
	}
	d.forget(t)
}

// shorten moves all deadlines that are later than stopAt, when this process stops, to that time.
func (d *drive) shorten(stopAt float64) {
	d.stopAt = stopAt
	for _, t := range d.txns {
		t.until = min(t.until, stopAt)
	}
	for i := range d.ends {
		p := d.ends[i].posting
		p.until = min(p.until, stopAt)
		d.ends[i].deadline = p.until
	}
	heap.Init(&d.ends)
	d.mod.Stops(stopAt)
}

// pull carries out the module's decisions until there are none left. Events that come of that, such as a failed
// write, are reported to the module in between. Calls from within return at once.
func (d *drive) pull() {
	if d.pulling {
		return
	}
	d.pulling = true
	now := d.s.now()
	d.timeOutPostings(now)
	if now >= d.nextSweepAt {
		d.nextSweepAt = now + sweepIntervalMs
		d.s.clients.sweep(now)
		d.s.pool.sweep(now)
		d.s.ops.sweep(now)
		d.s.handover.sweep(now)
		d.s.metrics.sweep(now)
	}
	d.s.roster.sweep(now)
	for d.executeNextDecision(now) {
		now = d.s.now()
	}
	d.s.settle(now)
	d.pulling = false
	d.armTimer(now)
}

// executeNextDecision carries out one decision of the module, and tells whether there was one. Final answers come
// first, then cancellations, postings, probes, messages to peers, and a new watch of discovery's list.
func (d *drive) executeNextDecision(now float64) bool {
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
			d.dropUnsent(t)
			d.forget(t)
		}
		return true
	}
	if c, ok := d.mod.NextCancel(now); ok {
		if t := d.txns[c.Ref]; t != nil && c.Posting < len(t.posts) {
			d.endPosting(t.posts[c.Posting], balance.Cancelled)
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
		d.s.peers.broadcast(body)
		return true
	}
	if d.mod.NextWatch(now) {
		d.s.roster.startWatch()
		return true
	}
	return false
}

// post begins a posting, and sends it to its worker.
func (d *drive) post(now float64, t *txn, p balance.Post) {
	attempt := &posting{t: t, no: len(t.posts), until: t.until, by: p.By}
	if p.Timeout > 0 {
		attempt.until = min(attempt.until, now+p.Timeout)
	}
	t.posts = append(t.posts, attempt)
	t.out++
	heap.Push(&d.ends, ending{attempt.until, attempt})
	d.s.pool.post(attempt, p.Worker)
}

// endPosting gives up a posting, with the given outcome if its request was written whole. If not, it cannot have run.
func (d *drive) endPosting(p *posting, outcome balance.Outcome) {
	if p.conn == nil {
		return
	}
	if !p.conn.abandonPosting() {
		outcome = balance.NeverSent
	}
	d.postingEnded(p, outcome, balance.NoLoad, "")
}

// ending is a posting's deadline, for the heap of deadlines.
type ending struct {
	deadline float64
	posting  *posting
}

// deadlineHeap is a heap (container/heap) with the earliest deadline first.
type deadlineHeap []ending

func (e deadlineHeap) Len() int           { return len(e) }
func (e deadlineHeap) Less(i, j int) bool { return e[i].deadline < e[j].deadline }
func (e deadlineHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *deadlineHeap) Push(x any)        { *e = append(*e, x.(ending)) }

func (e *deadlineHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = ending{}
	*e = (*e)[:last]
	return x
}

// removeEndedPostings removes ended postings from the heap of deadlines: those at the top, and all of them where they
// make up more than half of it. Otherwise each would stay, and hold its txn's body, until its deadline, which may be
// minutes away.
func (d *drive) removeEndedPostings() {
	for len(d.ends) > 0 && d.ends[0].posting.conn == nil {
		heap.Pop(&d.ends)
	}
	if d.ended > len(d.ends)/2 && d.ended > 64 {
		d.ends = slices.DeleteFunc(d.ends, func(e ending) bool { return e.posting.conn == nil })
		heap.Init(&d.ends)
		d.ended = 0
	}
}

// timeOutPostings ends the postings whose deadlines have passed.
func (d *drive) timeOutPostings(now float64) {
	for d.removeEndedPostings(); len(d.ends) > 0 && now >= d.ends[0].deadline; d.removeEndedPostings() {
		d.endPosting(d.ends[0].posting, balance.TimedOut)
	}
}

// armTimer sets the one timer of the drive for whatever is due first: the module's next wake-up, the next sweep, the
// roster, the handover or a posting's deadline.
func (d *drive) armTimer(now float64) {
	at := min(d.mod.Wake(now), d.nextSweepAt, d.s.roster.wake(), d.s.handover.wake())
	if d.removeEndedPostings(); len(d.ends) > 0 {
		at = min(at, d.ends[0].deadline)
	}
	d.timer.Stop()
	d.timer = d.s.loop.After(time.Duration(math.Ceil(max(at-now, 0)*float64(time.Millisecond))), d.s.pull)
}
