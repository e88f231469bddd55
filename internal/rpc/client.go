package rpc

import (
	"slices"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// baseURL is the base URL of the Twirp clients. Each attempt replaces the host by an
// address.
const baseURL = "http://control"

// Client sends calls to the control process that is the leader. It is the HTTP client of
// the generated Twirp clients and safe for concurrent use.
type Client struct {
	options    Options
	directory  *directory
	transports *transports
	peers      *peers
}

// NewClient returns a client of the control processes at options.Addresses.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options:    options,
		directory:  newDirectory(options.Addresses),
		transports: newTransports(options.DialTimeout),
		peers:      newPeers(),
	}
}

// Control returns a client of the service for operators.
func (c *Client) Control() apiv1.Control {
	return apiv1.NewControlProtobufClient(baseURL, c)
}

// EntryLink returns a client of the service for entries.
func (c *Client) EntryLink() apiv1.EntryLink {
	return apiv1.NewEntryLinkProtobufClient(baseURL, c)
}

// Claims returns a client of the service for the claims of non-idempotent requests.
func (c *Client) Claims() apiv1.Claims {
	return apiv1.NewClaimsProtobufClient(baseURL, c)
}

// Discovery returns a client of the service for endpoints.
func (c *Client) Discovery() apiv1.Discovery {
	return apiv1.NewDiscoveryProtobufClient(baseURL, c)
}

// Platform returns a client of the service for workers.
func (c *Client) Platform() apiv1.Platform {
	return apiv1.NewPlatformProtobufClient(baseURL, c)
}

var _ apiv1.HTTPClient = (*Client)(nil)

// SetAddresses replaces the addresses of the control processes, for example after a
// membership change. An empty list changes nothing.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.directory.set(addresses)
	c.transports.keepOnly(c.directory.known())
}

// Leader returns the address of the presumed leader, to which the next call goes first;
// empty if none is known.
func (c *Client) Leader() string {
	return c.directory.leader()
}

// Addresses returns the addresses that calls go to.
func (c *Client) Addresses() []string {
	return slices.DeleteFunc(c.directory.known(), func(address string) bool { return address == "" })
}

// Close closes all idle connections at once, and those in use when their calls end.
func (c *Client) Close() {
	c.transports.close()
}
