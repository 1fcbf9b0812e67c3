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

// stoppedWriter is a reader that has stopped.
type stoppedWriter struct{ until chan struct{} }

func (w stoppedWriter) Write(b []byte) (int, error) {
	<-w.until
	return len(b), nil
}

func entryOf(fields log.Fields) *log.Entry {
	return &log.Entry{Level: log.InfoLevel, Message: "request", Fields: fields, Timestamp: time.Unix(0, 0)}
}

func TestStreamNeverWaits(t *testing.T) {
	until := make(chan struct{})
	s := NewStream(stoppedWriter{until: until})
	done := make(chan struct{})
	go func() {
		for range 10 * queueLines {
			_ = s.HandleLog(entryOf(nil))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a reader that has stopped holds up those who log")
	}
	close(until)
}

func TestStreamIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		s := NewStream(w)
		lines := make(chan string, 10*queueLines)
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
			_ = s.HandleLog(entryOf(nil))
		}
		synctest.Wait()
		if n := len(lines); n > LinesPerSecond {
			t.Errorf("%d lines in one second, want at most %d", n, LinesPerSecond)
		}
		time.Sleep(time.Second)
		_ = s.HandleLog(entryOf(nil))
		synctest.Wait()
		said := false
		for len(lines) > 0 {
			if <-lines == "log: lines dropped" {
				said = true
			}
		}
		if !said {
			t.Error("what was dropped is not said")
		}
		s.Close(0)
		_ = r.Close()
	})
}

func TestLinesAreJSON(t *testing.T) {
	for name, value := range map[string]any{
		"text": "plain", "quotes": `a "b" \ c`, "control": "a\nb", "not ASCII": "ü", "number": 4, "list": []string{"a"},
		"long": strings.Repeat("x", 3*longestValue), "error in encoding": func() {},
	} {
		t.Run(name, func(t *testing.T) {
			var line map[string]any
			if err := json.Unmarshal(encode(entryOf(log.Fields{"value": value})), &line); err != nil {
				t.Errorf("%v", err)
			}
		})
	}
}
