// Command marbleroadctl is the operators' command line.
package main

import (
	"os"

	"github.com/marbleroad/marbleroad/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
