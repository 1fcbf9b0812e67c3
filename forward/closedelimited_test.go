package forward

import (
	"net"
	"net/http"
	"testing"
)

// TestAnswersThatEndWithTheirServer guards against passing on as whole what a server that exits has written of a response without a length.
func TestAnswersThatEndWithTheirServer(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\nId: r1\nSeal: s\n\n"
		stream = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\n\n"
		event  = "id: 1\ndata: x\n\n"
	)
	for name, test := range map[string]struct {
		path, answer string
		exits        bool
	}{
		"body, server exits":                      {"/once/", head + "hello", true},
		"no body, server exits":                   {"/once/", head, true},
		"stream of one event, server exits":       {"/stream/once/", stream + event, true},
		"stream without events, server exits":     {"/stream/once/", stream, true},
		"stream that can resume, server exits":    {"/stream/", stream + event, true},
		"body, server lives":                      {"/once/", head + "hello", false},
		"no body, server lives":                   {"/once/", head, false},
		"stream of one event, server lives":       {"/stream/once/", stream + event, false},
		"stream without events, server lives":     {"/stream/once/", stream, false},
		"stream that can resume, server lives":    {"/stream/", stream + event, false},
		"stream ends in an event, server lives":   {"/stream/once/", stream + event + "id: 2\nda", false},
		"stream ends after a line, server lives":  {"/stream/once/", stream + event + "id: 2\n", false},
		"stream ends in an event, server exits":   {"/stream/once/", stream + event + "id: 2\nda", true},
		"stream ends in its first event, resumes": {"/stream/", stream + "id: 1\nda", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var server *fakeServer
			server = newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				writeRaw(conn, test.answer)
				if test.exits {
					server.end()
				}
				return false
			})
			w := newTestEnv(t, false, server.address)
			got := w.ask(http.MethodPost, test.path, "x", nil)
			whole := got.err == nil && got.status == http.StatusOK
			inEvent := test.answer[len(test.answer)-2:] != "\n\n" && test.path != "/once/"
			if whole != (!test.exits && !inEvent) {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}
