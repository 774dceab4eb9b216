//! The decisions of this library on several hosts with lagging views.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use yuccawing_core::{
    ArcStr,
    ids::{Generation, Incarnation},
    placement::{
        self, Effect, Event, LoadResult, PinAnswer, PinRequest, Placement, Target, UnloadResult,
        Unpin,
    },
    queue::{Item, Limits, Queue, Running},
    route::{self, Choice, Granted, Need, Outcome as Ended, Route},
    rules::Class,
    time::Tick,
};

use crate::trace::{Outcome, Random, Shape, Trace};

const PEER_US: u64 = 1_500;
const ENGINE_US: u64 = 1_000;
const REPORT_EVERY: u64 = 250_000;
const REPORT_LAG: u64 = 300_000;
const POLL_EVERY: u64 = 100_000;
/// An engine that refused a pin for an adapter is left out for it.
const AVOID: u64 = 1_000_000;
/// A host asks for another replica of an adapter at most once in this time.
const SPREAD_EVERY: u64 = 500_000;

enum What {
    Arrives(usize),
    Pin(usize, PinRequest),
    Answer(usize, u64, PinAnswer),
    Unpin(usize, Unpin),
    Command(usize, Effect),
    Loads(usize, u64, usize, ArcStr),
    Tell(usize, Event),
    Start(usize, usize, ArcStr),
    Ends(usize, usize, ArcStr),
    Ended(usize, usize, ArcStr, bool),
    Report(route::Report),
    ReportNow,
    Poll,
}

/// Why a pin is asked for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Warm,
    Cold,
    Urgent,
    Prefetch,
}

impl Kind {
    fn spread(self) -> bool {
        matches!(self, Self::Urgent | Self::Prefetch)
    }
}

struct Host {
    route: Route,
    queue: Queue<usize>,
    pending: BTreeMap<u64, (ArcStr, Target, Tick, Kind)>,
    avoid: BTreeMap<Target, Vec<(ArcStr, u64)>>,
    running: BTreeMap<usize, Running>,
    next: u64,
    // When another replica was last asked for.
    spread: BTreeMap<Target, u64>,
}

struct Engine {
    resident: BTreeMap<ArcStr, u32>,
    loading: usize,
    running: u32,
    waiting: VecDeque<(usize, ArcStr)>,
}

struct Sim<'a> {
    t: &'a Trace,
    s: &'a Shape,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    whats: Vec<Option<What>>,
    free: Vec<usize>,
    random: Random,
    names: Vec<ArcStr>,
    engines: Vec<Engine>,
    hosts: Vec<Host>,
    holders: Vec<Placement>,
    tokens: f64,
    filled: u64,
    flying: usize,
    // Requests that waited for a load, and where they started.
    stalled: Vec<bool>,
    out: Outcome,
}

/// Runs the trace.
pub fn run(t: &Trace, s: &Shape) -> Outcome {
    let names: Vec<ArcStr> = (0..s.engines).map(|i| ArcStr::from(format!("e{i:02}"))).collect();
    let mut sim = Sim {
        t,
        s,
        now: 0,
        sequence: 0,
        events: BinaryHeap::new(),
        whats: Vec::new(),
        free: Vec::new(),
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
        tokens: s.rate,
        filled: 0,
        flying: 0,
        stalled: vec![false; t.requests.len()],
        out: Outcome::new(t),
        names,
    };
    sim.begin();
    while let Some(Reverse((at, _, i))) = sim.events.pop() {
        if at > t.end {
            break;
        }
        sim.measure(at);
        sim.now = at;
        sim.free.push(i);
        if let Some(w) = sim.whats[i].take() {
            sim.step(w);
        }
    }
    sim.out
}

impl Sim<'_> {
    fn begin(&mut self) {
        for h in 0..self.s.hosts {
            let host = Incarnation(h as u64);
            let mut route = Route::new(host);
            route.configure(
                self.names
                    .iter()
                    .map(|n| route::Spec {
                        name: n.clone(),
                        model: ArcStr::from("m"),
                        batch: self.s.batch as u32,
                        reserved: 0,
                        fencing: true,
                        leaving: false,
                        held: true,
                    })
                    .collect(),
            );
            let limits = Limits {
                slots: (self.s.engines * self.s.batch) as u32,
                reserved: 0,
                per_account: 100_000,
                total: 100_000,
                speed: 50,
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
            let specs = (0..self.s.engines)
                .filter(|e| e % self.s.hosts == h)
                .map(|e| placement::Spec {
                    name: self.names[e].clone(),
                    model: ArcStr::from("m"),
                    slots: self.s.slots as u32,
                    fencing: true,
                    leaving: false,
                })
                .collect();
            let flight = (self.s.flight / self.s.hosts
                + usize::from(h < self.s.flight % self.s.hosts)) as u32;
            self.tell(h, Event::Flight(flight));
            self.tell(h, Event::Held { generation: Generation(1), until: Tick(u64::MAX) });
            self.tell(h, Event::Configure(specs));
        }
        for i in 0..self.t.requests.len() {
            // The first holder evicts nothing for a while on engines with fencing; the trace starts
            // after that.
            self.post(self.t.requests[i].at, What::Arrives(i));
        }
        self.post(0, What::ReportNow);
        self.post(0, What::Poll);
    }

    fn measure(&mut self, at: u64) {
        let engines: usize = self.engines.iter().map(|e| e.waiting.len()).sum();
        let waiting: usize = self.hosts.iter().map(|h| h.queue.len()).sum::<usize>() + engines;
        if waiting > 0 {
            let running: u32 = self.engines.iter().map(|e| e.running).sum();
            let slots = (self.s.engines * self.s.batch) as u128;
            self.out.used += u128::from(running) * u128::from(at - self.now);
            self.out.available += slots * u128::from(at - self.now);
        }
    }

    // Clocks start late, so that the pins of a predecessor have ended.
    fn tick(&self) -> Tick {
        Tick(self.now + if self.now > 0 { 400_000_000 } else { 0 })
    }

    fn post(&mut self, delay: u64, w: What) {
        self.sequence += 1;
        let i = self.free.pop().unwrap_or_else(|| {
            self.whats.push(None);
            self.whats.len() - 1
        });
        self.whats[i] = Some(w);
        self.events.push(Reverse((self.now + delay, self.sequence, i)));
    }

    fn engine(&self, name: &ArcStr) -> usize {
        self.names.iter().position(|n| n == name).expect("engine")
    }

    fn step(&mut self, w: What) {
        match w {
            What::Arrives(i) => {
                let r = self.t.requests[i];
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
                self.pump(r.host);
            }
            What::Pin(holder, r) => self.tell(holder, Event::Pin(r)),
            What::Answer(h, id, answer) => self.answered(h, id, answer),
            What::Unpin(holder, u) => self.tell(holder, Event::Unpin(u)),
            What::Command(from, e) => self.command(from, e),
            What::Loads(from, command, engine, instance) => {
                self.flying -= 1;
                self.engines[engine].loading -= 1;
                self.engines[engine].resident.insert(instance, 0);
                let random = self.random.next();
                let result = LoadResult::Loaded;
                self.post(ENGINE_US, What::Tell(from, Event::Loaded { command, result, random }));
            }
            What::Tell(holder, e) => self.tell(holder, e),
            What::Start(e, i, instance) => self.start(e, i, instance),
            What::Ends(e, i, instance) => {
                let engine = &mut self.engines[e];
                engine.running -= 1;
                if let Some(n) = engine.resident.get_mut(&instance) {
                    *n -= 1;
                }
                self.post(ENGINE_US, What::Ended(e, i, instance, true));
                if let Some((i, instance)) = self.engines[e].waiting.pop_front() {
                    self.begin_request(e, i, instance);
                }
            }
            What::Ended(e, i, instance, good) => self.ended(e, i, &instance, good),
            What::Report(r) => {
                let now = self.tick();
                for h in 0..self.s.hosts {
                    self.hosts[h].route.report(now, &r);
                }
                let r = placement::Report { engine: r.engine, boot: r.boot, resident: r.resident };
                for h in 0..self.s.hosts {
                    self.tell(h, Event::Report(r.clone()));
                }
            }
            What::ReportNow => {
                for e in 0..self.s.engines {
                    let engine = &self.engines[e];
                    let report = route::Report {
                        engine: self.names[e].clone(),
                        boot: 1,
                        running: engine.running,
                        waiting: engine.waiting.len() as u32,
                        resident: engine.resident.iter().map(|(n, r)| (n.clone(), *r)).collect(),
                    };
                    self.post(REPORT_LAG, What::Report(report));
                }
                self.post(REPORT_EVERY, What::ReportNow);
            }
            What::Poll => {
                let now = self.tick();
                for h in 0..self.s.hosts {
                    self.tell(h, Event::Poll);
                    let mut idle = Vec::new();
                    self.hosts[h].route.release(now, false, &mut idle);
                    for u in idle {
                        let holder = self.engine(&u.engine) % self.s.hosts;
                        self.post(PEER_US, What::Unpin(holder, u));
                    }
                    self.pump(h);
                }
                self.post(POLL_EVERY, What::Poll);
            }
        }
    }

    fn tell(&mut self, holder: usize, event: Event) {
        let now = self.tick();
        let mut out = Vec::new();
        self.holders[holder].handle(now, event, &mut out);
        for e in out {
            match e {
                Effect::Answer { host, id, answer } => {
                    self.post(PEER_US, What::Answer(host.0 as usize, id, answer));
                }
                Effect::AskPermit => {
                    let elapsed = (self.now - self.filled) as f64 / 1e6;
                    self.tokens = (self.tokens + elapsed * self.s.rate).min(self.s.rate);
                    self.filled = self.now;
                    let event = if self.tokens >= 1.0 {
                        self.tokens -= 1.0;
                        Event::Permit
                    } else {
                        Event::NoPermit { retry: now + Duration::from_millis(100) }
                    };
                    self.post(PEER_US, What::Tell(holder, event));
                }
                Effect::Load { .. } | Effect::Unload { .. } => {
                    self.post(ENGINE_US, What::Command(holder, e));
                }
            }
        }
    }

    fn command(&mut self, from: usize, e: Effect) {
        match e {
            Effect::Load { command, engine, instance, .. } => {
                let e = self.engine(&engine);
                let used = self.engines[e].resident.len() + self.engines[e].loading;
                if used >= self.s.slots {
                    let event = Event::Loaded { command, result: LoadResult::NoSlot, random: 0 };
                    self.post(ENGINE_US, What::Tell(from, event));
                    return;
                }
                self.out.loads += 1;
                self.flying += 1;
                self.engines[e].loading += 1;
                let over = self.flying.div_ceil(self.s.flight) as u64;
                self.post(self.s.load_us * over, What::Loads(from, command, e, instance));
            }
            Effect::Unload { command, engine, instance, .. } => {
                let e = self.engine(&engine);
                let running = self.engines[e].resident.remove(&instance);
                assert!(running.unwrap_or(0) == 0, "{instance} evicted in use");
                let result = UnloadResult::Unloaded;
                self.post(ENGINE_US, What::Tell(from, Event::Unloaded { command, result }));
            }
            Effect::Answer { .. } | Effect::AskPermit => {}
        }
    }

    fn target(&self, i: usize) -> Target {
        let adapter = ArcStr::from(format!("a{}", self.t.requests[i].adapter));
        Target { adapter, version: ArcStr::from("1") }
    }

    // Starts what can start and asks for pins for the rest.
    fn pump(&mut self, h: usize) {
        let now = self.tick();
        let model = ArcStr::from("m");
        let mut passed: BTreeMap<Target, (u32, ArcStr, Kind)> = BTreeMap::new();
        loop {
            let mut chosen = None;
            let mut more = None;
            let Host { route, queue, avoid, .. } = &mut self.hosts[h];
            let targets = &self.t.requests;
            let random = &mut self.random;
            let at = self.now;
            let Some(popped) = queue.pop(now, |item| {
                let i = item.data;
                let adapter = ArcStr::from(format!("a{}", targets[i].adapter));
                let target = Target { adapter, version: ArcStr::from("1") };
                if let Some((n, _, _)) = passed.get_mut(&target) {
                    *n += 1;
                    return false;
                }
                let avoid: Vec<ArcStr> = avoid
                    .get(&target)
                    .map(|v| v.iter().filter(|(_, t)| at < *t).map(|(e, _)| e.clone()).collect())
                    .unwrap_or_default();
                let need = Need {
                    model: &model,
                    target: &target,
                    class: Class::Interactive,
                    deadline: now + Duration::from_secs(60),
                    avoid: &avoid,
                    prefix: None,
                };
                match route.pick(now, &need, random.next()) {
                    Choice::Run { engine, instance } => {
                        more = route.spread(now, &need, Duration::ZERO).map(|s| s.engine);
                        chosen = Some((engine, instance, target));
                        true
                    }
                    Choice::Wait => {
                        let waited = Duration::from_micros(at - targets[i].at);
                        if let Some(s) = route.spread(now, &need, waited) {
                            let kind = if s.urgent { Kind::Urgent } else { Kind::Prefetch };
                            passed.insert(target, (1, s.engine, kind));
                        }
                        false
                    }
                    Choice::Pin { engine, load } => {
                        let kind = if load { Kind::Cold } else { Kind::Warm };
                        passed.insert(target, (1, engine, kind));
                        false
                    }
                    Choice::Nowhere => false,
                }
            }) else {
                break;
            };
            let (i, running) = (popped.item.data, popped.running);
            let Some((engine, instance, target)) = chosen else { break };
            if let Some(engine) = more {
                self.ask(h, target.clone(), engine, 0, Kind::Prefetch);
            }
            let host = &mut self.hosts[h];
            host.route.started(now, &engine, &target);
            host.running.insert(i, running);
            let e = self.engine(&engine);
            self.post(ENGINE_US, What::Start(e, i, instance));
        }
        for (target, (requests, engine, kind)) in passed {
            self.ask(h, target, engine, requests, kind);
        }
    }

    fn ask(&mut self, h: usize, target: Target, engine: ArcStr, requests: u32, kind: Kind) {
        let now = self.tick();
        let requests = if kind == Kind::Prefetch { 0 } else { requests };
        if kind == Kind::Cold {
            for i in self.hosts[h].waiting_for(&target, self.t) {
                self.stalled[i] = true;
            }
        }
        let host = &mut self.hosts[h];
        if host.pending.values().any(|(_, t, _, k)| *t == target && k.spread() == kind.spread()) {
            return;
        }
        if kind.spread() {
            if host.spread.get(&target).is_some_and(|t| self.now < t + SPREAD_EVERY) {
                return;
            }
            host.spread.insert(target.clone(), self.now);
        }
        let id = host.next;
        host.next += 1;
        host.pending.insert(id, (engine.clone(), target.clone(), now, kind));
        let holder = self.engine(&engine) % self.s.hosts;
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
        self.post(PEER_US, What::Pin(holder, r));
    }

    fn answered(&mut self, h: usize, id: u64, answer: PinAnswer) {
        let now = self.tick();
        let at = self.now;
        let host = &mut self.hosts[h];
        let Some((engine, target, sent, kind)) = host.pending.remove(&id) else { return };
        match answer {
            PinAnswer::Pinned { instance, duration } => {
                host.avoid.remove(&target);
                // A pin that took as long as a load was one, whatever the view said.
                if !kind.spread() && now.since(sent) > Duration::from_millis(100) {
                    for i in self.hosts[h].waiting_for(&target, self.t) {
                        self.stalled[i] = true;
                    }
                }
                let g = Granted { engine, target, instance, id, sent, duration };
                if let Some(u) = self.hosts[h].route.pinned(now, g) {
                    let holder = self.engine(&u.engine) % self.s.hosts;
                    self.post(PEER_US, What::Unpin(holder, u));
                }
            }
            PinAnswer::Refused { .. } => {
                let v = host.avoid.entry(target).or_default();
                v.retain(|(_, t)| at < *t);
                v.push((engine, at + AVOID));
            }
        }
        self.pump(h);
    }

    fn start(&mut self, e: usize, i: usize, instance: ArcStr) {
        if !self.engines[e].resident.contains_key(&instance) {
            self.post(ENGINE_US, What::Ended(e, i, instance, false));
            return;
        }
        if self.engines[e].running as usize >= self.s.batch {
            self.engines[e].waiting.push_back((i, instance));
        } else {
            self.begin_request(e, i, instance);
        }
    }

    fn begin_request(&mut self, e: usize, i: usize, instance: ArcStr) {
        let r = self.t.requests[i];
        self.out.started(&r, self.now, self.stalled[i]);
        let engine = &mut self.engines[e];
        engine.running += 1;
        *engine.resident.entry(instance.clone()).or_default() += 1;
        self.post(r.took, What::Ends(e, i, instance));
    }

    fn ended(&mut self, e: usize, i: usize, instance: &ArcStr, good: bool) {
        let now = self.tick();
        let target = self.target(i);
        let h = self.t.requests[i].host;
        let name = self.names[e].clone();
        let host = &mut self.hosts[h];
        let outcome = if good { Ended::Good } else { Ended::Neutral };
        host.route.ended(now, &name, &target, instance, outcome);
        if let Some(r) = host.running.remove(&i) {
            host.queue.done(now, r, 100);
        }
        if !good {
            host.route.dropped(now, &name, &target);
            self.stalled[i] = true;
            let holder = e % self.s.hosts;
            let event = Event::Missing { engine: name, instance: instance.clone() };
            self.post(PEER_US, What::Tell(holder, event));
            self.post(0, What::Arrives(i));
            return;
        }
        self.pump(h);
    }
}

impl Host {
    fn waiting_for(&self, target: &Target, t: &Trace) -> Vec<usize> {
        let adapter: usize = target.adapter[1..].parse().unwrap_or(0);
        let mut all = Vec::new();
        self.queue.each(|item| {
            if t.requests[item.data].adapter == adapter {
                all.push(item.data);
            }
        });
        all
    }
}
