package balance

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
)

// How an open txn passes from one process of this scheduler to another: one gives all that the rules ask of
// it, the other goes on from there. Nothing is decided here.

// Carried is an open txn as another process is told of it.
type Carried struct {
	Txn              Txn
	Row              SchemeRow // that it came under
	MaxPosts         int
	Copies           bool
	Came, Due, Until float64
	Surplus          bool
	Posts            []CarriedPost
}

// CarriedPost is one posting of it.
type CarriedPost struct {
	Worker                string
	At, Start             float64
	Begun, Done, Off, Ran bool
}

// Open gives what is known of an open txn.
func (s *Scheduler) Open(ref string) (c Carried, ok bool) {
	t := s.txns[ref]
	if t == nil || t.over {
		return c, false
	}
	c = Carried{t.Txn, *t.row(), t.terms.MaxPosts, t.terms.Copies, t.came, t.due, t.until, t.surplus, nil}
	for _, p := range t.posts {
		c.Posts = append(c.Posts, CarriedPost{p.w.ID, p.at, p.start, p.begun, p.done, p.off, p.ran})
	}
	return c, true
}

// Carry takes an open txn from another process. It keeps the rules it came under.
func (s *Scheduler) Carry(c Carried) {
	terms := *s.terms
	terms.Schemes, terms.MaxPosts, terms.Copies = []SchemeRow{c.Row}, c.MaxPosts, c.Copies
	t := &txn{Txn: c.Txn, terms: &terms, came: c.Came, due: min(c.Due, s.stopAt), until: min(c.Until, s.stopAt),
		surplus: c.Surplus, hash: crc32.ChecksumIEEE([]byte(c.Txn.Key))}
	t.Scheme = 0
	if t.cost = t.Hint * max(t.Slots, 1); t.Hint > 0 {
		s.keepCost(t.cost)
	} else {
		t.cost = s.median()
	}
	s.txns[t.Ref] = t
	for i, x := range c.Posts {
		w := s.byID[x.Worker]
		if w == nil { // the list has dropped it
			w = &worker{Listed: Listed{ID: x.Worker, State: Removed}, free: -1, fullAt: math.Inf(-1), limit: math.MaxInt}
			s.byID[x.Worker] = w
		}
		p := &posting{t: t, w: w, no: i, at: x.At, start: x.Start, begun: x.Begun, done: x.Done, off: x.Off,
			ran: x.Ran}
		t.posts = append(t.posts, p)
		t.ran = t.ran || p.ran
		if p.done {
			continue
		}
		t.out++
		w.own = append(w.own, p)
		s.touch(w)
		if p.begun {
			w.most = max(w.most, len(w.own)-w.unbegun)
			continue
		}
		w.unbegun++
		t.waits++
		at, _ := slices.BinarySearchFunc(s.waits, p.at,
			func(q *posting, x float64) int { return cmp.Compare(q.at, x) })
		s.waits = slices.Insert(s.waits, at, p)
	}
	if t.out == 0 {
		s.hold(t)
	} else if s.thin() {
		s.oldestOut.add(t.came, t)
	}
}
