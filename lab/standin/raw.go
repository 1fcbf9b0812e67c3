package standin

import (
	"fmt"
	"net/http"
)

// NotRunField is the header field of a response to a request that a server did not run.
const NotRunField = "X-Not-Run: 1"

// ResponseFields returns the header fields that each response to a request with an ID has.
func ResponseFields(server, id string) []string {
	return []string{"X-Request-Id: " + id, "X-Server-Seal: " + Seal(server, id, http.StatusOK)}
}

// RequestID returns the ID of a request.
func RequestID(r *http.Request) string { return r.Header.Get("X-Request-Id") }

// RawHealth returns the raw response of a server to a health check.
func RawHealth(server string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", server)
}

// SetRequestHeaders sets the headers of a caller's request.
func (r Request) SetRequestHeaders(header http.Header) {
	header.Set("X-Request-Id", r.ID)
	header.Set("X-Deadline-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	if r.Key != "" {
		header.Set("X-Key", r.Key)
	}
}
