package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/coralstair/coralstair/admit"
	"github.com/coralstair/coralstair/relay"
)

// TestFinalOutcome: a request of which one attempt was lost is never said not to have run, whatever came after.
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
		"engine broke off, refused": {[]error{&relay.LostError{Reason: "broke off"}}, refused, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			turn := &turn{entry: new(Entry)}
			for _, err := range tc.attempts {
				turn.failed(context.Background(), err)
			}
			if got := outcomeProblem(turn.final(tc.last), "id").Outcome; got != tc.want {
				t.Errorf("outcome %s, want %s", got, tc.want)
			}
		})
	}
}
