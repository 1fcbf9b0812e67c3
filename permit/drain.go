package permit

import (
	"context"
	"fmt"
	"time"

	"github.com/coralstair/coralstair/store"
)

// DrainLeaseTTL is how long a drain lease is valid without renewal.
const DrainLeaseTTL = 2 * time.Minute

// Drains grants leases that allow replicas of a service to drain and load.
type Drains struct {
	Table  Table
	Fleet  string
	Holder string
}

// DrainLease is one of the drain leases of a service; its row's number is the expiry in Unix milliseconds.
type DrainLease struct {
	key       store.Key
	expiresAt int64
}

// NeedsRenewal reports whether the lease should be renewed.
func (l DrainLease) NeedsRenewal(now time.Time) bool {
	return time.UnixMilli(l.expiresAt).Sub(now) < DrainLeaseTTL/2
}

// Release ends a lease, if this holder still has it. A lease that is not released expires after DrainLeaseTTL.
func (d *Drains) Release(ctx context.Context, lease DrainLease) error {
	row, found, err := d.Table.Get(ctx, lease.key)
	if err != nil || !found || string(row.Body) != d.Holder {
		return err
	}
	return d.Table.Put(ctx, store.Put{
		Row:       store.Row{Key: lease.key},
		Condition: store.IfNumber, Number: row.Number,
	})
}

// Renew extends a lease to DrainLeaseTTL from now. On error it returns the lease unchanged.
func (d *Drains) Renew(ctx context.Context, lease DrainLease) (DrainLease, error) {
	next := DrainLease{key: lease.key, expiresAt: time.Now().Add(DrainLeaseTTL).UnixMilli()}
	err := d.Table.Put(ctx, store.Put{
		Row:       store.Row{Key: lease.key, Number: next.expiresAt, Body: []byte(d.Holder)},
		Condition: store.IfNumber, Number: lease.expiresAt,
	})
	if err != nil {
		return lease, err
	}
	return next, nil
}

// Acquire acquires one of limit leases of a service; ok is false while all are held.
func (d *Drains) Acquire(ctx context.Context, service string, limit int) (lease DrainLease, ok bool, err error) {
	for number := range limit {
		key := store.Key{
			Partition: fmt.Sprintf("drains#%s#%s", d.Fleet, service),
			Sort:      fmt.Sprintf("%04d", number),
		}
		expiresAt, ok, err := acquire(ctx, d.Table, key, d.Holder, DrainLeaseTTL)
		if err != nil || ok {
			return DrainLease{key: key, expiresAt: expiresAt}, ok, err
		}
	}
	return DrainLease{}, false, nil
}
