//! Retry budget.
//!
//! Retries add load when the system can bear it least, so they are limited to a share of the
//! requests, and a refusal for overload is never answered with another attempt.

#[cfg(test)]
mod tests;

use crate::time::Tick;

/// Further attempts per request.
pub const MAX_RETRIES: u32 = 2;

/// Retries per 1,000 requests.
pub const RETRIES_PER_MILLE: u32 = 100;

/// Retries that may be saved up. It lets a quiet host retry at all and bounds a burst of retries
/// after a quiet time.
pub const MAX_SAVED_RETRIES: u32 = 10;

/// Cost of a retry in the unit of the budget.
const RETRY_COST: u32 = 1000;

/// Why the last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection, so nothing was sent.
    Connect,
    /// The upstream answered, before anything ran, that it lacks what the request needs.
    Misdirected,
    /// The upstream refused for overload.
    Overload,
    /// The connection broke or went silent; it may have run.
    Unknown,
}

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Retries made so far.
    pub retries: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Why the last attempt failed.
    pub cause: Cause,
    /// When the caller's deadline ends.
    pub deadline: Tick,
}

/// Budget of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    // Retries per 1,000 requests.
    per_mille: u32,
    // Retries that may be saved up.
    max_saved: u32,
    // Thousandths of a retry.
    saved: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A budget with its reserve.
    pub fn new() -> Self {
        Self::with_limits(RETRIES_PER_MILLE, MAX_SAVED_RETRIES)
    }

    /// A budget of `share` retries per 1,000 requests that starts with `reserve` retries and saves
    /// up as many.
    pub fn with_limits(per_mille: u32, max_saved: u32) -> Self {
        Self { per_mille, max_saved, saved: max_saved * RETRY_COST }
    }

    /// Counts a request. To be called once per request, not per attempt.
    pub fn count_request(&mut self) {
        self.saved = (self.saved + self.per_mille).min(self.max_saved * RETRY_COST);
    }

    /// Whether the request may be tried again now. If so, the retry is counted.
    ///
    /// A misplaced request does not use the budget: it did no work, and after a cold start of an
    /// engine all of its requests have to be placed again.
    pub fn try_retry(&mut self, now: Tick, a: Attempt) -> bool {
        if now >= a.deadline || a.retries >= MAX_RETRIES {
            return false;
        }
        match a.cause {
            Cause::Overload => false,
            Cause::Misdirected => true,
            Cause::Unknown if !a.idempotent => false,
            Cause::Connect | Cause::Unknown => {
                let allowed = self.saved >= RETRY_COST;
                self.saved -= if allowed { RETRY_COST } else { 0 };
                allowed
            }
        }
    }
}
