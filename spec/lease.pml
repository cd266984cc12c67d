/* The timed lease of lease.cpp and leasekeeper.cpp: orders of two hosts are a turn apart.
 *
 * Time goes by ticks; every timer counts down, also that of a host that is frozen, since the clock
 * counts suspended time. A host that takes no step for any number of ticks is a frozen one, and so
 * is one whose packets are held. Writes to the store may be done late, their answers lost or late.
 * A write carries the revision that its sender saw, and a renewal a new one for each. While the
 * store is away the holder may ask the other host for a promise.
 *
 * Broken variants, each must be refuted:
 *   NO_TURN          a successor takes the lease as soon as it has run out
 *   COUNT_FROM_ACK   the holder counts from the answer to its renewal, not from sending it
 *   FORGET_PROMISE   a host promises and takes the lease all the same
 *   PROMISE_IN_DOUBT a host promises while a write of its own may yet be done
 */

#define HOSTS   2
#ifndef LENGTH
#define LENGTH  1   /* ticks of the lease, LeaseTiming::m_length */
#endif
#define TURN    2   /* ticks between orders of two hosts, m_turn */
#ifndef WRITES
#define WRITES  3   /* writes that the store does in all */
#endif
#define OLD     (LENGTH + 1) /* ages stop here: above LENGTH all are the same */

#ifdef NO_TURN
#define WAIT LENGTH
#else
#define WAIT (LENGTH + TURN)
#endif

/* the store */
byte recordHolder = HOSTS;  /* nobody */
byte recordRevision = 0;

/* hosts; seenHolder and seenRevision are the record as last seen */
byte seenRevision[HOSTS];
byte seenHolder[HOSTS];
bool holds[HOSTS];
byte valid[HOSTS];          /* ticks that orders may still be sent */
byte untilTake[HOSTS];      /* ticks until the lease may be taken, by the record */
byte untilFree[HOSTS];      /* the same, by the last promise */

/* one write of each host on its way */
bool writing[HOSTS];        /* sent, and may be done, or was done, for all that the host knows */
bool done[HOSTS];           /* done by the store */
byte writeOver[HOSTS];      /* the revision that it replaces */
byte writeAge[HOSTS];
byte doneRevision[HOSTS];
bool givenUp[HOSTS];        /* the sender no longer waits for the answer */

/* one question for a promise: from whom, and its answer */
bool asked[HOSTS];
bool promised[HOSTS];
byte askAge[HOSTS];

/* the property */
byte lastBy = HOSTS;
byte sinceTurn = 0;         /* ticks until another host may order */

#define other(h) (1 - (h))

inline see(h, holder, revision)
{
  if
  :: revision > seenRevision[h] ->
     seenRevision[h] = revision;
     seenHolder[h] = holder;
     if
     :: givenUp[h] -> writing[h] = false         /* it needed the earlier revision */
     :: else -> skip
     fi;
     if
     :: holder == h -> untilTake[h] = 0          /* an earlier process of this machine */
     :: else -> untilTake[h] = WAIT
     fi
  :: else -> skip
  fi
}

/* writeRecord() */
inline write(h)
{
  writing[h] = true;
  done[h] = false;
  givenUp[h] = false;
  writeOver[h] = seenRevision[h];
  writeAge[h] = 0;
}

/* the answer to a write that was done: holdLease() */
inline answered(h)
{
  writing[h] = false;
  if
  :: doneRevision[h] >= seenRevision[h] ->
     seenRevision[h] = doneRevision[h];
     seenHolder[h] = h;
     untilTake[h] = 0;
     holds[h] = true;
#ifdef COUNT_FROM_ACK
     valid[h] = LENGTH
#else
     valid[h] = (writeAge[h] < LENGTH -> LENGTH - writeAge[h] : 0)
#endif
  :: else -> skip
  fi
}

#define mayPromise(h) (!holds[h] && (!writing[h] || PROMISES_IN_DOUBT))
#ifdef PROMISE_IN_DOUBT
#define PROMISES_IN_DOUBT 1
#else
#define PROMISES_IN_DOUBT 0
#endif

proctype host(byte h)
{
  do
  /* sendCommand(): the lease is checked again before a byte leaves */
  :: atomic { holds[h] && valid[h] > 0 ->
       assert(lastBy == HOSTS || lastBy == h || sinceTurn == 0);
       lastBy = h;
       sinceTurn = TURN }
  /* loseLease() */
  :: atomic { holds[h] && valid[h] == 0 ->
       holds[h] = false;
       untilTake[h] = 0 }
  /* renewLease() */
  :: atomic { holds[h] && !writing[h] && recordRevision < WRITES -> write(h) }
  /* seekLease(), takeLease() */
  :: atomic { (!holds[h] && !writing[h] && untilTake[h] == 0 && untilFree[h] == 0
               && recordRevision < WRITES) ->
       write(h) }
  /* lookAtLease(), or a beat that tells of the record */
  :: atomic { recordRevision > seenRevision[h] && !holds[h] ->
       see(h, recordHolder, recordRevision) }
  /* a holder that finds another record has lost the lease */
  :: atomic { holds[h] && recordRevision > seenRevision[h] && recordHolder != h ->
       holds[h] = false;
       see(h, recordHolder, recordRevision) }
  /* the answer arrives */
  :: atomic { writing[h] && done[h] && !givenUp[h] -> answered(h) }
  /* the sender gives the answer up; the write may be done later all the same */
  :: atomic { writing[h] && !givenUp[h] -> givenUp[h] = true }
  /* askForLease() */
  :: atomic { holds[h] && !asked[h] ->
       asked[h] = true;
       promised[h] = false;
       askAge[h] = 0 }
  /* promiseLease(): the other host answers the question of host h */
  :: atomic { (asked[other(h)] && !promised[other(h)] && mayPromise(h) && seenHolder[h] == other(h)) ->
       promised[other(h)] = true;
#ifndef FORGET_PROMISE
       untilFree[h] = WAIT
#endif
     }
  /* extendLease(): all others granted what was asked */
  :: atomic { asked[h] && promised[h] ->
       asked[h] = false;
       if
       :: holds[h] && askAge[h] < LENGTH && LENGTH - askAge[h] > valid[h] ->
          valid[h] = LENGTH - askAge[h]
       :: else -> skip
       fi }
  /* the question or its answer is lost */
  :: atomic { asked[h] -> asked[h] = false }
  od
}

#define lower(timer) timer = (timer > 0 -> timer - 1 : 0)
#define older(age) age = (age < OLD -> age + 1 : OLD)

proctype world()
{
  byte h;
  do
  /* a tick of the clock */
  :: atomic {
       h = 0;
       do
       :: h < HOSTS ->
          lower(valid[h]);
          lower(untilTake[h]);
          lower(untilFree[h]);
          older(writeAge[h]);
          older(askAge[h]);
          h++
       :: else -> break
       od;
       lower(sinceTurn);
       h = 0 }
  /* the store does a write, or refuses it */
  :: atomic { writing[0] && !done[0] ->
       if
       :: writeOver[0] == recordRevision ->
          recordRevision++;
          recordHolder = 0;
          done[0] = true;
          doneRevision[0] = recordRevision
       :: writeOver[0] != recordRevision && !givenUp[0] -> writing[0] = false
       :: else -> skip
       fi }
  :: atomic { writing[1] && !done[1] ->
       if
       :: writeOver[1] == recordRevision ->
          recordRevision++;
          recordHolder = 1;
          done[1] = true;
          doneRevision[1] = recordRevision
       :: writeOver[1] != recordRevision && !givenUp[1] -> writing[1] = false
       :: else -> skip
       fi }
  od
}

init
{
  atomic {
    seenHolder[0] = HOSTS;
    seenHolder[1] = HOSTS;
    run host(0);
    run host(1);
    run world()
  }
}
