package plan

import (
	"fmt"
	"slices"

	"shalebeam/balance"
	"shalebeam/lab/machine"
)

// PlacedWorker is one worker of the fleet. Zone and Kind are indexes in Plan.Zones and Plan.Kinds; cells are numbered from
// 0.
type PlacedWorker struct {
	Name             string
	Group            int // index in Plan.Workers
	Zone, Cell, Kind int
}

// PlacedWorkers returns all workers: a group's workers are assigned to its zones round-robin, and those of one zone fill
// one cell after another.
func (p *Plan) PlacedWorkers() (placedWorkers []PlacedWorker) {
	zones, kinds := p.Zones(), p.Kinds()
	cells := 0
	for g, w := range p.Workers {
		lastCell := map[int][2]int{} // by zone: the cell that is being filled, and how many workers it has
		for i := range w.Count {
			zone := slices.Index(zones, w.Zones[i%len(w.Zones)])
			cell, ok := lastCell[zone]
			if !ok || cell[1] == w.CellSize {
				cell = [2]int{cells, 0}
				cells++
			}
			cell[1]++
			lastCell[zone] = cell
			placedWorkers = append(placedWorkers, PlacedWorker{Name: fmt.Sprintf("%s%d", w.Name, i), Group: g, Zone: zone, Cell: cell[0],
				Kind: slices.Index(kinds, w.Kind)})
		}
	}
	return placedWorkers
}

// Spec returns the specification of a worker of a group. meanWork is the mean cost of a txn, see MeanWork. The limit
// above which the worker fails in slow start is higher by Cold.Slack than the one in Terms.
func (p *Plan) Spec(group int, meanWork float64) machine.Spec {
	w := p.Workers[group]
	return machine.Spec{Cores: w.Cores, Speed: w.Speed, Slots: w.Slots, Queue: w.Queue, Order: w.Order,
		IgnoresCancel: w.RunsOn, ReturnsQueuedOnDrain: w.HandBack, ColdFrom: p.Cold.From, ColdFor: float64(p.Cold.For),
		OverloadWindowMs: float64(p.Cold.Fall), OverloadMultiple: p.Cold.Times * (1 + p.Cold.Slack), MeanWork: meanWork,
		Checkpoint: float64(w.Checkpoint)}
}

// effects maps the values of Scheme.Effect.
var effects = map[string]balance.RepeatEffect{"repeatable": balance.Repeatable, "referenced": balance.Referenced,
	"once-only": balance.OnceOnly}

// groups maps the values of Scheme.Group.
var groups = map[string]balance.DedupGroup{"all": balance.GroupAll, "zone": balance.GroupZone,
	"cell": balance.GroupCell}

// SchemeRow returns the settings of scheme i in the form that package balance takes.
func (p *Plan) SchemeRow(i int) balance.SchemeRow {
	c := p.Schemes[i]
	row := balance.SchemeRow{Name: c.Name, Effect: effects[c.Effect], Group: groups[c.Group], Window: float64(c.Window),
		SLA: float64(c.SLA), Stretch: c.Stretch, Expiry: float64(c.Expiry), Gain: c.Gain, LateGain: c.Late}
	if c.Kind != "" {
		row.Kinds = 1 << slices.Index(p.Kinds(), c.Kind)
	}
	return row
}

// Terms returns the settings of scheduler number me for a start with this seed.
func (p *Plan) Terms(me int, seed uint64) balance.Terms {
	s, d, c := &p.Schedulers, &p.Discovery, &p.Cold
	t := balance.Terms{Seed: seed, Index: me, Schedulers: s.Count, Zone: me % len(s.Zones), Tick: float64(s.Tick),
		OverQuotaGainFactor: s.OverShare, MaxPostings: s.MaxPosts, Hedging: s.Copies, Cancels: s.Cancels, Probes: s.Probes,
		Messages: s.Peers, MessageCost: s.PeerPrice, PollsList: d.Mode == "watch", ListPollIntervalMs: float64(d.MustAsk),
		ReportsStart: true, WeightShowsLoad: d.Weights == "live", MaxStayAwayMs: float64(s.Advice),
		SlowStartInitialShare: c.From, SlowStartMs: float64(c.For), SlowStartWindowMs: float64(c.Fall), SlowStartMultiple: c.Times}
	for i := range p.Schemes {
		t.Schemes = append(t.Schemes, p.SchemeRow(i))
	}
	for _, tenant := range p.Clients.Tenants {
		t.Quota = append(t.Quota, tenant.Quota)
	}
	return t
}
