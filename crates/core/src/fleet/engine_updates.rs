//! What a host tells of its engines in each digest.
//!
//! What an engine holds is the largest part of a digest and changes about once a second, so an
//! engine is told of when it changes, once more in case that datagram is lost, and from time to time
//! for hosts that have just started.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::digest::EngineState;

/// Digests in a row that tell of a change.
const REPEAT: u64 = 2;

/// Digests after which an engine is told of again: at the longest interval 1.2 s, within the time
/// for which its owner's word goes before the store's.
const REFRESH: u64 = 4;

/// What was told last.
#[derive(Debug, Default)]
pub struct EngineUpdates {
    // By hash of the replica's id, with the number of the digest that told of the change.
    last: HashMap<u32, (EngineState, u64)>,
}

impl EngineUpdates {
    /// The engines that digest `number` tells of, of all that this host gives orders to.
    pub fn due(&mut self, number: u64, engines: Vec<EngineState>) -> Vec<EngineState> {
        self.last.retain(|replica, _| engines.iter().any(|e| e.replica == *replica));
        let due = |e: &EngineState| {
            let entry = self.last.entry(e.replica).or_insert_with(|| (e.clone(), number));
            if entry.0 != *e {
                *entry = (e.clone(), number);
            }
            number < entry.1 + REPEAT || (number + u64::from(e.replica)).is_multiple_of(REFRESH)
        };
        let mut engines = engines;
        engines.retain(due);
        engines
    }
}
