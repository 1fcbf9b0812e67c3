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
		"the origin cannot be dialled":                {dial, true},
		"the origin breaks off":                       {&net.OpError{Op: "read", Err: errors.New("reset")}, false},
		"the origin says nothing in time":             {context.DeadlineExceeded, false},
		"the server on this machine is not there":     {&NotStagedError{Piece: 3, Err: dial}, false},
		"a piece that does not fit is no lost origin": {&MisfitError{Piece: 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := unreached(test.err); got != test.want {
				t.Errorf("unreached %t, want %t", got, test.want)
			}
		})
	}
}
