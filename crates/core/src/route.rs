//! Chooses the engine on which a request runs.
//!
//! The choice is made from this host's view of the engines: their reports, which arrive with a
//! delay and are corrected by this host's own requests since, and the pins that this host holds. A
//! pin keeps an instance of an adapter loaded on an engine until it expires or is released.

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

/// A pin without requests is released after this time. Longer pins would keep idle adapters from
/// being evicted.
const IDLE_PIN_TIMEOUT: Duration = Duration::from_secs(1);

/// An adapter gets another replica if its requests fill more than this share of the batches of the
/// engines that have it loaded.
const REPLICA_FILL: f64 = 0.6;

/// A request that has waited this long for a slot on full engines justifies a load elsewhere. A
/// load takes about half of this time.
pub const EXTRA_REPLICA_WAIT: Duration = Duration::from_millis(500);

/// An engine that is fuller than the mean times this factor loads an adapter only if no other can.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Maximum number of pins of one host. It exceeds the adapter slots of the engines that one host
/// uses at the same time.
const MAX_PINS: usize = 4096;

/// An engine to which requests may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Name of the engine.
    pub name: ArcStr,
    /// Base model.
    pub model: ArcStr,
    /// Requests that run on it at once.
    pub batch: u32,
    /// Slots of the batch that only the `status` class may use.
    pub reserved: u32,
    /// Whether it checks fencing tokens, which decides the names of its instances.
    pub fencing: bool,
    /// Whether it is being taken out of service. It gets no new requests.
    pub leaving: bool,
    /// Whether the host that controls it is available, so that pin requests are answered.
    pub controlled: bool,
}

/// An engine's report of its state, which arrives with a delay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the engine.
    pub engine: ArcStr,
    /// Boot id, which changes when the engine restarts.
    pub boot: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait on the engine.
    pub waiting: u32,
    /// Names of the resident instances, each with its number of running requests.
    pub resident: Vec<(ArcStr, u32)>,
}

/// What a request needs from an engine.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Base model.
    pub model: &'a ArcStr,
    /// Adapter version that it runs on.
    pub target: &'a AdapterVersion,
    /// Class of service.
    pub class: Class,
    /// Time by which the request ends.
    pub deadline: Tick,
    /// Engines that refused or failed this request.
    pub avoid: &'a [ArcStr],
    /// Engine that probably has the prompt's prefix in its cache.
    pub prefix: Option<&'a ArcStr>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Run it on an instance on which this host holds a pin.
    Run {
        /// Name of the engine.
        engine: ArcStr,
        /// Name of the instance.
        instance: ArcStr,
    },
    /// Request a pin from the engine's controlling host.
    Pin {
        /// Name of the engine.
        engine: ArcStr,
        /// Whether the adapter version probably has to be loaded first.
        load: bool,
    },
    /// Wait, because every replica is full.
    Wait,
    /// No engine can run it now.
    Unavailable,
}

/// A pin request and the pin that it was answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedPin {
    /// Name of the engine.
    pub engine: ArcStr,
    /// Adapter version in the request.
    pub target: AdapterVersion,
    /// Name of the pinned instance, from the answer.
    pub instance: ArcStr,
    /// Id of the request.
    pub id: u64,
    /// When the request was sent.
    pub sent: Tick,
    /// How long the pin lasts, from the answer.
    pub duration: Duration,
}

/// An additional replica that is worth a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtraReplica {
    /// Engine on which to load it.
    pub engine: ArcStr,
    /// Whether a request waits for it. Otherwise the pin request is a prefetch, which evicts only
    /// less popular adapters. An unpopular adapter on an engine that stays full would then wait
    /// indefinitely.
    pub urgent: bool,
}

#[derive(Clone, Debug)]
struct Pin {
    instance: ArcStr,
    // Highest id of the granted requests for this instance.
    id: u64,
    until: Tick,
    running: u32,
    uses: u32,
    idle_since: Tick,
}

/// This host's view of the engines and the pins that it holds.
#[derive(Debug)]
pub struct Router {
    host: Incarnation,
    engines: BTreeMap<ArcStr, EngineView>,
    // Not by instance: the pin of a new instance name replaces that of the old one.
    pins: BTreeMap<(ArcStr, AdapterVersion), Pin>,
    // Highest id of the released pins, and when it was released. Pins with this id or a lower one
    // are not valid, even if their grant arrives later.
    released: BTreeMap<(ArcStr, AdapterVersion), (u64, Tick)>,
    // Pins with this id or a lower one are not valid for any engine and target.
    released_floor: u64,
}

impl Router {
    /// A router without engines for the process `host`.
    pub fn new(host: Incarnation) -> Self {
        Self {
            host,
            engines: BTreeMap::new(),
            pins: BTreeMap::new(),
            released: BTreeMap::new(),
            released_floor: 0,
        }
    }

    /// Replaces the list of engines, keeping the state of those that stay.
    pub fn configure(&mut self, specs: Vec<Spec>) {
        let mut old = std::mem::take(&mut self.engines);
        for s in specs {
            let mut v = old.remove(&s.name).unwrap_or_else(|| EngineView::new(s.clone()));
            let name = s.name.clone();
            v.spec = s;
            self.engines.insert(name, v);
        }
    }

    /// Updates the view of an engine with its report.
    pub fn report(&mut self, now: Tick, r: &Report) {
        if let Some(v) = self.engines.get_mut(&r.engine) {
            v.report(now, r);
        }
    }

    /// Adds a pin that lasts from the time its request was sent. Returns its release if this host
    /// cannot use it.
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

    /// Drops a pin after the answer "unknown instance" or "fenced". Requests that already run under
    /// it go on.
    pub fn drop_pin(&mut self, now: Tick, engine: &ArcStr, target: &AdapterVersion) {
        // The entry is kept, so that a new pin of the same instance still counts these requests.
        if let Some(p) = self.pins.get_mut(&(engine.clone(), target.clone())) {
            p.until = now;
        }
        if let Some(v) = self.engines.get_mut(engine) {
            v.remove_resident(target);
        }
    }

    /// Chooses an engine. `random` has to differ between hosts and calls.
    pub fn pick(&self, now: Tick, need: &Requirements<'_>, random: u64) -> RouteDecision {
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
        let available: Vec<(&ArcStr, &EngineView)> =
            replicas.iter().copied().filter(|(_, v)| v.has_capacity(now, need.class)).collect();
        if let Some(engine) = self.choose_replica(now, need, &available, random) {
            return match self.usable_pin(now, engine, need) {
                Some(p) => {
                    RouteDecision::Run { engine: engine.clone(), instance: p.instance.clone() }
                }
                None => RouteDecision::Pin { engine: engine.clone(), load: false },
            };
        }
        if replicas.is_empty() {
            return match self.engine_for_load(now, need, &usable) {
                Some(engine) => RouteDecision::Pin { engine: engine.clone(), load: true },
                None => RouteDecision::Unavailable,
            };
        }
        RouteDecision::Wait
    }

    /// Engine on which to load another replica, if one is justified: the demand fills the present
    /// ones, or a request has waited for [`EXTRA_REPLICA_WAIT`] because their engines are full.
    pub fn extra_replica(
        &self,
        now: Tick,
        need: &Requirements<'_>,
        waited: Duration,
    ) -> Option<ExtraReplica> {
        let all = || self.engines.iter().filter(|(_, v)| v.serves(need.model));
        let present: Vec<&EngineView> =
            all().filter(|(_, v)| v.has_resident(need.target)).map(|(_, v)| v).collect();
        let batch: u32 = present.iter().map(|v| v.spec.batch).sum();
        let demand: f64 = present.iter().map(|v| v.demand(need.target)).sum();
        let full = waited >= EXTRA_REPLICA_WAIT
            && present.iter().all(|v| !v.has_capacity(now, need.class));
        if present.is_empty() || !full && demand <= REPLICA_FILL * f64::from(batch) {
            return None;
        }
        // A replica on a full engine could not be used and would evict an adapter that is.
        let useful = |n: &ArcStr, v: &EngineView| {
            !v.has_resident(need.target)
                && !need.avoid.contains(n)
                && v.has_capacity(now, need.class)
        };
        let rest: Vec<(&ArcStr, &EngineView)> = all().filter(|(n, v)| useful(n, v)).collect();
        let engine = self.engine_for_load(now, need, &rest)?.clone();
        Some(ExtraReplica { engine, urgent: full })
    }

    /// Records that a request is sent to an engine, under this host's pin if there is one.
    pub fn request_started(&mut self, now: Tick, engine: &ArcStr, target: &AdapterVersion) {
        if let Some(v) = self.engines.get_mut(engine) {
            v.started(now, target);
        }
        if let Some(p) = self.pins.get_mut(&(engine.clone(), target.clone())) {
            p.running += 1;
            p.uses += 1;
        }
    }

    /// Records that a request on an engine has ended.
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

    /// Keeps the pins of adapter versions for which requests wait from counting as idle. Otherwise
    /// an adapter loaded on a busy engine would be evicted before its requests get a slot there.
    pub fn keep_pins(&mut self, now: Tick, targets: &BTreeSet<AdapterVersion>) {
        for ((_, target), p) in &mut self.pins {
            if targets.contains(target) {
                p.idle_since = now;
            }
        }
    }

    /// Releases the pins that have had no request for a while, or with `all`, at shutdown, every
    /// pin without a running request.
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
        // Pins that were requested before the release expire within `PIN_DURATION`.
        self.released.retain(|_, (_, t)| now.since(*t) < PIN_DURATION);
        if self.released.len() > MAX_PINS {
            self.released_floor =
                self.released.values().map(|(id, _)| *id).fold(self.released_floor, u64::max);
            self.released.clear();
        }
    }

    /// Replicas of an adapter version in this host's view, for operators.
    pub fn replicas(&self, now: Tick, target: &AdapterVersion) -> Vec<ReplicaInfo> {
        self.engines.iter().filter_map(|(n, v)| v.replica_info(now, n, target)).collect()
    }

    fn usable_pin(&self, now: Tick, engine: &ArcStr, need: &Requirements<'_>) -> Option<&Pin> {
        let p = self.pins.get(&(engine.clone(), need.target.clone()))?;
        (now < p.until && need.deadline < p.until).then_some(p)
    }

    // Prefers pinned replicas, then the one with the prompt's prefix, then the less loaded of two
    // random ones. Both may be the same one, so that of two replicas, hosts with the same outdated
    // view do not all choose the less loaded one.
    fn choose_replica<'a>(
        &self,
        now: Tick,
        need: &Requirements<'_>,
        available: &[(&'a ArcStr, &'a EngineView)],
        random: u64,
    ) -> Option<&'a ArcStr> {
        let with_pin: Vec<_> = available
            .iter()
            .copied()
            .filter(|(n, _)| self.usable_pin(now, n, need).is_some())
            .collect();
        let from = if with_pin.is_empty() { available } else { &with_pin };
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

    // Chooses an engine for a load by rendezvous hashing with bounded loads. Hosts with similar
    // views choose the same engine, so that an adapter is not loaded on a different one by each.
    fn engine_for_load<'a>(
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

// Must give the same result on all hosts and in all versions of the program.
fn rendezvous_weight(target: &AdapterVersion, engine: &ArcStr) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for part in [target.adapter.as_bytes(), target.version.as_bytes(), engine.as_bytes()] {
        for b in part.iter().chain(&[0xff]) {
            h = (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    // FNV-1a gives similar hashes for names that differ only in the last byte.
    mix(h)
}

// Finalizer of SplitMix64: each bit of the input affects all bits of the result.
fn mix(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
