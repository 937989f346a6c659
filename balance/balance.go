package balance

// A Scheduler makes the decisions of one scheduler process; it has no I/O and no clock. Its caller reports
// events (Arrived, Started, Ended, TxnClosed, ListChanged, WatchAnswered, SetListValidUntil, Probed,
// MessageReceived, StopAt), which only update state. It then polls for decisions, one per call, until there are
// none (NextFinal, NextCancel, NextPosting, NextProbe, NextMessage, NextWatch), and polls again at Wake. The types
// of this interface are in types.go; the code that only updates state is in state.go, membership.go and peers.go.
//
// The ordinary path is ADUS: rerank sorts the workers by load, band divides txns by cost into bands of equal
// work, and pickWorker sends a txn to the worker at its band's rank. The worker list is applied as discovery
// sends it; where discovery has to be asked for it, NextWatch says when. Six mechanisms are added to ADUS. Some
// of them work differently with many schedulers (see manySchedulers):
//  1. Free slots: where a ranked worker is believed full, the txn goes to the next rank; if no worker has a
//     free slot it is queued here.
//  2. Key affinity: a txn that needs a key is banded among the few workers that cache the key.
//  3. Ejection: a worker that fails or stops responding gets no postings until a cheap trial succeeds.
//  4. Slow start: each scheduler keeps to its quota of what a starting worker may be sent, see package
//     slowstart.
//  5. Retries and hedges: a posting that never ran is retried; one that may have run, or waits unstarted, is
//     repeated as its scheme allows. Both are counted as extra postings and limited by a retry budget.
//  6. Overload: detected by the age of the oldest queued txn. The queue is then ordered by expected gain, and
//     txns that would be late are declined or have their postings cancelled.
//
// All decisions keep four rules, to which comments refer by number:
//  1. Each txn gets exactly one final answer, by its expiry at the latest.
//  2. A txn that may have run is posted again, or declined, only where its scheme makes a second run harmless.
//  3. Txns are posted only to workers that the list shows as running.
//  4. All schedulers together keep to the budget of a worker in slow start.

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"sort"

	"shalebeam/balance/slowstart"
)

const (
	// bins of the cost histogram for each doubling of the cost: a band's edge is off by at most a fifth of a
	// cost
	binsPerDoubling = 4
	numBins         = 160 // spans 40 doublings, more than any two txns differ by
	// costs in the histogram: enough that each of the few heavy costs does not move the band edges
	recentCostCount = 500
	// with fewer costs the distribution of work is unknown; a third is enough with many schedulers, where costs
	// come slowly
	minCostsForBands = 30
	// ADUS's C: loads change with each completed txn here, and sorting a few workers is cheap
	rerankMinCompletions = 3
	// large fleets are ranked once per (workers / 128) completions, which leaves the ranking equally fresh
	rerankFleetDivisor = 128
	rerankIntervalMs   = 1000.0 // about the greatest age of a load report
	affinityWorkers    = 3      // workers that a key is cached on, see pickByKey
	// ranks tried after the band's own for a worker surely free: in larger fleets one is near
	maxRanksSearched = 30
	// a message is due this often times the number of peers: a few messages per txn at most, as a txn runs far
	// longer
	messageIntervalPerPeerMs = 33.0
	// short, as clients send in bursts, but long enough for a dozen txns of most tenants
	tenantWindowMs = 4000.0
	// first ejection, doubled with each further failure: a restart takes seconds, a transient fault less
	ejectionBaseMs = 500.0
	// first backoff of a watch, doubled with each failure; kept well below watch.StalenessBoundMs, after which a list
	// change counts as known
	watchBackoffBaseMs   = 250.0
	watchCallGapMs       = 100.0  // between the first watch calls of two schedulers that start together
	watchAnswerTimeoutMs = 2000.0 // discovery turns away a call that has waited longer than this for its answer
	// each scheduler then sees a fifth of the work at most, about one txn per worker
	manySchedulersFrom = 5
	// with many schedulers a worker is taken to warm up this many times as fast as the slowest rate allowed
	earlyWarmFactor = 2.0
	minRunSamples   = 3     // samples needed before they are used to estimate a worker's capacity
	defaultWorkMs   = 100.0 // assumed work of a request before any is known
	// enough that one heavy txn is a small part, few enough to follow the load over the day
	recentSettledCount = 50
	maxMessageBytes    = 255 // of a peer message; a whole number of 3-byte entries
	// a report prevents one of this many failures: most failures are chance, and most txns settle elsewhere
	reportBenefitDivisor = 16
	// a longer round trip to other zones is ignored up to this fraction of a txn's work
	crossZoneDivisor = 50
	settledFlag      = 0x80 // bit in a scheme failure entry: the scheme has since settled at that worker
)

// Scheduler holds the state of one scheduler. All times are float64 milliseconds; fields ending in At are times
// of the caller's clock.
type Scheduler struct {
	terms *Terms // as last set; a txn keeps those it arrived under
	// checksum state after the seed, with which each random number starts
	seedChecksum  uint32
	randomDraws   uint32  // random numbers drawn so far
	firstListAt   float64 // when the first worker list came; below 0: not yet
	stopAt        float64 // when this scheduler process ends
	slowStartFrom float64 // earliest time to send to workers in slow start
	// another process of this scheduler leads: it messages peers and sends to workers in slow start
	yielded      bool
	leadingSince float64 // when this process last took the lead from another one
	// times of txn arrivals within the retry budget's window
	arrivals      []float64
	extraPostings []float64 // times of retries and hedges within the same window
	// open txns, and closed ones with postings in flight, by reference
	txns map[string]*txn
	// open txns that wait for a posting: none is in flight, or the one in flight is in doubt
	queue   txnQueue
	indexes [numTxnIndexes]txnIndex // of queued txns, and of those with unstarted postings
	// txns with superfluous postings in flight: the txn is closed, or one of several postings has started
	cancelCandidates []*txn
	// postings in flight that have not started, in the order in which they were made
	unstarted []*posting
	// the workers of the list, and others with postings in flight
	workersByID map[string]*worker
	// by worker ID, what workers that were forgotten within the slow-start window were sent while in slow start
	formerSendLogs map[string]slowstart.SendLog
	// operators' withdrawals of workers, present and past, by worker ID
	withdrawals map[string]*withdrawal
	// the workers that discovery's list names, in its order
	list []*worker
	// index 0 ranks all workers; one more for each set of zones and kinds that a scheme is bound to
	rankings []*ranking
	// workers whose load may have changed since the last ranking
	dirty []*worker
	// workers that may be in slow start, in the list's order
	slowStartCandidates []*worker
	unhealthy           []*worker // workers that failed lately
	// when workers were observed to be full, in time order
	fullEvents []fullEvent
	// work in the histogram's bins below each bin, at the last ranking
	workBelow [numBins + 1]float64
	// histogram bins of the last costs, a ring buffer
	recentCosts []uint8
	oldestCost  int          // index in recentCosts of the oldest one
	binCounts   [numBins]int // recent costs in each bin
	costSum     float64      // sum of the recent costs
	// mean cost and share of hinted and unhinted txns
	workStats   slowstart.WorkEstimator
	recentKeys  []uint32       // hashes of the keys of the last keyed txns
	keyCounts   map[uint32]int // how often each hash is in recentKeys
	completions int            // txns settled since the last ranking
	rankedAt    float64        // when the last ranking was made
	// highest weight seen, by kind; used where weights are lowered by load
	maxWeights      map[int]float64
	rankingStale    bool        // the list changed since the last ranking
	recentSettled   []timedWork // work of the last txns settled
	heaviestSettled float64     // the most work among recentSettled
	runTimes        samples     // run times of hinted txns
	// worker where a posting of this scheduler last settled
	lastFreed   *worker
	lastFreedAt float64 // when that posting settled
	// workers in slow start for which this scheduler has a quota
	quotaWorkers []*worker
	// number of workers that the list shows as running
	runningWorkers    int
	capacityEstimates map[workerSize]float64      // see capacityOf; cleared at each ranking
	capacity          slowstart.CapacityEstimator // what warm workers settle, by kind
	// summed sizes of all warm workers, by kind, at the last ranking
	warmSizes map[int]float64
	// by ranking, the least cost that no worker accepts in the current decision
	unplaceableCosts map[*ranking]float64
	// number of the first random draw of the last ranking
	tieSeed              uint32
	sameZoneRoundTripMs  float64 // round trip to a worker of the own zone; 0: not known yet
	crossZoneRoundTripMs float64 // round trip to a worker of another zone; 0: not known yet
	startDelays          samples // times from posting to start
	shortestSLAMs        float64 // shortest SLA time of any scheme
	maxGain              float64 // highest gain that a txn of any scheme can have
	// longest time to expiry that a txn came with, by scheme
	longestLeftMs []float64
	tenants       []tenant // recent arrivals of each tenant, for its quota
	// calls of NextPosting that looked for a worker so far
	postingDecisions int
	// scheme failures and recoveries still to be sent to peers (many schedulers only)
	pendingReports      []schemeReport
	lastHashSent        uint16          // see inFlightMessage
	inFlightChanges     int             // postings made or ended so far
	inFlightChangesSent int             // inFlightChanges when peers were last sent a message
	lastMessageAt       float64         // when peers were last sent a message
	peerHeardAt         map[int]float64 // when each peer was last heard
	listValidUntil      float64         // see SetListValidUntil
	watchPending        bool            // a list request is in progress
	nextWatchAt         float64         // when the list is to be requested next
	watchFailures       int             // failed list requests in a row, at most 4
}

// New returns a scheduler that knows only its terms.
func New(terms Terms) *Scheduler {
	s := &Scheduler{txns: map[string]*txn{}, workersByID: map[string]*worker{},
		firstListAt: -1, leadingSince: math.Inf(-1), stopAt: math.Inf(1), listValidUntil: math.Inf(1),
		formerSendLogs: map[string]slowstart.SendLog{}, withdrawals: map[string]*withdrawal{}, keyCounts: map[uint32]int{},
		capacityEstimates: map[workerSize]float64{}, warmSizes: map[int]float64{},
		unplaceableCosts: map[*ranking]float64{}, maxWeights: map[int]float64{}, peerHeardAt: map[int]float64{},
	}
	for i := range s.indexes {
		s.indexes[i].number = txnIndexNumber(i)
	}
	s.seedChecksum = ^crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(nil, terms.Seed))
	s.rankingFor(&SchemeRow{})
	s.Retune(terms)
	return s
}

// Retune replaces the terms. Open txns keep the terms they arrived under, and learned state is kept. The
// scheduler's own number, its peers, zones and kinds, and what workers report must stay the same.
func (s *Scheduler) Retune(terms Terms) {
	old, oldLongestLeftMs := s.terms, s.longestLeftMs
	s.terms, s.shortestSLAMs, s.maxGain, s.longestLeftMs = &terms, math.Inf(1), 0, make([]float64, len(terms.Schemes))
	if len(terms.Quota) != len(s.tenants) {
		s.tenants = make([]tenant, len(terms.Quota))
	}
	for i, row := range terms.Schemes {
		s.shortestSLAMs = min(s.shortestSLAMs, row.SLA)
		s.maxGain = max(s.maxGain, row.Gain, row.Gain*terms.OverQuotaGainFactor)
		for k := range oldLongestLeftMs {
			if old.Schemes[k].Name == row.Name {
				s.longestLeftMs[i] = min(oldLongestLeftMs[k], row.Expiry)
			}
		}
		s.rankingFor(&row)
	}
	s.rankingStale = true
}

// ---- state ----

// WatchAnswered reports that the previous list request was answered, or that it failed.
func (s *Scheduler) WatchAnswered(now float64, ok bool) {
	if s.watchPending = ok; ok {
		s.watchFailures = 0
		return
	}
	// If all schedulers call again at once, a discovery service that turns calls away stays overloaded. Whatever
	// breaks one watch breaks all of them, so after the first failure each scheduler calls in its turn; after
	// further failures the time is random.
	s.watchFailures = min(s.watchFailures+1, 4)
	waitMs, fraction := watchBackoffBaseMs*float64(int(1)<<s.watchFailures)*1.5, (1+float64(s.nextRandom()%1024)/1024)/2
	// Once the list has become invalid, all work waits for this call.
	waitMs = max(min(waitMs, max(s.listValidUntil-now, 6*watchBackoffBaseMs)), s.watchSpreadMs())
	if listValidMs := s.listValidUntil - now - watchAnswerTimeoutMs; listValidMs > 0 {
		// While the list is still valid, an answer in time avoids that wait. The first call may fail, so time is
		// left for a second one.
		if waitMs = min(waitMs, listValidMs); s.watchFailures == 1 {
			if fraction = s.turnFraction(); listValidMs > watchAnswerTimeoutMs {
				waitMs = min(waitMs, listValidMs-watchAnswerTimeoutMs)
			}
		}
	}
	s.nextWatchAt = now + waitMs*fraction
}

// watchSpreadMs returns the time over which all schedulers spread their calls to discovery so that each one
// calls in time and is answered while the list is still valid. Discovery still processes calls whose callers
// have timed out in its queue: when all schedulers called at once after a restart, those at the end of the queue
// timed out and called again, and most schedulers had no list for as long as that went on.
func (s *Scheduler) watchSpreadMs() float64 {
	return min(watchCallGapMs*float64(s.terms.Schedulers-1), 0.8*s.terms.ListPollIntervalMs)
}

// turnFraction returns this scheduler's position in the order of all schedulers, in [0, 1).
func (s *Scheduler) turnFraction() float64 {
	return float64(s.terms.Index) / float64(max(s.terms.Schedulers, 1))
}

// Arrived adds a new txn, which from now on is owed exactly one final answer.
func (s *Scheduler) Arrived(now float64, x Txn) {
	t := &txn{Txn: x, terms: s.terms, arrivedAt: now, expiresAt: now + x.TimeLeftMs, keyHash: crc32.ChecksumIEEE([]byte(x.Key))}
	s.workStats.AddArrival(x.Hint > 0)
	if x.Hint > 0 {
		t.cost = x.Hint * max(x.Slots, 1)
		s.recordCost(t.cost)
	} else {
		t.cost = s.medianCost()
	}
	// A client's retry has already used up part of its SLA time. How much is the difference between the time
	// left to its expiry and the longest such time that a txn of its scheme came with.
	s.longestLeftMs[x.Scheme] = max(s.longestLeftMs[x.Scheme], x.TimeLeftMs)
	row := t.schemeRow()
	t.slaAt = now + x.TimeLeftMs - s.longestLeftMs[x.Scheme] + row.SLA + row.Stretch*t.expectedRunMs()
	t.slaAt, t.expiresAt = min(t.slaAt, s.stopAt), min(t.expiresAt, s.stopAt)
	if x.Tenant < len(s.tenants) && s.terms.Quota[x.Tenant] > 0 {
		t.overQuota = s.tenants[x.Tenant].overQuota(now, s.terms.Quota[x.Tenant]/float64(max(s.terms.Schedulers, 1)), x.Repeat)
	}
	if x.Key != "" {
		s.recordKey(t.keyHash)
	}
	s.txns[x.Ref] = t
	s.arrivals = append(s.arrivals, now)
	s.dropBeforeBudgetWindow(now)
	s.enqueue(t)
}

// overQuota reports whether an arrival exceeds its tenant's quota (txns per second), judged by the arrivals
// within the quota in the last tenantWindowMs. A repeat uses none of the quota: its first try has done so, and
// under overload declined txns come back as repeats.
func (n *tenant) overQuota(now, quota float64, repeat bool) bool {
	n.arrivals = slices.DeleteFunc(n.arrivals, func(at float64) bool { return at < now-tenantWindowMs })
	if float64(len(n.arrivals)) >= quota*tenantWindowMs/1000 {
		return true
	}
	if !repeat {
		n.arrivals = append(n.arrivals, now)
	}
	return false
}

// expectedRunMs returns how long the txn is expected to run, in ms.
func (t *txn) expectedRunMs() float64 { return t.cost / max(t.Slots, 1) }

// Started reports that a posting has begun to run.
func (s *Scheduler) Started(now float64, ref string, number int) {
	p := s.posting(ref, number)
	if p == nil || p.ended || p.started {
		return
	}
	startedLate := now-p.postedAt > s.promptStartMs(p.worker)
	p.started, p.startedAt, p.worker.lastHeardAt, p.worker.lastStartedPostedAt =
		true, now, now, max(p.worker.lastStartedPostedAt, p.postedAt)
	s.removeUnstarted(p)
	if p.txn.inFlight > 1 {
		s.cancelCandidates = append(s.cancelCandidates, p.txn)
	}
	p.worker.startDelays.add(now - p.postedAt)
	s.startDelays.add(now - p.postedAt)
	p.worker.maxRunning = max(p.worker.maxRunning, len(p.worker.inFlight)-p.worker.unstarted)
	p.worker.connectionFailures, p.worker.ejectedUntil = 0, 0
	if startedLate {
		// This posting took the slot that came free, so the worker is as full as before.
		s.recordFull(now, p.worker)
	}
}

// Ended reports how a posting ended, and whether its txn is closed.
func (s *Scheduler) Ended(now float64, ref string, number int, outcome Outcome, closed bool, load Load) {
	p := s.posting(ref, number)
	if p == nil || p.ended {
		return
	}
	t, w := p.txn, p.worker
	if i := slices.Index(s.extraPostings, p.postedAt); outcome == NeverSent && p.number > 0 && i >= 0 {
		// a posting never sent does not count against the retry budget
		s.extraPostings = slices.Delete(s.extraPostings, i, i+1)
	}
	p.ended = true
	s.removeUnstarted(p)
	s.inFlightChanges++
	w.lastEndedAt = now
	w.inFlight = slices.DeleteFunc(w.inFlight, func(q *posting) bool { return q == p })
	s.markDirty(w)
	if !w.inList && len(w.inFlight) == 0 && s.workersByID[w.ID] == w {
		s.forgetWorker(now, w)
	}
	t.inFlight--
	s.recordLoad(w, load)
	// Where all postings at the worker are known, one that did not start although slots were free was on a
	// connection that went silent.
	waitedForSlot := !p.started && now-p.postedAt > s.promptStartMs(w) &&
		(!s.knowsAllInFlight() || w.knownInFlight() >= w.maxRunning)
	if outcome == Full || outcome == Cancelled && waitedForSlot {
		s.recordFull(now, w)
	}
	if outcome == Full {
		s.recordRoundTrip(now, p)
	}
	switch outcome {
	case Done:
		s.completions++
		work := t.cost
		if t.Hint <= 0 && p.started {
			work = (now - p.startedAt) * max(t.Slots, 1)
			s.workStats.AddSettledUnhinted(work)
		}
		if s.recentSettled = append(s.recentSettled, timedWork{now, work}); len(s.recentSettled) > recentSettledCount {
			s.recentSettled = s.recentSettled[1:]
		}
		if !s.inSlowStart(now, w) {
			s.capacity.AddSettled(now, w.Kind, work)
		}
		byWork := func(a, b timedWork) int { return cmp.Compare(a.work, b.work) }
		s.heaviestSettled = slices.MaxFunc(s.recentSettled, byWork).work
		w.connectionFailures, w.ejectedUntil, w.badOutcomes, w.lastHeardAt = 0, 0, 0, now
		if v, failedBefore := w.failuresByScheme[t.schemeRow().Name]; failedBefore {
			delete(w.failuresByScheme, t.schemeRow().Name)
			// peers eject a worker for a scheme only from its second failure on, so a single one needs no
			// recovery report
			if v.count > 1 {
				s.queueReport(now, schemeReport{w, t.schemeRow().Name, true})
			}
		}
		s.lastFreed, s.lastFreedAt = w, now
		if p.started && t.Hint > 0 {
			s.runTimes.add(now - p.startedAt)
			pace := t.expectedRunMs() / max(now-p.startedAt, 1)
			w.totalConcurrency.add(float64(w.knownInFlight()+1) * pace)
			w.concurrencyLimit = concurrencyLimitFor(w.totalConcurrency.quantile(0.5, 0))
			w.ownConcurrency.add(float64(len(w.inFlight)-w.unstarted+1) * pace)
		}
		for _, q := range t.postings {
			if q.calledInvalid { // another worker settled the txn, so the verdict was that worker's fault
				s.recordSchemeFailure(now, q.worker, t.schemeRow().Name, true, true)
			}
		}
	case InvalidRequest:
		p.calledInvalid, t.calledInvalid = true, t.calledInvalid+1
	case NoConnect:
		s.recordConnectionFailure(now, w, p.postedAt)
	case TimedOut, Cancelled:
		s.checkUnanswered(now, p)
	case Reset:
		s.recordConnectionFailure(now, w, now)
		fallthrough
	case Failed:
		w.badOutcomes, w.badOutcomeEjectedUntil =
			w.badOutcomes+1, now+ejectionBaseMs*math.Exp2(float64(min(w.badOutcomes, 4)))
		s.recordSchemeFailure(now, w, t.schemeRow().Name, true, outcome == Failed)
		s.markUnhealthy(w)
	}
	p.mayHaveRun = !outcome.NeverRan() && outcome != Done
	t.mayHaveRun = t.mayHaveRun || p.mayHaveRun
	if closed {
		s.closeTxn(t)
	}
	if t.closed {
		if t.inFlight == 0 {
			delete(s.txns, ref)
		}
	} else if t.inFlight == 0 {
		if s.enqueue(t); !s.budgetAllows(now, t) && float64(len(s.extraPostings)) >= s.extraPostingsAllowed(now)/2 &&
			s.mayDecline(t) {
			// The client's own retry does not count as an extra posting, and is in time if it comes at once.
			// Queued until the budget allowed another posting, the txn was late and its client was told to stay
			// away.
			for i := range t.giveUpAt {
				t.giveUpAt[i] = min(t.giveUpAt[i], now)
			}
			s.indexGiveUpTimes(t)
		}
	}
}

// checkUnanswered records a scheme failure for a posting that its worker does not answer although it starts
// later postings or answers a probe. A long wait alone only shows that the worker is slow.
func (s *Scheduler) checkUnanswered(now float64, p *posting) {
	if !p.countedLost && (p.started && now-p.startedAt > 3*p.txn.expectedRunMs() ||
		!p.started && s.presumedLost(now, p) && (p.worker.lastStartedPostedAt > p.postedAt ||
			p.worker.reportedFree >= 1 && p.worker.probedAt > p.postedAt)) {
		p.countedLost = true
		s.recordSchemeFailure(now, p.worker, p.txn.schemeRow().Name, true, true)
	}
}

// recordSchemeFailure ejects a worker for one scheme: it may fail that scheme alone and settle all others. A
// failure reported by a peer (not observed here) ejects it only from the second failure in a row on. report says
// whether peers are to be told.
func (s *Scheduler) recordSchemeFailure(now float64, w *worker, scheme string, observed, report bool) {
	v := w.failuresByScheme[scheme]
	report = report && now >= v.ejectedUntil // a posting made before the ejection began tells peers nothing new
	if v.count++; observed || v.count > 1 {
		v.ejectedUntil = now + ejectionBaseMs*math.Exp2(float64(min(v.count, 4)))
	}
	if w.failuresByScheme == nil {
		w.failuresByScheme = map[string]schemeFailures{}
	}
	w.failuresByScheme[scheme] = v
	if s.markUnhealthy(w); report {
		s.queueReport(now, schemeReport{w, scheme, false})
	}
}

// reportPaysOff reports whether a failure report is worth its cost. All peers pay for a message, and the benefit
// is at most the txns of that scheme that the whole fleet sends to the worker meanwhile: when each of hundreds
// of schedulers with little work sent reports, they cost more than the failures.
func (s *Scheduler) reportPaysOff(now float64) bool {
	peers, benefit := float64(s.terms.Schedulers), 0.0
	if len(s.recentSettled) > 0 {
		avoided := float64(len(s.recentSettled)) / max(now-s.recentSettled[0].at, 1) * 4 * ejectionBaseMs * peers
		benefit = avoided / float64(max(s.runningWorkers, 1)*len(s.terms.Schemes)) / reportBenefitDivisor
	}
	return benefit >= s.terms.MessageCost*(peers-1)*3/256
}

// recordConnectionFailure ejects a worker after a failed or reset connection. since is when the posting or probe
// that could not connect was made (for a reset: now). If connecting failed only after a long wait, the worker's
// postings in flight are queued for a hedge: a cut link sends no reset, so those postings would never be
// answered. A refusal or a reset is an answer, after which hedges only used up capacity.
func (s *Scheduler) recordConnectionFailure(now float64, w *worker, since float64) {
	w.connectionFailures, w.ejectedUntil =
		w.connectionFailures+1, now+ejectionBaseMs*math.Exp2(float64(min(w.connectionFailures, 4)))
	s.markUnhealthy(w)
	for _, p := range w.inFlight {
		if now-since > s.promptStartMs(w) && p.txn.terms.Hedging && p.txn.inFlight == 1 && !p.txn.closed &&
			p.txn.schemeRow().Effect != OnceOnly {
			s.enqueue(p.txn)
		}
	}
}

// Probed reports the outcome of a probe.
func (s *Scheduler) Probed(now float64, id string, outcome Outcome, load Load) {
	w := s.workersByID[id]
	if w == nil {
		return
	}
	since := w.probedAt
	w.probePending, w.probedAt = false, now
	if outcome == Done {
		s.recordLoad(w, load)
		w.connectionFailures, w.ejectedUntil, w.lastHeardAt = 0, 0, now
	} else if w.connectionFailures > 0 || outcome == NoConnect || outcome == Reset {
		s.recordConnectionFailure(now, w, since) // a probe that only timed out may have waited at a busy worker
	}
}

// ---- the ordinary path: ADUS ----

// usesListedLoads reports whether the list's weights tell more about loads than this scheduler's own postings
// and their answers do.
func (s *Scheduler) usesListedLoads() bool { return s.terms.WeightShowsLoad && s.manySchedulers() }

// queueDelayMs returns how long, in ms, a new txn waits at a worker that holds this many txns per core.
func (s *Scheduler) queueDelayMs(txnsPerCore float64) float64 {
	return max(txnsPerCore-1, 0) * s.runTimes.quantile(0.5, 300)
}

// listedLoad returns how many txns per core a worker holds by its listed weight, which is some time old.
func (s *Scheduler) listedLoad(w *worker) float64 {
	return s.maxWeights[w.Kind]/max(w.Weight, 1e-3) - 1
}

// load returns the value by which workers are ranked: listed load, or reported free slots (negated) corrected by
// the postings made since, or known postings in flight.
func (s *Scheduler) load(w *worker) float64 {
	if s.usesListedLoads() {
		return s.listedLoad(w) // load reports in answers are far older here
	}
	if w.reportedFree >= 0 {
		return -(w.reportedFree + float64(w.inFlightAtReport-len(w.inFlight)))
	}
	return float64(w.knownInFlight())
}

// rerank moves the workers marked dirty since the last ranking to their new places.
func (s *Scheduler) rerank(now float64) {
	s.dropSilentPeers(now)
	s.quotaWorkers = s.quotaWorkers[:0]
	s.tieSeed, s.randomDraws = s.randomDraws, s.randomDraws+uint32(len(s.list))
	s.slowStartCandidates = slices.DeleteFunc(s.slowStartCandidates, func(w *worker) bool {
		// A worker in slow start is ranked only where this scheduler has a quota for it.
		stillStarting := s.inSlowStart(now, w) && w.inList
		if w.hasQuota = stillStarting && w.State == Running && s.slowStartQuota(now, w).AdmitsAny(); w.hasQuota {
			s.quotaWorkers = append(s.quotaWorkers, w)
		}
		s.markDirty(w)
		return !stillStarting
	})
	for _, w := range s.dirty {
		w.dirty = false
		ready := w.inList && w.State == Running && (w.hasQuota || !s.inSlowStart(now, w))
		load := s.load(w)
		if w.ranked && ready && load == w.rankLoad && w.rankZone == w.Zone && w.rankKind == w.Kind {
			continue
		}
		for _, r := range s.rankings {
			if w.ranked && w.groupIndexes[r.index] >= 0 {
				r.remove(w)
			}
		}
		if w.ranked = ready; ready {
			w.rankLoad, w.rankZone, w.rankKind = load, w.Zone, w.Kind
			for _, r := range s.rankings {
				s.addIfEligible(r, w)
			}
		}
	}
	s.dirty = s.dirty[:0]
	for _, r := range s.rankings {
		r.reset()
	}
	s.sumWorkBelow()
	clear(s.capacityEstimates)
	s.updateWarmSizes(now)
	s.completions, s.rankingStale, s.rankedAt = 0, false, now
}

// updateWarmSizes tells the capacity estimate the summed sizes of the warm workers of each kind.
func (s *Scheduler) updateWarmSizes(now float64) {
	for kind := range s.warmSizes {
		s.warmSizes[kind] = 0
	}
	for _, w := range s.list {
		if w.State == Running && !s.inSlowStart(now, w) {
			s.warmSizes[w.Kind] += s.relativeSize(w)
		}
	}
	for kind, size := range s.warmSizes {
		s.capacity.SetWarmSize(now, kind, size)
	}
}

// relativeSize returns a worker's size relative to others of its kind, as far as the list gives it.
func (s *Scheduler) relativeSize(w *worker) float64 {
	if s.terms.WeightShowsLoad {
		return 1 // here the weight tells how loaded the worker is, not its size
	}
	return max(w.Weight, 1e-3)
}

// band returns which of n bands of equal work a cost falls into, by the histogram at the last ranking. It
// interpolates within a bin; otherwise all txns of one cost would go to one band.
func (s *Scheduler) band(n int, cost float64) int {
	if s.workBelow[numBins] == 0 {
		s.sumWorkBelow()
	}
	position := min(max(math.Log2(max(cost, 1e-3))*binsPerDoubling+40, 0), numBins-0.01)
	bin := int(position)
	work := s.workBelow[bin] + (s.workBelow[bin+1]-s.workBelow[bin])*(position-float64(bin))
	return min(int(work/max(s.workBelow[numBins], 1)*float64(n)), n-1)
}

// sumWorkBelow recomputes the histogram's cumulative work, bin by bin.
func (s *Scheduler) sumWorkBelow() {
	for bin, count := range s.binCounts {
		s.workBelow[bin+1] = s.workBelow[bin] + float64(count)*binCosts[bin]
	}
}

// giveUpTime returns when a queued txn is given up. The time was computed when the txn was queued, except where
// it depends on the listed queues.
func (s *Scheduler) giveUpTime(t *txn, overloaded bool) float64 {
	if s.giveUpDependsOnQueues(t) {
		return s.computeGiveUpTime(t, overloaded)
	}
	return t.giveUpAt[giveUpIndex(overloaded)]
}

// giveUpDependsOnQueues reports whether a txn's give-up time depends on the queue lengths that the list shows.
func (s *Scheduler) giveUpDependsOnQueues(t *txn) bool {
	return s.usesListedLoads() && t.schemeRow().Effect == OnceOnly
}

// nextGiveUpAt returns when the next queued txn is given up.
func (s *Scheduler) nextGiveUpAt(overloaded bool) float64 {
	at := math.Inf(1)
	if s.usesListedLoads() {
		for _, t := range s.queue.slots {
			if t != nil && s.giveUpDependsOnQueues(t) {
				at = min(at, s.computeGiveUpTime(t, overloaded))
			}
		}
	}
	return min(at, s.indexes[giveUpIndex(overloaded)].earliest())
}

// tieBreak orders workers of equal load by the random number that belongs to this ranking and the worker's place
// in the list.
func (s *Scheduler) tieBreak(w *worker) uint32 { return s.randomAt(s.tieSeed + w.listIndex) }

// eachProbeCandidate calls f for each listed worker that may need a probe: those that failed lately, and those
// with a posting that has not started. It may call f for a worker more than once.
func (s *Scheduler) eachProbeCandidate(now float64, f func(w *worker)) {
	s.unhealthy = slices.DeleteFunc(s.unhealthy, func(w *worker) bool {
		w.unhealthy = w.inList && (w.connectionFailures > 0 || w.badOutcomes > 0 || len(w.failuresByScheme) > 0 ||
			now < max(w.ejectedUntil, w.badOutcomeEjectedUntil))
		return !w.unhealthy
	})
	if !s.terms.Probes {
		return
	}
	for _, w := range s.unhealthy {
		f(w)
	}
	for _, p := range s.unstarted {
		if p.worker.inList {
			f(p.worker)
		}
	}
}

// pickWorker returns the worker for a txn: the one at its band's rank, else one at the next ranks that has a
// free slot; nil if there is none.
func (s *Scheduler) pickWorker(now float64, t *txn) *worker {
	ranking := s.rankingFor(t.schemeRow())
	eligible := func(w *worker) bool { return w != nil && w.ranked && w.groupIndexes[ranking.index] >= 0 }
	// With many schedulers, few of this scheduler's txns fit its quota for a worker in slow start, and by rank
	// alone most of the quota would go unused.
	for _, w := range s.quotaWorkers {
		inTime := t.expectedRunMs() < s.slowStartLimits().CapacityShare(earlyWarmFactor*(now-w.Start))*(t.slaAt-now)
		if s.manySchedulers() && inTime && eligible(w) && s.mayPost(now, t, w) {
			return w
		}
	}
	if t.Key != "" {
		return s.pickByKey(now, t, ranking)
	}
	// With many schedulers the only slot that is surely free is the one that an own posting has just left.
	if w := s.lastFreed; s.manySchedulers() && now-s.lastFreedAt <= s.terms.Tick && eligible(w) && s.mayPost(now, t, w) {
		return w
	}
	// Until enough costs are known to divide them into bands, take the worker with the fewest own postings.
	if len(s.recentCosts) < minCostsForBands && (!s.manySchedulers() || len(s.recentCosts) < minCostsForBands/3) {
		var best *worker
		for i := range ranking.len() {
			w := ranking.workerAt(i)
			if (best == nil || len(w.inFlight) < len(best.inFlight)) && s.mayPost(now, t, w) {
				best = w
			}
		}
		return best
	}
	n := ranking.len()
	band := s.band(n, t.cost)
	// Prefer the own zone where crossing zones is expensive: a txn that is retried crosses each time, and for
	// others the crossing takes much of their time.
	anyZone := !s.manySchedulers() || len(t.postings) == 0 && (s.usesListedLoads() || s.sameZoneRoundTripMs == 0 ||
		s.crossZoneRoundTripMs-s.sameZoneRoundTripMs < s.medianCost()/crossZoneDivisor)
	var best *worker
	bestPreference := -1
	for i := 0; i < n && (best == nil || i < maxRanksSearched) && bestPreference < 2; i++ {
		w, preference := ranking.workerAt((band+i)%n), 0
		if s.belowFairShare(w) && (anyZone || w.Zone == s.terms.Zone) {
			preference = 1
			// a connection to a worker that was used lately is still open and costs nothing
			if !s.usesListedLoads() || s.terms.NewConnectionCost == 0 || now-w.lastEndedAt < s.terms.WorkerIdleTimeoutMs/2 {
				preference = 2
			}
		}
		if preference > bestPreference && s.mayPost(now, t, w) {
			best, bestPreference = w, preference
		}
	}
	return best
}

// ---- exceptions to the ordinary path ----

// pickByKey bands a txn that needs a key among the few workers that cache the key (its affinity workers), as a
// txn of a bound scheme is banded among the workers open to it. A worker without the key holds a slot idle while
// it fetches the key, and then evicts another key to store it. All schedulers pick the same affinity workers by
// rendezvous hashing; where none of these has a free slot the next one by hash is used, which then soon caches
// the key too.
func (s *Scheduler) pickByKey(now float64, t *txn, ranking *ranking) *worker {
	var candidates []rankEntry
	ranking.any(func(w *worker) bool {
		// An ejected worker, or one in slow start without quota left, would only keep the txns waiting.
		if !s.ejected(now, w) && s.slowStartAllows(now, t, w) {
			candidates = append(candidates, rankEntry{uint64(mixHashes(w.idHash, t.keyHash))<<32 | uint64(w.listIndex), w})
		}
		return false
	})
	// A popular key has additional affinity workers in proportion to its share of the work.
	keyCount := s.keyCounts[t.keyHash]
	if s.manySchedulers() {
		keyCount--
	}
	n := affinityWorkers - 1 + int(math.Ceil(float64(keyCount*len(candidates))/float64(max(len(s.recentKeys), 1))))
	if len(candidates) == 0 {
		return nil
	}
	n = min(n, len(candidates))
	selectLeast(candidates, n)
	slices.SortFunc(candidates[:n], func(x, y rankEntry) int {
		a, b := x.worker, y.worker
		return cmp.Or(cmp.Compare(a.rankLoad, b.rankLoad), cmp.Compare(s.tieBreak(a), s.tieBreak(b)),
			cmp.Compare(a.listIndex, b.listIndex))
	})
	band := s.band(n, t.cost)
	affinityOrder := append(slices.Clone(candidates[band:n]), candidates[:band]...)
	otherWorkers := func() []rankEntry { // a function, as the sort is rarely needed
		slices.SortFunc(candidates[n:], func(a, b rankEntry) int { return cmp.Compare(a.key, b.key) })
		return candidates[n:]
	}
	if s.usesListedLoads() && t.schemeRow().Effect == OnceOnly && !s.overloaded(now) {
		// A once-only txn can't leave a worker's queue, and fetching the key costs less than being cancelled
		// late.
		for _, e := range append(affinityOrder, otherWorkers()...) {
			if s.listedLoad(e.worker) < 1 && s.mayPost(now, t, e.worker) {
				return e.worker
			}
		}
	}
	for _, e := range affinityOrder {
		if s.mayPost(now, t, e.worker) {
			return e.worker
		}
	}
	if slackMs := s.slackMs(now, t); slackMs > (slackMs+now-t.arrivedAt)/8 {
		// wait longer: leaving the affinity workers sooner makes other workers evict keys, and the fetches use
		// up the fleet's capacity
		return nil
	}
	for _, e := range otherWorkers() {
		if s.mayPost(now, t, e.worker) {
			return e.worker
		}
	}
	return nil
}

// accepts reports whether a worker accepts any txn now. The result is kept for the current decision, as it is
// asked for each queued txn.
func (s *Scheduler) accepts(now float64, w *worker) bool {
	if w.acceptingDecision != s.postingDecisions {
		w.acceptingDecision = s.postingDecisions
		w.accepting = w.State == Running && w.inList && !s.ejected(now, w) && s.hasRoom(now, w)
	}
	return w.accepting
}

// ejected reports whether a worker that failed is still to be avoided. After a connection failure it is until a
// probe succeeds, since a txn would wait in vain for a connection; without probes, until ejectedUntil, when the
// next txn serves as the trial. A worker whose postings ended badly is avoided for a time only, as it answers
// probes too.
func (s *Scheduler) ejected(now float64, w *worker) bool {
	return w.connectionFailures > 0 && (s.terms.Probes || now < w.ejectedUntil) ||
		w.badOutcomes > 0 && now < w.badOutcomeEjectedUntil
}

// presumedLost reports whether a posting has not started within the start timeout although its worker has since
// started or settled others or answered a probe. It is then taken to be lost on its connection and no longer
// keeps other txns from the worker.
func (s *Scheduler) presumedLost(now float64, p *posting) bool {
	return now > p.postedAt+s.startTimeoutMs() && p.worker.lastHeardAt > p.postedAt
}

// startTimeoutMs returns how long, in ms, a posting may take to start before its worker is probed, as the
// posting may be lost on a cut link. It is far longer than recent postings took.
func (s *Scheduler) startTimeoutMs() float64 {
	return 3*s.startDelays.quantile(0.5, 100) + 2*s.runTimes.quantile(0.5, 300)
}

// manySchedulers reports whether there are so many schedulers that the own postings say next to nothing about a
// worker's queue. It is then best to try a worker for a slot, and another one if the posting does not start.
func (s *Scheduler) manySchedulers() bool { return s.terms.Schedulers >= manySchedulersFrom }

// hedgeAt returns when an unstarted posting is taken to wait in a queue, or on a silent connection, so that its
// txn may be posted to another worker too. Txns with a key are not hedged: the second worker fetched the key,
// evicting other keys, and some hedges ran although cancelled. With few schedulers it is known where slots are
// free and waits are mostly short, so the delay is longer.
func (s *Scheduler) hedgeAt(p *posting) float64 {
	if !s.terms.ReportsStart || !p.txn.terms.Hedging || !s.terms.Cancels || p.cancelled || p.txn.Key != "" ||
		p.txn.schemeRow().Effect == OnceOnly || len(p.txn.postings) >= p.txn.terms.MaxPostings {
		return math.Inf(1)
	}
	if !s.manySchedulers() {
		return p.postedAt + 4*s.promptStartMs(p.worker)
	}
	return p.postedAt + s.promptStartMs(p.worker)
}

// knowsAllInFlight reports whether the postings of all peers are known.
func (s *Scheduler) knowsAllInFlight() bool {
	return s.terms.Schedulers <= 1 || s.terms.Messages && !s.manySchedulers()
}

// mayPost reports whether a txn may be posted to a worker now.
func (s *Scheduler) mayPost(now float64, t *txn, w *worker) bool {
	// A queue that takes longer than the txn's slack consists of work that was cancelled and not dropped.
	if s.usesListedLoads() && (t.inFlight > 0 || t.schemeRow().Effect == OnceOnly) &&
		s.queueDelayMs(s.listedLoad(w)) > s.slackMs(now, t) {
		return false
	}
	v := w.failuresByScheme[t.schemeRow().Name]
	if t.schemeRow().Effect == OnceOnly && max(v.count, w.badOutcomes) > 1 {
		// a once-only txn can't be retried, so it is seldom used as the trial
		v.ejectedUntil = max(v.ejectedUntil, w.badOutcomeEjectedUntil) + 16*ejectionBaseMs
	}
	return now >= v.ejectedUntil && s.accepts(now, w) && s.repeatAllowed(now, t, w) && s.slowStartAllows(now, t, w)
}

// repeatAllowed enforces rule 2: a txn that may have run is repeated only as its scheme allows (anywhere if
// repeatable, within the group and window if referenced, never if once-only).
func (s *Scheduler) repeatAllowed(now float64, t *txn, w *worker) bool {
	row := t.schemeRow()
	for _, p := range t.postings {
		if p.worker == w && (!p.ended || p.calledInvalid) {
			return false // a second posting at the same worker gains nothing
		}
		if p.ended && !p.mayHaveRun || row.Effect == Repeatable {
			continue
		}
		if row.Effect == OnceOnly || now-p.postedAt >= row.Window || !row.Group.covers(p.place, w.place()) {
			return false
		}
	}
	return true
}

// dedupWindowEnd returns until when a referenced txn that may have run may be posted again: the group forgets
// its mark after that. +Inf if there is no limit.
func (s *Scheduler) dedupWindowEnd(t *txn) float64 {
	row, end := t.schemeRow(), math.Inf(1)
	for _, p := range t.postings {
		if (p.mayHaveRun || !p.ended) && row.Effect == Referenced {
			end = min(end, p.postedAt+row.Window)
		}
	}
	return end
}

// promptStartMs returns the time, in ms, within which a posting starts at a worker with a free slot.
func (s *Scheduler) promptStartMs(w *worker) float64 {
	return 4*w.startDelays.quantile(0, 20) + 4*s.terms.Tick
}

// hasRoom reports whether a worker is believed to have a free slot. Where workers report starts, a posting that
// has not started promptly shows that it has none.
func (s *Scheduler) hasRoom(now float64, w *worker) bool {
	if w.knownInFlight() >= w.concurrencyLimit {
		return false
	}
	waitsToStart := func(p *posting) bool { return !p.started && !s.presumedLost(now, p) }
	if w.unstarted > 0 && slices.ContainsFunc(w.inFlight, waitsToStart) {
		return false
	}
	return w.knownInFlight() < w.inFlightWhenFull || now >= w.lastFullAt+s.fullForMs()
}

// belowFairShare reports whether this scheduler uses less than its even share of the worker's slots: where the
// others use as many and send no messages about it, free slots beyond that share are only a guess.
func (s *Scheduler) belowFairShare(w *worker) bool {
	share := w.maxRunning
	if !s.terms.Messages {
		share /= max(s.terms.Schedulers, 1)
	}
	return w.knownInFlight() < max(share, 1)
}

// concurrencyLimitFor returns how many txns a worker is given at once: one more than ran there lately at the
// pace of their hints. Where a worker has more slots than cores, or another program uses its cores, using all
// free slots only makes everything that runs there late.
func concurrencyLimitFor(concurrency float64) int { return 1 + int(math.Ceil(concurrency)) }

// fullForMs returns how long, in ms, a worker observed to be full is believed to be so. A posting tried sooner
// mostly waits there and is late; a slot freed by an own posting is known at once.
func (s *Scheduler) fullForMs() float64 {
	if s.manySchedulers() {
		return 0.25 * s.runTimes.quantile(0.5, 100)
	}
	return 16 * s.runTimes.quantile(0.5, 100)
}

// inSlowStart reports whether a worker started less than SlowStartMs ago.
func (s *Scheduler) inSlowStart(now float64, w *worker) bool {
	return w.Start > 0 && now-w.Start < s.terms.SlowStartMs
}

// slowStartLimits returns what the settings allow for workers in slow start.
func (s *Scheduler) slowStartLimits() slowstart.Limits {
	t := s.terms
	return slowstart.Limits{InitialShare: t.SlowStartInitialShare, WarmUpMs: t.SlowStartMs, WindowMs: t.SlowStartWindowMs,
		CapacityMultiple: t.SlowStartMultiple}
}

// slowStartQuota returns what this scheduler may send to a worker in slow start in any window of SlowStartWindowMs.
func (s *Scheduler) slowStartQuota(now float64, w *worker) slowstart.Quota {
	fleet := slowstart.Fleet{Number: s.terms.Index, Size: s.terms.Schedulers}
	return s.slowStartLimits().Quota(fleet, w.idHash, now-w.Start, s.capacityOf(w), s.requestStats())
}

// requestStats returns what is known about incoming requests.
func (s *Scheduler) requestStats() slowstart.RequestStats {
	return slowstart.RequestStats{MeanWorkMs: s.meanWork(), HeaviestMs: s.heaviestSettled, MostlyUnhinted: s.workStats.MostlyUnhinted()}
}

// capacityOf estimates a lower bound of what a warm worker of the same size runs at once, in txns at the pace of
// their hints: the greater of what own postings there amounted to together, and of what one worker settles in
// the mean if all schedulers settle as much as this one. (The highest number of own postings ever seen in flight
// would be wrong: it counted all slots of a worker with half as many cores, or more where some had ended without
// notice.) It is computed once per ranking.
func (s *Scheduler) capacityOf(w *worker) float64 {
	size := workerSize{w.Kind, w.Weight}
	if _, ok := s.capacityEstimates[size]; !ok {
		capacity := 1.0
		for _, o := range s.list {
			if o.Kind == w.Kind && o.Weight <= w.Weight*1.01 {
				capacity = max(capacity, o.observedCapacity())
			}
		}
		capacity = max(capacity, s.capacity.Estimate(s.rankedAt, w.Kind, s.relativeSize(w), s.terms.Schedulers))
		s.capacityEstimates[size] = capacity
	}
	return s.capacityEstimates[size]
}

// slowStartAllows enforces rule 4: this scheduler sends a worker in slow start no more than its quota.
func (s *Scheduler) slowStartAllows(now float64, t *txn, w *worker) bool {
	if !s.inSlowStart(now, w) {
		return true
	}
	if now < s.slowStartFrom {
		return false
	}
	quota, sent := s.slowStartQuota(now, w), w.slowStartLog.Within(now, s.terms.SlowStartWindowMs)
	if t.Hint > 0 {
		return quota.Admits(sent, t.cost)
	}
	return quota.AdmitsUnhinted(sent, s.slowStartCost(t))
}

// slowStartCost returns the cost that a txn counts for at a worker in slow start. One without a hint counts as
// the heaviest of the recently settled txns: counted at the median, a few heavy ones overloaded workers.
func (s *Scheduler) slowStartCost(t *txn) float64 {
	if t.Hint > 0 {
		return t.cost
	}
	return max(t.cost, s.heaviestSettled)
}

// slackMs returns how long, in ms, a txn can still wait and be in time by its hint. Recent run times of hinted
// txns are not used: where hints are rough, these say as much about the hints as about the workers.
func (s *Scheduler) slackMs(now float64, t *txn) float64 {
	return t.slaAt - now - t.expectedRunMs()
}

// overloaded reports overload: the oldest queued txn has waited longer than the shortest SLA time.
func (s *Scheduler) overloaded(now float64) bool {
	if now-s.indexes[queuedByArrival].earliest() > s.shortestSLAMs {
		return true
	}
	// With many schedulers txns also wait in workers' queues, as the own postings do not show where slots are
	// free.
	return s.manySchedulers() && now-s.indexes[unstartedByArrival].earliest() > s.shortestSLAMs
}

// priority returns a queued txn's priority, highest first. Normally the txn with the least slack relative to its
// gain goes first. Under overload that order would make every txn late, so the highest gain that can still be
// earned in time goes first.
func (s *Scheduler) priority(now float64, t *txn, overloaded bool) float64 {
	row := t.schemeRow()
	gain, slackMs := row.Gain, s.slackMs(now, t)
	if t.overQuota {
		gain *= s.terms.OverQuotaGainFactor
	}
	if slackMs < 0 {
		return gain * row.LateGain / (1 + t.schemeRow().Expiry)
	}
	if overloaded {
		return gain * min(slackMs/(t.expectedRunMs()/2), 1)
	}
	return gain / (s.runTimes.quantile(0.5, 100) + slackMs)
}

// NextPosting decides the next posting to make.
func (s *Scheduler) NextPosting(now float64) (Post, bool) {
	for _, p := range s.unstarted {
		s.checkUnanswered(now, p)
		if p.txn.inFlight == 1 && !p.txn.closed && !p.txn.queued && now >= s.hedgeAt(p) && s.budgetAllows(now, p.txn) {
			s.enqueue(p.txn)
		}
	}
	if s.queue.count == 0 || now >= s.listValidUntil {
		return Post{}, false
	}
	if s.rankingStale || s.completions >= max(rerankMinCompletions, len(s.list)/rerankFleetDivisor) ||
		now >= s.rankedAt+rerankIntervalMs {
		s.rerank(now)
	}
	s.postingDecisions++
	if !s.rankings[0].any(func(w *worker) bool { return s.accepts(now, w) }) {
		return Post{}, false
	}
	var bestTxn *txn
	var bestWorker *worker
	bestPriority, overloaded := 0.0, s.overloaded(now)
	clear(s.unplaceableCosts)
	for _, t := range s.queue.slots {
		if t == nil || len(t.postings) >= t.terms.MaxPostings || !s.budgetAllows(now, t) {
			continue
		}
		if priority := s.priority(now, t, overloaded); (bestTxn == nil || priority > bestPriority) && !s.unplaceable(t) {
			if w := s.pickWorker(now, t); w != nil {
				bestTxn, bestWorker, bestPriority = t, w, priority
			} else {
				s.recordUnplaceable(now, t)
			}
		}
		if bestTxn != nil && overloaded && bestPriority >= s.maxGain {
			break // no other txn can have a higher priority
		}
	}
	if bestTxn == nil {
		return Post{}, false
	}
	if s.inSlowStart(now, bestWorker) {
		bestWorker.slowStartLog.Add(now, s.terms.SlowStartWindowMs, s.slowStartCost(bestTxn))
	}
	p := &posting{txn: bestTxn, worker: bestWorker, place: bestWorker.place(), number: len(bestTxn.postings), postedAt: now}
	if bestTxn.postings = append(bestTxn.postings, p); p.number > 0 {
		s.extraPostings = append(s.extraPostings, now)
	}
	bestTxn.inFlight++
	s.inFlightChanges++
	bestWorker.inFlight = append(bestWorker.inFlight, p)
	s.markDirty(bestWorker)
	if s.terms.ReportsStart { // without start reports, not having started says nothing
		s.addUnstarted(p)
	}
	s.dequeue(bestTxn)
	return Post{Ref: bestTxn.Ref, Worker: bestWorker.ID, LatestSendAt: s.dedupWindowEnd(bestTxn)}, true
}

// budgetAllows enforces the retry budget: extra postings (retries and hedges) in the window that ends now. At
// the window's far edge an arrival no longer counts and an extra posting still does. A hedge is only a guess and
// may use half of the budget; a txn with nothing in flight may use all. A process that does not lead leaves
// RetryBudgetMin to the scheduler's leading process.
func (s *Scheduler) budgetAllows(now float64, t *txn) bool {
	allowed := s.extraPostingsAllowed(now)
	if t.inFlight > 0 {
		allowed /= 2
	}
	return s.terms.RetryBudgetWindowMs <= 0 || len(t.postings) == 0 || float64(len(s.extraPostings)+1) <= allowed+1e-9
}

// extraPostingsAllowed returns how many extra postings the retry budget allows in the window that ends now.
func (s *Scheduler) extraPostingsAllowed(now float64) float64 {
	terms := s.terms
	s.dropBeforeBudgetWindow(now)
	allowed := terms.RetryBudgetRatio * float64(len(s.arrivals))
	if !s.yielded && now >= s.leadingSince+terms.RetryBudgetWindowMs {
		allowed += terms.RetryBudgetMin
	}
	return allowed
}

// dropBeforeBudgetWindow drops the arrivals and extra postings that the retry budget's window no longer covers.
func (s *Scheduler) dropBeforeBudgetWindow(now float64) {
	from := now - s.terms.RetryBudgetWindowMs
	for len(s.arrivals) > 0 && s.arrivals[0] <= from {
		s.arrivals = s.arrivals[1:]
	}
	for len(s.extraPostings) > 0 && s.extraPostings[0] < from {
		s.extraPostings = s.extraPostings[1:]
	}
}

// recordUnplaceable records, where no worker at all accepts a txn of this cost now, that none accepts a costlier
// txn of the same ranking either: under overload each of thousands of queued txns was checked against each
// worker in vain.
func (s *Scheduler) recordUnplaceable(now float64, t *txn) {
	ranking := s.rankingFor(t.schemeRow())
	if t.Hint > 0 && !ranking.any(func(w *worker) bool { return s.accepts(now, w) && s.slowStartAllows(now, t, w) }) {
		s.unplaceableCosts[ranking] = t.cost
	}
}

// unplaceable reports whether a txn of at most this cost has already found no worker in the current decision.
func (s *Scheduler) unplaceable(t *txn) bool {
	least, ok := s.unplaceableCosts[s.rankingFor(t.schemeRow())]
	return ok && t.Hint > 0 && t.cost >= least
}

// NextFinal decides the next final answer that is not a settled posting's.
func (s *Scheduler) NextFinal(now float64) (Final, bool) {
	overloaded := s.overloaded(now)
	if now < s.nextGiveUpAt(overloaded) {
		return Final{}, false
	}
	for _, t := range s.queue.slots {
		if t == nil || now < s.giveUpTime(t, overloaded) {
			continue
		}
		f := Final{Ref: t.Ref, Declined: s.mayDecline(t)}
		// A txn that can still be in time may find a free slot on the client's immediate retry; told to stay
		// away for long it came back late. Before a shutdown the client is told to stay away in any case, as its
		// kept-alive connection would lead its retry back to this scheduler; once this process has yielded,
		// connections no longer lead here.
		stopAt := s.stopAt
		if s.yielded {
			stopAt = math.Inf(1)
		}
		if f.Declined && (s.slackMs(now, t) <= 0 || stopAt < math.Inf(1)) {
			f.StayAwayMs = min(s.terms.MaxStayAwayMs, max(stopAt-now, 0))
		}
		s.closeTxn(t)
		return f, true
	}
	return Final{}, false
}

// mayDecline enforces rule 2 for answers: a decline tells the client that trying again is harmless.
func (s *Scheduler) mayDecline(t *txn) bool {
	row := t.schemeRow()
	return !t.mayHaveRun && t.inFlight == 0 || row.Effect == Repeatable ||
		row.Effect == Referenced && row.Group == GroupAll
}

// computeGiveUpTime returns when a queued txn is given up: at once (0) where nothing more can be done for it,
// else when an answer can no longer earn enough gain.
func (s *Scheduler) computeGiveUpTime(t *txn, overloaded bool) float64 {
	row := t.schemeRow()
	if t.inFlight > 0 {
		return math.Inf(1) // the posting in flight may still settle the txn, and ends by the txn's expiry
	}
	if len(t.postings) >= t.terms.MaxPostings || t.mayHaveRun && row.Effect == OnceOnly || t.calledInvalid > 1 {
		return 0
	}
	lastUsefulAt, neededMs := t.expiresAt-2*s.terms.Tick, t.expectedRunMs()
	if row.Effect != Repeatable {
		// a txn that is not repeatable can't be declined when the shutdown interrupts it, so leave a margin
		neededMs *= 2
	}
	// other schedulers may do what can't be done before this one's shutdown
	lastUsefulAt = min(lastUsefulAt, s.dedupWindowEnd(t), s.stopAt-neededMs)
	latestStartInTime := t.slaAt - t.expectedRunMs()
	if ranking := s.rankingFor(t.schemeRow()); s.giveUpDependsOnQueues(t) && ranking.len() > 0 {
		// where every queue takes longer than the time left, waiting only leads to a decline anyway
		latestStartInTime -= s.queueDelayMs(ranking.groups[0].load)
	}
	if row.LateGain == 0 || overloaded {
		return min(lastUsefulAt, latestStartInTime)
	}
	// a late repeat may find a free slot
	return min(lastUsefulAt, max(latestStartInTime+(t.expiresAt-latestStartInTime)/4, t.arrivedAt+s.terms.Tick))
}

// cancelLateAt returns when an unstarted posting is cancelled because its txn can no longer earn enough gain.
func (s *Scheduler) cancelLateAt(p *posting, overloaded bool) float64 {
	running := func(q *posting) bool { return q.started && !q.ended }
	if !s.terms.ReportsStart || !s.terms.Cancels || p.cancelled || slices.ContainsFunc(p.txn.postings, running) ||
		p.txn.schemeRow().LateGain > 0 && !overloaded {
		return math.Inf(1)
	}
	return p.txn.slaAt - p.txn.expectedRunMs()
}

// nextCancel returns a posting of the txn to cancel: any in flight once the txn is closed, else one that has not
// started.
func (t *txn) nextCancel() (Cancel, bool) {
	for _, p := range t.postings {
		if !p.ended && !p.cancelled && (t.closed || !p.started) {
			p.cancelled = true
			return Cancel{t.Ref, p.number}, true
		}
	}
	return Cancel{}, false
}

// NextCancel decides the next posting to cancel.
func (s *Scheduler) NextCancel(now float64) (Cancel, bool) {
	if !s.terms.Cancels {
		s.cancelCandidates = nil
	}
	for len(s.cancelCandidates) > 0 {
		if c, ok := s.cancelCandidates[0].nextCancel(); ok {
			return c, true
		}
		s.cancelCandidates = s.cancelCandidates[1:]
	}
	overloaded := s.overloaded(now)
	for _, p := range s.unstarted {
		// Of two unstarted postings the first keeps its place in its queue and the newer one is cancelled so that
		// it can be posted elsewhere. Postings left in a queue to run late would make everything behind them
		// late too.
		superseded := p.txn.inFlight > 1 && p.number == len(p.txn.postings)-1 && now >= s.hedgeAt(p)
		if superseded || now >= s.cancelLateAt(p, overloaded) {
			p.cancelled = true
			return Cancel{p.txn.Ref, p.number}, true
		}
	}
	return Cancel{}, false
}

// NextProbe decides the next probe: the trial of an ejected worker, or of one with an overdue posting.
func (s *Scheduler) NextProbe(now float64) (string, bool) {
	var first *worker
	s.eachProbeCandidate(now, func(w *worker) {
		if now >= s.nextProbeAt(w) && (first == nil || w.listIndex < first.listIndex) {
			first = w
		}
	})
	if first == nil {
		return "", false
	}
	first.probePending, first.probedAt = true, now
	return first.ID, true
}

// nextProbeAt returns when a worker is to be probed; +Inf if there is no reason to.
func (s *Scheduler) nextProbeAt(w *worker) float64 {
	at := math.Inf(1)
	if w.State != Running || w.probePending {
		return at
	} else if w.connectionFailures > 0 {
		return w.ejectedUntil
	}
	for _, p := range w.inFlight {
		if s.terms.ReportsStart && !p.started {
			at = min(at, max(p.postedAt, w.probedAt)+s.startTimeoutMs())
		}
	}
	return at
}

// NextMessage decides what to send to all peers: own postings in flight after a change, or with many schedulers
// the pending failure reports.
func (s *Scheduler) NextMessage(now float64) ([]byte, bool) {
	if now < s.nextMessageAt() {
		return nil, false
	}
	s.inFlightChangesSent, s.lastMessageAt = s.inFlightChanges, now
	var body []byte
	if s.manySchedulers() {
		for ; len(s.pendingReports) > 0 && len(body)+3 <= maxMessageBytes; s.pendingReports = s.pendingReports[1:] {
			n := s.pendingReports[0]
			schemeIndex := slices.IndexFunc(s.terms.Schemes, func(r SchemeRow) bool { return r.Name == n.scheme })
			if n.settled {
				schemeIndex |= settledFlag
			}
			body = append(binary.BigEndian.AppendUint16(body, uint16(n.worker.idHash)), byte(schemeIndex))
		}
		return body, true
	}
	return s.inFlightMessage(), true
}

// nextMessageAt returns when the next message to peers is due: soon after a change, else at longer intervals,
// since a message may be lost. Each peer pays for each message, so the more peers there are the rarer messages
// are.
func (s *Scheduler) nextMessageAt() float64 {
	if !s.terms.Messages || s.terms.Schedulers <= 1 || s.yielded {
		return math.Inf(1)
	}
	// With many schedulers a txn is over before the next message may be sent, and all schedulers would rank by
	// the same stale counts. Messages then carry scheme failures instead: each scheduler alone meets each
	// failing worker too seldom to detect it.
	if s.manySchedulers() && len(s.pendingReports) == 0 {
		return math.Inf(1)
	} else if s.manySchedulers() {
		// reports are rare and best sent fresh; each peer receives as many per second in a fleet of any size
		return s.lastMessageAt + s.messageGapMs()/8
	}
	if s.inFlightChangesSent != s.inFlightChanges {
		return s.lastMessageAt + s.messageGapMs()
	}
	return s.lastMessageAt + 10*s.messageGapMs()
}

// messageGapMs returns the interval, in ms, between messages to peers.
func (s *Scheduler) messageGapMs() float64 {
	return messageIntervalPerPeerMs * float64(s.terms.Schedulers)
}

// NextWatch decides whether to ask discovery for changes of the list now.
func (s *Scheduler) NextWatch(now float64) bool {
	if !s.terms.PollsList || s.watchPending || now < s.nextWatchAt {
		return false
	}
	s.nextWatchAt = now + s.terms.ListPollIntervalMs
	return true
}

// Wake returns when to poll again if nothing happens before.
func (s *Scheduler) Wake(now float64) float64 {
	at := s.nextMessageAt()
	if s.terms.PollsList && !s.watchPending {
		at = min(at, s.nextWatchAt)
	}
	s.eachProbeCandidate(now, func(w *worker) { at = min(at, s.nextProbeAt(w)) })
	consider := func(x float64) {
		if x > now {
			at = min(at, x)
		}
	}
	for _, p := range s.unstarted {
		consider(s.hedgeAt(p))
		consider(s.cancelLateAt(p, true))
	}
	startTimeoutMs := s.startTimeoutMs() // the next posting to reach its start timeout
	notOverdue := func(i int) bool { return s.unstarted[i].postedAt+startTimeoutMs > now }
	if i := sort.Search(len(s.unstarted), notOverdue); i < len(s.unstarted) {
		consider(s.unstarted[i].postedAt + startTimeoutMs)
	}
	if s.queue.count > 0 {
		at = min(at, s.nextGiveUpAt(s.overloaded(now)))
		for _, w := range s.unhealthy {
			consider(max(w.ejectedUntil, w.badOutcomeEjectedUntil))
			for _, v := range w.failuresByScheme {
				consider(v.ejectedUntil)
			}
		}
		fullForMs := s.fullForMs()
		i := sort.Search(len(s.fullEvents), func(i int) bool { return s.fullEvents[i].at+fullForMs > now })
		i += slices.IndexFunc(s.fullEvents[i:], fullEvent.isLatest)
		if i >= 0 && i < len(s.fullEvents) && s.fullEvents[i].isLatest() {
			consider(s.fullEvents[i].at + fullForMs)
		}
		if len(s.extraPostings) > 0 && s.terms.RetryBudgetWindowMs > 0 {
			consider(s.extraPostings[0] + s.terms.RetryBudgetWindowMs + s.terms.Tick)
		}
		if slices.ContainsFunc(s.slowStartCandidates, func(w *worker) bool { return s.inSlowStart(now, w) }) {
			consider(now + s.terms.SlowStartWindowMs/4)
		}
	}
	return max(at, now+s.terms.Tick)
}
