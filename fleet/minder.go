package fleet

import "slices"

const (
	initialRestartBackoffMs = 500.0   // after a process that ended by itself; doubled each time
	maxRestartBackoffMs     = 30000.0 //
	crashLoopCount          = 5       // in the time below: then it stays down until somebody wants something else
	crashLoopWindowMs       = 60000.0
)

// Proc is one process of a scheduler. Gen is the step that wanted it, 0 for the first.
type Proc struct {
	Slot       int // which of the two places it has: each its own second address
	Gen        uint64
	Since      float64
	Ready      bool
	termSentAt float64
	killSentAt float64
}

// Deed is what to do with a process.
type Deed struct {
	Do   string // start, term, kill
	Slot int
	Gen  uint64
}

// Minder decides over the processes of one scheduler: at most two, of which one takes over from the other.
type Minder struct {
	ReadyMost    float64 // ms for a new process to be ready
	KillAfter    float64 // ms after SIGTERM: longer than any txn may be open
	shouldRun    bool
	wantedGen    uint64
	lastReadyGen uint64 // the last one that was ready: it serves on where a newer one fails
	processes    []*Proc
	failure      string // why gen can't be had
	crashedAt    []float64
	nextStartAt  float64
}

// Wants takes what is wanted: nothing runs, or the processes of this step do.
func (m *Minder) Wants(now float64, run bool, gen uint64) {
	if m.shouldRun == run && m.wantedGen == gen {
		return
	}
	m.shouldRun, m.wantedGen, m.failure, m.crashedAt, m.nextStartAt = run, gen, "", nil, now
}

// Adopt takes a process that is there already.
func (m *Minder) Adopt(p Proc) { m.processes = append(m.processes, &p) }

// Procs lists the processes.
func (m *Minder) Procs() []*Proc { return m.processes }

func (m *Minder) currentProcess(gen uint64) *Proc {
	for _, process := range m.processes {
		if process.Gen == gen && process.termSentAt == 0 && process.killSentAt == 0 {
			return process
		}
	}
	return nil
}

// target is the step whose processes are to run now.
func (m *Minder) targetGen() uint64 {
	if m.failure != "" {
		return m.lastReadyGen
	}
	return m.wantedGen
}

// Next decides what to do next.
func (m *Minder) Next(now float64) (Deed, bool) {
	current := m.currentProcess(m.targetGen())
	for _, process := range m.processes {
		switch {
		case process.killSentAt > 0:
		case process.termSentAt > 0 && now >= process.termSentAt+m.KillAfter:
			process.killSentAt = now
			return Deed{"kill", process.Slot, process.Gen}, true
		// What was begun and is not wanted any more goes at once, what serves once another one does.
		case process.termSentAt == 0 && (!m.shouldRun || process != current && (!process.Ready || current != nil && current.Ready)):
			process.termSentAt = now
			return Deed{"term", process.Slot, process.Gen}, true
		case m.shouldRun && process == current && !process.Ready && now >= process.Since+m.ReadyMost:
			process.killSentAt = now
			m.recordFailure(now, "it was not ready in time")
			return Deed{"kill", process.Slot, process.Gen}, true
		}
	}
	if !m.shouldRun || current != nil || len(m.processes) > 1 || now < m.nextStartAt || m.failure != "" && m.targetGen() == m.wantedGen {
		return Deed{}, false
	}
	process := &Proc{Gen: m.targetGen(), Since: now}
	if len(m.processes) == 1 {
		process.Slot = 1 - m.processes[0].Slot
	}
	m.processes = append(m.processes, process)
	return Deed{"start", process.Slot, process.Gen}, true
}

// fell takes that the process that is wanted is no more, or can't be had.
func (m *Minder) recordFailure(now float64, why string) {
	otherServes := slices.ContainsFunc(m.processes, func(p *Proc) bool { return p.Ready && p.termSentAt == 0 && p.Gen != m.targetGen() })
	m.crashedAt = append(slices.DeleteFunc(m.crashedAt, func(at float64) bool { return at < now-crashLoopWindowMs }), now)
	switch {
	case m.failure != "":
	case otherServes && m.wantedGen != m.lastReadyGen:
		m.failure = why + "; the former one serves on"
	case len(m.crashedAt) >= crashLoopCount && m.wantedGen != m.lastReadyGen:
		m.failure, m.crashedAt = "crash loop: "+why+"; back to the former one", nil
	case len(m.crashedAt) >= crashLoopCount:
		m.failure = "crash loop: " + why
	}
	m.nextStartAt = now + min(initialRestartBackoffMs*float64(int(1)<<min(max(len(m.crashedAt)-1, 0), 10)), maxRestartBackoffMs)
}

// Started takes that a start came to nothing.
func (m *Minder) Started(now float64, slot int, why string) {
	m.removeProcess(slot)
	m.recordFailure(now, why)
}

// Ready takes that a process is.
func (m *Minder) Ready(slot int) {
	for _, process := range m.processes {
		if process.Slot == slot && process.killSentAt == 0 {
			process.Ready = true
			if process.Gen == m.wantedGen && m.failure == "" {
				m.lastReadyGen = m.wantedGen
			}
		}
	}
}

// Ended takes that a process is gone.
func (m *Minder) Ended(now float64, slot int) {
	process := m.removeProcess(slot)
	if process != nil && process.termSentAt == 0 && process.killSentAt == 0 && m.shouldRun && process.Gen == m.targetGen() {
		m.recordFailure(now, "it ended by itself")
	}
}

func (m *Minder) removeProcess(slot int) (removed *Proc) {
	m.processes = slices.DeleteFunc(m.processes, func(p *Proc) bool {
		if p.Slot == slot {
			removed = p
		}
		return p.Slot == slot
	})
	return removed
}

// State is how far what is wanted is: done, going, or failed with the reason.
func (m *Minder) State() (state, why string) {
	switch process := m.currentProcess(m.wantedGen); {
	case m.failure != "":
		return "failed", m.failure
	case !m.shouldRun && len(m.processes) == 0, m.shouldRun && process != nil && process.Ready && len(m.processes) == 1:
		return "done", ""
	}
	return "going", ""
}

// Serves tells in which place the process is that serves: the one that is wanted, or else the newest that is ready and not
// told to end. Of a new one that was ready and called back the former one's place holds again.
func (m *Minder) Serves() (slot int, ok bool) {
	if process := m.currentProcess(m.targetGen()); process != nil && process.Ready {
		return process.Slot, true
	}
	gen := uint64(0)
	for _, process := range m.processes {
		if process.Ready && process.termSentAt == 0 && process.killSentAt == 0 && process.Gen >= gen {
			slot, ok, gen = process.Slot, true, process.Gen
		}
	}
	return slot, ok
}

// Down tells whether no process serves.
func (m *Minder) Down() bool {
	return !slices.ContainsFunc(m.processes, func(p *Proc) bool { return p.Ready && p.termSentAt == 0 && p.killSentAt == 0 })
}

// Good sets which step's process was last known to be ready, as kept by a former life of the agent.
func (m *Minder) Good(gen uint64) { m.lastReadyGen = gen }
