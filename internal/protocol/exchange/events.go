package exchange

import (
	"bytes"
	"slices"
	"strconv"
)

// eventLen returns the length in bytes of the event at the start of a buffer,
// including the empty line that ends it, or zero if the event is incomplete.
// Lines end with LF or CRLF.
func eventLen(buffer []byte) int {
	length := 0
	for line := range bytes.Lines(buffer) {
		length += len(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 && line[len(line)-1] == '\n' {
			return length
		}
	}
	return 0
}

// completeEventsLen returns the length in bytes of the complete events at the
// start of a buffer.
func completeEventsLen(buffer []byte) int {
	complete := 0
	for {
		n := eventLen(buffer[complete:])
		if n == 0 {
			return complete
		}
		complete += n
	}
}

// validEventsLen returns the length in bytes of the valid events at the start of a
// buffer of complete events.
func validEventsLen(events []byte) int {
	valid := 0
	for valid < len(events) {
		n := eventLen(events[valid:])
		if n == 0 || !validEvent(events[valid:valid+n]) {
			break
		}
		valid += n
	}
	return valid
}

// validEvent reports whether the lines up to an empty one are an event of a stream,
// not an error text or the head of another response: each is a comment or has a field
// name, and one of them is a comment or a field that the format defines. An empty
// line alone is valid.
func validEvent(event []byte) bool {
	empty, defined := true, false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		empty = false
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case found && len(name) == 0: // a comment
			defined = true
		case slices.Contains(definedFields, string(name)):
			defined = true
		case !found || bytes.ContainsAny(name, " \t/"):
			return false
		}
	}
	return empty || defined
}

// definedFields are the fields of server-sent events. Engines may add others.
var definedFields = []string{"id", "event", "data", "retry"}

// unseenEvents returns those of the given complete events that follow the one
// with the ID last, their number, and the ID of the newest event. Events without a numeric ID
// always count as unseen.
func unseenEvents(events []byte, last string) (unseen []byte, count int, newest string) {
	newest = last
	for rest := events; len(rest) > 0; {
		event := rest[:eventLen(rest)]
		if len(event) == 0 {
			break
		}
		rest = rest[len(event):]
		id := eventID(event)
		if id != "" && !idAfter(id, newest) {
			continue
		}
		if id != "" {
			newest = id
		}
		unseen = append(unseen, event...)
		count++
	}
	return unseen, count, newest
}

// eventID returns the id field of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// idAfter reports whether event ID a is greater than b. It is true if either
// is not a number.
func idAfter(a, b string) bool {
	first, errA := strconv.ParseUint(a, 10, 64)
	second, errB := strconv.ParseUint(b, 10, 64)
	return errA != nil || errB != nil || first > second
}
