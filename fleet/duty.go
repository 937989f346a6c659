package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
)

const (
	// An agent that comes back is left alone for so many terms: matters that follow each blink change hands all day.
	calmTerms = 10
)

// Duty decides which matters one agent claims, and which it passes on. Each zone's matter has an order of agents, the
// zone's own first, that is the same for all who know the same members.
type Duty struct {
	Agent, Owner string
	Term         float64
	Hurry        bool               // a bug planted by a test of what finds it: it leaves all waiting to the leader
	seenAt       map[string]mark    // what was last known of each matter
	better       map[string]float64 // since when an agent that comes before this one has been there
	asked        map[string]float64
}

type mark struct {
	renewed uint64
	at      float64
}

// NewDuty returns an agent's duties; start tells its starts apart.
func NewDuty(agent, start string, term float64) *Duty {
	return &Duty{Agent: agent, Owner: OwnerOf(agent, start), Term: term, seenAt: map[string]mark{},
		better: map[string]float64{}, asked: map[string]float64{}}
}

// Zones lists the zones that have work: of workers that are or were out, and of schedulers.
func (r *Record) Zones() []string {
	zones := map[string]bool{}
	for _, w := range r.Workers {
		zones[w.Zone] = true
	}
	for _, m := range r.Members {
		if m.Kind != "agent" {
			zones[m.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// task is one that has to have an owner, and what the order of agents goes by.
type task struct{ matter, key string }

// tasks lists the matters that have work: zones, and operations that are not over.
func (r *Record) tasks() (all []task) {
	for _, zone := range r.Zones() {
		all = append(all, task{MatterOf(zone), zone})
	}
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		if r.Ops[id].Open() {
			all = append(all, task{OpOf(id), id})
		}
	}
	return all
}

// Order is who should have a zone's matter: agents of the zone first, then by hash.
func Order(zone string, agents []Member) []Member {
	out := slices.Clone(agents)
	draw := func(m Member) uint32 { return crc32.ChecksumIEEE([]byte(zone + "/" + m.ID)) }
	slices.SortFunc(out, func(a, b Member) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(draw(a), draw(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// rank is this agent's place among those that are there, -1 where it is no member.
func (d *Duty) rank(zone string, r *Record, absent map[string]bool) (rank int, first string) {
	rank = -1
	n := 0
	for _, m := range Order(zone, r.Of("agent")) {
		if m.ID != d.Agent && absent[m.ID] {
			continue
		}
		if n == 0 {
			first = m.ID
		}
		if m.ID == d.Agent {
			rank = n
		}
		n++
	}
	return rank, first
}

// NextClaim decides the next matter to claim. absent are the agents that the leader has not heard of lately.
func (d *Duty) NextClaim(now float64, r *Record, absent map[string]bool) (Command, bool) {
	for _, t := range r.tasks() {
		name := t.matter
		m := r.Matters[name]
		was, ok := d.seenAt[name]
		if !ok || was.renewed != m.Renewed {
			was = mark{m.Renewed, now}
			d.seenAt[name] = was
		}
		asked, again := d.asked[name]
		if m.Owner == d.Owner || again && now < asked+d.Term/4 ||
			m.Owner != "" && now < was.at+leaderPart*m.Term && !d.Hurry { // by far the most: with hundreds of agents an order is dear
			continue
		}
		rank, _ := d.rank(t.key, r, absent)
		if rank < 0 {
			continue
		}
		wait := float64(rank) * d.Term / 4
		if m.Owner != "" {
			wait += leaderPart * m.Term
		}
		if d.Hurry {
			wait = 0
		}
		switch {
		case m.Wanted == d.Agent && m.Owner == "":
			wait = 0
		case m.Wanted != "" && m.Wanted != d.Agent:
			wait += 2 * d.Term
		}
		if now < was.at+wait {
			continue
		}
		d.asked[name] = now
		return Command{Do: "claim", Matter: name, Owner: d.Owner, Fence: m.Fence, Renewed: m.Renewed,
			Term: d.Term, By: d.Agent}, true
	}
	return Command{}, false
}

// NextPass decides the next matter of its own that is to go to an agent that comes before this one and has been there
// for long.
func (d *Duty) NextPass(now float64, r *Record, absent map[string]bool) (Command, bool) {
	for _, t := range r.tasks() {
		name := t.matter
		m := r.Matters[name]
		_, first := d.rank(t.key, r, absent)
		if m.Owner != d.Owner || m.Wanted != "" || first == d.Agent || first == "" {
			delete(d.better, name)
			continue
		}
		if _, ok := d.better[name]; !ok {
			d.better[name] = now
		}
		if now >= d.better[name]+calmTerms*d.Term {
			delete(d.better, name)
			return Command{Do: "want", Matter: name, Owner: first, By: d.Agent, Why: "comes first"}, true
		}
	}
	return Command{}, false
}
