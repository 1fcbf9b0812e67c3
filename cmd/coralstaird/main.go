// Command coralstaird runs the daemons on the users' platform; it links nothing that only operators' commands need.
package main

import (
	"os"

	"github.com/coralstair/coralstair/internal/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Main(os.Args))
}
