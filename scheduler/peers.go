package scheduler

import (
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const datagramMost = 256

// peers sends and takes the datagrams among schedulers. What they hold is the module's alone.
type peers struct {
	s    *Scheduler
	from map[netip.AddrPort]int
	fd   int // the listening socket's, for what is sent, since a peer is known by its address
	all  unix.Sockaddr
	addr string // where peers reach this scheduler
	bad  int
}

func (p *peers) init(s *Scheduler) {
	*p = peers{s: s, from: map[netip.AddrPort]int{}, fd: -1}
	for i, a := range s.node.Peers {
		p.from[netip.MustParseAddrPort(a)] = i
	}
	if a, err := netip.ParseAddrPort(s.node.PeersAll); err == nil {
		if a.Addr().Is4() {
			p.all = &unix.SockaddrInet4{Addr: a.Addr().As4(), Port: int(a.Port())}
		} else {
			p.all = &unix.SockaddrInet6{Addr: a.Addr().As16(), Port: int(a.Port())}
		}
	}
}

func (p *peers) open() (err error) {
	if p.s.node.PeerListen == "" {
		return nil
	}
	if p.fd, err = p.s.eng.DupListener("udp", p.s.node.PeerListen); err != nil {
		return err
	}
	p.addr, err = p.s.bound("udp", p.s.node.PeerListen)
	return err
}

// tell sends a message to all. One that cannot be sent is lost, as any may be.
func (p *peers) tell(body []byte) {
	if p.fd >= 0 && p.all != nil && len(body) <= datagramMost {
		_ = unix.Sendto(p.fd, body, unix.MSG_DONTWAIT, p.all)
	}
}

func (p *peers) hear(c gnet.Conn) {
	body, _ := c.Next(-1)
	p.s.handover.came()
	from, known := -1, false
	if a, ok := c.RemoteAddr().(*net.UDPAddr); ok {
		ap := a.AddrPort()
		from, known = p.from[netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())]
	}
	if !known || len(body) > datagramMost {
		if p.bad++; p.bad == 1 {
			p.s.log.Printf("msg=malformed from=peer addr=%s bytes=%d", c.RemoteAddr(), len(body))
		}
		return
	}
	if from != p.s.node.told.Terms.Me {
		p.s.drive.mod.Heard(p.s.now(), from, body)
	}
}
