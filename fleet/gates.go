package fleet

import (
	"fmt"
	"slices"
)

const defaultMinTxns = 50 // on either side, if Gates.MinTxns is 0

// txnComparison compares the txns answered by released and unreleased schedulers since the observation of a wave began.
type txnComparison struct {
	lastCounts map[string]Txns // by scheduler id: the last sample
	totals     map[string]Txns // by scheduler id: the increase since the first sample
}

// addSample takes a sample of a scheduler's counts, which grow since its process started. Counts that are lower than those
// of the last sample come from a new process.
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
	f.totals[id] = Txns{total.Settled + counts.Settled - former.Settled, total.Declined + counts.Declined - former.Declined,
		total.Reversed + counts.Reversed - former.Reversed}
}

// total returns the number of all answered txns.
func (t Txns) total() int { return t.Settled + t.Declined + t.Reversed }

// regression returns in which outcome the released schedulers are worse than the unreleased ones over the same time, by more
// than the operation's gates allow, "" if they aren't or if either side answered too few txns. againstFixedGoodDay is a
// fault that a test injects: it compares with a fixed number of settled txns instead of the unreleased schedulers.
func (f *txnComparison) regression(op *Operation, againstFixedGoodDay bool) string {
	var released, unreleased Txns
	for id, counts := range f.totals {
		sum := &unreleased
		if step, inOperation := op.Steps[id]; inOperation && step.State == StepInService && slices.Contains(op.begunMembers(), id) {
			sum = &released
		}
		sum.Settled, sum.Declined, sum.Reversed = sum.Settled+counts.Settled, sum.Declined+counts.Declined, sum.Reversed+counts.Reversed
	}
	if againstFixedGoodDay {
		unreleased = Txns{Settled: 1000}
	}
	minTxns := op.Gates.MinTxns
	if minTxns == 0 {
		minTxns = defaultMinTxns
	}
	if released.total() < minTxns || unreleased.total() < minTxns {
		return ""
	}
	share := func(counts int, of Txns) float64 { return float64(counts) / float64(of.total()) }
	for _, gate := range []struct {
		name         string
		upper, lower float64 // shares; their difference is by how much the released schedulers are worse
		allowed      float64
	}{
		{"settled", share(unreleased.Settled, unreleased), share(released.Settled, released), op.Gates.Settled},
		{"declined", share(released.Declined, released), share(unreleased.Declined, unreleased), op.Gates.Declined},
		{"reversed", share(released.Reversed, released), share(unreleased.Reversed, unreleased), op.Gates.Reversed},
	} {
		if gate.allowed > 0 && gate.upper-gate.lower > gate.allowed {
			return fmt.Sprintf("gate: %s share is worse by %.2f on released schedulers than on the others (%d and %d txns)", gate.name, gate.upper-gate.lower,
				released.total(), unreleased.total())
		}
	}
	return ""
}
