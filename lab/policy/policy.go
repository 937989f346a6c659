// Package policy holds what may make the decisions in an experiment: the shipped package balance, simple baselines to
// compare it with, and deliberately broken variants that test the auditor. All have the interface that package balance
// offers to its hosts. All times are milliseconds.
package policy

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strings"

	"shalebeam/balance"
)

// Decider makes the decisions of one scheduler. *balance.Scheduler implements it; package balance documents each call.
type Decider interface {
	ListChanged(now float64, whole bool, rows []balance.Listed)
	WatchAnswered(now float64, ok bool)
	SetListValidUntil(until float64)
	Arrived(now float64, x balance.Txn)
	Started(now float64, ref string, no int)
	Ended(now float64, ref string, no int, how balance.Outcome, closed bool, load balance.Load)
	Probed(now float64, id string, how balance.Outcome, load balance.Load)
	MessageReceived(now float64, from int, body []byte)
	TxnClosed(now float64, ref string)
	StopAt(at float64)
	Withdrawn(now float64, id string)
	Returned(now float64, id string)
	Retune(terms balance.Terms)
	NextFinal(now float64) (balance.Final, bool)
	NextCancel(now float64) (balance.Cancel, bool)
	NextPosting(now float64) (balance.Post, bool)
	NextProbe(now float64) (string, bool)
	NextMessage(now float64) ([]byte, bool)
	NextWatch(now float64) bool
	Wake(now float64) float64
}

// WorkerLoad returns the true state of a worker, for the baseline sees-all: work is what its running, queued and
// approaching jobs still need, in slot-milliseconds at speed 1, and pace how much of that it gets done in a millisecond.
// A pace of 0 means that it takes no jobs.
type WorkerLoad func(worker string) (work, pace float64)

// Names returns the names of all policies, the shipped one first.
func Names() []string { return []string{"adus", "random", "least", "two", "sees-all"} }

// New returns the decider of a policy. A name of the form POLICY:BUG plants a bug in it, see Bugs.
func New(name string, terms balance.Terms, workerLoad WorkerLoad) (Decider, error) {
	name, bug, planted := strings.Cut(name, ":")
	var d Decider
	switch name {
	case "adus":
		d = balance.New(terms)
	case "random", "least", "two", "sees-all":
		d = newBaseline(name, terms, workerLoad)
	default:
		return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(Names(), ", "))
	}
	if planted {
		return wrapWithBug(bug, d, terms)
	}
	return d, nil
}

// How the baselines retry and wait. Ticks are the schedulers' tick of the settings.
const (
	avoidForMs      = 1000 // no posting goes to a worker for this long after a failed or reset connection
	watchRetryMs    = 500  // after the end of a watch it is asked for again after this long, and up to as long again
	postRetryTicks  = 10   // until the next attempt to post a txn, times the postings made where one has ended
	answerTicks     = 2    // a txn is given up this long before its expiry
	coldAcceptShare = 0.5  // probability of accepting a cold worker, times its capacity share
)

// baseline implements the baselines. All post each txn at once, post it again only where that is harmless, and keep the
// same rules as package balance. They differ in how they pick a worker: random takes any, two the one with fewer own
// postings of two random ones, least the one with the fewest own postings, and sees-all the one with the shortest true
// wait. All weight a cold worker by its age, which is the usual slow start.
type baseline struct {
	name           string
	terms          balance.Terms
	workerLoad     WorkerLoad
	drawsMade      uint32
	byID           map[string]*worker // all workers ever listed
	listed         []*worker          // those in the current list
	open           map[string]*openTxn
	waiting        []*openTxn      // open txns without a posting out
	watching       bool            // a watch on the list of workers is on
	nextAskAt      float64         // when to ask for a watch next
	listValidUntil float64         // nothing is posted from then on, see balance.Scheduler.SetListValidUntil
	stopAt         float64         // when this scheduler stops; +Inf: no stop is planned
	withdrawn      map[string]bool // workers that staff took out
}

// worker is a worker as the baseline knows it.
type worker struct {
	balance.Listed
	outstanding int     // own postings out there
	avoidUntil  float64 // after a failed or reset connection
	inList      bool
}

// openTxn is a txn that has arrived, until it is closed and no posting of it is out.
type openTxn struct {
	balance.Txn
	row         balance.SchemeRow // the scheme's settings when it arrived
	maxPosts    int
	until       float64 // expiry, or this scheduler's stop if that is earlier
	posts       []posting
	nextPostAt  float64 // earliest time of the next posting
	outstanding int     // postings out
	closed      bool    // it has its final answer, or its client is gone
	mayHaveRun  bool    // an ended posting may have run
}

// posting is one posting of an openTxn.
type posting struct {
	to         *worker
	at         float64
	done       bool
	mayHaveRun bool
}

func newBaseline(name string, terms balance.Terms, workerLoad WorkerLoad) *baseline {
	return &baseline{name: name, terms: terms, workerLoad: workerLoad, byID: map[string]*worker{},
		open: map[string]*openTxn{}, withdrawn: map[string]bool{}, stopAt: math.Inf(1), listValidUntil: math.Inf(1)}
}

// draw returns the next number of the scheduler's random sequence, from 0 to 1.
func (b *baseline) draw() float64 {
	b.drawsMade++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d", b.terms.Seed, b.drawsMade))) / (1 << 32)
}

func (b *baseline) ListChanged(now float64, whole bool, rows []balance.Listed) {
	if whole {
		for _, w := range b.listed {
			w.inList = false
		}
		b.listed = nil
	}
	for _, r := range rows {
		w := b.byID[r.ID]
		if w == nil {
			w = &worker{}
			b.byID[r.ID] = w
		}
		if r.State != balance.Removed && !w.inList {
			b.listed = append(b.listed, w)
		}
		w.Listed, w.inList = r, r.State != balance.Removed
	}
	b.listed = slices.DeleteFunc(b.listed, func(w *worker) bool { return !w.inList })
}

func (b *baseline) SetListValidUntil(until float64) { b.listValidUntil = until }

func (b *baseline) WatchAnswered(now float64, ok bool) {
	b.watching = ok
	if !ok {
		b.nextAskAt = now + watchRetryMs + watchRetryMs*b.draw()
	}
}

func (b *baseline) Arrived(now float64, x balance.Txn) {
	t := &openTxn{Txn: x, row: b.terms.Schemes[x.Scheme], maxPosts: b.terms.MaxPostings, until: min(now+x.TimeLeftMs, b.stopAt)}
	b.open[x.Ref] = t
	b.waiting = append(b.waiting, t)
}

func (b *baseline) Started(float64, string, int) {}

func (b *baseline) Ended(now float64, ref string, no int, how balance.Outcome, closed bool, _ balance.Load) {
	t := b.open[ref]
	if t == nil || no >= len(t.posts) || t.posts[no].done {
		return
	}
	x := &t.posts[no]
	x.done, x.mayHaveRun = true, !how.NeverRan()
	x.to.outstanding--
	t.outstanding--
	t.mayHaveRun = t.mayHaveRun || x.mayHaveRun && how != balance.Done
	if how == balance.NoConnect || how == balance.Reset {
		x.to.avoidUntil = now + avoidForMs
	}
	t.closed = t.closed || closed || how == balance.Done
	if t.closed {
		b.closeTxn(t)
	} else if t.outstanding == 0 {
		t.nextPostAt = now + float64(len(t.posts))*postRetryTicks*b.terms.Tick
		b.waiting = append(b.waiting, t)
	}
}

// closeTxn stops posting a txn, and forgets it once no posting is out.
func (b *baseline) closeTxn(t *openTxn) {
	b.waiting = slices.DeleteFunc(b.waiting, func(o *openTxn) bool { return o == t })
	if t.outstanding == 0 {
		delete(b.open, t.Ref)
	}
}

func (b *baseline) Probed(float64, string, balance.Outcome, balance.Load) {}
func (b *baseline) MessageReceived(float64, int, []byte)                  {}

func (b *baseline) TxnClosed(_ float64, ref string) {
	if t := b.open[ref]; t != nil {
		t.closed = true
		b.closeTxn(t)
	}
}

func (b *baseline) StopAt(at float64) {
	b.stopAt = at
	for _, t := range b.open {
		t.until = min(t.until, at)
	}
}

func (b *baseline) Withdrawn(_ float64, id string) { b.withdrawn[id] = true }
func (b *baseline) Returned(_ float64, id string)  { delete(b.withdrawn, id) }

// Retune applies the new terms to txns that arrive from now on, as package balance does.
func (b *baseline) Retune(terms balance.Terms) { b.terms = terms }

func (b *baseline) NextFinal(now float64) (balance.Final, bool) {
	for _, t := range b.waiting {
		row := &t.row
		stuck := len(t.posts) >= t.maxPosts || t.mayHaveRun && row.Effect == balance.OnceOnly
		if !stuck && now < t.until-answerTicks*b.terms.Tick {
			continue
		}
		t.closed = true
		b.closeTxn(t)
		return balance.Final{Ref: t.Ref, Declined: !t.mayHaveRun || row.Effect == balance.Repeatable ||
			row.Effect == balance.Referenced && row.Group == balance.GroupAll}, true
	}
	return balance.Final{}, false
}

func (b *baseline) NextCancel(float64) (balance.Cancel, bool) { return balance.Cancel{}, false }

func (b *baseline) NextPosting(now float64) (balance.Post, bool) {
	for _, t := range b.waiting {
		if now >= b.listValidUntil || now < t.nextPostAt || len(t.posts) >= t.maxPosts {
			continue
		}
		w := b.pickWorker(now, t)
		if w == nil {
			t.nextPostAt = now + postRetryTicks*b.terms.Tick
			continue
		}
		t.posts = append(t.posts, posting{to: w, at: now})
		t.outstanding++
		w.outstanding++
		b.waiting = slices.DeleteFunc(b.waiting, func(o *openTxn) bool { return o == t })
		return balance.Post{Ref: t.Ref, Worker: w.ID, LatestSendAt: math.Inf(1)}, true
	}
	return balance.Post{}, false
}

// eligible reports whether a txn may be posted to a worker now. It keeps the rules on repeats. For slow start it accepts
// a cold worker at random, with a probability of coldAcceptShare times the capacity share that its age gives.
func (b *baseline) eligible(now float64, t *openTxn, w *worker) bool {
	row := &t.row
	if w.State != balance.Running || b.withdrawn[w.ID] || now < w.avoidUntil || !row.Open(w.Zone, w.Kind) {
		return false
	}
	for _, x := range t.posts {
		if !x.mayHaveRun || row.Effect == balance.Repeatable {
			continue
		}
		if row.Effect == balance.OnceOnly || now-x.at >= row.Window ||
			row.Group == balance.GroupZone && x.to.Zone != w.Zone ||
			row.Group == balance.GroupCell && x.to.Cell != w.Cell {
			return false
		}
	}
	if age := now - w.Start; w.Start > 0 && age < b.terms.SlowStartMs {
		return b.draw() < coldAcceptShare*(b.terms.SlowStartInitialShare+(1-b.terms.SlowStartInitialShare)*max(age, 0)/b.terms.SlowStartMs)
	}
	return true
}

// pickWorker chooses the worker for the next posting of a txn, nil if there is none.
func (b *baseline) pickWorker(now float64, t *openTxn) *worker {
	if b.name == "random" || b.name == "two" {
		var candidates []*worker
		for attempts := 0; attempts < 20+len(b.listed) && len(b.listed) > 0; attempts++ {
			w := b.listed[int(b.draw()*float64(len(b.listed)))]
			if !b.eligible(now, t, w) {
				continue
			}
			if candidates = append(candidates, w); b.name == "random" || len(candidates) == 2 {
				break
			}
		}
		if len(candidates) == 0 {
			return nil
		}
		return slices.MinFunc(candidates, func(w1, w2 *worker) int { return cmp.Compare(w1.outstanding, w2.outstanding) })
	}
	var best *worker
	lowest, lowestTie := 0.0, 0.0
	for _, w := range b.listed {
		load := float64(w.outstanding)
		if b.name == "sees-all" {
			work, pace := b.workerLoad(w.ID)
			if pace <= 0 {
				continue
			}
			load = work / pace
		}
		if best != nil && load > lowest {
			continue
		}
		if tie := b.draw(); (best == nil || load < lowest || tie < lowestTie) && b.eligible(now, t, w) {
			best, lowest, lowestTie = w, load, tie
		}
	}
	return best
}

func (b *baseline) NextProbe(float64) (string, bool)   { return "", false }
func (b *baseline) NextMessage(float64) ([]byte, bool) { return nil, false }

func (b *baseline) NextWatch(now float64) bool {
	if !b.terms.PollsList || b.watching || now < b.nextAskAt {
		return false
	}
	b.nextAskAt = now + b.terms.ListPollIntervalMs
	return true
}

func (b *baseline) Wake(now float64) float64 {
	at := math.Inf(1)
	if b.terms.PollsList && !b.watching {
		at = b.nextAskAt
	}
	for _, t := range b.waiting {
		at = min(at, t.until-answerTicks*b.terms.Tick)
		if len(t.posts) < t.maxPosts {
			at = min(at, t.nextPostAt)
		}
	}
	return max(at, now+b.terms.Tick)
}
