package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/coralstair/coralstair/clock"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// request builds the request to the server: the caller's own, with what the platform has the entry set.
func (a *attempt) request(extra Send) *http.Request {
	c := a.call
	extra.Left = clock.Until(c.ends) - answerMargin
	extra.Server = a.choice.server.ID
	extra.Team = c.teamName()
	extra.Priority = a.rank
	header := c.r.Header.Clone()
	dropHopHeaders(header)
	if _, told := header["User-Agent"]; !told {
		header["User-Agent"] = []string{""}
	}
	c.entry.cfg.Wire.Outgoing(header, extra)
	req := &http.Request{
		Method: c.r.Method, URL: target(c.r, a.choice.server.Address), Host: c.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	setBody(req, c.body, c.r.ContentLength)
	return req.WithContext(httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn}))
}

// gotConn notes on which connection the request leaves.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		a.conn = c
		a.before = c.begin()
		a.ticket.connectedAt(c.opened)
	}
}

// setBody sets the body of a request, of which the caller told a length.
func setBody(req *http.Request, body []byte, told int64) {
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	if len(body) > 0 {
		return
	}
	// A body of unknown length that turns out empty is not sent, and keeps net/http from sending the request again.
	req.ContentLength = -1
	if told == 0 && methodHasBody(req.Method) {
		req.Body, req.ContentLength = http.NoBody, 0
	}
}

// methodHasBody reports whether net/http sends a length of 0 for the method; it does not repeat these by itself.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// target returns the address of a request at a server; path and query stay as the caller wrote them.
func target(r *http.Request, address string) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: r.RequestURI}
	}
	u := *r.URL
	u.Scheme, u.Host = "http", address
	return &u
}

// dropHopHeaders takes out what concerns one connection only.
func dropHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
