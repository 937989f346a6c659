package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"

	"shalebeam/lab/load"
)

// runClient runs the client of one job: it sends attempts, with pauses between them, until the job is over or the client
// leaves.
func (exp *experiment) runClient(j *load.Job) {
	ctx, leave := context.WithCancel(exp.ctx)
	defer leave()
	// Ms; a client that never leaves has +Inf, which a time.Duration can't hold.
	if left := j.LeavesAt - exp.nowMs(); left < 1e8 {
		t := time.AfterFunc(time.Duration(left*float64(time.Millisecond)), leave)
		defer t.Stop()
	}
	exp.mu.Lock()
	exp.cancelFuncs[j] = leave
	exp.mu.Unlock()
	for !j.Ended {
		outcome, retryAfterMs := exp.sendAttempt(ctx, j)
		nextAttemptMs, retry := j.RecordOutcome(exp.plan, exp.nowMs(), outcome, retryAfterMs)
		if !retry {
			break
		}
		select {
		case <-time.After(time.Duration((nextAttemptMs - exp.nowMs()) * float64(time.Millisecond))):
		case <-ctx.Done():
			j.Ended, j.Outcome = true, load.Left
		}
	}
	exp.mu.Lock()
	defer exp.mu.Unlock()
	delete(exp.cancelFuncs, j)
	exp.openJobs--
	exp.result.JobEnded(exp.plan, j, exp.nowMs())
	if exp.options.Outcome != nil {
		exp.options.Outcome(j)
	}
}

// pickScheduler returns the scheduler to which the front sends an attempt, nil where it takes none for alive.
func (exp *experiment) pickScheduler(j *load.Job) *scheduler {
	i := j.ChooseScheduler(exp.seed, len(exp.schedulers), func(i int) (int, bool) {
		s := exp.schedulers[i]
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.zone, s.listedByFront
	})
	if i < 0 {
		return nil
	}
	return exp.schedulers[i]
}

// clientConn is a client's connection. It records when this process is late to read an answer.
type clientConn struct {
	*net.TCPConn
	exp *experiment
}

// Read reads, and records by how much later than the kernel received them this process read the bytes.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.exp.recordLabDelay(msSinceLastReceive(c.TCPConn))
	}
	return n, err
}

// dial opens a connection of a client.
func (exp *experiment) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{tcp, exp}, nil
	}
	return c, err
}

// requestBody is the body of each request, so that requests do not consist of headers alone.
var requestBody = strings.Repeat("part 4711, stainless, 2 mm\n", 8)

// sendAttempt sends one txn and waits for its answer. It returns the outcome and the time in ms after which the scheduler
// allows a retry, 0 where it names none.
func (exp *experiment) sendAttempt(ctx context.Context, j *load.Job) (outcome string, retryAfterMs float64) {
	ref := j.Ref()
	exp.mu.Lock()
	exp.jobsByReference[ref] = j
	exp.mu.Unlock()
	s := exp.pickScheduler(j)
	if s == nil {
		return load.Refused, 0
	}
	time.Sleep(exp.network.drawDelay())
	c, scheme := &exp.plan.Schemes[j.Scheme], j.Scheme
	exp.mu.Lock()
	if exp.useTwinSchemes {
		scheme += len(exp.plan.Schemes)
	}
	exp.mu.Unlock()
	expiryMs := float64(c.Expiry)
	expiresMs := exp.nowMs() + expiryMs
	requestCtx, cancel := context.WithTimeout(ctx, time.Duration((expiryMs+1000)*float64(time.Millisecond)))
	defer cancel()
	sent := false
	requestCtx = httptrace.WithClientTrace(requestCtx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		sent = info.Err == nil
	}})
	request, err := http.NewRequestWithContext(requestCtx, "POST", "http://"+s.clientAddr+"/"+exp.schemeRows[scheme].Name,
		strings.NewReader(requestBody))
	if err != nil {
		return load.Refused, 0
	}
	exp.setHeaders(request, j, ref, expiryMs)
	process := s.processName()
	exp.recordEvent(func(at float64) { exp.auditor.Accepted(at, process, ref, scheme, expiresMs) })
	response, err := s.httpClient.Do(request)
	var result []byte
	if err == nil {
		result, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if err != nil {
		return exp.classifyFailure(ctx, ref, err, sent), 0
	}
	outcome = load.Reversed
	switch response.StatusCode {
	case 200:
		outcome = load.Settled
	case 429, 503:
		outcome = load.Declined
	}
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		retryAfterMs = seconds * 1000
	}
	exp.recordEvent(func(at float64) { exp.auditor.Answered(at, process, ref, outcome, string(result)) })
	if maxReadMs := float64(exp.plan.Clients.SlowRead); maxReadMs > 0 {
		time.Sleep(time.Duration(maxReadMs * load.Rand(exp.seed^uint64(j.No), "slow").Float64() * float64(time.Millisecond)))
	}
	return outcome, retryAfterMs
}

// setHeaders sets the headers of an attempt; expiryMs is the time that the scheduler has for it.
func (exp *experiment) setHeaders(r *http.Request, j *load.Job, ref string, expiryMs float64) {
	set := r.Header.Set
	set("Request-Id", ref)
	set("Request-Timeout", strconv.FormatInt(int64(expiryMs), 10)+"m")
	if j.Key != "" {
		set("Cookie", "sid="+j.Key)
	}
	if j.IdempotencyKey != "" {
		set("Idempotency-Key", j.IdempotencyKey)
	}
	if j.Attempts > 0 {
		set("Client-Retry", "1")
	}
	if j.Hint > 0 {
		set("Work-Hint", strconv.FormatInt(int64(max(j.Hint*1000, 1)), 10))
	}
	if j.Slots > 1 {
		set("Request-Info", fmt.Sprint("slots=", j.Slots))
	}
	if tenants := exp.plan.Clients.Tenants; len(tenants) > 0 {
		set("Tenant", tenants[j.Tenant].Name)
	}
}

// classifyFailure returns the outcome of an attempt that got no answer. Where the client left, or the request did not reach
// the scheduler, the auditor is told that no answer is owed. Where the connection broke, the auditor judges by how the
// scheduler's process ended.
func (exp *experiment) classifyFailure(ctx context.Context, ref string, err error, sent bool) string {
	// Recorded later than it happened, because the scheduler learns of it with a delay.
	withdraw := func() {
		exp.recordEventAt(exp.nowMs()+inTransitMs, func(at float64) { exp.auditor.ClientLeft(at, ref) })
	}
	switch {
	case ctx.Err() != nil:
		withdraw()
		return load.Left
	case errors.Is(err, context.DeadlineExceeded):
		return load.Expired
	case !sent || errors.Is(err, syscall.ECONNREFUSED):
		withdraw()
		return load.Refused
	}
	return load.Broken
}
