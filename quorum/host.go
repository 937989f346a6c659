package quorum

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"shalebeam/fleet"
)

const (
	tickEach   = 50 * time.Millisecond // an election is held after 1 to 2 s without a leader
	queued     = 256                   // letters to one voter; more are lost, as any may be
	letterMost = 64 << 20
	pastKept   = 64 // records, for those that follow: a few seconds of renewals, and who is further behind is sent all
)

// Host runs one voter in a real process: one goroutine has the node, others carry letters.
type Host struct {
	ID     uint64
	ctx    context.Context
	clock  Clock
	client *http.Client
	slog   *slog.Logger
	in     chan func(*Node)
	dead   chan struct{} // closed when the voter has stopped, for the reason in err
	err    error

	mu    sync.Mutex
	lanes map[uint64]*lane
	waits map[string]chan fleet.Answer // by caller and number
	reads map[string]chan struct{}
	turn  uint64
	view  View
	past  []Past
	fresh chan struct{} // closed when the view changes
	sent  Traffic
}

// View is what a voter knows, as others may read it.
type View struct {
	Raw    []byte // the record; it does not change
	Lean   []byte // the same without sessions and audit, which only voters need
	No     uint64
	Leader uint64
	Leads  bool
	Counts bool
	Behind bool
	LedAt  float64 // ms of the own clock, when it came to lead
	Addrs  map[uint64]string
	Syncs  int
	Bytes  int
}

// Traffic counts what went to other voters.
type Traffic struct{ Letters, Bytes int }

type lane struct{ queue chan Letter }

// Clock is the monotonic clock that all terms are counted by, in ms. A build with the tag faults can have it run fast or
// slow, or jump.
type Clock interface{ Now() float64 }

type steady struct{ origin time.Time }

func (c steady) Now() float64 { return float64(time.Since(c.origin)) / float64(time.Millisecond) }

// NewClock returns this process's clock.
func NewClock() Clock { return wrapClock(steady{time.Now()}) }

// NewHost starts a voter. It runs until ctx is done, or until its disk fails or turns out to lack what it acknowledged:
// see Wait.
// client carries its letters; it has a limit of time for each call.
func NewHost(ctx context.Context, o Options, clock Clock, client *http.Client, l *slog.Logger) (*Host, error) {
	n, err := Open(o)
	if err != nil {
		return nil, err
	}
	if n.TornTailBytes > 0 {
		l.Warn("torn tail cut off", "bytes", n.TornTailBytes)
	}
	h := &Host{ID: o.ID, ctx: ctx, clock: clock, client: client, slog: l, in: make(chan func(*Node), 64), dead: make(chan struct{}),
		lanes: map[uint64]*lane{}, waits: map[string]chan fleet.Answer{}, reads: map[string]chan struct{}{},
		fresh: make(chan struct{})}
	h.look(n)
	go h.run(ctx, n)
	return h, nil
}

// Wait returns why the voter has stopped, once it has.
func (h *Host) Wait() error {
	<-h.dead
	return h.err
}

// Dead is closed once the voter has stopped.
func (h *Host) Dead() <-chan struct{} { return h.dead }

func (h *Host) run(ctx context.Context, n *Node) {
	defer n.Close()
	defer close(h.dead)
	tick := time.NewTicker(tickEach)
	defer tick.Stop()
	was, said := n.Counts(), false
	for {
		var err error
		select {
		case <-ctx.Done():
			h.err = ctx.Err()
			return
		case <-tick.C:
			err = n.Tick()
		case f := <-h.in:
			f(n)
		}
		// What came together is kept together: a sync is the dearest part of a change.
		for more := true; more; {
			select {
			case f := <-h.in:
				f(n)
			default:
				more = false
			}
		}
		if err == nil {
			err = n.Work(h.clock.Now())
		}
		h.carry(ctx, n)
		if n.Counts() != was {
			was = n.Counts()
			h.slog.Info("voter counts", "voter", h.ID)
		}
		switch {
		case err == nil || said:
		case n.Behind():
			// It stays to tell others what it has seen of them: with three voters each that starts needs both others.
			h.slog.Error("voter stopped", "voter", h.ID, "err", err)
			said = true
		default:
			h.slog.Error("voter stopped", "voter", h.ID, "err", err)
			h.err = err
			h.look(n)
			return
		}
	}
}

// carry passes on what the node has decided.
func (h *Host) carry(ctx context.Context, n *Node) {
	h.look(n)
	for l, ok := n.NextLetter(); ok; l, ok = n.NextLetter() {
		h.post(ctx, l)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for d, ok := n.NextDone(); ok; d, ok = n.NextDone() {
		key := fmt.Sprint(d.Caller, " ", d.Number)
		if c := h.waits[key]; c != nil {
			delete(h.waits, key)
			c <- d.Answer
		}
	}
	for key, ok := n.NextRead(); ok; key, ok = n.NextRead() {
		if c := h.reads[key]; c != nil {
			delete(h.reads, key)
			close(c)
		}
	}
}

// look makes what the node knows readable by others.
func (h *Host) look(n *Node) {
	leader, leads := n.Leader()
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &h.view
	if leads && !v.Leads {
		v.LedAt = h.clock.Now()
	}
	changed := v.Raw == nil || v.No != n.Record.No || v.Leader != leader || v.Leads != leads || v.Counts != n.Counts()
	v.Leader, v.Leads, v.Counts, v.Behind, v.Syncs, v.Bytes = leader, leads, n.Counts(), n.Behind(), n.Syncs(), n.LogBytes()
	if changed || !n.Counts() {
		v.Addrs = n.Addrs()
	}
	if !changed {
		return
	}
	if v.Raw == nil || v.No != n.Record.No {
		v.Raw, v.No = n.Record.Snapshot(), n.Record.No
		v.Lean = n.Record.Lean()
		h.past = append(h.past, Past{v.No, v.Lean})[max(0, len(h.past)+1-pastKept):]
	}
	close(h.fresh)
	h.fresh = make(chan struct{})
}

// Past is the record as it was after some command, without sessions and audit.
type Past struct {
	No   uint64
	Lean []byte
}

// Past is the record after that command, nil where it is not kept any more.
func (h *Host) Past(no uint64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.past {
		if p.No == no {
			return p.Lean
		}
	}
	return nil
}

// View is what this voter knows now; fresh is closed when that changes.
func (h *Host) View() (v View, fresh <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.fresh
}

// Traffic is what this voter has sent so far.
func (h *Host) Traffic() Traffic {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

// on runs f with the node.
func (h *Host) on(ctx context.Context, f func(*Node)) error {
	select {
	case h.in <- f:
		return nil
	case <-h.dead:
		return errors.Join(errors.New("the voter has stopped"), h.err)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take takes letters of another voter.
func (h *Host) Take(ctx context.Context, r io.Reader) error {
	var all []Letter
	if err := json.NewDecoder(io.LimitReader(r, letterMost)).Decode(&all); err != nil {
		return err
	}
	return h.on(ctx, func(n *Node) {
		for _, l := range all {
			if l.To == h.ID {
				_ = n.Step(h.clock.Now(), l)
			} else if l.Ask != 0 && l.To == n.options.Replaces {
				// This one was put in the place of the voter of that number, whose disk is no more.
				h.post(h.ctx, Letter{From: l.To, To: l.From, Told: l.Ask, Behind: true, Voters: n.Record.Voters,
					VotersNo: n.Record.VotersNo})
			}
		}
	})
}

// Do asks for a command and waits for what comes of it. An error other than ErrNotLeader and ErrNotCounting leaves open
// whether it was, or will be, carried out: it may be sent again as it is.
func (h *Host) Do(ctx context.Context, c fleet.Command) (fleet.Answer, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return fleet.Answer{}, err
	}
	key, got := fmt.Sprint(c.Caller, " ", c.Number), make(chan fleet.Answer, 1)
	h.mu.Lock()
	h.waits[key] = got
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		if h.waits[key] == got {
			delete(h.waits, key)
		}
		h.mu.Unlock()
	}()
	refused := make(chan error, 1)
	if err := h.on(ctx, func(n *Node) { refused <- n.Propose(h.clock.Now(), raw) }); err != nil {
		return fleet.Answer{}, err
	}
	select {
	case err := <-refused:
		if err != nil {
			return fleet.Answer{}, err
		}
	case <-ctx.Done():
		return fleet.Answer{}, ctx.Err()
	}
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
		return fleet.Answer{}, ctx.Err()
	case <-h.dead:
		return fleet.Answer{}, h.err
	}
}

// Voters asks for a change of who votes.
func (h *Host) Voters(ctx context.Context, add uint64, addr string, remove uint64) error {
	got := make(chan error, 1)
	if err := h.on(ctx, func(n *Node) { got <- n.ProposeVoters(add, addr, remove) }); err != nil {
		return err
	}
	select {
	case err := <-got:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read waits until this voter's record is as new as any that was answered before the call.
func (h *Host) Read(ctx context.Context) error {
	h.mu.Lock()
	h.turn++
	key, got := fmt.Sprint(h.ID, " ", h.turn), make(chan struct{})
	h.reads[key] = got
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.reads, key)
		h.mu.Unlock()
	}()
	refused := make(chan error, 1)
	if err := h.on(ctx, func(n *Node) { refused <- n.Read(key) }); err != nil {
		return err
	}
	select {
	case err := <-refused:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-got:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-h.dead:
		return h.err
	}
}

// post puts a letter in its voter's queue. What does not fit is lost, as any may be.
func (h *Host) post(ctx context.Context, l Letter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.lanes[l.To]
	if v == nil {
		v = &lane{make(chan Letter, queued)}
		h.lanes[l.To] = v
		go h.send(ctx, l.To, v)
	}
	select {
	case v.queue <- l:
	default:
	}
}

// send carries letters to one voter, those that wait together in one call.
func (h *Host) send(ctx context.Context, to uint64, v *lane) {
	for {
		var all []Letter
		select {
		case <-ctx.Done():
			return
		case <-h.dead:
			return
		case l := <-v.queue:
			all = append(all, l)
		}
		for more := true; more && len(all) < queued; {
			select {
			case l := <-v.queue:
				all = append(all, l)
			default:
				more = false
			}
		}
		h.mu.Lock()
		addr := h.view.Addrs[to]
		h.mu.Unlock()
		if addr == "" {
			continue
		}
		raw, _ := json.Marshal(all)
		h.mu.Lock()
		h.sent.Letters += len(all)
		h.sent.Bytes += len(raw)
		h.mu.Unlock()
		r, err := h.client.Post("http://"+addr+"/v1/letters", "application/json", bytes.NewReader(raw))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
		}
	}
}
