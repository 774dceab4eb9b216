//! Token bucket of one account on this host, with the loans that change its capacity.

use std::time::Duration;

use super::{
    AccountReport, CAPACITY_LOAN_DURATION, Loan, LoanItem, MILLI_PER_TOKEN, search::Search,
};
use crate::{
    ArcStr,
    bucket::{Bucket, Limits, Reservation},
    ids::Ordinal,
    time::{Tick, micros},
};

/// Ends of loans are rounded to a multiple of this, and loans with the same end are merged. This
/// limits their number.
const LOAN_END_GRID_US: u64 = 2_000;

/// Minimum time between two requests that only even out the buckets, while no request waits for
/// tokens.
const BALANCE_INTERVAL: Duration = Duration::from_millis(100);

/// A host whose bucket holds more than this share of its base burst borrows only for waiting
/// requests.
const BALANCE_THRESHOLD_PERCENT: u64 = 70;

/// Minimum retry delay given to a caller whose account has reached its limit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum time between two requests for capacity.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(100);

/// Ends of the loans of tokens and of capacity in one answer, by this host's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoanEnds {
    pub(super) tokens: Tick,
    pub(super) capacity: Tick,
}

/// Capacity lent or borrowed until `until`.
#[derive(Clone, Copy, Debug)]
struct CapacityLoan {
    amount: u64,
    until: Tick,
}

/// This host's share of one account. `account_limits`, those of all hosts together, are in tokens;
/// all other amounts are in thousandths of a token.
#[derive(Clone, Debug)]
pub(super) struct Share {
    pub(super) account_limits: Limits,
    pub(super) epoch: u64,
    pub(super) search: Search,
    base: Limits,
    bucket: Bucket,
    given: Vec<CapacityLoan>,
    taken: Vec<CapacityLoan>,
    balanced_at: Tick,
    capacity_asked_at: Tick,
}

impl Share {
    pub(super) fn new(account_limits: Limits, parts: u8, epoch: u64, now: Tick) -> Self {
        let base = base_share(account_limits, parts);
        Self {
            account_limits,
            epoch,
            search: Search::default(),
            base,
            bucket: Bucket::new(base, now),
            given: Vec::new(),
            taken: Vec::new(),
            balanced_at: now,
            capacity_asked_at: now,
        }
    }

    pub(super) fn set_account_limits(&mut self, account_limits: Limits, parts: u8, now: Tick) {
        self.account_limits = account_limits;
        self.set_parts(parts, now);
    }

    pub(super) fn set_parts(&mut self, parts: u8, now: Tick) {
        self.expire_loans(now);
        self.base = base_share(self.account_limits, parts);
        self.apply(now);
    }

    pub(super) fn take(&mut self, n: u64, now: Tick) -> Option<Reservation> {
        self.expire_loans(now);
        self.bucket.take(n, now)
    }

    pub(super) fn settle(&mut self, r: Reservation, unused: u64, now: Tick) {
        self.expire_loans(now);
        self.bucket.settle(r, unused, now);
    }

    pub(super) fn retry(&mut self, n: u64, now: Tick) -> Duration {
        let own = self.bucket.time_until(n, now);
        let missing = n.saturating_sub(self.bucket.available(now));
        let group = Duration::from_millis(missing / self.account_limits.rate.max(1));
        own.map_or(group, |w| w.min(group)).max(self.search.refuse_time(now)).max(MIN_RETRY_DELAY)
    }

    /// Calls `ask` with each loan to request. It returns false if the message to the peer is full.
    pub(super) fn plan(
        &mut self,
        now: Tick,
        live: &[Ordinal],
        free: &[Ordinal],
        mut ask: impl FnMut(Ordinal, LoanItem) -> bool,
    ) {
        self.expire_loans(now);
        let capacities = self.plan_capacity(free, now);
        for (to, mut a) in self.plan_tokens(live, free, now) {
            a.room = capacities.iter().find(|(o, _)| *o == to).map_or(0, |(_, r)| *r);
            if ask(to, a) {
                self.search.peer_asked(to);
            }
        }
        let idle = capacities.into_iter().filter(|(o, r)| *r > 0 && !self.search.is_pending(*o));
        for (to, room) in idle.collect::<Vec<_>>() {
            let level = self.bucket.available(now);
            if ask(to, LoanItem { level, room, ..LoanItem::default() }) {
                self.search.peer_asked(to);
            }
        }
    }

    fn plan_tokens(
        &mut self,
        live: &[Ordinal],
        free: &[Ordinal],
        now: Tick,
    ) -> Vec<(Ordinal, LoanItem)> {
        let have = self.bucket.available(now);
        let missing = self.search.need.saturating_sub(have);
        let (rate, burst) = (self.base.rate, self.base.burst);
        if missing == 0 {
            self.search.finish();
            if now < self.balanced_at + BALANCE_INTERVAL
                || have >= burst / 100 * BALANCE_THRESHOLD_PERCENT
            {
                return Vec::new();
            }
        } else if self.search.is_exhausted(live, now) {
            return Vec::new();
        }
        self.balanced_at = now;
        let total: u64 = self.search.peers(rate, burst, live, now).iter().map(|(_, e)| e).sum();
        // If all peers together seem to have too few tokens, requests for 0 tokens first find out
        // how many they have: tokens borrowed for a request that cannot be served would be lost
        // where they exceed this host's own capacity.
        let query_only = total < missing;
        if query_only && self.search.is_informed(live, now) {
            self.search.pause(now);
            return Vec::new();
        }
        let peers = self.search.peers(rate, burst, free, now);
        let level = if missing > 0 { 0 } else { have };
        if query_only {
            return peers
                .iter()
                .map(|(o, _)| (*o, LoanItem { level, ..LoanItem::default() }))
                .collect();
        }
        let spare = have.saturating_sub(self.search.need);
        let parts = split(&peers, missing, spare, burst / 2).into_iter();
        let asks =
            parts.map(|(o, need, want)| (o, LoanItem { need, want, level, ..LoanItem::default() }));
        asks.filter(|(_, a)| a.want > 0).collect()
    }

    // Requests capacity for the refunds of running requests that would not fit into this host's own
    // capacity and the loans that do not end soon. It is split over the peers by their free
    // capacity, which is larger the fewer tokens they have.
    fn plan_capacity(&mut self, free: &[Ordinal], now: Tick) -> Vec<(Ordinal, u64)> {
        if now < self.capacity_asked_at + CAPACITY_INTERVAL {
            return Vec::new();
        }
        let later = self.taken.iter().filter(|t| t.until > now + CAPACITY_LOAN_DURATION / 2);
        let lasting = later.fold(self.own_capacity(), |s, t| s.saturating_add(t.amount));
        let filled = self.bucket.refundable(now).saturating_add(self.bucket.available(now));
        let short = filled.saturating_sub(lasting);
        // Less than 5% of the base capacity is not worth a message.
        if short <= self.base.burst / 20 {
            return Vec::new();
        }
        self.capacity_asked_at = now;
        let (rate, burst) = (self.base.rate, self.base.burst);
        let peers = self.search.peers(rate, burst, free, now);
        let empty: u64 = peers.iter().map(|(_, e)| burst - e).sum();
        peers.into_iter().map(|(o, e)| (o, mul_div(short, burst - e, empty).min(burst))).collect()
    }

    pub(super) fn lend(
        &mut self,
        now: Tick,
        ends: LoanEnds,
        from: Ordinal,
        ask: &LoanItem,
    ) -> Loan {
        self.expire_loans(now);
        let available = self.bucket.available(now).min(self.own_capacity());
        let needed = ask.need.min(available);
        // Beyond the need, lends only until both hosts have the same number of tokens.
        let even = (available - needed).saturating_sub(ask.level) / 2;
        let tokens = needed + ask.want.saturating_sub(ask.need).min(even);
        self.bucket.remove(tokens, now);
        self.lend_capacity(tokens, ends.tokens, now);
        let filled = self.bucket.available(now).saturating_add(self.bucket.refundable(now));
        // Tokens that refill during the loan need capacity too.
        let refill = self.base.rate.saturating_mul(micros(ends.capacity.since(now))) / 1_000_000;
        let room = ask.room.min(self.own_capacity().saturating_sub(filled.saturating_add(refill)));
        self.lend_capacity(room, ends.capacity, now);
        self.search.record_tokens(from, ask.level.saturating_add(tokens - needed), now);
        Loan { account: ask.account.clone(), tokens, room, left: available - tokens }
    }

    pub(super) fn borrowed(&mut self, now: Tick, ends: LoanEnds, from: Ordinal, loan: &Loan) {
        self.expire_loans(now);
        self.search.peer_answered(from, loan.left, loan.left > 0, now);
        for (amount, until) in [(loan.tokens, ends.tokens), (loan.room, ends.capacity)] {
            let until = Tick(until.0 / LOAN_END_GRID_US * LOAN_END_GRID_US);
            if amount > 0 && now < until {
                add_loan(&mut self.taken, CapacityLoan { amount, until });
            }
        }
        self.apply(now);
        if now < ends.tokens {
            self.bucket.add(loan.tokens, now);
        }
    }

    fn lend_capacity(&mut self, amount: u64, until: Tick, now: Tick) {
        if amount > 0 {
            let until = Tick(until.0.div_ceil(LOAN_END_GRID_US) * LOAN_END_GRID_US);
            add_loan(&mut self.given, CapacityLoan { amount, until });
            self.apply(now);
        }
    }

    pub(super) fn lent_until(&self) -> Option<Tick> {
        self.given.iter().map(|t| t.until).max()
    }

    pub(super) fn report(&mut self, account: ArcStr, now: Tick) -> AccountReport {
        self.expire_loans(now);
        AccountReport {
            account,
            available: self.bucket.available(now) / MILLI_PER_TOKEN,
            burst: self.bucket.limits().burst / MILLI_PER_TOKEN,
            given: total_capacity(&self.given) / MILLI_PER_TOKEN,
            taken: total_capacity(&self.taken) / MILLI_PER_TOKEN,
        }
    }

    // Ends loans one by one at their own end times, so that each refill is limited by the capacity
    // of its time.
    fn expire_loans(&mut self, now: Tick) {
        loop {
            let loans = self.given.iter().chain(&self.taken);
            let Some(t) = loans.map(|t| t.until).min().filter(|t| *t <= now) else { return };
            self.given.retain(|g| g.until > t);
            self.taken.retain(|g| g.until > t);
            self.apply(t);
        }
    }

    fn apply(&mut self, now: Tick) {
        let burst = self.own_capacity().saturating_add(total_capacity(&self.taken));
        self.bucket.set_limits(Limits { rate: self.base.rate, burst }, now);
    }

    // Base capacity that is not lent.
    fn own_capacity(&self) -> u64 {
        self.base.burst.saturating_sub(total_capacity(&self.given))
    }
}

// Splits `missing` over the peers by their expected tokens. Adds what brings this host to the mean
// number of tokens, unless that is below `floor`. `have` is the number of tokens of this host that
// the waiting request does not need. Returns `need` and `want` of each peer's loan.
fn split(
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
            (*o, need, need + mul_div(wanted, e.saturating_sub(mean), above))
        })
        .collect()
}

fn add_loan(loans: &mut Vec<CapacityLoan>, t: CapacityLoan) {
    match loans.iter_mut().find(|o| o.until == t.until) {
        Some(o) => o.amount = o.amount.saturating_add(t.amount),
        None => loans.push(t),
    }
}

// Rounded down, so that the shares never sum to more than the account's limits.
fn base_share(account_limits: Limits, parts: u8) -> Limits {
    let part =
        |n: u64| n.saturating_mul(MILLI_PER_TOKEN).checked_div(u64::from(parts)).unwrap_or(0);
    Limits { rate: part(account_limits.rate), burst: part(account_limits.burst) }
}

fn total_capacity(loans: &[CapacityLoan]) -> u64 {
    loans.iter().fold(0, |s, t| s.saturating_add(t.amount))
}

// `n * part / whole`, rounded down.
fn mul_div(n: u64, part: u64, whole: u64) -> u64 {
    let v = u128::from(n) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(v).unwrap_or(u64::MAX)
}
