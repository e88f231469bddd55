package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// followerLog is the log of a member that follows a leader, and is a voter until it is removed.
type followerLog struct {
	replica.Log
	removed atomic.Bool
}

func (f *followerLog) Status() replica.Status {
	status := replica.Status{Incarnation: 2, Term: 3, Leader: 1, Membership: &apiv1.Membership{Voters: []*apiv1.MemberInfo{{Incarnation: 1}}}}
	if !f.removed.Load() {
		status.Membership.Voters = append(status.Membership.Voters, &apiv1.MemberInfo{Incarnation: 2})
	}
	return status
}

// messageCounter is a handler of log records that counts those with one message.
type messageCounter struct {
	slog.Handler
	message string
	count   *atomic.Int64
}

func (c messageCounter) Enabled(context.Context, slog.Level) bool { return true }

func (c messageCounter) Handle(_ context.Context, record slog.Record) error {
	if record.Message == c.message {
		c.count.Add(1)
	}
	return nil
}

// Nothing in the log of a voter that had been replaced said why it took no part any more.
func TestRemovedVoterLogsItsRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, removals := &followerLog{}, &atomic.Int64{}
		server := &Server{}
		server.Log, server.Logger = log, slog.New(messageCounter{slog.DiscardHandler, "removed from the membership", removals})
		client := rpc.NewClient(rpc.Options{Addresses: []string{"127.0.0.1:1"}})
		defer client.Close()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			server.RegisterAsSpare(ctx, client, "")
		}()
		synctest.Wait()
		is.Equal(removals.Load(), int64(0))
		log.removed.Store(true)
		sleep(ctx, spareRegistrationInterval)
		synctest.Wait()
		is.Equal(removals.Load(), int64(1))
		cancel()
		<-ended
	})
}
