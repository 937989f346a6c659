package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shalebeam/lab/sysfault"
)

// The stand-ins are small: a worker hands each request to the test and does as that says, discovery answers
// with the list it was given, a peer is a socket. Nothing waits for a time to pass; patience only bounds a
// test that fails.
const patience = 20 * time.Second

const asProgram = "SHALEBEAM_TEST_MAIN"

// TestMain is the program itself where a test has started it: one built beside the tests would be no part
// of what their cached results are kept by.
func TestMain(m *testing.M) {
	sysfault.Launch()
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	return cmd
}

// call is one posting as a worker gets it.
type call struct {
	to   string
	w    http.ResponseWriter
	r    *http.Request
	body string
	over chan struct{}
}

func (c *call) id() string { return c.r.Header.Get("Request-Id") }

// note sends one line of the answer.
func (c *call) note(state, more string) {
	fmt.Fprintf(c.w, "{\"id\":%q,\"from\":%q,\"state\":%q%s}\n", c.id(), c.to, state, more)
	c.w.(http.Flusher).Flush()
}

func (c *call) end() { close(c.over) }

func (c *call) settle(result string) {
	c.note("started", "")
	c.note("done", fmt.Sprintf(",\"result\":%q", result))
	c.end()
}

func (c *call) status(code int, notStarted string) {
	if notStarted != "" {
		c.w.Header().Set("Not-Started", notStarted)
	}
	c.w.WriteHeader(code)
	c.end()
}

// raw answers with these bytes and breaks the connection.
func (c *call) raw(text string) {
	conn, _, err := c.w.(http.Hijacker).Hijack()
	if err == nil {
		io.WriteString(conn, text)
		conn.Close()
	}
	c.end()
}

// stage is one scheduler with all that it talks to.
type stage struct {
	t     *testing.T
	calls chan *call
	pings chan string
	asks  chan int // the versions that discovery was asked for news after
	addr  string
	cmd   *exec.Cmd
	pid   chan int
	path  string // of the configuration; start writes one where there is none
	log   *bytes.Buffer
	exit  chan error
	peer  *net.UDPConn

	traced []sysfault.Call  // calls that the test can make fail
	early  []sysfault.Rule  // those that fail from the start
	faults *sysfault.Tracer // makes them fail

	tmp         string // the program's folder
	descriptors int    // a limit that the system keeps, where it is above 0

	mu      sync.Mutex
	list    []byte // what discovery answers; nil: it is down
	seq     int
	changed chan struct{}
	down    bool // at the start; else what the scheduler begins with is the list, where the test tells none
}

func serveHTTP(t *testing.T, h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// worker starts one and returns its entry in the list.
func (s *stage) worker(id string) string {
	return entry(id, serveHTTP(s.t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ping" {
			s.pings <- id
			return
		}
		body, _ := io.ReadAll(r.Body)
		c := &call{id, w, r, string(body), make(chan struct{})}
		s.calls <- c
		<-c.over
	}), "in_service")
}

// bound makes a socket that has an address and does not listen there.
func bound(t *testing.T) (fd int, addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprint("127.0.0.1:", sa.(*syscall.SockaddrInet4).Port)
}

// fill knocks at a socket that accepts nothing until its queue is full, and the system drops what knocks.
func fill(t *testing.T, addr string) {
	t.Helper()
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
	}
}

func entry(id, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","block":0,"health":%q,"share":1,
"born_ms":0}`, id, addr, health)
}

func members(seq int, whole bool, entries ...string) []byte {
	return fmt.Appendf(nil, `{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// tell changes what discovery answers to those that have not seen this version.
func (s *stage) tell(seq int, list []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq, s.list = seq, list
	close(s.changed)
	s.changed = make(chan struct{})
}

// told waits until the scheduler asks for what is newer than a version: it has taken that one.
func (s *stage) told(seq int) {
	s.t.Helper()
	for {
		if got := within(s.t, s.asks, "a call for the list"); got == seq {
			return
		}
	}
}

func (s *stage) discovery(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	s.asks <- after
	for {
		s.mu.Lock()
		list, seq, changed := s.list, s.seq, s.changed
		s.mu.Unlock()
		switch {
		case list == nil:
			w.WriteHeader(503)
			return
		case seq > after:
			w.Write(list)
			return
		}
		select {
		case <-changed:
		case <-over:
			w.Write(members(after, false))
			return
		case <-r.Context().Done():
			return
		}
	}
}

const settings = `{"my_number":0,"peers_total":2,"tick":2000,"zone":0,"zones":["z"],"kinds":["k"],
"domain":{"tells_start":true},"guarantees":{"cold":20000000,"cold_from":0.2,"fall":2000000,
"fall_multiple":4.0,"must_ask_in":60000000},"policy_limits":{"cancel":true,"conn_idle":10000000,
"connect_timeout":1000000,"max_postings":6,"max_retry_after":2000000,"parallel_tries":true,"peers":true,
"probes":true,"retry_after":true},"schemes":[
{"name":"look","effect":"retryable","expiry":20000000,"gain":1.0,"sla_time":9000000,"tardy_gain":0.2},
{"name":"buy","effect":"fragile","expiry":20000000,"gain":1.0,"sla_time":9000000,"tardy_gain":0.2}]}`

// newStage makes all but the scheduler.
func newStage(t *testing.T) *stage {
	s := &stage{t: t, tmp: t.TempDir(), calls: make(chan *call, 100), pings: make(chan string, 100), asks: make(chan int, 1000),
		log: &bytes.Buffer{}, exit: make(chan error, 1), pid: make(chan int, 2), changed: make(chan struct{})}
	peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	s.peer = peer
	return s
}

// config is what the scheduler is told; more replaces parts of it.
func (s *stage) config(known []byte, more map[string]any) string {
	c := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f",
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256},
		"discovery": serveHTTP(s.t, s.discovery), "peer_listen": "127.0.0.1:0",
		"peers":     []string{"127.0.0.2:1", s.peer.LocalAddr().String()},
		"peers_all": s.peer.LocalAddr().String(), "known": json.RawMessage(known),
		"settings": json.RawMessage(settings)}
	for k, v := range more {
		c[k] = v
	}
	raw, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

var listening = regexp.MustCompile(`msg=listening name=n0 addr=(\S+)`)

// start runs the program until the test ends.
func (s *stage) start(known []byte, more map[string]any) {
	s.t.Helper()
	s.cmd = program("serve")
	if s.descriptors > 0 {
		s.cmd.Path = "/bin/sh"
		s.cmd.Args = []string{"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s serve", s.descriptors, os.Args[0])}
	}
	if s.path == "" {
		s.path = s.config(known, more)
	}
	s.mu.Lock()
	if s.list == nil && !s.down {
		s.seq, s.list = 1, known
	}
	s.mu.Unlock()
	s.cmd.Env = append(s.cmd.Env, "BALANCER_CONFIG="+s.path, "TMPDIR="+s.tmp)
	out, err := s.cmd.StderrPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if s.traced == nil {
		err = s.cmd.Start()
	} else {
		s.faults, err = sysfault.Start(s.cmd, os.Args[0], s.traced, s.early...)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.pid <- s.cmd.Process.Pid
	addr := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			s.mu.Lock()
			fmt.Fprintln(s.log, lines.Text())
			s.mu.Unlock()
			if m := listening.FindStringSubmatch(lines.Text()); m != nil {
				addr <- m[1]
			}
		}
		s.exit <- s.cmd.Wait()
	}()
	s.t.Cleanup(func() {
		s.cmd.Process.Kill()
		s.mu.Lock()
		defer s.mu.Unlock()
		if text := s.log.String(); strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			s.t.Error("the program has a fault")
		}
		if s.t.Failed() {
			s.t.Logf("log:\n%s", s.log)
		}
	})
	s.addr = within(s.t, addr, "the program's address")
}

// logs waits for a line of the program's log that holds this, n times.
func (s *stage) logs(text string, n int) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		got := strings.Count(s.log.String(), text)
		s.mu.Unlock()
		if got == n {
			return
		}
		if got > n || time.Now().After(end) {
			s.t.Fatalf("%d log lines have %q, want %d", got, text, n)
		}
	}
}

// logged waits for a line of the program's log that holds this.
func (s *stage) logged(text string) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		got := strings.Contains(s.log.String(), text)
		s.mu.Unlock()
		if got {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("no log line has %q", text)
		}
	}
}

// reload has the program read a file of these bytes, or none, as its configuration.
func (s *stage) reload(raw []byte) {
	s.t.Helper()
	err := os.Remove(s.path)
	if raw != nil {
		err = os.WriteFile(s.path, raw, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.cmd.Process.Signal(syscall.SIGHUP)
}

func (s *stage) stop() { s.cmd.Process.Signal(syscall.SIGTERM) }

// ended waits for the program's end, which must be a clean one.
func (s *stage) ended() {
	s.t.Helper()
	if err := within(s.t, s.exit, "the program's end"); err != nil {
		s.t.Errorf("it ended with %v", err)
	}
}

func within[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatalf("%s did not come", what)
	}
	return v
}

// answer is what a client gets.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// ask sends one request of a scheme on a connection of its own and returns where the answer will come.
func (s *stage) ask(target, id string, header ...string) chan answer {
	c := make(chan answer, 1)
	go func() {
		r, err := http.NewRequest("POST", "http://"+s.addr+target, strings.NewReader("body of "+id))
		if err != nil {
			c <- answer{err: err}
			return
		}
		r.Close = true
		r.Header.Set("Request-Id", id)
		r.Header.Set("Request-Timeout", "20000m")
		r.Header.Set("Work-Hint", "1000000")
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			c <- answer{err: err}
			return
		}
		defer w.Body.Close()
		body, err := io.ReadAll(w.Body)
		c <- answer{w.StatusCode, string(body), w.Header, err}
	}()
	return c
}

func (s *stage) call() *call { s.t.Helper(); return within(s.t, s.calls, "a posting") }

// gets checks a client's answer.
func (s *stage) gets(c chan answer, status int, body string) answer {
	s.t.Helper()
	a := within(s.t, c, "an answer")
	if a.err != nil || a.status != status || body != "" && a.body != body {
		s.t.Errorf("got %d %q %v, want %d %q", a.status, a.body, a.err, status, body)
	}
	return a
}

// serves checks that a txn still goes through.
func (s *stage) serves() {
	s.t.Helper()
	s.settles(s.ask("/look", fmt.Sprint("check", time.Now().UnixNano())), "fine")
}

// settles has each posting settled that comes until a client has its answer, and checks that answer. A posting
// that begins late, as on a busy machine, is called off and made again elsewhere: a test that settles only the
// first one that it sees may settle the one called off, and wait in vain. It returns where they went.
func (s *stage) settles(c chan answer, result string) (to []string) {
	s.t.Helper()
	for late := time.After(patience); ; {
		select {
		case p := <-s.calls:
			p.settle(result)
			to = append(to, p.to)
		case a := <-c:
			c <- a
			s.gets(c, 200, result)
			return to
		case <-late:
			s.t.Fatal("an answer did not come")
		}
	}
}

// dial opens a connection that stays, and sends this on it.
func (s *stage) dial(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, text)
	return conn
}

// healthy waits until a connection is taken and the scheduler says that it serves.
func (s *stage) healthy() {
	s.t.Helper()
	for end := time.Now().Add(patience); ; {
		w, err := http.Get("http://" + s.addr + "/_health")
		if err == nil && w.Body.Close() == nil && w.StatusCode == 200 {
			return
		}
		if time.Now().After(end) {
			s.t.Fatal("it serves no more")
		}
	}
}

// raw sends bytes on a new connection and returns all that comes back until that is closed.
func (s *stage) raw(pieces ...string) string {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	for _, p := range pieces {
		if _, err := io.WriteString(conn, p); err != nil {
			break
		}
	}
	all, err := io.ReadAll(conn)
	if err != nil {
		s.t.Errorf("after %.60q: %v", all, err)
	}
	return string(all)
}
