// Package slowstart decides how much one scheduler may send to a worker in slow start, so that what all schedulers
// together send stays within what the worker is allowed, however many they are and whatever each has to send.
//
// It has no I/O, no clock and no state but the Log of what was sent: times come from the caller, in milliseconds.
// The proof of the bound is in docs/design/cold.md.
package slowstart

import "math"

const (
	// plannedShare is the part of the budget that is given out: the rest is for hints and estimates that are off.
	plannedShare = 0.75
	// unitsFirst is what a scheduler is given of the budget before the next one in order is given any, in requests of
	// mean work: with one alone most requests would be too heavy for it, with many they go to few schedulers, which
	// seldom have so much to send.
	unitsFirst = 2
	// heaviestShare is what one request may take of the work planned for all, and heaviestUnits how many times the mean
	// it may cost: its hint may be far too low, while many hints are off by less together.
	heaviestShare = 1.0 / 3
	heaviestUnits = 4
	// Where fewer requests than unhintedPart bring hints there are taken to be none; so many requests show it.
	unhintedPart = 0.1
	unhintedFrom = 10
	// fewRequests is how many allowed requests are few: more of the budget is then for chance.
	fewRequests = 30
)

// Limits is what the settings allow workers in slow start.
type Limits struct {
	InitialShare float64 // part of its capacity that a worker has when it starts
	WarmUp       float64 // from the start until it has all of it
	Window       float64 // any time of this length is held to the budget
	Multiple     float64 // how many times its capacity a worker may be sent in a window
}

// Share is the least part of its capacity that a worker of this age has.
func (l Limits) Share(age float64) float64 {
	return min(l.InitialShare+(1-l.InitialShare)*max(age, 0)/l.WarmUp, 1)
}

// Allowed is how many requests of mean work a worker may be sent in a window that ends at this age. The capacity is in
// requests that run at once at the pace of their hints; the share is the one at the window's begin.
func (l Limits) Allowed(age, capacity, meanWork float64) float64 {
	return l.Multiple * l.Share(age-l.Window) * l.Window * capacity / max(meanWork, 1e-3)
}

// Budget is how many requests of mean work all schedulers together may send in a window where so many are allowed: what
// is beyond them is for chance.
func Budget(allowed float64) float64 {
	if allowed < fewRequests {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// planned is the part of the budget that is given out.
func planned(allowed float64) float64 {
	return plannedShare * Budget(allowed)
}

// Fleet is this scheduler's number among all of them.
type Fleet struct{ Number, Size int }

// rank is this scheduler's place in the order in which schedulers are given parts of a worker's budget. Each worker's
// order begins elsewhere, or a few schedulers would have all workers of a release.
func (f Fleet) rank(worker uint32) int {
	size := max(f.Size, 1)
	return ((f.Number-int(worker%uint32(size)))%size + size) % size
}

// Work is what requests cost by what a scheduler has seen of them.
type Work struct{ hinted, unhinted, settled, sum float64 }

// Arrived tells that a request came, with a hint of its work or without.
func (w *Work) Arrived(hinted bool) {
	if hinted {
		w.hinted++
	} else {
		w.unhinted++
	}
}

// Settled tells what a request without a hint has cost.
func (w *Work) Settled(cost float64) {
	w.settled++
	w.sum += cost
}

// Unhinted tells whether next to no requests bring hints.
func (w *Work) Unhinted() bool {
	came := w.hinted + w.unhinted
	return came >= unhintedFrom && w.hinted < unhintedPart*came
}

// Mean is what a request costs in the mean, given what those with hints do; 0 where nothing is known. Those without are
// weighed as they come: of what settles they are a smaller part as long as workers are in slow start.
func (w *Work) Mean(ofHinted float64) float64 {
	switch {
	case w.settled == 0:
		return ofHinted
	case w.hinted == 0 || ofHinted == 0:
		return w.sum / w.settled
	}
	return (w.hinted*ofHinted + w.unhinted*w.sum/w.settled) / (w.hinted + w.unhinted)
}

// Requests is what a scheduler knows of the requests that come.
type Requests struct {
	MeanWork float64 // of one, in milliseconds at the pace of the hints
	Heaviest float64 // the most work of those that settled lately
	Unhinted bool    // next to none bring a hint of their work
}

// Quota is what one scheduler may send to one worker in any window.
type Quota struct {
	Requests int     // so many at the most
	Work     float64 // and so much in all
	Heaviest float64 // and none of more work than this
	Unhinted bool    // one without a hint may go alone
}

// Quota is this scheduler's part for a worker of this age. Parts only grow with age and capacity, and those of all
// schedulers add up to what is planned.
//
// A request without a hint may be too heavy by itself. Where others bring hints only these go; where next to none do, one
// goes at the first scheduler in order, and at as many more as the plan bears requests as heavy as the
// heaviest of late.
func (l Limits) Quota(f Fleet, worker uint32, age, capacity float64, r Requests) Quota {
	rank := f.rank(worker)
	units := planned(l.Allowed(age, capacity, r.MeanWork))
	mine := part(units, rank, max(f.Size, 1))
	fits := rank == 0 || float64(rank+1)*r.Heaviest <= units*r.MeanWork
	return Quota{Requests: int(mine), Work: mine * r.MeanWork, Heaviest: min(heaviestShare*units, heaviestUnits) * r.MeanWork,
		Unhinted: r.Unhinted && fits}
}

// part is what the scheduler of this rank has of so many units: the first ones have unitsFirst each, as far as it goes;
// what is left once all have that much is shared evenly.
func part(units float64, rank, size int) float64 {
	first := min(max(units-unitsFirst*float64(rank), 0), unitsFirst)
	rest := max(units-unitsFirst*float64(size), 0)
	return first + rest/float64(size)
}

// Any tells whether there is anything that it lets go.
func (q Quota) Any() bool { return q.Requests > 0 || q.Unhinted }

// Admits tells whether a request of this cost may go in addition to what went in the window that ends now.
func (q Quota) Admits(sent Sent, cost float64) bool {
	return sent.Requests < q.Requests && sent.Work+cost <= q.Work && cost <= q.Heaviest
}

// AdmitsUnhinted tells whether a request may go whose work nobody knows, and which may be as heavy as this.
func (q Quota) AdmitsUnhinted(sent Sent, heaviest float64) bool {
	return q.Unhinted && (sent.Requests == 0 || q.Admits(sent, heaviest))
}

// Sent is what went to a worker in a window.
type Sent struct {
	Requests int
	Work     float64
}

// Log is what this scheduler sent to one worker lately.
type Log struct{ entries []entry }

type entry struct{ at, work float64 }

// Add notes a request of this cost, and forgets those that no window can hold any more.
func (l *Log) Add(now, window, cost float64) {
	old := 0
	for old < len(l.entries) && now-l.entries[old].at > window {
		old++
	}
	l.entries = append(l.entries[old:], entry{now, cost})
}

// Within is what went in the window that ends now.
func (l *Log) Within(now, window float64) (sent Sent) {
	for _, e := range l.entries {
		if now-e.at <= window {
			sent.Requests++
			sent.Work += e.work
		}
	}
	return sent
}
