//! Inventory and rules of one configuration version.
//!
//! Operators write TOML files; [`Rules::read`] reads them and reports all findings together.
//! [`Rules::render`] makes the values that are published, [`Rules::assemble`] reads them back.

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

/// Inventory and rules of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Number of ordinals in a group of hosts, 1 to 7.
    pub hosts: u8,
    /// Limits of the weight store.
    #[serde(default)]
    pub store: Store,
    /// Base models.
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

/// Limits of the weight store, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Loads per second.
    pub rate: u64,
    /// Loads in flight.
    pub flight: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self { rate: 4, flight: 8 }
    }
}

/// An adapter of a base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Base model.
    pub model: ArcStr,
    /// Versions that may be asked for; the last one is used when a request names none.
    pub versions: Vec<ArcStr>,
    /// Class of its requests.
    #[serde(default)]
    pub class: Class,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Tokens per second over all hosts together.
    pub rate: u64,
    /// Tokens that may be used at once over all hosts together.
    pub burst: u64,
    /// Weight in fair queueing.
    #[serde(default = "one")]
    pub weight: u32,
    /// SHA-256 of each key, in hexadecimal.
    #[serde(default)]
    pub keys: Vec<ArcStr>,
}

/// Class of service, from the one served first to the one served last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Short look-ups that people wait for.
    Status,
    /// Ordinary requests.
    #[default]
    Interactive,
    /// Long answers that may wait.
    Drafting,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Upstream {
    /// A model engine.
    Engine {
        /// IP address and port.
        addr: ArcStr,
        /// Failure domain.
        domain: ArcStr,
        /// Base model.
        model: ArcStr,
        /// Adapter slots.
        slots: u32,
        /// Requests that run at once.
        batch: u32,
        /// Whether it refuses orders with an old fencing number.
        #[serde(default)]
        fencing: bool,
    },
    /// A plain service.
    Plain {
        /// IP address and port.
        addr: ArcStr,
        /// Failure domain.
        domain: ArcStr,
        /// Calls that run at once.
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

/// A route to plain services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Names of plain upstreams.
    pub upstreams: Vec<ArcStr>,
    /// Whether a call needs no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a call may be repeated.
    #[serde(default)]
    pub idempotent: bool,
    /// Tokens that a call costs its account.
    #[serde(default)]
    pub cost: u64,
}

/// Service-level objectives; shares are in parts per million of requests that must be good.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// First token within this many milliseconds.
    pub first_ms: u64,
    /// Status checks within this many milliseconds.
    pub status_ms: u64,
    /// Share of requests with a first token in time.
    pub first_ppm: u32,
    /// Share of status checks in time.
    pub status_ppm: u32,
    /// Share of requests not refused for a limit of the system's own.
    pub refusal_ppm: u32,
    /// Share of requests that did not wait for a load.
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
