// Package propertytest runs the property tests of a package with a fixed seed, so that CI has the same verdict every time.
package propertytest

import (
	"flag"
	"os"
	"testing"
)

// rapidFlags are the flags of pgregory.net/rapid that fix its seed and keep it from writing files.
var rapidFlags = map[string]string{
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

// Main runs the tests of a package and exits. A TestMain calls it. The package's tests must import rapid, whose flags it sets.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range rapidFlags {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
