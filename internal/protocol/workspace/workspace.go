// Package workspace finds the workspace that a caller's API key belongs to. A
// workspace is one customer of the deployment; its keys are secret.
package workspace

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// maxKeyBytes bounds a key, in configurations and in requests. It is far above the
// length of any key in use and keeps a look-up below a microsecond; with 1,024 it took
// 1.0 microseconds.
const maxKeyBytes = 512

// ErrInvalid means that the workspaces of a configuration are invalid.
var ErrInvalid = errors.New("invalid workspaces")

// Workspace is one workspace. It is immutable.
type Workspace struct {
	Name string
	// Priority, if it is not nil, replaces that of the routes; zero is the highest.
	Priority *int
}

// Definition is a workspace as a configuration describes it.
type Definition struct {
	Workspace
	// Keys are the API keys in plain text. They are not kept.
	Keys []string
}

// digest is the SHA-256 sum of a key.
type digest [sha256.Size]byte

// Directory holds the workspaces of one configuration and the digests of their keys.
// It is immutable. The nil Directory stands for a configuration without workspaces.
type Directory struct {
	byName map[string]*Workspace
	byKey  map[digest]*Workspace
}

// DefinitionError states why the definition of a workspace is invalid. It holds no key.
type DefinitionError struct {
	// Index is the position of the definition in the list given to NewDirectory.
	Index int
	Name  string
	err   error
}

// Error implements error.
func (e *DefinitionError) Error() string {
	return fmt.Sprintf("workspace %d (%.64q): %v", e.Index, e.Name, e.err)
}

// Unwrap returns the reason.
func (e *DefinitionError) Unwrap() error { return e.err }

// KeyError states which key of a workspace is invalid, and never the key.
type KeyError struct {
	// Index is the position of the key among those of its workspace.
	Index int
	err   error
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("key %d: %v", e.Index, e.err) }

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.err }

// NewDirectory returns a directory of workspaces. Errors match ErrInvalid and name the
// place, but never a key.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byName: make(map[string]*Workspace, len(definitions)), byKey: make(map[digest]*Workspace)}
	for i, definition := range definitions {
		if err := d.add(definition); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, &DefinitionError{Index: i, Name: definition.Name, err: err})
		}
	}
	return d, nil
}

func (d *Directory) add(definition Definition) error {
	switch {
	case definition.Name == "":
		return errors.New("no name")
	case strings.ContainsFunc(definition.Name, unicode.IsControl) || strings.TrimSpace(definition.Name) != definition.Name:
		// Servers get the name as the value of a header, which can't hold such a name.
		return errors.New("the name has control characters, or blanks at its ends")
	case d.byName[definition.Name] != nil:
		return errors.New("another workspace has this name")
	}
	w := &definition.Workspace
	d.byName[w.Name] = w
	for i, key := range definition.Keys {
		if err := d.addKey(key, w); err != nil {
			return &KeyError{Index: i, err: err}
		}
	}
	return nil
}

func (d *Directory) addKey(key string, w *Workspace) error {
	if key == "" || len(key) > maxKeyBytes {
		return fmt.Errorf("got %d bytes, want 1 to %d", len(key), maxKeyBytes)
	}
	sum := sumOf(key)
	if other := d.byKey[sum]; other != nil && other != w {
		return fmt.Errorf("workspace %.64q has the same key", other.Name)
	}
	d.byKey[sum] = w
	return nil
}

// ByKey returns the workspace that holds a key, or nil. Its time doesn't depend on how
// much of the key is right: keys are compared by their digests.
func (d *Directory) ByKey(key string) *Workspace {
	if d == nil || key == "" || len(key) > maxKeyBytes {
		return nil
	}
	return d.byKey[sumOf(key)]
}

// sumOf returns the digest of a key of at most maxKeyBytes. Its buffer stays on the stack.
func sumOf(key string) digest {
	var buffer [maxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// ByName returns the workspace of that name, or nil.
func (d *Directory) ByName(name string) *Workspace {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of workspaces.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
