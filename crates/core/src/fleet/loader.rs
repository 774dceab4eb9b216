//! What the owner of an engine has it load and unload.
//!
//! Loads are ordered when a request asks for them. An adapter in use is never unloaded; among the
//! others the one that was used longest ago gives way.

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

/// Adapters that may be on their way to one engine, from the platform's data sheet.
pub const MAX_TRANSFERS: usize = 4;

/// Time after which a wish is given up: callers choose another engine before that.
const STALE: Duration = Duration::from_secs(2);

/// Wishes that wait for one engine. Further ones are refused.
const MAX_WISHES: usize = 32;

/// Time in which a load must end. After it the order counts as lost.
const LOAD_LIMIT: Duration = Duration::from_secs(3);

/// The same for a base model, whose load waits for others at the weight store.
const MODEL_LIMIT: Duration = Duration::from_secs(30);

/// Time for which a new adapter stays, so that the request that it was loaded for finds it.
const SETTLE: Duration = Duration::from_millis(400);

/// Time since its last use after which an adapter may be unloaded: a peer's digest may not have
/// told of a use yet. An unload of an adapter in use blocks all further orders until its runs end.
const UNUSED: Duration = Duration::from_millis(300);

/// Pause after an order that another order or run was in the way of.
const PAUSE: Duration = Duration::from_millis(60);

/// Age of a report's content: orders that were carried out later are not in it.
const LAG: Duration = Duration::from_millis(600);

/// Next order for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// What it does.
    pub verb: Verb,
    /// What is loaded or unloaded. The version matters for loads only.
    pub resident: Resident,
}

/// Answer to a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStatus {
    /// It is in place.
    Loaded,
    /// It will be loaded.
    Queued,
    /// There is no room for it.
    Refused,
}

/// Orders of one engine.
#[derive(Debug, Default)]
pub struct Loader {
    reported: Vec<Resident>,
    // Orders of this host that a report may not show yet.
    placed: HashMap<ArcStr, (u64, Tick)>,
    removed: HashMap<ArcStr, Tick>,
    // Unloads that wait for their runs. They still take a place.
    fading: HashMap<ArcStr, Tick>,
    // Adapters on their way by the newest report, some by orders of an earlier owner.
    coming: Vec<ArcStr>,
    // Whether a report was read since the replica's start.
    known: bool,
    loading: BTreeMap<ArcStr, (u64, Tick)>,
    wishes: VecDeque<(Resident, Tick)>,
    used: HashMap<ArcStr, Tick>,
    // No order is sent before this time.
    paused: Option<Tick>,
    // An order is on its way; the next one waits for its answer.
    sending: bool,
    busy: bool,
}

fn is_adapter(artifact: &str) -> bool {
    artifact.contains('/')
}

impl Loader {
    /// Takes a report that was asked for at `asked`.
    pub fn apply_report(&mut self, asked: Tick, report: &Report) {
        self.reported.clone_from(&report.residents);
        self.coming = report.transferring.iter().map(|r| r.artifact.clone()).collect();
        self.busy = report.model_busy;
        self.known = true;
        let listed = |a: &ArcStr| report.residents.iter().any(|r| r.artifact == *a);
        self.fading.retain(|a, t| listed(a) || asked.since(*t) < LAG);
        self.placed.retain(|_, (_, t)| asked.since(*t) < LAG);
        self.removed.retain(|_, t| asked.since(*t) < LAG);
    }

    /// What is in place, by the newest report and the orders after it.
    pub fn residents(&self) -> Vec<Resident> {
        let mut out: BTreeMap<ArcStr, u64> = BTreeMap::new();
        for r in &self.reported {
            let gone =
                self.removed.contains_key(&r.artifact) || self.fading.contains_key(&r.artifact);
            let replaced = self.loading.contains_key(&r.artifact);
            if !gone && !replaced {
                out.insert(r.artifact.clone(), r.version);
            }
        }
        for (artifact, (version, _)) in &self.placed {
            let v = out.entry(artifact.clone()).or_default();
            *v = (*v).max(*version);
        }
        out.into_iter().map(|(artifact, version)| Resident { artifact, version }).collect()
    }

    /// Whether an adapter is in place in the wanted version or a later one.
    pub fn is_resident(&self, r: &Resident) -> bool {
        self.residents().iter().any(|x| x.artifact == r.artifact && x.version >= r.version)
    }

    /// Notes that a request uses an adapter.
    pub fn record_use(&mut self, now: Tick, artifact: &ArcStr) {
        self.used.insert(artifact.clone(), now);
    }

    /// Notes that a peer's request uses an adapter, by its hash.
    pub fn record_peer_use(&mut self, now: Tick, artifact: u32) {
        let mut found = self.reported.iter().map(|r| &r.artifact).chain(self.placed.keys());
        let found = found.find(|a| hash32(&[a]) == artifact).cloned();
        if let Some(a) = found {
            self.record_use(now, &a);
        }
    }

    /// Asks for an adapter at an engine with `places`. Several hosts may choose the same engine
    /// before they hear of each other; what would have to wait for the end of running requests is
    /// refused at once.
    pub fn request_load(
        &mut self,
        now: Tick,
        r: Resident,
        places: usize,
        in_use: impl Fn(&str) -> bool,
    ) -> LoadStatus {
        if self.is_resident(&r) {
            self.record_use(now, &r.artifact);
            return LoadStatus::Loaded;
        }
        if let Some(w) = self.wishes.iter_mut().find(|(w, _)| *w == r) {
            w.1 = now;
            return LoadStatus::Queued;
        }
        if self.loading.contains_key(&r.artifact) {
            return LoadStatus::Queued;
        }
        let mut taken: BTreeSet<ArcStr> =
            self.residents().into_iter().map(|x| x.artifact).filter(|a| in_use(a)).collect();
        taken.extend(self.loading.keys().cloned());
        taken.extend(self.fading.keys().cloned());
        taken.extend(self.wishes.iter().map(|(w, _)| w.artifact.clone()));
        taken.retain(|a| is_adapter(a) && *a != r.artifact);
        if taken.len() >= places || self.wishes.len() >= MAX_WISHES {
            return LoadStatus::Refused;
        }
        self.record_use(now, &r.artifact);
        self.wishes.push_back((r, now));
        LoadStatus::Queued
    }

    /// The next order, if one is due. `in_use` tells whether a request uses an adapter.
    pub fn next_step(
        &mut self,
        now: Tick,
        spec: &EngineSpec,
        in_use: impl Fn(&str) -> bool,
    ) -> Option<Step> {
        self.loading.retain(|a, (_, t)| {
            now.since(*t) < if is_adapter(a) { LOAD_LIMIT } else { MODEL_LIMIT }
        });
        self.wishes.retain(|(_, t)| now.since(*t) < STALE);
        if self.sending || !self.known || self.paused.is_some_and(|t| now < t) {
            return None;
        }
        let residents = self.residents();
        if let Some(step) = self.model(spec, &residents) {
            return Some(step);
        }
        let adapters = residents.iter().filter(|r| is_adapter(&r.artifact));
        let adapters: Vec<_> = adapters.collect();
        let own = self.loading.keys().filter(|a| is_adapter(a)).count();
        let foreign = self.coming.iter().filter(|a| {
            !self.loading.contains_key(*a) && !adapters.iter().any(|r| r.artifact == **a)
        });
        let coming = own + foreign.count();
        let taken = adapters.len() + coming + self.fading.len();
        if !self.fading.is_empty() {
            return None;
        }
        let index = self.wishes.iter().position(|(w, _)| {
            let model = w.artifact.split('/').next().unwrap_or_default();
            !self.loading.contains_key(&w.artifact) && residents.iter().any(|r| r.artifact == model)
        })?;
        if coming >= MAX_TRANSFERS {
            return None;
        }
        let wish = self.wishes[index].0.clone();
        let replaces = adapters.iter().any(|r| r.artifact == wish.artifact);
        if replaces || taken < spec.adapter_slots as usize {
            self.wishes.remove(index);
            return Some(Step { verb: Verb::Load, resident: wish });
        }
        let victim = adapters
            .into_iter()
            .filter(|r| {
                let wanted = self.wishes.iter().any(|(w, _)| w.artifact == r.artifact);
                let settled =
                    self.placed.get(&r.artifact).is_none_or(|(_, t)| now.since(*t) > SETTLE);
                let idle = self.used.get(&r.artifact).is_none_or(|t| now.since(*t) > UNUSED);
                !wanted && settled && idle && !in_use(&r.artifact)
            })
            .min_by_key(|r| (self.used.get(&r.artifact).copied(), r.artifact.clone()))?;
        Some(Step { verb: Verb::Unload, resident: victim.clone() })
    }

    // A replica starts empty. It gets the first base model that fits.
    fn model(&self, spec: &EngineSpec, residents: &[Resident]) -> Option<Step> {
        let has = |m: &ArcStr| residents.iter().any(|r| r.artifact == *m);
        if self.busy || spec.models.iter().any(|m| has(&m.name)) {
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

    /// An order is on its way.
    pub fn record_sent(&mut self, now: Tick, step: &Step) {
        self.sending = true;
        if step.verb == Verb::Load {
            self.loading.insert(step.resident.artifact.clone(), (step.resident.version, now));
            self.removed.remove(&step.resident.artifact);
        }
    }

    /// The order was answered, or given up without an answer.
    pub fn record_response(&mut self, now: Tick, step: &Step, answer: Option<OrderResponse>) {
        self.sending = false;
        if answer == Some(OrderResponse::Conflict) {
            self.paused = Some(now + PAUSE);
            if step.verb == Verb::Load {
                self.wishes.push_front((step.resident.clone(), now));
            }
        }
        let a = &step.resident.artifact;
        match (step.verb, answer) {
            (Verb::Load, Some(OrderResponse::Done)) => {
                self.finish_load(now, &step.resident);
            }
            // Without an answer it may have been accepted.
            (Verb::Load, Some(OrderResponse::Accepted) | None) => {}
            (Verb::Load, Some(_)) => {
                self.loading.remove(a);
            }
            (Verb::Unload, Some(OrderResponse::Done)) => {
                self.placed.remove(a);
                self.removed.insert(a.clone(), now);
            }
            (Verb::Unload, Some(OrderResponse::Accepted) | None) => {
                self.placed.remove(a);
                self.fading.insert(a.clone(), now);
            }
            (Verb::Unload, Some(_)) => {}
        }
    }

    /// A load has ended. Returns the time since its order.
    pub fn finish_load(&mut self, now: Tick, r: &Resident) -> Option<Duration> {
        let ordered = self.loading.remove(&r.artifact);
        self.wishes.retain(|(w, _)| w != r);
        self.removed.remove(&r.artifact);
        self.placed.insert(r.artifact.clone(), (r.version, now));
        self.used.insert(r.artifact.clone(), now);
        ordered.map(|(_, at)| now.since(at))
    }

    /// Adapters on their way.
    pub fn load_count(&self) -> usize {
        self.loading.len()
    }

    /// Whether the load of an adapter is under way.
    pub fn is_loading(&self, artifact: &str) -> bool {
        self.loading.contains_key(artifact)
    }

    /// The replica restarted: it holds nothing.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
