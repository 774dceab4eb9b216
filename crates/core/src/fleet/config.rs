//! Data model of the operator's configuration and of the replicas' entries in the store.

use std::{net::SocketAddr, time::Duration};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::report::Resident;

/// One version of the operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version number; higher ones replace lower ones.
    pub version: u64,
    /// Routes of requests to services.
    pub routes: Vec<Route>,
    /// Services with their engines.
    pub services: Vec<Service>,
    /// Whether requests need an API key, except on public routes.
    pub keys_required: bool,
    /// Client accounts with their keys and limits.
    pub accounts: Vec<Account>,
    /// API keys of accounts that could not be understood. Their requests are refused.
    pub closed_keys: Vec<ArcStr>,
    /// Size limits of requests.
    pub limits: RequestLimits,
}

/// Size limits of requests, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestLimits {
    /// Body.
    pub body_bytes: usize,
    /// Path and headers together.
    pub header_bytes: usize,
}

/// Whether requests of the route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether another replica may continue after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// Selects requests by host and path and assigns them to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: ArcStr,
    /// Host header that selects the route, without a port.
    pub host: ArcStr,
    /// Path prefix, with a slash at both ends.
    pub prefix: ArcStr,
    /// Whether requests of the route may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller waits.
    pub timeout: Duration,
    /// Latency objective of the response, or of its first event.
    pub slo: Duration,
    /// Priority, 0 first.
    pub priority: u8,
    /// Services that share the requests. None if the route could not be understood: it then refuses
    /// its requests.
    pub targets: Vec<Target>,
    /// Number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: ArcStr,
    /// Share relative to the other targets.
    pub weight: u32,
}

/// A group of replicas that serve the same requests.
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

/// Capacity of each engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u32,
    /// Adapters that may be resident at once.
    pub adapter_slots: u32,
    /// Memory for weights and adapters together, in MB.
    pub capacity_mb: f64,
    /// Base models that it may load.
    pub models: Vec<ModelSpec>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub name: ArcStr,
    /// Size of the weights in MB.
    pub weights_mb: f64,
    /// Size of an adapter of it in MB; 0 if it is not known.
    pub adapter_mb: f64,
}

impl EngineSpec {
    /// Adapters that may be resident at once beside these base models: as many as there are slots, and
    /// as fit into the rest of the memory.
    pub fn adapter_limit<'a>(&self, residents: impl Iterator<Item = &'a str>) -> usize {
        let slots = self.adapter_slots as usize;
        let (mut free_mb, mut adapter_mb) = (self.capacity_mb, 0.0_f64);
        for name in residents {
            if let Some(m) = self.models.iter().find(|m| m.name == name) {
                free_mb -= m.weights_mb;
                adapter_mb = adapter_mb.max(m.adapter_mb);
            }
        }
        if adapter_mb <= 0.0 {
            return slots;
        }
        // The largest number of adapters that fill the memory exactly is not lost to rounding.
        let fitting = (free_mb.max(0.0) / adapter_mb + 1e-9).floor();
        slots.min(fitting as usize)
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: ArcStr,
    /// API keys of its callers.
    pub keys: Vec<ArcStr>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Units per second over all hosts together, 0 without a limit.
    pub rate: f64,
    /// Units above the rate.
    pub burst: f64,
    /// Whether the unit is a token; otherwise it is a request.
    pub per_token: bool,
    /// Tokens that a request counts if it does not state them.
    pub default_tokens: u32,
}

/// The newest version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestVersion {
    /// `MODEL/ADAPTER`.
    pub artifact: ArcStr,
    /// Version.
    pub version: u64,
}

/// Entry that a replica writes to the store about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// Id, which a restarted replica may reuse.
    pub id: ArcStr,
    /// Name of its service.
    pub service: ArcStr,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: ArcStr,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Start time in Unix milliseconds, which distinguishes two starts with the same id.
    pub started_ms: u64,
    /// Whether it is draining and takes no new requests.
    pub leaving: bool,
    /// Time until it stops, counted from when the entry was written.
    pub remaining: Option<Duration>,
    /// Artifacts that were resident when the entry was written.
    pub residents: Vec<Resident>,
    /// Version of its software, not of its weights.
    pub software: ArcStr,
}
