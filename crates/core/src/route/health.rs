//! Outlier ejection with a floor and a slow return.

use std::time::Duration;

use arcstr::ArcStr;

use super::view::View;
use crate::time::Tick;

/// Failures in a row after which an engine is ejected.
const FAILURES: u32 = 5;

/// Duration of the first ejection; it grows by as much with each further one.
const EJECT: Duration = Duration::from_secs(5);

/// Ejections that add to the duration.
const MAX_EJECTIONS: u32 = 12;

/// Time over which an engine returns to its full share.
const RETURN: Duration = Duration::from_secs(10);

/// Smallest share of an engine that returns, in parts per thousand.
const RETURN_MIN: u64 = 100;

/// How a request on an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete.
    Good,
    /// The engine failed it or did not answer.
    Bad,
    /// Says nothing about the engine: cancelled by the caller, or the instance was unknown.
    Neutral,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Tick>,
}

impl Health {
    pub(super) fn record(&mut self, now: Tick, outcome: Outcome) {
        match outcome {
            Outcome::Neutral => {}
            Outcome::Good => {
                self.failures = 0;
                if self.until.is_some_and(|t| now >= t + RETURN) {
                    *self = Self::default();
                }
            }
            Outcome::Bad => {
                self.failures += 1;
                // While it returns, one failure is enough.
                let returning = self.until.is_some_and(|t| t <= now && now < t + RETURN);
                if !self.ejected(now) && (self.failures >= FAILURES || returning) {
                    self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
                    self.until = Some(now + EJECT * self.ejections);
                    self.failures = 0;
                }
            }
        }
    }

    pub(super) fn ejected(&self, now: Tick) -> bool {
        self.until.is_some_and(|t| now < t)
    }

    // Share of its usual requests, in parts per thousand.
    fn share(&self, now: Tick) -> u64 {
        match self.until {
            Some(t) if now < t => 0,
            Some(t) => {
                let back = now.since(t).as_millis() as u64 * 1000 / RETURN.as_millis() as u64;
                back.clamp(RETURN_MIN, 1000)
            }
            None => 1000,
        }
    }
}

/// Replicas to choose from: at most half of them are ejected, and those that return first stay.
pub(super) fn kept<'a>(
    now: Tick,
    mut replicas: Vec<(&'a ArcStr, &'a View)>,
    random: u64,
) -> Vec<(&'a ArcStr, &'a View)> {
    // Healthy ones first, then by the end of the ejection.
    replicas.sort_by_key(|(n, v)| (v.health.until.filter(|t| now < *t), *n));
    let floor = replicas.len().div_ceil(2);
    let first = replicas.first().copied();
    let mut i = 0;
    replicas.retain(|(_, v)| {
        i += 1;
        if v.health.ejected(now) {
            return i <= floor;
        }
        (random.rotate_left(i as u32 * 11) >> 20) % 1000 < v.health.share(now)
    });
    if replicas.is_empty() { first.into_iter().collect() } else { replicas }
}
