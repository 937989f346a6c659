package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = caseUpgrade }

// caseUpgrade: a new version is started under load while a client that is not the owner sends the id of an open request again
// and again. The scheme is once-only. The rule: that client gets an error or a close, the request runs once, and its owner is
// answered.
func caseUpgrade(b *bed) (violations []string, err error) {
	const workMs, owners = 6000, 4
	workers, members := b.fleet(4, 3, fixed(workMs*time.Millisecond))
	d := b.newDiscovery("discovery", members)
	listen, mgmtOld, mgmtNew := freeAddr(), freeAddr(), freeAddr()
	config := b.writeConfig("config", node(listen, d, 192, 1024, settings(schemes(15000), 500, 40)))
	oldProcess, err := b.start("n0", config, mgmtOld, "tmp")
	if err != nil {
		return nil, err
	}
	if err := waitYes("http://"+listen+"/_health", 10*time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers := map[string]string{}
	var all sync.WaitGroup
	id := func(i int) string { return fmt.Sprintf("%016x", 0x5ca1ab1e0000+i) }
	for i := range owners {
		all.Go(func() {
			c := &client{addr: listen}
			b.logf("owner: sends %s", id(i))
			status, body, err := c.send(requestText("stock-reserve", id(i), 15000, 200), 17*time.Second)
			b.logf("owner: %s answered %d %q, error %v", id(i), status, body, err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answers[id(i)] = "no answer: " + err.Error()
			} else {
				answers[id(i)] = strconv.Itoa(status)
			}
		})
	}
	time.Sleep(time.Second)
	// The other client: as soon as it is turned away it sends the same again.
	stop := make(chan struct{})
	taken := map[string]int{}
	for i := range owners {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				c := &client{addr: listen}
				status, _, err := c.send(requestText("stock-reserve", id(i), 15000, 200), 3*time.Second)
				if c.conn != nil {
					c.conn.Close()
				}
				if err != nil || status != 409 {
					b.logf("other client: %s: status %d, error %v", id(i), status, err)
				}
				mu.Lock()
				taken[fmt.Sprint(status)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if b.trouble {
		if _, err := b.start("n0", config, mgmtNew, "tmp"); err != nil {
			return nil, err
		}
		if err := waitYes("http://"+mgmtNew+"/ops/readiness", 6*time.Second); err != nil {
			return nil, err
		}
		b.logf("platform: the new process said yes, SIGTERM to the old one")
		oldProcess.signal(syscall.SIGTERM)
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	all.Wait()
	b.logf("other client: answers by status: %v", taken)
	counts := map[string][]string{}
	for _, w := range workers {
		for _, r := range w.received() {
			counts[r.id] = append(counts[r.id], fmt.Sprintf("%s at %.0f ms", w.name, b.ms(r.last)))
		}
	}
	for i := range owners {
		if n := counts[id(i)]; len(n) > 1 {
			violations = append(violations, fmt.Sprintf("once-only %s was run %d times: %s", id(i), len(n), strings.Join(n, ", ")))
		}
		if a := answers[id(i)]; strings.HasPrefix(a, "no answer") {
			violations = append(violations, fmt.Sprintf("%s was taken and its owner got %s", id(i), a))
		}
	}
	return violations, nil
}
