// Package memdisk is an in-memory disk for tests. It may lose data that was not
// synced when its process is killed, and failures can be injected.
package memdisk

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// ErrCrashed is returned by operations of a process that was killed.
var ErrCrashed = errors.New("memdisk: process was killed")

// Disk holds one folder, which persists across the runs of a process.
type Disk struct {
	mu   sync.Mutex // guards the fields below
	rand *rand.Rand
	// names holds the directory as the running process sees it, synced the
	// directory at its last Sync, to which a crash may revert it.
	names  map[string]*inode
	synced map[string]*inode
	// run counts the process's runs; folders opened in earlier runs fail.
	run        int
	locked     bool
	full       bool
	ignoreSync bool
	// operations counts changes. The process is killed at the change with the
	// number crashAt, after the change if crashAfter is set, otherwise instead
	// of it.
	operations int
	crashAt    int
	crashAfter bool
}

type inode struct {
	content []byte
	synced  []byte
}

// New returns an empty disk. The seed determines what survives each crash.
func New(seed uint64) *Disk {
	return &Disk{
		rand:   rand.New(rand.NewPCG(seed, seed)),
		names:  make(map[string]*inode),
		synced: make(map[string]*inode),
	}
}

// Open returns the folder for a new run of the process. The function gate is
// called before each operation and may block; it may be nil.
func (d *Disk) Open(gate func()) disk.Folder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gate == nil {
		gate = func() {}
	}
	return &folder{disk: d, run: d.run, gate: gate}
}

// Crash kills the running process. Synced content survives; any part of the rest
// may survive too.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
}

// crash implements Crash. The caller holds d.mu.
func (d *Disk) crash() {
	d.run++
	d.locked = false
	d.crashAt = 0
	for _, node := range d.names {
		node.content = d.contentAfterCrash(node)
		node.synced = slices.Clip(node.content)
	}
	if d.rand.IntN(2) == 0 {
		d.names = maps.Clone(d.synced)
	}
	d.synced = maps.Clone(d.names)
}

// contentAfterCrash returns the content of a file after a crash. The caller holds
// d.mu.
func (d *Disk) contentAfterCrash(node *inode) []byte {
	if len(node.content) <= len(node.synced) {
		return slices.Clone(node.synced)
	}
	survivingLength := len(node.synced) + d.rand.IntN(len(node.content)-len(node.synced)+1)
	out := slices.Clone(node.content[:survivingLength])
	if d.rand.IntN(2) == 0 {
		// The file's length was updated, but its last blocks were not written.
		clear(out[len(node.synced)+d.rand.IntN(survivingLength-len(node.synced)+1):])
	}
	return out
}

// Lose kills the running process and erases the disk.
func (d *Disk) Lose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
	d.names = make(map[string]*inode)
	d.synced = make(map[string]*inode)
}

// Copy returns a disk with the same content.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := New(1)
	for name, node := range d.names {
		out.names[name] = &inode{content: slices.Clone(node.content), synced: slices.Clone(node.synced)}
	}
	out.synced = maps.Clone(out.names)
	return out
}

// CrashAt makes the process be killed at its n-th change from now, counted from
// one. If after is true, that change is made first; otherwise it is not made.
func (d *Disk) CrashAt(n int, after bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashAt, d.crashAfter = d.operations+n, after
}

// Operations returns the number of changes so far.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// SetFull makes writes fail with ENOSPC, each after half of its data.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// SetIgnoreSync makes the Sync of files report success without syncing anything, as a
// faulty disk does.
func (d *Disk) SetIgnoreSync(lying bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreSync = lying
}

// Flip inverts one bit of a file's stored content.
func (d *Disk) Flip(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	node.content = slices.Clone(node.content)
	node.content[offset] ^= 1
	node.synced = slices.Clip(node.content)
}

// Size returns the length of a file in bytes.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.names[name].content)
}

// change executes do as one change made by the process of the given run. It
// returns ErrCrashed if that run has ended or is killed at this change.
func (d *Disk) change(run int, do func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run != d.run {
		return ErrCrashed
	}
	d.operations++
	if d.operations != d.crashAt {
		return do()
	}
	if d.crashAfter {
		_ = do()
	}
	d.crash()
	return ErrCrashed
}

// folder is the disk.Folder of one run of the process.
type folder struct {
	disk *Disk
	run  int
	gate func()
}

func (f *folder) Create(name string) (disk.File, error) {
	f.gate()
	node := &inode{}
	err := f.disk.change(f.run, func() error {
		if f.disk.names[name] != nil {
			return fs.ErrExist
		}
		f.disk.names[name] = node
		return nil
	})
	return &file{folder: f, node: node}, err
}

func (f *folder) OpenAppend(name string) (disk.File, error) {
	node, err := f.find(name)
	return &file{folder: f, node: node}, err
}

func (f *folder) find(name string) (*inode, error) {
	f.gate()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.run != f.disk.run {
		return nil, ErrCrashed
	}
	node := f.disk.names[name]
	if node == nil {
		return nil, fs.ErrNotExist
	}
	return node, nil
}

func (f *folder) ReadFile(name string) ([]byte, error) {
	node, err := f.find(name)
	if err != nil {
		return nil, err
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return slices.Clone(node.content), nil
}

func (f *folder) Rename(from, to string) error {
	f.gate()
	return f.disk.change(f.run, func() error {
		node := f.disk.names[from]
		if node == nil {
			return fs.ErrNotExist
		}
		delete(f.disk.names, from)
		f.disk.names[to] = node
		return nil
	})
}

func (f *folder) Remove(name string) error {
	f.gate()
	return f.disk.change(f.run, func() error {
		if f.disk.names[name] == nil {
			return fs.ErrNotExist
		}
		delete(f.disk.names, name)
		return nil
	})
}

func (f *folder) List() ([]string, error) {
	f.gate()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.run != f.disk.run {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.disk.names)), nil
}

func (f *folder) Sync() error {
	f.gate()
	return f.disk.change(f.run, func() error {
		f.disk.synced = maps.Clone(f.disk.names)
		return nil
	})
}

func (f *folder) Lock() (io.Closer, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.locked {
		return nil, disk.ErrLocked
	}
	f.disk.locked = true
	return &lock{folder: f}, nil
}

type lock struct {
	folder *folder
}

func (l *lock) Close() error {
	d := l.folder.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.folder.run == d.run {
		d.locked = false
	}
	return nil
}

type file struct {
	folder *folder
	node   *inode
}

func (f *file) Write(p []byte) (int, error) {
	f.folder.gate()
	written := len(p)
	err := f.folder.disk.change(f.folder.run, func() error {
		if f.folder.disk.full {
			written = len(p) / 2
		}
		f.node.content = append(f.node.content, p[:written]...)
		if written < len(p) {
			return syscall.ENOSPC
		}
		return nil
	})
	return written, err
}

func (f *file) Sync() error {
	f.folder.gate()
	return f.folder.disk.change(f.folder.run, func() error {
		if !f.folder.disk.ignoreSync {
			f.node.synced = slices.Clip(f.node.content)
		}
		return nil
	})
}

func (f *file) Truncate(size int64) error {
	f.folder.gate()
	return f.folder.disk.change(f.folder.run, func() error {
		// The synced content may share the memory beyond the new end, which a
		// later append would overwrite.
		f.node.content = slices.Clone(f.node.content[:size])
		return nil
	})
}

func (f *file) Close() error {
	return nil
}
