package balance

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
)

// Handover of an open txn from one process of this scheduler to another, as in a hot restart: the old process
// exports all that the rules need to know of the txn, and the new one goes on with it. No decisions are made
// here.

// Carried is the state of an open txn that is handed over. encoding/json writes it under its Go field names.
type Carried struct {
	Txn      Txn
	Row      SchemeRow // the scheme's row that it arrived under
	MaxPosts int       // Terms.MaxPosts that it arrived under
	Copies   bool      // Terms.Copies that it arrived under
	// when it arrived, end of its SLA time, and expiry, on the clock that both processes share
	Came, Due, Until float64
	Surplus          bool // beyond its tenant's quota
	Posts            []CarriedPost
}

// CarriedPost is one posting of a handed-over txn.
type CarriedPost struct {
	Worker                string
	At, Start             float64 // when it was posted, and when it started
	Begun, Done, Off, Ran bool    // it started; it ended; it was cancelled; it ended and may have run
}

// Open returns the state of an open txn for the handover; ok is false where the txn is not open.
func (s *Scheduler) Open(ref string) (c Carried, ok bool) {
	t := s.txns[ref]
	if t == nil || t.closed {
		return c, false
	}
	c = Carried{t.Txn, *t.schemeRow(), t.terms.MaxPosts, t.terms.Copies,
		t.arrivedAt, t.slaAt, t.expiresAt, t.overQuota, nil}
	for _, p := range t.postings {
		c.Posts = append(c.Posts, CarriedPost{p.worker.ID, p.postedAt, p.startedAt,
			p.started, p.ended, p.cancelled, p.mayHaveRun})
	}
	return c, true
}

// Carry takes over an open txn from another process. The txn keeps the terms it arrived under.
func (s *Scheduler) Carry(c Carried) {
	terms := *s.terms
	terms.Schemes, terms.MaxPosts, terms.Copies = []SchemeRow{c.Row}, c.MaxPosts, c.Copies
	t := &txn{Txn: c.Txn, terms: &terms, arrivedAt: c.Came,
		slaAt: min(c.Due, s.stopAt), expiresAt: min(c.Until, s.stopAt),
		overQuota: c.Surplus, keyHash: crc32.ChecksumIEEE([]byte(c.Txn.Key))}
	t.Scheme = 0
	if t.cost = t.Hint * max(t.Slots, 1); t.Hint > 0 {
		s.recordCost(t.cost)
	} else {
		t.cost = s.medianCost()
	}
	s.txns[t.Ref] = t
	for i, x := range c.Posts {
		w := s.workersByID[x.Worker]
		if w == nil { // no longer in the list
			w = &worker{Listed: Listed{ID: x.Worker, State: Removed}, reportedFree: -1,
				lastFullAt: math.Inf(-1), concurrencyLimit: math.MaxInt}
			s.workersByID[x.Worker] = w
		}
		p := &posting{txn: t, worker: w, number: i, postedAt: x.At, startedAt: x.Start,
			started: x.Begun, ended: x.Done, cancelled: x.Off, mayHaveRun: x.Ran}
		t.postings = append(t.postings, p)
		t.mayHaveRun = t.mayHaveRun || p.mayHaveRun
		if p.ended {
			continue
		}
		t.inFlight++
		w.inFlight = append(w.inFlight, p)
		s.markDirty(w)
		if p.started {
			w.maxRunning = max(w.maxRunning, len(w.inFlight)-w.unstarted)
			continue
		}
		w.unstarted++
		t.unstarted++
		at, _ := slices.BinarySearchFunc(s.unstarted, p.postedAt,
			func(q *posting, x float64) int { return cmp.Compare(q.postedAt, x) })
		s.unstarted = slices.Insert(s.unstarted, at, p)
	}
	if t.inFlight == 0 {
		s.enqueue(t)
	} else if s.manySchedulers() {
		s.unstartedByArrival.add(t.arrivedAt, t)
	}
}
