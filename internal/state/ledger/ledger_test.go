package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const (
	testRetentionMillis = 1000
	startMillis         = 10_000
)

// uuidV7Key returns a version 7 UUID with the given time in Unix milliseconds.
func uuidV7Key(millis int64) string {
	digits := fmt.Sprintf("%012x7000800000000000000", millis)
	return fmt.Sprintf("%s-%s-%s-%s-%s", digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:31]+"0")
}

func reserve(key, attempt string, at int64) Reserve {
	return Reserve{
		Key:            Key{Service: "booking", Customer: "north", IdempotencyKey: key},
		RequestDigest:  []byte("digest"),
		Attempt:        attempt,
		AtUnixMilli:    at,
		RetentionMilli: testRetentionMillis,
	}
}

func TestIssuedAt(t *testing.T) {
	if got, ok := IssuedAt("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); !ok || got != 0x017f22e279b0 {
		t.Errorf("IssuedAt = %#x, %v, want 0x17f22e279b0, true", got, ok)
	}
	for _, key := range []string{"van-1", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398z"} {
		if _, ok := IssuedAt(key); ok {
			t.Errorf("IssuedAt(%q) found a time, want none", key)
		}
	}
}

// TestOldKeyIsRefused checks that a key is refused as too old once its record is
// pruned, with and without an issue time in the key. Granting it again would run
// the call twice.
func TestOldKeyIsRefused(t *testing.T) {
	for _, key := range []string{"van-1", uuidV7Key(startMillis)} {
		l := New()
		if got := l.Reserve(reserve(key, "a", startMillis)); got.Verdict != Granted {
			t.Fatalf("key %s: first verdict is %s, want granted", key, got.Verdict)
		}
		later := int64(startMillis + testRetentionMillis + 1)
		l.Reserve(reserve("other", "b", later))
		if _, ok := l.Lookup(reserve(key, "", 0).Key); ok {
			t.Errorf("key %s: record was not pruned", key)
		}
		if got := l.Reserve(reserve(key, "c", later)); got.Verdict != TooOld {
			t.Errorf("key %s: verdict is %s, want %s", key, got.Verdict, TooOld)
		}
		// A longer retention period must not move the horizon back.
		longer := reserve(key, "d", later)
		longer.RetentionMilli = 100 * testRetentionMillis
		if got := l.Reserve(longer); got.Verdict != TooOld {
			t.Errorf("key %s: verdict after a longer retention is %s, want %s", key, got.Verdict, TooOld)
		}
	}
}

func TestKeyFromTheFutureIsRefused(t *testing.T) {
	if got := New().Reserve(reserve(uuidV7Key(startMillis+maxAheadMillis+1), "a", startMillis)); got.Verdict != Ahead {
		t.Errorf("verdict is %s, want %s", got.Verdict, Ahead)
	}
}

// TestReserveAfterCancelIsRefused checks that a reservation which is committed
// after its own cancellation is not granted, and that a new attempt is.
func TestReserveAfterCancelIsRefused(t *testing.T) {
	l := New()
	r := reserve("van-1", "a", startMillis)
	l.Settle(Settle{Key: r.Key, Attempt: "a", RequestDigest: r.RequestDigest, AtUnixMilli: startMillis, Outcome: Outcome{State: Cancelled}})
	if got := l.Reserve(r); got.Verdict != Stale {
		t.Errorf("verdict of the cancelled attempt is %s, want %s", got.Verdict, Stale)
	}
	if got := l.Reserve(reserve("van-1", "b", startMillis)); got.Verdict != Granted {
		t.Errorf("verdict of the next attempt is %s, want %s", got.Verdict, Granted)
	}
}

// stateMachine applies the same commands to two ledgers, one of which is restored
// from a snapshot at each check, and tracks which keys were granted.
type stateMachine struct {
	direct, restored *Ledger
	now              int64
	attempts         int
	// openAttempts holds the attempt that was granted a key and has not been
	// settled yet.
	openAttempts map[Key]string
	// granted holds the keys granted to an attempt that was not cancelled.
	granted map[Key]bool
}

func (m *stateMachine) reserve(t *rapid.T) {
	m.now += int64(rapid.IntRange(0, testRetentionMillis/2).Draw(t, "elapsed"))
	key := fmt.Sprintf("van-%d", rapid.IntRange(0, 5).Draw(t, "key"))
	if rapid.Bool().Draw(t, "timed") {
		key = uuidV7Key(m.now - int64(rapid.IntRange(0, 2*testRetentionMillis).Draw(t, "age")/500*500))
	}
	m.attempts++
	// The wall clocks of the entries differ by up to a tenth of the retention
	// period.
	skew := int64(rapid.IntRange(-testRetentionMillis/10, testRetentionMillis/10).Draw(t, "skew"))
	r := reserve(key, fmt.Sprint(m.attempts), m.now+skew)
	got, other := m.direct.Reserve(r), m.restored.Reserve(r)
	if got.Verdict != other.Verdict {
		t.Fatalf("key %s: verdict is %s, but %s after restoring a snapshot", key, got.Verdict, other.Verdict)
	}
	if got.Verdict != Granted {
		return
	}
	if m.granted[r.Key] {
		t.Fatalf("key %s was granted to attempt %s although an earlier attempt was not cancelled", key, r.Attempt)
	}
	m.openAttempts[r.Key], m.granted[r.Key] = r.Attempt, true
}

func (m *stateMachine) settle(t *rapid.T) {
	for key, attempt := range m.openAttempts {
		state := rapid.SampledFrom([]State{Settled, Unknown, Cancelled}).Draw(t, "state")
		s := Settle{Key: key, Attempt: attempt, RequestDigest: []byte("digest"), Outcome: Outcome{State: state}}
		got := m.direct.Settle(s)
		m.restored.Settle(s)
		if got.Verdict == Stored && got.Record.Outcome.State == Cancelled {
			m.granted[key] = false
		}
		delete(m.openAttempts, key)
		return
	}
}

func (m *stateMachine) check(t *rapid.T) {
	encodedDirect := encode(t, m.direct)
	m.restored = Decode(m.restored.Encode())
	if !bytes.Equal(encodedDirect, encode(t, m.restored)) {
		t.Fatal("ledger differs after restoring a snapshot")
	}
	if len(m.direct.records) != len(m.direct.expiry) {
		t.Fatalf("ledger holds %d records, but the expiry queue %d", len(m.direct.records), len(m.direct.expiry))
	}
}

func encode(t *rapid.T, l *Ledger) []byte {
	encoded, err := cbor.Marshal(l.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestLedgerStateMachine applies random commands and checks that no key is granted
// to a second attempt unless the first was cancelled, even after pruning, and
// that encoding and decoding preserves the ledger.
func TestLedgerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{direct: New(), restored: New(), now: startMillis, openAttempts: make(map[Key]string), granted: make(map[Key]bool)}
		t.Repeat(map[string]func(*rapid.T){"reserve": m.reserve, "settle": m.settle, "": m.check})
	})
}
