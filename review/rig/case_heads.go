package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["heads"] = caseHeads }

// caseHeads: clients open connections and write requests with many short header lines, which they don't end. The rule: the
// scheduler keeps to its memory limit, over which it is killed.
func caseHeads(b *bed) (violations []string, err error) {
	const memoryMB, sockets = 96, 1024
	_, members := b.fleet(4, 3, fixed(100*time.Millisecond))
	d := b.newDiscovery("discovery", members)
	listen := freeAddr()
	config := b.writeConfig("config", node(listen, d, memoryMB, sockets, settings(schemes(15000), 500, 40)))
	p, err := b.start("n0", config, "", "tmp")
	if err != nil {
		return nil, err
	}
	if err := waitYes("http://"+listen+"/_health", 10*time.Second); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			c := &client{addr: listen}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				id := fmt.Sprintf("%08x%08x", 0xabc0+i, n)
				status, _, err := c.send(requestText("price-check", id, 15000, 100), 16*time.Second)
				b.logf("client: %s answered %d, error %v", id, status, err)
			}
		})
	}
	time.Sleep(time.Second)
	peak := 0.0
	if b.trouble {
		head := "POST /price-check HTTP/1.1\r\nHost: backend.local\r\n" + strings.Repeat("a:\r\n", 4000)
		for range 2 * sockets {
			all.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp", listen, time.Second)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, head)
					_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
					_, _ = io.Copy(io.Discard, conn)
					conn.Close()
					time.Sleep(time.Second)
				}
			})
		}
	}
	for range 160 {
		time.Sleep(50 * time.Millisecond)
		mb := anonMB(p.cmd.Process.Pid)
		if mb > peak {
			b.logf("platform: the scheduler uses %.1f MB", mb)
			peak = mb
		}
		if mb > memoryMB {
			violations = append(violations, fmt.Sprintf("the scheduler uses %.1f MB of private memory and is killed at %d MB", mb, memoryMB))
			p.signal(syscall.SIGKILL)
			break
		}
	}
	close(stop)
	all.Wait()
	b.logf("platform: the scheduler used %.1f MB at the most", peak)
	return violations, nil
}

// anonMB returns the private memory of a process in MB, without the pages of its program file.
func anonMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}
