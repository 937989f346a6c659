package requestid

// entryBytes is about what one entry of a Set takes, in its map and in its queue.
const entryBytes = 64

// Set holds ids until their times are over. Where it has no room for another one, it forgets the one that was added first.
type Set struct {
	untilMs map[Hash]float64
	added   []Entry // in the order in which they were added; those before first are gone
	first   int
	limit   int // entries
}

// NewSet returns a set that takes about this many bytes of memory when it is full.
func NewSet(bytes int) *Set {
	return &Set{untilMs: map[Hash]float64{}, limit: max(bytes/entryBytes, 1)}
}

// Add has the set hold an id until a time. Of two times for one id the later one counts.
func (s *Set) Add(e Entry) {
	if e.UntilMs <= s.untilMs[e.Hash] {
		return
	}
	s.untilMs[e.Hash] = e.UntilMs
	s.added = append(s.added, e)
	for len(s.added)-s.first > s.limit {
		s.dropFirst()
	}
}

// Contains tells whether the set holds an id at this time.
func (s *Set) Contains(h Hash, nowMs float64) bool { return s.untilMs[h] > nowMs }

// Expire forgets ids whose times are over.
func (s *Set) Expire(nowMs float64) {
	for s.first < len(s.added) && s.added[s.first].UntilMs <= nowMs {
		s.dropFirst()
	}
	if s.first > 0 && s.first == len(s.added) {
		s.untilMs, s.added, s.first = map[Hash]float64{}, nil, 0 // a map keeps the room that it once had
	}
}

// dropFirst forgets the id that was added first, unless it was added again later.
func (s *Set) dropFirst() {
	if e := s.added[s.first]; s.untilMs[e.Hash] == e.UntilMs {
		delete(s.untilMs, e.Hash)
	}
	if s.first++; s.first > s.limit {
		s.added, s.first = append(s.added[:0], s.added[s.first:]...), 0
	}
}

// Len is the number of ids that the set holds.
func (s *Set) Len() int { return len(s.untilMs) }

// Entries returns what the set holds, in the order in which it was added.
func (s *Set) Entries() (all []Entry) {
	for _, e := range s.added[s.first:] {
		if s.untilMs[e.Hash] == e.UntilMs {
			all = append(all, e)
		}
	}
	return all
}
