//! Estimate of the time that loading an adapter takes. Requests whose deadline is sooner are
//! refused at once.

#[cfg(test)]
mod tests;

use std::time::Duration;

use yuccawing_core::time::Tick;

/// Interval at which one request is admitted despite the estimate. Without new samples the estimate
/// would stay high after loads have become fast again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Age after which the estimate is ignored.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(30);

/// Weight of a slower sample, as a divisor. It is small, so that a single slow load does not make
/// the host refuse all requests.
const RISE_DIVISOR: u32 = 4;

/// Weight of a faster sample, as a divisor. It is larger, since few loads start while requests are
/// refused.
const FALL_DIVISOR: u32 = 2;

/// Moving average of the load times that this host has observed.
#[derive(Debug, Default)]
pub(super) struct LoadTimes {
    average: Duration,
    sampled_at: Option<Tick>,
    probed_at: Option<Tick>,
}

impl LoadTimes {
    /// Adds the time until a load was complete.
    pub(super) fn record(&mut self, now: Tick, wait: Duration) {
        let old = self.expected(now);
        self.average = match () {
            () if old.is_zero() => wait,
            () if wait > old => old + (wait - old) / RISE_DIVISOR,
            () => old - (old - wait) / FALL_DIVISOR,
        };
        self.sampled_at = Some(now);
    }

    /// Adds the time that an unfinished load has taken so far, a lower bound of its load time.
    pub(super) fn record_pending(&mut self, now: Tick, wait: Duration) {
        if wait > self.expected(now) {
            self.record(now, wait);
        }
    }

    /// Expected load time; zero without a recent sample.
    pub(super) fn expected(&self, now: Tick) -> Duration {
        match self.sampled_at {
            Some(t) if now.since(t) < ESTIMATE_LIFETIME => self.average,
            _ => Duration::ZERO,
        }
    }

    /// Decides whether a request with `left` until its deadline may wait for a load. The error is
    /// the delay after which the caller may retry.
    pub(super) fn admit(&mut self, now: Tick, left: Duration) -> Result<(), Duration> {
        let expected = self.expected(now);
        if expected <= left {
            return Ok(());
        }
        if self.probed_at.is_none_or(|t| now.since(t) >= PROBE_INTERVAL) {
            self.probed_at = Some(now);
            return Ok(());
        }
        Err((expected - left).max(PROBE_INTERVAL))
    }
}
