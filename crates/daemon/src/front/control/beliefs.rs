//! What the host believes of the store, its peers and the replicas, and how it learns it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use slog::kv;
use yuccawing_core::{
    fleet::{
        catalog::Catalog,
        config::{FleetConfig, ReplicaEntry},
        digest::{Digest, ListingDelta, Message as Peer},
        freshness::{Freshness, READS_PER_BOUND, SnapshotMark},
        hash,
        listing::{self, ReplicaList},
        peers::PeerChange,
        replicas::{ReplicaChange, ReplicaKey},
    },
    time::Tick,
};
use yuccawing_platform::store::{self as wire, Content, Item};

use super::{Control, STORE_GAP};
use crate::{
    events::{Event, emit},
    front::{
        clock,
        store::{self, Health},
    },
};

/// A prefix of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prefix {
    Operator,
    Replicas,
}

/// What this host has read of the store.
pub(super) struct Store {
    pub(super) operator: Freshness,
    pub(super) listing: Freshness,
    list: ReplicaList,
    operator_health: Health,
    listing_health: Health,
    // Revisions of the operator's items that are in force. Pages are no snapshot, so one number
    // for all would miss a change behind the page that was read last.
    seen: HashMap<String, u64>,
    // The newest known revision.
    pub(super) revision: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            operator: Freshness::default(),
            listing: Freshness::default(),
            list: ReplicaList::default(),
            operator_health: Health::new("operator"),
            listing_health: Health::new("replicas"),
            seen: HashMap::new(),
            revision: 0,
        }
    }
}

impl Control {
    /// Begins the reads of the store that are due.
    pub(super) fn read_store(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let rank = self.peers.reader_rank(now);
        let bounds = &self.settings.bounds;
        for prefix in [Prefix::Operator, Prefix::Replicas] {
            let (knowledge, name, bound) = match prefix {
                Prefix::Operator => (&mut self.store.operator, wire::OPERATOR, bounds.config_ms),
                Prefix::Replicas => (&mut self.store.listing, wire::REPLICAS, bounds.drain_ms),
            };
            let poll = Duration::from_millis(bound) / READS_PER_BOUND;
            if !knowledge.read_due(now, rank, poll) {
                continue;
            }
            knowledge.start_read(now);
            let first = !knowledge.is_behind();
            let read = store::read(self.client.clone(), self.settings.store, name);
            ctx.spawn(read.into_actor(self).map(move |read, act, _| {
                act.took(prefix, now, read, first);
                // The others learn the age of this read before they think of reading themselves.
                if rank == 0 {
                    act.digest(clock::now());
                }
            }));
        }
    }

    // `first` tells that no peer had a change before this host read it.
    fn took(
        &mut self,
        prefix: Prefix,
        asked: Tick,
        read: Result<(Vec<Item>, u64), store::Error>,
        first: bool,
    ) {
        let health = match prefix {
            Prefix::Operator => &mut self.store.operator_health,
            Prefix::Replicas => &mut self.store.listing_health,
        };
        health.note(&self.log, asked, read.as_ref().err());
        let now = clock::now();
        match (prefix, read) {
            (Prefix::Operator, Ok((items, revision))) => {
                self.store.revision = self.store.revision.max(revision);
                let revisions = items.iter().map(|i| format!("{}@{}", i.key, i.revision));
                let hash = fold(revisions);
                self.take_operator(now, asked, items, revision);
                self.store.operator.finish_read(asked, hash);
                self.publish(now);
            }
            (Prefix::Replicas, Ok((items, revision))) => {
                self.store.revision = self.store.revision.max(revision);
                let entries: Vec<_> = items
                    .iter()
                    .filter_map(|i| match self.content(i) {
                        Some(Content::Replica(e)) => Some(e),
                        _ => None,
                    })
                    .collect();
                let hash = listing::list_hash(entries.iter());
                if self.store.listing.is_overtaken(asked, hash) {
                    let age = now.since(asked).as_millis() as u64;
                    emit(&self.log, Event::ReadOvertaken, &kv!("read_ms" => age));
                    self.store.listing.fail_read();
                    return;
                }
                let old = self.store.listing.finish_read(asked, hash);
                if first && old.is_some_and(|o| o != hash) {
                    self.tell_change(now, asked, &entries, hash);
                }
                self.store.list.replace(&entries);
                self.take_listing(now, asked, entries, revision);
            }
            (Prefix::Operator, Err(_)) => self.store.operator.fail_read(),
            (Prefix::Replicas, Err(_)) => self.store.listing.fail_read(),
        }
    }

    // Sends the others what a read of the replicas' entries changed.
    fn tell_change(&self, now: Tick, asked: Tick, entries: &[ReplicaEntry], hash: u64) {
        let to = SnapshotMark { hash, age_ms: now.since(asked).as_millis() as u64 };
        if let Some(change) = self.store.list.diff(entries, to, self.store.revision) {
            self.send_all(&Peer::ListingDelta(change));
        }
    }

    /// Takes what a peer's read of the replicas' entries changed.
    pub(super) fn listing_changed(&mut self, now: Tick, change: &ListingDelta) {
        if !self.pulse.is_current(now) {
            return;
        }
        // A change of another list leaves this host behind until it reads by itself.
        let Some(entries) = self.store.list.apply(change) else { return };
        let Some(asked) = self.store.listing.apply_delta(now, change.base_hash, change.to) else {
            return;
        };
        self.store.revision = self.store.revision.max(change.revision);
        self.store.list.replace(&entries);
        self.take_listing(now, asked, entries, change.revision);
    }

    fn content(&self, item: &Item) -> Option<Content> {
        let content = item.content();
        if let Err(e) = &content {
            emit(&self.log, Event::ItemInvalid, &kv!("error" => e.to_string()));
        }
        content.ok()
    }

    fn take_operator(&mut self, now: Tick, asked: Tick, items: Vec<Item>, revision: u64) {
        let mut versions = Vec::new();
        for item in items {
            if self.store.seen.get(&item.key).is_some_and(|r| *r >= item.revision) {
                continue;
            }
            match self.content(&item) {
                Some(Content::Inventory(i)) => self.apply(now, asked, *i, revision),
                Some(Content::Version(v)) => versions.push(v),
                _ => {}
            }
            self.store.seen.insert(item.key, item.revision);
        }
        for m in self.dispatcher.raise_versions(versions) {
            let fields = kv!("adapter" => m.artifact.as_str(), "version" => m.version);
            emit(&self.log, Event::VersionRaised, &fields);
        }
    }

    fn apply(&mut self, now: Tick, asked: Tick, inventory: FleetConfig, revision: u64) {
        let old = self.catalog.as_ref().map_or(0, |c| c.config.version);
        if inventory.version <= old {
            let fields = kv!("version" => inventory.version, "in_force" => old);
            emit(&self.log, Event::ConfigOld, &fields);
            return;
        }
        let fields = kv!(
            "version" => inventory.version, "old" => old, "routes" => inventory.routes.len(),
            "accounts" => inventory.accounts.len(), "revision" => revision,
            "read_ms" => now.since(asked).as_millis() as u64,
        );
        emit(&self.log, Event::ConfigApplied, &fields);
        self.meters.version.set(inventory.version as i64);
        self.quota.configure(now, &inventory);
        self.dispatcher.configure(&inventory);
        self.catalog = Some(Arc::new(Catalog::new(inventory)));
    }

    fn take_listing(&mut self, now: Tick, asked: Tick, entries: Vec<ReplicaEntry>, revision: u64) {
        for c in self.dispatcher.replicas.sync(now, asked, entries, STORE_GAP) {
            let (event, k) = match c {
                ReplicaChange::Joined(k) => (Event::ReplicaJoined, k),
                ReplicaChange::Leaving(k) => (Event::UpstreamLeaving, k),
                ReplicaChange::Missing(k) => (Event::ReplicaMissing, k),
                ReplicaChange::Returned(k) => (Event::ReplicaBack, k),
            };
            if let Some(r) = self.dispatcher.replicas.get(k) {
                let fields = kv!(
                    "replica" => r.id.as_str(), "service" => r.service.as_str(),
                    "address" => r.address.to_string(), "zone" => r.zone.as_str(),
                    "revision" => revision, "read_ms" => now.since(asked).as_millis() as u64,
                );
                emit(&self.log, event, &fields);
            }
        }
        self.assign(now);
    }

    // Takes what a peer says of its knowledge of the store.
    fn confirm(&mut self, now: Tick, d: &Digest) {
        if !self.pulse.is_current(now) {
            return;
        }
        if let Some(mark) = d.operator {
            self.store.operator.observe(now, mark);
        }
        if let Some(mark) = d.listing
            && self.store.listing.observe(now, mark)
        {
            self.dispatcher.replicas.confirm_listing(now, STORE_GAP);
        }
    }

    pub(super) fn heard(&mut self, now: Tick, d: &Digest, ctx: &mut Context<Self>) {
        let change = self.peers.apply_digest(now, d);
        let event = match change {
            PeerChange::Stale => return,
            PeerChange::Known => None,
            PeerChange::Joined => Some(Event::PeerAlive),
            PeerChange::Restarted => Some(Event::PeerRestarted),
            PeerChange::Leaving => Some(Event::PeerLeaving),
        };
        if let Some(event) = event {
            let state = format!("{:?}", d.state);
            let fields = kv!("ip" => d.ip.to_string(), "life" => d.incarnation, "state" => state);
            emit(&self.log, event, &fields);
            self.assign(now);
            self.publish(now);
        }
        if change == PeerChange::Leaving {
            self.quota.remove_peer(d.ip);
        } else {
            self.quota.apply_usage(now, d.ip, d.incarnation, &d.accounts);
        }
        self.confirm(now, d);
        self.store.revision = self.store.revision.max(d.revision);
        for o in &d.fences {
            let found = self.dispatcher.replicas.find_hash(o.replica);
            if let Some(r) = found.and_then(|k| self.dispatcher.replicas.get_mut(k)) {
                r.ownership.observe_fence(o.fence);
            }
        }
        self.dispatcher.apply_digest(now, d);
        for l in &d.loads {
            let found = self.dispatcher.replicas.find_hash(l.replica);
            if let Some(keep) = found.and_then(|k| self.keeps.get_mut(&k)) {
                for artifact in &l.artifacts {
                    keep.keeper.record_peer_use(now, *artifact);
                }
            }
        }
        self.release_present(now, ctx);
    }

    /// Works out which replicas this host gives orders to.
    pub(super) fn assign(&mut self, now: Tick) {
        use yuccawing_core::fleet::peers::Owner;

        let keys: Vec<ReplicaKey> = self.dispatcher.replicas.iter().map(|(k, _)| k).collect();
        for k in keys {
            let Some(r) = self.dispatcher.replicas.get_mut(k) else { continue };
            let engine = self.catalog.as_ref().is_some_and(|c| {
                c.config.services.iter().any(|s| s.name == r.service && s.engine.is_some())
            });
            let owner = self.peers.owner(now, &r.id);
            let mine = matches!(owner, Owner::Local { .. })
                && engine
                && r.missing_since.is_none()
                && !self.leaving;
            let resumed = self.peers.resumes_ownership(now, &r.id, r.id_hash);
            r.ownership.update(
                now,
                mine,
                matches!(owner, Owner::Local { contested: true }),
                resumed,
            );
            if mine {
                self.keeps.entry(k).or_default();
            } else if self.keeps.remove(&k).is_some() {
                r.orderable = false;
            }
            if let Owner::Peer(ip) = owner
                && !self.peers.is_alive(now, ip)
            {
                r.orderable = false;
            }
        }
    }
}

// Hash of a set of texts, whatever their order.
fn fold(texts: impl Iterator<Item = String>) -> u64 {
    texts.fold(0, |h, t| h ^ hash(&[&t]))
}
