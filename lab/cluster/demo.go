package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"shalebeam/agent"
	"shalebeam/fleet"
)

// Fault is a fault that a demonstration injects at a given time.
type Fault struct {
	Action   string        // kill, stop (with SIGSTOP), cut (reset all links) or stall (all links)
	Target   string        // an agent, such as a0, or a scheduler, such as s1
	Start    time.Duration // from the start of the demonstration
	Duration time.Duration
}

// ParseFault parses a fault such as "kill a0 at=5s for=3s". It starts at once and lasts 5 s where at= and for= are missing.
func ParseFault(text string) (f Fault, err error) {
	words := strings.Fields(text)
	if len(words) < 2 {
		return f, fmt.Errorf("%q: expected an action and a target, such as kill a0", text)
	}
	f = Fault{Action: words[0], Target: words[1], Duration: 5 * time.Second}
	if !slices.Contains([]string{"kill", "stop", "cut", "stall"}, f.Action) {
		return f, fmt.Errorf("action is %q, expected kill, stop, cut or stall", f.Action)
	}
	if n, err := strconv.Atoi(f.Target[1:]); err != nil || n < 0 || f.Target[0] != 'a' && f.Target[0] != 's' || f.Target[0] == 's' && f.Action != "kill" && f.Action != "stop" {
		return f, fmt.Errorf("target is %q, expected an agent such as a0 or, for kill and stop, a scheduler such as s0", f.Target)
	}
	for _, w := range words[2:] {
		key, value, _ := strings.Cut(w, "=")
		duration, err := time.ParseDuration(value)
		switch {
		case err != nil:
			return f, fmt.Errorf("%q: %w", w, err)
		case key == "at":
			f.Start = duration
		case key == "for":
			f.Duration = duration
		default:
			return f, fmt.Errorf("option is %q, expected at= or for= with a duration", w)
		}
	}
	return f, nil
}

// DemoTargets returns what a demonstration's example commands name: the addresses of all agents, a worker and its zone.
func (d *Day) DemoTargets() (addrs []string, worker, zone string) {
	all := d.live.Workers()
	worker = slices.Sorted(maps.Keys(all))[0]
	return d.agentAddrs(nil), worker, all[worker]
}

// ScheduleFaults schedules faults at their times and returns at once.
func (d *Day) ScheduleFaults(faults []Fault) {
	for _, f := range faults {
		time.AfterFunc(f.Start, func() { d.playFault(f) })
	}
}

// playFault injects one fault and ends it after its duration.
func (d *Day) playFault(f Fault) {
	index, _ := strconv.Atoi(f.Target[1:])
	d.logEvent("%s %s for %v", f.Action, f.Target, f.Duration)
	switch {
	case f.Target[0] == 's' && index < d.opt.Schedulers && f.Action == "kill":
		d.live.Kill(index, f.Duration)
	case f.Target[0] == 's' && index < d.opt.Schedulers:
		d.live.Pause(index, f.Duration)
	case f.Target[0] == 's' || index >= len(d.agents):
		d.logEvent("%s does not exist", f.Target)
	case f.Action == "kill":
		d.Kill(index)
		d.sleep(f.Duration)
		d.Start(index)
	case f.Action == "stop":
		d.Pause(index, f.Duration)
	default:
		mode := LinkReset
		if f.Action == "stall" {
			mode = LinkStalled
		}
		d.SetLinks(index, mode, mode)
		d.sleep(f.Duration)
		d.SetLinks(index, LinkUp, LinkUp)
	}
}

// Kill kills an agent's process and waits until it has exited.
func (d *Day) Kill(index int) { d.agents[index].kill() }

// Start starts an agent that is down.
func (d *Day) Start(index int) { _ = d.agents[index].start() }

// Pause stops an agent with SIGSTOP and has it continue after duration; it returns at once.
func (d *Day) Pause(index int, duration time.Duration) { d.agents[index].pause(duration) }

// SetLinks sets the modes of all links between an agent and other processes: there for what the agent sends, back for what it
// receives.
func (d *Day) SetLinks(index int, there, back LinkMode) {
	name := fmt.Sprint("a", index)
	for link, r := range d.links {
		if strings.HasPrefix(link, name+">") {
			r.setMode(there, back)
		} else if strings.HasSuffix(link, ">"+name) {
			r.setMode(back, there)
		}
	}
}

// SetLink sets the modes of one link.
func (d *Day) SetLink(from, to string, there, back LinkMode) {
	d.links[from+">"+to].setMode(there, back)
}

// MeasureOwnerGaps measures how long zone a has no acting owner after its owner fails: how is "kill", "stop" (SIGSTOP) or
// "cut" (all links reset). It returns the times in ms, sorted.
func (d *Day) MeasureOwnerGaps(how string, times int) (gapsMs []float64) {
	for range times {
		owner, fence := d.Owner("a")
		for ; owner < 0; owner, fence = d.Owner("a") {
			time.Sleep(50 * time.Millisecond)
		}
		began := time.Now()
		switch how {
		case "kill":
			d.Kill(owner)
		case "stop":
			d.stopAgent(owner)
		case "cut":
			d.SetLinks(owner, LinkReset, LinkReset)
		}
		d.WaitUntil("another owner", func() bool {
			index, higher := d.Owner("a")
			return index >= 0 && higher > fence && (how == "kill" || index != owner)
		})
		gapsMs = append(gapsMs, float64(time.Since(began))/1e6)
		switch how {
		case "kill":
			d.Start(owner)
		case "stop":
			d.agents[owner].signal(syscall.SIGCONT)
		case "cut":
			d.SetLinks(owner, LinkUp, LinkUp)
		}
		// All agents must be back before the next failure: three voters tolerate one.
		d.WaitUntil("all agents answer", func() bool {
			for i := range d.agents {
				var s agent.Status
				if (&agent.Caller{HTTP: d.http, Addrs: d.AddrOf(i)}).Get(d.ctx, "/v1/status", &s) != nil || s.Voter != 0 && !s.Participating {
					return false
				}
			}
			return true
		})
	}
	slices.Sort(gapsMs)
	return gapsMs
}

// stopAgent stops an agent with SIGSTOP.
func (d *Day) stopAgent(index int) { d.agents[index].signal(syscall.SIGSTOP) }

// MeasureChangeRate measures throughput for duration: changes per second that the record applies with that many concurrent
// callers, and disk syncs per second and voter.
func (d *Day) MeasureChangeRate(callers int, duration time.Duration) (changesPerSecond, syncsPerSecond float64) {
	count := func() (n int) {
		for i := range d.agents {
			var s agent.Status
			if (&agent.Caller{HTTP: d.http, Addrs: d.AddrOf(i)}).Get(d.ctx, "/v1/status", &s) == nil {
				n += s.Syncs
			}
		}
		return n
	}
	before, end := count(), time.Now().Add(duration)
	var all sync.WaitGroup
	done := make([]int, callers)
	for i := range callers {
		all.Go(func() {
			h := agent.NewHTTP(nil, 2*time.Second)
			for n := uint64(1); time.Now().Before(end); n++ {
				c := fleet.Command{FormatVersion: 1, Caller: fmt.Sprint("m", callers, "/", i), Number: n, Verb: []string{"out", "in"}[n%2],
					ID: fmt.Sprint("m", i), Zone: "a", By: "m"}
				if a, err := (&agent.Caller{HTTP: h, Addrs: d.agentAddrs(nil)}).Do(d.ctx, c); err == nil && a.No > 0 {
					done[i]++
				}
			}
		})
	}
	all.Wait()
	n := 0
	for _, k := range done {
		n += k
	}
	return float64(n) / duration.Seconds(), float64(count()-before) / duration.Seconds() / float64(d.opt.Voters)
}
