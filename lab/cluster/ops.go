package cluster

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"shalebeam/agent"
	"shalebeam/fleet"
	"shalebeam/lab/live"
)

// Days on which agents run the schedulers. Who is out of service is counted by the lab's own observation: whether each scheduler
// answers health checks as a front end sends them.

const sampleInterval = 25 * time.Millisecond // between two counts of the schedulers that are out

// environmentMark returns the start of the environment variable that agents set for each scheduler process that they start, with
// this day's directory; the lab finds the processes by it. It is "" on days on which the lab starts the schedulers itself.
func (d *day) environmentMark() string {
	if !d.opt.AgentsRunSchedulers {
		return ""
	}
	return "BEAM_RUN=" + d.dir + string(filepath.Separator)
}

// startAgents configures the agents to run the schedulers and to renew the workers, and starts them.
func (d *day) startAgents(f *live.Fleet) error {
	for i, m := range f.ManagedSchedulers() {
		for _, p := range d.agents {
			for _, addr := range []string{m.ManagementAddr, m.UpgradeAddr} {
				name := m.ID
				if addr == m.UpgradeAddr {
					name += "'"
				}
				if err := d.addRelay(p, name, addr); err != nil {
					return err
				}
			}
		}
		p := d.agents[i%len(d.agents)]
		p.file.Schedulers = append(p.file.Schedulers, agent.SchedulerConfig{ID: m.ID, Zone: m.Zone, Addr: m.ManagementAddr, UpgradeAddr: m.UpgradeAddr, Program: d.opt.SchedulerProgram,
			Config: m.Config, TempDir: m.Dir})
	}
	if err := os.MkdirAll(filepath.Join(d.dir, "renew"), 0o755); err != nil {
		return err
	}
	workers := f.Workers()
	for i, id := range sortedKeys(workers) {
		p := d.agents[i%len(d.agents)]
		at := filepath.Join(d.dir, "renew", "{worker}.{step}")
		// The site's command asks for the renewal by the file .go and waits up to 20 s for .done, which runWorkerRenewals writes.
		// Started a second time for the same step it leaves the file .twice.
		p.file.Workers = append(p.file.Workers, agent.WorkerConfig{ID: id, Zone: workers[id], Capacity: 2, Command: []string{"/bin/sh", "-c",
			fmt.Sprintf("if [ -e %s.go ]; then : > %s.twice; fi; : > %s.go; n=0; while [ ! -e %s.done ] && [ $n -lt 400 ]; do sleep 0.05; n=$((n+1)); done; [ -e %s.done ]",
				at, at, at, at, at)}})
	}
	for _, p := range d.agents {
		p.file.ReadyTimeout = agent.Duration(4 * time.Second)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// runWorkerRenewals restarts the workers for which the site's command asks, and reports a command that was started twice.
func (d *day) runWorkerRenewals() {
	done := map[string]bool{}
	for d.ctx.Err() == nil {
		d.sleep(20 * time.Millisecond)
		all, _ := filepath.Glob(filepath.Join(d.dir, "renew", "*"))
		for _, path := range all {
			base := filepath.Base(path)
			switch {
			case strings.HasSuffix(base, ".twice") && !done[base]:
				done[base] = true
				d.reportBreak("the command for %s was begun twice", strings.TrimSuffix(base, ".twice"))
			case strings.HasSuffix(base, ".go") && !done[base]:
				done[base] = true
				worker, _, _ := strings.Cut(base, ".")
				go func() {
					d.live.RestartWorker(worker, 100*time.Millisecond)
					_ = os.WriteFile(strings.TrimSuffix(path, ".go")+".done", nil, 0o600)
				}()
			}
		}
	}
}

// checkLimitsContinuously counts the schedulers that are out on purpose, more often than any step takes, and checks the count
// against the limits.
func (d *day) checkLimitsContinuously() {
	reported := map[string]bool{}
	for d.ctx.Err() == nil {
		d.sleep(sampleInterval)
		limits := d.currentLimits()
		if limits == nil {
			continue
		}
		rec := fleet.NewRecord()
		outOnPurpose := []string{}
		for _, s := range d.live.SchedulerStates() {
			rec.Members[s.ID] = fleet.Member{ID: s.ID, Kind: "scheduler", Zone: s.Zone}
			rec.Health[s.ID] = fleet.Health{State: fleet.HealthInService}
			if s.NotServing && !s.FailedByFault {
				rec.Health[s.ID] = fleet.Health{State: "out"}
				outOnPurpose = append(outOnPurpose, s.ID)
			}
		}
		rec.Limits = limits
		for _, id := range outOnPurpose { // each counts together with all the others
			for _, c := range rec.LimitCounts(id) {
				if c.Reason != "" && !reported[c.Reason] {
					reported[c.Reason] = true
					d.reportBreak("by truth: %s: %v", c.Reason, c.Out)
				}
			}
		}
		d.mu.Lock()
		d.report.MostOut = max(d.report.MostOut, len(outOnPurpose))
		d.mu.Unlock()
	}
}

// currentLimits returns the limits that are checked now, nil before the first ones are set.
func (d *day) currentLimits() []fleet.Limit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits
}

// SetLimits sets how many members may be out, and returns whether the record accepted the limits. checkLimitsContinuously uses
// them from the acknowledgement on: tighter limits bind only members that go out after it.
func (d *day) SetLimits(all []fleet.Limit) bool {
	a, err := d.sendAsOperator(fleet.Command{Verb: "limits", Limits: all})
	if err == nil && a.Applied {
		d.mu.Lock()
		d.limits = all
		d.mu.Unlock()
		return true
	}
	return false
}

// sendAsOperator sends a command as an operator does, who retries it until it is answered, for up to recoveryTimeout.
func (d *day) sendAsOperator(c fleet.Command) (a fleet.CommandResult, err error) {
	d.mu.Lock()
	d.operatorCommands++
	c.Caller, c.Number, c.FormatVersion = fmt.Sprint("person", d.operatorCommands), 1, fleet.FormatVersionOf(&c)
	d.mu.Unlock()
	if c.By == "" {
		c.By = "ann"
	}
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && d.ctx.Err() == nil; d.sleep(100 * time.Millisecond) {
		if a, err = (&agent.Caller{HTTP: d.http, Addrs: d.agentAddrs(nil)}).Do(d.ctx, c); err == nil {
			return a, nil
		}
	}
	return a, err
}

// BeginOperation begins an operation and returns its id, or "" and why it was refused.
func (d *day) BeginOperation(op fleet.Operation) (id, why string) {
	a, err := d.sendAsOperator(fleet.Command{Verb: "begin", Op: &op})
	if err != nil || !a.Applied {
		return "", fmt.Sprint(a.Reason, err)
	}
	return fmt.Sprintf("%s-%d", op.Kind, a.No), ""
}

// Operation returns an operation from the record, nil if there is none or the record can't be read.
func (d *day) Operation(id string) *fleet.Operation {
	r, err := d.readRecord(d.ctx)
	if err != nil {
		return nil
	}
	return r.Ops[id]
}

// buildRelease writes a copy of the scheduler program with a digest of its own and with a bug, "none" or "again" for none, and
// returns it as a version to release.
func (d *day) buildRelease(bug string) fleet.Version {
	raw, err := os.ReadFile(d.opt.SchedulerProgram)
	if err != nil {
		d.reportBreak("%v", err)
		return fleet.Version{}
	}
	raw = append(raw, "\nBUG="+bug+"\n"...)
	path := filepath.Join(d.dir, "program-"+bug)
	if err := os.WriteFile(path, raw, 0o700); err != nil {
		d.reportBreak("%v", err)
	}
	sum := sha256.Sum256(raw)
	return fleet.Version{Program: path, Digest: hex.EncodeToString(sum[:])}
}

// runningPrograms counts the different programs that schedulers run, by digest. It is -1 if an agent does not answer or a
// scheduler is still changing.
func (d *day) runningPrograms() int {
	all := map[string]bool{}
	for i := range d.agents {
		var s agent.Status
		if (&agent.Caller{HTTP: d.http, Addrs: []string{d.agents[i].file.Listen}}).Get(d.ctx, "/v1/status", &s) != nil {
			return -1
		}
		for _, x := range s.Schedulers {
			all[x.Program] = true
			if x.State != "done" {
				return -1
			}
		}
	}
	return len(all)
}

// OwnerOf returns the index of the agent that owns a lease, -1 if none does.
func (d *day) OwnerOf(leaseName string) int {
	r, err := d.readRecord(d.ctx)
	if err != nil {
		return -1
	}
	return slices.IndexFunc(d.agents, func(p *agentProcess) bool { return p.file.Name == fleet.AgentOfOwner(r.Leases[leaseName].Owner) })
}

// HaltAgent sends a halt of an operation, a zone or "all" to one agent and returns whether the agent acknowledged it.
func (d *day) HaltAgent(index int, of string) bool {
	raw, _ := json.Marshal(fleet.Halt{Scope: of, By: "ann", Reason: "a look"})
	response, err := d.http.Post("http://"+d.agents[index].file.Listen+"/v1/halt", "application/json", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// begunStep is a step of an operation that an agent has begun, by its log.
type begunStep struct {
	at     time.Time
	agent  string // name of the agent
	member string // id of the scheduler or worker
	step   string // its number
}

var stepBegunPattern = regexp.MustCompile(`^time=(\S+) .*msg=begun op=(\S+) member=(\S+) call=(\S+) step=(\d+) takes=(\w+) state=going`)

// begunSteps lists the steps that agents have begun at a member ("" for all members), by their logs; with onlyTaking only those
// that take a member out of service.
func (d *day) begunSteps(member string, onlyTaking bool) (all []begunStep) {
	for _, p := range d.agents {
		forEachLine(p.path(".log"), func(line string) {
			if x := stepBegunPattern.FindStringSubmatch(line); x != nil && (member == "" || x[3] == member) && (x[6] == "true" || !onlyTaking) {
				at, _ := time.Parse(time.RFC3339Nano, x[1])
				all = append(all, begunStep{at, p.file.Name, x[3], x[5]})
			}
		})
	}
	return all
}

// toldToEnd reports whether an agent has told a process to end, by the agents' logs.
func (d *day) toldToEnd(pid int) (yes bool) {
	for _, p := range d.agents {
		forEachLine(p.path(".log"), func(line string) {
			yes = yes || strings.Contains(line, `msg="process told to end"`) && strings.Contains(line, fmt.Sprintf(" pid=%d ", pid))
		})
	}
	return yes
}

// MeasureHalts measures halts during a restart of all schedulers, as many as times says. lastMs is the time from the halt
// until the last step began that takes a member out (0 for none), ackMs the time until the halt was acknowledged; both in
// ms and sorted. With minority, the halt is sent only to one agent that is cut off from the others.
func (d *Day) MeasureHalts(times int, minority bool) (lastMs, ackMs []float64) {
	var all []string
	for _, m := range d.live.Schedulers() {
		all = append(all, m.ID)
	}
	d.SetLimits([]fleet.Limit{{Kind: "scheduler", MaxOutShare: 0.5}})
	for i := range times {
		id, _ := d.BeginOperation(fleet.Operation{Kind: "restart", Waves: [][]string{all}})
		d.WaitUntil("it has begun", func() bool { return id != "" && len(d.begunSteps("", true)) > 0 })
		d.sleep(time.Duration(100+37*(i%20)) * time.Millisecond)
		agents := d.agents
		if minority {
			agents = d.agents[:1]
			d.SetLinks(0, LinkReset, LinkReset)
		}
		began := time.Now()
		var calls sync.WaitGroup
		for n := range agents {
			calls.Go(func() { d.HaltAgent(n, "all") })
		}
		if !minority {
			calls.Go(func() { _, _ = d.sendAsOperator(fleet.Command{Verb: "halt", ID: "all", Reason: "a look"}) })
		}
		calls.Wait()
		ackMs = append(ackMs, float64(time.Since(began))/1e6)
		d.sleep(1500 * time.Millisecond)
		afterMs := 0.0
		for _, s := range d.begunSteps("", true) {
			if s.at.After(began) && slices.ContainsFunc(agents, func(p *agentProcess) bool { return p.file.Name == s.agent }) {
				afterMs = max(afterMs, float64(s.at.Sub(began))/1e6)
			}
		}
		lastMs = append(lastMs, afterMs)
		if minority {
			d.SetLinks(0, LinkUp, LinkUp)
			d.WaitUntil("the halt is on record", func() bool {
				rec, err := d.readRecord(d.ctx)
				return err == nil && rec.Halts["all"].By != ""
			})
		}
		_, _ = d.sendAsOperator(fleet.Command{Verb: "lift", ID: "all"})
		d.WaitUntil("it is over", func() bool { op := d.Operation(id); return op != nil && op.Done })
	}
	slices.Sort(lastMs)
	slices.Sort(ackMs)
	return lastMs, ackMs
}

// MeasureRollbacks measures releases of a program that declines everything: haltsMs is the time from the start to the halt
// by a gate, backsMs from the halt until the rollback is done at all schedulers; both in ms and sorted.
func (d *Day) MeasureRollbacks(times int) (haltsMs, backsMs []float64) {
	var all []fleet.Member
	for _, m := range d.live.Schedulers() {
		all = append(all, fleet.Member{ID: m.ID, Zone: m.Zone})
	}
	d.SetLimits([]fleet.Limit{{Kind: "scheduler", MaxOutShare: 0.5}})
	for range times {
		began := time.Now()
		id, why := d.BeginOperation(fleet.Operation{Kind: "release", Waves: fleet.Waves(all), Version: d.buildRelease("declines-all"), WatchMs: 4000, AutoRollBack: true,
			Gates: fleet.Gates{Settled: 0.3, MinTxns: 30}})
		if id == "" {
			d.ReportBreak("refused: %s", why)
			return
		}
		var halted time.Time
		d.WaitUntil("it is halted", func() bool {
			rec, err := d.readRecord(d.ctx)
			if err == nil && rec.Halts[id].By != "" {
				halted = time.Now()
			}
			return !halted.IsZero()
		})
		d.WaitUntil("all have what ran before", func() bool { op := d.Operation(id); return op != nil && op.RollingBack && op.Done })
		haltsMs = append(haltsMs, float64(halted.Sub(began))/1e6)
		backsMs = append(backsMs, float64(time.Since(halted))/1e6)
		_, _ = d.sendAsOperator(fleet.Command{Verb: "close", Lease: fleet.OperationLease(id)})
	}
	slices.Sort(haltsMs)
	slices.Sort(backsMs)
	return haltsMs, backsMs
}

var processEventPattern = regexp.MustCompile(`^time=(\S+) .*msg="process (started|ended)" scheduler=(\S+) `)

// handoverTimeMs adds up, over all schedulers, the ms from the start of a new process to the end of the one before, as logged
// since then. An operation that may restart n schedulers at once takes at least this sum divided by n.
func (d *day) handoverTimeMs(since time.Time) (sumMs float64) {
	startedAt := map[string]time.Time{} // by scheduler: when its new process started
	for _, p := range d.agents {
		forEachLine(p.path(".log"), func(line string) {
			x := processEventPattern.FindStringSubmatch(line)
			if x == nil {
				return
			}
			at, _ := time.Parse(time.RFC3339Nano, x[1])
			switch from, handingOver := startedAt[x[3]]; {
			case at.Before(since):
			case x[2] == "started":
				startedAt[x[3]] = at
			case handingOver:
				sumMs += float64(at.Sub(from)) / 1e6
				delete(startedAt, x[3])
			}
		})
	}
	return sumMs
}

// MeasureRestart measures a restart of all schedulers of which a share may be out at once. tookMs is its duration, leastMs
// the lower bound that follows from the schedulers' own handover times and the limit, both in ms; members is the number of
// schedulers.
func (d *Day) MeasureRestart(share float64) (tookMs, leastMs float64, members int) {
	var all []string
	for _, m := range d.live.Schedulers() {
		all = append(all, m.ID)
	}
	d.SetLimits([]fleet.Limit{{Kind: "scheduler", MaxOutShare: share}})
	began := time.Now()
	id, why := d.BeginOperation(fleet.Operation{Kind: "restart", Waves: [][]string{all}})
	if id == "" {
		d.ReportBreak("refused: %s", why)
		return
	}
	_ = d.waitFor(2*time.Minute, "", func() error {
		if op := d.Operation(id); op != nil && op.Done {
			return nil
		}
		return errors.New("not yet")
	})
	tookMs = float64(time.Since(began)) / 1e6
	return tookMs, d.handoverTimeMs(began) / max(1, math.Floor(share*float64(len(all)))), len(all)
}

// MeasureIdleTraffic measures an idle cluster for duration: messages that voters send per second, and bytes per second on
// all links between processes.
func (d *Day) MeasureIdleTraffic(duration time.Duration) (messagesPerSecond, bytesPerSecond float64) {
	count := func() (l int) {
		for i := range d.agents {
			var s agent.Status
			if (&agent.Caller{HTTP: d.http, Addrs: d.AddrOf(i)}).Get(d.ctx, "/v1/status", &s) == nil {
				l += s.Sent.Messages
			}
		}
		return l
	}
	d.sleep(5 * time.Second)
	messagesBefore := count()
	bytesBefore := d.relayedBytes()
	d.sleep(duration)
	messagesAfter := count()
	return float64(messagesAfter-messagesBefore) / duration.Seconds(), float64(d.relayedBytes()-bytesBefore) / duration.Seconds()
}

// relayedBytes returns how many bytes all relays have forwarded, in both directions.
func (d *day) relayedBytes() (n int) {
	for _, r := range d.links {
		n += int(r.bytes.Load())
	}
	return n
}
