package plan

import "shalebeam/balance"

// The retune fault replaces each scheme by a twin, a scheme of another effect, while the schedulers run. First the
// schedulers get both sets of schemes, then clients use the twins, then the original schemes are removed. The end of
// the fault goes back in the same steps. Times are milliseconds after the beginning, or the end, of the fault.
const (
	RetuneSwitchMs = 1200.0 // clients use the other set of schemes from then on
	RetuneDropMs   = 2400.0 // the set that clients used before is removed

	// minRetune is the shortest duration of a retune: its end has to begin after the last step of its beginning.
	minRetune = Span(3000)
)

// RetunePhase is the progress of a retune: which schemes the schedulers have.
type RetunePhase int

const (
	PhaseOriginal RetunePhase = iota // the original schemes alone
	PhaseBoth                        // the original schemes and their twins
	PhaseTwins                       // the twins alone
)

// SchemesIn returns the schemes that schedulers have in a phase, as indexes in AllSchemeRows. The twins come first, so that
// a scheme's index among the schedulers' schemes changes with the phase.
func (p *Plan) SchemesIn(phase RetunePhase) (all []int) {
	n := len(p.Schemes)
	if phase != PhaseOriginal {
		for i := range n {
			all = append(all, n+i)
		}
	}
	if phase != PhaseTwins {
		for i := range n {
			all = append(all, i)
		}
	}
	return all
}

// AllSchemeRows returns all schemes, followed by their twins.
func (p *Plan) AllSchemeRows() (rows []balance.SchemeRow) {
	for i := range p.Schemes {
		rows = append(rows, p.SchemeRow(i))
	}
	for i := range p.Schemes {
		row := p.SchemeRow(i)
		row.Name += "-2"
		if row.Effect = balance.OnceOnly; p.SchemeRow(i).Effect == balance.OnceOnly {
			row.Effect = balance.Repeatable
		}
		rows = append(rows, row)
	}
	return rows
}

// TermsIn returns the settings of a scheduler in a phase.
func (p *Plan) TermsIn(me int, seed uint64, phase RetunePhase) balance.Terms {
	t := p.Terms(me, seed)
	rows := p.AllSchemeRows()
	t.Schemes = nil
	for _, i := range p.SchemesIn(phase) {
		t.Schemes = append(t.Schemes, rows[i])
	}
	t.MaxPostings = p.MaxPostingsIn(phase)
	return t
}

// MaxPostingsIn returns how many postings a txn may have that arrives in a phase: one less while twins exist, but
// at least one.
func (p *Plan) MaxPostingsIn(phase RetunePhase) int {
	if phase == PhaseOriginal {
		return p.Schedulers.MaxPosts
	}
	return max(p.Schedulers.MaxPosts-1, 1)
}
