//! Reports that engines give about themselves.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

/// Version of a base model or an adapter that an engine holds or loads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Version of the artifact.
    pub version: u64,
}

/// Report of an engine; its content is some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Resident models and adapters.
    pub residents: Vec<Resident>,
    /// Adapters in transfer.
    pub transferring: Vec<Resident>,
    /// Whether a base model is being loaded or unloaded.
    pub model_busy: bool,
    /// Orders accepted since the replica's start.
    pub order_count: u64,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests in the batch.
    pub running: u32,
    /// KV cache tokens of running requests, which cannot be evicted.
    pub kv_used: u64,
    /// Start time of the replica in Unix milliseconds.
    pub started_ms: u64,
}
