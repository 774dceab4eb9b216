//! Result of an experiment, as written to the JSON file that reports read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::Usage;

/// Result of one run. `docs/bench.md` defines the metrics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Results {
    /// Name of the scenario.
    pub scenario: String,
    /// What the scenario demonstrates.
    pub note: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether the daemons were built without optimisation.
    pub debug_build: bool,
    /// Length of the measurement in seconds.
    pub duration_s: u64,
    /// Completion requests by outcome.
    pub requests: RequestCounts,
    /// Calls to plain services by outcome.
    pub calls: RequestCounts,
    /// The four metrics that runs are compared by.
    pub metrics: Metrics,
    /// Results by account.
    pub accounts: BTreeMap<String, AccountResult>,
    /// Latency of served requests, by class.
    pub latency: BTreeMap<String, Latency>,
    /// Results of simpler schemes on the same arrivals.
    pub baselines: Baselines,
    /// Counts for each second of the measurement.
    pub timeline: Vec<Second>,
    /// Faults with the seconds after the start of the measurement at which they took effect.
    pub faults: Vec<(f64, String)>,
    /// Number of violations by guarantee.
    pub violations: BTreeMap<String, usize>,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
    /// Refusals and failures by code.
    pub codes: BTreeMap<String, u64>,
    /// CPU, memory and network use by host.
    pub usage: BTreeMap<String, Usage>,
}

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sent during the measurement.
    pub sent: u64,
    /// Answered completely.
    pub served: u64,
    /// Refused as `not_run`: surely not executed.
    pub refused: u64,
    /// Anything else.
    pub failed: u64,
    /// Not sent because too many requests were in flight.
    pub dropped: u64,
}

/// The four metrics that runs are compared by.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Metrics {
    /// Load stalls.
    pub stalls: LoadStalls,
    /// Batch efficiency; `None` if no request waited.
    pub batch: Option<BatchEfficiency>,
    /// Worst-served account.
    pub worst: Option<WorstAccount>,
    /// Wrongful refusals.
    pub refusals: Refusals,
}

/// Requests that waited for an adapter to be loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStalls {
    /// Number of such requests.
    pub count: u64,
    /// Median wait in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the wait in milliseconds.
    pub p99_ms: f64,
    /// Seconds of waiting per 1,000 served requests.
    pub seconds_per_1000: f64,
    /// Loads that engines began during the measurement.
    pub loads: u64,
}

/// Use of the engines' batch slots while requests waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchEfficiency {
    /// Slots used divided by slots available, 0 to 1.
    pub efficiency: f64,
    /// Seconds during which at least one request waited.
    pub waiting_s: f64,
}

/// Account with the lowest share of its due tokens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorstAccount {
    /// Name of the account.
    pub account: String,
    /// Served tokens divided by the smaller of offered and allowed tokens.
    pub served: f64,
    /// 99th percentile of its time to the first token, divided by the median account's.
    pub first_p99: f64,
}

/// Refusals because of an account's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Refusals {
    /// Requests sent during the measurement.
    pub requests: u64,
    /// Refused because of the rate limit.
    pub refused: u64,
    /// Of these, refused while a single bucket for the whole fleet had enough tokens.
    pub wrongful: u64,
    /// Wrongful refusals divided by requests.
    pub share: f64,
}

/// What an account offered and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountResult {
    /// Completion requests sent.
    pub sent: u64,
    /// Requests served.
    pub served: u64,
    /// Tokens of all requests sent, prompt and completion.
    pub offered: u64,
    /// Tokens that the limits allow: rate x time + burst.
    pub allowed: u64,
    /// Tokens of all requests served, prompt and completion.
    pub received: u64,
    /// `received` divided by the smaller of `offered` and `allowed`.
    pub ratio: f64,
    /// 99th percentile of the time to the first token in milliseconds.
    pub first_p99_ms: f64,
    /// Refusals because of the rate limit.
    pub refusals: Refusals,
}

/// Latency of served requests in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Number of requests.
    pub count: u64,
    /// Time to the first token: pairs of percentile and milliseconds.
    pub first: Vec<(f64, f64)>,
    /// Time to the last token: pairs of percentile and milliseconds.
    pub total: Vec<(f64, f64)>,
}

/// Results of simpler schemes on the same arrivals: refusals of static limits, and stalls and loads
/// of other placements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baselines {
    /// Each host enforces an equal, fixed share of rate and burst.
    pub equal_split: Refusals,
    /// One host enforces each account's whole rate and burst.
    pub home_host: Refusals,
    /// Load stalls with least-loaded routing and LRU eviction.
    pub lru: LoadStalls,
    /// Loads of an optimal offline placement over all slots, which knows the arrivals in advance.
    pub clairvoyant_loads: u64,
}

/// Counts for one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Requests that were served completely.
    pub served: u64,
    /// Refused because of the rate limit.
    pub limited: u64,
    /// Of the requests sent in this second, those wrongfully refused because of the rate limit.
    #[serde(default)]
    pub wrongful: u64,
    /// Refused for another reason.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Tokens of completions that ended.
    pub tokens: u64,
}
