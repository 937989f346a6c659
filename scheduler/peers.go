package scheduler

import (
	"net/netip"

	"shalebeam/scheduler/eventloop"
)

const datagramMost = 256

// peers sends and takes the datagrams among schedulers. What they hold is the module's alone.
type peers struct {
	s    *Scheduler
	at   *eventloop.Listener // also for what is sent, since a peer is known by its address; nil where there is none
	from map[netip.AddrPort]int
	all  netip.AddrPort // reaches all of them
	bad  int
}

func (p *peers) init(s *Scheduler) {
	*p = peers{s: s, from: map[netip.AddrPort]int{}}
	for i, a := range s.node.Peers {
		p.from[netip.MustParseAddrPort(a)] = i
	}
	if a, err := netip.ParseAddrPort(s.node.PeersAll); err == nil {
		p.all = a
	}
}

// tell sends a message to all.
func (p *peers) tell(body []byte) {
	if p.at != nil && p.all.IsValid() && len(body) <= datagramMost {
		p.at.Send(body, p.all)
	}
}

func (p *peers) hear(addr netip.AddrPort, body []byte) {
	p.s.handover.came()
	from, known := p.from[addr]
	if !known || len(body) > datagramMost {
		if p.bad++; p.bad == 1 {
			p.s.log.Printf("msg=malformed from=peer addr=%s bytes=%d", addr, len(body))
		}
		return
	}
	if from != p.s.node.told.Terms.Me {
		p.s.drive.mod.Heard(p.s.now(), from, body)
	}
}
