// The lease rule between one holder and two control processes that lead by
// turns: the holder's lease must have run out whenever the replicated state
// says that the holder is gone.
//
// Every step of a process is atomic; a process can stand still between any two
// of its steps for any time, which covers freezes, slow requests and late
// answers. Messages are delayed without limit, and lost by never being taken.
// Read-index rounds and commits are each one step that asks who really leads.
// A proposal of a deposed leader may be inherited by its successor, and is
// then committed with the first entry of the successor's term, or be lost.
//
// Bounds: 3 renewals, sent to either process, 2 elections, a lease of 2 ticks,
// 4 ticks of one common time.
// Outside: clocks that run at unlike rates or stop (the drift allowance and the
// choice among three clocks in internal/clock and internal/lease), the raft log
// itself (replace.pml), and a holder that begins anew after it was removed.
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

// The replicated log, as far as it matters here.
byte leader = 0;         // who really leads
byte term = 1;
bool established = true; // an entry of the term is applied
bool proposed = false;   // an expiry is in the log and not yet committed
bool gone = false;       // an expiry is committed

byte sent = NONE; // when the renewal was sent that the holder's lease counts from

chan request[2] = [2] of { byte };
chan answer = [2] of { byte };

#define HOLDS (sent != NONE && now < sent + LEASE)
#define LEADS (leader == me && duty == term)

inline commit_expiry() {
  gone = true;
  assert(!HOLDS)
}

active proctype Environment() {
  byte elections = 0;
end:
  do
  :: atomic { now < LAST_TICK -> now++ }
  :: atomic { elections < ELECTIONS ->
       elections++;
       term++;
       established = false;
       if
       :: leader = 1 - leader
       :: skip
       fi }
  od
}

active proctype Holder() {
  byte renewals = 0;
  byte at;
end:
  do
  :: atomic { renewals < RENEWALS && nfull(request[0]) -> renewals++; request[0]!now }
  :: atomic { renewals < RENEWALS && nfull(request[1]) -> renewals++; request[1]!now }
  :: atomic { answer?at ->
#ifdef BUG_COUNT_FROM_ANSWER
       sent = now;
#else
       if
       :: sent == NONE || at > sent -> sent = at
       :: else -> skip
       fi;
#endif
       at = 0;
       assert(!(gone && HOLDS)) }
  od
}

proctype Leader(byte me) {
  byte duty = 0;         // term that this process does duty for; 0: none
  byte last = 0;         // when it last answered, or began its duty
  bool fresh = false;    // it has not answered in this term
  bool expiring = false; // it has proposed an expiry
  byte asked = NONE;     // the renewal at hand
  bool confirmed = false;
  bool applied = false;  // its copy of gone
#ifdef BUG_READ_BEFORE_ANSWER
  bool was_gone = false; // the copy when the round ended
#endif
#ifdef BUG_OLD_ROUND
  bool round = false;    // a round that ended before the renewal came
#endif
end:
  do
  // It notices that it leads a new term, and begins new lease accounts.
  :: atomic { leader == me && duty != term ->
       duty = term;
       last = now;
       fresh = true;
       expiring = false;
       asked = NONE;
       confirmed = false }

  // The first entry of its term is applied, and all that it inherits.
  :: atomic { leader == me && !established ->
       if
       :: proposed -> commit_expiry()
       :: true -> skip
       fi;
       proposed = false;
       established = true;
       applied = gone }

#ifdef BUG_OLD_ROUND
  :: atomic { asked == NONE && LEADS && established -> round = true; applied = gone }
#endif

  // It receives a renewal.
  :: atomic { asked == NONE && duty != 0 && nempty(request[me]) -> request[me]?asked }

  // A read-index round confirms that it leads, or it refuses.
  :: atomic { asked != NONE && !confirmed ->
#ifdef BUG_NO_READ_INDEX
       confirmed = true;
#else
       if
#ifdef BUG_OLD_ROUND
       :: round -> confirmed = true; round = false
#endif
#ifdef BUG_NO_OWN_ENTRY
       :: LEADS -> confirmed = true; applied = gone
       :: !LEADS -> asked = NONE
#else
       :: LEADS && established -> confirmed = true; applied = gone
       :: !(LEADS && established) -> asked = NONE
#endif
       fi;
#endif
#ifdef BUG_READ_BEFORE_ANSWER
       was_gone = applied;
#endif
       skip }

  // It accounts for the answer and then reads whether the holder is known.
  :: atomic { confirmed ->
       if
#ifdef BUG_ANSWER_WHILE_EXPIRING
       :: applied -> skip
#else
#ifdef BUG_READ_BEFORE_ANSWER
       :: expiring || was_gone -> skip
#else
       :: expiring || applied -> skip
#endif
#endif
       :: else ->
            last = now;
            fresh = false;
            if
            :: nfull(answer) -> answer!asked
            :: full(answer) -> skip
            fi
       fi;
       asked = NONE;
       confirmed = false }

  // It finds that the lease has run out and proposes the expiry.
#ifdef BUG_NO_WAIT
  :: atomic { duty != 0 && !expiring && !applied && (fresh || now >= last + LEASE) ->
#else
  :: atomic { duty != 0 && !expiring && !applied && now >= last + LEASE ->
#endif
       expiring = true;
       if
       :: LEADS -> proposed = true
       :: else -> skip
       fi }

  // The expiry is committed, and its fate known.
  :: atomic { expiring && proposed && LEADS && established ->
       proposed = false;
       commit_expiry();
       applied = true;
       expiring = false }
  od
}

init {
  atomic {
    run Leader(0);
    run Leader(1)
  }
}
