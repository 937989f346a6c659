package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = casePipeline }

// casePipeline: a planned restart while clients have sent several requests at once on their connections. The rule: each request
// that was taken before SIGTERM gets its answer.
func casePipeline(b *bed) (violations []string, err error) {
	const clients, requests = 4, 8
	_, members := b.fleet(4, 3, fixed(700*time.Millisecond))
	d := b.newDiscovery("discovery", members)
	listen := freeAddr()
	config := b.writeConfig("config", node(listen, d, 192, 1024, settings(schemes(15000), 500, 40)))
	p, err := b.start("n0", config, "", "tmp")
	if err != nil {
		return nil, err
	}
	if err := waitYes("http://"+listen+"/_health", 10*time.Second); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	sent := make(chan error, clients)
	for i := range clients {
		id := func(k int) string { return fmt.Sprintf("%08x%08x", 0xc1e0+i, k) }
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", listen, time.Second)
			if err != nil {
				sent <- err
				return
			}
			defer conn.Close()
			text := ""
			for k := range requests {
				text += requestText("price-check", id(k), 14000, 100)
			}
			_, err = io.WriteString(conn, text)
			b.logf("client %d: sent %d requests at once, %d bytes", i, requests, len(text))
			sent <- err
			r := bufio.NewReader(conn)
			_ = conn.SetReadDeadline(time.Now().Add(16 * time.Second))
			for k := range requests {
				status, body, closes, err := readAnswer(r)
				b.logf("client %d: %s answered %d %q, connection ends: %t, error %v", i, id(k), status, body, closes, err)
				if err != nil {
					// One more than the first that nothing was sent on for: that one would be excused.
					b.logf("client %d: no answer to %d requests", i, requests-k)
					for lost := k + 1; lost < requests; lost++ {
						mu.Lock()
						violations = append(violations, fmt.Sprintf("client %d: %s was taken before SIGTERM and never answered", i, id(lost)))
						mu.Unlock()
					}
					return
				}
			}
		})
	}
	for range clients {
		if err := <-sent; err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		b.logf("platform: SIGTERM")
		p.signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(3700 * time.Millisecond):
			b.logf("platform: SIGKILL")
			p.signal(syscall.SIGKILL)
		}
	}
	all.Wait()
	return violations, nil
}
