package balance

import (
	"cmp"
	"container/heap"
	"hash/crc32"
	"math"
	"slices"
	"sort"
)

// The data structures that keep workers and txns in order. They make no decisions; balance.go uses them. Their
// answers are the same as those of sorting and scanning all workers and txns, at a cost that grows only with
// what has changed.

// ranking keeps workers ordered by their load at the last ranking, and those of equal load by tie break. There
// are few different loads, or they change rarely, so workers are kept in groups of equal load. A group is
// sorted, by this ranking's tie breaks, only as far as it is read.
type ranking struct {
	index    int                    // its index in Scheduler.rankings
	filter   SchemeRow              // it holds the workers that this row is open to
	groups   []*loadGroup           // by ascending load
	ends     []int                  // by group, the rank behind its last worker
	tieBreak func(w *worker) uint32 // orders workers of equal load
	keys     []uint64               // reused by fillBuckets
}

// loadGroup holds the workers of one load.
type loadGroup struct {
	load    float64
	workers []*worker
	entries []rankEntry // the same workers, sorted bucket by bucket as far as read; empty until then
	buckets []bucket    // of entries: all keys of a bucket have the same leading bits
}

// bucket is a section of a group's entries that is sorted when it is first read.
type bucket struct {
	end    int // index in entries behind its last one
	sorted bool
}

// bucketSize is about how many workers are sorted together.
const bucketSize = 8

// rankEntry is a worker with the key that orders it in its group: the tie break in the high 32 bits, and for
// equal tie breaks its place in the list in the low ones.
type rankEntry struct {
	key    uint64
	worker *worker
}

// findGroup returns the index of the group of this load, or where it would be inserted.
func (r *ranking) findGroup(load float64) (int, bool) {
	return slices.BinarySearchFunc(r.groups, load, func(g *loadGroup, x float64) int { return cmp.Compare(g.load, x) })
}

// add inserts a worker by its rankLoad and records its place in the group.
func (r *ranking) add(w *worker) {
	i, ok := r.findGroup(w.rankLoad)
	if !ok {
		r.groups = slices.Insert(r.groups, i, &loadGroup{load: w.rankLoad})
	}
	g := r.groups[i]
	w.groupIndexes[r.index] = len(g.workers)
	g.workers = append(g.workers, w)
}

// remove removes a worker.
func (r *ranking) remove(w *worker) {
	i, ok := r.findGroup(w.rankLoad)
	if !ok {
		return
	}
	g := r.groups[i]
	at, end := w.groupIndexes[r.index], len(g.workers)-1
	g.workers[at] = g.workers[end]
	g.workers[at].groupIndexes[r.index] = at
	w.groupIndexes[r.index] = -1
	g.workers[end] = nil
	g.workers = g.workers[:end]
	if end == 0 {
		r.groups = slices.Delete(r.groups, i, i+1)
	}
}

// reset starts a new ranking, with new tie breaks.
func (r *ranking) reset() {
	r.ends = r.ends[:0]
	n := 0
	for _, g := range r.groups {
		g.entries = g.entries[:0]
		n += len(g.workers)
		r.ends = append(r.ends, n)
	}
}

// len returns the number of ranked workers, as of the last reset.
func (r *ranking) len() int {
	if len(r.ends) == 0 {
		return 0
	}
	return r.ends[len(r.ends)-1]
}

// workerAt returns the worker at a rank, from 0.
func (r *ranking) workerAt(rank int) *worker {
	i := sort.SearchInts(r.ends, rank+1)
	g := r.groups[i]
	k := rank - (r.ends[i] - len(g.workers))
	if len(g.workers) == 1 {
		return g.workers[0]
	}
	if len(g.entries) == 0 {
		r.fillBuckets(g)
	}
	x := sort.Search(len(g.buckets), func(x int) bool { return g.buckets[x].end > k })
	if row := &g.buckets[x]; !row.sorted {
		from := 0
		if x > 0 {
			from = g.buckets[x-1].end
		}
		slices.SortFunc(g.entries[from:row.end], func(a, b rankEntry) int { return cmp.Compare(a.key, b.key) })
		row.sorted = true
	}
	return g.entries[k].worker
}

// fillBuckets draws a group's tie breaks and distributes its workers to buckets by the leading bits of their
// keys, which are evenly distributed. A large group costs no more than that, as few of its buckets are read
// before the next ranking.
func (r *ranking) fillBuckets(g *loadGroup) {
	n := len(g.workers)
	rows := 1 + n/bucketSize
	g.buckets = slices.Grow(g.buckets[:0], rows)[:rows]
	clear(g.buckets)
	r.keys = slices.Grow(r.keys[:0], n)[:n]
	for i, w := range g.workers {
		key := uint64(r.tieBreak(w))<<32 | uint64(w.listIndex)
		r.keys[i] = key
		g.buckets[key>>32*uint64(rows)>>32].end++
	}
	sum := 0
	for x := range g.buckets {
		sum, g.buckets[x].end = sum+g.buckets[x].end, sum // its start for now; moved on to its end below
	}
	g.entries = slices.Grow(g.entries, n)[:n]
	for i, w := range g.workers {
		key := r.keys[i]
		row := &g.buckets[key>>32*uint64(rows)>>32]
		g.entries[row.end] = rankEntry{key, w}
		row.end++
	}
}

// any calls f for all workers, in an order that has no meaning, until f returns true, and reports whether it
// did.
func (r *ranking) any(f func(w *worker) bool) bool {
	for _, g := range r.groups {
		if slices.ContainsFunc(g.workers, f) {
			return true
		}
	}
	return false
}

// selectLeast moves the n entries with the least keys to the front, unsorted.
func selectLeast(all []rankEntry, n int) {
	for lo, hi := 0, len(all)-1; lo < hi; {
		mid := all[(lo+hi)/2].key
		i, j := lo, hi
		for i <= j {
			for all[i].key < mid {
				i++
			}
			for all[j].key > mid {
				j--
			}
			if i <= j {
				all[i], all[j] = all[j], all[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case n-1 <= j:
			hi = j
		case n-1 >= i:
			lo = i
		default:
			return
		}
	}
}

// txnQueue keeps txns in the order in which they were added. Removing one leaves a nil slot; the slots are
// compacted when more than half of them are nil.
type txnQueue struct { // count is the number of slots that are not nil
	slots []*txn
	count int
}

func (q *txnQueue) add(t *txn) {
	if t.queued {
		return
	}
	t.queued, t.queueIndex = true, len(q.slots)
	q.slots = append(q.slots, t)
	q.count++
}

func (q *txnQueue) remove(t *txn) {
	if !t.queued {
		return
	}
	t.queued = false
	q.slots[t.queueIndex] = nil
	if q.count--; len(q.slots) > 32 && len(q.slots) > 2*q.count {
		q.slots = slices.DeleteFunc(q.slots, func(t *txn) bool { return t == nil })
		for i, t := range q.slots {
			t.queueIndex = i
		}
	}
}

// txnIndexNumber names one of the scheduler's indexes of txns by time.
type txnIndexNumber int

const (
	byGiveUpTime       txnIndexNumber = iota // queued txns, by when they are given up without overload
	byOverloadGiveUp                         // the same with overload
	queuedByArrival                          // queued txns with nothing in flight, by arrival time
	unstartedByArrival                       // txns of the unstarted postings, by arrival time
	numTxnIndexes
)

// giveUpIndex returns the index of give-up times that holds with or without overload.
func giveUpIndex(overloaded bool) txnIndexNumber {
	if overloaded {
		return byOverloadGiveUp
	}
	return byGiveUpTime
}

// indexPlace is a txn's place in one txnIndex.
type indexPlace struct {
	at       float64 // the time that it is ordered by
	position int     // in txnIndex.txns, from 1; 0 where the txn is not in the index
}

// txnIndex orders txns by a time, earliest first. A txn is in it once at most, and only until it is removed: an entry that
// stayed behind would keep its txn, with its postings, in memory.
type txnIndex struct {
	number txnIndexNumber
	txns   []*txn // a heap, see container/heap
}

// set adds a txn, or moves it if it is in the index already.
func (x *txnIndex) set(at float64, t *txn) {
	place := &t.places[x.number]
	place.at = at
	if place.position > 0 {
		heap.Fix(x, place.position-1)
		return
	}
	heap.Push(x, t)
}

// remove removes a txn, if it is in the index.
func (x *txnIndex) remove(t *txn) {
	if position := t.places[x.number].position; position > 0 {
		heap.Remove(x, position-1)
	}
}

// earliest returns the earliest time, +Inf if the index is empty.
func (x *txnIndex) earliest() float64 {
	if len(x.txns) == 0 {
		return math.Inf(1)
	}
	return x.txns[0].places[x.number].at
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (x *txnIndex) Len() int { return len(x.txns) }

func (x *txnIndex) Less(i, j int) bool {
	return x.txns[i].places[x.number].at < x.txns[j].places[x.number].at
}

func (x *txnIndex) Swap(i, j int) {
	x.txns[i], x.txns[j] = x.txns[j], x.txns[i]
	x.txns[i].places[x.number].position, x.txns[j].places[x.number].position = i+1, j+1
}

func (x *txnIndex) Push(added any) {
	t := added.(*txn)
	x.txns = append(x.txns, t)
	t.places[x.number].position = len(x.txns)
}

func (x *txnIndex) Pop() any {
	last := len(x.txns) - 1
	t := x.txns[last]
	x.txns[last] = nil
	x.txns = x.txns[:last]
	t.places[x.number].position = 0
	return t
}

// nextRandom returns the next random number.
func (s *Scheduler) nextRandom() uint32 {
	s.randomDraws++
	return s.randomAt(s.randomDraws - 1)
}

// randomAt returns the random number that belongs to a counter value: the CRC-32 of seed and counter, where the
// seed's part is computed once.
func (s *Scheduler) randomAt(count uint32) uint32 {
	c := s.seedChecksum
	for range 4 {
		c = crc32.IEEETable[byte(c)^byte(count)] ^ c>>8
		count >>= 8
	}
	return ^c
}

// mixHashes combines two checksums into a hash. The checksum of both texts in sequence would rank all workers in
// the same order for most keys.
func mixHashes(a, b uint32) uint32 {
	x := (uint64(a)<<32 | uint64(b)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return uint32(x >> 32)
}

// rankingFor returns the ranking of the workers that a scheme is open to. Schemes that are open to the same
// workers share a ranking.
func (s *Scheduler) rankingFor(row *SchemeRow) *ranking {
	for _, r := range s.rankings {
		if r.filter.Zones == row.Zones && r.filter.Kinds == row.Kinds {
			return r
		}
	}
	r := &ranking{index: len(s.rankings), filter: SchemeRow{Zones: row.Zones, Kinds: row.Kinds}, tieBreak: s.tieBreak}
	s.rankings = append(s.rankings, r)
	if r.index > 0 {
		s.rankings[0].any(func(w *worker) bool {
			s.addIfEligible(r, w)
			return false
		})
	}
	r.reset()
	return r
}

// addIfEligible adds a worker to a ranking if the ranking's schemes are open to it.
func (s *Scheduler) addIfEligible(r *ranking, w *worker) {
	for len(w.groupIndexes) < len(s.rankings) {
		w.groupIndexes = append(w.groupIndexes, -1)
	}
	if r.filter.Open(w.rankZone, w.rankKind) {
		r.add(w)
	}
}
