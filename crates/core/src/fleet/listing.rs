//! List of the replicas' entries in the store, and deltas between two lists.
//!
//! Hosts compare lists by their hash. The host that reads a change sends it to the others, which
//! then need no read of their own.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashSet};

use arcstr::ArcStr;

use super::{config::ReplicaEntry, digest::ListingDelta, freshness::SnapshotMark, hash};

/// Largest number of entries in a delta, a quarter of a kilobyte each. Larger changes occur at
/// startup, when each host reads anyway.
const MAX_DELTA_ENTRIES: usize = 16;

/// All entries by id.
#[derive(Debug, Default)]
pub struct ReplicaList {
    entries: BTreeMap<ArcStr, ReplicaEntry>,
}

impl ReplicaList {
    /// Replaces the list by the entries of a read.
    pub fn replace(&mut self, entries: &[ReplicaEntry]) {
        self.entries = entries.iter().map(|e| (e.id.clone(), e.clone())).collect();
    }

    /// Delta that replaces the list by `entries`, none if it is too large to send.
    pub fn diff(
        &self,
        entries: &[ReplicaEntry],
        to: SnapshotMark,
        revision: u64,
    ) -> Option<ListingDelta> {
        let differs = |e: &&ReplicaEntry| {
            self.entries.get(&e.id).is_none_or(|o| entry_hash(o) != entry_hash(e))
        };
        let new: Vec<_> = entries.iter().filter(differs).cloned().collect();
        let listed: HashSet<_> = entries.iter().map(|e| &e.id).collect();
        let removed: Vec<_> =
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect();
        let fits = new.len() + removed.len() <= MAX_DELTA_ENTRIES;
        fits.then(|| ListingDelta { base_hash: self.hash(), to, revision, entries: new, removed })
    }

    /// List after a peer's delta; `None` if its hash is not the one that the delta states.
    pub fn apply(&self, c: &ListingDelta) -> Option<Vec<ReplicaEntry>> {
        let mut entries = self.entries.clone();
        entries.retain(|id, _| !c.removed.contains(id));
        entries.extend(c.entries.iter().map(|e| (e.id.clone(), e.clone())));
        let entries: Vec<_> = entries.into_values().collect();
        (list_hash(entries.iter()) == c.to.hash).then_some(entries)
    }

    fn hash(&self) -> u64 {
        list_hash(self.entries.values())
    }
}

/// Hash of a list, independent of its order.
pub fn list_hash<'a>(entries: impl Iterator<Item = &'a ReplicaEntry>) -> u64 {
    entries.fold(0, |h, e| h ^ entry_hash(e))
}

// Covers the fields that other hosts act on. The remaining ones change with each status report of
// the replica.
fn entry_hash(e: &ReplicaEntry) -> u64 {
    let (started, address) = (e.started_ms.to_string(), e.address.to_string());
    hash(&[&e.id, &started, &address, &e.service, if e.leaving { "leaving" } else { "" }])
}
