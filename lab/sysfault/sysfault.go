//go:build linux

// Package sysfault makes system calls of a real child process fail. The child installs a seccomp filter on itself that hands
// chosen calls to this process (user notification), and then becomes the program under test. A Go program calls the kernel
// without the C library, so a preloaded library would see nothing of it; a filter sees each call, also those that a library or
// the language's runtime makes. It needs no special rights.
package sysfault

import (
	"errors"
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

// Call is a system call by its number on this machine.
type Call uintptr

// The calls that can be made to fail.
const (
	Accept   = Call(unix.SYS_ACCEPT4)
	Connect  = Call(unix.SYS_CONNECT)
	Dup      = Call(unix.SYS_FCNTL)
	EpollCtl = Call(unix.SYS_EPOLL_CTL)
	Fsync    = Call(unix.SYS_FSYNC)
	Open     = Call(unix.SYS_OPENAT)
	Poll     = Call(unix.SYS_PPOLL)
	Read     = Call(unix.SYS_READ)
	Rename   = Call(unix.SYS_RENAMEAT)
	Socket   = Call(unix.SYS_SOCKET)
	Write    = Call(unix.SYS_WRITE)
)

var callNames = map[Call]string{Accept: "accept", Connect: "connect", Dup: "dup", EpollCtl: "epoll_ctl", Fsync: "fsync",
	Open: "open", Poll: "poll", Read: "read", Rename: "rename", Socket: "socket", Write: "write"}

func (c Call) String() string { return callNames[c] }

// Kind is what a descriptor leads to.
type Kind string

// The kinds that rules tell apart.
const (
	AnyKind  = Kind("")
	Sockets  = Kind("socket")
	EventFDs = Kind("anon_inode:[eventfd]")
	Files    = Kind("/") // of the file system
)

// Rule says which calls fail, and how.
type Rule struct {
	Call  Call
	Kind  Kind         // of the first descriptor that the call names
	Path  string       // a part of the path that the call or its descriptor names
	Peers map[int]bool // of a connection: the ports that its other end may have; nil: any
	Errno unix.Errno
	Short int           // a read or write on a socket moves at most so many bytes, where it is above 0
	Delay time.Duration // the call waits for so long before it is carried out
	Every int           // one call in so many, in the order in which they come; 0: each
	Most  int           // so many calls and no more; 0: without end
}

// Event is one call that a rule matched.
type Event struct {
	At   time.Time
	Call Call
	FD   int
	Rule Rule
}

const (
	launchVariable = "SYSFAULT_CALLS" // tells a process that it is to become the program under test
	listenerSocket = 3                // on which the launcher hands over its filter
)

// Launch becomes the program under test where this process was started for that, and returns otherwise. Programs that use
// Start call it first of all.
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

func launch(calls string) error {
	runtime.LockOSThread() // the filter is this thread's, and execve keeps this thread alone
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
	listener, err := install(numbers)
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

// install has the kernel hand these calls of this thread to whoever reads the descriptor that it returns.
func install(numbers []uint32) (listener int, err error) {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 0}} // the number of the call
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

// Tracer decides about the calls of one process.
type Tracer struct {
	pid      int
	pidfd    int
	listener int
	done     chan struct{}

	mu     sync.Mutex
	rules  []Rule
	seen   []int // calls that each rule matched
	failed []int // of these, those that it was applied to
	events []Event

	untaken []error
}

// Start starts cmd, whose path is the program under test, with these calls under control and these rules in force. launcher is a
// program that calls Launch.
func Start(cmd *exec.Cmd, launcher string, calls []Call, rules ...Rule) (*Tracer, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	ours, theirs := pair[0], os.NewFile(uintptr(pair[1]), "listener")
	defer unix.Close(ours)
	defer theirs.Close()
	numbers := make([]string, len(calls))
	for i, call := range calls {
		numbers[i] = strconv.Itoa(int(call))
	}
	cmd.Args = append([]string{launcher, cmd.Path}, cmd.Args[1:]...)
	cmd.Path = launcher
	cmd.Env = append(cmd.Env, launchVariable+"="+strings.Join(numbers, ","))
	cmd.ExtraFiles = []*os.File{theirs}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	theirs.Close()
	t := &Tracer{pid: cmd.Process.Pid, done: make(chan struct{})}
	if t.listener, err = receive(ours); err == nil {
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

// receive takes the descriptor that the launcher hands over.
func receive(socket int) (int, error) {
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return 0, errors.New("the launcher did not come up")
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, errors.New("the launcher handed over no filter")
	}
	return fds[0], nil
}

// Set puts these rules in force, in place of all before. The first that a call falls under counts.
func (t *Tracer) Set(rules ...Rule) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rules, t.seen, t.failed = rules, make([]int, len(rules)), make([]int, len(rules))
}

// Failed counts the calls that rules were applied to since they were set.
func (t *Tracer) Failed() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, count := range t.failed {
		n += count
	}
	return n
}

// Events are all calls that rules were applied to, in order.
func (t *Tracer) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Event(nil), t.events...)
}

// Wait returns once the process has ended and nothing more is decided.
func (t *Tracer) Wait() { <-t.done }

// notification and response are the kernel's seccomp_notif and seccomp_notif_resp.
type notification struct {
	id    uint64
	pid   uint32
	flags uint32
	nr    int32
	arch  uint32
	ip    uint64
	args  [6]uint64
}

type response struct {
	id    uint64
	val   int64
	errno int32
	flags uint32
}

const (
	ioctlReceive = 0xc0502100
	ioctlSend    = 0xc0182101
	carryOn      = 1 // SECCOMP_USER_NOTIF_FLAG_CONTINUE
)

func (t *Tracer) ioctl(request uintptr, argument unsafe.Pointer) error {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(t.listener), request, uintptr(argument))
	if errno != 0 {
		return errno
	}
	return nil
}

// answer sends a decision. An interrupted call is made again: the process waits for it.
func (t *Tracer) answer(out *response) {
	err := t.ioctl(ioctlSend, unsafe.Pointer(out))
	for err == unix.EINTR {
		err = t.ioctl(ioctlSend, unsafe.Pointer(out))
	}
	if err != nil {
		t.mu.Lock()
		t.untaken = append(t.untaken, err)
		t.mu.Unlock()
	}
}

// Untaken are the errors of decisions that the process did not take: it was killed meanwhile, or the fault is this package's.
func (t *Tracer) Untaken() []error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]error(nil), t.untaken...)
}

// serve answers notifications until the process has ended.
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

func (t *Tracer) decide(n *notification) {
	rule, matched := t.match(n)
	out := &response{id: n.id, flags: carryOn}
	switch {
	case !matched:
	case rule.Delay > 0:
		time.AfterFunc(rule.Delay, func() { t.answer(out) })
		return
	case rule.Short > 0:
		t.shorten(n, rule.Short, out)
	case rule.Errno != 0:
		out.flags, out.errno = 0, -int32(rule.Errno)
	}
	t.answer(out)
}

// match finds the rule that this call falls under, if any, and counts it.
func (t *Tracer) match(n *notification) (Rule, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, rule := range t.rules {
		if rule.Call != Call(n.nr) || rule.Most > 0 && t.failed[i] >= rule.Most || !t.concerns(rule, n) {
			continue
		}
		t.seen[i]++
		if rule.Every > 1 && t.seen[i]%rule.Every != 0 {
			continue
		}
		t.failed[i]++
		t.events = append(t.events, Event{time.Now(), rule.Call, int(int32(n.args[0])), rule})
		return rule, true
	}
	return Rule{}, false
}

// concerns tells whether a call is of the kind that a rule names.
func (t *Tracer) concerns(rule Rule, n *notification) bool {
	fd := int(int32(n.args[0]))
	switch rule.Call {
	case Dup:
		if n.args[1] != unix.F_DUPFD_CLOEXEC {
			return false
		}
	case EpollCtl:
		if n.args[1] != unix.EPOLL_CTL_ADD {
			return false
		}
		fd = int(int32(n.args[2]))
	case Open, Rename:
		return strings.Contains(t.text(n.args[1]), rule.Path)
	case Connect:
		return !t.local(n)
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

// peerPort is the port at the other end of a connection of the process, -1 where there is none.
func (t *Tracer) peerPort(fd int) int {
	own, err := unix.PidfdGetfd(t.pidfd, fd, 0)
	if err != nil {
		return -1
	}
	defer unix.Close(own)
	if peer, err := unix.Getpeername(own); err == nil {
		if at, ok := peer.(*unix.SockaddrInet4); ok {
			return at.Port
		}
	}
	return -1
}

// local tells whether a connect is to a Unix socket.
func (t *Tracer) local(n *notification) bool {
	family := make([]byte, 2)
	return t.peek(n.args[1], family) == nil && family[0] == unix.AF_UNIX
}

// text reads a path of the process.
func (t *Tracer) text(address uint64) string {
	raw := make([]byte, 256)
	if t.peek(address, raw) != nil {
		return ""
	}
	text, _, _ := strings.Cut(string(raw), "\x00")
	return text
}

// peek reads memory of the process. What lies behind the end of a mapping may be missing.
func (t *Tracer) peek(address uint64, into []byte) error {
	for size := len(into); size > 0; size /= 2 {
		local := []unix.Iovec{{Base: &into[0], Len: uint64(size)}}
		remote := []unix.RemoteIovec{{Base: uintptr(address), Len: size}}
		if _, err := unix.ProcessVMReadv(t.pid, local, remote, 0); err == nil {
			return nil
		}
	}
	return io.ErrUnexpectedEOF
}

// shorten carries out a read or write on a socket for the process, with fewer bytes than it asked for.
func (t *Tracer) shorten(n *notification, most int, out *response) {
	size := int(n.args[2])
	if size <= most {
		return
	}
	fd, err := unix.PidfdGetfd(t.pidfd, int(n.args[0]), 0)
	if err != nil {
		return
	}
	defer unix.Close(fd)
	moved := make([]byte, most)
	local := []unix.Iovec{{Base: &moved[0]}}
	remote := []unix.RemoteIovec{{Base: uintptr(n.args[1])}}
	done := 0
	if Call(n.nr) == Write {
		local[0].Len, remote[0].Len = uint64(most), most
		if _, err = unix.ProcessVMReadv(t.pid, local, remote, 0); err == nil {
			done, err = unix.SendmsgN(fd, moved, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		}
	} else if done, _, err = unix.Recvfrom(fd, moved, unix.MSG_DONTWAIT); err == nil && done > 0 {
		local[0].Len, remote[0].Len = uint64(done), done
		_, err = unix.ProcessVMWritev(t.pid, local, remote, 0)
	}
	out.flags, out.val = 0, int64(done)
	if errno, failed := err.(unix.Errno); failed {
		out.val, out.errno = 0, -int32(errno)
	}
}
