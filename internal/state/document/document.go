// Package document implements a replicated document whose version numbers the
// operator chooses: the highest version wins.
package document

// Put is a command that replaces the document.
type Put struct {
	// Version is the number that the operator chose. The Put is accepted only
	// if it is higher than the current version.
	Version uint64 `cbor:"1,keyasint"`
	// Content is the document exactly as the operator sent it.
	Content []byte `cbor:"2,keyasint"`
}

// Result is the result of a Put.
type Result struct {
	// Accepted is false if the current version is the same or higher; the Put
	// then had no effect.
	Accepted bool `cbor:"1,keyasint"`
	// CurrentVersion is the version of the document after the Put.
	CurrentVersion uint64 `cbor:"2,keyasint"`
}

// Document is one version of the document. Its content is immutable; the zero
// value means that there is no document yet.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// Apply returns the document after a Put.
func (d Document) Apply(p Put) (Document, Result) {
	if p.Version <= d.Version {
		return d, Result{CurrentVersion: d.Version}
	}
	return Document(p), Result{Accepted: true, CurrentVersion: p.Version}
}
