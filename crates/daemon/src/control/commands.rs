//! Calls to engines: polls their reports and sends load and unload commands to those that this
//! host controls.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use awc::{Client, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use yuccawing_core::{
    allowance::{ReserveOutcome, STORE_ACCOUNT},
    ids::{Incarnation, Ordinal},
    membership::{self, rendezvous_weight},
    placement::{self, LoadResult, PinAnswer, UnloadResult},
    route,
    rules::Upstream,
    time::Tick,
};

use super::Control;
use crate::{
    events::{Event, emit},
    mesh::AnswerSender,
};

/// Interval between reports of an engine that this host both controls and uses.
const REPORT_INTERVAL_BUSY: Duration = Duration::from_millis(500);
/// Interval between reports of an engine that this host either controls or uses.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reports of any other engine. It is long because a report takes about 370 bytes
/// and a group of the design size has 55 engines.
const REPORT_INTERVAL_IDLE: Duration = Duration::from_secs(4);
/// How long an engine counts as used after a request was sent to it.
const IN_USE_TIME: Duration = Duration::from_secs(10);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a load or unload command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_REPORT_BYTES: usize = 256 << 10;
/// One of this many slots of an engine's batch is reserved for requests of class `status`.
const RESERVED_DIVISOR: u32 = 8;
/// Delay before the next attempt to get a load permit, unless the refusal states another one.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of the calls to engines.
#[derive(Default)]
pub(super) struct Commands {
    /// Pin requests that are not answered yet, by the requesting process and its request number.
    pub(super) pin_waiters: HashMap<(Incarnation, u64), AnswerSender<PinAnswer>>,
    // When the next report of an engine is due; `None` while it is being fetched.
    next_reports: BTreeMap<ArcStr, Option<Tick>>,
    // Last reported boot id of each engine, to detect restarts.
    boot_ids: BTreeMap<ArcStr, ArcStr>,
    /// When this host last sent a request to an engine.
    pub(super) last_used: BTreeMap<ArcStr, Tick>,
    /// Whether the placement waits for a load permit that has to be borrowed from a peer.
    pub(super) permit_pending: bool,
    // One client per engine, so that its connection is reused. A failed report drops the client
    // and with it the connection.
    report_clients: BTreeMap<ArcStr, Client>,
}

#[derive(Debug, Deserialize)]
struct ReportBody {
    boot: Value,
    running: u32,
    waiting: u32,
    resident: Vec<Resident>,
}

#[derive(Debug, Deserialize)]
struct Resident {
    name: ArcStr,
    running: u32,
}

impl Control {
    /// Passes an event to the placement of adapters and carries out the effects.
    pub(super) fn handle_placement(
        &mut self,
        now: Tick,
        event: placement::Event,
        ctx: &mut Context<Self>,
    ) {
        let mut out = Vec::new();
        self.placement.handle(now, event, &mut out);
        for e in out {
            match e {
                placement::Effect::Answer { host, id, answer } => {
                    if let Some(a) = self.commands.pin_waiters.remove(&(host, id)) {
                        let _ = a.send(answer);
                    }
                }
                placement::Effect::Load { command, engine, instance, target, fence } => {
                    let path = format!("{}/{}", target.adapter, target.version);
                    let body = json!({"lora_name": instance, "lora_path": path, "fence": fence});
                    self.send_load(command, engine, instance, body, ctx);
                }
                placement::Effect::Unload { command, engine, instance, fence } => {
                    let body = json!({"lora_name": instance, "fence": fence});
                    self.send_unload(command, engine, instance, body, ctx);
                }
                placement::Effect::RequestPermit => {
                    self.take_permit(now, ctx);
                    self.poll_loans(now, ctx);
                }
            }
        }
    }

    /// Takes a permit for one load from the rate limit of the weight store. It may have to be
    /// borrowed from a peer first.
    pub(super) fn take_permit(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let authority = self.authority(now);
        let outcome = self.allowance.reserve(now, authority, &STORE_ACCOUNT, 1);
        self.commands.permit_pending = matches!(outcome, ReserveOutcome::Pending);
        let event = match outcome {
            ReserveOutcome::Granted(g) => {
                self.allowance.settle(now, g, 1);
                placement::Event::Permit
            }
            ReserveOutcome::Pending => return,
            ReserveOutcome::NoAuthority => {
                placement::Event::NoPermit { retry: now + PERMIT_RETRY_DELAY }
            }
            ReserveOutcome::Refused { retry } => {
                placement::Event::NoPermit { retry: now + retry.unwrap_or(PERMIT_RETRY_DELAY) }
            }
        };
        self.handle_placement(now, event, ctx);
    }

    fn send_load(
        &mut self,
        command: u64,
        engine: ArcStr,
        instance: ArcStr,
        body: Value,
        ctx: &mut Context<Self>,
    ) {
        let Some(addr) = self.engine_addr(&engine) else { return };
        let call = post_command(addr, "load_lora_adapter", body);
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            let result = match answer {
                Some((StatusCode::OK, _)) => LoadResult::Loaded,
                Some((_, code)) if code == "fenced" => LoadResult::Fenced,
                Some((_, code)) if code == "no_slot" => LoadResult::NoSlot,
                Some((_, code)) if code == "load_failed" => LoadResult::Failed,
                Some(_) | None => LoadResult::Unknown,
            };
            let event = match result {
                LoadResult::Loaded => Event::AdapterLoaded,
                LoadResult::Fenced => Event::CommandFenced,
                _ => Event::LoadFailed,
            };
            let f = slog::b!("engine" => engine.as_str(), "instance" => instance.as_str());
            emit(&act.setup.log, event, &f);
            let (now, random) = (act.clock.now(), act.random.next());
            act.handle_placement(now, placement::Event::LoadEnded { command, result, random }, ctx);
        }));
    }

    fn send_unload(
        &mut self,
        command: u64,
        engine: ArcStr,
        instance: ArcStr,
        body: Value,
        ctx: &mut Context<Self>,
    ) {
        let Some(addr) = self.engine_addr(&engine) else { return };
        let call = post_command(addr, "unload_lora_adapter", body);
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            let (result, event) = match answer {
                Some((StatusCode::OK, _)) => (UnloadResult::Unloaded, Event::AdapterUnloaded),
                Some((_, code)) if code == "fenced" => (UnloadResult::Fenced, Event::CommandFenced),
                Some(_) | None => (UnloadResult::Unknown, Event::UnloadFailed),
            };
            let f = slog::b!("engine" => engine.as_str(), "instance" => instance.as_str());
            emit(&act.setup.log, event, &f);
            let now = act.clock.now();
            act.handle_placement(now, placement::Event::UnloadEnded { command, result }, ctx);
        }));
    }

    fn engine_addr(&self, engine: &ArcStr) -> Option<ArcStr> {
        self.config.rules()?.upstreams.get(engine).map(|u| u.addr().clone())
    }

    /// Fetches the due reports.
    pub(super) fn poll_reports(&mut self, now: Tick, ctx: &mut Context<Self>) {
        for s in &self.engine_specs {
            self.commands.next_reports.entry(s.name.clone()).or_insert(Some(now));
        }
        let due: Vec<_> = self
            .commands
            .next_reports
            .iter()
            .filter(|(_, t)| t.is_some_and(|t| t <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for engine in due {
            let Some(addr) = self.engine_addr(&engine) else {
                self.commands.next_reports.remove(&engine);
                self.commands.last_used.remove(&engine);
                continue;
            };
            self.commands.next_reports.insert(engine.clone(), None);
            let client =
                self.commands.report_clients.entry(engine.clone()).or_insert_with(new_client);
            let call = fetch_report(client.clone(), addr);
            ctx.spawn(call.into_actor(self).map(move |r, act, ctx| {
                let now = act.clock.now();
                if r.is_none() {
                    act.commands.report_clients.remove(&engine);
                }
                let own = act.controlled.iter().any(|s| s.name == engine);
                let used = act.commands.last_used.get(&engine);
                let used = used.is_some_and(|t| now.since(*t) < IN_USE_TIME);
                let pause = match (own, used) {
                    (true, true) => REPORT_INTERVAL_BUSY,
                    (true, false) | (false, true) => REPORT_INTERVAL,
                    (false, false) => REPORT_INTERVAL_IDLE,
                };
                act.commands.next_reports.insert(engine.clone(), Some(now + pause));
                if let Some(r) = r {
                    act.handle_report(now, engine, r, ctx);
                }
            }));
        }
    }

    fn handle_report(&mut self, now: Tick, engine: ArcStr, r: ReportBody, ctx: &mut Context<Self>) {
        let boot = ArcStr::from(r.boot.to_string());
        let old = self.commands.boot_ids.insert(engine.clone(), boot.clone());
        if old.as_ref() != Some(&boot) {
            if old.is_some() {
                let f = slog::b!("engine" => engine.as_str());
                emit(&self.setup.log, Event::EngineRestarted, &f);
            }
            let event = membership::Event::UpstreamReported {
                upstream: engine.clone(),
                boot: boot.clone(),
            };
            self.handle_membership(now, event, ctx);
        }
        let boot = boot_hash(&boot);
        let resident: Vec<_> = r.resident.into_iter().map(|i| (i.name, i.running)).collect();
        // Also for engines that other hosts control: the placement counts their replicas.
        let report = placement::Report { engine: engine.clone(), boot, resident: resident.clone() };
        self.handle_placement(now, placement::Event::Report(report), ctx);
        let (running, waiting) = (r.running, r.waiting);
        self.route.report(now, &route::Report { engine, boot, running, waiting, resident });
        self.dispatch_queued(now, ctx);
    }

    /// Updates routing, placement and the queue when the configured engines, their `leaving` marks
    /// or the hosts that hold a lease change.
    pub(super) fn refresh_engines(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let Some(rules) = self.config.rules().cloned() else { return };
        let alive = self.membership.alive_ordinals(now);
        let holds = self.authority(now).is_some();
        let own = self.ordinal();
        let mut specs = Vec::new();
        let mut controlled = Vec::new();
        for (name, u) in &rules.upstreams {
            let Upstream::Engine { model, slots, batch, fencing, .. } = u else { continue };
            let leaving = self.membership.is_upstream_leaving(name);
            let by = controller(name, rules.hosts);
            specs.push(route::Spec {
                name: name.clone(),
                model: model.clone(),
                batch: *batch,
                reserved: (batch / RESERVED_DIVISOR).max(1).min(batch.saturating_sub(1)),
                fencing: *fencing,
                leaving,
                controlled: if by == own { holds } else { alive.contains(&by) },
            });
            if by == own {
                controlled.push(placement::Spec {
                    name: name.clone(),
                    model: model.clone(),
                    slots: *slots,
                    fencing: *fencing,
                    leaving,
                });
            }
        }
        if controlled != self.controlled {
            self.controlled = controlled.clone();
            self.handle_placement(now, placement::Event::Configure(controlled), ctx);
            let max_loads = own_share(rules.store.flight, rules.hosts, own);
            self.handle_placement(now, placement::Event::MaxLoads(max_loads), ctx);
        }
        if specs != self.engine_specs {
            self.engine_specs = specs.clone();
            self.route.configure(specs);
            self.size_queue(&rules);
            self.dispatch_queued(now, ctx);
        }
    }
}

/// Returns the ordinal of the host that controls an engine, chosen by rendezvous hashing.
pub(super) fn controller(engine: &str, hosts: u8) -> Ordinal {
    let weight = |o: &u8| rendezvous_weight(engine, &o.to_string());
    Ordinal((0..hosts.max(1)).max_by_key(weight).unwrap_or(0))
}

// Splits `n` into whole shares, one per ordinal. The first ordinals get the remainder.
fn own_share(n: u64, hosts: u8, own: Ordinal) -> u32 {
    let hosts = u64::from(hosts.max(1));
    let n = n / hosts + u64::from(u64::from(own.0) < n % hosts);
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn boot_hash(boot: &str) -> u64 {
    let mut h = DefaultHasher::new();
    boot.hash(&mut h);
    h.finish()
}

async fn post_command(addr: ArcStr, what: &str, body: Value) -> Option<(StatusCode, String)> {
    let url = format!("http://{addr}/v1/{what}");
    // A new connection, since a reused one may be dead without an error.
    let mut answer = new_client().post(url).timeout(COMMAND_TIMEOUT).send_json(&body).await.ok()?;
    let text = answer.body().limit(MAX_REPORT_BYTES).await.ok()?;
    let code = serde_json::from_slice::<Value>(&text)
        .ok()
        .and_then(|v| v["code"].as_str().map(ToOwned::to_owned))
        .unwrap_or_default();
    Some((answer.status(), code))
}

fn new_client() -> Client {
    Client::builder().disable_timeout().finish()
}

async fn fetch_report(client: Client, addr: ArcStr) -> Option<ReportBody> {
    let url = format!("http://{addr}/v1/report");
    let mut answer = client.get(url).timeout(REPORT_TIMEOUT).send().await.ok()?;
    answer.json().limit(MAX_REPORT_BYTES).await.ok()
}
