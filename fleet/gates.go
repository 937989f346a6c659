package fleet

import (
	"fmt"
	"slices"
)

const txnsLeast = 50 // on either side, where the file names no number

// figures are what schedulers answered since a wave is watched.
type figures struct {
	last, sum map[string]Txns
}

// add takes a scheduler's count. One that is below the last is of a new process.
func (f *figures) add(id string, n Txns) {
	if f.last == nil {
		f.last, f.sum = map[string]Txns{}, map[string]Txns{}
	}
	was, known := f.last[id]
	if f.last[id] = n; !known {
		return
	}
	if n.Settled < was.Settled || n.Declined < was.Declined || n.Reversed < was.Reversed {
		was = Txns{}
	}
	s := f.sum[id]
	f.sum[id] = Txns{s.Settled + n.Settled - was.Settled, s.Declined + n.Declined - was.Declined, s.Reversed + n.Reversed - was.Reversed}
}

func (t Txns) all() int { return t.Settled + t.Declined + t.Reversed }

// worse tells in what the released part is worse than the part that is not, in the same minutes; "" where it is not, or
// where too little was answered on either side. With yesterday, a bug that a test plants, it is held against a good day.
func (f *figures) worse(op *Op, yesterday bool) string {
	var with, without Txns
	for id, n := range f.sum {
		sum := &without
		if s, in := op.Steps[id]; in && s.At == In && slices.Contains(op.now(), id) {
			sum = &with
		}
		sum.Settled, sum.Declined, sum.Reversed = sum.Settled+n.Settled, sum.Declined+n.Declined, sum.Reversed+n.Reversed
	}
	if yesterday {
		without = Txns{Settled: 1000}
	}
	least := op.Gates.Txns
	if least == 0 {
		least = txnsLeast
	}
	if with.all() < least || without.all() < least {
		return ""
	}
	part := func(n int, of Txns) float64 { return float64(n) / float64(of.all()) }
	for _, g := range []struct {
		name      string
		with, out float64 // how much worse
		may       float64
	}{
		{"settled", part(without.Settled, without), part(with.Settled, with), op.Gates.Settled},
		{"declined", part(with.Declined, with), part(without.Declined, without), op.Gates.Declined},
		{"reversed", part(with.Reversed, with), part(without.Reversed, without), op.Gates.Reversed},
	} {
		if g.may > 0 && g.with-g.out > g.may {
			return fmt.Sprintf("gate: %s share is worse by %.2f than where it is not released (%d and %d txns)", g.name, g.with-g.out,
				with.all(), without.all())
		}
	}
	return ""
}
