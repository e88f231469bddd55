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
	callTimeout     = 2 * time.Second
	retryPause      = 200 * time.Millisecond
	renewalsPerTerm = 3 // renewals within one lease
	minRenewPause   = 10 * time.Millisecond
	maxAnswer       = 1 << 20
)

// announcer keeps one endpoint known to the cell.
type announcer struct {
	endpoint *apiv1.Endpoint
	entries  []string
	next     int
	client   *http.Client
	logger   *slog.Logger
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
			Attempt:     options.AttemptID,
		},
		entries: options.AnnounceAddresses,
		client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
		logger:  options.Logger.With("endpoint", options.ID),
	}
}

// run announces the endpoint and renews its lease until ctx ends. It closes
// announced after the first success.
func (a *announcer) run(ctx context.Context, announced chan<- struct{}) error {
	defer a.client.CloseIdleConnections()
	known, first, failing := false, true, false
	for ctx.Err() == nil {
		lease, stillKnown, err := a.step(ctx, known)
		if failed := err != nil; failed != failing {
			failing = failed
			a.logger.Info("announcements", "failing", failing, "error", err)
		}
		if err != nil {
			wait(ctx, retryPause)
			continue
		}
		if first && stillKnown {
			first = false
			close(announced)
		}
		if known = stillKnown; known {
			wait(ctx, max(lease/renewalsPerTerm, minRenewPause))
		}
	}
	return nil
}

// step announces or renews, and returns the lease and whether the endpoint is
// known. The call is finished even if ctx ends meanwhile, so that its fate is
// known.
func (a *announcer) step(ctx context.Context, known bool) (time.Duration, bool, error) {
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

// withdraw makes the endpoint leave, and returns how long it may still receive
// new requests.
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
		wait(ctx, retryPause)
	}
}

// call asks one entry, and moves on to the next for later calls if it fails.
func (a *announcer) call(ctx context.Context, method string, request, response proto.Message) error {
	entry := a.entries[a.next%len(a.entries)]
	err := a.callEntry(ctx, entry, method, request, response)
	if err != nil {
		a.next++
	}
	return err
}

func (a *announcer) callEntry(ctx context.Context, entry, method string, request, response proto.Message) error {
	body, err := protojson.Marshal(request)
	if err != nil {
		return errors.Wrapf(err, "encode %s", method)
	}
	url := "http://" + entry + apiv1.DiscoveryPathPrefix + method
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "build %s", method)
	}
	post.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(post)
	if err != nil {
		a.client.CloseIdleConnections() // a silent connection must not be used again
		return errors.Wrapf(err, "call %s of %s", method, entry)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return errors.Wrapf(err, "read answer of %s", entry)
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("%s of %s answered with %s: %s", method, entry, answer.Status, text)
	}
	return errors.Wrapf(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(text, response), "decode answer of %s", entry)
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
