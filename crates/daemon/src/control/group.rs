//! Communication with the other hosts of the group: votes for the lease, probes, and the calls that
//! peers make.

use std::net::SocketAddr;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use arcstr::ArcStr;
use yuccawing_core::{
    allowance::Allowance,
    config,
    ids::{Generation, Incarnation, Ordinal},
    lease::{self, LeaseRequest},
    membership::{self, PeerStatus},
    placement,
    time::Tick,
};

use super::Control;
use crate::{
    events::{Event, emit},
    mesh::{CALL_TIMEOUT, Link, PeerCall, Probe},
};

/// Maximum number of hosts of one ordinal that a lease request is sent to. There may be two while
/// one replaces the other.
const HOSTS_PER_ORDINAL: usize = 2;

impl Control {
    /// Handles a call of a peer.
    pub(super) fn handle_peer_call(&mut self, now: Tick, call: PeerCall, ctx: &mut Context<Self>) {
        match call {
            PeerCall::Vote(request, answer) => {
                let _ = answer.send(self.lease.as_mut().map(|l| l.vote(now, &request)));
            }
            PeerCall::Borrow(from, request, answer) => {
                let authority = self.authority(now);
                let _ = answer.send(Some(self.allowance.lend(now, authority, from, &request)));
            }
            PeerCall::Probe(probe, answer) => {
                let _ = answer.send(Some(self.probe(now)));
                let about = probe.about;
                let event = membership::Event::Probed { peer: probe.name.clone(), about };
                self.handle_membership(now, event, ctx);
                self.observe_version(now, probe, ctx);
            }
            PeerCall::Head(answer) => {
                let _ = answer.send(self.config.head().cloned());
            }
            PeerCall::Part(digest, answer) => {
                let _ = answer.send(self.config.part(&digest).cloned());
            }
            PeerCall::Pin(request, answer) => {
                self.commands.pin_waiters.insert((request.host, request.id), answer);
                self.handle_placement(now, placement::Event::Pin(request), ctx);
            }
            PeerCall::Unpin(unpin) => {
                self.handle_placement(now, placement::Event::Unpin(unpin), ctx)
            }
        }
    }

    /// Returns the probe that describes this host.
    pub(super) fn probe(&self, now: Tick) -> Probe {
        Probe {
            name: self.setup.settings.name.clone(),
            ordinal: self.ordinal(),
            about: self.membership.process_info(self.authority(now).is_some()),
            ready: self.config.is_ready(),
            stamp: self.config.stamp(),
        }
    }

    /// Passes an event to the membership and carries out the effects.
    pub(super) fn handle_membership(
        &mut self,
        now: Tick,
        event: membership::Event,
        ctx: &mut Context<Self>,
    ) {
        let mut out = Vec::new();
        self.membership.handle(now, event, &mut out);
        for e in out {
            match e {
                membership::Effect::Probe { peer, addr } => self.send_probe(peer, &addr, ctx),
                membership::Effect::PeerChanged { peer, status } => {
                    self.peer_changed(now, &peer, status)
                }
                membership::Effect::UpstreamChanged { upstream, leaving } => {
                    if leaving {
                        let f = slog::b!("upstream" => upstream.as_str());
                        emit(&self.setup.log, Event::UpstreamLeaving, &f);
                    }
                    self.refresh_engines(now, ctx);
                }
                membership::Effect::Rejected(e) => {
                    let f = slog::b!("error" => e.to_string());
                    emit(&self.setup.log, Event::HostListFailed, &f);
                }
            }
        }
    }

    /// Probes all living peers now, so that they learn of a new configuration or of the shutdown
    /// without waiting for the next probe.
    pub(super) fn announce(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let peers: Vec<_> = self
            .membership
            .peers(now)
            .filter(|(_, s)| *s == PeerStatus::Alive)
            .map(|(h, _)| (h.name.clone(), h.peer.clone()))
            .collect();
        for (name, addr) in peers {
            self.send_probe(name, &addr, ctx);
        }
    }

    /// Returns the link to a host, and replaces it if the address has changed.
    pub(super) fn link(&mut self, name: &ArcStr, addr: &str) -> Option<Link> {
        let addr: SocketAddr = addr.parse().ok()?;
        if self.links.get(name).is_none_or(|l| l.addr() != addr) {
            self.links.insert(name.clone(), Link::new(addr, self.setup.tls.clone()));
        }
        self.links.get(name).cloned()
    }

    /// Returns the link to the preferred host of an ordinal.
    pub(super) fn ordinal_link(&mut self, now: Tick, o: Ordinal) -> Option<Link> {
        self.ordinal_links(now, o).into_iter().next()
    }

    fn ordinal_links(&mut self, now: Tick, o: Ordinal) -> Vec<Link> {
        let hosts: Vec<_> = self
            .membership
            .hosts_with_ordinal(now, o)
            .into_iter()
            .take(HOSTS_PER_ORDINAL)
            .map(|(h, _)| (h.name.clone(), h.peer.clone()))
            .collect();
        hosts.iter().filter_map(|(n, a)| self.link(n, a)).collect()
    }

    fn send_probe(&mut self, peer: ArcStr, addr: &str, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let probe = self.probe(now);
        let Some(link) = self.link(&peer, addr) else { return };
        let call = async move {
            link.call(CALL_TIMEOUT, |c, x| async move { c.probe(x, probe).await }).await
        };
        ctx.spawn(call.into_actor(self).map(move |answer, act, ctx| {
            // Another host may have taken over the peer's address.
            let Ok(Some(p)) = answer else { return };
            if p.name != peer {
                return;
            }
            let received = act.clock.now();
            let event = membership::Event::Answered { peer, sent: now, about: p.about };
            act.handle_membership(received, event, ctx);
            act.observe_version(received, p, ctx);
        }));
    }

    fn peer_changed(&mut self, now: Tick, peer: &ArcStr, status: PeerStatus) {
        let event = match status {
            PeerStatus::Alive => Event::PeerAlive,
            PeerStatus::Lost => Event::PeerLost,
            PeerStatus::Leaving => Event::PeerLeaving,
            PeerStatus::Suspect => return,
        };
        emit(&self.setup.log, event, &slog::b!("peer" => peer.as_str()));
        let alive = self.membership.peers(now).filter(|(_, s)| *s == PeerStatus::Alive).count();
        self.setup.metrics.peers.set(i64::try_from(alive).unwrap_or(i64::MAX));
    }

    /// Sends the lease requests that are due and checks whether the lease has ended.
    pub(super) fn poll_lease(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let mut out = Vec::new();
        if let Some(l) = &mut self.lease
            && !self.lease_released
        {
            l.poll(now, &mut out);
        }
        self.lease_effects(now, out, ctx);
    }

    /// Carries out the effects of the lease.
    pub(super) fn lease_effects(
        &mut self,
        now: Tick,
        out: Vec<lease::Effect>,
        ctx: &mut Context<Self>,
    ) {
        for e in out {
            match e {
                lease::Effect::SendRequest { to, request } => {
                    self.request_vote(now, to, &request, ctx)
                }
                lease::Effect::Admitted(g) => self.log_lease(Event::LeaseAdmitted, g),
                lease::Effect::Lost => {
                    let g = self.lease.as_ref().and_then(lease::Lease::admitted);
                    self.log_lease(Event::LeaseLost, g.unwrap_or_default());
                    self.handle_placement(now, placement::Event::LeaseLost, ctx);
                    self.publish(now);
                }
                lease::Effect::Regained => {
                    let g = self.lease.as_ref().and_then(lease::Lease::admitted);
                    self.log_lease(Event::LeaseAdmitted, g.unwrap_or_default());
                }
                lease::Effect::Replaced(g) => {
                    self.log_lease(Event::LeaseReplaced, g);
                    self.restart_candidacy(now, ctx);
                }
                lease::Effect::OutdatedConfig { from, version } => {
                    let hosts = self.membership.hosts_with_ordinal(now, from);
                    let Some(peer) = hosts.first().map(|(h, _)| h.name.clone()) else { continue };
                    let from = config::Source::Peer(peer);
                    let event = config::Event::VersionAnnounced { from, version, digest: None };
                    self.handle_config(now, event, ctx);
                }
            }
        }
        self.detect_renewal(now, ctx);
    }

    // A later end of the lease means that a majority voted for it.
    fn detect_renewal(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let authority = self.authority(now);
        self.setup.metrics.lease_held.set(i64::from(authority.is_some()));
        let Some(a) = authority.filter(|a| a.until > self.renewed_until) else { return };
        self.renewed_until = a.until;
        if self.setup.settings.bootstrap == Some(a.generation) {
            self.handle_placement(now, placement::Event::FirstGeneration(a.generation), ctx);
        }
        let event = placement::Event::LeaseHeld { generation: a.generation, until: a.until };
        self.handle_placement(now, event, ctx);
        self.handle_config(now, config::Event::MajorityConfirmed, ctx);
    }

    fn request_vote(&mut self, now: Tick, to: Ordinal, q: &LeaseRequest, ctx: &mut Context<Self>) {
        for link in self.ordinal_links(now, to) {
            let q = q.clone();
            let call = async move {
                link.call(CALL_TIMEOUT, |c, x| async move { c.vote(x, q).await }).await
            };
            ctx.spawn(call.into_actor(self).map(move |vote, act, ctx| {
                let (Ok(Some(vote)), Some(l)) = (vote, &mut act.lease) else { return };
                let (now, mut out) = (act.clock.now(), Vec::new());
                l.handle_vote(now, to, vote, &mut out);
                act.lease_effects(now, out, ctx);
            }));
        }
    }

    /// Starts again as a candidate with a new id and without allowances, after another process has
    /// replaced this one.
    fn restart_candidacy(&mut self, now: Tick, ctx: &mut Context<Self>) {
        let Some(rules) = self.config.rules().cloned() else { return };
        let identity = Incarnation(self.random.next());
        self.lease = Some(self.new_lease(now, rules.hosts, identity, None));
        self.allowance = Allowance::new(self.ordinal());
        self.configure_allowances(now, &rules);
        self.handle_placement(now, placement::Event::LeaseLost, ctx);
        self.publish(now);
    }

    /// Creates a lease that is not held yet.
    pub(super) fn new_lease(
        &self,
        now: Tick,
        hosts: u8,
        incarnation: Incarnation,
        bootstrap: Option<Generation>,
    ) -> lease::Lease {
        let version = self.config.version();
        let ordinal = self.ordinal();
        lease::Lease::new(lease::Setup { ordinal, hosts, incarnation, bootstrap, version }, now)
    }

    fn log_lease(&self, event: Event, g: Generation) {
        let f = slog::b!("ordinal" => self.ordinal().0, "generation" => g.0);
        emit(&self.setup.log, event, &f);
    }
}
