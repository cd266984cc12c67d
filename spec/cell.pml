/* The placement protocol of one cell: record before order, and every copy of an order counts until
 * it is resolved. One model with one decided replica, one accelerator with room for one load, on
 * one engine. Two hosts may own the cell; each may pause at any step and wake with what it holds;
 * platform answers may be lost. Steps carry the names of the functions in src/process.
 *
 * A copy in doubt is one whose answer has not reached its sender. It resolves when its sender's
 * answer came (Answered), its sender never sent it (NeverSent), or its sender's run is over and
 * what it wrote is drained (SenderGone), or the engine holds a larger fence (FencedOff).
 *
 * Build with -DFENCING for an engine that checks fencing numbers. Broken variants, each of which
 * the checker must refute, but the last:
 *   -DDROP_AT_TAKEOVER      unresolved copies are dropped when a new owner takes the cell
 *   -DCHECK_LEASE_ONLY      ownership is checked at the start, not by the conditional update
 *   -DRELEASE_ON_SEND       memory is released when the unload is sent
 *   -DGONE_WITHOUT_DRAIN    a dead sender's copies count as resolved before its bytes are drained
 *   -DSEEN_LOADED_RESOLVES  seeing the model loaded resolves its load order. This one holds within
 *                           the bounds: a slot has one copy at the most, and a load is recorded
 *                           only after the engine said that nothing is there. The code doesn't
 *                           use it; it would break as soon as a second copy were ever sent.
 */

#define HOSTS 2
#define EPOCHS 3          /* takeovers explored */
#define ORDERS 3          /* orders explored */

#define NONE 0
#define LOADING 1
#define LOADED 2
#define UNLOADING 3

/* The platform's object. Model A and model B both need the accelerator's whole memory. */
typedef Record {
  byte version;
  byte epoch;
  byte owner;             /* host that holds it */
  byte runNumber;               /* that host's run (incarnation) */
  byte phase;             /* of the one slot that fits */
  byte model;             /* whose slot it is: 1 or 2 */
  byte copy;              /* unresolved order number, 0: none */
  byte copyHost;
  byte copyRun;
  byte copyEpoch;
  bool copyUnload;
}
Record record;

/* Orders on their way: written to a connection, not yet taken by the engine. */
typedef Order {
  bool sent;              /* may still arrive */
  bool unload;
  bool answered;          /* the answer reached the sender */
  bool taken;             /* the engine carried it out or refused it */
  byte model;
  byte epoch;
  byte host;
  byte runNumber;
}
Order order[ORDERS];
byte orders = 0;

/* The engine. */
bool loaded[3];
byte fence = 0;

/* Hosts: which run is alive; a run that is over never sends again. */
byte life[HOSTS];

byte takeovers = 0;

#define IN_MEMORY (loaded[1] + loaded[2])

/* Memory is never overcommitted, and with it no replica beyond the decided one. */
#define noOvercommit (IN_MEMORY <= 1)

inline engineTakes(o) {
  d_step {
    order[o].taken = true;
    order[o].sent = false;
#ifdef FENCING
    if
    :: order[o].epoch < fence -> skip
    :: else ->
       fence = order[o].epoch;
       loaded[order[o].model] = !order[o].unload
    fi
#else
    loaded[order[o].model] = !order[o].unload
#endif
  }
}

/* The network and the engine: a sent order arrives at any later time, its answer or not. */
active proctype Engine() {
end:
  do
  :: atomic {
       (orders > 0 && order[0].sent) -> engineTakes(0);
       if :: order[0].answered = true :: skip fi
     }
  :: atomic {
       (orders > 1 && order[1].sent) -> engineTakes(1);
       if :: order[1].answered = true :: skip fi
     }
  :: atomic {
       (orders > 2 && order[2].sent) -> engineTakes(2);
       if :: order[2].answered = true :: skip fi
     }
  od
}

/* A host's run dies; its bytes may still be under way. A new run starts with nothing in hand. */
active proctype Crash() {
end:
  do
  :: atomic { life[0] < 1 -> life[0]++ }
  :: atomic { life[1] < 1 -> life[1]++ }
  od
}

/* writeRecord: the conditional update; `won` tells what the host learns, at once or by re-reading
 * after a lost answer. CHECK_LEASE_ONLY writes over whatever is there, by what it knew. */
#define FRESH (seen == record.version)
#ifdef CHECK_LEASE_ONLY
#define MAY_LOAD (!FRESH || (record.phase == NONE && record.copy == 0))
#else
#define MAY_LOAD (FRESH && record.phase == NONE && record.copy == 0)
#endif

inline settle() {
  /* settleSlot: the engine's word, asked for with no copy unresolved. */
  if
  :: loaded[record.model] -> record.phase = LOADED
  :: else -> record.phase = NONE; record.model = 0
  fi
}

proctype Host(byte me) {
  byte seen;              /* version of the record as this host knows it */
  byte mine;              /* epoch this host took, 0: not the owner */
  byte myRun = 0;         /* the run this code plays; restarts when the run dies */
  byte n;                 /* order decided and recorded, not yet sent */
  byte m;
  bool holds = false;     /* an order in hand */
end:
  do
  /* the run died: start again with nothing */
  :: atomic { life[me] != myRun -> myRun = life[me]; mine = 0; holds = false; seen = 0 }

  /* takeCell: at any time at all: suspicion may be wrong. The update may also be applied and its
   * answer lost, with the host giving up: then nobody acts as the owner for this epoch. */
  :: atomic {
       (life[me] == myRun && !holds && takeovers < EPOCHS
        && !(record.owner == me && record.runNumber == myRun && mine == record.epoch)) ->
       takeovers++;
       record.epoch++;
       record.version++;
       record.owner = me;
       record.runNumber = myRun;
#ifdef DROP_AT_TAKEOVER
       if
       :: record.copy != 0 -> record.copy = 0; settle()
       :: else -> skip
       fi;
#endif
       if
       :: mine = record.epoch; seen = record.version
       :: mine = 0 /* answer lost, and given up */
       fi
     }

  /* planOnce + reserveLoad + writeRecord: room is free and nothing is in doubt */
  :: atomic {
       (life[me] == myRun && mine > 0 && !holds && orders < ORDERS && MAY_LOAD) ->
       if :: m = 1 :: m = 2 fi;
       n = orders;
       orders++;
       record.version++;
       record.phase = LOADING;
       record.model = m;
       record.copy = n + 1;
       record.copyHost = me;
       record.copyRun = myRun;
       record.copyEpoch = mine;
       record.copyUnload = false;
       order[n].model = m;
       order[n].unload = false;
       order[n].epoch = mine;
       order[n].host = me;
       order[n].runNumber = myRun;
       if
       :: seen = record.version; holds = true
       :: mine = 0 /* answer lost, and given up: the order is never sent */
       fi
     }

  /* planOnce + recordUnload + writeRecord */
  :: atomic {
       (life[me] == myRun && mine > 0 && !holds && orders < ORDERS && record.phase == LOADED
        && record.copy == 0 && FRESH) ->
       n = orders;
       orders++;
       record.version++;
       record.phase = UNLOADING;
       record.copy = n + 1;
       record.copyHost = me;
       record.copyRun = myRun;
       record.copyEpoch = mine;
       record.copyUnload = true;
       order[n].model = record.model;
       order[n].unload = true;
       order[n].epoch = mine;
       order[n].host = me;
       order[n].runNumber = myRun;
       if
       :: seen = record.version; holds = true
       :: mine = 0
       fi
     }

  /* sendOrder: maybe long after, if paused in between; not if forbidden meanwhile */
  :: atomic {
       (life[me] == myRun && holds) ->
       holds = false;
       m = 0;
       order[n].sent = !order[n].taken;
#ifdef RELEASE_ON_SEND
       if
       :: order[n].unload && record.copy == n + 1 ->
          record.copy = 0; record.phase = NONE; record.model = 0; record.version++;
          seen = record.version
       :: else -> skip
       fi
#endif
     }

  /* resolveCopies, Answered: the sender has its answer and tells whoever owns the cell now */
  :: atomic {
       (life[me] == myRun && mine == record.epoch && record.owner == me && record.copy != 0
        && order[record.copy - 1].answered && life[record.copyHost] == record.copyRun) ->
       record.copy = 0; settle(); record.version++; seen = record.version
     }

  /* forbidUnsent, NeverSent: asked for its fate, the sender promises not to send it any more.
   * `taken` marks an order that can't go out. */
  :: atomic {
       (life[me] == myRun && mine == record.epoch && record.owner == me && record.copy != 0
        && life[record.copyHost] == record.copyRun
        && !order[record.copy - 1].sent && !order[record.copy - 1].taken) ->
       order[record.copy - 1].taken = true;
       record.copy = 0; settle(); record.version++; seen = record.version
     }

  /* SenderGone: its run is over and what it wrote is drained */
  :: atomic {
       (life[me] == myRun && mine == record.epoch && record.owner == me && record.copy != 0
        && life[record.copyHost] != record.copyRun
#ifndef GONE_WITHOUT_DRAIN
        && !order[record.copy - 1].sent
#endif
       ) ->
       record.copy = 0; settle(); record.version++; seen = record.version
     }

#ifdef SEEN_LOADED_RESOLVES
  :: atomic {
       (life[me] == myRun && mine == record.epoch && record.owner == me && record.copy != 0
        && !record.copyUnload && loaded[record.model]) ->
       record.copy = 0; settle(); record.version++; seen = record.version
     }
#endif

#ifdef FENCING
  /* raiseFence, FencedOff: the engine holds our number, so no older copy can act any more */
  :: atomic {
       (life[me] == myRun && mine == record.epoch && record.owner == me && record.copy != 0
        && record.copyEpoch < mine) ->
       fence = (fence > mine -> fence : mine);
       record.copy = 0; settle(); record.version++; seen = record.version
     }
#endif
  od
}

init {
  atomic { run Host(0); run Host(1) }
}

ltl memory { [] noOvercommit }
