package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/probe"
)

const (
	// endCheckTimeout bounds the check of a response's end: its caller has all that came, and gives up after a pause of 2 s.
	endCheckTimeout = 1500 * time.Millisecond
	// endCheckPause is the pause after a check that got no answer.
	endCheckPause = 100 * time.Millisecond
)

// verifyEnd checks that a response is complete. One without a length or chunks ends with its connection, which stricthttp.Conn has checked,
// but the connection also ends when its server exits within it, and another server may listen at the address by the time the end is read. It
// is complete if the server that sent it is still there.
func (a *attempt) verifyEnd() error {
	if !probe.EndsWithConnection(a.resp) {
		return nil
	}
	err := a.checkServerLives()
	switch {
	case err == nil:
		responseEnds("complete").Inc()
	case errors.Is(err, errEndedByExit):
		responseEnds("exited").Inc()
	default:
		responseEnds("unknown").Inc()
	}
	return err
}

// checkServerLives returns errEndedByExit if the server that sent the response is gone, another error if that can't be told.
func (a *attempt) checkServerLives() error {
	server := a.choice.server
	path := a.call.entry.healthPath(server.Service)
	if path == "" {
		// Servers that can't be told apart are judged by their address.
		if probe.Refuses(server.Address) {
			return errEndedByExit
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, min(endCheckTimeout, clock.Until(a.call.deadline)))
	defer cancel()
	for {
		id, err := a.call.entry.askServerID(ctx, server.Address, path, server.ID)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED) || err == nil && id != server.ID:
			return errEndedByExit
		case err == nil:
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnverifiedEndError{Server: server.ID, Err: err}
		case <-time.After(endCheckPause):
		}
	}
}

// healthPath returns the path of a health check that names a service's server; empty if there is none.
func (e *Entry) healthPath(service string) string {
	cfg := e.cfg.View.Config()
	if cfg == nil {
		return ""
	}
	if s := cfg.Service(service); s != nil {
		return s.HealthPath
	}
	return ""
}

// askServerID returns the id of the server that listens at an address; it is expected to be the one given.
func (e *Entry) askServerID(ctx context.Context, address, path, expected string) (string, error) {
	req := (&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: path}, Header: make(http.Header),
	}).WithContext(ctx)
	e.cfg.Wire.SetHealthHeaders(req.Header, expected)
	resp, err := e.oneShotTransport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, connBuffer))
	if err := resp.Body.Close(); err != nil {
		return "", err
	}
	id := e.cfg.Wire.ParseHealth(resp)
	if id == "" && resp.StatusCode != http.StatusMisdirectedRequest {
		return "", &InvalidResponseError{Reason: "health check without a server id: " + resp.Status}
	}
	return id, nil
}
