package fleet

import (
	"fmt"
	"testing"
)

// An agent kept what it knew of the lease of each operation that there ever was, to its end.
func TestLeaseClaimerForgetsClosedOperations(t *testing.T) {
	r := NewRecord()
	applyCommand(t, r, Command{Verb: "member", Member: &Member{ID: "a1", Kind: "agent", Zone: "a", Addr: "x:1"}})
	applyCommand(t, r, Command{Verb: "member", Member: &Member{ID: "a2", Kind: "agent", Zone: "a", Addr: "x:2"}})
	applyCommand(t, r, Command{Verb: "member", Member: &Member{ID: "w1", Kind: "worker", Zone: "a", Addr: "w1"}})
	claimer := NewLeaseClaimer("a1", "1", 3000)
	now := 0.0
	for i := range 50 {
		id := fmt.Sprint("op", i)
		r.Ops[id] = &Operation{ID: id}
		for range 300 {
			now += 100
			claimer.NextClaim(now, r, nil)
			claimer.NextHandover(now, r, nil)
		}
		delete(r.Ops, id)
	}
	claimer.NextClaim(now+1000, r, nil)
	for name, n := range map[string]int{"changes": len(claimer.lastChange), "preferences": len(claimer.preferredSince),
		"claims": len(claimer.claimedAt)} {
		if n > 1 { // that of the zone
			t.Errorf("%s of %d leases are kept, and one lease is needed", name, n)
		}
	}
}
