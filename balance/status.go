package balance

// EachRunningWorker calls visit for each worker that the list shows as running, in the list's order, with its zone and
// whether it is in slow start (rule 4). It serves callers that count the workers in service. No decisions are made here.
func (s *Scheduler) EachRunningWorker(now float64, visit func(id string, zone int, inSlowStart bool)) {
	for _, w := range s.list {
		if w.asListed.State == Running {
			visit(w.ID, w.Zone, s.inSlowStart(now, w))
		}
	}
}

// EachBusyWorker calls visit, in any order, for each worker where postings of this scheduler are in flight, whether or not the
// list has it, with the zone where it was when the first of them was made. It serves callers that wait until nothing runs at a
// worker any more.
func (s *Scheduler) EachBusyWorker(visit func(id string, zone int)) {
	for id, w := range s.workersByID {
		if len(w.inFlight) > 0 {
			visit(id, w.inFlight[0].place.Zone)
		}
	}
}
