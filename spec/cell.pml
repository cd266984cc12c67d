/* Model of the placement protocol of one cell. An order is sent only after it was written to the
 * cell's record, and an order attempt keeps its memory reserved until it is resolved. There are two
 * models with at most one replica each, and one engine with one accelerator that fits one of them.
 * Two hosts may own the cell. Each may pause at any step and continue later with its old state, and
 * platform answers may be lost. Steps have the names of the functions in src/process.
 *
 * An unresolved attempt is one that may still reach the engine, or whose effect its sender doesn't
 * know. It is resolved when its sender received the answer (Answered), when its sender never sent
 * it (NeverSent), when its sender's process ended and its connections are drained (SenderGone), or
 * when the engine holds a larger fencing token (FencedOff).
 *
 * -DFENCING models an engine that checks fencing tokens. Broken variants, all of which the checker
 * must refute except the last:
 *   -DDROP_AT_TAKEOVER      a new owner drops the unresolved attempts of earlier owners
 *   -DCHECK_OWNERSHIP_ONCE  ownership is checked at the start, not by the conditional update
 *   -DRELEASE_ON_SEND       memory is released when the unload is sent
 *   -DGONE_WITHOUT_DRAIN    attempts of an ended process are resolved before its connections are
 *                           drained
 *   -DSEEN_LOADED_RESOLVES  a report that the model is loaded resolves its load order. This variant
 *                           holds within the bounds, since a slot has at most one attempt, and a
 *                           load is recorded only after the engine reported that nothing is loaded.
 *                           The code doesn't use it: it would break if an order were ever sent a
 *                           second time.
 */

#define HOSTS 2
#define EPOCHS 3          /* limit of takeovers */
#define ORDERS 3          /* limit of orders */

#define NONE 0
#define LOADING 1
#define LOADED 2
#define UNLOADING 3

/* The cell's record in the platform. Models 1 and 2 each need the accelerator's whole memory. */
typedef Record {
  byte version;
  byte epoch;
  byte owner;               /* host that owns the cell */
  byte incarnation;         /* incarnation of the owner */
  byte phase;               /* of the only slot; NONE: no slot */
  byte model;               /* of the slot: 1 or 2; 0: no slot */
  byte attempt;             /* order number + 1 of the unresolved attempt; 0: none */
  byte attemptHost;         /* host of the attempt's sender */
  byte attemptIncarnation;  /* incarnation of the sender */
  byte attemptEpoch;        /* fencing token of the order */
  bool attemptUnload;       /* true: the order unloads; false: it loads */
}
Record record;

/* The orders, with their state on the network and at the engine. */
typedef Order {
  bool sent;                /* sent, and not yet arrived at the engine */
  bool unload;
  bool answered;            /* the sender received the answer */
  bool finished;            /* executed or refused by the engine, or cancelled: never sent again */
  byte model;
  byte epoch;
  byte host;
  byte incarnation;
}
Order order[ORDERS];
byte orders = 0;

/* The engine. */
bool loaded[3];             /* by model */
byte fencingToken = 0;      /* largest fencing token received */

/* Incarnation of the process that runs on each host; an ended process sends nothing any more. */
byte running[HOSTS];

byte takeovers = 0;

#define LOADED_MODELS (loaded[1] + loaded[2])

/* The engine's memory is never overcommitted, so no model has a second replica either. */
#define noOvercommit (LOADED_MODELS <= 1)

inline engineExecutes(o) {
  d_step {
    order[o].finished = true;
    order[o].sent = false;
#ifdef FENCING
    if
    :: order[o].epoch < fencingToken -> skip
    :: else ->
       fencingToken = order[o].epoch;
       loaded[order[o].model] = !order[o].unload
    fi
#else
    loaded[order[o].model] = !order[o].unload
#endif
  }
}

/* The network and the engine: a sent order arrives at any later time; its answer may get lost. */
active proctype Engine() {
end:
  do
  :: atomic {
       (orders > 0 && order[0].sent) -> engineExecutes(0);
       if :: order[0].answered = true :: skip fi
     }
  :: atomic {
       (orders > 1 && order[1].sent) -> engineExecutes(1);
       if :: order[1].answered = true :: skip fi
     }
  :: atomic {
       (orders > 2 && order[2].sent) -> engineExecutes(2);
       if :: order[2].answered = true :: skip fi
     }
  od
}

/* A host's process ends, while its orders may still be on the network. The next process of the host
 * starts without state. */
active proctype Crash() {
end:
  do
  :: atomic { running[0] < 1 -> running[0]++ }
  :: atomic { running[1] < 1 -> running[1]++ }
  od
}

/* writeRecord: the update is conditional on the version that the host knows. With
 * CHECK_OWNERSHIP_ONCE, a host with an outdated version writes too, whatever the record holds. */
#define VERSION_MATCHES (knownVersion == record.version)
#ifdef CHECK_OWNERSHIP_ONCE
#define MAY_LOAD (!VERSION_MATCHES || (record.phase == NONE && record.attempt == 0))
#else
#define MAY_LOAD (VERSION_MATCHES && record.phase == NONE && record.attempt == 0)
#endif

inline reconcileSlot() {
  /* applies a report that the engine gave after the attempt was resolved */
  if
  :: loaded[record.model] -> record.phase = LOADED
  :: else -> record.phase = NONE; record.model = 0
  fi
}

proctype Host(byte me) {
  byte knownVersion;        /* version of the record as this host knows it */
  byte ownedEpoch;          /* epoch in which this host owns the cell, 0: not the owner */
  byte myIncarnation = 0;   /* of this process; updated after a crash */
  byte orderNumber;         /* number of the order last recorded */
  byte chosenModel;         /* model to load */
  bool pending = false;     /* that order is recorded and not yet sent */
end:
  do
  /* the process ended: a new one starts without state */
  :: atomic {
       running[me] != myIncarnation ->
       myIncarnation = running[me]; ownedEpoch = 0; pending = false; knownVersion = 0
     }

  /* takeCell: at any time, since the suspicion of the old owner may be wrong. If the update is
   * applied but its answer lost and the host gives up, no host acts as owner in this epoch. */
  :: atomic {
       (running[me] == myIncarnation && !pending && takeovers < EPOCHS
        && !(record.owner == me && record.incarnation == myIncarnation
             && ownedEpoch == record.epoch)) ->
       takeovers++;
       record.epoch++;
       record.version++;
       record.owner = me;
       record.incarnation = myIncarnation;
#ifdef DROP_AT_TAKEOVER
       if
       :: record.attempt != 0 -> record.attempt = 0; reconcileSlot()
       :: else -> skip
       fi;
#endif
       if
       :: ownedEpoch = record.epoch; knownVersion = record.version
       :: ownedEpoch = 0 /* answer lost; the host gives up */
       fi
     }

  /* planOnce, reserveLoad, writeRecord: memory is free and no attempt is unresolved */
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch > 0 && !pending && orders < ORDERS
        && MAY_LOAD) ->
       if :: chosenModel = 1 :: chosenModel = 2 fi;
       orderNumber = orders;
       orders++;
       record.version++;
       record.phase = LOADING;
       record.model = chosenModel;
       record.attempt = orderNumber + 1;
       record.attemptHost = me;
       record.attemptIncarnation = myIncarnation;
       record.attemptEpoch = ownedEpoch;
       record.attemptUnload = false;
       order[orderNumber].model = chosenModel;
       order[orderNumber].unload = false;
       order[orderNumber].epoch = ownedEpoch;
       order[orderNumber].host = me;
       order[orderNumber].incarnation = myIncarnation;
       if
       :: knownVersion = record.version; pending = true
       :: ownedEpoch = 0 /* answer lost; the host gives up, so the order is never sent */
       fi
     }

  /* planOnce, recordUnload, writeRecord */
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch > 0 && !pending && orders < ORDERS
        && record.phase == LOADED && record.attempt == 0 && VERSION_MATCHES) ->
       orderNumber = orders;
       orders++;
       record.version++;
       record.phase = UNLOADING;
       record.attempt = orderNumber + 1;
       record.attemptHost = me;
       record.attemptIncarnation = myIncarnation;
       record.attemptEpoch = ownedEpoch;
       record.attemptUnload = true;
       order[orderNumber].model = record.model;
       order[orderNumber].unload = true;
       order[orderNumber].epoch = ownedEpoch;
       order[orderNumber].host = me;
       order[orderNumber].incarnation = myIncarnation;
       if
       :: knownVersion = record.version; pending = true
       :: ownedEpoch = 0 /* answer lost; the host gives up, so the order is never sent */
       fi
     }

  /* sendOrder: perhaps much later, if the process was paused; not if the order was cancelled */
  :: atomic {
       (running[me] == myIncarnation && pending) ->
       pending = false;
       chosenModel = 0;
       order[orderNumber].sent = !order[orderNumber].finished;
#ifdef RELEASE_ON_SEND
       if
       :: order[orderNumber].unload && record.attempt == orderNumber + 1 ->
          record.attempt = 0; record.phase = NONE; record.model = 0; record.version++;
          knownVersion = record.version
       :: else -> skip
       fi
#endif
     }

  /* resolveAttempts, Answered: the sender received the answer and the current owner requests it */
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch == record.epoch && record.owner == me
        && record.attempt != 0
        && order[record.attempt - 1].answered
        && running[record.attemptHost] == record.attemptIncarnation) ->
       record.attempt = 0; reconcileSlot(); record.version++; knownVersion = record.version
     }

  /* cancelUnsent, NeverSent: the current owner requests the outcome of an order that wasn't sent;
   * its sender cancels it by setting `finished`, and will never send it. */
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch == record.epoch && record.owner == me
        && record.attempt != 0
        && running[record.attemptHost] == record.attemptIncarnation
        && !order[record.attempt - 1].sent && !order[record.attempt - 1].finished) ->
       order[record.attempt - 1].finished = true;
       record.attempt = 0; reconcileSlot(); record.version++; knownVersion = record.version
     }

  /* SenderGone: the sender's process ended and its connections are drained */
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch == record.epoch && record.owner == me
        && record.attempt != 0
        && running[record.attemptHost] != record.attemptIncarnation
#ifndef GONE_WITHOUT_DRAIN
        && !order[record.attempt - 1].sent
#endif
       ) ->
       record.attempt = 0; reconcileSlot(); record.version++; knownVersion = record.version
     }

#ifdef SEEN_LOADED_RESOLVES
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch == record.epoch && record.owner == me
        && record.attempt != 0
        && !record.attemptUnload && loaded[record.model]) ->
       record.attempt = 0; reconcileSlot(); record.version++; knownVersion = record.version
     }
#endif

#ifdef FENCING
  /* raiseFencingToken, FencedOff: the engine holds this epoch, so it refuses all older attempts */
  :: atomic {
       (running[me] == myIncarnation && ownedEpoch == record.epoch && record.owner == me
        && record.attempt != 0
        && record.attemptEpoch < ownedEpoch) ->
       fencingToken = (fencingToken > ownedEpoch -> fencingToken : ownedEpoch);
       record.attempt = 0; reconcileSlot(); record.version++; knownVersion = record.version
     }
#endif
  od
}

init {
  atomic { run Host(0); run Host(1) }
}

ltl memory { [] noOvercommit }
