// Package sim plays an experiment in simulated time, in one process: it drives the decision module as the
// other hosts do, one instance a scheduler with nothing shared, amid workers, clients, discovery and a network
// that are all models. One queue of events in order of time, and of making where times are the same, makes
// a run the same to the byte for the same plan, seed and policy.
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

// epoch is the simulated clock's time at the start, so that a start at 0 can mean long ago.
const epoch = 1e9

// What the rules allow beyond the expiry, and for an answer that nothing is left to wait for.
const (
	answerIn = 50.0
	givenUp  = 50.0
)

// event is something that happens at a time.
type event struct {
	at  float64
	seq uint64
	do  func()
}

// queue is a heap of events, four to a node: events are many and short.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) less(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue) push(at float64, do func()) {
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

func (q *queue) pop() event {
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

// world is one run.
type world struct {
	p      *plan.Plan
	seed   uint64
	policy string
	now    float64 // from 0; what schedulers and workers are told is epoch later
	events queue
	net    network
	boxes  []*box
	procs  []*proc
	disc   discovery
	stream *load.Stream
	open   map[int]*call          // the present try of each job that has one, by job
	whose  map[*machine.Job]*sent // the posting that each worker's job is
	jobs   int                    // not over
	more   bool                   // more jobs will come
	audit  *audit.Auditor
	got    *tally.Result
	back   func(done float64)
	digest *xxhash.Digest      // of all decisions
	rows   []balance.SchemeRow // all schemes and their twins
	phase  plan.Phase          // of a retune
	twins  bool                // clients use the schemes' twins
	out    map[string]int      // workers that staff took out, how many times
	err    error
}

// Options are what a run may be asked for beyond its result.
type Options struct {
	Keep     string             // the txn whose history is kept
	Progress func(done float64) // told now and then what part is played, from 0 to 1
	Seconds  bool               // a row for each second
}

// Play plays a plan with a seed and a policy. When ctx is done it stops early, and the result says so.
func Play(ctx context.Context, p *plan.Plan, seed uint64, name string, opt Options) (*tally.Result, error) {
	w := &world{p: p, seed: seed, policy: name, open: map[int]*call{}, whose: map[*machine.Job]*sent{}, more: true, back: opt.Progress,
		digest: xxhash.New(), rows: p.Rows(), out: map[string]int{},
		got: tally.New(p, name, "simulated", seed), stream: load.NewStream(p, seed)}
	w.got.Fleet = &tally.Fleet{}
	terms := audit.Terms{Copies: p.Schedulers.Copies, MaxPosts: p.Schedulers.MaxPosts, AnswerIn: answerIn,
		Grace: float64(p.Discovery.Grace), MustAsk: mustAsk(p), GivenUp: givenUp, Keep: opt.Keep}
	terms.Schemes = w.rows
	w.audit = audit.New(terms)
	w.net.init(w)
	w.build()
	if w.err != nil {
		return nil, w.err
	}
	w.run(ctx)
	w.audit.Close(w.now)
	w.finish()
	if !opt.Seconds {
		w.got.Seconds = nil
	}
	return w.got, w.err
}

// mustAsk is the time for asking, 0 where lists are pushed.
func mustAsk(p *plan.Plan) float64 {
	if p.Discovery.Mode == "push" {
		return 0
	}
	return float64(p.Discovery.MustAsk)
}

// after has something happen later.
func (w *world) after(wait float64, do func()) { w.events.push(w.now+max(wait, 0), do) }

func (w *world) at(at float64, do func()) { w.events.push(max(at, w.now), do) }

// build makes all parts, their faults to come, and the first job.
func (w *world) build() {
	p := w.p
	marks, saves := map[string]*machine.Shelf{}, map[int]*machine.Shelf{}
	meanWork := p.MeanWork()
	for i, b := range p.Boxes() {
		x := &box{w: w, no: i, Box: b, m: machine.New(p.Spec(b.Group, meanWork)), up: p.Workers[b.Group].Joins == 0,
			rand: load.Rand(w.seed, "worker"+b.Name)}
		if saves[b.Cell] == nil {
			saves[b.Cell] = machine.NewShelf()
		}
		x.m.Saves = saves[b.Cell]
		x.marks = map[balance.Group]*machine.Shelf{}
		for g, key := range map[balance.Group]string{balance.GroupAll: "all",
			balance.GroupZone: fmt.Sprint("zone", b.Zone), balance.GroupCell: fmt.Sprint("cell", b.Cell)} {
			if marks[key] == nil {
				marks[key] = machine.NewShelf()
			}
			x.marks[g] = marks[key]
		}
		x.m.Change(epoch, func() {})
		w.boxes = append(w.boxes, x)
	}
	w.disc.init(w)
	for i := range p.Schedulers.Count {
		w.procs = append(w.procs, &proc{w: w, no: i, name: fmt.Sprint("s", i), zone: i % len(p.Schedulers.Zones),
			known: w.disc.seq})
	}
	for _, s := range w.procs {
		s.start()
	}
	for _, a := range script.Play(p, w.seed) {
		w.at(a.At, func() { w.act(a) })
	}
	w.nextJob()
	w.look()
}

// look notes the state of the whole once a second.
func (w *world) look() {
	capacity := 0.0
	for _, b := range w.boxes {
		if b.up {
			capacity += b.m.Capacity(epoch+w.now) * b.m.Speed * b.m.Slow
		}
	}
	w.got.Look(w.now, w.jobs, capacity)
	w.after(1000, w.look)
}

func (w *world) run(ctx context.Context) {
	end := math.Inf(1)
	for steps := 0; len(w.events.heap) > 0 && w.err == nil; steps++ {
		if steps%1024 == 0 {
			if ctx.Err() != nil {
				w.got.Partial = true
				break
			}
			if w.back != nil {
				w.back(min(w.now/float64(w.p.Length), 1))
			}
		}
		e := w.events.pop()
		if e.at > end {
			w.now = end
			break
		}
		w.now = e.at
		e.do()
		w.got.Steps++
		if !w.more && w.jobs == 0 && math.IsInf(end, 1) {
			end = w.now + 1000 // what is wrong may still show, such as a second answer
		}
	}
}

func (w *world) finish() {
	done, could := 0.0, 0.0
	for _, b := range w.boxes {
		b.m.Advance(epoch + w.now)
		done += b.m.Busy() / b.m.Speed
		could += min(b.m.Cores, float64(b.m.Slots)) * w.now
		w.got.Wasted += b.wasted / b.m.Speed
	}
	if done > 0 {
		w.got.Wasted = math.Round(w.got.Wasted/done*1e4) / 1e4
	}
	w.got.Busy = math.Round(done/max(could, 1)*1e4) / 1e4
	w.got.Decisions = fmt.Sprintf("%016x", w.digest.Sum64())
	w.got.Close(w.audit, w.now)
}

// network is what each message meets.
type network struct {
	w     *world
	r     *rand.Rand
	cuts  []*script.Cut
	more  float64 // a fault's further delay
	lossy float64
}

func (n *network) init(w *world) { n.w, n.r = w, load.Rand(w.seed, "network") }

func (n *network) delay() float64 {
	p := &n.w.p.Network
	return float64(p.Delay) + n.more + float64(p.Jitter)*n.r.Float64()
}

func (n *network) loss() float64 { return 1 - (1-n.w.p.Network.Loss)*(1-n.lossy) }

func (n *network) cut(a, b script.Part) bool {
	for _, c := range n.cuts {
		if c.Between(a, b) {
			return true
		}
	}
	return false
}

// send brings something from one part to another on a connection: what is lost comes a resend later, and what
// is cut off comes once the link is whole again, if the connection is still of interest then.
func (n *network) send(a, b script.Part, lives func() bool, do func()) {
	wait := n.delay()
	for n.r.Float64() < n.loss() {
		wait += float64(n.w.p.Network.Resend)
	}
	n.w.after(wait, func() {
		if !lives() {
			return
		}
		if n.cut(a, b) {
			n.w.after(float64(n.w.p.Network.Resend), func() { n.send(a, b, lives, do) })
			return
		}
		do()
	})
}

func always() bool { return true }

// act carries out a fault.
func (w *world) act(a script.Act) {
	switch a.Kind {
	case "workers":
		w.boxes[a.Part].act(a)
	case "schedulers":
		w.procs[a.Part].act(a)
	case "discovery":
		w.disc.act(a)
	case "network":
		switch {
		case a.Cut != nil && a.Begin:
			w.net.cuts = append(w.net.cuts, a.Cut)
			w.disc.cutOff()
		case a.Cut != nil:
			for i, c := range w.net.cuts {
				if c == a.Cut {
					w.net.cuts = append(w.net.cuts[:i:i], w.net.cuts[i+1:]...)
					break
				}
			}
		case a.Do == "delay":
			w.net.more += sign(a) * a.Factor
		case a.Do == "lossy":
			w.net.lossy = max(0, w.net.lossy+sign(a)*a.Factor)
		}
	case "settings":
		if a.Do == "twins" {
			w.twins = a.Begin
		} else {
			w.enter(plan.Phase(a.Part))
		}
	case "clients":
		if a.Do == "cancel" && a.Begin {
			w.massCancel(a)
		}
	}
}

// enter has all schedulers take the settings of a phase.
func (w *world) enter(phase plan.Phase) {
	w.phase = phase
	for _, s := range w.procs {
		if s.alive {
			s.d.Retune(w.p.TermsIn(s.no, s.seed, phase))
			s.pull()
		}
	}
}

// maintain has staff take a worker out everywhere, or put it back; it restarts meanwhile.
func (w *world) maintain(b *box, a script.Act) {
	if a.Begin {
		gen := b.gen
		w.after(100, func() {
			if b.gen == gen && b.up {
				b.die(false)
				b.restart()
			}
		})
	}
	w.out[b.Name] = max(w.out[b.Name]+int(sign(a)), 0)
	if w.out[b.Name] == 1 && a.Begin || w.out[b.Name] == 0 {
		for _, s := range w.procs {
			w.audit.Staffed(w.now, s.name, b.Name, a.Begin)
			if s.alive {
				s.staff(b.Name, a.Begin)
				s.pull()
			}
		}
	}
}

func sign(a script.Act) float64 {
	if a.Begin {
		return 1
	}
	return -1
}

// decider makes what decides for a scheduler's start.
func (w *world) decider(me int, start int) policy.Decider {
	seed := load.Rand(w.seed, fmt.Sprint("scheduler", me, "start", start)).Uint64()
	w.procs[me].seed = seed
	d, err := policy.New(w.policy, w.p.TermsIn(me, seed, w.phase), w.truth())
	if err != nil {
		w.err = err
	}
	return d
}

// truth shows workers as they are to the baseline that sees all.
func (w *world) truth() policy.WorkerLoad {
	return func(id string) (ahead, pace float64) {
		b := w.disc.byName[id]
		if b == nil || !b.up || b.m.Draining {
			return 0, 0
		}
		b.m.Advance(epoch + w.now)
		pace = min(b.m.Capacity(epoch+w.now), float64(b.m.Slots)) * b.m.Speed * b.m.Slow
		return b.m.RemainingWork() + b.coming, pace
	}
}
