//! Messages between hosts, encoded by position. Each digest replaces the sender's earlier one, so a
//! lost datagram delays the state by one interval and a repeated one has no effect.

use std::net::{Ipv4Addr, SocketAddr};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::{
    config::ReplicaEntry,
    freshness::SnapshotMark,
    history::EraReport,
    origin::{BegunStream, Origin},
    report::Resident,
    versions::VersionReport,
};

/// Whether a host takes requests.
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
    /// Asks the owner of a replica to load an artifact.
    LoadRequest(LoadRequest),
    /// Response to a [`LoadRequest`].
    LoadResult(LoadResult),
    /// Change of the list of replicas, from the sender's read of the store.
    ListingDelta(ListingDelta),
    /// State of the sender, which the receiver passes on within its failure domain.
    Relay(Box<Digest>),
    /// State of another host, passed on by the sender.
    Relayed(Box<Digest>),
    /// Prompt blocks under which replicas ended.
    Losses(Box<LossReport>),
    /// Limits that replicas name.
    Limits(Box<LimitReport>),
    /// Era of the store. Hosts of an earlier release drop it.
    Era(EraReport),
    /// [`super::replicas::Replica::id_hash`] of a replica that has said that it leaves. Hosts of an
    /// earlier release drop it.
    Leaving(u32),
    /// Streams that have begun, to those that keep them. Hosts of an earlier release drop it, as they
    /// do the next two.
    Begun(Vec<BegunStream>),
    /// Asks for the origin of the stream with this key.
    OriginQuery(u64),
    /// Response to [`Self::OriginQuery`]: the key, and the origin if it is known.
    OriginReply(u64, Option<Origin>),
    /// Highest fencing tokens that the sender knows for the replicas that it has sent orders to, for a
    /// host that has just started or returned. Hosts of an earlier release drop it.
    Fences(Vec<ReplicaFence>),
    /// Adapter versions that the sender has listed.
    Versions(VersionReport),
}

impl Message {
    /// Label of messages with a receipt in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) | Self::Relay(_) => "digest",
            Self::ListingDelta(_) => "listing",
            Self::Versions(_) => "versions",
            Self::Limits(_) => "limits",
            _ => "other",
        }
    }

    /// Whether its receiver has to know how long it has waited, since it states an age. It is sent with
    /// a [`super::receipt::Receipt`] then. A digest that another host passes on is not: the receipt
    /// would be that of the relay.
    pub fn states_age(&self) -> bool {
        match self {
            Self::Digest(d) | Self::Relay(d) => d.operator.is_some() || d.listing.is_some(),
            Self::ListingDelta(_) | Self::Versions(_) | Self::Limits(_) => true,
            _ => false,
        }
    }
}

/// What a host knows of the limits that replicas name. Hosts of an earlier release drop it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Address at which the sender listens for peers.
    pub ip: Ipv4Addr,
    /// Identifies its process.
    pub incarnation: u64,
    /// Replicas with a limit, or whose limit has just ended.
    pub limits: Vec<NamedLimit>,
}

/// Limit that one replica names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Requests per 1,000 s that it takes from all hosts together; none if its limit has ended.
    pub limit_milli: Option<u32>,
    /// Time since the newest response that named it or showed its end, in ms.
    pub age_ms: u32,
    /// Requests that the sender's process has sent to it.
    pub sent: u32,
}

/// What a host knows of prompt blocks under which replicas ended. Hosts of an earlier release drop
/// it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LossReport {
    /// Address at which the sender listens for peers.
    pub ip: Ipv4Addr,
    /// Identifies its process.
    pub incarnation: u64,
    /// Rises with each report of the process.
    pub sequence: u64,
    /// Replicas that ended.
    pub losses: Vec<ReplicaLoss>,
    /// Blocks of which responses have gone beyond the first event.
    pub served: Vec<ServedBlock>,
    /// Blocks that it holds back.
    pub held: Vec<HeldBlock>,
}

/// A replica that ended while it ran requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoss {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Time since it ended, in ms.
    pub age_ms: u32,
    /// Requests that may have ended it.
    pub suspects: Vec<Suspect>,
}

/// A request that had got no more than one event when its replica ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Ids of its features, of which the last one is its fingerprint: see
    /// [`super::request::Features`]. Hosts of an earlier release send no fingerprint.
    pub blocks: Vec<u64>,
    /// Whether its response had begun.
    pub begun: bool,
}

/// A block of which a response has gone beyond its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedBlock {
    /// Id of the block.
    pub block: u64,
    /// Time since the newest such response, in ms.
    pub age_ms: u32,
}

/// A block that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBlock {
    /// Id of the block.
    pub block: u64,
    /// Time since the last request with it, in ms.
    pub idle_ms: u32,
}

/// Changes of the list of replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// Hash of the list before the changes.
    pub base_hash: u64,
    /// Hash of the list after the changes, and the age of its read.
    pub to: SnapshotMark,
    /// [`super::history::Position::count`] of the read.
    pub revision: u64,
    /// Entries that are new or differ.
    pub entries: Vec<ReplicaEntry>,
    /// Ids whose entry is gone.
    pub removed: Vec<ArcStr>,
}

/// State of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Address at which it listens for peers.
    pub ip: Ipv4Addr,
    /// Address for callers.
    pub front: SocketAddr,
    /// Failure domain.
    pub zone: ArcStr,
    /// Identifies the process; a later process of the host has a higher number.
    pub incarnation: u64,
    /// Rises with each digest of the process.
    pub sequence: u64,
    /// Whether it takes requests.
    pub state: HostState,
    /// Hosts that it knows of; left empty in every second digest.
    pub members: Vec<Member>,
    /// Age of the process, in ms.
    pub age_ms: u64,
    /// [`super::history::Position::count`] of the newest position of the store that it knows.
    pub revision: u64,
    /// Replicas that it sent orders to within [`super::peers::ORDER_WINDOW`], and those that peers
    /// did which have fallen silent since.
    pub fences: Vec<ReplicaFence>,
    /// State of its copy of the operator's keys.
    pub operator: Option<SnapshotMark>,
    /// State of its copy of the replicas' entries.
    pub listing: Option<SnapshotMark>,
    /// Its usage of each account's limit.
    pub accounts: Vec<AccountUsage>,
    /// Load from its requests at the replicas.
    pub loads: Vec<ReplicaLoad>,
    /// Prefix blocks that it sent since the digest before the last.
    pub cached: Vec<CachedBlock>,
    /// Engines that it owns and that changed or were not reported for a while.
    pub engines: Vec<EngineState>,
}

/// Highest fencing token that the sender knows for one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaFence {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Fencing token.
    pub fence: u64,
}

/// A host as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether a digest arrived within [`super::peers::SUSPECT_AFTER`].
    pub alive: bool,
}

/// Usage of an account's limit at one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Hash of the account's name.
    pub account: u32,
    /// Units per second that callers ask for.
    pub demand: u32,
    /// Units admitted since the start of the process.
    pub admitted: u64,
}

/// Load from requests of one host at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Prefill time of the prompts without a first event.
    pub prefill_ms: u32,
    /// Number of requests in progress.
    pub inflight: u16,
    /// KV cache tokens that they need, in thousands.
    pub kv_thousands: u16,
    /// Hashes of the artifacts that they use.
    pub artifacts: Vec<u32>,
}

/// A prefix block that was sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedBlock {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// [`super::replicas::block_key`] of the block.
    pub block: u32,
}

/// State of an engine as its owner knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Whether the owner may send it orders now.
    pub orderable: bool,
    /// Whether it responds to reads of its report.
    pub alive: bool,
    /// Number of loads that are under way or queued at it.
    pub loading: u8,
    /// Resident models and adapters.
    pub residents: Vec<Resident>,
}

/// Request for a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Artifact and version to load.
    pub resident: Resident,
}

/// Result of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResult {
    /// [`super::replicas::Replica::id_hash`] of the replica.
    pub replica: u32,
    /// Artifact and version that were requested.
    pub resident: Resident,
    /// Whether it is resident.
    pub loaded: bool,
}
