package live

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ThroughputTest measures the throughput of one scheduler process, in txns a second, with a closed loop: each connection
// sends its next request as soon as it has an answer, and the workers answer at once. Meanwhile further txns stay open
// without an answer: they cost nothing only where the scheduler never goes through all open txns, so the figure shows
// whether it does.
type ThroughputTest struct {
	Program     string        // path of the shalebeam program
	Workers     int           // number of worker stand-ins
	Connections int           // connections in the closed loop
	OpenTxns    int           // txns that stay open
	Duration    time.Duration // how long is measured, after one second of warm-up
}

// config returns the scheduler's configuration as JSON, with these addresses of workers and with limits too high to be reached.
func (c *ThroughputTest) config(listen, discovery string, workers []string) ([]byte, error) {
	var hosts []map[string]any
	for i, a := range workers {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("w", i), "dial": a, "site": "a", "class": "k",
			"health": "in_service", "share": 1, "born_ms": 0})
	}
	known := map[string]any{"seq": 1, "whole": true, "hosts": hosts}
	return json.Marshal(map[string]any{"name": "s0", "listen": listen, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 2048, "sockets": 16384}, "known": known,
		"settings": map[string]any{"my_number": 0, "peers_total": 1, "tick": 2000, "zones": []string{"a"},
			"kinds": []string{"k"}, "domain": map[string]any{"tells_start": true},
			"policy_limits": map[string]any{"max_postings": 6, "cancel": true, "parallel_tries": true,
				"conn_idle": 60000000, "connect_timeout": 1000000},
			"guarantees": map[string]any{"must_ask_in": 60000000},
			"schemes": []map[string]any{{"name": "t", "effect": "retryable", "expiry": 60000000, "gain": 1,
				"sla_time": 30000000}}}})
}

// Run starts a scheduler with its workers and discovery, measures once, and returns the throughput in txns a second.
func (c *ThroughputTest) Run(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "beamlab-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	var workers []string
	for range c.Workers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		defer l.Close()
		go serveWorker(ctx, l)
		workers = append(workers, l.Addr().String())
	}
	listen, err := freeAddress("tcp")
	if err != nil {
		return 0, err
	}
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer discovery.Close()
	raw, err := c.config(listen, discovery.Addr().String(), workers)
	if err != nil {
		return 0, err
	}
	go http.Serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "" {
			select {
			case <-ctx.Done():
			case <-r.Context().Done():
			case <-time.After(15 * time.Second):
			}
		}
		io.WriteString(w, `{"seq":1,"whole":false,"hosts":[]}`)
	}))
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return 0, err
	}
	cmd := exec.Command(c.Program, "serve", "--config", path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	if err := waitForHealth(ctx, listen); err != nil {
		return 0, err
	}
	return c.measureRate(ctx, listen)
}

// waitForHealth waits until a scheduler's health check succeeds.
func waitForHealth(ctx context.Context, addr string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		if r, err := http.Get("http://" + addr + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("scheduler on %s did not answer /_health with status 200 within 10 s, or the run was cancelled before", addr)
}

// measureRate sends requests for one second of warm-up and then for c.For, and returns the txns a second of the latter. A txn that
// fails or is not settled makes it return an error.
func (c *ThroughputTest) measureRate(ctx context.Context, addr string) (float64, error) {
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	sendRequests := func(id string, leaveOpen bool) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			failed.Add(1)
			return
		}
		defer conn.Close()
		go func() { <-stop; conn.Close() }()
		r := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req := fmt.Appendf(nil, "POST /t HTTP/1.1\r\nHost: h\r\nRequest-Id: %s-%d\r\nRequest-Timeout: 60000m\r\n"+
				"Work-Hint: 1000\r\nContent-Length: 4\r\n\r\nbody", id, n)
			if _, err := conn.Write(req); err != nil {
				return
			}
			if leaveOpen {
				<-stop
				return
			}
			if err := readAnswer(r); err != nil {
				select {
				case <-stop:
				default:
					failed.Add(1)
				}
				return
			}
			done.Add(1)
		}
	}
	for i := range c.OpenTxns {
		wg.Go(func() { sendRequests(fmt.Sprint("open", i), true) })
	}
	for i := range c.Connections {
		wg.Go(func() { sendRequests(fmt.Sprint("c", i), false) })
	}
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	pause(time.Second)
	doneBefore, start := done.Load(), time.Now()
	pause(c.Duration)
	rate := float64(done.Load()-doneBefore) / time.Since(start).Seconds()
	close(stop)
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return 0, fmt.Errorf("%d of %d connections failed, expected none", n, c.Connections+c.OpenTxns)
	}
	return rate, ctx.Err()
}

// readAnswer reads one response and returns an error unless its status is 200, which means that the txn was settled.
func readAnswer(r *bufio.Reader) error {
	length, status := 0, ""
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimSpace(line)
		if first {
			status = line
		}
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "content-length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		if line == "" {
			break
		}
	}
	if _, err := r.Discard(length); err != nil {
		return err
	}
	if !strings.HasPrefix(status, "HTTP/1.1 200") {
		return fmt.Errorf("got status line %q, expected HTTP/1.1 200", status)
	}
	return nil
}

// serveWorker serves a worker's connections. It answers each request at once, except that a request whose ID begins with "open" gets
// only the state started.
func serveWorker(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			r := bufio.NewReader(conn)
			for {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				line := fmt.Sprintf("{\"id\":%q,\"from\":\"w\",\"state\":\"started\"}\n", id)
				if strings.HasPrefix(id, "open") {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
					continue
				}
				line += fmt.Sprintf("{\"id\":%q,\"from\":\"w\",\"state\":\"done\",\"result\":\"x\"}\n", id)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(line), line)
			}
		}()
	}
}

// readRequest reads one request with a body of four bytes and returns its Request-Id.
func readRequest(r *bufio.Reader) (id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return "", err
		}
		line = bytes.TrimSpace(line)
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte("request-id")) {
			id = string(bytes.TrimSpace(value))
		}
		if len(line) == 0 {
			_, err = r.Discard(4) // the body
			return id, err
		}
	}
}
