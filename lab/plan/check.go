package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// FaultActions maps the values of Fault.Do to the targets that each acts on, separated by spaces, and to the values
// that its Fault.Factor may have: 0 none, 1 above 0 and up to 1, 2 above 0. After Fault.For the fault ends: workers
// and schedulers that it stopped start again.
var FaultActions = map[string]struct {
	On     string
	Factor int
}{
	"kill":      {"workers schedulers", 0},           // the process is killed
	"vanish":    {"workers", 0},                      // the machine falls silent: open connections stay open, new ones are never established
	"drain":     {"workers", 0},                      // drains, as the list says, and then stops
	"pause":     {"workers", 0},                      // runs nothing
	"slow":      {"workers", 2},                      // factor: multiplies its speed
	"neighbour": {"workers", 1},                      // factor: part of its cores that others use
	"erring":    {"workers", 1},                      // factor: part of its postings that fail
	"twice":     {"workers", 1},                      // factor: part of its answers that it sends twice
	"late":      {"workers", 1},                      // factor: part of its answers that it sends seconds late
	"other":     {"workers", 1},                      // factor: part of its answers that carry the id of another txn
	"stop":      {"schedulers", 0},                   // graceful shutdown
	"reload":    {"schedulers", 0},                   // reads its settings again
	"maintain":  {"workers", 0},                      // operators take it out, it restarts, and they put it back after For
	"retune":    {"schedulers", 0},                   // the settings of all schedulers change, and change back after For, see RetuneSwitchMs
	"clock":     {"schedulers", 2},                   // it is killed, and factor is by how many ms its clock has jumped when it restarts
	"mute":      {"schedulers", 0},                   // its open watch falls silent, and neither side notices
	"unwatch":   {"schedulers", 0},                   // the connection of its watch is reset
	"move":      {"schedulers", 0},                   // it is told of a new address of discovery
	"down":      {"discovery", 0},                    // answers no calls
	"lag":       {"discovery", 2},                    // factor: ms by which discovery learns of changes later
	"cut":       {"workers schedulers discovery", 0}, // network partition between On and To
	"lossy":     {"network", 1},                      // factor: part of the messages that is lost, beyond Network.Loss
	"delay":     {"network", 2},                      // factor: ms added to the delay of each message
	"reset":     {"workers", 1},                      // factor: part of the connections to them that are reset
	"burst":     {"clients", 2},                      // factor: multiplies the rate of arrivals
	"cancel":    {"clients", 1},                      // factor: part of the waiting clients that leave at once
}

// Check returns an error for the first invalid value of a plan, which names its key.
func (p *Plan) Check() error {
	invalid := func(key, format string, a ...any) error {
		return fmt.Errorf("%s: "+format, append([]any{key}, a...)...)
	}
	s := &p.Schedulers
	switch {
	case p.Name == "":
		return invalid("name", "is missing")
	case p.Length <= 0:
		return invalid("length", "is missing or 0")
	case s.Count < 1 || s.Count > 5000:
		return invalid("schedulers.count", "%d is not from 1 to 5000", s.Count)
	case len(s.Zones) == 0:
		return invalid("schedulers.zones", "is empty")
	case s.Tick <= 0:
		return invalid("schedulers.tick", "must be above 0")
	case s.MaxPosts < 1:
		return invalid("schedulers.max_postings", "%d is below 1", s.MaxPosts)
	case s.Dial <= 0:
		return invalid("schedulers.dial", "must be above 0")
	case s.StopFor < 700:
		return invalid("schedulers.stop_for", "must be 700ms or more, as new connections still arrive for so long")
	case len(p.Schemes) == 0:
		return invalid("scheme", "is missing; a plan needs at least one [[scheme]]")
	case len(p.Workers) == 0:
		return invalid("workers", "is missing; a plan needs at least one [[workers]]")
	}
	names := map[string]bool{}
	for i, c := range p.Schemes {
		key := fmt.Sprintf("scheme[%d].", i)
		switch {
		case c.Name == "" || names[c.Name] || strings.Trim(c.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "":
			return invalid(key+"name", "%q is missing, repeated or not of a-z, 0-9 and -", c.Name)
		case !slices.Contains([]string{"repeatable", "referenced", "once-only"}, c.Effect):
			return invalid(key+"effect", "%q is not repeatable, referenced or once-only", c.Effect)
		case !slices.Contains([]string{"all", "zone", "cell"}, c.Group):
			return invalid(key+"group", "%q is not all, zone or cell", c.Group)
		case c.Effect == "referenced" && c.Window <= 0:
			return invalid(key+"window", "is missing; a referenced scheme needs the time within which its group drops repeats")
		case c.SLA <= 0:
			return invalid(key+"sla", "is missing or 0")
		case c.Expiry < c.SLA:
			return invalid(key+"expiry", "is missing or below sla")
		case c.Gain <= 0:
			return invalid(key+"gain", "must be above 0")
		case c.Late < 0 || c.Late > 1:
			return invalid(key+"late", "%v is not from 0 to 1", c.Late)
		case c.Part <= 0:
			return invalid(key+"part", "must be above 0")
		case c.Hinted < 0 || c.Hinted > 1:
			return invalid(key+"hinted", "%v is not from 0 to 1", c.Hinted)
		case c.Rough < 0 || c.Rough > 3:
			return invalid(key+"rough", "%v is not from 0 to 3", c.Rough)
		case c.Kind != "" && !slices.Contains(p.Kinds(), c.Kind):
			return invalid(key+"kind", "no workers of kind %q", c.Kind)
		}
		names[c.Name] = true
		if err := c.Cost.check(); err != nil {
			return invalid(key+"cost", "%w", err)
		}
	}
	groups := map[string]bool{}
	for i, w := range p.Workers {
		key := fmt.Sprintf("workers[%d].", i)
		switch {
		case w.Name == "" || groups[w.Name] || strings.ContainsAny(w.Name, ":@ "):
			return invalid(key+"name", "%q is missing, repeated or has one of ':@ '", w.Name)
		case w.Count < 1 || w.Count > 100000:
			return invalid(key+"count", "%d is not from 1 to 100000", w.Count)
		case w.Cores <= 0:
			return invalid(key+"cores", "must be above 0")
		case w.Slots < 1:
			return invalid(key+"slots", "must be 1 or more")
		case w.Queue < 0:
			return invalid(key+"queue", "is below 0")
		case !slices.Contains([]string{"fifo", "backfill", "priority"}, w.Order):
			return invalid(key+"order", "%q is not fifo, backfill or priority", w.Order)
		case w.Speed <= 0:
			return invalid(key+"speed", "must be above 0")
		case w.CellSize < 1:
			return invalid(key+"cell_size", "must be 1 or more")
		case w.Joins >= p.Length:
			return invalid(key+"joins", "is not before length")
		case w.Noise < 0:
			return invalid(key+"noise", "is below 0")
		}
		groups[w.Name] = true
	}
	for i, c := range p.Schemes {
		fits := func(w Workers) bool { return w.Slots >= c.Slots && (c.Kind == "" || w.Kind == c.Kind) }
		if !slices.ContainsFunc(p.Workers, fits) {
			return invalid(fmt.Sprintf("scheme[%d].slots", i), "no worker that may run it has %d slots", c.Slots)
		}
	}
	if err := p.checkClientsAndNetwork(invalid); err != nil {
		return err
	}
	for i, f := range p.Faults {
		key := fmt.Sprintf("fault[%d].", i)
		action, ok := FaultActions[f.Do]
		kind, _, _, err := ParseTarget(f.On)
		switch {
		case !ok:
			return invalid(key+"do", "%q is no fault; see docs/lab.md", f.Do)
		case err != nil:
			return invalid(key+"on", "%w", err)
		case !slices.Contains(strings.Fields(action.On), kind):
			return invalid(key+"on", "%s acts on %s, not on %q", f.Do, action.On, f.On)
		case f.Share < 0 || f.Share > 1:
			return invalid(key+"share", "%v is not from 0 to 1", f.Share)
		case action.Factor == 0 && f.Factor != 0:
			return invalid(key+"factor", "%s takes no factor", f.Do)
		case action.Factor == 1 && (f.Factor <= 0 || f.Factor > 1):
			return invalid(key+"factor", "%v is not above 0 and up to 1", f.Factor)
		case action.Factor == 2 && f.Factor <= 0:
			return invalid(key+"factor", "must be above 0")
		case f.Do == "retune" && (f.Share != 1 || f.Over != 0 || f.On != "schedulers"):
			return invalid(key+"on", "a retune is of all schedulers at once: on must be \"schedulers\", share 1 and over 0")
		case f.Do == "retune" && f.For > 0 && f.For < minRetune:
			return invalid(key+"for", "a retune takes at least %v ms", float64(minRetune))
		case f.Do == "maintain" && f.For < 200:
			return invalid(key+"for", "is below 200 ms; the worker restarts in that time")
		case f.Do == "cut" && f.To == "":
			return invalid(key+"to", "is missing; a cut needs both of its sides")
		case f.Do != "cut" && f.To != "":
			return invalid(key+"to", "is set, but only a cut has a second side")
		case f.At >= p.Length:
			return invalid(key+"at", "is not before length")
		}
		if f.To != "" {
			if to, _, _, err := ParseTarget(f.To); err != nil || to == "clients" || to == "network" {
				return invalid(key+"to", "%q is not workers, schedulers or discovery", f.To)
			}
		}
		if kind == "workers" || kind == "schedulers" {
			if _, name, zone, _ := ParseTarget(f.On); name != "" && kind == "workers" && !groups[name] {
				return invalid(key+"on", "no workers are named %q", name)
			} else if zone != "" && !slices.Contains(p.Zones(), zone) {
				return invalid(key+"on", "no zone is named %q", zone)
			}
		}
	}
	return nil
}

// checkClientsAndNetwork checks the slow start, the clients, discovery and the network.
func (p *Plan) checkClientsAndNetwork(invalid func(key, format string, a ...any) error) error {
	c, cold, d, n := &p.Clients, &p.Cold, &p.Discovery, &p.Network
	switch {
	case cold.From <= 0 || cold.From > 1:
		return invalid("cold.from", "%v is not above 0 and up to 1", cold.From)
	case cold.Fall <= 0 || cold.For <= 0 || cold.Times <= 0 || cold.Slack < 0:
		return invalid("cold", "for, fall and times must be above 0, and slack 0 or more")
	case c.Arrivals != "trace" && (c.Load > 0) == (c.Rate > 0):
		return invalid("clients.load", "one of load and rate must be above 0")
	case !slices.Contains([]string{"poisson", "bursty", "ramp", "trace"}, c.Arrivals):
		return invalid("clients.arrivals", "%q is not poisson, bursty, ramp or trace", c.Arrivals)
	case c.Arrivals == "trace" && len(c.Trace) == 0:
		return invalid("clients.trace", "is empty")
	case c.Arrivals == "trace" && !slices.IsSorted(c.Trace):
		return invalid("clients.trace", "is not in order of time")
	case c.Arrivals == "bursty" && (c.Burst <= 1 || c.BurstFor <= 0):
		return invalid("clients.burst", "must be above 1, and burst_for above 0")
	case c.Arrivals == "ramp" && c.RampTo <= 0:
		return invalid("clients.ramp_to", "must be above 0")
	case c.Tries < 1:
		return invalid("clients.tries", "%d is below 1", c.Tries)
	case c.Impatient < 0 || c.Impatient > 1:
		return invalid("clients.impatient", "%v is not from 0 to 1", c.Impatient)
	case d.Mode != "watch" && d.Mode != "push":
		return invalid("discovery.mode", "%q is not watch or push", d.Mode)
	case d.Calls <= 0:
		return invalid("discovery.calls", "must be above 0")
	case d.MustAsk <= 0:
		return invalid("discovery.must_ask", "must be above 0")
	case d.Weights != "size" && d.Weights != "live":
		return invalid("discovery.weights", "%q is not size or live", d.Weights)
	case n.Loss < 0 || n.Loss >= 1:
		return invalid("network.loss", "%v is not from 0 to below 1", n.Loss)
	}
	for i, t := range c.Tenants {
		if t.Name == "" || t.Part <= 0 || t.Quota < 0 {
			return invalid(fmt.Sprintf("clients.tenant[%d]", i), "needs a name, a part above 0 and a quota of 0 or more")
		}
	}
	return nil
}

// ParseTarget parses the target of a fault: "workers", "schedulers", "discovery", "clients" or "network", then optionally
// ":NAME" (of a group of workers, or the number of a scheduler) and "@ZONE".
func ParseTarget(on string) (kind, name, zone string, err error) {
	kind, zone, _ = strings.Cut(on, "@")
	kind, name, _ = strings.Cut(kind, ":")
	if !slices.Contains([]string{"workers", "schedulers", "discovery", "clients", "network"}, kind) {
		err = fmt.Errorf("%q is not workers, schedulers, discovery, clients or network, with :NAME or @ZONE", on)
	}
	return kind, name, zone, err
}

// check returns an error where the distribution lacks a parameter or has an invalid one.
func (l *Distribution) check() error {
	switch {
	case l.Most > 0 && l.Most < l.Least:
		return fmt.Errorf("most %v ms is below least %v ms", float64(l.Most), float64(l.Least))
	case l.Law == "fixed" || l.Law == "exp":
		if l.Mean <= 0 {
			return fmt.Errorf("%s needs a mean above 0", l.Law)
		}
	case l.Law == "lognormal":
		if l.Median <= 0 || l.Sigma < 0 || l.Sigma > 4 {
			return fmt.Errorf("lognormal needs a median above 0 and a sigma from 0 to 4")
		}
	case l.Law == "pareto":
		if l.Least <= 0 || l.Alpha <= 0 || l.Most <= l.Least {
			return fmt.Errorf("pareto needs least above 0, most above that and alpha above 0")
		}
	default:
		return fmt.Errorf("law %q is not fixed, exp, lognormal or pareto", l.Law)
	}
	return nil
}

// Draw turns two draws that are uniform on [0, 1) into a duration in milliseconds.
func (l *Distribution) Draw(u, v float64) float64 {
	x := float64(l.Mean)
	switch l.Law {
	case "exp":
		x = -x * math.Log(1-u)
	case "lognormal":
		x = float64(l.Median) * math.Exp(l.Sigma*math.Sqrt(-2*math.Log(1-u))*math.Cos(2*math.Pi*v))
	case "pareto": // bounded Pareto, by the inverse of its distribution function
		lo, hi := math.Pow(float64(l.Least), l.Alpha), math.Pow(float64(l.Most), l.Alpha)
		x = math.Pow(-(u*hi-u*lo-hi)/(hi*lo), -1/l.Alpha)
	}
	x = max(x, float64(l.Least), 0.01)
	if l.Most > 0 {
		x = min(x, float64(l.Most))
	}
	return x
}

// ExpectedValue returns the mean of Draw in milliseconds. It is summed over a uniform grid, so that it includes the effect
// of Least and Most.
func (l *Distribution) ExpectedValue() float64 {
	const n = 200
	sum := 0.0
	for i := range n {
		u := (float64(i) + 0.5) / n
		if l.Law != "lognormal" {
			sum += l.Draw(u, 0) * n
			continue
		}
		for j := range n {
			sum += l.Draw(u, (float64(j)+0.5)/n)
		}
	}
	return sum / n / n
}
