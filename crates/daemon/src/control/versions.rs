//! Configuration: fetches versions from the configuration service or from peers, applies them, and
//! publishes the resulting snapshot.

use std::{collections::HashMap, sync::Arc};

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use yuccawing_core::{
    config::{self, FetchTarget, Reason, Source},
    membership,
    rules::Rules,
    time::Tick,
};

use super::{
    Control,
    messages::{AdapterView, HostEntry, Hosts, KeyHash, RouteView, Snapshot},
};
use crate::{
    events::{Event, emit},
    mesh::{CALL_TIMEOUT, Probe},
    watch::PlatformUpdate,
};

impl Control {
    /// Handles a result of the watchers of the configuration service and the host list.
    pub(super) fn handle_platform_call(
        &mut self,
        now: Tick,
        call: PlatformUpdate,
        ctx: &mut Context<Self>,
    ) {
        let from = Source::Service;
        match call {
            PlatformUpdate::Head(Some(head)) => {
                self.handle_config(now, config::Event::HeadReceived { from, head }, ctx);
            }
            PlatformUpdate::Head(None) => {
                self.handle_config(now, config::Event::HeadUnchanged, ctx)
            }
            PlatformUpdate::HeadFailed => {
                self.handle_config(
                    now,
                    config::Event::FetchFailed { from, target: FetchTarget::Head },
                    ctx,
                );
            }
            PlatformUpdate::Part(digest, Some(text)) => {
                let bytes = text.as_bytes().to_vec();
                self.handle_config(now, config::Event::PartReceived { from, digest, bytes }, ctx);
            }
            PlatformUpdate::Part(digest, None) => {
                let target = FetchTarget::Part(digest);
                self.handle_config(now, config::Event::FetchFailed { from, target }, ctx);
            }
            PlatformUpdate::List(list) => {
                self.handle_membership(now, membership::Event::List(list), ctx)
            }
            PlatformUpdate::ReadFailed(what, error) => {
                let event = match what {
                    "list" => Event::HostListFailed,
                    _ => Event::ConfigFetchFailed,
                };
                emit(&self.setup.log, event, &slog::b!("error" => error));
            }
        }
    }

    /// Passes the configuration version of a peer's probe on to the configuration.
    pub(super) fn observe_version(&mut self, now: Tick, p: Probe, ctx: &mut Context<Self>) {
        let event = if self.config.is_ready() {
            let Some(stamp) = p.stamp else { return };
            if stamp.version < self.config.version() {
                return;
            }
            let (version, digest) = (stamp.version, Some(stamp.digest));
            config::Event::VersionAnnounced { from: Source::Peer(p.name), version, digest }
        } else {
            config::Event::PeerAnswered {
                ordinal: p.ordinal,
                peer: p.name,
                ready: p.ready,
                stamp: p.stamp,
            }
        };
        self.handle_config(now, event, ctx);
    }

    /// Passes an event to the configuration and carries out the effects.
    pub(super) fn handle_config(
        &mut self,
        now: Tick,
        event: config::Event,
        ctx: &mut Context<Self>,
    ) {
        let mut out = Vec::new();
        self.config.handle(now, event, &mut out);
        for e in out {
            match e {
                config::Effect::Fetch { from, target } => self.fetch(now, from, target, ctx),
                config::Effect::Apply { version, rules } => self.apply(now, version, &rules, ctx),
                config::Effect::Rejected(r) => {
                    let event = match r.reason {
                        Reason::Conflict { .. } => Event::ConfigConflict,
                        Reason::Unavailable(_) => Event::ConfigFetchFailed,
                        Reason::Mismatch(_) | Reason::Invalid(_) => Event::ConfigRejected,
                    };
                    let f = slog::b!("version" => r.version, "error" => r.to_string());
                    emit(&self.setup.log, event, &f);
                }
                config::Effect::Announce(_) => self.announce(now, ctx),
                config::Effect::Ready => self.publish(now),
            }
        }
        let stale = self.config.is_ready() && self.config.is_stale(now);
        if stale && !self.stale {
            emit(&self.setup.log, Event::ConfigStale, &slog::b!());
        }
        if stale != self.stale {
            self.stale = stale;
            self.publish(now);
        }
    }

    fn fetch(&mut self, now: Tick, from: Source, target: FetchTarget, ctx: &mut Context<Self>) {
        match &from {
            Source::Service => {
                let Some(p) = self.platform.clone() else { return };
                match target {
                    FetchTarget::Head => drop(actix_rt::spawn(p.read_head())),
                    FetchTarget::Part(d) => drop(actix_rt::spawn(p.read_part(d))),
                }
            }
            Source::Peer(name) => {
                let name = name.clone();
                let addr = self.membership.peers(now).find(|(h, _)| h.name == name);
                let Some(addr) = addr.map(|(h, _)| h.peer.clone()) else {
                    return self.handle_config(
                        now,
                        config::Event::FetchFailed { from, target },
                        ctx,
                    );
                };
                let Some(link) = self.link(&name, &addr) else { return };
                let asked = target.clone();
                let call = async move {
                    match asked {
                        FetchTarget::Head => {
                            let head = link
                                .call(CALL_TIMEOUT, |c, x| async move { c.head(x).await })
                                .await
                                .ok()
                                .flatten()?;
                            Some(Fetched::Head(head))
                        }
                        FetchTarget::Part(d) => {
                            let text = link
                                .call(CALL_TIMEOUT, |c, x| async move { c.part(x, d).await })
                                .await
                                .ok()
                                .flatten()?;
                            Some(Fetched::Part(text))
                        }
                    }
                };
                ctx.spawn(call.into_actor(self).map(move |got, act, ctx| {
                    let event = match (got, &target) {
                        (Some(Fetched::Head(head)), _) => {
                            config::Event::HeadReceived { from, head }
                        }
                        (Some(Fetched::Part(text)), FetchTarget::Part(d)) => {
                            let (digest, bytes) = (d.clone(), text.as_bytes().to_vec());
                            config::Event::PartReceived { from, digest, bytes }
                        }
                        _ => config::Event::FetchFailed { from, target },
                    };
                    let now = act.clock.now();
                    act.handle_config(now, event, ctx);
                }));
            }
        }
    }

    /// Starts or stops watching the configuration service, which only a few hosts of each failure
    /// domain do.
    pub(super) fn watch_config(&mut self, now: Tick, _ctx: &mut Context<Self>) {
        let read = self.membership.is_reader(now);
        match (&self.config_watch, read) {
            (None, true) => {
                let Some(p) = self.platform.clone() else { return };
                let token = self.setup.stop.child_token();
                actix_rt::spawn(p.watch_head(token.clone()));
                self.config_watch = Some(token);
            }
            (Some(token), false) => {
                token.cancel();
                self.config_watch = None;
            }
            _ => {}
        }
    }

    fn apply(&mut self, now: Tick, version: u64, rules: &Arc<Rules>, ctx: &mut Context<Self>) {
        self.membership.configure(rules);
        self.configure_allowances(now, rules);
        match &mut self.lease {
            Some(l) => l.configure(now, version, rules.hosts),
            None => {
                let found = self.setup.settings.bootstrap;
                let identity = self.setup.incarnation;
                self.lease = Some(self.new_lease(now, rules.hosts, identity, found));
            }
        }
        self.refresh_engines(now, ctx);
        self.publish_rules(now, version, rules);
        self.setup.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let f = slog::b!("version" => version, "adapters" => rules.adapters.len());
        emit(&self.setup.log, Event::ConfigApplied, &f);
    }

    fn publish_rules(&mut self, now: Tick, version: u64, rules: &Rules) {
        let keys = rules
            .accounts
            .iter()
            .flat_map(|(name, a)| {
                a.keys.iter().filter_map(|k| Some((KeyHash::parse(k)?, name.clone())))
            })
            .collect();
        let adapters: HashMap<_, _> = rules
            .adapters
            .iter()
            .map(|(n, a)| (n.clone(), AdapterView { versions: a.versions.clone(), class: a.class }))
            .collect();
        let mut routes: Vec<_> = rules
            .routes
            .iter()
            .map(|(p, r)| RouteView {
                prefix: p.clone(),
                open: r.open,
                idempotent: r.idempotent,
                cost: r.cost,
            })
            .collect();
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        let snapshot = Snapshot {
            version,
            keys: Arc::new(keys),
            routes: Arc::new(routes),
            adapters: Arc::new(adapters),
            ..self.own_state(now)
        };
        self.setup.snapshot.store(Arc::new(snapshot));
    }

    /// Publishes the state of this host and the list of hosts, if they have changed.
    pub(super) fn publish(&mut self, now: Tick) {
        let old = self.setup.snapshot.load();
        let new = self.own_state(now);
        if (old.ready, old.leaving, &old.hosts) == (new.ready, new.leaving, &new.hosts) {
            return;
        }
        let (keys, routes) = (old.keys.clone(), old.routes.clone());
        let (adapters, version) = (old.adapters.clone(), old.version);
        self.setup.snapshot.store(Arc::new(Snapshot { version, keys, routes, adapters, ..new }));
    }

    // Builds the part of the snapshot that does not come from the configuration.
    fn own_state(&self, now: Tick) -> Snapshot {
        let holds = self.authority(now).is_some();
        let ready = holds && self.config.is_ready() && !self.config.is_stale(now);
        let a = self.membership.addresses(now, ready);
        let entry = |a: membership::Address| HostEntry {
            name: a.name,
            http: a.http,
            domain: a.domain,
            weight: a.weight,
            incarnation: a.incarnation.into(),
        };
        let hosts = Hosts { ttl_ms: a.ttl_ms, hosts: a.hosts.into_iter().map(entry).collect() };
        Snapshot {
            incarnation: self.setup.incarnation,
            ready,
            leaving: self.leaving,
            hosts,
            ..Snapshot::default()
        }
    }
}

enum Fetched {
    Head(yuccawing_core::rules::Head),
    Part(arcstr::ArcStr),
}
