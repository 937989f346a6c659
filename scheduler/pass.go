package scheduler

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/scheduler/transient"
)

// What is open passes from a process that drains to the one that has taken over: one message is one
// connection of a client, with its txn where it waits for one. Sent, all of it is the other process's; else
// nothing is.

const (
	passMost = 200 << 10 // a message; what is larger stays
	passFds  = 16
	// A message that can't be taken for the moment is looked at again after this.
	passAgain = time.Millisecond
	// Of a process that does not tell its clock: were the wall clock set between their starts, times are moved by that.
	clockOff = 1000.0
)

// passed is one message. Its descriptors are the client's, then those of the postings that are out, in order.
type passed struct {
	Now  float64
	Boot float64 // of the sender's clock
	Used bool
	Txn  *passedTxn `json:",omitempty"`
}

type passedTxn struct {
	Known              balance.Carried
	Method, Path, Host string
	Mark, Kind         string
	Body               []byte
	Until              float64
	Posts              []passedPost
}

// passedPost is a posting that is out.
type passedPost struct {
	No        int
	Worker    string
	Addr      string
	Until, By float64 // By below 0: at any time
	Response  []byte
}

// ---- the process that drains ----

// give passes on what can be now. What can't, as a message is half read or written or a connection is being
// made, is tried again.
func (h *handover) give() {
	if h.to == 0 || h.giving {
		return
	}
	h.giving = true
	defer func() { h.giving = false }()
	cs := &h.s.clients
	for i := len(cs.all) - 1; i >= 0; i-- {
		if i >= len(cs.all) {
			continue // closed meanwhile
		}
		if c := cs.all[i]; c.mayPass() && !h.giveOne(c) {
			return
		}
	}
}

func (c *client) mayPass() bool {
	if c.conn == nil || c.ends || c.full || c.conn.OutboundBuffered() > 0 || c.conn.InboundBuffered() > 0 {
		return false
	}
	return c.t == nil && !c.begun || c.t != nil && c.t.mayPass()
}

func (t *txn) mayPass() bool {
	if t.over {
		return false
	}
	for _, p := range t.posts {
		if l := p.conn; l != nil && (l.state != busy || l.writing || l.conn == nil ||
			l.conn.OutboundBuffered() > 0 || l.conn.InboundBuffered() > 0) {
			return false
		}
	}
	return t.out < passFds
}

// giveOne passes on one connection, and tells whether the way is open for more.
func (h *handover) giveOne(c *client) bool {
	m := passed{Now: h.s.now(), Boot: h.s.clock.boot, Used: c.used}
	fds := []int{c.conn.Fd()}
	if t := c.t; t != nil {
		known, ok := h.s.drive.mod.Open(t.ref)
		if !ok {
			return true
		}
		a := &t.ask
		m.Txn = &passedTxn{known, a.method, a.path, a.host, a.mark, a.kind, a.body, t.until, nil}
		for _, p := range t.posts {
			l := p.conn
			if l == nil {
				continue
			}
			resp, err := l.resp.Save()
			if err != nil {
				return true
			}
			x := passedPost{p.no, l.to.id, l.addr, p.until, -1, resp}
			if p.by < t.until {
				x.By = p.by // later it is of no account, and infinity has no JSON
			}
			m.Txn.Posts = append(m.Txn.Posts, x)
			fds = append(fds, l.conn.Fd())
		}
	}
	raw, err := json.Marshal(m)
	if err != nil || len(raw) > passMost {
		return true
	}
	err = unix.Sendmsg(h.to, raw, unix.UnixRights(fds...), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		if !transient.Error(err) {
			h.s.log.Printf("msg=handover state=broken err=%q", err)
			h.hangUp()
		}
		return false
	}
	h.gave++
	c.passOn()
	return true
}

// passOn forgets a connection that is another process's now, and what waits for its answer.
func (c *client) passOn() {
	d := &c.s.drive
	if t := c.t; t != nil {
		c.t, t.from, t.over = nil, nil, true
		d.mod.Gone(d.s.now(), t.ref)
		for _, p := range t.posts {
			if l := p.conn; l != nil {
				l.p, p.conn = nil, nil
				d.ended++
				t.out--
				d.mod.Ended(d.s.now(), t.ref, p.no, balance.Cancelled, true, balance.NoLoad)
				l.close()
			}
		}
		d.forget(t)
	}
	c.close()
}

// reach finds the process that has taken over. Without it all is finished here.
func (h *handover) reach() {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 2*passMost)
		if err = unix.Connect(fd, &unix.SockaddrUnix{Name: h.path + passName}); err != nil {
			_ = unix.Close(fd)
		}
	}
	if err != nil {
		h.s.log.Printf("msg=handover state=unreached err=%q", err)
		return
	}
	h.to = fd
}

func (h *handover) hangUp() {
	if h.to != 0 {
		h.s.log.Printf("msg=handover state=given clients=%d left=%d", h.gave, len(h.s.clients.all))
		_ = unix.Close(h.to)
		h.to = 0
	}
}

// ---- the process that takes over ----

const passName = ".pass"

// await lets another process pass on what it has open.
func (h *handover) await() {
	name := h.path + passName
	_ = os.Remove(name) // of one that was killed
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: name, Net: "unixpacket"})
	if err != nil {
		h.s.log.Printf("msg=handover state=unreached err=%q", err)
		return
	}
	h.from = l
	go func() {
		for {
			c, err := l.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return // this process is alone
			}
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			go h.take1(c)
		}
	}()
}

// take1 takes what one process passes on, until that ends.
func (h *handover) take1(from *net.UnixConn) {
	defer from.Close()
	for {
		raw, fds, err := receive(from)
		if err != nil || len(raw) == 0 && len(fds) == 0 {
			return
		}
		if len(raw) > passMost {
			err = fmt.Errorf("a message of over %d bytes", passMost)
		} else {
			err = h.takeOne(raw, fds)
		}
		if err != nil {
			h.s.log.Printf("msg=malformed from=process err=%q", err)
			closeAll(fds)
		}
	}
}

// receive takes one message and its descriptors. It looks at it first, which has copies of the descriptors made: where this
// process may not have so many just now, the message still waits, and is looked at again. Only then it is taken out.
func receive(from *net.UnixConn) (raw []byte, fds []int, err error) {
	conn, err := from.SyscallConn()
	if err != nil {
		return nil, nil, err
	}
	buffer, oob := make([]byte, passMost+1), make([]byte, unix.CmsgSpace(4*passFds))
	for {
		n, m, flags, err := recvmsg(conn, buffer, oob, unix.MSG_PEEK|unix.MSG_CMSG_CLOEXEC)
		if err != nil {
			return nil, nil, err
		}
		raw, fds = buffer[:n], rights(oob[:m])
		if flags&unix.MSG_CTRUNC == 0 {
			break
		}
		closeAll(fds)
		time.Sleep(passAgain)
	}
	if _, _, _, err := recvmsg(conn, make([]byte, 1), nil, 0); err != nil {
		closeAll(fds)
		return nil, nil, err
	}
	return raw, fds, nil
}

// recvmsg waits for a message, also while that fails for the moment.
func recvmsg(conn syscall.RawConn, raw, oob []byte, flags int) (n, m, got int, err error) {
	for {
		failed := conn.Read(func(fd uintptr) bool {
			n, m, got, _, err = unix.Recvmsg(int(fd), raw, oob, flags|unix.MSG_DONTWAIT)
			return err != unix.EAGAIN
		})
		if failed != nil {
			return 0, 0, 0, failed
		}
		if !transient.Error(err) {
			return n, m, got, err
		}
		time.Sleep(passAgain)
	}
}

// rights are the descriptors of a message.
func rights(oob []byte) (fds []int) {
	all, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range all {
		more, _ := unix.ParseUnixRights(&all[i]) // of another kind there are none
		fds = append(fds, more...)
	}
	return fds
}

func closeAll(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// takeOne makes of a message what it was in the other process. Where it fails the descriptors are still the caller's.
func (h *handover) takeOne(raw []byte, fds []int) error {
	var m passed
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	<-h.s.ready
	if h.s.loop == nil || len(fds) == 0 || m.Txn != nil && len(fds) != 1+len(m.Txn.Posts) {
		return fmt.Errorf("%d connections", len(fds))
	}
	h.s.onLoop(func() { h.adopt(m, fds) })
	return nil
}

// adopt brings the connections of a message to the loop. The client's comes first, as an answer may be due at once; until its
// txn is there nothing is read from it.
func (h *handover) adopt(m passed, fds []int) {
	s := h.s
	c := &client{s: s, used: m.Used, passed: true, reads: m.Txn != nil}
	if err := s.loop.Adopt(fds[0], c); err != nil {
		s.log.Printf("msg=malformed from=process err=%q", err)
		closeAll(fds)
		return
	}
	if m.Txn == nil {
		return
	}
	for i, l := range s.drive.carry(c, m) {
		fd := fds[i+1]
		if l == nil {
			_ = unix.Close(fd)
		} else if err := s.loop.Adopt(fd, l); err != nil {
			_ = unix.Close(fd)
			s.pool.drop(l)
			l.end(balance.Reset)
		}
	}
}

// carry goes on with a txn of another process. Its connections are still to be brought to the loop, nil where
// nothing is wanted of them any more.
func (d *drive) carry(c *client, m passed) []*workerConn {
	x, now := m.Txn, d.s.now()
	conns := make([]*workerConn, len(x.Posts))
	if c.reads = false; c.conn == nil || d.txns[x.Known.Txn.Ref] != nil {
		c.close() // it has left meanwhile; what ran for it ends with its connection
		return conns
	}
	off := d.s.clock.shiftFrom(m.Boot)
	if late := now - m.Now; m.Boot == 0 && (late < 0 || late > clockOff) {
		off = late
	}
	k := &x.Known
	k.Came, k.Due, k.Until = k.Came+off, k.Due+off, k.Until+off
	for i := range k.Posts {
		k.Posts[i].At += off
		k.Posts[i].Start += off
	}
	t := &txn{ref: k.Txn.Ref, from: c, until: min(x.Until+off, d.stopAt)}
	t.ask = ask{txn: k.Txn, row: &k.Row, method: x.Method, path: x.Path, host: x.Host, mark: x.Mark, kind: x.Kind,
		body: x.Body}
	c.hold(len(x.Body))
	t.posts = make([]*posting, len(k.Posts))
	for i := range t.posts {
		t.posts[i] = &posting{t: t, no: i}
	}
	for i, q := range x.Posts {
		if q.No < 0 || q.No >= len(t.posts) {
			continue
		}
		p := t.posts[q.No]
		if p.until, p.by = min(q.Until+off, t.until), q.By+off; q.By < 0 {
			p.by = t.until
		}
		to := d.s.pool.target(q.Worker)
		if to == nil {
			to = &target{id: q.Worker, addr: q.Addr}
		}
		l := &workerConn{s: d.s, to: to, addr: q.Addr, rested: -1, state: busy, passed: true, p: p,
			at: len(d.s.pool.conns)}
		if err := l.resp.Restore(q.Response, responseLimits); err != nil {
			d.s.log.Printf("msg=malformed from=process err=%q", err)
		}
		d.s.pool.conns = append(d.s.pool.conns, l)
		p.conn, conns[i] = l, l
		t.out++
		heap.Push(&d.ends, ending{p.until, p})
	}
	d.txns[t.ref], c.t = t, t
	d.mod.Carry(*k)
	d.s.handover.got++
	return conns
}
