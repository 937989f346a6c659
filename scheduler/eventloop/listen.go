package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener is a socket at which clients connect, or datagrams come.
type Listener struct {
	l        *Loop
	fd       int
	addr     netip.AddrPort
	datagram bool
	interest interest
}

// Addr is the address that it got, which tells the port where it was to be any.
func (s *Listener) Addr() netip.AddrPort { return s.addr }

// Fd is the descriptor, which stays the listener's.
func (s *Listener) Fd() int { return s.fd }

// ListenTCP accepts connections at an address, which other processes may share (SO_REUSEPORT).
func (l *Loop) ListenTCP(addr string) (*Listener, error) {
	return l.listen(addr, func(config *net.ListenConfig) (syscall.Conn, net.Addr, error) {
		config.SetMultipathTCP(false)
		s, err := config.Listen(context.Background(), family("tcp", addr), addr)
		if err != nil {
			return nil, nil, err
		}
		return s.(*net.TCPListener), s.Addr(), nil
	})
}

// ListenUDP takes datagrams at an address, which other processes may share (SO_REUSEPORT).
func (l *Loop) ListenUDP(addr string) (*Listener, error) {
	s, err := l.listen(addr, func(config *net.ListenConfig) (syscall.Conn, net.Addr, error) {
		s, err := config.ListenPacket(context.Background(), family("udp", addr), addr)
		if err != nil {
			return nil, nil, err
		}
		return s.(*net.UDPConn), s.LocalAddr(), nil
	})
	if err == nil {
		s.datagram = true
	}
	return s, err
}

// family names the network of an address; the standard library would take 0.0.0.0 for both versions of IP.
func family(network, addr string) string {
	if a, err := netip.ParseAddrPort(addr); err == nil && a.Addr().Is4() {
		return network + "4"
	}
	return network
}

// listen binds with the standard library, and takes a copy of the descriptor, which that does not watch.
func (l *Loop) listen(addr string, bind func(*net.ListenConfig) (syscall.Conn, net.Addr, error)) (*Listener, error) {
	config := &net.ListenConfig{KeepAlive: -1, Control: func(network, _ string, raw syscall.RawConn) error {
		return options(network, raw)
	}}
	var bound syscall.Conn
	var at net.Addr
	err := persist(func() (err error) {
		bound, at, err = bind(config)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	defer bound.(interface{ Close() error }).Close()
	s := &Listener{l: l, addr: addrPort(at)}
	if err := persist(func() (err error) { s.fd, err = dup(bound); return err }); err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	s.interest = interest{l: l, fd: s.fd, since: time.Now()}
	l.watched[s.fd] = s
	s.interest.set(unix.EPOLLIN)
	return s, nil
}

// options are inherited by the connections that are accepted.
func options(network string, raw syscall.RawConn) error {
	var err error
	failed := raw.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil && network[:3] == "tcp" {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		}
	})
	return errors.Join(failed, err)
}

// dup copies a descriptor of the standard library's.
func dup(from syscall.Conn) (fd int, err error) {
	raw, err := from.SyscallConn()
	if err != nil {
		return -1, err
	}
	failed := raw.Control(func(old uintptr) { fd, err = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) })
	return fd, errors.Join(failed, err)
}

func addrPort(a net.Addr) netip.AddrPort {
	switch a := a.(type) {
	case *net.TCPAddr:
		return a.AddrPort()
	case *net.UDPAddr:
		return a.AddrPort()
	}
	return netip.AddrPort{}
}

// ready takes one connection or packet. Epoll reports the listener again while there is more.
func (s *Listener) ready(uint32) {
	if s.datagram {
		s.receive()
	} else {
		s.accept()
	}
}

func (s *Listener) accept() {
	s.interest.readable()
	fd, _, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		s.l.failed("accept", err)
		// A connection that ended before it was accepted, or an interruption: the rest comes in the next turn. For want of a
		// descriptor or of memory, what waits in the queue is left there for a moment.
		if r := acceptReaction(err); r == retryLater || r == fatal {
			s.rest()
		}
		return
	}
	c := s.l.add(fd, nil)
	c.interest.since = s.interest.since // what it brought may have waited with it
	c.interest.set(unix.EPOLLIN)
	s.l.handler.Accepted(c, s)
}

// rest leaves the queue alone for a moment.
func (s *Listener) rest() {
	s.interest.set(0)
	s.l.After(retryDelay, func() { s.interest.set(unix.EPOLLIN) })
}

func (s *Listener) receive() {
	n, from, err := unix.Recvfrom(s.fd, s.l.buffer, unix.MSG_DONTWAIT)
	if err != nil {
		// Errors of packets that were sent come here too, and say nothing of what is received.
		if s.l.failed("recvfrom", err) == retryLater {
			s.rest()
		}
		return
	}
	s.l.handler.Datagram(fromSockaddr(from), s.l.buffer[:n])
}

func fromSockaddr(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}

func toSockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Addr: a.Addr().As4(), Port: int(a.Port())}
	}
	return &unix.SockaddrInet6{Addr: a.Addr().As16(), Port: int(a.Port())}
}

// Send sends a datagram from the listener's address. One that can't be sent is lost, as any may be.
func (s *Listener) Send(packet []byte, to netip.AddrPort) {
	err := unix.Sendto(s.fd, packet, unix.MSG_DONTWAIT, toSockaddr(to))
	if err == unix.EINTR {
		err = unix.Sendto(s.fd, packet, unix.MSG_DONTWAIT, toSockaddr(to))
	}
	if err != nil {
		s.l.failed("sendto", err)
	}
}

func (s *Listener) close() {
	delete(s.l.watched, s.fd)
	s.interest.close()
}
