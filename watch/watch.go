// Package watch says how discovery's list is followed: when a call is due and how long it may wait, when an
// answer is overdue, when a connection is to be given up, and until when the list that a scheduler has may be
// relied on. It knows no socket and no clock: its host tells it what happened, then pulls what to do
// (NextAside, NextHangUp, NextCall, NextTold), and calls Passed again at Wake. When a watch is to begin is
// package balance's to say. All times are milliseconds of one clock. docs/design/told.md has its states in a
// table.
package watch

import (
	"fmt"
	"math"
)

const (
	// A change counts as told so long after discovery had it and could be reached, whether or not it arrived and
	// whatever calls failed meanwhile, and what discovery at a new address has to tell so long after that was told.
	ToldIn   = 6000.0
	MovedFor = 4000.0
	// EachCall is how long discovery may take for each scheduler's call where many call.
	EachCall = 100.0
	// Of that time a third may pass until the silence is noticed, a third while all schedulers ask in turn, and
	// a third until discovery, which then turns a call away, has answered.
	waitMost  = ToldIn / 3
	lateBy    = ToldIn / 24 // for an answer on a watch that was due, and twice as long as the last one was late
	lateMost  = ToldIn / 6
	answerFor = ToldIn/3 + 500.0 // for any other: discovery's own end of a call comes first
	crowdFor  = 3.0              // so many times what it takes to hear all of them in turn a crowd of callers may last
	soonGap   = 100.0            // well below the 200 ms in which a watch must go on
)

// State is how the watch stands.
type State int

const (
	None    State = iota // no call is out
	First                // the first call is out, or its connection is made; it asks for no wait
	On                   // a call that may wait is out, or the next one is about to be
	Doubted              // its answer is overdue; the connection stays until the next watch is begun
	Moved                // discovery is elsewhere now; the former one is heard until the watch there is begun
)

func (s State) String() string { return [...]string{"none", "first", "on", "doubted", "moved"}[s] }

// Failure is how a call came to nothing.
type Failure int

const (
	Broken     Failure = iota // its connection broke, or never came up, which says nothing of discovery itself
	TurnedAway                // discovery answered with a no, or ended a first call: it is down, or has too many callers
	Refused                   // nobody listens there: discovery is down
)

// turns is how discovery turns calls away.
type turns int

const (
	none turns = iota // it does not
	gone              // nobody listens
	atOnce
	late // after a wait
)

// Call is one to make: for what is newer than a version, or for the whole list where that is below 0. It may
// wait so long for news.
type Call struct {
	After int64
	Wait  float64
}

// Watch follows one list.
type Watch struct {
	askIn, all         float64
	state              State
	seq                int64   // the version of the list it has; below 0: all is to be asked for
	call               Call    // the last one
	due                bool    // it is yet to be made
	called             float64 // when it was sent, or its connection begun
	until              float64 // when its answer is overdue
	nextAt             float64 // when to go on after an answer that came too soon
	former             bool    // Moved: the former connection is there
	aside              bool    // the connection that is there is to be set aside
	besides, elsewhere bool    // there is one set aside, and it leads to a former address
	asideAt            float64 // when its answer was due
	hangUp             bool
	missed             bool    // since the last answer: a watch fell silent, or discovery moved
	till               float64 // when what may have been missed counts as told
	down               bool    // by the failures since the last answer discovery is down, so that no news is missed
	turns              turns   // how it turned away the last first call
	turnsAt            float64 // the first one of those that it has turned away so on end
	late               float64 // by how much one came late that had waited to its end
	told               []bool  // what the module is yet to be told
}

// New is the watch of a scheduler that begins now; askIn is the settings' time for asking, and all is how long it takes
// discovery to hear all schedulers in turn. The list that it begins with
// is as old as the process before it, and what that has missed since may count as told already: it is not relied on.
func New(now, askIn, all float64) *Watch {
	w := &Watch{askIn: askIn, all: all, till: now, seq: -1}
	w.rest(None)
	return w
}

// Began tells of the version of the list that the scheduler began with.
func (w *Watch) Began(seq int64) { w.seq = seq }

// Retune takes another time for asking.
func (w *Watch) Retune(askIn float64) { w.askIn = askIn }

// State tells how it stands.
func (w *Watch) State() State { return w.state }

// Till is until when the list may be relied on. Later a worker may drain that it still shows in service.
func (w *Watch) Till() float64 { return w.till }

// ---- what happens ----

// Wanted tells that the module wants a watch: in place of one that fell silent, or of one at a former address,
// another is begun; else one that is there stays.
func (w *Watch) Wanted(now float64) {
	switch w.state {
	case First, On:
		return
	case Moved:
		w.seq = -1 // how the new one counts versions need not be how the former one did
		w.setAside(w.former, true)
	case Doubted:
		w.setAside(true, false)
	}
	w.rest(First)
	w.next(now, 0)
}

// Sent tells that the call was written, which may have waited for its connection.
func (w *Watch) Sent(now float64) {
	w.next(now, w.call.Wait)
	w.due = false
}

// Fits tells whether a list may be taken: a part only of the version that was asked from, and none older than
// that. One whose versions go back is not the one that the rest is of.
func (w *Watch) Fits(seq int64, whole bool) error {
	switch {
	case w.seq < 0 && !whole:
		return fmt.Errorf("a part of the list, where all was asked for")
	case seq < w.seq:
		w.seq = -1
		return fmt.Errorf("version %d, and it was at a later one", seq)
	}
	return nil
}

// Answered tells that a call was answered with a list of this version, or none newer, on a connection that can
// be used again or not.
func (w *Watch) Answered(now float64, seq int64, kept bool) {
	news := seq != w.seq
	w.seq = seq
	if w.state == Moved {
		if w.former = kept; !kept {
			w.rest(Moved)
			return
		}
	} else {
		w.state, w.missed, w.down, w.turns = On, false, false, none
		w.took(now, news)
		w.besides = w.besides && !w.elsewhere
		w.rely(now+ToldIn, false)
		w.told = append(w.told, true)
	}
	if !news && now < w.called+w.call.Wait/2 {
		// It does not wait as it was asked to, and calls would follow on each other.
		w.nextAt, w.until = now+soonGap, math.Inf(1)
		return
	}
	w.next(now, min(w.askIn/2, waitMost))
}

// Overhears tells that an answer came on the connection that was set aside, and whether its list may be taken.
func (w *Watch) Overhears(now float64, seq int64) bool {
	if w.besides = false; w.elsewhere {
		return true
	}
	if w.late = max(w.late, now-w.asideAt); seq < w.seq {
		return false
	}
	w.seq = seq
	return true
}

// took keeps by how much an answer without news came late.
func (w *Watch) took(now float64, news bool) {
	if due := w.called + w.call.Wait; !news && w.call.Wait > 0 && now >= due {
		w.late = now - due
	}
}

// Failed tells that a call came to nothing. Its connection is gone.
func (w *Watch) Failed(now float64, how Failure) {
	switch w.state {
	case First, On:
		w.fails(now, how)
		w.told = append(w.told, false)
		w.rest(None)
	case Doubted:
		w.rest(None) // the module knows, and has its turn to wait for
	case Moved:
		w.former = false
		w.rest(Moved)
	}
}

// fails takes what a failure says of discovery. While that is down there is no news, and the list counts on from one
// call to the next; any other failure leaves it as old as it was.
func (w *Watch) fails(now float64, how Failure) {
	since := w.called
	switch {
	case how == Broken:
		w.turns = none
		return
	case how == Refused:
		w.down, w.turns = true, gone
	case w.state == On:
		w.down, w.turns, since = true, none, now // it ended the watch itself, which was not silent till then
	default:
		if !w.turnedAway(now) {
			return
		}
	}
	if w.down {
		w.rely(max(w.till, min(since+ToldIn, w.called+w.askIn)), false)
	}
}

// turnedAway takes that a first call was turned away, and tells whether that shows discovery to be down. One that has too
// many callers turns calls away too: after a break all call within a short time, and again in longer rounds.
func (w *Watch) turnedAway(now float64) bool {
	turns := atOnce
	if now > w.called+answerFor/2 {
		turns = late
	}
	if turns == w.turns {
		w.down = w.down || w.called >= w.turnsAt+answerFor+crowdFor*w.all
		return true
	}
	// Otherwise than before it may have been back meanwhile.
	w.down = w.down && w.turns == none
	w.turns, w.turnsAt = turns, w.called
	return w.all <= ToldIn-waitMost // more schedulers call sooner than it may be able to answer
}

// Went tells that discovery is at another address from now on. It is asked for all of the list, by all
// schedulers together, so that each waits for its turn.
func (w *Watch) Went(now float64) {
	switch w.state {
	case First, Doubted:
		w.hangUp = true
		w.rest(None)
	case On:
		w.former = true
	}
	w.state = Moved
	w.rely(min(w.till, now+MovedFor), true)
	w.told = append(w.told, true, false) // the failures of the former one say nothing of the new one
}

// Passed sees to what is due by now: the next call, or an answer that is overdue.
func (w *Watch) Passed(now float64) {
	if now >= w.nextAt {
		w.next(now, min(w.askIn/2, waitMost))
	}
	if w.besides && now >= w.asideAt+answerFor {
		w.besides = false
	}
	if now < w.until {
		return
	}
	switch w.state {
	case First:
		w.rely(w.till, true) // it may have been on, and fallen silent
		w.hangUp, w.told = true, append(w.told, false)
		w.rest(None)
	case On:
		// The answer may only be late, and a call for each that is would be too much for discovery.
		w.rely(w.till, true)
		w.told = append(w.told, false)
		w.rest(Doubted)
	case Moved:
		w.hangUp, w.former = true, false
		w.rest(Moved)
	}
}

// setAside keeps a connection that may be only late till its answer has come: what is written on one that is
// hung up just then counts as told, and nobody would have read it.
func (w *Watch) setAside(there, elsewhere bool) {
	if there {
		w.aside, w.besides, w.elsewhere = true, true, elsewhere
		w.asideAt = w.called + w.call.Wait
	}
}

// next has a call made that may wait so long.
func (w *Watch) next(now, wait float64) {
	w.call, w.due, w.called = Call{w.seq, wait}, true, now
	w.nextAt, w.until = math.Inf(1), now+wait+min(lateBy+2*w.late, lateMost)
	if w.state == First {
		w.until = now + answerFor
	}
}

func (w *Watch) rest(s State) { w.state, w.due, w.nextAt, w.until = s, false, math.Inf(1), math.Inf(1) }

// rely keeps until when the list counts as whole; what was missed shortens that until there is an answer.
func (w *Watch) rely(till float64, missed bool) {
	if w.missed {
		till = min(till, w.till)
	}
	w.till, w.missed = till, w.missed || missed
}

// ---- what is to be done ----

// NextAside tells whether the connection that is there is to be set aside: no call is made on it any more, and
// what still comes is read (Overhears). One that was aside before is closed.
func (w *Watch) NextAside() bool {
	was := w.aside
	w.aside = false
	return was
}

// Besides tells whether the connection that is set aside is still wanted. Else it is to be closed.
func (w *Watch) Besides() bool { return w.besides }

// NextHangUp tells whether the connection is to be closed. Nothing is heard of it any more.
func (w *Watch) NextHangUp() bool {
	was := w.hangUp
	w.hangUp = false
	return was
}

// NextCall tells the call to make, on the connection that is there or else on a new one.
func (w *Watch) NextCall() (Call, bool) {
	was := w.due
	w.due = false
	return w.call, was
}

// NextTold tells what the module is to hear next: that its watch is on, or that it failed.
func (w *Watch) NextTold() (on, ok bool) {
	if len(w.told) == 0 {
		return false, false
	}
	on = w.told[0]
	w.told = w.told[1:]
	return on, true
}

// Wake is when Passed has something to see to.
func (w *Watch) Wake() float64 {
	if w.besides {
		return min(w.nextAt, w.until, w.asideAt+answerFor)
	}
	return min(w.nextAt, w.until)
}
