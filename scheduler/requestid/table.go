package requestid

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"os"
)

// The file of a Table is an array of slots of fixed size, in buckets. An id may be in any slot of the bucket that its hash names.
// Processes of different builds share the file, so its form must not change.
const (
	slotBytes      = 16 // the hash and the time, each 8 bytes, little-endian; a hash of 0 is an empty slot
	slotsPerBucket = 16
	bucketBytes    = slotBytes * slotsPerBucket
	buckets        = 2048
	tableBytes     = buckets * bucketBytes // 512 KiB; the file is sparse
)

// maxAheadMs is how far ahead the time of a slot may be. One further ahead is of a clock that was started anew.
const maxAheadMs = 24 * 3600e3

// ErrBusy says that another process held the table's lock for too long.
var ErrBusy = errors.New("table of request ids is locked by another process")

// Locker excludes other processes from the table. Lock tells whether it got the lock, and does not wait for long.
type Locker interface {
	Lock() bool
	Unlock()
}

// Table holds ids in a file for all processes of a scheduler. Its times are milliseconds on the machine's monotonic clock, which
// all of them read alike. A full bucket forgets the id whose time is over first.
type Table struct {
	file   *os.File
	locker Locker
}

// OpenTable opens the table in a file, and makes the file if there is none.
func OpenTable(path string, locker Locker) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	info, err := file.Stat()
	if err == nil && info.Size() < tableBytes {
		err = file.Truncate(tableBytes)
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return &Table{file, locker}, nil
}

// Close closes the file, which keeps its content.
func (t *Table) Close() error { return t.file.Close() }

// Clear empties the table.
func (t *Table) Clear() error {
	return t.locked(func() error {
		if err := t.file.Truncate(0); err != nil {
			return err
		}
		return t.file.Truncate(tableBytes)
	})
}

// Claim puts an id into the table unless it is there already, and tells whether it did.
func (t *Table) Claim(e Entry, nowMs float64) (claimed bool, err error) {
	err = t.locked(func() error {
		b, err := t.readBucket(e.Hash)
		if err != nil {
			return err
		}
		if i := b.find(e.Hash); i >= 0 && b.isLive(i, nowMs) {
			return nil
		}
		claimed = true
		return t.writeSlot(e.Hash, b.slotFor(e.Hash, nowMs), e)
	})
	return claimed && err == nil, err
}

// Put puts ids into the table, whether or not they are there already.
func (t *Table) Put(all []Entry, nowMs float64) error {
	return t.locked(func() error {
		for _, e := range all {
			b, err := t.readBucket(e.Hash)
			if err != nil {
				return err
			}
			if err := t.writeSlot(e.Hash, b.slotFor(e.Hash, nowMs), e); err != nil {
				return err
			}
		}
		return nil
	})
}

// Release takes an id out of the table.
func (t *Table) Release(h Hash) error {
	return t.locked(func() error {
		b, err := t.readBucket(h)
		if err != nil {
			return err
		}
		i := b.find(h)
		if i < 0 {
			return nil
		}
		return t.writeSlot(h, i, Entry{})
	})
}

// Entries returns the ids whose times are not over.
func (t *Table) Entries(nowMs float64) (all []Entry, err error) {
	raw := make([]byte, tableBytes)
	err = t.locked(func() error {
		_, err := t.file.ReadAt(raw, 0)
		return err
	})
	for ; err == nil && len(raw) > 0; raw = raw[bucketBytes:] {
		b := bucket(raw[:bucketBytes])
		for i := range slotsPerBucket {
			if b.isLive(i, nowMs) {
				all = append(all, b.entry(i))
			}
		}
	}
	return all, err
}

// locked calls f while other processes are excluded.
func (t *Table) locked(f func() error) error {
	if !t.locker.Lock() {
		return ErrBusy
	}
	defer t.locker.Unlock()
	return f()
}

func bucketOffset(h Hash) int64 { return int64(h%buckets) * bucketBytes }

func (t *Table) readBucket(h Hash) (bucket, error) {
	b := make(bucket, bucketBytes)
	_, err := t.file.ReadAt(b, bucketOffset(h))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // another process has truncated the file
	}
	return b, err
}

func (t *Table) writeSlot(h Hash, slot int, e Entry) error {
	var raw [slotBytes]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(e.Hash))
	binary.LittleEndian.PutUint64(raw[8:], math.Float64bits(e.UntilMs))
	_, err := t.file.WriteAt(raw[:], bucketOffset(h)+int64(slot)*slotBytes)
	return err
}

// bucket is the content of one bucket.
type bucket []byte

func (b bucket) entry(slot int) Entry {
	raw := b[slot*slotBytes:]
	return Entry{Hash(binary.LittleEndian.Uint64(raw)), math.Float64frombits(binary.LittleEndian.Uint64(raw[8:]))}
}

// isLive tells whether a slot holds an id whose time is not over.
func (b bucket) isLive(slot int, nowMs float64) bool {
	e := b.entry(slot)
	return e.Hash != 0 && e.UntilMs > nowMs && e.UntilMs <= nowMs+maxAheadMs
}

// find returns the slot that holds the id, or -1.
func (b bucket) find(h Hash) int {
	for i := range slotsPerBucket {
		if b.entry(i).Hash == h {
			return i
		}
	}
	return -1
}

// slotFor returns the slot into which an id goes: its own, else one that holds no live id, else the one whose time is over first.
func (b bucket) slotFor(h Hash, nowMs float64) (slot int) {
	if i := b.find(h); i >= 0 {
		return i
	}
	for i := range slotsPerBucket {
		if !b.isLive(i, nowMs) {
			return i
		}
		if b.entry(i).UntilMs < b.entry(slot).UntilMs {
			slot = i
		}
	}
	return slot
}
