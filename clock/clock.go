package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference that counts as a suspension: the two system clocks are read in turn, and the
// process may be descheduled in between.
const minSuspension = 50 * time.Millisecond

// suspended is the total suspended time detected so far, in nanoseconds.
var suspended atomic.Int64

// Now returns the current time of this clock. Only differences between its times are meaningful.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time elapsed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Advance advances the clock by suspended time.
func Advance(d time.Duration) { suspended.Add(int64(d)) }

// SuspensionWatch detects suspensions. The zero value is ready to use and detects those after its first Check.
type SuspensionWatch struct {
	// read returns the times with and without suspensions; nil means the system clocks.
	read func() (boottime, monotonic time.Duration, err error)

	mu          sync.Mutex
	initialized bool
	offset      time.Duration
}

// Check advances the clock by the time in which the machine was suspended since the previous Check, and returns that time.
func (w *SuspensionWatch) Check() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	read := w.read
	if read == nil {
		read = readClocks
	}
	boottime, monotonic, err := read()
	if err != nil {
		return 0
	}
	offset := boottime - monotonic
	gap := offset - w.offset
	if w.initialized && gap < minSuspension {
		return 0
	}
	first := !w.initialized
	w.initialized, w.offset = true, offset
	if first {
		return 0
	}
	Advance(gap)
	return gap
}

// readClocks returns the time since boot, with and without suspensions.
func readClocks() (boottime, monotonic time.Duration, err error) {
	var boot, mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, 0, err
	}
	return time.Duration(boot.Nano()), time.Duration(mono.Nano()), nil
}
