//! Requests that wait until an engine has loaded their adapter.

use std::time::Duration;

use actix::{Addr, AsyncContext, Context};
use arcstr::ArcStr;
use slog::kv;
use tokio::sync::oneshot;
use yuccawing_core::{
    fleet::{
        digest::{LoadRequest, LoadResult, Message as PeerMessage},
        dispatch::Assignment,
        loader::LoadStatus,
        peers::Owner,
        replicas::ReplicaKey,
        report::Resident,
        request::ReplicaRequest,
    },
    time::Tick,
};

use super::{Admission, Control, PlacedRequest};
use crate::events::{Event, emit};

/// Time for which a request waits for a load before it tries another engine. Loads that queue at
/// the weight store continue meanwhile, and a load on another engine would slow down all of them.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(2500);

/// Largest number of engines at which one request waits for a load, one after the other.
const MAX_ENGINES: usize = 3;

/// Interval at which a load request to the owner of an engine is repeated, because datagrams may be
/// lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

struct Waiter {
    request: ReplicaRequest,
    charge: Option<(ArcStr, f64)>,
    reply: oneshot::Sender<Admission>,
    placed: PlacedRequest,
    resident: Resident,
    since: Tick,
    requested_at: Option<Tick>,
    waits: usize,
    // Set when the load has failed or the owner of the engine has refused it.
    failed: bool,
}

/// Requests that wait for a load.
#[derive(Default)]
pub(super) struct Waiters {
    list: Vec<Waiter>,
}

enum Progress {
    Loading,
    Loaded,
    Reroute,
    CallerGone,
    /// Replicas end under one of its blocks.
    Held,
}

impl Control {
    /// Records the use of an adapter at an engine that this host owns.
    pub(super) fn record_use(
        &mut self,
        now: Tick,
        request: &ReplicaRequest,
        assignment: &Assignment,
    ) {
        if let (Some(engine), Some(d)) =
            (self.engines.get_mut(&assignment.replica), &request.inference)
        {
            engine.loader.record_use(now, &d.artifact);
        }
    }

    pub(super) fn await_load(
        &mut self,
        now: Tick,
        request: ReplicaRequest,
        charge: Option<(ArcStr, f64)>,
        reply: oneshot::Sender<Admission>,
        placed: PlacedRequest,
        waits: usize,
    ) {
        let Some(resident) = placed.assignment.required_load.clone() else {
            let _ = reply.send(Admission::Placed(placed));
            return;
        };
        let w = Waiter {
            request,
            charge,
            reply,
            placed,
            resident,
            since: now,
            requested_at: None,
            waits,
            failed: false,
        };
        self.waiters.list.push(w);
    }

    /// Releases, reroutes or drops waiting requests, and repeats their load requests.
    pub(super) fn check_waiters(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut waiting = Vec::new();
        for mut w in std::mem::take(&mut self.waiters.list) {
            match self.progress(now, &w) {
                Progress::CallerGone => {}
                Progress::Held => self.drop_held(now, w),
                Progress::Loaded => self.release(now, w),
                Progress::Reroute => self.reroute(now, w, ctx.address()),
                Progress::Loading => {
                    if w.requested_at.is_none_or(|t| now.since(t) >= RESEND_INTERVAL) {
                        w.requested_at = Some(now);
                        if !self.request_load(now, &w) {
                            self.reroute(now, w, ctx.address());
                            continue;
                        }
                    }
                    waiting.push(w);
                }
            }
        }
        self.waiters.list.append(&mut waiting);
        self.send_orders(now, ctx);
    }

    /// Checks the waiting requests, if there are any, after a digest may have changed the resident
    /// artifacts of an engine.
    pub(super) fn recheck_waiters(&mut self, now: Tick, ctx: &mut Context<Self>) {
        if !self.waiters.list.is_empty() {
            self.check_waiters(now, ctx);
        }
    }

    fn progress(&self, now: Tick, w: &Waiter) -> Progress {
        if w.reply.is_closed() {
            return Progress::CallerGone;
        }
        if w.placed.held.is_cancelled() {
            return Progress::Held;
        }
        let Some(r) = self.dispatcher.replicas.get(w.placed.assignment.replica) else {
            return Progress::Reroute;
        };
        if !r.is_usable() {
            return Progress::Reroute;
        }
        if self.dispatcher.is_resident(r, &w.resident.artifact) {
            return Progress::Loaded;
        }
        if w.failed || now.since(w.since) >= MAX_LOAD_WAIT {
            Progress::Reroute
        } else {
            Progress::Loading
        }
    }

    fn release(&mut self, now: Tick, w: Waiter) {
        let waited = now.since(w.since);
        self.metrics.load_wait(&w.request.service, waited);
        let fields = kv!(
            "id" => w.request.id.as_str(), "replica" => w.placed.assignment.id.as_str(),
            "adapter" => w.resident.artifact.as_str(), "waited_ms" => waited.as_millis() as u64,
        );
        emit(&self.log, Event::LoadAwaited, &fields);
        self.dispatcher.record_sent(now, w.placed.assignment.attempt);
        self.record_use(now, &w.request, &w.placed.assignment);
        // If the receiver is gone, dropping the guard ends the attempt.
        let _ = w.reply.send(Admission::Placed(w.placed));
    }

    // Refuses a waiting request of which a block was held, and may have been released, meanwhile.
    fn drop_held(&mut self, now: Tick, w: Waiter) {
        let refused = self.refuse_held(now, &w.request, false).unwrap_or(Admission::Refused {
            over_limit: false,
            reason: "load",
            retry_after: w.request.remaining(now) / 4,
        });
        if let Some((account, cost)) = &w.charge {
            self.quota.refund(account, *cost);
        }
        let _ = w.reply.send(refused);
    }

    fn reroute(&mut self, now: Tick, w: Waiter, control: Addr<Self>) {
        let fields = kv!(
            "id" => w.request.id.as_str(), "replica" => w.placed.assignment.id.as_str(),
            "adapter" => w.resident.artifact.as_str(),
            "waited_ms" => now.since(w.since).as_millis() as u64,
        );
        emit(&self.log, Event::LoadLate, &fields);
        let mut request = w.request;
        request.excluded.push(w.placed.assignment.replica);
        drop(w.placed);
        if w.waits + 1 >= MAX_ENGINES || now >= request.deadline {
            let refused = Admission::Refused {
                over_limit: false,
                reason: "load",
                retry_after: request.remaining(now) / 4,
            };
            if let Some((account, cost)) = &w.charge {
                self.quota.refund(account, *cost);
            }
            let _ = w.reply.send(refused);
            return;
        }
        self.place(now, request, w.charge, w.reply, control, w.waits + 1);
    }

    // Requests the load from the owner of the engine. Returns false if the engine is unknown, or if
    // this host owns it and cannot load.
    fn request_load(&mut self, now: Tick, w: &Waiter) -> bool {
        let k = w.placed.assignment.replica;
        let Some(r) = self.dispatcher.replicas.get(k) else { return false };
        match self.peers.owner(now, &r.id) {
            Owner::Local { .. } => {
                let lease = self.lease();
                let may_order = r.ownership.may_order(now, lease);
                may_order && self.request_adapter(now, k, &w.resident) != LoadStatus::Refused
            }
            Owner::Peer(ip) => {
                let request = LoadRequest { replica: r.id_hash, resident: w.resident.clone() };
                self.send(ip, &PeerMessage::LoadRequest(request));
                true
            }
        }
    }

    /// Handles the result of a load from the owner of the engine.
    pub(super) fn handle_load_result(&mut self, r: &LoadResult) {
        let Some(k) = self.dispatcher.replicas.find_hash(r.replica) else { return };
        if r.loaded {
            self.add_resident(k, &r.resident);
        }
        if !r.loaded {
            self.fail_waiters(k, &r.resident);
        }
    }

    /// Releases the requests that wait for the artifact that was just loaded.
    pub(super) fn release_loaded(&mut self, now: Tick, k: ReplicaKey, resident: &Resident) {
        let list = std::mem::take(&mut self.waiters.list);
        let (loaded, rest): (Vec<_>, Vec<_>) = list.into_iter().partition(|w| {
            w.placed.assignment.replica == k && w.resident.artifact == resident.artifact
        });
        self.waiters.list = rest;
        for w in loaded {
            self.release(now, w);
        }
    }

    /// Marks the requests that wait for a failed load, so that they move to another engine.
    pub(super) fn fail_waiters(&mut self, k: ReplicaKey, resident: &Resident) {
        for w in &mut self.waiters.list {
            if w.placed.assignment.replica == k && w.resident == *resident {
                w.failed = true;
            }
        }
    }
}
