package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
)

const (
	// handoverDelayTerms is for how many terms an agent must have been present before a lease is handed over to it. Leases
	// that followed each short absence would change owners all the time.
	handoverDelayTerms = 10
)

// LeaseClaimer decides which leases one agent claims and which it hands over. Each lease has an order of preference of the
// agents, which is the same at all agents that know the same members. In that of a zone's lease the agents of the zone come
// first.
type LeaseClaimer struct {
	Agent, Owner        string // the agent's id, and the owner name of its current start
	TermMs              float64
	ClaimWithoutWaiting bool                   // a fault that a test injects: the agent claims leases without waiting for the end of a term
	lastChange          map[string]leaseChange // by lease name
	preferredSince      map[string]float64     // by lease name: since when a more preferred agent has been present
	claimedAt           map[string]float64     // by lease name: when a claim was last sent
}

// leaseChange is the last change of a lease that the agent has seen.
type leaseChange struct {
	recordNo uint64 // Lease.Renewed
	seenAt   float64
}

// NewLeaseClaimer returns the LeaseClaimer of one start of an agent; start is the name of that start.
func NewLeaseClaimer(agent, start string, termMs float64) *LeaseClaimer {
	return &LeaseClaimer{Agent: agent, Owner: OwnerName(agent, start), TermMs: termMs, lastChange: map[string]leaseChange{},
		preferredSince: map[string]float64{}, claimedAt: map[string]float64{}}
}

// ZonesWithWork lists the zones whose leases have to have an owner: those of all workers with an intent, and of all
// schedulers and workers on record.
func (r *Record) ZonesWithWork() []string {
	zones := map[string]bool{}
	for _, intent := range r.Intents {
		zones[intent.Zone] = true
	}
	for _, member := range r.Members {
		if member.Kind != "agent" {
			zones[member.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// neededLease is a lease that has to have an owner. The agents' order of preference is derived from orderKey: a zone, or an
// operation's id.
type neededLease struct{ lease, orderKey string }

// neededLeases lists the leases of all zones with work and of all open operations.
func (r *Record) neededLeases() (all []neededLease) {
	for _, zone := range r.ZonesWithWork() {
		all = append(all, neededLease{ZoneLease(zone), zone})
	}
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		if r.Ops[id].Open() {
			all = append(all, neededLease{OperationLease(id), id})
		}
	}
	return all
}

// AgentOrder returns the agents by preference for a lease: first those whose zone is the order key, then the others, each
// group by a hash of key and id, which spreads the leases over the agents.
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

// rank returns this agent's rank among the agents that are present, from 0, or -1 if it isn't on record, and the id of the
// most preferred agent that is present.
func (d *LeaseClaimer) rank(orderKey string, r *Record, absent map[string]bool) (rank int, first string) {
	rank = -1
	present := 0
	for _, agent := range AgentOrder(orderKey, r.MembersOfKind("agent")) {
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

// NextClaim returns the next claim to send, if any. absent has the agents from which the leader has not heard lately. An
// agent of rank n waits for n quarters of a term longer than the most preferred one, so that claims don't collide.
func (d *LeaseClaimer) NextClaim(now float64, r *Record, absent map[string]bool) (Command, bool) {
	allNeeded := r.neededLeases()
	d.forgetOthers(allNeeded)
	for _, needed := range allNeeded {
		name := needed.lease
		lease := r.Leases[name]
		change, ok := d.lastChange[name]
		if !ok || change.recordNo != lease.Renewed {
			change = leaseChange{lease.Renewed, now}
			d.lastChange[name] = change
		}
		claimedAt, claimed := d.claimedAt[name]
		if lease.Owner == d.Owner || claimed && now < claimedAt+d.TermMs/4 ||
			lease.Owner != "" && now < change.seenAt+leaderTermFraction*lease.TermMs && !d.ClaimWithoutWaiting {
			// Most leases end here. The order below is only computed for the others, as with hundreds of agents it is expensive.
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
		if d.ClaimWithoutWaiting {
			waitMs = 0
		}
		switch {
		case lease.HandoverTo == d.Agent && lease.Owner == "":
			waitMs = 0
		case lease.HandoverTo != "" && lease.HandoverTo != d.Agent:
			waitMs += 2 * d.TermMs
		}
		if now < change.seenAt+waitMs {
			continue
		}
		d.claimedAt[name] = now
		return Command{Verb: "claim", Lease: name, Owner: d.Owner, Fence: lease.Fence, Expected: lease.Renewed,
			TermMs: d.TermMs, By: d.Agent}, true
	}
	return Command{}, false
}

// NextHandover returns the next request to hand a lease of this agent over, if any: to a more preferred agent that has been
// present for handoverDelayTerms.
func (d *LeaseClaimer) NextHandover(now float64, r *Record, absent map[string]bool) (Command, bool) {
	for _, needed := range r.neededLeases() {
		name := needed.lease
		lease := r.Leases[name]
		_, first := d.rank(needed.orderKey, r, absent)
		if lease.Owner != d.Owner || lease.HandoverTo != "" || first == d.Agent || first == "" {
			delete(d.preferredSince, name)
			continue
		}
		if _, ok := d.preferredSince[name]; !ok {
			d.preferredSince[name] = now
		}
		if now >= d.preferredSince[name]+handoverDelayTerms*d.TermMs {
			delete(d.preferredSince, name)
			return Command{Verb: "want", Lease: name, Owner: first, By: d.Agent, Reason: "comes first"}, true
		}
	}
	return Command{}, false
}

// forgetOthers forgets what is known of leases that are no longer needed: each operation has a lease of its own.
func (d *LeaseClaimer) forgetOthers(allNeeded []neededLease) {
	if len(d.lastChange) <= len(allNeeded) {
		return // there are no more than are needed, so nothing grows
	}
	isNeeded := make(map[string]bool, len(allNeeded))
	for _, needed := range allNeeded {
		isNeeded[needed.lease] = true
	}
	notNeeded := func(name string) bool { return !isNeeded[name] }
	maps.DeleteFunc(d.lastChange, func(name string, _ leaseChange) bool { return notNeeded(name) })
	maps.DeleteFunc(d.preferredSince, func(name string, _ float64) bool { return notNeeded(name) })
	maps.DeleteFunc(d.claimedAt, func(name string, _ float64) bool { return notNeeded(name) })
}
