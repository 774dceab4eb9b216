//! The platform's host list as it is read.

use std::{collections::BTreeSet, net::SocketAddr};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use crate::ids::Ordinal;

/// Largest host list, in bytes. 1,100 hosts and 12,000 upstreams need about 0.7 MB.
pub const MAX_LIST_BYTES: usize = 4_000_000;

/// Most hosts of a list, about four times the design size.
pub const MAX_LIST_HOSTS: usize = 4_000;

/// Most upstreams of a list, about four times the design size.
pub const MAX_LIST_UPSTREAMS: usize = 50_000;

/// Longest name or address of a list, in bytes; a DNS name has at most 253.
const MAX_NAME_BYTES: usize = 253;

/// One snapshot of the host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Rises with every change of the list.
    pub generation: u64,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Upstreams.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: ArcStr,
    /// Place in its group.
    pub ordinal: Ordinal,
    /// Group; empty while there is only one.
    #[serde(default)]
    pub group: ArcStr,
    /// Failure domain.
    pub domain: ArcStr,
    /// IP address and port for callers.
    pub http: ArcStr,
    /// IP address and port for other hosts.
    pub peer: ArcStr,
    /// What the platform says about it.
    pub state: ListedState,
}

/// An upstream of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name as in the inventory.
    pub name: ArcStr,
    /// What the platform says about it.
    pub state: ListedState,
}

/// What the platform says about a host or an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In use.
    #[default]
    Live,
    /// To be removed.
    Leaving,
}

/// Why a list was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The list cannot be read.
    #[error("host list cannot be read: {0}")]
    Format(String),
    /// The list is larger than allowed.
    #[error("host list has {found} {what}, allowed are {limit}")]
    Size {
        /// What there are too many of.
        what: &'static str,
        /// How many there are.
        found: usize,
        /// How many are allowed.
        limit: usize,
    },
    /// A name is empty, too long or listed twice.
    #[error("host list: bad or repeated name {0:?}")]
    Name(ArcStr),
    /// An address is not IP and port.
    #[error("host list: {0:?} is not IP:PORT")]
    Address(ArcStr),
}

impl HostList {
    /// Reads a list.
    ///
    /// # Errors
    ///
    /// The list is too large, is no JSON of a list, or does not pass [`HostList::check`].
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
    /// The first thing that is wrong.
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

// Error messages stay short whatever the list contains.
fn truncate(text: &str) -> ArcStr {
    text.chars().take(MAX_NAME_BYTES).collect::<String>().into()
}
