package endpoint

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// Defaults of Options.
const (
	defaultListen      = "127.0.0.1:0"
	defaultSlots       = 8
	defaultConnections = 64
)

// Options configures an endpoint. Service and AnnounceAddresses are required.
type Options struct {
	ID                string // default: a random UUID
	Service           string
	Listen            string   // host:port; default: a free loopback port
	Advertise         string   // announced host:port; default: the listening address
	AnnounceAddresses []string // host:port of the entries' announce listeners, tried in turn
	Location          *apiv1.Location
	Slots             int32  // default 8
	Connections       int32  // default 64
	Attempt           string // id of the task attempt that runs the endpoint, if any
	Behaviour         Behaviour
	Logger            *slog.Logger // default: discards everything
}

func (o Options) withDefaults() (Options, error) {
	if o.Service == "" {
		return o, errors.New("endpoint has no service name")
	}
	if len(o.AnnounceAddresses) == 0 {
		return o, errors.Newf("endpoint of service %q has no announce addresses", o.Service)
	}
	if o.ID == "" {
		o.ID = uuid.NewString()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Listen == "" {
		o.Listen = defaultListen
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	return o, nil
}

// Behaviour is how the endpoint responds. The zero value echoes the request body
// immediately with status 200.
type Behaviour struct {
	Delay        time.Duration `json:"delay_ns"` // between receipt and response
	Status       int           `json:"status"`   // HTTP status; 0 means 200
	TruncateBody bool          `json:"cut"`      // closes the connection after half of the response body
	DropResponse bool          `json:"drop"`     // closes the connection without a response
}
