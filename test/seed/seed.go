// Package seed gives the stateful fuzz tests a fixed seed, so that every run
// of the test command reaches the same verdict. The variables
// MARBLEROAD_SEED and MARBLEROAD_CHECKS go further, as make proof does. Tests
// import it for its effect.
package seed

import (
	"flag"
	"os"

	// Registers the flags that are set here.
	_ "pgregory.net/rapid"
)

const (
	defaultSeed   = "20261202"
	defaultChecks = "200"
)

func init() {
	set("rapid.seed", "MARBLEROAD_SEED", defaultSeed)
	set("rapid.checks", "MARBLEROAD_CHECKS", defaultChecks)
	set("rapid.nofailfile", "MARBLEROAD_NOFAILFILE", "true")
}

func set(name, variable, otherwise string) {
	value := os.Getenv(variable)
	if value == "" {
		value = otherwise
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
