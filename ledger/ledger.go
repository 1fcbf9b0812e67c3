package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/store"
)

const (
	fleetsPartition = "fleets"
	headSort        = "head"
	configSort      = "config"
	historyPrefix   = "history#"
	operationPrefix = "op#"

	maxCommitAttempts  = 3
	maxConflictChanges = 5
)

// Table is the part of the platform's table service that the ledger uses.
type Table interface {
	Get(ctx context.Context, key store.Key) (row store.Row, ok bool, err error)
	Query(ctx context.Context, partition, prefix string, limit int, backward bool) ([]store.Row, error)
	Transact(ctx context.Context, token string, puts ...store.Put) error
}

// Ledger reads and writes the configurations of fleets.
type Ledger struct {
	table Table
}

// New returns a ledger that stores its data in a table.
func New(table Table) *Ledger {
	return &Ledger{table: table}
}

// Accepted returns the change recorded under an operation's id; ok is false if there is none.
func (l *Ledger) Accepted(ctx context.Context, fleetName, operation string) (change fleet.Change, ok bool, err error) {
	row, ok, err := l.table.Get(ctx, fleetKey(fleetName, operationPrefix+operation))
	if err != nil || !ok {
		return fleet.Change{}, false, err
	}
	change, err = fleet.DecodeChange(row.Body)
	return change, err == nil, err
}

// Commit writes a change based on base and returns the resulting configuration. After a ConflictError or RefusedError
// nothing has changed; after an UnknownError the outcome is unknown.
func (l *Ledger) Commit(ctx context.Context, base fleet.Config, change fleet.Change) (fleet.Config, error) {
	change.Revision = base.Revision + 1
	next := base.WithChange(change)
	puts, err := commitPuts(base, next, change)
	if err != nil {
		return fleet.Config{}, err
	}
	for range maxCommitAttempts {
		err = l.table.Transact(ctx, change.Operation, puts...)
		if err == nil {
			return next, nil
		}
		var failed *store.ConditionError
		if errors.As(err, &failed) {
			return l.resolve(ctx, base, next, change)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return l.resolveLost(ctx, next, change, err)
}

// Fleets returns the names of all fleets.
func (l *Ledger) Fleets(ctx context.Context) ([]string, error) {
	rows, err := l.table.Query(ctx, fleetsPartition, "", maxFleets, false)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		names = append(names, row.Key.Sort)
	}
	return names, nil
}

const maxFleets = 1000

// Head returns the latest revision of a fleet, or 0 if the fleet does not exist.
func (l *Ledger) Head(ctx context.Context, fleetName string) (fleet.Revision, error) {
	row, _, err := l.table.Get(ctx, fleetKey(fleetName, headSort))
	return fleet.Revision(row.Number), err
}

// History returns up to limit changes of a fleet, newest first.
func (l *Ledger) History(ctx context.Context, fleetName string, limit int) ([]fleet.Change, error) {
	rows, err := l.table.Query(ctx, fleetPartition(fleetName), historyPrefix, limit, true)
	if err != nil {
		return nil, err
	}
	changes := make([]fleet.Change, 0, len(rows))
	for _, row := range rows {
		change, err := fleet.DecodeChange(row.Body)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Load returns the configuration of a fleet; its revision is 0 if the fleet does not exist.
func (l *Ledger) Load(ctx context.Context, fleetName string) (fleet.Config, error) {
	row, ok, err := l.table.Get(ctx, fleetKey(fleetName, configSort))
	if err != nil || !ok {
		return fleet.Config{Fleet: fleetName}, err
	}
	return fleet.DecodeConfig(row.Body)
}

// resolve handles a failed condition: it distinguishes an earlier attempt of this commit, whose response was lost, from
// another operator's change.
func (l *Ledger) resolve(ctx context.Context, base, next fleet.Config, change fleet.Change) (fleet.Config, error) {
	own, ok, err := l.Accepted(ctx, change.Fleet, change.Operation)
	if err != nil {
		return fleet.Config{}, &UnknownError{Operation: change.Operation, Err: err}
	}
	if ok && own.Revision == change.Revision {
		return next, nil
	}
	if ok {
		return l.Load(ctx, change.Fleet)
	}
	return fleet.Config{}, l.conflict(ctx, base)
}

// resolveLost looks up the operation's id after a write without a response. The write may still take effect later, so its
// absence does not prove a failure.
func (l *Ledger) resolveLost(ctx context.Context, next fleet.Config, change fleet.Change, cause error) (fleet.Config, error) {
	_, ok, err := l.Accepted(ctx, change.Fleet, change.Operation)
	if err == nil && ok {
		return next, nil
	}
	return fleet.Config{}, &UnknownError{Operation: change.Operation, Err: errors.Join(cause, err)}
}

func (l *Ledger) conflict(ctx context.Context, base fleet.Config) error {
	changes, err := l.History(ctx, base.Fleet, maxConflictChanges)
	if err != nil {
		return &RefusedError{Err: err}
	}
	var since []fleet.Change
	for _, change := range changes {
		if change.Revision > base.Revision {
			since = append(since, change)
		}
	}
	slices.Reverse(since)
	return &ConflictError{Base: base.Revision, Since: since}
}

func fleetKey(fleetName, sort string) store.Key {
	return store.Key{Partition: fleetPartition(fleetName), Sort: sort}
}

func fleetPartition(fleetName string) string { return "fleet#" + fleetName }

func historySort(revision fleet.Revision) string {
	return fmt.Sprintf("%s%012d", historyPrefix, revision)
}

func commitPuts(base, next fleet.Config, change fleet.Change) ([]store.Put, error) {
	configBody, err := next.Encode()
	if err != nil {
		return nil, err
	}
	changeBody, err := change.Encode()
	if err != nil {
		return nil, err
	}
	number := int64(next.Revision)
	head := store.Put{
		Row:       store.Row{Key: fleetKey(next.Fleet, headSort), Number: number},
		Condition: store.IfNumber, Number: int64(base.Revision),
	}
	if base.Revision == 0 {
		head.Condition = store.IfAbsent
	}
	puts := []store.Put{
		head,
		{Row: store.Row{Key: fleetKey(next.Fleet, configSort), Number: number, Body: configBody}},
		{Row: store.Row{Key: fleetKey(next.Fleet, historySort(next.Revision)), Number: number, Body: changeBody}, Condition: store.IfAbsent},
		{Row: store.Row{Key: fleetKey(next.Fleet, operationPrefix+change.Operation), Number: number, Body: changeBody}, Condition: store.IfAbsent},
	}
	if base.Revision == 0 {
		index := store.Row{Key: store.Key{Partition: fleetsPartition, Sort: next.Fleet}, Number: number}
		puts = append(puts, store.Put{Row: index})
	}
	return puts, nil
}
