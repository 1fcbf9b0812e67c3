package stricthttp

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest valid status code (RFC 9110, section 15).
const maxStatus = 599

// checkHead checks the head of a final response; the error is an *InvalidHeadError.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1 && resp.TLS == nil:
		return &InvalidHeadError{Reason: "version " + resp.Proto}
	case !isFinalStatus(resp):
		return &InvalidHeadError{Reason: fmt.Sprintf("status %03d", resp.StatusCode)}
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return &InvalidHeadError{Reason: "control character in the reason phrase"}
	case resp.StatusCode == http.StatusNoContent && announcesContent(resp):
		return &InvalidHeadError{Reason: "content of a response with status 204"}
	}
	return checkFields(resp.Header)
}

// isFinalStatus reports whether the status may end an exchange; 101 may only if the request asked for another protocol.
func isFinalStatus(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return resp.Request != nil && resp.Request.Header.Get("Upgrade") != ""
	}
	return resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus
}

// announcesContent reports whether the head says that content follows, whatever the status.
func announcesContent(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}

// checkFields checks the names and values of a header.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidHeadError{Reason: fmt.Sprintf("field name %q", name)}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &InvalidHeadError{Reason: "value of field " + name}
			}
		}
	}
	return nil
}

var (
	version10       = []byte("HTTP/1.0 ")
	codingFieldName = []byte("transfer-encoding:")
	lengthFieldName = []byte("content-length:")
)

// headScanner looks for faulty framing (RFC 9112, sections 6.1 and 6.3) that net/http does not report: a Transfer-Encoding field in HTTP/1.0,
// which it removes, taking the coded bytes for the content, or one beside a Content-Length field, which it removes.
type headScanner struct {
	// line is the start of the current line, and length how long the line is so far.
	line   [len("transfer-encoding:")]byte
	length int
	// inFields is set after the status line, done after the head of the final response.
	inFields, done         bool
	isVersion10, isInterim bool
	hasCoding, hasLength   bool
}

// scan reads a part of the response.
func (s *headScanner) scan(p []byte) error {
	for _, b := range p {
		if s.done {
			return nil
		}
		if b != '\n' {
			if s.length < len(s.line) {
				s.line[s.length] = b
			}
			s.length++
			continue
		}
		s.endLine()
		switch {
		case !s.done || !s.hasCoding:
		case s.isVersion10:
			return &InvalidHeadError{Reason: "transfer coding in HTTP/1.0"}
		case s.hasLength:
			return &InvalidHeadError{Reason: "transfer coding and length"}
		}
	}
	return nil
}

// endLine evaluates the current line.
func (s *headScanner) endLine() {
	start := s.line[:min(s.length, len(s.line))]
	isEmpty := s.length == 0 || s.length == 1 && start[0] == '\r'
	s.length = 0
	switch {
	case !s.inFields:
		s.inFields = true
		s.isVersion10, s.isInterim = bytes.HasPrefix(start, version10), isInterim(start)
	case isEmpty && s.isInterim:
		*s = headScanner{}
	case isEmpty:
		s.done = true
	case bytes.EqualFold(start, codingFieldName):
		s.hasCoding = true
	case len(start) >= len(lengthFieldName) && bytes.EqualFold(start[:len(lengthFieldName)], lengthFieldName):
		s.hasLength = true
	}
}

// isInterim reports whether the start of a status line is that of an interim response.
func isInterim(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return len(status) >= 3 && status[0] == '1' && string(status[:3]) != "101"
}
