//! Limits that replicas name on the requests of all hosts together.

use std::{collections::BTreeSet, net::Ipv4Addr, time::Duration};

use actix::{Handler, Message};
use slog::kv;
use yuccawing_core::{
    fleet::{
        digest::{LimitReport, Message as PeerMessage},
        limit::{LimitChange, MAX_SENDERS},
        replicas::ReplicaKey,
    },
    time::Tick,
};

use super::Control;
use crate::{
    events::{Event, emit},
    front::clock,
};

/// Interval at which all limits are repeated to all peers.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Largest number of limits in one message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 1024;

/// Reports the limit that a response names, or that it names none although one is in force.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LimitSeen {
    /// The replica.
    pub replica: ReplicaKey,
    /// When the request was sent.
    pub sent_at: Tick,
    /// Limit in requests per second.
    pub named: Option<f64>,
}

impl Handler<LimitSeen> for Control {
    type Result = ();

    fn handle(&mut self, msg: LimitSeen, _: &mut Self::Context) {
        let now = clock::now();
        let change = self.dispatcher.observe_limit(now, msg.replica, msg.sent_at, msg.named);
        if let Some(change) = change {
            self.note_limit(now, msg.replica, change, None);
            self.report_limits(now);
        }
    }
}

impl Control {
    fn note_limit(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        change: LimitChange,
        from: Option<Ipv4Addr>,
    ) {
        self.assign_sender(now, k);
        let Some(r) = self.dispatcher.replicas.get(k) else { return };
        let (event, rate) = match change {
            LimitChange::Named(rate) => (Event::LimitNamed, Some(rate)),
            LimitChange::Lifted => (Event::LimitLifted, None),
        };
        let from = from.map(|ip| ip.to_string());
        let fields = kv!("replica" => r.id.as_str(), "per_s" => rate, "from" => from);
        emit(&self.log, event, &fields);
    }

    /// Decides whether this host sends to a replica that names a limit.
    pub(super) fn assign_sender(&mut self, now: Tick, k: ReplicaKey) {
        if let Some(r) = self.dispatcher.replicas.get_mut(k)
            && r.limit.is_limited()
        {
            let senders = self.peers.senders(now, &r.id, MAX_SENDERS);
            r.limit.set_sender(senders.contains(&self.settings.ip));
        }
    }

    /// Reports requests to limited replicas, and new limits, to the other senders at once.
    pub(super) fn report_limits(&mut self, now: Tick) {
        let replicas = self.dispatcher.take_unreported();
        if replicas.is_empty() {
            return;
        }
        let mut targets = BTreeSet::new();
        for k in &replicas {
            if let Some(r) = self.dispatcher.replicas.get(*k) {
                targets.extend(self.peers.senders(now, &r.id, MAX_SENDERS));
            }
        }
        targets.remove(&self.settings.ip);
        let targets: Vec<_> = targets.into_iter().collect();
        self.send_limits(now, &targets, replicas);
    }

    /// Repeats all limits to all peers.
    pub(super) fn repeat_limits(&mut self, now: Tick) {
        if now.since(self.limits_repeated) < REPEAT_INTERVAL {
            return;
        }
        self.limits_repeated = now;
        let all: Vec<_> = self.dispatcher.replicas.iter().map(|(k, _)| k).collect();
        self.send_limits(now, &self.peers.digest_targets(), all);
    }

    fn send_limits(&self, now: Tick, targets: &[Ipv4Addr], replicas: Vec<ReplicaKey>) {
        let mut limits = self.dispatcher.limit_entries(now, replicas);
        limits.truncate(MAX_ENTRIES);
        if !limits.is_empty() {
            let (ip, incarnation) = (self.settings.ip, self.incarnation);
            let report = LimitReport { ip, incarnation, limits };
            self.multicast(now, targets, &PeerMessage::Limits(Box::new(report)));
        }
    }

    /// Applies the report of a peer. Its ages are wrong if it waited while this host was paused.
    pub(super) fn handle_limits(
        &mut self,
        now: Tick,
        r: &LimitReport,
        stamped_after: Option<Tick>,
    ) {
        if !self.stalls.is_current(now) || self.peers.get(r.ip).is_none() {
            return;
        }
        for (k, change) in self.dispatcher.apply_limits(now, r, stamped_after) {
            self.note_limit(now, k, change, Some(r.ip));
        }
    }
}
