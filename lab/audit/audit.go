// Package audit is the invariant checker of the lab. It is told of all messages between clients, schedulers and
// workers and of what workers ran, and reports each violation of the four rules with the history of its txn. It has
// no influence on a run and no clock: each call carries its time in milliseconds. It derives from the messages alone
// what a scheduler could know, so it can judge any scheduler, whatever its implementation.
package audit

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"shalebeam/balance"
)

// Violation is one violation of a rule. It is written as JSON under its field names.
type Violation struct {
	Rule    string // a name such as LostTxn
	At      float64
	Ref     string // of the txn; "" where the violation concerns a worker
	Text    string
	History []string // the events of the txn until then, one a line
}

// The rules by name.
const (
	LostTxn             = "lost"         // a txn without a final answer by its expiry
	TwoAnswers          = "two answers"  // a second final answer
	PostedAfterAnswer   = "sent after"   // a posting after the final answer
	RepeatedOnceOnly    = "repeated"     // a once-only txn posted again though an earlier posting may have run
	OutOfGroup          = "out of group" // a referenced txn posted again outside its group or window
	ConcurrentPostings  = "two out"      // two postings in flight where Terms.Copies forbids it
	DeclinedMayHaveRun  = "declined"     // declined though a posting may have run
	PostedToDrained     = "drain"        // posted to a worker of whose drain or removal the scheduler was told
	ColdWorkerOverload  = "flooded"      // a worker in slow start failed under load from schedulers that knew of its start
	AnswerDelayed       = "held back"    // the scheduler could only answer the txn, and did not within Terms.GiveUpGraceMs
	ResultNotFromWorker = "made up"      // settled with a result that no worker returned for the txn
	RanTwice            = "two effects"  // a once-only txn ran twice
)

// Terms are the settings of the auditor. Times are milliseconds.
type Terms struct {
	Schemes             []balance.SchemeRow // a txn is judged by the scheme under which it arrived
	Copies              bool                // a txn may have two postings in flight
	MaxPosts            int                 // postings that one txn may have in all
	AnswerGraceMs       float64             // a final answer may come this long after the expiry
	DrainGraceMs        float64             // a posting may be sent this long after the scheduler was told of the worker's drain
	KnownWithoutWatchMs float64             // a change counts as known to a scheduler without a watch after this; 0: it never does
	GiveUpGraceMs       float64             // a txn for which nothing else can be done is to be answered within this
	SocketDelayMs       float64             // greatest delay after which a posting written to a socket is seen; 0 in simulated time
	// LabDelayMs returns by how much the lab itself ran late between two times of the run, and so may have seen what was
	// sent in time too late; nil: it never does.
	LabDelayMs    func(from, to float64) float64
	KeepTxn       string // ref of a txn whose history is kept in any case
	MaxViolations int    // number that are kept with their text; further ones are only counted. 0: 20
}

// posting is one posting of a txn.
type posting struct {
	worker     string
	zone       int
	cell       int
	at         float64 // when it was sent
	inFlight   bool    // sent, and its end not known to the scheduler
	mayHaveRun bool    // it ended, and may have run
	ended      bool
}

// txn is all that the auditor knows of one txn.
type txn struct {
	ref       string
	sched     string // process of the scheduler that took it
	scheme    int
	takenAt   float64
	expiresAt float64
	postings  []posting // by number
	final     string    // the final answer, or why none is owed; "" while it is open
	finalAt   float64
	stuckAt   float64  // since when the scheduler can do nothing but answer; +Inf: it can do more
	effects   int      // how many times it ran
	results   []string // that workers returned for it
	events    []event
	orphaned  bool // the process of its scheduler ended
	closed    bool // answered or orphaned, with no posting in flight
}

// event is one line of a txn's history.
type event struct {
	at   float64
	text string
	who  string // scheduler or worker; may be ""
	no   int    // of the posting; below 0: the event is of no posting
}

// TakenOut reports that operators took a worker out at a scheduler, from the time of the scheduler's confirmation on, or
// put it back. It outlives restarts of the scheduler's process.
func (a *Auditor) TakenOut(at float64, sched, worker string, out bool) {
	l := a.takenOut[sched]
	if l == nil {
		l = map[string]float64{}
		a.takenOut[sched] = l
	}
	if delete(l, worker); out {
		l[worker] = at
	}
}

// SchedulerPaused reports that a scheduler's process was paused: in that time it could do nothing that was due.
func (a *Auditor) SchedulerPaused(sched string, from, to float64) {
	a.pauses[sched] = append(a.pauses[sched], [2]float64{from, to})
}

// excusedMs returns for how long between two times a scheduler was paused, plus by how much the lab may have seen the
// end of that interval late.
func (a *Auditor) excusedMs(sched string, from, to float64) (ms float64) {
	for _, s := range a.pauses[sched] {
		ms += max(0, min(to, s[1])-max(from, s[0]))
	}
	if a.terms.LabDelayMs != nil {
		ms += a.terms.LabDelayMs(from, to)
	}
	return ms
}

// listed is a worker's entry in the list as a scheduler was told it.
type listed struct {
	state balance.State
	at    float64 // when the scheduler was told
	start float64 // when the worker last started
}

// Auditor checks one run. It is not safe for concurrent use.
type Auditor struct {
	terms      Terms
	txns       map[string]*txn               // by ref: the open ones, and those in closed
	kept       *txn                          // the one named by Terms.KeepTxn
	lists      map[string]map[string]listed  // by scheduler process, by worker
	takenOut   map[string]map[string]float64 // by scheduler, by worker: when operators took it out
	closed     []*txn                        // the last closed ones, oldest first
	violations []Violation
	counts     map[string]int // of violations, by rule
	taken      int            // number of txns

	pauses        map[string][][2]float64 // by scheduler process: beginning and end of each pause
	changes       map[string][]change     // of the list, by worker
	watches       map[string]*watch       // by scheduler process
	discoveryDown bool                    // discovery is down
	discoveryUpAt float64                 // when discovery last came back
}

// New returns an auditor for one run.
func New(t Terms) *Auditor {
	if t.MaxViolations == 0 {
		t.MaxViolations = 20
	}
	return &Auditor{terms: t, txns: map[string]*txn{}, lists: map[string]map[string]listed{}, takenOut: map[string]map[string]float64{},
		counts: map[string]int{}, pauses: map[string][][2]float64{}, changes: map[string][]change{}, watches: map[string]*watch{}}
}

// record adds an event to the history of a txn.
func (a *Auditor) record(t *txn, at float64, who string, no int, text string) {
	t.events = append(t.events, event{at, text, who, no})
}

// violated counts a violation of a rule and keeps it with its text if few are kept so far. t may be nil.
func (a *Auditor) violated(rule string, t *txn, at float64, format string, args ...any) {
	a.counts[rule]++
	if len(a.violations) >= a.terms.MaxViolations {
		return
	}
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)}
	if t != nil {
		v.Ref, v.History = t.ref, t.history()
	}
	a.violations = append(a.violations, v)
}

// history returns the events of a txn as text, one a line.
func (t *txn) history() (lines []string) {
	for _, e := range t.events {
		s := fmt.Sprintf("%12.3f %s", e.at, e.text)
		if e.no >= 0 {
			s += fmt.Sprintf(" #%d", e.no)
		}
		if e.who != "" {
			s += " " + e.who
		}
		lines = append(lines, s)
	}
	return lines
}

// Accepted reports that a scheduler has accepted a txn, which must be answered by the time until.
func (a *Auditor) Accepted(at float64, sched, ref string, scheme int, until float64) {
	t := &txn{ref: ref, sched: sched, scheme: scheme, takenAt: at, expiresAt: until, stuckAt: math.Inf(1)}
	a.txns[ref] = t
	if ref == a.terms.KeepTxn {
		a.kept = t
	}
	a.taken++
	a.record(t, at, sched, -1, "taken")
}

// Posted reports that posting no of a txn was sent, and checks rules 1, 2 and 3 as they apply at that moment.
func (a *Auditor) Posted(at float64, sched, ref string, no int, worker string, zone, cell int) {
	a.checkDrained(at, sched, ref, worker)
	t := a.txns[ref]
	if t == nil {
		a.violated(PostedAfterAnswer, nil, at, "%s posted %s to %s, which it does not owe", sched, ref, worker)
		return
	}
	a.record(t, at, worker, no, "posted")
	row := &a.terms.Schemes[t.scheme]
	if t.final != "" && at > t.finalAt+a.terms.SocketDelayMs && (a.terms.LabDelayMs == nil || at > t.finalAt+a.terms.SocketDelayMs+a.terms.LabDelayMs(t.finalAt, at)) {
		a.violated(PostedAfterAnswer, t, at, "posted to %s after its answer", worker)
	}
	for _, p := range t.postings {
		if p.inFlight && !a.terms.Copies {
			a.violated(ConcurrentPostings, t, at, "posted to %s while a posting is out at %s", worker, p.worker)
		}
		if !p.inFlight && !p.mayHaveRun || row.Effect == balance.Repeatable {
			continue
		}
		switch {
		case row.Effect == balance.OnceOnly:
			a.violated(RepeatedOnceOnly, t, at, "posted to %s though it may have run at %s", worker, p.worker)
		case at-p.at >= row.Window:
			a.violated(OutOfGroup, t, at, "posted to %s %.0f ms after it may have run at %s, and the window is %.0f ms",
				worker, at-p.at, p.worker, row.Window)
		case row.Group == balance.GroupZone && p.zone != zone, row.Group == balance.GroupCell && p.cell != cell:
			a.violated(OutOfGroup, t, at, "posted to %s, outside the group of %s, where it may have run", worker, p.worker)
		}
	}
	*t.posting(no) = posting{worker: worker, zone: zone, cell: cell, at: at, inFlight: true}
	t.stuckAt = math.Inf(1)
}

// checkDrained checks that a posting is not sent to a worker later than the grace period after operators took it out or
// the scheduler was told that it drains or is removed.
func (a *Auditor) checkDrained(at float64, sched, ref, worker string) {
	name, _, _ := strings.Cut(sched, ".") // drops the number of the process, which simulated time does not have
	if since, ok := a.takenOut[name][worker]; ok && at > since+a.terms.DrainGraceMs {
		a.violated(PostedToDrained, a.txns[ref], at, "%s posted %s to %s, %.0f ms after staff took it out", sched, ref,
			worker, at-since)
	}
	w, ok := a.lists[sched][worker]
	if c, knownAt, known := a.presumedKnown(at, sched, worker); known {
		w, ok = listed{c.state, knownAt, c.start}, true
	}
	if ok && w.state != balance.Running && at > w.at+a.terms.DrainGraceMs {
		a.violated(PostedToDrained, a.txns[ref], at, "%s posted %s to %s, %.0f ms after it was told of its drain", sched,
			ref, worker, at-w.at)
	}
}

// Began reports that a worker has started to run a posting.
func (a *Auditor) Began(at float64, ref string, no int, worker string) {
	if t := a.txns[ref]; t != nil {
		a.record(t, at, worker, no, "begun")
	}
}

// Ran reports that a worker has run a posting, and its result. With drop the posting was a repeat that the worker
// recognised and did not run.
func (a *Auditor) Ran(at float64, ref string, no int, worker, result string, drop bool) {
	t := a.txns[ref]
	if t == nil {
		return
	}
	t.results = append(t.results, result)
	if drop {
		a.record(t, at, worker, no, "repeat dropped")
		return
	}
	a.record(t, at, worker, no, "ran")
	t.effects++
	if t.effects > 1 && a.terms.Schemes[t.scheme].Effect == balance.OnceOnly {
		a.violated(RanTwice, t, at, "it ran %d times", t.effects)
	}
}

// Ended reports how a posting ended, as the scheduler learned it.
func (a *Auditor) Ended(at float64, ref string, no int, how balance.Outcome) {
	t := a.txns[ref]
	if t == nil {
		return
	}
	p := t.posting(no)
	if p.ended {
		return
	}
	p.inFlight, p.ended, p.mayHaveRun = false, true, !how.NeverRan()
	a.record(t, at, "", no, outcomeName(how))
	// On sockets a result that the worker wrote may never have reached the scheduler, if the worker was killed or cut
	// off just then. Only the scheduler's answer shows from outside what it knows.
	if t.final == "" && a.mustAnswer(t) && !(how == balance.Done && a.terms.SocketDelayMs > 0) {
		t.stuckAt = at
	}
	a.closeIfDone(t)
}

// posting returns the posting of a number and adds those up to it that are missing: some that a scheduler decided on
// are never sent.
func (t *txn) posting(no int) *posting {
	for len(t.postings) <= no {
		t.postings = append(t.postings, posting{})
	}
	return &t.postings[no]
}

// mustAnswer reports whether the rules allow no further posting of a txn and none is in flight, so that the scheduler
// can only answer.
func (a *Auditor) mustAnswer(t *txn) bool {
	mayHaveRun := false
	for _, p := range t.postings {
		if !p.ended {
			return false
		}
		mayHaveRun = mayHaveRun || p.mayHaveRun
	}
	return len(t.postings) >= a.terms.MaxPosts || mayHaveRun && a.terms.Schemes[t.scheme].Effect == balance.OnceOnly
}

// outcomeName returns the name of an outcome in histories.
func outcomeName(how balance.Outcome) string {
	names := []string{"done", "erred", "full", "timed out", "no connection", "reset", "called off", "never sent"}
	if how < 0 || int(how) >= len(names) {
		return fmt.Sprint("outcome ", int(how))
	}
	return names[how]
}

// The final answers to a txn.
const (
	Settled  = "settled"
	Declined = "declined"
	Reversed = "reversed"
)

// Answered reports a final answer of a scheduler: its kind, such as Settled, and its result.
func (a *Auditor) Answered(at float64, sched, ref, kind, result string) {
	t := a.txns[ref]
	if t == nil {
		a.violated(TwoAnswers, nil, at, "%s answered %s, which it does not owe", sched, ref)
		return
	}
	a.record(t, at, sched, -1, kind)
	if t.final != "" {
		if t.final != "left" {
			a.violated(TwoAnswers, t, at, "%s after %s", kind, t.final)
		}
		return
	}
	t.final, t.finalAt = kind, at
	row := &a.terms.Schemes[t.scheme]
	if at > t.expiresAt+a.terms.AnswerGraceMs {
		a.violated(LostTxn, t, at, "answered %.0f ms after its expiry", at-t.expiresAt)
	}
	if kind == Settled && !slices.Contains(t.results, result) {
		a.violated(ResultNotFromWorker, t, at, "settled with %.60q, which no worker made for it", result)
	}
	if kind == Declined && row.Effect != balance.Repeatable &&
		!(row.Effect == balance.Referenced && row.Group == balance.GroupAll) {
		for _, p := range t.postings {
			if p.inFlight || p.mayHaveRun {
				a.violated(DeclinedMayHaveRun, t, at, "declined though it may have run at %s", p.worker)
				break
			}
		}
	}
	if kind != Settled && at > t.stuckAt+a.terms.GiveUpGraceMs && at > t.stuckAt+a.terms.GiveUpGraceMs+a.excusedMs(t.sched, t.stuckAt, at) {
		a.violated(AnswerDelayed, t, at, "nothing was left to be done for %.0f ms before it was %s", at-t.stuckAt, kind)
	}
	a.closeIfDone(t)
}

// ClientLeft reports that a scheduler has learned that the client of a txn has disconnected: no answer is owed any more.
func (a *Auditor) ClientLeft(at float64, ref string) {
	if t := a.txns[ref]; t != nil && t.final == "" {
		t.final, t.finalAt = "left", at
		a.record(t, at, "", -1, "client left")
		a.closeIfDone(t)
	}
}

// closeIfDone closes a txn that is answered and has no posting in flight, or whose scheduler's process ended. It
// forgets the txn that has been closed longest.
func (a *Auditor) closeIfDone(t *txn) {
	if t.final == "" && !t.orphaned {
		return
	}
	for _, p := range t.postings {
		if p.inFlight && !t.orphaned {
			return
		}
	}
	if t.closed {
		return
	}
	// It can still be looked up for a while: a second answer or posting would come soon after, if at all.
	t.closed = true
	a.closed = append(a.closed, t)
	if len(a.closed) > maxClosedTxns {
		delete(a.txns, a.closed[0].ref)
		a.closed = a.closed[1:]
	}
}

// maxClosedTxns is the number of closed txns that can still be looked up.
const maxClosedTxns = 2000

// Listed reports a worker's list entry that a scheduler was told, or that counts as told to it.
func (a *Auditor) Listed(at float64, sched, worker string, state balance.State, start float64) {
	l := a.lists[sched]
	if l == nil {
		l = map[string]listed{}
		a.lists[sched] = l
	}
	if old, ok := l[worker]; ok && old.state == state && old.start == start {
		return
	}
	l[worker] = listed{state, at, start}
}

// KnowsStart reports whether the list that a scheduler was told has a worker's start at the time start.
func (a *Auditor) KnowsStart(sched, worker string, start float64) bool {
	l, ok := a.lists[sched][worker]
	return ok && l.start == start
}

// WorkerOverloaded reports that a worker in slow start failed under its load, which part of that load came from schedulers
// that knew of its start, and a description of the load. The rule is violated where that part is above two thirds.
func (a *Auditor) WorkerOverloaded(at float64, worker string, part float64, why string) {
	if part > 2.0/3 {
		a.violated(ColdWorkerOverload, nil, at, "%s fell over, with %.2f of the pressure from schedulers that knew of its start: %s",
			worker, part, why)
	}
}

// SchedulerEnded reports that a scheduler's process ended. Its open txns are excused where it was killed, and lost where it
// stopped as planned.
func (a *Auditor) SchedulerEnded(at float64, sched string, killed bool) {
	delete(a.lists, sched)
	for _, ref := range a.sortedRefs() {
		t := a.txns[ref]
		if t == nil || t.sched != sched || t.orphaned {
			continue
		}
		if t.final == "" && !killed {
			a.violated(LostTxn, t, at, "its scheduler stopped as planned and had not answered")
		}
		t.orphaned = true
		if t.final == "" {
			t.final = "scheduler died"
			a.record(t, at, sched, -1, t.final)
		}
		a.closeIfDone(t)
	}
}

// sortedRefs returns the refs of all known txns in order.
func (a *Auditor) sortedRefs() []string {
	refs := make([]string, 0, len(a.txns))
	for ref := range a.txns {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// Close ends the run: a txn without an answer past its expiry is lost.
func (a *Auditor) Close(at float64) {
	for _, ref := range a.sortedRefs() {
		if t := a.txns[ref]; t.final == "" && !t.orphaned && at > t.expiresAt+a.terms.AnswerGraceMs {
			a.violated(LostTxn, t, at, "it has no answer, %.0f ms after its expiry", at-t.expiresAt)
		}
	}
}

// Violations returns the violations in order, at most Terms.MaxViolations.
func (a *Auditor) Violations() []Violation { return a.violations }

// Counts returns the number of all violations by rule.
func (a *Auditor) Counts() map[string]int { return a.counts }

// TxnCount returns the number of txns that schedulers accepted.
func (a *Auditor) TxnCount() int { return a.taken }

// History returns the events of the txn that Terms.KeepTxn names, one a line.
func (a *Auditor) History() []string {
	if a.kept == nil {
		return nil
	}
	return a.kept.history()
}

// String returns a violation with its history, one event a line.
func (v Violation) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s at %.3f ms: %s", v.Rule, v.At, v.Text)
	if v.Ref != "" {
		fmt.Fprintf(&s, " (txn %s)", v.Ref)
	}
	for _, l := range v.History {
		s.WriteString("\n    " + l)
	}
	return s.String()
}
