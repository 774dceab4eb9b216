//! Decisions of one host about the fleet: which replica serves a request, what an engine loads, how
//! much an account may use. Hosts discover each other from seeds and replicas from the store's
//! entries. Serving needs no majority of hosts; without one a host leaves orders to engines to the
//! hosts that it cannot reach, until it sees that it is alone.

#![cfg_attr(
    not(test),
    warn(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)
)]

pub mod catalog;
pub mod config;
pub mod digest;
pub mod dispatch;
pub mod engine_updates;
pub mod freshness;
pub mod health;
pub mod history;
pub mod limit;
pub mod listing;
pub mod load_time;
pub mod loader;
pub mod order;
pub mod origin;
pub mod peers;
pub mod quarantine;
pub mod quota;
#[cfg(test)]
mod random;
pub mod receipt;
pub mod replicas;
pub mod report;
pub mod request;
#[cfg(test)]
mod sample;
pub mod served;
pub mod survivor;
pub mod versions;

/// FNV-1a with a final mix; gives the same value in every process and release.
pub fn hash(parts: &[&str]) -> u64 {
    hash_bytes(parts.iter().map(|p| p.as_bytes()))
}

/// [`hash`] of byte strings.
pub fn hash_bytes<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    let part = |h: u64, p: &[u8]| step(p.iter().fold(h, step), &0xff);
    let h = parts.into_iter().fold(0xcbf2_9ce4_8422_2325, part);
    // FNV leaves the high bits of short inputs poorly mixed.
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

/// Upper half of [`hash`], for messages between hosts.
pub fn hash32(parts: &[&str]) -> u32 {
    (hash(parts) >> 32) as u32
}
