//! What hosts tell each other. Each digest replaces the sender's earlier one, so a lost datagram
//! costs one interval and a repeated one nothing.

use std::net::{Ipv4Addr, SocketAddr};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

use super::{inventory::Entry, reading::Mark, report::Resident};

/// What a host does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It has no configuration yet, or none that is fresh enough.
    Unready,
    /// It takes requests.
    Serving,
    /// It is shutting down.
    Leaving,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender.
    Digest(Box<Digest>),
    /// Asks the host that gives a replica its orders to load an adapter.
    Want(Want),
    /// Answers a [`Want`].
    Ready(Ready),
    /// What a read of the store changed in the list of replicas.
    Listing(Listing),
}

/// Changes of the list of replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Hash of the list before.
    pub from: u64,
    /// The list after the changes.
    pub to: Mark,
    /// Revision of the store.
    pub revision: u64,
    /// Entries that are new or differ.
    pub entries: Vec<Entry>,
    /// Ids without an entry.
    pub gone: Vec<ArcStr>,
}

/// State of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Where its machine listens for peers.
    pub ip: Ipv4Addr,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Failure domain.
    pub zone: ArcStr,
    /// Identifies the process; a later one has a higher number.
    pub life: u64,
    /// Rises with each digest of the process.
    pub number: u64,
    /// What it does with requests.
    pub state: State,
    /// Hosts that it knows of, empty in every other digest.
    pub members: Vec<Member>,
    /// Age of the process, in ms.
    pub age: u64,
    /// The newest revision of the store that it knows.
    pub revision: u64,
    /// Replicas that it gave orders to within [`super::peers::RECENT`].
    pub ordered: Vec<Ordered>,
    /// What it knows of the operator's keys.
    pub operator: Option<Mark>,
    /// What it knows of the replicas' entries.
    pub listing: Option<Mark>,
    /// What it has admitted for each account.
    pub accounts: Vec<AccountUse>,
    /// Its requests at the replicas.
    pub loads: Vec<Load>,
    /// Prompt parts that it sent since the digest before the last.
    pub kept: Vec<Kept>,
    /// Engines that it gives orders to and that changed or were not told of for a while.
    pub engines: Vec<Engine>,
}

/// Orders to one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Fencing token.
    pub fence: u64,
}

/// A host as another one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether it was heard within [`super::peers::SILENT`].
    pub heard: bool,
}

/// Use of an account's limit by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Hash of its name.
    pub account: u32,
    /// Units per second that callers ask for.
    pub rate: u32,
    /// Units admitted since the start of the process.
    pub spent: u64,
}

/// Requests of one host at one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Reading time of the prompts without a first event, in ms.
    pub reading: u32,
    /// Requests.
    pub runs: u16,
    /// Tokens of memory, in thousands.
    pub memory: u16,
    /// Hashes of the artifacts that they use.
    pub uses: Vec<u32>,
}

/// A prompt part that was sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Hash of artifact and part.
    pub part: u32,
}

/// An engine as the host that orders it knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Hash of the replica's id.
    pub replica: u32,
    /// Whether the host may give it orders now.
    pub held: bool,
    /// Whether it answers.
    pub alive: bool,
    /// Adapters on their way to it.
    pub loading: u8,
    /// What it holds.
    pub residents: Vec<Resident>,
}

/// Request for a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Hash of the replica's id.
    pub replica: u32,
    /// What to load.
    pub resident: Resident,
}

/// Outcome of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    /// Hash of the replica's id.
    pub replica: u32,
    /// What was asked for.
    pub resident: Resident,
    /// Whether it is in place.
    pub loaded: bool,
}
