package permit

import (
	"context"
	"fmt"
	"time"

	"github.com/coralstair/coralstair/store"
)

// DrainWindow is how long a drain permit counts when its holder does not give it back.
const DrainWindow = 2 * time.Minute

// Drains hands out permits for replicas of a service to drain and load.
type Drains struct {
	Table  Table
	Fleet  string
	Holder string
}

// Slot is a drain permit held; its number in the table is when it lapses, in milliseconds since 1970.
type Slot struct {
	key   store.Key
	lapse int64
}

// Due reports whether the slot has to be renewed soon.
func (s Slot) Due(now time.Time) bool {
	return time.UnixMilli(s.lapse).Sub(now) < DrainWindow/2
}

// Release gives a permit back; one that was not released lapses after DrainWindow.
func (d *Drains) Release(ctx context.Context, slot Slot) error {
	row, found, err := d.Table.Get(ctx, slot.key)
	if err != nil || !found || string(row.Body) != d.Holder {
		return err
	}
	return d.Table.Put(ctx, store.Put{
		Row:       store.Row{Key: slot.key},
		Condition: store.IfNumber, Number: row.Number,
	})
}

// Renew holds a permit for another DrainWindow; an error leaves it as it is.
func (d *Drains) Renew(ctx context.Context, slot Slot) (Slot, error) {
	next := Slot{key: slot.key, lapse: time.Now().Add(DrainWindow).UnixMilli()}
	err := d.Table.Put(ctx, store.Put{
		Row:       store.Row{Key: slot.key, Number: next.lapse, Body: []byte(d.Holder)},
		Condition: store.IfNumber, Number: slot.lapse,
	})
	if err != nil {
		return slot, err
	}
	return next, nil
}

// Take takes one of limit permits of a service; ok is false while all are held.
func (d *Drains) Take(ctx context.Context, service string, limit int) (slot Slot, ok bool, err error) {
	for number := range limit {
		key := store.Key{
			Partition: fmt.Sprintf("drains#%s#%s", d.Fleet, service),
			Sort:      fmt.Sprintf("%04d", number),
		}
		lapse, ok, err := take(ctx, d.Table, key, d.Holder, DrainWindow)
		if err != nil || ok {
			return Slot{key: key, lapse: lapse}, ok, err
		}
	}
	return Slot{}, false, nil
}
