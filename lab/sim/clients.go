package sim

import (
	"math"
	"slices"

	"shalebeam/lab/load"
	"shalebeam/lab/script"
)

// call is one try of a job: a txn on its way to a scheduler, at it, or answered.
type call struct {
	j    *load.Job
	ref  string
	s    *proc
	gen  int // of the scheduler's process that its connection leads to
	over bool
	took bool
	twin bool // it asks for its scheme's twin
}

// nextJob takes the next job from the stream.
func (w *world) nextJob() {
	j, ok := w.stream.Next()
	if !ok {
		w.more = false
		return
	}
	w.at(j.At, func() {
		w.jobs++
		w.got.Came(j)
		w.try(j)
		w.nextJob()
	})
	if !math.IsInf(j.Leaves, 1) {
		w.at(j.Leaves, func() { w.leave(j) })
	}
}

// front finds the scheduler that a try goes to, nil where none is taken for alive.
func (w *world) front(j *load.Job) *proc {
	i := j.Front(w.seed, len(w.procs), func(i int) (int, bool) { return w.procs[i].zone, w.procs[i].listed })
	if i < 0 {
		return nil
	}
	return w.procs[i]
}

func (w *world) try(j *load.Job) {
	if j.Over {
		return
	}
	c := &call{j: j, ref: j.Ref(), s: w.front(j), twin: w.twins}
	w.open[j.No] = c
	until := w.now + float64(w.p.Schemes[j.Scheme].Expiry)
	// A little beyond its time a client waits for an answer that is on its way, and no longer.
	w.at(until+2*answerIn+1000, func() { w.answered(c, load.Expired, 0) })
	if c.s == nil {
		w.after(w.net.delay(), func() { w.answered(c, load.Refused, 0) })
		return
	}
	w.after(w.net.delay(), func() {
		if !c.s.alive {
			w.after(w.net.delay(), func() { w.answered(c, load.Refused, 0) })
			return
		}
		if c.over {
			return
		}
		c.gen, c.took = c.s.gen, true
		c.s.arrived(c, until)
	})
}

// answered takes what came of a try, once.
func (w *world) answered(c *call, got string, stay float64) {
	if c.over {
		return
	}
	c.over = true
	if c.took && got != load.Settled && got != load.Declined && got != load.Reversed && got != load.Broken {
		s, gen := c.s, c.gen // it closes its connection
		w.after(w.net.delay(), func() {
			if s.gen == gen && s.alive {
				s.gone(c.ref)
			}
		})
	}
	j := c.j
	delete(w.open, j.No)
	at, again := j.Answered(w.p, w.now, got, stay)
	if !again {
		w.jobs--
		w.got.Over(w.p, j, w.now)
		return
	}
	w.at(at, func() { w.try(j) })
}

// leave has a client go away, wherever its job is.
func (w *world) leave(j *load.Job) {
	if j.Over {
		return
	}
	if c := w.open[j.No]; c != nil {
		w.answered(c, load.Left, 0)
		return
	}
	j.Over, j.Got = true, load.Left // between two tries
	w.jobs--
	w.got.Over(w.p, j, w.now)
}

// massCancel has a part of all waiting clients leave at once.
func (w *world) massCancel(a script.Act) {
	var nos []int
	for no := range w.open {
		nos = append(nos, no)
	}
	slices.Sort(nos)
	r := load.Rand(a.Seed, "cancel")
	for _, no := range nos {
		if c := w.open[no]; r.Float64() < a.Factor {
			w.leave(c.j)
		}
	}
}
