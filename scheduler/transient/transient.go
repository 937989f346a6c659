// Package transient tells which errors of system calls are transient, so that the same call may soon succeed, and retries calls
// that fail with them. The scheduler, its event loop and its command line all decide by this package.
package transient

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// callErrnos are interruptions and shortages of resources, which any system call may report.
var callErrnos = []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.ENOSPC}

// fileErrnos are reported in addition by a disk or a file server with a temporary fault.
var fileErrnos = []unix.Errno{unix.EIO, unix.EDQUOT, unix.ETIMEDOUT, unix.ENOLCK, unix.ESTALE}

// IsTransient reports whether err wraps a transient error of a system call.
func IsTransient(err error) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(callErrnos, errno)
}

// IsTransientFile reports the same for an error of a call on a file, which has more transient errors than other calls.
func IsTransientFile(err error) bool {
	var errno unix.Errno
	return IsTransient(err) || errors.As(err, &errno) && slices.Contains(fileErrnos, errno)
}

const retryDelay = 10 * time.Millisecond

// Retry repeats a call every retryDelay while isTransient says so of its error, until limit has passed, and returns the last
// result. It blocks.
func Retry(limit time.Duration, isTransient func(error) bool, call func() error) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(retryDelay) {
		if err := call(); !isTransient(err) || time.Now().After(deadline) {
			return err
		}
	}
}
