// Leases granted to one holder by two control processes, of which one at a time
// is the leader. Checked: when the replicated state records the holder's lease as
// expired, the holder no longer considers it valid.
//
// Every step of a process is atomic. A process can pause for any time between
// two of its steps, which covers freezes, slow requests and late responses.
// Messages are delayed without limit, and lost by never being received.
// Read-index rounds and commits are each one step that checks who is the actual
// leader. The proposal of a deposed leader is either inherited by its successor
// and committed with the first entry of the successor's term, or lost.
//
// Bounds: 3 renewals, sent to either process, 2 elections, a lease of 2 ticks,
// 4 ticks of one common clock.
// Not modelled: clocks that run at different rates or stop (covered by the clock
// drift allowance and the choice among three clocks in internal/clock and
// internal/lease), the raft log itself (replace.pml), and a holder that starts
// again after it was removed.
//
// FAULT: BUG_NO_READ_INDEX       a renewal is answered without a read-index round
// FAULT: BUG_OLD_ROUND           the round began before the renewal was received
// FAULT: BUG_COUNT_FROM_ANSWER   the holder counts its lease from the answer
// FAULT: BUG_NO_WAIT             a new leader does not wait out earlier leases
// FAULT: BUG_ANSWER_WHILE_EXPIRING  a renewal is answered while the expiry is decided
// FAULT: BUG_READ_BEFORE_ANSWER  the state is read before the answer is accounted for
// FAULT: BUG_NO_OWN_ENTRY        a new leader answers before an entry of its term is applied

#define LEASE 2
#define LAST_TICK 4
#define RENEWALS 3
#define ELECTIONS 2
#define NONE 255

byte now = 0;

// The part of the replicated log that concerns the lease.
byte leader = 0;              // the actual leader
byte term = 1;
bool term_established = true; // an entry of the current term is applied
bool expiry_proposed = false; // an expiry is in the log but not committed
bool expired = false;         // an expiry is committed

byte lease_start = NONE; // send time of the renewal from which the holder's lease counts

chan requests[2] = [2] of { byte };
chan responses = [2] of { byte };

#define LEASE_VALID (lease_start != NONE && now < lease_start + LEASE)
#define IS_LEADER (leader == me && served_term == term)

inline commit_expiry() {
  expired = true;
  assert(!LEASE_VALID)
}

active proctype Environment() {
  byte elections = 0;
end:
  do
  :: atomic { now < LAST_TICK -> now++ }
  :: atomic { elections < ELECTIONS ->
       elections++;
       term++;
       term_established = false;
       if
       :: leader = 1 - leader
       :: skip
       fi }
  od
}

active proctype Holder() {
  byte renewals = 0;
  byte send_time;
end:
  do
  :: atomic { renewals < RENEWALS && nfull(requests[0]) -> renewals++; requests[0]!now }
  :: atomic { renewals < RENEWALS && nfull(requests[1]) -> renewals++; requests[1]!now }
  :: atomic { responses?send_time ->
#ifdef BUG_COUNT_FROM_ANSWER
       lease_start = now;
#else
       if
       :: lease_start == NONE || send_time > lease_start -> lease_start = send_time
       :: else -> skip
       fi;
#endif
       send_time = 0;
       assert(!(expired && LEASE_VALID)) }
  od
}

proctype Leader(byte me) {
  byte served_term = 0;         // term in which this process considers itself leader; 0: none
  byte last_grant = 0;          // time of its last grant, or of the start of served_term
  bool no_grant_yet = false;    // it has granted no renewal in served_term
  bool expiring = false;        // it has proposed an expiry
  byte renewal = NONE;          // send time of the renewal in progress; NONE: none
  bool confirmed = false;
  bool applied_expired = false; // its copy of expired
#ifdef BUG_READ_BEFORE_ANSWER
  bool read_expired = false;    // the copy at the end of the read-index round
#endif
#ifdef BUG_OLD_ROUND
  bool earlier_round = false;   // a read-index round ended before the renewal was received
#endif
end:
  do
  // It notices that it leads a new term, and starts tracking leases anew.
  :: atomic { leader == me && served_term != term ->
       served_term = term;
       last_grant = now;
       no_grant_yet = true;
       expiring = false;
       renewal = NONE;
       confirmed = false }

  // The first entry of its term is applied, and all entries before it.
  :: atomic { leader == me && !term_established ->
       if
       :: expiry_proposed -> commit_expiry()
       :: true -> skip
       fi;
       expiry_proposed = false;
       term_established = true;
       applied_expired = expired }

#ifdef BUG_OLD_ROUND
  :: atomic { renewal == NONE && IS_LEADER && term_established -> earlier_round = true; applied_expired = expired }
#endif

  // It receives a renewal.
  :: atomic { renewal == NONE && served_term != 0 && nempty(requests[me]) -> requests[me]?renewal }

  // A read-index round confirms its leadership, or it rejects the renewal.
  :: atomic { renewal != NONE && !confirmed ->
#ifdef BUG_NO_READ_INDEX
       confirmed = true;
#else
       if
#ifdef BUG_OLD_ROUND
       :: earlier_round -> confirmed = true; earlier_round = false
#endif
#ifdef BUG_NO_OWN_ENTRY
       :: IS_LEADER -> confirmed = true; applied_expired = expired
       :: !IS_LEADER -> renewal = NONE
#else
       :: IS_LEADER && term_established -> confirmed = true; applied_expired = expired
       :: !(IS_LEADER && term_established) -> renewal = NONE
#endif
       fi;
#endif
#ifdef BUG_READ_BEFORE_ANSWER
       read_expired = applied_expired;
#endif
       skip }

  // It records the grant and, not earlier, reads whether the lease was recorded as
  // expired. If not, it responds. All this is one step.
  :: atomic { confirmed ->
       if
#ifdef BUG_ANSWER_WHILE_EXPIRING
       :: applied_expired -> skip
#else
#ifdef BUG_READ_BEFORE_ANSWER
       :: expiring || read_expired -> skip
#else
       :: expiring || applied_expired -> skip
#endif
#endif
       :: else ->
            last_grant = now;
            no_grant_yet = false;
            if
            :: nfull(responses) -> responses!renewal
            :: full(responses) -> skip
            fi
       fi;
       renewal = NONE;
       confirmed = false }

  // It finds that the lease has expired and proposes the expiry.
#ifdef BUG_NO_WAIT
  :: atomic { served_term != 0 && !expiring && !applied_expired && (no_grant_yet || now >= last_grant + LEASE) ->
#else
  :: atomic { served_term != 0 && !expiring && !applied_expired && now >= last_grant + LEASE ->
#endif
       expiring = true;
       if
       :: IS_LEADER -> expiry_proposed = true
       :: else -> skip
       fi }

  // The expiry is committed and its outcome known.
  :: atomic { expiring && expiry_proposed && IS_LEADER && term_established ->
       expiry_proposed = false;
       commit_expiry();
       applied_expired = true;
       expiring = false }
  od
}

init {
  atomic {
    run Leader(0);
    run Leader(1)
  }
}
