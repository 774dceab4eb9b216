//! Settings file of the stand-ins.

use std::path::Path;

use serde::Deserialize;

use crate::error::{Error, Result};

/// Stand-ins that one process runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Configuration service.
    pub config: Option<Listen>,
    /// Host list.
    pub list: Option<Listen>,
    /// Weight store.
    pub store: Option<StoreSettings>,
    /// Engines.
    #[serde(default)]
    pub engines: Vec<EngineSettings>,
    /// Plain services.
    #[serde(default)]
    pub plain: Vec<PlainSettings>,
}

/// Stand-in that only needs an address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// IP address and port.
    #[serde(default = "listen")]
    pub listen: String,
}

/// Weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// IP address and port.
    #[serde(default = "listen")]
    pub listen: String,
    /// Fetches per second.
    #[serde(default = "rate")]
    pub rate: u64,
    /// Size of the token bucket in fetches; the default is two seconds of `rate`.
    pub burst: Option<u64>,
    /// Fetches in flight up to which a fetch takes `load_ms`; above it, durations grow in
    /// proportion.
    #[serde(default = "flight")]
    pub flight: u64,
    /// Duration of a fetch in milliseconds.
    #[serde(default = "load_ms")]
    pub load_ms: u64,
    /// Adapters for which the store responds with 404.
    #[serde(default)]
    pub unknown: Vec<String>,
}

/// Engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name.
    pub name: String,
    /// IP address and port.
    #[serde(default = "listen")]
    pub listen: String,
    /// Address of the weight store; the default is the one of the same process. Without a store,
    /// loads take no time.
    pub store: Option<String>,
    /// Adapter slots.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that run concurrently.
    #[serde(default = "batch")]
    pub batch: usize,
    /// Requests that may wait for the batch; more are refused.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Whether the engine rejects commands with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Time to the first token in milliseconds.
    #[serde(default = "first_ms")]
    pub first_ms: u64,
    /// Time between tokens in milliseconds.
    #[serde(default = "token_ms")]
    pub token_ms: u64,
}

/// Plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainSettings {
    /// Name.
    pub name: String,
    /// IP address and port.
    #[serde(default = "listen")]
    pub listen: String,
}

impl Settings {
    /// Reads the settings from a TOML file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or has unknown or invalid keys.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.into(), e))?;
        toml::from_str(&text).map_err(|e| Error::Settings(path.into(), e))
    }
}

fn listen() -> String {
    "127.0.0.1:0".into()
}

fn rate() -> u64 {
    4
}

fn flight() -> u64 {
    8
}

fn load_ms() -> u64 {
    250
}

fn slots() -> usize {
    4
}

fn batch() -> usize {
    8
}

fn queue() -> usize {
    64
}

fn first_ms() -> u64 {
    20
}

fn token_ms() -> u64 {
    5
}
