package eventloop

import (
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a stream connection on a loop. Its methods may be called on the loop's goroutine only.
type Conn interface {
	// Peek returns all bytes that were read and not yet discarded. The slice is valid until the next call of Discard, and no
	// longer than the current callback.
	Peek() []byte
	// Discard drops the first n of the bytes that Peek returns.
	Discard(n int)
	// Write sends b; bytes that the kernel's send buffer does not take yet are buffered and sent later. If the connection turns
	// out to have ended, it is closed, and the handler's Closed called, within the call.
	Write(b []byte) error
	// EarliestArrival is the earliest time at which the byte that was discarded last may have arrived in the kernel, whatever was
	// read after it.
	EarliestArrival() time.Time
	// PauseReads stops reading: what arrives stays in the kernel, whose buffer then holds up the sender. The end of the connection
	// is still reported, once all bytes before it are in the kernel. ResumeReads goes on; either may be called in any state.
	PauseReads()
	ResumeReads()
	// ReadsPaused tells whether reading is stopped.
	ReadsPaused() bool
	// NoteUnread records how much waits in the kernel, so that EarliestArrival is known for bytes that arrive during a pause: to
	// the time between two calls.
	NoteUnread()
	// SetReadLimit sets the most that is read in one iteration of the loop, in bytes.
	SetReadLimit(bytes int)
	// HeldBytes is about how much memory the connection takes for its buffers, in bytes.
	HeldBytes() int
	// SetWriteDeadline sets the time after which buffered bytes are no longer sent: the connection is then closed with
	// os.ErrDeadlineExceeded as soon as it becomes writable.
	SetWriteDeadline(t time.Time)
	// InboundBuffered is the number of bytes that Peek returns.
	InboundBuffered() int
	// OutboundBuffered is the number of written bytes that the kernel has not taken yet.
	OutboundBuffered() int
	// Close closes the connection; the handler's Closed is called within the call. A second call does nothing.
	Close()
	// Fd returns the descriptor. The connection still owns it: the caller must not close it.
	Fd() int
	// Context returns the value given to Dial or Adopt, or to the last call of SetContext.
	Context() any
	// SetContext attaches a value to the connection.
	SetContext(any)
}

// readState says whether a connection is read.
type readState int

const (
	reading readState = iota
	paused            // by PauseReads
)

type conn struct {
	loop          *Loop
	fd            int
	interest      interest
	context       any
	open          bool
	readState     readState
	readLimit     int       // bytes
	inLoopBuffer  []byte    // the bytes just read, in the loop's shared buffer; valid during the DataReceived callback only
	arrivals      arrivals  // of the bytes that were read
	inbound       queue     // bytes of earlier reads that were not discarded; they precede inLoopBuffer
	outbound      queue     // not taken by the kernel yet
	writeDeadline time.Time // zero: none
	pauseTimer    *Timer    // not nil while reads and writes are suspended because a resource is short
}

// addConn creates the connection of a descriptor; epoll does not report it before its interest is set.
func (l *Loop) addConn(fd int, context any) *conn {
	now := time.Now()
	c := &conn{loop: l, fd: fd, context: context, open: true, readLimit: readBufferBytes, arrivals: arrivals{lastDiscarded: now},
		interest: interest{loop: l, fd: fd, earliestArrival: now}}
	l.sources[fd] = c
	return c
}

// Adopt takes ownership of the descriptor of an established connection; the handler's Opened is called within the call.
func (l *Loop) Adopt(fd int, context any) error {
	if err := unix.SetNonblock(fd, true); err != nil {
		return err
	}
	unix.CloseOnExec(fd)
	c := l.addConn(fd, context)
	c.interest.set(unix.EPOLLIN)
	l.handler.Opened(c)
	return nil
}

func (c *conn) Fd() int                    { return c.fd }
func (c *conn) Context() any               { return c.context }
func (c *conn) SetContext(context any)     { c.context = context }
func (c *conn) InboundBuffered() int       { return c.inbound.len() + len(c.inLoopBuffer) }
func (c *conn) OutboundBuffered() int      { return c.outbound.len() }
func (c *conn) EarliestArrival() time.Time { return c.arrivals.lastDiscarded }

func (c *conn) ReadsPaused() bool { return c.readState == paused }

func (c *conn) PauseReads() {
	if c.open && c.readState != paused {
		c.readState, c.arrivals.checkedAt = paused, c.interest.earliestArrival
		c.NoteUnread()
		c.updateInterest()
	}
}

func (c *conn) ResumeReads() {
	if c.open && c.readState != reading {
		c.readState = reading
		c.updateInterest()
	}
}

func (c *conn) NoteUnread() {
	if n, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ); err == nil {
		c.arrivals.noteUnread(n, time.Now())
	}
}

func (c *conn) SetReadLimit(bytes int) { c.readLimit = min(max(bytes, 1), readBufferBytes) }

func (c *conn) HeldBytes() int {
	return c.inbound.heldBytes() + len(c.inLoopBuffer) + c.outbound.heldBytes() + c.arrivals.heldBytes()
}

func (c *conn) SetWriteDeadline(t time.Time) { c.writeDeadline = t }

func (c *conn) Peek() []byte {
	if c.inbound.len() == 0 {
		return c.inLoopBuffer
	}
	c.saveLoopBuffer()
	return c.inbound.bytes()
}

// saveLoopBuffer copies the bytes just read out of the loop's buffer, which the next read overwrites.
func (c *conn) saveLoopBuffer() {
	if len(c.inLoopBuffer) > 0 {
		c.inbound.append(c.inLoopBuffer)
		c.inLoopBuffer = nil
	}
}

func (c *conn) Discard(n int) {
	c.arrivals.noteDiscarded(min(n, c.InboundBuffered()))
	left := c.inbound.len()
	c.inbound.discard(min(n, left))
	if n > left {
		c.inLoopBuffer = c.inLoopBuffer[min(n-left, len(c.inLoopBuffer)):]
	}
}

// handleEvents reads before it writes, so that bytes that the other side sent before it closed are still read.
func (c *conn) handleEvents(events uint32) {
	switch {
	case c.readState == paused:
		c.handleEndDuringPause(events)
	case events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0:
		c.interest.readable()
		c.read()
	}
	if c.open && events&unix.EPOLLOUT != 0 {
		c.flush()
	}
}

// handleEndDuringPause closes a paused connection that the other side has ended. The bytes before the end are not read any more.
func (c *conn) handleEndDuringPause(events uint32) {
	switch {
	case events&unix.EPOLLERR != 0:
		reason := unix.ECONNRESET
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			reason = unix.Errno(code)
		}
		c.closeWith(os.NewSyscallError("read", reason))
	case events&(unix.EPOLLRDHUP|unix.EPOLLHUP) != 0:
		c.closeWith(os.NewSyscallError("read", io.EOF))
	}
}

func (c *conn) read() {
	n, err := unix.Read(c.fd, c.loop.buffer[:c.readLimit])
	switch {
	case err != nil:
		c.handleError("read", err)
	case n == 0:
		c.closeWith(os.NewSyscallError("read", io.EOF))
	default:
		c.arrivals.noteRead(n, c.interest.earliestArrival)
		c.inLoopBuffer = c.loop.buffer[:n]
		c.loop.handler.DataReceived(c)
		if c.open {
			c.saveLoopBuffer()
		}
	}
}

// handleError handles an error of a read or a write. While a resource is short the connection pauses for retryDelay; after an
// interruption, or where the call would block, epoll reports when to try again; any other error closes the connection.
func (c *conn) handleError(call string, err error) {
	switch c.loop.recordFailure(call, err) {
	case retryNow:
	case retryLater:
		c.pause()
	default:
		c.closeWith(os.NewSyscallError(call, err))
	}
}

// pause suspends reading and writing for retryDelay.
func (c *conn) pause() {
	if c.pauseTimer != nil {
		return
	}
	c.pauseTimer = c.loop.After(retryDelay, func() {
		c.pauseTimer = nil
		c.updateInterest()
	})
	c.updateInterest()
}

// updateInterest has epoll report what the connection waits for: readability, or the other side's end alone while reads are paused;
// writability while bytes are buffered; and nothing while a resource is short.
func (c *conn) updateInterest() {
	events := uint32(unix.EPOLLIN)
	if c.readState == paused {
		events = unix.EPOLLRDHUP
	}
	if c.outbound.len() > 0 {
		events |= unix.EPOLLOUT
	}
	if c.pauseTimer != nil {
		events = 0
	}
	c.interest.set(events)
}

func (c *conn) Write(b []byte) error {
	if !c.open {
		return io.ErrClosedPipe
	}
	if c.outbound.len() > 0 || c.pauseTimer != nil {
		c.outbound.append(b)
		return nil
	}
	n, err := unix.Write(c.fd, b)
	if n = max(n, 0); n < len(b) {
		c.outbound.append(b[n:])
	}
	if err != nil {
		c.handleError("write", err)
	}
	if !c.open {
		return err
	}
	if c.outbound.len() > 0 {
		c.updateInterest()
	}
	return nil
}

// flush sends buffered bytes, or closes the connection if their write deadline has passed.
func (c *conn) flush() {
	if c.outbound.len() == 0 {
		c.updateInterest()
		return
	}
	if !c.writeDeadline.IsZero() && time.Now().After(c.writeDeadline) {
		c.closeWith(os.ErrDeadlineExceeded)
		return
	}
	n, err := unix.Write(c.fd, c.outbound.bytes())
	if err != nil {
		c.handleError("write", err)
		return
	}
	if c.outbound.discard(n); c.outbound.len() == 0 {
		c.updateInterest()
	}
}

func (c *conn) Close() { c.closeWith(nil) }

// closeWith closes the connection and passes the reason to the handler's Closed; nil means that Close was called.
func (c *conn) closeWith(reason error) {
	if !c.open {
		return
	}
	c.open = false
	delete(c.loop.sources, c.fd)
	c.loop.handler.Closed(c, reason)
	if reason == nil && c.outbound.len() > 0 {
		_, _ = unix.Write(c.fd, c.outbound.bytes()) // a handler that doesn't want these bytes sent has shut down the socket in Closed
	}
	c.pauseTimer.Stop()
	c.interest.close()
	c.inLoopBuffer, c.inbound, c.outbound = nil, queue{}, queue{}
}
