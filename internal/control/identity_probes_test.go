package control

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/control/repair"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
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
	bubble.Test(t, func(t *testing.T) {
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
	bubble.Test(t, func(t *testing.T) {
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
	bubble.Test(t, func(t *testing.T) {
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

// acceptingProcess accepts each connection at once and responds after the delay.
type acceptingProcess struct {
	delay time.Duration
	next  http.RoundTripper
}

func (a *acceptingProcess) RoundTrip(request *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	select {
	case <-time.After(a.delay):
		return a.next.RoundTrip(request)
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// A process that took longer than identifyTimeout to respond counted as one that doesn't answer, and its voter was removed.
func TestProcessThatRespondsLateIsIdentified(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		processes := &identifyingProcesses{}
		clients := &peerClients{client: &http.Client{Transport: &acceptingProcess{2 * identifyTimeout, processes}}}
		probes := &identityProbes{}
		check := func() repair.Peer {
			peers := []repair.Peer{{Name: "slow", Address: "slow"}}
			probes.identify(t.Context(), clients, peers)
			return peers[0]
		}
		for begin := time.Now(); time.Since(begin) < 2*identifyTimeout; time.Sleep(defaultRepairInterval) {
			peer := check()
			is.Equal(peer.Identity, nil)
			is.True(peer.Connected)
		}
		is.Equal(check().Identity.GetName(), "slow")
		time.Sleep(identifyPatience)
		synctest.Wait()
		probes.mu.Lock()
		defer probes.mu.Unlock()
		is.Equal(probes.byAddress["slow"].connected, 0)
	})
}

// The VM is up, but the process never responds.
func TestCallOfAFrozenProcessEnds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		clients := &peerClients{client: &http.Client{Transport: &acceptingProcess{time.Hour, &identifyingProcesses{}}}}
		probes := &identityProbes{}
		begin := time.Now()
		_, err := clients.identifyPatiently(t.Context(), "frozen", func() {})
		is.True(err != nil)
		is.Equal(time.Since(begin), identifyPatience)
		peers := []repair.Peer{{Name: "frozen", Address: "frozen"}}
		probes.identify(t.Context(), clients, peers)
		is.True(peers[0].Connected)
		time.Sleep(identifyPatience)
		synctest.Wait()
		is.Equal(probes.byAddress["frozen"].connected, 0)
	})
}
