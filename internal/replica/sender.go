package replica

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// sender delivers messages to one member, in order, one call at a time.
// Snapshots go beside, so that they don't hold up heartbeats.
type sender struct {
	transport   *transport
	incarnation uint64
	address     string
	queue       chan *apiv1.RaftMessage
	snapshots   chan *apiv1.RaftMessage
	stop        chan struct{}
	pool        *http.Transport
	client      apiv1.Peer
}

// Limits of one sender.
const (
	sendQueue         = 1_024 // messages
	maxStepBytes      = 1 << 20
	minLinkBytes      = 1 << 20 // a second, for which deadlines allow
	maxIdleConns      = 2
	idleConnTimeout   = 30 * time.Second
	snapshotLinkBytes = 512 << 10 // a second, for which snapshot deadlines allow
)

func newSender(t *transport, incarnation uint64, address string) *sender {
	pool := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	var roundTripper http.RoundTripper = pool
	if t.config.WrapTransport != nil {
		roundTripper = t.config.WrapTransport(pool)
	}
	return &sender{
		transport:   t,
		incarnation: incarnation,
		address:     address,
		queue:       make(chan *apiv1.RaftMessage, sendQueue),
		snapshots:   make(chan *apiv1.RaftMessage, 1),
		stop:        make(chan struct{}),
		pool:        pool,
		client:      apiv1.NewPeerProtobufClient("http://"+address, &http.Client{Transport: roundTripper}),
	}
}

// enqueue returns false if the queue is full.
func (s *sender) enqueue(message *apiv1.RaftMessage) bool {
	queue := s.queue
	if message.GetType() == apiv1.RaftMessage_TYPE_SNAPSHOT {
		queue = s.snapshots
	}
	select {
	case queue <- message:
		return true
	default:
		return false
	}
}

func (s *sender) run(ctx context.Context) error {
	defer s.pool.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.stop:
			return nil
		case first := <-s.queue:
			s.sendBatch(ctx, first)
		}
	}
}

// sendBatch sends the first message and those that wait behind it.
func (s *sender) sendBatch(ctx context.Context, first *apiv1.RaftMessage) {
	batch := []*apiv1.RaftMessage{first}
	size := proto.Size(first)
	for size < maxStepBytes && len(s.queue) > 0 {
		next := <-s.queue
		batch = append(batch, next)
		size += proto.Size(next)
	}
	timeout := s.transport.config.CallTimeout + transferTime(size, minLinkBytes)
	if s.call(ctx, batch, timeout) == nil {
		s.transport.counters.messagesSent.Inc(int64(len(batch)))
	}
}

// transferTime is how long so many bytes take at a rate in bytes a second.
func transferTime(size, rate int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(rate)
}

func (s *sender) call(ctx context.Context, batch []*apiv1.RaftMessage, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	identity := s.transport.store.Identity()
	_, err := s.client.Step(ctx, &apiv1.StepRequest{
		ClusterId:   identity.ClusterID,
		Messages:    batch,
		From:        identity.Incarnation,
		FromAddress: s.transport.config.Address,
	})
	if err != nil {
		s.transport.counters.callsFailed.Inc(1)
		// A pooled connection may have gone silent for good.
		s.pool.CloseIdleConnections()
	}
	return err
}

func (s *sender) runSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.stop:
			return nil
		case message := <-s.snapshots:
			if s.sendSnapshot(ctx, message) == nil {
				s.transport.counters.snapshotsSent.Inc(1)
				continue
			}
			select {
			case s.transport.failedSnapshots <- s.incarnation:
			case <-ctx.Done():
			}
		}
	}
}

// sendSnapshot sends the newest stored snapshot.
func (s *sender) sendSnapshot(ctx context.Context, message *apiv1.RaftMessage) error {
	snapshot, err := s.transport.store.LoadSnapshot()
	if err != nil {
		s.transport.config.Logger.Error("reading the snapshot to send", "error", err)
		return err
	}
	message.Snapshot = snapshot.Meta
	message.SnapshotData = snapshot.Data
	timeout := s.transport.config.CallTimeout + transferTime(len(snapshot.Data), snapshotLinkBytes)
	return s.call(ctx, []*apiv1.RaftMessage{message}, timeout)
}
