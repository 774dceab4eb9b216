//! Burn rates of the error budgets of service-level objectives (SLOs), computed from metrics.
//!
//! The burn rate is the share of bad requests divided by the share that the objective allows. At a
//! burn rate of 1, the error budget of a period lasts exactly that period. An objective raises an
//! alert if its burn rate reaches a window's limit in that window and in the shortest window, so
//! that neither a short peak nor a fault that has ended raises one.

#[cfg(test)]
mod tests;
mod text;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use self::text::Series;
pub use self::text::{MAX_SERIES, Sample, TextError};
use crate::rules::Objectives;

/// Limits of the burn rate, as pairs of the longest window in seconds and its limit. Together with
/// [`LONG_WINDOW_LIMIT`] they spend 2% of a budget of 30 days in 1 hour, 5% in 6 hours and 10% in
/// 3 days.
pub const WINDOW_LIMITS: [(u64, f64); 2] = [(3_600, 14.4), (21_600, 6.0)];

/// Limit of the burn rate in windows longer than those of [`WINDOW_LIMITS`].
pub const LONG_WINDOW_LIMIT: f64 = 1.0;

/// Fewest bad requests in a window that raise an alert. Without this, a single bad request of a
/// small account would raise one.
pub const MIN_BAD_REQUESTS: f64 = 10.0;

/// Reasons of refusals that the caller is responsible for, because of its request, key, allowance
/// or ticket. They do not count as bad requests.
pub const CALLER_REASONS: [&str; 11] = [
    "bad_key",
    "bad_method",
    "bad_request",
    "not_found",
    "over_burst",
    "rate_limited",
    "slow_body",
    "ticket_needed",
    "ticket_spent",
    "ticket_unknown",
    "too_large",
];

const REQUESTS_METRIC: &str = "yuccawing_requests_total";
const REFUSALS_METRIC: &str = "yuccawing_refusals_total";
const STALLS_METRIC: &str = "yuccawing_load_stalls_total";
const FIRST_TOKEN_METRIC: &str = "yuccawing_first_token_seconds";
const STATUS_METRIC: &str = "yuccawing_status_seconds";

/// Service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The first token is in time.
    FirstToken,
    /// A status check is in time.
    Status,
    /// A request is not refused for a reason within the system.
    Refusal,
    /// A request does not wait for an adapter to be loaded.
    Stall,
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::FirstToken => "first_token",
            Self::Status => "status",
            Self::Refusal => "refusal",
            Self::Stall => "stall",
        })
    }
}

/// Numbers of requests in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Requests that miss the objective.
    pub bad: f64,
    /// All requests that the objective applies to.
    pub total: f64,
}

/// Time window that ends at the newest sample.
#[derive(Clone, Debug)]
pub struct Window {
    /// Length in seconds.
    pub seconds: u64,
    /// Sample from its start.
    pub from: Sample,
}

/// Burn rate over a window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Length of the window in seconds.
    pub seconds: u64,
    /// Requests in it.
    pub count: Count,
    /// Burn rate.
    pub rate: f64,
    /// Limit of the burn rate for this window.
    pub limit: f64,
}

/// Burn rates of one objective for one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Objective.
    pub objective: Objective,
    /// Account name, `None` for all accounts together.
    pub account: Option<ArcStr>,
    /// Burn rates, shortest window first.
    pub burns: Vec<Burn>,
    /// Whether it raises an alert.
    pub burning: bool,
}

/// Burn rates of all objectives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rows by objective and account; those without requests are omitted.
    pub rows: Vec<Row>,
    /// Hosts that are missing in the newest sample, whose last requests are not counted.
    pub missing: Vec<ArcStr>,
}

impl Report {
    /// Whether any row raises an alert.
    pub fn is_burning(&self) -> bool {
        self.rows.iter().any(|r| r.burning)
    }
}

type Key = (Objective, Option<ArcStr>);

/// Computes burn rates over `windows` that end at the sample `to`.
pub fn report(objectives: &Objectives, mut windows: Vec<Window>, to: &Sample) -> Report {
    windows.sort_by_key(|w| w.seconds);
    let shortest = windows.first().map_or(0, |w| w.seconds);
    let mut burns: BTreeMap<Key, Vec<Burn>> = BTreeMap::new();
    let mut missing = BTreeSet::new();
    for w in &windows {
        missing.extend(w.from.hosts().filter(|h| !to.hosts.contains_key(*h)).cloned());
        for (key, count) in counts(objectives, &w.from, to) {
            let allowed = f64::from(1_000_000 - ppm(objectives, key.0).min(999_999)) / 1e6;
            let rate = if count.total > 0.0 { count.bad / count.total / allowed } else { 0.0 };
            let burn = Burn { seconds: w.seconds, count, rate, limit: window_limit(w.seconds) };
            burns.entry(key).or_default().push(burn);
        }
    }
    let row = |((objective, account), burns): (Key, Vec<Burn>)| {
        let burning = is_burning(&burns, shortest);
        Row { objective, account, burns, burning }
    };
    Report { rows: burns.into_iter().map(row).collect(), missing: missing.into_iter().collect() }
}

/// Limit of the burn rate for a window of this length.
pub fn window_limit(seconds: u64) -> f64 {
    WINDOW_LIMITS.iter().find(|(s, _)| seconds <= *s).map_or(LONG_WINDOW_LIMIT, |(_, l)| *l)
}

fn is_burning(burns: &[Burn], shortest: u64) -> bool {
    let Some(short) = burns.first().filter(|b| b.seconds == shortest) else { return false };
    let above =
        |b: &&Burn| b.rate >= b.limit && b.count.bad >= MIN_BAD_REQUESTS && short.rate >= b.limit;
    burns.iter().any(|b| above(&b))
}

fn ppm(o: &Objectives, objective: Objective) -> u32 {
    match objective {
        Objective::FirstToken => o.first_ppm,
        Objective::Status => o.status_ppm,
        Objective::Refusal => o.refusal_ppm,
        Objective::Stall => o.stall_ppm,
    }
}

/// Counts the requests between two samples by objective and account.
fn counts(o: &Objectives, from: &Sample, to: &Sample) -> BTreeMap<Key, Count> {
    let grown = increase(from, to);
    let mut out = BTreeMap::new();
    count_histogram(&grown, FIRST_TOKEN_METRIC, o.first_ms, Objective::FirstToken, &mut out);
    count_histogram(&grown, STATUS_METRIC, o.status_ms, Objective::Status, &mut out);
    for (s, n) in &grown {
        match s.metric.as_str() {
            REQUESTS_METRIC => {
                add(&mut out, Objective::Refusal, s, 0.0, *n);
                add(&mut out, Objective::Stall, s, 0.0, *n);
            }
            REFUSALS_METRIC if is_system_refusal(s) => {
                add(&mut out, Objective::Refusal, s, *n, 0.0)
            }
            STALLS_METRIC => add(&mut out, Objective::Stall, s, *n, 0.0),
            _ => {}
        }
    }
    // The counters of several threads are not sampled at the same instant.
    for c in out.values_mut() {
        c.total = c.total.max(c.bad);
    }
    out.retain(|_, c| c.total > 0.0);
    out
}

fn is_system_refusal(s: &Series) -> bool {
    s.label("reason").is_none_or(|r| !CALLER_REASONS.contains(&r.as_str()))
}

fn add(out: &mut BTreeMap<Key, Count>, objective: Objective, s: &Series, bad: f64, total: f64) {
    for account in [None, s.label("account").cloned()].into_iter().collect::<BTreeSet<_>>() {
        let c = out.entry((objective, account)).or_default();
        c.bad += bad;
        c.total += total;
    }
}

/// Counts the requests of a histogram: those up to the highest bucket bound within `ms` are good.
fn count_histogram(
    grown: &BTreeMap<Series, f64>,
    metric: &str,
    ms: u64,
    objective: Objective,
    out: &mut BTreeMap<Key, Count>,
) {
    let buckets = || grown.iter().filter(|(s, _)| s.metric.strip_suffix("_bucket") == Some(metric));
    let bound = |s: &Series| s.label("le").and_then(|l| l.parse::<f64>().ok());
    // The rounding error of the conversion to seconds is far below the width of a bucket.
    let within = |b: &f64| *b <= ms as f64 / 1e3 + 1e-9;
    let best = buckets().filter_map(|(s, _)| bound(s)).filter(within).fold(0.0, f64::max);
    for (s, n) in buckets() {
        match bound(s) {
            Some(b) if b.is_infinite() => add(out, objective, s, *n, *n),
            Some(b) if b == best => add(out, objective, s, -*n, 0.0),
            _ => {}
        }
    }
    for ((o, _), c) in out.iter_mut() {
        if *o == objective {
            c.bad = c.bad.max(0.0);
        }
    }
}

/// Increase of each series, summed over all hosts. A counter below its earlier value was reset by a
/// restart, so its value is the increase; the same holds for hosts without an earlier sample.
fn increase(from: &Sample, to: &Sample) -> BTreeMap<Series, f64> {
    let mut out: BTreeMap<Series, f64> = BTreeMap::new();
    for (host, now) in &to.hosts {
        let before = from.hosts.get(host);
        for (s, n) in now {
            let b = before.and_then(|h| h.get(s)).copied().unwrap_or(0.0);
            *out.entry(s.clone()).or_default() += if *n < b { *n } else { n - b };
        }
    }
    out
}
