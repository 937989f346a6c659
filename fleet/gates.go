package fleet

import (
	"fmt"
	"slices"
)

const defaultMinTxns = 50 // on either side, where the file names no number

// figures are what schedulers answered since a wave is watched.
type txnComparison struct {
	lastCounts, totals map[string]Txns
}

// add takes a scheduler's count. One that is below the last is of a new process.
func (f *txnComparison) addSample(id string, counts Txns) {
	if f.lastCounts == nil {
		f.lastCounts, f.totals = map[string]Txns{}, map[string]Txns{}
	}
	former, known := f.lastCounts[id]
	if f.lastCounts[id] = counts; !known {
		return
	}
	if counts.Settled < former.Settled || counts.Declined < former.Declined || counts.Reversed < former.Reversed {
		former = Txns{}
	}
	total := f.totals[id]
	f.totals[id] = Txns{total.Settled + counts.Settled - former.Settled, total.Declined + counts.Declined - former.Declined, total.Reversed + counts.Reversed - former.Reversed}
}

func (t Txns) total() int { return t.Settled + t.Declined + t.Reversed }

// worse tells in what the released part is worse than the part that is not, in the same minutes; "" where it is not, or
// where too little was answered on either side. With yesterday, a bug that a test plants, it is held against a good day.
func (f *txnComparison) regression(op *Op, againstFixedGoodDay bool) string {
	var released, unreleased Txns
	for id, counts := range f.totals {
		sum := &unreleased
		if step, inOperation := op.Steps[id]; inOperation && step.At == StepInService && slices.Contains(op.begunMembers(), id) {
			sum = &released
		}
		sum.Settled, sum.Declined, sum.Reversed = sum.Settled+counts.Settled, sum.Declined+counts.Declined, sum.Reversed+counts.Reversed
	}
	if againstFixedGoodDay {
		unreleased = Txns{Settled: 1000}
	}
	minTxns := op.Gates.Txns
	if minTxns == 0 {
		minTxns = defaultMinTxns
	}
	if released.total() < minTxns || unreleased.total() < minTxns {
		return ""
	}
	share := func(counts int, of Txns) float64 { return float64(counts) / float64(of.total()) }
	for _, gate := range []struct {
		name          string
		released, out float64 // how much worse
		may           float64
	}{
		{"settled", share(unreleased.Settled, unreleased), share(released.Settled, released), op.Gates.Settled},
		{"declined", share(released.Declined, released), share(unreleased.Declined, unreleased), op.Gates.Declined},
		{"reversed", share(released.Reversed, released), share(unreleased.Reversed, unreleased), op.Gates.Reversed},
	} {
		if gate.may > 0 && gate.released-gate.out > gate.may {
			return fmt.Sprintf("gate: %s share is worse by %.2f than where it is not released (%d and %d txns)", gate.name, gate.released-gate.out,
				released.total(), unreleased.total())
		}
	}
	return ""
}
