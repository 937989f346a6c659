package quorum

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The log is one file of records, each with its length, a checksum and its place, so that a torn tail, a flipped bit and
// a record that stands where another should are all told apart from what was written. It is made anew, whole, when the
// record was snapshot: written beside the old one, kept, then renamed.

const (
	logName  = "log"
	newName  = "log.new"
	headSize = 4 + 4 + 8 + 1
	mostSize = 64 << 20 // of a record: more is no length, but rot
)

type kind byte

const (
	kindSnapshot kind = 1
	kindState    kind = 2
	kindEntry    kind = 3
	kindMarks    kind = 4
)

// ErrRotten says that a record before the log's end can't be read: what follows it was kept, and can't be trusted to be
// all.
var ErrRotten = errors.New("a record in the middle can't be read")

// Mark is the furthest that a process was seen to have kept: acknowledged, voted or sent.
type Mark struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`        // acknowledged or sent in that term
	Of    uint64 `json:"of,omitempty"` // the term of the entry at Index, 0 where that is not known
}

// kept is all that the log holds.
type kept struct {
	snap    *pb.Snapshot
	state   *pb.HardState
	entries []*pb.Entry
	marks   map[uint64]Mark
	cut     int // bytes of a torn tail
}

type log struct {
	disk  Disk
	file  File
	place uint64
	bytes int
	syncs int
	marks []byte // as last written
}

var table = crc32.MakeTable(crc32.Castagnoli)

func (l *log) record(b []byte, k kind, payload []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, l.place)
	b = append(append(b, byte(k)), payload...)
	binary.BigEndian.PutUint32(b[at+4:], crc32.Checksum(b[at+8:], table))
	l.place++
	return b
}

// next reads the record at the front of b. place is the one it has to have, 0 for any.
func next(b []byte, place uint64) (k kind, payload []byte, at uint64, ok bool) {
	if len(b) < headSize {
		return 0, nil, 0, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > mostSize || len(b) < headSize+n || crc32.Checksum(b[8:headSize+n], table) != binary.BigEndian.Uint32(b[4:]) {
		return 0, nil, 0, false
	}
	at = binary.BigEndian.Uint64(b[8:])
	return kind(b[16]), b[headSize : headSize+n], at, place == 0 || at == place
}

// openLog reads the log; there may be none. A tail that can't be read and has nothing after it was being written when
// the process ended: nobody was told that it is kept.
func openLog(d Disk, bug string) (*log, *kept, error) {
	l, k := &log{disk: d, place: 1}, &kept{marks: map[uint64]Mark{}}
	raw, err := d.Read(logName)
	if os.IsNotExist(err) {
		return l, nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	for at, place := 0, uint64(0); at < len(raw); {
		what, payload, seen, ok := next(raw[at:], place)
		if !ok {
			for i := at + 1; i+headSize <= len(raw); i++ {
				if _, _, later, ok := next(raw[i:], 0); ok && later > place {
					return nil, nil, fmt.Errorf("log: record %d at byte %d: %w", place, at, ErrRotten)
				}
			}
			if k.cut = len(raw) - at; bug == "torn-whole" && k.cut > headSize {
				_ = k.take(kind(raw[at+16]), raw[at+headSize:])
			}
			break
		}
		if err := k.take(what, payload); err != nil {
			return nil, nil, fmt.Errorf("log: record %d: %w", seen, err)
		}
		place, at = seen+1, at+headSize+len(payload)
		l.place = place
	}
	if k.snap == nil {
		// A log begins with a snapshot, and is renamed into place only when that is kept.
		return nil, nil, fmt.Errorf("log: it does not begin with a snapshot: %w", ErrRotten)
	}
	return l, k, nil
}

func (k *kept) take(what kind, payload []byte) error {
	switch what {
	case kindSnapshot:
		k.snap, k.entries = &pb.Snapshot{}, nil
		return proto.Unmarshal(payload, k.snap)
	case kindState:
		k.state = &pb.HardState{}
		return proto.Unmarshal(payload, k.state)
	case kindMarks:
		return json.Unmarshal(payload, &k.marks)
	case kindEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return err
		}
		// A later leader's entry stands in place of all from its index on.
		for n := len(k.entries); n > 0 && k.entries[n-1].GetIndex() >= e.GetIndex(); n-- {
			k.entries = k.entries[:n-1]
		}
		k.entries = append(k.entries, e)
		return nil
	}
	return fmt.Errorf("kind %d is not known", what)
}

func must(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err) // made by this program from numbers and bytes: there is nothing in it that can't be written
	}
	return raw
}

// add writes what has to be kept, and returns once it is.
func (l *log) add(state *pb.HardState, entries []*pb.Entry, marks map[uint64]Mark, sync bool) error {
	var b []byte
	if state != nil {
		b = l.record(b, kindState, must(state))
	}
	for _, e := range entries {
		b = l.record(b, kindEntry, must(e))
	}
	// Marks ride along: by themselves they are worth no sync.
	if raw, _ := json.Marshal(marks); b != nil && string(raw) != string(l.marks) {
		b, l.marks = l.record(b, kindMarks, raw), raw
	}
	if b == nil {
		return nil
	}
	if l.file == nil {
		f, err := l.disk.Append(logName)
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
		l.file = f
	}
	if _, err := l.file.Write(b); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	l.bytes += len(b)
	if !sync {
		return nil
	}
	l.syncs++
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// anew puts a log that begins with this snapshot in the place of the old one.
func (l *log) anew(snap *pb.Snapshot, state *pb.HardState, entries []*pb.Entry, marks map[uint64]Mark) error {
	b := l.record(nil, kindSnapshot, must(snap))
	if state != nil {
		b = l.record(b, kindState, must(state))
	}
	raw, _ := json.Marshal(marks)
	b, l.marks = l.record(b, kindMarks, raw), raw
	for _, e := range entries {
		b = l.record(b, kindEntry, must(e))
	}
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	f, err := l.disk.Create(newName)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = l.disk.Rename(newName, logName)
	}
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	l.bytes, l.syncs = len(b), l.syncs+1
	return nil
}

func (l *log) close() {
	if l.file != nil {
		l.file.Close()
	}
}
