//! Moving estimate of the wait for a load, to refuse requests that would wait in vain.

#[cfg(test)]
mod tests;

use std::time::Duration;

use yuccawing_core::time::Tick;

/// Interval at which a request is let through against the estimate, so that the estimate recovers
/// when loads become fast again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Age at which the estimate says nothing about the next load any more.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(30);

/// Part of a slower wait that the estimate takes over, as a divisor: one slow load must not turn
/// away everybody.
const RISE_DIVISOR: u32 = 4;

/// Part of a faster wait that the estimate takes over, as a divisor. It is larger, as few loads are
/// begun while requests are refused.
const FALL_DIVISOR: u32 = 2;

/// Waits for loads as this host has seen them.
#[derive(Debug, Default)]
pub(super) struct LoadTimes {
    average: Duration,
    sampled_at: Option<Tick>,
    probed_at: Option<Tick>,
}

impl LoadTimes {
    /// A load was waited for.
    pub(super) fn record(&mut self, now: Tick, wait: Duration) {
        let old = self.expected(now);
        self.average = match () {
            () if old.is_zero() => wait,
            () if wait > old => old + (wait - old) / RISE_DIVISOR,
            () => old - (old - wait) / FALL_DIVISOR,
        };
        self.sampled_at = Some(now);
    }

    /// A load has been waited for and is not there yet, so its wait is at least this long.
    pub(super) fn record_pending(&mut self, now: Tick, wait: Duration) {
        if wait > self.expected(now) {
            self.record(now, wait);
        }
    }

    /// Expected wait for a load; zero if there was none lately.
    pub(super) fn expected(&self, now: Tick) -> Duration {
        match self.sampled_at {
            Some(t) if now.since(t) < ESTIMATE_LIFETIME => self.average,
            _ => Duration::ZERO,
        }
    }

    /// Whether a request with so much time left may wait for a load; if not, when another attempt
    /// makes sense.
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
