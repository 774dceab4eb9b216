//! Baselines: one decision maker that sees everything without delay.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::trace::{ADAPTERS, Outcome, Shape, Trace};

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Evicts the adapter whose next use is farthest away, over the whole fleet.
    Clairvoyant,
    /// Least-loaded replica; loads on the least-loaded engine; evicts the least recently used.
    Resident,
    /// Least-loaded engine whether or not the adapter is resident; evicts the least recently used.
    Blind,
    /// As `Resident`, evicts the lowest request count with decay.
    Aged,
    /// Evicts the lowest request count with decay over the whole fleet.
    Fleet,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Ends(usize, usize),
    Loaded(usize, usize),
    Arrives(usize),
    Permit,
}

#[derive(Default)]
struct Copy {
    used: u64,
    running: usize,
    ready: bool,
}

#[derive(Default)]
struct Engine {
    copies: BTreeMap<usize, Copy>,
    running: usize,
}

struct Central<'a> {
    t: &'a Trace,
    s: &'a Shape,
    policy: Policy,
    now: u64,
    engines: Vec<Engine>,
    // Request, its engine if it is fixed, whether it stalled.
    waiting: Vec<(usize, Option<usize>, bool)>,
    events: BinaryHeap<std::cmp::Reverse<(u64, What)>>,
    tokens: f64,
    filled: u64,
    flying: usize,
    woken: bool,
    scores: Vec<(f64, u64)>,
    out: Outcome,
}

const HALF_LIFE: f64 = 100e6;

pub fn run(t: &Trace, s: &Shape, policy: Policy) -> Outcome {
    let mut c = Central {
        t,
        s,
        policy,
        now: 0,
        engines: (0..s.engines).map(|_| Engine::default()).collect(),
        waiting: Vec::new(),
        events: BinaryHeap::new(),
        tokens: s.rate,
        filled: 0,
        flying: 0,
        woken: false,
        scores: vec![(0.0, 0); ADAPTERS],
        out: Outcome::new(t),
    };
    for (i, r) in t.requests.iter().enumerate() {
        c.events.push(std::cmp::Reverse((r.at, What::Arrives(i))));
    }
    while let Some(std::cmp::Reverse((at, what))) = c.events.pop() {
        if at > t.end {
            break;
        }
        let running: usize = c.engines.iter().map(|e| e.running).sum();
        if !c.waiting.is_empty() {
            c.out.used += running as u128 * u128::from(at - c.now);
            c.out.available += (s.engines * s.batch) as u128 * u128::from(at - c.now);
        }
        c.now = at;
        c.step(what);
    }
    c.out
}

impl Central<'_> {
    fn step(&mut self, what: What) {
        match what {
            What::Arrives(i) => {
                let adapter = self.t.requests[i].adapter;
                let (value, at) = self.scores[adapter];
                let aged = value * (-((self.now - at) as f64) / HALF_LIFE).exp2();
                self.scores[adapter] = (aged + 1.0, self.now);
                let fixed = (self.policy == Policy::Blind).then(|| self.least(|_| true)).flatten();
                self.waiting.push((i, fixed, false));
            }
            What::Ends(e, adapter) => {
                self.engines[e].running -= 1;
                if let Some(c) = self.engines[e].copies.get_mut(&adapter) {
                    c.running -= 1;
                    c.used = self.now;
                }
            }
            What::Loaded(e, adapter) => {
                self.flying -= 1;
                if let Some(c) = self.engines[e].copies.get_mut(&adapter) {
                    c.ready = true;
                }
            }
            What::Permit => self.woken = false,
        }
        self.dispatch();
    }

    fn least(&self, ok: impl Fn(&Engine) -> bool) -> Option<usize> {
        (0..self.engines.len())
            .filter(|e| ok(&self.engines[*e]))
            .min_by_key(|e| self.engines[*e].running)
    }

    fn dispatch(&mut self) {
        let batch = self.s.batch;
        let mut seen = BTreeSet::new();
        let mut full = BTreeSet::new();
        let waiting = std::mem::take(&mut self.waiting);
        let mut rest = Vec::new();
        for (i, fixed, mut stalled) in waiting {
            let r = self.t.requests[i];
            if fixed.is_none() && full.contains(&r.adapter) {
                rest.push((i, fixed, stalled));
                continue;
            }
            let ready = |e: &Engine| e.copies.get(&r.adapter).is_some_and(|c| c.ready);
            let place = match fixed {
                Some(e) => {
                    Some(e).filter(|e| ready(&self.engines[*e]) && self.engines[*e].running < batch)
                }
                None => self.least(|e| ready(e) && e.running < batch),
            };
            if let Some(e) = place {
                self.out.started(&r, self.now, stalled);
                let engine = &mut self.engines[e];
                engine.running += 1;
                if let Some(c) = engine.copies.get_mut(&r.adapter) {
                    c.running += 1;
                    c.used = self.now;
                }
                self.events.push(std::cmp::Reverse((self.now + r.took, What::Ends(e, r.adapter))));
                continue;
            }
            let (any, coming) = match fixed {
                Some(e) => {
                    let c = self.engines[e].copies.get(&r.adapter);
                    (c.is_some_and(|c| c.ready), c.is_some_and(|c| !c.ready))
                }
                None => (
                    self.engines.iter().any(ready),
                    self.engines.iter().any(|e| e.copies.get(&r.adapter).is_some_and(|c| !c.ready)),
                ),
            };
            stalled |= !any;
            // Another copy, when every one is on a full engine, is worth a spare load.
            if !coming && seen.insert((r.adapter, fixed)) && !(any && fixed.is_some()) {
                self.load(r.adapter, fixed);
            }
            full.insert(r.adapter);
            rest.push((i, fixed, stalled));
        }
        self.waiting = rest;
    }

    fn load(&mut self, adapter: usize, fixed: Option<usize>) {
        let elapsed = (self.now - self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.s.rate).min(self.s.rate);
        self.filled = self.now;
        if self.tokens < 1.0 || self.flying >= self.s.flight {
            if !self.woken {
                self.woken = true;
                self.events.push(std::cmp::Reverse((self.now + 20_000, What::Permit)));
            }
            return;
        }
        let Some((e, victim)) = self.room(adapter, fixed) else { return };
        self.tokens -= 1.0;
        self.flying += 1;
        self.out.loads += 1;
        if let Some(v) = victim {
            self.engines[e].copies.remove(&v);
        }
        self.engines[e].copies.insert(adapter, Copy { used: self.now, ..Copy::default() });
        self.events.push(std::cmp::Reverse((self.now + self.s.load_us, What::Loaded(e, adapter))));
    }

    fn value(&self, adapter: Option<usize>) -> f64 {
        let Some(a) = adapter else { return -1.0 };
        let (value, at) = self.scores[a];
        let copies = self.engines.iter().filter(|e| e.copies.contains_key(&a)).count();
        value * (-((self.now - at) as f64) / HALF_LIFE).exp2() / copies as f64
    }

    fn room(&self, adapter: usize, fixed: Option<usize>) -> Option<(usize, Option<usize>)> {
        let wanted: BTreeSet<usize> =
            self.waiting.iter().map(|(i, _, _)| self.t.requests[*i].adapter).collect();
        let idle = |e: &Engine| {
            e.copies
                .iter()
                .filter(|(a, c)| c.ready && c.running == 0 && !wanted.contains(a))
                .map(|(a, c)| (*a, c.used))
                .collect::<Vec<_>>()
        };
        let able = |e: &Engine| {
            !e.copies.contains_key(&adapter)
                && (e.copies.len() < self.s.slots || !idle(e).is_empty())
        };
        if self.policy == Policy::Clairvoyant {
            let free = self
                .least(|e| e.copies.len() < self.s.slots && e.running < self.s.batch && able(e));
            if let Some(e) = free {
                return Some((e, None));
            }
            return (0..self.engines.len())
                .filter(|e| self.engines[*e].running < self.s.batch && able(&self.engines[*e]))
                .flat_map(|e| idle(&self.engines[e]).into_iter().map(move |(a, _)| (e, a)))
                .max_by_key(|(e, a)| {
                    let others = self.engines.iter().filter(|o| o.copies.contains_key(a)).count();
                    let next = self.t.next_use(*a, self.now);
                    let next = if others > 1 { next.saturating_mul(2) } else { next };
                    (next, std::cmp::Reverse(self.engines[*e].running))
                })
                .map(|(e, a)| (e, Some(a)));
        }
        if self.policy == Policy::Fleet {
            return (0..self.engines.len())
                .filter(|e| self.engines[*e].running < self.s.batch && able(&self.engines[*e]))
                .flat_map(|e| {
                    let free = self.engines[e].copies.len() < self.s.slots;
                    let idle = idle(&self.engines[e]).into_iter().map(move |(a, _)| (e, Some(a)));
                    idle.chain(free.then_some((e, None)))
                })
                .min_by(|a, b| self.value(a.1).total_cmp(&self.value(b.1)));
        }
        let e = match fixed {
            Some(e) => Some(e).filter(|e| able(&self.engines[*e])),
            None => self.least(able),
        }?;
        if self.engines[e].copies.len() < self.s.slots {
            return Some((e, None));
        }
        let victim = if self.policy == Policy::Aged {
            idle(&self.engines[e])
                .into_iter()
                .map(|(a, _)| {
                    let (value, at) = self.scores[a];
                    (a, value * (-((self.now - at) as f64) / HALF_LIFE).exp2())
                })
                .min_by(|a, b| a.1.total_cmp(&b.1))
                .map(|(a, _)| a)
        } else {
            idle(&self.engines[e]).into_iter().min_by_key(|(_, used)| *used).map(|(a, _)| a)
        };
        Some((e, victim))
    }
}
