package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Operations are steps in the record. Whoever owns one carries it; a successor goes on at what stands here.

// Where a member stands in an operation.
const (
	Waits   = "waits"
	Granted = "granted" // it has its permit, and may have been told to go
	Gone    = "out"     // nothing new goes there, and nothing runs there
	Acting  = "acting"  // the site's own command is about to be, is being, or was run
	Acted   = "acted"   // it is to come back
	In      = "in"      // it was seen in service since
)

// What is seen of a member, by who owns its zone.
const (
	InService = "in"
	NotLooked = "not reached"
)

const isDown = "down" // by its own agent: no process of it serves

const (
	mostLimits  = 100
	endedKept   = 50 // operations that are over
	mostPlan    = 2000
	mostTargets = 5000 // of one operation
)

// Seen is how a member was last seen to stand.
type Seen struct {
	State string `json:"state"` // in, or what else: starting, draining, cold, unlisted, out, not reached
	Of    uint64 `json:"of"`    // what the record was at, for who looked, when the look began
}

// Permit is one member's leave to be out. Only its being seen in service ends it.
type Permit struct {
	Op string `json:"op"`
	No uint64 `json:"no"`
}

// Version is what a release brings: a program and, where it changes, a configuration, named by what they hold.
type Version struct {
	Program string `json:"program,omitempty" toml:"program,omitempty"` // its path on each machine
	Digest  string `json:"digest,omitempty" toml:"digest,omitempty"`   // sha256 of it
	Config  string `json:"config,omitempty" toml:"config,omitempty"`   // path on each machine; {id} stands for the member
	Name    string `json:"name,omitempty" toml:"name,omitempty"`       // of what the site's own command brings to workers
}

// Gates say when the released part is worse than the part that is not.
type Gates struct {
	Settled  float64 `json:"settled,omitempty" toml:"settled"`   // the settled share may be so much lower
	Declined float64 `json:"declined,omitempty" toml:"declined"` // the declined share so much higher
	Reversed float64 `json:"reversed,omitempty" toml:"reversed"` // the reversed share so much higher
	Txns     int     `json:"txns,omitempty" toml:"txns"`         // with fewer on either side nothing is said
	Lost     int     `json:"lost,omitempty" toml:"lost"`         // so many released members that left service again halt it
}

// Op is an operation.
type Op struct {
	ID       string          `json:"id"`
	Kind     string          `json:"kind"` // drain, undrain, restart, maintain, release
	By       string          `json:"by"`
	Why      string          `json:"why,omitempty"`
	Waves    [][]string      `json:"waves"`
	Wave     int             `json:"wave"`
	Together int             `json:"together,omitempty"` // so many of it out at once at the most, beside the limits
	Back     bool            `json:"back,omitempty"`     // it goes back
	Done     bool            `json:"done,omitempty"`
	Closed   bool            `json:"closed,omitempty"`
	Steps    map[string]Step `json:"steps"`
	Version  Version         `json:"version"`
	Gates    Gates           `json:"gates"`
	Watch    float64         `json:"watch,omitempty"`     // ms after each wave
	Pause    float64         `json:"pause,omitempty"`     // ms that what is maintained stays out
	WaveMost float64         `json:"wave_ms,omitempty"`   // a wave that takes longer halts it
	AutoBack bool            `json:"auto_back,omitempty"` // a halt that comes by itself also turns it back
}

// Step is where one member stands.
type Step struct {
	At    string `json:"at"`
	No    uint64 `json:"no"`              // the command that moved it there
	Undo  bool   `json:"undo,omitempty"`  // it comes back without having been acted on
	Start string `json:"start,omitempty"` // the life of the agent that was to act
	Why   string `json:"why,omitempty"`   // why it can't go on
}

// Halt stops new steps of one operation, a zone or all.
type Halt struct {
	Of   string `json:"of"` // an operation's id, zone/ZONE, or all
	By   string `json:"by"`
	Why  string `json:"why,omitempty"`
	No   uint64 `json:"no"`
	Then string `json:"then,omitempty"` // finish or back
}

// row is one line of the table of steps: a member of a kind, in an operation of these kinds, standing at from.
type row struct {
	kind  string
	ops   string // kinds of operations, and "back" for any that goes back; "" for all
	from  string
	call  string // at the member's agent, till it says that it is done: stop, run, command
	till  string // what has to hold in the record besides: room, out, in, pause
	to    string
	where string // in words, for the drawing
}

// steps is the table that runs; docs/design/releases.md has its drawing.
var steps = []row{
	{"scheduler", "drain restart maintain release back", Waits, "", "room", Granted, "a permit"},
	{"scheduler", "drain maintain", Granted, "stop", "", Gone, "its process has ended"},
	{"scheduler", "restart release back", Granted, "run", "", Acted, "the new process took over"},
	{"scheduler", "undrain back restart", Gone, "run", "", Acted, "its process is ready"},
	{"scheduler", "maintain", Gone, "run", "pause", Acted, "the pause is over, its process is ready"},
	{"scheduler", "", Acted, "", "in", In, "seen in service"},
	{"worker", "drain restart maintain release back", Waits, "", "room", Granted, "a permit, and all are told"},
	{"worker", "", Granted, "", "out", Gone, "all said yes, nothing runs there"},
	{"worker", "restart maintain release", Gone, "", "pause", Acting, "noted before it is told"},
	{"worker", "", Acting, "command", "", Acted, "the site's command has ended well"},
	{"worker", "undrain", Gone, "", "", Acted, "all are told that it is back"},
	{"worker", "", Acted, "", "in", In, "seen in service, warm"},
}

// stepOf is the row that a member is at, nil where it has arrived.
func (o *Op) stepOf(m Member, s Step) *row {
	if o.Kind == "drain" && !o.Back && s.At == Gone && !s.Undo {
		return nil
	}
	for i := range steps {
		w := &steps[i]
		kind := o.Kind
		if (o.Back || s.Undo) && !(m.Kind == "worker" && o.Kind == "release") { // a worker's way back is a release of the former
			kind = "back"
		}
		if w.kind == m.Kind && w.from == s.At && (w.ops == "" || slices.Contains(strings.Fields(w.ops), kind)) {
			return w
		}
	}
	return nil
}

// Arrived tells whether a member has nothing more to do in an operation.
func (o *Op) Arrived(s Step) bool {
	return s.At == In || o.Kind == "drain" && !o.Back && s.At == Gone
}

// Raises tells whether an operation starts schedulers that are down, where their agents say so.
func (o *Op) Raises(m Member) bool {
	return m.Kind == "scheduler" && (o.Back || o.Kind == "restart")
}

// Open tells whether an operation still has something to do, or may yet go back.
func (o *Op) Open() bool { return !o.Done && !o.Closed }

// now lists the members of the waves that have begun, in their order.
func (o *Op) now() (ids []string) {
	for _, w := range o.Waves[:min(o.Wave+1, len(o.Waves))] {
		ids = append(ids, w...)
	}
	return ids
}

// OpOf names the matter of an operation.
func OpOf(id string) string { return "op/" + id }

// Halted is why nothing new may be taken out for an operation at a member, "" where nothing keeps it.
func (r *Record) Halted(op *Op, zone string) string {
	for _, of := range []string{"all", MatterOf(zone), op.ID} {
		if h, ok := r.Halts[of]; ok && !(op.Back && of == op.ID) {
			return fmt.Sprintf("halted (%s) by %s: %s", of, h.By, h.Why)
		}
	}
	return ""
}

// Grant is why a member may not be taken out now for an operation, "" where it may.
func (r *Record) Grant(op *Op, id string) string { return r.grant(op, id, nil) }

// grant takes further members as granted already: an owner asks for many at once.
func (r *Record) grant(op *Op, id string, also map[string]bool) string {
	m, known := r.Members[id]
	switch p, has := r.Permits[id]; {
	case !known:
		return "no such member any more"
	case has && p.Op != op.ID && r.Bug != "two-permits":
		return "it has a permit of " + p.Op
	case m.Kind == "worker" && r.Workers[id].Out && r.Workers[id].By != OpOf(op.ID):
		return "it was taken out by " + r.Workers[id].By
	}
	if why := r.Halted(op, m.Zone); why != "" {
		return why
	}
	if op.Together > 0 {
		n := len(also)
		for _, p := range r.Permits {
			if p.Op == op.ID {
				n++
			}
		}
		if n >= op.Together {
			return fmt.Sprintf("%d of this operation are out, %d may be", n, op.Together)
		}
	}
	if r.Bug == "back-unlimited" && op.Back {
		return ""
	}
	return r.room(id, also)
}

func (r *Record) begin(no uint64, c *Command) (string, uint64) {
	o := c.Op
	if o == nil || c.By == "" || !slices.Contains([]string{"drain", "undrain", "restart", "maintain", "release"}, o.Kind) {
		return "an operation is a drain, undrain, restart, maintain or release, by somebody", 0
	}
	if h, ok := r.Halts["all"]; ok && o.Kind != "undrain" {
		return "everything is halted by " + h.By + ": " + h.Why, 0
	}
	op := *o
	op.ID, op.By, op.Why = fmt.Sprintf("%s-%d", o.Kind, no), c.By, c.Why
	op.Steps, op.Wave, op.Back, op.Done, op.Closed = map[string]Step{}, 0, false, false, false
	n := 0
	for _, w := range op.Waves {
		for _, id := range w {
			m, known := r.Members[id]
			_, again := op.Steps[id]
			switch n++; {
			case !known || m.Kind != "scheduler" && m.Kind != "worker":
				return id + ": no such scheduler or worker", 0
			case again:
				return id + " is named twice", 0
			case n > mostTargets:
				return fmt.Sprintf("more than %d members", mostTargets), 0
			case m.Agent == "" && (m.Kind == "scheduler" || o.Kind != "drain" && o.Kind != "undrain"):
				return id + ": no agent runs it, or a command for it", 0
			}
			for _, other := range r.Ops {
				if _, in := other.Steps[id]; in && other.Open() { // also where it has arrived: that one may yet go back
					return fmt.Sprintf("%s is in %s, which is not over", id, other.ID), 0
				}
			}
			op.Steps[id] = Step{At: Waits, No: no}
			// It would wait for what only its undrain ends, and keep that from beginning.
			if p, out := r.Permits[id]; out && o.Kind != "undrain" && r.Bug != "two-permits" {
				return fmt.Sprintf("%s is out for %s: bring it back first, with undrain", id, p.Op), 0
			}
			if o.Kind == "undrain" {
				// Of a drain, or of what ended without it: a person says that it is well.
				if p, ok := r.Permits[id]; !ok || r.Ops[p.Op] != nil && r.Ops[p.Op].Open() {
					return id + " is not out, or its operation is not over", 0
				}
				op.Steps[id] = Step{At: Gone, No: no}
				continue
			}
			// What can never begin is refused before anything moves.
			if most, by := r.allowed(id); most < 1 {
				return fmt.Sprintf("%s can never go out: %s", id, by), 0
			} else if op.Together > most {
				return fmt.Sprintf("together = %d, and %s lets %d be out", op.Together, by, most), 0
			}
		}
	}
	if n == 0 {
		return "it names no member", 0
	}
	if op.Kind == "undrain" {
		for id := range op.Steps {
			r.Permits[id] = Permit{op.ID, r.Permits[id].No}
		}
	}
	r.Ops[op.ID] = &op
	r.tidy()
	r.note(no, "begin", op.ID, c)
	return "", no
}

// tidy forgets the oldest operations that are over, beyond those that are kept, where nobody is out for them.
func (r *Record) tidy() {
	held := map[string]bool{}
	for _, p := range r.Permits {
		held[p.Op] = true
	}
	var over []*Op
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		if o := r.Ops[id]; o.Closed && !held[id] {
			over = append(over, o)
		}
	}
	first := func(o *Op) (no uint64) {
		_, text, _ := strings.Cut(o.ID, "-")
		fmt.Sscan(text, &no)
		return no
	}
	slices.SortFunc(over, func(a, b *Op) int { return int(int64(first(a)) - int64(first(b))) })
	for _, o := range over[:max(len(over)-endedKept, 0)] {
		delete(r.Ops, o.ID)
		delete(r.Matters, OpOf(o.ID))
		delete(r.Halts, o.ID)
	}
}

// owned is the operation of a command of its owner, with why it does not count, "" where it does.
func (r *Record) owned(c *Command) (*Op, string) {
	op := r.Ops[strings.TrimPrefix(c.Matter, "op/")]
	m := r.Matters[c.Matter]
	switch {
	case op == nil:
		return nil, "no such operation"
	case c.Owner == "" || m.Owner != c.Owner || m.Fence != c.Fence:
		return op, "another owner has it"
	case op.Closed:
		return op, "it is closed"
	}
	return op, ""
}

// step moves one member on, by its operation's owner: along the table, one row, from where the owner saw it stand.
func (r *Record) step(no uint64, c *Command) (string, uint64) {
	op, why := r.owned(c)
	if why != "" {
		return why, 0
	}
	s, in := op.Steps[c.ID]
	if !in || s.No != c.Renewed {
		return "it has moved since", s.No
	}
	m := r.Members[c.ID]
	if c.To == "" { // it can't go on
		s.Why = c.Why
		op.Steps[c.ID] = s
		r.note(no, "stuck", op.ID+" "+c.ID, c)
		return "", s.No
	}
	if c.To == "undo" {
		if s.At != Granted {
			return "only what was granted, and not acted on, is undone", s.No
		}
		s.Undo = true
		if m.Kind == "worker" {
			r.intend(no, m, false, c)
			s.At = Acted
		}
		s.No = no
		op.Steps[c.ID] = s
		r.note(no, "undo", op.ID+" "+c.ID, c)
		return "", no
	}
	// One that its own agent knows to be down takes no room to be started: else two that fell would keep each other out.
	if _, out := r.IsOut(c.ID); c.Then == isDown && c.To == Gone && s.At == Waits && op.Raises(m) && out && r.Permits[c.ID].Op == "" {
		r.Permits[c.ID] = Permit{op.ID, no}
		s.At, s.No, s.Why = Gone, no, ""
		op.Steps[c.ID] = s
		r.note(no, isDown, op.ID+" "+c.ID, c)
		return "", no
	}
	w := op.stepOf(m, s)
	if w == nil || w.to != c.To {
		return "no such step from " + s.At, s.No
	}
	h := r.Health[c.ID]
	switch w.till {
	case "room":
		if why := r.Grant(op, c.ID); why != "" {
			return why, s.No
		}
		r.Permits[c.ID] = Permit{op.ID, no}
	case "out":
		if h.State != "out" || h.Of < s.No {
			return "not all have said yes", s.No
		}
	case "in":
		if h.State != InService || h.Of < s.No {
			return "it was not seen in service since", s.No
		}
		delete(r.Permits, c.ID)
		if s.Undo && !op.Back {
			c.To = Waits
		}
		s.Undo = false
	}
	if m.Kind == "worker" && (c.To == Granted || c.To == Acted) {
		r.intend(no, m, c.To == Granted, c)
	}
	s.At, s.No, s.Start, s.Why = c.To, no, c.Start, ""
	op.Steps[c.ID] = s
	if c.To == Granted || c.To == In || c.To == Gone {
		r.note(no, c.To, op.ID+" "+c.ID, c)
	}
	return "", no
}

// intend has schedulers told about a worker, by the owner of its zone.
func (r *Record) intend(no uint64, m Member, out bool, c *Command) {
	if w := r.Workers[m.ID]; w.Out != out {
		r.Workers[m.ID] = Intent{Zone: m.Zone, Out: out, Since: no, By: c.Matter, Why: c.Why}
	}
}

// wave begins the next wave, or ends the operation.
func (r *Record) wave(no uint64, c *Command) (string, uint64) {
	op, why := r.owned(c)
	if why != "" {
		return why, 0
	}
	if uint64(op.Wave) != c.Renewed || op.Done {
		return "it has moved since", 0
	}
	for _, id := range op.now() {
		if s := op.Steps[id]; !op.Arrived(s) && !(op.Back && s.Why != "") {
			return id + " has not arrived", 0
		}
	}
	if op.Wave+1 < len(op.Waves) {
		if h, halted := r.Halts[op.ID]; halted {
			return "halted: " + h.Why, 0
		}
		op.Wave++
		r.note(no, "wave", fmt.Sprint(op.ID, " ", op.Wave+1), c)
		return "", no
	}
	op.Done = true
	if op.Kind != "release" {
		op.Closed = true // nothing is kept for a way back
	}
	r.note(no, "done", op.ID, c)
	return "", no
}

// turn has an operation go back, from any point: by a person, or by its owner where the file says so.
func (r *Record) turn(no uint64, c *Command) (string, uint64) {
	op := r.Ops[strings.TrimPrefix(c.Matter, "op/")]
	if c.Owner != "" {
		if _, why := r.owned(c); why != "" {
			return why, 0
		}
	}
	switch {
	case op == nil:
		return "no such operation", 0
	case op.Closed || op.Kind == "undrain":
		return "it is closed, or nothing to go back from", 0
	case op.Back:
		return "", 0
	}
	var first, last []string
	for _, id := range op.now() {
		s, m := op.Steps[id], r.Members[id]
		switch {
		case s.At == Waits:
			s.At = In // nothing was done
		case s.At == In && op.Kind == "release":
			s.At, last = Waits, append(last, id)
		case s.At == In:
		case m.Kind == "worker" && op.Kind != "release" && s.At != Acted && s.At != Acting:
			r.intend(no, m, false, &Command{Matter: OpOf(op.ID)})
			s.At = Acted
			first = append(first, id)
		case m.Kind == "worker" && op.Kind != "release":
			first = append(first, id) // what runs there ends first
		case m.Kind == "worker":
			s.At = Granted // nothing may run there when the former version comes
			r.intend(no, m, true, &Command{Matter: OpOf(op.ID)})
			first = append(first, id)
		default:
			s.At = Gone
			first = append(first, id)
		}
		s.No, s.Undo, s.Why, s.Start = no, false, "", ""
		op.Steps[id] = s
	}
	for _, w := range op.Waves[min(op.Wave+1, len(op.Waves)):] {
		for _, id := range w {
			op.Steps[id] = Step{At: In, No: no} // never begun
		}
	}
	// Those that are out come first, then those that still serve and have to go out once more.
	slices.Sort(first)
	op.Waves, op.Wave, op.Back, op.Done = [][]string{append(first, last...)}, 0, true, false
	r.note(no, "back", op.ID, c)
	return "", no
}

func (r *Record) halt(no uint64, c *Command) (string, uint64) {
	op := r.Ops[c.ID]
	zone, isZone := strings.CutPrefix(c.ID, "zone/")
	switch {
	case c.By == "" || c.ID != "all" && !(isZone && zone != "") && op == nil:
		return "a halt is of an operation, a zone (zone/Z) or all, by somebody", 0
	case c.Then != "" && c.Then != "finish" && c.Then != "back":
		return "then: finish or back", 0
	}
	if c.Owner != "" {
		if _, why := r.owned(c); why != "" {
			return why, 0
		}
	}
	if _, ok := r.Halts[c.ID]; ok {
		return "", r.Halts[c.ID].No
	}
	if len(r.Halts) >= mostMatters {
		return "the record holds no more halts", 0
	}
	r.Halts[c.ID] = Halt{Of: c.ID, By: c.By, Why: c.Why, No: no, Then: c.Then}
	r.note(no, "halt", c.ID, c)
	if c.Then == "back" && op != nil {
		r.turn(no, &Command{Matter: OpOf(op.ID), By: c.By, Why: c.Why})
	}
	return "", no
}

// lift ends a halt. Only a person does.
func (r *Record) lift(no uint64, c *Command) (string, uint64) {
	switch h, ok := r.Halts[c.ID]; {
	case c.By == "" || c.Owner != "":
		return "only a person lifts a halt", 0
	case !ok:
		return "nothing of that name is halted", 0
	default:
		delete(r.Halts, c.ID)
		r.note(no, "lift", c.ID, c)
		return "", h.No
	}
}

// close ends an operation for good: what was kept for its way back may go.
func (r *Record) close(no uint64, c *Command) (string, uint64) {
	op := r.Ops[strings.TrimPrefix(c.Matter, "op/")]
	switch {
	case op == nil:
		return "no such operation", 0
	case op.Closed:
		return "", 0
	case !op.Done && !c.Force:
		return "it is not over", 0
	}
	for _, id := range slices.Sorted(maps.Keys(op.Steps)) {
		if p, ok := r.Permits[id]; ok && p.Op == op.ID {
			return id + " is still out for it", 0
		}
	}
	op.Done, op.Closed = true, true
	delete(r.Halts, op.ID)
	r.note(no, "close", op.ID, c)
	return "", no
}

func (r *Record) setLimits(no uint64, c *Command) (string, uint64) {
	if why := CheckLimits(c.Limits); why != "" || c.By == "" {
		return why, 0
	}
	r.Limits = c.Limits
	r.note(no, "limits", fmt.Sprint(len(c.Limits)), c)
	return "", no
}

// saw takes what the owner of a zone saw of its members.
func (r *Record) saw(zone string, seen map[string]Seen) {
	for id, s := range seen {
		if m, ok := r.Members[id]; ok && m.Zone == zone && len(s.State) <= mostName {
			if r.Bug == "cold-in" && s.State == "cold" || r.Bug == "unreached-in" && s.State == NotLooked {
				s.State = InService
			}
			if was := r.Health[id]; s.Of >= was.Of {
				r.Health[id] = s
			}
		}
	}
}

// Drawing is the table of steps as text, for docs/design/releases.md.
func Drawing() string {
	var b strings.Builder
	for _, w := range steps {
		kinds := w.ops
		if kinds == "" {
			kinds = "all"
		}
		does := w.call
		if does == "" {
			does = "-"
		}
		fmt.Fprintf(&b, "| %s | %s | %s -> %s | %s | %s |\n", w.kind, kinds, w.from, w.to, does, w.where)
	}
	return b.String()
}
