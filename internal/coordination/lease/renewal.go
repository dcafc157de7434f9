package lease

// Renewal is what an entry tells each control replica when it renews its
// lease.
type Renewal struct {
	Member      string
	Incarnation uint64
	// Version is the settings version in force at the entry.
	Version uint64
}
