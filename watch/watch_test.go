package watch

import "testing"

// Each row plays what happens to a watch whose last answer came at 10 s, and tells how it stands and until when the
// list counts.
func TestUntilWhenTheListCounts(t *testing.T) {
	const askIn = 10000.0
	for name, row := range map[string]struct {
		play func(w *Watch)
		is   State
		till float64
	}{
		"answered":                     {func(w *Watch) {}, On, 16000},
		"overdue":                      {func(w *Watch) { w.Passed(12250) }, Doubted, 16000},
		"answered late":                {func(w *Watch) { w.Passed(12250); w.Answered(12400, 5, true) }, On, 18400},
		"silent, and called in vain":   {func(w *Watch) { w.Passed(12250); w.Wanted(13000); w.Failed(13001, Refused) }, None, 16000},
		"silent, and called at last":   {func(w *Watch) { w.Passed(12250); w.Wanted(13000); w.Answered(13100, 6, true) }, On, 19100},
		"reset":                        {func(w *Watch) { w.Failed(11000, Broken) }, None, 16000},
		"told that it ends":            {func(w *Watch) { w.Failed(11000, TurnedAway) }, None, 17000},
		"reset as discovery went down": {func(w *Watch) { w.Failed(11000, Broken); w.Wanted(12000); w.Failed(12001, Refused) }, None, 18000},
		"reset, then turned away late": {func(w *Watch) { w.Failed(11000, Broken); w.Wanted(12000); w.Failed(14000, TurnedAway) }, None, 16000},
		"reset, then no connection":    {func(w *Watch) { w.Failed(11000, Broken); w.Wanted(12000); w.Failed(12250, Broken) }, None, 16000},
		"reset, then no answer":        {func(w *Watch) { w.Failed(11000, Broken); w.Wanted(12000); w.Sent(12001); w.Passed(14501) }, None, 16000},
		"reset, then turned away":      {func(w *Watch) { w.Failed(11000, Broken); w.Wanted(12000); w.Failed(12001, TurnedAway) }, None, 16000},
		"told that it ends, and turned away": {func(w *Watch) {
			w.Failed(11000, TurnedAway)
			w.away(12000, 1)
			w.away(15000, 1)
		}, None, 21000},
		"turned away otherwise than before": {func(w *Watch) {
			w.Failed(11000, TurnedAway)
			w.away(12000, 2000)
			w.away(16000, 1)
		}, None, 18000},
		"back, with too many callers, after nobody listened": {func(w *Watch) {
			w.Failed(11000, Broken)
			w.Wanted(12000)
			w.Failed(12001, Refused)
			w.away(15000, 1)
			w.away(17000, 1)
		}, None, 18000},
		"reset, and turned away on end": {func(w *Watch) {
			w.Failed(11000, Broken)
			for at := 12000.0; at <= 21000; at += 3000 {
				w.away(at, 2000)
			}
		}, None, 27000},
		"silent, and turned away on end": {func(w *Watch) {
			w.Passed(12250)
			for at := 13000.0; at <= 25000; at += 3000 {
				w.away(at, 2000)
			}
		}, None, 16000},
		"moved":                         {func(w *Watch) { w.Went(11000) }, Moved, 15000},
		"moved, and heard at the old":   {func(w *Watch) { w.Went(11000); w.Answered(11100, 6, true) }, Moved, 15000},
		"moved, and answered":           {func(w *Watch) { w.Went(11000); w.Wanted(12000); w.Answered(12100, 1, true) }, On, 18100},
		"moved, and called in vain":     {func(w *Watch) { w.Went(11000); w.Wanted(12000); w.Failed(12001, TurnedAway) }, None, 15000},
		"silent, then moved":            {func(w *Watch) { w.Passed(12250); w.Went(13000) }, Moved, 16000},
		"moved, with a silent old one":  {func(w *Watch) { w.Went(11000); w.Passed(12250); w.Wanted(12300) }, First, 15000},
		"an answer that came too soon":  {func(w *Watch) { w.Answered(10100, 5, true); w.Passed(10199) }, On, 16100},
		"wanted, where it is on anyway": {func(w *Watch) { w.Wanted(11000) }, On, 16000},
	} {
		w := New(0, askIn, 200)
		w.Began(4)
		w.Wanted(9000)
		w.Sent(9001)
		w.Answered(10000, 5, true)
		if c, ok := w.NextCall(); !ok || c != (Call{5, waitMost}) {
			t.Fatal("goes on with", c, ok)
		}
		w.Sent(10000)
		row.play(w)
		if w.State() != row.is || w.Till() != row.till {
			t.Errorf("%s: %s until %v, want %s until %v", name, w.State(), w.Till(), row.is, row.till)
		}
	}
}

// away has a watch begun that is turned away after so long.
func (w *Watch) away(at, after float64) {
	w.Wanted(at)
	w.Sent(at)
	w.Failed(at+after, TurnedAway)
}

// The list that a process begins with is as old as the one before it: what came meanwhile may count as told. It counts once
// discovery has answered, or is known to be down, when nothing more can be known. (It counted for the time for asking, and a
// zone's schedulers that came back after 18 s posted to workers that had gone 16 s before.)
func TestTheListOfANewProcess(t *testing.T) {
	for name, row := range map[string]struct {
		play func(w *Watch)
		till float64
	}{
		"not called yet":       {func(w *Watch) {}, 0},
		"called":               {func(w *Watch) { w.Wanted(1); w.Sent(1) }, 0},
		"answered":             {func(w *Watch) { w.Wanted(1); w.Sent(1); w.Answered(100, 5, true) }, 6100},
		"the first call fails": {func(w *Watch) { w.Wanted(1); w.Failed(2, Broken) }, 0},
		"never answered":       {func(w *Watch) { w.Wanted(1); w.Sent(1); w.Passed(2501) }, 0},
		"turned away":          {func(w *Watch) { w.away(1, 2000) }, 0},
		"nobody listens":       {func(w *Watch) { w.Wanted(1); w.Failed(2, Refused) }, 6001},
		"turned away for 5 s":  {func(w *Watch) { w.away(1, 2000); w.away(3000, 2000) }, 0},
		"turned away for over 8 s": {func(w *Watch) {
			w.away(1, 2000)
			w.away(3000, 2000)
			w.away(7000, 2000)
		}, 13000},
		"turned away now so, now so": {func(w *Watch) {
			w.away(1, 2000)
			w.away(3000, 1)
			w.away(7000, 2000)
		}, 0},
	} {
		w := New(0, 10000, 200)
		w.Began(4)
		if row.play(w); w.Till() != row.till {
			t.Errorf("%s: until %v, want %v", name, w.Till(), row.till)
		}
	}
}

// What is written on a connection that was given up for another counts as told, and is read; that of a former address
// only until the new one has answered.
func TestWhatComesBesidesIsRead(t *testing.T) {
	for _, moved := range []bool{false, true} {
		w := New(0, 10000, 200)
		w.Wanted(0)
		w.Answered(10, 5, true)
		w.Sent(10)
		if moved {
			w.Went(3000)
		} else {
			w.Passed(3000)
		}
		w.Wanted(3100)
		if !w.NextAside() || w.NextHangUp() || !w.Besides() {
			t.Fatal("the connection is not kept")
		}
		w.Sent(3101)
		if w.Answered(3200, 7, true); w.Besides() == moved {
			t.Errorf("moved %t: still wanted: %t", moved, w.Besides())
		}
		if !moved && (w.Overhears(3300, 6) || w.Besides()) {
			t.Error("an older list was taken")
		}
	}
}

// A discovery that is slow is not called anew each time: how late its answers are is borne with.
func TestSlowAnswersAreBorneWith(t *testing.T) {
	w, doubts, now := New(0, 10000, 200), 0, 0.0
	w.Wanted(0)
	w.Sent(0)
	for range 10 {
		w.Answered(now, 5, true)
		w.Sent(now)
		due := now + waitMost + 400
		if w.Wake() < due {
			w.Passed(w.Wake())
			doubts++
		}
		now = due
	}
	if doubts != 1 {
		t.Errorf("doubted %d times", doubts)
	}
}
