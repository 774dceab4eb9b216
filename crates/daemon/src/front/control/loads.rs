//! Requests that wait for the load of their adapter.

use std::time::Duration;

use actix::{Addr, AsyncContext, Context};
use arcstr::ArcStr;
use slog::kv;
use tokio::sync::oneshot;
use yuccawing_core::{
    fleet::{
        digest::{LoadRequest, LoadResult, Message as Peer},
        dispatch::Assignment,
        loader::LoadStatus,
        peers::Owner,
        replicas::ReplicaKey,
        report::Resident,
        request::ReplicaRequest,
    },
    time::Tick,
};

use super::{Control, Go, Verdict};
use crate::events::{Event, emit};

/// Time that a request waits for a load before it tries another engine. Loads that wait for others
/// at the weight store go on, and a second one elsewhere would slow all of them.
const LOAD_WAIT: Duration = Duration::from_millis(2500);

/// Engines that a request waits at in turn.
const MAX_LOADS: usize = 3;

/// Interval of repeated messages to the owner of an engine, since datagrams get lost.
const RESEND: Duration = Duration::from_millis(100);

struct Waiter {
    ask: ReplicaRequest,
    charge: Option<(ArcStr, f64)>,
    reply: oneshot::Sender<Verdict>,
    go: Go,
    resident: Resident,
    since: Tick,
    told: Option<Tick>,
    loads: usize,
    // The owner of the engine cannot load it.
    failed: bool,
}

/// Requests that wait for a load.
#[derive(Default)]
pub(super) struct Waiters {
    list: Vec<Waiter>,
}

enum Fate {
    Wait,
    Release,
    Elsewhere,
    Left,
}

impl Control {
    /// Notes the use of an adapter at an engine of this host.
    pub(super) fn uses(&mut self, now: Tick, ask: &ReplicaRequest, grant: &Assignment) {
        if let (Some(keep), Some(d)) = (self.keeps.get_mut(&grant.replica), &ask.inference) {
            keep.keeper.record_use(now, &d.artifact);
        }
    }

    pub(super) fn await_load(
        &mut self,
        now: Tick,
        ask: ReplicaRequest,
        charge: Option<(ArcStr, f64)>,
        reply: oneshot::Sender<Verdict>,
        go: Go,
        loads: usize,
    ) {
        let resident = go.grant.required_load.clone().expect("the grant names a load");
        let w = Waiter {
            ask,
            charge,
            reply,
            go,
            resident,
            since: now,
            told: None,
            loads,
            failed: false,
        };
        self.waiters.list.push(w);
    }

    /// Looks after all waiting requests.
    pub(super) fn check_waiters(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut waiting = Vec::new();
        for mut w in std::mem::take(&mut self.waiters.list) {
            match self.fate(now, &w) {
                Fate::Left => {}
                Fate::Release => self.release(now, w),
                Fate::Elsewhere => self.elsewhere(now, w, ctx.address()),
                Fate::Wait => {
                    if w.told.is_none_or(|t| now.since(t) >= RESEND) {
                        w.told = Some(now);
                        if !self.ask_owner(now, &w) {
                            self.elsewhere(now, w, ctx.address());
                            continue;
                        }
                    }
                    waiting.push(w);
                }
            }
        }
        self.waiters.list.append(&mut waiting);
        self.drive_all(now, ctx);
    }

    /// Releases requests whose adapter is in place now.
    pub(super) fn release_present(&mut self, now: Tick, ctx: &mut Context<Self>) {
        if !self.waiters.list.is_empty() {
            self.check_waiters(now, ctx);
        }
    }

    fn fate(&self, now: Tick, w: &Waiter) -> Fate {
        if w.reply.is_closed() {
            return Fate::Left;
        }
        let Some(r) = self.dispatcher.replicas.get(w.go.grant.replica) else {
            return Fate::Elsewhere;
        };
        if !r.is_usable() {
            return Fate::Elsewhere;
        }
        if self.dispatcher.is_resident(r, &w.resident.artifact) {
            return Fate::Release;
        }
        if w.failed || now.since(w.since) >= LOAD_WAIT { Fate::Elsewhere } else { Fate::Wait }
    }

    fn release(&mut self, now: Tick, w: Waiter) {
        let waited = now.since(w.since);
        self.meters.stall(&w.ask.service, waited);
        let fields = kv!(
            "id" => w.ask.id.as_str(), "replica" => w.go.grant.id.as_str(),
            "adapter" => w.resident.artifact.as_str(), "waited_ms" => waited.as_millis() as u64,
        );
        emit(&self.log, Event::LoadAwaited, &fields);
        self.dispatcher.record_sent(now, w.go.grant.run);
        self.uses(now, &w.ask, &w.go.grant);
        // A guard that nobody receives ends the request when it is dropped.
        let _ = w.reply.send(Verdict::Go(w.go));
    }

    fn elsewhere(&mut self, now: Tick, w: Waiter, control: Addr<Self>) {
        let fields = kv!(
            "id" => w.ask.id.as_str(), "replica" => w.go.grant.id.as_str(),
            "adapter" => w.resident.artifact.as_str(),
            "waited_ms" => now.since(w.since).as_millis() as u64,
        );
        emit(&self.log, Event::LoadLate, &fields);
        let mut ask = w.ask;
        ask.excluded.push(w.go.grant.replica);
        drop(w.go);
        if w.loads + 1 >= MAX_LOADS || now >= ask.deadline {
            let refused =
                Verdict::Refused { limit: false, reason: "load", retry: ask.remaining(now) / 4 };
            if let Some((account, cost)) = &w.charge {
                self.quota.refund(account, *cost);
            }
            let _ = w.reply.send(refused);
            return;
        }
        self.place(now, ask, w.charge, w.reply, control, w.loads + 1);
    }

    // Asks for a load. Returns whether it can be had.
    fn ask_owner(&mut self, now: Tick, w: &Waiter) -> bool {
        let k = w.go.grant.replica;
        let Some(r) = self.dispatcher.replicas.get(k) else { return false };
        match self.peers.owner(now, &r.id) {
            Owner::Local { .. } => {
                let lease = self.lease();
                let may = r.ownership.may_order(now, lease);
                may && self.wish(now, k, &w.resident) != LoadStatus::Refused
            }
            Owner::Peer(ip) => {
                let want = LoadRequest { replica: r.id_hash, resident: w.resident.clone() };
                self.send(ip, &Peer::LoadRequest(want));
                true
            }
        }
    }

    /// A peer tells the outcome of a load.
    pub(super) fn ready(&mut self, r: &LoadResult) {
        let Some(k) = self.dispatcher.replicas.find_hash(r.replica) else { return };
        if r.loaded {
            self.place_resident(k, &r.resident);
        }
        if !r.loaded {
            self.fail_waiters(k, &r.resident);
        }
    }

    /// Releases the requests that wait for what is in place now.
    pub(super) fn release_loaded(&mut self, now: Tick, k: ReplicaKey, resident: &Resident) {
        let list = std::mem::take(&mut self.waiters.list);
        let (ready, rest): (Vec<_>, Vec<_>) = list
            .into_iter()
            .partition(|w| w.go.grant.replica == k && w.resident.artifact == resident.artifact);
        self.waiters.list = rest;
        for w in ready {
            self.release(now, w);
        }
    }

    /// Lets the requests that wait for a load look for another engine.
    pub(super) fn fail_waiters(&mut self, k: ReplicaKey, resident: &Resident) {
        for w in &mut self.waiters.list {
            if w.go.grant.replica == k && w.resident == *resident {
                w.failed = true;
            }
        }
    }
}
