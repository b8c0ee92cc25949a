package fuzztest

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is the seed of every fuzz unless the command line or a search
// sets another.
const defaultSeed = "20261203"

// searchEnv, if set, leaves the seed to the clock; scripts/search sets it.
const searchEnv = "REDWINGKNOT_SEARCH"

func init() {
	if os.Getenv(searchEnv) != "" {
		return
	}
	mustSet("rapid.seed", defaultSeed)
	mustSet("rapid.nofailfile", "true")
}

func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Check runs prop with generated input, as rapid.Check does.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, prop)
}
