package scheduler

import (
	"math"

	"golang.org/x/sys/unix"

	"shalebeam/scheduler/eventloop"
)

// The number of clients' connections follows the limits on descriptors and memory. At the limit a new connection takes the place of one
// without an open request, or is answered 503.

const (
	// Connections accepted beyond the limit only to answer 503: the client may have written its request already.
	extraClients = 16
	// Connections on which a txn was answered so recently, in ms, are not closed for new ones while they are at most a quarter of all.
	recentlyUsedMs     = 1000.0
	recentShareDivisor = 4
)

// applyLimits computes the limits on connections and their memory from the process's share of descriptors and memory. Connections
// beyond the limit are closed if no request is open on them.
func (cs *clients) applyLimits() {
	s := cs.s
	memoryBytes := s.handover.limitShare(s.memoryLimitBytes())
	cs.maxClients = min(s.maxDescriptors()-reservedDescriptors-s.maxWorkerConns()-s.maxDials()-extraClients,
		memoryBytes/clientMemoryDivisor/minConnMemoryBytes)
	cs.memory.setLimits(memoryBytes, cs.maxClients)
	for _, c := range cs.all {
		c.conn.SetReadLimit(cs.memory.readLimit())
	}
	for len(cs.all) > cs.maxClients {
		evicted := cs.evictionCandidate(nil)
		if evicted == nil {
			return
		}
		evicted.close()
	}
}

// memoryLimitBytes returns the configured limit on memory for all processes of the scheduler.
func (s *Scheduler) memoryLimitBytes() int {
	mb := s.node.Limits.MemoryMB
	if mb <= 0 {
		mb = defaultMemoryMB
	}
	return mb << 20
}

// maxDescriptors returns how many descriptors the process may hold: its share of the configured limit, and no more than the
// system's limit.
func (s *Scheduler) maxDescriptors() int {
	n := s.node.Limits.Sockets
	if n <= 0 {
		n = defaultSockets
	}
	return int(min(uint64(max(s.handover.limitShare(n), minSockets)), s.systemDescriptors))
}

// descriptorLimit returns the system's soft limit on this process's descriptors. It is read once at the start, so that the
// limits derived from it don't follow a temporary decrease.
func descriptorLimit() uint64 {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil {
		return math.MaxInt
	}
	return own.Cur
}

// add registers a connection, and keeps the number of connections within its limit.
func (cs *clients) add(c *client, conn eventloop.Conn) {
	c.conn, c.index, c.stateSince = conn, len(cs.all), cs.s.now()
	c.req.Reset(requestLimits)
	cs.all = append(cs.all, c)
	conn.SetReadLimit(cs.memory.readLimit())
	c.chargeMemory()
	if len(cs.all) <= cs.maxClients {
		return
	}
	// Without free descriptors no client could be accepted, so a connection without an open request is closed.
	evicted := cs.evictionCandidate(c)
	if evicted != nil && evicted.wasUsedRecently() && cs.recentlyUsed() <= cs.maxClients/recentShareDivisor {
		evicted = nil // and so were the others that may be closed, as it is the one longest in its state
	}
	switch {
	case evicted != nil:
		evicted.close()
	case c.transferred: // the process that accepted it already undertook to answer
	case len(cs.all) <= cs.maxClients+extraClients:
		c.overLimit = true
	default:
		c.close()
	}
	if now := cs.s.now(); evicted == nil && now > cs.loggedAt+logIntervalMs {
		cs.loggedAt = now
		cs.s.log.Printf("msg=bound of=clients count=%d", len(cs.all))
	}
}

// evictionCandidate finds the connection with the highest eviction rank, among equals the one longest in its state, leaving out
// except. It returns nil if none may be closed.
func (cs *clients) evictionCandidate(except *client) (best *client) {
	for _, candidate := range cs.all {
		if candidate != except && candidate.evictionRank() > 0 && (best == nil || candidate.evictionRank() > best.evictionRank() ||
			candidate.evictionRank() == best.evictionRank() && candidate.stateSince < best.stateSince) && !candidate.hasUnread() {
			best = candidate
		}
	}
	return best
}

// evictionRank tells how readily the connection may be closed to free a descriptor, 0 for never: first (4) those with their
// last answer, then (3) those that never sent anything, then (2) those whose first request is incomplete, and last (1) those
// that had a txn answered and are between two requests.
func (c *client) evictionRank() int {
	switch {
	case c.txn != nil || c.conn.OutboundBuffered() > 0 || c.answeredTxn && c.requestBegun:
		return 0
	case c.closing:
		return 4
	case c.answeredTxn:
		return 1
	case c.requestBegun:
		return 2
	}
	return 3
}

// wasUsedRecently tells whether the connection is between two requests, the first of which was answered a moment ago. Its client has
// shown that it sends requests; one that connects now has not.
func (c *client) wasUsedRecently() bool {
	return c.answeredTxn && !c.closing && c.s.now() < c.stateSince+recentlyUsedMs
}

// recentlyUsed is the number of connections for which wasUsedRecently is true.
func (cs *clients) recentlyUsed() (n int) {
	for _, c := range cs.all {
		if c.txn == nil && c.wasUsedRecently() {
			n++
		}
	}
	return n
}
