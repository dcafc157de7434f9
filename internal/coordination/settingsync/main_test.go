package settingsync_test

import (
	"flag"
	"os"
	"testing"
)

// ciChecks is the number of schedules of each property in CI. More are drawn
// with the flag -rapid.checks.
const ciChecks = "12"

func TestMain(m *testing.M) {
	flag.Parse()
	checksGiven := false
	flag.Visit(func(f *flag.Flag) { checksGiven = checksGiven || f.Name == "rapid.checks" })
	if !checksGiven {
		_ = flag.Set("rapid.checks", ciChecks)
	}
	os.Exit(m.Run())
}
