package clock

import (
	"errors"
	"testing"
	"time"
)

// TestSuspensionsCount checks that the clock advances by the suspensions that the system clocks show.
func TestSuspensionsCount(t *testing.T) {
	type reading struct {
		boottime, monotonic time.Duration
		err                 error
	}
	for name, test := range map[string]struct {
		readings []reading
		skips    time.Duration
	}{
		"no suspension":                       {[]reading{{time.Second, time.Second, nil}, {2 * time.Second, 2 * time.Second, nil}}, 0},
		"suspension before the first reading": {[]reading{{time.Hour, time.Second, nil}, {time.Hour + time.Second, 2 * time.Second, nil}}, 0},
		"one suspension":                      {[]reading{{time.Second, time.Second, nil}, {7 * time.Second, 2 * time.Second, nil}}, 5 * time.Second},
		"two suspensions":                     {[]reading{{1, 1, nil}, {5 * time.Second, time.Second, nil}, {9 * time.Second, 2 * time.Second, nil}}, 7 * time.Second},
		"delay between the clock readings":    {[]reading{{1, 1, nil}, {time.Second + 20*time.Millisecond, time.Second, nil}}, 0},
		"failed reading":                      {[]reading{{1, 1, nil}, {0, 0, errors.New("none")}, {4 * time.Second, time.Second, nil}}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			next := 0
			watch := SuspensionWatch{read: func() (time.Duration, time.Duration, error) {
				r := test.readings[next]
				next++
				return r.boottime, r.monotonic, r.err
			}}
			before, began := Now(), time.Now()
			var reported time.Duration
			for range test.readings {
				reported += watch.Check()
			}
			advanced := Since(before) - time.Since(began)
			if reported != test.skips || advanced < test.skips-10*time.Millisecond || advanced > test.skips+10*time.Millisecond {
				t.Errorf("reported %s, advanced by %s, want %s", reported, advanced, test.skips)
			}
		})
	}
}

// TestSystemClocks checks that the system clocks can be read and show no suspension on a running machine.
func TestSystemClocks(t *testing.T) {
	var watch SuspensionWatch
	for range 3 {
		if gap := watch.Check(); gap != 0 {
			t.Errorf("reported a suspension of %s, want none", gap)
		}
		time.Sleep(time.Millisecond)
	}
	if boottime, monotonic, err := readClocks(); err != nil || boottime < monotonic-time.Second || monotonic <= 0 {
		t.Errorf("%s, %s, %v", boottime, monotonic, err)
	}
}
