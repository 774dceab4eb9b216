//! Latency percentiles of served requests.

use hdrhistogram::Histogram;

use super::Sample;
use crate::results::Latency;

/// Largest value of the histograms: the longest deadline plus grace. Higher latencies are recorded
/// as this value.
const MAX_LATENCY_US: u64 = 200_000_000;

/// Percentiles in a result.
const PERCENTILES: &[f64] =
    &[1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9, 100.0];

/// Computes the latency percentiles of the served requests among `samples`.
pub fn latency<'a>(samples: impl Iterator<Item = &'a Sample>) -> Latency {
    let histogram =
        || Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("three digits are valid");
    let (mut first, mut total) = (histogram(), histogram());
    for o in samples.map(|s| &s.outcome).filter(|o| o.is_ok()) {
        let us = |at: u64| at.saturating_sub(o.sent_us).max(1);
        first.saturating_record(us(o.first_us.unwrap_or(o.end_us)));
        total.saturating_record(us(o.end_us));
    }
    let points = |h: &Histogram<u64>| {
        let at = |p: &f64| (*p, h.value_at_percentile(*p) as f64 / 1000.0);
        PERCENTILES.iter().map(at).collect()
    };
    Latency { count: total.len(), first: points(&first), total: points(&total) }
}

/// Returns a percentile of sorted values by the nearest-rank method, or 0 if there are none.
pub fn percentile(sorted: &[u64], p: f64) -> f64 {
    let rank = (p / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).map_or(0.0, |v| *v as f64)
}
