//! What an engine says of itself.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

/// A base model or an adapter that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// `MODEL` or `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Version.
    pub version: u64,
}

/// A report, as of some hundred milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and adapters in place.
    pub residents: Vec<Resident>,
    /// Adapters in transit.
    pub transferring: Vec<Resident>,
    /// A base model is being loaded or unloaded.
    pub model_busy: bool,
    /// Orders accepted since the replica's start.
    pub order_count: u64,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens of memory that cannot be given up.
    pub kv_used: u64,
    /// Unix milliseconds of the replica's start.
    pub started_ms: u64,
}
