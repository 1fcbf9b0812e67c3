package supervise

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// TestLastAnswersArrive checks that a daemon which stops as soon as its handlers return still sends their buffered
// responses before it closes connections.
func TestLastAnswersArrive(t *testing.T) {
	const rounds, callers = 40, 16
	lost := 0
	for range rounds {
		lost += countLostResponses(t, callers)
	}
	if lost > 0 {
		t.Errorf("%d of %d responses lost", lost, rounds*callers)
	}
}

// countLostResponses stops a daemon as soon as its handlers are done and returns the number of responses that did not arrive.
func countLostResponses(t *testing.T, callers int) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var arrived, active sync.WaitGroup
	arrived.Add(callers)
	active.Add(callers)
	respond := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer active.Done()
		arrived.Done()
		<-respond
		_, _ = io.WriteString(w, "hello")
	})
	ctx, cancel := context.WithCancel(t.Context())
	daemon := &Daemon{
		Name: "test", Log: &log.Logger{Handler: discard.Default}, Listener: listener,
		Server: &http.Server{Handler: handler},
	}
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for range callers {
		clients.Go(func() {
			if !receivesResponse("http://" + listener.Addr().String()) {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
	}
	arrived.Wait()
	close(respond)
	active.Wait()
	cancel()
	clients.Wait()
	if err := <-done; err != nil {
		t.Error(err)
	}
	return lost
}

func receivesResponse(url string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.Body.Close() == nil && string(body) == "hello"
}
