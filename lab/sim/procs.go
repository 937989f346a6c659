package sim

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"shalebeam/balance"
	"shalebeam/lab/load"
	"shalebeam/lab/machine"
	"shalebeam/lab/policy"
	"shalebeam/lab/script"
	"shalebeam/watch"
)

// proc is a scheduler: one decider and the host around it, which does what the host on sockets does.
type proc struct {
	w        *world
	no       int
	name     string
	zone     int
	d        policy.Decider
	seed     uint64 // of this process
	gen      int    // counts starts and ends; what is for a former process is lost
	alive    bool
	listed   bool // the front deals it clients
	stopping bool
	again    bool // it starts anew when it has stopped
	stopBy   float64
	stopped  float64 // when it was told to stop
	skew     float64 // its clock against the others'
	txns     map[string]*taken
	conns    map[int]conn // kept connections, by worker
	state    map[int]balance.State
	timer    float64
	watch    *watch.Watch
	line     *line // its connection to discovery, nil while there is none
	aside    *line // the one before, which may be only late
	watchAt  float64
	queued   bool // discovery pushes something to it
	known    int  // the version of the list it has
	pulling  bool
}

type conn struct {
	boxGen int
	used   float64
}

// taken is a txn that the scheduler has taken.
type taken struct {
	ref    string
	call   *call
	scheme int
	until  float64
	posts  []*sent
	out    int
	over   bool
}

// sent is one posting.
type sent struct {
	t       *taken
	s       *proc
	gen     int
	b       *box
	boxGen  int
	no      int
	job     *machine.Job
	flying  bool // its work counts as on its way to the worker
	dialled bool
	done    bool
	settled bool // it ran, and its result may reach its client
}

func (x *sent) live() bool    { return !x.done && x.s.gen == x.gen }
func (x *sent) work() float64 { return x.t.call.j.Work * float64(x.t.call.j.Slots) }

// land takes its work from what is on its way.
func (x *sent) land() {
	if x.flying {
		x.flying = false
		x.b.coming -= x.work()
	}
}

func (s *proc) part() script.Part { return script.Part{Kind: "schedulers", No: s.no} }

// clock is what the scheduler's own clock shows.
func (s *proc) clock() float64 { return epoch + s.w.now + s.skew }

// start begins a process with the list that the last one had.
func (s *proc) start() {
	s.gen++
	s.alive, s.stopping, s.line, s.aside, s.queued = true, false, nil, nil, false
	s.stopBy, s.timer, s.watchAt = math.Inf(1), math.Inf(1), math.Inf(1)
	s.watch = watch.New(math.Inf(1), 0, 0)
	if s.w.p.Discovery.Mode != "push" {
		s.watch = watch.New(s.clock(), float64(s.w.p.Discovery.MustAsk), watch.EachCall*float64(s.w.p.Schedulers.Count))
	}
	s.watch.Began(int64(s.known))
	s.txns, s.conns, s.state = map[string]*taken{}, map[int]conn{}, map[int]balance.State{}
	if s.d = s.w.decider(s.no, s.gen); s.d == nil {
		return
	}
	s.w.audit.Hears(s.w.now, s.name, s.known)
	s.w.hears(s.w.now, s, s.w.disc.as(s.known))
	s.follow() // from what its list counts as to begin with
	s.list(s.w.disc.as(s.known), true)
	for _, id := range slices.Sorted(maps.Keys(s.w.out)) {
		if s.w.out[id] > 0 {
			s.staff(id, true) // it keeps that over its ends
		}
	}
	s.pull()
	if s.w.now == 0 {
		s.listed = true
		return
	}
	gen := s.gen
	s.w.after(200, func() { s.listed = s.listed || s.gen == gen })
}

// list tells the module of entries.
func (s *proc) list(rows []balance.Listed, whole bool) {
	for _, r := range rows {
		b := s.w.disc.byName[r.ID]
		s.state[b.no] = r.State
	}
	s.d.ListChanged(s.clock(), whole, rows)
}

func (s *proc) staff(id string, out bool) {
	if out {
		s.d.Withdrawn(s.clock(), id)
	} else {
		s.d.Returned(s.clock(), id)
	}
}

func (s *proc) arrived(c *call, until float64) {
	scheme := c.j.Scheme
	if c.twin {
		scheme += len(s.w.p.Schemes)
	}
	place := slices.Index(s.w.p.In(s.w.phase), scheme)
	if place < 0 { // the host answers that there is no such scheme, and the module never hears of it
		s.w.after(s.w.net.delay(), func() { s.w.answered(c, load.Reversed, 0) })
		return
	}
	t := &taken{ref: c.ref, call: c, scheme: scheme, until: min(until, s.stopBy)}
	s.txns[t.ref] = t
	s.w.audit.Took(s.w.now, s.name, t.ref, t.scheme, t.until)
	s.d.Arrived(s.clock(), balance.Txn{Ref: t.ref, Scheme: place, Tenant: c.j.Tenant, Key: c.j.Key,
		Hint: c.j.Hint, Slots: float64(c.j.Slots), Left: until - s.w.now, Repeat: c.j.Tries > 0})
	s.expireAt(t)
	s.pull()
}

// expireAt ends what is out when the txn's time is over.
func (s *proc) expireAt(t *taken) {
	gen, until := s.gen, t.until
	s.w.at(until, func() {
		if s.gen != gen || t.until != until {
			return
		}
		for _, x := range t.posts {
			if !x.done {
				s.drop(x, balance.TimedOut)
			}
		}
		s.pull()
	})
}

// gone takes that a client closed its connection.
func (s *proc) gone(ref string) {
	t := s.txns[ref]
	if t == nil || t.over {
		return
	}
	t.over = true
	s.w.audit.Left(s.w.now, ref)
	s.d.Gone(s.clock(), ref)
	s.forget(t)
	s.pull()
}

func (s *proc) forget(t *taken) {
	if t.over && t.out == 0 {
		delete(s.txns, t.ref)
	}
}

func (s *proc) began(x *sent) {
	s.d.Started(s.clock(), x.t.ref, x.no)
	s.pull()
}

// settled takes a result. One that comes a second time is told to the module too, which must not mind.
func (s *proc) settled(x *sent, result string, l balance.Load) {
	if x.done {
		s.d.Ended(s.clock(), x.t.ref, x.no, balance.Done, true, l)
		s.pull()
		return
	}
	if !x.t.over {
		x.t.over = true
		x.settled = false
		s.answer(x.t, load.Settled, result, 0)
	}
	s.ended(x, balance.Done, l)
}

func (s *proc) ended(x *sent, how balance.Outcome, l balance.Load) {
	if x.done {
		return
	}
	s.end(x, how, l)
	s.pull()
}

func (s *proc) end(x *sent, how balance.Outcome, l balance.Load) {
	x.done = true
	if !x.dialled {
		x.land()
	}
	if x.settled {
		x.b.wasted += x.work()
	}
	x.t.out--
	if how == balance.Done || how == balance.Full || how == balance.Erred {
		s.conns[x.b.no] = conn{x.boxGen, s.w.now}
	}
	s.w.audit.Ended(s.w.now, x.t.ref, x.no, how)
	s.d.Ended(s.clock(), x.t.ref, x.no, how, x.t.over, l)
	s.forget(x.t)
}

// drop gives a posting up. One that was never sent whole cannot have run.
func (s *proc) drop(x *sent, how balance.Outcome) {
	if !x.dialled {
		how = balance.NeverSent
	} else {
		s.unsend(x)
	}
	s.end(x, how, balance.NoLoad)
}

// unsend closes a posting's connection: its worker learns of it, sooner or later.
func (s *proc) unsend(x *sent) {
	boxGen := x.boxGen
	s.w.net.send(s.part(), x.b.part(), always, func() {
		if x.job == nil || x.b.gen != boxGen || !x.b.up {
			return
		}
		if !x.b.m.RunsOn {
			x.b.waste(x.job)
			delete(s.w.whose, x.job)
		}
		x.b.m.Drop(x.b.clock(), x.job)
		x.b.settle()
	})
}

// answer gives a txn's client its answer.
func (s *proc) answer(t *taken, kind, result string, stay float64) {
	s.w.audit.Answered(s.w.now, s.name, t.ref, kind, result)
	c := t.call
	slow := float64(s.w.p.Clients.SlowRead) * load.Rand(s.w.seed^uint64(c.j.No), "slow").Float64()
	s.w.after(s.w.net.delay()+slow, func() { s.w.answered(c, kind, stay) })
}

// follow does what the watch says, and tells the module what it has to hear.
func (s *proc) follow() {
	if s.watch.NextHangUp() {
		s.line = nil
	}
	if s.watch.NextAside() {
		s.aside, s.line = s.line, nil
	}
	if !s.watch.Besides() {
		s.aside = nil
	}
	if c, ok := s.watch.NextCall(); ok {
		s.w.disc.call(s, c)
	}
	s.d.Relies(s.watch.Till())
	for on, ok := s.watch.NextTold(); ok; on, ok = s.watch.NextTold() {
		s.d.Watched(s.clock(), on)
	}
	if at := s.watch.Wake(); at < s.watchAt {
		s.watchAt = at
		gen := s.gen
		s.w.after(at-s.clock(), func() {
			if s.gen == gen && s.watchAt == at {
				s.watchAt = math.Inf(1)
				s.watch.Passed(s.clock())
				s.follow()
				s.pull()
			}
		})
	}
}

// pull carries out what the module decides until there is nothing left.
func (s *proc) pull() {
	if s.pulling || !s.alive {
		return
	}
	s.pulling = true
	for gen := s.gen; s.gen == gen && s.step(s.clock()); {
	}
	s.pulling = false
	s.settleStop()
	if !s.alive {
		return
	}
	now := s.clock()
	if at := s.d.Wake(now); at < s.timer {
		s.timer = at
		gen := s.gen
		s.w.after(at-now, func() {
			if s.gen == gen && s.timer == at {
				s.timer = math.Inf(1)
				s.pull()
			}
		})
	}
}

// decided adds a decision to the run's digest: runs of two builds that decide alike have the same.
func (s *proc) decided(now float64, what, ref string, more float64) {
	var b [8]byte
	h := s.w.digest
	for _, x := range []float64{now, float64(s.no), more} {
		binary.LittleEndian.PutUint64(b[:], math.Float64bits(x))
		h.Write(b[:])
	}
	h.WriteString(what)
	h.WriteString(ref)
}

func (s *proc) step(now float64) bool {
	if f, ok := s.d.NextFinal(now); ok {
		s.decided(now, "final", f.Ref, f.Stay)
		kind := load.Reversed
		if f.Declined {
			kind = load.Declined
		}
		t := s.txns[f.Ref]
		if t == nil || t.over {
			s.w.audit.Answered(s.w.now, s.name, f.Ref, kind, "") // the auditor says what is wrong with it
			return true
		}
		t.over = true
		s.answer(t, kind, "", f.Stay)
		s.forget(t)
		return true
	}
	if c, ok := s.d.NextCancel(now); ok {
		s.decided(now, "cancel", c.Ref, float64(c.Posting))
		if t := s.txns[c.Ref]; t != nil && c.Posting < len(t.posts) && !t.posts[c.Posting].done {
			s.drop(t.posts[c.Posting], balance.Cancelled)
		}
		return true
	}
	if p, ok := s.d.NextPosting(now); ok {
		s.decided(now, p.Worker, p.Ref, p.By)
		s.post(p)
		return true
	}
	if id, ok := s.d.NextProbe(now); ok {
		s.decided(now, "probe", id, 0)
		s.probe(id)
		return true
	}
	if body, ok := s.d.NextMessage(now); ok {
		s.decided(now, "message", string(body), 0)
		s.w.got.Fleet.Messages++
		for _, o := range s.w.procs {
			if o != s && s.w.net.r.Float64() >= s.w.net.loss() {
				gen := o.gen
				s.w.after(s.w.net.delay(), func() {
					if o.gen == gen && o.alive {
						s.w.got.Fleet.Heard++
						s.w.got.Fleet.Bytes += len(body)
						o.d.Heard(o.clock(), s.no, body)
						o.pull()
					}
				})
			}
		}
		return true
	}
	if s.d.NextWatch(now) {
		s.watch.Wanted(s.clock())
		s.follow()
		return true
	}
	return false
}

// post makes a posting: on a kept connection, or a new one. What must be sure of its connection gets a new
// one, as a reset of an old one says nothing of whether the posting ran.
func (s *proc) post(p balance.Post) {
	b := s.w.disc.byName[p.Worker]
	t := s.txns[p.Ref]
	if t == nil || b == nil {
		s.w.audit.Posted(s.w.now, s.name, p.Ref, 0, p.Worker, 0, 0)
		return
	}
	x := &sent{t: t, s: s, gen: s.gen, b: b, no: len(t.posts)}
	t.posts = append(t.posts, x)
	t.out++
	s.w.got.Postings++
	x.flying = true
	b.coming += x.work()
	old, kept := s.conns[b.no]
	delete(s.conns, b.no)
	if kept && s.w.now-old.used < float64(s.w.p.Schedulers.Idle)/2 && old.boxGen == b.gen &&
		s.w.rows[t.scheme].Effect != balance.OnceOnly {
		x.boxGen = old.boxGen
		s.write(x)
		return
	}
	s.dial(b, x.live, func(boxGen int) {
		away := s.state[b.no] != balance.Running || s.clock() >= s.watch.Till() || s.w.out[b.Name] > 0
		if _, bug := s.d.(interface{ SkipsLastCheck() }); away && !bug || t.over || s.clock() > p.By {
			s.ended(x, balance.NeverSent, balance.NoLoad) // too late: see balance.Post, and the host on sockets
			return
		}
		x.boxGen = boxGen
		s.write(x)
	}, func() { s.ended(x, balance.NoConnect, balance.NoLoad) })
}

// dial makes a connection: up after a round trip, refused as soon, or never, which a time-out tells.
func (s *proc) dial(b *box, lives func() bool, up func(boxGen int), failed func()) {
	s.w.got.Fleet.Dials++
	ended := false
	once := func(f func()) {
		if !ended && lives() {
			ended = true
			f()
		}
	}
	s.w.after(float64(s.w.p.Schedulers.Dial), func() { once(failed) })
	s.w.net.send(s.part(), b.part(), lives, func() {
		if b.silent {
			return
		}
		open, gen := b.up, b.gen
		s.w.net.send(b.part(), s.part(), lives, func() {
			once(func() {
				if open {
					up(gen)
				} else {
					failed()
				}
			})
		})
	})
}

// write sends a posting's request.
func (s *proc) write(x *sent) {
	x.dialled = true
	s.w.audit.Posted(s.w.now, s.name, x.t.ref, x.no, x.b.Name, x.b.Zone, x.b.Cell)
	// Even if it is given up at once the request may still arrive, so that its worker works in vain.
	s.w.net.send(s.part(), x.b.part(), always, func() { x.b.take(x) })
}

// probe asks a worker whether it answers.
func (s *proc) probe(id string) {
	b := s.w.disc.byName[id]
	s.w.got.Fleet.Probes++
	gen, told := s.gen, false
	tell := func(how balance.Outcome, l balance.Load) {
		if !told && s.gen == gen && s.alive {
			told = true
			s.d.Probed(s.clock(), id, how, l)
			s.pull()
		}
	}
	lives := func() bool { return !told && s.gen == gen }
	s.dial(b, lives, func(boxGen int) {
		s.w.after(2*float64(s.w.p.Schedulers.Dial), func() { tell(balance.TimedOut, balance.NoLoad) })
		s.w.net.send(s.part(), b.part(), lives, func() {
			how := balance.Done
			if !b.up || b.gen != boxGen {
				how = balance.Reset
			}
			if !b.silent && !b.m.Paused {
				l := b.load()
				s.w.net.send(b.part(), s.part(), lives, func() { tell(how, l) })
			}
		})
	}, func() { tell(balance.NoConnect, balance.NoLoad) })
}

// drain begins a planned stop.
func (s *proc) drain() {
	if !s.alive || s.stopping {
		return
	}
	s.stopping, s.stopped = true, s.w.now
	most := 0.0
	for _, c := range s.w.p.Schemes {
		most = max(most, float64(c.Expiry))
	}
	s.stopBy = s.w.now + max(min(most, float64(s.w.p.Schedulers.StopFor)), 700)
	for _, ref := range sortedRefs(s.txns) {
		t := s.txns[ref]
		t.until = min(t.until, s.stopBy)
		s.expireAt(t)
	}
	s.d.Stops(s.clock() + s.stopBy - s.w.now)
	gen := s.gen
	s.w.after(200+200*load.Rand(s.w.seed, s.name+"front").Float64(), func() { s.listed = s.listed && s.gen != gen })
	s.w.after(700, func() {
		if s.gen == gen {
			s.pull()
		}
	})
	s.w.at(s.stopBy+300, func() {
		if s.gen == gen && s.alive {
			s.die(false)
		}
	})
	s.pull()
}

// settleStop ends a stop once all is answered.
func (s *proc) settleStop() {
	if !s.stopping || s.w.now < s.stopped+700 {
		return
	}
	for _, t := range s.txns {
		if !t.over {
			return
		}
	}
	s.die(false)
}

// die ends the process: clients' connections break, and workers see theirs closed.
func (s *proc) die(killed bool) {
	if !s.alive {
		return
	}
	s.alive = false
	s.w.audit.Died(s.w.now, s.name, killed)
	for _, ref := range sortedRefs(s.txns) {
		t := s.txns[ref]
		c := t.call
		if !t.over {
			s.w.after(s.w.net.delay(), func() { s.w.answered(c, load.Broken, 0) })
		}
		for _, x := range t.posts {
			if !x.done && x.dialled {
				s.unsend(x)
			} else {
				x.land()
			}
			x.done = true
		}
	}
	s.gen++
	s.txns = nil
	gen := s.gen
	s.w.after(float64(s.w.p.Clients.FrontLag), func() {
		if s.gen == gen {
			s.listed = false
		}
	})
	if s.again {
		s.again = false
		s.w.after(200, s.startAgain)
	}
}

func sortedRefs(m map[string]*taken) []string {
	refs := make([]string, 0, len(m))
	for ref := range m {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

func (s *proc) act(a script.Act) {
	switch {
	case a.Do == "kill" && a.Begin, a.Do == "clock" && a.Begin:
		s.die(true)
		if a.Do == "clock" {
			s.skew += a.Factor
			s.w.after(500, s.startAgain)
		}
	case a.Do == "clock":
		s.skew -= a.Factor
		s.die(true)
		s.w.after(500, s.startAgain)
	case a.Do == "mute" && a.Begin:
		if s.line != nil && s.line.on {
			s.w.disc.mute(s.line)
		}
	case a.Do == "unwatch" && a.Begin:
		if s.line != nil {
			s.line.reset = s.line.on
			s.w.disc.refuse(s.line, watch.TurnedAway)
		}
	case a.Do == "move" && a.Begin:
		s.w.disc.move(s)
	case a.Do == "kill":
		s.startAgain()
	case a.Do == "stop" && a.Begin:
		s.drain()
	case a.Do == "stop":
		if s.again = s.alive && s.stopping; !s.again { // one that has not ended yet starts anew when it has
			s.startAgain()
		}
	}
}

func (s *proc) startAgain() {
	if !s.alive {
		s.start()
	}
}

// resetAll breaks a part of the connections to a worker that carry something.
func (w *world) resetAll(b *box, a script.Act) {
	r := load.Rand(a.Seed, "reset")
	for _, s := range w.procs {
		for _, ref := range sortedRefs(s.txns) {
			t := s.txns[ref]
			if t == nil {
				continue
			}
			for _, x := range slices.Clone(t.posts) {
				if x.b == b && !x.done && x.dialled && r.Float64() < a.Factor {
					s.unsend(x)
					s.ended(x, balance.Reset, balance.NoLoad)
				}
			}
		}
		delete(s.conns, b.no)
	}
}
