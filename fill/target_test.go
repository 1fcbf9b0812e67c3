package fill

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// TestBoxTellsWhenVersionsWereNamed guards against entries that start after several versions were named and let requests begin on an
// older one beyond its bound, as the store tells only the newest version and not since when.
func TestBoxTellsWhenVersionsWereNamed(t *testing.T) {
	const tolerance = time.Second
	ages := map[int64]time.Duration{3: 6 * time.Second, 4: 2 * time.Second}
	s := newSite(t, 1, time.Minute)
	s.start(0, 1)
	knows := s.dialAsEntry("knows")
	for version, age := range ages {
		if err := knows.Send(t.Context(), &link.Target{Model: "other model", Version: version, Age: age}); err != nil {
			t.Fatal(err)
		}
	}
	// Both versions reach the box before an entry links that does not know them.
	time.Sleep(200 * time.Millisecond)
	starts := s.dialAsEntry("starts")
	told := make(map[int64]time.Duration)
	timeout := time.AfterFunc(2*time.Second, starts.Close)
	defer timeout.Stop()
	for len(told) < len(ages) {
		msg, err := starts.Receive()
		if err != nil {
			t.Fatalf("only %v was told", told)
		}
		if target, ok := msg.(*link.Target); ok && target.Model == "other model" {
			told[target.Version] = target.Age
		}
	}
	for version, age := range ages {
		if got := told[version]; got < age || got > age+tolerance {
			t.Errorf("version %d was named %s ago, told %s", version, age, got)
		}
	}
}
