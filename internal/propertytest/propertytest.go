// Package propertytest runs the property tests of a package with a fixed seed, so that CI gives the same result on each run.
package propertytest

import (
	"flag"
	"os"
	"testing"
)

// rapidFlags holds values for flags of pgregory.net/rapid. They fix its seed and keep it from writing failure files.
var rapidFlags = map[string]string{
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

// Main sets the flags of rapid, runs the tests of a package and exits. It is called by TestMain of a package whose tests
// import rapid; otherwise the flags do not exist, and Main panics.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range rapidFlags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
