package forward

import (
	"net/http"
	"strconv"
)

// response is a server's complete, buffered response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// writeTo writes the response to the caller; last announces that the connection closes after it.
func (r *response) writeTo(w http.ResponseWriter, last bool) {
	header := w.Header()
	copyHeader(header, r.header, last)
	if r.status != http.StatusNoContent && r.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// copyHeader copies a server's header without the hop-by-hop fields.
func copyHeader(to, from http.Header, last bool) {
	from = from.Clone()
	dropHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	if last {
		to.Set("Connection", "close")
	}
}
