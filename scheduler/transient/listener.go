package transient

import (
	"errors"
	"net"
	"time"
)

const acceptDelay = 5 * time.Millisecond

// Listener accepts on where Accept fails for a reason other than its own end. The standard library's server ends with each error
// of accept but a want of descriptors.
func Listener(l net.Listener) net.Listener { return &listener{l} }

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
