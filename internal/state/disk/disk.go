// Package disk defines the file operations that the write-ahead log and the
// snapshots use on a data folder, so that tests can inject faults, and implements
// them on the operating system's files.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// ErrLocked means that another process has locked the folder.
var ErrLocked = errors.New("disk: folder is in use by another process")

const (
	filePermission   = 0o600
	folderPermission = 0o700
	lockName         = "lock"
)

// Folder is a folder without subfolders. Created, renamed and removed names are
// durable only after Sync, and content only after File.Sync.
type Folder interface {
	// Create creates a file and opens it for appending. It fails if the name
	// exists.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Sync makes all creations, renames and removals durable.
	Sync() error
	// Lock locks the folder against other processes until the result is
	// closed. It fails with ErrLocked if another process holds the lock.
	Lock() (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	// Sync makes the content durable.
	Sync() error
	// Truncate changes the size of the file to size bytes.
	Truncate(size int64) error
	Close() error
}

// OSFolder is a Folder in the file system of the operating system.
type OSFolder struct {
	path string
}

// Open returns the folder at path and creates it if it does not exist. It syncs the
// folders above that had to be created and the one that they were created in, so
// that a new folder survives a crash.
func Open(path string) (*OSFolder, error) {
	changed := changedBy(path)
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	for _, folder := range changed {
		if err := syncPath(folder); err != nil {
			return nil, err
		}
	}
	return &OSFolder{path: path}, nil
}

// changedBy returns the folders that get a new entry if the folder at path is
// created. It always includes the parent folder: an earlier process may have
// ended between creating the folder and the sync.
func changedBy(path string) []string {
	parent := filepath.Dir(path)
	out := []string{parent}
	for {
		if _, err := os.Stat(parent); err == nil || parent == filepath.Dir(parent) {
			return out
		}
		parent = filepath.Dir(parent)
		out = append(out, parent)
	}
}

// Create implements Folder.
func (f *OSFolder) Create(name string) (File, error) {
	return open(f.join(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND)
}

// OpenAppend implements Folder.
func (f *OSFolder) OpenAppend(name string) (File, error) {
	return open(f.join(name), os.O_WRONLY|os.O_APPEND)
}

// ReadFile implements Folder.
func (f *OSFolder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(f.join(name))
}

// Rename implements Folder.
func (f *OSFolder) Rename(from, to string) error {
	return os.Rename(f.join(from), f.join(to))
}

// Remove implements Folder.
func (f *OSFolder) Remove(name string) error {
	return os.Remove(f.join(name))
}

// List implements Folder.
func (f *OSFolder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, fmt.Errorf("list folder: %w", err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Sync implements Folder.
func (f *OSFolder) Sync() error {
	return syncPath(f.path)
}

// Lock implements Folder. The kernel releases the lock when the process ends.
func (f *OSFolder) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.join(lockName), os.O_RDWR|os.O_CREATE, filePermission)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("%w: %s: %w", ErrLocked, f.path, err)
	}
	return file, nil
}

func (f *OSFolder) join(name string) string {
	return filepath.Join(f.path, name)
}

// open opens a file. Unlike a direct call of os.OpenFile, it returns a nil
// interface, not one that holds a nil *os.File, if it fails.
func open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, filePermission)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func syncPath(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder to sync: %w", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}
