package connlimit

import (
	"cmp"
	"math"

	"golang.org/x/sys/unix"
)

const (
	// DefaultMemory is the memory of a process, in bytes, where it is unknown.
	DefaultMemory = 256 << 20
	// clientDivisor-th of the memory and of the descriptors of a process may be held by its clients.
	clientDivisor = 2
	// receiveBuffer bounds the bytes of a connection that the kernel holds until they are read.
	receiveBuffer = 16 << 10
	// includedBytes of a request are not counted: usual headers do not exceed them.
	includedBytes = 8 << 10
	// connectionBytes is the memory of an open connection: what may arrive on it, its goroutines and their buffers.
	connectionBytes = receiveBuffer + includedBytes + 16<<10
	// lineBytes is the memory of a header line beside its text.
	lineBytes = 256
	// streamBytes is the memory of a request that shares its connection with others, beside its header and body.
	streamBytes = 16 << 10
	// minConnections of a listener may be open in any case.
	minConnections = 16
)

// Limits bound what the clients of a listener hold at any time.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// RequestBytes is the memory of their unfinished requests, in bytes, beyond what each connection may hold.
	RequestBytes int64
}

// Budget is what all clients of a process may hold together, to be divided among its listeners.
type Budget struct {
	connections  int64
	requestBytes int64
}

// NewBudget returns the budget of a process that may use so much memory, in bytes, and so many descriptors; 0 if that is unknown.
func NewBudget(memory int64, descriptors int) Budget {
	memory = cmp.Or(memory, DefaultMemory) / clientDivisor
	b := Budget{connections: memory / 2 / connectionBytes, requestBytes: memory / 4}
	if descriptors > 0 {
		b.connections = min(b.connections, int64(descriptors)/clientDivisor)
	}
	return b
}

// Share returns the limits of a listener that gets a percentage of the budget.
func (b Budget) Share(percent int64) Limits {
	return Limits{Connections: int(max(b.connections*percent/100, minConnections)), RequestBytes: b.requestBytes * percent / 100}
}

// Descriptors returns how many descriptors the process may have open; 0 if that is unknown.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// withDefaults replaces unset limits with those of a process whose memory is unknown.
func (l Limits) withDefaults() Limits {
	defaults := NewBudget(0, 0).Share(100)
	l.Connections = cmp.Or(l.Connections, defaults.Connections)
	l.RequestBytes = cmp.Or(l.RequestBytes, defaults.RequestBytes)
	return l
}
