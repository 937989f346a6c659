package quorum

import (
	"encoding/json"
	"maps"
	"reflect"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The log file stays on disk across upgrades: each build reads what any earlier one wrote, and writes the same bytes.
func TestLogFileFormat(t *testing.T) {
	const file = "\x00\x00\x00\x16\x35\x57\x05\xd4\x00\x00\x00\x00\x00\x00\x00\x01\x01" +
		"\n\x06record\x12\x0c\n\x06\x08\x01\x08\x02\x08\x03\x10\x04\x18\x01" +
		"\x00\x00\x00\x06\x8a\x27\x46\x6b\x00\x00\x00\x00\x00\x00\x00\x02\x02" +
		"\x08\x01\x10\x02\x18\x04" +
		"\x00\x00\x00\x3a\x0f\x7d\x25\x10\x00\x00\x00\x00\x00\x00\x00\x03\x04" +
		`{"2":{"term":2,"index":5,"of":1},"3":{"term":1,"index":4}}` +
		"\x00\x00\x00\x06\x3e\x1e\xdc\xb1\x00\x00\x00\x00\x00\x00\x00\x04\x02" +
		"\x08\x02\x10\x00\x18\x04" +
		"\x00\x00\x00\x0a\xa9\xba\xe9\x48\x00\x00\x00\x00\x00\x00\x00\x05\x03" +
		"\x10\x02\x18\x05\x22\x04five" +
		"\x00\x00\x00\x3a\x28\x5d\x37\x1e\x00\x00\x00\x00\x00\x00\x00\x06\x04" +
		`{"2":{"term":2,"index":6,"of":2},"3":{"term":1,"index":4}}`
	snapshot := &pb.Snapshot{Data: []byte("record"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(4),
		Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}
	first := &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(2), Commit: proto.Uint64(4)}
	second := &pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(0), Commit: proto.Uint64(4)}
	entry := &pb.Entry{Index: proto.Uint64(5), Term: proto.Uint64(2), Data: []byte("five")}
	before := map[uint64]LogPosition{2: {Term: 2, Index: 5, EntryTerm: 1}, 3: {Term: 1, Index: 4}}
	after := map[uint64]LogPosition{2: {Term: 2, Index: 6, EntryTerm: 2}, 3: {Term: 1, Index: 4}}

	d := NewMemoryDisk()
	d.files["log"] = &memoryFile{disk: d, synced: []byte(file)}
	_, got, err := openLog(d, "")
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got.snapshot, snapshot) || !proto.Equal(got.hardState, second) || len(got.entries) != 1 ||
		!proto.Equal(got.entries[0], entry) || !maps.Equal(got.positions, after) || got.tornTailBytes != 0 {
		t.Errorf("read %+v", got)
	}

	d = NewMemoryDisk()
	l, _, err := openLog(d, "")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.replace(snapshot, first, nil, before); err != nil {
		t.Fatal(err)
	}
	if err := l.persist(second, []*pb.Entry{entry}, after, true); err != nil {
		t.Fatal(err)
	}
	if got := string(d.files["log"].synced); got != file {
		t.Errorf("wrote %q, want %q", got, file)
	}
}

// Voters of different builds exchange messages during an upgrade: each build reads what the others send, and sends the same
// names.
func TestMessageFormat(t *testing.T) {
	const old = `[{"From":1,"To":2,"Raft":"YWJj","Mark":{"term":0,"index":0},"Last":{"term":0,"index":0}},` +
		`{"From":3,"To":1,"Ask":7,"Mark":{"term":0,"index":0},"Last":{"term":0,"index":0}},` +
		`{"From":2,"To":1,"Told":7,"Mark":{"term":4,"index":9,"of":3},"Last":{"term":5,"index":12,"of":5},"Term":6,` +
		`"Behind":true,"Leads":true,"Voters":{"1":"v1","2":"v2"},"VotersNo":8}]`
	want := []Message{
		{From: 1, To: 2, Raft: []byte("abc")},
		{From: 3, To: 1, Query: 7},
		{From: 2, To: 1, ReplyTo: 7, Observed: LogPosition{Term: 4, Index: 9, EntryTerm: 3},
			LastPosition: LogPosition{Term: 5, Index: 12, EntryTerm: 5}, Term: 6, DiskBehind: true, IsLeader: true,
			Voters: map[uint64]string{1: "v1", 2: "v2"}, VotersChangeNo: 8},
	}
	var got []Message
	if err := json.Unmarshal([]byte(old), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	if raw, err := json.Marshal(want); err != nil || string(raw) != old {
		t.Errorf("wrote %s (%v), want %s", raw, err, old)
	}
}

// The agent's status page holds these counts under these names.
func TestTrafficFormat(t *testing.T) {
	const old = `{"Letters":3,"Bytes":450}`
	want := Traffic{Messages: 3, Bytes: 450}
	var got Traffic
	if err := json.Unmarshal([]byte(old), &got); err != nil || got != want {
		t.Errorf("read %+v (%v), want %+v", got, err, want)
	}
	if raw, err := json.Marshal(want); err != nil || string(raw) != old {
		t.Errorf("wrote %s (%v), want %s", raw, err, old)
	}
}
