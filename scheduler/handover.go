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

// Hot restart: a new process of a scheduler is started while the old one serves. The load balancing rules and the platform's
// limits count both as one scheduler. They share the clients' address with SO_REUSEPORT, so each has an accept queue of its
// own. They find each other by locks on a file in $TMPDIR, which the kernel releases when a process ends, and share a second
// file with the workers that staff or the fleet took out of service (see records).

// Offsets of the locked bytes in the lock file. Each process locks a byte of processLocks while it runs, and one of
// servingLocks while it accepts clients, at the offset of its processNumber in these ranges.
const (
	lockColdWorkers = 0 // held by the one process that may send to cold workers
	lockFullLimits  = 1 // held by a process that uses, or did not yet give back, more than its share of the limits
	lockRecordsFile = 2 // held while a process writes the records file
	lockRequestIDs  = 3 // held while a process reads or changes the table of request ids
	lockNews        = 4 // held while a process writes the file of news
	lockUnsharedIDs = 5 // held by a process whose request ids are not in the table of them, as it is or was alone
	servingLocks    = 1 << 32
	processLocks    = 2 << 32
	lockRangeSize   = 1 << 32
)

const (
	// While there are other processes, the records are read again before an event if they were last read longer ago than this, in
	// ms: it bounds the staleness of what a process knows of the workers out of service whenever it posts.
	refreshIntervalMs   = 20.0
	recordPropagationMs = 40.0 // above refreshIntervalMs, so every process has read the change; see successDelay
	// How long a new process waits for the other one to reduce its use of the limits. That takes the other one a sweep, and
	// readiness is due 6 s after the start.
	limitReductionTimeoutMs = 2000
	limitReductionPollMs    = 10
	// How long after the begin of a drain connections are transferred. One that is still in the middle of a message then stays
	// with the draining process, which has 2 s more.
	transferTimeoutMs = 1000.0
	// Connections that arrive within this time after a change of steering may have been queued here before it, and don't tell
	// whether the steering index is this process's own.
	steerSettleMs = 50.0
	lockAttempts  = 20 // of a system call on locks that fails for a transient reason
	// How long, in ms, the record of a worker is kept after the worker was put back: longer than any worker is cold.
	recordRetentionMs = 300e3
)

// handover is what one process knows of the other processes of its scheduler.
type handover struct {
	s                *Scheduler
	lockFile         *os.File    // the lock file; nil: there is none, and other processes are not looked for
	recordsPath      string      // of the records file
	processNumber    int64       // this process's offset in processLocks and servingLocks
	otherProcesses   int         // processes of this scheduler beside this one
	hasSuccessor     bool        // this process drains and another one accepts clients
	mayUseCold       bool        // this process holds lockColdWorkers
	mayUseFullLimits bool        // this process may use all of the limits, not only its share
	nextRefreshAt    float64     // when refresh next looks for other processes and changes of the records file, in ms
	recordsInfo      os.FileInfo // the records file when it was last read or written, to see whether it has changed since
	steerIndex       uint32      // index in the SO_REUSEPORT group that connections are directed to
	steeredAt        float64     // when steerIndex was set, in ms
	successorFD      int         // socket to the successor's transfer socket; 0: not connected
	transferring     bool        // transferClients is running
	clientsSent      int         // client connections transferred to the successor
	txnsReceived     int         // txns taken over from draining processes

	transferListeners []*net.UnixListener // accept draining processes that transfer connections; none while this process is alone
	ownsSharedSocket  bool                // one of them is at sharedTransferSocket
}

func (h *handover) init(s *Scheduler) {
	*h = handover{s: s, mayUseCold: true, mayUseFullLimits: true}
}

// join registers this process among those of its scheduler, and waits until another one has reduced its use of the limits to
// its share. A client address with port 0 gets a free port, and so is shared with no other process.
func (h *handover) join() {
	if _, port, _ := net.SplitHostPort(h.s.node.Listen); port == "0" {
		return
	}
	base := filepath.Join(os.TempDir(), "shalebeam-"+strings.NewReplacer(":", "-", "[", "", "]", "").Replace(
		h.s.node.Listen))
	err := transient.Retry(startTimeout/2, transient.IsTransientFile, func() (err error) {
		h.lockFile, err = os.OpenFile(base+".lock", os.O_RDWR|os.O_CREATE, 0o600)
		return err
	})
	if err != nil {
		h.lockFile = nil
		h.s.log.Printf("msg=handover state=off err=%q", err)
		return
	}
	h.recordsPath = base + ".out"
	// Process ids of different PID namespaces may be the same: then the next number is taken.
	for h.processNumber = int64(os.Getpid()); !h.lockByte(processLocks + h.processNumber); h.processNumber++ {
		if h.processNumber > int64(os.Getpid())+9 {
			h.s.log.Printf("msg=handover state=off err=%q", "none of 11 process locks is free on "+h.lockFile.Name())
			h.lockFile.Close()
			h.lockFile = nil
			return
		}
	}
	h.mayUseCold, h.mayUseFullLimits = h.lockByte(lockColdWorkers), h.lockByte(lockFullLimits)
	h.otherProcesses = h.countOthers(processLocks)
	for range limitReductionTimeoutMs / limitReductionPollMs {
		if h.mayUseFullLimits || h.otherProcesses == 0 || !h.isLockedByOther(lockFullLimits) {
			break
		}
		time.Sleep(limitReductionPollMs * time.Millisecond)
	}
	if h.otherProcesses > 0 {
		h.s.log.Printf("msg=handover state=company others=%d room=%t", h.otherProcesses, !h.isLockedByOther(lockFullLimits))
	}
	if h.mayUseFullLimits = h.mayUseFullLimits && h.otherProcesses == 0; h.otherProcesses > 0 {
		h.listenForTransfers(h.transferSocket(h.processNumber))
		h.ownsSharedSocket = h.listenForTransfers(h.sharedTransferSocket())
	}
	if !h.mayUseCold {
		h.s.driver.module.YieldLead()
	}
	if h.otherProcesses > 0 {
		h.s.requestIDs.share()
	} else {
		h.lockByte(lockUnsharedIDs)
	}
	h.readRecords()
}

// markServing tells the other processes that this one accepts clients.
func (h *handover) markServing() {
	if h.lockFile != nil {
		h.lockByte(servingLocks + h.processNumber)
	}
}

// lockByte tries to lock one byte of the lock file, without waiting, and tells whether this process has the lock.
func (h *handover) lockByte(offset int64) bool { return h.setLock(offset, unix.F_WRLCK) }

// unlockByte unlocks one byte of the lock file.
func (h *handover) unlockByte(offset int64) { h.setLock(offset, unix.F_UNLCK) }

func (h *handover) setLock(offset int64, lockType int16) bool {
	return h.fcntlLock(unix.F_OFD_SETLK, &unix.Flock_t{Type: lockType, Whence: io.SeekStart, Start: offset, Len: 1}) == nil
}

// fcntlLock makes a system call on locks, and repeats it if it was interrupted or short of memory: a lock that goes unnoticed
// would hide the process that holds it.
func (h *handover) fcntlLock(command int, lock *unix.Flock_t) (err error) {
	for range lockAttempts {
		request := *lock
		if err = unix.FcntlFlock(h.lockFile.Fd(), command, &request); err == nil {
			*lock = request
			return nil
		}
		if err == unix.EAGAIN || err == unix.EACCES || !transient.IsTransientFile(err) {
			return err // another process has the lock, or the error is permanent
		}
	}
	return err
}

// firstLockedByOther finds the first byte in [from, to) that another process has locked, and tells whether there is one.
func (h *handover) firstLockedByOther(from, to int64) (offset int64, ok bool) {
	lock := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: from, Len: to - from}
	if err := h.fcntlLock(unix.F_OFD_GETLK, &lock); err != nil || lock.Type == unix.F_UNLCK {
		return 0, false
	}
	return max(lock.Start, from), true
}

func (h *handover) isLockedByOther(offset int64) bool {
	_, ok := h.firstLockedByOther(offset, offset+1)
	return ok
}

// countOthers returns how many bytes other processes have locked in the range that starts at rangeStart, which is processLocks or
// servingLocks. Each process locks at most one byte of a range.
func (h *handover) countOthers(rangeStart int64) (n int) {
	rangeEnd := rangeStart + lockRangeSize
	for offset, ok := h.firstLockedByOther(rangeStart, rangeEnd); ok; offset, ok = h.firstLockedByOther(offset+1, rangeEnd) {
		n++
	}
	return n
}

// limitShare returns how much of a limit this process may use: all of it, or its equal part among all processes, of which at
// least one other is assumed.
func (h *handover) limitShare(limit int) int {
	if h.mayUseFullLimits {
		return limit
	}
	return limit / (1 + max(h.otherProcesses, 1))
}

// sweep looks for other processes and adjusts the limits, the right to send to cold workers, and the transfer of connections.
// It runs every sweepIntervalMs, and about every refreshIntervalMs while there are other processes.
func (h *handover) sweep(now float64) {
	if h.lockFile == nil {
		return
	}
	if n := h.countOthers(processLocks); n != h.otherProcesses {
		h.s.log.Printf("msg=handover state=company others=%d", n)
		h.otherProcesses = n
		h.applyLimits()
		if n == 0 {
			h.closeTransferListeners()
		} else if len(h.transferListeners) == 0 {
			h.listenForTransfers(h.transferSocket(h.processNumber)) // the new process may be stopped first
		}
	}
	if h.otherProcesses > 0 {
		h.s.requestIDs.share()
		h.s.news.sweep()
	}
	if h.otherProcesses > 0 && h.mayUseFullLimits {
		h.mayUseFullLimits = false
		h.applyLimits()
	}
	switch {
	case h.otherProcesses > 0:
		// The new process waits for this in join before it serves; by then the ids that this one knows are in the table.
		if h.s.heldDescriptors() <= h.s.maxDescriptors() {
			h.unlockByte(lockFullLimits)
		}
	case !h.mayUseFullLimits && h.lockByte(lockFullLimits):
		h.mayUseFullLimits = true
		h.applyLimits()
		if h.countOthers(processLocks) == 0 { // one that starts from here on waits for lockFullLimits
			h.s.requestIDs.unshare()
			h.s.news.alone()
		}
	}
	if h.s.phase == draining {
		if hasSuccessor := h.countOthers(servingLocks) > 0; hasSuccessor && !h.hasSuccessor {
			h.s.log.Printf("msg=handover state=passed")
			h.hasSuccessor = true
			h.s.driver.module.YieldLead()
			h.mayUseCold = false
			h.unlockByte(lockColdWorkers)
			h.steerToNext()
			h.connectSuccessor()
		}
		if h.transferClients(); h.successorFD != 0 && now > h.s.drainStart+transferTimeoutMs {
			h.disconnectSuccessor()
		}
		h.s.applyDrainDeadline()
	} else if !h.mayUseCold && h.lockByte(lockColdWorkers) {
		h.mayUseCold = true
		h.s.driver.module.TakeLead(now)
	}
}

// nextWake returns the time of the next attempt to transfer the remaining connections, in ms, or infinity if none is transferred.
func (h *handover) nextWake() float64 {
	if h.successorFD == 0 {
		return math.Inf(1)
	}
	return h.nextRefreshAt
}

// applyLimits fits clients, worker connections and memory to this process's share of the limits.
func (h *handover) applyLimits() {
	s := h.s
	s.clients.applyLimits()
	s.pool.applyLimits()
	if mb := s.node.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(h.limitShare(mb<<20)) / 4 * 3) // bytes
	}
}

// heldDescriptors returns about how many descriptors this process has open.
func (s *Scheduler) heldDescriptors() int {
	return reservedDescriptors + len(s.clients.all) + len(s.pool.conns) + s.pool.dialsInProgress
}

// beginDrain tells the other processes that this one drains. Clients that still connect here are served.
func (h *handover) beginDrain() {
	if h.lockFile != nil {
		h.unlockByte(servingLocks + h.processNumber)
		h.sweep(h.s.now())
	}
}

// steerToNext directs new client connections and peers' datagrams to the next socket of the address's SO_REUSEPORT group, with
// a classic BPF program of one instruction that returns the socket's index. What already waits in this process's queues is
// still handled here. The kernel does not tell which index belongs to which process: if anything still arrives here (see
// noteArrival), the next index is tried. With an index that is out of range the kernel chooses the socket itself.
func (h *handover) steerToNext() {
	h.steerIndex, h.steeredAt = (h.steerIndex+1)%uint32(h.otherProcesses+2), h.s.now()
	h.steerListener(h.s.clientListener)
	if h.s.peers.listener != nil {
		h.steerListener(h.s.peers.listener)
	}
}

// steerListener attaches the program for the current index to the SO_REUSEPORT group of a listener.
func (h *handover) steerListener(listener *eventloop.Listener) {
	program := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: h.steerIndex}
	err := unix.SetsockoptSockFprog(listener.Fd(), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
		&unix.SockFprog{Len: 1, Filter: &program})
	if err != nil {
		h.s.log.Printf("msg=handover state=shared addr=%s err=%q", listener.Addr(), err)
	}
}

// removeSteering detaches the program that a draining process may have left on the group: its index may be that of any socket.
func (h *handover) removeSteering() {
	if h.otherProcesses > 0 {
		_ = unix.SetsockoptInt(h.s.clientListener.Fd(), unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) // fails if there is none
	}
}

// noteArrival is called when a client has connected or a peer's datagram has arrived. While this process should get neither,
// the next index is tried.
func (h *handover) noteArrival() {
	if h.hasSuccessor && h.s.now() > h.steeredAt+steerSettleMs {
		h.steerToNext()
	}
}

// successDelay returns how long the success of a call that changes the records must be held back: until no process posts by the
// former records.
func (h *handover) successDelay() time.Duration {
	if h.lockFile == nil || h.countOthers(processLocks) == 0 {
		return 0
	}
	return time.Duration(recordPropagationMs * float64(time.Millisecond))
}
