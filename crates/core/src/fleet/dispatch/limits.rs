//! Limits that replicas name: from responses and from the reports of peers, and for reports to peers.

use super::{Dispatcher, ReplicaKey};
use crate::{
    fleet::{
        digest::{LimitReport, NamedLimit},
        limit::LimitChange,
    },
    time::Tick,
};

impl Dispatcher {
    /// Applies a response of a replica to a request that was sent at `sent_at`, and the limit in
    /// requests per second that it names.
    pub fn observe_limit(
        &mut self,
        now: Tick,
        k: ReplicaKey,
        sent_at: Tick,
        named: Option<f64>,
    ) -> Option<LimitChange> {
        let change = self.replicas.get_mut(k)?.limit.observe(now, sent_at, named);
        if change.is_some() {
            self.unreported.insert(k);
        }
        change
    }

    /// Applies the report of a peer, which it stamped after `stamped_after`. Returns what changed.
    pub fn apply_limits(
        &mut self,
        now: Tick,
        r: &LimitReport,
        stamped_after: Option<Tick>,
    ) -> Vec<(ReplicaKey, LimitChange)> {
        let mut out = Vec::new();
        for l in &r.limits {
            let Some(k) = self.replicas.find_hash(l.replica) else { continue };
            let Some(replica) = self.replicas.get_mut(k) else { continue };
            let change = replica.limit.apply(now, r.ip, r.incarnation, l, stamped_after);
            out.extend(change.map(|c| (k, c)));
        }
        out
    }

    /// Takes the replicas that must be reported to the other senders at once.
    pub fn take_unreported(&mut self) -> Vec<ReplicaKey> {
        std::mem::take(&mut self.unreported).into_iter().collect()
    }

    /// Entries about `replicas` for a report to peers.
    pub fn limit_entries(
        &self,
        now: Tick,
        replicas: impl IntoIterator<Item = ReplicaKey>,
    ) -> Vec<NamedLimit> {
        let known = replicas.into_iter().filter_map(|k| self.replicas.get(k));
        known.filter_map(|r| r.limit.entry(now, r.id_hash)).collect()
    }
}
