//! This host's weight in the address look-up, and the look-up's answer.

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

/// Wait above which a host asks for fewer callers.
const BUSY_WAIT: Duration = Duration::from_secs(2);

/// Wait above which a host asks to be left out.
const FULL_WAIT: Duration = Duration::from_secs(8);

/// Calls that the full mailbox refuses in one window, from which a host asks to be left out. One
/// refusal is enough to ask for fewer callers.
const FULL_REFUSALS: u64 = 100;

/// Window in which the mailbox's refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Time without pressure before the weight rises by one step. Callers use an answer of the look-up
/// for 2 s, so an earlier rise would not see the effect of the last change.
const CALM: Duration = Duration::from_secs(10);

/// The wait has to fall below this part of a bound, as a divisor, to count as calm.
const CALM_PART: u32 = 4;

/// Full weight.
pub(super) const WEIGHT: u32 = 100;

/// Weight of a busy host, in proportion to [`WEIGHT`].
const BUSY_WEIGHT: u32 = 25;

/// How much this host has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    #[default]
    Normal,
    Busy,
    Full,
}

/// Turns waits and refusals into a level. Hysteresis keeps weights from oscillating: the level rises
/// at once and falls one step after each [`CALM`].
#[derive(Debug, Default)]
struct Pressure {
    level: Level,
    calm: Option<Tick>,
    // Refusals so far, those of this window and of the one before.
    total: u64,
    window: Tick,
    now: u64,
    last: u64,
}

impl Pressure {
    fn observe(&mut self, now: Tick, wait: Duration, total: u64) {
        let passed = now.since(self.window);
        if passed >= WINDOW {
            self.last = if passed < WINDOW * 2 { self.now } else { 0 };
            (self.window, self.now) = (now, 0);
        }
        self.now += total.saturating_sub(self.total);
        self.total = total;
        let refused = self.now.max(self.last);
        let level = level(wait, refused);
        if level > self.level {
            self.level = level;
        }
        if level_below(self.level, wait, refused) {
            let since = *self.calm.get_or_insert(now);
            if now.since(since) >= CALM {
                self.level = if self.level == Level::Full { Level::Busy } else { Level::Normal };
                self.calm = None;
            }
        } else {
            self.calm = None;
        }
    }

    /// Weight that peers learn; 0 asks to be left out.
    fn weight(&self) -> u32 {
        match self.level {
            Level::Normal => WEIGHT,
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

// Whether the load is far enough below the bound of a level to leave it.
fn level_below(at: Level, wait: Duration, refused: u64) -> bool {
    match at {
        Level::Normal => false,
        Level::Busy => wait < BUSY_WAIT / CALM_PART && refused == 0,
        Level::Full => wait < FULL_WAIT / CALM_PART && refused < FULL_REFUSALS,
    }
}

/// The membership with this host's current weight in place of the fixed one of its set-up.
#[derive(Debug)]
pub(super) struct Members {
    inner: Membership,
    name: arcstr::ArcStr,
    pressure: Pressure,
}

impl Members {
    /// Knows no peers yet.
    pub(super) fn new(setup: Setup) -> Self {
        let name = setup.name.clone();
        Self { inner: Membership::new(setup), name, pressure: Pressure::default() }
    }

    /// Takes the wait of a request that arrives now, and the calls that the full mailbox has
    /// refused since the start.
    pub(super) fn observe(&mut self, now: Tick, wait: Duration, refused: u64) {
        self.pressure.observe(now, wait, refused);
    }

    /// What this host says about itself.
    pub(super) fn about(&self, lease: bool) -> ProcessInfo {
        ProcessInfo { weight: self.pressure.weight(), ..self.inner.about(lease) }
    }

    /// Answer of the address look-up. Hosts that ask to be left out are named only if there is no
    /// other one.
    pub(super) fn addresses(&self, now: Tick, lease: bool) -> Addresses {
        let mut a = self.inner.addresses(now, lease);
        for h in a.hosts.iter_mut().filter(|h| h.name == self.name) {
            h.weight = self.pressure.weight();
        }
        if a.hosts.iter().any(|h| h.weight > 0) {
            a.hosts.retain(|h| h.weight > 0);
        } else {
            // A caller that chooses by weight needs a sum above 0.
            a.hosts.iter_mut().for_each(|h| h.weight = 1);
        }
        a
    }
}

impl Deref for Members {
    type Target = Membership;

    fn deref(&self) -> &Membership {
        &self.inner
    }
}

impl DerefMut for Members {
    fn deref_mut(&mut self) -> &mut Membership {
        &mut self.inner
    }
}
