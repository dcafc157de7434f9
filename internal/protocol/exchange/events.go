package exchange

import (
	"bytes"
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

// unseenEvents returns those of the given complete events that follow the one
// with the ID last, and the ID of the newest event. Events without a numeric ID
// always count as unseen.
func unseenEvents(events []byte, last string) (unseen []byte, newest string) {
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
	}
	return unseen, newest
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
