// Command coralstaird runs the daemons on the users' platform, without the dependencies of operator commands.
package main

import (
	"os"

	"github.com/coralstair/coralstair/internal/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Main(os.Args))
}
