package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/coralstair/coralstair/clock"
)

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// request builds the request to the server: the caller's own, plus the fields in extra.
func (a *attempt) request(extra AttemptInfo) *http.Request {
	c := a.call
	extra.TimeLeft = clock.Until(c.deadline) - responseMargin
	extra.Server = a.choice.server.ID
	extra.Team = c.teamName()
	extra.Priority = a.priority
	header := c.r.Header.Clone()
	dropHopHeaders(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	c.entry.cfg.Wire.SetRequestHeaders(header, extra)
	ctx, host := a.ctx, a.choice.server.Address
	if pool := a.choice.pool; pool.host != "" {
		ctx, host = context.WithValue(ctx, connPoolKey{}, pool), pool.host
	}
	req := &http.Request{
		Method: c.r.Method, URL: target(c.r, host), Host: c.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	setBody(req, c.body, c.r.ContentLength)
	ctx, stop := context.WithCancelCause(ctx)
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.gotConn(info, stop) }}))
}

// gotConn records the connection that the request uses. A request that can't be repeated gets no connection that its server may be about
// to close. If some of the request was written to an earlier connection, net/http is about to send it again: stop ends that before
// anything is written, since the entry alone decides what is sent how often.
func (a *attempt) gotConn(info httptrace.GotConnInfo, stop context.CancelCauseFunc) {
	c := serverConn(info)
	if c == nil {
		return
	}
	if a.conn != nil && !a.conn.cutUnlessWritten(a.writtenBefore) {
		c.discard()
		stop(&ConnectionLostError{Server: a.choice.server.ID})
		return
	}
	a.connDiscarded = info.WasIdle && !a.call.route.Repeatable() && c.discardIfIdle(info.IdleTime)
	if a.connDiscarded {
		return
	}
	a.conn = c
	if info.WasIdle {
		a.connIdle = info.IdleTime
	}
	a.writtenBefore = c.beginRequest()
	a.inFlight.setConnectedAt(c.opened)
}

// setBody sets the request's body; declared is the caller's Content-Length.
func setBody(req *http.Request, body []byte, declared int64) {
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	if len(body) > 0 {
		return
	}
	// With an unknown length net/http sends no empty body.
	req.ContentLength = -1
	if declared == 0 && methodHasBody(req.Method) {
		req.Body, req.ContentLength = http.NoBody, 0
	}
}

// methodHasBody reports whether net/http sends Content-Length: 0 for the method.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// target returns the request's URL at a host, with path and query exactly as the caller wrote them.
func target(r *http.Request, host string) *url.URL {
	if strings.HasPrefix(r.RequestURI, "/") && !strings.HasPrefix(r.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: host, Opaque: r.RequestURI}
	}
	u := *r.URL
	u.Scheme, u.Host = "http", host
	return &u
}

// dropHopHeaders removes hop-by-hop headers and those that Connection names.
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
