//! Who reads the platform's store, and how old each host's knowledge of it is.
//!
//! One host reads; the others learn from digests that what they hold is still what the store holds,
//! with the age of the read that showed it, and are sent what changed in the list of replicas. A
//! host reads by itself when it misses a change, or when its knowledge gets old: the next in line
//! first, all in the end. So the number of calls does not grow with the fleet.

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Tick;

/// Reads that fit into the shortest time in which a change must be in force: one that just missed
/// it, one at a host that has lost the store, one at its substitute, and its way to all.
pub const READS_PER_BOUND: u32 = 4;

/// Age of the knowledge, in intervals, at which the first substitute reads. The age at a host that
/// is told of each read stays below it by a digest and a slow answer of the store.
const SUBSTITUTE: f64 = 1.6;

/// Further intervals for each further substitute, so that not all read at once.
const STEP: f64 = 0.2;

/// Age, in intervals, at which every host reads by itself.
const ALL: f64 = 2.4;

/// Time for which a host that was told of a change waits for what changed.
const GRACE: Duration = Duration::from_millis(150);

/// Shortest time between two reads.
const SPACING: Duration = Duration::from_millis(100);

/// Time that a digest may take, which its sender does not count.
const TRANSIT: Duration = Duration::from_millis(30);

/// Time without a sign of life of this process after which it was paused: five of its ticks.
const PAUSE: Duration = Duration::from_millis(250);

/// Time after a pause in which datagrams are read that arrived during it.
const BACKLOG: Duration = Duration::from_millis(500);

/// Tells whether datagrams are read as they arrive.
///
/// The age that a peer states counts from when it is read. A process that was paused reads
/// datagrams that are as old as the pause, which must not prove anything new.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<Tick>,
    woke: Option<Tick>,
}

impl StallDetector {
    /// Notes that the process runs. Returns the length of a pause that has just ended.
    pub fn tick(&mut self, now: Tick) -> Option<Duration> {
        let gap = self.last.map(|t| now.since(t)).filter(|d| *d > PAUSE);
        self.last = Some(now);
        if gap.is_some() {
            self.woke = Some(now);
        }
        gap
    }

    /// Whether what is read now has arrived just now.
    pub fn is_current(&self, now: Tick) -> bool {
        self.woke.is_none_or(|t| now.since(t) >= BACKLOG)
    }
}

/// What one host says of its knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Hash of what it holds.
    pub hash: u64,
    /// Age in ms of the newest read that showed it.
    pub age_ms: u64,
}

/// Knowledge of one prefix of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    held: Option<u64>,
    // When the newest read that showed what is held was sent, here or at a peer.
    read: Option<Tick>,
    // When this host last began to read.
    asked: Option<Tick>,
    // Since when a peer holds something else.
    differs: Option<Tick>,
    busy: bool,
    lost: bool,
}

impl Freshness {
    /// When the newest read that showed what is held was sent.
    pub fn read_at(&self) -> Option<Tick> {
        self.read
    }

    /// What this host says of it.
    pub fn mark(&self, now: Tick) -> Option<SnapshotMark> {
        let (hash, read) = (self.held?, self.read?);
        Some(SnapshotMark { hash, age_ms: now.since(read).as_millis() as u64 })
    }

    /// Takes what a peer says. Returns whether it confirms what is held.
    pub fn observe(&mut self, now: Tick, mark: SnapshotMark) -> bool {
        let read = now - Duration::from_millis(mark.age_ms) - TRANSIT;
        if self.held == Some(mark.hash) {
            self.read = self.read.max(Some(read));
            return true;
        }
        // An older read may show what was there before.
        if self.read.is_none_or(|r| read > r) {
            self.differs = self.differs.or(Some(now));
        }
        false
    }

    /// Whether this host, the `rank`th in line of those that read every `poll`, is to read now.
    pub fn read_due(&self, now: Tick, rank: usize, poll: Duration) -> bool {
        let spacing = if self.lost { poll } else { SPACING };
        if self.busy || self.asked.is_some_and(|t| now.since(t) < spacing) {
            return false;
        }
        let turn = match rank {
            0 => 1.0,
            n => (SUBSTITUTE + STEP * (n - 1) as f64).min(ALL),
        };
        let old = self.read.is_none_or(|t| now.since(t) >= poll.mul_f64(turn));
        old || self.differs.is_some_and(|t| now.since(t) >= GRACE)
    }

    /// Whether a peer holds something else, which this host has not got yet.
    pub fn is_behind(&self) -> bool {
        self.differs.is_some()
    }

    /// Takes a change that a peer read `age` ms ago, if it is one of what is held here. Returns
    /// when its read was sent.
    pub fn apply_delta(&mut self, now: Tick, from: u64, to: SnapshotMark) -> Option<Tick> {
        if self.held != Some(from) {
            return None;
        }
        let read = now - Duration::from_millis(to.age_ms) - TRANSIT;
        self.held = Some(to.hash);
        self.read = self.read.max(Some(read));
        self.differs = None;
        Some(read)
    }

    /// A read begins.
    pub fn start_read(&mut self, now: Tick) {
        (self.asked, self.busy) = (Some(now), true);
    }

    /// Whether a read that was sent at `asked` and showed something with `hash` was overtaken by the
    /// change of a later one.
    pub fn is_overtaken(&self, asked: Tick, hash: u64) -> bool {
        self.held.is_some_and(|h| h != hash) && self.read.is_some_and(|r| r > asked)
    }

    /// The read that was sent at `asked` showed something with `hash`. Returns what was held
    /// before.
    pub fn finish_read(&mut self, asked: Tick, hash: u64) -> Option<u64> {
        (self.busy, self.lost) = (false, false);
        let old = self.held.replace(hash);
        self.read = self.read.max(Some(asked));
        if self.differs.is_some_and(|t| t <= asked) {
            self.differs = None;
        }
        old
    }

    /// The read failed.
    pub fn fail_read(&mut self) {
        (self.busy, self.lost) = (false, true);
    }
}
