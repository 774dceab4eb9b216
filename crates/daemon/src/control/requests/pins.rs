//! Pins, which keep an adapter loaded on an engine: requests them from the host that controls the
//! engine, and releases them when no request needs them.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use tokio::{sync::oneshot, time::timeout};
use yuccawing_core::{
    placement::{self, AdapterVersion, PinAnswer, PinRelease, PinRequest},
    route::GrantedPin,
    rules::Class,
    time::Tick,
};

use super::RequestKind;
use crate::{
    control::{Control, commands::controller},
    mesh::{CALL_TIMEOUT, LinkError},
};

/// How long the controlling host keeps a pin request. Longer than [`PIN_CALL_TIMEOUT`], so that a
/// repeated request keeps its position among the pending loads.
const PIN_REQUEST_LIFETIME: Duration = Duration::from_secs(15);
/// Timeout of one call. It is repeated as long as the pin is needed, which detects the loss of the
/// controlling host.
const PIN_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a refusal before the same pin is requested again from the same engine.
const PIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between requests for additional replicas of an adapter version. Near full
/// capacity almost all of them are refused.
const REPLICA_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

// Result of a call for a pin.
enum PinOutcome {
    Answered(PinAnswer),
    // The call timed out, but the controlling host keeps the request.
    Waiting,
    Failed,
}

/// Why a pin is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PinReason {
    /// A request waits for it and the adapter version is loaded.
    Run,
    /// A request waits for it, and the adapter version probably has to be loaded.
    Load,
    /// An additional replica would help.
    Replica {
        /// Whether requests wait because the existing replicas are full.
        urgent: bool,
    },
}

struct PinCall {
    sent: Tick,
    engine: ArcStr,
    target: AdapterVersion,
    id: u64,
    reason: PinReason,
}

impl Control {
    /// Requests a pin from the host that controls the engine, unless a request is in progress or
    /// was refused a moment ago.
    pub(super) fn request_pin(
        &mut self,
        now: Tick,
        engine: ArcStr,
        target: AdapterVersion,
        model: ArcStr,
        reason: PinReason,
        ctx: &mut Context<Self>,
    ) {
        let key = (engine.clone(), target.clone());
        if self.requests.pins.get(&key).is_some_and(|t| t.is_none_or(|t| now < t)) {
            return;
        }
        if matches!(reason, PinReason::Replica { .. }) {
            if self.requests.replica_requests.contains_key(&target) {
                return;
            }
            self.requests.replica_requests.insert(target.clone(), now);
        }
        self.requests.pins.insert(key, None);
        self.requests.last_pin += 1;
        let (id, host) = (self.requests.last_pin, self.setup.incarnation);
        let (wait, requests) =
            (PIN_REQUEST_LIFETIME, u32::from(reason != PinReason::Replica { urgent: false }));
        let rules = self.config.rules();
        let hosts = rules.map_or(1, |r| r.hosts);
        let adapter = rules.and_then(|r| r.adapters.get(&target.adapter));
        let class = adapter.map_or_else(Class::default, |a| a.class);
        let q = PinRequest { host, id, engine, model, target, class, wait, requests };
        let by = controller(&q.engine, hosts);
        let (engine, target) = (q.engine.clone(), q.target.clone());
        let local = by == self.ordinal();
        let link = if local { None } else { self.ordinal_link(now, by) };
        let (tx, rx) = oneshot::channel();
        if local {
            self.commands.pin_waiters.insert((host, id), tx);
            self.handle_placement(now, placement::Event::Pin(q.clone()), ctx);
        }
        let call = async move {
            match link {
                None if local => match timeout(PIN_CALL_TIMEOUT, rx).await {
                    Ok(Ok(answer)) => PinOutcome::Answered(answer),
                    Ok(Err(_)) => PinOutcome::Failed,
                    Err(_) => PinOutcome::Waiting,
                },
                None => PinOutcome::Failed,
                Some(link) => {
                    match link.call(PIN_CALL_TIMEOUT, |c, x| async move { c.pin(x, q).await }).await
                    {
                        Ok(Some(answer)) => PinOutcome::Answered(answer),
                        Err(LinkError::Timeout(..)) => PinOutcome::Waiting,
                        Ok(None) | Err(_) => PinOutcome::Failed,
                    }
                }
            }
        };
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            act.handle_pin_outcome(PinCall { sent: now, engine, target, id, reason }, answer, ctx);
        }));
    }

    fn handle_pin_outcome(&mut self, call: PinCall, answer: PinOutcome, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        if call.reason == PinReason::Load {
            self.record_load_time(now, &call, &answer);
        }
        let PinCall { sent, engine, target, id, .. } = call;
        let key = (engine.clone(), target.clone());
        match answer {
            PinOutcome::Answered(PinAnswer::Pinned { instance, duration }) => {
                self.requests.pins.remove(&key);
                for o in self.requests.open.values_mut().filter(|o| o.waits_for(&target)) {
                    o.waits.end_pin_wait(now);
                }
                let granted = GrantedPin { engine, target, instance, id, sent, duration };
                if let Some(u) = self.route.add_pin(now, granted) {
                    self.send_unpin(now, u, ctx);
                }
            }
            PinOutcome::Answered(PinAnswer::Refused { elsewhere, .. }) => {
                self.requests.pins.insert(key, Some(now + PIN_RETRY_DELAY));
                if elsewhere {
                    self.avoid_engine(&engine, &target);
                }
            }
            PinOutcome::Waiting => {
                self.requests.pins.remove(&key);
            }
            PinOutcome::Failed => {
                self.requests.pins.insert(key, Some(now + PIN_RETRY_DELAY));
                self.avoid_engine(&engine, &target);
            }
        }
        self.dispatch_queued(now, ctx);
    }

    // Updates the estimated load time from the result of a call. A load may span several calls.
    fn record_load_time(&mut self, now: Tick, call: &PinCall, answer: &PinOutcome) {
        let waits = self.requests.open.values().filter(|o| o.stalled && o.waits_for(&call.target));
        let longest = waits.map(|o| o.waits.pin_wait(now)).max();
        let wait = now.since(call.sent).max(longest.unwrap_or_default());
        match answer {
            PinOutcome::Answered(PinAnswer::Pinned { .. }) => self.requests.loads.record(now, wait),
            PinOutcome::Waiting
            | PinOutcome::Answered(PinAnswer::Refused {
                reason:
                    placement::Reason::Full | placement::Reason::Busy | placement::Reason::Expired,
                ..
            }) => self.requests.loads.record_pending(now, wait),
            // Other refusals concern this engine or adapter only.
            PinOutcome::Answered(PinAnswer::Refused { .. }) | PinOutcome::Failed => {}
        }
    }

    // Excludes an engine for the requests that wait for an adapter version.
    fn avoid_engine(&mut self, engine: &ArcStr, target: &AdapterVersion) {
        for o in self.requests.open.values_mut().filter(|o| o.location.is_none()) {
            if matches!(&o.kind, RequestKind::Completion { target: t, .. } if t == target)
                && !o.avoid.contains(engine)
            {
                o.avoid.push(engine.clone());
            }
        }
    }

    /// Releases the pins that have been idle for some time, or all idle pins if `all` is set.
    pub(in crate::control) fn release_pins(
        &mut self,
        now: Tick,
        all: bool,
        ctx: &mut Context<Self>,
    ) {
        let mut out = Vec::new();
        let waiting = self.requests.open.values().filter(|o| o.is_queued());
        let targets = waiting.filter_map(|o| match &o.kind {
            RequestKind::Completion { target, .. } => Some(target.clone()),
            RequestKind::Plain { .. } => None,
        });
        self.route.keep_pins(now, &targets.collect());
        self.route.release_idle(now, all, &mut out);
        for u in out {
            self.send_unpin(now, u, ctx);
        }
        self.requests.pins.retain(|_, t| t.is_none_or(|t| now < t));
        self.requests.replica_requests.retain(|_, t| now.since(*t) < REPLICA_REQUEST_INTERVAL);
    }

    fn send_unpin(&mut self, now: Tick, u: PinRelease, ctx: &mut Context<Self>) {
        let hosts = self.config.rules().map_or(1, |r| r.hosts);
        let by = controller(&u.engine, hosts);
        if by == self.ordinal() {
            return self.handle_placement(now, placement::Event::Unpin(u), ctx);
        }
        let Some(link) = self.ordinal_link(now, by) else { return };
        // If the call is lost, the adapter can be evicted only after the pin expires.
        actix_rt::spawn(async move {
            let _ = link.call(CALL_TIMEOUT, |c, x| async move { c.unpin(x, u).await }).await;
        });
    }
}
