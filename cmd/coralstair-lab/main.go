// Command coralstair-lab runs the stand-ins and experiments of a developer's machine.
package main

import (
	"os"

	"github.com/coralstair/coralstair/internal/labcmd"
)

func main() {
	os.Exit(labcmd.Main(os.Args))
}
