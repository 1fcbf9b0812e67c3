package swarm

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkFeed simulates rollouts in virtual time and reports, besides CPU time, fill times, announcements per piece and box,
// and downloaded copies.
func BenchmarkFeed(b *testing.B) {
	for _, size := range []struct{ boxes, sites int }{{20, 3}, {76, 3}, {204, 5}, {1000, 11}} {
		b.Run(fmt.Sprint(size.boxes), func(b *testing.B) {
			for b.Loop() {
				w := newFeedSim(testMembers(size.boxes, size.sites), feedPieces, holdsNone)
				var done []time.Duration
				complete := make(map[string]bool)
				for len(done) < size.boxes && w.now.Sub(testStart) < 20*time.Second {
					w.step()
					for id, f := range w.feeds {
						if f.Complete() && !complete[id] {
							complete[id] = true
							done = append(done, w.now.Sub(testStart))
						}
					}
				}
				slices.Sort(done)
				b.ReportMetric(done[len(done)/2].Seconds(), "s-median")
				b.ReportMetric(done[len(done)-1].Seconds(), "s-last")
				b.ReportMetric(float64(w.announcements)/float64(size.boxes*feedPieces), "news/piece")
				b.ReportMetric(float64(w.downloads)/feedPieces, "copies")
			}
		})
	}
}
