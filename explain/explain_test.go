package explain

import (
	"errors"
	"strings"
	"testing"
)

const testLogs = `  1.0 front-1 {"at":"2026-01-01T00:00:01.000Z","msg":"view: configuration taken","node":"e1","revision":4}
{"at":"2026-01-01T00:00:01.500Z","msg":"view: configuration taken","node":"e2","revision":4}
{"at":"2026-01-01T00:00:02.000Z","msg":"view: server listed","node":"e1","server":"s1","address":"h:1","leaving":false}
{"at":"2026-01-01T00:00:02.100Z","msg":"view: server listed","node":"e1","server":"s2","address":"h:2","leaving":false}
no line
{"at":"2026-01-01T00:00:03.000Z","msg":"fill: order to load","node":"b1","upstream":"h:1","version":2}
{"at":"2026-01-01T00:00:04.000Z","msg":"request","node":"e1","id":"r1","server":"s1","outcome":"not-run"}
{"at":"2026-01-01T00:00:05.000Z","msg":"view: configuration taken","node":"e1","revision":9}
{"at":"2026-01-01T00:00:06.000Z","msg":"view: servers listed","node":"e3","servers":["s3 h:3","s4 h:4 leaving"]}
{"at":"2026-01-01T00:00:06.500Z","msg":"fill: order to load","node":"b4","upstream":"h:4","version":2}
{"at":"2026-01-01T00:00:07.000Z","msg":"request","node":"e3","id":"r2","server":"s4","outcome":"not-run"}
`

func TestWriteTimeline(t *testing.T) {
	for name, test := range map[string]struct {
		id      string
		want    []string
		wantNot []string
	}{
		"own line, state of its entry and server": {
			"r1", []string{"not-run", "revision: 4", "server listed", "order to load", "believed for 1s"}, []string{"revision: 9", "h:2", "e2"},
		},
		"server of a line that lists many": {
			"r2", []string{"server listed", "address: h:4", "leaving: true", "order to load"}, []string{"h:3", "servers listed"},
		},
		"unknown request": {"r9", nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var l Log
			if err := l.Read(strings.NewReader(testLogs)); err != nil {
				t.Fatal(err)
			}
			var timeline strings.Builder
			err := l.WriteTimeline(&timeline, test.id)
			if test.want == nil {
				if !errors.As(err, new(*NotFoundError)) {
					t.Errorf("error %v, want a NotFoundError", err)
				}
				return
			}
			for _, want := range test.want {
				if !strings.Contains(timeline.String(), want) {
					t.Errorf("the story lacks %q:\n%s", want, timeline.String())
				}
			}
			for _, not := range test.wantNot {
				if strings.Contains(timeline.String(), not) {
					t.Errorf("the story contains %q:\n%s", not, timeline.String())
				}
			}
		})
	}
}
