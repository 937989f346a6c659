// Command 1 is the review's first case: a referenced txn that may have run in one zone is posted to another zone by the process
// that takes over in an upgrade, as the worker where it may have run is no longer in the list.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"shalebeam/review/standin"
)

var schemes = []standin.Scheme{
	{Name: "price-check", Effect: "retryable", Scope: "all", SLAMs: 500, ExpiryMs: 7500, WindowMs: 5000, Gain: 2, LateGain: 0.2, Stretch: 2},
	{Name: "quote-issue", Effect: "dedup", Scope: "zone", SLAMs: 3000, ExpiryMs: 25000, WindowMs: 40000, Gain: 5, LateGain: 0.2, Stretch: 1.5},
}

const (
	orders   = 20   // quote-issue txns
	orderMs  = 4000 // what one runs
	northern = 8
	southern = 2 // two of ten workers die: 20%
)

func main() {
	standin.EndWithSignals()
	trouble := os.Getenv("TROUBLE") // "0": no worker dies; "deaths": no upgrade
	code, err := run(os.Args[1], trouble != "0", trouble != "deaths")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(folder string, trouble, upgrade bool) (code int, err error) {
	record, err := standin.NewRecord(folder)
	if err != nil {
		return 2, err
	}
	temp, err := os.MkdirTemp("", "review1-")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(temp)
	fleet := standin.NewFleet(record)
	var hosts []standin.Host
	var dying []*standin.Worker
	for i := range northern + southern {
		id, zone := fmt.Sprintf("s-north%d", i), "north-yard"
		if i >= northern {
			id, zone = fmt.Sprintf("s-water%d", i), "water-plant"
		}
		w, err := fleet.NewWorker(id, zone, i/4)
		if err != nil {
			return 2, err
		}
		if i >= northern {
			dying = append(dying, w)
		}
		hosts = append(hosts, w.Entry("in_service", 0))
	}
	discovery, err := standin.NewDiscovery(hosts)
	if err != nil {
		return 2, err
	}
	peers, err := standin.NewPeers(2)
	if err != nil {
		return 2, err
	}
	var nodes []*standin.Node
	var processes []*standin.Process
	defer func() {
		for _, p := range processes {
			p.Signal(syscall.SIGKILL)
			<-p.Exited
		}
	}()
	for i := range 2 {
		listen, err := standin.FreeAddr(fmt.Sprintf("127.0.81.%d", i+1))
		if err != nil {
			return 2, err
		}
		mgmt, err := standin.FreeAddr(fmt.Sprintf("127.0.82.%d", i+1))
		if err != nil {
			return 2, err
		}
		n := &standin.Node{Name: fmt.Sprintf("n%d", i), Listen: listen, TmpDir: filepath.Join(temp, fmt.Sprintf("tmp%d", i))}
		if err := os.Mkdir(n.TmpDir, 0o700); err != nil {
			return 2, err
		}
		if n.Log, err = os.Create(filepath.Join(temp, n.Name+".log")); err != nil {
			return 2, err
		}
		n.Config = map[string]any{"name": n.Name, "listen": listen, "discovery": discovery.Addr, "seed": fmt.Sprintf("%016x", 77+i),
			"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"peer_listen": peers.Listens[i], "peers": peers.Names, "peers_all": peers.All,
			"settings": standin.Settings([]string{"north-yard", "water-plant"}, i, i, 2, schemes)}
		p, err := n.Start(discovery.Whole(), mgmt)
		if err != nil {
			return 2, err
		}
		nodes, processes = append(nodes, n), append(processes, p)
	}
	for _, n := range nodes {
		if err := standin.Await("http://"+n.Listen+"/_health", 10*time.Second); err != nil {
			return 2, err
		}
	}
	record.Printf("both schedulers are ready")
	time.Sleep(2500 * time.Millisecond)

	var clients sync.WaitGroup
	var mu sync.Mutex
	unanswered := 0
	for i := range orders {
		clients.Add(1)
		go func() {
			defer clients.Done()
			status, body, err := order(nodes[0].Listen, i)
			record.Printf("client: id=%s answered %d %q err=%v", orderID(i), status, body, err)
			if err != nil {
				mu.Lock()
				unanswered++
				mu.Unlock()
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)

	if trouble {
		var gone []standin.Host
		for _, w := range dying {
			w.Die()
			gone = append(gone, w.Entry("terminated", 0))
		}
		time.Sleep(time.Second) // discovery hears of it late
		discovery.Set(gone...)
		record.Printf("discovery has taken the two workers away")
		time.Sleep(500 * time.Millisecond)
	} else {
		time.Sleep(1500 * time.Millisecond)
	}

	if upgrade {
		p, err := replace(record, nodes[0], processes[0], discovery)
		if p != nil {
			processes = append(processes, p)
		}
		if err != nil {
			return 2, err
		}
	}
	if trouble {
		time.Sleep(6 * time.Second) // the workers come back, cold, 8 s after they died or a little later
		var back []standin.Host
		for _, w := range dying {
			if err := w.Start(); err != nil {
				return 2, err
			}
			back = append(back, w.Entry("in_service", time.Now().UnixMilli()))
		}
		discovery.Set(back...)
		record.Printf("the two workers are back")
	}
	clients.Wait()
	for _, n := range nodes {
		if raw, err := os.ReadFile(n.Log.Name()); err == nil {
			for line := range strings.SplitSeq(strings.TrimSpace(string(raw)), "\n") {
				record.Printf("log of %s: %s", n.Name, line)
			}
		}
	}
	return verdict(record, fleet, unanswered), nil
}

// replace does an upgrade: it starts a second process of the scheduler, and sends SIGTERM to the first at the second's yes.
func replace(record *standin.Record, n *standin.Node, old *standin.Process, discovery *standin.Discovery) (*standin.Process, error) {
	mgmt, err := standin.FreeAddr("127.0.82.9")
	if err != nil {
		return nil, err
	}
	successor, err := n.Start(discovery.Whole(), mgmt)
	if err != nil {
		return nil, err
	}
	if err := standin.Await("http://"+mgmt+"/ops/readiness", 6*time.Second); err != nil {
		return successor, err
	}
	record.Printf("the new process of n0 said yes; SIGTERM to the old one")
	old.Signal(syscall.SIGTERM)
	select {
	case <-old.Exited:
	case <-time.After(3700 * time.Millisecond):
		old.Signal(syscall.SIGKILL)
	}
	record.Printf("the old process of n0 has ended")
	return successor, nil
}

// verdict judges by the rule: once an attempt may have run, further ones go only to workers of its zone.
func verdict(record *standin.Record, fleet *standin.Fleet, unanswered int) int {
	broken, zones := 0, map[string]string{}
	seen := 0
	for _, a := range fleet.All() {
		if a.Path != "/quote-issue" {
			continue
		}
		seen++
		if zone, ok := zones[a.ID]; ok && zone != a.Zone {
			broken++
			record.Printf("BROKEN: id=%s was sent to %s in %s after it may have run in %s; effects at: %s", a.ID, a.Worker, a.Zone, zone,
				strings.Join(fleet.EffectsOf(a.ID), ", "))
		} else {
			zones[a.ID] = a.Zone // no worker here turns an attempt away, so each may have run
		}
	}
	record.Printf("%d txns of quote-issue, %d attempts, %d without a whole answer, %d sent outside of the group", orders, seen, unanswered, broken)
	switch {
	case broken > 0:
		fmt.Printf("rule broken: %d txns were sent to another zone after they may have run\n", broken)
		return 1
	case seen < orders:
		fmt.Println("could not run: not all txns reached a worker")
		return 2
	}
	fmt.Println("the rule held")
	return 0
}

func orderID(i int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", i) }

// order hands in one txn of quote-issue and waits for its answer.
func order(addr string, i int) (status int, body string, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	text := fmt.Sprintf("%d order %d", orderMs, i)
	fmt.Fprintf(c, "POST /quote-issue HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: 25000m\r\n"+
		"Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5%08x\r\nWork-Hint: %d\r\nContent-Length: %d\r\n\r\n%s", orderID(i), i, orderMs*1000, len(text), text)
	_ = c.SetReadDeadline(time.Now().Add(26 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	buf := make([]byte, 1024)
	n, _ := resp.Body.Read(buf)
	return resp.StatusCode, string(buf[:n]), nil
}
