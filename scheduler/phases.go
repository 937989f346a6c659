// Package scheduler is a scheduler on sockets: it takes txns from clients over HTTP, posts them to workers
// and answers. Every choice of where and when is balance's; this package only carries out what it decides.
// All of it runs on one event loop, which owns the module and all state, so there are no locks. It has a file
// a job: node (what a scheduler is told), phases (this one), clients, request (what one says), pool (connections to workers),
// roster (discovery), peers (datagrams among schedulers), ops and metrics (the second address), fleet (owners' calls there),
// handover, pass and records (two processes of one scheduler), clock, and drive, which pulls the module's decisions.
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

type phase int

const (
	starting phase = iota
	serving
	draining // told to stop: what still comes is taken, and all is answered
	stopped
)

func (p phase) String() string { return [...]string{"starting", "serving", "draining", "stopped"}[p] }

const (
	// A planned stop has this long from its signal at the most, or as long as the longest expiry if less.
	maxDrainMs = 3000.0
	// Connections still come for a while after the signal: the front learns of it late.
	drainLeast = 700.0
	// How long a system call may fail for the moment before a start gives up.
	startTimeout = 4 * time.Second
	// How long the last answers may take to be written out.
	flushTimeoutMs = 300.0
)

// Scheduler is one scheduler on sockets.
type Scheduler struct {
	node *Node
	log  *log.Logger

	phase             phase
	loop              *eventloop.Loop
	clientsAt         *eventloop.Listener
	ready             chan struct{} // closed once there is a loop, or Run has ended without one
	clock             clock
	systemDescriptors uint64 // that the system lets the process have
	drainDeadline     float64
	drained           float64 // when the drain began
	began             float64 // when it began to take clients

	clients clients
	pool    pool
	roster  roster
	peers   peers
	ops     ops
	drive   drive
	metrics metrics

	handover handover
}

// New returns a scheduler for this node, which logs its phases and faults.
func New(n *Node, l *log.Logger) *Scheduler {
	s := &Scheduler{node: n, log: l, ready: make(chan struct{}), clock: newClock(),
		systemDescriptors: descriptorLimit()}
	s.handover.init(s)
	s.drive.init(s, balance.New(n.told.Terms))
	s.clients.init(s)
	s.pool.init(s)
	s.roster.init(s)
	s.peers.init(s)
	s.ops.init(s)
	s.metrics.init(s)
	return s
}

func (s *Scheduler) now() float64 { return s.clock.now() }

// Run serves until ctx is done and what was taken is answered.
func (s *Scheduler) Run(ctx context.Context) error {
	lim := s.node.Limits
	if lim.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(lim.Cores)), 1))
	}
	if planted("never-ready") {
		<-ctx.Done()
		return nil
	}
	if n := s.sockets(); n < minSockets {
		return fmt.Errorf("limits: the system lets the process have %d descriptors, and %d are the fewest to serve with", n,
			minSockets)
	}
	s.handover.join()
	s.handover.applyLimits()
	s.ops.askAgent()
	defer func() {
		if s.loop == nil {
			close(s.ready) // nobody waits for a loop that there never was
		}
	}()
	stop := context.AfterFunc(ctx, func() { s.onLoop(s.drain) })
	defer stop()
	if err := s.listen(); err != nil {
		return err
	}
	return s.serve()
}

// serve runs the loop until all is done.
func (s *Scheduler) serve() error {
	close(s.ready)
	// The loop runs on this goroutine, and nothing that comes may be seen to before the service has begun.
	s.beginServing()
	s.pull()
	if err := s.loop.Run(); err != nil {
		return s.loopEndedEarly(err)
	}
	if s.phase != stopped {
		return s.loopEndedEarly(errors.New("it was stopped"))
	}
	return nil
}

// listen makes the loop and all that others reach this process at.
func (s *Scheduler) listen() error {
	if s.handover.others == 0 {
		// Listeners share their address with another process of this scheduler, and so would do with any other program.
		if err := transient.Retry(startTimeout, transient.Error, func() error { return checkAddressFree(s.node.Listen) }); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	loop, err := eventloop.New(s)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if s.clientsAt, err = loop.ListenTCP(s.node.Listen); err == nil && s.node.PeerListen != "" {
		s.peers.at, err = loop.ListenUDP(s.node.PeerListen)
	}
	if err == nil && s.node.Mgmt != "" {
		s.ops.listener, err = loop.ListenTCP(s.node.Mgmt)
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.loop = loop
	s.handover.removeSteering()
	s.log.Printf("msg=listening name=%s addr=%s peer_addr=%s mgmt_addr=%s", s.node.Name, addrOf(s.clientsAt), addrOf(s.peers.at),
		addrOf(s.ops.listener))
	return nil
}

// free tells whether an address can be had by one alone.
func checkAddressFree(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return l.Close()
}

// addrOf is where a listener is reached, empty where there is none.
func addrOf(l *eventloop.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// endedEarly says what was open when the event loop ended though nobody told it to.
func (s *Scheduler) loopEndedEarly(err error) error {
	s.log.Printf("msg=loop state=ended phase=%s requests=%d clients=%d err=%q", s.phase, len(s.drive.txns), len(s.clients.all), err)
	return fmt.Errorf("the event loop ended while %s: %w", s.phase, err)
}

// onLoop runs f on the event loop, from any goroutine. Once the loop has ended there is nothing left to do.
func (s *Scheduler) onLoop(f func()) {
	if <-s.ready; s.loop == nil {
		return
	}
	s.loop.Execute(func() {
		f()
		s.pull()
	})
}

func (s *Scheduler) setPhase(p phase) {
	s.log.Printf("msg=phase from=%s to=%s", s.phase, p)
	s.phase = p
}

// begin starts serving.
func (s *Scheduler) beginServing() {
	s.began = s.now()
	s.roster.begin()
	s.setPhase(serving)
	s.handover.markServing()
	if planted("crashes-later") {
		time.AfterFunc(4*time.Second, func() { os.Exit(3) })
	}
}

// drain begins a planned stop. The module hears of the end, as each txn then has less time than its expiry.
func (s *Scheduler) drain() {
	if s.phase >= draining || planted("ignores-term") {
		return
	}
	s.setPhase(draining)
	longestMs := 0.0
	for _, row := range s.node.told.Terms.Schemes {
		longestMs = max(longestMs, row.Expiry)
	}
	s.drained = s.now()
	for _, t := range s.drive.txns {
		longestMs = max(longestMs, t.until-s.drained) // of a scheme that is no more, or had another expiry
	}
	s.drainDeadline = s.drained + max(min(longestMs, maxDrainMs), drainLeast)
	s.handover.beginDrain()
	s.applyDrainDeadline()
}

// hurry ends all that is open by the drain's end, once. What can still pass to another process keeps its time.
func (s *Scheduler) applyDrainDeadline() {
	if s.handover.successorFD == 0 && s.drive.stopAt > s.drainDeadline {
		s.drive.shorten(s.drainDeadline)
	}
}

// Reload takes a new configuration, from any goroutine: the settings and discovery's address, all or nothing
// of it. Open txns keep the rules they came under; what waits for a restart is logged by its key and stays as
// it was.
func (s *Scheduler) Reload(n *Node) {
	s.onLoop(func() {
		merged, kept, err := s.node.reloaded(n)
		if err != nil {
			s.log.Printf("msg=reload state=refused err=%q", err)
			return
		}
		s.node = merged
		s.drive.mod.Retune(merged.told.Terms)
		s.log.Printf("msg=reload state=taken discovery=%s schemes=%s kept=%s", n.Discovery,
			strings.Join(merged.told.Schemes, ","), cmp.Or(strings.Join(kept, ","), "none"))
		s.roster.move(n.Discovery)
	})
}

// parting tells whether clients' connections end with their next answer: in the last third of a drain. Till
// then those that clients have serve them as ever, since the other schedulers may be down too, as in a
// release. Where another process has taken over they part at once, unless they pass to it.
func (s *Scheduler) closesAfterAnswer(now float64) bool {
	return s.phase == draining && s.handover.successorFD == 0 &&
		(s.handover.hasSuccessor || now > s.drainDeadline-(s.drainDeadline-s.drained)/3)
}

// leaving tells whether idle ones are closed. A client may be about to use one, so that comes late.
func (s *Scheduler) closesIdle(now float64) bool {
	return s.closesAfterAnswer(now) && now > s.drained+drainLeast
}

// settle ends a drain once all is answered and written and no usual client is left, or its time is over.
func (s *Scheduler) settle(now float64) {
	if s.phase != draining || now < s.drained+drainLeast {
		return
	}
	if len(s.drive.txns) == 0 && !s.clients.hasPending() && !s.hasUnaccepted() || now >= s.drainDeadline+flushTimeoutMs {
		s.setPhase(stopped)
	}
}

// knocked tells whether connections wait at the clients' address that the loop has not taken: the process's end would
// reset them, and their machine has taken them and what they bring.
func (s *Scheduler) hasUnaccepted() bool {
	info, err := unix.GetsockoptTCPInfo(s.clientsAt.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.Unacked > 0 // of a socket that listens, what waits to be taken
}

// pull carries out what the module decides after an event, and ends the loop once all is done.
func (s *Scheduler) pull() {
	if s.phase != stopped {
		s.handover.look()
		s.drive.pull()
	}
	if s.phase == stopped {
		s.loop.Stop()
	}
}

// connection is what the loop's callbacks are for: a client's, a worker's or discovery's.
type connection interface {
	opened(eventloop.Conn)
	traffic(eventloop.Conn)
	closed(eventloop.Conn, error)
}

// Accepted takes a connection that came to one of the listeners.
func (s *Scheduler) Accepted(c eventloop.Conn, from *eventloop.Listener) {
	s.handover.look()
	if from == s.ops.listener {
		s.ops.accept(c)
	} else {
		s.clients.accept(c)
	}
	s.pull()
}

// Opened takes a connection that was dialled by the pool or the roster, or passed on by another process.
func (s *Scheduler) Opened(c eventloop.Conn) {
	s.handover.look()
	c.Context().(connection).opened(c)
	s.pull()
}

// Traffic takes bytes.
func (s *Scheduler) Traffic(c eventloop.Conn) {
	s.handover.look()
	c.Context().(connection).traffic(c)
	s.pull()
}

// Closed takes the end of a connection, by either side. That comes first: nothing may be done with it any more, as looking for
// what can be passed on might.
func (s *Scheduler) Closed(c eventloop.Conn, err error) {
	if x, ok := c.Context().(connection); ok {
		x.closed(c, err)
	}
	s.pull()
}

// Datagram takes a message of a peer.
func (s *Scheduler) Datagram(from netip.AddrPort, packet []byte) {
	s.handover.look()
	s.peers.hear(from, packet)
	s.pull()
}
