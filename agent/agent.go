// Package agent is one machine's part in the fleet: it may keep the record, it may own matters and act for all, and it
// answers this machine's schedulers and beamctl. What it decides is package fleet's; what is agreed, package quorum's.
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
	dutyEach     = 50 * time.Millisecond
	dutySoon     = 5 * time.Millisecond // after news: what comes together is seen to together
	callMost     = time.Second          // of a call to a scheduler or an agent
	pollMost     = time.Second          // that a call for news waits for some
	doMost       = 3 * time.Second      // that a command waits for what comes of it
	startFor     = 4 * time.Second      // for a call of the system that fails for the moment
	commandsMost = 32                   // of an operation, begun at once
	callsMost    = 32                   // to schedulers at once, of one matter
	goneFor      = 3000.0               // ms: an agent that was not heard for so long counts as absent
)

// Agent is a running one.
type Agent struct {
	file  *File
	log   *slog.Logger
	clock quorum.Clock
	host  *quorum.Host // nil: not a voter
	http  *http.Client
	start string
	bug   string // one planted, in a build with the tag faults alone
	owner string
	addr  string

	mu      sync.Mutex
	rec     *fleet.Record // as last heard; it is not changed
	raw     []byte        // the same as it came; nil: all of it is to be asked for
	absent  map[string]bool
	leader  string // its address, as last heard
	duty    *fleet.Duty
	has     map[string]*charge
	number  uint64
	heard   map[string]float64 // when each agent last asked, where this voter leads
	asking  map[string]bool    // matters of which a command is under way
	changes patchCache
	runs    *runs         // the processes of this machine, and what was begun here
	news    chan struct{} // something was heard: see stir
}

// charge is a matter that this agent owns.
type charge struct {
	zone    string
	hold    *fleet.Hold
	teller  *fleet.Teller  // of a zone
	carrier *fleet.Carrier // of an operation
	calls   int
}

// Run is an agent until ctx is done or its voter has to stop. trust has it count on its disk without being told what it
// acknowledged, which only a person can answer for.
func Run(ctx context.Context, f *File, trust bool, bug string, l *slog.Logger) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	start := strconv.FormatUint(rand.Uint64()>>32, 16)
	a := &Agent{file: f, log: l, clock: quorum.NewClock(), http: NewHTTP(f.Via, callMost), start: start, bug: bug,
		owner: fleet.OwnerOf(f.Name, start), rec: fleet.NewRecord(), absent: map[string]bool{},
		duty: fleet.NewDuty(f.Name, start, float64(f.Term)/1e6), has: map[string]*charge{}, heard: map[string]float64{},
		asking: map[string]bool{}, news: make(chan struct{}, 1)}
	var listener net.Listener
	err := transient.Retry(startFor, transient.Error, func() (err error) {
		listener, err = net.Listen("tcp", f.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a.addr = listener.Addr().String()
	a.duty.Hurry = bug == "new-leader-hurries"
	if bug == "wall-clock" {
		a.clock = quorum.WallClock()
	}
	dead := make(<-chan struct{})
	var disk quorum.Disk
	if f.Data != "" {
		if disk, err = quorum.Folder(f.Data); err != nil {
			return fmt.Errorf("data: %w", err)
		}
	}
	if v := f.ownVoter(); v != nil {
		first := map[uint64]string{}
		for _, v := range f.Voter {
			first[v.ID] = v.Addr
		}
		if a.host, err = quorum.NewHost(ctx, quorum.Options{ID: v.ID, Voters: first, Join: f.Joins, Replaces: f.Replaces, Trust: trust, Disk: disk,
			Start: rand.Uint64() | 1, Bug: bug}, a.clock, NewHTTP(f.Via, callMost), l); err != nil {
			return fmt.Errorf("data: %w", err)
		}
		dead = a.host.Dead()
	}
	if a.runs, err = newRuns(a, disk); err != nil {
		return fmt.Errorf("data: %w", err)
	}
	server := &http.Server{Handler: a.routes(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 16 << 10}
	go func() { _ = server.Serve(transient.Listener(listener)) }()
	defer server.Close()
	l.Info("agent runs", "name", f.Name, "addr", a.addr, "owner", a.owner, "voter", f.ownVoter() != nil)
	go a.follow(ctx)
	go a.register(ctx)
	go a.runs.agree(ctx)
	tick := time.NewTicker(dutyEach)
	defer tick.Stop()
	soon := time.NewTimer(time.Hour)
	defer soon.Stop()
	waits := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-dead:
			if ctx.Err() != nil {
				return nil
			}
			return a.host.Wait()
		case <-a.news:
			if !waits {
				waits = true
				soon.Reset(dutySoon)
			}
			continue
		case <-soon.C:
		case <-tick.C:
		}
		waits = false
		soon.Stop()
		a.work(ctx)
		a.runs.work(ctx)
	}
}

// stir has the duties seen to soon: left to the next tick, each of a member's five steps in an operation waited for one.
func (a *Agent) stir() {
	select {
	case a.news <- struct{}{}:
	default:
	}
}

// news is what one agent hears from another.
type news struct {
	No     uint64          `json:"no"`
	Record json.RawMessage `json:"record,omitempty"`
	Change *recordPatch    `json:"change,omitempty"` // in place of it, for an agent that asked from a record that is kept
	Absent []string        `json:"absent,omitempty"`
	Leader string          `json:"leader"`
	Leads  bool            `json:"leads"`
	Counts bool            `json:"counts"`
}

// follow keeps the record as the leader has it.
func (a *Agent) follow(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		a.mu.Lock()
		after, addr, old := a.rec.No, a.leader, a.raw
		voters := a.voters()
		a.mu.Unlock()
		if addr == "" {
			addr = voters[at%len(voters)]
			at++
		}
		var n news
		most, stop := context.WithTimeout(ctx, pollMost+callMost)
		ask := fmt.Sprintf("http://%s/v1/record?agent=%s&after=%d", addr, url.QueryEscape(a.file.Name), after)
		if old != nil {
			ask += "&changes=1"
		}
		err := callJSON(most, &http.Client{Transport: a.http.Transport}, "GET", ask, nil, &n)
		stop()
		a.mu.Lock()
		if err != nil {
			a.leader = ""
		} else {
			if a.leader = n.Leader; n.Leader == addr && !n.Leads {
				a.leader = ""
			}
			if n.Change != nil {
				var err error
				if n.Record, err = n.Change.apply(old); err != nil {
					a.log.Error("change not taken", "err", err)
					a.raw = nil
				}
			}
			if len(n.Record) > 0 {
				fresh := fleet.NewRecord()
				fresh.Bug = a.bug
				if err := fresh.Restore(n.Record); err != nil {
					a.log.Error("record not read", "err", err)
				} else if fresh.No >= a.rec.No {
					a.rec, a.raw = fresh, n.Record
					a.stir()
				}
			}
			if n.Leads {
				a.absent = map[string]bool{}
				for _, id := range n.Absent {
					a.absent[id] = true
				}
			}
		}
		again := err != nil || a.leader == ""
		a.mu.Unlock()
		if again {
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
}

// voters lists where the record is kept, by the record where it is known.
func (a *Agent) voters() (addrs []string) {
	for _, id := range slices.Sorted(maps.Keys(a.rec.Voters)) {
		addrs = append(addrs, a.rec.Voters[id])
	}
	if len(addrs) == 0 {
		for _, v := range a.file.Voter {
			addrs = append(addrs, v.Addr)
		}
	}
	return addrs
}

// members lists this agent and all of its machine, as they are now.
func (a *Agent) members() []fleet.Member {
	all := []fleet.Member{{ID: a.file.Name, Kind: "agent", Zone: a.file.Zone, Addr: a.addr}}
	for _, s := range a.file.Scheduler {
		m := fleet.Member{ID: s.ID, Kind: "scheduler", Zone: s.Zone, Addr: s.Addr, Labels: s.Labels}
		if s.Program != "" {
			m.Agent, m.Addr = a.file.Name, a.runs.addr(s.ID)
		}
		all = append(all, m)
	}
	for _, w := range a.file.Worker {
		m := fleet.Member{ID: w.ID, Kind: "worker", Zone: w.Zone, Addr: "worker/" + w.ID, Labels: w.Labels, Capacity: w.Capacity}
		if len(w.Command) > 0 {
			m.Agent = a.file.Name
		}
		all = append(all, m)
	}
	return all
}

// register puts them on record, once that can be read, and again where they are not there so: a scheduler's second address
// changes with each upgrade.
func (a *Agent) register(ctx context.Context) {
	refused, done := map[fleet.Member]bool{}, map[fleet.Member]bool{}
	for ctx.Err() == nil {
		for _, m := range a.members() {
			a.mu.Lock()
			known := a.rec.Members[m.ID] == m
			a.mu.Unlock()
			// Of one that others run the address is put on record once: two files that name it would take it by turns.
			if done[m] = done[m] || known && (m.Kind != "scheduler" || m.Agent == ""); known || refused[m] || done[m] {
				continue
			}
			got, err := a.do(ctx, fleet.Command{Do: "member", Member: &m, Force: true, By: a.file.Name, Caller: a.caller("member")})
			if err == nil && !got.Done {
				a.log.Error("not taken on record", "member", m.ID, "why", got.Why)
				refused[m] = true // only a person can mend it
			}
		}
		a.putHalts(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// caller names one row of commands of this start of the agent, which follow each other.
func (a *Agent) caller(of string) string { return a.owner + "/" + of }

// do asks for a command wherever it can be carried out, until something came of it or its time is over.
func (a *Agent) do(ctx context.Context, c fleet.Command) (fleet.Answer, error) {
	a.mu.Lock()
	a.number++
	c.V, c.Number = fleet.FormOf(&c), a.number
	voters := a.voters()
	if a.leader != "" {
		voters = append([]string{a.leader}, voters...)
	}
	a.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, doMost)
	defer stop()
	return (&Caller{HTTP: a.http, Addrs: voters}).Do(ctx, c)
}

// work does what the duties of this agent ask for now.
func (a *Agent) work(ctx context.Context) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.has)) {
		c := a.has[name]
		m := a.rec.Matters[name]
		switch {
		case !c.hold.Holds(now) || c.passed() > 0 || m.Fence > c.hold.Fence:
			// Whatever it believes, it may not act any more: what is under way ends with its hold.
			a.log.Warn("matter lost", "matter", name, "fence", c.hold.Fence, "passed", max(c.passed(), m.Fence))
			delete(a.has, name)
			continue
		case m.Wanted != "" && m.Wanted != a.file.Name && m.Owner == a.owner:
			if c.calls == 0 && !a.asking[name] {
				a.log.Info("matter passed on", "matter", name, "to", m.Wanted)
				delete(a.has, name)
				a.ask(ctx, name, fleet.Command{Do: "leave", Matter: name, Owner: a.owner, Fence: c.hold.Fence, By: a.file.Name}, nil)
			}
			continue
		}
		if c.carrier != nil {
			if c.carrier.Follow(now, a.rec); c.carrier.Over() && a.rec.Matters[name].Owner == a.owner {
				if c.calls == 0 && !a.asking[name] {
					delete(a.has, name)
					a.ask(ctx, name, fleet.Command{Do: "leave", Matter: name, Owner: a.owner, Fence: c.hold.Fence, By: a.file.Name}, nil)
				}
				continue
			}
		} else {
			c.teller.Follow(now, a.rec, c.zone)
		}
		if !a.asking[name] && c.hold.NextRenewal(now, c.teller != nil && c.teller.Urgent()) {
			renewal := fleet.Command{Do: "renew", Matter: name, Owner: a.owner, Fence: c.hold.Fence}
			if c.teller != nil {
				var whole bool
				if renewal.Seen, whole = c.teller.Report(now); whole {
					renewal.To = fleet.Whole
				}
			}
			a.ask(ctx, name, renewal,
				func(got fleet.Answer, err error) {
					c.hold.Renewed(err == nil && got.Done)
					a.log.Debug("renewed", "matter", name, "fence", c.hold.Fence, "left", c.hold.Until()-a.clock.Now())
				})
		}
		if c.carrier != nil {
			a.carry(ctx, now, name, c)
			continue
		}
		for c.calls < callsMost {
			call, ok := c.teller.Next(now)
			if !ok {
				break
			}
			c.calls++
			go a.call(ctx, c, call)
		}
	}
	if c, ok := a.duty.NextClaim(now, a.rec, a.absent); ok && a.has[c.Matter] == nil && !a.asking[c.Matter] {
		asked, zone := now, strings.TrimPrefix(c.Matter, "zone/")
		a.ask(ctx, c.Matter, c, func(got fleet.Answer, err error) {
			if err != nil || !got.Done {
				return
			}
			a.log.Info("matter owned", "matter", c.Matter, "fence", got.Fence)
			own := &charge{zone: zone, hold: fleet.Held(asked, got.Fence, c.Term)}
			if id, isOp := strings.CutPrefix(c.Matter, "op/"); isOp {
				own.carrier = fleet.NewCarrier(id, a.owner, got.Fence)
				own.carrier.Bug = a.bug
			} else {
				own.teller = fleet.NewTeller(c.Matter, got.Fence)
				own.teller.Bug, own.teller.Holds = a.bug, func(w fleet.Intent) bool { return a.runs.holds(a.rec, w) }
			}
			a.has[c.Matter] = own
		})
	}
	if c, ok := a.duty.NextPass(now, a.rec, a.absent); ok && !a.asking[c.Matter] {
		a.ask(ctx, c.Matter, c, nil)
	}
}

// passed is a higher number that a scheduler named, 0 for none.
func (c *charge) passed() uint64 {
	if c.teller == nil {
		return 0
	}
	return c.teller.Passed
}

// carry does what an operation asks for now.
func (a *Agent) carry(ctx context.Context, now float64, name string, c *charge) {
	for c.calls < callsMost {
		do, ok := c.carrier.NextLook(now)
		if !ok {
			if do, ok = c.carrier.NextDo(now); !ok {
				break
			}
		}
		c.calls++
		go a.have(ctx, c, do)
	}
	for c.calls < callsMost {
		m, ok := c.carrier.NextSample(now)
		if !ok {
			break
		}
		c.calls++
		go a.sample(ctx, c, m)
	}
	// Beside renewals, which else would hold them up; many at once, as each takes a round of the voters.
	for range commandsMost {
		cmd, ok := c.carrier.NextCommand(now)
		if !ok {
			return
		}
		a.ask(ctx, name+"/steps/"+cmd.ID, cmd, func(got fleet.Answer, err error) {
			c.carrier.Commanded(cmd)
			if err == nil && got.Done {
				a.log.Info("step", "op", c.carrier.ID, "do", cmd.Do, "of", cmd.ID, "to", cmd.To, "no", got.No, "why", cmd.Why)
			} else if err == nil {
				a.log.Debug("step refused", "op", c.carrier.ID, "of", cmd.ID, "to", cmd.To, "why", got.Why)
			}
		})
	}
}

// bound is a context that ends with a hold, or with the time of one call.
func (a *Agent) bound(ctx context.Context, c *charge) (context.Context, context.CancelFunc) {
	now := a.clock.Now()
	a.mu.Lock()
	left := time.Duration((c.hold.Until() - now) * float64(time.Millisecond))
	a.mu.Unlock()
	return context.WithTimeout(ctx, min(callMost, left))
}

// have has a member's agent do what its operation wants next.
func (a *Agent) have(ctx context.Context, c *charge, do fleet.Do) {
	ctx, stop := a.bound(ctx, c)
	defer stop()
	var did fleet.Did
	err := callJSON(ctx, a.http, "POST", "http://"+do.Agent.Addr+"/v1/act", do, &did)
	did.Reached = err == nil
	a.mu.Lock()
	defer a.mu.Unlock()
	c.calls--
	c.carrier.Did(a.clock.Now(), do, did)
	a.stir()
	a.log.Debug("had", "op", do.Op, "member", do.Member, "call", do.Call, "no", do.No, "state", did.State, "why", did.Why, "err", err)
}

func (a *Agent) sample(ctx context.Context, c *charge, m fleet.Member) {
	ctx, stop := a.bound(ctx, c)
	defer stop()
	r := a.tell(ctx, fleet.Call{To: m, Act: fleet.Look, Matter: "-"})
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.calls--; r.Done {
		c.carrier.Sampled(m.ID, r.Txns)
	}
}

// ask sends a command of a matter beside the work; then is told what came of it.
func (a *Agent) ask(ctx context.Context, matter string, c fleet.Command, then func(fleet.Answer, error)) {
	a.asking[matter] = true
	c.Caller = a.caller(matter)
	go func() {
		got, err := a.do(ctx, c)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.asking, matter)
		if then != nil {
			then(got, err)
		}
		a.stir()
	}()
}

// call makes one call at a scheduler. It ends with the hold, in whatever state it is then.
func (a *Agent) call(ctx context.Context, c *charge, call fleet.Call) {
	ctx, stop := a.bound(ctx, c)
	defer stop()
	a.log.Debug("calls", "scheduler", call.To.ID, "act", int(call.Act), "matter", call.Matter, "fence", call.Fence)
	r := a.tell(ctx, call)
	a.mu.Lock()
	defer a.mu.Unlock()
	c.calls--
	c.teller.Answered(a.clock.Now(), call, r)
	a.stir()
	if call.Act == fleet.Tell && r.Done {
		a.log.Info("told", "scheduler", call.To.ID, "worker", call.Worker, "out", call.Out, "fence", call.Fence, "since", call.Since)
	}
}

func (a *Agent) tell(ctx context.Context, call fleet.Call) (r fleet.Reply) {
	method, path := "POST", "/ops/workers/up"
	switch {
	case call.Act == fleet.Look:
		method, path = "GET", "/ops/fence"
		if zone, ok := strings.CutPrefix(call.Matter, "zone/"); ok {
			path += "?zone=" + url.QueryEscape(zone)
		}
	case call.Act == fleet.Close:
		path = "/ops/fence"
	case call.Out:
		path = "/ops/workers/down"
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+call.To.Addr+path, strings.NewReader(call.Worker))
	if err != nil {
		return fleet.Reply{Why: err.Error()}
	}
	q.Close = true // a scheduler's second address takes one call a connection
	if call.Act != fleet.Look {
		q.Header.Set("Fleet-Fence", fmt.Sprint(call.Matter, " ", call.Fence))
		q.Header.Set("Fleet-Start", call.Start)
		q.Header.Set("Fleet-Change", strconv.FormatUint(call.Since, 10))
	}
	p, err := a.http.Do(q)
	if err != nil {
		return fleet.Reply{Why: brief(err)}
	}
	defer p.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(p.Body, 1<<20))
	if err != nil {
		return fleet.Reply{Why: brief(err)}
	}
	return Heard(call, p.StatusCode, raw)
}

// Heard is what a scheduler's answer says.
func Heard(call fleet.Call, status int, raw []byte) fleet.Reply {
	text := strings.TrimSpace(string(raw))
	r := fleet.Reply{Reached: true, Start: call.Start}
	if call.Act == fleet.Look {
		var k struct {
			Name    string
			Start   string
			Fences  map[string]uint64
			Out     map[string]string
			Phase   string
			Workers map[string]string
			Txns    fleet.Txns
		}
		if status != 200 || json.Unmarshal(raw, &k) != nil || k.Start == "" {
			return fleet.Reply{Reached: true, Why: fmt.Sprintf("status %d: it takes no calls of the fleet", status)}
		}
		if k.Name != call.To.ID {
			return fleet.Reply{Reached: true, Why: "another scheduler answers there: " + k.Name}
		}
		r.Done, r.Start, r.Fence = true, k.Start, k.Fences[call.Matter]
		r.Phase, r.Workers, r.Txns = k.Phase, k.Workers, k.Txns
		for id, matter := range k.Out {
			if matter == call.Matter {
				r.Out = append(r.Out, id)
			}
		}
		slices.Sort(r.Out)
		return r
	}
	if status == 200 {
		r.Done, r.Fence = true, call.Fence
		return r
	}
	r.Why = text
	if start, ok := strings.CutPrefix(text, "start "); ok {
		r.Start = start
	} else if rest, ok := strings.CutPrefix(text, "fence "+call.Matter+" "); ok {
		r.Fence, _ = strconv.ParseUint(rest, 10, 64)
	}
	return r
}

func brief(err error) string {
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return err.Error()
}
