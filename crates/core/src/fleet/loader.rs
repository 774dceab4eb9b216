//! Decides which artifacts the owner of an engine loads and unloads.
//!
//! Loads are ordered on demand, when a request needs one. An adapter in use is never unloaded;
//! among the others the least recently used one is evicted.
//!
//! Each order names the number of orders that the replica has accepted as far as the loader knows,
//! and the replica rejects it if that has changed. So an order is executed only in the state that it
//! was decided on: not late, not beside an order of another host, and not twice. A report or a
//! response that leaves the number open stops the orders until a newer report.

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

/// Shortest time that a newly loaded adapter stays resident, so that the request that it was loaded
/// for can still use it.
const MIN_RESIDENCY: Duration = Duration::from_millis(400);

/// Time since its last use after which an adapter may be unloaded: a use by a peer's request may
/// not have reached this host in a digest yet. The unload of an adapter in use blocks all further
/// orders until its requests end.
const IDLE_BEFORE_UNLOAD: Duration = Duration::from_millis(300);

/// Pause after an order that was rejected or has no response.
const CONFLICT_PAUSE: Duration = Duration::from_millis(60);

/// Age of a report's content: loads that ended later are missing from it.
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

/// A load that this host has ordered.
#[derive(Clone, Copy, Debug)]
struct Load {
    version: u64,
    at: Tick,
    // Number of orders that the replica has accepted with this one.
    count: u64,
}

/// An order that has no response yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    // Number of accepted orders that it names.
    expected: u64,
    // Whether it asks for a change, and not for a load that is under way already.
    changes: bool,
}

/// Load state of one engine and its queue of loads.
#[derive(Debug, Default)]
pub struct Loader {
    // Content of the newest report, and the orders of this host that it does not show yet. Each is
    // kept with the number of orders that the replica has accepted with it.
    reported: Vec<Resident>,
    loaded: HashMap<ArcStr, Load>,
    unloaded: HashMap<ArcStr, u64>,
    loading: BTreeMap<ArcStr, Load>,
    // Unloads that wait for running requests. They still occupy a slot.
    unloading: HashMap<ArcStr, u64>,
    // Adapters in transfer according to the newest report, possibly ordered by an earlier owner.
    transferring: Vec<Resident>,
    // Number of orders that the replica has accepted; none until a report settles it.
    count: Option<u64>,
    // Since when the number is unknown. Reports that were requested earlier do not settle it.
    unknown_since: Option<Tick>,
    queue: VecDeque<(Resident, Tick)>,
    last_used: HashMap<ArcStr, Tick>,
    // No order is sent before this time.
    paused_until: Option<Tick>,
    // The next order waits for the response to this one.
    pending: Option<Pending>,
    model_busy: bool,
}

fn is_adapter(artifact: &str) -> bool {
    artifact.contains('/')
}

// Whether an engine that loads version `loaded` does what an order for `ordered` asks; 0 asks for the
// newest version.
fn is_version(ordered: u64, loaded: u64) -> bool {
    ordered == 0 || ordered == loaded
}

impl Loader {
    /// Applies a report that was requested at `sent_at`.
    pub fn apply_report(&mut self, sent_at: Tick, report: &Report) {
        let count = report.order_count;
        match self.count {
            Some(known) => self.count = Some(known.max(count)),
            None if self.unknown_since.is_some_and(|t| sent_at < t) => return,
            None => {
                // What this host assumed about orders beyond the report is void.
                self.unloaded.clear();
                self.unloading.retain(|_, n| *n <= count);
                self.loading.retain(|_, l| l.count <= count);
                self.loaded.values_mut().for_each(|l| l.count = l.count.min(count));
                self.count = Some(count);
            }
        }
        self.reported.clone_from(&report.residents);
        self.transferring.clone_from(&report.transferring);
        self.model_busy = report.model_busy;
        let listed = |a: &ArcStr| report.residents.iter().any(|r| r.artifact == *a);
        self.unloading.retain(|a, n| *n > count || listed(a));
        self.unloaded.retain(|_, n| *n > count);
        self.loaded.retain(|_, l| l.count > count || sent_at.since(l.at) < REPORT_LAG);
        let transferring = &self.transferring;
        self.loading.retain(|a, l| {
            let in_progress = match is_adapter(a) {
                true => transferring
                    .iter()
                    .any(|t| t.artifact == *a && is_version(l.version, t.version)),
                false => report.model_busy,
            };
            l.count > count || in_progress
        });
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
        for (artifact, l) in &self.loaded {
            let v = out.entry(artifact.clone()).or_default();
            *v = (*v).max(l.version);
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
        taken.retain(|a| is_adapter(a));
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
        self.queue.retain(|(_, t)| now.since(*t) < QUEUE_TIMEOUT);
        if self.expected_count().is_none() || self.paused_until.is_some_and(|t| now < t) {
            return None;
        }
        let residents = self.residents();
        self.queue.retain(|(w, _)| !residents.contains(w));
        if let Some(step) = self.model_step(spec, &residents) {
            return Some(step);
        }
        let transferring = self.in_transit();
        let taken = self.held_adapters() + transferring;
        if !self.unloading.is_empty() {
            return None;
        }
        let index = self.queue.iter().position(|(w, _)| {
            let model = w.artifact.split('/').next().unwrap_or_default();
            !self.loading.contains_key(&w.artifact) && residents.iter().any(|r| r.artifact == model)
        })?;
        let request = self.queue.get(index)?.0.clone();
        let counted = self.is_transferring(&request);
        if transferring >= transfers && !counted {
            return None;
        }
        let limit = spec.adapter_limit(residents.iter().map(|r| r.artifact.as_str()));
        if counted || taken < limit {
            self.queue.remove(index);
            return Some(Step { verb: Verb::Load, resident: request });
        }
        let replaced = |r: &Resident| r.artifact == request.artifact;
        let victim = residents
            .iter()
            .filter(|r| is_adapter(&r.artifact))
            .filter(|r| {
                let requested = self.queue.iter().any(|(w, _)| w.artifact == r.artifact);
                let settled =
                    self.loaded.get(&r.artifact).is_none_or(|l| now.since(l.at) > MIN_RESIDENCY);
                let idle = self
                    .last_used
                    .get(&r.artifact)
                    .is_none_or(|t| now.since(*t) > IDLE_BEFORE_UNLOAD);
                (!requested || replaced(r)) && settled && idle && !in_use(&r.artifact)
            })
            .min_by_key(|r| {
                (!replaced(r), self.last_used.get(&r.artifact).copied(), r.artifact.clone())
            })?;
        Some(Step { verb: Verb::Unload, resident: victim.clone() })
    }

    // Number of adapters that the engine holds, also those that are being unloaded or replaced: an
    // older version stays until the runs that use it have ended.
    fn held_adapters(&self) -> usize {
        let reported = self.reported.iter().map(|r| &r.artifact);
        let mut held: BTreeSet<_> = reported.filter(|a| !self.unloaded.contains_key(*a)).collect();
        held.extend(self.loaded.keys());
        held.extend(self.unloading.keys());
        held.into_iter().filter(|a| is_adapter(a)).count()
    }

    // Number of adapters in transfer, each of which takes a slot of its own.
    fn in_transit(&self) -> usize {
        let ordered = self.loading.keys().filter(|a| is_adapter(a)).count();
        let known = |r: &Resident| {
            let loads = [self.loaded.get(&r.artifact), self.loading.get(&r.artifact)];
            loads.into_iter().flatten().any(|l| is_version(l.version, r.version))
        };
        let earlier = self.transferring.iter().filter(|r| !known(r));
        ordered + earlier.count()
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

    /// Number of accepted orders that the next order must name; none while no order may be sent.
    pub fn expected_count(&self) -> Option<u64> {
        if self.pending.is_some() { None } else { self.count }
    }

    /// Whether a report is needed before the next order.
    pub fn needs_report(&self) -> bool {
        self.count.is_none()
    }

    /// Records that an order is sent.
    pub fn record_sent(&mut self, now: Tick, step: &Step) {
        let Some(expected) = self.count else { return };
        let a = &step.resident.artifact;
        let changes = step.verb == Verb::Unload || !self.is_transferring(&step.resident);
        self.pending = Some(Pending { expected, changes });
        if step.verb == Verb::Load {
            let count = expected + u64::from(changes);
            let load = Load { version: step.resident.version, at: now, count };
            self.loading.insert(a.clone(), load);
        }
    }

    /// Records that the order of a load under way is repeated, to learn whether it has ended.
    pub fn record_check_sent(&mut self) {
        self.pending = self.count.map(|expected| Pending { expected, changes: false });
    }

    /// Records the response to an order, none if it timed out.
    pub fn record_response(&mut self, now: Tick, step: &Step, response: Option<OrderResponse>) {
        let Some(pending) = self.pending.take() else { return };
        let count = pending.expected + u64::from(pending.changes);
        let a = &step.resident.artifact;
        match (step.verb, response) {
            (Verb::Load, Some(OrderResponse::Done)) => {
                self.finish_load(now, &step.resident);
            }
            (Verb::Load, Some(OrderResponse::Accepted)) => self.raise_count(count),
            (Verb::Unload, Some(OrderResponse::Done)) => {
                self.raise_count(count);
                self.loaded.remove(a);
                self.unloaded.insert(a.clone(), count);
            }
            (Verb::Unload, Some(OrderResponse::Accepted)) => {
                self.raise_count(count);
                self.loaded.remove(a);
                self.unloading.insert(a.clone(), count);
            }
            // It was rejected because of an order that is unknown here, or it may still be accepted.
            (Verb::Load, Some(OrderResponse::Conflict) | None) => {
                self.loading.remove(a);
                self.queue.push_front((step.resident.clone(), now));
                self.forget_count(now);
            }
            (Verb::Load, Some(_)) => {
                self.loading.remove(a);
                self.forget_count(now);
            }
            (Verb::Unload, _) => self.forget_count(now),
        }
    }

    /// Records the response to a repeated order, none if it timed out.
    pub fn record_check(&mut self, now: Tick, r: &Resident, response: Option<OrderResponse>) {
        self.pending = None;
        match response {
            Some(OrderResponse::Done | OrderResponse::Accepted) => {}
            // An engine rejects all orders while it loads a base model.
            Some(OrderResponse::Conflict) if !is_adapter(&r.artifact) => {}
            _ => self.forget_count(now),
        }
    }

    fn raise_count(&mut self, count: u64) {
        self.count = self.count.map(|c| c.max(count));
    }

    fn forget_count(&mut self, now: Tick) {
        self.count = None;
        self.unknown_since = Some(now);
        self.paused_until = Some(now + CONFLICT_PAUSE);
    }

    /// Records that a load has completed. Returns the time since its order.
    pub fn finish_load(&mut self, now: Tick, r: &Resident) -> Option<Duration> {
        let ordered = if self.is_loading(r) { self.loading.remove(&r.artifact) } else { None };
        let count = ordered.map_or(0, |l| l.count);
        self.queue.retain(|(w, _)| w != r);
        self.unloaded.remove(&r.artifact);
        self.loaded.insert(r.artifact.clone(), Load { version: r.version, at: now, count });
        self.last_used.insert(r.artifact.clone(), now);
        ordered.map(|l| now.since(l.at))
    }

    /// Number of loads that are under way or queued.
    pub fn load_count(&self) -> usize {
        self.loading.len() + self.queue.len()
    }

    fn is_transferring(&self, r: &Resident) -> bool {
        let same = |t: &Resident| t.artifact == r.artifact && is_version(r.version, t.version);
        self.transferring.iter().any(same)
    }

    /// Whether a load of this version of the artifact is under way.
    pub fn is_loading(&self, r: &Resident) -> bool {
        self.loading.get(&r.artifact).is_some_and(|l| l.version == r.version)
    }

    /// Clears the state after a restart of the replica, which then holds nothing.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
