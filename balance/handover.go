package balance

import "hash/crc32"

// Handover of an open txn from one process of this scheduler to another, as in a hot restart: the old process
// exports all that the rules need to know of the txn, and the new one goes on with it. No decisions are made
// here.

// TxnState is the state of an open txn that is handed over. Processes of other builds read its JSON form, so the
// names in its tags must not change. Times are ms on the clock that both processes share.
type TxnState struct {
	Txn         Txn            `json:"Txn"`
	Scheme      SchemeRow      `json:"Row"`      // the settings of its scheme that it arrived under
	MaxPostings int            `json:"MaxPosts"` // Terms.MaxPostings that it arrived under
	Hedging     bool           `json:"Copies"`   // Terms.Hedging that it arrived under
	ArrivedAt   float64        `json:"Came"`     // when it arrived
	SLAAt       float64        `json:"Due"`      // end of its SLA time
	ExpiresAt   float64        `json:"Until"`    // its expiry
	OverQuota   bool           `json:"Surplus"`  // beyond its tenant's quota
	Postings    []PostingState `json:"Posts"`
}

// PostingState is one posting of a handed-over txn.
type PostingState struct {
	Worker     string  `json:"Worker"`
	PostedAt   float64 `json:"At"`    // when it was posted
	StartedAt  float64 `json:"Start"` // when it started
	Started    bool    `json:"Begun"` // it started
	Ended      bool    `json:"Done"`  // it ended
	Cancelled  bool    `json:"Off"`   // it was cancelled
	MayHaveRun bool    `json:"Ran"`   // it ended and may have run
	// CalledInvalid says that its worker said that the request is invalid. An older build's state does not have it.
	CalledInvalid bool `json:"Invalid,omitempty"`
	// Place is where its worker was when it was posted, as the process that takes over may not have that worker in its
	// list. Nil in the state that an older build exports.
	Place *Place `json:"Place,omitempty"`
}

// ExportTxn returns the state of an open txn for the handover; ok is false where the txn is not open.
func (s *Scheduler) ExportTxn(ref string) (c TxnState, ok bool) {
	t := s.txns[ref]
	if t == nil || t.closed {
		return c, false
	}
	c = TxnState{t.Txn, *t.schemeRow(), t.terms.MaxPostings, t.terms.Hedging,
		t.arrivedAt, t.slaAt, t.expiresAt, t.overQuota, nil}
	for _, p := range t.postings {
		place := p.place
		c.Postings = append(c.Postings, PostingState{p.worker.ID, p.postedAt, p.startedAt,
			p.started, p.ended, p.cancelled, p.mayHaveRun, p.calledInvalid, &place})
	}
	return c, true
}

// ImportTxn takes over an open txn from another process. The txn keeps the terms it arrived under.
func (s *Scheduler) ImportTxn(c TxnState) {
	terms := *s.terms
	terms.Schemes, terms.MaxPostings, terms.Hedging = []SchemeRow{c.Scheme}, c.MaxPostings, c.Hedging
	t := &txn{Txn: c.Txn, terms: &terms, arrivedAt: c.ArrivedAt,
		slaAt: min(c.SLAAt, s.stopAt), expiresAt: min(c.ExpiresAt, s.stopAt),
		overQuota: c.OverQuota, keyHash: crc32.ChecksumIEEE([]byte(c.Txn.Key))}
	t.Scheme = 0
	if t.cost = t.Hint * max(t.Slots, 1); t.Hint > 0 {
		s.recordCost(t.cost)
	} else {
		t.cost = s.medianCost()
	}
	s.txns[t.Ref] = t
	for i, x := range c.Postings {
		w := s.workersByID[x.Worker]
		if w == nil { // no longer in the list
			w = s.newWorker(x.Worker)
			if !x.Ended {
				s.workersByID[x.Worker] = w // until the posting ends
			}
		}
		p := &posting{txn: t, worker: w, place: x.placeAt(w), number: i, postedAt: x.PostedAt, startedAt: x.StartedAt,
			started: x.Started, ended: x.Ended, cancelled: x.Cancelled, mayHaveRun: x.MayHaveRun, calledInvalid: x.CalledInvalid}
		t.postings = append(t.postings, p)
		if p.calledInvalid {
			t.calledInvalid++
		}
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
		s.addUnstarted(p)
	}
	if t.inFlight == 0 {
		s.enqueue(t)
	}
}

// placeAt returns where the posting's worker was when it was posted. Where the state does not say, the list does, as long
// as it has the worker.
func (x *PostingState) placeAt(w *worker) Place {
	switch {
	case x.Place != nil:
		return *x.Place
	case w.inList:
		return w.place()
	}
	return unknownPlace
}

// Renumber replaces the numbers of zones and kinds, which are indexes into the exporting process's settings. zones and kinds
// have the importing process's number for each of these, UnknownPlace where its settings don't have the name; nil where all
// numbers are the same. A txn whose scheme is bound to none that they have is posted to no further worker.
func (c *TxnState) Renumber(zones, kinds []int) {
	for i := range c.Postings {
		if place := c.Postings[i].Place; place != nil {
			place.Zone = renumbered(place.Zone, zones)
		}
	}
	var anyZone, anyKind bool
	if c.Scheme.Zones, anyZone = renumberedBits(c.Scheme.Zones, zones); !anyZone {
		c.MaxPostings = 0
	}
	if c.Scheme.Kinds, anyKind = renumberedBits(c.Scheme.Kinds, kinds); !anyKind {
		c.MaxPostings = 0
	}
}

// renumbered returns the new number of a zone or kind.
func renumbered(number int, newNumbers []int) int {
	if newNumbers == nil {
		return number
	}
	if number < 0 || number >= len(newNumbers) {
		return UnknownPlace
	}
	return newNumbers[number]
}

// renumberedBits returns a set of zones or kinds, as in SchemeRow, with the new numbers. ok is false if the set was bound to some
// and none of these has a new number.
func renumberedBits(bits uint64, newNumbers []int) (result uint64, ok bool) {
	for number := range 64 {
		if bits>>number&1 == 0 {
			continue
		}
		if n := renumbered(number, newNumbers); n != UnknownPlace {
			result |= 1 << min(n, 63)
		}
	}
	return result, result != 0 || bits == 0
}
