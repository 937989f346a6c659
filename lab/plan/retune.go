package plan

import "shalebeam/balance"

// A retune gives each scheme a twin, with another effect, in three steps: both are there, clients use the twins, the
// first ones are dropped. At its end it goes back in the same steps.
const (
	RetuneUse  = 1200.0 // clients use the others from then on
	RetuneDrop = 2400.0 // those that they used before are dropped
	RetuneFor  = Span(3000)
)

// Phase is how far a retune has come: the schemes that schedulers have.
type Phase int

const (
	First Phase = iota
	Both
	Twins
)

// Schemes are those that schedulers have in a phase, as places among Rows. Twins come first, so that places change.
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

// Rows are all schemes, and behind them their twins.
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

// TermsIn are the terms in a phase.
func (p *Plan) TermsIn(me int, seed uint64, phase Phase) balance.Terms {
	t := p.Terms(me, seed)
	rows := p.Rows()
	t.Schemes = nil
	for _, i := range p.In(phase) {
		t.Schemes = append(t.Schemes, rows[i])
	}
	t.MaxPosts = p.PostsIn(phase)
	return t
}

// PostsIn is how many postings a txn has that comes in a phase.
func (p *Plan) PostsIn(phase Phase) int {
	if phase == First {
		return p.Schedulers.MaxPosts
	}
	return max(p.Schedulers.MaxPosts-1, 1)
}
