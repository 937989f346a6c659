package scheduler

import (
	"net/netip"

	"shalebeam/balance"
	"shalebeam/scheduler/eventloop"
)

const maxDatagramBytes = 256

// peers sends and receives the datagrams among schedulers. Their contents are the module's.
type peers struct {
	s              *Scheduler
	listener       *eventloop.Listener    // also sends, as a peer is known by its source address; nil: there is none
	numberByAddr   map[netip.AddrPort]int // a peer's number, by its address
	groupAddr      netip.AddrPort         // reaches all peers; not valid where there is none
	malformedCount int                    // datagrams from unknown addresses, too long or cut off; the first is logged
}

func (p *peers) init(s *Scheduler) {
	*p = peers{s: s, numberByAddr: map[netip.AddrPort]int{}}
	for i, a := range s.node.Peers {
		p.numberByAddr[netip.MustParseAddrPort(a)] = i
	}
	if a, err := netip.ParseAddrPort(s.node.PeersAll); err == nil {
		p.groupAddr = a
	}
}

// broadcast sends a message of the module to all peers.
func (p *peers) broadcast(body []byte) {
	if p.listener != nil && p.groupAddr.IsValid() && len(body) <= maxDatagramBytes {
		p.listener.Send(body, p.groupAddr)
	}
}

// receive passes a peer's message on to the module. This scheduler's own messages, which groupAddr also delivers here, are
// dropped.
func (p *peers) receive(addr netip.AddrPort, body []byte) {
	p.s.handover.noteArrival()
	from, known := p.numberByAddr[addr]
	if !known || len(body) > maxDatagramBytes || !balance.IsMessage(body) {
		if p.malformedCount++; p.malformedCount == 1 {
			p.s.log.Printf("msg=malformed from=peer addr=%s bytes=%d", addr, len(body))
		}
		return
	}
	if from != p.s.node.decoded.Terms.Index {
		p.s.driver.module.MessageReceived(p.s.now(), from, body)
	}
}
