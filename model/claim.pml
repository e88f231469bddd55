// Claims of one request key. Checked: the endpoint runs the request at most once,
// and a response "not run" is true.
//
// There are three attempts with the key of one caller: the first at one entry,
// two resends at another, all possibly at the same time. There is one endpoint.
//
// The outcome of a command to the replicated table is indeterminate until its
// response arrives: the leader may change, so a copy may be applied at once, much
// later or never, and its response may be lost. Commands may be reordered.
// Lookups are linearizable through the read index. A request to the endpoint may
// arrive late or never, and its response may be lost.
//
// A step that may never happen needs no step of its own, because the search also
// covers the paths that do not take it. So the crash of an entry is a process that
// is not scheduled again, and a lost message is one that is not received. An
// attempt may stop waiting at any moment, also when its response has arrived. An
// entry whose lease expired before the send is one that chooses the abort.
//
// "Not run" means: this attempt was not and will not be sent, a later take by it
// is never granted, and at some moment between the start of the attempt and its
// response no attempt with the key had run.
//
// Bounds: one key, one endpoint, three attempts, two copies of a take and one of
// an abort or a settle for each attempt, and one send each (two with the fault).
// Not modelled: consensus itself, other bodies under the key, the content of kept
// responses, the end of the retention, and liveness.
//
// FAULT: BUG_RETRY_AFTER_SEND sends again when no answer came.
// FAULT: BUG_NOT_RUN_WITHOUT_ABORT says "not run" while its take is in doubt.
// FAULT: BUG_CLAIM_AFTER_SEND sends before its claim is committed.
// FAULT: BUG_NOT_RUN_FOR_OTHERS says "not run" after its own abort although
// another attempt holds the key.
// FAULT: BUG_NOT_RUN_AFTER_REFUSAL says "not run" without an abort when its
// take was refused and the key is found free later.
// FAULT: BUG_FORGET_ABORT lets an aborted attempt take the key.

#define ATTEMPTS 3
#define NOBODY ATTEMPTS

// The command whose response an attempt awaits, and that response.
#define AWAIT_NOTHING 0
#define AWAIT_TAKE 1
#define AWAIT_ABORT 2
#define RESPONSE_NONE 0
#define RESPONSE_WON 1
#define RESPONSE_REFUSED 2

// Outcomes recorded in the table.
#define OUTCOME_NONE 0
#define OUTCOME_DONE 1
#define OUTCOME_UNKNOWN 2

// The record of the key in the replicated table.
byte holder = NOBODY;
byte outcome = OUTCOME_NONE;
bool aborted[ATTEMPTS];

// Copies of commands that may still be applied, for each attempt.
byte takes_in_flight[ATTEMPTS];
bool abort_in_flight[ATTEMPTS];
byte settle_in_flight[ATTEMPTS]; // the outcome to record; OUTCOME_NONE: no command

// What each attempt awaits and received.
byte awaiting[ATTEMPTS];
byte response[ATTEMPTS];

// The endpoint.
byte requests_in_flight[ATTEMPTS]; // sent, not yet received
bool endpoint_responded[ATTEMPTS];
byte runs;

// Whether the caller of the attempt received "not run".
bool reported_not_run[ATTEMPTS];

inline report_not_run(a) {
  assert(requests_in_flight[a] == 0); // this attempt was not sent
  reported_not_run[a] = true
}

inline stop_waiting(a) {
  awaiting[a] = AWAIT_NOTHING;
  response[a] = RESPONSE_NONE
}

inline respond(a, kind, result) {
  if
  :: awaiting[a] == kind -> response[a] = result
  :: else // the attempt no longer waits
  fi
}

inline apply_take(a) {
  if
  :: aborted[a] -> respond(a, AWAIT_TAKE, RESPONSE_REFUSED)
  :: !aborted[a] && holder == NOBODY ->
    holder = a;
    assert(!reported_not_run[a]); // "not run" stays true: the attempt never holds the key again
    respond(a, AWAIT_TAKE, RESPONSE_WON)
  :: !aborted[a] && holder == a && outcome == OUTCOME_NONE -> respond(a, AWAIT_TAKE, RESPONSE_WON)
  :: !aborted[a] && (holder != a && holder != NOBODY || holder == a && outcome != OUTCOME_NONE) ->
    respond(a, AWAIT_TAKE, RESPONSE_REFUSED)
  fi
}

inline apply_abort(a) {
  if
  :: holder == a && outcome != OUTCOME_NONE -> respond(a, AWAIT_ABORT, RESPONSE_REFUSED)
  :: !(holder == a && outcome != OUTCOME_NONE) ->
#ifndef BUG_FORGET_ABORT
    aborted[a] = true;
#endif
    if
    :: holder == a -> holder = NOBODY
    :: else
    fi;
    if
#ifdef BUG_NOT_RUN_FOR_OTHERS
    :: true -> assert(runs == 0); respond(a, AWAIT_ABORT, RESPONSE_WON)
#else
    :: holder == NOBODY -> assert(runs == 0); respond(a, AWAIT_ABORT, RESPONSE_WON)
    :: holder != NOBODY -> respond(a, AWAIT_ABORT, RESPONSE_REFUSED)
#endif
    fi
  fi
}

inline apply_settle(a) {
  if
  :: holder == a && outcome == OUTCOME_NONE -> outcome = settle_in_flight[a]
  :: else
  fi;
  settle_in_flight[a] = OUTCOME_NONE
}

// All leaders in succession. They apply the commands in flight.
active proctype Leader() {
end:
  do
  :: atomic { takes_in_flight[0] > 0 -> takes_in_flight[0]--; apply_take(0) }
  :: atomic { takes_in_flight[1] > 0 -> takes_in_flight[1]--; apply_take(1) }
  :: atomic { takes_in_flight[2] > 0 -> takes_in_flight[2]--; apply_take(2) }
  :: atomic { abort_in_flight[0] -> abort_in_flight[0] = false; apply_abort(0) }
  :: atomic { abort_in_flight[1] -> abort_in_flight[1] = false; apply_abort(1) }
  :: atomic { abort_in_flight[2] -> abort_in_flight[2] = false; apply_abort(2) }
  :: atomic { settle_in_flight[0] != OUTCOME_NONE -> apply_settle(0) }
  :: atomic { settle_in_flight[1] != OUTCOME_NONE -> apply_settle(1) }
  :: atomic { settle_in_flight[2] != OUTCOME_NONE -> apply_settle(2) }
  od
}

inline execute(a) {
  requests_in_flight[a]--;
  runs++;
  assert(runs <= 1);        // at most once
  assert(!reported_not_run[a]); // "not run" was true
  endpoint_responded[a] = true
}

active proctype Endpoint() {
end:
  do
  :: atomic { requests_in_flight[0] > 0 -> execute(0) }
  :: atomic { requests_in_flight[1] > 0 -> execute(1) }
  :: atomic { requests_in_flight[2] > 0 -> execute(2) }
  od
}

proctype Attempt(byte a) {
  byte takes_sent = 0;
#ifdef BUG_RETRY_AFTER_SEND
  bool resent = false;
#endif

#ifdef BUG_CLAIM_AFTER_SEND
  atomic { requests_in_flight[a]++ };
#endif

  // The entry may reject the request before it takes the claim.
  if
  :: atomic { holder == NOBODY -> assert(runs == 0); report_not_run(a); goto out }
  :: atomic { holder != NOBODY -> goto out } // responds "unknown"
  :: skip
  fi;

take:
  atomic { takes_in_flight[a]++; takes_sent++; awaiting[a] = AWAIT_TAKE };
  if
  :: atomic { response[a] == RESPONSE_WON -> stop_waiting(a); goto claimed }
  :: atomic { response[a] == RESPONSE_REFUSED -> stop_waiting(a); goto lookup }
  :: atomic { takes_sent < 2 -> stop_waiting(a); goto take }
  :: atomic { stop_waiting(a); goto abandon_take }
  fi;

claimed:
  if
  :: skip
  :: goto abort // the lease expired, no connection, or the caller disconnected
  fi;
#ifndef BUG_CLAIM_AFTER_SEND
  atomic { requests_in_flight[a]++ };
#endif
await:
  if
  :: atomic { endpoint_responded[a] -> settle_in_flight[a] = OUTCOME_DONE; assert(runs == 1); goto out }
#ifdef BUG_RETRY_AFTER_SEND
  :: atomic { !resent -> resent = true; requests_in_flight[a]++; goto await }
#endif
  :: atomic { settle_in_flight[a] = OUTCOME_UNKNOWN; goto out } // responds "unknown"
  fi;

abandon_take:
#ifdef BUG_NOT_RUN_WITHOUT_ABORT
  atomic { report_not_run(a); goto out };
#endif
abort:
  atomic { abort_in_flight[a] = true; awaiting[a] = AWAIT_ABORT };
  if
  :: atomic { response[a] == RESPONSE_WON -> stop_waiting(a); report_not_run(a); goto out }
  :: atomic { response[a] == RESPONSE_REFUSED -> stop_waiting(a); goto lookup }
  :: atomic { stop_waiting(a); goto out } // responds "unknown"
  fi;

lookup:
  if
  :: atomic { holder != NOBODY && outcome == OUTCOME_DONE -> assert(runs == 1) } // responds "done"
#ifdef BUG_NOT_RUN_AFTER_REFUSAL
  :: atomic { holder == NOBODY -> report_not_run(a) }
#else
  :: holder == NOBODY -> goto abort // a copy of the take may be in flight
#endif
  :: atomic { holder != NOBODY && outcome != OUTCOME_DONE -> skip } // responds "unknown"
  fi;
out:
  skip
}

init {
  atomic {
    run Attempt(0);
    run Attempt(1);
    run Attempt(2)
  }
}
