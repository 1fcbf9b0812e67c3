// Package clock provides a monotonic clock that includes time in which the machine
// is suspended, for measuring ages and timeouts. Suspended time is added by the first
// SuspensionWatch.Check after a suspension.
package clock
