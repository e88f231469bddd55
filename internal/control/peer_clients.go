package control

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	identifyTimeout   = time.Second
	identifyPatience  = 3 * time.Second  // for a process whose VM has accepted the connection
	formTimeout       = 3 * time.Second  // a process writes its membership to disk before it answers
	reportIdleTimeout = 10 * time.Second // of a connection without reports
)

// peerClients calls other control processes by address.
type peerClients struct {
	// Most calls are rare, so each opens a new connection: a pooled one could be dead
	// without notice.
	transport *http.Transport
	client    *http.Client
	// Reports come often while workers start, and keep their connections.
	reportTransport *http.Transport
	reportClient    *http.Client
}

func newPeerClients() *peerClients {
	transport := &http.Transport{DisableKeepAlives: true}
	reportTransport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: reportIdleTimeout, DisableCompression: true}
	return &peerClients{
		transport: transport, client: &http.Client{Transport: transport},
		reportTransport: reportTransport, reportClient: &http.Client{Transport: reportTransport},
	}
}

// identify returns the name, incarnation and cluster of the process at the address.
// The call takes at most identifyTimeout.
func (p *peerClients) identify(ctx context.Context, address string) (*apiv1.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	peer := apiv1.NewPeerProtobufClient("http://"+address, p.client)
	return peer.Identify(ctx, &apiv1.IdentifyRequest{})
}

// identifyPatiently is identify for a process that may be slow: the call takes at most identifyPatience once it is
// connected. connected is called when it is.
func (p *peerClients) identifyPatiently(ctx context.Context, address string, connected func()) (*apiv1.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyPatience)
	defer cancel()
	unconnected := time.AfterFunc(identifyTimeout, cancel)
	defer unconnected.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if unconnected.Stop() {
			connected()
		}
	}})
	peer := apiv1.NewPeerProtobufClient("http://"+address, p.client)
	return peer.Identify(ctx, &apiv1.IdentifyRequest{})
}

// form asks the process at the address to form the cluster. The call takes at most
// formTimeout.
func (p *peerClients) form(ctx context.Context, address string, request *apiv1.FormRequest) error {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	_, err := apiv1.NewFormationProtobufClient("http://"+address, p.client).Form(ctx, request)
	return err
}

// jobs returns a client for the reports of workers.
func (p *peerClients) jobs(address string) apiv1.Jobs {
	return apiv1.NewJobsProtobufClient("http://"+address, p.reportClient)
}

// closeReportConnections closes the idle connections for reports, one of which may be
// dead without notice.
func (p *peerClients) closeReportConnections() { p.reportTransport.CloseIdleConnections() }

func (p *peerClients) close() {
	p.transport.CloseIdleConnections()
	p.reportTransport.CloseIdleConnections()
}
