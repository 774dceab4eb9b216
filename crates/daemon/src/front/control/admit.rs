//! Admission of requests.

use std::time::Duration;

use actix::{Addr, AsyncContext, Handler, Message};
use arcstr::ArcStr;
use slog::kv;
use tokio::sync::oneshot;
use yuccawing_core::{
    fleet::{
        dispatch::{Assignment, DispatchDecision, RunKey},
        health::Outcome,
        quota::QuotaCheck as Limit,
        replicas::ReplicaKey,
        request::ReplicaRequest,
    },
    retry::{Attempt, Budget, Cause},
    time::Tick,
};

use super::Control;
use crate::{
    events::{Event, emit},
    front::clock,
};

/// Part of the budget's slack that all hosts together use; the rest is for hosts that are not
/// known yet.
const SLACK_SHARE: f64 = 0.8;

/// Part of the budget's ratio that is used, for requests that the users count in another window.
const RATIO_SHARE: f64 = 0.75;

/// Longest wait that a refusal for a limit asks for: callers ignore more than a third of the time
/// that they have left.
const LIMIT_BACK: Duration = Duration::from_secs(2);

/// Asks for a replica.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Admit {
    /// The request.
    pub ask: ReplicaRequest,
    /// Account and units that the request counts against its limit, at the first attempt.
    pub charge: Option<(ArcStr, f64)>,
    /// Why the attempt before failed.
    pub again: Option<Cause>,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<Verdict>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Verdict {
    /// It goes to a replica.
    Go(Go),
    /// It is not run.
    Refused {
        /// Whether the account's limit is the reason.
        limit: bool,
        /// Name of the reason in logs and metrics.
        reason: &'static str,
        /// When the caller may come back.
        retry: Duration,
    },
}

/// A replica for a request.
#[derive(Debug)]
pub struct Go {
    /// The replica.
    pub grant: Assignment,
    /// Counts the request there until it is dropped.
    pub guard: Guard,
}

/// Tells the control thread when a request at a replica has ended, also when its caller has left.
#[derive(Debug)]
pub struct Guard {
    /// The request at the replica.
    pub run: RunKey,
    /// How it ended.
    pub outcome: Outcome,
    control: Addr<Control>,
}

impl Guard {
    pub(super) fn new(run: RunKey, control: Addr<Control>) -> Self {
        Self { run, outcome: Outcome::Neutral, control }
    }

    /// The first event has arrived.
    pub fn first(&self) {
        self.control.do_send(First { run: self.run });
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.control.do_send(Done { run: self.run, outcome: self.outcome });
    }
}

/// The first event of a stream has arrived.
#[derive(Message)]
#[rtype(result = "()")]
pub struct First {
    /// The request at the replica.
    pub run: RunKey,
}

/// A replica failed a request that another one served.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Blame {
    /// The replica.
    pub replica: ReplicaKey,
}

/// A request at a replica has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Done {
    /// The request at the replica.
    pub run: RunKey,
    /// How it ended.
    pub outcome: Outcome,
}

impl Handler<Admit> for Control {
    type Result = ();

    fn handle(&mut self, msg: Admit, ctx: &mut Self::Context) {
        let now = clock::now();
        if let Some((account, cost)) = &msg.charge
            && let Limit::Limited(wait) = self.quota.check(now, account, *cost)
        {
            let (left, part, share) = self.quota.explain(account);
            let fields = kv!(
                "id" => msg.ask.id.as_str(), "account" => account.as_str(), "cost" => *cost,
                "left" => left, "part" => part, "share" => share,
                "wait_ms" => wait.as_millis() as u64,
            );
            emit(&self.log, Event::LimitReached, &fields);
            let retry = wait.min(LIMIT_BACK);
            let refused = Verdict::Refused { limit: true, reason: "limit", retry };
            // The caller has left if nobody receives it.
            let _ = msg.reply.send(refused);
            return;
        }
        if !self.budgeted(now, &msg) {
            let refused =
                Verdict::Refused { limit: false, reason: "retry_budget", retry: Duration::ZERO };
            let _ = msg.reply.send(refused);
            return;
        }
        self.place(now, msg.ask, msg.charge, msg.reply, ctx.address(), 0);
        self.drive_all(now, ctx);
    }
}

impl Control {
    // Counts the request in its service's retry budget, or takes a retry from it.
    fn budgeted(&mut self, now: Tick, msg: &Admit) -> bool {
        let bounds = &self.settings.bounds;
        let hosts = (self.peers.iter().count() + 1) as f64;
        let reserve = (bounds.retry_slack * SLACK_SHARE / hosts).max(1.0) as u32;
        let share = (bounds.retry_ratio * RATIO_SHARE * 1000.0) as u32;
        let budget = self
            .budgets
            .entry(msg.ask.service.clone())
            .or_insert_with(|| Budget::with_limits(share, reserve));
        match msg.again {
            None => {
                budget.count_request();
                true
            }
            Some(cause) => {
                let retries = msg.ask.attempts.saturating_sub(1);
                let idempotent = msg.ask.kind.is_idempotent();
                let attempt = Attempt { retries, idempotent, cause, deadline: msg.ask.deadline };
                budget.try_retry(now, attempt)
            }
        }
    }

    /// Chooses a replica, and begins a load if the request needs one. `loads` counts the engines
    /// at which the request has waited in vain.
    pub(super) fn place(
        &mut self,
        now: Tick,
        ask: ReplicaRequest,
        charge: Option<(ArcStr, f64)>,
        reply: oneshot::Sender<Verdict>,
        control: Addr<Self>,
        loads: usize,
    ) {
        match self.dispatcher.choose(now, &ask) {
            DispatchDecision::Refused { reason, retry_after: retry } => {
                if let Some((account, cost)) = charge {
                    self.quota.refund(&account, cost);
                }
                let refused = Verdict::Refused { limit: false, reason: reason.name(), retry };
                let _ = reply.send(refused);
            }
            DispatchDecision::Assigned(grant) => {
                self.log_grant(&ask, &grant);
                let go = Go { guard: Guard::new(grant.run, control), grant: *grant };
                self.open += 1;
                if go.grant.required_load.is_some() {
                    self.await_load(now, ask, charge, reply, go, loads);
                } else {
                    self.uses(now, &ask, &go.grant);
                    // A guard that nobody receives ends the request when it is dropped.
                    let _ = reply.send(Verdict::Go(go));
                }
            }
        }
    }

    fn log_grant(&self, ask: &ReplicaRequest, g: &Assignment) {
        let Some(r) = self.dispatcher.replicas.get(g.replica) else { return };
        let total = r.total_load();
        let fields = kv!(
            "id" => ask.id.as_str(), "replica" => g.id.as_str(),
            "expected_ms" => g.expected_latency.as_millis() as u64,
            "reading_ms" => total.prefill_ms as u64, "runs" => total.inflight, "pace" => r.slowdown,
            "load" => g.required_load.is_some(), "version" => g.version, "tried" => ask.excluded.len(),
        );
        emit(&self.log, Event::RequestPlaced, &fields);
    }
}

impl Handler<First> for Control {
    type Result = ();

    fn handle(&mut self, msg: First, _: &mut Self::Context) {
        self.dispatcher.record_first(clock::now(), msg.run);
    }
}

impl Handler<Done> for Control {
    type Result = ();

    fn handle(&mut self, msg: Done, _: &mut Self::Context) {
        self.open = self.open.saturating_sub(1);
        let Some(k) = self.dispatcher.replica_of(msg.run) else { return };
        if self.dispatcher.finish(clock::now(), msg.run, msg.outcome) {
            self.log_ejected(k);
        }
    }
}

impl Handler<Blame> for Control {
    type Result = ();

    fn handle(&mut self, msg: Blame, _: &mut Self::Context) {
        if self.dispatcher.record_outcome(clock::now(), msg.replica, Outcome::Failure) {
            self.log_ejected(msg.replica);
        }
    }
}

impl Control {
    fn log_ejected(&self, k: ReplicaKey) {
        let Some(r) = self.dispatcher.replicas.get(k) else { return };
        let fields = kv!("replica" => r.id.as_str(), "service" => r.service.as_str());
        emit(&self.log, Event::ReplicaEjected, &fields);
    }
}
