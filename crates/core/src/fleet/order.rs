//! Orders to engines, and when a host may give them.
//!
//! A replica obeys anybody, so hosts must not take turns within [`Lease`]. Each replica has one
//! owner by rendezvous hashing over the members. Its count of accepted orders tells whether
//! another host gave one: an owner that has given none lately first sees that count stand still.

#[cfg(test)]
mod tests;

use std::{net::Ipv4Addr, time::Duration};

use arcstr::ArcStr;

use crate::time::Tick;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Loads a model, or an adapter of a model in place.
    Load,
    /// Unloads it.
    Unload,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What it does.
    pub verb: Verb,
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Version to load, the newest if absent.
    pub version: Option<u64>,
    /// Orders that the replica is expected to have accepted before.
    pub expected_count: Option<u64>,
    /// Name of the host.
    pub holder: ArcStr,
    /// Fencing token.
    pub fence: u64,
}

/// What a replica answers to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order already holds.
    Done,
    /// It is being carried out.
    Accepted,
    /// Another order is in progress, or another number of orders was accepted.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another replica has the address.
    OtherReplica,
    /// Anything else.
    Refused,
}

/// Bits of a fencing token that tell hosts apart: those of an address in a network of 2^24.
const HOST_BITS: u32 = 24;

/// Fencing token of a host that knows `revision` of the store, above `seen`, the highest token that
/// it knows of for the replica. The revision rises by itself and survives every host, so tokens of
/// successive holders rise also when nobody remembers the last one. The address keeps two hosts
/// apart that know the same.
pub fn fencing_token(revision: u64, seen: u64, ip: Ipv4Addr) -> u64 {
    let host = u64::from(u32::from(ip)) & ((1 << HOST_BITS) - 1);
    let count = revision.max((seen >> HOST_BITS) + 1);
    (count << HOST_BITS) | host
}

/// Time between the orders of two holders, and the margin that a new holder adds for the lag of
/// reports and for clocks.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Shortest time between the orders of two holders.
    pub term: Duration,
}

/// Margin on the term for the way of an order.
const WAY: Duration = Duration::from_millis(150);

/// Lag of a report plus the interval of reading it.
const MARGIN: Duration = Duration::from_millis(900);

/// A holder whose last order is at most this part of the term ago goes on without a doubt, since
/// nobody else can have seen the count stand still for the term.
const SURE: f64 = 0.6;

/// What one host knows of its authority over one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ownership {
    // Since when this host is the owner in its own view.
    since: Option<Tick>,
    contested: bool,
    // Whether this host was the owner before it started anew.
    resumed: bool,
    // When this host last sent an order.
    ordered: Option<Tick>,
    // Fencing token of this tenure. Orders overtake each other on the way, so it does not change.
    fence: Option<u64>,
    // Highest token of any host.
    seen: u64,
    // Orders accepted by the replica, with the time since which the number stands still.
    count: Option<(u64, Tick)>,
}

impl Ownership {
    /// Takes the owner as the members have it now. `resumed` tells that it was this host's earlier
    /// process and that no other host has given orders since.
    pub fn update(&mut self, now: Tick, mine: bool, contested: bool, resumed: bool) {
        self.resumed = resumed;
        self.since = if mine { self.since.or(Some(now)) } else { None };
        if !mine {
            self.fence = None;
        }
        self.contested = contested;
    }

    /// Takes the count of a report that was asked for at `asked`.
    pub fn observe_count(&mut self, asked: Tick, count: u64) {
        match self.count {
            Some((old, _)) if old == count => {}
            _ => self.count = Some((count, asked)),
        }
    }

    /// The replica restarted; its count begins anew.
    pub fn reset_count(&mut self) {
        self.count = None;
    }

    /// Notes that an order is sent, and returns its fencing token, which a host that knows
    /// `revision` makes at the first order of its tenure.
    pub fn record_order(&mut self, now: Tick, revision: u64, ip: Ipv4Addr) -> u64 {
        self.ordered = Some(now);
        let token = *self.fence.get_or_insert_with(|| fencing_token(revision, self.seen, ip));
        self.seen = self.seen.max(token);
        token
    }

    /// Takes the token of another host's orders.
    pub fn observe_fence(&mut self, token: u64) {
        self.seen = self.seen.max(token);
    }

    /// Token of this host's orders since `t`.
    pub fn fence_since(&self, t: Tick) -> Option<u64> {
        self.ordered.filter(|o| *o >= t).and(Some(self.seen))
    }

    /// The count that the first order of a tenure names, none within a tenure, where this host's
    /// own orders move the count faster than reports tell.
    pub fn expected_count(&self, now: Tick, lease: Lease) -> Option<u64> {
        if self.recent(now, lease) { None } else { self.count.map(|(n, _)| n) }
    }

    /// Whether this host may send an order now.
    pub fn may_order(&self, now: Tick, lease: Lease) -> bool {
        let Some(since) = self.since else { return false };
        if self.recent(now, lease) {
            return true;
        }
        let Some((_, still)) = self.count else { return false };
        if self.contested {
            // Whoever holds it on the other side has to be idle for two terms, by when it needs
            // the same wait itself.
            return now.since(still) > (lease.term + MARGIN) * 2;
        }
        if self.resumed {
            return true;
        }
        let wait = lease.term + WAY;
        // In a quiet tenure only this host's orders moved the count.
        let mine = self.ordered.is_some_and(|t| t >= since && still.since(t) < MARGIN);
        now.since(since) > wait && (mine || now.since(still) > wait)
    }

    fn recent(&self, now: Tick, lease: Lease) -> bool {
        self.since.is_some_and(|s| {
            self.ordered.is_some_and(|t| t >= s && now.since(t) < lease.term.mul_f64(SURE))
        })
    }
}
