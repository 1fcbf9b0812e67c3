package fill

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

const (
	playTime = 40 * time.Second
	// quietTime is how long after the last fault the newest version must run.
	quietTime = 30 * time.Second
)

// serverFaults draws the delays of calls; it is guarded by the server's mutex.
type serverFaults struct {
	rng *rand.Rand
	// slowFactor is greater than 1 while the server is slow; lateShare is the share of calls that are carried out very late.
	slowFactor float64
	lateShare  float64
}

func (f *serverFaults) delay(call string, _ int) callDelay {
	usual := map[string]time.Duration{"state": 20 * time.Millisecond, "order": 10 * time.Millisecond}[call]
	usual += time.Millisecond
	d := callDelay{before: f.draw(usual), after: f.draw(usual)}
	if f.rng.Float64() < f.lateShare {
		d.before += time.Duration(f.rng.Float64() * float64(2500*time.Millisecond))
	}
	return d
}

func (f *serverFaults) draw(usual time.Duration) time.Duration {
	return time.Duration(f.slowFactor * f.rng.ExpFloat64() * float64(usual))
}

// playFaults names versions and harms the server and its box until playTime is over; sources of faults may coincide.
func playFaults(l *loneBox, rng *rand.Rand) {
	faults := &serverFaults{rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), slowFactor: 1}
	l.server.delay = faults.delay
	l.bound = []time.Duration{time.Second, 4 * time.Second, 8 * time.Second}[rng.IntN(3)]
	l.linkRate = testPieces * testBytes / []float64{0.1, 1, 3}[rng.IntN(3)]
	if rng.IntN(2) == 0 {
		l.server.loaded = 1
		l.server.stageVersion(1)
	}
	l.start(1)
	for began := time.Now(); time.Since(began) < playTime; {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(700*time.Millisecond)))
		switch rng.IntN(8) {
		case 0, 1, 2:
			l.name(l.newest + 1)
		case 3:
			l.stop()
			time.Sleep(time.Duration(rng.Float64() * float64(500*time.Millisecond)))
			l.start(l.newest)
		case 4:
			l.server.change(func(s *serverModel) { s.restart(rng.IntN(2) == 0) })
			l.listServer(time.Duration(rng.Float64() * float64(3*time.Second)))
		case 5:
			l.server.change(func(s *serverModel) { s.decay(rng.IntN(testPieces)) })
		case 6:
			l.server.change(func(*serverModel) { faults.slowFactor = []float64{1, 5, 20}[rng.IntN(3)] })
		case 7:
			l.server.change(func(*serverModel) { faults.lateShare = []float64{0, 0.02, 0.2}[rng.IntN(3)] })
		}
	}
	l.server.change(func(*serverModel) { faults.slowFactor, faults.lateShare = 1, 0 })
	time.Sleep(quietTime)
}

// change changes the server under its mutex.
func (s *serverModel) change(do func(s *serverModel)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s)
}

// listServer lists the server's present incarnation after a time.
func (l *loneBox) listServer(after time.Duration) {
	source, present := l.source, l.source.servers.Present
	go func() {
		time.Sleep(after)
		l.server.change(func(s *serverModel) {
			server := present[0]
			server.ID = s.id()
			source.listed <- discovery.Servers{Present: []contract.Server{server}}
		})
	}()
}

// playSeeds run in CI beside the first ones; each showed a fault, after which it is named.
var playSeeds = map[string]int{
	"restarts before the server is listed anew":        20732,
	"restarts before the server is listed, many times": 11436,
	"a reply from before a restart":                    19769,
}

// TestServersRunWholeVersionsUnderFaults plays faults of a server and its box in any order, in virtual time, and guards against tokens
// from weights mixed of two versions. CORALSTAIR_FILL_PLAYS is how many plays are drawn, CORALSTAIR_FILL_SEED the seed of the first.
func TestServersRunWholeVersionsUnderFaults(t *testing.T) {
	plays, first := envInt(t, "CORALSTAIR_FILL_PLAYS", 60), envInt(t, "CORALSTAIR_FILL_SEED", 1)
	for name, seed := range playSeeds {
		t.Run(name, func(t *testing.T) { playSeed(t, seed) })
	}
	for seed := first; seed < first+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSeed(t, seed) })
	}
}

// playSeed plays the faults of a seed; calls at the same moment may be served in another order each time.
func playSeed(t *testing.T, seed int) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := newLoneBox(t)
		playFaults(l, rand.New(rand.NewPCG(uint64(seed), 0)))
		l.check()
	})
}

func envInt(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
