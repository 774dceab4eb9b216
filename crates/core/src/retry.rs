//! Retry budget: which failed attempts may be repeated.
//!
//! Retries add load when a system is already overloaded. They are therefore limited to a share of
//! the requests, and an attempt that was refused for overload is never repeated.

#[cfg(test)]
mod tests;

use crate::time::Tick;

/// Retries of one request.
pub const MAX_RETRIES: u32 = 2;

/// Retries that are allowed per 1,000 requests.
pub const RETRIES_PER_MILLE: u32 = 100;

/// Retries that may be saved up. A host with little traffic can then retry at all, and the burst of
/// retries after a quiet time is limited.
pub const MAX_SAVED_RETRIES: u32 = 10;

/// Budget units that a retry takes. One unit is a thousandth of a retry.
const RETRY_COST: u32 = 1000;

/// Why the last attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection, so nothing was sent.
    Connect,
    /// The upstream answered, before anything ran, that it does not have what the request needs.
    Misdirected,
    /// The upstream refused for overload.
    Overload,
    /// The connection broke or timed out; the request may have run.
    Unknown,
}

/// A failed attempt of a request, after which it may be retried.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Retries of the request so far.
    pub retries: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Why it failed.
    pub cause: Cause,
    /// The caller's deadline.
    pub deadline: Tick,
}

/// Retries that may still be made, refilled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    // Budget units that a request adds: retries per 1,000 requests.
    per_mille: u32,
    // Retries that may be saved up.
    max_saved: u32,
    // Budget units that are left.
    saved: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A full budget with [`RETRIES_PER_MILLE`] and [`MAX_SAVED_RETRIES`].
    pub fn new() -> Self {
        Self::with_limits(RETRIES_PER_MILLE, MAX_SAVED_RETRIES)
    }

    /// A full budget of `per_mille` retries per 1,000 requests that saves up to `max_saved` retries.
    pub fn with_limits(per_mille: u32, max_saved: u32) -> Self {
        Self { per_mille, max_saved, saved: max_saved * RETRY_COST }
    }

    /// Refills the budget for a new request. To be called once per request, not per attempt.
    pub fn count_request(&mut self) {
        self.saved = (self.saved + self.per_mille).min(self.max_saved * RETRY_COST);
    }

    /// Whether the request may be tried again now. If so, the retry is taken from the budget.
    ///
    /// A misdirected request does not use the budget: it did no work, and after a restart of an
    /// engine all of its requests have to be sent elsewhere.
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
