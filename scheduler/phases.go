// Package scheduler runs a scheduler on sockets: it takes txns from clients over HTTP, posts them to workers and answers.
// Package balance, here called the module, decides when and to which worker a txn is posted; this package only carries out
// its decisions. All of it runs on one event loop, which owns the module and all state, so there are no locks.
//
// The files: node (configuration), phases (start, drain and stop; this one), clients (connections of clients), request
// (reading a client's request), pool (connections to workers), roster (watching discovery), peers (datagrams among
// schedulers), ops and metrics (the management address), fleet (calls there by owners of the fleet), handover, transfer and
// records (hot restart: two processes of one scheduler), clock, and driver (carrying out the module's decisions).
package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/scheduler/eventloop"
	"shalebeam/scheduler/transient"
)

// phase is a stage of the scheduler's life. Its names go into answers and logs.
type phase int

const (
	starting phase = iota
	serving
	draining // told to stop: requests that still arrive are taken, and all are answered
	stopped
)

func (p phase) String() string { return [...]string{"starting", "serving", "draining", "stopped"}[p] }

const (
	// The longest duration of a drain, in ms; it is shorter if all expiries are.
	maxDrainMs = 3000.0
	// The shortest duration of a drain, in ms: clients still connect for a while, as the front load balancer learns of the drain
	// late.
	minDrainMs = 700.0
	// How long a system call of the start is repeated after transient errors.
	startTimeout = 4 * time.Second
	// How long after the drain's deadline the last answers may still be written, in ms.
	flushTimeoutMs = 300.0
)

// Scheduler is one scheduler on sockets.
type Scheduler struct {
	node *Node
	log  *log.Logger

	phase             phase
	loop              *eventloop.Loop
	clientListener    *eventloop.Listener
	ready             chan struct{} // closed once loop is set, or Run has ended without one
	clock             clock
	systemDescriptors uint64  // the system's limit on the process's descriptors; see descriptorLimit
	drainDeadline     float64 // when all txns must have ended, in ms
	drainStart        float64 // when the drain began, in ms
	servingSince      float64 // when the scheduler began to serve clients, in ms

	clients clients
	pool    pool
	roster  roster
	peers   peers
	ops     ops
	driver  driver
	metrics metrics

	requestIDs requestIDs
	news       news

	handover handover
}

// New returns a scheduler for this node, which logs its phases and faults to l.
func New(n *Node, l *log.Logger) *Scheduler {
	s := &Scheduler{node: n, log: l, ready: make(chan struct{}), clock: newClock(),
		systemDescriptors: descriptorLimit()}
	s.handover.init(s)
	s.driver.init(s, balance.New(n.decoded.Terms))
	s.clients.init(s)
	s.pool.init(s)
	s.roster.init(s)
	s.peers.init(s)
	s.ops.init(s)
	s.metrics.init(s)
	s.requestIDs.init(s)
	s.news.init(s)
	return s
}

// now returns the time in ms; see clock.
func (s *Scheduler) now() float64 { return s.clock.now() }

// Run serves until ctx is done and all requests that were taken are answered.
func (s *Scheduler) Run(ctx context.Context) error {
	lim := s.node.Limits
	if lim.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(lim.Cores)), 1))
	}
	if faultInjected("never-ready") {
		<-ctx.Done()
		return nil
	}
	if n := s.maxDescriptors(); n < minSockets {
		return fmt.Errorf("limits: the system lets the process have %d descriptors, expected at least %d", n, minSockets)
	}
	s.handover.join()
	s.handover.applyLimits()
	s.ops.askAgent()
	defer func() {
		if s.loop == nil {
			close(s.ready) // so that nothing waits for a loop that was never made
		}
	}()
	stop := context.AfterFunc(ctx, func() { s.onLoop(s.drain) })
	defer stop()
	if err := s.listen(); err != nil {
		return err
	}
	return s.serve()
}

// serve runs the loop until the scheduler has stopped.
func (s *Scheduler) serve() error {
	close(s.ready)
	// No event may be handled before beginServing has run. The loop handles events on this goroutine, and only below.
	s.beginServing()
	s.afterEvent()
	if err := s.loop.Run(); err != nil {
		return s.loopEndedEarly(err)
	}
	if s.phase != stopped {
		return s.loopEndedEarly(errors.New("stopped before the end of the drain"))
	}
	return nil
}

// listen makes the loop and its listeners, for clients, peers and management.
func (s *Scheduler) listen() error {
	if s.handover.otherProcesses == 0 {
		// The listeners set SO_REUSEPORT for another process of this scheduler. That would also let them share the address with any
		// other program that sets it, so make sure first that the address is free.
		if err := transient.Retry(startTimeout, transient.IsTransient, func() error {
			return checkAddressFree(s.node.Listen)
		}); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	loop, err := eventloop.New(s)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if s.clientListener, err = loop.ListenTCP(s.node.Listen); err == nil && s.node.PeerListen != "" {
		s.peers.listener, err = loop.ListenUDP(s.node.PeerListen)
	}
	if err == nil && s.node.Mgmt != "" {
		s.ops.listener, err = loop.ListenTCP(s.node.Mgmt)
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.loop = loop
	s.handover.removeSteering()
	s.log.Printf("msg=listening name=%s addr=%s peer_addr=%s mgmt_addr=%s", s.node.Name,
		listenerAddr(s.clientListener), listenerAddr(s.peers.listener), listenerAddr(s.ops.listener))
	return nil
}

// checkAddressFree returns an error if another program listens on a TCP address.
func checkAddressFree(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return l.Close()
}

// listenerAddr returns a listener's address, or "" for nil.
func listenerAddr(l *eventloop.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// loopEndedEarly logs what was open when the event loop ended without being told to, and returns the error for it.
func (s *Scheduler) loopEndedEarly(err error) error {
	s.log.Printf("msg=loop state=ended phase=%s requests=%d clients=%d err=%q", s.phase, len(s.driver.txns),
		len(s.clients.all), err)
	return fmt.Errorf("the event loop ended while %s: %w", s.phase, err)
}

// onLoop runs f on the event loop, and may be called from any goroutine. It waits until the loop is made. If the loop has
// ended or was never made, f is not run.
func (s *Scheduler) onLoop(f func()) {
	if <-s.ready; s.loop == nil {
		return
	}
	s.loop.Execute(func() {
		f()
		s.afterEvent()
	})
}

// setPhase changes the phase and logs the change.
func (s *Scheduler) setPhase(p phase) {
	s.log.Printf("msg=phase from=%s to=%s", s.phase, p)
	s.phase = p
}

// beginServing starts the watch of discovery and begins to serve clients.
func (s *Scheduler) beginServing() {
	s.servingSince = s.now()
	s.roster.begin()
	s.setPhase(serving)
	s.handover.markServing()
	if faultInjected("crashes-later") {
		time.AfterFunc(4*time.Second, func() { os.Exit(3) })
	}
}

// drain begins a graceful shutdown. The module is told the deadline (see applyDrainDeadline), as a txn may then have less time
// than its expiry.
func (s *Scheduler) drain() {
	if s.phase >= draining || faultInjected("ignores-term") {
		return
	}
	s.setPhase(draining)
	longestMs := 0.0
	for _, row := range s.node.decoded.Terms.Schemes {
		longestMs = max(longestMs, row.Expiry)
	}
	s.drainStart = s.now()
	for _, t := range s.driver.txns {
		longestMs = max(longestMs, t.deadline-s.drainStart) // its scheme may have been removed, or have had another expiry
	}
	s.drainDeadline = s.drainStart + max(min(longestMs, maxDrainMs), minDrainMs)
	s.handover.beginDrain()
	s.applyDrainDeadline()
}

// applyDrainDeadline limits the time of all open txns to the drain's deadline, once. While connections can still be
// transferred to a successor, txns keep their time.
func (s *Scheduler) applyDrainDeadline() {
	if s.handover.successorFD == 0 && s.driver.stopAt > s.drainDeadline {
		s.driver.capDeadlines(s.drainDeadline)
	}
}

// Reload applies a new configuration, and may be called from any goroutine. It applies all settings that may change while the
// scheduler runs, and discovery's address, or none of them if the configuration is refused. Open txns keep the rules under
// which they arrived. Keys that differ and need a restart keep their values and are logged.
func (s *Scheduler) Reload(n *Node) {
	s.onLoop(func() {
		merged, kept, err := s.node.reloaded(n)
		if err != nil {
			s.log.Printf("msg=reload state=refused err=%q", err)
			return
		}
		s.node = merged
		s.driver.module.Retune(merged.decoded.Terms)
		s.log.Printf("msg=reload state=taken discovery=%s schemes=%s kept=%s", n.Discovery,
			strings.Join(merged.decoded.Schemes, ","), cmp.Or(strings.Join(kept, ","), "none"))
		s.roster.retune(n.Discovery)
	})
}

// closesAfterAnswer tells whether clients' connections are closed after their next answer: in the last third of a drain.
// Until then clients may go on using them, since the other schedulers may be down too, as in a release. If there is a
// successor they are closed with the next answer at once, unless they are being transferred to it.
func (s *Scheduler) closesAfterAnswer(now float64) bool {
	return s.phase == draining && s.handover.successorFD == 0 &&
		(s.handover.hasSuccessor || now > s.drainDeadline-(s.drainDeadline-s.drainStart)/3)
}

// closesIdle tells whether idle connections of clients are closed. A client may be about to use one, so this is done late, not
// before minDrainMs.
func (s *Scheduler) closesIdle(now float64) bool {
	return s.closesAfterAnswer(now) && now > s.drainStart+minDrainMs
}

// stopIfDrained ends a drain once all requests are answered, the answers written, and no client with an answered txn is
// connected, or flushTimeoutMs after the drain's deadline.
func (s *Scheduler) stopIfDrained(now float64) {
	if s.phase != draining || now < s.drainStart+minDrainMs {
		return
	}
	if len(s.driver.txns) == 0 && !s.clients.hasPending() && !s.hasUnaccepted() || now >= s.drainDeadline+flushTimeoutMs {
		s.setPhase(stopped)
	}
}

// hasUnaccepted tells whether connections wait in the clients' accept queue: the process's end would reset them, though the
// kernel has completed their handshakes and acknowledged their bytes.
func (s *Scheduler) hasUnaccepted() bool {
	info, err := unix.GetsockoptTCPInfo(s.clientListener.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.Unacked > 0 // for a listening socket this is the length of the accept queue
}

// afterEvent carries out what the module decides after an event, and ends the loop once the scheduler has stopped. It is called
// after each callback of the event loop, each failed dial, each function run by onLoop, and when the driver's timer fires.
func (s *Scheduler) afterEvent() {
	if s.phase != stopped {
		s.handover.refresh()
		s.driver.executeDecisions()
	}
	if s.phase == stopped {
		s.loop.Stop()
	}
}

// connection receives the events of one of the loop's connections: to a client, a worker, discovery, or a caller of the
// management address.
type connection interface {
	opened(eventloop.Conn)
	traffic(eventloop.Conn)
	closed(eventloop.Conn, error)
}

// Accepted handles a connection that arrived at one of the listeners.
func (s *Scheduler) Accepted(c eventloop.Conn, from *eventloop.Listener) {
	s.handover.refresh()
	if from == s.ops.listener {
		s.ops.accept(c)
	} else {
		s.clients.accept(c)
	}
	s.afterEvent()
}

// Opened handles a connection that was dialled by the pool or the roster, or taken over from another process.
func (s *Scheduler) Opened(c eventloop.Conn) {
	s.handover.refresh()
	c.Context().(connection).opened(c)
	s.afterEvent()
}

// DataReceived handles bytes that arrived on a connection.
func (s *Scheduler) DataReceived(c eventloop.Conn) {
	s.handover.refresh()
	c.Context().(connection).traffic(c)
	s.afterEvent()
}

// Closed handles the end of a connection, by either side. Unlike the other callbacks it calls handover.refresh only afterwards
// (in afterEvent), which might otherwise transfer the connection though it has ended.
func (s *Scheduler) Closed(c eventloop.Conn, err error) {
	if x, ok := c.Context().(connection); ok {
		x.closed(c, err)
	}
	s.afterEvent()
}

// Datagram handles a message of a peer.
func (s *Scheduler) Datagram(from netip.AddrPort, packet []byte) {
	s.handover.refresh()
	s.peers.receive(from, packet)
	s.afterEvent()
}
