package state_test

import (
	"bytes"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/state"
)

// sent is a publish command that was passed to Apply, and its result.
type sent struct {
	command *apiv1.Command
	result  *apiv1.PublishResult
}

// machine applies random commands to a store and to a replica, which is at times
// restored from the store's snapshot. It compares both with a simple model, and with
// a reader that keeps its own set of endpoints up to date by EndpointsSince.
type machine struct {
	store   *state.Store
	replica *state.Store
	index   uint64 // of the last command

	now           int64 // replicated time in Unix milliseconds
	inForceDigest string
	revision      uint64            // of the configuration in force
	digestByBase  map[uint64]string // of the publication applied on each base revision
	sent          []sent
	endpoints     map[string]*apiv1.Endpoint
	withdrawn     map[string]bool
	announced     []*apiv1.EndpointExpiry // every version of an endpoint that was announced

	followedRevision  uint64 // up to which the reader is up to date
	followedEndpoints map[string]*apiv1.Endpoint
}

func newMachine() *machine {
	return &machine{
		store:             state.New(state.Options{}),
		replica:           state.New(state.Options{}),
		digestByBase:      make(map[uint64]string),
		endpoints:         make(map[string]*apiv1.Endpoint),
		withdrawn:         make(map[string]bool),
		followedEndpoints: make(map[string]*apiv1.Endpoint),
	}
}

func (m *machine) apply(t *rapid.T, command *apiv1.Command) *apiv1.CommandResult {
	before := m.store.Revision()
	command.LeaderUnixMs = rapid.Int64Range(0, 1000).Draw(t, "time")
	m.now = max(m.now, command.GetLeaderUnixMs())
	m.index++
	result := m.store.Apply(m.index, proto.CloneOf(command))
	other := m.replica.Apply(m.index, proto.CloneOf(command))
	if !proto.Equal(result, other) {
		t.Fatalf("the store returned %v, the replica %v", result, other)
	}
	if m.store.NowUnixMs() != m.now {
		t.Fatalf("the replicated time is %d, want %d", m.store.NowUnixMs(), m.now)
	}
	after := m.store.Revision()
	if after < before || after > before+1 {
		t.Fatalf("the revision went from %d to %d, want an increase by 0 or 1", before, after)
	}
	return result
}

func (m *machine) Publish(t *rapid.T) {
	count := rapid.IntRange(0, 3).Draw(t, "services")
	var services []string
	for i := range count {
		services = append(services, serviceName(i))
	}
	base := rapid.SampledFrom([]uint64{m.revision, m.revision, 0, m.revision + 1}).Draw(t, "base")
	if len(m.sent) > 0 && rapid.Bool().Draw(t, "old base") {
		base = rapid.SampledFrom(m.sent).Draw(t, "earlier").command.GetPublish().GetBaseRevision()
	}
	m.publish(t, publish(base, rapid.SampledFrom([]string{"ana", "bo"}).Draw(t, "operator"), configuration(services...)))
}

// Resend applies an earlier publish command again, with its jobs in another order.
func (m *machine) Resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing was published")
	}
	again := proto.CloneOf(rapid.SampledFrom(m.sent).Draw(t, "earlier").command)
	slices.Reverse(again.GetPublish().GetConfiguration().GetJobs())
	m.publish(t, again)
}

func (m *machine) publish(t *rapid.T, command *apiv1.Command) {
	result := m.apply(t, command).GetPublish()
	base := command.GetPublish().GetBaseRevision()
	digest, err := state.Digest(command.GetPublish().GetConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	var expected apiv1.PublishResult_Status
	switch {
	case m.revision > 0 && digest == m.inForceDigest:
		expected = apiv1.PublishResult_STATUS_ALREADY_APPLIED
	case m.digestByBase[base] == digest && m.digestByBase[base] != "":
		expected = apiv1.PublishResult_STATUS_SUPERSEDED
	case base == m.revision:
		expected = apiv1.PublishResult_STATUS_APPLIED
	default:
		expected = apiv1.PublishResult_STATUS_CONFLICT
	}
	if result.GetStatus() != expected {
		t.Fatalf("want %v on base %d, got %v; revision %d is in force", expected, base, result, m.revision)
	}
	if expected == apiv1.PublishResult_STATUS_APPLIED {
		if result.GetRevision() <= m.revision {
			t.Fatalf("revision %d was assigned after %d", result.GetRevision(), m.revision)
		}
		m.digestByBase[base] = digest
		m.inForceDigest, m.revision = digest, result.GetRevision()
	}
	if result.GetCurrentRevision() != m.revision {
		t.Fatalf("revision %d is in force, but the result says %d", m.revision, result.GetCurrentRevision())
	}
	m.checkResend(t, command, result)
	m.sent = append(m.sent, sent{command: command, result: result})
}

// checkResend compares the result with those of earlier commands that have the same
// content and base revision.
func (m *machine) checkResend(t *rapid.T, command *apiv1.Command, result *apiv1.PublishResult) {
	digest, _ := state.Digest(command.GetPublish().GetConfiguration())
	for _, earlier := range m.sent {
		first, _ := state.Digest(earlier.command.GetPublish().GetConfiguration())
		same := first == digest && earlier.command.GetPublish().GetBaseRevision() == command.GetPublish().GetBaseRevision()
		if !same || earlier.result.GetStatus() != apiv1.PublishResult_STATUS_APPLIED {
			continue
		}
		superseded := result.GetStatus() == apiv1.PublishResult_STATUS_SUPERSEDED
		if superseded && result.GetRevision() != earlier.result.GetRevision() {
			t.Fatalf("the resend got revision %d, the first publication %d", result.GetRevision(), earlier.result.GetRevision())
		}
		if result.GetStatus() == apiv1.PublishResult_STATUS_APPLIED {
			t.Fatal("a resend was applied again")
		}
	}
}

func (m *machine) Announce(t *rapid.T) {
	announcement := endpoint(drawID(t), rapid.IntRange(0, 2).Draw(t, "slots"))
	result := m.apply(t, announce(announcement)).GetEndpoint()
	refused := m.withdrawn[announcement.GetId()] || announcement.GetSlots() == 0
	if refused != (len(result.GetRefused()) == 1) {
		t.Fatalf("announcement of %q returned %v", announcement.GetId(), result)
	}
	if refused {
		return
	}
	if old, ok := m.endpoints[announcement.GetId()]; !ok || old.GetSlots() != announcement.GetSlots() {
		announcement.Revision = result.GetRevision()
		m.endpoints[announcement.GetId()] = announcement
	}
	m.announced = append(m.announced, &apiv1.EndpointExpiry{Id: announcement.GetId(), Revision: m.endpoints[announcement.GetId()].GetRevision()})
}

func (m *machine) Withdraw(t *rapid.T) {
	id := drawID(t)
	m.apply(t, withdraw(id))
	delete(m.endpoints, id)
	m.withdrawn[id] = true
}

// Expire applies the expiry of a current or an earlier version of an endpoint.
func (m *machine) Expire(t *rapid.T) {
	if len(m.announced) == 0 {
		t.Skip("nothing was announced")
	}
	expiry := rapid.SampledFrom(m.announced).Draw(t, "seen")
	m.apply(t, expire(expiry.GetId(), expiry.GetRevision()))
	if current, ok := m.endpoints[expiry.GetId()]; ok && current.GetRevision() == expiry.GetRevision() {
		delete(m.endpoints, expiry.GetId())
	}
}

// Follow updates the reader's endpoints by EndpointsSince and compares them with the
// model.
func (m *machine) Follow(t *rapid.T) {
	revision := m.store.Revision()
	delta := m.store.EndpointsSince(m.followedRevision)
	if delta.Reset {
		m.followedEndpoints = make(map[string]*apiv1.Endpoint)
	}
	for _, changed := range delta.Changed {
		m.followedEndpoints[changed.GetId()] = changed
	}
	for _, id := range delta.Removed {
		delete(m.followedEndpoints, id)
	}
	m.followedRevision = revision
	if !maps.EqualFunc(m.followedEndpoints, m.endpoints, func(a, b *apiv1.Endpoint) bool { return proto.Equal(a, b) }) {
		t.Fatalf("the reader has the endpoints %v, want %v", m.followedEndpoints, m.endpoints)
	}
}

// Restart replaces the replica by one restored from the store's snapshot.
func (m *machine) Restart(t *rapid.T) {
	snapshot, err := m.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m.replica = state.New(state.Options{})
	if err := m.replica.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
}

// Check compares the store with the model and with the replica.
func (m *machine) Check(t *rapid.T) {
	configuration, publication := m.store.Configuration()
	if publication.GetRevision() != m.revision {
		t.Fatalf("revision %d is in force, want %d", publication.GetRevision(), m.revision)
	}
	if digest, _ := state.Digest(configuration); m.revision > 0 && digest != m.inForceDigest {
		t.Fatalf("digest %s is in force, want %s", digest, m.inForceDigest)
	}
	if len(m.store.Endpoints("")) != len(m.endpoints) {
		t.Fatalf("the store has %d endpoints, want %d", len(m.store.Endpoints("")), len(m.endpoints))
	}
	first, err := m.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	second, err := m.replica.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Fatal("snapshots of the store and its replica differ")
	}
}

func drawID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
}

func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"publish":  m.Publish,
			"resend":   m.Resend,
			"announce": m.Announce,
			"withdraw": m.Withdraw,
			"expire":   m.Expire,
			"follow":   m.Follow,
			"restart":  m.Restart,
			"":         m.Check,
		})
	})
}
