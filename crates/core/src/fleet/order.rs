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

/// Fraction of the term after an accepted order in which its sender continues whatever it hears of
/// other hosts: none of them can have seen the count unchanged for the term.
const CERTAIN_SHARE: f64 = 0.6;

/// Time after an order by which a report shows whether it was accepted: its timeout and the lag of
/// the count.
const SETTLE_TIME: Duration = Duration::from_millis(1200);

impl OrderLease {
    /// Time for which the count must not have changed before a host orders although one that it
    /// cannot reach may consider itself the owner.
    pub fn contested_wait(self) -> Duration {
        (self.term + MAX_COUNT_LAG) * 2
    }
}

/// What a host assumes about the other hosts that may order a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Claim {
    /// Another host owns it.
    #[default]
    Other,
    /// No other host considers itself the owner.
    Sole {
        /// Whether the owner was this host's previous process and no other host has sent orders
        /// since.
        resumed: bool,
    },
    /// A host that cannot be reached may consider itself the owner.
    Contested,
    /// As [`Self::Contested`], and the hosts that cannot be reached go first.
    Standby,
}

/// Count of the orders that a replica has accepted.
#[derive(Clone, Copy, Debug)]
struct Count {
    value: u64,
    unchanged_since: Tick,
    read_at: Tick,
    // Largest value that the orders of this host explain.
    explained: u64,
}

/// Whether and when this host may send orders to one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ownership {
    claim: Claim,
    // Since when this host considers itself the owner and has seen no other host act as such.
    owned_since: Option<Tick>,
    // Whether another host may have sent orders since this host became the owner.
    replaced: bool,
    // When this host last sent an order, and when it sent the last one that was accepted.
    last_order: Option<Tick>,
    last_accepted: Option<Tick>,
    // Fencing token of this ownership. It stays the same, since orders may arrive out of order.
    fence: Option<u64>,
    // Highest token of any host.
    highest_fence: u64,
    count: Option<Count>,
}

impl Ownership {
    /// Applies the owner according to the current members.
    pub fn update(&mut self, now: Tick, claim: Claim, lease: OrderLease) {
        let old = std::mem::replace(&mut self.claim, claim);
        match (old, claim) {
            (_, Claim::Other) => {
                (self.owned_since, self.fence, self.replaced) = (None, None, false);
            }
            // A host that could not be reached may have sent orders until now.
            (Claim::Contested, Claim::Sole { .. })
            | (Claim::Standby, Claim::Contested | Claim::Sole { .. })
                if !self.ordered_recently(now, lease) =>
            {
                self.begin(now);
            }
            _ => self.owned_since = self.owned_since.or(Some(now)),
        }
    }

    /// Starts the ownership over, because another host has sent orders or this host was paused and
    /// would not know: it waits like a new owner and creates a new token. After a pause `now` is when
    /// this host will know again which peers it hears.
    pub fn restart(&mut self, now: Tick) {
        self.replaced = true;
        self.begin(now);
    }

    fn begin(&mut self, now: Tick) {
        (self.fence, self.last_accepted) = (None, None);
        if self.claim != Claim::Other {
            self.owned_since = self.owned_since.max(Some(now));
        }
    }

    /// Records the count of a report that was requested at `sent_at`. Returns whether another host
    /// has sent orders: the orders of this host do not explain the count.
    pub fn observe_count(&mut self, sent_at: Tick, value: u64) -> bool {
        let settled = self.last_order.is_none_or(|t| sent_at.since(t) > SETTLE_TIME);
        let (unchanged_since, explained) = match self.count {
            Some(old) if old.value == value => (old.unchanged_since, old.explained),
            Some(old) => (sent_at, old.explained),
            None => (sent_at, value),
        };
        let foreign = value > explained;
        let explained = if settled { value } else { explained.max(value) };
        self.count = Some(Count { value, unchanged_since, read_at: sent_at, explained });
        if foreign {
            self.restart(sent_at);
        }
        foreign
    }

    /// Discards the count after a restart of the replica, which counts from 0 again.
    pub fn reset_count(&mut self) {
        self.count = None;
    }

    /// Records that an order is sent and returns its fencing token. A host that knows the store up
    /// to `position` creates a token with the first order of its ownership, and after a pause in
    /// which it may have missed orders of another host.
    pub fn record_order(
        &mut self,
        now: Tick,
        position: u64,
        ip: Ipv4Addr,
        lease: OrderLease,
    ) -> u64 {
        if self.last_order.is_some_and(|t| now.since(t) >= lease.term) {
            self.fence = None;
        }
        self.last_order = Some(now);
        if let Some(c) = &mut self.count {
            c.explained = c.explained.saturating_add(1);
        }
        let token =
            *self.fence.get_or_insert_with(|| fencing_token(position, self.highest_fence, ip));
        self.highest_fence = self.highest_fence.max(token);
        token
    }

    /// Records that the replica has accepted the order that was sent at `sent_at`.
    pub fn record_accepted(&mut self, sent_at: Tick) {
        if self.owned_since.is_some_and(|t| sent_at >= t) {
            self.last_accepted = self.last_accepted.max(Some(sent_at));
        }
    }

    /// Records a token that another host uses. Returns whether that host has replaced this one as the
    /// owner, because its token is the higher one.
    pub fn observe_fence(&mut self, now: Tick, token: u64) -> bool {
        self.highest_fence = self.highest_fence.max(token);
        let replaced = self.fence.is_some_and(|own| own < token);
        if replaced {
            self.restart(now);
        }
        replaced
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
        let Some(count) = self.count else { return false };
        let unchanged = now.since(count.unchanged_since);
        match self.claim {
            Claim::Other | Claim::Standby => false,
            // An owner on the other side of a partition must have been idle for two terms, after
            // which it has to wait just as long itself. It may not have noticed the partition yet.
            Claim::Contested => {
                now.since(since) > lease.term + MAX_COUNT_LAG
                    && now.since(count.read_at) <= MAX_COUNT_LAG
                    && unchanged > lease.contested_wait()
            }
            Claim::Sole { resumed: true } if !self.replaced => true,
            Claim::Sole { .. } => {
                let wait = lease.term + ORDER_LATENCY;
                // If the count last changed with this host's own order, no other host has sent one.
                let own_change = self
                    .last_order
                    .is_some_and(|t| t >= since && count.unchanged_since.since(t) < MAX_COUNT_LAG);
                now.since(since) > wait && (own_change || unchanged > wait)
            }
        }
    }

    fn ordered_recently(&self, now: Tick, lease: OrderLease) -> bool {
        let accepted = self.last_accepted.filter(|t| self.owned_since.is_some_and(|s| *t >= s));
        accepted.is_some_and(|t| now.since(t) < lease.term.mul_f64(CERTAIN_SHARE))
    }
}
