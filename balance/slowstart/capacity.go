package slowstart

import "math"

const (
	// capacityMemory is how long, in milliseconds, what settled counts in an estimate: long against single requests,
	// short against a day's changes.
	capacityMemory = 30000.0
	// deviations is how far an estimate is lowered for the chance in it, in standard deviations of a count.
	deviations = 2
)

// Capacity estimates what workers of each kind carry, from what this scheduler settles at warm ones: all schedulers
// together settle so many times as much, and a worker carries at least what it settles. Workers of different size share
// it by size.
type Capacity struct{ kinds map[int]*usage }

// usage is what settled at workers of one kind, and how much size was there for how long. Both fade.
type usage struct {
	requests, work float64
	size           float64
	sizeTime       float64
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
	if span := now - u.at; span > 0 {
		fade := math.Exp(-span / capacityMemory)
		u.requests *= fade
		u.work *= fade
		u.sizeTime = u.sizeTime*fade + u.size*capacityMemory*(1-fade)
		u.at = now
	}
	return u
}

// Warm tells the sum of the sizes of all warm workers of a kind, as it is from now on.
func (c *Capacity) Warm(now float64, kind int, size float64) { c.of(now, kind).size = size }

// Settled tells that a request of this work has settled at a warm worker of a kind.
func (c *Capacity) Settled(now float64, kind int, work float64) {
	u := c.of(now, kind)
	u.requests++
	u.work += work
}

// Of is how many requests a worker of the kind and size runs at once in the mean, at the pace of their hints, if all
// schedulers settle as much as this one. It is 0 where too little is known.
func (c *Capacity) Of(now float64, kind int, size float64, schedulers int) float64 {
	u := c.of(now, kind)
	if u.sizeTime <= 0 || u.requests <= deviations*deviations {
		return 0
	}
	return float64(schedulers) * size * u.work / u.sizeTime * (1 - deviations/math.Sqrt(u.requests))
}
