package transient

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestErrorsOfTheMoment(t *testing.T) {
	for _, c := range []struct {
		err        error
		call, file bool
	}{
		{nil, false, false},
		{errors.New("no errno"), false, false},
		{unix.EINTR, true, true},
		{os.NewSyscallError("socket", unix.ENFILE), true, true},
		{fmt.Errorf("read: %w", &os.PathError{Op: "open", Err: unix.EIO}), false, true},
		{&os.PathError{Op: "open", Err: unix.ENOENT}, false, false},
		{unix.ECONNREFUSED, false, false},
	} {
		if Error(c.err) != c.call || FileError(c.err) != c.file {
			t.Errorf("%v: %t %t", c.err, Error(c.err), FileError(c.err))
		}
	}
}

func TestRetryEndsWithTheFirstOtherError(t *testing.T) {
	calls := 0
	err := Retry(time.Minute, Error, func() error {
		if calls++; calls < 3 {
			return unix.ENOBUFS
		}
		return unix.EADDRINUSE
	})
	if calls != 3 || err != unix.EADDRINUSE {
		t.Errorf("%d calls, %v", calls, err)
	}
	if err := Retry(0, Error, func() error { return unix.ENOBUFS }); err != unix.ENOBUFS {
		t.Errorf("after its time: %v", err)
	}
}

// failing is a listener whose first calls fail.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

func TestAListenerOutlivesItsErrors(t *testing.T) {
	f := &failing{errs: []error{unix.ENOBUFS, unix.EPROTO, unix.ENOMEM, nil, net.ErrClosed}}
	l := Listener(f)
	if _, err := l.Accept(); err != nil || len(f.errs) != 1 {
		t.Errorf("%v, %d left", err, len(f.errs))
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}
