package slowstart

import "math"

const (
	// capacityMemory is how long, in milliseconds, what settled counts in an estimate: long against single requests,
	// short against a day's changes.
	capacityMemory = 30000.0
	// deviations is how far an estimate is lowered for the chance in it, in standard deviations of a count.
	deviations = 2
)

// Capacity estimates what workers of each kind carry in the mean, from what this scheduler settles at warm ones: all
// schedulers together settle so many times as much, and a worker carries at least what it settles.
type Capacity struct {
	kinds map[int]*usage
	all   usage // what settled anywhere, also at cold workers
}

// usage is what settled at workers of one kind, and how long these were there for it. Both fade.
type usage struct {
	requests, work float64
	workers        int
	workerTime     float64
	at             float64
}

func (c *Capacity) of(now float64, kind int) *usage {
	if c.kinds == nil {
		c.kinds = map[int]*usage{}
	}
	u := c.kinds[kind]
	if u == nil {
		u = &usage{at: now}
		c.kinds[kind] = u
	}
	u.advance(now)
	return u
}

// advance lets what is known fade, and counts the time of the workers there.
func (u *usage) advance(now float64) {
	span := now - u.at
	if span <= 0 {
		return
	}
	fade := math.Exp(-span / capacityMemory)
	u.requests *= fade
	u.work *= fade
	u.workerTime = u.workerTime*fade + float64(u.workers)*capacityMemory*(1-fade)
	u.at = now
}

// Workers tells how many warm workers of a kind there are from now on.
func (c *Capacity) Workers(now float64, kind, count int) { c.of(now, kind).workers = count }

// Settled tells that a request of this work has settled at a worker of a kind, warm or in slow start.
func (c *Capacity) Settled(now float64, kind int, warm bool, work float64) {
	c.all.advance(now)
	c.all.requests++
	c.all.work += work
	if warm {
		u := c.of(now, kind)
		u.requests++
		u.work += work
	}
}

// MeanWork is what a request cost in the mean, of those that settled; 0 where none did.
func (c *Capacity) MeanWork() float64 {
	if c.all.requests < 1e-3 {
		return 0
	}
	return c.all.work / c.all.requests
}

// PerWorker is how many requests a worker of the kind runs at once in the mean, at the pace of their hints, if all
// schedulers settle as much as this one. It is 0 where too little is known.
func (c *Capacity) PerWorker(now float64, kind, schedulers int) float64 {
	u := c.of(now, kind)
	if u.workerTime <= 0 || u.requests <= deviations*deviations {
		return 0
	}
	return float64(schedulers) * u.work / u.workerTime * (1 - deviations/math.Sqrt(u.requests))
}
