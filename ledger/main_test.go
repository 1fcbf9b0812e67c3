package ledger_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests for reproducible runs; CORALSTAIR_FREE_SEED in the environment makes it random.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("CORALSTAIR_FREE_SEED") == "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
