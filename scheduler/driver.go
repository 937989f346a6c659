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
	ref          string // its Request-Id
	request      clientRequest
	client       *client    // nil once the client has left, or another process has the txn
	deadline     float64    // when it must be answered: the client's deadline, or this process's stop if sooner
	postings     []*posting // all its postings, by number
	openPostings int        // postings that have not ended
	closed       bool       // answered, or its client has left
	clientLeft   bool       // its client has left before the answer
	mayHaveRun   bool       // a posting that has ended may have run
	transferred  bool       // another process has the txn
}

// posting is one attempt of a txn at a worker, as the module decided it.
type posting struct {
	txn      *txn
	number   int         // its index in the txn's postings
	conn     *workerConn // nil once it has ended
	deadline float64     // when it times out and is given up
	sendBy   float64     // not sent after this time
}

// driver holds the module (package balance), reports events to it and carries out its decisions.
type driver struct {
	s                 *Scheduler
	module            *balance.Scheduler
	txns              map[string]*txn  // by Request-Id
	deadlines         deadlineHeap     // the postings' deadlines; some of the postings may have ended
	executing         bool             // executeDecisions is running
	turnIteration     uint64           // iteration of the event loop in which decisions were last carried out
	turnEndsAt        float64          // until when they are in that iteration
	timer             *eventloop.Timer // calls Scheduler.afterEvent; see armTimer
	endedSinceCleanup int              // postings that have ended since all ended ones were last removed from deadlines
	stopAt            float64          // when this process stops; +Inf while that is not known
	nextSweepAt       float64          // when connections are next checked for their time limits
	txnCounts         txnCounts        // final answers, counted by outcome
}

// maxTurnMs is how long decisions are carried out in one iteration of the event loop, in ms.
const maxTurnMs = 5.0

// sweepIntervalMs is how often idle and slow connections are looked for. Their time limits are seconds.
const sweepIntervalMs = 100.0

func (d *driver) init(s *Scheduler, module *balance.Scheduler) {
	*d = driver{s: s, module: module, txns: map[string]*txn{}, stopAt: math.Inf(1)}
}

// addTxn begins a txn for a request that has arrived whole.
func (d *driver) addTxn(client *client, req clientRequest) *txn {
	now := d.s.now()
	t := &txn{ref: req.txn.Ref, request: req, client: client, deadline: min(now+req.txn.TimeLeftMs, d.stopAt)}
	d.txns[t.ref] = t
	d.module.Arrived(now, req.txn)
	return t
}

// close marks the txn as closed. It is sent to no further worker, so its body is dropped, though postings may run on for long.
func (t *txn) close() { t.closed, t.request.body = true, nil }

// clientGone tells the module that a client closed its connection before its txn was answered.
func (d *driver) clientGone(t *txn) {
	t.client = nil
	if !t.closed {
		t.clientLeft = true
		t.close()
		d.module.TxnClosed(d.s.now(), t.ref)
		d.dropUnsent(t)
		d.deleteIfFinished(t)
	}
}

// dropUnsent gives up the postings of a closed txn whose requests are not written whole: if they were still
// written, workers would run them for no client. They cannot have run, so this needs no permission to cancel
// postings.
func (d *driver) dropUnsent(t *txn) {
	for _, p := range t.postings {
		if p.conn != nil && p.conn.hasUnsentBytes() {
			d.endPosting(p, balance.NeverSent)
		}
	}
}

// deleteIfFinished deletes a txn that is closed and has no open postings.
func (d *driver) deleteIfFinished(t *txn) {
	if t.closed && t.openPostings == 0 && d.txns[t.ref] == t {
		delete(d.txns, t.ref)
		d.s.requestIDs.ended(t)
	}
}

// started tells the module that a worker has begun a posting.
func (d *driver) started(p *posting) { d.module.Started(d.s.now(), p.txn.ref, p.number) }

// postingEnded tells the module how a posting ended. The first result settles the txn.
func (d *driver) postingEnded(p *posting, outcome balance.Outcome, load balance.Load, result string) {
	p.conn = nil
	d.endedSinceCleanup++
	d.s.metrics.attempts[outcome]++
	t := p.txn
	t.openPostings--
	t.mayHaveRun = t.mayHaveRun || !outcome.NeverRan()
	if outcome == balance.Done && !t.closed {
		t.close()
		d.txnCounts.Settled++
		t.client.answer(200, result, -1)
	}
	d.module.Ended(d.s.now(), t.ref, p.number, outcome, t.closed, load)
	if outcome == balance.Done {
		d.dropUnsent(t)
	}
	d.deleteIfFinished(t)
}

// capDeadlines moves all deadlines that are later than stopAt, when this process stops, to that time.
func (d *driver) capDeadlines(stopAt float64) {
	d.stopAt = stopAt
	for _, t := range d.txns {
		t.deadline = min(t.deadline, stopAt)
	}
	for i := range d.deadlines {
		p := d.deadlines[i].posting
		p.deadline = min(p.deadline, stopAt)
		d.deadlines[i].deadline = p.deadline
	}
	heap.Init(&d.deadlines)
	d.module.StopAt(stopAt)
}

// executeDecisions carries out the module's decisions until there are none left, or for maxTurnMs in one iteration of the event loop:
// an answer may let the next of many waiting requests be read, which leads to further decisions, and other connections have to be read
// meanwhile. Events that this causes, such as a failed write, are reported to the module in between. A nested call, from the handling of
// such an event, returns at once.
func (d *driver) executeDecisions() {
	if d.executing {
		return
	}
	d.executing = true
	now := d.s.now()
	d.timeOutPostings(now)
	if now >= d.nextSweepAt {
		d.nextSweepAt = now + sweepIntervalMs
		d.s.clients.sweep(now)
		d.s.pool.sweep(now)
		d.s.ops.sweep(now)
		d.s.handover.sweep(now)
		d.s.metrics.sweep(now)
		d.s.requestIDs.sweep(now)
	}
	d.s.roster.sweep(now)
	pending := true
	for pending && now < d.turnEnd(now) {
		pending = d.executeNextDecision(now)
		now = d.s.now()
	}
	d.s.stopIfDrained(now)
	d.executing = false
	d.armTimer(now, pending)
}

// turnEnd returns until when decisions are carried out in this iteration of the event loop.
func (d *driver) turnEnd(now float64) float64 {
	if iteration := d.s.loop.Iteration(); iteration != d.turnIteration {
		d.turnIteration, d.turnEndsAt = iteration, now+maxTurnMs
	}
	return d.turnEndsAt
}

// executeNextDecision carries out one decision of the module, and tells whether there was one. Final answers come
// first, then cancellations, postings, probes, messages to peers, and a new watch of discovery's list.
func (d *driver) executeNextDecision(now float64) bool {
	if f, ok := d.module.NextFinal(now); ok {
		if t := d.txns[f.Ref]; t != nil && !t.closed {
			t.close()
			d.dropUnsent(t)
			d.deleteIfFinished(t) // before the answer: an id that is free again may come at once, also to another process
			if f.Declined {
				d.txnCounts.Declined++
				t.client.answer(503, "declined\n", f.StayAwayMs)
			} else {
				d.txnCounts.Reversed++
				t.client.answer(502, "reversed\n", -1)
			}
		}
		return true
	}
	if c, ok := d.module.NextCancel(now); ok {
		if t := d.txns[c.Ref]; t != nil && c.Posting < len(t.postings) {
			d.endPosting(t.postings[c.Posting], balance.Cancelled)
		}
		return true
	}
	if p, ok := d.module.NextPosting(now); ok {
		if t := d.txns[p.Ref]; t != nil {
			d.post(now, t, p)
		}
		return true
	}
	if id, ok := d.module.NextProbe(now); ok {
		d.s.pool.probe(id)
		return true
	}
	if body, ok := d.module.NextMessage(now); ok {
		d.s.peers.broadcast(body)
		return true
	}
	if d.module.NextWatch(now) {
		d.s.roster.startWatch()
		return true
	}
	return false
}

// post begins a posting, and sends it to its worker.
func (d *driver) post(now float64, t *txn, p balance.Post) {
	attempt := &posting{txn: t, number: len(t.postings), deadline: t.deadline, sendBy: p.LatestSendAt}
	if p.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+p.Timeout)
	}
	t.postings = append(t.postings, attempt)
	t.openPostings++
	heap.Push(&d.deadlines, postingDeadline{attempt.deadline, attempt})
	d.s.pool.post(attempt, p.Worker)
}

// endPosting gives up a posting, with the given outcome if its request was written whole. If not, it cannot have run.
func (d *driver) endPosting(p *posting, outcome balance.Outcome) {
	if p.conn == nil {
		return
	}
	if !p.conn.abandonPosting() {
		outcome = balance.NeverSent
	}
	d.postingEnded(p, outcome, balance.NoLoad, "")
}

// postingDeadline is an entry of the heap of deadlines. Its deadline is that of its posting, in milliseconds.
type postingDeadline struct {
	deadline float64
	posting  *posting
}

// deadlineHeap is a heap (container/heap) with the earliest deadline first.
type deadlineHeap []postingDeadline

func (e deadlineHeap) Len() int           { return len(e) }
func (e deadlineHeap) Less(i, j int) bool { return e[i].deadline < e[j].deadline }
func (e deadlineHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *deadlineHeap) Push(x any)        { *e = append(*e, x.(postingDeadline)) }

func (e *deadlineHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = postingDeadline{}
	*e = (*e)[:last]
	return x
}

// removeEndedPostings removes ended postings from the heap of deadlines: those at the top, and all of them where they
// make up more than half of it. Otherwise each would stay, and hold its txn's body, until its deadline, which may be
// minutes away.
func (d *driver) removeEndedPostings() {
	for len(d.deadlines) > 0 && d.deadlines[0].posting.conn == nil {
		heap.Pop(&d.deadlines)
	}
	if d.endedSinceCleanup > len(d.deadlines)/2 && d.endedSinceCleanup > 64 {
		d.deadlines = slices.DeleteFunc(d.deadlines, func(e postingDeadline) bool { return e.posting.conn == nil })
		heap.Init(&d.deadlines)
		d.endedSinceCleanup = 0
	}
}

// timeOutPostings ends the postings whose deadlines have passed.
func (d *driver) timeOutPostings(now float64) {
	for d.removeEndedPostings(); len(d.deadlines) > 0 && now >= d.deadlines[0].deadline; d.removeEndedPostings() {
		d.endPosting(d.deadlines[0].posting, balance.TimedOut)
	}
}

// armTimer sets the driver's only timer to the earliest of: the module's next wake-up, the next sweep, the wake-ups of
// the roster and the handover, and the first deadline of a posting; and to now if decisions are pending.
func (d *driver) armTimer(now float64, pending bool) {
	wakeAt := min(d.module.Wake(now), d.nextSweepAt, d.s.roster.nextWake(), d.s.handover.nextWake())
	if d.removeEndedPostings(); len(d.deadlines) > 0 {
		wakeAt = min(wakeAt, d.deadlines[0].deadline)
	}
	if pending {
		wakeAt = now
	}
	d.timer.Stop()
	d.timer = d.s.loop.After(time.Duration(math.Ceil(max(wakeAt-now, 0)*float64(time.Millisecond))), d.s.afterEvent)
}
