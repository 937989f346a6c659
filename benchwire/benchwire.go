// Package benchwire decodes the bench's wire to calls on balance, and encodes what balance decides. It makes
// no choices; its one duty beside the coding is the wake-up timer.
package benchwire

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"

	"shalebeam/balance"
	"shalebeam/startup"
)

type batch struct {
	At   *int64    `json:"at_time"`
	Msgs []message `json:"msgs"`
}

type head struct {
	Cmd  string `json:"cmd"`
	Inst int    `json:"scheduler_id"`
}

type message struct {
	head
	Ref       json.RawMessage    `json:"ref"`
	Seed      uint64             `json:"init_seed"`
	Facts     json.RawMessage    `json:"facts"`
	Scope     string             `json:"scope"`
	Elements  []element          `json:"elements"`
	Hint      int64              `json:"work_hint"`
	Entity    string             `json:"entity"`
	Org       int                `json:"org"`
	Qos       int                `json:"qos"`
	Remaining int64              `json:"remaining"`
	Opts      int                `json:"opts"`
	Cores     float64            `json:"cores_needed"`
	Worker    string             `json:"worker"`
	Try       int                `json:"try"`
	Outcome   int                `json:"outcome"`
	Closed    bool               `json:"closed"`
	Telemetry map[string]float64 `json:"telemetry"`
	Author    int                `json:"author"`
	Payload   []byte             `json:"payload"`
}

type element struct {
	Worker    string  `json:"worker"`
	Group     int     `json:"group"`
	LastStart int64   `json:"last_start"`
	Model     int     `json:"model"`
	Condition string  `json:"condition"`
	Hint      float64 `json:"capacity_hint"`
	DC        int     `json:"dc"`
}

func ms(us int64) float64 { return float64(us) / 1000 }
func us(ms float64) int64 { return int64(math.Ceil(ms * 1000)) }

var states = map[string]balance.State{"Running": balance.Running, "Stopping": balance.Draining,
	"Deleted": balance.Removed}

var outcomes = []balance.Outcome{balance.Done, balance.Erred, balance.Full, balance.TimedOut,
	balance.NoConnect, balance.Reset, balance.Cancelled, balance.NeverSent}

type instance struct {
	id    int
	sched *balance.Scheduler
	timer float64 // when the pending timer comes due
	told  startup.Told
}

// Link hosts the instances, which share nothing.
type Link struct {
	insts map[int]*instance
	stray map[int]bool
	errs  io.Writer
	out   bytes.Buffer
}

// New returns a link that says on errs what it passes over.
func New(errs io.Writer) *Link {
	return &Link{insts: map[int]*instance{}, stray: map[int]bool{}, errs: errs}
}

// Answer takes one line and returns the reply's.
func (l *Link) Answer(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("not a batch: %w", err)
	}
	if b.At == nil || b.Msgs == nil {
		return nil, fmt.Errorf("not a batch: at_time or msgs is missing")
	}
	now := ms(*b.At)
	l.out.Reset()
	l.out.WriteString(`{"do":[`)
	var touched []*instance
	for i := range b.Msgs {
		m := &b.Msgs[i]
		in := l.insts[m.Inst]
		switch m.Cmd {
		case "spawn":
			if m.Facts == nil {
				return nil, fmt.Errorf("spawn without facts")
			}
			told, err := startup.Decode(m.Facts, m.Seed)
			if err != nil {
				return nil, fmt.Errorf("spawn: %w", err)
			}
			in = &instance{id: m.Inst, sched: balance.New(told.Terms), timer: math.Inf(1), told: told}
			l.insts[m.Inst] = in
		case "stop":
			delete(l.insts, m.Inst)
			continue
		}
		if in == nil {
			if !l.stray[m.Inst] {
				l.stray[m.Inst] = true
				fmt.Fprintf(l.errs, "benchlink: %s for instance %d, which was not started: passed over\n", m.Cmd, m.Inst)
			}
			continue
		}
		known := false
		for _, o := range touched {
			known = known || o == in
		}
		if !known {
			touched = append(touched, in)
		}
		l.guard(in, func() { in.take(now, m) })
	}
	for _, in := range touched {
		if l.insts[in.id] == in {
			l.guard(in, func() { l.pull(now, in) })
		}
	}
	l.out.WriteString("]}\n")
	return l.out.Bytes(), nil
}

// guard answers a panic of the module with its text, as the wire asks.
func (l *Link) guard(in *instance, f func()) {
	defer func() {
		if r := recover(); r != nil {
			l.act("bail_out", in.id)
			l.str("note_text", fmt.Sprint(r))
			l.out.WriteByte('}')
		}
	}()
	f()
}

func (m *message) text() string {
	if len(m.Ref) > 1 && m.Ref[0] == '"' {
		var s string
		if json.Unmarshal(m.Ref, &s) == nil {
			return s
		}
	}
	return ""
}

func (m *message) how() balance.Outcome {
	if m.Outcome < 0 || m.Outcome >= len(outcomes) {
		return balance.Erred // a code that is not known proves nothing
	}
	return outcomes[m.Outcome]
}

func (in *instance) take(now float64, m *message) {
	s := in.sched
	switch m.Cmd {
	case "call":
		hint := -1.0
		if m.Opts&1 != 0 {
			hint = ms(m.Hint)
		}
		s.Arrived(now, balance.Txn{Ref: m.text(), Scheme: m.Qos, Tenant: m.Org, Key: m.Entity, Hint: hint,
			Slots: m.Cores, Left: ms(m.Remaining), Repeat: m.Opts&2 != 0})
	case "dropped":
		s.Gone(now, m.text())
	case "answer":
		s.Ended(now, m.text(), m.Try, m.how(), m.Closed, in.told.Load(m.Telemetry))
	case "update_of":
		s.Started(now, m.text(), m.Try)
	case "datagram":
		s.Heard(now, m.Author, m.Payload)
	case "ping_result":
		s.Probed(now, m.Worker, m.how(), in.told.Load(m.Telemetry))
	case "sync":
		if m.Scope == "Error" {
			s.Watched(now, false)
			return
		}
		rows := make([]balance.Listed, 0, len(m.Elements))
		for _, e := range m.Elements {
			state, ok := states[e.Condition]
			if !ok {
				state = balance.Draining // nothing is sent to a worker in a state that is not known
			}
			rows = append(rows, balance.Listed{ID: e.Worker, Cell: e.Group, Zone: e.DC, Kind: e.Model, State: state,
				Start: ms(e.LastStart), Weight: e.Hint})
		}
		s.ListChanged(now, m.Scope != "Partial", rows)
		if m.Scope != "Persisted" {
			s.Watched(now, true)
		}
	case "timer":
		if now >= in.timer {
			in.timer = math.Inf(1)
		}
	}
}

func (l *Link) pull(now float64, in *instance) {
	s := in.sched
	for more := true; more; {
		more = false
		if f, ok := s.NextFinal(now); ok {
			more = true
			if f.Declined {
				l.act("refuse", in.id)
				if f.Stay > 0 {
					l.num("stay_away", us(f.Stay))
				}
			} else {
				l.act("end_failed", in.id)
			}
			l.str("ref", f.Ref)
			l.out.WriteByte('}')
		} else if c, ok := s.NextCancel(now); ok {
			more = true
			l.act("revoke", in.id)
			l.str("ref", c.Ref)
			l.num("try", int64(c.Posting))
			l.out.WriteByte('}')
		} else if p, ok := s.NextPosting(now); ok {
			more = true
			l.act("issue", in.id)
			l.str("ref", p.Ref)
			l.str("worker", p.Worker)
			if p.Timeout > 0 {
				l.num("timeout", us(p.Timeout))
			}
			l.out.WriteByte('}')
		} else if id, ok := s.NextProbe(now); ok {
			more = true
			l.act("sample", in.id)
			l.str("worker", id)
			l.out.WriteByte('}')
		} else if body, ok := s.NextMessage(now); ok {
			more = true
			l.act("broadcast_to", in.id)
			l.str("recipient", "all")
			l.str("payload", base64.StdEncoding.EncodeToString(body))
			l.out.WriteByte('}')
		} else if s.NextWatch(now) {
			more = true
			l.act("track", in.id)
			l.out.WriteString(`,"on":true}`)
		}
	}
	if at := s.Wake(now); at < in.timer {
		in.timer = at
		l.act("schedule", in.id)
		l.num("after", min(us(at-now), 70*60*1e6))
		l.num("ref", 1)
		l.out.WriteByte('}')
	}
}

func (l *Link) act(cmd string, inst int) {
	if b := l.out.Bytes(); b[len(b)-1] != '[' {
		l.out.WriteByte(',')
	}
	l.out.WriteString(`{"cmd":"` + cmd + `"`)
	l.num("scheduler_id", int64(inst))
}

func (l *Link) num(name string, v int64) {
	l.out.WriteString(`,"` + name + `":`)
	l.out.Write(strconv.AppendInt(l.out.AvailableBuffer(), v, 10))
}

func (l *Link) str(name, v string) {
	l.out.WriteString(`,"` + name + `":`)
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(`""`)
	}
	l.out.Write(b)
}
