// Claims of one request key: at most once, and a truthful "not run".
//
// Three attempts of one caller's key: the first at one entry, two resends at
// another, all possibly at the same time. One endpoint.
//
// A command to the replicated table is in doubt until its answer arrives: the
// leader may change, so a copy may be applied at once, much later or never, and
// its answer may be lost. Commands may overtake each other. Lookups are
// linearizable, as the read-index gives. A request to the endpoint may arrive
// late or never, and its answer may be lost.
//
// Whatever may happen "never" needs no step of its own: the search also takes
// the paths on which it stays undone. So the death of an entry is a process that
// is not scheduled again, and a lost message is one that is not taken up. An
// attempt may stop waiting at any moment, also when its answer is there. An entry
// whose lease has run out before the send is one that chooses the abort.
//
// "Not run" means: this attempt was not and will not be sent, its later claim of
// the key is never granted, and at a moment between the attempt's begin and its
// answer no attempt of the key had run.
//
// Bounds: one key, one endpoint, three attempts, two copies of a take and one of
// an abort or a settlement for each attempt, and one send each (two with the
// fault). Outside the model: consensus itself, other bodies under the key, kept
// answers' content, the end of the retention, and liveness.
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

// What an attempt waits for, and what it was answered.
#define W_NOTHING 0
#define W_TAKE 1
#define W_ABORT 2
#define A_NONE 0
#define A_WON 1
#define A_REFUSED 2

// Recorded outcomes.
#define O_NONE 0
#define O_DONE 1
#define O_UNKNOWN 2

// The replicated table's record of the key.
byte holder = NOBODY;
byte outcome = O_NONE;
bool aborted[ATTEMPTS];

// Copies of commands that may still be applied.
byte takes[ATTEMPTS];
bool aborts[ATTEMPTS];
byte settles[ATTEMPTS]; // the outcome to record

// What attempts wait for.
byte waits[ATTEMPTS];
byte answer[ATTEMPTS];

// The endpoint.
byte requests[ATTEMPTS]; // on their way
bool answered[ATTEMPTS];
byte runs;

// What callers were told.
bool told_not_run[ATTEMPTS];

inline say_not_run(a) {
  assert(requests[a] == 0); // this attempt was not sent
  told_not_run[a] = true
}

inline stop_waiting(a) {
  waits[a] = W_NOTHING;
  answer[a] = A_NONE
}

inline reply(a, kind, result) {
  if
  :: waits[a] == kind -> answer[a] = result
  :: else // the attempt no longer waits
  fi
}

inline apply_take(a) {
  if
  :: aborted[a] -> reply(a, W_TAKE, A_REFUSED)
  :: !aborted[a] && holder == NOBODY ->
    holder = a;
    assert(!told_not_run[a]); // "not run" stays true: its key is not held again
    reply(a, W_TAKE, A_WON)
  :: !aborted[a] && holder == a && outcome == O_NONE -> reply(a, W_TAKE, A_WON)
  :: !aborted[a] && (holder != a && holder != NOBODY || holder == a && outcome != O_NONE) ->
    reply(a, W_TAKE, A_REFUSED)
  fi
}

inline apply_abort(a) {
  if
  :: holder == a && outcome != O_NONE -> reply(a, W_ABORT, A_REFUSED)
  :: !(holder == a && outcome != O_NONE) ->
#ifndef BUG_FORGET_ABORT
    aborted[a] = true;
#endif
    if
    :: holder == a -> holder = NOBODY
    :: else
    fi;
    if
#ifdef BUG_NOT_RUN_FOR_OTHERS
    :: true -> assert(runs == 0); reply(a, W_ABORT, A_WON)
#else
    :: holder == NOBODY -> assert(runs == 0); reply(a, W_ABORT, A_WON)
    :: holder != NOBODY -> reply(a, W_ABORT, A_REFUSED)
#endif
    fi
  fi
}

inline apply_settle(a) {
  if
  :: holder == a && outcome == O_NONE -> outcome = settles[a]
  :: else
  fi;
  settles[a] = O_NONE
}

// The leaders, one after the other: they apply what is on its way.
active proctype Leader() {
end:
  do
  :: atomic { takes[0] > 0 -> takes[0]--; apply_take(0) }
  :: atomic { takes[1] > 0 -> takes[1]--; apply_take(1) }
  :: atomic { takes[2] > 0 -> takes[2]--; apply_take(2) }
  :: atomic { aborts[0] -> aborts[0] = false; apply_abort(0) }
  :: atomic { aborts[1] -> aborts[1] = false; apply_abort(1) }
  :: atomic { aborts[2] -> aborts[2] = false; apply_abort(2) }
  :: atomic { settles[0] != O_NONE -> apply_settle(0) }
  :: atomic { settles[1] != O_NONE -> apply_settle(1) }
  :: atomic { settles[2] != O_NONE -> apply_settle(2) }
  od
}

inline execute(a) {
  requests[a]--;
  runs++;
  assert(runs <= 1);        // at most once
  assert(!told_not_run[a]); // truthful
  answered[a] = true
}

active proctype Endpoint() {
end:
  do
  :: atomic { requests[0] > 0 -> execute(0) }
  :: atomic { requests[1] > 0 -> execute(1) }
  :: atomic { requests[2] > 0 -> execute(2) }
  od
}

proctype Attempt(byte a) {
  byte tries = 0;
#ifdef BUG_RETRY_AFTER_SEND
  bool resent = false;
#endif

#ifdef BUG_CLAIM_AFTER_SEND
  atomic { requests[a]++ };
#endif

  // The request may be refused before a claim is asked for.
  if
  :: atomic { holder == NOBODY -> assert(runs == 0); say_not_run(a); goto out }
  :: atomic { holder != NOBODY -> goto out } // says "unknown"
  :: skip
  fi;

take:
  atomic { takes[a]++; tries++; waits[a] = W_TAKE };
  if
  :: atomic { answer[a] == A_WON -> stop_waiting(a); goto claimed }
  :: atomic { answer[a] == A_REFUSED -> stop_waiting(a); goto look }
  :: atomic { tries < 2 -> stop_waiting(a); goto take }
  :: atomic { stop_waiting(a); goto give_up }
  fi;

claimed:
  if
  :: skip
  :: goto abort // the lease ran out, no connection, or the caller left
  fi;
#ifndef BUG_CLAIM_AFTER_SEND
  atomic { requests[a]++ };
#endif
await:
  if
  :: atomic { answered[a] -> settles[a] = O_DONE; assert(runs == 1); goto out }
#ifdef BUG_RETRY_AFTER_SEND
  :: atomic { !resent -> resent = true; requests[a]++; goto await }
#endif
  :: atomic { settles[a] = O_UNKNOWN; goto out } // says "unknown"
  fi;

give_up:
#ifdef BUG_NOT_RUN_WITHOUT_ABORT
  atomic { say_not_run(a); goto out };
#endif
abort:
  atomic { aborts[a] = true; waits[a] = W_ABORT };
  if
  :: atomic { answer[a] == A_WON -> stop_waiting(a); say_not_run(a); goto out }
  :: atomic { answer[a] == A_REFUSED -> stop_waiting(a); goto look }
  :: atomic { stop_waiting(a); goto out } // says "unknown"
  fi;

look:
  if
  :: atomic { holder != NOBODY && outcome == O_DONE -> assert(runs == 1) } // says "done"
#ifdef BUG_NOT_RUN_AFTER_REFUSAL
  :: atomic { holder == NOBODY -> say_not_run(a) }
#else
  :: holder == NOBODY -> goto abort // a copy of the take may be on its way
#endif
  :: atomic { holder != NOBODY && outcome != O_DONE -> skip } // says "unknown"
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
