// Package eventloop runs the callbacks of sockets, timers and functions from other goroutines one after another on a single
// goroutine, with epoll. What it owns needs no locks.
//
// Every system call that it makes may fail for a moment (see errors.go). Such a failure neither ends the loop nor a connection:
// the call is made again, at once where the kernel says when, else after a short wait. Only an error that tells the end of a
// connection ends that connection.
package eventloop

import (
	"container/heap"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize      = 64 << 10 // bytes taken from a socket in one turn
	eventsPerTurn = 128
	retryDelay    = 5 * time.Millisecond  // between two tries of a call that failed for want of a resource
	heldUp        = 10 * time.Millisecond // by so much no call comes back late, unless the process stood still
	longestTurn   = time.Second           // a wake-up that got lost is made good after this
)

// Handler is told of what happens, on the loop's goroutine.
type Handler interface {
	// Accepted takes a connection that a client made to a listener.
	Accepted(c Conn, from *Listener)
	// Opened takes a connection that was dialled, or handed to Adopt.
	Opened(c Conn)
	// Traffic comes when bytes have been read; they wait in the connection.
	Traffic(c Conn)
	// Closed comes once, when a connection has ended. err is nil where Close was called, and wraps io.EOF where the other side
	// ended its sending. The descriptor is still open, and what waits to be sent is tried once more after the call.
	Closed(c Conn, err error)
	// Datagram takes a packet; its bytes are good until it returns.
	Datagram(from netip.AddrPort, packet []byte)
}

// Loop is an event loop. Its methods are for its own goroutine, but for Execute and those before Run.
type Loop struct {
	handler  Handler
	epoll    int
	wake     int // an eventfd, written to by Execute
	watched  map[int]source
	buffer   []byte
	timers   timers
	failures map[Failure]uint64
	stopping bool
	turn     uint64
	returned time.Time // when epoll last told what is ready
	quiet    time.Time // what is ready in this turn, and was not in the last one, came no sooner
	waited   bool      // epoll had to wait before this turn, so that nothing was ready before

	mu       sync.Mutex
	tasks    []func()
	signaled bool // a write to wake is on its way
	released bool // wake is closed
}

// source is what a watched descriptor belongs to.
type source interface {
	ready(events uint32) // what epoll reported
}

// New makes a loop.
func New(handler Handler) (*Loop, error) {
	l := &Loop{handler: handler, epoll: -1, wake: -1, watched: map[int]source{}, buffer: make([]byte, readSize),
		failures: map[Failure]uint64{}}
	err := persist(func() (err error) {
		l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("epoll_create: %w", err)
	}
	err = persist(func() (err error) {
		l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
		return err
	})
	if err == nil {
		err = persist(func() error { return l.control(unix.EPOLL_CTL_ADD, l.wake, unix.EPOLLIN) })
	}
	if err != nil {
		l.release()
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l.watched[l.wake] = waker{l}
	return l, nil
}

// Run serves until Stop. It then closes all connections and listeners.
func (l *Loop) Run() error {
	defer l.release()
	events := make([]unix.EpollEvent, eventsPerTurn)
	l.returned = time.Now()
	for !l.stopping {
		n, err := l.wait(events)
		// Any signal ends the wait with EINTR, which is no failure.
		if err != nil && err != unix.EINTR && l.failed("epoll_wait", err) == fatal {
			return fmt.Errorf("epoll_wait: %w", err)
		}
		for i := 0; i < n && !l.stopping; i++ {
			if s, ok := l.watched[int(events[i].Fd)]; ok { // else it was closed earlier in this turn
				s.ready(events[i].Events)
			}
		}
		l.runTimers()
		l.runTasks()
	}
	return nil
}

// wait begins a turn: it asks epoll what is ready, and waits where nothing is. It notes since when that may have been so.
func (l *Loop) wait(events []unix.EpollEvent) (n int, err error) {
	l.turn++
	l.waited = false
	if n, err = unix.EpollWait(l.epoll, events, 0); n != 0 {
		l.quiet, l.returned = l.returned, time.Now() // it may have come while the last turn ran
		return n, err
	}
	patience := l.patience()
	l.waited = true
	called := time.Now()
	n, err = unix.EpollWait(l.epoll, events, patience)
	l.returned = time.Now()
	if l.quiet = l.returned; l.returned.Sub(called) > time.Duration(patience)*time.Millisecond+heldUp {
		l.quiet = called // the process stood still, and it may have come at any time since
	}
	return n, err
}

// Stop ends Run after the callback that calls it.
func (l *Loop) Stop() { l.stopping = true }

// Execute runs f on the loop soon, from any goroutine.
func (l *Loop) Execute(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks = append(l.tasks, f); l.signaled || l.released {
		return
	}
	one := []byte{1, 0, 0, 0, 0, 0, 0, 0}
	_, err := unix.Write(l.wake, one)
	for err == unix.EINTR {
		_, err = unix.Write(l.wake, one)
	}
	l.signaled = err == nil || err == unix.EAGAIN // EAGAIN: it is full of signals already
}

func (l *Loop) runTasks() {
	l.mu.Lock()
	tasks := l.tasks
	l.tasks = nil
	l.mu.Unlock()
	for i, f := range tasks {
		if l.stopping {
			return
		}
		tasks[i] = nil
		f()
	}
}

// waker takes the signals of Execute.
type waker struct{ l *Loop }

func (w waker) ready(uint32) {
	var count [8]byte
	if _, err := unix.Read(w.l.wake, count[:]); err != nil && err != unix.EAGAIN {
		w.l.failed("read", err)
		return // the signal stays, and comes again in the next turn
	}
	w.l.mu.Lock()
	w.l.signaled = false
	w.l.mu.Unlock()
}

// ---- timers ----

// Timer is a function that waits for its time.
type Timer struct {
	at   time.Time
	f    func()
	slot int // its place in the heap, -1 once it has run or was stopped
	l    *Loop
}

// After runs f once, when d has passed on the monotonic clock.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{at: time.Now().Add(d), f: f, l: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop keeps a timer that has not run from running.
func (t *Timer) Stop() {
	if t != nil && t.slot >= 0 {
		heap.Remove(&t.l.timers, t.slot)
	}
}

// patience is how many milliseconds epoll may wait.
func (l *Loop) patience() int {
	wait := longestTurn
	if len(l.timers) > 0 {
		wait = min(wait, max(time.Until(l.timers[0].at), 0))
	}
	return int((wait + time.Millisecond - 1) / time.Millisecond)
}

func (l *Loop) runTimers() {
	if len(l.timers) == 0 {
		return
	}
	for now := time.Now(); !l.stopping && len(l.timers) > 0 && !l.timers[0].at.After(now); {
		heap.Pop(&l.timers).(*Timer).f()
	}
}

// timers is a heap, the next one first.
type timers []*Timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].slot, t[j].slot = i, j
}

func (t *timers) Push(x any) {
	timer := x.(*Timer)
	timer.slot = len(*t)
	*t = append(*t, timer)
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	timer.slot = -1
	return timer
}

// ---- epoll ----

func (l *Loop) control(operation, fd int, events uint32) error {
	return unix.EpollCtl(l.epoll, operation, fd, &unix.EpollEvent{Fd: int32(fd), Events: events})
}

// interest is what epoll reports of one descriptor. A change that fails is made later.
type interest struct {
	l      *Loop
	fd     int
	in     bool   // epoll knows the descriptor
	events uint32 // that it reports
	want   uint32 // that it is to report
	retry  *Timer
	turn   uint64    // when there last was something to read, or epoll was first asked for it
	since  time.Time // the earliest that this may have come
}

// readable notes that there is something to read.
func (i *interest) readable() {
	if i.l.waited || i.turn+1 != i.l.turn { // epoll was asked in between, and knew of nothing
		i.since = i.l.quiet
	}
	i.turn = i.l.turn
}

func (i *interest) set(events uint32) {
	if i.want = events; i.retry == nil {
		i.apply()
	}
}

func (i *interest) apply() {
	if i.retry = nil; i.in && i.events == i.want {
		return
	}
	operation := unix.EPOLL_CTL_ADD
	if i.in {
		operation = unix.EPOLL_CTL_MOD
	}
	if err := i.l.control(operation, i.fd, i.want); err != nil {
		i.l.failed("epoll_ctl", err)
		i.retry = i.l.After(retryDelay, i.apply)
		return
	}
	if i.want&^i.events&unix.EPOLLIN != 0 {
		i.turn = i.l.turn
	}
	i.in, i.events = true, i.want
}

// close closes the descriptor. Epoll has to forget it first: a copy may live on in another process, and would go on being
// reported.
func (i *interest) close() {
	i.retry.Stop()
	if i.in {
		if err := i.l.control(unix.EPOLL_CTL_DEL, i.fd, 0); err != nil {
			if r := i.l.failed("epoll_ctl", err); r == retryLater && !i.l.stopping {
				i.retry = i.l.After(retryDelay, i.close)
				return
			}
		}
		i.in = false
	}
	// After EINTR, as after any error, the descriptor is closed on Linux.
	if err := unix.Close(i.fd); err != nil {
		i.l.failed("close", err)
	}
}

// release closes all that the loop holds.
func (l *Loop) release() {
	l.stopping = true
	for _, s := range l.watched {
		if c, ok := s.(*conn); ok {
			c.Close()
		}
	}
	for _, s := range l.watched {
		switch s := s.(type) {
		case *Listener:
			s.close()
		case *dialer:
			s.hangUp()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	for _, fd := range []int{l.wake, l.epoll} {
		if fd >= 0 {
			_ = unix.Close(fd)
		}
	}
}
