//! Selects the engines that a host includes in each digest.
//!
//! The artifacts of engines are the largest part of a digest and change about once a second. So an
//! engine is included when it changes, once more in case that datagram is lost, and periodically
//! for hosts that have just started.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::digest::EngineState;

/// Consecutive digests that include a change.
const CHANGE_REPEATS: u64 = 2;

/// Digests after which an engine is included again: 1.2 s at the longest interval, within the time
/// for which its owner's report takes precedence over the store's entry.
const REFRESH_DIGESTS: u64 = 4;

/// The last state of each engine that a digest included.
#[derive(Debug, Default)]
pub struct EngineUpdates {
    // By hash of the replica: the state, and the sequence number of the digest that first included
    // it.
    last: HashMap<u32, (EngineState, u64)>,
}

impl EngineUpdates {
    /// Returns the engines that digest `sequence` includes, out of all that this host owns.
    pub fn due(&mut self, sequence: u64, engines: Vec<EngineState>) -> Vec<EngineState> {
        self.last.retain(|replica, _| engines.iter().any(|e| e.replica == *replica));
        let due = |e: &EngineState| {
            let entry = self.last.entry(e.replica).or_insert_with(|| (e.clone(), sequence));
            if entry.0 != *e {
                *entry = (e.clone(), sequence);
            }
            sequence < entry.1 + CHANGE_REPEATS
                || (sequence + u64::from(e.replica)).is_multiple_of(REFRESH_DIGESTS)
        };
        let mut engines = engines;
        engines.retain(due);
        engines
    }
}
