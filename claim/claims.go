package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/coralstair/coralstair/store"
)

// MaxResponseBytes is the longest response body, in bytes, that is stored for later requests with the same key.
const MaxResponseBytes = 64 << 10

// DeadlineGrace is how long after its deadline a claim without a result counts as in progress.
const DeadlineGrace = 5 * time.Second

// Table is the subset of the platform's table service that claims use.
type Table interface {
	Get(ctx context.Context, key store.Key) (row store.Row, ok bool, err error)
	Put(ctx context.Context, put store.Put) error
}

// Status is the state of a claimed request.
type Status int64

// The numbers of the statuses are stored and must not change.
const (
	// StatusClaimed means that the request is claimed and may have been forwarded.
	StatusClaimed Status = iota + 1
	// StatusDone means that it ran and its response is stored.
	StatusDone
	// StatusNotRun means that it did not run and may be claimed again.
	StatusNotRun
	// StatusUnknown means that it is not known whether it ran.
	StatusUnknown
)

// Claim is the stored record of one non-idempotent request.
type Claim struct {
	// Claimant is a unique ID for each attempt to claim.
	Claimant string    `cbor:"1,keyasint"`
	BodyHash string    `cbor:"2,keyasint"`
	Deadline time.Time `cbor:"3,keyasint"`
	Response *Response `cbor:"4,keyasint,omitempty"`
}

// Response is the stored first response, replayed to later requests with the same key.
type Response struct {
	Status  int                 `cbor:"1,keyasint"`
	Header  map[string][]string `cbor:"2,keyasint,omitempty"`
	Body    []byte              `cbor:"3,keyasint,omitempty"`
	Box     string              `cbor:"4,keyasint,omitempty"`
	Version string              `cbor:"5,keyasint,omitempty"`
	// Truncated says that the body was too long to be stored.
	Truncated bool `cbor:"6,keyasint,omitempty"`
}

// ClaimedError says that a request is already claimed.
type ClaimedError struct {
	Status Status
	Claim  Claim
}

// Error returns a message with the status.
func (e *ClaimedError) Error() string { return fmt.Sprintf("claimed before, status %d", e.Status) }

// MismatchError says that the key was used before with a different request.
type MismatchError struct{}

// Error returns a fixed message.
func (*MismatchError) Error() string { return "the same key came before with another request" }

// UnavailableError says that the claim could not be stored, so the request was not run.
type UnavailableError struct{ Err error }

// Error returns a message with the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no claim could be made: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Claims stores claims and their results.
type Claims struct {
	Table Table
}

// Acquire claims a team's key. A nil error means that only this attempt may run the request.
func (c *Claims) Acquire(ctx context.Context, team, key string, claim Claim) error {
	row, err := rowOf(team, key, StatusClaimed, claim)
	if err != nil {
		return &UnavailableError{Err: err}
	}
	err = c.Table.Put(ctx, store.Put{Row: row, Condition: store.IfAbsent})
	if err == nil {
		return nil
	}
	status, existing, ok, readErr := c.read(ctx, row.Key)
	switch {
	case readErr != nil || !ok:
		return &UnavailableError{Err: errors.Join(err, readErr)}
	case existing.Claimant == claim.Claimant:
		return nil
	case existing.BodyHash != claim.BodyHash:
		return &MismatchError{}
	case status == StatusNotRun:
		return c.reacquire(ctx, row, claim)
	case status == StatusClaimed && time.Now().After(existing.Deadline.Add(DeadlineGrace)):
		return &ClaimedError{Status: StatusUnknown, Claim: existing}
	default:
		return &ClaimedError{Status: status, Claim: existing}
	}
}

// Settle stores the result of a claimed request.
func (c *Claims) Settle(ctx context.Context, team, key string, status Status, claim Claim) error {
	row, err := rowOf(team, key, status, claim)
	if err != nil {
		return err
	}
	return c.Table.Put(ctx, store.Put{Row: row, Condition: store.IfNumber, Number: int64(StatusClaimed)})
}

func (c *Claims) read(ctx context.Context, key store.Key) (status Status, claim Claim, ok bool, err error) {
	row, ok, err := c.Table.Get(ctx, key)
	if err != nil || !ok {
		return 0, Claim{}, false, err
	}
	if err := cbor.Unmarshal(row.Body, &claim); err != nil {
		return 0, Claim{}, false, err
	}
	return Status(row.Number), claim, true, nil
}

// reacquire claims a request that did not run before; one of several concurrent attempts succeeds.
func (c *Claims) reacquire(ctx context.Context, row store.Row, claim Claim) error {
	err := c.Table.Put(ctx, store.Put{Row: row, Condition: store.IfNumber, Number: int64(StatusNotRun)})
	if err == nil {
		return nil
	}
	status, existing, ok, readErr := c.read(ctx, row.Key)
	if readErr != nil || !ok {
		return &UnavailableError{Err: errors.Join(err, readErr)}
	}
	if existing.Claimant == claim.Claimant && status == StatusClaimed {
		return nil
	}
	return &ClaimedError{Status: status, Claim: existing}
}

func rowOf(team, key string, status Status, claim Claim) (store.Row, error) {
	body, err := cbor.Marshal(claim)
	if err != nil {
		return store.Row{}, err
	}
	return store.Row{
		Key:    store.Key{Partition: "claims#" + team, Sort: key},
		Number: int64(status), Body: body,
	}, nil
}
