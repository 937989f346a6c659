package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// What an agent answers. Bodies are bounded; each call has a time of its own.

const bodyMost = 1 << 20

// Status is what one agent knows of itself and the fleet.
type Status struct {
	Name   string            `json:"name"`
	Owner  string            `json:"owner"`
	Zone   string            `json:"zone"`
	Voter  uint64            `json:"voter,omitempty"`
	Counts bool              `json:"counts,omitempty"`
	Behind bool              `json:"behind,omitempty"` // its disk lacks what it acknowledged: it has to be replaced
	Leads  bool              `json:"leads,omitempty"`
	Leader string            `json:"leader,omitempty"`
	No     uint64            `json:"no"`
	Holds  map[string]uint64 `json:"holds,omitempty"` // matters, with their numbers
	Syncs  int               `json:"syncs,omitempty"`
	Bytes  int               `json:"log_bytes,omitempty"`
	Sent   quorum.Traffic    `json:"sent"`
	Runs   []Running         `json:"runs,omitempty"`  // the schedulers of this machine that the agent runs
	Halts  []fleet.Halt      `json:"halts,omitempty"` // told here
}

// Told is how schedulers stand to what is intended for a worker.
type Told struct {
	Matter string           `json:"matter"`
	Owner  string           `json:"owner"`
	Fence  uint64           `json:"fence"`
	Intent fleet.Intent     `json:"intent"`
	Rows   []fleet.Standing `json:"rows"`
}

func (a *Agent) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/letters", a.letters)
	m.HandleFunc("POST /v1/do", a.take)
	m.HandleFunc("POST /v1/voters", a.change)
	m.HandleFunc("GET /v1/record", a.record)
	m.HandleFunc("GET /v1/read", a.read)
	m.HandleFunc("GET /v1/out", a.out)
	m.HandleFunc("GET /v1/told", a.told)
	m.HandleFunc("GET /v1/status", a.status)
	m.HandleFunc("POST /v1/act", a.act)
	m.HandleFunc("POST /v1/halt", a.haltHere)
	return m
}

func say(w http.ResponseWriter, status int, x any) {
	raw, err := json.Marshal(x)
	if err != nil {
		status, raw = 500, []byte(`{"why":"not to be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func refuse(w http.ResponseWriter, status int, why string) { say(w, status, Refusal{Why: why}) }

func (a *Agent) letters(w http.ResponseWriter, r *http.Request) {
	if a.host == nil {
		refuse(w, 404, "no voter here")
		return
	}
	if err := a.host.Take(r.Context(), r.Body); err != nil {
		refuse(w, 400, err.Error())
		return
	}
	w.WriteHeader(204)
}

// leaderAddr is where commands are carried out, "" where this agent knows of nobody.
func (a *Agent) leaderAddr() string {
	if a.host != nil {
		if v, _ := a.host.View(); v.Leads {
			return a.addr
		} else if v.Leader != 0 {
			return v.Addrs[v.Leader]
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == a.addr {
		return ""
	}
	return a.leader
}

// take carries a command out where this voter leads, and passes it on once where another does. Without a majority it is
// refused at once, with the reason.
func (a *Agent) take(w http.ResponseWriter, r *http.Request) {
	var c fleet.Command
	if err := json.NewDecoder(io.LimitReader(r.Body, bodyMost)).Decode(&c); err != nil {
		refuse(w, 400, err.Error())
		return
	}
	if err := c.Check(); err != nil {
		refuse(w, 400, err.Error())
		return
	}
	if c.V < fleet.FormOf(&c) {
		refuse(w, 400, fmt.Sprintf("%s is of form %d", c.Do, fleet.FormOf(&c)))
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), doMost)
	defer stop()
	leader := a.leaderAddr()
	switch {
	case leader == "":
		refuse(w, 503, a.alone())
		return
	case leader == a.addr:
		got, err := a.host.Do(ctx, c)
		switch {
		case err == nil:
			say(w, 200, got)
		case errors.Is(err, quorum.ErrNotLeader) || errors.Is(err, quorum.ErrNotCounting):
			refuse(w, 503, err.Error())
		default:
			refuse(w, 504, "not known: "+err.Error())
		}
		return
	case r.URL.Query().Get("hop") != "":
		say(w, 503, Refusal{Why: "another voter leads", Leader: leader})
		return
	}
	var got fleet.Answer
	err := callJSON(ctx, &http.Client{Transport: a.http.Transport}, "POST", "http://"+leader+"/v1/do?hop=1", c, &got)
	var no *Refusal
	switch {
	case err == nil:
		say(w, 200, got)
	case errors.As(err, &no):
		say(w, no.Status, no)
	default:
		refuse(w, 504, "not known: the leader at "+leader+": "+brief(err))
	}
}

func (a *Agent) alone() string {
	if a.host != nil {
		if v, _ := a.host.View(); v.Behind {
			return quorum.ErrBehind.Error()
		} else if !v.Counts {
			return quorum.ErrNotCounting.Error()
		}
	}
	return "no majority of the voters is known here: nothing can be changed"
}

// change replaces, adds or removes a voter, at the leader.
func (a *Agent) change(w http.ResponseWriter, r *http.Request) {
	var v struct {
		Add    uint64 `json:"add"`
		Addr   string `json:"addr"`
		Remove uint64 `json:"remove"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, bodyMost)).Decode(&v); err != nil || v.Add == 0 && v.Remove == 0 ||
		v.Add != 0 && !isAddrPort(v.Addr) {
		refuse(w, 400, "a change of voters names one to add, with its address, or one to remove")
		return
	}
	leader := a.leaderAddr()
	ctx, stop := context.WithTimeout(r.Context(), doMost)
	defer stop()
	switch {
	case leader == "":
		refuse(w, 503, a.alone())
	case leader != a.addr:
		var ok struct{}
		err := callJSON(ctx, &http.Client{Transport: a.http.Transport}, "POST", "http://"+leader+"/v1/voters", v, &ok)
		var no *Refusal
		if errors.As(err, &no) {
			say(w, no.Status, no)
		} else if err != nil {
			refuse(w, 504, "not known: "+brief(err))
		} else {
			say(w, 200, ok)
		}
	default:
		seen, _ := a.host.View()
		err := a.host.Voters(ctx, v.Add, v.Addr, v.Remove)
		if was, there := seen.Addrs[v.Add]; errors.Is(err, quorum.ErrUsed) && !(there && was == v.Addr) { // asked for again
			refuse(w, 409, err.Error())
			return
		} else if err != nil && !errors.Is(err, quorum.ErrUsed) {
			refuse(w, 503, err.Error())
			return
		}
		say(w, 200, struct{}{})
	}
}

// record is what other agents follow. Who leads learns by it who is there.
func (a *Agent) record(w http.ResponseWriter, r *http.Request) {
	if a.host == nil {
		refuse(w, 404, "no voter here")
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	who, now := r.URL.Query().Get("agent"), a.clock.Now()
	v, fresh := a.host.View()
	if v.Leads && who != "" {
		a.mu.Lock()
		a.heard[who] = now
		a.mu.Unlock()
	}
	if v.No <= after && v.Leads {
		t := time.NewTimer(pollMost)
		defer t.Stop()
		select {
		case <-fresh:
		case <-t.C:
		case <-r.Context().Done():
			return
		}
		v, _ = a.host.View()
	}
	n := news{No: v.No, Leads: v.Leads, Counts: v.Counts}
	if v.Leads {
		n.Leader, n.Absent = a.addr, a.gone(v)
	} else if v.Leader != 0 {
		n.Leader = v.Addrs[v.Leader]
	}
	if v.No > after {
		if old := a.host.Past(after); old != nil && r.URL.Query().Get("changes") != "" {
			n.Change = a.changes.patch(after, old, v.No, v.Lean)
		}
		if n.Change != nil {
		} else if n.Record = v.Lean; who == "" {
			n.Record = v.Raw
		}
	}
	say(w, 200, n)
}

// gone lists the agents that the leader has not heard of for long. A new leader waits that long before it misses one.
func (a *Agent) gone(v quorum.View) (ids []string) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.rec.Of("agent") {
		if now > max(a.heard[m.ID], v.LedAt)+goneFor {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// fresh is the record as new as any answer before this call, within a time.
func (a *Agent) fresh(ctx context.Context) (*fleet.Record, error) {
	if a.host != nil {
		if err := a.host.Read(ctx); err != nil {
			return nil, err
		}
		v, _ := a.host.View()
		r := fleet.NewRecord()
		return r, r.Restore(v.Raw)
	}
	a.mu.Lock()
	addrs := a.voters()
	a.mu.Unlock()
	var raw json.RawMessage
	if err := (&Caller{HTTP: a.http, Addrs: addrs}).Get(ctx, "/v1/read", &raw); err != nil {
		return nil, err
	}
	r := fleet.NewRecord()
	return r, r.Restore(raw)
}

func (a *Agent) read(w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithTimeout(r.Context(), callMost)
	defer stop()
	rec, err := a.fresh(ctx)
	if err != nil {
		refuse(w, 503, "the record can't be read for sure: "+err.Error())
		return
	}
	say(w, 200, rec)
}

// out tells a scheduler that starts who is out. Where the record can't be read for sure it is told what was last heard:
// that is better than nothing, and its owner tells it anew.
func (a *Agent) out(w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithTimeout(r.Context(), callMost/2) // the scheduler goes on without after two seconds
	defer stop()
	rec, err := a.fresh(ctx)
	if err != nil {
		a.mu.Lock()
		rec = a.rec
		a.mu.Unlock()
		a.log.Warn("a scheduler is told what was last heard", "scheduler", r.URL.Query().Get("scheduler"), "no", rec.No, "err", err)
	}
	k := struct {
		No     uint64            `json:"no"`
		Stale  bool              `json:"stale,omitempty"`
		Fences map[string]uint64 `json:"fences"`
		Out    map[string]string `json:"out"`
	}{rec.No, err != nil, map[string]uint64{}, map[string]string{}}
	for name, m := range rec.Matters {
		k.Fences[name] = m.Fence
	}
	for _, id := range rec.OutIn("") {
		k.Out[id] = fleet.MatterOf(rec.Workers[id].Zone)
	}
	say(w, 200, k)
}

// told is how schedulers stand to what is intended for a worker, by its owner.
func (a *Agent) told(w http.ResponseWriter, r *http.Request) {
	worker := r.URL.Query().Get("worker")
	a.mu.Lock()
	rec := a.rec
	intent, known := rec.Workers[worker]
	name := fleet.MatterOf(intent.Zone)
	c := a.has[name]
	if c != nil && c.teller != nil && c.hold.Holds(a.clock.Now()) {
		c.teller.Follow(a.clock.Now(), rec, c.zone)
		t := Told{name, a.owner, c.hold.Fence, intent, c.teller.Told(worker)}
		a.mu.Unlock()
		say(w, 200, t)
		return
	}
	owner := fleet.AgentOf(rec.Matters[name].Owner)
	addr := rec.Members[owner].Addr
	a.mu.Unlock()
	switch {
	case !known:
		refuse(w, 404, "no such worker on record, as far as this agent has heard")
	case owner == "" || owner == a.file.Name || addr == "" || r.URL.Query().Get("hop") != "":
		refuse(w, 503, "nobody owns "+name+" as far as this agent has heard")
	default:
		var t Told
		if err := callJSON(r.Context(), a.http, "GET", fmt.Sprintf("http://%s/v1/told?hop=1&worker=%s", addr, url.QueryEscape(worker)),
			nil, &t); err != nil {
			refuse(w, 503, "its owner "+owner+" does not answer: "+brief(err))
			return
		}
		say(w, 200, t)
	}
}

func (a *Agent) status(w http.ResponseWriter, _ *http.Request) {
	now := a.clock.Now()
	s := Status{Name: a.file.Name, Owner: a.owner, Zone: a.file.Zone, Holds: map[string]uint64{}, Leader: a.leaderAddr()}
	if a.host != nil {
		v, _ := a.host.View()
		s.Voter, s.Counts, s.Behind, s.Leads = a.host.ID, v.Counts, v.Behind, v.Leads
		s.Syncs, s.Bytes, s.Sent = v.Syncs, v.Bytes, a.host.Traffic()
	}
	s.Runs, s.Halts = a.runs.list()
	a.mu.Lock()
	defer a.mu.Unlock()
	s.No = a.rec.No
	for name, c := range a.has {
		if c.hold.Holds(now) {
			s.Holds[name] = c.hold.Fence
		}
	}
	say(w, 200, s)
}
