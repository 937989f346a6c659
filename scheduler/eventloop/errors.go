package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/scheduler/transient"
)

// What each error of a system call means to the loop. docs/design/system-calls.md has the same as a table.

// reaction is what follows from an error.
type reaction int

const (
	retryNow   reaction = iota // nothing happened; the same call may succeed at once
	retryLater                 // a resource is short for a moment
	nextOne                    // it concerns one connection that nobody holds yet
	ended                      // the connection has ended
	fatal                      // the program is wrong
)

// reactionTo tells what an error calls for. Those that are not named tell the end of what the call was for.
func reactionTo(err error) reaction {
	switch err {
	case unix.EINTR, unix.EAGAIN:
		return retryNow
	case unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK:
		return fatal
	}
	if transient.Error(err) {
		return retryLater
	}
	return ended
}

// acceptReaction is that of accept: the kernel passes on errors of the connection that it would have returned.
func acceptReaction(err error) reaction {
	if r := reactionTo(err); r != ended {
		return r
	}
	return nextOne
}

// connectReaction is that of socket and connect: a route or a port that is missing here tells nothing of the other side.
func connectReaction(err error) reaction {
	switch err {
	case unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN, unix.EADDRINUSE, unix.EPERM, unix.EACCES, unix.EAGAIN:
		return retryLater
	}
	return reactionTo(err)
}

// Failure is a kind of failed system call.
type Failure struct {
	Call  string
	Errno unix.Errno
}

// failed counts a failed call and tells what it calls for.
func (l *Loop) failed(call string, err error) reaction {
	if errno, ok := err.(unix.Errno); ok && errno != unix.EAGAIN {
		l.failures[Failure{call, errno}]++
	}
	return reactionTo(err)
}

// Failures counts the system calls that failed, but for those that only had nothing to do.
func (l *Loop) Failures() map[Failure]uint64 { return l.failures }

// startFor is how long a call may fail for the moment before a start gives up.
const startFor = 4 * time.Second

// persist makes a call of the start again while it fails for the moment.
func persist(call func() error) error { return transient.Retry(startFor, transient.Error, call) }
