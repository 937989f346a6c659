package sim

import (
	"shalebeam/balance"
	"shalebeam/lab/script"
)

// discovery keeps the list of workers with versions, and tells it: to all when it changes, or to those whose
// watch is on. It carries out a call after another, so that many watchers wait for each other.
type discovery struct {
	w      *world
	down   bool
	lag    float64 // a fault's further one
	seq    int
	log    []entry // each version's change, the first ones being the list at the start
	byName map[string]*box
	busy   float64 // when it is done with the calls it has
}

// callFor is how long a call that begins a watch waits for its turn.
const callFor = 2000.0

type entry struct {
	seq int
	row balance.Listed
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
		if b.up && !b.m.Draining {
			d.seq++
			d.log = append(d.log, entry{d.seq, d.row(b, balance.Running)})
		}
	}
	d.spread()
	d.w.after(float64(d.w.p.Discovery.LiveEach), d.live)
}

// tell changes a worker's entry. The change is known here after a lag, and then goes out.
func (d *discovery) tell(b *box, state balance.State) {
	row := d.row(b, state)
	d.w.after(float64(d.w.p.Discovery.Lag)+d.lag, func() {
		d.seq++
		d.log = append(d.log, entry{d.seq, row})
		d.spread()
		d.countAsTold(row)
	})
}

// countAsTold: a scheduler that neither watches nor asks for long counts as told all the same.
func (d *discovery) countAsTold(row balance.Listed) {
	if d.w.p.Discovery.Mode == "push" {
		return
	}
	changed := d.w.now
	d.w.after(float64(d.w.p.Discovery.MustAsk), func() {
		for _, s := range d.w.procs {
			if s.alive && !s.watch && s.asked < changed {
				d.w.audit.Listed(d.w.now, s.name, row.ID, row.State, row.Start)
			}
		}
	})
}

// spread has news go out to those that wait for them.
func (d *discovery) spread() {
	if d.down {
		return
	}
	for _, s := range d.w.procs {
		if s.alive && (s.watch || d.w.p.Discovery.Mode == "push") {
			d.serve(s)
		}
	}
}

// serve answers a scheduler's call in its turn, with what is new by then.
func (d *discovery) serve(s *proc) {
	if s.queued {
		return
	}
	s.queued = true
	d.busy = max(d.busy, d.w.now) + 1000/d.w.p.Discovery.Calls
	gen, no := s.gen, s.callNo
	lives := func() bool { return s.gen == gen && s.alive && s.callNo == no }
	d.w.at(d.busy, func() {
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
				return // an answer that was overtaken
			}
			s.known = seq
			if len(rows) > 0 {
				s.list(rows, false)
			}
			if !s.watch && d.w.p.Discovery.Mode == "watch" {
				s.watch = true
				s.d.Watched(s.clock(), true)
			}
			s.asked = d.w.now
			s.pull()
			if d.seq > s.known && s.watch {
				d.serve(s)
			}
		})
	})
}

// ask takes a scheduler's call for a watch.
func (d *discovery) ask(s *proc) {
	s.asked = d.w.now
	s.callNo++
	d.w.got.Fleet.Calls++
	gen, no := s.gen, s.callNo
	lives := func() bool { return s.gen == gen && s.alive && s.callNo == no }
	fail := func() {
		if lives() && !s.watch {
			d.w.got.Fleet.Failed++
			s.callNo++
			s.queued = false // given up, yet its turn in the queue is worked through
			s.d.Watched(s.clock(), false)
			s.pull()
		}
	}
	if d.w.net.cut(s.part(), script.Part{Kind: "discovery"}) {
		d.w.after(float64(d.w.p.Schedulers.Dial), fail)
		return
	}
	d.w.after(callFor, fail)
	d.w.net.send(s.part(), script.Part{Kind: "discovery"}, lives, func() {
		if d.down {
			d.w.net.send(script.Part{Kind: "discovery"}, s.part(), lives, fail)
			return
		}
		d.serve(s)
	})
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

// cutOff has watches end that a cut broke, once their callers notice.
func (d *discovery) cutOff() {
	for _, s := range d.w.procs {
		if !s.watch || !d.w.net.cut(s.part(), script.Part{Kind: "discovery"}) {
			continue
		}
		gen := s.gen
		d.w.after(float64(d.w.p.Discovery.MustAsk)/2+2000, func() {
			if s.gen == gen && s.alive && s.watch && d.w.net.cut(s.part(), script.Part{Kind: "discovery"}) {
				d.end(s)
			}
		})
	}
}

func (d *discovery) end(s *proc) {
	s.watch = false
	s.d.Watched(s.clock(), false)
	s.pull()
}

func (d *discovery) act(a script.Act) {
	switch {
	case a.Do == "lag":
		d.lag += sign(a) * a.Factor
	case a.Do == "down" && a.Begin:
		d.down = true
		for _, s := range d.w.procs {
			if s.alive && s.watch {
				gen := s.gen
				d.w.after(d.w.net.delay(), func() {
					if s.gen == gen && s.watch {
						d.end(s)
					}
				})
			}
			s.queued = false
		}
	case a.Do == "down":
		d.down = false
		if d.w.p.Discovery.Mode == "push" {
			d.spread()
		}
	}
}
