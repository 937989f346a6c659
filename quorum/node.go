// Package quorum keeps the fleet's record among a few processes, its voters. Agreement is go.etcd.io/raft's; this package
// gives it a disk, a check that a disk has not gone back, and a host. Node is pulled by its host, has no clock and no
// goroutine, and so plays in simulated time as well; Host is that host for a real process.
package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"shalebeam/fleet"
)

// Times of the agreement, in ticks of the host.
const (
	electionTicks  = 20
	heartbeatTicks = 4
	askTicks       = 10
	snapEvery      = 2000 // commands between two snapshots: a start then reads at most so many
	entriesLeft    = 200  // kept behind a snapshot, for voters that are a little behind
)

var (
	// ErrBehind says that this voter's disk lacks what others have seen it keep: a lie of the disk, an older copy put
	// back, or another voter's folder. It may have voted and must not do so again; it can only join as a new one.
	ErrBehind = errors.New("this disk lacks what this voter has acknowledged: replace the voter")
	// ErrReplaced says that a person has put another voter in the place of this one.
	ErrReplaced = errors.New("this voter was replaced by another: it does not vote any more")
	// ErrUsed says that a change of voters names a number that was used before, or one that does not vote.
	ErrUsed = errors.New("the new voter's number has to be higher than any before, and the old one has to be a voter")
	// ErrNotLeader says that another voter has to be asked, or that there is none.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrNotCounting says that the voter has just started and was not yet told what it acknowledged.
	ErrNotCounting = errors.New("this voter waits to be told what it acknowledged")
)

// Letter is what one voter sends to another.
type Letter struct {
	From, To uint64
	Raft     []byte `json:",omitempty"` // a message of the agreement
	Ask      uint64 `json:",omitempty"` // else: what have you seen me keep? A number that tells this start from others
	Told     uint64 `json:",omitempty"` // else: the answer to that
	Mark     LogPosition
	Last     LogPosition // of the log of who answers
	Term     uint64      `json:",omitempty"` // that it is in
	Behind   bool        `json:",omitempty"` // the one who answers has itself lost what it acknowledged
	Leads    bool        `json:",omitempty"` // the one who answers leads in that term
	// Who votes as far as the one who answers knows, and by which change: the one who asks may have missed some.
	Voters   map[uint64]string `json:",omitempty"`
	VotersNo uint64            `json:",omitempty"`
}

// Done is what came of a command.
type Done struct {
	Caller string
	Number uint64
	Answer fleet.Answer
}

// Options are what a voter is told at its start.
type Options struct {
	ID     uint64
	Voters map[uint64]string // the first ones, with their addresses: the same at each of them
	Join   bool              // begin with nothing and wait to be added
	// Replaces is the number of the voter in whose place this one was put: it says that that one's disk is no more.
	Replaces uint64
	Trust    bool // a person says that this disk is whole: count without being told
	Disk     Disk
	Start    uint64 // tells this start from others
	Bug      string // one planted, for tests of what finds it
}

// Node is one voter.
type Node struct {
	o      Options
	raft   *raft.RawNode
	mem    *raft.MemoryStorage
	log    *diskLog
	state  *pb.HardState
	Record *fleet.Record
	Keeper fleet.Keeper

	applied  uint64
	snapAt   uint64
	leads    bool
	leader   uint64
	counts   bool
	behind   bool
	need     map[uint64]LogPosition // how far others' logs went, as each told at the start
	toldBy   map[uint64]bool        // those who have said what they saw of this one
	toldTerm uint64
	ledTerm  uint64            // the highest term whose leader has said what it saw of this one
	toldAt   int               // the tick at which enough had said so
	newer    map[uint64]string // who votes, where others told of a later change than this one knows
	newerNo  uint64
	ticks    int
	marks    map[uint64]LogPosition
	out      []Letter
	done     []Done
	reads    []string // those that may be answered
	waiting  []read
	err      error // it has stopped for good
	Cut      int   // bytes of a torn tail at the start
}

type read struct {
	key   string
	index uint64
}

// Open starts a voter from its disk.
func Open(o Options) (n *Node, err error) {
	n = &Node{o: o, mem: raft.NewMemoryStorage(), Record: fleet.NewRecord(), marks: map[uint64]LogPosition{}, need: map[uint64]LogPosition{},
		toldBy: map[uint64]bool{}}
	n.Record.Bug = o.Bug
	l, k, err := openLog(o.Disk, o.Bug)
	if errors.Is(err, ErrCorrupt) {
		n.log, n.err, n.behind = &diskLog{disk: o.Disk}, err, true
		n.newer = maps.Clone(o.Voters) // where it can still be of use: see Step
		return n, nil
	} else if err != nil {
		return nil, err
	}
	n.log = l
	if k == nil {
		k = &logContents{positions: map[uint64]LogPosition{}}
		if !o.Join {
			for id, addr := range o.Voters {
				n.Record.Voters[id], n.Record.VoterMax = addr, max(n.Record.VoterMax, id)
			}
			k.snapshot = &pb.Snapshot{Data: n.Record.Snapshot(), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1),
				Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(o.Voters))}}}
			k.hardState = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
		} else {
			k.snapshot = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(0), Term: proto.Uint64(0),
				ConfState: &pb.ConfState{}}}
		}
	}
	n.Cut, n.marks, n.state = k.tornTailBytes, k.positions, k.hardState
	if len(k.snapshot.Data) > 0 {
		if err := n.Record.Restore(k.snapshot.Data); err != nil {
			return nil, err
		}
		if err := n.mem.ApplySnapshot(k.snapshot); err != nil {
			return nil, err
		}
	}
	n.applied = k.snapshot.GetMetadata().GetIndex()
	n.snapAt = n.applied
	if k.hardState != nil {
		if err := n.mem.SetHardState(k.hardState); err != nil {
			return nil, err
		}
	}
	if err := n.mem.Append(k.entries); err != nil {
		return nil, err
	}
	// The file is made anew at each start: that cuts a torn tail off, which else would stand in the middle.
	if err := l.replace(k.snapshot, k.hardState, k.entries, n.marks); err != nil {
		return nil, err
	}
	others := 0
	for _, id := range n.voters() {
		if id != o.ID {
			others++
		}
	}
	if o.Trust || others == 0 && !o.Join {
		err = n.begin(0)
	}
	return n, err
}

// begin joins the agreement in a term, or in its own if that is higher, once this voter counts. A term that others are in
// and this one is not begins with a vote for itself: it may have voted in it and lost that.
func (n *Node) begin(term uint64) (err error) {
	defer n.guard(&err)
	if term > n.state.GetTerm() {
		n.state = &pb.HardState{Term: &term, Vote: &n.o.ID, Commit: proto.Uint64(n.state.GetCommit())}
		if err := n.mem.SetHardState(n.state); err != nil {
			return err
		}
		if err := n.log.persist(n.state, nil, n.marks, true); err != nil {
			return err
		}
	}
	n.raft, err = raft.NewRawNode(&raft.Config{ID: n.o.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: n.mem, Applied: n.applied, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, MaxUncommittedEntriesSize: 16 << 20,
		Logger: &raft.DefaultLogger{Logger: stdlog.New(io.Discard, "", 0)}})
	n.counts = err == nil
	return err
}

// guard takes a panic of the agreement for what it says: a log that lacks what was acknowledged.
func (n *Node) guard(err *error) {
	if r := recover(); r != nil {
		n.err = fmt.Errorf("%w (%v)", ErrBehind, r)
		n.behind = true
		*err = n.err
	}
}

func (n *Node) voters() []uint64 {
	_, conf, err := n.mem.InitialState()
	if err != nil {
		return nil
	}
	return conf.GetVoters()
}

// asked is who has to say what they saw this voter keep: those who vote by the latest change that anybody told of. One that
// waited for a voter that was replaced meanwhile would wait for ever.
func (n *Node) asked() []uint64 {
	if n.newer != nil {
		return slices.Sorted(maps.Keys(n.newer))
	}
	if all := n.voters(); len(all) > 0 || !n.o.Join {
		return all
	}
	// A new one knows nobody but by its file. It asks like any: its number is new, but its folder may have been lost since.
	return slices.Sorted(maps.Keys(n.o.Voters))
}

// Addrs is where voters are reached.
func (n *Node) Addrs() map[uint64]string {
	all := maps.Clone(n.Record.Voters)
	if n.o.Join && len(all) == 0 {
		all = maps.Clone(n.o.Voters)
	}
	maps.Copy(all, n.newer)
	return all
}

// last is how far this voter's own log goes.
func (n *Node) last() LogPosition {
	i, _ := n.mem.LastIndex()
	t, _ := n.mem.Term(i)
	return LogPosition{t, i, t}
}

func (m LogPosition) before(o LogPosition) bool {
	return m.Term < o.Term || m.Term == o.Term && m.Index < o.Index
}

// Counts tells whether this voter votes and acknowledges.
func (n *Node) Counts() bool { return n.counts }

// Leader is who leads, as far as this voter knows, 0 for none; leads whether it is itself.
func (n *Node) Leader() (id uint64, leads bool) { return n.leader, n.leads }

// Behind tells whether this voter's disk has lost what it acknowledged.
func (n *Node) Behind() bool { return n.behind }

// Err is why it has stopped for good, nil where it has not.
func (n *Node) Err() error { return n.err }

// Syncs is how many times it has waited for its disk; Bytes how large its log is.
func (n *Node) Syncs() int { return n.log.syncs }
func (n *Node) Bytes() int { return n.log.sizeBytes }

// Tick moves time on by one tick.
func (n *Node) Tick() (err error) {
	defer n.guard(&err)
	if n.err != nil {
		return n.err
	}
	if n.counts {
		n.raft.Tick()
		if n.ticks++; n.ticks%askTicks == 1 {
			for _, id := range n.unmet() {
				n.out = append(n.out, Letter{From: n.o.ID, To: id, Ask: n.o.Start})
			}
		}
		return nil
	}
	if n.toldAt > 0 {
		if err := n.enough(); n.counts || err != nil {
			return err
		}
	}
	if n.ticks++; n.ticks%askTicks == 1 {
		for _, id := range n.asked() {
			if id != n.o.ID && (!n.toldBy[id] || n.toldAt > 0) { // who leads may have changed
				n.out = append(n.out, Letter{From: n.o.ID, To: id, Ask: n.o.Start})
			}
		}
	}
	return nil
}

// Step takes a letter.
func (n *Node) Step(now float64, l Letter) (err error) {
	defer n.guard(&err)
	switch {
	case l.Ask != 0:
		// Also by one whose disk can't be trusted: of two at once nothing is promised, so that the other's can.
		n.out = append(n.out, Letter{From: n.o.ID, To: l.From, Told: l.Ask, Mark: n.marks[l.From], Last: n.last(),
			Term: n.state.GetTerm(), Behind: n.behind, Leads: n.leads, Voters: n.Record.Voters, VotersNo: n.Record.VotersNo})
	case n.err != nil:
		return n.err
	case l.Told != 0:
		return n.told(l)
	case n.counts:
		m := &pb.Message{}
		if err := proto.Unmarshal(l.Raft, m); err != nil {
			return nil // a letter that can't be read is lost, as any may be
		}
		n.see(m)
		for _, far := range n.unmet() {
			if m.GetType() == pb.MsgVote && (LogPosition{Term: m.GetLogTerm(), Index: m.GetIndex()}).before(n.need[far]) {
				return nil // what this one kept may be in no other log than that one
			}
		}
		_ = n.raft.Step(m) // what it says is an error is a message of a voter that was removed, or of none
	}
	return nil
}

// see keeps the furthest that a letter shows its sender to have kept. All that is sent is sent after it was kept.
func (n *Node) see(m *pb.Message) {
	saw := LogPosition{Term: m.GetTerm()}
	switch m.GetType() {
	case pb.MsgAppResp:
		if !m.GetReject() {
			saw.Index = m.GetIndex()
			// What a follower acknowledges in a leader's term is the leader's own entry.
			if n.state.GetTerm() == m.GetTerm() {
				saw.EntryTerm, _ = n.mem.Term(saw.Index)
			}
		}
	case pb.MsgApp:
		saw.Index, saw.EntryTerm = m.GetIndex(), m.GetLogTerm()
		if k := len(m.GetEntries()); k > 0 {
			saw.Index, saw.EntryTerm = m.GetEntries()[k-1].GetIndex(), m.GetEntries()[k-1].GetTerm()
		}
	case pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgSnap:
	default:
		return // a vote asked for beforehand names a term that nobody has kept
	}
	if was := n.marks[m.GetFrom()]; was.before(saw) {
		n.marks[m.GetFrom()] = saw
	}
}

// lacks tells whether this voter's disk is from before a mark: a later term's was kept, or in the same term an entry that is
// not there. That there is some entry of that number is not enough: an older disk may hold one of a leader that lost, and
// the present one, which counts the mark, would have it applied.
func (n *Node) lacks(m LogPosition) bool {
	if n.state.GetTerm() != m.Term {
		return n.state.GetTerm() < m.Term
	}
	if n.last().Index < m.Index {
		return true
	}
	of, err := n.mem.Term(m.Index)
	return err == nil && m.EntryTerm != 0 && of != m.EntryTerm // one that is gone behind a snapshot was applied
}

// unmet lists those whose logs went further, when they told of them, than this one's does: it votes for nobody with a
// shorter one, as what it kept itself and lost may be there alone.
func (n *Node) unmet() (far []uint64) {
	for _, id := range slices.Sorted(maps.Keys(n.need)) {
		if n.last().before(n.need[id]) {
			far = append(far, id)
		}
	}
	return far
}

// told takes what another voter saw this one keep. It counts once a majority that leaves itself out has said so: then
// whatever it acknowledged towards a decision is known to one of them at least.
func (n *Node) told(l Letter) error {
	if l.Told != n.o.Start {
		return nil
	}
	// What a voter had whose disk is found to lack something is not to be waited for: that disk is the one that lied, not this.
	if l.Behind {
		delete(n.need, l.From)
	} else if !n.counts {
		n.need[l.From] = l.Last
	}
	if n.counts {
		return nil
	}
	if n.lacks(l.Mark) {
		if n.o.Bug != "old-disk-votes" {
			n.behind = true
			n.err = fmt.Errorf("%w (voter %d saw term %d, %d; here term %d, %d)", ErrBehind, l.From, l.Mark.Term,
				l.Mark.Index, n.state.GetTerm(), n.last().Index)
			return n.err
		}
	}
	n.toldBy[l.From] = true
	if n.toldTerm = max(n.toldTerm, l.Term); l.Leads {
		n.ledTerm = max(n.ledTerm, l.Term)
	}
	if l.VotersNo > max(n.Record.VotersNo, n.newerNo) {
		n.newer, n.newerNo = l.Voters, l.VotersNo
		if _, in := l.Voters[n.o.ID]; !in && !n.o.Join {
			n.err = ErrReplaced
			return n.err
		}
	}
	all, told := n.asked(), 0
	for _, id := range all {
		if n.toldBy[id] {
			told++
		}
	}
	if told < min(len(all)/2+1, len(all)-1) {
		return nil
	}
	if n.toldAt == 0 {
		n.toldAt = n.ticks
	}
	return n.enough()
}

// enough begins once the one that leads has told too. What this voter acknowledged to it alone it still counts on, and would
// have entries applied here by their number: where it does not say that they are there, this one begins in a term above
// all that it was told of, which ends that leader's.
func (n *Node) enough() error {
	switch {
	case n.ledTerm == n.toldTerm:
		return n.begin(n.toldTerm)
	case n.ticks >= n.toldAt+2*askTicks:
		return n.begin(max(n.toldTerm, n.state.GetTerm()) + 1)
	}
	return nil
}

// Propose asks for a command. What comes of it is told by NextDone, or never.
func (n *Node) Propose(now float64, raw []byte) (err error) {
	defer n.guard(&err)
	switch {
	case n.err != nil:
		return n.err
	case !n.counts:
		return ErrNotCounting
	case !n.leads:
		return ErrNotLeader
	}
	var c fleet.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	if err := c.Check(); err != nil {
		return err
	}
	if why := n.Keeper.MayPropose(now, n.Record, &c); why != "" {
		n.done = append(n.done, Done{c.Caller, c.Number, fleet.Answer{Why: why}})
		return nil
	}
	if err := n.raft.Propose(raw); err != nil {
		return ErrNotLeader // dropped: too much is under way, or a leader is being chosen
	}
	return nil
}

// ProposeVoters asks for a change of who votes: one that is added, one that goes, or both.
func (n *Node) ProposeVoters(add uint64, addr string, remove uint64) (err error) {
	defer n.guard(&err)
	if n.err != nil || !n.leads {
		return errors.Join(ErrNotLeader, n.err)
	}
	// A number that comes again would be a voter that acknowledged things, with a disk that knows nothing of them; one that is
	// not there can't be replaced, as by a change that was asked for long ago.
	if _, there := n.Record.Voters[remove]; add != 0 && add <= n.Record.VoterMax || remove != 0 && !there {
		return ErrUsed
	}
	var changes []*pb.ConfChangeSingle
	if add != 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: &add})
	}
	if remove != 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &remove})
	}
	more, _ := json.Marshal(voterChange{add, addr, remove})
	return n.raft.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: more})
}

type voterChange struct {
	Add    uint64 `json:"add"`
	Addr   string `json:"addr"`
	Remove uint64 `json:"remove"`
}

// Read asks whether this voter's record is as new as any that was answered before; key tells the reads apart.
func (n *Node) Read(key string) error {
	switch {
	case n.err != nil:
		return n.err
	case !n.counts:
		return ErrNotCounting
	}
	if n.o.Bug == "stale-read" {
		n.reads = append(n.reads, key)
		return nil
	}
	n.raft.ReadIndex([]byte(key))
	return nil
}

// Work carries out what the agreement has ready: keeps it, sends letters, applies commands. It is called after each
// input until the node has nothing more.
func (n *Node) Work(now float64) (err error) {
	defer n.guard(&err)
	if n.err != nil || !n.counts {
		return n.err
	}
	for n.raft.HasReady() {
		r := n.raft.Ready()
		if err := n.keep(r); err != nil {
			n.err = err
			return err
		}
		n.send(r.Messages)
		if r.SoftState != nil {
			n.leader = r.SoftState.Lead
			if leads := r.SoftState.RaftState == raft.StateLeader; leads != n.leads {
				if n.leads = leads; leads {
					n.Keeper.Hurry = n.o.Bug == "new-leader-hurries"
					n.Keeper.Leads(now)
				} else {
					n.Keeper.Follows()
				}
			}
		}
		for _, rs := range r.ReadStates {
			n.waiting = append(n.waiting, read{string(rs.RequestCtx), rs.Index})
		}
		for _, e := range r.CommittedEntries {
			if err := n.apply(now, e); err != nil {
				n.err = err
				return err
			}
		}
		n.raft.Advance(r)
		n.waiting = slices.DeleteFunc(n.waiting, func(r read) bool {
			if r.index > n.applied {
				return false
			}
			n.reads = append(n.reads, r.key)
			return true
		})
	}
	if n.applied-n.snapAt >= snapEvery {
		if err := n.snapshot(); err != nil {
			n.err = err
			return err
		}
	}
	return nil
}

func (n *Node) keep(r raft.Ready) error {
	if r.HardState != nil && !raft.IsEmptyHardState(r.HardState) {
		n.state = proto.Clone(r.HardState).(*pb.HardState)
		if err := n.mem.SetHardState(n.state); err != nil {
			return err
		}
	}
	if r.Snapshot != nil && !raft.IsEmptySnap(r.Snapshot) {
		fresh := fleet.NewRecord()
		fresh.Bug = n.o.Bug
		if err := fresh.Restore(r.Snapshot.Data); err != nil {
			return err
		}
		if err := n.log.replace(r.Snapshot, n.state, nil, n.marks); err != nil {
			return err
		}
		if err := n.mem.ApplySnapshot(r.Snapshot); err != nil {
			return err
		}
		n.Record, n.applied = fresh, r.Snapshot.GetMetadata().GetIndex()
		n.snapAt = n.applied
	}
	var state *pb.HardState
	if r.HardState != nil && !raft.IsEmptyHardState(r.HardState) {
		state = n.state
	}
	if err := n.log.persist(state, r.Entries, n.marks, r.MustSync && n.o.Bug != "yes-before-sync"); err != nil {
		return err // what the disk has of it is not known: no more is promised by this process
	}
	return n.mem.Append(r.Entries)
}

func (n *Node) send(messages []*pb.Message) {
	for _, m := range messages {
		n.out = append(n.out, Letter{From: n.o.ID, To: m.GetTo(), Raft: mustMarshal(m)})
		if m.GetType() == pb.MsgSnap {
			n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost is found out by the next letter
		}
	}
}

func (n *Node) apply(now float64, e *pb.Entry) error {
	defer func() { n.applied = e.GetIndex() }()
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.Data, &cc); err != nil {
			return err
		}
		conf := n.raft.ApplyConfChange(&cc)
		var v voterChange
		if json.Unmarshal(cc.Context, &v) == nil {
			n.Record.SetVoter(e.GetIndex(), v.Add, v.Addr, v.Remove)
		}
		// The storage's own idea of who votes is that of its last snapshot.
		return n.snapshotAt(e.GetIndex(), conf)
	case pb.EntryNormal:
		if len(e.Data) == 0 {
			return nil // a new leader's first
		}
		a, err := n.Record.Apply(e.GetIndex(), e.Data)
		if err != nil {
			return err // of a newer form: this process stops as it is
		}
		var c fleet.Command
		_ = json.Unmarshal(e.Data, &c)
		if a.Done && (c.Do == "claim" || c.Do == "renew") {
			n.Keeper.Applied(now, &c)
		}
		n.done = append(n.done, Done{c.Caller, c.Number, a})
	}
	return nil
}

func (n *Node) snapshot() error {
	_, conf, err := n.mem.InitialState()
	if err != nil {
		return err
	}
	return n.snapshotAt(n.applied, conf)
}

func (n *Node) snapshotAt(index uint64, conf *pb.ConfState) error {
	snap, err := n.mem.CreateSnapshot(index, conf, n.Record.Snapshot())
	if err != nil {
		return err
	}
	if first, _ := n.mem.FirstIndex(); index > entriesLeft+first {
		if err := n.mem.Compact(index - entriesLeft); err != nil {
			return err
		}
	}
	n.snapAt = index
	last, _ := n.mem.LastIndex()
	var rest []*pb.Entry
	if last > index {
		if rest, err = n.mem.Entries(index+1, last+1, 1<<40); err != nil {
			return err
		}
	}
	return n.log.replace(snap, n.state, rest, n.marks)
}

// NextLetter is the next letter to send. One that can't be sent is lost.
func (n *Node) NextLetter() (Letter, bool) { return pop(&n.out) }

// NextDone is the next command that something came of.
func (n *Node) NextDone() (Done, bool) { return pop(&n.done) }

// NextRead is the next read that may be answered from the record as it is now.
func (n *Node) NextRead() (string, bool) { return pop(&n.reads) }

func pop[T any](all *[]T) (x T, ok bool) {
	if len(*all) == 0 {
		return x, false
	}
	x = (*all)[0]
	if *all = (*all)[1:]; len(*all) == 0 {
		*all = nil
	}
	return x, true
}

// Close leaves the disk.
func (n *Node) Close() { n.log.close() }
