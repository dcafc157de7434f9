package configcheck

// Section is a part of a document.
type Section uint8

// Sections of a document.
const (
	Version Section = iota + 1
	Routes
	Services
	Limits
	Workspaces
)

// Field is a field of an item of a section.
type Field uint8

// Fields. Whole stands for the item itself.
const (
	Whole Field = iota
	Name
	Host
	Prefix
	Kind
	Timeout
	Objective
	EventGap
	Priority
	Attempts
	PromptAware
	Resumable
	Public
	Shares
	MaxConns
	Engine
	Slots
	KVTokens
	TokenBytes
	LinkMbps
	HandleTTL
	SwitchTime
	Scaling
	ScalingMin
	ScalingMax
	Boot
	ReclaimablePrice
	ZonePrices
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
	Keys
)

// NoIndex is the index of a place that is a whole section, or that is no element of a list.
const NoIndex = -1

// Place is a place in a document. The adapter that decodes the document translates it to a
// JSON pointer.
type Place struct {
	Section Section
	// Index is the index of the item in its section, or NoIndex.
	Index int
	Field Field
	// Item is the index within a field that is a list, or NoIndex.
	Item int
}

// Result is a finding about a decoded document.
type Result struct {
	Severity Severity
	Place    Place
	// Removed is set if the place is in the other document only.
	Removed bool
	Message string
}

func at(section Section, index int, field Field) Place {
	return Place{Section: section, Index: index, Field: field, Item: NoIndex}
}
