//! Simulation of several hosts with delayed views that use the decisions of this library.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use yuccawing_core::{
    ArcStr,
    ids::{Generation, Incarnation},
    placement::{
        self, AdapterVersion, Effect, Event, LoadResult, PinAnswer, PinRelease, PinRequest,
        Placement, UnloadResult,
    },
    queue::{Item, Limits, Queue, Running},
    route::{self, GrantedPin, Outcome as RequestOutcome, Requirements, RouteDecision, Router},
    rules::Class,
    time::Tick,
};

use crate::trace::{FleetShape, Outcome, Random, Trace};

const PEER_DELAY_US: u64 = 1_500;
const ENGINE_DELAY_US: u64 = 1_000;
const REPORT_INTERVAL_US: u64 = 250_000;
const REPORT_LAG_US: u64 = 300_000;
const POLL_INTERVAL_US: u64 = 100_000;
/// How long an engine that refused a pin for an adapter is not asked for it again.
const AVOID_US: u64 = 1_000_000;
/// Shortest time between a host's requests for additional replicas of one adapter.
const EXTRA_REPLICA_INTERVAL_US: u64 = 500_000;

enum SimEvent {
    Arrives(usize),
    Pin(usize, PinRequest),
    Answer(usize, u64, PinAnswer),
    Unpin(usize, PinRelease),
    Command(usize, Effect),
    LoadEnds(usize, u64, usize, ArcStr),
    ToHolder(usize, Event),
    Start(usize, usize, ArcStr),
    Ends(usize, usize, ArcStr),
    Ended(usize, usize, ArcStr, bool),
    Report(route::Report),
    ReportNow,
    Poll,
}

/// Why a pin is requested.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PinKind {
    Warm,
    Cold,
    Urgent,
    Prefetch,
}

impl PinKind {
    fn spread(self) -> bool {
        matches!(self, Self::Urgent | Self::Prefetch)
    }
}

struct Host {
    route: Router,
    queue: Queue<usize>,
    pending: BTreeMap<u64, (ArcStr, AdapterVersion, Tick, PinKind)>,
    avoid: BTreeMap<AdapterVersion, Vec<(ArcStr, u64)>>,
    running: BTreeMap<usize, Running>,
    next: u64,
    // When another replica was last requested.
    spread: BTreeMap<AdapterVersion, u64>,
}

struct Engine {
    resident: BTreeMap<ArcStr, u32>,
    loading: usize,
    running: u32,
    waiting: VecDeque<(usize, ArcStr)>,
}

struct Sim<'a> {
    trace: &'a Trace,
    shape: &'a FleetShape,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<SimEvent>>,
    free_payloads: Vec<usize>,
    random: Random,
    names: Vec<ArcStr>,
    engines: Vec<Engine>,
    hosts: Vec<Host>,
    holders: Vec<Placement>,
    tokens: f64,
    refilled: u64,
    in_flight: usize,
    // Whether each request has waited for a load.
    stalled: Vec<bool>,
    outcome: Outcome,
}

/// Runs a trace and returns its figures.
pub fn run(trace: &Trace, shape: &FleetShape) -> Outcome {
    let names: Vec<ArcStr> = (0..shape.engines).map(|i| ArcStr::from(format!("e{i:02}"))).collect();
    let mut sim = Sim {
        trace,
        shape,
        now: 0,
        sequence: 0,
        events: BinaryHeap::new(),
        payloads: Vec::new(),
        free_payloads: Vec::new(),
        random: Random(7),
        engines: names
            .iter()
            .map(|_| Engine {
                resident: BTreeMap::new(),
                loading: 0,
                running: 0,
                waiting: VecDeque::new(),
            })
            .collect(),
        hosts: Vec::new(),
        holders: Vec::new(),
        tokens: shape.rate,
        refilled: 0,
        in_flight: 0,
        stalled: vec![false; trace.requests.len()],
        outcome: Outcome::new(trace),
        names,
    };
    sim.set_up();
    while let Some(Reverse((at, _, i))) = sim.events.pop() {
        if at > trace.end {
            break;
        }
        sim.measure(at);
        sim.now = at;
        sim.free_payloads.push(i);
        if let Some(w) = sim.payloads[i].take() {
            sim.step(w);
        }
    }
    sim.outcome
}

impl Sim<'_> {
    fn set_up(&mut self) {
        for h in 0..self.shape.hosts {
            let host = Incarnation(h as u64);
            let mut route = Router::new(host);
            route.configure(
                self.names
                    .iter()
                    .map(|n| route::Spec {
                        name: n.clone(),
                        model: ArcStr::from("m"),
                        batch: self.shape.batch as u32,
                        reserved: 0,
                        fencing: true,
                        leaving: false,
                        controlled: true,
                    })
                    .collect(),
            );
            let limits = Limits {
                slots: (self.shape.engines * self.shape.batch) as u32,
                reserved: 0,
                per_account: 100_000,
                total: 100_000,
                token_rate: 50,
            };
            self.hosts.push(Host {
                route,
                queue: Queue::new(limits),
                pending: BTreeMap::new(),
                avoid: BTreeMap::new(),
                running: BTreeMap::new(),
                next: 1,
                spread: BTreeMap::new(),
            });
            self.holders.push(Placement::new());
            let specs = (0..self.shape.engines)
                .filter(|e| e % self.shape.hosts == h)
                .map(|e| placement::Spec {
                    name: self.names[e].clone(),
                    model: ArcStr::from("m"),
                    slots: self.shape.slots as u32,
                    fencing: true,
                    leaving: false,
                })
                .collect();
            let flight = (self.shape.flight / self.shape.hosts
                + usize::from(h < self.shape.flight % self.shape.hosts))
                as u32;
            self.send_event(h, Event::MaxLoads(flight));
            self.send_event(
                h,
                Event::LeaseHeld { generation: Generation(1), until: Tick(u64::MAX) },
            );
            self.send_event(h, Event::Configure(specs));
        }
        for i in 0..self.trace.requests.len() {
            // On engines with fencing, the first holder evicts nothing for a while. The hosts' clocks
            // start after that.
            self.schedule(self.trace.requests[i].at, SimEvent::Arrives(i));
        }
        self.schedule(0, SimEvent::ReportNow);
        self.schedule(0, SimEvent::Poll);
    }

    fn measure(&mut self, at: u64) {
        let engines: usize = self.engines.iter().map(|e| e.waiting.len()).sum();
        let waiting: usize = self.hosts.iter().map(|h| h.queue.len()).sum::<usize>() + engines;
        if waiting > 0 {
            let running: u32 = self.engines.iter().map(|e| e.running).sum();
            let slots = (self.shape.engines * self.shape.batch) as u128;
            self.outcome.used += u128::from(running) * u128::from(at - self.now);
            self.outcome.available += slots * u128::from(at - self.now);
        }
    }

    // Adds an offset after the start, so that pins of an earlier holder have expired.
    fn tick(&self) -> Tick {
        Tick(self.now + if self.now > 0 { 400_000_000 } else { 0 })
    }

    fn schedule(&mut self, delay: u64, w: SimEvent) {
        self.sequence += 1;
        let i = self.free_payloads.pop().unwrap_or_else(|| {
            self.payloads.push(None);
            self.payloads.len() - 1
        });
        self.payloads[i] = Some(w);
        self.events.push(Reverse((self.now + delay, self.sequence, i)));
    }

    fn engine(&self, name: &ArcStr) -> usize {
        self.names.iter().position(|n| n == name).expect("engine")
    }

    fn step(&mut self, w: SimEvent) {
        match w {
            SimEvent::Arrives(i) => {
                let r = self.trace.requests[i];
                let item = Item {
                    account: ArcStr::from("a"),
                    weight: 1,
                    class: Class::Interactive,
                    tokens: 100,
                    deadline: Tick(u64::MAX),
                    data: i,
                };
                let now = self.tick();
                self.hosts[r.host].queue.push(now, item).expect("room");
                self.dispatch(r.host);
            }
            SimEvent::Pin(holder, r) => self.send_event(holder, Event::Pin(r)),
            SimEvent::Answer(h, id, answer) => self.answered(h, id, answer),
            SimEvent::Unpin(holder, u) => self.send_event(holder, Event::Unpin(u)),
            SimEvent::Command(from, e) => self.command(from, e),
            SimEvent::LoadEnds(from, command, engine, instance) => {
                self.in_flight -= 1;
                self.engines[engine].loading -= 1;
                self.engines[engine].resident.insert(instance, 0);
                let random = self.random.next();
                let result = LoadResult::Loaded;
                self.schedule(
                    ENGINE_DELAY_US,
                    SimEvent::ToHolder(from, Event::LoadEnded { command, result, random }),
                );
            }
            SimEvent::ToHolder(holder, e) => self.send_event(holder, e),
            SimEvent::Start(e, i, instance) => self.start(e, i, instance),
            SimEvent::Ends(e, i, instance) => {
                let engine = &mut self.engines[e];
                engine.running -= 1;
                if let Some(n) = engine.resident.get_mut(&instance) {
                    *n -= 1;
                }
                self.schedule(ENGINE_DELAY_US, SimEvent::Ended(e, i, instance, true));
                if let Some((i, instance)) = self.engines[e].waiting.pop_front() {
                    self.begin_request(e, i, instance);
                }
            }
            SimEvent::Ended(e, i, instance, good) => self.ended(e, i, &instance, good),
            SimEvent::Report(r) => {
                let now = self.tick();
                for h in 0..self.shape.hosts {
                    self.hosts[h].route.report(now, &r);
                }
                let r = placement::Report { engine: r.engine, boot: r.boot, resident: r.resident };
                for h in 0..self.shape.hosts {
                    self.send_event(h, Event::Report(r.clone()));
                }
            }
            SimEvent::ReportNow => {
                for e in 0..self.shape.engines {
                    let engine = &self.engines[e];
                    let report = route::Report {
                        engine: self.names[e].clone(),
                        boot: 1,
                        running: engine.running,
                        waiting: engine.waiting.len() as u32,
                        resident: engine.resident.iter().map(|(n, r)| (n.clone(), *r)).collect(),
                    };
                    self.schedule(REPORT_LAG_US, SimEvent::Report(report));
                }
                self.schedule(REPORT_INTERVAL_US, SimEvent::ReportNow);
            }
            SimEvent::Poll => {
                let now = self.tick();
                for h in 0..self.shape.hosts {
                    self.send_event(h, Event::Poll);
                    let mut idle = Vec::new();
                    self.hosts[h].route.release_idle(now, false, &mut idle);
                    for u in idle {
                        let holder = self.engine(&u.engine) % self.shape.hosts;
                        self.schedule(PEER_DELAY_US, SimEvent::Unpin(holder, u));
                    }
                    self.dispatch(h);
                }
                self.schedule(POLL_INTERVAL_US, SimEvent::Poll);
            }
        }
    }

    fn send_event(&mut self, holder: usize, event: Event) {
        let now = self.tick();
        let mut out = Vec::new();
        self.holders[holder].handle(now, event, &mut out);
        for e in out {
            match e {
                Effect::Answer { host, id, answer } => {
                    self.schedule(PEER_DELAY_US, SimEvent::Answer(host.0 as usize, id, answer));
                }
                Effect::RequestPermit => {
                    let elapsed = (self.now - self.refilled) as f64 / 1e6;
                    self.tokens = (self.tokens + elapsed * self.shape.rate).min(self.shape.rate);
                    self.refilled = self.now;
                    let event = if self.tokens >= 1.0 {
                        self.tokens -= 1.0;
                        Event::Permit
                    } else {
                        Event::NoPermit { retry: now + Duration::from_millis(100) }
                    };
                    self.schedule(PEER_DELAY_US, SimEvent::ToHolder(holder, event));
                }
                Effect::Load { .. } | Effect::Unload { .. } => {
                    self.schedule(ENGINE_DELAY_US, SimEvent::Command(holder, e));
                }
            }
        }
    }

    fn command(&mut self, from: usize, e: Effect) {
        match e {
            Effect::Load { command, engine, instance, .. } => {
                let e = self.engine(&engine);
                let used = self.engines[e].resident.len() + self.engines[e].loading;
                if used >= self.shape.slots {
                    let event = Event::LoadEnded { command, result: LoadResult::NoSlot, random: 0 };
                    self.schedule(ENGINE_DELAY_US, SimEvent::ToHolder(from, event));
                    return;
                }
                self.outcome.loads += 1;
                self.in_flight += 1;
                self.engines[e].loading += 1;
                let over = self.in_flight.div_ceil(self.shape.flight) as u64;
                self.schedule(
                    self.shape.load_us * over,
                    SimEvent::LoadEnds(from, command, e, instance),
                );
            }
            Effect::Unload { command, engine, instance, .. } => {
                let e = self.engine(&engine);
                let running = self.engines[e].resident.remove(&instance);
                assert!(running.unwrap_or(0) == 0, "{instance} evicted in use");
                let result = UnloadResult::Unloaded;
                self.schedule(
                    ENGINE_DELAY_US,
                    SimEvent::ToHolder(from, Event::UnloadEnded { command, result }),
                );
            }
            Effect::Answer { .. } | Effect::RequestPermit => {}
        }
    }

    fn target(&self, i: usize) -> AdapterVersion {
        let adapter = ArcStr::from(format!("a{}", self.trace.requests[i].adapter));
        AdapterVersion { adapter, version: ArcStr::from("1") }
    }

    // Sends the requests that can run and requests pins for the rest.
    fn dispatch(&mut self, h: usize) {
        let now = self.tick();
        let model = ArcStr::from("m");
        let mut pin_requests: BTreeMap<AdapterVersion, (u32, ArcStr, PinKind)> = BTreeMap::new();
        loop {
            let mut chosen = None;
            let mut extra = None;
            let Host { route, queue, avoid, .. } = &mut self.hosts[h];
            let targets = &self.trace.requests;
            let random = &mut self.random;
            let at = self.now;
            let Some(popped) = queue.pop(now, |item| {
                let i = item.data;
                let adapter = ArcStr::from(format!("a{}", targets[i].adapter));
                let target = AdapterVersion { adapter, version: ArcStr::from("1") };
                if let Some((n, _, _)) = pin_requests.get_mut(&target) {
                    *n += 1;
                    return false;
                }
                let avoid: Vec<ArcStr> = avoid
                    .get(&target)
                    .map(|v| v.iter().filter(|(_, t)| at < *t).map(|(e, _)| e.clone()).collect())
                    .unwrap_or_default();
                let need = Requirements {
                    model: &model,
                    target: &target,
                    class: Class::Interactive,
                    deadline: now + Duration::from_secs(60),
                    avoid: &avoid,
                    prefix: None,
                };
                match route.pick(now, &need, random.next()) {
                    RouteDecision::Run { engine, instance } => {
                        extra = route.extra_replica(now, &need, Duration::ZERO).map(|s| s.engine);
                        chosen = Some((engine, instance, target));
                        true
                    }
                    RouteDecision::Wait => {
                        let waited = Duration::from_micros(at - targets[i].at);
                        if let Some(s) = route.extra_replica(now, &need, waited) {
                            let kind = if s.urgent { PinKind::Urgent } else { PinKind::Prefetch };
                            pin_requests.insert(target, (1, s.engine, kind));
                        }
                        false
                    }
                    RouteDecision::Pin { engine, load } => {
                        let kind = if load { PinKind::Cold } else { PinKind::Warm };
                        pin_requests.insert(target, (1, engine, kind));
                        false
                    }
                    RouteDecision::Unavailable => false,
                }
            }) else {
                break;
            };
            let (i, running) = (popped.item.data, popped.running);
            let Some((engine, instance, target)) = chosen else { break };
            if let Some(engine) = extra {
                self.request_pin(h, target.clone(), engine, 0, PinKind::Prefetch);
            }
            let host = &mut self.hosts[h];
            host.route.request_started(now, &engine, &target);
            host.running.insert(i, running);
            let e = self.engine(&engine);
            self.schedule(ENGINE_DELAY_US, SimEvent::Start(e, i, instance));
        }
        for (target, (requests, engine, kind)) in pin_requests {
            self.request_pin(h, target, engine, requests, kind);
        }
    }

    fn request_pin(
        &mut self,
        h: usize,
        target: AdapterVersion,
        engine: ArcStr,
        requests: u32,
        kind: PinKind,
    ) {
        let now = self.tick();
        let requests = if kind == PinKind::Prefetch { 0 } else { requests };
        if kind == PinKind::Cold {
            for i in self.hosts[h].waiting_for(&target, self.trace) {
                self.stalled[i] = true;
            }
        }
        let host = &mut self.hosts[h];
        if host.pending.values().any(|(_, t, _, k)| *t == target && k.spread() == kind.spread()) {
            return;
        }
        if kind.spread() {
            if host.spread.get(&target).is_some_and(|t| self.now < t + EXTRA_REPLICA_INTERVAL_US) {
                return;
            }
            host.spread.insert(target.clone(), self.now);
        }
        let id = host.next;
        host.next += 1;
        host.pending.insert(id, (engine.clone(), target.clone(), now, kind));
        let holder = self.engine(&engine) % self.shape.hosts;
        let r = PinRequest {
            host: Incarnation(h as u64),
            id,
            engine,
            model: ArcStr::from("m"),
            target,
            class: yuccawing_core::rules::Class::Interactive,
            wait: Duration::from_secs(if requests > 0 { 60 } else { 2 }),
            requests,
        };
        self.schedule(PEER_DELAY_US, SimEvent::Pin(holder, r));
    }

    fn answered(&mut self, h: usize, id: u64, answer: PinAnswer) {
        let now = self.tick();
        let at = self.now;
        let host = &mut self.hosts[h];
        let Some((engine, target, sent, kind)) = host.pending.remove(&id) else { return };
        match answer {
            PinAnswer::Pinned { instance, duration } => {
                host.avoid.remove(&target);
                // A pin that took this long was a load, even if the host's view showed a replica.
                if !kind.spread() && now.since(sent) > Duration::from_millis(100) {
                    for i in self.hosts[h].waiting_for(&target, self.trace) {
                        self.stalled[i] = true;
                    }
                }
                let g = GrantedPin { engine, target, instance, id, sent, duration };
                if let Some(u) = self.hosts[h].route.add_pin(now, g) {
                    let holder = self.engine(&u.engine) % self.shape.hosts;
                    self.schedule(PEER_DELAY_US, SimEvent::Unpin(holder, u));
                }
            }
            PinAnswer::Refused { .. } => {
                let v = host.avoid.entry(target).or_default();
                v.retain(|(_, t)| at < *t);
                v.push((engine, at + AVOID_US));
            }
        }
        self.dispatch(h);
    }

    fn start(&mut self, e: usize, i: usize, instance: ArcStr) {
        if !self.engines[e].resident.contains_key(&instance) {
            self.schedule(ENGINE_DELAY_US, SimEvent::Ended(e, i, instance, false));
            return;
        }
        if self.engines[e].running as usize >= self.shape.batch {
            self.engines[e].waiting.push_back((i, instance));
        } else {
            self.begin_request(e, i, instance);
        }
    }

    fn begin_request(&mut self, e: usize, i: usize, instance: ArcStr) {
        let r = self.trace.requests[i];
        self.outcome.started(&r, self.now, self.stalled[i]);
        let engine = &mut self.engines[e];
        engine.running += 1;
        *engine.resident.entry(instance.clone()).or_default() += 1;
        self.schedule(r.duration_us, SimEvent::Ends(e, i, instance));
    }

    fn ended(&mut self, e: usize, i: usize, instance: &ArcStr, good: bool) {
        let now = self.tick();
        let target = self.target(i);
        let h = self.trace.requests[i].host;
        let name = self.names[e].clone();
        let host = &mut self.hosts[h];
        let outcome = if good { RequestOutcome::Success } else { RequestOutcome::Neutral };
        host.route.request_ended(now, &name, &target, instance, outcome);
        if let Some(r) = host.running.remove(&i) {
            host.queue.finish(now, r, 100);
        }
        if !good {
            host.route.drop_pin(now, &name, &target);
            self.stalled[i] = true;
            let holder = e % self.shape.hosts;
            let event = Event::UnknownInstance { engine: name, instance: instance.clone() };
            self.schedule(PEER_DELAY_US, SimEvent::ToHolder(holder, event));
            self.schedule(0, SimEvent::Arrives(i));
            return;
        }
        self.dispatch(h);
    }
}

impl Host {
    fn waiting_for(&self, target: &AdapterVersion, t: &Trace) -> Vec<usize> {
        let adapter: usize = target.adapter[1..].parse().unwrap_or(0);
        let mut all = Vec::new();
        self.queue.for_each(|item| {
            if t.requests[item.data].adapter == adapter {
                all.push(item.data);
            }
        });
        all
    }
}
