//! Seeded simulation of several hosts, successive controlling hosts and engines, with faults.
//!
//! Messages are delayed, repeated or lost; processes pause, end and are replaced; commands of an
//! earlier holder arrive after those of its successor; engines restart and lose their state; loads
//! fail.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arcstr::ArcStr;

use crate::{
    ids::{Generation, Incarnation},
    placement::{
        self, AdapterVersion, Effect, Event, LoadResult, PinAnswer, PinRelease, PinRequest,
        Placement, UnloadResult,
    },
    route::{self, GrantedPin, Outcome, Requirements, RouteDecision, Router},
    rules::Class,
    time::{Tick, minus_drift},
};

const SECOND_US: u64 = 1_000_000;
const HOSTS: usize = 3;
const SLOTS: u32 = 2;
const MAX_LOADS: u32 = 2;
const ENGINES: [&str; 4] = ["f0", "f1", "u0", "u1"];

/// Counts of a run, and the safety violations that it found.
#[derive(Debug, Default)]
pub(super) struct Stats {
    pub(super) violations: Vec<String>,
    pub(super) requests_run: u32,
    pub(super) evictions: u32,
    pub(super) loads: u32,
    pub(super) restarts: u32,
    pub(super) holders: u32,
    pub(super) late_commands: u32,
}

#[derive(Clone, Debug)]
enum Message {
    ToHolder(usize, Event),
    Answer {
        host: Incarnation,
        id: u64,
        answer: PinAnswer,
    },
    Load {
        from: usize,
        command: u64,
        engine: usize,
        instance: ArcStr,
        target: AdapterVersion,
        fence: u64,
    },
    LoadEnds {
        engine: usize,
        boot: u64,
        instance: ArcStr,
        target: AdapterVersion,
        reply: Reply,
    },
    Unload {
        from: usize,
        command: u64,
        engine: usize,
        instance: ArcStr,
        fence: u64,
    },
    Timeout {
        from: usize,
        command: u64,
        load: bool,
    },
    Start {
        engine: usize,
        request: Request,
    },
    Finish {
        engine: usize,
        id: u64,
    },
    DeliverReport(route::Report),
}

#[derive(Clone, Copy, Debug)]
struct Reply {
    to: usize,
    command: u64,
}

#[derive(Clone, Debug)]
struct Request {
    id: u64,
    host: Incarnation,
    target: AdapterVersion,
    instance: ArcStr,
    ends: u64,
}

struct Engine {
    name: ArcStr,
    fencing: bool,
    boot: u64,
    fence: u64,
    resident: BTreeMap<ArcStr, AdapterVersion>,
    loading: u32,
    running: Vec<Request>,
}

struct Holder {
    placement: Placement,
    generation: u64,
    until: u64,
    paused_until: u64,
    drift: i64,
    permits: u32,
    loads: u32,
    // Load commands that have not been answered.
    in_flight: BTreeSet<u64>,
}

struct Host {
    route: Router,
    incarnation: Incarnation,
    pending: BTreeMap<u64, (ArcStr, AdapterVersion, Tick, u64)>,
    next: u64,
    paused_until: u64,
    drift: i64,
}

pub(super) struct Simulation {
    now: u64,
    seed: u64,
    messages: BTreeMap<(u64, u64), Message>,
    next_sequence: u64,
    engines: Vec<Engine>,
    holders: Vec<Holder>,
    hosts: Vec<Host>,
    report_lag: u64,
    requests: u64,
    stats: Stats,
}

fn local_tick(t: u64, drift: i64) -> Tick {
    // Each clock also has its own offset, so comparing the ticks of two processes gives nonsense.
    let t = t as i64 + t as i64 * drift / 1000 + 1_000_000 * (drift + 10);
    Tick(t as u64)
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let engines = ENGINES
            .iter()
            .map(|n| Engine {
                name: ArcStr::from(*n),
                fencing: n.starts_with('f'),
                boot: 1,
                fence: 0,
                resident: BTreeMap::new(),
                loading: 0,
                running: Vec::new(),
            })
            .collect();
        let mut sim = Self {
            now: 0,
            seed,
            messages: BTreeMap::new(),
            next_sequence: 0,
            engines,
            holders: Vec::new(),
            hosts: Vec::new(),
            report_lag: 0,
            requests: 0,
            stats: Stats::default(),
        };
        sim.report_lag = sim.below(4 * SECOND_US);
        for _ in 0..HOSTS {
            let h = sim.host();
            sim.hosts.push(h);
        }
        sim.admit_holder();
        sim
    }

    pub(super) fn run(mut self, seconds: u64) -> Stats {
        let step = SECOND_US / 10;
        for i in 0..seconds * 10 {
            self.now = i * step;
            while let Some(((t, _), _)) = self.messages.first_key_value()
                && *t <= self.now
            {
                let Some((_, m)) = self.messages.pop_first() else { break };
                self.deliver(m);
            }
            self.inject_faults();
            self.renew(i);
            for h in 0..HOSTS {
                self.step_host(h);
            }
            if i % 5 == 0 {
                self.report();
            }
        }
        self.stats
    }

    fn random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let x = self.seed ^ (self.seed >> 33);
        x.wrapping_mul(0xff51_afd7_ed55_8ccd) ^ (x >> 29)
    }

    fn below(&mut self, n: u64) -> u64 {
        (self.random() >> 16) % n.max(1)
    }

    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    fn drift(&mut self) -> i64 {
        self.below(9) as i64 - 4
    }

    fn schedule(&mut self, delay: u64, m: Message) {
        self.next_sequence += 1;
        self.messages.insert((self.now + delay, self.next_sequence), m);
    }

    // Delivers a message usually within milliseconds, but sometimes after seconds, twice or never.
    fn schedule_lossy(&mut self, m: Message) {
        if self.chance(30) {
            return;
        }
        let delay = if self.chance(50) { self.below(20 * SECOND_US) } else { self.below(50_000) };
        if self.chance(30) {
            let late = self.below(60 * SECOND_US);
            self.schedule(late, m.clone());
        }
        self.schedule(delay, m);
    }

    fn host(&mut self) -> Host {
        let incarnation = Incarnation(self.random());
        let mut route = Router::new(incarnation);
        route.configure(
            ENGINES
                .iter()
                .map(|n| route::Spec {
                    name: ArcStr::from(*n),
                    model: ArcStr::from("m"),
                    batch: 100,
                    reserved: 0,
                    fencing: n.starts_with('f'),
                    leaving: false,
                    controlled: true,
                })
                .collect(),
        );
        let drift = self.drift();
        Host { route, incarnation, pending: BTreeMap::new(), next: 1, paused_until: 0, drift }
    }

    fn admit_holder(&mut self) {
        self.stats.holders += 1;
        let h = Holder {
            placement: Placement::new(),
            generation: self.holders.len() as u64 + 1,
            until: 0,
            paused_until: 0,
            drift: self.drift(),
            permits: 0,
            loads: 0,
            in_flight: BTreeSet::new(),
        };
        self.holders.push(h);
        let specs = ENGINES
            .iter()
            .map(|n| placement::Spec {
                name: ArcStr::from(*n),
                model: ArcStr::from("m"),
                slots: SLOTS,
                fencing: n.starts_with('f'),
                leaving: false,
            })
            .collect();
        let i = self.holders.len() - 1;
        self.send_event(i, Event::MaxLoads(MAX_LOADS));
        self.renew_lease(i);
        self.send_event(i, Event::Configure(specs));
    }

    fn renew_lease(&mut self, i: usize) {
        let lease = Duration::from_secs(3);
        let h = &mut self.holders[i];
        h.until = self.now + 3 * SECOND_US;
        let until = local_tick(self.now, h.drift) + minus_drift(lease);
        let generation = Generation(h.generation);
        self.send_event(i, Event::LeaseHeld { generation, until });
    }

    fn renew(&mut self, i: u64) {
        let last = self.holders.len() - 1;
        if self.now >= self.holders[last].paused_until && i.is_multiple_of(5) {
            self.renew_lease(last);
        }
        for i in 0..self.holders.len() {
            if self.now >= self.holders[i].paused_until {
                self.send_event(i, Event::Poll);
            }
        }
    }

    fn inject_faults(&mut self) {
        let last = self.holders.len() - 1;
        // The chances are per step of 100 ms.
        if self.chance(1) && self.chance(700) {
            let pause = self.below(20 * SECOND_US);
            self.holders[last].paused_until = self.now + pause;
        }
        let lapsed = self.now > self.holders[last].until;
        if (lapsed && self.chance(10)) || (self.chance(1) && self.chance(250)) {
            // The old process stops renewing its lease and is replaced only after the lease ends.
            let end = self.holders[last].until;
            if self.now > end {
                self.admit_holder();
            } else {
                self.holders[last].paused_until = end + self.seed % (5 * SECOND_US);
            }
        }
        for e in 0..ENGINES.len() {
            if self.chance(1) && self.chance(400) {
                let e = &mut self.engines[e];
                (e.boot, e.fence, e.loading) = (e.boot + 1, 0, 0);
                e.resident.clear();
                e.running.clear();
                self.stats.restarts += 1;
            }
        }
        for h in 0..HOSTS {
            if self.chance(2) {
                let pause = self.below(30 * SECOND_US);
                self.hosts[h].paused_until = self.now + pause;
            }
            if self.chance(1) {
                self.replace_host(h);
            }
        }
    }

    // Requests of the old process go on: the engine may notice late that their caller is gone.
    fn replace_host(&mut self, h: usize) {
        let old = self.hosts[h].incarnation;
        for e in 0..ENGINES.len() {
            let longer = self.below(250 * SECOND_US);
            for r in self.engines[e].running.iter_mut().filter(|r| r.host == old) {
                r.ends += longer;
            }
        }
        let last = self.holders.len() - 1;
        self.schedule(SECOND_US, Message::ToHolder(last, Event::ProcessEnded(old)));
        self.hosts[h] = self.host();
    }

    fn send_event(&mut self, i: usize, event: Event) {
        let now = local_tick(self.now, self.holders[i].drift);
        let mut out = Vec::new();
        self.holders[i].placement.handle(now, event, &mut out);
        for e in out {
            self.apply_effect(i, e);
        }
    }

    fn apply_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::RequestPermit => {
                let event = if self.chance(700) {
                    self.holders[i].permits += 1;
                    Event::Permit
                } else {
                    let now = local_tick(self.now, self.holders[i].drift);
                    Event::NoPermit { retry: now + Duration::from_millis(300) }
                };
                let delay = self.below(300_000);
                self.schedule(delay, Message::ToHolder(i, event));
            }
            Effect::Answer { host, id, answer } => {
                self.schedule_lossy(Message::Answer { host, id, answer });
            }
            Effect::Load { command, engine, instance, target, fence } => {
                self.stats.loads += 1;
                let h = &mut self.holders[i];
                h.loads += 1;
                h.in_flight.insert(command);
                if h.loads > h.permits || h.in_flight.len() > MAX_LOADS as usize {
                    let fault =
                        format!("loads {} in flight {:?} at {}", h.loads, h.in_flight, self.now);
                    self.stats.violations.push(fault);
                }
                let engine = engine_index(&engine);
                let m = Message::Load { from: i, command, engine, instance, target, fence };
                self.command(m, i, command, true);
            }
            Effect::Unload { command, engine, instance, fence } => {
                let engine = engine_index(&engine);
                let m = Message::Unload { from: i, command, engine, instance, fence };
                self.command(m, i, command, false);
            }
        }
    }

    fn command(&mut self, m: Message, from: usize, command: u64, load: bool) {
        self.schedule(5 * SECOND_US, Message::Timeout { from, command, load });
        if self.chance(20) {
            return;
        }
        let late = self.chance(150);
        let delay = if late { self.below(100 * SECOND_US) } else { self.below(20_000) };
        self.stats.late_commands += u32::from(delay > 5 * SECOND_US);
        self.schedule(delay, m);
    }

    fn deliver(&mut self, m: Message) {
        match m {
            Message::ToHolder(i, event) => {
                let resume = self.holders[i].paused_until;
                if self.now < resume {
                    self.schedule(resume - self.now, Message::ToHolder(i, event));
                    return;
                }
                if let Event::LoadEnded { command, .. } = &event {
                    self.holders[i].in_flight.remove(command);
                }
                self.send_event(i, event);
            }
            Message::Answer { host, id, answer } => self.answered(host, id, answer),
            Message::Load { from, command, engine, instance, target, fence } => {
                let reply = Reply { to: from, command };
                self.load(engine, instance, target, fence, reply);
            }
            Message::LoadEnds { engine, boot, instance, target, reply } => {
                let fail = self.chance(100);
                let e = &mut self.engines[engine];
                if e.boot != boot {
                    return;
                }
                e.loading -= 1;
                if !fail {
                    e.resident.insert(instance, target);
                }
                let result = if fail { LoadResult::Failed } else { LoadResult::Loaded };
                self.reply_load(reply, result);
            }
            Message::Unload { from, command, engine, instance, fence } => {
                let e = &mut self.engines[engine];
                let result = if e.fencing && fence < e.fence {
                    UnloadResult::Fenced
                } else {
                    e.fence = e.fence.max(fence);
                    if let Some(r) = e.running.iter().find(|r| r.instance == instance) {
                        let fault =
                            format!("unload of {instance} in use by {} at {}", r.id, self.now);
                        self.stats.violations.push(fault);
                    }
                    if e.resident.remove(&instance).is_some() {
                        self.stats.evictions += 1;
                    }
                    UnloadResult::Unloaded
                };
                let m = Message::ToHolder(from, Event::UnloadEnded { command, result });
                let delay = self.below(20_000);
                self.schedule(delay, m);
            }
            Message::Timeout { from, command, load } => {
                let random = self.random();
                let event = if load {
                    Event::LoadEnded { command, result: LoadResult::Unknown, random }
                } else {
                    Event::UnloadEnded { command, result: UnloadResult::Unknown }
                };
                self.deliver(Message::ToHolder(from, event));
            }
            Message::Start { engine, request } => self.start(engine, request),
            Message::Finish { engine, id } => self.finish(engine, id),
            Message::DeliverReport(r) => {
                for h in 0..HOSTS {
                    let now = self.clock(h);
                    self.hosts[h].route.report(now, &r);
                }
            }
        }
    }

    fn load(
        &mut self,
        engine: usize,
        instance: ArcStr,
        target: AdapterVersion,
        fence: u64,
        reply: Reply,
    ) {
        let e = &mut self.engines[engine];
        if e.fencing && fence < e.fence {
            self.reply_load(reply, LoadResult::Fenced);
            return;
        }
        e.fence = e.fence.max(fence);
        if e.resident.len() as u32 + e.loading >= SLOTS && !e.resident.contains_key(&instance) {
            self.reply_load(reply, LoadResult::NoSlot);
            return;
        }
        e.loading += 1;
        let boot = e.boot;
        let took = SECOND_US / 4 + self.below(SECOND_US);
        self.schedule(took, Message::LoadEnds { engine, boot, instance, target, reply });
    }

    fn reply_load(&mut self, r: Reply, result: LoadResult) {
        let random = self.random();
        let event = Event::LoadEnded { command: r.command, result, random };
        let delay = self.below(20_000);
        self.schedule(delay, Message::ToHolder(r.to, event));
    }

    fn clock(&self, h: usize) -> Tick {
        local_tick(self.now, self.hosts[h].drift)
    }

    fn answered(&mut self, host: Incarnation, id: u64, answer: PinAnswer) {
        let Some(h) = self.hosts.iter().position(|h| h.incarnation == host) else { return };
        if self.now < self.hosts[h].paused_until {
            let wait = self.hosts[h].paused_until - self.now;
            self.schedule(wait, Message::Answer { host, id, answer });
            return;
        }
        let now = self.clock(h);
        let Some((engine, target, sent, wait)) = self.hosts[h].pending.remove(&id) else { return };
        if let PinAnswer::Pinned { instance, duration } = answer {
            let t = target.clone();
            let g = GrantedPin { engine, target, instance, id, sent, duration };
            if let Some(u) = self.hosts[h].route.add_pin(now, g) {
                self.unpin(u);
            }
            self.route_request(h, t, wait, &[]);
        }
    }

    fn unpin(&mut self, u: PinRelease) {
        let last = self.holders.len() - 1;
        self.schedule_lossy(Message::ToHolder(last, Event::Unpin(u)));
    }

    // Releases idle pins, and starts a request in one of ten steps.
    fn step_host(&mut self, h: usize) {
        if self.now < self.hosts[h].paused_until {
            return;
        }
        let now = self.clock(h);
        let mut idle = Vec::new();
        self.hosts[h].route.release_idle(now, false, &mut idle);
        for u in idle {
            self.unpin(u);
        }
        if !self.chance(100) {
            return;
        }
        let adapter = self.below(6);
        let version = self.below(2);
        let target = AdapterVersion {
            adapter: ArcStr::from(format!("a{adapter}")),
            version: ArcStr::from(format!("{version}")),
        };
        let avoid: Vec<ArcStr> =
            ENGINES.iter().filter(|_| self.chance(400)).map(|n| ArcStr::from(*n)).collect();
        let limit = if self.chance(850) { 5 } else { 120 };
        let wait = 1 + self.below(limit * SECOND_US);
        self.route_request(h, target, wait, &avoid);
    }

    // Sends a request of up to `wait` microseconds under a pin, or requests a pin.
    fn route_request(&mut self, h: usize, target: AdapterVersion, wait: u64, avoid: &[ArcStr]) {
        let now = self.clock(h);
        let random = self.random();
        let host = &mut self.hosts[h];
        let model = ArcStr::from("m");
        let need = Requirements {
            model: &model,
            target: &target,
            class: Class::Interactive,
            deadline: now + Duration::from_micros(wait),
            avoid,
            prefix: None,
        };
        match host.route.pick(now, &need, random) {
            RouteDecision::Run { engine, instance } => {
                host.route.request_started(now, &engine, &target);
                self.requests += 1;
                let id = self.requests;
                let incarnation = host.incarnation;
                let delay = self.below(wait.min(5 * SECOND_US));
                // `wait` counts in true time; the deadline of a host with a slow clock is later.
                let ends = self.now + delay + self.below(wait - delay);
                let request = Request { id, host: incarnation, target, instance, ends };
                self.schedule(delay, Message::Start { engine: engine_index(&engine), request });
            }
            RouteDecision::Pin { engine, .. } => {
                let id = host.next;
                host.next += 1;
                host.pending.insert(id, (engine.clone(), target.clone(), now, wait));
                let r = PinRequest {
                    host: host.incarnation,
                    id,
                    engine,
                    model,
                    target,
                    class: Class::Interactive,
                    wait: Duration::from_secs(20),
                    requests: 1,
                };
                let last = self.holders.len() - 1;
                self.schedule_lossy(Message::ToHolder(last, Event::Pin(r)));
            }
            RouteDecision::Wait | RouteDecision::Unavailable => {}
        }
    }

    fn start(&mut self, engine: usize, r: Request) {
        let e = &mut self.engines[engine];
        let resident = e.resident.get(&r.instance).cloned();
        let name = e.name.clone();
        let Some(target) = resident else {
            let instance = r.instance.clone();
            let last = self.holders.len() - 1;
            self.schedule_lossy(Message::ToHolder(
                last,
                Event::UnknownInstance { engine: name.clone(), instance },
            ));
            let now = self.now;
            if let Some(h) = self.hosts.iter_mut().find(|h| h.incarnation == r.host) {
                let now = local_tick(now, h.drift);
                h.route.request_ended(now, &name, &r.target, &r.instance, Outcome::Neutral);
                h.route.drop_pin(now, &name, &r.target);
            }
            return;
        };
        if target != r.target {
            self.stats.violations.push(format!("{} ran on {target}", r.target));
        }
        self.stats.requests_run += 1;
        let (id, wait) = (r.id, r.ends.saturating_sub(self.now));
        e.running.push(r);
        self.schedule(wait, Message::Finish { engine, id });
    }

    fn finish(&mut self, engine: usize, id: u64) {
        let e = &mut self.engines[engine];
        let Some(i) = e.running.iter().position(|r| r.id == id) else { return };
        if e.running[i].ends > self.now {
            let wait = e.running[i].ends - self.now;
            self.schedule(wait, Message::Finish { engine, id });
            return;
        }
        let r = e.running.remove(i);
        let name = e.name.clone();
        let now = self.now;
        if let Some(h) = self.hosts.iter_mut().find(|h| h.incarnation == r.host) {
            let now = local_tick(now, h.drift);
            h.route.request_ended(now, &name, &r.target, &r.instance, Outcome::Success);
        }
    }

    fn report(&mut self) {
        for e in 0..ENGINES.len() {
            let e = &self.engines[e];
            let resident: Vec<(ArcStr, u32)> = e
                .resident
                .keys()
                .map(|n| (n.clone(), e.running.iter().filter(|r| r.instance == *n).count() as u32))
                .collect();
            let (engine, boot, running) = (e.name.clone(), e.boot, e.running.len() as u32);
            let report = placement::Report { engine, boot, resident };
            let for_hosts = route::Report {
                engine: report.engine.clone(),
                boot,
                running,
                waiting: 0,
                resident: report.resident.clone(),
            };
            let lag = self.report_lag;
            for i in 0..self.holders.len() {
                self.schedule(lag, Message::ToHolder(i, Event::Report(report.clone())));
            }
            self.schedule(lag, Message::DeliverReport(for_hosts));
        }
    }
}

fn engine_index(engine: &str) -> usize {
    ENGINES.iter().position(|n| *n == engine).expect("engine")
}
