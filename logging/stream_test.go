package logging

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func newLogEntry(fields log.Fields) *log.Entry {
	return &log.Entry{Level: log.InfoLevel, Message: "request", Fields: fields, Timestamp: time.Unix(0, 0)}
}

func TestHandlerDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	h := NewAsyncHandler(blockedWriter{release: release})
	done := make(chan struct{})
	go func() {
		for range 10 * queueSize {
			_ = h.HandleLog(newLogEntry(nil))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a blocked writer blocks the caller")
	}
	close(release)
}

func TestHandlerLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		h := NewAsyncHandler(w)
		lines := make(chan string, 10*queueSize)
		go func() {
			decoder := json.NewDecoder(r)
			for {
				var line map[string]any
				if decoder.Decode(&line) != nil {
					return
				}
				lines <- line["msg"].(string)
			}
		}()
		for range 3 * LinesPerSecond {
			_ = h.HandleLog(newLogEntry(nil))
		}
		synctest.Wait()
		if n := len(lines); n > LinesPerSecond {
			t.Errorf("%d lines in one second, want at most %d", n, LinesPerSecond)
		}
		time.Sleep(time.Second)
		_ = h.HandleLog(newLogEntry(nil))
		synctest.Wait()
		reported := false
		for len(lines) > 0 {
			if <-lines == "log: lines dropped" {
				reported = true
			}
		}
		if !reported {
			t.Error("no summary of dropped lines")
		}
		h.Close(0)
		_ = r.Close()
	})
}

func TestEncodeWritesValidJSON(t *testing.T) {
	for name, value := range map[string]any{
		"text": "plain", "quotes": `a "b" \ c`, "control": "a\nb", "not ASCII": "ü", "number": 4, "list": []string{"a"},
		"long": strings.Repeat("x", 3*maxValueBytes), "unsupported type": func() {},
	} {
		t.Run(name, func(t *testing.T) {
			var line map[string]any
			if err := json.Unmarshal(encode(newLogEntry(log.Fields{"value": value})), &line); err != nil {
				t.Errorf("%v", err)
			}
		})
	}
}
