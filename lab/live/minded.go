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

// Schedulers whose processes somebody else starts and ends, as agents do: the lab watches them, deals them clients while they
// say that they serve, and tells the auditor when a life of theirs begins and ends. A process that takes over from another
// goes on with its life.

const (
	scanEach   = 20 * time.Millisecond
	healthEach = 30 * time.Millisecond
	healthMost = 250 * time.Millisecond
)

// Minded is a scheduler that others run.
type Minded struct {
	ID, Zone     string
	Mgmt, Beside string // its second address, and the one of the process that takes over
	Config       string
	Dir          string // for its processes' $TMPDIR
}

// Minders lists the schedulers as those who run them need to know them.
func (f *Fleet) Minders() (all []Minded) {
	for _, n := range f.w.nodes {
		all = append(all, Minded{n.name(), f.w.p.Schedulers.Zones[n.zone], n.mgmt, n.beside, n.path, f.w.dir})
	}
	return all
}

// mind watches all processes until the run is over.
func (w *world) mind() {
	for _, n := range w.nodes {
		go n.look()
	}
	type seen struct {
		of    string // the scheduler, "" for none of ours
		looks int
	}
	known := map[int]seen{}
	for w.ctx.Err() == nil {
		time.Sleep(scanEach)
		dirs, err := os.ReadDir("/proc")
		if err != nil {
			continue
		}
		here, now := map[string][]int{}, map[int]seen{}
		for _, d := range dirs {
			pid, err := strconv.Atoi(d.Name())
			if err != nil {
				continue
			}
			x := known[pid]
			if x.of == "" && x.looks < 5 { // between fork and exec it has its parent's environment
				x.looks++
				raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
				if at := strings.Index(string(raw), w.opt.Mark); at >= 0 {
					what, _, _ := strings.Cut(string(raw[at+len(w.opt.Mark):]), "\x00")
					if part := strings.Split(what, "|"); len(part) == 4 {
						x.of = part[1]
					}
				}
			}
			if x.of != "" {
				raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
				if err != nil || strings.Contains(string(raw), ") Z ") {
					continue
				}
				here[x.of] = append(here[x.of], pid)
			}
			now[pid] = x
		}
		known = now
		for _, n := range w.nodes {
			n.processes(here[n.name()])
		}
	}
}

// processes takes which there are of a scheduler now.
func (n *node) processes(pids []int) {
	n.mu.Lock()
	was := len(n.pids)
	if n.pids = pids; len(pids) > 0 {
		n.last = pids
	}
	killed := n.killed || len(pids) == 0 && was > 0 && !n.drained()
	switch {
	case was == 0 && len(pids) > 0:
		n.lives.Add(1)
		n.killed = false
	case was > 0 && len(pids) == 0:
		name := n.process()
		n.mu.Unlock()
		n.w.died(n, name, killed, nil)
		return
	}
	n.mu.Unlock()
}

// drained tells whether the last processes of a scheduler were told to stop.
func (n *node) drained() bool {
	return len(n.last) > 0 && !slices.ContainsFunc(n.last, func(pid int) bool { return !n.w.opt.Told(pid) })
}

func (n *node) log() string {
	if n.w.opt.Mark == "" {
		return filepath.Join(n.w.dir, n.name()+".log")
	}
	all, _ := filepath.Glob(filepath.Join(n.w.opt.Logs, "*", n.name()+".log"))
	if len(all) == 0 {
		return ""
	}
	return all[0]
}

// look asks a scheduler after its health as a front does, and keeps whether it served.
func (n *node) look() {
	client := &http.Client{Timeout: healthMost, Transport: &http.Transport{DisableKeepAlives: true}}
	for n.w.ctx.Err() == nil {
		ctx, stop := context.WithTimeout(n.w.ctx, healthMost)
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+n.addr+"/_health", nil)
		serves := false
		if r, err := client.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			serves = r.StatusCode == 200
		}
		stop()
		n.mu.Lock()
		if n.serves, n.looks = serves, append(n.looks[max(0, len(n.looks)-1):], serves); serves {
			n.listed, n.fell = true, false
		}
		n.mu.Unlock()
		if !serves {
			n.w.later(float64(n.w.p.Clients.FrontLag), func() {
				n.mu.Lock()
				n.listed = n.serves
				n.mu.Unlock()
			})
		}
		time.Sleep(healthEach)
	}
}

// Standing is how a scheduler stands by the lab's own look.
type Standing struct {
	ID, Zone string
	Out      bool // it does not serve
	Fell     bool // through a fault, not by will
}

// Truth is how all schedulers stand now: by two looks in a row, as one may meet a process that is just taken over from.
func (f *Fleet) Truth() (all []Standing) {
	for _, n := range f.w.nodes {
		n.mu.Lock()
		out := len(n.looks) == 2 && !slices.Contains(n.looks, true)
		fell := n.fell || n.killed
		if out && !fell && !n.will {
			n.will = n.drained() // else it ended by itself, or stands still
		}
		if n.will = n.will && out; !n.will { // by will it is out until it serves again, not until another process starts
			fell = true
		}
		n.mu.Unlock()
		all = append(all, Standing{n.name(), f.w.p.Schedulers.Zones[n.zone], out, fell})
	}
	return all
}

// Pids lists the processes of each scheduler.
func (f *Fleet) Pids() map[string][]int {
	all := map[string][]int{}
	for _, n := range f.w.nodes {
		n.mu.Lock()
		all[n.name()] = slices.Sorted(slices.Values(n.pids))
		n.mu.Unlock()
	}
	return all
}

// Bad has so large a part of all workers' answers fail, from now on.
func (f *Fleet) Bad(part float64) {
	for _, b := range f.w.boxes {
		b.act(script.Act{Do: "erring", Begin: part > 0, Factor: part})
	}
}

// Renew ends a worker and starts it anew, cold, as the site's own command does.
func (f *Fleet) Renew(id string, gone time.Duration) {
	for _, b := range f.w.boxes {
		if b.Name == id {
			b.act(script.Act{Do: "kill", Begin: true})
			time.Sleep(gone)
			b.act(script.Act{Do: "kill"})
		}
	}
}

// signalAll sends a signal to all processes of a scheduler that others run.
func (n *node) signalAll(s syscall.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pid := range n.pids {
		_ = syscall.Kill(pid, s)
	}
	if len(n.pids) > 0 && (s == syscall.SIGKILL || s == syscall.SIGSTOP) {
		n.fell = true
		n.killed = n.killed || s == syscall.SIGKILL
	}
	return len(n.pids) > 0
}
