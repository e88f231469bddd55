/*
 * Election, commit, a lost disk and its replacement in the replicated log.
 *
 * Members are incarnations. Voters 0, 1 and 2 begin with member 0 leading term
 * 1; member 3 is the new incarnation of the machine whose disk is lost. The
 * leader adds it as a learner, removes the lost one and promotes it; a variant
 * promotes it before it removes the lost one, as an operator may. Each of these
 * is a log entry and takes effect once it is appended. One command is
 * proposed besides.
 *
 * A vote is one step between two members, and so is an append of one entry with
 * its acknowledgement. A member that does not answer is one that no step
 * chooses. Acknowledgements and votes that a member gave before its disk was
 * lost still count. The order of all steps is free.
 *
 * Checked: no two leaders in a term; a new leader holds all committed entries;
 * no index is committed with two different entries.
 *
 * Bounds: 4 incarnations, TERMS terms, LENGTH log entries, one lost disk of any
 * voter at any moment, one command, one change of each kind. Outside: messages
 * that arrive late, twice or after others (the drawn schedules of internal/raft
 * have them), crashes between a write and its sync, snapshots and compaction, pre-vote and the lease
 * on votes, which serve progress only, read-index, a second lost disk, progress.
 *
 * A variant, and planted faults, which must be found:
 */
// VARIANT: PROMOTE_FIRST
// FAULT: BUG_VOTE_LOST_DISK
// FAULT: BUG_COUNT_LEARNER
// FAULT: BUG_OLD_TERM_COMMIT

#define MEMBERS 4
#define NEW     3  /* the incarnation that replaces the lost one */
#define NONE    7

/* A short log suffices for the faults that show in elections; committing an
   entry of an earlier term goes wrong in the fourth term. */
#if defined(BUG_OLD_TERM_COMMIT)
#define TERMS  4
#define LENGTH 2
#elif defined(BUG_VOTE_LOST_DISK)
#define TERMS  3
#define LENGTH 2
#else
#define TERMS  3
#define LENGTH 5
#endif

/* Kinds of log entries; 0: no entry. */
#define COMMAND 1
#define EMPTY   2  /* a new leader's first entry */
#define ADD     3
#define PROMOTE 4
#define REMOVE  5

/* The repair removes the lost voter before it promotes the new one. */
#ifdef PROMOTE_FIRST
#define SECOND PROMOTE
#define THIRD  REMOVE
#else
#define SECOND REMOVE
#define THIRD  PROMOTE
#endif

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

#define AT(m, i)  ((m) * LENGTH + (i))
#define BIT(m)    (1 << (m))
#define ACK(t, m) ((t) * MEMBERS + (m))

byte term[MEMBERS];
byte vote[MEMBERS];             /* in the present term */
byte role[MEMBERS];
byte votes[MEMBERS];            /* set of members that voted for a candidate */
byte length[MEMBERS];
byte entryTerm[MEMBERS * LENGTH];
byte entryKind[MEMBERS * LENGTH];
byte known[MEMBERS];            /* a leader's commit index */
byte acked[(TERMS + 1) * MEMBERS]; /* last index that a member acknowledged in a term */

bool dead[MEMBERS];             /* incarnations that do not act */
byte lost = NONE;
bool proposed;

/* What was committed by any leader, and who led each term. */
byte committed;
byte committedTerm[LENGTH];
byte committedKind[LENGTH];
byte committedBy[LENGTH];       /* term of the leader that committed it */
byte leaderOf[TERMS + 1];

/* Scratch variables of a step; 0 between steps. */
byte i, n, set, size, agree;

/* voters sets set to the voters of m's log, and size to their number. */
inline voters(m) {
  set = 7;
  i = 0;
  do
  :: i < length[m] ->
     if
     :: entryKind[AT(m, i)] == PROMOTE -> set = set | BIT(NEW)
     :: entryKind[AT(m, i)] == REMOVE  -> set = set & ~BIT(lost)
     :: else
     fi;
     i++
  :: else -> break
  od;
  size = (set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1)
}

/* lastChange sets n to the index after m's last membership entry. */
inline lastChange(m) {
  n = 0;
  i = 0;
  do
  :: i < length[m] ->
     if
     :: entryKind[AT(m, i)] >= ADD -> n = i + 1
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline clear() { i = 0; n = 0; set = 0; size = 0; agree = 0 }

#define lastTerm(m) (length[m] == 0 -> 1 : entryTerm[AT(m, length[m] - 1)])
#define upToDate(c, m) (lastTerm(c) > lastTerm(m) || (lastTerm(c) == lastTerm(m) && length[c] >= length[m]))

inline enterTerm(m, t) {
  if
  :: term[m] < t ->
     term[m] = t;
     vote[m] = NONE;
     role[m] = FOLLOWER;
     votes[m] = 0;
     known[m] = 0
  :: else
  fi
}

inline campaign(c) {
  d_step {
    voters(c);
    if
    :: set & BIT(c) ->
       term[c]++;
       vote[c] = c;
       role[c] = CANDIDATE;
       votes[c] = BIT(c);
       known[c] = 0
    :: else
    fi;
    clear()
  }
}

inline grant(m, c) {
  d_step {
    enterTerm(m, term[c]);
    vote[m] = c;
    votes[c] = votes[c] | BIT(m)
  }
}

/* A candidate with a majority leads and appends its first entry. */
inline win(c) {
  d_step {
    voters(c);
    n = votes[c] & set;
    agree = (n & 1) + ((n >> 1) & 1) + ((n >> 2) & 1) + ((n >> 3) & 1);
    if
    :: agree * 2 > size ->
       role[c] = LEADER;
       votes[c] = 0;
       assert(leaderOf[term[c]] == NONE);
       leaderOf[term[c]] = c;
       i = 0;
       do
       :: i < committed ->
          /* A candidate of an earlier term than the commit's may win late. */
          assert(committedBy[i] >= term[c] ||
                 (entryTerm[AT(c, i)] == committedTerm[i] && entryKind[AT(c, i)] == committedKind[i]));
          i++
       :: else -> break
       od;
       entryTerm[AT(c, length[c])] = term[c];
       entryKind[AT(c, length[c])] = EMPTY;
       length[c]++
    :: else
    fi;
    clear()
  }
}

inline append(l, kind) {
  d_step {
    entryTerm[AT(l, length[l])] = term[l];
    entryKind[AT(l, length[l])] = kind;
    length[l]++
  }
}

/* The member takes the first entry that it lacks and acknowledges what matches. */
inline replicate(l, m) {
  d_step {
    enterTerm(m, term[l]);
    role[m] = FOLLOWER;
    votes[m] = 0;
    i = 0;
    do
    :: i < length[l] && i < length[m] && entryTerm[AT(m, i)] == entryTerm[AT(l, i)] -> i++
    :: else -> break
    od;
    if
    :: i < length[l] ->
       entryTerm[AT(m, i)] = entryTerm[AT(l, i)];
       entryKind[AT(m, i)] = entryKind[AT(l, i)];
       n = i + 1;
       do
       :: n < length[m] ->
          entryTerm[AT(m, n)] = 0;
          entryKind[AT(m, n)] = 0;
          n++
       :: else -> break
       od;
       length[m] = i + 1;
       i++
    :: else
    fi;
    acked[ACK(term[l], m)] = i;
    clear()
  }
}

/* The leader commits the next index if a majority of its voters has it. */
inline commit(l) {
  d_step {
    voters(l);
#ifdef BUG_COUNT_LEARNER
    set = set | BIT(NEW);
#endif
    n = known[l];
    do
    :: n < length[l] ->
       n++;
       agree = 0;
       i = 0;
       do
       :: i < MEMBERS ->
          if
          :: (set & BIT(i)) && (i == l || acked[ACK(term[l], i)] >= n) -> agree++
          :: else
          fi;
          i++
       :: else -> break
       od;
       if
#ifdef BUG_OLD_TERM_COMMIT
       :: agree * 2 > size -> known[l] = n
#else
       :: agree * 2 > size && entryTerm[AT(l, n - 1)] == term[l] -> known[l] = n
#endif
       :: else
       fi
    :: else -> break
    od;
    i = 0;
    do
    :: i < known[l] ->
       if
       :: i < committed ->
          assert(entryTerm[AT(l, i)] == committedTerm[i] && entryKind[AT(l, i)] == committedKind[i])
       :: else ->
          committedTerm[i] = entryTerm[AT(l, i)];
          committedKind[i] = entryKind[AT(l, i)];
          committedBy[i] = term[l];
          committed = i + 1
       fi;
       i++
    :: else -> break
    od;
    clear()
  }
}

/* change appends the next step of the replacement, unless a change is not yet
   committed or no entry of the own term is. */
inline change(l) {
  d_step {
    lastChange(l);
    if
    :: n <= known[l] && length[l] < LENGTH &&
       (term[l] == 1 || (known[l] > 0 && entryTerm[AT(l, known[l] - 1)] == term[l])) ->
       if
       :: n == 0 -> set = ADD
       :: n > 0 && entryKind[AT(l, n - 1)] == ADD -> set = SECOND
       :: n > 0 && entryKind[AT(l, n - 1)] == SECOND -> set = THIRD
       :: else
       fi;
       if
       :: set > 0 ->
          entryTerm[AT(l, length[l])] = term[l];
          entryKind[AT(l, length[l])] = set;
          length[l]++
       :: else
       fi
    :: else
    fi;
    clear()
  }
}

/* The disk of m is lost; its machine comes back as another incarnation. */
inline loseDisk(m) {
  d_step {
    lost = m;
    dead[NEW] = false;
    role[m] = FOLLOWER;
    votes[m] = 0;
    known[m] = 0;
    length[m] = 0;
    term[m] = 0;
    vote[m] = NONE;
    i = 0;
    do
    :: i < LENGTH -> entryTerm[AT(m, i)] = 0; entryKind[AT(m, i)] = 0; i++
    :: else -> break
    od;
#ifndef BUG_VOTE_LOST_DISK
    dead[m] = true;
#endif
    clear()
  }
}

/* A leader steps down without a majority, or restarts with its disk. */
inline stepDown(m) {
  d_step {
    role[m] = FOLLOWER;
    known[m] = 0
  }
}

/* mayVote: a new incarnation votes only once its own log lists it. */
#define mayVote(m) (m != NEW || length[m] > 0)

inline act(m) {
  if
  :: term[m] < TERMS && role[m] != LEADER && m != lost -> campaign(m)
  :: role[m] == CANDIDATE && length[m] < LENGTH -> win(m)
  :: role[m] == LEADER && !proposed && length[m] < LENGTH -> proposed = true; append(m, COMMAND)
  :: role[m] == LEADER && lost != NONE -> change(m)
  :: role[m] == LEADER -> commit(m)
  :: role[m] == LEADER -> stepDown(m)
  :: m != NEW && lost == NONE -> loseDisk(m)
  fi
}

inline meet(l, m) {
  if
  :: role[l] == CANDIDATE && mayVote(m) && (term[m] < term[l] || (term[m] == term[l] && vote[m] == NONE)) && upToDate(l, m) -> grant(m, l)
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
    dead[NEW] = true;
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
       :: a == b && !dead[a] ->
          if
          :: act(a)
          :: true
          fi
       :: a != b && !dead[a] && !dead[b] ->
          if
          :: meet(a, b)
          :: true
          fi
       :: else
       fi;
       a = 0;
       b = 0
     }
  od
}
