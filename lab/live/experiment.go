// Package live runs an experiment plan in real time on loopback sockets, against real processes of the scheduler program.
// Workers and discovery are stand-ins behind real listeners, clients use real connections, and schedulers are really killed,
// stopped and reloaded. The model of a worker and the faults are those of the simulation, drawn from the same seed.
//
// Comments call this process the lab. It also plays the front, which chooses a scheduler for each attempt of a client among
// those that it takes for alive, and staff, here called operators, who take workers out of service.
//
// docs/lab.md lists the differences from the simulation. The main one: the kernel still accepts connections for a worker that
// has vanished, and nothing is ever sent on them.
package live

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"math"
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

	"shalebeam/balance"
	"shalebeam/lab/audit"
	"shalebeam/lab/load"
	"shalebeam/lab/machine"
	"shalebeam/lab/plan"
	"shalebeam/lab/script"
	"shalebeam/lab/tally"
)

// discardLog drops the messages of net/http about connections that faults broke.
var discardLog = log.New(io.Discard, "", 0)

const (
	lateAnswerLimitMs  = 250.0 // after its expiry a txn may be answered this late, because real machines pause
	stuckAnswerLimitMs = 250.0 // a txn for which nothing more can be done must be answered within this time

	drainGraceMarginMs = 50.0 // added to discovery's grace time after the announcement of a drain
	inTransitMs        = 50.0 // an event at one end of a connection may take so long to be noticed at the other end

	minLabDelayMs    = 5.0  // shorter delays of this process are not recorded
	labDelayMarginMs = 50.0 // a recorded delay also counts for spans that end or begin this close to it

	maintenanceRestartMs = 100.0 // from the beginning of a worker's maintenance to its restart
	stopNoticeMs         = 300.0 // from the signal to stop a scheduler until the front sends it no more clients
)

// Options are the settings of a run that are not part of the plan.
type Options struct {
	Program       string // path of the shalebeam program
	Dir           string // for configurations and logs; empty: a temporary directory, removed after the run
	KeepHistoryOf string // reference of the txn whose history is kept
	// Progress is called once a second with the share of the plan's length that has passed, from 0 to 1.
	Progress func(done float64)
	// OnEvent is called with a line of text for each begin and end of a fault and each end of a process.
	OnEvent func(text string)
	// Serving is called once all schedulers serve, with the address of one of them for clients and the name of a scheme.
	Serving        func(addr, scheme string)
	Outcome        func(j *load.Job) // called for each job that has ended
	ServeUnplanned bool              // workers also serve requests that are not part of the plan
	// Agent returns the address of a scheduler's agent, for the scheduler's configuration.
	Agent func(number int) string
	Env   []string // additional environment variables of the schedulers, as NAME=value
	// Fleet is called once all schedulers serve. The run calls the function that it returns, which may wait, before it ends
	// the schedulers.
	Fleet func(f *Fleet) (wait func())
	// ProcessMark is set where agents start the processes of the schedulers; the lab then starts none. The environment of
	// each process contains ProcessMark, followed by "|ID|" and two further fields, and so shows which scheduler it belongs
	// to. AgentLogDir is a directory with one subdirectory for each agent, in which its schedulers' logs are.
	// StartSchedulers makes the agents start the schedulers; it is called once all configurations are written.
	ProcessMark, AgentLogDir string
	StartSchedulers          func(f *Fleet) error
	WasToldToStop            func(pid int) bool // tells whether an agent has asked a process to stop
}

// Fleet gives access to a running experiment, for callers that act on it beyond what the plan says.
type Fleet struct{ exp *experiment }

// Member is a scheduler: its ID, its zone, its management address and the path of its log.
type Member struct{ ID, Zone, ManagementAddr, Log string }

// Schedulers lists the schedulers.
func (f *Fleet) Schedulers() (all []Member) {
	for _, s := range f.exp.schedulers {
		all = append(all, Member{s.id(), f.exp.plan.Schedulers.Zones[s.zone], s.managementAddr, s.logPath()})
	}
	return all
}

// Workers returns the zone of each worker by the worker's name.
func (f *Fleet) Workers() map[string]string {
	all := map[string]string{}
	for _, wk := range f.exp.workers {
		all[wk.Name] = f.exp.plan.Zones()[wk.Zone]
	}
	return all
}

// RecordWithdrawn tells the auditor that from now on no scheduler may send new postings to a worker, or, where out is
// false, that all may again.
func (f *Fleet) RecordWithdrawn(worker string, out bool) {
	for _, s := range f.exp.schedulers {
		f.exp.recordEvent(func(at float64) { f.exp.auditor.TakenOut(at, s.id(), worker, out) })
	}
}

// Kill sends SIGKILL to the processes of a scheduler. Unless agents run them, it starts the scheduler again after a delay, as
// on a new machine: the file in which it had stored which workers are out of service is removed.
func (f *Fleet) Kill(number int, downTime time.Duration) {
	s := f.exp.schedulers[number]
	if f.exp.options.ProcessMark != "" {
		s.signal(syscall.SIGKILL)
		return // the agent starts it again
	}
	if s.signal(syscall.SIGKILL) {
		time.AfterFunc(downTime, func() {
			_ = os.Remove(filepath.Join(f.exp.dir, "shalebeam-"+strings.ReplaceAll(s.clientAddr, ":", "-")+".out"))
			_ = s.start()
		})
	}
}

// DelayDiscovery makes discovery announce each change ms milliseconds later, for the given duration.
func (f *Fleet) DelayDiscovery(ms float64, duration time.Duration) {
	f.exp.discovery.applyFault(script.Action{Fault: "lag", Begin: true, Factor: ms})
	time.AfterFunc(duration, func() { f.exp.discovery.applyFault(script.Action{Fault: "lag", Factor: ms}) })
}

// Pause pauses a scheduler's processes with SIGSTOP and resumes them with SIGCONT after the given duration.
func (f *Fleet) Pause(number int, duration time.Duration) {
	s := f.exp.schedulers[number]
	if from, name := f.exp.nowMs(), s.processName(); s.signal(syscall.SIGSTOP) {
		time.AfterFunc(duration, func() {
			// Recorded before the events that follow SIGCONT.
			f.exp.recordEvent(func(at float64) { f.exp.auditor.SchedulerPaused(name, from, at) })
			s.signal(syscall.SIGCONT)
		})
	}
}

// experiment is one run of a plan.
type experiment struct {
	plan            *plan.Plan
	seed            uint64
	options         Options
	program         string
	dir             string
	ctx             context.Context
	stop            context.CancelFunc
	startTime       atomic.Pointer[time.Time] // replaced once all schedulers serve; atomic, because discovery reads it before that
	discovery       discovery
	relay           relay
	network         network
	schedulers      []*scheduler
	workers         []*worker
	closers         []func()
	auditor         *audit.Auditor
	result          *tally.Result
	mu              sync.Mutex
	jobsByReference map[string]*load.Job             // by the reference of each attempt
	postingCounts   map[string]int                   // by txn: postings that workers received
	auditEvents     []auditEvent                     // in the order in which they were recorded
	cancelFuncs     map[*load.Job]context.CancelFunc // each makes the job's client leave
	networkCuts     []*script.Cut                    // those in force
	cutsChanged     *sync.Cond                       // signalled when a cut ends
	openJobs        int                              // jobs whose clients are still running
	clients         sync.WaitGroup                   // running clients
	schemeRows      []balance.SchemeRow              // all schemes, followed by their twins
	settingsPhase   plan.RetunePhase                 // of a change of settings at run time: which schemes schedulers are given
	useTwinSchemes  bool                             // clients send their txns under the twins of the schemes
	withdrawals     map[string]int                   // by worker: how many maintenances have it out of service
	crashErr        error
	labDelays       [][2]float64 // when this process ran late and by how much, both in ms
}

// auditEvent is a call to the auditor. The calls are made once the run is over, sorted by time, because parts of the lab
// observe events at slightly different times, and a worker sees the end of a connection later than events that follow from it.
type auditEvent struct {
	atMs   float64
	report func(at float64)
}

// nowMs returns the time since the start of the run, in ms.
func (exp *experiment) nowMs() float64 {
	return float64(time.Since(*exp.startTime.Load())) / float64(time.Millisecond)
}

// wallClockMs returns the wall-clock time in ms since 1970.
func (exp *experiment) wallClockMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// recordEvent queues a call to the auditor with the present time.
func (exp *experiment) recordEvent(report func(at float64)) { exp.recordEventAt(exp.nowMs(), report) }

// recordEventAt queues a call to the auditor with a time in ms of the run.
func (exp *experiment) recordEventAt(at float64, report func(at float64)) {
	exp.mu.Lock()
	exp.auditEvents = append(exp.auditEvents, auditEvent{at, report})
	exp.mu.Unlock()
}

// network adds the delays and losses of the plan and of faults to what the loopback interface has.
type network struct {
	exp          *experiment
	mu           sync.Mutex
	random       *rand.Rand
	extraDelayMs float64 // through faults
	extraLoss    float64 // through faults: the probability that a message is lost
}

// drawLost draws at random whether a message is lost.
func (n *network) drawLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < 1-(1-n.exp.plan.Network.Loss)*(1-n.extraLoss)
}

// drawDelay draws at random how long a message is in transit. Each loss adds the time until the message is sent again.
func (n *network) drawDelay() time.Duration {
	ms := 0.0
	for n.drawLost() {
		ms += float64(n.exp.plan.Network.Resend)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ms += float64(n.exp.plan.Network.Delay) + n.extraDelayMs + float64(n.exp.plan.Network.Jitter)*n.random.Float64()
	return time.Duration(ms * float64(time.Millisecond))
}

// waitForLink blocks while a network cut separates a worker from the scheduler at the other end of a connection.
func (exp *experiment) waitForLink(conn *workerConn) {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	for exp.isCutLocked(script.Part{Kind: "workers", No: conn.worker.number}, script.Part{Kind: "schedulers", No: conn.schedulerNumber}) {
		exp.cutsChanged.Wait()
	}
}

// currentPhase returns which schemes schedulers are given now.
func (exp *experiment) currentPhase() plan.RetunePhase {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	return exp.settingsPhase
}

// isWithdrawn tells whether operators have a worker out of service.
func (exp *experiment) isWithdrawn(worker string) bool {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	return exp.withdrawals[worker] > 0
}

// isCutLocked tells whether a network cut separates two parts. exp.mu is held.
func (exp *experiment) isCutLocked(a, b script.Part) bool {
	return slices.ContainsFunc(exp.networkCuts, func(cut *script.Cut) bool { return cut.Between(a, b) })
}

// afterMs calls a function after a delay in ms, unless the run is over by then.
func (exp *experiment) afterMs(ms float64, do func()) {
	time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() {
		if exp.ctx.Err() == nil {
			do()
		}
	})
}

// jobByReference returns the job of an attempt, nil where the reference is unknown.
func (exp *experiment) jobByReference(ref string) *load.Job {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	return exp.jobsByReference[ref]
}

// recordPosting counts a posting that a worker has received whole, tells the auditor of it, and returns its number among the
// postings of its txn, from 0.
func (exp *experiment) recordPosting(arrivedMs float64, schedulerNumber int, wk *worker, ref string) int {
	exp.mu.Lock()
	number := exp.postingCounts[ref]
	exp.postingCounts[ref]++
	exp.result.Postings++
	exp.mu.Unlock()
	name := exp.schedulers[schedulerNumber].processName()
	exp.recordEventAt(arrivedMs, func(at float64) { exp.auditor.Posted(at, name, ref, number, wk.Name, wk.Zone, wk.Cell) })
	return number
}

// recordPostingEvent queues a call to the auditor about a posting that is part of the plan.
func (exp *experiment) recordPostingEvent(post *posting, report func(at float64)) {
	if !post.isGuest {
		exp.recordEvent(report)
	}
}

// guestJob makes a job of a request that is not part of the plan, for example one that a user sent with curl. The first
// element of its path is the scheme; it returns nil where the plan has no such scheme.
func (exp *experiment) guestJob(r *http.Request) *load.Job {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	i := slices.IndexFunc(exp.plan.Schemes, func(c plan.Scheme) bool { return c.Name == first })
	if i < 0 {
		return nil
	}
	return &load.Job{Scheme: i, Work: exp.plan.Schemes[i].Cost.ExpectedValue(), Slots: exp.plan.Schemes[i].Slots}
}

// recordPostingEnd tells the auditor of the outcome of a posting, as of beforeMs ago but not before it arrived.
func (exp *experiment) recordPostingEnd(post *posting, outcome balance.Outcome, beforeMs float64) {
	if post.isGuest {
		return
	}
	exp.recordEventAt(max(exp.nowMs()-beforeMs, post.arrivedMs), func(at float64) { exp.auditor.Ended(at, post.reference, post.number, outcome) })
}

// Run runs a plan with a seed. When ctx is done it stops early and marks the result as partial.
func Run(ctx context.Context, p *plan.Plan, seed uint64, opt Options) (*tally.Result, error) {
	exp := &experiment{plan: p, seed: seed, options: opt, program: opt.Program, dir: opt.Dir,
		result: tally.New(p, "adus", "sockets", seed), jobsByReference: map[string]*load.Job{}, postingCounts: map[string]int{},
		cancelFuncs: map[*load.Job]context.CancelFunc{}, schemeRows: p.AllSchemeRows(), withdrawals: map[string]int{}}
	created := time.Now()
	exp.startTime.Store(&created)
	exp.cutsChanged = sync.NewCond(&exp.mu)
	exp.network = network{exp: exp, random: load.Rand(seed, "network")}
	exp.ctx, exp.stop = context.WithCancel(ctx)
	defer exp.close()
	if exp.dir == "" {
		dir, err := os.MkdirTemp("", "beamlab-")
		if err != nil {
			return nil, err
		}
		exp.dir = dir
		defer os.RemoveAll(dir)
	}
	if err := os.MkdirAll(exp.dir, 0o755); err != nil {
		return nil, err
	}
	if err := exp.build(); err != nil {
		return nil, err
	}
	if err := exp.waitUntilServing(); err != nil {
		return nil, err
	}
	serving := time.Now()
	exp.startTime.Store(&serving)
	wait := func() {}
	if opt.Fleet != nil {
		wait = opt.Fleet(&Fleet{exp})
	}
	exp.playJobs(ctx)
	wait()
	exp.finish(ctx.Err() != nil)
	return exp.result, exp.crashErr
}

// watchLabDelay records when this process was scheduled late, as on a machine that runs many processes and has no core free
// for it. The auditor makes allowance for these delays.
func (exp *experiment) watchLabDelay() {
	const interval = 2 * time.Millisecond
	for at := time.Now(); exp.ctx.Err() == nil; at = time.Now() {
		time.Sleep(interval)
		exp.recordLabDelay(float64(time.Since(at)-interval) / 1e6)
	}
}

// recordLabDelay records by how many ms this process ran late, unless that is at most minLabDelayMs.
func (exp *experiment) recordLabDelay(delayMs float64) {
	if delayMs > minLabDelayMs {
		now := exp.nowMs()
		exp.mu.Lock()
		exp.labDelays = append(exp.labDelays, [2]float64{now, delayMs})
		exp.mu.Unlock()
	}
}

// maxLabDelayMs returns the longest delay in ms that was recorded for any part of a span, widened by labDelayMarginMs at both
// ends. exp.mu is held.
func (exp *experiment) maxLabDelayMs(from, to float64) (longest float64) {
	for _, delay := range exp.labDelays {
		if delay[0] > from-labDelayMarginMs && delay[0]-delay[1] < to+labDelayMarginMs {
			longest = max(longest, delay[1])
		}
	}
	return longest
}

// close kills all processes, ends network cuts so that nothing waits for them, and closes all listeners.
func (exp *experiment) close() {
	exp.stop()
	exp.mu.Lock()
	exp.networkCuts = nil
	exp.cutsChanged.Broadcast()
	exp.mu.Unlock()
	for _, s := range exp.schedulers {
		s.signal(syscall.SIGKILL)
	}
	for _, s := range exp.schedulers {
		s.waitEnded()
	}
	for _, f := range exp.closers {
		f()
	}
}

// build creates all stand-ins and starts the schedulers, or has agents start them.
func (exp *experiment) build() error {
	p := exp.plan
	// Parallel postings are allowed here even where the plan forbids them: a worker sees the end of a connection too late for
	// the lab to judge whether two postings were outstanding at the same time.
	terms := audit.Terms{Copies: true, MaxPosts: p.Schedulers.MaxPosts, AnswerGraceMs: lateAnswerLimitMs,
		DrainGraceMs: float64(p.Discovery.Grace) + drainGraceMarginMs, GiveUpGraceMs: stuckAnswerLimitMs, SocketDelayMs: hangUpDelayMs, KeepTxn: exp.options.KeepHistoryOf,
		LabDelayMs: exp.maxLabDelayMs}
	go exp.watchLabDelay()
	terms.Schemes = exp.schemeRows
	// Where agents start the processes, the lab does not see exactly when they start.
	if exp.options.ProcessMark == "" && p.Discovery.Mode != "push" {
		terms.KnownWithoutWatchMs = float64(p.Discovery.MustAsk)
	}
	exp.auditor = audit.New(terms)
	keyStores, checkpointStores := map[string]*machine.SharedStore{}, map[int]*machine.SharedStore{}
	meanWork := p.MeanWork()
	for i, box := range p.PlacedWorkers() {
		wk := &worker{exp: exp, number: i, PlacedWorker: box, model: machine.New(p.Spec(box.Group, meanWork)), running: p.Workers[box.Group].Joins == 0,
			random: load.Rand(exp.seed, "worker"+box.Name), postings: map[*machine.Job]*posting{}, conns: map[*workerConn]bool{},
			idempotencyKeys: map[balance.DedupGroup]*machine.SharedStore{}}
		wk.model.ApplyChange(exp.wallClockMs(), func() {})
		wk.freeSlotReadings = [2]float64{float64(wk.model.Slots), float64(wk.model.Slots)}
		if checkpointStores[box.Cell] == nil {
			checkpointStores[box.Cell] = machine.NewSharedStore()
		}
		wk.model.Checkpoints = checkpointStores[box.Cell]
		for g, key := range map[balance.DedupGroup]string{balance.GroupAll: "all",
			balance.GroupZone: fmt.Sprint("zone", box.Zone), balance.GroupCell: fmt.Sprint("cell", box.Cell)} {
			if keyStores[key] == nil {
				keyStores[key] = machine.NewSharedStore()
			}
			wk.idempotencyKeys[g] = keyStores[key]
		}
		if err := wk.listen(); err != nil {
			return err
		}
		exp.workers = append(exp.workers, wk)
	}
	exp.discovery.init(exp)
	for i := range p.Schedulers.Count {
		s := &scheduler{exp: exp, number: i, zone: i % len(p.Schedulers.Zones), configPath: filepath.Join(exp.dir, fmt.Sprint("s", i, ".json")),
			httpClient: &http.Client{Transport: &http.Transport{DialContext: exp.dial, MaxIdleConnsPerHost: 100, IdleConnTimeout: 20 * time.Second}}}
		var err error
		if s.clientAddr, err = freeAddress("tcp"); err != nil {
			return err
		}
		if s.peerAddr, err = freeAddress("udp"); err != nil {
			return err
		}
		if s.managementAddr, err = freeAddress("tcp"); err != nil {
			return err
		}
		if s.takeoverAddr, err = freeAddress("tcp"); err != nil {
			return err
		}
		if s.discoveryAddr, err = exp.discovery.openEndpoint(i); err != nil {
			return err
		}
		exp.schedulers = append(exp.schedulers, s)
	}
	if err := exp.relay.open(exp); err != nil {
		return err
	}
	if exp.options.ProcessMark != "" {
		for i, s := range exp.schedulers {
			if s.initialList = exp.discovery.initialList(i); s.initialList == nil {
				return fmt.Errorf("could not encode the initial list of workers for scheduler %s", s.id())
			}
			if err := s.writeConfig(); err != nil {
				return err
			}
		}
		go exp.watchProcesses()
		return exp.options.StartSchedulers(&Fleet{exp})
	}
	for _, s := range exp.schedulers {
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilServing waits until all schedulers serve, for at most 20 s.
func (exp *experiment) waitUntilServing() error {
	for end := time.Now().Add(20 * time.Second); ; {
		all := true
		for _, s := range exp.schedulers {
			s.mu.Lock()
			all = all && s.listedByFront
			s.mu.Unlock()
		}
		if all {
			return nil
		}
		exp.mu.Lock()
		err := exp.crashErr // takes precedence over the error of exp.ctx, which a crash cancels too
		exp.mu.Unlock()
		if err = cmp.Or(err, exp.ctx.Err()); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("not all schedulers serve after 20 s; their logs are in %s", exp.dir)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setListed sets whether the front sends clients to a scheduler.
func (exp *experiment) setListed(s *scheduler, listed bool) {
	s.mu.Lock()
	s.listedByFront = listed
	s.mu.Unlock()
}

// processEnded records the end of a scheduler's process. One that ended with an error and was not killed by the lab has
// crashed, which ends the run. The front notices the end only after its lag.
func (exp *experiment) processEnded(s *scheduler, process string, killed bool, err error) {
	if exp.ctx.Err() != nil {
		return
	}
	if err != nil && !killed {
		exp.mu.Lock()
		exp.crashErr = cmp.Or(exp.crashErr, fmt.Errorf("%s crashed: %w", s.id(), err))
		exp.mu.Unlock()
		exp.stop()
	}
	// Recorded later than it was noticed, because an answer that the process wrote may still be in transit to its client.
	exp.recordEventAt(exp.nowMs()+inTransitMs, func(at float64) { exp.auditor.SchedulerEnded(at, process, killed) })
	exp.afterMs(float64(exp.plan.Clients.FrontLag), func() {
		s.mu.Lock()
		if s.cmd == nil {
			s.listedByFront = false
		}
		s.mu.Unlock()
	})
	if exp.options.OnEvent != nil {
		exp.options.OnEvent(s.id() + " has ended")
	}
}

// playJobs starts a client for each job at its time and applies the faults. It returns when all clients are done.
func (exp *experiment) playJobs(ctx context.Context) {
	for _, fault := range script.Expand(exp.plan, exp.seed) {
		exp.afterMs(fault.At, func() { exp.applyFault(fault) })
	}
	if exp.options.Serving != nil {
		exp.options.Serving(exp.schedulers[0].clientAddr, exp.plan.Schemes[0].Name)
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	go func() {
		for {
			select {
			case <-exp.ctx.Done():
				return
			case <-ticker.C:
				exp.sample()
			}
		}
	}()
	stream := load.NewStream(exp.plan, exp.seed)
	for j, ok := stream.Next(); ok && exp.ctx.Err() == nil; j, ok = stream.Next() {
		select {
		case <-time.After(time.Duration((j.At - exp.nowMs()) * float64(time.Millisecond))):
		case <-exp.ctx.Done():
			continue
		}
		exp.mu.Lock()
		exp.result.JobArrived(j)
		exp.openJobs++
		exp.mu.Unlock()
		exp.clients.Go(func() { exp.runClient(j) })
	}
	done := make(chan struct{})
	go func() { exp.clients.Wait(); close(done) }()
	select {
	case <-done:
		if ctx.Err() == nil && exp.ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond) // violations may still show up shortly after the last answer
		}
	case <-exp.ctx.Done():
		<-done
	}
}

// sample records the number of open jobs, the capacity of the workers and the memory of the schedulers, and reports progress.
// It is called once a second.
func (exp *experiment) sample() {
	capacity := 0.0
	for _, wk := range exp.workers {
		wk.mu.Lock()
		if wk.running {
			capacity += wk.model.Capacity(wk.clockMs()) * wk.model.Speed * wk.model.SpeedFactor
		}
		wk.mu.Unlock()
	}
	for _, s := range exp.schedulers {
		s.readMaxMemory()
	}
	exp.mu.Lock()
	exp.result.Sample(exp.nowMs(), exp.openJobs, capacity)
	exp.mu.Unlock()
	if exp.options.Progress != nil {
		exp.options.Progress(min(exp.nowMs()/float64(exp.plan.Length), 1))
	}
}

// finish passes all recorded events to the auditor, sorted by time, and completes the result.
func (exp *experiment) finish(partial bool) {
	at := exp.nowMs()
	for _, wk := range exp.workers {
		wk.mu.Lock()
		wk.model.Advance(wk.clockMs())
		exp.result.Busy += wk.model.WorkDone() / wk.model.Speed / max(at*min(wk.model.Cores, float64(wk.model.Slots)), 1) / float64(len(exp.workers))
		wk.mu.Unlock()
	}
	exp.result.Busy = math.Round(exp.result.Busy*1e4) / 1e4
	exp.mu.Lock()
	defer exp.mu.Unlock()
	slices.SortStableFunc(exp.auditEvents, func(a, b auditEvent) int { return cmp.Compare(a.atMs, b.atMs) })
	for _, e := range exp.auditEvents {
		e.report(e.atMs)
	}
	if exp.result.Partial = partial; !partial {
		exp.auditor.Close(at)
	}
	for _, s := range exp.schedulers {
		exp.result.Memory = max(exp.result.Memory, s.maxMemoryKB)
	}
	exp.result.Close(exp.auditor, at)
}

// applyFault begins or ends a fault.
func (exp *experiment) applyFault(fault script.Action) {
	if exp.options.OnEvent != nil {
		word := "ends"
		if fault.Begin {
			word = "begins"
		}
		exp.options.OnEvent(fmt.Sprintf("%s %s on %s %d", fault.Fault, word, fault.Kind, fault.Part))
	}
	switch fault.Kind {
	case "workers":
		if wk := exp.workers[fault.Part]; fault.Fault == "maintain" {
			exp.maintain(wk, fault.Begin)
		} else {
			wk.applyFault(fault)
		}
	case "schedulers":
		exp.applySchedulerFault(exp.schedulers[fault.Part], fault)
	case "discovery":
		exp.discovery.applyFault(fault)
	case "network":
		exp.mu.Lock()
		if fault.Cut != nil && fault.Begin {
			exp.networkCuts = append(exp.networkCuts, fault.Cut)
		} else if fault.Cut != nil {
			exp.networkCuts = slices.DeleteFunc(exp.networkCuts, func(cut *script.Cut) bool { return cut == fault.Cut })
			exp.cutsChanged.Broadcast()
		}
		exp.mu.Unlock()
		sign := -1.0
		if fault.Begin {
			sign = 1
		}
		exp.network.mu.Lock()
		switch fault.Fault {
		case "delay":
			exp.network.extraDelayMs += sign * fault.Factor
		case "lossy":
			exp.network.extraLoss = max(0, exp.network.extraLoss+sign*fault.Factor)
		}
		exp.network.mu.Unlock()
	case "settings":
		exp.mu.Lock()
		if fault.Fault == "twins" {
			exp.useTwinSchemes = fault.Begin
		} else {
			exp.settingsPhase = plan.RetunePhase(fault.Part)
			for _, s := range exp.schedulers {
				go exp.reload(s)
			}
		}
		exp.mu.Unlock()
	case "clients":
		if fault.Fault == "cancel" && fault.Begin {
			exp.cancelJobs(fault)
		}
	}
}

// reload writes a scheduler's configuration again and has its process read it (SIGHUP).
func (exp *experiment) reload(s *scheduler) {
	s.mu.Lock()
	err := s.writeConfig()
	s.mu.Unlock()
	if err == nil {
		s.signal(syscall.SIGHUP)
	}
}

// maintain begins or ends the maintenance of a worker: operators take it out of service at every scheduler, or put it back.
// Its process restarts shortly after the maintenance began. A scheduler that is down is told once it serves again.
func (exp *experiment) maintain(wk *worker, begin bool) {
	exp.mu.Lock()
	if begin {
		exp.withdrawals[wk.Name]++
	} else {
		exp.withdrawals[wk.Name]--
	}
	changed := begin && exp.withdrawals[wk.Name] == 1 || !begin && exp.withdrawals[wk.Name] == 0
	exp.mu.Unlock()
	if begin {
		exp.afterMs(maintenanceRestartMs, func() {
			wk.applyFault(script.Action{Fault: "kill", Begin: true})
			wk.applyFault(script.Action{Fault: "kill"})
		})
	}
	if !changed {
		return
	}
	for _, s := range exp.schedulers {
		go s.setWorkerWithdrawn(wk.Name, begin)
	}
}

// applySchedulerFault begins or ends a fault of a scheduler.
func (exp *experiment) applySchedulerFault(s *scheduler, fault script.Action) {
	switch {
	case (fault.Fault == "kill" || fault.Fault == "clock") && fault.Begin:
		s.signal(syscall.SIGKILL)
		if fault.Fault == "clock" { // the clock of a single process can't be set here, so only the restart takes place
			exp.restartScheduler(s)
		}
	case fault.Fault == "stop" && fault.Begin:
		if s.signal(syscall.SIGTERM) {
			exp.afterMs(stopNoticeMs, func() { exp.setListed(s, false) })
		}
	case fault.Fault == "reload" && fault.Begin:
		exp.reload(s)
	case fault.Fault == "move" && fault.Begin:
		exp.discovery.moveEndpoint(s)
	case (fault.Fault == "mute" || fault.Fault == "unwatch") && fault.Begin:
		exp.discovery.breakWatch(s, fault.Fault == "mute")
	case fault.Fault == "kill" || fault.Fault == "stop":
		exp.restartScheduler(s)
	}
}

// restartScheduler starts a scheduler again once its former process has ended.
func (exp *experiment) restartScheduler(s *scheduler) {
	go func() {
		s.waitEnded()
		if err := s.start(); err != nil && exp.ctx.Err() == nil {
			exp.mu.Lock()
			exp.crashErr = cmp.Or(exp.crashErr, err)
			exp.mu.Unlock()
			exp.stop()
		}
	}()
}

// cancelJobs makes the clients of a random share of all open jobs leave at the same time.
func (exp *experiment) cancelJobs(fault script.Action) {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	var open []*load.Job
	for j := range exp.cancelFuncs {
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *load.Job) int { return a.No - b.No })
	r := load.Rand(fault.Seed, "cancel")
	for _, j := range open {
		if r.Float64() < fault.Factor {
			exp.cancelFuncs[j]()
		}
	}
}
