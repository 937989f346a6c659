package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"shalebeam/http1"
)

// What an owner of the fleet may tell this scheduler. A call of staff's own carries nothing of this and is as it ever
// was. A fleet's carries the matter, its owner's number and the start of the scheduler that it is meant for: an owner
// that was replaced may not know it yet, and its calls may lie in a stalled link for minutes.

const (
	fenceField  = "fleet-fence" // MATTER NUMBER
	startField  = "fleet-start"
	changeField = "fleet-change" // the number of the change on record, of a call on a worker
	mostMatters = 256            // that a number is kept of; the fleet has one a zone
	mostStaffed = 4096           // workers of which it is kept that they are out; told by the fleet before the list names them
	agentMost   = 2 * time.Second
	agentBytes  = 1 << 20
)

// fenced is what such a call carries.
type fenced struct {
	matter string
	number uint64
	start  string
	change uint64
}

// fleet is what this scheduler keeps of it.
type fleet struct {
	start   string            // tells this start from others; an upgrade goes on with it
	numbers map[string]uint64 // the highest of each matter that was seen
}

func (f *fleet) init() {
	*f = fleet{start: strconv.FormatUint(rand.Uint64()|1<<63, 16), numbers: map[string]uint64{}}
}

// fencedBy reads what a call carries, nil where it is staff's own.
func fencedBy(q *http1.Request) (*fenced, error) {
	text, ok := q.Fields().Get(fenceField)
	if !ok {
		return nil, nil
	}
	matter, number, _ := strings.Cut(text, " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || matter == "" || len(matter) > 200 || n == 0 {
		return nil, fmt.Errorf("fleet-fence is to be a matter and a number above 0")
	}
	start, ok := q.Fields().Get(startField)
	if !ok {
		return nil, fmt.Errorf("fleet-start is missing")
	}
	c := &fenced{matter: matter, number: n, start: start}
	if text, ok := q.Fields().Get(changeField); ok {
		if c.change, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, fmt.Errorf("fleet-change is to be a number")
		}
	}
	return c, nil
}

// passes tells whether such a call counts, else how it is answered.
func (f *fleet) passes(c *fenced) (status int, body string) {
	switch known, ok := f.numbers[c.matter]; {
	case c.start != f.start && !planted("former-start"):
		// What was meant for a former life that has ended: this one remembers no number to judge it by.
		return 409, "start " + f.start + "\n"
	case c.number < known && !planted("no-fence"):
		return 409, fmt.Sprintf("fence %s %d\n", c.matter, known)
	case !ok && len(f.numbers) >= mostMatters:
		return 503, "no room for one more matter\n"
	}
	return 0, ""
}

// known is what the fleet asks before it tells anything.
type known struct {
	Name   string            `json:"name"`
	Start  string            `json:"start"`
	Fences map[string]uint64 `json:"fences"`
	Out    map[string]string `json:"out"` // workers that the fleet took out, and the matter
	Phase  string            `json:"phase"`
	Txns   finals            `json:"txns"`
	// Workers are those that the list has running, of the zone that was asked for: "warm", "cold", or "busy" for one that is
	// out while postings of this scheduler still run there.
	Workers map[string]string `json:"workers,omitempty"`
	Stale   bool              `json:"stale,omitempty"`
}

// finals counts the answers of this process, by what came of the txn.
type finals struct {
	Settled  int `json:"settled"`
	Declined int `json:"declined"`
	Reversed int `json:"reversed"`
}

func (o *ops) known(zone string) string {
	k := known{Name: o.s.node.Name, Start: o.fleet.start, Fences: o.fleet.numbers, Out: map[string]string{},
		Phase: o.s.phase.String(), Txns: o.s.drive.finals}
	if zone != "" {
		k.Workers = map[string]string{}
		zones := o.s.node.told.Zones
		o.s.drive.mod.Shown(o.s.now(), func(id string, at int, cold bool, own int) {
			switch {
			case at < 0 || at >= len(zones) || zones[at] != zone:
			case o.staffed[id].out() && own > 0:
				k.Workers[id] = "busy"
			case cold:
				k.Workers[id] = "cold"
			default:
				k.Workers[id] = "warm"
			}
		})
	}
	for id, r := range o.staffed {
		if r.out() && r.Fleet != "" {
			k.Out[id] = r.Fleet
		}
	}
	raw, _ := json.Marshal(k) // strings and numbers alone
	return string(raw) + "\n"
}

// fence takes a new owner's number alone: from the yes on nothing of its predecessors counts here.
func (o *ops) fence(c *fenced) (status int, body string) {
	return o.change(c, func(in *records) (int, string) { return 200, "done\n" })
}

// change carries out a call under the lock that both processes of an upgrade share, where its number counts.
func (o *ops) change(c *fenced, do func(in *records) (int, string)) (status int, body string) {
	err := o.s.handover.keep(func(in *records) bool {
		for m, n := range in.Fences {
			o.fleet.numbers[m] = max(o.fleet.numbers[m], n)
		}
		if c != nil {
			if status, body = o.fleet.passes(c); status != 0 {
				return false
			}
			if c.number > o.fleet.numbers[c.matter] {
				o.s.log.Printf("msg=fence matter=%q number=%d", c.matter, c.number)
			}
			o.fleet.numbers[c.matter] = max(c.number, o.fleet.numbers[c.matter])
			in.Fences = maps.Clone(o.fleet.numbers)
		}
		status, body = do(in)
		return status == 200
	})
	if err != nil {
		// Not kept it would be forgotten over an upgrade, after a yes.
		o.s.log.Printf("msg=worker state=refused err=%q", err)
		return 503, "it could not be kept\n"
	}
	return status, body
}

// ask learns from this machine's agent who is out before it takes a client: one that starts from nothing would send
// to workers that everybody else leaves alone. It waits for a bounded time and goes on without.
func (o *ops) ask() {
	addr := o.s.node.Agent
	if addr == "" || o.s.handover.others > 0 {
		return
	}
	k, err := askAgent(addr, o.s.node.Name, o.fleet.start)
	if err != nil {
		o.s.log.Printf("msg=agent state=unasked addr=%s err=%q", addr, err)
		return
	}
	now := o.s.now()
	for m, n := range k.Fences {
		if len(o.fleet.numbers) < mostMatters {
			o.fleet.numbers[m] = max(o.fleet.numbers[m], n)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.Out)) {
		if !o.staffed[id].out() && len(o.staffed) < mostStaffed {
			o.set(id, record{Since: now, Fleet: k.Out[id]})
		}
	}
	o.s.log.Printf("msg=agent state=asked addr=%s out=%d stale=%t", addr, len(k.Out), k.Stale)
}

func askAgent(addr, name, start string) (k known, err error) {
	by := time.Now().Add(agentMost)
	conn, err := net.DialTimeout("tcp", addr, agentMost)
	if err != nil {
		return k, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(by)
	if _, err = fmt.Fprintf(conn, "GET /v1/out?scheduler=%s&start=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
		strings.NewReplacer(" ", "%20", "%", "%25", "&", "%26", "\r", "", "\n", "").Replace(name), start, addr); err != nil {
		return k, err
	}
	var r http1.Response
	r.Reset(http1.Limits{Head: 4 << 10, Body: agentBytes})
	buf := make([]byte, 0, 4<<10)
	for piece := make([]byte, 4<<10); !r.Done(); {
		n, err := conn.Read(piece)
		buf = append(buf, piece[:n]...)
		used, bad := r.Feed(buf)
		if buf = buf[used:]; bad != nil {
			return k, bad
		}
		if err != nil && !r.Done() {
			return k, err
		}
	}
	if r.Status != 200 {
		return k, fmt.Errorf("it answered %d", r.Status)
	}
	return k, json.Unmarshal(r.Body(), &k)
}
