package scheduler

import (
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/scheduler/eventloop"
	"shalebeam/scheduler/transient"
)

// A new version is started while the old one serves. Both are one scheduler to the rules and to the
// platform's limits, and share the clients' address, a queue each. What they know of each other are locks on
// a file in $TMPDIR, which the kernel frees with their process, and a second file that says who is out.

// The bytes that are locked. Each process has one of the last two kinds, by its number.
const (
	lockColdWorkers = 0 // it may send to cold workers
	lockFullLimits  = 1 // it may use more than its part of the limits
	mayWrite        = 2 // it writes the file of who is out
	servingLocks    = 1 << 32
	processLocks    = 2 << 32
	lockRangeSize   = 1 << 32
)

const (
	lookEvery           = 20.0   // in company: so old may be what a process knows of who is out, for any posting it makes
	recordPropagationMs = 40.0   // hence a yes waits so long
	roomTimeoutMs       = 2000   // ms for the other to make room; it does within a sweep, and ready is due in 6 s
	roomPollMs          = 10     // ms
	transferTimeoutMs   = 1000.0 // a message that is half read or written by then stays, and has two seconds more
	steerSettleMs       = 50.0   // what waited in this one's queue before says nothing of the place
	// A question about a lock that fails for the moment is asked again so often.
	lockAttempts = 20
	keptOut      = 300e3 // for so long it is kept when a worker was put back: longer than any is cold
)

// handover is what one process knows of others of its scheduler.
type handover struct {
	s                *Scheduler
	lock             *os.File // nil: there is no such file, and so no company
	path             string   // of the file of who is out
	processNumber    int64
	others           int     // processes beside this one
	hasSuccessor     bool    // one of them takes clients, and this one drains
	mayUseCold       bool    // this one may send to cold workers
	mayUseFullLimits bool    // and use all of the limits
	lookAt           float64 // when to look for others, or whether the file has changed
	seen             os.FileInfo
	steerIndex       uint32            // of the address's group, where clients are sent to
	steeredAt        float64           // when that was last told
	transferListener *net.UnixListener // where another one passes on what it has open; nil: none can
	successorFD      int               // where this one does; 0: nowhere
	transferring     bool              // give is at work
	clientsSent      int               // connections of clients passed on, and txns taken
	txnsReceived     int
}

func (h *handover) init(s *Scheduler) {
	*h = handover{s: s, mayUseCold: true, mayUseFullLimits: true}
}

// enter makes this process known, and waits till another one has made room. An address whose port is to be
// any is shared with nobody.
func (h *handover) join() {
	if _, port, _ := net.SplitHostPort(h.s.node.Listen); port == "0" {
		return
	}
	base := filepath.Join(os.TempDir(), "shalebeam-"+strings.NewReplacer(":", "-", "[", "", "]", "").Replace(
		h.s.node.Listen))
	err := transient.Retry(startTimeout/2, transient.FileError, func() (err error) {
		h.lock, err = os.OpenFile(base+".lock", os.O_RDWR|os.O_CREATE, 0o600)
		return err
	})
	if err != nil {
		h.lock = nil
		h.s.log.Printf("msg=handover state=off err=%q", err)
		return
	}
	h.path = base + ".out"
	// Another one's number may be the same where it counts processes on its own.
	for h.processNumber = int64(os.Getpid()); !h.take(processLocks + h.processNumber); h.processNumber++ {
		if h.processNumber > int64(os.Getpid())+9 {
			h.s.log.Printf("msg=handover state=off err=%q", "no lock is to be had on "+h.lock.Name())
			h.lock.Close()
			h.lock = nil
			return
		}
	}
	h.mayUseCold, h.mayUseFullLimits = h.take(lockColdWorkers), h.take(lockFullLimits)
	h.others = h.countOthers(processLocks)
	for range roomTimeoutMs / roomPollMs {
		if h.mayUseFullLimits || h.others == 0 || !h.isLockedByOther(lockFullLimits) {
			break
		}
		time.Sleep(roomPollMs * time.Millisecond)
	}
	if h.others > 0 {
		h.s.log.Printf("msg=handover state=company others=%d room=%t", h.others, !h.isLockedByOther(lockFullLimits))
	}
	if h.mayUseFullLimits = h.mayUseFullLimits && h.others == 0; h.others > 0 {
		h.listenForTransfers()
	}
	if !h.mayUseCold {
		h.s.drive.mod.Yields()
	}
	h.read()
}

// serves makes it known that this process takes clients.
func (h *handover) markServing() {
	if h.lock != nil {
		h.take(servingLocks + h.processNumber)
	}
}

// take takes the lock on one byte, and tells whether it got it.
func (h *handover) take(at int64) bool { return h.setLock(at, unix.F_WRLCK) }

func (h *handover) drop(at int64) { h.setLock(at, unix.F_UNLCK) }

func (h *handover) setLock(at int64, kind int16) bool {
	return h.fcntlLock(unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: at, Len: 1}) == nil
}

// control asks the kernel about locks, again where it was interrupted or short of memory: a lock that is not seen is a process
// that is not seen.
func (h *handover) fcntlLock(command int, lock *unix.Flock_t) (err error) {
	for range lockAttempts {
		asked := *lock
		if err = unix.FcntlFlock(h.lock.Fd(), command, &asked); err == nil {
			*lock = asked
			return nil
		}
		if err == unix.EAGAIN || err == unix.EACCES || !transient.FileError(err) {
			return err // another process has it
		}
	}
	return err
}

// other finds the first byte in a range that another process has locked.
func (h *handover) firstLockedByOther(from, to int64) (at int64, ok bool) {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: from, Len: to - from}
	if err := h.fcntlLock(unix.F_OFD_GETLK, &lock); err != nil || lock.Type == unix.F_UNLCK {
		return 0, false
	}
	return max(lock.Start, from), true
}

func (h *handover) isLockedByOther(at int64) bool {
	_, ok := h.firstLockedByOther(at, at+1)
	return ok
}

// count is how many other processes have a byte of this kind.
func (h *handover) countOthers(kind int64) (n int) {
	for at, ok := h.firstLockedByOther(kind, kind+lockRangeSize); ok; at, ok = h.firstLockedByOther(at+1, kind+lockRangeSize) {
		n++
	}
	return n
}

// part is what this process may have of a limit.
func (h *handover) limitShare(limit int) int {
	if h.mayUseFullLimits {
		return limit
	}
	return limit / (1 + max(h.others, 1))
}

// sweep looks for others. It comes now and then, and often in company.
func (h *handover) sweep(now float64) {
	if h.lock == nil {
		return
	}
	if n := h.countOthers(processLocks); n != h.others {
		h.s.log.Printf("msg=handover state=company others=%d", n)
		h.others = n
		h.applyLimits()
		if n == 0 && h.transferListener != nil {
			h.s.log.Printf("msg=handover state=alone txns_taken=%d", h.txnsReceived)
			h.transferListener.Close()
			h.transferListener = nil
		}
	}
	if h.others > 0 && h.mayUseFullLimits {
		h.mayUseFullLimits = false
		h.applyLimits()
	}
	switch {
	case h.others > 0:
		// The other one waits for this before it begins.
		if h.s.heldDescriptors() <= h.s.sockets() {
			h.drop(lockFullLimits)
		}
	case !h.mayUseFullLimits && h.take(lockFullLimits):
		h.mayUseFullLimits = true
		h.applyLimits()
	}
	if h.s.phase == draining {
		if hasSuccessor := h.countOthers(servingLocks) > 0; hasSuccessor && !h.hasSuccessor {
			h.s.log.Printf("msg=handover state=passed")
			h.hasSuccessor = true
			h.s.drive.mod.Yields()
			h.mayUseCold = false
			h.drop(lockColdWorkers)
			h.steerToNext()
			h.connectSuccessor()
		}
		if h.transferClients(); h.successorFD != 0 && now > h.s.drained+transferTimeoutMs {
			h.disconnectSuccessor()
		}
		h.s.applyDrainDeadline()
	} else if !h.mayUseCold && h.take(lockColdWorkers) {
		h.mayUseCold = true
		h.s.drive.mod.Leads(now)
	}
}

// wake is when to try again to pass on what could not be.
func (h *handover) wake() float64 {
	if h.successorFD == 0 {
		return math.Inf(1)
	}
	return h.lookAt
}

// bound fits all that is bounded to this process's part of the limits.
func (h *handover) applyLimits() {
	s := h.s
	s.clients.applyLimits()
	s.pool.bound()
	if mb := s.node.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(h.limitShare(mb<<20)) / 4 * 3)
	}
}

// held is about how many descriptors this process holds.
func (s *Scheduler) heldDescriptors() int {
	return ownSockets + len(s.clients.all) + len(s.pool.conns) + s.pool.dials
}

// drains takes that this process takes no more clients than come by themselves.
func (h *handover) beginDrain() {
	if h.lock != nil {
		h.drop(servingLocks + h.processNumber)
		h.sweep(h.s.now())
	}
}

// pass has new connections, and messages of peers, go to another process's queue: by a program of one line
// that names a place in the address's group. What waits in this one's queue is still taken. Which place is
// another's is not told, so one that brings something here is followed by the next; one that is not there
// leaves the choice to the kernel.
func (h *handover) steerToNext() {
	h.steerIndex, h.steeredAt = (h.steerIndex+1)%uint32(h.others+2), h.s.now()
	h.steerListener(h.s.clientsAt)
	if h.s.peers.at != nil {
		h.steerListener(h.s.peers.at)
	}
}

func (h *handover) steerListener(listener *eventloop.Listener) {
	program := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: h.steerIndex}
	err := unix.SetsockoptSockFprog(listener.Fd(), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: 1, Filter: &program})
	if err != nil {
		h.s.log.Printf("msg=handover state=shared addr=%s err=%q", listener.Addr(), err)
	}
}

// unsteer removes what a process that has drained may have left: it may name any place.
func (h *handover) removeSteering() {
	if h.others > 0 {
		_ = unix.SetsockoptInt(h.s.clientsAt.Fd(), unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) // there may be none
	}
}

// came takes that a client has connected, or a peer's message has come.
func (h *handover) came() {
	if h.hasSuccessor && h.s.now() > h.steeredAt+steerSettleMs {
		h.steerToNext()
	}
}

// settles is how long a yes has to wait: till no process posts by what was known before.
func (h *handover) successDelay() time.Duration {
	if h.lock == nil || h.countOthers(processLocks) == 0 {
		return 0
	}
	return time.Duration(recordPropagationMs * float64(time.Millisecond))
}
