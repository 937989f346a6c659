package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"shalebeam/fleet"
)

// command returns a command of caller that concerns a worker, as JSON.
func command(caller string, number uint64, do, worker string) []byte {
	raw, _ := json.Marshal(fleet.Command{FormatVersion: 1, Caller: caller, Number: number, Verb: do, ID: worker, Zone: "a", By: caller})
	return raw
}

// cluster is a few voters in simulated time. The maps are by voter, unless they say otherwise.
type cluster struct {
	t        testing.TB
	random   *rand.Rand
	nowMs    float64
	voters   map[uint64]string // Options.Voters of each start
	disks    map[uint64]*MemoryDisk
	nodes    map[uint64]*Node               // those that run
	blocked  map[[2]uint64]bool             // by sender and recipient: messages are lost
	inFlight []Message                      // messages to deliver
	loss     float64                        // share of all other messages that are lost
	results  map[string]fleet.CommandResult // that a leader gave, by caller and number
	stopErrs map[uint64]error               // the last error of a voter's start or inputs; nil for none
	starts   uint64                         // of all voters so far
	bugs     map[uint64]string              // planted bugs
}

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), voters: map[uint64]string{}, disks: map[uint64]*MemoryDisk{},
		nodes: map[uint64]*Node{}, blocked: map[[2]uint64]bool{}, results: map[string]fleet.CommandResult{},
		stopErrs: map[uint64]error{}}
	for i := range uint64(n) {
		c.voters[i+1] = fmt.Sprint("v", i+1)
		c.disks[i+1] = NewMemoryDisk()
	}
	for id := range c.voters {
		c.start(id, false)
	}
	return c
}

// start starts a voter from its disk; join is Options.Join.
func (c *cluster) start(id uint64, join bool) {
	c.starts++
	n, err := Open(Options{ID: id, Voters: c.voters, Join: join, Disk: c.disks[id], StartID: c.starts, InjectedFault: c.bugs[id]})
	if delete(c.nodes, id); err != nil {
		c.stopErrs[id] = err
		return
	}
	delete(c.stopErrs, id)
	c.nodes[id] = n
}

// kill ends a voter as a power failure does: its disk loses unsynced writes.
func (c *cluster) kill(id uint64) {
	delete(c.nodes, id)
	c.disks[id].Crash(c.random)
}

// step advances all voters by one tick, and delivers the messages that follow from it in four rounds.
func (c *cluster) step() {
	c.nowMs += 50
	for id := uint64(1); id < 10; id++ {
		if n := c.nodes[id]; n != nil {
			c.stopErrs[id] = n.Tick()
		}
	}
	for range 4 {
		old := c.inFlight
		c.inFlight = nil
		for _, l := range old {
			if n := c.nodes[l.To]; n != nil && !c.blocked[[2]uint64{l.From, l.To}] && c.random.Float64() >= c.loss {
				_ = n.Step(c.nowMs, l)
			}
		}
		for id := uint64(1); id < 10; id++ {
			n := c.nodes[id]
			if n == nil {
				continue
			}
			if err := n.Work(c.nowMs); err != nil {
				c.stopErrs[id] = err
			}
			for l, ok := n.NextMessage(); ok; l, ok = n.NextMessage() {
				c.inFlight = append(c.inFlight, l)
			}
			for d, ok := n.NextOutcome(); ok; d, ok = n.NextOutcome() {
				if n.isLeader {
					c.results[fmt.Sprint(d.Caller, d.Number)] = d.Result
				}
			}
		}
	}
}

// leader returns the lowest-numbered voter that takes itself for the leader, nil if there is none.
func (c *cluster) leader() *Node {
	for id := uint64(1); id < 10; id++ {
		if n := c.nodes[id]; n != nil && n.isLeader && n.stopErr == nil {
			return n
		}
	}
	return nil
}

// waitFor steps until a condition holds.
func (c *cluster) waitFor(what string, holds func() bool) {
	c.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		c.step()
	}
	c.t.Fatalf("not reached within 100 s: %s; errors of the voters: %v", what, c.stopErrs)
}

// apply proposes a command to whichever voter leads until it has a result.
func (c *cluster) apply(caller string, number uint64, do, worker string) fleet.CommandResult {
	c.t.Helper()
	key := fmt.Sprint(caller, number)
	c.waitFor("a result of the command", func() bool {
		if l := c.leader(); l != nil {
			_ = l.Propose(c.nowMs, command(caller, number, do, worker))
		}
		c.step()
		_, ok := c.results[key]
		return ok
	})
	return c.results[key]
}

// A command that has a result must not be lost, nor be applied a second time when it is repeated, although all voters lose
// power at once and one of them is then replaced.
func TestRecordSurvivesRestartAndReplacement(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.apply("ann", 1, "out", "w1")
	for id := range c.voters {
		c.kill(id)
	}
	for id := range c.voters {
		c.start(id, false)
	}
	c.waitFor("there is a leader", func() bool { return c.leader() != nil })
	a := c.apply("ann", 1, "out", "w1") // repeated, as by a caller that the answer did not reach
	if l := c.leader(); !a.Applied || !l.Record.Intents["w1"].Out || l.Record.Retries != 1 {
		t.Errorf("got %+v, %d recognized as repeated, want 1", a, l.Record.Retries)
	}
	// One voter is lost for good, and a new one joins under a new number.
	gone := c.leader().options.ID%3 + 1
	c.kill(gone)
	c.disks[4] = NewMemoryDisk()
	c.waitFor("there is a leader", func() bool { return c.leader() != nil })
	if err := c.leader().ProposeVoters(4, "v4", gone); err != nil {
		t.Fatal(err)
	}
	c.start(4, true)
	c.waitFor("the new voter has the record", func() bool { return c.nodes[4].Record.Intents["w1"].Out })
	c.apply("bob", 1, "in", "w1")
	c.waitFor("all records are equal", func() bool {
		want := string(c.leader().Record.Snapshot())
		for _, n := range c.nodes {
			if string(n.Record.Snapshot()) != want {
				return false
			}
		}
		return len(c.nodes) == 3
	})
	if v := c.leader().Record.Voters; v[4] != "v4" || v[gone] != "" {
		t.Errorf("voters are %v, want 4 in place of %d", v, gone)
	}
}

// A leader that is partitioned from all other voters must complete neither a command nor a read.
func TestPartitionedLeaderCompletesNothing(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.apply("ann", 1, "out", "w1")
	old := c.leader()
	for id := range c.voters {
		c.blocked[[2]uint64{id, old.options.ID}], c.blocked[[2]uint64{old.options.ID, id}] = true, true
	}
	_ = old.Read("r")
	_ = old.Propose(c.nowMs, command("bob", 1, "in", "w1"))
	for range 60 {
		c.step()
		if key, ok := old.NextRead(); ok {
			t.Fatalf("read %s was completed by the partitioned leader", key)
		}
	}
	if _, ok := c.results["bob1"]; ok || old.isLeader ||
		!errors.Is(old.Propose(c.nowMs, command("bob", 1, "in", "w1")), ErrNotLeader) {
		t.Error("the partitioned leader completed a command, or still takes itself for the leader")
	}
	c.apply("cid", 1, "out", "w2")
	clear(c.blocked)
	c.waitFor("the old leader has the record", func() bool { return old.Record.Intents["w2"].Out })
}

// A voter whose disk has lost acknowledged writes must find that out at its start and not vote again: after syncs that were
// not durable, with an older copy put back, with an empty directory. A torn tail is cut off; a corrupt record before the
// end, or a failed sync, stops the voter.
func TestDiskFailures(t *testing.T) {
	for name, damage := range map[string]func(c *cluster, id uint64){
		"sync not durable": func(c *cluster, id uint64) {
			c.disks[id].LoseSyncs = true
			c.apply("bob", 1, "out", "w2")
			c.waitFor("the voter has the command", func() bool { return c.nodes[id].Record.Intents["w2"].Out })
			c.kill(id)
		},
		"older copy": func(c *cluster, id uint64) {
			old := c.disks[id].Copy()
			c.apply("bob", 1, "out", "w2")
			c.waitFor("the voter has the command", func() bool { return c.nodes[id].Record.Intents["w2"].Out })
			c.kill(id)
			c.disks[id] = old
		},
		"empty directory": func(c *cluster, id uint64) {
			c.kill(id)
			c.disks[id] = NewMemoryDisk()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			c.apply("ann", 1, "out", "w1")
			id := c.leader().options.ID%3 + 1
			damage(c, id)
			c.start(id, false)
			c.waitFor("the voter stops with ErrDiskBehind", func() bool { return errors.Is(c.stopErrs[id], ErrDiskBehind) })
			if n := c.nodes[id]; n.participating || !errors.Is(n.Read("r"), ErrDiskBehind) {
				t.Error("the voter participates or takes reads")
			}
			c.apply("cid", 1, "in", "w1") // the other two still make progress
		})
	}
	c := newCluster(t, 3, 4)
	c.apply("ann", 1, "out", "w1")
	id := c.leader().options.ID%3 + 1
	f := c.disks[id].files[logName]
	c.kill(id)
	f.synced = append(f.synced, 0, 0, 0, 9, 1, 2, 3)
	if c.start(id, false); c.nodes[id] == nil || c.nodes[id].TornTailBytes != 7 {
		t.Fatal("the torn tail of 7 bytes was not cut off")
	}
	c.waitFor("the voter participates", func() bool { return c.nodes[id].participating })
	c.kill(id)
	f = c.disks[id].files[logName]
	f.synced[len(f.synced)/3] ^= 4
	c.start(id, false)
	c.waitFor("the voter stops with ErrCorrupt", func() bool { return errors.Is(c.stopErrs[id], ErrCorrupt) })
	// It still replies to position queries: without its reply, one more voter that restarts could not participate.
	other := id%3 + 1
	c.kill(other)
	c.start(other, false)
	c.waitFor("the other voter participates", func() bool { return c.nodes[other].participating })
	// A failed sync stops the voter: how much its disk holds is unknown.
	c = newCluster(t, 3, 5)
	c.apply("ann", 1, "out", "w1")
	id = c.leader().options.ID
	c.disks[id].SyncError = errors.New("EIO")
	_ = c.nodes[id].Propose(c.nowMs, command("bob", 1, "out", "w2"))
	c.waitFor("the voter stops", func() bool { return c.stopErrs[id] != nil })
	c.apply("cid", 1, "out", "w3")
}

// A claim of a lease that has an owner must wait until the owner's lease has expired, and for a whole lease after a change
// of leader, since the new leader can't know when the lease was last renewed.
func TestClaimWaitsForLease(t *testing.T) {
	c := newCluster(t, 3, 6)
	claim := func(owner string, number, fence, renewed uint64) fleet.CommandResult {
		raw, _ := json.Marshal(fleet.Command{FormatVersion: 1, Caller: owner, Number: number, Verb: "claim", Lease: "m", Owner: owner,
			Fence: fence, Expected: renewed, TermMs: 3000})
		key := fmt.Sprint(owner, number)
		delete(c.results, key)
		c.waitFor("a result of the claim", func() bool {
			if l := c.leader(); l != nil {
				_ = l.Propose(c.nowMs, raw)
			}
			c.step()
			_, ok := c.results[key]
			return ok
		})
		return c.results[key]
	}
	if a := claim("a#1", 1, 0, 0); !a.Applied {
		t.Fatal(a)
	}
	m := c.leader().Record.Leases["m"]
	claimedAtMs := c.nowMs
	for range 40 {
		c.step()
	}
	c.kill(c.leader().options.ID)
	c.waitFor("there is a new leader", func() bool { return c.leader() != nil })
	ledAtMs := c.nowMs
	for number := uint64(1); ; number++ {
		a := claim("b#1", number, m.Fence, m.Renewed)
		if a.Applied {
			break
		}
		c.step()
	}
	if c.nowMs < ledAtMs+1.2*3000-200 || c.nowMs < claimedAtMs+3600 {
		t.Errorf("claimed %g ms after the change of leader and %g ms after the first claim", c.nowMs-ledAtMs, c.nowMs-claimedAtMs)
	}
}

// A log file truncated at any byte yields exactly its complete records; one with a flipped bit before the last record is
// reported as corrupt.
func TestLogTruncatedOrCorrupted(t *testing.T) {
	d := NewMemoryDisk()
	l, _, _ := openLog(d, "")
	if err := l.replace(&pb.Snapshot{Data: []byte("x")}, nil, nil, nil); err != nil {
		t.Fatal(err)
	}
	base := len(d.files[logName].synced)
	var ends []int
	for i := range uint64(6) {
		entry := &pb.Entry{Index: proto.Uint64(i + 1), Term: proto.Uint64(1), Data: []byte(fmt.Sprint(i))}
		if err := l.persist(nil, []*pb.Entry{entry}, nil, true); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(d.files[logName].synced))
	}
	whole := d.files[logName].synced
	for cut := base; cut <= len(whole); cut++ {
		damaged := NewMemoryDisk()
		damaged.files[logName] = &memoryFile{disk: damaged, synced: whole[:cut]}
		_, contents, err := openLog(damaged, "")
		want := 0
		for _, e := range ends {
			if e <= cut {
				want++
			}
		}
		if err != nil || len(contents.entries) != want {
			t.Fatalf("truncated at byte %d: %v, %d entries, want %d", cut, err, len(contents.entries), want)
		}
	}
	for at := base; at < ends[4]; at++ {
		damaged := NewMemoryDisk()
		damaged.files[logName] = &memoryFile{disk: damaged, synced: append([]byte{}, whole...)}
		damaged.files[logName].synced[at] ^= 16
		if _, _, err := openLog(damaged, ""); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("bit flipped in byte %d: got %v, want ErrCorrupt", at, err)
		}
	}
}

// A voter restarts with an older copy of its disk that holds entries of a deposed leader. Their indices reach as far as those
// that the voter has since acknowledged to the new leader, which alone knows of that and can't be reached at the start. The
// new leader relies on the acknowledgements and would commit by index, so the deposed leader's entries must not be applied.
func TestOlderDiskWithEntriesOfDeposedLeader(t *testing.T) {
	c := newCluster(t, 5, 5)
	c.apply("ann", 1, "out", "w1")
	setBlocked := func(blocked bool, a, b []uint64) {
		for _, x := range a {
			for _, y := range b {
				c.blocked[[2]uint64{x, y}], c.blocked[[2]uint64{y, x}] = blocked, blocked
			}
		}
	}
	deposed := c.leader()
	id := deposed.options.ID%5 + 1
	var rest []uint64
	for other := range c.voters {
		if other != id && other != deposed.options.ID {
			rest = append(rest, other)
		}
	}
	setBlocked(true, []uint64{id, deposed.options.ID}, rest)
	for i := range uint64(8) {
		_ = deposed.Propose(c.nowMs, command("lost", i+1, "out", fmt.Sprint("x", i)))
	}
	c.waitFor("the voter has the entries of the leader to be deposed", func() bool {
		return c.nodes[id].lastPosition().Index >= deposed.lastPosition().Index && deposed.lastPosition().Index > 8
	})
	olderDisk := c.disks[id].Copy()
	olderEnd := c.nodes[id].lastPosition()
	setBlocked(false, []uint64{id}, rest)
	c.waitFor("there is another leader", func() bool { l := c.leader(); return l != nil && l != deposed })
	c.waitFor("the deposed leader has stepped down", func() bool { return !deposed.isLeader })
	leaderID := c.leader().options.ID
	for i := range uint64(4) {
		c.apply("bob", i+1, "out", fmt.Sprint("w", i))
	}
	c.waitFor("the voter has acknowledged the new leader's entries", func() bool {
		return c.nodes[id].lastPosition() == c.nodes[leaderID].lastPosition() && c.nodes[id].lastPosition().Index <= olderEnd.Index
	})
	observed := c.nodes[leaderID].observed[id]
	c.kill(id)
	// Make the copy one from after the voter's vote for the new leader and before the new leader's first entry.
	log, contents, err := openLog(olderDisk, "")
	if err != nil {
		t.Fatal(err)
	}
	hardState := &pb.HardState{Term: c.nodes[leaderID].hardState.Term, Vote: &leaderID, Commit: contents.hardState.Commit}
	if err := log.persist(hardState, nil, contents.positions, true); err != nil {
		t.Fatal(err)
	}
	c.disks[id] = olderDisk
	setBlocked(false, []uint64{deposed.options.ID}, rest)
	setBlocked(true, []uint64{id}, []uint64{leaderID})
	c.start(id, false)
	for range 40 {
		c.step()
	}
	setBlocked(false, []uint64{id}, []uint64{leaderID})
	c.waitFor("all records are equal, or the voter has found its disk to be behind", func() bool {
		n := c.nodes[id]
		for _, o := range c.nodes {
			if o != n && o.Record.No == n.Record.No && string(o.Record.Snapshot()) != string(n.Record.Snapshot()) {
				t.Fatalf("after command %d, the record of voter %d differs from that of voter %d", n.Record.No, id, o.options.ID)
			}
		}
		l := c.leader()
		return n.diskBehind || l != nil && n.participating && n.Record.No == l.Record.No && l.Record.Intents["w3"].Out
	})
	for range 100 {
		c.step()
	}
	// In the same term, an entry with the same index and another term does not suffice.
	n := c.nodes[leaderID]
	if p := n.lastPosition(); n.lacksPosition(p) || !n.lacksPosition(LogPosition{n.hardState.GetTerm(), p.Index + 1, 0}) ||
		!n.lacksPosition(LogPosition{n.hardState.GetTerm(), p.Index, p.EntryTerm - 1}) ||
		!n.lacksPosition(LogPosition{n.hardState.GetTerm() + 1, 0, 0}) || observed.EntryTerm == 0 {
		t.Errorf("lacksPosition is wrong, or the observed position %+v has no entry term", observed)
	}
}

// A voter that replaced another, took part, and then lost its directory must not join as if it were new: it has acknowledged
// entries under its number.
func TestReplacementVoterLosesDirectory(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.apply("ann", 1, "out", "w1")
	replaced := c.leader().options.ID%3 + 1
	c.kill(replaced)
	delete(c.voters, replaced)
	c.voters[4], c.disks[4] = "v4", NewMemoryDisk()
	c.start(4, true)
	c.waitFor("the new voter participates", func() bool {
		if l := c.leader(); l != nil && l.Record.Voters[4] == "" {
			_ = l.ProposeVoters(4, "v4", replaced)
		}
		return c.nodes[4].participating && c.nodes[4].Record.Intents["w1"].Out
	})
	c.apply("bob", 1, "out", "w2")
	c.waitFor("the new voter has the second command", func() bool { return c.nodes[4].Record.Intents["w2"].Out })
	c.kill(4)
	c.disks[4] = NewMemoryDisk()
	c.start(4, true)
	c.waitFor("the voter stops with ErrDiskBehind", func() bool { return errors.Is(c.stopErrs[4], ErrDiskBehind) })
	if c.nodes[4].participating {
		t.Error("the voter participates")
	}
}

// Voters of two builds keep equal records until the first command of a format version that only the newer build reads. Then
// the older one stops with fleet.ErrNewerFormat and its record unchanged, and catches up once it is upgraded.
func TestMixedBuilds(t *testing.T) {
	c := newCluster(t, 3, 7)
	c.bugs = map[uint64]string{}
	c.apply("ann", 1, "out", "w1")
	old := c.leader().options.ID%3 + 1
	c.kill(old)
	c.bugs[old] = "form-1"
	c.start(old, false)
	c.apply("ann", 2, "out", "w2")
	c.waitFor("the older build has the command", func() bool { return c.nodes[old].Record.Intents["w2"].Out })
	raw, _ := json.Marshal(fleet.Command{FormatVersion: 2, Caller: "bob", Number: 1, Verb: "limits", By: "bob",
		Limits: []fleet.Limit{{Kind: "scheduler", MinInService: 1}}})
	c.waitFor("the limits are on record", func() bool {
		if l := c.leader(); l != nil {
			_ = l.Propose(c.nowMs, raw)
		}
		return c.results["bob1"].Applied
	})
	c.waitFor("the older build stops", func() bool { return errors.Is(c.stopErrs[old], fleet.ErrNewerFormat) })
	if n := c.nodes[old]; len(n.Record.Limits) > 0 || !n.Record.Intents["w2"].Out {
		t.Error("the record of the older build has changed")
	}
	c.apply("cid", 1, "out", "w3") // the other two still make progress
	c.kill(old)
	c.bugs[old] = ""
	c.start(old, false)
	c.waitFor("the upgraded voter has all commands", func() bool {
		r := c.nodes[old].Record
		return len(r.Limits) == 1 && r.Intents["w3"].Out
	})
}

// A voter reports, when all start, that its log has entries that no other has, and its log is then found corrupt. The others
// must not withhold their votes for ever for the sake of those entries.
func TestVoterWithLongestLogIsCorrupt(t *testing.T) {
	c := newCluster(t, 3, 8)
	c.apply("ann", 1, "out", "w1")
	leader := c.leader()
	id := leader.options.ID
	for other := range c.voters {
		if other != id {
			c.blocked[[2]uint64{id, other}], c.blocked[[2]uint64{other, id}] = true, true
		}
	}
	for i := range uint64(4) {
		_ = leader.Propose(c.nowMs, command("lost", i+1, "out", "x"))
	}
	c.step()
	for other := range c.voters {
		c.kill(other)
	}
	clear(c.blocked)
	for other := range c.voters {
		c.start(other, false)
	}
	others := []uint64{id%3 + 1, (id+1)%3 + 1}
	c.waitFor("the others participate", func() bool { return c.nodes[others[0]].participating && c.nodes[others[1]].participating })
	for _, other := range others {
		if len(c.nodes[other].votersAhead()) == 0 {
			t.Fatal("the corrupt voter's log was not the longest")
		}
	}
	c.kill(id)
	f := c.disks[id].files[logName]
	f.synced[len(f.synced)/3] ^= 4
	c.start(id, false)
	if a := c.apply("bob", 1, "out", "w2"); !a.Applied {
		t.Error(a.Reason)
	}
}
