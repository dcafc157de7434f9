package fakefleet

// Fault is a deliberate protocol fault. Tests inject it to show that their checks
// detect it.
type Fault int

const (
	// NoFault means that no fault is injected.
	NoFault Fault = iota
	// LeaseFromAnswer makes an entry's lease start when the answers have arrived
	// instead of when the renewal was sent.
	LeaseFromAnswer
	// OneAnswer makes one replica's answer count as a majority.
	OneAnswer
	// ShortPeriod makes replicas report a change as in force before all leases on
	// older settings have ended.
	ShortPeriod
	// FollowerRead makes replicas read the settings without a read barrier.
	FollowerRead
	// Flapping makes the test treat a VM that the platform's list shows as live
	// again as a new incarnation of the VM.
	Flapping
	// NewNumber makes the test resend a change under a new number.
	NewNumber
)
