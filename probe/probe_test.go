package probe

import (
	"net"
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
