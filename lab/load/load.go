// Package load makes the work that clients bring and decides what clients do with answers. It has no clock and
// no I/O: the same stream of jobs, drawn from a seed alone, is played in simulated time and on sockets, and
// whatever decides cannot change what comes.
package load

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"shalebeam/lab/plan"
)

// Rand is a stream of draws for one part of an experiment. Parts draw from streams of their own, so that
// a change of one leaves the others' draws as they were.
func Rand(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Job is what one client wants done. Its tries are txns, each with a reference of its own.
type Job struct {
	No     int
	At     float64
	Scheme int
	Tenant int
	Key    string
	Mark   string // its idempotency key, the same with each try
	Work   float64
	Hint   float64 // below 0: none
	Slots  int
	Zone   int
	Worth  float64 // gain where it is settled in time
	Due    float64 // until when that is
	Leaves float64 // when its client goes away
	Tries  int
	Over   bool
	Got    string // how it ended
}

// Ref is the reference of its present try.
func (j *Job) Ref() string { return fmt.Sprintf("t%d-%d", j.No, j.Tries) }

// Stream makes jobs in the order in which they come.
type Stream struct {
	p     *plan.Plan
	r     *rand.Rand
	at    float64
	n     int
	base  float64 // txns a millisecond
	burst bool
	turn  float64 // when the burst or the lull ends
	parts float64
	lots  float64
	used  []float64 // quota tokens by tenant
	seen  []float64
}

// NewStream begins the stream of a seed.
func NewStream(p *plan.Plan, seed uint64) *Stream {
	s := &Stream{p: p, r: Rand(seed, "jobs"), base: p.PerSecond() / 1000,
		used: make([]float64, len(p.Clients.Tenants)), seen: make([]float64, len(p.Clients.Tenants))}
	for _, c := range p.Schemes {
		s.parts += c.Part
	}
	for i, t := range p.Clients.Tenants {
		s.lots += t.Part
		s.used[i] = t.Quota
	}
	return s
}

// rate is that of arrivals now, and until when it stays so.
func (s *Stream) rate() (rate, until float64) {
	rate, until = s.base, math.Inf(1)
	c := &s.p.Clients
	switch c.Arrivals {
	case "ramp":
		rate *= 1 + (c.RampTo-1)*s.at/float64(s.p.Length)
		until = s.at + 1000
	case "bursty":
		// Bursts bring half of all txns in the small part of the time that this leaves them.
		part := 0.5 / c.Burst
		for s.at >= s.turn {
			s.burst = !s.burst && s.turn > 0
			mean := float64(c.BurstFor)
			if !s.burst {
				mean *= (1 - part) / part
			}
			s.turn += max(-mean*math.Log(1-s.r.Float64()), 1)
		}
		if until = s.turn; s.burst {
			rate *= c.Burst
		} else {
			rate *= 0.5 / (1 - part)
		}
	}
	for _, f := range s.p.Faults {
		if f.Do != "burst" {
			continue
		}
		from, to := float64(f.At), float64(f.At+f.For)
		switch {
		case s.at < from:
			until = min(until, from)
		case s.at < to:
			rate *= f.Factor
			until = min(until, to)
		}
	}
	return rate, until
}

// Next returns the next job, until the experiment's length is over.
func (s *Stream) Next() (*Job, bool) {
	if s.p.Clients.Arrivals == "trace" {
		if s.n >= len(s.p.Clients.Trace) {
			return nil, false
		}
		s.at = float64(s.p.Clients.Trace[s.n])
	} else {
		// An exponential gap is used up at each rate in turn.
		for left := -math.Log(1 - s.r.Float64()); ; {
			rate, until := s.rate()
			if gap := left / rate; s.at+gap <= until {
				s.at += gap
				break
			}
			left -= (until - s.at) * rate
			s.at = until
		}
	}
	if s.at >= float64(s.p.Length) {
		return nil, false
	}
	j := s.draw()
	s.n++
	return j, true
}

func (s *Stream) draw() *Job {
	r := s.r
	pick := r.Float64() * s.parts
	scheme := 0
	for scheme < len(s.p.Schemes)-1 && pick >= s.p.Schemes[scheme].Part {
		pick -= s.p.Schemes[scheme].Part
		scheme++
	}
	c := &s.p.Schemes[scheme]
	j := &Job{No: s.n, At: s.at, Scheme: scheme, Slots: c.Slots, Hint: -1, Worth: c.Gain, Leaves: math.Inf(1)}
	// Every job takes the same number of draws, whatever they are used for.
	u, v, hinted, a, b := r.Float64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	key, zone, tenant, leaves, when := r.Float64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	j.Work = c.Cost.Draw(u, v)
	if hinted < c.Hinted {
		j.Hint = j.Work * math.Exp(c.Rough*math.Sqrt(-2*math.Log(1-a))*math.Cos(2*math.Pi*b))
	}
	if c.Keys > 0 {
		j.Key = fmt.Sprintf("k%d", int(float64(c.Keys)*key*key)) // some are asked for far more than others
	}
	if c.Effect == "referenced" {
		j.Mark = fmt.Sprintf("m%d", s.n)
	}
	j.Zone = int(zone * float64(len(s.p.Schedulers.Zones)))
	j.Due = j.At + float64(c.SLA) + c.Stretch*j.Work
	s.tenant(j, tenant)
	if leaves < s.p.Clients.Impatient {
		j.Leaves = j.At + when*(j.Due-j.At)
	}
	return j
}

// tenant deals the job to one and takes a token of its quota; without one it is worth less.
func (s *Stream) tenant(j *Job, pick float64) {
	ts := s.p.Clients.Tenants
	if len(ts) == 0 {
		return
	}
	pick *= s.lots
	for j.Tenant < len(ts)-1 && pick >= ts[j.Tenant].Part {
		pick -= ts[j.Tenant].Part
		j.Tenant++
	}
	i, quota := j.Tenant, ts[j.Tenant].Quota
	if quota == 0 {
		return
	}
	s.used[i] = min(s.used[i]+(j.At-s.seen[i])*quota/1000, quota)
	s.seen[i] = j.At
	if s.used[i] < 1 {
		j.Worth *= s.p.Schedulers.OverShare
		return
	}
	s.used[i]--
}

// What a client gets for a try.
const (
	Settled  = "settled"
	Declined = "declined"
	Reversed = "reversed"
	Refused  = "refused" // no scheduler took it
	Broken   = "broken"  // the connection ended without an answer
	Expired  = "expired" // the client's patience with this try is over
	Left     = "left"    // the client went away
)

// Answered takes what came of a try and tells whether, and when, the client tries again. A once-only job is
// tried again only where that is harmless, a settled one never.
func (j *Job) Answered(p *plan.Plan, now float64, got string, stay float64) (again float64, ok bool) {
	j.Tries++
	c := &p.Schemes[j.Scheme]
	harmless := got == Declined || got == Refused || c.Effect != "once-only"
	if got == Settled || got == Left || !harmless || j.Tries >= p.Clients.Tries {
		j.Over, j.Got = true, got
		return 0, false
	}
	// Tries spread out, each by chance of its own number: the stream's draws must not depend on answers.
	u := Rand(uint64(j.No), fmt.Sprint("again", j.Tries)).Float64()
	wait := float64(p.Clients.Backoff) * math.Exp2(float64(min(j.Tries-1, 6))) * (0.5 + u)
	return now + max(wait, stay*(1+0.5*u)), true
}

// Front deals the job's present try to one of n schedulers: one of its zone that the front takes for alive, else
// any such one; below 0 there is none.
func (j *Job) Front(seed uint64, n int, look func(i int) (zone int, listed bool)) int {
	var near, all []int
	for i := range n {
		zone, listed := look(i)
		if !listed {
			continue
		}
		if all = append(all, i); zone == j.Zone {
			near = append(near, i)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return -1
	}
	u := Rand(seed^uint64(j.No)<<20, fmt.Sprint("front", j.Tries)).Uint64()
	return near[u%uint64(len(near))]
}

// Gain is what a job earned that was settled at a time.
func (j *Job) Gain(p *plan.Plan, at float64) float64 {
	if at <= j.Due {
		return j.Worth
	}
	return j.Worth * p.Schemes[j.Scheme].Late
}
