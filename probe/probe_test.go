package probe

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestRefuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if Refuses(address) {
		t.Error("an open port refuses the connection")
	}
	_ = listener.Close()
	if !Refuses(address) {
		t.Error("a closed port does not refuse the connection")
	}
	if Refuses("no address") {
		t.Error("an invalid address refuses the connection")
	}
}

// TestEndedByExit checks that only a response without a length or chunks whose server has exited counts as ended by the exit.
func TestEndedByExit(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		exits    bool
		want     bool
	}{
		"no length, server exits": {"HTTP/1.1 200 OK\r\n\r\nhello", true, true},
		"no length, server lives": {"HTTP/1.1 200 OK\r\n\r\nhello", false, false},
		"length, server exits":    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true, false},
		"chunks, server exits":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, false},
		"no body, server exits":   {"HTTP/1.1 204 No Content\r\n\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			if test.exits {
				_ = listener.Close()
			}
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(test.response)), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if got := EndedByExit(resp, listener.Addr().String()); got != test.want {
				t.Errorf("ended by exit: %t", got)
			}
		})
	}
}
