package scheduler

import (
	"strconv"
	"strings"

	"shalebeam/balance"
)

// ask is a request of a client: what the module needs to know of it, and what is forwarded to workers unchanged.
type ask struct {
	txn          balance.Txn
	row          *balance.SchemeRow // the scheme's settings when it came
	method, path string
	host, mark   string // Host, Idempotency-Key
	kind         string // Content-Type
	body         []byte
}

// read makes a txn of the request's header fields. If the request is malformed, wrong says why, as the text of the
// 400 answer.
func (c *client) read(scheme int) (a ask, wrong string) {
	f := c.req.Fields()
	get := func(name string) string {
		v, _ := f.Get(name)
		return v
	}
	row := &c.s.node.told.Terms.Schemes[scheme]
	a = ask{row: row, method: c.req.Method, path: c.req.Target, host: get("host"), mark: get("idempotency-key"),
		kind: get("content-type"), body: c.req.Body()}
	a.txn = balance.Txn{Ref: get("request-id"), Scheme: scheme, Key: cookieValue(get("cookie"), "sid"), Hint: -1,
		Left: row.Expiry, Repeat: get("client-retry") == "1", Tenant: place(c.s.node.told.Tenants, get("tenant"))}
	if a.txn.Tenant < 0 {
		a.txn.Tenant = len(c.s.node.told.Tenants) // an unknown tenant uses none of the known tenants' shares
	}
	// Other characters might come back changed in the JSON of a worker's answer.
	notPrintable := func(c rune) bool { return c <= ' ' || c > '~' }
	if a.txn.Ref == "" || len(a.txn.Ref) > refMost || strings.ContainsFunc(a.txn.Ref, notPrintable) {
		return a, "Request-Id is missing, too long or not plain"
	}
	if strings.ContainsFunc(a.mark, notPrintable) || a.mark == "" && row.Effect == balance.Referenced {
		return a, "Idempotency-Key is missing or not plain" // without it the group cannot drop a repeat
	}
	seen := map[string]bool{}
	for _, x := range f {
		switch x.Name {
		case "request-id", "idempotency-key", "request-timeout", "work-hint":
			if seen[x.Name] {
				return a, "repeated " + x.Name // a worker might go by the other value
			}
			seen[x.Name] = true
		}
	}
	if v, ok := f.Get("request-timeout"); ok {
		leftMs, ok := parseMilliseconds(v)
		if !ok {
			return a, "bad Request-Timeout"
		}
		// No client waits longer than its scheme's expiry, and the module compares the time left with the expiry.
		a.txn.Left = min(leftMs, row.Expiry)
	}
	if v, ok := f.Get("work-hint"); ok {
		hintUs, ok := parseDecimal(v)
		if !ok {
			return a, "bad Work-Hint"
		}
		a.txn.Hint = hintUs / 1000
	}
	for pair := range strings.SplitSeq(get("request-info"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if x, ok := parseDecimal(value); name == "slots" && ok { // no decision needs the other values
			a.txn.Slots = x
		}
	}
	return a, ""
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
