package quorum

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is the set of file operations that a voter needs of its data directory. Tests, and builds with the tag faults,
// put an implementation behind it whose writes fail, are truncated, are corrupted or are lost; the ordinary build has none.
type Disk interface {
	// Read returns the content of a whole file, or an error for which os.IsNotExist is true.
	Read(name string) ([]byte, error)
	// Create creates or truncates a file.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces the file to by the file from, and returns once the change is durable.
	Rename(from, to string) error
}

// File is a file open for writing. Written bytes are durable once Sync has returned nil, and not before.
type File interface {
	io.WriteCloser
	Sync() error
}

// OpenDirectory creates the directory path if it does not exist and returns it as a Disk.
func OpenDirectory(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return wrapDisk(directory(path)), nil
}

// directory is the path of a directory of the operating system, as a Disk.
type directory string

func (d directory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

func (d directory) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (d directory) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_APPEND|os.O_WRONLY, 0o600)
}

func (d directory) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to)); err != nil {
		return err
	}
	parent, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer parent.Close()
	return parent.Sync() // without it a power failure may undo the rename, and the log file is lost
}
