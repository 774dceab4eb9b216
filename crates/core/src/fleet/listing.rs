//! List of the replicas' entries in the store, and deltas between two lists.
//!
//! Hosts compare lists by their hash. The host that reads a change sends it to the others, which
//! then need no read of their own.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashSet};

use arcstr::ArcStr;

use super::{config::ReplicaEntry, digest::ListingDelta, freshness::SnapshotMark, hash};

/// Largest number of entries in a delta, a quarter of a kilobyte each. Larger changes are split.
const MAX_DELTA_ENTRIES: usize = 16;

/// Largest number of deltas for one change. Larger changes occur at startup, when each host reads
/// anyway.
const MAX_DELTAS: usize = 8;

/// Age of the copy after a delta that is followed by others: as the copy is not complete, it does not
/// count as read.
pub(super) const UNREAD_AGE_MS: u64 = u32::MAX as u64;

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

    /// Deltas that replace the list by `entries` when they are applied in order, none if the change
    /// is too large to send.
    pub fn diff(
        &self,
        entries: &[ReplicaEntry],
        to: SnapshotMark,
        revision: u64,
    ) -> Vec<ListingDelta> {
        let differs = |e: &&ReplicaEntry| {
            self.entries.get(&e.id).is_none_or(|o| entry_hash(o) != entry_hash(e))
        };
        let changed = entries.iter().filter(differs).cloned().map(Change::Set);
        let listed: HashSet<_> = entries.iter().map(|e| &e.id).collect();
        let removed = self.entries.keys().filter(|id| !listed.contains(id)).cloned();
        let changes: Vec<_> = changed.chain(removed.map(Change::Remove)).collect();
        if changes.len() > MAX_DELTA_ENTRIES * MAX_DELTAS {
            return Vec::new();
        }
        let mut hash = self.hash();
        let parts: Vec<_> = changes.chunks(MAX_DELTA_ENTRIES).collect();
        let mut out = Vec::with_capacity(parts.len());
        for (i, part) in parts.iter().enumerate() {
            let base_hash = hash;
            let mut delta =
                ListingDelta { base_hash, to, revision, entries: Vec::new(), removed: Vec::new() };
            for change in *part {
                let id = match change {
                    Change::Set(e) => &e.id,
                    Change::Remove(id) => id,
                };
                hash ^= self.entries.get(id).map_or(0, entry_hash);
                match change {
                    Change::Set(e) => {
                        hash ^= entry_hash(e);
                        delta.entries.push(e.clone());
                    }
                    Change::Remove(id) => delta.removed.push(id.clone()),
                }
            }
            if i + 1 < parts.len() {
                delta.to = SnapshotMark { hash, age_ms: UNREAD_AGE_MS };
            }
            out.push(delta);
        }
        out
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

enum Change {
    Set(ReplicaEntry),
    Remove(ArcStr),
}

/// Hash of a list, independent of its order.
pub fn list_hash<'a>(entries: impl Iterator<Item = &'a ReplicaEntry>) -> u64 {
    entries.fold(0, |h, e| h ^ entry_hash(e))
}

// Covers the fields that other hosts act on. The remaining ones change with each status report of
// the replica.
fn entry_hash(e: &ReplicaEntry) -> u64 {
    let (started, address) = (e.started_ms.to_string(), e.address.to_string());
    let leaving = if e.leaving { "leaving" } else { "" };
    hash(&[&e.id, &started, &address, &e.service, &e.software, leaving])
}
