package balance

import "testing"

// A worker withdrawn by operators gets no postings, whatever the list says, until it is returned. From then on
// it is in slow start, even if the list does not show its restart yet; once the list does, its listed start
// counts.
func TestWithdrawnWorker(t *testing.T) {
	s := newTestScheduler(testTerms, 1)
	row := Listed{ID: "w0", Weight: 1}
	arrive(s, 1, "held", 0, 100)
	s.Withdrawn(1, "w0")
	for name, change := range map[string]func(){
		"none":           func() {},
		"the same row":   func() { s.ListChanged(2, false, []Listed{row}) },
		"the whole list": func() { s.ListChanged(2, true, []Listed{row}) },
		"dropped and listed again": func() {
			s.ListChanged(2, true, nil)
			s.ListChanged(2, true, []Listed{row})
		},
		"none, but withdrawn again": func() { s.Withdrawn(2, "w0") },
	} {
		if change(); s.runningWorkers != 0 {
			t.Errorf("after list change %q the worker counts as running", name)
		}
		if p, ok := s.NextPosting(2); ok {
			t.Fatalf("after list change %q: posted to %s, which is withdrawn", name, p.Worker)
		}
	}
	s.Returned(3000, "w0")
	w := s.workersByID["w0"]
	if mustPost(t, s, 3000).Worker != "w0" || w.Start != 3000 || !s.inSlowStart(3001, w) {
		t.Errorf("the returned worker counts as started at %g ms, want 3000", w.Start)
	}
	if s.ListChanged(3002, false, []Listed{row}); w.Start != 3000 {
		t.Errorf("after a list without the restart the worker counts as started at %g ms, want 3000", w.Start)
	}
	row.Start = 2500
	if s.ListChanged(3003, false, []Listed{row}); w.Start != 2500 {
		t.Errorf("the worker counts as started at %g ms, listed is 2500", w.Start)
	}
}

// A worker returned while the list shows it as draining stays out of use.
func TestReturnedWorkerThatIsDraining(t *testing.T) {
	s := newTestScheduler(testTerms, 1)
	s.Withdrawn(1, "w0")
	s.ListChanged(2, false, []Listed{{ID: "w0", State: Draining, Weight: 1}})
	s.Returned(3, "w0")
	arrive(s, 4, "held", 0, 100)
	if p, ok := s.NextPosting(4); ok {
		t.Errorf("posted to %s, which is draining", p.Worker)
	}
	s.Returned(5, "w1") // never withdrawn and unknown: no effect
	if len(s.withdrawals) != 1 {
		t.Error("a worker that was never withdrawn is recorded as such")
	}
}

// Open txns keep the terms they arrived under; what was learned about a scheme is kept under its name.
func TestRetune(t *testing.T) {
	terms := testTerms
	terms.Schemes = []SchemeRow{testTerms.Schemes[0], testTerms.Schemes[1]}
	terms.Schemes[0].Name, terms.Schemes[1].Name = "a", "b"
	s := newTestScheduler(terms, 4)
	arrive(s, 1, "old", 0, 100)
	p := mustPost(t, s, 1)
	fresh := terms
	fresh.MaxPostings = 1
	b, a := terms.Schemes[1], terms.Schemes[0]
	a.Effect, a.Expiry = OnceOnly, 500
	fresh.Schemes = []SchemeRow{b, a}
	s.Retune(fresh)
	if s.longestLeftMs[1] != 500 || s.longestLeftMs[0] != 0 {
		t.Errorf("longest times left: %v, want 0 and 500", s.longestLeftMs)
	}
	s.Ended(2, p.Ref, 0, Failed, false, NoLoad)
	if again := mustPost(t, s, 600); again.Ref != "old" {
		t.Error("an open repeatable txn is not posted again")
	}
	s.Ended(601, "old", 1, Done, true, NoLoad)
	s.Arrived(700, Txn{Ref: "new", Scheme: 1, Hint: 100, Slots: 1, TimeLeftMs: 500})
	mustPost(t, s, 700)
	s.Ended(701, "new", 0, Failed, false, NoLoad)
	if f, ok := s.NextFinal(702); !ok || f.Ref != "new" || f.Declined {
		t.Errorf("a once-only txn that may have run: %+v %v, want a reversal", f, ok)
	}
	// A scheme bound to a kind that no scheme was bound to before finds its workers.
	a.Kinds = 1
	fresh.Schemes = []SchemeRow{b, a}
	s.Retune(fresh)
	s.Arrived(800, Txn{Ref: "kind", Scheme: 1, Hint: 100, Slots: 1, TimeLeftMs: 500})
	mustPost(t, s, 800)
}
