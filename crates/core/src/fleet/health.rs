//! Outlier detection by the outcomes of requests.
//!
//! A replica is judged by its responses, not by its health check. It is ejected for some time after
//! consecutive requests without a response or a high ratio of failures, and returns after
//! successful probes with requests that may be repeated.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::time::Tick;

/// Outcomes that are remembered.
const WINDOW: u32 = 12;

/// Failures among them that eject the replica, if their ratio is high enough.
const FAILURES: u32 = 4;

/// Failure ratio that ejects, if the other replicas of the service have no failures.
const SHARE: f64 = 0.25;

/// Multiple of the other replicas' failure ratio that is added to the threshold: services respond
/// to some requests with errors of their own.
const USUAL: f64 = 1.5;

/// Consecutive requests without a response that eject the replica: this is rarer than a failure.
const LOST: u32 = 2;

/// Duration of the first ejection; it doubles with each further one.
const EJECT: Duration = Duration::from_millis(1500);

/// Limit of the doublings of an ejection's duration.
const MAX_DOUBLINGS: u32 = 3;

/// Successes after an ejection that clear the record.
const CLEAR: u32 = 3;

/// How a request at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Success,
    /// The replica responded with an error.
    Failure,
    /// No response, an incomplete or invalid one, or no connection.
    NoResponse,
    /// The outcome says nothing about the replica, for instance if the caller left.
    Neutral,
}

/// Record of one replica's outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    // Newest outcome in the lowest bit, 1 for a failure.
    bits: u32,
    seen: u32,
    lost: u32,
    ejections: u32,
    until: Option<Tick>,
    good: u32,
    // When the request that probes an ejected replica was sent.
    probe: Option<Tick>,
}

/// Time after which another probe may be sent if the last one has no outcome.
const PROBE: Duration = Duration::from_secs(1);

/// Whether a replica may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It is used like any other.
    Healthy,
    /// It gets one request at a time, and only one that may be repeated.
    Probe,
    /// It gets no requests.
    Ejected,
}

impl Health {
    /// Ratio of failures among the remembered outcomes.
    pub fn failure_ratio(&self) -> f64 {
        f64::from(self.bits.count_ones()) / f64::from(self.seen.max(1))
    }

    /// Records an outcome. Returns whether it ejects the replica. `usual` is the failure ratio of
    /// the other replicas of its service.
    pub fn record(&mut self, now: Tick, outcome: Outcome, usual: f64) -> bool {
        self.probe = None;
        match outcome {
            Outcome::Neutral => return false,
            Outcome::Success => {
                self.push(0);
                self.lost = 0;
                self.good += 1;
                if self.until.is_some_and(|t| now >= t) && self.good >= CLEAR {
                    *self = Self { ejections: self.ejections.saturating_sub(1), ..Self::default() };
                }
            }
            Outcome::Failure => self.push(1),
            Outcome::NoResponse => {
                self.push(1);
                self.lost += 1;
            }
        }
        if outcome == Outcome::Success {
            return false;
        }
        self.good = 0;
        let failures = self.bits.count_ones();
        let returning = self.until.is_some_and(|t| now >= t);
        let many = failures >= FAILURES && self.failure_ratio() >= SHARE + USUAL * usual;
        if many || self.lost >= LOST || returning {
            return self.eject(now);
        }
        false
    }

    fn push(&mut self, bit: u32) {
        self.bits = ((self.bits << 1) | bit) & ((1 << WINDOW) - 1);
        self.seen = (self.seen + 1).min(WINDOW);
    }

    fn eject(&mut self, now: Tick) -> bool {
        if self.until.is_some_and(|t| now < t) {
            return false;
        }
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        self.until = Some(now + EJECT * factor);
        self.ejections += 1;
        (self.bits, self.seen, self.lost) = (0, 0, 0);
        true
    }

    /// Whether the replica may be used.
    pub fn state(&self, now: Tick) -> HealthState {
        match self.until {
            None => HealthState::Healthy,
            Some(t) if now < t => HealthState::Ejected,
            Some(_) if self.probe.is_some_and(|p| now.since(p) < PROBE) => HealthState::Ejected,
            Some(_) => HealthState::Probe,
        }
    }

    /// Records that a request probes the replica.
    pub fn start_probe(&mut self, now: Tick) {
        self.probe = Some(now);
    }
}
