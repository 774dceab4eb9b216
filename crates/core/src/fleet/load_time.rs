//! Duration of loads from the weight store, as seen lately.
//!
//! The store is shared by all engines and slows down when many adapters are on their way. How many
//! it carries at full speed differs between deployments and is stated nowhere, so a host learns the
//! duration from its own orders.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::time::Tick;

/// Duration without other loads, in ms: 250 ms at the store by the platform's data sheet, and the
/// way of the order.
const ALONE_MS: f64 = 270.0;

/// Way of a request to the engine's owner and back, and the unload that makes room, in ms.
const ORDERS_MS: f64 = 40.0;

/// Weight of a new observation. A host sees a few loads a second.
const GAIN: f64 = 0.2;

/// Time after which an observation tells nothing: crowds at the store come and go in seconds.
const STALE: Duration = Duration::from_secs(3);

/// Running mean of load durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTime {
    mean: Option<(f64, Tick)>,
}

impl LoadTime {
    /// Takes the duration of a load that ended at `now`.
    pub fn record(&mut self, now: Tick, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        let old = self.mean(now);
        self.mean = Some((old + (took - old) * GAIN, now));
    }

    /// Time in ms after which a request that asks for a load now can expect it.
    pub fn expected_ms(&self, now: Tick) -> f64 {
        self.mean(now) + ORDERS_MS
    }

    fn mean(&self, now: Tick) -> f64 {
        match self.mean {
            Some((mean, at)) if now.since(at) < STALE => mean.max(ALONE_MS),
            _ => ALONE_MS,
        }
    }
}
