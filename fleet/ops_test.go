package fleet

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// smallRecord returns a record of one agent, four schedulers in two zones and two workers in one of them, all in service.
func smallRecord(t *testing.T, limits ...Limit) *Record {
	t.Helper()
	r := NewRecord()
	members := []Member{{ID: "a0", Kind: "agent", Zone: "a", Addr: "x:0"}}
	for i := range 4 {
		members = append(members, Member{ID: fmt.Sprint("s", i), Kind: "scheduler", Zone: []string{"a", "b"}[i%2], Addr: fmt.Sprint("x:1", i), Agent: "a0",
			Labels: fmt.Sprint("rack=r", i/2)})
	}
	for i := range 2 {
		members = append(members, Member{ID: fmt.Sprint("w", i), Kind: "worker", Zone: "a", Addr: fmt.Sprint("w/", i), Agent: "a0", Capacity: float64(1 + 3*i)})
	}
	for _, m := range members {
		applyCommand(t, r, Command{Do: "member", Member: &m})
		if m.Kind != "agent" {
			r.Health[m.ID] = Seen{State: InService}
		}
	}
	if len(limits) > 0 {
		if a := applyCommand(t, r, Command{Do: "limits", By: "ann", Limits: limits}); !a.Done {
			t.Fatal(a.Why)
		}
	}
	return r
}

func intPtr(n int) *int { return &n }

// A member counts as out whatever the cause. Shares are rounded down, and limits with "each" count every zone or label value
// separately.
func TestLimitsOnMembersOut(t *testing.T) {
	for i, test := range []struct {
		limits []Limit
		out    string
		ask    string
		may    bool
	}{
		{nil, "", "s0", true}, // the default limit is one at a time
		{nil, "s1", "s0", false},
		{nil, "s0", "s0", true}, // it counts as out already
		{nil, "w0", "s0", true},
		{[]Limit{{Kind: "scheduler", Share: 0.49}}, "", "s0", true},
		{[]Limit{{Kind: "scheduler", Share: 0.49}}, "s1", "s0", false},
		{[]Limit{{Kind: "scheduler", Zone: "each", Most: intPtr(1)}}, "s1", "s0", true},
		{[]Limit{{Kind: "scheduler", Zone: "each", Most: intPtr(1)}}, "s2", "s0", false},
		{[]Limit{{Kind: "scheduler", Label: "rack=each", Most: intPtr(1)}}, "s2", "s0", true},
		{[]Limit{{Kind: "scheduler", Label: "rack=each", Most: intPtr(1)}}, "s1", "s0", false},
		{[]Limit{{Kind: "scheduler", Least: 3}}, "s1", "s0", false},
		{[]Limit{{Kind: "worker", Capacity: 0.5}}, "", "w0", true},
		{[]Limit{{Kind: "worker", Capacity: 0.5}}, "", "w1", false},
	} {
		r := smallRecord(t, test.limits...)
		if test.out != "" {
			r.Health[test.out] = Seen{State: "cold"}
		}
		if why := r.limitRefusal(test.ask, nil); (why == "") != test.may {
			t.Errorf("case %d: refused with %q, want allowed %t", i, why, test.may)
		}
	}
	for _, bad := range []Limit{{Kind: "box", Least: 1}, {Kind: "worker"}, {Kind: "scheduler", Capacity: 0.5}, {Kind: "worker", Share: 2}} {
		if CheckLimits([]Limit{bad}) == "" {
			t.Errorf("the invalid limit %+v was accepted", bad)
		}
	}
}

// A restart of two schedulers, command by command: a grant needs free room under the limits and no halt, a member is in
// service again only by an observation that began after its last step, its permit ends at that point and not before, and
// only the owner of the operation's lease advances it.
func TestStepsOfOneRestart(t *testing.T) {
	r := smallRecord(t)
	if r.V != 2 {
		t.Fatal("members with an agent don't raise the record to format version 2")
	}
	if answer := applyCommand(t, r, Command{Do: "begin", By: "ann", Op: &Op{Kind: "restart", Waves: [][]string{{"s0"}}, Together: 2}}); answer.Done {
		t.Error("an operation with together above the limit was accepted")
	}
	applyCommand(t, r, Command{Do: "member", Member: &Member{ID: "a1", Kind: "agent", Zone: "b", Addr: "x:9"}})
	if answer := applyCommand(t, r, Command{Do: "member", Force: true, Member: &Member{ID: "s0", Kind: "scheduler", Zone: "a", Addr: "x:8", Agent: "a1"}}); answer.Done {
		t.Error("a member that another agent runs was replaced")
	}
	r.Permits["s3"] = Permit{"drain-1", 1}
	if answer := applyCommand(t, r, Command{Do: "begin", By: "bob", Op: &Op{Kind: "drain", Waves: [][]string{{"s3"}}}}); answer.Done {
		t.Error("a member that is out was accepted in a second operation")
	}
	delete(r.Permits, "s3")
	beginAnswer := applyCommand(t, r, Command{Do: "begin", By: "ann", Op: &Op{Kind: "restart", Waves: [][]string{{"s0", "s1"}}}})
	id := fmt.Sprint("restart-", beginAnswer.No)
	if answer := applyCommand(t, r, Command{Do: "begin", By: "bob", Op: &Op{Kind: "drain", Waves: [][]string{{"s1"}}}}); answer.Done {
		t.Error("a member was accepted in two open operations")
	}
	lease := OpOf(id)
	applyCommand(t, r, Command{Do: "claim", Matter: lease, Owner: "a0#1", Term: 3000})
	step := func(member, to string, fence uint64) string {
		return applyCommand(t, r, Command{Do: "step", Matter: lease, Owner: "a0#1", Fence: fence, ID: member, To: to, Renewed: r.Ops[id].Steps[member].No}).Why
	}
	applyCommand(t, r, Command{Do: "halt", ID: "zone/a", By: "ann"})
	for i, test := range []struct {
		call func() string
		want string
	}{
		{func() string { return step("s0", Granted, 1) }, "halted"},
		{func() string {
			return applyCommand(t, r, Command{Do: "lift", ID: "zone/a", By: lease, Owner: "a0#1"}).Why
		}, "only a person"},
		{func() string { return applyCommand(t, r, Command{Do: "lift", ID: "zone/a", By: "ann"}).Why }, ""},
		{func() string { return step("s0", Granted, 2) }, "another owner"},
		{func() string { return step("s0", StepReturning, 1) }, "no such step"},
		{func() string { return step("s0", Granted, 1) }, ""},
		{func() string { return step("s1", Granted, 1) }, "may be"},
		{func() string { return step("s0", StepReturning, 1) }, ""},
		{func() string { return step("s0", StepInService, 1) }, "not seen"},
		{func() string {
			r.Health["s0"] = Seen{InService, r.Ops[id].Steps["s0"].No - 1}
			return step("s0", StepInService, 1)
		}, "not seen"},
		{func() string {
			r.Health["s0"] = Seen{InService, r.Ops[id].Steps["s0"].No}
			return step("s0", StepInService, 1)
		}, ""},
		{func() string { return step("s1", Granted, 1) }, ""},
	} {
		if why := test.call(); test.want == "" && why != "" || test.want != "" && !strings.Contains(why, test.want) {
			t.Errorf("case %d: %q, want %q", i, why, test.want)
		}
	}
	if len(r.Permits) != 1 || r.Permits["s1"].Op != id {
		t.Errorf("permits %v", r.Permits)
	}
	// The agent begins nothing without the record, under a halt set at it, twice, for an owner with another fencing token, or
	// by a call that doesn't match the step on record.
	doer := NewDoer("life")
	doer.Bug = os.Getenv("SHALEBEAM_BUG") // stale-step or halt-at-owner, to check that this test finds them
	call := Do{Op: id, Member: "s1", Call: "run", No: r.Ops[id].Steps["s1"].No, Fence: 1}
	wrongFence := call
	wrongFence.Fence = 9
	for _, test := range []struct {
		call Do
		rec  *Record
	}{{call, nil}, {wrongFence, r}, {Do{Op: id, Member: "s1", Call: "stop", No: call.No, Fence: 1}, r}, {Do{Op: id, Member: "s1", Call: "run", No: call.No - 1, Fence: 1}, r}} {
		if did, begins := doer.Begin(test.call, test.rec); begins || did.State != "refused" {
			t.Errorf("the call %+v was begun: %+v", test.call, did)
		}
	}
	doer.Halts["all"] = Halt{Of: "all", By: "ann"}
	if _, begins := doer.Begin(call, r); begins {
		t.Error("the call was begun under a halt")
	}
	delete(doer.Halts, "all")
	if _, begins := doer.Begin(call, r); !begins {
		t.Error("the call was not begun")
	}
	if did, begins := doer.Begin(call, r); begins || did.State != "going" {
		t.Error("the call was begun twice")
	}
	raw, _ := os.ReadFile("../docs/design/releases.md")
	if !strings.Contains(string(raw), TransitionTable()) {
		t.Errorf("docs/design/releases.md does not have the state table as it is:\n%s", TransitionTable())
	}
}

// A new process that is never ready leaves the former one serving. One that crashes again and again is not restarted any
// more. A process that is not wanted any more is ended, by SIGKILL if it doesn't end after SIGTERM.
func TestProcessSupervision(t *testing.T) {
	minder := &Minder{ReadyMost: 1000, KillAfter: 500}
	minder.Wants(0, true, 0)
	expect := func(now float64, want Deed) {
		t.Helper()
		if deed, ok := minder.Next(now); deed != want || ok != (want.Do != "") {
			t.Fatalf("at %g: %+v, want %+v", now, deed, want)
		}
	}
	expect(0, Deed{"start", 0, 0})
	expect(10, Deed{})
	minder.Ready(0)
	minder.Wants(100, true, 7)
	expect(100, Deed{"start", 1, 7})
	expect(1099, Deed{})
	expect(1100, Deed{"kill", 1, 7})
	minder.Ended(1110, 1)
	expect(1200, Deed{})
	if state, why := minder.State(); state != "failed" || !strings.Contains(why, "the former process keeps serving") {
		t.Error(state, why)
	}
	minder.Wants(2000, true, 9)
	expect(2000, Deed{"start", 1, 9})
	minder.Ready(1)
	expect(2100, Deed{"term", 0, 0})
	expect(2500, Deed{})
	expect(2600, Deed{"kill", 0, 0})
	minder.Ended(2610, 0)
	if state, _ := minder.State(); state != "done" {
		t.Error(state)
	}
	serves := func(want int) {
		t.Helper()
		if slot, ok := minder.Serves(); !ok || slot != want {
			t.Errorf("serves: slot %d, %t, want slot %d", slot, ok, want)
		}
	}
	// The former generation is wanted again just before a newer process is ready: the former one keeps serving, at its slot.
	minder.Wants(2700, true, 11)
	expect(2700, Deed{"start", 0, 11})
	serves(1)
	minder.Wants(2750, true, 9)
	minder.Ready(0)
	serves(1)
	expect(2750, Deed{"term", 0, 11})
	minder.Ended(2800, 0)
	serves(1)
	now, starts, slot := 3000.0, 0, 1
	for minder.Ended(now, slot); now < 60000; now += 50 {
		if deed, ok := minder.Next(now); ok {
			starts++
			slot = deed.Slot
			minder.Ended(now+10, slot)
		}
	}
	if state, why := minder.State(); starts != crashLoopCount-1 || state != "failed" || !strings.Contains(why, "crash loop") {
		t.Errorf("%d starts, %s %s", starts, state, why)
	}
}
