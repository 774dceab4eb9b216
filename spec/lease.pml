/*
 * Model of the leases in a group of three ordinals (crates/core/src/lease.rs).
 *
 * Processes 0, 1, 2 hold the three ordinals at the start. Process 3 may replace the holder of
 * ordinal 0 at any time, and process 4 that of ordinal 1; the replaced processes may keep running.
 * A process that is paused, partitioned or dead takes no step. Any message may be lost or delayed:
 * a request is answered at any time, or never.
 *
 * Time is a global step that decrements all timers. Clock drift is modelled at its worst: a
 * holder's timer runs one step too long and a voter's one step too short. MARGIN compensates for it.
 *
 * Bounds: a lease of 2 steps, one candidate each for ordinals 0 and 1 (PROCS = 5) or only for
 * ordinal 0 (PROCS = 4), one generation above the first. Time is bounded only by END, if defined.
 * With PROCS = 5 the holder of ordinal 2 only votes; with RATES only processes 0 and 1 read the new
 * version.
 *
 * Queries are not modelled: a candidate may ask for any generation at any time. Votes arrive when
 * they are given; a later arrival only shortens the authority, which counts from the request.
 *
 * Checked: at most one process has authority for an ordinal; with RATES, no host uses version 0 of
 * the configuration for longer than a lease after the holders of two ordinals use version 1.
 *
 * Broken variants: STALE (a paused holder acts before it reads its clock), DRIFT (no margin),
 * NO_QUARANTINE, NO_REPLACED (replaced voters count); with RATES: VERSION (voters accept older
 * versions), NO_CONFIRM (no round between admission and authority).
 */

#ifndef LEASE
#define LEASE 2
#endif
#define NONE 7
#ifndef GENS
#define GENS 2
#endif
#ifndef PROCS
#define PROCS 5
#endif

#ifdef DRIFT
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define HOLD (LEASE - MARGIN + 1)
#define LOCK (LEASE + MARGIN - 1)


#define ORD(p) ((p) % 3)
#define AT(p, o) ((p) * 3 + (o))

byte gen[PROCS];           /* generation, 0 before admission */
byte cand[PROCS];          /* generation that a candidate asks for */
byte lease[PROCS];         /* steps until the authority ends */
bit confirmed[PROCS];      /* a round after the admission succeeded without its own vote */
byte quar[PROCS];          /* steps until the process votes */
byte age[PROCS];           /* steps since the round was sent, NONE without one */
byte known[PROCS * 3];     /* highest generation known of each ordinal */
byte who[PROCS * 3];       /* process + 1 that a voter has granted the ordinal to */
byte lock[PROCS * 3];      /* steps until that grant ends */
byte vote[PROCS * 3];      /* generation of the voter of each ordinal in the round, 0 without */
bit ended[PROCS];
bit version[PROCS];
bit lowered;               /* a majority uses version 1 */
byte oldest;               /* steps until no host may use version 0 */
#ifdef STALE
bit unread[PROCS];         /* the process has not read its clock since its last renewal */
#endif

#ifdef END
byte steps;
#endif

#ifdef STALE
#define AUTH(p) (gen[p] > 0 && confirmed[p] && !ended[p] && (lease[p] > 0 || unread[p]))
#else
#define AUTH(p) (gen[p] > 0 && confirmed[p] && !ended[p] && lease[p] > 0)
#endif

byte p, v, o, g, i;
bit ok;

inline clear_round(x) {
  age[x] = NONE; vote[AT(x, 0)] = 0; vote[AT(x, 1)] = 0; vote[AT(x, 2)] = 0;
}

inline end(x) {
  ended[x] = 1; gen[x] = 0; confirmed[x] = 0; lease[x] = 0; cand[x] = 0; quar[x] = 0; clear_round(x);
  for (i : 0 .. 2) { who[AT(x, i)] = 0; lock[AT(x, i)] = 0; known[AT(x, i)] = 0; }
}

inline check() {
  assert(!(AUTH(0) && AUTH(3)));
#if PROCS > 4
  assert(!(AUTH(1) && AUTH(4)));
#endif
  i = 0;
  do
  :: i < PROCS -> assert(!(lowered && oldest == 0 && AUTH(i) && !version[i])); i++
  :: else -> break
  od
}

/* Process p starts a round. */
inline start_round() {
  clear_round(p);
  age[p] = 0;
  if
  :: gen[p] == 0 -> if :: cand[p] = 2 :: GENS >= 3 -> cand[p] = 3 fi
  :: else -> skip
  fi
}

/* Voter v answers the round of p. */
inline answer_round() {
  o = ORD(p);
  g = (gen[p] > 0 -> gen[p] : cand[p]);
  ok = gen[v] > 0 && confirmed[v] && !(lock[AT(v, o)] > 0 && who[AT(v, o)] != p + 1);
#ifndef NO_QUARANTINE
  ok = ok && quar[v] == 0;
#endif
#ifndef VERSION
  ok = ok && version[p] >= version[v];
#endif
  ok = ok && (gen[p] > 0 -> g >= known[AT(v, o)]
      : g > known[AT(v, o)] || (who[AT(v, o)] == p + 1 && g == known[AT(v, o)]));
  if
  :: ok ->
    known[AT(v, o)] = g; who[AT(v, o)] = p + 1; lock[AT(v, o)] = LOCK;
    vote[AT(p, ORD(v))] = gen[v];
    for (i : 0 .. 2) {
      known[AT(p, i)] = (known[AT(v, i)] > known[AT(p, i)] -> known[AT(v, i)] : known[AT(p, i)]);
    }
    if
    :: known[AT(p, o)] > g -> if :: gen[p] > 0 -> end(p) :: else -> clear_round(p) fi
    :: else -> count()
    fi
  :: else -> skip
  fi;
  ok = 0; g = 0; o = 0
}

#ifdef NO_REPLACED
#define VALID(x) (vote[AT(p, x)] > 0)
#else
#define VALID(x) (vote[AT(p, x)] > 0 && vote[AT(p, x)] >= known[AT(p, x)])
#endif

inline count() {
  if
  :: gen[p] == 0 && VALID((o + 1) % 3) && VALID((o + 2) % 3) ->
    gen[p] = g; known[AT(p, o)] = g; cand[p] = 0; quar[p] = LOCK;
#ifdef NO_CONFIRM
    confirm()
#else
    clear_round(p)
#endif
  :: gen[p] > 0 && !confirmed[p] && VALID((o + 1) % 3) && VALID((o + 2) % 3) -> confirm()
  :: gen[p] > 0 && confirmed[p] && (VALID((o + 1) % 3) || VALID((o + 2) % 3)) -> confirm()
  :: else -> skip
  fi
}

inline confirm() {
  confirmed[p] = 1;
  lease[p] = (lease[p] > HOLD - age[p] -> lease[p] : HOLD - age[p]);
#ifdef STALE
  unread[p] = 1;
#endif
  clear_round(p)
}

inline down(x) { x = (x > 0 -> x - 1 : 0) }

inline tick() {
  p = 0;
  do
  :: p < PROCS ->
    if
    :: !ended[p] ->
      down(lease[p]); down(quar[p]);
      if :: age[p] != NONE -> age[p]++ :: else -> skip fi;
      if :: age[p] == LEASE -> clear_round(p) :: else -> skip fi;
      for (i : 0 .. 2) {
        down(lock[AT(p, i)]);
        if :: lock[AT(p, i)] == 0 -> who[AT(p, i)] = 0 :: else -> skip fi
      }
    :: else -> skip
    fi;
    p++
  :: else -> break
  od;
  down(oldest);
#ifdef END
  steps++;
#endif
  p = 0
}


init {
  atomic {
    p = 0;
    do
    :: p < PROCS ->
      age[p] = NONE;
      if
      :: p < 3 ->
        gen[p] = 1; confirmed[p] = 1; lease[p] = HOLD;
        for (i : 0 .. 2) {
          known[AT(p, i)] = 1;
          if :: i != p -> who[AT(p, i)] = i + 1; lock[AT(p, i)] = LOCK :: else -> skip fi
        }
      :: else ->
        skip
      fi;
      p++
    :: else -> break
    od;
    p = 0
  }
  do
  :: atomic {
      /* Select a process and let it take a step. With two replacements, process 2
       * only votes: no other process competes for its ordinal. */
      if
      :: p = 0 :: p = 1 :: p = 3
#if PROCS > 4
      :: p = 4
#else
      :: p = 2
#endif
      fi;
      if
      :: !ended[p] && age[p] != 0 && lease[p] < HOLD -> start_round()
      :: !ended[p] && age[p] != NONE ->
        if
        :: v = 0 :: v = 1 :: v = 2 :: v = 3
#if PROCS > 4
        :: v = 4
#endif
        fi;
        if
        :: ORD(v) != ORD(p) && !ended[v] && vote[AT(p, ORD(v))] == 0 -> answer_round()
        :: else -> skip
        fi;
        v = 0
#ifdef RATES
      /* Processes 2 and 3 cannot read the new version. */
      :: p < 2 && !version[p] && !ended[p] ->
        version[p] = 1;
        /* Holders of two ordinals that use version 1 are a majority. */
        g = 0;
        for (i : 0 .. 2) {
          if
          :: (AUTH(i) && version[i]) -> g++
          :: else -> if :: i < PROCS - 3 -> if :: AUTH(i + 3) && version[i + 3] -> g++ :: else -> skip fi :: else -> skip fi
          fi
        };
        if :: g >= 2 && !lowered -> lowered = 1; oldest = LEASE :: else -> skip fi;
        g = 0
#endif
#ifdef STALE
      :: unread[p] && lease[p] == 0 -> unread[p] = 0
#endif
      :: else -> skip
      fi;
      p = 0;
      check();
      i = 0
    }
  :: d_step {
#ifdef END
      steps < END ->
#endif
      tick(); check(); i = 0
    }
  od
}
