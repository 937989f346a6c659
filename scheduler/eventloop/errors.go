package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
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
	case unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.ENOSPC:
		return retryLater
	case unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK:
		return fatal
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

// Passing tells whether an error of a system call is of the moment: the same call may succeed soon.
func Passing(err error) bool {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return false
	}
	r := reactionTo(errno)
	return r == retryNow || r == retryLater
}

const (
	persistFor   = 4 * time.Second
	persistDelay = 10 * time.Millisecond
)

// Persist makes a call again while it fails for the moment, for some seconds. It blocks: it is for what a start needs.
func Persist(call func() error) error {
	for end := time.Now().Add(persistFor); ; time.Sleep(persistDelay) {
		if err := call(); !Passing(err) || time.Now().After(end) {
			return err
		}
	}
}
