package balance

import (
	"fmt"
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
