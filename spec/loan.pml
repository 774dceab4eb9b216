/*
 * Model of the loans between the token buckets of three ordinals (crates/core/src/allowance.rs).
 *
 * Processes 0, 1, 2 hold the ordinals at the start; process 3 replaces the holder of ordinal 0 once
 * the lease of process 0 has ended, as checked in lease.pml. Process 0 may stop renewing its lease
 * at any time.
 *
 * Each bucket holds CAP tokens and gains 1 per step. A host spends tokens, or borrows one token and
 * its capacity from any other host. Messages may be lost, delayed or duplicated.
 *
 * Bounds: process 1 is the only borrower, CAP = 2, a lease of 2 steps, loans of LOAN = 2 steps,
 * LOANS = 2 loans, END = 7 steps.
 *
 * Checked: over any window, at most 3 x CAP + 3 x steps tokens are spent. `excess` is the largest
 * amount above 3 x steps over all windows that end now.
 *
 * Broken variants: FULL (a replacement starts with a full bucket), OUTLAST (a loan may last longer
 * than the lender's lease), REPEAT (a duplicated answer counts again), LATE (an answer counts after
 * the loan's end), DRIFT (the lender counts one step less than the borrower), KEEP (the lender does
 * not subtract what it lends).
 */

#define CAP 2
#define LEASE 2
#define LOANS 2
#define END 7

#ifdef OUTLAST
#define LOAN 6
#else
#define LOAN 2
#endif

#ifdef REPEAT
#define MOST 2
#else
#define MOST 1
#endif

#define LIMIT(x) (CAP - lent[x] + extra[x])
#define HOLDS(x) (lease[x] > 0)

byte lease[4];
byte tokens[4];
byte lent[4];              /* capacity that is lent */
byte lent_for[4];
byte extra[4];             /* capacity that is borrowed */
byte extra_for[4];
bit asked[4];
byte answer[4];            /* answers in transit */
byte lasts[4];             /* duration of the loan in the answer */
byte age[4];               /* steps since the request was sent */
byte excess;
byte loans;
byte steps;
byte p, v;
bit taken;                 /* process 3 holds ordinal 0 */

inline clip(x) { tokens[x] = (tokens[x] > LIMIT(x) -> LIMIT(x) : tokens[x]) }
inline down(x) { x = (x > 0 -> x - 1 : 0) }

inline forget() { asked[p] = 0; age[p] = 0; answer[p] = 0; lasts[p] = 0 }

inline lend() {
  loans++;
  answer[p] = 1;
#ifdef OUTLAST
  lasts[p] = LOAN;
#else
  lasts[p] = (lease[v] < LOAN -> lease[v] : LOAN);
#endif
#ifndef KEEP
  tokens[v]--;
  lent[v]++;
#ifdef DRIFT
  lent_for[v] = lasts[p] - 1;
  if :: lent_for[v] == 0 -> lent[v] = 0 :: else -> skip fi
#else
  lent_for[v] = lasts[p]
#endif
#endif
}

inline borrow() {
  if
#ifdef LATE
  :: true ->
#else
  :: age[p] < lasts[p] ->
#endif
    extra[p]++;
    extra_for[p] = (lasts[p] > age[p] -> lasts[p] - age[p] : 1);
    tokens[p]++
  :: else -> skip
  fi;
#ifdef REPEAT
  if :: forget() :: skip fi
#else
  forget()
#endif
}

inline tick() {
  for (p : 0 .. 3) {
    down(lent_for[p]);
    if :: lent_for[p] == 0 -> lent[p] = 0 :: else -> skip fi;
    down(extra_for[p]);
    if :: extra_for[p] == 0 -> extra[p] = 0 :: else -> skip fi;
    if :: asked[p] && age[p] < 7 -> age[p]++ :: else -> skip fi;
    if :: HOLDS(p) -> tokens[p]++ :: else -> skip fi;
    clip(p)
  }
  down(lease[0]);
  excess = (excess > 3 -> excess - 3 : 0);
  steps++;
  p = 0
}

init {
  d_step {
    for (p : 0 .. 2) { tokens[p] = CAP; lease[p] = LEASE }
    p = 0
  }
  do
  :: atomic { lease[0] > 0 && !taken -> lease[0] = LEASE }
  :: atomic {
      lease[0] == 0 && !taken -> taken = 1; lease[3] = LEASE;
#ifdef FULL
      tokens[3] = CAP
#endif
    }
  :: atomic {
      if :: p = 0 :: p = 1 :: p = 2 :: p = 3 fi;
      if
      :: HOLDS(p) && tokens[p] > 0 ->
        tokens[p]--; excess++;
        assert(excess <= 3 * CAP)
      :: p == 1 && !asked[p] && loans < LOANS -> asked[p] = 1
      :: asked[p] && answer[p] == 0 && loans < LOANS ->
        if :: v = 0 :: v = 1 :: v = 2 :: v = 3 fi;
        if :: v != p && HOLDS(v) && tokens[v] > 0 && lent[v] == 0 -> lend() :: else -> skip fi;
        v = 0
      :: asked[p] && answer[p] > 0 && extra[p] < MOST -> borrow()
      :: asked[p] -> forget()
      :: else -> skip
      fi;
      p = 0
    }
  :: d_step { steps < END -> tick() }
  :: steps == END -> break
  od
}
