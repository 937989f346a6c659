package slowstart

import "math"

const (
	// capacityMemoryMs is the time constant with which settled requests fade from an estimate, in milliseconds: long
	// compared to single requests, short compared to the changes of load during a day. What settled at workers that are
	// gone fades as well.
	capacityMemoryMs = 30000.0
	// deviations is by how many standard deviations of a count an estimate is lowered, to allow for chance.
	deviations = 2
)

// CapacityEstimator estimates the capacity of the workers of each kind from what this scheduler settles at workers that are no
// longer in slow start (warm ones). All schedulers together settle as much as this one times their number, and a
// worker's capacity is at least what it settles. Workers of different size count in proportion to their size.
type CapacityEstimator struct{ usageByKind map[int]*usage }

// usage is what settled at the warm workers of one kind, and how much worker size was there for how long. Both fade
// exponentially.
type usage struct {
	requests    float64 // number of settled requests
	workMs      float64 // their total work, in milliseconds
	size        float64 // sum of the sizes of all warm workers
	sizeMs      float64 // integral of size over time, in milliseconds
	updatedAtMs float64 // time up to which the values have faded
}

// usageAt returns the usage of a kind, faded up to now (in milliseconds). It creates the usage if there is none.
func (c *CapacityEstimator) usageAt(now float64, kind int) *usage {
	if c.usageByKind == nil {
		c.usageByKind = map[int]*usage{}
	}
	u := c.usageByKind[kind]
	if u == nil {
		u = &usage{updatedAtMs: now}
		c.usageByKind[kind] = u
	}
	if elapsed := now - u.updatedAtMs; elapsed > 0 {
		fade := math.Exp(-elapsed / capacityMemoryMs)
		u.requests *= fade
		u.workMs *= fade
		u.sizeMs = u.sizeMs*fade + u.size*capacityMemoryMs*(1-fade)
		u.updatedAtMs = now
	}
	return u
}

// SetWarmSize sets the sum of the sizes of all warm workers of a kind from now on.
func (c *CapacityEstimator) SetWarmSize(now float64, kind int, size float64) {
	c.usageAt(now, kind).size = size
}

// AddSettled records that a request of this work, in milliseconds, has settled at a warm worker of a kind.
func (c *CapacityEstimator) AddSettled(now float64, kind int, work float64) {
	u := c.usageAt(now, kind)
	u.requests++
	u.workMs += work
}

// Estimate estimates how many requests a worker of the kind and size runs at once on average, at the pace of their hints,
// assuming that each scheduler settles as much as this one. It returns 0 if too little has settled.
func (c *CapacityEstimator) Estimate(now float64, kind int, size float64, schedulers int) float64 {
	u := c.usageAt(now, kind)
	if u.sizeMs <= 0 || u.requests <= deviations*deviations {
		return 0
	}
	return float64(schedulers) * size * u.workMs / u.sizeMs * (1 - deviations/math.Sqrt(u.requests))
}
