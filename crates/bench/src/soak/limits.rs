//! Limits that replicas name during a soak, and the check that hosts keep them. They are drawn apart
//! from the other faults, which stay the same for a seed.

use std::time::{Duration, Instant};

use super::{
    Xorshift,
    fleet::SoakFleet,
    history::{History, RECOVERY_TIME, ReceivedRequest},
};

/// Time after which all hosts must keep a limit.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Window in which the platform operators count requests.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Factor by which they allow a window to exceed the limit.
const LIMIT_FACTOR: f64 = 1.5;

/// Requests by which a window may exceed it, in addition to that factor.
const LIMIT_SLACK: f64 = 5.0;

/// A limit that a replica names for a while.
#[derive(Clone, Debug)]
pub struct NamedLimit {
    /// Id of the replica.
    pub replica: String,
    /// Requests per second.
    pub rate: f64,
    /// Since when it is named, and until when.
    pub span: (Instant, Instant),
}

/// Lets one engine and one plain replica name a limit. Returns their indices.
pub fn start(fleet: &SoakFleet, seed: u64) -> Vec<(usize, f64, Instant)> {
    let mut rng = Xorshift::new(seed ^ 0x11b1);
    let mut out = Vec::new();
    for kind in ["e", "p"] {
        let all = fleet.replicas.iter().enumerate();
        let all: Vec<_> = all.filter(|(_, r)| r.spec.id.starts_with(kind)).collect();
        if let Some((i, r)) = all.get(rng.below(all.len())) {
            let rate = (1 + rng.below(12)) as f64 / 2.0;
            r.set_limit(Some(rate));
            out.push((*i, rate, Instant::now()));
        }
    }
    out
}

/// Ends the limits and records them.
pub fn end(fleet: &mut SoakFleet, named: Vec<(usize, f64, Instant)>) {
    for (i, rate, from) in named {
        let r = &fleet.replicas[i];
        r.set_limit(None);
        let replica = r.spec.id.clone();
        let span = (from, Instant::now());
        fleet.faults.named_limits.push(NamedLimit { replica, rate, span });
    }
}

/// Finds limits that the undisturbed hosts together exceeded.
pub(super) fn check(h: &History, out: &mut Vec<String>) {
    for l in &h.named_limits {
        let counted = h.received.iter().filter(|r| {
            let named = r.at >= l.span.0 + CONTACT_TIME && r.at <= l.span.1;
            r.replica == l.replica && named && !is_excused(h, r)
        });
        let mut arrivals: Vec<_> = counted.map(|r| r.at).collect();
        arrivals.sort();
        let allowed = LIMIT_FACTOR * l.rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        let windows = arrivals.iter().map(|start| {
            let span = arrivals.iter().filter(|t| *t >= start && **t < *start + LIMIT_WINDOW);
            span.count()
        });
        let most = windows.max().unwrap_or(0);
        if most as f64 > allowed {
            let (replica, rate) = (&l.replica, l.rate);
            out.push(format!(
                "LIMIT {replica} got {most} requests in 4 s, it named {rate} a second"
            ));
        }
    }
}

// Whether the host that sent a request was disturbed.
fn is_excused(h: &History, r: &ReceivedRequest) -> bool {
    let Some(sent) = h.requests.iter().find(|s| s.id == r.id) else { return false };
    let mut faults = h.host_faults.iter().filter(|(host, ..)| Some(*host) == sent.host);
    faults.any(|(_, from, to)| *from <= r.at && r.at <= *to + RECOVERY_TIME)
}
