package wal

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/fake/memdisk"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// countingFolder counts the files that are open.
type countingFolder struct {
	disk.Folder
	open int
}

func (f *countingFolder) Create(name string) (disk.File, error) {
	return f.count(f.Folder.Create(name))
}

func (f *countingFolder) OpenAppend(name string) (disk.File, error) {
	return f.count(f.Folder.OpenAppend(name))
}

func (f *countingFolder) count(file disk.File, err error) (disk.File, error) {
	if err != nil {
		return nil, err
	}
	f.open++
	return &countedFile{File: file, folder: f}, nil
}

type countedFile struct {
	disk.File
	folder *countingFolder
}

func (f *countedFile) Close() error {
	f.folder.open--
	return f.File.Close()
}

// TestFailedOpenLeavesNoFileOpen guards against running out of descriptors while a log
// is opened again and again on a full disk.
func TestFailedOpenLeavesNoFileOpen(t *testing.T) {
	d := memdisk.New(1)
	folder := &countingFolder{Folder: d.Open(nil)}
	d.SetFull(true)
	for range 3 {
		if _, err := Open(Options{Folder: folder, Owner: "o", SegmentBytes: 200}, func(uint64, []byte) error { return nil }); err == nil {
			t.Fatal("a log was created on a full disk")
		}
	}
	if folder.open != 0 {
		t.Errorf("%d files are open, want none", folder.open)
	}
}
