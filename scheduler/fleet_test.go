package scheduler

import (
	"encoding/json"
	"testing"

	"shalebeam/balance"
)

// A worker that is out of service, and that the list shows as draining or no longer has, was not reported as busy while postings
// still ran there: the fleet took it for drained, and restarted it.
func TestBusyWorkerIsReportedWhateverTheListSays(t *testing.T) {
	for name, change := range map[string]func(s *Scheduler){
		"listed as running":  func(*Scheduler) {},
		"listed as draining": func(s *Scheduler) { s.listOnly(balance.Listed{ID: "w1", State: balance.Draining}) },
		"removed from the list": func(s *Scheduler) {
			s.driver.module.ListChanged(s.now(), false, []balance.Listed{{ID: "w1", Zone: -1, State: balance.Removed}})
		},
		"left out of the whole list": func(s *Scheduler) { s.listOnly() },
		"moved to another zone":      func(s *Scheduler) { s.listOnly(balance.Listed{ID: "w1", Zone: 1}) },
	} {
		s, wc := newOnceOnlyPosting(t)
		s.node.decoded.Zones = []string{"z", "other"}
		s.ops.applyRecord("w1", record{Since: s.now(), Fleet: "zone/z"})
		change(s)
		if got := s.workerStatus(t, "z", "w1"); got != "busy" {
			t.Errorf("%s: reported as %q while a posting runs there, want busy", name, got)
		}
		wc.reportEnd(balance.Reset)
		if got := s.workerStatus(t, "z", "w1"); got == "busy" {
			t.Errorf("%s: reported as busy after the posting has ended", name)
		}
	}
}

// listOnly has the list name these workers alone.
func (s *Scheduler) listOnly(rows ...balance.Listed) {
	s.driver.module.ListChanged(s.now(), true, rows)
}

// workerStatus is what the fleet's status of a zone says of a worker.
func (s *Scheduler) workerStatus(t *testing.T, zone, id string) string {
	t.Helper()
	var status fleetStatus
	if err := json.Unmarshal([]byte(s.ops.fleetStatusJSON(zone)), &status); err != nil {
		t.Fatal(err)
	}
	return status.Workers[id]
}
