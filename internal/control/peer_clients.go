package control

import (
	"context"
	"net/http"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const identifyTimeout = time.Second

// peerClients calls other control processes by address. Calls are rare, so each
// opens a new connection: a pooled one could be dead without notice.
type peerClients struct {
	transport *http.Transport
	client    *http.Client
}

func newPeerClients() *peerClients {
	transport := &http.Transport{DisableKeepAlives: true}
	return &peerClients{transport: transport, client: &http.Client{Transport: transport}}
}

// identify returns the name, incarnation and cluster of the process at the address.
// The call takes at most identifyTimeout.
func (p *peerClients) identify(ctx context.Context, address string) (*apiv1.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	peer := apiv1.NewPeerProtobufClient("http://"+address, p.client)
	return peer.Identify(ctx, &apiv1.IdentifyRequest{})
}

func (p *peerClients) formation(address string) apiv1.Formation {
	return apiv1.NewFormationProtobufClient("http://"+address, p.client)
}

func (p *peerClients) close() {
	p.transport.CloseIdleConnections()
}
