package workspace

// Verdict is the decision on a request by its workspace.
type Verdict uint8

const (
	// Admitted means that the request may be served.
	Admitted Verdict = iota
	// Rejected means that the request has no valid key.
	Rejected
	// Undecided means that the key is unknown here, but a newer configuration may have it.
	Undecided
)

// Credentials is what a request shows of its workspace.
type Credentials struct {
	// Keys are the values of all its key headers.
	Keys []string
	// Public is set if its route takes requests without a key.
	Public bool
	// Outdated reports whether a newer configuration than that of the directory may be in
	// force. It is called only for unknown keys.
	Outdated func() bool
}

// Admit decides on a caller's request and returns its workspace, or nil if it has none.
func (d *Directory) Admit(c Credentials) (*Workspace, Verdict) {
	if d == nil {
		return nil, Admitted
	}
	var w *Workspace
	if len(c.Keys) == 1 {
		w = d.ByKey(c.Keys[0])
	}
	switch {
	case w != nil || c.Public:
		return w, Admitted
	case len(c.Keys) != 1 || c.Keys[0] == "" || !c.Outdated():
		return nil, Rejected
	}
	return nil, Undecided
}

// AdmitForwarded decides on a request that another entry forwards, with the name of its
// workspace if that entry has found one. The configuration here may be newer than the one
// there. A request without a name comes from an entry whose configuration has no workspaces
// or that is of an earlier version, or is for a public route; it is admitted like a caller's.
// ok is false if the entry must not serve the request.
func (d *Directory) AdmitForwarded(name string, c Credentials) (w *Workspace, ok bool) {
	if name == "" {
		w, verdict := d.Admit(c)
		return w, verdict == Admitted
	}
	w = d.ByName(name)
	return w, w != nil
}
