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

func TestWhichErrorsAreTransient(t *testing.T) {
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
		if IsTransient(c.err) != c.call || IsTransientFile(c.err) != c.file {
			t.Errorf("%v: transient for a call: %t, want %t; for a file: %t, want %t", c.err, IsTransient(c.err), c.call,
				IsTransientFile(c.err), c.file)
		}
	}
}

func TestRetryEndsWithTheFirstOtherError(t *testing.T) {
	calls := 0
	err := Retry(time.Minute, IsTransient, func() error {
		if calls++; calls < 3 {
			return unix.ENOBUFS
		}
		return unix.EADDRINUSE
	})
	if calls != 3 || err != unix.EADDRINUSE {
		t.Errorf("%d calls, last error %v, want 3 calls, last error %v", calls, err, unix.EADDRINUSE)
	}
	if err := Retry(0, IsTransient, func() error { return unix.ENOBUFS }); err != unix.ENOBUFS {
		t.Errorf("after its time limit: error %v, want %v", err, unix.ENOBUFS)
	}
}

// failingListener is a listener whose calls of Accept return the given errors in order.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

func TestListenerRetriesAfterErrors(t *testing.T) {
	f := &failingListener{errs: []error{unix.ENOBUFS, unix.EPROTO, unix.ENOMEM, nil, net.ErrClosed}}
	l := RetryAccept(f)
	if _, err := l.Accept(); err != nil || len(f.errs) != 1 {
		t.Errorf("error %v, %d results not used, want no error and 1", err, len(f.errs))
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed listener: error %v, want %v", err, net.ErrClosed)
	}
}
