package failure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/fake/relay"
)

func TestLostDisksCountUntilTheyHaveCaughtUp(t *testing.T) {
	is := is.New(t)
	var l lostDisks
	now := time.Now()
	is.True(l.lose(now, 1))
	l.returned(now)
	is.True(l.lose(now, 1))
	l.returned(now.Add(time.Second))
	is.True(l.lose(now.Add(coreCatchUpBound), 1)) // the first doesn't count any more
	is.True(!l.lose(now.Add(coreCatchUpBound), 1))
}

func TestLinksOfADay(t *testing.T) {
	links := dayLinks{
		places: map[string]dayPlace{
			"core": {"r1", true}, "near": {"r1", true}, "far": {"r2", true}, "entry": {"r1", false}, "off": {"r1", true},
		},
		off:    map[string]bool{"off": true},
		halves: map[string]int{"core": 0, "far": 1},
		cut:    map[dayLink]bool{{"core", "near"}: true},
	}
	for name, test := range map[string]struct {
		from, to string
		fault    relay.Fault
	}{
		"entry":         {"entry", "core", relay.Fault{Delay: delayWithinRegion, BytesPerSecond: entryLinkBytes}},
		"to an entry":   {"far", "entry", relay.Fault{Delay: delayAcrossRegions, BytesPerSecond: entryLinkBytes}},
		"other region":  {"far", "near", relay.Fault{Delay: delayAcrossRegions, BytesPerSecond: bytesBetweenTwoRegions}},
		"other half":    {"far", "core", relay.Fault{Delay: delayAcrossRegions, BytesPerSecond: bytesBetweenTwoRegions, Silent: true}},
		"without power": {"near", "off", relay.Fault{Delay: delayWithinRegion, BytesPerSecond: coreLinkBytes, Silent: true}},
		"cut":           {"core", "near", relay.Fault{Delay: delayWithinRegion, BytesPerSecond: coreLinkBytes, DropToTarget: true}},
		"cut, dialed by the receiver": {
			"near", "core", relay.Fault{Delay: delayWithinRegion, BytesPerSecond: coreLinkBytes, DropToClient: true},
		},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(links.fault(test.from, test.to), test.fault) })
	}
}
