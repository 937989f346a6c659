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

func play(t testing.TB, p *plan.Plan, seed uint64, name string) *tally.Result {
	t.Helper()
	r, err := Play(context.Background(), p, seed, name, Options{Seconds: true})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// days plays rough days side by side and returns their results in order.
func days(t testing.TB, made func(uint64) *plan.Plan, from, n int, policy string) []*tally.Result {
	got := make([]*tally.Result, n)
	var wg sync.WaitGroup
	next := make(chan int)
	for range runtime.NumCPU() {
		wg.Go(func() {
			for i := range next {
				p := made(uint64(from + i))
				if err := p.Check(); err != nil {
					t.Errorf("day %d: %v", from+i, err)
					continue
				}
				got[i] = play(t, p, p.Seed, policy)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	return got
}

// Discovery ends the watches of most of 150 schedulers with a status, and is then crowded by all that call at once: what it
// turns away late is no sign that it is down, and a drain that it tells to others meanwhile counts as told after 6 s. (Known
// red: docs/design/told.md. Not taken for a sign, herd+mass falls from 0.787 to 0.694, as a discovery that is down does the same.)
func TestACrowdAfterEndedWatchesIsNotAnOutage(t *testing.T) {
	for _, r := range days(t, plan.Told, 242, 1, "adus") {
		for _, b := range r.Breaks {
			t.Errorf("%s: %s", r.Plan, b)
		}
	}
}

// A cold worker is not pushed over on a day whose hints vary by a factor of e^0.5. (It was, with 3,106 ms of work where 3,061 are allowed:
// capacity was taken from a high quantile of runs, which those hints make that overstate their work.)
func TestNoColdWorkerFallsOnRoughDay874(t *testing.T) {
	for _, r := range days(t, plan.Rough, 874, 1, "adus") {
		for _, b := range r.Breaks {
			t.Errorf("%s: %s", r.Plan, b)
		}
	}
}

// The clean module breaks no rule on rough days; beamlab soak plays more of them.
func TestRoughDaysAreClean(t *testing.T) {
	txns := 0
	for _, r := range append(days(t, plan.Rough, 1, 60, "adus"), days(t, plan.Operated, 1, 30, "adus")...) {
		for _, b := range r.Breaks {
			t.Errorf("%s: %s", r.Plan, b)
		}
		txns += r.Offered
	}
	if txns < 10000 {
		t.Errorf("only %d txns", txns)
	}
}

// Each planted bug is named by the auditor, as what it is, on some of a few rough days.
func TestPlantedBugsAreNamed(t *testing.T) {
	for _, b := range policy.Bugs {
		t.Run(b.Name, func(t *testing.T) {
			found := 0
			made := plan.Rough
			switch b.Name {
			case "ignores-staff", "new-rules-for-open":
				made = plan.Operated
			case "late-notice", "asks-late", "skips-last-check", "forgets-removals":
				made = plan.Told
			}
			for _, r := range days(t, made, 1, 20, "adus:"+b.Name) {
				if found += r.Counts[b.Rule]; r.Counts[b.Rule] > 0 && b.Rule != "flooded" && b.Name != "posts-after" {
					for _, x := range r.Breaks {
						if x.Rule == b.Rule && len(x.History) == 0 {
							t.Errorf("%s has no history", x)
						}
					}
				}
			}
			if found == 0 {
				t.Error("not found")
			}
		})
	}
}

func TestSameSeedSameBytes(t *testing.T) {
	for seed := range uint64(6) {
		p := plan.Rough(seed)
		var got [2][]byte
		for i := range got {
			raw, err := json.Marshal(play(t, p, seed, "adus"))
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

// Every policy is given the same work by a seed, whatever it does with it.
func TestPoliciesMeetTheSameJobs(t *testing.T) {
	want := ""
	for _, name := range policy.Names() {
		r := play(t, plan.Rough(3), 3, name)
		got := ""
		for _, c := range r.Schemes {
			got += fmt.Sprint(c.Offered, " ")
		}
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("%s was given %s, not %s", name, got, want)
		}
	}
}

// What schedulers tell each other of failures grows no faster than the fleet where it has a price: told by all to all, a
// fleet three times as large heard nine times as much. Traffic and workers grow with the schedulers.
func TestNewsGrowsNoFasterThanTheFleet(t *testing.T) {
	heard := map[int]float64{}
	for _, n := range []int{10, 100, 300} {
		raw, err := os.ReadFile("../../experiments/news.toml")
		if err != nil {
			t.Fatal(err)
		}
		raw, err = plan.With(raw, fmt.Sprintf("schedulers.count=%d", n), fmt.Sprintf("workers.w.count=%d", n*3/5),
			"schedulers.peer_price=0.1")
		if err != nil {
			t.Fatal(err)
		}
		p, err := plan.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		r := play(t, p, 1, "adus")
		heard[n] = float64(r.Fleet.Heard) / (float64(p.Length) / 1000)
		if cost := 0.1 * float64(r.Fleet.Bytes) / 256 / float64(r.Offered); cost > 0.01 {
			t.Errorf("%d schedulers: news costs %.4f of all worth", n, cost)
		}
	}
	if told := func(n int) float64 { return heard[n] / float64(n-1) }; told(10) == 0 || told(100) > 12*told(10) ||
		told(300) > 36*told(10) || heard[300] > 3*heard[100] {
		t.Errorf("messages that came a second, by schedulers: %v", heard)
	}
}

// Drains are kept however late their news comes; beamlab soak --told plays more of these days.
func TestDrainsAreKeptHoweverTheyAreTold(t *testing.T) {
	for _, r := range days(t, plan.Told, 1, 60, "adus") {
		for _, b := range r.Breaks {
			t.Errorf("%s: %s", r.Plan, b)
		}
	}
}
