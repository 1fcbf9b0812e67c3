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
		t.Error("a port at which something listens refuses")
	}
	_ = listener.Close()
	if !Refuses(address) {
		t.Error("a dead port does not refuse")
	}
	if Refuses("no address") {
		t.Error("what is no address refuses")
	}
}
