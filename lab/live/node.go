package live

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shalebeam/balance"
	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// settings is the settings object of a scheduler, times in microseconds, as README.md has it.
func settings(p *plan.Plan, me int, phase plan.Phase) map[string]any {
	us := func(s plan.Span) int64 { return int64(float64(s) * 1000) }
	var schemes, orgs []map[string]any
	var kinds []int
	effects := map[balance.Effect]string{balance.Repeatable: "retryable", balance.Referenced: "dedup",
		balance.OnceOnly: "fragile"}
	rows := p.Rows()
	for _, i := range p.In(phase) {
		c := p.Schemes[i%len(p.Schemes)]
		schemes = append(schemes, map[string]any{"name": rows[i].Name, "effect": effects[rows[i].Effect], "key_scope": c.Group,
			"window": us(c.Window), "sla_time": us(c.SLA), "aim_stretch": c.Stretch, "expiry": us(c.Expiry),
			"gain": c.Gain, "tardy_gain": c.Late})
		kinds = append(kinds, slices.Index(p.Kinds(), c.Kind))
	}
	for _, t := range p.Clients.Tenants {
		orgs = append(orgs, map[string]any{"name": t.Name, "quota_per_s": t.Quota})
	}
	s, c := &p.Schedulers, &p.Cold
	all := map[string]any{"my_number": me, "peers_total": s.Count, "zone": me % len(s.Zones), "tick": us(s.Tick),
		"surplus_gain": s.OverShare, "weights": p.Discovery.Weights, "zones": p.Zones(), "kinds": p.Kinds(),
		"schemes": schemes, "orgs": orgs,
		"domain": map[string]any{"class_kind": kinds, "tells_start": true, "report_x0": "free slots"},
		"policy_limits": map[string]any{"max_postings": p.PostsIn(phase), "parallel_tries": s.Copies, "cancel": s.Cancels,
			"max_retry_after": us(s.Advice), "retry_after": s.Advice > 0, "peers": s.Peers, "probes": s.Probes,
			"conn_idle": us(s.Idle), "connect_timeout": us(s.Dial)},
		"guarantees": map[string]any{"cold_from": c.From, "cold": us(c.For), "fall": us(c.Fall),
			"fall_multiple": c.Times, "must_ask_in": us(p.Discovery.MustAsk)},
		"fees": map[string]any{"peer": s.PeerPrice}}
	for _, w := range p.Workers {
		if w.ReportsEach > 0 {
			all["report"] = map[string]any{"fields": []string{"x0"}}
		}
	}
	return all
}

// node is one scheduler's process.
type node struct {
	w     *world
	no    int
	zone  int
	addr  string
	peer  string
	mgmt  string
	disc  string // its own address of discovery, by which that knows who asks
	path  string
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // of the present process
	known []byte
	// listed: the front deals it clients; killed: its process was ended by force, and what it owed is excused.
	listed, killed bool
	starts         int
	lives          atomic.Int32
	staffing       sync.Mutex // calls at its second address
	most           int        // the most memory seen, in kB
	client         *http.Client
	// Of one that others run: see minded.go.
	beside       string
	pids, last   []int // now, and when there last were some
	serves, fell bool
	will         bool // it was told to end, and does not serve since
	looks        []bool
}

var ports sync.Map

func freeAddr(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	// Below the ports that the system deals out by itself: one of those may be another connection's by the time that the
	// program listens there. None is dealt out twice here: a day of forty schedulers has hundreds.
	for range 100 {
		port := 12000 + rand.IntN(20000)
		if _, dealt := ports.LoadOrStore(port, true); dealt {
			continue
		}
		if l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no port is free")
}

// FreeAddr is an address on loopback that nobody listens at.
func FreeAddr() (string, error) { return freeAddr("tcp") }

// write writes the configuration for the next start. The limits leave room for all that a small day can have open: at
// the bound on clients what comes can only be reset, and the auditor would call it lost.
func (n *node) write() error {
	n.starts++
	seed := load.Rand(n.w.seed, fmt.Sprint("scheduler", n.no, "start", n.starts)).Uint64()
	c := map[string]any{"name": n.name(), "listen": n.addr, "discovery": n.disc,
		"seed":   strconv.FormatUint(seed, 16),
		"limits": map[string]any{"cores": 1, "memory_mb": 384, "sockets": 4096},
		"known":  json.RawMessage(n.known), "settings": settings(n.w.p, n.no, n.w.phaseNow())}
	if n.w.opt.Mark == "" {
		c["mgmt"] = n.mgmt
	}
	if n.w.opt.Agent != nil {
		c["agent"] = n.w.opt.Agent(n.no)
	}
	if n.w.p.Schedulers.Peers {
		c["peer_listen"], c["peers"], c["peers_all"] = n.peer, n.w.relay.addrs, n.w.relay.all
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return os.WriteFile(n.path, raw, 0o600)
}

func (n *node) name() string { return fmt.Sprint("s", n.no) }

// process names the present process to the auditor: what a former one owed is not this one's.
func (n *node) process() string { return fmt.Sprintf("s%d.%d", n.no, n.lives.Load()) }

// start runs the program and, once it says that it serves, has the front deal it clients.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.w.ctx.Err() != nil || n.w.opt.Mark != "" {
		return nil
	}
	n.lives.Add(1)
	n.known = n.w.disc.whole(n.no)
	if err := n.write(); err != nil {
		return err
	}
	cmd := exec.Command(n.w.program, "serve", "--config", n.path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stderr, cmd.Stdout = log, log
	cmd.Env = append(append(os.Environ(), "TMPDIR="+n.w.dir), n.w.opt.Env...)
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("%s: %w", n.w.program, err)
	}
	ended, process := make(chan struct{}), n.process()
	n.cmd, n.ended, n.killed = cmd, ended, false
	go func() {
		err := cmd.Wait()
		log.Close()
		n.mu.Lock()
		killed := n.killed
		n.cmd = nil
		n.mu.Unlock()
		n.w.died(n, process, killed, err)
		close(ended)
	}()
	go func() {
		for n.w.ctx.Err() == nil {
			if r, err := n.client.Get("http://" + n.addr + "/_health"); err == nil {
				r.Body.Close()
				if r.StatusCode == 200 {
					n.w.list(n, true)
					return
				}
			}
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return nil
}

// staff makes one call at the second address, again until it is heard: from the yes on a worker is out, and from
// the call on it may be in use again.
func (n *node) staff(worker string, out bool) {
	call := "up"
	if out {
		call = "down"
	}
	// One after the other: a yes that came late would be noted behind the call back that undid it.
	n.staffing.Lock()
	defer n.staffing.Unlock()
	for n.w.ctx.Err() == nil && n.w.isOut(worker) == out {
		if !out {
			n.w.note(func(at float64) { n.w.audit.Staffed(at, n.name(), worker, false) })
		}
		r, err := n.client.Post("http://"+n.mgmt+"/ops/workers/"+call, "text/plain", strings.NewReader(worker))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 && out {
				n.w.note(func(at float64) { n.w.audit.Staffed(at, n.name(), worker, true) })
			}
			if r.StatusCode == 200 {
				return
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-n.w.ctx.Done():
		}
	}
}

// signal sends one to the process, if there is any.
func (n *node) signal(s syscall.Signal) bool {
	if n.w.opt.Mark != "" {
		return n.signalAll(s)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	n.killed = n.killed || s == syscall.SIGKILL
	return n.cmd.Process.Signal(s) == nil
}

// wait waits for the present process to end, if there is one.
func (n *node) wait() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// memory reads the most memory that the process has held, in kB.
func (n *node) memory() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb int
		if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kb); err == nil {
			n.most = max(n.most, kb)
		}
	}
}

// relay carries datagrams among schedulers: each sees the others under addresses of the relay's.
type relay struct {
	w     *world
	all   string
	addrs []string // of each scheduler, as the others see it
	each  []*net.UDPConn
	to    []*net.UDPAddr
	from  map[string]int // by a scheduler's own address
}

func (r *relay) open(w *world) error {
	r.w, r.from = w, map[string]int{}
	listen := func() (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err == nil {
			w.closers = append(w.closers, func() { c.Close() })
		}
		return c, err
	}
	all, err := listen()
	if err != nil {
		return err
	}
	r.all = all.LocalAddr().String()
	for i, n := range w.nodes {
		c, err := listen()
		if err != nil {
			return err
		}
		to, err := net.ResolveUDPAddr("udp", n.peer)
		if err != nil {
			return err
		}
		r.addrs, r.each, r.to = append(r.addrs, c.LocalAddr().String()), append(r.each, c), append(r.to, to)
		r.from[n.peer] = i
	}
	go func() {
		b := make([]byte, 2048)
		for {
			k, from, err := all.ReadFromUDP(b)
			if err != nil {
				return
			}
			i, ok := r.from[from.String()]
			if !ok {
				continue
			}
			body := append([]byte{}, b[:k]...)
			for j := range r.each {
				if j != i && !w.net.lost() {
					time.AfterFunc(w.net.wait(), func() { _, _ = r.each[i].WriteToUDP(body, r.to[j]) })
				}
			}
		}
	}()
	return nil
}
