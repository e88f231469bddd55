package claims_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/fixedseed"
	"github.com/pistachioport/pistachioport/internal/state/claims"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	fixedseed.Main(m, fixedseed.Default, 500)
}

const start = int64(1_700_000_000_000)

func take(key, attempt, body string) *apiv1.ClaimChange {
	return &apiv1.ClaimChange{Key: key, Change: &apiv1.ClaimChange_Take{Take: &apiv1.ClaimTake{
		RequestDigest: []byte(body), Entry: "entry-" + attempt, Attempt: attempt, Service: "dispatch",
	}}}
}

func settle(key, attempt string, outcome apiv1.Outcome, answer string) *apiv1.ClaimChange {
	return &apiv1.ClaimChange{Key: key, Change: &apiv1.ClaimChange_Settle{Settle: &apiv1.ClaimSettle{
		Entry: "entry-" + attempt, Attempt: attempt, Outcome: outcome,
		Answer: &apiv1.KeptAnswer{Status: 200, Body: []byte(answer)},
	}}}
}

func abort(key, attempt string) *apiv1.ClaimChange {
	return &apiv1.ClaimChange{Key: key, Change: &apiv1.ClaimChange_Abort{Abort: &apiv1.ClaimAbort{
		Entry: "entry-" + attempt, Attempt: attempt, Reason: "test",
	}}}
}

func apply(table *claims.Table, at int64, change *apiv1.ClaimChange) *apiv1.ClaimResult {
	return table.Apply(at, &apiv1.ClaimBatch{Changes: []*apiv1.ClaimChange{change}}).GetResults()[0]
}

const (
	done    = apiv1.Outcome_OUTCOME_DONE
	unknown = apiv1.Outcome_OUTCOME_UNKNOWN
	notRun  = apiv1.Outcome_OUTCOME_NOT_RUN
)

func TestClaimTransitions(t *testing.T) {
	type step struct {
		change  *apiv1.ClaimChange
		refusal string // empty: the change wins
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"the first take wins", []step{{take("k", "a", "x"), ""}, {take("k", "b", "x"), "taken"}}},
		{"the holder may repeat its take", []step{{take("k", "a", "x"), ""}, {take("k", "a", "x"), ""}}},
		{"a take with another request digest is refused", []step{{take("k", "a", "x"), ""}, {take("k", "b", "y"), "other-body"}}},
		{"a settled key is refused to every attempt", []step{
			{take("k", "a", "x"), ""},
			{settle("k", "a", done, "ok"), ""},
			{take("k", "a", "x"), "settled"},
			{take("k", "b", "x"), "settled"},
			{take("k", "b", "y"), "other-body"},
		}},
		{"an aborted key is free for other attempts only", []step{
			{take("k", "a", "x"), ""}, {abort("k", "a"), ""}, {take("k", "a", "x"), "aborted"}, {take("k", "b", "y"), ""},
		}},
		{"an abort bars a take that is applied later", []step{
			{abort("k", "a"), ""}, {take("k", "a", "x"), "aborted"}, {take("k", "b", "x"), ""}, {take("k", "a", "x"), "aborted"},
		}},
		{"an abort is idempotent", []step{{take("k", "a", "x"), ""}, {abort("k", "a"), ""}, {abort("k", "a"), ""}}},
		{"a settled claim can't be aborted", []step{
			{take("k", "a", "x"), ""}, {settle("k", "a", unknown, ""), ""}, {abort("k", "a"), "settled"},
		}},
		{"the first outcome stays", []step{
			{take("k", "a", "x"), ""}, {settle("k", "a", unknown, ""), ""}, {settle("k", "a", done, "ok"), "settled"},
		}},
		{"only the holder settles", []step{
			{take("k", "a", "x"), ""}, {settle("k", "b", done, "ok"), "not-holder"}, {settle("none", "a", done, "ok"), "not-holder"},
		}},
		{"another attempt's abort does not affect the holder", []step{
			{take("k", "a", "x"), ""}, {abort("k", "b"), ""}, {settle("k", "a", done, "ok"), ""},
		}},
		{"only an abort records the outcome not run", []step{{take("k", "a", "x"), ""}, {settle("k", "a", notRun, ""), "invalid"}}},
		{"a change without a key is refused", []step{{take("", "a", "x"), "invalid"}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := claims.New(claims.Options{})
			for i, s := range test.steps {
				result := apply(table, start, s.change)
				if result.GetRefusal() != s.refusal || result.GetWon() != (s.refusal == "") {
					t.Fatalf("step %d: won %v, refusal %q; want refusal %q", i+1, result.GetWon(), result.GetRefusal(), s.refusal)
				}
			}
		})
	}
}

func TestKeysAreKeptForTheRetention(t *testing.T) {
	is := is.New(t)
	table := claims.New(claims.Options{Retention: time.Hour, GeneratedRetention: time.Minute})
	apply(table, start, take("kept", "a", "x"))
	generated := take("generated", "b", "x")
	generated.GetTake().GeneratedKey = true
	apply(table, start, generated)
	apply(table, start, settle("kept", "a", done, "answer"))
	apply(table, start, settle("generated", "b", done, "answer"))

	hour := time.Hour.Milliseconds()
	is.Equal(apply(table, start+hour, take("kept", "c", "x")).GetRefusal(), "settled")
	_, found := table.Lookup("generated")
	is.True(!found) // its shorter retention has passed
	is.True(apply(table, start+hour+1, take("kept", "c", "x")).GetWon())
	is.Equal(apply(table, start, take("kept", "d", "x")).GetRefusal(), "taken") // the table's clock never goes back
}

// A version 7 UUID contains its creation time, so that a request that is resent
// after the retention is refused instead of run again.
func TestVersion7KeysExpireByTheirTimestamp(t *testing.T) {
	is := is.New(t)
	table := claims.New(claims.Options{Retention: time.Hour})
	key := uuid.Must(uuid.NewV7()).String()
	now := time.Now().UnixMilli()
	is.True(apply(table, now, take(key, "a", "x")).GetWon())
	apply(table, now, settle(key, "a", done, "answer"))
	for _, later := range []time.Duration{time.Minute, 59 * time.Minute, time.Hour, 61 * time.Minute, 24 * time.Hour} {
		is.True(!apply(table, now+later.Milliseconds(), take(key, "b", "x")).GetWon())
	}
	is.Equal(apply(table, now, take(key, "b", "x")).GetRefusal(), "key-expired")
	early := claims.New(claims.Options{Retention: time.Hour})
	is.Equal(apply(early, now-time.Hour.Milliseconds(), take(key, "a", "x")).GetRefusal(), "key-future")
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := claims.New(claims.Options{MaxClaims: 10, MaxAnswerBytes: 100, MaxTotalAnswerBytes: 250})
	for i := range 10 {
		key := fmt.Sprint(i)
		is.True(apply(table, start, take(key, "a", "x")).GetWon())
		is.True(apply(table, start, settle(key, "a", done, string(bytes.Repeat([]byte("y"), 100)))).GetWon())
	}
	is.Equal(apply(table, start, take("one more", "a", "x")).GetRefusal(), "full")
	is.Equal(apply(table, start, take("0", "b", "x")).GetRefusal(), "settled") // no key is forgotten early
	for i := range 10 {
		state, found := table.Lookup(fmt.Sprint(i))
		is.True(found)
		is.Equal(state.GetAnswer().GetTruncated(), i < 8) // the oldest answers were dropped
	}
	apply(table, start+time.Hour.Milliseconds()+1, abort("other", "a"))
	is.Equal(table.Len(), 1)
}

// TestAtMostOneAttemptHoldsAKey applies repeated takes, aborts and settlements of
// several attempts in random order, with restores in between. No attempt may win a
// key that another one won and did not abort, or win after its own abort, and a
// restored copy must return the same results and snapshots as the original.
func TestAtMostOneAttemptHoldsAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, copied := claims.New(smallOptions()), claims.New(smallOptions())
		holders := make(map[string]string) // key to the attempt that won it
		aborted := make(map[string]bool)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(-10, 400).Draw(t, "ms")
			change := drawChange(t)
			a, b := apply(original, now, change), apply(copied, now, change)
			if a.String() != b.String() {
				t.Fatalf("the restored copy returned %v, the original %v", b, a)
			}
			attempt := change.GetTake().GetAttempt()
			id := change.GetKey() + "/" + attempt
			if change.GetTake() != nil && a.GetWon() {
				if aborted[id] {
					t.Fatalf("attempt %q won key %q after its abort", attempt, change.GetKey())
				}
				if other, ok := holders[change.GetKey()]; ok && other != attempt {
					t.Fatalf("attempts %q and %q both hold key %q", other, attempt, change.GetKey())
				}
				holders[change.GetKey()] = attempt
			}
			if aborting := change.GetAbort(); aborting != nil && a.GetWon() {
				aborted[change.GetKey()+"/"+aborting.GetAttempt()] = true
				if holders[change.GetKey()] == aborting.GetAttempt() {
					delete(holders, change.GetKey())
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				copied = restored(t, original)
			}
		}
	})
}

// smallOptions keeps keys for longer than a test run and only a few answers.
func smallOptions() claims.Options {
	return claims.Options{MaxAnswerBytes: 40, MaxTotalAnswerBytes: 60, Retention: time.Hour}
}

func restored(t *rapid.T, original *claims.Table) *claims.Table {
	encoded, err := original.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	copied := claims.New(smallOptions())
	if err := copied.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	again, err := copied.Snapshot()
	if err != nil || !bytes.Equal(encoded, again) {
		t.Fatalf("the restored copy's snapshot differs (error %v)", err)
	}
	return copied
}

func drawChange(t *rapid.T) *apiv1.ClaimChange {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	attempt := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "attempt")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0, 1:
		return take(key, attempt, "x")
	case 2:
		return abort(key, attempt)
	default:
		outcome := rapid.SampledFrom([]apiv1.Outcome{done, unknown}).Draw(t, "outcome")
		return settle(key, attempt, outcome, string(make([]byte, rapid.IntRange(0, 50).Draw(t, "size"))))
	}
}

func TestRestoreRejectsAnInvalidSnapshot(t *testing.T) {
	is := is.New(t)
	table := claims.New(claims.Options{})
	apply(table, start, take("k", "a", "x"))
	is.True(table.Restore([]byte("not a snapshot")) != nil)
	_, found := table.Lookup("k")
	is.True(found) // unchanged
}
