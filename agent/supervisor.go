package agent

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// The processes of this machine's schedulers, and the steps of operations that were begun here. The processes outlive the
// agent: after a restart it finds them by their environment and manages them again.

const (
	stateFile            = "runs"     // in the data directory
	processMarkerEnv     = "BEAM_RUN" // environment variable of a process: data directory, scheduler, slot and step, with | between them
	workerCommandTimeout = 30 * time.Minute
	cleanUpInterval      = 5 * time.Second
	reconcileRetryDelay  = 300 * time.Millisecond
	minShutdownMS        = 3000.0 // a scheduler drains for up to this long, where no scheme's expiry is longer
	shutdownMarginMS     = 1000.0 // for a process to end after its drain or its longest txn
	maxHaltRequestBytes  = 4 << 10
	maxHaltTextBytes     = 1000 // of a halt's of, by and why together
)

// SchedulerStatus is the state of one scheduler's processes, for Status.
type SchedulerStatus struct {
	ID             string   `json:"id"`
	State          string   `json:"state"` // done (as wanted), going (under way), failed
	Reason         string   `json:"why,omitempty"`
	ShouldRun      bool     `json:"run"`  // whether it should run; false for a new name until the record gives it to this agent
	Step           uint64   `json:"step"` // the step of an operation that last changed what should run, 0 for none
	PIDs           []int    `json:"pids,omitempty"`
	Addr           string   `json:"addr"`             // management address of the process that serves
	Program        string   `json:"program"`          // sha256 of the program of that step
	Config         string   `json:"config"`           // sha256 of its configuration
	FormerVersions []string `json:"former,omitempty"` // operations whose former version is stored, to go back to
}

// storedVersion is a program and a configuration, each named by the sha256 of its content.
type storedVersion struct {
	Program string `json:"program"`
	Config  string `json:"config"`
}

// persistedState is the content of the state file.
type persistedState struct {
	Executor   *fleet.StepExecutor        `json:"doer"` // the steps that were begun, and the halts that were ordered here
	Schedulers map[string]*schedulerState `json:"runs"` // by id
}

// schedulerState is what is saved of one scheduler. Steps are named by the number of the command that set them, 0 for the
// version that the agent began with.
type schedulerState struct {
	ShouldRun      bool                     `json:"run"`
	NeverStarted   bool                     `json:"new,omitempty"` // not started before the record gives its name to this agent: another agent may run one of that name
	WantedStep     uint64                   `json:"gen"`
	ReadyStep      uint64                   `json:"good"`   // the last step whose process was ready
	Versions       map[uint64]storedVersion `json:"pairs"`  // by step
	FormerVersions map[string]storedVersion `json:"former"` // by operation that is not closed: what ran before it
}

// supervisor starts and stops the processes of this machine's schedulers, runs the site's commands for its workers, and
// saves which steps of operations were begun here.
type supervisor struct {
	agent        *Agent
	disk         quorum.Disk // nil where the agent has no data directory
	dataDir      string      // absolute path
	mu           sync.Mutex
	state        persistedState
	saveFailed   bool // the last change of state is not on disk yet
	schedulers   map[string]*managedScheduler
	cleanedUpAt  time.Time
	httpClient   *http.Client    // for this machine's own processes
	reconciled   bool            // the record was read since the start, see reconcile
	stepBegun    map[string]bool // schedulers of which a step was begun since the start
	stateChanged chan struct{}   // closed, and replaced, after each pass of work
}

// managedScheduler is a scheduler that the agent runs. It has two slots for processes, each with its own management
// address, so that one process can take over from the other in an upgrade.
type managedScheduler struct {
	SchedulerConfig
	lifecycle      fleet.ProcessSupervisor // decides when processes are started and stopped
	processes      [2]*process             // by slot
	probing        [2]bool                 // by slot: a readiness check is in flight
	lastServedSlot int
}

// servingAddr returns the management address of the process that serves, or of the last one that did.
func (m *managedScheduler) servingAddr() string {
	if slot, ok := m.lifecycle.ServingSlot(); ok {
		m.lastServedSlot = slot
	}
	if m.lastServedSlot == 1 {
		return m.UpgradeAddr
	}
	return m.Addr
}

type process struct {
	pid        int
	startTicks string        // start time in /proc: tells the process from a later one with the same pid
	exited     chan struct{} // closed once the process has ended; nil where it is not a child of this agent
}

func (p *process) hasEnded() bool {
	if p.exited != nil {
		select {
		case <-p.exited:
			return true
		default:
			return false
		}
	}
	startTicks, state := readProcessStat(p.pid)
	return startTicks != p.startTicks || state == "Z"
}

// readProcessStat returns when a process was started, in clock ticks since boot, and its state letter from /proc; both are
// "" where there is no such process.
func readProcessStat(pid int) (startTicks, state string) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", ""
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // the program's name before it may contain spaces
	fields := strings.Fields(rest)
	if len(fields) < 20 {
		return "", ""
	}
	return fields[19], fields[0]
}

func newSupervisor(a *Agent, disk quorum.Disk) (*supervisor, error) {
	s := &supervisor{agent: a, disk: disk, schedulers: map[string]*managedScheduler{}, state: persistedState{fleet.NewStepExecutor(a.startID), map[string]*schedulerState{}}, httpClient: NewHTTP(nil, callTimeout), stepBegun: map[string]bool{},
		stateChanged: make(chan struct{})}
	if disk == nil {
		s.reconciled = true // it runs nothing
		return s, nil
	}
	var err error
	if s.dataDir, err = filepath.Abs(a.config.Data); err != nil {
		return nil, err
	}
	switch raw, err := disk.Read(stateFile); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(raw, &s.state); err != nil {
			return nil, fmt.Errorf("%s: %w", stateFile, err)
		}
	}
	s.state.Executor.Start, s.state.Executor.InjectedFault = a.startID, a.injectedFault
	for id, note := range s.state.Executor.Notes {
		if note.Call == "command" && note.State == "going" {
			note.State, note.Reason = "unknown", "this agent ended while the command ran"
			s.state.Executor.Notes[id] = note
		}
	}
	now := a.clock.Now()
	for _, local := range a.config.Schedulers {
		if local.Program == "" {
			continue
		}
		scheduler := &managedScheduler{SchedulerConfig: local}
		scheduler.lifecycle.ReadyTimeoutMs = float64(time.Duration(a.config.ReadyTimeout).Milliseconds())
		if scheduler.lifecycle.KillDelayMs, err = shutdownTimeoutMS(local.Config); err != nil {
			return nil, fmt.Errorf("scheduler %s: %w", local.ID, err)
		}
		state := s.state.Schedulers[local.ID]
		if state == nil {
			version, err := s.storeVersion(local.Program, local.Config)
			if err != nil {
				return nil, fmt.Errorf("scheduler %s: %w", local.ID, err)
			}
			state = &schedulerState{ShouldRun: true, NeverStarted: true, Versions: map[uint64]storedVersion{0: version}, FormerVersions: map[string]storedVersion{}}
			s.state.Schedulers[local.ID] = state
		}
		s.schedulers[local.ID] = scheduler
	}
	if len(s.schedulers) == 0 {
		s.reconciled = true
		return s, nil
	}
	s.adoptProcesses(now)
	return s, s.save()
}

// reconcile sets whether each scheduler should run by the first linearizable read of the record since the start. The state
// file may come from an older disk: a scheduler that was stopped, or left down, by such a file would be out without a
// permit, and nobody would count it as out.
func (s *supervisor) reconcile(ctx context.Context) {
	for ctx.Err() == nil && !s.reconciled {
		readCtx, stop := context.WithTimeout(ctx, callTimeout)
		record, err := s.agent.readRecord(readCtx)
		stop()
		if err != nil || record.No == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(reconcileRetryDelay):
			}
			continue
		}
		s.mu.Lock()
		for id, scheduler := range s.schedulers {
			state := s.state.Schedulers[id]
			shouldRun := record.ShouldRun(id, state.ShouldRun)
			if runningAgent := record.Members[id].Agent; runningAgent != "" && runningAgent != s.agent.config.Name {
				shouldRun = false // another agent runs a scheduler of this name
			}
			if s.stepBegun[id] || shouldRun == state.ShouldRun {
				continue
			}
			s.agent.log.Warn("record overrides the saved state", "scheduler", id, "run", shouldRun)
			state.ShouldRun = shouldRun
			scheduler.lifecycle.SetWanted(s.agent.clock.Now(), state.ShouldRun, state.WantedStep)
		}
		s.reconciled = true
		s.saveOrLog()
		s.mu.Unlock()
	}
}

// shutdownTimeoutMS returns how long a process with this configuration may need to end after SIGTERM: as long as its
// longest txn may be open or its drain may take, and a margin.
func shutdownTimeoutMS(configPath string) (float64, error) {
	raw, err := os.ReadFile(configPath)
	if err != nil {
		return 0, err
	}
	// The JSON keys are the field names.
	var config struct {
		Mgmt     string
		Settings struct {
			Schemes []struct{ Expiry float64 } // in µs
		}
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		return 0, fmt.Errorf("%s: %w", configPath, err)
	}
	if config.Mgmt != "" {
		return 0, fmt.Errorf("%s: mgmt must not be set: the agent sets it for each process", configPath)
	}
	longest := minShutdownMS
	for _, scheme := range config.Settings.Schemes {
		longest = max(longest, scheme.Expiry/1000)
	}
	return longest + shutdownMarginMS, nil
}

// adoptProcesses finds the processes that were started before this agent's start, by their environment in /proc.
func (s *supervisor) adoptProcesses(now float64) {
	type foundProcess struct {
		slot    int
		step    uint64
		version storedVersion
	}
	found := map[string][]foundProcess{}
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for _, env := range strings.Split(string(raw), "\x00") {
			text, ok := strings.CutPrefix(env, processMarkerEnv+"="+s.dataDir+"|")
			if !ok {
				continue
			}
			parts := strings.Split(text, "|")
			pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
			if len(parts) != 3 || err != nil || s.schedulers[parts[0]] == nil {
				continue
			}
			slot, slotErr := strconv.Atoi(parts[1])
			step, stepErr := strconv.ParseUint(parts[2], 10, 64)
			scheduler := s.schedulers[parts[0]]
			startTicks, state := readProcessStat(pid)
			if slotErr != nil || stepErr != nil || slot < 0 || slot > 1 || scheduler.processes[slot] != nil || startTicks == "" || state == "Z" {
				continue
			}
			scheduler.processes[slot] = &process{pid: pid, startTicks: startTicks}
			found[scheduler.ID] = append(found[scheduler.ID], foundProcess{slot, step, runningVersion(pid, string(raw))})
			s.agent.log.Info("adopted", "scheduler", scheduler.ID, "pid", pid, "place", slot, "step", step)
		}
	}
	for id, scheduler := range s.schedulers {
		state, processes := s.state.Schedulers[id], found[id]
		slices.SortFunc(processes, func(a, b foundProcess) int { return cmp.Compare(a.step, b.step) })
		readyStepServes := true
		if n := len(processes); n > 0 && !slices.ContainsFunc(processes, func(p foundProcess) bool { return p.step == state.WantedStep }) {
			// The state file comes from an older disk. The newest running process is then taken for the wanted one: were the
			// processes stopped as unknown ones, none would serve. Of two the older one is taken to be ready. A single one has
			// to pass a readiness check first: taken to be ready unchecked, one that never becomes ready would stay for ever.
			state.WantedStep, state.ReadyStep, readyStepServes = processes[n-1].step, processes[0].step, n > 1
			s.agent.log.Warn("running processes are not of the step in the saved state", "scheduler", id, "step", state.WantedStep)
		}
		for _, p := range processes {
			state.ShouldRun, state.NeverStarted, state.Versions[p.step] = true, false, p.version // until reconcile has read the record
		}
		scheduler.lifecycle.SetLastReady(state.ReadyStep)
		scheduler.lifecycle.SetWanted(now, state.ShouldRun, state.WantedStep)
		for _, p := range processes {
			// The process of the step that was last known to be ready is taken to be ready.
			ready := p.step == state.ReadyStep && readyStepServes
			scheduler.lifecycle.Adopt(fleet.Process{Slot: p.slot, Generation: p.step, Since: now, Ready: ready})
		}
	}
}

// runningVersion returns the version that a process runs, by its executable's path and its environment.
func runningVersion(pid int, environ string) (version storedVersion) {
	executable, _ := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid))
	version.Program = strings.TrimSuffix(filepath.Base(executable), " (deleted)")
	for _, env := range strings.Split(environ, "\x00") {
		if path, ok := strings.CutPrefix(env, "BALANCER_CONFIG="); ok {
			version.Config = filepath.Base(path)
		}
	}
	return version
}

// save writes the state file and returns once it is on disk. After a failure the next pass of work saves again. The caller
// holds s.mu.
func (s *supervisor) save() error {
	if s.disk == nil {
		return errors.New("this agent has no data directory")
	}
	err := s.writeState()
	s.saveFailed = err != nil
	return err
}

func (s *supervisor) writeState() error {
	raw, err := json.Marshal(&s.state)
	if err != nil {
		return err
	}
	file, err := s.disk.Create(stateFile + ".new")
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.disk.Rename(stateFile+".new", stateFile)
	}
	return err
}

func hexSHA256(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// storePath returns the path of the stored file with this sha256.
func (s *supervisor) storePath(digest string) string {
	return filepath.Join(s.dataDir, "store", digest)
}

// storeVersion copies a program and its configuration into the store.
func (s *supervisor) storeVersion(program, config string) (version storedVersion, err error) {
	if version.Program, err = s.storeFile(program, 0o700); err == nil {
		version.Config, err = s.storeFile(config, 0o600)
	}
	return version, err
}

// storeFile copies a file into the store, where it is not there yet, and returns its sha256.
func (s *supervisor) storeFile(path string, mode os.FileMode) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	digest := hexSHA256(raw)
	if s.verifyStored(digest) == nil {
		return digest, nil
	}
	if err := os.MkdirAll(filepath.Join(s.dataDir, "store"), 0o700); err != nil {
		return "", err
	}
	tmp := s.storePath(digest) + ".new"
	file, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return "", err
	}
	_, err = file.Write(raw)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tmp, s.storePath(digest))
	}
	return digest, err
}

// verifyStored returns an error where the stored file with this sha256 can't be read or has another content.
func (s *supervisor) verifyStored(digest string) error {
	raw, err := os.ReadFile(s.storePath(digest))
	if err == nil && hexSHA256(raw) != digest {
		err = fmt.Errorf("stored file %s is corrupt: its sha256 is %s", digest, hexSHA256(raw))
	}
	return err
}

// addr returns the management address at which a scheduler takes calls of the fleet now.
func (s *supervisor) addr(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedulers[id].servingAddr()
}

// isHeldBack reports whether schedulers may not be told now that a worker is out for an operation, because a halt that was
// ordered here covers it.
func (s *supervisor) isHeldBack(record *fleet.Record, intent fleet.Intent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Executor.Halted(record, intent)
}

// status returns the state of the schedulers that the agent runs, and the halts that were ordered here.
func (s *supervisor) status() (schedulers []SchedulerStatus, halts []fleet.Halt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, local := range s.agent.config.Schedulers {
		scheduler := s.schedulers[local.ID]
		if scheduler == nil {
			continue
		}
		state := s.state.Schedulers[local.ID]
		running := SchedulerStatus{ID: local.ID, ShouldRun: state.ShouldRun && !state.NeverStarted, Step: state.WantedStep, Addr: scheduler.servingAddr(), Program: state.Versions[state.WantedStep].Program, Config: state.Versions[state.WantedStep].Config}
		running.State, running.Reason = scheduler.lifecycle.State()
		for _, p := range scheduler.processes {
			if p != nil {
				running.PIDs = append(running.PIDs, p.pid)
			}
		}
		for op := range state.FormerVersions {
			running.FormerVersions = append(running.FormerVersions, op)
		}
		slices.Sort(running.FormerVersions)
		schedulers = append(schedulers, running)
	}
	for _, h := range s.state.Executor.Halts {
		halts = append(halts, h)
	}
	slices.SortFunc(halts, func(a, b fleet.Halt) int { return strings.Compare(a.Scope, b.Scope) })
	return schedulers, halts
}

// work makes one pass over the schedulers: it takes note of processes that have ended, begins readiness checks, and starts
// and stops processes as the lifecycle of each scheduler decides.
func (s *supervisor) work(ctx context.Context) {
	now := s.agent.clock.Now()
	s.agent.mu.Lock()
	record := s.agent.record
	s.agent.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Executor.DropLiftedHalts(record) || s.saveFailed {
		s.saveOrLog()
	}
	for _, local := range s.agent.config.Schedulers {
		scheduler := s.schedulers[local.ID]
		if scheduler == nil {
			continue
		}
		// Another agent may run a scheduler of this name. A second one would take over from it, at its address, and the
		// requests that the second one then accepted would be lost when it is stopped.
		if state := s.state.Schedulers[local.ID]; state.NeverStarted && record.Members[local.ID].Agent != s.agent.config.Name {
			continue
		} else if state.NeverStarted {
			state.NeverStarted = false
			s.saveOrLog()
		}
		for slot, p := range scheduler.processes {
			if p != nil && p.hasEnded() {
				scheduler.processes[slot] = nil
				scheduler.lifecycle.Ended(now, slot)
				s.agent.log.Info("process ended", "scheduler", scheduler.ID, "pid", p.pid, "place", slot)
			}
		}
		for _, p := range scheduler.lifecycle.Procs() {
			if !p.Ready && !scheduler.probing[p.Slot] {
				scheduler.probing[p.Slot] = true
				go s.checkReadiness(ctx, scheduler, p.Slot)
			}
		}
		for action, ok := scheduler.lifecycle.Next(now); ok; action, ok = scheduler.lifecycle.Next(now) {
			s.perform(now, scheduler, action)
		}
	}
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
	if time.Since(s.cleanedUpAt) > cleanUpInterval && record.No > 0 {
		s.cleanedUpAt = time.Now()
		s.cleanUp(record)
	}
}

// saveOrLog saves the state and logs when that begins to fail and when it works again.
func (s *supervisor) saveOrLog() {
	if s.disk == nil {
		return // halts that were ordered here hold until this agent ends, as the answer to them said
	}
	failedBefore := s.saveFailed
	switch err := s.save(); {
	case err != nil && !failedBefore:
		s.agent.log.Error("state could not be saved; trying again", "err", err)
	case err == nil && failedBefore:
		s.agent.log.Info("state saved again")
	}
}

// checkReadiness asks the process in a slot whether it is ready.
func (s *supervisor) checkReadiness(ctx context.Context, scheduler *managedScheduler, slot int) {
	addr := scheduler.Addr
	if slot == 1 {
		addr = scheduler.UpgradeAddr
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	ready := false
	if request, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/ops/readiness", nil); err == nil {
		request.Close = true
		if response, err := s.httpClient.Do(request); err == nil {
			response.Body.Close()
			ready = response.StatusCode == 200
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if scheduler.probing[slot] = false; !ready || scheduler.processes[slot] == nil {
		return
	}
	scheduler.lifecycle.Ready(slot)
	state := s.state.Schedulers[scheduler.ID]
	for _, p := range scheduler.lifecycle.Procs() {
		if p.Slot == slot && p.Generation == state.WantedStep && state.ReadyStep != state.WantedStep {
			state.ReadyStep = state.WantedStep
			s.saveOrLog()
		}
	}
	s.agent.requestWork()
	s.agent.log.Info("process ready", "scheduler", scheduler.ID, "pid", scheduler.processes[slot].pid, "place", slot)
}

// perform starts, terminates or kills a process.
func (s *supervisor) perform(now float64, scheduler *managedScheduler, action fleet.ProcessAction) {
	p := scheduler.processes[action.Slot]
	switch {
	case action.Action == "start":
		if err := s.startProcess(scheduler, action); err != nil {
			s.agent.log.Error("process could not be started", "scheduler", scheduler.ID, "err", err)
			scheduler.lifecycle.StartFailed(now, action.Slot, err.Error())
		}
	case p == nil:
	case action.Action == "term":
		s.agent.log.Info("process told to end", "scheduler", scheduler.ID, "pid", p.pid, "step", action.Generation)
		_ = syscall.Kill(p.pid, syscall.SIGTERM)
	case action.Action == "kill":
		s.agent.log.Warn("process killed", "scheduler", scheduler.ID, "pid", p.pid, "step", action.Generation)
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
	}
}

// startProcess starts a process in a session of its own, so that it outlives this agent.
func (s *supervisor) startProcess(scheduler *managedScheduler, action fleet.ProcessAction) error {
	version, ok := s.state.Schedulers[scheduler.ID].Versions[action.Generation]
	if !ok {
		return fmt.Errorf("no version is stored for step %d", action.Generation)
	}
	for _, digest := range []string{version.Program, version.Config} {
		if err := s.verifyStored(digest); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(s.dataDir, scheduler.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	tmp, mgmt := scheduler.TempDir, scheduler.Addr
	if tmp == "" {
		tmp = s.dataDir
	}
	if action.Slot == 1 {
		mgmt = scheduler.UpgradeAddr
	}
	cmd := exec.Command(s.storePath(version.Program), "serve")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+s.storePath(version.Config), "BALANCER_MGMT="+mgmt, "TMPDIR="+tmp,
		fmt.Sprintf("%s=%s|%s|%d|%d", processMarkerEnv, s.dataDir, scheduler.ID, action.Slot, action.Generation))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{pid: cmd.Process.Pid, exited: make(chan struct{})}
	scheduler.processes[action.Slot] = p
	s.agent.log.Info("process started", "scheduler", scheduler.ID, "pid", p.pid, "place", action.Slot, "step", action.Generation)
	go func() {
		_ = cmd.Wait()
		close(p.exited)
		s.agent.requestWork()
	}()
	return nil
}

// cleanUp forgets the former versions of operations that are closed and the versions of steps that have no process any
// more, and deletes the stored files that no version names.
func (s *supervisor) cleanUp(record *fleet.Record) {
	changed, inUse := false, map[string]bool{}
	for id, state := range s.state.Schedulers {
		for op := range state.FormerVersions {
			if o := record.Ops[op]; o == nil || o.Closed {
				delete(state.FormerVersions, op)
				changed = true
			}
		}
		for step := range state.Versions {
			needed := step == state.WantedStep || step == state.ReadyStep
			if scheduler := s.schedulers[id]; scheduler != nil {
				for _, p := range scheduler.lifecycle.Procs() {
					needed = needed || p.Generation == step
				}
			}
			if !needed {
				delete(state.Versions, step)
				changed = true
			}
		}
		for _, version := range state.Versions {
			inUse[version.Program], inUse[version.Config] = true, true
		}
		for _, version := range state.FormerVersions {
			inUse[version.Program], inUse[version.Config] = true, true
		}
	}
	if changed {
		s.saveOrLog()
		files, _ := filepath.Glob(filepath.Join(s.dataDir, "store", "*"))
		for _, path := range files {
			if !inUse[filepath.Base(path)] {
				_ = os.Remove(path)
			}
		}
	}
}

// handleAct takes a call of an operation's owner for a step of one member. For a step that was begun here it answers with
// the state of that step. Any other step begins only after a linearizable read of the record since the call came.
func (a *Agent) handleAct(w http.ResponseWriter, r *http.Request) {
	var call fleet.AgentCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&call); err != nil {
		writeRefusal(w, 400, err.Error())
		return
	}
	s := a.supervisor
	if call.Call == "look" {
		s.mu.Lock()
		scheduler := s.schedulers[call.Member]
		down := scheduler != nil && scheduler.lifecycle.IsDown()
		s.mu.Unlock()
		writeJSON(w, 200, fleet.AgentResult{State: "going", Start: a.startID, Down: down})
		return
	}
	if outcome, known := s.awaitStep(r.Context(), call); known {
		writeJSON(w, 200, outcome)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), callTimeout/2)
	defer stop()
	record, err := a.readRecord(ctx)
	if err != nil {
		record = nil
		if a.injectedFault == "stale-step" {
			record = a.record
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	noteBefore, hadNote := s.state.Executor.Notes[call.Member]
	var stateBefore schedulerState
	if state := s.state.Schedulers[call.Member]; state != nil {
		stateBefore = *state
		stateBefore.Versions, stateBefore.FormerVersions = maps.Clone(state.Versions), maps.Clone(state.FormerVersions)
	}
	outcome, begins := s.state.Executor.Begin(call, record)
	if !begins {
		if outcome.State == "unknown" {
			s.saveOrLog()
		}
		writeJSON(w, 200, outcome)
		return
	}
	if err := s.beginStep(call, record); err != nil {
		note := s.state.Executor.Notes[call.Member]
		note.State, note.Reason = "failed", err.Error()
		s.state.Executor.Notes[call.Member] = note
	}
	if err := s.save(); err != nil {
		// A step that is not saved would be begun again after a restart of this agent. Nothing has been done for it yet, so
		// that it can be taken back.
		if delete(s.state.Executor.Notes, call.Member); hadNote {
			s.state.Executor.Notes[call.Member] = noteBefore
		}
		if state := s.state.Schedulers[call.Member]; state != nil {
			*state = stateBefore
		}
		writeJSON(w, 200, fleet.AgentResult{State: "refused", Reason: "it could not be kept: " + err.Error(), Start: a.startID})
		return
	}
	s.stepBegun[call.Member] = true
	note := s.state.Executor.Notes[call.Member]
	a.log.Info("begun", "op", call.Op, "member", call.Member, "call", call.Call, "step", call.No, "takes", fleet.TakesOut(record.Ops[call.Op].Steps[call.Member]),
		"state", note.State, "why", note.Reason)
	if scheduler := s.schedulers[call.Member]; scheduler != nil && note.State == "going" {
		state := s.state.Schedulers[call.Member]
		scheduler.lifecycle.SetWanted(a.clock.Now(), state.ShouldRun, state.WantedStep)
	} else if note.State == "going" {
		go s.runWorkerCommand(call, record)
	}
	a.requestWork()
	writeJSON(w, 200, fleet.AgentResult{State: note.State, Reason: note.Reason, Start: a.startID})
}

// awaitStep returns the outcome of a step that was begun here, and whether it is known. It waits for the end of a step that
// is under way, for half of the caller's timeout: answered at once, the caller would learn of the end only with its next
// call.
func (s *supervisor) awaitStep(ctx context.Context, call fleet.AgentCall) (fleet.AgentResult, bool) {
	timedOut := time.After(callTimeout / 2)
	for {
		s.mu.Lock()
		s.refreshNote(call.Member)
		outcome, known := s.state.Executor.KnownResult(call)
		stateChanged := s.stateChanged
		s.mu.Unlock()
		if !known || outcome.State != "going" {
			return outcome, known
		}
		select {
		case <-stateChanged:
		case <-timedOut:
			return outcome, true
		case <-ctx.Done():
			return outcome, true
		}
	}
}

// beginStep sets in the saved state what a step wants of a scheduler: to run or not, and which version. For the command of
// a worker it only checks that there is one.
func (s *supervisor) beginStep(call fleet.AgentCall, record *fleet.Record) error {
	op := record.Ops[call.Op]
	if call.Call == "command" {
		if i := slices.IndexFunc(s.agent.config.Workers, func(w WorkerConfig) bool { return w.ID == call.Member }); i < 0 || len(s.agent.config.Workers[i].Command) == 0 {
			return errors.New("this agent's configuration has no command for the worker")
		}
		return nil
	}
	state := s.state.Schedulers[call.Member]
	if state == nil || s.schedulers[call.Member] == nil {
		return errors.New("this agent runs no such scheduler")
	}
	if call.Call == "stop" {
		state.ShouldRun = false
		return nil
	}
	current := state.Versions[state.WantedStep]
	if scheduler := s.schedulers[call.Member]; state.ReadyStep != state.WantedStep {
		if lifecycleState, _ := scheduler.lifecycle.State(); lifecycleState == "failed" {
			current = state.Versions[state.ReadyStep] // the wanted version failed, and this one serves
		}
	}
	wanted, newProcess := current, op.Kind == "restart" && !op.RollingBack
	step := op.Steps[call.Member]
	switch former, kept := state.FormerVersions[op.ID]; {
	case op.Kind == "release" && (op.RollingBack || step.Undo):
		if kept {
			wanted = former
		} else if current.Program == op.Version.Digest {
			return errors.New("the version before the release is not stored here")
		}
		for _, digest := range []string{wanted.Program, wanted.Config} {
			if err := s.verifyStored(digest); err != nil {
				return fmt.Errorf("the former version: %w", err)
			}
		}
	case op.Kind == "release":
		release := op.Version
		if release.Program != "" {
			digest, err := s.storeFile(release.Program, 0o700)
			if err != nil {
				return err
			}
			if digest != release.Digest {
				return fmt.Errorf("%s has sha256 %s here, want %s of the release", release.Program, digest, release.Digest)
			}
			wanted.Program = digest
		}
		if release.Config != "" {
			digest, err := s.storeFile(strings.ReplaceAll(release.Config, "{id}", call.Member), 0o600)
			if err != nil {
				return err
			}
			wanted.Config = digest
		}
		// With a state file from an older disk the step may be begun a second time: the version that then runs is the
		// released one, and must not be kept as the former one.
		if !kept && current != wanted {
			state.FormerVersions[op.ID] = current
		}
	case step.Undo:
		newProcess = false
	}
	if wanted == state.Versions[state.ReadyStep] && !newProcess && state.ShouldRun {
		state.WantedStep = state.ReadyStep // its process serves, or was the last one that did
		return nil
	}
	state.ShouldRun, state.WantedStep = true, call.No
	state.Versions[call.No] = wanted
	return nil
}

// refreshNote updates the note of a scheduler's last step by the state of its processes.
func (s *supervisor) refreshNote(member string) {
	note, scheduler := s.state.Executor.Notes[member], s.schedulers[member]
	if scheduler == nil || note.State != "going" {
		return
	}
	if note.State, note.Reason = scheduler.lifecycle.State(); note.State != "going" {
		s.state.Executor.Notes[member] = note
		s.saveOrLog()
	}
}

// runWorkerCommand runs the site's own command for a worker that is out, and notes its outcome.
func (s *supervisor) runWorkerCommand(call fleet.AgentCall, record *fleet.Record) {
	i := slices.IndexFunc(s.agent.config.Workers, func(w WorkerConfig) bool { return w.ID == call.Member })
	op := record.Ops[call.Op]
	version := op.Version.Name
	if op.RollingBack {
		version = "former"
	}
	var args []string
	for _, arg := range s.agent.config.Workers[i].Command {
		args = append(args, strings.NewReplacer("{worker}", call.Member, "{version}", version, "{step}", fmt.Sprint(call.No)).Replace(arg))
	}
	ctx, stop := context.WithTimeout(context.Background(), workerCommandTimeout)
	defer stop()
	output, err := exec.CommandContext(ctx, args[0], args[1:]...).CombinedOutput()
	s.mu.Lock()
	defer s.mu.Unlock()
	note := s.state.Executor.Notes[call.Member]
	if note.No != call.No {
		return
	}
	if note.State = "done"; err != nil {
		note.State, note.Reason = "failed", fmt.Sprintf("%v: %.200s", err, output)
	}
	s.state.Executor.Notes[call.Member] = note
	s.saveOrLog()
	s.agent.log.Info("command ended", "worker", call.Member, "step", call.No, "state", note.State, "why", note.Reason)
}

// HaltAnswer is an agent's confirmation of a halt: from then on this agent takes nothing more out of service that the halt
// covers.
type HaltAnswer struct {
	Agent    string   `json:"agent"`
	UnderWay []string `json:"under_way,omitempty"` // members with a step under way here
}

// handleHalt applies a halt on this machine at once, whatever the record says. It confirms a halt only once that is saved.
func (a *Agent) handleHalt(w http.ResponseWriter, r *http.Request) {
	var halt fleet.Halt
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHaltRequestBytes)).Decode(&halt); err != nil || halt.Scope == "" || halt.By == "" ||
		len(halt.Scope)+len(halt.By)+len(halt.Reason) > maxHaltTextBytes {
		writeRefusal(w, 400, fmt.Sprintf("a halt needs of and by, and at most %d bytes in of, by and why together", maxHaltTextBytes))
		return
	}
	s := a.supervisor
	s.mu.Lock()
	defer s.mu.Unlock()
	halt.No = 0
	_, known := s.state.Executor.Halts[halt.Scope]
	if !known {
		s.state.Executor.Halts[halt.Scope] = halt
		a.log.Warn("halted here", "of", halt.Scope, "by", halt.By, "why", halt.Reason)
	}
	if !known || s.saveFailed {
		if err := s.save(); err != nil {
			writeRefusal(w, 503, "halted here, but a restart of the agent would forget it: the halt could not be saved: "+err.Error())
			return
		}
	}
	answer := HaltAnswer{Agent: a.config.Name}
	for id, note := range s.state.Executor.Notes {
		if note.State == "going" {
			answer.UnderWay = append(answer.UnderWay, id)
		}
	}
	slices.Sort(answer.UnderWay)
	writeJSON(w, 200, answer)
}

// recordLocalHalts enters the halts that were ordered here in the record, as soon as a leader takes commands.
func (a *Agent) recordLocalHalts(ctx context.Context) {
	s := a.supervisor
	s.mu.Lock()
	var unrecorded []fleet.Halt
	for _, halt := range s.state.Executor.Halts {
		if halt.No == 0 {
			unrecorded = append(unrecorded, halt)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(unrecorded, func(x, y fleet.Halt) int { return strings.Compare(x.Scope, y.Scope) })
	for _, halt := range unrecorded {
		answer, err := a.submit(ctx, fleet.Command{Verb: "halt", ID: halt.Scope, By: halt.By, Reason: halt.Reason, Then: halt.Then, Caller: a.callerID("halt")})
		if err != nil {
			continue
		}
		s.mu.Lock()
		if answer.Applied {
			halt.No = answer.No
			s.state.Executor.Halts[halt.Scope] = halt
		} else {
			delete(s.state.Executor.Halts, halt.Scope) // of an operation or zone that the record does not have
			a.log.Warn("halt dropped", "of", halt.Scope, "why", answer.Reason)
		}
		s.saveOrLog()
		s.mu.Unlock()
	}
}
