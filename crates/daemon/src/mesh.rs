//! RPC between hosts: service, server and links to peers.
//!
//! Each call has a deadline. A call that exceeds it closes its connection, and the next call opens
//! a new one, since an open connection can go silent for good while new ones work.

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
    placement::{PinAnswer, PinRequest, Unpin},
    rules::Head,
};

pub use self::{
    link::{CALL_LIMIT, Link, LinkError},
    server::{Answer, PeerCall, serve},
};

/// Longest frame in bytes: a configuration part of at most 1 MB in JSON or bincode, with room.
pub const FRAME_LIMIT: usize = 2 << 20;

/// What a host tells its peers about itself, as a probe and as the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Name of the sender.
    pub name: ArcStr,
    /// Ordinal of the sender.
    pub ordinal: Ordinal,
    /// State of the sender's process.
    pub about: ProcessInfo,
    /// Whether the sender has finished its own start.
    pub ready: bool,
    /// Configuration version that the sender has in force.
    pub stamp: Option<Stamp>,
}

/// The service that each host offers to its peers. `None` means that the host cannot say yet.
#[tarpc::service]
pub trait Mesh {
    /// Asks for a vote on a lease.
    async fn confirm(request: LeaseRequest) -> Option<Vote>;
    /// Asks for a loan of allowances.
    async fn borrow(from: Ordinal, request: BorrowRequest) -> Option<BorrowAnswer>;
    /// Exchanges states.
    async fn probe(probe: Probe) -> Option<Probe>;
    /// Head of the configuration version in force.
    async fn head() -> Option<Head>;
    /// A configuration part by digest.
    async fn part(digest: ArcStr) -> Option<ArcStr>;
    /// Asks for a pin; answered after a load if one is needed.
    async fn pin(request: PinRequest) -> Option<PinAnswer>;
    /// Gives up pins.
    async fn unpin(unpin: Unpin) -> ();
}
