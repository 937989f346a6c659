package plan

import (
	"fmt"
	"math/rand/v2"
)

// Random returns a small random plan that depends on the seed alone: a few schedulers and workers with varying
// settings, a scheme of each effect, and one to eight faults that may overlap. Many such plans are played to find
// violations of the auditor's rules.
func Random(seed uint64) *Plan {
	r := rand.New(rand.NewPCG(seed, 0x726f756768)) // stream "rough" in ASCII
	intBetween := func(from, to int) int { return from + r.IntN(to-from+1) }
	spanBetween := func(from, to int) Span { return Span(intBetween(from, to)) }
	chance := func(p float64) bool { return r.Float64() < p }
	oneOf := func(names ...string) string { return names[r.IntN(len(names))] }
	p := &Plan{Name: fmt.Sprint("rough-", seed), Seed: seed, Length: spanBetween(8000, 20000)}
	s := &p.Schedulers
	*s = Schedulers{Count: intBetween(1, 7), Zones: []string{"a", "b"}[:intBetween(1, 2)], Tick: 2, MaxPosts: intBetween(2, 8),
		Copies: chance(0.7), Cancels: chance(0.8), Probes: chance(0.7), Peers: chance(0.5), Advice: spanBetween(0, 2000),
		StopFor: 3000, Dial: spanBetween(200, 1000), Idle: 10000, OverShare: 0.3}
	p.Cold = Cold{From: 0.15 + 0.3*r.Float64(), For: spanBetween(4000, 12000), Fall: spanBetween(500, 2000),
		Times: 2 + 2*r.Float64(), Down: 6000}
	for i, effect := range []string{"repeatable", "referenced", "once-only"} {
		c := Scheme{Name: effect, Effect: effect, Group: oneOf("all", "zone", "cell"), Window: spanBetween(1000, 6000),
			SLA: spanBetween(500, 2000), Stretch: 2, Expiry: spanBetween(3000, 8000), Gain: float64(intBetween(1, 4)),
			Part: float64(intBetween(1, 5)), Hinted: hintedShare(r), Rough: 0.6 * r.Float64(), Cost: Distribution{Law: "lognormal", Median: spanBetween(30, 250),
				Sigma: 1.2 * r.Float64(), Most: 3000}}
		if chance(0.6) {
			c.Late = 0.2
		}
		if chance(0.3) {
			c.Keys = intBetween(5, 50)
		}
		if i == 0 && chance(0.3) {
			c.Slots = 2
		}
		p.Schemes = append(p.Schemes, c)
	}
	for i := range intBetween(1, 2) {
		w := Workers{Name: string(rune('w' + i)), Count: intBetween(3, 9), CellSize: intBetween(1, 3), Cores: float64(intBetween(2, 6)),
			Queue: intBetween(0, 8), Order: oneOf("fifo", "backfill", "priority"), Speed: 0.5 + r.Float64(),
			RunsOn: chance(0.3), HandBack: chance(0.5), DrainFor: spanBetween(1000, 5000)}
		w.Slots = int(w.Cores) + intBetween(0, 2)
		if chance(0.4) {
			w.ReportsEach, w.Noise = spanBetween(100, 2000), 2*r.Float64()
		}
		if chance(0.3) {
			w.Checkpoint = 100
		}
		p.Workers = append(p.Workers, w)
	}
	if chance(0.3) {
		p.Workers = append(p.Workers, Workers{Name: "grown", Count: intBetween(1, 6), CellSize: 2, Cores: 4, Slots: 4,
			Queue: 4, DrainFor: 3000, Joins: spanBetween(2000, 6000)})
	}
	p.Clients = Clients{Load: 0.3 + 0.9*r.Float64(), Arrivals: oneOf("poisson", "bursty", "ramp"), Burst: 4,
		BurstFor: 1000, RampTo: 2, Tries: intBetween(1, 4), Backoff: spanBetween(100, 600), Impatient: 0.05 * r.Float64(),
		FrontLag: spanBetween(500, 3000)}
	if chance(0.3) {
		p.Clients.Tenants = []Tenant{{Name: "big", Quota: 30, Part: 3}, {Name: "small", Quota: 10, Part: 1}}
	}
	p.Discovery = Discovery{Mode: oneOf("watch", "watch", "push"), Lag: spanBetween(20, 800), Calls: float64(intBetween(20, 500)),
		MustAsk: 10000, Grace: 50, Weights: oneOf("size", "size", "live"), LiveEach: 1000}
	p.Network = Network{Delay: Span(0.2 + 3*r.Float64()), Jitter: Span(4 * r.Float64()), Resend: 200}
	if chance(0.4) {
		p.Network.Loss = 0.02 * r.Float64()
	}
	for range intBetween(1, 8) {
		p.Faults = append(p.Faults, randomFault(r, p))
	}
	p.setDefaults()
	return p
}

// RandomWithOperators returns Random's plan of a seed with operator actions added: workers are taken out for maintenance
// and the settings change.
func RandomWithOperators(seed uint64) *Plan {
	p := Random(seed)
	r := rand.New(rand.NewPCG(seed, 0x7374616666)) // stream "staff" in ASCII
	timeWithin := func(part float64) Span { return Span(float64(int(part * r.Float64() * float64(p.Length)))) }
	for range 1 + r.IntN(3) {
		p.Faults = append(p.Faults, Fault{Do: "maintain", On: "workers", At: timeWithin(0.7), For: Span(500 + r.IntN(4000)),
			Share: 0.1 + 0.3*r.Float64(), Over: Span(r.IntN(3000))})
	}
	p.Faults = append(p.Faults, Fault{Do: "retune", On: "schedulers", Share: 1, At: timeWithin(0.5),
		For: minRetune + Span(r.IntN(6000))})
	p.Name = fmt.Sprint("operated-", seed)
	p.setDefaults()
	return p
}

// RandomWatchFaults returns a random plan, of 2 to 350 schedulers, in which schedulers learn late or never that workers
// leave: watches fall silent, are reset or moved, or discovery is down or cut off, while workers drain.
func RandomWatchFaults(seed uint64) *Plan {
	p := Random(seed)
	r := rand.New(rand.NewPCG(seed, 0x746f6c64)) // stream "told" in ASCII
	spanBetween := func(from, to int) Span { return Span(from + r.IntN(to-from+1)) }
	n := []int{2, 3, 6, 8, 20, 60, 150, 350}[r.IntN(8)]
	p.Name, p.Length, p.Schedulers.Count = fmt.Sprint("told-", seed), spanBetween(18000, 26000), n
	p.Schedulers.Tick = 2
	p.Workers = []Workers{{Name: "w", Count: 6 + r.IntN(20) + n*2/3, CellSize: 3, Cores: 4, Slots: 4, Queue: 4,
		HandBack: r.IntN(2) == 0, DrainFor: []Span{300, 1500, 8000, 60000}[r.IntN(4)]}}
	p.Cold = Cold{From: 0.3, For: 10000, Fall: 2000, Times: 4, Down: 6000}
	for i := range p.Schemes {
		p.Schemes[i].Keys, p.Schemes[i].Slots = 0, 1
	}
	p.Clients.Load, p.Clients.Arrivals, p.Clients.Tenants = 0.15+0.25*r.Float64(), "poisson", nil
	p.Discovery = Discovery{Mode: "watch", Lag: spanBetween(20, 900), MustAsk: spanBetween(4000, 12000), Weights: "size", LiveEach: 1000,
		Grace: []Span{150, 500, 750, 2000}[r.IntN(4)], Calls: 10 + float64(n)/(0.5+7*r.Float64())}
	p.Network.Loss = 0 // what discovery wrote counts as received, but a lost message would arrive later, by Network.Resend
	p.Faults = nil
	for range 1 + r.IntN(3) {
		at := spanBetween(int(p.Length)/8, int(p.Length)/2)
		f := Fault{At: at, On: "schedulers", Share: 0.3 + 0.7*r.Float64()}
		if r.IntN(2) == 0 {
			f.Share, f.Over = 1, spanBetween(0, 3000)
		}
		switch f.Do = []string{"mute", "mute", "mute", "unwatch", "move", "down", "cut", "kill"}[r.IntN(8)]; f.Do {
		case "down":
			f.On, f.For, f.Share, f.Over = "discovery", spanBetween(500, 9000), 1, 0
		case "cut":
			f.To, f.For = "discovery", spanBetween(500, 9000)
		case "kill":
			f.For = spanBetween(200, 2000)
		}
		drain := Fault{Do: "drain", On: "workers", At: at + spanBetween(0, 7000), Over: spanBetween(0, 2000),
			Share: 0.1 + 0.3*r.Float64(), For: spanBetween(2000, 20000)}
		p.Faults = append(p.Faults, f, drain)
		// A delay by which the news of the drain arrives within the grace period, and new connections are established only
		// after it.
		if r.IntN(3) == 0 && len(p.Faults) == 2 {
			p.Faults = append(p.Faults, Fault{Do: "delay", On: "network", Share: 1, At: drain.At, For: 4000,
				Factor: min(0.5*float64(p.Discovery.Grace), 300)})
		}
	}
	p.setDefaults()
	return p
}

// hintedShare draws a value for Scheme.Hinted.
func hintedShare(r *rand.Rand) float64 { return []float64{0, 0.5, 1, 1}[r.IntN(4)] }

// randomFault draws one fault.
func randomFault(r *rand.Rand, p *Plan) Fault {
	length := float64(p.Length)
	f := Fault{At: Span(float64(int(0.8 * length * r.Float64()))), For: Span(500 + r.IntN(5000)),
		Share: 0.1 + 0.6*r.Float64(), Over: Span(r.IntN(3000))}
	actions := []string{"kill", "vanish", "drain", "pause", "slow", "neighbour", "erring", "twice", "late", "other",
		"reset", "kill scheduler", "stop scheduler", "down", "lag", "cut", "lossy", "delay", "burst", "cancel"}
	f.On = "workers"
	switch f.Do = actions[r.IntN(len(actions))]; f.Do {
	case "slow":
		f.Factor = 0.1 + r.Float64()
	case "neighbour", "erring", "twice", "late", "other", "reset":
		f.Factor = 0.1 + 0.8*r.Float64()
	case "kill scheduler", "stop scheduler":
		f.Do, f.On = f.Do[:4], "schedulers"
	case "down":
		f.On = "discovery"
	case "lag":
		f.On, f.Factor = "discovery", float64(100+r.IntN(4000))
	case "cut":
		f.On, f.To = "schedulers", "workers"
		if r.IntN(3) == 0 {
			f.To = "discovery"
		}
	case "lossy":
		f.On, f.Factor = "network", 0.3*r.Float64()+0.01
	case "delay":
		f.On, f.Factor = "network", float64(5+r.IntN(200))
	case "burst":
		f.On, f.Factor = "clients", 1.5+3*r.Float64()
	case "cancel":
		f.On, f.Factor = "clients", 0.2+0.7*r.Float64()
	}
	return f
}
