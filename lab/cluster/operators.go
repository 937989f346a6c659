package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"shalebeam/agent"
	"shalebeam/fleet"
	"shalebeam/lab/live"
)

// The operations that a day's seed chooses: drains, restarts, maintenance of workers, releases of good and of bad programs,
// halts and rollbacks; and the checks on them.

// haltWindow is the time from the last acknowledgement of a halt of everything until the call that lifts it.
type haltWindow struct {
	from, to time.Time
	agents   map[string]bool // by name: those that acknowledged the halt
}

// runOperators sets the limits on how many members may be out, then starts random operations until ctx is done.
func (d *day) runOperators(ctx context.Context) {
	r := rand.New(rand.NewPCG(d.opt.Seed, 77))
	two, one := max(2, d.opt.Schedulers/10), max(1, d.opt.Schedulers/20)
	limits := []fleet.Limit{{Kind: "scheduler", MaxOut: &two}, {Kind: "scheduler", Zone: "each", MaxOut: &one}, {Kind: "worker", MaxOutShare: 0.25}}
	for ctx.Err() == nil && !d.SetLimits(limits) {
		d.sleep(200 * time.Millisecond)
	}
	var all []fleet.Member
	for _, m := range d.live.Schedulers() {
		all = append(all, fleet.Member{ID: m.ID, Zone: m.Zone})
	}
	workers := sortedKeys(d.live.Workers())
	workers = workers[len(workers)*2/3:]
	bugs := []string{"none", "none", "again", "never-ready", "declines-all", "crashes-later", "ignores-term"}
	for ctx.Err() == nil {
		d.sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
		targets := []string{all[r.IntN(len(all))].ID}
		if o := all[r.IntN(len(all))].ID; o != targets[0] {
			targets = append(targets, o)
		}
		switch r.IntN(10) {
		case 0, 1:
			d.startOperation(fleet.Operation{Kind: "restart", Waves: [][]string{targets}})
		case 2:
			d.startOperation(fleet.Operation{Kind: "drain", Waves: [][]string{targets[:1]}})
		case 3:
			if rec, err := d.readRecord(ctx); err == nil {
				for id, p := range rec.Permits {
					if op := rec.Ops[p.Op]; op != nil && op.Kind == "drain" && op.Done {
						d.startOperation(fleet.Operation{Kind: "undrain", Waves: [][]string{{id}}})
						break
					}
				}
			}
		case 4:
			d.startOperation(fleet.Operation{Kind: "maintain", PauseMs: 200, Waves: [][]string{{workers[r.IntN(len(workers))]}}})
		case 5, 6:
			bug := bugs[r.IntN(len(bugs))]
			d.startOperation(fleet.Operation{Kind: "release", Waves: fleet.Waves(all), Version: d.buildRelease(bug), WatchMs: 2500, MaxWaveMs: 20000, AutoRollBack: r.IntN(2) == 0,
				Gates: fleet.Gates{Settled: 0.3, MinTxns: 60}})
		case 9:
			d.logEvent("70%% of all workers' answers fail for 1.5 s")
			d.live.SetFailedShare(0.7)
			d.sleep(1500 * time.Millisecond)
			d.live.SetFailedShare(0)
		case 7:
			d.haltAndLift(ctx, r)
		case 8:
			if rec, err := d.readRecord(ctx); err == nil {
				for _, id := range sortedKeys(rec.Ops) {
					if op := rec.Ops[id]; op.Kind == "release" && !op.Closed && !op.RollingBack && r.IntN(2) == 0 {
						a, err := d.sendAsOperator(fleet.Command{Verb: "turn", Lease: fleet.OperationLease(id)})
						d.logEvent("rollback of %s: done %t %s %v", id, a.Applied, a.Reason, err)
					}
				}
			}
		}
	}
}

// failZone kills all agents and schedulers of a zone and starts them again after duration.
func (d *day) failZone(zone string, duration time.Duration) {
	d.logEvent("zone %s fails for %v", zone, duration)
	for _, p := range d.agents {
		if p.file.Zone == zone {
			p.kill()
		}
	}
	for index, s := range d.live.Schedulers() {
		if s.Zone == zone {
			d.live.Kill(index, duration)
		}
	}
	d.sleep(duration)
	for _, p := range d.agents {
		_ = p.start()
	}
}

// fillOwnerDisk has writes fail with ENOSPC for duration at the agent that owns an open operation, or else zone a.
func (d *day) fillOwnerDisk(duration time.Duration) {
	index, _ := d.Owner("a")
	if rec, err := d.readRecord(d.ctx); err == nil {
		for _, id := range sortedKeys(rec.Ops) {
			if o := d.OwnerOf(fleet.OperationLease(id)); rec.Ops[id].Open() && o >= 0 {
				index = o
			}
		}
	}
	if index < 0 {
		return
	}
	p := d.agents[index]
	d.logEvent("the disk of %s, an owner, is full for %v", p.file.Name, duration)
	p.setFaults(map[string]any{"FailAdd": "ENOSPC"})
	d.sleep(duration)
	p.setFaults(map[string]any{})
	d.sleep(200 * time.Millisecond)
	_ = p.start()
}

// startOperation begins an operation and logs its id, or why it was refused.
func (d *day) startOperation(op fleet.Operation) {
	id, why := d.BeginOperation(op)
	d.logEvent("%s of %v: %s%s", op.Kind, op.Waves, id, why)
}

// haltAndLift halts all operations, at every agent and in the record, and lifts the halt 0.5 to 2.5 s later.
func (d *day) haltAndLift(ctx context.Context, r *rand.Rand) {
	window := haltWindow{agents: map[string]bool{}}
	if r.IntN(2) == 0 || d.opt.PlantedBug == "halt-at-owner" { // at a moment when a step was granted and its agent is about to begin it
		_ = d.waitFor(time.Second, "", func() error {
			if rec, err := d.readRecord(ctx); err == nil {
				for _, op := range rec.Ops {
					for _, s := range op.Steps {
						if fleet.TakesOut(s) {
							return nil
						}
					}
				}
			}
			return errors.New("not yet")
		})
	}
	for i, a := range d.agents {
		if d.HaltAgent(i, "all") {
			window.agents[a.file.Name] = true
		}
	}
	a, err := d.sendAsOperator(fleet.Command{Verb: "halt", ID: "all", Reason: "a look"})
	if err != nil || !a.Applied {
		return
	}
	window.from = time.Now()
	d.logEvent("halt of everything, acknowledged by %d agents", len(window.agents))
	d.sleep(time.Duration(500+r.IntN(2000)) * time.Millisecond)
	window.to = time.Now()
	d.mu.Lock()
	d.haltWindows = append(d.haltWindows, window)
	d.mu.Unlock()
	a, err = d.sendAsOperator(fleet.Command{Verb: "lift", ID: "all"})
	d.logEvent("halt lifted: done %t %s %v", a.Applied, a.Reason, err)
}

// restoreService acts as an operator who brings every member back once faults are over: it lifts halts, returns drained members
// to service and rolls back halted operations. Every member must end in a known state within a minute plus 3 s a scheduler.
func (d *day) restoreService() {
	d.checkDrainsAndGates()
	lastTry := map[string]time.Time{}
	retryDue := func(key string) bool { // true at most once in 3 s for each key
		if time.Since(lastTry[key]) < 3*time.Second {
			return false
		}
		lastTry[key] = time.Now()
		return true
	}
	err := d.waitFor(time.Minute+time.Duration(d.opt.Schedulers)*3*time.Second, "every operation over, everybody in service", func() error {
		rec, err := d.readRecord(d.ctx)
		if err != nil {
			return err
		}
		for _, of := range sortedKeys(rec.Halts) {
			if _, isOp := rec.Ops[of]; !isOp && retryDue(of) {
				_, _ = d.sendAsOperator(fleet.Command{Verb: "lift", ID: of})
			}
		}
		for _, id := range sortedKeys(rec.Intents) { // those that callers took out count against the limits
			if w := rec.Intents[id]; w.Out && rec.Permits[id].Op == "" && rec.Members[id].Kind == "worker" && retryDue(id) {
				d.SetWorkerOut(950, id, false, d.agentAddrs(nil), 0)
			}
		}
		open := ""
		for _, id := range sortedKeys(rec.Permits) {
			open = fmt.Sprintf("%s has a permit of %s", id, rec.Permits[id].Op)
			if op := rec.Ops[rec.Permits[id].Op]; (op == nil || !op.Open()) && retryDue(id) {
				_, _ = d.BeginOperation(fleet.Operation{Kind: "undrain", Waves: [][]string{{id}}})
			}
		}
		for _, id := range sortedKeys(rec.Ops) {
			op := rec.Ops[id]
			if _, halted := rec.Halts[id]; halted && !op.RollingBack && !op.Closed && retryDue(id) {
				_, _ = d.sendAsOperator(fleet.Command{Verb: "turn", Lease: fleet.OperationLease(id)})
			}
			if op.Open() {
				open = fmt.Sprintf("%s is open: %s", id, d.operationStatus(rec, op))
			}
		}
		if open != "" {
			return errors.New(open)
		}
		for _, s := range d.live.SchedulerStates() {
			if s.NotServing {
				return fmt.Errorf("%s does not serve; on record %+v", s.ID, rec.Health[s.ID])
			}
			if h := rec.Health[s.ID]; h.State != fleet.HealthInService {
				return fmt.Errorf("%s serves, and is on record as %s", s.ID, h.State)
			}
		}
		return d.agentsMatchProcesses()
	})
	if err != nil {
		d.reportBreak("%v", err)
	}
}

// checkDrainsAndGates checks that no scheduler serves that was drained and never returned to service, and that no gate halted
// a release of a good program: gates must compare with the rest of the fleet at the same time.
func (d *day) checkDrainsAndGates() {
	rec, err := d.readRecord(d.ctx)
	if err != nil {
		return
	}
	serves := map[string]bool{}
	d.sleep(500 * time.Millisecond) // the lab's health checks still show a scheduler as serving just after it has ended
	for _, s := range d.live.SchedulerStates() {
		serves[s.ID] = !s.NotServing
	}
	lastUndrain := map[string]uint64{} // by scheduler: the step number of its last undrain
	for _, op := range rec.Ops {
		if op.Kind == "undrain" {
			for id, s := range op.Steps {
				lastUndrain[id] = max(lastUndrain[id], s.No)
			}
		}
	}
	for _, opID := range sortedKeys(rec.Ops) {
		op := rec.Ops[opID]
		for _, id := range sortedKeys(op.Steps) {
			if s := op.Steps[id]; op.Kind == "drain" && op.Done && !op.RollingBack && s.State == fleet.StepOut && lastUndrain[id] < s.No && serves[id] {
				d.reportBreak("%s was drained by %s, was not brought back, and serves", id, opID)
			}
		}
		good := strings.HasSuffix(op.Version.Program, "-none") || strings.HasSuffix(op.Version.Program, "-again")
		if h := rec.Halts[opID]; good && strings.HasPrefix(h.Reason, "gate: ") {
			d.reportBreak("%s brought a program that is well, and was halted: %s", opID, h.Reason)
		}
	}
}

// operationStatus describes how far an operation is, with the members that have not arrived.
func (d *day) operationStatus(rec *fleet.Record, op *fleet.Operation) (text string) {
	for _, id := range sortedKeys(op.Steps) {
		if s := op.Steps[id]; !op.Arrived(s) && len(text) < 400 {
			text += fmt.Sprintf("%s at %s (%s), seen %s; ", id, s.State, s.Reason, rec.Health[id].State)
		}
	}
	return fmt.Sprintf("back %t, wave %d of %d, halts %d: %s", op.RollingBack, op.Wave+1, len(op.Waves), len(rec.Halts), text)
}

// agentsMatchProcesses checks that each agent reports exactly the scheduler processes that exist, one for each scheduler.
func (d *day) agentsMatchProcesses() error {
	actual := d.live.Pids()
	for i := range d.agents {
		var status agent.Status
		if err := (&agent.Caller{HTTP: d.http, Addrs: []string{d.agents[i].file.Listen}}).Get(d.ctx, "/v1/status", &status); err != nil {
			return err
		}
		for _, x := range status.Schedulers {
			if slices.Sort(x.PIDs); !slices.Equal(x.PIDs, actual[x.ID]) || len(x.PIDs) != 1 {
				return fmt.Errorf("%s says that %s has processes %v, and there are %v", status.Name, x.ID, x.PIDs, actual[x.ID])
			}
		}
	}
	return nil
}

// checkHalts checks that no agent that acknowledged a halt began a step that takes a member out while the halt was in force.
func (d *day) checkHalts() {
	for _, s := range d.begunSteps("", true) {
		for _, window := range d.haltWindows {
			if window.agents[s.agent] && s.at.After(window.from) && s.at.Before(window.to) {
				d.reportBreak("%s began to take %s out at %s, %v after its yes to a halt", s.agent, s.member, s.at.Format("05.000"), s.at.Sub(window.from))
			}
		}
	}
}

// nameSchedulerTwice configures a scheduler that one agent runs at a second agent too, and checks that the second one is refused
// and starts no process of it.
func (d *day) nameSchedulerTwice() {
	scheduler, other := d.agents[0].file.Schedulers[0], d.agents[1]
	scheduler.Addr, _ = live.FreeAddr()
	scheduler.UpgradeAddr, _ = live.FreeAddr()
	d.logEvent("%s is configured to run %s too", other.file.Name, scheduler.ID)
	other.kill()
	other.file.Schedulers = append(other.file.Schedulers, scheduler)
	_ = other.start()
	d.sleep(3 * time.Second)
	switch text := other.tail(1 << 20); {
	case !strings.Contains(text, "not taken on record"):
		d.reportBreak("%s was not refused the name %s", other.file.Name, scheduler.ID)
	case strings.Contains(text, `msg="process started" scheduler=`+scheduler.ID+" "):
		d.reportBreak("%s started a second %s", other.file.Name, scheduler.ID)
	}
	var s agent.Status
	err := (&agent.Caller{HTTP: d.http, Addrs: []string{other.file.Listen}}).Get(d.ctx, "/v1/status", &s)
	for _, x := range s.Schedulers {
		if x.ID == scheduler.ID && (x.ShouldRun || len(x.PIDs) > 0) {
			d.reportBreak("%s runs %s, which another agent runs: %v", s.Name, x.ID, x.PIDs)
		}
	}
	if err != nil {
		d.reportBreak("%v", err)
	}
	other.kill()
	other.file.Schedulers = other.file.Schedulers[:len(other.file.Schedulers)-1]
	_ = other.start()
}
