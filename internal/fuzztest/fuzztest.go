package fuzztest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is the seed of every fuzz test, unless the command line sets
// another or searchEnv is set.
const defaultSeed = "20261203"

// searchEnv names an environment variable. If it is set, the seed is taken from
// the clock. scripts/search sets it.
const searchEnv = "REDWINGKNOT_SEARCH"

func init() {
	if os.Getenv(searchEnv) != "" {
		return
	}
	mustSetFlag("rapid.seed", defaultSeed)
	mustSetFlag("rapid.nofailfile", "true")
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Check runs property with generated input, as rapid.Check does. A test that calls it
// instead of rapid.Check imports this package, which sets the seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, property)
}
