//! Open requests: reserves their tokens, queues them, obtains pins on engines and dispatches them.

mod pins;
mod plain;
mod tokens;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use serde_json::json;
use slotmap::SlotMap;
use yuccawing_core::{
    allowance::Grant,
    placement::{self, AdapterVersion},
    queue::{Item, Limits, Popped, Reason, Running},
    route::{self, Choice, Requirements},
    rules::{Class, Rules},
    ticket::{Ticket, TicketOutcome},
    time::Tick,
};

use self::{
    pins::PinReason,
    tokens::{Reservation, TOKEN_TIMEOUT},
};
use super::{
    Control,
    history::{EndedRequest, History, Location, RequestEnd, WaitTimes},
    loads::LoadTimes,
    messages::{
        Admit, Call, Dispatch, Done, ErrorCode, NotRunReason, Outcome, Refusal, Reply, RequestId,
        RequestKey, Retry,
    },
};
use crate::{
    events::{Event, emit},
    mesh::CALL_TIMEOUT,
};

/// Limit on the tries of a request. A try is a dispatch to an upstream, or a new search without
/// excluded engines after no engine was left.
const MAX_TRIES: u32 = 6;
/// Limit on the queued requests of an account in one class.
const MAX_QUEUED_PER_ACCOUNT: usize = 1024;
/// Limit on the queued requests of a host. They take about 4 MB.
const MAX_QUEUED: usize = 4096;
/// Assumed speed of a running request until one has been measured: 40 ms per token.
const DEFAULT_TOKENS_PER_S: u64 = 25;
/// Limit on the prompt prefixes whose last engine is stored; they take about 0.5 MB. The table is
/// cleared when it is exceeded, since it is only a hint.
const MAX_PREFIXES: usize = 8192;

/// Open requests and the pins that they wait for.
#[derive(Default)]
pub(super) struct Requests {
    open: SlotMap<RequestKey, OpenRequest>,
    ids: HashMap<RequestId, RequestKey>,
    // Requests that wait for tokens, by account, oldest first.
    pending: BTreeMap<ArcStr, VecDeque<RequestId>>,
    history: History,
    // Pin requests by engine and adapter version: `None` while one is in progress, otherwise when
    // the next one may be sent.
    pins: BTreeMap<(ArcStr, AdapterVersion), Option<Tick>>,
    // When an additional replica was last requested.
    replica_requests: BTreeMap<AdapterVersion, Tick>,
    last_pin: u64,
    loads: LoadTimes,
    prefixes: HashMap<u64, ArcStr>,
    // Calls in progress by plain service.
    plain_calls: BTreeMap<ArcStr, u32>,
    // Rotates the choice among equally busy plain services.
    round_robin: usize,
    // Tickets of open requests, returned if the request does not run.
    spent_tickets: HashMap<RequestId, Ticket>,
}

struct OpenRequest {
    id: RequestId,
    account: Option<ArcStr>,
    cost: u64,
    deadline: Tick,
    token_deadline: Tick,
    grant: Option<Grant>,
    kind: RequestKind,
    // Upstreams that did not run the request and are excluded from the next choice.
    avoid: Vec<ArcStr>,
    location: Option<Location>,
    reply: Option<Reply<Result<Dispatch, Refusal>>>,
    running: Option<Running>,
    // Whether it has waited for the load of its adapter.
    stalled: bool,
    tries: u32,
    waits: WaitTimes,
}

#[derive(Clone)]
enum RequestKind {
    Completion { target: AdapterVersion, model: ArcStr, class: Class, weight: u32, prefix: u64 },
    Plain { upstreams: Vec<ArcStr> },
}

impl OpenRequest {
    // Whether the request has to reserve tokens.
    fn is_metered(&self) -> bool {
        self.account.is_some() && self.cost > 0
    }

    // Whether the request has its tokens and waits for an upstream.
    fn is_queued(&self) -> bool {
        self.location.is_none() && (self.grant.is_some() || !self.is_metered())
    }

    fn waits_for(&self, target: &AdapterVersion) -> bool {
        self.is_queued()
            && matches!(&self.kind, RequestKind::Completion { target: t, .. } if t == target)
    }

    // The wait times, including the current wait.
    fn waited(&self, now: Tick) -> WaitTimes {
        let mut p = self.waits;
        match (&self.location, &self.grant) {
            (Some(_), _) => {}
            (None, None) if self.is_metered() => p.end_token_wait(now),
            (None, _) => p.end_queue_wait(now),
        }
        p
    }

    fn end(
        self,
        waits: WaitTimes,
        location: Option<Location>,
        used: u64,
        end: RequestEnd,
    ) -> EndedRequest {
        let Self { id, account, cost: tokens, avoid, tries, .. } = self;
        EndedRequest { id, account, tokens, used, location, avoid, tries, waits, end }
    }
}

impl Control {
    /// Handles a call of an HTTP worker thread.
    pub(super) fn handle_call(&mut self, now: Tick, call: Call, ctx: &mut Context<Self>) {
        match call {
            Call::Admit(a, reply) => self.admit(now, a, reply, ctx),
            Call::AdmitPlain(a, reply) => self.admit_plain(now, a, reply, ctx),
            Call::Retry(a, reply) => self.retry(now, a, reply, ctx),
            Call::Done(d) => self.done(now, d, ctx),
            Call::Ticket(account, reply) => {
                let nonce = self.random.next();
                let out = match self.tickets.issue(now, account, nonce) {
                    Ok(t) => Ok(t.to_string().into()),
                    Err(e) => Err(Refusal::not_run(ErrorCode::Overloaded, e.to_string())
                        .with_retry_after(e.retry_after)),
                };
                let _ = reply.send(out);
            }
            Call::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Call::Explain(what, reply) => {
                let _ = reply.send(self.explain(now, &what));
            }
            Call::Leave(reply) => {
                self.leaving = true;
                self.handle_membership(
                    now,
                    yuccawing_core::membership::Event::ShutdownStarted,
                    ctx,
                );
                self.publish(now);
                self.announce(now, ctx);
                let _ = reply.send(());
            }
            Call::Release(reply) => self.release(now, reply, ctx),
        }
    }

    /// Expected time until all queued requests of the classes above `drafting` are served. Requests
    /// of class `drafting` may wait long, so they do not count as overload.
    pub(super) fn backlog(&self) -> Duration {
        let all = u64::from(u32::MAX);
        self.queue.expected_wait(&ArcStr::new(), 1, Class::Interactive, all)
    }

    pub(super) fn open_requests(&self) -> usize {
        self.requests.open.len()
    }

    /// Describes the state of an open or recently ended request.
    pub(super) fn explain_request(&self, now: Tick, id: RequestId) -> Option<serde_json::Value> {
        if let Some(o) = self.requests.ids.get(&id).and_then(|k| self.requests.open.get(*k)) {
            let state = match (&o.location, &o.grant) {
                (Some(_), _) => "running",
                (None, Some(_)) => "waiting for an upstream",
                (None, None) => "waiting for tokens",
            };
            return Some(json!({
                "request": id.to_string(), "state": state, "account": o.account,
                "tokens": o.cost, "upstream": o.location.as_ref().map(|p| &p.upstream),
                "instance": o.location.as_ref().map(|p| &p.instance), "tries": o.tries,
                "avoid": o.avoid, "waited": o.waited(now).json(),
            }));
        }
        self.requests.history.explain(id)
    }

    fn admit(
        &mut self,
        now: Tick,
        a: Admit,
        reply: Reply<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        let rules = match self.usable_rules(now) {
            Ok(r) => r,
            Err(r) => return self.refuse(a.id, reply, r),
        };
        let found = rules.adapters.get(&a.adapter).filter(|d| d.versions.contains(&a.version));
        let Some(adapter) = found else {
            let r = Refusal::not_run(ErrorCode::NotFound, "no such adapter or version");
            return self.refuse(a.id, reply, r);
        };
        let Some(account) = rules.accounts.get(&a.account) else {
            let r = Refusal::not_run(ErrorCode::BadKey, "the account has been removed");
            return self.refuse(a.id, reply, r);
        };
        let kind = RequestKind::Completion {
            target: AdapterVersion { adapter: a.adapter, version: a.version },
            model: adapter.model.clone(),
            class: a.class,
            weight: account.weight,
            prefix: a.prefix,
        };
        self.open_request(now, a.id, Some(a.account), a.cost, a.deadline, kind, reply, ctx);
    }

    fn usable_rules(&self, now: Tick) -> Result<std::sync::Arc<Rules>, Refusal> {
        let not_ready = || Refusal::not_run(ErrorCode::NotReady, "this host is starting");
        let rules = self.config.rules().ok_or_else(not_ready)?;
        if !self.config.is_ready() {
            return Err(not_ready());
        }
        if self.config.is_stale(now) {
            let text = "the newest configuration has not been confirmed";
            return Err(Refusal::not_run(ErrorCode::StaleConfig, text));
        }
        if self.authority(now).is_none() {
            return Err(Refusal::not_run(ErrorCode::NoLease, "this host does not hold its lease"));
        }
        Ok(rules.clone())
    }

    #[allow(clippy::too_many_arguments, reason = "private constructor of the request's record")]
    fn open_request(
        &mut self,
        now: Tick,
        id: RequestId,
        account: Option<ArcStr>,
        cost: u64,
        deadline: std::time::Instant,
        kind: RequestKind,
        reply: Reply<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        let payer = account.clone();
        let o = OpenRequest {
            id,
            account,
            cost,
            deadline: self.clock.tick(deadline),
            token_deadline: now + TOKEN_TIMEOUT,
            grant: None,
            kind,
            avoid: Vec::new(),
            location: None,
            reply: Some(reply),
            running: None,
            stalled: false,
            tries: 0,
            waits: WaitTimes::new(now),
        };
        let key = self.requests.open.insert(o);
        self.requests.ids.insert(id, key);
        // Earlier requests of the account that wait for tokens go first.
        let reserved = match &payer {
            Some(a) if cost > 0 && self.requests.pending.contains_key(a) => Reservation::Wait,
            _ => self.reserve(now, key),
        };
        match (reserved, payer) {
            (Reservation::Granted, _) => self.enqueue(now, key, ctx),
            (Reservation::Wait, Some(a)) => self.wait_for_tokens(now, key, a, ctx),
            (Reservation::Wait, None) | (Reservation::Refused, _) => {}
        }
    }

    fn enqueue(&mut self, now: Tick, key: RequestKey, ctx: &mut Context<Self>) {
        let Some(o) = self.requests.open.get_mut(key) else { return };
        o.waits.restart(now);
        match &o.kind {
            RequestKind::Plain { upstreams } => {
                let upstreams = upstreams.clone();
                self.dispatch_plain(now, key, &upstreams);
            }
            RequestKind::Completion { class, weight, .. } => {
                let (class, weight) = (*class, *weight);
                if let Err(retry) = self.check_load_time(now, key) {
                    let text = "loads take longer than the time left";
                    let refusal =
                        Refusal::not_run(ErrorCode::Overloaded, text).with_retry_after(retry);
                    return self.close(now, key, refusal);
                }
                let Some(o) = self.requests.open.get(key) else { return };
                let item = Item {
                    account: o.account.clone().unwrap_or_default(),
                    weight,
                    class,
                    tokens: o.cost,
                    deadline: o.deadline,
                    data: o.id,
                };
                if let Err(r) = self.queue.push(now, item) {
                    let text = match r.reason {
                        Reason::Full => "too many requests wait",
                        Reason::WaitTooLong => "the expected wait exceeds the deadline",
                    };
                    let refusal = Refusal::not_run(ErrorCode::Overloaded, text)
                        .with_retry_after(r.retry_after);
                    return self.close(now, key, refusal);
                }
                self.dispatch_queued(now, ctx);
            }
        }
    }

    // Checks that the load that a request needs is expected to end before its deadline. The error
    // is the delay after which the caller may retry.
    fn check_load_time(&mut self, now: Tick, key: RequestKey) -> Result<(), Duration> {
        let Some(o) = self.requests.open.get(key) else { return Ok(()) };
        let RequestKind::Completion { target, model, class, .. } = &o.kind else { return Ok(()) };
        let left = o.deadline.since(now);
        if self.requests.loads.expected(now) <= left {
            return Ok(());
        }
        let (class, deadline, avoid) = (*class, o.deadline, &o.avoid);
        let need = Requirements { model, target, class, deadline, avoid, prefix: None };
        match self.route.pick(now, &need, self.random.next()) {
            Choice::Pin { load: true, .. } => self.requests.loads.admit(now, left),
            Choice::Pin { load: false, .. }
            | Choice::Run { .. }
            | Choice::Wait
            | Choice::Unavailable => Ok(()),
        }
    }

    /// Dispatches the queued requests that can run, and requests the pins that the others need.
    pub(super) fn dispatch_queued(&mut self, now: Tick, ctx: &mut Context<Self>) {
        // Requests with the same adapter version, class and excluded engines get the same result,
        // so one pick for each combination is enough.
        let mut blocked = BTreeSet::new();
        for _ in 0..=self.queue.len() {
            let mut wanted_pins = Vec::new();
            let mut unavailable = Vec::new();
            let mut chosen = None;
            let Self { queue, route, requests, random, .. } = self;
            let popped = queue.pop(now, |item| {
                let Some(o) = requests.ids.get(&item.data).and_then(|k| requests.open.get(*k))
                else {
                    return false;
                };
                let RequestKind::Completion { target, model, class, prefix, .. } = &o.kind else {
                    return false;
                };
                let key = (target.clone(), *class, o.avoid.clone());
                if blocked.contains(&key) {
                    return false;
                }
                let need = Requirements {
                    model,
                    target,
                    class: *class,
                    deadline: o.deadline,
                    avoid: &o.avoid,
                    prefix: requests.prefixes.get(prefix),
                };
                match route.pick(now, &need, random.next()) {
                    Choice::Run { engine, instance } => {
                        chosen = Some((engine, instance));
                        return true;
                    }
                    Choice::Pin { engine, load } => {
                        let reason = if load { PinReason::Load } else { PinReason::Run };
                        wanted_pins.push((engine, target.clone(), model.clone(), reason));
                    }
                    Choice::Unavailable => unavailable.push(item.data),
                    Choice::Wait => {
                        let waited = o.waits.current(now);
                        if let Some(s) = route.extra_replica(now, &need, waited) {
                            let reason = PinReason::Replica { urgent: s.urgent };
                            wanted_pins.push((s.engine, target.clone(), model.clone(), reason));
                        }
                    }
                }
                blocked.insert(key);
                false
            });
            self.mark_waiting(now, &wanted_pins);
            for (engine, target, model, reason) in wanted_pins {
                self.request_pin(now, engine, target, model, reason, ctx);
            }
            for id in unavailable {
                self.handle_no_engine(now, id);
            }
            match (popped, chosen) {
                (Some(p), Some((engine, instance))) => {
                    self.dispatch(now, p, engine, instance, ctx);
                }
                _ => return,
            }
        }
    }

    // Handles a request that no engine can take: clears its list of excluded engines if it may try
    // again, otherwise refuses it.
    fn handle_no_engine(&mut self, now: Tick, id: RequestId) {
        let Some(key) = self.requests.ids.get(&id).copied() else { return };
        let Some(o) = self.requests.open.get_mut(key) else { return };
        if !o.avoid.is_empty() && o.tries < MAX_TRIES {
            o.avoid.clear();
            o.tries += 1;
            return;
        }
        self.queue.retain(|i| i.data != id);
        let r = if o.stalled {
            Refusal::not_run(ErrorCode::LoadFailed, "the adapter could not be loaded")
        } else {
            Refusal::not_run(ErrorCode::NoUpstream, "no engine can take the request")
        };
        self.close(now, key, r.with_retry_after(Duration::from_secs(1)));
    }

    // Starts the wait for a pin of all requests for these adapter versions, and marks those that
    // also wait for a load.
    fn mark_waiting(
        &mut self,
        now: Tick,
        wanted_pins: &[(ArcStr, AdapterVersion, ArcStr, PinReason)],
    ) {
        if wanted_pins.is_empty() {
            return;
        }
        let mut loads: BTreeMap<&AdapterVersion, bool> = BTreeMap::new();
        for (_, target, _, reason) in wanted_pins {
            match reason {
                PinReason::Load => *loads.entry(target).or_default() = true,
                PinReason::Run => *loads.entry(target).or_default() |= false,
                PinReason::Replica { .. } => {}
            }
        }
        for o in self.requests.open.values_mut().filter(|o| o.is_queued()) {
            let RequestKind::Completion { target, .. } = &o.kind else { continue };
            if let Some(load) = loads.get(target) {
                o.waits.start_pin_wait(now);
                o.stalled |= load;
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Tick,
        p: Popped<RequestId>,
        engine: ArcStr,
        instance: ArcStr,
        ctx: &mut Context<Self>,
    ) {
        let addr = self.config.rules().and_then(|r| r.upstreams.get(&engine)?.addr().parse().ok());
        let key = self.requests.ids.get(&p.item.data).copied();
        let open = key.and_then(|k| Some((k, self.requests.open.get_mut(k)?)));
        let (Some(addr), Some((key, o))) = (addr, open) else {
            return self.queue.finish(now, p.running, 0);
        };
        let RequestKind::Completion { target, model, class, prefix, .. } = &o.kind else { return };
        let (target, model, class) = (target.clone(), model.clone(), *class);
        self.requests.prefixes.insert(*prefix, engine.clone());
        o.running = Some(p.running);
        o.tries += 1;
        let (stalled, account, deadline) = (o.stalled, o.account.clone(), o.deadline);
        let d = Dispatch {
            upstream: engine.clone(),
            addr,
            instance: instance.clone(),
            priority: class as u8,
            key,
        };
        o.location = Some(Location { upstream: engine.clone(), instance });
        let waited = p.waited;
        o.waits.end_queue_wait(now);
        self.commands.last_used.insert(engine.clone(), now);
        self.route.request_started(now, &engine, &target);
        let sent = o.reply.take().is_some_and(|r| r.send(Ok(d)).is_ok());
        if !sent {
            // The caller has disconnected, and dropping its admission sends `Done`.
            return;
        }
        if stalled && let Some(a) = account {
            self.setup.metrics.load_wait(&a);
        }
        if self.requests.prefixes.len() > MAX_PREFIXES {
            self.requests.prefixes.clear();
        }
        let need = Requirements {
            model: &model,
            target: &target,
            class,
            deadline,
            avoid: &[],
            prefix: None,
        };
        if let Some(s) = self.route.extra_replica(now, &need, waited) {
            let reason = PinReason::Replica { urgent: s.urgent };
            self.request_pin(now, s.engine, target, model, reason, ctx);
        }
    }

    fn retry(
        &mut self,
        now: Tick,
        a: Retry,
        reply: Reply<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        let Some(o) = self.requests.open.get_mut(a.key).filter(|o| o.id == a.id) else {
            let r = Refusal::not_run(ErrorCode::Internal, "the request is not known");
            let _ = reply.send(Err(r));
            return;
        };
        o.reply = Some(reply);
        let tries = o.tries;
        if let Some(p) = &o.location {
            o.avoid.push(p.upstream.clone());
        }
        let outcome = match a.reason {
            NotRunReason::ConnectFailed | NotRunReason::NoAnswer => route::Outcome::Failure,
            NotRunReason::UnknownInstance | NotRunReason::Overloaded | NotRunReason::Abandoned => {
                route::Outcome::Neutral
            }
        };
        self.leave_upstream(now, a.key, 0, outcome, a.reason == NotRunReason::UnknownInstance, ctx);
        if tries >= MAX_TRIES {
            let r = Refusal::not_run(ErrorCode::NoUpstream, "no upstream took the request")
                .with_retry_after(Duration::from_secs(1));
            return self.close(now, a.key, r);
        }
        self.enqueue(now, a.key, ctx);
    }

    fn done(&mut self, now: Tick, d: Done, ctx: &mut Context<Self>) {
        if let Some(t) = self.requests.spent_tickets.remove(&d.id) {
            match d.outcome {
                Outcome::Finished => self.tickets.finish(t, TicketOutcome::Ran),
                // The service may have started the call, or may still start it.
                Outcome::NotRun(NotRunReason::NoAnswer) | Outcome::Cancelled | Outcome::Failed => {
                    self.tickets.finish(t, TicketOutcome::Unknown);
                }
                Outcome::NotRun(_) => self.tickets.restore(t),
            }
        }
        let known = || self.requests.ids.get(&d.id).copied();
        let Some(key) = d.key.or_else(known) else { return };
        let outcome = match d.outcome {
            Outcome::Finished => route::Outcome::Success,
            Outcome::Failed
            | Outcome::NotRun(NotRunReason::ConnectFailed | NotRunReason::NoAnswer) => {
                route::Outcome::Failure
            }
            Outcome::Cancelled | Outcome::NotRun(_) => route::Outcome::Neutral,
        };
        let instance_missing = matches!(d.outcome, Outcome::NotRun(NotRunReason::UnknownInstance));
        let location = self.requests.open.get(key).and_then(|o| o.location.clone());
        self.leave_upstream(now, key, d.used, outcome, instance_missing, ctx);
        self.requests.ids.remove(&d.id);
        let Some(mut o) = self.requests.open.remove(key) else { return };
        let waited = if location.is_some() { o.waits } else { o.waited(now) };
        if let Some(g) = o.grant.take() {
            self.allowance.settle(now, g, d.used);
        }
        if location.is_none() {
            self.queue.retain(|i| i.data != d.id);
        }
        self.requests.history.end(o.end(waited, location, d.used, RequestEnd::Done(d.outcome)));
        self.dispatch_queued(now, ctx);
    }

    // Removes a request from the upstream that it was sent to.
    fn leave_upstream(
        &mut self,
        now: Tick,
        key: RequestKey,
        used: u64,
        outcome: route::Outcome,
        instance_missing: bool,
        ctx: &mut Context<Self>,
    ) {
        let Some(o) = self.requests.open.get_mut(key) else { return };
        let (Some(p), running) = (o.location.take(), o.running.take()) else { return };
        o.waits.restart(now);
        match o.kind.clone() {
            RequestKind::Plain { .. } => {
                if let Some(n) = self.requests.plain_calls.get_mut(&p.upstream) {
                    *n = n.saturating_sub(1);
                }
            }
            RequestKind::Completion { target, .. } => {
                if let Some(r) = running {
                    self.queue.finish(now, r, used);
                }
                self.route.request_ended(now, &p.upstream, &target, &p.instance, outcome);
                if instance_missing {
                    self.route.drop_pin(now, &p.upstream, &target);
                    let (engine, instance) = (p.upstream, p.instance);
                    self.handle_placement(
                        now,
                        placement::Event::UnknownInstance { engine, instance },
                        ctx,
                    );
                }
            }
        }
    }

    /// Refuses the queued requests whose deadline has passed and retries the others.
    pub(super) fn expire_requests(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut late = Vec::new();
        self.queue.expire(now, &mut late);
        for item in late {
            if let Some(key) = self.requests.ids.get(&item.data).copied() {
                let r = Refusal::not_run(ErrorCode::Deadline, "the deadline passed in the queue");
                self.close(now, key, r);
            }
        }
        self.retry_pending(now, ctx);
        self.dispatch_queued(now, ctx);
    }

    /// Sets the limits of the queue from the batch sizes of the engines.
    pub(super) fn size_queue(&mut self, rules: &Rules) {
        let usable = self.engine_specs.iter().filter(|s| !s.leaving);
        let slots: u32 = usable.map(|s| s.batch).sum();
        let reserved: u32 =
            self.engine_specs.iter().filter(|s| !s.leaving).map(|s| s.reserved).sum();
        let status = rules.adapters.values().any(|a| a.class == Class::Status);
        self.queue.set_limits(Limits {
            slots,
            reserved: if status { reserved } else { 0 },
            per_account: MAX_QUEUED_PER_ACCOUNT,
            total: MAX_QUEUED,
            token_rate: DEFAULT_TOKENS_PER_S,
        });
    }

    fn release(&mut self, now: Tick, reply: Reply<()>, ctx: &mut Context<Self>) {
        self.release_pins(now, true, ctx);
        self.allowance.stop_lending();
        // A successor may get the lease only after all tokens lent to peers have expired.
        let until = self.allowance.lent_until().filter(|t| *t > now);
        let wait = until.map_or(Duration::ZERO, |t| t.since(now));
        let pause = tokio::time::sleep(wait);
        ctx.spawn(pause.into_actor(self).map(move |(), act, ctx| {
            let (now, mut out) = (act.clock.now(), Vec::new());
            act.lease_released = true;
            if let Some(l) = &mut act.lease {
                l.release(now, &mut out);
            }
            act.lease_effects(now, out, ctx);
            act.publish(now);
            emit(&act.setup.log, Event::LeaseReleased, &slog::b!());
            // Leaves time for the calls that tell the peers.
            let notified = tokio::time::sleep(CALL_TIMEOUT / 2);
            ctx.spawn(notified.into_actor(act).map(move |(), _, _| {
                let _ = reply.send(());
            }));
        }));
    }

    // Refuses an open request that is not on an upstream.
    fn close(&mut self, now: Tick, key: RequestKey, r: Refusal) {
        let Some(mut o) = self.requests.open.remove(key) else { return };
        self.requests.ids.remove(&o.id);
        if let Some(t) = self.requests.spent_tickets.remove(&o.id) {
            self.tickets.restore(t);
        }
        if let Some(reply) = o.reply.take() {
            let _ = reply.send(Err(r.clone()));
        }
        let waited = o.waited(now);
        let grant = o.grant.take();
        self.requests.history.end(o.end(waited, None, 0, RequestEnd::Refused(r)));
        if let Some(g) = grant {
            self.allowance.settle(now, g, 0);
        }
    }

    fn refuse(&mut self, id: RequestId, reply: Reply<Result<Dispatch, Refusal>>, r: Refusal) {
        self.requests.history.refuse(id, r.clone());
        let _ = reply.send(Err(r));
    }
}
