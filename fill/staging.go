package fill

import (
	"math"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// abandonedCallTime is how long after its connection was closed the server may still carry out a write or an order.
const abandonedCallTime = time.Second

// staging tracks who uses the server's staging area, which holds one piece of each number and is read when the server takes a load
// order. It is written by one update at a time, and by none while an order is prepared, sent, or may still be taken. It is guarded by
// the box's mutex.
type staging struct {
	// owner is the update whose pieces were written or verified last.
	owner *update
	// writes counts the writes in progress, which are the owner's.
	writes int
	// sealed is set while an update is verified and ordered.
	sealed bool
	// writesSettleAt and orderSettlesAt are when abandoned writes and an unanswered order can no longer be carried out.
	writesSettleAt, orderSettlesAt time.Time
	// orderedSeq is the number of orders that the server had taken before the unanswered one.
	orderedSeq int64
}

// newStaging returns the staging area of a server to which an earlier process of this box may have sent writes and an order just before
// it was killed.
func newStaging() staging {
	settlesAt := clock.Now().Add(abandonedCallTime)
	return staging{writesSettleAt: settlesAt, orderSettlesAt: settlesAt, orderedSeq: math.MaxInt64}
}

// startWrite reports whether an update may write a piece now; if so, the caller calls endWrite once the write has ended.
func (s *staging) startWrite(u *update) bool {
	if s.sealed || s.writes > 0 && s.owner != u || clock.Until(s.orderSettlesAt) > 0 {
		return false
	}
	s.owner = u
	s.writes++
	return true
}

// endWrite ends a write; abandoned says that the server may still carry it out.
func (s *staging) endWrite(abandoned bool) {
	s.writes--
	if abandoned {
		s.writesSettleAt = clock.Now().Add(abandonedCallTime)
	}
}

// seal keeps all pieces as they are while an update is verified and ordered, until unseal is called. It fails while pieces may be
// written, or while the server may take an order for another update; an order may be repeated, since the server takes only one of them.
func (s *staging) seal(u *update) bool {
	if s.sealed || s.writes > 0 || clock.Until(s.writesSettleAt) > 0 || s.owner != u && clock.Until(s.orderSettlesAt) > 0 {
		return false
	}
	s.owner, s.sealed = u, true
	return true
}

func (s *staging) unseal() { s.sealed = false }

// orderUnanswered records an order of which it is not known whether the server takes it.
func (s *staging) orderUnanswered(seq int64) {
	s.orderSettlesAt, s.orderedSeq = clock.Now().Add(abandonedCallTime), seq
}

// orderAnswered records that the server has taken an order; it refuses all that were sent before.
func (s *staging) orderAnswered() { s.orderSettlesAt = time.Time{} }

// observe records how many orders the server has taken: once it has taken another one, it refuses those sent before.
func (s *staging) observe(seq int64) {
	if seq > s.orderedSeq {
		s.orderAnswered()
	}
}
