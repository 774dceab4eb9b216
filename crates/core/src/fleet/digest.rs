//! What hosts tell each other. Each digest replaces the sender's earlier one, so a lost datagram
//! costs one interval and a repeated one nothing.

use std::net::{Ipv4Addr, SocketAddr};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::{config::ReplicaEntry, freshness::SnapshotMark, report::Resident};

/// What a host does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It has no configuration yet, or none that is fresh enough.
    Unready,
    /// It takes requests.
    Serving,
    /// It is shutting down.
    Leaving,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender.
    Digest(Box<Digest>),
    /// Asks the host that gives a replica its orders to load an adapter.
    LoadRequest(LoadRequest),
    /// Answers a [`Want`].
    LoadResult(LoadResult),
    /// What a read of the store changed in the list of replicas.
    ListingDelta(ListingDelta),
}

/// Changes of the list of replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// Hash of the list before.
    pub base_hash: u64,
    /// The list after the changes.
    pub to: SnapshotMark,
    /// Revision of the store.
    pub revision: u64,
    /// Entries that are new or differ.
    pub entries: Vec<ReplicaEntry>,
    /// Ids without an entry.
    pub removed: Vec<ArcStr>,
}

/// State of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Where its machine listens for peers.
    pub ip: Ipv4Addr,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Failure domain.
    pub zone: ArcStr,
    /// Identifies the process; a later one has a higher number.
    pub incarnation: u64,
    /// Rises with each digest of the process.
    pub sequence: u64,
    /// What it does with requests.
    pub state: HostState,
    /// Hosts that it knows of, empty in every other digest.
    pub members: Vec<Member>,
    /// Age of the process, in ms.
    pub age_ms: u64,
    /// The newest revision of the store that it knows.
    pub revision: u64,
    /// Replicas that it gave orders to within [`super::peers::RECENT`].
    pub fences: Vec<ReplicaFence>,
    /// What it knows of the operator's keys.
    pub operator: Option<SnapshotMark>,
    /// What it knows of the replicas' entries.
    pub listing: Option<SnapshotMark>,
    /// What it has admitted for each account.
    pub accounts: Vec<AccountUsage>,
    /// Its requests at the replicas.
    pub loads: Vec<ReplicaLoad>,
    /// Prompt parts that it sent since the digest before the last.
    pub cached: Vec<CachedBlock>,
    /// Engines that it gives orders to and that changed or were not told of for a while.
    pub engines: Vec<EngineState>,
}

/// Orders to one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaFence {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Fencing token.
    pub fence: u64,
}

/// A host as another one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether it was heard within [`super::peers::SILENT`].
    pub alive: bool,
}

/// Use of an account's limit by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Hash of its name.
    pub account: u32,
    /// Units per second that callers ask for.
    pub demand: u32,
    /// Units admitted since the start of the process.
    pub admitted: u64,
}

/// Requests of one host at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Reading time of the prompts without a first event, in ms.
    pub prefill_ms: u32,
    /// Requests.
    pub inflight: u16,
    /// Tokens of memory, in thousands.
    pub kv_thousands: u16,
    /// Hashes of the artifacts that they use.
    pub artifacts: Vec<u32>,
}

/// A prompt part that was sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedBlock {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Hash of artifact and part.
    pub block: u32,
}

/// An engine as the host that orders it knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Whether the host may give it orders now.
    pub orderable: bool,
    /// Whether it answers.
    pub alive: bool,
    /// Adapters on their way to it.
    pub loading: u8,
    /// What it holds.
    pub residents: Vec<Resident>,
}

/// Request for a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Hash of the replica's id.
    pub replica: u32,
    /// What to load.
    pub resident: Resident,
}

/// Outcome of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResult {
    /// Hash of the replica's id.
    pub replica: u32,
    /// What was asked for.
    pub resident: Resident,
    /// Whether it is in place.
    pub loaded: bool,
}
