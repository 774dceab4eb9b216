//! Messages of peers for tests.

use std::net::Ipv4Addr;

use super::digest::{Digest, HostState};

/// Digest of a serving host that has just started and knows nothing.
pub(super) fn digest(ip: Ipv4Addr, incarnation: u64, sequence: u64) -> Digest {
    Digest {
        ip,
        front: (ip, 80).into(),
        zone: "a".into(),
        incarnation,
        sequence,
        state: HostState::Serving,
        members: Vec::new(),
        age_ms: 0,
        revision: 0,
        fences: Vec::new(),
        operator: None,
        listing: None,
        accounts: Vec::new(),
        loads: Vec::new(),
        cached: Vec::new(),
        engines: Vec::new(),
    }
}
