package forward

import (
	"net/http"
	"strconv"
)

// answer is a server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes the answer on as it is; last says that the connection closes after it.
func (a *answer) deliver(w http.ResponseWriter, last bool) {
	header := w.Header()
	copyHead(header, a.header, last)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// copyHead copies a server's header without what concerns its connection.
func copyHead(to, from http.Header, last bool) {
	from = from.Clone()
	dropHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	if last {
		to.Set("Connection", "close")
	}
}
