package box

import (
	"net/http"
	"testing"
	"time"
)

func TestRestOf(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		status int
		after  string
		want   time.Duration
	}{
		"seconds":        {503, "3", 3 * time.Second},
		"fractions":      {503, "0.5", 500 * time.Millisecond},
		"a date":         {503, "Thu, 01 Jan 2026 00:00:20 GMT", 20 * time.Second},
		"a past date":    {503, "Thu, 01 Jan 2025 00:00:20 GMT", 0},
		"too long":       {503, "1e300", maxRetryAfter},
		"negative":       {503, "-3", 0},
		"not parseable":  {503, "soon", 0},
		"not a number":   {503, "NaN", 0},
		"none":           {503, "", 0},
		"another status": {200, "3", 0},
	} {
		t.Run(name, func(t *testing.T) {
			resp := &http.Response{StatusCode: test.status, Header: http.Header{"Retry-After": {test.after}}}
			if got := retryAfter(resp, now); got != test.want {
				t.Errorf("retry after %s, want %s", got, test.want)
			}
		})
	}
}
