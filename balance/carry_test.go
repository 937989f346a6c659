package balance

import "testing"

// A txn that passes to another process keeps the rules it came under, and what was posted for it still
// counts.
func TestCarry(t *testing.T) {
	pass := func(scheme int, outcome Outcome, end bool) (*Scheduler, Carried) {
		a := started(plainTerms, 6)
		arrive(a, 100, "x", scheme, 100)
		mustPost(t, a, 100)
		if a.Started(110, "x", 0); end {
			a.Ended(120, "x", 0, outcome, false, NoLoad)
		}
		c, ok := a.Open("x")
		if !ok {
			t.Fatal("it is open")
		}
		terms := plainTerms // the other process is told of another effect and of fewer postings
		terms.Schemes, terms.MaxPosts = []SchemeRow{{SLA: 1, Expiry: 1}}, 1
		b := started(terms, 6)
		b.Carry(c)
		return b, c
	}
	// Out and begun: its end settles it, and meanwhile its worker is taken to hold it.
	b, c := pass(1, 0, false)
	if w := b.workersByID[c.Posts[0].Worker]; len(w.inFlight) != 1 || w.unstarted != 0 || b.txns["x"].inFlight != 1 {
		t.Error("its posting is not known as running")
	}
	b.Ended(200, "x", 0, Done, true, NoLoad)
	if len(b.txns) != 0 {
		t.Error("settled, it is still open")
	}
	// Out, once-only, and lost: it may have run.
	b, _ = pass(1, 0, false)
	b.Ended(200, "x", 0, Reset, false, NoLoad)
	if f, ok := b.NextFinal(200); !ok || f.Declined {
		t.Errorf("a once-only txn that may have run: %+v %v", f, ok)
	}
	// Held after a posting that may have run: it goes again within its group and window alone.
	b, c = pass(2, Erred, true)
	again := mustPost(t, b, 200)
	if b.workersByID[again.Worker].Cell != b.workersByID[c.Posts[0].Worker].Cell || again.By != 100+5000 {
		t.Errorf("it went again to %+v after %s", again, c.Posts[0].Worker)
	}
	// Not begun: it is known to wait.
	a := started(plainTerms, 2)
	arrive(a, 100, "y", 0, 100)
	mustPost(t, a, 100)
	c, _ = a.Open("y")
	b = started(plainTerms, 0) // nor does the other process's list have the worker
	b.Carry(c)
	if len(b.unstarted) != 1 || b.workersByID[c.Posts[0].Worker].unstarted != 1 {
		t.Error("its posting is not known to wait")
	}
	b.Started(130, "y", 0)
	b.Ended(140, "y", 0, Done, true, NoLoad)
	if len(b.unstarted) != 0 || len(b.txns) != 0 || len(b.workersByID) != 0 {
		t.Error("something of it is left")
	}
	if _, ok := a.Open("none"); ok {
		t.Error("one that is not there was given")
	}
}
