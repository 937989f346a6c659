package fleet

import "slices"

const (
	initialRestartBackoffMs = 500.0 // after the first failure in a row; doubled with each further one
	maxRestartBackoffMs     = 30000.0
	crashLoopCount          = 5 // failures within crashLoopWindowMs after which a generation is not restarted
	crashLoopWindowMs       = 60000.0
)

// Process is one process of a scheduler.
type Process struct {
	Slot       int     // 0 or 1; each slot has its own management address
	Generation uint64  // the generation: Step.No of the step that wanted the process, 0 for the first one
	Since      float64 // when it was started or adopted
	Ready      bool
	termSentAt float64 // when it was told to end by SIGTERM, 0 if it was not
	killSentAt float64 // when it was killed, 0 if it was not
}

// ProcessAction is an action on a process.
type ProcessAction struct {
	Action     string // start, term (send SIGTERM) or kill (send SIGKILL)
	Slot       int
	Generation uint64
}

// ProcessSupervisor supervises the processes of one scheduler. There are at most two, of which the newer one takes over
// from the other.
type ProcessSupervisor struct {
	ReadyTimeoutMs float64 // ms that a new process may take to be ready
	KillDelayMs    float64 // ms between SIGTERM and SIGKILL; longer than any txn may be open
	shouldRun      bool
	wantedGen      uint64
	lastReadyGen   uint64 // the last generation that was ready; it serves if a newer one fails
	processes      []*Process
	failure        string    // why wantedGen can't run, "" if it may
	crashedAt      []float64 // failures of wantedGen within crashLoopWindowMs
	nextStartAt    float64   // the earliest time of the next start
}

// SetWanted sets what should run: a process of the generation gen, or none. A change ends any backoff.
func (m *ProcessSupervisor) SetWanted(now float64, run bool, gen uint64) {
	if m.shouldRun == run && m.wantedGen == gen {
		return
	}
	m.shouldRun, m.wantedGen, m.failure, m.crashedAt, m.nextStartAt = run, gen, "", nil, now
}

// Adopt adds a process that an earlier start of the agent left running.
func (m *ProcessSupervisor) Adopt(p Process) { m.processes = append(m.processes, &p) }

// Procs lists the processes that have not ended.
func (m *ProcessSupervisor) Procs() []*Process { return m.processes }

// currentProcess returns the process of a generation that was not told to end, nil if there is none.
func (m *ProcessSupervisor) currentProcess(gen uint64) *Process {
	for _, process := range m.processes {
		if process.Generation == gen && process.termSentAt == 0 && process.killSentAt == 0 {
			return process
		}
	}
	return nil
}

// targetGen returns the generation that should run now: the wanted one or, if that has failed, the last one that was ready.
func (m *ProcessSupervisor) targetGen() uint64 {
	if m.failure != "" {
		return m.lastReadyGen
	}
	return m.wantedGen
}

// Next returns the next action, if any, and assumes that the host carries it out.
func (m *ProcessSupervisor) Next(now float64) (ProcessAction, bool) {
	current := m.currentProcess(m.targetGen())
	for _, process := range m.processes {
		switch {
		case process.killSentAt > 0:
		case process.termSentAt > 0 && now >= process.termSentAt+m.KillDelayMs:
			process.killSentAt = now
			return ProcessAction{"kill", process.Slot, process.Generation}, true
		// A process that is not wanted any more is ended: at once if it isn't ready, else once the current one serves.
		case process.termSentAt == 0 && (!m.shouldRun || process != current && (!process.Ready || current != nil && current.Ready)):
			process.termSentAt = now
			return ProcessAction{"term", process.Slot, process.Generation}, true
		case m.shouldRun && process == current && !process.Ready && now >= process.Since+m.ReadyTimeoutMs:
			process.killSentAt = now
			m.recordFailure(now, "the process was not ready in time")
			return ProcessAction{"kill", process.Slot, process.Generation}, true
		}
	}
	if !m.shouldRun || current != nil || len(m.processes) > 1 || now < m.nextStartAt || m.failure != "" && m.targetGen() == m.wantedGen {
		return ProcessAction{}, false
	}
	process := &Process{Generation: m.targetGen(), Since: now}
	if len(m.processes) == 1 {
		process.Slot = 1 - m.processes[0].Slot
	}
	m.processes = append(m.processes, process)
	return ProcessAction{"start", process.Slot, process.Generation}, true
}

// recordFailure takes note that the current process ended, was not ready in time or could not be started. It decides
// whether to give the generation up, and when to start a process again.
func (m *ProcessSupervisor) recordFailure(now float64, why string) {
	otherServes := slices.ContainsFunc(m.processes, func(p *Process) bool { return p.Ready && p.termSentAt == 0 && p.Generation != m.targetGen() })
	m.crashedAt = append(slices.DeleteFunc(m.crashedAt, func(at float64) bool { return at < now-crashLoopWindowMs }), now)
	switch {
	case m.failure != "":
	case otherServes && m.wantedGen != m.lastReadyGen:
		m.failure = why + "; the former process keeps serving"
	case len(m.crashedAt) >= crashLoopCount && m.wantedGen != m.lastReadyGen:
		m.failure, m.crashedAt = "crash loop: "+why+"; back to the former version", nil
	case len(m.crashedAt) >= crashLoopCount:
		m.failure = "crash loop: " + why
	}
	m.nextStartAt = now + min(initialRestartBackoffMs*float64(int(1)<<min(max(len(m.crashedAt)-1, 0), 10)), maxRestartBackoffMs)
}

// StartFailed takes note that a process could not be started.
func (m *ProcessSupervisor) StartFailed(now float64, slot int, why string) {
	m.removeProcess(slot)
	m.recordFailure(now, why)
}

// Ready takes note that the process in a slot is ready.
func (m *ProcessSupervisor) Ready(slot int) {
	for _, process := range m.processes {
		if process.Slot == slot && process.killSentAt == 0 {
			process.Ready = true
			if process.Generation == m.wantedGen && m.failure == "" {
				m.lastReadyGen = m.wantedGen
			}
		}
	}
}

// Ended takes note that the process in a slot has ended.
func (m *ProcessSupervisor) Ended(now float64, slot int) {
	process := m.removeProcess(slot)
	if process != nil && process.termSentAt == 0 && process.killSentAt == 0 && m.shouldRun && process.Generation == m.targetGen() {
		m.recordFailure(now, "the process ended by itself")
	}
}

func (m *ProcessSupervisor) removeProcess(slot int) (removed *Process) {
	m.processes = slices.DeleteFunc(m.processes, func(p *Process) bool {
		if p.Slot == slot {
			removed = p
		}
		return p.Slot == slot
	})
	return removed
}

// State returns how far the wanted state is reached: done, going (under way), or failed with the reason.
func (m *ProcessSupervisor) State() (state, why string) {
	switch process := m.currentProcess(m.wantedGen); {
	case m.failure != "":
		return "failed", m.failure
	case !m.shouldRun && len(m.processes) == 0, m.shouldRun && process != nil && process.Ready && len(m.processes) == 1:
		return "done", ""
	}
	return "going", ""
}

// ServingSlot returns the slot of the process that serves: the one of the target generation if it is ready, else the newest that
// is ready and was not told to end. If a new process was ready and then told to end, that is the former one's slot again.
func (m *ProcessSupervisor) ServingSlot() (slot int, ok bool) {
	if process := m.currentProcess(m.targetGen()); process != nil && process.Ready {
		return process.Slot, true
	}
	gen := uint64(0)
	for _, process := range m.processes {
		if process.Ready && process.termSentAt == 0 && process.killSentAt == 0 && process.Generation >= gen {
			slot, ok, gen = process.Slot, true, process.Generation
		}
	}
	return slot, ok
}

// IsDown reports whether no process serves.
func (m *ProcessSupervisor) IsDown() bool {
	return !slices.ContainsFunc(m.processes, func(p *Process) bool { return p.Ready && p.termSentAt == 0 && p.killSentAt == 0 })
}

// SetLastReady sets the last generation that was ready, as an earlier start of the agent stored it.
func (m *ProcessSupervisor) SetLastReady(gen uint64) { m.lastReadyGen = gen }
