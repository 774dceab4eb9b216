//! Baselines: a central scheduler that sees the state of all engines without delay.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::trace::{ADAPTERS, FleetShape, Outcome, Trace};

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Evicts the adapter of the whole fleet whose next use is farthest in the future.
    Clairvoyant,
    /// Routes to the least-loaded replica, loads on the least-loaded engine and evicts the least
    /// recently used adapter.
    Resident,
    /// Routes to the least-loaded engine, whether or not the adapter is resident there, and evicts
    /// the least recently used adapter.
    Blind,
    /// Like `Resident`, but evicts the adapter with the lowest decayed request count.
    Aged,
    /// Evicts the adapter of the whole fleet with the lowest decayed request count.
    Fleet,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ends(usize, usize),
    Loaded(usize, usize),
    Arrives(usize),
    Permit,
}

#[derive(Default)]
struct Replica {
    used: u64,
    running: usize,
    ready: bool,
}

#[derive(Default)]
struct Engine {
    replicas: BTreeMap<usize, Replica>,
    running: usize,
}

struct Simulation<'a> {
    trace: &'a Trace,
    shape: &'a FleetShape,
    policy: Policy,
    now: u64,
    engines: Vec<Engine>,
    // Index of the request, its engine if it is already assigned, and whether it has stalled.
    waiting: Vec<(usize, Option<usize>, bool)>,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    tokens: f64,
    refilled: u64,
    in_flight: usize,
    retry_scheduled: bool,
    scores: Vec<(f64, u64)>,
    outcome: Outcome,
}

const HALF_LIFE_US: f64 = 100e6;

pub fn run(trace: &Trace, shape: &FleetShape, policy: Policy) -> Outcome {
    let mut c = Simulation {
        trace,
        shape,
        policy,
        now: 0,
        engines: (0..shape.engines).map(|_| Engine::default()).collect(),
        waiting: Vec::new(),
        events: BinaryHeap::new(),
        tokens: shape.rate,
        refilled: 0,
        in_flight: 0,
        retry_scheduled: false,
        scores: vec![(0.0, 0); ADAPTERS],
        outcome: Outcome::new(trace),
    };
    for (i, r) in trace.requests.iter().enumerate() {
        c.events.push(std::cmp::Reverse((r.at, Event::Arrives(i))));
    }
    while let Some(std::cmp::Reverse((at, event))) = c.events.pop() {
        if at > trace.end {
            break;
        }
        let running: usize = c.engines.iter().map(|e| e.running).sum();
        if !c.waiting.is_empty() {
            c.outcome.used += running as u128 * u128::from(at - c.now);
            c.outcome.available += (shape.engines * shape.batch) as u128 * u128::from(at - c.now);
        }
        c.now = at;
        c.step(event);
    }
    c.outcome
}

impl Simulation<'_> {
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrives(i) => {
                let adapter = self.trace.requests[i].adapter;
                let (value, at) = self.scores[adapter];
                let aged = value * (-((self.now - at) as f64) / HALF_LIFE_US).exp2();
                self.scores[adapter] = (aged + 1.0, self.now);
                let assigned =
                    (self.policy == Policy::Blind).then(|| self.least_loaded(|_| true)).flatten();
                self.waiting.push((i, assigned, false));
            }
            Event::Ends(e, adapter) => {
                self.engines[e].running -= 1;
                if let Some(c) = self.engines[e].replicas.get_mut(&adapter) {
                    c.running -= 1;
                    c.used = self.now;
                }
            }
            Event::Loaded(e, adapter) => {
                self.in_flight -= 1;
                if let Some(c) = self.engines[e].replicas.get_mut(&adapter) {
                    c.ready = true;
                }
            }
            Event::Permit => self.retry_scheduled = false,
        }
        self.dispatch();
    }

    fn least_loaded(&self, ok: impl Fn(&Engine) -> bool) -> Option<usize> {
        (0..self.engines.len())
            .filter(|e| ok(&self.engines[*e]))
            .min_by_key(|e| self.engines[*e].running)
    }

    fn dispatch(&mut self) {
        let batch = self.shape.batch;
        let mut seen = BTreeSet::new();
        let mut full = BTreeSet::new();
        let waiting = std::mem::take(&mut self.waiting);
        let mut rest = Vec::new();
        for (i, assigned, mut stalled) in waiting {
            let r = self.trace.requests[i];
            if assigned.is_none() && full.contains(&r.adapter) {
                rest.push((i, assigned, stalled));
                continue;
            }
            let ready = |e: &Engine| e.replicas.get(&r.adapter).is_some_and(|c| c.ready);
            let place = match assigned {
                Some(e) => {
                    Some(e).filter(|e| ready(&self.engines[*e]) && self.engines[*e].running < batch)
                }
                None => self.least_loaded(|e| ready(e) && e.running < batch),
            };
            if let Some(e) = place {
                self.outcome.started(&r, self.now, stalled);
                let engine = &mut self.engines[e];
                engine.running += 1;
                if let Some(c) = engine.replicas.get_mut(&r.adapter) {
                    c.running += 1;
                    c.used = self.now;
                }
                self.events
                    .push(std::cmp::Reverse((self.now + r.duration_us, Event::Ends(e, r.adapter))));
                continue;
            }
            let (any, coming) = match assigned {
                Some(e) => {
                    let c = self.engines[e].replicas.get(&r.adapter);
                    (c.is_some_and(|c| c.ready), c.is_some_and(|c| !c.ready))
                }
                None => (
                    self.engines.iter().any(ready),
                    self.engines
                        .iter()
                        .any(|e| e.replicas.get(&r.adapter).is_some_and(|c| !c.ready)),
                ),
            };
            stalled |= !any;
            // Another replica is loaded, if there is a permit, when all replicas are on full engines.
            if !coming && seen.insert((r.adapter, assigned)) && !(any && assigned.is_some()) {
                self.start_load(r.adapter, assigned);
            }
            full.insert(r.adapter);
            rest.push((i, assigned, stalled));
        }
        self.waiting = rest;
    }

    fn start_load(&mut self, adapter: usize, assigned: Option<usize>) {
        let elapsed = (self.now - self.refilled) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.shape.rate).min(self.shape.rate);
        self.refilled = self.now;
        if self.tokens < 1.0 || self.in_flight >= self.shape.flight {
            if !self.retry_scheduled {
                self.retry_scheduled = true;
                self.events.push(std::cmp::Reverse((self.now + 20_000, Event::Permit)));
            }
            return;
        }
        let Some((e, victim)) = self.find_slot(adapter, assigned) else { return };
        self.tokens -= 1.0;
        self.in_flight += 1;
        self.outcome.loads += 1;
        if let Some(v) = victim {
            self.engines[e].replicas.remove(&v);
        }
        self.engines[e].replicas.insert(adapter, Replica { used: self.now, ..Replica::default() });
        self.events
            .push(std::cmp::Reverse((self.now + self.shape.load_us, Event::Loaded(e, adapter))));
    }

    fn value(&self, adapter: Option<usize>) -> f64 {
        let Some(a) = adapter else { return -1.0 };
        let (value, at) = self.scores[a];
        let replicas = self.engines.iter().filter(|e| e.replicas.contains_key(&a)).count();
        value * (-((self.now - at) as f64) / HALF_LIFE_US).exp2() / replicas as f64
    }

    fn find_slot(&self, adapter: usize, assigned: Option<usize>) -> Option<(usize, Option<usize>)> {
        let wanted: BTreeSet<usize> =
            self.waiting.iter().map(|(i, _, _)| self.trace.requests[*i].adapter).collect();
        let idle = |e: &Engine| {
            e.replicas
                .iter()
                .filter(|(a, c)| c.ready && c.running == 0 && !wanted.contains(a))
                .map(|(a, c)| (*a, c.used))
                .collect::<Vec<_>>()
        };
        let able = |e: &Engine| {
            !e.replicas.contains_key(&adapter)
                && (e.replicas.len() < self.shape.slots || !idle(e).is_empty())
        };
        if self.policy == Policy::Clairvoyant {
            let free = self.least_loaded(|e| {
                e.replicas.len() < self.shape.slots && e.running < self.shape.batch && able(e)
            });
            if let Some(e) = free {
                return Some((e, None));
            }
            return (0..self.engines.len())
                .filter(|e| self.engines[*e].running < self.shape.batch && able(&self.engines[*e]))
                .flat_map(|e| idle(&self.engines[e]).into_iter().map(move |(a, _)| (e, a)))
                .max_by_key(|(e, a)| {
                    let others = self.engines.iter().filter(|o| o.replicas.contains_key(a)).count();
                    let next = self.trace.next_use(*a, self.now);
                    let next = if others > 1 { next.saturating_mul(2) } else { next };
                    (next, std::cmp::Reverse(self.engines[*e].running))
                })
                .map(|(e, a)| (e, Some(a)));
        }
        if self.policy == Policy::Fleet {
            return (0..self.engines.len())
                .filter(|e| self.engines[*e].running < self.shape.batch && able(&self.engines[*e]))
                .flat_map(|e| {
                    let free = self.engines[e].replicas.len() < self.shape.slots;
                    let idle = idle(&self.engines[e]).into_iter().map(move |(a, _)| (e, Some(a)));
                    idle.chain(free.then_some((e, None)))
                })
                .min_by(|a, b| self.value(a.1).total_cmp(&self.value(b.1)));
        }
        let e = match assigned {
            Some(e) => Some(e).filter(|e| able(&self.engines[*e])),
            None => self.least_loaded(able),
        }?;
        if self.engines[e].replicas.len() < self.shape.slots {
            return Some((e, None));
        }
        let victim = if self.policy == Policy::Aged {
            idle(&self.engines[e])
                .into_iter()
                .map(|(a, _)| {
                    let (value, at) = self.scores[a];
                    (a, value * (-((self.now - at) as f64) / HALF_LIFE_US).exp2())
                })
                .min_by(|a, b| a.1.total_cmp(&b.1))
                .map(|(a, _)| a)
        } else {
            idle(&self.engines[e]).into_iter().min_by_key(|(_, used)| *used).map(|(a, _)| a)
        };
        Some((e, victim))
    }
}
