// Package seed sets a fixed seed for the property-based tests, so that each run
// of the test command has the same result. The environment variables
// MARBLEROAD_SEED and MARBLEROAD_CHECKS set another seed and number of checks,
// as make proof does. Tests import the package for its side effect.
package seed

import (
	"flag"
	"os"

	// Registers the flags that this package sets.
	_ "pgregory.net/rapid"
)

const (
	defaultSeed   = "20261202"
	defaultChecks = "200"
)

func init() {
	setFlag("rapid.seed", "MARBLEROAD_SEED", defaultSeed)
	setFlag("rapid.checks", "MARBLEROAD_CHECKS", defaultChecks)
	setFlag("rapid.nofailfile", "MARBLEROAD_NOFAILFILE", "true")
}

func setFlag(name, variable, defaultValue string) {
	value := os.Getenv(variable)
	if value == "" {
		value = defaultValue
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
