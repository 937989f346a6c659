package eventloop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A connection whose reads are paused takes no more bytes, can still be written to, and goes on where it was.
func TestPausedConnectionIsNotRead(t *testing.T) {
	const total = 8 << 20
	var received atomic.Int64
	paused := make(chan Conn, 1)
	l, addr := run(t, &recorder{traffic: func(c Conn) {
		received.Add(int64(c.InboundBuffered()))
		c.Discard(c.InboundBuffered())
		if len(paused) == 0 && received.Load() <= readBufferBytes {
			c.PauseReads()
			c.PauseReads()
			_ = c.Write([]byte("paused"))
			paused <- c
		}
	}})
	c := connect(t, addr)
	go func() { _, _ = c.Write(make([]byte, total)) }()
	answer := make([]byte, len("paused"))
	if _, err := io.ReadFull(c, answer); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := received.Load(); n > readBufferBytes {
		t.Errorf("%d bytes were read, want at most one read's", n)
	}
	server := <-paused
	paused <- server
	l.Execute(server.ResumeReads)
	for end := time.Now().Add(testTimeout); received.Load() < total; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d bytes were read after the pause", received.Load(), total)
		}
	}
}

// The other side's end is reported once, also while reads are paused and bytes are unread.
func TestEndOfPausedConnectionIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(c *net.TCPConn)
		want error
	}{
		"closed": {func(c *net.TCPConn) { c.Close() }, io.EOF},
		"reset": {func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		}, unix.ECONNRESET},
		"half-closed": {func(c *net.TCPConn) { c.CloseWrite() }, io.EOF},
	} {
		ends := make(chan error, 10)
		traffic := make(chan bool, 10)
		_, addr := run(t, &recorder{traffic: func(c Conn) {
			c.PauseReads()
			traffic <- true
		}, closed: func(_ Conn, err error) { ends <- err }})
		c := connect(t, addr).(*net.TCPConn)
		_, _ = c.Write(make([]byte, 100))
		get(t, traffic)
		_, _ = c.Write(make([]byte, 100))
		time.Sleep(10 * time.Millisecond)
		test.end(c)
		if err := get(t, ends); !errors.Is(err, test.want) {
			t.Errorf("%s: ended with %v, want %v", name, err, test.want)
		}
		time.Sleep(5 * time.Millisecond)
		if len(ends)+len(traffic) > 0 {
			t.Errorf("%s: %d more ends and %d more reads", name, len(ends), len(traffic))
		}
	}
}

// Bytes that were in the kernel when a pause began, after a time in which the loop was busy, counted as having come at its begin.
func TestBytesUnreadAtBeginOfPauseKeepTheirArrival(t *testing.T) {
	const total = 2 * readBufferBytes
	paused, since := make(chan Conn, 1), make(chan time.Time, 1)
	received := 0
	l, addr := run(t, &recorder{traffic: func(c Conn) {
		received += c.InboundBuffered()
		c.Discard(c.InboundBuffered())
		switch {
		case received >= total:
			since <- c.EarliestArrival()
		case len(paused) == 0:
			c.PauseReads()
			paused <- c
		}
	}})
	c := connect(t, addr)
	time.Sleep(20 * time.Millisecond) // it is accepted
	busy := make(chan bool)
	l.Execute(func() {
		close(busy)
		time.Sleep(200 * time.Millisecond)
	})
	<-busy
	if _, err := c.Write(make([]byte, total)); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	l.Execute(get(t, paused).ResumeReads)
	if at := get(t, since); at.After(sent) {
		t.Errorf("the last byte counts as come %v after it was sent", at.Sub(sent))
	}
}
