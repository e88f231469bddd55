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

// Options sets an endpoint up. Service and Announce are required.
type Options struct {
	ID                string // default: random
	Service           string
	Listen            string   // default: a free loopback port
	Advertise         string   // host:port to announce; default: where it listens
	AnnounceAddresses []string // announce addresses of entries; any one will do
	Location          *apiv1.Location
	Slots             int32  // default 8
	Connections       int32  // default 64
	AttemptID         string // the task attempt that runs it, if any
	Behaviour         Behaviour
	Logger            *slog.Logger // default: none
}

func (o Options) withDefaults() (Options, error) {
	if o.Service == "" {
		return o, errors.New("endpoint has no service")
	}
	if len(o.AnnounceAddresses) == 0 {
		return o, errors.Newf("endpoint of service %q has no entry to announce itself at", o.Service)
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

// Behaviour is how the endpoint answers. The zero value echoes at once.
type Behaviour struct {
	Delay        time.Duration `json:"delay_ns"` // between receipt and answer
	Status       int           `json:"status"`   // answers with this status; 0: 200
	TruncateBody bool          `json:"cut"`      // breaks the connection halfway through the answer
	DropResponse bool          `json:"drop"`     // breaks the connection without an answer
}
