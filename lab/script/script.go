// Package script turns a plan's faults into what happens to which part when, drawn from the seed alone. It is
// played by simulated time and on sockets alike.
package script

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"shalebeam/lab/load"
	"shalebeam/lab/plan"
)

// Act is one change of one part.
type Act struct {
	At     float64
	Begin  bool // else it ends
	Do     string
	Kind   string // workers, schedulers, discovery, clients, network
	Part   int    // its place among its kind
	Factor float64
	Cut    *Cut
	Seed   uint64 // for what the act itself leaves to chance
}

// Cut is a broken link between two sides.
type Cut struct {
	A, B map[Part]bool
}

// Part names one end of a link.
type Part struct {
	Kind string
	No   int
}

// Between tells whether the cut lies between two parts.
func (c *Cut) Between(a, b Part) bool { return c.A[a] && c.B[b] || c.A[b] && c.B[a] }

// Play lists all acts in the order in which they happen. A fault that is to hit a share of its parts draws
// them; with Over they are hit one after another within that time.
func Play(p *plan.Plan, seed uint64) (acts []Act) {
	boxes := p.Boxes()
	for i, b := range boxes {
		if at := p.Workers[b.Group].Joins; at > 0 {
			acts = append(acts, Act{At: float64(at), Begin: true, Do: "join", Kind: "workers", Part: i})
		}
	}
	for n, f := range p.Faults {
		r := load.Rand(seed, "fault"+strconv.Itoa(n))
		parts := named(p, boxes, f.On)
		r.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		parts = parts[:int(math.Ceil(f.Share*float64(len(parts))-1e-9))]
		if f.Do == "cut" {
			c := &Cut{A: map[Part]bool{}, B: map[Part]bool{}}
			for _, x := range parts {
				c.A[x] = true
			}
			for _, x := range named(p, boxes, f.To) {
				c.B[x] = true
			}
			acts = both(acts, Act{Do: f.Do, Kind: "network", Cut: c}, float64(f.At), float64(f.For))
			continue
		}
		if f.Do == "retune" {
			acts = retune(acts, float64(f.At), true, plan.Twins)
			if f.For > 0 {
				acts = retune(acts, float64(f.At+f.For), false, plan.First)
			}
			continue
		}
		for i, x := range parts {
			at := float64(f.At)
			if len(parts) > 1 {
				at += float64(f.Over) * float64(i) / float64(len(parts)-1)
			}
			acts = both(acts, Act{Do: f.Do, Kind: x.Kind, Part: x.No, Factor: f.Factor, Seed: r.Uint64()}, at,
				float64(f.For))
		}
	}
	slices.SortStableFunc(acts, func(a, b Act) int { return cmp.Compare(a.At, b.At) })
	return acts
}

// both adds a fault's beginning and, where it has one, its end. What was killed, drained or stopped comes back
// at the end; without a time it stays away.
func both(acts []Act, a Act, at, length float64) []Act {
	a.At, a.Begin = at, true
	acts = append(acts, a)
	if length > 0 {
		a.At, a.Begin = at+length, false
		acts = append(acts, a)
	}
	return acts
}

// retune adds the steps to the schemes' twins, or back: both are there, clients use the others, the first are dropped.
func retune(acts []Act, at float64, twins bool, last plan.Phase) []Act {
	return append(acts, Act{At: at, Begin: true, Do: "phase", Kind: "settings", Part: int(plan.Both)},
		Act{At: at + plan.RetuneUse, Begin: twins, Do: "twins", Kind: "settings"},
		Act{At: at + plan.RetuneDrop, Begin: true, Do: "phase", Kind: "settings", Part: int(last)})
}

func named(p *plan.Plan, boxes []plan.Box, on string) (parts []Part) {
	kind, name, zone, _ := plan.Part(on)
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
