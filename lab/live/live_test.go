package live

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// program is the path of the scheduler program, built once for all tests of this package.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "live-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "shalebeam")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/shalebeam").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const smallPlan = `name = "small"
length = "3s"
[schedulers]
count = 3
zones = ["a", "b"]
copies = true
cancels = true
probes = true
peers = true
advice = "1s"
[[scheme]]
name = "look"
effect = "repeatable"
sla = "1s"
expiry = "3s"
gain = 1
part = 2
hinted = 1
cost = { law = "exp", mean = "40ms", most = "300ms" }
[[scheme]]
name = "reserve"
effect = "once-only"
sla = "1s"
expiry = "3s"
gain = 1
part = 1
hinted = 1
cost = { law = "exp", mean = "40ms", most = "300ms" }
[[workers]]
name = "w"
count = 6
cores = 2
slots = 2
queue = 4
drain_for = "500ms"
[cold]
for = "2s"
[clients]
rate = 60
arrivals = "poisson"
tries = 3
backoff = "100ms"
front_lag = "300ms"
[discovery]
lag = "20ms"
`

// Guards against invariants that hold in the simulation but break with real processes: while schedulers are killed, stopped and
// reloaded, workers are killed and drained and discovery is down, each job of the plan ends, no rule is broken, and the same jobs
// come as in simulated time. How many jobs settle in time is not checked, because that depends on the speed of the machine.
func TestRealProcessesKeepInvariants(t *testing.T) {
	p, err := plan.Parse([]byte(smallPlan + `
[[fault]]
do = "kill"
on = "schedulers:1"
at = "500ms"
for = "300ms"
[[fault]]
do = "stop"
on = "schedulers:2"
at = "1s"
for = "500ms"
[[fault]]
do = "reload"
on = "schedulers:0"
at = "700ms"
[[fault]]
do = "kill"
on = "workers"
share = 0.3
at = "800ms"
for = "400ms"
[[fault]]
do = "drain"
on = "workers"
share = 0.3
at = "1500ms"
for = "1s"
[[fault]]
do = "down"
on = "discovery"
at = "2s"
for = "500ms"
[[fault]]
do = "twice"
on = "workers"
at = "100ms"
for = "2s"
factor = 0.5
`))
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	done := make(chan *load.Job, 10000)
	r, err := Run(context.Background(), p, 1, Options{Program: program, Outcome: func(j *load.Job) { done <- j }})
	if err != nil {
		t.Fatal(err)
	}
	for len(done) > 0 {
		j := <-done
		if ended++; !j.Ended || j.Outcome == "" {
			t.Errorf("job %d is not over: %+v", j.No, j)
		}
	}
	for _, b := range r.Violations {
		t.Error(b)
	}
	jobs := 0
	for s := load.NewStream(p, 1); ; jobs++ {
		if _, ok := s.Next(); !ok {
			break
		}
	}
	settled := 0
	for _, c := range r.Schemes {
		settled += c.InTime + c.Late
	}
	if ended != jobs || r.Offered != jobs || settled < jobs/2 {
		t.Errorf("%d jobs in the plan, %d offered, %d ended, %d settled", jobs, r.Offered, ended, settled)
	}
}

// Guards against an auditor that reports an answer as held back while the worker's failure is still in transit: the network
// loses 30% of all messages, and a resend adds 400 ms each time. The auditor took that transit time for time in which the
// scheduler withheld an answer.
func TestTransitTimeIsNotCountedAsHeldBack(t *testing.T) {
	p, err := plan.Parse([]byte(smallPlan + `
[network]
loss = 0.3
resend = "400ms"
[[fault]]
do = "erring"
on = "workers"
at = "0s"
for = "3s"
factor = 0.5
`))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), p, 1, Options{Program: program})
	if err != nil {
		t.Fatal(err)
	}
	if r.Schemes[1].Reversed < 10 || r.ViolationCounts["held back"] > 0 {
		t.Errorf("%d reversed, expected at least 10; breaks by rule %v, expected none held back", r.Schemes[1].Reversed, r.ViolationCounts)
	}
}

// Guards against an auditor that misses results which no worker produced: a stand-in for the scheduler answers each request by
// itself, and each of its answers must be reported as made up.
func TestFabricatedAnswersAreReported(t *testing.T) {
	p, err := plan.Parse([]byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	p.Length = 500
	fake := filepath.Join(t.TempDir(), "fake")
	if out, err := exec.Command("go", "build", "-o", fake, "./testdata/fake").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	r, err := Run(context.Background(), p, 1, Options{Program: fake})
	if err != nil {
		t.Fatal(err)
	}
	if r.ViolationCounts["made up"] == 0 || r.ViolationCounts["made up"] != r.Offered {
		t.Errorf("breaks by rule %v, expected %d made up, one for each job", r.ViolationCounts, r.Offered)
	}
}

// Guards against processes that outlive a cancelled run: when the caller cancels the context, every process that was started ends,
// and the result is marked as partial.
func TestCancelStopsProcesses(t *testing.T) {
	p, err := plan.Parse([]byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var addr string
	r, err := Run(ctx, p, 1, Options{Program: program, Serving: func(a, _ string) { addr = a; cancel() }})
	if err != nil || !r.Partial {
		t.Errorf("got result %+v, error %v; expected a partial result without an error", r, err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a scheduler still accepts connections after the run was cancelled")
	}
}
