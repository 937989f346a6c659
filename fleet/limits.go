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

const eachValue = "each"

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

func (l Limit) invalidReason() string {
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
	if len(all) > maxLimits {
		return fmt.Sprintf("more than %d limits", maxLimits)
	}
	for i, l := range all {
		if why := l.invalidReason(); why != "" {
			return fmt.Sprintf("limit[%d].%s", i, why)
		}
	}
	return ""
}

// label is the value of one of a member's labels, which stand as "key=value,key=value".
func (m Member) labelValue(key string) string {
	for _, l := range strings.Split(m.Labels, ",") {
		if k, v, _ := strings.Cut(l, "="); k == key {
			return v
		}
	}
	return ""
}

// covers tells whether a limit is about m, and of those about o whether o counts together with it.
func (l Limit) countsTogether(member, other Member) bool {
	if member.Kind != l.Kind || other.Kind != l.Kind || l.Zone == eachValue && member.Zone != other.Zone ||
		l.Zone != "" && l.Zone != eachValue && (member.Zone != l.Zone || other.Zone != l.Zone) {
		return false
	}
	if l.Label == "" {
		return true
	}
	key, value, _ := strings.Cut(l.Label, "=")
	memberValue := member.labelValue(key)
	return memberValue != "" && memberValue == other.labelValue(key) && (value == eachValue || value == memberValue)
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
	if permit, ok := r.Permits[id]; ok {
		return "permit of " + permit.Op, true
	}
	if r.Workers[id].Out && r.Members[id].Kind == "worker" {
		return "taken out by " + r.Workers[id].By, true
	}
	switch health, ok := r.Health[id]; {
	case !ok:
		return "nobody has looked at it", true
	case health.State != InService:
		return health.State, true
	}
	return "", false
}

func (r *Record) limitsFor(member Member) (applicable []Limit) {
	for _, limit := range r.Limits {
		if limit.countsTogether(member, member) {
			applicable = append(applicable, limit)
		}
	}
	if len(applicable) == 0 {
		defaultMost := 1
		applicable = []Limit{{Kind: member.Kind, Most: &defaultMost}}
	}
	return applicable
}

// Room counts a member, were it taken out, under each limit that covers it.
func (r *Record) Room(id string) []Count { return r.countsIfOut(id, nil) }

// roomWith takes further members as out already.
func (r *Record) countsIfOut(id string, alsoOut map[string]bool) (counts []Count) {
	member := r.Members[id]
	for _, limit := range r.limitsFor(member) {
		count := Count{Limit: limit, Allowed: math.MaxInt}
		totalCapacity, outCapacity := 0.0, 0.0
		for _, other := range r.Members { // in any order: what is out is sorted below
			if !limit.countsTogether(member, other) {
				continue
			}
			count.Of++
			totalCapacity += other.Capacity
			if r.Bug == "zones-alone" && other.Zone != member.Zone {
				continue
			}
			if _, out := r.IsOut(other.ID); out || other.ID == id || alsoOut[other.ID] {
				count.Out = append(count.Out, other.ID)
				outCapacity += other.Capacity
			}
		}
		slices.Sort(count.Out)
		if limit.Most != nil {
			count.Allowed = *limit.Most
		}
		if limit.Share > 0 {
			count.Allowed = min(count.Allowed, int(math.Floor(limit.Share*float64(count.Of)+1e-9)))
		}
		if limit.Least > 0 {
			count.Allowed = min(count.Allowed, max(count.Of-limit.Least, 0))
		}
		switch {
		case len(count.Out) > count.Allowed:
			count.Why = fmt.Sprintf("%s: %d of %d would be out, %d may be", limit, len(count.Out), count.Of, count.Allowed)
		case limit.Capacity > 0 && outCapacity > limit.Capacity*totalCapacity+1e-9:
			count.Why = fmt.Sprintf("%s: %g of capacity %g would be out", limit, outCapacity, totalCapacity)
		}
		counts = append(counts, count)
	}
	return counts
}

// room is why a member may not be taken out now, "" where it may.
func (r *Record) limitRefusal(id string, alsoOut map[string]bool) string {
	for _, count := range r.countsIfOut(id, alsoOut) {
		if count.Why != "" {
			return count.Why
		}
	}
	return ""
}

// allowed is how many may be out together where this member counts, when all others are in service.
func (r *Record) maxOut(id string) (most int, limit Limit) {
	most = math.MaxInt
	for _, count := range r.Room(id) {
		if count.Allowed < most {
			most, limit = count.Allowed, count.Limit
		}
	}
	return most, limit
}

// counted lists the zones of all that count together with a member: a grant to it rests on what was seen there.
func (r *Record) zonesCountedWith(id string) (zones []string) {
	member := r.Members[id]
	for _, limit := range r.limitsFor(member) {
		for _, other := range r.Members {
			if limit.countsTogether(member, other) && !slices.Contains(zones, other.Zone) {
				zones = append(zones, other.Zone)
			}
		}
	}
	slices.Sort(zones)
	return zones
}
