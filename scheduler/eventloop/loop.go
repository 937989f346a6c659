// Package eventloop is an event loop on epoll. It runs the callbacks of sockets and timers, and functions handed in by other
// goroutines, one after another on a single goroutine, so that state that only these use needs no locks.
//
// Any system call that it makes may fail transiently (see errors.go). Such a failure ends neither the loop nor a connection: the
// call is repeated, as soon as epoll reports that it may succeed or, where epoll does not, after a short wait. Only an error that
// says that a connection has ended closes that connection.
package eventloop

import (
	"container/heap"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes       = 64 << 10 // the most that is read from a socket in one iteration
	maxEventsPerIteration = 128
	retryDelay            = 5 * time.Millisecond  // between two tries of a call that failed for want of a resource
	stallThreshold        = 10 * time.Millisecond // an epoll_wait this late after its timeout means a stopped process
	maxEpollWait          = time.Second           // bounds the delay of a task whose wake-up through the eventfd was lost
)

// Handler receives the events of a loop, on the loop's goroutine.
type Handler interface {
	// Accepted is called with a connection that a listener accepted.
	Accepted(c Conn, from *Listener)
	// Opened is called with a connection that was dialled, or handed to Adopt.
	Opened(c Conn)
	// DataReceived is called when bytes have been read; c.Peek returns them.
	DataReceived(c Conn)
	// Closed is called once, when a connection is closed. err is nil if Close was called, and wraps io.EOF if the other side
	// closed its sending direction. The descriptor is still open during the call. If err is nil, one more write of the buffered
	// bytes is tried after it.
	Closed(c Conn, err error)
	// Datagram is called with a datagram; packet is valid until the call returns.
	Datagram(from netip.AddrPort, packet []byte)
}

// Loop is an event loop. Its methods may be called on its own goroutine only, except for Execute, and for any of them before Run.
type Loop struct {
	handler       Handler
	epollFD       int
	wakeFD        int                 // an eventfd, to which Execute writes so that epoll_wait returns
	sources       map[int]eventSource // by descriptor
	buffer        []byte              // of readBufferBytes, shared by all reads
	timers        timers
	failures      map[FailedCall]uint64
	stopping      bool
	iteration     uint64    // counts the iterations of Run
	epollReturned time.Time // when epoll_wait last returned
	// The last iteration before this one in which epoll_wait had room for all descriptors that were ready, and when it returned then.
	completeIteration uint64
	completeAt        time.Time
	batchComplete     bool      // epoll_wait had room for all in this iteration
	earliestReady     time.Time // descriptors that were not ready in completeIteration became so no earlier than this
	epollWaited       bool      // nothing was ready at the start of this iteration, so that epoll_wait had to wait

	mu                sync.Mutex
	tasks             []func()
	wakePending       bool // wakeFD was written to and not read since
	descriptorsClosed bool // wakeFD and epollFD may not be used any more
}

// eventSource is the owner of a descriptor that epoll watches: a connection, a dialer, a listener or the loop's eventfd.
type eventSource interface {
	handleEvents(events uint32) // a set of EPOLLIN and the like, as epoll reported it
}

// New creates a loop; Run runs it.
func New(handler Handler) (*Loop, error) {
	l := &Loop{handler: handler, epollFD: -1, wakeFD: -1, sources: map[int]eventSource{}, buffer: make([]byte, readBufferBytes),
		failures: map[FailedCall]uint64{}}
	err := retryAtStart(func() (err error) {
		l.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("epoll_create: %w", err)
	}
	err = retryAtStart(func() (err error) {
		l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
		return err
	})
	if err == nil {
		err = retryAtStart(func() error { return l.epollCtl(unix.EPOLL_CTL_ADD, l.wakeFD, unix.EPOLLIN) })
	}
	if err != nil {
		l.closeAll()
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l.sources[l.wakeFD] = wakeSource{l}
	return l, nil
}

// Run runs the loop until Stop, and then closes all connections and listeners.
func (l *Loop) Run() error {
	defer l.closeAll()
	events := make([]unix.EpollEvent, maxEventsPerIteration)
	l.epollReturned, l.batchComplete = time.Now(), true
	for !l.stopping {
		n, err := l.wait(events)
		// Any signal ends the wait with EINTR, which is no failure.
		if err != nil && err != unix.EINTR && l.recordFailure("epoll_wait", err) == programError {
			return fmt.Errorf("epoll_wait: %w", err)
		}
		for i := 0; i < n && !l.stopping; i++ {
			if s, ok := l.sources[int(events[i].Fd)]; ok { // else it was closed earlier in this iteration
				s.handleEvents(events[i].Events)
			}
		}
		l.runTimers()
		l.runTasks()
		// The collector's worker is a goroutine: on a single core a loop that always has events would hold it up for milliseconds.
		runtime.Gosched()
	}
	return nil
}

// wait begins an iteration: it asks epoll which descriptors are ready, and waits if none is. It records in earliestReady since
// when they may have been ready.
func (l *Loop) wait(events []unix.EpollEvent) (n int, err error) {
	if l.batchComplete {
		l.completeIteration, l.completeAt = l.iteration, l.epollReturned
	}
	l.iteration++
	l.epollWaited = false
	if n, err = unix.EpollWait(l.epollFD, events, 0); n != 0 {
		l.batchComplete = err == nil && n < len(events)
		l.earliestReady, l.epollReturned = l.completeAt, time.Now() // they may be ready since any time after that
		return n, err
	}
	timeoutMs := l.epollTimeoutMs()
	l.epollWaited = true
	called := time.Now()
	n, err = unix.EpollWait(l.epollFD, events, timeoutMs)
	l.batchComplete = err == nil && n < len(events)
	l.epollReturned = time.Now()
	if l.earliestReady = l.epollReturned; l.epollReturned.Sub(called) > time.Duration(timeoutMs)*time.Millisecond+stallThreshold {
		l.earliestReady = called // the process was stopped, and they may have become ready at any time since the call
	}
	return n, err
}

// Iteration is the number of the loop's present iteration, from 1. Each begins with the events that epoll reports.
func (l *Loop) Iteration() uint64 { return l.iteration }

// Stop has Run return after the callback that calls Stop.
func (l *Loop) Stop() { l.stopping = true }

// Execute has the loop's goroutine run f soon. It may be called from any goroutine; after the end of Run, f is not run.
func (l *Loop) Execute(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks = append(l.tasks, f); l.wakePending || l.descriptorsClosed {
		return
	}
	one := []byte{1, 0, 0, 0, 0, 0, 0, 0}
	_, err := unix.Write(l.wakeFD, one)
	for err == unix.EINTR {
		_, err = unix.Write(l.wakeFD, one)
	}
	l.wakePending = err == nil || err == unix.EAGAIN // EAGAIN: the eventfd's counter is full, so it is readable already
}

// runTasks runs the functions handed in by Execute, in order.
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

// wakeSource reads the eventfd to which Execute writes.
type wakeSource struct{ loop *Loop }

func (w wakeSource) handleEvents(uint32) {
	var count [8]byte
	if _, err := unix.Read(w.loop.wakeFD, count[:]); err != nil && err != unix.EAGAIN {
		w.loop.recordFailure("read", err)
		return // the eventfd stays readable, and epoll reports it again in the next iteration
	}
	w.loop.mu.Lock()
	w.loop.wakePending = false
	w.loop.mu.Unlock()
}

// ---- timers ----

// Timer is a function that is to run at a given time.
type Timer struct {
	due       time.Time
	callback  func()
	heapIndex int // in Loop.timers; -1 once it has run or was stopped
	loop      *Loop
}

// After runs f once, when d has passed on the monotonic clock.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{due: time.Now().Add(d), callback: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels a timer. It does nothing on a nil timer, or on one that has run or was stopped.
func (t *Timer) Stop() {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(&t.loop.timers, t.heapIndex)
	}
}

// epollTimeoutMs returns how long epoll_wait may wait, in milliseconds: until the next timer is due, and no longer than
// maxEpollWait.
func (l *Loop) epollTimeoutMs() int {
	wait := maxEpollWait
	if len(l.timers) > 0 {
		wait = min(wait, max(time.Until(l.timers[0].due), 0))
	}
	return int((wait + time.Millisecond - 1) / time.Millisecond)
}

// runTimers runs the timers that are due.
func (l *Loop) runTimers() {
	if len(l.timers) == 0 {
		return
	}
	for now := time.Now(); !l.stopping && len(l.timers) > 0 && !l.timers[0].due.After(now); {
		heap.Pop(&l.timers).(*Timer).callback()
	}
}

// timers is a container/heap ordered by due time.
type timers []*Timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

func (t *timers) Push(x any) {
	timer := x.(*Timer)
	timer.heapIndex = len(*t)
	*t = append(*t, timer)
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	timer := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	timer.heapIndex = -1
	return timer
}

// ---- epoll ----

func (l *Loop) epollCtl(operation, fd int, events uint32) error {
	return unix.EpollCtl(l.epollFD, operation, fd, &unix.EpollEvent{Fd: int32(fd), Events: events})
}

// interest is one descriptor's entry in epoll's interest list. A change of it that fails is retried.
type interest struct {
	loop              *Loop
	fd                int
	registered        bool      // epoll has the descriptor
	applied           uint32    // the events that epoll reports
	wanted            uint32    // the events that epoll is to report
	retry             *Timer    // of a change or a close that failed; nil if none is pending
	readableIteration uint64    // the loop's iteration in which the descriptor was last readable, or EPOLLIN was set
	earliestArrival   time.Time // the earliest time at which the bytes or connections to be read may have arrived
}

// readable records that the descriptor is readable in this iteration.
func (i *interest) readable() {
	// Epoll did not report the descriptor when it last reported all, so what is to be read arrived after that.
	if i.loop.epollWaited || i.readableIteration < i.loop.completeIteration {
		i.earliestArrival = i.loop.earliestReady
	}
	i.readableIteration = i.loop.iteration
}

// set changes the events that epoll reports, at once unless a retry is pending, which then applies the newest.
func (i *interest) set(events uint32) {
	if i.wanted = events; i.retry == nil {
		i.apply()
	}
}

// apply passes the wanted events to epoll, and tries again after retryDelay if that fails.
func (i *interest) apply() {
	if i.retry = nil; i.registered && i.applied == i.wanted {
		return
	}
	operation := unix.EPOLL_CTL_ADD
	if i.registered {
		operation = unix.EPOLL_CTL_MOD
	}
	if err := i.loop.epollCtl(operation, i.fd, i.wanted); err != nil {
		i.loop.recordFailure("epoll_ctl", err)
		i.retry = i.loop.After(retryDelay, i.apply)
		return
	}
	if i.wanted&^i.applied&unix.EPOLLIN != 0 {
		i.readableIteration = i.loop.iteration
	}
	i.registered, i.applied = true, i.wanted
}

// close closes the descriptor. It is removed from epoll first: another process may hold a copy of it, which epoll would go on
// reporting.
func (i *interest) close() {
	i.retry.Stop()
	if i.registered {
		if err := i.loop.epollCtl(unix.EPOLL_CTL_DEL, i.fd, 0); err != nil {
			if r := i.loop.recordFailure("epoll_ctl", err); r == retryLater && !i.loop.stopping {
				i.retry = i.loop.After(retryDelay, i.close)
				return
			}
		}
		i.registered = false
	}
	// After EINTR, as after any error, the descriptor is closed on Linux.
	if err := unix.Close(i.fd); err != nil {
		i.loop.recordFailure("close", err)
	}
}

// closeAll closes all connections, listeners, dialers and the loop's own descriptors.
func (l *Loop) closeAll() {
	l.stopping = true
	for _, s := range l.sources {
		if c, ok := s.(*conn); ok {
			c.Close()
		}
	}
	for _, s := range l.sources {
		switch s := s.(type) {
		case *Listener:
			s.close()
		case *dialer:
			s.closeSocket()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.descriptorsClosed = true
	for _, fd := range []int{l.wakeFD, l.epollFD} {
		if fd >= 0 {
			_ = unix.Close(fd)
		}
	}
}
