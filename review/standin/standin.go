// Package standin has what the cases of the review share: stand-ins for discovery, workers, the peers' network and the
// platform, and a record of what was sent, answered and run. The stand-ins keep to the users' pages; all addresses are
// loopback addresses and all clocks are real.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the file record.txt of a case: one line an event, with the seconds since the case began.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// NewRecord creates the file in a case's folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, begun: time.Now()}, err
}

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Seconds is the time since the case began.
func (r *Record) Seconds() float64 { return time.Since(r.begun).Seconds() }

// FreeAddr returns a loopback address with a port that was free a moment ago.
func FreeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// ---- discovery ----

// Host is a worker's entry in discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// List is an answer of discovery.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery answers with the whole list, or on a watch with the entries that changed.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	seq     int
	hosts   map[string]Host // those that are not terminated
	order   []string
	changes []change
	changed chan struct{}
}

type change struct {
	seq  int
	host Host
}

// NewDiscovery starts discovery with a list.
func NewDiscovery(hosts []Host) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), seq: 41, hosts: map[string]Host{}, changed: make(chan struct{})}
	for _, h := range hosts {
		d.hosts[h.Host] = h
		d.order = append(d.order, h.Host)
	}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// Whole is the whole list as it is now.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *Discovery) whole() List {
	list := List{Seq: d.seq, Whole: true, Hosts: []Host{}}
	for _, id := range d.order {
		if h, ok := d.hosts[id]; ok {
			list.Hosts = append(list.Hosts, h)
		}
	}
	return list
}

// Set changes entries of the list; one that is terminated is taken away.
func (d *Discovery) Set(hosts ...Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		if h.Health == "terminated" {
			delete(d.hosts, h.Host)
		} else {
			d.hosts[h.Host] = h
		}
		d.changes = append(d.changes, change{d.seq, h})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	d.mu.Lock()
	var list List
	if err != nil || after < 41 || after > d.seq {
		list = d.whole()
	} else {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		over := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
		for waiting := true; waiting && d.seq == after; {
			changed := d.changed
			d.mu.Unlock()
			select {
			case <-changed:
			case <-over:
				waiting = false
			case <-r.Context().Done():
				return
			}
			d.mu.Lock()
		}
		list = List{Seq: d.seq, Hosts: []Host{}}
		for _, c := range d.changes {
			if c.seq > after {
				list.Hosts = append(list.Hosts, c.host)
			}
		}
	}
	raw, _ := json.Marshal(list)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// ---- peers ----

// Peers is the network between schedulers: it delivers each datagram that one sends to All to all others, from the address under
// which they know the sender.
type Peers struct {
	All     string
	Names   []string // the address of each scheduler as the others see it, by number
	Listens []string // where each scheduler listens
	fakes   []*net.UDPConn
}

// NewPeers makes the network for so many schedulers.
func NewPeers(count int) (*Peers, error) {
	p := &Peers{}
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	all, err := net.ListenUDP("udp", loopback)
	if err != nil {
		return nil, err
	}
	p.All = all.LocalAddr().String()
	for range count {
		fake, err := net.ListenUDP("udp", loopback)
		if err != nil {
			return nil, err
		}
		probe, err := net.ListenUDP("udp", loopback)
		if err != nil {
			return nil, err
		}
		p.fakes, p.Names = append(p.fakes, fake), append(p.Names, fake.LocalAddr().String())
		p.Listens = append(p.Listens, probe.LocalAddr().String())
		probe.Close()
	}
	go func() {
		buf := make([]byte, 512)
		for {
			n, from, err := all.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			for i, listen := range p.Listens {
				if listen != from.String() {
					continue
				}
				for k, other := range p.Listens {
					if addr, err := net.ResolveUDPAddr("udp", other); err == nil && k != i {
						_, _ = p.fakes[i].WriteToUDP(buf[:n], addr)
					}
				}
			}
		}
	}()
	return p, nil
}

// ---- the platform ----

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// RunCommand reads the command that starts a scheduler from the deploy file. The cases run in the root of the repository.
func RunCommand() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(raw)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(m[1]), nil
}

// Process is one process of a scheduler.
type Process struct {
	Cmd    *exec.Cmd
	Mgmt   string
	Exited chan struct{}
}

// Node is one scheduler as the platform knows it.
type Node struct {
	Name   string
	Listen string
	TmpDir string // common to all processes of the scheduler, and kept
	Config map[string]any
	Log    *os.File
}

// started holds all processes, so that a signal that ends a case ends them too.
var started struct {
	mu  sync.Mutex
	all []*Process
}

// EndWithSignals has SIGTERM and SIGINT end all processes that were started, and then the case.
func EndWithSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		started.mu.Lock()
		for _, p := range started.all {
			p.Signal(syscall.SIGKILL)
		}
		os.Exit(2)
	}()
}

// Start writes the scheduler's configuration and starts a process of it.
func (n *Node) Start(known List, mgmt string) (*Process, error) {
	run, err := RunCommand()
	if err != nil {
		return nil, err
	}
	n.Config["known"] = known
	if mgmt != "" {
		n.Config["mgmt"] = mgmt
	}
	raw, _ := json.Marshal(n.Config)
	path := filepath.Join(filepath.Dir(n.TmpDir), n.Name+".json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return nil, err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return nil, err
	}
	p := &Process{Cmd: exec.Command("/bin/sh", "-c", run), Mgmt: mgmt, Exited: make(chan struct{})}
	p.Cmd.Env = append(os.Environ(), "BALANCER_NAME="+n.Name, "BALANCER_LISTEN="+n.Listen, "BALANCER_CONFIG="+path,
		"BALANCER_DISCOVERY="+fmt.Sprint(n.Config["discovery"]), "TMPDIR="+n.TmpDir)
	if mgmt != "" {
		p.Cmd.Env = append(p.Cmd.Env, "BALANCER_MGMT="+mgmt)
	}
	p.Cmd.Stdout, p.Cmd.Stderr = n.Log, n.Log
	started.mu.Lock()
	defer started.mu.Unlock()
	if err := p.Cmd.Start(); err != nil {
		return nil, err
	}
	started.all = append(started.all, p)
	go func() { _ = p.Cmd.Wait(); close(p.Exited) }()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	if p != nil && p.Cmd.Process != nil {
		_ = p.Cmd.Process.Signal(s)
	}
}

// Await asks for a path every 50 ms until it is answered 200, for so long at most.
func Await(url string, most time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s did not answer 200 in %s", url, most)
}

// Scheme is one class of requests, with the figures of the settings; times in ms.
type Scheme struct {
	Name, Effect, Scope             string
	SLAMs, ExpiryMs, WindowMs       int64
	Gain, LateGain, Stretch, Placed float64
}

// Settings are those of a deployment like the quoting one, with these schemes.
func Settings(zones []string, zone, number, total int, schemes []Scheme) map[string]any {
	var rows []map[string]any
	var kinds, priorities []int
	var stretches []float64
	for _, s := range schemes {
		rows = append(rows, map[string]any{"name": s.Name, "effect": s.Effect, "key_scope": s.Scope, "stream": false,
			"sla_time": s.SLAMs * 1000, "expiry": s.ExpiryMs * 1000, "window": s.WindowMs * 1000, "gain": s.Gain,
			"tardy_gain": s.LateGain})
		kinds, priorities, stretches = append(kinds, -1), append(priorities, 0), append(stretches, s.Stretch)
	}
	return map[string]any{
		"my_number": number, "peers_total": total, "tick": 2000, "tier": 0, "zone": zone, "zones": zones,
		"kinds": []string{"std-3core"}, "layers": []string{"quote-workers"}, "orgs": []any{}, "workload": "jobs",
		"membership_mode": "subscribe", "weights": "silent", "gain_by": "work", "surplus_gain": 0.1,
		"callers": map[string]any{"marks_retry": true}, "report": map[string]any{"how": "silent", "fields": []string{}},
		"domain": map[string]any{"tells_start": true, "progress": 0, "queue_order": "backfill", "class_kind": kinds,
			"class_priority": priorities, "class_stretch": stretches},
		"fees": map[string]any{"probe": 0.002, "peer": 0.01, "waste": 0.04, "cross_zone": 0.01, "late_fail": 0.05,
			"handshake": 0.0, "connection": 0.0},
		"guarantees": map[string]any{"answer_slack": 8000, "drain_grace": 500000, "cold": 24000000, "cold_from": 0.12,
			"fall": 2000000, "fall_multiple": 4.0, "must_ask_in": 10000000},
		"policy_limits": map[string]any{"cancel": true, "parallel_tries": true, "peers": true, "probes": true,
			"retry_after": true, "max_retry_after": 2000000, "max_postings": 6, "max_streams": 1, "conn_idle": 10000000,
			"connect_timeout": 250000, "most_held": 24264, "cpu_us_per_s": 970561, "cpu_us_per_request": 0.0},
		"schemes": rows,
	}
}

// ---- workers ----

// Attempt is one request that a worker read whole.
type Attempt struct {
	ID, Key, Path, Worker, Zone string
	At                          float64 // seconds, when its last byte had come
	Began                       bool    // the worker ran it
	Turned                      bool    // the worker told that it never ran
}

// Worker runs jobs in its slots, first come first served. A job's time is the number of milliseconds that its body begins with.
type Worker struct {
	ID, Zone, Addr string
	Block          int
	record         *Record
	fleet          *Fleet

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	slots    chan struct{}
	life     int // counts its starts
}

// Fleet is all workers and what they were sent and ran.
type Fleet struct {
	Record *Record
	Quiet  bool // nothing is kept of single attempts

	mu       sync.Mutex
	Attempts []*Attempt
	marks    map[string]string // zone and key -> the id of the request that had the effect
	Effects  map[string][]string
}

// NewFleet makes a fleet without workers.
func NewFleet(record *Record) *Fleet {
	return &Fleet{Record: record, marks: map[string]string{}, Effects: map[string][]string{}}
}

// NewWorker starts a worker.
func (f *Fleet) NewWorker(id, zone string, block int) (*Worker, error) {
	w := &Worker{ID: id, Zone: zone, Block: block, record: f.Record, fleet: f}
	return w, w.Start()
}

// Entry is the worker's entry in discovery's list.
func (w *Worker) Entry(health string, bornMs int64) Host {
	return Host{Host: w.ID, Dial: w.Addr, Site: w.Zone, Class: "std-3core", Block: w.Block, Health: health, Share: 1, BornMs: bornMs}
}

// Start makes the worker listen, at its former address if it had one.
func (w *Worker) Start() error {
	addr := w.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Addr, w.listener, w.conns, w.slots = l.Addr().String(), l, map[net.Conn]bool{}, make(chan struct{}, 3)
	w.life++
	life := w.life
	server := &http.Server{IdleTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(life, rw, r) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch s {
			case http.StateNew:
				w.conns[c] = true
			case http.StateClosed:
				delete(w.conns, c)
			}
		}}
	go func() { _ = server.Serve(l) }()
	return nil
}

// Die ends the worker as a killed process ends: its connections are reset, and new ones refused. What it ran is gone; effects that
// it had are kept by those that share its memory of marks.
func (w *Worker) Die() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	w.record.Printf("worker %s in %s died", w.ID, w.Zone)
}

func (w *Worker) alive(life int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life == life
}

func (w *Worker) serve(life int, rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" {
		return
	}
	body := new(strings.Builder)
	if _, err := copyAll(body, r); err != nil {
		return // its last byte never came
	}
	w.mu.Lock()
	slots := w.slots
	w.mu.Unlock()
	if !w.alive(life) {
		return
	}
	ms, _, _ := strings.Cut(body.String(), " ")
	runMs, _ := strconv.Atoi(ms)
	f := w.fleet
	a := &Attempt{ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), Path: r.URL.Path, Worker: w.ID, Zone: w.Zone,
		At: f.Record.Seconds()}
	if f.Quiet {
		w.runQuietly(rw, r, a.ID, slots, runMs)
		return
	}
	f.mu.Lock()
	f.Attempts = append(f.Attempts, a)
	f.mu.Unlock()
	f.Record.Printf("worker %s in %s got %s id=%s key=%s", w.ID, w.Zone, a.Path, a.ID, a.Key)
	line := func(format string, args ...any) {
		fmt.Fprintf(rw, "{\"id\":%q,\"from\":%q,%s}\n", a.ID, w.ID, fmt.Sprintf(format, args...))
		_ = http.NewResponseController(rw).Flush()
	}
	rw.WriteHeader(200)
	_ = http.NewResponseController(rw).Flush()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-r.Context().Done():
		return // given up before it began
	}
	if !w.alive(life) {
		return
	}
	f.mu.Lock()
	a.Began = true
	first := true
	if a.Key != "" {
		if by, ok := f.marks[w.Zone+" "+a.Key]; ok {
			first = false
			f.Record.Printf("worker %s in %s drops the repeat of key=%s, id=%s had it", w.ID, w.Zone, a.Key, by)
		} else {
			f.marks[w.Zone+" "+a.Key] = a.ID
		}
	}
	if first {
		f.Effects[a.ID] = append(f.Effects[a.ID], w.ID+" in "+w.Zone)
	}
	f.mu.Unlock()
	if first {
		f.Record.Printf("worker %s in %s runs id=%s, which has its effect", w.ID, w.Zone, a.ID)
	}
	line(`"state":"started"`)
	select {
	case <-time.After(time.Duration(runMs) * time.Millisecond):
	case <-r.Context().Done():
		f.Record.Printf("worker %s in %s: the connection of id=%s ended", w.ID, w.Zone, a.ID)
		return
	}
	if w.alive(life) {
		f.Record.Printf("worker %s in %s is done with id=%s", w.ID, w.Zone, a.ID)
		line(`"state":"done","result":%q`, "result of "+a.ID)
	}
}

// runQuietly runs a job without a line in the record.
func (w *Worker) runQuietly(rw http.ResponseWriter, r *http.Request, id string, slots chan struct{}, runMs int) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(rw, "{\"id\":%q,\"from\":%q,\"state\":\"started\"}\n", id, w.ID)
	_ = http.NewResponseController(rw).Flush()
	time.Sleep(time.Duration(runMs) * time.Millisecond)
	fmt.Fprintf(rw, "{\"id\":%q,\"from\":%q,\"state\":\"done\",\"result\":\"ok\"}\n", id, w.ID)
}

// All returns the attempts so far.
func (f *Fleet) All() []*Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Attempt
	for _, a := range f.Attempts {
		c := *a
		all = append(all, &c)
	}
	return all
}

// EffectsOf returns the workers that had the effect of a request.
func (f *Fleet) EffectsOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.Effects[id]...)
}

func copyAll(to *strings.Builder, r *http.Request) (int64, error) {
	buf := make([]byte, 32<<10)
	var total int64
	for {
		n, err := r.Body.Read(buf)
		to.Write(buf[:n])
		total += int64(n)
		if err != nil {
			if err.Error() == "EOF" {
				return total, nil
			}
			return total, err
		}
	}
}
