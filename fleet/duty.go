package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
)

const (
	// An agent that comes back is left alone for so many terms: matters that follow each blink change hands all day.
	handoverDelayTerms = 10
)

// Duty decides which matters one agent claims, and which it passes on. Each zone's matter has an order of agents, the
// zone's own first, that is the same for all who know the same members.
type Duty struct {
	Agent, Owner   string
	TermMs         float64
	Hurry          bool                   // a bug planted by a test of what finds it: it leaves all waiting to the leader
	lastChange     map[string]leaseChange // what was last known of each matter
	preferredSince map[string]float64     // since when an agent that comes before this one has been there
	claimedAt      map[string]float64
}

type leaseChange struct {
	recordNo uint64
	seenAt   float64
}

// NewDuty returns an agent's duties; start tells its starts apart.
func NewDuty(agent, start string, termMs float64) *Duty {
	return &Duty{Agent: agent, Owner: OwnerOf(agent, start), TermMs: termMs, lastChange: map[string]leaseChange{},
		preferredSince: map[string]float64{}, claimedAt: map[string]float64{}}
}

// Zones lists the zones that have work: of workers that are or were out, and of schedulers.
func (r *Record) Zones() []string {
	zones := map[string]bool{}
	for _, intent := range r.Workers {
		zones[intent.Zone] = true
	}
	for _, member := range r.Members {
		if member.Kind != "agent" {
			zones[member.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// task is one that has to have an owner, and what the order of agents goes by.
type neededLease struct{ lease, orderKey string }

// tasks lists the matters that have work: zones, and operations that are not over.
func (r *Record) neededLeases() (all []neededLease) {
	for _, zone := range r.Zones() {
		all = append(all, neededLease{MatterOf(zone), zone})
	}
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		if r.Ops[id].Open() {
			all = append(all, neededLease{OpOf(id), id})
		}
	}
	return all
}

// Order is who should have a zone's matter: agents of the zone first, then by hash.
func AgentOrder(orderKey string, agents []Member) []Member {
	ordered := slices.Clone(agents)
	hash := func(m Member) uint32 { return crc32.ChecksumIEEE([]byte(orderKey + "/" + m.ID)) }
	slices.SortFunc(ordered, func(a, b Member) int {
		if (a.Zone == orderKey) != (b.Zone == orderKey) {
			if a.Zone == orderKey {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// rank is this agent's place among those that are there, -1 where it is no member.
func (d *Duty) rank(orderKey string, r *Record, absent map[string]bool) (rank int, first string) {
	rank = -1
	present := 0
	for _, agent := range AgentOrder(orderKey, r.Of("agent")) {
		if agent.ID != d.Agent && absent[agent.ID] {
			continue
		}
		if present == 0 {
			first = agent.ID
		}
		if agent.ID == d.Agent {
			rank = present
		}
		present++
	}
	return rank, first
}

// NextClaim decides the next matter to claim. absent are the agents that the leader has not heard of lately.
func (d *Duty) NextClaim(now float64, r *Record, absent map[string]bool) (Command, bool) {
	for _, needed := range r.neededLeases() {
		name := needed.lease
		lease := r.Matters[name]
		change, ok := d.lastChange[name]
		if !ok || change.recordNo != lease.Renewed {
			change = leaseChange{lease.Renewed, now}
			d.lastChange[name] = change
		}
		claimedAt, claimed := d.claimedAt[name]
		if lease.Owner == d.Owner || claimed && now < claimedAt+d.TermMs/4 ||
			lease.Owner != "" && now < change.seenAt+leaderTermFraction*lease.TermMs && !d.Hurry { // by far the most: with hundreds of agents an order is dear
			continue
		}
		rank, _ := d.rank(needed.orderKey, r, absent)
		if rank < 0 {
			continue
		}
		waitMs := float64(rank) * d.TermMs / 4
		if lease.Owner != "" {
			waitMs += leaderTermFraction * lease.TermMs
		}
		if d.Hurry {
			waitMs = 0
		}
		switch {
		case lease.Wanted == d.Agent && lease.Owner == "":
			waitMs = 0
		case lease.Wanted != "" && lease.Wanted != d.Agent:
			waitMs += 2 * d.TermMs
		}
		if now < change.seenAt+waitMs {
			continue
		}
		d.claimedAt[name] = now
		return Command{Do: "claim", Matter: name, Owner: d.Owner, Fence: lease.Fence, Renewed: lease.Renewed,
			Term: d.TermMs, By: d.Agent}, true
	}
	return Command{}, false
}

// NextPass decides the next matter of its own that is to go to an agent that comes before this one and has been there
// for long.
func (d *Duty) NextPass(now float64, r *Record, absent map[string]bool) (Command, bool) {
	for _, needed := range r.neededLeases() {
		name := needed.lease
		lease := r.Matters[name]
		_, first := d.rank(needed.orderKey, r, absent)
		if lease.Owner != d.Owner || lease.Wanted != "" || first == d.Agent || first == "" {
			delete(d.preferredSince, name)
			continue
		}
		if _, ok := d.preferredSince[name]; !ok {
			d.preferredSince[name] = now
		}
		if now >= d.preferredSince[name]+handoverDelayTerms*d.TermMs {
			delete(d.preferredSince, name)
			return Command{Do: "want", Matter: name, Owner: first, By: d.Agent, Why: "comes first"}, true
		}
	}
	return Command{}, false
}
