package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	localErrorRetryLimit = 250 * time.Millisecond // for this long a dial is tried again after errors of this machine
	maxConnectCalls      = 10                     // calls of one connect that is interrupted by signals
	sendBufferBytes      = 128 << 10              // SO_SNDBUF: a whole request fits, whatever the round-trip time to its worker
)

// ErrLocal marks an error of this machine, such as a lack of descriptors or ports: it says nothing about the remote side.
var ErrLocal = errors.New("system call failed on this machine")

// dialer establishes one connection. The loop passes it the descriptor's events until the connection is established.
type dialer struct {
	loop               *Loop
	remote             netip.AddrPort
	context            any
	onFailure          func(error)
	fd                 int
	interest           interest
	timeout            *Timer
	retryTimer         *Timer    // of the next try after a local error
	localRetryDeadline time.Time // after this a local error fails the dial
}

// Dial establishes a connection. Either the handler's Opened is called once it is established, or failed once it has failed or
// has timed out; never both, and neither within the call. An error that says nothing about the remote side wraps ErrLocal.
func (l *Loop) Dial(to netip.AddrPort, timeout time.Duration, context any, failed func(error)) {
	d := &dialer{loop: l, remote: to, context: context, onFailure: failed, fd: -1,
		localRetryDeadline: time.Now().Add(min(localErrorRetryLimit, timeout))}
	d.timeout = l.After(timeout, func() { d.fail(unix.ETIMEDOUT) })
	d.start()
}

// start makes a socket and begins one try.
func (d *dialer) start() {
	family := unix.AF_INET
	if !d.remote.Addr().Is4() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP)
	if err != nil {
		d.retryOrFail("socket", err)
		return
	}
	d.fd, d.interest = fd, interest{loop: d.loop, fd: fd, earliestArrival: time.Now()}
	// Errors are ignored: without these options the connection works, but with some delay, and large requests stay in this
	// process until the other side acknowledges.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	switch err := d.connect(); err {
	case nil, unix.EINPROGRESS:
		d.loop.sources[fd] = d
		d.interest.set(unix.EPOLLOUT)
	default:
		d.retryOrFail("connect", err)
	}
}

// connect starts connecting. A call that a signal interrupted (EINTR) either goes on in the kernel or never began: calling again
// tells which, by EALREADY, EISCONN or a new start.
func (d *dialer) connect() error {
	var err error
	for range maxConnectCalls {
		switch err = unix.Connect(d.fd, toSockaddr(d.remote)); err {
		case unix.EINTR:
			d.loop.recordFailure("connect", err)
		case unix.EISCONN:
			return nil
		case unix.EALREADY:
			return unix.EINPROGRESS
		default:
			return err
		}
	}
	return err
}

// handleEvents is called once the connection is established or has failed.
func (d *dialer) handleEvents(uint32) {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		d.retryOrFail("connect", err)
		return
	}
	peer, err := unix.Getpeername(d.fd)
	if err != nil {
		d.retryOrFail("getpeername", err)
		return
	}
	// TCP self-connect: no process listens on the remote port, and the kernel chose that very port as the local one.
	if own, err := unix.Getsockname(d.fd); err == nil && fromSockaddr(own) == fromSockaddr(peer) {
		d.fail(unix.ECONNREFUSED)
		return
	}
	d.timeout.Stop()
	c := d.loop.addConn(d.fd, d.context)
	c.interest = d.interest
	if retry := d.interest.retry; retry != nil {
		retry.Stop()
		c.interest.retry = nil
	}
	c.updateInterest()
	d.loop.handler.Opened(c)
}

// retryOrFail handles an error of a system call: a transient one is followed by another try until localRetryDeadline, any other
// fails the dial.
func (d *dialer) retryOrFail(call string, err error) {
	d.loop.recordFailure(call, err)
	r := connectReaction(err)
	if r == connectionEnded || r == programError {
		d.fail(err)
		return
	}
	if d.closeSocket(); time.Now().After(d.localRetryDeadline) {
		d.fail(fmt.Errorf("%w: %s: %w", ErrLocal, call, err))
		return
	}
	d.retryTimer = d.loop.After(retryDelay, d.start)
}

// fail ends the dial and passes the error to onFailure from a timer, so never within a call of Dial.
func (d *dialer) fail(err error) {
	d.timeout.Stop()
	d.retryTimer.Stop()
	d.closeSocket()
	d.loop.After(0, func() { d.onFailure(err) })
}

// closeSocket closes the socket, if there is one.
func (d *dialer) closeSocket() {
	if d.fd < 0 {
		return
	}
	delete(d.loop.sources, d.fd)
	pending := d.interest // a copy: a close that has to be retried outlives this try, which may reuse the field
	pending.retry.Stop()
	pending.close()
	d.fd = -1
}
