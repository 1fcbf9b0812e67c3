package entry

import (
	"os"
	"testing"

	"github.com/apex/log"
)

// TestMain silences the log.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	os.Exit(m.Run())
}
