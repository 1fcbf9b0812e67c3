package permit

import (
	"context"
	"errors"

	"github.com/coralstair/coralstair/store"
)

// NextEpoch acquires the next epoch for a box's daemon, which fences the orders of earlier daemons of the box.
func NextEpoch(ctx context.Context, table Table, fleet, box string) (int64, error) {
	key := epochKey(fleet, box)
	for {
		row, found, err := table.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		put := store.Put{
			Row:       store.Row{Key: key, Number: row.Number + 1},
			Condition: store.IfNumber, Number: row.Number,
		}
		if !found {
			put.Condition = store.IfAbsent
		}
		err = table.Put(ctx, put)
		var failed *store.ConditionError
		if errors.As(err, &failed) {
			continue
		}
		return put.Row.Number, err
	}
}

// IsCurrent reports whether epoch is still the box's latest.
func IsCurrent(ctx context.Context, table Table, fleet, box string, epoch int64) (bool, error) {
	row, found, err := table.Get(ctx, epochKey(fleet, box))
	return found && row.Number == epoch, err
}

func epochKey(fleet, box string) store.Key {
	return store.Key{Partition: "epochs#" + fleet, Sort: box}
}
