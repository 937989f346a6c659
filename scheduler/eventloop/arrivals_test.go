package eventloop

import (
	"testing"
	"time"
)

// A byte's arrival is that of its own read, whatever was read before and after it and however it is discarded.
func TestArrivalIsThatOfTheByteDiscardedLast(t *testing.T) {
	begin := time.Now()
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	type step struct {
		read, discard int
		seconds       float64 // of a read its time; after a discard the expected arrival
	}
	for name, steps := range map[string][]step{
		"one read, one discard":            {{read: 10, seconds: 1}, {discard: 10, seconds: 1}, {read: 5, seconds: 3}, {discard: 5, seconds: 3}},
		"two messages in one read":         {{read: 10, seconds: 1}, {discard: 4, seconds: 1}, {discard: 6, seconds: 1}},
		"a later read while one waits":     {{read: 10, seconds: 1}, {discard: 4, seconds: 1}, {read: 7, seconds: 5}, {discard: 6, seconds: 1}, {discard: 7, seconds: 5}},
		"a message in pieces":              {{read: 3, seconds: 1}, {discard: 3, seconds: 1}, {read: 3, seconds: 2}, {read: 4, seconds: 4}, {discard: 7, seconds: 4}},
		"the last piece with the next one": {{read: 3, seconds: 1}, {read: 9, seconds: 2}, {discard: 6, seconds: 2}, {read: 1, seconds: 9}, {discard: 6, seconds: 2}, {discard: 1, seconds: 9}},
		"nothing discarded":                {{read: 3, seconds: 1}, {discard: 3, seconds: 1}, {read: 3, seconds: 2}, {discard: 0, seconds: 1}},
	} {
		var a arrivals
		for i, step := range steps {
			if step.read > 0 {
				a.noteRead(step.read, at(step.seconds))
				continue
			}
			if a.noteDiscarded(step.discard); !a.lastDiscarded.Equal(at(step.seconds)) {
				t.Errorf("%s, step %d: arrived after %v, want %g s", name, i, a.lastDiscarded.Sub(begin), step.seconds)
			}
		}
	}
}

// A client that sends a byte at a time while an earlier request is open takes a bounded number of records, and no byte counts as
// having come later than it did.
func TestArrivalsOfSingleBytesAreBounded(t *testing.T) {
	var a arrivals
	begin := time.Now()
	const bytes = 80 << 10
	sent := func(i int) time.Time { return begin.Add(time.Duration(i) * 30 * time.Millisecond) }
	for i := range bytes {
		if a.noteRead(1, sent(i)); len(a.waiting) > maxArrivals {
			t.Fatalf("%d records after %d bytes", len(a.waiting), i+1)
		}
	}
	for i := range bytes {
		a.noteDiscarded(1)
		late := a.lastDiscarded.Sub(sent(i))
		if late > 0 || late < -arrivalResolution && i < maxArrivals {
			t.Fatalf("byte %d counts as come %v after it did, want at most %v before", i, late, arrivalResolution)
		}
	}
	if len(a.waiting) != 0 {
		t.Errorf("%d records are left", len(a.waiting))
	}
}

// Bytes that arrive while reads are paused count from the check before the one that found them.
func TestArrivalDuringPause(t *testing.T) {
	begin := time.Now()
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	var a arrivals
	a.noteRead(10, at(0))
	a.checkedAt = at(1) // the pause begins
	a.noteUnread(0, at(2))
	a.noteUnread(5, at(3))
	a.noteUnread(5, at(4))
	a.noteUnread(8, at(5))
	a.noteRead(9, at(0)) // one byte came after the last check
	for _, want := range []struct{ discard, seconds int }{{10, 0}, {5, 2}, {3, 4}, {1, 5}} {
		if a.noteDiscarded(want.discard); !a.lastDiscarded.Equal(at(want.seconds)) {
			t.Errorf("%d bytes: arrived after %v, want %d s", want.discard, a.lastDiscarded.Sub(begin), want.seconds)
		}
	}
}
