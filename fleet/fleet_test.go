package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
)

func apply(t *testing.T, r *Record, c Command) Answer {
	t.Helper()
	if c.Caller == "" {
		c.Caller, c.Number = fmt.Sprint("c", r.No), 1
	}
	if c.V == 0 {
		c.V = Form
	}
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	a, err := r.Apply(r.No+1, raw)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestRecord(t *testing.T) {
	r := NewRecord()
	agent := Member{ID: "a1", Kind: "agent", Zone: "a", Addr: "x:1"}
	for i, c := range []struct {
		do    Command
		done  bool
		fence uint64
	}{
		{Command{Do: "member", Member: &agent}, true, 0},
		{Command{Do: "member", Member: &Member{ID: "s1", Kind: "scheduler", Zone: "a", Addr: "x:1"}}, false, 0}, // one address twice
		{Command{Do: "claim", Matter: "zone/a", Owner: "a1#1", Term: 3000}, true, 1},
		{Command{Do: "claim", Matter: "zone/a", Owner: "a2#1", Term: 3000}, false, 1}, // it looked before that
		{Command{Do: "renew", Matter: "zone/a", Owner: "a1#1", Fence: 1}, true, 1},
		{Command{Do: "claim", Matter: "zone/a", Owner: "a2#1", Term: 3000, Fence: 1, Renewed: 3}, false, 1}, // renewed since
		{Command{Do: "claim", Matter: "zone/a", Owner: "a2#1", Term: 3000, Fence: 1, Renewed: 5}, true, 2},
		{Command{Do: "renew", Matter: "zone/a", Owner: "a1#1", Fence: 1}, false, 2},
		{Command{Do: "leave", Matter: "zone/a", Owner: "a2#1", Fence: 2}, true, 2},
		{Command{Do: "claim", Matter: "zone/a", Owner: "a1#2", Term: 3000, Fence: 2, Renewed: 9}, true, 3}, // it never comes again
		{Command{Do: "out", ID: "w1", By: "ann"}, false, 0},
		{Command{Do: "out", ID: "w1", Zone: "a", By: "ann"}, true, 0},
		{Command{Do: "out", ID: "w1", Zone: "b", By: "bob"}, false, 0},
		{Command{Do: "in", ID: "w1", By: "bob"}, false, 0}, // what ann took out
		{Command{Do: "in", ID: "w1", By: "bob", Force: true}, true, 0},
		{Command{Do: "nonsense"}, false, 0},
	} {
		if a := apply(t, r, c.do); a.Done != c.done || a.Fence != c.fence {
			t.Errorf("case %d, %s: %+v", i, c.do.Do, a)
		}
	}
	// The same command again is answered as before, and carried out once.
	c := Command{Do: "out", ID: "w2", Zone: "a", By: "ann", Caller: "x", Number: 7}
	first := apply(t, r, c)
	apply(t, r, Command{Do: "in", ID: "w2", By: "ann"})
	if again := apply(t, r, c); again != first || r.Workers["w2"].Out || r.Retries != 1 {
		t.Errorf("sent again: %+v, %+v", again, r.Workers["w2"])
	}
	if a := apply(t, r, Command{Do: "out", ID: "w2", Zone: "a", By: "ann", Caller: "x", Number: 6}); a.Done {
		t.Error("an older command of the same caller was carried out")
	}
	// Of a newer form nothing is applied, nor passed over.
	before := string(r.Snapshot())
	if _, err := r.Apply(r.No+1, []byte(`{"v":3,"do":"new"}`)); !errors.Is(err, ErrNewer) || string(r.Snapshot()) != before {
		t.Errorf("of a newer form: %v", err)
	}
	if err := r.Restore([]byte(`{"v":3}`)); !errors.Is(err, ErrNewer) || string(r.Snapshot()) != before {
		t.Errorf("a snapshot of a newer form: %v", err)
	}
	o := NewRecord()
	if err := o.Restore([]byte(before)); err != nil || string(o.Snapshot()) != before {
		t.Errorf("restored: %v", err)
	}
	for i := range maxSessions + 10 {
		apply(t, r, Command{Do: "out", ID: "w3", Zone: "a", By: "ann", Caller: fmt.Sprint("many", i), Number: 1})
	}
	if len(r.Sessions) != maxSessions || len(r.Rows) > maxAuditEntries {
		t.Errorf("%d sessions, %d rows", len(r.Sessions), len(r.Rows))
	}
}

// With clocks that are a tenth fast or slow, an owner has always stopped before the next one begins; a new leader waits
// for a whole term, whatever it has seen.
func TestTermsDoNotOverlap(t *testing.T) {
	const term = 3000.0
	for _, owner := range []float64{0.9, 1, 1.1} {
		for _, leader := range []float64{0.9, 1, 1.1} {
			h := Held(1000*owner, 1, term)
			var k Keeper
			k.Leads(0)
			k.Applied(1000*leader, &Command{Do: "renew", Matter: "m"}) // at the soonest it can stand in the record
			for at := 1000.0; at < 6000; at++ {
				if h.Holds(at*owner) && k.OwnerTermExpired(at*leader, "m", Lease{Owner: "a#1", TermMs: term}) {
					t.Fatalf("clocks at %g and %g: both at %g", owner, leader, at)
				}
			}
		}
	}
	var k Keeper
	k.Leads(50000)
	if r := NewRecord(); k.OwnerTermExpired(50000+term, "m", Lease{Owner: "a#1", TermMs: term}) ||
		!k.OwnerTermExpired(50000+1.2*term, "m", Lease{Owner: "a#1", TermMs: term}) || k.MayPropose(50000, r, &Command{Do: "renew"}) != "" {
		t.Error("a new leader")
	}
	h := Held(0, 1, term)
	if h.NextRenewal(100, false) || !h.NextRenewal(800, false) || h.NextRenewal(801, true) {
		t.Error("renewals")
	}
	if h.Renewed(true); !h.Holds(800+0.8*term-1) || h.Holds(800+0.8*term) {
		t.Error("a renewal holds from when it was asked for")
	}
}

// A new owner closes its predecessor's number before it tells anything; a scheduler that was started again is told anew;
// one that is out of reach counts as not obeying; a higher number ends the owner.
func TestTeller(t *testing.T) {
	s1 := Member{ID: "s1", Kind: "scheduler", Zone: "a", Addr: "x:1"}
	tell := NewTeller("zone/a", 5)
	r := NewRecord()
	r.Members["s1"] = s1
	r.Workers = map[string]Intent{"w1": {Zone: "a", Out: true, Since: 9}, "w2": {Zone: "b", Out: true, Since: 8}}
	tell.Follow(0, r, "a")
	now := 0.0
	step := func(want CallKind, r Reply) Call {
		t.Helper()
		now += 10
		c, ok := tell.Next(now)
		if !ok || c.Act != want || c.Fence != 5 {
			t.Fatalf("at %g: %+v %v, want act %d", now, c, ok, want)
		}
		if _, two := tell.Next(now); two {
			t.Fatal("two calls at one scheduler")
		}
		tell.Answered(now, c, r)
		return c
	}
	state := func(want State) {
		t.Helper()
		if rows := tell.Told("w1"); len(rows) != 1 || rows[0].State != want {
			t.Fatalf("%+v, want %s", rows, want)
		}
	}
	state(NotReached)
	step(Look, Reply{Reached: true, Done: true, Start: "x", Fence: 4})
	state(Unknown)
	step(Close, Reply{Reached: true, Done: true, Start: "x", Fence: 5})
	c := step(Tell, Reply{Why: "timeout"})
	state(NotReached)
	now += initialBackoffMs
	if again := step(Tell, Reply{Reached: true, Done: true, Start: "x", Fence: 5}); again != c {
		t.Errorf("sent again as %+v", again)
	}
	state(Obeyed)
	if c, ok := tell.Next(now); ok {
		t.Fatalf("nothing is owed, and %+v", c)
	}
	now += statusIntervalMs
	step(Look, Reply{Reached: true, Done: true, Start: "y"})
	state(Unknown)
	step(Close, Reply{Reached: true, Why: "start z", Start: "z"})
	now += initialBackoffMs
	step(Look, Reply{Reached: true, Done: true, Start: "z"})
	step(Close, Reply{Reached: true, Done: true, Start: "z", Fence: 5})
	step(Tell, Reply{Reached: true, Done: true, Start: "z", Fence: 5})
	state(Obeyed)
	now += statusIntervalMs
	step(Look, Reply{Reached: true, Done: true, Start: "z", Fence: 6})
	if _, ok := tell.Next(now + 9000); ok || tell.Passed != 6 {
		t.Error("it acts on after a higher number was seen")
	}
}

// Matters go to agents of the zone, spread by hash; another takes over once the term is over, and gives back only after
// the first one has been there for long.
func TestDuties(t *testing.T) {
	r := NewRecord()
	for _, m := range []Member{{ID: "a1", Kind: "agent", Zone: "a", Addr: "x:1"}, {ID: "a2", Kind: "agent", Zone: "a", Addr: "x:2"},
		{ID: "b1", Kind: "agent", Zone: "b", Addr: "x:3"}, {ID: "s1", Kind: "scheduler", Zone: "a", Addr: "x:4"},
		{ID: "s2", Kind: "scheduler", Zone: "b", Addr: "x:5"}} {
		apply(t, r, Command{Do: "member", Member: &m})
	}
	order := AgentOrder("a", r.Of("agent"))
	if order[2].ID != "b1" || len(r.Zones()) != 2 {
		t.Fatalf("order %v", order)
	}
	first, second := NewDuty(order[0].ID, "1", 3000), NewDuty(order[1].ID, "1", 3000)
	c, ok := first.NextClaim(0, r, nil)
	if !ok || c.Matter != "zone/a" {
		t.Fatalf("%+v", c)
	}
	if c, ok := second.NextClaim(0, r, nil); ok {
		t.Fatalf("the second claims at once: %+v", c)
	}
	apply(t, r, c)
	gone := map[string]bool{first.Agent: true}
	second.NextClaim(1000, r, gone)
	if c, ok := second.NextClaim(4000, r, gone); ok && c.Matter == "zone/a" {
		t.Error("claimed within the term")
	}
	c, ok = second.NextClaim(1000+1.2*3000+3000, r, gone)
	if !ok || c.Matter != "zone/a" || c.Fence != 1 {
		t.Fatalf("%+v %v", c, ok)
	}
	apply(t, r, c)
	if c, ok := second.NextPass(10000, r, nil); ok {
		t.Fatalf("passed back at once: %+v", c)
	}
	second.NextPass(20000, r, gone)
	second.NextPass(25000, r, nil)
	if _, ok := second.NextPass(25000+handoverDelayTerms*3000-1, r, nil); ok {
		t.Error("passed back after a blink")
	}
	c, ok = second.NextPass(25000+handoverDelayTerms*3000, r, nil)
	if a := apply(t, r, c); !ok || !a.Done || r.Matters["zone/a"].Wanted != first.Agent {
		t.Errorf("%+v %+v", c, a)
	}
}
