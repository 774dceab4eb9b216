//! Estimates the duration of loads from the weight store.
//!
//! All engines share the store, which slows down when many adapters are in transfer. The number of
//! loads that it serves at full speed differs between deployments and is not configured, so a host
//! estimates the duration from its own orders. While the store is congested, engines load fewer
//! adapters at the same time: the store transfers as many bytes as before, but the first adapters
//! arrive earlier.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::time::Tick;

/// Duration without other loads, in ms: 250 ms at the store by the platform's data sheet, plus the
/// latency of the order.
const UNCONTENDED_MS: f64 = 270.0;

/// Latency of a message to the engine's owner and back, plus the unload that makes room, in ms.
const ORDER_OVERHEAD_MS: f64 = 40.0;

/// Weight of a new observation in the moving average. A host sees a few loads per second.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Time after which an observation expires: congestion at the store comes and goes within seconds.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(3);

/// Adapters that may be in transfer to one engine, from the platform's data sheet.
pub const MAX_TRANSFERS: usize = 4;

/// Loads at the same time at one engine while no duration is known. All engines of a fleet start
/// together.
const START_TRANSFERS: f64 = 2.0;

/// Ratio between observed and uncontended duration up to which the number of loads grows.
const UNCONTENDED_RATIO: f64 = 1.2;

/// Ratio above which the number of loads shrinks.
const CONGESTED_RATIO: f64 = 1.5;

/// Growth of the number of loads with each uncontended one.
const GROWTH: f64 = 0.25;

/// Factor on the number of loads with each congested one.
const BACKOFF: f64 = 0.8;

/// Moving average of load durations.
#[derive(Clone, Copy, Debug)]
pub struct LoadTime {
    mean: Option<(f64, Tick)>,
    // Loads at the same time at one engine: additive increase, multiplicative decrease.
    transfers: f64,
}

impl Default for LoadTime {
    fn default() -> Self {
        Self { mean: None, transfers: START_TRANSFERS }
    }
}

impl LoadTime {
    /// Records the duration of a load that ended at `now`.
    pub fn record(&mut self, now: Tick, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        let old = self.mean(now);
        let ratio = took / UNCONTENDED_MS;
        let transfers = self.current_transfers(now);
        self.transfers = if ratio > CONGESTED_RATIO {
            (transfers * BACKOFF).max(1.0)
        } else if ratio <= UNCONTENDED_RATIO {
            (transfers + GROWTH).min(MAX_TRANSFERS as f64)
        } else {
            transfers
        };
        self.mean = Some((old + (took - old) * AVERAGE_WEIGHT, now));
    }

    /// Expected time in ms of a load that is requested now.
    pub fn expected_ms(&self, now: Tick) -> f64 {
        self.mean(now) + ORDER_OVERHEAD_MS
    }

    /// Number of adapters that an engine should load at the same time.
    pub fn transfers(&self, now: Tick) -> usize {
        self.current_transfers(now) as usize
    }

    fn current_transfers(&self, now: Tick) -> f64 {
        if self.mean.is_some_and(|(_, at)| now.since(at) < SAMPLE_LIFETIME) {
            self.transfers
        } else {
            START_TRANSFERS
        }
    }

    fn mean(&self, now: Tick) -> f64 {
        match self.mean {
            Some((mean, at)) if now.since(at) < SAMPLE_LIFETIME => mean.max(UNCONTENDED_MS),
            _ => UNCONTENDED_MS,
        }
    }
}
