package quorum

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
)

// Memory is a disk in memory, for tests and simulated time: what was not synced is lost at a crash, and a lying sync keeps
// nothing.
type Memory struct {
	files map[string]*memFile
	Lies  bool  // syncs say yes and keep nothing
	Fails error // of each sync
}

type memFile struct {
	d          *Memory
	kept, wait []byte
}

// NewMemory returns an empty one.
func NewMemory() *Memory { return &Memory{files: map[string]*memFile{}} }

func (d *Memory) Read(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return append(slices.Clone(f.kept), f.wait...), nil
	}
	return nil, os.ErrNotExist
}

func (d *Memory) Create(name string) (File, error) {
	d.files[name] = &memFile{d: d}
	return d.files[name], nil
}

func (d *Memory) Append(name string) (File, error) {
	if f := d.files[name]; f != nil {
		return f, nil
	}
	return nil, os.ErrNotExist
}

func (d *Memory) Rename(from, to string) error {
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Copy is what is kept now.
func (d *Memory) Copy() *Memory {
	c := NewMemory()
	for name, f := range d.files {
		c.files[name] = &memFile{d: c, kept: slices.Clone(f.kept)}
	}
	return c
}

// Crash loses what was not kept, but for some bytes of it.
func (d *Memory) Crash(r *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		if len(f.wait) > 0 && r.IntN(2) == 0 {
			f.kept = append(f.kept, f.wait[:r.IntN(len(f.wait))]...)
		}
		f.wait = nil
	}
	d.Lies = false
}

func (f *memFile) Write(b []byte) (int, error) {
	f.wait = append(f.wait, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	if f.d.Fails != nil {
		return f.d.Fails
	}
	if !f.d.Lies {
		f.kept, f.wait = append(f.kept, f.wait...), nil
	}
	return nil
}

func (f *memFile) Close() error { return nil }
