//! Settings of the stand-ins.

use std::path::Path;

use serde::Deserialize;

use crate::error::{Error, Result};

/// All stand-ins of one process.
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

/// A stand-in with nothing but an address.
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
    /// Loads per second.
    #[serde(default = "rate")]
    pub rate: u64,
    /// Loads that may come at once; default is two seconds' worth.
    pub burst: Option<u64>,
    /// Loads in flight up to which a load takes `load_ms`.
    #[serde(default = "flight")]
    pub flight: u64,
    /// Milliseconds per load.
    #[serde(default = "load_ms")]
    pub load_ms: u64,
    /// Adapters that are answered with 404.
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
    /// Weight store, default is the one of the same process. Without one, loads take no time.
    pub store: Option<String>,
    /// Adapter slots.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that run at once.
    #[serde(default = "batch")]
    pub batch: usize,
    /// Requests that may wait.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Whether commands with an old fencing number are rejected.
    #[serde(default)]
    pub fencing: bool,
    /// Milliseconds to the first token.
    #[serde(default = "first_ms")]
    pub first_ms: u64,
    /// Milliseconds between tokens.
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
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is not valid.
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
