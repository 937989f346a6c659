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

// schedulerSettings returns the settings object of a scheduler's configuration, in the form that README.md describes. Its
// times are in microseconds. number is the scheduler's.
func schedulerSettings(p *plan.Plan, number int, phase plan.RetunePhase) map[string]any {
	micros := func(s plan.Span) int64 { return int64(float64(s) * 1000) }
	var schemes, orgs []map[string]any
	var kinds []int
	effects := map[balance.RepeatEffect]string{balance.Repeatable: "retryable", balance.Referenced: "dedup",
		balance.OnceOnly: "fragile"}
	rows := p.AllSchemeRows()
	for _, i := range p.SchemesIn(phase) {
		c := p.Schemes[i%len(p.Schemes)]
		schemes = append(schemes, map[string]any{"name": rows[i].Name, "effect": effects[rows[i].Effect], "key_scope": c.Group,
			"window": micros(c.Window), "sla_time": micros(c.SLA), "aim_stretch": c.Stretch, "expiry": micros(c.Expiry),
			"gain": c.Gain, "tardy_gain": c.Late})
		kinds = append(kinds, slices.Index(p.Kinds(), c.Kind))
	}
	for _, t := range p.Clients.Tenants {
		orgs = append(orgs, map[string]any{"name": t.Name, "quota_per_s": t.Quota})
	}
	s, c := &p.Schedulers, &p.Cold
	all := map[string]any{"my_number": number, "peers_total": s.Count, "zone": number % len(s.Zones), "tick": micros(s.Tick),
		"surplus_gain": s.OverShare, "weights": p.Discovery.Weights, "zones": p.Zones(), "kinds": p.Kinds(),
		"schemes": schemes, "orgs": orgs,
		"domain": map[string]any{"class_kind": kinds, "tells_start": true, "report_x0": "free slots"},
		"policy_limits": map[string]any{"max_postings": p.MaxPostingsIn(phase), "parallel_tries": s.Copies, "cancel": s.Cancels,
			"max_retry_after": micros(s.Advice), "retry_after": s.Advice > 0, "peers": s.Peers, "probes": s.Probes,
			"conn_idle": micros(s.Idle), "connect_timeout": micros(s.Dial)},
		"guarantees": map[string]any{"cold_from": c.From, "cold": micros(c.For), "fall": micros(c.Fall),
			"fall_multiple": c.Times, "must_ask_in": micros(p.Discovery.MustAsk)},
		"fees": map[string]any{"peer": s.PeerPrice}}
	for _, group := range p.Workers {
		if group.ReportsEach > 0 {
			all["report"] = map[string]any{"fields": []string{"x0"}}
		}
	}
	return all
}

// scheduler is one scheduler and its process. Where agents run the processes there may be several at a time (see
// ProcessMark in Options).
type scheduler struct {
	exp            *experiment
	number         int
	zone           int
	clientAddr     string // for clients
	peerAddr       string // for messages from peers, UDP
	managementAddr string
	discoveryAddr  string // an address of discovery for this scheduler alone, by which discovery knows who asks
	configPath     string
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{} // closed when the present process has ended
	initialList    []byte        // the list of workers in the configuration, JSON
	// listedByFront: the front sends clients to it. killed: its process was killed, which excuses it from answering the txns
	// that it had taken.
	listedByFront, killed bool
	configWrites          int          // part of the seed of the next configuration
	incarnation           atomic.Int32 // number of the present process; a process that takes over from another one keeps it
	operatorCalls         sync.Mutex   // held during a call at the management address
	maxMemoryKB           int          // the most memory that any of its processes was seen to hold
	httpClient            *http.Client
	// The following are used where agents run the processes.
	takeoverAddr           string // management address of a process that takes over from the present one
	pids, lastPids         []int  // the present processes; the last ones that were seen
	healthy, failedByFault bool   // the last health check succeeded; it was killed or paused since one last did
	stoppedByOperator      bool   // it was told to stop, and no health check has succeeded since
	recentHealth           []bool // results of the last two health checks
}

// assignedPorts are the TCP ports that freeAddress has tried.
var assignedPorts sync.Map

// freeAddress returns an address on loopback at which nothing listens; network is tcp or udp.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	// TCP ports are taken from below the kernel's range for outgoing connections: a port of that range may belong to another
	// connection by the time the program listens on it. No port is returned twice in a process, as a run with forty schedulers
	// uses hundreds.
	const firstPort, ports, tries = 12000, 20000, 100
	for range tries {
		port := firstPort + rand.IntN(ports)
		if _, tried := assignedPorts.LoadOrStore(port, true); tried {
			continue
		}
		if l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free TCP port found on 127.0.0.1 in %d tries from %d to %d", tries, firstPort, firstPort+ports-1)
}

// FreeAddr returns a TCP address on loopback at which nothing listens.
func FreeAddr() (string, error) { return freeAddress("tcp") }

// writeConfig writes the configuration for the next start or reload. The limits leave room for everything that a small
// experiment has open at once: at the limit on client connections the scheduler can only reset new ones, and the auditor would
// report their txns as lost.
func (s *scheduler) writeConfig() error {
	s.configWrites++
	seed := load.Rand(s.exp.seed, fmt.Sprint("scheduler", s.number, "start", s.configWrites)).Uint64()
	c := map[string]any{"name": s.id(), "listen": s.clientAddr, "discovery": s.discoveryAddr,
		"seed":   strconv.FormatUint(seed, 16),
		"limits": map[string]any{"cores": 1, "memory_mb": 384, "sockets": 4096},
		"known":  json.RawMessage(s.initialList), "settings": schedulerSettings(s.exp.plan, s.number, s.exp.currentPhase())}
	if s.exp.options.ProcessMark == "" {
		c["mgmt"] = s.managementAddr
	}
	if s.exp.options.Agent != nil {
		c["agent"] = s.exp.options.Agent(s.number)
	}
	if s.exp.plan.Schedulers.Peers {
		c["peer_listen"], c["peers"], c["peers_all"] = s.peerAddr, s.exp.relay.schedulerAddrs, s.exp.relay.broadcastAddr
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return os.WriteFile(s.configPath, raw, 0o600)
}

// id returns the scheduler's ID.
func (s *scheduler) id() string { return fmt.Sprint("s", s.number) }

// processName names the present process for the auditor, so that txns which a former process had taken are not charged to this
// one.
func (s *scheduler) processName() string {
	return fmt.Sprintf("s%d.%d", s.number, s.incarnation.Load())
}

// start starts the program and, once its health check succeeds, has the front send clients to it.
func (s *scheduler) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil || s.exp.ctx.Err() != nil || s.exp.options.ProcessMark != "" {
		return nil
	}
	s.incarnation.Add(1)
	s.initialList = s.exp.discovery.initialList(s.number)
	if err := s.writeConfig(); err != nil {
		return err
	}
	cmd := exec.Command(s.exp.program, "serve", "--config", s.configPath)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(s.exp.dir, s.id()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stderr, cmd.Stdout = log, log
	cmd.Env = append(append(os.Environ(), "TMPDIR="+s.exp.dir), s.exp.options.Env...)
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("%s: %w", s.exp.program, err)
	}
	ended, process := make(chan struct{}), s.processName()
	s.cmd, s.ended, s.killed = cmd, ended, false
	go func() {
		err := cmd.Wait()
		log.Close()
		s.mu.Lock()
		killed := s.killed
		s.cmd = nil
		s.mu.Unlock()
		s.exp.processEnded(s, process, killed, err)
		close(ended)
	}()
	go func() {
		for s.exp.ctx.Err() == nil {
			if r, err := s.httpClient.Get("http://" + s.clientAddr + "/_health"); err == nil {
				r.Body.Close()
				if r.StatusCode == 200 {
					s.exp.setListed(s, true)
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

// setWorkerWithdrawn tells a scheduler, at its management address, that operators took a worker out of service or put it back.
// It repeats the call until it succeeds, the run is over or the worker's state has changed again. For the auditor a worker is
// out of service from the successful answer on, and may be used again from the call that puts it back.
func (s *scheduler) setWorkerWithdrawn(worker string, out bool) {
	call := "up"
	if out {
		call = "down"
	}
	// One call at a time: otherwise a success that is noticed late would be recorded after the call that undoes it.
	s.operatorCalls.Lock()
	defer s.operatorCalls.Unlock()
	for s.exp.ctx.Err() == nil && s.exp.isWithdrawn(worker) == out {
		if !out {
			s.exp.recordEvent(func(at float64) { s.exp.auditor.TakenOut(at, s.id(), worker, false) })
		}
		response, err := s.httpClient.Post("http://"+s.managementAddr+"/ops/workers/"+call, "text/plain", strings.NewReader(worker))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == 200 && out {
				s.exp.recordEvent(func(at float64) { s.exp.auditor.TakenOut(at, s.id(), worker, true) })
			}
			if response.StatusCode == 200 {
				return
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-s.exp.ctx.Done():
		}
	}
}

// signal sends a signal to the process and tells whether there was one to send it to.
func (s *scheduler) signal(sig syscall.Signal) bool {
	if s.exp.options.ProcessMark != "" {
		return s.signalProcesses(sig)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return false
	}
	s.killed = s.killed || sig == syscall.SIGKILL
	return s.cmd.Process.Signal(sig) == nil
}

// waitEnded waits for the present process to end, if there is one.
func (s *scheduler) waitEnded() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// readMaxMemory updates the most memory that the process has held, in kB, from its peak resident set size.
func (s *scheduler) readMaxMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb int
		if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %d kB", &kb); err == nil {
			s.maxMemoryKB = max(s.maxMemoryKB, kb)
		}
	}
}

// relay passes datagrams on among schedulers, with the network's losses and delays. Each scheduler sends to the broadcast
// address, and sees the datagrams of another one as sent from an address that the relay has for that one.
type relay struct {
	exp             *experiment
	broadcastAddr   string         // what is sent here goes to all other schedulers
	schedulerAddrs  []string       // by scheduler: its address as its peers see it
	conns           []*net.UDPConn // by scheduler: the socket with that address
	targets         []*net.UDPAddr // by scheduler: its own address
	schedulerByAddr map[string]int // number of a scheduler by its own address
}

// open opens the relay's sockets and passes datagrams on until they are closed.
func (r *relay) open(exp *experiment) error {
	r.exp, r.schedulerByAddr = exp, map[string]int{}
	listen := func() (*net.UDPConn, error) {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err == nil {
			exp.closers = append(exp.closers, func() { conn.Close() })
		}
		return conn, err
	}
	broadcast, err := listen()
	if err != nil {
		return err
	}
	r.broadcastAddr = broadcast.LocalAddr().String()
	for i, s := range exp.schedulers {
		conn, err := listen()
		if err != nil {
			return err
		}
		target, err := net.ResolveUDPAddr("udp", s.peerAddr)
		if err != nil {
			return err
		}
		r.schedulerAddrs, r.conns, r.targets = append(r.schedulerAddrs, conn.LocalAddr().String()), append(r.conns, conn), append(r.targets, target)
		r.schedulerByAddr[s.peerAddr] = i
	}
	go func() {
		buffer := make([]byte, 2048)
		for {
			size, from, err := broadcast.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			i, ok := r.schedulerByAddr[from.String()]
			if !ok {
				continue
			}
			body := append([]byte{}, buffer[:size]...)
			for j := range r.conns {
				if j != i && !exp.network.drawLost() {
					time.AfterFunc(exp.network.drawDelay(), func() { _, _ = r.conns[i].WriteToUDP(body, r.targets[j]) })
				}
			}
		}
	}()
	return nil
}
