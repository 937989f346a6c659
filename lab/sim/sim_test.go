package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"

	"shalebeam/lab/plan"
	"shalebeam/lab/policy"
	"shalebeam/lab/tally"
)

// playPlan simulates one plan and returns its result with a row for each second.
func playPlan(t testing.TB, p *plan.Plan, seed uint64, name string) *tally.Result {
	t.Helper()
	r, err := Run(context.Background(), p, seed, name, Options{Seconds: true})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// playPlans simulates the plans that makePlan draws from count seeds, several at once, and returns their results in
// order of the seeds.
func playPlans(t testing.TB, makePlan func(uint64) *plan.Plan, from, count int, policy string) []*tally.Result {
	results := make([]*tally.Result, count)
	var wg sync.WaitGroup
	next := make(chan int)
	for range runtime.NumCPU() {
		wg.Go(func() {
			for i := range next {
				p := makePlan(uint64(from + i))
				if err := p.Check(); err != nil {
					t.Errorf("plan of seed %d: %v", from+i, err)
					continue
				}
				results[i] = playPlan(t, p, p.Seed, policy)
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// Discovery ends the watches of most of 150 schedulers with a status, and all of them call it again at once. The calls
// that it then turns away late do not show that it is down, and a drain that it reports to other schedulers meanwhile
// counts as told after 6 s. This test is known to fail, see docs/design/told.md: if such refusals are not taken as a sign
// of an outage, G of the experiment herd+mass falls from 0.787 to 0.694, since a discovery that is down shows the same.
func TestACrowdAfterEndedWatchesIsNotAnOutage(t *testing.T) {
	for _, r := range playPlans(t, plan.RandomWatchFaults, 242, 1, "adus") {
		for _, b := range r.Violations {
			t.Errorf("%s: %s", r.Plan, b)
		}
	}
}

// No cold worker is overloaded where hints are off by a factor of e^0.5 (a lognormal error of sigma 0.5). One was, with
// 3,106 ms of work where 3,061 ms are allowed, when capacity was estimated from a high quantile of runs: such hints put
// the runs whose work they overstate there.
func TestNoColdWorkerIsOverloadedInRoughPlan874(t *testing.T) {
	for _, r := range playPlans(t, plan.Random, 874, 1, "adus") {
		for _, b := range r.Violations {
			t.Errorf("%s: %s", r.Plan, b)
		}
	}
}

// Package balance without a planted bug breaks no rule under random faults, also with operations by staff. beamlab soak
// plays more such plans.
func TestRoughPlansBreakNoRule(t *testing.T) {
	txns := 0
	for _, r := range append(playPlans(t, plan.Random, 1, 60, "adus"), playPlans(t, plan.RandomWithOperators, 1, 30, "adus")...) {
		for _, b := range r.Violations {
			t.Errorf("%s: %s", r.Plan, b)
		}
		txns += r.Offered
	}
	if txns < 10000 {
		t.Errorf("%d txns, want at least 10000", txns)
	}
}

// The auditor reports each planted bug as a break of the bug's rule, with the history of the txn, in at least one of
// 20 random plans.
func TestAuditorReportsPlantedBugs(t *testing.T) {
	for _, b := range policy.Bugs {
		t.Run(b.Name, func(t *testing.T) {
			found := 0
			made := plan.Random
			switch b.Name {
			case "ignores-staff", "new-rules-for-open":
				made = plan.RandomWithOperators
			case "late-notice", "asks-late", "skips-last-check", "forgets-removals":
				made = plan.RandomWatchFaults
			}
			for _, r := range playPlans(t, made, 1, 20, "adus:"+b.Name) {
				if found += r.ViolationCounts[b.Rule]; r.ViolationCounts[b.Rule] > 0 && b.Rule != "flooded" && b.Name != "posts-after" {
					for _, x := range r.Violations {
						if x.Rule == b.Rule && len(x.History) == 0 {
							t.Errorf("%s has no history", x)
						}
					}
				}
			}
			if found == 0 {
				t.Errorf("no break of rule %q reported", b.Rule)
			}
		})
	}
}

// Two runs of a plan with the same seed give the same result to the byte.
func TestSameSeedSameBytes(t *testing.T) {
	for seed := range uint64(6) {
		p := plan.Random(seed)
		var got [2][]byte
		for i := range got {
			raw, err := json.Marshal(playPlan(t, p, seed, "adus"))
			if err != nil {
				t.Fatal(err)
			}
			got[i] = raw
		}
		if string(got[0]) != string(got[1]) {
			t.Errorf("seed %d: %s\n%s", seed, got[0], got[1])
		}
	}
}

// All policies get the same jobs from the same seed, whatever they decide.
func TestPoliciesGetTheSameJobs(t *testing.T) {
	want := ""
	for _, name := range policy.Names() {
		r := playPlan(t, plan.Random(3), 3, name)
		got := ""
		for _, c := range r.Schemes {
			got += fmt.Sprint(c.Offered, " ")
		}
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("policy %s got %s jobs by scheme, the first policy got %s", name, got, want)
		}
	}
}

// Where messages between schedulers have a price, those about failures that a fleet receives grow no faster than the
// fleet. When all schedulers sent to all others, a fleet three times as large received nine times as many. Traffic and
// workers grow with the number of schedulers here.
func TestPeerMessagesGrowNoFasterThanTheFleet(t *testing.T) {
	heard := map[int]float64{}
	for _, n := range []int{10, 100, 300} {
		raw, err := os.ReadFile("../../experiments/news.toml")
		if err != nil {
			t.Fatal(err)
		}
		raw, err = plan.WithKeys(raw, fmt.Sprintf("schedulers.count=%d", n), fmt.Sprintf("workers.w.count=%d", n*3/5),
			"schedulers.peer_price=0.1")
		if err != nil {
			t.Fatal(err)
		}
		p, err := plan.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		r := playPlan(t, p, 1, "adus")
		heard[n] = float64(r.Fleet.Heard) / (float64(p.Length) / 1000)
		if cost := 0.1 * float64(r.Fleet.Bytes) / 256 / float64(r.Offered); cost > 0.01 {
			t.Errorf("%d schedulers: messages cost %.4f of the gain offered, want at most 0.01", n, cost)
		}
	}
	if perPeer := func(n int) float64 { return heard[n] / float64(n-1) }; perPeer(10) == 0 ||
		perPeer(100) > 12*perPeer(10) || perPeer(300) > 36*perPeer(10) || heard[300] > 3*heard[100] {
		t.Errorf("messages received a second, by number of schedulers: %v", heard)
	}
}

// No scheduler posts to a draining worker after the change counts as told, even if discovery reports it late or never.
// beamlab soak --told plays more such plans.
func TestDrainsAreKeptHoweverDiscoveryReportsThem(t *testing.T) {
	for _, r := range playPlans(t, plan.RandomWatchFaults, 1, 60, "adus") {
		for _, b := range r.Violations {
			t.Errorf("%s: %s", r.Plan, b)
		}
	}
}
