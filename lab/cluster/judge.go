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

// history is every caller's calls and answers, by the lab's own clock.
type history struct {
	mu  sync.Mutex
	all []*op
}

type op struct {
	h         *history
	caller    int
	worker    string
	do        string
	at, until int64
	done, out bool
	dropped   bool
}

const never = int64(1) << 62

func (h *history) begin(caller int, worker, do string) *op {
	o := &op{h: h, caller: caller, worker: worker, do: do, at: time.Now().UnixNano(), until: never}
	h.mu.Lock()
	h.all = append(h.all, o)
	h.mu.Unlock()
	return o
}

func (o *op) end(done, out bool) {
	o.h.mu.Lock()
	o.until, o.done, o.out = time.Now().UnixNano(), done, out
	o.h.mu.Unlock()
}

// open leaves it so that it may have been carried out at any time from then on; drop says that it changes nothing.
func (o *op) open() {}

func (o *op) drop() {
	o.h.mu.Lock()
	o.dropped = true
	o.h.mu.Unlock()
}

type input struct{ worker, do string }
type output struct{ done, out, open bool }

// model is a worker's intent: what the last change before a read said.
var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			w := o.Input.(input).worker
			by[w] = append(by[w], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return 0 }, // 0: never on record, 1: out, 2: in use again
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(int), in.(input), out.(output)
		switch i.do {
		case "read":
			return o.out == (s == 1), s
		case "out":
			return o.open || o.done, 1
		}
		if s == 0 { // one that was never out is refused
			return o.open || !o.done, 0
		}
		return o.open || o.done, 2
	},
}

// linear tells whether the callers' history is one that a single record could have given.
func (h *history) linear() (bool, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []porcupine.Operation
	for _, o := range h.all {
		if o.dropped || o.do == "read" && o.until == never {
			continue
		}
		all = append(all, porcupine.Operation{ClientId: o.caller, Input: input{o.worker, o.do}, Call: o.at,
			Output: output{o.done, o.out, o.until == never}, Return: o.until})
	}
	return porcupine.CheckOperationsTimeout(model, all, 20*time.Second) != porcupine.Illegal, len(all)
}

// judge looks at all that was kept once the day is over.
func (d *day) judge() {
	r, err := d.read(d.ctx)
	if err != nil {
		d.broke("the record can't be read at the end: %v", err)
		return
	}
	d.hist.mu.Lock()
	if raw, err := json.MarshalIndent(r, "", " "); err == nil {
		_ = os.WriteFile(filepath.Join(d.dir, "record.json"), raw, 0o600) // for --keep
	}
	met := map[string]bool{}
	for _, o := range d.hist.all {
		met[o.worker] = true
	}
	d.hist.mu.Unlock()
	for id := range met {
		d.Read(99, id, d.addrs(nil))
	}
	if ok, n := d.hist.linear(); !ok {
		d.broke("%d calls and answers are of no single record", n)
	}
	twice := map[string]int{}
	for _, row := range r.Rows {
		if (row.What == "out" || row.What == "in") && strings.HasPrefix(row.Why, "caller") {
			if twice[row.Why]++; twice[row.Why] == 2 {
				d.broke("a change was carried out twice: %s %s, %s", row.What, row.Of, row.Why)
			}
		}
	}
	if d.opt.Runs {
		d.kept()
	}
	d.order()
	d.owners(r)
	d.voters()
}

var (
	tookIt  = regexp.MustCompile(`msg=told id="(.*?)" out=(\w+) matter="(.*?)" number=(\d+)`)
	fenceIt = regexp.MustCompile(`msg=fence matter="(.*?)" number=(\d+)`)
	heldIt  = regexp.MustCompile(`msg=renewed matter=(\S+) fence=(\d+) left=([-0-9.e+]+)`)
	ownedIt = regexp.MustCompile(`msg="matter owned" matter=(\S+) fence=(\d+)`)
	startIt = regexp.MustCompile(`msg=listening `)
	callsIt = regexp.MustCompile(`^time=(\S+) .*msg=calls scheduler=(\S+) act=(\d) matter=(\S+) fence=(\d+)`)
)

func lines(path string, f func(string)) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	for s := bufio.NewScanner(file); s.Scan(); {
		f(s.Text())
	}
}

// order tells whether any scheduler took a lower number after a higher one, in one life of it.
func (d *day) order() {
	for _, m := range d.live.Schedulers() {
		high := map[string]uint64{}
		lines(m.Log, func(line string) {
			if startIt.MatchString(line) {
				clear(high)
			}
			if x := fenceIt.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[2], 10, 64)
				high[x[1]] = max(high[x[1]], n)
			}
			if x := tookIt.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[4], 10, 64)
				if n < high[x[3]] {
					d.broke("%s took number %d of %s after %d: %s", m.ID, n, x[3], high[x[3]], line)
				}
				high[x[3]] = max(high[x[3]], n)
			}
		})
	}
}

// voters tells whether any has another record than the others, or counted on a disk and only then was found to lack what it
// had acknowledged.
func (d *day) voters() {
	_ = d.await(5*time.Second, "one record", func() error {
		records := map[uint64]string{}
		for _, p := range d.agents[:d.opt.Voters] {
			var n struct {
				No     uint64
				Record json.RawMessage
			}
			if err := (&agent.Caller{HTTP: d.http, Addrs: []string{p.file.Listen}}).Get(d.ctx, "/v1/record", &n); err != nil {
				continue
			}
			if was, ok := records[n.No]; ok && was != string(n.Record) {
				d.broke("%s has another record after command %d than another voter", p.file.Name, n.No)
				return nil
			}
			records[n.No] = string(n.Record)
		}
		if len(records) > 1 {
			return errors.New("some are behind")
		}
		return nil
	})
	for _, p := range d.agents {
		counted := false
		lines(p.path(".log"), func(line string) {
			switch {
			case strings.Contains(line, `msg="agent runs"`):
				counted = false
			case strings.Contains(line, `msg="voter counts"`):
				counted = true
			case counted && strings.Contains(line, "lacks what this voter has acknowledged"):
				d.broke("%s counted on a disk that lacked what it had acknowledged: %s", p.file.Name, line)
				counted = false
			}
		})
	}
}

// alone matches the lives of schedulers that began without being told for sure who is out: they go on without, as their
// page says, and may send to a worker that is out until its owner has told them.
func (d *day) alone() *regexp.Regexp {
	names := []string{"none"}
	for _, m := range d.live.Schedulers() {
		life, unsure := 1, false
		lines(m.Log, func(line string) {
			if strings.Contains(line, "msg=agent state=unasked") || strings.Contains(line, "stale=true") {
				unsure = true
			}
			if startIt.MatchString(line) {
				if unsure && life > 1 { // in its first nobody was out yet
					names = append(names, regexp.QuoteMeta(fmt.Sprintf("%s.%d posted", m.ID, life)))
				}
				life, unsure = life+1, false
			}
		})
	}
	return regexp.MustCompile("(" + strings.Join(names, "|") + ")")
}

// owners tells whether one owner acted after the next had begun, though it did not stand still in between.
func (d *day) owners(r *fleet.Record) {
	type act struct {
		at     time.Time
		p      *proc
		number uint64
		kind   string
		to     string
	}
	all := map[string][]act{}
	type hold struct {
		until time.Time
		who   string
	}
	holds, began := map[string]map[uint64]*hold{}, map[string]map[uint64]time.Time{}
	of := func(matter string, n uint64) *hold {
		if holds[matter] == nil {
			holds[matter], began[matter] = map[uint64]*hold{}, map[uint64]time.Time{}
		}
		if holds[matter][n] == nil {
			holds[matter][n] = &hold{}
		}
		return holds[matter][n]
	}
	for _, p := range d.agents {
		lines(p.path(".log"), func(line string) {
			if strings.Contains(line, "panic") {
				d.broke("%s: %s", p.file.Name, line)
			}
			at, _ := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.SplitN(line, " ", 2)[0], "time="))
			if x := heldIt.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[2], 10, 64)
				left, _ := strconv.ParseFloat(x[3], 64)
				h := of(x[1], n)
				// By a clock that is a tenth slow or fast at the most, it holds for so long at the least.
				if until := at.Add(time.Duration(left * 0.9 * float64(time.Millisecond))); left > 0 && until.After(h.until) {
					h.until, h.who = until, p.file.Name
				}
			}
			if x := ownedIt.FindStringSubmatch(line); x != nil {
				n, _ := strconv.ParseUint(x[2], 10, 64)
				of(x[1], n)
				began[x[1]][n] = at
			}
			if x := callsIt.FindStringSubmatch(line); x != nil {
				at, _ := time.Parse(time.RFC3339Nano, x[1])
				n, _ := strconv.ParseUint(x[5], 10, 64)
				all[x[4]] = append(all[x[4]], act{at, p, n, x[3], x[2]})
			}
		})
	}
	for matter, owned := range began {
		for n, at := range owned {
			// What was passed on by itself, or belonged to a process that was killed, is free before its time.
			if h := holds[matter][n-1]; h != nil && at.Before(h.until) && !d.died(h.who, at) && !left(r, matter, h.who) {
				d.broke("%s: number %d began at %s, and %s held number %d until %s", matter, n, at.Format("05.000"), h.who, n-1,
					h.until.Format("05.000"))
			}
		}
	}
	for matter, acts := range all {
		sort.SliceStable(acts, func(i, j int) bool { return acts[i].at.Before(acts[j].at) })
		high := act{}
		closed := map[string]uint64{}
		for _, a := range acts {
			if a.number < high.number && !a.p.wasStill(a.at, 3*d.term()) {
				d.broke("%s: %s acted by number %d at %s, after %s had begun by %d at %s", matter, a.p.file.Name, a.number,
					a.at.Format("05.000"), high.p.file.Name, high.number, high.at.Format("05.000"))
				return
			}
			if a.number > high.number {
				high = a
			}
			// Before it tells anything, an owner has closed its predecessor's number there.
			key := fmt.Sprint(a.to, " ", a.number)
			if a.kind == "1" {
				closed[key] = a.number
			}
			if a.kind == "2" && closed[key] == 0 {
				d.broke("%s: %s told %s by number %d before it had closed the one before", matter, a.p.file.Name, a.to, a.number)
				return
			}
		}
	}
}

// left tells whether an agent ever passed a matter on: it is free then before the time of its hold.
func left(r *fleet.Record, matter, agent string) bool {
	for _, row := range r.Rows {
		if row.What == "left" && strings.HasPrefix(row.Of, matter+" "+agent+"#") {
			return true
		}
	}
	return false
}

// died tells whether an agent's process ended in the time before at: what it held ended with it.
func (d *day) died(name string, at time.Time) bool {
	for _, p := range d.agents {
		p.mu.Lock()
		for _, end := range p.ends {
			if p.file.Name == name && end.Before(at) && end.After(at.Add(-2*d.term())) {
				p.mu.Unlock()
				return true
			}
		}
		p.mu.Unlock()
	}
	return false
}
