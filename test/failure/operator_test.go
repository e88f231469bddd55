package failure_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/rpc"
)

// callTimeout bounds an operator's call; without a response by then, its outcome is
// indeterminate.
const callTimeout = 3 * time.Second

// operators publish and read concurrently, each with its own client, and record
// their calls in one history.
type operators struct {
	history         *history
	stop            chan struct{}
	done            sync.WaitGroup
	appliedCount    atomic.Int64
	highestRevision atomic.Uint64 // highest acknowledged revision
}

// startOperators runs the given number of operators against the members.
func startOperators(t testing.TB, c *cluster, count int) *operators {
	t.Helper()
	o := &operators{history: newHistory(), stop: make(chan struct{})}
	addresses := c.addresses()
	for id := range count {
		client := rpc.NewClient(rpc.Options{Addresses: addresses, AttemptTimeout: time.Second})
		o.done.Add(1)
		go func() {
			defer o.done.Done()
			defer client.Close()
			o.run(id, client.Control())
		}()
	}
	return o
}

// finish stops the operators, waits for their calls and returns the history.
func (o *operators) finish() *history {
	close(o.stop)
	o.done.Wait()
	return o.history
}

// run reads and publishes in turn until the operators are stopped.
func (o *operators) run(id int, control apiv1.Control) {
	for call := 0; ; call++ {
		select {
		case <-o.stop:
			return
		default:
		}
		base, content, ok := o.read(id, control)
		if !ok {
			continue
		}
		next := fmt.Sprintf("operator-%d-call-%d", id, call)
		o.publish(id, control, base, content, next)
	}
}

// read reads the configuration; ok is false if the call failed.
func (o *operators) read(id int, control apiv1.Control) (revision uint64, content string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	called := o.history.now()
	response, err := control.GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	if err != nil {
		return 0, "", false // a failed read does not constrain the history
	}
	content = contentOf(response.GetConfiguration())
	o.history.add(id, called, historyInput{kind: opRead}, historyOutput{content: content})
	return response.GetRevision(), content, true
}

// publish publishes content on top of the base revision, whose content is seen, and
// records the call.
func (o *operators) publish(id int, control apiv1.Control, base uint64, seen, content string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	in := historyInput{kind: opPublish, base: seen, content: content}
	called := o.history.now()
	response, err := control.Publish(ctx, &apiv1.PublishRequest{
		BaseRevision:  base,
		Configuration: configurationOf(content),
		Operator:      fmt.Sprintf("operator-%d", id),
	})
	if err != nil {
		o.history.add(id, called, in, historyOutput{unknown: true})
		return
	}
	conflict := response.GetResult().GetStatus() == apiv1.PublishResult_STATUS_CONFLICT
	o.history.add(id, called, in, historyOutput{conflict: conflict})
	if conflict {
		return
	}
	o.appliedCount.Add(1)
	for revision := response.GetResult().GetRevision(); ; {
		highest := o.highestRevision.Load()
		if revision <= highest || o.highestRevision.CompareAndSwap(highest, revision) {
			return
		}
	}
}

// configurationOf returns a valid configuration with one team, whose name is the
// content.
func configurationOf(content string) *apiv1.Configuration {
	return &apiv1.Configuration{Teams: []*apiv1.Team{{
		Name:  content,
		Quota: &apiv1.Resources{CpuMillis: 1000, MemoryBytes: 1 << 30},
	}}}
}

// contentOf returns the content of a configuration built by configurationOf.
func contentOf(configuration *apiv1.Configuration) string {
	if teams := configuration.GetTeams(); len(teams) > 0 {
		return teams[0].GetName()
	}
	return ""
}
