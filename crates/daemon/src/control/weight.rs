//! Weight of this host in the answer of `GET /v1/hosts`. An overloaded host lowers its weight, so
//! that fewer callers choose it.

#[cfg(test)]
mod tests;

use std::{
    ops::{Deref, DerefMut},
    time::Duration,
};

use yuccawing_core::{
    membership::{Addresses, Membership, ProcessInfo, Setup},
    time::Tick,
};

/// Expected wait above which the host counts as busy.
const BUSY_WAIT: Duration = Duration::from_secs(2);

/// Expected wait above which the host counts as full.
const FULL_WAIT: Duration = Duration::from_secs(8);

/// Calls refused by the full mailbox within [`REFUSAL_WINDOW`] from which the host counts as full.
/// A single one makes it busy.
const FULL_REFUSALS: u64 = 100;

/// Window over which refused calls are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// Time with low load before the weight rises by one level. Callers cache the list of hosts for 2
/// s, so a much shorter time would not see the effect of the last change.
const CALM_TIME: Duration = Duration::from_secs(10);

/// The load counts as low if the wait is below the threshold divided by this.
const CALM_DIVISOR: u32 = 4;

/// Weight of a host that is not overloaded.
pub(super) const FULL_WEIGHT: u32 = 100;

/// Weight of a busy host, relative to [`FULL_WEIGHT`].
const BUSY_WEIGHT: u32 = 25;

/// Load level of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    #[default]
    Normal,
    Busy,
    Full,
}

/// Derives the load level from waits and refused calls. The level rises at once and falls by one
/// step after each [`CALM_TIME`]; this hysteresis keeps the weight from oscillating.
#[derive(Debug, Default)]
struct Pressure {
    level: Level,
    calm_since: Option<Tick>,
    // Refused calls since the start, in the current window and in the previous one.
    total: u64,
    window_start: Tick,
    current: u64,
    previous: u64,
}

impl Pressure {
    fn observe(&mut self, now: Tick, wait: Duration, total: u64) {
        let passed = now.since(self.window_start);
        if passed >= REFUSAL_WINDOW {
            self.previous = if passed < REFUSAL_WINDOW * 2 { self.current } else { 0 };
            (self.window_start, self.current) = (now, 0);
        }
        self.current += total.saturating_sub(self.total);
        self.total = total;
        let refused = self.current.max(self.previous);
        let level = level(wait, refused);
        if level > self.level {
            self.level = level;
        }
        if is_calm(self.level, wait, refused) {
            let since = *self.calm_since.get_or_insert(now);
            if now.since(since) >= CALM_TIME {
                self.level = if self.level == Level::Full { Level::Busy } else { Level::Normal };
                self.calm_since = None;
            }
        } else {
            self.calm_since = None;
        }
    }

    /// Weight that peers and callers learn; 0 means that callers should use other hosts.
    fn weight(&self) -> u32 {
        match self.level {
            Level::Normal => FULL_WEIGHT,
            Level::Busy => BUSY_WEIGHT,
            Level::Full => 0,
        }
    }
}

fn level(wait: Duration, refused: u64) -> Level {
    if wait > FULL_WAIT || refused >= FULL_REFUSALS {
        Level::Full
    } else if wait > BUSY_WAIT || refused > 0 {
        Level::Busy
    } else {
        Level::Normal
    }
}

// Whether the load is low enough to leave a level.
fn is_calm(at: Level, wait: Duration, refused: u64) -> bool {
    match at {
        Level::Normal => false,
        Level::Busy => wait < BUSY_WAIT / CALM_DIVISOR && refused == 0,
        Level::Full => wait < FULL_WAIT / CALM_DIVISOR && refused < FULL_REFUSALS,
    }
}

/// The membership, with the current weight of this host instead of the constant one of its setup.
#[derive(Debug)]
pub(super) struct WeightedMembership {
    inner: Membership,
    name: arcstr::ArcStr,
    pressure: Pressure,
}

impl WeightedMembership {
    /// Creates a membership without peers.
    pub(super) fn new(setup: Setup) -> Self {
        let name = setup.name.clone();
        Self { inner: Membership::new(setup), name, pressure: Pressure::default() }
    }

    /// Updates the weight from the expected wait of a new request and the number of calls that the
    /// full mailbox has refused since the start.
    pub(super) fn observe(&mut self, now: Tick, wait: Duration, refused: u64) {
        self.pressure.observe(now, wait, refused);
    }

    /// State of this host that probes carry.
    pub(super) fn process_info(&self, lease: bool) -> ProcessInfo {
        ProcessInfo { weight: self.pressure.weight(), ..self.inner.process_info(lease) }
    }

    /// Hosts for callers. Those of weight 0 are included only if all have weight 0.
    pub(super) fn addresses(&self, now: Tick, lease: bool) -> Addresses {
        let mut a = self.inner.addresses(now, lease);
        for h in a.hosts.iter_mut().filter(|h| h.name == self.name) {
            h.weight = self.pressure.weight();
        }
        if a.hosts.iter().any(|h| h.weight > 0) {
            a.hosts.retain(|h| h.weight > 0);
        } else {
            // Callers choose at random by weight, which needs a sum above 0.
            a.hosts.iter_mut().for_each(|h| h.weight = 1);
        }
        a
    }
}

impl Deref for WeightedMembership {
    type Target = Membership;

    fn deref(&self) -> &Membership {
        &self.inner
    }
}

impl DerefMut for WeightedMembership {
    fn deref_mut(&mut self) -> &mut Membership {
        &mut self.inner
    }
}
