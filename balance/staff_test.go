package balance

import "testing"

// A worker that staff took out gets nothing, whatever the list says, until it is put back. It is cold then,
// also where the list has not yet told of its restart, and by that start where the list has.
func TestWithdrawnWorker(t *testing.T) {
	s := started(plainTerms, 1)
	row := Listed{ID: "w0", Weight: 1}
	arrive(s, 1, "held", 0, 100)
	s.Withdrawn(1, "w0")
	for name, told := range map[string]func(){
		"nothing":     func() {},
		"itself":      func() { s.ListChanged(2, false, []Listed{row}) },
		"a whole one": func() { s.ListChanged(2, true, []Listed{row}) },
		"it dropped and listed anew": func() {
			s.ListChanged(2, true, nil)
			s.ListChanged(2, true, []Listed{row})
		},
		"a second call out": func() { s.Withdrawn(2, "w0") },
	} {
		if told(); s.runningWorkers != 0 {
			t.Errorf("after the list told %s the worker runs", name)
		}
		if p, ok := s.NextPosting(2); ok {
			t.Fatalf("after the list told %s: posted to %s, which is out", name, p.Worker)
		}
	}
	s.Returned(3000, "w0")
	w := s.workersByID["w0"]
	if mustPost(t, s, 3000).Worker != "w0" || w.Start != 3000 || !s.inSlowStart(3001, w) {
		t.Errorf("back it is taken to have started at %g, not when it was put back", w.Start)
	}
	if s.ListChanged(3002, false, []Listed{row}); w.Start != 3000 {
		t.Errorf("a list without the restart made it one that started at %g", w.Start)
	}
	row.Start = 2500
	if s.ListChanged(3003, false, []Listed{row}); w.Start != 2500 {
		t.Errorf("its start as told is 2500, and it counts as started at %g", w.Start)
	}
}

// Put back in a state that the list does not have in service, it stays out of use.
func TestReturnedWhileItDrains(t *testing.T) {
	s := started(plainTerms, 1)
	s.Withdrawn(1, "w0")
	s.ListChanged(2, false, []Listed{{ID: "w0", State: Draining, Weight: 1}})
	s.Returned(3, "w0")
	arrive(s, 4, "held", 0, 100)
	if p, ok := s.NextPosting(4); ok {
		t.Errorf("posted to %s, which drains", p.Worker)
	}
	s.Returned(5, "w1") // never out, and not known: nothing happens
	if len(s.withdrawals) != 1 {
		t.Error("a worker that was never out is kept")
	}
}

// Open txns keep the terms they came under; what was learnt of a scheme stays with its name.
func TestRetune(t *testing.T) {
	terms := plainTerms
	terms.Schemes = []SchemeRow{plainTerms.Schemes[0], plainTerms.Schemes[1]}
	terms.Schemes[0].Name, terms.Schemes[1].Name = "a", "b"
	s := started(terms, 4)
	arrive(s, 1, "old", 0, 100)
	p := mustPost(t, s, 1)
	fresh := terms
	fresh.MaxPosts = 1
	b, a := terms.Schemes[1], terms.Schemes[0]
	a.Effect, a.Expiry = OnceOnly, 500
	fresh.Schemes = []SchemeRow{b, a}
	s.Retune(fresh)
	if s.longestLeftMs[1] != 500 || s.longestLeftMs[0] != 0 {
		t.Errorf("longest: %v", s.longestLeftMs)
	}
	s.Ended(2, p.Ref, 0, Erred, false, NoLoad)
	if again := mustPost(t, s, 600); again.Ref != "old" {
		t.Error("a repeatable txn that was open does not go again")
	}
	s.Ended(601, "old", 1, Done, true, NoLoad)
	s.Arrived(700, Txn{Ref: "new", Scheme: 1, Hint: 100, Slots: 1, Left: 500})
	mustPost(t, s, 700)
	s.Ended(701, "new", 0, Erred, false, NoLoad)
	if f, ok := s.NextFinal(702); !ok || f.Ref != "new" || f.Declined {
		t.Errorf("a once-only txn that may have run: %+v %v", f, ok)
	}
	// A scheme bound to a kind that none was bound to before finds its workers.
	a.Kinds = 1
	fresh.Schemes = []SchemeRow{b, a}
	s.Retune(fresh)
	s.Arrived(800, Txn{Ref: "kind", Scheme: 1, Hint: 100, Slots: 1, Left: 500})
	mustPost(t, s, 800)
}
