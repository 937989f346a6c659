// Package tally keeps what an experiment measured: outcomes by scheme, latencies, a row for each second, and
// the auditor's breaks. Times are milliseconds. A result holds nothing of the machine it was made on, so that
// the same seed gives the same bytes.
package tally

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shalebeam/lab/audit"
	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// Result is one run's.
type Result struct {
	Plan      string         `json:"plan"`
	Policy    string         `json:"policy"`
	Way       string         `json:"way"` // simulated, or sockets
	Seed      uint64         `json:"seed"`
	Partial   bool           `json:"partial,omitempty"` // it was stopped before its end
	G         float64        `json:"g"`                 // gain earned of the gain offered
	Offered   int            `json:"offered"`
	Schemes   []Scheme       `json:"schemes"`
	Latency   Latency        `json:"latency_ms"`
	Curve     [][2]float64   `json:"curve"` // parts, and the latency below which each lies, for a plot
	Postings  int            `json:"postings"`
	Fleet     *Fleet         `json:"fleet,omitempty"` // in simulated time
	Busy      float64        `json:"busy"`            // part of the fleet's time that was worked
	Wasted    float64        `json:"wasted"`          // part of that work whose result nobody got
	Ended     int            `json:"ended_ms"`
	Steps     int            `json:"steps"`
	Decisions string         `json:"decisions,omitempty"` // a digest of all, in simulated time
	Memory    int            `json:"memory_kb,omitempty"` // the most that a scheduler's process held, on sockets
	Counts    map[string]int `json:"breaks"`
	Breaks    []audit.Violation  `json:"break_stories,omitempty"`
	History   []string       `json:"history,omitempty"`
	Seconds   []Second       `json:"seconds,omitempty"`
	hist      *hdrhistogram.Histogram
	offered   float64
	earned    float64
}

// Fleet counts what all schedulers together ask of the rest, beside postings.
type Fleet struct {
	Calls    int `json:"calls"` // for the list, each for a new watch
	Failed   int `json:"failed_calls"`
	Renewals int `json:"renewals"` // calls by which a watch went on
	Lines    int `json:"lines"`    // of the list, as they were told
	Probes   int `json:"probes"`
	Dials    int `json:"connections"` // made or tried
	Messages int `json:"messages"`    // as sent, to any number
	Heard    int `json:"heard"`       // as they came to each
	Bytes    int `json:"heard_bytes"`
}

// Scheme counts one scheme's jobs by how they ended.
type Scheme struct {
	Name     string  `json:"name"`
	Offered  int     `json:"offered"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Declined int     `json:"declined"`
	Reversed int     `json:"reversed"`
	None     int     `json:"no_answer"` // refused, broken, expired or left
	Tries    int     `json:"tries"`
	G        float64 `json:"g"`
	offered  float64
	earned   float64
}

// Latency has quantiles from first try to the settling answer.
type Latency struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Second is one second of the run, by when jobs came and ended.
type Second struct {
	Came     int     `json:"came"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Declined int     `json:"declined"`
	Other    int     `json:"other"`
	Open     int     `json:"open"`
	Capacity float64 `json:"capacity"` // cores that the fleet could give
}

// New begins a result.
func New(p *plan.Plan, policy, way string, seed uint64) *Result {
	r := &Result{Plan: p.Name, Policy: policy, Way: way, Seed: seed, Counts: map[string]int{},
		hist: hdrhistogram.New(1, 3600*1000*1000, 3)}
	for _, c := range p.Schemes {
		r.Schemes = append(r.Schemes, Scheme{Name: c.Name})
	}
	return r
}

func (r *Result) second(at float64) *Second {
	i := min(int(max(at, 0)/1000), 24*3600)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

// Came counts a job.
func (r *Result) Came(j *load.Job) {
	c := &r.Schemes[j.Scheme]
	c.Offered++
	c.offered += j.Worth
	r.Offered++
	r.offered += j.Worth
	r.second(j.At).Came++
}

// Over counts a job's end.
func (r *Result) Over(p *plan.Plan, j *load.Job, at float64) {
	c, s := &r.Schemes[j.Scheme], r.second(at)
	c.Tries += j.Tries
	switch {
	case j.Got == load.Settled:
		gain := j.Gain(p, at)
		c.earned += gain
		r.earned += gain
		_ = r.hist.RecordValue(int64(max(at-j.At, 0) * 1000))
		if at <= j.Due {
			c.InTime++
			s.InTime++
		} else {
			c.Late++
			s.Late++
		}
	case j.Got == load.Declined:
		c.Declined++
		s.Declined++
	case j.Got == load.Reversed:
		c.Reversed++
		s.Other++
	default:
		c.None++
		s.Other++
	}
}

// Look notes how many jobs are open and what the fleet can give at a time.
func (r *Result) Look(at float64, open int, capacity float64) {
	s := r.second(at)
	s.Open, s.Capacity = open, round(capacity)
}

// Close works the figures out.
func (r *Result) Close(a *audit.Auditor, at float64) {
	r.G = ratio(r.earned, r.offered)
	for i := range r.Schemes {
		r.Schemes[i].G = ratio(r.Schemes[i].earned, r.Schemes[i].offered)
	}
	q := func(x float64) float64 { return float64(r.hist.ValueAtQuantile(x)) / 1000 }
	if r.hist.TotalCount() > 0 {
		r.Latency = Latency{q(50), q(90), q(99), float64(r.hist.Max()) / 1000}
		for _, part := range []float64{0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999} {
			if float64(r.hist.TotalCount())*(1-part) >= 1 { // fewer say nothing of so rare a thing
				r.Curve = append(r.Curve, [2]float64{part, q(100 * part)})
			}
		}
	}
	r.Ended = int(at)
	r.Breaks, r.History = a.Violations(), a.History()
	for rule, n := range a.Counts() {
		r.Counts[rule] = n
	}
}

// BreakCount is how many rules were broken in all.
func (r *Result) BreakCount() (n int) {
	for _, k := range r.Counts {
		n += k
	}
	return n
}

// Rules are the names of those broken, sorted.
func (r *Result) Rules() (names []string) {
	for rule := range r.Counts {
		names = append(names, rule)
	}
	slices.Sort(names)
	return names
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return math.Round(a/b*1e6) / 1e6
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }
