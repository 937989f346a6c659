package live

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"shalebeam/lab/script"
)

// This file is for schedulers whose processes agents start and stop. The lab finds these processes, sends clients to a
// scheduler while its health check succeeds, and tells the auditor when its incarnations begin and end. A process that takes
// over from another one continues its incarnation.

const (
	processScanInterval = 20 * time.Millisecond
	healthPollInterval  = 30 * time.Millisecond
	healthTimeout       = 250 * time.Millisecond
)

// ManagedScheduler is what an agent needs to know of a scheduler in order to run its processes.
type ManagedScheduler struct {
	ID, Zone                    string
	ManagementAddr, UpgradeAddr string // management addresses: of its process, and of a process that takes over from it
	Config                      string // path of its configuration
	Dir                         string // value of $TMPDIR for its processes
}

// ManagedSchedulers lists the schedulers for the agents that run them.
func (f *Fleet) ManagedSchedulers() (all []ManagedScheduler) {
	for _, s := range f.exp.schedulers {
		all = append(all, ManagedScheduler{s.id(), f.exp.plan.Schedulers.Zones[s.zone], s.managementAddr, s.takeoverAddr, s.configPath, f.exp.dir})
	}
	return all
}

// watchProcesses finds the processes of all schedulers in /proc, by the mark in their environment, until the run is over.
func (exp *experiment) watchProcesses() {
	for _, s := range exp.schedulers {
		go s.pollHealth()
	}
	type processRecord struct {
		scheduler string // its ID, "" where it is no process of this run
		checks    int    // how often its environment was read
	}
	known := map[int]processRecord{}
	for exp.ctx.Err() == nil {
		time.Sleep(processScanInterval)
		dirs, err := os.ReadDir("/proc")
		if err != nil {
			continue
		}
		pids, current := map[string][]int{}, map[int]processRecord{}
		for _, d := range dirs {
			pid, err := strconv.Atoi(d.Name())
			if err != nil {
				continue
			}
			record := known[pid]
			// Several times, because between fork and exec a process has its parent's environment.
			if record.scheduler == "" && record.checks < 5 {
				record.checks++
				raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
				if at := strings.Index(string(raw), exp.options.ProcessMark); at >= 0 {
					fields, _, _ := strings.Cut(string(raw[at+len(exp.options.ProcessMark):]), "\x00")
					if field := strings.Split(fields, "|"); len(field) == 4 {
						record.scheduler = field[1]
					}
				}
			}
			if record.scheduler != "" {
				raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
				if err != nil || strings.Contains(string(raw), ") Z ") {
					continue
				}
				pids[record.scheduler] = append(pids[record.scheduler], pid)
			}
			current[pid] = record
		}
		known = current
		for _, s := range exp.schedulers {
			s.setProcesses(pids[s.id()])
		}
	}
}

// setProcesses updates the present processes of a scheduler and records the beginning or end of an incarnation.
func (s *scheduler) setProcesses(pids []int) {
	s.mu.Lock()
	was := len(s.pids)
	if s.pids = pids; len(pids) > 0 {
		s.lastPids = pids
	}
	killed := s.killed || len(pids) == 0 && was > 0 && !s.wasToldToStop()
	switch {
	case was == 0 && len(pids) > 0:
		s.incarnation.Add(1)
		s.killed = false
	case was > 0 && len(pids) == 0:
		name := s.processName()
		s.mu.Unlock()
		s.exp.processEnded(s, name, killed, nil)
		return
	}
	s.mu.Unlock()
}

// wasToldToStop tells whether agents have told all of the last processes of a scheduler to stop. s.mu is held.
func (s *scheduler) wasToldToStop() bool {
	return len(s.lastPids) > 0 && !slices.ContainsFunc(s.lastPids, func(pid int) bool { return !s.exp.options.WasToldToStop(pid) })
}

// logPath returns the path of the scheduler's log, "" where an agent has not created it yet.
func (s *scheduler) logPath() string {
	if s.exp.options.ProcessMark == "" {
		return filepath.Join(s.exp.dir, s.id()+".log")
	}
	all, _ := filepath.Glob(filepath.Join(s.exp.options.AgentLogDir, "*", s.id()+".log"))
	if len(all) == 0 {
		return ""
	}
	return all[0]
}

// pollHealth checks a scheduler's health at regular intervals as a front does, keeps the results, and lists the scheduler at
// the front or, after the front's lag, no longer.
func (s *scheduler) pollHealth() {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for s.exp.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(s.exp.ctx, healthTimeout)
		request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.clientAddr+"/_health", nil)
		healthy := false
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			healthy = response.StatusCode == 200
		}
		stop()
		s.mu.Lock()
		if s.healthy, s.recentHealth = healthy, append(s.recentHealth[max(0, len(s.recentHealth)-1):], healthy); healthy {
			s.listedByFront, s.failedByFault = true, false
		}
		s.mu.Unlock()
		if !healthy {
			s.exp.afterMs(float64(s.exp.plan.Clients.FrontLag), func() {
				s.mu.Lock()
				s.listedByFront = s.healthy
				s.mu.Unlock()
			})
		}
		time.Sleep(healthPollInterval)
	}
}

// SchedulerState is the state of a scheduler as the lab's own health checks show it.
type SchedulerState struct {
	ID, Zone      string
	NotServing    bool // it does not serve
	FailedByFault bool // if it is out, a fault is the reason and not an operator
}

// SchedulerStates returns the state of all schedulers. A scheduler counts as out after two failed health checks in a row,
// because a single check may meet a process from which another one is taking over.
func (f *Fleet) SchedulerStates() (all []SchedulerState) {
	for _, s := range f.exp.schedulers {
		s.mu.Lock()
		out := len(s.recentHealth) == 2 && !slices.Contains(s.recentHealth, true)
		failed := s.failedByFault || s.killed
		if out && !failed && !s.stoppedByOperator {
			s.stoppedByOperator = s.wasToldToStop() // otherwise it ended by itself or is paused
		}
		// A stop by an operator lasts until the scheduler serves again, not until another process starts.
		if s.stoppedByOperator = s.stoppedByOperator && out; !s.stoppedByOperator {
			failed = true
		}
		s.mu.Unlock()
		all = append(all, SchedulerState{s.id(), f.exp.plan.Schedulers.Zones[s.zone], out, failed})
	}
	return all
}

// Pids lists the process IDs of each scheduler, in ascending order.
func (f *Fleet) Pids() map[string][]int {
	all := map[string][]int{}
	for _, s := range f.exp.schedulers {
		s.mu.Lock()
		all[s.id()] = slices.Sorted(slices.Values(s.pids))
		s.mu.Unlock()
	}
	return all
}

// SetFailedShare makes a share of all workers' answers fail, from 0 to 1, from now on.
func (f *Fleet) SetFailedShare(share float64) {
	for _, wk := range f.exp.workers {
		wk.applyFault(script.Action{Fault: "erring", Begin: share > 0, Factor: share})
	}
}

// RestartWorker ends a worker's process and starts it again, cold, after the given down time, as the site's own restart
// command does.
func (f *Fleet) RestartWorker(id string, downTime time.Duration) {
	for _, wk := range f.exp.workers {
		if wk.Name == id {
			wk.applyFault(script.Action{Fault: "kill", Begin: true})
			time.Sleep(downTime)
			wk.applyFault(script.Action{Fault: "kill"})
		}
	}
}

// signalProcesses sends a signal to all processes of a scheduler that agents run, and tells whether there were any.
func (s *scheduler) signalProcesses(sig syscall.Signal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pid := range s.pids {
		_ = syscall.Kill(pid, sig)
	}
	if len(s.pids) > 0 && (sig == syscall.SIGKILL || sig == syscall.SIGSTOP) {
		s.failedByFault = true
		s.killed = s.killed || sig == syscall.SIGKILL
	}
	return len(s.pids) > 0
}
