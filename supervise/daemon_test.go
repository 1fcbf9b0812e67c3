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

// What callers would see: in a planned stop of an entry the last answers do not arrive. The order of events: the handlers of
// the last requests are done, so that the entry has left and its daemon ends; the HTTP server sends what handlers wrote only
// once they have returned, and is closed at that moment. The cause: connections are closed that still have an answer to send.

// TestLastAnswersArrive proves that a daemon which ends once its handlers are done has sent their answers.
func TestLastAnswersArrive(t *testing.T) {
	const rounds, callers = 40, 16
	lost := 0
	for range rounds {
		lost += lostAnswers(t, callers)
	}
	if lost > 0 {
		t.Errorf("%d of %d answers lost", lost, rounds*callers)
	}
}

// lostAnswers ends a daemon as soon as its handlers are done, and counts the answers that did not arrive.
func lostAnswers(t *testing.T, callers int) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var arrived, active sync.WaitGroup
	arrived.Add(callers)
	active.Add(callers)
	answer := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer active.Done()
		arrived.Done()
		<-answer
		_, _ = io.WriteString(w, "hello")
	})
	ctx, cancel := context.WithCancel(t.Context())
	daemon := &Daemon{
		Name: "test", Log: &log.Logger{Handler: discard.Default}, Listener: listener,
		Server: &http.Server{Handler: handler},
	}
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	var asking sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for range callers {
		asking.Go(func() {
			if !answered("http://" + listener.Addr().String()) {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
	}
	arrived.Wait()
	close(answer)
	active.Wait()
	cancel()
	asking.Wait()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	return lost
}

func answered(url string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.Body.Close() == nil && string(body) == "hello"
}
