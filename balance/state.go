package balance

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// The inputs that only update state, and the helpers that keep the state in a form in which a decision need not
// scan all of it. No decisions are made here.

// markDirty marks a worker whose load, or whether it is ranked, may have changed.
func (s *Scheduler) markDirty(w *worker) {
	if !w.dirty {
		w.dirty = true
		s.dirty = append(s.dirty, w)
	}
}

// recordFull records that a worker was observed to be full.
func (s *Scheduler) recordFull(now float64, w *worker) {
	w.lastFullAt, w.inFlightWhenFull = now, w.knownInFlight()
	if s.fullEvents = append(s.fullEvents, fullEvent{w, now}); len(s.fullEvents) > 64+2*len(s.list) {
		s.fullEvents = slices.DeleteFunc(s.fullEvents, func(f fullEvent) bool { return !f.isLatest() })
	}
}

// addUnstarted adds a posting in flight to the unstarted ones.
func (s *Scheduler) addUnstarted(p *posting) {
	postedLater := func(i int) bool { return s.unstarted[i].postedAt > p.postedAt }
	s.unstarted = slices.Insert(s.unstarted, sort.Search(len(s.unstarted), postedLater), p)
	p.worker.unstarted++
	p.txn.unstarted++
	s.indexes[unstartedByArrival].set(p.txn.arrivedAt, p.txn)
}

// removeUnstarted removes a posting from the unstarted ones, if it is among them.
func (s *Scheduler) removeUnstarted(p *posting) {
	i, _ := slices.BinarySearchFunc(s.unstarted, p.postedAt,
		func(q *posting, at float64) int { return cmp.Compare(q.postedAt, at) })
	for ; i < len(s.unstarted) && s.unstarted[i].postedAt == p.postedAt; i++ {
		if s.unstarted[i] == p {
			s.unstarted = slices.Delete(s.unstarted, i, i+1)
			p.worker.unstarted--
			if p.txn.unstarted--; p.txn.unstarted == 0 {
				s.indexes[unstartedByArrival].remove(p.txn)
			}
			return
		}
	}
}

// markUnhealthy adds a worker to the unhealthy ones.
func (s *Scheduler) markUnhealthy(w *worker) {
	if !w.unhealthy {
		w.unhealthy = true
		s.unhealthy = append(s.unhealthy, w)
	}
}

// enqueue puts a txn in the queue, if it isn't there yet, and computes its give-up times anew: they change only
// with its postings in flight.
func (s *Scheduler) enqueue(t *txn) {
	s.queue.add(t)
	for i, overloaded := range []bool{false, true} {
		t.giveUpAt[i] = s.computeGiveUpTime(t, overloaded)
	}
	s.indexGiveUpTimes(t)
	if t.inFlight == 0 {
		s.indexes[queuedByArrival].set(t.arrivedAt, t)
	}
}

// indexGiveUpTimes puts a queued txn at its give-up times in their indexes. Times that change while it is queued are
// not indexed, see nextGiveUpAt.
func (s *Scheduler) indexGiveUpTimes(t *txn) {
	for i, at := range t.giveUpAt {
		if index := &s.indexes[i]; at < math.Inf(1) && !s.giveUpDependsOnQueues(t) {
			index.set(at, t)
		} else {
			index.remove(t)
		}
	}
}

// dequeue removes a txn from the queue and from the indexes of queued txns.
func (s *Scheduler) dequeue(t *txn) {
	s.queue.remove(t)
	for _, number := range []txnIndexNumber{byGiveUpTime, byOverloadGiveUp, queuedByArrival} {
		s.indexes[number].remove(t)
	}
}

// recordCost adds a hinted cost to the histogram, in place of the oldest one when it is full. Bin 40 begins at a
// cost of 1.
func (s *Scheduler) recordCost(c float64) {
	bin := uint8(min(max(int(math.Log2(max(c, 1e-3))*binsPerDoubling)+40, 0), numBins-1))
	if len(s.recentCosts) < recentCostCount {
		s.recentCosts = append(s.recentCosts, bin)
	} else {
		s.costSum -= binCosts[s.recentCosts[s.oldestCost]]
		s.binCounts[s.recentCosts[s.oldestCost]]--
		s.recentCosts[s.oldestCost] = bin
		s.oldestCost = (s.oldestCost + 1) % recentCostCount
	}
	s.costSum += binCosts[bin]
	s.binCounts[bin]++
}

// meanWork returns what a request costs in the mean.
func (s *Scheduler) meanWork() float64 {
	hinted := 0.0
	if n := len(s.recentCosts); n > 0 {
		hinted = s.costSum / float64(n)
	}
	if mean := s.workStats.Mean(hinted); mean > 0 {
		return mean
	}
	return defaultWorkMs
}

// binCosts holds the cost in the middle of each histogram bin.
var binCosts = func() (c [numBins]float64) {
	for b := range c {
		c[b] = math.Exp2((float64(b-40) + 0.5) / binsPerDoubling)
	}
	return c
}()

// medianCost returns the median of the recent costs, 1 if there are none.
func (s *Scheduler) medianCost() float64 {
	n := 0
	for bin, count := range s.binCounts {
		n += count
		if count > 0 && 2*n >= len(s.recentCosts) {
			return binCosts[bin]
		}
	}
	return 1
}

// recordKey counts the keys of the last txns, to know each key's share of the work.
func (s *Scheduler) recordKey(hash uint32) {
	s.recentKeys = append(s.recentKeys, hash)
	s.keyCounts[hash]++
	if len(s.recentKeys) > recentCostCount {
		if s.keyCounts[s.recentKeys[0]]--; s.keyCounts[s.recentKeys[0]] == 0 {
			delete(s.keyCounts, s.recentKeys[0])
		}
		s.recentKeys = s.recentKeys[1:]
	}
}

// posting returns a posting of a txn by its number, or nil if it is not known.
func (s *Scheduler) posting(ref string, number int) *posting {
	t := s.txns[ref]
	if t == nil || number < 0 || number >= len(t.postings) {
		return nil
	}
	return t.postings[number]
}

// recordLoad records a worker's load report, if there is one.
func (s *Scheduler) recordLoad(w *worker, load Load) {
	if load.Free >= 0 {
		w.reportedFree, w.inFlightAtReport = load.Free, len(w.inFlight)
		s.markDirty(w)
	}
}

// knownInFlight returns the postings in flight at a worker: this scheduler's own, and those that peers reported.
func (w *worker) knownInFlight() int {
	return len(w.inFlight) + w.peerInFlightSum
}

// observedCapacity returns how many own postings ran here together, at the pace of their hints, in the median of
// the samples; 1 if there are too few samples. A higher quantile selects the hints that are wrong: the 0.75
// quantile overstates by a factor of 1.4 where hints vary by a factor of e^0.5.
func (w *worker) observedCapacity() float64 {
	if w.ownConcurrency.count < minRunSamples {
		return 1
	}
	return min(w.ownConcurrency.quantile(0.5, 1), float64(w.maxRunning))
}

// TxnClosed reports that a client has disconnected, or that its txn is closed.
func (s *Scheduler) TxnClosed(now float64, ref string) {
	if t := s.txns[ref]; t != nil {
		s.closeTxn(t)
	}
}

// StopAt sets when, in ms, this scheduler ends: a txn that waited for a later expiry would be lost with it.
func (s *Scheduler) StopAt(at float64) {
	s.stopAt = at
	for _, t := range s.txns {
		t.slaAt, t.expiresAt = min(t.slaAt, at), min(t.expiresAt, at)
	}
	for _, t := range s.queue.slots {
		if t != nil {
			s.enqueue(t)
		}
	}
}

// YieldLead reports that another process of this scheduler now leads: only that process sends to workers in slow
// start and messages peers, so that both together use one scheduler's quota.
func (s *Scheduler) YieldLead() { s.slowStartFrom, s.yielded = math.Inf(1), true }

// TakeLead reports that this process leads from now on. It waits for one slow-start window first, as postings of
// the former leader still count.
func (s *Scheduler) TakeLead(now float64) {
	s.slowStartFrom, s.leadingSince, s.yielded = now+s.terms.SlowStartWindowMs, now, false
}

// closeTxn closes a txn. Its postings in flight are to be cancelled.
func (s *Scheduler) closeTxn(t *txn) {
	if t.closed {
		return
	}
	t.closed = true
	s.dequeue(t)
	if t.inFlight > 0 {
		s.cancelCandidates = append(s.cancelCandidates, t)
	} else {
		delete(s.txns, t.Ref)
	}
}

// recordRoundTrip estimates the round trip to a worker from a posting that was turned away. Delays only add to
// the round trip, so a lower measurement replaces the estimate at once and a higher one raises it slowly.
func (s *Scheduler) recordRoundTrip(now float64, p *posting) {
	roundTripMs := &s.crossZoneRoundTripMs
	if p.worker.Zone == s.terms.Zone {
		roundTripMs = &s.sameZoneRoundTripMs
	}
	if elapsedMs := now - p.postedAt; *roundTripMs == 0 || elapsedMs < *roundTripMs {
		*roundTripMs = elapsedMs
	} else {
		*roundTripMs += (elapsedMs - *roundTripMs) / 100
	}
}
