package jobs_test

import (
	"testing"

	"github.com/pistachioport/pistachioport/internal/fixedseed"
)

// propertySeed makes the property tests deterministic.
const propertySeed = 20261204

func TestMain(m *testing.M) { fixedseed.Main(m, propertySeed, 0) }
