package audit

import "shalebeam/balance"

// When a change of the list counts as told, by the operators' pages alone: what a scheduler believes, and the code by
// which it does, have no part in it. A change counts when discovery has written it. One that a watch missed since it
// fell silent counts 6 s after that, or 2 s after the wait of its call if that is later; one that discovery has when
// a scheduler is told of a new address 4 s after that; in both cases all that changes from then on counts at once,
// until an answer is written. One that a scheduler without a watch has not been told, also one from before its process
// began, counts after the settings' time for asking, from when it was made or from the last call if that is later, and 6 s
// after it was made in any case; while discovery is down not at all, and counted anew when it is back.
const (
	silentFor  = 6000.0
	afterAWait = 2000.0
	movedFor   = 4000.0
)

// change is what became of a worker in the list.
type change struct {
	at    float64
	seq   int
	state balance.State
	start float64
}

// ear is how a scheduler is told.
type ear struct {
	seq   int // the last version that was written to it
	on    bool
	asked float64
	lost  float64 // from then on all counts as told; below 0: it does not
}

// Changed tells that discovery has a change.
func (a *Auditor) Changed(at float64, seq int, worker string, state balance.State, start float64) {
	a.changes[worker] = append(a.changes[worker], change{at, seq, state, start})
}

// Hears tells that a scheduler's process begins with the list of a version.
func (a *Auditor) Hears(at float64, sched string, seq int) {
	a.ears[sched] = &ear{seq: seq, asked: at, lost: -1}
}

// Asked tells that a scheduler called discovery: for a new watch, or to go on with one.
func (a *Auditor) Asked(at float64, sched string, anew bool) {
	if e := a.ears[sched]; e != nil {
		e.asked, e.on = at, e.on && !anew
	}
}

// Wrote tells that discovery wrote all up to a version to a scheduler. What a former address says ends no silence.
func (a *Auditor) Wrote(sched string, seq int, former bool) {
	if e := a.ears[sched]; e != nil {
		if e.seq = max(e.seq, seq); !former {
			e.on, e.lost = true, -1
		}
	}
}

// Unwatched tells that a scheduler's watch ended, or a call for one failed.
func (a *Auditor) Unwatched(sched string) {
	if e := a.ears[sched]; e != nil {
		e.on = false
	}
}

// Muted tells that a scheduler's watch fell silent; its call was made at a time and may wait so long.
func (a *Auditor) Muted(at float64, sched string, called, wait float64) {
	a.loses(sched, max(at+silentFor, called+wait+afterAWait))
}

// Moved tells that a scheduler was told of a new address of discovery.
func (a *Auditor) Moved(at float64, sched string) { a.loses(sched, at+movedFor) }

func (a *Auditor) loses(sched string, at float64) {
	if e := a.ears[sched]; e != nil && (e.lost < 0 || at < e.lost) {
		e.lost = at
	}
}

// Down tells that discovery went down, or is back.
func (a *Auditor) Down(at float64, down bool) {
	if a.down = down; !down {
		a.backAt = at
	}
}

// counted is the last change of a worker that counts as told to a scheduler though it was never written, and since when.
func (a *Auditor) counted(at float64, sched, worker string) (c change, told float64, ok bool) {
	e, all := a.ears[sched], a.changes[worker]
	if e == nil {
		return c, 0, false
	}
	for i := len(all) - 1; i >= 0 && all[i].seq > e.seq; i-- {
		if e.lost >= 0 && at >= max(e.lost, all[i].at) {
			return all[i], max(e.lost, all[i].at), true
		}
		told := min(max(all[i].at, e.asked, a.backAt)+a.terms.MustAsk, max(all[i].at, a.backAt)+silentFor)
		if a.terms.MustAsk > 0 && !e.on && !a.down && at >= told {
			return all[i], told, true
		}
	}
	return c, 0, false
}
