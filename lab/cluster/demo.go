package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
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
