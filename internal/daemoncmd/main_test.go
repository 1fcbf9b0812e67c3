package daemoncmd

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/coralstair/coralstair/platform"
)

func TestInvalidSettingsExitCode(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"missing field":       {"node = \"n\"\n", exitUsage},
		"field of wrong type": {"node = 4\n", exitUsage},
		"no file":             {"", exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "boot.toml")
			if test.text != "" {
				if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			t.Setenv(platform.SettingsVariable, path)
			if got := Main([]string{"coralstaird", "entry"}); got != test.want {
				t.Errorf("exit code %d, want %d", got, test.want)
			}
		})
	}
}
