package control

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
)

// identifyingProcesses responds for all addresses but "gone", which responds only once it
// is back.
type identifyingProcesses struct{ back atomic.Bool }

func (p *identifyingProcesses) RoundTrip(request *http.Request) (*http.Response, error) {
	name := request.URL.Host
	if name == "gone" && !p.back.Load() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	body, err := proto.Marshal(&apiv1.IdentifyResponse{Name: name, Incarnation: 1})
	if err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": []string{"application/protobuf"}},
		Body: io.NopCloser(bytes.NewReader(body)), Request: request,
	}, nil
}

// A VM that is gone delayed each step of its own replacement by identifyTimeout.
func TestChecksWaitForASilentProcessOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		processes := &identifyingProcesses{}
		clients := &peerClients{client: &http.Client{Transport: processes}}
		probes := &identityProbes{}
		identify := func() (gone, spare *apiv1.IdentifyResponse, took time.Duration) {
			begin := time.Now()
			peers := []repair.Peer{{Name: "gone", Address: "gone"}, {Name: "spare", Address: "spare"}}
			probes.identify(t.Context(), clients, peers)
			return peers[0].Identity, peers[1].Identity, time.Since(begin)
		}
		gone, spare, took := identify()
		is.Equal(gone, nil)
		is.Equal(spare.GetName(), "spare")
		is.Equal(took, identityWait)
		for range 3 * int(identifyTimeout/defaultRepairInterval) {
			gone, spare, took = identify()
			is.Equal(gone, nil)
			is.Equal(spare.GetName(), "spare")
			is.Equal(took, time.Duration(0))
			time.Sleep(defaultRepairInterval)
		}
		processes.back.Store(true)
		time.Sleep(identifyTimeout) // the call in flight gets no response
		_, _, _ = identify()
		synctest.Wait()
		gone, _, _ = identify()
		is.Equal(gone.GetName(), "gone")
	})
}

// A process that takes long to respond delayed each step of a repair by that time, although the response to the check
// before was known.
func TestChecksDoNotWaitForAProcessThatHasIdentifiedItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const callTime = identityWait / 2
		processes := &identifyingProcesses{}
		clients := &peerClients{client: &http.Client{Transport: &slowTransport{callTime, processes}}}
		probes := &identityProbes{}
		identify := func(name string) (*apiv1.IdentifyResponse, time.Duration) {
			begin := time.Now()
			peers := []repair.Peer{{Name: name, Address: name}}
			probes.identify(t.Context(), clients, peers)
			return peers[0].Identity, time.Since(begin)
		}
		identity, took := identify("spare")
		is.Equal(identity.GetName(), "spare")
		is.Equal(took, callTime)
		for range 3 {
			identity, took = identify("spare")
			is.Equal(identity.GetName(), "spare")
			is.Equal(took, time.Duration(0))
		}
		time.Sleep(callTime)
	})
}

// The end of a call that came with the begin of the next one was not counted, and the process kept its identity.
func TestIdentityOfAProcessThatIsGoneEndsWithItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		processes := &identifyingProcesses{}
		processes.back.Store(true)
		clients := &peerClients{client: &http.Client{Transport: processes}}
		probes := &identityProbes{}
		identify := func() *apiv1.IdentifyResponse {
			peers := []repair.Peer{{Name: "gone", Address: "gone"}}
			probes.identify(t.Context(), clients, peers)
			return peers[0].Identity
		}
		is.Equal(identify().GetName(), "gone")
		processes.back.Store(false)
		_ = identify()
		time.Sleep(identifyTimeout)
		is.Equal(identify(), nil)
		time.Sleep(identifyTimeout)
	})
}

// slowTransport delivers each call after the delay.
type slowTransport struct {
	delay time.Duration
	next  http.RoundTripper
}

func (s *slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(s.delay)
	return s.next.RoundTrip(request)
}
