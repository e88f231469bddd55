package endpoint

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const (
	callTimeout      = 2 * time.Second
	retryBackoff     = 200 * time.Millisecond
	renewalsPerLease = 3 // renewals within one lease
	minRenewInterval = 10 * time.Millisecond
	maxResponseBytes = 1 << 20
)

// announcer announces one endpoint to the entries and renews its lease. Its
// methods must not be called concurrently.
type announcer struct {
	endpoint  *apiv1.Endpoint
	entries   []string
	nextEntry int
	client    *http.Client
	logger    *slog.Logger
}

func newAnnouncer(options Options, address string) *announcer {
	return &announcer{
		endpoint: &apiv1.Endpoint{
			Id:          options.ID,
			Service:     options.Service,
			Address:     address,
			Location:    options.Location,
			Slots:       options.Slots,
			Connections: options.Connections,
			Attempt:     options.Attempt,
		},
		entries: options.AnnounceAddresses,
		client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
		logger:  options.Logger.With("endpoint", options.ID),
	}
}

// run announces the endpoint and renews its lease until ctx is done. It closes
// announced after the first successful announcement and always returns nil.
func (a *announcer) run(ctx context.Context, announced chan<- struct{}) error {
	defer a.client.CloseIdleConnections()
	known, first, failing := false, true, false
	for ctx.Err() == nil {
		lease, stillKnown, err := a.announceOrRenew(ctx, known)
		if failed := err != nil; failed != failing {
			failing = failed
			a.logger.Info("endpoint announcements changed state", "failing", failing, "error", err)
		}
		if err != nil {
			sleep(ctx, retryBackoff)
			continue
		}
		if first && stillKnown {
			first = false
			close(announced)
		}
		if known = stillKnown; known {
			sleep(ctx, max(lease/renewalsPerLease, minRenewInterval))
		}
	}
	return nil
}

// announceOrRenew renews the endpoint if known is set, and announces it otherwise.
// It returns the lease duration and whether the endpoint is now known. Cancelling
// ctx doesn't cancel the call, which would leave its outcome indeterminate.
func (a *announcer) announceOrRenew(ctx context.Context, known bool) (time.Duration, bool, error) {
	ctx = context.WithoutCancel(ctx)
	if !known {
		var response apiv1.AnnounceResponse
		err := a.call(ctx, "Announce", &apiv1.AnnounceRequest{Endpoint: a.endpoint}, &response)
		return milliseconds(response.GetLeaseMs()), err == nil, err
	}
	var response apiv1.RenewEndpointResponse
	err := a.call(ctx, "Renew", &apiv1.RenewEndpointRequest{Id: a.endpoint.GetId()}, &response)
	return milliseconds(response.GetLeaseMs()), response.GetKnown(), err
}

// withdraw withdraws the endpoint, retrying until ctx is done. It returns how long
// the endpoint may still receive new requests.
func (a *announcer) withdraw(ctx context.Context) (time.Duration, error) {
	defer a.client.CloseIdleConnections()
	for {
		var response apiv1.WithdrawResponse
		err := a.call(ctx, "Withdraw", &apiv1.WithdrawRequest{Id: a.endpoint.GetId()}, &response)
		if err == nil {
			return milliseconds(response.GetQuietAfterMs()), nil
		}
		if ctx.Err() != nil {
			return 0, errors.Wrapf(err, "withdraw endpoint %q", a.endpoint.GetId())
		}
		sleep(ctx, retryBackoff)
	}
}

// call sends one request to the current entry. On an error, later calls use the
// next entry.
func (a *announcer) call(ctx context.Context, method string, request, response proto.Message) error {
	entry := a.entries[a.nextEntry%len(a.entries)]
	err := a.callEntry(ctx, entry, method, request, response)
	if err != nil {
		a.nextEntry++
	}
	return err
}

func (a *announcer) callEntry(ctx context.Context, entry, method string, request, response proto.Message) error {
	body, err := protojson.Marshal(request)
	if err != nil {
		return errors.Wrapf(err, "encode %s request", method)
	}
	url := "http://" + entry + apiv1.DiscoveryPathPrefix + method
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "build %s request", method)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := a.client.Do(httpRequest)
	if err != nil {
		a.client.CloseIdleConnections() // don't reuse a connection that may be dead
		return errors.Wrapf(err, "call %s of entry %s", method, entry)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read response of entry %s", entry)
	}
	if httpResponse.StatusCode != http.StatusOK {
		return errors.Newf("%s failed at entry %s: %s: %s", method, entry, httpResponse.Status, responseBody)
	}
	return errors.Wrapf(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(responseBody, response), "decode response of entry %s", entry)
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
