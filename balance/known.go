package balance

import (
	"cmp"
	"math"
	"slices"
)

// How the module keeps what it knows, so that a decision need not go through all of it: who is ranked where, who
// failed lately, who is held until when, where the work lies. Nothing is decided here.

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
	i, _ := slices.BinarySearchFunc(s.waits, p.at, func(q *posting, at float64) int { return cmp.Compare(q.at, at) })
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

// rankingOf is the ranking of the workers that a row is open to. It is made once for all rows that are open alike.
func (s *Scheduler) rankingOf(row *SchemeRow) *ranking {
	for _, r := range s.ranks {
		if r.open.Zones == row.Zones && r.open.Kinds == row.Kinds {
			return r
		}
	}
	r := &ranking{no: len(s.ranks), open: SchemeRow{Zones: row.Zones, Kinds: row.Kinds}, draw: s.tie}
	s.ranks = append(s.ranks, r)
	if r.no > 0 {
		s.ranks[0].each(func(w *worker) bool {
			s.place(r, w)
			return false
		})
	}
	r.begin()
	return r
}

// place puts a worker in a ranking, where it belongs there.
func (s *Scheduler) place(r *ranking, w *worker) {
	for len(w.slots) < len(s.ranks) {
		w.slots = append(w.slots, -1)
	}
	if r.open.Open(w.rankZone, w.rankKind) {
		r.put(w)
	}
}

// tie orders those of equal load: the draw that belongs to this ranking and the place in the list.
func (s *Scheduler) tie(w *worker) uint32 { return s.draw(s.salt + w.place) }

// rerank takes the workers touched since the last ranking to where they now belong.
func (s *Scheduler) rerank(now float64) {
	s.forget(now)
	s.turns, s.running = s.turns[:0], s.live
	s.salt, s.draws = s.draws, s.draws+uint32(len(s.list))
	s.young = slices.DeleteFunc(s.young, func(w *worker) bool {
		// A cold worker is ready only in this scheduler's turn.
		cold := s.cold(now, w) && w.here
		if w.mine = false; cold && w.State == Running && s.terms.Peers > 1 {
			if _, w.mine = s.turn(now, w); w.mine {
				s.turns = append(s.turns, w)
			}
		}
		s.touch(w)
		return !cold
	})
	for _, w := range s.touched {
		w.touched = false
		ready := w.here && w.State == Running && (w.mine || s.terms.Peers <= 1 || !s.cold(now, w))
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
	s.since, s.stale, s.rankAt = 0, false, now
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

func place(crowded bool) int {
	if crowded {
		return 1
	}
	return 0
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

// untold are postings that have not begun, where beginnings are told: elsewhere that says nothing.
func (s *Scheduler) untold() []*posting {
	if !s.terms.TellsStart {
		return nil
	}
	return s.waits
}

// doubted goes through the listed workers that a probe may be for: those that failed lately, and those where a
// posting has not begun.
func (s *Scheduler) doubted(now float64, f func(w *worker)) {
	s.sick = slices.DeleteFunc(s.sick, func(w *worker) bool {
		w.sick = w.here && (w.fails > 0 || w.bad > 0 || now < max(w.aside, w.badTill))
		return !w.sick
	})
	if !s.terms.Probes {
		return
	}
	for _, w := range s.sick {
		f(w)
	}
	for _, p := range s.untold() {
		if p.w.here {
			f(p.w)
		}
	}
}

func (s *Scheduler) keepCost(c float64) {
	b := uint8(min(max(int(math.Log2(max(c, 1e-3))*binsPerDouble)+40, 0), numBins-1))
	if len(s.costs) < costsKept {
		s.costs = append(s.costs, b)
	} else {
		s.bins[s.costs[s.costAt]]--
		s.costs[s.costAt] = b
		s.costAt = (s.costAt + 1) % costsKept
	}
	s.bins[b]++
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
