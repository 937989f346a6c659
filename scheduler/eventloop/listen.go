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

// Listener is a TCP socket that accepts connections, or a UDP socket that receives datagrams.
type Listener struct {
	loop     *Loop
	fd       int
	addr     netip.AddrPort
	datagram bool
	interest interest
}

// Addr returns the bound address, with the port that the kernel chose if port 0 was asked for.
func (s *Listener) Addr() netip.AddrPort { return s.addr }

// Fd returns the descriptor. The listener still owns it: the caller must not close it.
func (s *Listener) Fd() int { return s.fd }

// ListenTCP accepts connections at an address, which other processes may share (SO_REUSEPORT). It is called before Run.
func (l *Loop) ListenTCP(addr string) (*Listener, error) {
	return l.listen(addr, func(config *net.ListenConfig) (syscall.Conn, net.Addr, error) {
		config.SetMultipathTCP(false)
		s, err := config.Listen(context.Background(), networkFor("tcp", addr), addr)
		if err != nil {
			return nil, nil, err
		}
		return s.(*net.TCPListener), s.Addr(), nil
	})
}

// ListenUDP receives datagrams at an address, which other processes may share (SO_REUSEPORT). It is called before Run.
func (l *Loop) ListenUDP(addr string) (*Listener, error) {
	s, err := l.listen(addr, func(config *net.ListenConfig) (syscall.Conn, net.Addr, error) {
		s, err := config.ListenPacket(context.Background(), networkFor("udp", addr), addr)
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

// networkFor returns the network name for an address: with "4" appended for an IPv4 address, since the standard library would
// take 0.0.0.0 for both versions of IP.
func networkFor(network, addr string) string {
	if a, err := netip.ParseAddrPort(addr); err == nil && a.Addr().Is4() {
		return network + "4"
	}
	return network
}

// listen binds with the standard library and duplicates the descriptor, so that the runtime's poller does not watch it.
func (l *Loop) listen(addr string, bind func(*net.ListenConfig) (syscall.Conn, net.Addr, error)) (*Listener, error) {
	config := &net.ListenConfig{KeepAlive: -1, Control: func(network, _ string, raw syscall.RawConn) error {
		return setSocketOptions(network, raw)
	}}
	var bound syscall.Conn
	var at net.Addr
	err := retryAtStart(func() (err error) {
		bound, at, err = bind(config)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	defer bound.(interface{ Close() error }).Close()
	s := &Listener{loop: l, addr: addrPort(at)}
	if err := retryAtStart(func() (err error) { s.fd, err = dupDescriptor(bound); return err }); err != nil {
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	s.interest = interest{loop: l, fd: s.fd, earliestArrival: time.Now()}
	l.sources[s.fd] = s
	s.interest.set(unix.EPOLLIN)
	return s, nil
}

// setSocketOptions sets options of the listening socket, which accepted connections inherit.
func setSocketOptions(network string, raw syscall.RawConn) error {
	var err error
	failed := raw.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil && network[:3] == "tcp" {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		}
	})
	return errors.Join(failed, err)
}

// dupDescriptor duplicates the descriptor of a socket of the standard library.
func dupDescriptor(from syscall.Conn) (fd int, err error) {
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

// handleEvents takes one connection or datagram. Epoll reports the listener again while there are more.
func (s *Listener) handleEvents(uint32) {
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
		s.loop.recordFailure("accept", err)
		// After a connection that ended before it was accepted, or an interruption, epoll reports the listener again in the next
		// iteration. For want of a descriptor or of memory, connections are left in the accept queue for retryDelay.
		if r := acceptReaction(err); r == retryLater || r == programError {
			s.pause()
		}
		return
	}
	c := s.loop.addConn(fd, nil)
	c.interest.earliestArrival = s.interest.earliestArrival // its first bytes may have waited as long as the connection itself
	c.interest.set(unix.EPOLLIN)
	s.loop.handler.Accepted(c, s)
}

// pause takes nothing from the socket for retryDelay.
func (s *Listener) pause() {
	s.interest.set(0)
	s.loop.After(retryDelay, func() { s.interest.set(unix.EPOLLIN) })
}

func (s *Listener) receive() {
	n, from, err := unix.Recvfrom(s.fd, s.loop.buffer, unix.MSG_DONTWAIT)
	if err != nil {
		// The socket also reports errors of datagrams that it sent earlier; they say nothing about what it receives.
		if s.loop.recordFailure("recvfrom", err) == retryLater {
			s.pause()
		}
		return
	}
	s.loop.handler.Datagram(fromSockaddr(from), s.loop.buffer[:n])
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

// Send sends a datagram from the listener's address. One that can't be sent is dropped, as any datagram may be lost.
func (s *Listener) Send(packet []byte, to netip.AddrPort) {
	err := unix.Sendto(s.fd, packet, unix.MSG_DONTWAIT, toSockaddr(to))
	if err == unix.EINTR {
		err = unix.Sendto(s.fd, packet, unix.MSG_DONTWAIT, toSockaddr(to))
	}
	if err != nil {
		s.loop.recordFailure("sendto", err)
	}
}

func (s *Listener) close() {
	delete(s.loop.sources, s.fd)
	s.interest.close()
}
