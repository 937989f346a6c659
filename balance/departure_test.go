package balance

import (
	"fmt"
	"testing"
)

// What a worker in slow start was sent within the window was forgotten when the list left it out for a moment, so that it got
// the whole quota again.
func TestSlowStartQuotaCountsWhatWasSentBeforeWorkerLeftTheList(t *testing.T) {
	const startAt, hintMs = 100000.0, 20.0
	row := Listed{ID: "cold", Weight: 1, Start: startAt}
	for name, leave := range map[string]func(s *Scheduler, now float64){
		"left out of a whole list": func(s *Scheduler, now float64) { s.ListChanged(now, true, nil) },
		"removed by a change":      func(s *Scheduler, now float64) { s.ListChanged(now, false, []Listed{{ID: "cold", State: Removed}}) },
	} {
		for _, endFirst := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", its postings ended before: ", endFirst), func(t *testing.T) {
				s := newTestScheduler(testTerms, 0)
				s.ListChanged(startAt, false, []Listed{row})
				sent := 0
				send := func(now float64) (refs []string) {
					for range 200 {
						ref := fmt.Sprint(sent)
						arrive(s, now, ref, 0, hintMs)
						if _, ok := s.NextPosting(now); !ok {
							s.TxnClosed(now, ref)
							return refs
						}
						s.Started(now, ref, 0)
						sent++
						if refs = append(refs, ref); endFirst {
							s.Ended(now+1, ref, 0, Done, true, NoLoad)
						}
					}
					return refs
				}
				now := startAt + 10
				refs := send(now)
				if len(refs) == 0 || len(refs) == 200 {
					t.Fatalf("%d txns were sent before, want what the quota allows", len(refs))
				}
				leave(s, now+20)
				if !endFirst {
					for _, ref := range refs {
						s.Ended(now+30, ref, 0, Done, true, NoLoad)
					}
				}
				s.ListChanged(now+40, false, []Listed{row})
				if again := send(now + 50); len(again) > 0 {
					t.Errorf("%d txns were sent within the window before the worker left the list, and %d after", len(refs), len(again))
				}
				if more := send(now + 60 + testTerms.SlowStartWindowMs); len(more) == 0 {
					t.Error("after the window nothing may be sent")
				}
			})
		}
	}
}

// The postings of a peer that died while a worker was out of the list were counted there for ever once it was back, as only
// listed workers forget a silent peer.
func TestWorkerBackInTheListHasNoPostingsOfDeadPeers(t *testing.T) {
	terms := testTerms
	terms.Schedulers, terms.Messages = 2, true
	s, peer := newTestScheduler(terms, 1), newTestScheduler(terms, 1)
	for _, scheduler := range []*Scheduler{s, peer} {
		arrive(scheduler, 1000, "x", 0, 100)
		mustPost(t, scheduler, 1000)
		scheduler.Started(1001, "x", 0)
	}
	body, ok := peer.NextMessage(2000)
	if !ok {
		t.Fatal("the peer has no message")
	}
	s.MessageReceived(2001, 1, body)
	w := s.workersByID["w0"]
	if w.knownInFlight() != 2 {
		t.Fatalf("%d postings are known, want 2", w.knownInFlight())
	}
	s.ListChanged(3000, true, nil)
	s.dropSilentPeers(4000 + 30*s.messageGapMs()) // the peer is gone
	s.ListChanged(90000, true, []Listed{{ID: "w0", Weight: 1}})
	if w = s.workersByID["w0"]; w.knownInFlight() != 1 {
		t.Errorf("%d postings are known, want this scheduler's own one", w.knownInFlight())
	}
}
