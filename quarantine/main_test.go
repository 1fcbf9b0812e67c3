package quarantine

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised tests, so that every run gives the same result, unless CORALSTAIR_FREE_SEED is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("CORALSTAIR_FREE_SEED") == "" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
