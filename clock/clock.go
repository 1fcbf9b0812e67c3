package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// leastSuspension is what the two clocks of the system may differ by without a suspension between two looks: they are read one
// after the other, and a process that is busy may wait in between.
const leastSuspension = 50 * time.Millisecond

// suspended is for how long the machine has been suspended, as far as it has been looked for.
var suspended atomic.Int64

// Now returns the time, which counts suspensions of the machine; only differences to other times of this clock mean something.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns how long ago a time of this clock was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how far away a time of this clock is.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Skip moves the clock on by the time for which the machine was suspended.
func Skip(d time.Duration) { suspended.Add(int64(d)) }

// Watch finds suspensions; the zero value is ready and counts from its first look on.
type Watch struct {
	// read returns the system's clocks; nil for the real ones.
	read func() (whole, steady time.Duration, err error)

	mu     sync.Mutex
	looked bool
	ahead  time.Duration
}

// Look moves the clock on by the time for which the machine was suspended since the last look, and returns that.
func (w *Watch) Look() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	read := w.read
	if read == nil {
		read = readClocks
	}
	whole, steady, err := read()
	if err != nil {
		return 0
	}
	ahead := whole - steady
	gap := ahead - w.ahead
	if w.looked && gap < leastSuspension {
		return 0
	}
	first := !w.looked
	w.looked, w.ahead = true, ahead
	if first {
		return 0
	}
	Skip(gap)
	return gap
}

// readClocks returns the time since the machine was started, with and without that for which it was suspended.
func readClocks() (whole, steady time.Duration, err error) {
	var w, s unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &s); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &w); err != nil {
		return 0, 0, err
	}
	return time.Duration(w.Nano()), time.Duration(s.Nano()), nil
}
