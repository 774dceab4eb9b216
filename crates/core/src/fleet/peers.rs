//! Membership of the fleet: hosts start from a few seeds and discover each other through digests.
//! Also decides which host owns a replica.

#[cfg(test)]
mod tests;

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use arcstr::ArcStr;

use super::{
    digest::{Digest, HostState, Member},
    receipt::Receipt,
};
use crate::{fleet::hash_bytes, time::Tick};

/// Silence after which callers are no longer directed to a peer: six times the usual interval of
/// digests.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1200);

/// Silence after which a peer may no longer receive this host's digests, so that ownership between
/// the two is contested. Longer than [`SUSPECT_AFTER`]: callers notice a lost host at once, but
/// ownership must not change for a few lost datagrams.
pub const CONTEST_AFTER: Duration = Duration::from_secs(2);

/// Time after its last digest at which a peer that another one still lists as alive must be running:
/// longer than it takes until all have noticed the loss of a host.
const VOUCH_AFTER: Duration = Duration::from_millis(2200);

/// Silence after which a peer is removed. A partition may last longer; ownership is then protected
/// by the replicas' own counts of orders.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Time after an order in which no other host may send one, with a margin for network delay.
pub const ORDER_WINDOW: Duration = Duration::from_millis(4000);

/// Hosts of another failure domain that take turns in passing on a host's digests. If one is lost,
/// its domain misses every third digest until the loss is noticed.
const RELAYS: usize = 3;

/// Peers that a host keeps, which bounds memory and the number of messages.
pub const MAX_PEERS: usize = 1200;

/// Another host, as its newest digest describes it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address for callers.
    pub front: SocketAddr,
    /// Its failure domain.
    pub zone: ArcStr,
    /// Identifies its process; see [`Digest::incarnation`].
    pub incarnation: u64,
    /// Sequence number of its newest digest.
    pub sequence: u64,
    /// Whether it takes requests.
    pub state: HostState,
    /// When its newest digest arrived.
    pub last_heard: Tick,
    /// When it last reported that it receives this host's digests.
    pub last_ack: Tick,
    /// When another peer last listed it as alive.
    pub vouched: Tick,
    /// When its process started.
    pub started: Tick,
    /// Whether its process is old enough to know of all orders that may still matter.
    pub knows_orders: bool,
    /// Whether its process has listed this host among the live members that it knows.
    pub acked: bool,
    /// Hashes of the replicas that it, or a host that has left or fallen silent since, sent orders
    /// to within [`ORDER_WINDOW`].
    pub ordered: BTreeSet<u32>,
    // The same of its previous process, and when that was last heard.
    former: Option<(BTreeSet<u32>, Tick)>,
}

/// Effect of a digest on the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// The digest is older than one that was received before.
    Stale,
    /// Nothing changed: the host was known and alive.
    Known,
    /// The host was unknown or silent.
    Joined,
    /// The host has a new process.
    Restarted,
    /// The host has started to shut down.
    Leaving,
}

/// Host that may send orders to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This host.
    Local {
        /// Whether another host may consider itself the owner.
        contested: bool,
    },
    /// A peer.
    Peer(Ipv4Addr),
}

/// Receivers of one digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestRoutes {
    /// Hosts that only apply it.
    pub direct: Vec<Ipv4Addr>,
    /// Hosts that also pass it on within their failure domain.
    pub relays: Vec<Ipv4Addr>,
}

/// Members of the fleet as one host sees them.
#[derive(Debug)]
pub struct Peers {
    local_ip: Ipv4Addr,
    started: Tick,
    seeds: Vec<Ipv4Addr>,
    peers: BTreeMap<Ipv4Addr, Peer>,
    // Hosts that peers list as members and that have sent no digest to this host yet, with the time of
    // the newest list.
    mentioned: BTreeMap<Ipv4Addr, Tick>,
    // Whether peers were removed for their silence while none was reached, and no digest has arrived
    // since.
    isolated: bool,
}

impl Peers {
    /// Membership of a host that has received no digest yet.
    pub fn new(local_ip: Ipv4Addr, seeds: Vec<Ipv4Addr>, now: Tick) -> Self {
        let mut out = Self {
            local_ip,
            started: now,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            mentioned: BTreeMap::new(),
            isolated: false,
        };
        out.set_seeds(seeds);
        out
    }

    /// Replaces the seeds, without this host itself.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds.into_iter().filter(|s| *s != self.local_ip).collect();
    }

    /// Applies a digest and returns its effect.
    pub fn apply_digest(&mut self, now: Tick, d: &Digest) -> PeerChange {
        if d.ip == self.local_ip {
            return PeerChange::Stale;
        }
        self.mentioned.remove(&d.ip);
        self.isolated = false;
        for m in &d.members {
            let known = m.ip == self.local_ip || self.peers.contains_key(&m.ip);
            if !known && self.mentioned.len() < MAX_PEERS {
                self.mentioned.insert(m.ip, now);
            }
        }
        // A digest without members does not state which hosts its sender receives digests from.
        let hears_me = d.members.iter().any(|m| m.ip == self.local_ip && m.alive);
        let old = self.peers.get(&d.ip);
        if old.is_some_and(|p| {
            (d.incarnation, d.sequence) <= (p.incarnation, p.sequence)
                && now.since(p.last_heard) < FORGET_AFTER
        }) {
            return PeerChange::Stale;
        }
        let change = match old {
            None => PeerChange::Joined,
            Some(p) if p.incarnation != d.incarnation => PeerChange::Restarted,
            Some(p) if p.state != HostState::Leaving && d.state == HostState::Leaving => {
                PeerChange::Leaving
            }
            Some(p) if now.since(p.last_heard) > SUSPECT_AFTER => PeerChange::Joined,
            Some(_) => PeerChange::Known,
        };
        // A new peer has not had time to receive a digest of this host.
        let last_ack = match old {
            Some(p) if !hears_me && p.incarnation == d.incarnation => p.last_ack,
            _ => now,
        };
        let former = match old {
            Some(p) if p.incarnation != d.incarnation => Some((p.ordered.clone(), p.last_heard)),
            Some(p) => p.former.clone(),
            None => None,
        };
        let acked = old.is_some_and(|p| p.incarnation == d.incarnation && p.acked);
        if self.peers.len() < MAX_PEERS || old.is_some() {
            let peer = Peer {
                front: d.front,
                zone: d.zone.clone(),
                incarnation: d.incarnation,
                sequence: d.sequence,
                state: d.state,
                last_heard: now,
                last_ack,
                vouched: now,
                started: now - Duration::from_millis(d.age_ms),
                knows_orders: d.age_ms >= ORDER_WINDOW.as_millis() as u64,
                acked: acked || hears_me,
                ordered: d.fences.iter().map(|o| o.replica).collect(),
                former,
            };
            self.peers.insert(d.ip, peer);
        }
        for m in d.members.iter().filter(|m| m.alive) {
            if let Some(p) = self.peers.get_mut(&m.ip) {
                p.vouched = now;
            }
        }
        change
    }

    /// Removes peers that have been silent for [`FORGET_AFTER`], or have left, and returns them.
    pub fn expire(&mut self, now: Tick) -> Vec<Ipv4Addr> {
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, p)| {
                let silence = now.since(p.last_heard);
                silence > FORGET_AFTER || (p.state == HostState::Leaving && silence > ORDER_WINDOW)
            })
            .map(|(ip, _)| *ip)
            .collect();
        let mut lost = false;
        for ip in &gone {
            let removed = self.peers.remove(ip);
            lost |= removed.is_some_and(|p| p.state != HostState::Leaving);
        }
        self.isolated |= lost && !self.peers.values().any(|p| is_reached(now, p));
        self.mentioned.retain(|_, t| now.since(*t) < FORGET_AFTER);
        gone
    }

    /// Peer with this address.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&Peer> {
        self.peers.get(&ip)
    }

    /// All peers with their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (Ipv4Addr, &Peer)> {
        self.peers.iter().map(|(ip, p)| (*ip, p))
    }

    /// Receipt for a message to the peer that is stamped at `now`, none before its first digest. A digest
    /// that has arrived since does not count.
    pub fn receipt(&self, now: Tick, ip: Ipv4Addr) -> Option<Receipt> {
        let p = self.peers.get(&ip).filter(|p| p.last_heard <= now)?;
        let held_ms = now.since(p.last_heard).as_millis();
        let held_ms = u32::try_from(held_ms).unwrap_or(u32::MAX);
        Some(Receipt { incarnation: p.incarnation, sequence: p.sequence, held_ms })
    }

    /// Whether a digest of the peer arrived within [`SUSPECT_AFTER`].
    pub fn is_alive(&self, now: Tick, ip: Ipv4Addr) -> bool {
        self.peers.get(&ip).is_some_and(|p| now.since(p.last_heard) <= SUSPECT_AFTER)
    }

    /// Known hosts, for this host's digest. A leaving host is not listed as alive, so that its next
    /// process is not taken for acknowledged before its own digest has arrived here.
    pub fn members(&self, now: Tick) -> Vec<Member> {
        let alive =
            |p: &Peer| now.since(p.last_heard) <= SUSPECT_AFTER && p.state != HostState::Leaving;
        self.iter().map(|(ip, p)| Member { ip, alive: alive(p) }).collect()
    }

    /// Hashes of the replicas that peers sent orders to within [`ORDER_WINDOW`] which have left, fallen
    /// silent or started again since. This host reports them in their place.
    pub fn orphaned_orders(&self, now: Tick) -> BTreeSet<u32> {
        let orphaned = self.peers.values().filter(|p| {
            let silence = now.since(p.last_heard);
            silence < ORDER_WINDOW && (silence > SUSPECT_AFTER || p.state == HostState::Leaving)
        });
        let former = self.peers.values().filter_map(|p| p.former.as_ref());
        let former = former.filter(|(_, heard)| now.since(*heard) < ORDER_WINDOW);
        let former = former.flat_map(|(ordered, _)| ordered.iter().copied());
        orphaned.flat_map(|p| p.ordered.iter().copied()).chain(former).collect()
    }

    /// Whether this host, which has just started or restarted, may send orders to a replica at
    /// once, because it has the highest weight and no other host has sent any. `hash` is the hash
    /// of the replica in digests. Each host reports its own orders, so all members must have sent a
    /// digest, and they must know of this host, or one of them might still send orders. One that is
    /// silent may have been cut off, and go on.
    pub fn resumes_ownership(&self, now: Tick, id: &str, hash: u32) -> bool {
        let members = || self.peers.values().filter(|p| p.state != HostState::Leaving);
        let own_weight = owner_weight(self.local_ip, id);
        let others = self.peers.keys().chain(&self.seeds);
        let is_current = |p: &Peer| {
            p.acked
                && now.since(p.last_heard) <= SUSPECT_AFTER
                && now.since(p.last_ack) <= SUSPECT_AFTER
        };
        members().any(|p| p.knows_orders)
            && self.mentioned.is_empty()
            && members().all(is_current)
            && !self.peers.values().any(|p| p.ordered.contains(&hash))
            && !self.orphaned_orders(now).contains(&hash)
            && others.into_iter().all(|ip| owner_weight(*ip, id) < own_weight)
    }

    /// Hosts that a digest is sent to.
    pub fn digest_targets(&self) -> Vec<Ipv4Addr> {
        let mut out: Vec<_> = self.peers.keys().copied().collect();
        out.extend(self.mentioned.keys());
        out.extend(&self.seeds);
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Receivers of digest `sequence` of this host in `zone`. In a fleet of more than `relay_above`
    /// hosts, one host of each other failure domain passes it on, so that the traffic between
    /// domains does not grow with the square of the fleet.
    pub fn digest_routes(
        &self,
        now: Tick,
        zone: &str,
        sequence: u64,
        relay_above: usize,
    ) -> DigestRoutes {
        let mut direct = self.digest_targets();
        if self.peers.len() < relay_above {
            return DigestRoutes { direct, relays: Vec::new() };
        }
        let mut domains: BTreeMap<&ArcStr, Vec<Ipv4Addr>> = BTreeMap::new();
        for (ip, p) in self.iter().filter(|(_, p)| p.zone != zone) {
            let usable = p.state != HostState::Leaving && now.since(p.last_heard) <= SUSPECT_AFTER;
            let relays = domains.entry(&p.zone).or_default();
            if usable {
                relays.push(ip);
            }
        }
        domains.retain(|_, hosts| hosts.len() >= RELAYS);
        let relays: Vec<_> = domains
            .values_mut()
            .filter_map(|hosts| {
                hosts.sort_by_key(|ip| {
                    hash_bytes([b"relay".as_slice(), &self.local_ip.octets(), &ip.octets()])
                });
                hosts.get((sequence % RELAYS as u64) as usize).copied()
            })
            .collect();
        direct.retain(|ip| self.peers.get(ip).is_none_or(|p| !domains.contains_key(&p.zone)));
        DigestRoutes { direct, relays }
    }

    /// Hosts of `zone` to which this host passes on a digest of `from`.
    pub fn relay_targets(&self, zone: &str, from: Ipv4Addr) -> Vec<Ipv4Addr> {
        let peers = self.iter().filter(|(ip, p)| *ip != from && p.zone == zone);
        peers.map(|(ip, _)| ip).collect()
    }

    /// Rank of this host among those that may read the store; rank 0 reads.
    pub fn reader_rank(&self, now: Tick) -> usize {
        let own_weight = owner_weight(self.local_ip, "store");
        let better = self.iter().filter(|(ip, p)| {
            p.state != HostState::Leaving
                && now.since(p.last_heard) <= SUSPECT_AFTER
                && owner_weight(*ip, "store") > own_weight
        });
        better.count()
    }

    /// The first `count` members in an order that depends on the replica with `id`, which send
    /// requests to it if it names a limit.
    pub fn senders(&self, now: Tick, id: &str, count: usize) -> Vec<Ipv4Addr> {
        self.ranked(now, [b"sender", id.as_bytes()], count)
    }

    /// Whether all known hosts are alive and have been so for `span`, so that what they keep is
    /// complete.
    pub fn all_alive_for(&self, now: Tick, span: Duration) -> bool {
        now.since(self.started) >= span
            && self.peers.values().all(|p| {
                p.state != HostState::Leaving
                    && now.since(p.last_heard) <= SUSPECT_AFTER
                    && now.since(p.started) >= span
            })
    }

    /// The first `count` members in an order that depends on the stream with `key`, which keep its
    /// origin.
    pub fn keepers(&self, now: Tick, key: u64, count: usize) -> Vec<Ipv4Addr> {
        self.ranked(now, [b"keeper", &key.to_le_bytes()], count)
    }

    fn ranked(&self, now: Tick, [role, id]: [&[u8]; 2], count: usize) -> Vec<Ipv4Addr> {
        let usable =
            |p: &Peer| p.state != HostState::Leaving && now.since(p.last_heard) <= SUSPECT_AFTER;
        let live = self.iter().filter(|(_, p)| usable(p)).map(|(ip, _)| ip);
        let mut out: Vec<_> = live.chain([self.local_ip]).collect();
        out.sort_by_key(|ip| hash_bytes([role, id, &ip.octets()]));
        out.truncate(count);
        out
    }

    /// Peers that take requests.
    pub fn serving(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |p| {
            p.state == HostState::Serving && now.since(p.last_heard) <= SUSPECT_AFTER
        })
    }

    /// Owner of the replica with `id`: the member with the highest weight. A silent member keeps
    /// its replicas until it is removed, except that the next one that is not silent may claim them
    /// as contested. A leaving member sends no more orders. A host that reaches only a minority
    /// claims no more than the replicas for which it is the next one, which bounds the engines whose
    /// reports it reads.
    pub fn owner(&self, now: Tick, id: &str) -> Owner {
        let leaving = |p: &Peer| p.state == HostState::Leaving;
        let mut ranked: Vec<_> = self
            .iter()
            .filter(|(_, p)| !leaving(p))
            .map(|(ip, _)| ip)
            .chain([self.local_ip])
            .map(|ip| (owner_weight(ip, id), ip))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let silent = |ip: Ipv4Addr| self.peers.get(&ip).is_some_and(|p| !is_reached(now, p));
        let elsewhere =
            |ip: Ipv4Addr| self.peers.get(&ip).is_some_and(|p| is_alive_elsewhere(now, p));
        let ranked: Vec<_> = ranked.into_iter().map(|(_, ip)| ip).collect();
        let first = ranked.first().copied().unwrap_or(self.local_ip);
        let next_silent = ranked.get(1).is_some_and(|ip| silent(*ip));
        let found = ranked.into_iter().enumerate().find(|(_, ip)| !silent(*ip) || elsewhere(*ip));
        match found {
            Some((0, ip)) if ip == self.local_ip => {
                let hidden = self.peers.values().any(|p| is_alive_elsewhere(now, p));
                let unknown = self.isolated || self.awaits_seed(now);
                Owner::Local { contested: next_silent || hidden || unknown }
            }
            Some((n, ip)) if ip == self.local_ip && (n == 1 || !self.is_minority(now)) => {
                Owner::Local { contested: true }
            }
            Some((_, ip)) if !self.is_minority(now) => Owner::Peer(ip),
            _ => Owner::Peer(first),
        }
    }

    /// Whether this host and those that it reaches are only a minority of the known members, so that
    /// others may act for the fleet. Of two equal halves, the one with the lowest address is the
    /// majority.
    pub fn is_minority(&self, now: Tick) -> bool {
        if self.isolated {
            return true;
        }
        let members = self.peers.iter().filter(|(_, p)| p.state != HostState::Leaving);
        let mut reached = 1;
        let mut missed = 0;
        let mut lowest = (self.local_ip, true);
        for (ip, p) in members {
            let is_reached = is_reached(now, p);
            *(if is_reached { &mut reached } else { &mut missed }) += 1;
            lowest = lowest.min((*ip, is_reached));
        }
        if self.awaits_seed(now) {
            for ip in self.seeds.iter().filter(|s| !self.peers.contains_key(s)) {
                missed += 1;
                lowest = lowest.min((*ip, false));
            }
        }
        match reached.cmp(&missed) {
            Ordering::Greater => false,
            Ordering::Equal => !lowest.1,
            Ordering::Less => true,
        }
    }

    // Until all seeds have sent a digest or enough time has passed, unknown hosts may exist.
    fn awaits_seed(&self, now: Tick) -> bool {
        now.since(self.started) < FORGET_AFTER
            && self.seeds.iter().any(|s| !self.peers.contains_key(s))
    }
}

// Whether digests arrive from the peer and it receives those of this host.
fn is_reached(now: Tick, p: &Peer) -> bool {
    now.since(p.last_heard) <= CONTEST_AFTER && now.since(p.last_ack) <= CONTEST_AFTER
}

// Whether the peer runs although this host does not receive its digests.
fn is_alive_elsewhere(now: Tick, p: &Peer) -> bool {
    p.state != HostState::Leaving
        && now.since(p.vouched) <= SUSPECT_AFTER
        && p.vouched.since(p.last_heard) > VOUCH_AFTER
}

fn owner_weight(ip: Ipv4Addr, id: &str) -> u64 {
    hash_bytes([b"owner", id.as_bytes(), &ip.octets()])
}
