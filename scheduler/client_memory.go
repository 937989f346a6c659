package scheduler

// The memory that clients' connections take is counted: what they have sent, read or waiting, and the answers that they have not
// read yet. It is held within a part of the configured limit. Beyond that, requests that are not complete are declined, the
// largest first; then new requests are declined as they come; and last, if clients don't read their answers, connections with
// unread answers are closed. A request that was taken is never given up for want of memory.

const (
	// 1/4 of the memory is for clients' connections: the collector needs as much again, and the rest is for lists, workers and
	// the program itself.
	clientMemoryDivisor = 4
	// The part of clientMemoryDivisor that all connections together may take for bytes that wait behind open requests.
	waitingMemoryDivisor = 2
	clientBytes          = 2 << 10  // memory of a connection without its buffers, at least
	minWaitingBytes      = 2 << 10  // bytes that may wait on a connection, whatever the memory
	maxWaitingBytes      = 16 << 10 // and however much of it there is
	minConnMemoryBytes   = clientBytes + minWaitingBytes
)

// clientMemory is the account of the memory of all clients' connections, in bytes.
type clientMemory struct {
	held         int // by all connections
	limit        int // of held
	waitingLimit int // of the bytes that wait on one connection behind its open request

	relieving bool // relieveMemory is running
}

// setLimits sets the limits for this much memory in all and this many connections.
func (m *clientMemory) setLimits(memoryBytes, maxClients int) {
	m.limit = memoryBytes / clientMemoryDivisor
	m.waitingLimit = min(max(m.limit/waitingMemoryDivisor/max(maxClients, 1), minWaitingBytes), maxWaitingBytes)
}

// readLimit is the most that is read from a connection at once: half of what may wait there, as reading stops only once half of it
// does.
func (m *clientMemory) readLimit() int { return m.waitingLimit / 2 }

// isFull tells whether the connections take more than their limit.
func (m *clientMemory) isFull() bool { return m.held > m.limit }

// isOverfull tells whether they take twice their limit. As the collector needs as much again, the process is then close to its own.
func (m *clientMemory) isOverfull() bool { return m.held > 2*m.limit }

// chargeMemory counts what the connection takes now.
func (c *client) chargeMemory() {
	held := 0
	if c.conn != nil {
		held = clientBytes + c.conn.HeldBytes() + c.req.HeldBytes()
		if c.txn != nil && c.transferred {
			held += len(c.txn.request.body) // c.req does not have it
		}
	}
	c.s.clients.memory.held += held - c.heldBytes
	c.heldBytes = held
}

// relieveMemory ends what may be ended until the connections take no more than their limit.
func (cs *clients) relieveMemory() {
	if cs.memory.relieving {
		return
	}
	cs.memory.relieving = true
	defer func() { cs.memory.relieving = false }()
	for cs.memory.isFull() {
		c := cs.largest((*client).isUnfinished)
		if c == nil {
			break
		}
		c.answer(503, "no memory for the request\n", -1)
		c.chargeMemory()
	}
	for cs.memory.isOverfull() {
		c := cs.largest((*client).hasUnreadAnswer)
		if c == nil {
			return
		}
		cs.s.log.Printf("msg=bound of=memory held=%d limit=%d", cs.memory.held, cs.memory.limit)
		c.close()
	}
}

// hasMemoryFor tells whether a request that has arrived whole on a connection may be taken. For its sake incomplete ones are ended.
func (cs *clients) hasMemoryFor(c *client) bool {
	c.chargeMemory()
	cs.relieveMemory()
	return !cs.memory.isFull()
}

// isUnfinished tells whether part of a request has arrived on the connection, and the rest has not.
func (c *client) isUnfinished() bool {
	return c.requestBegun && c.txn == nil && !c.closing && !c.req.Complete()
}

// hasUnreadAnswer tells whether no request is open on the connection and part of an answer could not be written yet.
func (c *client) hasUnreadAnswer() bool { return c.txn == nil && c.conn.OutboundBuffered() > 0 }

// largest finds, among the connections for which is returns true, one on which no request was answered yet before the others, and of
// these the one that takes the most memory; among equals the one longest without progress. It returns nil if there is none.
func (cs *clients) largest(is func(*client) bool) (best *client) {
	for _, c := range cs.all {
		if is(c) && (best == nil || c.givesWayBefore(best)) {
			best = c
		}
	}
	return best
}

// givesWayBefore compares two connections for largest.
func (c *client) givesWayBefore(other *client) bool {
	switch {
	case c.answeredTxn != other.answeredTxn:
		return !c.answeredTxn
	case c.heldBytes != other.heldBytes:
		return c.heldBytes > other.heldBytes
	}
	return c.stateSince < other.stateSince
}
