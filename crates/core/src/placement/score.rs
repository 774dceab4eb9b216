//! Popularity of adapter versions: request counts that decay with time.

use std::{collections::BTreeMap, time::Duration};

use super::Target;
use crate::time::{Tick, micros};

/// A count loses half of its weight in this time.
pub(super) const HALF_LIFE: Duration = Duration::from_secs(100);

/// Adapter versions that are remembered, resident or not: as many as one model has in the fleet.
const MAX_SCORES: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct Score {
    value: f64,
    at: Tick,
}

impl Score {
    fn at(&self, now: Tick) -> f64 {
        let halves = micros(now.since(self.at)) as f64 / micros(HALF_LIFE) as f64;
        self.value * (-halves).exp2()
    }
}

/// Decayed request counts.
#[derive(Debug, Default)]
pub(super) struct Scores {
    all: BTreeMap<Target, Score>,
}

impl Scores {
    pub(super) fn add(&mut self, now: Tick, target: &Target, n: f64) {
        if n <= 0.0 {
            return;
        }
        let value = self.get(now, target) + n;
        self.all.insert(target.clone(), Score { value, at: now });
    }

    pub(super) fn get(&self, now: Tick, target: &Target) -> f64 {
        self.all.get(target).map_or(0.0, |s| s.at(now))
    }

    pub(super) fn trim(&mut self, now: Tick) {
        if self.all.len() <= MAX_SCORES {
            return;
        }
        let mut values: Vec<f64> = self.all.values().map(|s| s.at(now)).collect();
        values.sort_by(f64::total_cmp);
        // Half goes at once, so that the sort is rare.
        let bar = values[values.len() / 2];
        self.all.retain(|_, s| s.at(now) > bar);
    }
}
