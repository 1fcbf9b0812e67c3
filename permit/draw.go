package permit

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/store"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/weights"
)

// DrawWindow is how long a draw permit counts; the origin's link carries its copies in such a window.
const DrawWindow = 15 * time.Minute

// Table is the part of the platform's table service that permits use.
type Table interface {
	Get(ctx context.Context, key store.Key) (row store.Row, ok bool, err error)
	Put(ctx context.Context, put store.Put) error
}

// Draws hands out permits to draw chunk groups from the origin, at most swarm.MaxPermits a group and window.
type Draws struct {
	Table  Table
	Holder string

	taken atomic.Int64
}

// Take takes a permit for a group, the one numbered first if it is free; ok is false when none is free.
func (d *Draws) Take(ctx context.Context, manifest weights.Digest, group, first int) (ok bool, err error) {
	holder := fmt.Sprintf("%s#%d", d.Holder, d.taken.Add(1))
	for i := range swarm.MaxPermits {
		number := (first + i) % swarm.MaxPermits
		key := store.Key{
			Partition: "draws#" + manifest.Hex(),
			Sort:      fmt.Sprintf("%04d#%d", group, number),
		}
		_, ok, err = take(ctx, d.Table, key, holder, DrawWindow)
		if err != nil || ok {
			return ok, err
		}
	}
	return false, nil
}

// take writes a permit that is absent or has lapsed, and returns when it will lapse, in milliseconds since 1970.
// A lost answer is resolved by reading the holder back.
func take(ctx context.Context, table Table, key store.Key, holder string, ttl time.Duration) (lapse int64, ok bool, err error) {
	now := time.Now()
	lapse = now.Add(ttl).UnixMilli()
	err = table.Put(ctx, store.Put{
		Row:       store.Row{Key: key, Number: lapse, Body: []byte(holder)},
		Condition: store.IfLower, Number: now.UnixMilli(),
	})
	if err == nil {
		return lapse, true, nil
	}
	row, found, readErr := table.Get(ctx, key)
	if readErr != nil {
		return 0, false, errors.Join(err, readErr)
	}
	if found && string(row.Body) == holder && row.Number > now.UnixMilli() {
		return row.Number, true, nil
	}
	var failed *store.ConditionError
	if errors.As(err, &failed) {
		return 0, false, nil
	}
	return 0, false, err
}
