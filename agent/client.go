package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"shalebeam/fleet"
)

// Caller asks agents over HTTP. It may send a command again, at any of them: by its caller and number it is one.
type Caller struct {
	HTTP  *http.Client
	Addrs []string // tried in turn, the one that answered last first
	at    int
}

// ErrOpen says that nobody answered in time: the command may have been, or may yet be, carried out.
var ErrOpen = errors.New("not known: nobody answered in time")

// Refusal is an agent's no, with its reason.
type Refusal struct {
	Status int    `json:"-"`
	Why    string `json:"why"`
	Leader string `json:"leader,omitempty"` // who may know better
}

func (r *Refusal) Error() string { return r.Why }

// NewHTTP makes the client that all calls go through. via has addresses that are reached at others; each call has a
// time of its own, as a link may take bytes and deliver none.
func NewHTTP(via map[string]string, most time.Duration) *http.Client {
	d := &net.Dialer{Timeout: most}
	return &http.Client{Timeout: most, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return d.DialContext(ctx, network, cmp.Or(via[addr], addr))
		}}}
}

// fetch makes one call and reads its JSON into out. What is not 200 is a Refusal.
func fetch(ctx context.Context, h *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	r, err := h.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(r.Body, 256<<20))
	if err != nil {
		return err
	}
	if r.StatusCode != 200 {
		no := &Refusal{Status: r.StatusCode}
		if json.Unmarshal(raw, no) != nil || no.Why == "" {
			no.Why = fmt.Sprintf("status %d", r.StatusCode)
		}
		return no
	}
	return json.Unmarshal(raw, out)
}

// Get asks one agent after the other until one answers.
func (c *Caller) Get(ctx context.Context, path string, out any) (err error) {
	for i := range c.Addrs {
		at := (c.at + i) % len(c.Addrs)
		if err = fetch(ctx, c.HTTP, "GET", "http://"+c.Addrs[at]+path, nil, out); err == nil {
			c.at = at
			return nil
		}
	}
	return err
}

// Do sends a command until somebody says what came of it or ctx is done. A minority's refusal is an answer: the command
// was not taken.
func (c *Caller) Do(ctx context.Context, cmd fleet.Command) (a fleet.Answer, err error) {
	var last error
	open := false
	for try := 0; ctx.Err() == nil; try++ {
		addr := c.Addrs[c.at%len(c.Addrs)]
		err := fetch(ctx, c.HTTP, "POST", "http://"+addr+"/v1/do", cmd, &a)
		if err == nil {
			return a, nil
		}
		var no *Refusal
		if !errors.As(err, &no) || no.Status == 504 {
			open = true // it may have been taken there
		} else if no.Status != 503 {
			return a, err
		}
		last = err
		c.at++
		if try%len(c.Addrs) == len(c.Addrs)-1 {
			if no != nil && !open {
				return a, err // all were asked, and none has a majority
			}
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	}
	if open || last == nil {
		return a, errors.Join(ErrOpen, last)
	}
	return a, last
}
