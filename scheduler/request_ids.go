package scheduler

import (
	"time"

	"shalebeam/balance"
	"shalebeam/scheduler/requestid"
)

const (
	// How long an id is remembered after its txn ended, in ms. Clients give each request a new id, so one that comes again is a
	// mistake or a duplicate, however late.
	idRetentionMs = 300e3
	// 1/64 of the memory is for remembered ids.
	idMemoryDivisor = 64
	// How often, and after which waits, the lock of the table of ids is tried. The other process holds it for some microseconds.
	idLockAttempts = 40
	idLockWait     = 100 * time.Microsecond
	// idTableSuffix is appended to handover.recordsPath for the name of the table of ids.
	idTableSuffix = ".ids"
)

// requestIDs holds which ids must not be taken as new requests: those of open txns are in driver.txns, and those of txns that have
// ended, but may have run at a worker, are here. While there are other processes of this scheduler, all of these stand also in a
// table that the processes share, so that an id which one process knows is not taken by another.
type requestIDs struct {
	s        *Scheduler
	used     *requestid.Set
	table    *requestid.Table // nil while this process is alone, or if there is no table
	loggedAt float64          // when a failure of the table was last logged, in ms
}

// idClaim says whether an id may be taken as that of a new request.
type idClaim int

const (
	idFree    idClaim = iota // it is taken now
	idInUse                  // its request is open, or may have run
	idUnknown                // the table can't be read or written for now, or another process is yet to fill in its ids
)

func (r *requestIDs) init(s *Scheduler) {
	*r = requestIDs{s: s, used: requestid.NewSet(s.memoryLimitBytes() / idMemoryDivisor)}
}

// monotonicMs converts a time of this process's clock to the machine's monotonic clock, on which the table's times are.
func (r *requestIDs) monotonicMs(ms float64) float64 { return ms - r.s.clock.bootOffsetMs }

// claim takes the id of a new request, which ends at deadline if not sooner.
func (r *requestIDs) claim(ref string, deadline float64) idClaim {
	now, hash := r.s.now(), requestid.HashOf(ref)
	if r.s.driver.txns[ref] != nil || r.used.Contains(hash, now) {
		return idInUse
	}
	if r.table == nil {
		return idFree
	}
	if r.s.handover.isLockedByOther(lockUnsharedIDs) {
		return idUnknown // that process stands still, or it would have filled them in before this one began to serve
	}
	claimed, err := r.table.Claim(r.tableEntry(hash, deadline+idRetentionMs), r.monotonicMs(now))
	switch {
	case err != nil:
		r.logFailure(err)
		return idUnknown
	case !claimed:
		return idInUse
	}
	return idFree
}

// adopt records the id of a txn that was taken over from another process: one of an older build has not put it into the table.
func (r *requestIDs) adopt(t *txn) {
	if r.table == nil {
		return
	}
	entry := r.tableEntry(requestid.HashOf(t.ref), t.deadline+idRetentionMs)
	if err := r.table.Put([]requestid.Entry{entry}, r.monotonicMs(r.s.now())); err != nil {
		r.logFailure(err)
	}
}

// ended is called when a txn is deleted. Its id is remembered if its request may have run, and either must not run twice or has
// lost its client, which may not know of that. Else the id is free again. The id of a txn that another process has taken over stays
// in the table.
func (r *requestIDs) ended(t *txn) {
	if t.transferred {
		return
	}
	hash := requestid.HashOf(t.ref)
	if t.mayHaveRun && (t.clientLeft || t.request.scheme.Effect != balance.Repeatable) {
		r.used.Add(requestid.Entry{Hash: hash, UntilMs: r.s.now() + idRetentionMs})
		return
	}
	if r.table == nil {
		return
	}
	if err := r.table.Release(hash); err != nil {
		r.logFailure(err)
	}
}

// sweep forgets ids that have been remembered for long enough.
func (r *requestIDs) sweep(now float64) { r.used.Expire(now) }

// share opens the table, and puts into it all ids that this process knows. If it can't be opened, each process knows its own ids
// only; if it can't be written yet, the next call tries again.
func (r *requestIDs) share() {
	if r.table != nil || r.s.clock.bootOffsetMs == 0 {
		return
	}
	table, err := requestid.OpenTable(r.s.handover.recordsPath+idTableSuffix, idTableLock{&r.s.handover})
	if err != nil {
		r.logFailure(err)
		return
	}
	if err := table.Put(r.known(), r.monotonicMs(r.s.now())); err != nil {
		r.logFailure(err)
		_ = table.Close()
		return
	}
	r.table = table
	r.s.handover.unlockByte(lockUnsharedIDs)
}

// known returns the table's entries for all ids that this process knows.
func (r *requestIDs) known() (all []requestid.Entry) {
	for _, e := range r.used.Entries() {
		all = append(all, r.tableEntry(e.Hash, e.UntilMs))
	}
	for ref, t := range r.s.driver.txns {
		if !t.transferred {
			all = append(all, r.tableEntry(requestid.HashOf(ref), t.deadline+idRetentionMs))
		}
	}
	return all
}

// unshare closes the table, as this process is alone now, and remembers what other processes have left in it.
func (r *requestIDs) unshare() {
	if r.table == nil {
		return
	}
	r.s.handover.lockByte(lockUnsharedIDs)
	left, err := r.table.Entries(r.monotonicMs(r.s.now()))
	if err != nil {
		r.logFailure(err)
	}
	for _, e := range left {
		r.used.Add(requestid.Entry{Hash: e.Hash, UntilMs: e.UntilMs + r.s.clock.bootOffsetMs})
	}
	_ = r.table.Clear() // its file may count as memory
	_ = r.table.Close()
	r.table = nil
}

func (r *requestIDs) tableEntry(hash requestid.Hash, untilMs float64) requestid.Entry {
	return requestid.Entry{Hash: hash, UntilMs: r.monotonicMs(untilMs)}
}

// logFailure logs that the table can't be used, once every logIntervalMs.
func (r *requestIDs) logFailure(err error) {
	if now := r.s.now(); now > r.loggedAt+logIntervalMs {
		r.loggedAt = now
		r.s.log.Printf("msg=handover state=ids_unknown err=%q", err)
	}
}

// idTableLock is the lock of the table of ids.
type idTableLock struct{ h *handover }

// Lock tries to get the lock for idLockAttempts times idLockWait.
func (l idTableLock) Lock() bool {
	for range idLockAttempts {
		if l.h.lockByte(lockRequestIDs) {
			return true
		}
		time.Sleep(idLockWait)
	}
	return false
}

// Unlock gives the lock back.
func (l idTableLock) Unlock() { l.h.unlockByte(lockRequestIDs) }
