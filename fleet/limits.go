package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Limit bounds how many members of a kind may be out of service at the same time. Members to which no limit applies share a
// default: one of their kind may be out.
type Limit struct {
	Kind           string  `json:"kind" toml:"kind"`                             // scheduler or worker
	Zone           string  `json:"zone,omitempty" toml:"zone,omitempty"`         // a zone; "each" for each zone separately; "" for the whole fleet
	Label          string  `json:"label,omitempty" toml:"label,omitempty"`       // key=value, or key=each for each value separately; "" for all members
	MaxOut         *int    `json:"most,omitempty" toml:"most,omitempty"`         // members that may be out
	MaxOutShare    float64 `json:"share,omitempty" toml:"share,omitempty"`       // the same as a share of the members counted, rounded down; 0: no bound
	MaxOutCapacity float64 `json:"capacity,omitempty" toml:"capacity,omitempty"` // the share of the workers' capacity that may be out; 0: no bound
	MinInService   int     `json:"least,omitempty" toml:"least,omitempty"`       // members that must stay in service
}

// eachValue, as a zone or as the value of a label, applies a limit to each zone or value separately.
const eachValue = "each"

// String describes the limit, for refusals and plans. As part of a refusal the text is replicated state: see
// commandHandlers.
func (l Limit) String() string {
	text := l.Kind + "s"
	if l.Zone != "" {
		text += " zone=" + l.Zone
	}
	if l.Label != "" {
		text += " " + l.Label
	}
	if l.MaxOut != nil {
		text += fmt.Sprint(" most=", *l.MaxOut)
	}
	for _, x := range []struct {
		name  string
		value float64
	}{{"share", l.MaxOutShare}, {"capacity", l.MaxOutCapacity}, {"least", float64(l.MinInService)}} {
		if x.value > 0 {
			text += fmt.Sprint(" ", x.name, "=", x.value)
		}
	}
	return text
}

// invalidReason returns what is wrong with the limit, starting with the field, "" if it is valid.
func (l Limit) invalidReason() string {
	key, value, _ := strings.Cut(l.Label, "=")
	switch {
	case l.Kind != "scheduler" && l.Kind != "worker":
		return fmt.Sprintf("kind: %q is not scheduler or worker", l.Kind)
	case l.Label != "" && (key == "" || value == ""):
		return fmt.Sprintf("label: %q is not key=value", l.Label)
	case l.MaxOut != nil && *l.MaxOut < 0, l.MinInService < 0:
		return "most and least are not below 0"
	case l.MaxOutShare < 0 || l.MaxOutShare > 1 || l.MaxOutCapacity < 0 || l.MaxOutCapacity > 1:
		return "share and capacity are from 0 to 1"
	case l.MaxOutCapacity > 0 && l.Kind != "worker":
		return "capacity: schedulers have none"
	case l.MaxOut == nil && l.MaxOutShare == 0 && l.MaxOutCapacity == 0 && l.MinInService == 0:
		return "it says neither most, share, capacity nor least"
	}
	return ""
}

// CheckLimits returns what is wrong with a list of limits, "" if it is valid.
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

// labelValue returns the value of one of the member's labels, "" if the member has no label of that key.
func (m Member) labelValue(key string) string {
	for _, l := range strings.Split(m.Labels, ",") {
		if k, v, _ := strings.Cut(l, "="); k == key {
			return v
		}
	}
	return ""
}

// countsTogether reports whether the limit applies to both members and counts them together. With the same member twice it
// reports whether the limit applies to it.
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

// LimitCount is the state of one limit if one further member were out.
type LimitCount struct {
	Limit   Limit    `json:"limit"`
	Members int      `json:"of"`            // members that count together with it, itself included
	Out     []string `json:"out"`           // ids of those of them that are out, with the member in question
	Allowed int      `json:"allowed"`       // how many of them may be out, math.MaxInt if only their capacity is bounded
	Reason  string   `json:"why,omitempty"` // why the limit forbids it, "" if it doesn't
}

// IsOut reports whether a member counts as out under the limits, and why. Every member that isn't known to be in service
// does, whatever the cause.
func (r *Record) IsOut(id string) (string, bool) {
	if permit, ok := r.Permits[id]; ok {
		return "permit of " + permit.Op, true
	}
	if r.Intents[id].Out && r.Members[id].Kind == "worker" {
		return "taken out by " + r.Intents[id].By, true
	}
	switch health, ok := r.Health[id]; {
	case !ok:
		return "nobody has looked at it", true
	case health.State != HealthInService:
		return health.State, true
	}
	return "", false
}

// limitsFor returns the limits that apply to a member, or the default limit if there are none.
func (r *Record) limitsFor(member Member) (applicable []Limit) {
	for _, limit := range r.Limits {
		if limit.countsTogether(member, member) {
			applicable = append(applicable, limit)
		}
	}
	if len(applicable) == 0 {
		defaultMost := 1
		applicable = []Limit{{Kind: member.Kind, MaxOut: &defaultMost}}
	}
	return applicable
}

// LimitCounts returns, for each limit that applies to a member, its state if the member were taken out.
func (r *Record) LimitCounts(id string) []LimitCount { return r.countsIfOut(id, nil) }

// countsIfOut is LimitCounts with the members in alsoOut taken as out.
func (r *Record) countsIfOut(id string, alsoOut map[string]bool) (counts []LimitCount) {
	member := r.Members[id]
	for _, limit := range r.limitsFor(member) {
		count := LimitCount{Limit: limit, Allowed: math.MaxInt}
		totalCapacity, outCapacity := 0.0, 0.0
		for _, other := range r.Members { // count.Out is sorted below, as the iteration order varies
			if !limit.countsTogether(member, other) {
				continue
			}
			count.Members++
			totalCapacity += other.Capacity
			if r.InjectedFault == "zones-alone" && other.Zone != member.Zone {
				continue
			}
			if _, out := r.IsOut(other.ID); out || other.ID == id || alsoOut[other.ID] {
				count.Out = append(count.Out, other.ID)
				outCapacity += other.Capacity
			}
		}
		slices.Sort(count.Out)
		if limit.MaxOut != nil {
			count.Allowed = *limit.MaxOut
		}
		if limit.MaxOutShare > 0 {
			count.Allowed = min(count.Allowed, int(math.Floor(limit.MaxOutShare*float64(count.Members)+1e-9)))
		}
		if limit.MinInService > 0 {
			count.Allowed = min(count.Allowed, max(count.Members-limit.MinInService, 0))
		}
		switch {
		case len(count.Out) > count.Allowed:
			count.Reason = fmt.Sprintf("%s: %d of %d would be out, %d may be", limit, len(count.Out), count.Members, count.Allowed)
		case limit.MaxOutCapacity > 0 && outCapacity > limit.MaxOutCapacity*totalCapacity+1e-9:
			count.Reason = fmt.Sprintf("%s: %g of capacity %g would be out", limit, outCapacity, totalCapacity)
		}
		counts = append(counts, count)
	}
	return counts
}

// limitRefusal returns why the limits forbid to take a member out now, "" if they allow it.
func (r *Record) limitRefusal(id string, alsoOut map[string]bool) string {
	for _, count := range r.countsIfOut(id, alsoOut) {
		if count.Reason != "" {
			return count.Reason
		}
	}
	return ""
}

// maxOut returns how many members may be out at most under the limits that apply to a member, and the limit that decides.
func (r *Record) maxOut(id string) (most int, limit Limit) {
	most = math.MaxInt
	for _, count := range r.LimitCounts(id) {
		if count.Allowed < most {
			most, limit = count.Allowed, count.Limit
		}
	}
	return most, limit
}

// zonesCountedWith returns the zones of all members that count together with a member under some limit. A grant to the
// member depends on the health reported for those zones.
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
