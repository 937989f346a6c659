package audit

import "shalebeam/balance"

// This file decides when a change of the list of workers counts as known to a scheduler. It follows the operators'
// pages alone, not what a scheduler believes or how its code works.
//
//   - A change counts as known when discovery has written it to the scheduler.
//   - If the scheduler's watch has fallen silent, a change that was not written counts 6 s after the watch fell silent
//     or, if that is later, 2 s after the end of the wait of the watch's call. If the scheduler was told of a new address
//     of discovery, a change counts 4 s after that. In both cases a change made after that time counts at once, until an
//     answer is written.
//   - If the scheduler has no watch, a change that it was not told of, also one from before its process began, counts
//     after Terms.KnownWithoutWatchMs, from when the change was made or, if that is later, from the scheduler's last call, but at
//     the latest 6 s after the change was made. While discovery is down no change counts in this way, and the times run
//     anew from when it is back.
//
// Times are milliseconds.
const (
	silentKnownMs     = 6000.0 // after a watch fell silent, or after a change was made
	afterCallWaitMs   = 2000.0 // after the end of the wait of a silent watch's call
	newAddressKnownMs = 4000.0 // after a scheduler was told of a new address
)

// change is one change of a worker's entry in the list.
type change struct {
	at    float64
	seq   int // version of the list that has it
	state balance.State
	start float64 // when the worker last started
}

// watch is the state of a scheduler's connection to discovery, as far as discovery sees it.
type watch struct {
	seq        int     // last version of the list that was written to the scheduler
	on         bool    // a watch is established
	calledAt   float64 // of the scheduler's last call
	allKnownAt float64 // from then on every change counts as known; below 0: it does not
}

// Changed reports that discovery has made a change of a worker's entry, in version seq of the list.
func (a *Auditor) Changed(at float64, seq int, worker string, state balance.State, start float64) {
	a.changes[worker] = append(a.changes[worker], change{at, seq, state, start})
}

// ProcessStarted reports that a scheduler's process starts with version seq of the list.
func (a *Auditor) ProcessStarted(at float64, sched string, seq int) {
	a.watches[sched] = &watch{seq: seq, calledAt: at, allKnownAt: -1}
}

// DiscoveryCalled reports that a scheduler called discovery: with anew for a new watch, else to renew its watch.
func (a *Auditor) DiscoveryCalled(at float64, sched string, anew bool) {
	if w := a.watches[sched]; w != nil {
		w.calledAt, w.on = at, w.on && !anew
	}
}

// ListWritten reports that discovery wrote all changes up to version seq to a scheduler. An answer from a former address of
// discovery does not end the watch's silence.
func (a *Auditor) ListWritten(sched string, seq int, former bool) {
	if w := a.watches[sched]; w != nil {
		if w.seq = max(w.seq, seq); !former {
			w.on, w.allKnownAt = true, -1
		}
	}
}

// WatchEnded reports that a scheduler's watch ended, or that a call for one failed.
func (a *Auditor) WatchEnded(sched string) {
	if w := a.watches[sched]; w != nil {
		w.on = false
	}
}

// WatchSilent reports that a scheduler's watch fell silent. Its call was made at called and may wait for wait ms.
func (a *Auditor) WatchSilent(at float64, sched string, called, wait float64) {
	a.knowsAllFrom(sched, max(at+silentKnownMs, called+wait+afterCallWaitMs))
}

// AddressChanged reports that a scheduler was told of a new address of discovery.
func (a *Auditor) AddressChanged(at float64, sched string) {
	a.knowsAllFrom(sched, at+newAddressKnownMs)
}

// knowsAllFrom has every change count as known to a scheduler from a time on, or from an earlier one if that is set.
func (a *Auditor) knowsAllFrom(sched string, at float64) {
	if w := a.watches[sched]; w != nil && (w.allKnownAt < 0 || at < w.allKnownAt) {
		w.allKnownAt = at
	}
}

// DiscoveryDown reports that discovery went down or came back.
func (a *Auditor) DiscoveryDown(at float64, down bool) {
	if a.discoveryDown = down; !down {
		a.discoveryUpAt = at
	}
}

// presumedKnown returns the last change of a worker that counts as known to a scheduler though discovery did not write
// it, and since when it counts.
func (a *Auditor) presumedKnown(at float64, sched, worker string) (c change, knownAt float64, ok bool) {
	w, all := a.watches[sched], a.changes[worker]
	if w == nil {
		return c, 0, false
	}
	for i := len(all) - 1; i >= 0 && all[i].seq > w.seq; i-- {
		if w.allKnownAt >= 0 && at >= max(w.allKnownAt, all[i].at) {
			return all[i], max(w.allKnownAt, all[i].at), true
		}
		knownAt := min(max(all[i].at, w.calledAt, a.discoveryUpAt)+a.terms.KnownWithoutWatchMs, max(all[i].at, a.discoveryUpAt)+silentKnownMs)
		if a.terms.KnownWithoutWatchMs > 0 && !w.on && !a.discoveryDown && at >= knownAt {
			return all[i], knownAt, true
		}
	}
	return c, 0, false
}
