package fakefleet

// Fault is a planted fault, by which tests show that their checkers work.
type Fault int

const (
	// Sound plants none.
	Sound Fault = iota
	// LeaseFromAnswer counts an entry's lease from after the answers.
	LeaseFromAnswer
	// OneAnswer takes one replica's answer for a majority.
	OneAnswer
	// ShortPeriod reports changes in force before every lease has ended.
	ShortPeriod
	// FollowerRead reads settings without a read barrier.
	FollowerRead
	// Flapping takes a VM that the platform's list shows as live again for a
	// new run of the VM.
	Flapping
	// NewNumber sends a change again under another number.
	NewNumber
)
