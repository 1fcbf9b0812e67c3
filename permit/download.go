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

// DownloadPermitTTL is how long a download permit is valid; within it the origin's link can send swarm.MaxPermits copies.
const DownloadPermitTTL = 15 * time.Minute

// Table is the subset of the platform's table service that permits use.
type Table interface {
	Get(ctx context.Context, key store.Key) (row store.Row, ok bool, err error)
	Put(ctx context.Context, put store.Put) error
}

// Downloads grants permits to download chunk groups from the origin, at most swarm.MaxPermits per group and DownloadPermitTTL.
type Downloads struct {
	Table  Table
	Holder string

	attempts atomic.Int64
}

// Acquire acquires a permit for a group, trying number first before the others; ok is false if none is free.
func (d *Downloads) Acquire(ctx context.Context, manifest weights.Digest, group, first int) (ok bool, err error) {
	holder := fmt.Sprintf("%s#%d", d.Holder, d.attempts.Add(1))
	for i := range swarm.MaxPermits {
		number := (first + i) % swarm.MaxPermits
		key := store.Key{
			Partition: "draws#" + manifest.Hex(),
			Sort:      fmt.Sprintf("%04d#%d", group, number),
		}
		_, ok, err = acquire(ctx, d.Table, key, holder, DownloadPermitTTL)
		if err != nil || ok {
			return ok, err
		}
	}
	return false, nil
}

// acquire writes a permit that is absent or expired, and returns its expiry in Unix milliseconds. If the response to the
// write is lost, it reads back the holder.
func acquire(ctx context.Context, table Table, key store.Key, holder string, ttl time.Duration) (expiresAt int64, ok bool, err error) {
	now := time.Now()
	expiresAt = now.Add(ttl).UnixMilli()
	err = table.Put(ctx, store.Put{
		Row:       store.Row{Key: key, Number: expiresAt, Body: []byte(holder)},
		Condition: store.IfLower, Number: now.UnixMilli(),
	})
	if err == nil {
		return expiresAt, true, nil
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
