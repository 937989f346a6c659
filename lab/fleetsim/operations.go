package fleetsim

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"shalebeam/fleet"
)

// Operations (release, restart, drain, undrain, maintain) in simulated time. The code that runs an operation, begins its
// steps at agents and supervises processes is the production code of package fleet; the processes are models. Which members
// are out because of an operation is counted from the model processes, not from what any agent or scheduler was told.

const (
	readyTimeoutMS     = 2000.0 // for a new scheduler process to become ready
	killAfterMS        = 1500.0 // from SIGTERM to SIGKILL
	workerDownMS       = 200.0  // that a worker is down once the site's command for it has begun
	workerColdMS       = 1500.0 // that it is cold after that
	workerCommandMS    = 400.0  // that the site's command runs
	agentCallTimeoutMS = 1000.0
	undrainTimeoutMS   = 2000.0 // of the operator's command to bring back members that an operation left out
	longDownMS         = 6000.0 // after which a scheduler that does not serve counts against the limits, whatever the cause
	neverMS            = 1e18   // simulated time that is never reached
	beginRetryMS       = 1000.0 // between two attempts of the operator to begin the operation
	operatorRetryMS    = 3000.0 // between two attempts of the operator to lift a halt or to start an undrain
)

const maxCommandsPerUpdate = 32 // that an operation's owner submits in one update, as in agent.Agent

// operations is the state of a run with operations, beside the record.
type operations struct {
	sim                    *simulation
	hosts                  []*schedulerHost
	hostByScheduler        map[string]*schedulerHost
	workers                map[string]*simWorker
	agentDisks             map[string][]byte              // by agent: JSON of the steps that it has begun and of its schedulers' savedRun
	lyingDisks             map[string]bool                // by agent: its disk acknowledges writes without keeping them
	stepExecutors          map[string]*fleet.StepExecutor // by agent: decides which steps begin there
	limits                 []fleet.Limit
	currentID              string // of the operation under way, "" until one is on record
	requested              fleet.Operation
	releasedProgram        string  // how the released program fails, see simProcess.program; "" for one that works
	haltAtMS               float64 // simulated time of the halt, 0 if none was requested
	haltOnGrant            bool    // the halt is still to be requested, shortly after a step was granted
	haltLifted             bool
	rollbackRequested      bool
	endedMS                float64 // simulated time at which the operation had ended and no member was out for it, 0 until then
	lastUndrainMS          float64
	lastLiftMS             float64
	limitViolationReported bool
	undrainRequested       bool
	agentCalls             int
	maxOut                 int                        // most members that were out on purpose at once
	memberWorkMS           float64                    // sum over ended processes, from the latest start at their scheduler
	savedRuns              map[string]savedRun        // by scheduler
	reconciled             map[string]bool            // by agent: see reconcile
	steppedMembers         map[string]map[string]bool // by agent: the members of which it has begun a step since its start
	waitingCalls           map[string][]func()        // by agent: calls that wait for a step under way, tried again at each update
}

// savedRun is what an agent keeps on disk of one scheduler that it runs. Its field names are part of the JSON on the
// simulated disk and of violation texts.
type savedRun struct {
	Run       bool              // the scheduler is to run
	Gen, Good uint64            // the steps whose process is wanted, and whose process was last known to be ready
	Pairs     map[uint64]string // by step: its program, as in simProcess.program
	Former    map[string]string // by operation: the program that ran before it
}

// schedulerHost has the model processes of one scheduler, and its agent's supervision of them. During a handover there are
// two processes.
type schedulerHost struct {
	scheduler     *simScheduler
	agent         *simAgent
	supervisor    *fleet.ProcessSupervisor
	processes     [2]*simProcess
	failedByFault bool    // it was taken down by a fault and has not served since
	lastServedMS  float64 // simulated time at which it last served
	lastStartMS   float64 // simulated time at which its last process was started
}

// simProcess is a model of a scheduler process. Times are simulated time in ms.
type simProcess struct {
	generation  uint64 // number of the step that wanted it, 0 for the first process
	readyAtMS   float64
	endAtMS     float64 // 0: no end is set
	crashAtMS   float64 // 0: it does not crash
	terminating bool    // it was told to end
	// program says how it behaves: "" (the initial program) and "good" (a released one) work, "never" does not become ready,
	// "crash" crashes after it became ready, "early" crashes before.
	program string
}

// simWorker is a model of a worker. Times are simulated time in ms.
type simWorker struct {
	id, zone    string
	agent       *simAgent
	warmAtMS    float64
	downUntilMS float64
	commandRuns map[uint64]int // by step: how often the site's command was begun
}

func newOperations(sim *simulation) *operations {
	ops := &operations{sim: sim, hostByScheduler: map[string]*schedulerHost{}, workers: map[string]*simWorker{},
		agentDisks: map[string][]byte{}, lyingDisks: map[string]bool{}, stepExecutors: map[string]*fleet.StepExecutor{},
		savedRuns: map[string]savedRun{}, reconciled: map[string]bool{}, steppedMembers: map[string]map[string]bool{},
		waitingCalls: map[string][]func(){}}
	return ops
}

// initialize assigns schedulers and workers to the agents, all of them in service, and draws the limits, the operation to
// run and when it is halted.
func (ops *operations) initialize() {
	sim := ops.sim
	for i, scheduler := range sim.schedulers {
		host := &schedulerHost{scheduler: scheduler, agent: sim.agents[i%len(sim.agents)], lastServedMS: startupMS}
		host.processes[0] = &simProcess{}
		scheduler.Agent = host.agent.id
		ops.hosts, ops.hostByScheduler[scheduler.ID] = append(ops.hosts, host), host
		ops.savedRuns[scheduler.ID] = savedRun{Run: true, Pairs: map[uint64]string{0: ""}, Former: map[string]string{}}
	}
	for i := range sim.options.Workers {
		worker := &simWorker{id: fmt.Sprint("b", i), zone: []string{"a", "b"}[i%2], agent: sim.agents[i%len(sim.agents)],
			commandRuns: map[uint64]int{}}
		ops.workers[worker.id] = worker
	}
	for _, agent := range sim.agents {
		ops.saveDisk(agent)
		ops.restoreAgent(agent)
	}
	allowedOut := 1 + sim.random.IntN(2)
	schedulerCount := len(sim.schedulers)
	ops.limits = []fleet.Limit{{Kind: "scheduler", MaxOutShare: max(0.05, float64(allowedOut)/float64(schedulerCount))},
		{Kind: "scheduler", Zone: "each", MaxOutShare: max(0.04, 1.01/float64(schedulerCount/2))},
		{Kind: "worker", MaxOutShare: 0.3}}
	kinds := []string{"release", "release", "restart", "drain", "maintain"}
	ops.requested = fleet.Operation{Kind: kinds[sim.random.IntN(len(kinds))], MaxWaveMs: 60000, PauseMs: 300}
	var ids []string
	for _, scheduler := range sim.schedulers {
		ids = append(ids, scheduler.ID)
	}
	if ops.requested.Kind != "drain" {
		ids = append(ids, slices.Sorted(maps.Keys(ops.workers))...)
	} else {
		ids = ids[:min(len(ids), 1)]
	}
	sim.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for maxWaveSize := 1; len(ids) > 0; maxWaveSize *= 2 {
		waveSize := min(maxWaveSize, len(ids))
		ops.requested.Waves = append(ops.requested.Waves, ids[:waveSize])
		ids = ids[waveSize:]
	}
	if ops.requested.Kind == "release" {
		ops.releasedProgram = []string{"", "", "never", "crash", "early"}[sim.random.IntN(5)]
		ops.requested.WatchMs, ops.requested.AutoRollBack = 400, sim.random.IntN(2) == 0
		ops.requested.Version = fleet.Version{Program: "/new", Digest: "new", Name: "new"}
	}
	if sim.options.NoFaults {
		ops.releasedProgram, ops.requested.Kind, ops.requested.WatchMs, ops.requested.MaxWaveMs = "", "release", 0, 0
		// One wave, so that only the limits bound how many members are out.
		ops.requested.Waves = [][]string{slices.Concat(ops.requested.Waves...)}
		ops.requested.Version = fleet.Version{Program: "/new", Digest: "new", Name: "new"}
		sim.schedule(startupMS, ops.requestOperation)
		return
	}
	sim.schedule(startupMS, ops.requestOperation)
	if ops.haltOnGrant = sim.random.IntN(4) == 0; !ops.haltOnGrant && sim.random.IntN(2) == 0 {
		ops.haltAtMS = 4000 + sim.options.FaultsMs*sim.random.Float64()
		sim.schedule(ops.haltAtMS, ops.requestHalt)
	}
}

// lowerBoundMS returns the time, in ms, that the operation takes at least, however fast it is coordinated: the time that the
// schedulers' processes need to start and end, divided by how many schedulers the limits allow to be out at once.
func (ops *operations) lowerBoundMS() float64 {
	record, maxOut := fleet.NewRecord(), 0.0
	record.Limits = ops.limits
	for _, host := range ops.hosts {
		record.Members[host.scheduler.ID], record.Health[host.scheduler.ID] = host.scheduler.Member, fleet.Health{State: fleet.HealthInService}
	}
	for _, host := range ops.hosts {
		if !slices.ContainsFunc(record.LimitCounts(host.scheduler.ID), func(count fleet.LimitCount) bool { return count.Reason != "" }) {
			record.Health[host.scheduler.ID] = fleet.Health{State: "out"}
			maxOut++
		}
	}
	return ops.memberWorkMS / max(maxOut, 1)
}

// saveDisk writes an agent's steps and runs to its simulated disk.
func (ops *operations) saveDisk(agent *simAgent) {
	if ops.lyingDisks[agent.id] {
		return // the disk acknowledges the write without keeping it
	}
	executor := ops.stepExecutors[agent.id]
	if executor == nil {
		executor = fleet.NewStepExecutor("")
	}
	runs := map[string]savedRun{}
	for _, host := range ops.hosts {
		if host.agent == agent {
			runs[host.scheduler.ID] = ops.savedRuns[host.scheduler.ID]
		}
	}
	ops.agentDisks[agent.id], _ = json.Marshal(struct {
		Executor *fleet.StepExecutor
		Runs     map[string]savedRun
	}{executor, runs})
}

// restoreAgent starts an agent from its disk: it reads the steps it had begun, and adopts the processes that still run.
func (ops *operations) restoreAgent(agent *simAgent) {
	var disk struct {
		Executor *fleet.StepExecutor
		Runs     map[string]savedRun
	}
	_ = json.Unmarshal(ops.agentDisks[agent.id], &disk)
	ops.lyingDisks[agent.id] = false
	executor := disk.Executor
	executor.Start, executor.InjectedFault = fmt.Sprint(agent.startCount), ops.sim.options.PlantedBug
	for id, note := range executor.Notes {
		if note.Call == "command" && note.State == "going" {
			note.State = "unknown"
			executor.Notes[id] = note
		}
	}
	ops.stepExecutors[agent.id] = executor
	localNowMS := agent.clock.read(ops.sim.nowMS)
	for _, host := range ops.hosts {
		if host.agent != agent {
			continue
		}
		saved := disk.Runs[host.scheduler.ID]
		// If no process that runs is of the saved step, the disk has an older state, and the newest process is taken for the
		// wanted one. Of two processes the older one serves; a single one is not taken for ready until it is seen to be.
		oldest, newest, savedStepRuns := uint64(0), uint64(0), false
		for _, process := range host.processes {
			if process == nil {
				continue
			}
			if savedStepRuns = savedStepRuns || process.generation == saved.Gen; oldest == 0 && newest == 0 || process.generation < oldest {
				oldest = process.generation
			}
			newest = max(newest, process.generation)
			saved.Run, saved.Pairs[process.generation] = true, process.program
		}
		serves := true // as in adopt of agent/runs.go
		if (host.processes[0] != nil || host.processes[1] != nil) && !savedStepRuns {
			saved.Gen, saved.Good, serves = newest, oldest, oldest != newest
		}
		ops.savedRuns[host.scheduler.ID] = saved
		host.supervisor = &fleet.ProcessSupervisor{ReadyTimeoutMs: readyTimeoutMS, KillDelayMs: killAfterMS}
		host.supervisor.SetLastReady(saved.Good)
		host.supervisor.SetWanted(localNowMS, saved.Run, saved.Gen)
		for slot, process := range host.processes {
			if process != nil {
				host.supervisor.Adopt(fleet.Process{Slot: slot, Generation: process.generation, Since: localNowMS,
					Ready: process.generation == saved.Good && serves})
			}
		}
	}
	ops.reconciled[agent.id], ops.steppedMembers[agent.id] = false, map[string]bool{}
}

// reconcile has an agent, once after each start, start or stop its schedulers as the record says. It waits until the agent
// can make a quorum read, and leaves out members of which a step has begun since the start.
func (ops *operations) reconcile(agent *simAgent) {
	leader := ops.quorumLeader(agent)
	if ops.reconciled[agent.id] || leader == nil {
		return
	}
	ops.reconciled[agent.id] = true
	for _, host := range ops.hosts {
		saved := ops.savedRuns[host.scheduler.ID]
		if shouldRun := leader.node.Record.ShouldRun(host.scheduler.ID, saved.Run); host.agent == agent &&
			!ops.steppedMembers[agent.id][host.scheduler.ID] && shouldRun != saved.Run {
			saved.Run = shouldRun
			ops.savedRuns[host.scheduler.ID] = saved
			host.supervisor.SetWanted(agent.clock.read(ops.sim.nowMS), saved.Run, saved.Gen)
		}
	}
	ops.saveDisk(agent)
}

// serves tells whether a process of the scheduler accepts clients, by the model processes.
func (host *schedulerHost) serves(nowMS float64) bool {
	for _, process := range host.processes {
		if process != nil && nowMS >= process.readyAtMS && !process.terminating &&
			(process.endAtMS == 0 || nowMS < process.endAtMS) {
			return true
		}
	}
	return false
}

// tick advances the model processes and checks that the members that are out on purpose are within the limits. With
// haltOnGrant it also requests the halt shortly after a step was granted.
func (ops *operations) tick() {
	nowMS := ops.sim.nowMS
	if leader := ops.sim.leader(); ops.haltOnGrant && leader != nil && ops.sim.random.IntN(4) == 0 {
		if op := leader.node.Record.Ops[ops.currentID]; op != nil {
			for _, step := range op.Steps { // whether a granted step is found does not depend on the map's order
				if fleet.TakesOut(step) {
					ops.haltOnGrant, ops.haltAtMS = false, nowMS
					ops.sim.schedule(60*ops.sim.random.Float64(), ops.requestHalt)
					break
				}
			}
		}
	}
	record := fleet.NewRecord()
	var outOnPurpose []string
	for _, host := range ops.hosts {
		for slot, process := range host.processes {
			if process == nil {
				continue
			}
			if process.crashAtMS > 0 && nowMS >= process.crashAtMS {
				host.failedByFault = true
				host.processes[slot] = nil
			} else if process.endAtMS > 0 && nowMS >= process.endAtMS {
				host.processes[slot] = nil
			}
		}
		serves := host.serves(nowMS)
		if serves {
			host.failedByFault, host.lastServedMS = false, nowMS
		}
		if ops.limits != nil {
			record.Members[host.scheduler.ID] = host.scheduler.Member
			record.Health[host.scheduler.ID] = fleet.Health{State: fleet.HealthInService}
			if !serves && !host.failedByFault {
				record.Health[host.scheduler.ID] = fleet.Health{State: "out"}
				outOnPurpose = append(outOnPurpose, host.scheduler.ID)
			}
		}
	}
	if ops.limits != nil {
		for _, id := range slices.Sorted(maps.Keys(ops.workers)) {
			worker := ops.workers[id]
			record.Members[id] = fleet.Member{ID: id, Kind: "worker", Zone: worker.zone, Capacity: 1}
			record.Health[id] = fleet.Health{State: fleet.HealthInService}
			if nowMS < worker.warmAtMS {
				record.Health[id] = fleet.Health{State: "cold"}
				outOnPurpose = append(outOnPurpose, id)
			}
		}
	}
	ops.maxOut = max(ops.maxOut, len(outOnPurpose))
	record.Limits = ops.limits
	if len(outOnPurpose) > 0 {
		checkedZones := map[string]bool{}
		for _, id := range outOnPurpose { // members of the same kind and zone count against the same limits: one is enough
			if key := record.Members[id].Kind + record.Members[id].Zone; !checkedZones[key] {
				checkedZones[key] = true
				for _, count := range record.LimitCounts(id) {
					if count.Reason != "" && !ops.limitViolationReported {
						ops.limitViolationReported = true
						ops.sim.reportViolation("by truth: %s: %v", count.Reason, count.Out)
					}
				}
			}
		}
	}
}

// superviseProcesses does an agent's work for the schedulers it runs: it notices which processes have ended or become ready,
// starts and ends processes, and answers calls that waited for a step.
func (ops *operations) superviseProcesses(agent *simAgent) {
	localNowMS := agent.clock.read(ops.sim.nowMS)
	executor := ops.stepExecutors[agent.id]
	ops.reconcile(agent)
	if executor.DropLiftedHalts(agent.record) {
		ops.saveDisk(agent)
	}
	for _, host := range ops.hosts {
		if host.agent != agent {
			continue
		}
		for _, process := range slices.Clone(host.supervisor.Procs()) {
			actual := host.processes[process.Slot]
			switch {
			case actual == nil || actual.generation != process.Generation || actual.endAtMS > 0 && ops.sim.nowMS >= actual.endAtMS:
				host.supervisor.Ended(localNowMS, process.Slot)
			case !process.Ready && ops.sim.nowMS >= actual.readyAtMS:
				host.supervisor.Ready(process.Slot)
				if saved := ops.savedRuns[host.scheduler.ID]; actual.generation == saved.Gen && saved.Good != saved.Gen {
					saved.Good = saved.Gen
					ops.savedRuns[host.scheduler.ID] = saved
					ops.saveDisk(agent)
				}
			}
		}
		for action, ok := host.supervisor.Next(localNowMS); ok; action, ok = host.supervisor.Next(localNowMS) {
			ops.applyAction(host, action)
		}
	}
	waiting := ops.waitingCalls[agent.id]
	delete(ops.waitingCalls, agent.id)
	for _, resume := range waiting {
		resume()
	}
}

// applyAction starts or ends a model process.
func (ops *operations) applyAction(host *schedulerHost, action fleet.ProcessAction) {
	sim := ops.sim
	process := host.processes[action.Slot]
	switch {
	case action.Action == "start":
		host.lastStartMS = sim.nowMS
		process = &simProcess{generation: action.Generation, program: ops.savedRuns[host.scheduler.ID].Pairs[action.Generation],
			readyAtMS: sim.nowMS + 100 + 500*sim.random.Float64()}
		switch ops.savedRuns[host.scheduler.ID].Pairs[action.Generation] {
		case "never":
			process.readyAtMS = neverMS
		case "crash":
			process.crashAtMS = process.readyAtMS + 1500*sim.random.Float64()
		case "early":
			process.crashAtMS = sim.nowMS + 50
			process.readyAtMS = neverMS
		}
		host.processes[action.Slot] = process
	case process == nil:
	case action.Action == "term":
		if process.terminating = true; process.endAtMS == 0 {
			process.endAtMS = sim.nowMS + 100 + 900*sim.random.Float64()
			ops.memberWorkMS += process.endAtMS - host.lastStartMS
			sim.schedule(process.endAtMS-sim.nowMS, func() { sim.wakeAgent(host.agent) })
		}
	case action.Action == "kill":
		process.terminating, process.endAtMS = true, sim.nowMS
	}
}

// driveOperation does the work of an operation's owner, as agent.Agent does: it calls agents and submits commands.
func (ops *operations) driveOperation(agent *simAgent, localNowMS float64, leaseName string, owned *ownership) {
	for {
		call, ok := owned.operationRunner.NextAgentStatusCall(localNowMS)
		if !ok {
			if call, ok = owned.operationRunner.NextAgentCall(localNowMS); !ok {
				break
			}
		}
		ops.callAgent(agent, owned, call)
	}
	for range maxCommandsPerUpdate {
		command, ok := owned.operationRunner.NextCommand(localNowMS)
		if !ok {
			return
		}
		ops.sim.sendCommand(agent, leaseName+"/steps/"+command.ID, command, func(fleet.CommandResult) { owned.operationRunner.CommandAnswered(command) })
	}
}

// callAgent makes a call of an operation's owner at the agent of a member.
func (ops *operations) callAgent(agent *simAgent, owned *ownership, call fleet.AgentCall) {
	sim, startCount, answered := ops.sim, agent.startCount, false
	ops.agentCalls++
	answer := func(result fleet.AgentResult) {
		if !answered && agent.startCount == startCount && agent.up {
			answered = true
			owned.operationRunner.AgentCalled(agent.clock.read(sim.nowMS), call, result)
			sim.wakeAgent(agent)
		}
	}
	sim.schedule(agentCallTimeoutMS, func() { answer(fleet.AgentResult{}) })
	deliveries := 1
	if sim.lossProbability > 0 && sim.random.IntN(10) == 0 {
		deliveries = 2 // the call is delivered twice, the second time possibly seconds later
	}
	for range deliveries {
		if delayMS, ok := sim.drawDelay(agent.id, call.Agent.ID); ok {
			sim.schedule(delayMS, func() {
				ops.handleAgentCall(call, func(result fleet.AgentResult) {
					if delayMS, ok := sim.drawDelay(call.Agent.ID, agent.id); ok {
						sim.schedule(delayMS, func() { answer(result) })
					}
				})
			})
		}
	}
}

// handleAgentCall handles a call at an agent, after the agent's pause if it is paused. It is not answered if the agent is
// down or was restarted.
func (ops *operations) handleAgentCall(call fleet.AgentCall, reply func(fleet.AgentResult)) {
	sim := ops.sim
	i := slices.IndexFunc(sim.agents, func(agent *simAgent) bool { return agent.id == call.Agent.ID })
	if i < 0 || !sim.agents[i].up {
		return
	}
	agent := sim.agents[i]
	startCount := agent.startCount
	whenAwake := func(run func()) {
		if agent.pausedUntilMS > sim.nowMS {
			sim.schedule(agent.pausedUntilMS-sim.nowMS+1, func() {
				if agent.up && agent.startCount == startCount {
					run()
				}
			})
			return
		}
		run()
	}
	whenAwake(func() {
		executor := ops.stepExecutors[agent.id]
		if call.Call == "look" {
			host := ops.hostByScheduler[call.Member]
			reply(fleet.AgentResult{Reached: true, State: "going", Start: executor.Start, Down: host != nil && host.supervisor.IsDown()})
			return
		}
		if ops.answerKnownStep(agent, call, sim.nowMS+agentCallTimeoutMS/2, reply) {
			return
		}
		// The quorum read takes 1 to 3 ms, and the agent may be paused before it goes on with the result.
		var record *fleet.Record
		if leader := ops.quorumLeader(agent); leader != nil {
			record = sim.sharedCopy(leader.node.Record)
		}
		if sim.options.PlantedBug == "stale-step" && record == nil {
			record = agent.record
		}
		sim.schedule(1+2*sim.random.Float64(), func() {
			if agent.up && agent.startCount == startCount {
				whenAwake(func() {
					reply(ops.beginStep(agent, call, record))
					sim.wakeAgent(agent)
				})
			}
		})
	})
}

// answerKnownStep answers a call for a step that the agent has begun before, once the step is over or at untilMS (simulated
// time) at the latest. It returns false if the step has not begun.
func (ops *operations) answerKnownStep(agent *simAgent, call fleet.AgentCall, untilMS float64, reply func(fleet.AgentResult)) bool {
	ops.refreshNote(agent, call.Member)
	result, known := ops.stepExecutors[agent.id].KnownResult(call)
	switch startCount := agent.startCount; {
	case !known:
	case result.State != "going" || ops.sim.nowMS >= untilMS:
		reply(result)
	default:
		ops.waitingCalls[agent.id] = append(ops.waitingCalls[agent.id], func() {
			if agent.startCount == startCount {
				ops.answerKnownStep(agent, call, untilMS, reply)
			}
		})
	}
	return known
}

// quorumLeader returns the leader if the agent can reach it and a majority of voters follows it, else nil: no other voter
// can answer a quorum read.
func (ops *operations) quorumLeader(agent *simAgent) *voter {
	sim := ops.sim
	leader := sim.leader()
	if leader == nil || sim.disconnected[agent.id] || sim.disconnected[fmt.Sprint("v", leader.id)] {
		return nil
	}
	followers := 0
	for _, v := range sim.voters {
		if id, _ := v.node.Leader(); id == leader.id && v.pausedUntilMS <= sim.nowMS &&
			!sim.disconnected[fmt.Sprint("v", v.id)] && v.node.Err() == nil {
			followers++
		}
	}
	if followers <= len(sim.voters)/2 {
		return nil
	}
	return leader
}

// beginStep has an agent begin a step, if the record (nil if it could not be read) allows that, and checks that steps begun
// keep to the halts and limits and that no site's command is run twice for a step.
func (ops *operations) beginStep(agent *simAgent, call fleet.AgentCall, record *fleet.Record) fleet.AgentResult {
	sim, executor := ops.sim, ops.stepExecutors[agent.id]
	result, begins := executor.Begin(call, record)
	if !begins {
		if result.State == "unknown" {
			ops.saveDisk(agent)
		}
		return result
	}
	op := record.Ops[call.Op]
	step := op.Steps[call.Member]
	if !ops.haltLifted && ops.haltAtMS > 0 && sim.nowMS > ops.haltAtMS && fleet.TakesOut(step) &&
		executor.Halts["all"].Scope != "" {
		sim.reportViolation("%s began to take %s out after its yes to a halt", agent.id, call.Member)
	}
	if host := ops.hostByScheduler[call.Member]; host != nil && fleet.TakesOut(step) {
		// A scheduler that has been down for longer than longDownMS counts against the limits, whatever took it down.
		actual := fleet.NewRecord()
		actual.Limits = ops.limits
		for _, other := range ops.hosts {
			actual.Members[other.scheduler.ID] = other.scheduler.Member
			actual.Health[other.scheduler.ID] = fleet.Health{State: fleet.HealthInService}
			if sim.nowMS-other.lastServedMS > longDownMS && other != host {
				actual.Health[other.scheduler.ID] = fleet.Health{State: "down"}
			}
		}
		for _, count := range actual.LimitCounts(call.Member) {
			if count.Reason != "" {
				sim.reportViolation("%s was taken out while others were down for long: %s: %v", call.Member, count.Reason, count.Out)
			}
		}
	}
	if call.Call == "command" {
		worker := ops.workers[call.Member]
		if worker.commandRuns[call.No]++; worker.commandRuns[call.No] > 1 {
			sim.reportViolation("the command for %s was begun twice, for step %d", call.Member, call.No)
		}
		worker.downUntilMS, worker.warmAtMS = sim.nowMS+workerDownMS, sim.nowMS+workerDownMS+workerColdMS
		ops.saveDisk(agent)
		startCount := agent.startCount
		sim.schedule(workerCommandMS, func() {
			if note := executor.Notes[call.Member]; agent.up && agent.startCount == startCount && note.No == call.No {
				note.State = "done"
				executor.Notes[call.Member] = note
				ops.saveDisk(agent)
				sim.wakeAgent(agent)
			}
		})
		return result
	}
	saved := ops.savedRuns[call.Member]
	saved.Pairs, saved.Former = maps.Clone(saved.Pairs), maps.Clone(saved.Former)
	host := ops.hostByScheduler[call.Member]
	current := saved.Pairs[saved.Gen]
	if state, _ := host.supervisor.State(); saved.Good != saved.Gen && state == "failed" {
		current = saved.Pairs[saved.Good]
	}
	wanted, restartSame := current, op.Kind == "restart" && !op.RollingBack
	switch former, formerSaved := saved.Former[op.ID]; {
	case call.Call == "stop":
	case op.Kind == "release" && (op.RollingBack || step.Undo):
		if formerSaved {
			wanted = former
		} else if current != "" {
			note := executor.Notes[call.Member]
			note.State, note.Reason = "failed", "what ran before is not kept here"
			executor.Notes[call.Member] = note
			ops.saveDisk(agent)
			result.State, result.Reason = note.State, note.Reason
			return result
		}
	case op.Kind == "release":
		if wanted = ops.releasedProgram; wanted == "" {
			wanted = "good"
		}
		if !formerSaved && current != wanted {
			saved.Former[op.ID] = current
		}
	case step.Undo:
		restartSame = false
	}
	switch {
	case call.Call == "stop":
		saved.Run = false
	case wanted == saved.Pairs[saved.Good] && !restartSame && saved.Run:
		saved.Gen = saved.Good
	default:
		saved.Run, saved.Gen = true, call.No
		saved.Pairs[call.No] = wanted
	}
	ops.savedRuns[call.Member] = saved
	ops.steppedMembers[agent.id][call.Member] = true
	ops.saveDisk(agent)
	host.supervisor.SetWanted(agent.clock.read(sim.nowMS), saved.Run, saved.Gen)
	return result
}

// refreshNote updates an agent's note of a member's step that is under way from the supervisor's state.
func (ops *operations) refreshNote(agent *simAgent, member string) {
	host, executor := ops.hostByScheduler[member], ops.stepExecutors[agent.id]
	note := executor.Notes[member]
	if host == nil || note.State != "going" {
		return
	}
	if note.State, note.Reason = host.supervisor.State(); note.State != "going" {
		executor.Notes[member] = note
		ops.saveDisk(agent)
	}
}

// schedulerStatus fills in what a scheduler reports of itself and of its zone's workers. It returns false if no process of
// the scheduler can answer.
func (ops *operations) schedulerStatus(scheduler *simScheduler, zone string, reply *fleet.SchedulerReply) bool {
	host := ops.hostByScheduler[scheduler.ID]
	running := false
	for _, process := range host.processes {
		running = running || process != nil && ops.sim.nowMS >= process.readyAtMS
	}
	if !running {
		return false
	}
	if reply.Phase = "serving"; !host.serves(ops.sim.nowMS) {
		reply.Phase = "draining"
	}
	reply.Workers = map[string]string{}
	for id, worker := range ops.workers {
		switch {
		case worker.zone != zone || ops.sim.nowMS < worker.downUntilMS:
		case ops.sim.nowMS < worker.warmAtMS:
			reply.Workers[id] = "cold"
		default:
			reply.Workers[id] = "warm"
		}
	}
	return true
}

// ---- the operator ----

// requestOperation submits the limits and then the operation, and again after beginRetryMS until the operation was accepted.
func (ops *operations) requestOperation() {
	sim := ops.sim
	sim.sequence++
	caller := fmt.Sprint("person", sim.sequence)
	limits := fleet.Command{Caller: caller, Number: 1, Verb: "limits", By: "ann", Limits: ops.limits}
	sim.submit("client", limits, noTimeoutMS, func(fleet.CommandResult) {
		begin := fleet.Command{Caller: caller, Number: 2, Verb: "begin", By: "ann", Op: &ops.requested}
		sim.submit("client", begin, noTimeoutMS, func(answer fleet.CommandResult) {
			if !answer.Applied { // not all members are on record yet, or a halt is in force
				sim.schedule(beginRetryMS, ops.requestOperation)
				return
			}
			ops.currentID = fmt.Sprintf("%s-%d", ops.requested.Kind, answer.No)
			sim.traceEvent("begun %s", ops.currentID)
		})
	})
}

// requestHalt halts all operations on record and directly at every agent that can be reached, and schedules the lifting of
// the halt 3 to 7 s later.
func (ops *operations) requestHalt() {
	sim := ops.sim
	sim.sequence++
	sim.traceEvent("halt")
	sim.submit("client", fleet.Command{Caller: fmt.Sprint("halt", sim.sequence), Number: 1, Verb: "halt", ID: "all", By: "ann",
		Reason: "a look"}, noTimeoutMS, func(fleet.CommandResult) {})
	for _, agent := range sim.agents {
		if delayMS, ok := sim.drawDelay("client", agent.id); ok {
			sim.schedule(delayMS, func() {
				if executor := ops.stepExecutors[agent.id]; agent.up && agent.pausedUntilMS <= sim.nowMS &&
					executor.Halts["all"].Scope == "" && !ops.haltLifted {
					executor.Halts["all"] = fleet.Halt{Scope: "all", By: "ann", No: 1}
					ops.saveDisk(agent)
				}
			})
		}
	}
	sim.schedule(3000+4000*sim.random.Float64(), ops.liftHalt)
}

// liftHalt lifts the halt of all operations on record.
func (ops *operations) liftHalt() {
	sim := ops.sim
	sim.sequence++
	caller := fmt.Sprint("lift", sim.sequence)
	lift := fleet.Command{Caller: caller, Number: 1, Verb: "lift", ID: "all", By: "ann"}
	sim.submit("client", lift, noTimeoutMS, func(answer fleet.CommandResult) {
		ops.haltLifted = true
		sim.traceEvent("lifted %t %s", answer.Applied, answer.Reason)
	})
}

// finishOperations plays the operator once faults have ended: an operation that is halted is rolled back, drained members
// are undrained, and so are members that an operation left out when it ended. It sets endedMS when no member is out.
func (ops *operations) finishOperations(record *fleet.Record) {
	sim := ops.sim
	op := record.Ops[ops.currentID]
	if ops.currentID == "" || op == nil {
		return
	}
	_, halted := record.Halts[ops.currentID]
	// A halt may have come on record after the command that was to lift it.
	if _, all := record.Halts["all"]; all && sim.nowMS > ops.lastLiftMS+operatorRetryMS {
		ops.lastLiftMS = sim.nowMS
		ops.liftHalt()
	}
	switch {
	case halted && !op.RollingBack && !ops.rollbackRequested:
		ops.rollbackRequested = true
		sim.sequence++
		sim.submit("client", fleet.Command{Caller: fmt.Sprint("turn", sim.sequence), Number: 1, Verb: "turn",
			Lease: fleet.OperationLease(ops.currentID), By: "ann"}, noTimeoutMS, func(fleet.CommandResult) {})
	case op.Done && op.Kind == "drain" && !ops.undrainRequested:
		ops.undrainRequested = true
		sim.sequence++
		sim.submit("client", fleet.Command{Caller: fmt.Sprint("undrain", sim.sequence), Number: 1, Verb: "begin", By: "ann",
			Op: &fleet.Operation{Kind: "undrain", Waves: op.Waves}}, noTimeoutMS, func(answer fleet.CommandResult) {
			ops.currentID = fmt.Sprintf("undrain-%d", answer.No)
		})
	case op.Done && op.Kind != "drain" && ops.endedMS == 0:
		// The operation may have ended with some of its members still out: the operator undrains them.
		out := slices.Sorted(maps.Keys(record.Permits))
		if len(out) == 0 {
			ops.endedMS = sim.nowMS
			return
		}
		if sim.nowMS < ops.lastUndrainMS+operatorRetryMS {
			return
		}
		ops.lastUndrainMS = sim.nowMS
		sim.sequence++
		sim.submit("client", fleet.Command{Caller: fmt.Sprint("undrain", sim.sequence), Number: 1, Verb: "begin", By: "ann",
			Op: &fleet.Operation{Kind: "undrain", Waves: [][]string{out}}}, undrainTimeoutMS, func(answer fleet.CommandResult) {
			if answer.Applied {
				ops.currentID = fmt.Sprintf("undrain-%d", answer.No)
			}
		})
	}
}

// leftToOperator tells whether an operation has halted itself with a reason and can't go on without an operator: the
// released program fails again and again, and the agent's disk has lost what ran before. Every member that has not finished
// must run that program, and its agent must report it as failed.
func (ops *operations) leftToOperator(record *fleet.Record, op *fleet.Operation) bool {
	if op == nil || record.Halts[op.ID].By != fleet.OperationLease(op.ID) {
		return false
	}
	for id, step := range op.Steps {
		host := ops.hostByScheduler[id]
		if op.Arrived(step) {
			continue
		} else if host == nil || ops.releasedProgram == "" ||
			ops.savedRuns[id].Pairs[ops.savedRuns[id].Gen] != ops.releasedProgram {
			return false
		}
		if state, _ := host.supervisor.State(); state != "failed" {
			return false // only a failure that the agent itself reports counts
		}
	}
	return true
}

// checkFinalState checks that the operation has ended or is left to an operator, that no member holds a permit to be out,
// and that every scheduler serves. Members whose step has a Reason for not going on are exempt from the last two.
func (ops *operations) checkFinalState(record *fleet.Record) {
	sim := ops.sim
	op := record.Ops[ops.currentID]
	if ops.leftToOperator(record, op) {
		sim.result.LeftToOperator++
		return
	}
	if op == nil || !op.Done {
		details := "none"
		if op != nil {
			for id, step := range op.Steps {
				if !op.Arrived(step) && len(details) < 500 {
					state, why := "", ""
					if host := ops.hostByScheduler[id]; host != nil {
						state, why = host.supervisor.State()
					}
					for _, count := range record.LimitCounts(id) {
						for _, other := range count.Out {
							why, _ := record.IsOut(other)
							details += other + " " + why + ", "
						}
					}
					details += fmt.Sprintf("; [%s] ", record.GrantRefusal(op, id))
					note := ops.stepExecutors[record.Members[id].Agent].Notes[id]
					details += fmt.Sprintf("; %s at %s since %d undo %t (%s) seen %+v minder %s %s note {No:%d Op:%s Call:%s State:%s Why:%s}", id, step.State, step.No,
						step.Undo, step.Reason, record.Health[id], state, why, note.No, note.Op, note.Call, note.State, note.Reason)
				}
			}
			details = fmt.Sprintf("%s back %t wave %d of %d halts %v: %s", op.ID, op.RollingBack, op.Wave, len(op.Waves), record.Halts, details)
		}
		sim.reportViolation("the operation has not ended: %s", details)
		return
	}
	for id, permit := range record.Permits {
		if step := op.Steps[id]; step.Reason == "" {
			sim.reportViolation("%s still has a permit of %s", id, permit.Op)
		}
	}
	for _, host := range ops.hosts {
		if !host.serves(sim.nowMS) && op.Steps[host.scheduler.ID].Reason == "" {
			state, why := host.supervisor.State()
			sim.reportViolation("%s does not serve at the end: %s %s, kept %+v, procs %v %v, agent up %t", host.scheduler.ID, state, why,
				ops.savedRuns[host.scheduler.ID], host.processes[0], host.processes[1], host.agent.up)
		}
	}
}
