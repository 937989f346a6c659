package cluster

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a link does to the bytes of one direction.
type Mode int

const (
	Whole   Mode = iota
	Stalled      // bytes are taken, and none delivered; they come when it is whole again
	Slow         // a byte now and then
	Gone         // connections are reset, and none is made
)

// relay is a directed link from one process to another's address: what the one sends, and what comes back.
type relay struct {
	l     net.Listener
	to    string
	mu    sync.Mutex
	cond  *sync.Cond
	mode  [2]Mode // there, and back
	open  map[net.Conn]bool
	done  bool
	turn  int          // of the connections made from now on
	bytes atomic.Int64 // carried, both ways
	held  int          // those of this turn and before deliver nothing, while later ones pass
}

func newRelay(to string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{l: l, to: to, open: map[net.Conn]bool{}, held: -1}
	r.cond = sync.NewCond(&r.mu)
	go r.run()
	return r, nil
}

func (r *relay) addr() string { return r.l.Addr().String() }

func (r *relay) set(there, back Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = [2]Mode{there, back}
	if there == Gone || back == Gone {
		for c := range r.open {
			reset(c)
		}
	}
	r.cond.Broadcast()
}

// hold keeps what lies in the connections that are open now, and lets later ones pass: one path of several is stuck.
// Release delivers it.
func (r *relay) hold() {
	r.mu.Lock()
	r.held = r.turn
	r.turn++
	r.mode = [2]Mode{}
	r.mu.Unlock()
}

func (r *relay) release() {
	r.mu.Lock()
	r.held = -1
	r.cond.Broadcast()
	r.mu.Unlock()
}

func (r *relay) close() {
	r.mu.Lock()
	r.done = true
	for c := range r.open {
		c.Close()
	}
	r.cond.Broadcast()
	r.mu.Unlock()
	r.l.Close()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (r *relay) run() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		turn, gone := r.turn, r.mode[0] == Gone || r.mode[1] == Gone || r.done
		if !gone {
			r.open[c] = true
		}
		r.mu.Unlock()
		if gone {
			reset(c)
			continue
		}
		go r.join(c, turn)
	}
}

func (r *relay) join(c net.Conn, turn int) {
	defer r.forget(c)
	// What was sent into a stalled link is delivered when it is whole again, though its sender has long given up, and to
	// whoever listens there by then: a process may have been started again meanwhile.
	first := make([]byte, 32<<10)
	n, err := c.Read(first)
	if err != nil || r.wait(0, turn) == Gone {
		reset(c)
		return
	}
	s, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	r.mu.Lock()
	r.open[s] = true
	r.mu.Unlock()
	defer r.forget(s)
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.copy(1, turn, nil, c, s)
	}()
	r.copy(0, turn, first[:n], s, c)
	<-back
}

func (r *relay) forget(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.open, c)
	r.mu.Unlock()
}

// copy carries one direction until its end, which it passes on in its turn; first is what was read of it already.
func (r *relay) copy(way, turn int, first []byte, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := len(first), error(nil)
		if copy(buf, first); n == 0 {
			n, err = from.Read(buf)
		}
		first = nil
		for sent := 0; sent < n; {
			k := n - sent
			switch r.wait(way, turn) {
			case Gone:
				reset(to)
				return
			case Slow:
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
			if r.wait(way, turn) == Gone {
				reset(to)
			} else if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// wait holds bytes while the link is stalled.
func (r *relay) wait(way, turn int) Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.mode[way] == Stalled || turn <= r.held) && !r.done {
		r.cond.Wait()
	}
	if r.done {
		return Gone
	}
	return r.mode[way]
}
