// Package snapshot stores whole files atomically: after a crash a file is
// there with its old content or with the new one, never with a part of either.
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

// ErrCorrupt means that a file's checksum does not fit its content.
var ErrCorrupt = errors.New("snapshot: corrupt file")

// ErrWrongOwner means that a file belongs to another owner.
var ErrWrongOwner = errors.New("snapshot: file of another owner")

const (
	magic = "lagoonshift snapshot 1\n"
	// temporarySuffix ends the name of a file that is being written.
	temporarySuffix = ".tmp"
	// checksumBytes is the size of the checksum, headerBytes that of the
	// checksum and the owner's length.
	checksumBytes = 4
	headerBytes   = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save replaces the file with the given name. The owner names the replica
// whose file it is. The file is durable when Save returns.
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
// fs.ErrNotExist, ErrCorrupt or ErrForeign.
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

// IsTemporary reports whether a file was left behind by a crash in Save.
func IsTemporary(name string) bool {
	return strings.HasSuffix(name, temporarySuffix)
}

// encode lays a file out as magic, checksum, owner's length, owner, content.
// The checksum covers everything after itself.
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

func decode(owner string, file []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(file, []byte(magic))
	if !ok || len(rest) < headerBytes {
		return nil, fmt.Errorf("%w: no header", ErrCorrupt)
	}
	sum := binary.BigEndian.Uint32(rest)
	if crc32.Checksum(rest[checksumBytes:], castagnoli) != sum {
		return nil, fmt.Errorf("%w: checksum differs", ErrCorrupt)
	}
	length := int(binary.BigEndian.Uint32(rest[checksumBytes:]))
	rest = rest[headerBytes:]
	if length > len(rest) {
		return nil, fmt.Errorf("%w: owner is cut off", ErrCorrupt)
	}
	if found := string(rest[:length]); found != owner {
		return nil, fmt.Errorf("%w: it belongs to %q, not to %q", ErrWrongOwner, found, owner)
	}
	return rest[length:], nil
}
