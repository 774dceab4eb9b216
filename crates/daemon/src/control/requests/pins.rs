//! Pins that this host asks for and gives up.

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

use super::Work;
use crate::{
    control::{Control, commands::controller},
    mesh::{CALL_LIMIT, LinkError},
};

/// How long a controlling host keeps a request for a pin. It exceeds [`PIN_ASK`], so that a request
/// that is asked again keeps its place among the loads.
const PIN_WAIT: Duration = Duration::from_secs(15);
/// Deadline of one call for a pin; the request is asked again as long as it is needed, so that the
/// loss of a controlling host is noticed.
const PIN_ASK: Duration = Duration::from_secs(5);
/// Pause after a refused pin before the same engine is asked again for the same adapter version.
const PIN_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two requests for a further replica of an adapter version. Near capacity
/// nearly all of them are refused.
const SPREAD_PAUSE: Duration = Duration::from_millis(500);

// What became of a call for a pin.
enum Asked {
    Answered(PinAnswer),
    // The controlling host still has the request.
    Waiting,
    Failed,
}

/// Why a pin is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Why {
    /// A request waits for it; the adapter version is resident.
    Run,
    /// A request waits for it and probably for a load.
    Load,
    /// Another replica is worth a load.
    Spread {
        /// Whether requests wait for it, because the present replicas are full.
        urgent: bool,
    },
}

// A call for a pin.
struct PinCall {
    sent: Tick,
    engine: ArcStr,
    target: AdapterVersion,
    id: u64,
    why: Why,
}

impl Control {
    /// Asks the controlling host of an engine for a pin, unless that is under way.
    pub(super) fn ask_pin(
        &mut self,
        now: Tick,
        engine: ArcStr,
        target: AdapterVersion,
        model: ArcStr,
        why: Why,
        ctx: &mut Context<Self>,
    ) {
        let key = (engine.clone(), target.clone());
        if self.requests.pins.get(&key).is_some_and(|t| t.is_none_or(|t| now < t)) {
            return;
        }
        if matches!(why, Why::Spread { .. }) {
            if self.requests.spread.contains_key(&target) {
                return;
            }
            self.requests.spread.insert(target.clone(), now);
        }
        self.requests.pins.insert(key, None);
        self.requests.last_pin += 1;
        let (id, host) = (self.requests.last_pin, self.setup.incarnation);
        let (wait, requests) = (PIN_WAIT, u32::from(why != Why::Spread { urgent: false }));
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
            self.commands.waiters.insert((host, id), tx);
            self.place(now, placement::Event::Pin(q.clone()), ctx);
        }
        let call = async move {
            match link {
                None if local => match timeout(PIN_ASK, rx).await {
                    Ok(Ok(answer)) => Asked::Answered(answer),
                    Ok(Err(_)) => Asked::Failed,
                    Err(_) => Asked::Waiting,
                },
                None => Asked::Failed,
                Some(link) => {
                    match link.call(PIN_ASK, |c, x| async move { c.pin(x, q).await }).await {
                        Ok(Some(answer)) => Asked::Answered(answer),
                        Err(LinkError::Timeout(..)) => Asked::Waiting,
                        Ok(None) | Err(_) => Asked::Failed,
                    }
                }
            }
        };
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            act.pin_answered(PinCall { sent: now, engine, target, id, why }, answer, ctx);
        }));
    }

    fn pin_answered(&mut self, call: PinCall, answer: Asked, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        if call.why == Why::Load {
            self.learn_load(now, &call, &answer);
        }
        let PinCall { sent, engine, target, id, .. } = call;
        let key = (engine.clone(), target.clone());
        match answer {
            Asked::Answered(PinAnswer::Pinned { instance, duration }) => {
                self.requests.pins.remove(&key);
                for o in self.requests.open.values_mut().filter(|o| o.waits_for(&target)) {
                    o.waits.pinned(now);
                }
                let granted = GrantedPin { engine, target, instance, id, sent, duration };
                if let Some(u) = self.route.add_pin(now, granted) {
                    self.send_unpin(now, u, ctx);
                }
            }
            Asked::Answered(PinAnswer::Refused { elsewhere, .. }) => {
                self.requests.pins.insert(key, Some(now + PIN_PAUSE));
                if elsewhere {
                    self.avoid(&engine, &target);
                }
            }
            Asked::Waiting => {
                self.requests.pins.remove(&key);
            }
            Asked::Failed => {
                self.requests.pins.insert(key, Some(now + PIN_PAUSE));
                self.avoid(&engine, &target);
            }
        }
        self.drive(now, ctx);
    }

    // Learns from a call for a pin how long loads take. A load may last for several calls.
    fn learn_load(&mut self, now: Tick, call: &PinCall, answer: &Asked) {
        let waits = self.requests.open.values().filter(|o| o.stalled && o.waits_for(&call.target));
        let longest = waits.map(|o| o.waits.without_pin(now)).max();
        let wait = now.since(call.sent).max(longest.unwrap_or_default());
        match answer {
            Asked::Answered(PinAnswer::Pinned { .. }) => self.requests.loads.ended(now, wait),
            Asked::Waiting
            | Asked::Answered(PinAnswer::Refused {
                reason:
                    placement::Reason::Full | placement::Reason::Busy | placement::Reason::Expired,
                ..
            }) => self.requests.loads.open(now, wait),
            // Other reasons concern one engine or adapter and say nothing about loads.
            Asked::Answered(PinAnswer::Refused { .. }) | Asked::Failed => {}
        }
    }

    // Requests that wait for the adapter version go elsewhere.
    fn avoid(&mut self, engine: &ArcStr, target: &AdapterVersion) {
        for o in self.requests.open.values_mut().filter(|o| o.at.is_none()) {
            if matches!(&o.work, Work::Completion { target: t, .. } if t == target)
                && !o.avoid.contains(engine)
            {
                o.avoid.push(engine.clone());
            }
        }
    }

    /// Releases pins without requests; all of them when `all` is set.
    pub(in crate::control) fn release_pins(
        &mut self,
        now: Tick,
        all: bool,
        ctx: &mut Context<Self>,
    ) {
        let mut out = Vec::new();
        let waiting = self.requests.open.values().filter(|o| o.is_queued());
        let targets = waiting.filter_map(|o| match &o.work {
            Work::Completion { target, .. } => Some(target.clone()),
            Work::Plain { .. } => None,
        });
        self.route.keep_pins(now, &targets.collect());
        self.route.release_idle(now, all, &mut out);
        for u in out {
            self.send_unpin(now, u, ctx);
        }
        self.requests.pins.retain(|_, t| t.is_none_or(|t| now < t));
        self.requests.spread.retain(|_, t| now.since(*t) < SPREAD_PAUSE);
    }

    fn send_unpin(&mut self, now: Tick, u: PinRelease, ctx: &mut Context<Self>) {
        let hosts = self.config.rules().map_or(1, |r| r.hosts);
        let by = controller(&u.engine, hosts);
        if by == self.ordinal() {
            return self.place(now, placement::Event::Unpin(u), ctx);
        }
        let Some(link) = self.ordinal_link(now, by) else { return };
        // A lost unpin only delays an eviction until the pin ends.
        actix_rt::spawn(async move {
            let _ = link.call(CALL_LIMIT, |c, x| async move { c.unpin(x, u).await }).await;
        });
    }
}
