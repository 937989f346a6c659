// Package fleetsim simulates the fleet's replicated record and its agents in simulated time, from a seed. It runs the
// production code of packages quorum and fleet (voters, leases, claims and the calls that tell schedulers which workers are
// out) under injected faults: disks that acknowledge syncs without keeping the data, clocks that run fast or slow, links
// that lose, delay or cut messages, and processes that crash or pause. Schedulers are models that remember the highest
// fence (fencing token) they have seen, as scheduler/fleet.go does.
//
// A lease is on a zone's workers ("zone/ZONE") or an operation ("op/ID").
package fleetsim

import (
	"container/heap"
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// Options configures one run.
type Options struct {
	Seed       uint64
	Voters     int
	Agents     int
	Schedulers int
	// FaultsMs is how long, in ms, faults are injected. The run then goes on without faults for as long again and
	// recoveryMS, or until afterOperationMS after its operation has ended.
	FaultsMs   float64
	PlantedBug string // name of a bug planted in the tested code, "" for none
	Operations bool   // agents run the schedulers' processes, and an operation (release, restart, drain, maintain) is executed
	Workers    int    // workers that take part in the operation; used with Operations only
	NoFaults   bool   // no faults and no halts; the operation is a release of a program that works
}

// Result summarizes a run.
type Result struct {
	Violations          []string // violated invariants; the run stops once there is one
	AcknowledgedChanges int      // commands to take a worker out or back in that were acknowledged
	Claims              int      // claims that succeeded, each of which makes an agent the owner of a lease
	RefusedCalls        int      // calls that a scheduler refused because of their fence, scheduler start or change number
	ReplacedVoters      int      // voters that were replaced because their disk lacked data that they had acknowledged
	LeftToOperator      int      // operations that ended halted with a reason and need an operator
	Messages            int      // messages that voters sent to each other
	AgentCalls          int      // calls at agents that operations made
	MaxOut              int      // most members that were out at once because of the operation, not of a fault
	OperationEndedMs    float64  // simulated time in ms at which the operation had ended, 0 if it had not
	LowerBoundMs        float64  // lower bound in ms for the operation's duration under its limits
	Digest              uint32   // CRC-32 of the traced events: the same for the same seed
}

// event is a function that runs at a point of simulated time; sequence orders events of the same time.
type event struct {
	atMS     float64
	sequence int
	run      func()
}

// eventQueue implements heap.Interface: the earliest event comes first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].atMS < e[j].atMS || e[i].atMS == e[j].atMS && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// clock is a process's own clock: it starts at originMS and advances rate ms for each ms of simulated time.
type clock struct{ rate, originMS float64 }

// read returns what the clock shows, in ms, at the simulated time nowMS.
func (c clock) read(nowMS float64) float64 { return c.originMS + nowMS*c.rate }

// voter is one replica of the record. When it is replaced, the same struct becomes the new voter.
type voter struct {
	id                 uint64
	node               *quorum.Node
	disk               *quorum.MemoryDisk
	clock              clock
	pausedUntilMS      float64                              // simulated time; the process does nothing before it
	joining            bool                                 // it joins an existing group of voters
	replacedID         uint64                               // the voter whose place it took, 0 for none
	replacementPending bool                                 // a new voter is about to take its place
	lastCheckedCommand uint64                               // number of the command after which its record was last checked
	pendingAnswers     map[string]func(fleet.CommandResult) // callbacks by "CALLER NUMBER" of a proposed command
	heldMessages       []quorum.Message                     // messages that arrived during a pause
}

// simAgent is one agent: the production decisions of package fleet on a simulated process.
type simAgent struct {
	id                string
	zone              string
	startCount        int // starts so far; callbacks of an earlier start are dropped by it
	clock             clock
	up                bool
	pausedUntilMS     float64 // simulated time; the process does nothing before it
	leaseClaimer      *fleet.LeaseClaimer
	owned             map[string]*ownership // by lease
	record            *fleet.Record         // the record as it last read it; shared between agents, not to be changed
	lastCommandNumber uint64
	commandPending    map[string]bool // by lease, or by the name that sendCommand was given
	wakeScheduled     bool            // an update is scheduled within wakeDelayMS
}

// ownership is what an agent keeps for a lease that it owns. notifier and zone are set for a zone's lease,
// operationRunner for an operation's.
type ownership struct {
	lease           *fleet.HeldLease
	notifier        *fleet.ZoneController
	operationRunner *fleet.OperationController
	zone            string
	openCalls       int // calls at schedulers that have neither been answered nor timed out
}

// superseded tells whether a scheduler has named a higher fence, so that another agent must own the lease by now.
func (o *ownership) superseded() bool { return o.notifier != nil && o.notifier.SupersededBy > 0 }

// simScheduler models how a scheduler treats the calls of agents.
type simScheduler struct {
	fleet.Member
	startCount   int               // starts so far; a call meant for another start is refused
	highestFence map[string]uint64 // by lease
	outWorkers   map[string]string // the lease under which each worker is out
	lastChange   map[string]uint64 // by worker: the number of the newest change on record that it was told
}

// simulation is the state of one run.
type simulation struct {
	options         Options
	random          *rand.Rand
	nowMS           float64 // simulated time
	sequence        int     // of the last scheduled event; also makes the callers of commands unique
	queue           eventQueue
	voters          []*voter
	agents          []*simAgent
	schedulers      []*simScheduler
	result          Result
	checksum        uint32            // CRC-32 of the events traced so far
	disconnected    map[string]bool   // processes ("v1", "a0") that can neither send nor receive
	lossProbability float64           // of each message
	initialVoters   map[uint64]string // names by id
	lastVoterID     uint64            // the last id given to a replacement
	recordChecksums map[uint64]uint32 // by command number: CRC-32 of the record after that command
	acknowledged    map[string]uint64 // by caller: the number of a command that was acknowledged
	faultsEnded     bool
	diskFaultVoter  int           // index of the one voter whose disk may become faulty
	diskFaulty      bool          // its disk has become faulty and the voter was not replaced since
	voterStarts     uint64        // starts of all voters so far, to tell one start from another
	notifiedCommand uint64        // number of the newest command that agents were woken for
	recordCopy      *fleet.Record // the copy that sharedCopy last made
	copiedRecord    *fleet.Record // the record that it was made of
	ops             *operations   // nil without Options.Operations
	leaseTermMS     float64       // by seed either shorter or longer than a leader election takes
}

const (
	agentTickMS            = 50.0    // between two updates of each process
	wakeDelayMS            = 5.0     // from news (a new record, an answer) to an extra update of an agent
	startupMS              = 3000.0  // from the start of a run to the first fault, worker change and operation
	recoveryMS             = 30000.0 // added to the time without faults at the end of a run
	afterOperationMS       = 15000.0 // that a run goes on after its operation has ended
	memberStepsMS          = 6000.0  // allowed for taking one member out and back again
	resubmitMS             = 300.0   // between two attempts to submit a command
	replaceRetryMS         = 500.0   // between two attempts to put a replacement voter on record
	replacementStartMS     = 2000.0  // from noticing that a voter has lost data to the start of its replacement
	agentCommandTimeoutMS  = 3000.0
	changeTimeoutMS        = 8000.0 // of a command to take a worker out or in
	schedulerCallTimeoutMS = 1000.0
	noTimeoutMS            = 1e9 // longer than any run

	maxRegisteredAgents = 300 // agents beyond that are not put on record
)

// Run simulates one run and returns its result. The raft library draws its election timeouts from crypto/rand.Reader,
// which is replaced by a generator seeded with Options.Seed for the duration of the run: a process can therefore simulate
// only one run at a time.
func Run(options Options) *Result {
	systemRandom := cryptorand.Reader
	var seed [32]byte
	binary.BigEndian.PutUint64(seed[:], options.Seed)
	cryptorand.Reader = rand.NewChaCha8(seed)
	defer func() { cryptorand.Reader = systemRandom }()
	sim := &simulation{options: options, random: rand.New(rand.NewPCG(options.Seed, 11)), disconnected: map[string]bool{},
		initialVoters: map[uint64]string{}, recordChecksums: map[uint64]uint32{}, acknowledged: map[string]uint64{}, lastVoterID: 100}
	if sim.leaseTermMS = 1000; options.Seed%4 < 2 {
		sim.leaseTermMS = 4000
	}
	for i := range options.Voters {
		sim.initialVoters[uint64(i+1)] = fmt.Sprint("v", i+1)
	}
	for i := range options.Voters {
		v := &voter{id: uint64(i + 1), disk: quorum.NewMemoryDisk(), clock: sim.newClock(), pendingAnswers: map[string]func(fleet.CommandResult){}}
		sim.voters = append(sim.voters, v)
		sim.openVoter(v)
	}
	for i := range options.Agents {
		agent := &simAgent{id: fmt.Sprint("a", i), zone: []string{"a", "b", "c"}[i%3], clock: sim.newClock()}
		sim.agents = append(sim.agents, agent)
		sim.startAgent(agent)
	}
	for i := range options.Schedulers {
		sim.schedulers = append(sim.schedulers, &simScheduler{Member: fleet.Member{ID: fmt.Sprint("s", i), Kind: "scheduler",
			Zone: []string{"a", "b"}[i%2], Addr: fmt.Sprint("s", i)}, highestFence: map[string]uint64{}, outWorkers: map[string]string{},
			lastChange: map[string]uint64{}})
	}
	if options.Operations {
		sim.ops = newOperations(sim)
		sim.ops.initialize()
	}
	sim.diskFaultVoter = sim.random.IntN(options.Voters)
	sim.registerMembers()
	sim.schedule(0, sim.tick)
	if !options.NoFaults {
		sim.schedule(startupMS, sim.injectFault)
	}
	sim.schedule(startupMS, sim.changeWorkers)
	for len(sim.queue) > 0 && len(sim.result.Violations) == 0 {
		e := heap.Pop(&sim.queue).(event)
		if sim.nowMS = e.atMS; sim.nowMS > sim.maxDurationMS() ||
			sim.ops != nil && sim.ops.endedMS > 0 && sim.nowMS > sim.ops.endedMS+afterOperationMS {
			break
		}
		if !sim.faultsEnded && sim.nowMS > startupMS+options.FaultsMs {
			sim.endFaults()
		}
		e.run()
	}
	sim.checkFinalState()
	if sim.ops != nil {
		sim.result.AgentCalls, sim.result.MaxOut = sim.ops.agentCalls, sim.ops.maxOut
		sim.result.OperationEndedMs, sim.result.LowerBoundMs = sim.ops.endedMS, sim.ops.lowerBoundMS()
	}
	sim.result.Digest = sim.checksum
	return &sim.result
}

// maxDurationMS returns the simulated time, in ms, at which a run ends at the latest.
func (sim *simulation) maxDurationMS() float64 {
	maxMS := startupMS + 2*sim.options.FaultsMs + recoveryMS
	if sim.ops != nil {
		// In the worst case members are taken out and brought back one after the other, after a wave has used up its time limit.
		maxMS += memberStepsMS*float64(min(len(sim.schedulers), 40)+len(sim.ops.workers)) + sim.ops.requested.MaxWaveMs
	}
	return maxMS
}

// newClock draws a clock that is at most 10 % fast or slow.
func (sim *simulation) newClock() clock {
	return clock{0.9 + 0.2*sim.random.Float64(), 1e6 * sim.random.Float64()}
}

// schedule has run called after delayMS of simulated time.
func (sim *simulation) schedule(delayMS float64, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.nowMS + delayMS, sim.sequence, run})
}

// traceEvent adds an event and its time to the run's digest.
func (sim *simulation) traceEvent(format string, args ...any) {
	sim.checksum = crc32.Update(sim.checksum, crc32.IEEETable, fmt.Appendf(nil, "%.3f "+format, append([]any{sim.nowMS}, args...)...))
}

// reportViolation adds a violated invariant to the result, which ends the run.
func (sim *simulation) reportViolation(format string, args ...any) {
	sim.result.Violations = append(sim.result.Violations, fmt.Sprintf("%.0f ms: ", sim.nowMS)+fmt.Sprintf(format, args...))
}

// openVoter starts a voter from what its disk has.
func (sim *simulation) openVoter(v *voter) {
	sim.voterStarts++
	node, err := quorum.Open(quorum.Options{ID: v.id, Voters: sim.initialVoters, Join: v.joining, Replaces: v.replacedID, Disk: v.disk,
		StartID: sim.voterStarts, InjectedFault: sim.options.PlantedBug})
	if v.node, v.heldMessages = node, nil; err != nil {
		sim.reportViolation("voter %d does not start: %v", v.id, err)
	}
}

// startAgent starts an agent, which then owns nothing and has an empty record.
func (sim *simulation) startAgent(agent *simAgent) {
	agent.startCount++
	agent.up, agent.record, agent.owned, agent.commandPending = true, fleet.NewRecord(), map[string]*ownership{}, map[string]bool{}
	agent.leaseClaimer = fleet.NewLeaseClaimer(agent.id, fmt.Sprint(agent.startCount), sim.leaseTermMS)
	agent.leaseClaimer.ClaimWithoutWaiting = sim.options.PlantedBug == "new-leader-hurries"
	if sim.ops != nil && len(sim.ops.hosts) > 0 {
		sim.ops.restoreAgent(agent)
	}
}

// registerMembers submits the commands that put agents, schedulers and workers on record.
func (sim *simulation) registerMembers() {
	var members []fleet.Member
	for _, agent := range sim.agents[:min(len(sim.agents), maxRegisteredAgents)] {
		members = append(members, fleet.Member{ID: agent.id, Kind: "agent", Zone: agent.zone, Addr: agent.id})
	}
	for _, scheduler := range sim.schedulers {
		members = append(members, scheduler.Member)
	}
	if sim.ops != nil {
		for _, id := range slices.Sorted(maps.Keys(sim.ops.workers)) {
			worker := sim.ops.workers[id]
			members = append(members, fleet.Member{ID: id, Kind: "worker", Zone: worker.zone, Addr: "worker/" + id,
				Agent: worker.agent.id, Capacity: 1})
		}
	}
	for _, member := range members {
		sim.submit("lab", fleet.Command{Caller: "lab" + member.ID, Number: 1, Verb: "member", Member: &member}, noTimeoutMS,
			func(fleet.CommandResult) {})
	}
}

// drawDelay draws whether a message from one process to another is delivered, and after how many ms.
func (sim *simulation) drawDelay(from, to string) (delayMS float64, delivered bool) {
	if sim.disconnected[from] || sim.disconnected[to] || sim.random.Float64() < sim.lossProbability {
		return 0, false
	}
	delayMS = 0.2 + 2*sim.random.Float64()
	if sim.lossProbability > 0 && sim.random.IntN(20) == 0 {
		delayMS += 4000 * sim.random.Float64() // while messages get lost, 1 in 20 is held up in the network
	}
	return delayMS, true
}

// submit sends a command to every voter that takes itself for the leader, and again every resubmitMS until an answer has
// come or timeoutMS is over. onAnswer is called once, or never.
func (sim *simulation) submit(from string, command fleet.Command, timeoutMS float64, onAnswer func(fleet.CommandResult)) {
	command.FormatVersion = fleet.FormatVersionOf(&command)
	raw, _ := json.Marshal(command)
	key, answered, untilMS := fmt.Sprint(command.Caller, " ", command.Number), false, sim.nowMS+timeoutMS
	var attempt func()
	attempt = func() {
		if answered || sim.nowMS > untilMS {
			return
		}
		for _, v := range sim.voters {
			if _, leads := v.node.Leader(); !leads || v.node.Err() != nil {
				continue
			}
			if delayMS, ok := sim.drawDelay(from, fmt.Sprint("v", v.id)); ok {
				node := v.node
				sim.schedule(delayMS, func() {
					if v.node != node || v.pausedUntilMS > sim.nowMS {
						return
					}
					v.pendingAnswers[key] = func(answer fleet.CommandResult) {
						if delayMS, ok := sim.drawDelay(fmt.Sprint("v", v.id), from); ok {
							sim.schedule(delayMS, func() {
								if !answered {
									answered = true
									onAnswer(answer)
								}
							})
						}
					}
					_ = node.Propose(v.clock.read(sim.nowMS), raw)
					sim.advanceVoter(v)
				})
			}
		}
		sim.schedule(resubmitMS, attempt)
	}
	attempt()
}

// tick updates every process and checks the invariants.
func (sim *simulation) tick() {
	for _, v := range sim.voters {
		if v.pausedUntilMS <= sim.nowMS {
			for _, message := range v.heldMessages {
				_ = v.node.Step(v.clock.read(sim.nowMS), message)
			}
			v.heldMessages = nil
			_ = v.node.Tick()
			sim.advanceVoter(v)
		}
		if v.node.DiskBehind() && !v.replacementPending {
			sim.replaceVoter(v)
		}
	}
	leader := sim.leader()
	if sim.ops != nil {
		if sim.ops.tick(); sim.faultsEnded && leader != nil && sim.ops.endedMS == 0 {
			sim.ops.finishOperations(leader.node.Record)
		}
	}
	for i, agent := range sim.agents {
		// In runs without operations an agent that owns nothing is updated at every tenth tick only.
		if len(agent.owned) > 0 || sim.ops != nil || i%10 == int(sim.nowMS/agentTickMS)%10 {
			sim.updateAgent(agent, leader)
		}
	}
	sim.checkInvariants()
	sim.schedule(agentTickMS, sim.tick)
}

// updateAgent gives an agent the leader's record, if it is connected, and has it do what is due.
func (sim *simulation) updateAgent(agent *simAgent, leader *voter) {
	if !agent.up || agent.pausedUntilMS > sim.nowMS {
		return
	}
	if leader != nil && !sim.disconnected[agent.id] && leader.pausedUntilMS <= sim.nowMS &&
		agent.record.No != leader.node.Record.No {
		agent.record = sim.sharedCopy(leader.node.Record) // a disconnected agent goes on with the record it read last
	}
	if sim.workOnLeases(agent); sim.ops != nil {
		sim.ops.superviseProcesses(agent)
	}
}

// wakeAgent schedules an extra update of an agent after wakeDelayMS, as agent.Agent does when it has heard something new.
func (sim *simulation) wakeAgent(agent *simAgent) {
	if !agent.wakeScheduled {
		agent.wakeScheduled = true
		sim.schedule(wakeDelayMS, func() {
			agent.wakeScheduled = false
			sim.updateAgent(agent, sim.leader())
		})
	}
}

// sharedCopy returns a copy of the record as it is now. Agents that read the same state share one copy.
func (sim *simulation) sharedCopy(record *fleet.Record) *fleet.Record {
	if sim.recordCopy == nil || sim.copiedRecord != record || sim.recordCopy.No != record.No {
		sim.recordCopy, sim.copiedRecord = record.Clone(), record
	}
	return sim.recordCopy
}

// leader returns the first voter that takes itself for the leader, has not stopped and is not paused, nil if there is none.
func (sim *simulation) leader() *voter {
	for _, v := range sim.voters {
		if _, leads := v.node.Leader(); leads && v.node.Err() == nil && v.pausedUntilMS <= sim.nowMS {
			return v
		}
	}
	return nil
}

// advanceVoter has a voter write to its disk and apply commands, sends its messages, wakes the agents that own something
// when its record has changed, and passes on the answers to commands.
func (sim *simulation) advanceVoter(v *voter) {
	if err := v.node.Work(v.clock.read(sim.nowMS)); err != nil && !v.node.DiskBehind() && !errors.Is(err, quorum.ErrReplaced) {
		sim.reportViolation("voter %d stopped: %v", v.id, err)
	}
	for message, ok := v.node.NextMessage(); ok; message, ok = v.node.NextMessage() {
		sim.result.Messages++
		if delayMS, ok := sim.drawDelay(fmt.Sprint("v", message.From), fmt.Sprint("v", message.To)); ok {
			sim.schedule(delayMS, func() { sim.deliver(message) })
		}
	}
	if _, leads := v.node.Leader(); leads && v.node.Record.No > sim.notifiedCommand {
		sim.notifiedCommand = v.node.Record.No
		for _, agent := range sim.agents {
			if len(agent.owned) > 0 && !sim.disconnected[agent.id] {
				sim.wakeAgent(agent)
			}
		}
	}
	for done, ok := v.node.NextOutcome(); ok; done, ok = v.node.NextOutcome() {
		key := fmt.Sprint(done.Caller, " ", done.Number)
		if onAnswer := v.pendingAnswers[key]; onAnswer != nil {
			delete(v.pendingAnswers, key)
			onAnswer(done.Result)
		}
	}
}

// deliver hands a message to the voter that it is addressed to. One for a voter that was replaced is dropped; but if it asks
// what that voter has seen acknowledged, the process of the replacement answers in its name that it has lost data, and who
// votes now.
func (sim *simulation) deliver(message quorum.Message) {
	for _, v := range sim.voters {
		switch {
		case v.id == message.To && v.pausedUntilMS > sim.nowMS:
			v.heldMessages = append(v.heldMessages, message)
		case v.id == message.To:
			_ = v.node.Step(v.clock.read(sim.nowMS), message)
			sim.advanceVoter(v)
		case message.Query != 0 && message.To == v.replacedID:
			sim.deliver(quorum.Message{From: message.To, To: message.From, ReplyTo: message.Query, DiskBehind: true, Voters: v.node.Record.Voters,
				VotersChangeNo: v.node.Record.VotersChangeNo})
		}
	}
}

// workOnLeases does an agent's work for the leases that it owns, and claims or passes on others, as agent.Agent does.
func (sim *simulation) workOnLeases(agent *simAgent) {
	localNowMS := agent.clock.read(sim.nowMS)
	for _, leaseName := range slices.Sorted(maps.Keys(agent.owned)) {
		owned := agent.owned[leaseName]
		if !owned.lease.Valid(localNowMS) || owned.superseded() || agent.record.Leases[leaseName].Fence > owned.lease.Fence {
			sim.traceEvent("lost %s %s", agent.id, leaseName)
			delete(agent.owned, leaseName)
			continue
		}
		if recorded := agent.record.Leases[leaseName]; recorded.HandoverTo != "" && recorded.HandoverTo != agent.id && recorded.Owner == agent.leaseClaimer.Owner {
			if owned.openCalls == 0 && !agent.commandPending[leaseName] {
				delete(agent.owned, leaseName)
				sim.sendCommand(agent, leaseName, fleet.Command{Verb: "leave", Lease: leaseName, Owner: agent.leaseClaimer.Owner,
					Fence: owned.lease.Fence}, nil)
			}
			continue
		}
		if owned.operationRunner != nil {
			if owned.operationRunner.Follow(localNowMS, agent.record); owned.operationRunner.Finished() &&
				agent.record.Leases[leaseName].Owner == agent.leaseClaimer.Owner {
				if !agent.commandPending[leaseName] {
					delete(agent.owned, leaseName)
					sim.sendCommand(agent, leaseName, fleet.Command{Verb: "leave", Lease: leaseName, Owner: agent.leaseClaimer.Owner,
						Fence: owned.lease.Fence}, nil)
				}
				continue
			}
		} else {
			owned.notifier.Follow(localNowMS, agent.record, owned.zone)
		}
		if !agent.commandPending[leaseName] && owned.lease.NextRenewal(localNowMS, owned.notifier != nil && owned.notifier.Urgent()) {
			renewal := fleet.Command{Verb: "renew", Lease: leaseName, Owner: agent.leaseClaimer.Owner, Fence: owned.lease.Fence}
			if owned.notifier != nil {
				var complete bool
				if renewal.Health, complete = owned.notifier.Report(localNowMS); complete {
					renewal.To = fleet.AllReported
				}
			}
			sim.sendCommand(agent, leaseName, renewal,
				func(answer fleet.CommandResult) { owned.lease.Renewed(answer.Applied) })
		}
		if owned.operationRunner != nil {
			sim.ops.driveOperation(agent, localNowMS, leaseName, owned)
			continue
		}
		for call, ok := owned.notifier.Next(localNowMS); ok; call, ok = owned.notifier.Next(localNowMS) {
			sim.callScheduler(agent, owned, call)
		}
	}
	if command, ok := agent.leaseClaimer.NextClaim(localNowMS, agent.record, sim.absentAgents()); ok && agent.owned[command.Lease] == nil &&
		!agent.commandPending[command.Lease] {
		sim.sendCommand(agent, command.Lease, command, func(answer fleet.CommandResult) {
			if answer.Applied {
				sim.traceEvent("owned %s %s %d", agent.id, command.Lease, answer.Fence)
				sim.result.Claims++
				lease := fleet.NewHeldLease(localNowMS, answer.Fence, sim.leaseTermMS)
				for _, other := range sim.agents {
					// An agent that was paused may learn that its claim succeeded only after the lease has run out: it
					// holds nothing then, and there is no conflict.
					if !lease.Valid(agent.clock.read(sim.nowMS)) {
						break
					}
					if otherOwned := other.owned[command.Lease]; other != agent && other.up && other.pausedUntilMS <= sim.nowMS &&
						otherOwned != nil && otherOwned.lease.Valid(other.clock.read(sim.nowMS)) {
						sim.reportViolation("%s claimed %s, and %s still held it", agent.id, command.Lease, other.id)
					}
				}
				newOwned := &ownership{lease: lease}
				if id, isOp := strings.CutPrefix(command.Lease, "op/"); isOp {
					newOwned.operationRunner = fleet.NewOperationController(id, agent.leaseClaimer.Owner, answer.Fence)
					newOwned.operationRunner.InjectedFault = sim.options.PlantedBug
				} else {
					newOwned.notifier, newOwned.zone = fleet.NewZoneController(command.Lease, answer.Fence), command.Lease[len("zone/"):]
					if newOwned.notifier.InjectedFault = sim.options.PlantedBug; sim.ops != nil {
						newOwned.notifier.Halted = func(intent fleet.Intent) bool {
							return sim.ops.stepExecutors[agent.id].Halted(agent.record, intent)
						}
					}
				}
				agent.owned[command.Lease] = newOwned
			}
		})
	}
	if command, ok := agent.leaseClaimer.NextHandover(localNowMS, agent.record, sim.absentAgents()); ok && !agent.commandPending[command.Lease] {
		sim.sendCommand(agent, command.Lease, command, nil)
	}
}

// absentAgents returns the agents that are down, disconnected or paused. It stands for what a leader tells agents about
// those it has not heard from.
func (sim *simulation) absentAgents() map[string]bool {
	gone := map[string]bool{}
	for _, agent := range sim.agents {
		if !agent.up || sim.disconnected[agent.id] || agent.pausedUntilMS > sim.nowMS {
			gone[agent.id] = true
		}
	}
	return gone
}

// sendCommand submits an agent's command. Until it is answered or has timed out, commandPending is true for leaseName.
// onAnswer may be nil; it is not called if the agent was restarted in between.
func (sim *simulation) sendCommand(agent *simAgent, leaseName string, command fleet.Command, onAnswer func(fleet.CommandResult)) {
	agent.lastCommandNumber++
	startCount := agent.startCount
	command.Caller, command.Number = fmt.Sprint(agent.leaseClaimer.Owner, "/", leaseName), agent.lastCommandNumber
	agent.commandPending[leaseName] = true
	sim.schedule(agentCommandTimeoutMS, func() {
		if agent.startCount == startCount {
			delete(agent.commandPending, leaseName) // no answer came: the command may or may not have been applied
		}
	})
	sim.submit(agent.id, command, agentCommandTimeoutMS, func(answer fleet.CommandResult) {
		if agent.startCount != startCount || !agent.up {
			return
		}
		handle := func() {
			if agent.startCount == startCount {
				delete(agent.commandPending, leaseName)
				if onAnswer != nil {
					onAnswer(answer)
				}
				sim.wakeAgent(agent)
			}
		}
		if agent.pausedUntilMS > sim.nowMS {
			sim.schedule(agent.pausedUntilMS-sim.nowMS+1, handle) // a paused agent reads the answer when the pause is over
			return
		}
		handle()
	})
}

// callScheduler makes a call at a scheduler. The reply is decided when the call arrives there, however late that is.
func (sim *simulation) callScheduler(agent *simAgent, owned *ownership, call fleet.SchedulerCall) {
	startCount := agent.startCount
	owned.openCalls++
	answered := false
	answer := func(reply fleet.SchedulerReply) {
		if !answered && agent.startCount == startCount && agent.up {
			answered = true
			owned.openCalls--
			owned.notifier.Answered(agent.clock.read(sim.nowMS), call, reply)
			sim.wakeAgent(agent)
		}
	}
	sim.schedule(schedulerCallTimeoutMS, func() { answer(fleet.SchedulerReply{Reason: "no answer"}) })
	delayMS, ok := sim.drawDelay(agent.id, call.To.ID)
	if !ok {
		return
	}
	sim.schedule(delayMS, func() {
		for _, scheduler := range sim.schedulers {
			if scheduler.ID != call.To.ID {
				continue
			}
			reply := sim.handleSchedulerCall(scheduler, call)
			if sim.ops != nil && !sim.ops.schedulerStatus(scheduler, strings.TrimPrefix(call.Lease, "zone/"), &reply) {
				continue
			}
			if delayMS, ok := sim.drawDelay(scheduler.ID, agent.id); ok {
				sim.schedule(delayMS, func() { answer(reply) })
			}
		}
	})
}

// handleSchedulerCall applies a call at a scheduler and returns the reply. A call is refused if it is meant for another
// start of the scheduler, has a lower fence than one seen, or an older change of the worker than one seen.
func (sim *simulation) handleSchedulerCall(scheduler *simScheduler, call fleet.SchedulerCall) fleet.SchedulerReply {
	start := fmt.Sprint(scheduler.startCount)
	reply := fleet.SchedulerReply{Reached: true, Start: start, Fence: scheduler.highestFence[call.Lease]}
	switch {
	case call.Kind == fleet.CallStatus:
		reply.Applied, reply.Phase = true, "serving"
		for id, leaseName := range scheduler.outWorkers {
			if leaseName == call.Lease {
				reply.Out = append(reply.Out, id)
			}
		}
		slices.Sort(reply.Out)
		return reply
	case call.Start != start && sim.options.PlantedBug != "former-start":
		sim.result.RefusedCalls++
		reply.Reason = "start " + start
		return reply
	case call.Fence < scheduler.highestFence[call.Lease]:
		if sim.result.RefusedCalls++; sim.options.PlantedBug != "no-fence" {
			reply.Reason = "fence"
			return reply
		}
		sim.reportViolation("%s took number %d of %s after %d", scheduler.ID, call.Fence, call.Lease, scheduler.highestFence[call.Lease])
	}
	if call.Kind == fleet.CallSetWorker && call.Since < scheduler.lastChange[call.Worker] && sim.options.PlantedBug != "no-change" {
		sim.result.RefusedCalls++
		reply.Reason = "change"
		return reply
	}
	scheduler.highestFence[call.Lease] = max(call.Fence, scheduler.highestFence[call.Lease])
	if reply.Applied, reply.Fence = true, call.Fence; call.Kind == fleet.CallSetWorker {
		scheduler.lastChange[call.Worker] = call.Since
		if scheduler.outWorkers[call.Worker] = call.Lease; !call.Out {
			delete(scheduler.outWorkers, call.Worker)
		}
		sim.traceEvent("told %s %s %v %d", scheduler.ID, call.Worker, call.Out, call.Fence)
	}
	return reply
}

// changeWorkers takes a random worker out or in every 100 to 500 ms, and remembers which commands were acknowledged.
func (sim *simulation) changeWorkers() {
	if sim.faultsEnded {
		return
	}
	verb := []string{"out", "in"}[sim.random.IntN(2)]
	sim.sequence++
	command := fleet.Command{Caller: fmt.Sprint("client", sim.sequence), Number: 1, Verb: verb, ID: fmt.Sprint("w", sim.random.IntN(6)),
		Zone: "a", By: "ann", Force: true}
	sim.submit("client", command, changeTimeoutMS, func(answer fleet.CommandResult) {
		if answer.Applied {
			sim.result.AcknowledgedChanges++
			sim.acknowledged[command.Caller] = answer.No
			sim.traceEvent("yes %s %d", command.Caller, answer.No)
		}
	})
	sim.schedule(100+400*sim.random.Float64(), sim.changeWorkers)
}

// ---- faults ----

// injectFault draws one fault and starts it, and does so again every 100 to 1000 ms until faults end.
func (sim *simulation) injectFault() {
	if sim.faultsEnded {
		return
	}
	spanMS := 100 + 3000*sim.random.Float64()
	v := sim.voters[sim.random.IntN(len(sim.voters))]
	agent := sim.agents[sim.random.IntN(min(len(sim.agents), 6))]
	for _, candidate := range sim.agents { // agents that own a lease are hit more often
		if len(candidate.owned) > 0 && sim.random.IntN(3) == 0 {
			agent = candidate
		}
	}
	faultKinds := 9
	if sim.ops != nil {
		faultKinds = 10
	}
	switch sim.random.IntN(faultKinds) {
	case 0: // a voter is disconnected
		name := fmt.Sprint("v", v.id)
		sim.disconnected[name] = true
		sim.schedule(spanMS, func() { delete(sim.disconnected, name) })
	case 1: // an agent is disconnected
		sim.disconnected[agent.id] = true
		sim.schedule(spanMS, func() { delete(sim.disconnected, agent.id) })
	case 2: // a voter is paused
		v.pausedUntilMS = sim.nowMS + spanMS
	case 3: // an agent is paused
		agent.pausedUntilMS = sim.nowMS + spanMS
	case 4: // a voter crashes and restarts at once
		sim.crashVoter(v)
	case 5: // an agent crashes and restarts later
		agent.up = false
		sim.schedule(spanMS, func() { sim.startAgent(agent) })
	case 6: // messages get lost
		sim.lossProbability = 0.3 * sim.random.Float64()
		sim.schedule(spanMS, func() { sim.lossProbability = 0 })
	case 7: // a scheduler crashes and restarts
		scheduler := sim.schedulers[sim.random.IntN(len(sim.schedulers))]
		if sim.ops != nil {
			host := sim.ops.hostByScheduler[scheduler.ID]
			host.processes, host.failedByFault = [2]*simProcess{}, true
		}
		scheduler.startCount++
		scheduler.highestFence, scheduler.outWorkers, scheduler.lastChange = map[string]uint64{}, map[string]string{}, map[string]uint64{}
		// A scheduler that starts first asks its agent, which makes a quorum read, for the fences and the workers that are
		// out. If the record can't be read it starts without them; 1 in 4 starts stands for that.
		if leader := sim.leader(); leader != nil && sim.random.IntN(4) > 0 {
			for name, recorded := range leader.node.Record.Leases {
				scheduler.highestFence[name] = recorded.Fence
			}
			for id, intent := range leader.node.Record.Intents {
				if intent.Out {
					scheduler.outWorkers[id] = fleet.ZoneLease(intent.Zone)
				}
			}
		}
	case 9: // an agent's disk acknowledges writes without keeping them, and the agent crashes and restarts later
		if sim.ops != nil {
			sim.ops.lyingDisks[agent.id] = true // the steps that it begins from now on are not on its disk
			sim.schedule(spanMS, func() {
				agent.up = false
				sim.schedule(200, func() { sim.startAgent(agent) })
			})
		}
	case 8: // a voter's disk acknowledges syncs without keeping the data, or an older copy is put back; the voter then crashes
		// Only one voter's disk at a time is faulty: with two at once the record's guarantees don't hold.
		if victim := sim.voters[sim.diskFaultVoter]; !sim.diskFaulty && !victim.node.DiskBehind() {
			sim.diskFaulty = true
			if sim.random.IntN(2) == 0 {
				victim.disk.LoseSyncs = true
				sim.schedule(spanMS, func() { sim.crashVoter(victim) })
			} else {
				oldDisk := victim.disk.Copy()
				sim.schedule(spanMS, func() {
					victim.disk = oldDisk
					sim.crashVoter(victim)
				})
			}
		}
	}
	sim.schedule(100+900*sim.random.Float64(), sim.injectFault)
}

// crashVoter restarts a voter from its disk, which has lost what was not synced.
func (sim *simulation) crashVoter(v *voter) {
	sim.traceEvent("kill %d", v.id)
	v.disk.Crash(sim.random)
	v.pausedUntilMS = 0
	v.pendingAnswers = map[string]func(fleet.CommandResult){}
	sim.openVoter(v)
}

// replaceVoter plays the operator who puts a new voter in the place of one whose disk is known to have lost data.
func (sim *simulation) replaceVoter(v *voter) {
	v.replacementPending = true // otherwise it would be replaced twice, and one of the two new voters would never start
	sim.result.ReplacedVoters++
	sim.lastVoterID++
	newID, oldID := sim.lastVoterID, v.id
	sim.traceEvent("replace %d by %d", oldID, newID)
	var propose func()
	joined := func() bool {
		leader := sim.leader()
		return leader != nil && leader.node.Record.Voters[newID] != ""
	}
	propose = func() {
		if joined() {
			return
		}
		if leader := sim.leader(); leader != nil {
			err := leader.node.ProposeVoters(newID, fmt.Sprint("v", newID), oldID)
			if sim.advanceVoter(leader); errors.Is(err, quorum.ErrInvalidVoterChange) {
				return // the replacement was applied already, or another voter has taken the place
			}
		}
		sim.schedule(replaceRetryMS, propose)
	}
	propose()
	sim.schedule(replacementStartMS, func() {
		v.id, v.joining, v.replacedID, v.disk, v.replacementPending = newID, true, oldID, quorum.NewMemoryDisk(), false
		v.pendingAnswers = map[string]func(fleet.CommandResult){}
		sim.openVoter(v)
		sim.diskFaulty = false
	})
}

// endFaults undoes all faults that are still active.
func (sim *simulation) endFaults() {
	sim.faultsEnded = true
	sim.lossProbability = 0
	clear(sim.disconnected)
	for _, v := range sim.voters {
		v.pausedUntilMS = 0
		v.disk.LoseSyncs = false
	}
	for _, agent := range sim.agents {
		if agent.pausedUntilMS = 0; !agent.up {
			sim.startAgent(agent)
		}
	}
}

// ---- invariants ----

// checkInvariants checks that at this moment of simulated time each lease has at most one owner, and that all voters had
// the same record after the same command.
func (sim *simulation) checkInvariants() {
	owners := map[string]string{}
	for _, agent := range sim.agents {
		if !agent.up || agent.pausedUntilMS > sim.nowMS {
			continue
		}
		for name, owned := range agent.owned {
			if owned.lease.Valid(agent.clock.read(sim.nowMS)) && !owned.superseded() {
				if other := owners[name]; other != "" {
					sim.reportViolation("%s and %s both own %s", other, agent.id, name)
				}
				owners[name] = agent.id
			}
		}
	}
	for _, v := range sim.voters {
		if record := v.node.Record; v.node.Err() == nil && record.No > 0 && record.No != v.lastCheckedCommand {
			v.lastCheckedCommand = record.No
			sum := crc32.ChecksumIEEE(record.Snapshot())
			if known, ok := sim.recordChecksums[record.No]; ok && known != sum {
				sim.reportViolation("voter %d has another record after command %d", v.id, record.No)
			}
			sim.recordChecksums[record.No] = sum
		}
	}
}

// checkFinalState checks, at the end of the time without faults, that there is a leader, that every acknowledged command is
// on record, and that every scheduler that serves has the same workers out as the record.
func (sim *simulation) checkFinalState() {
	if len(sim.result.Violations) > 0 {
		return
	}
	leader := sim.leader()
	if leader == nil {
		details := ""
		for _, v := range sim.voters {
			id, _ := v.node.Leader()
			details += fmt.Sprintf("; %d counts %t behind %t follows %d err %v, voters %v", v.id, v.node.Participating(), v.node.DiskBehind(), id,
				v.node.Err(), v.node.Record.Voters)
		}
		sim.reportViolation("no leader at the end%s", details)
		return
	}
	record := leader.node.Record
	for _, caller := range slices.Sorted(maps.Keys(sim.acknowledged)) {
		if session, ok := record.Sessions[caller]; !ok || session.Result.No != sim.acknowledged[caller] {
			sim.reportViolation("%s was answered yes as %d, and is not on record so", caller, sim.acknowledged[caller])
		}
	}
	if record.Retries > 0 {
		sim.traceEvent("retries %d", record.Retries)
	}
	if sim.ops != nil {
		sim.ops.checkFinalState(record)
	}
	wantOut := record.WorkersOut("")
	for _, scheduler := range sim.schedulers {
		if sim.ops != nil && !sim.ops.hostByScheduler[scheduler.ID].serves(sim.nowMS) {
			continue // it needs an operator
		}
		if out := slices.Sorted(maps.Keys(scheduler.outWorkers)); !slices.Equal(out, wantOut) {
			sim.reportViolation("%s has out %v, the record %v", scheduler.ID, out, wantOut)
		}
	}
}
