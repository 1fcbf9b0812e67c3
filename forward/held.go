package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/connlimit"
)

const (
	// Complete responses and long events may hold 1/heldDivisor of the machine's memory, defaultHeld where that is unknown.
	heldDivisor = 8
	defaultHeld = 32 << 20
	// unreadTimeout is how long after the time limit of its request a caller may take to read what is sent to it.
	unreadTimeout = 5 * time.Second
)

// errHeldFull means that the entry holds as much as it may for all callers together.
var errHeldFull = errors.New("the entry holds too much for its callers")

// holdings bounds what an entry holds in memory for all its callers.
type holdings struct {
	limit int64
	used  atomic.Int64
}

// newHoldings returns holdings for a machine with that much memory, in bytes; 0 if unknown.
func newHoldings(memory int64) holdings {
	if memory <= 0 {
		return holdings{limit: defaultHeld}
	}
	return holdings{limit: memory / heldDivisor}
}

// start returns the account of one body, to be released.
func (h *holdings) start() *heldBytes { return &heldBytes{holdings: h} }

// heldBytes is what is held for one body. A nil one holds nothing.
type heldBytes struct {
	holdings *holdings
	n        int64
}

// reader returns a reader that accounts for what it reads, and fails with errHeldFull when nothing more may be held.
func (b *heldBytes) reader(r io.Reader) io.Reader { return &heldReader{held: b, r: r} }

// resize sets how much is held. It returns errHeldFull, and changes nothing, when that is too much.
func (b *heldBytes) resize(n int64) error {
	more := n - b.n
	if more == 0 {
		return nil
	}
	if b.holdings.used.Add(more) > b.holdings.limit && more > 0 {
		b.holdings.used.Add(-more)
		heldRefused.Inc()
		return errHeldFull
	}
	b.n = n
	return nil
}

// release empties the account.
func (b *heldBytes) release() {
	if b != nil {
		b.holdings.used.Add(-b.n)
		b.n = 0
	}
}

type heldReader struct {
	held *heldBytes
	r    io.Reader
}

// Read reads and accounts for the bytes.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.held.n += int64(n)
	if r.held.holdings.used.Add(int64(n)) > r.held.holdings.limit {
		heldRefused.Inc()
		return n, errHeldFull
	}
	return n, err
}

// limitBuffer bounds what the kernel holds for a caller that does not read.
func limitBuffer(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*connlimit.Conn); ok {
		c = limited.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(kernelBuffer)
	}
	return ctx
}

// limitWrites bounds the time in which the caller has to read the response: a caller that reads nothing holds its connection and what
// waits for it no longer. The bound replaces that of the previous request on the connection.
func limitWrites(w http.ResponseWriter, limit time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(clock.Now().Add(limit + unreadTimeout))
}
