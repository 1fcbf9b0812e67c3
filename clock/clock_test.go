package clock

import (
	"errors"
	"testing"
	"time"
)

// TestSuspensionsCount proves that the clock goes on through suspensions, by what the system's clocks say at each look.
func TestSuspensionsCount(t *testing.T) {
	type reading struct {
		whole, steady time.Duration
		err           error
	}
	for name, test := range map[string]struct {
		readings []reading
		skips    time.Duration
	}{
		"none":                        {[]reading{{time.Second, time.Second, nil}, {2 * time.Second, 2 * time.Second, nil}}, 0},
		"those before the start":      {[]reading{{time.Hour, time.Second, nil}, {time.Hour + time.Second, 2 * time.Second, nil}}, 0},
		"one":                         {[]reading{{time.Second, time.Second, nil}, {7 * time.Second, 2 * time.Second, nil}}, 5 * time.Second},
		"two":                         {[]reading{{1, 1, nil}, {5 * time.Second, time.Second, nil}, {9 * time.Second, 2 * time.Second, nil}}, 7 * time.Second},
		"clocks that are read slowly": {[]reading{{1, 1, nil}, {time.Second + 20*time.Millisecond, time.Second, nil}}, 0},
		"a clock that cannot be read": {[]reading{{1, 1, nil}, {0, 0, errors.New("none")}, {4 * time.Second, time.Second, nil}}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			watch := Watch{read: func() (time.Duration, time.Duration, error) {
				r := test.readings[next]
				next++
				return r.whole, r.steady, r.err
			}}
			before, began := Now(), time.Now()
			var told time.Duration
			for range test.readings {
				told += watch.Look()
			}
			skipped := Since(before) - time.Since(began)
			if told != test.skips || skipped < test.skips-10*time.Millisecond || skipped > test.skips+10*time.Millisecond {
				t.Errorf("told %s, moved on by %s, want %s", told, skipped, test.skips)
			}
		})
	}
}

// TestRealClocks proves that the system's clocks can be read, and that a machine that runs on loses nothing.
func TestRealClocks(t *testing.T) {
	var watch Watch
	for range 3 {
		if lost := watch.Look(); lost != 0 {
			t.Errorf("%s are lost", lost)
		}
		time.Sleep(time.Millisecond)
	}
	if whole, steady, err := readClocks(); err != nil || whole < steady-time.Second || steady <= 0 {
		t.Errorf("%s, %s, %v", whole, steady, err)
	}
}
