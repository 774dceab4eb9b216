//! Reference bucket that sees the arrivals at all hosts.

use yuccawing_core::{
    bucket::{Bucket, Limits as Rate, Reservation},
    time::Tick,
};

use crate::{checker::Limits, results::Refusals};

/// A request of one account and what was decided about it.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// When it arrived, in microseconds.
    pub at_us: u64,
    /// When it ended.
    pub end_us: u64,
    /// Tokens that it reserves.
    pub reserved: u64,
    /// Tokens that it used; none if it was not served.
    pub used: u64,
    /// Whether it was refused for a limit.
    pub limited: bool,
}

/// Counts the refusals of one account for which the reference bucket had room. The bucket is empty
/// at `from_us` and follows the decisions: it pays for what was granted and gets refunds at the end.
pub fn reference(decisions: &[Decision], l: Limits, from_us: u64) -> Refusals {
    let tick = |us: u64| Tick(us.saturating_sub(from_us));
    let mut bucket = Bucket::new(Rate { rate: l.rate, burst: l.burst }, Tick(0));
    let mut events: Vec<(u64, bool, usize)> = Vec::new();
    for (i, d) in decisions.iter().enumerate() {
        events.push((d.at_us, true, i));
        if !d.limited {
            events.push((d.end_us, false, i));
        }
    }
    events.sort_unstable();
    let mut held: Vec<Option<Reservation>> = vec![None; decisions.len()];
    let mut out = Refusals { requests: decisions.len() as u64, ..Refusals::default() };
    for (at, arrives, i) in events {
        let d = &decisions[i];
        let now = tick(at);
        if !arrives {
            if let Some(r) = held[i].take() {
                bucket.settle(r, d.reserved.saturating_sub(d.used), now);
            }
        } else if d.limited {
            out.refused += 1;
            out.wrongful += u64::from(bucket.available(now) >= d.reserved);
        } else {
            held[i] = bucket.take(d.reserved, now);
            if held[i].is_none() {
                // The order of arrivals differs a little between the hosts.
                bucket.remove(d.reserved, now);
            }
        }
    }
    out.share = out.wrongful as f64 / out.requests.max(1) as f64;
    out
}
