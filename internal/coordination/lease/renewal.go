package lease

// Renewal is the request by which an entry renews its lease at each control
// replica.
type Renewal struct {
	// Member is the entry's name and Incarnation that of its process.
	Member      string
	Incarnation uint64
	// Version is the settings version in force at the entry.
	Version uint64
}
