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

// The log is one file of records. The header of each has the payload's length (4 bytes), a CRC-32C of all that follows
// the checksum (4), a sequence number (8) and the record's kind (1), numbers in big-endian order. So a torn tail, a
// flipped bit and a record in the wrong place are each recognized. After each snapshot the whole file is replaced: the
// new one is written and synced under another name, then renamed.

const (
	logName         = "log"
	newLogName      = "log.new"
	headerBytes     = 4 + 4 + 8 + 1
	maxPayloadBytes = 64 << 20 // a larger length field is a corrupt one
)

// recordKind says what a record's payload is. Its values are stored.
type recordKind byte

const (
	kindSnapshot  recordKind = 1 // pb.Snapshot
	kindHardState recordKind = 2 // pb.HardState
	kindEntry     recordKind = 3 // pb.Entry
	kindPositions recordKind = 4 // JSON of the map from voter to LogPosition
)

// ErrCorrupt says that a record before the end of the log is unreadable. The records behind it were synced, and which ones
// are missing is unknown, so the log can't be trusted.
var ErrCorrupt = errors.New("the log is corrupt: a record before its end is unreadable")

// LogPosition is a point in a voter's log that the voter was seen to have persisted: by an acknowledgement, a vote, or a
// message that it sent.
type LogPosition struct {
	Term      uint64 `json:"term"`         // the voter's own term then
	Index     uint64 `json:"index"`        // of the entry acknowledged or sent in that term
	EntryTerm uint64 `json:"of,omitempty"` // the term of the entry at Index; 0 if unknown
}

// logContents is the content of the log file.
type logContents struct {
	snapshot      *pb.Snapshot
	hardState     *pb.HardState
	entries       []*pb.Entry
	positions     map[uint64]LogPosition // see Node.observed
	tornTailBytes int                    // length of an incomplete record at the end
}

// diskLog is the log file open for writing.
type diskLog struct {
	disk          Disk
	file          File   // nil until the first append
	nextSequence  uint64 // of the next record; goes on when the file is replaced
	sizeBytes     int
	syncs         int    // how often a write has waited for the disk
	lastPositions []byte // the positions as they were last written
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to b, under the next sequence number.
func (l *diskLog) appendRecord(b []byte, kind recordKind, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint64(b, l.nextSequence)
	b = append(append(b, byte(kind)), payload...)
	binary.BigEndian.PutUint32(b[start+4:], crc32.Checksum(b[start+8:], castagnoli))
	l.nextSequence++
	return b
}

// readRecord reads the record at the start of b. It must have the sequence number wanted, or any if that is 0.
func readRecord(b []byte, wanted uint64) (kind recordKind, payload []byte, sequence uint64, ok bool) {
	if len(b) < headerBytes {
		return 0, nil, 0, false
	}
	length := int(binary.BigEndian.Uint32(b))
	if length > maxPayloadBytes || len(b) < headerBytes+length ||
		crc32.Checksum(b[8:headerBytes+length], castagnoli) != binary.BigEndian.Uint32(b[4:]) {
		return 0, nil, 0, false
	}
	sequence = binary.BigEndian.Uint64(b[8:])
	return recordKind(b[16]), b[headerBytes : headerBytes+length], sequence, wanted == 0 || sequence == wanted
}

// openLog reads the log; the contents are nil if there is none yet. An unreadable record with no later record behind it was
// being written when the process ended: it was never acknowledged to anybody, so it is dropped. bug names a planted bug,
// "" for none.
func openLog(d Disk, bug string) (*diskLog, *logContents, error) {
	l, contents := &diskLog{disk: d, nextSequence: 1}, &logContents{positions: map[uint64]LogPosition{}}
	raw, err := d.Read(logName)
	if os.IsNotExist(err) {
		return l, nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	for offset, wanted := 0, uint64(0); offset < len(raw); {
		kind, payload, sequence, ok := readRecord(raw[offset:], wanted)
		if !ok {
			for i := offset + 1; i+headerBytes <= len(raw); i++ {
				if _, _, later, ok := readRecord(raw[i:], 0); ok && later > wanted {
					return nil, nil, fmt.Errorf("log: record %d at byte %d: %w", wanted, offset, ErrCorrupt)
				}
			}
			if contents.tornTailBytes = len(raw) - offset; bug == "torn-whole" && contents.tornTailBytes > headerBytes {
				_ = contents.addRecord(recordKind(raw[offset+16]), raw[offset+headerBytes:])
			}
			break
		}
		if err := contents.addRecord(kind, payload); err != nil {
			return nil, nil, fmt.Errorf("log: record %d: %w", sequence, err)
		}
		wanted, offset = sequence+1, offset+headerBytes+len(payload)
		l.nextSequence = wanted
	}
	if contents.snapshot == nil {
		// A log file is renamed into place only after the snapshot that it begins with was synced.
		return nil, nil, fmt.Errorf("log: no snapshot at its start: %w", ErrCorrupt)
	}
	return l, contents, nil
}

// addRecord applies the next record of the file to the contents read so far.
func (c *logContents) addRecord(kind recordKind, payload []byte) error {
	switch kind {
	case kindSnapshot:
		c.snapshot, c.entries = &pb.Snapshot{}, nil
		return proto.Unmarshal(payload, c.snapshot)
	case kindHardState:
		c.hardState = &pb.HardState{}
		return proto.Unmarshal(payload, c.hardState)
	case kindPositions:
		return json.Unmarshal(payload, &c.positions)
	case kindEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return err
		}
		// An entry of a later leader replaces all entries from its index on.
		for n := len(c.entries); n > 0 && c.entries[n-1].GetIndex() >= e.GetIndex(); n-- {
			c.entries = c.entries[:n-1]
		}
		c.entries = append(c.entries, e)
		return nil
	}
	return fmt.Errorf("unknown record kind %d, want 1 to 4", kind)
}

// mustMarshal encodes a message that this program has built.
func mustMarshal(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err) // the messages hold only numbers and bytes, which can always be encoded
	}
	return raw
}

// persist writes records at the end of the log and, with sync, returns once they are durable. hardState may be nil.
func (l *diskLog) persist(hardState *pb.HardState, entries []*pb.Entry, positions map[uint64]LogPosition, sync bool) error {
	var b []byte
	if hardState != nil {
		b = l.appendRecord(b, kindHardState, mustMarshal(hardState))
	}
	for _, e := range entries {
		b = l.appendRecord(b, kindEntry, mustMarshal(e))
	}
	// Changed positions are written only together with other records: alone they are not worth a sync.
	if raw, _ := json.Marshal(positions); b != nil && string(raw) != string(l.lastPositions) {
		b, l.lastPositions = l.appendRecord(b, kindPositions, raw), raw
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
	l.sizeBytes += len(b)
	if !sync {
		return nil
	}
	l.syncs++
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// replace replaces the log file by one that begins with this snapshot, and returns once it is durable. hardState may be
// nil.
func (l *diskLog) replace(snapshot *pb.Snapshot, hardState *pb.HardState, entries []*pb.Entry,
	positions map[uint64]LogPosition) error {
	b := l.appendRecord(nil, kindSnapshot, mustMarshal(snapshot))
	if hardState != nil {
		b = l.appendRecord(b, kindHardState, mustMarshal(hardState))
	}
	raw, _ := json.Marshal(positions)
	b, l.lastPositions = l.appendRecord(b, kindPositions, raw), raw
	for _, e := range entries {
		b = l.appendRecord(b, kindEntry, mustMarshal(e))
	}
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	f, err := l.disk.Create(newLogName)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = l.disk.Rename(newLogName, logName)
	}
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	l.sizeBytes, l.syncs = len(b), l.syncs+1
	return nil
}

func (l *diskLog) close() {
	if l.file != nil {
		l.file.Close()
	}
}
