//! The operator's configuration and the replicas' entries.

use std::{net::SocketAddr, time::Duration};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::report::Resident;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Its version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Whether requests need a key, except on open routes.
    pub keys_required: bool,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Limits on what callers send.
    pub limits: RequestLimits,
}

/// Limits on what callers send, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLimits {
    /// Body of a request.
    pub body_bytes: usize,
    /// Head of a request.
    pub header_bytes: usize,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A series of events.
    Stream {
        /// Another replica may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: ArcStr,
    /// Host header that selects it, without a port.
    pub host: ArcStr,
    /// Beginning of the paths, with a slash at both ends.
    pub prefix: ArcStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer, or its first event, earns the full benefit.
    pub slo: Duration,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that share the requests.
    pub targets: Vec<Target>,
    /// Replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its name.
    pub service: ArcStr,
    /// Its share, relative to the others.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ArcStr,
    /// Path of health checks.
    pub health_path: Option<ArcStr>,
    /// Connections that a replica accepts from all hosts together.
    pub max_connections: Option<u32>,
    /// Engine, none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What the engines of a service have room for.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens of memory.
    pub kv_tokens: u32,
    /// Adapters.
    pub adapter_slots: u32,
    /// Weights and adapters together, in MB.
    pub capacity_mb: f64,
    /// Base models.
    pub models: Vec<ModelSpec>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub name: ArcStr,
    /// Weights in MB.
    pub weights_mb: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: ArcStr,
    /// Keys of its callers.
    pub keys: Vec<ArcStr>,
    /// Rank that goes before a route's.
    pub priority: Option<u8>,
    /// Units per second over all hosts together, 0 without a limit.
    pub rate: f64,
    /// Units above the rate.
    pub burst: f64,
    /// Whether the unit is a token; else it is a request.
    pub per_token: bool,
    /// Tokens of a request that states none.
    pub default_tokens: u32,
}

/// The newest version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestVersion {
    /// `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Version.
    pub version: u64,
}

/// A replica as it describes itself in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// Id, which a restarted replica may keep.
    pub id: ArcStr,
    /// Name of its service.
    pub service: ArcStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: ArcStr,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Unix milliseconds of its start, which tells two starts apart.
    pub started_ms: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time until it is gone, as of when the entry was written.
    pub remaining: Option<Duration>,
    /// What it held when the entry was written.
    pub residents: Vec<Resident>,
}
