// Package cluster runs whole clusters of real agent and scheduler processes under fault injection. One run is a "day": it
// starts agents and schedulers together with the lab's own workers, discovery and load generator, connects agents to other
// processes through TCP relays, and injects overlapping faults of links, processes, disks and clocks chosen by a seed. The
// agents replicate the record, which is the fleet's state (members, intents for workers, leases, operations), among those
// of them that are voters. Each zone and each operation has a lease, which one agent, its owner, holds under a fencing token.
//
// The checks on a day don't rely on the program under test: they use the postings that workers recorded, the calls and
// answers of every caller, and the log lines in which schedulers and agents report what they applied.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shalebeam/agent"
	"shalebeam/fleet"
	"shalebeam/lab/live"
	"shalebeam/lab/plan"
)

// Options configure one day. A zero count, duration or load is replaced by a default.
type Options struct {
	Seed             uint64
	Agents           int // number of agents; the first Voters of them replicate the record
	Voters           int
	Schedulers       int
	Workers          int
	FaultDuration    time.Duration // how long faults are injected
	SchedulerProgram string        // path of shalebeam; PlantedBug and faults of disks and clocks need a build with the tag faults
	AgentProgram     string        // path of beamagent, built alike
	Dir              string        // for configurations, logs and disks
	PlantedBug       string        // the bug of PlantableBugs that the processes are started with, "" for none
	NoFaults         bool          // inject no seeded faults
	Load             float64       // the plan's clients.load
	OnEvent          func(string)  // called with each line of the event log
	// RunInstead runs in place of the seeded callers and faults. When it returns, all remaining faults are ended.
	RunInstead func(d *Day)
	// AgentsRunSchedulers has agents start and stop the scheduler processes. Seeded days then include operations and halts.
	AgentsRunSchedulers bool
	// RunUntilCancelled keeps the day running until ctx is done, without checks at the end, for a demonstration.
	RunUntilCancelled bool
}

// Report is the result of a day.
type Report struct {
	Seed              uint64
	Violations        []string // violations of what a day checks, at most 50 plus those of txns
	Answered          int      // commands and reads that were answered
	AcknowledgedByAll int      // workers taken out with an acknowledgement of every scheduler
	Unanswered        int      // commands that were never answered
	Events            []string // the event log: injected faults and operators' actions, with seconds since the start
	Postings          int      // that workers received
	MostOut           int      // the most schedulers out of service at once on purpose, by the lab's own health checks
	RecoverySeconds   float64  // seconds from the end of faults until every scheduler had the workers out that the record has out
}

// day is a running day.
type day struct {
	opt       Options
	ctx       context.Context
	dir       string
	random    *rand.Rand // used by the fault loop alone
	startedAt time.Time  // when all schedulers served
	agents    []*agentProcess
	live      *live.Fleet
	links     map[string]*relay // by caller and callee: "a0>a1", "a0>s3"; "a0>s3'" for s3's second process in an upgrade
	http      *http.Client      // for calls of the lab itself, with a timeout of 1 s

	mu             sync.Mutex // guards the fields below that are not atomic; history has a mutex of its own
	report         Report
	history        history
	lastVoterID    uint64                 // the last id given to a replacing voter
	replacing      map[int]bool           // by agent index: voters whose replacement is under way
	workerLocks    map[string]*sync.Mutex // by worker
	commandNumbers map[string]uint64      // by caller: the number of its last command
	// exclusiveFault is set during a fault that delays calls of an owner or cuts one off: two at once would undo each other's
	// change of a worker.
	exclusiveFault   atomic.Bool
	limits           []fleet.Limit // in force, see SetLimits
	haltWindows      []haltWindow
	operatorCommands int         // commands that operators sent, which numbers them
	callersPaused    atomic.Bool // callers send nothing meanwhile
}

// Day is a running day, for Options.RunInstead.
type Day struct{ *day }

// leaseTerm is how long a lease lasts without renewal. On every third seed it is longer than the election of a
// leader takes.
func (d *day) leaseTerm() time.Duration {
	if d.opt.Seed%3 == 0 || d.opt.PlantedBug == "new-leader-hurries" {
		return 4 * time.Second
	}
	return time.Second
}

// setDefaults sets the fields that are zero.
func (o *Options) setDefaults() {
	if o.Voters == 0 {
		o.Voters = 3
	}
	o.Agents = max(o.Agents, o.Voters)
	if o.PlantedBug == "new-leader-hurries" {
		o.Agents = max(o.Agents, o.Voters+2) // the bug shows when an owner that is no voter is cut off and a majority of voters is left
	}
	if o.Schedulers == 0 {
		o.Schedulers = 4
	}
	if o.Workers == 0 {
		o.Workers = 9
	}
	if o.FaultDuration == 0 {
		o.FaultDuration = 8 * time.Second
	}
	if o.Load == 0 {
		o.Load = 0.4
		if o.AgentsRunSchedulers { // there may be twice as many scheduler processes, which share this machine's cores
			o.Load = 0.25
		}
	}
}

// planFormat is the lab's plan of a day in TOML: length, number of schedulers, number of workers and load are filled in.
const planFormat = `name = "cluster"
length = %q
[schedulers]
count = %d
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
count = %d
cores = 2
slots = 2
queue = 4
[cold]
for = "2s"
[clients]
load = %g
arrivals = "poisson"
tries = 2
backoff = "100ms"
front_lag = "300ms"
[discovery]
lag = "20ms"
`

// recoveryTimeout bounds how long the record may be out of reach: voters are replaced and owners change meanwhile.
// Schedulers then have another 10 s to agree with the record.
const recoveryTimeout = 30 * time.Second

// Run runs one day and returns its report. An error means that the day could not be run; violations are in
// Report.Violations.
func Run(ctx context.Context, opt Options) (*Report, error) {
	opt.setDefaults()
	var err error
	if opt.Dir, err = filepath.Abs(opt.Dir); err != nil {
		return nil, err
	}
	d := &day{opt: opt, ctx: ctx, dir: opt.Dir, random: rand.New(rand.NewPCG(opt.Seed, 7)), links: map[string]*relay{},
		http: agent.NewHTTP(nil, time.Second), replacing: map[int]bool{}, workerLocks: map[string]*sync.Mutex{}, commandNumbers: map[string]uint64{},
		lastVoterID: 100, report: Report{Seed: opt.Seed}}
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return nil, err
	}
	length := opt.FaultDuration
	if opt.AgentsRunSchedulers && opt.RunInstead == nil {
		length += 15 * time.Second // load goes on while restoreService brings every member back
	}
	if opt.RunUntilCancelled {
		length = time.Hour
	}
	p, err := plan.Parse(fmt.Appendf(nil, planFormat, length.String(), opt.Schedulers, opt.Workers, opt.Load))
	if err != nil {
		return nil, err
	}
	if err := d.assignAddresses(); err != nil {
		return nil, err
	}
	defer d.close()
	for _, a := range d.agents {
		if opt.AgentsRunSchedulers {
			break // startAgents starts them, once the schedulers that they run are known
		}
		if err := a.start(); err != nil {
			return nil, err
		}
	}
	var runErr error
	result, err := live.Run(d.ctx, p, opt.Seed, live.Options{Program: opt.SchedulerProgram, Env: []string{"SHALEBEAM_BUG=" + opt.PlantedBug}, Dir: filepath.Join(d.dir, "schedulers"),
		Agent:       func(index int) string { return d.agents[index%len(d.agents)].file.Listen },
		ProcessMark: d.environmentMark(), AgentLogDir: d.dir, StartSchedulers: d.startAgents, WasToldToStop: d.toldToEnd,
		Fleet: func(f *live.Fleet) func() {
			d.live = f
			done := make(chan struct{})
			go func() {
				defer close(done)
				runErr = d.run()
			}()
			return func() { <-done }
		}})
	if err != nil && !opt.RunUntilCancelled {
		return nil, err
	}
	if runErr != nil {
		return nil, runErr
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if result != nil {
		d.report.Postings = result.Postings
		unsure := d.unsureLives()
		for _, b := range result.Violations {
			if text := b.String(); !strings.Contains(text, "staff took it out") || !unsure.MatchString(text) {
				d.report.Violations = append(d.report.Violations, "txns: "+text)
			}
		}
	}
	return &d.report, nil
}

// assignAddresses gives every agent its address, configuration and data directory, and a relay to each agent that it calls.
func (d *day) assignAddresses() error {
	var voters []agent.VoterConfig
	for i := range d.opt.Agents {
		addr, err := live.FreeAddr()
		if err != nil {
			return err
		}
		p := &agentProcess{d: d, index: i, file: agent.Config{Name: fmt.Sprint("a", i), Zone: []string{"a", "b"}[i%2], Listen: addr,
			Term: agent.Duration(d.leaseTerm()), Via: map[string]string{}}}
		p.file.Data = filepath.Join(d.dir, p.file.Name)
		d.agents = append(d.agents, p)
		if i < d.opt.Voters {
			voters = append(voters, agent.VoterConfig{ID: uint64(i + 1), Name: p.file.Name, Addr: addr})
		}
	}
	for _, p := range d.agents {
		p.file.Voters = slices.Clone(voters)
		for _, o := range d.agents {
			// With more than 30 agents, each has relays to the voters alone, as agents ask only those for the record.
			if o == p || d.opt.Agents > 30 && o.index >= d.opt.Voters {
				continue
			}
			if err := d.addRelay(p, o.file.Name, o.file.Listen); err != nil {
				return err
			}
		}
	}
	return nil
}

// addRelay has calls of an agent to a process at addr go through a new relay, which d.links lists as "agent>name".
func (d *day) addRelay(p *agentProcess, name, addr string) error {
	r, err := newRelay(addr)
	if err != nil {
		return err
	}
	d.links[p.file.Name+">"+name] = r
	p.file.Via[addr] = r.addr()
	return nil
}

// close kills all agents and closes all relays.
func (d *day) close() {
	for _, p := range d.agents {
		p.kill()
	}
	for _, r := range d.links {
		r.close()
	}
}

// logEvent adds a line to the event log, with the seconds since the day's start.
func (d *day) logEvent(format string, args ...any) {
	text := fmt.Sprintf("%6.2f ", time.Since(d.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	d.report.Events = append(d.report.Events, text)
	d.mu.Unlock()
	if d.opt.OnEvent != nil {
		d.opt.OnEvent(text)
	}
}

// reportBreak records a violation of what a day checks; beyond 50 they are dropped.
func (d *day) reportBreak(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.report.Violations) < 50 {
		d.report.Violations = append(d.report.Violations, fmt.Sprintf(format, args...))
	}
}

// run goes through the phases of a day once all schedulers serve: it adds the schedulers to the agents' configurations, runs
// callers and faults, ends the faults, waits for recovery and runs the checks.
func (d *day) run() error {
	d.startedAt = time.Now()
	for i, m := range d.live.Schedulers() {
		if d.opt.AgentsRunSchedulers {
			break
		}
		for _, p := range d.agents {
			if err := d.addRelay(p, m.ID, m.ManagementAddr); err != nil {
				return err
			}
		}
		p := d.agents[i%len(d.agents)]
		p.file.Schedulers = append(p.file.Schedulers, agent.SchedulerConfig{ID: m.ID, Zone: m.Zone, Addr: m.ManagementAddr})
	}
	for _, p := range d.agents {
		if d.opt.AgentsRunSchedulers {
			break
		}
		p.kill() // restarted with the schedulers in its configuration
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := d.waitFor(20*time.Second+time.Duration(d.opt.Agents)*300*time.Millisecond, "every scheduler on record, every zone owned", func() error {
		r, err := d.readRecord(d.ctx)
		if err != nil {
			return err
		}
		if n := len(r.MembersOfKind("scheduler")); n < d.opt.Schedulers {
			return fmt.Errorf("%d schedulers on record", n)
		}
		for _, z := range r.ZonesWithWork() {
			if r.Leases[fleet.ZoneLease(z)].Owner == "" {
				return fmt.Errorf("zone %s has no owner", z)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(d.ctx)
	go d.replaceFailedVoters()
	if d.opt.AgentsRunSchedulers {
		go d.checkLimitsContinuously()
		go d.runWorkerRenewals()
	}
	var callers sync.WaitGroup
	if d.opt.RunUntilCancelled {
		if d.opt.RunInstead != nil {
			d.opt.RunInstead(&Day{d})
		}
		<-d.ctx.Done()
		stop()
		return nil
	}
	if d.opt.RunInstead != nil {
		d.opt.RunInstead(&Day{d})
	} else {
		for i := range 5 {
			callers.Go(func() { d.runCaller(ctx, i) })
		}
		if d.opt.AgentsRunSchedulers {
			callers.Go(func() { d.runOperators(ctx) })
		}
		d.injectFaults()
	}
	stop()
	d.endFaults()
	callers.Wait()
	healed := time.Now()
	err := d.waitFor(recoveryTimeout, "the record in reach", func() error {
		_, err := d.readRecord(d.ctx)
		return err
	})
	if err != nil {
		d.reportBreak("%v", err)
		return nil
	}
	if d.opt.AgentsRunSchedulers && d.opt.RunInstead == nil {
		d.restoreService()
	}
	// A new leader waits for one lease term and a new owner for another; schedulers then agree within ten seconds.
	if err := d.waitFor(3*d.leaseTerm()+10*time.Second, "every scheduler knows who is out", d.schedulersMatchRecord); err != nil {
		d.reportBreak("%v", err)
	}
	d.report.RecoverySeconds = time.Since(healed).Seconds()
	d.checkDay()
	return nil
}

// waitFor calls condition every 50 ms until it returns nil, or returns its last error, with what was waited for, after timeout.
func (d *day) waitFor(timeout time.Duration, what string, condition func() error) error {
	var err error
	for end := time.Now().Add(timeout); time.Now().Before(end) && d.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if err = condition(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("not in %v: %s: %w", timeout, what, err)
}

// agentAddrs lists the addresses of all agents, shuffled by r unless that is nil.
func (d *day) agentAddrs(r *rand.Rand) (all []string) {
	for _, p := range d.agents {
		all = append(all, p.file.Listen)
	}
	if r != nil {
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	return all
}

// readRecord reads the record from the first agent that answers; the read is linearizable.
func (d *day) readRecord(ctx context.Context) (*fleet.Record, error) {
	var raw json.RawMessage
	if err := (&agent.Caller{HTTP: d.http, Addrs: d.agentAddrs(nil)}).Get(ctx, "/v1/read", &raw); err != nil {
		return nil, err
	}
	r := fleet.NewRecord()
	return r, r.Restore(raw)
}

// schedulersMatchRecord checks that every scheduler has exactly those workers out that the record has out.
func (d *day) schedulersMatchRecord() error {
	r, err := d.readRecord(d.ctx)
	if err != nil {
		return err
	}
	want := r.WorkersOut("")
	for i, m := range d.live.Schedulers() {
		state, err := d.schedulerState(i)
		if got := slices.Sorted(maps.Keys(state.Out)); err != nil || !slices.Equal(got, want) {
			return fmt.Errorf("%s has out %v, the record %v", m.ID, got, want)
		}
	}
	return nil
}

// ---- callers ----

// workerLock returns the mutex under which one caller at a time changes a worker. With two at once it would be unknown from
// when on no new posting may reach the worker.
func (d *day) workerLock(worker string) *sync.Mutex {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workerLocks[worker] == nil {
		d.workerLocks[worker] = &sync.Mutex{}
	}
	return d.workerLocks[worker]
}

// runCaller sends random changes and reads until ctx is done.
func (d *day) runCaller(ctx context.Context, caller int) {
	r := rand.New(rand.NewPCG(d.opt.Seed, uint64(100+caller)))
	var workers []string
	for id := range d.live.Workers() {
		workers = append(workers, id)
	}
	slices.Sort(workers)
	workers = workers[min(2, len(workers)-1):] // delayCallPastNewer changes the first worker of each of the two zones
	workers = workers[:max(len(workers)/3, 1)]
	for ctx.Err() == nil {
		time.Sleep(time.Duration(20+r.IntN(150)) * time.Millisecond)
		if d.callersPaused.Load() {
			continue
		}
		switch r.IntN(5) {
		case 0, 1: // a worker that exists in the record alone, which several callers may change at once
			worker := fmt.Sprint("x", r.IntN(2))
			d.ChangeIntent(caller, worker, "a", []string{"out", "in"}[r.IntN(2)], d.agentAddrs(r))
		case 2, 3:
			worker := workers[r.IntN(len(workers))]
			d.SetWorkerOut(caller, worker, r.IntN(5) < 3, d.agentAddrs(r), 2*time.Second)
		case 4:
			d.ReadIntent(caller, fmt.Sprint("x", r.IntN(2)), d.agentAddrs(r))
		}
	}
}

// ChangeIntent writes the intent "out" or "in" for a worker to the record. It retries the same command (the same caller and
// number, so it is applied once) at the agents of addrs in turn for up to recoveryTimeout, and returns false if it was never
// answered.
func (d *day) ChangeIntent(caller int, worker, zone, do string, addrs []string) (fleet.CommandResult, bool) {
	d.mu.Lock()
	name := fmt.Sprint("caller", caller)
	d.commandNumbers[name]++
	c := fleet.Command{FormatVersion: 1, Caller: name, Number: d.commandNumbers[name], Verb: do, ID: worker, Zone: zone, By: name,
		Reason: fmt.Sprint(name, " ", d.commandNumbers[name]), Force: true}
	d.mu.Unlock()
	call := d.history.startCall(caller, worker, do)
	var a fleet.CommandResult
	err := errors.New("not asked")
	for end := time.Now().Add(recoveryTimeout); err != nil && time.Now().Before(end) && d.ctx.Err() == nil; {
		ctx, stop := context.WithTimeout(d.ctx, 2*time.Second)
		a, err = (&agent.Caller{HTTP: d.http, Addrs: addrs}).Do(ctx, c)
		stop()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.report.Unanswered++
		call.leaveOpen()
		return a, false
	}
	d.report.Answered++
	call.finish(a.Applied, false)
	return a, true
}

// SetWorkerOut takes a worker out of use or back into it. After taking it out it waits, up to timeout, until every scheduler
// has acknowledged that; from then on no new posting may reach the worker, and it returns true.
func (d *day) SetWorkerOut(caller int, worker string, out bool, addrs []string, timeout time.Duration) bool {
	lock := d.workerLock(worker)
	lock.Lock()
	defer lock.Unlock()
	if !out {
		d.live.RecordWithdrawn(worker, false) // schedulers may use it again as soon as the command is sent
		_, ok := d.ChangeIntent(caller, worker, d.live.Workers()[worker], "in", addrs)
		return ok
	}
	a, ok := d.ChangeIntent(caller, worker, d.live.Workers()[worker], "out", addrs)
	if !ok || !a.Applied {
		return false
	}
	for end := time.Now().Add(timeout); time.Now().Before(end) && d.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if d.AllAcknowledged(worker, addrs) {
			d.live.RecordWithdrawn(worker, true)
			d.mu.Lock()
			d.report.AcknowledgedByAll++
			d.mu.Unlock()
			return true
		}
	}
	return false
}

// AllAcknowledged asks an agent whether every scheduler has acknowledged that a worker is out.
func (d *day) AllAcknowledged(worker string, addrs []string) bool {
	ctx, stop := context.WithTimeout(d.ctx, time.Second)
	defer stop()
	var confirmations agent.Confirmations
	if err := (&agent.Caller{HTTP: d.http, Addrs: addrs}).Get(ctx, "/v1/told?worker="+worker, &confirmations); err != nil || !confirmations.Intent.Out ||
		len(confirmations.Schedulers) < d.opt.Schedulers {
		return false
	}
	for _, row := range confirmations.Schedulers {
		if row.State != fleet.AckDone {
			return false
		}
	}
	return true
}

// ReadIntent reads a worker's intent from the record and adds the read to the history. A read must see every change that was
// answered before it began.
func (d *day) ReadIntent(caller int, worker string, addrs []string) {
	call := d.history.startCall(caller, worker, "read")
	ctx, stop := context.WithTimeout(d.ctx, 2*time.Second)
	defer stop()
	var raw json.RawMessage
	r := fleet.NewRecord()
	if err := (&agent.Caller{HTTP: d.http, Addrs: addrs}).Get(ctx, "/v1/read", &raw); err != nil || r.Restore(raw) != nil {
		call.discard()
		return
	}
	d.mu.Lock()
	d.report.Answered++
	d.mu.Unlock()
	call.finish(true, r.Intents[worker].Out)
}

// ---- faults ----

// randomLinks picks an agent at random and returns one, half or all of its outgoing links, mixed with some incoming ones.
func (d *day) randomLinks(r *rand.Rand) []*relay {
	var names []string
	agentName := fmt.Sprint("a", r.IntN(len(d.agents)))
	for name := range d.links {
		if strings.HasPrefix(name, agentName+">") || strings.HasSuffix(name, ">"+agentName) && r.IntN(2) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var picked []*relay
	part := r.IntN(3) // 0: one link, 1: half of them, 2: all of them
	for i, name := range names {
		if part == 2 || part == 1 && i%2 == 0 || part == 0 && i == 0 {
			picked = append(picked, d.links[name])
		}
	}
	d.logEvent("%d links of %s fail", len(picked), agentName)
	return picked
}

// injectFaults starts the seed's faults at random times, so that they overlap, and waits until the last one is over. The disk
// of one voter alone may fail in a day: if two disks lose what they acknowledged, commits may be lost and no guarantee holds.
func (d *day) injectFaults() {
	end := d.startedAt.Add(d.opt.FaultDuration)
	if d.opt.NoFaults {
		time.Sleep(time.Until(end))
		return
	}
	var running sync.WaitGroup
	victim := d.random.IntN(d.opt.Voters)
	diskFailed := false
	for time.Now().Before(end) && d.ctx.Err() == nil {
		time.Sleep(time.Duration(100+d.random.IntN(700)) * time.Millisecond)
		left := time.Until(end)
		if left < 500*time.Millisecond {
			break
		}
		duration := min(time.Duration(200+d.random.IntN(3000))*time.Millisecond, left)
		p := d.agents[d.random.IntN(len(d.agents))]
		r := rand.New(rand.NewPCG(d.random.Uint64(), 3))
		kinds := 15
		if d.opt.AgentsRunSchedulers {
			kinds = 18
		}
		kind := d.random.IntN(kinds)
		if d.opt.PlantedBug != "" && d.random.IntN(4) > 0 {
			kind = d.faultForBug()
		}
		running.Go(func() {
			switch kind {
			case 0, 1, 2:
				mode := []LinkMode{LinkStalled, LinkReset, LinkSlow}[kind]
				there, back := mode, mode
				switch r.IntN(3) {
				case 0:
					back = LinkUp
				case 1:
					there = LinkUp
				}
				d.logEvent("link mode %d there, %d back for %v", there, back, duration)
				links := d.randomLinks(r)
				for _, l := range links {
					l.setMode(there, back)
				}
				d.sleep(duration)
				for _, l := range links {
					l.setMode(LinkUp, LinkUp)
				}
			case 3:
				d.logEvent("%s is killed for %v", p.file.Name, duration/2)
				p.kill()
				d.sleep(duration / 2)
				_ = p.start()
			case 4, 5:
				pause := min(duration, 3*d.leaseTerm())
				d.logEvent("%s is paused for %v", p.file.Name, pause)
				p.pause(pause)
				d.sleep(pause)
			case 6:
				n := r.IntN(d.opt.Schedulers)
				d.logEvent("scheduler s%d is killed", n)
				d.live.Kill(n, min(duration, time.Second))
				d.sleep(time.Second)
			case 7:
				n := r.IntN(d.opt.Schedulers)
				d.logEvent("scheduler s%d is paused", n)
				d.live.Pause(n, min(duration, time.Second))
				d.sleep(time.Second)
			case 8:
				rate := []float64{0.9, 1.1}[r.IntN(2)]
				d.logEvent("the clock of %s runs at %g times its rate and its wall clock jumps", p.file.Name, rate)
				p.setFaults(map[string]any{"Rate": rate, "Jump": float64(r.IntN(120000) - 60000)})
				d.sleep(duration)
				p.setFaults(map[string]any{"Rate": rate})
			case 9:
				d.logEvent("several agents are killed at once")
				for _, o := range d.agents {
					if r.IntN(3) > 0 {
						o.kill()
					}
				}
				d.sleep(duration / 3)
				for _, o := range d.agents {
					_ = o.start()
				}
			case 11:
				d.delayOwnerCalls([]string{"a", "b"}[r.IntN(2)], max(duration, 2*d.leaseTerm()))
			case 12, 13:
				d.delayCallPastNewer(r, kind == 13)
			case 14:
				d.killLeaderAfterRenewal(duration)
			case 15:
				d.failZone([]string{"a", "b"}[r.IntN(2)], duration/2)
			case 16:
				d.fillOwnerDisk(duration)
			case 17:
				d.logEvent("discovery reports changes of workers 2 s later for %v", duration)
				d.live.DelayDiscovery(2000, duration)
				d.sleep(duration)
			case 10:
				d.mu.Lock()
				first := !diskFailed
				diskFailed = true
				d.mu.Unlock()
				if first {
					d.injectDiskFault(d.agents[victim], r, duration)
				}
			}
		})
	}
	running.Wait()
}

// delayOwnerCalls holds back the calls of a zone's owner to schedulers, then cuts the owner off from the other agents for
// duration, which is at least two lease terms, so that another agent takes over the zone. The delayed calls arrive after that
// with an outdated fencing token.
func (d *day) delayOwnerCalls(zone string, duration time.Duration) {
	owner, _ := d.Owner(zone)
	if owner < 0 {
		return
	}
	d.logEvent("calls of a%d to schedulers are delayed, then it is cut off from the agents for %v", owner, duration)
	name := fmt.Sprint("a", owner)
	for link, l := range d.links {
		if strings.HasPrefix(link, name+">s") {
			l.setMode(LinkStalled, LinkStalled)
		}
	}
	d.sleep(500 * time.Millisecond)
	for link, l := range d.links {
		if strings.HasPrefix(link, name+">a") {
			l.setMode(LinkReset, LinkReset)
		}
	}
	d.sleep(duration)
	(&Day{d}).SetLinks(owner, LinkUp, LinkUp)
}

// delayCallPastNewer holds a zone owner's call to one scheduler ("worker in") in its connection while newer calls of that owner
// ("worker out") pass on other connections. The old call arrives after every scheduler has acknowledged the newer change or,
// with restart, right after the scheduler was restarted and before the owner has noticed that. The scheduler must ignore it.
func (d *day) delayCallPastNewer(r *rand.Rand, restart bool) {
	if !d.exclusiveFault.CompareAndSwap(false, true) {
		return
	}
	defer d.exclusiveFault.Store(false)
	// A caller number that no other call uses: two at once under one number would send its commands out of order.
	zone, caller := []string{"a", "b"}[r.IntN(2)], 1000+r.IntN(1e6)
	owner, _ := d.Owner(zone)
	var workers []string
	for id, z := range d.live.Workers() {
		if z == zone {
			workers = append(workers, id)
		}
	}
	slices.Sort(workers)
	// The zone's first worker: an owner sends workers in the order of their ids, and the delayed call must be about this one.
	worker, s, addrs := workers[0], r.IntN(d.opt.Schedulers), d.agentAddrs(r)
	if owner < 0 || !d.SetWorkerOut(caller, worker, true, addrs, 5*time.Second) {
		return
	}
	d.logEvent("a call of a%d to s%d about %s is delayed in its connection and newer ones pass (s%d is restarted: %t)", owner, s, worker, s, restart)
	l := d.links[fmt.Sprintf("a%d>s%d", owner, s)]
	d.callersPaused.Store(true) // an owner has one call at a time in flight to a scheduler: it must be the one about this worker
	defer d.callersPaused.Store(false)
	d.sleep(500 * time.Millisecond)
	l.setMode(LinkStalled, LinkStalled)
	d.SetWorkerOut(caller, worker, false, addrs, 0)
	d.sleep(300 * time.Millisecond)
	d.callersPaused.Store(false)
	d.sleep(1200 * time.Millisecond)
	l.holdOpenConns()
	acknowledged := d.SetWorkerOut(caller, worker, true, addrs, 6*time.Second)
	if acknowledged && restart {
		d.live.Kill(s, 50*time.Millisecond)
		d.sleep(60 * time.Millisecond)
		acknowledged = d.waitFor(2*time.Second, "", func() error { return d.checkReady(s) }) == nil
	}
	l.releaseConns()
	for range 40 {
		d.sleep(50 * time.Millisecond)
		if state, err := d.schedulerState(s); acknowledged && err == nil && state.Out[worker] == "" && !strings.Contains(d.unsureLives().String(), fmt.Sprintf(`s%d\.`, s)) {
			d.reportBreak("s%d has %s in use, though all said yes to its being out", s, worker)
			break
		}
	}
	d.SetWorkerOut(caller, worker, false, addrs, 0)
}

// schedulerState is what a scheduler answers to GET /ops/fence.
type schedulerState struct {
	Fences map[string]uint64 // by lease: the highest fencing token that it has seen
	Out    map[string]string // by worker, for those that it has out
}

// schedulerState asks a scheduler which workers it has out and which fencing tokens are in force there.
func (d *day) schedulerState(s int) (state schedulerState, err error) {
	addrs := []string{d.Scheduler(s).ManagementAddr}
	if d.opt.AgentsRunSchedulers { // during and after an upgrade its process may listen at the second address
		addrs = append(addrs, d.live.ManagedSchedulers()[s].UpgradeAddr)
	}
	return state, (&agent.Caller{HTTP: d.http, Addrs: addrs}).Get(d.ctx, "/ops/fence", &state)
}

// checkReady returns an error unless a scheduler's readiness endpoint answers 200.
func (d *day) checkReady(s int) error {
	response, err := d.http.Get("http://" + d.Scheduler(s).ManagementAddr + "/ops/readiness")
	if err == nil {
		if response.Body.Close(); response.StatusCode != 200 {
			err = fmt.Errorf("readiness of s%d: got status %d, expected 200", s, response.StatusCode)
		}
	}
	return err
}

// killLeaderAfterRenewal kills the leader while an owner that has just renewed its lease is cut off from all agents. The lease
// is still valid and the next leader can't know when it was renewed, so it must wait for a whole term before a new claim.
func (d *day) killLeaderAfterRenewal(duration time.Duration) {
	last, leader := len(d.agents)-1, d.leader()
	if last < d.opt.Voters || leader < 0 || !d.exclusiveFault.CompareAndSwap(false, true) {
		return
	}
	defer d.exclusiveFault.Store(false)
	zone := d.agents[last].file.Zone
	_, _ = d.SendCommand(leader, fleet.Command{Caller: fmt.Sprint("lab", time.Now().UnixNano()), Number: 1, Verb: "want", Lease: fleet.ZoneLease(zone),
		Owner: d.agents[last].file.Name, By: "lab"})
	if d.waitFor(2*d.leaseTerm(), "", func() error {
		if owner, _ := d.Owner(zone); owner != last {
			return errors.New("not yet")
		}
		return nil
	}) != nil {
		return
	}
	d.logEvent("a%d, the leader, is killed; a%d, the owner of zone %s, is cut off from the agents", leader, last, zone)
	owner := d.agents[last].file.Name
	for link, l := range d.links {
		if from, to, _ := strings.Cut(link, ">"); from == owner && to[0] == 'a' || to == owner {
			l.setMode(LinkReset, LinkReset)
		}
	}
	d.agents[leader].kill()
	d.sleep(max(duration, 2*d.leaseTerm()))
	(&Day{d}).SetLinks(last, LinkUp, LinkUp)
	_ = d.agents[leader].start()
}

// leader returns the index of the agent that says it is the leader, -1 if none does.
func (d *day) leader() int {
	for i, p := range d.agents {
		var s agent.Status
		if (&agent.Caller{HTTP: d.http, Addrs: []string{p.file.Listen}}).Get(d.ctx, "/v1/status", &s) == nil && s.IsLeader {
			return i
		}
	}
	return -1
}

// faultForBug returns the kind of fault, as numbered in injectFaults, that makes the planted bug show.
func (d *day) faultForBug() int {
	switch d.opt.PlantedBug {
	case "no-fence", "not-closed":
		return 11
	case "wall-clock":
		return 8
	case "new-leader-hurries":
		return 14
	case "yes-before-sync":
		return 9
	case "old-disk-votes", "torn-whole":
		return 10
	case "stale-read":
		return []int{1, 4}[d.random.IntN(2)]
	case "retry-twice":
		return 0
	case "restart-untold":
		return 6
	case "former-start":
		return 13
	case "no-change":
		return 12
	}
	return 0
}

// sleep waits for a time, or until the day is cancelled.
func (d *day) sleep(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-d.ctx.Done():
	}
}

// injectDiskFault injects a random fault into a voter's disk, then starts the voter again if the fault has ended it.
func (d *day) injectDiskFault(p *agentProcess, r *rand.Rand, duration time.Duration) {
	kind := r.IntN(6)
	d.logEvent("the disk of %s: %s", p.file.Name, []string{"syncs report success without writing, then it is killed",
		"an older copy is restored", "a torn tail", "a flipped bit", "syncs fail", "syncs take 5 s"}[kind])
	switch kind {
	case 0:
		p.setFaults(map[string]any{"LieSync": true})
		d.sleep(duration / 2)
		p.kill()
		p.setFaults(map[string]any{})
	case 1:
		old := p.readLog()
		d.sleep(duration / 2)
		p.kill()
		_ = p.writeLog(old)
	case 2:
		p.kill()
		_ = p.corruptLog(func(raw []byte) []byte {
			tail := make([]byte, 1+r.IntN(60))
			for i := range tail {
				tail[i] = byte(r.IntN(4))
			}
			if r.IntN(2) == 0 || len(raw) < 200 {
				return append(raw, tail...)
			}
			clear(raw[len(raw)-1-r.IntN(24):]) // the file keeps its length and loses its last bytes
			return raw
		})
	case 3:
		p.kill()
		_ = p.corruptLog(func(raw []byte) []byte {
			raw[r.IntN(len(raw))] ^= 1 << r.IntN(8)
			return raw
		})
	case 4:
		p.setFaults(map[string]any{"FailSync": []string{"EIO", "ENOSPC"}[r.IntN(2)]})
		d.sleep(duration)
		p.setFaults(map[string]any{})
	case 5:
		p.setFaults(map[string]any{"SlowSync": 5000})
		d.sleep(duration)
		p.setFaults(map[string]any{})
	}
	d.sleep(200 * time.Millisecond)
	_ = p.start()
}

// agentExited handles an agent that exited without being killed. One that was replaced by another voter stays down, one whose
// disk failed is started again, and any other exit is a violation.
func (d *day) agentExited(p *agentProcess) {
	text := p.tail(3)
	switch {
	case strings.Contains(text, "was replaced by another"):
		d.logEvent("%s stopped: it was replaced by another voter", p.file.Name)
	case strings.Contains(text, "input/output") || strings.Contains(text, "no space"):
		d.logEvent("%s stopped: its disk failed", p.file.Name)
		time.AfterFunc(500*time.Millisecond, func() { _ = p.start() })
	default:
		d.reportBreak("%s ended by itself: %s", p.file.Name, text)
	}
}

// replaceFailedVoters polls all agents and replaces those voters that report that their disk lacks what they acknowledged.
func (d *day) replaceFailedVoters() {
	for d.ctx.Err() == nil {
		d.sleep(300 * time.Millisecond)
		for _, p := range d.agents {
			var s agent.Status
			err := (&agent.Caller{HTTP: d.http, Addrs: []string{p.file.Listen}}).Get(d.ctx, "/v1/status", &s)
			d.mu.Lock()
			found := err == nil && s.DiskBehind && !d.replacing[p.index]
			if found {
				d.replacing[p.index] = true
			}
			d.mu.Unlock()
			if found {
				d.logEvent("%s reports that its disk is behind and is replaced", p.file.Name)
				go d.replaceVoter(p)
			}
		}
	}
}

// replaceVoter replaces a voter whose disk can't be trusted, as an operator would: it has the record add a new voter id at the
// same address and remove the old one, deletes the disk and starts the agent under the new id.
func (d *day) replaceVoter(p *agentProcess) {
	d.mu.Lock()
	d.lastVoterID++
	id := d.lastVoterID
	d.mu.Unlock()
	var oldID uint64
	for i := range p.file.Voters {
		if p.file.Voters[i].Name == p.file.Name {
			oldID = p.file.Voters[i].ID
		}
	}
	changeVoters := func() bool {
		body, _ := json.Marshal(map[string]any{"add": id, "addr": p.file.Listen, "remove": oldID})
		for _, a := range d.agents {
			if a == p {
				continue
			}
			request, err := http.NewRequestWithContext(d.ctx, "POST", "http://"+a.file.Listen+"/v1/voters", strings.NewReader(string(body)))
			if err != nil {
				return false
			}
			if response, err := d.http.Do(request); err == nil {
				response.Body.Close()
			}
		}
		r, err := d.readRecord(d.ctx)
		return err == nil && r.Voters[id] == p.file.Listen
	}
	// The new voter is started even if its addition is not confirmed within 3 s: until it is added it only waits, and other
	// voters that start ask it.
	for end := time.Now().Add(3 * time.Second); !changeVoters() && time.Now().Before(end); d.sleep(200 * time.Millisecond) {
	}
	p.kill()
	p.mu.Lock()
	_ = os.RemoveAll(p.file.Data)
	for i := range p.file.Voters {
		if p.file.Voters[i].Name == p.file.Name {
			p.file.Voters[i].ID = id
		}
	}
	p.file.Joins, p.file.Replaces = true, oldID
	p.mu.Unlock()
	d.logEvent("%s is restarted as voter %d", p.file.Name, id)
	_ = p.start()
	for d.ctx.Err() == nil && !changeVoters() {
		d.sleep(500 * time.Millisecond)
	}
	d.mu.Lock()
	delete(d.replacing, p.index)
	d.mu.Unlock()
}

// endFaults ends all faults, resumes paused agents and starts those that are down.
func (d *day) endFaults() {
	for _, r := range d.links {
		r.setMode(LinkUp, LinkUp)
	}
	for _, p := range d.agents {
		p.setFaults(map[string]any{})
		p.signal(syscall.SIGCONT)
		_ = p.start()
	}
	d.logEvent("faults are over")
}

// PlantableBugs lists the bugs that can be planted in a build with the tag faults, to show that the checks find them.
var PlantableBugs = []string{"no-fence", "not-closed", "wall-clock", "new-leader-hurries", "yes-before-sync", "stale-read", "retry-twice",
	"old-disk-votes", "torn-whole", "restart-untold", "former-start", "no-change",
	"permit-dies", "zones-alone", "cold-in", "halt-at-owner", "back-unlimited", "step-twice", "gate-yesterday", "two-permits", "unreached-in", "stale-step"}

// Owner returns the index of the agent that owns a zone's lease by the record, -1 if none does, and the fencing token.
func (d *day) Owner(zone string) (index int, fence uint64) {
	r, err := d.readRecord(d.ctx)
	if err != nil {
		return -1, 0
	}
	m := r.Leases[fleet.ZoneLease(zone)]
	for i, p := range d.agents {
		if fleet.AgentOfOwner(m.Owner) == p.file.Name {
			return i, m.Fence
		}
	}
	return -1, m.Fence
}

// WaitUntil waits up to 20 s until condition is true, and reports a violation if it is not.
func (d *day) WaitUntil(what string, condition func() bool) {
	if err := d.waitFor(20*time.Second, what, func() error {
		if condition() {
			return nil
		}
		return errors.New("not yet")
	}); err != nil {
		d.reportBreak("%v", err)
	}
}

// ReportBreak records a violation that a test found.
func (d *day) ReportBreak(format string, args ...any) { d.reportBreak(format, args...) }

// AddrOf returns the address of one agent, as the list that an agent.Caller takes.
func (d *day) AddrOf(index int) []string { return []string{d.agents[index].file.Listen} }

// WorkerIn returns a zone's first worker, "" if it has none.
func (d *day) WorkerIn(zone string) string {
	all := d.live.Workers()
	for _, id := range slices.Sorted(maps.Keys(all)) {
		if all[id] == zone {
			return id
		}
	}
	return ""
}

// Scheduler returns a scheduler's addresses and the path of its log.
func (d *day) Scheduler(index int) live.Member { return d.live.Schedulers()[index] }

// FenceKnownBy returns the highest fencing token of a lease that a scheduler says it has seen, 0 if it does not answer.
func (d *day) FenceKnownBy(scheduler int, leaseName string) uint64 {
	state, _ := d.schedulerState(scheduler)
	return state.Fences[leaseName]
}

// SendCommand sends one command to one agent, with a timeout of 4 s.
func (d *day) SendCommand(to int, c fleet.Command) (a fleet.CommandResult, err error) {
	ctx, stop := context.WithTimeout(d.ctx, 4*time.Second)
	defer stop()
	c.FormatVersion = fleet.FormatVersionOf(&c)
	return (&agent.Caller{HTTP: agent.NewHTTP(nil, 3*time.Second), Addrs: d.AddrOf(to)}).Do(ctx, c)
}
