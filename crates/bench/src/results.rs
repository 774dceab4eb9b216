//! Result of an experiment, written as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::Usage;

/// Result of one run. `docs/bench.md` defines the metrics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Results {
    /// Name of the scenario.
    pub scenario: String,
    /// What it shows.
    pub note: String,
    /// Seed.
    pub seed: u64,
    /// Whether the daemons were built without optimisation.
    pub debug_build: bool,
    /// Seconds measured.
    pub duration_s: u64,
    /// Requests for completions by their end.
    pub requests: RequestCounts,
    /// Calls to plain services by their end.
    pub calls: RequestCounts,
    /// The four metrics.
    pub metrics: Metrics,
    /// Each account.
    pub accounts: BTreeMap<String, AccountResult>,
    /// Latency of served requests, by class.
    pub latency: BTreeMap<String, Latency>,
    /// Wrongful refusals of other schemes on the same arrivals.
    pub baselines: Baselines,
    /// What happened in each second.
    pub timeline: Vec<Second>,
    /// Faults as they were carried out, in seconds after the start of measuring.
    pub faults: Vec<(f64, String)>,
    /// Number of violations by guarantee.
    pub violations: BTreeMap<String, usize>,
    /// The first violations.
    pub examples: Vec<String>,
    /// Refusals and failures by code.
    pub codes: BTreeMap<String, u64>,
    /// Use of the machine by host.
    pub usage: BTreeMap<String, Usage>,
}

/// Requests by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Sent in the measured time.
    pub sent: u64,
    /// Answered completely.
    pub served: u64,
    /// Refused with `not_run`.
    pub refused: u64,
    /// Anything else.
    pub failed: u64,
    /// Not sent, because too many were in flight.
    pub dropped: u64,
}

/// The four metrics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Metrics {
    /// Load stalls.
    pub stalls: LoadStalls,
    /// Batch efficiency, 0 to 1; none if no work waited.
    pub batch: Option<BatchEfficiency>,
    /// Worst-served account.
    pub worst: Option<WorstAccount>,
    /// Wrongful refusals.
    pub refusals: Refusals,
}

/// Requests that waited for a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStalls {
    /// How many.
    pub count: u64,
    /// Median wait in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the wait in milliseconds.
    pub p99_ms: f64,
    /// Seconds of waiting per 1,000 served requests.
    pub seconds_per_1000: f64,
    /// Loads that engines began in the measured time.
    pub loads: u64,
}

/// Use of the engines' batches while work waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchEfficiency {
    /// Slots used divided by slots available.
    pub efficiency: f64,
    /// Seconds in which work waited.
    pub waiting_s: f64,
}

/// The account that was served worst.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorstAccount {
    /// Its name.
    pub account: String,
    /// Served tokens divided by the smaller of offered and allowed tokens.
    pub served: f64,
    /// Its 99th percentile of the time to the first token divided by the median account's.
    pub first_p99: f64,
}

/// Refusals for a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Refusals {
    /// Requests sent in the measured time.
    pub requests: u64,
    /// Refused for a limit.
    pub refused: u64,
    /// Of these, refused while the reference bucket had room.
    pub wrongful: u64,
    /// Wrongful refusals divided by requests.
    pub share: f64,
}

/// What an account received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountResult {
    /// Requests for completions sent.
    pub sent: u64,
    /// Requests served.
    pub served: u64,
    /// Tokens offered, prompt and answer.
    pub offered: u64,
    /// Tokens allowed: rate x time + burst.
    pub allowed: u64,
    /// Tokens received, prompt and answer.
    pub received: u64,
    /// Received divided by the smaller of offered and allowed.
    pub ratio: f64,
    /// 99th percentile of the time to the first token in milliseconds.
    pub first_p99_ms: f64,
    /// Refusals for a limit.
    pub refusals: Refusals,
}

/// Latency of served requests in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Requests.
    pub count: u64,
    /// Time to the first token: pairs of percentile and milliseconds.
    pub first: Vec<(f64, f64)>,
    /// Time to the end: pairs of percentile and milliseconds.
    pub total: Vec<(f64, f64)>,
}

/// Wrongful refusals of simple schemes, and stalls of simple placements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baselines {
    /// Each host holds a fixed part of rate and burst.
    pub equal_split: Refusals,
    /// One host holds each account's whole rate and burst.
    pub home_host: Refusals,
    /// Load stalls of least-loaded routing with LRU eviction.
    pub lru: LoadStalls,
    /// Loads that a clairvoyant placement over all slots needs.
    pub clairvoyant_loads: u64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended complete.
    pub served: u64,
    /// Refused for a limit.
    pub limited: u64,
    /// Of the requests sent, those that were wrongfully refused for a limit.
    #[serde(default)]
    pub wrongful: u64,
    /// Refused for another reason.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Tokens of answers that ended.
    pub tokens: u64,
}
