//! Requests as the dispatcher sees them.

use std::time::Duration;

use arcstr::ArcStr;
use sha2::{Digest as _, Sha256};

use super::{config::RouteKind, replicas::ReplicaKey};
use crate::time::Tick;

/// A block of a prompt prefix that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identifies the text of the block.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Inference that a request needs from an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InferenceSpec {
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub output_tokens: u32,
    /// Shared blocks at the start of the prompt, in order.
    pub prefix: Vec<PrefixBlock>,
}

/// Shared blocks of one prompt that are considered, which bounds memory and messages.
const MAX_SHARED_BLOCKS: usize = 16;

impl InferenceSpec {
    /// Ids of the blocks that other requests may share: all but the last one, which belongs to the
    /// request or its session.
    pub fn shared_blocks(&self) -> Vec<u64> {
        let shared = self.prefix.len().saturating_sub(1).min(MAX_SHARED_BLOCKS);
        self.prefix.iter().take(shared).map(|b| b.id).collect()
    }
}

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// Id of the caller's attempt.
    pub id: ArcStr,
    /// Name of the service.
    pub service: ArcStr,
    /// Inference that it needs, none for a plain service.
    pub inference: Option<InferenceSpec>,
    /// Whether it may be repeated.
    pub kind: RouteKind,
    /// Until when the response, or its first event, meets the SLO.
    pub slo_deadline: Tick,
    /// When the caller stops waiting.
    pub deadline: Tick,
    /// Replicas that must not be chosen again.
    pub excluded: Vec<ReplicaKey>,
    /// Number of replicas that it was sent to.
    pub attempts: u32,
    /// The same for each attempt of a caller at the same request; see [`fingerprint`].
    pub fingerprint: u64,
    /// The only software version that may serve it: the one that began its stream.
    pub software: Option<ArcStr>,
}

/// Fingerprint of a request of an account. A cryptographic hash, since an account could otherwise
/// make requests with the fingerprint of another one's.
pub fn fingerprint(account: Option<&str>, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut h = Sha256::new();
    for part in [account.unwrap_or_default().as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        h.update((part.len() as u64).to_le_bytes());
        h.update(part);
    }
    let [a, b, c, d, e, f, g, i, ..] = <[u8; 32]>::from(h.finalize());
    u64::from_le_bytes([a, b, c, d, e, f, g, i])
}

/// What of a request may make a replica end: the prompt blocks that other requests share with it,
/// or the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Features {
    /// Ids of the shared prompt blocks in order.
    pub blocks: Vec<u64>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

impl Features {
    /// Ids of all features, from those that the most requests share to the request itself.
    pub fn ids(&self) -> Vec<u64> {
        self.blocks.iter().copied().chain([self.fingerprint]).collect()
    }
}

impl ReplicaRequest {
    /// What of it may make a replica end.
    pub fn features(&self) -> Features {
        let blocks = self.inference.as_ref().map(|i| i.shared_blocks()).unwrap_or_default();
        Features { blocks, fingerprint: self.fingerprint }
    }

    /// Time until the deadline.
    pub fn remaining(&self, now: Tick) -> Duration {
        self.deadline.since(now)
    }
}
