package balance

import (
	"fmt"
	"testing"

	"shalebeam/balance/slowstart"
)

// A bound scheme is posted only to workers that it is open to, at every posting, even if those are down or full.
// The bands of its txns are divided among these workers.
func TestBoundSchemeUsesOnlyItsWorkers(t *testing.T) {
	terms := testTerms
	terms.Schemes = append([]SchemeRow{}, testTerms.Schemes...)
	terms.Schemes[0].Zones, terms.Schemes[1].Kinds = 2, 1
	s := New(terms)
	rows := []Listed{{ID: "a", Zone: 0, Weight: 1}, {ID: "b", Zone: 1, Kind: 1, Weight: 1},
		{ID: "c", Zone: 1, Weight: 1}, {ID: "d", Zone: -1, Kind: -1, Weight: 1}}
	s.ListChanged(0, true, rows)
	postedTo := map[string]bool{}
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
			s.Ended(now, ref, tries, Full, false, NoLoad) // on to the next worker, until none is left
			postedTo[fmt.Sprint(scheme, p.Worker)] = true
			tries++
		}
		s.TxnClosed(now, ref)
	}
	if len(postedTo) != 4 {
		t.Errorf("posted to scheme and worker: %v, want 4 pairs", postedTo)
	}
	// A worker that moves counts as where the list says.
	rows[0].Zone, rows[1].Zone, rows[2].Zone = 1, 0, 0
	s.ListChanged(90000, true, rows)
	arrive(s, 90000, "moved", 0, 100)
	if p := mustPost(t, s, 90000); p.Worker != "a" {
		t.Errorf("posted to %s, but only a is in its zone now", p.Worker)
	}
	if n := len(s.rankings); n != 3 {
		t.Errorf("%d rankings for all workers and two sets", n)
	}
}

// In any window the extra postings stay within the retry budget; a txn with nothing in flight may use all of it,
// a hedge half.
func TestRetryBudget(t *testing.T) {
	terms := testTerms
	terms.RetryBudgetWindowMs, terms.RetryBudgetMin, terms.RetryBudgetRatio = 2000, 1, 0.05
	s := newTestScheduler(terms, 10)
	var arrivals, extraPostings []float64
	for i := range 3000 {
		now := float64(i) * 7
		ref := fmt.Sprint(i)
		arrive(s, now, ref, 0, 100)
		arrivals = append(arrivals, now)
		for p, ok := s.NextPosting(now); ok; p, ok = s.NextPosting(now) {
			number := len(s.txns[p.Ref].postings) - 1
			if number > 0 {
				extraPostings = append(extraPostings, now)
			}
			n, m := 0, 0
			for _, at := range extraPostings {
				if at >= now-2000 {
					n++
				}
			}
			for _, at := range arrivals {
				if at > now-2000 {
					m++
				}
			}
			if number > 0 && float64(n) > 1+0.05*float64(m) {
				t.Fatalf("at %g ms: %d extra postings, with %d arrivals", now, n, m)
			}
			s.Ended(now, p.Ref, number, TimedOut, false, NoLoad)
		}
		for ok := true; ok; {
			_, ok = s.NextFinal(now)
		}
	}
	if n := float64(len(extraPostings)); n < 0.8*0.05*3000 {
		t.Errorf("%g extra postings, the budget allows about 150", n)
	}
	// A posting that was never sent does not count.
	before := len(s.extraPostings)
	s.extraPostings = append(s.extraPostings, 21000)
	s.txns["x"] = &txn{Txn: Txn{Ref: "x"}, terms: s.terms, postings: []*posting{{ended: true}, nil}, inFlight: 1}
	p := &posting{txn: s.txns["x"], worker: s.list[0], number: 1, postedAt: 21000}
	s.txns["x"].postings[1] = p
	s.Ended(21001, "x", 1, NeverSent, false, NoLoad)
	if len(s.extraPostings) != before {
		t.Error("a posting that was never sent counts")
	}
	// While another process of this scheduler leads, RetryBudgetMin is left to that process.
	s.arrivals, s.extraPostings = nil, nil
	queued := &txn{Txn: Txn{Ref: "y"}, terms: s.terms, postings: []*posting{{ended: true}}}
	if !s.budgetAllows(30000, queued) {
		t.Error("RetryBudgetMin can't be used")
	}
	s.YieldLead()
	if s.budgetAllows(30000, queued) {
		t.Error("two processes of one scheduler would both use RetryBudgetMin")
	}
	if s.TakeLead(30000); s.budgetAllows(31000, queued) || !s.budgetAllows(32001, queued) {
		t.Error("a process that just took the lead does not wait for exactly one window")
	}
}

// With the retry budget spent, a txn that was turned away is declined at once, without advice to stay away: its
// client's retry uses none of the budget and is in time. A txn that may have run, and so may not be declined,
// waits.
func TestRetryBudgetSpent(t *testing.T) {
	terms := testTerms
	terms.RetryBudgetWindowMs, terms.RetryBudgetMin, terms.MaxStayAwayMs = 2000, 1, 2000
	terms.Schemes = append([]SchemeRow{}, testTerms.Schemes...)
	terms.Schemes[2].Window = 1e6
	s := newTestScheduler(terms, 10)
	s.Arrived(0, Txn{Ref: "spends", Hint: 100, Slots: 1, TimeLeftMs: 20000})
	mustPost(t, s, 0)
	s.Ended(1, "spends", 0, TimedOut, false, NoLoad)
	mustPost(t, s, 1)
	for ref, scheme := range map[string]int{"full": 1, "ran": 2} {
		arrive(s, 2, ref, scheme, 100)
		mustPost(t, s, 2)
		outcome := Full
		if ref == "ran" {
			outcome = Failed
		}
		s.Ended(3, ref, 0, outcome, false, NoLoad)
	}
	if f, ok := s.NextFinal(3); !ok || f.Ref != "full" || !f.Declined || f.StayAwayMs != 0 {
		t.Errorf("got %+v %v, want full declined without stay-away", f, ok)
	}
	if f, ok := s.NextFinal(3); ok {
		t.Errorf("given up too: %+v", f)
	}
	if p := mustPost(t, s, 2002); p.Ref != "ran" {
		t.Errorf("with budget left: %+v, want a posting of ran", p)
	}
}

// With many schedulers, two failures of a scheme in a row that peers report eject the worker for that scheme
// alone; a settled txn there ends the ejection. Reports that can't be sent are not kept.
func TestSchemeFailureReports(t *testing.T) {
	terms := testTerms
	terms.Schedulers, terms.Messages = 40, true
	terms.Schemes = append([]SchemeRow{}, testTerms.Schemes...)
	for i := range terms.Schemes {
		terms.Schemes[i].Name = fmt.Sprint("s", i)
	}
	a, b := newTestScheduler(terms, 2), newTestScheduler(terms, 2)
	fail := func(s *Scheduler, now float64, ref string) string {
		arrive(s, now, ref, 1, 100)
		p := mustPost(t, s, now)
		s.Started(now+1, ref, 0)
		s.Ended(now+2, ref, 0, Failed, false, NoLoad)
		s.NextFinal(now + 2)
		return p.Worker
	}
	failedWorker := fail(a, 1000, "x")
	body, ok := a.NextMessage(2000)
	if !ok || len(body) != 3 {
		t.Fatalf("message %v %v, want one entry of 3 bytes", body, ok)
	}
	if _, again := a.NextMessage(9000); again {
		t.Error("a second message with nothing more to report")
	}
	mayPost := func(scheme int, now float64) bool {
		tx := &txn{Txn: Txn{Ref: "t", Scheme: scheme, Hint: 100, Slots: 1}, terms: b.terms,
			expiresAt: now + 9000, slaAt: now + 9000}
		b.postingDecisions++
		return b.mayPost(now, tx, b.workersByID[failedWorker])
	}
	b.rerank(2000)
	if b.MessageReceived(2001, 3, body); !mayPost(1, 2002) {
		t.Error("one reported failure ejects the worker")
	}
	if b.MessageReceived(2003, 4, body); mayPost(1, 2004) || !mayPost(0, 2004) {
		t.Error("two reported failures should eject the worker for that scheme alone")
	}
	body[2] |= settledFlag
	if b.MessageReceived(2005, 4, body); !mayPost(1, 2006) {
		t.Error("still ejected after a reported recovery")
	}
	few := testTerms
	few.Messages = true
	c := newTestScheduler(few, 2)
	for i := range 50 {
		fail(c, float64(10000*i), fmt.Sprint(i))
	}
	if len(c.pendingReports) != 0 {
		t.Errorf("%d failure reports are kept that are never sent", len(c.pendingReports))
	}
}

// Whatever capacity a worker was observed to have, and at whatever load it fails (SlowStartMultiple), the quotas of all
// schedulers together stay within its budget. (When each scheduler in turn could send one txn, the shares added
// up to twice the budget, so that a lower capacity than the observed one had to be assumed.)
func TestSumOfQuotasIsBoundedForAnyFallTimes(t *testing.T) {
	for _, times := range []float64{1.5, 4} {
		terms := testTerms
		terms.Schedulers, terms.SlowStartMultiple = 30, times
		requests, budget := 0, 0.0
		for terms.Index = range terms.Schedulers {
			s := newTestScheduler(terms, 21)
			for _, w := range s.list {
				w.maxRunning = 8
				for range minRunSamples {
					w.ownConcurrency.add(8)
				}
			}
			s.rerank(1)
			w := s.list[0]
			if got := s.capacityOf(w); got != 8 {
				t.Fatalf("SlowStartMultiple %g: estimated capacity %g, observed 8", times, got)
			}
			budget = slowstart.RequestBudget(s.slowStartLimits().AllowedRequests(0, 8, s.meanWork()))
			fleet := slowstart.Fleet{Number: terms.Index, Size: terms.Schedulers}
			requests += s.slowStartLimits().Quota(fleet, w.idHash, 0, 8, s.requestStats()).MaxRequests
		}
		if n := float64(requests); n > budget || n < budget/2 {
			t.Errorf("SlowStartMultiple %g: the quotas are %.0f requests, %.1f are allowed", times, n, budget)
		}
	}
}

// A worker that calls a request invalid is not at fault, unless another worker settles that request: on a large
// fleet's day, 672 requests of faulty clients led to healthy workers being ejected at 315 schedulers, and the
// reports of it cost 0.04 of the total gain G.
func TestInvalidRequestIsNotWorkersFault(t *testing.T) {
	terms := testTerms
	terms.Schedulers, terms.Messages = 40, true
	s := newTestScheduler(terms, 6)
	posted := func(now float64, ref string, number int, outcome Outcome) *worker {
		w := s.workersByID[mustPost(t, s, now).Worker]
		s.Started(now, ref, number)
		s.Ended(now+1, ref, number, outcome, outcome == Done, NoLoad)
		return w
	}
	arrive(s, 1000, "bad", 0, 100)
	a := posted(1000, "bad", 0, InvalidRequest)
	b := posted(1002, "bad", 1, InvalidRequest)
	if f, ok := s.NextFinal(1004); a == b || !ok || f.Ref != "bad" {
		t.Errorf("posted to %s and %s, final answer %v", a.ID, b.ID, ok)
	}
	if len(s.pendingReports)+a.badOutcomes+b.badOutcomes+len(a.failuresByScheme)+len(b.failuresByScheme) > 0 {
		t.Error("workers are blamed for a client's invalid request")
	}
	arrive(s, 2000, "good", 0, 100)
	a = posted(2000, "good", 0, InvalidRequest)
	if b = posted(2002, "good", 1, Done); a == b || len(a.failuresByScheme) != 1 ||
		len(b.failuresByScheme) != 0 || len(s.pendingReports) != 1 {
		t.Errorf("failures: %v %v, reports: %d", a.failuresByScheme, b.failuresByScheme, len(s.pendingReports))
	}
	arrive(s, 3000, "once", 1, 100)
	posted(3000, "once", 0, InvalidRequest)
	if f, ok := s.NextFinal(3002); !ok || f.Declined {
		t.Errorf("a once-only txn that may have run: %v %v, want a reversal", f, ok)
	}
}

// However much fails, each scheduler receives as many messages per second in a fleet of any size, and none that
// cost more than the postings they can prevent.
func TestReportRateIsBoundedInAnyFleet(t *testing.T) {
	messagesPerSecond := func(peers int, fee float64) float64 {
		terms := testTerms
		terms.Schedulers, terms.Messages, terms.MessageCost = peers, true, fee
		s := newTestScheduler(terms, 50)
		sent := 0
		for i := range 4000 {
			now, ref := 1000+20*float64(i), fmt.Sprint(i)
			arrive(s, now, ref, 0, 10)
			if p, ok := s.NextPosting(now); ok {
				s.Started(now, p.Ref, 0)
				s.Ended(now+5, p.Ref, 0, []Outcome{Done, Failed, Failed}[i%3], i%3 == 0, NoLoad)
			}
			s.TxnClosed(now+6, ref)
			if _, ok := s.NextMessage(now + 6); ok {
				sent++
			}
		}
		return float64(sent*(peers-1)) / 80
	}
	for _, peers := range []int{10, 100, 300, 3000} {
		if n := messagesPerSecond(peers, 0); n < 1 || n > 8.1/messageIntervalPerPeerMs*1000 {
			t.Errorf("%d schedulers: each receives %g messages per second", peers, n)
		}
	}
	if dear, cheap := messagesPerSecond(300, 100), messagesPerSecond(300, 0.01); dear > 0 || cheap == 0 {
		t.Errorf("%g messages per second at a cost of 100, %g at 0.01", dear, cheap)
	}
}
