package rpc

import (
	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// baseURL's host is replaced by the address of each attempt.
const baseURL = "http://control"

// Client calls whichever control process leads. It serves as the HTTP client
// of the generated Twirp clients and is safe for concurrent use.
type Client struct {
	options   Options
	directory *directory
	pools     *pools
}

// NewClient returns a client of the control processes at the given addresses.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options:   options,
		directory: newDirectory(options.Addresses),
		pools:     newPools(options.DialTimeout),
	}
}

// Control returns the operators' service.
func (c *Client) Control() apiv1.Control {
	return apiv1.NewControlProtobufClient(baseURL, c)
}

// EntryLink returns the entries' service.
func (c *Client) EntryLink() apiv1.EntryLink {
	return apiv1.NewEntryLinkProtobufClient(baseURL, c)
}

// Claims returns the service of non-idempotent requests.
func (c *Client) Claims() apiv1.Claims {
	return apiv1.NewClaimsProtobufClient(baseURL, c)
}

// Discovery returns the endpoints' service.
func (c *Client) Discovery() apiv1.Discovery {
	return apiv1.NewDiscoveryProtobufClient(baseURL, c)
}

// Platform returns the workers' service.
func (c *Client) Platform() apiv1.Platform {
	return apiv1.NewPlatformProtobufClient(baseURL, c)
}

var _ apiv1.HTTPClient = (*Client)(nil)

// SetAddresses replaces the known control processes, for example after a
// membership change. An empty list changes nothing.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.directory.set(addresses)
	c.pools.keepOnly(c.directory.known())
}

// Leader returns the address that the next call goes to first; empty if no
// process has answered as the leader.
func (c *Client) Leader() string {
	return c.directory.leader()
}

// Close drops all pooled connections.
func (c *Client) Close() {
	c.pools.close()
}
