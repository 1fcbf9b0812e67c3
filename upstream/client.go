package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/stricthttp"
)

// Paths of an engine's control interface.
const (
	PathOrders = "/control/orders"
	PathState  = "/control/state"
)

const controlTimeout = 3 * time.Second

var defaultClient = stricthttp.NewClient()

// Client calls one upstream.
type Client struct {
	// URL is the upstream's base URL, without a trailing slash.
	URL string
	// HTTP makes the calls; nil means stricthttp.NewClient().
	HTTP *http.Client
}

// Do sends a caller's request to the upstream, once: net/http would send it again when a kept connection fails, as the caller's method,
// body and headers let it, or where the response redirects it. An UnsentError means that the upstream did not receive it.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	ctx, stop := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if sent.Load() {
				_ = info.Conn.Close()
				stop(&ConnectionLostError{})
			}
		},
		WroteHeaders: func() { sent.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	req.Header = header.Clone()
	client := *c.client()
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if !sent.Load() {
		return nil, &UnsentError{Err: err}
	}
	return nil, &CallError{Call: method + " " + path, Err: err}
}

// Order sends an engine an order; any error but a StaleFenceError leaves open whether it was accepted.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &CallError{Call: "order", Err: err}
	}
	status, _, err := c.control(ctx, http.MethodPost, PathOrders, body)
	switch {
	case err != nil:
		return &CallError{Call: "order", Err: err}
	case status == http.StatusConflict:
		return &StaleFenceError{Sent: order.Fence}
	case status/100 != http.StatusOK/100:
		return &CallError{Call: "order", Err: &StatusError{Status: status}}
	default:
		return nil
	}
}

// State reads an engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	status, body, err := c.control(ctx, http.MethodGet, PathState, nil)
	if err != nil {
		return State{}, &CallError{Call: "state", Err: err}
	}
	if status != http.StatusOK {
		return State{}, &CallError{Call: "state", Err: &StatusError{Status: status}}
	}
	var state State
	if err := json.Unmarshal(body, &state); err != nil {
		return State{}, &CallError{Call: "state", Err: err}
	}
	return state, nil
}

// Reachable reports whether the upstream answers at all.
func (c *Client) Reachable(ctx context.Context) bool {
	_, _, err := c.control(ctx, http.MethodGet, "/healthz", nil)
	return err == nil
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return defaultClient
	}
	return c.HTTP
}

func (c *Client) control(ctx context.Context, method, path string, body []byte) (status int, respBody []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client().Do(req)
	if err != nil {
		return 0, nil, err
	}
	respBody, err = io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	return resp.StatusCode, respBody, errors.Join(err, resp.Body.Close())
}

const maxControlBytes = 1 << 20

// unforwardedHeaders are not forwarded: hop-by-hop headers, the caller's key and the length.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

// EndToEndHeader returns a copy of the header without hop-by-hop fields, the caller's key and the length.
func EndToEndHeader(header http.Header) http.Header {
	clean := header.Clone()
	for _, field := range clean.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			clean.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		clean.Del(name)
	}
	return clean
}

// IsStream reports whether a response with this header is a stream of events.
func IsStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}
