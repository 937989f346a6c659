package quorum

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// entries returns n log entries, each with a command, from the index from on.
func entries(from, n int) (all []*pb.Entry) {
	for i := range n {
		all = append(all, &pb.Entry{Index: proto.Uint64(uint64(from + i)), Term: proto.Uint64(1),
			Data: command(fmt.Sprint("c", from+i), 1, "out", "w1")})
	}
	return all
}

// BenchmarkLogPersist measures one entry written and synced by this log, on the disk of the temporary directory;
// BenchmarkBboltPut measures the same with bbolt.
func BenchmarkLogPersist(b *testing.B) {
	d, err := OpenDirectory(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	l, _, _ := openLog(d, "")
	if err := l.replace(&pb.Snapshot{Data: []byte("x")}, nil, nil, nil); err != nil {
		b.Fatal(err)
	}
	for i := 1; b.Loop(); i++ {
		if err := l.persist(nil, entries(i, 1), nil, true); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBboltPut(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	for i := 1; b.Loop(); i++ {
		if err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
			if err != nil {
				return err
			}
			return bucket.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), mustMarshal(entries(i, 1)[0]))
		}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStart measures a voter's start, by the number of commands after its last snapshot.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, err := OpenDirectory(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			o := Options{ID: 1, Voters: map[uint64]string{1: "v1"}, Disk: d, StartID: 1}
			node, err := Open(o)
			if err != nil {
				b.Fatal(err)
			}
			state := &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(uint64(n + 1))}
			if err := node.log.persist(state, entries(2, n), nil, true); err != nil {
				b.Fatal(err)
			}
			node.Close()
			for b.Loop() {
				node, err := Open(o)
				if err == nil {
					err = node.Work(0)
				}
				if err != nil || node.Record.No != uint64(n+1) {
					b.Fatal(err, node.Record.No)
				}
				node.Close()
			}
		})
	}
}
