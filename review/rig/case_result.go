package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["result"] = caseResult }

// caseResult: some workers' answers are spoilt: the result is cut off in the middle of a character. The rule: a client that is
// answered 200 gets the result that a worker gave.
func caseResult(b *bed) (violations []string, err error) {
	workers, members := b.fleet(4, 3, fixed(50*time.Millisecond))
	d := b.newDiscovery("discovery", members)
	listen := freeAddr()
	config := b.writeConfig("config", node(listen, d, 192, 1024, settings(schemes(15000), 500, 40)))
	if b.trouble {
		for _, w := range workers {
			w.spoil = func(id string) bool { return strings.HasSuffix(id, "3") }
		}
	}
	if _, err := b.start("n0", config, "", "tmp"); err != nil {
		return nil, err
	}
	if err := waitYes("http://"+listen+"/_health", 10*time.Second); err != nil {
		return nil, err
	}
	c := &client{addr: listen}
	for n := range 64 {
		id := fmt.Sprintf("%016x", 0xf00d000+n)
		class := []string{"price-check", "quote-issue", "stock-reserve"}[n%3]
		status, body, err := c.send(requestText(class, id, 15000, 100), 16*time.Second)
		b.logf("client: %s of %s answered %d %q, error %v", id, class, status, body, err)
		given := false
		for _, w := range workers {
			given = given || body == resultOf(w.name, id)
		}
		if err == nil && status == 200 && !given {
			violations = append(violations, fmt.Sprintf("%s of %s was served with %q, which no worker gave", id, class, body))
		}
	}
	return violations, nil
}
