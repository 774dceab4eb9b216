//! Prometheus metrics of a host in platform mode. `docs/METRICS.md` is their catalogue.

use std::time::Duration;

use prometheus::{Encoder, HistogramVec, IntCounterVec, IntGauge, Registry, TextEncoder};

use crate::metrics::{counter, gauge, histogram};

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    requests: IntCounterVec,
    /// Refusals by reason.
    refusals: IntCounterVec,
    /// Attempts by service and outcome.
    attempts: IntCounterVec,
    /// Streams that callers take up, by what told their origin and whether it did.
    take_ups: IntCounterVec,
    /// Time to the first event, or to the whole response of a plain service.
    first_event: HistogramVec,
    /// Time that requests wait for a load.
    load_waits: HistogramVec,
    /// Longest time for which messages of peers may have waited, by kind.
    message_waits: HistogramVec,
    /// Orders by verb and result.
    orders: IntCounterVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Whether the newest configuration could not be decoded.
    pub config_unread: IntGauge,
    /// Parts of the configuration in force that could not be understood and are closed.
    pub closed_parts: IntGauge,
    /// Peers whose digests arrived recently.
    pub peers: IntGauge,
    /// Replicas that may receive requests.
    pub replicas: IntGauge,
    /// Prompt blocks that are held back.
    pub held_blocks: IntGauge,
    /// Era of the store; rises with each restore.
    pub store_era: IntGauge,
    /// Age of the last read of the configuration, in ms; -1 before the first one.
    pub config_age: IntGauge,
}

impl Metrics {
    /// Registers all metrics, each at zero.
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            requests: counter(
                &r,
                "front_requests_total",
                "Requests by route and outcome.",
                &["route", "outcome"],
            ),
            refusals: counter(&r, "front_refusals_total", "Refusals by reason.", &["reason"]),
            attempts: counter(
                &r,
                "front_attempts_total",
                "Requests sent to replicas by service and outcome.",
                &["service", "outcome"],
            ),
            take_ups: counter(
                &r,
                "front_take_ups_total",
                "Streams that callers take up, by source and whether their origin is known.",
                &["source", "known"],
            ),
            first_event: histogram(
                &r,
                "front_first_seconds",
                "Time to the first event or the whole answer, in seconds.",
                "route",
            ),
            load_waits: histogram(
                &r,
                "front_stall_seconds",
                "Wait for a load, in seconds.",
                "service",
            ),
            message_waits: histogram(
                &r,
                "front_message_wait_seconds",
                "Longest time for which a message of a peer may have waited, in seconds.",
                "message",
            ),
            orders: counter(
                &r,
                "front_orders_total",
                "Orders by verb and answer.",
                &["verb", "answer"],
            ),
            config_version: gauge(&r, "front_config_version", "Configuration version in force."),
            config_unread: gauge(
                &r,
                "front_config_unread",
                "Whether the newest configuration could not be decoded.",
            ),
            closed_parts: gauge(
                &r,
                "front_config_closed_parts",
                "Parts of the configuration that could not be understood and are closed.",
            ),
            peers: gauge(&r, "front_peers", "Peers that were heard lately."),
            replicas: gauge(&r, "front_replicas", "Replicas that may get work."),
            held_blocks: gauge(&r, "front_held_blocks", "Prompt blocks that are held back."),
            store_era: gauge(&r, "front_store_era", "Era of the store; rises with each restore."),
            config_age: gauge(
                &r,
                "front_config_age_ms",
                "Age of the last read of the configuration.",
            ),
            registry: r,
        }
    }

    /// Counts a request that ended with `outcome`.
    pub fn request(&self, route: &str, outcome: &str) {
        self.requests.with_label_values(&[route, outcome]).inc();
    }

    /// Counts a refused request.
    pub fn refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt at a replica that ended with `outcome`.
    pub fn attempt(&self, service: &str, outcome: &str) {
        self.attempts.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a stream that its caller takes up.
    pub fn take_up(&self, source: &str, known: bool) {
        self.take_ups.with_label_values(&[source, if known { "yes" } else { "no" }]).inc();
    }

    /// Records the time to the first event or to the whole response.
    pub fn first_event(&self, route: &str, d: Duration) {
        self.first_event.with_label_values(&[route]).observe(d.as_secs_f64());
    }

    /// Records for how long a message of a peer may have waited.
    pub fn message_wait(&self, message: &str, d: Duration) {
        self.message_waits.with_label_values(&[message]).observe(d.as_secs_f64());
    }

    /// Records the time that a request waited for a load.
    pub fn load_wait(&self, service: &str, d: Duration) {
        self.load_waits.with_label_values(&[service]).observe(d.as_secs_f64());
    }

    /// Counts an order that was answered.
    pub fn order(&self, verb: &str, answer: &str) {
        self.orders.with_label_values(&[verb, answer]).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        // Encoding into a vector fails only for a metric without a type, which the Rust types
        // exclude.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}
