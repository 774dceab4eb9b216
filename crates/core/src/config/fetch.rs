//! Fetches of heads and parts that are in progress, with their sources, timeouts and retries.

use std::{collections::BTreeMap, time::Duration};

use super::{Effect, FetchTarget, MAX_HEAD_FETCHES, Source};
use crate::{rules::Digest, time::Tick};

/// Maximum number of parts that are fetched at the same time, which limits the load of the
/// configuration service. A starting host fetches up to 529 parts of a few KB in 17 round trips.
const MAX_PART_FETCHES: usize = 32;

/// A fetch fails after this time.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after all sources of a part have failed; it doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay after all sources of a part have failed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

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
    // Source and start time of the current fetch.
    pending: Option<(Source, Tick)>,
    tried: Vec<Source>,
    failed_rounds: u32,
    retry_at: Tick,
}

impl Fetches {
    /// Fetches a head unless this or a newer one is being fetched. After a failure, the next
    /// announcement starts another fetch.
    pub(super) fn head(&mut self, now: Tick, from: Source, version: u64, out: &mut Vec<Effect>) {
        let covered = |h: &HeadFetch| h.from == from || h.version >= version;
        if self.heads.len() < MAX_HEAD_FETCHES && !self.heads.iter().any(covered) {
            out.push(Effect::Fetch { from: from.clone(), target: FetchTarget::Head });
            self.heads.push(HeadFetch { from, version, sent: now });
        }
    }

    /// Number of part fetches that may be started now.
    pub(super) fn free(&self) -> usize {
        MAX_PART_FETCHES.saturating_sub(self.parts.values().filter(|p| p.pending.is_some()).count())
    }

    /// Fetches a part from the next source, the configuration service last. Returns whether it
    /// started a fetch.
    pub(super) fn part(
        &mut self,
        now: Tick,
        digest: &Digest,
        sources: &[Source],
        out: &mut Vec<Effect>,
    ) -> bool {
        let p = self.parts.entry(digest.clone()).or_default();
        if p.pending.is_some() || now < p.retry_at {
            return false;
        }
        let peers = sources.iter().filter(|s| **s != Source::Service);
        let next = peers.chain([&Source::Service]).find(|s| !p.tried.contains(s));
        let Some(s) = next else {
            p.tried.clear();
            p.retry_at = now
                + MIN_RETRY_DELAY.saturating_mul(1 << p.failed_rounds.min(8)).min(MAX_RETRY_DELAY);
            p.failed_rounds += 1;
            return false;
        };
        p.tried.push(s.clone());
        p.pending = Some((s.clone(), now));
        out.push(Effect::Fetch { from: s.clone(), target: FetchTarget::Part(digest.clone()) });
        true
    }

    /// Ends the fetch of a head, or a failed fetch of a part, which is then tried at the next
    /// source.
    pub(super) fn end(&mut self, from: &Source, target: &FetchTarget) {
        match target {
            FetchTarget::Head => self.heads.retain(|h| h.from != *from),
            FetchTarget::Part(d) => {
                if let Some(p) = self.parts.get_mut(d)
                    && p.pending.as_ref().is_some_and(|(s, _)| s == from)
                {
                    p.pending = None;
                }
            }
        }
    }

    /// Ends the fetch of a part that was received.
    pub(super) fn remove_part(&mut self, digest: &Digest) {
        self.parts.remove(digest);
    }

    /// Ends fetches that have timed out.
    pub(super) fn expire(&mut self, now: Tick) {
        self.heads.retain(|h| now.since(h.sent) < FETCH_TIMEOUT);
        for p in self.parts.values_mut() {
            if p.pending.as_ref().is_some_and(|(_, sent)| now.since(*sent) >= FETCH_TIMEOUT) {
                p.pending = None;
            }
        }
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.heads.is_empty() && self.parts.is_empty()
    }

    /// Drops the fetches of parts for which `wanted` is false.
    pub(super) fn retain(&mut self, wanted: impl Fn(&Digest) -> bool) {
        self.parts.retain(|d, _| wanted(d));
    }
}
