//! Rate limits of client accounts, enforced by all hosts together.
//!
//! Each host keeps a token bucket per account for the whole fleet. It subtracts what it admits
//! itself at once and what its peers admit when their digests report it, so a host may use
//! everything that the others leave. When the level is below the fleet's demand between two
//! digests, each host is limited to its share of the rate, which is proportional to its demand;
//! otherwise all hosts would admit requests against the same remaining units and then refuse every
//! request until the level has recovered. A silent peer is charged its share of the rate until it
//! sends a digest again, so in a partition each side uses its own share only.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
    time::Duration,
};

use arcstr::ArcStr;

use super::{
    config::{Account, FleetConfig},
    digest::AccountUsage,
    hash32,
};
use crate::time::Tick;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Silence after which a peer is charged its share: longer than two digests at the longest
/// interval, shorter than the window over which compliance with the limit is checked.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// Largest growth of demand that is assumed at a peer since its last report.
const MAX_GROWTH: f64 = 20.0;

/// Fraction of the rate that is added to the demand and divided among all hosts, so that a silent
/// peer without demand is charged as well.
const DEMAND_FLOOR: f64 = 0.1;

/// Longest time for which a host does not know what the others admit.
const DIGEST_DELAY: Duration = Duration::from_millis(350);

/// Interval at which shares are computed and silent peers are charged: short compared to
/// [`DIGEST_DELAY`].
const CHARGE_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of the tolerance that refills over a window, on top of the rate. Requests refused below
/// the tolerated volume count as wrongly refused.
const RATE_SHARE: f64 = 0.6;

/// Fraction of the tolerance that is added to the burst. The rest of the tolerance covers what hosts
/// admit before they learn of each other's requests.
const BURST_SHARE: f64 = 0.1;

/// Fraction of the burst that a new process starts with: its predecessor may have used the rest.
const INITIAL_SHARE: f64 = 0.5;

/// How far the fleet may exceed an account's limit within any window.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Fraction of the limit.
    pub overage: f64,
    /// Units beyond that fraction.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Tolerance {
    // Refill rate and burst to enforce for an account, in units per second and units.
    fn apply(&self, rate: f64, burst: f64) -> (f64, f64) {
        let window = self.window.as_secs_f64();
        let excess = self.overage * (rate * window + burst) + self.slack;
        (rate + RATE_SHARE * excess / window, burst + BURST_SHARE * excess)
    }
}

/// Result of [`Quota::check`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaCheck {
    /// The request is within the limit and counted.
    Allowed,
    /// The request is over the limit, which lasts for about this long.
    Limited(Duration),
}

#[derive(Debug)]
struct Bucket {
    hash: u32,
    rate: f64,
    burst: f64,
    // Units that the fleet may use now. Negative if peers admitted more than was known.
    level: f64,
    // Units of this host's share that it may use now, whatever the others use.
    share_level: f64,
    // This host's share of the demand.
    share: f64,
    // Demand of all hosts, in units per second.
    total_demand: f64,
    // Units admitted since the start of the process.
    admitted: f64,
    // Demand at this host, in units per second.
    demand: f64,
    updated: Tick,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    last_heard: Tick,
    // Until when its share is charged or its usage is known.
    charged_until: Tick,
    // Keyed by the hash of the account.
    usage: HashMap<u32, PeerUsage>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
    reported: f64,
    demand: f64,
    // Demand at this host when the peer reported its own.
    local_demand: f64,
    // Charged during silence, in addition to what the peer reported.
    charged: f64,
}

impl PeerUsage {
    // Demand of a silent peer. Demand that has grown here since its report is assumed to have grown
    // there too, so that the sides of a partition do not both take a larger share.
    fn demand_now(&self, local: f64) -> f64 {
        self.demand * (local / self.local_demand.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_GROWTH)
    }
}

/// Rate limits of all accounts on one host.
#[derive(Debug)]
pub struct Quota {
    buckets: HashMap<ArcStr, Bucket>,
    peers: BTreeMap<Ipv4Addr, Peer>,
    tolerance: Tolerance,
    last_charge: Tick,
}

/// Units that a request counts against its account's limit; `counts` are its prompt and output
/// tokens, if stated.
pub fn cost(account: &Account, counts: Option<(u32, u32)>) -> f64 {
    match counts {
        _ if !account.per_token => 1.0,
        Some((prompt, output)) => f64::from(prompt) + f64::from(output),
        None => f64::from(account.default_tokens),
    }
}

impl Quota {
    /// Quota without accounts.
    pub fn new(now: Tick, tolerance: Tolerance) -> Self {
        Self { buckets: HashMap::new(), peers: BTreeMap::new(), tolerance, last_charge: now }
    }

    /// Applies the limits of a configuration. Levels of known accounts stay.
    pub fn configure(&mut self, now: Tick, config: &FleetConfig) {
        let mut old = std::mem::take(&mut self.buckets);
        let hosts = (self.peers.len() + 1) as f64;
        for a in config.accounts.iter().filter(|a| a.rate > 0.0) {
            let (rate, burst) = self.tolerance.apply(a.rate, a.burst);
            let bucket = match old.remove(&a.name) {
                Some(b) => Bucket { rate, burst, ..b },
                None => Bucket {
                    hash: hash32(&[&a.name]),
                    rate,
                    burst,
                    level: burst * INITIAL_SHARE,
                    share_level: 0.0,
                    share: 1.0 / hosts,
                    total_demand: 0.0,
                    admitted: 0.0,
                    demand: 0.0,
                    updated: now,
                },
            };
            self.buckets.insert(a.name.clone(), bucket);
        }
    }

    /// Registers a host that has sent no digest yet: it may admit requests on the other side of a
    /// partition.
    pub fn expect_peer(&mut self, now: Tick, ip: Ipv4Addr) {
        self.peers.entry(ip).or_insert_with(|| Peer {
            last_heard: now,
            charged_until: now,
            ..Peer::default()
        });
    }

    /// Applies what a peer has admitted since the start of its process, which `incarnation`
    /// identifies.
    pub fn apply_usage(
        &mut self,
        now: Tick,
        ip: Ipv4Addr,
        incarnation: u64,
        usage: &[AccountUsage],
    ) {
        self.charge_silent(now);
        let peer = self.peers.entry(ip).or_default();
        let first = peer.incarnation == 0;
        if peer.incarnation != incarnation {
            // A new process counts from 0. What the old one was charged while it was silent stays
            // charged, since it may have admitted that much.
            *peer = Peer { incarnation, ..Peer::default() };
        }
        (peer.last_heard, peer.charged_until) = (now, now);
        for u in usage {
            let s = peer.usage.entry(u.account).or_default();
            let reported = u.admitted as f64;
            // What a peer admitted before its first digest here does not count. Refunds make the
            // count fall.
            let fresh = if first { 0.0 } else { reported - s.reported };
            let credit = if first { 0.0 } else { s.charged };
            *s = PeerUsage { reported, demand: f64::from(u.demand), ..PeerUsage::default() };
            if let Some(b) = self.buckets.values_mut().find(|b| b.hash == u.account) {
                b.advance(now);
                s.local_demand = b.demand;
                b.level = (b.level + credit - fresh).clamp(-b.burst, b.burst);
            }
        }
    }

    /// Removes a peer that left or was forgotten.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// Removes expected hosts that never sent a digest.
    pub fn remove_unheard(&mut self) {
        self.peers.retain(|_, p| p.incarnation != 0);
    }

    /// Usage at this host, for its digest.
    pub fn usage(&mut self, now: Tick) -> Vec<AccountUsage> {
        for b in self.buckets.values_mut() {
            b.advance(now);
        }
        let used = self.buckets.values().filter(|b| b.admitted > 0.0);
        used.map(|b| AccountUsage {
            account: b.hash,
            demand: b.demand as u32,
            admitted: b.admitted as u64,
        })
        .collect()
    }

    /// Charges silent peers their shares up to now, and computes this host's shares.
    pub fn charge_silent(&mut self, now: Tick) {
        if now.since(self.last_charge) < CHARGE_INTERVAL {
            return;
        }
        self.last_charge = now;
        let hosts = (self.peers.len() + 1) as f64;
        for b in self.buckets.values_mut() {
            b.advance(now);
            let own = b.demand;
            // A host that never sent a digest is assumed to have the same demand as this one.
            let known = |p: &Peer| match p.incarnation {
                0 => own,
                _ if now.since(p.last_heard) > MAX_SILENCE => {
                    p.usage.get(&b.hash).map_or(0.0, |s| s.demand_now(own))
                }
                _ => p.usage.get(&b.hash).map_or(0.0, |s| s.demand),
            };
            let floor = DEMAND_FLOOR * b.rate / hosts;
            b.total_demand = own + self.peers.values().map(known).sum::<f64>();
            let all = b.total_demand + floor * hosts;
            b.share = (own + floor) / all;
            // A peer that falls silent is charged from its last digest on.
            let silent = |p: &&mut Peer| now.since(p.last_heard) > MAX_SILENCE;
            for p in self.peers.values_mut().filter(silent) {
                let fraction = (known(p) + floor) / all;
                let units = fraction * b.rate * now.since(p.charged_until).as_secs_f64();
                p.usage.entry(b.hash).or_default().charged += units;
                b.level = (b.level - units).max(-b.burst);
            }
        }
        for p in self.peers.values_mut().filter(|p| now.since(p.last_heard) > MAX_SILENCE) {
            p.charged_until = now;
        }
    }

    /// Checks a request of `cost` units and counts it if it is within the limit.
    pub fn check(&mut self, now: Tick, account: &str, cost: f64) -> QuotaCheck {
        self.charge_silent(now);
        let Some(b) = self.buckets.get_mut(account) else { return QuotaCheck::Allowed };
        b.demand += cost / DEMAND_WINDOW.as_secs_f64();
        // A request larger than the burst needs a full bucket and makes its level negative.
        let needed = cost.min(b.burst);
        let unreported = b.total_demand * DIGEST_DELAY.as_secs_f64();
        let own = cost.min(b.burst * b.share);
        if b.level < needed + unreported && b.share_level < own {
            let wait = (own - b.share_level) / (b.rate * b.share);
            return QuotaCheck::Limited(Duration::try_from_secs_f64(wait).unwrap_or(DEMAND_WINDOW));
        }
        b.level = (b.level - cost).max(-b.burst);
        b.share_level = (b.share_level - cost).max(-b.burst * b.share);
        b.admitted += cost;
        QuotaCheck::Allowed
    }

    /// Refunds the units of a request that was not run.
    pub fn refund(&mut self, account: &str, cost: f64) {
        if let Some(b) = self.buckets.get_mut(account) {
            b.level = (b.level + cost).min(b.burst);
            b.share_level = (b.share_level + cost).min(b.burst * b.share);
            b.admitted = (b.admitted - cost).max(0.0);
        }
    }

    /// Current inputs of the checks of an account, for logs: units that the fleet may use, units of
    /// this host's share, and this host's share of the demand.
    pub fn explain(&self, account: &str) -> (f64, f64, f64) {
        self.buckets
            .get(account)
            .map_or((f64::INFINITY, 0.0, 0.0), |b| (b.level, b.share_level, b.share))
    }
}

impl Bucket {
    fn advance(&mut self, now: Tick) {
        let passed = now.since(self.updated).as_secs_f64();
        if passed == 0.0 {
            return;
        }
        self.updated = now;
        self.level = (self.level + passed * self.rate).min(self.burst);
        // While the level of the fleet is negative, shares refill more slowly, so that all hosts
        // together make up for it.
        let refill = (1.0 + self.level.min(0.0) / self.burst).max(0.0);
        let share_level = self.share_level + passed * self.rate * self.share * refill;
        self.share_level = share_level.min(self.burst * self.share);
        self.demand *= (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
    }
}
