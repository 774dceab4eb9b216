//! Bounds how long a peer's message has waited.
//!
//! A message that states an age may wait at its sender, on the way and at its receiver. Such a wait
//! need not show as a pause anywhere, so the receiver cannot subtract it. Instead, the message carries
//! a receipt: the newest digest of the receiver that the sender has handled, and for how long it has
//! had it. By the receiver's own clock the message was stamped after that digest was sent, however
//! long it has waited since.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::{Tick, minus_drift};

/// Digests whose time is kept. At the shortest interval, with an announced read of the store after
/// every fourth digest, these are the digests of the time after which a silent peer is forgotten.
const MAX_SENT: usize = 512;

/// The newest digest of the receiver that the sender of a message has handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Process that sent the digest.
    pub incarnation: u64,
    /// Sequence number of the digest.
    pub sequence: u64,
    /// Time from its arrival until the message was stamped, in ms, rounded down.
    pub held_ms: u32,
}

/// When the digests of this process were stamped.
#[derive(Debug)]
pub struct SentDigests {
    incarnation: u64,
    // Sequence number and time, both rising.
    sent: VecDeque<(u64, Tick)>,
}

impl SentDigests {
    /// Record of a process that has sent no digest yet.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, sent: VecDeque::new() }
    }

    /// Records a digest.
    pub fn record(&mut self, sequence: u64, now: Tick) {
        if self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
    }

    /// Time after which a message with this receipt was stamped; `None` if the digest was sent by an
    /// earlier process, or so long ago that its time is not kept.
    pub fn stamped_after(&self, r: &Receipt) -> Option<Tick> {
        if r.incarnation != self.incarnation {
            return None;
        }
        let n = self.sent.binary_search_by_key(&r.sequence, |(sequence, _)| *sequence).ok()?;
        let (_, sent_at) = self.sent.get(n)?;
        Some(*sent_at + minus_drift(Duration::from_millis(u64::from(r.held_ms))))
    }
}
