// Package slowstart limits how much one scheduler may send to a worker in slow start, so that what all schedulers
// together send to it stays within the worker's budget, whatever the number of schedulers and the load of each.
//
// The package has no I/O and no clock, and its only state is what callers keep in WorkEstimator, SendLog and
// CapacityEstimator. Times are in milliseconds and come from the caller. The work of a request is in milliseconds too:
// how long it runs at the pace that work hints assume. A worker's capacity is the number of requests that it runs at
// once at that pace. The proof that the sum stays within the budget is in docs/design/cold.md.
package slowstart

import "math"

// Shares of a worker's budget are counted in units: a unit is one request of mean work.
const (
	// plannedShare is the fraction of the budget that is divided among the schedulers. The rest covers errors of hints and
	// estimates.
	plannedShare = 0.75
	// firstUnits is what a scheduler is given of the budget before the next one in the allocation order is given any. With
	// a single unit most requests would be too heavy for the scheduler's part; with many units the budget would go to few
	// schedulers, which seldom have so much to send.
	firstUnits = 2
	// maxRequestShare is the fraction of the planned units that a single request may take, and maxRequestUnits how many
	// units it may take. They bound the damage of a single hint that is far too low; the hints of many requests are off
	// by less in total.
	maxRequestShare = 1.0 / 3
	maxRequestUnits = 4
	// Requests count as unhinted when less than minHintedShare of them carry a work hint, once unhintedMinRequests have
	// arrived.
	minHintedShare      = 0.1
	unhintedMinRequests = 10
	// smallAllowance is the number of allowed requests below which RequestBudget adds a larger margin for chance.
	smallAllowance = 30
)

// Limits holds the settings for workers in slow start.
type Limits struct {
	InitialShare     float64 // fraction of its capacity that a worker has when it starts
	WarmUpMs         float64 // time from a worker's start until it has its full capacity, in milliseconds
	WindowMs         float64 // length of the sliding window that the budget applies to, in milliseconds
	CapacityMultiple float64 // how many times its capacity a worker may be sent in a window
}

// CapacityShare returns the least fraction of its capacity that a worker has at an age in milliseconds.
func (l Limits) CapacityShare(age float64) float64 {
	return min(l.InitialShare+(1-l.InitialShare)*max(age, 0)/l.WarmUpMs, 1)
}

// AllowedRequests returns how many requests of mean work a worker may be sent in a window that ends at this age. The age and
// the mean work are in milliseconds, the capacity in requests that run at once at the pace of their hints. The worker's
// share of its capacity is taken at the beginning of the window.
func (l Limits) AllowedRequests(age, capacity, meanWork float64) float64 {
	return l.CapacityMultiple * l.CapacityShare(age-l.WindowMs) * l.WindowMs * capacity / max(meanWork, 1e-3)
}

// RequestBudget returns how many requests of mean work all schedulers together may send in a window, given how many are
// allowed. What it adds to those is a margin for chance.
func RequestBudget(allowed float64) float64 {
	if allowed < smallAllowance {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// plannedUnits returns the part of the budget that is divided among the schedulers, in units.
func plannedUnits(allowed float64) float64 {
	return plannedShare * RequestBudget(allowed)
}

// Fleet tells which one of all schedulers this one is: its number, from 0, and how many there are. A size of 0 counts
// as 1.
type Fleet struct{ Number, Size int }

// allocationRank returns this scheduler's position, from 0, in the order in which schedulers are given parts of a
// worker's budget. The order begins at another scheduler for each worker, by the worker's hash; otherwise the same few
// schedulers would get the budgets of all workers of a release.
func (f Fleet) allocationRank(workerHash uint32) int {
	size := max(f.Size, 1)
	return ((f.Number-int(workerHash%uint32(size)))%size + size) % size
}

// WorkEstimator estimates the mean work of requests from those that this scheduler has seen. It counts the arrived requests with
// and without a hint, and the settled requests without a hint and their total work in milliseconds.
type WorkEstimator struct{ hinted, unhinted, settledUnhinted, settledUnhintedMs float64 }

// AddArrival records the arrival of a request, with or without a work hint.
func (w *WorkEstimator) AddArrival(hinted bool) {
	if hinted {
		w.hinted++
	} else {
		w.unhinted++
	}
}

// AddSettledUnhinted records the work, in milliseconds, of a settled request that had no hint.
func (w *WorkEstimator) AddSettledUnhinted(work float64) {
	w.settledUnhinted++
	w.settledUnhintedMs += work
}

// MostlyUnhinted reports whether hardly any requests carry hints.
func (w *WorkEstimator) MostlyUnhinted() bool {
	arrived := w.hinted + w.unhinted
	return arrived >= unhintedMinRequests && w.hinted < minHintedShare*arrived
}

// Mean returns the mean work of a request in milliseconds, given the mean of those with hints, or 0 if nothing is
// known. Requests without hints are weighted by their share of the arrivals: while workers are in slow start, their
// share of the settled requests is smaller.
func (w *WorkEstimator) Mean(hintedMean float64) float64 {
	switch {
	case w.settledUnhinted == 0:
		return hintedMean
	case w.hinted == 0 || hintedMean == 0:
		return w.settledUnhintedMs / w.settledUnhinted
	}
	return (w.hinted*hintedMean + w.unhinted*w.settledUnhintedMs/w.settledUnhinted) / (w.hinted + w.unhinted)
}

// RequestStats is what a scheduler knows of the arriving requests.
type RequestStats struct {
	MeanWorkMs     float64 // mean work of a request, in milliseconds
	HeaviestMs     float64 // the largest work among the requests that settled last, in milliseconds
	MostlyUnhinted bool    // hardly any carry a work hint
}

// Quota limits what one scheduler may send to one worker in any window.
type Quota struct {
	MaxRequests      int     // maximum number of requests
	MaxWorkMs        float64 // maximum of their total work, in milliseconds
	MaxRequestWorkMs float64 // maximum work of a single request, in milliseconds
	AllowsUnhinted   bool    // requests without a hint may be sent, within AdmitsUnhinted
}

// Quota returns this scheduler's quota at a worker, given by its hash, of this age in milliseconds. A scheduler's part
// only grows with age and capacity, and the parts of all schedulers add up to the planned units.
//
// A single request without a hint may be too heavy. Where other requests carry hints, only those are sent. Where hardly
// any do, the first scheduler in the allocation order may send one request without a hint, and so may each further one
// for which the planned units still cover a request as heavy as the heaviest of those that settled last.
func (l Limits) Quota(f Fleet, workerHash uint32, age, capacity float64, r RequestStats) Quota {
	rank := f.allocationRank(workerHash)
	units := plannedUnits(l.AllowedRequests(age, capacity, r.MeanWorkMs))
	ownUnits := unitsForRank(units, rank, max(f.Size, 1))
	heaviestFits := rank == 0 || float64(rank+1)*r.HeaviestMs <= units*r.MeanWorkMs
	return Quota{MaxRequests: int(ownUnits), MaxWorkMs: ownUnits * r.MeanWorkMs,
		MaxRequestWorkMs: min(maxRequestShare*units, maxRequestUnits) * r.MeanWorkMs,
		AllowsUnhinted:   r.MostlyUnhinted && heaviestFits}
}

// unitsForRank returns how many of the planned units the scheduler of this rank gets. In order of rank, each scheduler
// gets firstUnits until none are left; what is left once all schedulers have that many is divided evenly.
func unitsForRank(units float64, rank, size int) float64 {
	first := min(max(units-firstUnits*float64(rank), 0), firstUnits)
	rest := max(units-firstUnits*float64(size), 0)
	return first + rest/float64(size)
}

// AdmitsAny reports whether the quota admits any request.
func (q Quota) AdmitsAny() bool { return q.MaxRequests > 0 || q.AllowsUnhinted }

// Admits reports whether a request of this work, in milliseconds, may be sent in addition to what was sent in the
// window that ends now.
func (q Quota) Admits(sent Sent, work float64) bool {
	return sent.Requests < q.MaxRequests && sent.WorkMs+work <= q.MaxWorkMs && work <= q.MaxRequestWorkMs
}

// AdmitsUnhinted reports whether a request of unknown work may be sent: where AllowsUnhinted is set, one if nothing
// else was sent in the window, and otherwise as many as Admits lets pass with the work taken as heaviest, in
// milliseconds.
func (q Quota) AdmitsUnhinted(sent Sent, heaviest float64) bool {
	return q.AllowsUnhinted && (sent.Requests == 0 || q.Admits(sent, heaviest))
}

// Sent sums up what was sent to a worker in a window.
type Sent struct {
	Requests int
	WorkMs   float64 // total work of the requests, in milliseconds
}

// SendLog lists the requests that this scheduler sent to one worker within the last window.
type SendLog struct{ entries []entry }

// entry is a sent request: when it was sent, and its work, both in milliseconds.
type entry struct{ at, work float64 }

// Add records a request of this work, sent now, and drops the entries that are older than a window. All are in
// milliseconds.
func (l *SendLog) Add(now, window, work float64) {
	expired := 0
	for expired < len(l.entries) && now-l.entries[expired].at > window {
		expired++
	}
	l.entries = append(l.entries[expired:], entry{now, work})
}

// Within sums up what was sent in the window that ends now. Both times are in milliseconds.
func (l *SendLog) Within(now, window float64) (sent Sent) {
	for _, e := range l.entries {
		if now-e.at <= window {
			sent.Requests++
			sent.WorkMs += e.work
		}
	}
	return sent
}
