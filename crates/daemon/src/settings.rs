//! Settings file of a host (TOML). It is read and validated as a whole before the process opens any
//! socket, and all errors are reported together.

mod read;
#[cfg(test)]
mod tests;

use std::{fs, net::SocketAddr, path::Path, path::PathBuf, time::Duration};

use arcstr::ArcStr;
use slog::Level;
use yuccawing_core::{
    ids::{Generation, Ordinal},
    rules::{Finding, Findings},
};

use self::read::Reader;
use crate::control::messages::KeyHash;

/// Highest ordinal of a host; a group has at most 7 hosts.
const MAX_ORDINAL: u8 = 6;

/// Minimum of `stop.limit_s`, in seconds. A shutdown waits for the address TTL plus 1 s before it
/// waits for requests to end.
const MIN_STOP_S: u64 = 5;

/// Maximum of `stop.limit_s`, in seconds. Requests take 120 s at most.
const MAX_STOP_S: u64 = 600;

/// Maximum of `limits.body_kib`.
const MAX_BODY_KIB: u64 = 64 * 1024;

/// Maximum of `limits.held_mib`.
const MAX_HELD_MIB: u64 = 64 * 1024;

/// Settings of a host, after validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host, as in the host list.
    pub name: ArcStr,
    /// Number of the host within its group, from 0.
    pub ordinal: Ordinal,
    /// Failure domain of the host.
    pub domain: ArcStr,
    /// Generation of a new group whose processes may admit each other; `None` for an existing
    /// group.
    pub bootstrap: Option<Generation>,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// Addresses of the services that publish the configuration and the host list.
    pub platform: Platform,
    /// Connections that may do without TLS.
    pub plaintext: Plaintext,
    /// Certificate, key and CA files; `None` if all connections are in plain text.
    pub tls: Option<TlsFiles>,
    /// Format and level of the log.
    pub log: Log,
    /// Time limit of the graceful shutdown.
    pub stop: Stop,
    /// Limits of the HTTP server for callers.
    pub limits: Limits,
    /// Access to the `/admin` paths.
    pub admin: Admin,
}

/// Addresses that the host listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers.
    pub http: SocketAddr,
    /// For connections of other hosts.
    pub peer: SocketAddr,
}

/// Addresses of the services that the host reads from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Service that publishes the configuration.
    pub config: SocketAddr,
    /// Service that publishes the host list.
    pub list: SocketAddr,
}

/// Connections that may do without TLS; by default none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plaintext {
    /// Connections of callers.
    pub callers: bool,
    /// Connections between hosts.
    pub peers: bool,
}

/// Paths of PEM files. Changed files are reloaded without a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain of this host.
    pub cert: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
    /// CA certificates that sign the certificates of the hosts.
    pub ca: PathBuf,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// Log settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Lowest level that is written.
    pub level: Level,
}

/// Access of operators to the `/admin` paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admin {
    /// SHA-256 of the operators' key. Without a key only loopback addresses can reach `/admin`.
    pub key: Option<KeyHash>,
}

/// Settings of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time after which the process exits without waiting for requests any longer.
    pub timeout: Duration,
}

/// Limits of the HTTP server for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum total size of the request bodies in memory, over all HTTP worker threads.
    pub held_bytes: usize,
    /// Maximum number of caller connections per HTTP worker thread.
    pub max_connections: usize,
    /// Number of HTTP worker threads.
    pub workers: usize,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// All findings, each with its file and line.
    pub fn load(file: &Path) -> Result<Self, Findings> {
        let name = file.display().to_string();
        let text = fs::read_to_string(file).map_err(|e| {
            Findings(vec![Finding { file: name.clone(), line: 1, message: e.to_string() }])
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// All findings, each with its file and line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut r = Reader::new(file, text)?;
        let settings = Self::read(&mut r);
        r.report_unknown();
        if let Some(s) = &settings {
            s.check(&mut r);
        }
        match settings {
            Some(s) if r.is_clean() => Ok(s),
            _ => Err(r.into_findings()),
        }
    }

    // Reads every key before the first `?`, so that all findings are reported together.
    fn read(r: &mut Reader<'_>) -> Option<Self> {
        let name = r.required("", "name");
        let ordinal = r.required("", "ordinal");
        let domain = r.required("", "domain");
        let found = r.in_range("", "found", 0, 0..=u64::MAX);
        let (http, peer) = (r.addr("listen", "http"), r.addr("listen", "peer"));
        let (config, list) = (r.addr("platform", "config"), r.addr("platform", "list"));
        let callers = r.optional("plaintext", "callers", false);
        let peers = r.optional("plaintext", "peers", false);
        let tls = if r.has_section("tls") {
            let (cert, key, ca) =
                (r.required("tls", "cert"), r.required("tls", "key"), r.required("tls", "ca"));
            cert.zip(key).zip(ca).map(|((cert, key), ca)| TlsFiles { cert, key, ca })
        } else {
            None
        };
        let format = r.optional("log", "format", Format::Json);
        let level = r.level("log", "level");
        let timeout =
            Duration::from_secs(r.in_range("stop", "limit_s", 150, MIN_STOP_S..=MAX_STOP_S));
        let limits = Limits {
            body_bytes: to_usize(r.in_range("limits", "body_kib", 1024, 1..=MAX_BODY_KIB) * 1024),
            held_bytes: to_usize(
                r.in_range("limits", "held_mib", 256, 1..=MAX_HELD_MIB) * 1024 * 1024,
            ),
            max_connections: to_usize(r.in_range("limits", "connections", 10_000, 1..=100_000)),
            workers: to_usize(r.in_range("limits", "workers", 2, 1..=64)),
        };
        let admin = Admin { key: r.key_hash("admin", "key") };
        Some(Self {
            name: name?,
            ordinal: Ordinal(ordinal?),
            domain: domain?,
            bootstrap: (found > 0).then_some(Generation(found)),
            listen: Listen { http: http?, peer: peer? },
            platform: Platform { config: config?, list: list? },
            plaintext: Plaintext { callers, peers },
            tls,
            log: Log { format, level },
            stop: Stop { timeout },
            limits,
            admin,
        })
    }

    fn check(&self, r: &mut Reader<'_>) {
        if self.name.is_empty() {
            r.report("", "name", "name is empty");
        }
        if self.domain.is_empty() {
            r.report("", "domain", "domain is empty");
        }
        if self.ordinal.0 > MAX_ORDINAL {
            r.report("", "ordinal", format!("ordinal is {}, allowed are 0 to 6", self.ordinal));
        }
        if self.listen.http == self.listen.peer && self.listen.http.port() != 0 {
            r.report("listen", "peer", "listen.http and listen.peer are the same address");
        }
        if self.limits.held_bytes < self.limits.body_bytes {
            r.report("limits", "held_mib", "limits.held_mib is less than one request body");
        }
        match &self.tls {
            None if !self.plaintext.callers => {
                r.report(
                    "plaintext",
                    "callers",
                    "plain text towards callers is off and [tls] is missing",
                );
            }
            None if !self.plaintext.peers => {
                r.report(
                    "plaintext",
                    "peers",
                    "plain text between hosts is off and [tls] is missing",
                );
            }
            None => {}
            Some(t) => {
                for (key, path) in [("cert", &t.cert), ("key", &t.key), ("ca", &t.ca)] {
                    if let Err(e) = fs::File::open(path) {
                        r.report("tls", key, format!("{}: {e}", path.display()));
                    }
                }
            }
        }
    }
}

fn to_usize(n: u64) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}
