//! Popularity of adapter versions, measured by request counts that decay exponentially.

use std::{collections::BTreeMap, time::Duration};

use super::AdapterVersion;
use crate::{
    rules::Class,
    time::{Tick, micros},
};

/// Time in which a request count decays to half.
pub(super) const SCORE_HALF_LIFE: Duration = Duration::from_secs(100);

/// Weight of a request of the `status` class. Its requests take tens of milliseconds and a person
/// waits for them, so a load delays them far more noticeably than the more numerous drafts.
const STATUS_WEIGHT: f64 = 10.0;

/// Number of adapter versions with a score, resident or not: as many as a model has in the fleet.
const MAX_SCORES: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct Score {
    value: f64,
    updated: Tick,
    status: bool,
}

impl Score {
    fn decayed(&self, now: Tick) -> f64 {
        let halves = micros(now.since(self.updated)) as f64 / micros(SCORE_HALF_LIFE) as f64;
        self.value * (-halves).exp2()
    }
}

/// Decayed request counts.
#[derive(Debug, Default)]
pub(super) struct Scores {
    all: BTreeMap<AdapterVersion, Score>,
}

impl Scores {
    /// Counts `n` requests, weighted by the class last set with [`Scores::set_class`].
    pub(super) fn add(&mut self, now: Tick, target: &AdapterVersion, n: f64) {
        if n <= 0.0 {
            return;
        }
        let old = self.all.get(target);
        let status = old.is_some_and(|s| s.status);
        let weight = if status { STATUS_WEIGHT } else { 1.0 };
        let value = old.map_or(0.0, |s| s.decayed(now)) + n * weight;
        self.all.insert(target.clone(), Score { value, updated: now, status });
    }

    pub(super) fn set_class(&mut self, now: Tick, target: &AdapterVersion, class: Class) {
        let status = class == Class::Status;
        let new = Score { value: 0.0, updated: now, status };
        self.all.entry(target.clone()).or_insert(new).status = status;
    }

    pub(super) fn get(&self, now: Tick, target: &AdapterVersion) -> f64 {
        self.all.get(target).map_or(0.0, |s| s.decayed(now))
    }

    pub(super) fn trim(&mut self, now: Tick) {
        if self.all.len() <= MAX_SCORES {
            return;
        }
        let mut values: Vec<f64> = self.all.values().map(|s| s.decayed(now)).collect();
        values.sort_by(f64::total_cmp);
        // Removes half at once, so that sorting is rare.
        let median = values[values.len() / 2];
        self.all.retain(|_, s| s.decayed(now) > median);
    }
}
