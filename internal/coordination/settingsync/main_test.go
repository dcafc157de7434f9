package settingsync_test

import (
	"flag"
	"os"
	"testing"
)

// ciChecks is the default number of schedules per property test. The flag
// -rapid.checks overrides it.
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
