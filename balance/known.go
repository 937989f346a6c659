package balance

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// What the module knows: the inputs that only update it, and how it is kept so that a decision need not go
// through all of it. Nothing is decided here.

// touch marks a worker whose load may have changed, or whether it is ranked.
func (s *Scheduler) touch(w *worker) {
	if !w.touched {
		w.touched = true
		s.touched = append(s.touched, w)
	}
}

// full takes that a worker showed itself full.
func (s *Scheduler) full(now float64, w *worker) {
	w.fullAt, w.fullWith = now, w.known()
	if s.fulls = append(s.fulls, sighting{w, now}); len(s.fulls) > 64+2*len(s.list) {
		s.fulls = slices.DeleteFunc(s.fulls, func(f sighting) bool { return !f.last() })
	}
}

func (s *Scheduler) unwait(p *posting) {
	i, _ := slices.BinarySearchFunc(s.waits, p.at,
		func(q *posting, at float64) int { return cmp.Compare(q.at, at) })
	for ; i < len(s.waits) && s.waits[i].at == p.at; i++ {
		if s.waits[i] == p {
			s.waits = slices.Delete(s.waits, i, i+1)
			p.w.unbegun--
			p.t.waits--
			return
		}
	}
}

func (s *Scheduler) ails(w *worker) {
	if !w.sick {
		w.sick = true
		s.sick = append(s.sick, w)
	}
}

// hold puts a txn in the queue, and reckons anew until when it stays: that changes only with what is out.
func (s *Scheduler) hold(t *txn) {
	s.held.add(t)
	for i, crowded := range []bool{false, true} {
		if t.dueAt[i] = s.decideAt(t, crowded); t.dueAt[i] < math.Inf(1) {
			s.due[i].add(t.dueAt[i], t)
		}
	}
	if t.out == 0 {
		s.oldest.add(t.came, t)
	}
}

func place(crowded bool) int {
	if crowded {
		return 1
	}
	return 0
}

func (s *Scheduler) keepCost(c float64) {
	b := uint8(min(max(int(math.Log2(max(c, 1e-3))*binsPerDouble)+40, 0), numBins-1))
	if len(s.costs) < costsKept {
		s.costs = append(s.costs, b)
	} else {
		s.allCosts -= costs[s.costs[s.costAt]]
		s.bins[s.costs[s.costAt]]--
		s.costs[s.costAt] = b
		s.costAt = (s.costAt + 1) % costsKept
	}
	s.allCosts += costs[b]
	s.bins[b]++
}

// meanWork is what a request costs in the mean.
func (s *Scheduler) meanWork() float64 {
	hinted := 0.0
	if n := len(s.costs); n > 0 {
		hinted = s.allCosts / float64(n)
	}
	if mean := s.work.Mean(hinted); mean > 0 {
		return mean
	}
	return workUnknown
}

// costs holds each bin's cost.
var costs = func() (c [numBins]float64) {
	for b := range c {
		c[b] = math.Exp2((float64(b-40) + 0.5) / binsPerDouble)
	}
	return c
}()

func (s *Scheduler) median() float64 {
	n := 0
	for b, k := range s.bins {
		n += k
		if k > 0 && 2*n >= len(s.costs) {
			return costs[b]
		}
	}
	return 1
}

// ListChanged takes the list, whole or only its changes.
func (s *Scheduler) ListChanged(now float64, whole bool, rows []Listed) {
	if !whole && len(rows) == 0 {
		return // no news: ranked anew each time that a watch goes on, ties were drawn again between two txns
	}
	old, all := s.list, whole
	if whole {
		for _, w := range old {
			w.here = false
		}
		s.list = nil
	}
	for _, row := range rows {
		r := s.staffing(row)
		w := s.byID[r.ID]
		if w == nil {
			w = &worker{free: -1, fullAt: math.Inf(-1), limit: math.MaxInt}
			s.byID[r.ID] = w
		}
		if w.Start != r.Start {
			// What was learned of the process before its restart says nothing of this one.
			*w = worker{here: w.here, own: w.own, unbegun: w.unbegun, sent: w.sent, free: -1, fullAt: math.Inf(-1),
				limit: math.MaxInt, most: w.most, placed: w.placed, slots: w.slots, rankLoad: w.rankLoad,
				rankZone: w.rankZone, rankKind: w.rankKind, touched: w.touched, sick: w.sick}
		}
		if s.terms.LiveWeight && r.Weight > s.sizes[r.Kind] {
			s.sizes[r.Kind], all = r.Weight, true
		}
		s.touch(w)
		w.Listed, w.row, w.hash = r, row, crc32.ChecksumIEEE([]byte(r.ID))
		if r.State != Removed && !w.here {
			s.list = append(s.list, w)
		}
		w.here = r.State != Removed
	}
	for _, w := range old {
		if !w.here {
			s.touch(w)
			if len(w.own) == 0 {
				delete(s.byID, w.ID)
			}
		}
	}
	s.list = slices.DeleteFunc(s.list, func(w *worker) bool { return !w.here })
	for _, w := range s.young {
		s.touch(w) // it may be warm by now
	}
	s.live, s.young = 0, s.young[:0]
	for i, w := range s.list {
		if w.place = uint32(i); all {
			s.touch(w)
		}
		if w.State == Running {
			s.live++
		}
		if s.cold(now, w) {
			s.young = append(s.young, w)
		}
	}
	s.stale = true
	if s.born < 0 {
		s.born = now
		// What this scheduler sent before its own restart is forgotten, and still counts.
		s.coldAt = max(s.coldAt, now+s.terms.Fall)
		if s.listTill > now {
			// There is a list to begin with that counts: the watch can wait for this scheduler's turn.
			s.watchAt = now + s.watchRound()*s.myPart()
		}
	}
}

// Relies tells until when the list may be taken for whole. Later a worker may drain that it still shows in
// service, so that nothing is posted until Relies tells of a later time. A host that does not say so vouches
// for its list at all times.
func (s *Scheduler) Relies(till float64) { s.listTill = till }

// Withdrawn tells that staff took a worker out: it counts as draining, whatever the list says, until
// Returned.
func (s *Scheduler) Withdrawn(now float64, id string) {
	v := s.staffed[id]
	if v == nil {
		v = &staffed{}
		s.staffed[id] = v
	}
	v.out, v.since = true, now
	s.relist(now, id)
}

// Returned tells that staff put a worker back.
func (s *Scheduler) Returned(now float64, id string) {
	if v := s.staffed[id]; v != nil && v.out {
		v.out, v.back = false, now
		s.relist(now, id)
	}
}

func (s *Scheduler) relist(now float64, id string) {
	if w := s.byID[id]; w != nil && w.here {
		s.ListChanged(now, false, []Listed{w.row})
	}
}

// staffing is how a worker of the list stands after what staff did with it. One that was put back is cold
// from then on, as the list may be late with its restart.
func (s *Scheduler) staffing(r Listed) Listed {
	v := s.staffed[r.ID]
	if v == nil {
		return r
	}
	if v.out && r.State == Running {
		r.State = Draining
	}
	if v.back > 0 && r.Start <= v.since {
		r.Start = v.back
	}
	return r
}

// keepKey counts the keys of the last txns, to know how much of the work asks for each.
func (s *Scheduler) keepKey(hash uint32) {
	s.keys = append(s.keys, hash)
	s.asked[hash]++
	if len(s.keys) > costsKept {
		if s.asked[s.keys[0]]--; s.asked[s.keys[0]] == 0 {
			delete(s.asked, s.keys[0])
		}
		s.keys = s.keys[1:]
	}
}

func (s *Scheduler) posting(ref string, no int) *posting {
	t := s.txns[ref]
	if t == nil || no < 0 || no >= len(t.posts) {
		return nil
	}
	return t.posts[no]
}

func (s *Scheduler) report(w *worker, load Load) {
	if load.Free >= 0 {
		w.free, w.ownThen = load.Free, len(w.own)
		s.touch(w)
	}
}

// Heard takes a peer's message: its postings in flight by worker.
func (s *Scheduler) Heard(now float64, from int, body []byte) {
	if s.thin() {
		for ; len(body) >= 3; body = body[3:] {
			at := int(body[2] &^ settledMark)
			for _, w := range s.list {
				if uint16(w.hash) != binary.BigEndian.Uint16(body) || at >= len(s.terms.Schemes) {
					continue
				}
				scheme := s.terms.Schemes[at].Name
				if body[2]&settledMark == 0 {
					s.failing(now, w, scheme, false, false)
				} else {
					delete(w.ill, scheme)
				}
				// What two others have told, or one that it settled, all know.
				s.news = slices.DeleteFunc(s.news, func(n news) bool {
					return n.w == w && n.scheme == scheme && (w.ill[scheme].bad > 2 || body[2]&settledMark != 0)
				})
			}
		}
		return
	}
	said, part := map[uint16]int{}, len(body) >= mostBytes
	var first, last uint16
	for ; len(body) >= 3; body = body[3:] {
		if last = binary.BigEndian.Uint16(body); len(said) == 0 {
			first = last
		}
		said[last] = int(body[2])
	}
	for _, w := range s.list {
		if part && uint16(w.hash)-first > last-first {
			continue // this message says nothing of it
		}
		if n := said[uint16(w.hash)]; n != w.peers[from] {
			if w.peers == nil {
				w.peers = map[int]int{}
			}
			w.told += n - w.peers[from]
			w.peers[from] = n
			s.touch(w)
		}
	}
	s.heardAt[from] = now
}

// outs is what a message tells of own postings in flight, by worker in the order of their hashes. Where workers
// are more than it holds it tells of a part of the circle of hashes, from its first entry to its last, and the
// next message goes on from there: those at the list's end were never told of.
func (s *Scheduler) outs() (body []byte) {
	var busy []*worker
	for _, w := range s.list {
		if len(w.own) > 0 {
			busy = append(busy, w)
		}
	}
	put := func(hash uint16, n int) {
		body = append(binary.BigEndian.AppendUint16(body, hash), byte(min(n, 255)))
	}
	const most = mostBytes / 3
	from, n := uint16(0), len(busy)
	if part := n >= most; part {
		from, n = s.toldTo+1, most-1
		put(from, 0)
	}
	slices.SortFunc(busy, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(uint16(a.hash)-from, uint16(b.hash)-from), cmp.Compare(a.place, b.place))
	})
	for _, w := range busy[:n] {
		put(uint16(w.hash), len(w.own))
		s.toldTo = uint16(w.hash)
	}
	return body
}

// forget drops what a peer said that has been silent for long: it was killed, and its postings end unseen.
func (s *Scheduler) forget(now float64) {
	for from, at := range s.heardAt {
		if now > at+30*s.tellGap() {
			delete(s.heardAt, from)
			for _, w := range s.list {
				if n := w.peers[from]; n > 0 {
					w.told -= n
					s.touch(w)
				}
				delete(w.peers, from)
			}
		}
	}
}

// known counts the postings in flight at a worker, own ones and those that peers have told of.
func (w *worker) known() int {
	return len(w.own) + w.told
}

// carried is how many own postings, at the pace of their hints, ran here together half of the time; 1 where few did. A
// higher quantile picks the hints that are off: the 0.75 one overstates by 1.4 where these vary by a factor of e^0.5.
func (w *worker) carried() float64 {
	if w.runs.n < runsNeeded {
		return 1
	}
	return min(w.runs.at(0.5, 1), float64(w.most))
}

// Gone tells that a client has left, or that its txn is over.
func (s *Scheduler) Gone(now float64, ref string) {
	if t := s.txns[ref]; t != nil {
		s.end(t)
	}
}

// Stops tells that this scheduler ends by a time: a txn that waited for its own expiry would be lost with it.
func (s *Scheduler) Stops(by float64) {
	s.stopAt = by
	for _, t := range s.txns {
		t.due, t.until = min(t.due, by), min(t.until, by)
	}
	for _, t := range s.held.all {
		if t != nil {
			s.hold(t)
		}
	}
}

// Yields tells that another process of this scheduler may send to cold workers, and speaks to peers, instead
// of this one: both together have one scheduler's part.
func (s *Scheduler) Yields() { s.coldAt, s.yields = math.Inf(1), true }

// Leads tells that this process may from now on.
func (s *Scheduler) Leads(now float64) { s.coldAt, s.ledAt, s.yields = now+s.terms.Fall, now, false }

func (s *Scheduler) end(t *txn) {
	if t.over {
		return
	}
	t.over = true
	s.held.drop(t)
	if t.out > 0 {
		s.excess = append(s.excess, t)
	} else {
		delete(s.txns, t.Ref)
	}
}

// trip measures how long the way to a worker and back is: the least that one took, and slowly more again where
// all take more. Waits and pauses only add to it.
func (s *Scheduler) trip(now float64, p *posting) {
	way := &s.far
	if p.w.Zone == s.terms.Zone {
		way = &s.near
	}
	if took := now - p.at; *way == 0 || took < *way {
		*way = took
	} else {
		*way += (took - *way) / 100
	}
}

// learn keeps what is to be told among many. Where nothing is told it is dropped, and of more than a message holds
// the oldest: it would only grow.
func (s *Scheduler) learn(now float64, n news) {
	if s.thin() && s.terms.Messages && !s.yields && s.pays(now) {
		s.news = append(s.news, n)[max(0, len(s.news)+1-mostBytes/3):]
	}
}
