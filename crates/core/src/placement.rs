//! Decides which adapters are loaded on the engines that this host controls.
//!
//! An adapter version loaded on an engine is an instance. Hosts request pins on instances before
//! they send requests to them, and an instance is unloaded only if it has no pin and no running
//! request in the engine's report. Pins outlive their instance, the host that holds them and this
//! host's lease: after the loss of any of these, a request may still run on the instance.

mod engine;
mod score;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use self::{
    engine::{Engine, MAX_HANDOVER_OVERLAP, Slot, State},
    score::Scores,
};
use crate::{
    ids::{Generation, Incarnation},
    rules::Class,
    time::{Tick, plus_drift},
};

/// How long a pin lasts if it is not released or renewed.
pub const PIN_DURATION: Duration = Duration::from_secs(150);

/// How long after the answer to a command a report may still show the state before it.
const MAX_REPORT_LAG: Duration = Duration::from_secs(5);

/// How long an unanswered command may still reach its engine. An instance name with an unanswered
/// unload is not used for that long.
const MAX_COMMAND_DELAY: Duration = PIN_DURATION;

/// The result of a command without an answer is unknown after this time.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// Failed loads of one adapter version on one engine after which its pin requests are refused, so
/// that hosts use other engines.
const MAX_LOAD_FAILURES: u32 = 2;

/// Shortest back-off after the first failed load; it doubles with every further one.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest back-off, and the longest time that an engine is avoided after [`MAX_LOAD_FAILURES`].
const BACKOFF_MAX: Duration = Duration::from_secs(15);

/// Delay before the next command to an engine that had no free slot, or that did not answer when
/// its fencing token was raised.
const ENGINE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Unused load permits expire after this time. Otherwise they would add up to a burst above the
/// weight store's rate.
const PERMIT_TTL: Duration = Duration::from_secs(1);

/// An unanswered permit request is repeated after this time.
const PERMIT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Age at which an engine's last report no longer counts for the number of replicas of an adapter.
const RESIDENTS_TTL: Duration = Duration::from_secs(30);

/// Pin requests that may wait at once. Further ones are refused, and their hosts try other engines.
const MAX_WAITERS: usize = 4096;

/// Instance name in the command that raises an engine's fencing token. The names of instances
/// contain a colon, so no instance has this one.
const FENCE_INSTANCE: ArcStr = arcstr::literal!("fence");

/// An adapter at one of its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// Name of the adapter.
    pub adapter: ArcStr,
    /// One of its configured versions.
    pub version: ArcStr,
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.adapter, self.version)
    }
}

impl AdapterVersion {
    /// Name of its instance on an engine that checks fencing tokens (`fencing`) or does not. In the
    /// second case the name contains the generation, so that no earlier holder uses the same name.
    pub fn instance(&self, fencing: bool, generation: Generation) -> ArcStr {
        if fencing {
            return ArcStr::from(self.to_string());
        }
        ArcStr::from(format!("{self}:g{}", generation.0))
    }

    /// Parses an instance name. `None` if it is not one that [`Self::instance`] gives.
    pub fn parse(instance: &str, fencing: bool) -> Option<Self> {
        let base = if fencing {
            instance
        } else {
            let (base, g) = instance.rsplit_once(":g")?;
            g.parse::<u64>().ok()?;
            base
        };
        let (adapter, version) = base.rsplit_once(':')?;
        Some(Self { adapter: ArcStr::from(adapter), version: ArcStr::from(version) })
    }
}

/// An engine that this host controls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Name of the engine.
    pub name: ArcStr,
    /// Base model.
    pub model: ArcStr,
    /// Instances that it can hold.
    pub slots: u32,
    /// Whether it refuses commands with a lower fencing token than it has seen.
    pub fencing: bool,
    /// Whether it is being taken out of service. It gets no new pins.
    pub leaving: bool,
}

/// A host's request for a pin on an instance, which is loaded first if necessary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRequest {
    /// Process of the requesting host.
    pub host: Incarnation,
    /// Increases with every request of that process; the answer repeats it.
    pub id: u64,
    /// Engine on which to pin.
    pub engine: ArcStr,
    /// Base model of the adapter.
    pub model: ArcStr,
    /// Adapter version to pin.
    pub target: AdapterVersion,
    /// Class of the adapter's requests. Adapters of the `status` class are loaded first.
    pub class: Class,
    /// How long the host waits for the answer.
    pub wait: Duration,
    /// Number of requests that wait for the pin; 0 for a prefetch.
    pub requests: u32,
}

/// Release of all pins of a host on an instance with ids up to `id`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRelease {
    /// Process that holds the pins.
    pub host: Incarnation,
    /// Highest id of a pin request by that process for the instance.
    pub id: u64,
    /// Engine of the instance.
    pub engine: ArcStr,
    /// Name of the instance.
    pub instance: ArcStr,
    /// Number of requests that ran under the pins. Evictions prefer instances with fewer.
    pub uses: u32,
}

/// An engine's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the engine.
    pub engine: ArcStr,
    /// Boot id, which changes when the engine restarts.
    pub boot: u64,
    /// Names of the resident instances, each with its number of running requests.
    pub resident: Vec<(ArcStr, u32)>,
}

/// Result of a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// The instance is resident.
    Loaded,
    /// The engine could not load it.
    Failed,
    /// The engine has no free slot.
    NoSlot,
    /// The fencing token is outdated: this host has been replaced.
    Fenced,
    /// No answer; the load may still happen.
    Unknown,
}

/// Result of an unload command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadResult {
    /// The instance is not resident any more.
    Unloaded,
    /// The fencing token is outdated: this host has been replaced.
    Fenced,
    /// No answer; the unload may still happen.
    Unknown,
}

/// Input of [`Placement::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engines that this host's ordinal controls. They replace the previous list.
    Configure(Vec<Spec>),
    /// Loads that this host may have in flight at once.
    MaxLoads(u32),
    /// The group starts for the first time with this generation, so no earlier holder has granted
    /// pins. To be sent before [`Event::LeaseHeld`].
    FirstGeneration(Generation),
    /// The lease of the ordinal was obtained or renewed.
    LeaseHeld {
        /// Generation of the lease; also the fencing token.
        generation: Generation,
        /// End of the lease.
        until: Tick,
    },
    /// The lease of the ordinal was lost.
    LeaseLost,
    /// A host requests a pin.
    Pin(PinRequest),
    /// A host releases its pins.
    Unpin(PinRelease),
    /// A host's process has ended. Its pins stay until they expire, because its requests may still
    /// run on engines.
    ProcessEnded(Incarnation),
    /// An engine reported, whether this host controls it or not. Reports of other hosts' engines
    /// show where there are replicas.
    Report(Report),
    /// An engine answered a request with "unknown instance".
    UnknownInstance {
        /// Name of the engine.
        engine: ArcStr,
        /// Name of the instance in the request.
        instance: ArcStr,
    },
    /// A load command was answered or timed out.
    LoadEnded {
        /// Number of the command.
        command: u64,
        /// Answer of the engine.
        result: LoadResult,
        /// Random number for the jitter of the back-off.
        random: u64,
    },
    /// An unload command was answered or timed out.
    UnloadEnded {
        /// Number of the command.
        command: u64,
        /// Answer of the engine.
        result: UnloadResult,
    },
    /// The weight store's allowance permits one load.
    Permit,
    /// The weight store's allowance permits no load before `retry`.
    NoPermit {
        /// When to request a permit again.
        retry: Tick,
    },
    /// Timer, to be sent every 100 ms.
    Poll,
}

/// Output of [`Placement::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer a pin request.
    Answer {
        /// Process that sent the request.
        host: Incarnation,
        /// Id of the request.
        id: u64,
        /// Answer to send.
        answer: PinAnswer,
    },
    /// Load an instance.
    Load {
        /// Number of the command, for [`Event::LoadEnded`].
        command: u64,
        /// Name of the engine.
        engine: ArcStr,
        /// Name of the instance.
        instance: ArcStr,
        /// Adapter version to load.
        target: AdapterVersion,
        /// Fencing token.
        fence: u64,
    },
    /// Unload an instance.
    Unload {
        /// Number of the command, for [`Event::UnloadEnded`].
        command: u64,
        /// Name of the engine.
        engine: ArcStr,
        /// Name of the instance.
        instance: ArcStr,
        /// Fencing token.
        fence: u64,
    },
    /// Request one load from the weight store's allowance.
    RequestPermit,
}

/// Answer to a pin request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinAnswer {
    /// The instance is pinned.
    Pinned {
        /// Name of the instance.
        instance: ArcStr,
        /// How long the pin lasts. The host counts it from the time that it sent the request, and
        /// subtracts the clock drift.
        duration: Duration,
    },
    /// The instance is not pinned.
    Refused {
        /// Why it is not.
        reason: Reason,
        /// Whether another engine may be able to run the requests.
        elsewhere: bool,
    },
}

/// Why a pin request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// This host does not hold the lease that controls the engine.
    NoAuthority,
    /// The engine serves another base model.
    WrongModel,
    /// The engine is being taken out of service.
    Leaving,
    /// Every slot of the engine is in use by an instance that cannot be evicted.
    Full,
    /// Loads of the adapter version fail on this engine.
    Failing,
    /// An unload of the same instance name is unanswered and may still happen.
    Unsettled,
    /// Too many pin requests wait.
    Busy,
    /// The request waited for longer than its host would.
    Expired,
}

impl Reason {
    fn elsewhere(self) -> bool {
        !matches!(self, Self::Expired)
    }
}

#[derive(Clone, Copy, Debug)]
struct Authority {
    generation: Generation,
    until: Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandKind {
    Load,
    Unload,
    Fence,
}

#[derive(Clone, Debug)]
struct Command {
    engine: ArcStr,
    instance: ArcStr,
    kind: CommandKind,
    sent: Tick,
    generation: Generation,
    // Boot id of the engine when the command was sent.
    boot: Option<u64>,
}

#[derive(Clone, Debug)]
struct Waiter {
    host: Incarnation,
    id: u64,
    deadline: Tick,
    prefetch: bool,
}

#[derive(Clone, Debug)]
struct PendingPins {
    waiters: Vec<Waiter>,
    class: Class,
    since: Tick,
    // Unload command that makes room for the instance.
    evicting: Option<u64>,
    has_permit: bool,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Tick,
}

// Engine and adapter version.
type Key = (ArcStr, AdapterVersion);

/// Placement of adapters on the engines that this host controls.
#[derive(Debug)]
pub struct Placement {
    authority: Option<Authority>,
    generation: Option<Generation>,
    first_generation: Option<Generation>,
    max_loads: u32,
    engines: BTreeMap<ArcStr, Engine>,
    pending: BTreeMap<Key, PendingPins>,
    failures: BTreeMap<Key, Failure>,
    commands: BTreeMap<u64, Command>,
    // Engines that this host controlled earlier in this generation, and until when. Their pins may
    // not have expired.
    retired: BTreeMap<ArcStr, Tick>,
    // Engine and instance of unanswered unloads, and until when they may still arrive.
    unsettled: BTreeMap<(ArcStr, ArcStr), Tick>,
    next_command: u64,
    // Times at which the unused permits were granted.
    permits: Vec<Tick>,
    permit_requested: Option<Tick>,
    permit_after: Tick,
    scores: Scores,
    // Resident adapter versions of each engine in its last report, and when that arrived.
    residents: BTreeMap<ArcStr, (Tick, BTreeSet<AdapterVersion>)>,
}

/// An instance as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InstanceInfo {
    /// Name of the engine.
    pub engine: ArcStr,
    /// Name of the instance.
    pub instance: ArcStr,
    /// `loading`, `resident`, `unloading` or `doubtful` (the last command had no answer).
    pub state: &'static str,
    /// Number of pins that have not expired.
    pub pins: usize,
    /// Number of running requests in the last report.
    pub running: u32,
    /// Number of pin requests that wait for it.
    pub waiting: usize,
}

impl Placement {
    /// A placement without engines or a lease.
    pub fn new() -> Self {
        Self {
            authority: None,
            generation: None,
            first_generation: None,
            max_loads: 1,
            engines: BTreeMap::new(),
            pending: BTreeMap::new(),
            failures: BTreeMap::new(),
            commands: BTreeMap::new(),
            retired: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            next_command: 1,
            permits: Vec::new(),
            permit_requested: None,
            permit_after: Tick(0),
            scores: Scores::default(),
            residents: BTreeMap::new(),
        }
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Configure(specs) => self.configure(now, specs),
            Event::MaxLoads(n) => self.max_loads = n,
            Event::FirstGeneration(g) => self.first_generation = Some(g),
            Event::LeaseHeld { generation, until } => self.lease_held(now, generation, until),
            Event::LeaseLost => self.authority = None,
            Event::Pin(r) => self.pin(now, r, out),
            Event::Unpin(u) => self.unpin(now, &u),
            Event::ProcessEnded(host) => {
                for w in self.pending.values_mut() {
                    w.waiters.retain(|w| w.host != host);
                }
            }
            Event::Report(r) => self.report(now, &r),
            Event::UnknownInstance { engine, instance } => {
                if let Some(e) = self.engines.get_mut(&engine) {
                    e.instance_missing(now, &instance);
                }
            }
            Event::LoadEnded { command, result, random } => {
                self.load_ended(now, command, result, random);
            }
            Event::UnloadEnded { command, result } => self.unload_ended(now, command, result),
            Event::Permit => {
                self.permit_requested = None;
                self.permits.push(now);
            }
            Event::NoPermit { retry } => {
                self.permit_requested = None;
                self.permit_after = retry;
            }
            Event::Poll => self.poll(now),
        }
        self.process_pending(now, out);
    }

    /// Instances of an adapter on the engines of this host, for operators.
    pub fn explain(&self, now: Tick, adapter: &str) -> Vec<InstanceInfo> {
        let mut all = Vec::new();
        for (engine, e) in &self.engines {
            for (name, i) in &e.instances {
                let Some(target) = i.target.as_ref().filter(|t| t.adapter == adapter) else {
                    continue;
                };
                all.push(InstanceInfo {
                    engine: engine.clone(),
                    instance: name.clone(),
                    state: i.state.name(),
                    pins: e.pin_count(now, name),
                    running: i.running,
                    waiting: self
                        .pending
                        .get(&(engine.clone(), target.clone()))
                        .map_or(0, |w| w.waiters.len()),
                });
            }
        }
        all
    }

    /// Number of load commands that have not ended or whose result is unknown.
    pub fn loads_in_flight(&self) -> usize {
        let sent = self.commands.values().filter(|c| c.kind == CommandKind::Load).count();
        sent + self.engines.values().map(Engine::doubtful_loads).sum::<usize>()
    }

    fn configure(&mut self, now: Tick, specs: Vec<Spec>) {
        let mut old = std::mem::take(&mut self.engines);
        for s in specs {
            let same = |e: &Engine| e.spec.fencing == s.fencing && e.spec.model == s.model;
            let e = match old.remove(&s.name) {
                Some(mut e) if same(&e) => {
                    e.spec = s.clone();
                    e
                }
                e => {
                    let known = e.is_some() || self.retired.contains_key(&s.name);
                    Engine::new(s.clone(), now, known)
                }
            };
            self.engines.insert(s.name, e);
        }
        self.retired.extend(old.into_keys().map(|n| (n, now)));
    }

    fn lease_held(&mut self, now: Tick, generation: Generation, until: Tick) {
        // Between two generations of this host, another holder may have granted pins.
        if self.generation != Some(generation) {
            self.generation = Some(generation);
            for e in self.engines.values_mut() {
                *e = Engine::new(e.spec.clone(), now, false);
                e.no_prior_pins |= self.first_generation == Some(generation);
            }
            self.retired.clear();
            self.failures.clear();
            for w in self.pending.values_mut() {
                w.evicting = None;
            }
        }
        self.authority = Some(Authority { generation, until });
    }

    fn pin(&mut self, now: Tick, r: PinRequest, out: &mut Vec<Effect>) {
        let waiting: usize = self.pending.values().map(|w| w.waiters.len()).sum();
        let reason = match self.engines.get(&r.engine) {
            None => Some(Reason::NoAuthority),
            Some(e) if e.spec.model != r.model => Some(Reason::WrongModel),
            Some(_) if waiting >= MAX_WAITERS => Some(Reason::Busy),
            Some(_) => None,
        };
        if let Some(reason) = reason {
            out.push(refusal(r.host, r.id, reason));
            return;
        }
        self.scores.set_class(now, &r.target, r.class);
        self.scores.add(now, &r.target, f64::from(r.requests));
        let pins = self.pending.entry((r.engine, r.target)).or_insert_with(|| PendingPins {
            waiters: Vec::new(),
            class: r.class,
            since: now,
            evicting: None,
            has_permit: false,
        });
        pins.waiters.retain(|w| (w.host, w.id) != (r.host, r.id));
        pins.waiters.push(Waiter {
            host: r.host,
            id: r.id,
            deadline: now + r.wait,
            prefetch: r.requests == 0,
        });
    }

    fn unpin(&mut self, now: Tick, u: &PinRelease) {
        let Some(e) = self.engines.get_mut(&u.engine) else { return };
        e.unpin(&u.instance, u.host, u.id);
        if let Some(target) = AdapterVersion::parse(&u.instance, e.spec.fencing) {
            self.scores.add(now, &target, f64::from(u.uses));
            // The host no longer waits for its earlier requests, so they must not create a pin.
            if let Some(w) = self.pending.get_mut(&(u.engine.clone(), target)) {
                w.waiters.retain(|w| w.host != u.host || w.id > u.id);
            }
        }
    }

    fn report(&mut self, now: Tick, r: &Report) {
        // The form of an instance name depends on whether the engine checks fencing tokens.
        let residents = r
            .resident
            .iter()
            .filter_map(|(n, _)| {
                AdapterVersion::parse(n, false).or_else(|| AdapterVersion::parse(n, true))
            })
            .collect();
        self.residents.insert(r.engine.clone(), (now, residents));
        if let Some(e) = self.engines.get_mut(&r.engine) {
            e.report(now, r);
        }
    }

    fn load_ended(&mut self, now: Tick, command: u64, result: LoadResult, random: u64) {
        let Some(c) = self.commands.remove(&command) else { return };
        let current = self.generation == Some(c.generation);
        let Some(e) = self.engines.get_mut(&c.engine).filter(|_| current) else { return };
        let same_boot = e.boot() == c.boot;
        let target = e.instances.get(&c.instance).and_then(|i| i.target.clone());
        let key = target.map(|t| (c.engine.clone(), t));
        match result {
            LoadResult::Loaded => {
                e.fence_raised |= same_boot;
                e.set_state(now, &c.instance, State::Resident);
                if let Some(k) = key {
                    self.failures.remove(&k);
                }
            }
            LoadResult::Failed => {
                e.fence_raised |= same_boot;
                e.instances.remove(&c.instance);
                if let Some(k) = key {
                    self.record_load_failure(now, k, random);
                }
            }
            LoadResult::NoSlot => {
                e.instances.remove(&c.instance);
                e.full_until = now + ENGINE_RETRY_DELAY;
            }
            LoadResult::Fenced => {
                e.instances.remove(&c.instance);
                e.fence_rejected = true;
            }
            LoadResult::Unknown => {
                e.set_state(now, &c.instance, State::Doubtful);
                if let Some(k) = key {
                    self.record_load_failure(now, k, random);
                }
            }
        }
    }

    fn record_load_failure(&mut self, now: Tick, key: Key, random: u64) {
        let f = self.failures.entry(key).or_insert(Failure { count: 0, retry_at: now });
        f.count += 1;
        let longest = BACKOFF_MIN.saturating_mul(1 << f.count.min(16)).min(BACKOFF_MAX);
        let longest = if f.count >= MAX_LOAD_FAILURES { BACKOFF_MAX } else { longest };
        // Half of the back-off is random, so that loads that failed together are not retried
        // together.
        let part = (random >> 32) as f64 / f64::from(u32::MAX);
        f.retry_at = now + longest.mul_f64(0.5 + 0.5 * part);
    }

    fn unload_ended(&mut self, now: Tick, command: u64, result: UnloadResult) {
        let Some(c) = self.commands.remove(&command) else { return };
        for w in self.pending.values_mut().filter(|w| w.evicting == Some(command)) {
            w.evicting = None;
        }
        if (c.kind, result) == (CommandKind::Unload, UnloadResult::Unknown) {
            self.unsettled.insert((c.engine.clone(), c.instance.clone()), now + MAX_COMMAND_DELAY);
        }
        let current = self.generation == Some(c.generation);
        let Some(e) = self.engines.get_mut(&c.engine).filter(|_| current) else { return };
        let same_boot = e.boot() == c.boot;
        match (c.kind, result) {
            (_, UnloadResult::Fenced) => {
                e.set_state(now, &c.instance, State::Resident);
                e.fence_rejected = true;
            }
            (CommandKind::Fence, UnloadResult::Unloaded) => e.fence_raised |= same_boot,
            (CommandKind::Fence, UnloadResult::Unknown) => e.fence_after = now + ENGINE_RETRY_DELAY,
            (_, UnloadResult::Unloaded) => {
                e.fence_raised |= same_boot;
                e.instances.remove(&c.instance);
                e.removed.insert(c.instance, now);
            }
            (_, UnloadResult::Unknown) => {
                e.set_state(now, &c.instance, State::Doubtful);
            }
        }
    }

    fn poll(&mut self, now: Tick) {
        let late: Vec<(u64, CommandKind)> = self
            .commands
            .iter()
            .filter(|(_, c)| now.since(c.sent) >= COMMAND_TIMEOUT)
            .map(|(n, c)| (*n, c.kind))
            .collect();
        for (n, kind) in late {
            match kind {
                CommandKind::Load => self.load_ended(now, n, LoadResult::Unknown, u64::MAX),
                CommandKind::Unload | CommandKind::Fence => {
                    self.unload_ended(now, n, UnloadResult::Unknown)
                }
            }
        }
        for e in self.engines.values_mut() {
            e.expire(now);
        }
        self.unsettled.retain(|_, t| now < *t);
        self.retired.retain(|_, t| now < *t + plus_drift(PIN_DURATION + MAX_HANDOVER_OVERLAP));
        // Failures still count for `BACKOFF_MAX` after their back-off.
        self.failures.retain(|_, f| now <= f.retry_at + BACKOFF_MAX);
        self.scores.trim(now);
        self.residents.retain(|_, (t, _)| now.since(*t) < RESIDENTS_TTL);
    }

    // Answers the pin requests whose instance is resident or that must be refused, and starts loads
    // and evictions for others as the limits allow.
    fn process_pending(&mut self, now: Tick, out: &mut Vec<Effect>) {
        self.permits.retain(|t| now.since(*t) < PERMIT_TTL);
        self.raise_fences(now, out);
        let prefetch = |w: &PendingPins| w.waiters.iter().all(|w| w.prefetch);
        let mut keys: Vec<(bool, bool, Tick, Key)> = self
            .pending
            .iter()
            .map(|(k, w)| (prefetch(w), w.class != Class::Status, w.since, k.clone()))
            .collect();
        // Sorts prefetches last, then the `status` class first, then by age.
        keys.sort();
        let mut blocked = false;
        for (prefetch, _, _, key) in keys {
            let Some(mut pins) = self.pending.remove(&key) else { continue };
            pins.waiters.retain(|w| {
                let waits = w.deadline > now;
                if !waits {
                    out.push(refusal(w.host, w.id, Reason::Expired));
                }
                waits
            });
            if pins.waiters.is_empty() {
                if pins.has_permit {
                    self.permits.push(now);
                }
                continue;
            }
            match self.try_serve(now, &key, &mut pins, prefetch && blocked, prefetch, out) {
                ServeResult::Answered(instance) => {
                    for w in pins.waiters {
                        let answer = PinAnswer::Pinned {
                            instance: instance.clone(),
                            duration: PIN_DURATION,
                        };
                        out.push(Effect::Answer { host: w.host, id: w.id, answer });
                    }
                    if pins.has_permit {
                        self.permits.push(now);
                    }
                }
                ServeResult::Refused(reason) => {
                    out.extend(pins.waiters.iter().map(|w| refusal(w.host, w.id, reason)));
                    if pins.has_permit {
                        self.permits.push(now);
                    }
                }
                ServeResult::Wait => {
                    self.pending.insert(key, pins);
                }
                ServeResult::Blocked => {
                    blocked = true;
                    self.pending.insert(key, pins);
                }
            }
        }
    }

    fn raise_fences(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let Some(a) = self.authority.filter(|a| now < a.until) else { return };
        for name in self.engines.keys().cloned().collect::<Vec<_>>() {
            let Some(e) = self.engines.get(&name).filter(|e| e.reported) else { continue };
            if e.fence_raised || e.fence_rejected || now < e.fence_after {
                continue;
            }
            if self.commands.values().any(|c| c.kind == CommandKind::Fence && c.engine == name) {
                continue;
            }
            let command = self.register_command(now, a, &name, &FENCE_INSTANCE, CommandKind::Fence);
            let fence = a.generation.0;
            out.push(Effect::Unload { command, engine: name, instance: FENCE_INSTANCE, fence });
        }
    }

    fn try_serve(
        &mut self,
        now: Tick,
        key: &Key,
        pins: &mut PendingPins,
        hold_back: bool,
        prefetch: bool,
        out: &mut Vec<Effect>,
    ) -> ServeResult {
        let Some(a) = self.authority.filter(|a| now < a.until) else {
            return ServeResult::Refused(Reason::NoAuthority);
        };
        let Some(e) = self.engines.get_mut(&key.0) else {
            return ServeResult::Refused(Reason::NoAuthority);
        };
        if e.fence_rejected {
            return ServeResult::Refused(Reason::NoAuthority);
        }
        if e.spec.leaving {
            return ServeResult::Refused(Reason::Leaving);
        }
        let instance = key.1.instance(e.spec.fencing, a.generation);
        if self.unsettled.contains_key(&(key.0.clone(), instance.clone())) {
            return ServeResult::Refused(Reason::Unsettled);
        }
        let unloading = self
            .commands
            .values()
            .any(|c| c.kind == CommandKind::Unload && c.engine == key.0 && c.instance == instance);
        if unloading || !e.fence_raised || !e.reported {
            return ServeResult::Wait;
        }
        match e.instances.get(&instance).map(|i| i.state) {
            Some(State::Resident) => {
                let until = now + plus_drift(PIN_DURATION);
                for w in &pins.waiters {
                    e.pin(&instance, w.host, w.id, until);
                }
                return ServeResult::Answered(instance);
            }
            Some(State::Loading | State::Doubtful | State::Unloading) => return ServeResult::Wait,
            None => {}
        }
        if let Some(f) = self.failures.get(key).filter(|f| now < f.retry_at) {
            if f.count >= MAX_LOAD_FAILURES {
                return ServeResult::Refused(Reason::Failing);
            }
            return ServeResult::Wait;
        }
        if pins.evicting.is_some() || now < e.full_until {
            return ServeResult::Wait;
        }
        let pending = &self.pending;
        let name = &key.0;
        let (scores, residents) = (&self.scores, &self.residents);
        // With replicas on other engines, an eviction costs only this replica's share of the
        // requests.
        let cost = |t: &AdapterVersion| {
            if pending.contains_key(&(name.clone(), t.clone())) {
                return None;
            }
            let others = residents.iter().filter(|(n, (_, c))| *n != name && c.contains(t)).count();
            Some(scores.get(now, t) / (1 + others) as f64)
        };
        let slot = e.find_slot(now, a.generation, cost);
        let worth_it = |victim: f64| !prefetch || victim < self.scores.get(now, &key.1);
        let victim = match slot {
            Slot::Free => None,
            Slot::Evict { instance, score } if worth_it(score) => Some(instance),
            Slot::Evict { .. } | Slot::None => return ServeResult::Refused(Reason::Full),
        };
        let in_flight =
            self.loads_in_flight() + self.pending.values().filter(|w| w.evicting.is_some()).count();
        let kept_free = usize::from(prefetch && self.max_loads > 1);
        if hold_back || in_flight + kept_free >= self.max_loads.max(1) as usize {
            return ServeResult::Blocked;
        }
        if !pins.has_permit {
            if self.permits.pop().is_none() {
                self.request_permit(now, out);
                return ServeResult::Blocked;
            }
            pins.has_permit = true;
        }
        let kind = if victim.is_some() { CommandKind::Unload } else { CommandKind::Load };
        let name = victim.as_ref().unwrap_or(&instance);
        let command = self.register_command(now, a, &key.0, name, kind);
        let Some(e) = self.engines.get_mut(&key.0) else { return ServeResult::Wait };
        let engine = key.0.clone();
        let fence = a.generation.0;
        match victim {
            Some(victim) => {
                e.set_state(now, &victim, State::Unloading);
                pins.evicting = Some(command);
                out.push(Effect::Unload { command, engine, instance: victim, fence });
            }
            None => {
                pins.has_permit = false;
                e.start_load(now, &instance, key.1.clone());
                let target = key.1.clone();
                out.push(Effect::Load { command, engine, instance, target, fence });
            }
        }
        ServeResult::Wait
    }

    fn register_command(
        &mut self,
        now: Tick,
        a: Authority,
        engine: &ArcStr,
        instance: &ArcStr,
        kind: CommandKind,
    ) -> u64 {
        let command = self.next_command;
        self.next_command += 1;
        let c = Command {
            engine: engine.clone(),
            instance: instance.clone(),
            kind,
            sent: now,
            generation: a.generation,
            boot: self.engines.get(engine).and_then(Engine::boot),
        };
        self.commands.insert(command, c);
        command
    }

    fn request_permit(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let pending = self.permit_requested.is_some_and(|t| now.since(t) < PERMIT_REQUEST_TIMEOUT);
        if pending || now < self.permit_after {
            return;
        }
        self.permit_requested = Some(now);
        out.push(Effect::RequestPermit);
    }
}

impl Default for Placement {
    fn default() -> Self {
        Self::new()
    }
}

enum ServeResult {
    Answered(ArcStr),
    Refused(Reason),
    Wait,
    // Waits for a permit or for a load to end. Prefetches later in the order wait too.
    Blocked,
}

fn refusal(host: Incarnation, id: u64, reason: Reason) -> Effect {
    let answer = PinAnswer::Refused { reason, elsewhere: reason.elsewhere() };
    Effect::Answer { host, id, answer }
}
