// Package plan reads and checks experiment files: the workers, schedulers, clients and network, the work that
// arrives, and the faults to inject. The format is TOML; docs/lab.md describes every key. All times are written
// with a unit ("250ms", "2s", "1m30s"), because a bare number is easily wrong by a factor of 1,000.
package plan

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span is a duration in milliseconds. In an experiment file it is written with its unit.
type Span float64

// UnmarshalText reads a span such as "250ms".
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a time with a unit, such as \"250ms\" or \"2s\"", b)
	}
	if d < 0 {
		return fmt.Errorf("time %q is below 0", b)
	}
	*s = Span(float64(d) / float64(time.Millisecond))
	return nil
}

// MarshalText writes the span in the form that UnmarshalText reads.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(float64(s) * float64(time.Millisecond)).String()), nil
}

// Plan is one experiment, as its file describes it. Times are milliseconds.
type Plan struct {
	Name       string     `toml:"name"`
	About      string     `toml:"about,omitempty"`
	Seed       uint64     `toml:"seed"`
	Length     Span       `toml:"length"` // how long new jobs arrive; the run then continues until all jobs have ended
	Schedulers Schedulers `toml:"schedulers"`
	Schemes    []Scheme   `toml:"scheme"`
	Workers    []Workers  `toml:"workers"`
	Cold       Cold       `toml:"cold"`
	Clients    Clients    `toml:"clients"`
	Discovery  Discovery  `toml:"discovery"`
	Network    Network    `toml:"network"`
	Faults     []Fault    `toml:"fault,omitempty"`
}

// Schedulers describes the schedulers: how many there are, where they run and which features they may use.
type Schedulers struct {
	Count    int      `toml:"count"`
	Zones    []string `toml:"zones"`        // schedulers are assigned to these zones round-robin
	Tick     Span     `toml:"tick"`         // shortest delay after which a scheduler can poll again
	MaxPosts int      `toml:"max_postings"` // postings that one txn may have in all
	Copies   bool     `toml:"copies"`       // a txn may have two postings in flight
	Cancels  bool     `toml:"cancels"`      // postings can be cancelled
	Probes   bool     `toml:"probes"`       // workers answer probes
	Peers    bool     `toml:"peers"`        // schedulers may send one another datagrams
	// Cost of a message of 256 bytes for each txn, as a part of the gain of all txns. Schedulers are told of it; nothing
	// is subtracted from the measured gain.
	PeerPrice float64 `toml:"peer_price"`
	Advice    Span    `toml:"advice"`     // longest retry delay that a client can be told; 0: none can be told
	StopFor   Span    `toml:"stop_for"`   // longest duration of a graceful shutdown
	Dial      Span    `toml:"dial"`       // timeout of a connection attempt
	Idle      Span    `toml:"idle"`       // idle timeout of connections to workers
	OverShare float64 `toml:"over_share"` // part of its gain that a txn beyond its tenant's quota is worth
}

// Scheme is one kind of txn.
type Scheme struct {
	Name    string       `toml:"name"`
	Effect  string       `toml:"effect"`           // repeatable, referenced, once-only
	Group   string       `toml:"group,omitempty"`  // workers that drop repeats of a referenced txn: all, zone, cell
	Window  Span         `toml:"window,omitempty"` // how long that group drops repeats
	SLA     Span         `toml:"sla"`
	Stretch float64      `toml:"stretch,omitempty"` // the SLA time is longer by this many times the txn's run time
	Expiry  Span         `toml:"expiry"`
	Gain    float64      `toml:"gain"`
	Late    float64      `toml:"late,omitempty"`   // part of the gain that an answer after the SLA time earns
	Part    float64      `toml:"part"`             // weight of this scheme among the arrivals of all schemes
	Kind    string       `toml:"kind,omitempty"`   // the only kind of worker that runs it; "": every kind
	Keys    int          `toml:"keys,omitempty"`   // number of distinct data keys that its txns refer to; 0: none
	Slots   int          `toml:"slots,omitempty"`  // worker slots that a txn takes
	Cost    Distribution `toml:"cost"`             // run time at speed 1
	Hinted  float64      `toml:"hinted,omitempty"` // part of its txns that carry a run time hint
	Rough   float64      `toml:"rough,omitempty"`  // error of the hint: sigma of its lognormal factor
}

// Distribution is a distribution of durations.
type Distribution struct {
	Law    string  `toml:"law"` // fixed, exp, lognormal, pareto
	Mean   Span    `toml:"mean,omitempty"`
	Median Span    `toml:"median,omitempty"`
	Sigma  float64 `toml:"sigma,omitempty"`
	Least  Span    `toml:"least,omitempty"`
	Most   Span    `toml:"most,omitempty"` // 0: no upper bound
	Alpha  float64 `toml:"alpha,omitempty"`
}

// Workers is one group of identical workers.
type Workers struct {
	Name        string   `toml:"name"`
	Count       int      `toml:"count"`
	Zones       []string `toml:"zones"` // workers are assigned to these zones round-robin
	CellSize    int      `toml:"cell_size,omitempty"`
	Kind        string   `toml:"kind,omitempty"`
	Cores       float64  `toml:"cores"`
	Slots       int      `toml:"slots"`
	Queue       int      `toml:"queue,omitempty"`        // length of the worker's queue, in postings
	Order       string   `toml:"order,omitempty"`        // order of the queue: fifo, backfill, priority
	Speed       float64  `toml:"speed,omitempty"`        // run time is divided by this
	Joins       Span     `toml:"joins,omitempty"`        // when the workers start, cold; 0: they run from the start
	RunsOn      bool     `toml:"runs_on,omitempty"`      // a cancelled posting runs to its end
	HandBack    bool     `toml:"hand_back,omitempty"`    // a draining worker returns the postings that have not started
	DrainFor    Span     `toml:"drain_for,omitempty"`    // a drain ends after this; postings that still run are lost
	Checkpoint  Span     `toml:"checkpoint,omitempty"`   // work between checkpoints, from which a later run in the same cell resumes
	ReportsEach Span     `toml:"reports_each,omitempty"` // interval of load reports and so their greatest age; 0: no reports
	Noise       float64  `toml:"noise,omitempty"`        // greatest error of the free slots in a load report
}

// Cold describes the slow start of workers, and the overload that makes a worker in slow start fail.
type Cold struct {
	From  float64 `toml:"from"`  // part of its capacity that a worker has just after its start
	For   Span    `toml:"for"`   // time from its start until it has its full capacity
	Fall  Span    `toml:"fall"`  // window over which the work sent to it is summed
	Times float64 `toml:"times"` // it fails when sent more than this many times its capacity in that window
	Down  Span    `toml:"down"`  // time after which a failed worker starts again
	Slack float64 `toml:"slack"` // part by which the workers' real limit is above the one in Times that schedulers are told
}

// Clients describes how txns arrive and how clients behave.
type Clients struct {
	Load      float64  `toml:"load,omitempty"`      // offered load as a part of the warm fleet's capacity, by mean cost
	Rate      float64  `toml:"rate,omitempty"`      // txns per second, in place of load
	Arrivals  string   `toml:"arrivals"`            // poisson, bursty, ramp, trace
	Burst     float64  `toml:"burst,omitempty"`     // bursty: rate of a burst as a multiple of the mean rate
	BurstFor  Span     `toml:"burst_for,omitempty"` // bursty: mean duration of a burst
	RampTo    float64  `toml:"ramp_to,omitempty"`   // ramp: rate at the end as a multiple of the rate at the start
	Trace     []Span   `toml:"trace,omitempty"`     // trace: times of arrival
	Tries     int      `toml:"tries"`               // greatest number of attempts of a client, the first one included
	Backoff   Span     `toml:"backoff"`             // mean delay before a client's first retry; it doubles with each further one
	Impatient float64  `toml:"impatient,omitempty"` // part of the clients that leave before their SLA time is over
	Tenants   []Tenant `toml:"tenant,omitempty"`
	FrontLag  Span     `toml:"front_lag"`           // time until the load balancer before the schedulers notices a dead one
	SlowRead  Span     `toml:"slow_read,omitempty"` // greatest time that a client takes to read its answer
}

// Tenant is one of the clients' tenants.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // txns per second; 0: no quota
	Part  float64 `toml:"part"`  // weight of this tenant among the arrivals of all tenants
}

// Discovery describes how the list of workers reaches the schedulers.
type Discovery struct {
	Mode     string  `toml:"mode"`                // watch, push
	Lag      Span    `toml:"lag"`                 // time until discovery learns of a change
	Calls    float64 `toml:"calls"`               // calls that it serves per second, one after another
	MustAsk  Span    `toml:"must_ask"`            // a scheduler has to ask for the list at least this often
	Grace    Span    `toml:"grace"`               // after a scheduler is told of a drain it may still post to the worker for so long
	Weights  string  `toml:"weights,omitempty"`   // size, live
	LiveEach Span    `toml:"live_each,omitempty"` // live: interval at which all weights are updated
}

// Network describes the delay and the loss of messages.
type Network struct {
	Delay  Span    `toml:"delay"`
	Jitter Span    `toml:"jitter,omitempty"` // greatest random addition to Delay
	Loss   float64 `toml:"loss,omitempty"`   // part of the datagrams that is lost; other messages arrive later by Resend
	Resend Span    `toml:"resend,omitempty"` // retransmission timeout
}

// Fault is one injected fault.
type Fault struct {
	At     Span    `toml:"at"`
	For    Span    `toml:"for,omitempty"`    // duration; 0: it does not end
	Do     string  `toml:"do"`               // a key of FaultActions
	On     string  `toml:"on,omitempty"`     // the target, see Part
	To     string  `toml:"to,omitempty"`     // cut: the other side
	Share  float64 `toml:"share,omitempty"`  // part of the members of On that are hit, drawn by the seed
	Factor float64 `toml:"factor,omitempty"` // see FaultActions
	Over   Span    `toml:"over,omitempty"`   // the members are hit one after another within this time
}

// Load reads, completes and checks an experiment file; see Parse.
func Load(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Parse reads an experiment, sets the defaults of missing keys and checks it. An error names the key.
func Parse(raw []byte) (*Plan, error) {
	p := &Plan{Seed: 1,
		Schedulers: Schedulers{Count: 1, Zones: []string{"a"}, Tick: 2, MaxPosts: 6, Dial: 1000, Idle: 10000,
			StopFor: 3000, OverShare: 1},
		Cold:    Cold{From: 0.25, For: 20000, Fall: 2000, Times: 3, Down: 30000},
		Clients: Clients{Arrivals: "poisson", Tries: 1, Backoff: 500, FrontLag: 3000},
		Discovery: Discovery{Mode: "watch", Lag: 100, Calls: 500, MustAsk: 10000, Grace: 50, Weights: "size",
			LiveEach: 1000},
		Network: Network{Delay: 1, Resend: 200}}
	decoder := toml.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(p); err != nil {
		return nil, tomlError(err)
	}
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		return nil, tomlError(err)
	}
	if err := checkUnits(tree, reflect.TypeFor[Plan](), ""); err != nil {
		return nil, err
	}
	p.setDefaults()
	return p, p.Check()
}

// checkUnits returns an error for a Span that was written as a bare number, which the TOML decoder accepts.
func checkUnits(node any, t reflect.Type, key string) error {
	switch node := node.(type) {
	case []any:
		for i, x := range node {
			if err := checkUnits(x, t.Elem(), fmt.Sprintf("%s[%d]", key, i)); err != nil {
				return err
			}
		}
	case map[string]any:
		for i := range t.NumField() {
			f := t.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
			if x, ok := node[name]; ok {
				if err := checkUnits(x, f.Type, strings.TrimPrefix(key+"."+name, ".")); err != nil {
					return err
				}
			}
		}
	case int64, float64:
		if t == reflect.TypeFor[Span]() {
			return fmt.Errorf("%s: %v has no unit; write it as \"250ms\" or \"2s\"", key, node)
		}
	}
	return nil
}

// tomlError turns an error of the TOML decoder into one line with the key.
func tomlError(err error) error {
	var unknownKey *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &unknownKey) && len(unknownKey.Errors) > 0:
		e := unknownKey.Errors[0]
		row, _ := e.Position()
		return fmt.Errorf("line %d: %s: no such key", row, strings.Join(e.Key(), "."))
	case errors.As(err, &decodeErr):
		row, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			key = "syntax"
		}
		return fmt.Errorf("line %d: %s: %s", row, key, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return err
}

// setDefaults sets the defaults of what the schemes, workers and faults leave out.
func (p *Plan) setDefaults() {
	for i := range p.Schemes {
		s := &p.Schemes[i]
		if s.Group == "" {
			s.Group = "all"
		}
		s.Slots = max(s.Slots, 1)
	}
	for i := range p.Workers {
		w := &p.Workers[i]
		if len(w.Zones) == 0 {
			w.Zones = p.Schedulers.Zones
		}
		if w.Kind == "" {
			w.Kind = w.Name // workers of one kind are identical, so each group is a kind of its own
		}
		if w.CellSize == 0 {
			w.CellSize = 4
		}
		if w.Order == "" {
			w.Order = "fifo"
		}
		if w.Speed == 0 {
			w.Speed = 1
		}
		if w.DrainFor == 0 {
			w.DrainFor = 10000
		}
	}
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Share == 0 {
			f.Share = 1
		}
	}
}

// Kinds returns the kinds of workers in the order in which the plan first names them.
func (p *Plan) Kinds() (kinds []string) {
	for _, w := range p.Workers {
		if !slices.Contains(kinds, w.Kind) {
			kinds = append(kinds, w.Kind)
		}
	}
	return kinds
}

// Zones returns all zones that the plan names, those of the schedulers first.
func (p *Plan) Zones() []string {
	zones := slices.Clone(p.Schedulers.Zones)
	for _, w := range p.Workers {
		for _, z := range w.Zones {
			if !slices.Contains(zones, z) {
				zones = append(zones, z)
			}
		}
	}
	return zones
}

// WorkerCount returns the number of workers.
func (p *Plan) WorkerCount() (n int) {
	for _, w := range p.Workers {
		n += w.Count
	}
	return n
}

// ArrivalsPerSecond returns the mean rate of arrivals in txns per second: Clients.Rate or, without it, Clients.Load times
// the capacity of the workers that run from the start.
func (p *Plan) ArrivalsPerSecond() float64 {
	if p.Clients.Rate > 0 {
		return p.Clients.Rate
	}
	capacity := 0.0
	for _, w := range p.Workers {
		if w.Joins == 0 {
			capacity += float64(w.Count) * min(w.Cores, float64(w.Slots)) * w.Speed
		}
	}
	return p.Clients.Load * capacity * 1000 / p.MeanWork()
}

// MeanWork returns the mean cost of a txn, in milliseconds of one core at speed 1.
func (p *Plan) MeanWork() float64 {
	weights, work := 0.0, 0.0
	for _, s := range p.Schemes {
		weights += s.Part
		work += s.Part * s.Cost.ExpectedValue() * float64(s.Slots)
	}
	return work / weights
}
