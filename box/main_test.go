package box

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests, so that each run gives the same verdict; a long run sets
// CORALSTAIR_FREE_SEED to have another each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("CORALSTAIR_FREE_SEED") == "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
