//! Baselines: simulates simpler schemes on the arrivals of a run, for comparison.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};

use yuccawing_core::{
    bucket::{Bucket, Limits as Rate, Reservation},
    time::Tick,
};

use crate::{
    checker::AccountLimits,
    metrics::{Decision, Sample, check_refusals, summarise_waits},
    results::{LoadStalls, Refusals},
};

/// Simulates static limits: `buckets` token buckets, each with an equal share of rate and burst, of
/// which `pick` chooses one for each request. All are empty at `span.0`; refusals are counted from
/// `span.1` on.
pub fn split_refusals<'a>(
    samples: impl Iterator<Item = &'a Sample>,
    l: AccountLimits,
    span: (u64, u64),
    buckets: u64,
    pick: impl Fn(&Sample) -> usize,
) -> Refusals {
    let part = Rate { rate: l.rate / buckets, burst: l.burst / buckets };
    let mut all: Vec<Bucket> = (0..buckets).map(|_| Bucket::new(part, Tick(0))).collect();
    let mut own: Vec<&Sample> = samples.collect();
    own.sort_by_key(|s| s.outcome.sent_us);
    let mut open: BTreeMap<(u64, usize), (usize, Reservation, u64)> = BTreeMap::new();
    let mut decisions = Vec::new();
    for (i, s) in own.iter().enumerate() {
        let at = s.outcome.sent_us;
        let now = |us: u64| Tick(us.saturating_sub(span.0));
        while let Some(e) = open.first_entry().filter(|e| e.key().0 <= at) {
            let ((end, _), (b, r, unused)) = e.remove_entry();
            all[b].settle(r, unused, now(end));
        }
        let b = pick(s) % all.len();
        let taken = all[b].take(s.reserved(), now(at));
        // For a request that the fleet refused, this is the time of the refusal: it holds its
        // tokens for almost no time.
        let end_us = s.outcome.end_us;
        if let Some(r) = taken {
            open.insert((end_us, i), (b, r, s.reserved() - s.used()));
        }
        let limited = taken.is_none();
        let (reserved, used) = (s.reserved(), s.used());
        decisions.push(Decision { at_us: at, end_us, reserved, used, limited });
    }
    check_refusals(&decisions, l, span).refusals
}

/// Capacity of the engines and of the weight store for a simulated placement.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of engines.
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots: usize,
    /// Loads per second that the weight store allows.
    pub rate: u64,
    /// Duration of a load in microseconds.
    pub load_us: u64,
}

/// Simulates least-loaded routing with LRU eviction and returns its load stalls. Each request goes
/// to the engine with the fewest requests in flight, which loads the adapter if it is not resident
/// and evicts the least recently used one. Loads are delayed by the rate limit of the weight store.
pub fn lru_stalls(samples: &[Sample], size: FleetSize, from_us: u64) -> LoadStalls {
    let mut resident: Vec<HashMap<(usize, usize), u64>> = vec![HashMap::new(); size.engines];
    let mut busy: Vec<Vec<u64>> = vec![Vec::new(); size.engines];
    let mut next_load = 0u64;
    let (mut waits, mut loads, mut served) = (Vec::new(), 0, 0);
    for s in served_in_order(samples) {
        let at = s.outcome.sent_us;
        for b in &mut busy {
            b.retain(|end| *end > at);
        }
        let Some(e) =
            (0..size.engines).min_by_key(|e| (busy[*e].len(), (e + served) % size.engines))
        else {
            break;
        };
        served += 1;
        let name = (s.arrival.adapter, s.arrival.version);
        let mut start = at;
        if !resident[e].contains_key(&name) {
            if resident[e].len() >= size.slots
                && let Some(old) = resident[e].iter().min_by_key(|r| *r.1).map(|r| *r.0)
            {
                resident[e].remove(&old);
            }
            next_load = next_load.max(at) + 1_000_000 / size.rate.max(1);
            start = next_load.max(at) + size.load_us;
            if at >= from_us {
                loads += 1;
                waits.push(start - at);
            }
        }
        resident[e].insert(name, at);
        let span = s.outcome.end_us.saturating_sub(s.outcome.first_us.unwrap_or(at));
        busy[e].push(start + span);
    }
    summarise_waits(waits, served as u64, loads)
}

/// Counts the loads of the optimal offline placement (Belady) that knows all arrivals and pools all
/// slots: on a miss it evicts the adapter whose next use is farthest away. No placement that loads
/// on demand needs fewer.
pub fn clairvoyant_loads(samples: &[Sample], size: FleetSize, from_us: u64) -> u64 {
    let all = served_in_order(samples);
    let name = |s: &Sample| (s.arrival.adapter, s.arrival.version);
    let mut next = vec![usize::MAX; all.len()];
    let mut last: HashMap<(usize, usize), usize> = HashMap::new();
    for (i, s) in all.iter().enumerate().rev() {
        next[i] = last.insert(name(s), i).unwrap_or(usize::MAX);
    }
    let mut resident: HashMap<(usize, usize), usize> = HashMap::new();
    let mut loads = 0;
    for (i, s) in all.iter().enumerate() {
        if !resident.contains_key(&name(s)) {
            if resident.len() >= size.engines * size.slots
                && let Some(far) = resident.iter().max_by_key(|r| *r.1).map(|r| *r.0)
            {
                resident.remove(&far);
            }
            loads += u64::from(s.outcome.sent_us >= from_us);
        }
        resident.insert(name(s), next[i]);
    }
    loads
}

/// Returns the served completions in the order in which they were sent.
fn served_in_order(samples: &[Sample]) -> Vec<&Sample> {
    let served = |s: &&Sample| s.arrival.plain.is_none() && s.outcome.is_ok();
    let mut all: Vec<_> = samples.iter().filter(served).collect();
    all.sort_by_key(|s| s.outcome.sent_us);
    all
}
