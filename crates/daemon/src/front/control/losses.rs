//! Replicas that end while they run requests, and the requests and prompt blocks that are held back
//! for it.

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use actix::{Handler, Message};
use arcstr::ArcStr;
use slog::kv;
use tokio_util::sync::CancellationToken;
use yuccawing_core::{
    fleet::{
        digest::{LossReport, Message as PeerMessage},
        dispatch::AttemptKey,
        quarantine::HoldChange,
        replicas::ReplicaKey,
        request::{Features, ReplicaRequest},
    },
    time::Tick,
};

use super::{Admission, Control};
use crate::{
    events::{Event, emit},
    front::clock,
};

/// `Retry-After` of a request with a held block. A hold rarely ends sooner.
const HELD_RETRY: Duration = Duration::from_secs(60);

/// Reason of such a refusal in logs and metrics.
const HELD_REASON: &str = "held_block";

/// Reason of the refusal of a retry under whose request replicas ended before.
const DOUBTFUL_REASON: &str = "replicas_ended";

/// Attempts whose response is not complete and has not gone beyond its first event.
#[derive(Debug, Default)]
pub(super) struct Starting {
    attempts: HashMap<AttemptKey, (Vec<u64>, CancellationToken)>,
}

impl Starting {
    /// Adds an attempt of `request`. Returns the token that is cancelled when one of its blocks is
    /// held.
    pub(super) fn add(&mut self, k: AttemptKey, request: &ReplicaRequest) -> CancellationToken {
        let token = CancellationToken::new();
        self.attempts.insert(k, (request.features().ids(), token.clone()));
        token
    }

    pub(super) fn remove(&mut self, k: AttemptKey) -> Option<Vec<u64>> {
        self.attempts.remove(&k).map(|(features, _)| features)
    }

    fn cancel(&self, feature: u64) {
        let found = self.attempts.values().filter(|(features, _)| features.contains(&feature));
        found.for_each(|(_, token)| token.cancel());
    }
}

/// Reports that a response went beyond its first event.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Served {
    /// Key of the attempt.
    pub attempt: AttemptKey,
}

/// Reports that a replica ended while it ran a request that had got no more than one event.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReplicaEnded {
    /// Id of the caller's attempt.
    pub id: ArcStr,
    /// The replica.
    pub replica: ReplicaKey,
    /// Whether the response had begun.
    pub begun: bool,
    /// What of the request may have ended it.
    pub features: Features,
}

impl Handler<Served> for Control {
    type Result = ();

    fn handle(&mut self, msg: Served, _: &mut Self::Context) {
        let Some(features) = self.starting.remove(msg.attempt) else { return };
        let changes = self.quarantine.record_served(clock::now(), &features);
        self.apply_holds(&changes);
    }
}

impl Handler<ReplicaEnded> for Control {
    type Result = ();

    fn handle(&mut self, msg: ReplicaEnded, _: &mut Self::Context) {
        let now = clock::now();
        let Some(r) = self.dispatcher.replicas.get(msg.replica) else { return };
        let fields = kv!(
            "id" => msg.id.as_str(), "replica" => r.id.as_str(), "begun" => msg.begun,
            "blocks" => hex(&msg.features.blocks),
            "fingerprint" => hex(&[msg.features.fingerprint]),
        );
        emit(&self.log, Event::ReplicaEnded, &fields);
        let hash = r.id_hash;
        let changes = self.quarantine.record_loss(now, hash, msg.features.ids(), msg.begun);
        self.apply_holds(&changes);
        self.report_losses(now);
    }
}

impl Control {
    /// Refusal of a request with a held feature, and of a `retry` of one under which replicas ended
    /// before; `None` if it may be sent.
    pub(super) fn refuse_held(
        &mut self,
        now: Tick,
        request: &ReplicaRequest,
        retry: bool,
    ) -> Option<Admission> {
        let held = self.quarantine.check(now, &request.features().ids());
        let (feature, reason) = match held {
            Some(feature) => (feature, HELD_REASON),
            None if retry && self.quarantine.is_doubtful(request.fingerprint) => {
                (request.fingerprint, DOUBTFUL_REASON)
            }
            None => return None,
        };
        let fields = kv!(
            "id" => request.id.as_str(), "block" => hex(&[feature]), "reason" => reason,
            "request" => feature == request.fingerprint,
        );
        emit(&self.log, Event::RequestHeld, &fields);
        Some(Admission::Refused { over_limit: false, reason, retry_after: HELD_RETRY })
    }

    /// Logs changes of the held blocks and cancels the attempts that have not responded.
    pub(super) fn apply_holds(&mut self, changes: &[HoldChange]) {
        for c in changes {
            match *c {
                HoldChange::Held { block, ended } => {
                    let fields = kv!("block" => hex(&[block]), "ended" => ended);
                    emit(&self.log, Event::BlockHeld, &fields);
                    self.starting.cancel(block);
                }
                HoldChange::Released { block, reason } => {
                    let fields = kv!("block" => hex(&[block]), "reason" => reason.name());
                    emit(&self.log, Event::BlockReleased, &fields);
                }
            }
        }
        if !changes.is_empty() {
            self.metrics.held_blocks.set(self.quarantine.held().count() as i64);
        }
    }

    /// Tells all peers what is new about ended replicas.
    pub(super) fn report_losses(&mut self, now: Tick) {
        if let Some(r) = self.quarantine.report(now, self.settings.ip, self.incarnation) {
            self.broadcast(now, &PeerMessage::Losses(Box::new(r)));
        }
    }

    /// Tells a peer that has just started or returned what is held.
    pub(super) fn introduce_losses(&mut self, now: Tick, peer: Ipv4Addr) {
        if let Some(r) = self.quarantine.introduction(now, self.settings.ip, self.incarnation) {
            self.send(peer, &PeerMessage::Losses(Box::new(r)));
        }
    }

    /// Applies the report of a peer. Its ages are wrong if it waited while this host was paused.
    pub(super) fn handle_losses(&mut self, now: Tick, r: &LossReport) {
        if self.stalls.is_current(now) && self.peers.get(r.ip).is_some() {
            let changes = self.quarantine.apply(now, r);
            self.apply_holds(&changes);
        }
    }

    /// Drops outdated evidence.
    pub(super) fn expire_losses(&mut self, now: Tick) {
        let changes = self.quarantine.expire(now);
        self.apply_holds(&changes);
    }
}

// Block ids as callers write them, separated by commas.
fn hex(blocks: &[u64]) -> String {
    blocks.iter().map(|b| format!("{b:x}")).collect::<Vec<_>>().join(",")
}
