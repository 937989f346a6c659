package scheduler

import (
	"strconv"
	"strings"

	"shalebeam/balance"
)

// clientRequest is a request of a client: what the module needs to know of it, and what is forwarded to workers unchanged.
type clientRequest struct {
	txn                  balance.Txn
	scheme               *balance.SchemeRow // the scheme's settings when the request arrived
	method, path         string
	host, idempotencyKey string // Host, Idempotency-Key
	contentType          string // Content-Type
	body                 []byte
}

// parseRequest reads a request of the scheme with this index from its header fields and body. If the request is
// malformed, problem says why, as the text of the 400 answer.
func (c *client) parseRequest(scheme int) (req clientRequest, problem string) {
	f := c.req.Fields()
	get := func(name string) string {
		v, _ := f.Get(name)
		return v
	}
	settings := &c.s.node.decoded.Terms.Schemes[scheme]
	req = clientRequest{scheme: settings, method: c.req.Method, path: c.req.Target, host: get("host"),
		idempotencyKey: get("idempotency-key"), contentType: get("content-type"), body: c.req.Body()}
	req.txn = balance.Txn{Ref: get("request-id"), Scheme: scheme, Key: cookieValue(get("cookie"), "sid"), Hint: -1,
		TimeLeftMs: settings.Expiry, Repeat: get("client-retry") == "1", Tenant: indexOf(c.s.node.decoded.Tenants, get("tenant"))}
	if req.txn.Tenant < 0 {
		req.txn.Tenant = len(c.s.node.decoded.Tenants) // an unknown tenant uses none of the known tenants' shares
	}
	// Other characters might come back changed in the JSON of a worker's answer.
	notPrintable := func(c rune) bool { return c <= ' ' || c > '~' }
	if req.txn.Ref == "" || len(req.txn.Ref) > maxRefBytes || strings.ContainsFunc(req.txn.Ref, notPrintable) {
		return req, "Request-Id is missing, too long or not plain"
	}
	if strings.ContainsFunc(req.idempotencyKey, notPrintable) || req.idempotencyKey == "" && settings.Effect == balance.Referenced {
		return req, "Idempotency-Key is missing or not plain" // without it the group cannot drop a repeat
	}
	seen := map[string]bool{}
	for _, x := range f {
		switch x.Name {
		case "request-id", "idempotency-key", "request-timeout", "work-hint":
			if seen[x.Name] {
				return req, "repeated " + x.Name // a worker might go by the other value
			}
			seen[x.Name] = true
		}
	}
	if v, ok := f.Get("request-timeout"); ok {
		leftMs, ok := parseMilliseconds(v)
		if !ok {
			return req, "bad Request-Timeout"
		}
		// No client waits longer than its scheme's expiry, and the module compares the time left with the expiry.
		req.txn.TimeLeftMs = min(leftMs, settings.Expiry)
	}
	if v, ok := f.Get("work-hint"); ok {
		hintUs, ok := parseDecimal(v)
		if !ok {
			return req, "bad Work-Hint"
		}
		req.txn.Hint = hintUs / 1000
	}
	for pair := range strings.SplitSeq(get("request-info"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if x, ok := parseDecimal(value); name == "slots" && ok { // no decision needs the other values
			req.txn.Slots = x
		}
	}
	return req, ""
}

// parseMilliseconds reads a Request-Timeout, a number with its unit, m for milliseconds or u for microseconds, and
// returns milliseconds.
func parseMilliseconds(v string) (float64, bool) {
	if v == "" {
		return 0, false
	}
	x, ok := parseDecimal(v[:len(v)-1])
	if !ok {
		return 0, false
	}
	switch v[len(v)-1] {
	case 'm':
		return x, true
	case 'u':
		return x / 1000, true
	}
	return 0, false
}

// parseDecimal reads a decimal number of 0 or more. It rejects Inf, NaN and hexadecimal, which ParseFloat accepts.
func parseDecimal(v string) (float64, bool) {
	x, err := strconv.ParseFloat(v, 64)
	return x, err == nil && x >= 0 && strings.Trim(v, "0123456789.eE+-") == ""
}

// cookieValue returns the value of a cookie in a Cookie field, "" where it is not there.
func cookieValue(all, name string) string {
	for pair := range strings.SplitSeq(all, ";") {
		if k, v, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && k == name {
			return v
		}
	}
	return ""
}
