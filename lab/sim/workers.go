package sim

import (
	"math"
	"math/rand/v2"

	"shalebeam/balance"
	"shalebeam/lab/machine"
	"shalebeam/lab/plan"
	"shalebeam/lab/script"
)

// worker is one worker: its model, its process and how it answers schedulers.
type worker struct {
	plan.PlacedWorker
	sim             *simulation
	no              int
	model           *machine.Machine
	up              bool // its process runs
	unresponsive    bool // its host sends nothing at all, not even a reset of connections to a dead process
	generation      int  // counts starts and ends of its process; connections to an earlier process are broken
	idempotencyKeys map[balance.DedupGroup]*machine.SharedStore
	rand            *rand.Rand
	wakeAt          float64 // time of the scheduled call of Advance; -1: none
	// Shares of its answers that faults make fail, repeat, come late, or name another txn.
	errorRate, duplicateRate, lateRate, wrongIDRate float64
	approachingWork                                 float64      // work of postings under way to it, in slot-milliseconds
	wastedWork                                      float64      // work whose result nobody got, in slot-milliseconds
	loadReports                                     []loadReport // the last two
	nextReportAt                                    float64
}

// loadReport is how many slots were free at a time.
type loadReport struct{ at, free float64 }

// lateAnswerMs is the delay of an answer that a fault makes late. It is longer than most SLA times.
const lateAnswerMs = 4000.0

// maintenanceRestartMs is the time from the beginning of maintenance to the worker's restart.
const maintenanceRestartMs = 100

func (w *worker) part() script.Part { return script.Part{Kind: "workers", No: w.no} }

// clock returns the time that the worker's clock shows.
func (w *worker) clock() float64 { return epochMs + w.sim.now }

// receive takes the request of a posting, which has arrived in full.
func (w *worker) receive(p *posting) {
	p.arrive()
	if !w.up || p.workerGen != w.generation {
		if !w.unresponsive {
			w.sim.net.send(w.part(), p.scheduler.part(), p.awaited, func() {
				p.scheduler.postingEnded(p, balance.Reset, balance.NoLoad)
			})
		}
		return
	}
	scheme := &w.sim.plan.Schemes[p.txn.attempt.job.Scheme]
	row := w.sim.rows[p.txn.scheme]
	job := &machine.Job{Ref: p.txn.ref, Work: p.txn.attempt.job.Work, Slots: p.txn.attempt.job.Slots, Rank: scheme.Gain,
		DedupWindowMs: float64(scheme.Window), SenderKnewStart: w.sim.auditor.KnowsStart(p.scheduler.name, w.Name, w.model.Start)}
	if row.Effect == balance.Referenced {
		job.IdempotencyKey = p.txn.attempt.job.IdempotencyKey
	}
	w.model.IdempotencyKeys = w.idempotencyKeys[row.Group]
	p.job = job
	w.sim.postings[job] = p
	w.model.Submit(w.clock(), job)
	w.processNotes()
}

// processNotes reports the model's notes to schedulers and schedules its next step. A worker that fell over in the model
// goes down.
func (w *worker) processNotes() {
	if w.model.Overloaded && w.up {
		w.goDown()
	}
	for note, ok := w.model.NextNote(); ok; note, ok = w.model.NextNote() {
		p := w.sim.postings[note.Job]
		if p == nil {
			continue
		}
		w.reportNote(p, note)
		if note.Event != machine.Began {
			delete(w.sim.postings, note.Job)
		}
	}
	w.scheduleWake()
}

// scheduleWake schedules the next call of Advance, unless it is already scheduled for that time.
func (w *worker) scheduleWake() {
	next := w.model.Next() - epochMs
	if math.IsInf(next, 1) || next == w.wakeAt {
		return
	}
	w.wakeAt = next
	w.sim.at(next, func() {
		if w.wakeAt != next {
			return
		}
		w.wakeAt = -1
		if w.up {
			w.model.Advance(w.clock())
			w.processNotes()
		}
	})
}

// reportNote reports one note of the model to the auditor and to the scheduler that posted the job.
func (w *worker) reportNote(p *posting, note machine.Note) {
	reply := func(wait float64, deliver func()) {
		w.sim.after(wait, func() {
			if !w.unresponsive {
				w.sim.net.send(w.part(), p.scheduler.part(), p.awaited, deliver)
			}
		})
	}
	load := w.load()
	reportEnd := func(outcome balance.Outcome) {
		reply(0, func() { p.scheduler.postingEnded(p, outcome, load) })
	}
	switch note.Event {
	case machine.Began:
		w.sim.auditor.Began(w.sim.now, p.txn.ref, p.no, w.Name)
		reply(0, func() { p.scheduler.postingStarted(p) })
	case machine.Returned:
		reportEnd(balance.Full)
	case machine.Lost:
		w.addWasted(note.Job)
		load = balance.NoLoad
		reportEnd(balance.Reset)
	case machine.Settled:
		if w.rand.Float64() < w.errorRate {
			if w.rand.Float64() < 0.5 { // half of them fail after they had their effect; the scheduler cannot tell which
				w.sim.auditor.Ran(w.sim.now, p.txn.ref, p.no, w.Name, "", note.Deduplicated)
			}
			w.addWasted(note.Job)
			reportEnd(balance.Failed)
			return
		}
		result := p.txn.ref + " by " + w.Name
		w.sim.auditor.Ran(w.sim.now, p.txn.ref, p.no, w.Name, result, note.Deduplicated)
		p.ranUnused = !note.Deduplicated
		if w.rand.Float64() < w.wrongIDRate {
			reportEnd(balance.Reset) // a scheduler that reads the id of another txn closes the connection
			return
		}
		wait := 0.0
		if w.rand.Float64() < w.lateRate {
			wait = lateAnswerMs
		}
		reply(wait, func() { p.scheduler.postingSettled(p, result, load) })
		if w.rand.Float64() < w.duplicateRate {
			reply(wait+1, func() { p.scheduler.postingSettled(p, result, load) })
		}
	}
}

// addWasted counts half of the work of a job that was cut short or failed as wasted, however far it got.
func (w *worker) addWasted(j *machine.Job) {
	if j.Began() {
		w.wastedWork += j.Work * float64(j.Slots) / 2
	}
}

// load returns the worker's load report: its free slots as of the last report but one, so that it has some age, with
// random noise.
func (w *worker) load() balance.Load {
	group := &w.sim.plan.Workers[w.Group]
	if group.ReportsEach == 0 {
		return balance.NoLoad
	}
	if w.sim.now >= w.nextReportAt {
		w.nextReportAt = w.sim.now + float64(group.ReportsEach)
		w.loadReports = append(w.loadReports[max(len(w.loadReports)-1, 0):], loadReport{w.sim.now, float64(w.model.Free())})
	}
	free := w.loadReports[0].free + group.Noise*(2*w.rand.Float64()-1)
	return balance.Load{Free: max(math.Round(free), 0)}
}

// weight returns its weight in the list of workers: its size, which live weights divide by 1 plus its jobs per core.
func (w *worker) weight() float64 {
	size := w.model.Cores * w.model.Speed
	if w.sim.plan.Discovery.Weights != "live" {
		return size
	}
	w.model.Advance(w.clock())
	return size / (1 + float64(w.model.JobCount())/w.model.Cores)
}

// endProcess ends its process. Its jobs are lost, and connections to it are reset unless its host is unresponsive.
func (w *worker) endProcess(unresponsive bool) {
	w.unresponsive = unresponsive
	w.model.Kill(w.clock())
	for note, ok := w.model.NextNote(); ok; note, ok = w.model.NextNote() {
		if p := w.sim.postings[note.Job]; p != nil {
			delete(w.sim.postings, note.Job)
			w.addWasted(note.Job)
			if !unresponsive {
				w.sim.net.send(w.part(), p.scheduler.part(), p.awaited, func() {
					p.scheduler.postingEnded(p, balance.Reset, balance.NoLoad)
				})
			}
		}
	}
	w.up = false
	w.generation++
}

// goDown ends the process of a cold worker that was overloaded, and schedules its restart.
func (w *worker) goDown() {
	w.sim.auditor.WorkerOverloaded(w.sim.now, w.Name, w.model.KnowingShare, w.model.OverloadText)
	w.endProcess(false)
	w.sim.discovery.setState(w, balance.Removed)
	w.sim.after(float64(w.sim.plan.Cold.Down), w.restart)
}

// restart starts a new process, which is cold.
func (w *worker) restart() {
	w.model.Restart(w.clock())
	for _, ok := w.model.NextNote(); ok; _, ok = w.model.NextNote() {
	}
	w.up, w.unresponsive = true, false
	w.generation++
	w.sim.discovery.setState(w, balance.Running)
}

// applyFault begins or ends a fault of this worker.
func (w *worker) applyFault(a script.Action) {
	now := w.clock()
	switch {
	case a.Fault == "kill" && a.Begin:
		w.endProcess(false)
	case a.Fault == "vanish" && a.Begin:
		w.endProcess(true)
	case a.Fault == "join", a.Fault == "kill", a.Fault == "vanish":
		w.restart()
	case a.Fault == "drain" && a.Begin:
		if !w.up {
			return
		}
		w.model.Drain(now)
		w.sim.discovery.setState(w, balance.Draining)
		gen := w.generation
		w.processNotes()
		w.sim.after(float64(w.sim.plan.Workers[w.Group].DrainFor), func() {
			if w.generation == gen {
				w.endProcess(false)
				w.sim.discovery.setState(w, balance.Removed)
			}
		})
	case a.Fault == "drain":
		if w.up {
			w.endProcess(false)
		}
		w.restart()
	case a.Fault == "maintain":
		w.sim.maintain(w, a)
	case a.Fault == "pause":
		w.model.ApplyChange(now, func() { w.model.Paused = a.Begin })
	case a.Fault == "slow":
		w.model.ApplyChange(now, func() { w.model.SpeedFactor = during(a, a.Factor, 1) })
	case a.Fault == "neighbour":
		w.model.ApplyChange(now, func() { w.model.NeighbourShare = during(a, a.Factor, 0) })
	case a.Fault == "erring":
		w.errorRate = during(a, a.Factor, 0)
	case a.Fault == "twice":
		w.duplicateRate = during(a, a.Factor, 0)
	case a.Fault == "late":
		w.lateRate = during(a, a.Factor, 0)
	case a.Fault == "other":
		w.wrongIDRate = during(a, a.Factor, 0)
	case a.Fault == "reset" && a.Begin:
		w.sim.resetConnections(w, a)
	}
	if w.up {
		w.processNotes()
	}
}

// during returns factor at the beginning of a fault and the normal value at its end.
func during(a script.Action, factor, normal float64) float64 {
	if a.Begin {
		return factor
	}
	return normal
}
