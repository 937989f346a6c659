package transient

import (
	"errors"
	"net"
	"time"
)

// acceptDelay is the wait after a failed Accept, before the next.
const acceptDelay = 5 * time.Millisecond

// RetryAccept wraps l so that Accept retries after every error except that l was closed. Without it, the HTTP server of the
// standard library stops at any error of accept other than a lack of descriptors.
func RetryAccept(l net.Listener) net.Listener { return &listener{l} }

type listener struct{ net.Listener }

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptDelay)
	}
}
