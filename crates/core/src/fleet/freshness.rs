//! Tracks how fresh a host's copy of the store is and decides which host reads it.
//!
//! One host reads. The others learn from digests that their copy still matches the store, with the
//! age of the read that showed it, and receive changes of the list of replicas. A host reads by
//! itself if it misses a change or its copy gets old: first the one with the next rank, in the end
//! all of them. So the number of reads does not grow with the fleet.

#[cfg(test)]
mod tests;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::listing::UNREAD_AGE_MS;
use crate::time::{Tick, plus_drift};

/// Poll intervals in the longest time that a change may need to take effect: one for a read that
/// just missed the change, one for a reader that cannot reach the store, one for the read of its
/// backup, and one to distribute the result.
pub const READS_PER_BOUND: u32 = 4;

/// Age of the copy, in poll intervals, at which the first backup reads. At a host that learns of
/// each read the age stays below this by a digest and a slow response of the store.
const BACKUP_AGE: f64 = 1.6;

/// Additional intervals for each further backup, so that they do not read at the same time.
const BACKUP_STEP: f64 = 0.2;

/// Age, in poll intervals, at which every host reads by itself.
const MAX_AGE: f64 = 2.4;

/// Time for which a host that knows of a newer copy at a peer waits for the delta before it reads
/// the store.
const DELTA_GRACE: Duration = Duration::from_millis(150);

/// Shortest time between the starts of two reads of one host.
const MIN_SPACING: Duration = Duration::from_millis(100);

/// Usual time of a digest in transit. It only decides whether a peer's copy is likely to be newer.
const DIGEST_TRANSIT: Duration = Duration::from_millis(30);

/// Gap between two ticks after which the process counts as paused: five tick intervals.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Time after a pause in which the datagrams that are read may have arrived during the pause.
const BACKLOG_WINDOW: Duration = Duration::from_millis(500);

/// Detects pauses of the process, after which datagrams are read late.
///
/// The age that a peer states is counted from when the datagram is read. A process that was paused
/// reads datagrams that are as old as the pause, which must not renew the age of its copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last_tick: Option<Tick>,
    resumed_at: Option<Tick>,
}

impl StallDetector {
    /// Records that the process runs. Returns the length of a pause that has just ended.
    pub fn tick(&mut self, now: Tick) -> Option<Duration> {
        let gap = self.last_tick.map(|t| now.since(t)).filter(|d| *d > MIN_PAUSE);
        self.last_tick = Some(now);
        if gap.is_some() {
            self.resumed_at = Some(now);
        }
        gap
    }

    /// Whether a datagram that is read now has just arrived.
    pub fn is_current(&self, now: Tick) -> bool {
        self.resumed_at.is_none_or(|t| now.since(t) >= BACKLOG_WINDOW)
    }
}

/// Hash and age of one host's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMark {
    /// Hash of the copy.
    pub hash: u64,
    /// Age in ms, rounded down, of the newest read that confirmed it.
    pub age_ms: u64,
}

impl SnapshotMark {
    /// Time after which the read was sent, if the mark was stamped after `stamped_after`.
    fn read_after(&self, stamped_after: Tick) -> Tick {
        stamped_after - plus_drift(Duration::from_millis(self.age_ms.saturating_add(1)))
    }
}

/// Freshness of this host's copy of one prefix of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    copy_hash: Option<u64>,
    // Time after which the newest read that confirmed the copy was sent, here or at a peer.
    read_at: Option<Tick>,
    // When the newest own read that confirmed the copy was sent.
    own_read: Option<Tick>,
    // Time by which a peer had sent the read that changed the copy.
    delta_by: Option<Tick>,
    // When this host last started a read.
    read_started: Option<Tick>,
    // Since when a peer has had a newer copy.
    stale_since: Option<Tick>,
    reading: bool,
    // Whether the next read is due only after a poll interval, since the last one failed or proved
    // nothing.
    paced: bool,
    // Whether the last read did not prove that its copy is current.
    unproved: bool,
    // Whether a decision waits for the next read.
    wanted: bool,
}

impl Freshness {
    /// Time after which the newest read that confirmed the copy was sent.
    pub fn read_at(&self) -> Option<Tick> {
        self.read_at
    }

    /// Hash of the copy and age of the newest own read for this host's digest, none before the first
    /// read and while the copy is unproved, since its age is that of an earlier copy then. None also
    /// at an age at which each host, polling at interval `poll`, reads by itself.
    ///
    /// An age that came from a peer is not passed on. A digest that waits makes the age lower by the
    /// wait, so two hosts that cannot read the store would renew each other's age without end.
    pub fn mark(&self, now: Tick, poll: Duration) -> Option<SnapshotMark> {
        let (hash, read) = (self.copy_hash.filter(|_| !self.unproved)?, self.own_read?);
        let age = now.since(read);
        (age <= poll.mul_f64(MAX_AGE))
            .then_some(SnapshotMark { hash, age_ms: age.as_millis() as u64 })
    }

    /// Sets the hash of a copy that has changed without a read.
    pub fn set_copy(&mut self, hash: u64) {
        self.copy_hash = Some(hash);
    }

    /// Applies a peer's mark, which was stamped after `stamped_after`. If it confirms the copy here,
    /// returns the time after which the peer's read was sent.
    ///
    /// A mark without such a bound may have waited for any time, so it confirms nothing.
    pub fn observe(
        &mut self,
        now: Tick,
        mark: SnapshotMark,
        stamped_after: Option<Tick>,
    ) -> Option<Tick> {
        if self.copy_hash == Some(mark.hash) {
            let read = mark.read_after(stamped_after?);
            self.read_at = self.read_at.max(Some(read));
            self.unproved = false;
            return Some(read);
        }
        // An older read may show an earlier state. A wrong guess costs a read.
        let read = now - Duration::from_millis(mark.age_ms) - DIGEST_TRANSIT;
        if self.read_at.is_none_or(|r| read > r) {
            self.stale_since = self.stale_since.or(Some(now));
        }
        None
    }

    /// Whether this host, with `rank` among the readers that poll at interval `poll`, must read
    /// now.
    pub fn read_due(&self, now: Tick, rank: usize, poll: Duration) -> bool {
        let spacing = if self.paced { poll } else { MIN_SPACING };
        if self.reading || self.read_started.is_some_and(|t| now.since(t) < spacing) {
            return false;
        }
        let turn = match rank {
            0 => 1.0,
            n => (BACKUP_AGE + BACKUP_STEP * (n - 1) as f64).min(MAX_AGE),
        };
        let old = self.read_at.is_none_or(|t| now.since(t) >= poll.mul_f64(turn));
        old || self.wanted || self.stale_since.is_some_and(|t| now.since(t) >= DELTA_GRACE)
    }

    /// Makes the next read due, since a decision waits for a read that is younger than its request.
    pub fn want_read(&mut self) {
        self.wanted = true;
    }

    /// Whether a peer has a newer copy that this host has not received yet.
    pub fn is_behind(&self) -> bool {
        self.stale_since.is_some()
    }

    /// Applies a change that a peer read, if it is based on the copy here and not older than it. `to`
    /// was stamped after `stamped_after`. Returns the time after which the peer's read was sent.
    pub fn apply_delta(
        &mut self,
        now: Tick,
        base_hash: u64,
        to: SnapshotMark,
        stamped_after: Tick,
    ) -> Option<Tick> {
        if self.copy_hash != Some(base_hash) {
            return None;
        }
        let read = to.read_after(stamped_after);
        // The store may show the base again, so a change that has waited may be older than the copy.
        let newest = if to.age_ms == UNREAD_AGE_MS { stamped_after } else { read };
        if self.read_at.is_some_and(|r| newest < r) {
            return None;
        }
        self.delta_by = self.delta_by.max(Some(now - Duration::from_millis(to.age_ms)));
        self.copy_hash = Some(to.hash);
        self.read_at = self.read_at.max(Some(read));
        self.stale_since = None;
        Some(read)
    }

    /// Records the start of a read.
    pub fn start_read(&mut self, now: Tick) {
        (self.read_started, self.reading, self.wanted) = (Some(now), true, false);
    }

    /// Whether a read that was sent at `sent_at` and returned `hash` is outdated, because a later
    /// read at a peer has already changed the copy.
    pub fn is_overtaken(&self, sent_at: Tick, hash: u64) -> bool {
        let newest = self.read_at.max(self.delta_by);
        self.copy_hash.is_some_and(|h| h != hash) && newest.is_some_and(|r| r > sent_at)
    }

    /// Records that the read that was sent at `sent_at` returned `hash`. Returns the hash of the
    /// previous copy.
    pub fn finish_read(&mut self, sent_at: Tick, hash: u64) -> Option<u64> {
        let old = self.finish_unproved(sent_at, hash, false);
        (self.paced, self.unproved) = (false, false);
        self.read_at = self.read_at.max(Some(sent_at));
        self.own_read = self.own_read.max(Some(sent_at));
        old
    }

    /// As [`Self::finish_read`], for a read that does not prove that the copy is current. If it is
    /// `paced`, the next read is due after a poll interval.
    pub fn finish_unproved(&mut self, sent_at: Tick, hash: u64, paced: bool) -> Option<u64> {
        (self.reading, self.paced, self.unproved) = (false, paced, true);
        let old = self.copy_hash.replace(hash);
        if self.stale_since.is_some_and(|t| t <= sent_at) {
            self.stale_since = None;
        }
        old
    }

    /// Records that the read failed.
    pub fn fail_read(&mut self) {
        (self.reading, self.paced) = (false, true);
    }
}
