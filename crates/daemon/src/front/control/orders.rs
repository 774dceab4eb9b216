//! Orders to the engines that this host owns, and their reports.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use slog::kv;
use yuccawing_core::{
    fleet::{
        digest::{LoadRequest, LoadResult, Message as Peer},
        loader::{LoadStatus, Loader, Step},
        order::{Order, OrderResponse, Verb},
        replicas::ReplicaKey,
        report::Resident,
    },
    time::Tick,
};
use yuccawing_platform::{headers, replica as wire};

use super::Control;
use crate::{
    events::{Event, emit},
    front::{
        client::{Client, Fault},
        clock,
    },
};

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
    pub(super) keeper: Loader,
    // When the last report was asked for.
    asked: Option<Tick>,
    reading: bool,
    misses: u32,
    // Peers that wait for loads.
    askers: Vec<(SocketAddr, Resident)>,
}

impl Control {
    /// Asks the keeper of an owned engine for an adapter.
    pub(super) fn wish(&mut self, now: Tick, k: ReplicaKey, resident: &Resident) -> LoadStatus {
        let dispatcher = &self.dispatcher;
        let spec = dispatcher.replicas.get(k).and_then(|r| dispatcher.engine_spec(&r.service));
        let (Some(keep), Some(spec)) = (self.keeps.get_mut(&k), spec) else {
            return LoadStatus::Refused;
        };
        let in_use = |a: &str| dispatcher.in_use(k, a);
        keep.keeper.request_load(now, resident.clone(), spec.adapter_slots as usize, in_use)
    }

    /// A peer asks for a load.
    pub(super) fn wanted(
        &mut self,
        now: Tick,
        from: SocketAddr,
        w: LoadRequest,
        ctx: &mut Context<Self>,
    ) {
        let lease = self.lease();
        let found = self.dispatcher.replicas.find_hash(w.replica);
        let may = found
            .and_then(|k| self.dispatcher.replicas.get(k))
            .is_some_and(|r| r.is_usable() && r.ownership.may_order(now, lease));
        let wish = match found.filter(|_| may) {
            Some(k) => self.wish(now, k, &w.resident),
            None => LoadStatus::Refused,
        };
        if let Some(keep) = found.and_then(|k| self.keeps.get_mut(&k)) {
            let asker = (from, w.resident.clone());
            let known = keep.askers.contains(&asker);
            if wish == LoadStatus::Queued && keep.askers.len() < MAX_ASKERS && !known {
                keep.askers.push(asker);
            }
        }
        if wish != LoadStatus::Queued {
            let loaded = wish == LoadStatus::Loaded;
            let ready = LoadResult { replica: w.replica, resident: w.resident, loaded };
            super::mesh::send(&self.socket, from, &Peer::LoadResult(ready), &self.log);
        }
        self.drive_all(now, ctx);
    }

    pub(super) fn place_resident(&mut self, k: ReplicaKey, resident: &Resident) {
        if let Some(r) = self.dispatcher.replicas.get_mut(k) {
            let v = r.residents.entry(resident.artifact.clone()).or_default();
            *v = (*v).max(resident.version);
            r.mark_warm(&resident.artifact);
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
        if !r.is_usable() || !r.ownership.may_order(now, lease) {
            return;
        }
        let expected = r.ownership.expected_count(now, lease);
        let Some(spec) = self.dispatcher.engine_spec(&r.service) else { return };
        let dispatcher = &self.dispatcher;
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        let Some(step) = keep.keeper.next_step(now, spec, |a| dispatcher.in_use(k, a)) else {
            return;
        };
        keep.keeper.record_sent(now, &step);
        let loading = keep.keeper.load_count() as u32;
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
        let Some((fence, call)) = self.order(now, k, &step, expected) else { return };
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            act.ordered(k, &step, fence, &answer, ctx);
        }));
    }

    // Makes an order under this host's authority.
    fn order(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        step: &Step,
        expected: Option<u64>,
    ) -> Option<(u64, impl Future<Output = Result<OrderResponse, Fault>> + use<>)> {
        let r = self.dispatcher.replicas.get_mut(k)?;
        let fence = r.ownership.record_order(now, self.store.revision, self.settings.ip);
        let loads = step.verb == Verb::Load;
        let order = Order {
            verb: step.verb,
            artifact: step.resident.artifact.clone(),
            // Without a version the newest one is loaded.
            version: Some(step.resident.version).filter(|v| loads && *v > 0),
            expected_count: expected,
            holder: self.settings.name.clone(),
            fence,
        };
        Some((fence, post_order(self.client.clone(), r.address, r.id.clone(), order)))
    }

    fn ordered(
        &mut self,
        k: ReplicaKey,
        step: &Step,
        fence: u64,
        answer: &Result<OrderResponse, Fault>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let warm =
            self.dispatcher.replicas.get(k).is_some_and(|r| r.is_warm(&step.resident.artifact));
        let (verb, name) = (verb(step.verb), answer_name(answer));
        self.meters.order(verb, &name);
        let replica = self.dispatcher.replicas.get(k).map(|r| r.id.clone()).unwrap_or_default();
        let fields = kv!(
            "replica" => replica.as_str(), "verb" => verb, "artifact" => step.resident.artifact.as_str(),
            "version" => step.resident.version, "fence" => fence, "answer" => name.as_str(),
        );
        emit(&self.log, Event::OrderAnswered, &fields);
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        keep.keeper.record_response(now, step, answer.as_ref().ok().copied());
        match (step.verb, answer) {
            (Verb::Load, Ok(OrderResponse::Done)) => self.loaded(now, k, &step.resident),
            (Verb::Load, Ok(OrderResponse::Accepted) | Err(_)) => {
                let model = !step.resident.artifact.contains('/');
                let wait = match (model, warm) {
                    (true, _) => CHECK_MODEL,
                    (false, true) => CHECK_WARM,
                    (false, false) => CHECK_COLD,
                };
                self.check_later(k, step.resident.clone(), wait, ctx);
            }
            // The keeper tries it again.
            (Verb::Load, Ok(OrderResponse::Conflict)) => {}
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
                .is_some_and(|r| r.is_usable() && r.ownership.may_order(now, lease));
            let loading =
                act.keeps.get(&k).is_some_and(|keep| keep.keeper.is_loading(&resident.artifact));
            if !may || !loading || act.leaving {
                return;
            }
            let step = Step { verb: Verb::Load, resident: resident.clone() };
            let Some((_, call)) = act.order(now, k, &step, None) else { return };
            ctx.spawn(call.into_actor(act).map(move |answer, act, ctx| {
                act.checked(k, resident, &answer, ctx);
            }));
        });
    }

    fn checked(
        &mut self,
        k: ReplicaKey,
        resident: Resident,
        answer: &Result<OrderResponse, Fault>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        self.meters.order("check", &answer_name(answer));
        match answer {
            Ok(OrderResponse::Done) => {
                self.loaded(now, k, &resident);
                self.drive(now, k, ctx);
            }
            Ok(OrderResponse::Accepted | OrderResponse::Conflict) | Err(_) => {
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
            if let Some(took) = keep.keeper.finish_load(now, resident) {
                self.dispatcher.record_load(now, k, &resident.artifact, took);
            }
            if let Some(r) = self.dispatcher.replicas.get_mut(k) {
                r.loading = keep.keeper.load_count() as u32;
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
        self.release_loaded(now, k, resident);
    }

    fn load_failed(&mut self, k: ReplicaKey, resident: &Resident) {
        self.tell_askers(k, resident, false);
        self.fail_waiters(k, resident);
    }

    fn tell_askers(&mut self, k: ReplicaKey, resident: &Resident, loaded: bool) {
        let Some(hash) = self.dispatcher.replicas.get(k).map(|r| r.id_hash) else { return };
        let Some(keep) = self.keeps.get_mut(&k) else { return };
        let askers = std::mem::take(&mut keep.askers);
        let (told, rest): (Vec<_>, Vec<_>) = askers
            .into_iter()
            .partition(|(_, r)| r.artifact == resident.artifact && r.version <= resident.version);
        keep.askers = rest;
        for (to, r) in told {
            let ready = LoadResult { replica: hash, resident: r, loaded };
            super::mesh::send(&self.socket, to, &Peer::LoadResult(ready), &self.log);
        }
    }

    /// Reads the reports that are due.
    pub(super) fn read_reports(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut due = Vec::new();
        for (k, keep) in &mut self.keeps {
            let wanted = keep.asked.is_none_or(|t| now.since(t) >= REPORT) && !keep.reading;
            let Some(r) = self.dispatcher.replicas.get(*k) else { continue };
            if wanted && r.missing_since.is_none() {
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
        let lease = self.lease();
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
                if report.started_ms != 0 && report.started_ms != r.started_ms {
                    // Another start of the replica, which the store has not told of yet.
                    keep.keeper.reset();
                    r.ownership.reset_count();
                    r.residents.clear();
                    return;
                }
                if !r.alive {
                    r.alive = true;
                    emit(&self.log, Event::ReplicaAnswers, &kv!("replica" => r.id.as_str()));
                }
                keep.misses = 0;
                r.ownership.observe_count(asked, report.order_count);
                keep.keeper.apply_report(asked, &report);
                r.set_residents(keep.keeper.residents());
                r.told_at = Some(now);
                r.orderable = r.ownership.may_order(now, lease);
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

fn answer_name(answer: &Result<OrderResponse, Fault>) -> String {
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
) -> Result<OrderResponse, Fault> {
    let request = Request::post(wire::ORDER)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header(headers::EXPECT_REPLICA, id.as_str())
        .body(Full::new(Bytes::from(wire::order(&order))))
        .expect("the request is valid");
    let (status, _) = client.call(address, request, CALL, MAX_REPORT).await?;
    Ok(wire::answer(status))
}
