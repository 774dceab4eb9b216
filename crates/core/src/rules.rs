//! Content of a configuration version: the inventory and rules that operators write.
//!
//! [`Rules::read`] parses the operators' TOML files and reports all errors together.
//! [`Rules::render`] creates the values for the configuration service, and [`Rules::assemble`]
//! reads them back.

mod check;
mod diff;
mod parse;
mod publish;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

pub use self::{
    check::{Issue, Location, MAX_NAME_BYTES, MAX_TOKENS, Section},
    diff::{Change, ChangeKind, ListEntry},
    parse::{Finding, Findings, SourceFile},
    publish::{
        Digest, Head, INDEX_COUNT, MAX_PART_BYTES, PublishError, Rendered, SHARDS_PER_INDEX,
        digest, read_index,
    },
};

/// Inventory and rules of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Number of hosts in a group, 1 to 7.
    pub hosts: u8,
    /// Limits of loads from the weight store.
    #[serde(default)]
    pub store: Store,
    /// Names of the base models.
    #[serde(default)]
    pub models: Vec<ArcStr>,
    /// Adapters by name.
    #[serde(default)]
    pub adapters: BTreeMap<ArcStr, Adapter>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<ArcStr, Account>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: BTreeMap<ArcStr, Upstream>,
    /// Routes to plain services by path prefix.
    #[serde(default)]
    pub routes: BTreeMap<ArcStr, Route>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Objectives,
}

/// Limits of loads from the weight store, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Loads per second.
    pub rate: u64,
    /// Loads that may run at the same time.
    pub flight: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self { rate: 4, flight: 8 }
    }
}

/// Adapter of a base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name of the base model.
    pub model: ArcStr,
    /// Versions that requests may name; the last one is the default.
    pub versions: Vec<ArcStr>,
    /// Service class of its requests.
    #[serde(default)]
    pub class: Class,
}

/// Client account with its rate limit and keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Tokens per second over all hosts together.
    pub rate: u64,
    /// Tokens that may be spent at once over all hosts together.
    pub burst: u64,
    /// Weight in fair queueing.
    #[serde(default = "one")]
    pub weight: u32,
    /// SHA-256 digests of its API keys, in hexadecimal.
    #[serde(default)]
    pub keys: Vec<ArcStr>,
}

/// Service class of a request, in order of priority.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short lookups that people wait for.
    Status,
    /// Ordinary requests.
    #[default]
    Interactive,
    /// Long answers that may wait.
    Drafting,
}

/// Service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Upstream {
    /// Inference engine.
    Engine {
        /// IP address and port.
        addr: ArcStr,
        /// Failure domain.
        domain: ArcStr,
        /// Name of its base model.
        model: ArcStr,
        /// Number of adapters that it can hold at the same time.
        slots: u32,
        /// Number of requests that it runs at the same time.
        batch: u32,
        /// Whether it refuses commands with an outdated fencing token.
        #[serde(default)]
        fencing: bool,
    },
    /// Plain HTTP service.
    Plain {
        /// IP address and port.
        addr: ArcStr,
        /// Failure domain.
        domain: ArcStr,
        /// Most calls that may run at the same time.
        limit: u32,
    },
}

impl Upstream {
    /// IP address and port.
    pub fn addr(&self) -> &ArcStr {
        match self {
            Self::Engine { addr, .. } | Self::Plain { addr, .. } => addr,
        }
    }

    /// Failure domain.
    pub fn domain(&self) -> &ArcStr {
        match self {
            Self::Engine { domain, .. } | Self::Plain { domain, .. } => domain,
        }
    }
}

/// Route from a path prefix to plain services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Names of plain upstreams.
    pub upstreams: Vec<ArcStr>,
    /// Whether calls need no API key.
    #[serde(default)]
    pub open: bool,
    /// Whether a failed call may be retried.
    #[serde(default)]
    pub idempotent: bool,
    /// Cost of a call in tokens of the caller's account.
    #[serde(default)]
    pub cost: u64,
}

/// Service-level objectives; the `_ppm` fields are the shares of good requests in parts per
/// million.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// Time limit of the first token in milliseconds.
    pub first_ms: u64,
    /// Time limit of a status check in milliseconds.
    pub status_ms: u64,
    /// Share of requests whose first token is in time.
    pub first_ppm: u32,
    /// Share of status checks that are in time.
    pub status_ppm: u32,
    /// Share of requests that are not refused for a reason within the system.
    pub refusal_ppm: u32,
    /// Share of requests that do not wait for an adapter to be loaded.
    pub stall_ppm: u32,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            first_ms: 490,
            status_ms: 250,
            first_ppm: 950_000,
            status_ppm: 990_000,
            refusal_ppm: 999_900,
            stall_ppm: 950_000,
        }
    }
}

fn one() -> u32 {
    1
}
