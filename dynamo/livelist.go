package dynamo

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/store"
	"github.com/coralstair/coralstair/stricthttp"
)

const (
	liveListTimeout = 2 * time.Second
	// maxListBytes bounds the list: some 10,000 members have 4 MB.
	maxListBytes = 16 << 20
	// maxMemberID is the longest id of a member, in bytes.
	maxMemberID = 1 << 10
)

var (
	defaultClient  = stricthttp.NewClient()
	skippedEntries = metrics.NewCounter("coralstair_list_entries_skipped_total")
	errNotArray    = errors.New("response is not a JSON array")
)

// LiveList reads the platform's list of live and leaving boxes, which is eventually consistent.
type LiveList struct {
	// URL returns the list as a JSON array of members.
	URL string
	// Client sends the requests; nil means stricthttp.NewClient().
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
		client = defaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: fmt.Errorf("status %s", resp.Status)}
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: err}
	}
	members, err := decodeMembers(text)
	if err != nil {
		return nil, &store.UnavailableError{Service: "live list", Call: "get", Err: err}
	}
	return members, nil
}

// decodeMembers decodes a list and skips entries that are not members, which other writers may have left there.
func decodeMembers(text []byte) ([]membership.Member, error) {
	var members []membership.Member
	if json.Unmarshal(text, &members) == nil && members != nil && !slices.ContainsFunc(members, isInvalid) {
		return members, nil
	}
	return decodeValid(text)
}

// decodeValid decodes the valid entries of a list one by one.
func decodeValid(text []byte) ([]membership.Member, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if start, err := dec.Token(); err != nil || start != json.Delim('[') {
		return nil, cmp.Or(err, errNotArray)
	}
	var members []membership.Member
	for dec.More() {
		entry, err := readEntry(dec)
		if err != nil {
			return nil, err
		}
		if member, err := parseMember(entry); err == nil && !isInvalid(member) {
			members = append(members, member)
		} else {
			skippedEntries.Inc()
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, cmp.Or(err, errNotArray)
	}
	return members, nil
}

// readEntry reads the next entry of a list and returns the fields of an object without nested values; nil for anything else. It reads token
// by token, since decoding a value that is nested too deeply would end the whole list.
func readEntry(dec *json.Decoder) (map[string]any, error) {
	start, err := dec.Token()
	if err != nil {
		return nil, err
	}
	if start != json.Delim('{') {
		return nil, skipNested(dec, start)
	}
	fields := make(map[string]any)
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		value, err := dec.Token()
		if err != nil {
			return nil, err
		}
		if _, nested := value.(json.Delim); nested {
			if err := skipNested(dec, value); err != nil {
				return nil, err
			}
			value = json.RawMessage("[]")
		}
		fields[fmt.Sprint(name)] = value
	}
	_, err = dec.Token()
	return fields, err
}

// skipNested reads the rest of a value that begins with a token.
func skipNested(dec *json.Decoder, start json.Token) error {
	for depth := 0; ; {
		switch start {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if start, err = dec.Token(); err != nil {
			return err
		}
	}
}

// parseMember returns the member that the fields of an entry describe.
func parseMember(fields map[string]any) (member membership.Member, err error) {
	text, err := json.Marshal(fields)
	if err != nil {
		return membership.Member{}, err
	}
	return member, json.Unmarshal(text, &member)
}

// isInvalid reports whether a member has no valid id, or no host and port that can be dialled.
func isInvalid(member membership.Member) bool {
	if member.ID == "" || len(member.ID) > maxMemberID {
		return true
	}
	host, port, err := net.SplitHostPort(member.Address)
	if err != nil || host == "" {
		return true
	}
	n, err := strconv.ParseUint(port, 10, 16)
	_, hostErr := url.Parse("http://" + member.Address)
	return err != nil || n == 0 || hostErr != nil
}
