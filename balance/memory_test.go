package balance

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// footprint counts what can be reached from a scheduler: what the garbage collector must keep for it.
type footprint struct {
	txns, postings, workers int
	bytes                   uintptr // of all memory, as far as it is found through pointers, slices, maps and strings
}

// footprintOf walks over all that a scheduler holds.
func footprintOf(s *Scheduler) footprint {
	var f footprint
	f.add(reflect.ValueOf(s), map[uintptr]bool{})
	return f
}

// add counts what a value refers to, each object once. The value itself is counted by the object that holds it.
func (f *footprint) add(v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			return
		}
		seen[v.Pointer()] = true
		switch v.Type() {
		case reflect.TypeFor[*txn]():
			f.txns++
		case reflect.TypeFor[*posting]():
			f.postings++
		case reflect.TypeFor[*worker]():
			f.workers++
		}
		f.bytes += v.Type().Elem().Size()
		f.add(v.Elem(), seen)
	case reflect.Interface:
		f.add(v.Elem(), seen)
	case reflect.String:
		f.bytes += uintptr(v.Len())
	case reflect.Slice:
		f.bytes += uintptr(v.Cap()) * v.Type().Elem().Size()
		for i := range v.Len() {
			f.add(v.Index(i), seen)
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			f.bytes += v.Type().Key().Size() + v.Type().Elem().Size()
			f.add(entries.Key(), seen)
			f.add(entries.Value(), seen)
		}
	case reflect.Array:
		for i := range v.Len() {
			f.add(v.Index(i), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			f.add(v.Field(i), seen)
		}
	}
}

// checkSteadyFootprint runs rounds of a scheduler's work, and fails the test if after more rounds the scheduler holds more than
// after the first ones. round may leave what is open at its end, as long as that is as much in each round.
func checkSteadyFootprint(t *testing.T, s *Scheduler, round func(i int)) {
	t.Helper()
	const rounds = 2000
	for i := range rounds {
		round(i)
	}
	before := footprintOf(s)
	for i := range 4 * rounds {
		round(rounds + i)
	}
	after := footprintOf(s)
	// Slices grow by doubling, and rings may be at any place of their turn.
	if after.txns > before.txns+2 || after.postings > before.postings+2 || after.workers > before.workers+2 ||
		after.bytes > 2*before.bytes+4<<10 {
		t.Errorf("after %d rounds the scheduler holds %+v, after %d rounds %+v", rounds, before, 5*rounds, after)
	}
}

// decideAll polls for decisions as a host does, and returns the postings that were made.
func decideAll(s *Scheduler, now float64) (posts []Post) {
	for decided := true; decided; {
		_, final := s.NextFinal(now)
		cancel, isCancel := s.NextCancel(now)
		if isCancel {
			s.Ended(now, cancel.Ref, cancel.Posting, Cancelled, false, NoLoad)
		}
		post, isPost := s.NextPosting(now)
		if isPost {
			posts = append(posts, post)
		}
		decided = final || isCancel || isPost
	}
	s.Wake(now)
	return posts
}

// settleOne hands in a txn and settles its first posting.
func settleOne(t *testing.T, s *Scheduler, now float64, ref string) {
	t.Helper()
	arrive(s, now, ref, 0, 4)
	posts := decideAll(s, now)
	if len(posts) != 1 || posts[0].Ref != ref {
		t.Fatalf("at %g ms: postings %+v, want one of %s", now, posts, ref)
	}
	s.Started(now+1, ref, 0)
	decideAll(s, now+1)
	s.Ended(now+4, ref, 0, Done, true, NoLoad)
	decideAll(s, now+4)
}

// Without a moment of overload, settled txns stayed in the index of give-up times under overload, until the process was over its
// memory limit.
func TestQuietSchedulerForgetsSettledTxns(t *testing.T) {
	s := newTestScheduler(testTerms, 8)
	checkSteadyFootprint(t, s, func(i int) { settleOne(t, s, float64(i)*10, fmt.Sprint(i)) })
	if n := footprintOf(s).txns; n > 0 {
		t.Errorf("%d settled txns are kept", n)
	}
}

// While one txn waits in the queue, those that passed through it meanwhile stayed in the indexes behind it.
func TestSettledTxnsAreForgottenWhileAnotherWaits(t *testing.T) {
	terms := testTerms
	terms.Schemes = append([]SchemeRow{{Zones: 1 << 5, SLA: 1e9, Expiry: 1e9, Gain: 1, LateGain: 0.2}}, testTerms.Schemes...)
	s := newTestScheduler(terms, 8)
	s.Arrived(0, Txn{Ref: "waits for a worker of its zone", Hint: 4, Slots: 1, TimeLeftMs: 1e9})
	checkSteadyFootprint(t, s, func(i int) {
		now, ref := float64(i)*10, fmt.Sprint(i)
		s.Arrived(now, Txn{Ref: ref, Scheme: 1, Hint: 4, Slots: 1, TimeLeftMs: 20000})
		decideAll(s, now)
		s.Ended(now+4, ref, 0, Done, true, NoLoad)
		decideAll(s, now+4)
	})
}

// Under overload, txns whose postings had started stayed in the index of unstarted ones for as long as the overload lasted.
func TestStartedTxnsAreForgottenUnderOverload(t *testing.T) {
	terms := testTerms
	terms.Schemes = append([]SchemeRow{{Zones: 1 << 5, SLA: 1e9, Expiry: 1e9, Gain: 1, LateGain: 0.2}}, testTerms.Schemes...)
	s := newTestScheduler(terms, 8)
	s.Arrived(-2000, Txn{Ref: "waits for a worker of its zone", Hint: 4, Slots: 1, TimeLeftMs: 1e9})
	checkSteadyFootprint(t, s, func(i int) {
		now, ref := float64(i)*10, fmt.Sprint(i)
		if !s.overloaded(now) {
			t.Fatal("the scheduler is not overloaded")
		}
		s.Arrived(now, Txn{Ref: ref, Scheme: 1, Hint: 4, Slots: 1, TimeLeftMs: 20000})
		decideAll(s, now)
		s.Started(now+1, ref, 0)
		s.Ended(now+4, ref, 0, Done, true, NoLoad)
		decideAll(s, now+4)
	})
}

// While no worker accepted a txn, the arrivals that the retry budget counts were never dropped.
func TestArrivalsAreForgottenWhileNoWorkerAccepts(t *testing.T) {
	terms := testTerms
	terms.RetryBudgetWindowMs, terms.RetryBudgetRatio = 2000, 0.1
	s := newTestScheduler(terms, 0)
	checkSteadyFootprint(t, s, func(i int) {
		now, ref := float64(i)*10, fmt.Sprint(i)
		arrive(s, now, ref, 0, 4)
		decideAll(s, now)
		s.TxnClosed(now+5, ref) // its client leaves
		decideAll(s, now+5)
	})
}

// A scheduler without traffic kept each worker that had been in the list, as workers are only ranked for a txn.
func TestIdleSchedulerForgetsWorkersThatLeftTheList(t *testing.T) {
	s := newTestScheduler(testTerms, 8)
	settleOne(t, s, 1, "first")
	checkSteadyFootprint(t, s, func(i int) {
		now, id := 10+float64(i)*10, fmt.Sprint("new", i)
		s.ListChanged(now, false, []Listed{{ID: id, Weight: 1}})
		decideAll(s, now)
		s.ListChanged(now+5, false, []Listed{{ID: id, State: Removed}})
		decideAll(s, now+5)
	})
}

// A worker that came and went between two news of the list was kept for ever by the news that it is gone.
func TestRemovalOfUnknownWorkerLeavesNothing(t *testing.T) {
	s := newTestScheduler(testTerms, 8)
	checkSteadyFootprint(t, s, func(i int) {
		now := float64(i) * 10
		s.ListChanged(now, false, []Listed{{ID: fmt.Sprint("gone", i), State: Removed}})
		settleOne(t, s, now, fmt.Sprint(i))
	})
}

// A worker of a handed-over txn's ended posting was kept for ever if the list no longer had it.
func TestHandedOverTxnLeavesNoWorkerBehind(t *testing.T) {
	s := newTestScheduler(testTerms, 8)
	checkSteadyFootprint(t, s, func(i int) {
		now, ref := float64(i)*10, fmt.Sprint(i)
		s.ImportTxn(TxnState{Txn: Txn{Ref: ref, Hint: 4, Slots: 1}, Scheme: testTerms.Schemes[0], MaxPostings: 6,
			ArrivedAt: now, SLAAt: now + 1000, ExpiresAt: now + 20000,
			Postings: []PostingState{{Worker: fmt.Sprint("gone", i), PostedAt: now, Ended: true, MayHaveRun: true}}})
		decideAll(s, now)
		s.Ended(now+4, ref, 1, Done, true, NoLoad)
		decideAll(s, now+4)
	})
}

// A worker that operators put back into service was remembered for ever, also after it had left the list.
func TestReturnedWorkersThatLeftAreForgotten(t *testing.T) {
	s := newTestScheduler(testTerms, 8)
	const intervalMs = 50000.0
	checkSteadyFootprint(t, s, func(i int) {
		now, id := float64(i)*intervalMs, fmt.Sprint("new", i)
		s.ListChanged(now, false, []Listed{{ID: id, Weight: 1}})
		s.Withdrawn(now+1, id)
		s.Returned(now+2, id)
		s.ListChanged(now+3, false, []Listed{{ID: id, State: Removed}})
		settleOne(t, s, now+10, fmt.Sprint(i))
	})
}

// Workers that leave the list while in slow start are remembered for one window, and no longer.
func TestSendLogsOfFormerWorkersAreForgotten(t *testing.T) {
	s := newTestScheduler(testTerms, 0)
	checkSteadyFootprint(t, s, func(i int) {
		now, id := 10000+float64(i)*100, fmt.Sprint("new", i)
		s.ListChanged(now, false, []Listed{{ID: id, Weight: 1, Start: now}})
		settleOne(t, s, now+10, fmt.Sprint(i))
		s.ListChanged(now+50, false, []Listed{{ID: id, State: Removed}})
	})
}

// Whatever happened before, nothing of it is kept once all txns are closed, their postings have ended, and the list is as at first.
func TestNothingIsKeptAfterRandomEvents(t *testing.T) {
	for seed := range int64(40) {
		r := rand.New(rand.NewSource(seed))
		terms := testTerms
		terms.Schedulers, terms.Messages, terms.Probes = 1+r.Intn(2)*39, true, true
		terms.RetryBudgetWindowMs, terms.RetryBudgetRatio, terms.RetryBudgetMin = 2000, 0.5, 10
		s := newTestScheduler(terms, 8)
		now := 0.0
		type openPosting struct {
			ref    string
			number int
		}
		var open []openPosting
		numbers := map[string]int{} // of postings so far, by txn
		end := func(i int, outcome Outcome) {
			p := open[i]
			open = append(open[:i], open[i+1:]...)
			s.Ended(now, p.ref, p.number, outcome, outcome == Done, NoLoad)
		}
		poll := func() {
			for decided := true; decided; {
				_, decided = s.NextFinal(now)
				if cancel, ok := s.NextCancel(now); ok {
					decided = true
					if i := slices.Index(open, openPosting{cancel.Ref, cancel.Posting}); i >= 0 {
						end(i, Cancelled)
					}
				}
				if p, ok := s.NextPosting(now); ok {
					decided = true
					open = append(open, openPosting{p.Ref, numbers[p.Ref]})
					numbers[p.Ref]++
				}
			}
			s.NextProbe(now)
			s.NextMessage(now)
			s.Wake(now)
		}
		refs := 0
		for range 3000 {
			now += r.Float64() * 40
			id := fmt.Sprint("w", r.Intn(12))
			switch r.Intn(12) {
			case 0, 1, 2, 3:
				refs++
				arrive(s, now, fmt.Sprint(refs), r.Intn(3), 10+r.Float64()*100)
			case 4:
				if len(open) > 0 {
					p := open[r.Intn(len(open))]
					s.Started(now, p.ref, p.number)
				}
			case 5, 6, 7:
				if len(open) > 0 {
					end(r.Intn(len(open)), []Outcome{Done, Done, Done, Failed, Full, TimedOut, NoConnect, Reset, NeverSent, InvalidRequest}[r.Intn(10)])
				}
			case 8:
				s.TxnClosed(now, fmt.Sprint(refs-r.Intn(10)))
			case 9:
				s.ListChanged(now, false, []Listed{{ID: id, Cell: r.Intn(3), Weight: 1, Start: now * float64(r.Intn(2)), State: State(r.Intn(3))}})
			case 10:
				s.Probed(now, id, []Outcome{Done, TimedOut, NoConnect}[r.Intn(3)], NoLoad)
			case 11:
				if s.Withdrawn(now, id); r.Intn(2) == 0 {
					s.Returned(now+1, id)
				}
			}
			poll()
		}
		for ref := range numbers {
			s.TxnClosed(now, ref)
		}
		for i := range refs + 1 {
			s.TxnClosed(now, fmt.Sprint(i))
		}
		poll()
		for len(open) > 0 {
			end(0, Reset)
		}
		now += 100000
		s.ListChanged(now, true, []Listed{{ID: "last", Weight: 1}})
		settleOne(t, s, now, "last")
		f := footprintOf(s)
		if f.txns > 0 || f.postings > 0 || len(s.workersByID) != 1 || len(s.formerSendLogs) > 0 || len(s.unstarted) > 0 {
			t.Errorf("seed %d: %+v, %d workers by id, %d former send logs, %d unstarted postings are kept", seed, f, len(s.workersByID),
				len(s.formerSendLogs), len(s.unstarted))
		}
	}
}
