//! Reference token bucket that sees the arrivals at all hosts. It tells which refusals of the fleet
//! were wrongful.

use yuccawing_core::{
    bucket::{Bucket, Limits as Rate, Reservation},
    time::Tick,
};

use crate::{checker::AccountLimits, results::Refusals};

/// Request of one account and whether the fleet refused it.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// Time of arrival in microseconds.
    pub at_us: u64,
    /// Time of the end in microseconds.
    pub end_us: u64,
    /// Tokens that it reserves.
    pub reserved: u64,
    /// Tokens that it used; 0 if it was not served.
    pub used: u64,
    /// Whether it was refused because of the rate limit.
    pub limited: bool,
}

/// Refusals of one account and the times of the wrongful ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RefusalCheck {
    /// Counts of refusals.
    pub refusals: Refusals,
    /// Arrival times of the wrongfully refused requests in microseconds.
    pub wrongful: Vec<u64>,
}

/// Counts the refusals of one account, among requests that arrived from `span.1` on, for which the
/// reference bucket had enough tokens. The bucket is empty at `span.0` and follows the decisions of
/// the fleet: it reserves tokens for each admitted request and gets the unused ones back at its
/// end.
pub fn check_refusals(decisions: &[Decision], l: AccountLimits, span: (u64, u64)) -> RefusalCheck {
    let tick = |us: u64| Tick(us.saturating_sub(span.0));
    let mut bucket = Bucket::new(Rate { rate: l.rate, burst: l.burst }, Tick(0));
    let mut events: Vec<(u64, bool, usize)> = Vec::new();
    for (i, d) in decisions.iter().enumerate() {
        events.push((d.at_us, true, i));
        if !d.limited {
            events.push((d.end_us, false, i));
        }
    }
    events.sort_unstable();
    let mut reservations: Vec<Option<Reservation>> = vec![None; decisions.len()];
    let mut out = RefusalCheck::default();
    for (at, arrives, i) in events {
        let d = &decisions[i];
        let now = tick(at);
        if !arrives {
            if let Some(r) = reservations[i].take() {
                bucket.settle(r, d.reserved.saturating_sub(d.used), now);
            }
            continue;
        }
        let counted = at >= span.1;
        out.refusals.requests += u64::from(counted);
        if !d.limited {
            reservations[i] = bucket.take(d.reserved, now);
            if reservations[i].is_none() {
                // The hosts may have seen these arrivals in a slightly different order.
                bucket.remove(d.reserved, now);
            }
        } else if counted {
            out.refusals.refused += 1;
            if bucket.available(now) >= d.reserved {
                out.wrongful.push(at);
            }
        }
    }
    out.refusals.wrongful = out.wrongful.len() as u64;
    out.refusals.share = out.refusals.wrongful as f64 / out.refusals.requests.max(1) as f64;
    out
}
