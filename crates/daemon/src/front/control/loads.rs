//! Loads of adapters: requests that wait for them, orders to the engines that this host owns, and
//! the reports of these engines.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix::{ActorFutureExt, Addr, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use slog::kv;
use tokio::sync::oneshot;
use yuccawing_core::{
    fleet::{
        ask::Ask,
        digest::{Message as Peer, Ready, Want},
        dispatch::Grant,
        keeper::{Keeper, Step, Wish},
        order::{self, Answer, Order, Verb},
        peers::Owner,
        replicas::ReplicaKey,
        report::Resident,
    },
    time::Tick,
};
use yuccawing_platform::{headers, replica as wire};

use super::{Control, Go, Verdict};
use crate::{
    events::{Event, emit},
    front::{
        client::{Client, Fault},
        clock,
    },
};

/// Time that a request waits for a load before it tries another engine. Loads that wait for others
/// at the weight store go on, and a second one elsewhere would slow all of them.
const LOAD_WAIT: Duration = Duration::from_millis(2500);

/// Engines that a request waits at in turn.
const MAX_LOADS: usize = 3;

/// Interval of repeated messages to the owner of an engine, since datagrams get lost.
const RESEND: Duration = Duration::from_millis(100);

/// Interval of reading the report of an engine.
const REPORT: Duration = Duration::from_millis(400);

/// Time for a report or an order. Both need no slot at the engine.
const CALL: Duration = Duration::from_millis(300);

/// Largest report: some thousand adapters' names.
const MAX_REPORT: usize = 256 * 1024;

/// Reports in a row without an answer after which an engine counts as dead.
const MAX_MISSES: u32 = 2;

/// Time after which a quick load is checked for the first time.
const CHECK_WARM: Duration = Duration::from_millis(30);

/// The same for a load from the weight store.
const CHECK_COLD: Duration = Duration::from_millis(255);

/// The same for a base model, and the interval of its further checks.
const CHECK_MODEL: Duration = Duration::from_millis(400);

/// Interval of further checks.
const CHECK_AGAIN: Duration = Duration::from_millis(40);

/// Peers that are told of one load.
const MAX_ASKERS: usize = 64;

/// Engine that this host owns.
#[derive(Debug, Default)]
pub(super) struct Keep {
    pub(super) keeper: Keeper,
    // When the last report was asked for.
    asked: Option<Tick>,
    reading: bool,
    misses: u32,
    // Peers that wait for loads.
    askers: Vec<(SocketAddr, Resident)>,
}

struct Waiter {
    ask: Ask,
    charge: Option<(ArcStr, f64)>,
    reply: oneshot::Sender<Verdict>,
    go: Go,
    resident: Resident,
    since: Tick,
    told: Option<Tick>,
    loads: usize,
    // The owner of the engine cannot load it.
    failed: bool,
}

/// Requests that wait for a load.
#[derive(Default)]
pub(super) struct Waiters {
    list: Vec<Waiter>,
}

enum Fate {
    Wait,
    Release,
    Elsewhere,
    Left,
}

impl Control {
    /// Notes the use of an adapter at an engine of this host.
    pub(super) fn uses(&mut self, now: Tick, ask: &Ask, grant: &Grant) {
        if let (Some(keep), Some(d)) = (self.keeps.get_mut(&grant.replica), &ask.demand) {
            keep.keeper.uses(now, &d.artifact);
        }
    }

    pub(super) fn await_load(
        &mut self,
        now: Tick,
        ask: Ask,
        charge: Option<(ArcStr, f64)>,
        reply: oneshot::Sender<Verdict>,
        go: Go,
        loads: usize,
    ) {
        let resident = go.grant.load.clone().expect("the grant names a load");
        let w = Waiter {
            ask,
            charge,
            reply,
            go,
            resident,
            since: now,
            told: None,
            loads,
            failed: false,
        };
        self.waiters.list.push(w);
    }

    /// Looks after all waiting requests.
    pub(super) fn check_waiters(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut waiting = Vec::new();
        for mut w in std::mem::take(&mut self.waiters.list) {
            match self.fate(now, &w) {
                Fate::Left => {}
                Fate::Release => self.release(now, w),
                Fate::Elsewhere => self.elsewhere(now, w, ctx.address()),
                Fate::Wait => {
                    if w.told.is_none_or(|t| now.since(t) >= RESEND) {
                        w.told = Some(now);
                        if !self.ask_owner(now, &w) {
                            self.elsewhere(now, w, ctx.address());
                            continue;
                        }
                    }
                    waiting.push(w);
                }
            }
        }
        self.waiters.list.append(&mut waiting);
        self.drive_all(now, ctx);
    }

    /// Releases requests whose adapter is in place now.
    pub(super) fn release_present(&mut self, now: Tick, ctx: &mut Context<Self>) {
        if !self.waiters.list.is_empty() {
            self.check_waiters(now, ctx);
        }
    }

    fn fate(&self, now: Tick, w: &Waiter) -> Fate {
        if w.reply.is_closed() {
            return Fate::Left;
        }
        let Some(r) = self.dispatcher.replicas.get(w.go.grant.replica) else {
            return Fate::Elsewhere;
        };
        if !r.usable() {
            return Fate::Elsewhere;
        }
        if self.dispatcher.resident(r, &w.resident.artifact) {
            return Fate::Release;
        }
        if w.failed || now.since(w.since) >= LOAD_WAIT { Fate::Elsewhere } else { Fate::Wait }
    }

    fn release(&mut self, now: Tick, w: Waiter) {
        let waited = now.since(w.since);
        self.meters.stall(&w.ask.service, waited);
        let fields = kv!(
            "id" => w.ask.id.as_str(), "replica" => w.go.grant.id.as_str(),
            "adapter" => w.resident.artifact.as_str(), "waited_ms" => waited.as_millis() as u64,
        );
        emit(&self.log, Event::LoadAwaited, &fields);
        self.dispatcher.sent(now, w.go.grant.run);
        self.uses(now, &w.ask, &w.go.grant);
        // A guard that nobody receives ends the request when it is dropped.
        let _ = w.reply.send(Verdict::Go(w.go));
    }

    fn elsewhere(&mut self, now: Tick, w: Waiter, control: Addr<Self>) {
        let fields = kv!(
            "id" => w.ask.id.as_str(), "replica" => w.go.grant.id.as_str(),
            "adapter" => w.resident.artifact.as_str(),
            "waited_ms" => now.since(w.since).as_millis() as u64,
        );
        emit(&self.log, Event::LoadLate, &fields);
        let mut ask = w.ask;
        ask.tried.push(w.go.grant.replica);
        drop(w.go);
        if w.loads + 1 >= MAX_LOADS || now >= ask.deadline {
            let refused =
                Verdict::Refused { limit: false, reason: "load", retry: ask.left(now) / 4 };
            if let Some((account, cost)) = &w.charge {
                self.quota.refund(account, *cost);
            }
            let _ = w.reply.send(refused);
            return;
        }
        self.place(now, ask, w.charge, w.reply, control, w.loads + 1);
    }

    // Asks for a load. Returns whether it can be had.
    fn ask_owner(&mut self, now: Tick, w: &Waiter) -> bool {
        let k = w.go.grant.replica;
        let Some(r) = self.dispatcher.replicas.get(k) else { return false };
        match self.peers.owner(now, &r.id) {
            Owner::Me { .. } => {
                let lease = self.lease();
                let may = r.tenure.may(now, lease);
                may && self.wish(now, k, &w.resident) != Wish::Refused
            }
            Owner::Peer(ip) => {
                let want = Want { replica: r.hash, resident: w.resident.clone() };
                self.send(ip, &Peer::Want(want));
                true
            }
        }
    }

    fn wish(&mut self, now: Tick, k: ReplicaKey, resident: &Resident) -> Wish {
        let dispatcher = &self.dispatcher;
        let spec = dispatcher.replicas.get(k).and_then(|r| dispatcher.engine(&r.service));
        let (Some(keep), Some(spec)) = (self.keeps.get_mut(&k), spec) else {
            return Wish::Refused;
        };
        let in_use = |a: &str| dispatcher.in_use(k, a);
        keep.keeper.wish(now, resident.clone(), spec.places as usize, in_use)
    }

    /// A peer asks for a load.
    pub(super) fn wanted(&mut self, now: Tick, from: SocketAddr, w: Want, ctx: &mut Context<Self>) {
        let lease = self.lease();
        let found = self.dispatcher.replicas.find(w.replica);
        let may = found
            .and_then(|k| self.dispatcher.replicas.get(k))
            .is_some_and(|r| r.usable() && r.tenure.may(now, lease));
        let wish = match found.filter(|_| may) {
            Some(k) => self.wish(now, k, &w.resident),
            None => Wish::Refused,
        };
        if let Some(keep) = found.and_then(|k| self.keeps.get_mut(&k)) {
            let asker = (from, w.resident.clone());
            let known = keep.askers.contains(&asker);
            if wish == Wish::Queued && keep.askers.len() < MAX_ASKERS && !known {
                keep.askers.push(asker);
            }
        }
        if wish != Wish::Queued {
            let loaded = wish == Wish::Present;
            let ready = Ready { replica: w.replica, resident: w.resident, loaded };
            super::mesh::send(&self.socket, from, &Peer::Ready(ready), &self.log);
        }
        self.drive_all(now, ctx);
    }

    /// A peer tells the outcome of a load.
    pub(super) fn ready(&mut self, r: &Ready) {
        let Some(k) = self.dispatcher.replicas.find(r.replica) else { return };
        if r.loaded {
            self.place_resident(k, &r.resident);
        }
        for w in &mut self.waiters.list {
            if w.go.grant.replica == k && w.resident == r.resident && !r.loaded {
                w.failed = true;
            }
        }
    }

    fn place_resident(&mut self, k: ReplicaKey, resident: &Resident) {
        if let Some(r) = self.dispatcher.replicas.get_mut(k) {
            let v = r.residents.entry(resident.artifact.clone()).or_default();
            *v = (*v).max(resident.version);
            r.touch(&resident.artifact);
        }
    }

    /// Sends the orders that are due.
    pub(super) fn drive_all(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let keys: Vec<_> = self.keeps.keys().copied().collect();
        for k in keys {
            self.drive(now, k, ctx);
        }
    }

    fn drive(&mut self, now: Tick, k: ReplicaKey, ctx: &mut Context<Self>) {
        if self.leaving {
            return;
        }
        let lease = self.lease();
        let Some(r) = self.dispatcher.replicas.get(k) else { return };
        if !r.usable() || !r.tenure.may(now, lease) {
            return;
        }
        let expected = r.tenure.expected(now, lease);
        let Some(spec) = self.dispatcher.engine(&r.service) else { return };
        let dispatcher = &self.dispatcher;
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        let Some(step) = keep.keeper.next(now, spec, |a| dispatcher.in_use(k, a)) else { return };
        keep.keeper.sent(now, &step);
        let loading = keep.keeper.loads() as u32;
        if let Some(r) = self.dispatcher.replicas.get_mut(k) {
            r.loading = loading;
        }
        if step.verb == Verb::Unload
            && let Some(r) = self.dispatcher.replicas.get_mut(k)
        {
            // No request of this host may count on it from here on.
            r.residents.remove(&step.resident.artifact);
        }
        self.give(now, k, step, expected, ctx);
    }

    fn give(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        step: Step,
        expected: Option<u64>,
        ctx: &mut Context<Self>,
    ) {
        let Some(r) = self.dispatcher.replicas.get_mut(k) else { return };
        let fence = r.tenure.sent(now, self.store.revision, self.settings.ip);
        let version = Some(step.resident.version).filter(|v| *v > 0);
        let order = Order {
            verb: step.verb,
            artifact: step.resident.artifact.clone(),
            version: version.filter(|_| step.verb == Verb::Load),
            expected,
            holder: self.settings.name.clone(),
            fence,
        };
        let call = post_order(self.client.clone(), r.address, r.id.clone(), order);
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            act.ordered(k, &step, fence, &answer, ctx);
        }));
    }

    fn ordered(
        &mut self,
        k: ReplicaKey,
        step: &Step,
        fence: u64,
        answer: &Result<Answer, Fault>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let warm = self.dispatcher.replicas.get(k).is_some_and(|r| r.warm(&step.resident.artifact));
        let (verb, name) = (verb(step.verb), answer_name(answer));
        self.meters.order(verb, &name);
        let replica = self.dispatcher.replicas.get(k).map(|r| r.id.clone()).unwrap_or_default();
        let fields = kv!(
            "replica" => replica.as_str(), "verb" => verb, "artifact" => step.resident.artifact.as_str(),
            "version" => step.resident.version, "fence" => fence, "answer" => name.as_str(),
        );
        emit(&self.log, Event::OrderAnswered, &fields);
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        keep.keeper.answered(now, step, answer.as_ref().ok().copied());
        match (step.verb, answer) {
            (Verb::Load, Ok(Answer::Done)) => self.loaded(now, k, &step.resident),
            (Verb::Load, Ok(Answer::Accepted) | Err(_)) => {
                let model = !step.resident.artifact.contains('/');
                let wait = match (model, warm) {
                    (true, _) => CHECK_MODEL,
                    (false, true) => CHECK_WARM,
                    (false, false) => CHECK_COLD,
                };
                self.check_later(k, step.resident.clone(), wait, ctx);
            }
            // The keeper tries it again.
            (Verb::Load, Ok(Answer::Conflict)) => {}
            (Verb::Load, Ok(_)) => self.load_failed(k, &step.resident),
            (Verb::Unload, _) => {}
        }
        self.drive(now, k, ctx);
    }

    // Repeats the order after a while: it is answered as done when the load has ended.
    fn check_later(
        &mut self,
        k: ReplicaKey,
        resident: Resident,
        wait: Duration,
        ctx: &mut Context<Self>,
    ) {
        ctx.run_later(wait, move |act, ctx| {
            let now = clock::now();
            let lease = act.lease();
            let may = act
                .dispatcher
                .replicas
                .get(k)
                .is_some_and(|r| r.usable() && r.tenure.may(now, lease));
            let loading =
                act.keeps.get(&k).is_some_and(|keep| keep.keeper.loading(&resident.artifact));
            if !may || !loading || act.leaving {
                return;
            }
            let Some(r) = act.dispatcher.replicas.get_mut(k) else { return };
            let fence = r.tenure.sent(now, act.store.revision, act.settings.ip);
            let order = Order {
                verb: Verb::Load,
                artifact: resident.artifact.clone(),
                version: Some(resident.version).filter(|v| *v > 0),
                expected: None,
                holder: act.settings.name.clone(),
                fence,
            };
            let call = post_order(act.client.clone(), r.address, r.id.clone(), order);
            ctx.spawn(call.into_actor(act).map(move |answer, act, ctx| {
                act.checked(k, resident, &answer, ctx);
            }));
        });
    }

    fn checked(
        &mut self,
        k: ReplicaKey,
        resident: Resident,
        answer: &Result<Answer, Fault>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        self.meters.order("check", &answer_name(answer));
        match answer {
            Ok(Answer::Done) => {
                self.loaded(now, k, &resident);
                self.drive(now, k, ctx);
            }
            Ok(Answer::Accepted | Answer::Conflict) | Err(_) => {
                let model = !resident.artifact.contains('/');
                let wait = if model { CHECK_MODEL } else { CHECK_AGAIN };
                self.check_later(k, resident, wait, ctx);
            }
            Ok(a) => {
                let fields = kv!(
                    "artifact" => resident.artifact.as_str(), "answer" => format!("{a:?}"),
                );
                emit(&self.log, Event::LoadFailed, &fields);
                self.load_failed(k, &resident);
            }
        }
    }

    fn loaded(&mut self, now: Tick, k: ReplicaKey, resident: &Resident) {
        if let Some(keep) = self.keeps.get_mut(&k) {
            keep.keeper.loaded(now, resident);
            if let Some(r) = self.dispatcher.replicas.get_mut(k) {
                r.loading = keep.keeper.loads() as u32;
            }
        }
        self.place_resident(k, resident);
        self.tell_askers(k, resident, true);
        let replica = self.dispatcher.replicas.get(k).map(|r| r.id.clone()).unwrap_or_default();
        let fields = kv!(
            "replica" => replica.as_str(), "artifact" => resident.artifact.as_str(),
            "version" => resident.version,
        );
        emit(&self.log, Event::AdapterLoaded, &fields);
        let list = std::mem::take(&mut self.waiters.list);
        let (ready, rest): (Vec<_>, Vec<_>) = list
            .into_iter()
            .partition(|w| w.go.grant.replica == k && w.resident.artifact == resident.artifact);
        self.waiters.list = rest;
        for w in ready {
            self.release(now, w);
        }
    }

    fn load_failed(&mut self, k: ReplicaKey, resident: &Resident) {
        self.tell_askers(k, resident, false);
        for w in &mut self.waiters.list {
            if w.go.grant.replica == k && w.resident == *resident {
                w.failed = true;
            }
        }
    }

    fn tell_askers(&mut self, k: ReplicaKey, resident: &Resident, loaded: bool) {
        let Some(hash) = self.dispatcher.replicas.get(k).map(|r| r.hash) else { return };
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        let askers = std::mem::take(&mut keep.askers);
        let (told, rest): (Vec<_>, Vec<_>) = askers
            .into_iter()
            .partition(|(_, r)| r.artifact == resident.artifact && r.version <= resident.version);
        keep.askers = rest;
        for (to, r) in told {
            let ready = Ready { replica: hash, resident: r, loaded };
            super::mesh::send(&self.socket, to, &Peer::Ready(ready), &self.log);
        }
    }

    /// Reads the reports that are due.
    pub(super) fn read_reports(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut due = Vec::new();
        for (k, keep) in &mut self.keeps {
            let wanted = keep.asked.is_none_or(|t| now.since(t) >= REPORT) && !keep.reading;
            let Some(r) = self.dispatcher.replicas.get(*k) else { continue };
            if wanted && r.missing.is_none() {
                keep.asked = Some(now);
                keep.reading = true;
                due.push((*k, r.address));
            }
        }
        for (k, address) in due {
            let read = read_report(self.client.clone(), address);
            ctx.spawn(read.into_actor(self).map(move |answer, act, ctx| {
                act.reported(k, now, answer, ctx);
            }));
        }
    }

    fn reported(
        &mut self,
        k: ReplicaKey,
        asked: Tick,
        answer: Result<(u16, Bytes), Fault>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        keep.reading = false;
        let Some(r) = self.dispatcher.replicas.get_mut(k) else { return };
        let report = match answer {
            Ok((200, body)) => wire::report(&body).map_err(|e| e.to_string()),
            Ok((status, _)) => Err(format!("status {status}")),
            Err(e) => Err(e.to_string()),
        };
        match report {
            Ok(report) => {
                if report.born != 0 && report.born != r.born {
                    // Another start of the replica, which the store has not told of yet.
                    keep.keeper.restarted();
                    r.tenure.restarted();
                    r.residents.clear();
                    return;
                }
                if !r.alive {
                    r.alive = true;
                    emit(&self.log, Event::ReplicaAnswers, &kv!("replica" => r.id.as_str()));
                }
                keep.misses = 0;
                r.tenure.counted(asked, report.orders);
                keep.keeper.reported(asked, &report);
                r.hold(keep.keeper.residents());
                r.told = Some(now);
                let lease = Duration::from_millis(self.settings.bounds.lease_ms);
                r.held = r.tenure.may(now, order::Lease { term: lease });
            }
            Err(error) => {
                keep.misses += 1;
                if r.alive && keep.misses >= MAX_MISSES {
                    r.alive = false;
                    let fields = kv!("replica" => r.id.as_str(), "error" => error);
                    emit(&self.log, Event::ReplicaSilent, &fields);
                }
            }
        }
        self.drive(now, k, ctx);
    }
}

fn verb(v: Verb) -> &'static str {
    match v {
        Verb::Load => "load",
        Verb::Unload => "unload",
    }
}

fn answer_name(answer: &Result<Answer, Fault>) -> String {
    match answer {
        Ok(a) => format!("{a:?}"),
        Err(e) => e.to_string(),
    }
}

async fn read_report(client: Rc<Client>, address: SocketAddr) -> Result<(u16, Bytes), Fault> {
    let request = Request::get(wire::REPORT)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))
        .expect("the request is valid");
    client.call(address, request, CALL, MAX_REPORT).await
}

async fn post_order(
    client: Rc<Client>,
    address: SocketAddr,
    id: ArcStr,
    order: Order,
) -> Result<Answer, Fault> {
    let request = Request::post(wire::ORDER)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header(headers::EXPECT_REPLICA, id.as_str())
        .body(Full::new(Bytes::from(wire::order(&order))))
        .expect("the request is valid");
    let (status, _) = client.call(address, request, CALL, MAX_REPORT).await?;
    Ok(wire::answer(status))
}
