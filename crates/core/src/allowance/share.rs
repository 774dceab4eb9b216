//! One account's share on this host.

use std::time::Duration;

use super::{Ask, Loan, Report, UNIT, search::Search};
use crate::{
    ArcStr,
    bucket::{Bucket, Limits, Reservation},
    ids::Ordinal,
    time::Tick,
};

/// Loans that end within the same interval are counted as one, which bounds their number.
const GRID: u64 = 2_000;

/// Shortest time between two attempts to reach the peers' level.
const LEVEL: Duration = Duration::from_millis(100);

/// A host above this level, in per cent of its own burst, asks for nothing in advance.
const ENOUGH: u64 = 70;

/// Retry delay named to a caller when the account has no room.
const RETRY: Duration = Duration::from_millis(50);

/// Capacity that is lent or borrowed until some time.
#[derive(Clone, Copy, Debug)]
struct Term {
    burst: u64,
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
    levelled: Tick,
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
            levelled: now,
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
        self.bucket.take(n, now)
    }

    pub(super) fn settle(&mut self, r: Reservation, unused: u64, now: Tick) {
        self.expire(now);
        self.bucket.settle(r, unused, now);
    }

    pub(super) fn retry(&mut self, n: u64, now: Tick) -> Duration {
        let own = self.bucket.wait(n, now);
        let missing = n.saturating_sub(self.bucket.available(now));
        let group = Duration::from_millis(missing / self.whole.rate.max(1));
        own.map_or(group, |w| w.min(group)).max(self.search.dry(now)).max(RETRY)
    }

    /// Plans the next round of the search; `ask` is false if the message to the peer is full.
    pub(super) fn plan(
        &mut self,
        now: Tick,
        live: &[Ordinal],
        free: &[Ordinal],
        mut ask: impl FnMut(Ordinal, Ask) -> bool,
    ) {
        self.expire(now);
        let have = self.bucket.available(now);
        let missing = self.search.need.saturating_sub(have);
        if missing == 0 {
            self.search.done();
            let due = now >= self.levelled + LEVEL;
            if !due || have >= self.base.burst / 100 * ENOUGH {
                return;
            }
        } else if self.search.exhausted(live, now) {
            return;
        }
        self.levelled = now;
        let (rate, burst) = (self.base.rate, self.base.burst);
        let total: u64 = self.search.peers(rate, burst, live, now).iter().map(|(_, e)| e).sum();
        // Tokens for a request that cannot be served would be lost above this host's capacity, so
        // peers are first asked what they have.
        let probe = total < missing;
        if probe && self.search.informed(live, now) {
            return self.search.rest(now);
        }
        let peers = self.search.peers(rate, burst, free, now);
        let level = if missing > 0 { 0 } else { have };
        let spare = have.saturating_sub(self.search.need);
        for (to, need, want) in parts(&peers, missing, spare, burst / 2) {
            let (need, want) = if probe { (0, 0) } else { (need, want) };
            let sent =
                (probe || want > 0) && ask(to, Ask { account: ArcStr::new(), need, want, level });
            if sent {
                self.search.asked(to);
            }
        }
    }

    pub(super) fn lend(&mut self, now: Tick, until: Tick, from: Ordinal, ask: &Ask) -> Loan {
        self.expire(now);
        let available = self.bucket.available(now).min(self.own());
        let needed = ask.need.min(available);
        // In advance only up to the same level on both sides.
        let even = (available - needed).saturating_sub(ask.level) / 2;
        let tokens = needed + ask.want.saturating_sub(ask.need).min(even);
        if tokens > 0 {
            self.bucket.remove(tokens, now);
            let until = Tick(until.0.div_ceil(GRID) * GRID);
            add(&mut self.given, Term { burst: tokens, until });
            self.apply(now);
        }
        self.search.note(from, ask.level.saturating_add(tokens - needed), now);
        let left = available - tokens;
        Loan { account: ask.account.clone(), tokens, left }
    }

    pub(super) fn borrowed(&mut self, now: Tick, until: Tick, from: Ordinal, loan: &Loan) {
        self.expire(now);
        self.search.answered(from, loan.left, loan.left > 0, now);
        let until = Tick(until.0 / GRID * GRID);
        if loan.tokens == 0 || now >= until {
            return;
        }
        add(&mut self.taken, Term { burst: loan.tokens, until });
        self.apply(now);
        self.bucket.add(loan.tokens, now);
    }

    pub(super) fn lent_until(&self) -> Option<Tick> {
        self.given.iter().map(|t| t.until).max()
    }

    pub(super) fn report(&mut self, account: ArcStr, now: Tick) -> Report {
        self.expire(now);
        Report {
            account,
            available: self.bucket.available(now) / UNIT,
            burst: self.bucket.limits().burst / UNIT,
            given: sum(&self.given) / UNIT,
            taken: sum(&self.taken) / UNIT,
        }
    }

    // Loans end one after the other at their own times, so that refill is cut off at the capacity
    // that was in force when it arrived.
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
        let burst = self.own().saturating_add(sum(&self.taken));
        self.bucket.set_limits(Limits { rate: self.base.rate, burst }, now);
    }

    // The part of the base capacity that is not lent.
    fn own(&self) -> u64 {
        self.base.burst.saturating_sub(sum(&self.given))
    }
}

// Splits what is missing over the peers by what each is expected to have, and adds to each part
// what brings this host to the mean of the levels. `have` is left after the waiting request.
fn parts(
    peers: &[(Ordinal, u64)],
    missing: u64,
    have: u64,
    floor: u64,
) -> Vec<(Ordinal, u64, u64)> {
    let count = peers.len().max(1) as u64;
    let total = peers.iter().fold(0u64, |s, (_, e)| s.saturating_add(*e));
    let mean = total.saturating_sub(missing).saturating_add(have) / (count + 1);
    let above = peers.iter().fold(0, |s: u64, (_, e)| s.saturating_add(e.saturating_sub(mean)));
    let wanted = if mean >= floor { mean.saturating_sub(have) } else { 0 };
    let mut rest = missing;
    peers
        .iter()
        .map(|(o, e)| {
            let need = rest.min(*e);
            rest -= need;
            (*o, need, need + scale(wanted, e.saturating_sub(mean), above))
        })
        .collect()
}

fn add(terms: &mut Vec<Term>, t: Term) {
    match terms.iter_mut().find(|o| o.until == t.until) {
        Some(o) => o.burst = o.burst.saturating_add(t.burst),
        None => terms.push(t),
    }
}

// Rounded down, so that the parts never sum above the whole.
fn base(whole: Limits, parts: u8) -> Limits {
    let part = |n: u64| n.saturating_mul(UNIT).checked_div(u64::from(parts)).unwrap_or(0);
    Limits { rate: part(whole.rate), burst: part(whole.burst) }
}

fn sum(terms: &[Term]) -> u64 {
    terms.iter().fold(0, |s, t| s.saturating_add(t.burst))
}

// n x part / whole, rounded down.
fn scale(n: u64, part: u64, whole: u64) -> u64 {
    let v = u128::from(n) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(v).unwrap_or(u64::MAX)
}
