//! Choice of an engine for a request.
//!
//! Works on this host's own view: lagging reports of the engines, corrected with the host's own
//! requests, and the pins that the host holds.

mod health;
#[cfg(test)]
mod tests;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arcstr::ArcStr;

use self::view::EngineView;
pub use self::{health::Outcome, view::ReplicaInfo};
use crate::{
    ids::Incarnation,
    placement::{AdapterVersion, PIN_DURATION, PinRelease},
    rules::Class,
    time::{Tick, minus_drift},
};

/// A pin without requests is released after this time. Adapters that are used every few seconds
/// keep their pins; longer would hold slots of idle adapters against eviction.
const IDLE_PIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Share of an engine's batch that the requests of one adapter fill before it gets another replica.
const REPLICA_FILL: f64 = 0.6;

/// A request that has waited this long for a slot of full engines is worth a load elsewhere, which
/// takes about half of this time.
pub const EXTRA_REPLICA_WAIT: Duration = Duration::from_millis(500);

/// Engines whose load is above the mean by this factor are passed over for cold loads.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Pins of one host: more than the adapter slots of any fleet that one host serves at once.
const MAX_PINS: usize = 4096;

/// An engine that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Name of the engine.
    pub name: ArcStr,
    /// Base model.
    pub model: ArcStr,
    /// Requests that run at once.
    pub batch: u32,
    /// Slots of the batch that only `status` may use.
    pub reserved: u32,
    /// Whether it checks fencing numbers, for instance names.
    pub fencing: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the holder of its controlling ordinal is known.
    pub controlled: bool,
}

/// A lagging report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Engine.
    pub engine: ArcStr,
    /// Boot id.
    pub boot: u64,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Resident instances with their running requests.
    pub resident: Vec<(ArcStr, u32)>,
}

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Base model.
    pub model: &'a ArcStr,
    /// Adapter version.
    pub target: &'a AdapterVersion,
    /// Class of service.
    pub class: Class,
    /// Time by which the request ends.
    pub deadline: Tick,
    /// Engines that refused or failed this request.
    pub avoid: &'a [ArcStr],
    /// Engine that is likely to have the prompt's prefix.
    pub prefix: Option<&'a ArcStr>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Run it there under the pin that this host holds.
    Run {
        /// Engine.
        engine: ArcStr,
        /// Instance.
        instance: ArcStr,
    },
    /// Ask the engine's controlling host for a pin.
    Pin {
        /// Engine.
        engine: ArcStr,
        /// Whether the adapter version is likely to be loaded first.
        load: bool,
    },
    /// Every replica is full; wait.
    Wait,
    /// No engine can serve it now.
    Unavailable,
}

/// A pin request that was answered with a pin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedPin {
    /// Engine.
    pub engine: ArcStr,
    /// Adapter version.
    pub target: AdapterVersion,
    /// Instance name of the answer.
    pub instance: ArcStr,
    /// Id of the request.
    pub id: u64,
    /// When the request was sent.
    pub sent: Tick,
    /// Duration of the answer.
    pub duration: Duration,
}

/// Where another replica is worth a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtraReplica {
    /// Engine.
    pub engine: ArcStr,
    /// Whether a request waits for it. Otherwise the pin request is a prefetch, which evicts only
    /// less popular adapters: a cold adapter on an engine that stays full would wait for ever.
    pub urgent: bool,
}

#[derive(Clone, Debug)]
struct Pin {
    instance: ArcStr,
    // Highest id used for this instance.
    id: u64,
    until: Tick,
    running: u32,
    uses: u32,
    idle_since: Tick,
}

/// This host's view of the engines.
#[derive(Debug)]
pub struct Router {
    host: Incarnation,
    engines: BTreeMap<ArcStr, EngineView>,
    // By engine and target: a new instance name replaces the old pin.
    pins: BTreeMap<(ArcStr, AdapterVersion), Pin>,
    // Highest id of the released pins: an answer that arrives after the release of a later pin
    // grants nothing any more.
    released: BTreeMap<(ArcStr, AdapterVersion), (u64, Tick)>,
    // The same for all engines and targets.
    released_floor: u64,
}

impl Router {
    /// No engines.
    pub fn new(host: Incarnation) -> Self {
        Self {
            host,
            engines: BTreeMap::new(),
            pins: BTreeMap::new(),
            released: BTreeMap::new(),
            released_floor: 0,
        }
    }

    /// Sets the engines. What is known of those that stay is kept.
    pub fn configure(&mut self, specs: Vec<Spec>) {
        let mut old = std::mem::take(&mut self.engines);
        for s in specs {
            let mut v = old.remove(&s.name).unwrap_or_else(|| EngineView::new(s.clone()));
            let name = s.name.clone();
            v.spec = s;
            self.engines.insert(name, v);
        }
    }

    /// Takes a report in.
    pub fn report(&mut self, now: Tick, r: &Report) {
        if let Some(v) = self.engines.get_mut(&r.engine) {
            v.report(now, r);
        }
    }

    /// Records a granted pin, counted from the time its request was sent. Returns its release if
    /// this host cannot use it.
    pub fn add_pin(&mut self, now: Tick, g: GrantedPin) -> Option<PinRelease> {
        let GrantedPin { engine, target, instance, id, sent, duration } = g;
        let until = sent + minus_drift(duration);
        let leaving = self.engines.get(&engine).is_none_or(|v| v.spec.leaving);
        let key = (engine.clone(), target);
        let released = self
            .released
            .get(&key)
            .map_or(self.released_floor, |(id, _)| self.released_floor.max(*id));
        if leaving || id <= released || self.pins.len() >= MAX_PINS || until <= now {
            return Some(PinRelease { host: self.host, id, engine, instance, uses: 0 });
        }
        match self.pins.get_mut(&key) {
            Some(p) if p.instance == instance => {
                p.id = p.id.max(id);
                p.until = p.until.max(until);
                None
            }
            _ => {
                let p = Pin { instance, id, until, running: 0, uses: 0, idle_since: now };
                self.pins.insert(key, p);
                None
            }
        }
    }

    /// Takes the pin back after "unknown instance" or "fenced". Requests that run under it go on.
    pub fn drop_pin(&mut self, now: Tick, engine: &ArcStr, target: &AdapterVersion) {
        // The entry stays while requests run, so that a new pin of the same instance counts them.
        if let Some(p) = self.pins.get_mut(&(engine.clone(), target.clone())) {
            p.until = now;
        }
        if let Some(v) = self.engines.get_mut(engine) {
            v.remove_resident(target);
        }
    }

    /// Chooses an engine. `random` differs between hosts and calls.
    pub fn pick(&self, now: Tick, need: &Requirements<'_>, random: u64) -> Choice {
        let random = mix(random);
        let usable: Vec<(&ArcStr, &EngineView)> = self
            .engines
            .iter()
            .filter(|(n, v)| v.serves(need.model) && !need.avoid.contains(n))
            .collect();
        let replicas: Vec<(&ArcStr, &EngineView)> = usable
            .iter()
            .copied()
            .filter(|(n, v)| {
                self.usable_pin(now, n, need).is_some()
                    || (v.spec.controlled && v.has_resident(need.target))
            })
            .collect();
        let replicas = health::selectable(now, replicas, random);
        let open: Vec<(&ArcStr, &EngineView)> =
            replicas.iter().copied().filter(|(_, v)| v.has_capacity(now, need.class)).collect();
        if let Some(engine) = self.choose_replica(now, need, &open, random) {
            return match self.usable_pin(now, engine, need) {
                Some(p) => Choice::Run { engine: engine.clone(), instance: p.instance.clone() },
                None => Choice::Pin { engine: engine.clone(), load: false },
            };
        }
        if replicas.is_empty() {
            return match self.cold_engine(now, need, &usable) {
                Some(engine) => Choice::Pin { engine: engine.clone(), load: true },
                None => Choice::Unavailable,
            };
        }
        Choice::Wait
    }

    /// Engine on which another replica is worth a load: when the demand fills the present ones, or
    /// when a request has waited for [`EXTRA_REPLICA_WAIT`] because their engines are full.
    pub fn extra_replica(
        &self,
        now: Tick,
        need: &Requirements<'_>,
        waited: Duration,
    ) -> Option<ExtraReplica> {
        let all = || self.engines.iter().filter(|(_, v)| v.serves(need.model));
        let having: Vec<&EngineView> =
            all().filter(|(_, v)| v.has_resident(need.target)).map(|(_, v)| v).collect();
        let batch: u32 = having.iter().map(|v| v.spec.batch).sum();
        let demand: f64 = having.iter().map(|v| v.demand(need.target)).sum();
        let full =
            waited >= EXTRA_REPLICA_WAIT && having.iter().all(|v| !v.has_capacity(now, need.class));
        if having.is_empty() || !full && demand <= REPLICA_FILL * f64::from(batch) {
            return None;
        }
        // A replica on a full engine helps nobody and evicts an adapter that others use.
        let useful = |n: &ArcStr, v: &EngineView| {
            !v.has_resident(need.target)
                && !need.avoid.contains(n)
                && v.has_capacity(now, need.class)
        };
        let rest: Vec<(&ArcStr, &EngineView)> = all().filter(|(n, v)| useful(n, v)).collect();
        let engine = self.cold_engine(now, need, &rest)?.clone();
        Some(ExtraReplica { engine, urgent: full })
    }

    /// A request starts on an engine. It runs under the pin if there is one.
    pub fn request_started(&mut self, now: Tick, engine: &ArcStr, target: &AdapterVersion) {
        if let Some(v) = self.engines.get_mut(engine) {
            v.started(now, target);
        }
        if let Some(p) = self.pins.get_mut(&(engine.clone(), target.clone())) {
            p.running += 1;
            p.uses += 1;
        }
    }

    /// A request ended on an engine.
    pub fn request_ended(
        &mut self,
        now: Tick,
        engine: &ArcStr,
        target: &AdapterVersion,
        instance: &ArcStr,
        outcome: Outcome,
    ) {
        if let Some(v) = self.engines.get_mut(engine) {
            v.ended(now, target);
            v.health.record(now, outcome);
        }
        if let Some(p) = self.pins.get_mut(&(engine.clone(), target.clone()))
            && p.instance == *instance
        {
            p.running = p.running.saturating_sub(1);
            p.idle_since = now;
        }
    }

    /// Requests wait for an adapter version: its pins do not count as idle. Otherwise an adapter that
    /// has been loaded on a busy engine is evicted before its requests get a place there.
    pub fn keep_pins(&mut self, now: Tick, targets: &BTreeSet<AdapterVersion>) {
        for ((_, target), p) in &mut self.pins {
            if targets.contains(target) {
                p.idle_since = now;
            }
        }
    }

    /// Releases pins that are idle, and all idle ones when `all` is set (shutdown).
    pub fn release_idle(&mut self, now: Tick, all: bool, out: &mut Vec<PinRelease>) {
        let host = self.host;
        let released = &mut self.released;
        self.pins.retain(|(engine, target), p| {
            let idle = p.running == 0 && (all || now.since(p.idle_since) >= IDLE_PIN_TIMEOUT);
            if idle {
                released.insert((engine.clone(), target.clone()), (p.id, now));
                out.push(PinRelease {
                    host,
                    id: p.id,
                    engine: engine.clone(),
                    instance: p.instance.clone(),
                    uses: p.uses,
                });
            }
            !idle
        });
        // A pin that was asked for before a release ends at most `PIN_DURATION` after it.
        self.released.retain(|_, (_, t)| now.since(*t) < PIN_DURATION);
        if self.released.len() > MAX_PINS {
            self.released_floor =
                self.released.values().map(|(id, _)| *id).fold(self.released_floor, u64::max);
            self.released.clear();
        }
    }

    /// Replicas of an adapter version in this host's view.
    pub fn replicas(&self, now: Tick, target: &AdapterVersion) -> Vec<ReplicaInfo> {
        self.engines.iter().filter_map(|(n, v)| v.replica_info(now, n, target)).collect()
    }

    fn usable_pin(&self, now: Tick, engine: &ArcStr, need: &Requirements<'_>) -> Option<&Pin> {
        let p = self.pins.get(&(engine.clone(), need.target.clone()))?;
        (now < p.until && need.deadline < p.until).then_some(p)
    }

    // Prefix affinity, then the less loaded of two random candidates. Both may be the same one, so
    // that hosts with the same old view do not all choose the less loaded replica of two.
    fn choose_replica<'a>(
        &self,
        now: Tick,
        need: &Requirements<'_>,
        open: &[(&'a ArcStr, &'a EngineView)],
        random: u64,
    ) -> Option<&'a ArcStr> {
        let with_pin: Vec<_> =
            open.iter().copied().filter(|(n, _)| self.usable_pin(now, n, need).is_some()).collect();
        let from = if with_pin.is_empty() { open } else { &with_pin };
        if let Some((n, _)) = from.iter().find(|(n, _)| Some(*n) == need.prefix) {
            return Some(n);
        }
        if from.is_empty() {
            return None;
        }
        let one = from[(random & 0xffff_ffff) as usize % from.len()];
        let two = from[(random >> 32) as usize % from.len()];
        Some(if two.1.fill(now) < one.1.fill(now) { two.0 } else { one.0 })
    }

    // Rendezvous hashing with bounded load: hosts with about the same view agree, so a cold adapter
    // is loaded once and not on each host's own favourite.
    fn cold_engine<'a>(
        &self,
        now: Tick,
        need: &Requirements<'_>,
        usable: &[(&'a ArcStr, &'a EngineView)],
    ) -> Option<&'a ArcStr> {
        let able: Vec<_> =
            usable.iter().filter(|(_, v)| v.spec.controlled && !v.health.is_ejected(now)).collect();
        let mean = able.iter().map(|(_, v)| v.fill(now)).sum::<f64>() / able.len().max(1) as f64;
        let bound = (mean * BOUNDED_LOAD_FACTOR).max(0.5);
        able.iter()
            .map(|(n, v)| {
                (
                    v.fill(now) > bound || !v.has_capacity(now, need.class),
                    rendezvous_weight(need.target, n),
                    *n,
                )
            })
            .min_by_key(|(over, weight, _)| (*over, std::cmp::Reverse(*weight)))
            .map(|(_, _, n)| n)
    }
}

// The same on all hosts and in all versions of the program.
fn rendezvous_weight(target: &AdapterVersion, engine: &ArcStr) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for part in [target.adapter.as_bytes(), target.version.as_bytes(), engine.as_bytes()] {
        for b in part.iter().chain(&[0xff]) {
            h = (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    // FNV-1a leaves names that differ in the last byte close together.
    mix(h)
}

// Spreads every bit over the whole word (the finalizer of SplitMix64).
fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
