package raftstore

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/snapshot"
)

var (
	// ErrForeignFolder means that a data folder belongs to a replica with
	// another name or of another deployment.
	ErrForeignFolder = errors.New("raftstore: data folder of another replica")
	// ErrNotEmpty means that a folder without an identity holds other files.
	ErrNotEmpty = errors.New("raftstore: data folder is not empty")
)

const (
	identityName = "identity"
	lockName     = "lock"
)

// Identity identifies the replica whose data a folder holds. It is created
// once, together with the data: a replica that lost its disk gets a new
// identity, so that it cannot vote a second time under the old one.
type Identity struct {
	// Deployment and Name are the names in the deployment file.
	Deployment string `cbor:"1,keyasint"`
	Name       string `cbor:"2,keyasint"`
	ReplicaID  uint64 `cbor:"3,keyasint"`
	// ClusterID is empty until the replica has joined a group.
	ClusterID string `cbor:"4,keyasint"`
}

// NewIdentity returns an identity with a random replica ID that belongs to no
// group yet.
func NewIdentity(deployment, name string) Identity {
	return Identity{Deployment: deployment, Name: name, ReplicaID: randomID()}
}

// randomID returns a random nonzero number.
func randomID() uint64 {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// owner returns the owner mark that the replica's files contain.
func (i Identity) owner() string {
	return fmt.Sprintf("%s/%016x", i.ClusterID, i.ReplicaID)
}

// LoadIdentity returns the identity stored in a folder; ok is false if the
// folder is empty. It fails with ErrForeignFolder if the identity has another
// deployment or name, and with ErrNotEmpty if the folder holds files but no
// identity.
func LoadIdentity(folder disk.Folder, deployment, name string) (identity Identity, ok bool, err error) {
	content, err := snapshot.Load(folder, identityName, "")
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, checkEmpty(folder)
	}
	if err != nil {
		return Identity{}, false, err
	}
	if err := cbor.Unmarshal(content, &identity); err != nil {
		return Identity{}, false, fmt.Errorf("decode identity: %w", err)
	}
	if identity.Deployment != deployment || identity.Name != name {
		return Identity{}, false, fmt.Errorf("%w: it belongs to replica %q of deployment %q, want replica %q of deployment %q",
			ErrForeignFolder, identity.Name, identity.Deployment, name, deployment)
	}
	return identity, true, nil
}

// SaveIdentity stores the identity in a folder.
func SaveIdentity(folder disk.Folder, identity Identity) error {
	content, err := cbor.Marshal(identity)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return snapshot.Save(folder, identityName, "", content)
}

// checkEmpty fails with ErrNotEmpty if a folder without an identity holds data:
// the identity may have been deleted by mistake.
func checkEmpty(folder disk.Folder) error {
	names, err := folder.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != lockName && !snapshot.IsTemporary(n) {
			return fmt.Errorf("%w: found file %q but no identity", ErrNotEmpty, n)
		}
	}
	return nil
}
