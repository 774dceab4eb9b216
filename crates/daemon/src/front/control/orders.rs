//! Load and unload orders to the engines that this host owns, and the reports of these engines.

use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use slog::kv;
use yuccawing_core::{
    fleet::{
        digest::{LoadRequest, LoadResult, Message as PeerMessage, ReplicaFence},
        loader::{LoadStatus, Loader, Step},
        order::{Order, OrderResponse, Verb},
        replicas::ReplicaKey,
        report::Resident,
    },
    time::Tick,
};
use yuccawing_platform::{
    headers::{self, ReplicaSignals},
    replica as wire,
};

use super::{Control, signals};
use crate::{
    events::{Event, emit},
    front::{
        client::{CallError, Client},
        clock,
    },
};

/// Interval at which the report of an owned engine is read.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a request for a report and of an order. Neither waits for a slot of the engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest response to a report or an order, in bytes: enough for several thousand adapter names.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Consecutive failed reads of the report after which an engine counts as dead.
const MAX_MISSED: u32 = 2;

/// Delay before the first check of a load whose weights are still in the memory of the engine's
/// machine.
const WARM_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Delay before the first check of a load from the weight store, which takes 250 ms without other
/// loads by the platform's data sheet.
const COLD_CHECK_DELAY: Duration = Duration::from_millis(255);

/// Delay before the first check of the load of a base model, and between further checks.
const MODEL_CHECK_DELAY: Duration = Duration::from_millis(400);

/// Delay between further checks of the load of an adapter.
const RECHECK_DELAY: Duration = Duration::from_millis(40);

/// Largest number of waiting peers that an engine keeps, over all of its loads.
const MAX_WAITING_PEERS: usize = 64;

/// State of an engine that this host sends orders to.
#[derive(Debug, Default)]
pub(super) struct OwnedEngine {
    pub(super) loader: Loader,
    // When the last report was requested.
    last_report: Option<Tick>,
    reading: bool,
    missed: u32,
    // Most requests of this host in progress there since the last report but one.
    max_inflight: u32,
    // Peers that wait for a load, with what they wait for.
    waiting_peers: Vec<(SocketAddr, Resident)>,
}

impl OwnedEngine {
    // Makes a report due if the loader cannot go on without one.
    fn request_report(&mut self) {
        if self.loader.needs_report() {
            self.last_report = None;
        }
    }
}

/// Response to an order, with what it says about the replica.
struct Answer {
    response: OrderResponse,
    signals: ReplicaSignals,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    at: Tick,
    verb: Verb,
    fence: u64,
}

/// Fencing tokens in one message, so that it fits into a datagram.
const MAX_FENCES: usize = 2048;

impl Control {
    /// Requests an adapter from the loader of an engine that this host owns.
    pub(super) fn request_adapter(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        resident: &Resident,
    ) -> LoadStatus {
        let dispatcher = &self.dispatcher;
        let spec = dispatcher.replicas.get(k).and_then(|r| dispatcher.engine_spec(&r.service));
        let (Some(engine), Some(spec)) = (self.engines.get_mut(&k), spec) else {
            return LoadStatus::Refused;
        };
        let in_use = |a: &str| dispatcher.in_use(k, a);
        let residents = engine.loader.residents();
        let limit = spec.adapter_limit(residents.iter().map(|r| r.artifact.as_str()));
        engine.loader.request_load(now, resident.clone(), limit, in_use)
    }

    /// Handles the load request of a peer.
    pub(super) fn handle_load_request(
        &mut self,
        now: Tick,
        from: SocketAddr,
        request: LoadRequest,
        ctx: &mut Context<Self>,
    ) {
        let lease = self.lease();
        let found = self.dispatcher.replicas.find_hash(request.replica);
        let may_order = found
            .and_then(|k| self.dispatcher.replicas.get(k))
            .is_some_and(|r| r.is_usable() && r.ownership.may_order(now, lease));
        let status = match found.filter(|_| may_order) {
            Some(k) => self.request_adapter(now, k, &request.resident),
            None => LoadStatus::Refused,
        };
        if let Some(engine) = found.and_then(|k| self.engines.get_mut(&k)) {
            let peer = (from, request.resident.clone());
            let known = engine.waiting_peers.contains(&peer);
            if status == LoadStatus::Queued
                && engine.waiting_peers.len() < MAX_WAITING_PEERS
                && !known
            {
                engine.waiting_peers.push(peer);
            }
        }
        if status == LoadStatus::Refused {
            let fields = kv!(
                "from" => from.ip().to_string(), "artifact" => request.resident.artifact.as_str(),
                "replica_hash" => request.replica,
                "reason" => if may_order { "no_slot" } else { "not_owner" },
            );
            emit(&self.log, Event::LoadRefused, &fields);
        }
        if status != LoadStatus::Queued {
            let loaded = status == LoadStatus::Loaded;
            let result =
                LoadResult { replica: request.replica, resident: request.resident, loaded };
            super::datagrams::send(&self.socket, from, &PeerMessage::LoadResult(result), &self.log);
        }
        self.send_orders(now, ctx);
    }

    pub(super) fn add_resident(&mut self, k: ReplicaKey, resident: &Resident) {
        if let Some(r) = self.dispatcher.replicas.get_mut(k) {
            let v = r.residents.entry(resident.artifact.clone()).or_default();
            *v = (*v).max(resident.version);
            r.mark_warm(&resident.artifact);
        }
    }

    /// Sends the orders that are due at all owned engines.
    pub(super) fn send_orders(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let keys: Vec<_> = self.engines.keys().copied().collect();
        for k in keys {
            self.send_next(now, k, ctx);
        }
    }

    fn send_next(&mut self, now: Tick, k: ReplicaKey, ctx: &mut Context<Self>) {
        if self.leaving {
            return;
        }
        let lease = self.lease();
        let Some(r) = self.dispatcher.replicas.get(k) else { return };
        let paused = r.limit.pause_left(now).is_some();
        if !r.is_usable() || paused || !r.ownership.may_order(now, lease) {
            return;
        }
        let Some(spec) = self.dispatcher.engine_spec(&r.service) else { return };
        let dispatcher = &self.dispatcher;
        let Some(engine) = self.engines.get_mut(&k) else { return };
        let transfers = dispatcher.transfers(now);
        let in_use = |a: &str| dispatcher.in_use(k, a);
        let Some(step) = engine.loader.next_step(now, spec, transfers, in_use) else { return };
        let Some(expected) = engine.loader.expected_count() else { return };
        engine.loader.record_sent(now, &step);
        let loading = engine.loader.load_count() as u32;
        if let Some(r) = self.dispatcher.replicas.get_mut(k) {
            r.loading = loading;
        }
        if step.verb == Verb::Unload
            && let Some(r) = self.dispatcher.replicas.get_mut(k)
        {
            // No new request of this host may use the artifact from now on.
            r.residents.remove(&step.resident.artifact);
        }
        self.post_step(now, k, step, expected, ctx);
    }

    fn post_step(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        step: Step,
        expected: u64,
        ctx: &mut Context<Self>,
    ) {
        let Some((sent, call)) = self.start_order(now, k, &step, expected) else { return };
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            let response = act.order_response(k, sent, answer);
            act.handle_response(k, &step, sent.fence, &response, ctx);
        }));
    }

    // Notes what the response says about the replica and about this host's ownership.
    fn order_response(
        &mut self,
        k: ReplicaKey,
        sent: SentOrder,
        answer: Result<Answer, CallError>,
    ) -> Result<OrderResponse, CallError> {
        let Answer { response, signals } = answer?;
        let now = clock::now();
        self.note_signals(now, k, signals);
        if let Some(r) = self.dispatcher.replicas.get_mut(k) {
            match (sent.verb, response) {
                (_, OrderResponse::Accepted) | (Verb::Unload, OrderResponse::Done) => {
                    r.ownership.record_accepted(sent.at);
                }
                (_, OrderResponse::Fenced) => self.note_other_owner(now, k, "fenced"),
                _ => {}
            }
        }
        Ok(response)
    }

    // Starts the ownership of a replica over, since another host has sent it orders.
    fn note_other_owner(&mut self, now: Tick, k: ReplicaKey, reason: &str) {
        self.survivor.record_foreign(now);
        let Some(r) = self.dispatcher.replicas.get_mut(k) else { return };
        r.ownership.restart(now);
        let fields = kv!(
            "replica" => r.id.as_str(), "reason" => reason,
            "highest_fence" => r.ownership.highest_fence(),
        );
        emit(&self.log, Event::OwnershipLost, &fields);
    }

    /// Starts all ownerships over at `at`, after a pause in which other hosts may have replaced this
    /// one.
    pub(super) fn restart_ownerships(&mut self, at: Tick) {
        for (_, r) in self.dispatcher.replicas.iter_mut() {
            r.ownership.restart(at);
        }
    }

    /// Applies the fencing tokens that a peer knows.
    pub(super) fn handle_fences(&mut self, now: Tick, fences: &[ReplicaFence]) {
        for f in fences {
            let Some(k) = self.dispatcher.replicas.find_hash(f.replica) else { continue };
            let Some(r) = self.dispatcher.replicas.get_mut(k) else { continue };
            if r.ownership.observe_fence(now, f.fence) {
                self.note_other_owner(now, k, "higher_token");
            }
        }
    }

    /// Tells a host that has joined or started again the tokens of the replicas that this one has sent
    /// orders to, since its own may be lower.
    pub(super) fn introduce_fences(&self, ip: Ipv4Addr) {
        let known = self.dispatcher.replicas.iter().filter_map(|(_, r)| {
            let fence = r.ownership.fence_since(Tick::default())?;
            Some(ReplicaFence { replica: r.id_hash, fence })
        });
        let known: Vec<_> = known.collect();
        for part in known.chunks(MAX_FENCES) {
            self.send(ip, &PeerMessage::Fences(part.to_vec()));
        }
    }

    // Records an order and returns the call that sends it. All orders of one ownership have the same
    // fencing token.
    fn start_order(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        step: &Step,
        expected: u64,
    ) -> Option<(SentOrder, impl Future<Output = Result<Answer, CallError>> + use<>)> {
        let lease = self.lease();
        let r = self.dispatcher.replicas.get_mut(k)?;
        let fence = r.ownership.record_order(now, self.store.count, self.settings.ip, lease);
        let loads = step.verb == Verb::Load;
        let order = Order {
            verb: step.verb,
            artifact: step.resident.artifact.clone(),
            // If no version is set, the engine loads the newest one.
            version: Some(step.resident.version).filter(|v| loads && *v > 0),
            expected_count: expected,
            holder: self.settings.name.clone(),
            fence,
        };
        let sent = SentOrder { at: now, verb: step.verb, fence };
        Some((sent, post_order(self.client.clone(), r.address, r.id.clone(), order)))
    }

    fn handle_response(
        &mut self,
        k: ReplicaKey,
        step: &Step,
        fence: u64,
        response: &Result<OrderResponse, CallError>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let warm =
            self.dispatcher.replicas.get(k).is_some_and(|r| r.is_warm(&step.resident.artifact));
        let (verb, name) = (verb_name(step.verb), response_name(response));
        self.metrics.order(verb, &name);
        let replica = self.dispatcher.replicas.get(k).map(|r| r.id.clone()).unwrap_or_default();
        let fields = kv!(
            "replica" => replica.as_str(), "verb" => verb,
            "artifact" => step.resident.artifact.as_str(),
            "version" => step.resident.version, "fence" => fence, "answer" => name.as_str(),
        );
        emit(&self.log, Event::OrderAnswered, &fields);
        let Some(engine) = self.engines.get_mut(&k) else { return };
        engine.loader.record_response(now, step, response.as_ref().ok().copied());
        engine.request_report();
        match (step.verb, response) {
            (Verb::Load, Ok(OrderResponse::Done)) => self.load_done(now, k, &step.resident),
            (Verb::Load, Ok(OrderResponse::Accepted)) => {
                let model = !step.resident.artifact.contains('/');
                let wait = match (model, warm) {
                    (true, _) => MODEL_CHECK_DELAY,
                    (false, true) => WARM_CHECK_DELAY,
                    (false, false) => COLD_CHECK_DELAY,
                };
                self.check_later(k, step.resident.clone(), wait, ctx);
            }
            // The loader retries it.
            (Verb::Load, Ok(OrderResponse::Conflict) | Err(_)) => {}
            (Verb::Load, Ok(_)) => self.load_failed(k, &step.resident),
            (Verb::Unload, _) => {}
        }
        self.send_next(now, k, ctx);
    }

    // Repeats the order after a delay: the engine responds with "done" once the load has ended.
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
            let may_order = act
                .dispatcher
                .replicas
                .get(k)
                .is_some_and(|r| r.is_usable() && r.ownership.may_order(now, lease));
            let loading =
                act.engines.get(&k).is_some_and(|engine| engine.loader.is_loading(&resident));
            if !may_order || !loading || act.leaving {
                return;
            }
            let pause = act.dispatcher.replicas.get(k).and_then(|r| r.limit.pause_left(now));
            if let Some(left) = pause {
                act.check_later(k, resident, left, ctx);
                return;
            }
            let step = Step { verb: Verb::Load, resident: resident.clone() };
            let Some(engine) = act.engines.get_mut(&k) else { return };
            let Some(expected) = engine.loader.expected_count() else {
                act.check_later(k, resident, RECHECK_DELAY, ctx);
                return;
            };
            engine.loader.record_check_sent();
            let Some((sent, call)) = act.start_order(now, k, &step, expected) else { return };
            ctx.spawn(call.into_actor(act).map(move |answer, act, ctx| {
                let response = act.order_response(k, sent, answer);
                act.handle_check(k, resident, &response, ctx);
            }));
        });
    }

    fn handle_check(
        &mut self,
        k: ReplicaKey,
        resident: Resident,
        response: &Result<OrderResponse, CallError>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        self.metrics.order("check", &response_name(response));
        if let Some(engine) = self.engines.get_mut(&k) {
            engine.loader.record_check(now, &resident, response.as_ref().ok().copied());
            engine.request_report();
        }
        match response {
            Ok(OrderResponse::Done) => {
                self.load_done(now, k, &resident);
                self.send_next(now, k, ctx);
            }
            Ok(OrderResponse::Accepted | OrderResponse::Conflict) | Err(_) => {
                let model = !resident.artifact.contains('/');
                let wait = if model { MODEL_CHECK_DELAY } else { RECHECK_DELAY };
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

    fn load_done(&mut self, now: Tick, k: ReplicaKey, resident: &Resident) {
        if let Some(engine) = self.engines.get_mut(&k) {
            if let Some(took) = engine.loader.finish_load(now, resident) {
                self.dispatcher.record_load(now, k, &resident.artifact, took);
            }
            if let Some(r) = self.dispatcher.replicas.get_mut(k) {
                r.loading = engine.loader.load_count() as u32;
            }
        }
        self.add_resident(k, resident);
        self.notify_peers(k, resident, true);
        let replica = self.dispatcher.replicas.get(k).map(|r| r.id.clone()).unwrap_or_default();
        let fields = kv!(
            "replica" => replica.as_str(), "artifact" => resident.artifact.as_str(),
            "version" => resident.version,
        );
        emit(&self.log, Event::AdapterLoaded, &fields);
        self.release_loaded(now, k, resident);
    }

    fn load_failed(&mut self, k: ReplicaKey, resident: &Resident) {
        self.notify_peers(k, resident, false);
        self.fail_waiters(k, resident);
    }

    fn notify_peers(&mut self, k: ReplicaKey, resident: &Resident, loaded: bool) {
        let Some(hash) = self.dispatcher.replicas.get(k).map(|r| r.id_hash) else { return };
        let Some(engine) = self.engines.get_mut(&k) else { return };
        let waiting_peers = std::mem::take(&mut engine.waiting_peers);
        let (notified, rest): (Vec<_>, Vec<_>) = waiting_peers
            .into_iter()
            .partition(|(_, r)| r.artifact == resident.artifact && r.version <= resident.version);
        engine.waiting_peers = rest;
        for (to, r) in notified {
            let result = LoadResult { replica: hash, resident: r, loaded };
            super::datagrams::send(&self.socket, to, &PeerMessage::LoadResult(result), &self.log);
        }
    }

    /// Requests the reports that are due.
    pub(super) fn read_reports(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut due = Vec::new();
        for (k, engine) in &mut self.engines {
            let report_due = engine.last_report.is_none_or(|t| now.since(t) >= REPORT_INTERVAL)
                && !engine.reading;
            let Some(r) = self.dispatcher.replicas.get(*k) else { continue };
            let paused = r.limit.pause_left(now).is_some();
            if report_due && r.missing_since.is_none() && !paused {
                engine.last_report = Some(now);
                engine.reading = true;
                due.push((*k, r.address));
            }
        }
        for (k, address) in due {
            let read = read_report(self.client.clone(), address);
            ctx.spawn(read.into_actor(self).map(move |response, act, ctx| {
                act.handle_report(k, now, response, ctx);
            }));
        }
    }

    fn handle_report(
        &mut self,
        k: ReplicaKey,
        sent_at: Tick,
        response: Result<Response<Bytes>, CallError>,
        ctx: &mut Context<Self>,
    ) {
        let now = clock::now();
        let lease = self.lease();
        if let Ok(response) = &response {
            self.note_signals(now, k, signals::read(response));
        }
        let Some(engine) = self.engines.get_mut(&k) else { return };
        engine.reading = false;
        let Some(r) = self.dispatcher.replicas.get_mut(k) else { return };
        let report = match response {
            Ok(r) if r.status().as_u16() == 200 => {
                wire::decode_report(r.body()).map_err(|e| e.to_string())
            }
            Ok(r) => Err(format!("status {}", r.status().as_u16())),
            Err(e) => Err(e.to_string()),
        };
        match report {
            Ok(report) => {
                if report.started_ms != 0 && report.started_ms != r.started_ms {
                    // The replica has restarted and the store does not show it yet.
                    engine.loader.reset();
                    r.ownership.reset_count();
                    r.residents.clear();
                    return;
                }
                if !r.alive {
                    r.alive = true;
                    emit(&self.log, Event::ReplicaAnswers, &kv!("replica" => r.id.as_str()));
                }
                engine.missed = 0;
                let ordered = r.ownership.observe_count(sent_at, report.order_count);
                // The content of the report is older than the requests that this host sent meanwhile.
                let own = engine.max_inflight.max(r.local.inflight);
                engine.max_inflight = r.local.inflight;
                if report.running.saturating_add(report.queued) > own {
                    self.survivor.record_foreign(now);
                }
                engine.loader.apply_report(sent_at, &report);
                r.set_residents(engine.loader.residents());
                r.reported_at = Some(now);
                r.orderable = r.ownership.may_order(now, lease);
                if ordered {
                    self.note_other_owner(now, k, "count");
                }
            }
            Err(error) => {
                engine.missed += 1;
                if r.alive && engine.missed >= MAX_MISSED {
                    r.alive = false;
                    let fields = kv!("replica" => r.id.as_str(), "error" => error);
                    emit(&self.log, Event::ReplicaSilent, &fields);
                }
            }
        }
        self.send_next(now, k, ctx);
    }
}

fn verb_name(v: Verb) -> &'static str {
    match v {
        Verb::Load => "load",
        Verb::Unload => "unload",
    }
}

fn response_name(response: &Result<OrderResponse, CallError>) -> String {
    match response {
        Ok(a) => format!("{a:?}"),
        Err(e) => e.to_string(),
    }
}

async fn read_report(
    client: Rc<Client>,
    address: SocketAddr,
) -> Result<Response<Bytes>, CallError> {
    let request = Request::get(wire::REPORT_PATH)
        .header("host", address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(CallError::Invalid)?;
    client.call(address, request, CALL_TIMEOUT, MAX_REPORT_BYTES).await
}

async fn post_order(
    client: Rc<Client>,
    address: SocketAddr,
    id: ArcStr,
    order: Order,
) -> Result<Answer, CallError> {
    let request = Request::post(wire::ORDER_PATH)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header(headers::EXPECT_REPLICA, id.as_str())
        .body(Full::new(Bytes::from(wire::encode_order(&order))))
        .map_err(CallError::Invalid)?;
    let response = client.call(address, request, CALL_TIMEOUT, MAX_REPORT_BYTES).await?;
    let signals = signals::read(&response);
    Ok(Answer { response: wire::order_response(response.status().as_u16()), signals })
}
