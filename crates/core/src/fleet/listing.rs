//! The replicas' entries as the store lists them, and changes between two such lists.
//!
//! A list has a hash by which hosts tell each other that they hold the same. The host that reads a
//! change sends it to the others, which then need no read of their own.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashSet};

use arcstr::ArcStr;

use super::{config::ReplicaEntry, digest::ListingDelta, freshness::SnapshotMark, hash};

/// Entries that are sent to the other hosts at once, a quarter of a kilobyte each. Larger changes
/// come at starts, when each host reads anyway.
const MAX_ENTRIES: usize = 16;

/// All entries by id.
#[derive(Debug, Default)]
pub struct ReplicaList {
    entries: BTreeMap<ArcStr, ReplicaEntry>,
}

impl ReplicaList {
    /// Replaces the list by what was read.
    pub fn replace(&mut self, entries: &[ReplicaEntry]) {
        self.entries = entries.iter().map(|e| (e.id.clone(), e.clone())).collect();
    }

    /// What changes when `entries` replace the list, none if that is too much to send.
    pub fn diff(
        &self,
        entries: &[ReplicaEntry],
        to: SnapshotMark,
        revision: u64,
    ) -> Option<ListingDelta> {
        let differs =
            |e: &&ReplicaEntry| self.entries.get(&e.id).is_none_or(|o| state(o) != state(e));
        let new: Vec<_> = entries.iter().filter(differs).cloned().collect();
        let listed: HashSet<_> = entries.iter().map(|e| &e.id).collect();
        let gone: Vec<_> = self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect();
        let fits = new.len() + gone.len() <= MAX_ENTRIES;
        fits.then(|| ListingDelta {
            base_hash: self.hash(),
            to,
            revision,
            entries: new,
            removed: gone,
        })
    }

    /// The list after a peer's change, none if the change does not lead to the hash that it names.
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

/// Hash of a list, whatever its order.
pub fn list_hash<'a>(entries: impl Iterator<Item = &'a ReplicaEntry>) -> u64 {
    entries.fold(0, |h, e| h ^ state(e))
}

// What matters to other hosts. The rest of an entry changes with each status report.
fn state(e: &ReplicaEntry) -> u64 {
    let (born, address) = (e.started_ms.to_string(), e.address.to_string());
    hash(&[&e.id, &born, &address, &e.service, if e.leaving { "leaving" } else { "" }])
}
