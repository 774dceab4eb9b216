//! Prometheus metrics of a host. `docs/METRICS.md` lists all of them.
//!
//! Adapter names are never labels: with the 21,000 adapters of a large deployment, the number of
//! time series would have no useful bound.

#[cfg(test)]
mod tests;

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
    core::Collector,
};
use yuccawing_core::rules::Class;

use crate::control::messages::ErrorCode;

/// Upper bounds of the histogram buckets. They are dense around the latency objectives of 0.25 s
/// and 0.49 s.
const BUCKETS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.18, 0.25, 0.35, 0.49, 0.7, 1.0, 1.5, 2.5, 5.0, 10.0,
    30.0, 60.0, 120.0,
];

/// Value of the label `account` for requests on open routes or with an invalid key.
pub const NO_ACCOUNT: &str = "-";

/// Value of the label `outcome`: how a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete.
    Ok,
    /// Refused, and not executed.
    Refused,
    /// Failed after it was sent to an upstream.
    Failed,
    /// The caller closed the connection.
    Cancelled,
}

impl RequestOutcome {
    /// Value in labels and log fields.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    first_token: HistogramVec,
    status: HistogramVec,
    refusals: IntCounterVec,
    load_waits: IntCounterVec,
    /// 1 while this host holds its lease.
    pub lease_held: IntGauge,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Peers that are alive.
    pub peers: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, each at zero.
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            requests: counter(
                &r,
                "requests_total",
                "Requests by outcome.",
                &["account", "class", "outcome"],
            ),
            first_token: histogram(
                &r,
                "first_token_seconds",
                "Time to the first token, in seconds.",
                "account",
            ),
            status: histogram(
                &r,
                "status_seconds",
                "Duration of status requests, in seconds.",
                "account",
            ),
            refusals: counter(&r, "refusals_total", "Refusals by reason.", &["account", "reason"]),
            load_waits: counter(
                &r,
                "load_stalls_total",
                "Requests that waited for a load.",
                &["account"],
            ),
            lease_held: gauge(&r, "lease_held", "1 while this host holds its lease."),
            config_version: gauge(&r, "config_version", "Configuration version in force."),
            peers: gauge(&r, "peers_alive", "Peers that are alive."),
            registry: r,
        }
    }

    /// Counts a request that ended with `outcome`.
    pub fn request(&self, account: &str, class: Class, outcome: RequestOutcome) {
        self.requests.with_label_values(&[account, class_label(class), outcome.label()]).inc();
    }

    /// Records the time from the arrival of a request to its first token.
    pub fn first_token(&self, account: &str, d: Duration) {
        self.first_token.with_label_values(&[account]).observe(d.as_secs_f64());
    }

    /// Records the duration of a request of the status class.
    pub fn status(&self, account: &str, d: Duration) {
        self.status.with_label_values(&[account]).observe(d.as_secs_f64());
    }

    /// Counts a refused request by its error code.
    pub fn refusal(&self, account: &str, code: ErrorCode) {
        self.refusals.with_label_values(&[account, code.name()]).inc();
    }

    /// Counts a request that waited for an adapter to be loaded.
    pub fn load_wait(&self, account: &str) {
        self.load_waits.with_label_values(&[account]).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        // Encoding into a vector fails only for a metric without a type, which a test excludes.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

/// Value of the label `class`.
pub fn class_label(class: Class) -> &'static str {
    match class {
        Class::Status => "status",
        Class::Interactive => "interactive",
        Class::Drafting => "drafting",
    }
}

fn register<C: Collector + Clone + 'static>(r: &Registry, c: prometheus::Result<C>) -> C {
    let c = c.expect("names and labels are valid");
    r.register(Box::new(c.clone())).expect("names are unique");
    c
}

pub(crate) fn counter(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(r, IntCounterVec::new(Opts::new(name, help).namespace("yuccawing"), labels))
}

pub(crate) fn histogram(r: &Registry, name: &str, help: &str, label: &str) -> HistogramVec {
    let opts =
        HistogramOpts::new(name, help).namespace("yuccawing").buckets(BUCKETS_SECONDS.to_vec());
    register(r, HistogramVec::new(opts, &[label]))
}

pub(crate) fn gauge(r: &Registry, name: &str, help: &str) -> IntGauge {
    register(r, IntGauge::with_opts(Opts::new(name, help).namespace("yuccawing")))
}
