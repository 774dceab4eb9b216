//! One account's share on this host.

use std::time::Duration;

use super::{Ask, Loan, Report, UNIT, search::Search};
use crate::{
    ArcStr,
    bucket::{Bucket, Limits, Reservation},
    ids::Ordinal,
    time::{Tick, micros},
};

/// Loans of one account in each direction, so that memory is bounded.
const MAX_LOANS: usize = 64;

/// Shortest interval over which demand is averaged.
const SAMPLE: Duration = Duration::from_millis(250);

/// Retry delay named to a caller when the account has no room.
const RETRY: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Term {
    limits: Limits,
    until: Tick,
}

/// Limits and amounts are in thousandths of a token.
#[derive(Clone, Debug)]
pub(super) struct Share {
    pub(super) whole: Limits,
    pub(super) epoch: u64,
    pub(super) search: Search,
    base: Limits,
    bucket: Bucket,
    given: Vec<Term>,
    taken: Vec<Term>,
    // Tokens per second that this host's requests use.
    demand: u64,
    used: u64,
    sampled: Tick,
}

impl Share {
    pub(super) fn new(whole: Limits, parts: u8, epoch: u64, now: Tick) -> Self {
        let base = base(whole, parts);
        Self {
            whole,
            epoch,
            search: Search::default(),
            base,
            bucket: Bucket::new(base, now),
            given: Vec::new(),
            taken: Vec::new(),
            demand: 0,
            used: 0,
            sampled: now,
        }
    }

    pub(super) fn set_whole(&mut self, whole: Limits, parts: u8, now: Tick) {
        self.whole = whole;
        self.set_parts(parts, now);
    }

    pub(super) fn set_parts(&mut self, parts: u8, now: Tick) {
        self.expire(now);
        self.base = base(self.whole, parts);
        self.apply(now);
    }

    pub(super) fn take(&mut self, n: u64, now: Tick) -> Option<Reservation> {
        self.expire(now);
        let r = self.bucket.take(n, now)?;
        self.used = self.used.saturating_add(n);
        Some(r)
    }

    pub(super) fn settle(&mut self, r: Reservation, unused: u64, now: Tick) {
        self.expire(now);
        self.bucket.settle(r, unused, now);
        self.used = self.used.saturating_sub(unused);
    }

    pub(super) fn retry(&mut self, n: u64, now: Tick) -> Duration {
        let own = self.bucket.wait(n, now);
        let missing = n.saturating_sub(self.bucket.available(now));
        let group = Duration::from_millis(missing / self.whole.rate.max(1));
        own.map_or(group, |w| w.min(group)).max(self.search.dry(now)).max(RETRY)
    }

    /// Plans the next round of the search; `ask(peer, need, want)` is false if it cannot be sent.
    pub(super) fn plan(
        &mut self,
        now: Tick,
        live: &[Ordinal],
        free: &[Ordinal],
        mut ask: impl FnMut(Ordinal, u64, u64) -> bool,
    ) {
        self.expire(now);
        self.sample(now);
        if self.search.need == 0 {
            return;
        }
        let missing = self.search.need.saturating_sub(self.bucket.available(now));
        if missing == 0 {
            return self.search.done();
        }
        if self.search.exhausted(live, now) || self.taken.len() + live.len() > MAX_LOANS {
            return;
        }
        let parts = self.search.parts(missing, self.base.rate, self.base.burst, free, now);
        let wanted = self.wanted().max(missing);
        for (to, need) in parts {
            let want = scale(wanted, need, missing).max(need);
            if ask(to, need, want) {
                self.search.asked(to);
            }
        }
    }

    pub(super) fn lend(&mut self, now: Tick, until: Tick, ask: &Ask) -> Loan {
        self.expire(now);
        self.sample(now);
        let own = self.own();
        let available = self.bucket.available(now);
        let mut loan = Loan { account: ask.account.clone(), rate: 0, burst: 0, tokens: 0, left: 0 };
        if self.given.len() < MAX_LOANS && own.burst > 0 {
            let needed = ask.need.min(available).min(own.burst);
            // Beyond what is needed at once, only what this host's own requests do not use.
            let kept = scale(own.burst, self.demand.min(own.rate), own.rate.max(1));
            loan.burst = needed.max(ask.want.min(own.burst - kept));
            loan.rate = scale(own.rate, loan.burst, own.burst);
            // Tokens above the remaining capacity would be lost.
            let rest = self.bucket.limits().burst - loan.burst;
            loan.tokens = needed.max(available.saturating_sub(rest)).min(loan.burst);
        }
        if loan.burst > 0 {
            self.bucket.remove(loan.tokens, now);
            let limits = Limits { rate: loan.rate, burst: loan.burst };
            self.given.push(Term { limits, until });
            self.apply(now);
        }
        loan.left = self.bucket.available(now).min(self.own().burst);
        loan
    }

    pub(super) fn borrowed(&mut self, now: Tick, until: Tick, from: Ordinal, loan: &Loan) {
        self.expire(now);
        let enough = loan.left > 0;
        self.search.answered(from, loan.left, enough, now);
        if loan.burst == 0 || now >= until || self.taken.len() >= MAX_LOANS {
            return;
        }
        let limits = Limits { rate: loan.rate, burst: loan.burst };
        self.taken.push(Term { limits, until });
        self.apply(now);
        self.bucket.add(loan.tokens.min(loan.burst), now);
    }

    pub(super) fn lent_until(&self) -> Option<Tick> {
        self.given.iter().map(|t| t.until).max()
    }

    pub(super) fn report(&mut self, account: ArcStr, now: Tick) -> Report {
        self.expire(now);
        let limits = self.bucket.limits();
        Report {
            account,
            available: self.bucket.available(now) / UNIT,
            rate: limits.rate / UNIT,
            burst: limits.burst / UNIT,
            given: sum(&self.given).burst / UNIT,
            taken: sum(&self.taken).burst / UNIT,
        }
    }

    // Loans end one after the other at their own times: refill after the end of a loan must not
    // count its rate.
    fn expire(&mut self, now: Tick) {
        loop {
            let terms = self.given.iter().chain(&self.taken);
            let Some(t) = terms.map(|t| t.until).min().filter(|t| *t <= now) else { return };
            self.given.retain(|g| g.until > t);
            self.taken.retain(|g| g.until > t);
            self.apply(t);
        }
    }

    fn apply(&mut self, now: Tick) {
        let (own, taken) = (self.own(), sum(&self.taken));
        let limits = Limits {
            rate: own.rate.saturating_add(taken.rate),
            burst: own.burst.saturating_add(taken.burst),
        };
        self.bucket.set_limits(limits, now);
    }

    // The part of the base share that is not lent.
    fn own(&self) -> Limits {
        let given = sum(&self.given);
        Limits {
            rate: self.base.rate.saturating_sub(given.rate),
            burst: self.base.burst.saturating_sub(given.burst),
        }
    }

    // Burst that goes with the rate that this host's requests use above its own.
    fn wanted(&self) -> u64 {
        let short = self.demand.saturating_sub(self.bucket.limits().rate);
        scale(self.base.burst, short, self.base.rate.max(1))
    }

    fn sample(&mut self, now: Tick) {
        let d = now.since(self.sampled);
        if d < SAMPLE {
            return;
        }
        let rate = u128::from(self.used) * 1_000_000 / u128::from(micros(d).max(1));
        self.demand = self.demand.midpoint(u64::try_from(rate).unwrap_or(u64::MAX));
        self.used = 0;
        self.sampled = now;
    }
}

// Rounded down, so that the parts never sum above the whole.
fn base(whole: Limits, parts: u8) -> Limits {
    let part = |n: u64| n.saturating_mul(UNIT).checked_div(u64::from(parts)).unwrap_or(0);
    Limits { rate: part(whole.rate), burst: part(whole.burst) }
}

fn sum(terms: &[Term]) -> Limits {
    terms.iter().fold(Limits::default(), |s, t| Limits {
        rate: s.rate.saturating_add(t.limits.rate),
        burst: s.burst.saturating_add(t.limits.burst),
    })
}

// n x part / whole, rounded down.
fn scale(n: u64, part: u64, whole: u64) -> u64 {
    let v = u128::from(n) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(v).unwrap_or(u64::MAX)
}
