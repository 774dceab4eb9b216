//! Newest declared versions of adapters, and how hosts agree on them.
//!
//! One host lists the versions and tells the others what is new, with a hash of all that it knows. A
//! host whose own hash differs after that lists them itself.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::{config::NewestVersion, freshness::SnapshotMark, hash};
use crate::time::Tick;

/// Time for which a change is repeated, since a datagram may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(4);

/// Largest number of changes in a report, so that it fits into a datagram. Further ones are listed by
/// each host.
const MAX_CHANGES: usize = 256;

/// What a host that has listed the versions tells the others. Hosts of an earlier release drop it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Hash of all versions, and the age of the listing.
    pub mark: SnapshotMark,
    /// The newest changes.
    pub changes: Vec<NewestVersion>,
}

/// Newest versions that a host knows. They never fall.
#[derive(Debug, Default)]
pub struct AdapterVersions {
    newest: HashMap<ArcStr, u64>,
    // Independent of the order in which the versions became known.
    hash: u64,
    recent: VecDeque<(Tick, NewestVersion)>,
}

impl AdapterVersions {
    /// Raises versions. Returns those that rose; lower ones are ignored.
    pub fn raise(&mut self, now: Tick, versions: Vec<NewestVersion>) -> Vec<NewestVersion> {
        let mut out = Vec::new();
        for v in versions {
            let known = self.newest.entry(v.artifact.clone()).or_default();
            if v.version <= *known {
                continue;
            }
            if *known > 0 {
                self.hash ^= version_hash(&v.artifact, *known);
            }
            self.hash ^= version_hash(&v.artifact, v.version);
            *known = v.version;
            self.recent.push_back((now, v.clone()));
            out.push(v);
        }
        while self.recent.len() > MAX_CHANGES {
            self.recent.pop_front();
        }
        out
    }

    /// Newest version of an adapter.
    pub fn get(&self, artifact: &str) -> Option<u64> {
        self.newest.get(artifact).copied()
    }

    /// Hash of all versions.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Report on a listing of this age.
    pub fn report(&mut self, now: Tick, age: Duration) -> VersionReport {
        self.recent.retain(|(t, _)| now.since(*t) <= REPEAT_TIME);
        let changes = self.recent.iter().map(|(_, v)| v.clone()).collect();
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        VersionReport { mark: SnapshotMark { hash: self.hash, age_ms }, changes }
    }
}

fn version_hash(artifact: &str, version: u64) -> u64 {
    hash(&[artifact, &version.to_string()])
}
