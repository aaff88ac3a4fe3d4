// Command marbleroad-control runs the control daemon.
package main

import (
	"os"

	"github.com/marbleroad/marbleroad/internal/daemon"
	"github.com/marbleroad/marbleroad/internal/settings"
)

func main() {
	os.Exit(daemon.Main(settings.ControlProgram))
}
