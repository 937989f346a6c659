// Package agent runs one machine's member of the fleet's control plane. An agent may be a voter, which keeps a replica of
// the fleet's record; it may hold leases, and then acts for the whole fleet on a zone's workers or on an operation; it
// starts and stops the schedulers of its machine; and it answers this machine's schedulers, other agents and beamctl over
// HTTP. Package fleet makes the decisions, package quorum replicates the record.
//
// The record, the wire and the log call a lease a matter: "zone/NAME" for the workers of a zone, "op/ID" for an operation.
// They call its fencing token a fence. A worker that is out, or down, gets no new postings from any scheduler.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"shalebeam/fleet"
	"shalebeam/quorum"
	"shalebeam/scheduler/transient"
)

const (
	workInterval           = 50 * time.Millisecond
	workDelay              = 5 * time.Millisecond // after an event, so that events that come close together are handled in one pass
	callTimeout            = time.Second          // of one call to a scheduler or an agent
	longPollTimeout        = time.Second          // that a request for the record waits for a newer version
	commandTimeout         = 3 * time.Second      // for the outcome of a command, with all of its attempts
	listenRetryPeriod      = 4 * time.Second      // while listen fails with a transient error
	followRetryDelay       = 100 * time.Millisecond
	registerInterval       = 100 * time.Millisecond
	maxCommandsPerPass     = 32     // of one operation, sent at once
	maxCallsPerLease       = 32     // to schedulers and agents, in flight at once
	absentAfterMS          = 3000.0 // since an agent last asked the leader for the record: it then counts as absent
	maxSchedulerReplyBytes = 1 << 20
)

// Agent is a running agent.
type Agent struct {
	config        *Config
	log           *slog.Logger
	clock         quorum.Clock // monotonic, in ms
	voter         *quorum.Host // nil where this agent is not a voter
	httpClient    *http.Client
	startID       string // random, tells this start of the agent from others
	injectedFault string // fault planted for a test, "" for none: only in a build with the tag faults
	ownerID       string // name and startID: the owner that the record names in this agent's leases
	listenAddr    string

	mu              sync.Mutex
	record          *fleet.Record // as last received; replaced as a whole, never changed in place
	recordJSON      []byte        // the same as JSON, the base of the next patch; nil: the whole record is to be requested
	absentAgents    map[string]bool
	lastLeaderAddr  string // as last received; "" where it is not known
	leaseClaimer    *fleet.LeaseClaimer
	ownedLeases     map[string]*ownedLease // by name of the lease
	lastNumber      uint64                 // of this agent's commands
	heardAtMS       map[string]float64     // when each agent last asked for the record, where this voter leads
	commandInFlight map[string]bool        // by name of the lease, or of an operation's step
	patches         patchCache
	supervisor      *supervisor   // of this machine's schedulers, and of the steps that were begun here
	workRequested   chan struct{} // see requestWork
}

// ownedLease is a lease that this agent holds, with the work that comes with it: one of notifier and operation is set.
type ownedLease struct {
	zone          string
	lease         *fleet.HeldLease
	notifier      *fleet.ZoneController      // tells schedulers which of the zone's workers are out; nil for the lease of an operation
	operation     *fleet.OperationController // carries out the operation; nil for the lease of a zone
	callsInFlight int
}

// Run runs an agent until ctx is done or its voter has to stop. With trustDisk its voter counts on its disk without being
// told by the other voters what it had acknowledged, which only a person can answer for.
func Run(ctx context.Context, config *Config, trustDisk bool, injectedFault string, logger *slog.Logger) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	startID := strconv.FormatUint(rand.Uint64()>>32, 16)
	a := &Agent{config: config, log: logger, clock: quorum.NewClock(), httpClient: NewHTTP(config.Via, callTimeout), startID: startID, injectedFault: injectedFault,
		ownerID: fleet.OwnerName(config.Name, startID), record: fleet.NewRecord(), absentAgents: map[string]bool{},
		leaseClaimer: fleet.NewLeaseClaimer(config.Name, startID, float64(config.Term)/1e6), ownedLeases: map[string]*ownedLease{}, heardAtMS: map[string]float64{},
		commandInFlight: map[string]bool{}, workRequested: make(chan struct{}, 1)}
	var listener net.Listener
	err := transient.Retry(listenRetryPeriod, transient.IsTransient, func() (err error) {
		listener, err = net.Listen("tcp", config.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a.listenAddr = listener.Addr().String()
	a.leaseClaimer.ClaimWithoutWaiting = injectedFault == "new-leader-hurries"
	if injectedFault == "wall-clock" {
		a.clock = quorum.WallClock()
	}
	voterStopped := make(<-chan struct{})
	var disk quorum.Disk
	if config.Data != "" {
		if disk, err = quorum.OpenDirectory(config.Data); err != nil {
			return fmt.Errorf("data: %w", err)
		}
	}
	if own := config.ownVoter(); own != nil {
		initialVoters := map[uint64]string{}
		for _, v := range config.Voters {
			initialVoters[v.ID] = v.Addr
		}
		if a.voter, err = quorum.NewHost(ctx, quorum.Options{ID: own.ID, Voters: initialVoters, Join: config.Joins, Replaces: config.Replaces, TrustDisk: trustDisk, Disk: disk,
			StartID: rand.Uint64() | 1, InjectedFault: injectedFault}, a.clock, NewHTTP(config.Via, callTimeout), logger); err != nil {
			return fmt.Errorf("data: %w", err)
		}
		voterStopped = a.voter.Stopped()
	}
	if a.supervisor, err = newSupervisor(a, disk); err != nil {
		return fmt.Errorf("data: %w", err)
	}
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 16 << 10}
	go func() { _ = server.Serve(transient.RetryAccept(listener)) }()
	defer server.Close()
	logger.Info("agent runs", "name", config.Name, "addr", a.listenAddr, "owner", a.ownerID, "voter", config.ownVoter() != nil)
	go a.followRecord(ctx)
	go a.registerMembers(ctx)
	go a.supervisor.reconcile(ctx)
	tick := time.NewTicker(workInterval)
	defer tick.Stop()
	delay := time.NewTimer(time.Hour)
	defer delay.Stop()
	delayPending := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-voterStopped:
			if ctx.Err() != nil {
				return nil
			}
			return a.voter.Wait()
		case <-a.workRequested:
			if !delayPending {
				delayPending = true
				delay.Reset(workDelay)
			}
			continue
		case <-delay.C:
		case <-tick.C:
		}
		delayPending = false
		delay.Stop()
		a.work(ctx)
		a.supervisor.work(ctx)
	}
}

// requestWork has the next pass of work begin after workDelay. Left to the ticker, each of a member's five steps in an
// operation would wait for a tick.
func (a *Agent) requestWork() {
	select {
	case a.workRequested <- struct{}{}:
	default:
	}
}

// recordUpdate is the answer to a request for the record: the whole record, a patch, or neither where nothing is newer.
type recordUpdate struct {
	Number        uint64          `json:"no"` // of the last command in the record
	Record        json.RawMessage `json:"record,omitempty"`
	Patch         *recordPatch    `json:"change,omitempty"` // in place of Record, for an agent whose version the voter still keeps
	AbsentAgents  []string        `json:"absent,omitempty"` // from the leader only
	LeaderAddr    string          `json:"leader"`
	IsLeader      bool            `json:"leads"`  // the answering voter leads
	Participating bool            `json:"counts"` // the answering voter takes part in votes: since its start it was told what it had acknowledged
}

// followRecord keeps this agent's copy of the record up to date by long polls, of the leader where it is known.
func (a *Agent) followRecord(ctx context.Context) {
	nextVoter := 0
	for ctx.Err() == nil {
		a.mu.Lock()
		number, addr, base := a.record.No, a.lastLeaderAddr, a.recordJSON
		voters := a.voterAddrs()
		a.mu.Unlock()
		if addr == "" {
			addr = voters[nextVoter%len(voters)]
			nextVoter++
		}
		var update recordUpdate
		callCtx, stop := context.WithTimeout(ctx, longPollTimeout+callTimeout)
		target := fmt.Sprintf("http://%s/v1/record?agent=%s&after=%d", addr, url.QueryEscape(a.config.Name), number)
		if base != nil {
			target += "&changes=1"
		}
		err := callJSON(callCtx, &http.Client{Transport: a.httpClient.Transport}, "GET", target, nil, &update)
		stop()
		a.mu.Lock()
		if err != nil {
			a.lastLeaderAddr = ""
		} else {
			if a.lastLeaderAddr = update.LeaderAddr; update.LeaderAddr == addr && !update.IsLeader {
				a.lastLeaderAddr = ""
			}
			if update.Patch != nil {
				var err error
				if update.Record, err = update.Patch.apply(base); err != nil {
					a.log.Error("record patch rejected; requesting the whole record", "err", err)
					a.recordJSON = nil
				}
			}
			if len(update.Record) > 0 {
				received := fleet.NewRecord()
				received.InjectedFault = a.injectedFault
				if err := received.Restore(update.Record); err != nil {
					a.log.Error("received record could not be decoded", "err", err)
				} else if received.No >= a.record.No {
					a.record, a.recordJSON = received, update.Record
					a.requestWork()
				}
			}
			if update.IsLeader {
				a.absentAgents = map[string]bool{}
				for _, id := range update.AbsentAgents {
					a.absentAgents[id] = true
				}
			}
		}
		waitBeforeRetry := err != nil || a.lastLeaderAddr == ""
		a.mu.Unlock()
		if waitBeforeRetry {
			select {
			case <-ctx.Done():
			case <-time.After(followRetryDelay):
			}
		}
	}
}

// voterAddrs returns the addresses of the voters: by the record, or by the configuration before a record was received. The
// caller holds a.mu.
func (a *Agent) voterAddrs() (addrs []string) {
	for _, id := range slices.Sorted(maps.Keys(a.record.Voters)) {
		addrs = append(addrs, a.record.Voters[id])
	}
	if len(addrs) == 0 {
		for _, v := range a.config.Voters {
			addrs = append(addrs, v.Addr)
		}
	}
	return addrs
}

// localMembers returns this agent and the schedulers and workers of its machine, as they are now.
func (a *Agent) localMembers() []fleet.Member {
	members := []fleet.Member{{ID: a.config.Name, Kind: "agent", Zone: a.config.Zone, Addr: a.listenAddr}}
	for _, s := range a.config.Schedulers {
		m := fleet.Member{ID: s.ID, Kind: "scheduler", Zone: s.Zone, Addr: s.Addr, Labels: s.Labels}
		if s.Program != "" {
			m.Agent, m.Addr = a.config.Name, a.supervisor.addr(s.ID)
		}
		members = append(members, m)
	}
	for _, w := range a.config.Workers {
		m := fleet.Member{ID: w.ID, Kind: "worker", Zone: w.Zone, Addr: "worker/" + w.ID, Labels: w.Labels, Capacity: w.Capacity}
		if len(w.Command) > 0 {
			m.Agent = a.config.Name
		}
		members = append(members, m)
	}
	return members
}

// registerMembers enters the members of this machine in the record as soon as a leader takes commands, and again where the
// record differs: a scheduler's management address changes with each upgrade. It also records halts that were ordered here.
func (a *Agent) registerMembers(ctx context.Context) {
	refused, registered := map[fleet.Member]bool{}, map[fleet.Member]bool{}
	for ctx.Err() == nil {
		for _, m := range a.localMembers() {
			a.mu.Lock()
			upToDate := a.record.Members[m.ID] == m
			a.mu.Unlock()
			// All but the schedulers that this agent runs are entered once: if two agents' files named one under different
			// addresses, the agents would overwrite each other's entry in turn.
			if registered[m] = registered[m] || upToDate && (m.Kind != "scheduler" || m.Agent == ""); upToDate || refused[m] || registered[m] {
				continue
			}
			answer, err := a.submit(ctx, fleet.Command{Verb: "member", Member: &m, Force: true, By: a.config.Name, Caller: a.callerID("member")})
			if err == nil && !answer.Applied {
				a.log.Error("not taken on record", "member", m.ID, "why", answer.Reason)
				refused[m] = true // a person has to change the configuration or the record
			}
		}
		a.recordLocalHalts(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(registerInterval):
		}
	}
}

// callerID names one sequence of this agent's commands since its start. Commands of one sequence are sent one after the
// other: the record refuses one with a lower number than the caller's last.
func (a *Agent) callerID(sequence string) string { return a.ownerID + "/" + sequence }

// submit sends a command to the leader, or to the voters in turn, until its outcome is known or commandTimeout has passed.
func (a *Agent) submit(ctx context.Context, c fleet.Command) (fleet.CommandResult, error) {
	a.mu.Lock()
	a.lastNumber++
	c.FormatVersion, c.Number = fleet.FormatVersionOf(&c), a.lastNumber
	addrs := a.voterAddrs()
	if a.lastLeaderAddr != "" {
		addrs = append([]string{a.lastLeaderAddr}, addrs...)
	}
	a.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, commandTimeout)
	defer stop()
	return (&Caller{HTTP: a.httpClient, Addrs: addrs}).Do(ctx, c)
}

// work makes one pass over this agent's leases: it drops those that are lost, passes on those that another agent should
// have, renews the others and begins the calls and commands that are due, and claims a lease that is free.
func (a *Agent) work(ctx context.Context) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.ownedLeases)) {
		owned := a.ownedLeases[name]
		recorded := a.record.Leases[name]
		switch {
		case !owned.lease.Valid(now) || owned.supersedingFence() > 0 || recorded.Fence > owned.lease.Fence:
			// This agent must not act on it any more, even where the record that it last received still names it as the
			// owner. Calls in flight are bounded by the lease's end.
			a.log.Warn("matter lost", "matter", name, "fence", owned.lease.Fence, "passed", max(owned.supersedingFence(), recorded.Fence))
			delete(a.ownedLeases, name)
			continue
		case recorded.HandoverTo != "" && recorded.HandoverTo != a.config.Name && recorded.Owner == a.ownerID:
			if owned.callsInFlight == 0 && !a.commandInFlight[name] {
				a.log.Info("matter passed on", "matter", name, "to", recorded.HandoverTo)
				delete(a.ownedLeases, name)
				a.submitAsync(ctx, name, fleet.Command{Verb: "leave", Lease: name, Owner: a.ownerID, Fence: owned.lease.Fence, By: a.config.Name}, nil)
			}
			continue
		}
		if owned.operation != nil {
			if owned.operation.Follow(now, a.record); owned.operation.Finished() && a.record.Leases[name].Owner == a.ownerID {
				if owned.callsInFlight == 0 && !a.commandInFlight[name] {
					delete(a.ownedLeases, name)
					a.submitAsync(ctx, name, fleet.Command{Verb: "leave", Lease: name, Owner: a.ownerID, Fence: owned.lease.Fence, By: a.config.Name}, nil)
				}
				continue
			}
		} else {
			owned.notifier.Follow(now, a.record, owned.zone)
		}
		if !a.commandInFlight[name] && owned.lease.NextRenewal(now, owned.notifier != nil && owned.notifier.Urgent()) {
			renewal := fleet.Command{Verb: "renew", Lease: name, Owner: a.ownerID, Fence: owned.lease.Fence}
			if owned.notifier != nil {
				var whole bool
				if renewal.Health, whole = owned.notifier.Report(now); whole {
					renewal.To = fleet.AllReported
				}
			}
			a.submitAsync(ctx, name, renewal,
				func(answer fleet.CommandResult, err error) {
					owned.lease.Renewed(err == nil && answer.Applied)
					a.log.Debug("renewed", "matter", name, "fence", owned.lease.Fence, "left", owned.lease.ValidUntil()-a.clock.Now())
				})
		}
		if owned.operation != nil {
			a.advanceOperation(ctx, now, name, owned)
			continue
		}
		for owned.callsInFlight < maxCallsPerLease {
			call, ok := owned.notifier.Next(now)
			if !ok {
				break
			}
			owned.callsInFlight++
			go a.callScheduler(ctx, owned, call)
		}
	}
	if claim, ok := a.leaseClaimer.NextClaim(now, a.record, a.absentAgents); ok && a.ownedLeases[claim.Lease] == nil && !a.commandInFlight[claim.Lease] {
		claimedAt, zone := now, strings.TrimPrefix(claim.Lease, "zone/")
		a.submitAsync(ctx, claim.Lease, claim, func(answer fleet.CommandResult, err error) {
			if err != nil || !answer.Applied {
				return
			}
			a.log.Info("matter owned", "matter", claim.Lease, "fence", answer.Fence)
			owned := &ownedLease{zone: zone, lease: fleet.NewHeldLease(claimedAt, answer.Fence, claim.TermMs)}
			if id, isOperation := strings.CutPrefix(claim.Lease, "op/"); isOperation {
				owned.operation = fleet.NewOperationController(id, a.ownerID, answer.Fence)
				owned.operation.InjectedFault = a.injectedFault
			} else {
				owned.notifier = fleet.NewZoneController(claim.Lease, answer.Fence)
				owned.notifier.InjectedFault, owned.notifier.Halted = a.injectedFault, func(w fleet.Intent) bool { return a.supervisor.isHeldBack(a.record, w) }
			}
			a.ownedLeases[claim.Lease] = owned
		})
	}
	if request, ok := a.leaseClaimer.NextHandover(now, a.record, a.absentAgents); ok && !a.commandInFlight[request.Lease] {
		a.submitAsync(ctx, request.Lease, request, nil)
	}
}

// supersedingFence returns a fencing token above this lease's that a scheduler reported, 0 for none.
func (o *ownedLease) supersedingFence() uint64 {
	if o.notifier == nil {
		return 0
	}
	return o.notifier.SupersededBy
}

// advanceOperation begins the calls and commands of an operation that are due. The caller holds a.mu.
func (a *Agent) advanceOperation(ctx context.Context, now float64, name string, owned *ownedLease) {
	for owned.callsInFlight < maxCallsPerLease {
		call, ok := owned.operation.NextAgentStatusCall(now)
		if !ok {
			if call, ok = owned.operation.NextAgentCall(now); !ok {
				break
			}
		}
		owned.callsInFlight++
		go a.callMemberAgent(ctx, owned, call)
	}
	for owned.callsInFlight < maxCallsPerLease {
		scheduler, ok := owned.operation.NextSample(now)
		if !ok {
			break
		}
		owned.callsInFlight++
		go a.sampleTxns(ctx, owned, scheduler)
	}
	// These commands don't share the renewals' sequence, where each would wait for the other. Several are sent at once, as
	// each takes a round trip among the voters.
	for range maxCommandsPerPass {
		cmd, ok := owned.operation.NextCommand(now)
		if !ok {
			return
		}
		a.submitAsync(ctx, name+"/steps/"+cmd.ID, cmd, func(answer fleet.CommandResult, err error) {
			owned.operation.CommandAnswered(cmd)
			if err == nil && answer.Applied {
				a.log.Info("step", "op", owned.operation.ID, "do", cmd.Verb, "of", cmd.ID, "to", cmd.To, "no", answer.No, "why", cmd.Reason)
			} else if err == nil {
				a.log.Debug("step refused", "op", owned.operation.ID, "of", cmd.ID, "to", cmd.To, "why", answer.Reason)
			}
		})
	}
}

// leaseContext returns a context that ends with the lease, or after callTimeout if that is sooner.
func (a *Agent) leaseContext(ctx context.Context, owned *ownedLease) (context.Context, context.CancelFunc) {
	now := a.clock.Now()
	a.mu.Lock()
	left := time.Duration((owned.lease.ValidUntil() - now) * float64(time.Millisecond))
	a.mu.Unlock()
	return context.WithTimeout(ctx, min(callTimeout, left))
}

// callMemberAgent asks the agent of a member to do what the member's step in an operation needs next.
func (a *Agent) callMemberAgent(ctx context.Context, owned *ownedLease, call fleet.AgentCall) {
	ctx, stop := a.leaseContext(ctx, owned)
	defer stop()
	var outcome fleet.AgentResult
	err := callJSON(ctx, a.httpClient, "POST", "http://"+call.Agent.Addr+"/v1/act", call, &outcome)
	outcome.Reached = err == nil
	a.mu.Lock()
	defer a.mu.Unlock()
	owned.callsInFlight--
	owned.operation.AgentCalled(a.clock.Now(), call, outcome)
	a.requestWork()
	a.log.Debug("had", "op", call.Op, "member", call.Member, "call", call.Call, "no", call.No, "state", outcome.State, "why", outcome.Reason, "err", err)
}

// sampleTxns asks a scheduler how many txns it has settled, declined and reversed, for the gates of a release.
func (a *Agent) sampleTxns(ctx context.Context, owned *ownedLease, scheduler fleet.Member) {
	ctx, stop := a.leaseContext(ctx, owned)
	defer stop()
	reply := a.sendToScheduler(ctx, fleet.SchedulerCall{To: scheduler, Kind: fleet.CallStatus, Lease: "-"})
	a.mu.Lock()
	defer a.mu.Unlock()
	if owned.callsInFlight--; reply.Applied {
		owned.operation.Sampled(scheduler.ID, reply.Txns)
	}
}

// submitAsync sends a command without waiting for it, and then calls done, where that is not nil, with a.mu held. sequence
// is a lease's name, or names an operation's step: it has one command in flight at a time. The caller holds a.mu.
func (a *Agent) submitAsync(ctx context.Context, sequence string, c fleet.Command, done func(fleet.CommandResult, error)) {
	a.commandInFlight[sequence] = true
	c.Caller = a.callerID(sequence)
	go func() {
		answer, err := a.submit(ctx, c)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.commandInFlight, sequence)
		if done != nil {
			done(answer, err)
		}
		a.requestWork()
	}()
}

// callScheduler makes one call at a scheduler. It is cancelled when the lease ends, whether the call has arrived or not.
func (a *Agent) callScheduler(ctx context.Context, owned *ownedLease, call fleet.SchedulerCall) {
	ctx, stop := a.leaseContext(ctx, owned)
	defer stop()
	a.log.Debug("calls", "scheduler", call.To.ID, "act", int(call.Kind), "matter", call.Lease, "fence", call.Fence)
	reply := a.sendToScheduler(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	owned.callsInFlight--
	owned.notifier.Answered(a.clock.Now(), call, reply)
	a.requestWork()
	if call.Kind == fleet.CallSetWorker && reply.Applied {
		a.log.Info("told", "scheduler", call.To.ID, "worker", call.Worker, "out", call.Out, "fence", call.Fence, "since", call.Since)
	}
}

// sendToScheduler sends a call to a scheduler's management address and returns its reply.
func (a *Agent) sendToScheduler(ctx context.Context, call fleet.SchedulerCall) (reply fleet.SchedulerReply) {
	method, path := "POST", "/ops/workers/up"
	switch {
	case call.Kind == fleet.CallStatus:
		method, path = "GET", "/ops/fence"
		if zone, ok := strings.CutPrefix(call.Lease, "zone/"); ok {
			path += "?zone=" + url.QueryEscape(zone)
		}
	case call.Kind == fleet.CallRaiseFence:
		path = "/ops/fence"
	case call.Out:
		path = "/ops/workers/down"
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+call.To.Addr+path, strings.NewReader(call.Worker))
	if err != nil {
		return fleet.SchedulerReply{Reason: err.Error()}
	}
	request.Close = true // a scheduler's management interface serves one call per connection
	if call.Kind != fleet.CallStatus {
		request.Header.Set("Fleet-Fence", fmt.Sprint(call.Lease, " ", call.Fence))
		request.Header.Set("Fleet-Start", call.Start)
		request.Header.Set("Fleet-Change", strconv.FormatUint(call.Since, 10))
	}
	response, err := a.httpClient.Do(request)
	if err != nil {
		return fleet.SchedulerReply{Reason: shortErrorText(err)}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxSchedulerReplyBytes))
	if err != nil {
		return fleet.SchedulerReply{Reason: shortErrorText(err)}
	}
	return ParseReply(call, response.StatusCode, raw)
}

// ParseReply decodes a scheduler's response to a call. To a CallStatus a scheduler answers JSON. To any other call it answers
// with status 200, or names in its body the start that is running ("start ID") or the fencing token in force ("fence
// MATTER NUMBER") that made it refuse the call.
func ParseReply(call fleet.SchedulerCall, status int, raw []byte) fleet.SchedulerReply {
	text := strings.TrimSpace(string(raw))
	reply := fleet.SchedulerReply{Reached: true, Start: call.Start}
	if call.Kind == fleet.CallStatus {
		// The JSON keys are the field names.
		var state struct {
			Name    string
			Start   string
			Fences  map[string]uint64
			Out     map[string]string // worker to the lease whose owner took it out
			Phase   string
			Workers map[string]string
			Txns    fleet.Txns
		}
		if status != 200 || json.Unmarshal(raw, &state) != nil || state.Start == "" {
			return fleet.SchedulerReply{Reached: true, Reason: fmt.Sprintf("status %d: want 200 and the JSON of /ops/fence", status)}
		}
		if state.Name != call.To.ID {
			return fleet.SchedulerReply{Reached: true, Reason: "another scheduler answers there: " + state.Name}
		}
		reply.Applied, reply.Start, reply.Fence = true, state.Start, state.Fences[call.Lease]
		reply.Phase, reply.Workers, reply.Txns = state.Phase, state.Workers, state.Txns
		for id, lease := range state.Out {
			if lease == call.Lease {
				reply.Out = append(reply.Out, id)
			}
		}
		slices.Sort(reply.Out)
		return reply
	}
	if status == 200 {
		reply.Applied, reply.Fence = true, call.Fence
		return reply
	}
	reply.Reason = text
	if start, ok := strings.CutPrefix(text, "start "); ok {
		reply.Start = start
	} else if number, ok := strings.CutPrefix(text, "fence "+call.Lease+" "); ok {
		reply.Fence, _ = strconv.ParseUint(number, 10, 64)
	}
	return reply
}

// shortErrorText returns an error's text without the method and URL that package http puts before it.
func shortErrorText(err error) string {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	return err.Error()
}
