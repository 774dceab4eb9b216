//! Cluster membership: which hosts and upstreams exist, which peers are alive, and which are
//! leaving.
//!
//! The platform's host list names hosts, upstreams and their addresses and marks those to be
//! removed; probes tell which peers are alive. Only the lease lets a host act for its ordinal, so a
//! stale list or a wrong status can reduce availability but not safety.

mod list;
mod mark;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use self::list::{
    Host, HostList, ListError, ListedState, MAX_LIST_BYTES, MAX_LIST_HOSTS, MAX_LIST_UPSTREAMS,
    Upstream,
};
use self::mark::LeavingMark;
use crate::{
    ids::{Incarnation, Ordinal},
    rules::Rules,
    time::Tick,
};

/// Time between two probes of a peer.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A peer is suspect once the last probe that it answered was sent this long ago.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A peer is lost once the last probe that it answered was sent this long ago.
pub const LOST_TIMEOUT: Duration = Duration::from_secs(3);

/// How long callers may cache the response of the address lookup.
pub const ADDRESSES_TTL: Duration = Duration::from_secs(2);

/// Maximum number of hosts of other groups that are probed, so that configuration versions spread
/// between groups.
pub const MAX_OUTSIDE_PEERS: usize = 3;

/// Number of hosts of a failure domain that watch the configuration service. The others learn of
/// new versions from their peers.
pub const READERS_PER_DOMAIN: usize = 2;

/// How long a host and its leaving mark are kept after the list dropped it. This exceeds the 150 s
/// of a graceful shutdown, so that a leaving process is not used again if a later list names it.
const DROPPED_RETENTION: Duration = Duration::from_secs(600);

/// Identity and addresses of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setup {
    /// Host name.
    pub name: ArcStr,
    /// Number of the host in its group.
    pub ordinal: Ordinal,
    /// Group name, empty if there is only one group.
    pub group: ArcStr,
    /// Failure domain.
    pub domain: ArcStr,
    /// IP address and port for callers.
    pub http: ArcStr,
    /// Identifier of this process.
    pub incarnation: Incarnation,
    /// Weight in the address lookup.
    pub weight: u32,
}

/// State of a process, which it reports in probes and in the answers to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessInfo {
    /// Identifier of the process.
    pub incarnation: Incarnation,
    /// Whether it is shutting down or to be removed.
    pub leaving: bool,
    /// Whether it holds its lease.
    pub lease: bool,
    /// Its weight in the address lookup.
    pub weight: u32,
}

/// Status of a peer according to its probe answers and the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerStatus {
    /// It has answered a probe recently.
    Alive,
    /// It has not answered a probe for [`SUSPECT_TIMEOUT`].
    Suspect,
    /// It has not answered a probe for [`LOST_TIMEOUT`].
    Lost,
    /// It is shutting down or is to be removed.
    Leaving,
}

/// Input of [`Membership::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A host list was read from the platform.
    List(HostList),
    /// A peer answered a probe.
    Answered {
        /// Name of the peer.
        peer: ArcStr,
        /// When the probe was sent.
        sent: Tick,
        /// State of the peer's process.
        about: ProcessInfo,
    },
    /// A peer probed this host. The message may be old, so only its `leaving` counts.
    Probed {
        /// Name of the peer.
        peer: ArcStr,
        /// State of the peer's process.
        about: ProcessInfo,
    },
    /// An upstream reported which process it runs.
    UpstreamReported {
        /// Name of the upstream.
        upstream: ArcStr,
        /// Identifier of its process.
        boot: ArcStr,
    },
    /// This host is shutting down.
    ShutdownStarted,
    /// Timer, at least every 100 ms.
    Tick,
}

/// Action for the caller of [`Membership::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Probe a peer and report its answer as [`Event::Answered`].
    Probe {
        /// Name of the peer.
        peer: ArcStr,
        /// IP address and port.
        addr: ArcStr,
    },
    /// The status of a peer changed.
    PeerChanged {
        /// Name of the peer.
        peer: ArcStr,
        /// New status.
        status: PeerStatus,
    },
    /// An upstream started leaving or is in use again.
    UpstreamChanged {
        /// Name of the upstream.
        upstream: ArcStr,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A host list was rejected; log it.
    Rejected(ListError),
}

/// Response of the address lookup `GET /v1/hosts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// How long callers may cache the response, in milliseconds.
    pub ttl_ms: u64,
    /// Hosts that accept requests, by name.
    pub hosts: Vec<Address>,
}

/// Address of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Host name.
    pub name: ArcStr,
    /// IP address and port for callers.
    pub http: ArcStr,
    /// Failure domain, empty if not known.
    #[serde(default)]
    pub domain: ArcStr,
    /// Identifier of its process, as 16 hexadecimal digits because JSON numbers lose the low bits.
    pub incarnation: String,
    /// Share of requests that callers should send to it, relative to the other hosts.
    pub weight: u32,
}

/// Peers and upstreams as this host knows them.
#[derive(Debug)]
pub struct Membership {
    setup: Setup,
    // Group size, 0 if not known yet.
    hosts: u8,
    generation: Option<u64>,
    peers: BTreeMap<ArcStr, Peer>,
    // Hosts of other groups that are probed.
    outside_peers: BTreeSet<ArcStr>,
    upstreams: BTreeMap<ArcStr, LeavingMark<ArcStr>>,
    own: LeavingMark<Incarnation>,
    leaving: bool,
    last_probe: Option<Tick>,
}

#[derive(Debug)]
struct Peer {
    host: Host,
    // Whether the newest host list names it.
    listed: bool,
    mark: LeavingMark<Incarnation>,
    // When a host list first named the peer.
    known_since: Tick,
    // Send time of the newest probe that it answered.
    last_answered: Option<Tick>,
    about: Option<ProcessInfo>,
    reported: Option<PeerStatus>,
}

impl Membership {
    /// Creates a membership without peers.
    pub fn new(setup: Setup) -> Self {
        let own = LeavingMark::new(Some(setup.incarnation));
        Self {
            setup,
            hosts: 0,
            generation: None,
            peers: BTreeMap::new(),
            outside_peers: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            own,
            leaving: false,
            last_probe: None,
        }
    }

    /// Applies the group size and the upstreams of the active rules. Drops the marks of upstreams
    /// that neither the rules nor the host list name.
    pub fn configure(&mut self, rules: &Rules) {
        self.hosts = rules.hosts;
        self.upstreams.retain(|n, m| m.dropped_at.is_none() || rules.upstreams.contains_key(n));
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::List(list) => self.apply_list(now, list, out),
            Event::Answered { peer, sent, about } => self.handle_answer(&peer, sent, about),
            Event::Probed { peer, about } => {
                if let Some(p) = self.peers.get_mut(&peer)
                    && p.about.is_some_and(|a| a.incarnation == about.incarnation)
                    && about.leaving
                {
                    p.mark.leave();
                }
            }
            Event::UpstreamReported { upstream, boot } => self.handle_report(upstream, boot, out),
            Event::ShutdownStarted => self.leaving = true,
            Event::Tick => self.tick(now, out),
        }
        self.report(now, out);
    }

    /// State that this host reports to its peers.
    pub fn process_info(&self, lease: bool) -> ProcessInfo {
        ProcessInfo {
            incarnation: self.setup.incarnation,
            leaving: self.is_leaving(),
            lease,
            weight: self.setup.weight,
        }
    }

    /// Whether this host is shutting down or is marked as leaving in the host list.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.own.is_leaving()
    }

    /// Generation of the newest host list, `None` before the first one.
    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Status of a peer, `None` if the newest host list does not name it.
    pub fn status(&self, now: Tick, peer: &str) -> Option<PeerStatus> {
        self.peers.get(peer).filter(|p| p.listed).map(|p| p.status(now))
    }

    /// All peers of the newest host list and their status.
    pub fn peers(&self, now: Tick) -> impl Iterator<Item = (&Host, PeerStatus)> {
        self.peers.values().filter(|p| p.listed).map(move |p| (&p.host, p.status(now)))
    }

    /// Hosts of the group with this ordinal, the most available first. During a replacement there
    /// may be two.
    pub fn hosts_with_ordinal(&self, now: Tick, ordinal: Ordinal) -> Vec<(&Host, PeerStatus)> {
        let mut found: Vec<_> = self
            .peers
            .values()
            .filter(|p| p.listed && p.host.group == self.setup.group && p.host.ordinal == ordinal)
            .map(|p| (&p.host, p.status(now)))
            .collect();
        found.sort_by_key(|(_, s)| *s);
        found
    }

    /// Ordinals of the group's alive peers.
    pub fn alive_ordinals(&self, now: Tick) -> BTreeSet<Ordinal> {
        let group = self.peers(now).filter(|(h, _)| self.is_group_member(h));
        group.filter(|(_, s)| *s == PeerStatus::Alive).map(|(h, _)| h.ordinal).collect()
    }

    /// Whether an upstream is leaving and must get no new work.
    pub fn is_upstream_leaving(&self, upstream: &str) -> bool {
        self.upstreams.get(upstream).is_some_and(LeavingMark::is_leaving)
    }

    /// Upstreams that are leaving.
    pub fn leaving_upstreams(&self) -> impl Iterator<Item = &ArcStr> {
        self.upstreams.iter().filter(|(_, m)| m.is_leaving()).map(|(n, _)| n)
    }

    /// Whether this host is one of the [`READERS_PER_DOMAIN`] of its failure domain that read the
    /// configuration service.
    pub fn is_reader(&self, now: Tick) -> bool {
        if self.is_leaving() {
            return false;
        }
        let own = self.reader_weight(&self.setup.name);
        let ahead = self.peers(now).filter(|(h, s)| {
            // For a host that is not probed, only the state in the list is known.
            let out = *s == PeerStatus::Leaving || (*s == PeerStatus::Lost && self.is_probed(h));
            h.domain == self.setup.domain && !out && self.reader_weight(&h.name) > own
        });
        ahead.take(READERS_PER_DOMAIN).count() < READERS_PER_DOMAIN
    }

    /// Response of the address lookup. `lease` tells whether this host holds its lease.
    pub fn addresses(&self, now: Tick, lease: bool) -> Addresses {
        let mut hosts: Vec<_> =
            self.peers.values().filter(|p| p.listed).filter_map(|p| p.address(now)).collect();
        if lease && !self.is_leaving() {
            hosts.push(Address {
                name: self.setup.name.clone(),
                http: self.setup.http.clone(),
                domain: self.setup.domain.clone(),
                incarnation: self.setup.incarnation.to_string(),
                weight: self.setup.weight,
            });
        }
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Addresses { ttl_ms: ADDRESSES_TTL.as_millis() as u64, hosts }
    }

    fn apply_list(&mut self, now: Tick, list: HostList, out: &mut Vec<Effect>) {
        if self.generation.is_some_and(|g| list.generation <= g) {
            return;
        }
        if let Err(e) = list.check() {
            return out.push(Effect::Rejected(e));
        }
        let first = self.generation.replace(list.generation).is_none();
        self.unlist_all(now);
        for h in list.hosts {
            if h.name == self.setup.name {
                self.own.listed(h.state, first);
                continue;
            }
            let new = || Peer::new(h.clone(), now);
            let p = self.peers.entry(h.name.clone()).or_insert_with(new);
            p.mark.listed(h.state, first);
            (p.host, p.listed) = (h, true);
        }
        for u in list.upstreams {
            let m = self.upstreams.entry(u.name.clone()).or_insert_with(|| LeavingMark::new(None));
            let before = m.is_leaving();
            m.listed(u.state, first);
            let leaving = m.is_leaving();
            if leaving != before {
                out.push(Effect::UpstreamChanged { upstream: u.name, leaving });
            }
        }
        self.choose_outside_peers();
    }

    /// Marks all hosts and upstreams as dropped, before a new list is applied.
    fn unlist_all(&mut self, now: Tick) {
        for p in self.peers.values_mut() {
            p.listed = false;
            p.mark.dropped_at.get_or_insert(now);
        }
        for m in self.upstreams.values_mut() {
            m.dropped_at.get_or_insert(now);
        }
    }

    fn handle_answer(&mut self, peer: &str, sent: Tick, about: ProcessInfo) {
        let Some(p) = self.peers.get_mut(peer) else { return };
        // A late answer may be from an earlier process of the peer.
        if p.last_answered.is_some_and(|t| sent < t) {
            return;
        }
        (p.last_answered, p.about) = (Some(sent), Some(about));
        p.mark.set_process(about.incarnation);
        if about.leaving {
            p.mark.leave();
        }
    }

    fn handle_report(&mut self, upstream: ArcStr, boot: ArcStr, out: &mut Vec<Effect>) {
        let m = self.upstreams.entry(upstream.clone()).or_insert_with(|| LeavingMark::new(None));
        let before = m.is_leaving();
        m.set_process(boot);
        if before && !m.is_leaving() {
            out.push(Effect::UpstreamChanged { upstream, leaving: false });
        }
    }

    fn tick(&mut self, now: Tick, out: &mut Vec<Effect>) {
        if self.last_probe.is_some_and(|t| now.since(t) < PROBE_INTERVAL) {
            return;
        }
        self.last_probe = Some(now);
        self.peers
            .retain(|_, p| p.mark.dropped_at.is_none_or(|t| now.since(t) < DROPPED_RETENTION));
        for p in self.peers.values().filter(|p| p.listed && self.is_probed(&p.host)) {
            out.push(Effect::Probe { peer: p.host.name.clone(), addr: p.host.peer.clone() });
        }
    }

    fn report(&mut self, now: Tick, out: &mut Vec<Effect>) {
        let changed = |p: &&Peer| {
            let status = p.status(now);
            let known = self.is_probed(&p.host) || status == PeerStatus::Leaving;
            p.listed && known && p.reported != Some(status)
        };
        let names: Vec<_> =
            self.peers.values().filter(changed).map(|p| p.host.name.clone()).collect();
        for peer in names {
            let p = self.peers.get_mut(&peer).expect("the name was just read from the map");
            let status = p.status(now);
            p.reported = Some(status);
            out.push(Effect::PeerChanged { peer, status });
        }
    }

    fn is_group_member(&self, h: &Host) -> bool {
        h.group == self.setup.group && (self.hosts == 0 || h.ordinal.0 < self.hosts)
    }

    fn is_probed(&self, h: &Host) -> bool {
        self.is_group_member(h) || self.outside_peers.contains(&h.name)
    }

    fn choose_outside_peers(&mut self) {
        let outside = |p: &&Peer| p.listed && p.host.group != self.setup.group;
        let live = self.peers.values().filter(outside).filter(|p| !p.mark.is_leaving());
        let key = |n: &ArcStr| rendezvous_weight(&self.setup.name, n);
        let mut names: Vec<_> = live.map(|p| (key(&p.host.name), p.host.name.clone())).collect();
        names.sort_by(|a, b| b.cmp(a));
        self.outside_peers = names.into_iter().take(MAX_OUTSIDE_PEERS).map(|(_, n)| n).collect();
    }

    // The name breaks ties, so that all hosts use the same order.
    fn reader_weight<'a>(&self, name: &'a str) -> (u64, &'a str) {
        (rendezvous_weight("config", name), name)
    }
}

impl Peer {
    fn new(host: Host, now: Tick) -> Self {
        Self {
            host,
            listed: true,
            mark: LeavingMark::new(None),
            known_since: now,
            last_answered: None,
            about: None,
            reported: None,
        }
    }

    fn status(&self, now: Tick) -> PeerStatus {
        if self.mark.is_leaving() {
            return PeerStatus::Leaving;
        }
        let age = now.since(self.last_answered.unwrap_or(self.known_since));
        match self.last_answered {
            Some(_) if age < SUSPECT_TIMEOUT => PeerStatus::Alive,
            _ if age < LOST_TIMEOUT => PeerStatus::Suspect,
            _ => PeerStatus::Lost,
        }
    }

    fn address(&self, now: Tick) -> Option<Address> {
        let about = self.about.filter(|a| a.lease && self.status(now) == PeerStatus::Alive)?;
        Some(Address {
            name: self.host.name.clone(),
            http: self.host.http.clone(),
            domain: self.host.domain.clone(),
            incarnation: about.incarnation.to_string(),
            weight: about.weight,
        })
    }
}

/// Weight of `node` for `key` in rendezvous hashing, which chooses the node of the highest weight.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update((key.len() as u64).to_be_bytes());
    hash.update(key);
    hash.update(node);
    let hash = hash.finalize();
    u64::from_be_bytes(hash[..8].try_into().expect("a SHA-256 has 32 bytes"))
}
