package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/coralstair/coralstair/admit"
	"github.com/coralstair/coralstair/relay"
)

// TestFinalOutcome checks that a request with a lost attempt is never reported as not run.
func TestFinalOutcome(t *testing.T) {
	notRunErr := &relay.NotRunError{Reason: "full"}
	lost := &relay.LostError{Reason: "link ended"}
	refused := &admit.RefusedError{Reason: "queue", Overload: true}
	for name, tc := range map[string]struct {
		attempts []error
		last     error
		want     string
	}{
		"not run":                   {[]error{notRunErr}, notRunErr, "not-run"},
		"refused":                   {nil, refused, "not-run"},
		"lost":                      {[]error{lost}, lost, "unknown"},
		"lost, then not run":        {[]error{lost, notRunErr}, notRunErr, "unknown"},
		"lost, then refused":        {[]error{lost}, refused, "unknown"},
		"not run, lost, not run":    {[]error{notRunErr, lost, notRunErr}, notRunErr, "unknown"},
		"not run, then not run":     {[]error{notRunErr, notRunErr}, notRunErr, "not-run"},
		"joined with its cause":     {[]error{lost}, errors.Join(lost, notRunErr), "unknown"},
		"interrupted, then refused": {[]error{&relay.LostError{Reason: "broke off"}}, refused, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			request := &task{entry: new(Entry)}
			for _, err := range tc.attempts {
				request.recordFailure(context.Background(), err)
			}
			if got := outcomeProblem(request.finalError(tc.last), "id").Outcome; got != tc.want {
				t.Errorf("outcome %s, want %s", got, tc.want)
			}
		})
	}
}
