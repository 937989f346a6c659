package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"shalebeam/agent"
	"shalebeam/fleet"
)

// history holds the calls of all callers with their answers, by the lab's own clock.
type history struct {
	mu  sync.Mutex
	all []*recordedCall
}

// recordedCall is one call of a caller: a change of a worker's intent or a read of it.
type recordedCall struct {
	history    *history
	caller     int
	worker     string
	do         string // out, in or read
	startedAt  int64  // Unix ns
	answeredAt int64  // Unix ns, or neverAnswered
	done       bool   // the change was applied, not refused
	out        bool   // what a read found
	discarded  bool
}

const neverAnswered = int64(1) << 62 // as a Unix time in ns: later than any answer

// startCall adds a call that starts now.
func (h *history) startCall(caller int, worker, do string) *recordedCall {
	c := &recordedCall{history: h, caller: caller, worker: worker, do: do, startedAt: time.Now().UnixNano(), answeredAt: neverAnswered}
	h.mu.Lock()
	h.all = append(h.all, c)
	h.mu.Unlock()
	return c
}

// finish records the answer, which arrived now.
func (c *recordedCall) finish(done, out bool) {
	c.history.mu.Lock()
	c.answeredAt, c.done, c.out = time.Now().UnixNano(), done, out
	c.history.mu.Unlock()
}

// leaveOpen marks a call without an answer: it may have been applied at any time after its start, or not at all.
func (c *recordedCall) leaveOpen() {}

// discard excludes the call from the check, as a failed read, which changes nothing.
func (c *recordedCall) discard() {
	c.history.mu.Lock()
	c.discarded = true
	c.history.mu.Unlock()
}

// callInput is the input of a call in intentModel.
type callInput struct{ worker, do string }

// callOutput is the output of a call in intentModel; open is true if the call was never answered.
type callOutput struct{ done, out, open bool }

// intentModel is the sequential specification of a worker's intent: a read returns what the last change before it set.
var intentModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byWorker := map[string][]porcupine.Operation{}
		for _, o := range all {
			w := o.Input.(callInput).worker
			byWorker[w] = append(byWorker[w], o)
		}
		var partitions [][]porcupine.Operation
		for _, ops := range byWorker {
			partitions = append(partitions, ops)
		}
		return partitions
	},
	Init: func() any { return 0 }, // 0: not in the record, 1: out, 2: in use again
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(int), in.(callInput), out.(callOutput)
		switch i.do {
		case "read":
			return o.out == (s == 1), s
		case "out":
			return o.open || o.done, 1
		}
		if s == 0 { // "in" is refused for a worker that was never out
			return o.open || !o.done, 0
		}
		return o.open || o.done, 2
	},
}

// linearizable reports whether the answers of all calls are linearizable, as those of a single record must be, and how many
// calls were checked. A history that can't be decided within 20 s passes.
func (h *history) linearizable() (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []porcupine.Operation
	for _, c := range h.all {
		if c.discarded || c.do == "read" && c.answeredAt == neverAnswered {
			continue
		}
		all = append(all, porcupine.Operation{ClientId: c.caller, Input: callInput{c.worker, c.do}, Call: c.startedAt,
			Output: callOutput{c.done, c.out, c.answeredAt == neverAnswered}, Return: c.answeredAt})
	}
	return porcupine.CheckOperationsTimeout(intentModel, all, 20*time.Second) != porcupine.Illegal, len(all)
}

// checkDay runs all checks on the record, the history and the logs at the end of a day.
func (d *day) checkDay() {
	r, err := d.readRecord(d.ctx)
	if err != nil {
		d.reportBreak("the record can't be read at the end: %v", err)
		return
	}
	d.history.mu.Lock()
	if raw, err := json.MarshalIndent(r, "", " "); err == nil {
		_ = os.WriteFile(filepath.Join(d.dir, "record.json"), raw, 0o600) // for whoever keeps the day's directory with --keep
	}
	workers := map[string]bool{}
	for _, c := range d.history.all {
		workers[c.worker] = true
	}
	d.history.mu.Unlock()
	for id := range workers {
		d.ReadIntent(99, id, d.agentAddrs(nil))
	}
	if ok, n := d.history.linearizable(); !ok {
		d.reportBreak("%d calls and answers are of no single record", n)
	}
	applied := map[string]int{} // by the command's reason, which names its caller and number: how many times it was applied
	for _, row := range r.Audit {
		if (row.Change == "out" || row.Change == "in") && strings.HasPrefix(row.Reason, "caller") {
			if applied[row.Reason]++; applied[row.Reason] == 2 {
				d.reportBreak("a change was carried out twice: %s %s, %s", row.Change, row.Object, row.Reason)
			}
		}
	}
	if d.opt.AgentsRunSchedulers {
		d.checkHalts()
	}
	d.checkFenceOrder()
	d.checkOwners(r)
	d.checkVoters()
}

// Log lines of schedulers and agents that the checks read.
var (
	workerToldPattern   = regexp.MustCompile(`msg=told id="(.*?)" out=(\w+) matter="(.*?)" number=(\d+)`)
	fencePattern        = regexp.MustCompile(`msg=fence matter="(.*?)" number=(\d+)`)
	leaseRenewedPattern = regexp.MustCompile(`msg=renewed matter=(\S+) fence=(\d+) left=([-0-9.e+]+)`)
	leaseOwnedPattern   = regexp.MustCompile(`msg="matter owned" matter=(\S+) fence=(\d+)`)
	listeningPattern    = regexp.MustCompile(`msg=listening `)
	callsPattern        = regexp.MustCompile(`^time=(\S+) .*msg=calls scheduler=(\S+) act=(\d) matter=(\S+) fence=(\d+)`)
)

// forEachLine calls f with each line of a file; a file that can't be opened has none.
func forEachLine(path string, f func(string)) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	for s := bufio.NewScanner(file); s.Scan(); {
		f(s.Text())
	}
}

// checkFenceOrder checks that no scheduler applied a change with a lower fencing token of a lease after a higher one, within the
// life of one process.
func (d *day) checkFenceOrder() {
	for _, m := range d.live.Schedulers() {
		highest := map[string]uint64{} // by lease
		forEachLine(m.Log, func(line string) {
			if listeningPattern.MatchString(line) {
				clear(highest)
			}
			if x := fencePattern.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[2], 10, 64)
				highest[x[1]] = max(highest[x[1]], n)
			}
			if x := workerToldPattern.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[4], 10, 64)
				if n < highest[x[3]] {
					d.reportBreak("%s took number %d of %s after %d: %s", m.ID, n, x[3], highest[x[3]], line)
				}
				highest[x[3]] = max(highest[x[3]], n)
			}
		})
	}
}

// checkVoters checks that all voters have the same record after the same command, and that none counted towards the quorum before
// it found that its disk lacks what it had acknowledged.
func (d *day) checkVoters() {
	_ = d.waitFor(5*time.Second, "one record", func() error {
		records := map[uint64]string{}
		for _, p := range d.agents[:d.opt.Voters] {
			var got struct {
				No     uint64 // of the last command
				Record json.RawMessage
			}
			if err := (&agent.Caller{HTTP: d.http, Addrs: []string{p.file.Listen}}).Get(d.ctx, "/v1/record", &got); err != nil {
				continue
			}
			if other, ok := records[got.No]; ok && other != string(got.Record) {
				d.reportBreak("%s has another record after command %d than another voter", p.file.Name, got.No)
				return nil
			}
			records[got.No] = string(got.Record)
		}
		if len(records) > 1 {
			return errors.New("some are behind")
		}
		return nil
	})
	for _, p := range d.agents {
		counted := false
		forEachLine(p.path(".log"), func(line string) {
			switch {
			case strings.Contains(line, `msg="agent runs"`):
				counted = false
			case strings.Contains(line, `msg="voter counts"`):
				counted = true
			case counted && strings.Contains(line, "no longer holds state that it acknowledged to other voters"):
				d.reportBreak("%s counted on a disk that lacked what it had acknowledged: %s", p.file.Name, line)
				counted = false
			}
		})
	}
}

// unsureLives matches breaks about schedulers' processes ("s1.2 posted") that started without certain knowledge of which workers
// are out. By design these serve all the same and may send to a worker that is out until the zone's owner has told them.
func (d *day) unsureLives() *regexp.Regexp {
	names := []string{"none"}
	for _, m := range d.live.Schedulers() {
		life, unsure := 1, false
		forEachLine(m.Log, func(line string) {
			if strings.Contains(line, "msg=agent state=unasked") || strings.Contains(line, "stale=true") {
				unsure = true
			}
			if listeningPattern.MatchString(line) {
				if unsure && life > 1 { // when the first one started, no worker was out yet
					names = append(names, regexp.QuoteMeta(fmt.Sprintf("%s.%d posted", m.ID, life)))
				}
				life, unsure = life+1, false
			}
		})
	}
	return regexp.MustCompile("(" + strings.Join(names, "|") + ")")
}

// checkOwners checks the leases: an owner's lease begins only after the one before has ended, no owner acts after a later one has
// begun (except one that was paused in between, which can't know), and an owner closes its predecessor's token at a scheduler
// before it tells that scheduler anything.
func (d *day) checkOwners(r *fleet.Record) {
	type ownerCall struct {
		at        time.Time
		p         *agentProcess
		fence     uint64
		kind      string // a fleet.CallKind: 0 CallStatus, 1 CallRaiseFence, 2 CallSetWorker
		scheduler string
	}
	calls := map[string][]ownerCall{} // by lease
	type lease struct {
		until time.Time // at least, by the owner's last renewal
		owner string    // an agent's name
	}
	leases, began := map[string]map[uint64]*lease{}, map[string]map[uint64]time.Time{} // by lease and fencing token
	leaseOf := func(leaseName string, fence uint64) *lease {
		if leases[leaseName] == nil {
			leases[leaseName], began[leaseName] = map[uint64]*lease{}, map[uint64]time.Time{}
		}
		if leases[leaseName][fence] == nil {
			leases[leaseName][fence] = &lease{}
		}
		return leases[leaseName][fence]
	}
	for _, p := range d.agents {
		forEachLine(p.path(".log"), func(line string) {
			if strings.Contains(line, "panic") {
				d.reportBreak("%s: %s", p.file.Name, line)
			}
			at, _ := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.SplitN(line, " ", 2)[0], "time="))
			if x := leaseRenewedPattern.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[2], 10, 64)
				left, _ := strconv.ParseFloat(x[3], 64)
				l := leaseOf(x[1], n)
				// left is in ms of the owner's clock, which may be off by a tenth: the lease lasts at least 0.9 times as long.
				if until := at.Add(time.Duration(left * 0.9 * float64(time.Millisecond))); left > 0 && until.After(l.until) {
					l.until, l.owner = until, p.file.Name
				}
			}
			if x := leaseOwnedPattern.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[2], 10, 64)
				leaseOf(x[1], n)
				began[x[1]][n] = at
			}
			if x := callsPattern.FindStringSubmatch(line); x != nil {
				at, _ := time.Parse(time.RFC3339Nano, x[1])
				n, _ := strconv.ParseUint(x[5], 10, 64)
				calls[x[4]] = append(calls[x[4]], ownerCall{at, p, n, x[3], x[2]})
			}
		})
	}
	for leaseName, owned := range began {
		for n, at := range owned {
			// A lease that its owner passed on, or whose owner's process ended, may be followed by the next before it expires.
			if l := leases[leaseName][n-1]; l != nil && at.Before(l.until) && !d.endedShortlyBefore(l.owner, at) && !passedOn(r, leaseName, l.owner) {
				d.reportBreak("%s: number %d began at %s, and %s held number %d until %s", leaseName, n, at.Format("05.000"), l.owner, n-1,
					l.until.Format("05.000"))
			}
		}
	}
	for leaseName, all := range calls {
		sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
		highest := ownerCall{} // the first call with the highest fencing token so far
		closed := map[string]uint64{}
		for _, c := range all {
			if c.fence < highest.fence && !c.p.wasPaused(c.at, 3*d.leaseTerm()) {
				d.reportBreak("%s: %s acted by number %d at %s, after %s had begun by %d at %s", leaseName, c.p.file.Name, c.fence,
					c.at.Format("05.000"), highest.p.file.Name, highest.fence, highest.at.Format("05.000"))
				return
			}
			if c.fence > highest.fence {
				highest = c
			}
			// An owner must close its predecessor's token at a scheduler before it tells that scheduler anything.
			key := fmt.Sprint(c.scheduler, " ", c.fence)
			if c.kind == "1" {
				closed[key] = c.fence
			}
			if c.kind == "2" && closed[key] == 0 {
				d.reportBreak("%s: %s told %s by number %d before it had closed the one before", leaseName, c.p.file.Name, c.scheduler, c.fence)
				return
			}
		}
	}
}

// passedOn reports whether an agent ever passed a lease on, which frees it before it expires.
func passedOn(r *fleet.Record, leaseName, agent string) bool {
	for _, row := range r.Audit {
		if row.Change == "left" && strings.HasPrefix(row.Object, leaseName+" "+agent+"#") {
			return true
		}
	}
	return false
}

// endedShortlyBefore reports whether an agent's process ended within two lease terms before at; its leases ended with it.
func (d *day) endedShortlyBefore(name string, at time.Time) bool {
	for _, p := range d.agents {
		p.mu.Lock()
		for _, end := range p.endTimes {
			if p.file.Name == name && end.Before(at) && end.After(at.Add(-2*d.leaseTerm())) {
				p.mu.Unlock()
				return true
			}
		}
		p.mu.Unlock()
	}
	return false
}
