// Package sim plays an experiment as a discrete-event simulation in one process. It drives package balance as the other
// hosts do, with one instance per scheduler and nothing shared between them; workers, clients, discovery and the network
// are models. All events stand in one queue, ordered by time and then by when they were scheduled, so that the same
// plan, seed and policy give the same result to the byte. All times are milliseconds.
package sim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"shalebeam/balance"
	"shalebeam/lab/audit"
	"shalebeam/lab/load"
	"shalebeam/lab/machine"
	"shalebeam/lab/plan"
	"shalebeam/lab/policy"
	"shalebeam/lab/script"
	"shalebeam/lab/tally"
)

// epochMs is what the clocks of workers and schedulers show at the start of a run. It is far above 0 because a worker
// whose last start is at 0 counts as started long ago.
const epochMs = 1e9

// How late a final answer may be without breaking a rule.
const (
	answerGraceMs = 50.0 // after the txn's expiry
	giveUpGraceMs = 50.0 // after the moment from which nothing was left to do for the txn
)

// event is a function that runs at a time.
type event struct {
	at  float64
	seq uint64 // order of scheduling, for events at the same time
	run func()
}

// eventQueue is a priority queue of events: a heap with four children per node, which is faster than a binary one for
// many small entries.
type eventQueue struct {
	heap []event
	seq  uint64
}

func (q *eventQueue) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// push schedules do at a time.
func (q *eventQueue) push(at float64, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 4
		if !q.less(i, up) {
			break
		}
		q.heap[i], q.heap[up] = q.heap[up], q.heap[i]
		i = up
	}
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() event {
	top := q.heap[0]
	end := len(q.heap) - 1
	q.heap[0] = q.heap[end]
	q.heap[end] = event{}
	q.heap = q.heap[:end]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < end; c++ {
			if q.less(c, least) {
				least = c
			}
		}
		if least == i {
			return top
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}

// simulation is the state of one run.
type simulation struct {
	plan       *plan.Plan
	seed       uint64
	policy     string
	now        float64 // since the start of the run; the clocks of workers and schedulers are epochMs ahead
	events     eventQueue
	net        network
	workers    []*worker
	schedulers []*scheduler
	discovery  discovery
	stream     *load.Stream
	attempts   map[int]*attempt          // attempts under way, by job number
	postings   map[*machine.Job]*posting // the posting behind each job that a worker has
	openJobs   int                       // jobs that have arrived and have no outcome yet
	moreJobs   bool                      // the stream has further jobs
	auditor    *audit.Auditor
	result     *tally.Result
	progress   func(done float64)
	digest     *xxhash.Digest      // of all decisions
	rows       []balance.SchemeRow // all schemes, followed by their twins (see plan.Plan.AllSchemeRows)
	phase      plan.RetunePhase    // which schemes the schedulers have now
	useTwins   bool                // clients send to the schemes' twins
	withdrawn  map[string]int      // by worker: maintenance periods that are on, during which staff took it out
	err        error               // ends the run
}

// Options select what a run records or reports beside its result.
type Options struct {
	KeepHistoryOf string             // reference of a txn whose history goes into the result
	Progress      func(done float64) // called from time to time with the share of the plan's length played so far
	Seconds       bool               // the result has a row for each second
}

// Run simulates a plan with a seed under the policy of a name (see policy.New). If ctx is cancelled it stops early, and
// marks the result as partial.
func Run(ctx context.Context, p *plan.Plan, seed uint64, name string, opt Options) (*tally.Result, error) {
	sim := &simulation{plan: p, seed: seed, policy: name, attempts: map[int]*attempt{},
		postings: map[*machine.Job]*posting{}, moreJobs: true, progress: opt.Progress,
		digest: xxhash.New(), rows: p.AllSchemeRows(), withdrawn: map[string]int{},
		result: tally.New(p, name, "simulated", seed), stream: load.NewStream(p, seed)}
	sim.result.Fleet = &tally.Fleet{}
	terms := audit.Terms{Copies: p.Schedulers.Copies, MaxPosts: p.Schedulers.MaxPosts, AnswerGraceMs: answerGraceMs,
		DrainGraceMs: float64(p.Discovery.Grace), KnownWithoutWatchMs: mustAskMs(p), GiveUpGraceMs: giveUpGraceMs, KeepTxn: opt.KeepHistoryOf}
	terms.Schemes = sim.rows
	sim.auditor = audit.New(terms)
	sim.net.init(sim)
	sim.build()
	if sim.err != nil {
		return nil, sim.err
	}
	sim.run(ctx)
	sim.auditor.Close(sim.now)
	sim.finish()
	if !opt.Seconds {
		sim.result.Seconds = nil
	}
	return sim.result, sim.err
}

// mustAskMs returns after how long a change of the list counts as told to a scheduler that does not ask for the list; 0
// where discovery pushes it.
func mustAskMs(p *plan.Plan) float64 {
	if p.Discovery.Mode == "push" {
		return 0
	}
	return float64(p.Discovery.MustAsk)
}

// after schedules do after a delay in milliseconds, at once where that is below 0.
func (sim *simulation) after(wait float64, do func()) { sim.events.push(sim.now+max(wait, 0), do) }

// at schedules do at a time since the start of the run, at once where that has passed.
func (sim *simulation) at(at float64, do func()) { sim.events.push(max(at, sim.now), do) }

// build makes workers, discovery and schedulers, and schedules the faults and the first job.
func (sim *simulation) build() {
	p := sim.plan
	idempotencyKeys, checkpoints := map[string]*machine.SharedStore{}, map[int]*machine.SharedStore{}
	meanWork := p.MeanWork()
	for i, b := range p.PlacedWorkers() {
		w := &worker{sim: sim, no: i, PlacedWorker: b, model: machine.New(p.Spec(b.Group, meanWork)),
			up: p.Workers[b.Group].Joins == 0, rand: load.Rand(sim.seed, "worker"+b.Name)}
		if checkpoints[b.Cell] == nil {
			checkpoints[b.Cell] = machine.NewSharedStore()
		}
		w.model.Checkpoints = checkpoints[b.Cell]
		w.idempotencyKeys = map[balance.DedupGroup]*machine.SharedStore{}
		for group, key := range map[balance.DedupGroup]string{balance.GroupAll: "all",
			balance.GroupZone: fmt.Sprint("zone", b.Zone), balance.GroupCell: fmt.Sprint("cell", b.Cell)} {
			if idempotencyKeys[key] == nil {
				idempotencyKeys[key] = machine.NewSharedStore()
			}
			w.idempotencyKeys[group] = idempotencyKeys[key]
		}
		w.model.ApplyChange(epochMs, func() {})
		sim.workers = append(sim.workers, w)
	}
	sim.discovery.init(sim)
	for i := range p.Schedulers.Count {
		sim.schedulers = append(sim.schedulers, &scheduler{sim: sim, no: i, name: fmt.Sprint("s", i),
			zone: i % len(p.Schedulers.Zones), listVersion: sim.discovery.version})
	}
	for _, s := range sim.schedulers {
		s.startProcess()
	}
	for _, a := range script.Expand(p, sim.seed) {
		sim.at(a.At, func() { sim.applyFault(a) })
	}
	sim.scheduleNextJob()
	sim.sampleEachSecond()
}

// sampleEachSecond records the number of open jobs and the fleet's capacity, now and once a second from then on.
func (sim *simulation) sampleEachSecond() {
	capacity := 0.0
	for _, w := range sim.workers {
		if w.up {
			capacity += w.model.Capacity(epochMs+sim.now) * w.model.Speed * w.model.SpeedFactor
		}
	}
	sim.result.Sample(sim.now, sim.openJobs, capacity)
	sim.after(1000, sim.sampleEachSecond)
}

// run plays events until 1 s after the last job has its outcome.
func (sim *simulation) run(ctx context.Context) {
	end := math.Inf(1)
	for steps := 0; len(sim.events.heap) > 0 && sim.err == nil; steps++ {
		if steps%1024 == 0 {
			if ctx.Err() != nil {
				sim.result.Partial = true
				break
			}
			if sim.progress != nil {
				sim.progress(min(sim.now/float64(sim.plan.Length), 1))
			}
		}
		e := sim.events.pop()
		if e.at > end {
			sim.now = end
			break
		}
		sim.now = e.at
		e.run()
		sim.result.Steps++
		if !sim.moreJobs && sim.openJobs == 0 && math.IsInf(end, 1) {
			end = sim.now + 1000 // some rules may still be broken, as by a second answer
		}
	}
}

// finish completes the result: shares of busy and wasted time, the digest and the auditor's findings.
func (sim *simulation) finish() {
	workDone, capacity := 0.0, 0.0
	for _, w := range sim.workers {
		w.model.Advance(epochMs + sim.now)
		workDone += w.model.WorkDone() / w.model.Speed
		capacity += min(w.model.Cores, float64(w.model.Slots)) * sim.now
		sim.result.Wasted += w.wastedWork / w.model.Speed
	}
	if workDone > 0 {
		sim.result.Wasted = math.Round(sim.result.Wasted/workDone*1e4) / 1e4
	}
	sim.result.Busy = math.Round(workDone/max(capacity, 1)*1e4) / 1e4
	sim.result.Decisions = fmt.Sprintf("%016x", sim.digest.Sum64())
	sim.result.Close(sim.auditor, sim.now)
}

// network models delay, loss and partitions.
type network struct {
	sim        *simulation
	rand       *rand.Rand
	cuts       []*script.Cut // partitions that are on
	extraDelay float64       // delay that faults add, in milliseconds
	extraLoss  float64       // loss that faults add, as a probability
}

func (n *network) init(sim *simulation) { n.sim, n.rand = sim, load.Rand(sim.seed, "network") }

// delay draws the one-way delay of a message.
func (n *network) delay() float64 {
	p := &n.sim.plan.Network
	return float64(p.Delay) + n.extraDelay + float64(p.Jitter)*n.rand.Float64()
}

// lossRate returns the probability that a message is lost.
func (n *network) lossRate() float64 { return 1 - (1-n.sim.plan.Network.Loss)*(1-n.extraLoss) }

// isCut reports whether a partition separates two parts.
func (n *network) isCut(a, b script.Part) bool {
	for _, c := range n.cuts {
		if c.Between(a, b) {
			return true
		}
	}
	return false
}

// send calls deliver when a message on a connection reaches the other part. Each loss delays it by a resend. While a
// partition separates the two, it is sent again until the partition ends. It is dropped if wanted returns false when it
// would arrive, as when its connection has been closed.
func (n *network) send(from, to script.Part, wanted func() bool, deliver func()) {
	delay := n.delay()
	for n.rand.Float64() < n.lossRate() {
		delay += float64(n.sim.plan.Network.Resend)
	}
	n.sim.after(delay, func() {
		if !wanted() {
			return
		}
		if n.isCut(from, to) {
			n.sim.after(float64(n.sim.plan.Network.Resend), func() { n.send(from, to, wanted, deliver) })
			return
		}
		deliver()
	})
}

// always is the condition of messages that are delivered in any case.
func always() bool { return true }

// applyFault begins or ends a fault.
func (sim *simulation) applyFault(a script.Action) {
	switch a.Kind {
	case "workers":
		sim.workers[a.Part].applyFault(a)
	case "schedulers":
		sim.schedulers[a.Part].applyFault(a)
	case "discovery":
		sim.discovery.applyFault(a)
	case "network":
		switch {
		case a.Cut != nil && a.Begin:
			sim.net.cuts = append(sim.net.cuts, a.Cut)
			sim.discovery.silenceCutWatches()
		case a.Cut != nil:
			for i, c := range sim.net.cuts {
				if c == a.Cut {
					sim.net.cuts = append(sim.net.cuts[:i:i], sim.net.cuts[i+1:]...)
					break
				}
			}
		case a.Fault == "delay":
			sim.net.extraDelay += signOf(a) * a.Factor
		case a.Fault == "lossy":
			sim.net.extraLoss = max(0, sim.net.extraLoss+signOf(a)*a.Factor)
		}
	case "settings":
		if a.Fault == "twins" {
			sim.useTwins = a.Begin
		} else {
			sim.enterPhase(plan.RetunePhase(a.Part))
		}
	case "clients":
		if a.Fault == "cancel" && a.Begin {
			sim.massCancel(a)
		}
	}
}

// enterPhase applies the settings of a phase to all schedulers.
func (sim *simulation) enterPhase(phase plan.RetunePhase) {
	sim.phase = phase
	for _, s := range sim.schedulers {
		if s.alive {
			s.decider.Retune(sim.plan.TermsIn(s.no, s.seed, phase))
			s.runDecisions()
		}
	}
}

// maintain begins or ends maintenance of a worker: staff take it out at all schedulers, it restarts a moment later, and at
// the end they put it back.
func (sim *simulation) maintain(w *worker, a script.Action) {
	if a.Begin {
		gen := w.generation
		sim.after(maintenanceRestartMs, func() {
			if w.generation == gen && w.up {
				w.endProcess(false)
				w.restart()
			}
		})
	}
	sim.withdrawn[w.Name] = max(sim.withdrawn[w.Name]+int(signOf(a)), 0)
	if sim.withdrawn[w.Name] == 1 && a.Begin || sim.withdrawn[w.Name] == 0 {
		for _, s := range sim.schedulers {
			sim.auditor.TakenOut(sim.now, s.name, w.Name, a.Begin)
			if s.alive {
				s.applyWithdrawal(w.Name, a.Begin)
				s.runDecisions()
			}
		}
	}
}

// signOf returns 1 at the beginning of a fault and -1 at its end.
func signOf(a script.Action) float64 {
	if a.Begin {
		return 1
	}
	return -1
}

// newDecider makes the decider of a scheduler's process, with a seed of its own for each start.
func (sim *simulation) newDecider(schedulerNo int, start int) policy.Decider {
	seed := load.Rand(sim.seed, fmt.Sprint("scheduler", schedulerNo, "start", start)).Uint64()
	sim.schedulers[schedulerNo].seed = seed
	d, err := policy.New(sim.policy, sim.plan.TermsIn(schedulerNo, seed, sim.phase), sim.workerLoad())
	if err != nil {
		sim.err = err
	}
	return d
}

// workerLoad gives the baseline sees-all access to the true state of workers.
func (sim *simulation) workerLoad() policy.WorkerLoad {
	return func(id string) (work, pace float64) {
		w := sim.discovery.byName[id]
		if w == nil || !w.up || w.model.Draining {
			return 0, 0
		}
		w.model.Advance(epochMs + sim.now)
		pace = min(w.model.Capacity(epochMs+sim.now), float64(w.model.Slots)) * w.model.Speed * w.model.SpeedFactor
		return w.model.RemainingWork() + w.approachingWork, pace
	}
}
