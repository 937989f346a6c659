// Package startup decodes the settings that a scheduler is given at its start, on the bench and on sockets.
package startup

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"shalebeam/balance"
)

// Told is what the settings say: the module's terms, and what only a host has to know.
type Told struct {
	Terms     balance.Terms
	Schemes   []string // names, in the order of the terms
	Tenants   []string // the same
	Zones     []string
	Kinds     []string
	Reports   bool    // workers tell of their load
	FreeSlots bool    // the load report's x0 is free slots here
	Idle      float64 // a worker closes a connection that stood idle for so long
	Dial      float64 // a connection that is not up by then never comes
}

type facts struct {
	Me      int      `json:"my_number"`
	Peers   int      `json:"peers_total"`
	Zone    int      `json:"zone"`
	Tick    int64    `json:"tick"`
	Mode    string   `json:"membership_mode"`
	Surplus float64  `json:"surplus_gain"`
	Weights string   `json:"weights"`
	Zones   []string `json:"zones"`
	Kinds   []string `json:"kinds"`
	Schemes []struct {
		Name     string   `json:"name"`
		Effect   string   `json:"effect"`
		Scope    string   `json:"key_scope"`
		Zones    []any    `json:"zones_only"`
		Kinds    []any    `json:"kinds_open"`
		Window   int64    `json:"window"`
		SLA      int64    `json:"sla_time"`
		Aim      *float64 `json:"aim_stretch"`
		Expiry   int64    `json:"expiry"`
		Gain     float64  `json:"gain"`
		LateGain float64  `json:"tardy_gain"`
	} `json:"schemes"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Orgs []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"orgs"`
	Domain struct {
		Kind    []int     `json:"class_kind"`
		Stretch []float64 `json:"class_stretch"`
		Starts  bool      `json:"tells_start"`
		X0      string    `json:"report_x0"`
	} `json:"domain"`
	Limits struct {
		Posts  *int  `json:"max_postings"`
		Copies bool  `json:"parallel_tries"`
		Cancel bool  `json:"cancel"`
		Stay   int64 `json:"max_retry_after"`
		Advice bool  `json:"retry_after"`
		Peers  bool  `json:"peers"`
		Probes bool  `json:"probes"`
		Idle   int64 `json:"conn_idle"`
		Dial   int64 `json:"connect_timeout"`
	} `json:"policy_limits"`
	Fees struct {
		New  float64 `json:"handshake"`
		Peer float64 `json:"peer"`
	} `json:"fees"`
	Rules struct {
		ColdFrom  float64  `json:"cold_from"`
		Cold      int64    `json:"cold"`
		Fall      int64    `json:"fall"`
		FallTimes float64  `json:"fall_multiple"`
		AskIn     int64    `json:"must_ask_in"`
		Free      *float64 `json:"budget_free"`
		Ratio     *float64 `json:"resend_ratio"`
		For       *int64   `json:"look_back"`
	} `json:"guarantees"`
}

// Decode reads the settings object. What it does not know it passes over.
func Decode(raw []byte, seed uint64) (Told, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return Told{}, fmt.Errorf("settings: %w", err)
	}
	if len(f.Schemes) == 0 {
		return Told{}, fmt.Errorf("settings: schemes is missing or empty")
	}
	for i, c := range f.Schemes {
		if c.Expiry <= 0 {
			return Told{}, fmt.Errorf("settings: schemes[%d].expiry: %d is not above 0", i, c.Expiry)
		}
	}
	if n := f.Limits.Posts; n != nil && *n <= 0 {
		return Told{}, fmt.Errorf("settings: policy_limits.max_postings: %d is not above 0", *n)
	}
	terms, err := f.terms(seed)
	if err != nil {
		return Told{}, fmt.Errorf("settings: %w", err)
	}
	t := Told{Terms: terms, Zones: f.Zones, Kinds: f.Kinds, Reports: len(f.Report.Fields) > 0,
		FreeSlots: f.Domain.X0 == "free slots",
		Idle:      ms(f.Limits.Idle), Dial: ms(f.Limits.Dial)}
	for _, c := range f.Schemes {
		t.Schemes = append(t.Schemes, c.Name)
	}
	for _, o := range f.Orgs {
		t.Tenants = append(t.Tenants, o.Name)
	}
	return t, nil
}

// Retuned is t with all of o that may change while a scheduler runs, and the keys of what differs and may
// not.
func (t Told) Retuned(o Told) (out Told, kept []string, err error) {
	a, b := &t.Terms, &o.Terms
	for _, p := range []struct {
		key  string
		same bool
	}{{"my_number", a.Me == b.Me}, {"peers_total", a.Peers == b.Peers}, {"zone", a.Zone == b.Zone},
		{"zones", slices.Equal(t.Zones, o.Zones)}, {"kinds", slices.Equal(t.Kinds, o.Kinds)},
		{"weights", a.LiveWeight == b.LiveWeight},
		{"domain", a.TellsStart == b.TellsStart && t.FreeSlots == o.FreeSlots},
		{"membership_mode", a.MustAsk == b.MustAsk}, {"report", t.Reports == o.Reports},
		{"policy_limits.peers", a.Messages == b.Messages}} {
		if !p.same {
			kept = append(kept, p.key)
		}
	}
	// A scheme bound to places of other lists would be bound to other workers.
	bound := func(r balance.SchemeRow) bool { return r.Zones != 0 || r.Kinds != 0 }
	for _, key := range kept {
		if (key == "zones" || key == "kinds") && slices.ContainsFunc(b.Schemes, bound) {
			return t, nil, fmt.Errorf("settings: %s differ, and schemes are bound to some: that needs a restart", key)
		}
	}
	out = o
	c := &out.Terms
	c.Seed, c.Me, c.Peers, c.Zone = a.Seed, a.Me, a.Peers, a.Zone
	c.LiveWeight, c.TellsStart = a.LiveWeight, a.TellsStart
	c.MustAsk, c.Messages = a.MustAsk, a.Messages
	out.Zones, out.Kinds, out.Reports, out.FreeSlots = t.Zones, t.Kinds, t.Reports, t.FreeSlots
	return out, kept, nil
}

// Lacks names a key that one object of JSON has and another lacks, "" where there is none. Of the rows of an
// array of objects each has to have what all rows had.
func Lacks(old, raw json.RawMessage) string {
	var a, b any
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(raw, &b) != nil {
		return ""
	}
	return lacks(a, b)
}

func lacks(a, b any) string {
	switch a := a.(type) {
	case map[string]any:
		b, _ := b.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(a)) {
			if _, ok := b[key]; !ok {
				return key
			}
			if sub := lacks(a[key], b[key]); sub != "" {
				return key + "." + sub
			}
		}
	case []any:
		b, _ := b.([]any)
		rows := objects(a)
		if len(rows) == 0 {
			return ""
		}
		all := maps.Clone(rows[0])
		for _, row := range rows {
			maps.DeleteFunc(all, func(key string, _ any) bool { _, ok := row[key]; return !ok })
		}
		for _, key := range slices.Sorted(maps.Keys(all)) {
			for i, row := range objects(b) {
				if _, ok := row[key]; !ok {
					return strconv.Itoa(i) + "." + key
				}
			}
		}
	}
	return ""
}

func objects(all []any) (rows []map[string]any) {
	for _, x := range all {
		if row, ok := x.(map[string]any); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// Load makes of a worker's report what the module is told.
func (t *Told) Load(report map[string]float64) balance.Load {
	load := balance.NoLoad
	if free, ok := report["x0"]; ok && t.FreeSlots && !math.IsInf(free, 0) {
		load.Free = free
	}
	return load
}

func ms(us int64) float64 { return float64(us) / 1000 }

// terms makes of it what the module is told.
func (f *facts) terms(seed uint64) (balance.Terms, error) {
	t := balance.Terms{Seed: seed, Me: f.Me, Peers: f.Peers, Zone: f.Zone, Tick: ms(f.Tick), OverGain: f.Surplus,
		MaxPosts: math.MaxInt, Copies: f.Limits.Copies, Cancels: f.Limits.Cancel, Messages: f.Limits.Peers,
		Probes: f.Limits.Probes, Idle: ms(f.Limits.Idle), NewFee: f.Fees.New, TellFee: f.Fees.Peer,
		LiveWeight: f.Weights == "live",
		MustAsk:    f.Mode == "subscribe", AskIn: ms(f.Rules.AskIn), TellsStart: f.Domain.Starts,
		ColdFrom: f.Rules.ColdFrom, ColdFor: ms(f.Rules.Cold), Fall: ms(f.Rules.Fall), FallTimes: f.Rules.FallTimes}
	if f.Limits.Posts != nil {
		t.MaxPosts = *f.Limits.Posts
	}
	if f.Limits.Advice {
		t.MaxStay = ms(f.Limits.Stay)
	}
	for i, c := range f.Schemes {
		row := balance.SchemeRow{Name: c.Name, Window: ms(c.Window), SLA: ms(c.SLA), Expiry: ms(c.Expiry),
			Gain:     c.Gain,
			LateGain: c.LateGain}
		// An effect that is not known is taken for the strictest.
		row.Effect = balance.OnceOnly
		switch c.Effect {
		case "retryable":
			row.Effect = balance.Repeatable
		case "dedup":
			row.Effect = balance.Referenced
		}
		row.Group = balance.GroupCell
		switch c.Scope {
		case "all":
			row.Group = balance.GroupAll
		case "zone":
			row.Group = balance.GroupZone
		}
		var err error
		if row.Zones, err = bits(c.Zones, f.Zones); err != nil {
			return t, fmt.Errorf("schemes[%d].zones_only: %w", i, err)
		}
		if row.Kinds, err = bits(c.Kinds, f.Kinds); err != nil {
			return t, fmt.Errorf("schemes[%d].kinds_open: %w", i, err)
		}
		if i < len(f.Domain.Kind) && f.Domain.Kind[i] >= 0 {
			row.Kinds = 1 << min(f.Domain.Kind[i], most)
		}
		if i < len(f.Domain.Stretch) {
			row.Stretch = f.Domain.Stretch[i]
		} else if c.Aim != nil {
			row.Stretch = *c.Aim
		}
		t.Schemes = append(t.Schemes, row)
	}
	for _, o := range f.Orgs {
		t.Quota = append(t.Quota, o.Quota)
	}
	r := &f.Rules
	if r.Free == nil && r.Ratio == nil && r.For == nil {
		return t, nil
	}
	switch {
	case r.For == nil || *r.For <= 0:
		return t, fmt.Errorf("guarantees.look_back: a budget of postings needs a time above 0")
	case r.Free != nil && *r.Free < 0:
		return t, fmt.Errorf("guarantees.budget_free: %v is below 0", *r.Free)
	case r.Ratio != nil && *r.Ratio < 0:
		return t, fmt.Errorf("guarantees.resend_ratio: %v is below 0", *r.Ratio)
	}
	t.BudgetFor = ms(*r.For)
	if r.Free != nil {
		t.BudgetFree = *r.Free
	}
	if r.Ratio != nil {
		t.BudgetRatio = *r.Ratio
	}
	return t, nil
}

// most is how many zones or kinds a scheme can be bound to a part of.
const most = 63

// bits makes a set of places of what a scheme is bound to: names, or places themselves. Left out there is no
// bound; what is not known would open the scheme to all, and is refused.
func bits(open []any, names []string) (set uint64, err error) {
	if open != nil && len(open) == 0 {
		return 0, fmt.Errorf("no worker is open to it")
	}
	for _, x := range open {
		at := -1
		switch x := x.(type) {
		case string:
			at = slices.Index(names, x)
		case float64:
			if at = int(x); float64(at) != x || len(names) > 0 && at >= len(names) {
				at = -1
			}
		}
		if at < 0 || at > most {
			return 0, fmt.Errorf("%v is not known", x)
		}
		set |= 1 << at
	}
	return set, nil
}
