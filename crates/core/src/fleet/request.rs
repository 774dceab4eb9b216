//! Requests as the dispatcher sees them.

use std::time::Duration;

use arcstr::ArcStr;

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
        self.prefix[..shared].iter().map(|b| b.id).collect()
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
}

impl ReplicaRequest {
    /// Time until the deadline.
    pub fn remaining(&self, now: Tick) -> Duration {
        self.deadline.since(now)
    }
}
