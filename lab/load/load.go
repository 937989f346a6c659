// Package load generates the jobs of clients and models how clients react to answers: retry, back off or leave. It has
// no clock and no I/O. The stream of jobs is drawn from a seed alone, so that the same one is played in simulated time
// and on real sockets, and no policy under test can change which jobs come. All times are milliseconds since the start
// of the experiment.
package load

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"shalebeam/lab/plan"
)

// Rand returns the random source of one part of an experiment, derived from the seed and the part's name. Each part has
// a source of its own, so that a change in how often one draws leaves the draws of the others as they were.
func Rand(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Job is one request of a client. The client may make several attempts at it; each attempt is a txn with a reference of
// its own.
type Job struct {
	No             int     // place in the stream, from 0
	At             float64 // when the client makes its first attempt
	Scheme         int     // index in the plan's schemes
	Tenant         int     // index in the plan's tenants
	Key            string  // key of the object that it is about; "": none
	IdempotencyKey string  // idempotency key, the same in each attempt; "": none
	Work           float64 // running time on a core of its own at speed 1, in milliseconds
	Hint           float64 // client's estimate of Work; below 0: none is sent
	Slots          int     // slots that it occupies on its worker
	Zone           int     // zone of the client, as an index in the schedulers' zones
	Gain           float64 // gain if it is settled by SLAEnd
	SLAEnd         float64 // end of its SLA time
	LeavesAt       float64 // when its client disconnects for good; +Inf: never
	Attempts       int     // attempts that have ended
	Ended          bool    // it has its outcome, and no more attempts follow
	Outcome        string  // outcome of the last attempt: Settled, Declined and so on
}

// Ref returns the txn reference of the current attempt.
func (j *Job) Ref() string { return fmt.Sprintf("t%d-%d", j.No, j.Attempts) }

// Stream generates the jobs of an experiment in order of arrival.
type Stream struct {
	plan        *plan.Plan
	rand        *rand.Rand
	now         float64   // arrival of the last job
	made        int       // jobs generated so far
	baseRate    float64   // arrival rate apart from bursts and ramps, in jobs per millisecond
	inBurst     bool      // with bursty arrivals: now is in a burst, not in a lull
	phaseEnd    float64   // when that burst or lull ends
	schemeParts float64   // sum of the schemes' parts
	tenantParts float64   // sum of the tenants' parts
	quotaTokens []float64 // tokens left in each tenant's quota bucket, which holds one second's worth
	refilledAt  []float64 // when each tenant's bucket was last refilled
}

// NewStream returns the stream of jobs that a seed gives.
func NewStream(p *plan.Plan, seed uint64) *Stream {
	s := &Stream{plan: p, rand: Rand(seed, "jobs"), baseRate: p.ArrivalsPerSecond() / 1000,
		quotaTokens: make([]float64, len(p.Clients.Tenants)), refilledAt: make([]float64, len(p.Clients.Tenants))}
	for _, c := range p.Schemes {
		s.schemeParts += c.Part
	}
	for i, t := range p.Clients.Tenants {
		s.tenantParts += t.Part
		s.quotaTokens[i] = t.Quota
	}
	return s
}

// arrivalRate returns the current rate of arrivals in jobs per millisecond, and until when it holds.
func (s *Stream) arrivalRate() (rate, until float64) {
	rate, until = s.baseRate, math.Inf(1)
	c := &s.plan.Clients
	switch c.Arrivals {
	case "ramp":
		rate *= 1 + (c.RampTo-1)*s.now/float64(s.plan.Length)
		until = s.now + 1000
	case "bursty":
		// Bursts bring half of all jobs. At Burst times the mean rate they do so in this share of the time.
		burstShare := 0.5 / c.Burst
		for s.now >= s.phaseEnd {
			s.inBurst = !s.inBurst && s.phaseEnd > 0
			mean := float64(c.BurstFor)
			if !s.inBurst {
				mean *= (1 - burstShare) / burstShare
			}
			s.phaseEnd += max(-mean*math.Log(1-s.rand.Float64()), 1)
		}
		if until = s.phaseEnd; s.inBurst {
			rate *= c.Burst
		} else {
			rate *= 0.5 / (1 - burstShare)
		}
	}
	for _, f := range s.plan.Faults {
		if f.Do != "burst" {
			continue
		}
		from, to := float64(f.At), float64(f.At+f.For)
		switch {
		case s.now < from:
			until = min(until, from)
		case s.now < to:
			rate *= f.Factor
			until = min(until, to)
		}
	}
	return rate, until
}

// Next returns the next job, and false once the experiment's length is over.
func (s *Stream) Next() (*Job, bool) {
	if s.plan.Clients.Arrivals == "trace" {
		if s.made >= len(s.plan.Clients.Trace) {
			return nil, false
		}
		s.now = float64(s.plan.Clients.Trace[s.made])
	} else {
		// One exponential draw of mean 1 gives the gap to the next arrival: each stretch of time with a constant rate
		// uses up its length times its rate.
		for left := -math.Log(1 - s.rand.Float64()); ; {
			rate, until := s.arrivalRate()
			if gap := left / rate; s.now+gap <= until {
				s.now += gap
				break
			}
			left -= (until - s.now) * rate
			s.now = until
		}
	}
	if s.now >= float64(s.plan.Length) {
		return nil, false
	}
	j := s.drawJob()
	s.made++
	return j, true
}

// drawJob draws the job that arrives now.
func (s *Stream) drawJob() *Job {
	r := s.rand
	pick := r.Float64() * s.schemeParts
	schemeNo := 0
	for schemeNo < len(s.plan.Schemes)-1 && pick >= s.plan.Schemes[schemeNo].Part {
		pick -= s.plan.Schemes[schemeNo].Part
		schemeNo++
	}
	scheme := &s.plan.Schemes[schemeNo]
	j := &Job{No: s.made, At: s.now, Scheme: schemeNo, Slots: scheme.Slots, Hint: -1, Gain: scheme.Gain,
		LeavesAt: math.Inf(1)}
	// Every job takes the same number of draws, whichever of them it uses, so that a change of one setting leaves the
	// other properties of all jobs as they were.
	costDraw1, costDraw2, hintedDraw, hintDraw1, hintDraw2 :=
		r.Float64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	keyDraw, zoneDraw, tenantDraw, leavesDraw, leaveTimeDraw :=
		r.Float64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	j.Work = scheme.Cost.Draw(costDraw1, costDraw2)
	if hintedDraw < scheme.Hinted {
		j.Hint = j.Work * math.Exp(scheme.Rough*math.Sqrt(-2*math.Log(1-hintDraw1))*math.Cos(2*math.Pi*hintDraw2))
	}
	if scheme.Keys > 0 {
		j.Key = fmt.Sprintf("k%d", int(float64(scheme.Keys)*keyDraw*keyDraw)) // squared, so that keys are not equally popular
	}
	if scheme.Effect == "referenced" {
		j.IdempotencyKey = fmt.Sprintf("m%d", s.made)
	}
	j.Zone = int(zoneDraw * float64(len(s.plan.Schedulers.Zones)))
	j.SLAEnd = j.At + float64(scheme.SLA) + scheme.Stretch*j.Work
	s.assignTenant(j, tenantDraw)
	if leavesDraw < s.plan.Clients.Impatient {
		j.LeavesAt = j.At + leaveTimeDraw*(j.SLAEnd-j.At)
	}
	return j
}

// assignTenant gives the job a tenant, by a draw from 0 to 1, and takes a token from that tenant's quota. A job over
// quota is worth less.
func (s *Stream) assignTenant(j *Job, pick float64) {
	tenants := s.plan.Clients.Tenants
	if len(tenants) == 0 {
		return
	}
	pick *= s.tenantParts
	for j.Tenant < len(tenants)-1 && pick >= tenants[j.Tenant].Part {
		pick -= tenants[j.Tenant].Part
		j.Tenant++
	}
	i, quota := j.Tenant, tenants[j.Tenant].Quota
	if quota == 0 {
		return
	}
	s.quotaTokens[i] = min(s.quotaTokens[i]+(j.At-s.refilledAt[i])*quota/1000, quota)
	s.refilledAt[i] = j.At
	if s.quotaTokens[i] < 1 {
		j.Gain *= s.plan.Schedulers.OverShare
		return
	}
	s.quotaTokens[i]--
}

// Outcomes of an attempt, as its client sees them.
const (
	Settled  = "settled"
	Declined = "declined"
	Reversed = "reversed"
	Refused  = "refused" // no scheduler accepted the connection
	Broken   = "broken"  // the connection ended without an answer
	Expired  = "expired" // no answer came before the client's timeout
	Left     = "left"    // the client disconnected for good
)

// RecordOutcome records the outcome of an attempt and returns when the client retries, or false where it does not.
// retryAfter is the delay that the answer asks for, in milliseconds. A settled job is never retried; a once-only job is
// retried only if its attempt was declined or refused, so that it cannot have run.
func (j *Job) RecordOutcome(p *plan.Plan, now float64, outcome string, retryAfter float64) (retryAt float64, ok bool) {
	j.Attempts++
	scheme := &p.Schemes[j.Scheme]
	harmless := outcome == Declined || outcome == Refused || scheme.Effect != "once-only"
	if outcome == Settled || outcome == Left || !harmless || j.Attempts >= p.Clients.Tries {
		j.Ended, j.Outcome = true, outcome
		return 0, false
	}
	// The jitter comes from a source of its own for each attempt: the draws of the stream must not depend on answers.
	jitter := Rand(uint64(j.No), fmt.Sprint("again", j.Attempts)).Float64()
	backoff := float64(p.Clients.Backoff) * math.Exp2(float64(min(j.Attempts-1, 6))) * (0.5 + jitter)
	return now + max(backoff, retryAfter*(1+0.5*jitter)), true
}

// ChooseScheduler chooses the scheduler for the current attempt as the load balancer in front of n schedulers does: a
// random one of the client's zone among those that scheduler(i) reports as listed, that is believed alive, or of any zone
// where the client's has none. It returns -1 if none is listed.
func (j *Job) ChooseScheduler(seed uint64, n int, scheduler func(i int) (zone int, listed bool)) int {
	var sameZone, all []int
	for i := range n {
		zone, listed := scheduler(i)
		if !listed {
			continue
		}
		if all = append(all, i); zone == j.Zone {
			sameZone = append(sameZone, i)
		}
	}
	if len(sameZone) == 0 {
		sameZone = all
	}
	if len(sameZone) == 0 {
		return -1
	}
	draw := Rand(seed^uint64(j.No)<<20, fmt.Sprint("front", j.Attempts)).Uint64()
	return sameZone[draw%uint64(len(sameZone))]
}

// GainAt returns what the job earns if it is settled at a time: a part only after its SLA time.
func (j *Job) GainAt(p *plan.Plan, at float64) float64 {
	if at <= j.SLAEnd {
		return j.Gain
	}
	return j.Gain * p.Schemes[j.Scheme].Late
}
