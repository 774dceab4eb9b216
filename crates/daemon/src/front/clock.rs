//! Local time.

use nix::time::{ClockId, clock_gettime};
use yuccawing_core::time::Tick;

/// Now. This clock also counts time in which the machine was suspended, so that a process that
/// wakes finds its authority and its beliefs as old as they are.
pub fn now() -> Tick {
    let t = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    let micros = t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1000;
    Tick(micros)
}

/// Milliseconds since the epoch. It may step; only numbers that identify processes use it.
pub fn unix_ms() -> u64 {
    let t = clock_gettime(ClockId::CLOCK_REALTIME).expect("Linux has this clock");
    t.tv_sec() as u64 * 1000 + t.tv_nsec() as u64 / 1_000_000
}
