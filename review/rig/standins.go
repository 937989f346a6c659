package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one worker in discovery's list.
type member struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
	seq    int64   // version of the list with its last change
}

// discovery is the stand-in for discovery: a list with versions, and watches on it.
type discovery struct {
	b       *bed
	name    string
	l       net.Listener
	server  *http.Server
	mu      sync.Mutex
	seq     int64
	members []*member
	changed chan struct{}        // closed and replaced at each change
	told    map[string]time.Time // by host, when its last change was first written to a scheduler
}

func (b *bed) newDiscovery(name string, members []*member) *discovery {
	d := &discovery{b: b, name: name, seq: 41, changed: make(chan struct{}), told: map[string]time.Time{}}
	for _, m := range members {
		copied := *m
		copied.seq = d.seq
		d.members = append(d.members, &copied)
	}
	var err error
	if d.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err)
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go func() { _ = d.server.Serve(d.l) }()
	return d
}

func (d *discovery) addr() string { return d.l.Addr().String() }

// known is the list as it is now, in the form of the configuration.
func (d *discovery) known() object { return object{"seq": d.seq, "whole": true, "hosts": d.members} }

// setHealth changes the health of workers, all in one version.
func (d *discovery) setHealth(health string, hosts ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, m := range d.members {
		for _, h := range hosts {
			if m.Host == h {
				m.Health, m.seq = health, d.seq
				delete(d.told, h)
			}
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.b.logf("%s: version %d, %s: %v", d.name, d.seq, health, hosts)
}

// add adds workers to the list.
func (d *discovery) add(members []*member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, m := range members {
		copied := *m
		copied.seq = d.seq
		d.members = append(d.members, &copied)
		d.b.logf("%s: version %d has %s, in service", d.name, d.seq, m.Host)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// handle answers a call: the whole list, or what is newer than a version, for which it waits.
func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	whole := err != nil
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		news := []*member{}
		for _, m := range d.members {
			if whole || m.seq > after {
				copied := *m
				news = append(news, &copied)
			}
		}
		seq, changed := d.seq, d.changed
		d.mu.Unlock()
		done := whole || len(news) > 0 || waitMs == 0
		select {
		case <-timeout:
			done = true
		default:
		}
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		raw, _ := json.Marshal(object{"seq": seq, "whole": whole, "hosts": news})
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw)
		w.(http.Flusher).Flush()
		now := time.Now()
		d.mu.Lock()
		for _, m := range news {
			if _, ok := d.told[m.Host]; !ok && m.Health != "in_service" {
				d.told[m.Host] = now
				d.b.logAt(now, "%s: told that %s is %s", d.name, m.Host, m.Health)
			}
		}
		d.mu.Unlock()
		return
	}
}

// run is one request as a worker got it.
type run struct {
	id, path string
	first    time.Time // first byte
	last     time.Time // last byte
}

// worker is the stand-in for a worker: it runs up to slots requests side by side, turns others away unstarted, and stops
// work whose connection ends.
type worker struct {
	b     *bed
	name  string
	l     net.Listener
	work  func(path string) time.Duration
	slots int
	spoil func(id string) bool // whether the result is cut off in the middle of a character; nil: none is
	mu    sync.Mutex
	busy  int
	runs  []run
	conns map[net.Conn]bool
}

func (b *bed) newWorker(name string, slots int, work func(path string) time.Duration) *worker {
	w := &worker{b: b, name: name, work: work, slots: slots, conns: map[net.Conn]bool{}}
	var err error
	if w.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := w.l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w
}

// stop takes the worker away: its connections end, and new ones are refused.
func (w *worker) stop() {
	w.l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.b.logf("platform: takes worker %s away, which runs %d requests", w.name, w.busy)
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// entry is the worker's entry in discovery's list.
func (w *worker) entry(site string, block int) *member {
	return &member{Host: w.name, Dial: w.l.Addr().String(), Site: site, Class: "std-3core", Block: block, Health: "in_service", Share: 1}
}

// received returns the requests that the worker got so far.
func (w *worker) received() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// serve reads requests from one connection, one after another.
func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	requests, ended := make(chan *http.Request), make(chan struct{})
	answered := make(chan struct{}, 1)
	firsts := make(chan time.Time, 1)
	go func() {
		defer close(ended)
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			firsts <- time.Now()
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil || len(body) > 64<<10 {
				return
			}
			requests <- req
			// The end of the connection is seen while the request runs.
			if _, err := r.Peek(1); err != nil {
				return
			}
			<-answered
		}
	}()
	for {
		select {
		case <-ended:
			return
		case req := <-requests:
			if !w.answer(c, req, <-firsts, ended) {
				return
			}
			answered <- struct{}{}
		}
	}
}

// answer runs a request and answers it. It returns false if the connection has ended.
func (w *worker) answer(c net.Conn, req *http.Request, first time.Time, ended chan struct{}) bool {
	if req.URL.Path == "/ping" {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	id := req.Header.Get("Request-Id")
	now := time.Now()
	w.mu.Lock()
	full := w.busy >= w.slots
	if !full {
		w.busy++
		w.runs = append(w.runs, run{id, req.URL.Path, first, now})
	}
	w.mu.Unlock()
	if full {
		w.b.logf("worker %s: full, %s turned away", w.name, id)
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	w.b.logAt(first, "worker %s: runs %s of %s", w.name, id, req.URL.Path)
	chunk := func(state, more string) string {
		line := fmt.Sprintf("{\"id\":%q,\"from\":%q,\"state\":%q%s}\n", id, w.name, state, more)
		return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("started", ""))
	select {
	case <-time.After(w.work(req.URL.Path)):
	case <-ended:
		w.mu.Lock()
		w.busy--
		w.mu.Unlock()
		w.b.logf("worker %s: %s called off", w.name, id)
		return false
	}
	w.mu.Lock()
	w.busy--
	w.mu.Unlock()
	result := fmt.Sprintf("%q", resultOf(w.name, id))
	if w.spoil != nil && w.spoil(id) {
		result = cutResult(w.name, id)
	}
	_, err := io.WriteString(c, chunk("done", ",\"result\":"+result)+"0\r\n\r\n")
	w.b.logf("worker %s: done %s, result %s", w.name, id, result)
	return err == nil
}

// resultOf is the result that a worker gives for a request.
func resultOf(worker, id string) string { return worker + " ran " + id }

// cutResult is the result with a drawing's sign behind it, as JSON, cut off after the first half of the sign: a JSON text may
// have a sign beyond the first 65,536 as two escapes.
func cutResult(worker, id string) string { return fmt.Sprintf("\"%s \\ud83d\"", resultOf(worker, id)) }

// requestText is a client's request.
func requestText(class, id string, timeoutMs, bodyBytes int) string {
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = 'x'
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %dm\r\n"+
		"Idempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n%s", class, id, timeoutMs, id, bodyBytes, body)
}

// readAnswer reads one answer: its status and body, and whether the scheduler ends the connection with it.
func readAnswer(r *bufio.Reader) (status int, body string, closes bool, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", false, err
	}
	raw, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	return resp.StatusCode, string(raw), resp.Close, err
}

// client keeps one connection to a scheduler and sends one request at a time.
type client struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
}

// send sends a request and returns its answer. On a connection that ended between two requests it is sent once more.
func (c *client) send(text string, limit time.Duration) (status int, body string, err error) {
	for try := 0; ; try++ {
		reused := c.conn != nil
		if !reused {
			if c.conn, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
				c.conn = nil
				return 0, "", err
			}
			c.r = bufio.NewReader(c.conn)
		}
		_ = c.conn.SetDeadline(time.Now().Add(limit))
		closes := false
		if _, err = io.WriteString(c.conn, text); err == nil {
			status, body, closes, err = readAnswer(c.r)
		}
		if err != nil || closes {
			c.conn.Close()
			c.conn = nil
		}
		if err == nil || !reused || try > 0 {
			return status, body, err
		}
	}
}
