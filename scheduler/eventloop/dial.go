package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	localFor       = 250 * time.Millisecond // for so long a call that fails here is made again before the dial fails
	connectRepeats = 10                     // of a connect that is interrupted, in one turn
	sendBuffer     = 128 << 10              // bytes that the system takes at once: a whole request, however far its worker
)

// ErrLocal marks an error of this machine: nothing was learned of the other side.
var ErrLocal = errors.New("a system call failed here")

// dialer makes one connection. It is watched in place of the connection until that is up.
type dialer struct {
	l        *Loop
	to       netip.AddrPort
	context  any
	failed   func(error)
	fd       int
	interest interest
	timeout  *Timer
	again    *Timer
	localBy  time.Time
}

// Dial makes a connection. Opened follows once it is up, or failed where it does not come up in time; one of them, and neither
// within the call. An error that says nothing of the other side wraps ErrLocal.
func (l *Loop) Dial(to netip.AddrPort, timeout time.Duration, context any, failed func(error)) {
	d := &dialer{l: l, to: to, context: context, failed: failed, fd: -1, localBy: time.Now().Add(min(localFor, timeout))}
	d.timeout = l.After(timeout, func() { d.fail(unix.ETIMEDOUT) })
	d.begin()
}

func (d *dialer) begin() {
	family := unix.AF_INET
	if !d.to.Addr().Is4() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP)
	if err != nil {
		d.trouble("socket", err)
		return
	}
	d.fd, d.interest = fd, interest{l: d.l, fd: fd, since: time.Now()}
	// Without these all works: with some delay, and with large requests kept here until the far side acknowledges.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	switch err := d.connect(); err {
	case nil, unix.EINPROGRESS:
		d.l.watched[fd] = d
		d.interest.set(unix.EPOLLOUT)
	default:
		d.trouble("connect", err)
	}
}

// connect begins the connection. An interrupted call goes on by itself or never began: asked again, the kernel tells which.
func (d *dialer) connect() error {
	var err error
	for range connectRepeats {
		switch err = unix.Connect(d.fd, toSockaddr(d.to)); err {
		case unix.EINTR:
			d.l.failed("connect", err)
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

// ready comes once the connection is up or has failed.
func (d *dialer) ready(uint32) {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		d.trouble("connect", err)
		return
	}
	peer, err := unix.Getpeername(d.fd)
	if err != nil {
		d.trouble("getpeername", err)
		return
	}
	// Nobody listens there, and the port that this side got is the same one: it is connected to itself.
	if own, err := unix.Getsockname(d.fd); err == nil && fromSockaddr(own) == fromSockaddr(peer) {
		d.fail(unix.ECONNREFUSED)
		return
	}
	d.timeout.Stop()
	c := d.l.add(d.fd, d.context)
	c.interest = d.interest
	if retry := d.interest.retry; retry != nil {
		retry.Stop()
		c.interest.retry = nil
	}
	c.arm()
	d.l.handler.Opened(c)
}

// trouble tries again where the error is of the moment, and fails otherwise.
func (d *dialer) trouble(call string, err error) {
	d.l.failed(call, err)
	r := connectReaction(err)
	if r == ended || r == fatal {
		d.fail(err)
		return
	}
	if d.hangUp(); time.Now().After(d.localBy) {
		d.fail(fmt.Errorf("%w: %s: %w", ErrLocal, call, err))
		return
	}
	d.again = d.l.After(retryDelay, d.begin)
}

func (d *dialer) fail(err error) {
	d.timeout.Stop()
	d.again.Stop()
	d.hangUp()
	d.l.After(0, func() { d.failed(err) })
}

// hangUp closes the socket, if there is one.
func (d *dialer) hangUp() {
	if d.fd < 0 {
		return
	}
	delete(d.l.watched, d.fd)
	pending := d.interest // a close that has to wait outlives this try
	pending.retry.Stop()
	pending.close()
	d.fd = -1
}
