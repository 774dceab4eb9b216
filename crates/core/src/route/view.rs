//! This host's view of one engine: its last report, corrected by this host's own requests.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use arcstr::ArcStr;
use serde::Serialize;

use super::{Report, Spec, health::Health};
use crate::{placement::AdapterVersion, rules::Class, time::Tick};

/// Assumed age of a report on arrival. Own requests that started or ended within this time before
/// it are counted in addition to the report.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Age from which a report is ignored for the load. Only own requests are then counted.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// A replica in this host's view, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplicaInfo {
    /// Name of the engine.
    pub engine: ArcStr,
    /// Load divided by the batch size.
    pub fill: f64,
    /// Whether the engine is ejected as an outlier.
    pub ejected: bool,
    /// Whether the engine is being taken out of service.
    pub leaving: bool,
}

#[derive(Debug)]
pub(super) struct EngineView {
    pub(super) spec: Spec,
    pub(super) health: Health,
    reported: Option<Tick>,
    load: u32,
    resident: BTreeMap<AdapterVersion, u32>,
    // Running requests of this host.
    own_requests: BTreeMap<AdapterVersion, u32>,
    // Starts (1) and ends (-1) of own requests within `REPORT_LAG`.
    recent: VecDeque<(Tick, i64)>,
    // Sum of the older starts and ends that the last report does not contain.
    older_change: i64,
}

impl EngineView {
    pub(super) fn new(spec: Spec) -> Self {
        Self {
            spec,
            health: Health::default(),
            reported: None,
            load: 0,
            resident: BTreeMap::new(),
            own_requests: BTreeMap::new(),
            recent: VecDeque::new(),
            older_change: 0,
        }
    }

    pub(super) fn report(&mut self, now: Tick, r: &Report) {
        self.fold_recent(now);
        self.older_change = 0;
        self.reported = Some(now);
        self.load = r.running + r.waiting;
        let fencing = self.spec.fencing;
        self.resident = r
            .resident
            .iter()
            .filter_map(|(name, n)| Some((AdapterVersion::parse(name, fencing)?, *n)))
            .collect();
    }

    pub(super) fn started(&mut self, now: Tick, target: &AdapterVersion) {
        *self.own_requests.entry(target.clone()).or_default() += 1;
        self.record_change(now, 1);
    }

    pub(super) fn ended(&mut self, now: Tick, target: &AdapterVersion) {
        if let Some(n) = self.own_requests.get_mut(target) {
            *n -= 1;
            if *n == 0 {
                self.own_requests.remove(target);
            }
        }
        self.record_change(now, -1);
    }

    pub(super) fn serves(&self, model: &ArcStr) -> bool {
        !self.spec.leaving && self.spec.model == *model
    }

    pub(super) fn has_resident(&self, target: &AdapterVersion) -> bool {
        self.resident.contains_key(target)
    }

    pub(super) fn remove_resident(&mut self, target: &AdapterVersion) {
        self.resident.remove(target);
    }

    /// Estimated requests on the engine: those in its report, corrected by this host's own since.
    pub(super) fn request_count(&self, now: Tick) -> u32 {
        let own: u32 = self.own_requests.values().sum();
        if self.reported.is_none_or(|t| now.since(t) >= MAX_REPORT_AGE) {
            return own;
        }
        let since = self.older_change + self.recent.iter().map(|(_, d)| d).sum::<i64>();
        let load = (i64::from(self.load) + since).max(0);
        u32::try_from(load).unwrap_or(u32::MAX).max(own)
    }

    /// Load divided by the batch size.
    pub(super) fn fill(&self, now: Tick) -> f64 {
        f64::from(self.request_count(now)) / f64::from(self.spec.batch.max(1))
    }

    /// Whether a request of the class would start at once.
    pub(super) fn has_capacity(&self, now: Tick, class: Class) -> bool {
        let reserved = if class == Class::Status { 0 } else { self.spec.reserved };
        self.request_count(now) < self.spec.batch.saturating_sub(reserved).max(1)
    }

    /// Running requests of an adapter version on this engine.
    pub(super) fn demand(&self, target: &AdapterVersion) -> f64 {
        let seen = self.resident.get(target).copied().unwrap_or(0);
        f64::from(seen.max(self.own_requests.get(target).copied().unwrap_or(0)))
    }

    pub(super) fn replica_info(
        &self,
        now: Tick,
        name: &ArcStr,
        target: &AdapterVersion,
    ) -> Option<ReplicaInfo> {
        self.has_resident(target).then(|| ReplicaInfo {
            engine: name.clone(),
            fill: self.fill(now),
            ejected: self.health.is_ejected(now),
            leaving: self.spec.leaving,
        })
    }

    fn record_change(&mut self, now: Tick, change: i64) {
        self.fold_recent(now);
        self.recent.push_back((now, change));
    }

    fn fold_recent(&mut self, now: Tick) {
        while self.recent.front().is_some_and(|(t, _)| now.since(*t) >= REPORT_LAG) {
            if let Some((_, d)) = self.recent.pop_front() {
                self.older_change += d;
            }
        }
    }
}
