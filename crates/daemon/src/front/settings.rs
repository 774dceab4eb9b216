//! Settings file of a host in platform mode (TOML). `deploy/settings.toml.in` is its template.

#[cfg(test)]
mod tests;

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::Path,
    time::Duration,
};

use arcstr::ArcStr;
use serde::Deserialize;
use yuccawing_core::fleet::quota::Tolerance;

/// Shortest window over which limits may be measured, in seconds: several intervals of digests.
const MIN_QUOTA_WINDOW_S: f64 = 1.0;

/// Content of the settings file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of the host, in logs and in its orders to engines.
    pub name: ArcStr,
    /// IP address of the machine.
    pub ip: Ipv4Addr,
    /// Failure domain of the machine.
    pub zone: ArcStr,
    /// First and last port for traffic between hosts and for metrics.
    pub ports: (u16, u16),
    /// Addresses of hosts to contact first. They may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Number of hosts above which digests between failure domains go through relays. Hosts of a
    /// release without relays do not understand them, so it is raised above the size of the fleet
    /// while such hosts run.
    #[serde(default = "default_relay_above")]
    pub relay_above: usize,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval at which replicas renew their entries in the store, in milliseconds. 0 if it is not
    /// known; the store's history then does not tell how long ago a replica was listed.
    #[serde(default)]
    pub heartbeat_ms: f64,
    /// Prompt blocks, as callers write them (hexadecimal), that are never held back.
    #[serde(default)]
    pub released_blocks: Vec<String>,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// Limits that the operators of the platform set.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Addresses that a host listens on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listen {
    /// For requests of callers.
    pub front: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For address lookups.
    pub directory: SocketAddr,
}

/// Limits that the operators of the platform set.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Bounds {
    /// Seconds from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Whether withdrawn keys must stop working even while the store is unreachable.
    pub fail_closed: bool,
    /// Milliseconds after which a withdrawn key must not work.
    pub revoke_ms: u64,
    /// Milliseconds within which a new configuration must be in force.
    pub config_ms: u64,
    /// Milliseconds after which a draining replica must get no new requests.
    pub drain_ms: u64,
    /// Shortest time in milliseconds between orders of two different hosts to one replica.
    pub lease_ms: u64,
    /// Largest TTL of a lookup in seconds.
    pub ttl_s: f64,
    /// Allowed ratio of retries to requests.
    pub retry_ratio: f64,
    /// Allowed retries beyond the ratio, over all hosts.
    pub retry_slack: f64,
    /// Allowed fraction beyond an account's limit, over all hosts.
    pub quota_overage: f64,
    /// Allowed units beyond that fraction, over all hosts.
    pub quota_slack: f64,
    /// Seconds over which the limit and both allowances are measured.
    pub quota_window_s: f64,
}

fn default_relay_above() -> usize {
    12
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            fail_closed: true,
            revoke_ms: 5000,
            config_ms: 2000,
            drain_ms: 2000,
            lease_ms: 3000,
            ttl_s: 5.0,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            quota_overage: 0.0,
            quota_slack: 0.0,
            quota_window_s: 8.0,
        }
    }
}

impl Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// How far accounts may exceed their limits.
    pub fn tolerance(&self) -> Tolerance {
        let window = Duration::try_from_secs_f64(self.quota_window_s).unwrap_or_default();
        Tolerance { overage: self.quota_overage, slack: self.quota_slack, window }
    }
}

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The file is not valid TOML or has a field of the wrong type.
    #[error("{path}: {error}")]
    Parse {
        /// Path of the file.
        path: String,
        /// Error of the parser, with line and column.
        error: toml::de::Error,
    },
    /// Values are out of range or contradict each other.
    #[error("{path}: {}", problems.join("; "))]
    Invalid {
        /// Path of the file.
        path: String,
        /// One text per problem.
        problems: Vec<String>,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not valid TOML, or has invalid values.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { path: name.clone(), error })?;
        let out: Self = toml::from_str(&text)
            .map_err(|error| SettingsError::Parse { path: name.clone(), error })?;
        let problems = out.problems();
        if problems.is_empty() {
            Ok(out)
        } else {
            Err(SettingsError::Invalid { path: name, problems })
        }
    }

    fn problems(&self) -> Vec<String> {
        let mut out = Vec::new();
        if self.ports.0 >= self.ports.1 {
            out.push(format!(
                "ports: the first port {} must be below the last port {}",
                self.ports.0, self.ports.1
            ));
        }
        for (i, b) in self.released_blocks.iter().enumerate() {
            if u64::from_str_radix(b, 16).is_err() {
                out.push(format!("released_blocks[{i}]: \"{b}\" is not a hexadecimal number"));
            }
        }
        // The store is read several times within each of these bounds.
        for (key, value) in
            [("config_ms", self.bounds.config_ms), ("drain_ms", self.bounds.drain_ms)]
        {
            if value == 0 {
                out.push(format!(
                    "bounds.{key}: must be above 0, because the store is read within it"
                ));
            }
        }
        if !self.heartbeat_ms.is_finite() || self.heartbeat_ms < 0.0 {
            out.push(format!(
                "heartbeat_ms: {} must be a finite number of at least 0",
                self.heartbeat_ms
            ));
        }
        for (key, value) in [
            ("grace_s", self.bounds.grace_s),
            ("ttl_s", self.bounds.ttl_s),
            ("retry_ratio", self.bounds.retry_ratio),
            ("retry_slack", self.bounds.retry_slack),
            ("quota_overage", self.bounds.quota_overage),
            ("quota_slack", self.bounds.quota_slack),
            ("quota_window_s", self.bounds.quota_window_s),
        ] {
            if !value.is_finite() || value < 0.0 {
                out.push(format!("bounds.{key}: {value} must be a finite number of at least 0"));
            }
        }
        if self.bounds.quota_window_s < MIN_QUOTA_WINDOW_S {
            out.push(format!(
                "bounds.quota_window_s: {} must be at least {MIN_QUOTA_WINDOW_S}, since hosts learn \
                 of each other's requests several times within it",
                self.bounds.quota_window_s
            ));
        }
        out
    }

    /// Ids of the prompt blocks that are never held back.
    pub fn released(&self) -> Vec<u64> {
        let ids = self.released_blocks.iter();
        ids.filter_map(|b| u64::from_str_radix(b, 16).ok()).collect()
    }

    /// Interval at which replicas renew their entries, if it is known.
    pub fn renewal_interval(&self) -> Option<Duration> {
        let interval = Duration::try_from_secs_f64(self.heartbeat_ms / 1000.0);
        interval.ok().filter(|d| !d.is_zero())
    }

    /// UDP port for messages between hosts.
    pub fn peer_port(&self) -> u16 {
        self.ports.0
    }

    /// Address of the metrics endpoint.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.0 + 1))
    }
}
