//! Adapters on the engines that this host controls.
//!
//! Hosts ask for pins; an instance is unloaded only when no pin and no reported request is on it.
//! Pins outlive their instance, their host and this host's lease, so that losing any of these never
//! makes an instance look idle while a request may still run on it.

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

/// Duration of a pin.
pub const PIN_DURATION: Duration = Duration::from_secs(150);

/// How long a report may still miss the effect of a command that has been answered.
const MAX_REPORT_LAG: Duration = Duration::from_secs(5);

/// How long an unanswered command may still arrive at its engine. An instance name with an
/// unanswered unload is not used for that long.
const MAX_COMMAND_DELAY: Duration = PIN_DURATION;

/// A command without an answer counts as unknown after this time.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// Loads of one adapter version that fail on one engine before its requests are sent elsewhere.
const MAX_LOAD_FAILURES: u32 = 2;

/// Back-off after the first failed load; it doubles with every further one.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest back-off. It is also how long an engine is avoided after [`MAX_LOAD_FAILURES`].
const BACKOFF_MAX: Duration = Duration::from_secs(15);

/// Pause before another attempt to raise an engine's fence, or after it had no free slot.
const ENGINE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A permit that no load has used after this time is dropped, so that permits do not add up to a
/// burst above the weight store's rate.
const PERMIT_TTL: Duration = Duration::from_secs(1);

/// A permit request without an answer is repeated after this time.
const PERMIT_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A report without a successor is not used for the number of replicas after this time.
const RESIDENTS_TTL: Duration = Duration::from_secs(30);

/// Pin requests that wait at once. Further ones are refused and their hosts try elsewhere.
const MAX_WAITERS: usize = 4096;

/// Name in the command that raises an engine's fence. Instance names contain a colon, so no
/// instance has it.
const FENCE_INSTANCE: ArcStr = arcstr::literal!("fence");

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// Adapter.
    pub adapter: ArcStr,
    /// Version.
    pub version: ArcStr,
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.adapter, self.version)
    }
}

impl AdapterVersion {
    /// Name of its instance on an engine that checks fencing numbers or one that does not.
    pub fn instance(&self, fencing: bool, generation: Generation) -> ArcStr {
        if fencing {
            return ArcStr::from(self.to_string());
        }
        ArcStr::from(format!("{self}:g{}", generation.0))
    }

    /// Reads an instance name.
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
    /// Adapter slots.
    pub slots: u32,
    /// Whether it refuses commands with an old fencing number.
    pub fencing: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Request of a host for a pin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRequest {
    /// Process that asks.
    pub host: Incarnation,
    /// Rises with every request of that process; the answer carries it.
    pub id: u64,
    /// Engine.
    pub engine: ArcStr,
    /// Base model of the adapter.
    pub model: ArcStr,
    /// Adapter version.
    pub target: AdapterVersion,
    /// Class of the adapter's requests; `status` is loaded first.
    pub class: Class,
    /// How long the host waits for the answer.
    pub wait: Duration,
    /// Requests that wait for the pin; 0 for a prefetch.
    pub requests: u32,
}

/// Release of all pins of a host on an instance up to the one with `id`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRelease {
    /// Process that held the pins.
    pub host: Incarnation,
    /// Highest id that this process has used for the instance.
    pub id: u64,
    /// Engine.
    pub engine: ArcStr,
    /// Instance.
    pub instance: ArcStr,
    /// Requests that ran under the pins, for the choice of evictions.
    pub uses: u32,
}

/// What an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Engine.
    pub engine: ArcStr,
    /// Boot id.
    pub boot: u64,
    /// Resident instances with their running requests.
    pub resident: Vec<(ArcStr, u32)>,
}

/// Result of a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// Loaded.
    Loaded,
    /// The engine could not load it.
    Failed,
    /// The engine has no free slot.
    NoSlot,
    /// The fencing number is old: this host has been replaced.
    Fenced,
    /// No answer; the load may still happen.
    Unknown,
}

/// Result of an unload command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadResult {
    /// Not resident any more.
    Unloaded,
    /// The fencing number is old: this host has been replaced.
    Fenced,
    /// No answer; the unload may still happen.
    Unknown,
}

/// Input of [`Placement::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The engines that this host's ordinal controls.
    Configure(Vec<Spec>),
    /// This host's share of the loads in flight.
    MaxLoads(u32),
    /// The group is started for the first time under this generation, so nobody has pinned
    /// anything before. To be sent before [`Event::Held`].
    FirstGeneration(Generation),
    /// The lease of the ordinal was obtained or renewed.
    LeaseHeld {
        /// Generation.
        generation: Generation,
        /// End of the lease.
        until: Tick,
    },
    /// The lease was lost.
    LeaseLost,
    /// A host asks for a pin.
    Pin(PinRequest),
    /// A host releases its pins.
    Unpin(PinRelease),
    /// A process of a host has ended. Its pins stay until they expire, because its requests may
    /// still run on engines.
    ProcessEnded(Incarnation),
    /// An engine reported, controlled by this host or not: the others' residents tell where replicas
    /// are.
    Report(Report),
    /// An engine answered a request with "unknown instance".
    UnknownInstance {
        /// Engine.
        engine: ArcStr,
        /// Instance.
        instance: ArcStr,
    },
    /// A load command ended.
    LoadEnded {
        /// Number of the command.
        command: u64,
        /// Result.
        result: LoadResult,
        /// Randomness for the back-off.
        random: u64,
    },
    /// An unload command ended.
    UnloadEnded {
        /// Number of the command.
        command: u64,
        /// Result.
        result: UnloadResult,
    },
    /// The weight store's allowance granted a load.
    Permit,
    /// The weight store's allowance has nothing left before `retry`.
    NoPermit {
        /// When to ask again.
        retry: Tick,
    },
    /// Time has passed; to be sent every 100 ms.
    Poll,
}

/// Output of [`Placement::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer a pin request.
    Answer {
        /// Process that asked.
        host: Incarnation,
        /// Id of its request.
        id: u64,
        /// Answer.
        answer: PinAnswer,
    },
    /// Load an instance.
    Load {
        /// Number of the command, for [`Event::Loaded`].
        command: u64,
        /// Engine.
        engine: ArcStr,
        /// Instance name.
        instance: ArcStr,
        /// Adapter version.
        target: AdapterVersion,
        /// Fencing number.
        fence: u64,
    },
    /// Unload an instance.
    Unload {
        /// Number of the command, for [`Event::Unloaded`].
        command: u64,
        /// Engine.
        engine: ArcStr,
        /// Instance name.
        instance: ArcStr,
        /// Fencing number.
        fence: u64,
    },
    /// Take one load from the weight store's allowance.
    RequestPermit,
}

/// Answer to a pin request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinAnswer {
    /// Pinned. The host counts the duration from the time it sent the request, less drift.
    Pinned {
        /// Instance name.
        instance: ArcStr,
        /// Duration.
        duration: Duration,
    },
    /// Not pinned.
    Refused {
        /// Why.
        reason: Reason,
        /// Whether another engine may be able to serve.
        elsewhere: bool,
    },
}

/// Why a pin request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// This host does not control the engine now.
    NoAuthority,
    /// The engine serves another base model.
    WrongModel,
    /// The engine is leaving.
    Leaving,
    /// Every slot of the engine is in use.
    Full,
    /// Loads of the adapter version fail on this engine.
    Failing,
    /// The instance name has an unanswered unload.
    Unsettled,
    /// Too many requests wait.
    Busy,
    /// The wait has passed.
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
enum Kind {
    Load,
    Unload,
    Fence,
}

#[derive(Clone, Debug)]
struct Command {
    engine: ArcStr,
    instance: ArcStr,
    kind: Kind,
    sent: Tick,
    generation: Generation,
    // Boot of the engine as reported when the command was sent.
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
    // Unload command that makes room for it.
    evicting: Option<u64>,
    has_permit: bool,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Tick,
}

type Key = (ArcStr, AdapterVersion);

/// State of the controlling host.
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
    // Engines that this host controlled under this generation, and when it ceased to: their pins
    // may last.
    retired: BTreeMap<ArcStr, Tick>,
    // Instances with an unanswered unload, and until when it may still arrive.
    unsettled: BTreeMap<(ArcStr, ArcStr), Tick>,
    next_command: u64,
    // Permits that no want has taken, by the time they were granted.
    permits: Vec<Tick>,
    permit_requested: Option<Tick>,
    permit_after: Tick,
    scores: Scores,
    // Resident adapter versions of every engine that reports.
    residents: BTreeMap<ArcStr, (Tick, BTreeSet<AdapterVersion>)>,
}

/// State of an instance, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InstanceInfo {
    /// Engine.
    pub engine: ArcStr,
    /// Instance name.
    pub instance: ArcStr,
    /// State.
    pub state: &'static str,
    /// Pins that have not expired.
    pub pins: usize,
    /// Running requests in the last report.
    pub running: u32,
    /// Requests waiting for it.
    pub waiting: usize,
}

impl Placement {
    /// No engines and no authority.
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

    /// Takes an event in and appends what has to be done to `out`.
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

    /// Instances of an adapter on the engines of this host.
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

    /// Load commands whose end is not known.
    pub fn loads_in_flight(&self) -> usize {
        let sent = self.commands.values().filter(|c| c.kind == Kind::Load).count();
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
        // With another generation, pins of a holder in between may exist.
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
            // The host has given up: a request of it that still waits must not make a new pin.
            if let Some(w) = self.pending.get_mut(&(u.engine.clone(), target)) {
                w.waiters.retain(|w| w.host != u.host || w.id > u.id);
            }
        }
    }

    fn report(&mut self, now: Tick, r: &Report) {
        // An instance name tells by its form whether the engine checks fencing numbers.
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
        let raised = e.boot() == c.boot;
        let target = e.instances.get(&c.instance).and_then(|i| i.target.clone());
        let key = target.map(|t| (c.engine.clone(), t));
        match result {
            LoadResult::Loaded => {
                e.fence_raised |= raised;
                e.set_state(now, &c.instance, State::Resident);
                if let Some(k) = key {
                    self.failures.remove(&k);
                }
            }
            LoadResult::Failed => {
                e.fence_raised |= raised;
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
        // Half fixed and half random: hosts whose loads failed together come back apart.
        let part = (random >> 32) as f64 / f64::from(u32::MAX);
        f.retry_at = now + longest.mul_f64(0.5 + 0.5 * part);
    }

    fn unload_ended(&mut self, now: Tick, command: u64, result: UnloadResult) {
        let Some(c) = self.commands.remove(&command) else { return };
        for w in self.pending.values_mut().filter(|w| w.evicting == Some(command)) {
            w.evicting = None;
        }
        if (c.kind, result) == (Kind::Unload, UnloadResult::Unknown) {
            self.unsettled.insert((c.engine.clone(), c.instance.clone()), now + MAX_COMMAND_DELAY);
        }
        let current = self.generation == Some(c.generation);
        let Some(e) = self.engines.get_mut(&c.engine).filter(|_| current) else { return };
        let raised = e.boot() == c.boot;
        match (c.kind, result) {
            (_, UnloadResult::Fenced) => {
                e.set_state(now, &c.instance, State::Resident);
                e.fence_rejected = true;
            }
            (Kind::Fence, UnloadResult::Unloaded) => e.fence_raised |= raised,
            (Kind::Fence, UnloadResult::Unknown) => e.fence_after = now + ENGINE_RETRY_DELAY,
            (_, UnloadResult::Unloaded) => {
                e.fence_raised |= raised;
                e.instances.remove(&c.instance);
                e.removed.insert(c.instance, now);
            }
            (_, UnloadResult::Unknown) => {
                e.set_state(now, &c.instance, State::Doubtful);
            }
        }
    }

    fn poll(&mut self, now: Tick) {
        let late: Vec<(u64, Kind)> = self
            .commands
            .iter()
            .filter(|(_, c)| now.since(c.sent) >= COMMAND_TIMEOUT)
            .map(|(n, c)| (*n, c.kind))
            .collect();
        for (n, kind) in late {
            match kind {
                Kind::Load => self.load_ended(now, n, LoadResult::Unknown, u64::MAX),
                Kind::Unload | Kind::Fence => self.unload_ended(now, n, UnloadResult::Unknown),
            }
        }
        for e in self.engines.values_mut() {
            e.expire(now);
        }
        self.unsettled.retain(|_, t| now < *t);
        self.retired.retain(|_, t| now < *t + plus_drift(PIN_DURATION + MAX_HANDOVER_OVERLAP));
        // A failure is forgotten once its back-off is over by as long again.
        self.failures.retain(|_, f| now <= f.retry_at + BACKOFF_MAX);
        self.scores.trim(now);
        self.residents.retain(|_, (t, _)| now.since(*t) < RESIDENTS_TTL);
    }

    // Answers what can be answered and starts the loads that can start.
    fn process_pending(&mut self, now: Tick, out: &mut Vec<Effect>) {
        self.permits.retain(|t| now.since(*t) < PERMIT_TTL);
        self.raise_fences(now, out);
        let prefetch = |w: &PendingPins| w.waiters.iter().all(|w| w.prefetch);
        let mut keys: Vec<(bool, bool, Tick, Key)> = self
            .pending
            .iter()
            .map(|(k, w)| (prefetch(w), w.class != Class::Status, w.since, k.clone()))
            .collect();
        // Waiting requests before prefetches, then status checks, then the oldest first.
        keys.sort();
        let mut blocked = false;
        for (prefetch, _, _, key) in keys {
            let Some(mut pins) = self.pending.remove(&key) else { continue };
            pins.waiters.retain(|w| {
                let wait = w.deadline > now;
                if !wait {
                    out.push(refusal(w.host, w.id, Reason::Expired));
                }
                wait
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
            if self.commands.values().any(|c| c.kind == Kind::Fence && c.engine == name) {
                continue;
            }
            let command = self.register_command(now, a, &name, &FENCE_INSTANCE, Kind::Fence);
            let fence = a.generation.0;
            out.push(Effect::Unload { command, engine: name, instance: FENCE_INSTANCE, fence });
        }
    }

    fn try_serve(
        &mut self,
        now: Tick,
        key: &Key,
        pins: &mut PendingPins,
        hold: bool,
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
            .any(|c| c.kind == Kind::Unload && c.engine == key.0 && c.instance == instance);
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
        // With other replicas, an eviction costs the share of its requests that run here.
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
        if hold || in_flight + kept_free >= self.max_loads.max(1) as usize {
            return ServeResult::Blocked;
        }
        if !pins.has_permit {
            if self.permits.pop().is_none() {
                self.request_permit(now, out);
                return ServeResult::Blocked;
            }
            pins.has_permit = true;
        }
        let kind = if victim.is_some() { Kind::Unload } else { Kind::Load };
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
        kind: Kind,
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
    // Waits for a permit or a load in flight; prefetches behind it wait too.
    Blocked,
}

fn refusal(host: Incarnation, id: u64, reason: Reason) -> Effect {
    let answer = PinAnswer::Refused { reason, elsewhere: reason.elsewhere() };
    Effect::Answer { host, id, answer }
}
