package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
)

// applyCommand applies a command as the next one in the log. A command without a caller gets one of its own.
func applyCommand(t *testing.T, r *Record, command Command) CommandResult {
	t.Helper()
	if command.Caller == "" {
		command.Caller, command.Number = fmt.Sprint("c", r.No), 1
	}
	if command.FormatVersion == 0 {
		command.FormatVersion = FormatVersion
	}
	raw, err := json.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := r.Apply(r.No+1, raw)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// Commands are refused if the sender's view of the record is outdated, and retries are not carried out again. Commands and
// snapshots of a newer format version leave the record unchanged, and its sessions and audit log stay within their bounds.
func TestCommandsOnTheRecord(t *testing.T) {
	r := NewRecord()
	agent := Member{ID: "a1", Kind: "agent", Zone: "a", Addr: "x:1"}
	for i, test := range []struct {
		do    Command
		done  bool
		fence uint64
	}{
		{Command{Verb: "member", Member: &agent}, true, 0},
		{Command{Verb: "member", Member: &Member{ID: "s1", Kind: "scheduler", Zone: "a", Addr: "x:1"}}, false, 0}, // the address of another member
		{Command{Verb: "claim", Lease: "zone/a", Owner: "a1#1", TermMs: 3000}, true, 1},
		{Command{Verb: "claim", Lease: "zone/a", Owner: "a2#1", TermMs: 3000}, false, 1}, // the claimant read the lease before the first claim
		{Command{Verb: "renew", Lease: "zone/a", Owner: "a1#1", Fence: 1}, true, 1},
		{Command{Verb: "claim", Lease: "zone/a", Owner: "a2#1", TermMs: 3000, Fence: 1, Expected: 3}, false, 1}, // renewed since the claimant read it
		{Command{Verb: "claim", Lease: "zone/a", Owner: "a2#1", TermMs: 3000, Fence: 1, Expected: 5}, true, 2},
		{Command{Verb: "renew", Lease: "zone/a", Owner: "a1#1", Fence: 1}, false, 2},
		{Command{Verb: "leave", Lease: "zone/a", Owner: "a2#1", Fence: 2}, true, 2},
		{Command{Verb: "claim", Lease: "zone/a", Owner: "a1#2", TermMs: 3000, Fence: 2, Expected: 9}, true, 3}, // a fencing token is not reused after a release
		{Command{Verb: "out", ID: "w1", By: "ann"}, false, 0},
		{Command{Verb: "out", ID: "w1", Zone: "a", By: "ann"}, true, 0},
		{Command{Verb: "out", ID: "w1", Zone: "b", By: "bob"}, false, 0},
		{Command{Verb: "in", ID: "w1", By: "bob"}, false, 0}, // ann took it out
		{Command{Verb: "in", ID: "w1", By: "bob", Force: true}, true, 0},
		{Command{Verb: "nonsense"}, false, 0},
	} {
		if answer := applyCommand(t, r, test.do); answer.Applied != test.done || answer.Fence != test.fence {
			t.Errorf("case %d, %s: got %+v, want done %t, fence %d", i, test.do.Verb, answer, test.done, test.fence)
		}
	}
	// A retry gets the former answer and is not carried out again.
	command := Command{Verb: "out", ID: "w2", Zone: "a", By: "ann", Caller: "x", Number: 7}
	first := applyCommand(t, r, command)
	applyCommand(t, r, Command{Verb: "in", ID: "w2", By: "ann"})
	if again := applyCommand(t, r, command); again != first || r.Intents["w2"].Out || r.Retries != 1 {
		t.Errorf("retry: got %+v, and worker %+v", again, r.Intents["w2"])
	}
	if answer := applyCommand(t, r, Command{Verb: "out", ID: "w2", Zone: "a", By: "ann", Caller: "x", Number: 6}); answer.Applied {
		t.Error("a command with a lower number than the caller's last one was carried out")
	}
	// A command of a newer format version is neither applied nor skipped.
	before := string(r.Snapshot())
	if _, err := r.Apply(r.No+1, []byte(`{"v":3,"do":"new"}`)); !errors.Is(err, ErrNewerFormat) || string(r.Snapshot()) != before {
		t.Errorf("command of a newer format version: %v, or the record changed", err)
	}
	if err := r.Restore([]byte(`{"v":3}`)); !errors.Is(err, ErrNewerFormat) || string(r.Snapshot()) != before {
		t.Errorf("snapshot of a newer format version: %v, or the record changed", err)
	}
	restored := NewRecord()
	if err := restored.Restore([]byte(before)); err != nil || string(restored.Snapshot()) != before {
		t.Errorf("restored snapshot: %v, or not the same bytes", err)
	}
	for i := range maxSessions + 10 {
		applyCommand(t, r, Command{Verb: "out", ID: "w3", Zone: "a", By: "ann", Caller: fmt.Sprint("many", i), Number: 1})
	}
	if len(r.Sessions) != maxSessions || len(r.Audit) > maxAuditEntries {
		t.Errorf("%d sessions, %d audit entries", len(r.Sessions), len(r.Audit))
	}
}

// With clocks whose rates are off by up to a tenth, an owner has always stopped before another agent may claim its lease. A
// new leader waits for a whole term, as it doesn't know the last renewal.
func TestOwnersTermsDoNotOverlap(t *testing.T) {
	const term = 3000.0
	for _, ownerRate := range []float64{0.9, 1, 1.1} {
		for _, leaderRate := range []float64{0.9, 1, 1.1} {
			lease := NewHeldLease(1000*ownerRate, 1, term)
			var terms LeaseTerms
			terms.BecomeLeader(0)
			terms.Applied(1000*leaderRate, &Command{Verb: "renew", Lease: "m"}) // the earliest time at which the renewal can be applied
			for at := 1000.0; at < 6000; at++ {
				if lease.Valid(at*ownerRate) && terms.OwnerTermExpired(at*leaderRate, "m", Lease{Owner: "a#1", TermMs: term}) {
					t.Fatalf("clock rates %g (owner) and %g (leader): the owner still holds the lease at %g ms, and its term has expired", ownerRate, leaderRate, at)
				}
			}
		}
	}
	var terms LeaseTerms
	terms.BecomeLeader(50000)
	if r := NewRecord(); terms.OwnerTermExpired(50000+term, "m", Lease{Owner: "a#1", TermMs: term}) ||
		!terms.OwnerTermExpired(50000+1.2*term, "m", Lease{Owner: "a#1", TermMs: term}) || terms.ProposalRefusal(50000, r, &Command{Verb: "renew"}) != "" {
		t.Error("a new leader doesn't wait for 1.2 terms, or refuses a renewal")
	}
	lease := NewHeldLease(0, 1, term)
	if lease.NextRenewal(100, false) || !lease.NextRenewal(800, false) || lease.NextRenewal(801, true) {
		t.Error("renewals are not due after a quarter of a term, one at a time")
	}
	if lease.Renewed(true); !lease.Valid(800+0.8*term-1) || lease.Valid(800+0.8*term) {
		t.Error("a renewal does not extend the lease from when it was sent")
	}
}

// A new owner raises the fencing token of a scheduler before it tells it anything. A scheduler that was restarted is told
// again, one that doesn't answer counts as not reached, and a higher token at a scheduler ends the ownership.
func TestSchedulersAreToldOfIntents(t *testing.T) {
	scheduler := Member{ID: "s1", Kind: "scheduler", Zone: "a", Addr: "x:1"}
	controller := NewZoneController("zone/a", 5)
	record := NewRecord()
	record.Members["s1"] = scheduler
	record.Intents = map[string]Intent{"w1": {Zone: "a", Out: true, Since: 9}, "w2": {Zone: "b", Out: true, Since: 8}}
	controller.Follow(0, record, "a")
	now := 0.0
	step := func(want CallKind, reply SchedulerReply) SchedulerCall {
		t.Helper()
		now += 10
		call, ok := controller.Next(now)
		if !ok || call.Kind != want || call.Fence != 5 {
			t.Fatalf("at %g: %+v %v, want act %d", now, call, ok, want)
		}
		if _, second := controller.Next(now); second {
			t.Fatal("two calls to one scheduler at the same time")
		}
		controller.Answered(now, call, reply)
		return call
	}
	expectState := func(want AckState) {
		t.Helper()
		if standings := controller.Acknowledgements("w1"); len(standings) != 1 || standings[0].State != want {
			t.Fatalf("%+v, want %s", standings, want)
		}
	}
	expectState(AckNotReached)
	step(CallStatus, SchedulerReply{Reached: true, Applied: true, Start: "x", Fence: 4})
	expectState(AckPending)
	step(CallRaiseFence, SchedulerReply{Reached: true, Applied: true, Start: "x", Fence: 5})
	call := step(CallSetWorker, SchedulerReply{Reason: "timeout"})
	expectState(AckNotReached)
	now += initialBackoffMs
	if again := step(CallSetWorker, SchedulerReply{Reached: true, Applied: true, Start: "x", Fence: 5}); again != call {
		t.Errorf("the retry is %+v", again)
	}
	expectState(AckDone)
	if call, ok := controller.Next(now); ok {
		t.Fatalf("everything is confirmed, and the next call is %+v", call)
	}
	now += statusIntervalMs
	step(CallStatus, SchedulerReply{Reached: true, Applied: true, Start: "y"})
	expectState(AckPending)
	step(CallRaiseFence, SchedulerReply{Reached: true, Reason: "start z", Start: "z"})
	now += initialBackoffMs
	step(CallStatus, SchedulerReply{Reached: true, Applied: true, Start: "z"})
	step(CallRaiseFence, SchedulerReply{Reached: true, Applied: true, Start: "z", Fence: 5})
	step(CallSetWorker, SchedulerReply{Reached: true, Applied: true, Start: "z", Fence: 5})
	expectState(AckDone)
	now += statusIntervalMs
	step(CallStatus, SchedulerReply{Reached: true, Applied: true, Start: "z", Fence: 6})
	if _, ok := controller.Next(now + 9000); ok || controller.SupersededBy != 6 {
		t.Error("the owner continues to act after it has seen a higher fencing token")
	}
}

// A zone's lease goes to an agent of the zone, chosen by hash. Another one takes over once the term has expired, and hands the
// lease back only after the first one has been present for long.
func TestLeaseClaimsAndHandover(t *testing.T) {
	r := NewRecord()
	for _, m := range []Member{{ID: "a1", Kind: "agent", Zone: "a", Addr: "x:1"}, {ID: "a2", Kind: "agent", Zone: "a", Addr: "x:2"},
		{ID: "b1", Kind: "agent", Zone: "b", Addr: "x:3"}, {ID: "s1", Kind: "scheduler", Zone: "a", Addr: "x:4"},
		{ID: "s2", Kind: "scheduler", Zone: "b", Addr: "x:5"}} {
		applyCommand(t, r, Command{Verb: "member", Member: &m})
	}
	order := AgentOrder("a", r.MembersOfKind("agent"))
	if order[2].ID != "b1" || len(r.ZonesWithWork()) != 2 {
		t.Fatalf("order of preference %v", order)
	}
	first, second := NewLeaseClaimer(order[0].ID, "1", 3000), NewLeaseClaimer(order[1].ID, "1", 3000)
	claim, ok := first.NextClaim(0, r, nil)
	if !ok || claim.Lease != "zone/a" {
		t.Fatalf("%+v", claim)
	}
	if claim, ok := second.NextClaim(0, r, nil); ok {
		t.Fatalf("the second agent claims at once: %+v", claim)
	}
	applyCommand(t, r, claim)
	firstAbsent := map[string]bool{first.Agent: true}
	second.NextClaim(1000, r, firstAbsent)
	if claim, ok := second.NextClaim(4000, r, firstAbsent); ok && claim.Lease == "zone/a" {
		t.Error("the second agent claims before the term has expired")
	}
	claim, ok = second.NextClaim(1000+1.2*3000+3000, r, firstAbsent)
	if !ok || claim.Lease != "zone/a" || claim.Fence != 1 {
		t.Fatalf("%+v %v", claim, ok)
	}
	applyCommand(t, r, claim)
	if claim, ok := second.NextHandover(10000, r, nil); ok {
		t.Fatalf("handed back at once: %+v", claim)
	}
	second.NextHandover(20000, r, firstAbsent)
	second.NextHandover(25000, r, nil)
	if _, ok := second.NextHandover(25000+handoverDelayTerms*3000-1, r, nil); ok {
		t.Error("handed back before the first agent was present for long")
	}
	claim, ok = second.NextHandover(25000+handoverDelayTerms*3000, r, nil)
	if answer := applyCommand(t, r, claim); !ok || !answer.Applied || r.Leases["zone/a"].HandoverTo != first.Agent {
		t.Errorf("%+v %+v", claim, answer)
	}
}

// A worker that was put back into service keeps its row in the record for ever: once there were maxWorkers of them, no further worker
// can be taken out.
func TestRecordHasRoomAfterWorkersWerePutBack(t *testing.T) {
	r := NewRecord()
	for i := range maxWorkers {
		id := fmt.Sprint("w", i)
		out := Command{Verb: "out", ID: id, Zone: "a", By: "ann", Caller: "ann", Number: uint64(2*i + 1)}
		if answer := applyCommand(t, r, out); !answer.Applied {
			t.Fatalf("taking out %s: %+v", id, answer)
		}
		applyCommand(t, r, Command{Verb: "in", ID: id, By: "ann", Caller: "ann", Number: uint64(2*i + 2)})
	}
	answer := applyCommand(t, r, Command{Verb: "out", ID: "one more", Zone: "a", By: "ann", Caller: "ann", Number: 2*maxWorkers + 1})
	if !answer.Applied {
		t.Errorf("no worker is out, and one more is refused: %s", answer.Reason)
	}
}
