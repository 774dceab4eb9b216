//! Outlier detection by the outcomes of requests.
//!
//! A replica is judged by its responses, not by its health check. It is ejected for some time after
//! a high ratio of failures, or after a few requests without a response and no success between
//! them, and returns after successful probes with requests that may be repeated.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::time::Tick;

/// Number of recent outcomes that are kept.
const HISTORY_LEN: u32 = 12;

/// Failures among the kept outcomes that eject the replica, if their ratio is also high enough.
const MIN_FAILURES: u32 = 4;

/// Failure ratio that ejects the replica, if the other replicas of the service have no failures.
const FAILURE_RATIO: f64 = 0.25;

/// Multiple of the other replicas' failure ratio that is added to the threshold: services respond
/// to some requests with errors of their own.
const BASELINE_FACTOR: f64 = 1.5;

/// Requests without a response, with no success between them, that eject the replica. Fewer than
/// [`MIN_FAILURES`], since a missing response is rarer than an error response.
const MAX_NO_RESPONSES: u32 = 2;

/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_millis(1500);

/// Largest number of times that the duration is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Successes after an ejection that clear the recorded outcomes.
const CLEAR_SUCCESSES: u32 = 3;

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
    history: u32,
    recorded: u32,
    no_responses: u32,
    ejections: u32,
    ejected_until: Option<Tick>,
    successes: u32,
    // When the request that probes an ejected replica was sent.
    probe_sent: Option<Tick>,
}

/// Time after which another probe may be sent if the last one has no outcome.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// Ratio of failures among the kept outcomes.
    pub fn failure_ratio(&self) -> f64 {
        f64::from(self.history.count_ones()) / f64::from(self.recorded.max(1))
    }

    /// Records an outcome. Returns whether it ejects the replica. `baseline` is the failure ratio
    /// of the other replicas of its service.
    pub fn record(&mut self, now: Tick, outcome: Outcome, baseline: f64) -> bool {
        self.probe_sent = None;
        match outcome {
            Outcome::Neutral => return false,
            Outcome::Success => {
                self.push(0);
                self.no_responses = 0;
                self.successes += 1;
                if self.ejected_until.is_some_and(|t| now >= t) && self.successes >= CLEAR_SUCCESSES
                {
                    *self = Self { ejections: self.ejections.saturating_sub(1), ..Self::default() };
                }
            }
            Outcome::Failure => self.push(1),
            Outcome::NoResponse => {
                self.push(1);
                self.no_responses += 1;
            }
        }
        if outcome == Outcome::Success {
            return false;
        }
        self.successes = 0;
        let failures = self.history.count_ones();
        let returning = self.ejected_until.is_some_and(|t| now >= t);
        let many = failures >= MIN_FAILURES
            && self.failure_ratio() >= FAILURE_RATIO + BASELINE_FACTOR * baseline;
        if many || self.no_responses >= MAX_NO_RESPONSES || returning {
            return self.eject(now);
        }
        false
    }

    fn push(&mut self, bit: u32) {
        self.history = ((self.history << 1) | bit) & ((1 << HISTORY_LEN) - 1);
        self.recorded = (self.recorded + 1).min(HISTORY_LEN);
    }

    fn eject(&mut self, now: Tick) -> bool {
        if self.ejected_until.is_some_and(|t| now < t) {
            return false;
        }
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + BASE_EJECTION * factor);
        self.ejections += 1;
        (self.history, self.recorded, self.no_responses) = (0, 0, 0);
        true
    }

    /// Whether the replica may be used.
    pub fn state(&self, now: Tick) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(t) if now < t => HealthState::Ejected,
            Some(_) if self.probe_sent.is_some_and(|p| now.since(p) < PROBE_TIMEOUT) => {
                HealthState::Ejected
            }
            Some(_) => HealthState::Probe,
        }
    }

    /// Records that a request probes the replica.
    pub fn start_probe(&mut self, now: Tick) {
        self.probe_sent = Some(now);
    }
}
