//! Hosts that cannot read the store while the digests of the others reach them late: their links are
//! slow, and they are stopped again and again, each time too briefly to count as a pause. A key is
//! withdrawn meanwhile. Drawn apart from the other faults.

use std::{
    net::Ipv4Addr,
    sync::PoisonError,
    time::{Duration, Instant},
};

use rustix::process::Signal;

use super::{SoakPlan, Xorshift, fleet::SoakFleet};
use crate::proxy::Link;

/// Shortest and longest time without the store, in ms. A key must be refused within 2 s.
const WINDOW_MS: (u64, u64) = (3500, 5000);

/// Shortest and longest time between two of these.
const GAP_MS: (u64, u64) = (300, 1500);

/// Shortest and longest time until the key is withdrawn.
const WITHDRAWAL_MS: (u64, u64) = (200, 1200);

/// Shortest and longest stop of a host, and time between two stops. A host takes a gap of 250 ms for a
/// pause.
const STOP_MS: (u64, u64) = (40, 230);
const RUN_MS: (u64, u64) = (10, 200);

/// Delays of the links between these hosts and the others, in ms.
const DELAYS_MS: [u64; 4] = [0, 300, 1200, 2500];

/// Time without the store.
struct Window {
    hosts: Vec<usize>,
    withdraw_at: Option<Instant>,
    end: Instant,
    // The next stop or its end, and the host that is stopped.
    next: Instant,
    stopped: Option<usize>,
    stops: usize,
}

/// Draws and plays these times for one soak.
pub(super) struct Starvation {
    rng: Xorshift,
    window: Option<Window>,
    next: Instant,
    /// Number of times so far.
    pub count: usize,
}

impl Starvation {
    /// Starts if the plan asks for it.
    pub(super) fn start(plan: SoakPlan) -> Option<Self> {
        let rng = Xorshift::new(plan.seed ^ 0x57a1);
        plan.starve.then(|| Self { rng, window: None, next: Instant::now(), count: 0 })
    }

    /// Takes the steps that are due at `now`.
    pub(super) fn step(&mut self, fleet: &mut SoakFleet, now: Instant) {
        match &self.window {
            None if now >= self.next => self.begin(fleet, now),
            None => {}
            Some(w) if now >= w.end => self.end(fleet),
            Some(_) => self.disturb(fleet, now),
        }
    }

    fn begin(&mut self, fleet: &mut SoakFleet, now: Instant) {
        let all = fleet.hosts.len();
        let (first, count) = (self.rng.below(all), 1 + self.rng.below(all / 2));
        let hosts: Vec<_> = (first..first + count).map(|h| h % all).collect();
        let end = now + self.rng.duration_ms(WINDOW_MS.0, WINDOW_MS.1);
        fleet.faults.disturbances.push((now, end));
        for h in &hosts {
            let name = format!("h{h}");
            fleet.faults.host_faults.push((fleet.hosts[*h].ip.into(), now, end));
            fleet.proxy.set_link(&name, "store", Link { cut: true, ..Link::default() });
        }
        let ips: Vec<Ipv4Addr> = hosts.iter().map(|h| fleet.hosts[*h].ip).collect();
        let delay = Duration::from_millis(DELAYS_MS[self.rng.below(DELAYS_MS.len())]);
        if let Some(links) = &fleet.links {
            links.delay(&ips, delay);
        }
        let withdraw_at = Some(now + self.rng.duration_ms(WITHDRAWAL_MS.0, WITHDRAWAL_MS.1));
        self.window = Some(Window { hosts, withdraw_at, end, next: now, stopped: None, stops: 0 });
        self.count += 1;
    }

    fn disturb(&mut self, fleet: &mut SoakFleet, now: Instant) {
        let Some(w) = &mut self.window else { return };
        if w.withdraw_at.is_some_and(|t| now >= t) {
            w.withdraw_at = None;
            let old = fleet.withdraw_key();
            *fleet.stale_key.lock().unwrap_or_else(PoisonError::into_inner) = old;
        }
        if now < w.next {
            return;
        }
        match w.stopped.take() {
            Some(h) => {
                fleet.signal(h, Signal::CONT);
                w.next = now + self.rng.duration_ms(RUN_MS.0, RUN_MS.1);
            }
            None => {
                let h = w.hosts[w.stops % w.hosts.len()];
                fleet.signal(h, Signal::STOP);
                (w.stopped, w.stops) = (Some(h), w.stops + 1);
                w.next = now + self.rng.duration_ms(STOP_MS.0, STOP_MS.1);
            }
        }
    }

    /// Reverts what is disturbed.
    pub(super) fn end(&mut self, fleet: &mut SoakFleet) {
        let Some(w) = self.window.take() else { return };
        if let Some(h) = w.stopped {
            fleet.signal(h, Signal::CONT);
        }
        for h in w.hosts {
            fleet.proxy.set_link(&format!("h{h}"), "store", Link::default());
        }
        if let Some(links) = &fleet.links {
            links.delay(&[], Duration::ZERO);
        }
        self.next = Instant::now() + self.rng.duration_ms(GAP_MS.0, GAP_MS.1);
    }
}
