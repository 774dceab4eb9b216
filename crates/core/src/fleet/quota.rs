//! Rate limits of client accounts, enforced by all hosts together.
//!
//! Each host keeps a token bucket per account for the whole fleet. It subtracts what it admits
//! itself at once and what its peers admit when their digests report it, so a host may use
//! everything that the others leave. When the level is below the fleet's demand between two
//! digests, each host is limited to its share of the rate by demand; otherwise all hosts would
//! spend the same rest and then refuse every request until the debt is paid. A silent peer is
//! charged its share of the rate until it is heard again, so in a partition each side uses its own
//! share only.

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
const HORIZON: Duration = Duration::from_secs(2);

/// Silence after which a peer is charged its share: longer than two digests at the longest
/// interval, shorter than the window in which the users check the limit.
const SILENT: Duration = Duration::from_millis(700);

/// Fraction of the rate that is added to the demand and divided among all hosts, so that a silent
/// peer without demand is charged as well.
const FLOOR: f64 = 0.1;

/// Longest time for which a host does not know what the others admit.
const UNTOLD: Duration = Duration::from_millis(350);

/// Interval at which the shares are computed: short compared to [`DIGEST_DELAY`].
const CHARGE: Duration = Duration::from_millis(50);

/// Factor on rate and burst. It uses a part of the quarter by which the users let a fleet exceed
/// them, since requests reach the hosts in another order than they were sent.
const OVERAGE: f64 = 1.05;

/// Fraction of the users' slack that is added to the burst.
const SLACK_SHARE: f64 = 0.2;

/// Fraction of the burst that a new process starts with: its predecessor may have used the rest.
const START_SHARE: f64 = 0.5;

/// Result of [`Quota::check`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaCheck {
    /// The request is within the limit and counted.
    Allowed,
    /// The request is over the limit, which lasts for about this long.
    Limited(Duration),
}

#[derive(Debug)]
struct Meter {
    hash: u32,
    rate: f64,
    burst: f64,
    // Units that the fleet may use now. Negative if peers admitted more than was known.
    level: f64,
    // Units of this host's share that it may use now, whatever the others use.
    part: f64,
    // This host's share of the demand.
    share: f64,
    // Demand of all hosts, in units per second.
    total: f64,
    // Units admitted since the start of the process.
    spent: f64,
    // Demand at this host, in units per second.
    demand: f64,
    at: Tick,
}

#[derive(Debug, Default)]
struct Peer {
    life: u64,
    heard: Tick,
    // Keyed by the hash of the account.
    uses: HashMap<u32, Spent>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    told: f64,
    demand: f64,
    // Charged during silence, in addition to what the peer reported.
    assumed: f64,
}

/// Rate limits of all accounts on one host.
#[derive(Debug)]
pub struct Quota {
    meters: HashMap<ArcStr, Meter>,
    peers: BTreeMap<Ipv4Addr, Peer>,
    // Units added to the burst.
    slack: f64,
    charged: Tick,
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
    /// Quota without accounts. `slack` is the number of units by which the users let an account
    /// exceed its burst.
    pub fn new(now: Tick, slack: f64) -> Self {
        Self {
            meters: HashMap::new(),
            peers: BTreeMap::new(),
            slack: slack * SLACK_SHARE,
            charged: now,
        }
    }

    /// Applies the limits of a configuration. Levels of known accounts stay.
    pub fn configure(&mut self, now: Tick, inventory: &FleetConfig) {
        let mut old = std::mem::take(&mut self.meters);
        let hosts = (self.peers.len() + 1) as f64;
        for a in inventory.accounts.iter().filter(|a| a.rate > 0.0) {
            let (rate, burst) = (a.rate * OVERAGE, a.burst * OVERAGE + self.slack);
            let meter = match old.remove(&a.name) {
                Some(m) => Meter { rate, burst, ..m },
                None => Meter {
                    hash: hash32(&[&a.name]),
                    rate,
                    burst,
                    level: burst * START_SHARE,
                    part: 0.0,
                    share: 1.0 / hosts,
                    total: 0.0,
                    spent: 0.0,
                    demand: 0.0,
                    at: now,
                },
            };
            self.meters.insert(a.name.clone(), meter);
        }
    }

    /// Registers a host that was not heard yet: it may admit requests on the other side of a
    /// partition.
    pub fn expect_peer(&mut self, now: Tick, ip: Ipv4Addr) {
        self.peers.entry(ip).or_insert_with(|| Peer { heard: now, ..Peer::default() });
    }

    /// Applies what a peer has admitted since the start of its process, which `incarnation`
    /// identifies.
    pub fn apply_usage(&mut self, now: Tick, ip: Ipv4Addr, life: u64, uses: &[AccountUsage]) {
        self.charge_silent(now);
        let peer = self.peers.entry(ip).or_default();
        let first = peer.life == 0;
        if peer.life != life {
            // A new process counts from 0. What the old one was charged in silence stays charged,
            // since it may have used it.
            *peer = Peer { life, ..Peer::default() };
        }
        peer.heard = now;
        for u in uses {
            let s = peer.uses.entry(u.account).or_default();
            let told = u.admitted as f64;
            // What a peer admitted before this host knew it is in the past.
            let fresh = if first { 0.0 } else { (told - s.told).max(0.0) };
            let credit = if first { 0.0 } else { s.assumed };
            *s = Spent { told, demand: f64::from(u.demand), assumed: 0.0 };
            if let Some(m) = self.meters.values_mut().find(|m| m.hash == u.account) {
                m.advance(now);
                m.level = (m.level + credit - fresh).clamp(-m.burst, m.burst);
            }
        }
    }

    /// Removes a peer that left or was forgotten.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        self.peers.remove(&ip);
    }

    /// Removes hosts that were expected and never heard.
    pub fn remove_unheard(&mut self) {
        self.peers.retain(|_, p| p.life != 0);
    }

    /// Usage at this host, for its digest.
    pub fn usage(&mut self, now: Tick) -> Vec<AccountUsage> {
        for m in self.meters.values_mut() {
            m.advance(now);
        }
        let used = self.meters.values().filter(|m| m.spent > 0.0);
        used.map(|m| AccountUsage {
            account: m.hash,
            demand: m.demand as u32,
            admitted: m.spent as u64,
        })
        .collect()
    }

    /// Charges silent peers their shares up to now, and computes this host's shares.
    pub fn charge_silent(&mut self, now: Tick) {
        if now.since(self.charged) < CHARGE {
            return;
        }
        let passed = now.since(self.charged).as_secs_f64();
        self.charged = now;
        let hosts = (self.peers.len() + 1) as f64;
        for m in self.meters.values_mut() {
            m.advance(now);
            let own = m.demand;
            // A host that was never heard is assumed to have the same demand as this one.
            let known = |p: &Peer| match p.life {
                0 => own,
                _ => p.uses.get(&m.hash).map_or(0.0, |s| s.demand),
            };
            let floor = FLOOR * m.rate / hosts;
            m.total = own + self.peers.values().map(known).sum::<f64>();
            let all = m.total + floor * hosts;
            m.share = (own + floor) / all;
            for p in self.peers.values_mut() {
                let silence = now.since(p.heard);
                if silence <= SILENT {
                    continue;
                }
                let part = (known(p) + floor) / all;
                let units = part * m.rate * passed.min(silence.as_secs_f64());
                p.uses.entry(m.hash).or_default().assumed += units;
                m.level = (m.level - units).max(-m.burst);
            }
        }
    }

    /// Checks a request of `cost` units and counts it if it is within the limit.
    pub fn check(&mut self, now: Tick, account: &str, cost: f64) -> QuotaCheck {
        self.charge_silent(now);
        let Some(m) = self.meters.get_mut(account) else { return QuotaCheck::Allowed };
        m.demand += cost / HORIZON.as_secs_f64();
        // A request larger than the burst needs a full bucket and leaves a debt.
        let needed = cost.min(m.burst);
        let untold = m.total * UNTOLD.as_secs_f64();
        let own = cost.min(m.burst * m.share);
        if m.level < needed + untold && m.part < own {
            let wait = (own - m.part) / (m.rate * m.share);
            return QuotaCheck::Limited(Duration::try_from_secs_f64(wait).unwrap_or(HORIZON));
        }
        m.level = (m.level - cost).max(-m.burst);
        m.part = (m.part - cost).max(-m.burst * m.share);
        m.spent += cost;
        QuotaCheck::Allowed
    }

    /// Refunds the units of a request that was not run. The count in digests never falls, so peers
    /// still count them as used.
    pub fn refund(&mut self, account: &str, cost: f64) {
        if let Some(m) = self.meters.get_mut(account) {
            m.level = (m.level + cost).min(m.burst);
        }
    }

    /// Inputs of an account's last check, for logs: units that the fleet may use, units of this
    /// host's share, and this host's share of the demand.
    pub fn explain(&self, account: &str) -> (f64, f64, f64) {
        self.meters.get(account).map_or((f64::INFINITY, 0.0, 0.0), |m| (m.level, m.part, m.share))
    }
}

impl Meter {
    fn advance(&mut self, now: Tick) {
        let passed = now.since(self.at).as_secs_f64();
        if passed == 0.0 {
            return;
        }
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.burst);
        // The shares of all hosts together pay a debt of the fleet.
        let pace = (1.0 + self.level.min(0.0) / self.burst).max(0.0);
        let part = self.part + passed * self.rate * self.share * pace;
        self.part = part.min(self.burst * self.share);
        self.demand *= (-passed / HORIZON.as_secs_f64()).exp();
    }
}
