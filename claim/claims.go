package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/coralstair/coralstair/store"
)

// MaxAnswer is the longest answer that is kept for a second arrival, in bytes.
const MaxAnswer = 64 << 10

// Grace is how long after its deadline a claim without an answer counts as in progress.
const Grace = 5 * time.Second

// Table is the part of the platform's table service that claims use.
type Table interface {
	Get(ctx context.Context, key store.Key) (row store.Row, ok bool, err error)
	Put(ctx context.Context, put store.Put) error
}

// Status is what is known of a claimed request.
type Status int64

// The statuses of a claim; their numbers are stored.
const (
	// StatusClaimed means that the request was, or may have been, handed on.
	StatusClaimed Status = iota + 1
	// StatusDone means that it ran and that its answer is kept.
	StatusDone
	// StatusNotRun means that it certainly did not run and may be claimed again.
	StatusNotRun
	// StatusUnknown means that it may have run.
	StatusUnknown
)

// Claim is the record of one request that must not be repeated.
type Claim struct {
	// Claimant tells this attempt from any other.
	Claimant string    `cbor:"1,keyasint"`
	BodyHash string    `cbor:"2,keyasint"`
	Deadline time.Time `cbor:"3,keyasint"`
	Answer   *Answer   `cbor:"4,keyasint,omitempty"`
}

// Answer is the first answer, kept for later arrivals.
type Answer struct {
	Status  int                 `cbor:"1,keyasint"`
	Header  map[string][]string `cbor:"2,keyasint,omitempty"`
	Body    []byte              `cbor:"3,keyasint,omitempty"`
	Box     string              `cbor:"4,keyasint,omitempty"`
	Version string              `cbor:"5,keyasint,omitempty"`
	// Cut says that the body was too long to be kept.
	Cut bool `cbor:"6,keyasint,omitempty"`
}

// HeldError says that a request was claimed before.
type HeldError struct {
	Status Status
	Claim  Claim
}

// Error tells the status.
func (e *HeldError) Error() string { return fmt.Sprintf("claimed before, status %d", e.Status) }

// MismatchError says that the same key came with another request.
type MismatchError struct{}

// Error says so.
func (*MismatchError) Error() string { return "the same key came before with another request" }

// UnavailableError says that no claim could be made, so that nothing was run.
type UnavailableError struct{ Err error }

// Error gives the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no claim could be made: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Claims makes and settles claims.
type Claims struct {
	Table Table
}

// Take makes a claim for a team's key. A nil error means that this attempt, and no other, may run the request.
func (c *Claims) Take(ctx context.Context, team, key string, claim Claim) error {
	row, err := rowOf(team, key, StatusClaimed, claim)
	if err != nil {
		return &UnavailableError{Err: err}
	}
	err = c.Table.Put(ctx, store.Put{Row: row, Condition: store.IfAbsent})
	if err == nil {
		return nil
	}
	status, held, ok, readErr := c.read(ctx, row.Key)
	switch {
	case readErr != nil || !ok:
		return &UnavailableError{Err: errors.Join(err, readErr)}
	case held.Claimant == claim.Claimant:
		return nil
	case held.BodyHash != claim.BodyHash:
		return &MismatchError{}
	case status == StatusNotRun:
		return c.retake(ctx, row, claim)
	case status == StatusClaimed && time.Now().After(held.Deadline.Add(Grace)):
		return &HeldError{Status: StatusUnknown, Claim: held}
	default:
		return &HeldError{Status: status, Claim: held}
	}
}

// Settle records what became of a claimed request.
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

// retake claims a request again that certainly did not run; of several attempts one wins.
func (c *Claims) retake(ctx context.Context, row store.Row, claim Claim) error {
	err := c.Table.Put(ctx, store.Put{Row: row, Condition: store.IfNumber, Number: int64(StatusNotRun)})
	if err == nil {
		return nil
	}
	status, held, ok, readErr := c.read(ctx, row.Key)
	if readErr != nil || !ok {
		return &UnavailableError{Err: errors.Join(err, readErr)}
	}
	if held.Claimant == claim.Claimant && status == StatusClaimed {
		return nil
	}
	return &HeldError{Status: status, Claim: held}
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
