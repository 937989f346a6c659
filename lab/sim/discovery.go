package sim

import (
	"shalebeam/balance"
	"shalebeam/lab/script"
	"shalebeam/watch"
)

// discovery keeps the list of workers with versions, and tells it: to all when it changes, or to those whose
// watch is on. It carries out calls that begin a watch and answers with news one after another, so that many wait
// for each other.
type discovery struct {
	w      *world
	down   bool
	lag    float64 // a fault's further one
	seq    int
	log    []entry          // each version's change, the first ones being the list at the start
	late   []balance.Listed // what changed while it was down
	byName map[string]*box
	busy   float64 // when it is done with the calls it has
}

// callFor is how long a call that begins a watch waits for its turn, and then is turned away. Its turn is worked
// through all the same.
const callFor = 2000.0

// callLines is how many lines of the list are as much work as a call.
const callLines = 40

// formerFor is how long a former address still answers.
const formerFor = 1500.0

type entry struct {
	seq int
	row balance.Listed
}

// line is a scheduler's connection to discovery. What becomes of it is nothing to the scheduler once it has another.
type line struct {
	s      *proc
	gen    int
	call   watch.Call
	no     int // of that call
	out    bool
	sent   float64
	on     bool // a watch is on
	queued bool // an answer waits for its turn
	flying bool // an answer is on its way
	mute   bool // nothing comes through, and neither side knows
	reset  bool // it is broken without a word
	former bool // at an address that discovery has left
}

func (l *line) lives() bool {
	return l.s.alive && l.s.gen == l.gen && (l.s.line == l || l.s.aside == l)
}

func (d *discovery) init(w *world) {
	*d = discovery{w: w, byName: map[string]*box{}}
	for _, b := range w.boxes {
		d.byName[b.Name] = b
		if b.up {
			d.log = append(d.log, entry{d.seq, d.row(b, balance.Running)})
		}
	}
	if w.p.Discovery.Weights == "live" {
		w.after(float64(w.p.Discovery.LiveEach), d.live)
	}
}

func (d *discovery) row(b *box, state balance.State) balance.Listed {
	return balance.Listed{ID: b.Name, Cell: b.Cell, Zone: b.Zone, Kind: b.Kind, State: state, Start: b.m.Start,
		Weight: b.weight()}
}

// live puts all weights in the list anew.
func (d *discovery) live() {
	for _, b := range d.w.boxes {
		if b.up && !b.m.Draining && !d.down {
			d.change(d.row(b, balance.Running))
		}
	}
	d.spread()
	d.w.after(float64(d.w.p.Discovery.LiveEach), d.live)
}

// tell changes a worker's entry. The change is known here after a lag, and not while discovery is down, and then
// goes out.
func (d *discovery) tell(b *box, state balance.State) {
	row := d.row(b, state)
	d.w.after(float64(d.w.p.Discovery.Lag)+d.lag, func() {
		if d.down {
			d.late = append(d.late, row)
			return
		}
		d.change(row)
		d.spread()
	})
}

func (d *discovery) change(row balance.Listed) {
	d.seq++
	d.log = append(d.log, entry{d.seq, row})
	d.w.audit.Changed(d.w.now, d.seq, row.ID, row.State, row.Start)
}

// spread has news go out to those that wait for them.
func (d *discovery) spread() {
	for _, s := range d.w.procs {
		switch {
		case !s.alive:
		case d.w.p.Discovery.Mode == "push":
			d.push(s)
		case s.line != nil && s.line.on && s.line.out:
			d.turn(s.line)
		}
	}
}

// queue is when what comes now has had its turn: a call, which is as much work as some tens of lines, or the lines that
// are told.
func (d *discovery) queue(call bool, lines int) float64 {
	work := float64(lines) / callLines
	if call {
		work++
	}
	d.busy = max(d.busy, d.w.now) + work*1000/d.w.p.Discovery.Calls
	return d.busy
}

// push tells a scheduler the list's changes without being asked.
func (d *discovery) push(s *proc) {
	if s.queued || d.down {
		return
	}
	s.queued = true
	gen := s.gen
	lives := func() bool { return s.alive && s.gen == gen }
	d.w.at(d.queue(false, callLines), func() {
		if !lives() {
			return
		}
		s.queued = false
		if d.down {
			return
		}
		rows, seq := d.since(s.known), d.seq
		d.w.net.send(script.Part{Kind: "discovery"}, s.part(), lives, func() {
			if seq < s.known {
				return // what was overtaken
			}
			s.known = seq
			d.w.hears(d.w.now, s, rows)
			if len(rows) > 0 {
				s.list(rows, false)
			}
			s.pull()
			if d.seq > s.known {
				d.push(s)
			}
		})
	})
}

// call carries a scheduler's call: on the connection that it has, or on a new one, which comes up after a round trip.
func (d *discovery) call(s *proc, c watch.Call) {
	l := s.line
	d.w.audit.Asked(d.w.now, s.name, l == nil)
	if l != nil {
		d.w.got.Fleet.Renewals++
		d.send(l, c)
		return
	}
	d.w.got.Fleet.Calls++
	l = &line{s: s, gen: s.gen}
	s.line = l
	if d.w.net.cut(s.part(), script.Part{Kind: "discovery"}) {
		d.w.after(float64(d.w.p.Schedulers.Dial), func() { d.fail(l, watch.Broken) })
		return
	}
	d.w.net.send(s.part(), script.Part{Kind: "discovery"}, l.lives, func() {
		if d.down {
			d.refuse(l, watch.Refused)
			return
		}
		d.w.net.send(script.Part{Kind: "discovery"}, s.part(), l.lives, func() {
			d.send(l, c)
			s.follow()
		})
	})
}

// send writes a call on a connection that is up.
func (d *discovery) send(l *line, c watch.Call) {
	l.s.watch.Sent(l.s.clock())
	l.call, l.out, l.sent = c, true, d.w.now
	l.no++
	no := l.no
	d.w.net.send(l.s.part(), script.Part{Kind: "discovery"}, l.lives, func() {
		switch {
		case l.mute:
		case d.down:
			d.refuse(l, watch.TurnedAway)
		case !l.on:
			if at := d.queue(true, d.news(l)); at > d.w.now+callFor {
				d.w.after(callFor, func() { d.refuse(l, watch.TurnedAway) })
			} else {
				d.w.at(at, func() { d.answer(l, no) })
			}
		case d.seq > int(c.After):
			d.turn(l)
		default:
			d.w.after(c.Wait, func() {
				if !l.queued {
					d.answer(l, no)
				}
			})
		}
	})
}

// turn has a watch answered with news in its turn.
func (d *discovery) turn(l *line) {
	if l.queued {
		return
	}
	l.queued = true
	no := l.no
	d.w.at(d.queue(false, d.news(l)), func() {
		l.queued = false
		d.answer(l, no)
	})
}

// news is how many lines a connection's call is owed.
func (d *discovery) news(l *line) int {
	if l.call.After < 0 {
		return len(d.byName)
	}
	return len(d.since(int(l.call.After)))
}

// answer writes what is new since the version that was asked from, or all.
func (d *discovery) answer(l *line, no int) {
	if !l.lives() || d.down || !l.out || l.no != no {
		return
	}
	l.out = false
	if d.w.net.cut(l.s.part(), script.Part{Kind: "discovery"}) {
		l.on = true
		d.mute(l)
	}
	if l.mute {
		return // written to nobody
	}
	s, seq, whole := l.s, d.seq, l.call.After < 0
	rows := d.since(int(l.call.After))
	if whole {
		rows = d.as(seq)
	}
	l.on, l.flying = true, true
	d.w.got.Fleet.Lines += len(rows)
	at, away := d.w.now, d.away()
	d.w.net.send(script.Part{Kind: "discovery"}, s.part(), l.lives, func() {
		// It counts from when it was written; what a cut keeps back was written on a watch that fell silent.
		l.flying = false
		d.w.audit.Wrote(s.name, seq, l.former)
		d.w.hears(at, s, rows)
		if whole {
			d.w.hears(at, s, away)
		}
		if s.aside == l {
			if s.aside = nil; s.watch.Overhears(s.clock(), int64(seq)) {
				s.known = seq
				s.list(rows, whole)
				s.pull()
			}
			return
		}
		s.known = seq
		if len(rows) > 0 || whole {
			s.list(rows, whole)
		}
		s.watch.Answered(s.clock(), int64(seq), true)
		s.follow()
		s.pull()
	})
}

// refuse ends a connection from discovery's side. What was written before comes before.
func (d *discovery) refuse(l *line, how watch.Failure) {
	if l.lives() {
		d.w.net.send(script.Part{Kind: "discovery"}, l.s.part(), l.lives, func() {
			if l.flying {
				d.refuse(l, how)
			} else {
				d.fail(l, how)
			}
		})
	}
}

// fail tells a scheduler that its connection is no more.
func (d *discovery) fail(l *line, how watch.Failure) {
	if !l.lives() {
		return
	}
	if l.s.aside == l {
		l.s.aside = nil
		return
	}
	if !l.on {
		d.w.got.Fleet.Failed++
	}
	l.s.line = nil
	d.w.audit.Unwatched(l.s.name)
	if l.reset {
		how = watch.Broken
	}
	l.s.watch.Failed(l.s.clock(), how)
	l.s.follow()
	l.s.pull()
}

// hears tells the auditor what was written to a scheduler.
func (w *world) hears(at float64, s *proc, rows []balance.Listed) {
	for _, r := range rows {
		w.audit.Listed(at, s.name, r.ID, r.State, r.Start)
	}
}

// away lists the workers that were listed once and are no more.
func (d *discovery) away() (rows []balance.Listed) {
	for _, r := range d.since(-1) {
		if r.State == balance.Removed {
			rows = append(rows, r)
		}
	}
	return rows
}

// since lists what changed after a version: each worker's last entry, in the order of these.
func (d *discovery) since(seq int) (rows []balance.Listed) {
	last := map[string]bool{}
	for i := len(d.log) - 1; i >= 0 && d.log[i].seq > seq; i-- {
		if r := d.log[i].row; !last[r.ID] {
			last[r.ID] = true
			rows = append(rows, r)
		}
	}
	return rows
}

// as is the whole list as it was at a version.
func (d *discovery) as(seq int) []balance.Listed {
	at := map[string]int{}
	var rows []balance.Listed
	for _, e := range d.log {
		if e.seq > seq {
			break
		}
		if i, ok := at[e.row.ID]; ok {
			rows[i] = e.row
		} else {
			at[e.row.ID] = len(rows)
			rows = append(rows, e.row)
		}
	}
	kept := rows[:0]
	for _, r := range rows {
		if r.State != balance.Removed {
			kept = append(kept, r)
		}
	}
	return kept
}

// cutOff has the watches fall silent that a cut broke: what is on its way there is given up, not sent again for ever.
func (d *discovery) cutOff() {
	for _, s := range d.w.procs {
		for _, l := range []*line{s.line, s.aside} {
			if s.alive && l != nil && d.w.net.cut(s.part(), script.Part{Kind: "discovery"}) {
				d.mute(l)
			}
		}
	}
}

// mute has a scheduler's watch fall silent.
func (d *discovery) mute(l *line) {
	was := l.mute
	if l.mute = true; l.on && !was && l == l.s.line {
		d.w.audit.Muted(d.w.now, l.s.name, l.sent, l.call.Wait)
	}
}

// move tells a scheduler of another address. The former one answers for a while.
func (d *discovery) move(s *proc) {
	if !s.alive {
		return
	}
	d.w.audit.Moved(d.w.now, s.name)
	s.watch.Went(s.clock())
	if l := s.line; l != nil {
		l.former = true
		d.w.after(formerFor, func() { d.fail(l, watch.TurnedAway) })
	}
	s.follow()
	s.pull()
}

func (d *discovery) act(a script.Act) {
	switch {
	case a.Do == "lag":
		d.lag += sign(a) * a.Factor
	case a.Do == "down" && a.Begin:
		d.down, d.busy = true, 0
		d.w.audit.Down(d.w.now, true)
		for _, s := range d.w.procs {
			s.queued = false
			if l := s.line; s.alive && l != nil && !l.mute {
				l.on = false // discovery has ended its watch, which no more can fall silent
				d.refuse(l, watch.TurnedAway)
			}
		}
	case a.Do == "down":
		d.down = false
		d.w.audit.Down(d.w.now, false)
		for _, row := range d.late {
			d.change(row)
		}
		d.late = nil
		d.spread()
	}
}
