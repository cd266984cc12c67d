/* Model of the lease of lease.cpp and leasekeeper.cpp. The property: orders of two hosts are at
 * least the handover delay apart, and a host orders only with a fencing token higher than those of
 * the other host.
 *
 * Time advances in ticks, and each tick advances every timer, also those of a suspended host, since
 * the real clock counts suspended time. A suspended host, or one whose packets are held back, is a
 * host that takes no step for any number of ticks. The store may apply a write late, and the answer
 * may be late or lost. A write succeeds only if the record still has the revision that its sender
 * saw, and each renewal changes the revision. During a store outage the holder may request an
 * extension of the lease from the other host.
 *
 * Broken variants of the protocol, each of which must be refuted:
 *   NO_HANDOVER_DELAY  a successor takes the lease over as soon as it expired
 *   COUNT_FROM_ACK     the holder counts its lease from the answer to a renewal, not from sending
 *                      the renewal
 *   IGNORE_GRANT       a host grants an extension and takes the lease over all the same
 *   GRANT_WHILE_UNCONFIRMED
 *                      a host grants an extension while a write of its own may still be applied
 *   CONCLUDE_TOKEN     a host that hears of a release goes on from the fencing token of the record
 *                      that it saw last
 */

#define HOSTS 2
#ifndef LEASE_TICKS
#define LEASE_TICKS 1 /* ticks that the lease lasts, LeaseTiming::m_leaseDuration */
#endif
#define HANDOVER_DELAY 2 /* least ticks between orders of two hosts, m_handoverDelay */
#ifndef WRITES
#define WRITES 3 /* bound on the writes that the store applies */
#endif
#define MAX_AGE (LEASE_TICKS + 1) /* ages stop counting here: all above LEASE_TICKS are
                                     equivalent */

#ifdef NO_HANDOVER_DELAY
#define TAKEOVER_WAIT LEASE_TICKS
#else
#define TAKEOVER_WAIT (LEASE_TICKS + HANDOVER_DELAY)
#endif

/* the store */
byte recordHolder = HOSTS;  /* HOSTS: no holder, or released */
byte recordRevision = 0;
byte recordToken = 0;

/* the message of the last release, which may be lost, late or heard at any time; revision 0: none */
byte releaseRevision = 0;
byte releaseToken = 0;

/* state of each host; seenHolder and seenRevision are the lease record as it last saw it */
byte seenRevision[HOSTS];
byte seenHolder[HOSTS];
byte seenToken[HOSTS];
bool tokenUnknown[HOSTS];   /* seenToken isn't that of seenRevision */
byte token[HOSTS];          /* of the own lease, or of the one that a write is to take */
bool holds[HOSTS];
byte valid[HOSTS];          /* ticks that orders may still be sent */
byte untilTakeover[HOSTS];  /* ticks until the record as seen allows a takeover */
byte untilGrantEnds[HOSTS]; /* ticks until the last extension grant allows a takeover */

/* at most one outstanding write of each host */
bool releasing[HOSTS];      /* the write is the release of the own lease */
bool writing[HOSTS];        /* sent; as far as the host knows it may still be applied, or was */
bool applied[HOSTS];        /* applied by the store */
byte writeOver[HOSTS];      /* the revision that the write replaces */
byte writeAge[HOSTS];       /* ticks since the write was sent */
byte appliedRevision[HOSTS]; /* revision that the applied write made */
bool timedOut[HOSTS];       /* the sender no longer waits for the answer */

/* at most one extension request of each host, and whether the other host granted it */
bool requested[HOSTS];
bool granted[HOSTS];
byte requestAge[HOSTS];     /* ticks since the request was sent */

/* for the property: an order of the other host is allowed only if untilHandover is 0 */
byte lastOrderBy = HOSTS;   /* HOSTS: no order yet */
byte lastOrderToken = 0;
byte untilHandover = 0;     /* ticks until the other host may send orders */

#define other(h) (1 - (h))

/* observeLease(): notes the record, unless a newer revision was seen */
inline observe(h, holder, revision, tokenOfRecord)
{
  if
  :: revision > seenRevision[h] ->
     seenRevision[h] = revision;
     seenHolder[h] = holder;
     seenToken[h] = tokenOfRecord;
     tokenUnknown[h] = false;
     if
     :: timedOut[h] -> writing[h] = false        /* it could replace only an older revision */
     :: else -> skip
     fi;
     if
     :: holder == h -> untilTakeover[h] = 0      /* written by an earlier process of this machine */
     :: holder == HOSTS -> untilTakeover[h] = HANDOVER_DELAY /* after the holder's last order */
     :: else -> untilTakeover[h] = TAKEOVER_WAIT
     fi
  :: else -> skip
  fi
}

/* writeLeaseRecord() */
inline write(h)
{
  writing[h] = true;
  applied[h] = false;
  timedOut[h] = false;
  writeOver[h] = seenRevision[h];
  writeAge[h] = 0;
}

/* the answer to an applied write arrives: confirmLease() */
inline confirmWrite(h)
{
  writing[h] = false;
  if
  :: appliedRevision[h] >= seenRevision[h] ->
     seenRevision[h] = appliedRevision[h];
     seenHolder[h] = h;
     seenToken[h] = token[h];
     tokenUnknown[h] = false;
     untilTakeover[h] = 0;
     holds[h] = true;
#ifdef COUNT_FROM_ACK
     valid[h] = LEASE_TICKS
#else
     valid[h] = (writeAge[h] < LEASE_TICKS -> LEASE_TICKS - writeAge[h] : 0)
#endif
  :: else -> skip
  fi
}

/* the answer to a release arrives: broadcastRelease() */
inline confirmRelease(h)
{
  writing[h] = false;
  releasing[h] = false;
  releaseRevision = appliedRevision[h];
  releaseToken = token[h]
}

/* observeRelease() */
inline observeRelease(h)
{
#ifdef CONCLUDE_TOKEN
  observe(h, HOSTS, releaseRevision, seenToken[h])
#else
  observe(h, HOSTS, releaseRevision, releaseToken)
#endif
}

#define mayGrant(h) (!holds[h] && (!writing[h] || GRANTS_WHILE_UNCONFIRMED))
#ifdef GRANT_WHILE_UNCONFIRMED
#define GRANTS_WHILE_UNCONFIRMED 1
#else
#define GRANTS_WHILE_UNCONFIRMED 0
#endif

proctype host(byte h)
{
  do
  /* sendCommand(): checks the lease once more immediately before it sends */
  :: atomic { holds[h] && valid[h] > 0 ->
       assert(lastOrderBy == HOSTS || lastOrderBy == h || untilHandover == 0);
       assert(token[h] > lastOrderToken || (lastOrderBy == h && token[h] == lastOrderToken));
       lastOrderBy = h;
       lastOrderToken = token[h];
       untilHandover = HANDOVER_DELAY }
  /* loseLease() */
  :: atomic { holds[h] && valid[h] == 0 ->
       holds[h] = false;
       untilTakeover[h] = 0 }
  /* renewLease() */
  :: atomic { holds[h] && !writing[h] && recordRevision < WRITES -> write(h) }
  /* stepAsCandidate(), takeLease() */
  :: atomic { (!holds[h] && !writing[h] && untilTakeover[h] == 0 && untilGrantEnds[h] == 0
               && !tokenUnknown[h] && recordRevision < WRITES) ->
       token[h] = seenToken[h] + 1; /* nextFencingToken() */
       write(h) }
  /* writeRelease() */
  :: atomic { holds[h] && !writing[h] && recordRevision < WRITES ->
       holds[h] = false;
       untilTakeover[h] = 0;
       releasing[h] = true;
       write(h) }
  /* handleRelease() */
  :: atomic { !holds[h] && releaseRevision > seenRevision[h] -> observeRelease(h) }
#ifndef CONCLUDE_TOKEN
  /* the same, from a host of an older build: the release has no token */
  :: atomic { !holds[h] && releaseRevision > seenRevision[h] ->
       observe(h, HOSTS, releaseRevision, 0);
       tokenUnknown[h] = true }
  /* fetchLeaseRecord(): the record read is the released one */
  :: atomic { tokenUnknown[h] && recordRevision == seenRevision[h] ->
       seenToken[h] = recordToken;
       tokenUnknown[h] = false }
#endif
  /* fetchLeaseRecord(), or a heartbeat with the state of the record */
  :: atomic { recordRevision > seenRevision[h] && !holds[h] ->
       observe(h, recordHolder, recordRevision, recordToken) }
  /* a holder that sees the record of another host has lost the lease */
  :: atomic { holds[h] && recordRevision > seenRevision[h] && recordHolder != h ->
       holds[h] = false;
       observe(h, recordHolder, recordRevision, recordToken) }
  /* the answer to a write arrives in time */
  :: atomic { writing[h] && applied[h] && !timedOut[h] && !releasing[h] -> confirmWrite(h) }
  :: atomic { writing[h] && applied[h] && !timedOut[h] && releasing[h] -> confirmRelease(h) }
  /* the sender stops waiting for the answer; the store may still apply the write later */
  :: atomic { writing[h] && !timedOut[h] -> timedOut[h] = true }
  /* broadcastExtensionRequest() */
  :: atomic { holds[h] && !requested[h] ->
       requested[h] = true;
       granted[h] = false;
       requestAge[h] = 0 }
  /* grantExtension(): host h answers the request of the other host */
  :: atomic { (requested[other(h)] && !granted[other(h)] && mayGrant(h) && seenHolder[h] == other(h)) ->
       granted[other(h)] = true;
#ifndef IGNORE_GRANT
       untilGrantEnds[h] = TAKEOVER_WAIT
#endif
     }
  /* extendLease(): the other host granted the request */
  :: atomic { requested[h] && granted[h] ->
       requested[h] = false;
       if
       :: holds[h] && requestAge[h] < LEASE_TICKS && LEASE_TICKS - requestAge[h] > valid[h] ->
          valid[h] = LEASE_TICKS - requestAge[h]
       :: else -> skip
       fi }
  /* the request or the grant is lost */
  :: atomic { requested[h] -> requested[h] = false }
  od
}

#define countDown(timer) timer = (timer > 0 -> timer - 1 : 0)
#define countUp(age) age = (age < MAX_AGE -> age + 1 : MAX_AGE)

proctype world()
{
  byte h;
  do
  /* one tick of the clock */
  :: atomic {
       h = 0;
       do
       :: h < HOSTS ->
          countDown(valid[h]);
          countDown(untilTakeover[h]);
          countDown(untilGrantEnds[h]);
          countUp(writeAge[h]);
          countUp(requestAge[h]);
          h++
       :: else -> break
       od;
       countDown(untilHandover);
       h = 0 }
  /* the store applies a write, or rejects it because of its revision */
  :: atomic { writing[0] && !applied[0] ->
       if
       :: writeOver[0] == recordRevision ->
          recordRevision++;
          recordHolder = (releasing[0] -> HOSTS : 0);
          recordToken = token[0];
          applied[0] = true;
          appliedRevision[0] = recordRevision
       :: writeOver[0] != recordRevision && !timedOut[0] ->
          writing[0] = false;
          releasing[0] = false
       :: else -> skip
       fi }
  :: atomic { writing[1] && !applied[1] ->
       if
       :: writeOver[1] == recordRevision ->
          recordRevision++;
          recordHolder = (releasing[1] -> HOSTS : 1);
          recordToken = token[1];
          applied[1] = true;
          appliedRevision[1] = recordRevision
       :: writeOver[1] != recordRevision && !timedOut[1] ->
          writing[1] = false;
          releasing[1] = false
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
