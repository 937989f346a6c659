package fleetsim

import (
	"testing"
)

// Runs with faults violate no invariant, and two runs of the same seed are equal. docs/fleet.md describes the long runs.
func TestSeededRunsKeepInvariants(t *testing.T) {
	changes, owners, refused, replaced := 0, 0, 0, 0
	// These seeds violated an invariant once: a call that arrived late, a disk that had gone back to an older state, and
	// a claim whose answer came after its lease had run out.
	seeds := []uint64{21151, 41231, 44855}
	for seed := range uint64(30) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		options := Options{Seed: seed, Voters: 3 + 2*int(seed%2), Agents: 9, Schedulers: 4, FaultsMs: 15000}
		r := Run(options)
		for _, b := range r.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		changes, owners, refused, replaced = changes+r.AcknowledgedChanges, owners+r.Claims, refused+r.RefusedCalls, replaced+r.ReplacedVoters
		if seed < 5 {
			if again := Run(options); again.Digest != r.Digest {
				t.Errorf("seed %d: two runs differ", seed)
			}
		}
	}
	t.Logf("%d changes, %d owners, %d late calls refused, %d voters replaced", changes, owners, refused, replaced)
	if changes < 500 || owners < 100 || refused < 5 || replaced < 5 {
		t.Errorf("%d changes, %d owners, %d late calls refused, %d voters replaced: too little happened", changes, owners, refused, replaced)
	}
}

// Operations run, are halted and are rolled back under the same faults, with calls that are delivered twice and agents whose
// disks lose acknowledged writes. By the model processes, never more members are out on purpose than the limits allow, and
// every operation ends or is left to an operator.
func TestOperationsEndWithinLimitsUnderFaults(t *testing.T) {
	calls, maxOut := 0, 0
	seeds := []uint64{10, 31, 100110, 1004286} // with each of these seeds the operation once did not end
	for seed := range uint64(12) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		options := Options{Seed: seed, Voters: 5, Agents: 9, Schedulers: 8, Workers: 4, FaultsMs: 15000, Operations: true}
		r := Run(options)
		for _, b := range r.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if calls, maxOut = calls+r.AgentCalls, max(maxOut, r.MaxOut); seed == 3 {
			if again := Run(options); again.Digest != r.Digest {
				t.Error("two runs differ")
			}
		}
	}
	if calls < 250 || maxOut == 0 {
		t.Errorf("%d calls at agents, at most %d out: too little happened", calls, maxOut)
	}
}

// A release without faults takes at most 1.3 times its lower bound, which is the time that its members' processes need,
// divided by how many members may be out at once. It took 1.5 to 1.8 times the bound when each of a member's five steps
// waited for the next tick of the operation's owner or of the member's agent.
func TestReleaseTimeNearLowerBound(t *testing.T) {
	r := Run(Options{Seed: 1, Voters: 3, Agents: 8, Schedulers: 40, FaultsMs: 15000, Operations: true, NoFaults: true})
	if tookMS := r.OperationEndedMs - startupMS; len(r.Violations) > 0 || r.LowerBoundMs == 0 || tookMS > 1.3*r.LowerBoundMs {
		t.Errorf("%.1f s, at the least %.1f s, %v", tookMS/1000, r.LowerBoundMs/1000, r.Violations)
	}
}
