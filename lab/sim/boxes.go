package sim

import (
	"math"
	"math/rand/v2"

	"shalebeam/balance"
	"shalebeam/lab/machine"
	"shalebeam/lab/plan"
	"shalebeam/lab/script"
)

// box is a worker: its model, its process and its link.
type box struct {
	plan.Box
	w      *world
	no     int
	m      *machine.Machine
	up     bool // a process runs there
	silent bool // the machine answers nothing, not even that no process runs
	gen    int  // of its process; connections to a former one are broken
	marks  map[balance.Group]*machine.Shelf
	rand   *rand.Rand
	armed  float64
	// parts of its answers that go wrong
	erring, twice, late, other float64
	coming                     float64 // work on its way here
	wasted                     float64
	reports                    []report
	reportAt                   float64
}

type report struct{ at, free float64 }

// lateAfter is how long an answer is kept back that comes late: past most SLA times.
const lateAfter = 4000.0

func (b *box) part() script.Part { return script.Part{Kind: "workers", No: b.no} }
func (b *box) clock() float64    { return epoch + b.w.now }

// take brings a posting's request, whole.
func (b *box) take(x *sent) {
	x.land()
	if !b.up || x.boxGen != b.gen {
		if !b.silent {
			b.w.net.send(b.part(), x.s.part(), x.live, func() { x.s.ended(x, balance.Reset, balance.NoLoad) })
		}
		return
	}
	c := &b.w.p.Schemes[x.t.call.j.Scheme]
	row := b.w.rows[x.t.scheme]
	j := &machine.Job{Ref: x.t.ref, Work: x.t.call.j.Work, Slots: x.t.call.j.Slots, Rank: c.Gain,
		Window: float64(c.Window), Warned: b.w.audit.Knows(x.s.name, b.Name, b.m.Start)}
	if row.Effect == balance.Referenced {
		j.Mark = x.t.call.j.Mark
	}
	b.m.Marks = b.marks[row.Group]
	x.job = j
	b.w.whose[j] = x
	b.m.Take(b.clock(), j)
	b.settle()
}

// settle passes on what the worker says, and arms its next step.
func (b *box) settle() {
	if b.m.Fell && b.up {
		b.fell()
	}
	for n, ok := b.m.NextNote(); ok; n, ok = b.m.NextNote() {
		x := b.w.whose[n.Job]
		if x == nil {
			continue
		}
		b.say(x, n)
		if n.What != machine.Began {
			delete(b.w.whose, n.Job)
		}
	}
	b.arm()
}

func (b *box) arm() {
	next := b.m.Next() - epoch
	if math.IsInf(next, 1) || next == b.armed {
		return
	}
	b.armed = next
	b.w.at(next, func() {
		if b.armed != next {
			return
		}
		b.armed = -1
		if b.up {
			b.m.Advance(b.clock())
			b.settle()
		}
	})
}

// say sends one note of the worker's back to the scheduler that posted the job.
func (b *box) say(x *sent, n machine.Note) {
	reply := func(wait float64, do func()) {
		b.w.after(wait, func() {
			if !b.silent {
				b.w.net.send(b.part(), x.s.part(), x.live, do)
			}
		})
	}
	load := b.load()
	end := func(how balance.Outcome) {
		reply(0, func() { x.s.ended(x, how, load) })
	}
	switch n.What {
	case machine.Began:
		b.w.audit.Began(b.w.now, x.t.ref, x.no, b.Name)
		reply(0, func() { x.s.began(x) })
	case machine.Returned:
		end(balance.Full)
	case machine.Lost:
		b.waste(n.Job)
		load = balance.NoLoad
		end(balance.Reset)
	case machine.Settled:
		if b.rand.Float64() < b.erring {
			if b.rand.Float64() < 0.5 { // some fail before they had an effect, and nobody can tell which
				b.w.audit.Made(b.w.now, x.t.ref, x.no, b.Name, "", n.Drop)
			}
			b.waste(n.Job)
			end(balance.Erred)
			return
		}
		result := x.t.ref + " by " + b.Name
		b.w.audit.Made(b.w.now, x.t.ref, x.no, b.Name, result, n.Drop)
		x.settled = !n.Drop
		if b.rand.Float64() < b.other {
			end(balance.Reset) // a scheduler that reads another's id ends the connection
			return
		}
		wait := 0.0
		if b.rand.Float64() < b.late {
			wait = lateAfter
		}
		reply(wait, func() { x.s.settled(x, result, load) })
		if b.rand.Float64() < b.twice {
			reply(wait+1, func() { x.s.settled(x, result, load) })
		}
	}
}

// waste counts work whose result nobody got.
func (b *box) waste(j *machine.Job) {
	if j.Began() {
		b.wasted += j.Work * float64(j.Slots) / 2
	}
}

// load is what the worker reports of itself: free slots some time ago, not quite right.
func (b *box) load() balance.Load {
	g := &b.w.p.Workers[b.Group]
	if g.ReportsEach == 0 {
		return balance.NoLoad
	}
	if b.w.now >= b.reportAt {
		b.reportAt = b.w.now + float64(g.ReportsEach)
		b.reports = append(b.reports[max(len(b.reports)-1, 0):], report{b.w.now, float64(b.m.Free())})
	}
	free := b.reports[0].free + g.Noise*(2*b.rand.Float64()-1)
	return balance.Load{Free: max(math.Round(free), 0)}
}

// weight is its entry in a list with live weights.
func (b *box) weight() float64 {
	size := b.m.Cores * b.m.Speed
	if b.w.p.Discovery.Weights != "live" {
		return size
	}
	b.m.Advance(b.clock())
	return size / (1 + float64(b.m.Holds())/b.m.Cores)
}

// die ends its process. What it had is lost, and connections to it are reset unless the machine is silent.
func (b *box) die(silent bool) {
	b.silent = silent
	b.m.Kill(b.clock())
	for n, ok := b.m.NextNote(); ok; n, ok = b.m.NextNote() {
		if x := b.w.whose[n.Job]; x != nil {
			delete(b.w.whose, n.Job)
			b.waste(n.Job)
			if !silent {
				b.w.net.send(b.part(), x.s.part(), x.live, func() { x.s.ended(x, balance.Reset, balance.NoLoad) })
			}
		}
	}
	b.up = false
	b.gen++
}

// fell has a cold worker that was pushed over go down, and start again later.
func (b *box) fell() {
	b.w.audit.Fell(b.w.now, b.Name, b.m.Blame, b.m.Tipped)
	b.die(false)
	b.w.disc.tell(b, balance.Removed)
	b.w.after(float64(b.w.p.Cold.Down), b.restart)
}

// restart starts a process anew, cold.
func (b *box) restart() {
	b.m.Restart(b.clock())
	for _, ok := b.m.NextNote(); ok; _, ok = b.m.NextNote() {
	}
	b.up, b.silent = true, false
	b.gen++
	b.w.disc.tell(b, balance.Running)
}

func (b *box) act(a script.Act) {
	now := b.clock()
	switch {
	case a.Do == "kill" && a.Begin:
		b.die(false)
	case a.Do == "vanish" && a.Begin:
		b.die(true)
	case a.Do == "join", a.Do == "kill", a.Do == "vanish":
		b.restart()
	case a.Do == "drain" && a.Begin:
		if !b.up {
			return
		}
		b.m.Drain(now)
		b.w.disc.tell(b, balance.Draining)
		gen := b.gen
		b.settle()
		b.w.after(float64(b.w.p.Workers[b.Group].DrainFor), func() {
			if b.gen == gen {
				b.die(false)
				b.w.disc.tell(b, balance.Removed)
			}
		})
	case a.Do == "drain":
		if b.up {
			b.die(false)
		}
		b.restart()
	case a.Do == "maintain":
		b.w.maintain(b, a)
	case a.Do == "pause":
		b.m.Change(now, func() { b.m.Paused = a.Begin })
	case a.Do == "slow":
		b.m.Change(now, func() { b.m.Slow = pick(a, a.Factor, 1) })
	case a.Do == "neighbour":
		b.m.Change(now, func() { b.m.Taken = pick(a, a.Factor, 0) })
	case a.Do == "erring":
		b.erring = pick(a, a.Factor, 0)
	case a.Do == "twice":
		b.twice = pick(a, a.Factor, 0)
	case a.Do == "late":
		b.late = pick(a, a.Factor, 0)
	case a.Do == "other":
		b.other = pick(a, a.Factor, 0)
	case a.Do == "reset" && a.Begin:
		b.w.resetAll(b, a)
	}
	if b.up {
		b.settle()
	}
}

// pick is a fault's factor while it lasts, else what is usual.
func pick(a script.Act, while, usual float64) float64 {
	if a.Begin {
		return while
	}
	return usual
}
