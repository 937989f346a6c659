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

const (
	maxResponseBytes  = 256 << 20
	commandRetryDelay = 200 * time.Millisecond // after all agents were tried once
)

// Caller calls agents over HTTP. It retries commands, at any agent: a command is identified by its caller and number, so
// that it is carried out once.
type Caller struct {
	HTTP       *http.Client
	Addrs      []string // tried in turn, beginning with the one that answered last
	firstIndex int      // in Addrs, of the agent to try first
}

// ErrOutcomeUnknown says that no agent answered in time: the command may have been, or may yet be, carried out.
var ErrOutcomeUnknown = errors.New("outcome unknown: no agent answered in time")

// Refusal is an agent's answer with a status other than 200, with its reason.
type Refusal struct {
	Status int    `json:"-"` // HTTP status
	Reason string `json:"why"`
	Leader string `json:"leader,omitempty"` // address of the agent that leads, as far as the refusing one knows
}

func (r *Refusal) Error() string { return r.Reason }

// NewHTTP returns the client that all calls go through. via maps an address to the one that is dialled in its place. The
// timeout is for each call as a whole, since a link may accept bytes and deliver none.
func NewHTTP(via map[string]string, timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, cmp.Or(via[addr], addr))
		}}}
}

// callJSON makes one call with in as its JSON body, nil for none, and decodes the answer into out. An answer with a status
// other than 200 is returned as a *Refusal.
func callJSON(ctx context.Context, client *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != 200 {
		refusal := &Refusal{Status: response.StatusCode}
		if json.Unmarshal(raw, refusal) != nil || refusal.Reason == "" {
			refusal.Reason = fmt.Sprintf("status %d", response.StatusCode)
		}
		return refusal
	}
	return json.Unmarshal(raw, out)
}

// Get calls one agent after the other until one answers with status 200.
func (c *Caller) Get(ctx context.Context, path string, out any) (err error) {
	for i := range c.Addrs {
		index := (c.firstIndex + i) % len(c.Addrs)
		if err = callJSON(ctx, c.HTTP, "GET", "http://"+c.Addrs[index]+path, nil, out); err == nil {
			c.firstIndex = index
			return nil
		}
	}
	return err
}

// Do sends a command until an agent reports its outcome or ctx is done. It gives up sooner where
// every agent refuses for want of a majority: the command was then not accepted.
func (c *Caller) Do(ctx context.Context, cmd fleet.Command) (answer fleet.CommandResult, err error) {
	var lastErr error
	outcomeUnknown := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := c.Addrs[c.firstIndex%len(c.Addrs)]
		err := callJSON(ctx, c.HTTP, "POST", "http://"+addr+"/v1/do", cmd, &answer)
		if err == nil {
			return answer, nil
		}
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Status == 504 {
			outcomeUnknown = true // this agent may have accepted it
		} else if refusal.Status != 503 {
			return answer, err
		}
		lastErr = err
		c.firstIndex++
		if attempt%len(c.Addrs) == len(c.Addrs)-1 {
			if refusal != nil && !outcomeUnknown {
				return answer, err // all were asked, and none has a majority
			}
			select {
			case <-ctx.Done():
			case <-time.After(commandRetryDelay):
			}
		}
	}
	if outcomeUnknown || lastErr == nil {
		return answer, errors.Join(ErrOutcomeUnknown, lastErr)
	}
	return answer, lastErr
}
