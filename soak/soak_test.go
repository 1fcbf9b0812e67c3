package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/internal/daemoncmd"
)

// seeds run in CI; a seed that ever failed stays, named after the cause.
var seeds = map[string]uint64{
	"first":                                 1,
	"a piece of an older version turns bad": 32,
}

// seedsEnv names the variable with additional seeds, FROM-TO.
const seedsEnv = "CORALSTAIR_SOAK_SEEDS"

func TestSoak(t *testing.T) {
	daemon := buildDaemon(t)
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soakSeed(t, daemon, seed)
		})
	}
	for seed := range extraSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { t.Parallel(); soakSeed(t, daemon, seed) })
	}
}

// restartSeeds are the seeds of TestLives that run in CI.
var restartSeeds = []uint64{1}

// TestLives checks the invariants while servers restart under the same ID and the list has malformed entries.
func TestLives(t *testing.T) {
	eachSeed(t, "lives", restartSeeds, func(t *testing.T, opts Options) {
		opts.Restarts = true
		run(t, opts)
	})
}

// storeRestoreSeeds are the seeds of TestCopies that run in CI.
var storeRestoreSeeds = []uint64{1}

// TestCopies checks the invariants while the store is restored from backups.
func TestCopies(t *testing.T) {
	eachSeed(t, "copies", storeRestoreSeeds, func(t *testing.T, opts Options) {
		opts.StoreRestores = true
		run(t, opts)
	})
}

// eachSeed runs a subtest in parallel for each given seed and each seed from the environment.
func eachSeed(t *testing.T, kind string, seeds []uint64, play func(t *testing.T, opts Options)) {
	t.Helper()
	daemon := buildDaemon(t)
	more := extraSeeds(t)
	for _, seed := range seeds {
		more[seed] = true
	}
	for seed := range more {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, Options{Seed: seed, Daemon: daemon, Dir: logDir(t, kind, seed)})
		})
	}
}

// buildDaemon builds the daemon and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	// Calling the daemon links it into the test, so that a change of it invalidates the cached test result.
	if code := daemoncmd.Main([]string{"coralstaird", "entry"}); code == 0 {
		t.Fatal("the daemon started without settings")
	}
	daemon := filepath.Join(t.TempDir(), "coralstaird")
	if out, err := exec.Command("go", "build", "-o", daemon, "../cmd/coralstaird").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return daemon
}

// logDir returns the folder for the logs of a run.
func logDir(t *testing.T, kind string, seed uint64) string {
	t.Helper()
	keep := os.Getenv("CORALSTAIR_SOAK_LOGS")
	if keep == "" {
		return t.TempDir()
	}
	dir := filepath.Join(keep, kind+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

func soakSeed(t *testing.T, daemon string, seed uint64) {
	run(t, Options{Seed: seed, Daemon: daemon, Dir: logDir(t, "", seed)})
}

// run fails the test for each violation of a run.
func run(t *testing.T, opts Options) *Result {
	t.Helper()
	result, err := Run(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result)
	if len(result.Violations) == 0 {
		return result
	}
	t.Logf("faults:\n%s", strings.Join(result.Faults, "\n"))
	for i, violation := range result.Violations {
		if i == 20 {
			t.Errorf("%d more violations", len(result.Violations)-i)
			break
		}
		t.Error(violation)
	}
	return result
}

// extraSeeds returns the seeds from the environment.
func extraSeeds(t *testing.T) map[uint64]bool {
	from, to, ok := strings.Cut(os.Getenv(seedsEnv), "-")
	seeds := make(map[uint64]bool)
	if !ok {
		return seeds
	}
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil {
		t.Fatalf("%s must have the form FROM-TO", seedsEnv)
	}
	for seed := first; seed <= last; seed++ {
		seeds[seed] = true
	}
	return seeds
}
