// Command marbleroad-node runs the gateway and the director in one process.
package main

import (
	"os"

	"github.com/marbleroad/marbleroad/internal/daemon"
	"github.com/marbleroad/marbleroad/internal/settings"
)

func main() {
	os.Exit(daemon.Main(settings.NodeProgram))
}
