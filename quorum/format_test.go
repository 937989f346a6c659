package quorum

import (
	"maps"
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

	d := NewMemory()
	d.files["log"] = &memoryFile{disk: d, synced: []byte(file)}
	_, got, err := openLog(d, "")
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got.snapshot, snapshot) || !proto.Equal(got.hardState, second) || len(got.entries) != 1 ||
		!proto.Equal(got.entries[0], entry) || !maps.Equal(got.positions, after) || got.tornTailBytes != 0 {
		t.Errorf("read %+v", got)
	}

	d = NewMemory()
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
