// Package snapshot replaces files atomically: after a crash a file has either its
// old or its new content, never a mixture or a part.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"strings"

	"github.com/lagoonshift/lagoonshift/internal/state/disk"
)

// ErrCorrupt means that a file has no valid header or that its checksum does not
// match its content.
var ErrCorrupt = errors.New("snapshot: corrupt file")

// ErrWrongOwner means that a file belongs to another owner.
var ErrWrongOwner = errors.New("snapshot: file of another owner")

const (
	magic = "lagoonshift snapshot 1\n"
	// temporarySuffix is the suffix of files that are being written.
	temporarySuffix = ".tmp"
	// checksumBytes is the size of the checksum; headerBytes is the size of
	// the checksum and the length of the owner.
	checksumBytes = 4
	headerBytes   = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save creates or replaces the file with the given name. The owner identifies the
// replica to which the file belongs. The file is durable when Save returns nil.
func Save(folder disk.Folder, name, owner string, content []byte) error {
	if err := write(folder, name+temporarySuffix, encode(owner, content)); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := folder.Rename(name+temporarySuffix, name); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// write creates and syncs the file, replacing one that an earlier crash left.
func write(folder disk.Folder, name string, content []byte) error {
	if err := folder.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove old temporary file: %w", err)
	}
	file, err := folder.Create(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}

// Load returns the content of the file with the given name. It fails with
// fs.ErrNotExist if there is no such file, with ErrCorrupt or with
// ErrWrongOwner.
func Load(folder disk.Folder, name, owner string) ([]byte, error) {
	file, err := folder.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	content, err := decode(owner, file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return content, nil
}

// IsTemporary reports whether name is that of a temporary file of Save. Such a
// file remains if the process crashes in Save.
func IsTemporary(name string) bool {
	return strings.HasSuffix(name, temporarySuffix)
}

// encode returns the file format: magic, checksum, length of the owner, owner,
// content. The checksum covers everything after itself.
func encode(owner string, content []byte) []byte {
	out := make([]byte, 0, len(magic)+headerBytes+len(owner)+len(content))
	out = append(out, magic...)
	out = binary.BigEndian.AppendUint32(out, 0)
	out = binary.BigEndian.AppendUint32(out, uint32(len(owner)))
	out = append(out, owner...)
	out = append(out, content...)
	sum := crc32.Checksum(out[len(magic)+checksumBytes:], castagnoli)
	binary.BigEndian.PutUint32(out[len(magic):], sum)
	return out
}

// decode checks a file and returns its content.
func decode(owner string, file []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(file, []byte(magic))
	if !ok || len(rest) < headerBytes {
		return nil, fmt.Errorf("%w: missing or truncated header", ErrCorrupt)
	}
	sum := binary.BigEndian.Uint32(rest)
	if crc32.Checksum(rest[checksumBytes:], castagnoli) != sum {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	length := int(binary.BigEndian.Uint32(rest[checksumBytes:]))
	rest = rest[headerBytes:]
	if length > len(rest) {
		return nil, fmt.Errorf("%w: truncated owner", ErrCorrupt)
	}
	if found := string(rest[:length]); found != owner {
		return nil, fmt.Errorf("%w: it belongs to %q, not to %q", ErrWrongOwner, found, owner)
	}
	return rest[length:], nil
}
