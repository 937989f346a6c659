package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const patienceOfTests = 20 * time.Second

// recorder is a handler that hands what happens to the test's functions.
type recorder struct {
	accepted func(Conn)
	opened   func(Conn)
	traffic  func(Conn)
	closed   func(Conn, error)
	datagram func(netip.AddrPort, []byte)
}

func (r *recorder) Accepted(c Conn, _ *Listener) {
	if r.accepted != nil {
		r.accepted(c)
	}
}
func (r *recorder) Opened(c Conn) {
	if r.opened != nil {
		r.opened(c)
	}
}
func (r *recorder) Traffic(c Conn) {
	if r.traffic != nil {
		r.traffic(c)
	}
}
func (r *recorder) Closed(c Conn, err error) {
	if r.closed != nil {
		r.closed(c, err)
	}
}
func (r *recorder) Datagram(from netip.AddrPort, packet []byte) {
	if r.datagram != nil {
		r.datagram(from, packet)
	}
}

// run starts a loop with a listener until the test ends.
func run(t *testing.T, r *recorder) (*Loop, string) {
	t.Helper()
	l, err := New(r)
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	t.Cleanup(func() {
		l.Execute(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l, s.Addr().String()
}

func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patienceOfTests))
	return c
}

func get[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patienceOfTests):
		t.Fatal("it did not come")
		panic("unreachable")
	}
}

// Bytes that the handler leaves wait for those that follow, and what is discarded is gone.
func TestBytesWaitInOrder(t *testing.T) {
	seen := make(chan string, 10)
	_, addr := run(t, &recorder{traffic: func(c Conn) {
		all := string(c.Peek())
		if len(all) != c.InboundBuffered() {
			t.Errorf("%q, and %d are said to wait", all, c.InboundBuffered())
		}
		c.Discard(1)
		seen <- all
	}})
	c := connect(t, addr)
	for _, step := range []struct{ send, want string }{{"abc", "abc"}, {"de", "bcde"}, {"f", "cdef"}} {
		io.WriteString(c, step.send)
		if got := get(t, seen); got != step.want {
			t.Errorf("after %q: %q, want %q", step.send, got, step.want)
		}
	}
}

// What the system does not take at once goes out in order as the other side reads.
func TestALongAnswerGoesOutInOrder(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	_, addr := run(t, &recorder{accepted: func(c Conn) {
		for rest := long; len(rest) > 0; rest = rest[1<<18:] {
			if err := c.Write(rest[:1<<18]); err != nil {
				t.Error(err)
			}
		}
		if c.OutboundBuffered() == 0 {
			t.Error("the system took it all, so this shows nothing")
		}
	}})
	c := connect(t, addr)
	time.Sleep(20 * time.Millisecond)
	got := make([]byte, len(long))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, long) {
		t.Errorf("%v, same %t", err, bytes.Equal(got, long))
	}
}

// What is kept beyond its time is not sent, and the connection ends with it.
func TestWhatIsKeptTooLongIsNotSent(t *testing.T) {
	why := make(chan error, 1)
	sent := make(chan bool)
	_, addr := run(t, &recorder{
		accepted: func(c Conn) {
			c.SetWriteDeadline(time.Now().Add(30 * time.Millisecond))
			if err := c.Write(make([]byte, 16<<20)); err != nil || c.OutboundBuffered() == 0 {
				t.Errorf("%v, %d kept", err, c.OutboundBuffered())
			}
			close(sent)
		},
		closed: func(_ Conn, err error) { why <- err },
	})
	c := connect(t, addr)
	<-sent
	time.Sleep(60 * time.Millisecond)
	go io.Copy(io.Discard, c) // from now on the system would take more
	if err := get(t, why); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}

// A connection is told to have ended once, by whichever side, and why.
func TestEndsAreToldOnce(t *testing.T) {
	why := make(chan error, 10)
	l, addr := run(t, &recorder{
		traffic: func(c Conn) { c.Close(); c.Close() },
		closed:  func(_ Conn, err error) { why <- err },
	})
	io.WriteString(connect(t, addr), "x")
	if err := get(t, why); err != nil {
		t.Errorf("closed here: %v", err)
	}
	connect(t, addr).Close()
	if err := get(t, why); !errors.Is(err, io.EOF) {
		t.Errorf("closed there: %v", err)
	}
	c := connect(t, addr).(*net.TCPConn)
	c.SetLinger(0)
	c.Close()
	if err := get(t, why); !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("reset there: %v", err)
	}
	settled := make(chan bool)
	l.Execute(func() { close(settled) })
	<-settled
	if len(why) > 0 {
		t.Errorf("once more: %v", <-why)
	}
}

// Functions run on the loop in the order in which they were handed in, each once.
func TestExecuteRunsEachOnceInOrder(t *testing.T) {
	l, _ := run(t, &recorder{})
	const each = 1000
	var mu sync.Mutex
	next := map[int]int{}
	var all sync.WaitGroup
	for who := range 8 {
		all.Go(func() {
			for i := range each {
				l.Execute(func() {
					mu.Lock()
					defer mu.Unlock()
					if next[who] != i {
						t.Errorf("%d of %d comes when %d is due", i, who, next[who])
					}
					next[who]++
				})
			}
		})
	}
	all.Wait()
	done := make(chan bool)
	l.Execute(func() { close(done) })
	get(t, done)
	for who, n := range next {
		if n != each {
			t.Errorf("%d ran of %d", n, who)
		}
	}
}

// After the loop has ended, its descriptors are another's: nothing may be written there.
func TestExecuteAfterTheEndDoesNothing(t *testing.T) {
	l, err := New(&recorder{})
	if err != nil {
		t.Fatal(err)
	}
	l.Stop()
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	l.wake = pair[0]
	l.Execute(func() { t.Error("it ran") })
	if n, err := unix.Read(pair[1], make([]byte, 8)); err != unix.EAGAIN {
		t.Errorf("%d bytes, %v", n, err)
	}
}

func TestTimersRunInOrderAndMayBeStopped(t *testing.T) {
	l, _ := run(t, &recorder{})
	ran := make(chan int, 10)
	l.Execute(func() {
		for _, ms := range []int{30, 10, 20, 5} {
			timer := l.After(time.Duration(ms)*time.Millisecond, func() { ran <- ms })
			if ms == 20 {
				timer.Stop()
				timer.Stop()
			}
		}
		(*Timer)(nil).Stop()
	})
	for _, want := range []int{5, 10, 30} {
		if got := get(t, ran); got != want {
			t.Errorf("%d runs, and %d is due", got, want)
		}
	}
}

// A dial ends once: with a connection, or with a reason.
func TestDial(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	unheard, err := net.Listen("tcp", "127.0.0.1:0") // has an address, where nobody listens once it is closed
	if err != nil {
		t.Fatal(err)
	}
	nobody := unheard.Addr().String()
	unheard.Close()
	ends := make(chan any, 10)
	l, _ := run(t, &recorder{opened: func(c Conn) {
		// The system doubles what it is told, and holds a whole request whatever the way to the other side is like.
		if size, err := unix.GetsockoptInt(c.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF); err != nil || size != 2*sendBuffer {
			t.Errorf("the system takes %d bytes, %v", size, err)
		}
		ends <- c.Context()
	}})
	for _, c := range []struct {
		to   string
		want any
	}{{listener.Addr().String(), "up"}, {nobody, unix.ECONNREFUSED}} {
		inCall := true
		l.Execute(func() {
			l.Dial(netip.MustParseAddrPort(c.to), time.Second, "up", func(err error) {
				if inCall {
					t.Error("it failed within the call")
				}
				ends <- err
			})
			inCall = false
		})
		if got := get(t, ends); got != c.want {
			t.Errorf("%s: %v, want %v", c.to, got, c.want)
		}
	}
	time.Sleep(10 * time.Millisecond)
	if len(ends) > 0 {
		t.Errorf("a second end: %v", <-ends)
	}
}

// A connection knows since when its bytes may have been there: not from before they were sent where the loop was free, and from
// before they were sent where it was not.
func TestSinceWhenBytesMayHaveBeenThere(t *testing.T) {
	since := make(chan time.Time, 10)
	l, addr := run(t, &recorder{traffic: func(c Conn) {
		c.Discard(c.InboundBuffered())
		since <- c.Since()
	}})
	c := connect(t, addr)
	time.Sleep(50 * time.Millisecond)
	sent := time.Now()
	io.WriteString(c, "x")
	if at := get(t, since); at.Before(sent.Add(-heldUp)) {
		t.Errorf("a free loop puts it %v before it was sent", sent.Sub(at))
	}
	held := make(chan bool)
	l.Execute(func() {
		close(held)
		time.Sleep(100 * time.Millisecond)
	})
	<-held
	late := connect(t, addr) // is accepted late, too
	for _, c := range []net.Conn{c, late} {
		io.WriteString(c, "x")
	}
	sent = time.Now()
	for range 2 {
		if at := get(t, since); at.After(sent) {
			t.Errorf("a loop that was held puts it %v after it was sent", at.Sub(sent))
		}
	}
}

// The reaction to each error that the manuals of accept, connect, read and write document.
func TestReactions(t *testing.T) {
	for _, c := range []struct {
		errno                   unix.Errno
		inIO, accepting, dialed reaction
	}{
		{unix.EINTR, retryNow, retryNow, retryNow},
		{unix.EAGAIN, retryNow, retryNow, retryLater},
		{unix.ENOBUFS, retryLater, retryLater, retryLater},
		{unix.ENOMEM, retryLater, retryLater, retryLater},
		{unix.EMFILE, retryLater, retryLater, retryLater},
		{unix.ENFILE, retryLater, retryLater, retryLater},
		{unix.ENOSPC, retryLater, retryLater, retryLater},
		{unix.ECONNABORTED, ended, nextOne, ended},
		{unix.EPROTO, ended, nextOne, ended},
		{unix.EPERM, ended, nextOne, retryLater},
		{unix.ENETDOWN, ended, nextOne, retryLater},
		{unix.ENETUNREACH, ended, nextOne, retryLater},
		{unix.EADDRNOTAVAIL, ended, nextOne, retryLater},
		{unix.ETIMEDOUT, ended, nextOne, ended},
		{unix.EHOSTUNREACH, ended, nextOne, ended},
		{unix.ECONNREFUSED, ended, nextOne, ended},
		{unix.ECONNRESET, ended, nextOne, ended},
		{unix.EPIPE, ended, nextOne, ended},
		{unix.EIO, ended, nextOne, ended},
		{unix.EBADF, fatal, fatal, fatal},
		{unix.EINVAL, fatal, fatal, fatal},
	} {
		if got := [3]reaction{reactionTo(c.errno), acceptReaction(c.errno), connectReaction(c.errno)}; got !=
			[3]reaction{c.inIO, c.accepting, c.dialed} {
			t.Errorf("%v: %v", unix.ErrnoName(c.errno), got)
		}
	}
}

// Datagrams come with their sender's address, and go out from the listener's.
func TestDatagrams(t *testing.T) {
	type packet struct {
		from netip.AddrPort
		text string
	}
	got := make(chan packet, 10)
	l, err := New(&recorder{datagram: func(from netip.AddrPort, b []byte) { got <- packet{from, string(b)} }})
	if err != nil {
		t.Fatal(err)
	}
	var at [2]*Listener
	for i := range at {
		if at[i], err = l.ListenUDP("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	go l.Run()
	defer l.Execute(l.Stop)
	l.Execute(func() { at[0].Send([]byte("hello"), at[1].Addr()) })
	if p := get(t, got); p != (packet{at[0].Addr(), "hello"}) {
		t.Errorf("%+v, sent by %v", p, at[0].Addr())
	}
}
