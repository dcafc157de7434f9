package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const (
	testRetention = 1000
	firstTime     = 10_000
)

// timedKey returns a version 7 UUID that carries the given time.
func timedKey(millis int64) string {
	digits := fmt.Sprintf("%012x7000800000000000000", millis)
	return fmt.Sprintf("%s-%s-%s-%s-%s", digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:31]+"0")
}

func reserve(key, attempt string, at int64) Reserve {
	return Reserve{
		Key:            Key{Service: "booking", Customer: "north", IdempotencyKey: key},
		RequestDigest:  []byte("digest"),
		Attempt:        attempt,
		AtUnixMilli:    at,
		RetentionMilli: testRetention,
	}
}

func TestIssuedAt(t *testing.T) {
	if got, ok := IssuedAt("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); !ok || got != 0x017f22e279b0 {
		t.Errorf("IssuedAt = %d, %v", got, ok)
	}
	for _, key := range []string{"van-1", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398z"} {
		if _, ok := IssuedAt(key); ok {
			t.Errorf("key %q counts as one with a time", key)
		}
	}
}

// TestOldKeyIsRefused shows that a key is refused as too old, and never
// granted again, once its record is pruned.
func TestOldKeyIsRefused(t *testing.T) {
	for _, key := range []string{"van-1", timedKey(firstTime)} {
		l := New()
		if got := l.Reserve(reserve(key, "a", firstTime)); got.Verdict != Granted {
			t.Fatalf("key %s: first verdict is %s", key, got.Verdict)
		}
		later := int64(firstTime + testRetention + 1)
		l.Reserve(reserve("other", "b", later))
		if _, ok := l.Lookup(reserve(key, "", 0).Key); ok {
			t.Errorf("key %s: record is still there", key)
		}
		if got := l.Reserve(reserve(key, "c", later)); got.Verdict != TooOld {
			t.Errorf("key %s: verdict is %s, want %s", key, got.Verdict, TooOld)
		}
		// A longer retention must not make the key new again.
		longer := reserve(key, "d", later)
		longer.RetentionMilli = 100 * testRetention
		if got := l.Reserve(longer); got.Verdict != TooOld {
			t.Errorf("key %s: verdict after a longer retention is %s, want %s", key, got.Verdict, TooOld)
		}
	}
}

func TestKeyFromTheFutureIsRefused(t *testing.T) {
	if got := New().Reserve(reserve(timedKey(firstTime+maxAheadMillis+1), "a", firstTime)); got.Verdict != Ahead {
		t.Errorf("verdict is %s, want %s", got.Verdict, Ahead)
	}
}

// TestCancellationBeatsReservation shows that a reservation which arrives
// after its own cancellation is not granted.
func TestCancellationBeatsReservation(t *testing.T) {
	l := New()
	r := reserve("van-1", "a", firstTime)
	l.Settle(Settle{Key: r.Key, Attempt: "a", RequestDigest: r.RequestDigest, AtUnixMilli: firstTime, Outcome: Outcome{State: Cancelled}})
	if got := l.Reserve(r); got.Verdict != Stale {
		t.Errorf("verdict of the cancelled attempt is %s, want %s", got.Verdict, Stale)
	}
	if got := l.Reserve(reserve("van-1", "b", firstTime)); got.Verdict != Granted {
		t.Errorf("verdict of the next attempt is %s, want %s", got.Verdict, Granted)
	}
}

// machine drives a ledger and a second one that goes through a snapshot at
// each check, and keeps what was granted.
type machine struct {
	one, two *Ledger
	now      int64
	attempts int
	// holder is the attempt that may send, by key.
	holder map[Key]string
	sent   map[Key]bool
}

func (m *machine) reserve(t *rapid.T) {
	m.now += int64(rapid.IntRange(0, testRetention/2).Draw(t, "elapsed"))
	key := fmt.Sprintf("van-%d", rapid.IntRange(0, 5).Draw(t, "key"))
	if rapid.Bool().Draw(t, "timed") {
		key = timedKey(m.now - int64(rapid.IntRange(0, 2*testRetention).Draw(t, "age")/500*500))
	}
	m.attempts++
	// Entries' clocks disagree by up to a tenth of the retention.
	skew := int64(rapid.IntRange(-testRetention/10, testRetention/10).Draw(t, "skew"))
	r := reserve(key, fmt.Sprint(m.attempts), m.now+skew)
	got, other := m.one.Reserve(r), m.two.Reserve(r)
	if got.Verdict != other.Verdict {
		t.Fatalf("key %s: verdicts %s and %s differ between replicas", key, got.Verdict, other.Verdict)
	}
	if got.Verdict != Granted {
		return
	}
	if m.sent[r.Key] {
		t.Fatalf("key %s granted again to %s", key, r.Attempt)
	}
	m.holder[r.Key], m.sent[r.Key] = r.Attempt, true
}

func (m *machine) settle(t *rapid.T) {
	for key, attempt := range m.holder {
		state := rapid.SampledFrom([]State{Settled, Unknown, Cancelled}).Draw(t, "state")
		s := Settle{Key: key, Attempt: attempt, RequestDigest: []byte("digest"), Outcome: Outcome{State: state}}
		got := m.one.Settle(s)
		m.two.Settle(s)
		if got.Verdict == Stored && got.Record.Outcome.State == Cancelled {
			m.sent[key] = false
		}
		delete(m.holder, key)
		return
	}
}

func (m *machine) check(t *rapid.T) {
	one := encode(t, m.one)
	m.two = Decode(m.two.Encode())
	if !bytes.Equal(one, encode(t, m.two)) {
		t.Fatal("the replica that went through a snapshot differs")
	}
	if len(m.one.records) != len(m.one.expiry) {
		t.Fatalf("%d records, %d of them in the order of pruning", len(m.one.records), len(m.one.expiry))
	}
}

func encode(t *rapid.T, l *Ledger) []byte {
	encoded, err := cbor.Marshal(l.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestLedgerMachine draws commands and shows that no key is granted to a
// second attempt unless the first was cancelled, whatever was pruned, and that
// a snapshot changes nothing.
func TestLedgerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{one: New(), two: New(), now: firstTime, holder: make(map[Key]string), sent: make(map[Key]bool)}
		t.Repeat(map[string]func(*rapid.T){"reserve": m.reserve, "settle": m.settle, "": m.check})
	})
}
