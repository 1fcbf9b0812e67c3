// Command coralstair-lab runs stand-ins of the platform and experiments for development.
package main

import (
	"os"

	"github.com/coralstair/coralstair/internal/labcmd"
)

func main() {
	os.Exit(labcmd.Main(os.Args))
}
