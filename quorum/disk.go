package quorum

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is all that a voter asks of its disk. What lies in it can be made to fail, tear, rot or lie behind this, in tests
// and in a build with the tag faults; the ordinary build has none of that.
type Disk interface {
	// Read returns a whole file, or an error that os.IsNotExist knows.
	Read(name string) ([]byte, error)
	// Create makes a file anew, Append goes on with one.
	Create(name string) (File, error)
	Append(name string) (File, error)
	// Rename puts a file in the place of another, and returns once that is kept.
	Rename(from, to string) error
}

// File is one that is written. What was written is kept once Sync has returned nil, and not before.
type File interface {
	io.WriteCloser
	Sync() error
}

// Folder is the disk's folder of this name, which is made.
func Folder(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return wrap(folder(path)), nil
}

type folder string

func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(f), name)) }

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_APPEND|os.O_WRONLY, 0o600)
}

func (f folder) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to)); err != nil {
		return err
	}
	dir, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync() // else the name may be gone after a power cut, and the log with it
}
