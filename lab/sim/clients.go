package sim

import (
	"math"
	"slices"

	"shalebeam/lab/load"
	"shalebeam/lab/script"
)

// attempt is one attempt of a client at a job: a txn on its way to a scheduler, at the scheduler, or ended.
type attempt struct {
	job        *load.Job
	ref        string     // of the txn
	scheduler  *scheduler // nil: the front found none alive
	generation int        // of the scheduler's process that accepted it
	ended      bool       // the client has its outcome
	accepted   bool       // it has reached a running scheduler
	useTwin    bool       // it is sent to the twin of the job's scheme
}

// scheduleNextJob schedules the arrival of the next job of the stream, and the time at which its client leaves.
func (sim *simulation) scheduleNextJob() {
	j, ok := sim.stream.Next()
	if !ok {
		sim.moreJobs = false
		return
	}
	sim.at(j.At, func() {
		sim.openJobs++
		sim.result.JobArrived(j)
		sim.startAttempt(j)
		sim.scheduleNextJob()
	})
	if !math.IsInf(j.LeavesAt, 1) {
		sim.at(j.LeavesAt, func() { sim.clientLeaves(j) })
	}
}

// pickScheduler returns the scheduler to which the front sends the current attempt at a job, nil if it believes none
// alive.
func (sim *simulation) pickScheduler(j *load.Job) *scheduler {
	no := j.ChooseScheduler(sim.seed, len(sim.schedulers), func(no int) (int, bool) {
		return sim.schedulers[no].zone, sim.schedulers[no].inService
	})
	if no < 0 {
		return nil
	}
	return sim.schedulers[no]
}

// startAttempt starts the next attempt at a job.
func (sim *simulation) startAttempt(j *load.Job) {
	if j.Ended {
		return
	}
	attempt := &attempt{job: j, ref: j.Ref(), scheduler: sim.pickScheduler(j), useTwin: sim.useTwins}
	sim.attempts[j.No] = attempt
	expiry := sim.now + float64(sim.plan.Schemes[j.Scheme].Expiry)
	// After the expiry the client waits a little longer for an answer that is on its way.
	sim.at(expiry+2*answerGraceMs+1000, func() { sim.endAttempt(attempt, load.Expired, 0) })
	if attempt.scheduler == nil {
		sim.after(sim.net.delay(), func() { sim.endAttempt(attempt, load.Refused, 0) })
		return
	}
	sim.after(sim.net.delay(), func() {
		if !attempt.scheduler.alive {
			sim.after(sim.net.delay(), func() { sim.endAttempt(attempt, load.Refused, 0) })
			return
		}
		if attempt.ended {
			return
		}
		attempt.generation, attempt.accepted = attempt.scheduler.generation, true
		attempt.scheduler.acceptTxn(attempt, expiry)
	})
}

// endAttempt gives an attempt its outcome, unless it has one, and schedules the client's next attempt, if any.
// retryAfter is the delay in milliseconds that the answer asks for.
func (sim *simulation) endAttempt(attempt *attempt, outcome string, retryAfter float64) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	if attempt.accepted && outcome != load.Settled && outcome != load.Declined && outcome != load.Reversed &&
		outcome != load.Broken {
		s, gen := attempt.scheduler, attempt.generation // the client closes its connection to it
		sim.after(sim.net.delay(), func() {
			if s.generation == gen && s.alive {
				s.clientGone(attempt.ref)
			}
		})
	}
	j := attempt.job
	delete(sim.attempts, j.No)
	retryAt, again := j.RecordOutcome(sim.plan, sim.now, outcome, retryAfter)
	if !again {
		sim.openJobs--
		sim.result.JobEnded(sim.plan, j, sim.now)
		return
	}
	sim.at(retryAt, func() { sim.startAttempt(j) })
}

// clientLeaves makes the client of a job disconnect for good, during an attempt or between two.
func (sim *simulation) clientLeaves(j *load.Job) {
	if j.Ended {
		return
	}
	if attempt := sim.attempts[j.No]; attempt != nil {
		sim.endAttempt(attempt, load.Left, 0)
		return
	}
	j.Ended, j.Outcome = true, load.Left // between two attempts
	sim.openJobs--
	sim.result.JobEnded(sim.plan, j, sim.now)
}

// massCancel makes a random share of all waiting clients leave at once.
func (sim *simulation) massCancel(a script.Action) {
	var jobNos []int
	for jobNo := range sim.attempts {
		jobNos = append(jobNos, jobNo)
	}
	slices.Sort(jobNos)
	r := load.Rand(a.Seed, "cancel")
	for _, jobNo := range jobNos {
		if attempt := sim.attempts[jobNo]; r.Float64() < a.Factor {
			sim.clientLeaves(attempt.job)
		}
	}
}
