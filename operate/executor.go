package operate

import (
	"context"
	"fmt"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/ledger"
	"github.com/coralstair/coralstair/statement"
)

// Ledger is the part of the ledger that statements use.
type Ledger interface {
	Accepted(ctx context.Context, fleetName, operation string) (change fleet.Change, ok bool, err error)
	Commit(ctx context.Context, base fleet.Config, change fleet.Change) (fleet.Config, error)
	Fleets(ctx context.Context) ([]string, error)
	History(ctx context.Context, fleetName string, limit int) ([]fleet.Change, error)
	Load(ctx context.Context, fleetName string) (fleet.Config, error)
}

// BoxReporter returns the latest reports of a fleet's boxes.
type BoxReporter interface {
	Boxes() []BoxReport
}

// Executor executes statements for an entry.
type Executor struct {
	// Fleet is the entry's own fleet, the default of queries.
	Fleet    string
	Ledger   Ledger
	Reporter BoxReporter
	// OnAccepted is called with each accepted configuration; it may be nil.
	OnAccepted func(fleet.Config)
}

// Command is a statement with its operator and conditions.
type Command struct {
	Operator string
	// Operation is the idempotency key of the change.
	Operation string
	Text      string
	// IfRevision, if not 0, is the revision that the fleet must be at.
	IfRevision fleet.Revision
}

// Result is the outcome of a statement.
type Result struct {
	Message   string           `json:"message,omitempty"`
	Fleet     string           `json:"fleet,omitempty"`
	Revision  fleet.Revision   `json:"revision,omitempty"`
	Operation string           `json:"operation,omitempty"`
	Table     *statement.Table `json:"table,omitempty"`
}

// Execute executes one statement.
func (e *Executor) Execute(ctx context.Context, cmd Command) (Result, error) {
	stmt, err := statement.Parse(cmd.Text)
	if err != nil {
		return Result{}, err
	}
	if stmt.Show != nil {
		return e.show(ctx, stmt.Show)
	}
	return e.planAndCommit(ctx, cmd, stmt)
}

func (e *Executor) planAndCommit(ctx context.Context, cmd Command, stmt *statement.Statement) (Result, error) {
	name := stmt.FleetName()
	if !stmt.Explain {
		change, ok, err := e.Ledger.Accepted(ctx, name, cmd.Operation)
		if err != nil {
			return Result{}, &ledger.RefusedError{Err: err}
		}
		if ok {
			return accepted(change, "accepted before"), nil
		}
	}
	cfg, err := e.Ledger.Load(ctx, name)
	if err != nil {
		return Result{}, &ledger.RefusedError{Err: err}
	}
	if cmd.IfRevision != 0 && cfg.Revision != cmd.IfRevision {
		return Result{}, e.revisionConflict(ctx, cmd.IfRevision, cfg)
	}
	change, err := Plan(cfg, stmt)
	if err != nil {
		return Result{}, err
	}
	if Empty(change) {
		return Result{Message: "so already", Fleet: name, Revision: cfg.Revision}, nil
	}
	if stmt.Explain {
		return e.explain(cfg, change), nil
	}
	change.Operation, change.Operator, change.Statement = cmd.Operation, cmd.Operator, cmd.Text
	change.At = time.Now().UTC()
	next, err := e.Ledger.Commit(ctx, cfg, change)
	if err != nil {
		return Result{}, err
	}
	if e.OnAccepted != nil {
		e.OnAccepted(next)
	}
	change.Revision = next.Revision
	return accepted(change, "accepted"), nil
}

// revisionConflict returns the ConflictError of a statement for an earlier revision.
func (e *Executor) revisionConflict(ctx context.Context, base fleet.Revision, cfg fleet.Config) error {
	conflict := &ledger.ConflictError{Base: base}
	changes, err := e.Ledger.History(ctx, cfg.Fleet, historyLimit)
	if err != nil {
		return &ledger.RefusedError{Err: err}
	}
	for _, change := range changes {
		if change.Revision > base {
			conflict.Since = append([]fleet.Change{change}, conflict.Since...)
		}
	}
	return conflict
}

// explain returns what a change would do per box, without applying it.
func (e *Executor) explain(cfg fleet.Config, change fleet.Change) Result {
	change.Revision = cfg.Revision + 1
	next := cfg.WithChange(change)
	table := statement.Table{Columns: []string{"box", "service", "now", "then"}}
	for _, box := range e.boxes(cfg.Fleet) {
		before, after := declaredName(cfg, box), declaredName(next, box)
		if before != after {
			table.Rows = append(table.Rows, []string{box.ID, box.Service, before, after})
		}
	}
	return Result{
		Message: fmt.Sprintf("would become revision %d; nothing was changed", change.Revision),
		Fleet:   cfg.Fleet, Revision: cfg.Revision, Table: &table,
	}
}

func (e *Executor) boxes(fleetName string) []BoxReport {
	if e.Reporter == nil || fleetName != e.Fleet {
		return nil
	}
	return e.Reporter.Boxes()
}

func accepted(change fleet.Change, message string) Result {
	return Result{Message: message, Fleet: change.Fleet, Revision: change.Revision, Operation: change.Operation}
}

func declaredName(cfg fleet.Config, box BoxReport) string {
	switch {
	case cfg.Stopped[box.ID]:
		return "stopped"
	case cfg.Evacuated[box.Site]:
		return "evacuated"
	}
	version, ok := cfg.Declared(box.Service)
	if !ok {
		return "-"
	}
	return version.Name
}
