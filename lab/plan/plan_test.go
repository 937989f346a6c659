package plan

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validPlan is a plan that Parse accepts.
const validPlan = `name = "x"
length = "10s"
[schedulers]
count = 2
zones = ["a", "b"]
[[scheme]]
name = "look"
effect = "repeatable"
sla = "1s"
expiry = "5s"
gain = 1
part = 1
cost = { law = "exp", mean = "100ms" }
[[workers]]
name = "w"
count = 4
cores = 2
slots = 2
[clients]
load = 0.5
arrivals = "poisson"
[[fault]]
do = "slow"
on = "workers:w@a"
at = "1s"
for = "1s"
factor = 0.5
`

// Parse refuses an invalid plan with the key and the reason, in one line.
func TestParseErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`length = "10s"`, `length = 10`, `length: `},
		{`length = "10s"`, `lenght = "10s"`, `lenght: no such key`},
		{`sla = "1s"`, `sla = "1 second"`, `"1 second" is not a time with a unit`},
		{`sla = "1s"`, `sla = "9s"`, `scheme[0].expiry: is missing or below sla`},
		{`effect = "repeatable"`, `effect = "any"`, `scheme[0].effect: "any" is not`},
		{`effect = "repeatable"`, `effect = "referenced"`, `scheme[0].window: is missing`},
		{`cost = { law = "exp", mean = "100ms" }`, `cost = { law = "pareto", least = "1s" }`, `scheme[0].cost: pareto needs`},
		{`slots = 2`, `slots = 0`, `workers[0].slots: must be 1 or more`},
		{`count = 2`, `count = 0`, `schedulers.count: 0 is not`},
		{`load = 0.5`, ``, `clients.load: one of load and rate`},
		{`arrivals = "poisson"`, `arrivals = "bursty"`, `clients.burst: `},
		{`do = "slow"`, `do = "explode"`, `fault[0].do: "explode" is no fault`},
		{`on = "workers:w@a"`, `on = "workers:v@a"`, `fault[0].on: no workers are named "v"`},
		{`on = "workers:w@a"`, `on = "workers:w@c"`, `fault[0].on: no zone is named "c"`},
		{`on = "workers:w@a"`, `on = "clients"`, `fault[0].on: slow acts on workers`},
		{`factor = 0.5`, ``, `fault[0].factor: must be above 0`},
		{`at = "1s"`, `at = "11s"`, `fault[0].at: is not before length`},
	} {
		if !strings.Contains(validPlan, c.from) {
			t.Fatalf("%q is not in validPlan", c.from)
		}
		_, err := Parse([]byte(strings.Replace(validPlan, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v", c.to, c.from, err)
		}
	}
	if _, err := Parse([]byte(validPlan)); err != nil {
		t.Error(err)
	}
}

// The experiment files of the project are valid, and Plan.Text writes a file that Parse reads as the same plan.
func TestExperimentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatal(files, err)
	}
	for _, f := range append(files, "../../cmd/beamlab/demo.toml") {
		raw, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		p, err := Parse(raw)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		text, err := p.Text()
		if err != nil {
			t.Fatal(err)
		}
		q, err := Parse(text)
		if err != nil || q.Length != p.Length || len(q.Faults) != len(p.Faults) || q.ArrivalsPerSecond() != p.ArrivalsPerSecond() {
			t.Errorf("%s: read back from Plan.Text: %v", f, err)
		}
	}
}

func TestWithSetsKeys(t *testing.T) {
	raw, err := WithKeys([]byte(validPlan), "clients.load=0.9", "workers.w.count=7", "fault.0.at=2s", "schedulers.copies=true")
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse(raw)
	if err != nil || p.Clients.Load != 0.9 || p.Workers[0].Count != 7 || p.Faults[0].At != 2000 || !p.Schedulers.Copies {
		t.Errorf("%+v %v", p, err)
	}
	for _, set := range []string{"clients", "workers.v.count=1", "name.x=1"} {
		if _, err := WithKeys([]byte(validPlan), set); err == nil {
			t.Errorf("With accepted %s", set)
		}
	}
}

// The mean of Draw is ExpectedValue, from which the offered load is computed.
func TestDrawHasExpectedMean(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, l := range []Distribution{{Law: "fixed", Mean: 50}, {Law: "exp", Mean: 100}, {Law: "exp", Mean: 100, Most: 150},
		{Law: "lognormal", Median: 100, Sigma: 1}, {Law: "lognormal", Median: 100, Sigma: 1.5, Most: 1000},
		{Law: "pareto", Least: 10, Most: 1000, Alpha: 1.2}} {
		sum, n := 0.0, 200000
		for range n {
			sum += l.Draw(r.Float64(), r.Float64())
		}
		if got, want := sum/float64(n), l.ExpectedValue(); math.Abs(got/want-1) > 0.03 {
			t.Errorf("%+v: mean %.1f, Expect returns %.1f", l, got, want)
		}
	}
}
