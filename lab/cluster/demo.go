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

// Fault is one of a demonstration's script.
type Fault struct {
	Do      string // kill, stop, cut, stall
	On      string // a0, s1
	At, For time.Duration
}

// ParseFault reads a fault, as "kill a0 at=5s for=3s".
func ParseFault(text string) (f Fault, err error) {
	words := strings.Fields(text)
	if len(words) < 2 {
		return f, fmt.Errorf("%q: it says what to do and to whom", text)
	}
	f = Fault{Do: words[0], On: words[1], For: 5 * time.Second}
	if !slices.Contains([]string{"kill", "stop", "cut", "stall"}, f.Do) {
		return f, fmt.Errorf("%q is not kill, stop, cut or stall", f.Do)
	}
	if n, err := strconv.Atoi(f.On[1:]); err != nil || n < 0 || f.On[0] != 'a' && f.On[0] != 's' || f.On[0] == 's' && f.Do != "kill" && f.Do != "stop" {
		return f, fmt.Errorf("%q is no agent (a0) or, to kill or stop, scheduler (s0)", f.On)
	}
	for _, w := range words[2:] {
		key, value, _ := strings.Cut(w, "=")
		span, err := time.ParseDuration(value)
		switch {
		case err != nil:
			return f, fmt.Errorf("%q: %w", w, err)
		case key == "at":
			f.At = span
		case key == "for":
			f.For = span
		default:
			return f, fmt.Errorf("%q is not at= or for=", w)
		}
	}
	return f, nil
}

// Try is what a first user tries: the agents, a worker and its zone.
func (d *Day) Try() (addrs []string, worker, zone string) {
	all := d.live.Workers()
	worker = slices.Sorted(maps.Keys(all))[0]
	return d.addrs(nil), worker, all[worker]
}

// Script plays faults at their times, beside all else.
func (d *Day) Script(faults []Fault) {
	for _, f := range faults {
		time.AfterFunc(f.At, func() { d.play1(f) })
	}
}

func (d *Day) play1(f Fault) {
	no, _ := strconv.Atoi(f.On[1:])
	d.say("%s %s for %v", f.Do, f.On, f.For)
	switch {
	case f.On[0] == 's' && no < d.opt.Schedulers && f.Do == "kill":
		d.live.Kill(no, f.For)
	case f.On[0] == 's' && no < d.opt.Schedulers:
		d.live.Stop(no, f.For)
	case f.On[0] == 's' || no >= len(d.agents):
		d.say("there is no %s", f.On)
	case f.Do == "kill":
		d.Kill(no)
		d.rest(f.For)
		d.Start(no)
	case f.Do == "stop":
		d.Still(no, f.For)
	default:
		mode := Gone
		if f.Do == "stall" {
			mode = Stalled
		}
		d.Links(no, mode, mode)
		d.rest(f.For)
		d.Links(no, Whole, Whole)
	}
}

// Kill ends an agent by force, Start starts it again, Still has it stand still for so long.
func (d *Day) Kill(no int)                   { d.agents[no].kill() }
func (d *Day) Start(no int)                  { _ = d.agents[no].start() }
func (d *Day) Still(no int, f time.Duration) { d.agents[no].still(f) }

// Links sets all links of an agent to and from other processes; Link one of them.
func (d *Day) Links(no int, there, back Mode) {
	name := fmt.Sprint("a", no)
	for link, r := range d.links {
		if strings.HasPrefix(link, name+">") {
			r.set(there, back)
		} else if strings.HasSuffix(link, ">"+name) {
			r.set(back, there)
		}
	}
}

func (d *Day) Link(from, to string, there, back Mode) { d.links[from+">"+to].set(there, back) }

// Gaps measures how long a zone is without an owner that acts, in ms, each time that its owner is killed, stopped or cut off.
func (d *Day) Gaps(how string, times int) (gaps []float64) {
	for range times {
		old, fence := d.Owner("a")
		for ; old < 0; old, fence = d.Owner("a") {
			time.Sleep(50 * time.Millisecond)
		}
		began := time.Now()
		switch how {
		case "kill":
			d.Kill(old)
		case "stop":
			d.signalStop(old)
		case "cut":
			d.Links(old, Gone, Gone)
		}
		d.Until("another owner", func() bool {
			no, higher := d.Owner("a")
			return no >= 0 && higher > fence && (how == "kill" || no != old)
		})
		gaps = append(gaps, float64(time.Since(began))/1e6)
		switch how {
		case "kill":
			d.Start(old)
		case "stop":
			d.agents[old].signal(syscall.SIGCONT)
		case "cut":
			d.Links(old, Whole, Whole)
		}
		// All of them are there again before the next one goes: three voters bear one failure.
		d.Until("all agents answer", func() bool {
			for i := range d.agents {
				var s agent.Status
				if (&agent.Caller{HTTP: d.http, Addrs: d.At(i)}).Get(d.ctx, "/v1/status", &s) != nil || s.Voter != 0 && !s.Counts {
					return false
				}
			}
			return true
		})
	}
	slices.Sort(gaps)
	return gaps
}

func (d *Day) signalStop(no int) { d.agents[no].signal(syscall.SIGSTOP) }

// Changes measures how many changes a second the record takes from so many callers at once, and how often voters waited
// for their disks meanwhile, a second and voter.
func (d *Day) Changes(callers int, f time.Duration) (each, syncs float64) {
	count := func() (n int) {
		for i := range d.agents {
			var s agent.Status
			if (&agent.Caller{HTTP: d.http, Addrs: d.At(i)}).Get(d.ctx, "/v1/status", &s) == nil {
				n += s.Syncs
			}
		}
		return n
	}
	before, end := count(), time.Now().Add(f)
	var all sync.WaitGroup
	done := make([]int, callers)
	for i := range callers {
		all.Go(func() {
			h := agent.NewHTTP(nil, 2*time.Second)
			for n := uint64(1); time.Now().Before(end); n++ {
				c := fleet.Command{V: 1, Caller: fmt.Sprint("m", callers, "/", i), Number: n, Do: []string{"out", "in"}[n%2],
					ID: fmt.Sprint("m", i), Zone: "a", By: "m"}
				if a, err := (&agent.Caller{HTTP: h, Addrs: d.addrs(nil)}).Do(d.ctx, c); err == nil && a.No > 0 {
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
	return float64(n) / f.Seconds(), float64(count()-before) / f.Seconds() / float64(d.opt.Voters)
}
