package live

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"shalebeam/balance"
	"shalebeam/lab/script"
)

// discovery stands in for the discovery service: a list of workers with a version, at a separate address for each scheduler,
// by which it knows who asks. As in the simulation, it handles one call after another at a limited rate.
type discovery struct {
	exp        *experiment
	mu         sync.Mutex
	version    int // of the last change
	log        []workerChange
	byName     map[string]*worker   // all workers
	changed    chan struct{}        // closed and replaced when the list changes and when an outage begins or ends
	down       bool                 // an outage is in force
	deferred   []workerChange       // changes during the outage, applied at its end
	extraLagMs float64              // added by faults to the plan's lag
	busyUntil  time.Time            // when all calls so far will have been handled
	toldStarts []map[string]float64 // by scheduler and worker: the worker's start time that the scheduler was last told
	endpoints  []*endpoint          // by scheduler: where it calls
}

// endpoint is an address at which one scheduler calls discovery.
type endpoint struct {
	server   *http.Server
	listener net.Listener
	former   bool // the scheduler was told of another address
	conns    map[*watchConn]bool
}

// watchConn is a scheduler's connection to an endpoint.
type watchConn struct {
	endpoint         *endpoint
	conn             net.Conn
	watching, muted  bool    // a watch is established; a fault has made it silent without closing the connection
	calledMs, waitMs float64 // of the last call: its time in the run, and the longest wait that it allows
}

// watchConnContextKey is the key of a request's connection in its context.
type watchConnContextKey struct{}

// formerEndpointMs is how long an endpoint goes on answering after its scheduler was told of another one, in ms.
const formerEndpointMs = 1500.0

// workerChange is a change of a worker's entry in the list. startMs is when the worker's process last started, in wall-clock
// ms, 0 where it has run since before the experiment.
type workerChange struct {
	version int
	worker  *worker
	state   balance.State
	startMs float64
}

// init fills the list with all workers that run.
func (d *discovery) init(exp *experiment) {
	*d = discovery{exp: exp, byName: map[string]*worker{}, changed: make(chan struct{}), version: 1,
		endpoints: make([]*endpoint, exp.plan.Schedulers.Count)}
	for range exp.plan.Schedulers.Count {
		d.toldStarts = append(d.toldStarts, map[string]float64{})
	}
	for _, wk := range exp.workers {
		d.byName[wk.Name] = wk
		if wk.running {
			d.log = append(d.log, workerChange{d.version, wk, balance.Running, 0})
		}
	}
	if exp.plan.Discovery.Weights == "live" {
		d.refreshWeights()
	}
}

// refreshWeights announces every running worker again at a regular interval, so that schedulers get its present weight.
func (d *discovery) refreshWeights() {
	d.exp.afterMs(float64(d.exp.plan.Discovery.LiveEach), func() {
		for _, wk := range d.exp.workers {
			wk.mu.Lock()
			running, start := wk.running && !wk.model.Draining, wk.model.Start
			wk.mu.Unlock()
			if running {
				d.addChange(wk, balance.Running, start)
			}
		}
		d.refreshWeights()
	})
}

// addChange applies a change, or defers it to the end of an outage.
func (d *discovery) addChange(wk *worker, state balance.State, start float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		d.deferred = append(d.deferred, workerChange{0, wk, state, start})
		return
	}
	d.applyChangeLocked(wk, state, start)
}

// applyChangeLocked adds a change to the list under a new version and wakes all waiting watches. d.mu is held.
func (d *discovery) applyChangeLocked(wk *worker, state balance.State, start float64) {
	d.version++
	version := d.version
	d.log = append(d.log, workerChange{version, wk, state, start})
	d.exp.recordEvent(func(at float64) { d.exp.auditor.Changed(at, version, wk.Name, state, start) })
	close(d.changed)
	d.changed = make(chan struct{})
}

// announce changes the state in a worker's entry, after the lag of discovery.
func (d *discovery) announce(wk *worker, state balance.State) {
	wk.mu.Lock()
	start := wk.model.Start
	wk.mu.Unlock()
	d.mu.Lock()
	lag := float64(d.exp.plan.Discovery.Lag) + d.extraLagMs
	d.mu.Unlock()
	d.exp.afterMs(lag, func() { d.addChange(wk, state, start) })
}

// wasToldStart tells whether a scheduler was told of a worker's last start.
func (d *discovery) wasToldStart(schedulerNumber int, worker string, start float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.toldStarts[schedulerNumber][worker] == start
}

// healthByState is the value of the health field by the state of a worker.
var healthByState = map[balance.State]string{balance.Running: "in_service", balance.Draining: "terminating",
	balance.Removed: "terminated"}

// entriesLocked returns entries as one scheduler sees them, one for each worker with its last change: those that changed after
// a version or, where whole is true, all of the list, without removed workers. d.mu is held.
func (d *discovery) entriesLocked(schedulerNumber, after int, whole bool) []map[string]any {
	last := map[*worker]workerChange{}
	var order []*worker
	for _, c := range d.log {
		if c.version <= after && !whole {
			continue
		}
		if _, ok := last[c.worker]; !ok {
			order = append(order, c.worker)
		}
		last[c.worker] = c
	}
	rows := []map[string]any{}
	zones, kinds := d.exp.plan.Zones(), d.exp.plan.Kinds()
	for _, wk := range order {
		c := last[wk]
		if whole && c.state == balance.Removed {
			continue
		}
		weight := wk.model.Cores * wk.model.Speed
		if d.exp.plan.Discovery.Weights == "live" {
			wk.mu.Lock()
			weight /= 1 + float64(wk.model.JobCount())/wk.model.Cores
			wk.mu.Unlock()
		}
		rows = append(rows, map[string]any{"host": wk.Name, "dial": wk.addrs[schedulerNumber], "site": zones[wk.Zone],
			"class": kinds[wk.Kind], "block": wk.Cell, "health": healthByState[c.state], "share": weight, "born_ms": c.startMs})
	}
	return rows
}

// initialList returns the whole list as JSON for a scheduler's configuration, and tells the auditor that the scheduler's
// process starts with it.
func (d *discovery) initialList(schedulerNumber int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := d.entriesLocked(schedulerNumber, 0, true)
	d.recordToldLocked(schedulerNumber, rows)
	name, version := d.exp.schedulers[schedulerNumber].processName(), d.version
	d.exp.recordEvent(func(at float64) { d.exp.auditor.ProcessStarted(at, name, version) })
	raw, err := json.Marshal(map[string]any{"seq": d.version, "whole": true, "hosts": rows})
	if err != nil {
		return nil
	}
	return raw
}

// recordToldLocked records that a scheduler is told these entries. d.mu is held.
func (d *discovery) recordToldLocked(schedulerNumber int, rows []map[string]any) {
	states := map[string]balance.State{"in_service": balance.Running, "terminating": balance.Draining,
		"terminated": balance.Removed}
	name := d.exp.schedulers[schedulerNumber].processName()
	for _, r := range rows {
		worker, start, state := r["host"].(string), r["born_ms"].(float64), states[r["health"].(string)]
		d.toldStarts[schedulerNumber][worker] = start
		d.exp.recordEvent(func(at float64) { d.exp.auditor.Listed(at, name, worker, state, start) })
	}
}

// openEndpoint opens an endpoint for a scheduler, in place of its former one if there is any, and returns the address.
func (d *discovery) openEndpoint(schedulerNumber int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	opened := &endpoint{listener: l, conns: map[*watchConn]bool{}}
	opened.server = &http.Server{ErrorLog: discardLog,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, watchConnContextKey{}, &watchConn{endpoint: opened, conn: c})
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(schedulerNumber, w, r) })}
	d.mu.Lock()
	d.endpoints[schedulerNumber] = opened
	d.mu.Unlock()
	go opened.server.Serve(l)
	d.exp.closers = append(d.exp.closers, func() { opened.server.Close() })
	return l.Addr().String(), nil
}

// moveEndpoint gives a scheduler a new address of discovery. The former endpoint accepts no new connections, and goes on
// answering on open ones for formerEndpointMs.
func (d *discovery) moveEndpoint(s *scheduler) {
	d.mu.Lock()
	old := d.endpoints[s.number]
	d.mu.Unlock()
	addr, err := d.openEndpoint(s.number)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.discoveryAddr = addr
	s.mu.Unlock()
	name := s.processName()
	d.exp.recordEvent(func(at float64) { d.exp.auditor.AddressChanged(at, name) })
	d.exp.reload(s)
	old.listener.Close()
	d.mu.Lock()
	old.former = true
	d.mu.Unlock()
	d.exp.afterMs(formerEndpointMs, func() { old.server.Close() })
}

// breakWatch breaks the open watches of a scheduler: either they fall silent, or their connections are closed.
func (d *discovery) breakWatch(s *scheduler, silently bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := s.processName()
	for conn := range d.endpoints[s.number].conns {
		if !conn.watching || conn.muted {
			continue
		}
		if called, wait := conn.calledMs, conn.waitMs; silently {
			conn.muted = true
			d.exp.recordEvent(func(at float64) { d.exp.auditor.WatchSilent(at, name, called, wait) })
		} else {
			conn.conn.Close()
			d.exp.recordEvent(func(float64) { d.exp.auditor.WatchEnded(name) })
		}
	}
}

// waitForTurn waits until all earlier calls have been handled. Each call takes 1/Calls of a second, Calls being the plan's
// rate.
func (d *discovery) waitForTurn() {
	d.mu.Lock()
	perCall := time.Duration(float64(time.Second) / d.exp.plan.Discovery.Calls)
	if now := time.Now(); d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(perCall)
	wait := time.Until(d.busyUntil)
	d.mu.Unlock()
	time.Sleep(wait)
}

// serve answers a scheduler's call for the list. A call with after=VERSION gets the changes since that version, others get the
// whole list. The first call on a connection is answered at once; later ones with a version renew the watch as a long poll,
// which waits up to wait_ms milliseconds for a change.
func (d *discovery) serve(schedulerNumber int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	conn, name := r.Context().Value(watchConnContextKey{}).(*watchConn), d.exp.schedulers[schedulerNumber].processName()
	d.mu.Lock()
	conn.calledMs, conn.waitMs = d.exp.nowMs(), float64(wait)
	renewal := conn.watching
	conn.endpoint.conns[conn] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(conn.endpoint.conns, conn)
		d.mu.Unlock()
	}()
	d.exp.recordEvent(func(at float64) { d.exp.auditor.DiscoveryCalled(at, name, !renewal) })
	if !renewal {
		d.waitForTurn()
	}
	delayed := false // true once the network's delay was waited for
	for {
		for d.exp.isCut(script.Part{Kind: "schedulers", No: schedulerNumber}, script.Part{Kind: "discovery"}) {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
		d.mu.Lock()
		if conn.muted {
			d.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if d.down {
			d.mu.Unlock()
			d.exp.recordEvent(func(float64) { d.exp.auditor.WatchEnded(name) })
			w.Header().Set("Connection", "close")
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if whole || d.version > after || !renewal {
			if !delayed {
				d.mu.Unlock()
				time.Sleep(d.exp.network.drawDelay())
				delayed = true
				continue
			}
			rows, version, former := d.entriesLocked(schedulerNumber, after, whole), d.version, conn.endpoint.former
			d.recordToldLocked(schedulerNumber, rows)
			d.exp.recordEvent(func(float64) { d.exp.auditor.ListWritten(name, version, former) })
			conn.watching = true
			d.mu.Unlock()
			d.reply(w, version, whole, rows)
			return
		}
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			d.mu.Lock()
			muted := conn.muted
			d.mu.Unlock()
			if !muted {
				d.reply(w, after, false, []map[string]any{})
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes entries as the JSON answer to a call.
func (d *discovery) reply(w http.ResponseWriter, version int, whole bool, rows []map[string]any) {
	_ = json.NewEncoder(w).Encode(map[string]any{"seq": version, "whole": whole, "hosts": rows})
}

// isCut tells whether a network cut separates two parts.
func (exp *experiment) isCut(a, b script.Part) bool {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	return exp.isCutLocked(a, b)
}

// applyFault begins or ends a fault of discovery.
func (d *discovery) applyFault(fault script.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch fault.Fault {
	case "lag":
		if fault.Begin {
			d.extraLagMs += fault.Factor
		} else {
			d.extraLagMs -= fault.Factor
		}
	case "down":
		d.down = fault.Begin
		d.exp.recordEvent(func(at float64) { d.exp.auditor.DiscoveryDown(at, fault.Begin) })
		if !fault.Begin {
			for _, c := range d.deferred {
				d.applyChangeLocked(c.worker, c.state, c.startMs)
			}
			d.deferred = nil
		}
		close(d.changed) // wakes waiting watches: at the beginning of an outage they end
		d.changed = make(chan struct{})
	}
}
