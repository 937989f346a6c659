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

func entries(from, n int) (all []*pb.Entry) {
	for i := range n {
		all = append(all, &pb.Entry{Index: proto.Uint64(uint64(from + i)), Term: proto.Uint64(1),
			Data: command(fmt.Sprint("c", from+i), 1, "out", "w1")})
	}
	return all
}

// One change kept, by this log and by bbolt, on the disk below the test's folder.
func BenchmarkLogAdd(b *testing.B) {
	d, err := Folder(b.TempDir())
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

func BenchmarkLogAddBbolt(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	for i := 1; b.Loop(); i++ {
		if err := db.Update(func(tx *bbolt.Tx) error {
			at, err := tx.CreateBucketIfNotExists([]byte("log"))
			if err != nil {
				return err
			}
			return at.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), mustMarshal(entries(i, 1)[0]))
		}); err != nil {
			b.Fatal(err)
		}
	}
}

// A voter's start, by the commands behind its last snapshot.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, err := Folder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			o := Options{ID: 1, Voters: map[uint64]string{1: "v1"}, Disk: d, Start: 1}
			v, err := Open(o)
			if err != nil {
				b.Fatal(err)
			}
			if err := v.log.persist(&pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(uint64(n + 1))},
				entries(2, n), nil, true); err != nil {
				b.Fatal(err)
			}
			v.Close()
			for b.Loop() {
				v, err := Open(o)
				if err == nil {
					err = v.Work(0)
				}
				if err != nil || v.Record.No != uint64(n+1) {
					b.Fatal(err, v.Record.No)
				}
				v.Close()
			}
		})
	}
}
