//! Outlier detection: engines that fail are ejected for a while, but never more than half of the
//! replicas, and then get their traffic back gradually.

use std::time::Duration;

use arcstr::ArcStr;

use super::view::EngineView;
use crate::time::Tick;

/// Consecutive failures after which an engine is ejected.
const EJECTION_FAILURES: u32 = 5;

/// Duration of the first ejection. Each further one lasts longer by this time.
const EJECTION_STEP: Duration = Duration::from_secs(5);

/// Ejections after which their duration stops growing.
const MAX_EJECTIONS: u32 = 12;

/// Time after an ejection during which the engine's traffic grows back to its usual amount.
const RAMP_UP: Duration = Duration::from_secs(10);

/// Traffic at the end of an ejection, in parts per thousand of the usual amount.
const MIN_RAMP_UP_PER_MILLE: u64 = 100;

/// How a request on an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered completely.
    Success,
    /// The engine failed it or did not answer.
    Failure,
    /// The result does not depend on the engine's health: the caller cancelled it, or the instance
    /// was unknown.
    Neutral,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Tick>,
}

impl Health {
    pub(super) fn record(&mut self, now: Tick, outcome: Outcome) {
        match outcome {
            Outcome::Neutral => {}
            Outcome::Success => {
                self.failures = 0;
                if self.ejected_until.is_some_and(|t| now >= t + RAMP_UP) {
                    *self = Self::default();
                }
            }
            Outcome::Failure => {
                self.failures += 1;
                // During the ramp-up, one failure is enough.
                let ramping_up = self.ejected_until.is_some_and(|t| t <= now && now < t + RAMP_UP);
                if !self.is_ejected(now) && (self.failures >= EJECTION_FAILURES || ramping_up) {
                    self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
                    self.ejected_until = Some(now + EJECTION_STEP * self.ejections);
                    self.failures = 0;
                }
            }
        }
    }

    pub(super) fn is_ejected(&self, now: Tick) -> bool {
        self.ejected_until.is_some_and(|t| now < t)
    }

    // Share of the usual traffic, in parts per thousand.
    fn traffic_share(&self, now: Tick) -> u64 {
        match self.ejected_until {
            Some(t) if now < t => 0,
            Some(t) => {
                let per_mille = now.since(t).as_millis() as u64 * 1000 / RAMP_UP.as_millis() as u64;
                per_mille.clamp(MIN_RAMP_UP_PER_MILLE, 1000)
            }
            None => 1000,
        }
    }
}

/// Replicas to choose from. At most half of them are left out as ejected; those whose ejection ends
/// first are kept. An engine in its ramp-up is included at random by its share.
pub(super) fn selectable<'a>(
    now: Tick,
    mut replicas: Vec<(&'a ArcStr, &'a EngineView)>,
    random: u64,
) -> Vec<(&'a ArcStr, &'a EngineView)> {
    // Sorts healthy ones first, then by the end of the ejection.
    replicas.sort_by_key(|(n, v)| (v.health.ejected_until.filter(|t| now < *t), *n));
    let min_kept = replicas.len().div_ceil(2);
    let first = replicas.first().copied();
    let mut i = 0;
    replicas.retain(|(_, v)| {
        i += 1;
        if v.health.is_ejected(now) {
            return i <= min_kept;
        }
        (random.rotate_left(i as u32 * 11) >> 20) % 1000 < v.health.traffic_share(now)
    });
    if replicas.is_empty() { first.into_iter().collect() } else { replicas }
}
