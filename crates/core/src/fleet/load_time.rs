//! Estimates the duration of loads from the weight store.
//!
//! All engines share the store, which slows down when many adapters are in transfer. The number of
//! loads that it serves at full speed differs between deployments and is not configured, so a host
//! estimates the duration from its own orders.

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

/// Moving average of load durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTime {
    mean: Option<(f64, Tick)>,
}

impl LoadTime {
    /// Records the duration of a load that ended at `now`.
    pub fn record(&mut self, now: Tick, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        let old = self.mean(now);
        self.mean = Some((old + (took - old) * AVERAGE_WEIGHT, now));
    }

    /// Expected time in ms of a load that is requested now.
    pub fn expected_ms(&self, now: Tick) -> f64 {
        self.mean(now) + ORDER_OVERHEAD_MS
    }

    fn mean(&self, now: Tick) -> f64 {
        match self.mean {
            Some((mean, at)) if now.since(at) < SAMPLE_LIFETIME => mean.max(UNCONTENDED_MS),
            _ => UNCONTENDED_MS,
        }
    }
}
