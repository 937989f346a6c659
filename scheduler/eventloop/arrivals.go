package eventloop

import "time"

const (
	// Reads of bytes that wait on a connection are told apart down to this time: a client that sends a byte at a time must not
	// make the loop keep a record of each.
	arrivalResolution = 100 * time.Millisecond
	maxArrivals       = 256 // records on one connection; what is read beyond that counts as read with the last one
	arrivalBytes      = 32  // memory of a record
)

// arrival is the earliest time at which a section of a connection's bytes may have arrived. The section reaches from the end of
// the one before to its own end, counted in bytes from the first byte of the connection.
type arrival struct {
	end uint64
	at  time.Time
}

// arrivals records when the bytes of a connection arrived, from the one discarded last to the last one known.
type arrivals struct {
	read, discarded uint64    // bytes
	arrived         uint64    // bytes that are known to have arrived, read or not
	checkedAt       time.Time // no more than these had arrived by this time
	waiting         []arrival // of bytes that are not discarded, in order
	lastDiscarded   time.Time // of the byte discarded last; before that, of the connection
}

// heldBytes is the memory of the records.
func (a *arrivals) heldBytes() int { return cap(a.waiting) * arrivalBytes }

// noteRead records that n more bytes were read, which may have arrived at this time at the earliest.
func (a *arrivals) noteRead(n int, at time.Time) {
	if at.Before(a.checkedAt) {
		at = a.checkedAt
	}
	a.read += uint64(n)
	a.noteArrived(a.read, at)
}

// noteUnread records that by now n bytes wait in the kernel.
func (a *arrivals) noteUnread(n int, now time.Time) {
	a.noteArrived(a.read+uint64(n), a.checkedAt)
	a.checkedAt = now
}

// noteArrived records that the bytes up to end have arrived: those that were not known of at this time at the earliest.
func (a *arrivals) noteArrived(end uint64, at time.Time) {
	if end <= a.arrived {
		return
	}
	a.arrived = end
	if last := len(a.waiting) - 1; last >= 0 &&
		(len(a.waiting) >= maxArrivals || at.Sub(a.waiting[last].at) < arrivalResolution) {
		a.waiting[last].end = end
		return
	}
	a.waiting = append(a.waiting, arrival{end, at})
}

// noteDiscarded records that n bytes were discarded.
func (a *arrivals) noteDiscarded(n int) {
	if n <= 0 {
		return
	}
	a.discarded += uint64(n)
	for len(a.waiting) > 0 && a.waiting[0].end < a.discarded {
		a.waiting = a.waiting[1:]
	}
	if len(a.waiting) == 0 {
		return
	}
	a.lastDiscarded = a.waiting[0].at
	if a.waiting[0].end == a.discarded {
		a.waiting = a.waiting[1:]
	}
}
