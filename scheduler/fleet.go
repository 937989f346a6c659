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
	fenceHeader   = "fleet-fence" // MATTER NUMBER
	startHeader   = "fleet-start"
	changeHeader  = "fleet-change" // the number of the change on record, of a call on a worker
	maxMatters    = 256            // that a number is kept of; the fleet has one a zone
	mostStaffed   = 4096           // workers of which it is kept that they are out; told by the fleet before the list names them
	agentTimeout  = 2 * time.Second
	maxAgentBytes = 1 << 20
)

// fenced is what such a call carries.
type fencedCall struct {
	matter string
	token  uint64
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
func parseFencedCall(req *http1.Request) (*fencedCall, error) {
	text, ok := req.Fields().Get(fenceHeader)
	if !ok {
		return nil, nil
	}
	matter, tokenText, _ := strings.Cut(text, " ")
	token, err := strconv.ParseUint(tokenText, 10, 64)
	if err != nil || matter == "" || len(matter) > 200 || token == 0 {
		return nil, fmt.Errorf("fleet-fence is to be a matter and a number above 0")
	}
	start, ok := req.Fields().Get(startHeader)
	if !ok {
		return nil, fmt.Errorf("fleet-start is missing")
	}
	call := &fencedCall{matter: matter, token: token, start: start}
	if text, ok := req.Fields().Get(changeHeader); ok {
		if call.change, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, fmt.Errorf("fleet-change is to be a number")
		}
	}
	return call, nil
}

// passes tells whether such a call counts, else how it is answered.
func (f *fleet) checkCall(call *fencedCall) (status int, body string) {
	switch highest, ok := f.numbers[call.matter]; {
	case call.start != f.start && !planted("former-start"):
		// What was meant for a former life that has ended: this one remembers no number to judge it by.
		return 409, "start " + f.start + "\n"
	case call.token < highest && !planted("no-fence"):
		return 409, fmt.Sprintf("fence %s %d\n", call.matter, highest)
	case !ok && len(f.numbers) >= maxMatters:
		return 503, "no room for one more matter\n"
	}
	return 0, ""
}

// known is what the fleet asks before it tells anything.
type fleetStatus struct {
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

func (o *ops) fleetStatusJSON(zone string) string {
	status := fleetStatus{Name: o.s.node.Name, Start: o.fleet.start, Fences: o.fleet.numbers, Out: map[string]string{},
		Phase: o.s.phase.String(), Txns: o.s.drive.finals}
	if zone != "" {
		status.Workers = map[string]string{}
		zones := o.s.node.told.Zones
		o.s.drive.mod.Shown(o.s.now(), func(id string, at int, cold bool, own int) {
			switch {
			case at < 0 || at >= len(zones) || zones[at] != zone:
			case o.staffed[id].out() && own > 0:
				status.Workers[id] = "busy"
			case cold:
				status.Workers[id] = "cold"
			default:
				status.Workers[id] = "warm"
			}
		})
	}
	for id, r := range o.staffed {
		if r.out() && r.Fleet != "" {
			status.Out[id] = r.Fleet
		}
	}
	raw, _ := json.Marshal(status) // strings and numbers alone
	return string(raw) + "\n"
}

// fence takes a new owner's number alone: from the yes on nothing of its predecessors counts here.
func (o *ops) recordToken(call *fencedCall) (status int, body string) {
	return o.changeRecords(call, func(stored *records) (int, string) { return 200, "done\n" })
}

// change carries out a call under the lock that both processes of an upgrade share, where its number counts.
func (o *ops) changeRecords(call *fencedCall, apply func(stored *records) (int, string)) (status int, body string) {
	err := o.s.handover.keep(func(stored *records) bool {
		for matter, token := range stored.Fences {
			o.fleet.numbers[matter] = max(o.fleet.numbers[matter], token)
		}
		if call != nil {
			if status, body = o.fleet.checkCall(call); status != 0 {
				return false
			}
			if call.token > o.fleet.numbers[call.matter] {
				o.s.log.Printf("msg=fence matter=%q number=%d", call.matter, call.token)
			}
			o.fleet.numbers[call.matter] = max(call.token, o.fleet.numbers[call.matter])
			stored.Fences = maps.Clone(o.fleet.numbers)
		}
		status, body = apply(stored)
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
func (o *ops) askAgent() {
	addr := o.s.node.Agent
	if addr == "" || o.s.handover.others > 0 {
		return
	}
	status, err := fetchFleetStatus(addr, o.s.node.Name, o.fleet.start)
	if err != nil {
		o.s.log.Printf("msg=agent state=unasked addr=%s err=%q", addr, err)
		return
	}
	now := o.s.now()
	for matter, token := range status.Fences {
		if len(o.fleet.numbers) < maxMatters {
			o.fleet.numbers[matter] = max(o.fleet.numbers[matter], token)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(status.Out)) {
		if !o.staffed[id].out() && len(o.staffed) < mostStaffed {
			o.set(id, record{Since: now, Fleet: status.Out[id]})
		}
	}
	o.s.log.Printf("msg=agent state=asked addr=%s out=%d stale=%t", addr, len(status.Out), status.Stale)
}

func fetchFleetStatus(addr, name, start string) (status fleetStatus, err error) {
	deadline := time.Now().Add(agentTimeout)
	conn, err := net.DialTimeout("tcp", addr, agentTimeout)
	if err != nil {
		return status, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(deadline)
	if _, err = fmt.Fprintf(conn, "GET /v1/out?scheduler=%s&start=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
		strings.NewReplacer(" ", "%20", "%", "%25", "&", "%26", "\r", "", "\n", "").Replace(name), start, addr); err != nil {
		return status, err
	}
	var response http1.Response
	response.Reset(http1.Limits{Head: 4 << 10, Body: maxAgentBytes})
	buf := make([]byte, 0, 4<<10)
	for piece := make([]byte, 4<<10); !response.Done(); {
		n, err := conn.Read(piece)
		buf = append(buf, piece[:n]...)
		used, parseErr := response.Feed(buf)
		if buf = buf[used:]; parseErr != nil {
			return status, parseErr
		}
		if err != nil && !response.Done() {
			return status, err
		}
	}
	if response.Status != 200 {
		return status, fmt.Errorf("it answered %d", response.Status)
	}
	return status, json.Unmarshal(response.Body(), &status)
}
