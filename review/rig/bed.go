// Command rig plays the cases of the second review: it starts the program with the command of the deploy file, between
// stand-ins for discovery, workers, clients and the platform, and judges one rule by what these saw.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is one run of a case.
type bed struct {
	root    string // of the repository
	run     string // the command that the deploy file names
	dir     string // temporary folder of this run
	trouble bool   // play the disruption
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// process is a scheduler that the bed started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// deployRun reads the value of run in the deploy file.
var deployRun = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`)

func newBed(root, recordPath string) (*bed, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := deployRun.FindSubmatch(raw)
	if m == nil {
		return nil, fmt.Errorf("the deploy file has no run command")
	}
	b := &bed{root: root, run: string(m[1]), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if b.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	b.record, err = os.Create(recordPath)
	return b, err
}

// ms is the time since the start of the run, in milliseconds.
func (b *bed) ms(t time.Time) float64 { return float64(t.Sub(b.began).Microseconds()) / 1000 }

// logf writes a line to the record, with the present time.
func (b *bed) logf(format string, args ...any) { b.logAt(time.Now(), format, args...) }

func (b *bed) logAt(at time.Time, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%10.1f ms  %s\n", b.ms(at), fmt.Sprintf(format, args...))
}

// close ends all processes that the bed started.
func (b *bed) close() {
	b.mu.Lock()
	procs := append([]*process(nil), b.procs...)
	b.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	_ = os.RemoveAll(b.dir)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Close()
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// object is a JSON object.
type object map[string]any

// writeConfig writes a configuration, whole, and returns its path.
func (b *bed) writeConfig(name string, config object) string {
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(b.dir, name+".json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		panic(err)
	}
	return path
}

// start starts a scheduler as the platform does. tmp is the name of its folder for temporary files.
func (b *bed) start(name, configPath, mgmt, tmp string) (*process, error) {
	tmpDir := filepath.Join(b.dir, tmp)
	if err := os.MkdirAll(tmpDir, 0o700); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s-%d.log", name, len(b.procs))))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", b.run)
	cmd.Dir = b.root
	cmd.Stdout, cmd.Stderr = logFile, logFile
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "BALANCER_") && !strings.HasPrefix(v, "TMPDIR=") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(cmd.Env, "BALANCER_NAME="+name, "BALANCER_CONFIG="+configPath, "TMPDIR="+tmpDir)
	if mgmt != "" {
		cmd.Env = append(cmd.Env, "BALANCER_MGMT="+mgmt)
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd, make(chan struct{})}
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	b.logf("platform: started %s, process %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		b.logf("platform: %s, process %d, ended: %v", name, cmd.Process.Pid, err)
		close(p.exited)
	}()
	return p, nil
}

// logs returns what all processes logged.
func (b *bed) logs() string {
	var all strings.Builder
	paths, _ := filepath.Glob(filepath.Join(b.dir, "*.log"))
	for _, path := range paths {
		raw, _ := os.ReadFile(path)
		fmt.Fprintf(&all, "---- log %s\n%s", filepath.Base(path), raw)
	}
	return all.String()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// waitYes waits until a GET of this URL is answered with 200.
func waitYes(url string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("no yes from %s within %v", url, limit)
}
