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

	"shalebeam/balance"
	"shalebeam/http1"
)

// Calls of the fleet's agents to the management address. The owner of a matter (the resource that a lease of the fleet
// covers, such as a zone) sends with each call the matter, its fencing token and the id of the scheduler's start that the
// call is meant for: an owner that was replaced may not know it yet, and its calls may be delayed in a stalled link for
// minutes. Calls by staff carry none of these and are not fenced.

const (
	fenceHeader  = "fleet-fence"  // the matter and the fencing token, a decimal above 0, with a space between
	startHeader  = "fleet-start"  // fleet.start of the scheduler's start that the call is meant for
	changeHeader = "fleet-change" // of a call on a worker: the number of the change in the fleet's record
	maxMatters   = 256            // matters whose highest token is kept; the fleet has one for each zone
	// The most workers of which a record is kept. The fleet may take out workers that discovery's list does not name yet, so the
	// list does not bound the number.
	maxRecords    = 4096
	agentTimeout  = 2 * time.Second // for the whole call to the agent
	maxAgentBytes = 1 << 20         // of the body of its answer
)

// fencedCall holds the header fields of a call by the fleet.
type fencedCall struct {
	matter string
	token  uint64
	start  string
	change uint64 // 0: none given
}

// fleet is what this scheduler knows of the fleet's owners.
type fleet struct {
	start  string            // random id of this start of the scheduler; the new process of a hot restart takes it over
	tokens map[string]uint64 // the highest fencing token seen of each matter
}

func (f *fleet) init() {
	*f = fleet{start: strconv.FormatUint(rand.Uint64()|1<<63, 16), tokens: map[string]uint64{}}
}

// parseFencedCall reads the header fields of a fleet's call. It returns nil for a call by staff.
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

// checkCall returns status 0 if a fleet's call is valid, and otherwise the answer that refuses it: the call is meant for
// another start, its fencing token is older than one already seen, or there are too many matters.
func (f *fleet) checkCall(call *fencedCall) (status int, body string) {
	switch highest, ok := f.tokens[call.matter]; {
	case call.start != f.start && !faultInjected("former-start"):
		// The call is meant for a former start, whose fencing tokens this one does not know, so it can't tell whether the call is
		// stale.
		return 409, "start " + f.start + "\n"
	case call.token < highest && !faultInjected("no-fence"):
		return 409, fmt.Sprintf("fence %s %d\n", call.matter, highest)
	case !ok && len(f.tokens) >= maxMatters:
		return 503, "no room for one more matter\n"
	}
	return 0, ""
}

// fleetStatus is what the fleet reads of a scheduler before it sends other calls, in JSON. The agent answers askAgent in the
// same form.
type fleetStatus struct {
	Name   string            `json:"name"`
	Start  string            `json:"start"`
	Fences map[string]uint64 `json:"fences"`
	Out    map[string]string `json:"out"` // workers that the fleet took out of service, with the matter of the owner that did
	Phase  string            `json:"phase"`
	Txns   txnCounts         `json:"txns"`
	// Workers are those in service by discovery's list in the zone that was asked for, "warm" or "cold", and those out of service
	// while postings of this scheduler still run there, "busy", whether or not the list has them.
	Workers map[string]string `json:"workers,omitempty"`
	Stale   bool              `json:"stale,omitempty"` // set by an agent that could not confirm that its record is current
}

// txnCounts counts the txns that this process answered, by outcome.
type txnCounts struct {
	Settled  int `json:"settled"`
	Declined int `json:"declined"`
	Reversed int `json:"reversed"`
}

// fleetStatusJSON returns the fleetStatus as a line of JSON. Workers are given only if a zone is named.
func (o *ops) fleetStatusJSON(zone string) string {
	status := fleetStatus{Name: o.s.node.Name, Start: o.fleet.start, Fences: o.fleet.tokens, Out: map[string]string{},
		Phase: o.s.phase.String(), Txns: o.s.driver.txnCounts}
	if zone != "" {
		status.Workers = o.workersOfZone(zone)
	}
	for id, r := range o.workerRecords {
		if r.isOut() && r.Fleet != "" {
			status.Out[id] = r.Fleet
		}
	}
	raw, _ := json.Marshal(status) // cannot fail: strings, numbers and maps only
	return string(raw) + "\n"
}

// workersOfZone returns what fleetStatus.Workers has of a zone.
func (o *ops) workersOfZone(zone string) map[string]string {
	workers := map[string]string{}
	zoneNumber := indexOf(o.s.node.decoded.Zones, zone)
	if zoneNumber < 0 {
		return workers
	}
	o.s.driver.module.EachRunningWorker(o.s.now(), func(id string, number int, cold bool) {
		switch {
		case number != zoneNumber:
		case cold:
			workers[id] = "cold"
		default:
			workers[id] = "warm"
		}
	})
	o.s.driver.module.EachBusyWorker(func(id string, number int) {
		if o.workerRecords[id].isOut() && (number == zoneNumber || number == balance.UnknownPlace) {
			workers[id] = "busy"
		}
	})
	return workers
}

// recordToken records a new owner's fencing token and does nothing else: once it has succeeded, calls by former owners are
// refused.
func (o *ops) recordToken(call *fencedCall) (status int, body string) {
	return o.changeRecords(call, func(stored *records) (int, string) { return 200, "done\n" })
}

// changeRecords applies a change to the records file, under the lock that both processes of a hot restart share, if the call is
// valid. A nil call is one by staff, which is not fenced.
func (o *ops) changeRecords(call *fencedCall, apply func(stored *records) (int, string)) (status int, body string) {
	err := o.s.handover.updateRecords(func(stored *records) bool {
		for matter, token := range stored.Fences {
			o.fleet.tokens[matter] = max(o.fleet.tokens[matter], token)
		}
		if call != nil {
			if status, body = o.fleet.checkCall(call); status != 0 {
				return false
			}
			if call.token > o.fleet.tokens[call.matter] {
				o.s.log.Printf("msg=fence matter=%q number=%d", call.matter, call.token)
			}
			o.fleet.tokens[call.matter] = max(call.token, o.fleet.tokens[call.matter])
			stored.Fences = maps.Clone(o.fleet.tokens)
		}
		status, body = apply(stored)
		return status == 200
	})
	if err != nil {
		// A change that is not written would be lost with a hot restart, though it was answered with success.
		o.s.log.Printf("msg=worker state=refused err=%q", err)
		return 503, "it could not be kept\n"
	}
	return status, body
}

// askAgent learns from this machine's agent which workers the fleet took out of service, before the first client is accepted: a
// scheduler that starts without records would send to workers that all others leave out. It waits for at most agentTimeout, and
// goes on without if the agent does not answer.
func (o *ops) askAgent() {
	addr := o.s.node.Agent
	if addr == "" || o.s.handover.otherProcesses > 0 {
		return
	}
	status, err := fetchFleetStatus(addr, o.s.node.Name, o.fleet.start)
	if err != nil {
		o.s.log.Printf("msg=agent state=unasked addr=%s err=%q", addr, err)
		return
	}
	now := o.s.now()
	for matter, token := range status.Fences {
		if len(o.fleet.tokens) < maxMatters {
			o.fleet.tokens[matter] = max(o.fleet.tokens[matter], token)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(status.Out)) {
		if !o.workerRecords[id].isOut() && len(o.workerRecords) < maxRecords {
			o.applyRecord(id, record{Since: now, Fleet: status.Out[id]})
		}
	}
	o.s.log.Printf("msg=agent state=asked addr=%s out=%d stale=%t", addr, len(status.Out), status.Stale)
}

// fetchFleetStatus asks the agent at addr for the workers that the fleet took out of service, for the scheduler of this name
// and start.
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
	for piece := make([]byte, 4<<10); !response.Complete(); {
		n, err := conn.Read(piece)
		buf = append(buf, piece[:n]...)
		used, parseErr := response.Feed(buf)
		if buf = buf[used:]; parseErr != nil {
			return status, parseErr
		}
		if err != nil && !response.Complete() {
			return status, err
		}
	}
	if response.Status != 200 {
		return status, fmt.Errorf("agent answered status %d, expected 200", response.Status)
	}
	return status, json.Unmarshal(response.Body(), &status)
}
