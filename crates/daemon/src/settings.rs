//! Settings of a host, read from a TOML file and checked as a whole before anything binds.

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

/// Highest ordinal; a group has at most 7 hosts.
const MAX_ORDINAL: u8 = 6;

/// Shortest `stop.limit_s`. Leaving takes the address TTL plus 1 s before requests are waited for.
const MIN_STOP_S: u64 = 5;

/// Longest `stop.limit_s`. Requests last 120 s at most.
const MAX_STOP_S: u64 = 600;

/// Largest `limits.body_kib`.
const MAX_BODY_KIB: u64 = 64 * 1024;

/// Largest `limits.held_mib`.
const MAX_HELD_MIB: u64 = 64 * 1024;

/// Settings of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub name: ArcStr,
    /// Place in its group.
    pub ordinal: Ordinal,
    /// Failure domain.
    pub domain: ArcStr,
    /// Whether the processes of a new group may admit each other.
    pub bootstrap: Option<Generation>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Where plain text is allowed.
    pub plaintext: Plaintext,
    /// Certificate, key and CA files.
    pub tls: Option<TlsFiles>,
    /// Logs.
    pub log: Log,
    /// Graceful shutdown.
    pub stop: Stop,
    /// Limits of the edge.
    pub limits: Limits,
    /// Operators' calls.
    pub admin: Admin,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub http: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Configuration service.
    pub config: SocketAddr,
    /// Host list.
    pub list: SocketAddr,
}

/// Where plain text is allowed; the default is nowhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plaintext {
    /// Towards callers.
    pub callers: bool,
    /// Between hosts.
    pub peers: bool,
}

/// PEM files. They are read again when they change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain of this host.
    pub cert: PathBuf,
    /// Private key of this host.
    pub key: PathBuf,
    /// Certificates that sign the hosts' certificates.
    pub ca: PathBuf,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// Logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Form of the lines.
    pub format: Format,
    /// Lowest level that is written.
    pub level: Level,
}

/// Operators' calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admin {
    /// SHA-256 of the operators' key. Without one, only loopback reaches `/admin`.
    pub key: Option<KeyHash>,
}

/// Graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time after which the exit is forced.
    pub timeout: Duration,
}

/// Limits of the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Bytes of request bodies that are held at once, over all traffic threads.
    pub held_bytes: usize,
    /// Connections from callers per traffic thread.
    pub max_connections: usize,
    /// Traffic threads.
    pub workers: usize,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// All findings, each with file and line.
    pub fn load(file: &Path) -> Result<Self, Findings> {
        let name = file.display().to_string();
        let text = fs::read_to_string(file).map_err(|e| {
            Findings(vec![Finding { file: name.clone(), line: 1, message: e.to_string() }])
        })?;
        Self::parse(&name, &text)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// All findings, each with file and line.
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

    // Every key is read before the first `?`, so that all findings are reported together.
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
