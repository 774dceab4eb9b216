//! Admission of requests: checks quotas and retry budgets, assigns a replica and tracks the request
//! until it ends.

use std::time::Duration;

use actix::{Addr, AsyncContext, Handler, Message};
use arcstr::ArcStr;
use slog::kv;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    fleet::{
        dispatch::{Assignment, AttemptKey, DispatchDecision},
        health::Outcome,
        quota::QuotaCheck,
        replicas::ReplicaKey,
        request::ReplicaRequest,
    },
    retry::{Attempt, Budget, Cause},
    time::Tick,
};

use super::{Control, Served};
use crate::{
    events::{Event, emit},
    front::clock,
};

/// Fraction of the permitted retry slack that all known hosts use together; the remainder is for
/// hosts that are not known yet.
const SLACK_SHARE: f64 = 0.8;

/// Fraction of the permitted retry ratio that is used, because the check of the ratio may count a
/// request in another window.
const RATIO_SHARE: f64 = 0.75;

/// Largest `Retry-After` of a response to an account over its limit. Callers ignore a value of more
/// than a third of their remaining time.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(2);

/// Requests a replica for a request or for its retry.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Admit {
    /// The request to be placed.
    pub request: ReplicaRequest,
    /// Account and units to charge against its limit, at the first attempt only.
    pub charge: Option<(ArcStr, f64)>,
    /// Cause of the previous failure; `None` at the first attempt.
    pub retry_cause: Option<Cause>,
    /// Receives the result.
    pub reply: oneshot::Sender<Admission>,
}

/// Result of [`Admit`].
#[derive(Debug)]
pub enum Admission {
    /// The request may be sent to a replica.
    Placed(PlacedRequest),
    /// The request is refused; nothing was run.
    Refused {
        /// Whether the account is over its limit.
        over_limit: bool,
        /// Reason in logs and metrics.
        reason: &'static str,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Replica that was assigned to a request.
#[derive(Debug)]
pub struct PlacedRequest {
    /// The replica and what the request needs there.
    pub assignment: Assignment,
    /// Keeps the request counted at the replica until it is dropped.
    pub guard: AttemptGuard,
    /// Cancelled if the request must not go on because replicas end under one of its blocks.
    pub held: CancellationToken,
}

/// Reports the end of an attempt at a replica when it is dropped, so that an attempt whose caller
/// has left is counted too.
#[derive(Debug)]
pub struct AttemptGuard {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// How the attempt ended.
    pub outcome: Outcome,
    control: Addr<Control>,
}

impl AttemptGuard {
    pub(super) fn new(attempt: AttemptKey, control: Addr<Control>) -> Self {
        Self { attempt, outcome: Outcome::Neutral, control }
    }

    /// Reports that the response has gone beyond its first event.
    pub fn served(&self) {
        self.control.do_send(Served { attempt: self.attempt });
    }

    /// Reports that the first event has arrived.
    pub fn first_event(&self) {
        self.control.do_send(FirstEvent { attempt: self.attempt });
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        // A replica whose attempts end the task must not look idle and healthy.
        if std::thread::panicking() {
            self.outcome = Outcome::NoResponse;
        }
        self.control.do_send(AttemptEnded { attempt: self.attempt, outcome: self.outcome });
    }
}

/// Reports the first event of a stream.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FirstEvent {
    /// Key of the attempt.
    pub attempt: AttemptKey,
}

/// Reports that a replica failed a request that another replica then served.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReplicaFailed {
    /// The replica that failed.
    pub replica: ReplicaKey,
}

/// Reports the end of an attempt at a replica.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttemptEnded {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// How the attempt ended.
    pub outcome: Outcome,
}

impl Handler<Admit> for Control {
    type Result = ();

    fn handle(&mut self, msg: Admit, ctx: &mut Self::Context) {
        let now = clock::now();
        if msg.request.inference.is_some() {
            self.survivor.record_request(now);
        }
        if let Some(refused) = self.refuse_held(now, &msg.request, msg.retry_cause.is_some()) {
            // Sending fails only if the caller has left.
            let _ = msg.reply.send(refused);
            return;
        }
        if let Some((account, cost)) = &msg.charge
            && let QuotaCheck::Limited(wait) = self.quota.check(now, account, *cost)
        {
            let (left, part, share) = self.quota.explain(account);
            let fields = kv!(
                "id" => msg.request.id.as_str(), "account" => account.as_str(), "cost" => *cost,
                "left" => left, "part" => part, "share" => share,
                "wait_ms" => wait.as_millis() as u64,
            );
            emit(&self.log, Event::LimitReached, &fields);
            let retry_after = wait.min(MAX_LIMIT_WAIT);
            let refused = Admission::Refused { over_limit: true, reason: "limit", retry_after };
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
        self.place(now, msg.request, msg.charge, msg.reply, ctx.address(), 0);
        self.send_orders(now, ctx);
    }
}

impl Control {
    // Counts a first attempt in the retry budget of its service. Takes a retry from the budget;
    // returns false if the budget does not allow it.
    fn charge_budget(&mut self, now: Tick, msg: &Admit) -> bool {
        let bounds = &self.settings.bounds;
        let hosts = (self.peers.iter().count() + 1) as f64;
        let max_saved = (bounds.retry_slack * SLACK_SHARE / hosts).max(1.0) as u32;
        let per_mille = (bounds.retry_ratio * RATIO_SHARE * 1000.0) as u32;
        let budget = self
            .budgets
            .entry(msg.request.service.clone())
            .or_insert_with(|| Budget::with_limits(per_mille, max_saved));
        match msg.retry_cause {
            None => {
                budget.count_request();
                true
            }
            Some(cause) => {
                let retries = msg.request.attempts.saturating_sub(1);
                let idempotent = msg.request.kind.is_idempotent();
                let attempt =
                    Attempt { retries, idempotent, cause, deadline: msg.request.deadline };
                budget.try_retry(now, attempt)
            }
        }
    }

    /// Chooses a replica and starts a load if the request needs one. `waits` is the number of
    /// engines at which the request has already waited for a load without success.
    pub(super) fn place(
        &mut self,
        now: Tick,
        request: ReplicaRequest,
        charge: Option<(ArcStr, f64)>,
        reply: oneshot::Sender<Admission>,
        control: Addr<Self>,
        waits: usize,
    ) {
        match self.dispatcher.choose(now, &request) {
            DispatchDecision::Refused { reason, retry_after: retry } => {
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
            DispatchDecision::Assigned(assignment) => {
                self.log_assignment(&request, &assignment);
                self.report_limits(now);
                let placed = PlacedRequest {
                    guard: AttemptGuard::new(assignment.attempt, control),
                    held: self.starting.add(assignment.attempt, &request),
                    assignment: *assignment,
                };
                self.open_requests += 1;
                if placed.assignment.required_load.is_some() {
                    self.await_load(now, request, charge, reply, placed, waits);
                } else {
                    self.record_use(now, &request, &placed.assignment);
                    // If the receiver is gone, dropping the guard ends the attempt.
                    let _ = reply.send(Admission::Placed(placed));
                }
            }
        }
    }

    fn log_assignment(&self, request: &ReplicaRequest, a: &Assignment) {
        let Some(r) = self.dispatcher.replicas.get(a.replica) else { return };
        let total = r.total_load();
        let fields = kv!(
            "id" => request.id.as_str(), "replica" => a.id.as_str(),
            "expected_ms" => a.expected_latency.as_millis() as u64,
            "reading_ms" => total.prefill_ms as u64, "runs" => total.inflight, "pace" => r.slowdown,
            "load" => a.required_load.is_some(), "version" => a.version, "tried" => request.excluded.len(),
        );
        emit(&self.log, Event::RequestPlaced, &fields);
    }
}

impl Handler<FirstEvent> for Control {
    type Result = ();

    fn handle(&mut self, msg: FirstEvent, _: &mut Self::Context) {
        self.dispatcher.record_first(clock::now(), msg.attempt);
    }
}

impl Handler<AttemptEnded> for Control {
    type Result = ();

    fn handle(&mut self, msg: AttemptEnded, _: &mut Self::Context) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.starting.remove(msg.attempt);
        let Some(k) = self.dispatcher.replica_of(msg.attempt) else { return };
        if self.dispatcher.finish(clock::now(), msg.attempt, msg.outcome) {
            self.log_ejected(k);
        }
    }
}

impl Handler<ReplicaFailed> for Control {
    type Result = ();

    fn handle(&mut self, msg: ReplicaFailed, _: &mut Self::Context) {
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
