package balance

// EachRunningWorker calls visit for each worker that the list shows as running, in the list's order, with its zone,
// whether it is in slow start (rule 4), and the number of this scheduler's postings in flight there. It serves callers
// that count the workers in service, or wait until nothing runs at a worker any more. No decisions are made here.
func (s *Scheduler) EachRunningWorker(now float64, visit func(id string, zone int, inSlowStart bool, ownPostings int)) {
	for _, w := range s.list {
		if w.asListed.State == Running {
			visit(w.ID, w.Zone, s.inSlowStart(now, w), len(w.inFlight))
		}
	}
}
