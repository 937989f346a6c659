package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// The HTTP handlers of an agent. Request bodies are bounded, and each call to another agent has a timeout.

const maxRequestBytes = 1 << 20

// Status is what an agent reports of itself and the fleet.
type Status struct {
	Name          string            `json:"name"`
	Owner         string            `json:"owner"` // the agent's name with the id of its start, as the record names owners of leases
	Zone          string            `json:"zone"`
	Voter         uint64            `json:"voter,omitempty"`  // its number as a voter, 0 where it is none
	Participating bool              `json:"counts,omitempty"` // the voter takes part in votes: since its start it was told what it had acknowledged
	DiskBehind    bool              `json:"behind,omitempty"` // the voter's disk lacks what it acknowledged: the voter has to be replaced
	IsLeader      bool              `json:"leads,omitempty"`
	Leader        string            `json:"leader,omitempty"`    // address of the leader, as far as this agent knows
	LastCommand   uint64            `json:"no"`                  // of the last command in the record that this agent last received
	Leases        map[string]uint64 `json:"holds,omitempty"`     // fencing tokens of the leases that it holds, by lease
	Syncs         int               `json:"syncs,omitempty"`     // times that the voter has waited for its disk
	LogBytes      int               `json:"log_bytes,omitempty"` // size of the voter's log
	Sent          quorum.Traffic    `json:"sent"`                // to other voters
	Schedulers    []SchedulerStatus `json:"runs,omitempty"`      // the schedulers of this machine that the agent runs
	Halts         []fleet.Halt      `json:"halts,omitempty"`     // ordered at this agent directly
}

// Confirmations says which schedulers have confirmed what the record intends for a worker, as the owner of the worker's
// zone knows it.
type Confirmations struct {
	Lease      string                  `json:"matter"` // the lease on the worker's zone
	Owner      string                  `json:"owner"`
	Fence      uint64                  `json:"fence"`
	Intent     fleet.Intent            `json:"intent"`
	Schedulers []fleet.Acknowledgement `json:"rows"` // one for each scheduler
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/letters", a.handleMessages)
	mux.HandleFunc("POST /v1/do", a.handleCommand)
	mux.HandleFunc("POST /v1/voters", a.handleVoterChange)
	mux.HandleFunc("GET /v1/record", a.handleRecord)
	mux.HandleFunc("GET /v1/read", a.handleRead)
	mux.HandleFunc("GET /v1/out", a.handleOut)
	mux.HandleFunc("GET /v1/told", a.handleConfirmations)
	mux.HandleFunc("GET /v1/status", a.handleStatus)
	mux.HandleFunc("POST /v1/act", a.handleAct)
	mux.HandleFunc("POST /v1/halt", a.handleHalt)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = 500, []byte(`{"why":"the answer could not be encoded as JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func writeRefusal(w http.ResponseWriter, status int, why string) {
	writeJSON(w, status, Refusal{Reason: why})
}

// handleMessages takes the messages of another voter.
func (a *Agent) handleMessages(w http.ResponseWriter, r *http.Request) {
	if a.voter == nil {
		writeRefusal(w, 404, "this agent is not a voter")
		return
	}
	if err := a.voter.ReceiveMessages(r.Context(), r.Body); err != nil {
		writeRefusal(w, 400, err.Error())
		return
	}
	w.WriteHeader(204)
}

// leaderAddr returns the address of the agent whose voter leads, "" where it is not known.
func (a *Agent) leaderAddr() string {
	if a.voter != nil {
		if view, _ := a.voter.View(); view.IsLeader {
			return a.listenAddr
		} else if view.Leader != 0 {
			return view.Addrs[view.Leader]
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastLeaderAddr == a.listenAddr {
		return ""
	}
	return a.lastLeaderAddr
}

// handleCommand carries out a command where this voter leads, and forwards it, over one hop at the most, where another
// does. Without a majority it refuses at once, with the reason.
func (a *Agent) handleCommand(w http.ResponseWriter, r *http.Request) {
	var c fleet.Command
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&c); err != nil {
		writeRefusal(w, 400, err.Error())
		return
	}
	if err := c.Check(); err != nil {
		writeRefusal(w, 400, err.Error())
		return
	}
	if c.FormatVersion < fleet.FormatVersionOf(&c) {
		writeRefusal(w, 400, fmt.Sprintf("command %s needs form %d, got form %d", c.Verb, fleet.FormatVersionOf(&c), c.FormatVersion))
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), commandTimeout)
	defer stop()
	leader := a.leaderAddr()
	switch {
	case leader == "":
		writeRefusal(w, 503, a.noLeaderReason())
		return
	case leader == a.listenAddr:
		answer, err := a.voter.Execute(ctx, c)
		switch {
		case err == nil:
			writeJSON(w, 200, answer)
		case errors.Is(err, quorum.ErrNotLeader) || errors.Is(err, quorum.ErrNotParticipating):
			writeRefusal(w, 503, err.Error())
		default:
			writeRefusal(w, 504, "outcome unknown: "+err.Error())
		}
		return
	case r.URL.Query().Get("hop") != "":
		writeJSON(w, 503, Refusal{Reason: "another voter leads", Leader: leader})
		return
	}
	var answer fleet.CommandResult
	err := callJSON(ctx, &http.Client{Transport: a.httpClient.Transport}, "POST", "http://"+leader+"/v1/do?hop=1", c, &answer)
	var refusal *Refusal
	switch {
	case err == nil:
		writeJSON(w, 200, answer)
	case errors.As(err, &refusal):
		writeJSON(w, refusal.Status, refusal)
	default:
		writeRefusal(w, 504, "outcome unknown: call to the leader at "+leader+": "+shortErrorText(err))
	}
}

// noLeaderReason says why this agent can't have a command carried out.
func (a *Agent) noLeaderReason() string {
	if a.voter != nil {
		if view, _ := a.voter.View(); view.DiskBehind {
			return quorum.ErrDiskBehind.Error()
		} else if !view.Participating {
			return quorum.ErrNotParticipating.Error()
		}
	}
	return "this agent knows of no leader: without a majority of the voters nothing can be changed"
}

// handleVoterChange replaces, adds or removes a voter where this voter leads, and forwards the request where another does.
func (a *Agent) handleVoterChange(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Add    uint64 `json:"add"`
		Addr   string `json:"addr"`
		Remove uint64 `json:"remove"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&change); err != nil || change.Add == 0 && change.Remove == 0 ||
		change.Add != 0 && !isAddrPort(change.Addr) {
		writeRefusal(w, 400, "a change of voters needs a voter to add, with an IP address and port, or one to remove")
		return
	}
	leader := a.leaderAddr()
	ctx, stop := context.WithTimeout(r.Context(), commandTimeout)
	defer stop()
	switch {
	case leader == "":
		writeRefusal(w, 503, a.noLeaderReason())
	case leader != a.listenAddr:
		var empty struct{}
		err := callJSON(ctx, &http.Client{Transport: a.httpClient.Transport}, "POST", "http://"+leader+"/v1/voters", change, &empty)
		var refusal *Refusal
		if errors.As(err, &refusal) {
			writeJSON(w, refusal.Status, refusal)
		} else if err != nil {
			writeRefusal(w, 504, "outcome unknown: "+shortErrorText(err))
		} else {
			writeJSON(w, 200, empty)
		}
	default:
		view, _ := a.voter.View()
		err := a.voter.ChangeVoters(ctx, change.Add, change.Addr, change.Remove)
		// A request that is sent again after it was carried out succeeds again.
		if addr, known := view.Addrs[change.Add]; errors.Is(err, quorum.ErrInvalidVoterChange) && !(known && addr == change.Addr) {
			writeRefusal(w, 409, err.Error())
			return
		} else if err != nil && !errors.Is(err, quorum.ErrInvalidVoterChange) {
			writeRefusal(w, 503, err.Error())
			return
		}
		writeJSON(w, 200, struct{}{})
	}
}

// handleRecord answers the long polls by which other agents follow the record. The leader learns from them which agents
// are alive.
func (a *Agent) handleRecord(w http.ResponseWriter, r *http.Request) {
	if a.voter == nil {
		writeRefusal(w, 404, "this agent is not a voter")
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	agentName, now := r.URL.Query().Get("agent"), a.clock.Now()
	view, viewChanged := a.voter.View()
	if view.IsLeader && agentName != "" {
		a.noteHeard(agentName, now)
	}
	if view.LastCommand <= after && view.IsLeader {
		timer := time.NewTimer(longPollTimeout)
		defer timer.Stop()
		select {
		case <-viewChanged:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		view, _ = a.voter.View()
	}
	update := recordUpdate{Number: view.LastCommand, IsLeader: view.IsLeader, Participating: view.Participating}
	if view.IsLeader {
		update.LeaderAddr, update.AbsentAgents = a.listenAddr, a.silentAgents(view)
	} else if view.Leader != 0 {
		update.LeaderAddr = view.Addrs[view.Leader]
	}
	if view.LastCommand > after {
		if base := a.voter.PastSnapshot(after); base != nil && r.URL.Query().Get("changes") != "" {
			update.Patch = a.patches.patch(after, base, view.LastCommand, view.SnapshotForAgents)
		}
		// An agent gets the record without the sessions and the audit, which only voters need.
		if update.Patch != nil {
		} else if update.Record = view.SnapshotForAgents; agentName == "" {
			update.Record = view.Snapshot
		}
	}
	writeJSON(w, 200, update)
}

// noteHeard records that an agent, or whoever gives this name, has asked for the record. Names not heard within absentAfterMS count
// as silent with or without an entry, so a new name takes their place.
func (a *Agent) noteHeard(name string, now float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.heardAtMS[name]; !known {
		maps.DeleteFunc(a.heardAtMS, func(_ string, heardAt float64) bool { return now > heardAt+absentAfterMS })
	}
	a.heardAtMS[name] = now
}

// silentAgents returns the agents that have not asked this leader for the record within absentAfterMS. A new leader counts
// that time from when it came to lead, so that it reports none before.
func (a *Agent) silentAgents(view quorum.View) (ids []string) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.record.MembersOfKind("agent") {
		if now > max(a.heardAtMS[m.ID], view.LeaderSinceMs)+absentAfterMS {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// readRecord makes a linearizable read of the record: the result is at least as new as any that was answered before this
// call.
func (a *Agent) readRecord(ctx context.Context) (*fleet.Record, error) {
	if a.voter != nil {
		if err := a.voter.Read(ctx); err != nil {
			return nil, err
		}
		view, _ := a.voter.View()
		record := fleet.NewRecord()
		return record, record.Restore(view.Snapshot)
	}
	a.mu.Lock()
	addrs := a.voterAddrs()
	a.mu.Unlock()
	var raw json.RawMessage
	if err := (&Caller{HTTP: a.httpClient, Addrs: addrs}).Get(ctx, "/v1/read", &raw); err != nil {
		return nil, err
	}
	record := fleet.NewRecord()
	return record, record.Restore(raw)
}

// handleRead answers with the record by a linearizable read.
func (a *Agent) handleRead(w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout)
	defer stop()
	record, err := a.readRecord(ctx)
	if err != nil {
		writeRefusal(w, 503, "linearizable read of the record failed: "+err.Error())
		return
	}
	writeJSON(w, 200, record)
}

// handleOut tells a scheduler that starts which workers are out. Where a linearizable read fails, the answer is taken from
// the record that this agent last received and marked as stale: that is better than no answer, and the owner of each zone
// tells the scheduler again.
func (a *Agent) handleOut(w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithTimeout(r.Context(), callTimeout/2) // a starting scheduler waits 2 s for the answer, then goes on without
	defer stop()
	record, err := a.readRecord(ctx)
	if err != nil {
		a.mu.Lock()
		record = a.record
		a.mu.Unlock()
		a.log.Warn("linearizable read failed; a starting scheduler gets the last received record", "scheduler", r.URL.Query().Get("scheduler"), "no", record.No, "err", err)
	}
	answer := struct {
		No     uint64            `json:"no"`
		Stale  bool              `json:"stale,omitempty"`
		Fences map[string]uint64 `json:"fences"`
		Out    map[string]string `json:"out"` // worker to the lease on its zone
	}{record.No, err != nil, map[string]uint64{}, map[string]string{}}
	for name, m := range record.Leases {
		answer.Fences[name] = m.Fence
	}
	for _, id := range record.WorkersOut("") {
		answer.Out[id] = fleet.ZoneLease(record.Intents[id].Zone)
	}
	writeJSON(w, 200, answer)
}

// handleConfirmations answers which schedulers have confirmed what is intended for a worker. Only the owner of the worker's zone
// knows it: any other agent forwards the request to the owner, over one hop at the most.
func (a *Agent) handleConfirmations(w http.ResponseWriter, r *http.Request) {
	worker := r.URL.Query().Get("worker")
	a.mu.Lock()
	record := a.record
	intent, known := record.Intents[worker]
	name := fleet.ZoneLease(intent.Zone)
	owned := a.ownedLeases[name]
	if owned != nil && owned.notifier != nil && owned.lease.Valid(a.clock.Now()) {
		owned.notifier.Follow(a.clock.Now(), record, owned.zone)
		confirmations := Confirmations{name, a.ownerID, owned.lease.Fence, intent, owned.notifier.Acknowledgements(worker)}
		a.mu.Unlock()
		writeJSON(w, 200, confirmations)
		return
	}
	owner := fleet.AgentOfOwner(record.Leases[name].Owner)
	addr := record.Members[owner].Addr
	a.mu.Unlock()
	switch {
	case !known:
		writeRefusal(w, 404, "no such worker in the record that this agent last received")
	case owner == "" || owner == a.config.Name || addr == "" || r.URL.Query().Get("hop") != "":
		writeRefusal(w, 503, "no agent holds the lease "+name+" as far as this agent knows")
	default:
		var confirmations Confirmations
		if err := callJSON(r.Context(), a.httpClient, "GET", fmt.Sprintf("http://%s/v1/told?hop=1&worker=%s", addr, url.QueryEscape(worker)),
			nil, &confirmations); err != nil {
			writeRefusal(w, 503, "owner "+owner+" of the lease "+name+" does not answer: "+shortErrorText(err))
			return
		}
		writeJSON(w, 200, confirmations)
	}
}

// handleStatus answers with this agent's Status.
func (a *Agent) handleStatus(w http.ResponseWriter, _ *http.Request) {
	now := a.clock.Now()
	status := Status{Name: a.config.Name, Owner: a.ownerID, Zone: a.config.Zone, Leases: map[string]uint64{}, Leader: a.leaderAddr()}
	if a.voter != nil {
		view, _ := a.voter.View()
		status.Voter, status.Participating, status.DiskBehind, status.IsLeader = a.voter.ID, view.Participating, view.DiskBehind, view.IsLeader
		status.Syncs, status.LogBytes, status.Sent = view.Syncs, view.LogBytes, a.voter.Traffic()
	}
	status.Schedulers, status.Halts = a.supervisor.status()
	a.mu.Lock()
	defer a.mu.Unlock()
	status.LastCommand = a.record.No
	for name, owned := range a.ownedLeases {
		if owned.lease.Valid(now) {
			status.Leases[name] = owned.lease.Fence
		}
	}
	writeJSON(w, 200, status)
}
