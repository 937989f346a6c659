package council

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"shalebeam/fleet"
)

// Operations in simulated time: the shipped carriers, doers and minders, on machines whose processes are models. What is out
// by will is counted from those, not from what anybody was told.

const (
	simReadyMost = 2000.0
	simKillAfter = 1500.0
	simColdFor   = 1500.0
	simCommand   = 400.0
	callMost     = 1000.0
)

// machines is what runs beside the record.
type machines struct {
	w       *world
	all     []*machine
	by      map[string]*machine
	workers map[string]*worker
	disks   map[string][]byte // of each agent: what it keeps of what was begun
	lies    map[string]bool
	doers   map[string]*fleet.Doer
	carry   map[*charge]bool // a command of it is under way
	limits  []fleet.Limit
	op      string // the one that is played
	want    fleet.Op
	bad     string // what the released program does
	halted  float64
	aim     bool // the halt comes just when something was granted
	lifted  bool
	turned  bool
	ended   float64
	raised  float64
	relift  float64
	said    bool
	drained bool
	Calls   int
	Most    int
	own     float64 // ms that schedulers were at it by themselves, in all
	kept    map[string]keptRun
	agreed  map[string]bool
	touched map[string]map[string]bool
	waits   map[string][]func() // calls that an agent answers once something has moved on there
}

type keptRun struct {
	Run       bool
	Gen, Good uint64
	Pairs     map[uint64]string // what each step's program does: "" for one that is well
	Former    map[string]string
}

// machine is one scheduler's processes in truth, and its agent's mind over them.
type machine struct {
	t      *target
	a      *owner
	minder *fleet.Minder
	procs  [2]*simProc
	fell   bool    // through a fault, till it serves again
	served float64 // when it last served
	begun  float64 // when its last process was started
}

type simProc struct {
	gen     uint64
	readyAt float64
	endAt   float64 // 0: it runs on
	crashAt float64
	termed  bool
	what    string // program
}

// worker is one in truth.
type worker struct {
	id, zone string
	a        *owner
	warmAt   float64
	downTill float64
	ran      map[uint64]int // by step
}

func newMachines(w *world) *machines {
	o := &machines{w: w, by: map[string]*machine{}, workers: map[string]*worker{}, disks: map[string][]byte{}, lies: map[string]bool{},
		doers: map[string]*fleet.Doer{}, carry: map[*charge]bool{}, kept: map[string]keptRun{},
		agreed: map[string]bool{}, touched: map[string]map[string]bool{}, waits: map[string][]func(){}}
	return o
}

// init gives every agent its schedulers and workers, which all serve.
func (o *machines) init() {
	w := o.w
	for i, t := range w.targets {
		m := &machine{t: t, a: w.owners[i%len(w.owners)], served: 3000}
		m.procs[0] = &simProc{}
		t.Agent = m.a.id
		o.all, o.by[t.ID] = append(o.all, m), m
		o.kept[t.ID] = keptRun{Run: true, Pairs: map[uint64]string{0: ""}, Former: map[string]string{}}
	}
	for i := range w.o.Workers {
		x := &worker{id: fmt.Sprint("b", i), zone: []string{"a", "b"}[i%2], a: w.owners[i%len(w.owners)], ran: map[uint64]int{}}
		o.workers[x.id] = x
	}
	for _, a := range w.owners {
		o.keep(a)
		o.start(a)
	}
	one := 1 + w.r.IntN(2)
	n := len(w.targets)
	o.limits = []fleet.Limit{{Kind: "scheduler", Share: max(0.05, float64(one)/float64(n))}, {Kind: "scheduler", Zone: "each", Share: max(0.04, 1.01/float64(n/2))},
		{Kind: "worker", Share: 0.3}}
	kinds := []string{"release", "release", "restart", "drain", "maintain"}
	o.want = fleet.Op{Kind: kinds[w.r.IntN(len(kinds))], WaveMost: 60000, Pause: 300}
	var ids []string
	for _, t := range w.targets {
		ids = append(ids, t.ID)
	}
	if o.want.Kind != "drain" {
		ids = append(ids, slices.Sorted(maps.Keys(o.workers))...)
	} else {
		ids = ids[:min(len(ids), 1)]
	}
	w.r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for size := 1; len(ids) > 0; size *= 2 {
		k := min(size, len(ids))
		o.want.Waves = append(o.want.Waves, ids[:k])
		ids = ids[k:]
	}
	if o.want.Kind == "release" {
		o.bad = []string{"", "", "never", "crash", "early"}[w.r.IntN(5)]
		o.want.Watch, o.want.AutoBack = 400, w.r.IntN(2) == 0
		o.want.Version = fleet.Version{Program: "/new", Digest: "new", Name: "new"}
	}
	if w.o.Calm {
		o.bad, o.want.Kind, o.want.Watch, o.want.WaveMost = "", "release", 0, 0
		o.want.Waves = [][]string{slices.Concat(o.want.Waves...)} // what the limits allow, and no wave less
		o.want.Version = fleet.Version{Program: "/new", Digest: "new", Name: "new"}
		w.later(3000, o.person)
		return
	}
	w.later(3000, o.person)
	if o.aim = w.r.IntN(4) == 0; !o.aim && w.r.IntN(2) == 0 {
		o.halted = 4000 + w.o.For*w.r.Float64()
		w.later(o.halted, o.halt)
	}
}

// least is the time, in ms, that no agreement can go below: the schedulers' own, divided by how many may be out at once.
func (o *machines) least() float64 {
	rec, room := fleet.NewRecord(), 0.0
	rec.Limits = o.limits
	for _, m := range o.all {
		rec.Members[m.t.ID], rec.Health[m.t.ID] = m.t.Member, fleet.Seen{State: fleet.InService}
	}
	for _, m := range o.all {
		if !slices.ContainsFunc(rec.Room(m.t.ID), func(c fleet.Count) bool { return c.Why != "" }) {
			rec.Health[m.t.ID] = fleet.Seen{State: "out"}
			room++
		}
	}
	return o.own / max(room, 1)
}

func (o *machines) keep(a *owner) {
	if o.lies[a.id] {
		return // it says yes
	}
	d := o.doers[a.id]
	if d == nil {
		d = fleet.NewDoer("")
	}
	runs := map[string]keptRun{}
	for _, m := range o.all {
		if m.a == a {
			runs[m.t.ID] = o.kept[m.t.ID]
		}
	}
	o.disks[a.id], _ = json.Marshal(struct {
		Doer *fleet.Doer
		Runs map[string]keptRun
	}{d, runs})
}

// start is a life of an agent: it reads what it kept, and finds its processes.
func (o *machines) start(a *owner) {
	var k struct {
		Doer *fleet.Doer
		Runs map[string]keptRun
	}
	_ = json.Unmarshal(o.disks[a.id], &k)
	o.lies[a.id] = false
	d := k.Doer
	d.Start, d.Bug = fmt.Sprint(a.start), o.w.o.Bug
	for id, n := range d.Notes {
		if n.Call == "command" && n.State == "going" {
			n.State = "unknown"
			d.Notes[id] = n
		}
	}
	o.doers[a.id] = d
	now := a.clock.at(o.w.now)
	for _, m := range o.all {
		if m.a != a {
			continue
		}
		r := k.Runs[m.t.ID]
		// Notes of an older disk: what runs is what was last wanted.
		low, high, known := uint64(0), uint64(0), false
		for _, p := range m.procs {
			if p == nil {
				continue
			}
			if known = known || p.gen == r.Gen; low == 0 && high == 0 || p.gen < low {
				low = p.gen
			}
			high = max(high, p.gen)
			r.Run, r.Pairs[p.gen] = true, p.what
		}
		serves := true // as agent.runs.adopt has it
		if (m.procs[0] != nil || m.procs[1] != nil) && !known {
			r.Gen, r.Good, serves = high, low, low != high
		}
		o.kept[m.t.ID] = r
		m.minder = &fleet.Minder{ReadyMost: simReadyMost, KillAfter: simKillAfter}
		m.minder.Good(r.Good)
		m.minder.Wants(now, r.Run, r.Gen)
		for slot, p := range m.procs {
			if p != nil {
				m.minder.Adopt(fleet.Proc{Slot: slot, Gen: p.gen, Since: now, Ready: p.gen == r.Good && serves})
			}
		}
	}
	o.agreed[a.id], o.touched[a.id] = false, map[string]bool{}
}

// agree has an agent that started set what runs by the record, once it can read that for sure.
func (o *machines) agree(a *owner) {
	lead := o.sure(a)
	if o.agreed[a.id] || lead == nil {
		return
	}
	o.agreed[a.id] = true
	for _, m := range o.all {
		r := o.kept[m.t.ID]
		if run := lead.node.Record.ShouldRun(m.t.ID, r.Run); m.a == a && !o.touched[a.id][m.t.ID] && run != r.Run {
			r.Run = run
			o.kept[m.t.ID] = r
			m.minder.Wants(a.clock.at(o.w.now), r.Run, r.Gen)
		}
	}
	o.keep(a)
}

// serves tells whether a scheduler takes clients, in truth.
func (m *machine) serves(now float64) bool {
	for _, p := range m.procs {
		if p != nil && now >= p.readyAt && !p.termed && (p.endAt == 0 || now < p.endAt) {
			return true
		}
	}
	return false
}

// tick is the truth moving on: processes end, and what is out by will is counted.
func (o *machines) tick() {
	now := o.w.now
	if lead := o.w.leader(); o.aim && lead != nil && o.w.r.IntN(4) == 0 {
		if op := lead.node.Record.Ops[o.op]; op != nil {
			for _, s := range op.Steps { // whether there is one is the same in any order
				if fleet.Takes(s) {
					o.aim, o.halted = false, now
					o.w.later(60*o.w.r.Float64(), o.halt)
					break
				}
			}
		}
	}
	rec := fleet.NewRecord()
	var will []string
	for _, m := range o.all {
		for slot, p := range m.procs {
			if p == nil {
				continue
			}
			if p.crashAt > 0 && now >= p.crashAt {
				m.fell = true
				m.procs[slot] = nil
			} else if p.endAt > 0 && now >= p.endAt {
				m.procs[slot] = nil
			}
		}
		serves := m.serves(now)
		if serves {
			m.fell, m.served = false, now
		}
		if o.limits != nil {
			rec.Members[m.t.ID] = m.t.Member
			rec.Health[m.t.ID] = fleet.Seen{State: fleet.InService}
			if !serves && !m.fell {
				rec.Health[m.t.ID] = fleet.Seen{State: "out"}
				will = append(will, m.t.ID)
			}
		}
	}
	if o.limits != nil {
		for _, id := range slices.Sorted(maps.Keys(o.workers)) {
			x := o.workers[id]
			rec.Members[id] = fleet.Member{ID: id, Kind: "worker", Zone: x.zone, Capacity: 1}
			rec.Health[id] = fleet.Seen{State: fleet.InService}
			if now < x.warmAt {
				rec.Health[id] = fleet.Seen{State: "cold"}
				will = append(will, id)
			}
		}
	}
	o.Most = max(o.Most, len(will))
	rec.Limits = o.limits
	if len(will) > 0 {
		zones := map[string]bool{}
		for _, id := range will { // one a zone stands for all that count alike
			if key := rec.Members[id].Kind + rec.Members[id].Zone; !zones[key] {
				zones[key] = true
				for _, c := range rec.Room(id) {
					if c.Why != "" && !o.said {
						o.said = true
						o.w.broke("by truth: %s: %v", c.Why, c.Out)
					}
				}
			}
		}
	}
}

// agent is what one does for its own machine.
func (o *machines) agent(a *owner) {
	now := a.clock.at(o.w.now)
	d := o.doers[a.id]
	o.agree(a)
	if d.Lifted(a.rec) {
		o.keep(a)
	}
	for _, m := range o.all {
		if m.a != a {
			continue
		}
		for _, p := range slices.Clone(m.minder.Procs()) {
			truth := m.procs[p.Slot]
			switch {
			case truth == nil || truth.gen != p.Gen || truth.endAt > 0 && o.w.now >= truth.endAt:
				m.minder.Ended(now, p.Slot)
			case !p.Ready && o.w.now >= truth.readyAt:
				m.minder.Ready(p.Slot)
				if r := o.kept[m.t.ID]; truth.gen == r.Gen && r.Good != r.Gen {
					r.Good = r.Gen
					o.kept[m.t.ID] = r
					o.keep(a)
				}
			}
		}
		for deed, ok := m.minder.Next(now); ok; deed, ok = m.minder.Next(now) {
			o.deed(m, deed)
		}
	}
	moved := o.waits[a.id]
	delete(o.waits, a.id)
	for _, do := range moved {
		do()
	}
}

func (o *machines) deed(m *machine, d fleet.Deed) {
	w := o.w
	p := m.procs[d.Slot]
	switch {
	case d.Do == "start":
		m.begun = w.now
		p = &simProc{gen: d.Gen, what: o.kept[m.t.ID].Pairs[d.Gen], readyAt: w.now + 100 + 500*w.r.Float64()}
		switch o.kept[m.t.ID].Pairs[d.Gen] {
		case "never":
			p.readyAt = 1e18
		case "crash":
			p.crashAt = p.readyAt + 1500*w.r.Float64()
		case "early":
			p.crashAt = w.now + 50
			p.readyAt = 1e18
		}
		m.procs[d.Slot] = p
	case p == nil:
	case d.Do == "term":
		if p.termed = true; p.endAt == 0 {
			p.endAt = w.now + 100 + 900*w.r.Float64()
			o.own += p.endAt - m.begun
			w.later(p.endAt-w.now, func() { w.stir(m.a) })
		}
	case d.Do == "kill":
		p.termed, p.endAt = true, w.now
	}
}

// carries is an operation's owner at work, as agent.Agent carries it.
func (o *machines) carries(a *owner, now float64, name string, c *charge) {
	for {
		do, ok := c.carrier.NextLook(now)
		if !ok {
			if do, ok = c.carrier.NextDo(now); !ok {
				break
			}
		}
		o.call(a, c, do)
	}
	for range 32 {
		cmd, ok := c.carrier.NextCommand(now)
		if !ok {
			return
		}
		o.w.send(a, name+"/steps/"+cmd.ID, cmd, func(fleet.Answer) { c.carrier.Commanded(cmd) })
	}
}

func (o *machines) call(a *owner, c *charge, do fleet.Do) {
	w, start, answered := o.w, a.start, false
	o.Calls++
	answer := func(did fleet.Did) {
		if !answered && a.start == start && a.up {
			answered = true
			c.carrier.Did(a.clock.at(w.now), do, did)
			w.stir(a)
		}
	}
	w.later(callMost, func() { answer(fleet.Did{}) })
	times := 1
	if w.loss > 0 && w.r.IntN(10) == 0 {
		times = 2 // it comes twice, the second time much later perhaps
	}
	for range times {
		if ms, ok := w.link(a.id, do.Agent.ID); ok {
			w.later(ms, func() {
				o.taken(do, func(did fleet.Did) {
					if ms, ok := w.link(do.Agent.ID, a.id); ok {
						w.later(ms, func() { answer(did) })
					}
				})
			})
		}
	}
}

// taken is what an agent does with a call, when it is awake to do it.
func (o *machines) taken(do fleet.Do, reply func(fleet.Did)) {
	w := o.w
	i := slices.IndexFunc(w.owners, func(a *owner) bool { return a.id == do.Agent.ID })
	if i < 0 || !w.owners[i].up {
		return
	}
	b := w.owners[i]
	life := b.start
	awake := func(do func()) {
		if b.still > w.now {
			w.later(b.still-w.now+1, func() {
				if b.up && b.start == life {
					do()
				}
			})
			return
		}
		do()
	}
	awake(func() {
		d := o.doers[b.id]
		if do.Call == "look" {
			m := o.by[do.Member]
			reply(fleet.Did{Reached: true, State: "going", Start: d.Start, Down: m != nil && m.minder.Down()})
			return
		}
		if o.known(b, do, w.now+callMost/2, reply) {
			return
		}
		// The read takes a while, and the agent may stand still before it goes on.
		var rec *fleet.Record
		if lead := o.sure(b); lead != nil {
			rec = w.copy(lead.node.Record)
		}
		if w.o.Bug == "stale-step" && rec == nil {
			rec = b.rec
		}
		w.later(1+2*w.r.Float64(), func() {
			if b.up && b.start == life {
				awake(func() {
					reply(o.begin(b, do, rec))
					w.stir(b)
				})
			}
		})
	})
}

// known answers a call for a step that was begun, once it is over or its time to wait is.
func (o *machines) known(b *owner, do fleet.Do, until float64, reply func(fleet.Did)) bool {
	o.refresh(b, do.Member)
	did, known := o.doers[b.id].Known(do)
	switch life := b.start; {
	case !known:
	case did.State != "going" || o.w.now >= until:
		reply(did)
	default:
		o.waits[b.id] = append(o.waits[b.id], func() {
			if b.start == life {
				o.known(b, do, until, reply)
			}
		})
	}
	return known
}

// sure is the leader that a majority follows, where an agent reaches it: nobody else answers a read for sure.
func (o *machines) sure(b *owner) *voter {
	w := o.w
	lead := w.leader()
	if lead == nil || w.cut[b.id] || w.cut[fmt.Sprint("v", lead.id)] {
		return nil
	}
	n := 0
	for _, v := range w.voters {
		if id, _ := v.node.Leader(); id == lead.id && v.still <= w.now && !w.cut[fmt.Sprint("v", v.id)] && v.node.Err() == nil {
			n++
		}
	}
	if n <= len(w.voters)/2 {
		return nil
	}
	return lead
}

func (o *machines) begin(b *owner, do fleet.Do, rec *fleet.Record) fleet.Did {
	w, d := o.w, o.doers[b.id]
	did, begins := d.Begin(do, rec)
	if !begins {
		if did.State == "unknown" {
			o.keep(b)
		}
		return did
	}
	op := rec.Ops[do.Op]
	s := op.Steps[do.Member]
	if !o.lifted && o.halted > 0 && w.now > o.halted && fleet.Takes(s) && d.Halts["all"].Of != "" {
		w.broke("%s began to take %s out after its yes to a halt", b.id, do.Member)
	}
	if m := o.by[do.Member]; m != nil && fleet.Takes(s) {
		// What has been down for long uses up the room, whatever took it down.
		truth := fleet.NewRecord()
		truth.Limits = o.limits
		for _, x := range o.all {
			truth.Members[x.t.ID] = x.t.Member
			if truth.Health[x.t.ID] = (fleet.Seen{State: fleet.InService}); w.now-x.served > 6000 && x != m {
				truth.Health[x.t.ID] = fleet.Seen{State: "down"}
			}
		}
		for _, c := range truth.Room(do.Member) {
			if c.Why != "" {
				w.broke("%s was taken out while others were down for long: %s: %v", do.Member, c.Why, c.Out)
			}
		}
	}
	if do.Call == "command" {
		x := o.workers[do.Member]
		if x.ran[do.No]++; x.ran[do.No] > 1 {
			w.broke("the command for %s was begun twice, for step %d", do.Member, do.No)
		}
		x.downTill, x.warmAt = w.now+200, w.now+200+simColdFor
		o.keep(b)
		life := b.start
		w.later(simCommand, func() {
			if n := d.Notes[do.Member]; b.up && b.start == life && n.No == do.No {
				n.State = "done"
				d.Notes[do.Member] = n
				o.keep(b)
				w.stir(b)
			}
		})
		return did
	}
	r := o.kept[do.Member]
	r.Pairs, r.Former = maps.Clone(r.Pairs), maps.Clone(r.Former)
	m := o.by[do.Member]
	now := r.Pairs[r.Gen]
	if state, _ := m.minder.State(); r.Good != r.Gen && state == "failed" {
		now = r.Pairs[r.Good]
	}
	want, again := now, op.Kind == "restart" && !op.Back
	switch former, kept := r.Former[op.ID]; {
	case do.Call == "stop":
	case op.Kind == "release" && (op.Back || s.Undo):
		if kept {
			want = former
		} else if now != "" {
			n := d.Notes[do.Member]
			n.State, n.Why = "failed", "what ran before is not kept here"
			d.Notes[do.Member] = n
			o.keep(b)
			did.State, did.Why = n.State, n.Why
			return did
		}
	case op.Kind == "release":
		if want = o.bad; want == "" {
			want = "good"
		}
		if !kept && now != want {
			r.Former[op.ID] = now
		}
	case s.Undo:
		again = false
	}
	switch {
	case do.Call == "stop":
		r.Run = false
	case want == r.Pairs[r.Good] && !again && r.Run:
		r.Gen = r.Good
	default:
		r.Run, r.Gen = true, do.No
		r.Pairs[do.No] = want
	}
	o.kept[do.Member] = r
	o.touched[b.id][do.Member] = true
	o.keep(b)
	m.minder.Wants(b.clock.at(w.now), r.Run, r.Gen)
	return did
}

func (o *machines) refresh(b *owner, member string) {
	m, d := o.by[member], o.doers[b.id]
	n := d.Notes[member]
	if m == nil || n.State != "going" {
		return
	}
	if n.State, n.Why = m.minder.State(); n.State != "going" {
		d.Notes[member] = n
		o.keep(b)
	}
}

// look is what a scheduler says of itself, false where it does not answer.
func (o *machines) look(t *target, zone string, r *fleet.Reply) bool {
	m := o.by[t.ID]
	running := false
	for _, p := range m.procs {
		running = running || p != nil && o.w.now >= p.readyAt
	}
	if !running {
		return false
	}
	if r.Phase = "serving"; !m.serves(o.w.now) {
		r.Phase = "draining"
	}
	r.Workers = map[string]string{}
	for id, x := range o.workers {
		switch {
		case x.zone != zone || o.w.now < x.downTill:
		case o.w.now < x.warmAt:
			r.Workers[id] = "cold"
		default:
			r.Workers[id] = "warm"
		}
	}
	return true
}

// ---- who asks ----

func (o *machines) person() {
	w := o.w
	w.turn++
	me := fmt.Sprint("person", w.turn)
	w.ask("client", fleet.Command{Caller: me, Number: 1, Do: "limits", By: "ann", Limits: o.limits}, 1e9, func(a fleet.Answer) {
		w.ask("client", fleet.Command{Caller: me, Number: 2, Do: "begin", By: "ann", Op: &o.want}, 1e9, func(a fleet.Answer) {
			if !a.Done { // not all are on record yet, or it is halted
				w.later(1000, o.person)
				return
			}
			o.op = fmt.Sprintf("%s-%d", o.want.Kind, a.No)
			w.note("begun %s", o.op)
		})
	})
}

// halt goes to the record and to every agent.
func (o *machines) halt() {
	w := o.w
	w.turn++
	w.note("halt")
	w.ask("client", fleet.Command{Caller: fmt.Sprint("halt", w.turn), Number: 1, Do: "halt", ID: "all", By: "ann", Why: "a look"}, 1e9,
		func(fleet.Answer) {})
	for _, a := range w.owners {
		if ms, ok := w.link("client", a.id); ok {
			w.later(ms, func() {
				if d := o.doers[a.id]; a.up && a.still <= w.now && d.Halts["all"].Of == "" && !o.lifted {
					d.Halts["all"] = fleet.Halt{Of: "all", By: "ann", No: 1}
					o.keep(a)
				}
			})
		}
	}
	w.later(3000+4000*w.r.Float64(), o.lift)
}

func (o *machines) lift() {
	w := o.w
	w.turn++
	me := fmt.Sprint("lift", w.turn)
	w.ask("client", fleet.Command{Caller: me, Number: 1, Do: "lift", ID: "all", By: "ann"}, 1e9, func(a fleet.Answer) {
		o.lifted = true
		w.note("lifted %t %s", a.Done, a.Why)
	})
}

// settle has a person decide, once faults are over: what halted by itself goes back, and what was drained comes back.
func (o *machines) settle(r *fleet.Record) {
	w := o.w
	op := r.Ops[o.op]
	if o.op == "" || op == nil {
		return
	}
	_, halted := r.Halts[o.op]
	if _, all := r.Halts["all"]; all && w.now > o.relift+3000 { // one that came on record behind the call that lifted it
		o.relift = w.now
		o.lift()
	}
	switch {
	case halted && !op.Back && !o.turned:
		o.turned = true
		w.turn++
		w.ask("client", fleet.Command{Caller: fmt.Sprint("turn", w.turn), Number: 1, Do: "turn", Matter: fleet.OpOf(o.op), By: "ann"}, 1e9,
			func(fleet.Answer) {})
	case op.Done && op.Kind == "drain" && !o.drained:
		o.drained = true
		w.turn++
		w.ask("client", fleet.Command{Caller: fmt.Sprint("undrain", w.turn), Number: 1, Do: "begin", By: "ann",
			Op: &fleet.Op{Kind: "undrain", Waves: op.Waves}}, 1e9, func(a fleet.Answer) {
			o.op = fmt.Sprintf("undrain-%d", a.No)
		})
	case op.Done && op.Kind != "drain" && o.ended == 0:
		// What ended without some of its members, a person brings back.
		out := slices.Sorted(maps.Keys(r.Permits))
		if len(out) == 0 {
			o.ended = w.now
			return
		}
		if w.now < o.raised+3000 {
			return
		}
		o.raised = w.now
		w.turn++
		w.ask("client", fleet.Command{Caller: fmt.Sprint("undrain", w.turn), Number: 1, Do: "begin", By: "ann",
			Op: &fleet.Op{Kind: "undrain", Waves: [][]string{out}}}, 2000, func(a fleet.Answer) {
			if a.Done {
				o.op = fmt.Sprintf("undrain-%d", a.No)
			}
		})
	}
}

// left tells whether an operation is halted with the reason, for a person: a released program falls again and again, and the
// disk of its agent lost what ran before.
func (o *machines) left(r *fleet.Record, op *fleet.Op) bool {
	if op == nil || r.Halts[op.ID].By != fleet.OpOf(op.ID) {
		return false
	}
	for id, s := range op.Steps {
		m := o.by[id]
		if op.Arrived(s) {
			continue
		} else if m == nil || o.bad == "" || o.kept[id].Pairs[o.kept[id].Gen] != o.bad {
			return false
		}
		if state, _ := m.minder.State(); state != "failed" {
			return false // its agent has to say so
		}
	}
	return true
}

// end tells whether all came to an end: the operation is over, nobody is out for it, and all processes are as they should.
func (o *machines) end(r *fleet.Record) {
	w := o.w
	op := r.Ops[o.op]
	if o.left(r, op) {
		w.got.Left++
		return
	}
	if op == nil || !op.Done {
		text := "none"
		if op != nil {
			for id, s := range op.Steps {
				if !op.Arrived(s) && len(text) < 500 {
					state, why := "", ""
					if m := o.by[id]; m != nil {
						state, why = m.minder.State()
					}
					for _, c := range r.Room(id) {
						for _, other := range c.Out {
							why, _ := r.IsOut(other)
							text += other + " " + why + ", "
						}
					}
					text += fmt.Sprintf("; [%s] ", r.Grant(op, id))
					text += fmt.Sprintf("; %s at %s since %d undo %t (%s) seen %+v minder %s %s note %+v", id, s.At, s.No, s.Undo, s.Why, r.Health[id],
						state, why, o.doers[r.Members[id].Agent].Notes[id])
				}
			}
			text = fmt.Sprintf("%s back %t wave %d of %d halts %v: %s", op.ID, op.Back, op.Wave, len(op.Waves), r.Halts, text)
		}
		w.broke("the operation has not ended: %s", text)
		return
	}
	for id, p := range r.Permits {
		if s := op.Steps[id]; s.Why == "" {
			w.broke("%s still has a permit of %s", id, p.Op)
		}
	}
	for _, m := range o.all {
		if !m.serves(w.now) && op.Steps[m.t.ID].Why == "" {
			state, why := m.minder.State()
			w.broke("%s does not serve at the end: %s %s, kept %+v, procs %v %v, agent up %t", m.t.ID, state, why, o.kept[m.t.ID], m.procs[0], m.procs[1], m.a.up)
		}
	}
}
