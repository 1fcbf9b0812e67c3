package fill

import (
	"testing"
	"time"
)

const fillLimit = 20 * time.Second

func TestEmptyServersAreFilled(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 4*time.Second)
	s.startAll(1)
	s.wait(1, fillLimit)
	if drawn := s.origin.drawn(1); drawn > testPieces+testPieces/2 {
		t.Errorf("%d pieces drawn for six boxes, want about %d", drawn, testPieces)
	}
}

func TestNewServerTakesFromItsNeighbours(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 4*time.Second)
	for _, engine := range s.engines[:3] {
		engine.runFrom(1)
	}
	for i := range 3 {
		s.start(i, 1)
	}
	time.Sleep(500 * time.Millisecond)
	s.start(3, 1)
	s.wait(1, fillLimit)
	if drawn := s.origin.drawn(1); drawn != 0 {
		t.Errorf("%d pieces drawn though three neighbours hold all", drawn)
	}
}

func TestRestartedBoxTakesWhatItsServerHolds(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.engines[0].fillWith(1)
	s.start(0, 1)
	s.wait(1, fillLimit)
	if drawn := s.origin.drawn(1); drawn != 0 {
		t.Errorf("%d pieces drawn though the server holds all", drawn)
	}
}

func TestNoVersionNamed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4*time.Second)
	s.startAll(0)
	s.wait(1, fillLimit)
}

func TestSpoiltPiecesAreDrawnAgain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 4*time.Second)
	s.origin.spoil = func(draw int) bool { return draw%3 == 0 }
	s.startAll(1)
	s.wait(1, fillLimit)
}

func TestNewVersionReachesAllByItsBound(t *testing.T) {
	t.Parallel()
	s := newSite(t, 5, 4*time.Second)
	s.startRunning()
	s.name(2)
	s.wait(2, 4*time.Second)
}

func TestPiecesThatRotAreFetchedBeforeTheOrder(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4*time.Second)
	s.startRunning()
	s.name(2)
	time.Sleep(1500 * time.Millisecond)
	engine := s.engines[0]
	engine.mu.Lock()
	engine.pieces[3] = []byte("rotten")
	engine.mu.Unlock()
	// The engine fails the test when an order meets the rotten piece.
	s.wait(2, fillLimit)
}

func TestOlderVersionIsLoadedInItsTurn(t *testing.T) {
	t.Parallel()
	s := newSiteOfTwoVersions(t)
	s.wait(3, fillLimit)
	for i, engine := range s.engines {
		if len(engine.orders) != 2 || engine.orders[0] != 2 || engine.orders[1] != 3 {
			t.Errorf("server %d was ordered %v, want 2 then 3", i, engine.orders)
		}
	}
}

func TestLostAnswerToAnOrderIsSettledByAsking(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.engines[0].lose = true
	s.start(0, 1)
	s.wait(1, fillLimit)
	time.Sleep(500 * time.Millisecond)
	if n := len(s.engines[0].orders); n != 1 {
		t.Errorf("%d orders taken, want the one whose answer was lost", n)
	}
}

func TestManifestsComeFromNeighbours(t *testing.T) {
	t.Parallel()
	s := newSite(t, 8, 4*time.Second)
	s.startRunning()
	s.name(2)
	s.wait(2, fillLimit)
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	if asked := s.origin.asked[2]; asked > 2 {
		t.Errorf("%d boxes in two sites asked the origin for a manifest, want 2", asked)
	}
}

func TestOlderVersionWithABadPieceGivesWay(t *testing.T) {
	t.Parallel()
	s := newSiteOfTwoVersions(t)
	time.Sleep(50 * time.Millisecond)
	s.engines[1].rot(4)
	s.wait(3, fillLimit)
}
