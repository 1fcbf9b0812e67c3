package swarm

import (
	"fmt"
	"testing"
	"time"
)

const (
	// tailMargin is the tolerated delay of the last downloads beyond their time on the origin's link.
	tailMargin = 300 * time.Millisecond
	// backupDownloaders is how many backups a piece has; each may fail once before it knows that the origin is unreachable.
	backupDownloaders = MaxPermits - 1
)

// TestTailOfADraw checks that the pieces missing when the origin becomes unreachable are downloaded at the speed of its link
// once it is back, also when downloads hang meanwhile.
func TestTailOfADraw(t *testing.T) {
	// longest bounds the work of a case: boxes times outage.
	const longest = 80 * time.Second
	lefts, boxes := []int{1, 2, 15, 40, 64}, []int{4, 20, 76}
	outages := []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond, 6 * time.Second, 20 * time.Second}
	for name, hang := range map[string]time.Duration{"refuses": 0, "is silent": 200 * time.Millisecond} {
		for _, n := range boxes {
			for _, left := range lefts {
				for _, outage := range outages {
					if time.Duration(n)*outage > longest {
						continue
					}
					t.Run(fmt.Sprintf("%s/%d boxes/%d left/%s", name, n, left, outage), func(t *testing.T) {
						t.Parallel()
						w := newFeedSim(testMembers(n, min(3, n/2)), feedPieces, holdsNone)
						w.originDownAt = testStart.Add(DefaultStartDelay + time.Duration(feedPieces-left)*originTime)
						w.originBackAt, w.downloadHang = w.originDownAt.Add(outage), hang
						for w.now.Before(w.originBackAt) {
							w.step()
						}
						left := w.unheldPieces()
						// One failure per piece time on the origin's link during the outage, and one per backup of each missing piece.
						maxFailed := int(outage/originTime) + 1 + backupDownloaders*left
						limit := w.originBackAt.Add(tailMargin + hang + time.Duration(left)*originTime)
						for w.unheldPieces() > 0 && w.now.Before(limit.Add(10*time.Second)) {
							w.step()
						}
						if over := w.now.Sub(limit); over > 0 {
							t.Errorf("%d pieces were downloaded %s too late", left, over)
						}
						if w.failedDownloads > maxFailed {
							t.Errorf("%d downloads failed, want at most %d", w.failedDownloads, maxFailed)
						}
						if w.downloads > feedPieces+feedPieces/4 {
							t.Errorf("%d pieces downloaded, want about %d", w.downloads, feedPieces)
						}
					})
				}
			}
		}
	}
}

// unheldPieces returns how many pieces no box holds yet.
func (w *feedSim) unheldPieces() int {
	unheld := 0
	for piece := range feedPieces {
		held := false
		for _, f := range w.feeds {
			held = held || f.Holds(piece)
		}
		if !held {
			unheld++
		}
	}
	return unheld
}
