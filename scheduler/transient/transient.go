// Package transient tells errors of system calls that pass by themselves from those that mean something, and makes calls of a
// start again. It is one place for what the scheduler, its event loop and its command line take for passing.
package transient

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// ofCalls are interruptions and shortages: the same call may succeed soon.
var ofCalls = []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ENFILE, unix.ENOSPC}

// ofFiles are further ones of a disk or a file server that is in trouble.
var ofFiles = []unix.Errno{unix.EIO, unix.EDQUOT, unix.ETIMEDOUT, unix.ENOLCK, unix.ESTALE}

// Error tells whether an error of a system call is of the moment.
func Error(err error) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(ofCalls, errno)
}

// FileError tells the same of a call on a file.
func FileError(err error) bool {
	var errno unix.Errno
	return Error(err) || errors.As(err, &errno) && slices.Contains(ofFiles, errno)
}

const retryDelay = 10 * time.Millisecond

// Retry makes a call again while its error passes, for at most so long. It blocks.
func Retry(most time.Duration, passes func(error) bool, call func() error) error {
	for end := time.Now().Add(most); ; time.Sleep(retryDelay) {
		if err := call(); !passes(err) || time.Now().After(end) {
			return err
		}
	}
}
