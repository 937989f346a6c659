package cluster

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkMode is how a relay treats the bytes of one direction.
type LinkMode int

const (
	LinkUp      LinkMode = iota
	LinkStalled          // bytes are accepted and delivered only once the link is up again
	LinkSlow             // one byte every 5 ms
	LinkReset            // open connections are reset and new ones are refused with a reset
)

// relay is a TCP forwarder from one process to the address of another, with faults. Direction 0 is from the caller to the
// target, direction 1 is back.
type relay struct {
	listener       net.Listener
	target         string
	mu             sync.Mutex
	cond           *sync.Cond
	mode           [2]LinkMode // by direction
	conns          map[net.Conn]bool
	closed         bool
	generation     int          // of the connections accepted from now on
	bytes          atomic.Int64 // forwarded, in both directions
	heldGeneration int          // connections up to this generation deliver nothing while newer ones pass, -1 for none
}

// newRelay starts a relay to target on a free loopback port.
func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}, heldGeneration: -1}
	r.cond = sync.NewCond(&r.mu)
	go r.acceptLoop()
	return r, nil
}

// addr returns the address at which the relay listens.
func (r *relay) addr() string { return r.listener.Addr().String() }

// setMode sets the modes of the directions to the target and back. LinkReset also resets the open connections.
func (r *relay) setMode(there, back LinkMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = [2]LinkMode{there, back}
	if there == LinkReset || back == LinkReset {
		for c := range r.conns {
			reset(c)
		}
	}
	r.cond.Broadcast()
}

// holdOpenConns holds back the bytes in the connections that are open now, until releaseConns, and has newer connections pass:
// the link is up, and one path of several is stuck.
func (r *relay) holdOpenConns() {
	r.mu.Lock()
	r.heldGeneration = r.generation
	r.generation++
	r.mode = [2]LinkMode{}
	r.mu.Unlock()
}

// releaseConns delivers what holdOpenConns has held back.
func (r *relay) releaseConns() {
	r.mu.Lock()
	r.heldGeneration = -1
	r.cond.Broadcast()
	r.mu.Unlock()
}

// close closes the listener and all connections.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.cond.Broadcast()
	r.mu.Unlock()
	r.listener.Close()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// acceptLoop accepts connections until the listener is closed.
func (r *relay) acceptLoop() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		generation, gone := r.generation, r.mode[0] == LinkReset || r.mode[1] == LinkReset || r.closed
		if !gone {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if gone {
			reset(c)
			continue
		}
		go r.serveConn(c, generation)
	}
}

// serveConn forwards one accepted connection. It dials the target only once the caller has sent something.
func (r *relay) serveConn(c net.Conn, generation int) {
	defer r.closeConn(c)
	// Bytes sent into a stalled link are delivered once the link is up, even if the sender has given up since, and to the
	// process that listens at the target by then, which may have been restarted meanwhile.
	first := make([]byte, 32<<10)
	n, err := c.Read(first)
	if err != nil || r.waitWhileHeld(0, generation) == LinkReset {
		reset(c)
		return
	}
	s, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	r.mu.Lock()
	r.conns[s] = true
	r.mu.Unlock()
	defer r.closeConn(s)
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.copyBytes(1, generation, nil, c, s)
	}()
	r.copyBytes(0, generation, first[:n], s, c)
	<-back
}

// closeConn closes a connection and removes it from the open ones.
func (r *relay) closeConn(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copyBytes forwards one direction until its end, which it passes on by a half-close in order with the bytes. first holds the
// bytes that were read already.
func (r *relay) copyBytes(direction, generation int, first []byte, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := len(first), error(nil)
		if copy(buf, first); n == 0 {
			n, err = from.Read(buf)
		}
		first = nil
		for sent := 0; sent < n; {
			k := n - sent
			switch r.waitWhileHeld(direction, generation) {
			case LinkReset:
				reset(to)
				return
			case LinkSlow:
				k = 1
				time.Sleep(5 * time.Millisecond)
			}
			r.bytes.Add(int64(k))
			if _, err := to.Write(buf[sent : sent+k]); err != nil {
				_, _ = io.Copy(io.Discard, from)
				return
			}
			sent += k
		}
		if err != nil {
			if r.waitWhileHeld(direction, generation) == LinkReset {
				reset(to)
			} else if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// waitWhileHeld blocks while the direction is stalled or the connection's generation is held back, and returns the mode that
// applies then; LinkReset once the relay is closed.
func (r *relay) waitWhileHeld(direction, generation int) LinkMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.mode[direction] == LinkStalled || generation <= r.heldGeneration) && !r.closed {
		r.cond.Wait()
	}
	if r.closed {
		return LinkReset
	}
	return r.mode[direction]
}
