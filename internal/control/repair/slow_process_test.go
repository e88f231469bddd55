package repair_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// A voter whose process answered late was replaced as one whose VM is gone.
func TestVoterWhoseVMAcceptsConnectionsIsReplacedLater(t *testing.T) {
	for _, test := range []struct {
		name      string
		silence   time.Duration
		connected bool
		want      repair.Kind
	}{
		{"no connection", deadAfter, false, repair.AddLearner},
		{"a connection", deadAfter, true, repair.None},
		{"a connection, almost twice as long", 2*deadAfter - 1, true, repair.None},
		{"a connection, and no response for twice as long", 2 * deadAfter, true, repair.AddLearner},
	} {
		t.Run(test.name, func(t *testing.T) {
			silent := peerAnswering("c", 0, "")
			silent.Connected = test.connected
			action := onlyAction(t, repair.View{
				ClusterID: clusterID, Policy: policy,
				Voters: []repair.Member{member("a", 1, 0), member("b", 2, 0), member("c", 3, test.silence)},
				Peers:  []repair.Peer{silent, peerAnswering("d", 4, "")},
			})
			is.New(t).Equal(action.Kind, test.want)
		})
	}
}
