// Command coralstair runs the daemons and the operator commands.
package main

import (
	"os"

	"github.com/coralstair/coralstair/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
