package balance

// Shown tells of each worker that the list has running, in its order, how it stands: its zone, whether it is still cold by
// rule 4's reckoning, and how many own postings are out there. It is for those who count what is in service, and for who
// waits till nothing runs there any more; nothing is decided here.
func (s *Scheduler) Shown(now float64, tell func(id string, zone int, cold bool, own int)) {
	for _, w := range s.list {
		if w.row.State == Running {
			tell(w.ID, w.Zone, s.cold(now, w), len(w.own))
		}
	}
}
