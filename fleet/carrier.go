package fleet

import (
	"fmt"
	"maps"
	"slices"
)

const (
	doEach     = 100.0 // how soon an agent is asked again how far it is
	sampleEach = 500.0
	askMost    = 3000.0 // after which a command that nothing came of is asked for again
	grantEach  = 500.0  // after a grant that was refused
	lostMost   = 2      // where the file names none
	backMost   = 20000  // for a scheduler whose new process was ready to be seen in service
)

// Do is a call to make at a member's agent. It is the same call until its step has moved on.
type Do struct {
	Op     string `json:"op"`
	Member string `json:"member"`
	Call   string `json:"call"` // stop, run, command
	No     uint64 `json:"no"`   // of the step
	Fence  uint64 `json:"fence"`
	Start  string `json:"start,omitempty"` // of the agent that it is meant for, where it is not safe twice
	Agent  Member `json:"-"`
}

// Did is what came of it.
type Did struct {
	Reached bool   `json:"-"`
	State   string `json:"state"` // done, going, failed, refused, unknown
	Why     string `json:"why,omitempty"`
	Start   string `json:"start"`          // of the agent that answered
	Down    bool   `json:"down,omitempty"` // no process of the member serves, as its agent sees it
}

// Txns counts a scheduler's answers since its process began.
type Txns struct {
	Settled  int `json:"settled"`
	Declined int `json:"declined"`
	Reversed int `json:"reversed"`
}

type try struct {
	no     uint64
	busy   bool
	at     float64
	since  float64
	done   bool
	failed string
	agent  string  // the life of its agent
	down   float64 // until when its agent's word that it is down is taken
	grant  float64
	asked  float64 // until when a command for it counts as under way
}

// Carrier is what the owner of an operation knows beside the record. It begins with nothing: what a predecessor did stands
// in the record, and at the agents.
type Carrier struct {
	ID, Owner string
	Fence     uint64
	Bug       string // one planted by a test of what finds it
	rec       *Record
	op        *Op
	tries     map[string]*try
	wave      int
	waveAt    float64
	movedAt   float64 // when a member last moved on
	watchAt   float64 // 0: not watching
	figures   figures
	lost      map[string]bool
	samples   map[string]float64 // when each scheduler was asked last
	refused   map[Member]bool    // of this record: members like these have no room
	refusedNo uint64
	asked     float64 // the same of a command for the whole
	granting  map[string]bool
}

// NewCarrier begins an ownership.
func NewCarrier(id, owner string, fence uint64) *Carrier {
	return &Carrier{ID: id, Owner: owner, Fence: fence, tries: map[string]*try{}, wave: -1, lost: map[string]bool{},
		samples: map[string]float64{}, granting: map[string]bool{}}
}

// Follow takes the record as it now is.
func (c *Carrier) Follow(now float64, r *Record) {
	c.rec, c.op = r, r.Ops[c.ID]
	if c.op == nil {
		return
	}
	for id, s := range c.op.Steps {
		if t := c.tries[id]; t == nil || t.no != s.No {
			c.tries[id] = &try{no: s.No, since: now}
			c.movedAt = now
			delete(c.granting, id)
		}
	}
	if wave := c.op.Wave; wave != c.wave || c.halted() != "" || c.op.Back {
		c.wave, c.waveAt = wave, now
	}
	if !c.arrived() || c.op.Back || c.halted() != "" {
		c.watchAt = 0
	} else if c.watchAt == 0 {
		c.watchAt, c.figures = now, figures{}
		clear(c.samples)
	}
	for _, id := range c.op.now() {
		if s := c.op.Steps[id]; s.At == In && !c.op.Back && c.op.Kind == "release" {
			if _, out := r.IsOut(id); out {
				c.lost[id] = true
			}
		}
	}
}

func (c *Carrier) halted() string {
	if h, ok := c.rec.Halts[c.ID]; ok {
		return h.Why + " "
	}
	return ""
}

func (c *Carrier) arrived() bool {
	for _, id := range c.op.now() {
		if s := c.op.Steps[id]; !c.op.Arrived(s) && !(c.op.Back && s.Why != "") {
			return false
		}
	}
	return true
}

// Over tells whether there is nothing left to carry.
func (c *Carrier) Over() bool { return c.op != nil && !c.op.Open() }

// NextDo decides the next call at an agent.
func (c *Carrier) NextDo(now float64) (Do, bool) {
	if c.op == nil || !c.op.Open() {
		return Do{}, false
	}
	for _, id := range c.op.now() {
		m, s, t := c.rec.Members[id], c.op.Steps[id], c.tries[id]
		w := c.op.stepOf(m, s)
		if w == nil || w.call == "" || t.busy || t.done || t.failed != "" || now < t.at ||
			w.till == "pause" && now < t.since+c.op.Pause {
			continue
		}
		agent, known := c.rec.Members[m.Agent]
		if !known {
			t.failed = "its agent " + m.Agent + " is not on record"
			continue
		}
		t.busy, t.at = true, now+doEach
		return Do{Op: c.ID, Member: id, Call: w.call, No: s.No, Fence: c.Fence, Start: s.Start, Agent: agent}, true
	}
	return Do{}, false
}

// Did takes what came of a call.
func (c *Carrier) Did(now float64, d Do, r Did) {
	t := c.tries[d.Member]
	if t == nil || t.no != d.No {
		return
	}
	t.busy, t.at = false, now+doEach
	switch {
	case !r.Reached:
	case r.State == "done":
		t.done = true
	case r.State == "failed" || r.State == "unknown":
		t.failed = d.Member + ": " + r.State + ": " + r.Why
	}
	if r.Reached {
		t.agent = r.Start
	}
	if t.down = 0; r.Reached && r.Down {
		t.down = now + doEach*2
	}
}

// NextSample decides which scheduler to ask for its figures, while a wave is watched.
func (c *Carrier) NextSample(now float64) (Member, bool) {
	if c.op == nil || c.watchAt == 0 || c.op.Kind != "release" || c.op.Watch == 0 {
		return Member{}, false
	}
	for _, m := range c.rec.Of("scheduler") {
		if at, asked := c.samples[m.ID]; !asked || now >= at+sampleEach {
			c.samples[m.ID] = now
			return m, true
		}
	}
	return Member{}, false
}

// Sampled takes a scheduler's figures.
func (c *Carrier) Sampled(id string, n Txns) {
	if c.watchAt > 0 {
		c.figures.add(id, n)
	}
}

// NextCommand decides what to put on record next: one at a time for a member, and one for the whole. Commanded takes what
// came of it.
func (c *Carrier) NextCommand(now float64) (Command, bool) {
	if c.op == nil || !c.op.Open() {
		return Command{}, false
	}
	cmd, ok := c.next(now)
	if !ok {
		return cmd, false
	}
	if cmd.Do != "step" {
		c.asked = now + askMost
		return cmd, true
	}
	c.tries[cmd.ID].asked = now + askMost
	if cmd.To == Granted {
		c.granting[cmd.ID] = true
	}
	return cmd, true
}

// Commanded takes that something came of a command, or that nobody knows.
func (c *Carrier) Commanded(cmd Command) {
	if cmd.Do != "step" {
		c.asked = 0
	} else if t := c.tries[cmd.ID]; t != nil && t.no == cmd.Renewed {
		t.asked = 0
	}
	delete(c.granting, cmd.ID)
}

func (c *Carrier) next(now float64) (Command, bool) {
	mine := Command{Matter: OpOf(c.ID), Owner: c.Owner, Fence: c.Fence, By: OpOf(c.ID)}
	if why := c.trouble(now); why != "" && c.halted() == "" && !c.op.Back && now >= c.asked {
		cmd := mine
		if cmd.Do, cmd.ID, cmd.Why = "halt", c.ID, brief(why); c.op.AutoBack {
			cmd.Then = "back"
		}
		return cmd, true
	}
	for _, id := range c.op.now() {
		if now < c.tries[id].asked {
			continue
		}
		if cmd, ok := c.move(now, id); ok {
			cmd.Matter, cmd.Owner, cmd.Fence, cmd.By, cmd.Do, cmd.ID = mine.Matter, mine.Owner, mine.Fence, mine.By, "step", id
			return cmd, true
		}
	}
	for _, id := range c.op.now() {
		s, t := c.op.Steps[id], c.tries[id]
		// What can't go back may keep others from it for ever, as by the room that it takes: they are named too, and it ends.
		if c.op.Back && !c.op.Arrived(s) && s.Why == "" && now >= t.asked && now > max(t.since, c.movedAt)+2*backMost && c.rec.Halted(c.op, c.rec.Members[id].Zone) == "" {
			cmd := mine
			cmd.Do, cmd.ID, cmd.Renewed = "step", id, s.No
			cmd.Why = brief(fmt.Sprintf("can't go back: %s for long, seen %s; %s", s.At, c.rec.Health[id].State, c.rec.Grant(c.op, id)))
			return cmd, true
		}
	}
	if now < c.asked || !c.arrived() || c.watchAt > 0 && now < c.watchAt+c.op.Watch || c.halted() != "" && !c.op.Back {
		return Command{}, false
	}
	cmd := mine
	cmd.Do, cmd.Renewed = "wave", uint64(c.op.Wave)
	return cmd, true
}

func brief(why string) string { return why[:min(len(why), mostWhy)] }

// move is a member's next step, once it has what that waits for.
func (c *Carrier) move(now float64, id string) (Command, bool) {
	m, s, t := c.rec.Members[id], c.op.Steps[id], c.tries[id]
	w := c.op.stepOf(m, s)
	if w == nil {
		return Command{}, false
	}
	cmd := Command{To: w.to, Renewed: s.No}
	seen := c.rec.Health[id]
	switch {
	case c.op.Back && s.At == Waits && c.rec.Permits[id].Op != "" && c.rec.Permits[id].Op != c.ID:
		if s.Why != "" {
			return cmd, false
		}
		return Command{Renewed: s.No, Why: "can't go back: it is out for " + c.rec.Permits[id].Op}, true
	case c.op.Back && t.failed != "" && s.Why == "":
		return Command{Renewed: s.No, Why: brief("can't go back: " + t.failed)}, true
	case s.At == Granted && !s.Undo && !c.op.Back && c.rec.Halted(c.op, m.Zone) != "" && !t.done:
		return Command{To: "undo", Renewed: s.No}, true
	case w.call != "" && !t.done:
		return cmd, false
	case w.till == "room":
		// Thousands may wait, and a count goes over all: those that count alike are refused alike.
		if c.refusedNo != c.rec.No || c.refused == nil {
			c.refused, c.refusedNo = map[Member]bool{}, c.rec.No
		}
		_, out := c.rec.IsOut(id)
		if c.op.Raises(m) && out && now < t.down {
			return Command{To: Gone, Then: isDown, Renewed: s.No}, true
		}
		like := Member{Kind: m.Kind, Zone: m.Zone, Labels: m.Labels, Capacity: m.Capacity}
		if now < t.grant || !out && c.refused[like] {
			return cmd, false
		}
		if c.rec.grant(c.op, id, c.granting) != "" {
			c.refused[like] = c.refused[like] || !out && c.rec.room(id, c.granting) != ""
			return cmd, false
		}
		t.grant = now + grantEach // refused all the same, it is asked for again, not at once
	case w.till == "out" && (seen.State != "out" || seen.Of < s.No),
		w.till == "in" && (seen.State != InService || seen.Of < s.No),
		w.till == "pause" && now < t.since+c.op.Pause:
		return cmd, false
	}
	if w.to == Acting {
		// Which life of its agent is meant: one that was started again may have begun it, and have lost its note of that.
		if t.agent == "" {
			return cmd, false
		}
		cmd.Start = t.agent
	}
	return cmd, true
}

// NextLook decides which agent to ask for the name of its life, before it is to do what is not safe twice.
func (c *Carrier) NextLook(now float64) (Do, bool) {
	if c.op == nil || !c.op.Open() {
		return Do{}, false
	}
	for _, id := range c.op.now() {
		m, s, t := c.rec.Members[id], c.op.Steps[id], c.tries[id]
		_, out := c.rec.IsOut(id)
		w := c.op.stepOf(m, s)
		if w == nil || t.busy || now < t.at || !(w.to == Acting && t.agent == "" || s.At == Waits && out && c.op.Raises(m)) {
			continue
		}
		t.busy, t.at = true, now+doEach
		return Do{Op: c.ID, Member: id, Call: "look", No: s.No, Fence: c.Fence, Agent: c.rec.Members[m.Agent]}, true
	}
	return Do{}, false
}

// trouble is why the operation is to be halted, "" for nothing.
func (c *Carrier) trouble(now float64) string {
	for _, id := range c.op.now() {
		if t := c.tries[id]; t.failed != "" && !c.op.Arrived(c.op.Steps[id]) {
			return t.failed
		}
		if s := c.op.Steps[id]; s.At == Acted && !s.Undo && c.rec.Members[id].Kind == "scheduler" && now > c.tries[id].since+backMost {
			return fmt.Sprintf("%s was not seen in service for %g s after its new process was ready: %s", id, backMost/1000.0, c.rec.Health[id].State)
		}
	}
	most := c.op.Gates.Lost
	if most == 0 {
		most = lostMost
	}
	if len(c.lost) >= most && len(c.lost) > 0 {
		return fmt.Sprintf("%d members left service after they were released: %v", len(c.lost), slices.Sorted(maps.Keys(c.lost)))
	}
	if c.op.WaveMost > 0 && now > c.waveAt+c.op.WaveMost {
		return fmt.Sprintf("wave %d took over %g s", c.op.Wave+1, c.op.WaveMost/1000)
	}
	if c.watchAt > 0 && c.op.Kind == "release" {
		return c.figures.worse(c.op, c.Bug == "gate-yesterday")
	}
	return ""
}
