package plan

import "shalebeam/balance"

// The retune fault replaces each scheme by a twin, a scheme of another effect, while the schedulers run. First the
// schedulers get both sets of schemes, then clients use the twins, then the original schemes are removed. The end of
// the fault goes back in the same steps. Times are milliseconds after the beginning, or the end, of the fault.
const (
	RetuneUse  = 1200.0 // clients use the other set of schemes from then on
	RetuneDrop = 2400.0 // the set that clients used before is removed

	// minRetune is the shortest duration of a retune: its end has to begin after the last step of its beginning.
	minRetune = Span(3000)
)

// Phase is the progress of a retune: which schemes the schedulers have.
type Phase int

const (
	First Phase = iota // the original schemes alone
	Both               // the original schemes and their twins
	Twins              // the twins alone
)

// In returns the schemes that schedulers have in a phase, as indexes in Rows. The twins come first, so that a scheme's
// index among the schedulers' schemes changes with the phase.
func (p *Plan) In(phase Phase) (all []int) {
	n := len(p.Schemes)
	if phase != First {
		for i := range n {
			all = append(all, n+i)
		}
	}
	if phase != Twins {
		for i := range n {
			all = append(all, i)
		}
	}
	return all
}

// Rows returns all schemes, followed by their twins.
func (p *Plan) Rows() (rows []balance.SchemeRow) {
	for i := range p.Schemes {
		rows = append(rows, p.Row(i))
	}
	for i := range p.Schemes {
		row := p.Row(i)
		row.Name += "-2"
		if row.Effect = balance.OnceOnly; p.Row(i).Effect == balance.OnceOnly {
			row.Effect = balance.Repeatable
		}
		rows = append(rows, row)
	}
	return rows
}

// TermsIn returns the settings of a scheduler in a phase.
func (p *Plan) TermsIn(me int, seed uint64, phase Phase) balance.Terms {
	t := p.Terms(me, seed)
	rows := p.Rows()
	t.Schemes = nil
	for _, i := range p.In(phase) {
		t.Schemes = append(t.Schemes, rows[i])
	}
	t.MaxPostings = p.PostsIn(phase)
	return t
}

// PostsIn returns how many postings a txn may have that arrives in a phase: one less while twins exist, but
// at least one.
func (p *Plan) PostsIn(phase Phase) int {
	if phase == First {
		return p.Schedulers.MaxPosts
	}
	return max(p.Schedulers.MaxPosts-1, 1)
}
