//! Engines: reports, commands and pins of the engines that this host controls.

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
    mesh::Answer,
};

/// Interval between two reports of an engine that this host controls and uses.
const REPORT_OWN: Duration = Duration::from_millis(500);
/// Interval between two reports of an engine that this host either controls or uses.
const REPORT_OTHER: Duration = Duration::from_secs(1);
/// Interval between two reports of any other engine. A report costs about 370 bytes, and a group
/// has 55 engines at the design size.
const REPORT_IDLE: Duration = Duration::from_secs(4);
/// An engine is in use for this long after a request was sent to it.
const IN_USE: Duration = Duration::from_secs(10);
/// Deadline of a report.
const REPORT_LIMIT: Duration = Duration::from_secs(1);
/// Deadline of a load or unload command.
const COMMAND_LIMIT: Duration = Duration::from_secs(20);
/// Largest report in bytes.
const REPORT_BYTES: usize = 256 << 10;
/// Part of an engine's batch that only status requests may use, as a divisor.
const RESERVED_PART: u32 = 8;
/// Pause before the next attempt to take a load permit.
const PERMIT_PAUSE: Duration = Duration::from_millis(100);

/// Commands and reports in progress.
#[derive(Default)]
pub(super) struct Commands {
    /// Pin requests that wait for an answer, by asking process and number.
    pub(super) waiters: HashMap<(Incarnation, u64), Answer<PinAnswer>>,
    // When the next report of an engine is due; `None` while one is in progress.
    reports: BTreeMap<ArcStr, Option<Tick>>,
    boots: BTreeMap<ArcStr, ArcStr>,
    /// When a request was last sent to an engine.
    pub(super) used: BTreeMap<ArcStr, Tick>,
    /// Whether the placement waits for a load permit that has to be borrowed.
    pub(super) permit_pending: bool,
    // Clients keep their connection; one that failed is dropped with it.
    clients: BTreeMap<ArcStr, Client>,
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
    /// Passes an event to the placement and carries out its effects.
    pub(super) fn place(&mut self, now: Tick, event: placement::Event, ctx: &mut Context<Self>) {
        let mut out = Vec::new();
        self.placement.handle(now, event, &mut out);
        for e in out {
            match e {
                placement::Effect::Answer { host, id, answer } => {
                    if let Some(a) = self.commands.waiters.remove(&(host, id)) {
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
                placement::Effect::AskPermit => {
                    self.take_permit(now, ctx);
                    self.poll_loans(now, ctx);
                }
            }
        }
    }

    /// Takes a load permit from the weight store's allowance, at once or when a loan arrives.
    pub(super) fn take_permit(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let authority = self.authority(now);
        let verdict = self.allowance.reserve(now, authority, &STORE_ACCOUNT, 1);
        self.commands.permit_pending = matches!(verdict, ReserveOutcome::Pending);
        let event = match verdict {
            ReserveOutcome::Granted(g) => {
                self.allowance.settle(now, g, 1);
                placement::Event::Permit
            }
            ReserveOutcome::Pending => return,
            ReserveOutcome::NoAuthority => placement::Event::NoPermit { retry: now + PERMIT_PAUSE },
            ReserveOutcome::Refused { retry } => {
                placement::Event::NoPermit { retry: now + retry.unwrap_or(PERMIT_PAUSE) }
            }
        };
        self.place(now, event, ctx);
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
        let call = post(addr, "load_lora_adapter", body);
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
            act.place(now, placement::Event::Loaded { command, result, random }, ctx);
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
        let call = post(addr, "unload_lora_adapter", body);
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            let (result, event) = match answer {
                Some((StatusCode::OK, _)) => (UnloadResult::Unloaded, Event::AdapterUnloaded),
                Some((_, code)) if code == "fenced" => (UnloadResult::Fenced, Event::CommandFenced),
                Some(_) | None => (UnloadResult::Unknown, Event::UnloadFailed),
            };
            let f = slog::b!("engine" => engine.as_str(), "instance" => instance.as_str());
            emit(&act.setup.log, event, &f);
            let now = act.clock.now();
            act.place(now, placement::Event::Unloaded { command, result }, ctx);
        }));
    }

    fn engine_addr(&self, engine: &ArcStr) -> Option<ArcStr> {
        self.config.rules()?.upstreams.get(engine).map(|u| u.addr().clone())
    }

    /// Reads the reports that are due.
    pub(super) fn poll_reports(&mut self, now: Tick, ctx: &mut Context<Self>) {
        for s in &self.specs {
            self.commands.reports.entry(s.name.clone()).or_insert(Some(now));
        }
        let due: Vec<_> = self
            .commands
            .reports
            .iter()
            .filter(|(_, t)| t.is_some_and(|t| t <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for engine in due {
            let Some(addr) = self.engine_addr(&engine) else {
                self.commands.reports.remove(&engine);
                self.commands.used.remove(&engine);
                continue;
            };
            self.commands.reports.insert(engine.clone(), None);
            let client = self.commands.clients.entry(engine.clone()).or_insert_with(client);
            let call = report(client.clone(), addr);
            ctx.spawn(call.into_actor(self).map(move |r, act, ctx| {
                let now = act.clock.now();
                if r.is_none() {
                    act.commands.clients.remove(&engine);
                }
                let own = act.controlled.iter().any(|s| s.name == engine);
                let used = act.commands.used.get(&engine);
                let used = used.is_some_and(|t| now.since(*t) < IN_USE);
                let pause = match (own, used) {
                    (true, true) => REPORT_OWN,
                    (true, false) | (false, true) => REPORT_OTHER,
                    (false, false) => REPORT_IDLE,
                };
                act.commands.reports.insert(engine.clone(), Some(now + pause));
                if let Some(r) = r {
                    act.reported(now, engine, r, ctx);
                }
            }));
        }
    }

    fn reported(&mut self, now: Tick, engine: ArcStr, r: ReportBody, ctx: &mut Context<Self>) {
        let boot = ArcStr::from(r.boot.to_string());
        let old = self.commands.boots.insert(engine.clone(), boot.clone());
        if old.as_ref() != Some(&boot) {
            if old.is_some() {
                let f = slog::b!("engine" => engine.as_str());
                emit(&self.setup.log, Event::EngineRestarted, &f);
            }
            let event = membership::Event::UpstreamReported {
                upstream: engine.clone(),
                boot: boot.clone(),
            };
            self.on_member(now, event, ctx);
        }
        let boot = number(&boot);
        let resident: Vec<_> = r.resident.into_iter().map(|i| (i.name, i.running)).collect();
        // Reports of engines that other hosts control count replicas.
        let report = placement::Report { engine: engine.clone(), boot, resident: resident.clone() };
        self.place(now, placement::Event::Report(report), ctx);
        let (running, waiting) = (r.running, r.waiting);
        self.route.report(now, &route::Report { engine, boot, running, waiting, resident });
        self.drive(now, ctx);
    }

    /// Passes changes of the inventory, of leaving marks and of lease holders to the decisions.
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
                reserved: (batch / RESERVED_PART).max(1).min(batch.saturating_sub(1)),
                fencing: *fencing,
                leaving,
                held: if by == own { holds } else { alive.contains(&by) },
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
            self.place(now, placement::Event::Configure(controlled), ctx);
            let flight = share(rules.store.flight, rules.hosts, own);
            self.place(now, placement::Event::Flight(flight), ctx);
        }
        if specs != self.specs {
            self.specs = specs.clone();
            self.route.configure(specs);
            self.size_queue(&rules);
            self.drive(now, ctx);
        }
    }
}

/// Ordinal that controls an engine.
pub(super) fn controller(engine: &str, hosts: u8) -> Ordinal {
    let weight = |o: &u8| rendezvous_weight(engine, &o.to_string());
    Ordinal((0..hosts.max(1)).max_by_key(weight).unwrap_or(0))
}

// Whole shares of `n` that add up to `n`; the first ordinals get the rest.
fn share(n: u64, hosts: u8, own: Ordinal) -> u32 {
    let hosts = u64::from(hosts.max(1));
    let n = n / hosts + u64::from(u64::from(own.0) < n % hosts);
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn number(boot: &str) -> u64 {
    let mut h = DefaultHasher::new();
    boot.hash(&mut h);
    h.finish()
}

async fn post(addr: ArcStr, what: &str, body: Value) -> Option<(StatusCode, String)> {
    let url = format!("http://{addr}/v1/{what}");
    // A new connection: a command must not wait on one that has gone silent.
    let mut answer = client().post(url).timeout(COMMAND_LIMIT).send_json(&body).await.ok()?;
    let text = answer.body().limit(REPORT_BYTES).await.ok()?;
    let code = serde_json::from_slice::<Value>(&text)
        .ok()
        .and_then(|v| v["code"].as_str().map(ToOwned::to_owned))
        .unwrap_or_default();
    Some((answer.status(), code))
}

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}

async fn report(client: Client, addr: ArcStr) -> Option<ReportBody> {
    let url = format!("http://{addr}/v1/report");
    let mut answer = client.get(url).timeout(REPORT_LIMIT).send().await.ok()?;
    answer.json().limit(REPORT_BYTES).await.ok()
}
