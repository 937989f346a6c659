package balance

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// groupTerms returns terms with one referenced scheme, of a group.
func groupTerms(group DedupGroup) Terms {
	terms := testTerms
	terms.Schemes = []SchemeRow{{Name: "mark", Effect: Referenced, Group: group, Window: 40000, SLA: 3000, Expiry: 25000, Gain: 1,
		LateGain: 0.2}}
	return terms
}

// failAtSouth hands in a txn and lets its first posting, which goes to the worker "south" in zone 1 and cell 1, end so that it may
// have run.
func failAtSouth(t *testing.T, s *Scheduler, now float64) {
	t.Helper()
	s.ListChanged(now, true, []Listed{{ID: "south", Zone: 1, Cell: 1, Weight: 1}})
	s.Arrived(now, Txn{Ref: "x", Hint: 100, Slots: 1, TimeLeftMs: 25000})
	mustPost(t, s, now)
	s.Started(now+1, "x", 0)
	s.Ended(now+2, "x", 0, Reset, false, NoLoad)
}

// northAndWest are workers outside of the group of "south": in other zones and cells, or with neither known.
var northAndWest = []Listed{{ID: "north", Zone: 0, Cell: 0, Weight: 1}, {ID: "west", Zone: 2, Cell: 2, Weight: 1},
	{ID: "nowhere", Zone: -1, Cell: -1, Weight: 1}}

// withoutPlaces returns the JSON form of a state as a build wrote it that knows no places of postings.
func withoutPlaces(t *testing.T, raw []byte) []byte {
	t.Helper()
	var state map[string]any
	if err := json.Unmarshal(raw, &state); err != nil {
		t.Fatal(err)
	}
	for _, posting := range state["Posts"].([]any) {
		delete(posting.(map[string]any), "Place")
	}
	raw, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// handOverJSON passes the txn "x" to another scheduler in its JSON form, changed by edit.
func handOverJSON(t *testing.T, from, to *Scheduler, edit func([]byte) []byte) {
	t.Helper()
	state, ok := from.ExportTxn("x")
	if !ok {
		t.Fatal("the txn is not open")
	}
	raw, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	var received TxnState
	if err := json.Unmarshal(edit(raw), &received); err != nil {
		t.Fatal(err)
	}
	to.ImportTxn(received)
}

// After an upgrade a referenced txn that may have run was posted outside of its group, where the new process's list did not have
// the worker where it may have run.
func TestHandedOverTxnStaysInGroupOfWorkerThatLeftTheList(t *testing.T) {
	unchanged := func(raw []byte) []byte { return raw }
	old := func(raw []byte) []byte { return withoutPlaces(t, raw) }
	for _, group := range []DedupGroup{GroupZone, GroupCell} {
		for name, edits := range map[string][]func([]byte) []byte{"from this build": {unchanged}, "from an older build": {old},
			"from this build through another process":     {unchanged, unchanged},
			"from an older build through another process": {old, unchanged}} {
			t.Run(fmt.Sprint("group ", group, " ", name), func(t *testing.T) {
				s := New(groupTerms(group))
				failAtSouth(t, s, 1000)
				for _, edit := range edits {
					next := New(groupTerms(group))
					next.ListChanged(1100, true, northAndWest)
					handOverJSON(t, s, next, edit)
					s = next
				}
				if p, ok := s.NextPosting(1200); ok {
					t.Fatalf("it may have run in zone 1 and cell 1, and was posted to %s", p.Worker)
				}
				s.ListChanged(1300, false, []Listed{{ID: "south2", Zone: 1, Cell: 1, Weight: 1}})
				known := name != "from an older build" && name != "from an older build through another process"
				if p, ok := s.NextPosting(1400); ok != known || ok && p.Worker != "south2" {
					t.Errorf("with a worker of its group: posting %+v %v, want %v", p, ok, known)
				}
			})
		}
	}
}

// Where the list has the worker, the state of an older build is enough to repeat a txn in its group, and nowhere else.
func TestHandedOverTxnOfOlderBuildIsRepeatedInGroupOfListedWorker(t *testing.T) {
	for _, group := range []DedupGroup{GroupZone, GroupCell} {
		s, next := New(groupTerms(group)), New(groupTerms(group))
		failAtSouth(t, s, 1000)
		next.ListChanged(1100, true, append([]Listed{{ID: "south", Zone: 1, Cell: 1, State: Draining, Weight: 1}}, northAndWest...))
		handOverJSON(t, s, next, func(raw []byte) []byte { return withoutPlaces(t, raw) })
		if p, ok := next.NextPosting(1200); ok {
			t.Fatalf("group %d: posted to %s", group, p.Worker)
		}
		next.ListChanged(1300, false, []Listed{{ID: "south2", Zone: 1, Cell: 1, Weight: 1}})
		if p, ok := next.NextPosting(1400); !ok || p.Worker != "south2" {
			t.Errorf("group %d: with a worker of its group: posting %+v %v", group, p, ok)
		}
	}
}

// News of the worker where a referenced txn may have run changed the group in which the txn was repeated: the worker moved, or
// its row no longer said where it was.
func TestNewsOfWorkerDoesNotChangeGroupOfEarlierPosting(t *testing.T) {
	for _, group := range []DedupGroup{GroupZone, GroupCell} {
		for name, row := range map[string]Listed{
			"moved":                        {ID: "south", Zone: 0, Cell: 0, State: Draining, Weight: 1},
			"restarted elsewhere":          {ID: "south", Zone: 0, Cell: 0, State: Draining, Weight: 1, Start: 1040},
			"removed, without its place":   {ID: "south", State: Removed},
			"malformed, without its place": {ID: "south", Zone: -1, State: Draining},
		} {
			t.Run(fmt.Sprint("group ", group, " ", name), func(t *testing.T) {
				s := New(groupTerms(group))
				failAtSouth(t, s, 1000)
				s.ListChanged(1050, false, append([]Listed{row}, northAndWest...))
				if p, ok := s.NextPosting(1200); ok {
					t.Fatalf("it may have run in zone 1 and cell 1, and was posted to %s", p.Worker)
				}
				s.ListChanged(1300, false, []Listed{{ID: "south2", Zone: 1, Cell: 1, Weight: 1}})
				if p, ok := s.NextPosting(1400); !ok || p.Worker != "south2" {
					t.Errorf("with a worker of its group: posting %+v %v", p, ok)
				}
			})
		}
	}
}

// A handed-over txn's zones and kinds are numbers of the settings of the process it comes from. Where the new process has other
// numbers, it keeps to the workers of the same names.
func TestHandedOverTxnIsRenumbered(t *testing.T) {
	place := func(zone int) *Place { return &Place{Zone: zone, Cell: 4} }
	for name, test := range map[string]struct {
		given, want TxnState
	}{
		"in another order": {
			TxnState{Scheme: SchemeRow{Zones: 1 | 1<<2, Kinds: 1 << 1}, MaxPostings: 6, Postings: []PostingState{{Place: place(0)}, {}}},
			TxnState{Scheme: SchemeRow{Zones: 1<<2 | 1<<1, Kinds: 1}, MaxPostings: 6, Postings: []PostingState{{Place: place(2)}, {}}}},
		"not bound": {TxnState{MaxPostings: 6}, TxnState{MaxPostings: 6}},
		"one zone is gone": {
			TxnState{Scheme: SchemeRow{Zones: 1 | 1<<3}, MaxPostings: 6, Postings: []PostingState{{Place: place(3)}}},
			TxnState{Scheme: SchemeRow{Zones: 1 << 2}, MaxPostings: 6, Postings: []PostingState{{Place: place(UnknownPlace)}}}},
		"its only zone is gone": {TxnState{Scheme: SchemeRow{Zones: 1 << 3}, MaxPostings: 6}, TxnState{}},
		"its only kind is gone": {TxnState{Scheme: SchemeRow{Kinds: 1 << 2}, MaxPostings: 6}, TxnState{}},
		"a number without a name": {
			TxnState{MaxPostings: 6, Postings: []PostingState{{Place: place(7)}}},
			TxnState{MaxPostings: 6, Postings: []PostingState{{Place: place(UnknownPlace)}}}},
	} {
		if test.given.Renumber([]int{2, 0, 1, UnknownPlace}, []int{1, 0, UnknownPlace}); !reflect.DeepEqual(test.given, test.want) {
			t.Errorf("%s: %+v, want %+v", name, test.given, test.want)
		}
	}
}

// Kinds may have numbers without names: a txn bound to one was given up where only the zones of the new process are others.
func TestNumbersOfUnchangedListsAreKept(t *testing.T) {
	state := TxnState{Scheme: SchemeRow{Zones: 1, Kinds: 1 << 3}, MaxPostings: 6, Postings: []PostingState{{Place: &Place{Zone: 0}}}}
	want := TxnState{Scheme: SchemeRow{Zones: 1 << 1, Kinds: 1 << 3}, MaxPostings: 6, Postings: []PostingState{{Place: &Place{Zone: 1}}}}
	if state.Renumber([]int{1, 0}, nil); !reflect.DeepEqual(state, want) {
		t.Errorf("%+v, want %+v", state, want)
	}
}

// A txn whose scheme is bound to a zone that the new process's settings don't have is posted nowhere, and is given up.
func TestHandedOverTxnOfUnknownZoneIsGivenUp(t *testing.T) {
	s := newTestScheduler(testTerms, 4)
	state := TxnState{Txn: Txn{Ref: "x", Hint: 100, Slots: 1}, Scheme: SchemeRow{SLA: 1000, Expiry: 20000, Gain: 1, Zones: 1 << 1},
		MaxPostings: 6, ArrivedAt: 100, SLAAt: 1100, ExpiresAt: 20100}
	state.Renumber([]int{0, UnknownPlace}, nil)
	s.ImportTxn(state)
	if p, ok := s.NextPosting(200); ok {
		t.Errorf("posted to %s", p.Worker)
	}
	if f, ok := s.NextFinal(200); !ok || !f.Declined {
		t.Errorf("final answer %+v %v, want a decline: it never ran", f, ok)
	}
}
