package sim

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"shalebeam/balance"
	"shalebeam/lab/load"
	"shalebeam/lab/machine"
	"shalebeam/lab/policy"
	"shalebeam/lab/script"
	"shalebeam/watch"
)

// scheduler is one scheduler: a decider, and the host around it, which does what the host on real sockets does.
type scheduler struct {
	sim                *simulation
	no                 int
	name               string
	zone               int
	decider            policy.Decider
	seed               uint64 // of the current process
	generation         int    // counts starts and ends of its process; messages to an earlier process are lost
	alive              bool
	inService          bool    // the front, the load balancer before all schedulers, sends it clients
	stopping           bool    // a planned stop is under way
	restartWhenStopped bool    // it starts again when the planned stop has ended
	stopBy             float64 // when the planned stop must have ended its txns; +Inf: no stop
	stopBegan          float64
	clockSkew          float64 // of its clock against the others, in milliseconds
	txns               map[string]*openTxn
	idleConns          map[int]idleConn      // kept connections, by worker
	states             map[int]balance.State // in the list that it has, by worker
	wakeAt             float64               // scheduled call of runDecisions; +Inf: none
	watch              *watch.Watch
	conn               *connection // its connection to discovery; nil: none
	oldConn            *connection // the connection before, whose answer may only be late
	watchWakeAt        float64     // scheduled call of watch.Advance; +Inf: none
	pushQueued         bool        // discovery has a push for it in its queue
	listVersion        int         // version of the list that it has
	runningDecisions   bool        // runDecisions is under way, and must not be entered again
}

// Times of a scheduler's starts and stops.
const (
	frontNoticeMs  = 200   // from a start until the front sends it clients; from a stop until it sends none: 1 to 2 times that
	stopLeastMs    = 700.0 // a planned stop lasts at least this long
	stopOverrunMs  = 300   // after stopBy the process ends in any case
	stopRestartMs  = 200   // from the end of a planned stop to the restart
	clockRestartMs = 500   // from the end caused by a change of the clock to the restart
)

// idleConn is a kept connection to a worker.
type idleConn struct {
	workerGen int // generation of the worker's process
	idleSince float64
}

// openTxn is a txn that the scheduler has accepted, until it is closed and none of its postings is out.
type openTxn struct {
	ref         string
	attempt     *attempt
	scheme      int     // index in simulation.rows
	until       float64 // its expiry, or stopBy if that is earlier
	postings    []*posting
	outstanding int  // postings out
	closed      bool // it has its final answer, or its client is gone
}

// posting is one posting of an openTxn.
type posting struct {
	txn          *openTxn
	scheduler    *scheduler
	schedulerGen int // generation of the scheduler's process
	worker       *worker
	workerGen    int          // generation of the worker's process to which its connection leads
	no           int          // index in the txn's postings
	job          *machine.Job // nil until it reaches the worker
	approaching  bool         // its work is counted in the worker's approachingWork
	requestSent  bool         // its connection is up and the request has been sent
	ended        bool         // for the scheduler
	ranUnused    bool         // it ran, and its result has not been given to the client
}

// awaited reports whether the scheduler's process still waits for the end of the posting.
func (p *posting) awaited() bool { return !p.ended && p.scheduler.generation == p.schedulerGen }

// work returns its work in slot-milliseconds at speed 1.
func (p *posting) work() float64 { return p.txn.attempt.job.Work * float64(p.txn.attempt.job.Slots) }

// arrive removes its work from that under way to its worker.
func (p *posting) arrive() {
	if p.approaching {
		p.approaching = false
		p.worker.approachingWork -= p.work()
	}
}

func (s *scheduler) part() script.Part { return script.Part{Kind: "schedulers", No: s.no} }

// clock returns the time that the scheduler's own clock shows.
func (s *scheduler) clock() float64 { return epochMs + s.sim.now + s.clockSkew }

// startProcess starts a process with the list of workers that the last one had.
func (s *scheduler) startProcess() {
	s.generation++
	s.alive, s.stopping, s.conn, s.oldConn, s.pushQueued = true, false, nil, nil, false
	s.stopBy, s.wakeAt, s.watchWakeAt = math.Inf(1), math.Inf(1), math.Inf(1)
	s.watch = watch.New(math.Inf(1), 0, 0)
	if s.sim.plan.Discovery.Mode != "push" {
		s.watch = watch.New(s.clock(), float64(s.sim.plan.Discovery.MustAsk),
			watch.CallServiceMs*float64(s.sim.plan.Schedulers.Count))
	}
	s.watch.SetVersion(int64(s.listVersion))
	s.txns, s.idleConns, s.states = map[string]*openTxn{}, map[int]idleConn{}, map[int]balance.State{}
	if s.decider = s.sim.newDecider(s.no, s.generation); s.decider == nil {
		return
	}
	s.sim.auditor.ProcessStarted(s.sim.now, s.name, s.listVersion)
	s.sim.auditListed(s.sim.now, s, s.sim.discovery.listAt(s.listVersion))
	s.followWatch() // tells the decider how long the list may be relied on, before it gets the list
	s.applyList(s.sim.discovery.listAt(s.listVersion), true)
	for _, id := range slices.Sorted(maps.Keys(s.sim.withdrawn)) {
		if s.sim.withdrawn[id] > 0 {
			s.applyWithdrawal(id, true) // withdrawals by staff outlast the process
		}
	}
	s.runDecisions()
	if s.sim.now == 0 {
		s.inService = true
		return
	}
	gen := s.generation
	s.sim.after(frontNoticeMs, func() { s.inService = s.inService || s.generation == gen })
}

// applyList passes entries of the list to the decider. whole means that workers not named are no longer listed.
func (s *scheduler) applyList(rows []balance.Listed, whole bool) {
	for _, r := range rows {
		w := s.sim.discovery.byName[r.ID]
		s.states[w.no] = r.State
	}
	s.decider.ListChanged(s.clock(), whole, rows)
}

// applyWithdrawal tells the decider that staff took a worker out, or put it back.
func (s *scheduler) applyWithdrawal(workerID string, withdrawn bool) {
	if withdrawn {
		s.decider.Withdrawn(s.clock(), workerID)
	} else {
		s.decider.Returned(s.clock(), workerID)
	}
}

// acceptTxn accepts the txn of a client's attempt. Its expiry is given in simulated time.
func (s *scheduler) acceptTxn(attempt *attempt, expiry float64) {
	scheme := attempt.job.Scheme
	if attempt.useTwin {
		scheme += len(s.sim.plan.Schemes)
	}
	schemePlace := slices.Index(s.sim.plan.SchemesIn(s.sim.phase), scheme)
	if schemePlace < 0 { // the host itself answers that there is no such scheme; the decider is not told
		s.sim.after(s.sim.net.delay(), func() { s.sim.endAttempt(attempt, load.Reversed, 0) })
		return
	}
	txn := &openTxn{ref: attempt.ref, attempt: attempt, scheme: scheme, until: min(expiry, s.stopBy)}
	s.txns[txn.ref] = txn
	s.sim.auditor.Accepted(s.sim.now, s.name, txn.ref, txn.scheme, txn.until)
	s.decider.Arrived(s.clock(), balance.Txn{Ref: txn.ref, Scheme: schemePlace, Tenant: attempt.job.Tenant,
		Key: attempt.job.Key, Hint: attempt.job.Hint, Slots: float64(attempt.job.Slots), TimeLeftMs: expiry - s.sim.now,
		Repeat: attempt.job.Attempts > 0})
	s.scheduleExpiry(txn)
	s.runDecisions()
}

// scheduleExpiry schedules the end, as timed out, of the postings that are out when the txn's time is over.
func (s *scheduler) scheduleExpiry(txn *openTxn) {
	gen, until := s.generation, txn.until
	s.sim.at(until, func() {
		if s.generation != gen || txn.until != until {
			return
		}
		for _, p := range txn.postings {
			if !p.ended {
				s.abandon(p, balance.TimedOut)
			}
		}
		s.runDecisions()
	})
}

// clientGone handles that a client closed its connection.
func (s *scheduler) clientGone(ref string) {
	txn := s.txns[ref]
	if txn == nil || txn.closed {
		return
	}
	txn.closed = true
	s.sim.auditor.ClientLeft(s.sim.now, ref)
	s.decider.TxnClosed(s.clock(), ref)
	s.forgetIfDone(txn)
	s.runDecisions()
}

// forgetIfDone deletes a txn that is closed and has no posting out.
func (s *scheduler) forgetIfDone(txn *openTxn) {
	if txn.closed && txn.outstanding == 0 {
		delete(s.txns, txn.ref)
	}
}

// postingStarted handles a worker's notice that a posting has begun to run.
func (s *scheduler) postingStarted(p *posting) {
	s.decider.Started(s.clock(), p.txn.ref, p.no)
	s.runDecisions()
}

// postingSettled handles the result of a posting. A result that comes a second time is passed to the decider too, which
// must tolerate it.
func (s *scheduler) postingSettled(p *posting, result string, l balance.Load) {
	if p.ended {
		s.decider.Ended(s.clock(), p.txn.ref, p.no, balance.Done, true, l)
		s.runDecisions()
		return
	}
	if !p.txn.closed {
		p.txn.closed = true
		p.ranUnused = false
		s.answerClient(p.txn, load.Settled, result, 0)
	}
	s.postingEnded(p, balance.Done, l)
}

// postingEnded handles the end of a posting, unless it has already ended for the scheduler.
func (s *scheduler) postingEnded(p *posting, outcome balance.Outcome, l balance.Load) {
	if p.ended {
		return
	}
	s.recordEnd(p, outcome, l)
	s.runDecisions()
}

// recordEnd marks a posting as ended, tells the auditor and the decider, and keeps its connection if it can be used
// again.
func (s *scheduler) recordEnd(p *posting, outcome balance.Outcome, l balance.Load) {
	p.ended = true
	if !p.requestSent {
		p.arrive()
	}
	if p.ranUnused {
		p.worker.wastedWork += p.work()
	}
	p.txn.outstanding--
	if outcome == balance.Done || outcome == balance.Full || outcome == balance.Failed {
		s.idleConns[p.worker.no] = idleConn{p.workerGen, s.sim.now}
	}
	s.sim.auditor.Ended(s.sim.now, p.txn.ref, p.no, outcome)
	s.decider.Ended(s.clock(), p.txn.ref, p.no, outcome, p.txn.closed, l)
	s.forgetIfDone(p.txn)
}

// abandon gives up a posting. One whose request was not sent in full cannot have run.
func (s *scheduler) abandon(p *posting, outcome balance.Outcome) {
	if !p.requestSent {
		outcome = balance.NeverSent
	} else {
		s.closePostingConn(p)
	}
	s.recordEnd(p, outcome, balance.NoLoad)
}

// closePostingConn closes a posting's connection. When the worker notices, it cancels the job.
func (s *scheduler) closePostingConn(p *posting) {
	workerGen := p.workerGen
	s.sim.net.send(s.part(), p.worker.part(), always, func() {
		if p.job == nil || p.worker.generation != workerGen || !p.worker.up {
			return
		}
		if !p.worker.model.IgnoresCancel {
			p.worker.addWasted(p.job)
			delete(s.sim.postings, p.job)
		}
		p.worker.model.Cancel(p.worker.clock(), p.job)
		p.worker.processNotes()
	})
}

// answerClient sends a txn's final answer to its client. retryAfter is the delay in milliseconds that it asks for.
func (s *scheduler) answerClient(txn *openTxn, answer, result string, retryAfter float64) {
	s.sim.auditor.Answered(s.sim.now, s.name, txn.ref, answer, result)
	attempt := txn.attempt
	readDelay := float64(s.sim.plan.Clients.SlowRead) * load.Rand(s.sim.seed^uint64(attempt.job.No), "slow").Float64()
	s.sim.after(s.sim.net.delay()+readDelay, func() { s.sim.endAttempt(attempt, answer, retryAfter) })
}

// followWatch carries out what the watch asks for, and passes its state on to the decider.
func (s *scheduler) followWatch() {
	if s.watch.NextClose() {
		s.conn = nil
	}
	if s.watch.NextSetAside() {
		s.oldConn, s.conn = s.conn, nil
	}
	if !s.watch.KeepsAside() {
		s.oldConn = nil
	}
	if call, ok := s.watch.NextCall(); ok {
		s.sim.discovery.makeCall(s, call)
	}
	s.decider.SetListValidUntil(s.watch.ReliableUntil())
	for watching, ok := s.watch.NextStatusChange(); ok; watching, ok = s.watch.NextStatusChange() {
		s.decider.WatchAnswered(s.clock(), watching)
	}
	if at := s.watch.NextWake(); at < s.watchWakeAt {
		s.watchWakeAt = at
		gen := s.generation
		s.sim.after(at-s.clock(), func() {
			if s.generation == gen && s.watchWakeAt == at {
				s.watchWakeAt = math.Inf(1)
				s.watch.Advance(s.clock())
				s.followWatch()
				s.runDecisions()
			}
		})
	}
}

// runDecisions carries out the decider's decisions until there is none left, and schedules the next call.
func (s *scheduler) runDecisions() {
	if s.runningDecisions || !s.alive {
		return
	}
	s.runningDecisions = true
	for gen := s.generation; s.generation == gen && s.runOneDecision(s.clock()); {
	}
	s.runningDecisions = false
	s.endStopIfDone()
	if !s.alive {
		return
	}
	now := s.clock()
	if at := s.decider.Wake(now); at < s.wakeAt {
		s.wakeAt = at
		gen := s.generation
		s.sim.after(at-now, func() {
			if s.generation == gen && s.wakeAt == at {
				s.wakeAt = math.Inf(1)
				s.runDecisions()
			}
		})
	}
}

// digestDecision adds a decision to the digest of the run, by which two builds can be checked for equal decisions.
func (s *scheduler) digestDecision(now float64, decision, ref string, value float64) {
	var buf [8]byte
	digest := s.sim.digest
	for _, x := range []float64{now, float64(s.no), value} {
		binary.LittleEndian.PutUint64(buf[:], math.Float64bits(x))
		digest.Write(buf[:])
	}
	digest.WriteString(decision)
	digest.WriteString(ref)
}

// runOneDecision pulls one decision and carries it out. It returns false if there is none.
func (s *scheduler) runOneDecision(now float64) bool {
	if final, ok := s.decider.NextFinal(now); ok {
		s.digestDecision(now, "final", final.Ref, final.StayAwayMs)
		answer := load.Reversed
		if final.Declined {
			answer = load.Declined
		}
		txn := s.txns[final.Ref]
		if txn == nil || txn.closed {
			s.sim.auditor.Answered(s.sim.now, s.name, final.Ref, answer, "") // the auditor reports the broken rule
			return true
		}
		txn.closed = true
		s.answerClient(txn, answer, "", final.StayAwayMs)
		s.forgetIfDone(txn)
		return true
	}
	if cancel, ok := s.decider.NextCancel(now); ok {
		s.digestDecision(now, "cancel", cancel.Ref, float64(cancel.Posting))
		if txn := s.txns[cancel.Ref]; txn != nil && cancel.Posting < len(txn.postings) && !txn.postings[cancel.Posting].ended {
			s.abandon(txn.postings[cancel.Posting], balance.Cancelled)
		}
		return true
	}
	if p, ok := s.decider.NextPosting(now); ok {
		s.digestDecision(now, p.Worker, p.Ref, p.LatestSendAt)
		s.post(p)
		return true
	}
	if id, ok := s.decider.NextProbe(now); ok {
		s.digestDecision(now, "probe", id, 0)
		s.probe(id)
		return true
	}
	if body, ok := s.decider.NextMessage(now); ok {
		s.digestDecision(now, "message", string(body), 0)
		s.sim.result.Fleet.Messages++
		for _, peer := range s.sim.schedulers {
			if peer != s && s.sim.net.rand.Float64() >= s.sim.net.lossRate() {
				gen := peer.generation
				s.sim.after(s.sim.net.delay(), func() {
					if peer.generation == gen && peer.alive {
						s.sim.result.Fleet.Heard++
						s.sim.result.Fleet.Bytes += len(body)
						peer.decider.MessageReceived(peer.clock(), s.no, body)
						peer.runDecisions()
					}
				})
			}
		}
		return true
	}
	if s.decider.NextWatch(now) {
		s.watch.Begin(s.clock())
		s.followWatch()
		return true
	}
	return false
}

// post makes a posting, on a kept connection or a new one. A once-only txn always gets a new connection, because the
// reset of a kept one does not tell whether the posting ran.
func (s *scheduler) post(decision balance.Post) {
	w := s.sim.discovery.byName[decision.Worker]
	txn := s.txns[decision.Ref]
	if txn == nil || w == nil {
		s.sim.auditor.Posted(s.sim.now, s.name, decision.Ref, 0, decision.Worker, 0, 0)
		return
	}
	p := &posting{txn: txn, scheduler: s, schedulerGen: s.generation, worker: w, no: len(txn.postings)}
	txn.postings = append(txn.postings, p)
	txn.outstanding++
	s.sim.result.Postings++
	p.approaching = true
	w.approachingWork += p.work()
	idle, found := s.idleConns[w.no]
	delete(s.idleConns, w.no)
	if found && s.sim.now-idle.idleSince < float64(s.sim.plan.Schedulers.Idle)/2 && idle.workerGen == w.generation &&
		s.sim.rows[txn.scheme].Effect != balance.OnceOnly {
		p.workerGen = idle.workerGen
		s.sendRequest(p)
		return
	}
	s.dial(w, p.awaited, func(workerGen int) {
		unusable := s.states[w.no] != balance.Running || s.clock() >= s.watch.ReliableUntil() || s.sim.withdrawn[w.Name] > 0
		if _, skipCheck := s.decider.(interface{ SkipsLastCheck() }); unusable && !skipCheck || txn.closed ||
			s.clock() > decision.LatestSendAt {
			s.postingEnded(p, balance.NeverSent, balance.NoLoad) // too late, see balance.Post.LatestSendAt
			return
		}
		p.workerGen = workerGen
		s.sendRequest(p)
	}, func() { s.postingEnded(p, balance.NoConnect, balance.NoLoad) })
}

// dial makes a connection to a worker. After a round trip it calls connected with the generation of the worker's
// process, or failed if no process runs. It calls failed after a timeout if the worker's host does not answer.
func (s *scheduler) dial(w *worker, wanted func() bool, connected func(workerGen int), failed func()) {
	s.sim.result.Fleet.Dials++
	ended := false
	once := func(f func()) {
		if !ended && wanted() {
			ended = true
			f()
		}
	}
	s.sim.after(float64(s.sim.plan.Schedulers.Dial), func() { once(failed) })
	s.sim.net.send(s.part(), w.part(), wanted, func() {
		if w.unresponsive {
			return
		}
		accepted, workerGen := w.up, w.generation
		s.sim.net.send(w.part(), s.part(), wanted, func() {
			once(func() {
				if accepted {
					connected(workerGen)
				} else {
					failed()
				}
			})
		})
	})
}

// sendRequest sends the request of a posting, whose connection is up.
func (s *scheduler) sendRequest(p *posting) {
	p.requestSent = true
	s.sim.auditor.Posted(s.sim.now, s.name, p.txn.ref, p.no, p.worker.Name, p.worker.Zone, p.worker.Cell)
	// The request arrives even if the posting is abandoned meanwhile; the worker then works in vain.
	s.sim.net.send(s.part(), p.worker.part(), always, func() { p.worker.receive(p) })
}

// probe checks whether a worker answers, on a new connection.
func (s *scheduler) probe(workerID string) {
	w := s.sim.discovery.byName[workerID]
	s.sim.result.Fleet.Probes++
	gen, reported := s.generation, false
	report := func(outcome balance.Outcome, l balance.Load) {
		if !reported && s.generation == gen && s.alive {
			reported = true
			s.decider.Probed(s.clock(), workerID, outcome, l)
			s.runDecisions()
		}
	}
	wanted := func() bool { return !reported && s.generation == gen }
	s.dial(w, wanted, func(workerGen int) {
		s.sim.after(2*float64(s.sim.plan.Schedulers.Dial), func() { report(balance.TimedOut, balance.NoLoad) })
		s.sim.net.send(s.part(), w.part(), wanted, func() {
			outcome := balance.Done
			if !w.up || w.generation != workerGen {
				outcome = balance.Reset
			}
			if !w.unresponsive && !w.model.Paused {
				l := w.load()
				s.sim.net.send(w.part(), s.part(), wanted, func() { report(outcome, l) })
			}
		})
	}, func() { report(balance.NoConnect, balance.NoLoad) })
}

// beginStop begins a planned stop: open txns must end by stopBy, and the front stops sending clients after a moment.
func (s *scheduler) beginStop() {
	if !s.alive || s.stopping {
		return
	}
	s.stopping, s.stopBegan = true, s.sim.now
	longestExpiry := 0.0
	for _, c := range s.sim.plan.Schemes {
		longestExpiry = max(longestExpiry, float64(c.Expiry))
	}
	s.stopBy = s.sim.now + max(min(longestExpiry, float64(s.sim.plan.Schedulers.StopFor)), stopLeastMs)
	for _, ref := range sortedRefs(s.txns) {
		txn := s.txns[ref]
		txn.until = min(txn.until, s.stopBy)
		s.scheduleExpiry(txn)
	}
	s.decider.StopAt(s.clock() + s.stopBy - s.sim.now)
	gen := s.generation
	s.sim.after(frontNoticeMs+frontNoticeMs*load.Rand(s.sim.seed, s.name+"front").Float64(), func() {
		s.inService = s.inService && s.generation != gen
	})
	s.sim.after(stopLeastMs, func() {
		if s.generation == gen {
			s.runDecisions()
		}
	})
	s.sim.at(s.stopBy+stopOverrunMs, func() {
		if s.generation == gen && s.alive {
			s.endProcess(false)
		}
	})
	s.runDecisions()
}

// endStopIfDone ends the process of a planned stop when all txns are closed, after stopLeastMs at the earliest.
func (s *scheduler) endStopIfDone() {
	if !s.stopping || s.sim.now < s.stopBegan+stopLeastMs {
		return
	}
	for _, txn := range s.txns {
		if !txn.closed {
			return
		}
	}
	s.endProcess(false)
}

// endProcess ends the process: the connections of its clients break, and workers see theirs closed.
func (s *scheduler) endProcess(killed bool) {
	if !s.alive {
		return
	}
	s.alive = false
	s.sim.auditor.SchedulerEnded(s.sim.now, s.name, killed)
	for _, ref := range sortedRefs(s.txns) {
		txn := s.txns[ref]
		attempt := txn.attempt
		if !txn.closed {
			s.sim.after(s.sim.net.delay(), func() { s.sim.endAttempt(attempt, load.Broken, 0) })
		}
		for _, p := range txn.postings {
			if !p.ended && p.requestSent {
				s.closePostingConn(p)
			} else {
				p.arrive()
			}
			p.ended = true
		}
	}
	s.generation++
	s.txns = nil
	gen := s.generation
	s.sim.after(float64(s.sim.plan.Clients.FrontLag), func() {
		if s.generation == gen {
			s.inService = false
		}
	})
	if s.restartWhenStopped {
		s.restartWhenStopped = false
		s.sim.after(stopRestartMs, s.startIfDead)
	}
}

// sortedRefs returns the references of txns in order.
func sortedRefs(m map[string]*openTxn) []string {
	refs := make([]string, 0, len(m))
	for ref := range m {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// applyFault begins or ends a fault of this scheduler.
func (s *scheduler) applyFault(a script.Action) {
	switch {
	case a.Fault == "kill" && a.Begin, a.Fault == "clock" && a.Begin:
		s.endProcess(true)
		if a.Fault == "clock" {
			s.clockSkew += a.Factor
			s.sim.after(clockRestartMs, s.startIfDead)
		}
	case a.Fault == "clock":
		s.clockSkew -= a.Factor
		s.endProcess(true)
		s.sim.after(clockRestartMs, s.startIfDead)
	case a.Fault == "mute" && a.Begin:
		if s.conn != nil && s.conn.watching {
			s.sim.discovery.silence(s.conn)
		}
	case a.Fault == "unwatch" && a.Begin:
		if s.conn != nil {
			s.conn.reset = s.conn.watching
			s.sim.discovery.endConnection(s.conn, watch.Rejected)
		}
	case a.Fault == "move" && a.Begin:
		s.sim.discovery.changeAddress(s)
	case a.Fault == "kill":
		s.startIfDead()
	case a.Fault == "stop" && a.Begin:
		s.beginStop()
	case a.Fault == "stop":
		// A scheduler whose stop has not ended yet starts again when it has.
		if s.restartWhenStopped = s.alive && s.stopping; !s.restartWhenStopped {
			s.startIfDead()
		}
	}
}

// startIfDead starts a process unless one runs.
func (s *scheduler) startIfDead() {
	if !s.alive {
		s.startProcess()
	}
}

// resetConnections resets a random share of the connections to a worker that carry a posting, and all idle ones.
func (sim *simulation) resetConnections(w *worker, a script.Action) {
	r := load.Rand(a.Seed, "reset")
	for _, s := range sim.schedulers {
		for _, ref := range sortedRefs(s.txns) {
			txn := s.txns[ref]
			if txn == nil {
				continue
			}
			for _, p := range slices.Clone(txn.postings) {
				if p.worker == w && !p.ended && p.requestSent && r.Float64() < a.Factor {
					s.closePostingConn(p)
					s.postingEnded(p, balance.Reset, balance.NoLoad)
				}
			}
		}
		delete(s.idleConns, w.no)
	}
}
