package fill

import (
	"context"
	"errors"
	"net"
	"testing"
)

func TestUnreached(t *testing.T) {
	dial := &net.OpError{Op: opDial, Err: errors.New("connection refused")}
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"origin cannot be dialled":        {dial, true},
		"origin resets the connection":    {&net.OpError{Op: "read", Err: errors.New("reset")}, false},
		"origin times out":                {context.DeadlineExceeded, false},
		"local server is unreachable":     {&NotStagedError{Piece: 3, Err: dial}, false},
		"piece does not match its digest": {&MismatchError{Piece: 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := originUnreachable(test.err); got != test.want {
				t.Errorf("unreached %t, want %t", got, test.want)
			}
		})
	}
}
