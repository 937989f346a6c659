// Package quorum replicates the fleet's record, a fleet.Record, among a few processes called voters. The consensus
// algorithm is go.etcd.io/raft's; this package adds the log on disk, the detection of a disk that has lost what its voter
// acknowledged, and a host. Node is one voter without clock, goroutine or network: its host passes in time and messages
// and fetches what is to be sent, so that it runs in simulated time too. Host runs a Node in a real process.
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

// Timing, in ticks of the host; see tickInterval.
const (
	electionTicks      = 20
	heartbeatTicks     = 4
	queryIntervalTicks = 10 // between two position queries to the same voter
)

const (
	snapshotInterval = 2000 // entries between two snapshots; bounds what a start has to replay
	retainedEntries  = 200  // kept before a snapshot, so that a voter slightly behind needs no snapshot

	maxMessageBytes     = 1 << 20  // of entries in one raft message
	maxInflightMessages = 64       // raft messages with entries to one follower without an answer
	maxUncommittedBytes = 16 << 20 // of proposals; more are refused
	unlimitedBytes      = 1 << 40
)

var (
	// ErrDiskBehind says that this voter's disk lacks what other voters have seen it persist: a sync that was not durable, an
	// older copy put back, or another voter's directory. It may have voted and must not vote again; its process can only
	// join as a new voter with a new number.
	ErrDiskBehind = errors.New("this voter's disk no longer holds state that it acknowledged to other voters: replace the voter")
	// ErrReplaced says that an operator has put another voter in the place of this one.
	ErrReplaced = errors.New("this voter was replaced by another voter and no longer votes")
	// ErrInvalidVoterChange says that a change of voters adds a number that is not higher than all former ones, or removes a
	// number that is not a voter's.
	ErrInvalidVoterChange = errors.New("invalid change of voters: a voter to add needs a higher number than all voters before, and the number to remove must be a voter's")
	// ErrNotLeader says that another voter has to be asked, or that there is no leader.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrNotParticipating says that the voter has just started and the other voters have not yet reported what it acknowledged.
	ErrNotParticipating = errors.New("this voter has just started: the other voters have not yet reported what it acknowledged")
)

// Message is one message from a voter to another. It is one of three: a raft message, a position query, or the reply to one.
// It is sent as JSON between voters of possibly different builds.
//
// At its start a voter sends position queries: which state has the other voter seen the sender persist? See Node.handleReply.
type Message struct {
	From    uint64 `json:"From"`
	To      uint64 `json:"To"`
	Raft    []byte `json:"Raft,omitempty"` // an encoded pb.Message; empty in a query or reply
	Query   uint64 `json:"Ask,omitempty"`  // in a position query, the sender's Options.StartID; else 0
	ReplyTo uint64 `json:"Told,omitempty"` // in a reply, the Query of the position query; else 0

	// The other fields are those of a reply.
	Observed     LogPosition `json:"Mark"`             // the furthest that the replying voter saw the querying one persist
	LastPosition LogPosition `json:"Last"`             // the end of the replying voter's own log
	Term         uint64      `json:"Term,omitempty"`   // the replying voter's raft term
	DiskBehind   bool        `json:"Behind,omitempty"` // the replying voter's own disk has lost what it acknowledged
	IsLeader     bool        `json:"Leads,omitempty"`  // the replying voter is the leader in Term
	// Voters are the voters that the replying one knows, with their addresses, and VotersChangeNo is the log index of the
	// change that made them so: the querying voter may have missed some changes.
	Voters         map[uint64]string `json:"Voters,omitempty"`
	VotersChangeNo uint64            `json:"VotersNo,omitempty"`
}

// CommandOutcome is the result of a command, which Caller and Number identify.
type CommandOutcome struct {
	Caller string
	Number uint64
	Result fleet.CommandResult
}

// Options are what a voter is given at its start.
type Options struct {
	ID            uint64            // this voter's number
	Voters        map[uint64]string // the first voters with their addresses, the same at each of them
	Join          bool              // begin with an empty log and wait to be added by the leader
	Replaces      uint64            // the voter that this one was put in the place of, whose disk is lost; 0 for none
	TrustDisk     bool              // an operator vouches for this disk: participate without asking the other voters
	Disk          Disk
	StartID       uint64 // identifies this start of the process among all its starts; not 0
	InjectedFault string // name of a fault planted for tests of the checks that have to find it; "" for none
}

// Node is one voter. Each of its inputs (Tick, Step, Propose, ProposeVoters, Read) is followed by a call of Work, after
// which the host fetches the outputs with NextMessage, NextOutcome and NextRead. Times are ms of the host's monotonic clock.
type Node struct {
	options   Options
	raft      *raft.RawNode // nil until this voter participates
	storage   *raft.MemoryStorage
	log       *diskLog
	hardState *pb.HardState    // as last persisted; nil before the first
	Record    *fleet.Record    // the replicated state, with all entries up to appliedIndex
	Leases    fleet.LeaseTerms // the leader's knowledge of the age of each claim

	appliedIndex  uint64
	snapshotIndex uint64 // of the last snapshot
	isLeader      bool
	leaderID      uint64 // 0 if unknown

	// participating is true once this voter takes part in raft, after the other voters have confirmed its disk.
	participating bool
	diskBehind    bool                   // the disk has lost what this voter acknowledged
	reportedLast  map[uint64]LogPosition // the end of each other voter's log, as it reported when this one started
	repliedBy     map[uint64]bool        // voters that have reported what they saw this one persist
	repliedTerm   uint64                 // the highest raft term in a reply
	leaderTerm    uint64                 // the highest raft term in a reply of a leader
	majorityTick  int                    // tick at which a majority had replied; 0 before
	newerVoters   map[uint64]string      // the voters by a later change than this one's record has, from a reply; else nil
	newerVotersNo uint64                 // the log index of that change
	ticks         int
	observed      map[uint64]LogPosition // the furthest that each other voter was seen to persist

	outbox       []Message
	outcomes     []CommandOutcome
	readyReads   []string // keys of reads that may be answered now
	pendingReads []pendingRead
	stopErr      error // why this voter has stopped for good

	TornTailBytes int // length of the incomplete record that was cut off the log at the start
}

// pendingRead is a read that waits until this voter has applied an index.
type pendingRead struct {
	key   string
	index uint64
}

// Open starts a voter from its disk.
func Open(o Options) (n *Node, err error) {
	n = &Node{options: o, storage: raft.NewMemoryStorage(), Record: fleet.NewRecord(), observed: map[uint64]LogPosition{},
		reportedLast: map[uint64]LogPosition{}, repliedBy: map[uint64]bool{}}
	n.Record.InjectedFault = o.InjectedFault
	log, contents, err := openLog(o.Disk, o.InjectedFault)
	if errors.Is(err, ErrCorrupt) {
		n.log, n.stopErr, n.diskBehind = &diskLog{disk: o.Disk}, err, true
		n.newerVoters = maps.Clone(o.Voters) // addresses: it still answers position queries, see Step
		return n, nil
	} else if err != nil {
		return nil, err
	}
	n.log = log
	if contents == nil {
		contents = &logContents{positions: map[uint64]LogPosition{}}
		if !o.Join {
			for id, addr := range o.Voters {
				n.Record.Voters[id], n.Record.HighestVoterID = addr, max(n.Record.HighestVoterID, id)
			}
			contents.snapshot = &pb.Snapshot{Data: n.Record.Snapshot(), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1),
				Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Keys(o.Voters))}}}
			contents.hardState = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
		} else {
			contents.snapshot = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(0), Term: proto.Uint64(0),
				ConfState: &pb.ConfState{}}}
		}
	}
	n.TornTailBytes, n.observed, n.hardState = contents.tornTailBytes, contents.positions, contents.hardState
	if len(contents.snapshot.Data) > 0 {
		if err := n.Record.Restore(contents.snapshot.Data); err != nil {
			return nil, err
		}
		if err := n.storage.ApplySnapshot(contents.snapshot); err != nil {
			return nil, err
		}
	}
	n.appliedIndex = contents.snapshot.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	if contents.hardState != nil {
		if err := n.storage.SetHardState(contents.hardState); err != nil {
			return nil, err
		}
	}
	if err := n.storage.Append(contents.entries); err != nil {
		return nil, err
	}
	// The file is replaced at each start: that removes a torn tail, which later records would turn into a corrupt record
	// before the end.
	if err := log.replace(contents.snapshot, contents.hardState, contents.entries, n.observed); err != nil {
		return nil, err
	}
	others := 0
	for _, id := range n.voters() {
		if id != o.ID {
			others++
		}
	}
	if o.TrustDisk || others == 0 && !o.Join {
		err = n.participate(0)
	}
	return n, err
}

// participate begins to take part in raft, in the given term or in the persisted one if that is higher. A term above the
// persisted one begins with a vote for itself: this voter may have voted in it, and its disk may have lost that vote.
func (n *Node) participate(term uint64) (err error) {
	defer n.recoverPanic(&err)
	if term > n.hardState.GetTerm() {
		n.hardState = &pb.HardState{Term: &term, Vote: &n.options.ID, Commit: proto.Uint64(n.hardState.GetCommit())}
		if err := n.storage.SetHardState(n.hardState); err != nil {
			return err
		}
		if err := n.log.persist(n.hardState, nil, n.observed, true); err != nil {
			return err
		}
	}
	n.raft, err = raft.NewRawNode(&raft.Config{ID: n.options.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: n.storage, Applied: n.appliedIndex, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, MaxUncommittedEntriesSize: maxUncommittedBytes,
		Logger: &raft.DefaultLogger{Logger: stdlog.New(io.Discard, "", 0)}})
	n.participating = err == nil
	return err
}

// recoverPanic, which has to be deferred, turns a panic of raft into ErrDiskBehind and stops the voter. Raft panics when its log
// lacks an entry that it has acknowledged.
func (n *Node) recoverPanic(err *error) {
	if r := recover(); r != nil {
		n.stopErr = fmt.Errorf("%w (%v)", ErrDiskBehind, r)
		n.diskBehind = true
		*err = n.stopErr
	}
}

// voters returns the voters by this one's last snapshot.
func (n *Node) voters() []uint64 {
	_, conf, err := n.storage.InitialState()
	if err != nil {
		return nil
	}
	return conf.GetVoters()
}

// votersToQuery returns the voters that have to report what they saw this one persist: the voters by the latest change that
// any reply told of. The former ones would not do: one that was replaced meanwhile never replies.
func (n *Node) votersToQuery() []uint64 {
	if n.newerVoters != nil {
		return slices.Sorted(maps.Keys(n.newerVoters))
	}
	if voters := n.voters(); len(voters) > 0 || !n.options.Join {
		return voters
	}
	// A voter that joins knows the others only from its options. It queries them as any other voter does: its number is new,
	// but it may have taken part under it and lost its directory since.
	return slices.Sorted(maps.Keys(n.options.Voters))
}

// Addrs returns the addresses of the voters, by number.
func (n *Node) Addrs() map[uint64]string {
	addrs := maps.Clone(n.Record.Voters)
	if n.options.Join && len(addrs) == 0 {
		addrs = maps.Clone(n.options.Voters)
	}
	maps.Copy(addrs, n.newerVoters)
	return addrs
}

// lastPosition returns the end of this voter's log. Its Term is that of the last entry.
func (n *Node) lastPosition() LogPosition {
	index, _ := n.storage.LastIndex()
	term, _ := n.storage.Term(index)
	return LogPosition{term, index, term}
}

// before tells whether p comes before other, by Term and then by Index.
func (p LogPosition) before(other LogPosition) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Index < other.Index
}

// Participating tells whether this voter takes part in raft: whether it votes and acknowledges.
func (n *Node) Participating() bool { return n.participating }

// Leader returns the leader's number as far as this voter knows, 0 for none, and whether it is this voter.
func (n *Node) Leader() (id uint64, isLeader bool) { return n.leaderID, n.isLeader }

// DiskBehind tells whether this voter's disk has lost what the voter acknowledged.
func (n *Node) DiskBehind() bool { return n.diskBehind }

// Err returns why this voter has stopped for good, nil if it has not.
func (n *Node) Err() error { return n.stopErr }

// Syncs returns how often this voter has waited for its disk since its start.
func (n *Node) Syncs() int { return n.log.syncs }

// LogBytes returns the size of its log file.
func (n *Node) LogBytes() int { return n.log.sizeBytes }

// Tick advances time by one tick.
func (n *Node) Tick() (err error) {
	defer n.recoverPanic(&err)
	if n.stopErr != nil {
		return n.stopErr
	}
	if n.participating {
		n.raft.Tick()
		if n.ticks++; n.ticks%queryIntervalTicks == 1 {
			for _, id := range n.votersAhead() {
				n.outbox = append(n.outbox, Message{From: n.options.ID, To: id, Query: n.options.StartID})
			}
		}
		return nil
	}
	if n.majorityTick > 0 {
		if err := n.participateIfReady(); n.participating || err != nil {
			return err
		}
	}
	if n.ticks++; n.ticks%queryIntervalTicks == 1 {
		for _, id := range n.votersToQuery() {
			// After a majority has replied, those that did are queried again: one may have become the leader since.
			if id != n.options.ID && (!n.repliedBy[id] || n.majorityTick > 0) {
				n.outbox = append(n.outbox, Message{From: n.options.ID, To: id, Query: n.options.StartID})
			}
		}
	}
	return nil
}

// Step handles a message from another voter.
func (n *Node) Step(now float64, message Message) (err error) {
	defer n.recoverPanic(&err)
	switch {
	case message.Query != 0:
		// A voter whose own disk can't be trusted replies too. The guarantees cover one bad disk at a time: if it is this one,
		// the querying voter's is sound.
		n.outbox = append(n.outbox, Message{From: n.options.ID, To: message.From, ReplyTo: message.Query, Observed: n.observed[message.From],
			LastPosition: n.lastPosition(), Term: n.hardState.GetTerm(), DiskBehind: n.diskBehind, IsLeader: n.isLeader,
			Voters: n.Record.Voters, VotersChangeNo: n.Record.VotersChangeNo})
	case n.stopErr != nil:
		return n.stopErr
	case message.ReplyTo != 0:
		return n.handleReply(message)
	case n.participating:
		m := &pb.Message{}
		if err := proto.Unmarshal(message.Raft, m); err != nil {
			return nil // an unreadable message counts as lost; raft copes with lost messages
		}
		n.observe(m)
		for _, id := range n.votersAhead() {
			if m.GetType() == pb.MsgVote && (LogPosition{Term: m.GetLogTerm(), Index: m.GetIndex()}).before(n.reportedLast[id]) {
				return nil // see votersAhead
			}
		}
		_ = n.raft.Step(m) // its errors are only about messages of removed or unknown voters
	}
	return nil
}

// observe notes the furthest position that a raft message proves its sender to have persisted. Every message is sent only
// after what it speaks of was persisted.
func (n *Node) observe(m *pb.Message) {
	position := LogPosition{Term: m.GetTerm()}
	switch m.GetType() {
	case pb.MsgAppResp:
		if !m.GetReject() {
			position.Index = m.GetIndex()
			// The entry that a follower acknowledges in a leader's term is the one in the leader's log.
			if n.hardState.GetTerm() == m.GetTerm() {
				position.EntryTerm, _ = n.storage.Term(position.Index)
			}
		}
	case pb.MsgApp:
		position.Index, position.EntryTerm = m.GetIndex(), m.GetLogTerm()
		if count := len(m.GetEntries()); count > 0 {
			position.Index, position.EntryTerm = m.GetEntries()[count-1].GetIndex(), m.GetEntries()[count-1].GetTerm()
		}
	case pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgSnap:
	default:
		return // pre-vote messages name a term that their sender has not persisted
	}
	if former := n.observed[m.GetFrom()]; former.before(position) {
		n.observed[m.GetFrom()] = position
	}
}

// lacksPosition tells whether this voter's disk is older than a position that the voter was seen to persist: the persisted
// term is lower, or it is the same and the entry is missing. An entry with the same index is not enough: an older disk may
// hold one of a deposed leader, and the present leader, which relies on the acknowledgement, would have that one applied.
func (n *Node) lacksPosition(p LogPosition) bool {
	if n.hardState.GetTerm() != p.Term {
		return n.hardState.GetTerm() < p.Term
	}
	if n.lastPosition().Index < p.Index {
		return true
	}
	entryTerm, err := n.storage.Term(p.Index)
	return err == nil && p.EntryTerm != 0 && entryTerm != p.EntryTerm // an error: the entry was compacted, hence applied
}

// votersAhead returns the voters whose logs, when they reported, went further than this voter's log does now. Until it has
// caught up with them, this voter grants no vote to a candidate with a shorter log than theirs: entries that it acknowledged
// and lost may be in one of those logs alone.
func (n *Node) votersAhead() (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(n.reportedLast)) {
		if n.lastPosition().before(n.reportedLast[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// handleReply handles another voter's reply to a position query. This voter stops with ErrDiskBehind if its disk lacks what the
// other saw it persist. It participates once a majority of the voters, itself not included, has replied: then every
// acknowledgement of this voter that helped to commit an entry is known to at least one of them.
func (n *Node) handleReply(message Message) error {
	if message.ReplyTo != n.options.StartID {
		return nil
	}
	// The log of a voter whose own disk is found to lack something is not waited for: only one disk at a time may be bad, and
	// that one is, so this voter's disk has lost nothing.
	if message.DiskBehind {
		delete(n.reportedLast, message.From)
	} else if !n.participating {
		n.reportedLast[message.From] = message.LastPosition
	}
	if n.participating {
		return nil
	}
	if n.lacksPosition(message.Observed) {
		if n.options.InjectedFault != "old-disk-votes" {
			n.diskBehind = true
			n.stopErr = fmt.Errorf("%w (voter %d saw term %d, index %d; this disk has term %d, index %d)", ErrDiskBehind, message.From,
				message.Observed.Term, message.Observed.Index, n.hardState.GetTerm(), n.lastPosition().Index)
			return n.stopErr
		}
	}
	n.repliedBy[message.From] = true
	if n.repliedTerm = max(n.repliedTerm, message.Term); message.IsLeader {
		n.leaderTerm = max(n.leaderTerm, message.Term)
	}
	if message.VotersChangeNo > max(n.Record.VotersChangeNo, n.newerVotersNo) {
		n.newerVoters, n.newerVotersNo = message.Voters, message.VotersChangeNo
		if _, isVoter := message.Voters[n.options.ID]; !isVoter && !n.options.Join {
			n.stopErr = ErrReplaced
			return n.stopErr
		}
	}
	voters, replied := n.votersToQuery(), 0
	for _, id := range voters {
		if n.repliedBy[id] {
			replied++
		}
	}
	if replied < min(len(voters)/2+1, len(voters)-1) {
		return nil
	}
	if n.majorityTick == 0 {
		n.majorityTick = n.ticks
	}
	return n.participateIfReady()
}

// participateIfReady is called after a majority has replied. It participates once the leader of the highest reported term
// has replied too. That leader still relies on what this voter has acknowledged to it alone, and would have the entries
// here applied by their index. If no reply confirms that they are the leader's, this voter waits for two query intervals
// and then begins in a term above all that were reported, which deposes that leader.
func (n *Node) participateIfReady() error {
	switch {
	case n.leaderTerm == n.repliedTerm:
		return n.participate(n.repliedTerm)
	case n.ticks >= n.majorityTick+2*queryIntervalTicks:
		return n.participate(max(n.repliedTerm, n.hardState.GetTerm()) + 1)
	}
	return nil
}

// Propose proposes a command, a fleet.Command as JSON. NextOutcome returns its result, unless the command is lost.
func (n *Node) Propose(now float64, raw []byte) (err error) {
	defer n.recoverPanic(&err)
	switch {
	case n.stopErr != nil:
		return n.stopErr
	case !n.participating:
		return ErrNotParticipating
	case !n.isLeader:
		return ErrNotLeader
	}
	var c fleet.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	if err := c.Check(); err != nil {
		return err
	}
	if why := n.Leases.ProposalRefusal(now, n.Record, &c); why != "" {
		n.outcomes = append(n.outcomes, CommandOutcome{c.Caller, c.Number, fleet.CommandResult{Reason: why}})
		return nil
	}
	if err := n.raft.Propose(raw); err != nil {
		return ErrNotLeader // raft dropped it: maxUncommittedBytes is reached, or leadership is about to change
	}
	return nil
}

// ProposeVoters proposes a change of the voters: one to add, with its address, one to remove, or both. 0 stands for none.
func (n *Node) ProposeVoters(add uint64, addr string, remove uint64) (err error) {
	defer n.recoverPanic(&err)
	if n.stopErr != nil || !n.isLeader {
		return errors.Join(ErrNotLeader, n.stopErr)
	}
	// A number used again would stand for a voter that has acknowledged entries, with a disk that has none of them. A number
	// that is not a voter's can't be removed: the request may be a late repetition of an earlier one.
	if _, isVoter := n.Record.Voters[remove]; add != 0 && add <= n.Record.HighestVoterID || remove != 0 && !isVoter {
		return ErrInvalidVoterChange
	}
	var changes []*pb.ConfChangeSingle
	if add != 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: &add})
	}
	if remove != 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &remove})
	}
	context, _ := json.Marshal(voterChange{add, addr, remove})
	return n.raft.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: context})
}

// voterChange is the context of a change of voters in the raft log, as JSON. It adds the address, which raft doesn't know.
type voterChange struct {
	Add    uint64 `json:"add"`
	Addr   string `json:"addr"`
	Remove uint64 `json:"remove"`
}

// Read starts a linearizable read: NextRead returns the key once this voter's record is at least as new as any that was
// returned before this call. The key must be different from those of other reads.
func (n *Node) Read(key string) error {
	switch {
	case n.stopErr != nil:
		return n.stopErr
	case !n.participating:
		return ErrNotParticipating
	}
	if n.options.InjectedFault == "stale-read" {
		n.readyReads = append(n.readyReads, key)
		return nil
	}
	n.raft.ReadIndex([]byte(key))
	return nil
}

// Work carries out all that raft has ready: it persists, queues messages and applies committed entries, until nothing is
// left. It is called after each input.
func (n *Node) Work(now float64) (err error) {
	defer n.recoverPanic(&err)
	if n.stopErr != nil || !n.participating {
		return n.stopErr
	}
	for n.raft.HasReady() {
		ready := n.raft.Ready()
		if err := n.persist(ready); err != nil {
			n.stopErr = err
			return err
		}
		n.queueMessages(ready.Messages)
		if ready.SoftState != nil {
			n.leaderID = ready.SoftState.Lead
			if isLeader := ready.SoftState.RaftState == raft.StateLeader; isLeader != n.isLeader {
				if n.isLeader = isLeader; isLeader {
					n.Leases.NoInitialWait = n.options.InjectedFault == "new-leader-hurries"
					n.Leases.BecomeLeader(now)
				} else {
					n.Leases.StepDown()
				}
			}
		}
		for _, state := range ready.ReadStates {
			n.pendingReads = append(n.pendingReads, pendingRead{string(state.RequestCtx), state.Index})
		}
		for _, entry := range ready.CommittedEntries {
			if err := n.apply(now, entry); err != nil {
				n.stopErr = err
				return err
			}
		}
		n.raft.Advance(ready)
		n.pendingReads = slices.DeleteFunc(n.pendingReads, func(r pendingRead) bool {
			if r.index > n.appliedIndex {
				return false
			}
			n.readyReads = append(n.readyReads, r.key)
			return true
		})
	}
	if n.appliedIndex-n.snapshotIndex >= snapshotInterval {
		if err := n.snapshot(); err != nil {
			n.stopErr = err
			return err
		}
	}
	return nil
}

// persist writes the hard state, the snapshot and the entries that raft has ready to the log and to raft's storage.
func (n *Node) persist(ready raft.Ready) error {
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		n.hardState = proto.Clone(ready.HardState).(*pb.HardState)
		if err := n.storage.SetHardState(n.hardState); err != nil {
			return err
		}
	}
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		record := fleet.NewRecord()
		record.InjectedFault = n.options.InjectedFault
		if err := record.Restore(ready.Snapshot.Data); err != nil {
			return err
		}
		if err := n.log.replace(ready.Snapshot, n.hardState, nil, n.observed); err != nil {
			return err
		}
		if err := n.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		n.Record, n.appliedIndex = record, ready.Snapshot.GetMetadata().GetIndex()
		n.snapshotIndex = n.appliedIndex
	}
	var changedState *pb.HardState
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		changedState = n.hardState
	}
	sync := ready.MustSync && n.options.InjectedFault != "yes-before-sync"
	if err := n.log.persist(changedState, ready.Entries, n.observed, sync); err != nil {
		return err // how much of it is on disk is unknown, so the caller stops this voter
	}
	return n.storage.Append(ready.Entries)
}

// queueMessages puts raft messages into the outbox.
func (n *Node) queueMessages(messages []*pb.Message) {
	for _, m := range messages {
		n.outbox = append(n.outbox, Message{From: n.options.ID, To: m.GetTo(), Raft: mustMarshal(m)})
		if m.GetType() == pb.MsgSnap {
			// Reported as sent at once: if it is lost, the follower's answer to the next message shows that.
			n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// apply applies a committed entry to the record.
func (n *Node) apply(now float64, e *pb.Entry) error {
	defer func() { n.appliedIndex = e.GetIndex() }()
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		var change pb.ConfChangeV2
		if err := proto.Unmarshal(e.Data, &change); err != nil {
			return err
		}
		conf := n.raft.ApplyConfChange(&change)
		var v voterChange
		if json.Unmarshal(change.Context, &v) == nil {
			n.Record.SetVoter(e.GetIndex(), v.Add, v.Addr, v.Remove)
		}
		// Raft's storage knows the voters only from its last snapshot, so one is taken at each change.
		return n.snapshotAt(e.GetIndex(), conf)
	case pb.EntryNormal:
		if len(e.Data) == 0 {
			return nil // a new leader begins its term with an empty entry
		}
		answer, err := n.Record.Apply(e.GetIndex(), e.Data)
		if err != nil {
			return err // the command is of a newer format version than this build reads: the voter stops with its record unchanged
		}
		var c fleet.Command
		_ = json.Unmarshal(e.Data, &c)
		if answer.Applied && (c.Verb == "claim" || c.Verb == "renew") {
			n.Leases.Applied(now, &c)
		}
		n.outcomes = append(n.outcomes, CommandOutcome{c.Caller, c.Number, answer})
	}
	return nil
}

// snapshot takes a snapshot at the last applied entry.
func (n *Node) snapshot() error {
	_, conf, err := n.storage.InitialState()
	if err != nil {
		return err
	}
	return n.snapshotAt(n.appliedIndex, conf)
}

// snapshotAt takes a snapshot of the record, which has all entries up to index, and replaces the log file by one that begins
// with it. Raft's storage keeps retainedEntries before it.
func (n *Node) snapshotAt(index uint64, conf *pb.ConfState) error {
	snapshot, err := n.storage.CreateSnapshot(index, conf, n.Record.Snapshot())
	if err != nil {
		return err
	}
	if first, _ := n.storage.FirstIndex(); index > retainedEntries+first {
		if err := n.storage.Compact(index - retainedEntries); err != nil {
			return err
		}
	}
	n.snapshotIndex = index
	last, _ := n.storage.LastIndex()
	var later []*pb.Entry
	if last > index {
		if later, err = n.storage.Entries(index+1, last+1, unlimitedBytes); err != nil {
			return err
		}
	}
	return n.log.replace(snapshot, n.hardState, later, n.observed)
}

// NextMessage returns the next message to send. One that can't be sent may be dropped.
func (n *Node) NextMessage() (Message, bool) { return popFront(&n.outbox) }

// NextOutcome returns the next result of a command.
func (n *Node) NextOutcome() (CommandOutcome, bool) { return popFront(&n.outcomes) }

// NextRead returns the key of the next read that may be answered from the record as it is now.
func (n *Node) NextRead() (string, bool) { return popFront(&n.readyReads) }

// popFront removes and returns the first element; ok is false if there is none.
func popFront[T any](queue *[]T) (first T, ok bool) {
	if len(*queue) == 0 {
		return first, false
	}
	first = (*queue)[0]
	if *queue = (*queue)[1:]; len(*queue) == 0 {
		*queue = nil
	}
	return first, true
}

// Close closes the log file.
func (n *Node) Close() { n.log.close() }
