//! Which features of requests explain the ends of replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Loss, Quarantine};
use crate::time::Tick;

/// Evidence that a feature is held for.
const HOLD_POINTS: u32 = 12;

/// Points of an end during which a response to a request with the feature had begun: two such ends
/// suffice.
const BEGUN_POINTS: u32 = 6;

/// Points of an end during which this very request waited for its response: three such ends
/// suffice, since it is the same request only if its caller sends it again.
const REQUEST_POINTS: u32 = 4;

/// Points of an end during which a request with the block waited for its response.
const BLOCK_POINTS: u32 = 3;

/// Ends within this time count once, since replicas that share a machine or a rack end together.
const SAME_FAULT: Duration = Duration::from_millis(50);

/// Responses that this host must have served since the first end, or a failure of the whole service
/// would be taken for one of a block that all its requests share.
const MIN_SERVED: u64 = 3;

/// What speaks against one block.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    points: u32,
    ended: usize,
    // Position in the prompt; the later blocks are shared by fewer requests.
    depth: usize,
    // Responses that this host had served by the first end.
    served: u64,
    // The newest fault that was counted and its points.
    fault: Option<(Tick, u32)>,
}

impl Evidence {
    fn add(&mut self, l: &Loss, points: u32, depth: usize) {
        if self.fault.is_none() {
            self.served = l.served;
        }
        self.ended += 1;
        self.depth = self.depth.max(depth);
        match self.fault {
            Some((at, counted)) if l.at.since(at) < SAME_FAULT => {
                self.points += points.saturating_sub(counted);
                self.fault = Some((at, points.max(counted)));
            }
            _ => {
                self.points += points;
                self.fault = Some((l.at, points));
            }
        }
    }
}

/// Whether a request with the block may have ended the replica. If responses had begun, the others
/// only waited.
pub(super) fn blames(l: &Loss, block: u64) -> bool {
    points(l, block).is_some()
}

// Points of a loss against a feature, with its position among those of its request.
fn points(l: &Loss, feature: u64) -> Option<(u32, usize)> {
    let begun = l.suspects.iter().any(|s| s.begun);
    let blamed = l.suspects.iter().filter(|s| s.begun == begun);
    let found = blamed.filter_map(|s| {
        let depth = s.blocks.iter().position(|b| *b == feature)?;
        let points = match (begun, depth + 1 == s.blocks.len()) {
            (true, _) => BEGUN_POINTS,
            (false, true) => REQUEST_POINTS,
            (false, false) => BLOCK_POINTS,
        };
        Some((points, depth))
    });
    found.max()
}

impl Quarantine {
    /// Blocks to hold back, with the number of replicas that ended under each.
    pub(super) fn blamed(&self) -> Vec<(u64, usize)> {
        let mut open: Vec<&Loss> = self.losses.values().collect();
        open.sort_by_key(|l| l.at);
        let mut out = Vec::new();
        while let Some((block, e)) = self.strongest(&open) {
            out.push((block, e.ended));
            open.retain(|l| !blames(l, block));
        }
        out
    }

    // Block with enough evidence that is to be held first: one that was never served before one
    // that was, then the one with the most points, then the one that the fewest requests share.
    fn strongest(&self, open: &[&Loss]) -> Option<(u64, Evidence)> {
        let mut all: BTreeMap<u64, Evidence> = BTreeMap::new();
        for l in open {
            let blocks: BTreeSet<u64> =
                l.suspects.iter().flat_map(|s| s.blocks.iter().copied()).collect();
            for b in blocks {
                let cleared = self.served.get(&b).is_some_and(|t| *t >= l.at);
                if let Some((points, depth)) = points(l, b)
                    && !cleared
                    && !self.released.contains(&b)
                {
                    all.entry(b).or_default().add(l, points, depth);
                }
            }
        }
        let works = |b: u64, e: &Evidence| {
            self.served_count >= e.served + MIN_SERVED || self.peer_held.contains(&b)
        };
        all.into_iter()
            .filter(|(b, e)| e.points >= HOLD_POINTS && works(*b, e))
            .max_by_key(|(b, e)| (!self.served.contains_key(b), e.points, e.depth))
    }

    /// Number of faults that a request with this fingerprint may have caused and that no response
    /// has cleared.
    pub(super) fn doubts(&self, fingerprint: u64) -> usize {
        let served = self.served.get(&fingerprint).copied();
        let mut at: Vec<Tick> = self
            .losses
            .values()
            .filter(|l| blames(l, fingerprint) && served.is_none_or(|t| t < l.at))
            .map(|l| l.at)
            .collect();
        at.sort();
        at.dedup_by(|later, earlier| later.since(*earlier) < SAME_FAULT);
        at.len()
    }

    /// Whether there is evidence against the block, though not enough to hold it.
    pub(super) fn is_suspected(&self, block: u64) -> bool {
        let found = self.losses.values().filter_map(|l| points(l, block));
        found.map(|(points, _)| points).sum::<u32>() >= BEGUN_POINTS
    }
}
