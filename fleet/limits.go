package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limit bounds how many members of a kind may be out together. Where none covers a member, one of its kind may be.
type Limit struct {
	Kind     string  `json:"kind" toml:"kind"`                             // scheduler or worker
	Zone     string  `json:"zone,omitempty" toml:"zone,omitempty"`         // one zone; "each" for every one by itself; "" for the fleet
	Label    string  `json:"label,omitempty" toml:"label,omitempty"`       // key=value, or key=each
	Most     *int    `json:"most,omitempty" toml:"most,omitempty"`         // out together
	Share    float64 `json:"share,omitempty" toml:"share,omitempty"`       // the same as a part of them, rounded so that fewer are out
	Capacity float64 `json:"capacity,omitempty" toml:"capacity,omitempty"` // the part of all workers' capacity that may be out
	Least    int     `json:"least,omitempty" toml:"least,omitempty"`       // in service
}

const each = "each"

func (l Limit) String() string {
	text := l.Kind + "s"
	if l.Zone != "" {
		text += " zone=" + l.Zone
	}
	if l.Label != "" {
		text += " " + l.Label
	}
	if l.Most != nil {
		text += fmt.Sprint(" most=", *l.Most)
	}
	for _, x := range []struct {
		name  string
		value float64
	}{{"share", l.Share}, {"capacity", l.Capacity}, {"least", float64(l.Least)}} {
		if x.value > 0 {
			text += fmt.Sprint(" ", x.name, "=", x.value)
		}
	}
	return text
}

func (l Limit) check() string {
	key, value, _ := strings.Cut(l.Label, "=")
	switch {
	case l.Kind != "scheduler" && l.Kind != "worker":
		return fmt.Sprintf("kind: %q is not scheduler or worker", l.Kind)
	case l.Label != "" && (key == "" || value == ""):
		return fmt.Sprintf("label: %q is not key=value", l.Label)
	case l.Most != nil && *l.Most < 0, l.Least < 0:
		return "most and least are not below 0"
	case l.Share < 0 || l.Share > 1 || l.Capacity < 0 || l.Capacity > 1:
		return "share and capacity are from 0 to 1"
	case l.Capacity > 0 && l.Kind != "worker":
		return "capacity: schedulers have none"
	case l.Most == nil && l.Share == 0 && l.Capacity == 0 && l.Least == 0:
		return "it says neither most, share, capacity nor least"
	}
	return ""
}

// CheckLimits tells what is wrong with limits, "" where nothing is.
func CheckLimits(all []Limit) string {
	if len(all) > mostLimits {
		return fmt.Sprintf("more than %d limits", mostLimits)
	}
	for i, l := range all {
		if why := l.check(); why != "" {
			return fmt.Sprintf("limit[%d].%s", i, why)
		}
	}
	return ""
}

// label is the value of one of a member's labels, which stand as "key=value,key=value".
func (m Member) label(key string) string {
	for _, l := range strings.Split(m.Labels, ",") {
		if k, v, _ := strings.Cut(l, "="); k == key {
			return v
		}
	}
	return ""
}

// covers tells whether a limit is about m, and of those about o whether o counts together with it.
func (l Limit) covers(m, o Member) bool {
	if m.Kind != l.Kind || o.Kind != l.Kind || l.Zone == each && m.Zone != o.Zone ||
		l.Zone != "" && l.Zone != each && (m.Zone != l.Zone || o.Zone != l.Zone) {
		return false
	}
	if l.Label == "" {
		return true
	}
	key, value, _ := strings.Cut(l.Label, "=")
	mine := m.label(key)
	return mine != "" && mine == o.label(key) && (value == each || value == mine)
}

// Count is how a limit stands to one member: who counts together, who of them is out, and how many may be.
type Count struct {
	Limit   Limit    `json:"limit"`
	Of      int      `json:"of"`
	Out     []string `json:"out"` // with the one that was asked about
	Allowed int      `json:"allowed"`
	Why     string   `json:"why,omitempty"` // why one more is too many
}

// IsOut tells whether a member counts as out, and why: each that is not known to be in service does.
func (r *Record) IsOut(id string) (string, bool) {
	if p, ok := r.Permits[id]; ok {
		return "permit of " + p.Op, true
	}
	if r.Workers[id].Out && r.Members[id].Kind == "worker" {
		return "taken out by " + r.Workers[id].By, true
	}
	switch h, ok := r.Health[id]; {
	case !ok:
		return "nobody has looked at it", true
	case h.State != InService:
		return h.State, true
	}
	return "", false
}

func (r *Record) limits(m Member) (all []Limit) {
	for _, l := range r.Limits {
		if l.covers(m, m) {
			all = append(all, l)
		}
	}
	if len(all) == 0 {
		one := 1
		all = []Limit{{Kind: m.Kind, Most: &one}}
	}
	return all
}

// Room counts a member, were it taken out, under each limit that covers it.
func (r *Record) Room(id string) []Count { return r.roomWith(id, nil) }

// roomWith takes further members as out already.
func (r *Record) roomWith(id string, also map[string]bool) (all []Count) {
	m := r.Members[id]
	for _, l := range r.limits(m) {
		c := Count{Limit: l, Allowed: math.MaxInt}
		total, gone := 0.0, 0.0
		for _, o := range r.Members { // in any order: what is out is sorted below
			if !l.covers(m, o) {
				continue
			}
			c.Of++
			total += o.Capacity
			if r.Bug == "zones-alone" && o.Zone != m.Zone {
				continue
			}
			if _, out := r.IsOut(o.ID); out || o.ID == id || also[o.ID] {
				c.Out = append(c.Out, o.ID)
				gone += o.Capacity
			}
		}
		slices.Sort(c.Out)
		if l.Most != nil {
			c.Allowed = *l.Most
		}
		if l.Share > 0 {
			c.Allowed = min(c.Allowed, int(math.Floor(l.Share*float64(c.Of)+1e-9)))
		}
		if l.Least > 0 {
			c.Allowed = min(c.Allowed, max(c.Of-l.Least, 0))
		}
		switch {
		case len(c.Out) > c.Allowed:
			c.Why = fmt.Sprintf("%s: %d of %d would be out, %d may be", l, len(c.Out), c.Of, c.Allowed)
		case l.Capacity > 0 && gone > l.Capacity*total+1e-9:
			c.Why = fmt.Sprintf("%s: %g of capacity %g would be out", l, gone, total)
		}
		all = append(all, c)
	}
	return all
}

// room is why a member may not be taken out now, "" where it may.
func (r *Record) room(id string, also map[string]bool) string {
	for _, c := range r.roomWith(id, also) {
		if c.Why != "" {
			return c.Why
		}
	}
	return ""
}

// allowed is how many may be out together where this member counts, when all others are in service.
func (r *Record) allowed(id string) (most int, by Limit) {
	most = math.MaxInt
	for _, c := range r.Room(id) {
		if c.Allowed < most {
			most, by = c.Allowed, c.Limit
		}
	}
	return most, by
}

// counted lists the zones of all that count together with a member: a grant to it rests on what was seen there.
func (r *Record) counted(id string) (zones []string) {
	m := r.Members[id]
	for _, l := range r.limits(m) {
		for _, o := range r.Members {
			if l.covers(m, o) && !slices.Contains(zones, o.Zone) {
				zones = append(zones, o.Zone)
			}
		}
	}
	slices.Sort(zones)
	return zones
}
