package fill

import (
	"context"
	"fmt"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/pushback"
)

// State is what the server on this machine reports.
type State struct {
	Loaded map[string]contract.Version
	// Busy says that an order is in progress; Seq counts the orders accepted.
	Busy bool
	Seq  int64
	// Born is when the server started, in Unix milliseconds by its clock; 0 where it is not reported.
	Born    int64
	Waiting int
	Running int
	// PinnedTokens is the memory that cannot be reclaimed, in tokens.
	PinnedTokens int
	// Slowdown is the factor by which the server is slower than usual.
	Slowdown float64
	// ColdLeft is how much longer the server stays cold; 0 if it is not, or does not report it.
	ColdLeft time.Duration
	// Pushback is what the server asks of its callers.
	Pushback pushback.Signal
}

// Order tells the server to load a staged version, provided that its count of accepted orders still is Seq and that its id is Server.
type Order struct {
	Model   string
	Version contract.Version
	Seq     int64
	Server  string
}

// Engine is the server on this machine. ReadPiece returns a NotHeldError for a piece that is not staged.
type Engine interface {
	State(ctx context.Context) (State, error)
	StagePiece(ctx context.Context, model string, piece int, data []byte) error
	ReadPiece(ctx context.Context, model string, piece int) ([]byte, error)
	StagedPieces(ctx context.Context, model string) ([]int, error)
	// StartLoad sends an order; a RefusedError or an OtherServerError means that it was not accepted, any other error leaves that open.
	StartLoad(ctx context.Context, order Order) error
}

// Origin serves weights at an address; version 0 asks for the newest manifest.
type Origin interface {
	Manifest(ctx context.Context, address, model string, version contract.Version) (*Manifest, error)
	Piece(ctx context.Context, address, model string, version contract.Version, piece int) ([]byte, error)
}

// NotHeldError says that a server does not hold a piece.
type NotHeldError struct{}

// Error returns a fixed text.
func (*NotHeldError) Error() string { return "the piece is not held" }

// MismatchError says that a piece does not have the digest in its manifest.
type MismatchError struct{ Piece int }

// Error names the piece.
func (e *MismatchError) Error() string { return fmt.Sprintf("piece %d: digest mismatch", e.Piece) }

// NotStagedError says that the server on this machine did not accept a piece.
type NotStagedError struct {
	Piece int
	Err   error
}

// Error names the piece.
func (e *NotStagedError) Error() string {
	return fmt.Sprintf("piece %d was not staged: %s", e.Piece, e.Err)
}

// Unwrap returns the cause.
func (e *NotStagedError) Unwrap() error { return e.Err }

// RefusedError says that a server did not accept an order.
type RefusedError struct{ Reason string }

// Error gives the reason.
func (e *RefusedError) Error() string { return "the order was refused: " + e.Reason }

// OtherServerError says that a call was meant for a server with another id.
type OtherServerError struct{}

// Error returns a fixed text.
func (*OtherServerError) Error() string { return "the server has another id" }

// SupersededError says that the origin no longer serves a version.
type SupersededError struct{}

// Error returns a fixed text.
func (*SupersededError) Error() string { return "the origin no longer serves the version" }
