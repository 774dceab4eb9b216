//! Admitted requests: allowance, queue, pins and dispatch.

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
    placement::{self, Target},
    queue::{Item, Limits, Popped, Reason, Running},
    route::{self, Choice, Need},
    rules::{Class, Rules},
    ticket::{Fate, Ticket},
    time::Tick,
};

use self::{
    pins::Why,
    tokens::{Reserved, TOKEN_WAIT},
};
use super::{
    Control,
    history::{End, History, Past, Place, Waits},
    loads::Loads,
    messages::{
        Admit, Again, Call, Code, Dispatch, Done, Flight, NotRun, Outcome, Refusal, Reply,
        RequestId,
    },
};
use crate::{
    events::{Event, emit},
    mesh::CALL_LIMIT,
};

/// Upstreams that one request may be sent to.
const MAX_TRIES: u32 = 6;
/// Waiting requests of one account in one class.
const PER_ACCOUNT: usize = 1024;
/// Waiting requests of a host: about 4 MB.
const TOTAL: usize = 4096;
/// Tokens per second of one running request before any has been measured: 40 ms per token.
const SPEED: u64 = 25;
/// Prefixes whose engine is remembered, about 0.5 MB. All are dropped when it is exceeded; they
/// are only a hint.
const PREFIXES: usize = 8192;

/// Open requests and the pins that they wait for.
#[derive(Default)]
pub(super) struct Requests {
    open: SlotMap<Flight, Open>,
    ids: HashMap<RequestId, Flight>,
    // Requests that wait for tokens, by account, oldest first.
    pending: BTreeMap<ArcStr, VecDeque<RequestId>>,
    history: History,
    // Engines asked for a pin: `None` while the answer is awaited, else when to ask again.
    pins: BTreeMap<(ArcStr, Target), Option<Tick>>,
    // When a further replica was last asked for.
    spread: BTreeMap<Target, Tick>,
    last_pin: u64,
    loads: Loads,
    prefixes: HashMap<u64, ArcStr>,
    plain: BTreeMap<ArcStr, u32>,
    turn: usize,
    spent: HashMap<RequestId, Ticket>,
}

struct Open {
    id: RequestId,
    account: Option<ArcStr>,
    cost: u64,
    deadline: Tick,
    token_limit: Tick,
    grant: Option<Grant>,
    work: Work,
    avoid: Vec<ArcStr>,
    at: Option<Place>,
    reply: Option<Reply<Result<Dispatch, Refusal>>>,
    running: Option<Running>,
    stalled: bool,
    tries: u32,
    waits: Waits,
}

#[derive(Clone)]
enum Work {
    Completion { target: Target, model: ArcStr, class: Class, weight: u32, prefix: u64 },
    Plain { upstreams: Vec<ArcStr> },
}

impl Open {
    // Whether it needs tokens of an account.
    fn is_metered(&self) -> bool {
        self.account.is_some() && self.cost > 0
    }

    // Whether it has its tokens and no upstream.
    fn is_queued(&self) -> bool {
        self.at.is_none() && (self.grant.is_some() || !self.is_metered())
    }

    // Whether it is in the queue for an adapter version.
    fn waits_for(&self, target: &Target) -> bool {
        self.is_queued() && matches!(&self.work, Work::Completion { target: t, .. } if t == target)
    }

    // Its waits, with the present one.
    fn waited(&self, now: Tick) -> Waits {
        let mut p = self.waits;
        match (&self.at, &self.grant) {
            (Some(_), _) => {}
            (None, None) if self.is_metered() => p.granted(now),
            (None, _) => p.left_queue(now),
        }
        p
    }

    fn past(self, waits: Waits, place: Option<Place>, used: u64, end: End) -> Past {
        let Self { id, account, cost: tokens, avoid, tries, .. } = self;
        Past { id, account, tokens, used, place, avoid, tries, waits, end }
    }
}

impl Control {
    /// Takes a call of a traffic thread.
    pub(super) fn traffic_call(&mut self, now: Tick, call: Call, ctx: &mut Context<Self>) {
        match call {
            Call::Admit(a, reply) => self.admit(now, a, reply, ctx),
            Call::AdmitPlain(a, reply) => self.admit_plain(now, a, reply, ctx),
            Call::Again(a, reply) => self.again(now, a, reply, ctx),
            Call::Done(d) => self.done(now, d, ctx),
            Call::Ticket(account, reply) => {
                let nonce = self.random.next();
                let out = match self.tickets.issue(now, account, nonce) {
                    Ok(t) => Ok(t.to_string().into()),
                    Err(e) => Err(Refusal::not_run(Code::Overloaded, e.to_string()).retry(e.retry)),
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
                self.on_member(now, yuccawing_core::membership::Event::ShutdownStarted, ctx);
                self.publish(now);
                self.announce(now, ctx);
                let _ = reply.send(());
            }
            Call::Release(reply) => self.release(now, reply, ctx),
        }
    }

    /// Time until everything that waits in the classes above drafting is served. Drafting requests
    /// may wait, so they do not count as overload.
    pub(super) fn backlog(&self) -> Duration {
        let all = u64::from(u32::MAX);
        self.queue.expected_wait(&ArcStr::new(), 1, Class::Interactive, all)
    }

    /// Open requests.
    pub(super) fn open_requests(&self) -> usize {
        self.requests.open.len()
    }

    /// Where a request stands, or why it was refused.
    pub(super) fn explain_request(&self, now: Tick, id: RequestId) -> Option<serde_json::Value> {
        if let Some(o) = self.requests.ids.get(&id).and_then(|f| self.requests.open.get(*f)) {
            let state = match (&o.at, &o.grant) {
                (Some(_), _) => "running",
                (None, Some(_)) => "waiting for an upstream",
                (None, None) => "waiting for tokens",
            };
            return Some(json!({
                "request": id.to_string(), "state": state, "account": o.account,
                "tokens": o.cost, "upstream": o.at.as_ref().map(|p| &p.upstream),
                "instance": o.at.as_ref().map(|p| &p.instance), "tries": o.tries,
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
            let r = Refusal::not_run(Code::NotFound, "no such adapter or version");
            return self.refuse(a.id, reply, r);
        };
        let Some(account) = rules.accounts.get(&a.account) else {
            let r = Refusal::not_run(Code::BadKey, "the account has been removed");
            return self.refuse(a.id, reply, r);
        };
        let work = Work::Completion {
            target: Target { adapter: a.adapter, version: a.version },
            model: adapter.model.clone(),
            class: a.class,
            weight: account.weight,
            prefix: a.prefix,
        };
        self.open(now, a.id, Some(a.account), a.cost, a.deadline, work, reply, ctx);
    }

    fn usable_rules(&self, now: Tick) -> Result<std::sync::Arc<Rules>, Refusal> {
        let not_ready = || Refusal::not_run(Code::NotReady, "this host is starting");
        let rules = self.config.rules().ok_or_else(not_ready)?;
        if !self.config.is_ready() {
            return Err(not_ready());
        }
        if self.config.is_stale(now) {
            let text = "the newest configuration has not been confirmed";
            return Err(Refusal::not_run(Code::StaleConfig, text));
        }
        if self.authority(now).is_none() {
            return Err(Refusal::not_run(Code::NoLease, "this host does not hold its lease"));
        }
        Ok(rules.clone())
    }

    #[allow(clippy::too_many_arguments, reason = "private constructor of the request's record")]
    fn open(
        &mut self,
        now: Tick,
        id: RequestId,
        account: Option<ArcStr>,
        cost: u64,
        deadline: std::time::Instant,
        work: Work,
        reply: Reply<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        let payer = account.clone();
        let o = Open {
            id,
            account,
            cost,
            deadline: self.clock.tick(deadline),
            token_limit: now + TOKEN_WAIT,
            grant: None,
            work,
            avoid: Vec::new(),
            at: None,
            reply: Some(reply),
            running: None,
            stalled: false,
            tries: 0,
            waits: Waits::new(now),
        };
        let flight = self.requests.open.insert(o);
        self.requests.ids.insert(id, flight);
        // Requests that arrived earlier have the first claim on the account's tokens.
        let reserved = match &payer {
            Some(a) if cost > 0 && self.requests.pending.contains_key(a) => Reserved::Wait,
            _ => self.reserve(now, flight),
        };
        match (reserved, payer) {
            (Reserved::Granted, _) => self.enqueue(now, flight, ctx),
            (Reserved::Wait, Some(a)) => self.wait_for_tokens(now, flight, a, ctx),
            (Reserved::Wait, None) | (Reserved::Refused, _) => {}
        }
    }

    fn enqueue(&mut self, now: Tick, flight: Flight, ctx: &mut Context<Self>) {
        let Some(o) = self.requests.open.get_mut(flight) else { return };
        o.waits.restart(now);
        match &o.work {
            Work::Plain { upstreams } => {
                let upstreams = upstreams.clone();
                self.dispatch_plain(now, flight, &upstreams);
            }
            Work::Completion { class, weight, .. } => {
                let (class, weight) = (*class, *weight);
                if let Err(retry) = self.expect_load(now, flight) {
                    let text = "loads take longer than the time left";
                    let refusal = Refusal::not_run(Code::Overloaded, text).retry(retry);
                    return self.close(now, flight, refusal);
                }
                let Some(o) = self.requests.open.get(flight) else { return };
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
                        Reason::Late => "the expected wait exceeds the deadline",
                    };
                    let refusal = Refusal::not_run(Code::Overloaded, text).retry(r.retry);
                    return self.close(now, flight, refusal);
                }
                self.drive(now, ctx);
            }
        }
    }

    // Refuses a request that needs a load if recent loads took longer than the time that it has
    // left. The error is when another attempt makes sense.
    fn expect_load(&mut self, now: Tick, flight: Flight) -> Result<(), Duration> {
        let Some(o) = self.requests.open.get(flight) else { return Ok(()) };
        let Work::Completion { target, model, class, .. } = &o.work else { return Ok(()) };
        let left = o.deadline.since(now);
        if self.requests.loads.expected(now) <= left {
            return Ok(());
        }
        let (class, deadline, avoid) = (*class, o.deadline, &o.avoid);
        let need = Need { model, target, class, deadline, avoid, prefix: None };
        match self.route.pick(now, &need, self.random.next()) {
            Choice::Pin { load: true, .. } => self.requests.loads.admit(now, left),
            Choice::Pin { load: false, .. }
            | Choice::Run { .. }
            | Choice::Wait
            | Choice::Nowhere => Ok(()),
        }
    }

    /// Starts the waiting requests that can start, and asks for the pins that others need.
    pub(super) fn drive(&mut self, now: Tick, ctx: &mut Context<Self>) {
        // One answer per adapter version, class and set of avoided engines is enough in one pass.
        let mut blocked = BTreeSet::new();
        for _ in 0..=self.queue.len() {
            let mut wants = Vec::new();
            let mut nowhere = Vec::new();
            let mut chosen = None;
            let Self { queue, route, requests, random, .. } = self;
            let popped = queue.pop(now, |item| {
                let Some(o) = requests.ids.get(&item.data).and_then(|f| requests.open.get(*f))
                else {
                    return false;
                };
                let Work::Completion { target, model, class, prefix, .. } = &o.work else {
                    return false;
                };
                let key = (target.clone(), *class, o.avoid.clone());
                if blocked.contains(&key) {
                    return false;
                }
                let need = Need {
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
                        let why = if load { Why::Load } else { Why::Run };
                        wants.push((engine, target.clone(), model.clone(), why));
                    }
                    Choice::Nowhere => nowhere.push(item.data),
                    Choice::Wait => {
                        let waited = o.waits.lasts(now);
                        if let Some(s) = route.spread(now, &need, waited) {
                            let why = Why::Spread { urgent: s.urgent };
                            wants.push((s.engine, target.clone(), model.clone(), why));
                        }
                    }
                }
                blocked.insert(key);
                false
            });
            self.mark_waiting(now, &wants);
            for (engine, target, model, why) in wants {
                self.ask_pin(now, engine, target, model, why, ctx);
            }
            for id in nowhere {
                self.give_up(now, id);
            }
            match (popped, chosen) {
                (Some(p), Some((engine, instance))) => {
                    self.dispatch(now, p, engine, instance, ctx);
                }
                _ => return,
            }
        }
    }

    // No engine is left for it: all were tried or are unusable.
    fn give_up(&mut self, now: Tick, id: RequestId) {
        let Some(flight) = self.requests.ids.get(&id).copied() else { return };
        let Some(o) = self.requests.open.get_mut(flight) else { return };
        if !o.avoid.is_empty() && o.tries < MAX_TRIES {
            o.avoid.clear();
            o.tries += 1;
            return;
        }
        self.queue.retain(|i| i.data != id);
        let r = if o.stalled {
            Refusal::not_run(Code::LoadFailed, "the adapter could not be loaded")
        } else {
            Refusal::not_run(Code::NoUpstream, "no engine can take the request")
        };
        self.close(now, flight, r.retry(Duration::from_secs(1)));
    }

    // The requests for these adapter versions wait for a pin, or for a load as well.
    fn mark_waiting(&mut self, now: Tick, wants: &[(ArcStr, Target, ArcStr, Why)]) {
        if wants.is_empty() {
            return;
        }
        let mut loads: BTreeMap<&Target, bool> = BTreeMap::new();
        for (_, target, _, why) in wants {
            match why {
                Why::Load => *loads.entry(target).or_default() = true,
                Why::Run => *loads.entry(target).or_default() |= false,
                Why::Spread { .. } => {}
            }
        }
        for o in self.requests.open.values_mut().filter(|o| o.is_queued()) {
            let Work::Completion { target, .. } = &o.work else { continue };
            if let Some(load) = loads.get(target) {
                o.waits.needs_pin(now);
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
        let flight = self.requests.ids.get(&p.item.data).copied();
        let open = flight.and_then(|f| Some((f, self.requests.open.get_mut(f)?)));
        let (Some(addr), Some((flight, o))) = (addr, open) else {
            return self.queue.done(now, p.running, 0);
        };
        let Work::Completion { target, model, class, prefix, .. } = &o.work else { return };
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
            flight,
        };
        o.at = Some(Place { upstream: engine.clone(), instance });
        let waited = p.waited;
        o.waits.left_queue(now);
        self.commands.used.insert(engine.clone(), now);
        self.route.started(now, &engine, &target);
        let sent = o.reply.take().is_some_and(|r| r.send(Ok(d)).is_ok());
        if !sent {
            // The caller has gone: its `Done` is on the way or was dropped with the channel.
            return;
        }
        if stalled && let Some(a) = account {
            self.setup.metrics.stall(&a);
        }
        if self.requests.prefixes.len() > PREFIXES {
            self.requests.prefixes.clear();
        }
        let need =
            Need { model: &model, target: &target, class, deadline, avoid: &[], prefix: None };
        if let Some(s) = self.route.spread(now, &need, waited) {
            let why = Why::Spread { urgent: s.urgent };
            self.ask_pin(now, s.engine, target, model, why, ctx);
        }
    }

    fn again(
        &mut self,
        now: Tick,
        a: Again,
        reply: Reply<Result<Dispatch, Refusal>>,
        ctx: &mut Context<Self>,
    ) {
        let Some(o) = self.requests.open.get_mut(a.flight).filter(|o| o.id == a.id) else {
            let r = Refusal::not_run(Code::Internal, "the request is not known");
            let _ = reply.send(Err(r));
            return;
        };
        o.reply = Some(reply);
        let tries = o.tries;
        if let Some(p) = &o.at {
            o.avoid.push(p.upstream.clone());
        }
        let outcome = match a.reason {
            NotRun::Connect | NotRun::Silent => route::Outcome::Bad,
            NotRun::UnknownInstance | NotRun::Overloaded | NotRun::Caller => {
                route::Outcome::Neutral
            }
        };
        self.leave_upstream(now, a.flight, 0, outcome, a.reason == NotRun::UnknownInstance, ctx);
        if tries >= MAX_TRIES {
            let r = Refusal::not_run(Code::NoUpstream, "no upstream took the request")
                .retry(Duration::from_secs(1));
            return self.close(now, a.flight, r);
        }
        self.enqueue(now, a.flight, ctx);
    }

    fn done(&mut self, now: Tick, d: Done, ctx: &mut Context<Self>) {
        if let Some(t) = self.requests.spent.remove(&d.id) {
            match d.outcome {
                Outcome::Finished => self.tickets.finish(t, Fate::Ran),
                // After a silence a late start is possible.
                Outcome::NotRun(NotRun::Silent) | Outcome::Cancelled | Outcome::Broken => {
                    self.tickets.finish(t, Fate::Unknown);
                }
                Outcome::NotRun(_) => self.tickets.restore(t),
            }
        }
        let known = || self.requests.ids.get(&d.id).copied();
        let Some(flight) = d.flight.or_else(known) else { return };
        let outcome = match d.outcome {
            Outcome::Finished => route::Outcome::Good,
            Outcome::Broken | Outcome::NotRun(NotRun::Connect | NotRun::Silent) => {
                route::Outcome::Bad
            }
            Outcome::Cancelled | Outcome::NotRun(_) => route::Outcome::Neutral,
        };
        let gone = matches!(d.outcome, Outcome::NotRun(NotRun::UnknownInstance));
        let place = self.requests.open.get(flight).and_then(|o| o.at.clone());
        self.leave_upstream(now, flight, d.used, outcome, gone, ctx);
        self.requests.ids.remove(&d.id);
        let Some(mut o) = self.requests.open.remove(flight) else { return };
        let waited = if place.is_some() { o.waits } else { o.waited(now) };
        if let Some(g) = o.grant.take() {
            self.allowance.settle(now, g, d.used);
        }
        if place.is_none() {
            self.queue.retain(|i| i.data != d.id);
        }
        self.requests.history.end(o.past(waited, place, d.used, End::Done(d.outcome)));
        self.drive(now, ctx);
    }

    // Ends a request's stay on an upstream.
    fn leave_upstream(
        &mut self,
        now: Tick,
        flight: Flight,
        used: u64,
        outcome: route::Outcome,
        gone: bool,
        ctx: &mut Context<Self>,
    ) {
        let Some(o) = self.requests.open.get_mut(flight) else { return };
        let (Some(p), running) = (o.at.take(), o.running.take()) else { return };
        o.waits.restart(now);
        match o.work.clone() {
            Work::Plain { .. } => {
                if let Some(n) = self.requests.plain.get_mut(&p.upstream) {
                    *n = n.saturating_sub(1);
                }
            }
            Work::Completion { target, .. } => {
                if let Some(r) = running {
                    self.queue.done(now, r, used);
                }
                self.route.ended(now, &p.upstream, &target, &p.instance, outcome);
                if gone {
                    self.route.dropped(now, &p.upstream, &target);
                    let (engine, instance) = (p.upstream, p.instance);
                    self.place(now, placement::Event::Missing { engine, instance }, ctx);
                }
            }
        }
    }

    /// Refuses the requests whose deadline has passed and tries again for those that wait.
    pub(super) fn expire_requests(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut late = Vec::new();
        self.queue.expire(now, &mut late);
        for item in late {
            if let Some(f) = self.requests.ids.get(&item.data).copied() {
                let r = Refusal::not_run(Code::Deadline, "the deadline passed in the queue");
                self.close(now, f, r);
            }
        }
        self.retry_pending(now, ctx);
        self.drive(now, ctx);
    }

    /// Sets the queue's capacity from the engines.
    pub(super) fn size_queue(&mut self, rules: &Rules) {
        let usable = self.specs.iter().filter(|s| !s.leaving);
        let slots: u32 = usable.map(|s| s.batch).sum();
        let reserved: u32 = self.specs.iter().filter(|s| !s.leaving).map(|s| s.reserved).sum();
        let status = rules.adapters.values().any(|a| a.class == Class::Status);
        self.queue.set_limits(Limits {
            slots,
            reserved: if status { reserved } else { 0 },
            per_account: PER_ACCOUNT,
            total: TOTAL,
            speed: SPEED,
        });
    }

    fn release(&mut self, now: Tick, reply: Reply<()>, ctx: &mut Context<Self>) {
        self.release_pins(now, true, ctx);
        self.allowance.stop_lending();
        // Loans that peers still use must end before a successor may start.
        let until = self.allowance.lent_until().filter(|t| *t > now);
        let wait = until.map_or(Duration::ZERO, |t| t.since(now));
        let pause = tokio::time::sleep(wait);
        ctx.spawn(pause.into_actor(self).map(move |(), act, ctx| {
            let (now, mut out) = (act.clock.now(), Vec::new());
            act.released = true;
            if let Some(l) = &mut act.lease {
                l.release(now, &mut out);
            }
            act.lease_effects(now, out, ctx);
            act.publish(now);
            emit(&act.setup.log, Event::LeaseReleased, &slog::b!());
            // The peers are told by calls that this waits for.
            let told = tokio::time::sleep(CALL_LIMIT / 2);
            ctx.spawn(told.into_actor(act).map(move |(), _, _| {
                let _ = reply.send(());
            }));
        }));
    }

    // Ends a request that was not sent anywhere, with a refusal.
    fn close(&mut self, now: Tick, flight: Flight, r: Refusal) {
        let Some(mut o) = self.requests.open.remove(flight) else { return };
        self.requests.ids.remove(&o.id);
        if let Some(t) = self.requests.spent.remove(&o.id) {
            self.tickets.restore(t);
        }
        if let Some(reply) = o.reply.take() {
            let _ = reply.send(Err(r.clone()));
        }
        let waited = o.waited(now);
        let grant = o.grant.take();
        self.requests.history.end(o.past(waited, None, 0, End::Refused(r)));
        if let Some(g) = grant {
            self.allowance.settle(now, g, 0);
        }
    }

    fn refuse(&mut self, id: RequestId, reply: Reply<Result<Dispatch, Refusal>>, r: Refusal) {
        self.requests.history.refuse(id, r.clone());
        let _ = reply.send(Err(r));
    }
}
