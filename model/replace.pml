/*
 * Election, commit, a lost disk and its replacement in the replicated log.
 *
 * Members are incarnations. At the start, 0, 1 and 2 are voters, and member 0 is
 * the leader of term 1. Member 3 is the new incarnation of the VM whose disk is
 * lost. The leader adds it as a learner, and replaces the incarnation whose disk is
 * lost by it in one entry. Until that entry is committed, a majority of the voters
 * before it is needed as well; once it is, any member may know it. Variants remove the
 * one and then promote the other, or the reverse, as earlier versions and
 * operators do. Each of these changes is a log entry and takes effect once it is
 * appended. In another variant the voter that is replaced was only silent, and goes on with its
 * disk. One command is proposed as well.
 *
 * A vote is one step between two members, and so is an append of one entry with
 * its acknowledgement. A member that does not respond is one that no step
 * chooses. Acknowledgements and votes that a member gave before its disk was
 * lost still count. Steps happen in any order.
 *
 * Checked: no two leaders in a term; a new leader holds all committed entries;
 * no index is committed with two different entries.
 *
 * Bounds: 4 incarnations, TERMS terms, LENGTH log entries, one lost disk of any
 * voter at any moment, one command, one change of each kind. Not modelled:
 * delayed, duplicated and reordered messages (covered by the random schedules of
 * the internal/raft tests), crashes between a write and its sync, snapshots and
 * compaction, pre-vote and the leader lease on votes, which only serve liveness,
 * read index, a second lost disk, and liveness.
 *
 * The variants must hold; each planted fault must be found:
 */
// VARIANT: REMOVE_FIRST
// VARIANT: PROMOTE_FIRST
// VARIANT: SILENT_VOTER
// FAULT: BUG_VOTE_LOST_DISK
// FAULT: BUG_COUNT_LEARNER
// FAULT: BUG_OLD_TERM_COMMIT
// FAULT: BUG_NO_OLD_MAJORITY

#define MEMBERS 4
#define NEW     3  /* the incarnation that replaces the one whose disk is lost */
#define NONE    7

/* Faults in elections show with a short log. The fault of committing an entry of
   an earlier term shows in the fourth term only. */
#ifdef BUG_NO_OLD_MAJORITY /* a disk that is lost before its successor is added hides it */
#define SILENT_VOTER
#endif
#if defined(BUG_OLD_TERM_COMMIT)
#define TERMS  4
#define LENGTH 2
#elif defined(SILENT_VOTER)
#define TERMS  2
#define LENGTH 4
#elif defined(BUG_VOTE_LOST_DISK)
#define TERMS  3
#define LENGTH 2
#else
#define TERMS  3
#define LENGTH 5
#endif

/* Kinds of log entries; 0: no entry. */
#define COMMAND 1
#define EMPTY   2  /* first entry of a new leader */
#define ADD     3
#define PROMOTE 4
#define REMOVE  5
#define REPLACE 6  /* removes the lost voter and promotes the new one */

#ifdef PROMOTE_FIRST
#define SECOND_CHANGE PROMOTE
#define THIRD_CHANGE  REMOVE
#elif defined(REMOVE_FIRST)
#define SECOND_CHANGE REMOVE
#define THIRD_CHANGE  PROMOTE
#else
#define SECOND_CHANGE REPLACE
#define THIRD_CHANGE  0
#endif

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

#define AT(m, i)  ((m) * LENGTH + (i))
#define BIT(m)    (1 << (m))
#define ACK(t, m) ((t) * MEMBERS + (m))

byte term[MEMBERS];
byte vote[MEMBERS];          /* in the current term; NONE: none */
byte role[MEMBERS];
byte votesReceived[MEMBERS]; /* set of members that voted for a candidate */
byte logLength[MEMBERS];
byte entryTerm[MEMBERS * LENGTH];
byte entryKind[MEMBERS * LENGTH];
byte commitIndex[MEMBERS];   /* of a leader */
byte ackedIndex[(TERMS + 1) * MEMBERS]; /* last index that a member acknowledged in a term */

bool inactive[MEMBERS]; /* incarnations that take no steps */
byte lostMember = NONE;
bool commandProposed;

/* All entries committed by any leader, and the leader of each term. */
byte committedLength;
byte committedTerm[LENGTH];
byte committedKind[LENGTH];
byte committedBy[LENGTH]; /* term of the leader that committed it */
byte leaderOf[TERMS + 1];

/* Scratch variables of a step; 0 between steps. */
byte i, n, set, size, agreeing;
byte replaceIndex; /* of the replacement in a log, 1 for the first entry; 0: none */
byte agreeingOld;  /* of the voters before the replacement */

#define OLD_VOTERS 7
#define OLD_SIZE   3

/* computeVoters sets set to the voters in the log of member m, size to their
   number, and replaceIndex. */
inline computeVoters(m) {
  set = OLD_VOTERS;
  replaceIndex = 0;
  i = 0;
  do
  :: i < logLength[m] ->
     if
     :: entryKind[AT(m, i)] == PROMOTE -> set = set | BIT(NEW)
     :: entryKind[AT(m, i)] == REMOVE  -> set = set & ~BIT(lostMember)
     :: entryKind[AT(m, i)] == REPLACE -> set = (set & ~BIT(lostMember)) | BIT(NEW); replaceIndex = i + 1
     :: else
     fi;
     i++
  :: else -> break
  od;
  size = (set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1)
}

/* findLastChange sets n to the index after the last membership entry in the log of
   member m; 0 if there is none. */
inline findLastChange(m) {
  n = 0;
  i = 0;
  do
  :: i < logLength[m] ->
     if
     :: entryKind[AT(m, i)] >= ADD -> n = i + 1
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline clearScratch() { i = 0; n = 0; set = 0; size = 0; agreeing = 0; replaceIndex = 0; agreeingOld = 0 }

/* A majority of the old voters is needed with a replacement in the log that is not committed. */
#ifdef BUG_NO_OLD_MAJORITY
#define oldAgree(committed) true
#else
#define oldAgree(committed) (replaceIndex == 0 || (committed) || agreeingOld * 2 > OLD_SIZE)
#endif
#define replaceCommitted(m) (committedLength >= replaceIndex && \
  committedTerm[replaceIndex - 1] == entryTerm[AT(m, replaceIndex - 1)])

#define lastTerm(m) (logLength[m] == 0 -> 1 : entryTerm[AT(m, logLength[m] - 1)])
#define upToDate(c, m) (lastTerm(c) > lastTerm(m) || (lastTerm(c) == lastTerm(m) && logLength[c] >= logLength[m]))

inline enterTerm(m, t) {
  if
  :: term[m] < t ->
     term[m] = t;
     vote[m] = NONE;
     role[m] = FOLLOWER;
     votesReceived[m] = 0;
     commitIndex[m] = 0
  :: else
  fi
}

inline campaign(c) {
  d_step {
    computeVoters(c);
    if
    :: set & BIT(c) ->
       term[c]++;
       vote[c] = c;
       role[c] = CANDIDATE;
       votesReceived[c] = BIT(c);
       commitIndex[c] = 0
    :: else
    fi;
    clearScratch()
  }
}

inline grantVote(m, c) {
  d_step {
    enterTerm(m, term[c]);
    vote[m] = c;
    votesReceived[c] = votesReceived[c] | BIT(m)
  }
}

/* A candidate with the votes of a majority becomes leader and appends its first
   entry. */
inline tryBecomeLeader(c) {
  d_step {
    computeVoters(c);
    n = votesReceived[c] & set;
    agreeing = (n & 1) + ((n >> 1) & 1) + ((n >> 2) & 1) + ((n >> 3) & 1);
    n = votesReceived[c] & OLD_VOTERS;
    agreeingOld = (n & 1) + ((n >> 1) & 1) + ((n >> 2) & 1);
    if
    :: agreeing * 2 > size && oldAgree(replaceCommitted(c)) ->
       role[c] = LEADER;
       votesReceived[c] = 0;
       assert(leaderOf[term[c]] == NONE);
       leaderOf[term[c]] = c;
       i = 0;
       do
       :: i < committedLength ->
          /* A candidate may still win a term that is earlier than the term of the
             commit, and then need not hold the entry. */
          assert(committedBy[i] >= term[c] ||
                 (entryTerm[AT(c, i)] == committedTerm[i] && entryKind[AT(c, i)] == committedKind[i]));
          i++
       :: else -> break
       od;
       entryTerm[AT(c, logLength[c])] = term[c];
       entryKind[AT(c, logLength[c])] = EMPTY;
       logLength[c]++
    :: else
    fi;
    clearScratch()
  }
}

inline append(l, kind) {
  d_step {
    entryTerm[AT(l, logLength[l])] = term[l];
    entryKind[AT(l, logLength[l])] = kind;
    logLength[l]++
  }
}

/* The leader sends the first entry that the member lacks. The member appends it and
   acknowledges the entries that match. */
inline replicate(l, m) {
  d_step {
    enterTerm(m, term[l]);
    role[m] = FOLLOWER;
    votesReceived[m] = 0;
    i = 0;
    do
    :: i < logLength[l] && i < logLength[m] && entryTerm[AT(m, i)] == entryTerm[AT(l, i)] -> i++
    :: else -> break
    od;
    if
    :: i < logLength[l] ->
       entryTerm[AT(m, i)] = entryTerm[AT(l, i)];
       entryKind[AT(m, i)] = entryKind[AT(l, i)];
       n = i + 1;
       do
       :: n < logLength[m] ->
          entryTerm[AT(m, n)] = 0;
          entryKind[AT(m, n)] = 0;
          n++
       :: else -> break
       od;
       logLength[m] = i + 1;
       i++
    :: else
    fi;
    ackedIndex[ACK(term[l], m)] = i;
    clearScratch()
  }
}

/* The leader commits each index that a majority of its voters has acknowledged. */
inline commit(l) {
  d_step {
    computeVoters(l);
#ifdef BUG_COUNT_LEARNER
    set = set | BIT(NEW);
#endif
    n = commitIndex[l];
    do
    :: n < logLength[l] ->
       n++;
       agreeing = 0;
       agreeingOld = 0;
       i = 0;
       do
       :: i < MEMBERS ->
          if
          :: (set & BIT(i)) && (i == l || ackedIndex[ACK(term[l], i)] >= n) -> agreeing++
          :: else
          fi;
          if
          :: (OLD_VOTERS & BIT(i)) && (i == l || ackedIndex[ACK(term[l], i)] >= n) -> agreeingOld++
          :: else
          fi;
          i++
       :: else -> break
       od;
       if
#ifdef BUG_OLD_TERM_COMMIT
       :: agreeing * 2 > size -> commitIndex[l] = n
#else
       :: agreeing * 2 > size && oldAgree(commitIndex[l] >= replaceIndex) && entryTerm[AT(l, n - 1)] == term[l] -> commitIndex[l] = n
#endif
       :: else
       fi
    :: else -> break
    od;
    i = 0;
    do
    :: i < commitIndex[l] ->
       if
       :: i < committedLength ->
          assert(entryTerm[AT(l, i)] == committedTerm[i] && entryKind[AT(l, i)] == committedKind[i])
       :: else ->
          committedTerm[i] = entryTerm[AT(l, i)];
          committedKind[i] = entryKind[AT(l, i)];
          committedBy[i] = term[l];
          committedLength = i + 1
       fi;
       i++
    :: else -> break
    od;
    clearScratch()
  }
}

/* proposeChange appends the next membership change of the replacement, unless an
   earlier change is uncommitted or no entry of the leader's own term is committed. */
inline proposeChange(l) {
  d_step {
    findLastChange(l);
    if
    :: n <= commitIndex[l] && logLength[l] < LENGTH &&
       (term[l] == 1 || (commitIndex[l] > 0 && entryTerm[AT(l, commitIndex[l] - 1)] == term[l])) ->
       if
       :: n == 0 -> set = ADD
       :: n > 0 && entryKind[AT(l, n - 1)] == ADD -> set = SECOND_CHANGE
       :: n > 0 && entryKind[AT(l, n - 1)] == SECOND_CHANGE -> set = THIRD_CHANGE /* 0: none is left */
       :: else
       fi;
       if
       :: set > 0 ->
          entryTerm[AT(l, logLength[l])] = term[l];
          entryKind[AT(l, logLength[l])] = set;
          logLength[l]++
       :: else
       fi
    :: else
    fi;
    clearScratch()
  }
}

/* The disk of member m is lost; its VM returns as a new incarnation. */
inline loseDisk(m) {
  d_step {
    lostMember = m;
    inactive[NEW] = false;
#ifndef SILENT_VOTER
    role[m] = FOLLOWER;
    votesReceived[m] = 0;
    commitIndex[m] = 0;
    logLength[m] = 0;
    term[m] = 0;
    vote[m] = NONE;
    i = 0;
    do
    :: i < LENGTH -> entryTerm[AT(m, i)] = 0; entryKind[AT(m, i)] = 0; i++
    :: else -> break
    od;
#ifndef BUG_VOTE_LOST_DISK
    inactive[m] = true;
#endif
#endif
    clearScratch()
  }
}

/* A leader steps down because it lost contact with a majority, or restarts with
   its disk. */
inline stepDown(m) {
  d_step {
    role[m] = FOLLOWER;
    commitIndex[m] = 0
  }
}

/* mayVote: a new incarnation votes only once its own log includes it. */
#define mayVote(m) (m != NEW || logLength[m] > 0)

inline step(m) {
  if
#ifdef SILENT_VOTER
  :: term[m] < TERMS && role[m] != LEADER -> campaign(m)
#else
  :: term[m] < TERMS && role[m] != LEADER && m != lostMember -> campaign(m)
#endif
  :: role[m] == CANDIDATE && logLength[m] < LENGTH -> tryBecomeLeader(m)
  :: role[m] == LEADER && !commandProposed && logLength[m] < LENGTH -> commandProposed = true; append(m, COMMAND)
  :: role[m] == LEADER && lostMember != NONE && m != lostMember -> proposeChange(m)
  :: role[m] == LEADER -> commit(m)
  :: role[m] == LEADER -> stepDown(m)
  :: m != NEW && lostMember == NONE -> loseDisk(m)
  fi
}

inline interact(l, m) {
  if
  :: role[l] == CANDIDATE && mayVote(m) && (term[m] < term[l] || (term[m] == term[l] && vote[m] == NONE)) && upToDate(l, m) -> grantVote(m, l)
  :: role[l] == LEADER && term[m] <= term[l] -> replicate(l, m)
  fi
}

init {
  byte a, b;
  d_step {
    i = 0;
    do
    :: i <= TERMS -> leaderOf[i] = NONE; i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < MEMBERS -> vote[i] = 0; term[i] = 1; i++
    :: else -> break
    od;
    i = 0;
    term[NEW] = 0;
    vote[NEW] = NONE;
    inactive[NEW] = true;
    role[0] = LEADER;
    leaderOf[1] = 0
  }
  do
  :: atomic {
       a = 0;
       do
       :: a < MEMBERS - 1 -> a++
       :: break
       od;
       b = 0;
       do
       :: b < MEMBERS - 1 -> b++
       :: break
       od;
       if
       :: a == b && !inactive[a] ->
          if
          :: step(a)
          :: true
          fi
       :: a != b && !inactive[a] && !inactive[b] ->
          if
          :: interact(a, b)
          :: true
          fi
       :: else
       fi;
       a = 0;
       b = 0
     }
  od
}
