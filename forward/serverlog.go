package forward

import (
	"errors"
	stdlog "log"
	"net/http"
	"strings"
)

const maxStackLines = 40

// serverLog is an io.Writer that turns each message of a net/http server into one line of the entry's log.
type serverLog struct {
	entry   *Entry
	message string
}

// Write logs one message: its first line is the cause, the rest is the stack of a panic.
func (l serverLog) Write(text []byte) (int, error) {
	parts := strings.Split(strings.TrimSpace(string(text)), "\n")
	line := l.entry.log.WithField("cause", parts[0])
	if stack := parts[1:]; len(stack) > 0 {
		line = line.WithField("stack", stack[:min(len(stack), maxStackLines)])
	}
	line.Warn(l.message)
	return len(text), nil
}

// errorLog returns the error log of a net/http server.
func (e *Entry) errorLog(message string) *stdlog.Logger {
	return stdlog.New(serverLog{entry: e, message: message}, "", 0)
}

// countPanics counts the panics of a handler; net/http logs them.
func countPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panics.Inc()
			}
			panic(cause)
		}()
		next.ServeHTTP(w, r)
	})
}
