// Package document keeps one document whose versions are chosen by its
// operator: the highest version wins.
package document

// Put asks to replace the document.
type Put struct {
	// Version is the operator's number. It takes effect only if it is higher
	// than the version held.
	Version uint64 `cbor:"1,keyasint"`
	// Content is the document as the operator wrote it.
	Content []byte `cbor:"2,keyasint"`
}

// Result tells what became of a Put.
type Result struct {
	// Accepted is false if the held version is the same or higher; the Put
	// then changed nothing.
	Accepted bool `cbor:"1,keyasint"`
	// CurrentVersion is the version after the Put.
	CurrentVersion uint64 `cbor:"2,keyasint"`
}

// Document is the state. Its content is immutable; the zero value holds
// nothing and has version zero.
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
