// Package startup decodes the settings that a scheduler is given at its start, both by the benchmark harness (package
// benchwire) and by the configuration of a scheduler that serves over sockets (package scheduler). Times in the
// settings are in microseconds; this package returns them in milliseconds.
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

// Settings is the decoded settings: the terms of package balance, and what only its host needs.
type Settings struct {
	Terms               balance.Terms
	Schemes             []string // names, in the order of Terms.Schemes
	Tenants             []string // names, in the order of Terms.Quota
	Zones               []string // names; a zone's number is its index
	Kinds               []string // names; a kind's number is its index
	WorkersReportLoad   bool     // workers report their load
	X0IsFreeSlots       bool     // the field x0 of a load report is the number of free slots
	WorkerIdleTimeoutMs float64  // a worker closes a connection that was idle for this long, in milliseconds
	DialTimeoutMs       float64  // timeout for establishing a connection, in milliseconds
}

// settingsJSON is the JSON form of the settings. Integer times are in microseconds. A pointer tells a missing value from 0.
type settingsJSON struct {
	SchedulerNumber int      `json:"my_number"`
	SchedulerCount  int      `json:"peers_total"`
	Zone            int      `json:"zone"`
	TickUS          int64    `json:"tick"`
	MembershipMode  string   `json:"membership_mode"`
	SurplusGain     float64  `json:"surplus_gain"`
	Weights         string   `json:"weights"`
	Zones           []string `json:"zones"`
	Kinds           []string `json:"kinds"`
	Schemes         []struct {
		Name       string   `json:"name"`
		Effect     string   `json:"effect"`
		KeyScope   string   `json:"key_scope"`
		ZonesOnly  []any    `json:"zones_only"` // zones that may run it, by name or index
		KindsOpen  []any    `json:"kinds_open"` // kinds that may run it, by name or index
		WindowUS   int64    `json:"window"`     // how long the group remembers an idempotency key
		SLATimeUS  int64    `json:"sla_time"`
		AimStretch *float64 `json:"aim_stretch"` // see balance.SchemeRow.Stretch
		ExpiryUS   int64    `json:"expiry"`
		Gain       float64  `json:"gain"`
		LateGain   float64  `json:"tardy_gain"` // share of the gain after the SLA time
	} `json:"schemes"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quota_per_s"`
	} `json:"orgs"`
	Domain struct {
		ClassKind    []int     `json:"class_kind"`    // by scheme: the only kind that may run it; below 0: KindsOpen holds
		ClassStretch []float64 `json:"class_stretch"` // by scheme, before AimStretch: see balance.SchemeRow.Stretch
		TellsStart   bool      `json:"tells_start"`   // workers tell when they start to run a posting
		ReportX0     string    `json:"report_x0"`
	} `json:"domain"`
	Limits struct {
		MaxPostings      *int  `json:"max_postings"`   // of a txn; no limit if missing
		ParallelTries    bool  `json:"parallel_tries"` // a txn may have two postings open
		Cancel           bool  `json:"cancel"`
		MaxRetryAfterUS  int64 `json:"max_retry_after"`
		RetryAfter       bool  `json:"retry_after"` // declined clients may be told when to come back, up to MaxRetryAfterUS
		Peers            bool  `json:"peers"`
		Probes           bool  `json:"probes"`
		ConnIdleUS       int64 `json:"conn_idle"`
		ConnectTimeoutUS int64 `json:"connect_timeout"`
	} `json:"policy_limits"`
	Fees struct {
		Handshake float64 `json:"handshake"` // cost of a new connection for each txn
		Peer      float64 `json:"peer"`      // cost of a message to peers for each txn
	} `json:"fees"`
	Guarantees struct {
		ColdFrom     float64  `json:"cold_from"`     // slow start: see slowstart.Limits.InitialShare
		ColdUS       int64    `json:"cold"`          // see slowstart.Limits.WarmUpMs
		FallUS       int64    `json:"fall"`          // see slowstart.Limits.WindowMs
		FallMultiple float64  `json:"fall_multiple"` // see slowstart.Limits.CapacityMultiple
		MustAskInUS  int64    `json:"must_ask_in"`   // discovery has to be asked again within this time
		BudgetFree   *float64 `json:"budget_free"`   // retry budget: postings beyond the first of each txn in LookBackUS
		ResendRatio  *float64 `json:"resend_ratio"`  // the same, for each txn taken
		LookBackUS   *int64   `json:"look_back"`
	} `json:"guarantees"`
}

// Decode decodes the settings, a JSON object, and checks them. Unknown keys are ignored. The seed goes into the terms.
func Decode(raw []byte, seed uint64) (Settings, error) {
	var in settingsJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(in.Schemes) == 0 {
		return Settings{}, fmt.Errorf("settings: schemes is missing or empty")
	}
	for i, scheme := range in.Schemes {
		if scheme.ExpiryUS <= 0 {
			return Settings{}, fmt.Errorf("settings: schemes[%d].expiry: %d us, want more than 0", i, scheme.ExpiryUS)
		}
	}
	if n := in.Limits.MaxPostings; n != nil && *n <= 0 {
		return Settings{}, fmt.Errorf("settings: policy_limits.max_postings: %d, want more than 0", *n)
	}
	terms, err := in.terms(seed)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	t := Settings{Terms: terms, Zones: in.Zones, Kinds: in.Kinds, WorkersReportLoad: len(in.Report.Fields) > 0,
		X0IsFreeSlots:       in.Domain.ReportX0 == "free slots",
		WorkerIdleTimeoutMs: usToMs(in.Limits.ConnIdleUS), DialTimeoutMs: usToMs(in.Limits.ConnectTimeoutUS)}
	for _, scheme := range in.Schemes {
		t.Schemes = append(t.Schemes, scheme.Name)
	}
	for _, tenant := range in.Tenants {
		t.Tenants = append(t.Tenants, tenant.Name)
	}
	return t, nil
}

// MergeReload returns the settings to use after a reload: those of fresh, except that what can't change while a scheduler
// runs is kept from t. It also returns the keys of the values that were kept although fresh differs.
func (t Settings) MergeReload(fresh Settings) (out Settings, kept []string, err error) {
	old, updated := &t.Terms, &fresh.Terms
	for _, fixed := range []struct {
		key  string
		same bool
	}{{"my_number", old.Index == updated.Index}, {"peers_total", old.Schedulers == updated.Schedulers},
		{"zone", old.Zone == updated.Zone},
		{"zones", slices.Equal(t.Zones, fresh.Zones)}, {"kinds", slices.Equal(t.Kinds, fresh.Kinds)},
		{"weights", old.WeightShowsLoad == updated.WeightShowsLoad},
		{"domain", old.ReportsStart == updated.ReportsStart && t.X0IsFreeSlots == fresh.X0IsFreeSlots},
		{"membership_mode", old.PollsList == updated.PollsList}, {"report", t.WorkersReportLoad == fresh.WorkersReportLoad},
		{"policy_limits.peers", old.Messages == updated.Messages}} {
		if !fixed.same {
			kept = append(kept, fixed.key)
		}
	}
	// A scheme's zones and kinds are indexes into the lists of its own settings: with the lists that are kept they would
	// mean other workers.
	isBound := func(r balance.SchemeRow) bool { return r.Zones != 0 || r.Kinds != 0 }
	for _, key := range kept {
		if (key == "zones" || key == "kinds") && slices.ContainsFunc(updated.Schemes, isBound) {
			return t, nil, fmt.Errorf("settings: %s differ while schemes are bound to zones or kinds: a restart is needed", key)
		}
	}
	out = fresh
	terms := &out.Terms
	terms.Seed, terms.Index, terms.Schedulers, terms.Zone = old.Seed, old.Index, old.Schedulers, old.Zone
	terms.WeightShowsLoad, terms.ReportsStart = old.WeightShowsLoad, old.ReportsStart
	terms.PollsList, terms.Messages = old.PollsList, old.Messages
	out.Zones, out.Kinds, out.WorkersReportLoad, out.X0IsFreeSlots = t.Zones, t.Kinds, t.WorkersReportLoad, t.X0IsFreeSlots
	return out, kept, nil
}

// optionalKeys are the keys of a scheme that may be absent: some for any scheme, some for those that are not referenced.
var optionalKeys = []string{"aim_stretch", "key_scope", "kinds_open", "window", "zones_only"}

// MissingKey returns the path of a key that the JSON object old has and raw lacks, or "" if there is none or either can't be
// decoded. In an array of objects, each object of raw needs the keys that all objects of old have, but for optionalKeys in one whose
// name is new.
func MissingKey(old, raw json.RawMessage) string {
	var a, b any
	if json.Unmarshal(old, &a) != nil || json.Unmarshal(raw, &b) != nil {
		return ""
	}
	return missingKeyIn(a, b)
}

// missingKeyIn is MissingKey on decoded values.
func missingKeyIn(old, fresh any) string {
	switch old := old.(type) {
	case map[string]any:
		fresh, _ := fresh.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			if _, ok := fresh[key]; !ok {
				return key
			}
			if sub := missingKeyIn(old[key], fresh[key]); sub != "" {
				return key + "." + sub
			}
		}
	case []any:
		fresh, _ := fresh.([]any)
		rows := objects(old)
		if len(rows) == 0 {
			return ""
		}
		common := maps.Clone(rows[0])
		for _, row := range rows {
			maps.DeleteFunc(common, func(key string, _ any) bool { _, ok := row[key]; return !ok })
		}
		for _, key := range slices.Sorted(maps.Keys(common)) {
			for i, row := range objects(fresh) {
				if _, ok := row[key]; !ok && !(slices.Contains(optionalKeys, key) && isNewIn(rows, row)) {
					return strconv.Itoa(i) + "." + key
				}
			}
		}
	}
	return ""
}

// isNewIn tells whether an object has a name that none of the others has.
func isNewIn(rows []map[string]any, object map[string]any) bool {
	name, ok := object["name"].(string)
	return ok && !slices.ContainsFunc(rows, func(row map[string]any) bool { return row["name"] == name })
}

// objects returns those elements of a decoded array that are objects.
func objects(array []any) (rows []map[string]any) {
	for _, element := range array {
		if row, ok := element.(map[string]any); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// Load converts a worker's load report, by field name, to what package balance is told.
func (t *Settings) Load(report map[string]float64) balance.Load {
	load := balance.NoLoad
	if free, ok := report["x0"]; ok && t.X0IsFreeSlots && !math.IsInf(free, 0) && !math.IsNaN(free) {
		load.Free = free
	}
	return load
}

func usToMs(us int64) float64 { return float64(us) / 1000 }

// terms converts the settings to the terms of package balance.
func (in *settingsJSON) terms(seed uint64) (balance.Terms, error) {
	t := balance.Terms{Seed: seed, Index: in.SchedulerNumber, Schedulers: in.SchedulerCount, Zone: in.Zone,
		Tick: usToMs(in.TickUS), OverQuotaGainFactor: in.SurplusGain,
		MaxPostings: math.MaxInt, Hedging: in.Limits.ParallelTries, Cancels: in.Limits.Cancel, Messages: in.Limits.Peers,
		Probes: in.Limits.Probes, WorkerIdleTimeoutMs: usToMs(in.Limits.ConnIdleUS),
		NewConnectionCost: in.Fees.Handshake, MessageCost: in.Fees.Peer,
		WeightShowsLoad: in.Weights == "live",
		PollsList:       in.MembershipMode == "subscribe", ListPollIntervalMs: usToMs(in.Guarantees.MustAskInUS),
		ReportsStart:          in.Domain.TellsStart,
		SlowStartInitialShare: in.Guarantees.ColdFrom, SlowStartMs: usToMs(in.Guarantees.ColdUS),
		SlowStartWindowMs: usToMs(in.Guarantees.FallUS), SlowStartMultiple: in.Guarantees.FallMultiple}
	if in.Limits.MaxPostings != nil {
		t.MaxPostings = *in.Limits.MaxPostings
	}
	if in.Limits.RetryAfter {
		t.MaxStayAwayMs = usToMs(in.Limits.MaxRetryAfterUS)
	}
	for i, scheme := range in.Schemes {
		row := balance.SchemeRow{Name: scheme.Name, Window: usToMs(scheme.WindowUS), SLA: usToMs(scheme.SLATimeUS),
			Expiry:   usToMs(scheme.ExpiryUS),
			Gain:     scheme.Gain,
			LateGain: scheme.LateGain}
		// An unknown effect counts as the strictest.
		row.Effect = balance.OnceOnly
		switch scheme.Effect {
		case "retryable":
			row.Effect = balance.Repeatable
		case "dedup":
			row.Effect = balance.Referenced
		}
		row.Group = balance.GroupCell
		switch scheme.KeyScope {
		case "all":
			row.Group = balance.GroupAll
		case "zone":
			row.Group = balance.GroupZone
		}
		var err error
		if row.Zones, err = bitSet(scheme.ZonesOnly, in.Zones); err != nil {
			return t, fmt.Errorf("schemes[%d].zones_only: %w", i, err)
		}
		if row.Kinds, err = bitSet(scheme.KindsOpen, in.Kinds); err != nil {
			return t, fmt.Errorf("schemes[%d].kinds_open: %w", i, err)
		}
		if i < len(in.Domain.ClassKind) && in.Domain.ClassKind[i] >= 0 {
			row.Kinds = 1 << min(in.Domain.ClassKind[i], maxIndex)
		}
		if i < len(in.Domain.ClassStretch) {
			row.Stretch = in.Domain.ClassStretch[i]
		} else if scheme.AimStretch != nil {
			row.Stretch = *scheme.AimStretch
		}
		t.Schemes = append(t.Schemes, row)
	}
	for _, tenant := range in.Tenants {
		t.Quota = append(t.Quota, tenant.QuotaPerS)
	}
	rules := &in.Guarantees
	if rules.BudgetFree == nil && rules.ResendRatio == nil && rules.LookBackUS == nil {
		return t, nil
	}
	switch {
	case rules.LookBackUS == nil || *rules.LookBackUS <= 0:
		return t, fmt.Errorf("guarantees.look_back: want more than 0 us for the retry budget")
	case rules.BudgetFree != nil && *rules.BudgetFree < 0:
		return t, fmt.Errorf("guarantees.budget_free: %v, want 0 or more", *rules.BudgetFree)
	case rules.ResendRatio != nil && *rules.ResendRatio < 0:
		return t, fmt.Errorf("guarantees.resend_ratio: %v, want 0 or more", *rules.ResendRatio)
	}
	t.RetryBudgetWindowMs = usToMs(*rules.LookBackUS)
	if rules.BudgetFree != nil {
		t.RetryBudgetMin = *rules.BudgetFree
	}
	if rules.ResendRatio != nil {
		t.RetryBudgetRatio = *rules.ResendRatio
	}
	return t, nil
}

// maxIndex is the greatest index of a zone or kind that a scheme can be bound to: a scheme holds a bit for each.
const maxIndex = 63

// bitSet returns the set of the zones or kinds that a scheme is bound to, as bits by index. Each is given by its name
// or by its index in names. A nil list means no restriction. An empty list and an unknown element are errors: an
// unknown one must not open the scheme to all workers.
func bitSet(bound []any, names []string) (set uint64, err error) {
	if bound != nil && len(bound) == 0 {
		return 0, fmt.Errorf("the list is empty, so that no worker could run the scheme")
	}
	for _, element := range bound {
		index := -1
		switch x := element.(type) {
		case string:
			index = slices.Index(names, x)
		case float64:
			if index = int(x); float64(index) != x || len(names) > 0 && index >= len(names) {
				index = -1
			}
		}
		if index < 0 || index > maxIndex {
			return 0, fmt.Errorf("%v is not a known name or index", element)
		}
		set |= 1 << index
	}
	return set, nil
}
