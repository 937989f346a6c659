package sim

import (
	"shalebeam/balance"
	"shalebeam/lab/script"
	"shalebeam/watch"
)

// discovery keeps the versioned list of workers. In push mode it sends each change to all schedulers, otherwise it
// answers their long polls. It processes the calls that begin a watch and the answers with changes one after another, so
// that each waits for those before it.
type discovery struct {
	sim       *simulation
	down      bool
	extraLag  float64          // lag that faults add, in milliseconds
	version   int              // of the list
	changes   []listChange     // all changes in order; those of version 0 are the list at the start
	pending   []balance.Listed // changes that happened while it was down
	byName    map[string]*worker
	busyUntil float64 // when it has processed all that is queued
}

// callTimeoutMs is how long a call that begins a watch may wait in the queue. It is then turned away, and still takes up
// its processing time in the queue.
const callTimeoutMs = 2000.0

// linesPerCall is the number of lines of the list that take as long to send as a call takes to process.
const linesPerCall = 40

// formerAddressMs is how long discovery still answers at its former address after a move.
const formerAddressMs = 1500.0

// listChange is one change of the list.
type listChange struct {
	version int
	entry   balance.Listed // of the worker from then on
}

// connection is a scheduler's connection to discovery. Its events are ignored once the scheduler uses another.
type connection struct {
	scheduler      *scheduler
	generation     int        // of the scheduler's process
	call           watch.Call // the last one
	callNo         int        // number of that call on this connection, from 1
	callOut        bool       // that call has no answer yet
	sentAt         float64    // when that call was sent
	watching       bool       // a watch is on
	answerQueued   bool       // an answer waits in discovery's queue
	answerInFlight bool       // an answer is under way in the network
	silent         bool       // nothing gets through, and neither side has noticed
	reset          bool       // it ends with a reset, not with an answer
	formerAddress  bool       // it leads to an address that discovery has left
}

// inUse reports whether the scheduler still reads the connection.
func (conn *connection) inUse() bool {
	return conn.scheduler.alive && conn.scheduler.generation == conn.generation &&
		(conn.scheduler.conn == conn || conn.scheduler.oldConn == conn)
}

func (d *discovery) init(sim *simulation) {
	*d = discovery{sim: sim, byName: map[string]*worker{}}
	for _, w := range sim.workers {
		d.byName[w.Name] = w
		if w.up {
			d.changes = append(d.changes, listChange{d.version, d.entryOf(w, balance.Running)})
		}
	}
	if sim.plan.Discovery.Weights == "live" {
		sim.after(float64(sim.plan.Discovery.LiveEach), d.refreshWeights)
	}
}

// entryOf returns a worker's entry in the list.
func (d *discovery) entryOf(w *worker, state balance.State) balance.Listed {
	return balance.Listed{ID: w.Name, Cell: w.Cell, Zone: w.Zone, Kind: w.Kind, State: state, Start: w.model.Start,
		Weight: w.weight()}
}

// refreshWeights updates the weights of all running workers in the list, now and after each interval from then on.
func (d *discovery) refreshWeights() {
	for _, w := range d.sim.workers {
		if w.up && !w.model.Draining && !d.down {
			d.recordChange(d.entryOf(w, balance.Running))
		}
	}
	d.notifyAll()
	d.sim.after(float64(d.sim.plan.Discovery.LiveEach), d.refreshWeights)
}

// setState changes a worker's entry in the list. Discovery learns of the change after its lag, or when it comes back if
// it is down by then, and notifies schedulers.
func (d *discovery) setState(w *worker, state balance.State) {
	entry := d.entryOf(w, state)
	d.sim.after(float64(d.sim.plan.Discovery.Lag)+d.extraLag, func() {
		if d.down {
			d.pending = append(d.pending, entry)
			return
		}
		d.recordChange(entry)
		d.notifyAll()
	})
}

// recordChange adds a change to the list as a new version.
func (d *discovery) recordChange(entry balance.Listed) {
	d.version++
	d.changes = append(d.changes, listChange{d.version, entry})
	d.sim.auditor.Changed(d.sim.now, d.version, entry.ID, entry.State, entry.Start)
}

// notifyAll pushes the list's changes to all schedulers, or answers those whose call waits for a change.
func (d *discovery) notifyAll() {
	for _, s := range d.sim.schedulers {
		switch {
		case !s.alive:
		case d.sim.plan.Discovery.Mode == "push":
			d.pushList(s)
		case s.conn != nil && s.conn.watching && s.conn.callOut:
			d.enqueueAnswer(s.conn)
		}
	}
}

// enqueue adds a call, or only the sending of lines, to discovery's queue, and returns when it will have been processed.
// A call is as much work as linesPerCall lines.
func (d *discovery) enqueue(isCall bool, lines int) float64 {
	work := float64(lines) / linesPerCall
	if isCall {
		work++
	}
	d.busyUntil = max(d.busyUntil, d.sim.now) + work*1000/d.sim.plan.Discovery.Calls
	return d.busyUntil
}

// pushList sends a scheduler the changes that it does not have yet, in push mode.
func (d *discovery) pushList(s *scheduler) {
	if s.pushQueued || d.down {
		return
	}
	s.pushQueued = true
	gen := s.generation
	wanted := func() bool { return s.alive && s.generation == gen }
	d.sim.at(d.enqueue(false, linesPerCall), func() {
		if !wanted() {
			return
		}
		s.pushQueued = false
		if d.down {
			return
		}
		rows, version := d.changesSince(s.listVersion), d.version
		d.sim.net.send(script.Part{Kind: "discovery"}, s.part(), wanted, func() {
			if version < s.listVersion {
				return // a later push arrived first
			}
			s.listVersion = version
			d.sim.auditListed(d.sim.now, s, rows)
			if len(rows) > 0 {
				s.applyList(rows, false)
			}
			s.runDecisions()
			if d.version > s.listVersion {
				d.pushList(s)
			}
		})
	})
}

// makeCall makes a scheduler's call, on its connection or on a new one, which is up after a round trip.
func (d *discovery) makeCall(s *scheduler, call watch.Call) {
	conn := s.conn
	d.sim.auditor.DiscoveryCalled(d.sim.now, s.name, conn == nil)
	if conn != nil {
		d.sim.result.Fleet.Renewals++
		d.sendCall(conn, call)
		return
	}
	d.sim.result.Fleet.Calls++
	conn = &connection{scheduler: s, generation: s.generation}
	s.conn = conn
	if d.sim.net.isCut(s.part(), script.Part{Kind: "discovery"}) {
		d.sim.after(float64(d.sim.plan.Schedulers.Dial), func() { d.connectionFailed(conn, watch.ConnectionFailed) })
		return
	}
	d.sim.net.send(s.part(), script.Part{Kind: "discovery"}, conn.inUse, func() {
		if d.down {
			d.endConnection(conn, watch.ConnectionRefused)
			return
		}
		d.sim.net.send(script.Part{Kind: "discovery"}, s.part(), conn.inUse, func() {
			d.sendCall(conn, call)
			s.followWatch()
		})
	})
}

// sendCall sends a call on a connection that is up. One that begins a watch is answered with what the scheduler lacks
// when its turn in the queue comes; one on a watch is answered at the next change, or after the wait that it gives.
func (d *discovery) sendCall(conn *connection, call watch.Call) {
	conn.scheduler.watch.CallSent(conn.scheduler.clock())
	conn.call, conn.callOut, conn.sentAt = call, true, d.sim.now
	conn.callNo++
	callNo := conn.callNo
	d.sim.net.send(conn.scheduler.part(), script.Part{Kind: "discovery"}, conn.inUse, func() {
		switch {
		case conn.silent:
		case d.down:
			d.endConnection(conn, watch.Rejected)
		case !conn.watching:
			if at := d.enqueue(true, d.linesOwed(conn)); at > d.sim.now+callTimeoutMs {
				d.sim.after(callTimeoutMs, func() { d.endConnection(conn, watch.Rejected) })
			} else {
				d.sim.at(at, func() { d.writeAnswer(conn, callNo) })
			}
		case d.version > int(call.AfterVersion):
			d.enqueueAnswer(conn)
		default:
			d.sim.after(call.WaitMs, func() {
				if !conn.answerQueued {
					d.writeAnswer(conn, callNo)
				}
			})
		}
	})
}

// enqueueAnswer queues the answer with changes to the call of a watch.
func (d *discovery) enqueueAnswer(conn *connection) {
	if conn.answerQueued {
		return
	}
	conn.answerQueued = true
	callNo := conn.callNo
	d.sim.at(d.enqueue(false, d.linesOwed(conn)), func() {
		conn.answerQueued = false
		d.writeAnswer(conn, callNo)
	})
}

// linesOwed returns how many lines the answer to a connection's call has.
func (d *discovery) linesOwed(conn *connection) int {
	if conn.call.AfterVersion < 0 {
		return len(d.byName)
	}
	return len(d.changesSince(int(conn.call.AfterVersion)))
}

// writeAnswer answers a call with the changes since the version that it names, or with the whole list, unless the call
// has been answered or its connection is no longer in use.
func (d *discovery) writeAnswer(conn *connection, callNo int) {
	if !conn.inUse() || d.down || !conn.callOut || conn.callNo != callNo {
		return
	}
	conn.callOut = false
	if d.sim.net.isCut(conn.scheduler.part(), script.Part{Kind: "discovery"}) {
		conn.watching = true
		d.silence(conn)
	}
	if conn.silent {
		return // nobody receives it
	}
	s, version, whole := conn.scheduler, d.version, conn.call.AfterVersion < 0
	rows := d.changesSince(int(conn.call.AfterVersion))
	if whole {
		rows = d.listAt(version)
	}
	conn.watching, conn.answerInFlight = true, true
	d.sim.result.Fleet.Lines += len(rows)
	writtenAt, removed := d.sim.now, d.removedWorkers()
	d.sim.net.send(script.Part{Kind: "discovery"}, s.part(), conn.inUse, func() {
		// For the auditor the scheduler has the list from when it was written. What a network cut holds back is no
		// exception: it was written on a watch that had fallen silent.
		conn.answerInFlight = false
		d.sim.auditor.ListWritten(s.name, version, conn.formerAddress)
		d.sim.auditListed(writtenAt, s, rows)
		if whole {
			d.sim.auditListed(writtenAt, s, removed)
		}
		if s.oldConn == conn {
			if s.oldConn = nil; s.watch.AcceptsLateAnswer(s.clock(), int64(version)) {
				s.listVersion = version
				s.applyList(rows, whole)
				s.runDecisions()
			}
			return
		}
		s.listVersion = version
		if len(rows) > 0 || whole {
			s.applyList(rows, whole)
		}
		s.watch.Answered(s.clock(), int64(version), true)
		s.followWatch()
		s.runDecisions()
	})
}

// endConnection closes a connection from discovery's side. Answers that were written before arrive first.
func (d *discovery) endConnection(conn *connection, failure watch.Failure) {
	if conn.inUse() {
		d.sim.net.send(script.Part{Kind: "discovery"}, conn.scheduler.part(), conn.inUse, func() {
			if conn.answerInFlight {
				d.endConnection(conn, failure)
			} else {
				d.connectionFailed(conn, failure)
			}
		})
	}
}

// connectionFailed tells a scheduler that its connection has ended.
func (d *discovery) connectionFailed(conn *connection, failure watch.Failure) {
	if !conn.inUse() {
		return
	}
	if conn.scheduler.oldConn == conn {
		conn.scheduler.oldConn = nil
		return
	}
	if !conn.watching {
		d.sim.result.Fleet.Failed++
	}
	conn.scheduler.conn = nil
	d.sim.auditor.WatchEnded(conn.scheduler.name)
	if conn.reset {
		failure = watch.ConnectionFailed
	}
	conn.scheduler.watch.Failed(conn.scheduler.clock(), failure)
	conn.scheduler.followWatch()
	conn.scheduler.runDecisions()
}

// auditListed reports entries of the list that were written to a scheduler to the auditor.
func (sim *simulation) auditListed(at float64, s *scheduler, rows []balance.Listed) {
	for _, r := range rows {
		sim.auditor.Listed(at, s.name, r.ID, r.State, r.Start)
	}
}

// removedWorkers returns the last entries of the workers that have been removed from the list.
func (d *discovery) removedWorkers() (rows []balance.Listed) {
	for _, entry := range d.changesSince(-1) {
		if entry.State == balance.Removed {
			rows = append(rows, entry)
		}
	}
	return rows
}

// changesSince returns the last entry of each worker that changed after a version, the newest first.
func (d *discovery) changesSince(version int) (rows []balance.Listed) {
	seen := map[string]bool{}
	for i := len(d.changes) - 1; i >= 0 && d.changes[i].version > version; i-- {
		if entry := d.changes[i].entry; !seen[entry.ID] {
			seen[entry.ID] = true
			rows = append(rows, entry)
		}
	}
	return rows
}

// listAt returns the whole list as it was at a version.
func (d *discovery) listAt(version int) []balance.Listed {
	place := map[string]int{}
	var rows []balance.Listed
	for _, change := range d.changes {
		if change.version > version {
			break
		}
		if i, ok := place[change.entry.ID]; ok {
			rows[i] = change.entry
		} else {
			place[change.entry.ID] = len(rows)
			rows = append(rows, change.entry)
		}
	}
	current := rows[:0]
	for _, entry := range rows {
		if entry.State != balance.Removed {
			current = append(current, entry)
		}
	}
	return current
}

// silenceCutWatches makes the connections across a network cut fall silent: what is under way there is given up instead
// of being resent for ever.
func (d *discovery) silenceCutWatches() {
	for _, s := range d.sim.schedulers {
		for _, conn := range []*connection{s.conn, s.oldConn} {
			if s.alive && conn != nil && d.sim.net.isCut(s.part(), script.Part{Kind: "discovery"}) {
				d.silence(conn)
			}
		}
	}
}

// silence makes a connection fall silent: calls and answers on it are lost, and neither side notices.
func (d *discovery) silence(conn *connection) {
	wasSilent := conn.silent
	if conn.silent = true; conn.watching && !wasSilent && conn == conn.scheduler.conn {
		d.sim.auditor.WatchSilent(d.sim.now, conn.scheduler.name, conn.sentAt, conn.call.WaitMs)
	}
}

// changeAddress tells a scheduler that discovery has moved to another address. The former one still answers for
// formerAddressMs.
func (d *discovery) changeAddress(s *scheduler) {
	if !s.alive {
		return
	}
	d.sim.auditor.AddressChanged(d.sim.now, s.name)
	s.watch.DiscoveryMoved(s.clock())
	if conn := s.conn; conn != nil {
		conn.formerAddress = true
		d.sim.after(formerAddressMs, func() { d.connectionFailed(conn, watch.Rejected) })
	}
	s.followWatch()
	s.runDecisions()
}

// applyFault begins or ends a fault of discovery.
func (d *discovery) applyFault(a script.Action) {
	switch {
	case a.Fault == "lag":
		d.extraLag += signOf(a) * a.Factor
	case a.Fault == "down" && a.Begin:
		d.down, d.busyUntil = true, 0
		d.sim.auditor.DiscoveryDown(d.sim.now, true)
		for _, s := range d.sim.schedulers {
			s.pushQueued = false
			if conn := s.conn; s.alive && conn != nil && !conn.silent {
				conn.watching = false // discovery ends the watch itself, so that it can no longer fall silent
				d.endConnection(conn, watch.Rejected)
			}
		}
	case a.Fault == "down":
		d.down = false
		d.sim.auditor.DiscoveryDown(d.sim.now, false)
		for _, entry := range d.pending {
			d.recordChange(entry)
		}
		d.pending = nil
		d.notifyAll()
	}
}
