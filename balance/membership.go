package balance

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"

	"shalebeam/balance/slowstart"
)

// The list of workers and the operators' withdrawals: inputs that only update state. No decisions are made here.

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
		if s.applyRow(row) {
			markAll = true
		}
	}
	s.dropUnlisted(now, previous)
	s.indexList(now, markAll)
	s.rankingStale = true
	if s.firstListAt < 0 {
		s.noteFirstList(now)
	}
}

// applyRow applies one worker's row of the list. It reports whether that changes the load of all workers.
func (s *Scheduler) applyRow(row Listed) (changesAll bool) {
	effective := s.applyWithdrawal(row)
	w := s.workersByID[effective.ID]
	if w == nil && effective.State == Removed {
		return false
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
		s.maxWeights[effective.Kind], changesAll = effective.Weight, true
	}
	s.markDirty(w)
	w.Listed, w.asListed, w.idHash = effective, row, crc32.ChecksumIEEE([]byte(effective.ID))
	if effective.State != Removed && !w.inList {
		s.list = append(s.list, w)
	}
	w.inList = effective.State != Removed
	return changesAll
}

// dropUnlisted drops those of the workers listed before that are not in the list any more.
func (s *Scheduler) dropUnlisted(now float64, previous []*worker) {
	for _, w := range previous {
		if w.inList {
			continue
		}
		s.markDirty(w)
		w.peerInFlight, w.peerInFlightSum = nil, 0 // peers' messages tell them again once it is back
		if len(w.inFlight) == 0 {
			s.forgetWorker(now, w)
		}
	}
	s.list = slices.DeleteFunc(s.list, func(w *worker) bool { return !w.inList })
	s.dropUnrankedDirty()
	maps.DeleteFunc(s.formerSendLogs, func(_ string, log slowstart.SendLog) bool { return !s.sentInWindow(now, log) })
}

// indexList numbers the listed workers, and finds those that are running or in slow start.
func (s *Scheduler) indexList(now float64, markAll bool) {
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
}

// noteFirstList prepares for the first list of workers since this process's start.
func (s *Scheduler) noteFirstList(now float64) {
	s.firstListAt = now
	// What this scheduler sent before its own restart is unknown to it, and still counts in the slow-start window.
	s.slowStartFrom = max(s.slowStartFrom, now+s.terms.SlowStartWindowMs)
	if s.listValidUntil > now {
		// There is a valid list to begin with, so the watch can wait for this scheduler's turn.
		s.nextWatchAt = now + s.watchSpreadMs()*s.turnFraction()
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

// dropUnrankedDirty removes from the dirty workers those that left the list and are not ranked: the next ranking has
// nothing to do for them, and without txns it may never come.
func (s *Scheduler) dropUnrankedDirty() {
	s.dirty = slices.DeleteFunc(s.dirty, func(w *worker) bool {
		w.dirty = w.inList || w.ranked
		return !w.dirty
	})
}

// SetListValidUntil sets until when, in ms, the list may be relied on. After that a worker that the list shows as
// running may be draining, so nothing is posted until a later time is set. A caller that never calls it guarantees
// that its list is always valid.
func (s *Scheduler) SetListValidUntil(until float64) { s.listValidUntil = until }

// Listing returns the row that the list gave last for a worker, and whether the worker is in the list.
func (s *Scheduler) Listing(id string) (row Listed, ok bool) {
	w := s.workersByID[id]
	if w == nil || !w.inList {
		return Listed{}, false
	}
	return w.asListed, true
}

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
