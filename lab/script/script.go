// Package script expands the faults of a plan into a timed list of single actions on single parts of the fleet, drawn
// from the seed alone. Simulated time and real sockets play the same list. All times are milliseconds since the start
// of the experiment.
package script

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// Action begins or ends one fault on one part of the fleet.
type Action struct {
	At     float64
	Begin  bool    // the fault begins; false: it ends
	Fault  string  // name of the fault, such as kill or slow, or a step of a change of settings: phase or twins
	Kind   string  // of the part: workers, schedulers, discovery, clients, network or settings
	Part   int     // index among the parts of that kind; with Fault phase, the plan.RetunePhase to enter
	Factor float64 // strength of the fault; its meaning and unit depend on Fault
	Cut    *Cut    // the links that are cut, else nil
	Seed   uint64  // for the random choices that carrying out the fault takes
}

// Cut is a network partition: no link works between a part in A and a part in B.
type Cut struct {
	A, B map[Part]bool
}

// Part names one part of the fleet, as an end of network links.
type Part struct {
	Kind string // as Action.Kind
	No   int    // index among the parts of that kind
}

// Between reports whether the cut separates two parts.
func (c *Cut) Between(a, b Part) bool { return c.A[a] && c.B[b] || c.A[b] && c.B[a] }

// Expand returns all actions in order of time: those of the plan's faults, and the starts of workers that join late. A
// fault that hits a share of its parts draws which; with Over it hits them one after another, evenly spread over that
// time.
func Expand(p *plan.Plan, seed uint64) (actions []Action) {
	boxes := p.PlacedWorkers()
	for i, b := range boxes {
		if at := p.Workers[b.Group].Joins; at > 0 {
			actions = append(actions, Action{At: float64(at), Begin: true, Fault: "join", Kind: "workers", Part: i})
		}
	}
	for faultNo, f := range p.Faults {
		r := load.Rand(seed, "fault"+strconv.Itoa(faultNo))
		parts := partsNamed(p, boxes, f.On)
		r.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		parts = parts[:int(math.Ceil(f.Share*float64(len(parts))-1e-9))]
		if f.Do == "cut" {
			cut := &Cut{A: map[Part]bool{}, B: map[Part]bool{}}
			for _, x := range parts {
				cut.A[x] = true
			}
			for _, x := range partsNamed(p, boxes, f.To) {
				cut.B[x] = true
			}
			actions = appendFault(actions, Action{Fault: f.Do, Kind: "network", Cut: cut}, float64(f.At), float64(f.For))
			continue
		}
		if f.Do == "retune" {
			actions = appendRetune(actions, float64(f.At), true, plan.PhaseTwins)
			if f.For > 0 {
				actions = appendRetune(actions, float64(f.At+f.For), false, plan.PhaseOriginal)
			}
			continue
		}
		for i, x := range parts {
			at := float64(f.At)
			if len(parts) > 1 {
				at += float64(f.Over) * float64(i) / float64(len(parts)-1)
			}
			actions = appendFault(actions, Action{Fault: f.Do, Kind: x.Kind, Part: x.No, Factor: f.Factor, Seed: r.Uint64()}, at,
				float64(f.For))
		}
	}
	slices.SortStableFunc(actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return actions
}

// appendFault adds the beginning of a fault and, if its length is above 0, its end. A part that was killed, drained or
// stopped starts again at the end; without an end it stays away.
func appendFault(actions []Action, a Action, at, length float64) []Action {
	a.At, a.Begin = at, true
	actions = append(actions, a)
	if length > 0 {
		a.At, a.Begin = at+length, false
		actions = append(actions, a)
	}
	return actions
}

// appendRetune adds the steps of a settings change that replaces each scheme by its twin (see plan.Plan.AllSchemeRows), or
// the twins by the original schemes: schedulers get both sets, then clients use the new set, then schedulers drop the old
// set.
func appendRetune(actions []Action, at float64, twins bool, last plan.RetunePhase) []Action {
	return append(actions, Action{At: at, Begin: true, Fault: "phase", Kind: "settings", Part: int(plan.PhaseBoth)},
		Action{At: at + plan.RetuneSwitchMs, Begin: twins, Fault: "twins", Kind: "settings"},
		Action{At: at + plan.RetuneDropMs, Begin: true, Fault: "phase", Kind: "settings", Part: int(last)})
}

// partsNamed lists the parts that the text of a fault's "on" or "to" key names.
func partsNamed(p *plan.Plan, boxes []plan.PlacedWorker, on string) (parts []Part) {
	kind, name, zone, _ := plan.ParseTarget(on)
	zones := p.Zones()
	switch kind {
	case "workers":
		for i, b := range boxes {
			if (name == "" || p.Workers[b.Group].Name == name) && (zone == "" || zones[b.Zone] == zone) {
				parts = append(parts, Part{kind, i})
			}
		}
	case "schedulers":
		for i := range p.Schedulers.Count {
			if (name == "" || name == strconv.Itoa(i)) &&
				(zone == "" || p.Schedulers.Zones[i%len(p.Schedulers.Zones)] == zone) {
				parts = append(parts, Part{kind, i})
			}
		}
	default:
		parts = []Part{{kind, 0}}
	}
	return parts
}
