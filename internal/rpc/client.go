package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// ErrUnreachable says that no control process answered within the deadline.
var ErrUnreachable = errors.New("no control process answered")

// Client calls whichever control process leads. It serves as the HTTP client
// of the generated Twirp clients and is safe for concurrent use.
type Client struct {
	options Options

	mu        sync.Mutex
	addresses []string
	preferred string
	next      int
	pools     map[string]*http.Transport
}

// NewClient returns a client of the control processes at the given addresses.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options:   options,
		addresses: append([]string(nil), options.Addresses...),
		pools:     make(map[string]*http.Transport),
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

// baseURL's host is replaced by the address of each attempt.
const baseURL = "http://control"

// SetAddresses replaces the known control processes, for example after a
// membership change. An empty list changes nothing.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = append(c.addresses[:0:0], addresses...)
}

// Close drops all pooled connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.CloseIdleConnections()
	}
}

type attemptTimeoutKey struct{}

// WithAttemptTimeout sets the time that one attempt may take, for calls that
// wait on the server's side.
func WithAttemptTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, attemptTimeoutKey{}, timeout)
}

// Do sends the request to the leader, as far as it is known, and elsewhere
// until one process answers or the request's context ends.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	ctx := request.Context()
	var last error
	for tries := 1; ; tries++ {
		address := c.pick()
		if address == "" {
			return nil, errors.WithSecondaryError(ErrUnreachable, errors.New("no address is configured"))
		}
		response, answer, err := c.attempt(ctx, request, body, address)
		if err == nil && !c.refused(response, answer, address) {
			return response, nil
		}
		if err == nil {
			err = errors.Newf("%s does not lead", address)
		} else {
			c.avoid(address)
		}
		last = err
		if !c.pause(ctx, tries) {
			return nil, errors.Wrapf(errors.Mark(last, ErrUnreachable), "gave up after %d attempts", tries)
		}
	}
}

// attempt makes one try and reads the whole answer.
func (c *Client) attempt(ctx context.Context, request *http.Request, body []byte, address string) (*http.Response, []byte, error) {
	timeout := c.options.AttemptTimeout
	if longer, ok := ctx.Value(attemptTimeoutKey{}).(time.Duration); ok {
		timeout = longer
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	try := request.Clone(ctx)
	try.URL.Host = address
	try.Host = address
	try.Body = io.NopCloser(bytes.NewReader(body))
	try.ContentLength = int64(len(body))
	pool := c.pool(address)
	response, err := pool.RoundTrip(try)
	if err != nil {
		pool.CloseIdleConnections()
		return nil, nil, errors.Wrapf(err, "call %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponse+1))
	if err != nil {
		pool.CloseIdleConnections()
		return nil, nil, errors.Wrapf(err, "read answer of %s", address)
	}
	if int64(len(answer)) > c.options.MaxResponse {
		return nil, nil, errors.Newf("answer of %s is longer than %d bytes", address, c.options.MaxResponse)
	}
	response.Body = io.NopCloser(bytes.NewReader(answer))
	return response, answer, nil
}

// refused reports whether the process does not lead, and notes who does.
func (c *Client) refused(response *http.Response, answer []byte, address string) bool {
	if response.StatusCode != http.StatusServiceUnavailable {
		c.prefer(address)
		return false
	}
	var refusal struct {
		Meta map[string]string `json:"meta"`
	}
	if err := json.Unmarshal(answer, &refusal); err != nil {
		return false
	}
	leader, ok := refusal.Meta[leaderMeta]
	if !ok {
		return false
	}
	if leader == "" || leader == address {
		c.avoid(address)
	} else {
		c.prefer(leader)
	}
	return true
}

func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred != "" {
		return c.preferred
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.next%len(c.addresses)]
}

func (c *Client) prefer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = address
}

// avoid moves on to the next address.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == address {
		c.preferred = ""
	}
	c.next++
}

// pause waits before the next attempt and returns false once ctx has ended.
func (c *Client) pause(ctx context.Context, tries int) bool {
	c.mu.Lock()
	round := max(1, len(c.addresses))
	c.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	if tries%round != 0 {
		return true
	}
	timer := time.NewTimer(c.options.RetryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, ok := c.pools[address]
	if !ok {
		pool = &http.Transport{
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}
		c.pools[address] = pool
	}
	return pool
}
