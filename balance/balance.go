package balance

// One Scheduler decides for one scheduler. The host tells it what happened (Arrived, Started, Ended, Gone,
// ListChanged, Watched, Relies, Probed, Heard, Stops: they only update what is known), then pulls decisions, one a
// call, until none is left (NextFinal, NextCancel, NextPosting, NextProbe, NextMessage, NextWatch), and calls
// again at Wake. The types that cross this edge are in terms.go, inputs that only keep what is known in
// known.go. The ordinary path is ADUS: see rerank, band, pick. The list is followed as it is told (NextWatch
// where it has to be asked for). Beside these stand six mechanisms, some in another form among many
// schedulers (see thin):
//  1. Room: a ranked worker believed full passes the txn to the next rank; with no room anywhere it is held.
//  2. Homes: a txn that needs a key is banded among the few workers that keep it.
//  3. Suspicion: a worker that fails or falls silent stands aside until a cheap trial brings it back.
//  4. Fresh workers: each scheduler keeps to its quota of what they are allowed, see package slowstart.
//  5. Further postings: what never ran goes again, what may have run or waits unbegun as its scheme allows.
//  6. Overload: told by the oldest wait; then what may gain goes first, the late is declined or called off.

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
	binsPerDouble = 4      // histogram bins: a band's edge is then off by a fifth of a cost at the most
	numBins       = 160    // spans 40 doublings, more than any two jobs differ by
	costsKept     = 500    // long enough that the few heavy costs do not move the edges at each one
	costsNeeded   = 30     // fewer say little of where the work lies; among many a third, as they come slowly
	rankAfter     = 3      // C: loads here change with each job, and a sort of a few workers costs little
	rankPart      = 128    // in large fleets as rarely as leaves a ranking as fresh
	rankEvery     = 1000.0 // about as old as a report gets
	homes         = 3      // see pickHome
	ranksSeen     = 30     // of those beyond the band's, for one that is surely free: in larger fleets one is near
	tellEvery     = 33.0   // for each peer: a few messages a job at the most, as a job runs far longer
	shareOver     = 4000.0 // short, as clients come in bursts, yet a dozen txns of most tenants
	asideFirst    = 500.0  // then twice as long each time: a restart takes seconds, a slip less
	watchFirst    = 250.0  // of the same kind, kept well below the time after which the list counts as known
	watchGap      = 100.0  // between the first calls of two schedulers that start together
	watchAnswer   = 2000.0 // a list service turns away what has waited longer for its answer
	manyPeers     = 5      // each then sees a fifth of the work at the most, about a job a worker
	warmEarly     = 2.0    // among many: a worker is taken to be warm so many times sooner than at the latest
	runsNeeded    = 3      // so many runs show what a worker carries
	workUnknown   = 100.0  // taken for a request's work before anything is known of it
	settledKept   = 50     // enough that one heavy job is a small part, few enough to follow the day
	mostBytes     = 255    // of a message, a whole number of entries
	newsPart      = 16     // of what it keeps away: most failures are chance, and most txns settle elsewhere
	farPart       = 50     // of a txn's work that the way to other zones may take, and is no matter
	settledMark   = 0x80   // in an entry of a scheme that failed: it has settled since
)

// Scheduler holds all that one scheduler knows.
type Scheduler struct {
	terms       *Terms // as last told; a txn keeps those it came under
	seeded      uint32 // the seed's part of each draw
	draws       uint32
	born        float64   // when the first list came
	stopAt      float64   // when this scheduler ends
	coldAt      float64   // before this it sends nothing to cold workers
	yields      bool      // another process of this scheduler decides for it
	ledAt       float64   // when it did last
	took        []float64 // when txns came, and postings beyond their first went out, in the budget's window
	further     []float64
	txns        map[string]*txn
	held        queue      // open txns that want a posting: none is out, or the one that is out is in doubt
	due         [2]alarms  // when those are given up, without and with overload
	oldest      alarms     // those with nothing out, by when they came
	excess      []*txn     // with more postings out than needed: answered, or one has begun
	waits       []*posting // those out that have not begun, in the order in which they were made
	oldestOut   alarms     // their txns, by when they came
	byID        map[string]*worker
	staffed     map[string]*staffed  // workers that staff took out, now or before
	list        []*worker            // those the list names, in its order
	ranks       []*ranking           // of all workers, then one for each set of them that a scheme is bound to
	touched     []*worker            // whose load may have changed since the last ranking
	young       []*worker            // those that may be cold, in the list's order
	sick        []*worker            // those that failed lately
	fulls       []sighting           // when workers showed themselves full, in order
	below       [numBins + 1]float64 // work in the histogram below each bin, at the last ranking
	costs       []uint8
	costAt      int
	bins        [numBins]int
	allCosts    float64        // the sum of those kept
	work        slowstart.Work // what txns cost
	keys        []uint32       // of the last keyed txns
	asked       map[uint32]int
	since       int // completions since the last ranking
	rankAt      float64
	sizes       map[int]float64 // the most weight seen, by kind, where weights are lowered by load
	stale       bool            // the list changed since the last ranking
	settled     []sending       // the last txns settled
	heaviest    float64         // the most work of them
	runs        samples         // running times
	left        *worker         // where an own job last ended
	leftAt      float64
	starting    []*worker // cold ones at which this scheduler has a quota
	live        int       // workers that the list shows as running
	carried     map[size]float64
	capacity    slowstart.Capacity
	warmOf      map[int]float64      // sizes of all warm workers, by kind, at the last ranking
	none        map[*ranking]float64 // the least cost that no worker takes at this decision
	salt        uint32               // the first draw of the last ranking
	near, far   float64              // the way to workers of the own zone and of others
	delays      samples              // times from posting to start
	tightest    float64              // SLA time of any scheme
	richest     float64              // the most gain that a txn of any scheme has
	longest     []float64
	tenants     []tenant
	pulls       int    // postings asked for so far
	news        []news // still to be told among many
	toldTo      uint16 // see outs
	moves, told int    // postings made or ended so far, and when peers were last told
	toldAt      float64
	heardAt     map[int]float64 // when each peer last told
	listTill    float64         // see Relies
	watching    bool
	watchAt     float64
	watchBad    int
}

// New returns a scheduler that knows nothing but its terms.
func New(terms Terms) *Scheduler {
	s := &Scheduler{txns: map[string]*txn{}, byID: map[string]*worker{},
		born: -1, ledAt: math.Inf(-1), stopAt: math.Inf(1), listTill: math.Inf(1),
		staffed: map[string]*staffed{}, asked: map[uint32]int{}, carried: map[size]float64{}, warmOf: map[int]float64{},
		none: map[*ranking]float64{}, sizes: map[int]float64{}, heardAt: map[int]float64{},
	}
	s.seeded = ^crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(nil, terms.Seed))
	s.rankingOf(&SchemeRow{})
	s.Retune(terms)
	return s
}

// Retune takes other terms. Open txns keep theirs, and what was learnt stays. Who this scheduler is, its
// peers, zones and kinds, and what workers tell must be as they were.
func (s *Scheduler) Retune(terms Terms) {
	old, longest := s.terms, s.longest
	s.terms, s.tightest, s.richest, s.longest = &terms, math.Inf(1), 0, make([]float64, len(terms.Schemes))
	if len(terms.Quota) != len(s.tenants) {
		s.tenants = make([]tenant, len(terms.Quota))
	}
	for i, row := range terms.Schemes {
		s.tightest = min(s.tightest, row.SLA)
		s.richest = max(s.richest, row.Gain, row.Gain*terms.OverGain)
		for k := range longest {
			if old.Schemes[k].Name == row.Name {
				s.longest[i] = min(longest[k], row.Expiry)
			}
		}
		s.rankingOf(&row)
	}
	s.stale = true
}

// ---- what is known ----

// Watched tells that the list request sent before was answered, or failed.
func (s *Scheduler) Watched(now float64, ok bool) {
	if s.watching = ok; ok {
		s.watchBad = 0
		return
	}
	// A list service that turns calls away is not helped by all schedulers calling at once again: each calls in
	// its turn, as what breaks one watch breaks all, and when that failed too by chance.
	s.watchBad = min(s.watchBad+1, 4)
	wait, part := watchFirst*float64(int(1)<<s.watchBad)*1.5, (1+float64(s.chance()%1024)/1024)/2
	// Where the list counts no more all work waits for this.
	wait = max(min(wait, max(s.listTill-now, 6*watchFirst)), s.watchRound())
	if left := s.listTill - now - watchAnswer; left > 0 {
		// While it counts, an answer in time spares that. The first call may fail, and leaves time for another.
		if wait = min(wait, left); s.watchBad == 1 {
			if part = s.myPart(); left > watchAnswer {
				wait = min(wait, left-watchAnswer)
			}
		}
	}
	s.watchAt = now + wait*part
}

// watchRound is how long all schedulers take to call one after the other, if each is to call in time, and to be
// answered while the list still counts. A call given up in the list service's queue is still worked through
// there: when all called at once after a restart those behind were given up too, called again, and most
// schedulers had no list for as long as that went on.
func (s *Scheduler) watchRound() float64 {
	return min(watchGap*float64(s.terms.Peers-1), 0.8*s.terms.AskIn)
}

// myPart is where among all schedulers this one's turn lies, from 0 to below 1.
func (s *Scheduler) myPart() float64 { return float64(s.terms.Me) / float64(max(s.terms.Peers, 1)) }

// Arrived takes a new txn, which is now owed one final answer.
func (s *Scheduler) Arrived(now float64, x Txn) {
	t := &txn{Txn: x, terms: s.terms, came: now, until: now + x.Left, hash: crc32.ChecksumIEEE([]byte(x.Key))}
	s.work.Arrived(x.Hint > 0)
	if x.Hint > 0 {
		t.cost = x.Hint * max(x.Slots, 1)
		s.keepCost(t.cost)
	} else {
		t.cost = s.median()
	}
	// A client's later try has used up part of its SLA time already: what is left of it, against the
	// longest left that a txn of its scheme came with, tells how much.
	s.longest[x.Scheme] = max(s.longest[x.Scheme], x.Left)
	row := t.row()
	t.due = now + x.Left - s.longest[x.Scheme] + row.SLA + row.Stretch*t.run()
	t.due, t.until = min(t.due, s.stopAt), min(t.until, s.stopAt)
	if x.Tenant < len(s.tenants) && s.terms.Quota[x.Tenant] > 0 {
		t.surplus = s.tenants[x.Tenant].past(now, s.terms.Quota[x.Tenant]/float64(max(s.terms.Peers, 1)), x.Repeat)
	}
	if x.Key != "" {
		s.keepKey(t.hash)
	}
	s.txns[x.Ref] = t
	s.took = append(s.took, now)
	s.hold(t)
}

// past tells whether an arrival is beyond its tenant's share, by those within it that came lately. A repeat
// takes none of the share: its first try has, and with overload come repeats of what was declined.
func (n *tenant) past(now, quota float64, repeat bool) bool {
	n.came = slices.DeleteFunc(n.came, func(at float64) bool { return at < now-shareOver })
	if float64(len(n.came)) >= quota*shareOver/1000 {
		return true
	}
	if !repeat {
		n.came = append(n.came, now)
	}
	return false
}

func (t *txn) run() float64 { return t.cost / max(t.Slots, 1) }

// Started tells that a posting has begun to run.
func (s *Scheduler) Started(now float64, ref string, no int) {
	p := s.posting(ref, no)
	if p == nil || p.done || p.begun {
		return
	}
	waited := now-p.at > s.prompt(p.w)
	p.begun, p.start, p.w.heardAt, p.w.begunAt = true, now, now, max(p.w.begunAt, p.at)
	s.unwait(p)
	if p.t.out > 1 {
		s.excess = append(s.excess, p.t)
	}
	p.w.delay.add(now - p.at)
	s.delays.add(now - p.at)
	p.w.most = max(p.w.most, len(p.w.own)-p.w.unbegun)
	p.w.fails, p.w.aside = 0, 0
	if waited {
		// The slot that came free went to this one, so it is as full as before.
		s.full(now, p.w)
	}
}

// Ended tells how a posting ended, and whether its txn is over.
func (s *Scheduler) Ended(now float64, ref string, no int, how Outcome, closed bool, load Load) {
	p := s.posting(ref, no)
	if p == nil || p.done {
		return
	}
	t, w := p.t, p.w
	if i := slices.Index(s.further, p.at); how == NeverSent && p.no > 0 && i >= 0 {
		s.further = slices.Delete(s.further, i, i+1) // it does not count
	}
	p.done = true
	s.unwait(p)
	s.moves++
	w.usedAt = now
	w.own = slices.DeleteFunc(w.own, func(q *posting) bool { return q == p })
	s.touch(w)
	if !w.here && len(w.own) == 0 && s.byID[w.ID] == w {
		delete(s.byID, w.ID)
	}
	t.out--
	s.report(w, load)
	// Where all postings are known, one that waited where slots were free was on a connection that fell
	// silent.
	waited := !p.begun && now-p.at > s.prompt(w) && (!s.knows() || w.known() >= w.most)
	if how == Full || how == Cancelled && waited {
		s.full(now, w)
	}
	if how == Full {
		s.trip(now, p)
	}
	switch how {
	case Done:
		s.since++
		work := t.cost
		if t.Hint <= 0 && p.begun {
			work = (now - p.start) * max(t.Slots, 1)
			s.work.Settled(work)
		}
		if s.settled = append(s.settled, sending{now, work}); len(s.settled) > settledKept {
			s.settled = s.settled[1:]
		}
		if !s.cold(now, w) {
			s.capacity.Settled(now, w.Kind, work)
		}
		s.heaviest = slices.MaxFunc(s.settled, func(a, b sending) int { return cmp.Compare(a.work, b.work) }).work
		w.fails, w.aside, w.bad, w.heardAt = 0, 0, 0, now
		if v, was := w.ill[t.row().Name]; was {
			delete(w.ill, t.row().Name)
			if v.bad > 1 { // after one alone nobody else stands aside
				s.learn(now, news{w, t.row().Name, true})
			}
		}
		s.left, s.leftAt = w, now
		if p.begun && t.Hint > 0 {
			s.runs.add(now - p.start)
			pace := t.run() / max(now-p.start, 1)
			w.bears.add(float64(w.known()+1) * pace)
			w.limit = limit(w.bears.at(0.5, 0))
			w.runs.add(float64(len(w.own)-w.unbegun+1) * pace)
		}
		for _, q := range t.posts {
			if q.unfit { // another settled it, so the fault was that worker's
				s.failing(now, q.w, t.row().Name, true, true)
			}
		}
	case Unfit:
		p.unfit, t.unfit = true, t.unfit+1
	case NoConnect:
		s.failed(now, w, p.at)
	case TimedOut, Cancelled:
		s.unheard(now, p)
	case Reset:
		s.failed(now, w, now)
		fallthrough
	case Erred:
		w.bad, w.badTill = w.bad+1, now+asideFirst*math.Exp2(float64(min(w.bad, 4)))
		s.failing(now, w, t.row().Name, true, how == Erred)
		s.ails(w)
	}
	p.ran = !how.NeverRan() && how != Done
	t.ran = t.ran || p.ran
	if closed {
		s.end(t)
	}
	if t.over {
		if t.out == 0 {
			delete(s.txns, ref)
		}
	} else if t.out == 0 {
		if s.hold(t); !s.affords(now, t) && float64(len(s.further)) >= s.allowance(now)/2 && s.mayDecline(t) {
			// Its client's next try is not beyond any txn's first, and is in time if it comes at once. Held
			// till the budget has room again it was late, and its client was told to stay away.
			for i := range t.dueAt {
				t.dueAt[i] = min(t.dueAt[i], now)
				s.due[i].add(t.dueAt[i], t)
			}
		}
	}
}

// unheard counts a posting as failed that its worker never answers, though it answers others or a probe: a
// long wait alone says that it is slow.
func (s *Scheduler) unheard(now float64, p *posting) {
	if !p.lost && (p.begun && now-p.start > 3*p.t.run() || !p.begun && s.silent(now, p) &&
		(p.w.begunAt > p.at || p.w.free >= 1 && p.w.probedAt > p.at)) {
		p.lost = true
		s.failing(now, p.w, p.t.row().Name, true, true)
	}
}

// failing stands a worker aside for one scheme: what it fails it may fail alone, and settle all others.
func (s *Scheduler) failing(now float64, w *worker, scheme string, own, tell bool) {
	v := w.ill[scheme]
	tell = tell && now >= v.till // what was still out there when it went aside is no news
	if v.bad++; own || v.bad > 1 {
		v.till = now + asideFirst*math.Exp2(float64(min(v.bad, 4)))
	}
	if w.ill == nil {
		w.ill = map[string]ill{}
	}
	w.ill[scheme] = v
	if s.ails(w); tell {
		s.learn(now, news{w, scheme, false})
	}
}

// pays tells whether news may earn its price. All pay for what one tells, and gain at most what the fleet sends
// there of that scheme meanwhile: told by each of hundreds with little work, it cost more than the failures.
func (s *Scheduler) pays(now float64) bool {
	peers, earned := float64(s.terms.Peers), 0.0
	if len(s.settled) > 0 {
		kept := float64(len(s.settled)) / max(now-s.settled[0].at, 1) * 4 * asideFirst * peers
		earned = kept / float64(max(s.live, 1)*len(s.terms.Schemes)) / newsPart
	}
	return earned >= s.terms.TellFee*(peers-1)*3/256
}

// failed stands a worker aside. Where no connection came up for long it doubts what is out: a cut link gives
// no reset, and that would stay silent. A refusal or reset is an answer: copies then only ate the fleet.
func (s *Scheduler) failed(now float64, w *worker, since float64) {
	w.fails, w.aside = w.fails+1, now+asideFirst*math.Exp2(float64(min(w.fails, 4)))
	s.ails(w)
	for _, p := range w.own {
		if now-since > s.prompt(w) && p.t.terms.Copies && p.t.out == 1 && !p.t.over &&
			p.t.row().Effect != OnceOnly {
			s.hold(p.t)
		}
	}
}

// Probed tells what came of a probe.
func (s *Scheduler) Probed(now float64, id string, how Outcome, load Load) {
	w := s.byID[id]
	if w == nil {
		return
	}
	since := w.probedAt
	w.probing, w.probedAt = false, now
	if how == Done {
		s.report(w, load)
		w.fails, w.aside, w.heardAt = 0, 0, now
	} else if w.fails > 0 || how == NoConnect || how == Reset {
		s.failed(now, w, since) // a probe that only timed out may have waited at a busy worker
	}
}

// ---- the ordinary path: ADUS ----

// listed tells that the list says more of loads than own postings and answers do.
func (s *Scheduler) listed() bool { return s.terms.LiveWeight && s.thin() }

// queue is how long a worker that holds so many txns for each core keeps a new one waiting.
func (s *Scheduler) queue(holds float64) float64 { return max(holds-1, 0) * s.runs.at(0.5, 300) }

// holds is how many txns a worker holds for each core, as listed some time ago.
func (s *Scheduler) holds(w *worker) float64 { return s.sizes[w.Kind]/max(w.Weight, 1e-3) - 1 }

// load is what the ranking sorts by: reported free slots, put right by own postings since, else own postings.
func (s *Scheduler) load(w *worker) float64 {
	if s.listed() {
		return s.holds(w) // what reports tell with each answer is far older here
	}
	if w.free >= 0 {
		return -(w.free + float64(w.ownThen-len(w.own)))
	}
	return float64(w.known())
}

// rerank takes the workers touched since the last ranking to where they now belong.
func (s *Scheduler) rerank(now float64) {
	s.forget(now)
	s.starting = s.starting[:0]
	s.salt, s.draws = s.draws, s.draws+uint32(len(s.list))
	s.young = slices.DeleteFunc(s.young, func(w *worker) bool {
		// A cold worker is ready only where this scheduler has a quota.
		cold := s.cold(now, w) && w.here
		if w.mine = cold && w.State == Running && s.quota(now, w).Any(); w.mine {
			s.starting = append(s.starting, w)
		}
		s.touch(w)
		return !cold
	})
	for _, w := range s.touched {
		w.touched = false
		ready := w.here && w.State == Running && (w.mine || !s.cold(now, w))
		load := s.load(w)
		if w.placed && ready && load == w.rankLoad && w.rankZone == w.Zone && w.rankKind == w.Kind {
			continue
		}
		for _, r := range s.ranks {
			if w.placed && w.slots[r.no] >= 0 {
				r.take(w)
			}
		}
		if w.placed = ready; ready {
			w.rankLoad, w.rankZone, w.rankKind = load, w.Zone, w.Kind
			for _, r := range s.ranks {
				s.place(r, w)
			}
		}
	}
	s.touched = s.touched[:0]
	for _, r := range s.ranks {
		r.begin()
	}
	s.cut()
	clear(s.carried)
	s.countWarm(now)
	s.since, s.stale, s.rankAt = 0, false, now
}

// countWarm tells the estimate of capacities which workers show it.
func (s *Scheduler) countWarm(now float64) {
	for kind := range s.warmOf {
		s.warmOf[kind] = 0
	}
	for _, w := range s.list {
		if w.State == Running && !s.cold(now, w) {
			s.warmOf[w.Kind] += s.sizeOf(w)
		}
	}
	for kind, size := range s.warmOf {
		s.capacity.Warm(now, kind, size)
	}
}

// sizeOf is a worker's size against others of its kind, as far as the list tells it.
func (s *Scheduler) sizeOf(w *worker) float64 {
	if s.terms.LiveWeight {
		return 1 // its weight says how full it is
	}
	return max(w.Weight, 1e-3)
}

// band tells in which of n bands of equal work a cost lies, by the histogram as it was at the last ranking.
// Within a bin the cut lies where the share is reached, or all jobs of one cost go to one band.
func (s *Scheduler) band(n int, cost float64) int {
	if s.below[numBins] == 0 {
		s.cut()
	}
	at := min(max(math.Log2(max(cost, 1e-3))*binsPerDouble+40, 0), numBins-0.01)
	b := int(at)
	work := s.below[b] + (s.below[b+1]-s.below[b])*(at-float64(b))
	return min(int(work/max(s.below[numBins], 1)*float64(n)), n-1)
}

// cut sums the histogram's work up, bin by bin.
func (s *Scheduler) cut() {
	for b, k := range s.bins {
		s.below[b+1] = s.below[b] + float64(k)*costs[b]
	}
}

// dueNow is when a held txn is given up. It was reckoned when it was held, but for what goes by the queues.
func (s *Scheduler) dueNow(t *txn, crowded bool) float64 {
	if s.queues(t) {
		return s.decideAt(t, crowded)
	}
	return t.dueAt[place(crowded)]
}

// queues tells of a txn whose end goes by the queues that the list shows.
func (s *Scheduler) queues(t *txn) bool {
	return s.listed() && t.row().Effect == OnceOnly
}

// giveUpAt is when the first held txn is given up.
func (s *Scheduler) giveUpAt(crowded bool) float64 {
	at := math.Inf(1)
	if s.listed() {
		for _, t := range s.held.all {
			if t != nil && s.queues(t) {
				at = min(at, s.decideAt(t, crowded))
			}
		}
	}
	i := place(crowded)
	due := &s.due[i]
	for len(*due) > 0 {
		if a := (*due)[0]; a.t.held && a.at == a.t.dueAt[i] && !s.queues(a.t) {
			break
		}
		due.pop()
	}
	return min(at, due.next())
}

// tie orders those of equal load: the draw that belongs to this ranking and the place in the list.
func (s *Scheduler) tie(w *worker) uint32 { return s.draw(s.salt + w.place) }

// doubted goes through the listed workers that a probe may be for: those that failed lately, and those where
// a posting has not begun.
func (s *Scheduler) doubted(now float64, f func(w *worker)) {
	s.sick = slices.DeleteFunc(s.sick, func(w *worker) bool {
		w.sick = w.here && (w.fails > 0 || w.bad > 0 || len(w.ill) > 0 || now < max(w.aside, w.badTill))
		return !w.sick
	})
	if !s.terms.Probes {
		return
	}
	for _, w := range s.sick {
		f(w)
	}
	for _, p := range s.waits {
		if p.w.here {
			f(p.w)
		}
	}
}

// pick finds the worker for a txn: that of its band's rank, else the next rank with room.
func (s *Scheduler) pick(now float64, t *txn) *worker {
	ranks := s.rankingOf(t.row())
	among := func(w *worker) bool { return w != nil && w.placed && w.slots[ranks.no] >= 0 }
	// Among many a quota at a cold worker meets few txns, and left to the ranks most of it would pass unused.
	for _, w := range s.starting {
		inTime := t.run() < s.limits().Share(warmEarly*(now-w.Start))*(t.due-now)
		if s.thin() && inTime && among(w) && s.fits(now, t, w) {
			return w
		}
	}
	if t.Key != "" {
		return s.pickHome(now, t, ranks)
	}
	// Among many, the slot that an own job has just left is the one that is surely free.
	if w := s.left; s.thin() && now-s.leftAt <= s.terms.Tick && among(w) && s.fits(now, t, w) {
		return w
	}
	if len(s.costs) < costsNeeded && (!s.thin() || len(s.costs) < costsNeeded/3) {
		var best *worker
		for i := range ranks.len() {
			w := ranks.at(i)
			if (best == nil || len(w.own) < len(best.own)) && s.fits(now, t, w) {
				best = w
			}
		}
		return best
	}
	n := ranks.len()
	band := s.band(n, t.cost)
	// Own zone first where each crossing costs: a txn tried here and there each time, others much of their time.
	anywhere := !s.thin() || len(t.posts) == 0 && (s.listed() || s.near == 0 ||
		s.far-s.near < s.median()/farPart)
	var best *worker
	most := -1
	for i := 0; i < n && (best == nil || i < ranksSeen) && most < 2; i++ {
		w, value := ranks.at((band+i)%n), 0
		if s.sure(w) && (anywhere || w.Zone == s.terms.Zone) {
			value = 1 // and a connection to one used lately is still there
			if !s.listed() || s.terms.NewFee == 0 || now-w.usedAt < s.terms.Idle/2 {
				value = 2
			}
		}
		if value > most && s.fits(now, t, w) {
			best, most = w, value
		}
	}
	return best
}

// ---- the exceptions ----

// pickHome bands a txn that needs a key among its homes, as a bound one is banded among those it may use: a
// worker that lacks the key holds a slot idle while it fetches, and any that serves it drops another key. All
// schedulers name the same homes, by hash; where none has room, the next by hash soon keeps the key too.
func (s *Scheduler) pickHome(now float64, t *txn, ranks *ranking) *worker {
	var order []entry
	ranks.each(func(w *worker) bool {
		// A home that is cold, dead or away would keep its txns waiting for what it can't give.
		if !s.suspect(now, w) && s.warm(now, t, w) {
			order = append(order, entry{uint64(mixed(w.hash, t.hash))<<32 | uint64(w.place), w})
		}
		return false
	})
	// A key that many ask for has as many more homes as its part of the work fills.
	asked := s.asked[t.hash]
	if s.thin() {
		asked--
	}
	n := homes - 1 + int(math.Ceil(float64(asked*len(order))/float64(max(len(s.keys), 1))))
	if len(order) == 0 {
		return nil
	}
	n = min(n, len(order))
	least(order, n)
	slices.SortFunc(order[:n], func(x, y entry) int {
		a, b := x.w, y.w
		return cmp.Or(cmp.Compare(a.rankLoad, b.rankLoad), cmp.Compare(s.tie(a), s.tie(b)),
			cmp.Compare(a.place, b.place))
	})
	band := s.band(n, t.cost)
	near := append(slices.Clone(order[band:n]), order[:band]...)
	rest := func() []entry { // asked for rarely
		slices.SortFunc(order[n:], func(a, b entry) int { return cmp.Compare(a.key, b.key) })
		return order[n:]
	}
	if s.listed() && t.row().Effect == OnceOnly && !s.crowded(now) {
		// It can't leave a queue, and a fetch costs less than being called off late.
		for _, e := range append(near, rest()...) {
			if s.holds(e.w) < 1 && s.fits(now, t, e.w) {
				return e.w
			}
		}
	}
	for _, e := range near {
		if s.fits(now, t, e.w) {
			return e.w
		}
	}
	if spare := s.spare(now, t); spare > (spare+now-t.came)/8 {
		return nil // not yet: left sooner, homes lose their keys to others' txns and fetches eat the fleet
	}
	for _, e := range rest() {
		if s.fits(now, t, e.w) {
			return e.w
		}
	}
	return nil
}

// takes works out once a decision whether a worker takes any txn now: it is asked for each of those held.
func (s *Scheduler) takes(now float64, w *worker) bool {
	if w.pull != s.pulls {
		w.pull = s.pulls
		w.open = w.State == Running && w.here && !s.suspect(now, w) && s.room(now, w)
	}
	return w.open
}

// suspect tells of a worker that failed and has not had its trial: a probe where there are any, as a txn
// waits in vain for a connection; else the next txn, later. One that ends postings badly answers probes too.
func (s *Scheduler) suspect(now float64, w *worker) bool {
	return w.fails > 0 && (s.terms.Probes || now < w.aside) || w.bad > 0 && now < w.badTill
}

// silent tells of a posting that has not started for long, while its worker went on with others or answered a
// probe: it is taken for lost on its connection, and keeps others from the worker no more.
func (s *Scheduler) silent(now float64, p *posting) bool {
	return now > p.at+s.patience() && p.w.heardAt > p.at
}

// patience is how long a posting may take to start, far longer than others lately took, until its worker is
// probed: it may be lost, as on a cut link.
func (s *Scheduler) patience() float64 { return 3*s.delays.at(0.5, 100) + 2*s.runs.at(0.5, 300) }

// thin tells of so many schedulers that own postings say next to nothing of a worker's queue: a job is then
// best sent to try for a slot, and tried elsewhere where it does not start.
func (s *Scheduler) thin() bool { return s.terms.Peers >= manyPeers }

// tryAt is when a posting that has not begun is taken to wait in a queue, or on a connection that fell
// silent: its txn may try elsewhere. One with a key may not: its copies fetched it, at the cost of others'
// keys, and some ran though called off. A few schedulers know where there is room: a wait is mostly short.
func (s *Scheduler) tryAt(p *posting) float64 {
	if !s.terms.TellsStart || !p.t.terms.Copies || !s.terms.Cancels || p.off || p.t.Key != "" ||
		p.t.row().Effect == OnceOnly || len(p.t.posts) >= p.t.terms.MaxPosts {
		return math.Inf(1)
	}
	if !s.thin() {
		return p.at + 4*s.prompt(p.w)
	}
	return p.at + s.prompt(p.w)
}

// knows tells that peers tell of all postings that are not own.
func (s *Scheduler) knows() bool { return s.terms.Peers <= 1 || s.terms.Messages && !s.thin() }

func (s *Scheduler) fits(now float64, t *txn, w *worker) bool {
	// A queue that outlasts all that a txn can spare is of work that was called off and not dropped.
	if s.listed() && (t.out > 0 || t.row().Effect == OnceOnly) &&
		s.queue(s.holds(w)) > s.spare(now, t) {
		return false
	}
	v := w.ill[t.row().Name]
	if t.row().Effect == OnceOnly && max(v.bad, w.bad) > 1 {
		v.till = max(v.till, w.badTill) + 16*asideFirst // trials with one that can't go again are rare
	}
	return now >= v.till && s.takes(now, w) && s.mayGo(now, t, w) && s.warm(now, t, w)
}

// mayGo keeps rule 2.
func (s *Scheduler) mayGo(now float64, t *txn, w *worker) bool {
	row := t.row()
	for _, p := range t.posts {
		if p.w == w && (!p.done || p.unfit) {
			return false // a second copy where the first is gains nothing
		}
		if p.done && !p.ran || row.Effect == Repeatable {
			continue
		}
		if row.Effect == OnceOnly || now-p.at >= row.Window ||
			row.Group == GroupZone && w.Zone != p.w.Zone || row.Group == GroupCell && w.Cell != p.w.Cell {
			return false
		}
	}
	return true
}

// windowEnd is until when a txn that may have run may go again.
func (s *Scheduler) windowEnd(t *txn) float64 {
	row, end := t.row(), math.Inf(1)
	for _, p := range t.posts {
		if (p.ran || !p.done) && row.Effect == Referenced {
			end = min(end, p.at+row.Window)
		}
	}
	return end
}

func (s *Scheduler) prompt(w *worker) float64 {
	return 4*w.delay.at(0, 20) + 4*s.terms.Tick
}

// room tells whether a worker is believed to have a free slot. Where starts are told, a posting that has not
// started promptly shows that it has none.
func (s *Scheduler) room(now float64, w *worker) bool {
	if w.known() >= w.limit {
		return false
	}
	waits := func(p *posting) bool { return !p.begun && !s.silent(now, p) }
	if w.unbegun > 0 && slices.ContainsFunc(w.own, waits) {
		return false
	}
	return w.known() < w.fullWith || now >= w.fullAt+s.fullFor()
}

// sure tells whether this scheduler holds less than its even part of the slots there: where the others hold
// as much and tell nothing of it, room beyond that part is only a guess.
func (s *Scheduler) sure(w *worker) bool {
	part := w.most
	if !s.terms.Messages {
		part /= max(s.terms.Peers, 1)
	}
	return w.known() < max(part, 1)
}

// limit is how many a worker is given at once, one above what ran there lately at the pace of the hints: with
// more slots than cores, or a neighbour on them, the free ones only make all that runs there late.
func limit(bears float64) int { return 1 + int(math.Ceil(bears)) }

// fullFor is how long a worker that showed itself full is believed to be so: a trial sooner mostly waits
// there, late, and a slot that an own posting leaves is known at once.
func (s *Scheduler) fullFor() float64 {
	if s.thin() {
		return 0.25 * s.runs.at(0.5, 100)
	}
	return 16 * s.runs.at(0.5, 100)
}

func (s *Scheduler) cold(now float64, w *worker) bool {
	return w.Start > 0 && now-w.Start < s.terms.ColdFor
}

// limits is what the settings allow workers in slow start.
func (s *Scheduler) limits() slowstart.Limits {
	t := s.terms
	return slowstart.Limits{InitialShare: t.ColdFrom, WarmUp: t.ColdFor, Window: t.Fall, Multiple: t.FallTimes}
}

// quota is what this scheduler may send to a worker in slow start in any window.
func (s *Scheduler) quota(now float64, w *worker) slowstart.Quota {
	fleet := slowstart.Fleet{Number: s.terms.Me, Size: s.terms.Peers}
	return s.limits().Quota(fleet, w.hash, now-w.Start, s.carries(w), s.requests())
}

// requests is what is known of the requests that come.
func (s *Scheduler) requests() slowstart.Requests {
	return slowstart.Requests{MeanWork: s.meanWork(), Heaviest: s.heaviest, Unhinted: s.work.Unhinted()}
}

// carries estimates what a warm worker of the same size carries at the least, in jobs at the pace of their
// hints: as many own ones as run together there at the pace that they have then, or what all schedulers settle at
// one in the mean. (The most own ones ever seen together were all the slots of a worker with half as many cores, or
// more where some had ended and nobody said so.) It is worked out once a ranking.
func (s *Scheduler) carries(w *worker) float64 {
	like := size{w.Kind, w.Weight}
	if _, ok := s.carried[like]; !ok {
		slots := 1.0
		for _, o := range s.list {
			if o.Kind == w.Kind && o.Weight <= w.Weight*1.01 {
				slots = max(slots, o.carried())
			}
		}
		slots = max(slots, s.capacity.Of(s.rankAt, w.Kind, s.sizeOf(w), s.terms.Peers))
		s.carried[like] = slots
	}
	return s.carried[like]
}

// warm keeps rule 4: until a worker counts as warm, this scheduler sends it no more than its quota.
func (s *Scheduler) warm(now float64, t *txn, w *worker) bool {
	if !s.cold(now, w) {
		return true
	}
	if now < s.coldAt {
		return false
	}
	quota, sent := s.quota(now, w), w.sent.Within(now, s.terms.Fall)
	if t.Hint > 0 {
		return quota.Admits(sent, t.cost)
	}
	return quota.AdmitsUnhinted(sent, s.coldCost(t))
}

// coldCost is what a txn counts for at a cold worker. One without a hint counts as the heaviest of the last
// settled: at the median, a few heavy ones pushed workers over.
func (s *Scheduler) coldCost(t *txn) float64 {
	if t.Hint > 0 {
		return t.cost
	}
	return max(t.cost, s.heaviest)
}

// spare is how long a txn can still wait and be in time by its hint. How long hinted work took lately does
// not come in: with rough hints that says as much of the hints as of the workers.
func (s *Scheduler) spare(now float64, t *txn) float64 {
	return t.due - now - t.run()
}

// crowded tells overload: the oldest held txn has waited beyond the tightest SLA time.
func (s *Scheduler) crowded(now float64) bool {
	for len(s.oldest) > 0 && !(s.oldest[0].t.held && s.oldest[0].t.out == 0) {
		s.oldest.pop()
	}
	if now-s.oldest.next() > s.tightest {
		return true
	}
	// Among many, work is held by workers' queues too, as own postings do not tell where there is room.
	for len(s.oldestOut) > 0 && s.oldestOut[0].t.waits == 0 {
		s.oldestOut.pop()
	}
	return s.thin() && now-s.oldestOut.next() > s.tightest
}

// order tells which held txn goes first: the sooner due, unless it is crowded, when going by due times makes
// every txn a late one: then the most gain that is still likely to be had.
func (s *Scheduler) order(now float64, t *txn, crowded bool) float64 {
	row := t.row()
	gain, spare := row.Gain, s.spare(now, t)
	if t.surplus {
		gain *= s.terms.OverGain
	}
	if spare < 0 {
		return gain * row.LateGain / (1 + t.row().Expiry)
	}
	if crowded {
		return gain * min(spare/(t.run()/2), 1)
	}
	return gain / (s.runs.at(0.5, 100) + spare)
}

// NextPosting decides the next posting to make.
func (s *Scheduler) NextPosting(now float64) (Post, bool) {
	for _, p := range s.waits {
		s.unheard(now, p)
		if p.t.out == 1 && !p.t.over && !p.t.held && now >= s.tryAt(p) && s.affords(now, p.t) {
			s.hold(p.t)
		}
	}
	if s.held.n == 0 || now >= s.listTill {
		return Post{}, false
	}
	if s.stale || s.since >= max(rankAfter, len(s.list)/rankPart) || now >= s.rankAt+rankEvery {
		s.rerank(now)
	}
	s.pulls++
	if !s.ranks[0].each(func(w *worker) bool { return s.takes(now, w) }) {
		return Post{}, false
	}
	var best *txn
	var to *worker
	most, crowded := 0.0, s.crowded(now)
	clear(s.none)
	for _, t := range s.held.all {
		if t == nil || len(t.posts) >= t.terms.MaxPosts || !s.affords(now, t) {
			continue
		}
		if o := s.order(now, t, crowded); (best == nil || o > most) && !s.nowhere(t) {
			if w := s.pick(now, t); w != nil {
				best, to, most = t, w, o
			} else {
				s.seek(now, t)
			}
		}
		if best != nil && crowded && most >= s.richest {
			break // no other can go before it
		}
	}
	if best == nil {
		return Post{}, false
	}
	if s.cold(now, to) {
		to.sent.Add(now, s.terms.Fall, s.coldCost(best))
	}
	p := &posting{t: best, w: to, no: len(best.posts), at: now}
	if best.posts = append(best.posts, p); p.no > 0 {
		s.further = append(s.further, now)
	}
	best.out++
	s.moves++
	to.own = append(to.own, p)
	s.touch(to)
	if s.terms.TellsStart { // elsewhere it says nothing that one has not begun
		s.waits = append(s.waits, p)
		to.unbegun++
		best.waits++
		s.oldestOut.add(best.came, best)
	}
	s.held.drop(best)
	return Post{Ref: best.Ref, Worker: to.ID, By: s.windowEnd(best)}, true
}

// affords keeps the budget of further postings, in the window that ends now: at its edge a txn counts no
// more, and a posting still does. A copy is only a guess, so that it may use half; what has nothing out may
// use all. What another process of this scheduler may use beside it is left to that one.
func (s *Scheduler) affords(now float64, t *txn) bool {
	allowed := s.allowance(now)
	if t.out > 0 {
		allowed /= 2
	}
	return s.terms.BudgetFor <= 0 || len(t.posts) == 0 || float64(len(s.further)+1) <= allowed+1e-9
}

func (s *Scheduler) allowance(now float64) float64 {
	terms := s.terms
	from := now - terms.BudgetFor
	for len(s.took) > 0 && s.took[0] <= from {
		s.took = s.took[1:]
	}
	for len(s.further) > 0 && s.further[0] < from {
		s.further = s.further[1:]
	}
	allowed := terms.BudgetRatio * float64(len(s.took))
	if !s.yields && now >= s.ledAt+terms.BudgetFor {
		allowed += terms.BudgetFree
	}
	return allowed
}

// seek notes, where no worker at all takes a txn of this cost now, that none takes a costlier one of those
// bound alike either: with overload each of thousands held asked each worker in vain.
func (s *Scheduler) seek(now float64, t *txn) {
	ranks := s.rankingOf(t.row())
	if t.Hint > 0 && !ranks.each(func(w *worker) bool { return s.takes(now, w) && s.warm(now, t, w) }) {
		s.none[ranks] = t.cost
	}
}

func (s *Scheduler) nowhere(t *txn) bool {
	least, ok := s.none[s.rankingOf(t.row())]
	return ok && t.Hint > 0 && t.cost >= least
}

// NextFinal decides the next final answer.
func (s *Scheduler) NextFinal(now float64) (Final, bool) {
	crowded := s.crowded(now)
	if now < s.giveUpAt(crowded) {
		return Final{}, false
	}
	for _, t := range s.held.all {
		if t == nil || now < s.dueNow(t, crowded) {
			continue
		}
		f := Final{Ref: t.Ref, Declined: s.mayDecline(t)}
		// One that can still be in time may find a slot at once on its next try; long advice made it late.
		stop := s.stopAt // kept connections lead here again, unless they part
		if s.yields {
			stop = math.Inf(1)
		}
		if f.Declined && (s.spare(now, t) <= 0 || stop < math.Inf(1)) {
			f.Stay = min(s.terms.MaxStay, max(stop-now, 0))
		}
		s.end(t)
		return f, true
	}
	return Final{}, false
}

// mayDecline keeps rule 2: a decline says that trying again is harmless.
func (s *Scheduler) mayDecline(t *txn) bool {
	row := t.row()
	return !t.ran && t.out == 0 || row.Effect == Repeatable || row.Effect == Referenced && row.Group == GroupAll
}

// decideAt is when a held txn is given up: at once where nothing more can be done for it, else when an answer
// can no longer earn enough.
func (s *Scheduler) decideAt(t *txn, crowded bool) float64 {
	row := t.row()
	if t.out > 0 {
		return math.Inf(1) // the posting that is out may still settle it, and ends by its expiry
	}
	if len(t.posts) >= t.terms.MaxPosts || t.ran && row.Effect == OnceOnly || t.unfit > 1 {
		return 0
	}
	last, needs := t.until-2*s.terms.Tick, t.run()
	if row.Effect != Repeatable {
		needs *= 2 // cut at a stop it can't be declined
	}
	last = min(last, s.windowEnd(t), s.stopAt-needs) // what can't be done before a stop others may do
	late := t.due - t.run()
	if ranks := s.rankingOf(t.row()); s.queues(t) && ranks.len() > 0 {
		late -= s.queue(ranks.groups[0].load) // held for queues that all outlast its time, it is declined anyway
	}
	if row.LateGain == 0 || crowded {
		return min(last, late)
	}
	return min(last, max(late+(t.until-late)/4, t.came+s.terms.Tick)) // a late repeat may find a free slot
}

// lateAt is when a posting that has not begun is called off, as its txn can no longer earn enough.
func (s *Scheduler) lateAt(p *posting, crowded bool) float64 {
	runs := func(q *posting) bool { return q.begun && !q.done }
	if !s.terms.TellsStart || !s.terms.Cancels || p.off || slices.ContainsFunc(p.t.posts, runs) ||
		p.t.row().LateGain > 0 && !crowded {
		return math.Inf(1)
	}
	return p.t.due - p.t.run()
}

// callOff finds a posting of a txn to call off: any that is out once the txn is over, else one that waits.
func (t *txn) callOff() (Cancel, bool) {
	for _, p := range t.posts {
		if !p.done && !p.off && (t.over || !p.begun) {
			p.off = true
			return Cancel{t.Ref, p.no}, true
		}
	}
	return Cancel{}, false
}

// NextCancel decides the next posting to call off.
func (s *Scheduler) NextCancel(now float64) (Cancel, bool) {
	if !s.terms.Cancels {
		s.excess = nil
	}
	for len(s.excess) > 0 {
		if c, ok := s.excess[0].callOff(); ok {
			return c, true
		}
		s.excess = s.excess[1:]
	}
	crowded := s.crowded(now)
	for _, p := range s.waits {
		// Of two that wait the first stays in its queue and the copy moves on. Left there to run late, they
		// would make all behind them late too.
		moves := p.t.out > 1 && p.no == len(p.t.posts)-1 && now >= s.tryAt(p)
		if moves || now >= s.lateAt(p, crowded) {
			p.off = true
			return Cancel{p.t.Ref, p.no}, true
		}
	}
	return Cancel{}, false
}

// NextProbe decides the next probe: the trial of a worker that stands aside.
func (s *Scheduler) NextProbe(now float64) (string, bool) {
	var first *worker
	s.doubted(now, func(w *worker) {
		if now >= s.probeAt(w) && (first == nil || w.place < first.place) {
			first = w
		}
	})
	if first == nil {
		return "", false
	}
	first.probing, first.probedAt = true, now
	return first.ID, true
}

func (s *Scheduler) probeAt(w *worker) float64 {
	at := math.Inf(1)
	if w.State != Running || w.probing {
		return at
	} else if w.fails > 0 {
		return w.aside
	}
	for _, p := range w.own {
		if s.terms.TellsStart && !p.begun {
			at = min(at, max(p.at, w.probedAt)+s.patience())
		}
	}
	return at
}

// NextMessage decides what to tell all peers: own postings in flight, where that has changed.
func (s *Scheduler) NextMessage(now float64) ([]byte, bool) {
	if now < s.tellAt() {
		return nil, false
	}
	s.told, s.toldAt = s.moves, now
	var body []byte
	if s.thin() {
		for ; len(s.news) > 0 && len(body)+3 <= mostBytes; s.news = s.news[1:] {
			n := s.news[0]
			at := slices.IndexFunc(s.terms.Schemes, func(r SchemeRow) bool { return r.Name == n.scheme })
			if n.ok {
				at |= settledMark
			}
			body = append(binary.BigEndian.AppendUint16(body, uint16(n.w.hash)), byte(at))
		}
		return body, true
	}
	return s.outs(), true
}

// tellAt is when the next message goes out: soon after a change; else now and then, since one may be lost.
// The more peers there are the more pay for each, so the rarer it is.
func (s *Scheduler) tellAt() float64 {
	if !s.terms.Messages || s.terms.Peers <= 1 || s.yields {
		return math.Inf(1)
	}
	// Among many a job is over before the next message may go, and all would rank by the same old ones. What
	// is told there is where a scheme fails: by itself each meets every such worker too seldom to know.
	if s.thin() && len(s.news) == 0 {
		return math.Inf(1)
	} else if s.thin() {
		return s.toldAt + s.tellGap()/8 // rare, best fresh; each hears as many a second in a fleet of any size
	}
	if s.told != s.moves {
		return s.toldAt + s.tellGap()
	}
	return s.toldAt + 10*s.tellGap()
}

func (s *Scheduler) tellGap() float64 { return tellEvery * float64(s.terms.Peers) }

// NextWatch decides whether to ask for the list's changes now.
func (s *Scheduler) NextWatch(now float64) bool {
	if !s.terms.MustAsk || s.watching || now < s.watchAt {
		return false
	}
	s.watchAt = now + s.terms.AskIn
	return true
}

// Wake is when to pull again if nothing happens before.
func (s *Scheduler) Wake(now float64) float64 {
	at := s.tellAt()
	if s.terms.MustAsk && !s.watching {
		at = min(at, s.watchAt)
	}
	s.doubted(now, func(w *worker) { at = min(at, s.probeAt(w)) })
	next := func(x float64) {
		if x > now {
			at = min(at, x)
		}
	}
	for _, p := range s.waits {
		next(s.tryAt(p))
		next(s.lateAt(p, true))
	}
	patience := s.patience() // the first whose time is still to come
	if i := sort.Search(len(s.waits), func(i int) bool { return s.waits[i].at+patience > now }); i < len(s.waits) {
		next(s.waits[i].at + patience)
	}
	if s.held.n > 0 {
		at = min(at, s.giveUpAt(s.crowded(now)))
		for _, w := range s.sick {
			next(max(w.aside, w.badTill))
			for _, v := range w.ill {
				next(v.till)
			}
		}
		fullFor := s.fullFor()
		i := sort.Search(len(s.fulls), func(i int) bool { return s.fulls[i].at+fullFor > now })
		if i += slices.IndexFunc(s.fulls[i:], sighting.last); i >= 0 && i < len(s.fulls) && s.fulls[i].last() {
			next(s.fulls[i].at + fullFor)
		}
		if len(s.further) > 0 && s.terms.BudgetFor > 0 {
			next(s.further[0] + s.terms.BudgetFor + s.terms.Tick)
		}
		if slices.ContainsFunc(s.young, func(w *worker) bool { return s.cold(now, w) }) {
			next(now + s.terms.Fall/4)
		}
	}
	return max(at, now+s.terms.Tick)
}
