package backendhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// TestDecodeTokenLikeJSON compares decodeToken with encoding/json on messages in
// the usual encoding and on damaged ones.
func TestDecodeTokenLikeJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := backend.TokenEvent{
			Attempt: rapid.String().Draw(t, "attempt"),
			Offset:  rapid.IntRange(-2, 1<<40).Draw(t, "offset"),
			Text:    rapid.String().Draw(t, "text"),
		}
		data, err := json.Marshal(event)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "damage") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte(`"\{}:, 0x+`)).Draw(t, "byte")
		}
		var want, got backend.TokenEvent
		wantErr := json.Unmarshal(data, &want)
		gotErr := decodeToken(data, &got)
		if (wantErr == nil) != (gotErr == nil) || wantErr == nil && want != got {
			t.Fatalf("%s: got %+v, %v; want %+v, %v", data, got, gotErr, want, wantErr)
		}
	})
}

func streamOf(text string) *stream {
	return newStream("http://engine", io.NopCloser(strings.NewReader(text)))
}

func TestStreamReadsLongAndUnknownMessages(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	s := streamOf(fmt.Sprintf(": comment\n\nevent: news\ndata: {}\n\nid: 0\nevent: token\ndata: {\"attempt\":\"a\",\"offset\":0,\"text\":%q}\n\n", long))
	var e backend.Event
	if err := s.Next(&e); err != nil || e.Kind != backend.KindOther {
		t.Errorf("first message has kind %d, error %v, want KindOther", e.Kind, err)
	}
	if err := s.Next(&e); err != nil || e.Token.Text != long {
		t.Errorf("long token has %d bytes, error %v, want the text that was sent", len(e.Token.Text), err)
	}
	if err := s.Next(&e); !errors.Is(err, backend.ErrTruncated) {
		t.Errorf("error at the end of the stream is %v, want ErrTruncated", err)
	}
}

func TestStreamRefusesEndlessLine(t *testing.T) {
	s := streamOf("event: token\ndata: " + strings.Repeat("x", 2*maxLineBytes))
	if err := s.Next(new(backend.Event)); !errors.Is(err, errLineTooLong) {
		t.Errorf("error is %v, want errLongEvent", err)
	}
}

func TestPendingNeedsCompleteMessage(t *testing.T) {
	const message = "id: 0\nevent: token\ndata: {\"attempt\":\"a\",\"offset\":0,\"text\":\"t\"}\n\n"
	for rest, want := range map[string]bool{"": false, message[:len(message)-1]: false, message: true} {
		s := streamOf(message + rest)
		if err := s.Next(new(backend.Event)); err != nil {
			t.Fatal(err)
		}
		if got := s.Pending(); got != want {
			t.Errorf("with %d bytes of the next message Pending is %v, want the opposite", len(rest), got)
		}
	}
}
