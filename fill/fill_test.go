package fill

import (
	"testing"
	"time"
)

const loadTimeLimit = 20 * time.Second

func TestEmptyServersAreFilled(t *testing.T) {
	t.Parallel()
	s := newSite(t, 6, 4*time.Second)
	s.startAll(1)
	s.waitLoaded(1, loadTimeLimit)
	if downloads := s.origin.downloaded(1); downloads > testPieces+testPieces/2 {
		t.Errorf("%d pieces downloaded for six boxes, want about %d", downloads, testPieces)
	}
}

func TestNewServerFetchesFromNeighbours(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 4*time.Second)
	for _, engine := range s.engines[:3] {
		engine.loadVersion(1)
	}
	for i := range 3 {
		s.start(i, 1)
	}
	time.Sleep(500 * time.Millisecond)
	s.start(3, 1)
	s.waitLoaded(1, loadTimeLimit)
	if downloads := s.origin.downloaded(1); downloads != 0 {
		t.Errorf("%d pieces downloaded though three neighbours hold all", downloads)
	}
}

func TestRestartedBoxReusesStagedPieces(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.engines[0].stageVersion(1)
	s.start(0, 1)
	s.waitLoaded(1, loadTimeLimit)
	if downloads := s.origin.downloaded(1); downloads != 0 {
		t.Errorf("%d pieces downloaded though the server holds all", downloads)
	}
}

func TestLoadsNewestVersionWhenNoneIsNamed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4*time.Second)
	s.startAll(0)
	s.waitLoaded(1, loadTimeLimit)
}

func TestSpoiltPiecesAreDrawnAgain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 4*time.Second)
	s.origin.corrupt = func(download int) bool { return download%3 == 0 }
	s.startAll(1)
	s.waitLoaded(1, loadTimeLimit)
}

func TestNewVersionReachesAllByItsBound(t *testing.T) {
	t.Parallel()
	s := newSite(t, 5, 4*time.Second)
	s.startRunning()
	s.nameVersion(2)
	s.waitLoaded(2, 4*time.Second)
}

func TestPiecesThatRotAreFetchedBeforeTheOrder(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 4*time.Second)
	s.startRunning()
	s.nameVersion(2)
	time.Sleep(1500 * time.Millisecond)
	engine := s.engines[0]
	engine.mu.Lock()
	engine.pieces[3] = []byte("corrupt")
	engine.mu.Unlock()
	// The engine fails the test when an order meets the corrupt piece.
	s.waitLoaded(2, loadTimeLimit)
}

func TestOlderVersionIsLoadedInItsTurn(t *testing.T) {
	t.Parallel()
	s := newSiteOfTwoVersions(t)
	s.waitLoaded(3, loadTimeLimit)
	for i, engine := range s.engines {
		if len(engine.orders) != 2 || engine.orders[0] != 2 || engine.orders[1] != 3 {
			t.Errorf("server %d was ordered to load %v, want 2 then 3", i, engine.orders)
		}
	}
}

func TestLostOrderReplyIsResolvedByState(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4*time.Second)
	s.engines[0].loseReply = true
	s.start(0, 1)
	s.waitLoaded(1, loadTimeLimit)
	time.Sleep(500 * time.Millisecond)
	if n := len(s.engines[0].orders); n != 1 {
		t.Errorf("%d orders accepted, want the one whose reply was lost", n)
	}
}

func TestManifestsComeFromNeighbours(t *testing.T) {
	t.Parallel()
	s := newSite(t, 8, 4*time.Second)
	s.startRunning()
	s.nameVersion(2)
	s.waitLoaded(2, loadTimeLimit)
	s.origin.mu.Lock()
	defer s.origin.mu.Unlock()
	if asked := s.origin.manifestDownloads[2]; asked > 2 {
		t.Errorf("%d boxes in two sites asked the origin for a manifest, want 2", asked)
	}
}

func TestOlderVersionWithABadPieceGivesWay(t *testing.T) {
	t.Parallel()
	s := newSiteOfTwoVersions(t)
	time.Sleep(50 * time.Millisecond)
	s.engines[1].corruptPiece(4)
	s.waitLoaded(3, loadTimeLimit)
}
