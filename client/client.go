package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/coralstair/coralstair/entry"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/operate"
	"github.com/coralstair/coralstair/problem"
)

const (
	answerLimit = 64 << 20
	callTimeout = 15 * time.Second
)

// Client sends statements to the first of its entries that answers.
type Client struct {
	// Entries are base URLs, such as http://10.0.0.1:7300.
	Entries []string
	Key     string
	HTTP    *http.Client
}

// NoEntryError says that no entry answered.
type NoEntryError struct{ Err error }

// Error gives what each entry did.
func (e *NoEntryError) Error() string { return fmt.Sprintf("no entry answered: %v", e.Err) }

// Unwrap returns the causes.
func (e *NoEntryError) Unwrap() error { return e.Err }

// Do has a statement carried out. All entries are sent the same operation's id, so that a decision is made once.
// An error that is a problem.Problem is an entry's answer.
func (c *Client) Do(ctx context.Context, text string, ifRevision fleet.Revision) (operate.Result, error) {
	body, err := json.Marshal(entry.StatementRequest{
		Statement: text, Operation: uuid.NewString(), IfRevision: ifRevision,
	})
	if err != nil {
		return operate.Result{}, err
	}
	var errs []error
	for _, base := range c.Entries {
		result, err := c.send(ctx, base, body)
		var answered problem.Problem
		if err == nil || errors.As(err, &answered) {
			return result, err
		}
		errs = append(errs, fmt.Errorf("%s: %w", base, err))
	}
	return operate.Result{}, &NoEntryError{Err: errors.Join(errs...)}
}

func (c *Client) send(ctx context.Context, base string, body []byte) (operate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return operate.Result{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return operate.Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return operate.Result{}, err
	}
	return decode(resp, answer)
}

func decode(resp *http.Response, answer []byte) (operate.Result, error) {
	if resp.StatusCode != http.StatusOK {
		var p problem.Problem
		if err := json.Unmarshal(answer, &p); err != nil || p.Status == 0 {
			return operate.Result{}, fmt.Errorf("status %s", resp.Status)
		}
		return operate.Result{}, p
	}
	var result operate.Result
	if err := json.Unmarshal(answer, &result); err != nil {
		return operate.Result{}, err
	}
	return result, nil
}
