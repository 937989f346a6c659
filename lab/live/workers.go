package live

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/lab/machine"
	"shalebeam/lab/plan"
	"shalebeam/lab/script"
)

// worker stands in for a worker: the model that the simulation uses too, behind one real listener for each scheduler.
type worker struct {
	plan.PlacedWorker
	exp              *experiment
	number           int
	addrs            []string // by scheduler
	mu               sync.Mutex
	model            *machine.Machine
	running          bool                                        // its process runs
	vanished         bool                                        // its machine sends nothing, and its connections stay open
	idempotencyKeys  map[balance.DedupGroup]*machine.SharedStore // keys that were carried out, shared with the other workers of each group
	random           *rand.Rand
	timer            *time.Timer // for the model's next step
	postings         map[*machine.Job]*posting
	conns            map[*workerConn]bool
	freeSlotReadings [2]float64 // the last two readings of the free slots, the older one first
	lastReadingMs    float64    // time in the run
	// Shares of its answers, from 0 to 1, that fail, are sent twice, come late, or carry the ID of another txn.
	failedShare, repeatedShare, lateShare, wrongIDShare float64
}

// posting is one posting that a worker received.
type posting struct {
	reference string
	number    int     // among all postings of its txn, in the order in which workers received them
	arrivedMs float64 // time in the run
	isGuest   bool    // its txn is not part of the plan, and the auditor does not know it
	notes     chan machine.Note
}

// workerConn is a scheduler's connection to a worker, which faults may delay or reset.
type workerConn struct {
	*net.TCPConn
	worker          *worker
	schedulerNumber int
	lastReadMicros  atomic.Int64 // when bytes last arrived, in microseconds of the run
}

// Read reads, and then blocks while a network cut is in force. The bytes count as arrived when they were read, before that
// wait. Where this process read them late, as the kernel's statistics of the connection show, the delay is recorded; otherwise
// a posting that was sent before its txn was answered could be taken for one that was sent after it.
func (c *workerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.lastReadMicros.Store(int64(c.worker.exp.nowMs() * 1000))
		c.worker.exp.recordLabDelay(msSinceLastReceive(c.TCPConn))
	}
	c.worker.exp.waitForLink(c)
	return n, err
}

// msSinceLastReceive returns how many ms ago the kernel last received bytes on a connection, 0 where it does not tell.
func msSinceLastReceive(c *net.TCPConn) float64 {
	var ms uint32
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				ms = info.Last_data_recv
			}
		})
	}
	return float64(ms)
}

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// Write blocks while a network cut is in force, and then writes.
func (c *workerConn) Write(p []byte) (int, error) {
	c.worker.exp.waitForLink(c)
	return c.TCPConn.Write(p)
}

// Close closes the connection and removes it from the worker's connections.
func (c *workerConn) Close() error {
	c.worker.mu.Lock()
	delete(c.worker.conns, c)
	c.worker.mu.Unlock()
	return c.TCPConn.Close()
}

// workerListener is a worker's listener for one scheduler.
type workerListener struct {
	net.Listener
	worker          *worker
	schedulerNumber int
}

// Accept accepts a connection. While the worker's process does not run it resets the connection at once, which is as close to
// a refused connection as a listener that must keep its address can get. Connections to a vanished machine stay open.
func (l *workerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &workerConn{TCPConn: accepted.(*net.TCPConn), worker: l.worker, schedulerNumber: l.schedulerNumber}
		l.worker.mu.Lock()
		open := l.worker.running || l.worker.vanished
		if open {
			l.worker.conns[c] = true
		}
		l.worker.mu.Unlock()
		if open {
			return c, nil
		}
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
}

// listen opens a listener for each scheduler and serves its requests.
func (wk *worker) listen() error {
	for i := range wk.exp.plan.Schedulers.Count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		wk.addrs = append(wk.addrs, l.Addr().String())
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { wk.serve(i, w, r) }),
			ErrorLog: discardLog, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connContextKey{}, c)
			}}
		go s.Serve(&workerListener{l, wk, i})
		wk.exp.closers = append(wk.exp.closers, func() { s.Close() })
	}
	return nil
}

// clockMs returns the time of the worker's model, which is wall-clock time in ms.
func (wk *worker) clockMs() float64 { return wk.exp.wallClockMs() }

// serve answers a posting or a probe of a scheduler.
func (wk *worker) serve(schedulerNumber int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		wk.serveProbe(w, r)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	ref := r.Header.Get("Request-Id")
	j := wk.exp.jobByReference(ref)
	isGuest := j == nil && wk.exp.options.ServeUnplanned
	if isGuest {
		j = wk.exp.guestJob(r)
	}
	if err != nil || j == nil {
		http.Error(w, "no such txn", http.StatusBadRequest)
		return
	}
	arrivedMs := float64(r.Context().Value(connContextKey{}).(*workerConn).lastReadMicros.Load()) / 1000
	post := &posting{reference: ref, arrivedMs: arrivedMs, isGuest: isGuest, notes: make(chan machine.Note, 4)}
	if !isGuest {
		post.number = wk.exp.recordPosting(arrivedMs, schedulerNumber, wk, ref)
	}
	time.Sleep(wk.exp.network.drawDelay())
	row := wk.exp.plan.SchemeRow(j.Scheme)
	job := &machine.Job{Ref: ref, Work: j.Work, Slots: j.Slots, Rank: wk.exp.plan.Schemes[j.Scheme].Gain,
		DedupWindowMs: row.Window}
	if row.Effect == balance.Referenced {
		job.IdempotencyKey = r.Header.Get("Idempotency-Key")
	}
	wk.mu.Lock()
	start := wk.model.Start
	wk.mu.Unlock()
	// Called without wk.mu, because discovery's lock must be taken before a worker's.
	job.SenderKnewStart = wk.exp.discovery.wasToldStart(schedulerNumber, wk.Name, start)
	wk.mu.Lock()
	wk.postings[job] = post
	wk.model.IdempotencyKeys = wk.idempotencyKeys[row.Group]
	wk.model.Submit(wk.clockMs(), job)
	wk.deliverNotes()
	wk.mu.Unlock()
	wk.streamStates(w, r, job, post)
}

// streamStates writes a state line for each note of the worker's model, until the last one or until the scheduler closes the
// connection.
func (wk *worker) streamStates(w http.ResponseWriter, r *http.Request, job *machine.Job, post *posting) {
	// The outcome is recorded when the line is written, not when its transit begins: on a network that loses messages the
	// auditor would otherwise count the transit as time in which the scheduler held an answer back.
	send := func(state string, fields map[string]any, outcomes ...balance.Outcome) {
		line := map[string]any{"id": post.reference, "from": wk.Name, "state": state}
		for k, value := range fields {
			line[k] = value
		}
		raw, err := json.Marshal(line)
		if err != nil {
			return
		}
		time.Sleep(wk.exp.network.drawDelay())
		for _, outcome := range outcomes {
			wk.exp.recordPostingEnd(post, outcome, 0)
		}
		_, _ = w.Write(append(raw, '\n'))
		_ = http.NewResponseController(w).Flush()
	}
	for {
		select {
		case note := <-post.notes:
			switch note.Event {
			case machine.Began:
				wk.exp.recordPostingEvent(post, func(at float64) { wk.exp.auditor.Began(at, post.reference, post.number, wk.Name) })
				send("started", nil)
				continue
			case machine.Returned:
				send("returned", wk.loadReport(), balance.Full)
			case machine.Lost:
				if wk.isRunning() {
					send("lost", nil, balance.Reset)
				} else {
					wk.exp.recordPostingEnd(post, balance.Reset, 0)
					panic(http.ErrAbortHandler)
				}
			case machine.Settled:
				wk.sendResult(send, post, note)
			}
			return
		case <-r.Context().Done():
			// The scheduler closed the connection, or the connection broke. The worker sees that later than the scheduler
			// decided it, so the end is recorded earlier, ahead of what the scheduler did next.
			wk.exp.recordPostingEnd(post, balance.Cancelled, hangUpDelayMs)
			wk.mu.Lock()
			delete(wk.postings, job)
			wk.model.Cancel(wk.clockMs(), job)
			wk.deliverNotes()
			wk.mu.Unlock()
			return
		}
	}
}

// hangUpDelayMs is how much later than a scheduler decided it a worker may see the end of a connection, in ms.
const hangUpDelayMs = 20.0

// sendResult sends the result of a posting, wrong in one of the ways that faults ask for.
func (wk *worker) sendResult(send func(string, map[string]any, ...balance.Outcome), post *posting, note machine.Note) {
	wk.mu.Lock()
	failed, repeated, late, wrongID := wk.random.Float64() < wk.failedShare, wk.random.Float64() < wk.repeatedShare,
		wk.random.Float64() < wk.lateShare, wk.random.Float64() < wk.wrongIDShare
	wk.mu.Unlock()
	result := post.reference + " by " + wk.Name
	wk.exp.recordPostingEvent(post, func(at float64) {
		wk.exp.auditor.Ran(at, post.reference, post.number, wk.Name, result, note.Deduplicated)
	})
	fields := wk.loadReport()
	fields["result"] = result
	switch {
	case failed:
		send("failed", nil, balance.Failed)
	case wrongID:
		fields["id"] = "t0-999"
		send("done", fields, balance.Reset)
	default:
		if late {
			time.Sleep(lateAnswerDelay)
		}
		send("done", fields, balance.Done)
		if repeated {
			send("done", fields)
		}
	}
}

// lateAnswerDelay is how long a worker waits with an answer that is to come late.
const lateAnswerDelay = 4 * time.Second

func (wk *worker) isRunning() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.running
}

// loadReport returns the load field of an answer, which reports free slots: a reading that is out of date by at least one
// interval of the plan, with noise. It is empty where this group of workers reports no load.
func (wk *worker) loadReport() map[string]any {
	group := &wk.exp.plan.Workers[wk.Group]
	if group.ReportsEach == 0 {
		return map[string]any{}
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if now := wk.exp.nowMs(); now >= wk.lastReadingMs+float64(group.ReportsEach) {
		wk.lastReadingMs = now
		wk.freeSlotReadings = [2]float64{wk.freeSlotReadings[1], float64(wk.model.Free())}
	}
	free := math.Round(wk.freeSlotReadings[0] + group.Noise*(2*wk.random.Float64()-1))
	return map[string]any{"load": map[string]float64{"x0": max(free, 0)}}
}

// serveProbe answers a scheduler's probe with the present load report.
func (wk *worker) serveProbe(w http.ResponseWriter, r *http.Request) {
	if !wk.exp.plan.Schedulers.Probes {
		http.NotFound(w, r)
		return
	}
	time.Sleep(wk.exp.network.drawDelay())
	if report, ok := wk.loadReport()["load"]; ok {
		_ = json.NewEncoder(w).Encode(report)
	}
}

// deliverNotes passes the notes of the model on to the handlers of their postings, ends the process where the model collapsed
// under load, and sets the timer for the model's next step. wk.mu is held.
func (wk *worker) deliverNotes() {
	collapsed := wk.model.Overloaded && wk.running
	for note, ok := wk.model.NextNote(); ok; note, ok = wk.model.NextNote() {
		if post := wk.postings[note.Job]; post != nil {
			post.notes <- note // never blocks: a posting gets at most one note that it began and one that it ended
			if note.Event != machine.Began {
				delete(wk.postings, note.Job)
			}
		}
	}
	if collapsed {
		share, reason := wk.model.KnowingShare, wk.model.OverloadText
		wk.exp.recordEvent(func(at float64) { wk.exp.auditor.WorkerOverloaded(at, wk.Name, share, reason) })
		wk.stopProcess(false)
		go wk.exp.discovery.announce(wk, balance.Removed)
		wk.exp.afterMs(float64(wk.exp.plan.Cold.Down), wk.restart)
	}
	next := wk.model.Next()
	if math.IsInf(next, 1) || !wk.running {
		return
	}
	wait := time.Duration(max(next-wk.clockMs(), 0) * float64(time.Millisecond))
	if wk.timer == nil {
		wk.timer = time.AfterFunc(wait, func() {
			wk.mu.Lock()
			defer wk.mu.Unlock()
			if wk.running {
				wk.model.Advance(wk.clockMs())
				wk.deliverNotes()
			}
		})
	} else {
		wk.timer.Reset(wait)
	}
}

// stopProcess ends the worker's process. Its connections are reset, or stay open and silent where its machine vanishes. wk.mu
// is held.
func (wk *worker) stopProcess(vanish bool) {
	wk.running, wk.vanished = false, vanish
	if vanish {
		wk.model.Kill(wk.clockMs())
		for _, ok := wk.model.NextNote(); ok; _, ok = wk.model.NextNote() {
		}
		clear(wk.postings)
		return
	}
	wk.model.Kill(wk.clockMs())
	wk.deliverNotes()
	wk.resetConns(1)
}

// resetConns resets a random share, from 0 to 1, of the worker's connections. wk.mu is held.
func (wk *worker) resetConns(share float64) {
	for c := range wk.conns {
		if share < 1 && wk.random.Float64() >= share {
			continue
		}
		delete(wk.conns, c)
		_ = c.SetLinger(0)
		go c.TCPConn.Close()
	}
}

// restart starts the worker's process again, cold.
func (wk *worker) restart() {
	wk.mu.Lock()
	if wk.vanished {
		wk.resetConns(1) // the machine is back and resets the connections that were silent
	}
	wk.model.Restart(wk.clockMs())
	for _, ok := wk.model.NextNote(); ok; _, ok = wk.model.NextNote() {
	}
	wk.running, wk.vanished = true, false
	wk.mu.Unlock()
	wk.exp.discovery.announce(wk, balance.Running)
}

// applyFault begins or ends a fault of this worker.
func (wk *worker) applyFault(fault script.Action) {
	wk.mu.Lock()
	now := wk.clockMs()
	choose := func(duringFault, otherwise float64) float64 {
		if fault.Begin {
			return duringFault
		}
		return otherwise
	}
	startAgain := false
	switch fault.Fault {
	case "kill", "vanish":
		if startAgain = !fault.Begin; fault.Begin {
			wk.stopProcess(fault.Fault == "vanish")
		}
	case "join":
		startAgain = true
	case "drain":
		if startAgain = !fault.Begin; fault.Begin && wk.running {
			wk.model.Drain(now)
			go wk.exp.discovery.announce(wk, balance.Draining)
			start := wk.model.Start
			wk.exp.afterMs(float64(wk.exp.plan.Workers[wk.Group].DrainFor), func() {
				wk.mu.Lock()
				defer wk.mu.Unlock()
				if wk.running && wk.model.Draining && wk.model.Start == start {
					wk.stopProcess(false)
					go wk.exp.discovery.announce(wk, balance.Removed)
				}
			})
		} else if wk.running {
			wk.stopProcess(false)
		}
	case "pause":
		wk.model.ApplyChange(now, func() { wk.model.Paused = fault.Begin })
	case "slow":
		wk.model.ApplyChange(now, func() { wk.model.SpeedFactor = choose(fault.Factor, 1) })
	case "neighbour":
		wk.model.ApplyChange(now, func() { wk.model.NeighbourShare = choose(fault.Factor, 0) })
	case "erring":
		wk.failedShare = choose(fault.Factor, 0)
	case "twice":
		wk.repeatedShare = choose(fault.Factor, 0)
	case "late":
		wk.lateShare = choose(fault.Factor, 0)
	case "other":
		wk.wrongIDShare = choose(fault.Factor, 0)
	case "reset":
		if fault.Begin {
			wk.resetConns(fault.Factor)
		}
	}
	wk.deliverNotes()
	wk.mu.Unlock()
	if startAgain {
		wk.restart()
	}
}
