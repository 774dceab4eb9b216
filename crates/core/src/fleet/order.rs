//! Load and unload orders to engines, and the rules for when a host may send them.
//!
//! A replica accepts orders from any host, so two hosts must not send it orders within the term of
//! an [`OrderLease`]. Rendezvous hashing over the members assigns each replica one owner. The
//! replica's count of accepted orders shows whether another host sent one: an owner that has sent
//! none recently first waits until the count has not changed for the term.

#[cfg(test)]
mod tests;

use std::{net::Ipv4Addr, time::Duration};

use arcstr::ArcStr;

use crate::time::Tick;

/// Kind of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Loads a base model, or an adapter of a resident model.
    Load,
    /// Unloads a model or an adapter.
    Unload,
}

/// An order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or to unload.
    pub verb: Verb,
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Version to load; the newest one if absent.
    pub version: Option<u64>,
    /// Number of orders that the replica must have accepted before; it rejects the order otherwise.
    pub expected_count: u64,
    /// Name of the host that sends the order.
    pub holder: ArcStr,
    /// Fencing token.
    pub fence: u64,
}

/// Response of a replica to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The requested state is reached already.
    Done,
    /// The order is being executed.
    Accepted,
    /// Another order is in progress, or the count of accepted orders differs from the expected one.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// The address belongs to another replica.
    OtherReplica,
    /// Any other response.
    Refused,
}

/// Bits of a fencing token that identify the host: those of an address in a /8 network.
const HOST_BITS: u32 = 24;

/// Fencing token of a host that knows the store up to `position`, a
/// [`super::history::Position::count`]. It is above `seen`, the highest token that the host knows
/// for the replica. The position keeps rising whatever happens to hosts, so the tokens of
/// successive owners rise even if no host knows the last one. The address distinguishes hosts that
/// know the same position.
pub fn fencing_token(position: u64, seen: u64, ip: Ipv4Addr) -> u64 {
    let host = u64::from(u32::from(ip)) & ((1 << HOST_BITS) - 1);
    let count = position.max((seen >> HOST_BITS) + 1);
    (count << HOST_BITS) | host
}

/// Time-based exclusion between the orders of two hosts to one replica.
#[derive(Clone, Copy, Debug)]
pub struct OrderLease {
    /// Shortest time between the orders of two hosts. A new owner adds margins for the lag of
    /// reports and for clocks.
    pub term: Duration,
}

/// Margin on the term for the network delay of an order.
const ORDER_LATENCY: Duration = Duration::from_millis(150);

/// Longest time until the count of a report that this host has read includes an order: the age of
/// the report's content plus the interval between reports.
const MAX_COUNT_LAG: Duration = Duration::from_millis(900);

/// An owner whose last order is at most this fraction of the term ago continues even if contested:
/// no other host can have seen the count unchanged for the term.
const CERTAIN_SHARE: f64 = 0.6;

/// Whether and when this host may send orders to one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ownership {
    // Since when this host considers itself the owner.
    owned_since: Option<Tick>,
    contested: bool,
    // Whether this host was the owner before its restart.
    resumed: bool,
    // When this host last sent an order.
    last_order: Option<Tick>,
    // Fencing token of this ownership. It stays the same, since orders may arrive out of order.
    fence: Option<u64>,
    // Highest token of any host.
    highest_fence: u64,
    // Count of orders accepted by the replica, and since when it has not changed.
    count: Option<(u64, Tick)>,
}

impl Ownership {
    /// Applies the owner according to the current members. `resumed` tells that the owner was this
    /// host's previous process and that no other host has sent orders since.
    pub fn update(&mut self, now: Tick, owner: bool, contested: bool, resumed: bool) {
        self.resumed = resumed;
        self.owned_since = if owner { self.owned_since.or(Some(now)) } else { None };
        if !owner {
            self.fence = None;
        }
        self.contested = contested;
    }

    /// Records the count of a report that was requested at `sent_at`.
    pub fn observe_count(&mut self, sent_at: Tick, count: u64) {
        match self.count {
            Some((old, _)) if old == count => {}
            _ => self.count = Some((count, sent_at)),
        }
    }

    /// Discards the count after a restart of the replica, which counts from 0 again.
    pub fn reset_count(&mut self) {
        self.count = None;
    }

    /// Records that an order is sent and returns its fencing token. A host that knows the store up
    /// to `position` creates the token with the first order of its ownership.
    pub fn record_order(&mut self, now: Tick, position: u64, ip: Ipv4Addr) -> u64 {
        self.last_order = Some(now);
        let token =
            *self.fence.get_or_insert_with(|| fencing_token(position, self.highest_fence, ip));
        self.highest_fence = self.highest_fence.max(token);
        token
    }

    /// Records a token that another host uses.
    pub fn observe_fence(&mut self, token: u64) {
        self.highest_fence = self.highest_fence.max(token);
    }

    /// Highest known token of any host.
    pub fn highest_fence(&self) -> u64 {
        self.highest_fence
    }

    /// Highest known token, if this host has sent an order since `t`.
    pub fn fence_since(&self, t: Tick) -> Option<u64> {
        self.last_order.filter(|o| *o >= t).and(Some(self.highest_fence))
    }

    /// Whether this host may send an order now.
    pub fn may_order(&self, now: Tick, lease: OrderLease) -> bool {
        let Some(since) = self.owned_since else { return false };
        if self.ordered_recently(now, lease) {
            return true;
        }
        let Some((_, unchanged_since)) = self.count else { return false };
        if self.contested {
            // An owner on the other side of a partition must have been idle for two terms, after
            // which it has to wait just as long itself.
            return now.since(unchanged_since) > (lease.term + MAX_COUNT_LAG) * 2;
        }
        if self.resumed {
            return true;
        }
        let wait = lease.term + ORDER_LATENCY;
        // If the count last changed with this host's own order, no other host has sent one.
        let own_change =
            self.last_order.is_some_and(|t| t >= since && unchanged_since.since(t) < MAX_COUNT_LAG);
        now.since(since) > wait && (own_change || now.since(unchanged_since) > wait)
    }

    fn ordered_recently(&self, now: Tick, lease: OrderLease) -> bool {
        self.owned_since.is_some_and(|s| {
            self.last_order
                .is_some_and(|t| t >= s && now.since(t) < lease.term.mul_f64(CERTAIN_SHARE))
        })
    }
}
