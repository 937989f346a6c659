package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalebeam/balance"
)

// A planted bug wraps a decider and makes it wrong in one way, always or some of the time. Tests check that the auditor
// reports each of them: an auditor that has never found a fault proves nothing about the clean build.

// Bug is a fault that New can plant in a decider.
type Bug struct {
	Name, Rule string // Rule is the rule that the auditor reports as broken
	wrap       func(base) Decider
}

// base is what each wrapper embeds: the decider that it wraps, and its terms.
type base struct {
	Decider
	terms balance.Terms
}

// Bugs lists all faults that can be planted.
var Bugs = []Bug{
	{"loses", "lost", func(b base) Decider { return &losesTxns{base: b} }},
	{"answers-twice", "two answers", func(b base) Decider { return &answersTwice{base: b} }},
	{"repeats-once-only", "repeated", func(b base) Decider {
		return &reportsNeverRan{b, balance.OnceOnly, map[string]bool{}}
	}},
	{"repeats-out-of-window", "out of group", func(b base) Decider {
		return &reportsNeverRan{b, balance.Referenced, map[string]bool{}}
	}},
	{"repeats-out-of-group", "out of group", func(b base) Decider {
		return &altersList{b, func(r *balance.Listed) { r.Cell, r.Zone = 0, 0 }}
	}},
	{"ignores-drains", "drain", func(b base) Decider {
		return &altersList{b, func(r *balance.Listed) {
			if r.State == balance.Draining {
				r.State = balance.Running
			}
		}}
	}},
	{"floods-cold", "flooded", func(b base) Decider {
		return &altersList{b, func(r *balance.Listed) { r.Start = 0 }}
	}},
	{"declines-all", "declined", func(b base) Decider { return &declinesAll{b} }},
	{"holds-given-up", "held back", func(b base) Decider { return &holdsAnswers{base: b} }},
	{"ignores-staff", "drain", func(b base) Decider { return &ignoresStaff{b} }},
	{"late-notice", "drain", func(b base) Decider { return &reliesTooLong{b} }},
	{"asks-late", "drain", func(b base) Decider { return &asksLate{base: b} }},
	{"skips-last-check", "drain", func(b base) Decider { return &skipsLastCheck{b} }},
	{"forgets-removals", "drain", func(b base) Decider { return &ignoresRemovals{b} }},
	{"new-rules-for-open", "repeated", func(b base) Decider { return &appliesNewRules{base: b, schemes: map[string]int{}} }},
	{"posts-after", "sent after", func(b base) Decider { return &postsAfterSettled{base: b} }},
}

// wrapWithBug wraps a decider in the bug of that name.
func wrapWithBug(name string, d Decider, terms balance.Terms) (Decider, error) {
	var names []string
	for _, b := range Bugs {
		if b.Name == name {
			return b.wrap(base{d, terms}), nil
		}
		names = append(names, b.Name)
	}
	return nil, fmt.Errorf("bug %q is not one of %s", name, strings.Join(names, ", "))
}

// losesTxns drops every fiftieth txn.
type losesTxns struct {
	base
	arrived int
}

func (b *losesTxns) Arrived(now float64, x balance.Txn) {
	if b.arrived++; b.arrived%50 != 0 {
		b.Decider.Arrived(now, x)
	}
}

// answersTwice gives each of the decider's final answers twice.
type answersTwice struct {
	base
	repeats []balance.Final
}

func (b *answersTwice) NextFinal(now float64) (balance.Final, bool) {
	if len(b.repeats) > 0 {
		f := b.repeats[0]
		b.repeats = b.repeats[1:]
		return f, true
	}
	f, ok := b.Decider.NextFinal(now)
	if ok {
		b.repeats = append(b.repeats, f)
	}
	return f, ok
}

// reportsNeverRan tells the decider that postings of schemes with one effect never ran, though they may have.
type reportsNeverRan struct {
	base
	effect balance.RepeatEffect
	refs   map[string]bool
}

func (b *reportsNeverRan) Arrived(now float64, x balance.Txn) {
	if b.terms.Schemes[x.Scheme].Effect == b.effect {
		b.refs[x.Ref] = true
	}
	b.Decider.Arrived(now, x)
}

func (b *reportsNeverRan) Ended(now float64, ref string, no int, how balance.Outcome, closed bool, load balance.Load) {
	if b.refs[ref] && !closed && how != balance.Done {
		how = balance.NoConnect
	}
	b.Decider.Ended(now, ref, no, how, closed, load)
}

// altersList alters the list of workers that the decider gets.
type altersList struct {
	base
	alter func(*balance.Listed)
}

func (b *altersList) ListChanged(now float64, whole bool, rows []balance.Listed) {
	rows = slices.Clone(rows)
	for i := range rows {
		b.alter(&rows[i])
	}
	b.Decider.ListChanged(now, whole, rows)
}

// declinesAll turns every final answer into a decline.
type declinesAll struct{ base }

func (b *declinesAll) NextFinal(now float64) (balance.Final, bool) {
	f, ok := b.Decider.NextFinal(now)
	f.Declined = true
	return f, ok
}

// holdsAnswers delays the answers of txns that were given up by 400 ms, which would make their clients retry less often.
type holdsAnswers struct {
	base
	held  []balance.Final
	dueAt []float64
}

func (b *holdsAnswers) NextFinal(now float64) (balance.Final, bool) {
	for f, ok := b.Decider.NextFinal(now); ok; f, ok = b.Decider.NextFinal(now) {
		b.held, b.dueAt = append(b.held, f), append(b.dueAt, now+400)
	}
	if len(b.held) == 0 || now < b.dueAt[0] {
		return balance.Final{}, false
	}
	f := b.held[0]
	b.held, b.dueAt = b.held[1:], b.dueAt[1:]
	return f, true
}

func (b *holdsAnswers) Wake(now float64) float64 {
	if len(b.dueAt) > 0 {
		return max(min(b.dueAt[0], b.Decider.Wake(now)), now+b.terms.Tick)
	}
	return b.Decider.Wake(now)
}

// postsAfterSettled posts about one in ten settled txns once more. That many are needed because the host has forgotten
// most of them by then, and sends nothing for those.
type postsAfterSettled struct {
	base
	workers map[string]string
	extra   balance.Post
	ended   int
}

func (b *postsAfterSettled) NextPosting(now float64) (balance.Post, bool) {
	if b.extra.Ref != "" {
		p := b.extra
		b.extra = balance.Post{}
		return p, true
	}
	p, ok := b.Decider.NextPosting(now)
	if ok {
		if b.workers == nil {
			b.workers = map[string]string{}
		}
		b.workers[p.Ref] = p.Worker
	}
	return p, ok
}

func (b *postsAfterSettled) Ended(now float64, ref string, no int, how balance.Outcome, closed bool, load balance.Load) {
	b.Decider.Ended(now, ref, no, how, closed, load)
	if b.ended++; how == balance.Done && b.ended%10 == 0 {
		b.extra = balance.Post{Ref: ref, Worker: b.workers[ref]}
	}
}

// ignoresStaff keeps workers in service that staff took out.
type ignoresStaff struct{ base }

func (*ignoresStaff) Withdrawn(float64, string) {}

// appliesNewRules applies changed settings to open txns too. Because a retune changes the places of the schemes, such a
// txn is then handled by the rules of its scheme's twin.
type appliesNewRules struct {
	base
	schemes map[string]int
}

func (b *appliesNewRules) Arrived(now float64, x balance.Txn) {
	b.schemes[x.Ref] = x.Scheme
	b.Decider.Arrived(now, x)
}

func (b *appliesNewRules) Retune(terms balance.Terms) {
	b.Decider.Retune(terms)
	scheduler, ok := b.Decider.(*balance.Scheduler)
	if !ok {
		return
	}
	for _, ref := range slices.Sorted(maps.Keys(b.schemes)) {
		if c, ok := scheduler.ExportTxn(ref); ok && b.schemes[ref] < len(terms.Schemes) {
			c.Scheme = terms.Schemes[b.schemes[ref]]
			scheduler.ImportTxn(c)
		}
	}
}

// reliesTooLong relies on its list 2 s longer than it may.
type reliesTooLong struct{ base }

func (b *reliesTooLong) SetListValidUntil(until float64) { b.Decider.SetListValidUntil(until + 2000) }

// asksLate waits before it asks for a new watch, for up to the time that a round of calls by all schedulers may take, and
// relies on its list meanwhile.
type asksLate struct {
	base
	nextAskAt float64
}

func (*asksLate) SetListValidUntil(float64) {}

func (b *asksLate) WatchAnswered(now float64, ok bool) {
	if b.Decider.WatchAnswered(now, ok); !ok {
		b.nextAskAt = now + 0.8*b.terms.ListPollIntervalMs
	}
}

func (b *asksLate) NextWatch(now float64) bool { return now >= b.nextAskAt && b.Decider.NextWatch(now) }

func (b *asksLate) Wake(now float64) float64 {
	return max(b.Decider.Wake(now), min(b.nextAskAt, now+100))
}

// skipsLastCheck makes its host skip the check, right before a posting is sent, that its worker may still be used.
type skipsLastCheck struct{ base }

// SkipsLastCheck marks the decider for its host.
func (*skipsLastCheck) SkipsLastCheck() {}

// ignoresRemovals keeps workers in service that a list removes or no longer names.
type ignoresRemovals struct{ base }

func (b *ignoresRemovals) ListChanged(now float64, _ bool, rows []balance.Listed) {
	b.Decider.ListChanged(now, false, slices.DeleteFunc(slices.Clone(rows),
		func(r balance.Listed) bool { return r.State == balance.Removed }))
}
