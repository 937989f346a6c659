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

func command(of string, number uint64, do, worker string) []byte {
	raw, _ := json.Marshal(fleet.Command{V: 1, Caller: of, Number: number, Do: do, ID: worker, Zone: "a", By: of})
	return raw
}

// set is a few voters in simulated time.
type set struct {
	t     testing.TB
	r     *rand.Rand
	now   float64
	first map[uint64]string
	disks map[uint64]*Memory
	nodes map[uint64]*Node
	cut   map[[2]uint64]bool
	post  []Letter
	loss  float64
	done  map[string]fleet.Answer
	errs  map[uint64]error
	turn  uint64
	bug   map[uint64]string
}

func newSet(t testing.TB, n int, seed uint64) *set {
	s := &set{t: t, r: rand.New(rand.NewPCG(seed, 1)), first: map[uint64]string{}, disks: map[uint64]*Memory{},
		nodes: map[uint64]*Node{}, cut: map[[2]uint64]bool{}, done: map[string]fleet.Answer{}, errs: map[uint64]error{}}
	for i := range uint64(n) {
		s.first[i+1] = fmt.Sprint("v", i+1)
		s.disks[i+1] = NewMemory()
	}
	for id := range s.first {
		s.start(id, false)
	}
	return s
}

func (s *set) start(id uint64, join bool) {
	s.turn++
	n, err := Open(Options{ID: id, Voters: s.first, Join: join, Disk: s.disks[id], Start: s.turn, Bug: s.bug[id]})
	if delete(s.nodes, id); err != nil {
		s.errs[id] = err
		return
	}
	delete(s.errs, id)
	s.nodes[id] = n
}

func (s *set) kill(id uint64) {
	delete(s.nodes, id)
	s.disks[id].Crash(s.r)
}

// step is one tick of all and what follows from it.
func (s *set) step() {
	s.now += 50
	for id := uint64(1); id < 10; id++ {
		if n := s.nodes[id]; n != nil {
			s.errs[id] = n.Tick()
		}
	}
	for range 4 {
		old := s.post
		s.post = nil
		for _, l := range old {
			if n := s.nodes[l.To]; n != nil && !s.cut[[2]uint64{l.From, l.To}] && s.r.Float64() >= s.loss {
				_ = n.Step(s.now, l)
			}
		}
		for id := uint64(1); id < 10; id++ {
			n := s.nodes[id]
			if n == nil {
				continue
			}
			if err := n.Work(s.now); err != nil {
				s.errs[id] = err
			}
			for l, ok := n.NextLetter(); ok; l, ok = n.NextLetter() {
				s.post = append(s.post, l)
			}
			for d, ok := n.NextDone(); ok; d, ok = n.NextDone() {
				if n.isLeader {
					s.done[fmt.Sprint(d.Caller, d.Number)] = d.Answer
				}
			}
		}
	}
}

func (s *set) leader() *Node {
	for id := uint64(1); id < 10; id++ {
		if n := s.nodes[id]; n != nil && n.isLeader && n.stopErr == nil {
			return n
		}
	}
	return nil
}

func (s *set) until(what string, ok func() bool) {
	s.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		s.step()
	}
	s.t.Fatalf("not in 100 s: %s; %v", what, s.errs)
}

func (s *set) change(of string, number uint64, do, worker string) fleet.Answer {
	s.t.Helper()
	key := fmt.Sprint(of, number)
	s.until("a command", func() bool {
		if l := s.leader(); l != nil {
			_ = l.Propose(s.now, command(of, number, do, worker))
		}
		s.step()
		_, ok := s.done[key]
		return ok
	})
	return s.done[key]
}

// All voters killed at once, one replaced for good, a command sent again at another leader: nothing answered is lost, nor
// carried out twice.
func TestRecordOutlivesItsVoters(t *testing.T) {
	s := newSet(t, 3, 1)
	s.change("ann", 1, "out", "w1")
	for id := range s.first {
		s.kill(id)
	}
	for id := range s.first {
		s.start(id, false)
	}
	s.until("a leader", func() bool { return s.leader() != nil })
	a := s.change("ann", 1, "out", "w1") // its answer was lost
	if l := s.leader(); !a.Done || !l.Record.Workers["w1"].Out || l.Record.Retries != 1 {
		t.Errorf("%+v, %d carried out again", a, l.Record.Retries)
	}
	// One is gone for good, and a new one joins under its own number.
	gone := s.leader().options.ID%3 + 1
	s.kill(gone)
	s.disks[4] = NewMemory()
	s.until("a leader", func() bool { return s.leader() != nil })
	if err := s.leader().ProposeVoters(4, "v4", gone); err != nil {
		t.Fatal(err)
	}
	s.start(4, true)
	s.until("the new voter", func() bool { return s.nodes[4].Record.Workers["w1"].Out })
	s.change("bob", 1, "in", "w1")
	s.until("all the same", func() bool {
		want := string(s.leader().Record.Snapshot())
		for _, n := range s.nodes {
			if string(n.Record.Snapshot()) != want {
				return false
			}
		}
		return len(s.nodes) == 3
	})
	if v := s.leader().Record.Voters; v[4] != "v4" || v[gone] != "" {
		t.Errorf("voters %v", v)
	}
}

// A leader that is cut off with nobody answers nothing: neither a change nor a read.
func TestMinorityAnswersNothing(t *testing.T) {
	s := newSet(t, 3, 2)
	s.change("ann", 1, "out", "w1")
	old := s.leader()
	for id := range s.first {
		s.cut[[2]uint64{id, old.options.ID}], s.cut[[2]uint64{old.options.ID, id}] = true, true
	}
	_ = old.Read("r")
	_ = old.Propose(s.now, command("bob", 1, "in", "w1"))
	for range 60 {
		s.step()
		if key, ok := old.NextRead(); ok {
			t.Fatalf("read %s was answered", key)
		}
	}
	if _, ok := s.done["bob1"]; ok || old.isLeader || !errors.Is(old.Propose(s.now, command("bob", 1, "in", "w1")), ErrNotLeader) {
		t.Error("a change in a minority")
	}
	s.change("cid", 1, "out", "w2")
	clear(s.cut)
	s.until("the old leader follows", func() bool { return old.Record.Workers["w2"].Out })
}

// A disk that lied, an older copy put back, a folder wiped: the voter does not vote again on it, and says so. A torn tail
// is cut off; a record that rots in the middle stops it.
func TestDisksThatLie(t *testing.T) {
	for name, spoil := range map[string]func(s *set, id uint64){
		"sync lied": func(s *set, id uint64) {
			s.disks[id].Lies = true
			s.change("bob", 1, "out", "w2")
			s.until("acknowledged", func() bool { return s.nodes[id].Record.Workers["w2"].Out })
			s.kill(id)
		},
		"older copy": func(s *set, id uint64) {
			old := s.disks[id].Copy()
			s.change("bob", 1, "out", "w2")
			s.until("acknowledged", func() bool { return s.nodes[id].Record.Workers["w2"].Out })
			s.kill(id)
			s.disks[id] = old
		},
		"wiped": func(s *set, id uint64) {
			s.kill(id)
			s.disks[id] = NewMemory()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet(t, 3, 3)
			s.change("ann", 1, "out", "w1")
			id := s.leader().options.ID%3 + 1
			spoil(s, id)
			s.start(id, false)
			s.until("it is found out", func() bool { return errors.Is(s.errs[id], ErrBehind) })
			if n := s.nodes[id]; n.participating || !errors.Is(n.Read("r"), ErrBehind) {
				t.Error("it counts, or answers")
			}
			s.change("cid", 1, "in", "w1") // the others go on
		})
	}
	s := newSet(t, 3, 4)
	s.change("ann", 1, "out", "w1")
	id := s.leader().options.ID%3 + 1
	f := s.disks[id].files[logName]
	s.kill(id)
	f.synced = append(f.synced, 0, 0, 0, 9, 1, 2, 3)
	if s.start(id, false); s.nodes[id] == nil || s.nodes[id].TornTailBytes != 7 {
		t.Fatal("a torn tail")
	}
	s.until("it counts", func() bool { return s.nodes[id].participating })
	s.kill(id)
	f = s.disks[id].files[logName]
	f.synced[len(f.synced)/3] ^= 4
	s.start(id, false)
	s.until("rot in the middle is found", func() bool { return errors.Is(s.errs[id], ErrCorrupt) })
	// It still tells what it has seen: else one more restart would leave nobody who counts.
	other := id%3 + 1
	s.kill(other)
	s.start(other, false)
	s.until("the other counts", func() bool { return s.nodes[other].participating })
	// A sync that fails ends the voter: what its disk holds is not known.
	s = newSet(t, 3, 5)
	s.change("ann", 1, "out", "w1")
	id = s.leader().options.ID
	s.disks[id].Fails = errors.New("EIO")
	_ = s.nodes[id].Propose(s.now, command("bob", 1, "out", "w2"))
	s.until("it stops", func() bool { return s.errs[id] != nil })
	s.change("cid", 1, "out", "w3")
}

// A claim of what another has is not taken before its term is over, nor by a new leader before a whole term.
func TestClaimsWaitForTheTerm(t *testing.T) {
	s := newSet(t, 3, 6)
	claim := func(owner string, number, fence, renewed uint64) fleet.Answer {
		raw, _ := json.Marshal(fleet.Command{V: 1, Caller: owner, Number: number, Do: "claim", Matter: "m", Owner: owner,
			Fence: fence, Renewed: renewed, Term: 3000})
		key := fmt.Sprint(owner, number)
		delete(s.done, key)
		s.until("a claim", func() bool {
			if l := s.leader(); l != nil {
				_ = l.Propose(s.now, raw)
			}
			s.step()
			_, ok := s.done[key]
			return ok
		})
		return s.done[key]
	}
	if a := claim("a#1", 1, 0, 0); !a.Done {
		t.Fatal(a)
	}
	m := s.leader().Record.Matters["m"]
	began := s.now
	for range 40 {
		s.step()
	}
	s.kill(s.leader().options.ID)
	s.until("a new leader", func() bool { return s.leader() != nil })
	led := s.now
	for number := uint64(1); ; number++ {
		a := claim("b#1", number, m.Fence, m.Renewed)
		if a.Done {
			break
		}
		s.step()
	}
	if s.now < led+1.2*3000-200 || s.now < began+3600 {
		t.Errorf("claimed %g ms after the new leader came, %g after the old claim", s.now-led, s.now-began)
	}
}

// The log reads back what was written, whatever byte it ends at, and takes no torn record as whole.
func TestLogAtAnyByte(t *testing.T) {
	d := NewMemory()
	l, _, _ := openLog(d, "")
	if err := l.replace(&pb.Snapshot{Data: []byte("x")}, nil, nil, nil); err != nil {
		t.Fatal(err)
	}
	base := len(d.files[logName].synced)
	var ends []int
	for i := range uint64(6) {
		if err := l.persist(nil, []*pb.Entry{{Index: proto.Uint64(i + 1), Term: proto.Uint64(1), Data: []byte(fmt.Sprint(i))}}, nil, true); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(d.files[logName].synced))
	}
	whole := d.files[logName].synced
	for cut := base; cut <= len(whole); cut++ {
		c := NewMemory()
		c.files[logName] = &memoryFile{disk: c, synced: whole[:cut]}
		_, k, err := openLog(c, "")
		want := 0
		for _, e := range ends {
			if e <= cut {
				want++
			}
		}
		if err != nil || len(k.entries) != want {
			t.Fatalf("cut at %d: %v, %d entries, want %d", cut, err, len(k.entries), want)
		}
	}
	for at := base; at < ends[4]; at++ { // a flipped bit before the last record is rot, never another record
		c := NewMemory()
		c.files[logName] = &memoryFile{disk: c, synced: append([]byte{}, whole...)}
		c.files[logName].synced[at] ^= 16
		if _, _, err := openLog(c, ""); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("a bit flipped at %d: %v", at, err)
		}
	}
}

// An older disk with entries of a leader that lost, as many as were acknowledged since to the one that leads, which alone
// knows of that and is not heard: it counts on them, and would have the others' numbers applied to these.
func TestOlderDiskOfALeaderThatLost(t *testing.T) {
	s := newSet(t, 5, 5)
	s.change("ann", 1, "out", "w1")
	split := func(cut bool, a, b []uint64) {
		for _, x := range a {
			for _, y := range b {
				s.cut[[2]uint64{x, y}], s.cut[[2]uint64{y, x}] = cut, cut
			}
		}
	}
	lost := s.leader()
	id := lost.options.ID%5 + 1
	var rest []uint64
	for other := range s.first {
		if other != id && other != lost.options.ID {
			rest = append(rest, other)
		}
	}
	split(true, []uint64{id, lost.options.ID}, rest)
	for i := range uint64(8) {
		_ = lost.Propose(s.now, command("lost", i+1, "out", fmt.Sprint("x", i)))
	}
	s.until("one other has what the leader that loses proposed", func() bool {
		return s.nodes[id].lastPosition().Index >= lost.lastPosition().Index && lost.lastPosition().Index > 8
	})
	old := s.disks[id].Copy()
	was := s.nodes[id].lastPosition()
	split(false, []uint64{id}, rest)
	s.until("another leads", func() bool { l := s.leader(); return l != nil && l != lost })
	s.until("the one that lost follows none", func() bool { return !lost.isLeader })
	lead := s.leader().options.ID
	for i := range uint64(4) {
		s.change("bob", i+1, "out", fmt.Sprint("w", i))
	}
	s.until("acknowledged", func() bool {
		return s.nodes[id].lastPosition() == s.nodes[lead].lastPosition() && s.nodes[id].lastPosition().Index <= was.Index
	})
	sees := s.nodes[lead].observed[id]
	s.kill(id)
	// The copy is from after its vote for the one that leads now, and before any entry of that one's.
	l, k, err := openLog(old, "")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.persist(&pb.HardState{Term: s.nodes[lead].hardState.Term, Vote: &lead, Commit: k.hardState.Commit}, nil, k.positions, true); err != nil {
		t.Fatal(err)
	}
	s.disks[id] = old
	split(false, []uint64{lost.options.ID}, rest)
	split(true, []uint64{id}, []uint64{lead})
	s.start(id, false)
	for range 40 {
		s.step()
	}
	split(false, []uint64{id}, []uint64{lead})
	s.until("all have one record, or it says that its disk is behind", func() bool {
		n := s.nodes[id]
		for _, o := range s.nodes {
			if o != n && o.Record.No == n.Record.No && string(o.Record.Snapshot()) != string(n.Record.Snapshot()) {
				t.Fatalf("voter %d has another record after command %d than voter %d", id, n.Record.No, o.options.ID)
			}
		}
		l := s.leader()
		return n.diskBehind || l != nil && n.participating && n.Record.No == l.Record.No && l.Record.Workers["w3"].Out
	})
	for range 100 {
		s.step()
	}
	// In the leader's own term an entry of that number is not enough.
	n := s.nodes[lead]
	if m := n.lastPosition(); n.lacksPosition(m) || !n.lacksPosition(LogPosition{n.hardState.GetTerm(), m.Index + 1, 0}) || !n.lacksPosition(LogPosition{n.hardState.GetTerm(), m.Index, m.EntryTerm - 1}) ||
		!n.lacksPosition(LogPosition{n.hardState.GetTerm() + 1, 0, 0}) || sees.EntryTerm == 0 {
		t.Errorf("marks are judged wrongly: %+v", sees)
	}
}

// A voter that was put in another's place, took part, and then lost its folder is not new any more: others have seen it
// keep something.
func TestNewVoterThatLostItsFolder(t *testing.T) {
	s := newSet(t, 3, 6)
	s.change("ann", 1, "out", "w1")
	old := s.leader().options.ID%3 + 1
	s.kill(old)
	delete(s.first, old)
	s.first[4], s.disks[4] = "v4", NewMemory()
	s.start(4, true)
	s.until("the new one is in", func() bool {
		if l := s.leader(); l != nil && l.Record.Voters[4] == "" {
			_ = l.ProposeVoters(4, "v4", old)
		}
		return s.nodes[4].participating && s.nodes[4].Record.Workers["w1"].Out
	})
	s.change("bob", 1, "out", "w2")
	s.until("it has that too", func() bool { return s.nodes[4].Record.Workers["w2"].Out })
	s.kill(4)
	s.disks[4] = NewMemory()
	s.start(4, true)
	s.until("it is found out", func() bool { return errors.Is(s.errs[4], ErrBehind) })
	if s.nodes[4].participating {
		t.Error("it counts")
	}
}

// Two versions of the program keep one record until the first command of the newer form: then the older one stops, with the
// reason, and stays as it is; it goes on where it was once it is upgraded.
func TestMixedVersions(t *testing.T) {
	s := newSet(t, 3, 7)
	s.bug = map[uint64]string{}
	s.change("ann", 1, "out", "w1")
	old := s.leader().options.ID%3 + 1
	s.kill(old)
	s.bug[old] = "form-1"
	s.start(old, false)
	s.change("ann", 2, "out", "w2")
	s.until("the older one has it too", func() bool { return s.nodes[old].Record.Workers["w2"].Out })
	raw, _ := json.Marshal(fleet.Command{V: 2, Caller: "bob", Number: 1, Do: "limits", By: "bob", Limits: []fleet.Limit{{Kind: "scheduler", Least: 1}}})
	s.until("limits are on record", func() bool {
		if l := s.leader(); l != nil {
			_ = l.Propose(s.now, raw)
		}
		return s.done["bob1"].Done
	})
	s.until("the older one stops", func() bool { return errors.Is(s.errs[old], fleet.ErrNewer) })
	if n := s.nodes[old]; len(n.Record.Limits) > 0 || !n.Record.Workers["w2"].Out {
		t.Error("it is not as it was")
	}
	s.change("cid", 1, "out", "w3") // the others go on
	s.kill(old)
	s.bug[old] = ""
	s.start(old, false)
	s.until("upgraded, it has all", func() bool { r := s.nodes[old].Record; return len(r.Limits) == 1 && r.Workers["w3"].Out })
}

// A voter with entries that nobody else has tells of them when all start, and its disk rots before it can pass them on. The
// others don't wait for them for ever.
func TestFurthestLogRots(t *testing.T) {
	s := newSet(t, 3, 8)
	s.change("ann", 1, "out", "w1")
	far := s.leader()
	id := far.options.ID
	for other := range s.first {
		if other != id {
			s.cut[[2]uint64{id, other}], s.cut[[2]uint64{other, id}] = true, true
		}
	}
	for i := range uint64(4) {
		_ = far.Propose(s.now, command("lost", i+1, "out", "x"))
	}
	s.step()
	for other := range s.first {
		s.kill(other)
	}
	clear(s.cut)
	for other := range s.first {
		s.start(other, false)
	}
	others := []uint64{id%3 + 1, (id+1)%3 + 1}
	s.until("the others were told", func() bool { return s.nodes[others[0]].participating && s.nodes[others[1]].participating })
	for _, other := range others {
		if len(s.nodes[other].votersAhead()) == 0 {
			t.Fatal("the furthest log is not further")
		}
	}
	s.kill(id)
	f := s.disks[id].files[logName]
	f.synced[len(f.synced)/3] ^= 4
	s.start(id, false)
	if a := s.change("bob", 1, "out", "w2"); !a.Done {
		t.Error(a.Why)
	}
}
