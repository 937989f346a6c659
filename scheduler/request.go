package scheduler

import (
	"strconv"
	"strings"

	"shalebeam/balance"
)

// ask is what a request said: the module's part, and what goes on to workers unchanged.
type ask struct {
	txn          balance.Txn
	row          *balance.SchemeRow // that it came under
	method, path string
	host, mark   string
	kind         string // Content-Type
	body         []byte
}

// read makes a txn of the request's fields.
func (c *client) read(scheme int) (a ask, wrong string) {
	f := c.req.Fields()
	get := func(name string) string {
		v, _ := f.Get(name)
		return v
	}
	row := &c.s.node.told.Terms.Schemes[scheme]
	a = ask{row: row, method: c.req.Method, path: c.req.Target, host: get("host"), mark: get("idempotency-key"),
		kind: get("content-type"), body: c.req.Body()}
	a.txn = balance.Txn{Ref: get("request-id"), Scheme: scheme, Key: cookie(get("cookie"), "sid"), Hint: -1,
		Left: row.Expiry, Repeat: get("client-retry") == "1", Tenant: place(c.s.node.told.Tenants, get("tenant"))}
	if a.txn.Tenant < 0 {
		a.txn.Tenant = len(c.s.node.told.Tenants) // one that is not known takes no known one's share
	}
	other := func(c rune) bool { return c <= ' ' || c > '~' } // JSON would give such a one back changed
	if a.txn.Ref == "" || len(a.txn.Ref) > refMost || strings.ContainsFunc(a.txn.Ref, other) {
		return a, "Request-Id is missing, too long or not plain"
	}
	if strings.ContainsFunc(a.mark, other) || a.mark == "" && row.Effect == balance.Referenced {
		return a, "Idempotency-Key is missing or not plain" // without it the group drops no repeat
	}
	seen := map[string]bool{}
	for _, x := range f {
		switch x.Name {
		case "request-id", "idempotency-key", "request-timeout", "work-hint":
			if seen[x.Name] {
				return a, "repeated " + x.Name // a worker might go by the other one
			}
			seen[x.Name] = true
		}
	}
	if v, ok := f.Get("request-timeout"); ok {
		left, ok := span(v)
		if !ok {
			return a, "bad Request-Timeout"
		}
		// Longer than its scheme's expiry no client waits; the module measures what is left against that.
		a.txn.Left = min(left, row.Expiry)
	}
	if v, ok := f.Get("work-hint"); ok {
		us, ok := decimal(v)
		if !ok {
			return a, "bad Work-Hint"
		}
		a.txn.Hint = us / 1000
	}
	for pair := range strings.SplitSeq(get("request-info"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if x, ok := decimal(value); name == "slots" && ok { // what else it tells no choice needs
			a.txn.Slots = x
		}
	}
	return a, ""
}

// span reads a number with its unit, m for milliseconds or u for microseconds.
func span(v string) (float64, bool) {
	if v == "" {
		return 0, false
	}
	x, ok := decimal(v[:len(v)-1])
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

// decimal reads a number of 0 or more. No names of numbers and no hex, which ParseFloat takes.
func decimal(v string) (float64, bool) {
	x, err := strconv.ParseFloat(v, 64)
	return x, err == nil && x >= 0 && strings.Trim(v, "0123456789.eE+-") == ""
}

func cookie(all, name string) string {
	for pair := range strings.SplitSeq(all, ";") {
		if k, v, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && k == name {
			return v
		}
	}
	return ""
}
