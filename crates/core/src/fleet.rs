//! Decisions of a host on a platform that keeps nothing for it: hosts find each other from seeds,
//! replicas from the store's entries, and no authority needs a majority.

pub mod catalog;
pub mod config;
pub mod digest;
pub mod dispatch;
pub mod engine_updates;
pub mod freshness;
pub mod health;
pub mod listing;
pub mod load_time;
pub mod loader;
pub mod order;
pub mod peers;
pub mod quota;
pub mod replicas;
pub mod report;
pub mod request;

/// FNV-1a, which gives the same value in every process and release.
pub fn hash(parts: &[&str]) -> u64 {
    hash_bytes(parts.iter().map(|p| p.as_bytes()))
}

/// [`hash`] of bytes.
pub fn hash_bytes<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    let part = |h: u64, p: &[u8]| step(p.iter().fold(h, step), &0xff);
    let h = parts.into_iter().fold(0xcbf2_9ce4_8422_2325, part);
    // FNV leaves the high bits of short inputs poorly mixed.
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

/// [`hash`] in 32 bits, for messages between hosts.
pub fn hash32(parts: &[&str]) -> u32 {
    (hash(parts) >> 32) as u32
}
