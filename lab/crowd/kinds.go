package crowd

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/coralstair/coralstair/link"
)

const (
	// partBytes is the length of most parts of what has no end.
	partBytes = 1 << 10
	// longHeaderBytes exceeds what servers usually accept, allowedHeaderBytes does not.
	longHeaderBytes    = 66 << 10
	allowedHeaderBytes = 14 << 10
	// messageBytes is how much is sent of a message without its end.
	messageBytes = 512 << 10
	// longNameBytes is the length of a name that a daemon keeps while its link is open.
	longNameBytes = 256 << 10
	// openStreams is how many requests an HTTP/2 client starts on a connection.
	openStreams = 100
)

// Requests are the requests of a crowd of HTTP clients. Path is a path that the server serves, AheadPath one for requests that are sent
// before the previous ones are answered. Fields are header lines.
type Requests struct {
	Host, Path, AheadPath string
	Fields                string
}

// RequestsAhead is the name of the kind that sends requests without reading the responses.
const RequestsAhead = "requests ahead and responses unread"

// Kinds returns the kinds of clients by name.
func (r Requests) Kinds() map[string]Kind {
	head := func(method, path string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n" + r.Fields
	}
	get, post := head("GET", r.Path), head("POST", r.Path)
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Kind{
		"nothing":                           {},
		"request line without end":          {Start: "GET /", Next: repeat("x")},
		"empty lines without end":           {Next: repeat("\r\n")},
		"header in short lines":             {Start: get, Next: shortLine, Bytes: longHeaderBytes},
		"header lines without end":          {Start: get, Next: shortLine},
		"header line without end":           {Start: get + "Field: ", Next: repeat("x")},
		"body that does not come":           {Start: post + "Content-Length: 65536\r\n\r\n"},
		"header in short lines and no body": {Start: post + "Content-Length: 10\r\n" + shortLines(allowedHeaderBytes) + "\r\n"},
		"body without end":                  {Start: chunked, Next: repeat("400\r\n" + strings.Repeat("x", 0x400) + "\r\n")},
		"chunk extension without end":       {Start: chunked + "1;", Next: repeat("x")},
		"trailers without end":              {Start: chunked + "1\r\nx\r\n0\r\n", Next: shortLine},
		RequestsAhead:                       {Next: repeat(head("GET", r.AheadPath) + "\r\n"), Unread: true},
	}
}

// Link returns the kinds of clients of a daemon that accepts links, beyond those of its HTTP server.
func Link() map[string]Kind {
	upgrade := "GET " + link.Path + " HTTP/1.1\r\nHost: link\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	hello, err := link.Encode(&link.Hello{ID: strings.Repeat("x", longNameBytes), Role: link.RoleEntry})
	if err != nil {
		panic(err)
	}
	return map[string]Kind{
		"link without a greeting":         {Start: upgrade},
		"link with a message without end": {Start: upgrade + messageHeader(link.MaxFrame-1), Next: repeat("x"), Bytes: messageBytes},
		"link with a long name":           {Start: upgrade + messageHeader(len(hello)) + string(hello)},
		"link with pings and no greeting": {Start: upgrade, Next: repeat(pingFrame), Unread: true},
	}
}

// HTTP2 returns the kinds of clients of a server that accepts HTTP/2 without TLS. Requests are POSTs to a path with a bearer token.
func HTTP2(path, token string) map[string]Kind {
	const (
		preface                              = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
		headersFrame, settings, continuation = 1, 4, 9
		endHeaders                           = 4
		// The indexes of ":method: POST" and ":scheme: http" in HPACK's static table, with the bit of an indexed field.
		methodPost, schemeHTTP = "\x83", "\x86"
	)
	start := preface + frame(settings, 0, 0, "")
	request := methodPost + schemeHTTP + field(":authority", "entry") + field(":path", path) + field("authorization", "Bearer "+token)
	var streams strings.Builder
	for n := range openStreams {
		streams.WriteString(frame(headersFrame, endHeaders, uint32(2*n+1), request))
	}
	return map[string]Kind{
		"HTTP/2 header without end":            {Start: start + frame(headersFrame, 0, 1, request), Next: func(n int) string { return frame(continuation, 0, 1, field(name(n), "")) }},
		"HTTP/2 requests without their bodies": {Start: start + streams.String()},
	}
}

// repeat returns parts that repeat a text.
func repeat(text string) func(int) string {
	part := strings.Repeat(text, max(1, partBytes/len(text)))
	return func(int) string { return part }
}

// name returns the n-th of many distinct names of header fields.
func name(n int) string { return "a" + strconv.FormatInt(int64(n), 36) }

// shortLine returns the n-th of many distinct header lines without a value.
func shortLine(n int) string { return name(n) + ":\r\n" }

// shortLines returns header lines of about that many bytes.
func shortLines(bytes int) string {
	var lines strings.Builder
	for n := 0; lines.Len() < bytes; n++ {
		lines.WriteString(shortLine(n))
	}
	return lines.String()
}

// pingFrame is a WebSocket ping with a mask of zeros.
const pingFrame = "\x89\x80\x00\x00\x00\x00"

// messageHeader returns the header of a binary WebSocket message of a length, with a mask of zeros.
func messageHeader(length int) string {
	header := binary.BigEndian.AppendUint64([]byte{0x82, 0xff}, uint64(length))
	return string(append(header, 0, 0, 0, 0))
}

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	n := len(payload)
	header := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags}
	return string(binary.BigEndian.AppendUint32(header, stream)) + payload
}

// field returns a header field in HPACK's literal form; name and value are shorter than 127 bytes.
func field(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}
