//! The promises of the users' pages, checked on what callers and replicas saw.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Time after which a withdrawn key must not work: the bound in the hosts' settings.
pub const REVOKE_LIMIT: Duration = Duration::from_millis(2000);

/// Shortest time between the orders of two holders: the bound in the hosts' settings.
pub const LEASE_DURATION: Duration = Duration::from_millis(500);

/// Time after which a leaving replica must get no request.
pub const DRAIN_LIMIT: Duration = Duration::from_millis(2000);

/// Window of the users' check of limits, and what they allow beyond the limit.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
const QUOTA_OVERAGE: f64 = 1.25;

/// Units beyond the limit that the hosts' settings allow.
pub const QUOTA_SLACK_UNITS: f64 = 1000.0;

/// What a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Once,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// What may be repeated.
    pub kind: Idempotency,
    /// Key that was sent.
    pub key: String,
    /// Account that holds the key.
    pub account: String,
    /// When it was sent.
    pub sent: Instant,
    /// Status, none without an answer.
    pub status: Option<u16>,
    /// Whether the answer came to its end.
    pub finished: bool,
    /// Id in the answer.
    pub response_id: String,
    /// Signature of the replica.
    pub seal: String,
    /// Body.
    pub body: String,
    /// Body that a replica sends for this request.
    pub expected: String,
}

impl SentRequest {
    /// Whether it was answered with a complete success.
    pub fn is_complete(&self) -> bool {
        self.finished && self.status.is_some_and(|s| (200..300).contains(&s))
    }
}

/// A request as a replica saw it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The replica.
    pub replica: String,
    /// Its id.
    pub id: String,
    /// When it came.
    pub at: Instant,
    /// Whether it began to run.
    pub ran: bool,
    /// Account that the host named.
    pub account: String,
    /// Whether a key came with it.
    pub has_key: bool,
    /// Units that it counts.
    pub units: f64,
}

/// An order that a replica got.
#[derive(Clone, Debug)]
pub struct Order {
    /// The replica.
    pub replica: String,
    /// Who gave it.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// When it came.
    pub at: Instant,
}

/// Everything that the judge sees.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of all callers.
    pub requests: Vec<SentRequest>,
    /// Requests at all replicas.
    pub received: Vec<ReceivedRequest>,
    /// Orders at all replicas, in order of their arrival there.
    pub orders: Vec<Order>,
    /// When keys were withdrawn.
    pub revoked: HashMap<String, Instant>,
    /// When replicas began to leave, as the store acknowledged it.
    pub leaving: HashMap<String, Instant>,
    /// Limits of accounts, in units per second.
    pub limits: BTreeMap<String, f64>,
    /// Spans in which the store or hosts were disturbed, so that bounds in time do not hold.
    pub disturbances: Vec<(Instant, Instant)>,
    /// Engines that were ordered to load more than they have places for.
    pub over_capacity: Vec<String>,
    /// Configuration versions that each process put in force, in order.
    pub versions: Vec<Vec<u64>>,
    /// Processes that had to be killed after their grace time.
    pub hung: Vec<String>,
}

/// Time that a disturbance has to be over for bounds to hold.
const RECOVERY_TIME: Duration = Duration::from_millis(3000);

/// All broken promises.
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
    check_orders(h, &mut out);
    out.extend(h.over_capacity.iter().map(|r| format!("PLACES {r} was ordered beyond its places")));
    out.extend(h.hung.iter().map(|p| format!("STOP {p} did not end in its grace time")));
    for v in h.versions.iter().filter(|v| !v.is_sorted()) {
        out.push(format!("CONFIG went back: {v:?}"));
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
            "DRAIN {} reached {} {:?} late",
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
            (rate * QUOTA_WINDOW.as_secs_f64() + rate) * QUOTA_OVERAGE + QUOTA_SLACK_UNITS;
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
                out.push(format!("ONE token {} of {} after {}", o.fence, o.holder, p.fence));
            }
        }
    }
}
