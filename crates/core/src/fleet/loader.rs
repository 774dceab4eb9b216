//! Decides which artifacts the owner of an engine loads and unloads.
//!
//! Loads are ordered on demand, when a request needs one. An adapter in use is never unloaded;
//! among the others the least recently used one is evicted.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use arcstr::ArcStr;

use super::{
    config::EngineSpec,
    hash32,
    order::{OrderResponse, Verb},
    report::{Report, Resident},
};
use crate::time::Tick;

/// Time after which a queued load is dropped: callers choose another engine before that.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

/// Loads that may be queued for one engine. Further ones are refused.
const MAX_QUEUED: usize = 32;

/// Time after which a load without a result no longer counts as in progress.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);

/// [`LOAD_TIMEOUT`] of a base model, whose load waits for other loads at the weight store.
const MODEL_LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Shortest time that a newly loaded adapter stays resident, so that the request that it was loaded
/// for can still use it.
const MIN_RESIDENCY: Duration = Duration::from_millis(400);

/// Time since its last use after which an adapter may be unloaded: a use by a peer's request may
/// not have reached this host in a digest yet. The unload of an adapter in use blocks all further
/// orders until its requests end.
const IDLE_BEFORE_UNLOAD: Duration = Duration::from_millis(300);

/// Pause after an order that was rejected because of another order or a running request.
const CONFLICT_PAUSE: Duration = Duration::from_millis(60);

/// Age of a report's content: orders that were executed later are missing from it.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// Next order for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Whether to load or to unload.
    pub verb: Verb,
    /// Artifact to load or unload. The version matters for loads only.
    pub resident: Resident,
}

/// Result of [`Loader::request_load`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStatus {
    /// The artifact is resident.
    Loaded,
    /// The artifact will be loaded.
    Queued,
    /// The engine has no free slot for it.
    Refused,
}

/// Load state of one engine and its queue of loads.
#[derive(Debug, Default)]
pub struct Loader {
    reported: Vec<Resident>,
    // Results of this host's orders that reports may not show yet, with their times.
    loaded: HashMap<ArcStr, (u64, Tick)>,
    unloaded: HashMap<ArcStr, Tick>,
    // Unloads that wait for running requests. They still occupy a slot.
    unloading: HashMap<ArcStr, Tick>,
    // Adapters in transfer according to the newest report, possibly ordered by an earlier owner.
    transferring: Vec<ArcStr>,
    // Whether a report was read since the replica started.
    report_seen: bool,
    loading: BTreeMap<ArcStr, (u64, Tick)>,
    queue: VecDeque<(Resident, Tick)>,
    last_used: HashMap<ArcStr, Tick>,
    // No order is sent before this time.
    paused_until: Option<Tick>,
    // An order is under way; the next one waits for its response.
    awaiting_response: bool,
    model_busy: bool,
}

fn is_adapter(artifact: &str) -> bool {
    artifact.contains('/')
}

impl Loader {
    /// Applies a report that was requested at `sent_at`.
    pub fn apply_report(&mut self, sent_at: Tick, report: &Report) {
        self.reported.clone_from(&report.residents);
        self.transferring = report.transferring.iter().map(|r| r.artifact.clone()).collect();
        self.model_busy = report.model_busy;
        self.report_seen = true;
        let listed = |a: &ArcStr| report.residents.iter().any(|r| r.artifact == *a);
        self.unloading.retain(|a, t| listed(a) || sent_at.since(*t) < REPORT_LAG);
        self.loaded.retain(|_, (_, t)| sent_at.since(*t) < REPORT_LAG);
        self.unloaded.retain(|_, t| sent_at.since(*t) < REPORT_LAG);
    }

    /// Resident artifacts according to the newest report and the orders after it.
    pub fn residents(&self) -> Vec<Resident> {
        let mut out: BTreeMap<ArcStr, u64> = BTreeMap::new();
        for r in &self.reported {
            let gone =
                self.unloaded.contains_key(&r.artifact) || self.unloading.contains_key(&r.artifact);
            let replaced = self.loading.contains_key(&r.artifact);
            if !gone && !replaced {
                out.insert(r.artifact.clone(), r.version);
            }
        }
        for (artifact, (version, _)) in &self.loaded {
            let v = out.entry(artifact.clone()).or_default();
            *v = (*v).max(*version);
        }
        out.into_iter().map(|(artifact, version)| Resident { artifact, version }).collect()
    }

    /// Whether an artifact is resident in the given version or a later one.
    pub fn is_resident(&self, r: &Resident) -> bool {
        self.residents().iter().any(|x| x.artifact == r.artifact && x.version >= r.version)
    }

    /// Records that a request of this host uses an adapter.
    pub fn record_use(&mut self, now: Tick, artifact: &ArcStr) {
        self.last_used.insert(artifact.clone(), now);
    }

    /// Records that a peer's request uses the adapter with this hash.
    pub fn record_peer_use(&mut self, now: Tick, artifact: u32) {
        let mut found = self.reported.iter().map(|r| &r.artifact).chain(self.loaded.keys());
        let found = found.find(|a| hash32(&[a]) == artifact).cloned();
        if let Some(a) = found {
            self.record_use(now, &a);
        }
    }

    /// Queues the load of an adapter on an engine with `slots` adapter slots. Several hosts may
    /// choose the same engine before they hear of each other, so a load that would have to wait for
    /// running requests to end is refused at once.
    pub fn request_load(
        &mut self,
        now: Tick,
        r: Resident,
        slots: usize,
        in_use: impl Fn(&str) -> bool,
    ) -> LoadStatus {
        if self.is_resident(&r) {
            self.record_use(now, &r.artifact);
            return LoadStatus::Loaded;
        }
        if let Some(w) = self.queue.iter_mut().find(|(w, _)| *w == r) {
            w.1 = now;
            return LoadStatus::Queued;
        }
        if self.loading.contains_key(&r.artifact) {
            return LoadStatus::Queued;
        }
        let mut taken: BTreeSet<ArcStr> =
            self.residents().into_iter().map(|x| x.artifact).filter(|a| in_use(a)).collect();
        taken.extend(self.loading.keys().cloned());
        taken.extend(self.unloading.keys().cloned());
        taken.extend(self.queue.iter().map(|(w, _)| w.artifact.clone()));
        taken.retain(|a| is_adapter(a) && *a != r.artifact);
        if taken.len() >= slots || self.queue.len() >= MAX_QUEUED {
            return LoadStatus::Refused;
        }
        self.record_use(now, &r.artifact);
        self.queue.push_back((r, now));
        LoadStatus::Queued
    }

    /// Returns the next order, if one is due. `transfers` is the number of adapters that may be in
    /// transfer to the engine; `in_use` tells whether a request uses an artifact.
    pub fn next_step(
        &mut self,
        now: Tick,
        spec: &EngineSpec,
        transfers: usize,
        in_use: impl Fn(&str) -> bool,
    ) -> Option<Step> {
        self.loading.retain(|a, (_, t)| {
            now.since(*t) < if is_adapter(a) { LOAD_TIMEOUT } else { MODEL_LOAD_TIMEOUT }
        });
        self.queue.retain(|(_, t)| now.since(*t) < QUEUE_TIMEOUT);
        if self.awaiting_response || !self.report_seen || self.paused_until.is_some_and(|t| now < t)
        {
            return None;
        }
        let residents = self.residents();
        if let Some(step) = self.model_step(spec, &residents) {
            return Some(step);
        }
        let adapters = residents.iter().filter(|r| is_adapter(&r.artifact));
        let adapters: Vec<_> = adapters.collect();
        let ordered = self.loading.keys().filter(|a| is_adapter(a)).count();
        let earlier = self.transferring.iter().filter(|a| {
            !self.loading.contains_key(*a) && !adapters.iter().any(|r| r.artifact == **a)
        });
        let transferring = ordered + earlier.count();
        let taken = adapters.len() + transferring + self.unloading.len();
        if !self.unloading.is_empty() {
            return None;
        }
        let index = self.queue.iter().position(|(w, _)| {
            let model = w.artifact.split('/').next().unwrap_or_default();
            !self.loading.contains_key(&w.artifact) && residents.iter().any(|r| r.artifact == model)
        })?;
        if transferring >= transfers {
            return None;
        }
        let request = self.queue[index].0.clone();
        let replaces = adapters.iter().any(|r| r.artifact == request.artifact);
        if replaces || taken < spec.adapter_slots as usize {
            self.queue.remove(index);
            return Some(Step { verb: Verb::Load, resident: request });
        }
        let victim = adapters
            .into_iter()
            .filter(|r| {
                let requested = self.queue.iter().any(|(w, _)| w.artifact == r.artifact);
                let settled =
                    self.loaded.get(&r.artifact).is_none_or(|(_, t)| now.since(*t) > MIN_RESIDENCY);
                let idle = self
                    .last_used
                    .get(&r.artifact)
                    .is_none_or(|t| now.since(*t) > IDLE_BEFORE_UNLOAD);
                !requested && settled && idle && !in_use(&r.artifact)
            })
            .min_by_key(|r| (self.last_used.get(&r.artifact).copied(), r.artifact.clone()))?;
        Some(Step { verb: Verb::Unload, resident: victim.clone() })
    }

    // A replica starts without a model; the first base model that fits is loaded.
    fn model_step(&self, spec: &EngineSpec, residents: &[Resident]) -> Option<Step> {
        let has = |m: &ArcStr| residents.iter().any(|r| r.artifact == *m);
        if self.model_busy || spec.models.iter().any(|m| has(&m.name)) {
            return None;
        }
        let model = spec.models.iter().find(|m| m.weights_mb <= spec.capacity_mb)?;
        if self.loading.contains_key(&model.name) {
            return None;
        }
        Some(Step {
            verb: Verb::Load,
            resident: Resident { artifact: model.name.clone(), version: 0 },
        })
    }

    /// Records that an order is sent.
    pub fn record_sent(&mut self, now: Tick, step: &Step) {
        self.awaiting_response = true;
        if step.verb == Verb::Load {
            self.loading.insert(step.resident.artifact.clone(), (step.resident.version, now));
            self.unloaded.remove(&step.resident.artifact);
        }
    }

    /// Records the response to an order, none if it timed out.
    pub fn record_response(&mut self, now: Tick, step: &Step, response: Option<OrderResponse>) {
        self.awaiting_response = false;
        if response == Some(OrderResponse::Conflict) {
            self.paused_until = Some(now + CONFLICT_PAUSE);
            if step.verb == Verb::Load {
                self.queue.push_front((step.resident.clone(), now));
            }
        }
        let a = &step.resident.artifact;
        match (step.verb, response) {
            (Verb::Load, Some(OrderResponse::Done)) => {
                self.finish_load(now, &step.resident);
            }
            // Without a response the order may still have been accepted.
            (Verb::Load, Some(OrderResponse::Accepted) | None) => {}
            (Verb::Load, Some(_)) => {
                self.loading.remove(a);
            }
            (Verb::Unload, Some(OrderResponse::Done)) => {
                self.loaded.remove(a);
                self.unloaded.insert(a.clone(), now);
            }
            (Verb::Unload, Some(OrderResponse::Accepted) | None) => {
                self.loaded.remove(a);
                self.unloading.insert(a.clone(), now);
            }
            (Verb::Unload, Some(_)) => {}
        }
    }

    /// Records that a load has completed. Returns the time since its order.
    pub fn finish_load(&mut self, now: Tick, r: &Resident) -> Option<Duration> {
        let ordered = self.loading.remove(&r.artifact);
        self.queue.retain(|(w, _)| w != r);
        self.unloaded.remove(&r.artifact);
        self.loaded.insert(r.artifact.clone(), (r.version, now));
        self.last_used.insert(r.artifact.clone(), now);
        ordered.map(|(_, at)| now.since(at))
    }

    /// Number of loads that are under way or queued.
    pub fn load_count(&self) -> usize {
        self.loading.len() + self.queue.len()
    }

    /// Whether a load of the artifact is under way.
    pub fn is_loading(&self, artifact: &str) -> bool {
        self.loading.contains_key(artifact)
    }

    /// Clears the state after a restart of the replica, which then holds nothing.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
