//! Token bucket with refunds.
//!
//! A request reserves its highest possible cost and is refunded what it did not use. Use stays
//! below `burst + rate x window` in any window only if tokens and refund rights together stay
//! within the capacity, so refill takes precedence and removes refund rights. Each reservation has
//! its own rights: with a common pool, one refund could return tokens that another request spends.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

use slotmap::{SlotMap, new_key_type};

use crate::time::{Tick, micros};

new_key_type! {
    /// Key of a reservation that is not settled yet.
    pub struct Reservation;
}

/// Amounts are counted in millionths of a token, so that refill has no rounding loss.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Rate limit: refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Refill rate in tokens per second.
    pub rate: u64,
    /// Capacity in tokens.
    pub burst: u64,
}

/// Token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    limits: Limits,
    // In millionths of a token, as are the refund rights.
    tokens: u64,
    refundable: u64,
    rights: SlotMap<Reservation, u64>,
    // Oldest first; the oldest reservations lose their refund rights first.
    order: VecDeque<Reservation>,
    refilled_at: Tick,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(limits: Limits, now: Tick) -> Self {
        Self {
            limits,
            tokens: 0,
            refundable: 0,
            rights: SlotMap::with_key(),
            order: VecDeque::new(),
            refilled_at: now,
        }
    }

    /// Creates a full bucket.
    pub fn full(limits: Limits, now: Tick) -> Self {
        let mut b = Self::new(limits, now);
        b.tokens = b.capacity();
        b
    }

    /// The current limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Whole tokens that can be taken now, rounded down.
    pub fn available(&mut self, now: Tick) -> u64 {
        self.refill(now);
        self.tokens / MICRO_PER_TOKEN
    }

    /// Tokens of open reservations that can still be refunded, rounded up.
    pub fn refundable(&mut self, now: Tick) -> u64 {
        self.refill(now);
        self.refundable.div_ceil(MICRO_PER_TOKEN)
    }

    /// Changes the limits; tokens and refund rights above the new capacity are dropped.
    pub fn set_limits(&mut self, limits: Limits, now: Tick) {
        self.refill(now);
        self.limits = limits;
        self.clamp();
    }

    /// Reserves `n` tokens, `None` if there are fewer.
    pub fn take(&mut self, n: u64, now: Tick) -> Option<Reservation> {
        self.refill(now);
        let n = n.saturating_mul(MICRO_PER_TOKEN);
        if self.tokens < n {
            return None;
        }
        self.tokens -= n;
        self.refundable += n;
        let r = self.rights.insert(n);
        self.order.push_back(r);
        Some(r)
    }

    /// Removes up to `n` tokens without a right to a refund and returns how many were removed.
    pub fn remove(&mut self, n: u64, now: Tick) -> u64 {
        self.refill(now);
        let n = n.min(self.tokens / MICRO_PER_TOKEN);
        self.tokens -= n * MICRO_PER_TOKEN;
        n
    }

    /// Adds `n` tokens; tokens above the capacity are dropped.
    pub fn add(&mut self, n: u64, now: Tick) {
        self.refill(now);
        self.tokens = self.tokens.saturating_add(n.saturating_mul(MICRO_PER_TOKEN));
        self.clamp();
    }

    /// Ends a reservation and refunds up to `unused` of its tokens; ignored if it has ended
    /// already.
    pub fn settle(&mut self, r: Reservation, unused: u64, now: Tick) {
        self.refill(now);
        let Some(rights) = self.rights.remove(r) else { return };
        self.refundable -= rights;
        self.tokens += unused.saturating_mul(MICRO_PER_TOKEN).min(rights);
        while self.order.front().is_some_and(|r| !self.rights.contains_key(*r)) {
            self.order.pop_front();
        }
    }

    /// Time until `n` tokens are available, `None` if the current limits never allow it.
    pub fn time_until(&mut self, n: u64, now: Tick) -> Option<Duration> {
        self.refill(now);
        if n > self.limits.burst {
            return None;
        }
        let missing = n.saturating_mul(MICRO_PER_TOKEN).saturating_sub(self.tokens);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        // A rate in tokens per second equals millionths of a token per microsecond.
        (self.limits.rate > 0).then(|| Duration::from_micros(missing.div_ceil(self.limits.rate)))
    }

    fn capacity(&self) -> u64 {
        self.limits.burst.saturating_mul(MICRO_PER_TOKEN)
    }

    fn refill(&mut self, now: Tick) {
        let elapsed = micros(now.since(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = self.tokens.saturating_add(elapsed.saturating_mul(self.limits.rate));
        self.clamp();
    }

    fn clamp(&mut self) {
        self.tokens = self.tokens.min(self.capacity());
        let room = self.capacity() - self.tokens;
        while self.refundable > room {
            let Some(r) = self.order.front() else { return };
            let Some(rights) = self.rights.get_mut(*r) else {
                self.order.pop_front();
                continue;
            };
            let lost = (*rights).min(self.refundable - room);
            *rights -= lost;
            self.refundable -= lost;
            if *rights == 0 {
                self.order.pop_front();
            }
        }
    }
}
