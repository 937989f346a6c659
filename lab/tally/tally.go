// Package tally collects the measurements of an experiment: outcomes by scheme, latencies, counts for each second,
// and the auditor's violations. Times are milliseconds. A result of simulated time contains nothing that depends on
// the machine, so that the same seed gives the same bytes.
package tally

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shalebeam/lab/audit"
	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// Result holds the measurements of one run.
type Result struct {
	Plan            string                  `json:"plan"`
	Policy          string                  `json:"policy"`
	Way             string                  `json:"way"` // how it was played: simulated or sockets
	Seed            uint64                  `json:"seed"`
	Partial         bool                    `json:"partial,omitempty"` // the run was stopped early
	G               float64                 `json:"g"`                 // gain earned as a part of the gain offered
	Offered         int                     `json:"offered"`           // number of jobs
	Schemes         []Scheme                `json:"schemes"`
	Latency         Latency                 `json:"latency_ms"`
	Curve           [][2]float64            `json:"curve"` // points of a plot: a part of the settled jobs, and the latency in ms below which it lies
	Postings        int                     `json:"postings"`
	Fleet           *Fleet                  `json:"fleet,omitempty"`         // only in simulated time
	Busy            float64                 `json:"busy"`                    // part of the fleet's core time that was used
	Wasted          float64                 `json:"wasted"`                  // part of that time whose result nobody received
	Ended           int                     `json:"ended_ms"`                // when the run ended
	Steps           int                     `json:"steps"`                   // events of simulated time
	Decisions       string                  `json:"decisions,omitempty"`     // digest of all decisions, only in simulated time
	Memory          int                     `json:"memory_kb,omitempty"`     // greatest resident size of a scheduler's process, only on sockets
	ViolationCounts map[string]int          `json:"breaks"`                  // violations by rule
	Violations      []audit.Violation       `json:"break_stories,omitempty"` // the first violations, with their histories
	History         []string                `json:"history,omitempty"`       // of the txn that was to be traced
	Seconds         []Second                `json:"seconds,omitempty"`
	latencies       *hdrhistogram.Histogram // of settled jobs, in microseconds
	offered         float64                 // gain
	earned          float64                 // gain
}

// Fleet counts the messages of all schedulers together, other than postings.
type Fleet struct {
	Calls    int `json:"calls"`        // of discovery for a new watch
	Failed   int `json:"failed_calls"` // those calls that failed
	Renewals int `json:"renewals"`     // calls that continued a watch
	Lines    int `json:"lines"`        // list entries that discovery sent
	Probes   int `json:"probes"`
	Dials    int `json:"connections"` // established or attempted
	Messages int `json:"messages"`    // datagrams to peers, each counted once for all its receivers
	Heard    int `json:"heard"`       // datagrams received, counted for each receiver
	Bytes    int `json:"heard_bytes"` // of the datagrams received
}

// Scheme counts the jobs of one scheme by outcome.
type Scheme struct {
	Name     string  `json:"name"`
	Offered  int     `json:"offered"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Declined int     `json:"declined"`
	Reversed int     `json:"reversed"`
	NoAnswer int     `json:"no_answer"` // refused, broken, expired or left, see package load
	Tries    int     `json:"tries"`     // attempts of all its jobs
	G        float64 `json:"g"`
	offered  float64 // gain
	earned   float64 // gain
}

// Latency holds quantiles of the time from a job's first attempt to the answer that settled it.
type Latency struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Second counts the jobs that arrived and ended in one second of the run.
type Second struct {
	Came     int     `json:"came"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Declined int     `json:"declined"`
	Other    int     `json:"other"`    // reversed, or without an answer
	Open     int     `json:"open"`     // jobs that were open when it was recorded
	Capacity float64 `json:"capacity"` // of the fleet, in cores at speed 1
}

// New returns an empty result. way is how the run is played, see Result.Way.
func New(p *plan.Plan, policy, way string, seed uint64) *Result {
	r := &Result{Plan: p.Name, Policy: policy, Way: way, Seed: seed, ViolationCounts: map[string]int{},
		latencies: hdrhistogram.New(1, 3600*1000*1000, 3)}
	for _, c := range p.Schemes {
		r.Schemes = append(r.Schemes, Scheme{Name: c.Name})
	}
	return r
}

// second returns the counts of the second that includes a time; times after 24 h belong to the last one.
func (r *Result) second(at float64) *Second {
	i := min(int(max(at, 0)/1000), 24*3600)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

// JobArrived counts a job that arrived.
func (r *Result) JobArrived(j *load.Job) {
	c := &r.Schemes[j.Scheme]
	c.Offered++
	c.offered += j.Gain
	r.Offered++
	r.offered += j.Gain
	r.second(j.At).Came++
}

// JobEnded counts a job that ended.
func (r *Result) JobEnded(p *plan.Plan, j *load.Job, at float64) {
	c, s := &r.Schemes[j.Scheme], r.second(at)
	c.Tries += j.Attempts
	switch {
	case j.Outcome == load.Settled:
		gain := j.GainAt(p, at)
		c.earned += gain
		r.earned += gain
		_ = r.latencies.RecordValue(int64(max(at-j.At, 0) * 1000))
		if at <= j.SLAEnd {
			c.InTime++
			s.InTime++
		} else {
			c.Late++
			s.Late++
		}
	case j.Outcome == load.Declined:
		c.Declined++
		s.Declined++
	case j.Outcome == load.Reversed:
		c.Reversed++
		s.Other++
	default:
		c.NoAnswer++
		s.Other++
	}
}

// Sample records the number of open jobs and the fleet's capacity in cores at a time.
func (r *Result) Sample(at float64, open int, capacity float64) {
	s := r.second(at)
	s.Open, s.Capacity = open, round(capacity)
}

// Close computes the figures of a run that ended at a time.
func (r *Result) Close(a *audit.Auditor, at float64) {
	r.G = ratio(r.earned, r.offered)
	for i := range r.Schemes {
		r.Schemes[i].G = ratio(r.Schemes[i].earned, r.Schemes[i].offered)
	}
	quantile := func(percent float64) float64 { return float64(r.latencies.ValueAtQuantile(percent)) / 1000 }
	if r.latencies.TotalCount() > 0 {
		r.Latency = Latency{quantile(50), quantile(90), quantile(99), float64(r.latencies.Max()) / 1000}
		for _, part := range []float64{0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999} {
			if float64(r.latencies.TotalCount())*(1-part) >= 1 { // below one job the quantile means nothing
				r.Curve = append(r.Curve, [2]float64{part, quantile(100 * part)})
			}
		}
	}
	r.Ended = int(at)
	r.Violations, r.History = a.Violations(), a.History()
	for rule, n := range a.Counts() {
		r.ViolationCounts[rule] = n
	}
}

// ViolationCount returns the number of violations of all rules.
func (r *Result) ViolationCount() (n int) {
	for _, k := range r.ViolationCounts {
		n += k
	}
	return n
}

// Rules returns the names of the violated rules, sorted.
func (r *Result) Rules() (names []string) {
	for rule := range r.ViolationCounts {
		names = append(names, rule)
	}
	slices.Sort(names)
	return names
}

// ratio returns a/b to 6 decimals, and 0 where b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return math.Round(a/b*1e6) / 1e6
}

// round returns x to 3 decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
