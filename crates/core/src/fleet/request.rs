//! What a request asks for.

use std::time::Duration;

use arcstr::ArcStr;

use super::{config::RouteKind, replicas::ReplicaKey};
use crate::time::Tick;

/// A shared part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identifies the text.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a request asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InferenceSpec {
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub output_tokens: u32,
    /// Shared parts of the prompt, in order.
    pub prefix: Vec<PrefixBlock>,
}

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// Id of the caller's attempt.
    pub id: ArcStr,
    /// Name of the service.
    pub service: ArcStr,
    /// What it asks of an engine, none for a plain service.
    pub inference: Option<InferenceSpec>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// When the answer, or its first event, earns the full benefit.
    pub slo_deadline: Tick,
    /// When the caller stops waiting.
    pub deadline: Tick,
    /// Replicas that are not to be tried again.
    pub excluded: Vec<ReplicaKey>,
    /// Replicas that it was sent to.
    pub attempts: u32,
}

impl ReplicaRequest {
    /// Time that is left.
    pub fn remaining(&self, now: Tick) -> Duration {
        self.deadline.since(now)
    }
}
