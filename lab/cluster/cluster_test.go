package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"shalebeam/agent"
	"shalebeam/fleet"
	"shalebeam/quorum"
)

// Programs are built once for all tests here, with the tag faults: what is played against are real processes.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cluster-test-")
	if err != nil {
		panic(err)
	}
	bin = dir
	if out, err := exec.Command("go", "build", "-tags", "faults", "-o", dir+"/", "../../cmd/shalebeam", "../../cmd/beamagent").
		CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func played(t *testing.T, o Options) *Report {
	t.Helper()
	o.Program, o.Agent, o.Dir = filepath.Join(bin, "shalebeam"), filepath.Join(bin, "beamagent"), t.TempDir()
	if at := os.Getenv("CLUSTER_KEEP"); at != "" { // logs and disks stay there
		o.Dir = filepath.Join(at, t.Name())
		_ = os.RemoveAll(o.Dir)
	}
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
	defer stop()
	r, err := Play(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Faults {
		t.Log(f)
	}
	return r
}

// Seeded days of real processes, with faults of links, processes, disks and clocks that overlap, break nothing.
func TestDays(t *testing.T) {
	for seed := range uint64(3) {
		r := played(t, Options{Seed: seed + 1})
		for _, b := range r.Breaks {
			t.Errorf("seed %d: %s", seed+1, b)
		}
		t.Logf("seed %d: %d operations, %d by all, %d open, healed in %.1f s", seed+1, r.Ops, r.Yes, r.Open, r.Healed)
	}
}

func clean(t *testing.T, r *Report) {
	t.Helper()
	for _, b := range r.Breaks {
		t.Error(b)
	}
}

// An owner's call lies in a stalled link; the owner stands still for longer than its term; a successor closes its number
// and takes the worker back in; then the link delivers, and the old owner wakes. Nothing of it counts any more.
func TestLateCallOfAnOldOwner(t *testing.T) {
	t.Parallel()
	r := played(t, Options{Seed: 11, Agents: 3, Act: func(d *Day) {
		old, fence := d.Owner("a")
		worker := d.WorkerIn("a")
		d.SetLink(fmt.Sprint("a", old), "s0", LinkStalled, LinkStalled)
		if d.SetWorkerOut(0, worker, true, d.agentAddrs(nil), time.Second) {
			d.ReportBreak("all obeyed, and one can't be reached")
		}
		d.Pause(old, 5*time.Second)
		others := []string{}
		for i := range d.agents {
			if i != old {
				others = append(others, d.AddrOf(i)...)
			}
		}
		d.WaitUntil("a successor", func() bool {
			now, higher := d.Owner("a")
			return now >= 0 && now != old && higher > fence
		})
		d.SetWorkerOut(0, worker, false, others, 0)
		d.WaitUntil("the successor has told s0", func() bool {
			return d.FenceKnownBy(0, "zone/a") > fence
		})
		d.SetLink(fmt.Sprint("a", old), "s0", LinkUp, LinkUp)
		time.Sleep(4 * time.Second) // the old owner wakes meanwhile
	}})
	clean(t, r)
	if r.Postings == 0 {
		t.Error("no load")
	}
}

// The leader and nobody else are cut off from the rest, for long: what is asked of it is refused, soon and with the
// reason, what is asked of the others goes on, and schedulers serve throughout. A command that was sent to both is
// carried out once.
func TestLeaderCutOff(t *testing.T) {
	t.Parallel()
	r := played(t, Options{Seed: 12, Act: func(d *Day) {
		lead := -1
		d.WaitUntil("a leader", func() bool {
			lead = d.leader()
			return lead >= 0
		})
		d.SetLinks(lead, LinkReset, LinkReset)
		c := fleet.Command{Caller: "both", Number: 1, Do: "out", ID: "x5", Zone: "a", By: "ann", Why: "caller both"}
		if a, err := d.SendCommand(lead, c); err == nil && a.Done {
			d.ReportBreak("a leader that is cut off said yes")
		}
		d.WaitUntil("it refuses at once", func() bool {
			began := time.Now()
			_, err := d.SendCommand(lead, fleet.Command{Caller: "late", Number: 1, Do: "out", ID: "x6", Zone: "a", By: "ann"})
			var no *agent.Refusal
			return errors.As(err, &no) && no.Status == 503 && time.Since(began) < time.Second
		})
		other := (lead + 1) % len(d.agents)
		d.WaitUntil("the others go on", func() bool {
			a, err := d.SendCommand(other, c)
			return err == nil && a.Done
		})
		d.SetWorkerOut(0, d.WorkerIn("b"), true, d.AddrOf(other), 5*time.Second)
		time.Sleep(time.Second)
		d.SetLinks(lead, LinkUp, LinkUp)
		d.WaitUntil("it follows", func() bool {
			a, err := d.SendCommand(lead, c)
			return err == nil && a.Done
		})
	}})
	clean(t, r)
}

// All agents are killed at once, and come back with their disks; one more is gone for good, and is replaced by a new one.
// What was answered stays, and schedulers that were started again meanwhile are told anew.
func TestAllAgentsKilledAtOnce(t *testing.T) {
	t.Parallel()
	r := played(t, Options{Seed: 13, Act: func(d *Day) {
		worker := d.WorkerIn("a")
		d.SetWorkerOut(0, worker, true, d.agentAddrs(nil), 10*time.Second)
		for i := range d.agents {
			d.Kill(i)
		}
		d.live.Kill(1, 500*time.Millisecond)
		time.Sleep(time.Second)
		for i := range d.agents {
			d.Start(i)
		}
		d.WaitUntil("all obey again", func() bool { return d.AllAcknowledged(worker, d.agentAddrs(nil)) })
		old := d.agents[2].readLog()
		d.SetWorkerOut(0, d.WorkerIn("b"), true, d.agentAddrs(nil), 10*time.Second)
		d.Kill(2)
		if err := d.agents[2].writeLog(old); err != nil {
			d.ReportBreak("%v", err)
		}
		d.Start(2)
		d.WaitUntil("the older disk is found out, and its voter replaced", func() bool {
			r, err := d.readRecord(d.ctx)
			return err == nil && r.Voters[3] == "" && len(r.Voters) == 3
		})
		d.SetWorkerOut(0, worker, false, d.agentAddrs(nil), 0)
	}})
	clean(t, r)
}

// The syncs of two voters out of three say yes and keep nothing, both are killed, and come back without the third. What was
// answered yes may be lost then, which nobody can mend; but no read ever shows the fleet without it, and once the third is
// there the voters say what is wrong with them.
func TestTwoDisksLie(t *testing.T) {
	t.Parallel()
	r := played(t, Options{Seed: 14, Act: func(d *Day) {
		d.SetWorkerOut(0, d.WorkerIn("b"), true, d.agentAddrs(nil), 5*time.Second)
		for _, p := range d.agents[:2] {
			p.setFaults(map[string]any{"LieSync": true})
		}
		d.WaitUntil("it is on record", func() bool {
			a, err := d.sendAsOperator(fleet.Command{Do: "out", ID: "x7", Zone: "a", By: "ann"})
			return err == nil && a.Done
		})
		d.Kill(0)
		d.Kill(1)
		d.SetLinks(2, LinkReset, LinkReset)
		for _, p := range d.agents[:2] {
			p.setFaults(map[string]any{})
			_ = p.start()
		}
		found := func() bool {
			if rec, err := d.readRecord(d.ctx); err == nil && !rec.Workers["x7"].Out {
				d.ReportBreak("a read shows the record without what was answered yes")
				return true
			}
			return strings.Contains(d.agents[0].tail(1<<20)+d.agents[1].tail(1<<20), quorum.ErrBehind.Error())
		}
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end) && !found(); time.Sleep(50 * time.Millisecond) {
		}
		d.SetLinks(2, LinkUp, LinkUp)
		d.WaitUntil("a voter says that its disk lacks something", found)
	}})
	for _, b := range r.Breaks {
		if !strings.Contains(b, "the record in reach") { // it is out of reach till a person decides
			t.Error(b)
		}
	}
}
