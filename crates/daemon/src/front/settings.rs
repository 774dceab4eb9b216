//! Settings of a host on the platform (TOML). `deploy/settings.toml.in` is their template.

#[cfg(test)]
mod tests;

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::Path,
    time::Duration,
};

use arcstr::ArcStr;
use serde::Deserialize;

/// Settings.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub name: ArcStr,
    /// Address of its machine.
    pub ip: Ipv4Addr,
    /// Its failure domain.
    pub zone: ArcStr,
    /// First and last port for traffic between hosts.
    pub ports: (u16, u16),
    /// Addresses of hosts to start from. They may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Where the host listens.
    pub listen: Listen,
    /// Bounds that the users set.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Where a host listens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listen {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Look-ups of addresses.
    pub directory: SocketAddr,
}

/// Bounds that the users set.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Bounds {
    /// Seconds from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Whether withdrawn keys must stop working although the store cannot be reached.
    pub fail_closed: bool,
    /// Milliseconds after which a withdrawn key must not work.
    pub revoke_ms: u64,
    /// Milliseconds after which a configuration must be in force.
    pub config_ms: u64,
    /// Milliseconds after which a leaving replica must get no new work.
    pub drain_ms: u64,
    /// Milliseconds between the orders of two hosts to one replica.
    pub lease_ms: u64,
    /// Longest time in seconds for which callers keep a look-up.
    pub ttl_s: f64,
    /// Repeated requests per request.
    pub retry_ratio: f64,
    /// Repeated requests beyond the ratio, over all hosts.
    pub retry_slack: f64,
    /// Units beyond an account's limit, over all hosts.
    pub quota_slack: f64,
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
            quota_slack: 0.0,
        }
    }
}

impl Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// Path of the file.
        path: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}: {error}")]
    Parse {
        /// Path of the file.
        path: String,
        /// What the parser found, with its place.
        error: toml::de::Error,
    },
    /// Values contradict each other.
    #[error("{path}: {}", problems.join("; "))]
    Invalid {
        /// Path of the file.
        path: String,
        /// All findings.
        problems: Vec<String>,
    },
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not valid TOML, or has findings.
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
            out.push(format!("ports: {} is not below {}", self.ports.0, self.ports.1));
        }
        // The store is read several times within these bounds.
        for (key, value) in
            [("config_ms", self.bounds.config_ms), ("drain_ms", self.bounds.drain_ms)]
        {
            if value == 0 {
                out.push(format!("bounds.{key}: 0 leaves no time to read the store"));
            }
        }
        for (key, value) in [
            ("grace_s", self.bounds.grace_s),
            ("ttl_s", self.bounds.ttl_s),
            ("retry_ratio", self.bounds.retry_ratio),
            ("retry_slack", self.bounds.retry_slack),
            ("quota_slack", self.bounds.quota_slack),
        ] {
            if !value.is_finite() || value < 0.0 {
                out.push(format!("bounds.{key}: {value} is not a number from 0"));
            }
        }
        out
    }

    /// Port of the datagrams between hosts.
    pub fn peer_port(&self) -> u16 {
        self.ports.0
    }

    /// Where metrics are served.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.0 + 1))
    }
}
