//! Format and checks of the host list that the platform publishes.

use std::{collections::BTreeSet, net::SocketAddr};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use crate::ids::Ordinal;

/// Maximum size of a host list. 1,100 hosts and 12,000 upstreams take about 0.7 MB.
pub const MAX_LIST_BYTES: usize = 4_000_000;

/// Maximum number of hosts in a host list, about four times the design size.
pub const MAX_LIST_HOSTS: usize = 4_000;

/// Maximum number of upstreams in a host list, about four times the design size.
pub const MAX_LIST_UPSTREAMS: usize = 50_000;

/// Maximum length of a name in a host list, that of a DNS name.
const MAX_NAME_BYTES: usize = 253;

/// Snapshot of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Generation, increased with every change of the list.
    pub generation: u64,
    /// All hosts, including this one.
    pub hosts: Vec<Host>,
    /// Upstreams that the platform manages.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
}

/// Host in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name.
    pub name: ArcStr,
    /// Number of the host in its group.
    pub ordinal: Ordinal,
    /// Group name, empty if there is only one group.
    #[serde(default)]
    pub group: ArcStr,
    /// Failure domain.
    pub domain: ArcStr,
    /// IP address and port for callers.
    pub http: ArcStr,
    /// IP address and port for other hosts.
    pub peer: ArcStr,
    /// Whether it is in use or to be removed.
    pub state: ListedState,
}

/// Upstream in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name as in the rules.
    pub name: ArcStr,
    /// Whether it is in use or to be removed.
    pub state: ListedState,
}

/// State of a host or an upstream according to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In use.
    #[default]
    Live,
    /// To be removed.
    Leaving,
}

/// Why a host list was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is not JSON in the format of a host list.
    #[error("host list cannot be read: {0}")]
    Format(String),
    /// It exceeds a size limit.
    #[error("host list has {found} {what}, allowed are {limit}")]
    Size {
        /// Unit or items that are counted.
        what: &'static str,
        /// Their number.
        found: usize,
        /// Largest number allowed.
        limit: usize,
    },
    /// A name is empty, too long or not unique.
    #[error("host list: invalid or duplicate name {0:?}")]
    Name(ArcStr),
    /// An address is not an IP address and port.
    #[error("host list: {0:?} is not IP:PORT")]
    Address(ArcStr),
}

impl HostList {
    /// Parses and checks a host list.
    ///
    /// # Errors
    ///
    /// The bytes are too many, are not JSON of a host list, or do not pass [`HostList::check`].
    pub fn read(bytes: &[u8]) -> Result<Self, ListError> {
        check_limit("bytes", bytes.len(), MAX_LIST_BYTES)?;
        let list: Self =
            serde_json::from_slice(bytes).map_err(|e| ListError::Format(e.to_string()))?;
        list.check()?;
        Ok(list)
    }

    /// Checks sizes, names and addresses.
    ///
    /// # Errors
    ///
    /// The first failed check.
    pub fn check(&self) -> Result<(), ListError> {
        check_limit("hosts", self.hosts.len(), MAX_LIST_HOSTS)?;
        check_limit("upstreams", self.upstreams.len(), MAX_LIST_UPSTREAMS)?;
        check_names(self.hosts.iter().map(|h| &h.name))?;
        check_names(self.upstreams.iter().map(|u| &u.name))?;
        for a in self.hosts.iter().flat_map(|h| [&h.http, &h.peer]) {
            if a.parse::<SocketAddr>().is_err() {
                return Err(ListError::Address(truncate(a)));
            }
        }
        Ok(())
    }
}

fn check_limit(what: &'static str, found: usize, limit: usize) -> Result<(), ListError> {
    if found > limit { Err(ListError::Size { what, found, limit }) } else { Ok(()) }
}

fn check_names<'a>(names: impl Iterator<Item = &'a ArcStr>) -> Result<(), ListError> {
    let mut seen = BTreeSet::new();
    for n in names {
        if n.is_empty() || n.len() > MAX_NAME_BYTES || !seen.insert(n) {
            return Err(ListError::Name(truncate(n)));
        }
    }
    Ok(())
}

// Limits the length of error messages.
fn truncate(text: &str) -> ArcStr {
    text.chars().take(MAX_NAME_BYTES).collect::<String>().into()
}
