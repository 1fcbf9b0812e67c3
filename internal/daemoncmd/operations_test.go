package daemoncmd

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPageIsComplete checks that the operators' page covers each log message and metric of the daemons.
func TestOperationsPageIsComplete(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`"((?:view|fill|forward|entry|daemon|log|quarantine|connlimit): [^"]+)"|(coralstair_[a-z_]+)`)
	found := 0
	for _, dir := range []string{"forward", "fill", "discovery", "quarantine", "retry", "logging", "connlimit", filepath.Join("internal", "daemoncmd")} {
		paths, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range named.FindAllStringSubmatch(string(text), -1) {
				found++
				if name := match[1] + match[2]; !strings.Contains(string(page), name) {
					t.Errorf("%s: %q is not in docs/OPERATIONS.md", path, name)
				}
			}
		}
	}
	if found < 30 {
		t.Errorf("only %d log messages and metrics found; the test searches the wrong files", found)
	}
}
