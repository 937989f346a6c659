package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"shalebeam/agent"
)

// proc is one agent's process.
type proc struct {
	d      *day
	no     int
	file   agent.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed bool
	stills []span // when it was made to stand still
	ends   []time.Time
	last   error
}

type span struct{ from, to time.Time }

func (p *proc) path(what string) string { return filepath.Join(p.d.dir, p.file.Name+what) }

func (p *proc) write() error {
	raw, err := toml.Marshal(p.file)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path(".toml"), raw, 0o600)
}

// faults has the process's disk and clock fail as f says, from now on.
func (p *proc) faults(f map[string]any) {
	raw, _ := json.Marshal(f)
	tmp := p.path(".faults.new")
	if os.WriteFile(tmp, raw, 0o600) == nil {
		_ = os.Rename(tmp, p.path(".faults"))
	}
}

func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.d.ctx.Err() != nil {
		return nil
	}
	if err := p.write(); err != nil {
		return err
	}
	cmd := exec.Command(p.d.opt.Agent, "serve", "--config", p.path(".toml"))
	// It ends with the test, whatever happens to that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "SHALEBEAM_FAULTS="+p.path(".faults"), "SHALEBEAM_BUG="+p.d.opt.Bug,
		fmt.Sprint("SHALEBEAM_LEASH=", os.Getpid()))
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.killed = cmd, ended, false
	go func() {
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.cmd, p.last = nil, err
		p.ends = append(p.ends, time.Now())
		fell := !p.killed && p.d.ctx.Err() == nil
		p.mu.Unlock()
		close(ended)
		if fell {
			p.d.fell(p)
		}
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.killed = p.killed || s == syscall.SIGKILL
	return p.cmd.Process.Signal(s) == nil
}

// kill ends the process by force, and waits until it is gone.
func (p *proc) kill() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL) {
		<-ended
	}
}

func (p *proc) still(f time.Duration) {
	if !p.signal(syscall.SIGSTOP) {
		return
	}
	p.mu.Lock()
	p.stills = append(p.stills, span{time.Now(), time.Now().Add(f)})
	p.mu.Unlock()
	time.AfterFunc(f, func() { p.signal(syscall.SIGCONT) })
}

// wasStill tells whether the process stood still in the time before at.
func (p *proc) wasStill(at time.Time, before time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stills {
		if s.from.Before(at) && s.to.After(at.Add(-before)) {
			return true
		}
	}
	return false
}

// tail is the end of the process's log.
func (p *proc) tail(n int) string {
	raw, _ := os.ReadFile(p.path(".log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// copyLog keeps the present log of a voter's disk, to be put back later as an older one.
func (p *proc) copyLog() []byte {
	raw, _ := os.ReadFile(filepath.Join(p.file.Data, "log"))
	return raw
}

func (p *proc) putLog(raw []byte) error {
	return os.WriteFile(filepath.Join(p.file.Data, "log"), raw, 0o600)
}

// spoil changes a voter's log while its process is gone, as a disk does.
func (p *proc) spoil(f func(raw []byte) []byte) error {
	raw := p.copyLog()
	if len(raw) == 0 {
		return fmt.Errorf("no log of %s", p.file.Name)
	}
	return p.putLog(f(raw))
}
