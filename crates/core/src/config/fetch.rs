//! Fetches of heads and parts in flight, their sources and their back-off.

use std::{collections::BTreeMap, time::Duration};

use super::{Effect, HEADS, Source, Want};
use crate::{rules::Digest, time::Tick};

/// Parts that are fetched at the same time. A host that starts fetches up to 529 parts of a few KB,
/// which takes 17 round trips, and the configuration service sees at most this many calls of it.
const FLIGHT: usize = 32;

/// How long a fetch may take before it counts as failed.
const LIMIT: Duration = Duration::from_secs(1);

/// First pause after all sources of a part failed; it doubles up to [`PAUSE_MAX`].
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after all sources of a part failed.
const PAUSE_MAX: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
pub(super) struct Fetches {
    heads: Vec<HeadFetch>,
    parts: BTreeMap<Digest, PartFetch>,
}

#[derive(Debug)]
struct HeadFetch {
    from: Source,
    version: u64,
    sent: Tick,
}

#[derive(Debug, Default)]
struct PartFetch {
    // Whom the fetch in flight asks, and since when.
    flight: Option<(Source, Tick)>,
    tried: Vec<Source>,
    rounds: u32,
    due: Tick,
}

impl Fetches {
    /// Fetches a head unless this or a newer one is being fetched. A failed fetch is repeated by
    /// the next announcement.
    pub(super) fn head(&mut self, now: Tick, from: Source, version: u64, out: &mut Vec<Effect>) {
        let covered = |h: &HeadFetch| h.from == from || h.version >= version;
        if self.heads.len() < HEADS && !self.heads.iter().any(covered) {
            out.push(Effect::Fetch { from: from.clone(), want: Want::Head });
            self.heads.push(HeadFetch { from, version, sent: now });
        }
    }

    /// How many more parts may be fetched at the same time.
    pub(super) fn free(&self) -> usize {
        FLIGHT.saturating_sub(self.parts.values().filter(|p| p.flight.is_some()).count())
    }

    /// Fetches a part from the next of `sources`, the service last. Returns whether a fetch began.
    pub(super) fn part(
        &mut self,
        now: Tick,
        digest: &Digest,
        sources: &[Source],
        out: &mut Vec<Effect>,
    ) -> bool {
        let p = self.parts.entry(digest.clone()).or_default();
        if p.flight.is_some() || now < p.due {
            return false;
        }
        let peers = sources.iter().filter(|s| **s != Source::Service);
        let next = peers.chain([&Source::Service]).find(|s| !p.tried.contains(s));
        let Some(s) = next else {
            p.tried.clear();
            p.due = now + PAUSE.saturating_mul(1 << p.rounds.min(8)).min(PAUSE_MAX);
            p.rounds += 1;
            return false;
        };
        p.tried.push(s.clone());
        p.flight = Some((s.clone(), now));
        out.push(Effect::Fetch { from: s.clone(), want: Want::Part(digest.clone()) });
        true
    }

    /// Ends a fetch without a usable result.
    pub(super) fn failed(&mut self, from: &Source, want: &Want) {
        match want {
            Want::Head => self.heads.retain(|h| h.from != *from),
            Want::Part(d) => {
                if let Some(p) = self.parts.get_mut(d)
                    && p.flight.as_ref().is_some_and(|(s, _)| s == from)
                {
                    p.flight = None;
                }
            }
        }
    }

    /// Ends the fetch of a part that arrived.
    pub(super) fn done(&mut self, digest: &Digest) {
        self.parts.remove(digest);
    }

    /// Ends fetches whose deadline passed.
    pub(super) fn expire(&mut self, now: Tick) {
        self.heads.retain(|h| now.since(h.sent) < LIMIT);
        for p in self.parts.values_mut() {
            if p.flight.as_ref().is_some_and(|(_, sent)| now.since(*sent) >= LIMIT) {
                p.flight = None;
            }
        }
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.heads.is_empty() && self.parts.is_empty()
    }

    /// Forgets parts that are no longer wanted.
    pub(super) fn retain(&mut self, wanted: impl Fn(&Digest) -> bool) {
        self.parts.retain(|d, _| wanted(d));
    }
}
