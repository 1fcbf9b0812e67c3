package report

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var testStart = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// logLine returns a log line stamped the given seconds after testStart.
func logLine(after float64, fields string) string {
	at := testStart.Add(time.Duration(after * float64(time.Second)))
	return fmt.Sprintf(`{"at":%q,"node":"entry-1",%s}`+"\n", at.Format(time.RFC3339Nano), fields)
}

func request(after float64, route, outcome string, status int, first, waited int) string {
	return logLine(after, fmt.Sprintf(
		`"msg":"request","route":%q,"team":"t","outcome":%q,"status":%d,"first_ms":%d,"predicted_ms":120,"waited_ms":%d,"goal_ms":400,`+
			`"writing":5,"reading":1,"attempts":1,"report_ms":60`, route, outcome, status, first, waited))
}

func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		line string
		want Counts
	}{
		"in time":                         {request(0, "r", "answered", 200, 150, 0), Counts{Requests: 1, InTime: 1}},
		"late":                            {request(0, "r", "answered", 200, 450, 0), Counts{Requests: 1, Late: 1}},
		"a retry is late by its wait":     {request(0, "r", "answered", 200, 150, 900), Counts{Requests: 1, Late: 1, Retries: 1, RetriesAnswered: 1}},
		"refused":                         {request(0, "r", "not-run", 503, 0, 0), Counts{Requests: 1, Refused: 1}},
		"refused again":                   {request(0, "r", "not-run", 503, 0, 800), Counts{Requests: 1, Refused: 1, Retries: 1}},
		"failed":                          {request(0, "r", "unknown", 502, 0, 0), Counts{Requests: 1, Failed: 1}},
		"the caller has gone":             {request(0, "r", "caller-gone", 0, 0, 0), Counts{Requests: 1, CallerGone: 1}},
		"refused before a route is known": {logLine(0, `"msg":"request","outcome":"no-route","status":404`), Counts{}},
	} {
		t.Run(name, func(t *testing.T) {
			var r Report
			if err := r.Read("log", strings.NewReader(test.line)); err != nil || r.total != test.want {
				t.Errorf("%+v, %v, want %+v", r.total, err, test.want)
			}
		})
	}
}

func TestUnreadableLines(t *testing.T) {
	text := "no JSON at all\n" + request(0, "r", "answered", 200, 100, 0) + `{"at":"2026-01-01T08:0` + "\n" + `{"msg":"request"}` + "\n\n" +
		"12.5 entry-1 " + request(1, "r", "answered", 200, 100, 0)
	var r Report
	if err := r.Read("log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if r.total.Requests != 2 || r.unreadable != 3 || len(r.faults) != 3 {
		t.Fatalf("%d requests, %d lines not read, %v", r.total.Requests, r.unreadable, r.faults)
	}
	for i, want := range []string{"log:1: no JSON object", "log:3: unexpected end of JSON input", "log:4: no time"} {
		if got := r.faults[i].String(); got != want {
			t.Errorf("fault %q, want %q", got, want)
		}
	}
}

func TestLineTooLong(t *testing.T) {
	var r Report
	err := r.Read("log", strings.NewReader("{\n"+strings.Repeat("x", maxLineBytes+1)))
	if err == nil || !strings.Contains(err.Error(), "log, after line 1") {
		t.Errorf("error %v, want one with the position", err)
	}
}

// TestMemoryIsBounded checks that slots and routes stay bounded for a long log of many routes.
func TestMemoryIsBounded(t *testing.T) {
	var r Report
	for i := range 4 * maxSlots {
		l := request(float64(i), fmt.Sprint("r", i%(3*maxNames)), "answered", 200, 100, 0)
		if err := r.Read("log", strings.NewReader(l)); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.slots) > maxSlots || len(r.routes) > maxNames+1 {
		t.Errorf("%d slots and %d routes are kept", len(r.slots), len(r.routes))
	}
	var sum Counts
	for _, slot := range r.sortedSlots() {
		sum.merge(r.slotCounts(slot))
	}
	if sum != r.total || sum.Requests != 4*maxSlots {
		t.Errorf("slots hold %+v, all are %+v", sum, r.total)
	}
}

func testLog() string {
	return logLine(0, `"msg":"daemon: started","site":"east"`) +
		request(1, "drafts", "answered", 200, 150, 0) + request(2, "drafts", "not-run", 503, 0, 0) +
		request(3, "cards", "answered", 200, 700, 0) +
		logLine(3, `"msg":"request","route":"cards","outcome":"not-run","status":503,"cause":"no server of s is free in time: 310ms at the best, writing 16, reading 2"`) +
		logLine(4, `"msg":"fill: a version is aimed at","version":2`) + logLine(6, `"msg":"fill: all pieces are held","version":2`) +
		logLine(8, `"msg":"fill: the server runs a version","version":2`) +
		logLine(9, `"msg":"view: the store is lost","feed":"declared"`) + logLine(9, `"msg":"forward: server ejected","server":"i-1"`)
}

func TestText(t *testing.T) {
	var r Report
	if err := r.Read("log", strings.NewReader(testLog())); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := r.Text(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"10 lines, 0 of them not read", "by site", "east", "drafts", "08:00:03",
		"not-run: no server of s is free in time: # at the best, writing #, reading #", "entry-1", "versions", "08:00:08",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}

func TestHTMLIsSelfContained(t *testing.T) {
	var r Report
	if err := r.Read("log", strings.NewReader(testLog())); err != nil {
		t.Fatal(err)
	}
	var page strings.Builder
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	got := page.String()
	if n := strings.Count(got, "<svg"); n != 4 {
		t.Errorf("%d plots, want those of all requests, two routes and the versions", n)
	}
	for _, not := range []string{"src=", "<link", "<script", "@import"} {
		if strings.Contains(got, not) {
			t.Errorf("the page contains %q", not)
		}
	}
}

func TestEmptyLog(t *testing.T) {
	var r Report
	var out strings.Builder
	if err := r.HTML(&out); err != nil || !strings.Contains(out.String(), "0 lines") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

func BenchmarkRead(b *testing.B) {
	text := strings.Repeat(request(1, "drafts", "answered", 200, 150, 0), 1000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		var r Report
		if err := r.Read("log", strings.NewReader(text)); err != nil {
			b.Fatal(err)
		}
	}
}
