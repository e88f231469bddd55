package tasks

import (
	"testing"

	"github.com/pistachioport/pistachioport/internal/fixedseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	fixedseed.Main(m, 1, 0)
}
