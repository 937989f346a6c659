package quorum

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
)

// MemoryDisk is a disk in memory, for tests and simulated time. Bytes that were not synced are lost in a crash.
type MemoryDisk struct {
	files     map[string]*memoryFile
	LoseSyncs bool  // Sync returns nil and makes nothing durable
	SyncError error // returned by each Sync; nil for none
}

type memoryFile struct {
	disk             *MemoryDisk
	synced, unsynced []byte
}

// NewMemoryDisk returns an empty disk.
func NewMemoryDisk() *MemoryDisk { return &MemoryDisk{files: map[string]*memoryFile{}} }

// Read implements Disk: as on an operating system, a running process also reads what was not synced yet.
func (d *MemoryDisk) Read(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return append(slices.Clone(f.synced), f.unsynced...), nil
	}
	return nil, os.ErrNotExist
}

// Create implements Disk.
func (d *MemoryDisk) Create(name string) (File, error) {
	d.files[name] = &memoryFile{disk: d}
	return d.files[name], nil
}

// Append implements Disk.
func (d *MemoryDisk) Append(name string) (File, error) {
	if f := d.files[name]; f != nil {
		return f, nil
	}
	return nil, os.ErrNotExist
}

// Rename implements Disk.
func (d *MemoryDisk) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Copy returns a disk that holds the synced bytes of each file.
func (d *MemoryDisk) Copy() *MemoryDisk {
	c := NewMemoryDisk()
	for name, f := range d.files {
		c.files[name] = &memoryFile{disk: c, synced: slices.Clone(f.synced)}
	}
	return c
}

// Crash drops the unsynced bytes of each file, except for a random prefix of them in half of the cases. Afterwards Sync
// makes writes durable again.
func (d *MemoryDisk) Crash(r *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		if len(f.unsynced) > 0 && r.IntN(2) == 0 {
			f.synced = append(f.synced, f.unsynced[:r.IntN(len(f.unsynced))]...)
		}
		f.unsynced = nil
	}
	d.LoseSyncs = false
}

func (f *memoryFile) Write(b []byte) (int, error) {
	f.unsynced = append(f.unsynced, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if f.disk.SyncError != nil {
		return f.disk.SyncError
	}
	if !f.disk.LoseSyncs {
		f.synced, f.unsynced = append(f.synced, f.unsynced...), nil
	}
	return nil
}

func (f *memoryFile) Close() error { return nil }
