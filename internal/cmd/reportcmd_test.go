package cmd

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/report"
)

const reportLine = `{"at":"2026-01-01T08:00:01Z","msg":"request","route":"drafts","outcome":"answered","status":200}` + "\n"

func gzipText(t *testing.T, text string) string {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestReadReport(t *testing.T) {
	for name, test := range map[string]struct {
		log     string
		wantErr bool
		want    string
	}{
		"plain":                   {reportLine, false, "1 lines, 0 of them not read"},
		"compressed":              {gzipText(t, reportLine+reportLine), false, "2 lines, 0 of them not read"},
		"compressed and cut off":  {gzipText(t, strings.Repeat(reportLine, 50))[:60], true, ""},
		"empty":                   {"", false, "0 lines"},
		"a single byte":           {"\x1f", false, "1 lines, 1 of them not read"},
		"no end of the last line": {strings.TrimSpace(reportLine), false, "1 lines, 0 of them not read"},
	} {
		t.Run(name, func(t *testing.T) {
			var r report.Report
			if err := readReport(&r, "log", strings.NewReader(test.log)); (err != nil) != test.wantErr {
				t.Fatalf("error %v, want one %t", err, test.wantErr)
			}
			var text strings.Builder
			if err := r.Text(&text); err != nil || !strings.Contains(text.String(), test.want) {
				t.Errorf("%v, no %q in\n%s", err, test.want, text.String())
			}
		})
	}
}
