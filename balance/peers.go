package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// Messages between schedulers: what is told to peers, and what is known from theirs. No decisions are made here.

// messageEntryBytes is the size of one entry of a message.
const messageEntryBytes = 3

// IsMessage tells whether body can be a message to peers: whole entries, and nothing else.
func IsMessage(body []byte) bool { return len(body)%messageEntryBytes == 0 }

// MessageReceived takes a peer's message. It is a sequence of 3-byte entries, each of the low 16 bits of the worker's hash
// and one byte: the peer's postings in flight there or, with many schedulers, the index of a scheme that failed
// there, with settledFlag set if it has settled there again.
func (s *Scheduler) MessageReceived(now float64, from int, body []byte) {
	if s.manySchedulers() {
		for ; len(body) >= 3; body = body[3:] {
			schemeIndex := int(body[2] &^ settledFlag)
			for _, w := range s.list {
				if uint16(w.idHash) != binary.BigEndian.Uint16(body) || schemeIndex >= len(s.terms.Schemes) {
					continue
				}
				scheme := s.terms.Schemes[schemeIndex].Name
				if body[2]&settledFlag == 0 {
					s.recordSchemeFailure(now, w, scheme, false, false)
				} else {
					delete(w.failuresByScheme, scheme)
				}
				// No more need be sent about a failure that two peers have reported, or a recovery that one has.
				s.pendingReports = slices.DeleteFunc(s.pendingReports, func(n schemeReport) bool {
					return n.worker == w && n.scheme == scheme &&
						(w.failuresByScheme[scheme].count > 2 || body[2]&settledFlag != 0)
				})
			}
		}
		return
	}
	counts, partial := map[uint16]int{}, len(body) >= maxMessageBytes
	var first, last uint16
	for ; len(body) >= 3; body = body[3:] {
		if last = binary.BigEndian.Uint16(body); len(counts) == 0 {
			first = last
		}
		counts[last] = int(body[2])
	}
	for _, w := range s.list {
		if partial && uint16(w.idHash)-first > last-first {
			continue // the message does not cover this worker
		}
		if n := counts[uint16(w.idHash)]; n != w.peerInFlight[from] {
			if w.peerInFlight == nil {
				w.peerInFlight = map[int]int{}
			}
			w.peerInFlightSum += n - w.peerInFlight[from]
			w.peerInFlight[from] = n
			s.markDirty(w)
		}
	}
	s.peerHeardAt[from] = now
}

// inFlightMessage returns a message with this scheduler's postings in flight by worker, in the order of the
// workers' hashes. If more workers are busy than it can hold, it covers the section of the hash ring from its
// first entry to its last, and the next message continues from there: otherwise peers never learned of the
// workers at the end of the list.
func (s *Scheduler) inFlightMessage() (body []byte) {
	var busy []*worker
	for _, w := range s.list {
		if len(w.inFlight) > 0 {
			busy = append(busy, w)
		}
	}
	addEntry := func(hash uint16, n int) {
		body = append(binary.BigEndian.AppendUint16(body, hash), byte(min(n, 255)))
	}
	const maxEntries = maxMessageBytes / 3
	from, n := uint16(0), len(busy)
	if partial := n >= maxEntries; partial {
		from, n = s.lastHashSent+1, maxEntries-1
		addEntry(from, 0)
	}
	slices.SortFunc(busy, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(uint16(a.idHash)-from, uint16(b.idHash)-from), cmp.Compare(a.listIndex, b.listIndex))
	})
	for _, w := range busy[:n] {
		addEntry(uint16(w.idHash), len(w.inFlight))
		s.lastHashSent = uint16(w.idHash)
	}
	return body
}

// dropSilentPeers forgets the postings of peers that have not been heard for long: such a peer was killed, and
// nothing reports the end of its postings.
func (s *Scheduler) dropSilentPeers(now float64) {
	for from, at := range s.peerHeardAt {
		if now > at+30*s.messageGapMs() {
			delete(s.peerHeardAt, from)
			for _, w := range s.list {
				if n := w.peerInFlight[from]; n > 0 {
					w.peerInFlightSum -= n
					s.markDirty(w)
				}
				delete(w.peerInFlight, from)
			}
		}
	}
}

// queueReport queues a report for the peers (many schedulers only). Where it won't be sent it is dropped, and of
// more reports than a message holds the oldest is: otherwise the queue would only grow.
func (s *Scheduler) queueReport(now float64, n schemeReport) {
	if s.manySchedulers() && s.terms.Messages && !s.yielded && s.reportPaysOff(now) {
		s.pendingReports = append(s.pendingReports, n)[max(0, len(s.pendingReports)+1-maxMessageBytes/3):]
	}
}
