//! Position in the history of the store, across restores from an older copy.
//!
//! A store that is restored loses its newest changes, and its revisions go back and are given out
//! again. It counts its restores in an era, so only era and revision together order what was read.
//! What was lost is written again some time after the restore. Until then a read proves nothing
//! about changes that were acknowledged before it.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, net::Ipv4Addr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Tick;

/// Time after a restore by which operators and replicas have written again what was lost. The
/// platform states it for replicas.
pub const REWRITE_TIME: Duration = Duration::from_millis(2000);

/// Time after a restore in which the entry of a replica that has gone may still be listed: three
/// intervals of status reports, with a margin for the read.
pub const STALE_ENTRIES: Duration = Duration::from_millis(4500);

/// Time after the start of a process by which running peers have told it of a restore: a digest and
/// its response. After the loss of all hosts there is nobody to wait for.
const INTRODUCTION_TIME: Duration = Duration::from_millis(150);

/// Revisions that one restore loses at most, for fencing tokens that rise across restores.
const MAX_LOST: u64 = 1 << 20;

/// Peers whose version is kept.
const MAX_PEERS: usize = 8192;

/// Position in the history of the store. Later positions are greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of the era; rises with each restore.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl Position {
    /// Count that rises along the history as long as no restore loses more than a million
    /// revisions.
    pub fn count(self) -> u64 {
        self.era.saturating_mul(MAX_LOST).saturating_add(self.revision)
    }
}

/// What a position says about the era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is known.
    Known,
    /// The store was restored; the former era is given.
    Restored(u64),
    /// The position is of an earlier era, so what was read there is outdated.
    Outdated,
}

/// What the position of an item says about its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// It may be new.
    New,
    /// It was applied.
    Applied,
    /// A later write was applied; its position is given.
    Outdated(Position),
}

/// What a host tells its peers about the era of the store and about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraReport {
    /// Address at which the sender listens for peers.
    pub ip: Ipv4Addr,
    /// Identifies its process.
    pub incarnation: u64,
    /// The newest era that it knows.
    pub era: u64,
    /// Time since it learned of the restore that began the era, in ms; none if it has always been
    /// in this era.
    pub age_ms: Option<u64>,
    /// Version of the configuration that it has in force, 0 for none.
    pub version: u64,
}

/// What one host knows of the store's history.
#[derive(Debug)]
pub struct History {
    era: Option<u64>,
    // When the restore that began the era was first seen, here or at a peer.
    restored_at: Option<Tick>,
    // Whether a read has shown that the operators have written again what was lost.
    rewritten: bool,
    // Position by key at which items were applied. The pages of a listing are not a consistent
    // snapshot, so one position for all items would miss a change on a page that was read before the
    // change.
    applied: HashMap<String, Position>,
    // Incarnation of each peer and the version that it has in force.
    versions: HashMap<Ipv4Addr, (u64, u64)>,
    started: Tick,
    // Whether a peer has reported.
    introduced: bool,
}

impl History {
    /// History of a process that starts at `now` and has read nothing.
    pub fn new(now: Tick) -> Self {
        Self {
            era: None,
            restored_at: None,
            rewritten: false,
            applied: HashMap::new(),
            versions: HashMap::new(),
            started: now,
            introduced: false,
        }
    }

    /// The newest era that is known.
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// When the restore that began the era was first seen; none if this host and its peers have
    /// always been in it.
    pub fn restored_at(&self) -> Option<Tick> {
        self.restored_at
    }

    /// Records the era of a read.
    pub fn observe(&mut self, now: Tick, era: u64) -> EraChange {
        match self.era {
            Some(known) if era < known => EraChange::Outdated,
            Some(known) if era > known => {
                (self.era, self.restored_at, self.rewritten) = (Some(era), Some(now), false);
                EraChange::Restored(known)
            }
            Some(_) => EraChange::Known,
            None => {
                self.era = Some(era);
                EraChange::Known
            }
        }
    }

    /// Records that the item `key` was read at `position`, and tells whether it has to be applied.
    pub fn observe_item(&mut self, key: &str, position: Position) -> ItemChange {
        match self.applied.get_mut(key) {
            Some(applied) if *applied > position => ItemChange::Outdated(*applied),
            Some(applied) if *applied == position => ItemChange::Applied,
            Some(applied) => {
                *applied = position;
                ItemChange::New
            }
            None => {
                self.applied.insert(key.to_owned(), position);
                ItemChange::New
            }
        }
    }

    /// Applies the report of a peer.
    pub fn apply(&mut self, now: Tick, r: &EraReport) -> EraChange {
        if self.versions.len() < MAX_PEERS || self.versions.contains_key(&r.ip) {
            let newest = self.versions.entry(r.ip).or_default();
            if r.incarnation >= newest.0 {
                *newest = (r.incarnation, r.version);
            }
        }
        self.introduced = true;
        let change = self.observe(now, r.era);
        // A host that started after the restore learns of it here.
        if let Some(age_ms) = r.age_ms.filter(|_| change != EraChange::Outdated) {
            let at = now - Duration::from_millis(age_ms);
            self.restored_at = Some(self.restored_at.map_or(at, |t| t.min(at)));
        }
        change
    }

    /// Forgets a peer that has gone.
    pub fn remove_peer(&mut self, ip: Ipv4Addr) {
        self.versions.remove(&ip);
    }

    /// Report to the peers, none before the first read.
    pub fn report(
        &self,
        now: Tick,
        ip: Ipv4Addr,
        incarnation: u64,
        version: u64,
    ) -> Option<EraReport> {
        let age_ms = self.restored_at.map(|t| now.since(t).as_millis() as u64);
        Some(EraReport { ip, incarnation, era: self.era?, age_ms, version })
    }

    /// Records that the configuration in force, which was last listed at revision `old`, is listed at
    /// revision `new`. An unchanged version gets another revision only if it is written again.
    pub fn note_rewrite(&mut self, old: Position, new: Position) {
        if new.revision != old.revision && Some(new.era) == self.era {
            self.rewritten = true;
        }
    }

    /// Whether a read that ends now proves that this host, with `version` in force, lacks no change
    /// that was acknowledged before it. `is_alive` selects the peers that run.
    pub fn proves_current(
        &self,
        now: Tick,
        version: u64,
        is_alive: impl Fn(Ipv4Addr) -> bool,
    ) -> bool {
        let rewritten = self.rewritten || !self.restored_within(now, REWRITE_TIME);
        let behind = self.versions.iter().any(|(ip, (_, v))| *v > version && is_alive(*ip));
        self.is_introduced(now) && rewritten && !behind
    }

    /// Whether running peers have had the time to tell this host of a restore.
    pub fn is_introduced(&self, now: Tick) -> bool {
        self.introduced || now.since(self.started) >= INTRODUCTION_TIME
    }

    /// Whether the store was restored less than `time` ago.
    pub fn restored_within(&self, now: Tick, time: Duration) -> bool {
        self.restored_at.is_some_and(|t| now.since(t) < time)
    }
}
