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
	tickInterval      = 50 * time.Millisecond // with electionTicks, an election begins 1 to 2 s after the leader is lost
	maxQueuedMessages = 256                   // to one voter; more are dropped, as raft copes with lost messages
	maxQueuedCalls    = 64                    // of functions to run with the node; more wait
	maxRequestBytes   = 64 << 20              // body of a request with messages
	// maxPastRecords is how many former versions of the record are kept for agents that ask for changes alone: a few seconds
	// of lease renewals. An agent that is further behind is sent the whole record.
	maxPastRecords = 64
)

// Host runs one voter in a real process. One goroutine owns the Node; one for each other voter sends messages to it.
type Host struct {
	ID        uint64
	ctx       context.Context
	clock     Clock
	client    *http.Client
	logger    *slog.Logger
	nodeCalls chan func(*Node) // run by the goroutine that owns the node
	stopped   chan struct{}    // closed when the voter has stopped, for the reason in stopErr
	stopErr   error

	mu              sync.Mutex
	sendQueues      map[uint64]*sendQueue               // by voter
	pendingCommands map[string]chan fleet.CommandResult // by caller and number
	pendingReads    map[string]chan struct{}            // by the key given to Node.Read; closed when the read may be answered
	lastReadNumber  uint64                              // makes these keys unique
	view            View
	pastRecords     []PastRecord  // oldest first
	viewChanged     chan struct{} // closed when the view changes, then replaced
	traffic         Traffic
}

// View is a copy of a voter's state for other goroutines.
type View struct {
	Snapshot          []byte            // the record's snapshot; never modified
	SnapshotForAgents []byte            // the same without sessions and audit, which only voters need
	LastCommand       uint64            // the last command that the record includes
	Leader            uint64            // the leader's number, 0 if unknown
	IsLeader          bool              // this voter is the leader
	Participating     bool              // this voter takes part in raft
	DiskBehind        bool              // its disk has lost what it acknowledged
	LeaderSinceMs     float64           // when it last became the leader, in ms of its Clock
	Addrs             map[uint64]string // of the voters
	Syncs             int               // how often it has waited for its disk
	LogBytes          int               // size of its log file
}

// Traffic counts the messages sent to other voters, and their bytes as JSON. It is reported under the names in the tags.
type Traffic struct {
	Messages int `json:"Letters"`
	Bytes    int `json:"Bytes"`
}

// sendQueue holds the messages that wait to be sent to one voter.
type sendQueue struct{ messages chan Message }

// Clock is the monotonic clock by which leases are measured. In a build with the tag faults it can run fast or slow, or
// jump.
type Clock interface {
	// Now returns the time in ms since an arbitrary origin.
	Now() float64
}

// monotonicClock counts from its origin by the process's monotonic clock.
type monotonicClock struct{ origin time.Time }

func (c monotonicClock) Now() float64 {
	return float64(time.Since(c.origin)) / float64(time.Millisecond)
}

// NewClock returns this process's clock.
func NewClock() Clock { return wrapClock(monotonicClock{time.Now()}) }

// NewHost starts a voter. It runs until ctx is done or until it stops for good, as when its disk fails: see Wait. If its disk
// turns out to lack what the voter acknowledged, it goes on running, but only to answer other voters' position queries.
// client sends its messages and needs a timeout for each request.
func NewHost(ctx context.Context, o Options, clock Clock, client *http.Client, logger *slog.Logger) (*Host, error) {
	n, err := Open(o)
	if err != nil {
		return nil, err
	}
	if n.TornTailBytes > 0 {
		logger.Warn("torn tail cut off", "bytes", n.TornTailBytes)
	}
	h := &Host{ID: o.ID, ctx: ctx, clock: clock, client: client, logger: logger,
		nodeCalls: make(chan func(*Node), maxQueuedCalls), stopped: make(chan struct{}),
		sendQueues: map[uint64]*sendQueue{}, pendingCommands: map[string]chan fleet.CommandResult{},
		pendingReads: map[string]chan struct{}{}, viewChanged: make(chan struct{})}
	h.updateView(n)
	go h.run(ctx, n)
	return h, nil
}

// Wait returns why the voter has stopped, once it has.
func (h *Host) Wait() error {
	<-h.stopped
	return h.stopErr
}

// Stopped returns a channel that is closed once the voter has stopped.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

// run owns the node until the voter stops.
func (h *Host) run(ctx context.Context, n *Node) {
	defer n.Close()
	defer close(h.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	participating, loggedBehind := n.Participating(), false
	for {
		var err error
		select {
		case <-ctx.Done():
			h.stopErr = ctx.Err()
			return
		case <-tick.C:
			err = n.Tick()
		case f := <-h.nodeCalls:
			f(n)
		}
		// All calls that are waiting are run before Work, so that they share one sync: it is the costliest part of a change.
		for more := true; more; {
			select {
			case f := <-h.nodeCalls:
				f(n)
			default:
				more = false
			}
		}
		if err == nil {
			err = n.Work(h.clock.Now())
		}
		h.passOutputs(ctx, n)
		if n.Participating() != participating {
			participating = n.Participating()
			h.logger.Info("voter counts", "voter", h.ID)
		}
		switch {
		case err == nil || loggedBehind:
		case n.DiskBehind():
			// It goes on running to tell other voters what it has seen them persist: with three voters, one that starts needs the
			// replies of both others.
			h.logger.Error("voter stopped", "voter", h.ID, "err", err)
			loggedBehind = true
		default:
			h.logger.Error("voter stopped", "voter", h.ID, "err", err)
			h.stopErr = err
			h.updateView(n)
			return
		}
	}
}

// passOutputs queues the node's messages for sending and wakes the callers whose commands or reads are done.
func (h *Host) passOutputs(ctx context.Context, n *Node) {
	h.updateView(n)
	for message, ok := n.NextMessage(); ok; message, ok = n.NextMessage() {
		h.enqueue(ctx, message)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for outcome, ok := n.NextOutcome(); ok; outcome, ok = n.NextOutcome() {
		key := fmt.Sprint(outcome.Caller, " ", outcome.Number)
		if c := h.pendingCommands[key]; c != nil {
			delete(h.pendingCommands, key)
			c <- outcome.Result
		}
	}
	for key, ok := n.NextRead(); ok; key, ok = n.NextRead() {
		if c := h.pendingReads[key]; c != nil {
			delete(h.pendingReads, key)
			close(c)
		}
	}
}

// updateView copies the node's state into the view, and signals viewChanged if the record, the leader or the participation
// has changed.
func (h *Host) updateView(n *Node) {
	leader, isLeader := n.Leader()
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &h.view
	if isLeader && !v.IsLeader {
		v.LeaderSinceMs = h.clock.Now()
	}
	changed := v.Snapshot == nil || v.LastCommand != n.Record.No || v.Leader != leader || v.IsLeader != isLeader || v.Participating != n.Participating()
	v.Leader, v.IsLeader, v.Participating, v.DiskBehind, v.Syncs, v.LogBytes = leader, isLeader, n.Participating(), n.DiskBehind(), n.Syncs(), n.LogBytes()
	if changed || !n.Participating() {
		v.Addrs = n.Addrs()
	}
	if !changed {
		return
	}
	if v.Snapshot == nil || v.LastCommand != n.Record.No {
		v.Snapshot, v.LastCommand = n.Record.Snapshot(), n.Record.No
		v.SnapshotForAgents = n.Record.SnapshotForAgents()
		h.pastRecords = append(h.pastRecords, PastRecord{v.LastCommand, v.SnapshotForAgents})[max(0, len(h.pastRecords)+1-maxPastRecords):]
	}
	close(h.viewChanged)
	h.viewChanged = make(chan struct{})
}

// PastRecord is a former version of the record, without sessions and audit.
type PastRecord struct {
	LastCommand       uint64 // the last command that it includes
	SnapshotForAgents []byte
}

// PastSnapshot returns the record after command no, without sessions and audit; nil if that version is no longer kept.
func (h *Host) PastSnapshot(no uint64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pastRecords {
		if p.LastCommand == no {
			return p.SnapshotForAgents
		}
	}
	return nil
}

// View returns the voter's present state; changed is closed when the record, the leader or the participation changes.
func (h *Host) View() (v View, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.viewChanged
}

// Traffic returns what this voter has sent since its start.
func (h *Host) Traffic() Traffic {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.traffic
}

// onNode has f run by the goroutine that owns the node. It returns once f is queued, not once it has run.
func (h *Host) onNode(ctx context.Context, f func(*Node)) error {
	select {
	case h.nodeCalls <- f:
		return nil
	case <-h.stopped:
		return errors.Join(errors.New("the voter has stopped"), h.stopErr)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ReceiveMessages handles the messages in a request's body, which another voter has sent.
func (h *Host) ReceiveMessages(ctx context.Context, body io.Reader) error {
	var messages []Message
	if err := json.NewDecoder(io.LimitReader(body, maxRequestBytes)).Decode(&messages); err != nil {
		return err
	}
	return h.onNode(ctx, func(n *Node) {
		for _, message := range messages {
			if message.To == h.ID {
				_ = n.Step(h.clock.Now(), message)
			} else if message.Query != 0 && message.To == n.options.Replaces {
				// A query to the voter that this one was put in the place of. That voter's disk is lost, so this one replies for it.
				h.enqueue(h.ctx, Message{From: message.To, To: message.From, ReplyTo: message.Query, DiskBehind: true, Voters: n.Record.Voters,
					VotersChangeNo: n.Record.VotersChangeNo})
			}
		}
	})
}

// Execute proposes a command and waits for its result. After ErrNotLeader and ErrNotParticipating the command was not
// proposed; after any other error it may or may not be carried out, now or later, and may be sent again unchanged.
func (h *Host) Execute(ctx context.Context, c fleet.Command) (fleet.CommandResult, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return fleet.CommandResult{}, err
	}
	key, result := fmt.Sprint(c.Caller, " ", c.Number), make(chan fleet.CommandResult, 1)
	h.mu.Lock()
	h.pendingCommands[key] = result
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		if h.pendingCommands[key] == result {
			delete(h.pendingCommands, key)
		}
		h.mu.Unlock()
	}()
	proposed := make(chan error, 1)
	if err := h.onNode(ctx, func(n *Node) { proposed <- n.Propose(h.clock.Now(), raw) }); err != nil {
		return fleet.CommandResult{}, err
	}
	select {
	case err := <-proposed:
		if err != nil {
			return fleet.CommandResult{}, err
		}
	case <-ctx.Done():
		return fleet.CommandResult{}, ctx.Err()
	}
	select {
	case answer := <-result:
		return answer, nil
	case <-ctx.Done():
		return fleet.CommandResult{}, ctx.Err()
	case <-h.stopped:
		return fleet.CommandResult{}, h.stopErr
	}
}

// ChangeVoters proposes a change of the voters, as Node.ProposeVoters does. It doesn't wait until the change is carried out.
func (h *Host) ChangeVoters(ctx context.Context, add uint64, addr string, remove uint64) error {
	proposed := make(chan error, 1)
	if err := h.onNode(ctx, func(n *Node) { proposed <- n.ProposeVoters(add, addr, remove) }); err != nil {
		return err
	}
	select {
	case err := <-proposed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read waits until this voter's record is at least as new as any that a read returned before the call.
func (h *Host) Read(ctx context.Context) error {
	h.mu.Lock()
	h.lastReadNumber++
	key, ready := fmt.Sprint(h.ID, " ", h.lastReadNumber), make(chan struct{})
	h.pendingReads[key] = ready
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.pendingReads, key)
		h.mu.Unlock()
	}()
	started := make(chan error, 1)
	if err := h.onNode(ctx, func(n *Node) { started <- n.Read(key) }); err != nil {
		return err
	}
	select {
	case err := <-started:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-h.stopped:
		return h.stopErr
	}
}

// enqueue puts a message into its recipient's send queue, and drops it if the queue is full.
func (h *Host) enqueue(ctx context.Context, message Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	queue := h.sendQueues[message.To]
	if queue == nil {
		queue = &sendQueue{make(chan Message, maxQueuedMessages)}
		h.sendQueues[message.To] = queue
		go h.sendMessages(ctx, message.To, queue)
	}
	select {
	case queue.messages <- message:
	default:
	}
}

// sendMessages sends the messages of a queue to one voter, all that are waiting in one request. Those of a request that
// fails are lost.
func (h *Host) sendMessages(ctx context.Context, to uint64, queue *sendQueue) {
	for {
		var messages []Message
		select {
		case <-ctx.Done():
			return
		case <-h.stopped:
			return
		case message := <-queue.messages:
			messages = append(messages, message)
		}
		for more := true; more && len(messages) < maxQueuedMessages; {
			select {
			case message := <-queue.messages:
				messages = append(messages, message)
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
		body, _ := json.Marshal(messages)
		h.mu.Lock()
		h.traffic.Messages += len(messages)
		h.traffic.Bytes += len(body)
		h.mu.Unlock()
		response, err := h.client.Post("http://"+addr+"/v1/letters", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
}
