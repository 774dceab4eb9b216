//! Who reads the platform's store, and how old each host's knowledge of it is.
//!
//! A few hosts read; the others learn from digests that what they hold is still what the store
//! holds, with the age of the read that showed it, and read themselves only when it is not, or when
//! they have heard nothing for a while. So the number of calls does not grow with the fleet.

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Tick;

/// Hosts that read. A second one makes up for one that is cut off from the store.
pub const READERS: usize = 2;

/// Interval of a reader's reads: changes must be in force within two seconds, of which two reads
/// may fail.
const POLL: Duration = Duration::from_millis(500);

/// Age at which a host that does not read regularly reads by itself: two reads of a reader with
/// the digests that tell of them.
const UNTOLD: Duration = Duration::from_millis(1300);

/// Shortest time between two reads.
const SPACING: Duration = Duration::from_millis(100);

/// Time that a digest may take, which its sender does not count.
const TRANSIT: Duration = Duration::from_millis(30);

/// What one host says of its knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Hash of what it holds.
    pub hash: u64,
    /// Age in ms of the newest read that showed it.
    pub age: u64,
}

/// Knowledge of one prefix of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Knowledge {
    held: Option<u64>,
    // When the newest read that showed what is held was sent, here or at a peer.
    read: Option<Tick>,
    // When this host last began to read.
    asked: Option<Tick>,
    // Since when a peer holds something else.
    differs: Option<Tick>,
    busy: bool,
}

impl Knowledge {
    /// When the newest read that showed what is held was sent.
    pub fn read(&self) -> Option<Tick> {
        self.read
    }

    /// What this host says of it.
    pub fn mark(&self, now: Tick) -> Option<Mark> {
        let (hash, read) = (self.held?, self.read?);
        Some(Mark { hash, age: now.since(read).as_millis() as u64 })
    }

    /// Takes what a peer says. Returns whether it confirms what is held.
    pub fn told(&mut self, now: Tick, mark: Mark) -> bool {
        let read = now - Duration::from_millis(mark.age) - TRANSIT;
        if self.held == Some(mark.hash) {
            self.read = self.read.max(Some(read));
            return true;
        }
        // An older read may show what was there before.
        if self.read.is_none_or(|r| read > r) {
            self.differs = Some(now);
        }
        false
    }

    /// Whether this host is to read now.
    pub fn due(&self, now: Tick, reader: bool) -> bool {
        let rested = |d: Duration| self.asked.is_none_or(|t| now.since(t) >= d);
        if self.busy || !rested(SPACING) {
            return false;
        }
        let untold = self.read.is_none_or(|t| now.since(t) >= UNTOLD);
        self.differs.is_some() || (rested(POLL) && (reader || untold))
    }

    /// A read begins.
    pub fn asks(&mut self, now: Tick) {
        (self.asked, self.busy) = (Some(now), true);
    }

    /// The read that was sent at `asked` showed something with `hash`.
    pub fn took(&mut self, asked: Tick, hash: u64) {
        self.busy = false;
        self.held = Some(hash);
        self.read = self.read.max(Some(asked));
        if self.differs.is_some_and(|t| t <= asked) {
            self.differs = None;
        }
    }

    /// The read failed.
    pub fn failed(&mut self) {
        self.busy = false;
    }
}
