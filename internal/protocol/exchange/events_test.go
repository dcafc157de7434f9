package exchange

import "testing"

// TestOnlyEventsAreRelayed guards against error texts and heads of responses that are passed on as events of a stream.
func TestOnlyEventsAreRelayed(t *testing.T) {
	for _, c := range []struct {
		events string
		valid  int
	}{
		{"id: 1\ndata: a\n\n", 15},
		{"id:1\r\ndata:a\r\n\r\n", 16},
		{"data\n\n", 6},
		{"x-weight-versions: 3\nid: 1\ndata: a\n\n", 36},
		{": comment\n\n", 11},
		{"retry: 10\n\n\n", 12},
		{"event: done\n\n", 13},
		{"boom\n\n", 0},
		{"error: boom\n\n", 0},
		{"HTTP/1.1 500 Internal Server Error\r\n\r\n", 0},
		{"HTTP/1.1 500 Internal Server Error\r\nid: 2\r\n\r\n", 0},
		{"Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n", 0},
		{"id: 1\ndata: a\n\nHTTP/1.1 503 x\r\n\r\nid: 2\n\n", 15},
		{"data: a\nno field: b\n\n", 0},
	} {
		if got := validEventsLen([]byte(c.events)); got != c.valid {
			t.Errorf("%q: %d valid bytes, want %d", c.events, got, c.valid)
		}
	}
}
