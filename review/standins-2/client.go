package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	id     string
	status int
	seal   string
	body   string
	err    error
}

// newClient returns a client that keeps its channels.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
}

// send sends one request that changes something to an entry, once.
func (r *rig) send(client *http.Client, entry, path, id string, budget time.Duration) reply {
	return r.request(client, http.MethodPost, entry, path, id, `{"slot":"north-gate"}`, budget)
}

// request sends one request to an entry, once.
func (r *rig) request(client *http.Client, method, entry, path, id, payload string, budget time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	var body io.Reader
	if payload != "" {
		// Without GetBody net/http does not send the request again by itself.
		body = io.NopCloser(strings.NewReader(payload))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	if err != nil {
		return reply{id: id, err: err}
	}
	req.ContentLength, req.Host = int64(len(payload)), host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	req.Header.Set("X-Key", apiKey)
	r.notef("sent %s", id)
	resp, err := client.Do(req)
	if err != nil {
		r.notef("answered %s: no answer: %v", id, err)
		return reply{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	received, err := io.ReadAll(resp.Body)
	got := reply{id: id, status: resp.StatusCode, seal: resp.Header.Get("X-Server-Seal"), body: string(received), err: err}
	if got.seal == "" {
		r.notef("answered %s: %d, no receipt: %.160s", id, got.status, got.body)
		return got
	}
	r.notef("answered %s: %d, %d bytes, receipt %q, err %v", id, got.status, len(received), got.seal, err)
	return got
}
