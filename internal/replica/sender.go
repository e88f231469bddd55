package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// sender delivers messages to one member, in order as long as calls are answered within Config.CallTimeout. A call
// that takes longer goes on, since a slow network or process may still deliver it, and newer messages are sent beside it
// over another connection: its own may be dead. Snapshots are sent concurrently with the other messages, so that they
// don't delay heartbeats.
type sender struct {
	transport     *transport
	incarnation   uint64
	address       string
	queue         chan *apiv1.RaftMessage
	snapshots     chan *apiv1.RaftMessage
	stop          chan struct{} // closed to stop the sender
	httpTransport *http.Transport
	client        apiv1.Peer
	times         callTimes
	calls         sync.WaitGroup // in progress
}

// snapshotResult tells whether a snapshot has reached the process of a member.
type snapshotResult struct {
	incarnation uint64
	delivered   bool
}

// Limits of one sender.
const (
	sendQueueLength           = 1_024   // messages
	maxStepRequestBytes       = 1 << 20 // size from which on no message is added to a request
	minLinkBytesPerSecond     = 1 << 20 // slowest transfer rate that call timeouts allow for
	maxIdleConns              = 2
	idleConnTimeout           = 30 * time.Second
	minSnapshotBytesPerSecond = 512 << 10 // slowest transfer rate that snapshot timeouts allow for
	// longestCall is how long a call may take, as a multiple of the time after which newer messages overtake it.
	longestCall = 16
	// maxOvertakenBytes is the size of the messages that overtaken calls to a member hold; the oldest are given up beyond it.
	maxOvertakenBytes = 2 << 20
)

func newSender(t *transport, incarnation uint64, address string) *sender {
	httpTransport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	var roundTripper http.RoundTripper = httpTransport
	if t.config.WrapTransport != nil {
		roundTripper = t.config.WrapTransport(httpTransport)
	}
	return &sender{
		transport:     t,
		incarnation:   incarnation,
		address:       address,
		queue:         make(chan *apiv1.RaftMessage, sendQueueLength),
		snapshots:     make(chan *apiv1.RaftMessage, 1),
		stop:          make(chan struct{}),
		httpTransport: httpTransport,
		client:        apiv1.NewPeerProtobufClient("http://"+address, &http.Client{Transport: roundTripper}),
	}
}

// enqueue queues a message. It returns false and drops the message if the queue
// is full.
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

// run sends the queued messages, except snapshots, until ctx ends or the sender
// is stopped.
func (s *sender) run(ctx context.Context) error {
	defer s.httpTransport.CloseIdleConnections()
	defer s.calls.Wait()
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

// sendBatch sends the first message and those queued after it in one call. It returns once the call is answered or may be
// overtaken.
func (s *sender) sendBatch(ctx context.Context, first *apiv1.RaftMessage) {
	batch := []*apiv1.RaftMessage{first}
	size := proto.Size(first)
	for size < maxStepRequestBytes && len(s.queue) > 0 {
		next := <-s.queue
		batch = append(batch, next)
		size += proto.Size(next)
	}
	patience := s.transport.config.CallTimeout + transferTime(size, minLinkBytesPerSecond)
	done := make(chan struct{})
	s.calls.Go(func() {
		defer close(done)
		if s.call(ctx, batch, size, longestCall*s.transport.config.CallTimeout+transferTime(size, minLinkBytesPerSecond)) == nil {
			s.transport.counters.messagesSent.Inc(int64(len(batch)))
		}
	})
	s.awaitCall(ctx, done, patience)
}

// awaitCall waits for the end of a call. After the given time it lets the next one go ahead on a new connection.
func (s *sender) awaitCall(ctx context.Context, done <-chan struct{}, patience time.Duration) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.C:
		s.transport.counters.callsOvertaken.Inc(1)
		s.times.cancelOldest(maxOvertakenBytes)
		s.httpTransport.CloseIdleConnections()
	}
}

// transferTime returns the time to transfer size bytes at rate bytes per second.
func transferTime(size, rate int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(rate)
}

// call sends the messages, of size bytes, in one step request.
func (s *sender) call(ctx context.Context, batch []*apiv1.RaftMessage, size int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	identity := s.transport.store.Identity()
	open := s.times.begin(time.Now(), size, cancel)
	_, err := s.client.Step(ctx, &apiv1.StepRequest{
		ClusterId:   identity.ClusterID,
		Messages:    batch,
		From:        identity.Incarnation,
		FromAddress: s.transport.config.Address,
	})
	s.times.end(time.Now(), open, err)
	if err != nil {
		s.transport.counters.callsFailed.Inc(1)
		// An idle connection may be dead without having been closed; the next
		// call must not reuse it.
		s.httpTransport.CloseIdleConnections()
		return err
	}
	s.transport.counters.calls.UpdateSince(open.begun)
	return nil
}

// runSnapshots sends the queued snapshots until ctx ends or the sender is
// stopped, and reports the results to the loop.
func (s *sender) runSnapshots(ctx context.Context) error {
	patience := 1 // doubled after each failure: the connection may have been dead, or the link be slow
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.stop:
			return nil
		case message := <-s.snapshots:
			begin := time.Now()
			err := s.sendSnapshot(ctx, message, patience)
			s.transport.config.Logger.Info("snapshot sent", "to", s.address, "index", message.GetSnapshot().GetIndex(),
				"bytes", len(message.GetSnapshotData()), "duration_ms", time.Since(begin).Milliseconds(), "error", err)
			delivered := err == nil
			patience = min(2*patience, longestCall)
			if delivered {
				patience = 1
				s.transport.counters.snapshotsSent.Inc(1)
			}
			select {
			case s.transport.snapshotResults <- snapshotResult{s.incarnation, delivered}:
			case <-ctx.Done():
			}
		}
	}
}

// sendSnapshot adds the newest stored snapshot to the message and sends it. The time that it may take is that on a link
// of the slowest rate, times patience.
func (s *sender) sendSnapshot(ctx context.Context, message *apiv1.RaftMessage, patience int) error {
	snapshot, err := s.transport.store.LoadSnapshot()
	if err != nil {
		s.transport.config.Logger.Error("could not read the snapshot to send", "error", err)
		return err
	}
	message.Snapshot = snapshot.Meta
	message.SnapshotData = snapshot.Data
	timeout := time.Duration(patience) * (s.transport.config.CallTimeout + transferTime(len(snapshot.Data), minSnapshotBytesPerSecond))
	// The size counts as none, so that no snapshot is given up for newer messages.
	return s.call(ctx, []*apiv1.RaftMessage{message}, 0, timeout)
}
