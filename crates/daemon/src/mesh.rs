//! RPC between the hosts of a group: service definition, server and client.
//!
//! Each call has a deadline. A call that exceeds it closes its connection if no answers arrived on
//! it recently, and the next call opens a new one: a connection may never fail although no data
//! arrives on it any more, while new connections work.

mod link;
mod server;
#[cfg(test)]
mod tests;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use yuccawing_core::{
    allowance::{BorrowAnswer, BorrowRequest},
    config::Stamp,
    ids::Ordinal,
    lease::{LeaseRequest, Vote},
    membership::ProcessInfo,
    placement::{PinAnswer, PinRelease, PinRequest},
    rules::Head,
};

pub use self::{
    link::{CALL_TIMEOUT, Link, LinkError},
    server::{AnswerSender, PeerCall, serve},
};

/// Maximum size of a message. The largest is a part of the configuration, at most 1 MB.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// State that a host sends to its peers, both as a probe and as the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Name of the sending host.
    pub name: ArcStr,
    /// Ordinal of the sending host in its group.
    pub ordinal: Ordinal,
    /// State of the sender's process.
    pub about: ProcessInfo,
    /// Whether the sender has finished its start.
    pub ready: bool,
    /// Active configuration version of the sender.
    pub stamp: Option<Stamp>,
}

/// RPC service that each host offers to its peers. `None` means that the host cannot answer yet.
///
/// Calls are encoded by position: hosts of different versions understand each other only while the
/// order of the methods and their types stay the same.
#[tarpc::service]
pub trait Mesh {
    /// Requests a vote for the caller's lease.
    async fn vote(request: LeaseRequest) -> Option<Vote>;
    /// Requests a loan of unused tokens of client accounts.
    async fn borrow(from: Ordinal, request: BorrowRequest) -> Option<BorrowAnswer>;
    /// Exchanges the states of two hosts.
    async fn probe(probe: Probe) -> Option<Probe>;
    /// Returns the head of the active configuration version.
    async fn head() -> Option<Head>;
    /// Returns a part of the configuration by its digest.
    async fn part(digest: ArcStr) -> Option<ArcStr>;
    /// Requests a pin, which is answered after the adapter is loaded.
    async fn pin(request: PinRequest) -> Option<PinAnswer>;
    /// Releases a pin.
    async fn unpin(unpin: PinRelease) -> ();
}
