//go:build linux

// Package sysfault injects faults into the system calls of a child process. The child, called the launcher, installs a
// seccomp filter on itself that passes chosen calls to this process for a decision (seccomp user notification), and then
// executes the program under test. Preloading a library would not work, because a Go program makes system calls without the
// C library; the filter sees every call, including those made by libraries and by the language runtime. No special
// privileges are needed.
package sysfault

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is the number of a system call on the architecture that this program was built for.
type Call uintptr

// The calls to which rules can apply.
const (
	Accept   = Call(unix.SYS_ACCEPT4)
	Connect  = Call(unix.SYS_CONNECT)
	DupFD    = Call(unix.SYS_FCNTL)     // only with F_DUPFD_CLOEXEC
	EpollCtl = Call(unix.SYS_EPOLL_CTL) // only with EPOLL_CTL_ADD
	Fsync    = Call(unix.SYS_FSYNC)
	Open     = Call(unix.SYS_OPENAT)
	Poll     = Call(unix.SYS_PPOLL)
	Read     = Call(unix.SYS_READ)
	Rename   = Call(unix.SYS_RENAMEAT)
	Socket   = Call(unix.SYS_SOCKET)
	Write    = Call(unix.SYS_WRITE)
)

var callNames = map[Call]string{Accept: "accept", Connect: "connect", DupFD: "dup", EpollCtl: "epoll_ctl", Fsync: "fsync",
	Open: "open", Poll: "poll", Read: "read", Rename: "rename", Socket: "socket", Write: "write"}

func (c Call) String() string { return callNames[c] }

// FDKind is the type of file that a descriptor refers to, as a prefix of its link target in /proc/PID/fd.
type FDKind string

// The kinds of descriptors to which rules can be limited.
const (
	AnyKind  = FDKind("")
	Sockets  = FDKind("socket")
	EventFDs = FDKind("anon_inode:[eventfd]")
	Files    = FDKind("/") // files of the file system: their link target is an absolute path
)

// Rule selects calls and says which fault is applied to them: Delay, else Short, else Errno. Where a field that selects calls
// has its zero value, it matches every call.
type Rule struct {
	Call  Call
	Kind  FDKind        // of the descriptor that the call operates on
	Path  string        // a substring of the path in the call's arguments or of the path of its descriptor
	Peers map[int]bool  // ports of the remote end of the call's connection
	Errno unix.Errno    // the call fails with this error without being carried out
	Short int           // a read or write on a socket transfers at most this many bytes; 0: no limit
	Delay time.Duration // the call is carried out after this delay
	Every int           // the rule applies to every n-th matching call; 0: to every one
	Limit int           // the rule applies to at most this many calls; 0: no limit
}

// Event is one call to which a rule was applied.
type Event struct {
	At   time.Time
	Call Call
	FD   int
	Rule Rule
}

const (
	launchVariable = "SYSFAULT_CALLS" // set for the launcher: the numbers of the calls to filter, separated by commas
	listenerSocket = 3                // descriptor of the socket on which the launcher sends its filter's listener descriptor
)

// Launch executes the program under test where Start started this process as the launcher; otherwise it returns. Programs
// that are used as the launcher call it before anything else.
func Launch() {
	calls := os.Getenv(launchVariable)
	if calls == "" {
		return
	}
	os.Unsetenv(launchVariable)
	if err := launch(calls); err != nil {
		fmt.Fprintln(os.Stderr, "sysfault:", err)
		os.Exit(97)
	}
}

// launch installs the filter, sends its listener descriptor to the parent and executes the program in os.Args[1].
func launch(calls string) error {
	runtime.LockOSThread() // the filter applies to the calling thread, and only the thread that calls execve survives it
	var numbers []uint32
	for text := range strings.SplitSeq(calls, ",") {
		number, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return err
		}
		numbers = append(numbers, uint32(number))
	}
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return fmt.Errorf("seccomp: %w", err)
	}
	if err := unix.Sendmsg(listenerSocket, []byte{1}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sendmsg: %w", err)
	}
	unix.CloseOnExec(listener)
	unix.CloseOnExec(listenerSocket)
	return unix.Exec(os.Args[1], os.Args[1:], os.Environ())
}

// installFilter installs a filter on the calling thread and returns its listener descriptor, on which the kernel notifies of
// each call with one of these numbers.
func installFilter(numbers []uint32) (listener int, err error) {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 0}} // loads the call's number
	for i, number := range numbers {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: number,
			Jt: uint8(len(numbers) - i)})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&filter)))
	if errno != 0 {
		return 0, errno
	}
	return int(fd), nil
}

// Tracer applies rules to the calls of one process.
type Tracer struct {
	pid      int
	pidfd    int
	listener int
	done     chan struct{}

	mu      sync.Mutex
	rules   []Rule
	matched []int // by rule: calls that it matched
	applied []int // by rule: of these, calls that it was applied to
	events  []Event

	undelivered []error
}

// Start starts cmd, whose path is the program under test, so that rules can apply to these calls; the given rules apply from
// the start. launcher is the path of a program that calls Launch.
func Start(cmd *exec.Cmd, launcher string, calls []Call, rules ...Rule) (*Tracer, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	parentEnd, childEnd := pair[0], os.NewFile(uintptr(pair[1]), "listener")
	defer unix.Close(parentEnd)
	defer childEnd.Close()
	numbers := make([]string, len(calls))
	for i, call := range calls {
		numbers[i] = strconv.Itoa(int(call))
	}
	cmd.Args = append([]string{launcher, cmd.Path}, cmd.Args[1:]...)
	cmd.Path = launcher
	cmd.Env = append(cmd.Env, launchVariable+"="+strings.Join(numbers, ","))
	cmd.ExtraFiles = []*os.File{childEnd}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	childEnd.Close()
	t := &Tracer{pid: cmd.Process.Pid, done: make(chan struct{})}
	if t.listener, err = receiveListener(parentEnd); err == nil {
		t.pidfd, err = unix.PidfdOpen(t.pid, 0)
	}
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, err
	}
	t.Set(rules...)
	go t.serve()
	return t, nil
}

// receiveListener receives the listener descriptor of the launcher's filter.
func receiveListener(socket int) (int, error) {
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("launcher did not send its seccomp listener: got %d control messages, expected 1 (error: %v)",
			len(messages), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, fmt.Errorf("launcher did not send its seccomp listener: got %d descriptors, expected 1 (error: %v)", len(fds), err)
	}
	return fds[0], nil
}

// Set replaces all rules and resets their counts. Of several rules that apply to a call, the first is used.
func (t *Tracer) Set(rules ...Rule) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rules, t.matched, t.applied = rules, make([]int, len(rules)), make([]int, len(rules))
}

// Applied counts the calls to which rules were applied since the last Set, also those that were only delayed or shortened.
func (t *Tracer) Applied() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, count := range t.applied {
		n += count
	}
	return n
}

// Events returns all calls to which rules were applied since Start, in order.
func (t *Tracer) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Event(nil), t.events...)
}

// Wait waits until the process has ended and no more calls are answered.
func (t *Tracer) Wait() { <-t.done }

// notification has the layout of the kernel's struct seccomp_notif.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	nr    int32
	arch  uint32
	ip    uint64
	args  [6]uint64
}

// response has the layout of the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	val   int64
	errno int32
	flags uint32
}

const (
	ioctlReceive = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	ioctlSend    = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	continueCall = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE: the kernel carries the call out
)

func (t *Tracer) ioctl(request uintptr, argument unsafe.Pointer) error {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(t.listener), request, uintptr(argument))
	if errno != 0 {
		return errno
	}
	return nil
}

// respond sends the decision about a call. Where a signal interrupts sending, it sends again, because the traced process is
// blocked until it gets the decision.
func (t *Tracer) respond(out *response) {
	err := t.ioctl(ioctlSend, unsafe.Pointer(out))
	for err == unix.EINTR {
		err = t.ioctl(ioctlSend, unsafe.Pointer(out))
	}
	if err != nil {
		t.mu.Lock()
		t.undelivered = append(t.undelivered, err)
		t.mu.Unlock()
	}
}

// UndeliveredErrors returns the errors of decisions that could not be delivered: the process was killed in the meantime, or
// this package has a bug.
func (t *Tracer) UndeliveredErrors() []error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]error(nil), t.undelivered...)
}

// serve receives notifications and answers them until the process has ended.
func (t *Tracer) serve() {
	defer close(t.done)
	defer unix.Close(t.pidfd)
	defer unix.Close(t.listener)
	for {
		polled := []unix.PollFd{{Fd: int32(t.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(polled, -1); err != nil && err != unix.EINTR {
			return
		}
		if polled[0].Revents&unix.POLLIN == 0 {
			if polled[0].Revents != 0 {
				return
			}
			continue
		}
		var n notification
		if err := t.ioctl(ioctlReceive, unsafe.Pointer(&n)); err != nil {
			continue // the call was interrupted before it was read
		}
		t.decide(&n)
	}
}

// decide answers the notification of one call, after a delay where a rule asks for one.
func (t *Tracer) decide(n *notification) {
	rule, matched := t.match(n)
	out := &response{id: n.id, flags: continueCall}
	switch {
	case !matched:
	case rule.Delay > 0:
		time.AfterFunc(rule.Delay, func() { t.respond(out) })
		return
	case rule.Short > 0:
		t.transferShort(n, rule.Short, out)
	case rule.Errno != 0:
		out.flags, out.errno = 0, -int32(rule.Errno)
	}
	t.respond(out)
}

// match returns the rule to apply to this call, if any, and updates the counts.
func (t *Tracer) match(n *notification) (Rule, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, rule := range t.rules {
		if rule.Call != Call(n.nr) || rule.Limit > 0 && t.applied[i] >= rule.Limit || !t.selects(rule, n) {
			continue
		}
		t.matched[i]++
		if rule.Every > 1 && t.matched[i]%rule.Every != 0 {
			continue
		}
		t.applied[i]++
		t.events = append(t.events, Event{time.Now(), rule.Call, int(int32(n.args[0])), rule})
		return rule, true
	}
	return Rule{}, false
}

// selects tells whether a rule selects a call by its arguments and its descriptor. Socket calls for Unix sockets and connects
// to them are never selected.
func (t *Tracer) selects(rule Rule, n *notification) bool {
	fd := int(int32(n.args[0]))
	switch rule.Call {
	case DupFD:
		if n.args[1] != unix.F_DUPFD_CLOEXEC {
			return false
		}
	case EpollCtl:
		if n.args[1] != unix.EPOLL_CTL_ADD {
			return false
		}
		fd = int(int32(n.args[2]))
	case Open, Rename:
		return strings.Contains(t.readString(n.args[1]), rule.Path)
	case Connect:
		return !t.isUnixConnect(n)
	case Socket:
		return n.args[0] != unix.AF_UNIX
	}
	if rule.Peers != nil {
		return rule.Peers[t.peerPort(fd)]
	}
	if rule.Kind == AnyKind {
		return true
	}
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	return err == nil && strings.HasPrefix(name, string(rule.Kind)) && strings.Contains(name, rule.Path)
}

// peerPort returns the remote port of an IPv4 connection of the process, -1 where the descriptor is no such connection.
func (t *Tracer) peerPort(fd int) int {
	duplicate, err := unix.PidfdGetfd(t.pidfd, fd, 0)
	if err != nil {
		return -1
	}
	defer unix.Close(duplicate)
	if peer, err := unix.Getpeername(duplicate); err == nil {
		if address, ok := peer.(*unix.SockaddrInet4); ok {
			return address.Port
		}
	}
	return -1
}

// isUnixConnect tells whether a connect call is to a Unix socket.
func (t *Tracer) isUnixConnect(n *notification) bool {
	family := make([]byte, 2)
	return t.readMemory(n.args[1], family) == nil && family[0] == unix.AF_UNIX
}

// readString reads a NUL-terminated string, at most 256 bytes long, from the memory of the process; "" where it can't be read.
func (t *Tracer) readString(address uint64) string {
	raw := make([]byte, 256)
	if t.readMemory(address, raw) != nil {
		return ""
	}
	text, _, _ := strings.Cut(string(raw), "\x00")
	return text
}

// readMemory reads memory of the process into a buffer. Where the whole range can't be read, because it reaches beyond the end
// of a mapping, it tries half the size until a read succeeds, and leaves the rest of the buffer as it was.
func (t *Tracer) readMemory(address uint64, into []byte) error {
	for size := len(into); size > 0; size /= 2 {
		local := []unix.Iovec{{Base: &into[0], Len: uint64(size)}}
		remote := []unix.RemoteIovec{{Base: uintptr(address), Len: size}}
		if _, err := unix.ProcessVMReadv(t.pid, local, remote, 0); err == nil {
			return nil
		}
	}
	return io.ErrUnexpectedEOF
}

// transferShort carries out a read or write on a socket on behalf of the process, with at most maxBytes, and puts the result
// into the response. Where the call asked for no more than that, or its descriptor can't be duplicated, the response stays as it
// is, so that the kernel carries the call out.
func (t *Tracer) transferShort(n *notification, maxBytes int, out *response) {
	size := int(n.args[2])
	if size <= maxBytes {
		return
	}
	fd, err := unix.PidfdGetfd(t.pidfd, int(n.args[0]), 0)
	if err != nil {
		return
	}
	defer unix.Close(fd)
	buffer := make([]byte, maxBytes)
	local := []unix.Iovec{{Base: &buffer[0]}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1])}}
	transferred := 0
	if Call(n.nr) == Write {
		local[0].Len, remote[0].Len = uint64(maxBytes), maxBytes
		if _, err = unix.ProcessVMReadv(t.pid, local, remote, 0); err == nil {
			transferred, err = unix.SendmsgN(fd, buffer, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		}
	} else if transferred, _, err = unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT); err == nil && transferred > 0 {
		local[0].Len, remote[0].Len = uint64(transferred), transferred
		_, err = unix.ProcessVMWritev(t.pid, local, remote, 0)
	}
	out.flags, out.val = 0, int64(transferred)
	if errno, failed := err.(unix.Errno); failed {
		out.val, out.errno = 0, -int32(errno)
	}
}
