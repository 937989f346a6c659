// Command 2 is the review's second case: the scheduler keeps a piece of every txn for as long as it never has a moment of overload,
// until it is over its memory limit and the platform kills it.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shalebeam/review/standin"
)

var schemes = []standin.Scheme{
	{Name: "price-check", Effect: "retryable", Scope: "all", SLAMs: 500, ExpiryMs: 7500, WindowMs: 5000, Gain: 2, LateGain: 0.2, Stretch: 2},
}

const (
	memoryMB    = 32
	sockets     = 256
	perSecond   = 730
	runMs       = 4
	clientCount = 24
	lasts       = 112 * time.Second
	burstEvery  = 5 * time.Second // without the disruption
	burstTxns   = 80
	burstRunMs  = 250 // 80 of these on 24 slots: the last ones wait some 0.6 s
)

func main() {
	standin.EndWithSignals()
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(folder string, trouble bool) (code int, err error) {
	record, err := standin.NewRecord(folder)
	if err != nil {
		return 2, err
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(temp)
	fleet := standin.NewFleet(record)
	fleet.Quiet = true
	var hosts []standin.Host
	zones := []string{"north-yard", "water-plant"}
	for i := range 8 {
		w, err := fleet.NewWorker(fmt.Sprintf("s-%d", i), zones[i/4], i/4)
		if err != nil {
			return 2, err
		}
		hosts = append(hosts, w.Entry("in_service", 0))
	}
	discovery, err := standin.NewDiscovery(hosts)
	if err != nil {
		return 2, err
	}
	listen, err := standin.FreeAddr("127.0.86.1")
	if err != nil {
		return 2, err
	}
	n := &standin.Node{Name: "n0", Listen: listen, TmpDir: filepath.Join(temp, "tmp0")}
	if err := os.Mkdir(n.TmpDir, 0o700); err != nil {
		return 2, err
	}
	if n.Log, err = os.Create(filepath.Join(temp, "n0.log")); err != nil {
		return 2, err
	}
	n.Config = map[string]any{"name": n.Name, "listen": listen, "discovery": discovery.Addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"settings": standin.Settings(zones, 0, 0, 1, schemes)}
	p, err := n.Start(discovery.Whole(), "")
	if err != nil {
		return 2, err
	}
	defer func() {
		p.Signal(syscall.SIGKILL)
		<-p.Exited
	}()
	if err := standin.Await("http://"+listen+"/_health", 10*time.Second); err != nil {
		return 2, err
	}
	record.Printf("the scheduler is ready, %.1f MiB of its own memory", ownMemory(p))

	stop := time.Now().Add(lasts)
	var clients sync.WaitGroup
	var killed atomic.Bool
	var answers [4]atomic.Int64 // 200, other, none, sent
	txn := func(c net.Conn, in *bufio.Reader, id string, ms int) error {
		body := fmt.Sprintf("%d drawing", ms)
		answers[3].Add(1)
		_, err := fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nCookie: sid=7f3a9c21%s\r\nRequest-Timeout: %dm\r\n"+
			"Work-Hint: %d\r\nContent-Length: %d\r\n\r\n%s", schemes[0].Name, id, id, schemes[0].ExpiryMs, ms*1000, len(body), body)
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(in, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				switch {
				case err != nil:
				case resp.StatusCode == 200:
					answers[0].Add(1)
				default:
					answers[1].Add(1)
				}
			}
		}
		if err != nil {
			answers[2].Add(1)
		}
		return err
	}
	begun := time.Now()
	for i := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := net.Dial("tcp", listen)
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for k := 0; time.Now().Before(stop) && !killed.Load(); k++ {
				due := begun.Add(time.Duration(k*clientCount+i) * time.Second / perSecond)
				time.Sleep(time.Until(due))
				if txn(c, in, fmt.Sprintf("5d3a91c4-a399-47bd-ad74-%04x%08x", i, k), runMs) != nil {
					return
				}
			}
		}()
	}
	for b := 0; !trouble && b < int(lasts/burstEvery); b++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Until(begun.Add(time.Duration(b)*burstEvery + burstEvery/2)))
			var burst sync.WaitGroup
			for i := range burstTxns {
				burst.Add(1)
				go func() {
					defer burst.Done()
					c, err := net.Dial("tcp", listen)
					if err != nil {
						return
					}
					defer c.Close()
					_ = txn(c, bufio.NewReader(c), fmt.Sprintf("7ab200f1-a399-47bd-ad74-%04x%08x", i, b), burstRunMs)
				}()
			}
			burst.Wait()
		}()
	}
	most, over := 0.0, 0.0
	for next := begun; time.Now().Before(stop); time.Sleep(100 * time.Millisecond) {
		mb := ownMemory(p)
		most = max(most, mb)
		if time.Now().After(next) {
			next = next.Add(5 * time.Second)
			record.Printf("%.1f MiB; %d sent, %d served, %d refused or failed", mb, answers[3].Load(), answers[0].Load(), answers[1].Load())
		}
		if mb > memoryMB {
			over = mb
			record.Printf("BROKEN: %.1f MiB, over the limit of %d: the platform kills the scheduler, %d txns after its start", mb, memoryMB, answers[3].Load())
			killed.Store(true)
			p.Signal(syscall.SIGKILL)
			break
		}
	}
	clients.Wait()
	record.Printf("at most %.1f MiB; %d sent, %d served, %d refused or failed, %d without an answer", most, answers[3].Load(), answers[0].Load(),
		answers[1].Load(), answers[2].Load())
	if raw, err := os.ReadFile(n.Log.Name()); err == nil {
		for line := range strings.SplitSeq(strings.TrimSpace(string(raw)), "\n") {
			record.Printf("log of n0: %s", line)
		}
	}
	switch {
	case over > 0:
		fmt.Printf("rule broken: the scheduler was killed at %.1f MiB, %.0f s after its start\n", over, time.Since(begun).Seconds())
		return 1, nil
	case answers[0].Load() < int64(float64(perSecond)*lasts.Seconds()*0.8):
		fmt.Println("could not run: the machine did not keep up")
		return 2, nil
	}
	fmt.Printf("the rule held: at most %.1f MiB\n", most)
	return 0, nil
}

// ownMemory is what the process holds without the pages of its program's file, in MiB.
func ownMemory(p *standin.Process) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	kib := 0
	for line := range strings.SplitSeq(string(raw), "\n") {
		if f := strings.Fields(line); len(f) == 3 && (f[0] == "RssAnon:" || f[0] == "RssShmem:") {
			n, _ := strconv.Atoi(f[1])
			kib += n
		}
	}
	return float64(kib) / 1024
}
