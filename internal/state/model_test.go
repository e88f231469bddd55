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

// sent is a publication that was sent, and the answer to its first sending.
type sent struct {
	command *apiv1.Command
	result  *apiv1.PublishResult
}

// machine drives a store, a replica that gets the same commands and is at
// times restored from a snapshot, a plain model, and a follower that knows only
// what the store told since its last look.
type machine struct {
	store   *state.Store
	replica *state.Store
	index   uint64

	now           int64
	inForceDigest string // digest
	revision      uint64 // of the configuration
	digestByBase  map[uint64]string
	sent          []sent
	endpoints     map[string]*apiv1.Endpoint
	withdrawn     map[string]bool
	announced     []*apiv1.EndpointExpiry // endpoints as they once were

	followedRevision  uint64
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
		t.Fatalf("two replicas answered %v and %v", result, other)
	}
	if m.store.NowUnixMs() != m.now {
		t.Fatalf("the clock shows %d, not %d", m.store.NowUnixMs(), m.now)
	}
	after := m.store.Revision()
	if after < before || after > before+1 {
		t.Fatalf("the revision went from %d to %d", before, after)
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

// Resend sends an earlier publication again, in another order of its jobs.
func (m *machine) Resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing was sent")
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
		t.Fatalf("%v on base %d answered %v; revision %d is in force", expected, base, result, m.revision)
	}
	if expected == apiv1.PublishResult_STATUS_APPLIED {
		if result.GetRevision() <= m.revision {
			t.Fatalf("revision %d follows %d", result.GetRevision(), m.revision)
		}
		m.digestByBase[base] = digest
		m.inForceDigest, m.revision = digest, result.GetRevision()
	}
	if result.GetCurrentRevision() != m.revision {
		t.Fatalf("revision %d is in force, told %d", m.revision, result.GetCurrentRevision())
	}
	m.checkResend(t, command, result)
	m.sent = append(m.sent, sent{command: command, result: result})
}

// checkResend compares with the answer to the first sending.
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
			t.Fatalf("a resend was answered with revision %d, first with %d", result.GetRevision(), earlier.result.GetRevision())
		}
		if result.GetStatus() == apiv1.PublishResult_STATUS_APPLIED {
			t.Fatal("a resend was applied again")
		}
	}
}

func (m *machine) Announce(t *rapid.T) {
	candidate := endpoint(drawID(t), rapid.IntRange(0, 2).Draw(t, "slots"))
	result := m.apply(t, announce(candidate)).GetEndpoint()
	refused := m.withdrawn[candidate.GetId()] || candidate.GetSlots() == 0
	if refused != (len(result.GetRefused()) == 1) {
		t.Fatalf("announcement of %q answered %v", candidate.GetId(), result)
	}
	if refused {
		return
	}
	if old, ok := m.endpoints[candidate.GetId()]; !ok || old.GetSlots() != candidate.GetSlots() {
		candidate.Revision = result.GetRevision()
		m.endpoints[candidate.GetId()] = candidate
	}
	m.announced = append(m.announced, &apiv1.EndpointExpiry{Id: candidate.GetId(), Revision: m.endpoints[candidate.GetId()].GetRevision()})
}

func (m *machine) Withdraw(t *rapid.T) {
	id := drawID(t)
	m.apply(t, withdraw(id))
	delete(m.endpoints, id)
	m.withdrawn[id] = true
}

// Expire proposes the expiry of an endpoint as it stands or as it stood once.
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

// Follow takes over what changed since the follower's last look.
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
		t.Fatalf("the follower knows %v, not %v", m.followedEndpoints, m.endpoints)
	}
}

// Restart restores the replica from the other's snapshot.
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
		t.Fatalf("revision %d is in force, not %d", publication.GetRevision(), m.revision)
	}
	if digest, _ := state.Digest(configuration); m.revision > 0 && digest != m.inForceDigest {
		t.Fatalf("digest %s is in force, not %s", digest, m.inForceDigest)
	}
	if len(m.store.Endpoints("")) != len(m.endpoints) {
		t.Fatalf("%d endpoints are known, not %d", len(m.store.Endpoints("")), len(m.endpoints))
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
		t.Fatal("two replicas of the same commands differ")
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
