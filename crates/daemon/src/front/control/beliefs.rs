//! What the host believes of the store, its peers and the replicas, and how it learns it.

use std::sync::Arc;

use actix::{Context, Handler};
use slog::kv;
use yuccawing_core::{
    fleet::{
        catalog::Catalog,
        digest::Digest,
        peers::Change as PeerChange,
        replicas::{Change, ReplicaKey},
    },
    time::Tick,
};

use super::{Control, STORE_GAP};
use crate::{
    events::{Event, emit},
    front::{
        clock,
        store::{Listing, Operator},
    },
};

impl Handler<Operator> for Control {
    type Result = ();

    fn handle(&mut self, msg: Operator, _: &mut Self::Context) {
        let now = clock::now();
        self.read = self.read.max(Some(msg.asked));
        self.revision = self.revision.max(msg.revision);
        if let Some(inventory) = msg.inventory {
            let old = self.catalog.as_ref().map_or(0, |c| c.inventory.version);
            if inventory.version > old {
                let fields = kv!(
                    "version" => inventory.version, "old" => old, "routes" => inventory.routes.len(),
                    "accounts" => inventory.accounts.len(), "revision" => msg.revision,
                    "read_ms" => now.since(msg.asked).as_millis() as u64,
                );
                emit(&self.log, Event::ConfigApplied, &fields);
                self.meters.version.set(inventory.version as i64);
                self.quota.configure(now, &inventory);
                self.dispatcher.configure(&inventory);
                self.catalog = Some(Arc::new(Catalog::new(*inventory)));
            } else {
                let fields = kv!("version" => inventory.version, "in_force" => old);
                emit(&self.log, Event::ConfigOld, &fields);
            }
        }
        for m in self.dispatcher.versions(msg.versions) {
            let fields = kv!("adapter" => m.artifact.as_str(), "version" => m.version);
            emit(&self.log, Event::VersionRaised, &fields);
        }
        self.publish(now);
    }
}

impl Handler<Listing> for Control {
    type Result = ();

    fn handle(&mut self, msg: Listing, _: &mut Self::Context) {
        let now = clock::now();
        self.listed = self.listed.max(Some(msg.asked));
        self.revision = self.revision.max(msg.revision);
        for c in self.dispatcher.replicas.sync(now, msg.asked, msg.entries, STORE_GAP) {
            let (event, k) = match c {
                Change::Joined(k) => (Event::ReplicaJoined, k),
                Change::Leaving(k) => (Event::UpstreamLeaving, k),
                Change::Missing(k) => (Event::ReplicaMissing, k),
                Change::Back(k) => (Event::ReplicaBack, k),
            };
            if let Some(r) = self.dispatcher.replicas.get(k) {
                let fields = kv!(
                    "replica" => r.id.as_str(), "service" => r.service.as_str(),
                    "address" => r.address.to_string(), "zone" => r.zone.as_str(),
                    "revision" => msg.revision,
                );
                emit(&self.log, event, &fields);
            }
        }
        self.assign(now);
    }
}

impl Control {
    pub(super) fn heard(&mut self, now: Tick, d: &Digest, ctx: &mut Context<Self>) {
        let change = self.peers.hear(now, d);
        let event = match change {
            PeerChange::Stale => return,
            PeerChange::Known => None,
            PeerChange::Joined => Some(Event::PeerAlive),
            PeerChange::Restarted => Some(Event::PeerRestarted),
            PeerChange::Leaving => Some(Event::PeerLeaving),
        };
        if let Some(event) = event {
            let state = format!("{:?}", d.state);
            let fields = kv!("ip" => d.ip.to_string(), "life" => d.life, "state" => state);
            emit(&self.log, event, &fields);
            self.assign(now);
            self.publish(now);
        }
        if change == PeerChange::Leaving {
            self.quota.gone(d.ip);
        } else {
            self.quota.heard(now, d.ip, d.life, &d.accounts);
        }
        self.dispatcher.heard(now, d);
        for u in &d.uses {
            let found = self.dispatcher.replicas.find(u.replica);
            if let Some(keep) = found.and_then(|k| self.keeps.get_mut(&k)) {
                keep.keeper.used_by_peer(now, u.artifact);
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
                c.inventory.services.iter().any(|s| s.name == r.service && s.engine.is_some())
            });
            let owner = self.peers.owner(now, &r.id);
            let mine =
                matches!(owner, Owner::Me { .. }) && engine && r.missing.is_none() && !self.leaving;
            let resumed = self.peers.resumed(now, &r.id, r.hash);
            r.tenure.own(now, mine, matches!(owner, Owner::Me { contested: true }), resumed);
            if mine {
                self.keeps.entry(k).or_default();
            } else if self.keeps.remove(&k).is_some() {
                r.held = false;
            }
            if let Owner::Peer(ip) = owner
                && !self.peers.alive(now, ip)
            {
                r.held = false;
            }
        }
    }
}
