//! Checker of a soak: finds violated guarantees in what callers and replicas recorded.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::{Duration, Instant},
};

use super::limits::{self, NamedLimit};

/// Time after which a revoked key must be refused: `revoke_ms` of the hosts' settings.
pub const REVOKE_LIMIT: Duration = Duration::from_millis(2000);

/// Shortest time between orders of two different holders: `lease_ms` of the hosts' settings.
pub const LEASE_DURATION: Duration = Duration::from_millis(500);

/// Time after which a leaving replica must receive no new request: the default of `drain_ms` in the
/// hosts' settings.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(2000);

/// Window over which the platform operators' check of limits sums an account's units.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// Factor by which that check allows the units of a window to exceed the limit.
const QUOTA_OVERAGE_FACTOR: f64 = 1.25;

/// Units by which a window may exceed the limit, in addition to that factor: `quota_slack` of the
/// hosts' settings.
pub const QUOTA_SLACK_UNITS: f64 = 1000.0;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run more than once.
    Safe,
    /// Must run at most once.
    Once,
}

/// A request and its response as the caller recorded them.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Request id, unique in the soak.
    pub id: String,
    /// Whether the request may run more than once.
    pub kind: Idempotency,
    /// Address of the host that it was sent to; `None` without a connection.
    pub host: Option<IpAddr>,
    /// Key sent with the request.
    pub key: String,
    /// Account that the key belongs to.
    pub account: String,
    /// Time at which sending began.
    pub sent: Instant,
    /// HTTP status; `None` if no response arrived.
    pub status: Option<u16>,
    /// Whether the response body was received to its end.
    pub finished: bool,
    /// Request id in the response headers.
    pub response_id: String,
    /// Seal in the response headers, by which the replica identifies the request it answered.
    pub seal: String,
    /// Response body as received.
    pub body: String,
    /// Complete body that a replica sends for this request.
    pub expected: String,
}

impl SentRequest {
    /// Whether a successful response was received to its end.
    pub fn is_complete(&self) -> bool {
        self.finished && self.status.is_some_and(|s| (200..300).contains(&s))
    }
}

/// A request as a replica recorded it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Id of the replica.
    pub replica: String,
    /// Request id.
    pub id: String,
    /// Time of arrival at the replica.
    pub at: Instant,
    /// Whether the replica began to execute it.
    pub ran: bool,
    /// Account in the header that the host set.
    pub account: String,
    /// Whether the caller's key was forwarded with it, which must not happen.
    pub has_key: bool,
    /// Units that it counts toward the account's limit.
    pub units: f64,
}

/// An order that a replica received from the host that owns it.
#[derive(Clone, Debug)]
pub struct Order {
    /// Id of the replica.
    pub replica: String,
    /// Host that gave the order.
    pub holder: String,
    /// Fencing token; must not decrease at a replica.
    pub fence: u64,
    /// Time of arrival at the replica.
    pub at: Instant,
}

/// Everything that the checker knows of a soak.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests that callers sent.
    pub requests: Vec<SentRequest>,
    /// Requests that replicas received.
    pub received: Vec<ReceivedRequest>,
    /// Orders that replicas received; those of one replica in order of arrival.
    pub orders: Vec<Order>,
    /// Time at which each revoked key was revoked.
    pub revoked: HashMap<String, Instant>,
    /// Time at which the store acknowledged that a replica is leaving, by replica.
    pub leaving: HashMap<String, Instant>,
    /// Limits of accounts in units per second; 0 means no limit.
    pub limits: BTreeMap<String, f64>,
    /// Start and end of faults of the store, of links or of hosts, during which time limits do not
    /// apply.
    pub disturbances: Vec<(Instant, Instant)>,
    /// Host, start and end of faults of single hosts and of their links.
    pub host_faults: Vec<(IpAddr, Instant, Instant)>,
    /// Limits that replicas named.
    pub named_limits: Vec<NamedLimit>,
    /// Engines that were ordered to load more adapters than they have slots, with the order.
    pub over_capacity: Vec<String>,
    /// Configuration versions that each host process applied, in order.
    pub versions: Vec<Vec<u64>>,
    /// Processes that did not exit after SIGTERM and were killed.
    pub hung: Vec<String>,
}

/// Time after the end of a disturbance at which time limits apply again.
pub(super) const RECOVERY_TIME: Duration = Duration::from_millis(3000);

/// Returns all violations; each begins with a code word such as `TWICE`.
pub fn check(h: &History) -> Vec<String> {
    let mut out = Vec::new();
    let mut received: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
    for r in &h.received {
        received.entry(&r.id).or_default().push(r);
    }
    for r in &h.requests {
        let received = received.get(r.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_request(h, r, received, &mut out);
    }
    let sent: HashMap<&str, &SentRequest> = h.requests.iter().map(|r| (r.id.as_str(), r)).collect();
    for run in &h.received {
        if run.has_key {
            out.push(format!("KEY {} reached {}", run.id, run.replica));
        }
        match sent.get(run.id.as_str()) {
            None => out.push(format!("UNASKED {} ran at {}", run.id, run.replica)),
            Some(r) if run.ran && run.account != r.account => {
                out.push(format!("ACCOUNT {} ran for {}, not {}", run.id, run.account, r.account));
            }
            Some(_) => {}
        }
        check_leaving(h, run, &mut out);
    }
    check_limits(h, &mut out);
    limits::check(h, &mut out);
    check_orders(h, &mut out);
    out.extend(h.over_capacity.iter().map(|r| format!("PLACES no slot is free at {r}")));
    out.extend(h.hung.iter().map(|p| format!("STOP {p} did not exit within its grace period")));
    for v in h.versions.iter().filter(|v| !v.is_sorted()) {
        out.push(format!("CONFIG applied an older version: {v:?}"));
    }
    out
}

fn check_request(
    h: &History,
    r: &SentRequest,
    received: &[&ReceivedRequest],
    out: &mut Vec<String>,
) {
    let ran = received.iter().filter(|s| s.ran).count();
    if r.kind == Idempotency::Once && ran > 1 {
        out.push(format!("TWICE {} ran {ran} times", r.id));
    }
    let is_refusal = matches!(r.status, Some(408 | 421 | 429 | 503));
    if r.kind == Idempotency::Once && is_refusal && ran > 0 {
        out.push(format!("REFUSED {} was answered {:?} and ran", r.id, r.status));
    }
    if r.is_complete()
        && (r.response_id != r.id || r.body != r.expected || r.seal != format!("seal-{}", r.id))
    {
        out.push(format!("MIXED {} got {:?} of {:?}", r.id, r.body, r.response_id));
    }
    if let Some(t) = h.revoked.get(&r.key)
        && r.sent > *t + REVOKE_LIMIT
        && ran > 0
    {
        out.push(format!("REVOKED {} ran {:?} after its key was withdrawn", r.id, r.sent - *t));
    }
}

fn check_leaving(h: &History, run: &ReceivedRequest, out: &mut Vec<String>) {
    let Some(leaving_since) = h.leaving.get(&run.replica) else { return };
    let is_disturbed = |t: Instant| {
        h.disturbances.iter().any(|(a, b)| *a <= t && *leaving_since <= *b + RECOVERY_TIME)
    };
    if run.ran && run.at > *leaving_since + DRAIN_LIMIT && !is_disturbed(run.at) {
        out.push(format!(
            "DRAIN {} reached {} {:?} after it began to leave",
            run.id,
            run.replica,
            run.at - *leaving_since
        ));
    }
}

fn check_limits(h: &History, out: &mut Vec<String>) {
    for (account, rate) in h.limits.iter().filter(|(_, r)| **r > 0.0) {
        let mut executed: Vec<_> = h
            .received
            .iter()
            .filter(|r| r.ran && r.account == *account)
            .map(|r| (r.at, r.units))
            .collect();
        executed.sort_by_key(|(t, _)| *t);
        let allowed =
            (rate * QUOTA_WINDOW.as_secs_f64() + rate) * QUOTA_OVERAGE_FACTOR + QUOTA_SLACK_UNITS;
        for (start, _) in &executed {
            let span = executed.iter().filter(|(t, _)| t >= start && *t < *start + QUOTA_WINDOW);
            let sum: f64 = span.map(|(_, u)| u).sum();
            if sum > allowed {
                out.push(format!("QUOTA {account} got {sum} in a window, allowed {allowed}"));
                break;
            }
        }
    }
}

fn check_orders(h: &History, out: &mut Vec<String>) {
    let mut last: HashMap<&str, &Order> = HashMap::new();
    for o in &h.orders {
        if let Some(p) = last.insert(&o.replica, o) {
            if p.holder != o.holder && o.at - p.at < LEASE_DURATION {
                out.push(format!("ONE {} and {} ordered {}", p.holder, o.holder, o.replica));
            }
            if o.fence < p.fence || (o.fence == p.fence && o.holder != p.holder) {
                out.push(format!(
                    "ONE fencing token {} of {} after {}",
                    o.fence, o.holder, p.fence
                ));
            }
        }
    }
}
