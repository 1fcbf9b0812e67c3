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
	"github.com/coralstair/coralstair/stricthttp"
)

const (
	maxResponseBytes = 64 << 20
	callTimeout      = 15 * time.Second
)

var defaultClient = stricthttp.NewClient()

// Client sends each statement to its entries in order until one responds.
type Client struct {
	// Entries are base URLs, such as http://10.0.0.1:7300.
	Entries []string
	Key     string
	HTTP    *http.Client
}

// NoEntryError reports that no entry responded.
type NoEntryError struct{ Err error }

// Error returns the error of each entry.
func (e *NoEntryError) Error() string { return fmt.Sprintf("no entry answered: %v", e.Err) }

// Unwrap returns the joined errors.
func (e *NoEntryError) Unwrap() error { return e.Err }

// Do executes a statement. All entries get the same operation ID, so that it is executed only once.
// An error of type problem.Problem is the response of an entry.
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
		var p problem.Problem
		if err == nil || errors.As(err, &p) {
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
		client = defaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return operate.Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return operate.Result{}, err
	}
	return decode(resp, respBody)
}

func decode(resp *http.Response, body []byte) (operate.Result, error) {
	if resp.StatusCode != http.StatusOK {
		var p problem.Problem
		if err := json.Unmarshal(body, &p); err != nil || p.Status == 0 {
			return operate.Result{}, fmt.Errorf("status %s", resp.Status)
		}
		return operate.Result{}, p
	}
	var result operate.Result
	if err := json.Unmarshal(body, &result); err != nil {
		return operate.Result{}, err
	}
	return result, nil
}
