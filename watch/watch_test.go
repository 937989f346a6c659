package watch

import "testing"

// Each row gives events on a watch whose last answer came at 10 s, and the state and the time until which the list may
// be relied on that have to follow, in milliseconds.
func TestListIsReliableUntil(t *testing.T) {
	const mustAskInMs = 10000.0
	for name, row := range map[string]struct {
		events        func(w *Watch)
		state         State
		reliableUntil float64
	}{
		"answered":                      {func(w *Watch) {}, Watching, 16000},
		"overdue":                       {func(w *Watch) { w.Advance(12250) }, Overdue, 16000},
		"answered late":                 {func(w *Watch) { w.Advance(12250); w.Answered(12400, 5, true) }, Watching, 18400},
		"silent, next call refused":     {func(w *Watch) { w.Advance(12250); w.Begin(13000); w.Failed(13001, ConnectionRefused) }, Idle, 16000},
		"silent, next call answered":    {func(w *Watch) { w.Advance(12250); w.Begin(13000); w.Answered(13100, 6, true) }, Watching, 19100},
		"reset":                         {func(w *Watch) { w.Failed(11000, ConnectionFailed) }, Idle, 16000},
		"ended by discovery":            {func(w *Watch) { w.Failed(11000, Rejected) }, Idle, 17000},
		"reset, then refused":           {func(w *Watch) { w.Failed(11000, ConnectionFailed); w.Begin(12000); w.Failed(12001, ConnectionRefused) }, Idle, 18000},
		"reset, then rejected late":     {func(w *Watch) { w.Failed(11000, ConnectionFailed); w.Begin(12000); w.Failed(14000, Rejected) }, Idle, 16000},
		"reset, then connection failed": {func(w *Watch) { w.Failed(11000, ConnectionFailed); w.Begin(12000); w.Failed(12250, ConnectionFailed) }, Idle, 16000},
		"reset, then no answer":         {func(w *Watch) { w.Failed(11000, ConnectionFailed); w.Begin(12000); w.CallSent(12001); w.Advance(14501) }, Idle, 16000},
		"reset, then rejected":          {func(w *Watch) { w.Failed(11000, ConnectionFailed); w.Begin(12000); w.Failed(12001, Rejected) }, Idle, 16000},
		"ended by discovery, then rejected": {func(w *Watch) {
			w.Failed(11000, Rejected)
			w.reject(12000, 1)
			w.reject(15000, 1)
		}, Idle, 21000},
		"rejected in another way than before": {func(w *Watch) {
			w.Failed(11000, Rejected)
			w.reject(12000, 2000)
			w.reject(16000, 1)
		}, Idle, 18000},
		"refused, then up again but overloaded": {func(w *Watch) {
			w.Failed(11000, ConnectionFailed)
			w.Begin(12000)
			w.Failed(12001, ConnectionRefused)
			w.reject(15000, 1)
			w.reject(17000, 1)
		}, Idle, 18000},
		"reset, then rejected all the time": {func(w *Watch) {
			w.Failed(11000, ConnectionFailed)
			for at := 12000.0; at <= 21000; at += 3000 {
				w.reject(at, 2000)
			}
		}, Idle, 27000},
		"silent, then rejected all the time": {func(w *Watch) {
			w.Advance(12250)
			for at := 13000.0; at <= 25000; at += 3000 {
				w.reject(at, 2000)
			}
		}, Idle, 16000},
		"moved": {func(w *Watch) { w.DiscoveryMoved(11000) }, AddressChanged, 15000},
		"moved, then answered at the former address": {func(w *Watch) { w.DiscoveryMoved(11000); w.Answered(11100, 6, true) }, AddressChanged, 15000},
		"moved, then answered":                       {func(w *Watch) { w.DiscoveryMoved(11000); w.Begin(12000); w.Answered(12100, 1, true) }, Watching, 18100},
		"moved, then rejected":                       {func(w *Watch) { w.DiscoveryMoved(11000); w.Begin(12000); w.Failed(12001, Rejected) }, Idle, 15000},
		"silent, then moved":                         {func(w *Watch) { w.Advance(12250); w.DiscoveryMoved(13000) }, AddressChanged, 16000},
		"moved, former address silent":               {func(w *Watch) { w.DiscoveryMoved(11000); w.Advance(12250); w.Begin(12300) }, Initial, 15000},
		"answered too early":                         {func(w *Watch) { w.Answered(10100, 5, true); w.Advance(10199) }, Watching, 16100},
		"wanted while in progress":                   {func(w *Watch) { w.Begin(11000) }, Watching, 16000},
	} {
		w := New(0, mustAskInMs, 200)
		w.SetVersion(4)
		w.Begin(9000)
		w.CallSent(9001)
		w.Answered(10000, 5, true)
		if c, ok := w.NextCall(); !ok || c != (Call{5, maxWaitMs}) {
			t.Fatalf("after an answer the next call is %+v, %t", c, ok)
		}
		w.CallSent(10000)
		row.events(w)
		if w.State() != row.state || w.ReliableUntil() != row.reliableUntil {
			t.Errorf("%s: state %s, reliable until %v ms, want state %s, reliable until %v ms", name, w.State(), w.ReliableUntil(), row.state,
				row.reliableUntil)
		}
	}
}

// reject begins a watch whose first call discovery rejects after that many milliseconds.
func (w *Watch) reject(at, after float64) {
	w.Begin(at)
	w.CallSent(at)
	w.Failed(at+after, Rejected)
}

// The list that a new process begins with is as old as the process before it, and the scheduler may count as informed
// of changes since. It may be relied on once discovery has answered, or is known to be down, when there is no news to
// get. When it was relied on for the time within which discovery has to be asked again, a zone's schedulers that
// restarted after 18 s posted to workers that had gone 16 s before.
func TestListOfANewProcess(t *testing.T) {
	for name, row := range map[string]struct {
		events        func(w *Watch)
		reliableUntil float64
	}{
		"not called yet":    {func(w *Watch) {}, 0},
		"called":            {func(w *Watch) { w.Begin(1); w.CallSent(1) }, 0},
		"answered":          {func(w *Watch) { w.Begin(1); w.CallSent(1); w.Answered(100, 5, true) }, 6100},
		"first call failed": {func(w *Watch) { w.Begin(1); w.Failed(2, ConnectionFailed) }, 0},
		"not answered":      {func(w *Watch) { w.Begin(1); w.CallSent(1); w.Advance(2501) }, 0},
		"rejected":          {func(w *Watch) { w.reject(1, 2000) }, 0},
		"refused":           {func(w *Watch) { w.Begin(1); w.Failed(2, ConnectionRefused) }, 6001},
		"rejected for 5 s":  {func(w *Watch) { w.reject(1, 2000); w.reject(3000, 2000) }, 0},
		"rejected for over 8 s": {func(w *Watch) {
			w.reject(1, 2000)
			w.reject(3000, 2000)
			w.reject(7000, 2000)
		}, 13000},
		"rejected in alternating ways": {func(w *Watch) {
			w.reject(1, 2000)
			w.reject(3000, 1)
			w.reject(7000, 2000)
		}, 0},
	} {
		w := New(0, 10000, 200)
		w.SetVersion(4)
		if row.events(w); w.ReliableUntil() != row.reliableUntil {
			t.Errorf("%s: reliable until %v ms, want %v ms", name, w.ReliableUntil(), row.reliableUntil)
		}
	}
}

// A connection that was replaced by another is still read, as the scheduler counts as informed of what discovery writes
// there. A connection to a former address is read only until discovery has answered at the new one.
func TestConnectionSetAsideIsRead(t *testing.T) {
	for _, moved := range []bool{false, true} {
		w := New(0, 10000, 200)
		w.Begin(0)
		w.Answered(10, 5, true)
		w.CallSent(10)
		if moved {
			w.DiscoveryMoved(3000)
		} else {
			w.Advance(3000)
		}
		w.Begin(3100)
		if !w.NextSetAside() || w.NextClose() || !w.KeepsAside() {
			t.Fatal("the connection is not set aside")
		}
		w.CallSent(3101)
		if w.Answered(3200, 7, true); w.KeepsAside() == moved {
			t.Errorf("moved %t: the connection set aside is still read: %t", moved, w.KeepsAside())
		}
		if !moved && (w.AcceptsLateAnswer(3300, 6) || w.KeepsAside()) {
			t.Error("an older list was accepted, or its connection is still read")
		}
	}
}

// A slow discovery is not called anew for each late answer: the grace grows with the lateness of its answers.
func TestGraceGrowsWithLateness(t *testing.T) {
	w, overdue, now := New(0, 10000, 200), 0, 0.0
	w.Begin(0)
	w.CallSent(0)
	for range 10 {
		w.Answered(now, 5, true)
		w.CallSent(now)
		answeredAt := now + maxWaitMs + 400
		if w.NextWake() < answeredAt {
			w.Advance(w.NextWake())
			overdue++
		}
		now = answeredAt
	}
	if overdue != 1 {
		t.Errorf("an answer was overdue %d times, want once", overdue)
	}
}
