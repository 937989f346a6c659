package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"shalebeam/scheduler/transient"
)

// This file says how the loop reacts to each error of a system call. docs/design/system-calls.md has the same as a table.

// reaction is what the loop does after an error.
type reaction int

const (
	retryNow        reaction = iota // the call had no effect; the same call may succeed at once
	retryLater                      // a resource is short; the call may succeed after retryDelay
	skipConnection                  // the error concerns one connection that was not accepted yet; go on with the next
	connectionEnded                 // the connection has ended
	programError                    // the call was wrong, as with a bad descriptor or argument
)

// reactionTo returns the reaction to an error of a call on a connection. Any error not named here ends the connection.
func reactionTo(err error) reaction {
	switch err {
	case unix.EINTR, unix.EAGAIN:
		return retryNow
	case unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK:
		return programError
	}
	if transient.IsTransient(err) {
		return retryLater
	}
	return connectionEnded
}

// acceptReaction returns the reaction to an error of accept, which also reports errors of the connection that it would have
// returned.
func acceptReaction(err error) reaction {
	if r := reactionTo(err); r != connectionEnded {
		return r
	}
	return skipConnection
}

// connectReaction returns the reaction to an error of socket or connect: a missing route or local port says nothing about the
// remote side, and so is retried.
func connectReaction(err error) reaction {
	switch err {
	case unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN, unix.EADDRINUSE, unix.EPERM, unix.EACCES, unix.EAGAIN:
		return retryLater
	}
	return reactionTo(err)
}

// FailedCall is a kind of failed system call, as counted by FailureCounts.
type FailedCall struct {
	Call  string // the name of the system call, such as "accept"
	Errno unix.Errno
}

// recordFailure counts a failed call, except with EAGAIN, and returns the reaction to it.
func (l *Loop) recordFailure(call string, err error) reaction {
	if errno, ok := err.(unix.Errno); ok && errno != unix.EAGAIN {
		l.failures[FailedCall{call, errno}]++
	}
	return reactionTo(err)
}

// FailureCounts returns how many system calls failed, by call and error. EAGAIN is not counted: it only says that nothing was
// ready.
func (l *Loop) FailureCounts() map[FailedCall]uint64 { return l.failures }

// startRetryLimit is how long a call that fails with transient errors is repeated before the creation of a loop or of a listener
// fails.
const startRetryLimit = 4 * time.Second

// retryAtStart repeats a call while it fails with a transient error, for at most startRetryLimit. It blocks.
func retryAtStart(call func() error) error {
	return transient.Retry(startRetryLimit, transient.IsTransient, call)
}
