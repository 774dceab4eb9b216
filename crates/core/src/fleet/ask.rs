//! What a request asks for.

use std::time::Duration;

use arcstr::ArcStr;

use super::{inventory::Kind, replicas::ReplicaKey};
use crate::time::Tick;

/// A shared part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the text.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a request asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Prompt tokens.
    pub prompt: u32,
    /// Largest number of output tokens.
    pub output: u32,
    /// Shared parts of the prompt, in order.
    pub parts: Vec<Part>,
}

/// A request that needs a replica.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Id of the caller's attempt.
    pub id: ArcStr,
    /// Name of the service.
    pub service: ArcStr,
    /// What it asks of an engine, none for a plain service.
    pub demand: Option<Demand>,
    /// What may be repeated.
    pub kind: Kind,
    /// When the answer, or its first event, earns the full benefit.
    pub aim: Tick,
    /// When the caller stops waiting.
    pub deadline: Tick,
    /// Replicas that are not to be tried again.
    pub tried: Vec<ReplicaKey>,
    /// Replicas that it was sent to.
    pub sent: u32,
}

impl Ask {
    /// Time that is left.
    pub fn left(&self, now: Tick) -> Duration {
        self.deadline.since(now)
    }
}
