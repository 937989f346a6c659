package balance

import (
	"fmt"
	"testing"

	"shalebeam/balance/slowstart"
)

// A bound scheme goes only to the workers that it may use, at every posting, also where those are down or
// full; the bands of its txns are cut among them.
func TestPlacement(t *testing.T) {
	terms := plainTerms
	terms.Schemes = append([]SchemeRow{}, plainTerms.Schemes...)
	terms.Schemes[0].Zones, terms.Schemes[1].Kinds = 2, 1
	s := New(terms)
	rows := []Listed{{ID: "a", Zone: 0, Weight: 1}, {ID: "b", Zone: 1, Kind: 1, Weight: 1},
		{ID: "c", Zone: 1, Weight: 1}, {ID: "d", Zone: -1, Kind: -1, Weight: 1}}
	s.ListChanged(0, true, rows)
	met := map[string]bool{}
	open := map[string][]string{"0": {"b", "c"}, "1": {"a", "c"}}
	for i := range 40 {
		now, scheme := float64(i*2000), i%2
		ref := fmt.Sprint(i)
		arrive(s, now, ref, scheme, 100)
		tries := 0
		for p, ok := s.NextPosting(now); ok; p, ok = s.NextPosting(now) {
			if may := open[fmt.Sprint(scheme)]; p.Worker != may[0] && p.Worker != may[1] {
				t.Fatalf("scheme %d was posted to %s", scheme, p.Worker)
			}
			s.Ended(now, ref, tries, Full, false, NoLoad) // and on to the next, until none is left
			met[fmt.Sprint(scheme, p.Worker)] = true
			tries++
		}
		s.Gone(now, ref)
	}
	if len(met) != 4 {
		t.Errorf("met: %v", met)
	}
	// A worker that moves is where the list says.
	rows[0].Zone, rows[1].Zone, rows[2].Zone = 1, 0, 0
	s.ListChanged(90000, true, rows)
	arrive(s, 90000, "moved", 0, 100)
	if p := mustPost(t, s, 90000); p.Worker != "a" {
		t.Errorf("posted to %s, and only a is in its zone now", p.Worker)
	}
	if n := len(s.rankings); n != 3 {
		t.Errorf("%d rankings for all workers and two sets", n)
	}
}

// In any window the postings beyond each txn's first stay within the budget, with
// nothing out a txn may use all of it, a copy half.
func TestBudget(t *testing.T) {
	terms := plainTerms
	terms.BudgetFor, terms.BudgetFree, terms.BudgetRatio = 2000, 1, 0.05
	s := started(terms, 10)
	var took, further []float64
	for i := range 3000 {
		now := float64(i) * 7
		ref := fmt.Sprint(i)
		arrive(s, now, ref, 0, 100)
		took = append(took, now)
		for p, ok := s.NextPosting(now); ok; p, ok = s.NextPosting(now) {
			number := len(s.txns[p.Ref].postings) - 1
			if number > 0 {
				further = append(further, now)
			}
			n, m := 0, 0
			for _, at := range further {
				if at >= now-2000 {
					n++
				}
			}
			for _, at := range took {
				if at > now-2000 {
					m++
				}
			}
			if number > 0 && float64(n) > 1+0.05*float64(m) {
				t.Fatalf("at %g: %d further postings, with %d txns taken", now, n, m)
			}
			s.Ended(now, p.Ref, number, TimedOut, false, NoLoad)
		}
		for ok := true; ok; {
			_, ok = s.NextFinal(now)
		}
	}
	if n := float64(len(further)); n < 0.8*0.05*3000 {
		t.Errorf("%g further postings, of about 150 that the budget has", n)
	}
	// One that was never sent does not count.
	before := len(s.extraPostings)
	s.extraPostings = append(s.extraPostings, 21000)
	s.txns["x"] = &txn{Txn: Txn{Ref: "x"}, terms: s.terms, postings: []*posting{{ended: true}, nil}, inFlight: 1}
	p := &posting{txn: s.txns["x"], worker: s.list[0], number: 1, postedAt: 21000}
	s.txns["x"].postings[1] = p
	s.Ended(21001, "x", 1, NeverSent, false, NoLoad)
	if len(s.extraPostings) != before {
		t.Error("a posting that was never sent counts")
	}
	// While another process of this scheduler leads, what is free is that one's.
	s.arrivals, s.extraPostings = nil, nil
	held := &txn{Txn: Txn{Ref: "y"}, terms: s.terms, postings: []*posting{{ended: true}}}
	if !s.budgetAllows(30000, held) {
		t.Error("what is free can't be used")
	}
	s.Yields()
	if s.budgetAllows(30000, held) {
		t.Error("two processes of one scheduler would both use what is free")
	}
	if s.Leads(30000); s.budgetAllows(31000, held) || !s.budgetAllows(32001, held) {
		t.Error("a process that leads now has to wait for the window")
	}
}

// With the budget spent a txn that was turned away is declined at once, without advice to stay away: its
// client's next try costs nothing of the budget, and is in time. One that may have run, and may not be
// declined, waits.
func TestBudgetSpent(t *testing.T) {
	terms := plainTerms
	terms.BudgetFor, terms.BudgetFree, terms.MaxStay = 2000, 1, 2000
	terms.Schemes = append([]SchemeRow{}, plainTerms.Schemes...)
	terms.Schemes[2].Window = 1e6
	s := started(terms, 10)
	s.Arrived(0, Txn{Ref: "spends", Hint: 100, Slots: 1, Left: 20000})
	mustPost(t, s, 0)
	s.Ended(1, "spends", 0, TimedOut, false, NoLoad)
	mustPost(t, s, 1)
	for ref, scheme := range map[string]int{"full": 1, "ran": 2} {
		arrive(s, 2, ref, scheme, 100)
		mustPost(t, s, 2)
		outcome := Full
		if ref == "ran" {
			outcome = Erred
		}
		s.Ended(3, ref, 0, outcome, false, NoLoad)
	}
	if f, ok := s.NextFinal(3); !ok || f.Ref != "full" || !f.Declined || f.Stay != 0 {
		t.Errorf("got %+v %v", f, ok)
	}
	if f, ok := s.NextFinal(3); ok {
		t.Errorf("given up too: %+v", f)
	}
	if p := mustPost(t, s, 2002); p.Ref != "ran" {
		t.Errorf("with room in the budget: %+v", p)
	}
}

// Among many, two failures of a scheme in a row that peers tell keep it from that worker, and nothing else; a settling
// there ends it. What can't be told is not kept.
func TestFailuresByScheme(t *testing.T) {
	terms := plainTerms
	terms.Peers, terms.Messages = 40, true
	terms.Schemes = append([]SchemeRow{}, plainTerms.Schemes...)
	for i := range terms.Schemes {
		terms.Schemes[i].Name = fmt.Sprint("s", i)
	}
	a, b := started(terms, 2), started(terms, 2)
	fail := func(s *Scheduler, now float64, ref string) string {
		arrive(s, now, ref, 1, 100)
		p := mustPost(t, s, now)
		s.Started(now+1, ref, 0)
		s.Ended(now+2, ref, 0, Erred, false, NoLoad)
		s.NextFinal(now + 2)
		return p.Worker
	}
	at := fail(a, 1000, "x")
	body, ok := a.NextMessage(2000)
	if !ok || len(body) != 3 {
		t.Fatalf("told %v %v", body, ok)
	}
	if _, again := a.NextMessage(9000); again {
		t.Error("there was nothing more to tell")
	}
	goes := func(scheme int, now float64) bool {
		tx := &txn{Txn: Txn{Ref: "t", Scheme: scheme, Hint: 100, Slots: 1}, terms: b.terms, expiresAt: now + 9000, slaAt: now + 9000}
		b.postingDecisions++
		return b.mayPost(now, tx, b.workersByID[at])
	}
	b.rerank(2000)
	if b.Heard(2001, 3, body); !goes(1, 2002) {
		t.Error("one failure told is no reason")
	}
	if b.Heard(2003, 4, body); goes(1, 2004) || !goes(0, 2004) {
		t.Error("after two that scheme alone should keep away")
	}
	body[2] |= settledFlag
	if b.Heard(2005, 4, body); !goes(1, 2006) {
		t.Error("it settled there since")
	}
	few := plainTerms
	few.Messages = true
	c := started(few, 2)
	for i := range 50 {
		fail(c, float64(10000*i), fmt.Sprint(i))
	}
	if len(c.pendingReports) != 0 {
		t.Errorf("%d failures kept that nobody is told of", len(c.pendingReports))
	}
}

// Whatever a worker was seen to carry, and however soon it falls, what all may send it together is within its budget: the
// parts of wide turns added up to twice of it, so that less had to be reckoned of what was seen.
func TestTheSumIsBoundedHoweverSoonWorkersFall(t *testing.T) {
	for _, times := range []float64{1.5, 4} {
		terms := plainTerms
		terms.Peers, terms.FallTimes = 30, times
		requests, budget := 0, 0.0
		for terms.Me = range terms.Peers {
			s := started(terms, 21)
			for _, w := range s.list {
				w.maxRunning = 8
				for range minRunSamples {
					w.ownConcurrency.add(8)
				}
			}
			s.rerank(1)
			w := s.list[0]
			if got := s.capacityOf(w); got != 8 {
				t.Fatalf("falling at %g times it is reckoned to carry %g, was seen to carry 8", times, got)
			}
			budget = slowstart.Budget(s.slowStartLimits().Allowed(0, 8, s.meanWork()))
			requests += s.slowStartLimits().Quota(slowstart.Fleet{Number: terms.Me, Size: terms.Peers}, w.idHash, 0, 8, s.requestStats()).Requests
		}
		if n := float64(requests); n > budget || n < budget/2 {
			t.Errorf("falling at %g times: %.0f requests may go, %.1f are allowed", times, n, budget)
		}
	}
}

// What a worker calls wrong says nothing of that worker: on a large fleet's day 672 requests of bad clients put healthy
// workers aside at 315 schedulers, and the news of it cost 0.04 of G. One that another worker settles does.
func TestWrongRequestIsNotItsWorkersFault(t *testing.T) {
	terms := plainTerms
	terms.Peers, terms.Messages = 40, true
	s := started(terms, 6)
	posted := func(now float64, ref string, number int, outcome Outcome) *worker {
		w := s.workersByID[mustPost(t, s, now).Worker]
		s.Started(now, ref, number)
		s.Ended(now+1, ref, number, outcome, outcome == Done, NoLoad)
		return w
	}
	arrive(s, 1000, "bad", 0, 100)
	a := posted(1000, "bad", 0, Unfit)
	b := posted(1002, "bad", 1, Unfit)
	if f, ok := s.NextFinal(1004); a == b || !ok || f.Ref != "bad" {
		t.Errorf("posted to %s and %s, then %v", a.ID, b.ID, ok)
	}
	if len(s.pendingReports)+a.badOutcomes+b.badOutcomes+len(a.failuresByScheme)+len(b.failuresByScheme) > 0 {
		t.Error("workers are blamed for a client's request")
	}
	arrive(s, 2000, "good", 0, 100)
	a = posted(2000, "good", 0, Unfit)
	if b = posted(2002, "good", 1, Done); a == b || len(a.failuresByScheme) != 1 || len(b.failuresByScheme) != 0 || len(s.pendingReports) != 1 {
		t.Errorf("blamed: %v %v, told %d", a.failuresByScheme, b.failuresByScheme, len(s.pendingReports))
	}
	arrive(s, 3000, "once", 1, 100)
	posted(3000, "once", 0, Unfit)
	if f, ok := s.NextFinal(3002); !ok || f.Declined {
		t.Errorf("a once-only txn that may have run: %v %v", f, ok)
	}
}

// However much fails, each scheduler hears as many messages a second in a fleet of any size, and none that cost more
// than the postings they could keep away.
func TestNewsIsBoundedByTheFleet(t *testing.T) {
	heard := func(peers int, fee float64) float64 {
		terms := plainTerms
		terms.Peers, terms.Messages, terms.TellFee = peers, true, fee
		s := started(terms, 50)
		sent := 0
		for i := range 4000 {
			now, ref := 1000+20*float64(i), fmt.Sprint(i)
			arrive(s, now, ref, 0, 10)
			if p, ok := s.NextPosting(now); ok {
				s.Started(now, p.Ref, 0)
				s.Ended(now+5, p.Ref, 0, []Outcome{Done, Erred, Erred}[i%3], i%3 == 0, NoLoad)
			}
			s.Gone(now+6, ref)
			if _, ok := s.NextMessage(now + 6); ok {
				sent++
			}
		}
		return float64(sent*(peers-1)) / 80
	}
	for _, peers := range []int{10, 100, 300, 3000} {
		if n := heard(peers, 0); n < 1 || n > 8.1/messageIntervalPerPeerMs*1000 {
			t.Errorf("%d schedulers: each hears %g messages a second", peers, n)
		}
	}
	if dear, cheap := heard(300, 100), heard(300, 0.01); dear > 0 || cheap == 0 {
		t.Errorf("%g messages a second at a price of 100, %g at 0.01", dear, cheap)
	}
}
