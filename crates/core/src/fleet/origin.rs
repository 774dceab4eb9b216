//! Software version of the replica that began a stream.
//!
//! What replicas of two software versions write does not fit together, so a stream goes on only at
//! the version that began it. A caller may take it up at any host. The host that passes on the first
//! event therefore tells [`KEEPERS`] others, chosen by the stream's key, and a host that does not
//! know a stream asks those that rank first for its key. If none of them knows it, it may go on only
//! if one version alone has been in service for as long as any stream may last, up to a read of the
//! listing that is younger than the request: what one host lists says nothing about a stream that
//! another one has begun since.
//!
//! If hosts have forgotten it, engines tell which of them keep the last block of its prompt. The
//! block may have been read for another request of the same session, so it proves where the stream
//! began only if no engine of another version that may have begun it is missing from the answers.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
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

/// Longest time for which a caller may take up a stream, whatever time it says that it waits.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(120);

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

/// Times for which the callers of each route wait.
#[derive(Debug, Default)]
pub struct CallerBudgets {
    // Longest time that a caller of the route has stated.
    longest: HashMap<ArcStr, Duration>,
}

impl CallerBudgets {
    /// Records that a caller of `route` waits for `budget` from its first attempt.
    pub fn note(&mut self, route: &ArcStr, budget: Duration) {
        match self.longest.get_mut(route) {
            Some(longest) => *longest = budget.max(*longest),
            None => {
                self.longest.insert(route.clone(), budget);
            }
        }
    }

    /// Forgets the routes that are not in force any more.
    pub fn retain(&mut self, is_route: impl Fn(&str) -> bool) {
        self.longest.retain(|route, _| is_route(route));
    }

    /// Longest time since the begin of a stream whose caller waits for `left` from now on, on a route
    /// with this timeout.
    pub fn longest_age(&self, route: &str, timeout: Duration, left: Duration) -> Duration {
        let known = self.longest.get(route).copied().unwrap_or_default().max(timeout);
        // The stream has taken some time, so a caller with as much time left has had more of it.
        if left < known { known - left } else { MAX_STREAM_AGE }
    }
}

/// What is known of one engine and the prompt block of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockState {
    /// The engine keeps the block.
    Kept,
    /// It does not keep it.
    Absent,
    /// It has ended or does not say.
    Unknown,
}

/// Why it is unknown where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unproved {
    /// No engine keeps the block.
    NoEngine,
    /// Engines of several versions keep it.
    SeveralVersions,
    /// An engine of another version may have begun the stream, and it is unknown what it kept.
    EngineUnread,
}

/// The software version that began a stream, from what the engines that may have begun it keep of its
/// prompt.
///
/// # Errors
///
/// Returns an error if several versions may have begun it.
pub fn infer_software<'a>(
    engines: impl Iterator<Item = (&'a ArcStr, BlockState)> + Clone,
) -> Result<&'a ArcStr, Unproved> {
    let versions = |state| engines.clone().filter(move |(_, s)| *s == state).map(|(v, _)| v);
    let holders: BTreeSet<_> = versions(BlockState::Kept).collect();
    let mut holders = holders.into_iter();
    match (holders.next(), holders.next()) {
        (None, _) => Err(Unproved::NoEngine),
        (Some(_), Some(_)) => Err(Unproved::SeveralVersions),
        (Some(v), None) if versions(BlockState::Unknown).any(|u| u != v) => {
            Err(Unproved::EngineUnread)
        }
        (Some(v), None) => Ok(v),
    }
}
