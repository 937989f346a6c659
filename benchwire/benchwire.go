// Package benchwire runs schedulers (package balance) for the benchmark harness, called the bench. The bench sends
// batches of messages, a JSON object a line, and gets for each batch a line with the actions that the schedulers decide
// on. The package makes no decisions: it decodes messages to calls of package balance, encodes what that decides, and
// keeps the wake-up timer of each scheduler. Times on the wire are in microseconds, in package balance in milliseconds.
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

// batch is a line of input.
type batch struct {
	AtUS     *int64    `json:"at_time"` // current time
	Messages []message `json:"msgs"`
}

// head is the part that all messages have.
type head struct {
	Command     string `json:"cmd"`
	SchedulerID int    `json:"scheduler_id"`
}

// message has the fields of all commands. A message brings those of its command.
type message struct {
	head
	Ref         json.RawMessage    `json:"ref"` // a txn's id, or a timer's token
	Seed        uint64             `json:"init_seed"`
	Settings    json.RawMessage    `json:"facts"` // see package startup
	Scope       string             `json:"scope"` // Complete, Partial, Persisted (stored before the start) or Error (no list)
	Elements    []element          `json:"elements"`
	WorkHintUS  int64              `json:"work_hint"`
	Key         string             `json:"entity"`
	Tenant      int                `json:"org"`
	Scheme      int                `json:"qos"`
	RemainingUS int64              `json:"remaining"` // until the client gives up
	Options     int                `json:"opts"`      // see optHinted and optRepeat
	Cores       float64            `json:"cores_needed"`
	Worker      string             `json:"worker"`
	Attempt     int                `json:"try"`
	Outcome     int                `json:"outcome"` // index in outcomes
	Closed      bool               `json:"closed"`
	LoadReport  map[string]float64 `json:"telemetry"`
	Sender      int                `json:"author"` // scheduler that sent Payload
	Payload     []byte             `json:"payload"`
}

// Bits of message.Options.
const (
	optHinted = 1 // WorkHintUS is given
	optRepeat = 2 // the client marked the request as a repeat
)

// element is a worker in a list of workers.
type element struct {
	Worker      string  `json:"worker"`
	Cell        int     `json:"group"`
	LastStartUS int64   `json:"last_start"`
	Kind        int     `json:"model"`
	State       string  `json:"condition"` // see states
	Weight      float64 `json:"capacity_hint"`
	Zone        int     `json:"dc"`
}

func usToMs(us int64) float64 { return float64(us) / 1000 }
func msToUS(ms float64) int64 { return int64(math.Ceil(ms * 1000)) }

// states maps the names of a worker's states on the wire.
var states = map[string]balance.State{"Running": balance.Running, "Stopping": balance.Draining,
	"Deleted": balance.Removed}

// outcomes lists the outcomes of postings and probes by their codes on the wire.
var outcomes = []balance.Outcome{balance.Done, balance.Failed, balance.Full, balance.TimedOut,
	balance.NoConnect, balance.Reset, balance.Cancelled, balance.NeverSent}

// maxTimerUS is the longest delay of a timer, 70 minutes in microseconds. It is below 2^32.
const maxTimerUS = 70 * 60 * 1e6

// instance is one scheduler that the bench has started.
type instance struct {
	id        int
	scheduler *balance.Scheduler
	timerAt   float64 // when the pending timer is due, in milliseconds; +Inf if there is none
	settings  startup.Settings
}

// Session runs the schedulers that one bench starts. They share nothing.
type Session struct {
	instances       map[int]*instance
	unknownReported map[int]bool // ids of schedulers that were not started, with a warning written
	warnings        io.Writer
	out             bytes.Buffer // the reply that is being written
}

// New returns a session that reports ignored messages on warnings.
func New(warnings io.Writer) *Session {
	return &Session{instances: map[int]*instance{}, unknownReported: map[int]bool{}, warnings: warnings}
}

// Answer handles a batch, given as a line of JSON, and returns the line of the reply. It is valid until the next call.
func (s *Session) Answer(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("invalid batch: %w", err)
	}
	if b.AtUS == nil || b.Messages == nil {
		return nil, fmt.Errorf("invalid batch: at_time or msgs is missing")
	}
	now := usToMs(*b.AtUS)
	s.out.Reset()
	s.out.WriteString(`{"do":[`)
	var touched []*instance // those that got a message, in the order of their first one
	for i := range b.Messages {
		m := &b.Messages[i]
		in := s.instances[m.SchedulerID]
		switch m.Command {
		case "spawn":
			if m.Settings == nil {
				return nil, fmt.Errorf("spawn: facts is missing")
			}
			settings, err := startup.Decode(m.Settings, m.Seed)
			if err != nil {
				return nil, fmt.Errorf("spawn: %w", err)
			}
			in = &instance{id: m.SchedulerID, scheduler: balance.New(settings.Terms), timerAt: math.Inf(1), settings: settings}
			s.instances[m.SchedulerID] = in
		case "stop":
			delete(s.instances, m.SchedulerID)
			continue
		}
		if in == nil {
			if !s.unknownReported[m.SchedulerID] {
				s.unknownReported[m.SchedulerID] = true
				fmt.Fprintf(s.warnings, "benchlink: ignored %s for scheduler %d, which was not started\n", m.Command, m.SchedulerID)
			}
			continue
		}
		isTouched := false
		for _, other := range touched {
			isTouched = isTouched || other == in
		}
		if !isTouched {
			touched = append(touched, in)
		}
		s.reportPanic(in, func() { in.handle(now, m) })
	}
	for _, in := range touched {
		if s.instances[in.id] == in { // not stopped or replaced since
			s.reportPanic(in, func() { s.writeActions(now, in) })
		}
	}
	s.out.WriteString("]}\n")
	return s.out.Bytes(), nil
}

// reportPanic calls f. If f panics, it writes the action bail_out with the panic's text, as the protocol of the bench
// asks.
func (s *Session) reportPanic(in *instance, f func()) {
	defer func() {
		if r := recover(); r != nil {
			s.beginAction("bail_out", in.id)
			s.writeString("note_text", fmt.Sprint(r))
			s.out.WriteByte('}')
		}
	}()
	f()
}

// refText returns the ref if it is a string, and "" otherwise.
func (m *message) refText() string {
	if len(m.Ref) > 1 && m.Ref[0] == '"' {
		var s string
		if json.Unmarshal(m.Ref, &s) == nil {
			return s
		}
	}
	return ""
}

// outcome returns the outcome of a posting or a probe.
func (m *message) outcome() balance.Outcome {
	if m.Outcome < 0 || m.Outcome >= len(outcomes) {
		return balance.Failed // may have run: an unknown code proves nothing
	}
	return outcomes[m.Outcome]
}

// handle passes a message to the scheduler. Unknown commands are ignored.
func (in *instance) handle(now float64, m *message) {
	scheduler := in.scheduler
	switch m.Command {
	case "call":
		hint := -1.0
		if m.Options&optHinted != 0 {
			hint = usToMs(m.WorkHintUS)
		}
		scheduler.Arrived(now, balance.Txn{Ref: m.refText(), Scheme: m.Scheme, Tenant: m.Tenant, Key: m.Key, Hint: hint,
			Slots: m.Cores, TimeLeftMs: usToMs(m.RemainingUS), Repeat: m.Options&optRepeat != 0})
	case "dropped":
		scheduler.TxnClosed(now, m.refText())
	case "answer":
		scheduler.Ended(now, m.refText(), m.Attempt, m.outcome(), m.Closed, in.settings.Load(m.LoadReport))
	case "update_of":
		scheduler.Started(now, m.refText(), m.Attempt)
	case "datagram":
		scheduler.MessageReceived(now, m.Sender, m.Payload)
	case "ping_result":
		scheduler.Probed(now, m.Worker, m.outcome(), in.settings.Load(m.LoadReport))
	case "sync":
		if m.Scope == "Error" {
			scheduler.WatchAnswered(now, false)
			return
		}
		rows := make([]balance.Listed, 0, len(m.Elements))
		for _, e := range m.Elements {
			state, ok := states[e.State]
			if !ok {
				state = balance.Draining // so that nothing is sent to a worker in an unknown state
			}
			rows = append(rows, balance.Listed{ID: e.Worker, Cell: e.Cell, Zone: e.Zone, Kind: e.Kind, State: state,
				Start: usToMs(e.LastStartUS), Weight: e.Weight})
		}
		scheduler.ListChanged(now, m.Scope != "Partial", rows)
		if m.Scope != "Persisted" {
			scheduler.WatchAnswered(now, true)
		}
	case "timer":
		if now >= in.timerAt {
			in.timerAt = math.Inf(1)
		}
	}
}

// writeActions writes all actions that the scheduler decides on, and a timer if it has to be woken earlier than by the
// pending one.
func (s *Session) writeActions(now float64, in *instance) {
	scheduler := in.scheduler
	for more := true; more; {
		more = false
		if f, ok := scheduler.NextFinal(now); ok {
			more = true
			if f.Declined {
				s.beginAction("refuse", in.id)
				if f.StayAwayMs > 0 {
					s.writeInt("stay_away", msToUS(f.StayAwayMs))
				}
			} else {
				s.beginAction("end_failed", in.id)
			}
			s.writeString("ref", f.Ref)
			s.out.WriteByte('}')
		} else if c, ok := scheduler.NextCancel(now); ok {
			more = true
			s.beginAction("revoke", in.id)
			s.writeString("ref", c.Ref)
			s.writeInt("try", int64(c.Posting))
			s.out.WriteByte('}')
		} else if p, ok := scheduler.NextPosting(now); ok {
			more = true
			s.beginAction("issue", in.id)
			s.writeString("ref", p.Ref)
			s.writeString("worker", p.Worker)
			if p.Timeout > 0 {
				s.writeInt("timeout", msToUS(p.Timeout))
			}
			s.out.WriteByte('}')
		} else if id, ok := scheduler.NextProbe(now); ok {
			more = true
			s.beginAction("sample", in.id)
			s.writeString("worker", id)
			s.out.WriteByte('}')
		} else if body, ok := scheduler.NextMessage(now); ok {
			more = true
			s.beginAction("broadcast_to", in.id)
			s.writeString("recipient", "all")
			s.writeString("payload", base64.StdEncoding.EncodeToString(body))
			s.out.WriteByte('}')
		} else if scheduler.NextWatch(now) {
			more = true
			s.beginAction("track", in.id)
			s.out.WriteString(`,"on":true}`)
		}
	}
	if at := scheduler.Wake(now); at < in.timerAt {
		in.timerAt = at
		s.beginAction("schedule", in.id)
		s.writeInt("after", min(msToUS(at-now), maxTimerUS))
		s.writeInt("ref", 1)
		s.out.WriteByte('}')
	}
}

// beginAction writes the beginning of an action, up to and with its scheduler's id.
func (s *Session) beginAction(command string, schedulerID int) {
	if b := s.out.Bytes(); b[len(b)-1] != '[' {
		s.out.WriteByte(',')
	}
	s.out.WriteString(`{"cmd":"` + command + `"`)
	s.writeInt("scheduler_id", int64(schedulerID))
}

// writeInt writes a field with an integer.
func (s *Session) writeInt(name string, v int64) {
	s.out.WriteString(`,"` + name + `":`)
	s.out.Write(strconv.AppendInt(s.out.AvailableBuffer(), v, 10))
}

// writeString writes a field with a string.
func (s *Session) writeString(name, v string) {
	s.out.WriteString(`,"` + name + `":`)
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(`""`)
	}
	s.out.Write(b)
}
