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
	mayCold   = 0 // it may send to cold workers
	mayWhole  = 1 // it may use more than its part of the limits
	mayWrite  = 2 // it writes the file of who is out
	isServing = 1 << 32
	isHere    = 2 << 32
	kindSize  = 1 << 32
)

const (
	lookEvery = 20.0   // in company: so old may be what a process knows of who is out, for any posting it makes
	tellFor   = 40.0   // hence a yes waits so long
	makeRoom  = 2000   // ms for the other to make room; it does within a sweep, and ready is due in 6 s
	roomEvery = 10     // ms
	giveFor   = 1000.0 // a message that is half read or written by then stays, and has two seconds more
	passFor   = 50.0   // what waited in this one's queue before says nothing of the place
	// A question about a lock that fails for the moment is asked again so often.
	lockRepeats = 20
	keptOut     = 300e3 // for so long it is kept when a worker was put back: longer than any is cold
)

// handover is what one process knows of others of its scheduler.
type handover struct {
	s      *Scheduler
	lock   *os.File // nil: there is no such file, and so no company
	path   string   // of the file of who is out
	number int64
	others int     // processes beside this one
	heir   bool    // one of them takes clients, and this one drains
	cold   bool    // this one may send to cold workers
	whole  bool    // and use all of the limits
	lookAt float64 // when to look for others, or whether the file has changed
	seen   os.FileInfo
	place  uint32            // of the address's group, where clients are sent to
	passed float64           // when that was last told
	from   *net.UnixListener // where another one passes on what it has open; nil: none can
	to     int               // where this one does; 0: nowhere
	giving bool              // give is at work
	gave   int               // connections of clients passed on, and txns taken
	got    int
}

func (h *handover) init(s *Scheduler) {
	*h = handover{s: s, cold: true, whole: true}
}

// enter makes this process known, and waits till another one has made room. An address whose port is to be
// any is shared with nobody.
func (h *handover) enter() {
	if _, port, _ := net.SplitHostPort(h.s.node.Listen); port == "0" {
		return
	}
	base := filepath.Join(os.TempDir(), "shalebeam-"+strings.NewReplacer(":", "-", "[", "", "]", "").Replace(
		h.s.node.Listen))
	err := transient.Retry(startFor/2, transient.FileError, func() (err error) {
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
	for h.number = int64(os.Getpid()); !h.take(isHere + h.number); h.number++ {
		if h.number > int64(os.Getpid())+9 {
			h.s.log.Printf("msg=handover state=off err=%q", "no lock is to be had on "+h.lock.Name())
			h.lock.Close()
			h.lock = nil
			return
		}
	}
	h.cold, h.whole = h.take(mayCold), h.take(mayWhole)
	h.others = h.count(isHere)
	for range makeRoom / roomEvery {
		if h.whole || h.others == 0 || !h.taken(mayWhole) {
			break
		}
		time.Sleep(roomEvery * time.Millisecond)
	}
	if h.others > 0 {
		h.s.log.Printf("msg=handover state=company others=%d room=%t", h.others, !h.taken(mayWhole))
	}
	if h.whole = h.whole && h.others == 0; h.others > 0 {
		h.await()
	}
	if !h.cold {
		h.s.drive.mod.Yields()
	}
	h.read()
}

// serves makes it known that this process takes clients.
func (h *handover) serves() {
	if h.lock != nil {
		h.take(isServing + h.number)
	}
}

// take takes the lock on one byte, and tells whether it got it.
func (h *handover) take(at int64) bool { return h.set(at, unix.F_WRLCK) }

func (h *handover) drop(at int64) { h.set(at, unix.F_UNLCK) }

func (h *handover) set(at int64, kind int16) bool {
	return h.control(unix.F_OFD_SETLK, &unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: at, Len: 1}) == nil
}

// control asks the kernel about locks, again where it was interrupted or short of memory: a lock that is not seen is a process
// that is not seen.
func (h *handover) control(command int, l *unix.Flock_t) (err error) {
	for range lockRepeats {
		asked := *l
		if err = unix.FcntlFlock(h.lock.Fd(), command, &asked); err == nil {
			*l = asked
			return nil
		}
		if err == unix.EAGAIN || err == unix.EACCES || !transient.FileError(err) {
			return err // another process has it
		}
	}
	return err
}

// other finds the first byte in a range that another process has locked.
func (h *handover) other(from, to int64) (at int64, ok bool) {
	l := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: from, Len: to - from}
	if err := h.control(unix.F_OFD_GETLK, &l); err != nil || l.Type == unix.F_UNLCK {
		return 0, false
	}
	return max(l.Start, from), true
}

func (h *handover) taken(at int64) bool {
	_, ok := h.other(at, at+1)
	return ok
}

// count is how many other processes have a byte of this kind.
func (h *handover) count(kind int64) (n int) {
	for at, ok := h.other(kind, kind+kindSize); ok; at, ok = h.other(at+1, kind+kindSize) {
		n++
	}
	return n
}

// part is what this process may have of a limit.
func (h *handover) part(limit int) int {
	if h.whole {
		return limit
	}
	return limit / (1 + max(h.others, 1))
}

// sweep looks for others. It comes now and then, and often in company.
func (h *handover) sweep(now float64) {
	if h.lock == nil {
		return
	}
	if n := h.count(isHere); n != h.others {
		h.s.log.Printf("msg=handover state=company others=%d", n)
		h.others = n
		h.bound()
		if n == 0 && h.from != nil {
			h.s.log.Printf("msg=handover state=alone txns_taken=%d", h.got)
			h.from.Close()
			h.from = nil
		}
	}
	if h.others > 0 && h.whole {
		h.whole = false
		h.bound()
	}
	switch {
	case h.others > 0:
		// The other one waits for this before it begins.
		if h.s.held() <= h.s.sockets() {
			h.drop(mayWhole)
		}
	case !h.whole && h.take(mayWhole):
		h.whole = true
		h.bound()
	}
	if h.s.phase == draining {
		if heir := h.count(isServing) > 0; heir && !h.heir {
			h.s.log.Printf("msg=handover state=passed")
			h.heir = true
			h.s.drive.mod.Yields()
			h.cold = false
			h.drop(mayCold)
			h.pass()
			h.reach()
		}
		if h.give(); h.to != 0 && now > h.s.drained+giveFor {
			h.hangUp()
		}
		h.s.hurry()
	} else if !h.cold && h.take(mayCold) {
		h.cold = true
		h.s.drive.mod.Leads(now)
	}
}

// wake is when to try again to pass on what could not be.
func (h *handover) wake() float64 {
	if h.to == 0 {
		return math.Inf(1)
	}
	return h.lookAt
}

// bound fits all that is bounded to this process's part of the limits.
func (h *handover) bound() {
	s := h.s
	s.clients.bound()
	s.pool.bound()
	if mb := s.node.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(h.part(mb<<20)) / 4 * 3)
	}
}

// held is about how many descriptors this process holds.
func (s *Scheduler) held() int {
	return ownSockets + len(s.clients.all) + len(s.pool.conns) + s.pool.dials
}

// drains takes that this process takes no more clients than come by themselves.
func (h *handover) drains() {
	if h.lock != nil {
		h.drop(isServing + h.number)
		h.sweep(h.s.now())
	}
}

// pass has new connections, and messages of peers, go to another process's queue: by a program of one line
// that names a place in the address's group. What waits in this one's queue is still taken. Which place is
// another's is not told, so one that brings something here is followed by the next; one that is not there
// leaves the choice to the kernel.
func (h *handover) pass() {
	h.place, h.passed = (h.place+1)%uint32(h.others+2), h.s.now()
	h.steer(h.s.clientsAt)
	if h.s.peers.at != nil {
		h.steer(h.s.peers.at)
	}
}

func (h *handover) steer(at *eventloop.Listener) {
	give := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: h.place}
	err := unix.SetsockoptSockFprog(at.Fd(), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: 1, Filter: &give})
	if err != nil {
		h.s.log.Printf("msg=handover state=shared addr=%s err=%q", at.Addr(), err)
	}
}

// unsteer removes what a process that has drained may have left: it may name any place.
func (h *handover) unsteer() {
	if h.others > 0 {
		_ = unix.SetsockoptInt(h.s.clientsAt.Fd(), unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) // there may be none
	}
}

// came takes that a client has connected, or a peer's message has come.
func (h *handover) came() {
	if h.heir && h.s.now() > h.passed+passFor {
		h.pass()
	}
}

// settles is how long a yes has to wait: till no process posts by what was known before.
func (h *handover) settles() time.Duration {
	if h.lock == nil || h.count(isHere) == 0 {
		return 0
	}
	return time.Duration(tellFor * float64(time.Millisecond))
}
