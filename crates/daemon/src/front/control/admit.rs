//! Admission of requests.

use std::time::Duration;

use actix::{Addr, AsyncContext, Handler, Message};
use arcstr::ArcStr;
use slog::kv;
use tokio::sync::oneshot;
use yuccawing_core::{
    fleet::{
        ask::Ask,
        dispatch::{Choice, Grant, RunKey},
        health::Outcome,
        quota::Verdict as Limit,
        replicas::ReplicaKey,
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
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(2);

/// Asks for a replica.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Admit {
    /// The request.
    pub ask: Ask,
    /// Account and units that the request counts against its limit, at the first attempt.
    pub charge: Option<(ArcStr, f64)>,
    /// Why the attempt before failed.
    pub retry_cause: Option<Cause>,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<Admission>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Admission {
    /// It goes to a replica.
    Placed(Placement),
    /// It is not run.
    Refused {
        /// Whether the account's limit is the reason.
        over_limit: bool,
        /// Name of the reason in logs and metrics.
        reason: &'static str,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// A replica for a request.
#[derive(Debug)]
pub struct Placement {
    /// The replica.
    pub grant: Grant,
    /// Counts the request there until it is dropped.
    pub guard: RunGuard,
}

/// Tells the control thread when a request at a replica has ended, also when its caller has left.
#[derive(Debug)]
pub struct RunGuard {
    /// The request at the replica.
    pub run: RunKey,
    /// How it ended.
    pub outcome: Outcome,
    control: Addr<Control>,
}

impl RunGuard {
    pub(super) fn new(run: RunKey, control: Addr<Control>) -> Self {
        Self { run, outcome: Outcome::Neutral, control }
    }

    /// The first event has arrived.
    pub fn first_event(&self) {
        self.control.do_send(FirstEvent { run: self.run });
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.control.do_send(RunEnded { run: self.run, outcome: self.outcome });
    }
}

/// The first event of a stream has arrived.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FirstEvent {
    /// The request at the replica.
    pub run: RunKey,
}

/// A replica failed a request that another one served.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReplicaFailed {
    /// The replica.
    pub replica: ReplicaKey,
}

/// A request at a replica has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RunEnded {
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
            && let Limit::Over(wait) = self.quota.check(now, account, *cost)
        {
            let (left, part, share) = self.quota.inputs(account);
            let fields = kv!(
                "id" => msg.ask.id.as_str(), "account" => account.as_str(), "cost" => *cost,
                "left" => left, "part" => part, "share" => share,
                "wait_ms" => wait.as_millis() as u64,
            );
            emit(&self.log, Event::LimitReached, &fields);
            let retry_after = wait.min(MAX_LIMIT_WAIT);
            let refused = Admission::Refused { over_limit: true, reason: "limit", retry_after };
            // The caller has left if nobody receives it.
            let _ = msg.reply.send(refused);
            return;
        }
        if !self.charge_budget(now, &msg) {
            let refused = Admission::Refused {
                over_limit: false,
                reason: "retry_budget",
                retry_after: Duration::ZERO,
            };
            let _ = msg.reply.send(refused);
            return;
        }
        self.place(now, msg.ask, msg.charge, msg.reply, ctx.address(), 0);
        self.send_orders(now, ctx);
    }
}

impl Control {
    // Counts the request in its service's retry budget, or takes a retry from it.
    fn charge_budget(&mut self, now: Tick, msg: &Admit) -> bool {
        let bounds = &self.settings.bounds;
        let hosts = (self.peers.iter().count() + 1) as f64;
        let reserve = (bounds.retry_slack * SLACK_SHARE / hosts).max(1.0) as u32;
        let share = (bounds.retry_ratio * RATIO_SHARE * 1000.0) as u32;
        let budget = self
            .budgets
            .entry(msg.ask.service.clone())
            .or_insert_with(|| Budget::with(share, reserve));
        match msg.retry_cause {
            None => {
                budget.request();
                true
            }
            Some(cause) => {
                let retries = msg.ask.sent.saturating_sub(1);
                let idempotent = msg.ask.kind.idempotent();
                let attempt = Attempt { retries, idempotent, cause, deadline: msg.ask.deadline };
                budget.allow(now, attempt)
            }
        }
    }

    /// Chooses a replica, and begins a load if the request needs one. `loads` counts the engines
    /// at which the request has waited in vain.
    pub(super) fn place(
        &mut self,
        now: Tick,
        ask: Ask,
        charge: Option<(ArcStr, f64)>,
        reply: oneshot::Sender<Admission>,
        control: Addr<Self>,
        waits: usize,
    ) {
        match self.dispatcher.choose(now, &ask) {
            Choice::Refused { reason, retry } => {
                if let Some((account, cost)) = charge {
                    self.quota.refund(&account, cost);
                }
                let refused = Admission::Refused {
                    over_limit: false,
                    reason: reason.name(),
                    retry_after: retry,
                };
                let _ = reply.send(refused);
            }
            Choice::Granted(grant) => {
                self.log_grant(&ask, &grant);
                let placement =
                    Placement { guard: RunGuard::new(grant.run, control), grant: *grant };
                self.open_requests += 1;
                if placement.grant.load.is_some() {
                    self.await_load(now, ask, charge, reply, placement, waits);
                } else {
                    self.record_use(now, &ask, &placement.grant);
                    // A guard that nobody receives ends the request when it is dropped.
                    let _ = reply.send(Admission::Placed(placement));
                }
            }
        }
    }

    fn log_grant(&self, ask: &Ask, g: &Grant) {
        let Some(r) = self.dispatcher.replicas.get(g.replica) else { return };
        let total = r.total();
        let fields = kv!(
            "id" => ask.id.as_str(), "replica" => g.id.as_str(),
            "expected_ms" => g.expected.as_millis() as u64,
            "reading_ms" => total.reading as u64, "runs" => total.runs, "pace" => r.pace,
            "load" => g.load.is_some(), "version" => g.version, "tried" => ask.tried.len(),
        );
        emit(&self.log, Event::RequestPlaced, &fields);
    }
}

impl Handler<FirstEvent> for Control {
    type Result = ();

    fn handle(&mut self, msg: FirstEvent, _: &mut Self::Context) {
        self.dispatcher.first(clock::now(), msg.run);
    }
}

impl Handler<RunEnded> for Control {
    type Result = ();

    fn handle(&mut self, msg: RunEnded, _: &mut Self::Context) {
        self.open_requests = self.open_requests.saturating_sub(1);
        let Some(k) = self.dispatcher.replica(msg.run) else { return };
        if self.dispatcher.end(clock::now(), msg.run, msg.outcome) {
            self.log_ejected(k);
        }
    }
}

impl Handler<ReplicaFailed> for Control {
    type Result = ();

    fn handle(&mut self, msg: ReplicaFailed, _: &mut Self::Context) {
        if self.dispatcher.record(clock::now(), msg.replica, Outcome::Failed) {
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
