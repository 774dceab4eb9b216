//! Random runs of two hosts that order loads at one engine over a network that delays, reorders and
//! loses orders and responses.

use std::collections::{BTreeSet, VecDeque};

use proptest::prelude::*;

use super::{Loader, adapter, at, spec};
use crate::fleet::{
    load_time::MAX_TRANSFERS,
    loader::Step,
    order::{OrderResponse, Verb},
    random::Random,
    report::{Report, Resident},
};

const SLOTS: u32 = 3;
const ADAPTERS: u64 = 6;
/// Age of the content of a report, in ms.
const LAG_MS: u64 = 200;
/// Time after which a host stops waiting for a response, in ms.
const TIMEOUT_MS: u64 = 300;
const TICK_MS: u64 = 10;
const RUN_MS: u64 = 30_000;
/// Time after which all adapters have a newer version, in ms.
const VERSION_MS: u64 = 5000;

#[derive(Default)]
struct Engine {
    count: u64,
    held: BTreeSet<Resident>,
    coming: Vec<(Resident, u64)>,
    // Reports with the time of their content, oldest first.
    reports: VecDeque<(u64, Report)>,
}

impl Engine {
    fn execute(&mut self, ms: u64, o: &Sent) -> Result<OrderResponse, TestCaseError> {
        let r = &o.step.resident;
        if o.expected != self.count {
            return Ok(OrderResponse::Conflict);
        }
        match o.step.verb {
            Verb::Load if self.held.contains(r) => Ok(OrderResponse::Done),
            Verb::Load if self.coming.iter().any(|(c, _)| c == r) => Ok(OrderResponse::Accepted),
            Verb::Load => {
                self.count += 1;
                self.coming.push((r.clone(), ms + 250));
                let taken = self.held.len() + self.coming.len();
                prop_assert!(taken <= SLOTS as usize, "{taken} adapters at {ms} ms");
                Ok(OrderResponse::Accepted)
            }
            Verb::Unload => {
                self.count += 1;
                self.held.retain(|h| h.artifact != r.artifact);
                Ok(OrderResponse::Done)
            }
        }
    }

    fn tick(&mut self, ms: u64) {
        let (done, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.coming).into_iter().partition(|(_, t)| *t <= ms);
        self.coming = rest;
        for (r, _) in done {
            self.held.retain(|h| h.artifact != r.artifact);
            self.held.insert(r);
        }
        let model = Resident { artifact: "m".into(), version: 1 };
        let report = Report {
            residents: self.held.iter().cloned().chain([model]).collect(),
            transferring: self.coming.iter().map(|(r, _)| r.clone()).collect(),
            order_count: self.count,
            ..Report::default()
        };
        self.reports.push_back((ms, report));
        while self.reports.get(1).is_some_and(|(t, _)| t + LAG_MS <= ms) {
            self.reports.pop_front();
        }
    }
}

struct Sent {
    host: usize,
    step: Step,
    check: bool,
    expected: u64,
    sent_ms: u64,
    arrival_ms: u64,
    response: Option<(u64, OrderResponse)>,
    // Whether the host has given up or read the response.
    closed: bool,
}

struct Run {
    random: Random,
    engine: Engine,
    hosts: [Loader; 2],
    orders: Vec<Sent>,
    loads: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        let hosts = [Loader::default(), Loader::default()];
        Self {
            random: Random(seed),
            engine: Engine::default(),
            hosts,
            orders: Vec::new(),
            loads: 0,
        }
    }

    // One of the adapters, in the version that is the newest at the time.
    fn newest(&mut self, ms: u64) -> Resident {
        let n = self.random.below(ADAPTERS) as u32;
        Resident { version: 1 + ms / VERSION_MS, ..adapter(n) }
    }

    // Mostly a few ms, sometimes seconds.
    fn delay(&mut self) -> u64 {
        if self.random.below(12) == 0 { self.random.below(4000) } else { 1 + self.random.below(8) }
    }

    fn send(&mut self, ms: u64, host: usize, step: Step, check: bool) {
        let Some(expected) = self.hosts[host].expected_count() else { return };
        if check {
            self.hosts[host].record_check_sent();
        } else {
            self.hosts[host].record_sent(at(ms), &step);
        }
        let arrival_ms = ms + self.delay();
        let order = Sent {
            host,
            step,
            check,
            expected,
            sent_ms: ms,
            arrival_ms,
            response: None,
            closed: false,
        };
        self.orders.push(order);
    }

    fn deliver(&mut self, ms: u64) -> Result<(), TestCaseError> {
        for i in 0..self.orders.len() {
            let o = &self.orders[i];
            if o.response.is_none() && o.arrival_ms <= ms {
                let response = self.engine.execute(ms, o)?;
                let back = ms + self.delay();
                self.orders[i].response = Some((back, response));
            }
        }
        for o in &mut self.orders {
            let response = o.response.filter(|(t, _)| *t <= ms).map(|(_, r)| r);
            if o.closed || (response.is_none() && ms < o.sent_ms + TIMEOUT_MS) {
                continue;
            }
            o.closed = true;
            let l = &mut self.hosts[o.host];
            match (o.check, response) {
                (true, _) => l.record_check(at(ms), &o.step.resident, response),
                (false, _) => l.record_response(at(ms), &o.step, response),
            }
            if o.step.verb == Verb::Load && response == Some(OrderResponse::Done) {
                l.finish_load(at(ms), &o.step.resident);
                self.loads += 1;
            }
        }
        self.orders.retain(|o| !o.closed || o.response.is_none());
        Ok(())
    }

    fn tick(&mut self, ms: u64, owner: usize) -> Result<(), TestCaseError> {
        self.engine.tick(ms);
        self.deliver(ms)?;
        if self.random.below(30) == 0 || self.hosts[owner].needs_report() {
            let report = self.engine.reports[0].1.clone();
            self.hosts[owner].apply_report(at(ms), &report);
        }
        if self.random.below(4) == 0 {
            let r = self.newest(ms);
            self.hosts[owner].request_load(at(ms), r, SLOTS as usize, |_| false);
        }
        let l = &mut self.hosts[owner];
        if let Some(step) = l.next_step(at(ms), &spec(SLOTS), MAX_TRANSFERS, |_| false) {
            self.send(ms, owner, step, false);
        } else if self.random.below(3) == 0 {
            let version = 1 + self.random.below(RUN_MS / VERSION_MS);
            let r = Resident { version, ..self.newest(ms) };
            if self.hosts[owner].is_loading(&r) {
                self.send(ms, owner, Step { verb: Verb::Load, resident: r }, true);
            }
        }
        Ok(())
    }
}

proptest! {
    // Guards against more adapters than slots at an engine, which then crashes: by orders that arrive
    // late, by orders of a host that has just lost or regained the engine, and by lost responses.
    #[test]
    fn the_slots_are_never_exceeded(seed: u64) {
        let mut run = Run::new(seed);
        let mut owner = 0;
        for ms in (0..RUN_MS).step_by(TICK_MS as usize) {
            if run.random.below(150) == 0 {
                owner = 1 - owner;
                if run.random.below(2) == 0 {
                    run.hosts[owner].reset();
                }
            }
            run.tick(ms, owner)?;
        }
        prop_assert!(run.loads > 0, "no load ended");
    }
}
