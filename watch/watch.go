// Package watch decides how a scheduler follows discovery's list of workers by long polling: when a call is due and how
// long discovery may hold it, when an answer is overdue, when a connection is to be closed, and until when the
// scheduler may rely on the list that it has.
//
// The package has no sockets and no clock. Its host reports what happened (Begin, CallSent, Answered,
// AcceptsLateAnswer, Failed, DiscoveryMoved), then pulls what to do until nothing is left (NextSetAside, NextClose,
// NextCall, NextStatusChange), and calls Advance at the time that NextWake returns. Package balance decides when a
// watch is to begin; it is called the policy below. All times are in milliseconds of one clock. docs/design/told.md has
// the states of a watch in a table.
package watch

import (
	"fmt"
	"math"
)

// All constants are in milliseconds, except crowdRounds.
const (
	// StalenessBoundMs is how long after discovery had a change, and could be reached, a scheduler counts as informed of
	// it, whether or not the change arrived and whatever calls failed meanwhile.
	StalenessBoundMs = 6000.0
	// MovedStalenessBoundMs is how long after a scheduler was told of discovery's new address it counts as informed of
	// what discovery has there.
	MovedStalenessBoundMs = 4000.0
	// CallServiceMs is how long discovery may take to answer the call of one scheduler when many call.
	CallServiceMs = 100.0

	// A third of the staleness bound may pass until the scheduler notices that discovery is silent, a third while all
	// schedulers call in turn, and a third until discovery has answered: after that time it rejects a call.

	// maxWaitMs is the longest time for which discovery is asked to hold a call.
	maxWaitMs = StalenessBoundMs / 3
	// graceMs is how late the answer to a call that waited may be before it counts as overdue. Twice the lateness of the
	// last such answer is added, up to maxGraceMs in all.
	graceMs    = StalenessBoundMs / 24
	maxGraceMs = StalenessBoundMs / 6
	// answerTimeoutMs is how long any other call may take, and how late an answer may be on a connection that is set
	// aside. It is longer than discovery takes until it ends a call by itself, so that this comes first.
	answerTimeoutMs = StalenessBoundMs/3 + 500.0
	// crowdRounds bounds how long all schedulers may crowd discovery with their calls after an outage, as a multiple of
	// the time that discovery takes to answer each of them once.
	crowdRounds = 3.0
	// earlyAnswerGapMs is how long the next call is put off after an answer that came too early. It is well below the 200
	// ms within which a watch must go on.
	earlyAnswerGapMs = 100.0
)

// State is the state of a watch.
type State int

const (
	Idle           State = iota // no call is in progress
	Initial                     // the first call, which asks for no wait, or its connection is in progress
	Watching                    // a call that may wait is in progress, or the next one is about to be made
	Overdue                     // the answer to a call is overdue; its connection stays until the next watch begins
	AddressChanged              // discovery has a new address; the connection to the former one is read until the watch there begins
)

// String returns the state's name in log lines.
func (s State) String() string { return [...]string{"none", "first", "on", "doubted", "moved"}[s] }

// Failure is the way in which a call failed.
type Failure int

const (
	ConnectionFailed  Failure = iota // the connection broke or was never made, which says nothing of discovery itself
	Rejected                         // discovery answered with an error status or ended a first call: it is down or overloaded
	ConnectionRefused                // the connection was refused, as nobody listens at the address: discovery is down
)

// rejection is the way in which discovery rejects first calls.
type rejection int

const (
	notRejected rejection = iota
	refusedConnection
	rejectedAtOnce
	rejectedAfterWait
)

// Call is a call to discovery that the host is to make.
type Call struct {
	AfterVersion int64   // ask for what is newer than this version of the list, or for the whole list if it is below 0
	WaitMs       float64 // how long discovery may hold the call until there is news, in milliseconds
}

// Watch follows one list. Its times are in milliseconds.
type Watch struct {
	mustAskInMs float64 // within which time discovery has to be asked again (setting must_ask_in)
	fullRoundMs float64 // how long discovery takes to answer one call of each scheduler, one after the other

	state       State
	version     int64   // version of the list that the scheduler has; below 0: the whole list is to be asked for
	call        Call    // the last call
	callDue     bool    // the host is yet to make the call
	calledAt    float64 // when the call was sent, or its connection begun
	overdueAt   float64 // when the answer becomes overdue
	nextCallAt  float64 // when to make the next call after an answer that came too early
	formerOpen  bool    // in state AddressChanged: the connection to the former address is open
	mayBeMissed bool    // since the last answer a watch fell silent or discovery moved: changes may have been missed

	setAsideDue     bool      // the host is yet to set the current connection aside
	asideOpen       bool      // a connection is set aside and still read
	asideFormer     bool      // it leads to a former address of discovery
	asideAnswerDue  float64   // when the answer on it was due
	closeDue        bool      // the host is yet to close the current connection
	reliableUntil   float64   // until when the list may be relied on
	down            bool      // the failures since the last answer show that discovery is down: there is no news to miss
	rejectedBy      rejection // how the last first call was rejected, if it was
	rejectedSince   float64   // when the first call was made of those that were rejected in this way without a break
	lastLateness    float64   // how late the last answer came that discovery held until the call's wait was over
	pendingOutcomes []bool    // what the policy is yet to be told, see NextStatusChange
}

// New returns the watch of a scheduler that starts now. mustAskIn is the setting must_ask_in; fullRound is how long
// discovery takes to answer one call of each scheduler, one after the other. The list that a new process begins with is
// as old as the process before it, and the scheduler may count as informed of changes since: the list is not relied on.
func New(now, mustAskIn, fullRound float64) *Watch {
	w := &Watch{mustAskInMs: mustAskIn, fullRoundMs: fullRound, reliableUntil: now, version: -1}
	w.enter(Idle)
	return w
}

// SetVersion sets the version of the list that the scheduler begins with.
func (w *Watch) SetVersion(version int64) { w.version = version }

// Version returns the version of the list that the scheduler has; below 0: the whole list is to be asked for.
func (w *Watch) Version() int64 { return w.version }

// SetMustAskIn changes the setting must_ask_in.
func (w *Watch) SetMustAskIn(mustAskIn float64) { w.mustAskInMs = mustAskIn }

// State returns the watch's state.
func (w *Watch) State() State { return w.state }

// ReliableUntil returns until when the list may be relied on. After that, a worker may be draining that the list still
// shows as in service.
func (w *Watch) ReliableUntil() float64 { return w.reliableUntil }

// ---- events that the host reports ----

// Begin reports that the policy wants a watch. A new one begins, also in place of one that is overdue or that is at a
// former address; one that is in progress goes on.
func (w *Watch) Begin(now float64) {
	switch w.state {
	case Initial, Watching:
		return
	case AddressChanged:
		w.version = -1 // discovery at the new address may count versions differently
		w.setAside(w.formerOpen, true)
	case Overdue:
		w.setAside(true, false)
	}
	w.enter(Initial)
	w.scheduleCall(now, 0)
}

// CallSent reports that the call was written, which may have waited for its connection.
func (w *Watch) CallSent(now float64) {
	w.scheduleCall(now, w.call.WaitMs)
	w.callDue = false
}

// CheckVersion checks whether a list can be applied, and returns an error if not. A partial list has to follow from the
// version that was asked from, and no list may be older than that. If versions go back, the whole list is asked for
// next, as the rest of the known list belongs to another sequence of versions.
func (w *Watch) CheckVersion(version int64, whole bool) error {
	switch {
	case w.version < 0 && !whole:
		return fmt.Errorf("got a part of the list, want the whole list")
	case version < w.version:
		w.version = -1
		return fmt.Errorf("version %d, and it was at a later one", version)
	}
	return nil
}

// Answered reports that a call was answered with the list of this version, which is the known one if there is no news,
// and whether the connection can be used again.
func (w *Watch) Answered(now float64, version int64, reusable bool) {
	news := version != w.version
	w.version = version
	if w.state == AddressChanged {
		if w.formerOpen = reusable; !reusable {
			w.enter(AddressChanged)
			return
		}
	} else {
		w.state, w.mayBeMissed, w.down, w.rejectedBy = Watching, false, false, notRejected
		w.recordLateness(now, news)
		w.asideOpen = w.asideOpen && !w.asideFormer
		w.setReliableUntil(now+StalenessBoundMs, false)
		w.pendingOutcomes = append(w.pendingOutcomes, true)
	}
	if !news && now < w.calledAt+w.call.WaitMs/2 {
		// Discovery doesn't hold calls as asked; without a gap they would follow each other at once.
		w.nextCallAt, w.overdueAt = now+earlyAnswerGapMs, math.Inf(1)
		return
	}
	w.scheduleCall(now, min(w.mustAskInMs/2, maxWaitMs))
}

// AcceptsLateAnswer reports an answer on the connection that was set aside, and returns whether its list may be applied.
func (w *Watch) AcceptsLateAnswer(now float64, version int64) bool {
	if w.asideOpen = false; w.asideFormer {
		return true
	}
	if w.lastLateness = max(w.lastLateness, now-w.asideAnswerDue); version < w.version {
		return false
	}
	w.version = version
	return true
}

// recordLateness records how late an answer without news came.
func (w *Watch) recordLateness(now float64, news bool) {
	if dueAt := w.calledAt + w.call.WaitMs; !news && w.call.WaitMs > 0 && now >= dueAt {
		w.lastLateness = now - dueAt
	}
}

// Failed reports that a call failed. Its connection is closed.
func (w *Watch) Failed(now float64, how Failure) {
	switch w.state {
	case Initial, Watching:
		w.assessFailure(now, how)
		w.pendingOutcomes = append(w.pendingOutcomes, false)
		w.enter(Idle)
	case Overdue:
		w.enter(Idle) // the policy was told when the answer became overdue, and will ask for a watch in its turn
	case AddressChanged:
		w.formerOpen = false
		w.enter(AddressChanged)
	}
}

// assessFailure updates what is known of discovery's state by a failed call. While discovery is down there is no news,
// and from one failed call to the next the list may be relied on for longer; any other failure leaves it as old as it
// was.
func (w *Watch) assessFailure(now float64, how Failure) {
	informedAt := w.calledAt
	switch {
	case how == ConnectionFailed:
		w.rejectedBy = notRejected
		return
	case how == ConnectionRefused:
		w.down, w.rejectedBy = true, refusedConnection
	case w.state == Watching:
		w.down, w.rejectedBy, informedAt = true, notRejected, now // discovery ended the watch, which was not silent until then
	default:
		if !w.recordRejection(now) {
			return
		}
	}
	if w.down {
		w.setReliableUntil(max(w.reliableUntil, min(informedAt+StalenessBoundMs, w.calledAt+w.mustAskInMs)), false)
	}
}

// recordRejection records that discovery rejected a first call, and returns whether the rejection counts as a sign that
// discovery is down. A discovery with too many callers rejects calls too: after an outage all schedulers call within a
// short time, and again in longer rounds. So rejections show it to be down, if it wasn't known to be, only once they
// have been of one kind for longer than that can last.
func (w *Watch) recordRejection(now float64) bool {
	by := rejectedAtOnce
	if now > w.calledAt+answerTimeoutMs/2 {
		by = rejectedAfterWait
	}
	if by == w.rejectedBy {
		w.down = w.down || w.calledAt >= w.rejectedSince+answerTimeoutMs+crowdRounds*w.fullRoundMs
		return true
	}
	// After a rejection or refusal of another kind, discovery may have been up in between.
	w.down = w.down && w.rejectedBy == notRejected
	w.rejectedBy, w.rejectedSince = by, w.calledAt
	// More schedulers than fit this time call before discovery may be able to answer them all.
	return w.fullRoundMs <= StalenessBoundMs-maxWaitMs
}

// DiscoveryMoved reports that discovery is at another address from now on. All schedulers ask for the whole list there
// at the same time, so the policy decides when it is this one's turn.
func (w *Watch) DiscoveryMoved(now float64) {
	switch w.state {
	case Initial, Overdue:
		w.closeDue = true
		w.enter(Idle)
	case Watching:
		w.formerOpen = true
	}
	w.state = AddressChanged
	w.setReliableUntil(min(w.reliableUntil, now+MovedStalenessBoundMs), true)
	w.pendingOutcomes = append(w.pendingOutcomes, true, false) // failures at the former address say nothing of the new one
}

// Advance does what is due by now: it has the next call made, or takes an answer as overdue.
func (w *Watch) Advance(now float64) {
	if now >= w.nextCallAt {
		w.scheduleCall(now, min(w.mustAskInMs/2, maxWaitMs))
	}
	if w.asideOpen && now >= w.asideAnswerDue+answerTimeoutMs {
		w.asideOpen = false
	}
	if now < w.overdueAt {
		return
	}
	switch w.state {
	case Initial:
		w.setReliableUntil(w.reliableUntil, true) // discovery may have taken the call as a watch, and fallen silent
		w.closeDue, w.pendingOutcomes = true, append(w.pendingOutcomes, false)
		w.enter(Idle)
	case Watching:
		// The answer may only be late. To call anew at once for each late answer would be too much for discovery.
		w.setReliableUntil(w.reliableUntil, true)
		w.pendingOutcomes = append(w.pendingOutcomes, false)
		w.enter(Overdue)
	case AddressChanged:
		w.closeDue, w.formerOpen = true, false
		w.enter(AddressChanged)
	}
}

// setAside has an open connection, whose answer may only be late, kept until the answer has come. If it were closed
// just as discovery writes, the scheduler would count as informed of a change that nobody read.
func (w *Watch) setAside(open, former bool) {
	if open {
		w.setAsideDue, w.asideOpen, w.asideFormer = true, true, former
		w.asideAnswerDue = w.calledAt + w.call.WaitMs
	}
}

// scheduleCall has a call made now that discovery may hold for wait milliseconds.
func (w *Watch) scheduleCall(now, wait float64) {
	w.call, w.callDue, w.calledAt = Call{w.version, wait}, true, now
	w.nextCallAt, w.overdueAt = math.Inf(1), now+wait+min(graceMs+2*w.lastLateness, maxGraceMs)
	if w.state == Initial {
		w.overdueAt = now + answerTimeoutMs
	}
}

// enter changes to a state in which no call is due and no answer expected.
func (w *Watch) enter(s State) {
	w.state, w.callDue, w.nextCallAt, w.overdueAt = s, false, math.Inf(1), math.Inf(1)
}

// setReliableUntil sets until when the list may be relied on. If changes may have been missed, now or since the last
// answer, that time is not extended before the next answer.
func (w *Watch) setReliableUntil(until float64, missed bool) {
	if w.mayBeMissed {
		until = min(until, w.reliableUntil)
	}
	w.reliableUntil, w.mayBeMissed = until, w.mayBeMissed || missed
}

// ---- actions that the host pulls ----

// NextSetAside returns whether the current connection is to be set aside: no call is made on it any more, and an answer
// that still comes is passed to AcceptsLateAnswer. A connection that was set aside before is closed.
func (w *Watch) NextSetAside() bool {
	due := w.setAsideDue
	w.setAsideDue = false
	return due
}

// KeepsAside returns whether the connection that is set aside is still to be read. If not, it is to be closed.
func (w *Watch) KeepsAside() bool { return w.asideOpen }

// NextClose returns whether the current connection is to be closed. Nothing that happens on it is reported any more.
func (w *Watch) NextClose() bool {
	due := w.closeDue
	w.closeDue = false
	return due
}

// NextCall returns the call to make, on the current connection or, if there is none, on a new one, and whether there is
// one.
func (w *Watch) NextCall() (Call, bool) {
	due := w.callDue
	w.callDue = false
	return w.call, due
}

// NextStatusChange returns what the policy is to be told next: that its watch is in progress (on) or that it failed. ok
// is false if there is nothing to tell.
func (w *Watch) NextStatusChange() (on, ok bool) {
	if len(w.pendingOutcomes) == 0 {
		return false, false
	}
	on = w.pendingOutcomes[0]
	w.pendingOutcomes = w.pendingOutcomes[1:]
	return on, true
}

// NextWake returns when Advance is to be called next.
func (w *Watch) NextWake() float64 {
	if w.asideOpen {
		return min(w.nextCallAt, w.overdueAt, w.asideAnswerDue+answerTimeoutMs)
	}
	return min(w.nextCallAt, w.overdueAt)
}
