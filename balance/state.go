package balance

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"sort"

	"shalebeam/balance/slowstart"
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

// dropUnrankedDirty removes from the dirty workers those that left the list and are not ranked: the next ranking has
// nothing to do for them, and without txns it may never come.
func (s *Scheduler) dropUnrankedDirty() {
	s.dirty = slices.DeleteFunc(s.dirty, func(w *worker) bool {
		w.dirty = w.inList || w.ranked
		return !w.dirty
	})
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

// ListChanged applies the worker list: the whole list, or only the rows that changed.
func (s *Scheduler) ListChanged(now float64, whole bool, rows []Listed) {
	if !whole && len(rows) == 0 {
		// no change: if each renewal of a watch led to a new ranking, tie breaks would change between any two
		// txns
		return
	}
	previous, markAll := s.list, whole
	if whole {
		for _, w := range previous {
			w.inList = false
		}
		s.list = nil
	}
	for _, row := range rows {
		effective := s.applyWithdrawal(row)
		w := s.workersByID[effective.ID]
		if w == nil && effective.State == Removed {
			continue
		}
		if w == nil {
			w = s.newWorker(effective.ID)
			s.workersByID[effective.ID] = w
		}
		if w.Start != effective.Start {
			// What was learned about the process before its restart does not apply to the new process.
			*w = worker{inList: w.inList, inFlight: w.inFlight, unstarted: w.unstarted, slowStartLog: w.slowStartLog,
				reportedFree: -1, lastFullAt: math.Inf(-1), concurrencyLimit: math.MaxInt, maxRunning: w.maxRunning,
				ranked: w.ranked, groupIndexes: w.groupIndexes, rankLoad: w.rankLoad,
				rankZone: w.rankZone, rankKind: w.rankKind, dirty: w.dirty, unhealthy: w.unhealthy}
		}
		if s.terms.WeightShowsLoad && effective.Weight > s.maxWeights[effective.Kind] {
			s.maxWeights[effective.Kind], markAll = effective.Weight, true
		}
		s.markDirty(w)
		w.Listed, w.asListed, w.idHash = effective, row, crc32.ChecksumIEEE([]byte(effective.ID))
		if effective.State != Removed && !w.inList {
			s.list = append(s.list, w)
		}
		w.inList = effective.State != Removed
	}
	for _, w := range previous {
		if !w.inList {
			s.markDirty(w)
			w.peerInFlight, w.peerInFlightSum = nil, 0 // peers' messages tell them again once it is back
			if len(w.inFlight) == 0 {
				s.forgetWorker(now, w)
			}
		}
	}
	s.list = slices.DeleteFunc(s.list, func(w *worker) bool { return !w.inList })
	s.dropUnrankedDirty()
	maps.DeleteFunc(s.formerSendLogs, func(_ string, log slowstart.SendLog) bool { return !s.sentInWindow(now, log) })
	for _, w := range s.slowStartCandidates {
		s.markDirty(w) // it may be out of slow start by now
	}
	s.runningWorkers, s.slowStartCandidates = 0, s.slowStartCandidates[:0]
	for i, w := range s.list {
		if w.listIndex = uint32(i); markAll {
			s.markDirty(w)
		}
		if w.State == Running {
			s.runningWorkers++
		}
		if s.inSlowStart(now, w) {
			s.slowStartCandidates = append(s.slowStartCandidates, w)
		}
	}
	s.rankingStale = true
	if s.firstListAt < 0 {
		s.firstListAt = now
		// What this scheduler sent before its own restart is unknown to it, and still counts in the slow-start
		// window.
		s.slowStartFrom = max(s.slowStartFrom, now+s.terms.SlowStartWindowMs)
		if s.listValidUntil > now {
			// There is a valid list to begin with, so the watch can wait for this scheduler's turn.
			s.nextWatchAt = now + s.watchSpreadMs()*s.turnFraction()
		}
	}
}

// newWorker returns the state of a worker of which nothing is known but what it was sent while in slow start, if it was
// forgotten within the window.
func (s *Scheduler) newWorker(id string) *worker {
	return &worker{Listed: Listed{ID: id, State: Removed}, reportedFree: -1, lastFullAt: math.Inf(-1),
		concurrencyLimit: math.MaxInt, slowStartLog: s.formerSendLogs[id]}
}

// forgetWorker forgets a worker that is not in the list and has nothing in flight. It may come back in slow start, and
// what it was sent still counts then.
func (s *Scheduler) forgetWorker(now float64, w *worker) {
	delete(s.workersByID, w.ID)
	if s.sentInWindow(now, w.slowStartLog) {
		s.formerSendLogs[w.ID] = w.slowStartLog
	}
}

// sentInWindow reports whether a log has requests of the slow-start window that ends now.
func (s *Scheduler) sentInWindow(now float64, log slowstart.SendLog) bool {
	return log.Within(now, s.terms.SlowStartWindowMs).Requests > 0
}

// SetListValidUntil sets until when, in ms, the list may be relied on. After that a worker that the list shows as
// running may be draining, so nothing is posted until a later time is set. A caller that never calls it guarantees
// that its list is always valid.
func (s *Scheduler) SetListValidUntil(until float64) { s.listValidUntil = until }

// Withdrawn reports that operators withdrew a worker: it counts as draining, whatever the list says, until
// Returned.
func (s *Scheduler) Withdrawn(now float64, id string) {
	v := s.withdrawals[id]
	if v == nil {
		s.dropPastWithdrawals(now)
		v = &withdrawal{}
		s.withdrawals[id] = v
	}
	v.withdrawn, v.withdrawnAt = true, now
	s.reapplyListing(now, id)
}

// Returned reports that operators put a worker back into service.
func (s *Scheduler) Returned(now float64, id string) {
	if v := s.withdrawals[id]; v != nil && v.withdrawn {
		v.withdrawn, v.returnedAt = false, now
		s.reapplyListing(now, id)
	}
}

// dropPastWithdrawals forgets withdrawals that no longer change anything: those of workers that were returned, have
// left the list, and would be out of slow start by now.
func (s *Scheduler) dropPastWithdrawals(now float64) {
	maps.DeleteFunc(s.withdrawals, func(id string, v *withdrawal) bool {
		w := s.workersByID[id]
		listed := w != nil && w.inList
		return !v.withdrawn && !listed && now >= v.returnedAt+s.terms.SlowStartMs
	})
}

// reapplyListing applies a worker's row of the list again after a change of its withdrawal.
func (s *Scheduler) reapplyListing(now float64, id string) {
	if w := s.workersByID[id]; w != nil && w.inList {
		s.ListChanged(now, false, []Listed{w.asListed})
	}
}

// applyWithdrawal returns a worker's row of the list as changed by the operators' withdrawal. A returned worker
// is in slow start from then on, as the list may show its restart late.
func (s *Scheduler) applyWithdrawal(r Listed) Listed {
	v := s.withdrawals[r.ID]
	if v == nil {
		return r
	}
	if v.withdrawn && r.State == Running {
		r.State = Draining
	}
	if v.returnedAt > 0 && r.Start <= v.withdrawnAt {
		r.Start = v.returnedAt
	}
	return r
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

// MessageReceived takes a peer's message. It is a sequence of 3-byte entries, each of the low 16 bits of the worker's hash
// and one byte: the peer's postings in flight there or, with many schedulers, the index of a scheme that failed
// there, with settledFlag set if it has settled there again.
func (s *Scheduler) MessageReceived(now float64, from int, body []byte) {
	if s.manySchedulers() {
		for ; len(body) >= 3; body = body[3:] {
			schemeIndex := int(body[2] &^ settledFlag)
			for _, w := range s.list {
				if uint16(w.idHash) != binary.BigEndian.Uint16(body) || schemeIndex >= len(s.terms.Schemes) {
					continue
				}
				scheme := s.terms.Schemes[schemeIndex].Name
				if body[2]&settledFlag == 0 {
					s.recordSchemeFailure(now, w, scheme, false, false)
				} else {
					delete(w.failuresByScheme, scheme)
				}
				// No more need be sent about a failure that two peers have reported, or a recovery that one has.
				s.pendingReports = slices.DeleteFunc(s.pendingReports, func(n schemeReport) bool {
					return n.worker == w && n.scheme == scheme &&
						(w.failuresByScheme[scheme].count > 2 || body[2]&settledFlag != 0)
				})
			}
		}
		return
	}
	counts, partial := map[uint16]int{}, len(body) >= maxMessageBytes
	var first, last uint16
	for ; len(body) >= 3; body = body[3:] {
		if last = binary.BigEndian.Uint16(body); len(counts) == 0 {
			first = last
		}
		counts[last] = int(body[2])
	}
	for _, w := range s.list {
		if partial && uint16(w.idHash)-first > last-first {
			continue // the message does not cover this worker
		}
		if n := counts[uint16(w.idHash)]; n != w.peerInFlight[from] {
			if w.peerInFlight == nil {
				w.peerInFlight = map[int]int{}
			}
			w.peerInFlightSum += n - w.peerInFlight[from]
			w.peerInFlight[from] = n
			s.markDirty(w)
		}
	}
	s.peerHeardAt[from] = now
}

// inFlightMessage returns a message with this scheduler's postings in flight by worker, in the order of the
// workers' hashes. If more workers are busy than it can hold, it covers the section of the hash ring from its
// first entry to its last, and the next message continues from there: otherwise peers never learned of the
// workers at the end of the list.
func (s *Scheduler) inFlightMessage() (body []byte) {
	var busy []*worker
	for _, w := range s.list {
		if len(w.inFlight) > 0 {
			busy = append(busy, w)
		}
	}
	addEntry := func(hash uint16, n int) {
		body = append(binary.BigEndian.AppendUint16(body, hash), byte(min(n, 255)))
	}
	const maxEntries = maxMessageBytes / 3
	from, n := uint16(0), len(busy)
	if partial := n >= maxEntries; partial {
		from, n = s.lastHashSent+1, maxEntries-1
		addEntry(from, 0)
	}
	slices.SortFunc(busy, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(uint16(a.idHash)-from, uint16(b.idHash)-from), cmp.Compare(a.listIndex, b.listIndex))
	})
	for _, w := range busy[:n] {
		addEntry(uint16(w.idHash), len(w.inFlight))
		s.lastHashSent = uint16(w.idHash)
	}
	return body
}

// dropSilentPeers forgets the postings of peers that have not been heard for long: such a peer was killed, and
// nothing reports the end of its postings.
func (s *Scheduler) dropSilentPeers(now float64) {
	for from, at := range s.peerHeardAt {
		if now > at+30*s.messageGapMs() {
			delete(s.peerHeardAt, from)
			for _, w := range s.list {
				if n := w.peerInFlight[from]; n > 0 {
					w.peerInFlightSum -= n
					s.markDirty(w)
				}
				delete(w.peerInFlight, from)
			}
		}
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

// queueReport queues a report for the peers (many schedulers only). Where it won't be sent it is dropped, and of
// more reports than a message holds the oldest is: otherwise the queue would only grow.
func (s *Scheduler) queueReport(now float64, n schemeReport) {
	if s.manySchedulers() && s.terms.Messages && !s.yielded && s.reportPaysOff(now) {
		s.pendingReports = append(s.pendingReports, n)[max(0, len(s.pendingReports)+1-maxMessageBytes/3):]
	}
}
