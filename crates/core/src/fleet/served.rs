//! Processes of replicas that the store has listed lately.
//!
//! What is running now does not show which replicas may have begun a stream: one that has ended says
//! nothing any more. A host therefore records which processes were listed and when, and for which
//! time this record is complete. A host that has just started has no record of its own. It rebuilds
//! one from the store's history of entries, which carries no times: a replica renews its entry at a
//! known interval, or less often if nothing has changed, so the writes since an event tell how long
//! ago it was at least.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use arcstr::ArcStr;

use super::config::ReplicaEntry;
use crate::time::Tick;

/// Time for which processes that are not listed any more are kept. It exceeds the longest time for
/// which a caller may take up a stream.
const RETENTION: Duration = Duration::from_secs(150);

/// Shortest mean time between renewals of an entry, as a part of the interval.
const MIN_INTERVAL: f64 = 0.9;

/// One start of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    /// Id of the replica, which its next process may reuse.
    pub id: ArcStr,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
    /// Name of its service.
    pub service: ArcStr,
    /// Version of its software.
    pub software: ArcStr,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl From<&ReplicaEntry> for Process {
    fn from(e: &ReplicaEntry) -> Self {
        Self {
            id: e.id.clone(),
            started_ms: e.started_ms,
            service: e.service.clone(),
            software: e.software.clone(),
            address: e.address,
        }
    }
}

/// Processes that were listed, with the time for which all of them are known.
#[derive(Debug, Default)]
pub struct ServedProcesses {
    // Since when all listed processes are known, and after which time the newest read of the last
    // listing was sent.
    since: Option<Tick>,
    confirmed: Option<Tick>,
    // Revision of the store that was known by `since` of this host's own record.
    anchor: Option<(u64, Tick)>,
    listed: HashSet<Process>,
    // Processes that have left the listing, with the last time at which they may have been in it.
    ended: HashMap<Process, Tick>,
}

impl ServedProcesses {
    /// Applies the listing at `revision`, whose read was sent after `read`. After more than `gap` without
    /// one, processes may have come and gone unseen.
    pub fn observe(
        &mut self,
        now: Tick,
        read: Tick,
        revision: u64,
        listed: HashSet<Process>,
        gap: Duration,
    ) {
        let before = std::mem::replace(&mut self.listed, listed);
        self.ended.extend(before.into_iter().map(|p| (p, now)));
        let listed = &self.listed;
        self.ended.retain(|p, t| !listed.contains(p) && now.since(*t) <= RETENTION);
        self.confirm(now, read, gap);
        if self.since == Some(now) {
            self.anchor = Some((revision, now));
        }
    }

    /// Records that a read that was sent after `read` has shown the last listing again.
    pub fn confirm(&mut self, now: Tick, read: Tick, gap: Duration) {
        if self.confirmed.is_none_or(|t| read.since(t) > gap) {
            (self.since, self.anchor) = (Some(now), None);
        }
        self.confirmed = self.confirmed.max(Some(read));
    }

    /// Revision whose time is known, with its age.
    pub fn anchor(&self, now: Tick) -> Option<Anchor> {
        self.anchor.map(|(revision, at)| Anchor { revision, age: now.since(at) })
    }

    /// Adds what the store's history shows of the time before this record, as of a read that ended at
    /// `now`.
    pub fn extend(&mut self, now: Tick, past: Past) {
        let Some(since) = self.since else { return };
        let begin = now - past.covered;
        if begin >= since {
            return;
        }
        self.since = Some(begin);
        for (p, age) in past.ended {
            let at = now - age;
            if !self.listed.contains(&p) {
                let newest = self.ended.entry(p).or_insert(at);
                *newest = at.max(*newest);
            }
        }
    }

    /// Whether all processes that were listed within the last `span` are known.
    pub fn is_complete(&self, now: Tick, span: Duration) -> bool {
        self.since.is_some_and(|t| now.since(t) >= span)
    }

    /// Time before `now` for which the record is complete.
    pub fn covered(&self, now: Tick) -> Duration {
        self.since.map_or(Duration::ZERO, |t| now.since(t))
    }

    /// Known processes of a service that were listed within the last `span`.
    pub fn within<'a, 's>(
        &'a self,
        now: Tick,
        service: &'s str,
        span: Duration,
    ) -> impl Iterator<Item = &'a Process> + use<'a, 's> {
        let ended = self.ended.iter().filter(move |(_, t)| now.since(**t) <= span).map(|(p, _)| p);
        self.listed.iter().chain(ended).filter(move |p| p.service == service)
    }

    /// The only software version of a service within the last `span`, if there was one alone and all
    /// processes of that time are known.
    pub fn only_software(&self, now: Tick, service: &str, span: Duration) -> Option<&ArcStr> {
        if !self.is_complete(now, span) {
            return None;
        }
        let mut all = self.within(now, service, span).map(|p| &p.software);
        let first = all.next()?;
        all.all(|s| s == first).then_some(first)
    }

    /// Number of listed processes of all services.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }
}

/// A revision of the store and the time for which it has existed, at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// The revision.
    pub revision: u64,
    /// Time since then.
    pub age: Duration,
}

/// A change of an entry in the store's history.
#[derive(Clone, Debug)]
pub struct EntryChange {
    /// Revision of the change.
    pub revision: u64,
    /// Key of the entry.
    pub key: String,
    /// Process that it names from then on; `None` if it was removed or names no replica.
    pub process: Option<Process>,
    /// Whether the process is draining. It says so at once, not at the next renewal.
    pub leaving: bool,
}

/// What the store's history shows of the time before a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Past {
    /// Time before the read that the history covers, at least.
    pub covered: Duration,
    /// Processes that had left the listing by the time of the read, each with the time since then.
    pub ended: Vec<(Process, Duration)>,
}

impl Past {
    /// Reads a history of changes in the order of their revisions, up to the time of the read.
    /// Replicas renew their entries every `interval` on average, or less often. Times are lower bounds
    /// but for a part of an interval: renewals that are missing make them shorter, so that more
    /// processes count as recent.
    pub fn read(changes: &[EntryChange], interval: Duration, anchor: Option<Anchor>) -> Self {
        let ages = ages(changes, interval.mul_f64(MIN_INTERVAL), anchor);
        let mut current: HashMap<&str, &Process> = HashMap::new();
        let mut ends: HashMap<&Process, Duration> = HashMap::new();
        for (c, age) in changes.iter().zip(&ages) {
            let replaced = match &c.process {
                Some(p) => {
                    ends.remove(p);
                    current.insert(&c.key, p).filter(|old| *old != p)
                }
                None => current.remove(c.key.as_str()),
            };
            if let Some(p) = replaced {
                ends.insert(p, *age);
            }
        }
        let ended = ends.into_iter().map(|(p, age)| (p.clone(), age)).collect();
        Self { covered: ages.first().copied().unwrap_or_default(), ended }
    }
}

// Shortest time from each change to the read: the largest number of intervals in which one replica has
// renewed its entry since then, on top of the age of the anchor for what is older than that. Renewals of
// different replicas are not added up, since the shortest of many intervals are shorter than stated.
fn ages(changes: &[EntryChange], interval: Duration, anchor: Option<Anchor>) -> Vec<Duration> {
    let mut next: HashMap<&str, (&Process, bool, Duration)> = HashMap::new();
    let mut age = Duration::ZERO;
    let mut out: Vec<_> = changes
        .iter()
        .rev()
        .map(|c| {
            let known = anchor.filter(|a| c.revision <= a.revision);
            let base = known.map_or(Duration::ZERO, |a| a.age);
            let mut own = base;
            match &c.process {
                Some(p) => {
                    let renewal = next.get(c.key.as_str());
                    if let Some((_, _, later)) =
                        renewal.filter(|(q, l, _)| (*q, *l) == (p, c.leaving))
                    {
                        own = base.max(*later + interval);
                    }
                    next.insert(&c.key, (p, c.leaving, own));
                }
                None => {
                    next.remove(c.key.as_str());
                }
            }
            age = age.max(own);
            age
        })
        .collect();
    out.reverse();
    out
}
