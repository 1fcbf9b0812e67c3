package discovery

import (
	"context"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

// Cursor is a position in the store's history, valid in one epoch of the store.
type Cursor struct {
	Epoch    store.Epoch
	Position int64
}

// Declared is the configuration and the targets that operators declared, in full or only what changed.
type Declared struct {
	// Config is nil if it did not change.
	Config  *contract.Config
	Targets []contract.Target
	// NotBefore holds the times before which targets were not named; those of which nothing is known are missing.
	NotBefore map[contract.Target]store.Time
	// Evacuated maps sites to whether they are evacuated; a site that is missing in a full read is not.
	Evacuated map[string]bool
	// EvacuatedNotBefore holds the times before which sites were not evacuated; those of which nothing is known are missing.
	EvacuatedNotBefore map[string]store.Time
	// Errors are the errors of rows that could not be decoded.
	Errors []error
	Cursor Cursor
	// Size is the length of the store's response in bytes, 0 if unknown.
	Size int
}

// Servers is the list of servers, in full or only what changed.
type Servers struct {
	// Present holds the listed servers in the order in which their entries were written.
	Present []contract.Server
	// Removed holds the IDs of servers that are no longer listed.
	Removed []string
	// Unreadable holds the IDs of entries that are of a foreign writer or cannot be decoded; their servers are not used.
	Unreadable []string
	Errors     []error
	Cursor     Cursor
	// Partial marks a part of the list; the full list has yet to be read.
	Partial bool
}

// Source is the platform's store as a view reads it. The calls with a cursor are long polls that return at the first change, or after
// wait; a HistoryGoneError means that a full read is needed.
type Source interface {
	Declared(ctx context.Context) (Declared, error)
	DeclaredAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Declared, error)
	Servers(ctx context.Context) (Servers, error)
	ServersAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Servers, error)
}

// HistoryGoneError reports that the store no longer has the history after a cursor, or was restored from a backup since.
type HistoryGoneError struct{}

// Error returns the message.
func (*HistoryGoneError) Error() string { return "the store's history after this cursor is gone" }
