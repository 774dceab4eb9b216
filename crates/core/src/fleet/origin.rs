//! Software version of the replica that began a stream.
//!
//! What replicas of two software versions write does not fit together, so a stream goes on only at
//! the version that began it. A caller may take it up at any host. The host that passes on the first
//! event therefore tells [`KEEPERS`] others, chosen by the stream's key, and a host that does not
//! know a stream asks those that rank first for its key. If none of them knows it, it may go on only
//! if one version alone has been in service for as long as any stream may last, up to a read of the
//! listing that is younger than the request: what one host lists says nothing about a stream that
//! another one has begun since.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::request::fingerprint;
use crate::time::Tick;

/// Hosts that are told of each stream. Together with the host that serves it, one of them survives
/// the loss of any three hosts.
pub const KEEPERS: usize = 3;

/// Hosts that are asked about an unknown stream. More than [`KEEPERS`], since hosts that have joined
/// or returned may rank before those that were told.
pub const ASKED: usize = 6;

/// Streams that a host keeps, which bounds its memory to some MB.
const MAX_ORIGINS: usize = 32_768;

/// Time for which a replica may go on serving after it has left the listing, and begin streams
/// through hosts that have not read the listing since.
pub const UNLISTED_SERVICE: Duration = Duration::from_secs(15);

/// Service and software version at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: ArcStr,
    /// Software version of the replica.
    pub software: ArcStr,
}

/// A stream that has begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    /// Key of the stream; see [`stream_key`].
    pub key: u64,
    /// Time for which its caller may take it up, in ms.
    pub lifetime_ms: u32,
    /// Where it began.
    pub origin: Origin,
}

/// Key of the stream that the attempt `id` of a caller began. It covers account and path, so that a
/// caller cannot take up the stream of another one.
pub fn stream_key(account: Option<&str>, path: &str, id: &str) -> u64 {
    fingerprint(account, "stream", path, id.as_bytes())
}

/// Streams whose origin a host knows.
#[derive(Debug, Default)]
pub struct Origins {
    known: HashMap<u64, (Origin, Tick)>,
    // Keys in the order in which they were recorded.
    order: VecDeque<u64>,
    // Longest lifetime of any stream so far.
    longest: Duration,
}

impl Origins {
    /// Records a stream. Beyond [`MAX_ORIGINS`] the oldest one is forgotten.
    pub fn record(&mut self, now: Tick, s: BegunStream) {
        let lifetime = Duration::from_millis(u64::from(s.lifetime_ms));
        self.note_lifetime(lifetime);
        let until = now + lifetime;
        if self.known.insert(s.key, (s.origin, until)).is_none() {
            self.order.push_back(s.key);
        }
        while self.order.len() > MAX_ORIGINS {
            if let Some(key) = self.order.pop_front() {
                self.known.remove(&key);
            }
        }
    }

    /// Records a time for which streams may last.
    pub fn note_lifetime(&mut self, lifetime: Duration) {
        self.longest = self.longest.max(lifetime);
    }

    /// Longest lifetime of any stream so far. Callers may wait for longer than their route's timeout.
    pub fn longest_lifetime(&self) -> Duration {
        self.longest
    }

    /// Origin of a stream.
    pub fn get(&self, key: u64) -> Option<&Origin> {
        self.known.get(&key).map(|(origin, _)| origin)
    }

    /// All known streams with the rest of their lifetime.
    pub fn iter(&self, now: Tick) -> impl Iterator<Item = BegunStream> {
        self.known.iter().map(move |(key, (origin, until))| BegunStream {
            key: *key,
            lifetime_ms: u32::try_from(until.since(now).as_millis()).unwrap_or(u32::MAX),
            origin: origin.clone(),
        })
    }

    /// Removes streams that cannot be taken up any more.
    pub fn expire(&mut self, now: Tick) {
        self.known.retain(|_, (_, until)| *until > now);
        let known = &self.known;
        self.order.retain(|key| known.contains_key(key));
    }
}

/// Software versions that the store has listed, by service.
#[derive(Debug, Default)]
pub struct SoftwareVersions {
    // Since when each listing has followed the one before without a gap.
    since: Option<Tick>,
    last: Option<Tick>,
    listed: Vec<Origin>,
    seen: HashMap<ArcStr, BTreeMap<ArcStr, Tick>>,
}

impl SoftwareVersions {
    /// Applies a listing. After more than `gap` without one, versions may have come and gone unseen.
    pub fn observe(&mut self, now: Tick, listed: Vec<Origin>, gap: Duration) {
        self.listed = listed;
        self.confirm(now, gap);
    }

    /// Records that the last listing is still current.
    pub fn confirm(&mut self, now: Tick, gap: Duration) {
        if self.last.is_none_or(|t| now.since(t) > gap) {
            self.since = Some(now);
        }
        self.last = Some(now);
        for o in &self.listed {
            let versions = self.seen.entry(o.service.clone()).or_default();
            versions.insert(o.software.clone(), now);
        }
    }

    /// The only version of a service within the last `span`, if there was one alone and all listings
    /// of that time are known.
    pub fn only(&self, now: Tick, service: &str, span: Duration) -> Option<&ArcStr> {
        if self.since.is_none_or(|t| now.since(t) < span) {
            return None;
        }
        let mut recent =
            self.seen.get(service)?.iter().filter(|(_, t)| now.since(**t) <= span).map(|(v, _)| v);
        let first = recent.next()?;
        recent.next().is_none().then_some(first)
    }
}
