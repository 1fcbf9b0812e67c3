package dynamo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/store"
)

const liveListTimeout = 2 * time.Second

// LiveList reads the platform's list of live and leaving boxes, which is eventually consistent.
type LiveList struct {
	// URL returns the list as a JSON array of members.
	URL string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// Members returns the current list.
func (l *LiveList) Members(ctx context.Context) ([]membership.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, liveListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL, nil)
	if err != nil {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: err}
	}
	client := l.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: fmt.Errorf("status %s", resp.Status)}
	}
	var members []membership.Member
	if err := json.NewDecoder(resp.Body).Decode(&members); err != nil {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: err}
	}
	return members, nil
}
