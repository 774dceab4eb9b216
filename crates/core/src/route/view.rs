//! One engine as this host sees it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use arcstr::ArcStr;
use serde::Serialize;

use super::{Report, Spec, health::Health};
use crate::{placement::Target, rules::Class, time::Tick};

/// Age of a report's content on arrival that is assumed when its requests are counted.
const LAG: Duration = Duration::from_millis(500);

/// A report older than this says nothing about the load; own requests are counted alone.
const STALE: Duration = Duration::from_secs(5);

/// A replica in a host's view, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Copy {
    /// Engine.
    pub engine: ArcStr,
    /// Load divided by the batch size.
    pub fill: f64,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
pub(super) struct View {
    pub(super) spec: Spec,
    pub(super) health: Health,
    reported: Option<Tick>,
    load: u32,
    resident: BTreeMap<Target, u32>,
    // Own requests by target.
    own: BTreeMap<Target, u32>,
    // Starts and ends of own requests that the last report may not contain.
    recent: VecDeque<(Tick, i64)>,
    // Sum of those that are older than `LAG` but newer than the last report.
    earlier: i64,
}

impl View {
    pub(super) fn new(spec: Spec) -> Self {
        Self {
            spec,
            health: Health::default(),
            reported: None,
            load: 0,
            resident: BTreeMap::new(),
            own: BTreeMap::new(),
            recent: VecDeque::new(),
            earlier: 0,
        }
    }

    pub(super) fn report(&mut self, now: Tick, r: &Report) {
        self.settle(now);
        self.earlier = 0;
        self.reported = Some(now);
        self.load = r.running + r.waiting;
        let fencing = self.spec.fencing;
        self.resident = r
            .resident
            .iter()
            .filter_map(|(name, n)| Some((Target::parse(name, fencing)?, *n)))
            .collect();
    }

    pub(super) fn started(&mut self, now: Tick, target: &Target) {
        *self.own.entry(target.clone()).or_default() += 1;
        self.note(now, 1);
    }

    pub(super) fn ended(&mut self, now: Tick, target: &Target) {
        if let Some(n) = self.own.get_mut(target) {
            *n -= 1;
            if *n == 0 {
                self.own.remove(target);
            }
        }
        self.note(now, -1);
    }

    pub(super) fn serves(&self, model: &ArcStr) -> bool {
        !self.spec.leaving && self.spec.model == *model
    }

    pub(super) fn has(&self, target: &Target) -> bool {
        self.resident.contains_key(target)
    }

    pub(super) fn forget(&mut self, target: &Target) {
        self.resident.remove(target);
    }

    /// Requests on the engine: the report corrected with this host's own requests since.
    pub(super) fn requests(&self, now: Tick) -> u32 {
        let own: u32 = self.own.values().sum();
        if self.reported.is_none_or(|t| now.since(t) >= STALE) {
            return own;
        }
        let since = self.earlier + self.recent.iter().map(|(_, d)| d).sum::<i64>();
        let load = (i64::from(self.load) + since).max(0);
        u32::try_from(load).unwrap_or(u32::MAX).max(own)
    }

    /// Load divided by the batch size.
    pub(super) fn fill(&self, now: Tick) -> f64 {
        f64::from(self.requests(now)) / f64::from(self.spec.batch.max(1))
    }

    /// Whether a request of the class would run at once.
    pub(super) fn room(&self, now: Tick, class: Class) -> bool {
        let held = if class == Class::Status { 0 } else { self.spec.reserved };
        self.requests(now) < self.spec.batch.saturating_sub(held).max(1)
    }

    /// Requests of an adapter version on this engine.
    pub(super) fn demand(&self, target: &Target) -> f64 {
        let seen = self.resident.get(target).copied().unwrap_or(0);
        f64::from(seen.max(self.own.get(target).copied().unwrap_or(0)))
    }

    pub(super) fn copy(&self, now: Tick, name: &ArcStr, target: &Target) -> Option<Copy> {
        self.has(target).then(|| Copy {
            engine: name.clone(),
            fill: self.fill(now),
            ejected: self.health.ejected(now),
            leaving: self.spec.leaving,
        })
    }

    fn note(&mut self, now: Tick, change: i64) {
        self.settle(now);
        self.recent.push_back((now, change));
    }

    fn settle(&mut self, now: Tick) {
        while self.recent.front().is_some_and(|(t, _)| now.since(*t) >= LAG) {
            if let Some((_, d)) = self.recent.pop_front() {
                self.earlier += d;
            }
        }
    }
}
