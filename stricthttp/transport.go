package stricthttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

const (
	// maxInterim is how many interim responses may come before the final one.
	maxInterim = 16
	// maxHeadBytes bounds the head that the transport of NewClient holds of a response.
	maxHeadBytes = 64 << 10
)

// Transport makes requests and returns only responses whose heads are valid.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that makes its requests with base, whose connections become a *Conn each.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
	return &Transport{Transport: base}
}

// NewClient returns a client with the settings of http.DefaultTransport, but for a bound on the heads of responses.
func NewClient() *http.Client {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{Proxy: http.ProxyFromEnvironment}
	}
	base = base.Clone()
	base.MaxResponseHeaderBytes = maxHeadBytes
	return &http.Client{Transport: NewTransport(base)}
}

// RoundTrip makes one request. The error may be an *InvalidHeadError: the request may have run then, whatever the response says.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var current atomic.Pointer[Conn]
	interim := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*Conn)
			if !ok {
				return
			}
			c.beginRequest()
			current.Store(c)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			// The connection knows the errors of its own writes.
			if c := current.Load(); c != nil && info.Err == nil {
				c.endRequest()
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return &InvalidHeadError{Reason: "too many interim responses"}
			}
			return checkFields(http.Header(header))
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		// A response without content has left its connection for further requests already.
		if c := current.Load(); c != nil {
			_ = c.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
