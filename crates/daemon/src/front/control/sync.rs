//! Keeps the view of the store, the peers and the replicas current: reads the store, applies
//! digests and assigns engines to their owners.

use std::{sync::Arc, time::Duration};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use slog::kv;
use yuccawing_core::{
    fleet::{
        catalog::Catalog,
        config::{FleetConfig, ReplicaEntry},
        digest::{Digest, ListingDelta, Message as PeerMessage},
        freshness::{Freshness, READS_PER_BOUND, SnapshotMark},
        hash,
        history::{EraChange, EraReport, History, ItemChange, Position, REWRITE_TIME},
        listing::{self, ReplicaList},
        order::Claim,
        peers::PeerChange,
        replicas::{ReplicaChange, ReplicaKey},
    },
    time::Tick,
};
use yuccawing_platform::{
    inventory::Inventory,
    store::{self as wire, Content, Item},
};

use super::{Control, STORE_OUTAGE, adapters::VersionListing};
use crate::{
    events::{Event, emit},
    front::{
        clock,
        store::{self, Listing, OutageLog},
    },
};

/// Largest rank of a reader that announces its reads to all hosts. If that many in a row cannot reach
/// the store, the others read it themselves.
const MAX_ANNOUNCING_RANK: usize = 4;

/// Largest number of parts of one configuration whose errors are logged.
const MAX_LOGGED_FINDINGS: usize = 20;

/// How a digest reached this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// From the host that it describes, which stamped it after this time, if there is a bound.
    Direct { stamped_after: Option<Tick> },
    /// Through a relay, which may have delayed it.
    Relayed,
}

/// Key prefix of the store that is read as one listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prefix {
    Operator,
    Replicas,
}

/// State of the reads of the store.
pub(super) struct StoreState {
    pub(super) operator: Freshness,
    pub(super) listing: Freshness,
    pub(super) versions: VersionListing,
    list: ReplicaList,
    operator_outage: OutageLog,
    listing_outage: OutageLog,
    // Where the configuration in force was last listed.
    config_at: Position,
    // Whether the newest configuration that was listed could not be decoded, so that the one in force
    // is an earlier one.
    config_unread: bool,
    pub(super) history: History,
    // [`Position::count`] of the newest known position of the store.
    pub(super) count: u64,
}

impl StoreState {
    /// State before the first read of a process that starts at `now`.
    pub(super) fn new(now: Tick) -> Self {
        Self {
            operator: Freshness::default(),
            listing: Freshness::default(),
            versions: VersionListing::default(),
            list: ReplicaList::default(),
            operator_outage: OutageLog::new("operator"),
            listing_outage: OutageLog::new("replicas"),
            config_at: Position::default(),
            config_unread: false,
            history: History::new(now),
            count: 0,
        }
    }
}

impl Control {
    /// Starts the reads of the store that are due.
    pub(super) fn read_store(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let rank = self.peers.reader_rank(now);
        let bounds = &self.settings.bounds;
        for prefix in [Prefix::Operator, Prefix::Replicas] {
            let (freshness, bound) = match prefix {
                Prefix::Operator => (&mut self.store.operator, bounds.config_ms),
                Prefix::Replicas => (&mut self.store.listing, bounds.drain_ms),
            };
            let poll = poll_interval(bound);
            if !freshness.read_due(now, rank, poll) {
                continue;
            }
            freshness.start_read(now);
            let unannounced = !freshness.is_behind();
            let (client, address) = (self.client.clone(), self.settings.store);
            let apart = self.store.versions.apart;
            let operator = if apart { wire::CONFIG_KEY } else { wire::OPERATOR_PREFIX };
            let read = async move {
                match prefix {
                    Prefix::Operator => store::read_page(&client, address, operator, None).await,
                    Prefix::Replicas => store::read(client, address, wire::REPLICAS_PREFIX).await,
                }
            };
            ctx.spawn(read.into_actor(self).map(move |read, act, _| {
                let ok = read.is_ok() && rank <= MAX_ANNOUNCING_RANK;
                act.finish_read(prefix, now, read, unannounced);
                // Peers learn of this read before they would start one themselves.
                if ok || rank == 0 {
                    act.announce_read(clock::now());
                }
            }));
        }
        self.read_versions(now, rank, ctx);
    }

    // `unannounced` tells that no digest had announced a newer listing when this read began;
    // otherwise the peer that read it sends the change.
    fn finish_read(
        &mut self,
        prefix: Prefix,
        sent_at: Tick,
        read: Result<Listing, store::Error>,
        unannounced: bool,
    ) {
        let outage = match prefix {
            Prefix::Operator => &mut self.store.operator_outage,
            Prefix::Replicas => &mut self.store.listing_outage,
        };
        outage.record(&self.log, sent_at, read.as_ref().map(|l| l.position));
        let now = clock::now();
        if let Ok(listing) = &read
            && !self.observe_era(now, sent_at, listing.position)
        {
            match prefix {
                Prefix::Operator => self.store.operator.fail_read(),
                Prefix::Replicas => self.store.listing.fail_read(),
            }
            return;
        }
        match (prefix, read) {
            (Prefix::Operator, Ok(Listing { items, position, more })) => {
                let has_config = items.iter().any(Item::is_config);
                let config = items.iter().filter(|i| i.is_config());
                let texts = config.map(|i| format!("{}@{}.{}", i.key, position.era, i.revision));
                let listed = hash_all(texts);
                self.store.versions.apart |= more;
                self.apply_operator(now, sent_at, items, position);
                // A restored store may list an older version than the one in force. Hosts that have
                // read the same items are up to date alike only with the same version in force.
                let version = self.version();
                let hash = listed ^ hash(&["in force", &version.to_string()]);
                let is_alive = |ip| self.peers.is_alive(now, ip);
                let history = &self.store.history;
                // The age is that of the configuration in force: a read of another one does not renew it.
                let in_force = has_config && !self.store.config_unread;
                if in_force && history.proves_current(now, version, is_alive) {
                    self.store.operator.finish_read(sent_at, hash);
                } else {
                    let paced = history.is_introduced(now);
                    self.store.operator.finish_unproved(sent_at, hash, paced);
                }
                if !self.store.versions.apart {
                    self.note_versions_read(now, sent_at);
                }
                self.publish(now);
            }
            (Prefix::Replicas, Ok(Listing { items, position, .. })) => {
                let entries: Vec<_> = items
                    .iter()
                    .filter_map(|i| match self.decode_item(i) {
                        Some(Content::Replica(e)) => Some(e),
                        _ => None,
                    })
                    .collect();
                let hash = listing::list_hash(entries.iter());
                if self.store.listing.is_overtaken(sent_at, hash) {
                    let age = now.since(sent_at).as_millis() as u64;
                    emit(&self.log, Event::ReadOvertaken, &kv!("read_ms" => age));
                    self.store.listing.fail_read();
                    return;
                }
                let old = self.store.listing.finish_read(sent_at, hash);
                // After a restore each host reads the listing itself, since it has to know the era.
                let settled = !self.store.history.restored_within(now, REWRITE_TIME);
                if unannounced && settled && old.is_some_and(|o| o != hash) {
                    self.send_change(now, sent_at, &entries, hash);
                }
                self.store.list.replace(&entries);
                self.apply_listing(now, sent_at, entries, position.revision);
            }
            (Prefix::Operator, Err(_)) => self.store.operator.fail_read(),
            (Prefix::Replicas, Err(_)) => self.store.listing.fail_read(),
        }
    }

    fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |c| c.config.version)
    }

    /// The newest known position of the store.
    pub(super) fn store_position(&self) -> Position {
        let era = self.store.history.era().unwrap_or_default();
        let begin = Position { era, revision: 0 }.count();
        Position { era, revision: self.store.count.saturating_sub(begin) }
    }

    // Records the era of a read. Returns false if the store has been restored since, so that the
    // read is outdated.
    pub(super) fn observe_era(&mut self, now: Tick, sent_at: Tick, position: Position) -> bool {
        let change = self.store.history.observe(now, position.era);
        self.note_era(change);
        if let (EraChange::Restored(_), Some(report)) = (change, self.era_report(now)) {
            self.broadcast(now, &report);
        }
        if change == EraChange::Outdated {
            let fields = kv!(
                "read_ms" => now.since(sent_at).as_millis() as u64, "era" => position.era,
                "newest" => self.store.history.era(),
            );
            emit(&self.log, Event::ReadOvertaken, &fields);
            return false;
        }
        self.metrics.store_era.set(position.era as i64);
        self.store.count = self.store.count.max(position.count());
        true
    }

    fn note_era(&mut self, change: EraChange) {
        let history = &self.store.history;
        if let Some(at) = history.restored_at() {
            self.dispatcher.replicas.note_restore(at);
        }
        if let EraChange::Restored(old) = change {
            let fields = kv!("era" => history.era(), "old" => old, "version" => self.version());
            emit(&self.log, Event::StoreRestored, &fields);
        }
    }

    fn era_report(&self, now: Tick) -> Option<PeerMessage> {
        let (ip, process) = (self.settings.ip, self.incarnation);
        self.store.history.report(now, ip, process, self.version()).map(PeerMessage::Era)
    }

    /// Applies what a peer reports of the era. Its age is wrong if it waited while this host was
    /// paused.
    pub(super) fn handle_era(&mut self, now: Tick, r: &EraReport) {
        if self.stalls.is_current(now) {
            let change = self.store.history.apply(now, r);
            self.note_era(change);
        }
    }

    // Sends the peers the difference between the last listing and this one.
    fn send_change(&self, now: Tick, sent_at: Tick, entries: &[ReplicaEntry], hash: u64) {
        let to = SnapshotMark { hash, age_ms: now.since(sent_at).as_millis() as u64 };
        for change in self.store.list.diff(entries, to, self.store.count) {
            self.broadcast(now, &PeerMessage::ListingDelta(change));
        }
    }

    /// Applies the listing difference that a peer has read and stamped after `stamped_after`.
    pub(super) fn handle_listing(
        &mut self,
        now: Tick,
        change: &ListingDelta,
        stamped_after: Option<Tick>,
    ) {
        // If the difference does not apply to the list here, or may be older than it, the list stays
        // outdated until this host reads the store.
        let Some(entries) = self.store.list.apply(change) else { return };
        let listing = &mut self.store.listing;
        let applied =
            stamped_after.and_then(|t| listing.apply_delta(now, change.base_hash, change.to, t));
        let Some(sent_at) = applied else {
            let wait = stamped_after.map(|t| now.since(t).as_millis() as u64);
            let fields = kv!(
                "revision" => change.revision, "age_ms" => change.to.age_ms, "wait_ms" => wait,
            );
            emit(&self.log, Event::ListingChangeIgnored, &fields);
            return;
        };
        self.store.count = self.store.count.max(change.revision);
        self.store.list.replace(&entries);
        self.apply_listing(now, sent_at, entries, change.revision);
    }

    fn decode_item(&self, item: &Item) -> Option<Content> {
        let content = item.content();
        if let Err(e) = &content {
            emit(&self.log, Event::ItemInvalid, &kv!("error" => e.to_string()));
        }
        content.ok()
    }

    pub(super) fn apply_operator(
        &mut self,
        now: Tick,
        sent_at: Tick,
        items: Vec<Item>,
        read: Position,
    ) {
        let mut versions = Vec::new();
        for item in items {
            let position = Position { revision: item.revision, ..read };
            match self.store.history.observe_item(&item.key, position) {
                ItemChange::New => {}
                ItemChange::Applied => continue,
                ItemChange::Outdated(applied) => {
                    let fields = kv!(
                        "key" => item.key.as_str(), "era" => read.era,
                        "revision" => item.revision, "applied" => applied.revision,
                    );
                    emit(&self.log, Event::ItemOutdated, &fields);
                    continue;
                }
            }
            let content = self.decode_item(&item);
            if item.is_config() {
                self.store.config_unread = content.is_none();
                self.metrics.config_unread.set(i64::from(content.is_none()));
            }
            match content {
                Some(Content::Inventory(i)) => {
                    self.log_findings(&i);
                    self.apply_config(now, sent_at, i.config, position);
                }
                Some(Content::Version(v)) => versions.push(v),
                _ => {}
            }
        }
        self.raise_versions(now, versions);
    }

    // Logs the parts of a configuration that are closed.
    fn log_findings(&self, i: &Inventory) {
        self.metrics.closed_parts.set(i.findings.len() as i64);
        for finding in i.findings.iter().take(MAX_LOGGED_FINDINGS) {
            let fields = kv!(
                "version" => i.config.version, "error" => finding.to_string(),
                "findings" => i.findings.len(),
            );
            emit(&self.log, Event::ConfigPartClosed, &fields);
        }
    }

    fn apply_config(&mut self, now: Tick, sent_at: Tick, config: FleetConfig, at: Position) {
        let old = self.version();
        if config.version == old {
            self.store.history.note_rewrite(self.store.config_at, at);
            self.store.config_at = at;
        }
        if config.version <= old {
            let fields = kv!("version" => config.version, "in_force" => old);
            emit(&self.log, Event::ConfigOld, &fields);
            return;
        }
        let fields = kv!(
            "version" => config.version, "old" => old, "routes" => config.routes.len(),
            "accounts" => config.accounts.len(), "era" => at.era, "revision" => at.revision,
            "read_ms" => now.since(sent_at).as_millis() as u64,
        );
        emit(&self.log, Event::ConfigApplied, &fields);
        self.store.config_at = at;
        self.metrics.config_version.set(config.version as i64);
        self.quota.configure(now, &config);
        self.dispatcher.configure(&config);
        self.note_lifetimes(&config);
        self.catalog = Some(Arc::new(Catalog::new(config)));
    }

    fn apply_listing(
        &mut self,
        now: Tick,
        sent_at: Tick,
        entries: Vec<ReplicaEntry>,
        revision: u64,
    ) {
        self.note_processes(now, sent_at, &entries);
        let changes = self.dispatcher.replicas.sync(now, sent_at, entries, STORE_OUTAGE);
        let read_ms = now.since(sent_at).as_millis() as u64;
        self.log_changes(&changes, revision, read_ms);
        self.assign_owners(now);
    }

    /// Stops using the replicas whose entries have not come back after an outage of the store.
    pub(super) fn expire_unlisted(&mut self, now: Tick) {
        let changes = self.dispatcher.replicas.expire_unlisted(now);
        if !changes.is_empty() {
            let age = self.store.listing.read_at().map_or(0, |t| now.since(t).as_millis() as u64);
            self.log_changes(&changes, self.store.count, age);
            self.assign_owners(now);
        }
    }

    fn log_changes(&self, changes: &[ReplicaChange], revision: u64, read_ms: u64) {
        for c in changes {
            let (event, k) = match *c {
                ReplicaChange::Joined(k) => (Event::ReplicaJoined, k),
                ReplicaChange::Leaving(k) => (Event::UpstreamLeaving, k),
                ReplicaChange::Missing(k) => (Event::ReplicaMissing, k),
                ReplicaChange::Returned(k) => (Event::ReplicaBack, k),
            };
            if let Some(r) = self.dispatcher.replicas.get(k) {
                let fields = kv!(
                    "replica" => r.id.as_str(), "service" => r.service.as_str(),
                    "address" => r.address.to_string(), "zone" => r.zone.as_str(),
                    "revision" => revision, "read_ms" => read_ms,
                );
                emit(&self.log, event, &fields);
            }
        }
    }

    // Updates the age of the copies of the store from the hashes and ages that a peer reports in a
    // digest that it stamped after `stamped_after`.
    fn confirm_reads(&mut self, now: Tick, d: &Digest, stamped_after: Option<Tick>) {
        if let Some(mark) = d.operator
            && self.store.operator.observe(now, mark, stamped_after).is_some()
            && !self.serving
        {
            self.publish(now);
        }
        if let Some(mark) = d.listing
            && let Some(read) = self.store.listing.observe(now, mark, stamped_after)
        {
            self.dispatcher.replicas.confirm_listing(now, read, STORE_OUTAGE);
            self.confirm_processes(now, read);
        }
    }

    pub(super) fn handle_digest(
        &mut self,
        now: Tick,
        d: &Digest,
        route: Route,
        ctx: &mut Context<Self>,
    ) {
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
            self.assign_owners(now);
            self.publish(now);
        }
        if matches!(change, PeerChange::Joined | PeerChange::Restarted) {
            self.introduce_losses(now, d.ip);
            self.introduce_origins(now, d.ip);
            self.introduce_fences(d.ip);
            if let Some(report) = self.era_report(now) {
                self.send(d.ip, &report);
            }
        }
        if change == PeerChange::Leaving {
            self.quota.remove_peer(d.ip);
        } else {
            self.quota.apply_usage(now, d.ip, d.incarnation, &d.accounts);
        }
        if let Route::Direct { stamped_after } = route {
            self.confirm_reads(now, d, stamped_after);
        }
        self.store.count = self.store.count.max(d.revision);
        self.handle_fences(now, &d.fences);
        self.dispatcher.apply_digest(now, d);
        for l in &d.loads {
            let found = self.dispatcher.replicas.find_hash(l.replica);
            if let Some(engine) = found.and_then(|k| self.engines.get_mut(&k)) {
                for artifact in &l.artifacts {
                    engine.loader.record_peer_use(now, *artifact);
                }
            }
        }
        self.recheck_waiters(now, ctx);
    }

    /// Recomputes which replicas this host sends load and unload orders to.
    pub(super) fn assign_owners(&mut self, now: Tick) {
        use yuccawing_core::fleet::peers::Owner;

        let lease = self.lease();
        let stands_by =
            self.peers.is_minority(now) && !self.survivor.is_alone(now, lease.contested_wait());
        if stands_by != self.stands_by {
            self.stands_by = stands_by;
            let alive = self.peers.members(now).iter().filter(|m| m.alive).count();
            let fields = kv!(
                "stands_by" => stands_by, "minority" => self.peers.is_minority(now),
                "known" => self.peers.iter().count(), "alive" => alive,
            );
            emit(&self.log, Event::StandbyChanged, &fields);
        }
        let keys: Vec<ReplicaKey> = self.dispatcher.replicas.iter().map(|(k, _)| k).collect();
        for k in keys {
            self.assign_sender(now, k);
            let Some(r) = self.dispatcher.replicas.get_mut(k) else { continue };
            let is_engine = self.catalog.as_ref().is_some_and(|c| {
                c.config.services.iter().any(|s| s.name == r.service && s.engine.is_some())
            });
            let owner = self.peers.owner(now, &r.id);
            let owned = matches!(owner, Owner::Local { .. })
                && is_engine
                && r.missing_since.is_none()
                && !self.leaving;
            let claim = match owner {
                Owner::Local { .. } if !owned => Claim::Other,
                Owner::Peer(_) => Claim::Other,
                Owner::Local { contested: true } if stands_by => Claim::Standby,
                Owner::Local { contested: true } => Claim::Contested,
                Owner::Local { contested: false } => {
                    let resumed = self.peers.resumes_ownership(now, &r.id, r.id_hash);
                    Claim::Sole { resumed }
                }
            };
            r.ownership.update(now, claim, lease);
            if owned {
                self.engines.entry(k).or_default();
            } else if self.engines.remove(&k).is_some() {
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

/// Interval of the reads of a prefix whose changes take effect within `bound_ms`.
pub(super) fn poll_interval(bound_ms: u64) -> Duration {
    Duration::from_millis(bound_ms) / READS_PER_BOUND
}

// Hash of a set of strings, independent of their order.
fn hash_all(texts: impl Iterator<Item = String>) -> u64 {
    texts.fold(0, |h, t| h ^ hash(&[&t]))
}
