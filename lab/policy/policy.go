// Package policy is what decides in an experiment: the shipped module, or a plain baseline to measure it
// against, behind the edge that the module has towards its hosts.
package policy

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strings"

	"shalebeam/balance"
)

// Decider is that edge; *balance.Scheduler is one. See package balance for what each call means.
type Decider interface {
	ListChanged(now float64, whole bool, rows []balance.Listed)
	Watched(now float64, ok bool)
	Relies(till float64)
	Arrived(now float64, x balance.Txn)
	Started(now float64, ref string, no int)
	Ended(now float64, ref string, no int, how balance.Outcome, closed bool, load balance.Load)
	Probed(now float64, id string, how balance.Outcome, load balance.Load)
	Heard(now float64, from int, body []byte)
	Gone(now float64, ref string)
	Stops(by float64)
	Withdrawn(now float64, id string)
	Returned(now float64, id string)
	Retune(terms balance.Terms)
	NextFinal(now float64) (balance.Final, bool)
	NextCancel(now float64) (balance.Cancel, bool)
	NextPosting(now float64) (balance.Post, bool)
	NextProbe(now float64) (string, bool)
	NextMessage(now float64) ([]byte, bool)
	NextWatch(now float64) bool
	Wake(now float64) float64
}

// Truth shows a worker as it really is, for the one baseline that sees all: work ahead in slot milliseconds,
// and what it carries out of that a millisecond.
type Truth func(worker string) (ahead, pace float64)

// Names are the policies by name, the shipped module first.
func Names() []string { return []string{"adus", "random", "least", "two", "sees-all"} }

// New makes a decider by name, with ":BUG" behind it to plant one (see Bugs).
func New(name string, terms balance.Terms, truth Truth) (Decider, error) {
	name, bug, planted := strings.Cut(name, ":")
	var d Decider
	switch name {
	case "adus":
		d = balance.New(terms)
	case "random", "least", "two", "sees-all":
		d = newPlain(name, terms, truth)
	default:
		return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(Names(), ", "))
	}
	if planted {
		return plant(bug, d, terms)
	}
	return d, nil
}

// plain is what the baselines share: they post each txn at once, again only where that is harmless, keep the
// same rules, and differ in how they pick a worker. A cold worker is taken for as much smaller as it is young,
// which is the usual slow start.
type plain struct {
	name  string
	terms balance.Terms
	truth Truth
	draws uint32
	byID  map[string]*box
	list  []*box
	txns  map[string]*owed
	wait  []*owed
	calls bool
	askAt float64
	till  float64
	stop  float64
	out   map[string]bool // workers that staff took out
}

type box struct {
	balance.Listed
	out  int
	bad  float64 // left alone until
	here bool
}

type owed struct {
	balance.Txn
	row    balance.SchemeRow // that it came under
	most   int
	until  float64
	posts  []try
	nextAt float64
	out    int
	over   bool
	ran    bool
}

type try struct {
	to   *box
	at   float64
	done bool
	ran  bool
}

func newPlain(name string, terms balance.Terms, truth Truth) *plain {
	return &plain{name: name, terms: terms, truth: truth, byID: map[string]*box{}, txns: map[string]*owed{}, out: map[string]bool{},
		stop: math.Inf(1), till: math.Inf(1)}
}

func (p *plain) chance() float64 {
	p.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d", p.terms.Seed, p.draws))) / (1 << 32)
}

func (p *plain) ListChanged(now float64, whole bool, rows []balance.Listed) {
	if whole {
		for _, b := range p.list {
			b.here = false
		}
		p.list = nil
	}
	for _, r := range rows {
		b := p.byID[r.ID]
		if b == nil {
			b = &box{}
			p.byID[r.ID] = b
		}
		if r.State != balance.Removed && !b.here {
			p.list = append(p.list, b)
		}
		b.Listed, b.here = r, r.State != balance.Removed
	}
	p.list = slices.DeleteFunc(p.list, func(b *box) bool { return !b.here })
}

func (p *plain) Relies(till float64) { p.till = till }

func (p *plain) Watched(now float64, ok bool) {
	p.calls = ok
	if !ok {
		p.askAt = now + 500 + 500*p.chance()
	}
}

func (p *plain) Arrived(now float64, x balance.Txn) {
	t := &owed{Txn: x, row: p.terms.Schemes[x.Scheme], most: p.terms.MaxPosts, until: min(now+x.Left, p.stop)}
	p.txns[x.Ref] = t
	p.wait = append(p.wait, t)
}

func (p *plain) Started(float64, string, int) {}

func (p *plain) Ended(now float64, ref string, no int, how balance.Outcome, closed bool, _ balance.Load) {
	t := p.txns[ref]
	if t == nil || no >= len(t.posts) || t.posts[no].done {
		return
	}
	x := &t.posts[no]
	x.done, x.ran = true, !how.NeverRan()
	x.to.out--
	t.out--
	t.ran = t.ran || x.ran && how != balance.Done
	if how == balance.NoConnect || how == balance.Reset {
		x.to.bad = now + 1000
	}
	t.over = t.over || closed || how == balance.Done
	if t.over {
		p.drop(t)
	} else if t.out == 0 {
		t.nextAt = now + float64(len(t.posts))*10*p.terms.Tick
		p.wait = append(p.wait, t)
	}
}

func (p *plain) drop(t *owed) {
	p.wait = slices.DeleteFunc(p.wait, func(o *owed) bool { return o == t })
	if t.out == 0 {
		delete(p.txns, t.Ref)
	}
}

func (p *plain) Probed(float64, string, balance.Outcome, balance.Load) {}
func (p *plain) Heard(float64, int, []byte)                            {}

func (p *plain) Gone(_ float64, ref string) {
	if t := p.txns[ref]; t != nil {
		t.over = true
		p.drop(t)
	}
}

func (p *plain) Stops(by float64) {
	p.stop = by
	for _, t := range p.txns {
		t.until = min(t.until, by)
	}
}

func (p *plain) Withdrawn(_ float64, id string) { p.out[id] = true }
func (p *plain) Returned(_ float64, id string)  { delete(p.out, id) }

// Retune is taken for new txns alone, as the module does.
func (p *plain) Retune(terms balance.Terms) { p.terms = terms }

func (p *plain) NextFinal(now float64) (balance.Final, bool) {
	for _, t := range p.wait {
		row := &t.row
		stuck := len(t.posts) >= t.most || t.ran && row.Effect == balance.OnceOnly
		if !stuck && now < t.until-2*p.terms.Tick {
			continue
		}
		t.over = true
		p.drop(t)
		return balance.Final{Ref: t.Ref, Declined: !t.ran || row.Effect == balance.Repeatable ||
			row.Effect == balance.Referenced && row.Group == balance.GroupAll}, true
	}
	return balance.Final{}, false
}

func (p *plain) NextCancel(float64) (balance.Cancel, bool) { return balance.Cancel{}, false }

func (p *plain) NextPosting(now float64) (balance.Post, bool) {
	for _, t := range p.wait {
		if now >= p.till || now < t.nextAt || len(t.posts) >= t.most {
			continue
		}
		b := p.pick(now, t)
		if b == nil {
			t.nextAt = now + 10*p.terms.Tick
			continue
		}
		t.posts = append(t.posts, try{to: b, at: now})
		t.out++
		b.out++
		p.wait = slices.DeleteFunc(p.wait, func(o *owed) bool { return o == t })
		return balance.Post{Ref: t.Ref, Worker: b.ID, By: math.Inf(1)}, true
	}
	return balance.Post{}, false
}

// may keeps the rules, and draws a cold worker only as often as it is warm.
func (p *plain) may(now float64, t *owed, b *box) bool {
	row := &t.row
	if b.State != balance.Running || p.out[b.ID] || now < b.bad || !row.Open(b.Zone, b.Kind) {
		return false
	}
	for _, x := range t.posts {
		if !x.ran || row.Effect == balance.Repeatable {
			continue
		}
		if row.Effect == balance.OnceOnly || now-x.at >= row.Window ||
			row.Group == balance.GroupZone && x.to.Zone != b.Zone ||
			row.Group == balance.GroupCell && x.to.Cell != b.Cell {
			return false
		}
	}
	if age := now - b.Start; b.Start > 0 && age < p.terms.ColdFor {
		return p.chance() < 0.5*(p.terms.ColdFrom+(1-p.terms.ColdFrom)*max(age, 0)/p.terms.ColdFor)
	}
	return true
}

func (p *plain) pick(now float64, t *owed) *box {
	if p.name == "random" || p.name == "two" {
		var got []*box
		for tries := 0; tries < 20+len(p.list) && len(p.list) > 0; tries++ {
			b := p.list[int(p.chance()*float64(len(p.list)))]
			if !p.may(now, t, b) {
				continue
			}
			if got = append(got, b); p.name == "random" || len(got) == 2 {
				break
			}
		}
		if len(got) == 0 {
			return nil
		}
		return slices.MinFunc(got, func(a, b *box) int { return cmp.Compare(a.out, b.out) })
	}
	var best *box
	least, tie := 0.0, 0.0
	for _, b := range p.list {
		x := float64(b.out)
		if p.name == "sees-all" {
			ahead, pace := p.truth(b.ID)
			if pace <= 0 {
				continue
			}
			x = ahead / pace
		}
		if best != nil && x > least {
			continue
		}
		if c := p.chance(); (best == nil || x < least || c < tie) && p.may(now, t, b) {
			best, least, tie = b, x, c
		}
	}
	return best
}

func (p *plain) NextProbe(float64) (string, bool)   { return "", false }
func (p *plain) NextMessage(float64) ([]byte, bool) { return nil, false }

func (p *plain) NextWatch(now float64) bool {
	if !p.terms.MustAsk || p.calls || now < p.askAt {
		return false
	}
	p.askAt = now + p.terms.AskIn
	return true
}

func (p *plain) Wake(now float64) float64 {
	at := math.Inf(1)
	if p.terms.MustAsk && !p.calls {
		at = p.askAt
	}
	for _, t := range p.wait {
		at = min(at, t.until-2*p.terms.Tick)
		if len(t.posts) < t.most {
			at = min(at, t.nextAt)
		}
	}
	return max(at, now+p.terms.Tick)
}
