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

// agentProcess is an agent and, while it runs, its process.
type agentProcess struct {
	d        *day
	index    int          // in day.agents
	file     agent.Config // its configuration, written at each start
	mu       sync.Mutex   // guards the fields below
	cmd      *exec.Cmd    // nil while no process runs
	exited   chan struct{}
	killed   bool        // by the lab, so that its exit is expected
	pauses   []interval  // when it was stopped with SIGSTOP
	endTimes []time.Time // when each of its processes exited
	exitErr  error       // of the last process that exited
}

// interval is a span of wall-clock time.
type interval struct{ from, to time.Time }

// path returns the path of one of the agent's files: ".toml", ".log" or ".faults".
func (p *agentProcess) path(suffix string) string { return filepath.Join(p.d.dir, p.file.Name+suffix) }

// writeConfig writes the agent's configuration file.
func (p *agentProcess) writeConfig() error {
	raw, err := toml.Marshal(p.file)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path(".toml"), raw, 0o600)
}

// setFaults has the process's disk and clock fail from now on as faults says, in the fields of quorum.Faults; an empty map ends
// all faults. The process reads the file at each use, so the file is replaced atomically.
func (p *agentProcess) setFaults(faults map[string]any) {
	raw, _ := json.Marshal(faults)
	tmp := p.path(".faults.new")
	if os.WriteFile(tmp, raw, 0o600) == nil {
		_ = os.Rename(tmp, p.path(".faults"))
	}
}

// start starts the agent, unless it runs already or the day is over.
func (p *agentProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.d.ctx.Err() != nil {
		return nil
	}
	if err := p.writeConfig(); err != nil {
		return err
	}
	cmd := exec.Command(p.d.opt.AgentProgram, "serve", "--config", p.path(".toml"))
	// The agent is killed when the lab's process ends, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "SHALEBEAM_FAULTS="+p.path(".faults"), "SHALEBEAM_BUG="+p.d.opt.PlantedBug,
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
	exited := make(chan struct{})
	p.cmd, p.exited, p.killed = cmd, exited, false
	go func() {
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.cmd, p.exitErr = nil, err
		p.endTimes = append(p.endTimes, time.Now())
		unexpected := !p.killed && p.d.ctx.Err() == nil
		p.mu.Unlock()
		close(exited)
		if unexpected {
			p.d.agentExited(p)
		}
	}()
	return nil
}

// signal sends a signal and returns whether a process got it.
func (p *agentProcess) signal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.killed = p.killed || s == syscall.SIGKILL
	return p.cmd.Process.Signal(s) == nil
}

// kill kills the process with SIGKILL and waits until it has exited.
func (p *agentProcess) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if p.signal(syscall.SIGKILL) {
		<-exited
	}
}

// pause stops the process with SIGSTOP and has it continue after duration; it returns at once.
func (p *agentProcess) pause(duration time.Duration) {
	if !p.signal(syscall.SIGSTOP) {
		return
	}
	p.mu.Lock()
	p.pauses = append(p.pauses, interval{time.Now(), time.Now().Add(duration)})
	p.mu.Unlock()
	time.AfterFunc(duration, func() { p.signal(syscall.SIGCONT) })
}

// wasPaused reports whether the process was paused at any time in the span of length before that ends at at.
func (p *agentProcess) wasPaused(at time.Time, before time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.pauses {
		if s.from.Before(at) && s.to.After(at.Add(-before)) {
			return true
		}
	}
	return false
}

// tail returns the last n lines of the agent's log.
func (p *agentProcess) tail(n int) string {
	raw, _ := os.ReadFile(p.path(".log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// readLog returns the replicated log from a voter's disk, nil if there is none.
func (p *agentProcess) readLog() []byte {
	raw, _ := os.ReadFile(filepath.Join(p.file.Data, "log"))
	return raw
}

// writeLog replaces the replicated log on a voter's disk.
func (p *agentProcess) writeLog(raw []byte) error {
	return os.WriteFile(filepath.Join(p.file.Data, "log"), raw, 0o600)
}

// corruptLog rewrites a voter's replicated log with change while its process is down, as a faulty disk may.
func (p *agentProcess) corruptLog(change func(raw []byte) []byte) error {
	raw := p.readLog()
	if len(raw) == 0 {
		return fmt.Errorf("log on the disk of %s is missing or empty", p.file.Name)
	}
	return p.writeLog(change(raw))
}
