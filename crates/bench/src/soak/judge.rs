//! The promises of the users' pages, checked on what callers and replicas saw.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Time after which a withdrawn key must not work: the bound in the hosts' settings.
pub const REVOKE: Duration = Duration::from_millis(2000);

/// Shortest time between the orders of two holders: the bound in the hosts' settings.
pub const LEASE: Duration = Duration::from_millis(500);

/// Time after which a leaving replica must get no request.
pub const DRAIN: Duration = Duration::from_millis(2000);

/// Window of the users' check of limits, and what they allow beyond the limit.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 1.25;

/// Units beyond the limit that the hosts' settings allow.
pub const SLACK: f64 = 1000.0;

/// What a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Once,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Key that was sent.
    pub key: String,
    /// Account that holds the key.
    pub account: String,
    /// When it was sent.
    pub sent: Instant,
    /// Status, none without an answer.
    pub status: Option<u16>,
    /// Whether the answer came to its end.
    pub whole: bool,
    /// Id in the answer.
    pub echoed: String,
    /// Signature of the replica.
    pub seal: String,
    /// Body.
    pub body: String,
    /// Body that a replica sends for this request.
    pub expected: String,
}

impl Request {
    /// Whether it was answered with a complete success.
    pub fn complete(&self) -> bool {
        self.whole && self.status.is_some_and(|s| (200..300).contains(&s))
    }
}

/// A request as a replica saw it.
#[derive(Clone, Debug)]
pub struct Run {
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
    pub key: bool,
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
    pub requests: Vec<Request>,
    /// Requests at all replicas.
    pub runs: Vec<Run>,
    /// Orders at all replicas, in order of their arrival there.
    pub orders: Vec<Order>,
    /// When keys were withdrawn.
    pub withdrawn: HashMap<String, Instant>,
    /// When replicas began to leave, as the store acknowledged it.
    pub left: HashMap<String, Instant>,
    /// Limits of accounts, in units per second.
    pub limits: BTreeMap<String, f64>,
    /// Spans in which the store or hosts were disturbed, so that bounds in time do not hold.
    pub disturbed: Vec<(Instant, Instant)>,
    /// Engines that were ordered to load more than they have places for.
    pub overfull: Vec<String>,
    /// Configuration versions that each process put in force, in order.
    pub versions: Vec<Vec<u64>>,
    /// Processes that had to be killed after their grace time.
    pub hung: Vec<String>,
}

/// Time that a disturbance has to be over for bounds to hold.
const TOUCH: Duration = Duration::from_millis(3000);

/// All broken promises.
pub fn judge(h: &History) -> Vec<String> {
    let mut out = Vec::new();
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for r in &h.runs {
        runs.entry(&r.id).or_default().push(r);
    }
    for r in &h.requests {
        let seen = runs.get(r.id.as_str()).map_or(&[][..], Vec::as_slice);
        request(h, r, seen, &mut out);
    }
    let sent: HashMap<&str, &Request> = h.requests.iter().map(|r| (r.id.as_str(), r)).collect();
    for run in &h.runs {
        if run.key {
            out.push(format!("KEY {} reached {}", run.id, run.replica));
        }
        match sent.get(run.id.as_str()) {
            None => out.push(format!("UNASKED {} ran at {}", run.id, run.replica)),
            Some(r) if run.ran && run.account != r.account => {
                out.push(format!("ACCOUNT {} ran for {}, not {}", run.id, run.account, r.account));
            }
            Some(_) => {}
        }
        leaving(h, run, &mut out);
    }
    limits(h, &mut out);
    orders(h, &mut out);
    out.extend(h.overfull.iter().map(|r| format!("PLACES {r} was ordered beyond its places")));
    out.extend(h.hung.iter().map(|p| format!("STOP {p} did not end in its grace time")));
    for v in h.versions.iter().filter(|v| !v.is_sorted()) {
        out.push(format!("CONFIG went back: {v:?}"));
    }
    out
}

fn request(h: &History, r: &Request, seen: &[&Run], out: &mut Vec<String>) {
    let ran = seen.iter().filter(|s| s.ran).count();
    if r.kind == Kind::Once && ran > 1 {
        out.push(format!("TWICE {} ran {ran} times", r.id));
    }
    let promised = matches!(r.status, Some(408 | 421 | 429 | 503));
    if r.kind == Kind::Once && promised && ran > 0 {
        out.push(format!("REFUSED {} was answered {:?} and ran", r.id, r.status));
    }
    if r.complete()
        && (r.echoed != r.id || r.body != r.expected || r.seal != format!("seal-{}", r.id))
    {
        out.push(format!("MIXED {} got {:?} of {:?}", r.id, r.body, r.echoed));
    }
    if let Some(t) = h.withdrawn.get(&r.key)
        && r.sent > *t + REVOKE
        && ran > 0
    {
        out.push(format!("REVOKED {} ran {:?} after its key was withdrawn", r.id, r.sent - *t));
    }
}

fn leaving(h: &History, run: &Run, out: &mut Vec<String>) {
    let Some(left) = h.left.get(&run.replica) else { return };
    let touched = |t: Instant| h.disturbed.iter().any(|(a, b)| *a <= t && *left <= *b + TOUCH);
    if run.ran && run.at > *left + DRAIN && !touched(run.at) {
        out.push(format!("DRAIN {} reached {} {:?} late", run.id, run.replica, run.at - *left));
    }
}

fn limits(h: &History, out: &mut Vec<String>) {
    for (account, rate) in h.limits.iter().filter(|(_, r)| **r > 0.0) {
        let mut mine: Vec<_> = h
            .runs
            .iter()
            .filter(|r| r.ran && r.account == *account)
            .map(|r| (r.at, r.units))
            .collect();
        mine.sort_by_key(|(t, _)| *t);
        let most = (rate * WINDOW.as_secs_f64() + rate) * OVERAGE + SLACK;
        for (start, _) in &mine {
            let span = mine.iter().filter(|(t, _)| t >= start && *t < *start + WINDOW);
            let sum: f64 = span.map(|(_, u)| u).sum();
            if sum > most {
                out.push(format!("QUOTA {account} got {sum} in a window, allowed {most}"));
                break;
            }
        }
    }
}

fn orders(h: &History, out: &mut Vec<String>) {
    let mut last: HashMap<&str, &Order> = HashMap::new();
    for o in &h.orders {
        if let Some(p) = last.insert(&o.replica, o) {
            if p.holder != o.holder && o.at - p.at < LEASE {
                out.push(format!("ONE {} and {} ordered {}", p.holder, o.holder, o.replica));
            }
            if o.fence < p.fence || (o.fence == p.fence && o.holder != p.holder) {
                out.push(format!("ONE token {} of {} after {}", o.fence, o.holder, p.fence));
            }
        }
    }
}
